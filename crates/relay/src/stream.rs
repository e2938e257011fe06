//! Requests whose answer is a stream of events.
//!
//! Nothing is forwarded before the first event, so that an attempt without one can be retried.
//! After that, a resumable stream is continued at another endpoint after the last event that was
//! forwarded; the caller sees a single answer.

use std::sync::Arc;
use std::time::Duration;

use balsam_fleet::Refusal;
use balsam_fleet::event::AttemptOutcome;
use balsam_http::Conn;
use balsam_http::Event;
use balsam_http::ReusableTimeout;
use balsam_http::Splitter;
use balsam_http::headers::remove_hop_by_hop;
use balsam_types::VmName;
use bytes::Bytes;
use bytes::BytesMut;
use futures::StreamExt;
use futures::stream;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use slog::info;

use crate::answer::Body;
use crate::answer::Broken;
use crate::answer::EndpointAnswer;
use crate::answer::RequestFailure;
use crate::answer::caller_response;
use crate::attempt;
use crate::attempt::AttemptCounts;
use crate::attempt::AttemptFailure;
use crate::attempt::Reuse;
use crate::clock::now_ms;
use crate::front::Shared;
use crate::hub::Placement;
use crate::request::Request;

/// Timeout for the first event, which includes queueing and reading the prompt.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Timeout between two events of an answer. A stalled group is detected sooner, from all its
/// answers; this covers a single connection that stalls.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum size of one event, and of the comments between two events.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why a stream ended before its last event.
enum StreamError {
    Refused(Refusal),
    Failed(RequestFailure),
    /// The endpoint answered with something other than a stream.
    Answer(Box<EndpointAnswer>),
}

/// The result of one read.
enum ReadOutcome {
    Data(Bytes),
    End,
    Lost(AttemptFailure),
    TimedOut,
}

/// An answer that is being read from an endpoint.
struct Upstream {
    conn: Conn,
    body: Incoming,
    placement: Placement,
    keep_alive: Duration,
    /// Whether the answer states its end itself, by a length or chunks, rather than by the end of
    /// the connection.
    is_framed: bool,
    splitter: Splitter,
    /// Bytes since the last event with data.
    bytes_since_data: usize,
    /// A fault after the events that were taken last.
    fault: Option<ReadFailure>,
}

/// Reads the events of one answer, from several endpoints if necessary.
struct StreamReader {
    shared: Arc<Shared>,
    request: Arc<Request>,
    upstream: Option<Upstream>,
    tried: Vec<VmName>,
    /// Failed attempts, which count against the limits.
    counts: AttemptCounts,
    last_id: Option<u64>,
    has_events: bool,
    forwarded: Forwarded,
    /// The content type of the answer whose events were forwarded first.
    content_type: Option<HeaderValue>,
    waited_ms: u64,
    read_timer: ReusableTimeout,
    timing: EventTiming,
}

/// What the caller has of a stream, apart from comments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Forwarded {
    Nothing,
    /// Events with ids, after which another endpoint can continue.
    Numbered,
    /// An event without an id. Another endpoint would repeat it.
    Unnumbered,
}

/// When the events of one answer arrived.
#[derive(Debug, Clone, Copy, Default)]
struct EventTiming {
    first_ms: u64,
    last_ms: u64,
    longest_gap_ms: u64,
}

impl EventTiming {
    fn record(&mut self, now_ms: u64) {
        match self.first_ms {
            0 => self.first_ms = now_ms,
            _ => self.longest_gap_ms = self.longest_gap_ms.max(now_ms - self.last_ms),
        }
        self.last_ms = now_ms;
    }
}

