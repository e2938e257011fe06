//! The answer of one attempt, including resumes of its stream.
//!
//! An endpoint that is silent may go on at any moment, so silence starts a resume beside the silent
//! connection but ends nothing: the first connection that delivers an event ends the others.
//! Without one, the answer ends by its endpoint, its caller or the deadline. See
//! `docs/incidents/lost-around-sigterm.md`.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use balsam_http::Conn;
use balsam_http::Event;
use balsam_http::EventOrder;
use balsam_http::ReusableTimeout;
use balsam_http::Step;
use balsam_http::headers::remove_hop_by_hop;
use balsam_route::loads::InFlight;
use balsam_types::Outcome;
use balsam_types::PoolKind;
use bytes::Bytes;
use futures::FutureExt;
use futures::StreamExt;
use futures::stream;
use http::HeaderMap;
use http::Method;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::attempt;
use crate::attempt::Progress;
use crate::ports::AnswerPart;
use crate::ports::AttemptAnswer;
use crate::ports::Call;
use crate::ports::Permit;
use crate::problem::ProblemKind;
use crate::shared::Shared;
use crate::source;
use crate::source::STREAM_ID;
use crate::source::Source;
use crate::source::SourceEvent;
use crate::source::StreamRef;
use crate::source::has_event_stream_type;

/// Time limit for reading the rest of a complete stream; after it, the connection is not pooled.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Guards held until the answer ends: the cold-start permit and the in-flight counter.
type AnswerGuards = (Option<Permit>, InFlight);

/// Returns the answer whose head has arrived on a connection.
pub(crate) fn build(
    shared: &Arc<Shared>,
    call: &Call,
    kind: PoolKind,
    address: SocketAddr,
    (conn, response): (Conn, Response<Incoming>),
    guards: AnswerGuards,
    progress: Progress,
) -> AttemptAnswer {
    let (mut head, body) = response.into_parts();
    // Only model engines mark the end of a stream with a terminal event.
    let is_event_stream = kind == PoolKind::Model && has_event_stream_type(&head.headers);
    let has_framing = is_framed(&call.method, head.status, &head.headers, &body);
    let stream_ref = stream_id(&head.headers).map(|id| StreamRef { address, id });
    remove_hop_by_hop(&mut head.headers);
    if is_event_stream {
        // Comments may be dropped, and a resume may send fewer or more of them.
        head.headers.remove(header::CONTENT_LENGTH);
    }
    let reader = AnswerReader {
        shared: shared.clone(),
        address,
        silence_limit: attempt::silence_limit(shared, kind, call),
        sources: vec![Source::reading(conn, body)],
        stream_ref,
        is_event_stream,
        has_framing,
        deadline_ms: call.deadline_ms,
        read_timer: ReusableTimeout::default(),
        progress,
        progress_at: Instant::now(),
        is_silent: false,
        resumes: 0,
        break_cause: None,
        order: EventOrder::after(None),
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
    silence_limit: Duration,
    /// The open connections, from oldest to newest; several only while the older ones are silent.
    sources: Vec<Source>,
    deadline_ms: u64,
    read_timer: ReusableTimeout,
    stream_ref: Option<StreamRef>,
    is_event_stream: bool,
    has_framing: bool,
    /// Tells the request's other attempts, until the first part, that this one is not silent.
    progress: Progress,
    /// When bytes arrived last or a resume changed its state.
    progress_at: Instant,
    /// Whether the present silence was counted.
    is_silent: bool,
    resumes: u32,
    /// Why the connections failed since the last event.
    break_cause: Option<String>,
    order: EventOrder,
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
        // Close the connections before the cancel request is sent, so that none is reused.
        self.sources.clear();
        self.shared.metrics.cancelled.add(1, &[]);
        if let Some(stream) = self.stream_ref.take()
            && let Ok(runtime) = tokio::runtime::Handle::try_current()
        {
            runtime.spawn(source::cancel(self.shared.clone(), stream));
        }
    }
}

/// An event after the check whether the caller needs it.
enum Taken {
    /// The caller already has it, or it is a comment before the first event.
    Nothing,
    Comment(Bytes),
    Event(Bytes),
}

impl AnswerReader {
    async fn next_part(&mut self) -> Option<AnswerPart> {
        if self.has_ended {
            return (!self.has_sent_end).then(|| self.end());
        }
        if let Some(part) = self.take_buffered() {
            return Some(part);
        }
        loop {
            let left = self.shared.time_left(self.deadline_ms);
            let silent_after = self.silent_after();
            let limit = silent_after.map_or(left, |after| after.min(left));
            let sources = &mut self.sources;
            let polled = poll_fn(|cx| source::poll_any(sources, cx));
            let Some((index, event)) = self.read_timer.wait(polled, limit).await else {
                if self.shared.time_left(self.deadline_ms).is_zero() {
                    return Some(self.fail_at_deadline());
                }
                if self.silent_after().is_some_and(|after| after.is_zero()) {
                    self.on_silence();
                }
                continue;
            };
            if let Some(part) = self.on_event(index, event) {
                return Some(part);
            }
        }
    }

    /// Takes what has arrived on any connection and was not taken yet.
    fn take_buffered(&mut self) -> Option<AnswerPart> {
        let mut index = 0;
        while self.is_event_stream && index < self.sources.len() {
            let open = self.sources.len();
            if let Some(part) = self.take_part(index) {
                return Some(part);
            }
            // A connection that broke has made room for the next one.
            if self.sources.len() == open {
                index += 1;
            }
        }
        None
    }

