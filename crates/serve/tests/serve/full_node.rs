//! Connections over the limit while all others run requests.

use std::time::Duration;

use balsam_serve::ServeOptions;
use balsam_standin::endpoint::Endpoint;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::Harness;
use crate::support::problem;
use crate::support::read;
use crate::support::service;

const MAX_CONNECTIONS: usize = 8;

/// Connections over the limit that are read at a time.
const MAX_REFUSED: usize = 2;

/// A refused caller's connection ends well within this time.
const END_TIMEOUT: Duration = Duration::from_secs(3);

const HEAD: &str = "POST /orders HTTP/1.1\r\nhost: x\r\nauthorization: Bearer test-token\r\n";

/// Starts a node and opens as many connections with a running request as it allows.
async fn start_full(service: &Endpoint) -> (Harness, Vec<TcpStream>) {
    let options = ServeOptions { max_connections: MAX_CONNECTIONS, ..ServeOptions::default() };
    let harness = Harness::start_with(options, &[], &[service]).await;
    let mut callers = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        let mut caller = TcpStream::connect(harness.address).await.unwrap();
        caller.write_all(format!("{HEAD}content-length: 6\r\n\r\nbook").as_bytes()).await.unwrap();
        callers.push(caller);
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    (harness, callers)
}

/// Completes the running requests; each must be answered.
async fn complete_all(callers: Vec<TcpStream>) {
    for mut caller in callers {
        caller.write_all(b" 1").await.unwrap();
        let mut answer = vec![0; 4096];
        let length = caller.read(&mut answer).await.unwrap();
        assert!(answer[..length].starts_with(b"HTTP/1.1 200"));
    }
}

async fn read_to_end(caller: &mut TcpStream) -> std::io::Result<String> {
    let mut answer = String::new();
    let reading = caller.read_to_string(&mut answer);
    tokio::time::timeout(END_TIMEOUT, reading).await.expect("the connection is open")?;
    Ok(answer)
}

/// Guards against closing a connection over the limit without an answer to its request, and against
/// `not_run` for a key with which an earlier request may have run.
#[rstest]
#[case::without_a_key("", "not_run")]
#[case::with_a_key("idempotency-key: k1\r\n", "unknown")]
#[tokio::test]
async fn the_first_request_over_the_connection_limit_is_refused(
    #[case] fields: &str,
    #[case] outcome: &str,
    #[values(6, 400_000)] body_bytes: usize,
) {
    let service = service().await;
    let (harness, callers) = start_full(&service).await;
    let mut caller = TcpStream::connect(harness.address).await.unwrap();
    let head = format!("{HEAD}{fields}content-length: {body_bytes}\r\n\r\n");
    caller.write_all(head.as_bytes()).await.unwrap();
    caller.write_all(&vec![b'x'; body_bytes]).await.unwrap();
    let answer = read_to_end(&mut caller).await.expect("the connection was reset");
    assert!(answer.starts_with("HTTP/1.1 429"), "{answer}");
    assert!(answer.contains("\"type\":\"urn:balsamturn:problem:overloaded\""), "{answer}");
    assert!(answer.contains(&format!("\"outcome\":\"{outcome}\"")), "{answer}");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");
    assert!(answer.contains("connection: close\r\n"), "{answer}");
    assert!(answer.contains("x-request-id: "), "{answer}");
    assert!(service.executions().is_empty());
    complete_all(callers).await;
}

/// Guards against closing an HTTP/2 connection over the limit without an answer, and against keeping
/// it open after the refusal.
#[rstest]
#[case::without_a_key(None, "not_run")]
#[case::with_a_key(Some("k1"), "unknown")]
#[tokio::test]
async fn http2_requests_over_the_connection_limit_are_refused(
    #[case] key: Option<&str>,
    #[case] outcome: &str,
) {
    let service = service().await;
    let (mut harness, callers) = start_full(&service).await;
    harness.use_http2();
    let order = async || {
        let mut request = harness.request("POST", "/orders");
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        harness.client.request(request.body("book 1".into()).unwrap()).await
    };
    let (first, second) = tokio::join!(order(), order());
    for refused in [first, second] {
        let refused = refused.expect("the connection was closed");
        assert_eq!(refused.headers()["retry-after"], "1");
        let problem = problem(refused).await;
        assert_eq!(problem["type"], "urn:balsamturn:problem:overloaded");
        assert_eq!(problem["outcome"], outcome);
    }
    assert!(service.executions().is_empty());
    complete_all(callers).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(read(harness.order(key).await).await.1, "the refused connection is still in use");
}

/// Guards against reading an unbounded number of connections over the limit, and against
/// connections without a request that keep the refusals from others.
#[tokio::test]
async fn connections_over_the_limit_are_refused_in_bounded_numbers() {
    let service = service().await;
    let (harness, callers) = start_full(&service).await;
    let mut silent = Vec::new();
    for _ in 0..MAX_REFUSED {
        silent.push(TcpStream::connect(harness.address).await.unwrap());
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let mut excess = TcpStream::connect(harness.address).await.unwrap();
    let _ = excess.write_all(format!("{HEAD}content-length: 0\r\n\r\n").as_bytes()).await;
    assert_eq!(read_to_end(&mut excess).await.unwrap_or_default(), "");
    let count = |action: &str| {
        harness.count("balsam_serve_connections_refused", &[&format!("action=\"{action}\"")])
    };
    assert_eq!((count("refused"), count("dropped")), (MAX_REFUSED as u64, 1));
    for caller in &mut silent {
        assert_eq!(read_to_end(caller).await.unwrap(), "");
    }
    let mut caller = TcpStream::connect(harness.address).await.unwrap();
    caller.write_all(format!("{HEAD}content-length: 0\r\n\r\n").as_bytes()).await.unwrap();
    let answer = read_to_end(&mut caller).await.expect("the connection was reset");
    assert!(answer.starts_with("HTTP/1.1 429"), "{answer}");
    complete_all(callers).await;
}

/// Guards against a shutdown that ends, and with it the process, before a refusal is sent.
#[tokio::test]
async fn a_shutdown_waits_for_connections_over_the_limit() {
    let service = service().await;
    let (harness, callers) = start_full(&service).await;
    let mut caller = TcpStream::connect(harness.address).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let front = harness.front.clone();
    let shutdown = tokio::spawn(async move { front.shutdown(Duration::from_secs(10)).await });
    complete_all(callers).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    caller.write_all(format!("{HEAD}content-length: 0\r\n\r\n").as_bytes()).await.unwrap();
    let answer = read_to_end(&mut caller).await.expect("the connection was reset");
    assert!(answer.starts_with("HTTP/1.1 429"), "{answer}");
    drop(caller);
    assert_eq!(shutdown.await.unwrap(), 0);
}
