//! Log offsets, record ids and process incarnations.

use std::fmt;

use crate::name::VmName;

/// The position of a record in the platform's log.
///
/// An append carries a batch of records, so an offset consists of the append's offset and the
/// record's index in the batch. Every node folds records in the order of their offsets, and the
/// offset of an accepted record is its fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Offset {
    /// The offset that the log assigned to the append.
    pub append: u64,
    /// The index of the record in the batch of that append.
    pub index: u32,
}

impl Offset {
    /// Number of bits of a fencing number that hold the index in the batch.
    const INDEX_BITS: u32 = 16;

    /// Creates an offset from the append's offset and the index in its batch.
    pub const fn new(append: u64, index: u32) -> Self {
        Self { append, index }
    }

    /// Encodes the offset as one integer with the same order, which endpoints use for fencing.
    ///
    /// Batches are limited to [`MAX_BATCH_RECORDS`], so the index always fits.
    pub const fn fence(self) -> u64 {
        (self.append << Self::INDEX_BITS) | self.index as u64
    }
}

/// Maximum number of records in one append; [`Offset::fence`] depends on it.
pub const MAX_BATCH_RECORDS: usize = 1 << Offset::INDEX_BITS;

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.append, self.index)
    }
}

/// Identifies a record across repeated appends, so that duplicates are ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordId(pub u128);

/// One run of an entry node's process.
///
/// A restarted process on the same VM is a new incarnation and must not continue the claims of the
/// previous one. See `docs/design.md`, section 9.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// The VM the process runs on.
    pub vm: VmName,
    /// The wall-clock time of the process start, which orders the incarnations of one VM.
    pub start_ms: u64,
    /// A random number that distinguishes processes started in the same millisecond.
    pub nonce: u32,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}-{:08x}", self.vm, self.start_ms, self.nonce)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// An index that overflowed its bits would order a record after those of the next append.
    #[test]
    fn fence_preserves_the_order_of_offsets_across_batches() {
        let last_of_batch = Offset::new(7, MAX_BATCH_RECORDS as u32 - 1);
        let next_append = Offset::new(8, 0);
        assert!(last_of_batch < next_append);
        assert!(last_of_batch.fence() < next_append.fence());
    }
}
