//! A bound on the bytes that a node holds of requests and answers, over all connections.
//!
//! Each request and each answer is within its own limit, but thousands of them at once exceed the
//! memory of a VM. See `docs/design/held-memory.md`.

use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// The part of the bytes that requests may hold. The rest remains for answers: the endpoint may have
/// run the request, so an answer that finds no memory could not be had again.
const REQUEST_FRACTION: f64 = 0.5;

/// The bytes that a node may hold, shared by all its connections.
#[derive(Debug, Clone)]
pub struct HeldMemory {
    total: Arc<Semaphore>,
    requests: Arc<Semaphore>,
}

/// Bytes that are reserved until this value is dropped.
#[derive(Debug, Default)]
pub struct Reservation {
    total: Option<OwnedSemaphorePermit>,
    requests: Option<OwnedSemaphorePermit>,
}

impl HeldMemory {
    /// Creates the bound.
    pub fn new(total_bytes: usize) -> Self {
        let request_bytes = (total_bytes as f64 * REQUEST_FRACTION) as usize;
        Self {
            total: Arc::new(Semaphore::new(total_bytes)),
            requests: Arc::new(Semaphore::new(request_bytes)),
        }
    }

    /// Returns the bytes that are not reserved.
    pub fn free_bytes(&self) -> usize {
        self.total.available_permits()
    }

    /// Adds bytes of a request to its reservation; false if none are left.
    pub fn try_reserve_request(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        let Some(requests) = try_acquire(&self.requests, bytes) else { return false };
        let Some(total) = try_acquire(&self.total, bytes) else { return false };
        merge(&mut reservation.requests, requests);
        merge(&mut reservation.total, total);
        true
    }

    /// Adds bytes of an answer to its reservation; false if none are left.
    pub fn try_reserve_answer(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        let Some(total) = try_acquire(&self.total, bytes) else { return false };
        merge(&mut reservation.total, total);
        true
    }

    /// Adds bytes of an answer to its reservation, waiting until they are free.
    pub async fn reserve_answer(&self, reservation: &mut Reservation, bytes: usize) {
        let count = u32::try_from(bytes).unwrap_or(u32::MAX);
        // The semaphore is never closed.
        if let Ok(total) = self.total.clone().acquire_many_owned(count).await {
            merge(&mut reservation.total, total);
        }
    }
}

impl Reservation {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.total.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
    }
}

fn try_acquire(semaphore: &Arc<Semaphore>, bytes: usize) -> Option<OwnedSemaphorePermit> {
    let count = u32::try_from(bytes).ok()?;
    semaphore.clone().try_acquire_many_owned(count).ok()
}

fn merge(held: &mut Option<OwnedSemaphorePermit>, added: OwnedSemaphorePermit) {
    match held {
        Some(held) => held.merge(added),
        None => *held = Some(added),
    }
}
