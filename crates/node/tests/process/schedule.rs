//! Random schedules of faults for the soak test, generated from a seed.

use std::fmt;

use balsam_standin::estate::DATA_CENTRES;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::bed::NODES;

/// Mean pause between the starts of two faults. Faults overlap, because each lasts up to 4 s.
const MEAN_PAUSE_MS: f64 = 450.0;

/// Shortest and longest duration of a fault.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..4_000;

/// A link of an entry node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    Callers,
    Peers,
    Platform,
}

/// What goes wrong on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFaultKind {
    /// Its open connections are reset.
    Reset,
    /// Its open connections go silent permanently; new ones work.
    Silent,
    /// Nothing arrives at the target for a while.
    OneWay,
    /// Nothing arrives at all for a while.
    BlackHole,
    /// Data is delayed, and some of it is retransmitted.
    Lossy,
    /// Connections are refused for a while.
    Cut,
}

/// A fault that is injected from outside the processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process is paused and resumed.
    Pause(usize),
    /// The process is killed and replaced.
    Kill(usize),
    /// The process is terminated gracefully and replaced.
    Terminate(usize),
    /// One link of a node fails.
    NodeLink(usize, Link, LinkFaultKind),
    /// The links to all endpoints fail.
    EndpointLinks(LinkFaultKind),
    /// The link to one endpoint fails.
    EndpointLink(usize, LinkFaultKind),
    /// The platform does not answer.
    PlatformDown,
    /// The platform loses answers, and some calls take effect late.
    PlatformLosesAnswers,
    /// The platform answers slowly.
    PlatformSlow,
    /// A data centre is drained and returned.
    Drain(&'static str),
}

/// A fault with its start and duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    pub at_ms: u64,
    pub duration_ms: u64,
    pub fault: Fault,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {} ms for {} ms: {:?}", self.at_ms, self.duration_ms, self.fault)
    }
}

/// Generates the schedule of a seed.
pub fn generate(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at_ms = 0;
    loop {
        let pause_ms = -MEAN_PAUSE_MS * f64::ln(1.0 - rng.random::<f64>());
        at_ms += pause_ms as u64;
        if at_ms >= length_ms {
            return steps;
        }
        let duration_ms = rng.random_range(FAULT_DURATION_MS);
        steps.push(Step { at_ms, duration_ms, fault: fault(&mut rng) });
    }
}

fn fault(rng: &mut StdRng) -> Fault {
    let node = rng.random_range(0..NODES.len());
    match rng.random_range(0..16) {
        0..=1 => Fault::Pause(node),
        2..=3 => Fault::Kill(node),
        4..=5 => Fault::Terminate(node),
        6..=9 => Fault::NodeLink(node, link(rng), link_fault_kind(rng)),
        10 => Fault::EndpointLinks(link_fault_kind(rng)),
        11 => Fault::EndpointLink(rng.random_range(0..64), link_fault_kind(rng)),
        12 => Fault::PlatformDown,
        13 => Fault::PlatformLosesAnswers,
        14 => Fault::PlatformSlow,
        _ => Fault::Drain(DATA_CENTRES[node / 2]),
    }
}

fn link(rng: &mut StdRng) -> Link {
    [Link::Callers, Link::Peers, Link::Platform][rng.random_range(0..3)]
}

fn link_fault_kind(rng: &mut StdRng) -> LinkFaultKind {
    [
        LinkFaultKind::Reset,
        LinkFaultKind::Silent,
        LinkFaultKind::OneWay,
        LinkFaultKind::BlackHole,
        LinkFaultKind::Lossy,
        LinkFaultKind::Cut,
    ][rng.random_range(0..6)]
}
