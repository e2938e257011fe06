//! The reducer: applies one event to the state and returns the effects to carry out.

use std::sync::Arc;

use balsam_types::VmName;

use crate::admission;
use crate::admission::Next;
use crate::choice;
use crate::choice::choose;
use crate::configuration::Configuration;
use crate::cost;
use crate::directory::LIST_OUTAGE_MS;
use crate::directory::ListChange;
use crate::endpoint::Endpoint;
use crate::evacuations;
use crate::event::Arrival;
use crate::event::AttemptId;
use crate::event::AttemptOutcome;
use crate::event::Decision;
use crate::event::Effect;
use crate::event::Event;
use crate::event::Leadership;
use crate::event::LeaseEvent;
use crate::event::ProbeAnswer;
use crate::event::Refusal;
use crate::event::RefuseReason;
use crate::event::Target;
use crate::losses;
use crate::peer_reports;
use crate::planner::View;
use crate::serving::RequestKind;
use crate::serving::Server;
use crate::serving::Serving;
use crate::state::Dispatched;
use crate::state::Fleet;

/// Applies an event to the state and returns the effects to carry out.
pub fn reduce(fleet: &mut Fleet, now_ms: u64, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    losses::note_own_pause(fleet, now_ms);
    match event {
        Event::Configuration(configuration) => {
            apply_configuration(fleet, configuration, &mut effects)
        }
        Event::List(change) => apply_list_change(fleet, now_ms, change, &mut effects),
        Event::ListRead { begun_ms } => fleet.directory.record_own_read(begun_ms),
        Event::Operators(update) => evacuations::apply_update(fleet, now_ms, update, &mut effects),
        Event::Arrive(arrival) => arrive(fleet, now_ms, arrival, &mut effects),
        Event::Started(attempt_id) => {
            if let Some(dispatched) = fleet.dispatched.get(&attempt_id)
                && let Some(first_event_ms) = fleet.loads.first_event_ms(now_ms, attempt_id)
            {
                fleet.waiting.started(&dispatched.kind, first_event_ms);
            }
            if let Some(vm) = fleet.loads.started(attempt_id) {
                if let Some(endpoint) = fleet.directory.get(&vm) {
                    fleet.reachability.answered(&endpoint.data_centre);
                }
                losses::heard_from(fleet, now_ms, &vm);
                fleet.quarantine.survived(now_ms, &vm);
            }
        }
        Event::Continued(attempt_id) => {
            if let Some(dispatched) = fleet.dispatched.get_mut(&attempt_id) {
                dispatched.has_continued = true;
                fleet.quarantine.survived(now_ms, &dispatched.vm);
                fleet.quarantine.answered(now_ms, &dispatched.arrival.segments);
            }
        }
        Event::Ended { attempt_id, outcome } => {
            end_attempt(fleet, now_ms, attempt_id, outcome, &mut effects)
        }
        Event::Peer(report) => peer_reports::apply(fleet, now_ms, report, &mut effects),
        Event::PeerSent { node, sent } => {
            // Requests of an unknown node are not counted, as no later report would remove them.
            if fleet.peers.contains_key(&node) {
                sent.iter().for_each(|sent| fleet.loads.peer_sent(now_ms, &node, sent));
            }
        }
        Event::EndpointLeaving(vm) => mark_leaving(fleet, vm, &mut effects),
        Event::EndpointPaused { vm, pause_ms } => {
            fleet.pauses.record(now_ms, &vm, pause_ms);
            effects.push(Effect::LogDecision(Decision::EndpointPaused { vm, pause_ms }));
        }
        Event::Probed { vm, is_alive } => {
            let answer = if is_alive { ProbeAnswer::Alive } else { ProbeAnswer::Refused };
            losses::probed(fleet, now_ms, &vm, answer, &mut effects)
        }
        Event::ProbeUnanswered(vm) => {
            losses::probed(fleet, now_ms, &vm, ProbeAnswer::Unanswered, &mut effects)
        }
        Event::QuarantineRead(evidence) => fleet.quarantine.apply_evidence(now_ms, &evidence),
        Event::StoreLost => fleet.store_lost_ms = Some(now_ms),
        Event::Lease(update) => apply_lease_event(fleet, now_ms, update, &mut effects),
        Event::OrderAnswered { vm, order, answer } => {
            losses::order_answered(fleet, now_ms, &vm, &order, answer)
        }
        Event::Tick => tick(fleet, now_ms, &mut effects),
    }
    losses::skip_paused_probes(fleet, now_ms, &mut effects);
    effects
}

