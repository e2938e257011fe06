//! Queued requests, their order, and averages over what was sent and answered.

mod shares;
mod usual;

use std::collections::BTreeMap;
use std::collections::HashMap;

use balsam_admit::Promises;
use balsam_types::PoolName;

use crate::event::Arrival;
use crate::event::AttemptId;
use crate::priority::Priority;
use crate::serving::RequestKind;
use crate::waiting::shares::Shares;
pub use crate::waiting::usual::UsualTime;

/// Assumed duration of an answer before the first one was measured.
const INITIAL_RESIDENCE_MS: f64 = 700.0;

/// Weight of the newest request in the averages over requests.
const AVERAGE_WEIGHT: f64 = 0.05;

/// Capacity available to a kind of request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Maximum number of concurrent requests of all servers.
    pub total: u32,
    /// Number of servers.
    pub servers: u32,
    /// Number of nodes that share it.
    pub nodes: u32,
}

/// A queued request.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    /// The request.
    pub arrival: Arrival,
    /// Its expected work.
    pub work_ms: f64,
}

/// The queued requests of one kind, and averages over recent ones.
#[derive(Debug, Clone, Default)]
struct Queue {
    waiting: BTreeMap<AttemptId, Entry>,
    first_event: UsualTime,
    answer: UsualTime,
    shares: Shares,
    dispatched_work_ms: Option<f64>,
    promises: Promises,
}

/// All queued requests.
#[derive(Debug, Clone, Default)]
pub struct Waiting {
    queues: HashMap<RequestKind, Queue>,
}

impl Waiting {
    /// Whether no request of a kind is queued.
    pub fn is_clear(&self, kind: &RequestKind) -> bool {
        self.of(kind).next().is_none()
    }

    /// Returns the queued requests of a kind.
    pub fn of(&self, kind: &RequestKind) -> impl Iterator<Item = &Arrival> {
        let queued = self.queues.get(kind).into_iter().flat_map(|queue| queue.waiting.values());
        queued.map(|queued| &queued.arrival)
    }

    /// Removes a request; returns it if it was queued.
    pub fn remove(&mut self, kind: &RequestKind, attempt_id: AttemptId) -> Option<Arrival> {
        self.queues.get_mut(kind)?.waiting.remove(&attempt_id).map(|queued| queued.arrival)
    }

    /// Removes a request of any kind; returns whether it was queued.
    pub fn cancel(&mut self, attempt_id: AttemptId) -> bool {
        self.queues.values_mut().any(|queue| queue.waiting.remove(&attempt_id).is_some())
    }

    /// Records how long after it was sent a request had the first event of its answer.
    pub(crate) fn started(&mut self, kind: &RequestKind, first_event_ms: u64) {
        self.queues.entry(kind.clone()).or_default().first_event.record(first_event_ms);
    }

    /// Records how long after it was sent a request had its answer.
    pub(crate) fn answered(&mut self, kind: &RequestKind, duration_ms: u64) {
        self.queues.entry(kind.clone()).or_default().answer.record(duration_ms);
    }

    /// Returns the kinds of requests that are queued.
    pub fn kinds(&self) -> Vec<RequestKind> {
        let busy = self.queues.iter().filter(|(_, queue)| !queue.waiting.is_empty());
        busy.map(|(kind, _)| kind.clone()).collect()
    }

