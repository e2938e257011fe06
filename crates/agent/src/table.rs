//! Builds the routing table and the data that the node publishes to its peers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use balsam_peer::CapacitySummary;
use balsam_peer::LocalObservation;
use balsam_peer::LocalState;
use balsam_peer::MemberState;
use balsam_peer::PoolSummary;
use balsam_peer::Presence;
use balsam_plan::ramp::RampLimits;
use balsam_plan::ramp::ReturnedDataCentre;
use balsam_route::Group;
use balsam_route::Pool;
use balsam_route::RemoteDataCentre;
use balsam_route::Table;
use balsam_route::Temperature;
use balsam_route::table::Owner;
use balsam_types::DataCentreName;
use balsam_types::GroupSpec;
use balsam_types::Offset;
use balsam_types::PoolName;
use balsam_types::PoolSpec;
use balsam_types::RegionName;
use balsam_types::RouteMatch;
use balsam_types::VmName;
use balsam_types::VmRole;

use crate::event::EventTime;
use crate::event::Observation;
use crate::evidence::is_leaving;
use crate::groups;
use crate::state::Agent;

/// The ramp for the load of a data centre that returns.
const RAMP: RampLimits = RampLimits { ramp_ms: 60_000, floor_per_mille: 100 };

/// Builds the routing table.
pub fn build(agent: &Agent, at: EventTime) -> Table {
    let replicated = &agent.replicated;
    let mut table = Table {
        as_of: agent.folded(),
        local_drained: agent.is_drained(&agent.data_centre),
        ..Table::default()
    };
    for organisation in replicated.organisations() {
        let token = Arc::from(organisation.value.token_sha256.to_ascii_lowercase());
        table.organisations.insert(token, organisation.value.clone());
    }
    for route in replicated.routes() {
        match &route.value.matches {
            RouteMatch::Model(model) => {
                table.model_routes.insert(model.clone(), route.value.clone());
            }
            RouteMatch::PathPrefix(_) => table.path_routes.push(route.value.clone()),
        }
    }
    table.path_routes.sort_by_key(|route| match &route.matches {
        RouteMatch::PathPrefix(prefix) => Reverse(prefix.len()),
        RouteMatch::Model(_) => Reverse(0),
    });
    table.pools = pools(agent, at);
    table
}

fn pools(agent: &Agent, at: EventTime) -> HashMap<PoolName, Arc<Pool>> {
    let mut pools: BTreeMap<PoolName, Pool> = agent
        .replicated
        .pools()
        .map(|pool| {
            let spec = pool.value.clone();
            let remotes = remotes(agent, at, &spec.pool);
            (spec.pool.clone(), Pool { spec, groups: Vec::new(), remotes })
        })
        .collect();
    for (spec, offset) in groups::local_groups(agent) {
        if let Some(pool) = pools.get_mut(&spec.pool)
            && let Some(group) = group(agent, at, spec, offset)
        {
            pool.groups.push(group);
        }
    }
    pools.into_iter().map(|(name, pool)| (name, Arc::new(pool))).collect()
}

fn group(agent: &Agent, at: EventTime, spec: &GroupSpec, offset: Offset) -> Option<Group> {
    let VmRole::Endpoint { address, .. } = agent.vms.get(spec.head())?.role else {
        return None;
    };
    let evidence_until_ms = groups::serving_until(agent, at, spec, offset).unwrap_or(0);
    let head = agent.observations.get(spec.head());
    let slow = spec.members.iter().any(|vm| agent.observations.get(vm).is_some_and(|o| o.slow));
    let reported_at_ms = head.map_or(0, |head| head.observed_ms.saturating_sub(head.report.age_ms));
    Some(Group {
        group: spec.group.clone(),
        head: spec.head().clone(),
        address,
        evidence_until_ms,
        leaving: spec.members.iter().any(|vm| is_leaving(agent, vm)),
        slow,
        temperature: head.map_or(Temperature::Unknown, |head| head.report.temperature),
        instance: head.map_or_else(|| Arc::from(""), |head| head.report.instance.clone()),
        reported_in_flight: head.map_or(0, |head| head.report.in_flight),
        reported_at_ms,
        owner: owner(agent, spec),
    })
}

fn owner(agent: &Agent, spec: &GroupSpec) -> Option<Owner> {
    let node = (*agent.replicated.owner(&spec.group)?.value).clone();
    if node == agent.incarnation {
        return Some(Owner { node, peer_address: None });
    }
    let member = agent.members.iter().find(|member| member.incarnation == node)?;
    Some(Owner { node, peer_address: Some(member.peer_address) })
}

/// Returns the other data centres with groups of a pool.
fn remotes(agent: &Agent, at: EventTime, pool: &PoolName) -> Vec<RemoteDataCentre> {
    let mut names: Vec<DataCentreName> = agent
        .replicated
        .groups()
        .filter(|group| group.value.pool == *pool)
        .map(|group| group.value.data_centre.clone())
        .filter(|name| *name != agent.data_centre)
        .collect();
    names.sort();
    names.dedup();
    names.into_iter().map(|name| remote(agent, at, pool, name)).collect()
}

