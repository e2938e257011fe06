//! Graceful shutdown.

use std::sync::Arc;
use std::time::Duration;

use balsam_serve::Call;
use balsam_types::OrganisationName;
use balsam_types::Outcome;
use balsam_types::PoolName;
use rstest::rstest;
use tokio::net::TcpStream;

use crate::support::Harness;
use crate::support::engine;
use crate::support::event_ids;
use crate::support::read;
use crate::support::service;

/// Guards against a shutdown that truncates an answer, over both protocols.
#[rstest]
#[case::http1(false)]
#[case::http2(true)]
#[tokio::test]
async fn a_shutdown_lets_open_streams_end_whole(#[case] is_http2: bool) {
    let engine = engine().await;
    let mut harness = Harness::start(&[&engine], &[]).await;
    if is_http2 {
        harness.use_http2();
    }
    let reading = tokio::spawn(read(harness.chat("m", 100).await));
    let unfinished = harness.front.shutdown(Duration::from_secs(10)).await;
    assert_eq!(unfinished, 0);
    assert!(!harness.front.is_ready());
    let (text, is_complete) = reading.await.unwrap();
    assert!(is_complete);
    assert_eq!(event_ids(&text), (1..=101).collect::<Vec<_>>());
    assert!(TcpStream::connect(harness.address).await.is_err(), "the listener is still open");
}

/// Guards against a shutdown that never ends, and against not reporting unfinished requests.
#[tokio::test]
async fn shutdown_returns_the_number_of_unfinished_requests() {
    let engine = engine().await;
    let harness = Harness::start(&[&engine], &[]).await;
    let _open = harness.chat("m", 100_000).await;
    assert_eq!(harness.front.shutdown(Duration::from_millis(100)).await, 1);
}

/// Guards against a forwarded request that starts on a node that no longer waits for requests.
#[tokio::test]
async fn forwarded_request_is_refused_after_the_shutdown_has_started() {
    let service = service().await;
    let harness = Harness::start(&[], &[&service]).await;
    let call = Call {
        organisation: OrganisationName::try_from("club").unwrap(),
        pool: PoolName::try_from("services").unwrap(),
        method: http::Method::POST,
        path_and_query: Arc::from("/orders"),
        headers: http::HeaderMap::new(),
        body: "book 1".into(),
        deadline_ms: u64::MAX,
        priority: 5,
        idempotent: false,
        claim_offset: None,
        dispatch_until_ms: None,
    };
    assert!(harness.front.serve_forwarded(call.clone()).await.is_ok());
    assert_eq!(harness.front.shutdown(Duration::from_secs(10)).await, 0);
    let refused = harness.front.serve_forwarded(call).await.unwrap_err();
    assert_eq!(refused.outcome, Outcome::NotRun);
    assert_eq!(service.executions().len(), 1);
}