/// Serves a request whose answer is a stream of events.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    request: Arc<Request>,
) -> Result<Response<Body>, RequestFailure> {
    let mut reader = StreamReader {
        shared: shared.clone(),
        last_id: request.last_event_id,
        request,
        upstream: None,
        tried: Vec::new(),
        counts: AttemptCounts::default(),
        has_events: false,
        forwarded: Forwarded::Nothing,
        content_type: None,
        waited_ms: 0,
        read_timer: ReusableTimeout::default(),
        timing: EventTiming::default(),
    };
    let opened = match reader.connect().await {
        Ok(head) => reader.first_events(head).await,
        Err(stream_error) => Err(stream_error),
    };
    match opened {
        Ok((head, first_events)) => Ok(reader.into_response(head, first_events)),
        Err(StreamError::Answer(answer)) => Ok(caller_response(*answer)),
        Err(StreamError::Failed(failure)) => Err(failure),
        Err(StreamError::Refused(refusal)) => {
            shared.log_refusal(&reader.request, &refusal);
            Err(match reader.counts.may_have_run() {
                true => RequestFailure::MayHaveRun,
                false => RequestFailure::NotRun { retry_after_ms: refusal.retry_after_ms },
            })
        }
    }
}

impl StreamReader {
    fn into_response(self, head: HeaderMap, first_events: Option<Bytes>) -> Response<Body> {
        let arrived_ms = self.request.arrived_ms;
        self.shared.hub.metrics.first_event(now_ms().saturating_sub(arrived_ms));
        let has_ended = first_events.is_none();
        let rest = stream::unfold((self, has_ended), |(mut reader, has_ended)| async move {
            if has_ended {
                return None;
            }
            match reader.next_events().await {
                Ok(Some(event)) => Some((Ok(event), (reader, false))),
                Ok(None) => None,
                Err(stream_error) => {
                    let cause = reader.log_stream_cut(&stream_error);
                    Some((Err(Broken { cause }), (reader, true)))
                }
            }
        });
        let first_events = stream::iter(first_events.map(Ok));
        let mut response = Response::new(Body::Events(first_events.chain(rest).boxed()));
        *response.headers_mut() = head;
        response.headers_mut().remove(header::CONTENT_LENGTH);
        response
    }

    fn log_stream_cut(&self, stream_error: &StreamError) -> String {
        let cause = match stream_error {
            StreamError::Refused(refusal) => refusal.reason.as_str(),
            StreamError::Failed(failure) => failure.as_str(),
            StreamError::Answer(_) => "an endpoint answered a resume with an error",
        };
        self.shared.log_request_end(&self.request, "stream_cut", cause);
        cause.to_owned()
    }

    /// Waits for the first event; the caller gets the headers of the endpoint that sent it.
    async fn first_events(
        &mut self,
        head: HeaderMap,
    ) -> Result<(HeaderMap, Option<Bytes>), StreamError> {
        let mut head = head;
        loop {
            match self.read_event().await {
                Ok(event) => {
                    self.content_type = head.get(header::CONTENT_TYPE).cloned();
                    return Ok((head, event));
                }
                Err(failure) => head = self.continue_elsewhere(failure).await?,
            }
        }
    }

    /// Returns the next events; `None` when the answer is complete.
    async fn next_events(&mut self) -> Result<Option<Bytes>, StreamError> {
        loop {
            match self.read_event().await {
                Ok(event) => return Ok(event),
                Err(failure) => _ = self.continue_elsewhere(failure).await?,
            }
        }
    }

    /// Continues at another endpoint after a failure, if that is allowed.
    async fn continue_elsewhere(&mut self, failure: ReadFailure) -> Result<HeaderMap, StreamError> {
        let failure = match failure {
            ReadFailure::TimedOut => return Err(StreamError::Failed(RequestFailure::TimedOut)),
            ReadFailure::Attempt(failure) => failure,
        };
        self.record_failure(&failure)?;
        self.connect().await
    }

    /// Records a failed attempt; an error if no further attempt is allowed.
    fn record_failure(&mut self, failure: &AttemptFailure) -> Result<(), StreamError> {
        let has_events = self.upstream.as_ref().is_some_and(|u| u.placement.is_started());
        self.shared.log_attempt_failure(&self.request, &self.tried, failure, has_events);
        if let Some(upstream) = self.upstream.take() {
            upstream.placement.end(failure.outcome());
        }
        self.counts.count_failure(failure);
        if self.counts.allows_retry(&self.request) && self.forwarded != Forwarded::Unnumbered {
            self.shared.hub.metrics.repeat(failure.as_str());
            return Ok(());
        }
        Err(StreamError::Failed(match self.counts.may_have_run() {
            true => RequestFailure::MayHaveRun,
            false => RequestFailure::NotRun {
                retry_after_ms: self.shared.options.turned_away_retry_after_ms,
            },
        }))
    }

