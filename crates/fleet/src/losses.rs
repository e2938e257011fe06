//! Handling of silent and lost groups: their members are probed and their attempts are tried elsewhere.
//!
//! See [`crate::suspicion`] for what counts as silence and as a loss.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use balsam_types::GroupName;
use balsam_types::VmName;

use crate::choice;
use crate::configuration::Engine;
use crate::event::Decision;
use crate::event::Effect;
use crate::event::LostGroup;
use crate::event::Order;
use crate::event::OrderAnswer;
use crate::event::ProbeAnswer;
use crate::formation;
use crate::own_pauses::MissingAnswer;
use crate::serving::RequestKind;
use crate::serving::Server;
use crate::state::Fleet;
use crate::suspicion;
use crate::suspicion::Evidence;
use crate::suspicion::Step;

/// Drops probes of endpoints that asked this node to send nothing for a while.
///
/// Such an endpoint was alive when it asked for the pause, so the probe counts as answered. If a
/// member dies during the pause, its entry lapses.
pub(crate) fn skip_paused_probes(fleet: &mut Fleet, now_ms: u64, effects: &mut Vec<Effect>) {
    let is_skipped = |effect: &mut Effect| match effect {
        Effect::Probe { vm, .. } => fleet.pauses.left_ms(now_ms, vm).is_some(),
        _ => false,
    };
    let skipped: Vec<Effect> = effects.extract_if(.., is_skipped).collect();
    for effect in skipped {
        if let Effect::Probe { vm, .. } = effect {
            probed(fleet, now_ms, &vm, ProbeAnswer::Alive, effects);
        }
    }
}

/// Extends what this node waits for by a pause of its own that ends with this event.
pub(crate) fn note_own_pause(fleet: &mut Fleet, now_ms: u64) {
    let Some(paused_ms) = fleet.own_pauses.on_event(now_ms) else { return };
    fleet.directory.extend_grace(paused_ms);
    fleet.planner.extend_timeouts(paused_ms);
    fleet.suspicions.extend_silences(paused_ms);
    for peer in fleet.peers.values_mut() {
        peer.heard_ms = (peer.heard_ms + paused_ms).min(now_ms);
    }
}

/// Applies the result of a probe.
///
/// One that may have been answered while this node was paused is sent again, a few times at most.
pub(crate) fn probed(
    fleet: &mut Fleet,
    now_ms: u64,
    vm: &VmName,
    answer: ProbeAnswer,
    effects: &mut Vec<Effect>,
) {
    if answer == ProbeAnswer::Alive {
        fleet.own_pauses.probe_answered(vm);
        apply_probe(fleet, now_ms, vm, answer, effects);
        return;
    }
    match fleet.own_pauses.probe_unanswered(now_ms, vm, answer) {
        MissingAnswer::Repeat => probe_again(fleet, vm, effects),
        MissingAnswer::Wait => {}
        MissingAnswer::Conclusive => apply_probe(fleet, now_ms, vm, answer, effects),
    }
}

/// Sends probes again that may have been answered while this node was paused.
pub(crate) fn repeat_due_probes(fleet: &mut Fleet, now_ms: u64, effects: &mut Vec<Effect>) {
    for (vm, answer, missing) in fleet.own_pauses.take_due_probes(now_ms) {
        match missing {
            MissingAnswer::Repeat => probe_again(fleet, &vm, effects),
            MissingAnswer::Wait => {}
            MissingAnswer::Conclusive => apply_probe(fleet, now_ms, &vm, answer, effects),
        }
    }
}

fn probe_again(fleet: &Fleet, vm: &VmName, effects: &mut Vec<Effect>) {
    if let Some(endpoint) = fleet.directory.get(vm) {
        effects.push(Effect::Probe { vm: vm.clone(), address: endpoint.address });
    }
}

/// Probes the heads that the planning node asks about. The planning node itself probes them with the
/// other members of their groups.
pub(crate) fn probe_doubted_heads(fleet: &mut Fleet, now_ms: u64, effects: &mut Vec<Effect>) {
    for head in fleet.planner.doubted_heads() {
        fleet.inquiries.asked(now_ms, &head);
    }
    let mut inquiries = std::mem::take(&mut fleet.inquiries);
    for head in inquiries.take_due(now_ms, |head| {
        !fleet.planner.holds_lease(now_ms) && fleet.is_head_witness(now_ms, head)
    }) {
        let listed = fleet.directory.get(&head).map(|endpoint| endpoint.address);
        if let Some(address) = listed.or_else(|| fleet.planner.departed_address(&head)) {
            effects.push(Effect::Probe { vm: head, address });
        }
    }
    fleet.inquiries = inquiries;
}

