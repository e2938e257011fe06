//! An approximate index of the groups that cache each prompt prefix.
//!
//! Cache events arrive late and with gaps, so the index is a hint: a miss or low confidence falls
//! back to rendezvous affinity in [`mod@crate::choice`].

use std::collections::HashMap;
use std::collections::VecDeque;

/// Maximum groups kept per prefix; more cost memory but add hardly any hits.
const GROUPS_PER_PREFIX: usize = 2;
/// Factor applied to the confidence in a group at a gap in its event numbers.
const GAP_CONFIDENCE_FACTOR: f32 = 0.5;
/// Share of the distance to full confidence that each event in order recovers.
const CONFIDENCE_RECOVERY: f32 = 0.05;
/// Minimum confidence at which a group's entries are used.
const MIN_CONFIDENCE: f32 = 0.5;

/// What an endpoint did with a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CacheAction {
    /// It cached the prefix.
    Stored,
    /// It dropped the prefix.
    Evicted,
}

/// One cache event of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Hash of the group's name, see [`crate::loads::hash_bytes`].
    pub group_hash: u64,
    /// The event's number within one endpoint process; consecutive unless events were lost.
    pub number: u64,
    /// What the endpoint did.
    pub action: CacheAction,
    /// Hash of the prefix.
    pub prefix_hash: u64,
}

/// A group that holds a prefix.
#[derive(Debug, Clone, Copy)]
struct Holder {
    group_hash: u64,
    stored_ms: u64,
    number: u64,
}

/// The event stream of one group.
#[derive(Debug)]
struct Source {
    last_number: u64,
    confidence: f32,
    /// Older entries were made by an earlier endpoint process.
    valid_from_ms: u64,
}

/// The index of one pool; its memory is bounded by the number of entries.
#[derive(Debug)]
pub struct CacheIndex {
    max_entries: usize,
    max_age_ms: u64,
    holders: HashMap<u64, Vec<Holder>>,
    insertion_order: VecDeque<(u64, Holder)>,
    sources: HashMap<u64, Source>,
}

impl CacheIndex {
    /// Creates an index of at most `max_entries` entries that age out after `max_age_ms`.
    pub fn new(max_entries: usize, max_age_ms: u64) -> Self {
        Self {
            max_entries,
            max_age_ms,
            holders: HashMap::new(),
            insertion_order: VecDeque::new(),
            sources: HashMap::new(),
        }
    }

    /// Applies an event; repeated events have no effect.
    pub fn apply(&mut self, event: CacheEvent, now_ms: u64) {
        if !self.track_number(&event) {
            return;
        }
        self.remove_holder(event.prefix_hash, event.group_hash);
        if event.action == CacheAction::Stored {
            let CacheEvent { group_hash, number, prefix_hash, .. } = event;
            self.store(prefix_hash, Holder { group_hash, stored_ms: now_ms, number });
        }
        self.evict(now_ms);
    }

    /// Invalidates the entries of a group whose endpoint process changed; its cache is empty.
    pub fn reset(&mut self, group_hash: u64, now_ms: u64) {
        let source = Source { last_number: 0, confidence: 1.0, valid_from_ms: now_ms + 1 };
        self.sources.insert(group_hash, source);
    }

    /// Drops a group that left the pool.
    pub fn remove(&mut self, group_hash: u64) {
        self.sources.remove(&group_hash);
    }

    /// Returns the group that most recently stored the longest known prefix; `prefix_hashes` are
    /// ordered longest first.
    pub fn lookup(&self, prefix_hashes: &[u64], now_ms: u64) -> Option<u64> {
        prefix_hashes.iter().find_map(|prefix_hash| {
            let holders = self.holders.get(prefix_hash)?.iter();
            let usable = holders.filter(|holder| self.is_usable(holder, now_ms));
            let newest = usable.max_by_key(|holder| holder.stored_ms)?;
            Some(newest.group_hash)
        })
    }

    /// Returns the number of entries, which never exceeds the bound.
    pub fn entries(&self) -> usize {
        self.insertion_order.len()
    }

    /// Returns the confidence in the entries of a group, from 0 to 1.
    pub fn confidence(&self, group_hash: u64) -> f32 {
        self.sources.get(&group_hash).map_or(0.0, |source| source.confidence)
    }

    fn is_usable(&self, holder: &Holder, now_ms: u64) -> bool {
        let is_young = now_ms < holder.stored_ms.saturating_add(self.max_age_ms);
        is_young
            && self.sources.get(&holder.group_hash).is_some_and(|source| {
                source.confidence >= MIN_CONFIDENCE && holder.stored_ms >= source.valid_from_ms
            })
    }

