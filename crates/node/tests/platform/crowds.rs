//! Tests of a node process whose callers send bodies and heads that they never end, or that are far
//! over the limit, on many connections at once.
//!
//! The environment variables `CROWD_CALLERS`, `CROWD_BODY_BYTES`, `CROWD_MEMORY_MB`, `CROWD_MAX_FDS`
//! and `CROWD_BUDGET_MS` replace the figures for a run by hand. The measured ones are written beside
//! the logs, in `target/tmp/platform-*`.

use std::fmt::Write as _;
use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use balsam_adapter_standin::processes;
use balsam_adapter_standin::processes::RequestKind;
use bytes::Bytes;
use http_body_util::Full;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::bed::Node;
use crate::bed::TestBed;
use crate::callers;
use crate::callers::Outcome;
use crate::endless_bytes::peak_memory_bytes;
use crate::exclusive_run;

/// The limit on bodies; those of all callers together exceed the memory.
const MAX_BODY_BYTES: usize = 1_000_000;
const CALLERS: usize = 300;
const MEMORY_MB: usize = 48;

/// Descriptors of the node, three fifths of them for callers.
const MAX_FDS: usize = 1_024;

/// Descriptors with which the callers are more than the connections.
const FEW_FDS: usize = 300;

/// Descriptors that may be open beyond those before the crowd, for calls to endpoints and the store.
const OTHER_FDS: usize = 40;

/// Time until a caller's body counts as late, and the limits on heads and idle connections.
const BUDGET_MS: usize = 3_000;

/// Time between two callers: more at once would fill the queue of new connections.
const CALLER_INTERVAL: Duration = Duration::from_millis(3);

/// How long a test waits for what must happen at some time; a node that does not do it hangs.
const PATIENCE: Duration = Duration::from_secs(60);

const PIECE_BYTES: usize = 16 * 1024;
const PIECE_INTERVAL: Duration = Duration::from_millis(20);

/// Length of a chunked body of chunks of one byte.
const SMALL_CHUNKS: usize = 100_000;

/// Times the limit that a body far over it is long.
const FAR_OVER: usize = 4;

/// Bytes of a head that has no end; below the limit of 16 KB.
const HALF_HEAD_BYTES: usize = 15_000;

/// What each caller sends before it stops and keeps its connection open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sent {
    AllButTheLastByte,
    Pieces,
    Chunks,
    SmallChunks,
    OnlyAHead,
    HalfAHead,
    FarOverAnnounced,
    FarOverWithLength,
    FarOverInChunks,
}

fn figure(name: &str, default: usize) -> usize {
    std::env::var(name).map_or(default, |value| value.parse().unwrap())
}

/// Returns the parts that a caller writes one after the other.
fn parts(sent: Sent, max_body_bytes: usize) -> Vec<Bytes> {
    let length = |bytes: usize| format!("content-length: {bytes}\r\n\r\n");
    let chunked = || "transfer-encoding: chunked\r\n\r\n".to_owned();
    let body = |bytes: usize| Bytes::from(vec![b'b'; bytes]);
    let split = |bytes: usize| vec![body(PIECE_BYTES); bytes / PIECE_BYTES];
    let chunks = |bytes: usize| {
        let chunk = format!("{PIECE_BYTES:x}\r\n{}\r\n", "b".repeat(PIECE_BYTES));
        vec![Bytes::from(chunk); bytes / PIECE_BYTES]
    };
    let (head, rest) = match sent {
        Sent::AllButTheLastByte => (length(max_body_bytes), vec![body(max_body_bytes - 1)]),
        Sent::Pieces => (length(max_body_bytes), split(max_body_bytes - 1)),
        Sent::Chunks => (chunked(), chunks(max_body_bytes)),
        Sent::SmallChunks => (chunked(), vec![Bytes::from("1\r\nb\r\n".repeat(SMALL_CHUNKS))]),
        Sent::OnlyAHead => (length(max_body_bytes), Vec::new()),
        Sent::HalfAHead => (format!("x-long: {}", "a".repeat(HALF_HEAD_BYTES)), Vec::new()),
        Sent::FarOverAnnounced => (length(FAR_OVER * max_body_bytes), Vec::new()),
        Sent::FarOverWithLength => {
            (length(FAR_OVER * max_body_bytes), split(FAR_OVER * max_body_bytes - 1))
        }
        Sent::FarOverInChunks => (chunked(), chunks(FAR_OVER * max_body_bytes)),
    };
    let mut parts = vec![Bytes::from(head)];
    parts.extend(rest);
    parts
}

