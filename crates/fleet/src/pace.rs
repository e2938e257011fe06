//! Measures which endpoints are slower than their configured pace.
//!
//! Handles endpoints that turn slow while they answer everything; see `docs/design/request-cost.md`.

use std::collections::HashMap;

use balsam_types::VmName;

use crate::configuration::Engine;
use crate::load::PaceSample;
use crate::placement;

/// Weight of the newest measurement.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Time constant in which a measurement loses its weight. An endpoint that gets no requests because it
/// was slow is tried again.
const FORGET_MS: f64 = 10_000.0;

/// Difference between endpoints that is not counted: their passes vary with the prompts they read.
const TOLERANCE: f64 = 1.2;

/// Highest factor that is counted, so that no measurement excludes an endpoint.
const MAX_SLOWNESS: f64 = 4.0;

/// Measured paces of the endpoints, as factors of what is predicted for them.
#[derive(Debug, Clone, Default)]
pub struct Paces {
    /// The time of the last measurement and the logarithm of the factor.
    measured: HashMap<VmName, (u64, f64)>,
    /// The median of all endpoints: a configuration that is off for all of them slows none.
    median: f64,
}

impl Paces {
    /// Applies measurements; `pace` returns the configured pace of an endpoint.
    pub fn record(
        &mut self,
        now_ms: u64,
        engine: &Engine,
        samples: Vec<PaceSample>,
        pace: impl Fn(&VmName) -> f64,
    ) {
        if samples.is_empty() {
            return;
        }
        for PaceSample { vm, gap_ms, in_flight } in samples {
            let predicted_ms = placement::pass_ms(engine, pace(&vm), in_flight, 0);
            let factor = (gap_ms / predicted_ms.max(f64::MIN_POSITIVE)).ln();
            let factor = if factor.is_finite() { factor.clamp(-2.0, 2.0) } else { 0.0 };
            let (at_ms, average) = self.measured.entry(vm).or_insert((now_ms, factor));
            *average += SAMPLE_WEIGHT * (factor - *average);
            *at_ms = now_ms;
        }
        let mut factors: Vec<f64> = self.measured.values().map(|(_, factor)| *factor).collect();
        factors.sort_by(f64::total_cmp);
        self.median = factors[(factors.len() - 1) / 2];
    }

    /// Returns how much slower an endpoint is than the others, compared with its configured pace; 1 if
    /// nothing is known.
    pub fn slowness(&self, now_ms: u64, vm: &VmName) -> f64 {
        let Some((at_ms, factor)) = self.measured.get(vm) else { return 1.0 };
        let excess = factor - self.median - TOLERANCE.ln();
        if excess <= 0.0 {
            return 1.0;
        }
        let age_ms = now_ms.saturating_sub(*at_ms) as f64;
        (excess * (-age_ms / FORGET_MS).exp()).exp().min(MAX_SLOWNESS)
    }

    /// Removes an endpoint.
    pub fn forget(&mut self, vm: &VmName) {
        self.measured.remove(vm);
    }
}
