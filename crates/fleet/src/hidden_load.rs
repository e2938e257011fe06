//! Requests at endpoints that this node does not know of.
//!
//! Handles nodes that know little: one that has just started, or that lost sight of others, takes
//! endpoints for free that others have filled. An endpoint that turns a request away shows it.

use std::collections::HashMap;

use balsam_types::VmName;

/// The requests that each endpoint is assumed to hold beyond those known here.
#[derive(Debug, Clone, Default)]
pub(crate) struct HiddenLoad {
    at_refusal: HashMap<VmName, Unknown>,
}

/// What an endpoint held when it turned a request away.
#[derive(Debug, Clone, Copy)]
struct Unknown {
    at_ms: u64,
    requests: u32,
    /// The average duration of its answers, with which the unknown requests end.
    residence_ms: f64,
}

impl HiddenLoad {
    /// Records that an endpoint that may hold `limit` requests turned one away while `known` were
    /// known here.
    pub fn turned_away(
        &mut self,
        now_ms: u64,
        vm: &VmName,
        limit: u32,
        known: u32,
        residence_ms: f64,
    ) {
        let requests = limit.saturating_sub(known);
        self.at_refusal.insert(vm.clone(), Unknown { at_ms: now_ms, requests, residence_ms });
    }

    /// Returns how many unknown requests an endpoint probably still holds.
    pub fn of(&self, now_ms: u64, vm: &VmName) -> u32 {
        let current = |unknown: &Unknown| {
            let age_ms = now_ms.saturating_sub(unknown.at_ms) as f64;
            let left = (-age_ms / unknown.residence_ms.max(1.0)).exp();
            (f64::from(unknown.requests) * left).round() as u32
        };
        self.at_refusal.get(vm).map_or(0, current)
    }

    /// Forgets everything, as the requests of a node that is heard again are known.
    pub fn clear(&mut self) {
        self.at_refusal.clear();
    }

    /// Forgets endpoints whose unknown requests have ended.
    pub fn expire(&mut self, now_ms: u64) {
        let ended: Vec<VmName> =
            self.at_refusal.keys().filter(|vm| self.of(now_ms, vm) == 0).cloned().collect();
        ended.iter().for_each(|vm| _ = self.at_refusal.remove(vm));
    }
}
