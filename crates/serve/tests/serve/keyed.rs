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

use crate::support::Rig;
use crate::support::eventually;
use crate::support::problem;
use crate::support::read;
use crate::support::service;

/// Guards against a completed request whose repeat would run again or get another answer.
#[tokio::test]
async fn a_whole_answer_is_recorded_and_a_repeat_gets_it() {
    let service = service().await;
    let rig = Rig::start(&[], &[&service]).await;
    let (first, whole) = read(rig.order(Some("k1")).await).await;
    assert!(whole);
    eventually("it is recorded", || !rig.fakes.completed.lock().unwrap().is_empty()).await;
    let stored = rig.fakes.completed.lock().unwrap()[0].clone();
    *rig.fakes.claim.lock().unwrap() = ClaimDecision::Replay(stored);
    let response = rig.order(Some("k1")).await;
    assert_eq!(response.headers()["idempotent-replayed"], "true");
    assert_eq!(response.headers()["content-type"], "application/json");
    assert_eq!(read(response).await.0, first);
    assert_eq!(service.executions().len(), 1);
}

/// Guards against withholding an answer because the log is down.
#[tokio::test]
async fn an_answer_that_cannot_be_recorded_still_reaches_the_caller() {
    let service = service().await;
    let rig = Rig::start(&[], &[&service]).await;
    *rig.fakes.record_answers.lock().unwrap() = false;
    let (text, whole) = read(rig.order(Some("k1")).await).await;
    assert!(whole && text.contains("book 1"), "{text}");
    assert_eq!(*rig.fakes.released.lock().unwrap(), 0);
}

/// Guards against running a request without a claim, and against a wrong outcome without one.
#[rstest]
#[case::reused(ClaimDecision::KeyReused, 422, "key-reused", "not_run", false)]
#[case::held(ClaimDecision::HeldElsewhere, 409, "request-in-progress", "unknown", true)]
#[case::ended(ClaimDecision::EndedUnknown, 409, "earlier-outcome-unknown", "unknown", false)]
#[case::old(ClaimDecision::WindowPassed, 409, "key-expired", "unknown", false)]
#[case::log_down(
    ClaimDecision::Unavailable { retry_after_ms: 4_000 }, 503, "claim-unavailable", "unknown", true
)]
#[tokio::test]
async fn without_a_claim_nothing_runs(
    #[case] decision: ClaimDecision,
    #[case] status: u16,
    #[case] kind: &str,
    #[case] outcome: &str,
    #[case] comes_back: bool,
) {
    let service = service().await;
    let rig = Rig::start(&[], &[&service]).await;
    *rig.fakes.claim.lock().unwrap() = decision;
    let started = Instant::now();
    let response = rig.order(Some("k1")).await;
    assert_eq!(response.status(), status);
    assert_eq!(response.headers().contains_key("retry-after"), comes_back);
    let problem = problem(response).await;
    assert_eq!(problem["type"], format!("urn:balsamturn:problem:{kind}"));
    assert_eq!(problem["outcome"], outcome);
    assert!(started.elapsed() < Duration::from_secs(1), "the final answer was held back");
    assert!(service.executions().is_empty());
}

/// Guards against a claimant that was paused and dispatches after its claim lapsed.
#[tokio::test]
async fn a_claim_past_its_dispatch_time_is_not_dispatched_but_released() {
    let service = service().await;
    let rig = Rig::start(&[], &[&service]).await;
    let offset = Offset::new(7, 0);
    *rig.fakes.claim.lock().unwrap() = ClaimDecision::Granted { offset, dispatch_until_ms: 0 };
    assert_eq!(problem(rig.order(Some("k1")).await).await["outcome"], "not_run");
    eventually("the claim is released", || *rig.fakes.released.lock().unwrap() == 1).await;
    assert!(service.executions().is_empty());
}

