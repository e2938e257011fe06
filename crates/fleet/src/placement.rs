//! Predicts which endpoint is likely to return the first event of a request soonest.
//!
//! Handles a load that is even on average but irregular: prompts range from a few hundred to a few
//! thousand tokens, and the passes of a group get longer with every running request. Counting only
//! requests would queue a short prompt behind a long one, so the prediction includes the tokens
//! that are still to be read.
//!
//! Nodes with the same outdated figures would all choose the same group until the next report. The
//! choice is therefore spread over as many groups as the unreported requests would fill.

use crate::configuration::Engine;

/// Fraction of the current pass that is assumed to remain when a request arrives.
const MEAN_REMAINING_PASS: f64 = 0.5;

/// What a choice needs to know about one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests in flight from all nodes.
    pub in_flight: u32,
    /// Their prompt tokens that are still to be read.
    pub unread_tokens: u64,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Factor applied to all times.
    pub pace: f64,
    /// Additional round-trip time compared with the local data centre.
    pub distance_ms: f64,
    /// Fraction of recent answers that were failures.
    pub failure_share: f64,
    /// Tokens that are expected to follow in the answers under way.
    pub unwritten_tokens: u64,
    /// Measured factor by which it is slower than its pace.
    pub slowness: f64,
    /// Requests at a plain service by the time that they are expected to take, where an average one
    /// counts as 1; equal to those in flight if nothing is known.
    pub plain_requests: f64,
}

/// Returns the duration of one pass of a group.
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
    let excess = f64::from(in_flight.saturating_add(1).saturating_sub(candidate.slots));
    // A request beyond the slots waits for a running one to end.
    let wait_ms = excess * current_ms * PASSES_PER_ANSWER / f64::from(candidate.slots.max(1));
    current_ms * MEAN_REMAINING_PASS + current_ms + read_ms + wait_ms + candidate.distance_ms
}

/// Weight of the time that a request adds to its own answer and to those under way, compared with the
/// time to its first event.
const ANSWER_WEIGHT: f64 = 0.05;

/// Predicts the time to the first event of a request at an engine's group, together with the weighted
/// time that the request takes there after it and adds to the answers under way.
///
/// Another request lengthens each pass that both are written in, and an answer under way is written
/// for as long as its unwritten tokens need. That time counts twice: for the request and for the
/// others. Slower passes thus count most for long answers.
pub fn answer_cost_ms(
    engine: &Engine,
    candidate: &Candidate,
    prompt_tokens: u32,
    answer_tokens: u32,
) -> f64 {
    let pace = candidate.pace * candidate.slowness;
    let running = f64::from(candidate.in_flight.min(engine.slots));
    let own_tokens = f64::from(answer_tokens);
    let mean_left_tokens = candidate.unwritten_tokens as f64 / running.max(1.0);
    let own_ms = own_tokens * (engine.step_ms + engine.per_sequence_ms);
    let shared_ms = running * own_tokens.min(mean_left_tokens) * engine.per_sequence_ms;
    let added_ms = own_ms + 2.0 * shared_ms;
    let measured = Candidate { pace, ..*candidate };
    first_event_ms(engine, &measured, prompt_tokens) + ANSWER_WEIGHT * pace * added_ms
}

/// Chooses among costs in ascending order; returns the index, or `None` if there are none.
///
/// `unreported_ms` of work was sent to these endpoints without being reported yet. It is assumed to
/// have gone where the cost was lowest, which raised the cheapest endpoints to a common cost. Each
/// of them is chosen with a probability equal to its share of that work. `draw`, from 0 to 1,
/// decides; without unreported work the cheapest is chosen.
pub fn spread(costs: &[f64], unreported_ms: f64, draw: f64) -> Option<usize> {
    let mut filled = 0;
    let mut sum_ms = 0.0;
    let mut level_ms = *costs.first()?;
    for cost in costs {
        if filled > 0 && *cost >= level_ms {
            break;
        }
        filled += 1;
        sum_ms += cost;
        level_ms = (sum_ms + unreported_ms) / f64::from(filled);
    }
    let mut left_ms = draw * unreported_ms;
    let parts = costs.iter().take(filled as usize).map(|cost| level_ms - cost);
    for (index, part_ms) in parts.enumerate() {
        if left_ms <= part_ms {
            return Some(index);
        }
        left_ms -= part_ms;
    }
    Some(0)
}

/// Number of passes of a typical answer; on average half of them remain.
const PASSES_PER_ANSWER: f64 = 18.0;

/// Predicts the relative cost of a request at an endpoint of a plain service.
pub fn plain_cost(candidate: &Candidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let load = candidate.plain_requests / slots;
    load + candidate.distance_ms * DISTANCE_WEIGHT + candidate.failure_share * FAILURE_COST
}

/// Load that is considered equal to one ms of distance at a plain service.
const DISTANCE_WEIGHT: f64 = 0.02;

/// Load that is considered equal to a failure share of 1.
const FAILURE_COST: f64 = 4.0;
