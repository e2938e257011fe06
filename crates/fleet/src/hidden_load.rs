//! Requests at endpoints that this node does not know of.
//!
//! Handles nodes that know little: one that has just started, or that lost sight of others, takes
//! endpoints for free that others have filled. An endpoint that turns a request away shows it.

use std::collections::HashMap;

use balsam_types::VmName;

/// Time constant with which unknown requests are assumed to end; it is about the duration of an
/// answer.
const MEMORY_MS: f64 = 1_000.0;

/// The requests that each endpoint is assumed to hold beyond those known here.
#[derive(Debug, Clone, Default)]
pub(crate) struct HiddenLoad {
    /// When the endpoint turned a request away, and how many requests were unknown then.
    at_refusal: HashMap<VmName, (u64, u32)>,
}

impl HiddenLoad {
    /// Records that an endpoint that may hold `limit` requests turned one away while `known` were
    /// known here.
    pub fn turned_away(&mut self, now_ms: u64, vm: &VmName, limit: u32, known: u32) {
        self.at_refusal.insert(vm.clone(), (now_ms, limit.saturating_sub(known)));
    }

    /// Returns how many unknown requests an endpoint probably still holds.
    pub fn of(&self, now_ms: u64, vm: &VmName) -> u32 {
        let current = |(at_ms, hidden): &(u64, u32)| {
            let age_ms = now_ms.saturating_sub(*at_ms) as f64;
            (f64::from(*hidden) * (-age_ms / MEMORY_MS).exp()).round() as u32
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