    /// Sends the request to endpoints until one starts a stream.
    async fn connect(&mut self) -> Result<HeaderMap, StreamError> {
        loop {
            let is_retry = self.counts.has_reached_endpoint();
            let arrival = self.request.arrival(&self.tried, is_retry, self.has_events);
            let requested_at_ms = now_ms();
            let placement = self.shared.hub.place(arrival).await.map_err(StreamError::Refused)?;
            self.waited_ms += now_ms() - requested_at_ms;
            self.tried.push(placement.target.vm.clone());
            let left = Duration::from_millis(self.request.left_ms());
            let answer_timeout = FIRST_EVENT_TIMEOUT.min(left);
            let id = self.last_id;
            let sent = attempt::send(
                &self.shared,
                &self.request,
                &placement,
                id,
                Reuse::Allowed,
                answer_timeout,
            );
            let (conn, response) = match sent.await {
                Ok(answer) => answer,
                Err(failure) => {
                    placement.end(failure.outcome());
                    self.record_failure(&failure)?;
                    continue;
                }
            };
            let (mut head, body) = response.into_parts();
            let keep_alive =
                attempt::keep_alive_duration(&head.headers, self.shared.options.endpoint_idle());
            let is_framed = head.headers.contains_key(header::CONTENT_LENGTH)
                || head.headers.contains_key(header::TRANSFER_ENCODING);
            remove_hop_by_hop(&mut head.headers);
            let upstream = Upstream {
                conn,
                body,
                placement,
                keep_alive,
                is_framed,
                splitter: Splitter::default(),
                bytes_since_data: 0,
                fault: None,
            };
            if head.status != StatusCode::OK {
                match self.handle_other_answer(head.status, head.headers, upstream).await? {
                    Some(stream_error) => return Err(stream_error),
                    None => continue,
                }
            }
            self.upstream = Some(upstream);
            if self.has_events && !is_same_media_type(self.content_type.as_ref(), &head.headers) {
                let cause = "the answer to a resume has another content type";
                self.record_failure(&AttemptFailure::Faulty(cause.to_owned()))?;
                continue;
            }
            return Ok(head.headers);
        }
    }

    /// Handles an answer that is not a stream: returns how the request ends, or `None` to retry it.
    async fn handle_other_answer(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        mut upstream: Upstream,
    ) -> Result<Option<StreamError>, StreamError> {
        let mut collected = BytesMut::new();
        loop {
            match read(&mut upstream, &mut self.read_timer, &self.request, EVENT_TIMEOUT).await {
                ReadOutcome::Data(data) if collected.len() + data.len() <= MAX_EVENT_BYTES => {
                    collected.extend_from_slice(&data);
                }
                ReadOutcome::End => break,
                ReadOutcome::TimedOut => return Err(StreamError::Failed(RequestFailure::TimedOut)),
                ReadOutcome::Lost(failure) => {
                    self.upstream = Some(upstream);
                    self.record_failure(&failure)?;
                    return Ok(None);
                }
                ReadOutcome::Data(_) => {
                    self.upstream = Some(upstream);
                    self.record_failure(&AttemptFailure::Faulty(
                        "the answer exceeds the limit".to_owned(),
                    ))?;
                    return Ok(None);
                }
            }
        }
        self.shared.client.return_connection(upstream.conn, upstream.keep_alive);
        upstream.placement.end(AttemptOutcome::Failed);
        if status.is_server_error() || self.has_events {
            let failure = AttemptFailure::Broken(format!("the endpoint answered {status}"));
            let may_continue = self.request.route.kind.may_repeat();
            if may_continue && self.record_failure(&failure).is_ok() {
                return Ok(None);
            }
        }
        if self.has_events {
            return Ok(Some(StreamError::Failed(RequestFailure::MayHaveRun)));
        }
        let answer = EndpointAnswer { status, headers, body: collected.freeze() };
        Ok(Some(StreamError::Answer(Box::new(answer))))
    }

