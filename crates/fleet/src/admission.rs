//! Which request waits, which is sent next, and which is refused.
//!
//! Handles callers that compete for too little room: bursts, and the loss of endpoints. The rule itself
//! is [`balsam_admit`]; here is what it needs to know of the fleet. See
//! `docs/decisions/0010-admission.md`.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use balsam_admit::Backlog;
use balsam_admit::CallerTime;
use balsam_admit::Service;
use balsam_types::VmName;

use crate::choice;
use crate::choice::PLAIN_QUEUE_LEN;
use crate::configuration::Engine;
use crate::configuration::Model;
use crate::cost;
use crate::event::Arrival;
use crate::event::AttemptId;
use crate::event::Refusal;
use crate::event::RefuseReason;
use crate::event::WaitPrediction;
use crate::placement;
use crate::placement::Candidate;
use crate::planner::LIST_SETTLE_MS;
use crate::serving::RequestKind;
use crate::serving::Server;
use crate::state::Fleet;
use crate::waiting::Entry;

/// Number of queued requests for which an endpoint is looked for when one may have become free. Each
/// look compares all endpoints, and the smallest nodes have an eighth of a core.
const MAX_CONSIDERED: usize = 4;

/// Time after which an endpoint of a plain service that starts again is listed.
const RELISTED_MS: f64 = 1_500.0;

/// What becomes of the first queued request that need not go on waiting.
pub(crate) enum Next {
    /// It is sent to this server.
    Send(Arrival, Server),
    /// It is refused, as its caller would leave before it is served.
    Refuse(Arrival, Refusal),
    /// It is refused, as its prompt may crash endpoints.
    Quarantined(AttemptId, Refusal),
}

/// Returns the work of a request in the unit in which capacity is counted.
///
/// Work at a group counts in ms of a full group where the deployment admits by work. Elsewhere, and at
/// plain services, each request counts as an average one, in ms of one place at an endpoint.
pub(crate) fn work_ms(fleet: &Fleet, kind: &RequestKind, arrival: &Arrival) -> f64 {
    let counts_work = kind.model.is_some() && fleet.settings.load_policy.admits_by_work;
    let expected = cost::expected_work(fleet, arrival).filter(|_| counts_work);
    expected.map_or_else(|| fleet.waiting.residence_ms(kind), |(_, work)| work.total_ms())
}

/// Queues a request, or returns its refusal if it would not be served while its caller stays.
pub(crate) fn enqueue(
    fleet: &mut Fleet,
    now_ms: u64,
    kind: &RequestKind,
    arrival: Arrival,
) -> Option<Refusal> {
    let entry = Entry { work_ms: work_ms(fleet, kind, &arrival), arrival };
    let ahead_ms = fleet.waiting.work_ahead_ms(now_ms, kind, &entry);
    let backlog = backlog(fleet, now_ms, kind, &entry.arrival);
    let backlog = backlog.map(|backlog| after(backlog, ahead_ms));
    let refusal = decide(fleet, now_ms, kind, &entry, backlog);
    if refusal.is_none() {
        fleet.waiting.insert(kind, entry);
    }
    refusal
}

/// Removes the queued requests of a kind that are not served while their callers stay any more, as
/// after the loss of endpoints; returns them with their refusals.
pub(crate) fn take_hopeless(
    fleet: &mut Fleet,
    now_ms: u64,
    kind: &RequestKind,
) -> Vec<(Arrival, Refusal)> {
    let mut refused = Vec::new();
    let order = fleet.waiting.order(now_ms, kind);
    let first = order.first().and_then(|first| fleet.waiting.entry(kind, *first));
    // One look at the endpoints for all that were not tried elsewhere, as there may be many of both.
    let common = first.map(|first| Arrival { tried: Vec::new(), ..first.arrival.clone() });
    let common = common.and_then(|arrival| backlog(fleet, now_ms, kind, &arrival));
    let mut ahead_ms = 0.0;
    for attempt_id in order {
        let Some(entry) = fleet.waiting.entry(kind, attempt_id).cloned() else { continue };
        let own = match entry.arrival.tried.is_empty() {
            true => common,
            false => backlog(fleet, now_ms, kind, &entry.arrival),
        };
        let own = own.map(|backlog| after(backlog, ahead_ms));
        match decide(fleet, now_ms, kind, &entry, own) {
            Some(refusal) => {
                fleet.waiting.remove(kind, attempt_id);
                refused.push((entry.arrival, refusal));
            }
            None => ahead_ms += entry.work_ms,
        }
    }
    refused
}