    /// Returns the number of queued retries to a pool.
    pub fn retries(&self, pool: &PoolName) -> usize {
        let queues = self.queues.iter().filter(|(kind, _)| kind.pool == *pool);
        let queued = queues.flat_map(|(_, queue)| queue.waiting.values());
        queued.filter(|queued| queued.arrival.is_retry).count()
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.queues.values().map(|queue| queue.waiting.len()).sum()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Queues a request.
    pub(crate) fn insert(&mut self, kind: &RequestKind, entry: Entry) {
        let queue = self.queues.entry(kind.clone()).or_default();
        queue.waiting.insert(entry.arrival.attempt_id, entry);
    }

    /// Returns a queued request.
    pub(crate) fn entry(&self, kind: &RequestKind, attempt_id: AttemptId) -> Option<&Entry> {
        self.queues.get(kind)?.waiting.get(&attempt_id)
    }

    /// Returns the queued requests of a kind in the order in which they are sent.
    pub(crate) fn order(&self, now_ms: u64, kind: &RequestKind) -> Vec<AttemptId> {
        let Some(queue) = self.queues.get(kind) else { return Vec::new() };
        let mut order: Vec<_> =
            queue.waiting.values().map(|entry| queue.rank(now_ms, entry)).collect();
        order.sort_unstable();
        order.into_iter().map(|rank| rank.attempt_id).collect()
    }

    /// Returns the work of the queued requests that are dispatched before another one.
    pub(crate) fn work_ahead_ms(&self, now_ms: u64, kind: &RequestKind, entry: &Entry) -> f64 {
        let Some(queue) = self.queues.get(kind) else { return 0.0 };
        let own_rank = queue.rank(now_ms, entry);
        let queued = queue.waiting.values();
        let ahead = queued.filter(|queued| queue.rank(now_ms, queued) < own_rank);
        ahead.map(|queued| queued.work_ms).sum()
    }

    /// Counts the work of a request that was sent against the share of its organisation.
    pub(crate) fn granted(
        &mut self,
        now_ms: u64,
        kind: &RequestKind,
        arrival: &Arrival,
        work_ms: f64,
    ) {
        let queue = self.queues.entry(kind.clone()).or_default();
        queue.shares.grant(now_ms, &arrival.organisation, work_ms);
    }

    /// Records the work of a request that was sent.
    pub(crate) fn sent(&mut self, kind: &RequestKind, work_ms: f64) {
        let queue = self.queues.entry(kind.clone()).or_default();
        let average_ms = queue.dispatched_work_ms.get_or_insert(work_ms);
        *average_ms += AVERAGE_WEIGHT * (work_ms - *average_ms);
    }

    /// Returns the room that refused callers of a kind were told of.
    pub(crate) fn promises(&mut self, kind: &RequestKind) -> &mut Promises {
        &mut self.queues.entry(kind.clone()).or_default().promises
    }

    /// Returns the largest part that one organisation received of the work granted to a kind that is
    /// queued for; zero if none is.
    pub fn largest_share(&self, now_ms: u64) -> f64 {
        let busy = self.queues.values().filter(|queue| !queue.waiting.is_empty());
        busy.map(|queue| queue.shares.largest(now_ms)).fold(0.0, f64::max)
    }

    /// Forgets organisations that received nothing recently.
    pub(crate) fn expire_shares(&mut self, now_ms: u64) {
        self.queues.values_mut().for_each(|queue| queue.shares.expire(now_ms));
    }

    /// Returns how long the answers of a kind usually take.
    pub(crate) fn usual_answer(&self, kind: &RequestKind) -> UsualTime {
        self.queues.get(kind).map(|queue| queue.answer).unwrap_or_default()
    }

    /// Returns how long the first events of a kind usually take.
    pub(crate) fn usual_first_event(&self, kind: &RequestKind) -> UsualTime {
        self.queues.get(kind).map(|queue| queue.first_event).unwrap_or_default()
    }

    /// Returns the average duration of the answers of a kind.
    pub(crate) fn residence_ms(&self, kind: &RequestKind) -> f64 {
        self.usual_answer(kind).mean_ms().unwrap_or(INITIAL_RESIDENCE_MS)
    }

    /// Returns the average work of the requests of a kind that were sent.
    pub(crate) fn dispatched_work_ms(&self, kind: &RequestKind) -> f64 {
        self.queues.get(kind).and_then(|queue| queue.dispatched_work_ms).unwrap_or(0.0)
    }
}

/// The order of queued requests; the lowest is sent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether it begins an answer; a caller that has part of one gets the rest first.
    is_new: bool,
    priority: Priority,
    /// Work that its organisation received recently.
    granted_ms: u64,
    /// Its caller has waited since then.
    arrived_ms: u64,
    attempt_id: AttemptId,
}

impl Queue {
    fn rank(&self, now_ms: u64, entry: &Entry) -> Rank {
        let arrival = &entry.arrival;
        Rank {
            is_new: !arrival.has_partial_answer,
            priority: arrival.priority,
            granted_ms: self.shares.granted_ms(now_ms, &arrival.organisation) as u64,
            arrived_ms: arrival.arrived_ms,
            attempt_id: arrival.attempt_id,
        }
    }
}
