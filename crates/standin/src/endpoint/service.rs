//! Handles the requests to a stand-in endpoint.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;

use super::Execution;
use super::Fault;
use super::Order;
use super::Shared;
use super::engine;
use super::engine::Stream;

type HttpResponse = Response<BoxBody<Bytes, std::io::Error>>;

/// Number of tokens if a request has no `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;

/// Guard that counts a request as in flight until its answer ends.
struct InFlight(Arc<Shared>);

impl InFlight {
    /// Admits a request unless the endpoint is at its cold or warm limit.
    fn try_admit(shared: &Arc<Shared>) -> Result<Self, StatusCode> {
        let mut inner = shared.lock();
        let is_warm = inner.warm_at.is_some_and(|at| at <= Instant::now());
        if !is_warm && inner.in_flight >= shared.options.cold_limit {
            inner.cold_violations += 1;
            return Err(StatusCode::INTERNAL_SERVER_ERROR);
        }
        if inner.in_flight >= shared.options.limit {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        inner.in_flight += 1;
        inner.peak_in_flight = inner.peak_in_flight.max(inner.in_flight);
        let now = (Instant::now(), inner.in_flight);
        inner.load_history.push_back(now);
        if inner.load_history.len() > 10_000 {
            inner.load_history.pop_front();
        }
        drop(inner);
        Ok(Self(shared.clone()))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut inner = self.0.lock();
        inner.in_flight -= 1;
        let now = (Instant::now(), inner.in_flight);
        inner.load_history.push_back(now);
    }
}

pub(super) async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<HttpResponse, std::io::Error> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(std::io::Error::other)?.to_bytes();
    let path = parts.uri.path().to_owned();
    if !shared.options.model {
        return plain_request(shared, parts, body).await;
    }
    match (&parts.method, path.as_str()) {
        (&Method::GET, "/v1/load") => Ok(load_report(&shared)),
        (&Method::GET, "/v1/cache/events") => {
            Ok(cache_events(&shared, query_number(&parts, "from")))
        }
        (&Method::POST, "/v1/orders") => Ok(accept_order(&shared, &body)),
        (&Method::POST, "/v1/chat/completions") => chat_completion(shared, parts, body).await,
        (method, path) if path.starts_with("/v1/streams/") => {
            let id = path.trim_start_matches("/v1/streams/");
            Ok(stream_request(shared, method, id, query_number(&parts, "after")))
        }
        _ => Ok(empty_response(StatusCode::NOT_FOUND)),
    }
}

fn query_number(parts: &http::request::Parts, name: &str) -> u64 {
    let pairs = parts.uri.query().unwrap_or_default().split('&');
    let mut values = pairs.filter_map(|pair| pair.split_once('='));
    values.find(|(n, _)| *n == name).and_then(|(_, v)| v.parse().ok()).unwrap_or(0)
}

