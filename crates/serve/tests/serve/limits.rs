//! Requests that are refused before they run, and misbehaving callers.

use std::time::Duration;

use balsam_serve::ServeOptions;
use balsam_standin::endpoint::Fault;
use http::Request;
use http_body_util::Full;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::CHAT;
use crate::support::Harness;
use crate::support::engine;
use crate::support::problem;
use crate::support::read;
use crate::support::service;

/// Guards against running a request with invalid control headers, credentials, path or body.
#[rstest]
#[case::deadline("/orders", "request-deadline-ms", "+5", "x", 400)]
#[case::zero_deadline("/orders", "request-deadline-ms", "0", "x", 400)]
#[case::priority("/orders", "request-priority", "10", "x", 400)]
#[case::key("/orders", "idempotency-key", "a b", "x", 400)]
#[case::json(CHAT, "accept", "*/*", "{\"model\": ", 400)]
#[case::no_model(CHAT, "accept", "*/*", "{}", 400)]
#[case::other_model(CHAT, "accept", "*/*", "{\"model\": \"none\"}", 404)]
#[case::path("/elsewhere", "accept", "*/*", "x", 404)]
#[case::credential("/orders", "authorization", "Bearer wrong", "x", 401)]
#[tokio::test]
async fn invalid_request_is_not_run(
    #[case] path: &str,
    #[case] header: &str,
    #[case] value: &str,
    #[case] body: &'static str,
    #[case] status: u16,
) {
    let service = service().await;
    let harness = Harness::start(&[], &[&service]).await;
    let mut request: Request<_> = harness.request("POST", path).body(Full::from(body)).unwrap();
    request
        .headers_mut()
        .insert(http::HeaderName::try_from(header).unwrap(), value.parse().unwrap());
    let response = harness.send(request).await;
    assert_eq!(response.status(), status);
    assert_eq!(problem(response).await["outcome"], "not_run");
    assert!(service.executions().is_empty());
}

/// Guards against unbounded memory use by one request.
#[tokio::test]
async fn oversized_body_or_head_is_refused() {
    let service = service().await;
    let harness = Harness::start(&[], &[&service]).await;
    let large = vec![b'x'; ServeOptions::default().max_body_bytes + 1];
    let request = harness.request("POST", "/orders").body(Full::from(large)).unwrap();
    let problem = problem(harness.send(request).await).await;
    assert_eq!(problem["type"], "urn:balsamturn:problem:body-too-large");
    assert_eq!(problem["outcome"], "not_run");
    let request = harness.request("GET", "/orders").header("x-large", "x".repeat(64 * 1024));
    let status = harness.send(request.body(Full::default()).unwrap()).await.status();
    assert_eq!(status, 431);
    assert!(service.executions().is_empty());
}

/// Guards against callers that keep connections open without sending a complete request head.
#[rstest]
#[case::nothing("")]
#[case::undecided_protocol("PRI")]
#[case::half_a_head("POST /orders HTTP/1.1\r\nhost: x\r\n")]
#[tokio::test]
async fn connection_without_a_complete_head_is_closed(#[case] sent: &str) {
    let options = ServeOptions { header_read_timeout_ms: 200, ..ServeOptions::default() };
    let harness = Harness::start_with(options, &[], &[]).await;
    let mut stream = TcpStream::connect(harness.address).await.unwrap();
    stream.write_all(sent.as_bytes()).await.unwrap();
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(Duration::from_secs(3), stream.read_to_end(&mut rest)).await;
    assert!(ended.is_ok(), "the connection is still open");
}

/// Guards against slow bodies that keep requests open or block other callers.
#[tokio::test]
async fn slow_body_is_refused_while_others_are_served() {
    let service = service().await;
    let options = ServeOptions { body_read_timeout_ms: 200, ..ServeOptions::default() };
    let harness = Harness::start_with(options, &[], &[&service]).await;
    let mut slow = Vec::new();
    for _ in 0..50 {
        let mut stream = TcpStream::connect(harness.address).await.unwrap();
        let head = "POST /orders HTTP/1.1\r\nhost: x\r\nauthorization: Bearer test-token\r\n\
                    content-length: 100\r\n\r\nhalf";
        stream.write_all(head.as_bytes()).await.unwrap();
        slow.push(stream);
    }
    assert!(read(harness.order(None).await).await.1);
    let mut text = vec![0; 64];
    let read = slow[0].read(&mut text);
    let count = tokio::time::timeout(Duration::from_secs(3), read).await.unwrap().unwrap();
    let text = String::from_utf8_lossy(&text[..count]);
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    assert_eq!(service.executions().len(), 1);
}