fn apply_probe(
    fleet: &mut Fleet,
    now_ms: u64,
    vm: &VmName,
    answer: ProbeAnswer,
    effects: &mut Vec<Effect>,
) {
    let is_alive = answer == ProbeAnswer::Alive;
    fleet.inquiries.probed(now_ms, vm, answer);
    match fleet.directory.get(vm) {
        Some(endpoint) => fleet.planner.probed(now_ms, endpoint, answer),
        None => fleet.planner.departed_probed(now_ms, vm, is_alive),
    }
    if is_alive {
        fleet.suspicions.clear_on_answer(vm);
    } else {
        mark_groups_lost(fleet, now_ms, vm, effects);
    }
}

/// Records that an endpoint answered this node.
pub(crate) fn heard_from(fleet: &mut Fleet, now_ms: u64, vm: &VmName) {
    if let Some(endpoint) = fleet.directory.get(vm) {
        fleet.planner.heard_from(now_ms, &endpoint.data_centre);
    }
}

/// Applies the answer to an order. One that timed out in a pause of this node may have been answered.
pub(crate) fn order_answered(
    fleet: &mut Fleet,
    now_ms: u64,
    vm: &VmName,
    order: &Order,
    answer: OrderAnswer,
) {
    let is_heard = matches!(answer, OrderAnswer::Accepted | OrderAnswer::Refused);
    if is_heard {
        heard_from(fleet, now_ms, vm);
    }
    if is_heard || !fleet.own_pauses.may_hide_answer(now_ms) {
        fleet.planner.answered(now_ms, vm, order, answer);
    }
}

/// Applies another node's report that a group is lost.
///
/// The witnesses of the member probe it themselves; other nodes accept the reports of two nodes.
/// When each of 195 nodes probed, and probed again each second, eleven lost endpoints caused 15,000
/// probes.
pub(crate) fn apply_lost_report(
    fleet: &mut Fleet,
    now_ms: u64,
    node: &Arc<str>,
    lost: &LostGroup,
    effects: &mut Vec<Effect>,
) {
    let is_enough = fleet.suspicions.reported_lost(now_ms, node, lost);
    if fleet.suspicions.is_lost(&lost.group, lost.epoch) {
        return;
    }
    let server = fleet.serving.all().find(|(_, server)| {
        let group = server.group.as_ref();
        group.is_some_and(|(name, epoch)| *name == lost.group && *epoch == lost.epoch)
    });
    let Some((_, server)) = server else { return };
    let (head, key) = (server.vm.clone(), (lost.group.clone(), lost.epoch));
    if fleet.is_witness(now_ms, &lost.member) {
        if let Some(member) = fleet.directory.get(&lost.member)
            && fleet.suspicions.on_silence(now_ms, &head, &key, 0) == Step::Probe
        {
            effects.push(Effect::Probe { vm: member.vm.clone(), address: member.address });
        }
    } else if is_enough {
        let member = lost.member.clone();
        if fleet.suspicions.mark_lost_as_reported(now_ms, &head, &key, member.clone()) {
            try_elsewhere(fleet, &head, &key, Some(member), effects);
        }
    }
}

fn probe_members(fleet: &Fleet, key: &(GroupName, u64), effects: &mut Vec<Effect>) {
    let members = fleet.directory.iter().filter(|endpoint| {
        endpoint.membership.as_ref().is_some_and(|m| m.group == key.0 && m.epoch == key.1)
    });
    effects.extend(members.map(|e| Effect::Probe { vm: e.vm.clone(), address: e.address }));
}

/// Marks every group as lost that has the unresponsive endpoint as a member.
fn mark_groups_lost(fleet: &mut Fleet, now_ms: u64, vm: &VmName, effects: &mut Vec<Effect>) {
    let observed = formation::observe_groups(&fleet.directory);
    for (key, group) in observed {
        let is_member = group.members.values().any(|member| member.vm == *vm);
        if let Some(head) = group.head().filter(|_| is_member) {
            mark_lost(fleet, now_ms, &head.vm.clone(), &key, vm, effects);
        }
    }
}