    /// Reads until at least one event is complete; returns all complete events.
    async fn read_event(&mut self) -> Result<Option<Bytes>, ReadFailure> {
        let event_timeout = if self.has_events { EVENT_TIMEOUT } else { FIRST_EVENT_TIMEOUT };
        loop {
            if let Some(events) = self.take_events()? {
                self.has_events = true;
                self.timing.record(now_ms());
                return Ok(Some(events));
            }
            let Some(upstream) = &mut self.upstream else {
                return Err(ReadFailure::broken("the connection is closed"));
            };
            match read(upstream, &mut self.read_timer, &self.request, event_timeout).await {
                ReadOutcome::Data(data) => {
                    upstream.splitter.push(data);
                    if upstream.splitter.pending_bytes() > MAX_EVENT_BYTES {
                        return Err(ReadFailure::faulty("an event exceeds the limit"));
                    }
                }
                ReadOutcome::End if upstream.splitter.pending_bytes() > 0 => {
                    return Err(ReadFailure::closed("the answer ended in the middle of an event"));
                }
                // A crash before the first event looks like the end of an empty answer.
                ReadOutcome::End if !upstream.is_framed && !upstream.placement.is_started() => {
                    return Err(ReadFailure::closed("the answer ended before its first event"));
                }
                ReadOutcome::End => {
                    self.complete();
                    return Ok(None);
                }
                ReadOutcome::Lost(failure) => return Err(ReadFailure::Attempt(failure)),
                ReadOutcome::TimedOut => return Err(ReadFailure::TimedOut),
            }
        }
    }

    /// Takes the complete events that the caller does not have yet.
    fn take_events(&mut self) -> Result<Option<Bytes>, ReadFailure> {
        let Some(upstream) = &mut self.upstream else { return Ok(None) };
        let mut events: Option<Bytes> = None;
        let mut joined = BytesMut::new();
        while upstream.fault.is_none()
            && let Some(event) = upstream.splitter.next_event()
        {
            if event.has_data || event.id.is_some() {
                upstream.placement.progress();
                upstream.bytes_since_data = 0;
            } else {
                upstream.bytes_since_data += event.raw.len();
                if upstream.bytes_since_data > MAX_EVENT_BYTES {
                    let cause = "comments between events exceed the limit";
                    upstream.fault = Some(ReadFailure::faulty(cause));
                    break;
                }
            }
            match next_step(&event, self.last_id, &mut self.forwarded) {
                Ok(Step::Forward) => self.last_id = event.id.or(self.last_id),
                Ok(Step::Skip) => continue,
                Err(fault) => {
                    upstream.fault = Some(fault);
                    break;
                }
            }
            match &events {
                None => events = Some(event.raw),
                Some(first_events) => {
                    if joined.is_empty() {
                        joined.extend_from_slice(first_events);
                    }
                    joined.extend_from_slice(&event.raw);
                }
            }
        }
        // The events before a fault count as received, so the caller must get them first.
        if events.is_none()
            && let Some(fault) = upstream.fault.take()
        {
            return Err(fault);
        }
        Ok(if joined.is_empty() { events } else { Some(joined.freeze()) })
    }

    /// Ends a complete answer and returns its connection to the pool.
    fn complete(&mut self) {
        if let Some(upstream) = self.upstream.take() {
            upstream.placement.end(AttemptOutcome::Answered);
            self.shared.client.return_connection(upstream.conn, upstream.keep_alive);
        }
        self.shared.hub.metrics.answer("stream");
        self.log_if_late();
    }

