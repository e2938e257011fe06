//! The one reducer: an event changes the state and yields effects.

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
use crate::event::At;
use crate::event::Event;
use crate::event::Observation;
use crate::evidence;
use crate::groups;
use crate::loads;
use crate::log;
use crate::plans;
use crate::retired_groups;
use crate::state::Agent;
use crate::table;

/// How often groups, owners and plans are looked after.
const CONTROL_INTERVAL_MS: u64 = 500;

/// How long a submitted record may take until its verdict is known.
const SUBMIT_WAIT_MS: u64 = 5_000;

/// How long this node's own proposals are sent; later they would rest on a state of the past.
const OWN_PROPOSAL_MS: u64 = 30_000;

/// How long operators' records are sent. They were told after [`SUBMIT_WAIT_MS`] that the result
/// is unknown, and do not expect it to change hours later.
const OPERATOR_RECORD_MS: u64 = 600_000;

/// Applies one event.
pub fn reduce(agent: &mut Agent, at: At, event: Event) -> Vec<Effect> {
    agent.log.started_ms.get_or_insert(at.now_ms);
    // Ticks come every 100 ms, so a gap between any two events means that the process was paused.
    let was_paused =
        agent.jobs.event_ms.is_some_and(|last_ms| at.now_ms > last_ms + evidence::PAUSE_GAP_MS);
    agent.jobs.event_ms = Some(at.now_ms);
    if was_paused {
        evidence::after_pause(agent);
    }
    let changes_before = agent.log.control_changes;
    let mut effects = apply(agent, at, event);
    if agent.log.control_changes != changes_before {
        retired_groups::note_retired(agent, at);
        effects.extend(note_drains(agent, at));
        effects.push(Effect::UseTable(Arc::new(table::build(agent, at))));
    }
    effects.extend(agent.appends.next_append(at.now_ms));
    effects
}

fn apply(agent: &mut Agent, at: At, event: Event) -> Vec<Effect> {
    match event {
        Event::Tick => tick(agent, at),
        Event::LogRead { started_ms, entries, first_append, next_append } => {
            log::read(agent, at, started_ms, entries, first_append, next_append)
        }
        Event::LogReadFailed => log::read_failed(agent, at),
        Event::PeerRecords { snapshot, entries } => log::from_peer(agent, at, snapshot, entries),
        Event::Appended { batch_id, result } => appended(agent, at, batch_id, result),
        Event::VmList(list) => vm_list(agent, &list),
        Event::Peers { members, observations, stops, summaries } => {
            agent.members = members;
            agent.stops = stops.into_iter().collect();
            agent.summaries = summaries;
            observed(agent, observations);
            Vec::new()
        }
        Event::Probed { vm, started_ms, took_ms, result } => {
            evidence::probed(agent, at, vm, started_ms, took_ms, result)
        }
        Event::Claim(ask) => claims::ask(agent, at, ask),
        Event::ClaimDropped { waiter } => claims::dropped(agent, at, waiter),
        Event::Complete { key, response } => claims::complete(agent, at, key, response),
        Event::Release { key } => claims::release(agent, at, key),
        Event::Submit { waiter, record } => submit(agent, at, waiter, *record),
        Event::Leave => {
            agent.leaving = true;
            vec![Effect::Publish(table::publish(agent, at))]
        }
    }
}

fn tick(agent: &mut Agent, at: At) -> Vec<Effect> {
    retired_groups::tick(agent, at);
    let mut effects = evidence::probes(agent, at);
    effects.extend(claims::tick(agent, at));
    drop_stale_appends(agent, at);
    effects.extend(submits_tick(agent, at));
    if !agent.log.platform_reachable {
        effects.extend(log::fetch(agent, at));
    }
    let control_due =
        agent.jobs.control_ms.is_none_or(|last_ms| at.now_ms >= last_ms + CONTROL_INTERVAL_MS);
    if agent.log.recovered && control_due {
        agent.jobs.control_ms = Some(at.now_ms);
        effects.extend(control(agent, at));
    }
    effects.extend(note_drains(agent, at));
    effects.push(Effect::Publish(table::publish(agent, at)));
    effects.push(Effect::UseTable(Arc::new(table::build(agent, at))));
    effects
}

/// Stops sending records that are out of date or whose ids the fold may have forgotten.
fn drop_stale_appends(agent: &mut Agent, at: At) {
    let Agent { appends, claims, settings, me, .. } = agent;
    let limits = &settings.limits;
    appends.drop_stale(at.now_ms, |record, waited_ms| match &record.kind {
        RecordKind::Claim { .. } => claims.awaits(&record.record_id),
        // The fold knows an id for this long; the other half is for an append that lands late.
        RecordKind::Release { .. } => waited_ms < limits.claim_id_window_ms / 2,
        // Completing twice is harmless, and a lost completion leaves repeats without an answer.
        RecordKind::Complete { .. } => waited_ms < limits.key_window_ms,
        _ if record.author == Author::Node(me.clone()) => waited_ms < OWN_PROPOSAL_MS,
        _ => waited_ms < OPERATOR_RECORD_MS.min(limits.control_id_window_ms / 2),
    });
}

