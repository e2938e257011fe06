//! Requests that have no answer when the limit of the shutdown is reached.

use std::sync::Arc;
use std::time::Duration;

use balsam_route::Temperature;
use balsam_serve::PermitRefusal;
use balsam_serve::ServeOptions;
use balsam_standin::endpoint::Fault;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::Harness;
use crate::support::eventually;
use crate::support::group;
use crate::support::service;
use crate::support::table;

const LIMIT: Duration = Duration::from_millis(200);

async fn send(harness: &Harness, fields: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(harness.address).await.unwrap();
    let head = format!(
        "POST /orders HTTP/1.1\r\nhost: x\r\nauthorization: Bearer test-token\r\n{fields}\
         content-length: 6\r\n\r\n"
    );
    stream.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
    stream
}

async fn answer(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    // The process ends soon after the limit.
    let read = tokio::time::timeout(Duration::from_secs(1), stream.read_to_end(&mut answer));
    read.await.expect("no answer at the limit").expect("the connection was reset");
    String::from_utf8(answer).unwrap()
}

fn assert_answer(answer: &str, status: u16, outcome: &str) {
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
    assert!(answer.contains(&format!("\"outcome\":\"{outcome}\"")), "{answer}");
    assert!(answer.contains("connection: close\r\n"), "{answer}");
    assert_eq!(answer.contains("retry-after: 1\r\n"), status == 503, "{answer}");
}

/// Guards against a closed connection instead of an answer, and against a wrong outcome in it.
#[rstest]
#[case::without_a_key("", "not_run")]
#[case::with_a_key("idempotency-key: k1\r\n", "unknown")]
#[tokio::test]
async fn requests_without_an_answer_get_one_at_the_limit(
    #[case] fields: &str,
    #[case] outcome_if_waiting: &str,
) {
    let service = service().await;
    service.inject([Fault::DelayAnswer(Duration::from_secs(20))]);
    let options = ServeOptions { max_running: 1, ..ServeOptions::default() };
    let harness = Harness::start_with(options, &[], &[&service]).await;
    let running = send(&harness, fields, "book 1").await;
    eventually("the order runs", || service.executions().len() == 1).await;
    let waiting = send(&harness, fields, "book 2").await;
    let half_sent = send(&harness, fields, "boo").await;
    eventually("three requests are open", || harness.front.open_requests() == 3).await;
    assert_eq!(harness.front.shutdown(LIMIT).await, 3);
    assert_answer(&answer(running).await, 502, "unknown");
    assert_answer(&answer(waiting).await, 503, outcome_if_waiting);
    assert_answer(&answer(half_sent).await, 503, outcome_if_waiting);
    assert_eq!(service.executions().len(), 1);
    assert_eq!(*harness.fake_ports.released.lock().unwrap(), 0);
}

/// Guards against the outcome `unknown` for a request that was never passed on.
#[tokio::test]
async fn a_request_that_waits_for_a_permit_did_not_run() {
    let service = service().await;
    let harness = Harness::start(&[], &[&service]).await;
    let mut cold = group("cold", service.address());
    cold.temperature = Temperature::Cold;
    *harness.fake_ports.table.lock().unwrap() = Arc::new(table(Vec::new(), vec![cold]));
    let refusal = PermitRefusal { retry_after_ms: 1_000, reason: Arc::from("full") };
    *harness.fake_ports.permits.lock().unwrap() = Err(refusal);
    let waiting = send(&harness, "", "book 1").await;
    eventually("a permit is requested", || {
        !harness.fake_ports.permit_requests.lock().unwrap().is_empty()
    })
    .await;
    assert_eq!(harness.front.shutdown(LIMIT).await, 1);
    assert_answer(&answer(waiting).await, 503, "not_run");
    assert!(service.executions().is_empty());
}
