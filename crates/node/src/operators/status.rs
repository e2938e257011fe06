//! The state of the estate as operators see it from one node.

use std::collections::BTreeSet;

use balsam_agent::Agent;
use balsam_agent::EventTime;
use balsam_agent::evidence;
use balsam_agent::groups;
use balsam_agent::plans;
use balsam_peer::MemberState;
use balsam_peer::PeerNode;
use balsam_types::Author;
use balsam_types::DataCentreName;
use balsam_types::GroupName;
use balsam_types::GroupSpec;
use balsam_types::Offset;
use balsam_types::PoolSpec;
use balsam_types::VmInfo;
use balsam_types::VmName;
use balsam_types::VmRole;
use balsam_types::record::ObjectRef;
use balsam_wire::pb::operator::v1 as pb;
use balsam_wire::record::offset_to_pb;

/// Builds the status.
pub(super) fn status(agent: &Agent, peers: &PeerNode, at: EventTime) -> pb::StatusResponse {
    let replicated = &agent.replicated;
    pb::StatusResponse {
        node: agent.incarnation.to_string(),
        folded_offset: Some(offset_to_pb(agent.folded())),
        // The log may have been read again after `at` was taken.
        log_age_ms: agent
            .log
            .head_read_ms
            .map_or(u64::MAX, |read_ms| at.now_ms.saturating_sub(read_ms)),
        data_centres: data_centres(agent, peers, at),
        pools: replicated.pools().map(|pool| pool_status(agent, at, &pool.value)).collect(),
        groups: replicated
            .groups()
            .map(|group| group_status(agent, at, &group.value, group.offset))
            .collect(),
        organisations: replicated
            .organisations()
            .map(|organisation| organisation.value.organisation.to_string())
            .collect(),
        plans: replicated
            .plans()
            .map(|plan| pb::PlanStatus {
                plan: plan.spec.plan.to_string(),
                intent: plan.spec.intent.to_string(),
                phase: plan.phase.to_string(),
                steps_done: plan.steps_done,
                steps_total: u32::try_from(plan.spec.steps.len()).unwrap_or(u32::MAX),
            })
            .collect(),
        routes: replicated
            .routes()
            .map(|route| pb::RouteStatus {
                route: route.value.route.to_string(),
                pool: route.value.pool.to_string(),
            })
            .collect(),
        platform_reachable: agent.log.platform_reachable,
        entry_nodes: entry_nodes(agent, peers, at),
        unconfirmed_records: u32::try_from(agent.appends.len()).unwrap_or(u32::MAX),
    }
}

/// Lists this node and every other one that it knows.
fn entry_nodes(agent: &Agent, peers: &PeerNode, at: EventTime) -> Vec<pb::EntryNodeStatus> {
    let own = pb::EntryNodeStatus {
        vm: agent.incarnation.vm.to_string(),
        data_centre: agent.data_centre.to_string(),
        state: if agent.leaving { "leaving" } else { "alive" }.to_owned(),
        folded_offset: Some(offset_to_pb(agent.folded())),
        platform_reachable: agent.log.platform_reachable,
        heard_age_ms: 0,
    };
    let others = peers.members(at.now_ms).into_iter().map(|member| pb::EntryNodeStatus {
        vm: member.incarnation.vm.to_string(),
        data_centre: member.data_centre.to_string(),
        state: format!("{:?}", member.state).to_ascii_lowercase(),
        folded_offset: Some(offset_to_pb(member.folded_offset)),
        platform_reachable: member.platform_reachable,
        heard_age_ms: member.age_ms,
    });
    let mut nodes: Vec<_> = std::iter::once(own).chain(others).collect();
    nodes.sort_by(|a, b| (&a.data_centre, &a.vm).cmp(&(&b.data_centre, &b.vm)));
    nodes
}

