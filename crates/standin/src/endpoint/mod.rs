//! Stand-ins for a model engine and a plain service, with fault injection.
//!
//! They implement the endpoint protocol of `docs/design.md`, section 8, and record every execution,
//! so that a test can compare what ran with the answers that callers got.

mod connection;
mod engine;
mod service;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::address::free_address;

/// Kind of the endpoint and its behaviour without faults.
#[derive(Debug, Clone)]
pub struct EndpointOptions {
    /// Whether it is a model engine; otherwise it is a plain service.
    pub model: bool,
    /// Time between two tokens.
    pub token_interval_ms: u64,
    /// How long the endpoint stays cold after a start or a load.
    pub warm_up_ms: u64,
    /// Concurrent requests it accepts while cold; more get status 500 and are counted as violations.
    pub cold_limit: u32,
    /// Concurrent requests it accepts while warm; more get status 503.
    pub limit: u32,
    /// Time without an event after which an engine sends a keep-alive comment.
    pub keep_alive_ms: u64,
    /// How long an engine takes to execute an order.
    pub load_ms: u64,
    /// Age of a load report when it is sent.
    pub load_lag_ms: u64,
    /// Whether orders with an old fencing number are rejected.
    pub checks_fence: bool,
    /// How long a stream without a reader can be resumed.
    pub resume_window_ms: u64,
    /// Delay before a cache event is published.
    pub cache_lag_ms: u64,
    /// Every n-th cache event is lost; zero loses none.
    pub cache_gap_every: u64,
}

impl Default for EndpointOptions {
    fn default() -> Self {
        Self {
            model: true,
            token_interval_ms: 2,
            warm_up_ms: 0,
            cold_limit: 1,
            limit: 1024,
            keep_alive_ms: 100,
            load_ms: 0,
            load_lag_ms: 0,
            checks_fence: true,
            resume_window_ms: 5_000,
            cache_lag_ms: 0,
            cache_gap_every: 0,
        }
    }
}

impl EndpointOptions {
    /// Returns the options of a plain service.
    pub fn plain() -> Self {
        Self { model: false, ..Self::default() }
    }
}

/// A fault that is applied to the next request that is admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// Sends this many events, then nothing more, and keeps the connection open.
    StopSending(u64),
    /// Sends this many events, then closes the connection.
    CloseMidStream(u64),
    /// Like `CloseMidStream`, but the stream cannot be resumed.
    LoseStream(u64),
    /// Ends the answer cleanly after this many events, without the terminal event.
    OmitTerminal(u64),
    /// Executes the request after a delay.
    Delay(Duration),
    /// Answers with this status and does not execute the request.
    ErrorBefore(u16),
    /// Executes the request, then answers with this status.
    ErrorAfter(u16),
    /// Executes the request, then closes the connection without an answer.
    CloseAfter,
    /// Executes the request and sends the answer after a delay.
    DelayAnswer(Duration),
    /// Answers the next resume call with the events of another stream.
    ResumeWrongStream,
    /// Executes the request and sends half of the body under the full `Content-Length`.
    TruncateBody,
}

/// An executed request.
#[derive(Debug, Clone)]
pub struct Execution {
    /// The `Idempotency-Key`, if one was sent.
    pub key: Option<Arc<str>>,
    /// The path with the query.
    pub path: Arc<str>,
    /// The body.
    pub body: Bytes,
    /// Names and values of the headers.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// The id of the token stream, if the endpoint is an engine.
    pub stream_id: Option<Arc<str>>,
}

/// An order that was accepted.
#[derive(Debug, Clone)]
pub struct Order {
    /// The fencing number.
    pub fence: u64,
    /// The order as received.
    pub body: serde_json::Value,
}

#[derive(Default)]
struct Inner {
    faults: VecDeque<Fault>,
    executions: Vec<Execution>,
    cancelled: Vec<Arc<str>>,
    orders: Vec<Order>,
    last_fence: u64,
    ready_at: Option<Instant>,
    leaving: bool,
    in_flight: u32,
    peak_in_flight: u32,
    cold_violations: u32,
    resumed: u32,
    instance: u64,
    warm_at: Option<Instant>,
    load_history: VecDeque<(Instant, u32)>,
    cache_events: Vec<(Instant, Arc<str>)>,
    streams: std::collections::HashMap<Arc<str>, Arc<engine::Stream>>,
}

