//! The planner lease, held by one node at a time.
//!
//! The lease is a chain of records, each appended on condition that no other record followed the
//! previous one. The node that appended the last record holds the lease for a limited time; another
//! node may take it once it has seen no new record for that long. When planning followed the
//! membership of a group instead, it moved with every node that joined or left, and each change
//! cost a second of planning.
//!
//! The store that keeps the records may come back from a copy and begin a new era without the last
//! ones, or without any. A holder then keeps its lease until its end and must renew it in the new
//! era; nobody else takes it before that end, nor does a node that starts meanwhile. See
//! `docs/incidents/restored-store.md`.

use crate::position::StorePosition;

/// The next action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// No action.
    Nothing,
    /// Read where the records end and who appended the last one.
    Read,
    /// Append a record on condition that the records end at this position.
    Append(StorePosition),
}

/// Who appended the last record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastHolder {
    /// The current run of this node.
    Own,
    /// Another node, or an earlier run of this one.
    Other,
    /// A holder that released the lease.
    Released,
    /// A node that did so in an earlier era of the store, as in a copy. The records that followed
    /// may be missing.
    EarlierEra,
    /// Nobody: there is no record, or the store lost all of them.
    Nobody,
}

/// A node's view of the chain of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    ttl_ms: u64,
    renew_ms: u64,
    /// The latest known era of the store; `None` before the first read.
    era: Option<u64>,
    /// A lease from before the era may last until this time.
    free_from_ms: u64,
    /// The offset after the last record of the era; `None` if it must be read.
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

/// Number of bits of a generation that hold the offset; at one record in 0.6 s they last for 460
/// days.
const OFFSET_BITS: u32 = 26;

/// Largest era that generations distinguish. Together with the bits that count the groups of one
/// generation, epochs stay below 2^53, which every JSON number holds exactly.
const MAX_GENERATION_ERA: u64 = (1 << 11) - 1;

/// Returns the generation of a term that begins with the record at this position. It fences the
/// orders of earlier terms, so it is higher in a later era although the offset may be lower.
fn generation(first: StorePosition) -> u64 {
    (first.era.min(MAX_GENERATION_ERA) << OFFSET_BITS)
        .saturating_add(first.offset)
        .saturating_add(1)
}

impl Lease {
    /// Creates the initial view of a node; the lease lasts for `ttl_ms`.
    pub fn new(ttl_ms: u64, renew_ms: u64) -> Self {
        Self {
            ttl_ms,
            renew_ms,
            era: None,
            free_from_ms: 0,
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

    /// Returns the position after the last known record, for other nodes.
    pub fn end(&self) -> StorePosition {
        StorePosition { era: self.era.unwrap_or(0), offset: self.end.unwrap_or(0) }
    }

    /// Records that another node knows records up to this position.
    pub fn apply_report(&mut self, now_ms: u64, end: StorePosition, is_released: bool) {
        // A node that has not read yet must not take the lease without reading.
        if self.era.is_none() || self.enter_era(now_ms, end.era) {
            return;
        }
        if self.era == Some(end.era) && self.end.is_some_and(|known| end.offset > known) {
            self.advance(now_ms, end.offset);
            self.is_released = is_released;
        }
    }

    /// Returns the next action.
    pub fn step(&self, now_ms: u64) -> Step {
        let (Some(era), Some(offset)) = (self.era, self.end) else { return Step::Read };
        let append = Step::Append(StorePosition { era, offset });
        if self.held(now_ms).is_some() {
            return match now_ms >= self.next_renewal_ms {
                true => append,
                false => Step::Nothing,
            };
        }
        let is_expired = self.is_released || now_ms >= self.seen_ms + self.ttl_ms;
        match is_expired && now_ms >= self.free_from_ms {
            true => append,
            false => Step::Nothing,
        }
    }

    /// Records the end of the records as found by a read.
    pub fn read(&mut self, now_ms: u64, end: StorePosition, last: LastHolder) {
        let is_first = self.era.is_none();
        self.enter_era(now_ms, end.era);
        if self.era != Some(end.era) {
            return;
        }
        if is_first && end.is_restored() && last == LastHolder::Nobody {
            // The store may have lost all records of a lease that its holder still uses.
            self.free_from_ms = now_ms + self.ttl_ms;
        }
        let may_continue = match last {
            // The record may be of a renewal that was not answered; it does not extend the lease.
            LastHolder::Own => true,
            // No node has taken the lease in this era.
            LastHolder::EarlierEra | LastHolder::Nobody => true,
            LastHolder::Other | LastHolder::Released => false,
        };
        if may_continue && self.held(now_ms).is_some() {
            self.end = Some(end.offset);
            self.seen_ms = now_ms;
            self.next_renewal_ms = now_ms;
            return;
        }
        self.advance(now_ms, end.offset);
        // If the last record is this node's own, other nodes must wait for it to expire, so this
        // node may append again at once.
        self.is_released = !matches!(last, LastHolder::Other | LastHolder::EarlierEra);
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

    /// Records that a record was appended at a position by a call sent at `sent_ms` and answered in
    /// this era.
    pub fn appended(&mut self, now_ms: u64, sent_ms: u64, at: StorePosition, era: u64) {
        if self.enter_era(now_ms, era) || self.era != Some(at.era) {
            // The condition was about a record of another era, so the record gives no lease.
            self.end = None;
            return;
        }
        let generation =
            self.held(now_ms).map_or_else(|| generation(at), |(generation, _)| generation);
        self.term = Some((generation, sent_ms + self.ttl_ms - HANDOVER_MARGIN_MS));
        self.end = Some(at.offset + 1);
        self.seen_ms = now_ms;
        self.next_renewal_ms = sent_ms + self.renew_ms;
        self.is_released = false;
    }

    /// Records that another record was appended first.
    pub fn refused(&mut self, now_ms: u64, end: StorePosition) {
        if self.enter_era(now_ms, end.era) || self.era != Some(end.era) {
            // The end has moved back; no record was appended for that.
            return;
        }
        self.term = None;
        self.advance(now_ms, end.offset);
    }

    /// Records that a call was not answered: its record may or may not exist.
    pub fn unanswered(&mut self) {
        self.end = None;
    }

    /// Enters an era if it is later than the known one; returns whether the store came back from a
    /// copy.
    fn enter_era(&mut self, now_ms: u64, era: u64) -> bool {
        let is_restored = self.era.is_some_and(|known| era > known);
        if is_restored {
            self.end = None;
            self.is_released = false;
            self.free_from_ms = now_ms + self.ttl_ms;
        }
        self.era = self.era.max(Some(era));
        is_restored
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