/// Stops using an endpoint that announced that it is leaving; the list may show this much later or
/// never.
fn mark_leaving(fleet: &mut Fleet, vm: VmName, effects: &mut Vec<Effect>) {
    if let Some(endpoint) = fleet.directory.mark_leaving(&vm)
        && let Some(configuration) = &fleet.configuration
    {
        fleet.serving.put(endpoint, configuration);
        effects.push(Effect::LogDecision(Decision::EndpointLeaving { vm }));
    }
}

fn apply_lease_event(fleet: &mut Fleet, now_ms: u64, event: LeaseEvent, effects: &mut Vec<Effect>) {
    match event {
        LeaseEvent::Read { end, last } => fleet.lease.read(now_ms, end, last),
        LeaseEvent::Appended { sent_ms, at, era } => fleet.lease.appended(now_ms, sent_ms, at, era),
        LeaseEvent::Refused { end } => fleet.lease.refused(now_ms, end),
        LeaseEvent::Unanswered => fleet.lease.unanswered(),
        LeaseEvent::Released => _ = fleet.lease.release(now_ms),
    }
    update_leadership(fleet, now_ms, effects);
}

/// Tells the planner whether this node holds the lease.
fn update_leadership(fleet: &mut Fleet, now_ms: u64, effects: &mut Vec<Effect>) {
    let held = fleet.lease.held(now_ms);
    let leadership = held.map(|(generation, until_ms)| Leadership { generation, until_ms });
    let decision = fleet.planner.set_leadership(now_ms, leadership);
    effects.extend(decision.map(Effect::LogDecision));
}

fn apply_configuration(
    fleet: &mut Fleet,
    configuration: Arc<Configuration>,
    effects: &mut Vec<Effect>,
) {
    let is_newer = fleet.configuration.as_ref().is_none_or(|old| configuration.replaces(old));
    if !is_newer {
        return;
    }
    let (version, limits) = (configuration.version, configuration.limits);
    effects.push(Effect::LogDecision(Decision::Configuration { version, limits }));
    let faults = configuration.faults.iter().cloned();
    effects.extend(
        faults.map(|fault| Effect::LogDecision(Decision::ConfigurationFault { version, fault })),
    );
    fleet.serving = Serving::new(&fleet.directory, &configuration);
    fleet.configuration = Some(configuration);
}

fn apply_list_change(
    fleet: &mut Fleet,
    now_ms: u64,
    change: ListChange,
    effects: &mut Vec<Effect>,
) {
    if let ListChange::Put(endpoint) = &change {
        fleet.planner.record_head(now_ms, endpoint);
    }
    if let ListChange::Whole(endpoints) = &change {
        endpoints.iter().for_each(|endpoint| fleet.planner.record_head(now_ms, endpoint));
    }
    fleet.planner.expire_heads(now_ms, &fleet.directory);
    let away_ms = fleet.directory.age_ms(now_ms);
    if fleet.directory.has_been_read() && away_ms > LIST_OUTAGE_MS {
        effects.push(Effect::LogDecision(Decision::ListReturned { away_ms }));
    }
    let changed_vm = match &change {
        ListChange::Put(endpoint) => Some(endpoint.vm.clone()),
        _ => None,
    };
    let is_whole = matches!(change, ListChange::Whole(_) | ListChange::Restored(_));
    let applied = fleet.directory.apply(now_ms, change);
    remove_endpoints(fleet, now_ms, applied.removed, "no longer listed", effects);
    if !applied.is_changed {
        return;
    }
    if is_whole {
        rebuild_serving(fleet);
    }
    update_forming(fleet, now_ms);
    if let Some(vm) = changed_vm {
        // The entry has just changed, so the reason for the backoff may no longer apply.
        let load = fleet.loads.entry(&vm);
        load.backoff_until_ms = 0;
        load.misdirected_ms = None;
        if let (Some(endpoint), Some(configuration)) =
            (fleet.directory.get(&vm), &fleet.configuration)
        {
            fleet.serving.put(endpoint, configuration);
        }
    }
}

