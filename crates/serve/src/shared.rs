//! The state that all requests of the callers' interface share.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use balsam_http::Client;
use slog::Logger;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::admit::Gate;
use crate::body::BodyBytes;
use crate::copies::Copies;
use crate::idle::Idle;
use crate::metrics::Metrics;
use crate::options::ServeOptions;
use crate::ports::Ports;
use crate::target::Targets;

/// The state that all requests share.
pub(crate) struct Shared {
    pub options: ServeOptions,
    pub ports: Ports,
    pub client: Client,
    pub targets: Targets,
    pub gate: Arc<Gate>,
    pub copies: Copies,
    pub metrics: Metrics,
    pub log: Logger,
    pub stopping: watch::Sender<bool>,
    pub connections: Arc<Semaphore>,
    pub body_bytes: BodyBytes,
    pub idle: Idle,
    pub open: Arc<Open>,
    pub ready: AtomicBool,
}

impl Shared {
    /// Returns the time left until a time of the node's clock.
    pub fn left(&self, until_ms: u64) -> Duration {
        Duration::from_millis(until_ms.saturating_sub((self.ports.now_ms)()))
    }

    /// Counts a request as open until the guard is dropped.
    pub fn open_request(&self) -> OpenGuard {
        self.open.count.fetch_add(1, Ordering::SeqCst);
        OpenGuard { _counted: Arc::new(Counted(self.open.clone())) }
    }
}

/// The requests whose answer has not ended.
#[derive(Default)]
pub(crate) struct Open {
    pub count: AtomicU64,
    pub changed: Notify,
}

/// Counts one request as open until its last clone is dropped.
#[derive(Clone)]
pub(crate) struct OpenGuard {
    _counted: Arc<Counted>,
}

struct Counted(Arc<Open>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::SeqCst);
        self.0.changed.notify_waiters();
    }
}
