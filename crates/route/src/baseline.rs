//! Common policies for endpoint choice, as baselines for benchmarks of [`crate::choose`].
//!
//! All of them respect evidence, leaving groups and drains, so that only the choice differs.

use rand::Rng;

use crate::choice::ChoiceInput;
use crate::choice::is_eligible;
use crate::loads::PoolView;

/// A baseline policy for the choice among the local groups.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Baseline {
    /// Any eligible group.
    Random,
    /// The next eligible group in turn.
    RoundRobin,
    /// The group with the least reported load.
    LeastReported,
    /// The less loaded of two random groups by their reports.
    TwoChoices,
}

impl Baseline {
    /// All baselines.
    pub const ALL: [Self; 4] =
        [Self::Random, Self::RoundRobin, Self::LeastReported, Self::TwoChoices];

    /// Chooses a group, or `None` if none is eligible. `turn` is the round-robin counter.
    pub fn choose<R: Rng + ?Sized>(
        self,
        view: &PoolView,
        input: &ChoiceInput<'_>,
        turn: &mut usize,
        rng: &mut R,
    ) -> Option<usize> {
        let groups = &view.pool.groups;
        let is_candidate = |index: &usize| {
            let group = &groups[*index];
            !input.local_drained
                && is_eligible(group, input.now_ms)
                && !input.exclude.contains(&group.group)
        };
        let count = (0..groups.len()).filter(is_candidate).count();
        if count == 0 {
            return None;
        }
        let nth = |n: usize| (0..groups.len()).filter(is_candidate).nth(n);
        let reported = |index: &usize| groups[*index].reported_in_flight;
        match self {
            Self::Random => nth(rng.random_range(0..count)),
            Self::RoundRobin => {
                *turn = turn.wrapping_add(1);
                nth(*turn % count)
            }
            Self::LeastReported => {
                // The random start breaks ties; otherwise equal reports would all pick one group.
                let start = rng.random_range(0..groups.len());
                let rotated = (0..groups.len()).map(|step| (start + step) % groups.len());
                rotated.filter(is_candidate).min_by_key(reported)
            }
            Self::TwoChoices => {
                let first = nth(rng.random_range(0..count))?;
                let second = nth(rng.random_range(0..count))?;
                Some(if reported(&second) < reported(&first) { second } else { first })
            }
        }
    }
}