fn remove_endpoints(
    fleet: &mut Fleet,
    now_ms: u64,
    removed: Vec<Endpoint>,
    reason: &'static str,
    effects: &mut Vec<Effect>,
) {
    for endpoint in removed {
        effects
            .push(Effect::LogDecision(Decision::EndpointGone { vm: endpoint.vm.clone(), reason }));
        fleet.loads.forget(&endpoint.vm);
        fleet.paces.forget(&endpoint.vm);
        fleet.serving.remove(&endpoint.vm);
        fleet.planner.departed(now_ms, endpoint);
    }
}

fn update_forming(fleet: &mut Fleet, now_ms: u64) {
    let Fleet { configuration, directory, forming, .. } = fleet;
    let pools = configuration.iter().flat_map(|configuration| configuration.pools.values());
    if let Some(engine) = pools.filter_map(|pool| pool.engine.as_ref()).next() {
        forming.update(now_ms, directory, engine);
    }
}

fn rebuild_serving(fleet: &mut Fleet) {
    if let Some(configuration) = &fleet.configuration {
        fleet.serving = Serving::new(&fleet.directory, configuration);
    }
}

fn arrive(fleet: &mut Fleet, now_ms: u64, arrival: Arrival, effects: &mut Vec<Effect>) {
    let attempt_id = arrival.attempt_id;
    let kind = RequestKind { pool: arrival.pool.clone(), model: arrival.model.clone() };
    let refuse = |reason, retry_after_ms| {
        let refusal = Refusal { reason, retry_after_ms, prediction: None };
        Effect::Refuse { attempt_id, refusal }
    };
    if now_ms >= arrival.deadline_at_ms {
        effects.push(refuse(RefuseReason::Deadline, 0));
        return;
    }
    if let Some(refusal) = check_quarantine(fleet, now_ms, &arrival) {
        effects.push(Effect::Refuse { attempt_id, refusal });
        return;
    }
    let return_at_once_ms = admission::return_after_ms(fleet, now_ms, &arrival, 0.0);
    if arrival.is_optional && !choice::has_free_slot(fleet, now_ms, &kind, &arrival) {
        effects.push(refuse(RefuseReason::Overloaded, return_at_once_ms));
        return;
    }
    if arrival.is_retry {
        let queued = fleet.waiting.retries(&arrival.pool);
        if !fleet.budget(now_ms, &arrival.pool).has_room_beside(now_ms, queued) {
            // What the caller sends itself is a new request, which the budget does not limit.
            effects.push(refuse(RefuseReason::NoBudget, return_at_once_ms));
            return;
        }
    }
    if arrival.tried.is_empty() {
        count_demand(fleet, now_ms, &arrival);
    }
    if fleet.waiting.is_clear(&kind)
        && let Some(server) = choose(fleet, now_ms, &kind, &arrival)
    {
        match admission::refusal_at(fleet, now_ms, &kind, &arrival, &server) {
            Some(refusal) => refuse_unserved(fleet, now_ms, &arrival, refusal, effects),
            None => dispatch(fleet, now_ms, &kind, arrival, &server, effects),
        }
        return;
    }
    match admission::enqueue(fleet, now_ms, &kind, arrival.clone()) {
        Some(refusal) => refuse_unserved(fleet, now_ms, &arrival, refusal, effects),
        None => serve_waiting(fleet, now_ms, &kind, effects),
    }
}

