//! Whether a failed request may have been executed, as reported to the caller.

use std::fmt;

/// The machine-readable outcome in every error response. See `docs/api.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// No endpoint executed the request; the caller may retry it.
    NotRun,
    /// An endpoint may have executed the request; only an idempotent or keyed one may be retried.
    Unknown,
    /// An endpoint executed the request completely.
    Completed,
}

impl Outcome {
    /// Returns the text used in `outcome` members and metrics labels.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Completed => "completed",
        }
    }

    /// Combines the outcomes of two attempts at one request.
    ///
    /// If one attempt may have run, the outcome of the whole request is at least `unknown`.
    pub fn combine(self, later: Self) -> Self {
        self.max(later)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Otherwise a caller could repeat a request that an earlier attempt had executed.
    #[test]
    fn a_refused_retry_does_not_hide_an_attempt_that_may_have_run() {
        assert_eq!(Outcome::Unknown.combine(Outcome::NotRun), Outcome::Unknown);
        assert_eq!(Outcome::NotRun.combine(Outcome::NotRun), Outcome::NotRun);
    }
}
