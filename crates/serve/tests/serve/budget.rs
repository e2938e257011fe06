//! Request counters and the retry budget.

use balsam_serve::ServeOptions;
use balsam_standin::endpoint::Fault;
use http_body_util::Full;
use rstest::rstest;

use crate::support::Harness;
use crate::support::eventually;
use crate::support::problem;
use crate::support::read;
use crate::support::service;

const REQUESTS: u64 = 200;

/// Guards against a retry storm when all endpoints of a data centre are down.
#[rstest]
#[case::declined(false)]
#[case::unreachable(true)]
#[tokio::test]
async fn retries_are_bounded_when_every_endpoint_refuses(#[case] is_unreachable: bool) {
    let mut services = [service().await, service().await, service().await].map(Some);
    let all: Vec<_> = services.iter().flatten().collect();
    let harness = Harness::start_with(ServeOptions::default(), &[], &all).await;
    for service in &mut services {
        match is_unreachable {
            true => drop(service.take()),
            false => {
                let refusals = (0..3 * REQUESTS).map(|_| Fault::ErrorBefore(503));
                service.as_ref().unwrap().inject(refusals);
            }
        }
    }
    for _ in 0..REQUESTS {
        assert_eq!(problem(harness.order(None).await).await["outcome"], "not_run");
    }
    let attempts = harness.count("balsam_serve_attempts", &[]);
    let retries = harness.count("balsam_serve_retries", &[]);
    assert!(retries > 0, "a single refusal is retried");
    assert_eq!(attempts, REQUESTS + retries);
    assert!(attempts * 10 <= REQUESTS * 12, "{attempts} attempts at {REQUESTS} requests");
    let refused = ["route=\"orders\"", "outcome=\"not_run\""];
    assert_eq!(harness.count("balsam_serve_requests", &refused), REQUESTS);
    assert_eq!(harness.count("balsam_serve_requests", &[]), REQUESTS);
}

/// Guards against requests that are counted under a wrong route or outcome, or not at all.
#[tokio::test]
async fn requests_are_counted_by_route_and_outcome() {
    let service = service().await;
    let harness = Harness::start(&[], &[&service]).await;
    service.inject([Fault::CloseAfter]);
    assert_eq!(problem(harness.order(None).await).await["outcome"], "unknown");
    assert!(read(harness.order(None).await).await.1);
    let count = |outcome: &str| {
        let outcome = format!("outcome=\"{outcome}\"");
        harness.count("balsam_serve_requests", &["route=\"orders\"", &outcome])
    };
    eventually("both requests are counted", || count("unknown") == 1 && count("completed") == 1)
        .await;
    assert_eq!(harness.count("balsam_serve_requests", &[]), 2);
    assert_eq!(harness.count("balsam_serve_retries", &[]), 0, "the request may have run");
}

/// Guards against a new connection to the endpoint after each answer that has a length or no body,
/// and against counting such answers as cancelled.
#[rstest]
#[case::length("GET")]
#[case::no_body("HEAD")]
#[tokio::test]
async fn connection_is_reused_after_a_complete_answer(#[case] method: &str) {
    let service = service().await;
    let harness = Harness::start(&[], &[&service]).await;
    for _ in 0..10 {
        let request = harness.request(method, "/orders/1").body(Full::default()).unwrap();
        assert!(read(harness.send(request).await).await.1);
        eventually("the answer has ended", || harness.front.open_requests() == 0).await;
    }
    assert_eq!(service.connections(), 1);
    assert_eq!(harness.count("balsam_serve_cancelled", &[]), 0);
    assert_eq!(harness.count("balsam_serve_requests", &["outcome=\"completed\""]), 10);
}
