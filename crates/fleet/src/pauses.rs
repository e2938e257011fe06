//! Endpoints that asked this node to send nothing for a while.
//!
//! Protects an overloaded or failing endpoint: requests that it refuses one after another cost it
//! time and cost the callers their retry budget.

use std::collections::BTreeMap;

use balsam_types::VmName;

/// When each endpoint accepts requests of this node again.
#[derive(Debug, Clone, Default)]
pub struct Pauses {
    until_ms: BTreeMap<VmName, u64>,
}

impl Pauses {
    /// Records that an endpoint wants no requests for this long; a shorter pause does not end a
    /// longer one.
    pub fn record(&mut self, now_ms: u64, vm: &VmName, pause_ms: u64) {
        let until_ms = self.until_ms.entry(vm.clone()).or_default();
        *until_ms = (*until_ms).max(now_ms.saturating_add(pause_ms));
    }

    /// Returns the remaining pause of an endpoint; `None` if it has none.
    pub fn left_ms(&self, now_ms: u64, vm: &VmName) -> Option<u64> {
        let until_ms = self.until_ms.get(vm)?;
        until_ms.checked_sub(now_ms).filter(|left_ms| *left_ms > 0)
    }

    /// Removes pauses that are over.
    pub fn expire(&mut self, now_ms: u64) {
        self.until_ms.retain(|_, until_ms| now_ms < *until_ms);
    }
}
