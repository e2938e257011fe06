//! One attempt at a request against one endpoint, with the resumes of its stream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use balsam_http::Conn;
use balsam_http::Event;
use balsam_http::Patience;
use balsam_http::SendError;
use balsam_http::Splitter;
use balsam_http::client::chain;
use balsam_http::headers::remove_hop_by_hop;
use balsam_route::Group;
use balsam_route::loads::InFlight;
use balsam_types::Outcome;
use balsam_types::PoolKind;
use balsam_types::PoolSpec;
use bytes::Bytes;
use futures::FutureExt;
use futures::StreamExt;
use futures::stream;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::ports::AnswerPart;
use crate::ports::AttemptAnswer;
use crate::ports::AttemptFailure;
use crate::ports::Call;
use crate::ports::Permit;
use crate::ports::PermitRequest;
use crate::problem::ProblemKind;
use crate::shared::Shared;
use crate::target::LocalTarget;

/// The header that names a stream for resume and cancel.
pub(crate) const STREAM_ID: &str = "x-stream-id";

/// How long the closing bytes of a whole stream may take for its connection to be kept.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// How long a cancel call may take; the dropped connection cancels as well.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs one attempt up to the head of the answer.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    call: &Call,
    target: LocalTarget,
) -> Result<AttemptAnswer, AttemptFailure> {
    let group = target.group();
    let spec: &PoolSpec = &target.view.pool.spec;
    let permit = match target.needs_permit {
        true => Some(acquire_permit(shared, call, group).await?),
        false => None,
    };
    let request = build_request(call, group.address)?;
    let silence = silence_limit(shared, spec.kind, call);
    let head_limit = silence.min(shared.left(call.deadline_ms));
    shared.metrics.attempts.add(1, &[]);
    let may_write = || {
        let now_ms = (shared.ports.now_ms)();
        let permitted = permit.as_ref().is_none_or(|p| now_ms < p.dispatch_until_ms);
        let claimed = call.dispatch_until_ms.is_none_or(|until_ms| now_ms < until_ms);
        permitted && claimed && now_ms < call.deadline_ms
    };
    let sent = shared.client.send(group.address, &request, head_limit, may_write).await;
    let (conn, response) = sent.map_err(|error| {
        let mut failed = send_failure(shared, group.address, error);
        if shared.left(call.deadline_ms).is_zero() {
            failed.problem = ProblemKind::DeadlineExceeded;
            failed.retry_after_ms = None;
        }
        failed
    })?;
    if spec.not_run_statuses.contains(&response.status().as_u16()) {
        let detail = format!("endpoint {} answered {}", group.address, response.status());
        return Err(failure(Outcome::NotRun, ProblemKind::EndpointBusy, detail, group.address));
    }
    let address = group.address;
    let held = (permit, target.in_flight);
    Ok(answer(shared, call, spec.kind, address, conn, response, held))
}

async fn acquire_permit(
    shared: &Shared,
    call: &Call,
    group: &Group,
) -> Result<Permit, AttemptFailure> {
    let request = PermitRequest {
        group: group.group.clone(),
        instance: group.instance.clone(),
        owner: group.owner.clone(),
        deadline_ms: call.deadline_ms,
    };
    let asked = (shared.ports.acquire_permit)(request);
    let Ok(granted) = tokio::time::timeout(shared.left(call.deadline_ms), asked).await else {
        let detail = format!("group {}: no cold-start permit before the deadline", group.group);
        return Err(failure(Outcome::NotRun, ProblemKind::DeadlineExceeded, detail, group.address));
    };
    granted.map_err(|refusal| {
        let detail = format!("group {}: no cold-start permit: {}", group.group, refusal.reason);
        let mut refused = failure(Outcome::NotRun, ProblemKind::NoEndpoint, detail, group.address);
        refused.retry_after_ms = Some(refusal.retry_after_ms);
        refused.permit_refused = true;
        refused
    })
}

/// An engine sends comments while it streams, but nothing until an answer in one piece is made.
fn silence_limit(shared: &Shared, kind: PoolKind, call: &Call) -> Duration {
    let streams = kind == PoolKind::Model && crate::caller::asks_for_stream(&call.body);
    Duration::from_millis(match streams {
        true => shared.options.model_silence_ms,
        false => shared.options.plain_silence_ms,
    })
}

