//! Callers' open connections, and which of them are idle.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

/// The open connections, by ascending number in the order in which they were opened.
#[derive(Default)]
pub(crate) struct OpenConnections {
    connections: Mutex<BTreeMap<u64, Arc<Activity>>>,
    next_number: AtomicU64,
}

impl OpenConnections {
    /// Returns the connections by their number.
    pub fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Activity>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, activity: Arc<Activity>) -> u64 {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        self.lock().insert(number, activity);
        number
    }

    /// Closes the oldest connection that never had a request, or else the oldest one without a
    /// running request; false if there is none. An answer that is still being sent is completed.
    pub fn close_oldest_idle(&self) -> bool {
        let mut connections = self.lock();
        let is_unused = |a: &Arc<Activity>| !a.had_request.load(Ordering::Relaxed);
        let is_idle = |a: &Arc<Activity>| a.running_requests.load(Ordering::Relaxed) == 0;
        let unused = connections.iter().find(|(_, a)| is_unused(a));
        let candidate = unused.or_else(|| connections.iter().find(|(_, a)| is_idle(a)));
        let Some(number) = candidate.map(|(number, _)| *number) else {
            return false;
        };
        connections.remove(&number).is_some_and(|activity| {
            activity.close.notify_one();
            true
        })
    }
}

/// The activity of one connection.
pub(crate) struct Activity {
    pub close: Notify,
    pub had_request: AtomicBool,
    pub running_requests: AtomicUsize,
    idle_since_ms: AtomicUsize,
    pub started: Instant,
}

/// Counts a request of a connection as running until its response head is ready.
pub(crate) struct ActivityGuard(Arc<Activity>);

impl ActivityGuard {
    pub fn new(activity: Arc<Activity>) -> Self {
        activity.had_request.store(true, Ordering::Relaxed);
        activity.running_requests.fetch_add(1, Ordering::Relaxed);
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
    /// Registers a new open connection.
    pub fn start(connections: &OpenConnections) -> (u64, Arc<Self>) {
        let activity = Arc::new(Activity {
            close: Notify::new(),
            had_request: AtomicBool::new(false),
            running_requests: AtomicUsize::new(0),
            idle_since_ms: AtomicUsize::new(0),
            started: Instant::now(),
        });
        (connections.add(activity.clone()), activity)
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
