//! How long the endpoints usually take.

/// Weight of the newest time in the average.
const MEAN_WEIGHT: f64 = 0.05;

/// Weight of the newest time in the deviation, which must show soon that times differ more.
const DEVIATION_WEIGHT: f64 = 0.1;

/// Deviations from the mean up to which a time is usual, as for the retransmission of TCP (RFC 6298).
const USUAL_DEVIATIONS: f64 = 4.0;

/// Time for which a node itself may stand still, when its share of a core is a quota for each tenth of a
/// second. An answer that is late by less may have been read late.
const OWN_DELAY_MS: f64 = 100.0;

/// Mean and mean deviation of a time, over what endpoints took lately.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UsualTime {
    known: Option<Known>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Known {
    mean_ms: f64,
    deviation_ms: f64,
}

impl UsualTime {
    /// Adds a time. The first one says nothing of how much times differ, so half of it is assumed.
    pub fn record(&mut self, time_ms: u64) {
        let time_ms = time_ms as f64;
        let first = Known { mean_ms: time_ms, deviation_ms: time_ms / 2.0 };
        let known = self.known.get_or_insert(first);
        let difference_ms = time_ms - known.mean_ms;
        known.mean_ms += MEAN_WEIGHT * difference_ms;
        known.deviation_ms += DEVIATION_WEIGHT * (difference_ms.abs() - known.deviation_ms);
    }

    /// Returns the mean, once a time is known.
    pub fn mean_ms(&self) -> Option<f64> {
        self.known.map(|known| known.mean_ms)
    }

    /// Returns the time that is rarely exceeded, once one is known.
    pub fn longest_ms(&self) -> Option<u64> {
        let longest_ms = |known: Known| {
            known.mean_ms + (USUAL_DEVIATIONS * known.deviation_ms).max(OWN_DELAY_MS)
        };
        self.known.map(|known| longest_ms(known) as u64)
    }
}
