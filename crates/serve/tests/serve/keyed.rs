//! Requests with an `Idempotency-Key`.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use balsam_serve::ClaimDecision;
use balsam_standin::endpoint::Fault;
use balsam_types::Offset;
use balsam_types::StoredResponse;
use http::HeaderName;
use http_body_util::Full;
use rstest::rstest;

use crate::support::Harness;
use crate::support::eventually;
use crate::support::problem;
use crate::support::read;
use crate::support::service;

/// Guards against a repeat of a completed request that runs again or gets another answer.
#[tokio::test]
async fn complete_answer_is_recorded_and_replayed() {
    let service = service().await;
    let harness = Harness::start(&[], &[&service]).await;
    let (first, is_complete) = read(harness.order(Some("k1")).await).await;
    assert!(is_complete);
    eventually("the response is recorded", || {
        !harness.fake_ports.completed.lock().unwrap().is_empty()
    })
    .await;
    let stored = harness.fake_ports.completed.lock().unwrap()[0].clone();
    *harness.fake_ports.claim.lock().unwrap() = ClaimDecision::Replay(stored);
    let response = harness.order(Some("k1")).await;
    assert_eq!(response.headers()["idempotent-replayed"], "true");
    assert_eq!(response.headers()["content-type"], "application/json");
    assert_eq!(read(response).await.0, first);
    assert_eq!(service.executions().len(), 1);
}

/// A stored number that is no status was replayed as 200, or as the endpoint's answer.
#[rstest]
#[tokio::test]
async fn a_stored_response_without_a_valid_status_is_not_replayed(
    #[values(0, 99, 600, 1000)] status: u16,
) {
    let harness = Harness::start(&[], &[]).await;
    let stored = StoredResponse { status, content_type: "".into(), body: Some(b"x"[..].into()) };
    *harness.fake_ports.claim.lock().unwrap() = ClaimDecision::Replay(stored);
    let response = harness.order(Some("k1")).await;
    let problem = problem(response).await;
    assert_eq!((&problem["status"], &problem["outcome"]), (&409.into(), &"completed".into()));
}

/// Guards against withholding an answer because the log is unavailable.
#[tokio::test]
async fn answer_that_cannot_be_recorded_still_reaches_the_caller() {
    let service = service().await;
    let harness = Harness::start(&[], &[&service]).await;
    *harness.fake_ports.can_record_answers.lock().unwrap() = false;
    let (text, is_complete) = read(harness.order(Some("k1")).await).await;
    assert!(is_complete && text.contains("book 1"), "{text}");
    assert_eq!(*harness.fake_ports.released.lock().unwrap(), 0);
}

/// Guards against running a request without a claim, and against reporting a wrong outcome for it.
#[rstest]
#[case::reused(ClaimDecision::KeyReused, 422, "key-reused", "not_run", false)]
#[case::held(ClaimDecision::HeldElsewhere, 409, "request-in-progress", "unknown", true)]
#[case::ended(ClaimDecision::OutcomeUnknown, 409, "earlier-outcome-unknown", "unknown", false)]
#[case::old(ClaimDecision::KeyExpired, 409, "key-expired", "unknown", false)]
#[case::log_down(
    ClaimDecision::Unavailable { retry_after_ms: 4_000 }, 503, "claim-unavailable", "unknown", true
)]
#[tokio::test]
async fn request_without_a_claim_does_not_run(
    #[case] decision: ClaimDecision,
    #[case] status: u16,
    #[case] kind: &str,
    #[case] outcome: &str,
    #[case] has_retry_after: bool,
) {
    let service = service().await;
    let harness = Harness::start(&[], &[&service]).await;
    *harness.fake_ports.claim.lock().unwrap() = decision;
    let started = Instant::now();
    let response = harness.order(Some("k1")).await;
    assert_eq!(response.status(), status);
    assert_eq!(response.headers().contains_key("retry-after"), has_retry_after);
    let problem = problem(response).await;
    assert_eq!(problem["type"], format!("urn:balsamturn:problem:{kind}"));
    assert_eq!(problem["outcome"], outcome);
    assert!(started.elapsed() < Duration::from_secs(1), "the final answer was held back");
    assert!(service.executions().is_empty());
}

