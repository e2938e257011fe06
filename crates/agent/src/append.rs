//! The queue of records to append: one append in flight, everything else in the next batch.
//!
//! The log limits appends per second, not records, so a node batches the records that arrive
//! during an append. An append whose result is unknown is sent again with the same record ids;
//! the fold ignores the duplicates. See `docs/design.md`, section 7.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use balsam_types::Record;
use balsam_types::RecordId;
use balsam_types::RecordKind;

use crate::effect::Effect;

/// Maximum number of records in an append; keeps a batch small enough for its timeout.
const MAX_BATCH_RECORDS: usize = 512;

/// Delay before an append with an unknown result is sent again.
const RETRY_MS: u64 = 250;

#[derive(Debug)]
struct Batch {
    batch_id: u64,
    records: Vec<Record>,
    /// When to send the batch again; `None` while waiting for an answer.
    retry_at_ms: Option<u64>,
    /// Whether the append is known to have taken effect or nothing is left to send.
    is_done: bool,
}

/// Pending records and the append in flight.
#[derive(Debug, Default)]
pub struct AppendQueue {
    pending: VecDeque<Record>,
    in_flight: Option<Batch>,
    next_batch_id: u64,
    /// When each record was first seen in the queue, by the monotonic clock.
    queued_since_ms: HashMap<RecordId, u64>,
}

impl AppendQueue {
    /// Adds a record to the next batch.
    pub fn push(&mut self, record: Record) {
        self.pending.push_back(record);
    }

    /// Returns the number of records not yet known to be in the log.
    pub fn len(&self) -> usize {
        self.pending.len() + self.in_flight.as_ref().map_or(0, |batch| batch.records.len())
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether a matching record is queued, so that it is not proposed twice.
    pub fn contains(&self, matches: impl Fn(&Record) -> bool) -> bool {
        let in_flight = self.in_flight.iter().flat_map(|batch| batch.records.iter());
        self.pending.iter().chain(in_flight).any(matches)
    }

    /// Removes a record that was never sent; returns false if it may be in the log.
    pub fn withdraw(&mut self, id: RecordId) -> bool {
        let previous_len = self.pending.len();
        self.pending.retain(|record| record.record_id != id);
        self.pending.len() < previous_len
    }

    /// Returns the next append, or the repetition of one with an unknown result, if one is due.
    pub fn next_append(&mut self, now_ms: u64) -> Option<Effect> {
        if let Some(batch) = &mut self.in_flight {
            let is_due = batch.retry_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
            if !is_due {
                return None;
            }
            batch.retry_at_ms = None;
            let (batch_id, records) = (batch.batch_id, batch.records.clone());
            return Some(Effect::Append { batch_id, records });
        }
        if self.pending.is_empty() {
            return None;
        }
        let count = self.next_batch_len();
        let records: Vec<Record> = self.pending.drain(..count).collect();
        let batch_id = self.next_batch_id;
        self.next_batch_id += 1;
        let batch = Batch { batch_id, records: records.clone(), retry_at_ms: None, is_done: false };
        self.in_flight = Some(batch);
        Some(Effect::Append { batch_id, records })
    }

    /// Returns the size of the next batch. A snapshot is sent alone: with other records it could
    /// exceed the maximum message size.
    fn next_batch_len(&self) -> usize {
        let is_snapshot = |record: &Record| matches!(record.kind, RecordKind::Snapshot { .. });
        let limit = self.pending.len().min(MAX_BATCH_RECORDS);
        match self.pending.iter().take(limit).position(is_snapshot) {
            Some(0) => 1,
            Some(index) => index,
            None => limit,
        }
    }

    /// Drops the records that `keep` rejects, given how long each has been queued.
    ///
    /// A batch that waits for its answer is unchanged, since its records must match the append.
    pub fn drop_stale(&mut self, now_ms: u64, keep: impl Fn(&Record, u64) -> bool) {
        let in_flight = self.in_flight.iter().flat_map(|batch| &batch.records);
        let queued: HashSet<RecordId> =
            self.pending.iter().chain(in_flight).map(|record| record.record_id).collect();
        self.queued_since_ms.retain(|id, _| queued.contains(id));
        for id in queued {
            self.queued_since_ms.entry(id).or_insert(now_ms);
        }
        let queue_times_ms = &self.queued_since_ms;
        let should_keep = |record: &Record| {
            let since_ms = queue_times_ms.get(&record.record_id).copied().unwrap_or(now_ms);
            keep(record, now_ms - since_ms)
        };
        self.pending.retain(&should_keep);
        if let Some(batch) = self.in_flight.as_mut().filter(|batch| batch.retry_at_ms.is_some()) {
            batch.records.retain(&should_keep);
            batch.is_done = batch.records.is_empty();
        }
        self.clear_if_done();
    }

    /// Returns the records of the append in flight if it has this id.
    pub fn in_flight(&self, batch_id: u64) -> Option<&[Record]> {
        let batch = self.in_flight.as_ref().filter(|batch| batch.batch_id == batch_id);
        batch.map(|batch| batch.records.as_slice())
    }

    /// Records that the append took effect; the next one may start.
    pub fn mark_appended(&mut self, batch_id: u64) {
        if let Some(batch) = self.in_flight.as_mut().filter(|batch| batch.batch_id == batch_id) {
            batch.is_done = true;
            batch.retry_at_ms = None;
        }
        self.clear_if_done();
    }

    /// Records that the result of the append is unknown.
    ///
    /// Abandoned claims are not sent again: if the first append took effect, reading the log will
    /// show it, and the claim is released then.
    pub fn mark_unknown(&mut self, batch_id: u64, now_ms: u64, keep: impl Fn(&Record) -> bool) {
        if let Some(batch) = self.in_flight.as_mut().filter(|batch| batch.batch_id == batch_id) {
            batch.records.retain(keep);
            batch.retry_at_ms = Some(now_ms + RETRY_MS);
            batch.is_done = batch.records.is_empty();
        }
        self.clear_if_done();
    }

    /// Removes folded records, which completes an append whose answer was lost.
    pub fn mark_folded(&mut self, ids: &HashSet<RecordId>) {
        if let Some(batch) = &mut self.in_flight {
            batch.records.retain(|record| !ids.contains(&record.record_id));
            batch.is_done |= batch.records.is_empty();
        }
        self.clear_if_done();
    }

    fn clear_if_done(&mut self) {
        if self.in_flight.as_ref().is_some_and(|batch| batch.is_done) {
            self.in_flight = None;
        }
    }
}

#[cfg(test)]
mod tests {
    use balsam_types::Author;

