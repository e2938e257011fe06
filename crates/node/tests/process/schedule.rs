//! Schedules of faults for the soak, drawn from a seed.

use std::fmt;

use balsam_standin::estate::DATA_CENTRES;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::bed::NODES;

/// Mean pause between the starts of two faults; several overlap, as each lasts up to 4 s.
const MEAN_PAUSE_MS: f64 = 450.0;

/// Shortest and longest time of a fault.
const FAULT_MS: std::ops::Range<u64> = 200..4_000;

/// A link of an entry node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    Callers,
    Peers,
    Platform,
}

/// What happens to a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Its open connections are reset.
    Reset,
    /// Its open connections fall silent for good, and new ones work.
    Silent,
    /// Nothing arrives at the target for a while.
    OneWay,
    /// Nothing arrives at all for a while.
    BlackHole,
    /// Bytes are slow and some are sent again.
    Lossy,
    /// Connections are refused for a while.
    Cut,
}

/// A fault that is made from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process is stopped and continued.
    Pause(usize),
    /// The process is killed, and another one takes its place.
    Kill(usize),
    /// The process is asked to end, and another one takes its place.
    Terminate(usize),
    /// A link of a node has trouble.
    NodeLink(usize, Link, Trouble),
    /// The links to the endpoints have trouble.
    EndpointLinks(Trouble),
    /// The link to one endpoint has trouble.
    EndpointLink(usize, Trouble),
    /// The platform answers nothing.
    PlatformDown,
    /// The platform loses answers, and some calls take effect late.
    PlatformLosesAnswers,
    /// The platform answers slowly.
    PlatformSlow,
    /// A data centre is taken out and brought back.
    Drain(&'static str),
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    pub at_ms: u64,
    pub for_ms: u64,
    pub fault: Fault,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {} ms for {} ms: {:?}", self.at_ms, self.for_ms, self.fault)
    }
}

/// Draws the faults of a seed.
pub fn draw(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at_ms = 0;
    loop {
        let pause_ms = -MEAN_PAUSE_MS * f64::ln(1.0 - rng.random::<f64>());
        at_ms += pause_ms as u64;
        if at_ms >= length_ms {
            return steps;
        }
        let for_ms = rng.random_range(FAULT_MS);
        steps.push(Step { at_ms, for_ms, fault: fault(&mut rng) });
    }
}

fn fault(rng: &mut StdRng) -> Fault {
    let node = rng.random_range(0..NODES.len());
    match rng.random_range(0..16) {
        0..=1 => Fault::Pause(node),
        2..=3 => Fault::Kill(node),
        4..=5 => Fault::Terminate(node),
        6..=9 => Fault::NodeLink(node, link(rng), trouble(rng)),
        10 => Fault::EndpointLinks(trouble(rng)),
        11 => Fault::EndpointLink(rng.random_range(0..64), trouble(rng)),
        12 => Fault::PlatformDown,
        13 => Fault::PlatformLosesAnswers,
        14 => Fault::PlatformSlow,
        _ => Fault::Drain(DATA_CENTRES[node / 2]),
    }
}

fn link(rng: &mut StdRng) -> Link {
    [Link::Callers, Link::Peers, Link::Platform][rng.random_range(0..3)]
}

fn trouble(rng: &mut StdRng) -> Trouble {
    [
        Trouble::Reset,
        Trouble::Silent,
        Trouble::OneWay,
        Trouble::BlackHole,
        Trouble::Lossy,
        Trouble::Cut,
    ][rng.random_range(0..6)]
}
