//! Requests that are refused by their head while their body is still arriving.

use std::time::Duration;

use balsam_serve::ServeOptions;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::Harness;
use crate::support::service;

/// Time between two parts of a body.
const PART_DELAY: Duration = Duration::from_millis(15);

/// Sends a request in parts and reads its answer to the end, as a caller does that sends the whole
/// body first and stops at a failed write.
async fn exchange(harness: &Harness, head: &str, body_bytes: usize, parts: usize) -> String {
    let mut stream = TcpStream::connect(harness.address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let body = vec![b'x'; body_bytes];
    for part in body.chunks(body_bytes.div_ceil(parts)) {
        if parts > 1 {
            tokio::time::sleep(PART_DELAY).await;
        }
        stream.write_all(part).await.expect("the connection was reset while the body was sent");
    }
    // A reset discards what the caller has not read by now.
    tokio::time::sleep(PART_DELAY).await;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("the connection was reset before the answer");
    String::from_utf8(answer).unwrap()
}

/// Guards against refusals that are discarded by a reset, because the connection is closed with
/// unread bytes.
#[rstest]
#[case::unauthenticated("authorization: Bearer nobody", None, 401)]
#[case::invalid_header("authorization: Bearer test-token\r\nrequest-priority: ten", None, 400)]
#[case::too_large("authorization: Bearer test-token", Some(2 * 1024), 413)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_reaches_a_caller_that_is_still_sending(
    #[case] fields: &str,
    #[case] max_body_bytes: Option<usize>,
    #[case] status: u16,
    #[values(4_096, 60_000, 400_000)] body_bytes: usize,
    #[values(1, 4)] parts: usize,
) {
    let service = service().await;
    let default = ServeOptions::default().max_body_bytes;
    let options = ServeOptions {
        max_body_bytes: max_body_bytes.unwrap_or(default),
        ..ServeOptions::default()
    };
    let harness = Harness::start_with(options, &[], &[&service]).await;
    let head = format!(
        "POST /orders HTTP/1.1\r\nhost: x\r\n{fields}\r\ncontent-length: {body_bytes}\r\n\r\n"
    );
    let answer = exchange(&harness, &head, body_bytes, parts).await;
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
    assert!(answer.contains("\"outcome\":\"not_run\""), "{answer}");
    assert!(service.executions().is_empty());
}

/// Guards against a body in chunks, without a length, whose refusal is discarded.
#[tokio::test]
async fn a_refusal_of_a_chunked_body_reaches_its_caller() {
    let options = ServeOptions { max_body_bytes: 2 * 1024, ..ServeOptions::default() };
    let harness = Harness::start_with(options, &[], &[]).await;
    let head = "POST /orders HTTP/1.1\r\nhost: x\r\nauthorization: Bearer test-token\r\n\
                transfer-encoding: chunked\r\n\r\n61a80\r\n";
    let answer = exchange(&harness, head, 400_000, 4).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

/// Guards against reading the rest of a refused body without a bound in time or bytes.
#[rstest]
#[case::slow(Duration::from_millis(50), 1)]
#[case::endless(Duration::ZERO, 64 * 1024)]
#[tokio::test]
async fn an_endless_body_of_a_refused_request_is_cut_off(
    #[case] delay: Duration,
    #[case] part_bytes: usize,
) {
    let harness = Harness::start(&[], &[]).await;
    let mut stream = TcpStream::connect(harness.address).await.unwrap();
    let head = "POST /orders HTTP/1.1\r\nhost: x\r\nauthorization: Bearer nobody\r\n\
                content-length: 100000000000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let part = vec![b'x'; part_bytes];
    let send = async {
        while stream.write_all(&part).await.is_ok() {
            tokio::time::sleep(delay).await;
        }
    };
    let ended = tokio::time::timeout(Duration::from_secs(6), send).await;
    assert!(ended.is_ok(), "the connection is still open");
}
