//! The planner lease, held by one node at a time.
//!
//! The lease is a chain of records, each appended on condition that no other record followed the
//! previous one. The node that appended the last record holds the lease for a limited time; another
//! node may take it once it has seen no new record for that long. When planning followed the
//! membership of a group instead, it moved with every node that joined or left, and each change
//! cost a second of planning.

/// The next action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// No action.
    Nothing,
    /// Read where the records end and who appended the last one.
    Read,
    /// Append a record on condition that the records end at this offset.
    Append(u64),
}

/// Who appended the last record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastHolder {
    /// The current run of this node.
    Own,
    /// Another node, or an earlier run of this one.
    Other,
    /// Nobody, or a holder that released the lease.
    Released,
}

/// A node's view of the chain of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    ttl_ms: u64,
    renew_ms: u64,
    /// The offset after the last known record; `None` before the first read.
    end: Option<u64>,
    /// When this node first saw the last record.
    seen_ms: u64,
    /// Generation of this node's term, and when its lease ends.
    term: Option<(u64, u64)>,
    next_renewal_ms: u64,
    is_released: bool,
}

/// Highest offset of a record that is believed. The generation of a term is its offset plus one, and
/// the epochs of its groups contain the generation from bit 16 on.
pub const MAX_OFFSET: u64 = (1 << 45) - 2;

/// How long before the end of the lease its holder stops using it.
const HANDOVER_MARGIN_MS: u64 = 200;

impl Lease {
    /// Creates the initial view of a node; the lease lasts for `ttl_ms`.
    pub fn new(ttl_ms: u64, renew_ms: u64) -> Self {
        Self {
            ttl_ms,
            renew_ms,
            end: None,
            seen_ms: 0,
            term: None,
            next_renewal_ms: 0,
            is_released: false,
        }
    }

    /// Returns the generation of this node's term and when its lease ends.
    pub fn held(&self, now_ms: u64) -> Option<(u64, u64)> {
        self.term.filter(|(_, until_ms)| now_ms < *until_ms)
    }

    /// Returns the offset after the last known record, for other nodes.
    pub fn end(&self) -> u64 {
        self.end.unwrap_or(0)
    }

    /// Records that another node knows records up to this offset.
    pub fn apply_report(&mut self, now_ms: u64, end: u64, is_released: bool) {
        if self.end.is_some_and(|known| end > known) {
            self.advance(now_ms, end);
            self.is_released = is_released;
        }
    }

    /// Returns the next action.
    pub fn step(&self, now_ms: u64) -> Step {
        let Some(end) = self.end else { return Step::Read };
        if self.held(now_ms).is_some() {
            return match now_ms >= self.next_renewal_ms {
                true => Step::Append(end),
                false => Step::Nothing,
            };
        }
        let is_free = self.is_released || now_ms >= self.seen_ms + self.ttl_ms;
        match is_free {
            true => Step::Append(end),
            false => Step::Nothing,
        }
    }

    /// Records the end of the records as found by a read.
    pub fn read(&mut self, now_ms: u64, end: u64, last: LastHolder) {
        if last == LastHolder::Own && self.held(now_ms).is_some() {
            // The record may be of a renewal that was not answered; it does not extend the lease.
            self.end = Some(end);
            self.seen_ms = now_ms;
            self.next_renewal_ms = now_ms;
            return;
        }
        self.advance(now_ms, end);
        // If the last record is this node's own, other nodes must wait for it to expire, so this
        // node may append again at once.
        self.is_released = last != LastHolder::Other;
    }

    /// Releases the lease; returns whether this node held it.
    pub fn release(&mut self, now_ms: u64) -> bool {
        let held = self.held(now_ms).is_some();
        self.term = None;
        held
    }

    /// Whether the last known record releases the lease.
    pub fn is_released(&self) -> bool {
        self.is_released
    }

    /// Records that a record was appended at an offset by a call sent at `sent_ms`.
    pub fn appended(&mut self, now_ms: u64, sent_ms: u64, offset: u64) {
        // The offset of its first record fences a term: a later term begins at a higher one.
        let generation = self.held(now_ms).map_or(offset + 1, |(generation, _)| generation);
        self.term = Some((generation, sent_ms + self.ttl_ms - HANDOVER_MARGIN_MS));
        self.end = Some(offset + 1);
        self.seen_ms = now_ms;
        self.next_renewal_ms = sent_ms + self.renew_ms;
        self.is_released = false;
    }

    /// Records that another record was appended first.
    pub fn refused(&mut self, now_ms: u64, end: u64) {
        self.term = None;
        self.advance(now_ms, end);
    }

    /// Records that a call was not answered: its record may or may not exist.
    pub fn unanswered(&mut self) {
        self.end = None;
    }

    fn advance(&mut self, now_ms: u64, end: u64) {
        if self.held(now_ms).is_some() {
            // A record that this node did not append ends its term.
            self.term = None;
        }
        self.end = Some(end);
        self.seen_ms = now_ms;
        self.is_released = false;
    }
}
