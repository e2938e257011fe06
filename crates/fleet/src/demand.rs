//! The work that callers bring, by model, in groups kept busy.

use std::collections::BTreeMap;
use std::sync::Arc;

use balsam_types::ModelName;

use crate::configuration::Engine;
use crate::configuration::Model;

/// Time constant of the average: several times the pauses between requests, and short against the
/// bursts that the split of endpoints has to follow.
const AVERAGE_MS: f64 = 4_000.0;

/// A peer's figure counts for this long.
const PEER_DEMAND_MS: u64 = 3_000;

/// Returns the time that a request keeps a full group busy.
///
/// A full group makes `slots` tokens in a step, so each token costs a part of it; the prompt is
/// read between the steps.
pub fn work_ms(engine: &Engine, model: &Model, prompt_tokens: u32, answer_tokens: u32) -> f64 {
    let slots = f64::from(engine.slots.max(1));
    let step_ms = engine.step_ms + slots * engine.per_sequence_ms;
    let write_ms = f64::from(answer_tokens) * step_ms / slots;
    (write_ms + f64::from(prompt_tokens) / engine.read_per_ms) * model.pace
}

/// Averages of the work that arrives.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    own: BTreeMap<ModelName, (u64, f64)>,
    peers: BTreeMap<Arc<str>, PeerDemand>,
}

/// The figures of another node, with the time at which they came.
type PeerDemand = (u64, Vec<(ModelName, f64)>);

impl Demand {
    /// Counts the work of a request that arrived at this node.
    pub fn arrived(&mut self, now_ms: u64, model: &ModelName, work_ms: f64) {
        let (at_ms, average) = self.own.entry(model.clone()).or_insert((now_ms, 0.0));
        *average = decayed(*average, *at_ms, now_ms) + work_ms / AVERAGE_MS;
        *at_ms = now_ms;
    }

    /// Takes over the figures of another node.
    pub fn report(&mut self, now_ms: u64, node: &Arc<str>, demand: Vec<(ModelName, f64)>) {
        self.peers.insert(node.clone(), (now_ms, demand));
    }

    /// Returns this node's figures, in busy groups.
    pub fn own(&self, now_ms: u64) -> Vec<(ModelName, f64)> {
        let current = |(at_ms, average): &(u64, f64)| decayed(*average, *at_ms, now_ms);
        self.own.iter().map(|(model, figure)| (model.clone(), current(figure))).collect()
    }

    /// Returns the busy groups that all nodes together need for a model.
    pub fn total(&self, now_ms: u64, model: &ModelName) -> f64 {
        let own = self.own.get(model).map_or(0.0, |(at_ms, a)| decayed(*a, *at_ms, now_ms));
        let fresh = self.peers.values().filter(|(at_ms, _)| now_ms < at_ms + PEER_DEMAND_MS);
        let peers = fresh.flat_map(|(_, demand)| demand).filter(|(name, _)| name == model);
        own + peers.map(|(_, figure)| figure).sum::<f64>()
    }
}

fn decayed(average: f64, at_ms: u64, now_ms: u64) -> f64 {
    average * (-(now_ms.saturating_sub(at_ms) as f64) / AVERAGE_MS).exp()
}
