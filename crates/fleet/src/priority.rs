//! The order in which queued requests are sent.

use std::cmp::Ordering;
use std::fmt;

/// The priority of a request; the lowest number is served first.
///
/// Operators choose the numbers, so every number that they can write keeps its place in the order: as
/// a byte, one priority above 255 kept the whole version that stated it out of force. See
/// `docs/incidents/odd-numbers.md`.
#[derive(Debug, Clone, Copy)]
pub struct Priority(f64);

impl From<f64> for Priority {
    fn from(number: f64) -> Self {
        // Negative zero and zero are one priority.
        Self(number + 0.0)
    }
}

impl From<u8> for Priority {
    fn from(number: u8) -> Self {
        Self(f64::from(number))
    }
}

impl Ord for Priority {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Priority {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Priority {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Priority {}

impl fmt::Display for Priority {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
