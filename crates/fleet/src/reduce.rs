//! The reducer: one event in, the effects to carry out.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use balsam_types::DataCentreName;
use balsam_types::VmName;

use crate::choice::choose;
use crate::choice::places;
use crate::choice::read_wait_ms;
use crate::configuration::Configuration;
use crate::demand;
use crate::directory::LIST_SILENCE_MS;
use crate::directory::ListChange;
use crate::endpoint::Endpoint;
use crate::event::Arrival;
use crate::event::AttemptEnd;
use crate::event::Effect;
use crate::event::Event;
use crate::event::Leadership;
use crate::event::LeaseNews;
use crate::event::Note;
use crate::event::OrderAnswer;
use crate::event::PeerReport;
use crate::event::RefuseReason;
use crate::event::Scope;
use crate::event::Target;
use crate::event::Ticket;
use crate::losses;
use crate::operators::Evacuation;
use crate::operators::OperatorsNews;
use crate::planner::View;
use crate::servability;
use crate::serving::Kind;
use crate::serving::Server;
use crate::serving::Serving;
use crate::state::Fleet;
use crate::state::Peer;
use crate::state::rank_of;
use crate::waiting;

/// Applies an event to the state and returns what is to be done.
pub fn reduce(fleet: &mut Fleet, now_ms: u64, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    match event {
        Event::Configuration(configuration) => configure(fleet, configuration, &mut effects),
        Event::List(change) => list(fleet, now_ms, change, &mut effects),
        Event::Operators(news) => operators(fleet, now_ms, news, &mut effects),
        Event::Arrive(arrival) => arrive(fleet, now_ms, arrival, &mut effects),
        Event::Started(ticket) => {
            if let Some(vm) = fleet.loads.started(ticket) {
                if let Some(endpoint) = fleet.directory.get(&vm) {
                    fleet.reach.answered(&endpoint.data_centre);
                }
                heard(fleet, now_ms, &vm);
            }
        }
        Event::Ended { ticket, end } => ended(fleet, now_ms, ticket, end, &mut effects),
        Event::Peer(report) => peer(fleet, now_ms, report, &mut effects),
        Event::PeerSent { node, sent } => {
            // Of an unknown node nothing is counted, as nothing would ever be taken off again.
            if fleet.peers.contains_key(&node) {
                sent.iter().for_each(|sent| fleet.loads.peer_sent(now_ms, &node, sent));
            }
        }
        Event::Leaves(vm) => leaves(fleet, vm, &mut effects),
        Event::Pauses { vm, pause_ms } => {
            fleet.pauses.ask(now_ms, &vm, pause_ms);
            effects.push(Effect::Note(Note::EndpointPauses { vm, pause_ms }));
        }
        Event::Probed { vm, is_alive } => {
            losses::probed(fleet, now_ms, &vm, is_alive, &mut effects)
        }
        Event::StoreLost => fleet.store_lost_ms = Some(now_ms),
        Event::Lease(news) => lease(fleet, now_ms, news, &mut effects),
        Event::OrderAnswered { vm, order, answer } => {
            if matches!(answer, OrderAnswer::Accepted | OrderAnswer::Refused) {
                heard(fleet, now_ms, &vm);
            }
            fleet.planner.answered(now_ms, &vm, &order, answer);
        }
        Event::Tick => tick(fleet, now_ms, &mut effects),
    }
    losses::spare_paused(fleet, now_ms, &mut effects);
    effects
}

/// Uses an endpoint no more that leaves; the list may show it much later, or never.
fn leaves(fleet: &mut Fleet, vm: VmName, effects: &mut Vec<Effect>) {
    if let Some(endpoint) = fleet.directory.leaves(&vm)
        && let Some(configuration) = &fleet.configuration
    {
        fleet.serving.put(endpoint, configuration);
        effects.push(Effect::Note(Note::EndpointLeaves { vm }));
    }
}

