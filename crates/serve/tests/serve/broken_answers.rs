//! Answers that break off, and resumes that are answered with something else than the stream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::support::Harness;
use crate::support::group;
use crate::support::problem;
use crate::support::read;
use crate::support::table;

/// Starts an endpoint that answers each connection with the bytes for its number and closes it. A
/// request to cancel a stream does not count.
async fn raw_endpoint(
    answer: impl Fn(usize) -> String + Send + Sync + 'static,
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    let (counter, answer) = (requests.clone(), Arc::new(answer));
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let (counter, answer) = (counter.clone(), answer.clone());
            tokio::spawn(async move {
                let Some(request) = read_request(&mut stream).await else { return };
                if request.starts_with("DELETE") {
                    return;
                }
                let number = counter.fetch_add(1, Ordering::Relaxed);
                let _ = stream.write_all(answer(number).as_bytes()).await;
            });
        }
    });
    (address, requests)
}

/// Reads a request with its body; returns its head, or `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut received = String::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some((head, body)) = received.split_once("\r\n\r\n") {
            let mut fields = head.lines().filter_map(|line| line.split_once(": "));
            let length = fields.find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
            let length = length.map_or(0, |(_, length)| length.parse().unwrap());
            if body.len() >= length {
                return Some(head.to_owned());
            }
        }
        let length = stream.read(&mut buffer).await.ok().filter(|length| *length > 0)?;
        received.push_str(std::str::from_utf8(&buffer[..length]).unwrap());
    }
}

const EVENT_STREAM: &str = "content-type: text/event-stream\r\n";

/// The events before the break.
const BEGUN: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// The events after the break.
const REST: &str = "id: 3\ndata: c\n\nid: 4\ndata: [DONE]\n\n";

fn answer(status: &str, fields: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nx-stream-id: s1\r\n{fields}content-length: {length}\r\n\r\n{body}"
    )
}

/// Returns an answer that ends after these events, short of its length.
fn broken_stream(events: &str) -> String {
    let head = format!("HTTP/1.1 200 OK\r\nx-stream-id: s1\r\n{EVENT_STREAM}");
    format!("{head}content-length: 1000\r\n\r\n{events}")
}

async fn engine_harness(address: SocketAddr) -> Harness {
    let harness = Harness::start(&[], &[]).await;
    *harness.fake_ports.table.lock().unwrap() =
        Arc::new(table(vec![group("engine", address)], Vec::new()));
    harness
}

/// Guards against an engine's error text in the middle of a stream, and against a lost event before
/// it. The stream is resumed once more.
#[rstest]
#[case::text("200 OK", "content-type: text/plain\r\n", "error: overloaded\n\n")]
#[case::text_with_an_id("200 OK", "content-type: text/plain\r\n", "id: 3\ndata: error\n\n")]
#[case::encoded(
    "200 OK",
    "content-type: text/event-stream\r\ncontent-encoding: x\r\n",
    "id: 3\ndata: x\n\n"
)]
#[case::partial_content("206 Partial Content", EVENT_STREAM, "id: 3\ndata: error\n\n")]
#[case::no_content("204 No Content", EVENT_STREAM, "")]
#[case::failed("500 Internal Server Error", EVENT_STREAM, "id: 3\ndata: error\n\n")]
#[case::text_in_a_stream("200 OK", EVENT_STREAM, "error: overloaded\n\n")]
#[case::a_head_in_a_stream("200 OK", EVENT_STREAM, "HTTP/1.1 500 Failed\r\nx-a: b\r\n\r\n")]
#[case::data_without_an_id("200 OK", EVENT_STREAM, "data: {\"error\":1}\n\n")]
#[case::missing_event("200 OK", EVENT_STREAM, "id: 4\ndata: [DONE]\n\n")]
#[tokio::test]
async fn a_resume_that_is_answered_with_something_else_is_not_forwarded(
    #[case] status: &'static str,
    #[case] fields: &'static str,
    #[case] body: &'static str,
) {
    let (address, requests) = raw_endpoint(move |number| match number {
        0 => broken_stream(BEGUN),
        1 => answer(status, fields, body),
        _ => answer("200 OK", EVENT_STREAM, REST),
    })
    .await;
    let harness = engine_harness(address).await;
    let (text, is_complete) = read(harness.chat("m", 30).await).await;
    assert!(is_complete, "{text}");
    assert_eq!(text, format!("{BEGUN}{REST}"));
    assert_eq!(requests.load(Ordering::Relaxed), 3);
}

