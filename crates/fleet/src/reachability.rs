//! Which data centres this node can reach.
//!
//! Answers a cut between data centres: each endpoint beyond it fails on its own, and a node that
//! tries them one after another spends its callers' time on dozens of failed connections.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use balsam_types::DataCentreName;
use balsam_types::VmName;

/// Endpoints that could not be reached in a row, with no answer from their data centre between
/// them, after which it counts as cut off: two that crash together are seldom the next two tried.
const UNREACHABLE: usize = 3;

/// A data centre that is cut off is tried again after this pause.
const PAUSE_MS: u64 = 1_000;

/// Failures to reach one data centre since its last answer.
#[derive(Debug, Clone, Default)]
struct Failures {
    endpoints: BTreeSet<VmName>,
    cut_until_ms: u64,
}

/// The failures to reach other data centres.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    failures: BTreeMap<DataCentreName, Failures>,
}

impl Reach {
    /// Counts an endpoint that could not be reached; returns whether its data centre has just been
    /// found to be cut off.
    pub fn failed(&mut self, now_ms: u64, data_centre: &DataCentreName, vm: &VmName) -> bool {
        let failures = self.failures.entry(data_centre.clone()).or_default();
        failures.endpoints.insert(vm.clone());
        let is_new = failures.endpoints.len() >= UNREACHABLE && now_ms >= failures.cut_until_ms;
        if is_new {
            failures.cut_until_ms = now_ms + PAUSE_MS;
        }
        is_new
    }

    /// Counts an answer from a data centre.
    pub fn answered(&mut self, data_centre: &DataCentreName) {
        self.failures.remove(data_centre);
    }

    /// Returns whether a data centre is not to be used now.
    pub fn is_cut(&self, now_ms: u64, data_centre: &DataCentreName) -> bool {
        self.failures.get(data_centre).is_some_and(|failures| now_ms < failures.cut_until_ms)
    }
}
