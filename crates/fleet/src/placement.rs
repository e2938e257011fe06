//! Where a request runs: the endpoint that is likely to give the first event soonest.
//!
//! Answers a load that is even on average but lumpy: prompts of a few hundred to a few thousand
//! tokens, on groups whose passes grow with every running request. Counting requests alone puts a
//! short prompt behind a long one; the prediction adds what is still to be read.
//!
//! Nodes that know the same old figures would all choose the same group until the next report. The
//! choice is spread over as many groups as the requests that nobody has reported yet would fill.

use crate::configuration::Engine;
use crate::event::Arrival;

/// Tokens of the next step that a running request writes.
const HALF: f64 = 0.5;

/// What a choice needs to know of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests in flight from all nodes.
    pub in_flight: u32,
    /// Prompt tokens of them that are still to be read.
    pub unread_tokens: u64,
    /// Requests that run at a time.
    pub slots: u32,
    /// Factor on all times.
    pub pace: f64,
    /// Time to reach it and back, beyond that within the data centre.
    pub distance_ms: f64,
    /// Share of recent answers that were failures.
    pub failure_share: f64,
}

/// Returns the time of one pass of a group.
pub fn pass_ms(engine: &Engine, pace: f64, in_flight: u32, unread_tokens: u64) -> f64 {
    let running = f64::from(in_flight.min(engine.slots));
    let step_ms = engine.step_ms + running * engine.per_sequence_ms;
    let stride = f64::from(engine.stride.max(1));
    let readable = stride * f64::from(engine.chunk_tokens);
    let read_ms = (unread_tokens as f64).min(readable) / engine.read_per_ms;
    (stride * step_ms + read_ms) * pace
}

/// Predicts the time to the first event of a request at an engine's group.
pub fn first_event_ms(engine: &Engine, candidate: &Candidate, prompt_tokens: u32) -> f64 {
    let Candidate { in_flight, unread_tokens, pace, .. } = *candidate;
    let current_ms = pass_ms(engine, pace, in_flight, unread_tokens);
    let read_ms = f64::from(prompt_tokens) / engine.read_per_ms * pace;
    let over = f64::from((in_flight + 1).saturating_sub(candidate.slots));
    // A request beyond the slots waits for one of the running ones to end.
    let wait_ms = over * current_ms * QUEUE_PASSES / f64::from(candidate.slots.max(1));
    current_ms * HALF + current_ms + read_ms + wait_ms + candidate.distance_ms
}

/// Part of the longest pause that is on time which a pass may take; the rest is for the way.
const PASS_SHARE: f64 = 0.9;

/// Returns how long a group has to read on before one more prompt leaves its passes shorter than
/// the pause that is on time; zero if it may be sent now.
///
/// A pass that reads its fill holds up each answer of the group beyond its pause, also those that
/// had been on time so far. What waits here is read as soon, and holds up nobody.
pub fn read_wait_ms(engine: &Engine, candidate: &Candidate, arrival: &Arrival) -> f64 {
    let Candidate { in_flight, unread_tokens, pace, .. } = *candidate;
    let limit_ms = arrival.gap_target_ms as f64 * PASS_SHARE;
    let tokens = unread_tokens + u64::from(arrival.prompt_tokens);
    let over_ms = pass_ms(engine, pace, in_flight + 1, tokens) - limit_ms;
    let unread_ms = unread_tokens as f64 / engine.read_per_ms * pace;
    // A prompt that is too long for any pass goes to a group that reads no other one.
    over_ms.min(unread_ms).max(0.0)
}

/// Chooses among costs in rising order; returns the position, or `None` if there are none.
///
/// `unseen_ms` of work has gone to these endpoints unreported. If it goes where it costs least, as
/// here, it fills the cheapest ones up to one level; each is chosen with the probability of its
/// part. `draw`, from 0 to 1, decides; without unseen work the cheapest is chosen.
pub fn spread(costs: &[f64], unseen_ms: f64, draw: f64) -> Option<usize> {
    let mut filled = 0;
    let mut sum_ms = 0.0;
    let mut level_ms = *costs.first()?;
    for cost in costs {
        if filled > 0 && *cost >= level_ms {
            break;
        }
        filled += 1;
        sum_ms += cost;
        level_ms = (sum_ms + unseen_ms) / f64::from(filled);
    }
    let mut left_ms = draw * unseen_ms;
    let parts = costs.iter().take(filled as usize).map(|cost| level_ms - cost);
    for (at, part_ms) in parts.enumerate() {
        if left_ms <= part_ms {
            return Some(at);
        }
        left_ms -= part_ms;
    }
    Some(0)
}

/// Passes that an answer of usual length takes; half of it is left on average.
const QUEUE_PASSES: f64 = 18.0;

/// Predicts the relative cost of a request at an endpoint of a plain service.
pub fn plain_cost(candidate: &Candidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let load = f64::from(candidate.in_flight) / slots;
    load + candidate.distance_ms * DISTANCE_WEIGHT + candidate.failure_share * FAILURE_COST
}

/// Load that one ms of distance is worth at a plain service.
const DISTANCE_WEIGHT: f64 = 0.02;

/// Load that an endpoint which fails every request is set equal to.
const FAILURE_COST: f64 = 4.0;
