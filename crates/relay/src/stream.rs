//! Requests whose answer is a stream of events.
//!
//! Nothing, not even a comment, is forwarded before the first event, so that an attempt without one
//! can be retried. After that, a resumable stream is continued at another endpoint after the last
//! event that was forwarded; the caller sees a single answer.
//!
//! An endpoint that is silent may go on at any moment, so silence starts another attempt but ends
//! none: the first attempt that delivers an event ends the others. Without another attempt the
//! answer ends when its endpoint breaks it off, or at the deadline. See
//! `docs/incidents/lost-around-sigterm.md`.

use std::future::poll_fn;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use balsam_fleet::Refusal;
use balsam_fleet::event::AttemptOutcome;
use balsam_fleet::load::BACKOFF_MS;
use balsam_http::Event;
use balsam_http::EventOrder;
use balsam_http::ReusableTimeout;
use balsam_http::RunOrder;
use balsam_http::Step;
use balsam_types::VmName;
use bytes::Bytes;
use bytes::BytesMut;
use futures::StreamExt;
use futures::stream;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::header;
use slog::info;
use tokio::time::Instant;

use crate::answer::Body;
use crate::answer::Broken;
use crate::answer::EndpointAnswer;
use crate::answer::RequestFailure;
use crate::answer::caller_response;
use crate::attempt::AttemptCounts;
use crate::attempt::AttemptFailure;
use crate::clock::now_ms;
use crate::front::Shared;
use crate::request::Request;
use crate::upstream::MAX_EVENT_BYTES;
use crate::upstream::Progress;
use crate::upstream::Upstream;

/// Why a stream ended before its last event.
enum StreamError {
    Refused(Refusal),
    Failed(RequestFailure),
    /// The endpoint answered with something other than a stream.
    Answer(Box<EndpointAnswer>),
}

/// Reads the events of one answer, from several endpoints if necessary.
struct StreamReader {
    shared: Arc<Shared>,
    request: Arc<Request>,
    /// The attempts that are open, from oldest to newest; all but the newest are superseded.
    upstreams: Vec<Upstream>,
    tried: Vec<VmName>,
    /// Attempts that endpoints may have run or that failed, which count against the limits.
    counts: AttemptCounts,
    order: EventOrder,
    has_events: bool,
    forwarded: Forwarded,
    /// The content type of the answer whose events were forwarded first.
    content_type: Option<HeaderValue>,
    /// The newest error answer of an endpoint, which the caller gets if no attempt delivers an event.
    error_answer: Option<Box<EndpointAnswer>>,
    /// After a refusal, the time before which no further attempt starts beside a silent one.
    retry_at: Option<Instant>,
    waited_ms: u64,
    read_timer: ReusableTimeout,
    timing: EventTiming,
}

