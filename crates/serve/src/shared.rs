//! The state shared by all requests of the callers' interface.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use balsam_http::Client;
use balsam_http::OpenConnections;
use slog::Logger;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::admit::AdmissionGate;
use crate::body::BodyMemory;
use crate::copies::Copies;
use crate::metrics::Metrics;
use crate::open_connections::Activity;
use crate::options::ServeOptions;
use crate::ports::Ports;
use crate::target::TargetSelector;

/// The state shared by all requests.
pub(crate) struct Shared {
    pub options: ServeOptions,
    pub ports: Ports,
    pub client: Client,
    pub target_selector: TargetSelector,
    pub gate: Arc<AdmissionGate>,
    pub copies: Copies,
    pub metrics: Metrics,
    pub log: Logger,
    pub stopping: watch::Sender<bool>,
    /// Whether the limit of the shutdown is reached.
    pub cutting: watch::Sender<bool>,
    /// The number of loops that accept connections.
    pub accept_loops: watch::Sender<usize>,
    pub connection_slots: Arc<Semaphore>,
    /// For connections over the limit that are open to be refused.
    pub refusal_slots: Arc<Semaphore>,
    /// For sockets that are read on after the close.
    pub lingering: Arc<Semaphore>,
    pub body_memory: BodyMemory,
    pub open_connections: OpenConnections<Activity>,
    pub request_counter: Arc<OpenRequests>,
    pub ready: AtomicBool,
}

impl Shared {
    /// Returns the time left until `until_ms` on the node's clock.
    pub fn time_left(&self, until_ms: u64) -> Duration {
        Duration::from_millis(until_ms.saturating_sub((self.ports.now_ms)()))
    }

    /// Counts a request as open until the last clone of the guard is dropped.
    pub fn open_request(&self) -> OpenRequestGuard {
        self.request_counter.count.fetch_add(1, Ordering::SeqCst);
        OpenRequestGuard { _count: Arc::new(OpenCount(self.request_counter.clone())) }
    }
}

/// The number of requests whose answer has not ended.
#[derive(Default)]
pub(crate) struct OpenRequests {
    pub count: AtomicU64,
    pub changed: Notify,
}

/// Counts one request as open until its last clone is dropped.
#[derive(Clone)]
pub(crate) struct OpenRequestGuard {
    _count: Arc<OpenCount>,
}

struct OpenCount(Arc<OpenRequests>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::SeqCst);
        self.0.changed.notify_waiters();
    }
}
