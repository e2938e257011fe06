//! Answers and failures as callers see them.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use balsam_standin::endpoint::Fault;
use rstest::rstest;

use crate::support;
use crate::support::Harness;
use crate::support::engine;
use crate::support::event_ids;
use crate::support::problem;
use crate::support::read;
use crate::support::service;

/// Guards against lost, repeated or altered parts of an answer.
#[tokio::test]
async fn complete_streams_and_bodies_are_forwarded_unchanged() {
    let (engine, service) = (engine().await, service().await);
    let harness = Harness::start(&[&engine], &[&service]).await;
    let response = harness.chat("m", 20).await;
    assert_eq!(response.headers()["content-type"], "text/event-stream");
    let (text, is_complete) = read(response).await;
    assert!(is_complete && text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(event_ids(&text), (1..=21).collect::<Vec<_>>());
    let response = harness.order(None).await;
    assert!(response.headers().contains_key("x-request-id"));
    let (text, is_complete) = read(response).await;
    assert!(is_complete && text.contains("book 1"), "{text}");
    let executed = &service.executions()[0];
    let names: Vec<&str> = executed.headers.iter().map(|(name, _)| &**name).collect();
    assert!(!names.contains(&"authorization"), "the credential was passed on");
    assert!(names.contains(&"x-request-id"));
}

/// Guards against reporting a request as `not_run` that an endpoint executed.
#[rstest]
#[case::close(Fault::CloseAfter, "endpoint-failed")]
#[case::silence(Fault::DelayAnswer(Duration::from_secs(5)), "deadline-exceeded")]
#[tokio::test]
async fn failure_after_the_write_is_unknown_and_not_retried(
    #[case] fault: Fault,
    #[case] kind: &str,
) {
    let (first, second) = (service().await, service().await);
    first.inject([fault.clone()]);
    second.inject([fault]);
    let harness = Harness::start(&[], &[&first, &second]).await;
    let request = harness.request("POST", "/orders").header("request-deadline-ms", "1000");
    let problem = problem(harness.send(request.body("book 1".into()).unwrap()).await).await;
    assert_eq!(problem["outcome"], "unknown");
    assert_eq!(problem["type"], format!("urn:balsamturn:problem:{kind}"));
    assert_eq!(first.executions().len() + second.executions().len(), 1);
}

/// Guards against failing a request whose endpoint is down while another one is up.
#[tokio::test]
async fn refused_connection_is_not_run_and_retried_on_another_endpoint() {
    let (stopped, other) = (service().await, service().await);
    let harness = Harness::start(&[], &[&stopped, &other]).await;
    drop(stopped);
    let (text, is_complete) = read(harness.order(None).await).await;
    assert!(is_complete && text.contains("\"execution\":1"), "{text}");
    drop(other);
    // The second endpoint's pooled connection may be closed before or while it is checked out.
    let problem = problem(harness.order(None).await).await;
    assert_eq!(problem["outcome"], "not_run", "{problem}");
    assert_eq!(problem["type"], "urn:balsamturn:problem:endpoint-refused");
}

/// Guards against failing a request because an idle pooled connection was closed.
#[tokio::test]
async fn closed_pooled_connection_is_replaced_without_a_second_run() {
    let service = service().await;
    let harness = Harness::start(&[], &[&service]).await;
    for executions in 1..=3 {
        assert!(read(harness.order(None).await).await.1);
        assert_eq!(service.executions().len(), executions);
        service.close_open_connections();
        // Wait for the close to arrive; a write that races with it has the outcome `unknown`.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(service.connections(), 3);
}

/// Guards against treating a declared "not run" status as a run, and against retrying a request
/// that ran and failed.
#[rstest]
#[case::declared(Fault::ErrorBefore(503), 200, 1)]
#[case::other_status(Fault::ErrorAfter(500), 500, 1)]
#[tokio::test]
async fn only_declared_statuses_count_as_not_run(
    #[case] fault: Fault,
    #[case] status: u16,
    #[case] executions: usize,
) {
    let (first, second) = (service().await, service().await);
    first.inject([fault]);
    let harness = Harness::start(&[], &[&first, &second]).await;
    assert_eq!(harness.order(None).await.status(), status);
    assert_eq!(first.executions().len() + second.executions().len(), executions);
}

/// Guards against a truncated body that looks complete.
#[tokio::test]
async fn body_shorter_than_its_length_is_visibly_truncated() {
    let service = service().await;
    service.inject([Fault::TruncateBody]);
    let harness = Harness::start(&[], &[&service]).await;
    let (text, is_complete) = read(harness.order(None).await).await;
    assert!(!is_complete, "{text}");
}

/// Guards against failing an idempotent request although another endpoint can answer it.
#[tokio::test]
async fn idempotent_request_is_retried_before_its_first_byte() {
    let (first, second) = (engine().await, engine().await);
    first.inject([Fault::CloseAfter]);
    let harness = Harness::start(&[&first, &second], &[]).await;
    let (text, is_complete) = read(harness.chat("m", 5).await).await;
    assert!(is_complete && event_ids(&text) == (1..=6).collect::<Vec<_>>(), "{text}");
    first.inject([Fault::CloseAfter]);
    let problem = problem(harness.chat("once", 5).await).await;
    assert_eq!(problem["outcome"], "unknown");
}

/// Guards against holding back a final failure until the deadline, and against waiting past the
/// deadline.
#[tokio::test]
async fn final_failure_is_immediate_and_the_deadline_is_respected() {
    let service = service().await;
    let harness = Harness::start(&[], &[&service]).await;
    service.inject([Fault::Delay(Duration::from_secs(5))]);
    let started = Instant::now();
    let request = harness.request("POST", "/orders").header("request-deadline-ms", "100");
    let late = problem(harness.send(request.body("late".into()).unwrap()).await).await;
    assert_eq!(late["outcome"], "unknown");
    assert_eq!(late["type"], "urn:balsamturn:problem:deadline-exceeded");
    drop(service);
    let refused = problem(harness.order(None).await).await;
    assert_eq!(refused["outcome"], "not_run");
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
}

/// Guards against sending to a cold endpoint without a permit, and against permits that are not
/// released.
#[tokio::test]
async fn group_not_known_to_be_warm_needs_a_permit() {
    let service = service().await;
    let harness = Harness::start(&[], &[&service]).await;
    let mut cold = support::group("cold", service.address());
    cold.temperature = balsam_route::Temperature::Unknown;
    *harness.fake_ports.table.lock().unwrap() = Arc::new(support::table(vec![], vec![cold]));
    assert!(read(harness.order(None).await).await.1);
    support::eventually("the permit is released", || {
        *harness.fake_ports.permits_held.lock().unwrap() == 0
    })
    .await;
    *harness.fake_ports.permits.lock().unwrap() = Ok(0);
    let stale = problem(harness.order(None).await).await;
    assert_eq!(stale["outcome"], "not_run");
    let refusal = balsam_serve::PermitRefusal { retry_after_ms: 2_000, reason: Arc::from("full") };
    *harness.fake_ports.permits.lock().unwrap() = Err(refusal);
    let request = harness.request("POST", "/orders").header("request-deadline-ms", "1500");
    let response = harness.send(request.body("book 1".into()).unwrap()).await;
    assert_eq!(response.headers()["retry-after"], "2");
    assert_eq!(problem(response).await["outcome"], "not_run");
    assert_eq!(service.executions().len(), 1);
    // One per request; the last one does not ask again, because the delay exceeds its deadline.
    assert_eq!(harness.fake_ports.permit_requests.lock().unwrap().len(), 3);
}

/// Guards against a request that fails although a permit becomes free, and against asking for
/// permits in a busy loop.
#[tokio::test]
async fn refused_permit_is_requested_again_after_the_owners_delay() {
    let service = service().await;
    let harness = Harness::start(&[], &[&service]).await;
    let mut cold = support::group("cold", service.address());
    cold.temperature = balsam_route::Temperature::Cold;
    *harness.fake_ports.table.lock().unwrap() = Arc::new(support::table(vec![], vec![cold]));
    let refusal = balsam_serve::PermitRefusal { retry_after_ms: 100, reason: Arc::from("full") };
    *harness.fake_ports.permits.lock().unwrap() = Err(refusal);
    let fake_ports = harness.fake_ports.clone();
    let grant_task = tokio::spawn(async move {
        support::eventually("five permit requests", || {
            fake_ports.permit_requests.lock().unwrap().len() >= 5
        })
        .await;
        *fake_ports.permits.lock().unwrap() = Ok(u64::MAX);
    });
    assert!(read(harness.order(None).await).await.1);
    grant_task.await.unwrap();
    assert_eq!(service.executions().len(), 1);
    let request_times = harness.fake_ports.permit_requests.lock().unwrap();
    let gaps: Vec<_> = request_times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.iter().all(|gap| *gap >= Duration::from_millis(100)), "{gaps:?}");
}

/// Guards against forwarding loops, and against losing the result of a forwarded attempt.
#[tokio::test]
async fn request_without_a_local_group_is_forwarded_once() {
    let service = service().await;
    let remote = Harness::start(&[], &[&service]).await;
    let harness = Harness::start(&[], &[]).await;
    let mut table = support::table(vec![], vec![]);
    support::add_remote(&mut table, "services", "augsburg");
    *harness.fake_ports.table.lock().unwrap() = Arc::new(table.clone());
    let front = remote.front.clone();
    *harness.fake_ports.forward.lock().unwrap() = Some(Arc::new(move |forward| {
        let front = front.clone();
        Box::pin(async move { front.serve_forwarded(forward.call).await })
    }));
    let (text, is_complete) = read(harness.order(None).await).await;
    assert!(is_complete && text.contains("book 1"), "{text}");
    // Now the other data centre has no group either, and must not forward the request again.
    *remote.fake_ports.table.lock().unwrap() = Arc::new(table);
    let problem = problem(harness.order(None).await).await;
    assert_eq!(problem["outcome"], "not_run");
    assert_eq!(service.executions().len(), 1);
}
