//! Decides which reads are copied to a second pool, and limits the concurrent copies.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use http::Method;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::options::ServeOptions;
use crate::ports::Call;

/// Decides which reads are copied.
pub(crate) struct Copies {
    percent: u64,
    reads: AtomicU64,
    slots: Arc<Semaphore>,
}

impl Copies {
    pub fn new(options: &ServeOptions) -> Self {
        Self {
            percent: u64::from(options.compare_percent),
            reads: AtomicU64::new(0),
            slots: Arc::new(Semaphore::new(options.compare_running)),
        }
    }

    /// Returns a permit to copy a request; `None` if it is not a read, is not in the share to be
    /// copied or too many copies are running.
    pub fn try_start(&self, call: &Call) -> Option<OwnedSemaphorePermit> {
        // PUT and DELETE are idempotent as well, but would change the state of the second pool.
        let is_read = call.idempotent && [Method::GET, Method::HEAD].contains(&call.method);
        if !is_read || !self.is_due() {
            return None;
        }
        self.slots.clone().try_acquire_owned().ok()
    }

    /// Selects reads at even intervals: with 10 percent, every tenth read is due.
    fn is_due(&self) -> bool {
        let index = self.reads.fetch_add(1, Ordering::Relaxed);
        (index + 1) * self.percent / 100 > index * self.percent / 100
    }
}