/// Guards against releasing the claim of a request that may have run.
#[tokio::test]
async fn a_run_with_unknown_outcome_keeps_its_claim() {
    let (first, second) = (service().await, service().await);
    first.inject([Fault::CloseAfter]);
    second.inject([Fault::CloseAfter]);
    let rig = Rig::start(&[], &[&first, &second]).await;
    assert_eq!(problem(rig.order(Some("k1")).await).await["outcome"], "unknown");
    assert_eq!(first.executions().len() + second.executions().len(), 1);
    assert_eq!(*rig.fakes.released.lock().unwrap(), 0);
    assert!(rig.fakes.completed.lock().unwrap().is_empty());
}

/// Guards against giving up a claimed request that another endpoint can still run.
#[tokio::test]
async fn an_attempt_that_did_not_run_moves_on_under_the_same_claim() {
    let (refusing, other) = (service().await, service().await);
    refusing.inject([Fault::ErrorBefore(503)]);
    let rig = Rig::start(&[], &[&refusing, &other]).await;
    assert!(read(rig.order(Some("k1")).await).await.1);
    assert_eq!(*rig.fakes.released.lock().unwrap(), 0);
    assert_eq!(refusing.executions().len() + other.executions().len(), 1);
}

/// Guards against a lost response when the caller goes away before the answer.
#[tokio::test]
async fn a_caller_that_disconnects_does_not_end_a_claimed_run() {
    let service = service().await;
    service.inject([Fault::AnswerLate(Duration::from_millis(200))]);
    let rig = Rig::start(&[], &[&service]).await;
    let gone = tokio::time::timeout(Duration::from_millis(100), rig.order(Some("k1"))).await;
    assert!(gone.is_err());
    eventually("it is recorded", || rig.fakes.completed.lock().unwrap().len() == 1).await;
}

/// Guards against a repeat that learns nothing because the response was too large to keep.
#[tokio::test]
async fn a_replay_without_a_body_says_that_the_request_completed() {
    let rig = Rig::start(&[], &[]).await;
    let stored = StoredResponse { status: 201, content_type: Arc::from(""), body: None };
    *rig.fakes.claim.lock().unwrap() = ClaimDecision::Replay(stored);
    let response = rig.order(Some("k1")).await;
    assert_eq!(response.headers()["idempotent-replayed"], "true");
    assert_eq!(problem(response).await["outcome"], "completed");
}

/// Guards against `not_run` for a repeat whose first request ran: an entry node that had just been
/// replaced knew no organisations and answered 401 `not_run` (found by the soak, seeds 11 and 13).
#[rstest]
#[case::no_state_yet(true, None, 503, "no-endpoint")]
#[case::refused_header(false, Some(("request-priority", "ten")), 400, "invalid-request")]
#[case::unknown_token(false, Some(("authorization", "Bearer nobody")), 401, "unauthenticated")]
#[tokio::test]
async fn a_refusal_before_the_claim_says_nothing_of_earlier_requests(
    #[case] is_fresh: bool,
    #[case] header: Option<(&str, &str)>,
    #[case] status: u16,
    #[case] kind: &str,
    #[values(true, false)] has_key: bool,
) {
    let service = service().await;
    let rig = Rig::start(&[], &[&service]).await;
    if is_fresh {
        *rig.fakes.table.lock().unwrap() = Arc::default();
    }
    let mut request = rig.request("POST", "/orders").body(Full::from("book 1")).unwrap();
    let headers = request.headers_mut();
    if let Some((name, value)) = header {
        headers.insert(HeaderName::try_from(name).unwrap(), value.parse().unwrap());
    }
    if has_key {
        headers.insert("idempotency-key", "k1".parse().unwrap());
    }
    let response = rig.send(request).await;
    assert_eq!(response.status(), status);
    let problem = problem(response).await;
    assert_eq!(problem["type"], format!("urn:balsamturn:problem:{kind}"));
    assert_eq!(problem["outcome"], if has_key { "unknown" } else { "not_run" });
}
