//! One attempt of a request at one endpoint, up to the headers of the answer.

use std::sync::atomic::Ordering;
use std::time::Duration;

use balsam_fleet::Event;
use balsam_fleet::Target;
use balsam_fleet::event::AttemptOutcome;
use balsam_http::Conn;
use balsam_http::Reuse;
use balsam_http::SendError;
use balsam_types::VmName;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use slog::warn;

use crate::front::Shared;
use crate::request::Request;

/// Fraction of the idle time advertised by an endpoint for which its connections are reused.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// Longest pause that an endpoint may ask for; a pause holds even if the endpoint restarts meanwhile.
const MAX_PAUSE_S: f64 = 3_600.0;

/// Why an attempt gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AttemptFailure {
    /// No byte was sent.
    NotSent(String),
    /// The endpoint reported that it did not run the request.
    TurnedAway(StatusCode),
    /// The endpoint closed or reset the connection after sending began, so the request may have
    /// run.
    Closed(String),
    /// The exchange failed in another way after sending began, so the request may have run.
    Broken(String),
    /// The request may have run, but the endpoint's answer is invalid.
    Faulty(String),
    /// The fleet withdrew the request while it was running.
    Withdrawn,
}

impl AttemptFailure {
    /// Returns the outcome to report to the fleet.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::NotSent(_) => AttemptOutcome::Unreachable,
            Self::TurnedAway(StatusCode::MISDIRECTED_REQUEST) => AttemptOutcome::Misdirected,
            Self::TurnedAway(_) => AttemptOutcome::TurnedAway,
            Self::Closed(_) => AttemptOutcome::Closed,
            Self::Broken(_) | Self::Withdrawn => AttemptOutcome::Broken,
            Self::Faulty(_) => AttemptOutcome::Faulty,
        }
    }

    /// Returns the cause as a metric label.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not_sent",
            Self::TurnedAway(_) => "turned_away",
            Self::Closed(_) => "closed",
            Self::Broken(_) => "broken",
            Self::Faulty(_) => "faulty",
            Self::Withdrawn => "withdrawn",
        }
    }
}

/// Retries after an endpoint turned the request away, on top of the attempts that the route allows.
/// Each draws on the retry budget that all nodes share.
const MAX_TURNED_AWAY: u32 = 3;

/// Retries after attempts that no endpoint received: one more than it takes to detect that a data
/// centre is cut off.
const MAX_NOT_SENT: u32 = 4;

/// Counts the failed attempts of a request by cause.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct AttemptCounts {
    may_have_run: u32,
    turned_away: u32,
    not_sent: u32,
}

impl AttemptCounts {
    /// Counts a failed attempt.
    pub fn count_failure(&mut self, failure: &AttemptFailure) {
        match failure {
            AttemptFailure::NotSent(_) => self.not_sent += 1,
            AttemptFailure::TurnedAway(_) => self.turned_away += 1,
            AttemptFailure::Closed(_)
            | AttemptFailure::Broken(_)
            | AttemptFailure::Faulty(_)
            | AttemptFailure::Withdrawn => self.count_possible_run(),
        }
    }

    /// Counts the end of an attempt that had already been counted as a possible run, because another
    /// one was started beside it.
    pub fn count_counted_failure(&mut self, failure: &AttemptFailure) {
        self.uncount_possible_run();
        self.count_failure(failure);
    }

    /// Counts an attempt that an endpoint may have run.
    pub fn count_possible_run(&mut self) {
        self.may_have_run += 1;
    }

    /// Takes back the count of an attempt that goes on after all.
    pub fn uncount_possible_run(&mut self) {
        self.may_have_run -= 1;
    }

    /// Whether an endpoint may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run > 0
    }

    /// Whether an endpoint received the request, so that another attempt counts as a retry.
    pub fn has_reached_endpoint(&self) -> bool {
        self.may_have_run + self.turned_away > 0
    }

    /// Whether the route and the deadline allow another attempt beside some that are still running
    /// and were not counted yet.
    pub fn allows_retry_beside(&self, request: &Request, running: u32) -> bool {
        let route = &request.route;
        let possible_runs = self.may_have_run + running;
        (possible_runs == 0 || route.kind.may_repeat())
            && possible_runs < route.max_attempts
            && self.turned_away <= MAX_TURNED_AWAY
            && self.not_sent <= MAX_NOT_SENT
            && request.left_ms() > 0
    }
}

