//! What a request is expected to cost.
//!
//! Handles requests that look alike and cost very different amounts of work. See
//! `docs/design/request-cost.md`.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::atomic::Ordering;

use balsam_types::ModelName;
use balsam_types::RouteName;
use balsam_types::VmName;

use crate::configuration::Engine;
use crate::demand;
use crate::demand::Work;
use crate::event::Arrival;
use crate::event::AttemptOutcome;
use crate::load::Running;
use crate::state::Fleet;

/// Weight in answers of what is assumed of a route or a class of hints before any answer: one odd
/// answer then changes an estimate by a few percent.
const PRIOR_ANSWERS: f64 = 8.0;

/// Maximum weight of past answers, so that an estimate follows the callers within as many answers.
const MAX_ANSWERS: f64 = 200.0;

/// Answers of a route that must have ended before its requests are placed by cost.
const MIN_ANSWERS: f64 = 8.0;

/// Share of the hint in the estimate of an answer of which nothing else is known but the mean of its
/// route. Both are right at the median and off by similar factors.
const HINT_WEIGHT: f64 = 0.5;

/// Maximum difference between an answer and the estimate that is learned from, as a logarithm: an
/// answer that is off by more than a factor of 20 counts as off by 20.
const MAX_LOG_ERROR: f64 = 3.0;

/// Maximum variance of a logarithm that is used, which limits the mean to 1.6 times the median.
const MAX_LOG_VARIANCE: f64 = 1.0;

/// Part of what an answer has written that is expected to follow at least: those that outlast their
/// estimate are the long ones.
const OUTLAST_SHARE: f64 = 0.25;

/// Maximum number of routes that are learned; a configuration that changes its names must not fill
/// the memory.
const MAX_ROUTES: usize = 1_024;

/// Mean and variance of a logarithm, over the last answers.
#[derive(Debug, Clone, Copy, Default)]
struct LogMean {
    answers: f64,
    mean: f64,
    variance: f64,
}

impl LogMean {
    /// Adds a value, which is compared with what was expected.
    fn add(&mut self, value: f64, expected: f64) {
        let value = value.clamp(expected - MAX_LOG_ERROR, expected + MAX_LOG_ERROR);
        self.answers = (self.answers + 1.0).min(MAX_ANSWERS);
        let difference = value - self.mean;
        self.mean += difference / self.answers;
        self.variance += (difference * (value - self.mean) - self.variance) / self.answers;
    }

    /// Returns the mean, together with a first belief.
    fn shrunk(&self, prior: f64) -> f64 {
        (self.answers * self.mean + PRIOR_ANSWERS * prior) / (self.answers + PRIOR_ANSWERS)
    }

    /// Returns the difference between the logarithm of the mean and the mean of the logarithms.
    fn log_mean_excess(&self) -> f64 {
        let known = self.answers / (self.answers + PRIOR_ANSWERS);
        self.variance.min(MAX_LOG_VARIANCE) * known / 2.0
    }
}

/// What is known of the answers of one route.
#[derive(Debug, Clone, Default)]
struct RouteCost {
    /// The logarithm of their tokens.
    tokens: LogMean,
    /// The same, by the power of two of the hint.
    by_hint: BTreeMap<u32, LogMean>,
    /// The logarithm of their duration in ms, for a plain service.
    duration: LogMean,
}

/// What this node learned from the answers that it forwarded.
#[derive(Debug, Clone, Default)]
pub struct LearnedCosts {
    routes: BTreeMap<RouteName, RouteCost>,
}

/// What an attempt is expected to need.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ExpectedCost {
    /// Tokens of the answer.
    pub answer_tokens: u32,
    /// Events of the answer, each of which has several tokens; `None` for a plain service.
    pub events: Option<u32>,
    /// The most tokens that the caller accepts.
    pub max_answer_tokens: u32,
    /// Duration at a plain service; `None` if it is not known.
    pub duration_ms: Option<f64>,
}