fn failure(
    outcome: Outcome,
    problem: ProblemKind,
    detail: impl Into<String>,
    address: SocketAddr,
) -> AttemptFailure {
    AttemptFailure { endpoint: Some(address), ..AttemptFailure::new(outcome, problem, detail) }
}

fn send_failure(shared: &Shared, address: SocketAddr, error: SendError) -> AttemptFailure {
    let connection_only = matches!(error, SendError::Silent);
    let (outcome, problem, detail) = match error {
        SendError::NotWritten(cause) | SendError::Refused(cause) => {
            (Outcome::NotRun, ProblemKind::EndpointRefused, cause)
        }
        SendError::Forbidden => {
            let detail = "the time in which the request may be dispatched passed";
            (Outcome::NotRun, ProblemKind::NoEndpoint, detail.to_owned())
        }
        SendError::Written(cause) | SendError::Malformed(cause) => {
            (Outcome::Unknown, ProblemKind::EndpointFailed, cause)
        }
        SendError::Silent => {
            shared.metrics.silent_connections.add(1, &[]);
            shared.client.evict(address);
            let detail = format!("endpoint {address}: the connection fell silent");
            (Outcome::Unknown, ProblemKind::EndpointFailed, detail)
        }
    };
    AttemptFailure { connection_only, ..failure(outcome, problem, detail, address) }
}

fn build_request(call: &Call, address: SocketAddr) -> Result<Request<Full<Bytes>>, AttemptFailure> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.path_and_query.parse().map_err(|e| {
        let detail = format!("path {}: {e}", call.path_and_query);
        AttemptFailure::new(Outcome::NotRun, ProblemKind::InvalidRequest, detail)
    })?;
    *request.headers_mut() = call.headers.clone();
    request.headers_mut().insert(header::HOST, host(address));
    Ok(request)
}

fn host(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string()).unwrap_or(HeaderValue::from_static("endpoint"))
}

/// Kept until the answer ends: the cold-start permit and the count of requests in flight.
type Held = (Option<Permit>, InFlight);

fn answer(
    shared: &Arc<Shared>,
    call: &Call,
    kind: PoolKind,
    address: SocketAddr,
    conn: Conn,
    response: Response<Incoming>,
    held: Held,
) -> AttemptAnswer {
    let (mut head, body) = response.into_parts();
    // Only engines mark the end of a stream with a terminal event.
    let is_events = kind == PoolKind::Model
        && head
            .headers
            .get(header::CONTENT_TYPE)
            .is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
    let framed = is_framed(&call.method, head.status, &head.headers, &body);
    let stream_id = stream_id(&head.headers);
    remove_hop_by_hop(&mut head.headers);
    let reader = Reader {
        shared: shared.clone(),
        address,
        silence: silence_limit(shared, kind, call),
        connection: Some((conn, body)),
        stream_id,
        framed,
        deadline_ms: call.deadline_ms,
        patience: Patience::default(),
        resumes: 0,
        last_id: None,
        splitter: is_events.then(Splitter::default),
        last_event_at: None,
        ended: false,
        end_sent: false,
        _held: held,
    };
    let body = stream::unfold(reader, |mut reader| async move {
        let part = reader.next_part().await?;
        Some((part, reader))
    });
    AttemptAnswer { status: head.status.as_u16(), headers: head.headers, body: body.boxed() }
}

/// Returns the stream's id if it can stand in a path as it is.
fn stream_id(headers: &HeaderMap) -> Option<Arc<str>> {
    let id = headers.get(STREAM_ID)?.to_str().ok()?;
    let plain = id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
    (plain && !id.is_empty()).then(|| Arc::from(id))
}

/// Whether the end of the body can be told from a lost connection.
fn is_framed(
    method: &Method,
    status: http::StatusCode,
    headers: &HeaderMap,
    body: &Incoming,
) -> bool {
    let bodiless = method == Method::HEAD
        || status == http::StatusCode::NO_CONTENT
        || status == http::StatusCode::NOT_MODIFIED;
    bodiless
        || headers.contains_key(header::TRANSFER_ENCODING)
        || body.size_hint().exact().is_some()
}

