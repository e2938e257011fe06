//! Random schedules of planned work and of silences, generated from a seed.

use std::fmt;
use std::ops::Range;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Mean pause between the starts of two steps. Steps overlap.
const MEAN_PAUSE_MS: f64 = 250.0;

/// How long endpoints are silent: a process on a busy machine may get no processor for this long.
const SILENCE_MS: Range<u64> = 300..1_900;

/// How long other states last.
const STATE_MS: Range<u64> = 300..3_000;

/// Maximum number of endpoints that fall silent at the same moment.
const MAX_SILENT: usize = 4;

/// What happens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Nodes get SIGTERM one after another, with this pause between them, and are started again.
    Stop { nodes: Vec<usize>, pause_ms: u64 },
    /// The settings file of a node changes, and the node gets SIGHUP.
    Reload { node: usize, budget_slack: u64 },
    /// A new version of the configuration takes effect.
    Configure,
    /// An endpoint is listed as draining and then as ready again.
    Drain(usize),
    /// Endpoints make no progress; `is_link` if they answer nothing else either.
    Silence { endpoints: Vec<usize>, is_link: bool },
    /// A plain endpoint turns requests away.
    TurnAway(usize),
    /// The answers of the store are delayed.
    StoreDelay,
    /// This many processes use all the processor time that they get.
    Busy(usize),
}

impl Action {
    /// Whether endpoints may make no progress for a while.
    pub fn is_silence(&self) -> bool {
        matches!(self, Self::Silence { .. } | Self::Busy(_))
    }
}

/// An action with its start and duration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    pub at_ms: u64,
    pub duration_ms: u64,
    pub action: Action,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {} ms for {} ms: {:?}", self.at_ms, self.duration_ms, self.action)
    }
}

/// The numbers of nodes, of endpoints of the model and of endpoints of the plain service.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub nodes: usize,
    pub engines: usize,
    pub plain: usize,
}

/// Generates the schedule of a seed.
pub fn generate(seed: u64, length_ms: u64, size: Size) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at_ms = 0;
    loop {
        let pause_ms = -MEAN_PAUSE_MS * f64::ln(1.0 - rng.random::<f64>());
        at_ms += pause_ms as u64;
        if at_ms >= length_ms {
            return steps;
        }
        let action = action(&mut rng, size);
        let duration_ms = rng.random_range(match action {
            Action::Silence { .. } => SILENCE_MS,
            _ => STATE_MS,
        });
        steps.push(Step { at_ms, duration_ms, action });
    }
}

fn action(rng: &mut StdRng, size: Size) -> Action {
    let endpoints = size.engines + size.plain;
    match rng.random_range(0..20) {
        0..=3 => {
            let count = rng.random_range(1..=size.nodes.div_ceil(3));
            let nodes = (0..count).map(|_| rng.random_range(0..size.nodes)).collect();
            Action::Stop { nodes, pause_ms: rng.random_range(0..800) }
        }
        4..=5 => Action::Reload {
            node: rng.random_range(0..size.nodes),
            budget_slack: rng.random_range(50..150),
        },
        6..=7 => Action::Configure,
        8..=9 => Action::Drain(rng.random_range(0..endpoints)),
        10..=16 => {
            let count = rng.random_range(1..=MAX_SILENT);
            let endpoints = (0..count).map(|_| rng.random_range(0..endpoints)).collect();
            Action::Silence { endpoints, is_link: rng.random_bool(0.5) }
        }
        17 => Action::TurnAway(size.engines + rng.random_range(0..size.plain)),
        18 => Action::StoreDelay,
        _ => Action::Busy(rng.random_range(1..=4)),
    }
}