fn heard(fleet: &mut Fleet, now_ms: u64, vm: &VmName) {
    if let Some(endpoint) = fleet.directory.get(vm) {
        fleet.planner.heard(now_ms, &endpoint.data_centre);
    }
}

fn lease(fleet: &mut Fleet, now_ms: u64, news: LeaseNews, effects: &mut Vec<Effect>) {
    match news {
        LeaseNews::Read { end, last } => fleet.lease.read(now_ms, end, last),
        LeaseNews::Appended { sent_ms, at } => fleet.lease.appended(now_ms, sent_ms, at),
        LeaseNews::Refused { end } => fleet.lease.refused(now_ms, end),
        LeaseNews::Unanswered => fleet.lease.unanswered(),
        LeaseNews::Released => _ = fleet.lease.release(now_ms),
    }
    follow_lease(fleet, now_ms, effects);
}

/// Lets the planner know whether this node may give orders.
fn follow_lease(fleet: &mut Fleet, now_ms: u64, effects: &mut Vec<Effect>) {
    let held = fleet.lease.held(now_ms);
    let leadership = held.map(|(generation, until_ms)| Leadership { generation, until_ms });
    let note = fleet.planner.lead(now_ms, leadership);
    effects.extend(note.map(Effect::Note));
}

fn configure(fleet: &mut Fleet, configuration: Arc<Configuration>, effects: &mut Vec<Effect>) {
    let is_newer = fleet.configuration.as_ref().is_none_or(|old| configuration.replaces(old));
    if !is_newer {
        return;
    }
    effects.push(Effect::Note(Note::Configuration { version: configuration.version }));
    fleet.serving = Serving::new(&fleet.directory, &configuration);
    fleet.configuration = Some(configuration);
}

fn operators(fleet: &mut Fleet, now_ms: u64, news: OperatorsNews, effects: &mut Vec<Effect>) {
    let unconfirmed_ms = fleet.operators.age_ms(now_ms);
    let changes = fleet.operators.apply(news);
    effects.extend(evacuation_notes(changes, unconfirmed_ms, None));
}

fn evacuation_notes(
    changes: Vec<Evacuation>,
    unconfirmed_ms: Option<u64>,
    told_by: Option<&Arc<str>>,
) -> impl Iterator<Item = Effect> {
    changes.into_iter().map(move |Evacuation { data_centre, is_out }| {
        let told_by = told_by.cloned();
        Effect::Note(Note::Evacuation { data_centre, is_out, unconfirmed_ms, told_by })
    })
}

fn list(fleet: &mut Fleet, now_ms: u64, change: ListChange, effects: &mut Vec<Effect>) {
    if let ListChange::Put(endpoint) = &change {
        fleet.planner.remember_head(now_ms, endpoint);
    }
    if let ListChange::Whole(endpoints) = &change {
        endpoints.iter().for_each(|endpoint| fleet.planner.remember_head(now_ms, endpoint));
    }
    let away_ms = fleet.directory.age_ms(now_ms);
    if fleet.directory.is_known() && away_ms > LIST_SILENCE_MS {
        effects.push(Effect::Note(Note::ListReturned { away_ms }));
    }
    let put = match &change {
        ListChange::Put(endpoint) => Some(endpoint.vm.clone()),
        _ => None,
    };
    let is_whole = matches!(change, ListChange::Whole(_));
    let applied = fleet.directory.apply(now_ms, change);
    forget(fleet, now_ms, applied.gone, "not listed", effects);
    if !applied.is_changed {
        return;
    }
    if is_whole {
        refresh(fleet);
    }
    if let Some(vm) = put {
        // The reason to avoid it may be gone: its entry has just changed.
        fleet.loads.entry(&vm).avoid_until_ms = 0;
        if let (Some(endpoint), Some(configuration)) =
            (fleet.directory.get(&vm), &fleet.configuration)
        {
            fleet.serving.put(endpoint, configuration);
        }
    }
}