/// Refuses a request for lack of endpoints, which the planning node learns of.
fn refuse_unserved(
    fleet: &mut Fleet,
    now_ms: u64,
    arrival: &Arrival,
    refusal: Refusal,
    effects: &mut Vec<Effect>,
) {
    if let Some((model, work)) = cost::expected_work(fleet, arrival) {
        fleet.demand.refused(now_ms, &model, &work);
    }
    effects.push(Effect::Refuse { attempt_id: arrival.attempt_id, refusal });
}

/// Returns the refusal of a request whose prompt is likely to crash the endpoint.
fn check_quarantine(fleet: &mut Fleet, now_ms: u64, arrival: &Arrival) -> Option<Refusal> {
    // The caller of a partial answer loses it if a mere suspicion keeps it from being continued.
    let is_retry = arrival.is_retry && !arrival.has_partial_answer;
    // The planning node is the only one of its kind, so one trial runs at a time.
    let may_try = fleet.planner.holds_lease(now_ms);
    let (attempt_id, segments) = (arrival.attempt_id, &arrival.segments);
    let left_ms = fleet.quarantine.check(now_ms, attempt_id, segments, is_retry, may_try)?;
    let (reason, retry_after_ms) = (RefuseReason::Quarantined, left_ms);
    Some(Refusal { reason, retry_after_ms, prediction: None })
}

fn count_demand(fleet: &mut Fleet, now_ms: u64, arrival: &Arrival) {
    if let Some((model, work)) = cost::expected_work(fleet, arrival) {
        fleet.demand.arrived(now_ms, &model, &work);
    }
}

fn dispatch(
    fleet: &mut Fleet,
    now_ms: u64,
    kind: &RequestKind,
    arrival: Arrival,
    server: &Server,
    effects: &mut Vec<Effect>,
) {
    let attempt_id = arrival.attempt_id;
    let prompt_tokens = arrival.prompt_tokens;
    if arrival.is_retry {
        fleet.budget(now_ms, &arrival.pool).spend(now_ms);
    }
    let work_ms = admission::work_ms(fleet, kind, &arrival);
    fleet.waiting.sent(kind, work_ms);
    if fleet.settings.load_policy.admits_by_work {
        fleet.waiting.granted(now_ms, kind, &arrival, work_ms);
    }
    let expected = cost::expected_cost(fleet, &arrival);
    let (progress_ms, events) =
        fleet.loads.start(now_ms, attempt_id, &server.vm, prompt_tokens, expected);
    let answer = expected.and_then(|expected| Some((expected.answer_tokens, expected.events?)));
    let (answer_tokens, expected_events) = answer.unzip();
    if now_ms < server.cold_until_ms {
        fleet.loads.entry(&server.vm).cold_allowance.spend();
    }
    let usual = match kind.model {
        Some(_) => fleet.waiting.usual_first_event(kind),
        None => fleet.waiting.usual_answer(kind),
    };
    let (kind, vm) = (kind.clone(), server.vm.clone());
    let dispatched = Dispatched { kind, vm, arrival, has_continued: false };
    fleet.dispatched.insert(attempt_id, dispatched);
    let (vm, address) = (server.vm.clone(), server.address);
    let target =
        Target { vm, address, progress_ms, events, expected_events, usual_ms: usual.longest_ms() };
    effects.push(Effect::Dispatch { attempt_id, target, prompt_tokens, answer_tokens });
}

