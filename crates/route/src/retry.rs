//! Retries and hedging within a budget, and the propagation of deadlines.
//!
//! A retry must never repeat what may have run; see `docs/design.md`, sections 2 and 8.

use balsam_types::Outcome;

/// Seconds of history that the budget and its share refer to.
const WINDOW_S: usize = 10;
/// Most attempts of one request, the first included; more rarely help and multiply the load.
pub const MAX_ATTEMPTS: u32 = 3;
/// Less time than this is not worth another attempt; one way between data centres takes 5 ms.
pub const MIN_ATTEMPT_MS: u64 = 20;
/// Durations kept for the hedging delay; 128 give a p95 from its six largest values.
const DURATIONS: usize = 128;
/// Fewer durations than this say nothing about a p95.
const MIN_DURATIONS: usize = 20;
const SECOND_MS: u64 = 1_000;

/// The point in time after which an answer is worthless.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline {
    /// The deadline in ms of the node's monotonic clock.
    pub at_ms: u64,
}

impl Deadline {
    /// Reads the relative deadline of a caller, or the route's default.
    pub fn after(now_ms: u64, relative_ms: Option<u64>, default_ms: u64) -> Self {
        Self { at_ms: now_ms.saturating_add(relative_ms.unwrap_or(default_ms)) }
    }

    /// Returns the time left, which is what the next hop gets as its relative deadline.
    pub fn left_ms(self, now_ms: u64) -> u64 {
        self.at_ms.saturating_sub(now_ms)
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Second {
    second: u64,
    successes: u32,
    retries: u32,
}

/// The retries a pool may get: a share of its recent successes and a small constant.
///
/// A pool that fails as a whole yields no successes, so the retries against it end.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    constant: f64,
    seconds: [Second; WINDOW_S],
}

impl RetryBudget {
    /// Creates a budget of `share` retries per success and `constant` retries per ten seconds.
    pub fn new(share: f64, constant: u32) -> Self {
        Self { share, constant: f64::from(constant), seconds: [Second::default(); WINDOW_S] }
    }

    /// Changes the constant, as when it is shared among another number of nodes.
    pub fn set_constant(&mut self, constant: f64) {
        self.constant = constant;
    }

    /// Counts a request that completed.
    pub fn succeeded(&mut self, now_ms: u64) {
        self.second(now_ms).successes += 1;
    }

    /// Counts a retry or a hedge that is sent.
    pub fn spend(&mut self, now_ms: u64) {
        self.second(now_ms).retries += 1;
    }

    /// Returns whether one more retry fits.
    pub fn has_room(&self, now_ms: u64) -> bool {
        let now_s = now_ms / SECOND_MS;
        let recent = self.seconds.iter().filter(|s| s.second + WINDOW_S as u64 > now_s);
        let (successes, retries) = recent.fold((0.0, 0.0), |(successes, retries), second| {
            (successes + f64::from(second.successes), retries + f64::from(second.retries))
        });
        retries + 1.0 <= self.constant + self.share * successes
    }

    fn second(&mut self, now_ms: u64) -> &mut Second {
        let now_s = now_ms / SECOND_MS;
        let slot = &mut self.seconds[now_s as usize % WINDOW_S];
        if slot.second != now_s {
            *slot = Second { second: now_s, ..Second::default() };
        }
        slot
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(0.1, 10)
    }
}

/// Whether a request may be tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Retry {
    /// It may; the caller spends the budget when it sends the attempt.
    Allowed,
    /// It completed, so there is nothing to repeat.
    Completed,
    /// It may have run and must not run twice.
    MayHaveRun,
    /// Too little time is left until the deadline.
    NoTime,
    /// The request had as many attempts as one request gets.
    NoAttempts,
    /// The pool's budget is spent.
    NoBudget,
}

/// Decides whether a request may be tried again.
pub fn may_retry(
    outcome: Outcome,
    idempotent: bool,
    budget: &RetryBudget,
    left_ms: u64,
    attempts: u32,
    now_ms: u64,
) -> Retry {
    match outcome {
        Outcome::Completed => Retry::Completed,
        Outcome::Unknown if !idempotent => Retry::MayHaveRun,
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
    next: usize,
}

impl Durations {
    /// Adds the duration of a completed request.
    pub fn add(&mut self, duration_ms: u64) {
        if self.recent_ms.len() < DURATIONS {
            self.recent_ms.push(duration_ms);
        } else {
            self.recent_ms[self.next] = duration_ms;
        }
        self.next = (self.next + 1) % DURATIONS;
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

/// Returns after how long a second attempt may be sent, or `None` if it must not be.
///
/// When the delay is over, check [`RetryBudget::has_room`] and spend it. The first answer wins;
/// the caller cancels the other attempt, and counts it neither as a success nor as a failure.
pub fn hedge_after_ms(
    idempotent: bool,
    streaming: bool,
    durations: &Durations,
    left_ms: u64,
) -> Option<u64> {
    if !idempotent || streaming {
        return None;
    }
    let delay_ms = durations.p95_ms()?;
    (delay_ms + MIN_ATTEMPT_MS <= left_ms).then_some(delay_ms)
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    // A repeated booking is worse than a failed one (promise 7).
    #[rstest]
    #[case::may_have_run(Outcome::Unknown, false, 500, 1, Retry::MayHaveRun)]
    #[case::did_not_run(Outcome::NotRun, false, 500, 1, Retry::Allowed)]
    #[case::idempotent(Outcome::Unknown, true, 500, 1, Retry::Allowed)]
    #[case::completed(Outcome::Completed, true, 500, 1, Retry::Completed)]
    #[case::late(Outcome::NotRun, true, MIN_ATTEMPT_MS - 1, 1, Retry::NoTime)]
    #[case::often(Outcome::NotRun, true, 500, MAX_ATTEMPTS, Retry::NoAttempts)]
    fn only_what_did_not_run_or_may_repeat_is_retried(
        #[case] outcome: Outcome,
        #[case] idempotent: bool,
        #[case] left_ms: u64,
        #[case] attempts: u32,
        #[case] expected: Retry,
    ) {
        let budget = RetryBudget::default();
        assert_eq!(may_retry(outcome, idempotent, &budget, left_ms, attempts, 0), expected);
    }

    // Retries against a pool that fails as a whole must not multiply its load.
    #[test]
    fn a_failing_pool_gets_only_the_constant_and_the_share_of_its_successes() {
        let mut budget = RetryBudget::new(0.1, 2);
        (0..50).for_each(|_| budget.succeeded(5_000));
        let mut sent = 0;
        while budget.has_room(6_000) {
            budget.spend(6_000);
            sent += 1;
        }
        assert_eq!(sent, 7);
        assert!(!budget.has_room(14_999));
        assert!(budget.has_room(16_000), "the spent retries have left the window");
    }

    #[test]
    fn a_hedge_waits_for_the_p95_and_is_never_sent_for_what_may_not_repeat() {
        let mut durations = Durations::default();
        assert_eq!(hedge_after_ms(true, false, &durations, 1_000), None);
        (1..=100).for_each(|ms| durations.add(ms));
        assert_eq!(hedge_after_ms(true, false, &durations, 1_000), Some(95));
        assert_eq!(hedge_after_ms(true, false, &durations, 100), None);
        assert_eq!(hedge_after_ms(false, false, &durations, 1_000), None);
        assert_eq!(hedge_after_ms(true, true, &durations, 1_000), None);
    }
}