fn remote(
    agent: &Agent,
    at: EventTime,
    pool: &PoolName,
    data_centre: DataCentreName,
) -> RemoteDataCentre {
    let entry_nodes: Vec<(VmName, SocketAddr, RegionName)> = agent
        .members
        .iter()
        .filter(|member| member.data_centre == data_centre)
        .filter(|member| member.state == MemberState::Alive)
        .map(|member| (member.incarnation.vm.clone(), member.peer_address, member.region.clone()))
        .collect();
    let summary = agent.summaries.iter().find(|summary| summary.data_centre == data_centre);
    let pools = summary.map(|summary| summary.summary.pools.as_slice()).unwrap_or_default();
    let of_pool = pools.iter().find(|summary| summary.pool == *pool);
    let is_reported_drained = summary.is_some_and(|summary| summary.summary.drained);
    RemoteDataCentre {
        drained: agent.is_drained(&data_centre) || is_reported_drained,
        serving_groups: of_pool.map_or(0, |pool| pool.serving_groups),
        free_slots: of_pool.map_or(0, |pool| pool.free_slots),
        flow_back_percent: flow_back_percent(agent, at, &data_centre),
        same_region: entry_nodes.iter().any(|(_, _, region)| *region == agent.region),
        entry_nodes: entry_nodes.into_iter().map(|(vm, address, _)| (vm, address)).collect(),
        data_centre,
    }
}

/// Returns the share of its usual load that a returned data centre may take, so that its groups
/// warm up before they get the full load.
fn flow_back_percent(agent: &Agent, at: EventTime, data_centre: &DataCentreName) -> u8 {
    let Some(returned_ms) = agent.returned_ms.get(data_centre) else {
        return 100;
    };
    // The free slots already reflect how many of its groups are warm, so only the time counts here.
    let returned = ReturnedDataCentre {
        returned_ms: *returned_ms,
        warm_groups: 1,
        groups: 1,
        cold_per_mille: 0,
    };
    let per_mille = balsam_plan::load_share(&returned, &RAMP, at.now_ms);
    u8::try_from(per_mille / 10).unwrap_or(100)
}

/// Builds the data that this node publishes to its peers.
pub fn publish(agent: &Agent, at: EventTime) -> LocalState {
    LocalState {
        leaving: agent.leaving,
        folded_offset: agent.folded(),
        platform_reachable: agent.log.platform_reachable,
        observations: agent.own_observations.values().map(observation).collect(),
        summary: summary(agent, at),
    }
}

fn observation(observation: &Observation) -> LocalObservation {
    let presence = match observation {
        Observation { present: false, .. } => Presence::Missing,
        Observation { report, .. } if report.leaving => Presence::Leaving,
        Observation { slow: true, .. } => Presence::Slow,
        _ => Presence::Present,
    };
    LocalObservation {
        vm: observation.vm.clone(),
        presence,
        instance: observation.report.instance.clone(),
        fence: observation.report.fence,
        ready: observation.report.ready,
        temperature: match observation.report.temperature {
            Temperature::Unknown => balsam_peer::Temperature::Unknown,
            Temperature::Cold => balsam_peer::Temperature::Cold,
            Temperature::Warm => balsam_peer::Temperature::Warm,
        },
        in_flight: observation.report.in_flight,
        observed_at_ms: observation.observed_ms,
    }
}

fn summary(agent: &Agent, at: EventTime) -> CapacitySummary {
    let mut pools: BTreeMap<PoolName, PoolSummary> = BTreeMap::new();
    for (spec, offset) in groups::local_groups(agent) {
        let Some(pool) = agent.replicated.pool(&spec.pool) else {
            continue;
        };
        let empty = PoolSummary { pool: spec.pool.clone(), serving_groups: 0, free_slots: 0 };
        let summary = pools.entry(spec.pool.clone()).or_insert(empty);
        if groups::serving_until(agent, at, spec, offset).is_ok() {
            summary.serving_groups += 1;
            summary.free_slots += free_slots(agent, spec, &pool.value);
        }
    }
    CapacitySummary {
        drained: agent.is_drained(&agent.data_centre),
        offset: lowest_folded(agent),
        pools: pools.into_values().collect(),
    }
}

/// Returns the offset that all live entry nodes of this data centre are known to have folded.
pub fn lowest_folded(agent: &Agent) -> Offset {
    let local = agent.members.iter().filter(|member| {
        member.data_centre == agent.data_centre && member.state == MemberState::Alive
    });
    let others = local.map(|member| member.folded_offset);
    others.min().map_or(agent.folded(), |lowest| lowest.min(agent.folded()))
}

fn free_slots(agent: &Agent, spec: &GroupSpec, pool: &PoolSpec) -> u32 {
    let Some(head) = agent.observations.get(spec.head()) else {
        return 0;
    };
    let limit = match head.report.temperature {
        Temperature::Warm => pool.limit,
        Temperature::Cold | Temperature::Unknown => pool.cold_limit,
    };
    limit.saturating_sub(head.report.in_flight)
}