fn after(backlog: Backlog, ahead_ms: f64) -> Backlog {
    Backlog { ahead_ms: backlog.ahead_ms + ahead_ms, ..backlog }
}

/// Applies the rule of admission to a request; returns its refusal, or `None` if it waits.
///
/// A request whose caller has part of the answer waits until its deadline, as that part is lost
/// otherwise.
fn decide(
    fleet: &mut Fleet,
    now_ms: u64,
    kind: &RequestKind,
    entry: &Entry,
    backlog: Option<Backlog>,
) -> Option<Refusal> {
    let arrival = &entry.arrival;
    if now_ms >= arrival.deadline_at_ms {
        let (reason, prediction) = (RefuseReason::Deadline, None);
        return Some(Refusal { reason, retry_after_ms: 0, prediction });
    }
    if arrival.has_partial_answer {
        return None;
    }
    let service = service(fleet, kind, arrival);
    let caller = caller_time(now_ms, arrival);
    let Some(backlog) = backlog else {
        return Some(unserved(fleet, now_ms, kind, arrival));
    };
    if caller.is_served(&service, &backlog) {
        return None;
    }
    let promises = fleet.waiting.promises(kind);
    let room_ms = promises.room_ms(now_ms, &caller, &service, entry.work_ms, &backlog);
    let is_open = choice::capacity(fleet, now_ms, kind).total > 0;
    Some(Refusal {
        reason: if is_open { RefuseReason::Overloaded } else { RefuseReason::NoEndpoint },
        retry_after_ms: return_after_ms(fleet, now_ms, arrival, room_ms),
        prediction: Some(WaitPrediction {
            wait_ms: backlog.wait_ms() as u64,
            work_ahead_ms: backlog.ahead_ms as u64,
        }),
    })
}

/// Returns the refusal of a request that nothing serves. All endpoints were tried, and its caller may
/// return at once, or there are none, and it may when there are again.
fn unserved(fleet: &Fleet, now_ms: u64, kind: &RequestKind, arrival: &Arrival) -> Refusal {
    let untried = Arrival { tried: Vec::new(), ..arrival.clone() };
    let room_ms = match backlog(fleet, now_ms, kind, &untried) {
        Some(backlog) => backlog.wait_ms(),
        None => engine_and_model(fleet, kind)
            .map_or(RELISTED_MS, |(engine, model)| formation_ms(fleet, engine, model)),
    };
    let retry_after_ms = return_after_ms(fleet, now_ms, arrival, room_ms);
    Refusal { reason: RefuseReason::NoEndpoint, retry_after_ms, prediction: None }
}

/// Returns how long the planning node takes to have a group of a model that serves.
fn formation_ms(fleet: &Fleet, engine: &Engine, model: &Model) -> f64 {
    let is_staged = fleet.directory.iter().any(|endpoint| endpoint.staged.contains(&model.name));
    let load_ms = if is_staged { model.warm_ms } else { model.load_ms };
    LIST_SETTLE_MS.saturating_add(load_ms).saturating_add(engine.form_ms) as f64
}

/// Returns when a refused caller should return for which there is room after `room_ms`.
pub(crate) fn return_after_ms(fleet: &Fleet, now_ms: u64, arrival: &Arrival, room_ms: f64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&fleet.settings.node, arrival.attempt_id).hash(&mut hasher);
    let draw = hasher.finish() as f64 / u64::MAX as f64;
    let left_ms = caller_time(now_ms, arrival).whole_ms;
    balsam_admit::return_after_ms(left_ms, room_ms, draw) as u64
}

