//! Checks that stand-in endpoints follow the endpoint protocol, on which other tests rely.

use std::time::Duration;

use balsam_standin::endpoint::Endpoint;
use balsam_standin::endpoint::EndpointOptions;
use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

async fn call(endpoint: &Endpoint, method: &str, path: &str, body: Value) -> (u16, Value) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let uri = format!("http://{}{path}", endpoint.address());
    let request = Request::builder().method(method).uri(uri);
    let request = request.body(Full::from(body.to_string())).unwrap();
    let response = client.request(request).await.unwrap();
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

fn chat(content: &str, tokens: u64) -> Value {
    json!({"model": "m", "max_tokens": tokens, "messages": [{"content": content}]})
}

/// Guards against fencing tests that pass because the endpoint checks no fencing numbers.
#[tokio::test]
async fn an_old_order_is_rejected_only_if_fences_are_checked() {
    for (checks_fence, status) in [(true, 409), (false, 200)] {
        let options = EndpointOptions { checks_fence, ..EndpointOptions::default() };
        let endpoint = Endpoint::start(options).await.unwrap();
        let order = |fence: u64| json!({"fence": fence, "kind": "load"});
        assert_eq!(call(&endpoint, "POST", "/v1/orders", order(7)).await.0, 200);
        assert_eq!(call(&endpoint, "POST", "/v1/orders", order(6)).await.0, status);
    }
}

/// Guards against cold-start tests that pass because violations are not counted.
#[tokio::test]
async fn requests_above_the_cold_limit_fail_and_are_counted() {
    let options = EndpointOptions { warm_up_ms: 60_000, ..EndpointOptions::default() };
    let endpoint = Endpoint::start(options).await.unwrap();
    let path = "/v1/chat/completions";
    let first = call(&endpoint, "POST", path, chat("a", 100));
    let second = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        call(&endpoint, "POST", path, chat("b", 1)).await
    };
    let (first, second) = tokio::join!(first, second);
    assert_eq!((first.0, second.0), (200, 500));
    assert_eq!(endpoint.cold_violations(), 1);
    let load = call(&endpoint, "GET", "/v1/load", Value::Null).await.1;
    assert_eq!(load["warm"], false);
    let before = load["instance"].clone();
    endpoint.restart_cold();
    let load = call(&endpoint, "GET", "/v1/load", Value::Null).await.1;
    assert_ne!(load["instance"], before);
}

/// Guards against cache-affinity tests that never see late or lost events.
#[tokio::test]
async fn cache_events_come_late_and_with_gaps() {
    let options =
        EndpointOptions { cache_lag_ms: 300, cache_gap_every: 2, ..EndpointOptions::default() };
    let endpoint = Endpoint::start(options).await.unwrap();
    for content in ["a", "b", "c"] {
        call(&endpoint, "POST", "/v1/chat/completions", chat(content, 1)).await;
    }
    let path = "/v1/cache/events?from=1";
    assert_eq!(call(&endpoint, "GET", path, Value::Null).await.1, json!({"events": []}));
    tokio::time::sleep(Duration::from_millis(400)).await;
    let events = call(&endpoint, "GET", path, Value::Null).await.1;
    let seqs: Vec<_> = events["events"].as_array().unwrap().iter().map(|e| &e["seq"]).collect();
    assert_eq!(seqs, [&json!(1), &json!(3)]);
}
