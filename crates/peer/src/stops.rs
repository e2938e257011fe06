//! Stop notices. They are kept until they expire, so that a late copy of a cleared one has no
//! effect.

use std::collections::BTreeMap;

use balsam_types::Offset;

use crate::digest::stable_hash;
use crate::view::StopNotice;

/// The stop notices a node knows.
#[derive(Debug, Default)]
pub(crate) struct Stops {
    by_id: BTreeMap<u128, StopNotice>,
}

impl Stops {
    /// Merges a notice; returns the merged notice if it was new or had changed.
    pub(crate) fn merge(&mut self, notice: StopNotice, max: usize) -> Option<StopNotice> {
        if let Some(known) = self.by_id.get_mut(&notice.id) {
            if notice.cleared_at <= known.cleared_at {
                return None;
            }
            known.cleared_at = notice.cleared_at;
            return Some(known.clone());
        }
        if self.by_id.len() >= max {
            return None;
        }
        self.by_id.insert(notice.id, notice.clone());
        Some(notice)
    }

    /// Clears a notice as of a log offset.
    pub(crate) fn clear(&mut self, id: u128, offset: Offset) -> Option<StopNotice> {
        let known = self.by_id.get(&id)?;
        let cleared = StopNotice { cleared_at: Some(offset), ..known.clone() };
        self.merge(cleared, usize::MAX)
    }

    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.by_id.retain(|_, notice| notice.expires_at_ms > now_ms);
    }

    /// Returns the notices in force at a node that has folded the given offset.
    pub(crate) fn in_force(&self, folded: Offset) -> Vec<StopNotice> {
        let in_force = |notice: &&StopNotice| notice.cleared_at.is_none_or(|at| folded < at);
        self.by_id.values().filter(in_force).cloned().collect()
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &StopNotice> {
        self.by_id.values()
    }

    /// Returns a hash that is equal on nodes with the same notices.
    pub(crate) fn hash(&self) -> u32 {
        let notice_hash = |notice: &StopNotice| {
            let cleared = notice.cleared_at.map_or(0, |at| at.fence().wrapping_add(1));
            stable_hash(&[&notice.id.to_be_bytes(), &cleared.to_be_bytes()]) as u32
        };
        self.by_id.values().map(notice_hash).fold(0, |hash, next| hash ^ next)
    }
}