/// Reads the body of an answer; dropping it before the end cancels the endpoint's work.
struct Reader {
    shared: Arc<Shared>,
    address: SocketAddr,
    silence: Duration,
    connection: Option<(Conn, Incoming)>,
    deadline_ms: u64,
    patience: Patience,
    stream_id: Option<Arc<str>>,
    framed: bool,
    resumes: u32,
    last_id: Option<u64>,
    splitter: Option<Splitter>,
    last_event_at: Option<Instant>,
    ended: bool,
    end_sent: bool,
    _held: Held,
}

impl Drop for Reader {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        // The connection must be gone before the endpoint is told, so that it is not reused.
        self.connection = None;
        self.shared.metrics.cancelled.add(1, &[]);
        if let Some(id) = self.stream_id.take()
            && let Ok(runtime) = tokio::runtime::Handle::try_current()
        {
            runtime.spawn(cancel(self.shared.clone(), self.address, id));
        }
    }
}

async fn cancel(shared: Arc<Shared>, address: SocketAddr, id: Arc<str>) {
    let request = stream_request(Method::DELETE, &format!("/v1/streams/{id}"), address);
    // A cancel that fails costs the endpoint some work, nothing else; its resume window ends it.
    let _ = shared.client.send_fresh(address, request, CANCEL_TIMEOUT).await;
}

fn stream_request(method: Method, path: &str, address: SocketAddr) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    request.headers_mut().insert(header::HOST, host(address));
    request
}

/// What reading the connection gave.
enum Read {
    Data(Bytes),
    End,
    DeadlinePassed,
    Failed(String),
}

impl Reader {
    async fn next_part(&mut self) -> Option<AnswerPart> {
        if self.ended {
            return (!self.end_sent).then(|| self.end());
        }
        if self.splitter.is_some() {
            return Some(self.next_events().await);
        }
        Some(match self.read().await {
            Read::Data(data) => AnswerPart::Data(data),
            Read::End if self.framed => self.end(),
            Read::End => self.broken("the body has no length, so its end proves nothing"),
            Read::DeadlinePassed => self.too_late(),
            Read::Failed(cause) => self.broken(&cause),
        })
    }