fn control(agent: &mut Agent, at: At) -> Vec<Effect> {
    groups::forget_retired(agent);
    groups::note_missing(agent, at);
    loads::note_loading(agent, at);
    let mut effects = groups::note_serving(agent, at);
    groups::assign_owners(agent, at);
    effects.extend(groups::repair(agent, at));
    plans::advance(agent, at);
    snapshot(agent, at);
    effects
}

/// Appends a snapshot well before the log forgets the records it stands for.
fn snapshot(agent: &mut Agent, at: At) {
    let is_due = agent.log.since_snapshot >= agent.settings.snapshot_every_records;
    let waits = agent.appends.any(|record| matches!(record.kind, RecordKind::Snapshot { .. }));
    if !is_due || waits || !agent.is_first_for("snapshot") {
        return;
    }
    let as_of = agent.folded();
    let state = agent.replicated.to_snapshot().into();
    let record = agent.record(at, "snapshot", None, RecordKind::Snapshot { as_of, state });
    agent.appends.push(record);
}

fn observed(agent: &mut Agent, observations: Vec<Observation>) {
    for observation in observations {
        evidence::merge(agent, observation);
    }
}

fn vm_list(agent: &mut Agent, list: &VmList) -> Vec<Effect> {
    if list.as_of_ms < agent.vms_as_of_ms {
        // Answers of the platform can cross; an older list would bring back what has left.
        return Vec::new();
    }
    agent.vms_as_of_ms = list.as_of_ms;
    agent.probed.as_of_ms = None;
    agent.vms = list.vms.iter().map(|vm| (vm.vm.clone(), vm.clone())).collect();
    let vms = &agent.vms;
    agent.observations.retain(|vm, _| vms.contains_key(vm));
    agent.own_observations.retain(|vm, _| vms.contains_key(vm));
    agent.probed_ms.retain(|vm, _| vms.contains_key(vm));
    agent.probe_took_ms.retain(|vm, _| vms.contains_key(vm));
    agent.ordered_ms.retain(|vm, _| vms.contains_key(vm));
    Vec::new()
}

fn appended(agent: &mut Agent, at: At, batch_id: u64, result: AppendResult) -> Vec<Effect> {
    match result {
        AppendResult::Done { append, appended_at_ms } => {
            let records = agent.appends.in_flight(batch_id).map(<[Record]>::to_vec);
            agent.appends.appended(batch_id);
            let is_next = agent.log.recovered && append == agent.log.next_append;
            match records {
                // The answer says what a read would: folding it now saves the round trip.
                Some(records) if is_next => {
                    let batch = LogEntry { append, appended_at_ms, records };
                    log::fold_all(agent, at, vec![batch])
                }
                _ => Vec::new(),
            }
        }
        AppendResult::Unknown => {
            let claims = &agent.claims;
            agent.appends.unknown(batch_id, at.now_ms, |record| {
                !matches!(record.kind, RecordKind::Claim { .. }) || claims.awaits(&record.record_id)
            });
            Vec::new()
        }
    }
}

fn submit(agent: &mut Agent, at: At, waiter: u64, record: Record) -> Vec<Effect> {
    agent.submits.insert(record.record_id, (waiter, at.now_ms + SUBMIT_WAIT_MS));
    let stops = plans::stops_of(agent, &record.kind);
    agent.appends.push(record);
    stops.into_iter().map(Effect::Stop).collect()
}

fn submits_tick(agent: &mut Agent, at: At) -> Vec<Effect> {
    let late = agent.submits.iter().filter(|(_, (_, give_up_ms))| at.now_ms >= *give_up_ms);
    let late: Vec<_> = late.map(|(id, (waiter, _))| (*id, *waiter)).collect();
    let mut effects = Vec::new();
    for (id, waiter) in late {
        agent.submits.remove(&id);
        effects.push(Effect::AnswerSubmit { waiter, verdict: None, offset: None });
    }
    effects
}

/// Notes data centres that were drained or returned, and withdraws their stop notices.
fn note_drains(agent: &mut Agent, at: At) -> Vec<Effect> {
    let in_log: BTreeSet<DataCentreName> =
        agent.replicated.drains().map(|(name, _)| name.clone()).collect();
    let folded = agent.folded();
    let mut effects = Vec::new();
    for name in in_log.difference(&agent.noted_drained) {
        let change = Change::Drained { data_centre: name.clone(), drained: true };
        effects.push(Effect::Note(change));
        // From this offset on the log itself keeps work away, so the notice is not needed.
        let subject = StopSubject::DataCentre(name.clone());
        effects.push(Effect::ClearStop { subject, at: folded });
    }
    for name in agent.noted_drained.difference(&in_log) {
        let change = Change::Drained { data_centre: name.clone(), drained: false };
        effects.push(Effect::Note(change));
        let subject = StopSubject::DataCentre(name.clone());
        effects.push(Effect::ClearStop { subject, at: folded });
        agent.returned_ms.insert(name.clone(), at.now_ms);
    }
    agent.returned_ms.retain(|name, _| !in_log.contains(name));
    agent.noted_drained = in_log;
    effects
}
