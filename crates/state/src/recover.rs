//! Recovery of the state from the log, and the schedule of snapshots.

use balsam_types::Offset;
use balsam_types::Record;
use balsam_types::RecordKind;
use snafu::Snafu;
use snafu::ensure;

use crate::limits::Limits;
use crate::replicated::Replicated;
use crate::snapshot::SnapshotError;

/// One append, as read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// The append's position in the log.
    pub append: u64,
    /// When it was appended.
    pub appended_at_ms: u64,
    /// The records of its batch.
    pub records: Vec<Record>,
}

impl LogEntry {
    /// Returns the records, each with its offset.
    pub fn records_with_offsets(&self) -> impl DoubleEndedIterator<Item = (Offset, &Record)> {
        let records = self.records.iter().enumerate();
        records.map(|(index, record)| (Offset::new(self.append, index as u32), record))
    }
}

/// The state cannot be recovered from the retained part of the log.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RecoverError {
    /// Appends are missing between two others.
    #[snafu(display("appends between {after} and {found} are missing"))]
    Gap {
        /// The append before the gap.
        after: u64,
        /// The append after the gap.
        found: u64,
    },
    /// The beginning of the log is no longer retained, and there is no snapshot.
    #[snafu(display("the log starts at append {first} and contains no snapshot"))]
    NoSnapshot {
        /// The oldest append read.
        first: u64,
    },
    /// Records between the state of the newest snapshot and the first append read are missing.
    #[snafu(display("the newest snapshot is as of {as_of}, but the log starts at append {first}"))]
    SnapshotTooOld {
        /// The last offset folded into the snapshot.
        as_of: Offset,
        /// The oldest append read.
        first: u64,
    },
    /// The newest snapshot is unusable, and the beginning of the log is no longer retained.
    #[snafu(display("the snapshot at {offset} cannot be used: {source}"))]
    BadSnapshot {
        /// The offset of the snapshot's record.
        offset: Offset,
        /// Why it is unusable.
        source: SnapshotError,
    },
}

/// Recovers the state from all retained log entries, given oldest first.
///
/// Starts from the newest usable snapshot and folds every record after the snapshot's `as_of`. That
/// offset is before the snapshot's own record, as other nodes append while one encodes its state.
/// A snapshot is usable only if the append of its `as_of` is still retained: nothing else proves
/// that no record in between is lost. Without a snapshot, the entries must start at append 0 or 1,
/// the first offset of a log.
pub fn recover(entries: &[LogEntry], limits: Limits) -> Result<Replicated, RecoverError> {
    for pair in entries.windows(2) {
        let (after, found) = (pair[0].append, pair[1].append);
        ensure!(after.checked_add(1) == Some(found), GapSnafu { after, found });
    }
    let mut state = initial_state(entries, limits)?;
    for entry in entries {
        for (offset, record) in entry.records_with_offsets() {
            // The fold ignores offsets up to the snapshot's `as_of`.
            state.apply(offset, entry.appended_at_ms, record);
        }
    }
    Ok(state)
}

fn initial_state(entries: &[LogEntry], limits: Limits) -> Result<Replicated, RecoverError> {
    let Some(first) = entries.first().map(|entry| entry.append) else {
        return Ok(Replicated::new(limits));
    };
    let mut newest_error = None;
    let records = entries.iter().rev().flat_map(|entry| entry.records_with_offsets().rev());
    for (offset, record) in records {
        let RecordKind::Snapshot { as_of, state } = &record.kind else { continue };
        let result = if as_of.append < first {
            SnapshotTooOldSnafu { as_of: *as_of, first }.fail()
        } else if *as_of >= offset {
            let source = SnapshotError::WrongOffset { expected: *as_of, found: Some(offset) };
            Err(RecoverError::BadSnapshot { offset, source })
        } else {
            Replicated::from_snapshot(*as_of, state, limits.clone())
                .map_err(|source| RecoverError::BadSnapshot { offset, source })
        };
        match result {
            Ok(state) => return Ok(state),
            Err(error) => newest_error = newest_error.or(Some(error)),
        }
    }
    if first <= 1 {
        return Ok(Replicated::new(limits));
    }
    Err(newest_error.unwrap_or(RecoverError::NoSnapshot { first }))
}

/// What was appended since the newest snapshot in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SnapshotProgress {
    /// Records folded since the snapshot.
    pub records: u64,
    /// Bytes appended since the snapshot.
    pub bytes: u64,
    /// Time since the snapshot, according to the append times in the log.
    pub age_ms: u64,
}

/// Thresholds at which a snapshot is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotPolicy {
    /// Records after which replay by a starting node would take too long.
    pub max_records: u64,
    /// Bytes after which replay by a starting node would take too long.
    pub max_bytes: u64,
    /// How long the log retains an append.
    pub retention_ms: u64,
}

/// A snapshot is due after the retention time divided by this, to leave time for failed attempts.
const RETENTION_DIVISOR: u64 = 4;

/// Returns whether a node should append a snapshot.
pub fn snapshot_due(progress: &SnapshotProgress, policy: &SnapshotPolicy) -> bool {
    let SnapshotProgress { records, bytes, age_ms } = *progress;
    records > 0
        && (records >= policy.max_records
            || bytes >= policy.max_bytes
            || age_ms >= policy.retention_ms / RETENTION_DIVISOR)
}