    /// Returns the time until the answer counts as silent; `None` if that has no effect.
    fn silent_after(&self) -> Option<Duration> {
        let has_effect = !self.is_silent || self.may_resume();
        has_effect.then(|| self.silence_limit.saturating_sub(self.progress_at.elapsed()))
    }

    /// Resumes the stream beside the silent connections, if possible.
    fn on_silence(&mut self) {
        if !self.is_silent {
            self.is_silent = true;
            self.shared.metrics.silent_connections.add(1, &[]);
            // The unused connections can be replaced.
            self.shared.client.evict(self.address);
        }
        if self.may_resume() {
            self.start_resume();
        }
    }

    fn on_event(&mut self, index: usize, event: SourceEvent) -> Option<AnswerPart> {
        self.progress_at = Instant::now();
        match event {
            SourceEvent::Resumed => None,
            SourceEvent::Data(data) => {
                self.is_silent = false;
                self.progress.record((self.shared.ports.now_ms)());
                if !self.is_event_stream {
                    return Some(AnswerPart::Data(data));
                }
                let limit = self.shared.options.max_event_bytes;
                let splitter = &mut self.sources[index].splitter;
                let read_bytes = data.len();
                splitter.push(data);
                if splitter.pending_bytes() > limit + read_bytes {
                    return Some(self.fail_truncated("an event exceeds the size limit"));
                }
                self.take_part(index)
            }
            SourceEvent::End if self.is_event_stream => {
                self.on_break(index, "the stream ended without its terminal event".to_owned())
            }
            SourceEvent::End if self.has_framing => Some(self.end()),
            SourceEvent::End => Some(self.fail_truncated(
                "the body has no framing, so its end does not show that it is complete",
            )),
            SourceEvent::Failed(cause) => self.on_break(index, cause),
        }
    }

    /// Closes a connection that broke; resumes the stream if no other one is open.
    fn on_break(&mut self, index: usize, cause: String) -> Option<AnswerPart> {
        self.sources.remove(index);
        let cause = match self.break_cause.take() {
            Some(earlier) => format!("{earlier}; resume: {cause}"),
            None => cause,
        };
        if self.sources.is_empty() {
            if !self.may_resume() {
                return Some(self.fail_truncated(&cause));
            }
            self.start_resume();
        }
        self.break_cause = Some(cause);
        None
    }

    fn may_resume(&self) -> bool {
        // Without ids, the endpoint would repeat the events that were already sent.
        let has_place = self.last_event_at.is_none() || self.order.last_id().is_some();
        let is_resumable = self.is_event_stream && self.stream_ref.is_some() && has_place;
        is_resumable && self.resumes < self.shared.options.max_resumes
    }

    /// Resumes the stream on a new connection after the last event that was sent to the caller.
    fn start_resume(&mut self) {
        let Some(stream) = self.stream_ref.clone() else { return };
        self.resumes += 1;
        self.progress_at = Instant::now();
        self.shared.metrics.resumes.add(1, &[]);
        let left = self.shared.time_left(self.deadline_ms);
        let resuming = Source::resuming(self.shared.clone(), stream, self.order.last_id(), left);
        self.sources.push(resuming);
    }

    /// Takes what the caller does not have yet from the bytes of a connection.
    fn take_part(&mut self, index: usize) -> Option<AnswerPart> {
        while let Some(event) = self.sources[index].splitter.next_event() {
            match self.take_event(index, event) {
                Ok(Taken::Nothing) => {}
                Ok(Taken::Comment(raw)) => return Some(AnswerPart::Data(raw)),
                Ok(Taken::Event(raw)) => {
                    // The others would only repeat it.
                    self.sources.swap(0, index);
                    self.sources.truncate(1);
                    self.break_cause = None;
                    return Some(AnswerPart::Data(raw));
                }
                Err(cause) => return self.on_break(index, cause),
            }
        }
        None
    }

    fn take_event(&mut self, index: usize, event: Event) -> Result<Taken, String> {
        let is_text = event.id.is_none() && !event.is_keep_alive && !event.is_terminal;
        if is_text && self.order.last_id().is_some() {
            return Err("text without an id arrived after events with ids".to_owned());
        }
        if !event.has_data {
            // Once anything was sent to the caller, the request cannot be retried on another
            // endpoint, so comments before the first event are dropped.
            return Ok(match self.order.last_id() {
                Some(_) => Taken::Comment(event.raw),
                None => Taken::Nothing,
            });
        }
        if let Some(id) = event.id {
            let run = &mut self.sources[index].order;
            match self.order.advance(id, run).map_err(|e| e.to_string())? {
                Step::Known => return Ok(Taken::Nothing),
                Step::Next => self.resumes = 0,
            }
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
        Ok(Taken::Event(event.raw))
    }

    fn end(&mut self) -> AnswerPart {
        self.has_ended = true;
        self.has_sent_end = true;
        if let Some((mut conn, mut body)) = self.sources.pop().and_then(Source::into_connection) {
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
        let failed = attempt::endpoint_failure(Outcome::Unknown, problem, detail, self.address);
        self.sources.clear();
        if let Some(stream) = self.stream_ref.take() {
            tokio::spawn(source::cancel(self.shared.clone(), stream));
        }
        self.has_ended = true;
        self.has_sent_end = true;
        AnswerPart::Broken(failed)
    }
}