fn forget(
    fleet: &mut Fleet,
    now_ms: u64,
    gone: Vec<Endpoint>,
    reason: &'static str,
    effects: &mut Vec<Effect>,
) {
    for endpoint in gone {
        effects.push(Effect::Note(Note::EndpointGone { vm: endpoint.vm.clone(), reason }));
        fleet.loads.forget(&endpoint.vm);
        fleet.serving.remove(&endpoint.vm);
        fleet.planner.departed(now_ms, endpoint);
    }
}

fn refresh(fleet: &mut Fleet) {
    if let Some(configuration) = &fleet.configuration {
        fleet.serving = Serving::new(&fleet.directory, configuration);
    }
}

fn arrive(fleet: &mut Fleet, now_ms: u64, arrival: Arrival, effects: &mut Vec<Effect>) {
    let ticket = arrival.ticket;
    let kind = Kind { pool: arrival.pool.clone(), model: arrival.model.clone() };
    let refuse = |reason, wait_ms| {
        let refusal = waiting::refusal(reason, wait_ms);
        Effect::Refuse { ticket, refusal }
    };
    if now_ms >= arrival.deadline_at_ms {
        effects.push(refuse(RefuseReason::Deadline, 0));
        return;
    }
    if arrival.is_repeat {
        let budget = fleet.budget(now_ms, &arrival.pool);
        if !budget.has_room(now_ms) {
            effects.push(refuse(RefuseReason::NoBudget, 0));
            return;
        }
        budget.spend(now_ms);
    }
    if arrival.tried.is_empty() {
        count_demand(fleet, now_ms, &arrival);
    }
    if fleet.waiting.next(now_ms, &kind).is_none()
        && let Some(server) = choose(fleet, now_ms, &kind, &arrival)
    {
        dispatch(fleet, now_ms, &kind, arrival, &server, effects);
        return;
    }
    if let Some(refusal) = servability::refusal(fleet, now_ms, &kind, &arrival) {
        effects.push(Effect::Refuse { ticket, refusal });
        return;
    }
    let places = places(fleet, now_ms, &kind);
    if places.total == 0 && !arrival.is_repeat && now_ms >= arrival.target_at_ms {
        effects.push(refuse(RefuseReason::NoEndpoint, waiting::NO_ENDPOINT_RETRY_MS));
        return;
    }
    let wait_ms = match (places.total, read_wait_ms(fleet, now_ms, &kind, &arrival)) {
        // Nothing serves it now; a group that is being formed may within the target.
        (0, _) => 0,
        (_, Some(read_wait_ms)) => fleet.waiting.predicted_read_ms(&kind, read_wait_ms),
        (_, None) => fleet.waiting.predicted_ms(&kind, places),
    };
    if let Err(refusal) = fleet.waiting.offer(now_ms, &kind, arrival, wait_ms) {
        effects.push(Effect::Refuse { ticket, refusal });
    }
    serve_waiting(fleet, now_ms, &kind, effects);
}

fn count_demand(fleet: &mut Fleet, now_ms: u64, arrival: &Arrival) {
    let Some(name) = &arrival.model else { return };
    let Some((_, engine)) = fleet.engine_pool() else { return };
    let Some(model) = engine.model(name) else { return };
    let work = demand::work(engine, model, arrival.prompt_tokens, arrival.answer_tokens);
    fleet.demand.arrived(now_ms, name, &work);
}

fn dispatch(
    fleet: &mut Fleet,
    now_ms: u64,
    kind: &Kind,
    arrival: Arrival,
    server: &Server,
    effects: &mut Vec<Effect>,
) {
    let ticket = arrival.ticket;
    let prompt_tokens = arrival.prompt_tokens;
    let progress_ms = fleet.loads.start(now_ms, ticket, &server.vm, prompt_tokens);
    if now_ms < server.cold_until_ms {
        fleet.loads.entry(&server.vm).cold.spend();
    }
    let is_first = fleet.loads.get(&server.vm).is_some_and(|load| load.in_flight == 1);
    if is_first {
        // Silence counts from the first request, not from the last event before it.
        progress_ms.store(now_ms, Ordering::Relaxed);
    }
    fleet.kinds.insert(ticket, (kind.clone(), arrival));
    let target = Target { vm: server.vm.clone(), address: server.address, progress_ms };
    effects.push(Effect::Dispatch { ticket, target, prompt_tokens });
}

