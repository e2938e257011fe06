//! Work granted to each organisation.

use std::collections::HashMap;

use balsam_types::OrganisationName;

/// Time constant of the memory of granted work: long compared with a burst's retries, and short
/// enough that room which nobody else wanted is soon not held against an organisation.
const MEMORY_MS: f64 = 2_000.0;

/// Granted work below which an organisation is forgotten, so that the table stays small.
const NEGLIGIBLE_MS: f64 = 1.0;

/// A sum whose parts lose their weight over time.
#[derive(Debug, Clone, Copy, Default)]
struct DecayedSum {
    at_ms: u64,
    sum: f64,
}

impl DecayedSum {
    /// Returns the sum with the given time constant.
    pub fn get(&self, now_ms: u64, memory_ms: f64) -> f64 {
        self.sum * (-(now_ms.saturating_sub(self.at_ms) as f64) / memory_ms).exp()
    }

    /// Adds to the sum.
    pub fn add(&mut self, now_ms: u64, memory_ms: f64, added: f64) {
        self.sum = self.get(now_ms, memory_ms) + added;
        self.at_ms = now_ms;
    }
}

/// The work that each organisation received recently; callers without one count as one.
#[derive(Debug, Clone, Default)]
pub(super) struct Shares {
    granted: HashMap<Option<OrganisationName>, DecayedSum>,
}

impl Shares {
    /// Records that a request of an organisation was dispatched.
    pub fn grant(&mut self, now_ms: u64, organisation: &Option<OrganisationName>, work_ms: f64) {
        let granted = self.granted.entry(organisation.clone()).or_default();
        granted.add(now_ms, MEMORY_MS, work_ms);
    }

    /// Returns the work that an organisation received recently.
    pub fn granted_ms(&self, now_ms: u64, organisation: &Option<OrganisationName>) -> f64 {
        self.granted.get(organisation).map_or(0.0, |granted| granted.get(now_ms, MEMORY_MS))
    }

    /// Returns the part of the work that the organisation with the most received.
    pub fn largest(&self, now_ms: u64) -> f64 {
        let granted = self.granted.values().map(|granted| granted.get(now_ms, MEMORY_MS));
        let (sum, most) =
            granted.fold((0.0, 0.0), |(sum, most): (f64, f64), ms| (sum + ms, most.max(ms)));
        most / sum.max(NEGLIGIBLE_MS)
    }

    /// Forgets organisations that received nothing recently.
    pub fn expire(&mut self, now_ms: u64) {
        self.granted.retain(|_, granted| granted.get(now_ms, MEMORY_MS) > NEGLIGIBLE_MS);
    }
}
