//! Reads a caller's request and checks it against the configuration.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use balsam_fleet::Arrival;
use balsam_fleet::Configuration;
use balsam_fleet::configuration::Access;
use balsam_fleet::configuration::Organisation;
use balsam_fleet::configuration::Route;
use balsam_fleet::configuration::RouteKind;
use balsam_http::BodyFailure;
use balsam_http::RequestBodies;
use balsam_http::headers::remove_hop_by_hop;
use balsam_types::PoolName;
use balsam_types::VmName;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Uri;
use http::header;
use http::request::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::answer::RequestFailure;
use crate::attempt::header_value;
use crate::clock::now_ms;
use crate::dialect::Dialect;
use crate::dialect::Work;

/// `Retry-After` for callers while the node has no configuration yet.
const NO_CONFIGURATION_RETRY_MS: u64 = 500;

/// `Retry-After` for a body that found no memory: others that are being read have ended by then.
const NO_MEMORY_RETRY_MS: u64 = 1_000;

/// A lower limit on the size of a head is not applied.
const MIN_HEAD_LIMIT_BYTES: usize = 8 * 1024;

/// Bytes of a refused body that are discarded at least before the connection is closed.
const MIN_DISCARDED_BYTES: usize = 1024 * 1024;

/// Time in which the body of a refused request must have arrived.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// A request that the configuration allows, with its complete body.
#[derive(Debug)]
pub(crate) struct Request {
    pub id: HeaderValue,
    pub route: Arc<Route>,
    pub pool: PoolName,
    pub organisation: Option<Arc<Organisation>>,
    pub method: Method,
    pub uri: Uri,
    /// The headers to forward, without those that are set for each attempt.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub work: Work,
    pub arrived_ms: u64,
    /// When the caller leaves if its answer has not begun.
    pub first_event_by_ms: u64,
    pub deadline_at_ms: u64,
    pub last_event_id: Option<u64>,
    /// Number of attempts that an endpoint may have run.
    pub possible_runs: AtomicU32,
}

impl Request {
    /// Describes an attempt to the fleet.
    pub fn arrival(&self, tried: &[VmName], is_retry: bool, has_partial_answer: bool) -> Arrival {
        let organisation_priority =
            self.organisation.as_ref().and_then(|organisation| organisation.priority);
        Arrival {
            attempt_id: 0,
            route: self.route.name.clone(),
            pool: self.pool.clone(),
            model: self.work.model.clone(),
            organisation: self.organisation.as_ref().and_then(|o| o.name.clone()),
            segments: self.work.shared_segments.clone(),
            prompt_tokens: self.work.prompt_tokens,
            answer_tokens: self.work.answer_tokens,
            answer_hint_tokens: self.work.answer_hint_tokens,
            max_answer_tokens: self.work.max_answer_tokens,
            priority: organisation_priority.unwrap_or(self.route.priority),
            arrived_ms: self.arrived_ms,
            // A caller that is still there after that time has not left.
            first_event_by_ms: match self.first_event_by_ms > now_ms() {
                true => self.first_event_by_ms,
                false => self.deadline_at_ms,
            },
            deadline_at_ms: self.deadline_at_ms,
            tried: tried.to_vec(),
            is_retry,
            has_partial_answer,
            is_optional: false,
        }
    }

    /// Returns the id for the log.
    pub fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("(not printable)")
    }

    /// Whether an endpoint may have run the request or is running it.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs.load(Ordering::Relaxed) > 0
    }

    /// Returns the time left until the deadline.
    pub fn left_ms(&self) -> u64 {
        self.deadline_at_ms.saturating_sub(now_ms())
    }
}

/// A request that was refused before it was read whole.
#[derive(Debug)]
pub(crate) struct Refused {
    pub failure: RequestFailure,
    /// What became of its body, if that is why.
    pub body: Option<&'static str>,
    pub organisation: Option<Arc<Organisation>>,
}

impl Refused {
    /// Whether more bytes of its body are of no use: its caller sends none, or it is past its time.
    pub fn is_still(&self) -> bool {
        matches!(self.body, Some(STOOD_STILL | TIMED_OUT))
    }
}

impl From<RequestFailure> for Refused {
    fn from(failure: RequestFailure) -> Self {
        Self { failure, body: None, organisation: None }
    }
}

/// Checks a request and reads its body.
pub(crate) async fn read(
    configuration: Option<Arc<Configuration>>,
    dialect: &Dialect,
    bodies: &RequestBodies,
    parts: Parts,
    body: &mut Incoming,
) -> Result<Request, Refused> {
    let arrived_ms = now_ms();
    let configuration = configuration
        .ok_or(RequestFailure::NotRun { retry_after_ms: NO_CONFIGURATION_RETRY_MS })?;
    if head_bytes(&parts) > configuration.limits.max_header_bytes.max(MIN_HEAD_LIMIT_BYTES) {
        return Err(RequestFailure::HeadTooLarge.into());
    }
    let route = route(&configuration, &parts)?;
    let organisation = organisation(&configuration, &route, &parts.headers)?;
    let id = parts.headers.get(&dialect.request_id).cloned().ok_or(RequestFailure::Malformed)?;
    // Only another version of the configuration can change that.
    let pool = route.pool(rand::random()).cloned();
    let pool = pool.ok_or(RequestFailure::NotRun { retry_after_ms: NO_CONFIGURATION_RETRY_MS })?;
    let budget_ms = parse_number(&parts.headers, &dialect.time_budget).unwrap_or(route.timeout_ms);
    let time_ms = budget_ms.min(route.timeout_ms);
    let max_bytes = configuration.limits.max_body_bytes;
    let reading = bodies.read(body, max_bytes, Duration::from_millis(time_ms), |_| true);
    let body = match reading.await {
        Ok(body) => body,
        Err(failure) => return Err(refused_body(&failure, organisation)),
    };
    let work = (dialect.work)(&parts.headers);
    let last_event_id = parse_number(&parts.headers, &dialect.last_event_id);
    let headers = endpoint_headers(parts.headers, dialect);
    let deadline_at_ms = arrived_ms + time_ms;
    Ok(Request {
        id,
        first_event_by_ms: first_event_by_ms(&route, arrived_ms).min(deadline_at_ms),
        deadline_at_ms,
        route,
        pool,
        organisation,
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        work,
        arrived_ms,
        last_event_id,
        possible_runs: AtomicU32::new(0),
    })
}

