//! An endpoint that writes an earlier refusal once more on a kept connection, where the answer to
//! the next request is due, and runs that request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use http_body_util::Full;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::support;
use crate::support::Harness;
use crate::support::eventually;
use crate::support::group;
use crate::support::problem;
use crate::support::read;
use crate::support::service;

const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbook";

/// Starts an endpoint that answers the first request of a connection properly and writes a refusal
/// before the answer to each later one; counts the requests, all of which it runs.
async fn start_faulty_endpoint() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let runs = Arc::new(AtomicUsize::new(0));
    let counter = runs.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve_connection(stream, counter.clone()));
        }
    });
    (address, runs)
}

async fn serve_connection(mut stream: TcpStream, runs: Arc<AtomicUsize>) {
    let mut is_first = true;
    while read_request(&mut stream).await.is_some() {
        runs.fetch_add(1, Ordering::Relaxed);
        let answer = if is_first { ANSWER.to_owned() } else { format!("{REFUSAL}{ANSWER}") };
        let _ = stream.write_all(answer.as_bytes()).await;
        is_first = false;
    }
}

/// Reads a request with its body.
async fn read_request(stream: &mut TcpStream) -> Option<()> {
    let mut received = String::new();
    let mut buffer = [0; 1024];
    loop {
        if let Some((head, body)) = received.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            if body.len() >= length.map_or(0, |length| length.parse().unwrap()) {
                return Some(());
            }
        }
        let length = stream.read(&mut buffer).await.ok().filter(|length| *length > 0)?;
        received.push_str(std::str::from_utf8(&buffer[..length]).unwrap());
    }
}

/// Starts a front whose plain service has the faulty endpoint and, if given, a sound one, which is
/// chosen second. A first request leaves a kept connection to the faulty endpoint.
async fn start_front(faulty: SocketAddr, sound: Option<SocketAddr>) -> Harness {
    let harness = Harness::start(&[], &[]).await;
    let mut groups = vec![group("service0", faulty)];
    groups.extend(
        sound.map(|address| balsam_route::Group { slow: true, ..group("service1", address) }),
    );
    *harness.fake_ports.table.lock().unwrap() = Arc::new(support::table(Vec::new(), groups));
    let request = harness.request("GET", "/orders/1").body(Full::default()).unwrap();
    assert!(read(harness.send(request).await).await.1);
    eventually("the answer has ended", || harness.front.open_requests() == 0).await;
    harness
}

/// Guards against running a request twice that is not idempotent, and against telling its caller
/// that it did not run.
#[rstest]
#[case::other_endpoint(true, None)]
#[case::no_other_endpoint(false, None)]
#[case::keyed(false, Some("k1"))]
#[tokio::test]
async fn a_non_idempotent_request_runs_once(#[case] has_other: bool, #[case] key: Option<&str>) {
    let (faulty, runs) = start_faulty_endpoint().await;
    let other = service().await;
    let harness = start_front(faulty, has_other.then(|| other.address())).await;
    let response = harness.order(key).await;
    assert_eq!(runs.load(Ordering::Relaxed) + other.executions().len(), 2, "runs");
    assert_eq!(response.status(), 200);
    assert_eq!(*harness.fake_ports.released.lock().unwrap(), 0);
}

/// Guards against telling a caller that an idempotent request did not run when the refusal may be an
/// earlier one.
#[tokio::test]
async fn a_refusal_on_a_kept_connection_leaves_the_outcome_unknown() {
    let (faulty, runs) = start_faulty_endpoint().await;
    let harness = start_front(faulty, None).await;
    let request = harness.request("GET", "/orders/1").body(Full::default()).unwrap();
    let problem = problem(harness.send(request).await).await;
    assert_eq!(runs.load(Ordering::Relaxed), 2);
    assert_eq!(problem["outcome"], "unknown", "{problem}");
    assert_eq!(problem["type"], "urn:balsamturn:problem:endpoint-busy");
}

/// Guards against failing an idempotent request that another endpoint can answer.
#[tokio::test]
async fn an_idempotent_request_is_answered_elsewhere() {
    let (faulty, _) = start_faulty_endpoint().await;
    let other = service().await;
    let harness = start_front(faulty, Some(other.address())).await;
    let request = harness.request("GET", "/orders/1").body(Full::default()).unwrap();
    assert_eq!(harness.send(request).await.status(), 200);
}