/// Returns whether two statuses differ apart from ages and offsets, which change constantly.
pub(super) fn differs(a: &pb::StatusResponse, b: &pb::StatusResponse) -> bool {
    let without_volatile_fields = |status: &pb::StatusResponse| pb::StatusResponse {
        log_age_ms: 0,
        folded_offset: None,
        data_centres: status
            .data_centres
            .iter()
            .map(|data_centre| pb::DataCentreStatus {
                in_force_offset: None,
                ..data_centre.clone()
            })
            .collect(),
        entry_nodes: status
            .entry_nodes
            .iter()
            .map(|node| pb::EntryNodeStatus {
                folded_offset: None,
                heard_age_ms: 0,
                ..node.clone()
            })
            .collect(),
        unconfirmed_records: 0,
        ..status.clone()
    };
    without_volatile_fields(a) != without_volatile_fields(b)
}

fn data_centres(agent: &Agent, peers: &PeerNode, at: EventTime) -> Vec<pb::DataCentreStatus> {
    let members = peers.members(at.now_ms);
    let mut names: BTreeSet<DataCentreName> =
        agent.vms.values().map(|vm| vm.data_centre.clone()).collect();
    names.insert(agent.data_centre.clone());
    let status = |name: &DataCentreName| {
        let own = (*name == agent.data_centre).then(|| agent.folded());
        let alive = members
            .iter()
            .filter(|member| member.data_centre == *name && member.state == MemberState::Alive);
        let offsets: Vec<Offset> = alive.map(|member| member.folded_offset).chain(own).collect();
        pb::DataCentreStatus {
            data_centre: name.to_string(),
            drained: agent.is_drained(name),
            entry_nodes_reachable: u32::try_from(offsets.len()).unwrap_or(u32::MAX),
            in_force_offset: offsets.iter().min().map(|offset| offset_to_pb(*offset)),
            drain_unconfirmed: agent.is_drained(name)
                && agent.replicated.drained_at(name).is_none(),
        }
    };
    names.iter().map(status).collect()
}

fn pool_status(agent: &Agent, at: EventTime, pool: &PoolSpec) -> pb::PoolStatus {
    let formed = agent.replicated.groups().filter(|group| group.value.pool == pool.pool).count();
    let spares = agent.vms.values().filter(|vm| {
        let is_in_pool = matches!(&vm.role, VmRole::Endpoint { pool: of, .. } if *of == pool.pool);
        is_in_pool && agent.replicated.group_of(&vm.vm).is_none()
    });
    pb::PoolStatus {
        pool: pool.pool.to_string(),
        model: pool.model.to_string(),
        version: pool.version.to_string(),
        target_groups: pool.target_groups,
        formed_groups: u32::try_from(formed).unwrap_or(u32::MAX),
        serving_groups: u32::try_from(plans::serving_group_count(agent, at, &pool.pool))
            .unwrap_or(u32::MAX),
        spare_vms: u32::try_from(spares.count()).unwrap_or(u32::MAX),
    }
}

/// Builds the status of a group. Evidence is known only in the data centre that probes the group,
/// so groups of other data centres are shown without it.
fn group_status(agent: &Agent, at: EventTime, spec: &GroupSpec, offset: Offset) -> pb::GroupStatus {
    let is_local = spec.data_centre == agent.data_centre;
    let serving = groups::serving_until(agent, at, spec, offset);
    let missing = spec.members.iter().filter(|vm| is_local && is_missing(agent, at, vm));
    let head = agent.observations.get(spec.head());
    let temperature = head.map(|head| format!("{:?}", head.report.temperature));
    let reason = match (&serving, is_local) {
        (_, false) => "seen by its own data centre only".to_owned(),
        (Ok(_), true) => String::new(),
        (Err(reason), true) => reason.to_string(),
    };
    pb::GroupStatus {
        group: spec.group.to_string(),
        pool: spec.pool.to_string(),
        data_centre: spec.data_centre.to_string(),
        fabric_domain: spec.fabric_domain.to_string(),
        members: spec.members.iter().map(ToString::to_string).collect(),
        missing_members: missing.map(ToString::to_string).collect(),
        serving: is_local && serving.is_ok(),
        temperature: temperature.unwrap_or_default().to_ascii_lowercase(),
        reason,
        observed_here: is_local,
    }
}

