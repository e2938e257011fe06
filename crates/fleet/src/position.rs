//! Positions in the topics of the platform's store.

/// The era of a store that never came back from a copy.
const FIRST_ERA: u64 = 1;

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
    /// Whether the store came back from a copy before this position's era, so that records which it
    /// had confirmed may be missing.
    pub fn is_restored(self) -> bool {
        self.era > FIRST_ERA
    }

    /// Returns the position a number of records later.
    pub fn after(self, records: u64) -> Self {
        Self { offset: self.offset.saturating_add(records), ..self }
    }
}