/// Guards against a paused process that dispatches a request after its claim has expired.
#[tokio::test]
async fn claim_past_its_dispatch_time_is_released() {
    let service = service().await;
    let harness = Harness::start(&[], &[&service]).await;
    let offset = Offset::new(7, 0);
    *harness.fake_ports.claim.lock().unwrap() =
        ClaimDecision::Granted { offset, dispatch_until_ms: 0 };
    assert_eq!(problem(harness.order(Some("k1")).await).await["outcome"], "not_run");
    eventually("the claim is released", || *harness.fake_ports.released.lock().unwrap() == 1).await;
    assert!(service.executions().is_empty());
}

/// Guards against releasing the claim of a request that may have run.
#[tokio::test]
async fn run_with_unknown_outcome_keeps_its_claim() {
    let (first, second) = (service().await, service().await);
    first.inject([Fault::CloseAfter]);
    second.inject([Fault::CloseAfter]);
    let harness = Harness::start(&[], &[&first, &second]).await;
    assert_eq!(problem(harness.order(Some("k1")).await).await["outcome"], "unknown");
    assert_eq!(first.executions().len() + second.executions().len(), 1);
    assert_eq!(*harness.fake_ports.released.lock().unwrap(), 0);
    assert!(harness.fake_ports.completed.lock().unwrap().is_empty());
}

/// Guards against failing a claimed request that another endpoint can still run.
#[tokio::test]
async fn attempt_that_did_not_run_is_retried_under_the_same_claim() {
    let (refusing, other) = (service().await, service().await);
    refusing.inject([Fault::ErrorBefore(503)]);
    let harness = Harness::start(&[], &[&refusing, &other]).await;
    assert!(read(harness.order(Some("k1")).await).await.1);
    assert_eq!(*harness.fake_ports.released.lock().unwrap(), 0);
    assert_eq!(refusing.executions().len() + other.executions().len(), 1);
}

/// Guards against a lost response when the caller disconnects before the answer.
#[tokio::test]
async fn caller_disconnect_does_not_end_a_claimed_run() {
    let service = service().await;
    service.inject([Fault::DelayAnswer(Duration::from_millis(200))]);
    let harness = Harness::start(&[], &[&service]).await;
    let timed_out =
        tokio::time::timeout(Duration::from_millis(100), harness.order(Some("k1"))).await;
    assert!(timed_out.is_err());
    eventually("the response is recorded", || {
        harness.fake_ports.completed.lock().unwrap().len() == 1
    })
    .await;
}

/// Guards against a repeat that is not told the outcome when the response was too large to store.
#[tokio::test]
async fn replay_without_a_stored_body_reports_completion() {
    let harness = Harness::start(&[], &[]).await;
    let stored = StoredResponse { status: 201, content_type: Arc::from(""), body: None };
    *harness.fake_ports.claim.lock().unwrap() = ClaimDecision::Replay(stored);
    let response = harness.order(Some("k1")).await;
    assert_eq!(response.headers()["idempotent-replayed"], "true");
    assert_eq!(problem(response).await["outcome"], "completed");
}

/// Guards against `not_run` for a repeat whose first request ran. An entry node that had just been
/// replaced knew no organisations yet and answered 401 `not_run` (soak test, seeds 11 and 13).
#[rstest]
#[case::no_state_yet(true, None, 503, "no-endpoint")]
#[case::refused_header(false, Some(("request-priority", "ten")), 400, "invalid-request")]
#[case::unknown_token(false, Some(("authorization", "Bearer nobody")), 401, "unauthenticated")]
#[tokio::test]
async fn refusal_of_a_keyed_request_before_its_claim_is_unknown(
    #[case] is_fresh: bool,
    #[case] header: Option<(&str, &str)>,
    #[case] status: u16,
    #[case] kind: &str,
    #[values(true, false)] has_key: bool,
) {
    let service = service().await;
    let harness = Harness::start(&[], &[&service]).await;
    if is_fresh {
        *harness.fake_ports.table.lock().unwrap() = Arc::default();
    }
    let mut request = harness.request("POST", "/orders").body(Full::from("book 1")).unwrap();
    let headers = request.headers_mut();
    if let Some((name, value)) = header {
        headers.insert(HeaderName::try_from(name).unwrap(), value.parse().unwrap());
    }
    if has_key {
        headers.insert("idempotency-key", "k1".parse().unwrap());
    }
    let response = harness.send(request).await;
    assert_eq!(response.status(), status);
    let problem = problem(response).await;
    assert_eq!(problem["type"], format!("urn:balsamturn:problem:{kind}"));
    assert_eq!(problem["outcome"], if has_key { "unknown" } else { "not_run" });
}
