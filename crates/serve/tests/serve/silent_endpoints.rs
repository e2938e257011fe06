//! Endpoints that are silent for longer than the limit and then go on, as a process on a busy
//! machine does.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use balsam_route::Group;
use balsam_serve::ServeOptions;
use balsam_standin::endpoint::Fault;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::support::CHAT;
use crate::support::Harness;
use crate::support::chat_body;
use crate::support::engine;
use crate::support::event_ids;
use crate::support::group;
use crate::support::problem;
use crate::support::read;
use crate::support::service;
use crate::support::table;

/// The limit after which another attempt may begin.
const SILENCE_LIMIT_MS: u64 = 100;

/// How long the endpoints are silent: several times the limit, so that all repeats are used up.
const SILENCE: Duration = Duration::from_millis(900);

/// What an endpoint does after it has read a request.
#[derive(Clone, Copy)]
enum Step {
    Send(&'static str),
    BeSilent,
    Close,
}

use Step::BeSilent;
use Step::Close;
use Step::Send;

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    x-stream-id: s1\r\ncontent-length: 65\r\n\r\n";
const STREAM_HEAD_WITHOUT_ID: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 65\r\n\r\n";
const RESUMED_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    x-stream-id: s1\r\ntransfer-encoding: chunked\r\n\r\n";
const NOT_FOUND: &str = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
const EVENTS_1: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const EVENTS_2: &str = "id: 3\ndata: c\n\nid: 4\ndata: [DONE]\n\n";
const PLAIN_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n";
const PLAIN_1: &str = "book";
const PLAIN_2: &str = " one";

/// Starts an endpoint that follows one script for requests and another for resumes; counts the
/// requests that it runs.
async fn scripted_endpoint(
    run: &'static [Step],
    resume: &'static [Step],
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let runs = Arc::new(AtomicUsize::new(0));
    let counter = runs.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(follow(stream, run, resume, counter.clone()));
        }
    });
    (address, runs)
}

