//! Predicted waits, and the retry delays that follow from them.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use crate::event::Arrival;

/// Fraction of the time to the target that a request may wait at least. The typical time between
/// dispatch and answer is kept free beyond that.
const MIN_WAIT_SHARE: f64 = 0.5;

/// Fraction of the time to its deadline for which a late request may wait.
const LATE_WAIT_SHARE: f64 = 0.25;

/// Fraction of the capacity that must be left over before late requests are queued: what arrives
/// fluctuates, and a late request that is running delays those in time.
const MIN_SPARE_SHARE: f64 = 0.05;

/// Minimum retry delay: an earlier return meets the same queue.
const RETRY_AFTER_MIN_MS: f64 = 100.0;

/// Fraction of its remaining time for which a caller is asked to stay away at most; after a longer
/// delay a second refusal would be final.
const RETRY_AFTER_MAX_SHARE: f64 = 1.0 / 3.0;

/// Fraction of a retry delay by which callers refused together are spread.
const RETRY_SPREAD: f64 = 0.5;

/// What a request has to wait for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Backlog {
    /// Work that is done before the request is dispatched.
    pub ahead_ms: f64,
    /// Time until the first group that may take it has read enough.
    pub read_wait_ms: f64,
    /// Work that this node's share of the capacity does per ms.
    pub rate: f64,
    /// Work that arrived at this node per ms.
    pub arriving: f64,
}

impl Backlog {
    /// Returns the expected wait of a request in time.
    pub fn wait_ms(&self) -> f64 {
        self.read_wait_ms + self.ahead_ms / self.rate.max(f64::MIN_POSITIVE)
    }

    /// Returns the expected wait of a late request, which gets only what requests in time leave
    /// over; `None` if they leave nothing.
    pub fn late_wait_ms(&self) -> Option<f64> {
        let spare = self.rate - self.arriving;
        (spare > self.rate * MIN_SPARE_SHARE).then(|| self.read_wait_ms + self.ahead_ms / spare)
    }
}

/// Returns until when a request has to be dispatched to meet its target, given the typical time
/// from dispatch to what the target counts to.
///
/// The time is that of the kind, not of the request, so that large requests are not refused first.
pub(crate) fn dispatch_by_ms(now_ms: u64, arrival: &Arrival, service_ms: f64) -> u64 {
    let to_target_ms = arrival.target_at_ms.saturating_sub(now_ms) as f64;
    now_ms + (to_target_ms - service_ms).max(to_target_ms * MIN_WAIT_SHARE) as u64
}

/// Whether a request that has to be dispatched by `dispatch_by_ms` can be served, in time or late.
pub(crate) fn is_servable(
    now_ms: u64,
    arrival: &Arrival,
    dispatch_by_ms: u64,
    backlog: &Backlog,
) -> bool {
    let is_in_time = now_ms < dispatch_by_ms
        && backlog.wait_ms() <= dispatch_by_ms.saturating_sub(now_ms) as f64;
    let left_ms = arrival.deadline_at_ms.saturating_sub(now_ms) as f64;
    // An answer of which the caller has a part would be wasted.
    let late_wait_ms = match arrival.has_partial_answer {
        true => Some(backlog.wait_ms()),
        false => backlog.late_wait_ms(),
    };
    is_in_time || late_wait_ms.is_some_and(|wait_ms| wait_ms <= left_ms * LATE_WAIT_SHARE)
}

/// Returns the longest retry delay that a caller can afford.
pub(crate) fn retry_limit_ms(now_ms: u64, arrival: &Arrival) -> f64 {
    let left_ms = arrival.deadline_at_ms.saturating_sub(now_ms) as f64;
    left_ms * RETRY_AFTER_MAX_SHARE / (1.0 + RETRY_SPREAD)
}

/// Returns the retry delay of a refused caller for whom there is room after `room_ms`.
///
/// Callers that were refused together, also by other nodes, return spread over a part of the delay;
/// otherwise they would meet each other again.
pub(crate) fn retry_after_ms(node: &str, arrival: &Arrival, room_ms: f64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (node, arrival.attempt_id).hash(&mut hasher);
    let draw = hasher.finish() as f64 / u64::MAX as f64;
    (room_ms.max(RETRY_AFTER_MIN_MS) * (1.0 + RETRY_SPREAD * draw)) as u64
}
