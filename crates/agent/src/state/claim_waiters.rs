//! The requests that wait for the log to confirm their claims, as data.

use std::collections::HashMap;

use balsam_types::ClaimKey;
use balsam_types::RecordId;
use balsam_types::claim::RequestHash;

/// How far a request is with its claim.
#[derive(Debug)]
pub(crate) enum Stage {
    /// The claim record is on its way to the log.
    Claiming { record_id: RecordId, asked_ms: u64 },
    /// Another request with this key runs.
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
    pub(crate) by_record: HashMap<RecordId, u64>,
    /// Claims that were given up after they were sent, with the time of giving up. They are
    /// released once they show up in the log.
    pub(crate) abandoned: HashMap<RecordId, (ClaimKey, u64)>,
}

impl ClaimWaiters {
    /// Removes a request; returns it if it waited.
    pub(crate) fn remove(&mut self, waiter: u64) -> Option<Waiter> {
        let removed = self.waiters.remove(&waiter)?;
        if let Stage::Claiming { record_id, .. } = removed.stage {
            self.by_record.remove(&record_id);
        }
        Some(removed)
    }

    /// Returns whether a request still waits for this claim record.
    pub fn awaits(&self, record_id: &RecordId) -> bool {
        self.by_record.contains_key(record_id)
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