/// Guards against running more requests than allowed, and against refusing one that can wait.
#[tokio::test]
async fn request_waits_for_a_slot_or_is_refused_before_its_deadline() {
    let service = service().await;
    let options = ServeOptions { max_running: 1, ..ServeOptions::default() };
    let harness = Harness::start_with(options, &[], &[&service]).await;
    service.inject([Fault::Delay(Duration::from_millis(300))]);
    let short = harness.request("POST", "/orders").header("request-deadline-ms", "50");
    let short = harness.send(short.body("short".into()).unwrap());
    let late = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let refused = short.await;
        assert!(refused.headers().contains_key("retry-after"));
        problem(refused).await
    };
    let waiting = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        harness.order(None).await
    };
    let (first, second, late) = tokio::join!(harness.order(None), waiting, late);
    assert_eq!((first.status().as_u16(), second.status().as_u16()), (200, 200));
    assert_eq!(late["outcome"], "not_run");
    assert_eq!(service.peak_in_flight(), 1);
    assert_eq!(service.executions().len(), 2);
}

/// Guards against a flood of connections that locks other callers out.
#[rstest]
#[case::no_request("")]
#[case::refused_request("GET /orders HTTP/1.1\r\nhost: x\r\n\r\n")]
#[tokio::test]
async fn connections_without_a_running_request_are_closed_for_new_ones(#[case] sent: &str) {
    let service = service().await;
    let options = ServeOptions { max_connections: 4, ..ServeOptions::default() };
    let harness = Harness::start_with(options, &[], &[&service]).await;
    let mut flood = Vec::new();
    for _ in 0..8 {
        let mut stream = TcpStream::connect(harness.address).await.unwrap();
        stream.write_all(sent.as_bytes()).await.unwrap();
        flood.push(stream);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(read(harness.order(None).await).await.1);
    let mut rest = Vec::new();
    let oldest = flood[0].read_to_end(&mut rest);
    let oldest = tokio::time::timeout(Duration::from_secs(1), oldest).await;
    assert!(oldest.is_ok(), "the oldest connection is still open");
}

/// Guards against closing a connection for a new one, or at the end of the time for its head, while a
/// whole request is on it that was not read yet.
#[rstest]
#[case::for_a_new_connection(true)]
#[case::at_the_header_timeout(false)]
#[tokio::test]
async fn a_request_that_waits_unread_keeps_its_connection(#[case] has_other: bool) {
    const HEADER_TIMEOUT_MS: u64 = 200;
    let options = ServeOptions {
        max_connections: 1,
        header_read_timeout_ms: HEADER_TIMEOUT_MS,
        ..ServeOptions::default()
    };
    let harness = Harness::start_with(options, &[], &[]).await;
    for round in 0..16 {
        let mut caller = TcpStream::connect(harness.address).await.unwrap();
        tokio::time::sleep(Duration::from_millis(60)).await;
        // The node runs on this thread, so that it finds both when it goes on.
        let _other = has_other.then(|| std::net::TcpStream::connect(harness.address).unwrap());
        let request = b"POST /elsewhere HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
        assert_eq!(caller.try_write(request).unwrap(), request.len());
        if !has_other {
            std::thread::sleep(Duration::from_millis(HEADER_TIMEOUT_MS));
        }
        let mut byte = [0; 1];
        let read = tokio::time::timeout(Duration::from_secs(3), caller.read(&mut byte)).await;
        assert!(matches!(read, Ok(Ok(1))), "no answer in round {round}: {read:?}");
        drop(caller);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against exceeding the connection limit when all connections run requests.
#[tokio::test]
async fn connection_above_the_limit_is_closed_while_all_others_run_requests() {
    let engine = engine().await;
    let options = ServeOptions { max_connections: 2, ..ServeOptions::default() };
    let harness = Harness::start_with(options, &[&engine], &[]).await;
    let _open = (harness.chat("m", 10_000).await, harness.chat("m", 10_000).await);
    let mut third = TcpStream::connect(harness.address).await.unwrap();
    let mut byte = [0; 1];
    let closed = tokio::time::timeout(Duration::from_secs(1), third.read(&mut byte)).await;
    assert!(matches!(closed, Ok(Ok(0) | Err(_))), "the third connection is open");
}

/// Guards against an organisation whose unfinished bodies use up the memory of the others.
#[tokio::test]
async fn one_organisation_cannot_use_all_memory_for_bodies() {
    let service = service().await;
    let options = ServeOptions {
        max_body_bytes: 64 * 1024,
        max_body_bytes_total: 256 * 1024,
        ..ServeOptions::default()
    };
    let harness = Harness::start_with(options, &[], &[&service]).await;
    let mut flood = Vec::new();
    for _ in 0..16 {
        let mut stream = TcpStream::connect(harness.address).await.unwrap();
        let head = "POST /orders HTTP/1.1\r\nhost: x\r\nauthorization: Bearer test-token\r\n\
                    content-length: 60000\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&vec![b'x'; 50_000]).await.unwrap();
        flood.push(stream);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let body = || Full::from(vec![b'x'; 60_000]);
    let own = harness.send(harness.request("POST", "/orders").body(body()).unwrap()).await;
    assert_eq!(problem(own).await["type"], "urn:balsamturn:problem:overloaded");
    let mut other = harness.request("POST", "/orders").body(body()).unwrap();
    other.headers_mut().insert("authorization", "Bearer other-token".parse().unwrap());
    assert!(read(harness.send(other).await).await.1);
}