impl ExpectedCost {
    /// Returns how many tokens are expected after those that were written.
    ///
    /// An answer that outlasts its estimate is expected to go on for a part of what it has written,
    /// so it never counts as done.
    pub fn unwritten_tokens(&self, written_tokens: u64) -> u64 {
        let expected = u64::from(self.answer_tokens).saturating_sub(written_tokens);
        let outlasting = (written_tokens as f64 * OUTLAST_SHARE).ceil() as u64;
        let allowed = u64::from(self.max_answer_tokens).saturating_sub(written_tokens);
        expected.max(outlasting).min(allowed)
    }

    /// Returns how much longer a request of a plain service is expected to last.
    pub fn left_ms(&self, elapsed_ms: u64) -> Option<f64> {
        let elapsed_ms = elapsed_ms as f64;
        self.duration_ms.map(|expected| (expected - elapsed_ms).max(elapsed_ms * OUTLAST_SHARE))
    }
}

impl LearnedCosts {
    /// Whether enough answers of a route are known to place its requests by cost.
    pub fn is_known(&self, route: &RouteName) -> bool {
        self.routes.get(route).is_some_and(|known| known.tokens.answers >= MIN_ANSWERS)
    }

    /// Returns the expected tokens of an answer, at most those that the caller accepts.
    ///
    /// Without any answer of the route, this is the hint, as callers' hints are right at the median;
    /// without a hint, the mean of the configuration.
    pub fn answer_tokens(&self, engine: &Engine, arrival: &Arrival) -> u32 {
        let unknown = RouteCost::default();
        let route = self.routes.get(&arrival.route).unwrap_or(&unknown);
        let median = median_log(route, engine, arrival);
        let tokens = (median + route.tokens.log_mean_excess()).exp();
        (tokens.round() as u32).min(arrival.max_answer_tokens)
    }

    /// Learns from a complete answer.
    pub fn answered(&mut self, engine: &Engine, arrival: &Arrival, tokens: u64) {
        // Only the rest of a resumed answer was written here.
        if tokens == 0 || arrival.has_partial_answer || arrival.max_answer_tokens == 0 {
            return;
        }
        let tokens = tokens.min(u64::from(arrival.max_answer_tokens));
        let value = log(tokens as f64);
        let Some(route) = self.route(&arrival.route) else { return };
        let expected = median_log(route, engine, arrival);
        let route_expected = route.tokens.shrunk(first_belief(engine, arrival));
        route.tokens.add(value, route_expected);
        if let Some(class) = hint_class(arrival) {
            route.by_hint.entry(class).or_default().add(value, expected);
        }
    }

    /// Returns the expected duration of a request of a plain service, once some are known.
    pub fn duration_ms(&self, route: &RouteName) -> Option<f64> {
        let duration = &self.routes.get(route)?.duration;
        (duration.answers >= MIN_ANSWERS)
            .then(|| (duration.mean + duration.log_mean_excess()).exp())
    }

    /// Learns from the duration of a request of a plain service.
    pub fn lasted(&mut self, route: &RouteName, duration_ms: u64) {
        let Some(RouteCost { duration, .. }) = self.route(route) else { return };
        let value = log(duration_ms as f64);
        let expected = if duration.answers > 0.0 { duration.mean } else { value };
        duration.add(value, expected);
    }

    fn route(&mut self, name: &RouteName) -> Option<&mut RouteCost> {
        let has_room = self.routes.len() < MAX_ROUTES || self.routes.contains_key(name);
        has_room.then(|| self.routes.entry(name.clone()).or_default())
    }
}

fn log(value: f64) -> f64 {
    value.max(1.0).ln()
}

/// Returns the class of a hint: its power of two.
fn hint_class(arrival: &Arrival) -> Option<u32> {
    arrival.answer_hint_tokens.map(|tokens| tokens.max(1).ilog2())
}

/// Returns what is assumed of a route before any of its answers.
fn first_belief(engine: &Engine, arrival: &Arrival) -> f64 {
    let usual = engine.usual.map_or(arrival.answer_tokens, |usual| usual.answer_tokens);
    log(f64::from(usual.min(arrival.max_answer_tokens)))
}