/// Returns when the caller of a stream leaves if no event has arrived.
fn first_event_by_ms(route: &Route, arrived_ms: u64) -> u64 {
    match route.kind {
        RouteKind::Stream { .. } => arrived_ms.saturating_add(route.event_patience_ms),
        RouteKind::Idempotent | RouteKind::NonIdempotent => u64::MAX,
    }
}

/// Returns the size of a head, apart from optional spaces.
fn head_bytes(parts: &Parts) -> usize {
    // A line of the head ends with two bytes, a colon follows each name, and two spaces and the
    // version are part of the first line.
    let fields = parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 3);
    let path = parts.uri.path_and_query().map_or(0, |path| path.as_str().len());
    parts.method.as_str().len() + path + "  HTTP/1.1\r\n\r\n".len() + fields.sum::<usize>()
}

fn route(configuration: &Configuration, parts: &Parts) -> Result<Arc<Route>, RequestFailure> {
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.ok_or(RequestFailure::NoRoute)?;
    configuration.route(host, parts.uri.path()).cloned().ok_or(RequestFailure::NoRoute)
}

fn organisation(
    configuration: &Configuration,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Organisation>>, RequestFailure> {
    let value = headers.get(header::AUTHORIZATION);
    let value = value.and_then(|value| std::str::from_utf8(value.as_bytes()).ok());
    let key = value.and_then(|value| {
        let (scheme, key) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
    });
    let known = key.and_then(|key| configuration.organisation(key)).cloned();
    let is_open = configuration.access == Access::Open || route.is_public;
    if known.is_none() && !is_open {
        return Err(RequestFailure::NoKey);
    }
    let can_be_told = |known: &Arc<Organisation>| {
        known.name.as_ref().is_some_and(|name| header_value(name.as_str()).is_some())
    };
    if known.as_ref().is_some_and(|known| !can_be_told(known)) {
        // Endpoints cannot be told who the caller is until another version changes the name.
        return Err(RequestFailure::NotRun { retry_after_ms: NO_CONFIGURATION_RETRY_MS });
    }
    Ok(known)
}

fn parse_number(headers: &HeaderMap, name: &http::HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Names of what becomes of a body in metrics and the log.
const STOOD_STILL: &str = "stood_still";
const TIMED_OUT: &str = "timed_out";

fn refused_body(failure: &BodyFailure, organisation: Option<Arc<Organisation>>) -> Refused {
    let no_memory = RequestFailure::NotRun { retry_after_ms: NO_MEMORY_RETRY_MS };
    let (failure, body) = match failure {
        BodyFailure::TooLarge => (RequestFailure::TooLarge, "too_large"),
        BodyFailure::Unreadable(_) => (RequestFailure::Malformed, "unreadable"),
        BodyFailure::NoMemory => (no_memory, "no_memory"),
        BodyFailure::GaveWay => (no_memory, STOOD_STILL),
        BodyFailure::TimedOut => (RequestFailure::BodyTimedOut, TIMED_OUT),
    };
    Refused { failure, body: Some(body), organisation }
}

/// Reads and discards the rest of the body of a refused request.
///
/// hyper closes the connection if the body is dropped, and bytes that arrive later reset it, so that
/// a caller that is still sending loses the refusal. A body that exceeds the limits is dropped.
pub(crate) async fn discard_body(mut body: Incoming, max_body_bytes: usize) {
    let mut left_bytes = max_body_bytes.max(MIN_DISCARDED_BYTES);
    let discarding = async {
        while let Some(Ok(frame)) = body.frame().await {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            let Some(left) = left_bytes.checked_sub(bytes) else { return };
            left_bytes = left;
        }
    };
    let _ = timeout(DISCARD_TIMEOUT, discarding).await;
}

/// Removes hop-by-hop headers, the API key, and headers that only this node may set.
fn endpoint_headers(mut headers: HeaderMap, dialect: &Dialect) -> HeaderMap {
    remove_hop_by_hop(&mut headers);
    // The length is set again from the body, and `Expect` was already handled here.
    for name in [header::AUTHORIZATION, header::CONTENT_LENGTH, header::EXPECT] {
        headers.remove(name);
    }
    for name in
        [&dialect.organisation, &dialect.expected_endpoint, &dialect.time_budget, &dialect.priority]
    {
        headers.remove(name);
    }
    headers
}