    /// Updates a group's last event number and confidence; returns whether the event is new.
    fn track_number(&mut self, event: &CacheEvent) -> bool {
        let source = self.sources.entry(event.group_hash).or_insert(Source {
            last_number: event.number.saturating_sub(1),
            confidence: 1.0,
            valid_from_ms: 0,
        });
        if event.number <= source.last_number {
            return false;
        }
        let is_first = source.last_number == 0;
        if event.number == source.last_number + 1 || is_first {
            source.confidence += CONFIDENCE_RECOVERY * (1.0 - source.confidence);
        } else {
            source.confidence *= GAP_CONFIDENCE_FACTOR;
        }
        source.last_number = event.number;
        true
    }

    fn store(&mut self, prefix_hash: u64, holder: Holder) {
        let holders = self.holders.entry(prefix_hash).or_default();
        if holders.len() >= GROUPS_PER_PREFIX {
            holders.remove(0);
        }
        holders.push(holder);
        self.insertion_order.push_back((prefix_hash, holder));
    }

    fn remove_holder(&mut self, prefix_hash: u64, group_hash: u64) {
        if let Some(holders) = self.holders.get_mut(&prefix_hash) {
            holders.retain(|holder| holder.group_hash != group_hash);
            if holders.is_empty() {
                self.holders.remove(&prefix_hash);
            }
        }
    }

    /// Evicts old and excess entries; `insertion_order` may list replaced entries, which differ in
    /// their number.
    fn evict(&mut self, now_ms: u64) {
        while let Some((prefix_hash, oldest)) = self.insertion_order.front().copied() {
            let is_old = now_ms >= oldest.stored_ms.saturating_add(self.max_age_ms);
            if self.insertion_order.len() <= self.max_entries && !is_old {
                return;
            }
            self.insertion_order.pop_front();
            let Some(holders) = self.holders.get_mut(&prefix_hash) else {
                continue;
            };
            holders.retain(|holder| {
                holder.group_hash != oldest.group_hash || holder.number != oldest.number
            });
            if holders.is_empty() {
                self.holders.remove(&prefix_hash);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn stored(number: u64, prefix_hash: u64) -> CacheEvent {
        CacheEvent { group_hash: 1, number, action: CacheAction::Stored, prefix_hash }
    }

    // Entries that are evicted or too old would send requests to a group without the prefix.
    #[test]
    fn the_longest_known_prefix_is_found_until_it_is_evicted_or_old() {
        let mut index = CacheIndex::new(100, 1_000);
        index.apply(stored(1, 10), 0);
        index.apply(stored(2, 20), 500);
        assert_eq!(index.lookup(&[30, 20, 10], 600), Some(1));
        index.apply(CacheEvent { action: CacheAction::Evicted, ..stored(3, 20) }, 700);
        assert_eq!(index.lookup(&[20], 700), None);
        assert_eq!(index.lookup(&[10], 999), Some(1));
        assert_eq!(index.lookup(&[10], 1_000), None);
    }

    // Lost events may be evictions, so old entries would send requests to an empty cache.
    #[test]
    fn repeated_gaps_disable_the_entries_of_a_group_until_events_arrive_in_order() {
        let mut index = CacheIndex::new(1_000, 60_000);
        index.apply(stored(1, 10), 0);
        index.apply(stored(5, 11), 0);
        index.apply(stored(9, 12), 0);
        assert_eq!(index.lookup(&[10], 1), None);
        (10..40).for_each(|number| index.apply(stored(number, 13), 0));
        assert_eq!(index.lookup(&[12], 1), Some(1));
    }

    // A restarted endpoint has an empty cache and numbers its events from 1 again.
    #[test]
    fn a_reset_drops_the_entries_and_accepts_restarted_event_numbers() {
        let mut index = CacheIndex::new(100, 60_000);
        index.apply(stored(7, 10), 5);
        index.reset(1, 6);
        assert_eq!(index.lookup(&[10], 7), None);
        index.apply(stored(1, 10), 8);
        assert_eq!(index.lookup(&[10], 9), Some(1));
    }

    // An index without a bound would grow with every prefix seen.
    #[test]
    fn the_number_of_entries_stays_bounded() {
        let mut index = CacheIndex::new(50, 60_000);
        (1..1_000).for_each(|number| index.apply(stored(number, number % 300), number));
        assert_eq!(index.entries(), 50);
        assert!(index.holders.len() <= 50);
    }
}
