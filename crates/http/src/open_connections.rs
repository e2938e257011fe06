//! Callers' open connections, of which an idle one is closed when there are too many.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// The open connections, by ascending number in the order in which they were opened.
#[derive(Debug)]
pub struct OpenConnections<C> {
    connections: Mutex<BTreeMap<u64, Arc<C>>>,
    next_number: AtomicU64,
}

impl<C> Default for OpenConnections<C> {
    fn default() -> Self {
        Self { connections: Mutex::default(), next_number: AtomicU64::new(0) }
    }
}

impl<C> OpenConnections<C> {
    /// Adds a connection; returns its number.
    pub fn add(&self, connection: Arc<C>) -> u64 {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        self.lock().insert(number, connection);
        number
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, number: u64) {
        self.lock().remove(&number);
    }

    /// Removes and returns the connection with the lowest rank, and of several the oldest. Those
    /// whose rank is `None` are in use.
    pub fn take_lowest<R: Ord>(&self, rank: impl Fn(&C) -> Option<R>) -> Option<Arc<C>> {
        let mut connections = self.lock();
        let ranked = connections.iter().filter_map(|(number, c)| Some((rank(c)?, *number)));
        let (_, number) = ranked.min()?;
        connections.remove(&number)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<C>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