/// Sends a request and waits for the headers of the answer until the request's deadline.
///
/// An endpoint that cannot be told who is meant, or who the caller is, gets no request.
///
/// A request that may run only once gets a new connection: if it were lost on a stale one, it could
/// not be sent again, and an earlier refusal that the endpoint repeats there would be taken for its
/// own, so that it would run a second time elsewhere.
pub(crate) async fn send(
    shared: &Shared,
    request: &Request,
    target: &Target,
    last_event_id: Option<u64>,
) -> Result<(Conn, Response<Incoming>), AttemptFailure> {
    let Some(outgoing) = build_request(shared, request, target, last_event_id) else {
        let cause = format!("the name of {} cannot be sent in a header", target.vm);
        return Err(AttemptFailure::NotSent(cause));
    };
    let left = Duration::from_millis(request.left_ms());
    let reuse = if request.route.kind.may_repeat() { Reuse::Allowed } else { Reuse::Never };
    request.possible_runs.fetch_add(1, Ordering::Relaxed);
    let result = exchange_heads(shared, request, target, &outgoing, reuse, left).await;
    if let Err(AttemptFailure::NotSent(_) | AttemptFailure::TurnedAway(_)) = result {
        request.possible_runs.fetch_sub(1, Ordering::Relaxed);
    }
    result
}

async fn exchange_heads(
    shared: &Shared,
    request: &Request,
    target: &Target,
    outgoing: &http::Request<Full<bytes::Bytes>>,
    reuse: Reuse,
    left: Duration,
) -> Result<(Conn, Response<Incoming>), AttemptFailure> {
    let address = target.address;
    let sent = shared.client.send(address, outgoing, reuse, left, || true).await;
    let (conn, response) = sent.map_err(|error| match error {
        SendError::NotWritten(cause) | SendError::Refused(cause) => AttemptFailure::NotSent(cause),
        SendError::NotAllowed => AttemptFailure::NotSent("sending was not allowed".to_owned()),
        SendError::Written(cause) => AttemptFailure::Closed(cause),
        SendError::Malformed(cause) => AttemptFailure::Faulty(cause),
        SendError::TimedOut => AttemptFailure::Broken(format!("endpoint {address}: no answer")),
    })?;
    report_endpoint_state(shared, &target.vm, &response);
    validate_answer(shared, request, conn.is_reused(), &response)?;
    Ok((conn, response))
}

/// Reports the endpoint's own state, as stated in the headers of an answer, to the fleet.
fn report_endpoint_state(shared: &Shared, vm: &VmName, response: &Response<Incoming>) {
    let headers = response.headers();
    // A misdirected request was answered by a different endpoint than the intended one.
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if headers.get(&shared.dialect.leaving).is_some_and(|value| value == "1") {
        shared.hub.apply(Event::EndpointLeaving(vm.clone()));
    }
    if response.status() == StatusCode::SERVICE_UNAVAILABLE
        && let Some(pause_ms) = retry_after_ms(shared, vm, headers)
    {
        shared.hub.apply(Event::EndpointPaused { vm: vm.clone(), pause_ms });
    }
}

/// Parses `Retry-After`, in seconds with fractions, during which the endpoint takes no requests.
fn retry_after_ms(shared: &Shared, vm: &VmName, headers: &HeaderMap) -> Option<u64> {
    let seconds = headers.get(header::RETRY_AFTER)?.to_str().ok()?.trim().parse::<f64>().ok()?;
    if seconds > MAX_PAUSE_S {
        if let Some(dropped) = shared.hub.log_limiter.take("pause_ignored") {
            warn!(shared.hub.log, "the pause that an endpoint asks for is out of bounds";
                "kind" => "pause_ignored", "endpoint" => %vm, "retry_after_s" => seconds,
                "bound_s" => MAX_PAUSE_S, "dropped_lines" => dropped);
        }
        return None;
    }
    (seconds > 0.0).then(|| (seconds * 1_000.0).ceil() as u64)
}

