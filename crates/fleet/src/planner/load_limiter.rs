//! Limits the rate of loads from the weight store.

/// Fraction of the configured rate that is used; the rest covers orders that are carried out late.
const USED_RATE_SHARE: f64 = 0.8;

/// Maximum number of loads that may start at once after a pause.
const MAX_BURST: f64 = 4.0;

/// Token bucket that fills at the rate of the weight store.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LoadRateLimiter {
    tokens: f64,
    refilled_ms: u64,
}

impl LoadRateLimiter {
    /// Takes tokens for all of the loads, or for none.
    pub(super) fn take(&mut self, now_ms: u64, rate_per_s: f64, loads: usize) -> bool {
        let elapsed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / 1_000.0;
        self.refilled_ms = now_ms;
        self.tokens = (self.tokens + elapsed_s * rate_per_s * USED_RATE_SHARE).min(MAX_BURST);
        let needed = loads as f64;
        // A group larger than the burst starts when the bucket is full and leaves it in debt.
        if self.tokens < needed.min(MAX_BURST) {
            return false;
        }
        self.tokens -= needed;
        true
    }
}
