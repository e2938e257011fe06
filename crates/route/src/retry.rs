//! Retries and hedging within a budget, and the propagation of deadlines.
//!
//! A retry must never repeat what may have run; see `docs/design.md`, sections 2 and 8.

use balsam_types::Outcome;

/// Length in seconds of the sliding window of the retry budget.
const WINDOW_S: usize = 10;
/// Maximum attempts per request, including the first; more rarely help and multiply the load.
pub const MAX_ATTEMPTS: u32 = 3;
/// Minimum time left for another attempt; one way between data centres takes 5 ms.
pub const MIN_ATTEMPT_MS: u64 = 20;
/// Durations kept for the hedging delay; the p95 of 128 rests on their six largest values.
const DURATIONS: usize = 128;
/// Minimum number of durations for a meaningful p95.
const MIN_DURATIONS: usize = 20;
const SECOND_MS: u64 = 1_000;

/// The point in time after which an answer is no longer useful.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline {
    /// The deadline in ms of the node's monotonic clock.
    pub at_ms: u64,
}

impl Deadline {
    /// Computes the deadline from the caller's relative deadline, or from the route's default.
    pub fn after(now_ms: u64, relative_ms: Option<u64>, default_ms: u64) -> Self {
        Self { at_ms: now_ms.saturating_add(relative_ms.unwrap_or(default_ms)) }
    }

    /// Returns the time left, which is passed to the next hop as its relative deadline.
    pub fn left_ms(self, now_ms: u64) -> u64 {
        self.at_ms.saturating_sub(now_ms)
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct SecondCounts {
    second: u64,
    successes: u32,
    retries: u32,
}

/// Limits the retries to a pool to a share of its recent successes plus a small constant.
///
/// A pool that fails as a whole yields no successes, so the retries to it end.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    constant: f64,
    seconds: [SecondCounts; WINDOW_S],
}

impl RetryBudget {
    /// Creates a budget of `share` retries per success and `constant` retries per ten seconds.
    pub fn new(share: f64, constant: u32) -> Self {
        Self { share, constant: f64::from(constant), seconds: [SecondCounts::default(); WINDOW_S] }
    }

    /// Changes the constant, for example when the number of nodes that share it changes.
    pub fn set_constant(&mut self, constant: f64) {
        self.constant = constant;
    }

    /// Counts a completed request.
    pub fn record_success(&mut self, now_ms: u64) {
        self.current_second(now_ms).successes += 1;
    }

    /// Counts a retry or hedge that is sent.
    pub fn spend(&mut self, now_ms: u64) {
        self.current_second(now_ms).retries += 1;
    }

    /// Returns whether the budget allows one more retry.
    pub fn has_room(&self, now_ms: u64) -> bool {
        self.has_room_beside(now_ms, 0)
    }

    /// Returns whether the budget allows one more retry beside some that were not sent yet.
    pub fn has_room_beside(&self, now_ms: u64, unsent: usize) -> bool {
        let now_s = now_ms / SECOND_MS;
        let recent = self.seconds.iter().filter(|s| s.second + WINDOW_S as u64 > now_s);
        let (successes, retries) = recent.fold((0.0, 0.0), |(successes, retries), second| {
            (successes + f64::from(second.successes), retries + f64::from(second.retries))
        });
        retries + unsent as f64 + 1.0 <= self.constant + self.share * successes
    }

    fn current_second(&mut self, now_ms: u64) -> &mut SecondCounts {
        let now_s = now_ms / SECOND_MS;
        let slot = &mut self.seconds[now_s as usize % WINDOW_S];
        if slot.second != now_s {
            *slot = SecondCounts { second: now_s, ..SecondCounts::default() };
        }
        slot
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(0.1, 10)
    }
}

/// Whether a request may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Retry {
    /// It may be retried; the caller spends the budget when it sends the attempt.
    Allowed,
    /// It completed, so there is nothing to repeat.
    Completed,
    /// It may have run, and it is not idempotent.
    MayHaveRun,
    /// Too little time is left until the deadline.
    NoTime,
    /// The request has reached [`MAX_ATTEMPTS`].
    NoAttempts,
    /// The pool's budget is spent.
    NoBudget,
}