/// Dispatches queued requests while there is capacity.
fn serve_waiting(fleet: &mut Fleet, now_ms: u64, kind: &RequestKind, effects: &mut Vec<Effect>) {
    let check = |fleet: &mut Fleet, arrival: &Arrival| check_quarantine(fleet, now_ms, arrival);
    while let Some(next) = admission::take_next(fleet, now_ms, kind, check) {
        match next {
            Next::Send(arrival, server) => dispatch(fleet, now_ms, kind, arrival, &server, effects),
            Next::Refuse(arrival, refusal) => {
                refuse_unserved(fleet, now_ms, &arrival, refusal, effects)
            }
            Next::Quarantined(attempt_id, refusal) => {
                effects.push(Effect::Refuse { attempt_id, refusal })
            }
        }
    }
}

fn end_attempt(
    fleet: &mut Fleet,
    now_ms: u64,
    attempt_id: AttemptId,
    outcome: AttemptOutcome,
    effects: &mut Vec<Effect>,
) {
    let Some(running) = fleet.loads.end(now_ms, attempt_id, outcome) else {
        fleet.waiting.cancel(attempt_id);
        return;
    };
    if outcome == AttemptOutcome::Closed && fleet.settings.load_policy.avoids_failing_endpoints {
        fleet.loads.entry(&running.vm).back_off_after_close(now_ms);
    }
    update_reachability(fleet, now_ms, &running.vm, outcome, effects);
    if outcome == AttemptOutcome::TurnedAway {
        admission::turned_away(fleet, now_ms, &running.vm);
    }
    let Some(dispatched) = fleet.dispatched.remove(&attempt_id) else { return };
    if outcome == AttemptOutcome::Closed {
        fleet.quarantine.closed(now_ms, &running.vm, running.sent_ms);
    }
    record_evidence(fleet, now_ms, &dispatched, outcome);
    cost::learn(fleet, now_ms, &dispatched.arrival, &running, outcome);
    let kind = dispatched.kind;
    if matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Failed) {
        losses::heard_from(fleet, now_ms, &running.vm);
        fleet.budget(now_ms, &kind.pool).record_success(now_ms);
        fleet.waiting.answered(&kind, now_ms.saturating_sub(running.sent_ms));
    }
    serve_waiting(fleet, now_ms, &kind, effects);
}

/// Records what the end of an attempt tells of the segments of its prompt.
fn record_evidence(
    fleet: &mut Fleet,
    now_ms: u64,
    dispatched: &Dispatched,
    outcome: AttemptOutcome,
) {
    let Dispatched { vm, arrival: Arrival { segments, .. }, .. } = dispatched;
    match outcome {
        AttemptOutcome::Answered => {
            fleet.quarantine.survived(now_ms, vm);
            fleet.quarantine.answered(now_ms, segments);
        }
        _ if dispatched.has_continued => {}
        AttemptOutcome::Closed => fleet.quarantine.crashed(now_ms, vm, segments),
        AttemptOutcome::Cancelled => fleet.quarantine.cancelled(now_ms, vm, segments),
        _ => {}
    }
}

/// Updates the reachability of an endpoint's data centre from the result of an attempt.
fn update_reachability(
    fleet: &mut Fleet,
    now_ms: u64,
    vm: &VmName,
    outcome: AttemptOutcome,
    effects: &mut Vec<Effect>,
) {
    let Some(endpoint) = fleet.directory.get(vm) else { return };
    let data_centre = &endpoint.data_centre;
    match outcome {
        // Failures within this node's own data centre are handled per endpoint.
        AttemptOutcome::Unreachable if *data_centre != fleet.settings.data_centre => {
            // A connection that was opened while this node was paused may have timed out.
            if !fleet.own_pauses.may_hide_answer(now_ms)
                && fleet.reachability.failed(now_ms, data_centre, vm)
            {
                let data_centre = data_centre.clone();
                effects.push(Effect::LogDecision(Decision::DataCentreCut { data_centre }));
            }
        }
        AttemptOutcome::Answered
        | AttemptOutcome::Failed
        | AttemptOutcome::Faulty
        | AttemptOutcome::TurnedAway
        | AttemptOutcome::Misdirected => {
            fleet.reachability.answered(data_centre);
        }
        AttemptOutcome::Unreachable
        | AttemptOutcome::Closed
        | AttemptOutcome::Broken
        | AttemptOutcome::Cancelled => {}
    }
}