/// Gives free places to waiting requests.
fn serve_waiting(fleet: &mut Fleet, now_ms: u64, kind: &Kind, effects: &mut Vec<Effect>) {
    while let Some(arrival) = fleet.waiting.next(now_ms, kind).cloned() {
        let Some(server) = choose(fleet, now_ms, kind, &arrival) else {
            return;
        };
        fleet.waiting.remove(kind, arrival.ticket);
        dispatch(fleet, now_ms, kind, arrival, &server, effects);
    }
}

fn ended(
    fleet: &mut Fleet,
    now_ms: u64,
    ticket: Ticket,
    end: AttemptEnd,
    effects: &mut Vec<Effect>,
) {
    let Some(running) = fleet.loads.end(now_ms, ticket, end) else {
        fleet.waiting.cancel(ticket);
        return;
    };
    note_reach(fleet, now_ms, &running.vm, end, effects);
    let Some((kind, _)) = fleet.kinds.remove(&ticket) else { return };
    if matches!(end, AttemptEnd::Answered | AttemptEnd::Failed) {
        heard(fleet, now_ms, &running.vm);
        fleet.budget(now_ms, &kind.pool).succeeded(now_ms);
        fleet.waiting.answered(&kind, now_ms.saturating_sub(running.sent_ms));
    }
    serve_waiting(fleet, now_ms, &kind, effects);
}

/// Learns from the end of an attempt whether the data centre of its endpoint can be reached.
fn note_reach(
    fleet: &mut Fleet,
    now_ms: u64,
    vm: &VmName,
    end: AttemptEnd,
    effects: &mut Vec<Effect>,
) {
    let Some(endpoint) = fleet.directory.get(vm) else { return };
    let data_centre = &endpoint.data_centre;
    match end {
        // Endpoints of the own data centre fail one by one.
        AttemptEnd::Unreachable if *data_centre != fleet.settings.data_centre => {
            if fleet.reach.failed(now_ms, data_centre, vm) {
                let data_centre = data_centre.clone();
                effects.push(Effect::Note(Note::DataCentreCut { data_centre }));
            }
        }
        AttemptEnd::Answered
        | AttemptEnd::Failed
        | AttemptEnd::Faulty
        | AttemptEnd::TurnedAway
        | AttemptEnd::Misdirected => {
            fleet.reach.answered(data_centre);
        }
        AttemptEnd::Unreachable | AttemptEnd::Broken | AttemptEnd::Cancelled => {}
    }
}

fn peer(fleet: &mut Fleet, now_ms: u64, report: PeerReport, effects: &mut Vec<Effect>) {
    fleet.lease.heard(now_ms, report.lease_end, report.lease_released);
    let unconfirmed_ms = fleet.operators.age_ms(now_ms);
    let is_direct = report.scope == Scope::Node;
    let changes = fleet.operators.hear(now_ms, &report.operators, is_direct);
    effects.extend(evacuation_notes(changes, unconfirmed_ms, Some(&report.node)));
    for lost in &report.lost {
        losses::hear_lost(fleet, now_ms, &report.node, lost, effects);
    }
    let is_own_centre = report.data_centre == fleet.settings.data_centre;
    match report.scope {
        // The nodes of the own data centre report each for itself.
        Scope::DataCentre { .. } if is_own_centre => return,
        Scope::DataCentre { .. } => forget_nodes_of(fleet, &report.data_centre),
        Scope::Node if fleet.has_summary(now_ms, &report.data_centre) => return,
        Scope::Node => {}
    }
    fleet.loads.report(now_ms, &report);
    let PeerReport { node, data_centre, scope, has_store, demand, lost, .. } = report;
    fleet.demand.report(now_ms, &node, demand);
    let peer = Peer { heard_ms: now_ms, data_centre, scope, has_store, lost };
    fleet.peers.insert(node, peer);
}

