//! Admission by work: which request waits, which is dispatched next, and which is refused.
//!
//! Handles callers that compete for too little room for seconds. See
//! `docs/design/admission-by-work.md`.

use balsam_types::VmName;

use crate::choice;
use crate::choice::PLAIN_QUEUE_LEN;
use crate::cost;
use crate::event::Arrival;
use crate::event::Effect;
use crate::event::Refusal;
use crate::event::RefuseReason;
use crate::event::WaitPrediction;
use crate::placement;
use crate::placement::Candidate;
use crate::reduce::dispatch;
use crate::reduce::refuse_quarantined;
use crate::reduce::refuse_unserved;
use crate::serving::RequestKind;
use crate::serving::Server;
use crate::state::Fleet;
use crate::waiting;
use crate::waiting::Entry;
use crate::waiting::prediction;
use crate::waiting::prediction::Backlog;

/// Number of queued requests for which an endpoint is looked for when one may have become free. Each
/// look compares all endpoints, and the smallest nodes have an eighth of a core.
const MAX_CONSIDERED: usize = 4;

/// Returns the work of a request in the unit in which capacity is counted: ms of a full group, or ms
/// of one slot of a plain service.
pub(crate) fn work_ms(fleet: &Fleet, kind: &RequestKind, arrival: &Arrival) -> f64 {
    let expected = cost::expected_work(fleet, arrival).filter(|_| kind.model.is_some());
    expected.map_or_else(|| fleet.waiting.residence_ms(kind), |(_, work)| work.total_ms())
}

/// Queues a request, or refuses it if it cannot be served while its caller waits.
pub(crate) fn enqueue(
    fleet: &mut Fleet,
    now_ms: u64,
    kind: &RequestKind,
    arrival: Arrival,
    effects: &mut Vec<Effect>,
) {
    let entry = entry(fleet, now_ms, kind, arrival);
    // Without an endpoint, a group that is being formed may still serve it.
    let has_endpoint = choice::capacity(fleet, now_ms, kind).total > 0;
    let mut backlog = backlog(fleet, now_ms, kind, &entry.arrival);
    backlog.ahead_ms += fleet.waiting.work_ahead_ms(now_ms, kind, &entry);
    if has_endpoint && !is_servable(now_ms, &entry, &backlog) {
        let refusal = refusal(fleet, now_ms, kind, &entry, &backlog);
        refuse_unserved(fleet, now_ms, &entry.arrival, refusal, effects);
    } else {
        fleet.waiting.insert(kind, entry);
    }
    serve(fleet, now_ms, kind, effects);
}

fn entry(fleet: &Fleet, now_ms: u64, kind: &RequestKind, arrival: Arrival) -> Entry {
    let dispatch_by_ms =
        prediction::dispatch_by_ms(now_ms, &arrival, service_ms(fleet, kind, &arrival));
    Entry {
        work_ms: work_ms(fleet, kind, &arrival),
        give_up_at_ms: arrival.deadline_at_ms,
        dispatch_by_ms,
        passed_over: 0,
        arrival,
    }
}

/// Returns the typical time from dispatch to what the target of a request counts to: the first event
/// of a group, or the answer of a plain service.
fn service_ms(fleet: &Fleet, kind: &RequestKind, arrival: &Arrival) -> f64 {
    let model_name = kind.model.as_ref();
    let group = model_name.and_then(|name| {
        let (_, engine) = fleet.engine_pool()?;
        Some((engine, engine.model(name)?))
    });
    let Some((engine, model)) = group else { return fleet.waiting.residence_ms(kind) };
    let busy = Candidate {
        in_flight: engine.slots.saturating_sub(1),
        unread_tokens: u64::from(engine.chunk_tokens),
        slots: engine.slots,
        pace: model.pace,
        distance_ms: 0.0,
        failure_share: 0.0,
        unwritten_tokens: 0,
        slowness: 1.0,
        plain_requests: 0.0,
    };
    placement::first_event_ms(engine, &busy, typical_tokens(fleet, kind, arrival))
}

/// Returns the prompt tokens of a request, at most those of a typical one: a large prompt must not be
/// refused for its own size.
fn typical_tokens(fleet: &Fleet, kind: &RequestKind, arrival: &Arrival) -> u32 {
    arrival.prompt_tokens.min(fleet.waiting.prompt_tokens(kind))
}

/// Returns what a request has to wait for if no queued one goes before it.
fn backlog(fleet: &Fleet, now_ms: u64, kind: &RequestKind, arrival: &Arrival) -> Backlog {
    let capacity = choice::capacity(fleet, now_ms, kind);
    // While all places of a plain service are taken, an answer takes as long as it does because of
    // the endpoints' own queues, so their places count as well.
    let units = match kind.model {
        Some(_) => capacity.servers,
        None => capacity.total.saturating_add(capacity.servers.saturating_mul(PLAIN_QUEUE_LEN)),
    };
    let prompt_tokens = typical_tokens(fleet, kind, arrival);
    let typical = Arrival { prompt_tokens, ..arrival.clone() };
    let read_wait_ms = choice::read_wait_ms(fleet, now_ms, kind, &typical);
    Backlog {
        // Full groups free one slot per request that they finish.
        ahead_ms: read_wait_ms.map_or(fleet.waiting.dispatched_work_ms(kind), |_| 0.0),
        read_wait_ms: read_wait_ms.unwrap_or(0.0),
        rate: f64::from(units) / f64::from(capacity.nodes.max(1)),
        arriving: fleet.waiting.arriving(now_ms, kind),
    }
}

