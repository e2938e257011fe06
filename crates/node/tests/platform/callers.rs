//! Callers that send requests of all kinds, on kept and on new connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use balsam_adapter_standin::processes;
use balsam_adapter_standin::processes::RequestKind;
use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::bed::Node;

/// How long a caller waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a caller waits for an answer: the node must have ended the request before.
const CALL_TIMEOUT: Duration = Duration::from_millis(processes::TIME_BUDGET_MS + 2_000);

/// Pause of a caller that found no node or was refused.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between two requests; on a kept connection, half of the requests follow at once.
const MAX_PAUSE_MS: u64 = 40;

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It got a whole answer.
    Answered { status: u16, id: Option<String>, body: String },
    /// The connection closed inside the answer.
    Cut { body: String },
    /// The connection closed before the answer.
    Closed,
    /// There was no whole answer long after the deadline.
    GaveUp,
}

/// A request that was sent.
#[derive(Debug, Clone)]
pub struct Call {
    pub id: String,
    pub kind: RequestKind,
    pub node: usize,
    pub is_kept: bool,
    pub sent: Instant,
    pub ended: Instant,
    pub outcome: Outcome,
}

type Sender = SendRequest<Full<Bytes>>;

async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Sends a request; returns when it was sent and how it ended, or `None` if it was not sent.
async fn call(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Option<(Instant, Outcome)> {
    sender.ready().await.ok()?;
    let sent = Instant::now();
    let mut received = Vec::new();
    let exchange = async {
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(error) if error.message().is_some() => return None,
            Err(_) => return Some(Outcome::Closed),
        };
        let (head, mut body) = response.into_parts();
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => received.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Err(_) => return Some(Outcome::Cut { body: text(&received) }),
            }
        }
        let id = processes::request_id(&head.headers).map(str::to_owned);
        let status = head.status.as_u16();
        Some(Outcome::Answered { status, id, body: text(&received) })
    };
    match timeout(limit, exchange).await {
        Ok(outcome) => Some((sent, outcome?)),
        Err(_) => Some((sent, Outcome::GaveUp)),
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Sends a request on a new connection.
pub async fn call_once(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Option<(Instant, Outcome)> {
    let mut sender = connect(address).await?;
    call(&mut sender, request, limit).await
}

/// Callers that run until they are finished.
pub struct Callers {
    has_ended: watch::Sender<bool>,
    tasks: Vec<JoinHandle<Vec<Call>>>,
}

impl Callers {
    /// Starts callers with kept connections and callers with new ones.
    pub fn start(seed: u64, nodes: &[Arc<Node>], kept: usize, new: usize) -> Self {
        let has_ended = watch::Sender::new(false);
        let callers = (0..kept + new).map(|number| {
            let caller = Caller {
                name: format!("s{seed}-c{number}"),
                is_kept: number < kept,
                nodes: nodes.to_vec(),
                rng: StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number as u64)),
                calls: Vec::new(),
            };
            tokio::spawn(caller.run(has_ended.subscribe()))
        });
        let tasks = callers.collect();
        Self { has_ended, tasks }
    }

    /// Lets every caller end its request; returns all requests.
    pub async fn finish(self) -> Vec<Call> {
        self.has_ended.send_replace(true);
        let mut calls = Vec::new();
        for task in self.tasks {
            calls.extend(task.await.unwrap());
        }
        calls
    }
}

struct Caller {
    name: String,
    is_kept: bool,
    nodes: Vec<Arc<Node>>,
    rng: StdRng,
    calls: Vec<Call>,
}

impl Caller {
    async fn run(mut self, has_ended: watch::Receiver<bool>) -> Vec<Call> {
        let mut open: Option<(usize, Sender)> = None;
        let mut number = 0;
        while !*has_ended.borrow() {
            if open.is_none() {
                open = self.open().await;
            }
            let Some((node, sender)) = &mut open else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            number += 1;
            let id = format!("{}-{number}", self.name);
            let kind = self.draw_kind();
            let sent = call(sender, processes::request(kind, &id), CALL_TIMEOUT).await;
            let Some((sent, outcome)) = sent else {
                open = None;
                continue;
            };
            let is_answered = matches!(outcome, Outcome::Answered { status: 200, .. });
            let is_whole = matches!(outcome, Outcome::Answered { .. });
            let (node, is_kept, ended) = (*node, self.is_kept, Instant::now());
            self.calls.push(Call { id, kind, node, is_kept, sent, ended, outcome });
            if !self.is_kept || !is_whole {
                open = None;
            }
            if !is_answered {
                sleep(RETRY_PAUSE).await;
            } else if !self.is_kept || self.rng.random_bool(0.5) {
                sleep(Duration::from_millis(self.rng.random_range(0..MAX_PAUSE_MS))).await;
            }
        }
        self.calls
    }

    /// Connects to a node to which the load balancer sends new connections.
    async fn open(&mut self) -> Option<(usize, Sender)> {
        let ready: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].in_rotation.load(Ordering::Relaxed))
            .collect();
        if ready.is_empty() {
            return None;
        }
        let node = ready[self.rng.random_range(0..ready.len())];
        let sender = connect(processes::callers_address(self.nodes[node].ip)).await?;
        Some((node, sender))
    }

    fn draw_kind(&mut self) -> RequestKind {
        match self.rng.random_range(0..10) {
            0..=2 => RequestKind::ResumableStream,
            3..=5 => RequestKind::Stream,
            6..=7 => RequestKind::Idempotent,
            _ => RequestKind::NonIdempotent,
        }
    }
}
