//! One attempt to run a request on one endpoint, including resumes of its stream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use balsam_http::Conn;
use balsam_http::Event;
use balsam_http::ReusableTimeout;
use balsam_http::Reuse;
use balsam_http::SendError;
use balsam_http::Splitter;
use balsam_http::client::error_chain;
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
use http::StatusCode;
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

/// The header with the stream id that resume and cancel requests refer to.
pub(crate) const STREAM_ID: &str = "x-stream-id";

/// Time limit for reading the rest of a complete stream; after it, the connection is not pooled.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of a cancel request; closing the connection cancels the work as well.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs one attempt until the head of the answer arrives.
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
    let silence_timeout = silence_limit(shared, spec.kind, call);
    let head_timeout = silence_timeout.min(shared.time_left(call.deadline_ms));
    shared.metrics.attempts.add(1, &[]);
    let may_dispatch = || {
        let now_ms = (shared.ports.now_ms)();
        let is_permit_valid = permit.as_ref().is_none_or(|p| now_ms < p.dispatch_until_ms);
        let is_claim_valid = call.dispatch_until_ms.is_none_or(|until_ms| now_ms < until_ms);
        is_permit_valid && is_claim_valid && now_ms < call.deadline_ms
    };
    let exchange =
        shared.client.send(group.address, &request, reuse(call), head_timeout, may_dispatch);
    let sent = exchange.await;
    let (conn, response) = sent.map_err(|error| {
        let mut failed = send_failure(shared, group.address, error);
        if shared.time_left(call.deadline_ms).is_zero() {
            failed.problem = ProblemKind::DeadlineExceeded;
            failed.retry_after_ms = None;
        }
        failed
    })?;
    if spec.not_run_statuses.contains(&response.status().as_u16()) {
        let detail = format!("endpoint {} answered {}", group.address, response.status());
        // On a reused connection, this may be a second answer to an earlier request.
        let outcome = if conn.is_reused() { Outcome::Unknown } else { Outcome::NotRun };
        return Err(endpoint_failure(outcome, ProblemKind::EndpointBusy, detail, group.address));
    }
    let address = group.address;
    let guards = (permit, target.in_flight);
    Ok(build_answer(shared, call, spec.kind, address, conn, response, guards))
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
    let permit_request = (shared.ports.acquire_permit)(request);
    let Ok(reply) = tokio::time::timeout(shared.time_left(call.deadline_ms), permit_request).await
    else {
        let detail = format!("group {}: no cold-start permit before the deadline", group.group);
        return Err(endpoint_failure(
            Outcome::NotRun,
            ProblemKind::DeadlineExceeded,
            detail,
            group.address,
        ));
    };
    reply.map_err(|refusal| {
        let detail = format!("group {}: no cold-start permit: {}", group.group, refusal.reason);
        let mut refused =
            endpoint_failure(Outcome::NotRun, ProblemKind::NoEndpoint, detail, group.address);
        refused.retry_after_ms = Some(refusal.retry_after_ms);
        refused.is_permit_refused = true;
        refused
    })
}

/// Whether a request may use a pooled connection. A refusal that arrives there does not show that
/// the request did not run, so a request that may run only once, and one whose key is released only
/// if it did not run, need a new connection.
fn reuse(call: &Call) -> Reuse {
    match call.idempotent && call.claim_offset.is_none() {
        true => Reuse::Allowed,
        false => Reuse::Never,
    }
}

/// Returns how long the endpoint may send nothing. An engine sends keep-alive comments while it
/// streams, but nothing before a non-streamed answer is complete.
fn silence_limit(shared: &Shared, kind: PoolKind, call: &Call) -> Duration {
    let is_streamed = kind == PoolKind::Model && crate::caller::requests_stream(&call.body);
    Duration::from_millis(match is_streamed {
        true => shared.options.model_silence_ms,
        false => shared.options.plain_silence_ms,
    })
}

fn endpoint_failure(
    outcome: Outcome,
    problem: ProblemKind,
    detail: impl Into<String>,
    address: SocketAddr,
) -> AttemptFailure {
    AttemptFailure { endpoint: Some(address), ..AttemptFailure::new(outcome, problem, detail) }
}