struct Shared {
    options: EndpointOptions,
    /// Random prefix that makes the instance names of this endpoint unique.
    instance_prefix: u32,
    inner: Mutex<Inner>,
    started: Instant,
    connections: AtomicU64,
    /// Connections with a lower number neither read nor write any more.
    silent_below: AtomicU64,
    /// Connections with a lower number are closed.
    closed_below: watch::Sender<u64>,
    next_stream: AtomicU64,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running endpoint; dropping it closes its listener and connections.
pub struct Endpoint {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Endpoint {
    /// Starts an endpoint on a free loopback port, which no other endpoint of the process gets after
    /// this one has stopped.
    pub async fn start(options: EndpointOptions) -> std::io::Result<Self> {
        Self::start_on(options, free_address()?).await
    }

    /// Starts an endpoint on an address.
    pub async fn start_on(
        options: EndpointOptions,
        bind_address: SocketAddr,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(bind_address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            options,
            instance_prefix: rand::random(),
            inner: Mutex::default(),
            started: Instant::now(),
            connections: AtomicU64::new(0),
            silent_below: AtomicU64::new(0),
            closed_below: watch::Sender::new(0),
            next_stream: AtomicU64::new(1),
        });
        let task = tokio::spawn(connection::accept_connections(shared.clone(), listener));
        let endpoint = Self { address, shared, task };
        endpoint.restart_cold();
        Ok(endpoint)
    }

    /// Returns the HTTP address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Queues faults, which are applied to the next requests in this order.
    pub fn inject(&self, faults: impl IntoIterator<Item = Fault>) {
        self.shared.lock().faults.extend(faults);
    }

    /// Silences all open connections; new ones work.
    pub fn silence_open_connections(&self) {
        let opened = self.shared.connections.load(Ordering::SeqCst);
        self.shared.silent_below.store(opened, Ordering::SeqCst);
    }

    /// Closes all open connections; new ones work.
    pub fn close_open_connections(&self) {
        self.shared.closed_below.send_replace(self.connections());
    }

    /// Makes the endpoint cold and starts a new instance, as a restart of its process does.
    pub fn restart_cold(&self) {
        let mut inner = self.shared.lock();
        inner.instance += 1;
        inner.last_fence = 0;
        inner.ready_at = None;
        inner.warm_at =
            Some(Instant::now() + Duration::from_millis(self.shared.options.warm_up_ms));
    }

    /// Makes the endpoint cold without a restart or a new instance.
    pub fn turn_cold(&self) {
        let warm_up = Duration::from_millis(self.shared.options.warm_up_ms);
        self.shared.lock().warm_at = Some(Instant::now() + warm_up);
    }

    /// Makes load reports say that the endpoint is leaving.
    pub fn announce_leaving(&self) {
        self.shared.lock().leaving = true;
    }

    /// Returns all executions, in order.
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.lock().executions.clone()
    }

    /// Returns the ids of the streams that clients cancelled.
    pub fn cancelled(&self) -> Vec<Arc<str>> {
        self.shared.lock().cancelled.clone()
    }

    /// Returns the accepted orders.
    pub fn orders(&self) -> Vec<Order> {
        self.shared.lock().orders.clone()
    }

    /// Returns the number of connections opened so far.
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::SeqCst)
    }

    /// Returns the number of requests that exceeded the cold limit.
    pub fn cold_violations(&self) -> u32 {
        self.shared.lock().cold_violations
    }

    /// Returns the number of resume calls answered.
    pub fn resumed(&self) -> u32 {
        self.shared.lock().resumed
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.shared.lock().in_flight
    }

    /// Returns the highest number of requests that were in flight at once.
    pub fn peak_in_flight(&self) -> u32 {
        self.shared.lock().peak_in_flight
    }
}