fn tick(fleet: &mut Fleet, now_ms: u64, effects: &mut Vec<Effect>) {
    if let Some(paused_ms) = fleet.own_pauses.take_unlogged_ms() {
        effects.push(Effect::LogDecision(Decision::OwnPause { paused_ms }));
    }
    let removed = fleet.directory.expire(now_ms);
    remove_endpoints(fleet, now_ms, removed, "not listed again after an outage", effects);
    evacuations::expire(fleet, now_ms, effects);
    update_leadership(fleet, now_ms, effects);
    choice::refill_cold_allowances(fleet, now_ms);
    cost::update(fleet, now_ms);
    fleet.pauses.expire(now_ms);
    losses::repeat_due_probes(fleet, now_ms, effects);
    losses::probe_doubted_heads(fleet, now_ms, effects);
    losses::detect_silent_heads(fleet, now_ms, effects);
    enforce_quarantine(fleet, now_ms, effects);
    for kind in fleet.waiting.kinds() {
        serve_waiting(fleet, now_ms, &kind, effects);
    }
    for kind in fleet.waiting.kinds() {
        for (arrival, refusal) in admission::take_hopeless(fleet, now_ms, &kind) {
            refuse_unserved(fleet, now_ms, &arrival, refusal, effects);
        }
    }
    fleet.waiting.expire_shares(now_ms);
    fleet.hidden_load.expire(now_ms);
    plan(fleet, now_ms, effects);
}

/// Withdraws requests that were accepted before their segments were quarantined.
fn enforce_quarantine(fleet: &mut Fleet, now_ms: u64, effects: &mut Vec<Effect>) {
    let (quarantined, released) = fleet.quarantine.update(now_ms);
    effects.extend(
        quarantined.into_iter().map(|b| Effect::LogDecision(Decision::SegmentQuarantined(b))),
    );
    let released = released.into_iter().map(|segment| Decision::SegmentReleased { segment });
    effects.extend(released.map(Effect::LogDecision));
    if !fleet.quarantine.is_active() {
        return;
    }
    let Fleet { dispatched, quarantine, .. } = &*fleet;
    let endangering = dispatched.iter().filter(|(attempt_id, dispatched)| {
        !dispatched.has_continued && quarantine.forbids(**attempt_id, &dispatched.arrival.segments)
    });
    effects.extend(endangering.map(|(id, _)| Effect::Abandon { attempt_id: *id }));
    for kind in fleet.waiting.kinds() {
        let is_forbidden =
            |arrival: &&Arrival| fleet.quarantine.forbids(arrival.attempt_id, &arrival.segments);
        let forbidden: Vec<Arrival> =
            fleet.waiting.of(&kind).filter(is_forbidden).cloned().collect();
        for arrival in forbidden {
            if let Some(refusal) = check_quarantine(fleet, now_ms, &arrival) {
                fleet.waiting.remove(&kind, arrival.attempt_id);
                effects.push(Effect::Refuse { attempt_id: arrival.attempt_id, refusal });
            }
        }
    }
}

fn plan(fleet: &mut Fleet, now_ms: u64, effects: &mut Vec<Effect>) {
    let heads = fleet.head_verdicts(now_ms);
    let Fleet { configuration, directory, demand, suspicions, planner, operators, .. } = fleet;
    let Some(configuration) = configuration else { return };
    let evacuated = operators.evacuated();
    for pool in configuration.pools.values() {
        if let Some(engine) = &pool.engine {
            let pool = &pool.name;
            let view = View {
                now_ms,
                directory,
                pool,
                engine,
                demand,
                suspicions,
                evacuated,
                heads: &heads,
            };
            effects.extend(planner.plan(&view));
        }
    }
}