/// Forgets the single nodes of a data centre, whose summary takes their place.
fn forget_nodes_of(fleet: &mut Fleet, data_centre: &DataCentreName) {
    let is_single = |peer: &Peer| peer.scope == Scope::Node && peer.data_centre == *data_centre;
    let names: Vec<Arc<str>> = fleet
        .peers
        .iter()
        .filter(|(_, peer)| is_single(peer))
        .map(|(name, _)| name.clone())
        .collect();
    for name in names {
        fleet.peers.remove(&name);
        fleet.loads.forget_peer(&name);
        fleet.demand.forget_peer(&name);
    }
}

fn tick(fleet: &mut Fleet, now_ms: u64, effects: &mut Vec<Effect>) {
    let gone = fleet.directory.expire(now_ms);
    forget(fleet, now_ms, gone, "not listed again", effects);
    follow_lease(fleet, now_ms, effects);
    fill_cold(fleet, now_ms);
    fleet.pauses.expire(now_ms);
    losses::watch_heads(fleet, now_ms, effects);
    for kind in fleet.waiting.kinds() {
        serve_waiting(fleet, now_ms, &kind, effects);
    }
    let mut unserved = fleet.waiting.kinds();
    unserved.retain(|kind| places(fleet, now_ms, kind).total == 0);
    for kind in &unserved {
        refuse_unservable(fleet, now_ms, kind, effects);
    }
    for (ticket, refusal) in fleet.waiting.expired(now_ms, |kind| !unserved.contains(kind)) {
        effects.push(Effect::Refuse { ticket, refusal });
    }
    plan(fleet, now_ms, effects);
}

/// Turns away the requests of a kind that can no longer be served in their time.
fn refuse_unservable(fleet: &mut Fleet, now_ms: u64, kind: &Kind, effects: &mut Vec<Effect>) {
    let refused: Vec<_> = fleet
        .waiting
        .of(kind)
        .filter_map(|arrival| {
            let refusal = servability::refusal(fleet, now_ms, kind, arrival)?;
            Some((arrival.ticket, refusal))
        })
        .collect();
    for (ticket, refusal) in refused {
        fleet.waiting.remove(kind, ticket);
        effects.push(Effect::Refuse { ticket, refusal });
    }
}

/// Lets this node's part of the limits of cold starts grow.
fn fill_cold(fleet: &mut Fleet, now_ms: u64) {
    let nodes = f64::from(fleet.nodes(now_ms));
    let Some(configuration) = fleet.configuration.clone() else { return };
    let cold = fleet.serving.all().filter(|(_, server)| now_ms < server.cold_until_ms);
    let cold: Vec<_> = cold.map(|(kind, s)| (kind.pool.clone(), s.vm.clone())).collect();
    for (pool, vm) in cold {
        let rate_per_s = configuration.pools.get(&pool).map_or(0.0, |pool| pool.cold_per_s);
        let phase = phase(&fleet.settings.node, &vm);
        fleet.loads.entry(&vm).cold.fill(now_ms, rate_per_s / nodes, phase);
    }
}

/// Returns a level from 0 to 1 that differs between nodes and endpoints.
fn phase(node: &str, vm: &VmName) -> f64 {
    rank_of(node, vm) as f64 / u64::MAX as f64
}

fn plan(fleet: &mut Fleet, now_ms: u64, effects: &mut Vec<Effect>) {
    let Fleet { configuration, directory, demand, suspicions, planner, operators, .. } = fleet;
    let Some(configuration) = configuration else { return };
    let evacuated = operators.evacuated();
    for pool in configuration.pools.values() {
        if let Some(engine) = &pool.engine {
            let pool = &pool.name;
            let view = View { now_ms, directory, pool, engine, demand, suspicions, evacuated };
            effects.extend(planner.plan(&view));
        }
    }
}