async fn follow(
    mut stream: TcpStream,
    run: &'static [Step],
    resume: &'static [Step],
    runs: Arc<AtomicUsize>,
) {
    let mut buffer = vec![0; 4096];
    let length = stream.read(&mut buffer).await.unwrap_or_default();
    let request = String::from_utf8_lossy(&buffer[..length]).into_owned();
    if length == 0 || request.starts_with("DELETE") {
        return;
    }
    let steps = if request.contains("/v1/streams/") {
        resume
    } else {
        runs.fetch_add(1, Ordering::Relaxed);
        run
    };
    for step in steps {
        match step {
            Send(text) => {
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
            BeSilent => tokio::time::sleep(SILENCE).await,
            Close => return,
        }
    }
    // The connection stays open until the node closes it.
    while stream.read(&mut buffer).await.is_ok_and(|length| length > 0) {}
}

fn short_limits() -> ServeOptions {
    ServeOptions {
        model_silence_ms: SILENCE_LIMIT_MS,
        plain_silence_ms: SILENCE_LIMIT_MS,
        ..ServeOptions::default()
    }
}

/// Starts a front whose first engine and first service have this address; `other` comes second.
async fn start_front(first: SocketAddr, other: Option<SocketAddr>) -> Harness {
    let harness = Harness::start_with(short_limits(), &[], &[]).await;
    let groups = || {
        let other = other.map(|address| Group { slow: true, ..group("other", address) });
        std::iter::once(group("first", first)).chain(other).collect::<Vec<_>>()
    };
    *harness.fake_ports.table.lock().unwrap() = Arc::new(table(groups(), groups()));
    harness
}

/// A request by its properties.
#[derive(Clone, Copy)]
enum Kind {
    /// A chat completion whose answer is a stream and that may run once.
    StreamOnce,
    /// A chat completion whose answer is a stream and that may run several times.
    Stream,
    /// An order that may run once.
    Order,
    /// An order with a key.
    KeyedOrder,
    /// A read that may run several times.
    Read,
}

fn request(harness: &Harness, kind: Kind) -> Request<Full<bytes::Bytes>> {
    match kind {
        Kind::StreamOnce => harness.request("POST", CHAT).body(chat_body("once", 3)),
        Kind::Stream => harness.request("POST", CHAT).body(chat_body("m", 3)),
        Kind::Order => harness.request("POST", "/orders").body("book 1".into()),
        Kind::KeyedOrder => {
            let request = harness.request("POST", "/orders").header("idempotency-key", "k1");
            request.body("book 1".into())
        }
        Kind::Read => harness.request("GET", "/orders/1").body(Full::default()),
    }
    .unwrap()
}

/// Guards against ending the answer of a sound endpoint because it is silent for a while, and
/// against a second run of a request that may run once.
#[rstest]
#[case::stream_before_its_head(Kind::StreamOnce, &[BeSilent, Send(STREAM_HEAD), Send(EVENTS_1), Send(EVENTS_2)], &[])]
#[case::stream_before_its_first_event(Kind::StreamOnce, &[Send(STREAM_HEAD_WITHOUT_ID), BeSilent, Send(EVENTS_1), Send(EVENTS_2)], &[])]
#[case::resumable_stream_before_its_first_event(Kind::StreamOnce, &[Send(STREAM_HEAD), BeSilent, Send(EVENTS_1), Send(EVENTS_2)], &[])]
#[case::stream_that_cannot_be_resumed(Kind::StreamOnce, &[Send(STREAM_HEAD_WITHOUT_ID), Send(EVENTS_1), BeSilent, Send(EVENTS_2)], &[])]
#[case::repeatable_stream_that_cannot_be_resumed(Kind::Stream, &[Send(STREAM_HEAD_WITHOUT_ID), Send(EVENTS_1), BeSilent, Send(EVENTS_2)], &[])]
#[case::resume_without_an_answer(Kind::StreamOnce, &[Send(STREAM_HEAD), Send(EVENTS_1), BeSilent, Send(EVENTS_2)], &[])]
#[case::resume_that_is_refused(Kind::StreamOnce, &[Send(STREAM_HEAD), Send(EVENTS_1), BeSilent, Send(EVENTS_2)], &[Send(NOT_FOUND)])]
#[case::resume_that_is_closed(Kind::StreamOnce, &[Send(STREAM_HEAD), Send(EVENTS_1), BeSilent, Send(EVENTS_2)], &[Close])]
#[case::resumed_stream_is_silent(Kind::StreamOnce, &[Send(STREAM_HEAD), Send(EVENTS_1), BeSilent, Send(EVENTS_2)], &[Send(RESUMED_HEAD)])]
#[case::resumed_stream_goes_on(Kind::StreamOnce, &[Send(STREAM_HEAD), Send(EVENTS_1), Close], &[Send(RESUMED_HEAD), BeSilent, Send("23\r\nid: 3\ndata: c\n\nid: 4\ndata: [DONE]\n\n\r\n0\r\n\r\n")])]
#[case::resume_that_is_answered_late(Kind::StreamOnce, &[Send(STREAM_HEAD), Send(EVENTS_1), Close], &[BeSilent, Send(RESUMED_HEAD), Send("23\r\nid: 3\ndata: c\n\nid: 4\ndata: [DONE]\n\n\r\n0\r\n\r\n")])]
#[case::order_before_its_head(Kind::Order, &[BeSilent, Send(PLAIN_HEAD), Send(PLAIN_1), Send(PLAIN_2)], &[])]
#[case::order_before_its_body(Kind::Order, &[Send(PLAIN_HEAD), BeSilent, Send(PLAIN_1), Send(PLAIN_2)], &[])]
#[case::order_in_its_body(Kind::Order, &[Send(PLAIN_HEAD), Send(PLAIN_1), BeSilent, Send(PLAIN_2)], &[])]
#[case::keyed_order(Kind::KeyedOrder, &[BeSilent, Send(PLAIN_HEAD), Send(PLAIN_1), Send(PLAIN_2)], &[])]
#[case::read_in_its_body(Kind::Read, &[Send(PLAIN_HEAD), Send(PLAIN_1), BeSilent, Send(PLAIN_2)], &[])]
#[tokio::test]
async fn an_answer_goes_on_after_a_silence_and_runs_once(
    #[case] kind: Kind,
    #[case] run: &'static [Step],
    #[case] resume: &'static [Step],
    #[values(false, true)] has_other: bool,
) {
    let (first, runs) = scripted_endpoint(run, resume).await;
    let (other_engine, other_service) = (engine().await, service().await);
    let other = match kind {
        Kind::StreamOnce | Kind::Stream => other_engine.address(),
        _ => other_service.address(),
    };
    let harness = start_front(first, has_other.then_some(other)).await;
    let response = harness.send(request(&harness, kind)).await;
    assert_eq!(response.status(), 200);
    let (text, is_complete) = read(response).await;
    assert!(is_complete, "{text}");
    let expected = match kind {
        Kind::StreamOnce | Kind::Stream => format!("{EVENTS_1}{EVENTS_2}"),
        _ => format!("{PLAIN_1}{PLAIN_2}"),
    };
    assert_eq!(text, expected);
    assert_eq!(runs.load(Ordering::Relaxed), 1);
    assert!(other_engine.executions().is_empty() && other_service.executions().is_empty());
    assert_eq!(*harness.fake_ports.released.lock().unwrap(), 0);
}

/// Guards against giving up the attempts of a repeatable request at its only endpoint, which is
/// silent on new connections too.
#[rstest]
#[case::stream_before_its_head(Kind::Stream, &[BeSilent, Send(STREAM_HEAD), Send(EVENTS_1), Send(EVENTS_2)])]
#[case::stream_before_its_first_event(Kind::Stream, &[Send(STREAM_HEAD_WITHOUT_ID), BeSilent, Send(EVENTS_1), Send(EVENTS_2)])]
#[case::read_before_its_head(Kind::Read, &[BeSilent, Send(PLAIN_HEAD), Send(PLAIN_1), Send(PLAIN_2)])]
#[case::read_before_its_body(Kind::Read, &[Send(PLAIN_HEAD), BeSilent, Send(PLAIN_1), Send(PLAIN_2)])]
#[tokio::test]
async fn a_repeatable_request_is_answered_by_its_only_endpoint_after_a_silence(
    #[case] kind: Kind,
    #[case] run: &'static [Step],
) {
    let (first, _) = scripted_endpoint(run, &[]).await;
    let harness = start_front(first, None).await;
    let started = Instant::now();
    let (text, is_complete) = read(harness.send(request(&harness, kind)).await).await;
    assert!(is_complete && !text.contains("urn:balsamturn:problem"), "{text}");
    // The first attempt delivers: the others began later and are silent for as long.
    let limit = SILENCE + Duration::from_millis(SILENCE_LIMIT_MS);
    assert!(started.elapsed() < limit, "{:?}", started.elapsed());
}

/// Guards against waiting for a silent endpoint while another one can answer.
#[rstest]
#[case::stream_before_its_head(Kind::Stream, &[])]
#[case::stream_before_its_first_event(Kind::Stream, &[Send(STREAM_HEAD)])]
#[case::read_before_its_head(Kind::Read, &[])]
#[case::read_before_its_body(Kind::Read, &[Send(PLAIN_HEAD)])]
#[tokio::test]
async fn a_repeatable_request_is_answered_elsewhere_during_a_silence(
    #[case] kind: Kind,
    #[case] run: &'static [Step],
) {
    let (first, runs) = scripted_endpoint(run, &[]).await;
    let (other_engine, other_service) = (engine().await, service().await);
    let other = match kind {
        Kind::Stream => other_engine.address(),
        _ => other_service.address(),
    };
    let harness = start_front(first, Some(other)).await;
    let started = Instant::now();
    let (text, is_complete) = read(harness.send(request(&harness, kind)).await).await;
    assert!(started.elapsed() < SILENCE, "{:?}", started.elapsed());
    assert!(is_complete && !text.contains("urn:balsamturn:problem"), "{text}");
    assert_eq!(runs.load(Ordering::Relaxed), 1);
    assert_eq!(other_engine.executions().len() + other_service.executions().len(), 1);
}

/// Guards against an answer that comes twice when a silent stream goes on beside its resume.
#[tokio::test]
async fn a_stream_that_goes_on_beside_its_resume_is_forwarded_once() {
    let resumed = &[Send(RESUMED_HEAD), Send("9\r\n: alive\n\n\r\n")];
    let run = &[Send(STREAM_HEAD), Send(EVENTS_1), BeSilent, Send(EVENTS_2)];
    let (first, _) = scripted_endpoint(run, resumed).await;
    let harness = start_front(first, None).await;
    let (text, is_complete) = read(harness.chat("once", 3).await).await;
    assert!(is_complete, "{text}");
    assert_eq!(event_ids(&text), [1, 2, 3, 4]);
    assert!(harness.count("balsam_serve_resumes", &[]) >= 1);
}

/// Guards against a request that ends before its deadline, or runs twice, because all endpoints are
/// silent, and against a wrong outcome of it.
#[rstest]
#[case::stream_once(Kind::StreamOnce, 1)]
#[case::order(Kind::Order, 1)]
#[case::keyed_order(Kind::KeyedOrder, 1)]
#[case::read(Kind::Read, 3)]
#[tokio::test]
async fn a_request_without_an_answer_ends_at_its_deadline(
    #[case] kind: Kind,
    #[case] most_runs: usize,
) {
    let (first, runs) = scripted_endpoint(&[], &[]).await;
    let (other, other_runs) = scripted_endpoint(&[], &[]).await;
    let harness = start_front(first, Some(other)).await;
    let mut request = request(&harness, kind);
    request.headers_mut().insert("request-deadline-ms", "700".parse().unwrap());
    let started = Instant::now();
    let problem = problem(harness.send(request).await).await;
    assert!(started.elapsed() >= Duration::from_millis(690), "{:?}", started.elapsed());
    assert_eq!(problem["type"], "urn:balsamturn:problem:deadline-exceeded");
    assert_eq!(problem["outcome"], "unknown");
    let runs = runs.load(Ordering::Relaxed) + other_runs.load(Ordering::Relaxed);
    assert!((1..=most_runs).contains(&runs), "{runs} runs");
    assert_eq!(*harness.fake_ports.released.lock().unwrap(), 0);
}

/// Guards against a storm of attempts beside silent ones when all endpoints of a pool are silent.
#[tokio::test]
async fn attempts_beside_silent_ones_spend_the_retry_budget() {
    const REQUESTS: usize = 60;
    let (first, _) = scripted_endpoint(&[], &[]).await;
    let (other, _) = scripted_endpoint(&[], &[]).await;
    let harness = start_front(first, Some(other)).await;
    let requests = (0..REQUESTS).map(|_| async {
        let mut request = request(&harness, Kind::Read);
        request.headers_mut().insert("request-deadline-ms", "800".parse().unwrap());
        problem(harness.send(request).await).await["outcome"].clone()
    });
    let outcomes = futures::future::join_all(requests).await;
    assert!(outcomes.iter().all(|outcome| outcome == "unknown"), "{outcomes:?}");
    let retries = harness.count("balsam_serve_retries", &[]);
    // The budget without a success is 10 in 10 s.
    assert!((1..=10).contains(&retries), "{retries} retries");
}

/// Guards against in-flight counts and permits that are kept after another attempt has answered.
#[tokio::test]
async fn a_silent_attempt_returns_its_permit_when_another_answers() {
    let silent = service().await;
    silent.inject([Fault::DelayAnswer(Duration::from_secs(20))]);
    let other = service().await;
    let harness = start_front(silent.address(), Some(other.address())).await;
    let mut cold = group("first", silent.address());
    cold.temperature = balsam_route::Temperature::Cold;
    let warm = Group { slow: true, ..group("other", other.address()) };
    *harness.fake_ports.table.lock().unwrap() = Arc::new(table(vec![], vec![cold.clone()]));
    let answer = tokio::spawn({
        let request = request(&harness, Kind::Read);
        let client = harness.client.clone();
        async move { client.request(request).await.unwrap() }
    });
    crate::support::eventually("the silent attempt runs", || silent.in_flight() == 1).await;
    assert_eq!(*harness.fake_ports.permits_held.lock().unwrap(), 1);
    *harness.fake_ports.table.lock().unwrap() = Arc::new(table(vec![], vec![cold, warm]));
    let response = answer.await.unwrap();
    assert_eq!(response.status(), 200);
    response.into_body().collect().await.unwrap();
    assert_eq!(other.executions().len(), 1);
    crate::support::eventually("the permit is returned", || {
        *harness.fake_ports.permits_held.lock().unwrap() == 0
    })
    .await;
    crate::support::eventually("the silent attempt is closed", || silent.in_flight() == 0).await;
}

const COMMENTED_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    x-stream-id: s1\r\ncontent-length: 71\r\n\r\n";

/// Guards against events that stay unread after a comment in the same packet beside a resume.
#[rstest]
#[case::resume_without_an_answer(&[])]
#[case::resume_that_is_refused_late(&[BeSilent, Send(NOT_FOUND)])]
#[case::resumed_stream_is_silent(&[Send(RESUMED_HEAD)])]
#[tokio::test]
async fn events_after_a_comment_are_forwarded_beside_a_resume(#[case] resume: &'static [Step]) {
    let run = &[
        Send(COMMENTED_HEAD),
        Send(EVENTS_1),
        BeSilent,
        Send(": ka\n\nid: 3\ndata: c\n\nid: 4\ndata: [DONE]\n\n"),
    ];
    let (first, _) = scripted_endpoint(run, resume).await;
    let harness = start_front(first, None).await;
    let response = harness.send(request(&harness, Kind::StreamOnce)).await;
    let read = tokio::time::timeout(Duration::from_secs(8), read(response)).await;
    let (text, is_complete) = read.expect("the answer does not end");
    assert!(is_complete, "{text}");
    assert_eq!(text, format!("{EVENTS_1}: ka\n\n{EVENTS_2}"));
}
