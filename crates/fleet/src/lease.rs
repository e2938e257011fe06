//! The right to plan, held by one node at a time.
//!
//! The right is a chain of records, each appended on condition that nothing came after the one
//! before. Whoever appended the last one holds the right for a while; another node may take it once
//! it has seen no new record for that long. A right that followed the members of a group passed on
//! with every node that came or went, and each change cost the plans of a second.

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing now.
    Nothing,
    /// Find out where the records end and who appended the last one.
    Read,
    /// Append a record on condition that the records end at this position.
    Append(u64),
}

/// Who appended the last record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Last {
    /// This start of this node.
    Own,
    /// Another one.
    Other,
    /// Nobody, or a holder that gave the right up.
    Released,
}

/// A node's view of the chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    ttl_ms: u64,
    renew_ms: u64,
    /// The position after the last known record; `None` before the first read.
    end: Option<u64>,
    /// When the last record was first seen here.
    seen_ms: u64,
    /// Where this node's term began, and until when its right lasts.
    term: Option<(u64, u64)>,
    next_renewal_ms: u64,
    is_released: bool,
}

/// Time by which a holder stops before another node may take the right.
const MARGIN_MS: u64 = 200;

impl Lease {
    /// Creates the view of a node that knows nothing; a right lasts for `ttl_ms`.
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

    /// Returns the fencing number of this node's term and when its right ends.
    pub fn held(&self, now_ms: u64) -> Option<(u64, u64)> {
        self.term.filter(|(_, until_ms)| now_ms < *until_ms)
    }

    /// Returns the position after the last known record, for other nodes.
    pub fn end(&self) -> u64 {
        self.end.unwrap_or(0)
    }

    /// Notes that another node knows records up to this position.
    pub fn heard(&mut self, now_ms: u64, end: u64, is_released: bool) {
        if self.end.is_some_and(|known| end > known) {
            self.advance(now_ms, end);
            self.is_released = is_released;
        }
    }

    /// Returns what to do now.
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

    /// Notes the end of the records as a read found it.
    pub fn read(&mut self, now_ms: u64, end: u64, last: Last) {
        if last == Last::Own && self.held(now_ms).is_some() {
            // The record of an append that was not answered; the right it gave is not counted on.
            self.end = Some(end);
            self.seen_ms = now_ms;
            self.next_renewal_ms = now_ms;
            return;
        }
        self.advance(now_ms, end);
        // The last record being its own, nobody else may take the right before this node.
        self.is_released = last != Last::Other;
    }

    /// Gives the right up; returns whether this node held it.
    pub fn release(&mut self, now_ms: u64) -> bool {
        let held = self.held(now_ms).is_some();
        self.term = None;
        held
    }

    /// Whether the last known record gives the right up.
    pub fn is_released(&self) -> bool {
        self.is_released
    }

    /// Notes that a record was appended at a position, by a call sent at `sent_ms`.
    pub fn appended(&mut self, now_ms: u64, sent_ms: u64, at: u64) {
        // The position of its first record fences a term: a later term begins at a higher one.
        let generation = self.held(now_ms).map_or(at + 1, |(generation, _)| generation);
        self.term = Some((generation, sent_ms + self.ttl_ms - MARGIN_MS));
        self.end = Some(at + 1);
        self.seen_ms = now_ms;
        self.next_renewal_ms = sent_ms + self.renew_ms;
        self.is_released = false;
    }

    /// Notes that other records came first.
    pub fn refused(&mut self, now_ms: u64, end: u64) {
        self.term = None;
        self.advance(now_ms, end);
    }

    /// Notes that a call was not answered: its record may be there or not.
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
