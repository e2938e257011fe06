//! Ids of recently folded records, for the detection of duplicates.

use std::collections::HashSet;
use std::collections::VecDeque;

/// Time buckets per window. Ids are evicted by bucket, so the window is accurate to one eighth.
const BUCKETS_PER_WINDOW: u64 = 8;

#[derive(Debug, Clone)]
struct Bucket {
    number: u64,
    ids: HashSet<u128>,
}

/// The record ids of one window, in time buckets.
#[derive(Debug, Clone)]
pub(crate) struct RecentIds {
    bucket_ms: u64,
    max_ids: usize,
    total: usize,
    buckets: VecDeque<Bucket>,
}

impl RecentIds {
    pub(crate) fn new(window_ms: u64, max_ids: usize) -> Self {
        let bucket_ms = (window_ms / BUCKETS_PER_WINDOW).max(1);
        Self { bucket_ms, max_ids, total: 0, buckets: VecDeque::new() }
    }

    pub(crate) fn contains(&self, id: u128) -> bool {
        self.buckets.iter().rev().any(|bucket| bucket.ids.contains(&id))
    }

    /// Evicts buckets that are older than the window.
    pub(crate) fn evict(&mut self, now_ms: u64) {
        let number = now_ms / self.bucket_ms;
        while self.buckets.front().is_some_and(|bucket| bucket.number + BUCKETS_PER_WINDOW < number)
        {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        if let Some(bucket) = self.buckets.pop_front() {
            self.total -= bucket.ids.len();
        }
    }

    pub(crate) fn insert(&mut self, id: u128, now_ms: u64) {
        let number = now_ms / self.bucket_ms;
        let max_bucket_ids = (self.max_ids / BUCKETS_PER_WINDOW as usize).max(1);
        let has_room =
            |bucket: &Bucket| bucket.number == number && bucket.ids.len() < max_bucket_ids;
        if !self.buckets.back().is_some_and(has_room) {
            self.buckets.push_back(Bucket { number, ids: HashSet::new() });
        }
        if let Some(bucket) = self.buckets.back_mut()
            && bucket.ids.insert(id)
        {
            self.total += 1;
        }
        while self.total > self.max_ids && self.buckets.len() > 1 {
            self.evict_oldest();
        }
    }

    /// Returns the number of each bucket and its ids in ascending order, oldest bucket first.
    pub(crate) fn sorted_buckets(&self) -> impl Iterator<Item = (u64, Vec<u128>)> {
        self.buckets.iter().map(|bucket| {
            let mut ids: Vec<u128> = bucket.ids.iter().copied().collect();
            ids.sort_unstable();
            (bucket.number, ids)
        })
    }

    /// Appends a bucket that was read from a snapshot.
    pub(crate) fn push_bucket(&mut self, number: u64, ids: HashSet<u128>) {
        self.total += ids.len();
        self.buckets.push_back(Bucket { number, ids });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against ids that are evicted early, or kept after the last bucket of the window.
    #[test]
    fn ids_are_kept_for_the_window_and_at_most_one_bucket_longer() {
        let mut recent = RecentIds::new(800, 1_000);
        recent.insert(1, 50);
        recent.evict(850);
        assert!(recent.contains(1));
        recent.evict(1_000);
        assert!(!recent.contains(1));
    }

    /// Guards against unbounded memory when many records are folded in one bucket's time.
    #[test]
    fn a_burst_within_one_bucket_keeps_the_newest_ids_up_to_the_limit() {
        let mut recent = RecentIds::new(800, 80);
        for id in 0..10_000 {
            recent.insert(id, 5);
        }
        assert!(recent.total <= 80);
        assert!(recent.contains(9_999) && recent.contains(9_940));
    }
}
