//! Requests that cross the beginning of a shutdown.

use std::io::Read;
use std::io::Write;
use std::time::Duration;

use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::Harness;
use crate::support::service;

const SHUTDOWN_LIMIT: Duration = Duration::from_secs(10);

const HEAD: &str = "POST /orders HTTP/1.1\r\nhost: x\r\nauthorization: Bearer test-token\r\n\
    content-length: 6\r\n\r\n";

/// Checks that an answer on a connection that ended says that the request did not run.
fn assert_refused(answer: &str) {
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("\"outcome\":\"not_run\""), "{answer}");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");
    assert!(answer.contains("connection: close\r\n"), "{answer}");
}

async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("the connection was reset");
    String::from_utf8(answer).unwrap()
}

/// Guards against connections that are reset because they wait in the accept queue when the
/// shutdown begins.
#[tokio::test]
async fn requests_in_the_accept_queue_are_answered() {
    const CALLERS: usize = 64;
    let service = service().await;
    let harness = Harness::start(&[], &[&service]).await;
    // The accept loop has to be running. This test has one thread, so nothing is accepted between
    // this await and the next one.
    tokio::time::sleep(Duration::from_millis(20)).await;
    let mut streams = Vec::new();
    for _ in 0..CALLERS {
        let mut stream = std::net::TcpStream::connect(harness.address).unwrap();
        stream.write_all(format!("{HEAD}book 1").as_bytes()).unwrap();
        streams.push(stream);
    }
    let front = harness.front.clone();
    assert_eq!(front.shutdown(SHUTDOWN_LIMIT).await, 0);
    drop(harness);
    for mut stream in streams {
        stream.set_read_timeout(Some(Duration::from_secs(3))).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("the connection was reset");
        assert_refused(&answer);
    }
    assert!(service.executions().is_empty());
}

/// Guards against requests that get no answer because a part of them arrives after the shutdown
/// began. One whose head has arrived is open and runs to its end.
#[rstest]
#[case::new_connection("", false)]
#[case::within_the_head("POST /orders HTTP/1.1\r\nhost: x\r\nauthor", false)]
#[case::before_the_body(HEAD, true)]
#[tokio::test]
async fn a_request_that_arrives_during_the_shutdown_is_answered(
    #[case] sent_before: &'static str,
    #[case] is_open: bool,
    #[values(false, true)] is_kept: bool,
) {
    let service = service().await;
    let harness = Harness::start(&[], &[&service]).await;
    let mut stream = TcpStream::connect(harness.address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let request = format!("{HEAD}book 1");
    if is_kept {
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = vec![0; 4096];
        let length = stream.read(&mut answer).await.unwrap();
        let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    stream.write_all(sent_before.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let front = harness.front.clone();
    let shutdown = tokio::spawn(async move { front.shutdown(SHUTDOWN_LIMIT).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    stream.write_all(&request.as_bytes()[sent_before.len()..]).await.unwrap();
    let answer = read_to_end(&mut stream).await;
    match is_open {
        true => assert!(answer.starts_with("HTTP/1.1 200"), "{answer}"),
        false => assert_refused(&answer),
    }
    assert!(answer.contains("connection: close\r\n"), "{answer}");
    drop(stream);
    assert_eq!(shutdown.await.unwrap(), 0);
    assert_eq!(service.executions().len(), usize::from(is_kept) + usize::from(is_open));
}

/// Guards against a shutdown that waits for connections without a request.
#[tokio::test]
async fn connections_without_a_request_do_not_hold_up_the_shutdown() {
    let harness = Harness::start(&[], &[]).await;
    let mut stream = TcpStream::connect(harness.address).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let front = harness.front.clone();
    let shutdown = tokio::spawn(async move { front.shutdown(SHUTDOWN_LIMIT).await });
    assert_eq!(read_to_end(&mut stream).await, "");
    drop(stream);
    tokio::time::timeout(Duration::from_secs(3), shutdown).await.unwrap().unwrap();
}