    /// Logs a complete answer that missed its latency targets.
    fn log_if_late(&self) {
        let request = &self.request;
        let EventTiming { first_ms, longest_gap_ms, .. } = self.timing;
        let is_late = first_ms > request.target_at_ms;
        if !is_late && longest_gap_ms <= request.route.gap_target_ms {
            return;
        }
        if let Some(dropped) = self.shared.hub.log_limiter.take("answered_late") {
            info!(self.shared.hub.log, "answered late"; "kind" => "answered_late",
                "request" => request.id_text(), "route" => %request.route.name,
                "first_event_ms" => first_ms.saturating_sub(request.arrived_ms),
                "longest_gap_ms" => longest_gap_ms, "waited_ms" => self.waited_ms,
                "attempts" => self.tried.len(), "prompt_tokens" => request.work.prompt_tokens,
                "endpoint" => self.tried.last().map(|vm| vm.as_str().to_owned()),
                "dropped_lines" => dropped);
        }
    }
}

/// Why no event could be read.
enum ReadFailure {
    Attempt(AttemptFailure),
    TimedOut,
}

impl ReadFailure {
    fn closed(cause: &str) -> Self {
        Self::Attempt(AttemptFailure::Closed(cause.to_owned()))
    }

    fn broken(cause: &str) -> Self {
        Self::Attempt(AttemptFailure::Broken(cause.to_owned()))
    }

    fn faulty(cause: &str) -> Self {
        Self::Attempt(AttemptFailure::Faulty(cause.to_owned()))
    }
}

/// What to do with an event.
enum Step {
    Forward,
    /// The caller already has it.
    Skip,
}

/// Checks that an event continues what the caller has. After events with ids, anything without one
/// is an error text of the endpoint.
fn next_step(
    event: &Event,
    last_id: Option<u64>,
    forwarded: &mut Forwarded,
) -> Result<Step, ReadFailure> {
    let Some(id) = event.id else {
        if event.is_keep_alive {
            return Ok(Step::Forward);
        }
        if *forwarded == Forwarded::Numbered {
            return Err(ReadFailure::faulty("received text without an id after events with ids"));
        }
        *forwarded = Forwarded::Unnumbered;
        return Ok(Step::Forward);
    };
    if let Some(last) = last_id {
        if id <= last {
            return Ok(Step::Skip);
        }
        if id != last + 1 {
            return Err(ReadFailure::broken(&format!("received event {id} after event {last}")));
        }
    }
    if *forwarded == Forwarded::Nothing {
        *forwarded = Forwarded::Numbered;
    }
    Ok(Step::Forward)
}

/// Whether an answer has this content type, without regard to parameters such as the charset.
fn is_same_media_type(expected: Option<&HeaderValue>, headers: &HeaderMap) -> bool {
    let media_type = |value: Option<&HeaderValue>| {
        let value = value.map_or(&[][..], HeaderValue::as_bytes);
        let media_type = value.split(|byte| *byte == b';').next().unwrap_or_default();
        media_type.trim_ascii().to_ascii_lowercase()
    };
    media_type(expected) == media_type(headers.get(header::CONTENT_TYPE))
}

/// Reads the next chunk of an answer.
async fn read(
    upstream: &mut Upstream,
    read_timer: &mut ReusableTimeout,
    request: &Request,
    event_timeout: Duration,
) -> ReadOutcome {
    let left = Duration::from_millis(request.left_ms());
    let Upstream { conn, body, placement, .. } = upstream;
    let next_chunk = async {
        loop {
            match conn.driver.drive(body.frame()).await {
                None => return ReadOutcome::End,
                Some(Err(error)) => return ReadOutcome::Lost(attempt::body_read_failure(&error)),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return ReadOutcome::Data(data);
                    }
                }
            }
        }
    };
    let abandoned = placement.abandoned.clone();
    let read_or_abandoned = async {
        tokio::select! {
            biased;
            read = next_chunk => read,
            () = abandoned.notified() => ReadOutcome::Lost(AttemptFailure::Abandoned),
        }
    };
    match read_timer.wait(read_or_abandoned, event_timeout.min(left)).await {
        Some(read) => read,
        None if left <= event_timeout => ReadOutcome::TimedOut,
        None => ReadOutcome::Lost(AttemptFailure::Broken("the connection stalled".to_owned())),
    }
}