fn response(status: StatusCode, content_type: &'static str, body: Bytes) -> HttpResponse {
    let mut response = Response::new(Full::new(body).map_err(|e| match e {}).boxed());
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn empty_response(code: StatusCode) -> HttpResponse {
    response(code, "text/plain", Bytes::new())
}

fn json_response(value: &Value) -> HttpResponse {
    response(StatusCode::OK, "application/json", Bytes::from(value.to_string()))
}

fn streaming_response(
    content_type: &'static str,
    body: impl futures::Stream<Item = std::io::Result<Bytes>> + Send + Sync + 'static,
) -> HttpResponse {
    let mut response =
        Response::new(BodyExt::boxed(StreamBody::new(body.map(|r| r.map(Frame::data)))));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn record_execution(
    shared: &Shared,
    parts: &http::request::Parts,
    body: &Bytes,
    id: Option<Arc<str>>,
) {
    let text = |v: &HeaderValue| Arc::from(String::from_utf8_lossy(v.as_bytes()).as_ref());
    shared.lock().executions.push(Execution {
        key: parts.headers.get("idempotency-key").map(text),
        path: Arc::from(parts.uri.to_string()),
        body: body.clone(),
        headers: parts.headers.iter().map(|(n, v)| (Arc::from(n.as_str()), text(v))).collect(),
        stream_id: id,
    });
}

/// Applies a fault that acts ahead of the execution.
async fn apply_fault_before(fault: &Option<Fault>) -> Option<HttpResponse> {
    match fault {
        Some(Fault::Delay(delay)) => {
            tokio::time::sleep(*delay).await;
            None
        }
        Some(Fault::ErrorBefore(code)) => {
            Some(empty_response(StatusCode::from_u16(*code).unwrap_or_default()))
        }
        _ => None,
    }
}

/// Applies a fault that acts once the request is executed.
async fn apply_fault_after(fault: &Option<Fault>) -> Result<Option<HttpResponse>, std::io::Error> {
    match fault {
        Some(Fault::ErrorAfter(code)) => {
            Ok(Some(empty_response(StatusCode::from_u16(*code).unwrap_or_default())))
        }
        Some(Fault::CloseAfter) => {
            Err(std::io::Error::other("connection closed by an injected fault"))
        }
        Some(Fault::DelayAnswer(delay)) => {
            tokio::time::sleep(*delay).await;
            Ok(None)
        }
        _ => Ok(None),
    }
}

async fn plain_request(
    shared: Arc<Shared>,
    parts: http::request::Parts,
    body: Bytes,
) -> Result<HttpResponse, std::io::Error> {
    if parts.uri.path() == "/v1/load" {
        return Ok(load_report(&shared));
    }
    let in_flight = match InFlight::try_admit(&shared) {
        Ok(in_flight) => in_flight,
        Err(code) => return Ok(empty_response(code)),
    };
    let fault = shared.lock().faults.pop_front();
    if let Some(refused) = apply_fault_before(&fault).await {
        return Ok(refused);
    }
    record_execution(&shared, &parts, &body, None);
    if let Some(failed) = apply_fault_after(&fault).await? {
        return Ok(failed);
    }
    let number = shared.lock().executions.len();
    let text = json!({"execution": number, "echo": String::from_utf8_lossy(&body)}).to_string();
    drop(in_flight);
    if fault == Some(Fault::TruncateBody) {
        let half = Bytes::from(text.as_bytes()[..text.len() / 2].to_vec());
        let truncated = stream::once(async move { Ok(half) }).chain(stream::once(async {
            tokio::time::sleep(Duration::from_millis(5)).await;
            Err(std::io::Error::other("body truncated by an injected fault"))
        }));
        let mut response = streaming_response("application/json", truncated);
        response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(text.len()));
        return Ok(response);
    }
    Ok(response(StatusCode::OK, "application/json", Bytes::from(text)))
}

async fn chat_completion(
    shared: Arc<Shared>,
    parts: http::request::Parts,
    body: Bytes,
) -> Result<HttpResponse, std::io::Error> {
    let Ok(request) = serde_json::from_slice::<Value>(&body) else {
        return Ok(empty_response(StatusCode::BAD_REQUEST));
    };
    let in_flight = match InFlight::try_admit(&shared) {
        Ok(in_flight) => in_flight,
        Err(code) => return Ok(empty_response(code)),
    };
    let fault = shared.lock().faults.pop_front();
    if let Some(refused) = apply_fault_before(&fault).await {
        return Ok(refused);
    }
    let tokens = request["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
    let label = request["messages"][0]["content"].as_str().unwrap_or("t");
    let token_stream = Stream::start(&shared, Arc::from(label), tokens);
    record_execution(&shared, &parts, &body, Some(token_stream.id.clone()));
    shared.lock().cache_events.push((Instant::now(), Arc::from(label)));
    if let Some(failed) = apply_fault_after(&fault).await? {
        return Ok(failed);
    }
    let mut response = if request["stream"].as_bool() == Some(true) {
        let events = engine::read(shared, token_stream.clone(), 0, fault);
        let events = events.inspect(move |_| {
            let _ = &in_flight;
        });
        streaming_response("text/event-stream", events)
    } else {
        token_stream.wait_finished().await;
        json_response(&json!({"choices": [{"message": {"content": token_stream.full_text()}}]}))
    };
    insert_stream_id(&mut response, &token_stream.id);
    Ok(response)
}

fn insert_stream_id(response: &mut HttpResponse, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert("x-stream-id", value);
    }
}

fn stream_request(shared: Arc<Shared>, method: &Method, id: &str, after: u64) -> HttpResponse {
    let token_stream = shared.lock().streams.get(id).cloned();
    let Some(token_stream) =
        token_stream.filter(|s| !s.is_lost.load(std::sync::atomic::Ordering::SeqCst))
    else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    if method == Method::DELETE {
        token_stream.cancel();
        let mut inner = shared.lock();
        inner.cancelled.push(token_stream.id.clone());
        inner.streams.remove(&token_stream.id);
        return empty_response(StatusCode::NO_CONTENT);
    }
    let mut inner = shared.lock();
    inner.resumed += 1;
    let is_wrong_stream = inner.faults.front() == Some(&Fault::ResumeWrongStream);
    if is_wrong_stream {
        inner.faults.pop_front();
    }
    drop(inner);
    let token_stream = match is_wrong_stream {
        true => Stream::start(&shared, Arc::from("crossed"), token_stream.tokens),
        false => token_stream,
    };
    let mut response = streaming_response(
        "text/event-stream",
        engine::read(shared, token_stream.clone(), after, None),
    );
    insert_stream_id(&mut response, &token_stream.id);
    response
}

fn load_report(shared: &Shared) -> HttpResponse {
    let inner = shared.lock();
    let lag = Duration::from_millis(shared.options.load_lag_ms);
    let sample = inner.load_history.iter().rev().find(|(at, _)| at.elapsed() >= lag);
    let as_of = shared.started.elapsed().saturating_sub(lag);
    let is_warm = inner.warm_at.is_some_and(|at| at + lag <= Instant::now());
    json_response(&json!({
        "instance": format!("{:x}-{}", shared.instance_prefix, inner.instance),
        "fence": inner.last_fence,
        "ready": !shared.options.model || inner.ready_at.is_some_and(|at| at <= Instant::now()),
        "leaving": inner.leaving,
        "in_flight": sample.map_or(0, |(_, n)| *n),
        "queued": 0,
        "warm": is_warm,
        "cold_limit": shared.options.cold_limit,
        "limit": shared.options.limit,
        "as_of_ms": as_of.as_millis() as u64,
        "age_ms": lag.as_millis() as u64,
    }))
}

fn cache_events(shared: &Shared, from: u64) -> HttpResponse {
    let lag = Duration::from_millis(shared.options.cache_lag_ms);
    let gap_every = shared.options.cache_gap_every;
    let inner = shared.lock();
    let numbered = inner.cache_events.iter().zip(1u64..);
    let events: Vec<Value> = numbered
        .filter(|((at, _), n)| at.elapsed() >= lag && *n >= from)
        .filter(|(_, n)| gap_every == 0 || n % gap_every != 0)
        .map(|((_, prefix), n)| json!({"seq": n, "prefix": &**prefix}))
        .collect();
    json_response(&json!({ "events": events }))
}

fn accept_order(shared: &Shared, body: &Bytes) -> HttpResponse {
    let Ok(order) = serde_json::from_slice::<Value>(body) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let Some(fence) = order["fence"].as_u64() else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let mut inner = shared.lock();
    if shared.options.checks_fence && fence < inner.last_fence {
        return empty_response(StatusCode::CONFLICT);
    }
    if fence != inner.last_fence {
        let now = Instant::now();
        let loaded_at = now + Duration::from_millis(shared.options.load_ms);
        inner.last_fence = fence;
        inner.ready_at = Some(loaded_at);
        // Newly loaded weights have to warm up.
        inner.warm_at = Some(loaded_at + Duration::from_millis(shared.options.warm_up_ms));
    }
    inner.orders.push(Order { fence, body: order });
    empty_response(StatusCode::OK)
}
