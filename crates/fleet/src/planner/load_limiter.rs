//! Keeps the loads from the weight store under its rate.

/// Part of the stated rate that is used; the rest covers orders that are carried out late.
const RATE_SHARE: f64 = 0.8;

/// Loads that may start at once after a pause.
const BURST: f64 = 4.0;

/// A bucket of loads that fills at the rate of the weight store.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LoadPace {
    tokens: f64,
    at_ms: u64,
}

impl LoadPace {
    /// Takes as many loads as are asked for, or none.
    pub(super) fn take(&mut self, now_ms: u64, rate_per_s: f64, loads: usize) -> bool {
        let elapsed_s = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        self.at_ms = now_ms;
        self.tokens = (self.tokens + elapsed_s * rate_per_s * RATE_SHARE).min(BURST);
        let wanted = loads as f64;
        // A group larger than the burst starts on a full bucket and leaves a debt.
        if self.tokens < wanted.min(BURST) {
            return false;
        }
        self.tokens -= wanted;
        true
    }
}
