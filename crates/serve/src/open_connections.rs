//! Callers' open connections, and which of them are idle.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use balsam_http::OpenConnections;
use tokio::sync::Notify;

/// Closes the oldest connection that never had a request, or else the oldest one without a running
/// request; false if there is none. An answer that is still being sent is completed.
pub(crate) fn close_oldest_idle(connections: &OpenConnections<Activity>) -> bool {
    let rank = |activity: &Activity| {
        let is_idle = activity.running_requests.load(Ordering::Relaxed) == 0;
        is_idle.then(|| activity.had_request.load(Ordering::Relaxed))
    };
    let closed = connections.take_lowest(rank);
    closed.inspect(|activity| activity.close.notify_one()).is_some()
}

/// The activity of one connection.
pub(crate) struct Activity {
    pub close: Notify,
    pub had_request: AtomicBool,
    /// Whether the first request asks for the close of the connection.
    closes_after_request: bool,
    pub running_requests: AtomicUsize,
    idle_since_ms: AtomicUsize,
    pub started: Instant,
    /// Since when bytes of an answer wait for the caller to read.
    blocked_since: Mutex<Option<Instant>>,
}

/// Counts a request of a connection as running until its response head is ready.
pub(crate) struct ActivityGuard(Arc<Activity>);

impl ActivityGuard {
    pub fn new(activity: Arc<Activity>) -> Self {
        activity.had_request.store(true, Ordering::Relaxed);
        activity.running_requests.fetch_add(1, Ordering::Relaxed);
        if activity.closes_after_request {
            activity.close.notify_one();
        }
        Self(activity)
    }
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        let now_ms = self.0.started.elapsed().as_millis() as usize;
        self.0.idle_since_ms.store(now_ms, Ordering::Relaxed);
        self.0.running_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Activity {
    pub fn new(closes_after_request: bool) -> Self {
        Self {
            close: Notify::new(),
            had_request: AtomicBool::new(false),
            closes_after_request,
            running_requests: AtomicUsize::new(0),
            idle_since_ms: AtomicUsize::new(0),
            started: Instant::now(),
            blocked_since: Mutex::default(),
        }
    }

    /// Records whether a write has to wait until the caller reads.
    pub fn wrote(&self, is_blocked: bool) {
        let mut since = self.blocked_since.lock().unwrap_or_else(PoisonError::into_inner);
        *since = is_blocked.then(|| since.unwrap_or_else(Instant::now));
    }

    /// Returns the time for which the caller has read nothing of what waits for it.
    pub fn blocked_for(&self) -> Duration {
        let since = *self.blocked_since.lock().unwrap_or_else(PoisonError::into_inner);
        since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Returns the time since the last request ended; zero while one is running.
    pub fn idle_for(&self) -> Duration {
        if self.running_requests.load(Ordering::Relaxed) > 0 {
            return Duration::ZERO;
        }
        let since = Duration::from_millis(self.idle_since_ms.load(Ordering::Relaxed) as u64);
        self.started.elapsed().saturating_sub(since)
    }
}
