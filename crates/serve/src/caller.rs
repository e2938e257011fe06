//! What a caller sent, checked.

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

/// The header that names a request across its repeats.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

const LOWEST_PRIORITY: u8 = 9;
const DEFAULT_PRIORITY: u8 = 5;

/// The control headers of a request.
#[derive(Debug, Clone)]
pub(crate) struct Control {
    pub key: Option<Arc<str>>,
    pub deadline_in_ms: Option<u64>,
    pub priority: u8,
}

/// Finds the organisation of the bearer credential.
pub(crate) fn organisation(
    table: &Table,
    headers: &HeaderMap,
) -> Result<Arc<OrganisationSpec>, AttemptFailure> {
    if table.organisations.is_empty() {
        let detail = "the entry node does not know the organisations yet";
        return Err(not_run(ProblemKind::NoEndpoint, detail));
    }
    let refused = |detail| not_run(ProblemKind::Unauthenticated, detail);
    let value = single(headers, header::AUTHORIZATION.as_str())?;
    let value = value.ok_or_else(|| refused("the Authorization header is missing"))?;
    let (scheme, token) = value.split_once(' ').unwrap_or((value, ""));
    let token = token.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || token.is_empty() {
        return Err(refused("the Authorization header must be Bearer with a token"));
    }
    let hash = hex(&Sha256::digest(token.as_bytes()));
    table.organisation(&hash).cloned().ok_or_else(|| refused("the token is not known"))
}

fn hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push(char::from(DIGITS[usize::from(byte >> 4)]));
        text.push(char::from(DIGITS[usize::from(byte & 15)]));
    }
    text
}

/// Reads the control headers.
pub(crate) fn control(headers: &HeaderMap) -> Result<Control, AttemptFailure> {
    let invalid = |detail| not_run(ProblemKind::InvalidRequest, detail);
    let key = single(headers, IDEMPOTENCY_KEY)?.map(Arc::from);
    let deadline_in_ms = match single(headers, "request-deadline-ms")? {
        None => None,
        Some(text) => {
            let parsed = digits(text).filter(|ms| *ms > 0);
            let expected = "Request-Deadline-Ms must be a whole number of ms of at least 1";
            Some(parsed.ok_or_else(|| invalid(expected))?)
        }
    };
    let priority = match single(headers, "request-priority")? {
        None => DEFAULT_PRIORITY,
        Some(text) => {
            let parsed = digits(text).filter(|p| *p <= u64::from(LOWEST_PRIORITY));
            let parsed = parsed.and_then(|p| u8::try_from(p).ok());
            parsed.ok_or_else(|| invalid("Request-Priority must be 0 to 9"))?
        }
    };
    Ok(Control { key, deadline_in_ms, priority })
}

/// Parses digits only; the standard parser also takes a leading `+`.
fn digits(text: &str) -> Option<u64> {
    let all = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    all.then(|| text.parse().ok()).flatten()
}

/// Returns the value of a header that must not be repeated.
fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, AttemptFailure> {
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    let text = first.to_str().ok().filter(|_| values.next().is_none());
    let detail = || format!("the header {name} must be sent once, in printable ASCII");
    text.map(Some).ok_or_else(|| not_run(ProblemKind::InvalidRequest, detail()))
}

/// Finds the route of a request whose body was read.
pub(crate) fn route(
    table: &Table,
    parts: &Parts,
    body: &Bytes,
) -> Result<Arc<RouteSpec>, AttemptFailure> {
    let path = parts.uri.path();
    if parts.method == Method::POST && path == CHAT_PATH {
        let model = model_of(body)?;
        let found = table.route_for_model(&model).cloned();
        return found.ok_or_else(|| {
            not_run(ProblemKind::NoRoute, format!("no route for the model {model:?}"))
        });
    }
    let found = table.route_for_path(path).cloned();
    found.ok_or_else(|| not_run(ProblemKind::NoRoute, "no route for this path"))
}

#[derive(serde::Deserialize)]
struct ChatHead<'a> {
    #[serde(borrow)]
    model: std::borrow::Cow<'a, str>,
}

fn model_of(body: &Bytes) -> Result<String, AttemptFailure> {
    serde_json::from_slice::<ChatHead<'_>>(body).map(|head| head.model.into_owned()).map_err(|e| {
        let detail = format!("the body must be JSON with a model: {e}");
        not_run(ProblemKind::InvalidRequest, detail)
    })
}

/// Whether a chat completion asks for its answer as a stream of events.
pub(crate) fn asks_for_stream(body: &[u8]) -> bool {
    #[derive(serde::Deserialize)]
    struct Streaming {
        stream: Option<bool>,
    }
    serde_json::from_slice::<Streaming>(body).is_ok_and(|s| s.stream == Some(true))
}

/// Whether a request may be repeated without harm.
pub(crate) fn is_idempotent(route: &RouteSpec, method: &Method) -> bool {
    route.idempotent.unwrap_or(
        [Method::GET, Method::HEAD, Method::OPTIONS, Method::PUT, Method::DELETE].contains(method),
    )
}

/// Returns the headers that the endpoint gets.
pub(crate) fn endpoint_headers(mut headers: HeaderMap, request_id: &HeaderValue) -> HeaderMap {
    remove_hop_by_hop(&mut headers);
    // Expect was answered here, and the length is set anew from the body.
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

pub(crate) fn not_run(problem: ProblemKind, detail: impl Into<String>) -> AttemptFailure {
    AttemptFailure::new(balsam_types::Outcome::NotRun, problem, detail)
}
