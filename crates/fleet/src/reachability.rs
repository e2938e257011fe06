//! Reachability of data centres from this node.
//!
//! Handles a network cut between data centres: every endpoint behind it fails individually, and a
//! node that tries them one after another spends its callers' time on dozens of failed connections.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use balsam_types::DataCentreName;
use balsam_types::VmName;

/// Number of consecutive endpoints that could not be reached, without an answer from their data
/// centre in between, after which the data centre is considered cut off: two endpoints that crash
/// together are seldom the next two to be tried.
const UNREACHABLE_LIMIT: usize = 3;

/// Pause before a data centre that is cut off is tried again.
const CUT_PAUSE_MS: u64 = 1_000;

/// Failures to reach a data centre since its last answer.
#[derive(Debug, Clone, Default)]
struct Failures {
    endpoints: BTreeSet<VmName>,
    cut_until_ms: u64,
}

/// Failures to reach other data centres.
#[derive(Debug, Clone, Default)]
pub struct Reachability {
    failures: BTreeMap<DataCentreName, Failures>,
}

impl Reachability {
    /// Records an endpoint that could not be reached; returns whether its data centre is newly
    /// considered cut off.
    pub fn failed(&mut self, now_ms: u64, data_centre: &DataCentreName, vm: &VmName) -> bool {
        let failures = self.failures.entry(data_centre.clone()).or_default();
        failures.endpoints.insert(vm.clone());
        let is_new =
            failures.endpoints.len() >= UNREACHABLE_LIMIT && now_ms >= failures.cut_until_ms;
        if is_new {
            failures.cut_until_ms = now_ms + CUT_PAUSE_MS;
        }
        is_new
    }

    /// Records an answer from a data centre.
    pub fn answered(&mut self, data_centre: &DataCentreName) {
        self.failures.remove(data_centre);
    }

    /// Returns whether a data centre is currently considered cut off.
    pub fn is_cut(&self, now_ms: u64, data_centre: &DataCentreName) -> bool {
        self.failures.get(data_centre).is_some_and(|failures| now_ms < failures.cut_until_ms)
    }
}