fn send_failure(shared: &Shared, address: SocketAddr, error: SendError) -> AttemptFailure {
    let is_connection_failure = matches!(error, SendError::TimedOut);
    let (outcome, problem, detail) = match error {
        SendError::NotWritten(cause) | SendError::Refused(cause) => {
            (Outcome::NotRun, ProblemKind::EndpointRefused, cause)
        }
        SendError::NotAllowed => {
            let detail = "the time limit for dispatching the request has passed";
            (Outcome::NotRun, ProblemKind::NoEndpoint, detail.to_owned())
        }
        SendError::Written(cause) | SendError::Malformed(cause) => {
            (Outcome::Unknown, ProblemKind::EndpointFailed, cause)
        }
        SendError::TimedOut => {
            shared.metrics.silent_connections.add(1, &[]);
            shared.client.evict(address);
            let detail = format!("endpoint {address}: the connection timed out without data");
            (Outcome::Unknown, ProblemKind::EndpointFailed, detail)
        }
    };
    AttemptFailure { is_connection_failure, ..endpoint_failure(outcome, problem, detail, address) }
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

/// Guards held until the answer ends: the cold-start permit and the in-flight counter.
type AnswerGuards = (Option<Permit>, InFlight);

fn build_answer(
    shared: &Arc<Shared>,
    call: &Call,
    kind: PoolKind,
    address: SocketAddr,
    conn: Conn,
    response: Response<Incoming>,
    guards: AnswerGuards,
) -> AttemptAnswer {
    let (mut head, body) = response.into_parts();
    // Only model engines mark the end of a stream with a terminal event.
    let is_event_stream = kind == PoolKind::Model && has_event_stream_type(&head.headers);
    let has_framing = is_framed(&call.method, head.status, &head.headers, &body);
    let stream_id = stream_id(&head.headers);
    remove_hop_by_hop(&mut head.headers);
    if is_event_stream {
        // Comments may be dropped, and a resume may send fewer or more of them.
        head.headers.remove(header::CONTENT_LENGTH);
    }
    let reader = AnswerReader {
        shared: shared.clone(),
        address,
        silence_timeout: silence_limit(shared, kind, call),
        connection: Some((conn, body)),
        stream_id,
        has_framing,
        deadline_ms: call.deadline_ms,
        reusable_timeout: ReusableTimeout::default(),
        resumes: 0,
        last_event_id: None,
        splitter: is_event_stream.then(Splitter::default),
        last_event_at: None,
        has_ended: false,
        has_sent_end: false,
        _guards: guards,
    };
    let body = stream::unfold(reader, |mut reader| async move {
        let part = reader.next_part().await?;
        Some((part, reader))
    });
    AttemptAnswer { status: head.status.as_u16(), headers: head.headers, body: body.boxed() }
}

fn has_event_stream_type(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    content_type.is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"))
}

/// Returns the stream's id if it needs no escaping in a URL path.
fn stream_id(headers: &HeaderMap) -> Option<Arc<str>> {
    let id = headers.get(STREAM_ID)?.to_str().ok()?;
    let is_path_safe = id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
    (is_path_safe && !id.is_empty()).then(|| Arc::from(id))
}

/// Whether the end of the body can be distinguished from a lost connection.
fn is_framed(method: &Method, status: StatusCode, headers: &HeaderMap, body: &Incoming) -> bool {
    let bodiless = method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    bodiless
        || headers.contains_key(header::TRANSFER_ENCODING)
        || body.size_hint().exact().is_some()
}

/// Reads the body of an answer. Dropping it before the end cancels the request on the endpoint.
struct AnswerReader {
    shared: Arc<Shared>,
    address: SocketAddr,
    silence_timeout: Duration,
    connection: Option<(Conn, Incoming)>,
    deadline_ms: u64,
    reusable_timeout: ReusableTimeout,
    stream_id: Option<Arc<str>>,
    has_framing: bool,
    resumes: u32,
    last_event_id: Option<u64>,
    splitter: Option<Splitter>,
    last_event_at: Option<Instant>,
    has_ended: bool,
    has_sent_end: bool,
    _guards: AnswerGuards,
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        // Close the connection before the cancel request is sent, so that it is not reused.
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
    // If the cancel fails, the endpoint only does some needless work until its resume window ends.
    let _ = shared.client.send_on_new_connection(address, request, CANCEL_TIMEOUT).await;
}

fn stream_request(method: Method, path: &str, address: SocketAddr) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    request.headers_mut().insert(header::HOST, host(address));
    request
}