fn caller_time(now_ms: u64, arrival: &Arrival) -> CallerTime {
    let left_ms = |at_ms: u64| at_ms.saturating_sub(now_ms) as f64;
    CallerTime {
        first_ms: left_ms(arrival.first_event_by_ms),
        whole_ms: left_ms(arrival.deadline_at_ms),
    }
}

fn engine_and_model<'a>(fleet: &'a Fleet, kind: &RequestKind) -> Option<(&'a Engine, &'a Model)> {
    let (_, engine) = fleet.engine_pool()?;
    Some((engine, engine.model(kind.model.as_ref()?)?))
}

/// Returns how long a busy endpoint takes for a request.
fn service(fleet: &Fleet, kind: &RequestKind, arrival: &Arrival) -> Service {
    let Some((engine, model)) = engine_and_model(fleet, kind) else {
        let residence_ms = fleet.waiting.residence_ms(kind);
        return Service { first_ms: residence_ms, whole_ms: residence_ms };
    };
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
    let service = group_service(fleet, kind, arrival, engine, &busy);
    // A caller who leaves just before its answer begins has waited in vain.
    let usual_ms = fleet.waiting.usual_first_event(kind).longest_ms().unwrap_or(0) as f64;
    let first_ms = service.first_ms.max(usual_ms);
    Service { first_ms, whole_ms: service.whole_ms.max(first_ms) }
}

/// Returns how long a group takes for a request.
fn group_service(
    fleet: &Fleet,
    kind: &RequestKind,
    arrival: &Arrival,
    engine: &Engine,
    group: &Candidate,
) -> Service {
    let first_ms = placement::first_event_ms(engine, group, arrival.prompt_tokens);
    let tokens = f64::from(cost::answer_tokens(fleet, engine, arrival));
    let running = f64::from(group.in_flight.saturating_add(1).min(engine.slots));
    let write_ms = tokens * (engine.step_ms + running * engine.per_sequence_ms) * group.pace;
    // Callers' estimates are often far off, and one that is too long must not have them refused.
    let whole_ms = (first_ms + write_ms).min(fleet.waiting.residence_ms(kind)).max(first_ms);
    Service { first_ms, whole_ms }
}

/// Returns the refusal of a request whose caller would leave before a server that has room has served
/// it.
///
/// Only a model engine says how long it takes. A plain service that has become slow must go on to get
/// requests, or nothing would show that it is fast again.
pub(crate) fn refusal_at(
    fleet: &Fleet,
    now_ms: u64,
    kind: &RequestKind,
    arrival: &Arrival,
    server: &Server,
) -> Option<Refusal> {
    let (engine, _) = engine_and_model(fleet, kind)?;
    let group = choice::candidate(fleet, now_ms, server);
    let service = group_service(fleet, kind, arrival, engine, &group);
    let open = Backlog { opens_ms: 0.0, ahead_ms: 0.0, rate: f64::INFINITY };
    let caller = caller_time(now_ms, arrival);
    if arrival.has_partial_answer || caller.is_served(&service, &open) {
        return None;
    }
    Some(Refusal {
        reason: RefuseReason::Overloaded,
        retry_after_ms: return_after_ms(fleet, now_ms, arrival, 0.0),
        prediction: Some(WaitPrediction { wait_ms: 0, work_ahead_ms: 0 }),
    })
}

