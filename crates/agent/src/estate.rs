//! Builds the view of the estate for planning and repair.

use balsam_plan::Estate;
use balsam_plan::estate::Configured;
use balsam_plan::estate::GroupView;
use balsam_plan::estate::PoolView;
use balsam_plan::estate::Presence;
use balsam_plan::estate::VmView;
use balsam_types::DataCentreName;
use balsam_types::GroupName;
use balsam_types::PoolName;
use balsam_types::PoolSpec;
use balsam_types::VmInfo;
use balsam_types::VmRole;
use balsam_types::VmState;

use crate::event::EventTime;
use crate::evidence::is_leaving;
use crate::state::Agent;

/// Builds the estate view from the log, the VM list and the evidence of this data centre.
pub fn build(agent: &Agent, at: EventTime) -> Estate {
    let replicated = &agent.replicated;
    let vms = agent.vms.values().filter(|vm| matches!(vm.role, VmRole::Endpoint { .. }));
    Estate {
        as_of: replicated.last_offset().unwrap_or_default(),
        now_ms: at.now_ms,
        vms: vms.map(|vm| (vm.vm.clone(), vm_view(agent, at, vm))).collect(),
        groups: replicated
            .groups()
            .map(|group| {
                let view = GroupView {
                    spec: (*group.value).clone(),
                    changed: group.offset,
                    incomplete_since_ms: incomplete_since_ms(agent, &group.value.group),
                };
                (group.value.group.clone(), view)
            })
            .collect(),
        pools: replicated
            .pools()
            .map(|pool| {
                let view = PoolView {
                    spec: (*pool.value).clone(),
                    changed: pool.offset,
                    peak_in_flight: in_flight(agent, &pool.value),
                };
                (pool.value.pool.clone(), view)
            })
            .collect(),
        routes: replicated
            .routes()
            .map(|route| {
                let configured = Configured { spec: (*route.value).clone(), changed: route.offset };
                (route.value.route.clone(), configured)
            })
            .collect(),
        organisations: replicated
            .organisations()
            .map(|organisation| {
                let spec = (*organisation.value).clone();
                let configured = Configured { spec, changed: organisation.offset };
                (organisation.value.organisation.clone(), configured)
            })
            .collect(),
        drained: replicated
            .drained_data_centres()
            .map(|(name, offset)| (name.clone(), offset))
            .collect(),
        transfers: Vec::new(),
        in_flight: Vec::new(),
    }
}

fn incomplete_since_ms(agent: &Agent, group: &GroupName) -> Option<u64> {
    agent.serving.get(group).and_then(|state| state.stopped_since_ms)
}

/// VMs of other data centres are not probed here. Their group members count as present, so that
/// this node does not repair those groups, and the others as suspect, so that it does not use them.
fn vm_view(agent: &Agent, at: EventTime, info: &VmInfo) -> VmView {
    if info.data_centre != agent.data_centre {
        let in_group = agent.replicated.group_of(&info.vm).is_some();
        let presence = if in_group { Presence::Present } else { Presence::Suspect };
        return VmView { info: info.clone(), presence, slow: false, since_ms: 0 };
    }
    let observation = agent.observations.get(&info.vm);
    let fresh_ms = agent.settings.evidence_fresh_ms;
    let is_present =
        observation.is_some_and(|observation| at.now_ms < observation.observed_ms + fresh_ms);
    let since_ms = agent.missing_since_ms.get(&info.vm).copied();
    let presence = match (is_present, since_ms) {
        (true, _) => Presence::Present,
        (false, Some(_)) => Presence::Missing,
        (false, None) => Presence::Suspect,
    };
    let mut info = info.clone();
    if is_leaving(agent, &info.vm) {
        info.state = VmState::Leaving;
    }
    let slow = observation.is_some_and(|observation| observation.slow);
    VmView { info, presence, slow, since_ms: since_ms.unwrap_or(0) }
}

/// Returns the requests of a pool in flight in all data centres, by the latest reports.
fn in_flight(agent: &Agent, pool: &PoolSpec) -> u64 {
    let local = crate::groups::local_groups(agent).filter(|(spec, _)| spec.pool == pool.pool);
    let local = local.filter_map(|(spec, _)| agent.observations.get(spec.head()));
    let local: u64 = local.map(|head| u64::from(head.report.in_flight)).sum();
    let remote = agent.summaries.iter().flat_map(|summary| &summary.summary.pools);
    let remote = remote.filter(|summary| summary.pool == pool.pool).map(|summary| {
        let capacity = u64::from(summary.serving_groups) * u64::from(pool.limit);
        capacity.saturating_sub(u64::from(summary.free_slots))
    });
    local + remote.sum::<u64>()
}

/// Returns the number of data centres with endpoints of a pool, and the position of this one.
///
/// Both come from the VM list and the log, which are the same everywhere, so that an isolated data
/// centre does not take the whole target for its own share.
pub fn data_centre_position(agent: &Agent, pool: &PoolName) -> (u64, u64) {
    let endpoints = agent.vms.values().filter(|vm| match &vm.role {
        VmRole::Endpoint { pool: of, .. } => of == pool,
        VmRole::Entry { .. } => false,
    });
    let mut names: Vec<&DataCentreName> = endpoints.map(|vm| &vm.data_centre).collect();
    names.retain(|name| agent.replicated.drained_at(name).is_none());
    names.push(&agent.data_centre);
    names.sort();
    names.dedup();
    let position = names.iter().position(|name| **name == agent.data_centre).unwrap_or(0);
    (names.len() as u64, position as u64)
}
