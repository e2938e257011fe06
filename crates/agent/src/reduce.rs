//! The reducer: applies an event to the state and returns the effects.

use std::collections::BTreeSet;
use std::sync::Arc;

use balsam_peer::StopSubject;
use balsam_state::LogEntry;
use balsam_types::Author;
use balsam_types::DataCentreName;
use balsam_types::Record;
use balsam_types::RecordKind;
use balsam_types::vm::VmList;

use crate::claims;
use crate::effect::Change;
use crate::effect::Effect;
use crate::event::AppendResult;
use crate::event::Event;
use crate::event::EventTime;
use crate::event::Observation;
use crate::evidence;
use crate::groups;
use crate::loads;
use crate::log;
use crate::plans;
use crate::retired_groups;
use crate::state::Agent;
use crate::table;

/// Interval between checks of groups, permit owners and plans.
const CONTROL_INTERVAL_MS: u64 = 500;

/// How long the submitter of a record waits for the verdict.
const SUBMIT_WAIT_MS: u64 = 5_000;

/// How long this node's own proposals stay queued; older ones are based on outdated state.
const OWN_PROPOSAL_MS: u64 = 30_000;

/// How long operators' records stay queued. Operators learn after [`SUBMIT_WAIT_MS`] that the
/// result is unknown and do not expect the record to take effect hours later.
const OPERATOR_RECORD_MS: u64 = 600_000;

/// Applies an event to the state and returns the effects.
pub fn reduce(agent: &mut Agent, at: EventTime, event: Event) -> Vec<Effect> {
    agent.log.started_ms.get_or_insert(at.now_ms);
    // Ticks come every 100 ms, so a longer gap between two events means the process was paused.
    let was_paused = agent
        .last_runs
        .event_ms
        .is_some_and(|last_ms| at.now_ms > last_ms + evidence::PAUSE_GAP_MS);
    agent.last_runs.event_ms = Some(at.now_ms);
    if was_paused {
        evidence::after_pause(agent);
    }
    let changes_before = agent.log.control_changes;
    let mut effects = apply(agent, at, event);
    if agent.log.control_changes != changes_before {
        retired_groups::track_retired(agent, at);
        effects.extend(update_drains(agent, at));
        effects.push(Effect::PublishTable(Arc::new(table::build(agent, at))));
    }
    effects.extend(agent.appends.next_append(at.now_ms));
    effects
}

fn apply(agent: &mut Agent, at: EventTime, event: Event) -> Vec<Effect> {
    match event {
        Event::Tick => tick(agent, at),
        Event::LogRead { started_ms, entries, first_append, next_append } => {
            log::handle_read(agent, at, started_ms, entries, first_append, next_append)
        }
        Event::LogReadFailed => log::handle_read_failure(agent, at),
        Event::PeerRecords { snapshot, entries } => {
            log::handle_peer_records(agent, at, snapshot, entries)
        }
        Event::Appended { batch_id, result } => handle_append_result(agent, at, batch_id, result),
        Event::VmList(list) => replace_vm_list(agent, &list),
        Event::Peers { members, observations, stops, summaries } => {
            agent.members = members;
            agent.stops = stops.into_iter().collect();
            agent.summaries = summaries;
            merge_observations(agent, observations);
            Vec::new()
        }
        Event::Probed { vm, started_ms, took_ms, result } => {
            evidence::handle_probe_result(agent, at, vm, started_ms, took_ms, result)
        }
        Event::Claim(request) => claims::request(agent, at, request),
        Event::ClaimDropped { waiter } => claims::handle_dropped(agent, at, waiter),
        Event::Complete { key, response } => claims::complete(agent, at, key, response),
        Event::Release { key } => claims::release(agent, at, key),
        Event::Submit { waiter, record } => submit(agent, at, waiter, *record),
        Event::Leave => {
            agent.leaving = true;
            vec![Effect::Publish(table::publish(agent, at))]
        }
    }
}

fn tick(agent: &mut Agent, at: EventTime) -> Vec<Effect> {
    retired_groups::tick(agent, at);
    let mut effects = evidence::start_probes(agent, at);
    effects.extend(claims::tick(agent, at));
    drop_stale_appends(agent, at);
    effects.extend(expire_submits(agent, at));
    if !agent.log.platform_reachable {
        effects.extend(log::fetch_records(agent, at));
    }
    let is_control_due =
        agent.last_runs.control_ms.is_none_or(|last_ms| at.now_ms >= last_ms + CONTROL_INTERVAL_MS);
    if agent.log.is_recovered && is_control_due {
        agent.last_runs.control_ms = Some(at.now_ms);
        effects.extend(run_control(agent, at));
    }
    effects.extend(update_drains(agent, at));
    effects.push(Effect::Publish(table::publish(agent, at)));
    effects.push(Effect::PublishTable(Arc::new(table::build(agent, at))));
    effects
}

/// Drops queued records that are outdated or whose ids the fold may have forgotten.
fn drop_stale_appends(agent: &mut Agent, at: EventTime) {
    let Agent { appends, claims, settings, incarnation, .. } = agent;
    let limits = &settings.limits;
    appends.drop_stale(at.now_ms, |record, waited_ms| match &record.kind {
        RecordKind::Claim { .. } => claims.awaits(&record.record_id),
        // The fold remembers ids for the whole window; half of it is left for late appends.
        RecordKind::Release { .. } => waited_ms < limits.claim_id_window_ms / 2,
        // A second completion is harmless, and without one repeats get no answer.
        RecordKind::Complete { .. } => waited_ms < limits.key_window_ms,
        _ if record.author == Author::Node(incarnation.clone()) => waited_ms < OWN_PROPOSAL_MS,
        _ => waited_ms < OPERATOR_RECORD_MS.min(limits.control_id_window_ms / 2),
    });
}