/// Returns what a request has to wait for if no queued one goes before it; `None` if nothing will serve
/// it.
fn backlog(fleet: &Fleet, now_ms: u64, kind: &RequestKind, arrival: &Arrival) -> Option<Backlog> {
    let nodes = f64::from(fleet.nodes(now_ms));
    if !fleet.directory.has_been_read() {
        // A node that has just started knows all endpoints a moment later.
        return Some(Backlog { opens_ms: 0.0, ahead_ms: 0.0, rate: f64::INFINITY });
    }
    let untried = |server: &&Server| !arrival.tried.contains(&server.vm);
    let usable = fleet.serving.of(kind).iter().filter(untried);
    let usable = usable.filter(|server| choice::is_usable(fleet, now_ms, server));
    let usable_units: f64 = usable.map(|server| units(fleet, kind, server.slots)).sum();
    if usable_units > 0.0 {
        // Full endpoints free one place per request that they finish.
        let ahead_ms = fleet.waiting.dispatched_work_ms(kind);
        return Some(Backlog { opens_ms: 0.0, ahead_ms, rate: usable_units / nodes });
    }
    let available = fleet.serving.of(kind).iter().filter(untried);
    let available = available.filter(|server| is_available(fleet, server)).map(|server| {
        // An endpoint without a pause is only suspected or unreachable for now.
        let opens_ms = fleet.pauses.left_ms(now_ms, &server.vm).unwrap_or(0);
        (opens_ms as f64, units(fleet, kind, server.slots))
    });
    let opening = available.chain(forming_groups(fleet, now_ms, kind));
    opening.fold(None, |backlog: Option<Backlog>, (opens_ms, units)| {
        let before = backlog.unwrap_or(Backlog { opens_ms, ahead_ms: 0.0, rate: 0.0 });
        let (opens_ms, rate) = (before.opens_ms.min(opens_ms), before.rate + units / nodes);
        Some(Backlog { opens_ms, rate, ..before })
    })
}

/// Returns the work that an endpoint does per ms, in the unit of [`work_ms`].
fn units(fleet: &Fleet, kind: &RequestKind, slots: u32) -> f64 {
    match kind.model {
        Some(_) if fleet.settings.load_policy.admits_by_work => 1.0,
        Some(_) => f64::from(slots),
        // While all places are taken, an answer takes as long as it does because of the endpoints' own
        // queues, so their places count as well.
        None => f64::from(slots.saturating_add(PLAIN_QUEUE_LEN)),
    }
}

/// Whether a server is neither evacuated nor the head of a lost group.
fn is_available(fleet: &Fleet, server: &Server) -> bool {
    let is_lost = |(group, epoch): &(_, u64)| fleet.suspicions.is_lost(group, *epoch);
    let is_evacuated = fleet.operators.evacuated().contains(&server.data_centre);
    !is_evacuated && !server.group.as_ref().is_some_and(is_lost)
}

/// Returns when each group that is being formed for a kind of request will serve, and the work that it
/// will do per ms.
fn forming_groups(fleet: &Fleet, now_ms: u64, kind: &RequestKind) -> Vec<(f64, f64)> {
    let Some((engine, model)) = engine_and_model(fleet, kind) else { return Vec::new() };
    let is_evacuated = |data_centre: &_| fleet.operators.evacuated().contains(data_centre);
    let groups = fleet.forming.of(now_ms, engine, model, is_evacuated);
    groups.map(|(opens_ms, slots)| (opens_ms as f64, units(fleet, kind, slots))).collect()
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
    let residence_ms = fleet.waiting.residence_ms(kind);
    fleet.hidden_load.turned_away(now_ms, vm, limit, known, residence_ms);
}

/// Takes the queued request that is next, if an endpoint takes it. One that has tried the endpoints with
/// room leaves them to those behind it.
pub(crate) fn take_next(
    fleet: &mut Fleet,
    now_ms: u64,
    kind: &RequestKind,
    check_quarantine: impl Fn(&mut Fleet, &Arrival) -> Option<Refusal>,
) -> Option<Next> {
    for attempt_id in fleet.waiting.order(now_ms, kind).into_iter().take(MAX_CONSIDERED) {
        let arrival = fleet.waiting.entry(kind, attempt_id)?.arrival.clone();
        if let Some(refusal) = check_quarantine(fleet, &arrival) {
            fleet.waiting.remove(kind, attempt_id);
            return Some(Next::Quarantined(attempt_id, refusal));
        }
        if let Some(server) = choice::choose(fleet, now_ms, kind, &arrival) {
            fleet.waiting.remove(kind, attempt_id);
            return Some(match refusal_at(fleet, now_ms, kind, &arrival, &server) {
                Some(refusal) => Next::Refuse(arrival, refusal),
                None => Next::Send(arrival, server),
            });
        }
        if arrival.tried.is_empty() {
            return None;
        }
    }
    None
}