/// Returns the logarithm of the median of an answer's tokens.
fn median_log(route: &RouteCost, engine: &Engine, arrival: &Arrival) -> f64 {
    let of_route = route.tokens.shrunk(first_belief(engine, arrival));
    let Some(class) = hint_class(arrival) else { return of_route };
    let hint = log(f64::from(arrival.answer_tokens));
    if route.tokens.answers == 0.0 {
        return hint;
    }
    let combined = HINT_WEIGHT * hint + (1.0 - HINT_WEIGHT) * of_route;
    route.by_hint.get(&class).copied().unwrap_or_default().shrunk(combined)
}

/// Returns the model of a request and the time for which the request is expected to occupy a full
/// group; `None` for a plain service.
pub(crate) fn expected_work(fleet: &Fleet, arrival: &Arrival) -> Option<(ModelName, Work)> {
    let (_, engine) = fleet.engine_pool()?;
    let model = engine.model(arrival.model.as_ref()?)?;
    let answer_tokens = answer_tokens(fleet, engine, arrival);
    let work = demand::work(engine, model, arrival.prompt_tokens, answer_tokens);
    Some((model.name.clone(), work))
}

/// Returns the expected tokens of an answer: as learned where the deployment asks for it, and otherwise
/// as its caller says.
pub(crate) fn answer_tokens(fleet: &Fleet, engine: &Engine, arrival: &Arrival) -> u32 {
    let policy = fleet.settings.load_policy;
    match policy.places_by_cost || policy.admits_by_work {
        true => fleet.costs.answer_tokens(engine, arrival),
        false => arrival.answer_tokens,
    }
}

/// Returns what an attempt is expected to need; `None` unless the deployment asks for it.
pub(crate) fn expected_cost(fleet: &Fleet, arrival: &Arrival) -> Option<ExpectedCost> {
    if !fleet.settings.load_policy.places_by_cost {
        return None;
    }
    let pool = fleet.configuration.as_ref()?.pools.get(&arrival.pool)?;
    Some(match &pool.engine {
        Some(engine) => {
            let answer_tokens = fleet.costs.answer_tokens(engine, arrival);
            ExpectedCost {
                answer_tokens,
                events: Some(answer_tokens.div_ceil(engine.stride.max(1))),
                max_answer_tokens: arrival.max_answer_tokens,
                duration_ms: None,
            }
        }
        None => ExpectedCost {
            duration_ms: fleet.costs.duration_ms(&arrival.route),
            ..ExpectedCost::default()
        },
    })
}

/// Learns from an attempt that ended.
pub(crate) fn learn(
    fleet: &mut Fleet,
    now_ms: u64,
    arrival: &Arrival,
    running: &Running,
    outcome: AttemptOutcome,
) {
    let policy = fleet.settings.load_policy;
    let is_asked_for = policy.places_by_cost || policy.admits_by_work;
    if outcome != AttemptOutcome::Answered || !is_asked_for {
        return;
    }
    let Some(configuration) = fleet.configuration.clone() else { return };
    match configuration.pools.get(&arrival.pool).map(|pool| &pool.engine) {
        Some(Some(engine)) => {
            let events = u64::from(running.events.load(Ordering::Relaxed));
            fleet.costs.answered(engine, arrival, events * u64::from(engine.stride.max(1)));
        }
        Some(None) => {
            fleet.costs.lasted(&arrival.route, now_ms.saturating_sub(running.sent_ms));
        }
        None => {}
    }
}

/// Updates what each endpoint still has to do for this node, and how fast it is.
pub(crate) fn update(fleet: &mut Fleet, now_ms: u64) {
    if !fleet.settings.load_policy.places_by_cost {
        return;
    }
    let Some(configuration) = fleet.configuration.clone() else { return };
    let Some(engine) = configuration.pools.values().find_map(|pool| pool.engine.as_ref()) else {
        fleet.loads.update_left(now_ms, 1);
        return;
    };
    let mut samples = fleet.loads.update_left(now_ms, engine.stride.max(1));
    if samples.is_empty() {
        return;
    }
    let heads = fleet.serving.all().filter(|(kind, _)| kind.model.is_some());
    let paces: HashMap<&VmName, f64> = heads.map(|(_, head)| (&head.vm, head.pace)).collect();
    samples.retain(|sample| paces.contains_key(&sample.vm));
    fleet.paces.record(now_ms, engine, samples, |vm| paces[vm]);
}
