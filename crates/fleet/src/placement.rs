//! Where a request runs: the endpoint that is likely to give the first event soonest.
//!
//! Answers a load that is even on average but lumpy: prompts of a few hundred to a few thousand
//! tokens, on groups whose passes grow with every running request. Counting requests alone puts a
//! short prompt behind a long one; the prediction adds what is still to be read.

use crate::configuration::Engine;

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