    use super::*;

    fn record(id: u128) -> Record {
        Record {
            record_id: RecordId(id),
            author: Author::Operator("eva".try_into().unwrap()),
            at_ms: 0,
            reason: "test".into(),
            expect_offset: None,
            kind: RecordKind::RetireGroup("g".try_into().unwrap()),
        }
    }

    fn sent(effect: Option<Effect>) -> Option<(u64, Vec<u128>)> {
        match effect {
            Some(Effect::Append { batch_id, records }) => {
                Some((batch_id, records.iter().map(|record| record.record_id.0).collect()))
            }
            _ => None,
        }
    }

    /// Guards against more than one append in flight, which would exceed the log's limit.
    #[test]
    fn records_that_arrive_during_an_append_share_the_next_batch() {
        let mut queue = AppendQueue::default();
        queue.push(record(1));
        assert_eq!(sent(queue.next_append(0)), Some((0, vec![1])));
        queue.push(record(2));
        queue.push(record(3));
        assert_eq!(sent(queue.next_append(10)), None);
        queue.mark_appended(0);
        assert_eq!(sent(queue.next_append(20)), Some((1, vec![2, 3])));
    }

    /// Guards against losing a record when the answer to its append is lost.
    #[test]
    fn an_append_with_an_unknown_result_is_repeated_until_its_records_are_folded() {
        let mut queue = AppendQueue::default();
        queue.push(record(1));
        queue.next_append(0);
        queue.mark_unknown(0, 0, |_| true);
        assert_eq!(sent(queue.next_append(RETRY_MS - 1)), None);
        assert_eq!(sent(queue.next_append(RETRY_MS)), Some((0, vec![1])));
        queue.mark_folded(&HashSet::from([RecordId(1)]));
        assert!(queue.is_empty());
    }

    /// Guards against reporting a claim as withdrawn although it may be in the log.
    #[test]
    fn only_a_record_that_was_never_sent_can_be_withdrawn() {
        let mut queue = AppendQueue::default();
        queue.push(record(1));
        queue.next_append(0);
        queue.push(record(2));
        assert!(!queue.withdraw(RecordId(1)));
        assert!(queue.withdraw(RecordId(2)));
    }

    /// Guards against proposals that take effect hours after an outage, and against changing a
    /// batch that waits for its answer.
    #[test]
    fn stale_records_are_dropped_unless_they_wait_for_an_answer() {
        let mut queue = AppendQueue::default();
        queue.push(record(1));
        queue.next_append(0);
        queue.push(record(2));
        let keep = |_: &Record, waited_ms: u64| waited_ms < 100;
        queue.drop_stale(0, keep);
        queue.drop_stale(100, keep);
        assert_eq!(queue.in_flight(0).map(<[Record]>::len), Some(1));
        assert_eq!(queue.len(), 1);
        queue.mark_unknown(0, 100, |_| true);
        queue.drop_stale(101, keep);
        assert!(queue.is_empty());
    }

    /// Guards against a batch of a snapshot and other records that exceeds the message limit.
    #[test]
    fn a_snapshot_is_sent_alone() {
        let mut queue = AppendQueue::default();
        queue.push(record(1));
        let state: std::sync::Arc<[u8]> = [0; 4].into();
        let kind = RecordKind::Snapshot { as_of: balsam_types::Offset::default(), state };
        queue.push(Record { kind, ..record(2) });
        queue.push(record(3));
        for (batch_id, expected) in [(0, 1), (1, 2), (2, 3)] {
            assert_eq!(sent(queue.next_append(0)), Some((batch_id, vec![expected])));
            queue.mark_appended(batch_id);
        }
    }
}