    async fn read(&mut self) -> Read {
        loop {
            let Some((conn, body)) = &mut self.connection else {
                return Read::Failed("the connection is closed".to_owned());
            };
            let left = self.shared.left(self.deadline_ms);
            let frame = conn.driver.drive(body.frame());
            match self.patience.wait(frame, self.silence.min(left)).await {
                None if left <= self.silence => return Read::DeadlinePassed,
                None => {
                    self.shared.metrics.silent_connections.add(1, &[]);
                    self.shared.client.evict(self.address);
                    return Read::Failed("the connection fell silent".to_owned());
                }
                Some(None) => return Read::End,
                Some(Some(Err(e))) => return Read::Failed(chain(&e)),
                Some(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Read::Data(data);
                    }
                }
            }
        }
    }

    async fn next_events(&mut self) -> AnswerPart {
        loop {
            match self.take_event() {
                Ok(Some(part)) => return part,
                Ok(None) => {}
                Err(cause) => return self.broken(&cause),
            }
            let cause = match self.read().await {
                Read::Data(data) => {
                    let limit = self.shared.options.max_event_bytes;
                    let Some(splitter) = &mut self.splitter else { continue };
                    let read_bytes = data.len();
                    splitter.push(data);
                    if splitter.pending_bytes() <= limit + read_bytes {
                        continue;
                    }
                    return self.broken("an event exceeds the limit");
                }
                Read::End => "the stream ended without its terminal event".to_owned(),
                Read::DeadlinePassed => return self.too_late(),
                Read::Failed(cause) => cause,
            };
            if let Err(cause) = self.resume(cause).await {
                return self.broken(&cause);
            }
        }
    }

    /// Takes the next event that the caller has not had yet.
    fn take_event(&mut self) -> Result<Option<AnswerPart>, String> {
        while let Some(event) = self.splitter.as_mut().and_then(Splitter::next_event) {
            if let Some(part) = self.accept(event)? {
                return Ok(Some(part));
            }
        }
        Ok(None)
    }

    fn accept(&mut self, event: Event) -> Result<Option<AnswerPart>, String> {
        if !event.has_data {
            // Before the first event a comment would commit the caller to this endpoint.
            return Ok(self.last_id.map(|_| AnswerPart::Data(event.raw)));
        }
        if let Some(id) = event.id {
            if self.last_id.is_some_and(|last| id <= last) {
                return Ok(None);
            }
            if let Some(last) = self.last_id
                && id != last + 1
            {
                return Err(format!("event {id} followed event {last}"));
            }
            self.last_id = Some(id);
            self.resumes = 0;
        }
        let now = Instant::now();
        if let Some(before) = self.last_event_at.replace(now) {
            let gap_ms = (now - before).as_secs_f64() * 1e3;
            self.shared.metrics.event_gap_ms.record(gap_ms, &[]);
        }
        if event.done {
            // The terminal event is the proof of completeness; nothing after it matters.
            self.ended = true;
        }
        Ok(Some(AnswerPart::Data(event.raw)))
    }

    fn end(&mut self) -> AnswerPart {
        self.ended = true;
        self.end_sent = true;
        if let Some((mut conn, mut body)) = self.connection.take() {
            let shared = self.shared.clone();
            let arrived = match body.is_end_stream() {
                true => Some(None),
                false => conn.driver.drive(body.frame()).now_or_never(),
            };
            if matches!(arrived, Some(None)) {
                shared.client.checkin(conn);
            } else if arrived.is_none() {
                // Only a connection whose answer was read to its end can be used again.
                tokio::spawn(async move {
                    let rest = conn.driver.drive(body.frame());
                    let rest = tokio::time::timeout(DRAIN_TIMEOUT, rest).await;
                    if matches!(rest, Ok(None)) {
                        shared.client.checkin(conn);
                    }
                });
            }
        }
        AnswerPart::End
    }

    fn too_late(&mut self) -> AnswerPart {
        self.lost(ProblemKind::DeadlineExceeded, "the deadline passed within the answer")
    }

    fn broken(&mut self, cause: &str) -> AnswerPart {
        self.lost(ProblemKind::AnswerTruncated, cause)
    }

    fn lost(&mut self, problem: ProblemKind, cause: &str) -> AnswerPart {
        let detail = format!("endpoint {}: {cause}", self.address);
        let lost = failure(Outcome::Unknown, problem, detail, self.address);
        self.connection = None;
        if let Some(id) = self.stream_id.take() {
            tokio::spawn(cancel(self.shared.clone(), self.address, id));
        }
        self.ended = true;
        self.end_sent = true;
        AnswerPart::Broken(lost)
    }

    /// Continues the stream on a fresh connection after the last event that was passed on.
    async fn resume(&mut self, cause: String) -> Result<(), String> {
        self.connection = None;
        let Some(id) = self.stream_id.clone() else {
            return Err(cause);
        };
        let mut cause = cause;
        while self.resumes < self.shared.options.max_resumes {
            self.resumes += 1;
            self.shared.metrics.resumes.add(1, &[]);
            match self.try_resume(&id).await {
                Ok(()) => return Ok(()),
                Err(next) => cause = format!("{cause}; resume: {next}"),
            }
        }
        Err(cause)
    }

    async fn try_resume(&mut self, id: &str) -> Result<(), String> {
        let path = match self.last_id {
            Some(last) => format!("/v1/streams/{id}?after={last}"),
            None => format!("/v1/streams/{id}"),
        };
        let request = stream_request(Method::GET, &path, self.address);
        let sent = self.shared.client.send_fresh(self.address, request, self.silence).await;
        let (conn, response) = sent.map_err(|e| match e {
            SendError::NotWritten(cause)
            | SendError::Refused(cause)
            | SendError::Written(cause)
            | SendError::Malformed(cause) => cause,
            SendError::Silent | SendError::Forbidden => "no answer".to_owned(),
        })?;
        let same = response.headers().get(STREAM_ID).is_some_and(|v| v.as_bytes() == id.as_bytes());
        if !response.status().is_success() || !same {
            return Err(format!("answered {} or for another stream", response.status()));
        }
        self.connection = Some((conn, response.into_body()));
        self.splitter = Some(Splitter::default());
        Ok(())
    }
}