/// The next part of an answer, with the headers of its endpoint if these were not taken before.
enum Part {
    Events { head: Option<HeaderMap>, events: Bytes },
    End { head: Option<HeaderMap> },
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
        order: EventOrder::after(request.last_event_id),
        request,
        upstreams: Vec::new(),
        tried: Vec::new(),
        counts: AttemptCounts::default(),
        has_events: false,
        forwarded: Forwarded::Nothing,
        content_type: None,
        error_answer: None,
        retry_at: None,
        waited_ms: 0,
        read_timer: ReusableTimeout::default(),
        timing: EventTiming::default(),
    };
    reader.start_attempt();
    match reader.next_part().await {
        Ok(Part::Events { head, events }) => {
            Ok(reader.into_response(head.unwrap_or_default(), Some(events)))
        }
        Ok(Part::End { head }) => Ok(reader.into_response(head.unwrap_or_default(), None)),
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
            match reader.next_part().await {
                Ok(Part::Events { events, .. }) => Some((Ok(events), (reader, false))),
                Ok(Part::End { .. }) => None,
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
        self.log_cut(cause);
        cause.to_owned()
    }

    /// Logs a started stream that ends early, with what tells a silent endpoint from one that broke
    /// the stream off.
    fn log_cut(&self, cause: &str) {
        let Some(dropped) = self.shared.hub.log_limiter.take("stream_cut") else { return };
        let request = &self.request;
        info!(self.shared.hub.log, "stream cut"; "kind" => "stream_cut",
            "request" => request.id_text(), "route" => %request.route.name, "outcome" => cause,
            "endpoint" => self.tried.last().map(|vm| vm.as_str().to_owned()),
            "attempts" => self.tried.len(), "last_event_id" => self.order.last_id(),
            "silent_ms" => now_ms().saturating_sub(self.timing.last_ms),
            "age_ms" => now_ms() - request.arrived_ms, "left_ms" => request.left_ms(),
            "dropped_lines" => dropped);
    }

    /// Starts an attempt at an endpoint that was not tried yet.
    fn start_attempt(&mut self) {
        let is_retry = self.counts.has_reached_endpoint();
        let arrival = self.request.arrival(&self.tried, is_retry, self.has_events);
        let (shared, request) = (self.shared.clone(), self.request.clone());
        self.retry_at = None;
        self.upstreams.push(Upstream::start(shared, request, arrival, self.order.last_id()));
    }

    /// Whether the route and the deadline allow another attempt beside the open ones.
    fn may_try_elsewhere(&self) -> bool {
        let uncounted = self.upstreams.iter().filter(|upstream| !upstream.is_superseded).count();
        self.forwarded != Forwarded::Unnumbered
            && self.counts.allows_retry_beside(&self.request, uncounted as u32)
    }

    /// Starts another attempt because the newest one is silent or its group lost, if allowed.
    fn try_elsewhere(&mut self, cause: &'static str) {
        let may_try = self.may_try_elsewhere();
        let Some(silent) = self.upstreams.last_mut() else { return };
        if let Some(dropped) = self.shared.hub.log_limiter.take("attempt_silent") {
            info!(self.shared.hub.log, "attempt is silent"; "kind" => "attempt_silent",
                "request" => self.request.id_text(), "route" => %self.request.route.name,
                "endpoint" => silent.vm().map(|vm| vm.as_str().to_owned()), "cause" => cause,
                "silent_ms" => silent.progress_at.elapsed().as_millis() as u64,
                "has_events" => silent.is_started(), "tries_elsewhere" => may_try,
                "left_ms" => self.request.left_ms(), "dropped_lines" => dropped);
        }
        if !silent.is_superseded {
            silent.is_superseded = true;
            self.counts.count_possible_run();
        }
        if may_try {
            self.shared.hub.metrics.repeat(cause);
            self.start_attempt();
        }
    }

    /// Returns when the newest attempt counts as silent; `None` if no other may be tried then.
    ///
    /// A stalled group is detected sooner, from all its answers; this covers a single connection that
    /// stalls.
    fn silent_at(&self) -> Option<Instant> {
        let newest = self.upstreams.last()?;
        let target = newest.target()?;
        if !self.may_try_elsewhere() {
            return None;
        }
        let retry_at = self.retry_at.unwrap_or(newest.progress_at);
        if newest.is_superseded {
            // Another one was refused beside it, whether it was silent or its group lost.
            return Some(retry_at);
        }
        let patience_ms = self.request.route.event_patience_ms;
        let usual_ms = target.usual_ms.unwrap_or(patience_ms / 2);
        let waits_since_ms =
            if self.has_events { self.timing.last_ms } else { self.request.arrived_ms };
        let waited = newest.progress_at.elapsed();
        let stays_ms = waits_since_ms.saturating_add(patience_ms).saturating_sub(now_ms());
        // Both clocks go on alike, so this is the same at each call until the caller is due to leave.
        let stays_ms = stays_ms.saturating_add(waited.as_millis() as u64);
        let silent_ms = balsam_admit::tries_elsewhere_after_ms(stays_ms, usual_ms);
        Some((newest.progress_at + Duration::from_millis(silent_ms)).max(retry_at))
    }

    /// Returns the next events or the end of the answer.
    async fn next_part(&mut self) -> Result<Part, StreamError> {
        loop {
            let left = Duration::from_millis(self.request.left_ms());
            let silent_at = self.silent_at();
            let silent_after = silent_at.map(|at| at.saturating_duration_since(Instant::now()));
            let limit = silent_after.map_or(left, |after| after.min(left));
            let upstreams = &mut self.upstreams;
            let polled = poll_fn(|cx| poll_any(upstreams, cx));
            let Some((index, progress)) = self.read_timer.wait(polled, limit).await else {
                if self.request.left_ms() == 0 {
                    return Err(self.final_error(StreamError::Failed(RequestFailure::TimedOut)));
                }
                if self.silent_at().is_some_and(|at| Instant::now() >= at) {
                    self.try_elsewhere("silent");
                }
                continue;
            };
            if let Some(part) = self.on_progress(index, progress)? {
                return Ok(part);
            }
        }
    }

    /// Handles the progress of one attempt; returns what the caller gets next, if anything.
    fn on_progress(
        &mut self,
        index: usize,
        progress: Progress,
    ) -> Result<Option<Part>, StreamError> {
        match progress {
            Progress::Placed { vm, waited } => {
                self.waited_ms += waited.as_millis() as u64;
                self.tried.push(vm);
            }
            Progress::Refused(refusal) => self.on_refusal(index, refusal)?,
            Progress::GroupLost if index + 1 == self.upstreams.len() => {
                self.try_elsewhere("group_lost");
            }
            Progress::GroupLost => {}
            Progress::Failed(failure) => self.on_failure(index, failure)?,
            Progress::Answer(answer) => self.on_other_answer(index, answer)?,
            Progress::Data | Progress::End if !self.continues(index) => {
                let cause = "the answer to a resume has another content type".to_owned();
                self.on_failure(index, AttemptFailure::Faulty(cause))?;
            }
            Progress::Data => match self.take_events(index) {
                Ok(Some(events)) => return Ok(Some(self.deliver(index, events))),
                Ok(None) => {}
                Err(failure) => self.on_failure(index, failure)?,
            },
            Progress::End => match end_failure(&self.upstreams[index]) {
                Some(failure) => self.on_failure(index, failure)?,
                None if !self.upstreams[index].held_back.is_empty() => {
                    // The end of the body is read once more after these.
                    let comments = self.upstreams[index].held_back.split().freeze();
                    return Ok(Some(self.deliver(index, comments)));
                }
                None => return Ok(Some(self.complete(index))),
            },
        }
        Ok(None)
    }

    /// Whether the answer of an attempt has the content type of the events that the caller has.
    fn continues(&self, index: usize) -> bool {
        let head = self.upstreams[index].head.as_ref().filter(|_| self.has_events);
        head.is_none_or(|head| is_same_media_type(self.content_type.as_ref(), head))
    }

    /// Ends the other attempts, as this one has delivered events.
    fn deliver(&mut self, index: usize, events: Bytes) -> Part {
        if !self.has_events {
            self.error_answer = None;
            let head = self.upstreams[index].head.as_ref();
            self.content_type = head.and_then(|head| head.get(header::CONTENT_TYPE).cloned());
        }
        self.has_events = true;
        self.timing.record(now_ms());
        let mut upstream = self.upstreams.swap_remove(index);
        self.end_all(AttemptOutcome::Broken);
        if upstream.is_superseded {
            // It is counted again if it ends without the rest of the answer.
            upstream.is_superseded = false;
            self.counts.uncount_possible_run();
        }
        let head = upstream.head.take();
        self.upstreams.push(upstream);
        Part::Events { head, events }
    }

    fn end_all(&mut self, outcome: AttemptOutcome) {
        for upstream in self.upstreams.drain(..) {
            if upstream.is_placed() && !upstream.is_superseded {
                self.counts.count_possible_run();
            }
            upstream.end(outcome);
        }
    }

    fn on_refusal(&mut self, index: usize, refusal: Refusal) -> Result<(), StreamError> {
        self.upstreams.remove(index);
        if self.upstreams.is_empty() {
            return Err(self.final_error(StreamError::Refused(refusal)));
        }
        self.retry_at = Some(Instant::now() + Duration::from_millis(refusal.retry_after_ms));
        Ok(())
    }

    /// Ends a failed attempt; starts another one if no other is open and the route allows it.
    fn on_failure(&mut self, index: usize, failure: AttemptFailure) -> Result<(), StreamError> {
        let upstream = self.upstreams.remove(index);
        let (has_events, is_superseded) = (upstream.is_started(), upstream.is_superseded);
        self.shared.log_attempt_failure(&self.request, upstream.vm(), &failure, has_events);
        // A group that is lost ends its answers, which says nothing about this prompt.
        let outcome = match (failure.outcome(), upstream.is_group_lost) {
            (AttemptOutcome::Closed, true) => AttemptOutcome::Broken,
            (outcome, _) => outcome,
        };
        upstream.end(outcome);
        match is_superseded {
            true => self.counts.count_counted_failure(&failure),
            false => self.counts.count_failure(&failure),
        }
        self.continue_after(&failure)
    }

    /// Starts another attempt after one that has ended, if no other is active and the route allows it.
    fn continue_after(&mut self, failure: &AttemptFailure) -> Result<(), StreamError> {
        let is_another_active = self.upstreams.iter().any(|upstream| !upstream.is_superseded);
        if is_another_active {
            return Ok(());
        }
        if self.may_try_elsewhere() {
            self.shared.hub.metrics.repeat(failure.as_str());
            self.start_attempt();
            return Ok(());
        }
        if !self.upstreams.is_empty() {
            return Ok(());
        }
        let failure = StreamError::Failed(match self.counts.may_have_run() {
            true => RequestFailure::MayHaveRun,
            false => RequestFailure::NotRun { retry_after_ms: BACKOFF_MS },
        });
        Err(self.final_error(failure))
    }

    /// Returns how the request ends without another event. An endpoint's error answer is more
    /// informative than the lack of another endpoint.
    fn final_error(&mut self, failure: StreamError) -> StreamError {
        self.error_answer.take().map_or(failure, StreamError::Answer)
    }

    /// Handles a whole answer that is not a stream.
    fn on_other_answer(&mut self, index: usize, answer: EndpointAnswer) -> Result<(), StreamError> {
        let upstream = self.upstreams.remove(index);
        if !upstream.is_superseded {
            self.counts.count_possible_run();
        }
        if !self.has_events && !answer.status.is_server_error() {
            upstream.complete(AttemptOutcome::Failed);
            self.end_all(AttemptOutcome::Broken);
            return Err(StreamError::Answer(Box::new(answer)));
        }
        let failure = AttemptFailure::Broken(format!("the endpoint answered {}", answer.status));
        self.shared.log_attempt_failure(&self.request, upstream.vm(), &failure, false);
        upstream.complete(AttemptOutcome::Failed);
        if !self.has_events {
            self.error_answer = Some(Box::new(answer));
        }
        self.continue_after(&failure)
    }

    /// Takes the complete events of an attempt that the caller does not have yet.
    fn take_events(&mut self, index: usize) -> Result<Option<Bytes>, AttemptFailure> {
        let is_alone = self.has_events && self.upstreams.len() == 1;
        let upstream = &mut self.upstreams[index];
        let mut events: Option<Bytes> = None;
        let mut joined = BytesMut::new();
        let mut has_only_comments = true;
        while upstream.fault.is_none()
            && let Some(event) = upstream.splitter.next_event()
        {
            if event.has_data || event.id.is_some() {
                upstream.record_event();
                upstream.bytes_since_data = 0;
            } else {
                upstream.bytes_since_data += event.raw.len();
                if upstream.bytes_since_data > MAX_EVENT_BYTES {
                    let cause = "comments between events exceed the limit".to_owned();
                    upstream.fault = Some(AttemptFailure::Faulty(cause));
                    break;
                }
            }
            match next_step(&event, &mut self.order, &mut upstream.order, &mut self.forwarded) {
                Ok(Step::Next) => has_only_comments &= event.is_keep_alive,
                Ok(Step::Known) => continue,
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
        if let Err(failure) = upstream.reserve_memory() {
            upstream.fault.get_or_insert(failure);
        }
        // The events before a fault count as received, so the caller must get them first.
        if events.is_none()
            && let Some(fault) = upstream.fault.take()
        {
            return Err(fault);
        }
        let taken = if joined.is_empty() { events } else { Some(joined.freeze()) };
        // A comment shows that an endpoint is alive, not that an event will follow, so it must not end
        // the other attempts.
        let holds_back = has_only_comments && !is_alone;
        Ok(match taken {
            Some(comments) if holds_back => {
                upstream.held_back.extend_from_slice(&comments);
                None
            }
            Some(events) if !upstream.held_back.is_empty() => {
                upstream.held_back.extend_from_slice(&events);
                Some(upstream.held_back.split().freeze())
            }
            taken => taken,
        })
    }

    /// Ends a complete answer and the other attempts.
    fn complete(&mut self, index: usize) -> Part {
        let mut upstream = self.upstreams.swap_remove(index);
        self.end_all(AttemptOutcome::Broken);
        let head = upstream.head.take();
        upstream.complete(AttemptOutcome::Answered);
        self.shared.hub.metrics.answer("stream");
        self.log_if_late();
        Part::End { head }
    }

    /// Logs a complete answer that missed its latency targets.
    fn log_if_late(&self) {
        let request = &self.request;
        let EventTiming { first_ms, longest_gap_ms, .. } = self.timing;
        let is_late = first_ms > request.arrived_ms + request.route.target_ms;
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

/// Checks that an event continues what the caller has. After events with ids, anything without one
/// is an error text of the endpoint.
fn next_step(
    event: &Event,
    order: &mut EventOrder,
    run: &mut RunOrder,
    forwarded: &mut Forwarded,
) -> Result<Step, AttemptFailure> {
    let Some(id) = event.id else {
        if event.is_keep_alive {
            return Ok(Step::Next);
        }
        if *forwarded == Forwarded::Numbered {
            return Err(AttemptFailure::Faulty(
                "received text without an id after events with ids".to_owned(),
            ));
        }
        *forwarded = Forwarded::Unnumbered;
        return Ok(Step::Next);
    };
    let step = order.advance(id, run).map_err(|e| AttemptFailure::Broken(e.to_string()))?;
    if step == Step::Next && *forwarded == Forwarded::Nothing {
        *forwarded = Forwarded::Numbered;
    }
    Ok(step)
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

/// Polls the attempts; returns the progress of the first that has made some, with its index.
fn poll_any(upstreams: &mut [Upstream], cx: &mut Context<'_>) -> Poll<(usize, Progress)> {
    for (index, upstream) in upstreams.iter_mut().enumerate() {
        if let Poll::Ready(progress) = upstream.poll(cx) {
            return Poll::Ready((index, progress));
        }
    }
    Poll::Pending
}

/// Returns why a stream that ended is not complete.
fn end_failure(upstream: &Upstream) -> Option<AttemptFailure> {
    let cause = if upstream.splitter.pending_bytes() > 0 {
        "the answer ended in the middle of an event"
    } else if !upstream.is_framed && !upstream.is_started() {
        // A crash before the first event looks like the end of an empty answer.
        "the answer ended before its first event"
    } else {
        return None;
    };
    Some(AttemptFailure::Closed(cause.to_owned()))
}