fn is_servable(now_ms: u64, entry: &Entry, backlog: &Backlog) -> bool {
    prediction::is_servable(now_ms, &entry.arrival, entry.dispatch_by_ms, backlog)
}

/// Returns a refusal whose retry delay ends when there is room for the request.
fn refusal(
    fleet: &mut Fleet,
    now_ms: u64,
    kind: &RequestKind,
    entry: &Entry,
    backlog: &Backlog,
) -> Refusal {
    let limit_ms = prediction::retry_limit_ms(now_ms, &entry.arrival);
    let room_ms = fleet.waiting.promise_room(now_ms, kind, entry.work_ms, backlog, limit_ms);
    let retry_after_ms = prediction::retry_after_ms(&fleet.settings.node, &entry.arrival, room_ms);
    let wait_ms = backlog.wait_ms() as u64;
    let prediction = Some(WaitPrediction { wait_ms, work_ahead_ms: backlog.ahead_ms as u64 });
    Refusal { reason: RefuseReason::Overloaded, retry_after_ms, prediction }
}

/// Learns from an endpoint that turned a request away how many requests it has that are unknown here.
pub(crate) fn turned_away(fleet: &mut Fleet, now_ms: u64, vm: &VmName) {
    if !fleet.settings.load_policy.admits_by_work {
        return;
    }
    let Some((kind, server)) = fleet.serving.all().find(|(_, server)| server.vm == *vm) else {
        return;
    };
    let pool = fleet.configuration.as_ref().and_then(|c| c.pools.get(&kind.pool));
    let Some(limit) = pool.map(|pool| choice::max_in_flight(pool, server)) else { return };
    let known = fleet.loads.get(vm).map_or(0, |load| load.total(now_ms).0);
    fleet.hidden_load.turned_away(now_ms, vm, limit, known);
}

/// Dispatches queued requests while there is capacity.
///
/// A request that no group can read now is passed over for one that a group can, but only a few
/// times; then it is the next, and the others wait.
pub(crate) fn serve(fleet: &mut Fleet, now_ms: u64, kind: &RequestKind, effects: &mut Vec<Effect>) {
    while let Some((arrival, server)) = next(fleet, now_ms, kind, effects) {
        fleet.waiting.take(now_ms, kind, arrival.attempt_id);
        dispatch(fleet, now_ms, kind, arrival, &server, effects);
    }
}

/// Returns the request that is dispatched next and its server.
fn next(
    fleet: &mut Fleet,
    now_ms: u64,
    kind: &RequestKind,
    effects: &mut Vec<Effect>,
) -> Option<(Arrival, Server)> {
    for attempt_id in fleet.waiting.work_order(now_ms, kind).into_iter().take(MAX_CONSIDERED) {
        let entry = fleet.waiting.entry(kind, attempt_id)?;
        let (arrival, may_be_passed) = (entry.arrival.clone(), entry.may_be_passed_over());
        if refuse_quarantined(fleet, now_ms, kind, &arrival, effects) {
            continue;
        }
        if let Some(server) = choice::choose(fleet, now_ms, kind, &arrival) {
            return Some((arrival, server));
        }
        let waits_for_reading = choice::read_wait_ms(fleet, now_ms, kind, &arrival).is_some();
        let is_any_full = !waits_for_reading && arrival.tried.is_empty();
        if is_any_full || (waits_for_reading && !may_be_passed) {
            return None;
        }
    }
    None
}

/// Refuses queued requests that can no longer be served while their callers wait, as after the loss
/// of groups.
pub(crate) fn refuse_hopeless(
    fleet: &mut Fleet,
    now_ms: u64,
    kind: &RequestKind,
    effects: &mut Vec<Effect>,
) {
    let has_endpoint = choice::capacity(fleet, now_ms, kind).total > 0;
    let order = fleet.waiting.work_order(now_ms, kind);
    let Some(first) = order.first().and_then(|first| fleet.waiting.entry(kind, *first)) else {
        return;
    };
    // One look at the groups for all, as there may be many of both.
    let mut backlog = backlog(fleet, now_ms, kind, &first.arrival);
    for attempt_id in order {
        let Some(entry) = fleet.waiting.entry(kind, attempt_id).cloned() else { continue };
        let arrival = &entry.arrival;
        let keeps_waiting = arrival.is_retry || arrival.has_partial_answer;
        let refusal = if keeps_waiting {
            None
        } else if !has_endpoint && now_ms >= arrival.target_at_ms {
            Some(waiting::refusal(RefuseReason::NoEndpoint, waiting::NO_ENDPOINT_RETRY_MS))
        } else if has_endpoint && !is_servable(now_ms, &entry, &backlog) {
            Some(refusal(fleet, now_ms, kind, &entry, &backlog))
        } else {
            None
        };
        let Some(refusal) = refusal else {
            backlog.ahead_ms += entry.work_ms;
            continue;
        };
        fleet.waiting.remove(kind, attempt_id);
        refuse_unserved(fleet, now_ms, arrival, refusal, effects);
    }
}