fn run_control(agent: &mut Agent, at: EventTime) -> Vec<Effect> {
    groups::forget_retired(agent);
    groups::track_missing(agent, at);
    loads::track_loading(agent, at);
    let mut effects = groups::update_serving(agent, at);
    groups::assign_owners(agent, at);
    effects.extend(groups::repair(agent, at));
    plans::advance(agent, at);
    propose_snapshot(agent, at);
    effects
}

/// Proposes a snapshot well before the log truncates the records that it covers.
fn propose_snapshot(agent: &mut Agent, at: EventTime) {
    let is_due = agent.log.records_since_snapshot >= agent.settings.snapshot_every_records;
    let is_queued =
        agent.appends.contains(|record| matches!(record.kind, RecordKind::Snapshot { .. }));
    if !is_due || is_queued || !agent.is_first_for("snapshot") {
        return;
    }
    let as_of = agent.folded();
    let state = agent.replicated.to_snapshot().into();
    let record = agent.record(at, "snapshot", None, RecordKind::Snapshot { as_of, state });
    agent.appends.push(record);
}

fn merge_observations(agent: &mut Agent, observations: Vec<Observation>) {
    for observation in observations {
        evidence::merge_observation(agent, observation);
    }
}

fn replace_vm_list(agent: &mut Agent, list: &VmList) -> Vec<Effect> {
    if list.as_of_ms < agent.vms_as_of_ms {
        // The platform's answers can arrive out of order; an older list would restore removed VMs.
        return Vec::new();
    }
    agent.vms_as_of_ms = list.as_of_ms;
    agent.probe_targets.as_of_ms = None;
    agent.vms = list.vms.iter().map(|vm| (vm.vm.clone(), vm.clone())).collect();
    let vms = &agent.vms;
    agent.observations.retain(|vm, _| vms.contains_key(vm));
    agent.own_observations.retain(|vm, _| vms.contains_key(vm));
    agent.last_probe_ms.retain(|vm, _| vms.contains_key(vm));
    agent.probe_took_ms.retain(|vm, _| vms.contains_key(vm));
    agent.last_order_ms.retain(|vm, _| vms.contains_key(vm));
    Vec::new()
}

fn handle_append_result(
    agent: &mut Agent,
    at: EventTime,
    batch_id: u64,
    result: AppendResult,
) -> Vec<Effect> {
    match result {
        AppendResult::Done { append, appended_at_ms } => {
            let records = agent.appends.in_flight(batch_id).map(<[Record]>::to_vec);
            agent.appends.mark_appended(batch_id);
            let is_next = agent.log.is_recovered && append == agent.log.next_append;
            match records {
                // A read would return the same batch: folding it now saves the round trip.
                Some(records) if is_next => {
                    let batch = LogEntry { append, appended_at_ms, records };
                    log::fold_all(agent, at, vec![batch])
                }
                _ => Vec::new(),
            }
        }
        AppendResult::Unknown => {
            let claims = &agent.claims;
            agent.appends.mark_unknown(batch_id, at.now_ms, |record| {
                !matches!(record.kind, RecordKind::Claim { .. }) || claims.awaits(&record.record_id)
            });
            Vec::new()
        }
    }
}

fn submit(agent: &mut Agent, at: EventTime, waiter: u64, record: Record) -> Vec<Effect> {
    agent.submits.insert(record.record_id, (waiter, at.now_ms + SUBMIT_WAIT_MS));
    let stops = plans::stops_of(agent, &record.kind);
    agent.appends.push(record);
    stops.into_iter().map(Effect::Stop).collect()
}

fn expire_submits(agent: &mut Agent, at: EventTime) -> Vec<Effect> {
    let expired = agent.submits.iter().filter(|(_, (_, give_up_ms))| at.now_ms >= *give_up_ms);
    let expired: Vec<_> = expired.map(|(id, (waiter, _))| (*id, *waiter)).collect();
    let mut effects = Vec::new();
    for (id, waiter) in expired {
        agent.submits.remove(&id);
        effects.push(Effect::AnswerSubmit { waiter, verdict: None, offset: None });
    }
    effects
}

/// Reports data centres that were drained or returned and withdraws their stop notices.
fn update_drains(agent: &mut Agent, at: EventTime) -> Vec<Effect> {
    let drained_in_log: BTreeSet<DataCentreName> =
        agent.replicated.drained_data_centres().map(|(name, _)| name.clone()).collect();
    let folded = agent.folded();
    let mut effects = Vec::new();
    for name in drained_in_log.difference(&agent.known_drained) {
        let change = Change::Drained { data_centre: name.clone(), drained: true };
        effects.push(Effect::ReportChange(change));
        // From this offset on the replicated state blocks new work, so the notice is not needed.
        let subject = StopSubject::DataCentre(name.clone());
        effects.push(Effect::ClearStop { subject, at: folded });
    }
    for name in agent.known_drained.difference(&drained_in_log) {
        let change = Change::Drained { data_centre: name.clone(), drained: false };
        effects.push(Effect::ReportChange(change));
        let subject = StopSubject::DataCentre(name.clone());
        effects.push(Effect::ClearStop { subject, at: folded });
        agent.returned_ms.insert(name.clone(), at.now_ms);
    }
    agent.returned_ms.retain(|name, _| !drained_in_log.contains(name));
    agent.known_drained = drained_in_log;
    effects
}
