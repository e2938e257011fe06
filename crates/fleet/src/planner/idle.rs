//! How long endpoints were free while callers were refused that they could have served.

use std::collections::BTreeMap;

use balsam_types::ModelName;

/// Maximum time between two rounds of planning that counts; the planner pauses for longer only if
/// it may give no orders.
const MAX_ROUND_MS: u64 = 500;

/// Sum of idle time by model since it was last taken.
#[derive(Debug, Clone, Default)]
pub(super) struct IdleTime {
    recorded_ms: u64,
    endpoints: BTreeMap<ModelName, u32>,
    endpoint_ms: BTreeMap<ModelName, u64>,
}

impl IdleTime {
    /// Records how many endpoints are idle by model from now on.
    pub(super) fn record(&mut self, now_ms: u64, endpoints: BTreeMap<ModelName, u32>) {
        let round_ms = now_ms.saturating_sub(self.recorded_ms).min(MAX_ROUND_MS);
        for (model, count) in std::mem::replace(&mut self.endpoints, endpoints) {
            *self.endpoint_ms.entry(model).or_default() += u64::from(count) * round_ms;
        }
        self.recorded_ms = now_ms;
    }

    /// Returns the time of a model in endpoint-milliseconds and resets it.
    pub(super) fn take_ms(&mut self, model: &ModelName) -> u64 {
        self.endpoint_ms.remove(model).unwrap_or(0)
    }
}