fn is_missing(agent: &Agent, at: EventTime, vm: &VmName) -> bool {
    let fresh_ms = agent.settings.evidence_fresh_ms;
    agent.observations.get(vm).is_none_or(|seen| at.now_ms >= seen.observed_ms + fresh_ms)
}

/// Describes the state of a group in sentences.
pub(super) fn group_lines(
    agent: &Agent,
    at: EventTime,
    spec: &GroupSpec,
    offset: Offset,
) -> Vec<String> {
    let status = group_status(agent, at, spec, offset);
    let mut lines = vec![format!(
        "group {} of pool {} in {}, fabric domain {}, formed at {offset}",
        status.group, status.pool, status.data_centre, status.fabric_domain
    )];
    match status.reason.as_str() {
        "" => lines.push(format!("it serves; the head is {}", status.temperature)),
        reason if status.observed_here => {
            lines.push(format!("it does not serve: {reason}"));
            lines.extend(missing_member_lines(agent, at, spec));
        }
        _ => lines.push(format!(
            "whether it serves is seen by the entry nodes of {} only; ask one of them",
            spec.data_centre
        )),
    }
    lines.extend(last_repair(agent, &spec.group));
    if let Some(owner) = agent.replicated.owner(&spec.group) {
        lines.push(format!("cold-start permits are granted by {}", owner.value));
    }
    let members = spec.members.iter().filter_map(|vm| agent.vms.get(vm));
    lines.extend(members.flat_map(|info| vm_lines(agent, at, info)));
    lines
}

/// Describes how long members have been missing and when repair may replace them.
fn missing_member_lines(agent: &Agent, at: EventTime, spec: &GroupSpec) -> Vec<String> {
    let missing = spec.members.iter().filter_map(|vm| Some((vm, agent.missing_since_ms.get(vm)?)));
    let settle_ms = agent.settings.settle_ms;
    let line = |(vm, since_ms): (&VmName, &u64)| {
        let missing_ms = at.now_ms.saturating_sub(*since_ms);
        format!(
            "member {vm} has been missing for {missing_ms} ms; repair acts after {settle_ms} ms"
        )
    };
    missing.map(line).collect()
}

/// Describes the repair that formed the group, with its reason.
fn last_repair(agent: &Agent, group: &GroupName) -> Option<String> {
    let object = ObjectRef::Group(group.clone());
    let entry = agent
        .replicated
        .history_of(&object)
        .filter(|entry| entry.rejection.is_none() && &*entry.label == "form_group")
        .rfind(|entry| matches!(entry.author, Author::Node(_)))?;
    Some(format!("last repair at {} by {}: {}", entry.offset, entry.author, entry.reason))
}

/// Describes the state of a VM in sentences.
pub(super) fn vm_lines(agent: &Agent, at: EventTime, info: &VmInfo) -> Vec<String> {
    let group = agent.replicated.group_of(&info.vm);
    let group = group.map_or_else(|| "in no group".to_owned(), |group| format!("in {group}"));
    let seen = match agent.observations.get(&info.vm) {
        _ if info.data_centre != agent.data_centre => "probed by its own data centre".to_owned(),
        None => "not seen by any prober".to_owned(),
        Some(seen) => format!(
            "seen {} ms ago, instance {}, fence {}, ready {}, {} in flight{}",
            at.now_ms.saturating_sub(seen.observed_ms),
            seen.report.instance,
            seen.report.fence,
            seen.report.ready,
            seen.report.in_flight,
            if seen.slow { ", slow" } else { "" }
        ),
    };
    let leaving = if evidence::is_leaving(agent, &info.vm) { ", leaving" } else { "" };
    vec![format!("VM {} in {}: {group}, {seen}{leaving}", info.vm, info.data_centre)]
}