/// Classifies an error while reading a body: invalid data is faulty, a lost connection is closed.
pub(crate) fn body_read_failure(error: &hyper::Error) -> AttemptFailure {
    let cause = format!("the answer was cut off: {error}");
    if error.is_parse() { AttemptFailure::Faulty(cause) } else { AttemptFailure::Closed(cause) }
}

/// Rejects an answer that does not come from the intended endpoint or belongs to another request.
fn validate_answer(
    shared: &Shared,
    request: &Request,
    is_reused: bool,
    response: &Response<Incoming>,
) -> Result<(), AttemptFailure> {
    let dialect = &shared.dialect;
    let headers = response.headers();
    let status = response.status();
    let is_refusal =
        status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(&dialect.not_run);
    // A late second answer to an earlier request carries that request's id or none. A refusal
    // without an id is believed even on a reused connection: only requests that may be repeated use
    // one, and full endpoints refuse without an id.
    let is_own = match headers.get(&dialect.request_id) {
        Some(id) => *id == request.id,
        None => is_refusal || !is_reused,
    };
    if !is_own {
        return Err(AttemptFailure::Faulty("the answer belongs to another request".to_owned()));
    }
    if is_refusal {
        return Err(AttemptFailure::TurnedAway(status));
    }
    if promises_not_run(status) && !request.route.kind.may_repeat() {
        let cause = format!("{status} without a statement that the request did not run");
        return Err(AttemptFailure::Faulty(cause));
    }
    let is_sealed =
        headers.contains_key(&dialect.seal) && headers.contains_key(&dialect.request_id);
    let is_encoded = headers.contains_key(header::CONTENT_ENCODING);
    if (status.is_success() && !is_sealed) || is_encoded {
        return Err(AttemptFailure::Faulty(
            "the answer is encoded or lacks the endpoint's seal".to_owned(),
        ));
    }
    Ok(())
}

/// Whether callers take a status as the promise that the request did not run and never will. An
/// endpoint makes this promise only with the header that states it.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn build_request(
    shared: &Shared,
    request: &Request,
    target: &Target,
    last_event_id: Option<u64>,
) -> Option<http::Request<Full<bytes::Bytes>>> {
    let dialect = &shared.dialect;
    let mut outgoing = http::Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    let mut headers = request.headers.clone();
    headers.insert(dialect.time_budget.clone(), HeaderValue::from(request.left_ms()));
    headers.insert(dialect.expected_endpoint.clone(), header_value(target.vm.as_str())?);
    if let Some(organisation) = &request.organisation {
        let name = header_value(organisation.name.as_ref()?.as_str())?;
        headers.insert(dialect.organisation.clone(), name);
    }
    if let Some(id) = last_event_id {
        headers.insert(dialect.last_event_id.clone(), HeaderValue::from(id));
    }
    *outgoing.headers_mut() = headers;
    Some(outgoing)
}

/// Returns a name as the value of a header, in UTF-8; `None` if the receiver would read another one,
/// as it removes spaces at both ends and takes control characters for the end of the line.
pub(crate) fn header_value(name: &str) -> Option<HeaderValue> {
    let is_kept = name.trim_matches([' ', '\t']).len() == name.len();
    HeaderValue::from_bytes(name.as_bytes()).ok().filter(|_| is_kept)
}

/// Returns how long a connection may be kept for reuse, according to `Keep-Alive`.
pub(crate) fn keep_alive_duration(headers: &HeaderMap, default: Duration) -> Duration {
    let keep_alive = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = keep_alive.and_then(|value| {
        let parameter = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        parameter.parse::<f64>().ok()
    });
    // A time that cannot be represented is longer than any connection is kept.
    let duration =
        |seconds: f64| Duration::try_from_secs_f64(seconds.max(0.0) * KEEP_ALIVE_FRACTION).ok();
    seconds.and_then(duration).unwrap_or(default)
}