/// Callers that have sent what they send, and what they got.
#[derive(Default)]
struct Crowd {
    done: AtomicUsize,
    answers: Mutex<Vec<String>>,
}

impl Crowd {
    /// Sends the parts, then waits for the end of the connection.
    async fn call(
        self: Arc<Self>,
        address: SocketAddr,
        number: usize,
        parts: Arc<[Bytes]>,
        interval: Duration,
    ) {
        sleep(CALLER_INTERVAL * number as u32).await;
        let mut received = String::new();
        if let Ok(mut stream) = TcpStream::connect(address).await {
            let budget_ms = figure("CROWD_BUDGET_MS", BUDGET_MS);
            let head = format!(
                "POST /write/x HTTP/1.1\r\nhost: club.example\r\nx-request-id: crowd-{number}\r\n\
                 x-time-budget: {budget_ms}\r\nauthorization: Bearer secret\r\n"
            );
            let mut is_open = stream.write_all(head.as_bytes()).await.is_ok();
            for part in parts.iter() {
                // The node may refuse the request before it is complete.
                is_open = is_open && stream.write_all(part).await.is_ok();
                sleep(interval).await;
            }
            self.done.fetch_add(1, Ordering::Relaxed);
            let mut buffer = vec![0; 4_096];
            while let Ok(length @ 1..) = stream.read(&mut buffer).await {
                let _ = write!(received, "{}", String::from_utf8_lossy(&buffer[..length]));
                self.answers.lock().unwrap().push(received.to_lowercase());
            }
        } else {
            self.done.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Puts a configuration with the limits of the test and waits until it is in force.
async fn set_limits(bed: &TestBed, max_body_bytes: usize) {
    let version = bed.version.fetch_add(1, Ordering::Relaxed) + 1;
    let mut configuration: Value =
        serde_json::from_str(&processes::configuration(version)).unwrap();
    for route in configuration["routes"].as_array_mut().unwrap() {
        let timeout_ms = figure("CROWD_BUDGET_MS", processes::TIME_BUDGET_MS as usize);
        route["timeout_ms"] = json!(timeout_ms);
    }
    configuration["limits"] = json!({
        "max_header_bytes": 16_384, "max_body_bytes": max_body_bytes,
        "header_timeout_ms": BUDGET_MS, "idle_timeout_ms": BUDGET_MS,
    });
    bed.store.put("keyed.op", "config", configuration.to_string().as_bytes());
    // The limit was 1,000 bytes before.
    wait_for_answer(&bed.nodes[0], 2_000).await;
}

/// Sends ordinary requests until one is answered.
async fn wait_for_answer(node: &Node, body_bytes: usize) {
    let started = Instant::now();
    let mut number = 0;
    loop {
        let mut request = processes::request(RequestKind::Idempotent, &format!("sound-{number}"));
        *request.body_mut() = Full::new(Bytes::from(vec![b'b'; body_bytes]));
        let address = processes::callers_address(node.ip);
        let answer = callers::call_once(address, request, Duration::from_secs(8)).await;
        if matches!(answer, Some((_, Outcome::Answered { status: 200, .. }))) {
            return;
        }
        assert!(started.elapsed() < PATIENCE, "an ordinary request is not answered: {answer:?}");
        number += 1;
        sleep(Duration::from_millis(200)).await;
    }
}

fn open_descriptors(process_id: u32) -> usize {
    fs::read_dir(format!("/proc/{process_id}/fd")).unwrap().count()
}

async fn wait_until(what: &str, mut is_met: impl FnMut() -> bool) {
    let started = Instant::now();
    while !is_met() {
        assert!(started.elapsed() < PATIENCE, "{what} is not met");
        sleep(Duration::from_millis(200)).await;
    }
}

/// Each request was within the limits of one, and nothing bounded their sum: the process ran out of
/// memory, and requests that stood still kept their connections for ever.
#[rstest]
#[case::all_but_the_last_byte(Sent::AllButTheLastByte, MAX_FDS)]
#[case::pieces(Sent::Pieces, MAX_FDS)]
#[case::chunks(Sent::Chunks, MAX_FDS)]
#[case::small_chunks(Sent::SmallChunks, MAX_FDS)]
#[case::only_a_head(Sent::OnlyAHead, MAX_FDS)]
#[case::half_a_head(Sent::HalfAHead, MAX_FDS)]
#[case::far_over_announced(Sent::FarOverAnnounced, MAX_FDS)]
#[case::far_over_with_length(Sent::FarOverWithLength, MAX_FDS)]
#[case::far_over_in_chunks(Sent::FarOverInChunks, MAX_FDS)]
#[case::more_callers_than_connections(Sent::AllButTheLastByte, FEW_FDS)]
#[case::more_half_heads_than_connections(Sent::HalfAHead, FEW_FDS)]
#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_of_callers_fits_in_memory(#[case] sent: Sent, #[case] max_fds: usize) {
    let _exclusive = exclusive_run().await;
    let memory_mb = figure("CROWD_MEMORY_MB", MEMORY_MB);
    let max_fds = figure("CROWD_MAX_FDS", max_fds);
    let callers = figure("CROWD_CALLERS", CALLERS);
    let max_body_bytes = figure("CROWD_BODY_BYTES", MAX_BODY_BYTES);
    let settings = format!("[limits]\nmemory_mb = {memory_mb}\nmax_fds = {max_fds}\n");
    let bed = TestBed::start_with(1, 1, 2, 2, &settings).await;
    set_limits(&bed, max_body_bytes).await;
    let node = &bed.nodes[0];
    let process_id = node.process_id().unwrap();
    let base_descriptors = open_descriptors(process_id);
    let parts: Arc<[Bytes]> = parts(sent, max_body_bytes).into();
    let interval = if sent == Sent::Pieces { PIECE_INTERVAL } else { Duration::ZERO };
    let crowd = Arc::new(Crowd::default());
    let address = processes::callers_address(node.ip);
    let tasks: Vec<_> = (0..callers)
        .map(|number| tokio::spawn(crowd.clone().call(address, number, parts.clone(), interval)))
        .collect();
    wait_until("all callers have sent", || crowd.done.load(Ordering::Relaxed) == callers).await;
    wait_for_answer(node, 100).await;
    let peak_mb = |at: &str| {
        assert_eq!(node.process_id(), Some(process_id), "the process has ended");
        let peak_mb = peak_memory_bytes(process_id) / (1024 * 1024);
        let descriptors = open_descriptors(process_id);
        let text = format!("{sent:?}: {peak_mb} MB, {descriptors} descriptors\n");
        fs::write(bed.directory.join(format!("{sent:?}-{at}.txt")), text).unwrap();
        peak_mb
    };
    peak_mb("after-sending");
    let max_descriptors = base_descriptors + OTHER_FDS;
    let started = Instant::now();
    while open_descriptors(process_id) > max_descriptors && started.elapsed() < PATIENCE {
        sleep(Duration::from_millis(200)).await;
    }
    wait_for_answer(node, 100).await;
    let peak_mb = peak_mb("at-end");
    let descriptors = open_descriptors(process_id);
    let is_within = peak_mb < memory_mb as u64 && descriptors <= max_descriptors;
    assert!(is_within, "{peak_mb} of {memory_mb} MB, {descriptors} of {max_descriptors}");
    // None of these requests was complete, so none may have run, and a refusal says so.
    for listed in &bed.endpoints {
        let received = listed.endpoint.received.lock().unwrap();
        let ids = received.iter().filter_map(|request| processes::request_id(&request.headers));
        assert_eq!(ids.filter(|id| id.starts_with("crowd-")).count(), 0);
    }
    for answer in crowd.answers.lock().unwrap().iter() {
        let status = answer.split(' ').nth(1).unwrap();
        let is_refusal = match status {
            "503" => answer.contains("retry-after: "),
            "408" | "413" | "431" => true,
            _ => false,
        };
        assert!(is_refusal, "{answer}");
    }
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
}