/// Guards against streams that are cut because the ids of their events rise by more than one, as those
/// of an engine that counts tokens do (review/10).
#[tokio::test]
async fn ids_may_rise_by_more_than_one() {
    let begun = "id: 5\ndata: a\n\nid: 10\ndata: b\n\n";
    let rest = "id: 15\ndata: c\n\nid: 17\ndata: [DONE]\n\n";
    let (address, requests) = raw_endpoint(move |number| match number {
        0 => broken_stream(begun),
        _ => answer("200 OK", EVENT_STREAM, rest),
    })
    .await;
    let harness = engine_harness(address).await;
    let (text, is_complete) = read(harness.chat("m", 30).await).await;
    assert!(is_complete, "{text}");
    assert_eq!(text, format!("{begun}{rest}"));
    assert_eq!(requests.load(Ordering::Relaxed), 2);
}

/// A status that is none reached the caller as the endpoint's answer.
#[rstest]
#[tokio::test]
async fn an_answer_without_a_valid_status_is_not_forwarded(
    #[values("000 Odd", "099 Odd", "600 Odd", "999 Odd", "20 OK", "2000 OK", "", "abc OK")]
    status: &'static str,
) {
    let whole = format!("{BEGUN}{REST}");
    let (address, _) = raw_endpoint(move |_| answer(status, EVENT_STREAM, &whole)).await;
    let harness = engine_harness(address).await;
    let problem = problem(harness.chat("m", 30).await).await;
    assert_eq!((&problem["status"], &problem["outcome"]), (&502.into(), &"unknown".into()));
}

/// Guards against repeating events without ids, as the engine can't be told where to go on.
#[tokio::test]
async fn a_stream_without_ids_is_not_resumed() {
    let events = "data: a\n\ndata: b\n\n";
    let (address, _) = raw_endpoint(move |number| match number {
        0 => broken_stream(events),
        _ => answer("200 OK", EVENT_STREAM, &format!("{events}data: [DONE]\n\n")),
    })
    .await;
    let harness = engine_harness(address).await;
    let (text, is_complete) = read(harness.chat("m", 30).await).await;
    assert!(!is_complete, "{text}");
    assert!(text.starts_with(events) && text.matches("data: a").count() == 1, "{text}");
}

/// Some engines give the terminal event no id.
#[rstest]
#[case::with_ids(BEGUN)]
#[case::without_ids("data: a\n\ndata: b\n\n")]
#[tokio::test]
async fn a_terminal_event_without_an_id_ends_a_stream(#[case] events: &'static str) {
    let body = format!("{events}: ping\n\ndata: [DONE]\n\n");
    let sent = body.clone();
    let (address, _) = raw_endpoint(move |_| answer("200 OK", EVENT_STREAM, &sent)).await;
    let harness = engine_harness(address).await;
    let (text, is_complete) = read(harness.chat("m", 30).await).await;
    assert!(is_complete, "{text}");
    assert_eq!(text.replace(": ping\n\n", ""), body.replace(": ping\n\n", ""));
}

/// Guards against an answer that looks whole after a service stopped inside its head or body.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nentry", "\r\n\r\n")]
#[case::line_feeds("HTTP/1.1 200 OK\ncontent-length: 5\n\nentry", "\n\n")]
#[case::old_version("HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\nentry", "\r\n\r\n")]
#[case::after_continue(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nentry",
    "5\r\n\r\n"
)]
#[case::chunks(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nentry\r\n0\r\n\r\n",
    "chunked\r\n\r\n"
)]
#[tokio::test]
async fn an_answer_that_breaks_off_does_not_look_whole(
    #[case] whole: &'static str,
    #[case] end_of_head: &'static str,
) {
    let (address, _) = raw_endpoint(move |number| whole[..number].to_owned()).await;
    let harness = Harness::start(&[], &[]).await;
    *harness.fake_ports.table.lock().unwrap() =
        Arc::new(table(Vec::new(), vec![group("service", address)]));
    let head_length = whole.find(end_of_head).unwrap() + end_of_head.len();
    for length in 0..whole.len() {
        let response = harness.order(None).await;
        if length < head_length || response.status() != 200 {
            assert_eq!(response.status(), 502, "cut at {length}");
            assert_eq!(problem(response).await["outcome"], "unknown", "cut at {length}");
            continue;
        }
        let (text, is_complete) = read(response).await;
        assert!(!is_complete && "entry".starts_with(&text), "cut at {length}: {text}");
    }
}
