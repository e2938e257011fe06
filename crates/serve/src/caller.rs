//! Validates the headers and bodies of callers' requests and finds their routes.

use std::sync::Arc;

use balsam_http::headers::remove_hop_by_hop;
use balsam_route::Table;
use balsam_types::OrganisationSpec;
use balsam_types::RouteSpec;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::header;
use http::request::Parts;
use sha2::Digest;
use sha2::Sha256;

use crate::ports::AttemptFailure;
use crate::problem::ProblemKind;

/// The path whose requests are routed by the model in their body.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";

/// The header that identifies a request in logs.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// The header whose key identifies a request and its repeats.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

const LOWEST_PRIORITY: u8 = 9;
const DEFAULT_PRIORITY: u8 = 5;

/// The control headers of a request.
#[derive(Debug, Clone)]
pub(crate) struct ControlHeaders {
    pub key: Option<Arc<str>>,
    pub deadline_in_ms: Option<u64>,
    pub priority: u8,
}

/// Returns the organisation that the bearer token belongs to.
pub(crate) fn authenticate(
    table: &Table,
    headers: &HeaderMap,
) -> Result<Arc<OrganisationSpec>, AttemptFailure> {
    if table.organisations.is_empty() {
        let detail = "the entry node does not know the organisations yet";
        return Err(not_run(ProblemKind::NoEndpoint, detail));
    }
    let unauthenticated = |detail| not_run(ProblemKind::Unauthenticated, detail);
    let value = single_value(headers, header::AUTHORIZATION.as_str())?;
    let value = value.ok_or_else(|| unauthenticated("the Authorization header is missing"))?;
    let (scheme, token) = value.split_once(' ').unwrap_or((value, ""));
    let token = token.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || token.is_empty() {
        return Err(unauthenticated("the Authorization header must consist of Bearer and a token"));
    }
    let hash = to_hex(&Sha256::digest(token.as_bytes()));
    table.organisation(&hash).cloned().ok_or_else(|| unauthenticated("the token is not known"))
}

fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push(char::from(DIGITS[usize::from(byte >> 4)]));
        text.push(char::from(DIGITS[usize::from(byte & 15)]));
    }
    text
}

/// Parses the control headers.
pub(crate) fn parse_control_headers(headers: &HeaderMap) -> Result<ControlHeaders, AttemptFailure> {
    let invalid = |detail| not_run(ProblemKind::InvalidRequest, detail);
    let key = single_value(headers, IDEMPOTENCY_KEY)?.map(Arc::from);
    let deadline_in_ms = match single_value(headers, "request-deadline-ms")? {
        None => None,
        Some(text) => {
            let parsed = parse_digits(text).filter(|ms| *ms > 0);
            let expected = "Request-Deadline-Ms must be an integer number of ms, at least 1";
            Some(parsed.ok_or_else(|| invalid(expected))?)
        }
    };
    let priority = match single_value(headers, "request-priority")? {
        None => DEFAULT_PRIORITY,
        Some(text) => {
            let parsed = parse_digits(text).filter(|p| *p <= u64::from(LOWEST_PRIORITY));
            let parsed = parsed.and_then(|p| u8::try_from(p).ok());
            parsed.ok_or_else(|| invalid("Request-Priority must be an integer from 0 to 9"))?
        }
    };
    Ok(ControlHeaders { key, deadline_in_ms, priority })
}

/// Parses a number of digits only; `str::parse` also accepts a leading `+`.
fn parse_digits(text: &str) -> Option<u64> {
    let all = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    all.then(|| text.parse().ok()).flatten()
}

/// Returns the value of a header that must not be repeated.
fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, AttemptFailure> {
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    let text = first.to_str().ok().filter(|_| values.next().is_none());
    let detail = || format!("the header {name} must be sent once, in printable ASCII");
    text.map(Some).ok_or_else(|| not_run(ProblemKind::InvalidRequest, detail()))
}

/// Finds the route of a request whose body was read.
pub(crate) fn find_route(
    table: &Table,
    parts: &Parts,
    body: &Bytes,
) -> Result<Arc<RouteSpec>, AttemptFailure> {
    let path = parts.uri.path();
    if parts.method == Method::POST && path == CHAT_PATH {
        let model = parse_model(body)?;
        let found = table.route_for_model(&model).cloned();
        return found.ok_or_else(|| {
            not_run(ProblemKind::NoRoute, format!("no route matches the model {model:?}"))
        });
    }
    let found = table.route_for_path(path).cloned();
    found.ok_or_else(|| not_run(ProblemKind::NoRoute, "no route matches this path"))
}

#[derive(serde::Deserialize)]
struct ChatHead<'a> {
    #[serde(borrow)]
    model: std::borrow::Cow<'a, str>,
}

fn parse_model(body: &Bytes) -> Result<String, AttemptFailure> {
    serde_json::from_slice::<ChatHead<'_>>(body).map(|head| head.model.into_owned()).map_err(|e| {
        let detail = format!("the body must be JSON with a model: {e}");
        not_run(ProblemKind::InvalidRequest, detail)
    })
}

/// Whether a chat completion requests its answer as an event stream.
pub(crate) fn requests_stream(body: &[u8]) -> bool {
    #[derive(serde::Deserialize)]
    struct Streaming {
        stream: Option<bool>,
    }
    serde_json::from_slice::<Streaming>(body).is_ok_and(|s| s.stream == Some(true))
}

/// Whether a request may safely be run more than once.
pub(crate) fn is_idempotent(route: &RouteSpec, method: &Method) -> bool {
    route.idempotent.unwrap_or(
        [Method::GET, Method::HEAD, Method::OPTIONS, Method::PUT, Method::DELETE].contains(method),
    )
}

/// Returns the headers that are sent to the endpoint.
pub(crate) fn endpoint_headers(mut headers: HeaderMap, request_id: &HeaderValue) -> HeaderMap {
    remove_hop_by_hop(&mut headers);
    // Expect was handled by this server, and Content-Length is set again from the body.
    for name in [header::AUTHORIZATION, header::HOST, header::CONTENT_LENGTH, header::EXPECT] {
        headers.remove(name);
    }
    headers.insert(REQUEST_ID, request_id.clone());
    headers
}

/// Returns the caller's request id, or a new one.
pub(crate) fn request_id(headers: &HeaderMap) -> HeaderValue {
    if let Some(id) = headers.get(REQUEST_ID).filter(|v| !v.is_empty() && v.len() <= 128) {
        return id.clone();
    }
    let id = uuid::Uuid::new_v4().to_string();
    HeaderValue::from_str(&id).unwrap_or(HeaderValue::from_static("unknown"))
}

/// Creates the failure of a request that did not run.
pub(crate) fn not_run(problem: ProblemKind, detail: impl Into<String>) -> AttemptFailure {
    AttemptFailure::new(balsam_types::Outcome::NotRun, problem, detail)
}