fn mark_lost(
    fleet: &mut Fleet,
    now_ms: u64,
    head: &VmName,
    key: &(GroupName, u64),
    member: &VmName,
    effects: &mut Vec<Effect>,
) {
    if !fleet.suspicions.mark_lost(now_ms, head, key, member.clone()) {
        return;
    }
    if !fleet.is_witness(now_ms, member) {
        let evidence = Evidence::Observed { at_ms: now_ms };
        fleet.suspicions.defer_to_witnesses(now_ms, head, evidence);
    }
    try_elsewhere(fleet, head, key, Some(member.clone()), effects);
}

/// Has the attempts at the head of a lost group tried elsewhere.
fn try_elsewhere(
    fleet: &Fleet,
    head: &VmName,
    key: &(GroupName, u64),
    member: Option<VmName>,
    effects: &mut Vec<Effect>,
) {
    let attempts = fleet.loads.attempts_at(head);
    effects.push(Effect::LogDecision(Decision::GroupLost {
        group: key.0.clone(),
        epoch: key.1,
        member,
        attempts: attempts.len(),
    }));
    effects.extend(attempts.into_iter().map(|attempt_id| Effect::TryElsewhere { attempt_id }));
}

/// Looks for heads whose answers have all gone silent.
pub(crate) fn detect_silent_heads(fleet: &mut Fleet, now_ms: u64, effects: &mut Vec<Effect>) {
    let loads = &fleet.loads;
    fleet.suspicions.expire(now_ms, |head| loads.get(head).is_some_and(|load| load.in_flight > 0));
    for vm in fleet.suspicions.members_to_probe(now_ms) {
        if let Some(endpoint) = fleet.directory.get(&vm) {
            effects.push(Effect::Probe { vm, address: endpoint.address });
        }
    }
    let Some((_, engine)) = fleet.engine_pool() else { return };
    let engine: Engine = engine.clone();
    let mut unreported_ms: BTreeMap<RequestKind, f64> = BTreeMap::new();
    let is_watched = |server: &Server| {
        server.group.is_some() && fleet.loads.get(&server.vm).is_some_and(|load| load.in_flight > 0)
    };
    let heads: Vec<(RequestKind, Server)> = fleet
        .serving
        .all()
        .filter(|(_, server)| is_watched(server))
        .map(|(kind, server)| (kind.clone(), server.clone()))
        .collect();
    for (kind, server) in heads {
        let groups = fleet.serving.of(&kind).len() as f64;
        let unreported_ms = *unreported_ms.entry(kind).or_insert_with_key(|kind| {
            choice::unreported_work(fleet, now_ms, kind).total_ms() / groups.max(1.0)
        });
        let Some(group) = &server.group else { continue };
        let Some(load) = fleet.loads.get(&server.vm).filter(|load| load.in_flight > 0) else {
            continue;
        };
        let event_ms = load.progress_ms.load(Ordering::Relaxed);
        fleet.suspicions.record_event(&server.vm, group, event_ms);
        let silent_ms = fleet.own_pauses.running_ms(event_ms.max(load.busy_since_ms), now_ms);
        let (in_flight, unread) = load.total(now_ms);
        let mut limit_ms =
            suspicion::silence_limit_ms(&engine, server.pace, in_flight, unread, unreported_ms);
        if load.started == 0 {
            // No event shows the passes of the group, only the prompts that are still to be read.
            limit_ms = limit_ms.max(suspicion::UNSTARTED_SILENCE_MS);
        }
        if silent_ms < limit_ms {
            fleet.suspicions.clear_on_progress(&server.vm);
            continue;
        }
        let was_suspect = fleet.suspicions.is_suspect(&server.vm, group);
        match fleet.suspicions.on_silence(now_ms, &server.vm, group, silent_ms) {
            Step::Nothing => {}
            Step::Probe => {
                if !was_suspect {
                    let decision = Decision::GroupSuspected { group: group.0.clone(), silent_ms };
                    effects.push(Effect::LogDecision(decision));
                }
                probe_members(fleet, group, effects);
            }
            Step::MarkStalled => {
                fleet.suspicions.mark_stalled(now_ms, &server.vm, group, silent_ms);
                try_elsewhere(fleet, &server.vm, group, None, effects);
            }
        }
    }
}
