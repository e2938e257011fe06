//! Requests that wait for the log to confirm their claims.

use std::collections::HashMap;

use balsam_types::ClaimKey;
use balsam_types::RecordId;
use balsam_types::claim::RequestHash;

/// The state of a waiting request.
#[derive(Debug)]
pub(crate) enum Stage {
    /// The claim record has been queued for the log.
    Claiming { record_id: RecordId, requested_ms: u64 },
    /// Another request with the same key is running.
    Following,
}

/// One waiting request.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub key: ClaimKey,
    pub request_hash: RequestHash,
    pub deadline_ms: u64,
    pub stage: Stage,
}

/// Requests that wait for their claims.
#[derive(Debug, Default)]
pub struct ClaimWaiters {
    pub(crate) waiters: HashMap<u64, Waiter>,
    pub(crate) waiter_by_record: HashMap<RecordId, u64>,
    /// Claims that were abandoned after they were sent, with the time they were abandoned. They
    /// are released once they appear in the log.
    pub(crate) abandoned: HashMap<RecordId, (ClaimKey, u64)>,
}

impl ClaimWaiters {
    /// Removes and returns a waiting request.
    pub(crate) fn remove(&mut self, waiter: u64) -> Option<Waiter> {
        let removed = self.waiters.remove(&waiter)?;
        if let Stage::Claiming { record_id, .. } = removed.stage {
            self.waiter_by_record.remove(&record_id);
        }
        Some(removed)
    }

    /// Returns whether a request is still waiting for this claim record.
    pub fn awaits(&self, record_id: &RecordId) -> bool {
        self.waiter_by_record.contains_key(record_id)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
