//! Whether a request that no endpoint can take now may still be served while its caller waits.
//!
//! Handles the loss of all endpoints that a request may use, by an evacuation, failures or pauses:
//! a caller that is refused immediately can retry when there are endpoints again.

use crate::choice::capacity;
use crate::endpoint::MemberState;
use crate::event::Arrival;
use crate::event::Effect;
use crate::event::Refusal;
use crate::event::RefuseReason;
use crate::formation;
use crate::reduce::refuse_unserved;
use crate::serving::RequestKind;
use crate::serving::Server;
use crate::state::Fleet;
use crate::waiting;

/// Returns the refusal of a request that is known not to be servable in time; `None` if an endpoint
/// may still take it.
///
/// A request whose caller already has part of the answer is never refused here, as that part would
/// be wasted.
pub(crate) fn refusal(
    fleet: &Fleet,
    now_ms: u64,
    kind: &RequestKind,
    arrival: &Arrival,
) -> Option<Refusal> {
    if arrival.has_partial_answer || !fleet.directory.has_been_read() {
        return None;
    }
    let servers = fleet.serving.of(kind).iter().filter(|server| is_available(fleet, server));
    let untried = servers.filter(|server| !arrival.tried.contains(&server.vm));
    // An endpoint without a pause is only temporarily full, suspected or unreachable.
    let pauses = untried.map(|server| fleet.pauses.left_ms(now_ms, &server.vm).unwrap_or(0));
    let shortest_pause_ms = pauses.min();
    let useful_until_ms = match now_ms < arrival.target_at_ms {
        true => arrival.target_at_ms,
        false => arrival.deadline_at_ms,
    };
    let is_open = shortest_pause_ms.is_some_and(|pause_ms| now_ms + pause_ms < useful_until_ms);
    if is_open || is_forming(fleet, kind) {
        return None;
    }
    let capacity = capacity(fleet, now_ms, kind);
    let wait_ms = match shortest_pause_ms {
        Some(pause_ms) => pause_ms,
        // All endpoints that could serve it were tried and serve other requests.
        None if capacity.total > 0 => fleet.waiting.predicted_ms(now_ms, kind, arrival, capacity),
        None => waiting::NO_ENDPOINT_RETRY_MS,
    };
    Some(waiting::refusal(RefuseReason::NoEndpoint, wait_ms))
}

/// Refuses the queued requests of a kind that can no longer be served in time.
pub(crate) fn refuse_queued(
    fleet: &mut Fleet,
    now_ms: u64,
    kind: &RequestKind,
    effects: &mut Vec<Effect>,
) {
    let refused: Vec<_> = fleet
        .waiting
        .of(kind)
        .filter_map(|arrival| {
            let refusal = refusal(fleet, now_ms, kind, arrival)?;
            Some((arrival.clone(), refusal))
        })
        .collect();
    for (arrival, refusal) in refused {
        fleet.waiting.remove(kind, arrival.attempt_id);
        refuse_unserved(fleet, now_ms, &arrival, refusal, effects);
    }
}

/// Whether a server is neither evacuated nor the head of a lost group.
fn is_available(fleet: &Fleet, server: &Server) -> bool {
    let is_lost = |(group, epoch): &(_, u64)| fleet.suspicions.is_lost(group, *epoch);
    let is_evacuated = fleet.operators.evacuated().contains(&server.data_centre);
    !is_evacuated && !server.group.as_ref().is_some_and(is_lost)
}

/// Whether a group that would serve the request is being formed.
fn is_forming(fleet: &Fleet, kind: &RequestKind) -> bool {
    let (Some(name), Some((_, engine))) = (&kind.model, fleet.engine_pool()) else {
        return false;
    };
    fleet.directory.iter().any(|endpoint| {
        endpoint.membership.as_ref().is_some_and(|membership| {
            let is_under_way =
                matches!(membership.state, MemberState::Joining | MemberState::Ready);
            let model = formation::model_of(&membership.group, engine);
            is_under_way
                && model.is_some_and(|model| model.name == *name)
                && !endpoint.is_draining
                && !fleet.operators.evacuated().contains(&endpoint.data_centre)
        })
    })
}
