//! An adaptive limit per node and group, for warm groups that suddenly turn cold.
//!
//! Load reports lag, so a node's own observations are the first sign that an endpoint turned cold.
//! See `docs/decisions/0004-endpoint-choice-and-limits.md`.

use std::sync::Arc;

use crate::loads::GroupLoad;

/// Number of recent first-byte times that the median covers.
const FIRST_BYTES: usize = 32;
/// Minimum number of first-byte times for a meaningful median.
const MIN_FIRST_BYTES: usize = 8;
/// A first byte that takes longer than the median by this factor indicates a cold start.
const SLOW_FIRST_BYTE_FACTOR: u64 = 4;
/// Consecutive slow first bytes that count as a signal; a single long prompt must not.
const SLOW_STREAK: u32 = 3;
/// Consecutive failures that count as a rise of the error rate after mostly good results.
const FAILURE_STREAK: u32 = 4;
/// Factor by which a signal reduces the limit.
const DECREASE_FACTOR: f64 = 0.5;

/// Why a group is assumed to be cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ColdSignal {
    /// Another process of the endpoint answered.
    InstanceChanged,
    /// Several requests in a row failed.
    Failures,
    /// First bytes take several times longer than before.
    SlowFirstBytes,
}

/// The observed result of one request to the group.
#[derive(Debug, Clone)]
pub struct Observation<'a> {
    /// The endpoint process that answered, if the answer named it.
    pub instance: Option<&'a str>,
    /// Whether the endpoint answered without a fault of its own.
    pub is_ok: bool,
    /// The time to the first byte of a successful answer.
    pub first_byte_ms: Option<u64>,
}

/// The adaptive limit of one group at one node.
#[derive(Debug)]
pub struct AdaptiveLimit {
    limit: f64,
    ceiling: u32,
    instance: Arc<str>,
    first_bytes_ms: Vec<u64>,
    next_index: usize,
    slow_streak: u32,
    failure_streak: u32,
}

impl AdaptiveLimit {
    /// Starts at the pool's limit, which also is the ceiling.
    pub fn new(ceiling: u32) -> Self {
        Self {
            limit: f64::from(ceiling),
            ceiling,
            instance: Arc::from(""),
            first_bytes_ms: Vec::new(),
            next_index: 0,
            slow_streak: 0,
            failure_streak: 0,
        }
    }

    /// Returns how many requests this node may have in flight at the group.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Records one result; on a signal, the temperature is unknown until a newer load report.
    ///
    /// The limit is halved on a signal and rises by one per `limit` successful results.
    pub fn observe(
        &mut self,
        observation: &Observation<'_>,
        load: &GroupLoad,
        now_ms: u64,
    ) -> Option<ColdSignal> {
        let signal = self.detect_cold(observation);
        if signal.is_some() {
            self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
            self.first_bytes_ms.clear();
            (self.next_index, self.slow_streak, self.failure_streak) = (0, 0, 0);
            load.mark_suspect(now_ms);
        } else if observation.is_ok {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.ceiling));
        }
        load.set_local_limit(self.limit());
        signal
    }

    fn detect_cold(&mut self, observation: &Observation<'_>) -> Option<ColdSignal> {
        if let Some(instance) = observation.instance
            && *self.instance != *instance
        {
            let is_first = self.instance.is_empty();
            self.instance = Arc::from(instance);
            if !is_first {
                return Some(ColdSignal::InstanceChanged);
            }
        }
        if !observation.is_ok {
            self.failure_streak += 1;
            return (self.failure_streak >= FAILURE_STREAK).then_some(ColdSignal::Failures);
        }
        self.failure_streak = 0;
        let first_byte_ms = observation.first_byte_ms?;
        let is_slow = self.median_ms().is_some_and(|median_ms| {
            first_byte_ms > SLOW_FIRST_BYTE_FACTOR.saturating_mul(median_ms.max(1))
        });
        if is_slow {
            // Slow values are left out, so that the median keeps describing the warm state.
            self.slow_streak += 1;
            return (self.slow_streak >= SLOW_STREAK).then_some(ColdSignal::SlowFirstBytes);
        }
        self.slow_streak = 0;
        self.record_first_byte(first_byte_ms);
        None
    }

    fn record_first_byte(&mut self, first_byte_ms: u64) {
        if self.first_bytes_ms.len() < FIRST_BYTES {
            self.first_bytes_ms.push(first_byte_ms);
        } else {
            self.first_bytes_ms[self.next_index] = first_byte_ms;
        }
        self.next_index = (self.next_index + 1) % FIRST_BYTES;
    }

    fn median_ms(&self) -> Option<u64> {
        if self.first_bytes_ms.len() < MIN_FIRST_BYTES {
            return None;
        }
        let mut sorted = self.first_bytes_ms.clone();
        sorted.sort_unstable();
        Some(sorted[sorted.len() / 2])
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn successful(instance: &'static str, first_byte_ms: u64) -> Observation<'static> {
        Observation { instance: Some(instance), is_ok: true, first_byte_ms: Some(first_byte_ms) }
    }

    fn warm_limit() -> (AdaptiveLimit, GroupLoad) {
        let (mut limit, load) = (AdaptiveLimit::new(16), GroupLoad::default());
        for _ in 0..20 {
            assert_eq!(limit.observe(&successful("a", 50), &load, 100), None);
        }
        assert!(!load.is_suspect(1));
        (limit, load)
    }

    // A restarted endpoint is cold although the last load report says that it is warm.
    #[test]
    fn another_instance_makes_the_group_suspect_until_a_newer_report() {
        let (mut limit, load) = warm_limit();
        assert_eq!(
            limit.observe(&successful("b", 50), &load, 200),
            Some(ColdSignal::InstanceChanged)
        );
        assert!(load.is_suspect(200));
        assert!(!load.is_suspect(201));
        assert_eq!((limit.limit(), load.local_limit()), (8, 8));
    }

    // A single long prompt must not halve the limit, but a cold endpoint must.
    #[test]
    fn slow_first_bytes_in_a_row_are_a_signal_and_a_single_one_is_not() {
        let (mut limit, load) = warm_limit();
        assert_eq!(limit.observe(&successful("a", 500), &load, 200), None);
        assert_eq!(limit.observe(&successful("a", 50), &load, 200), None);
        let signals: Vec<_> =
            (0..3).filter_map(|_| limit.observe(&successful("a", 500), &load, 200)).collect();
        assert_eq!(signals, [ColdSignal::SlowFirstBytes]);
    }

    // The limit must drop while an endpoint fails and must recover afterwards.
    #[test]
    fn failures_in_a_row_lower_the_limit_and_good_results_raise_it_to_the_ceiling() {
        let (mut limit, load) = warm_limit();
        let failed = Observation { instance: Some("a"), is_ok: false, first_byte_ms: None };
        let signals: Vec<_> = (0..4).filter_map(|_| limit.observe(&failed, &load, 200)).collect();
        assert_eq!(signals, [ColdSignal::Failures]);
        assert_eq!(limit.limit(), 8);
        (0..200).for_each(|_| assert_eq!(limit.observe(&successful("a", 50), &load, 300), None));
        assert_eq!(limit.limit(), 16);
    }
}