/// Decides whether a request may be retried.
pub fn may_retry(
    outcome: Outcome,
    is_idempotent: bool,
    budget: &RetryBudget,
    left_ms: u64,
    attempts: u32,
    now_ms: u64,
) -> Retry {
    match outcome {
        Outcome::Completed => Retry::Completed,
        Outcome::Unknown if !is_idempotent => Retry::MayHaveRun,
        _ if left_ms < MIN_ATTEMPT_MS => Retry::NoTime,
        _ if attempts >= MAX_ATTEMPTS => Retry::NoAttempts,
        _ if !budget.has_room(now_ms) => Retry::NoBudget,
        _ => Retry::Allowed,
    }
}

/// Recent durations of a pool's non-streaming requests.
#[derive(Debug, Clone, Default)]
pub struct Durations {
    recent_ms: Vec<u64>,
    next_index: usize,
}

impl Durations {
    /// Adds the duration of a completed request.
    pub fn add(&mut self, duration_ms: u64) {
        if self.recent_ms.len() < DURATIONS {
            self.recent_ms.push(duration_ms);
        } else {
            self.recent_ms[self.next_index] = duration_ms;
        }
        self.next_index = (self.next_index + 1) % DURATIONS;
    }

    /// Returns the 95th percentile, or `None` while there are too few durations.
    pub fn p95_ms(&self) -> Option<u64> {
        if self.recent_ms.len() < MIN_DURATIONS {
            return None;
        }
        let mut sorted = self.recent_ms.clone();
        sorted.sort_unstable();
        Some(sorted[(sorted.len() * 95).div_ceil(100) - 1])
    }
}

/// Returns the delay before a hedged attempt, or `None` if the request must not be hedged.
///
/// After the delay, check [`RetryBudget::has_room`] and spend it. The first answer wins;
/// the caller cancels the other attempt, and counts it neither as a success nor as a failure.
pub fn hedge_after_ms(
    is_idempotent: bool,
    is_streaming: bool,
    durations: &Durations,
    left_ms: u64,
) -> Option<u64> {
    if !is_idempotent || is_streaming {
        return None;
    }
    let delay_ms = durations.p95_ms()?;
    (delay_ms + MIN_ATTEMPT_MS <= left_ms).then_some(delay_ms)
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    // Running a booking twice is worse than failing it (promise 7).
    #[rstest]
    #[case::may_have_run(Outcome::Unknown, false, 500, 1, Retry::MayHaveRun)]
    #[case::did_not_run(Outcome::NotRun, false, 500, 1, Retry::Allowed)]
    #[case::idempotent(Outcome::Unknown, true, 500, 1, Retry::Allowed)]
    #[case::completed(Outcome::Completed, true, 500, 1, Retry::Completed)]
    #[case::too_little_time(Outcome::NotRun, true, MIN_ATTEMPT_MS - 1, 1, Retry::NoTime)]
    #[case::too_many_attempts(Outcome::NotRun, true, 500, MAX_ATTEMPTS, Retry::NoAttempts)]
    fn only_requests_that_did_not_run_or_are_idempotent_are_retried(
        #[case] outcome: Outcome,
        #[case] is_idempotent: bool,
        #[case] left_ms: u64,
        #[case] attempts: u32,
        #[case] expected: Retry,
    ) {
        let budget = RetryBudget::default();
        assert_eq!(may_retry(outcome, is_idempotent, &budget, left_ms, attempts, 0), expected);
    }

    // Retries to a pool that fails as a whole must not multiply its load.
    #[test]
    fn a_failing_pool_gets_only_the_constant_and_the_share_of_its_successes() {
        let mut budget = RetryBudget::new(0.1, 2);
        (0..50).for_each(|_| budget.record_success(5_000));
        let mut sent = 0;
        while budget.has_room(6_000) {
            budget.spend(6_000);
            sent += 1;
        }
        assert_eq!(sent, 7);
        assert!(!budget.has_room(14_999));
        assert!(budget.has_room(16_000), "the spent retries have left the window");
    }

    // A hedge of a non-idempotent request could run it twice.
    #[test]
    fn a_hedge_waits_for_the_p95_and_is_sent_only_for_idempotent_non_streaming_requests() {
        let mut durations = Durations::default();
        assert_eq!(hedge_after_ms(true, false, &durations, 1_000), None);
        (1..=100).for_each(|ms| durations.add(ms));
        assert_eq!(hedge_after_ms(true, false, &durations, 1_000), Some(95));
        assert_eq!(hedge_after_ms(true, false, &durations, 100), None);
        assert_eq!(hedge_after_ms(false, false, &durations, 1_000), None);
        assert_eq!(hedge_after_ms(true, true, &durations, 1_000), None);
    }
}
