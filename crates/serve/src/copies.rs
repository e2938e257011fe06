//! Which reads are copied to a second pool, and how many at a time.

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
    running: Arc<Semaphore>,
}

impl Copies {
    pub fn new(options: &ServeOptions) -> Self {
        Self {
            percent: u64::from(options.compare_percent),
            reads: AtomicU64::new(0),
            running: Arc::new(Semaphore::new(options.compare_running)),
        }
    }

    /// Takes the place of a copy if the request is a read whose turn it is; `None` if the bounds
    /// leave none.
    pub fn take_place(&self, call: &Call) -> Option<OwnedSemaphorePermit> {
        // PUT and DELETE may be repeated as well, but they change the second pool.
        let reads = call.idempotent && [Method::GET, Method::HEAD].contains(&call.method);
        if !reads || !self.is_due() {
            return None;
        }
        self.running.clone().try_acquire_owned().ok()
    }

    /// Spreads the share evenly: with 10 in 100, every tenth read is due.
    fn is_due(&self) -> bool {
        let read = self.reads.fetch_add(1, Ordering::Relaxed);
        (read + 1) * self.percent / 100 > read * self.percent / 100
    }
}
