//! Streams that break or time out, or whose caller disconnects.

use std::time::Duration;

use balsam_standin::endpoint::Fault;
use http_body_util::BodyExt;
use rstest::rstest;

use crate::support::Harness;
use crate::support::engine;
use crate::support::event_ids;
use crate::support::eventually;
use crate::support::read;

/// Guards against lost or repeated events, and against a second run of the request, when a stream
/// breaks.
#[rstest]
#[case::close(Fault::CloseMidStream(7))]
#[case::silence(Fault::StopSending(7))]
#[case::no_terminal(Fault::OmitTerminal(7))]
#[case::before_the_first(Fault::StopSending(0))]
#[tokio::test]
async fn broken_stream_resumes_after_the_last_event(#[case] fault: Fault) {
    let engine = engine().await;
    engine.inject([fault]);
    let harness = Harness::start(&[&engine], &[]).await;
    let (text, is_complete) = read(harness.chat("once", 30).await).await;
    assert!(is_complete, "{text}");
    assert_eq!(event_ids(&text), (1..=31).collect::<Vec<_>>());
    assert_eq!(engine.executions().len(), 1);
    assert_eq!(engine.resumed(), 1);
}

/// Guards against events of another stream in the caller's answer.
#[tokio::test]
async fn a_resume_that_answers_for_another_stream_is_not_passed_on() {
    let engine = engine().await;
    engine.inject([Fault::CloseMidStream(7), Fault::ResumeWrongStream]);
    let harness = Harness::start(&[&engine], &[]).await;
    let (text, is_complete) = read(harness.chat("m", 30).await).await;
    assert!(is_complete && !text.contains("crossed"), "{text}");
    assert_eq!(event_ids(&text), (1..=31).collect::<Vec<_>>());
    assert_eq!(engine.resumed(), 2);
}

/// Guards against failing an idempotent request whose stream is lost before its first event.
#[tokio::test]
async fn stream_lost_before_its_first_event_is_retried_on_another_endpoint() {
    let (first, second) = (engine().await, engine().await);
    first.inject([Fault::LoseStream(0)]);
    let harness = Harness::start(&[&first, &second], &[]).await;
    let (text, is_complete) = read(harness.chat("m", 30).await).await;
    assert!(is_complete && event_ids(&text) == (1..=31).collect::<Vec<_>>(), "{text}");
    assert_eq!((first.executions().len(), second.executions().len()), (1, 1));
}

/// Guards against applying the timeout between streamed events to a non-streamed answer.
#[tokio::test]
async fn non_streamed_answer_may_take_longer_than_the_stream_timeout() {
    let engine = engine().await;
    engine.inject([Fault::DelayAnswer(Duration::from_millis(400))]);
    let harness = Harness::start(&[&engine], &[]).await;
    let body = r#"{"model": "once", "max_tokens": 2, "messages": [{"content": "q"}]}"#;
    let request = harness.request("POST", crate::support::CHAT).body(body.into()).unwrap();
    let (text, is_complete) = read(harness.send(request).await).await;
    assert!(is_complete && text.contains("q-1 q-2 "), "{text}");
}

/// Guards against a truncated stream that looks complete, over both protocols.
#[rstest]
#[case::http1(false)]
#[case::http2(true)]
#[tokio::test]
async fn stream_that_cannot_be_resumed_is_visibly_truncated(#[case] is_http2: bool) {
    let engine = engine().await;
    engine.inject([Fault::LoseStream(7)]);
    let mut harness = Harness::start(&[&engine], &[]).await;
    if is_http2 {
        harness.use_http2();
    }
    let (text, is_complete) = read(harness.chat("m", 30).await).await;
    assert!(!is_complete && !text.contains("[DONE]"), "{text}");
    assert_eq!(event_ids(&text), (1..=7).collect::<Vec<_>>());
    let error = text.split("event: error\ndata: ").nth(1).expect("an error event");
    let problem: serde_json::Value = serde_json::from_str(error.trim()).unwrap();
    assert_eq!(problem["outcome"], "unknown");
    assert_eq!(problem["type"], "urn:balsamturn:problem:answer-truncated");
}

/// Guards against a stream that hangs because its connection stopped sending data, although the
/// endpoint answers on a new connection.
#[tokio::test]
async fn stream_on_a_silent_connection_resumes_on_a_new_one() {
    let engine = engine().await;
    let harness = Harness::start(&[&engine], &[]).await;
    assert!(read(harness.chat("m", 3).await).await.1);
    let response = harness.chat("m", 300).await;
    let reading = tokio::spawn(read(response));
    tokio::time::sleep(Duration::from_millis(50)).await;
    engine.silence_open_connections();
    let (text, is_complete) = reading.await.unwrap();
    assert!(is_complete);
    assert_eq!(event_ids(&text), (1..=301).collect::<Vec<_>>());
}

/// Guards against failing a request because an idle pooled connection no longer carries data.
#[tokio::test]
async fn idempotent_request_is_retried_after_a_silent_pooled_connection() {
    let engine = engine().await;
    let harness = Harness::start(&[&engine], &[]).await;
    assert!(read(harness.chat("m", 3).await).await.1);
    // The connection is pooled only after the end of its answer was read.
    tokio::time::sleep(Duration::from_millis(50)).await;
    engine.silence_open_connections();
    let (text, is_complete) = read(harness.chat("m", 3).await).await;
    assert!(is_complete && event_ids(&text) == [1, 2, 3, 4], "{text}");
    assert_eq!(engine.connections(), 2);
}

/// Guards against an engine that continues to work after its caller has disconnected.
#[tokio::test]
async fn caller_disconnect_cancels_the_engine() {
    let engine = engine().await;
    let harness = Harness::start(&[&engine], &[]).await;
    let mut response = harness.chat("m", 100_000).await;
    response.body_mut().frame().await.unwrap().unwrap();
    drop(response);
    eventually("the stream is cancelled", || engine.cancelled().len() == 1).await;
    eventually("nothing is in flight", || engine.in_flight() == 0).await;
    eventually("the request is closed", || harness.front.open_requests() == 0).await;
}