/// Result of reading from the connection.
enum ReadOutcome {
    Data(Bytes),
    End,
    DeadlinePassed,
    Failed(String),
}

impl AnswerReader {
    async fn next_part(&mut self) -> Option<AnswerPart> {
        if self.has_ended {
            return (!self.has_sent_end).then(|| self.end());
        }
        if self.splitter.is_some() {
            return Some(self.next_events().await);
        }
        Some(match self.read().await {
            ReadOutcome::Data(data) => AnswerPart::Data(data),
            ReadOutcome::End if self.has_framing => self.end(),
            ReadOutcome::End => self.fail_truncated(
                "the body has no framing, so its end does not show that it is complete",
            ),
            ReadOutcome::DeadlinePassed => self.fail_at_deadline(),
            ReadOutcome::Failed(cause) => self.fail_truncated(&cause),
        })
    }

    async fn read(&mut self) -> ReadOutcome {
        loop {
            let Some((conn, body)) = &mut self.connection else {
                return ReadOutcome::Failed("the connection is closed".to_owned());
            };
            let left = self.shared.time_left(self.deadline_ms);
            let frame = conn.driver.drive(body.frame());
            match self.reusable_timeout.wait(frame, self.silence_timeout.min(left)).await {
                None if left <= self.silence_timeout => return ReadOutcome::DeadlinePassed,
                None => {
                    self.shared.metrics.silent_connections.add(1, &[]);
                    self.shared.client.evict(self.address);
                    return ReadOutcome::Failed("the connection timed out without data".to_owned());
                }
                Some(None) => return ReadOutcome::End,
                Some(Some(Err(e))) => return ReadOutcome::Failed(error_chain(&e)),
                Some(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return ReadOutcome::Data(data);
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
                Err(cause) => match self.resume(cause).await {
                    Ok(()) => continue,
                    Err(cause) => return self.fail_truncated(&cause),
                },
            }
            let cause = match self.read().await {
                ReadOutcome::Data(data) => {
                    let limit = self.shared.options.max_event_bytes;
                    let Some(splitter) = &mut self.splitter else { continue };
                    let read_bytes = data.len();
                    splitter.push(data);
                    if splitter.pending_bytes() <= limit + read_bytes {
                        continue;
                    }
                    return self.fail_truncated("an event exceeds the size limit");
                }
                ReadOutcome::End => "the stream ended without its terminal event".to_owned(),
                ReadOutcome::DeadlinePassed => return self.fail_at_deadline(),
                ReadOutcome::Failed(cause) => cause,
            };
            if let Err(cause) = self.resume(cause).await {
                return self.fail_truncated(&cause);
            }
        }
    }

    /// Takes the next event that was not yet sent to the caller.
    fn take_event(&mut self) -> Result<Option<AnswerPart>, String> {
        while let Some(event) = self.splitter.as_mut().and_then(Splitter::next_event) {
            if let Some(part) = self.filter_event(event)? {
                return Ok(Some(part));
            }
        }
        Ok(None)
    }

    fn filter_event(&mut self, event: Event) -> Result<Option<AnswerPart>, String> {
        let is_text = event.id.is_none() && !event.is_keep_alive && !event.is_terminal;
        if is_text && self.last_event_id.is_some() {
            return Err("text without an id arrived after events with ids".to_owned());
        }
        if !event.has_data {
            // Once anything was sent to the caller, the request cannot be retried on another
            // endpoint, so comments before the first event are dropped.
            return Ok(self.last_event_id.map(|_| AnswerPart::Data(event.raw)));
        }
        if let Some(id) = event.id {
            if self.last_event_id.is_some_and(|last| id <= last) {
                return Ok(None);
            }
            if let Some(last) = self.last_event_id
                && id != last + 1
            {
                return Err(format!("event {id} arrived after event {last}"));
            }
            self.last_event_id = Some(id);
            self.resumes = 0;
        }
        let now = Instant::now();
        if let Some(previous) = self.last_event_at.replace(now) {
            let gap_ms = (now - previous).as_secs_f64() * 1e3;
            self.shared.metrics.event_gap_ms.record(gap_ms, &[]);
        }
        if event.is_terminal {
            // The terminal event shows that the stream is complete; anything after it is ignored.
            self.has_ended = true;
        }
        Ok(Some(AnswerPart::Data(event.raw)))
    }

    fn end(&mut self) -> AnswerPart {
        self.has_ended = true;
        self.has_sent_end = true;
        if let Some((mut conn, mut body)) = self.connection.take() {
            let shared = self.shared.clone();
            let next_frame = match body.is_end_stream() {
                true => Some(None),
                false => conn.driver.drive(body.frame()).now_or_never(),
            };
            if matches!(next_frame, Some(None)) {
                shared.client.checkin(conn);
            } else if next_frame.is_none() {
                // Only a connection whose answer was read to its end can be reused.
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

    fn fail_at_deadline(&mut self) -> AnswerPart {
        self.fail(
            ProblemKind::DeadlineExceeded,
            "the deadline passed before the answer was complete",
        )
    }

    fn fail_truncated(&mut self, cause: &str) -> AnswerPart {
        self.fail(ProblemKind::AnswerTruncated, cause)
    }

    fn fail(&mut self, problem: ProblemKind, cause: &str) -> AnswerPart {
        let detail = format!("endpoint {}: {cause}", self.address);
        let failed = endpoint_failure(Outcome::Unknown, problem, detail, self.address);
        self.connection = None;
        if let Some(id) = self.stream_id.take() {
            tokio::spawn(cancel(self.shared.clone(), self.address, id));
        }
        self.has_ended = true;
        self.has_sent_end = true;
        AnswerPart::Broken(failed)
    }

    /// Resumes the stream on a new connection after the last event that was sent to the caller.
    async fn resume(&mut self, cause: String) -> Result<(), String> {
        self.connection = None;
        let Some(id) = self.stream_id.clone() else {
            return Err(cause);
        };
        // Without ids, the endpoint would repeat the events that were already sent.
        if self.last_event_at.is_some() && self.last_event_id.is_none() {
            return Err(cause);
        }
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
        let path = match self.last_event_id {
            Some(last) => format!("/v1/streams/{id}?after={last}"),
            None => format!("/v1/streams/{id}"),
        };
        let request = stream_request(Method::GET, &path, self.address);
        let sent = self
            .shared
            .client
            .send_on_new_connection(self.address, request, self.silence_timeout)
            .await;
        let (conn, response) = sent.map_err(|e| match e {
            SendError::NotWritten(cause)
            | SendError::Refused(cause)
            | SendError::Written(cause)
            | SendError::Malformed(cause) => cause,
            SendError::TimedOut | SendError::NotAllowed => "timed out without an answer".to_owned(),
        })?;
        let is_same_stream =
            response.headers().get(STREAM_ID).is_some_and(|v| v.as_bytes() == id.as_bytes());
        if response.status() != StatusCode::OK || !is_same_stream {
            return Err(format!(
                "the endpoint answered {} or for another stream",
                response.status()
            ));
        }
        let is_encoded = response.headers().contains_key(header::CONTENT_ENCODING);
        if !has_event_stream_type(response.headers()) || is_encoded {
            return Err("the endpoint did not answer with an event stream".to_owned());
        }
        self.connection = Some((conn, response.into_body()));
        self.splitter = Some(Splitter::default());
        Ok(())
    }
}
