//! Work requested by callers, by model, expressed as the number of groups that it keeps busy.

use std::collections::BTreeMap;
use std::sync::Arc;

use balsam_types::ModelName;

use crate::configuration::Engine;
use crate::configuration::Model;

/// Time constant of the average: several times the interval between requests, but short compared
/// with the bursts that the distribution of endpoints has to follow.
const AVERAGE_MS: f64 = 4_000.0;

/// How long a peer's figures are valid.
const PEER_DEMAND_TTL_MS: u64 = 3_000;

/// Time for which a request occupies a full group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Work {
    /// Time to read the prompt.
    pub read_ms: f64,
    /// Time to write the answer.
    pub write_ms: f64,
}

impl Work {
    /// Returns the total time.
    pub fn total_ms(&self) -> f64 {
        self.read_ms + self.write_ms
    }
}

/// Returns the time for which a request occupies a full group.
///
/// A full group generates `slots` tokens per step, so each token costs a fraction of a step; the
/// prompt is read between steps.
pub fn work(engine: &Engine, model: &Model, prompt_tokens: u32, answer_tokens: u32) -> Work {
    let slots = f64::from(engine.slots.max(1));
    let step_ms = engine.step_ms + slots * engine.per_sequence_ms;
    Work {
        read_ms: f64::from(prompt_tokens) / engine.read_per_ms * model.pace,
        write_ms: f64::from(answer_tokens) * step_ms / slots * model.pace,
    }
}

/// Average number of groups of a model that the requested work keeps busy.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BusyGroups {
    /// For prompts and answers.
    pub total: f64,
    /// For prompts only, which determine the time to the first event.
    pub reading: f64,
    /// For requests that were refused for lack of endpoints. Callers that return are counted again.
    pub refused: f64,
}

impl BusyGroups {
    fn scaled(self, factor: f64) -> Self {
        Self {
            total: self.total * factor,
            reading: self.reading * factor,
            refused: self.refused * factor,
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            total: self.total + other.total,
            reading: self.reading + other.reading,
            refused: self.refused + other.refused,
        }
    }
}

/// Moving averages of the requested work.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    own: BTreeMap<ModelName, (u64, BusyGroups)>,
    peers: BTreeMap<Arc<str>, PeerDemand>,
}

/// The figures of another node and when they were received.
type PeerDemand = (u64, Vec<(ModelName, BusyGroups)>);

impl Demand {
    /// Adds the work of a request that arrived at this node.
    pub fn arrived(&mut self, now_ms: u64, model: &ModelName, work: &Work) {
        let added = BusyGroups { total: work.total_ms(), reading: work.read_ms, refused: 0.0 };
        self.add(now_ms, model, added);
    }

    /// Adds the work of a request that was refused for lack of endpoints.
    pub fn refused(&mut self, now_ms: u64, model: &ModelName, work: &Work) {
        self.add(now_ms, model, BusyGroups { refused: work.total_ms(), ..BusyGroups::default() });
    }

    fn add(&mut self, now_ms: u64, model: &ModelName, work_ms: BusyGroups) {
        let fresh = (now_ms, BusyGroups::default());
        let (at_ms, average) = self.own.entry(model.clone()).or_insert(fresh);
        *average = decayed(*average, *at_ms, now_ms).plus(work_ms.scaled(1.0 / AVERAGE_MS));
        *at_ms = now_ms;
    }

    /// Replaces the figures of another node.
    pub fn report(&mut self, now_ms: u64, node: &Arc<str>, demand: Vec<(ModelName, BusyGroups)>) {
        self.peers.insert(node.clone(), (now_ms, demand));
    }

    /// Returns this node's figures.
    pub fn own(&self, now_ms: u64) -> Vec<(ModelName, BusyGroups)> {
        let current = |(at_ms, average): &(u64, BusyGroups)| decayed(*average, *at_ms, now_ms);
        self.own.iter().map(|(model, figure)| (model.clone(), current(figure))).collect()
    }

    /// Removes the figures of another node.
    pub fn forget_peer(&mut self, node: &str) {
        self.peers.remove(node);
    }

    /// Returns the sum of this node's figures and those of the chosen other nodes.
    pub fn sum_over(
        &self,
        now_ms: u64,
        is_chosen: impl Fn(&Arc<str>) -> bool,
    ) -> Vec<(ModelName, BusyGroups)> {
        let mut sum_over: BTreeMap<ModelName, BusyGroups> = self.own(now_ms).into_iter().collect();
        let fresh = self
            .peers
            .iter()
            .filter(|(node, (at_ms, _))| is_chosen(node) && now_ms < at_ms + PEER_DEMAND_TTL_MS);
        for (model, figure) in fresh.flat_map(|(_, (_, demand))| demand) {
            let sum = sum_over.entry(model.clone()).or_default();
            *sum = sum.plus(*figure);
        }
        sum_over.into_iter().collect()
    }

    /// Returns the busy groups of a model that are caused by the callers of another node.
    pub fn of_peer(&self, now_ms: u64, node: &str, model: &ModelName) -> BusyGroups {
        let fresh = self.peers.get(node).filter(|(at_ms, _)| now_ms < at_ms + PEER_DEMAND_TTL_MS);
        let figure = fresh.and_then(|(_, demand)| demand.iter().find(|(name, _)| name == model));
        figure.map(|(_, figure)| *figure).unwrap_or_default()
    }

    /// Returns the busy groups of a model that are caused by all nodes together.
    pub fn total(&self, now_ms: u64, model: &ModelName) -> BusyGroups {
        let own = self.own.get(model).map(|(at_ms, a)| decayed(*a, *at_ms, now_ms));
        let fresh = self.peers.values().filter(|(at_ms, _)| now_ms < at_ms + PEER_DEMAND_TTL_MS);
        let peers = fresh.flat_map(|(_, demand)| demand).filter(|(name, _)| name == model);
        peers.fold(own.unwrap_or_default(), |sum, (_, figure)| sum.plus(*figure))
    }
}

fn decayed(average: BusyGroups, at_ms: u64, now_ms: u64) -> BusyGroups {
    average.scaled((-(now_ms.saturating_sub(at_ms) as f64) / AVERAGE_MS).exp())
}
