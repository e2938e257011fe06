//! The audit trail: the latest configuration, group and plan records with their verdicts.

use std::collections::VecDeque;
use std::sync::Arc;

use balsam_types::Author;
use balsam_types::Offset;
use balsam_types::record::ObjectRef;

use crate::limits::Limits;

/// One entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryEntry {
    /// The offset of the record.
    pub offset: Offset,
    /// When the record was appended to the log.
    pub appended_at_ms: u64,
    /// Who wrote the record.
    pub author: Author,
    /// The record kind, see [`balsam_types::RecordKind::label`].
    pub label: Arc<str>,
    /// The objects that the record concerns, including those that a plan step changes.
    pub objects: Vec<ObjectRef>,
    /// What the record does.
    pub summary: Arc<str>,
    /// The reason that the author gave.
    pub reason: Arc<str>,
    /// Why it was rejected, or `None` if it was accepted.
    pub rejection: Option<Arc<str>>,
}

/// A bounded queue of the newest entries.
///
/// Claims are left out: at hundreds a second, they would evict operators' changes within seconds.
#[derive(Debug, Clone, Default)]
pub(crate) struct History {
    entries: VecDeque<Arc<HistoryEntry>>,
    bytes: usize,
}

/// Estimated bytes of an entry besides its texts and objects, and of an object besides its name.
const ENTRY_OVERHEAD_BYTES: usize = 128;
const OBJECT_OVERHEAD_BYTES: usize = 16;

fn entry_bytes(entry: &HistoryEntry) -> usize {
    let rejection = entry.rejection.as_ref().map_or(0, |text| text.len());
    let texts = entry.label.len() + entry.summary.len() + entry.reason.len() + rejection;
    let objects =
        entry.objects.iter().map(|object| object.to_string().len() + OBJECT_OVERHEAD_BYTES);
    ENTRY_OVERHEAD_BYTES + texts + objects.sum::<usize>()
}

impl History {
    pub(crate) fn push(&mut self, entry: HistoryEntry, limits: &Limits) {
        self.bytes += entry_bytes(&entry);
        self.entries.push_back(Arc::new(entry));
        while self.entries.len() > limits.history_entries || self.bytes > limits.max_history_bytes {
            let Some(oldest) = self.entries.pop_front() else { return };
            self.bytes -= entry_bytes(&oldest);
        }
    }

    pub(crate) fn iter(&self) -> impl DoubleEndedIterator<Item = &Arc<HistoryEntry>> {
        self.entries.iter()
    }
}
