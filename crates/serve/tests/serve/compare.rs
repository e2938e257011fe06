//! Copying of reads to a second pool while a service moves, and requests that are never copied.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use balsam_serve::ClaimDecision;
use balsam_serve::ServeOptions;
use balsam_standin::endpoint::Endpoint;
use balsam_standin::endpoint::Fault;
use balsam_types::PoolName;
use http::StatusCode;
use http_body_util::Full;
use rstest::rstest;

use crate::support::Harness;
use crate::support::add_pool;
use crate::support::eventually;
use crate::support::read;
use crate::support::service;

/// Starts a front whose orders are served by one service and compared with a second one.
async fn start_with_copies(percent: u32, max_copies: usize) -> (Harness, Endpoint, Endpoint) {
    let (first, second) = (service().await, service().await);
    let options = ServeOptions {
        compare_percent: percent,
        compare_running: max_copies,
        ..ServeOptions::default()
    };
    let harness = Harness::start_with(options, &[], &[&first]).await;
    change_route(&harness, &second, "services", Some("moved"));
    (harness, first, second)
}

fn change_route(harness: &Harness, second: &Endpoint, pool: &str, second_pool: Option<&str>) {
    let name = |name: &str| PoolName::try_from(name).unwrap();
    let mut guard = harness.fake_ports.table.lock().unwrap();
    let table = Arc::make_mut(&mut guard);
    add_pool(table, "moved", second);
    let route = Arc::make_mut(&mut table.path_routes[0]);
    route.pool = name(pool);
    route.compare_pool = second_pool.map(name);
}

async fn read_order(harness: &Harness) -> StatusCode {
    let response =
        harness.send(harness.request("GET", "/orders/1").body(Full::default()).unwrap()).await;
    let status = response.status();
    assert!(read(response).await.1);
    status
}

/// Guards against answers that are not compared, or are counted under a wrong result.
#[rstest]
#[case::equal(None, "equal")]
#[case::other_status(Some(Fault::ErrorAfter(500)), "different")]
#[case::not_run(Some(Fault::ErrorBefore(503)), "failed")]
#[case::cut(Some(Fault::TruncateBody), "failed")]
#[tokio::test]
async fn read_is_compared_with_the_second_pool(#[case] fault: Option<Fault>, #[case] result: &str) {
    let (harness, first, second) = start_with_copies(100, 8).await;
    second.inject(fault);
    assert_eq!(read_order(&harness).await, 200);
    let line = format!("result=\"{result}\"");
    eventually("the comparison is counted", || {
        harness.count("balsam_serve_compared", &[&line, "route=\"orders\""]) == 1
    })
    .await;
    assert_eq!(harness.count("balsam_serve_compared", &[]), 1, "counted once, as one result");
    assert_eq!(first.executions().len(), 1);
}

/// Guards against a write that is sent to both pools.
#[rstest]
#[case::booking("POST", None)]
#[case::keyed_booking("POST", Some("k1"))]
#[case::idempotent_write("PUT", None)]
#[case::idempotent_removal("DELETE", None)]
#[tokio::test]
async fn write_is_sent_to_exactly_one_pool(#[case] method: &str, #[case] key: Option<&str>) {
    let (harness, first, second) = start_with_copies(100, 8).await;
    let mut request = harness.request(method, "/orders");
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    assert!(read(harness.send(request.body(Full::from("book 1")).unwrap()).await).await.1);
    // The read sent afterwards is copied; a copy of the write would have been started before it.
    read_order(&harness).await;
    eventually("the read is copied", || second.executions().len() == 1).await;
    assert_eq!(first.executions().len(), 2);
    assert_eq!(&*second.executions()[0].path, "/orders/1");
}

/// Guards against a second pool that delays or fails callers' requests, and against more concurrent
/// copies than allowed.
#[tokio::test]
async fn blocked_second_pool_affects_no_caller_and_gets_limited_copies() {
    let (harness, first, second) = start_with_copies(100, 2).await;
    second.inject((0..10).map(|_| Fault::Delay(Duration::from_secs(20))));
    let started = Instant::now();
    for _ in 0..10 {
        assert_eq!(read_order(&harness).await, 200);
    }
    assert!(started.elapsed() < Duration::from_secs(20), "a caller waited for a copy");
    assert_eq!(first.executions().len(), 10);
    eventually("copies reach the second pool", || second.in_flight() == 2).await;
    assert_eq!(second.peak_in_flight(), 2);
    eventually("no copy counts as an open request", || harness.front.open_requests() == 0).await;
}

/// Guards against copying more reads than the configured percentage.
#[tokio::test]
async fn only_the_configured_percentage_is_copied() {
    let (harness, first, second) = start_with_copies(25, 8).await;
    for _ in 0..12 {
        read_order(&harness).await;
    }
    eventually("a quarter of the reads is copied", || {
        harness.count("balsam_serve_compared", &[]) == 3
    })
    .await;
    assert_eq!((first.executions().len(), second.executions().len()), (12, 3));
}

/// Guards against a repeat of a key that runs again in the new pool after a move.
#[tokio::test]
async fn repeat_of_a_key_does_not_run_in_the_new_pool() {
    let (harness, first, second) = start_with_copies(100, 8).await;
    let (answer, is_complete) = read(harness.order(Some("k1")).await).await;
    assert!(is_complete);
    eventually("the response is recorded", || {
        harness.fake_ports.completed.lock().unwrap().len() == 1
    })
    .await;
    let stored = harness.fake_ports.completed.lock().unwrap()[0].clone();
    change_route(&harness, &second, "moved", None);
    *harness.fake_ports.claim.lock().unwrap() = ClaimDecision::Replay(stored);
    let repeat = harness.order(Some("k1")).await;
    assert_eq!(repeat.headers()["idempotent-replayed"], "true");
    assert_eq!(read(repeat).await, (answer, true));
    *harness.fake_ports.claim.lock().unwrap() = ClaimDecision::HeldElsewhere;
    assert_eq!(harness.order(Some("k1")).await.status(), 409);
    assert_eq!((first.executions().len(), second.executions().len()), (1, 0));
}
