//! Positions in the topics of the platform's store.

/// A position in a topic of the store.
///
/// The store may come back from a copy some seconds old. It then begins a new era and gives out
/// offsets again, so an offset means nothing without its era. Any position of a later era is newer;
/// see `docs/incidents/restored-store.md`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition {
    /// The era of the store; zero if it states none.
    pub era: u64,
    /// The offset within the era.
    pub offset: u64,
}

impl StorePosition {
    /// Returns the position a number of records later.
    pub fn after(self, records: u64) -> Self {
        Self { offset: self.offset.saturating_add(records), ..self }
    }
}
