//! Recent batches of the log, kept for peers that cannot read it themselves.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use balsam_platform::LogEntry;

/// Maximum number of bytes kept; a peer that needs older records gets a snapshot of the state.
const MAX_BYTES: usize = 4 * 1024 * 1024;

/// Recent batches in offset order without gaps.
#[derive(Debug, Default)]
pub(crate) struct RecentBatches {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    entries: VecDeque<LogEntry>,
    bytes: usize,
}

impl RecentBatches {
    /// Adds batches. Known batches are skipped; a gap discards all batches before it.
    pub(crate) fn add(&self, entries: &[LogEntry]) {
        let mut inner = self.lock();
        for entry in entries {
            let expected = inner.entries.back().map(|last| last.append + 1);
            match expected {
                Some(expected) if entry.append < expected => continue,
                Some(expected) if entry.append > expected => {
                    inner.entries.clear();
                    inner.bytes = 0;
                }
                _ => {}
            }
            inner.bytes += entry.batch.len();
            inner.entries.push_back(entry.clone());
        }
        while inner.bytes > MAX_BYTES
            && let Some(oldest) = inner.entries.pop_front()
        {
            inner.bytes -= oldest.batch.len();
        }
    }

    /// Returns batches starting at an append, or `None` if that append is no longer kept.
    pub(crate) fn from(&self, append: u64, max_entries: usize) -> Option<Vec<LogEntry>> {
        let inner = self.lock();
        let first = inner.entries.front()?.append;
        let skip = usize::try_from(append.checked_sub(first)?).ok()?;
        Some(inner.entries.iter().skip(skip).take(max_entries).cloned().collect())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(append: u64) -> LogEntry {
        LogEntry { append, appended_at_ms: 0, batch: vec![0; 1024 * 1024] }
    }

    /// Guards against a peer that folds records after a gap, because a read starts at a batch that
    /// was discarded for size or because of a gap.
    #[test]
    fn reads_from_a_discarded_batch_return_none() {
        let recent = RecentBatches::default();
        recent.add(&(10..16).map(entry).collect::<Vec<_>>());
        assert!(recent.from(10, 10).is_none());
        assert_eq!(recent.from(13, 10).unwrap()[0].append, 13);
        recent.add(&[entry(20)]);
        assert!(recent.from(16, 10).is_none());
    }
}
