//! Probes, evidence that groups are complete, and orders to members that lag behind the log.

use std::fmt;
use std::net::SocketAddr;

use balsam_peer::StopSubject;
use balsam_types::GroupName;
use balsam_types::GroupSpec;
use balsam_types::PoolKind;
use balsam_types::PoolSpec;
use balsam_types::VmInfo;
use balsam_types::VmName;
use balsam_types::VmRole;
use balsam_types::VmState;

use crate::effect::Effect;
use crate::effect::Order;
use crate::event::EventTime;
use crate::event::LoadReport;
use crate::event::Observation;
use crate::event::ProbeResult;
use crate::rank::rank;
use crate::state::Agent;
use crate::state::ProbeTargets;

/// Interval at which a node repeats an order to a VM that has not followed it.
const ORDER_INTERVAL_MS: u64 = 1_000;

/// A probe that takes more than this many times the median of the other VMs counts as slow.
const SLOW_FACTOR: u64 = 4;

/// A probe faster than this never counts as slow, whatever the median.
const SLOW_FLOOR_MS: u64 = 50;

/// A longer gap between events means that the process was paused.
pub const PAUSE_GAP_MS: u64 = 1_500;

/// Starts the probes that are due.
pub fn start_probes(agent: &mut Agent, at: EventTime) -> Vec<Effect> {
    // Old observations of VMs that are now probed by other nodes must not be published.
    let oldest_ms = at.now_ms.saturating_sub(agent.settings.evidence_fresh_ms);
    agent.own_observations.retain(|_, observation| observation.observed_ms >= oldest_ms);
    choose_probe_targets(agent);
    let due: Vec<(VmName, SocketAddr)> = agent
        .probe_targets
        .vms
        .iter()
        .filter(|vm| is_due(agent, vm, at))
        .filter_map(|vm| Some((vm.clone(), endpoint_address(agent.vms.get(vm)?)?)))
        .collect();
    let mut effects = Vec::with_capacity(due.len());
    for (vm, address) in due {
        agent.last_probe_ms.insert(vm.clone(), at.now_ms);
        effects.push(Effect::Probe { vm, address });
    }
    effects
}

fn endpoint_address(vm: &VmInfo) -> Option<SocketAddr> {
    match &vm.role {
        VmRole::Endpoint { address, .. } => Some(*address),
        VmRole::Entry { .. } => None,
    }
}

fn is_due(agent: &Agent, vm: &VmName, at: EventTime) -> bool {
    let interval_ms = agent.settings.probe_interval_ms;
    agent.last_probe_ms.get(vm).is_none_or(|last_ms| at.now_ms >= last_ms + interval_ms)
}

/// Chooses the VMs that this node probes. This is repeated only after the nodes or VMs have
/// changed: ranking every VM of a large data centre at each tick would take most of its time.
fn choose_probe_targets(agent: &mut Agent) {
    let workers: Vec<VmName> = agent.workers().map(|worker| worker.vm.clone()).collect();
    if agent.probe_targets.workers == workers
        && agent.probe_targets.as_of_ms == Some(agent.vms_as_of_ms)
    {
        return;
    }
    let local = agent.vms.values().filter(|vm| {
        vm.data_centre == agent.data_centre && matches!(vm.role, VmRole::Endpoint { .. })
    });
    let mut vms: Vec<VmName> =
        local.map(|vm| vm.vm.clone()).filter(|vm| is_prober(agent, vm)).collect();
    let busy = agent.retired_groups.busy_heads();
    let heads = busy.filter(|(_, members)| members.iter().any(|member| vms.contains(member)));
    let heads: Vec<VmName> = heads.map(|(head, _)| head.clone()).collect();
    vms.extend(heads);
    vms.sort();
    vms.dedup();
    agent.probe_targets = ProbeTargets { workers, as_of_ms: Some(agent.vms_as_of_ms), vms };
}

fn is_prober(agent: &Agent, vm: &VmName) -> bool {
    !agent.leaving
        && rank(vm.as_str(), &agent.incarnation, agent.workers()) < agent.settings.probers
}

/// Handles the end of a probe.
pub fn handle_probe_result(
    agent: &mut Agent,
    at: EventTime,
    vm: VmName,
    started_ms: u64,
    took_ms: u64,
    result: ProbeResult,
) -> Vec<Effect> {
    let ProbeResult::Report(report) = result else {
        let previous = agent.own_observations.remove(&vm);
        if let Some(mut observation) = previous {
            observation.present = false;
            observation.observed_ms = started_ms;
            agent.own_observations.insert(vm, observation);
        }
        return Vec::new();
    };
    let slow = is_slow(agent, &vm, took_ms);
    agent.probe_took_ms.insert(vm.clone(), took_ms);
    let observation = Observation {
        vm: vm.clone(),
        observed_ms: started_ms,
        present: true,
        slow,
        report: report.clone(),
    };
    agent.own_observations.insert(vm.clone(), observation.clone());
    merge_observation(agent, observation);
    order_if_lagging(agent, at, &vm, &report)
}

/// Stores an observation unless a more recent one of the VM is known.
///
/// A failed probe by one node never replaces the success of another: a VM is missing when its last
/// success is too old.
pub fn merge_observation(agent: &mut Agent, observation: Observation) {
    let known = agent.observations.get(&observation.vm);
    let is_fresher = known.is_none_or(|known| known.observed_ms <= observation.observed_ms);
    if observation.present && is_fresher {
        agent.observations.insert(observation.vm.clone(), observation);
    }
}

fn is_slow(agent: &Agent, vm: &VmName, took_ms: u64) -> bool {
    if took_ms < SLOW_FLOOR_MS {
        return false;
    }
    let mut others: Vec<u64> = agent
        .probe_took_ms
        .iter()
        .filter(|(other, _)| *other != vm)
        .map(|(_, took_ms)| *took_ms)
        .collect();
    if others.is_empty() {
        return false;
    }
    others.sort_unstable();
    took_ms > SLOW_FACTOR * others[others.len() / 2].max(1)
}

/// Sends the order of the VM's group if the VM has not followed it.
fn order_if_lagging(
    agent: &mut Agent,
    at: EventTime,
    vm: &VmName,
    report: &LoadReport,
) -> Vec<Effect> {
    let Some((order, address)) = pending_order(agent, at, vm, report) else {
        return Vec::new();
    };
    agent.last_order_ms.insert(vm.clone(), at.now_ms);
    vec![Effect::SendOrder { vm: vm.clone(), address, order }]
}

fn pending_order(
    agent: &Agent,
    at: EventTime,
    vm: &VmName,
    report: &LoadReport,
) -> Option<(Order, SocketAddr)> {
    let group = agent.replicated.group(agent.replicated.group_of(vm)?)?;
    let pool = agent.replicated.pool(&group.value.pool)?;
    let fence = group.offset.fence();
    let last_ms = agent.last_order_ms.get(vm).copied();
    let is_too_soon = last_ms.is_some_and(|last_ms| at.now_ms < last_ms + ORDER_INTERVAL_MS);
    if pool.value.kind == PoolKind::Plain || report.fence == fence || is_too_soon {
        return None;
    }
    if report.fence > fence {
        // This node lags behind the log. The endpoint would refuse the order, or leave its newer
        // group if it ignores fencing numbers.
        return None;
    }
    let has_run = report.fence != 0;
    if has_run && crate::retired_groups::may_run_requests(agent, vm) {
        return None;
    }
    if !crate::loads::may_load(agent, at, &group.value.group) {
        return None;
    }
    if !pool.value.checks_fence && !may_order_unfenced(agent, at, &group.value.group) {
        return None;
    }
    let address = endpoint_address(agent.vms.get(vm)?)?;
    let order = Order {
        fence,
        group: Some(group.value.group.clone()),
        members: group.value.members.clone(),
        model: pool.value.model.clone(),
        version: group.value.version.clone(),
    };
    Some((order, address))
}

/// Returns whether an order may be sent to an endpoint that ignores fencing numbers.
///
/// The sender must have read the log to its head recently, so that its order is not outdated, and
/// orders for a new group wait until the orders and evidence of earlier groups have expired.
fn may_order_unfenced(agent: &Agent, at: EventTime, group: &GroupName) -> bool {
    let settings = &agent.settings;
    let is_fresh = agent
        .log
        .head_read_ms
        .is_some_and(|read_ms| at.now_ms < read_ms + settings.order_quarantine_ms / 2);
    let folded_ms = agent.group_folded_ms.get(group).copied().unwrap_or(0);
    is_fresh && at.now_ms >= folded_ms + settings.order_quarantine_ms
}

/// The reason why a group must get no work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotServing {
    /// A member has no recent successful probe.
    MemberMissing(VmName),
    /// A member has not completed the order that formed the group.
    MemberNotReady(VmName),
    /// A member is leaving.
    MemberLeaving(VmName),
    /// The data centre is drained.
    Drained,
    /// The head has no known address.
    NoAddress,
}

impl fmt::Display for NotServing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MemberMissing(vm) => write!(f, "member {vm} is missing"),
            Self::MemberNotReady(vm) => write!(f, "member {vm} has not followed its order yet"),
            Self::MemberLeaving(vm) => write!(f, "member {vm} is leaving"),
            Self::Drained => f.write_str("the data centre is drained"),
            Self::NoAddress => f.write_str("the head is not in the VM list"),
        }
    }
}

/// Returns until when the evidence that every member of a group is present and ready is valid.
pub fn evidence_until(
    agent: &Agent,
    at: EventTime,
    spec: &GroupSpec,
    fence: u64,
    pool: &PoolSpec,
) -> Result<u64, NotServing> {
    let mut until_ms = u64::MAX;
    for vm in &spec.members {
        if is_leaving(agent, vm) {
            return Err(NotServing::MemberLeaving(vm.clone()));
        }
        let Some(observation) = agent.observations.get(vm) else {
            return Err(NotServing::MemberMissing(vm.clone()));
        };
        let fresh_until_ms = observation.observed_ms + agent.settings.evidence_fresh_ms;
        if fresh_until_ms <= at.now_ms {
            return Err(NotServing::MemberMissing(vm.clone()));
        }
        let has_followed = observation.report.fence == fence && observation.report.ready;
        if pool.kind == PoolKind::Model && !has_followed {
            return Err(NotServing::MemberNotReady(vm.clone()));
        }
        until_ms = until_ms.min(fresh_until_ms);
    }
    Ok(until_ms)
}

/// Returns whether the VM list, a stop notice or the endpoint says that a VM is leaving.
pub fn is_leaving(agent: &Agent, vm: &VmName) -> bool {
    let is_listed = agent.vms.get(vm).is_some_and(|info| info.state == VmState::Leaving);
    let is_stopped = agent.stops.contains(&StopSubject::EndpointVm(vm.clone()));
    let is_reported =
        agent.observations.get(vm).is_some_and(|observation| observation.report.leaving);
    is_listed || is_stopped || is_reported
}

/// Discards what was observed before a pause, since it may be outdated.
pub fn after_pause(agent: &mut Agent) {
    agent.own_observations.clear();
    agent.observations.clear();
    agent.missing_since_ms.clear();
    agent.owner_seen_ms.clear();
    agent.log.head_read_ms = None;
}

#[cfg(test)]
mod tests {
    use balsam_types::Offset;

    use crate::event::Event;
    use crate::event::PeerSnapshot;
    use crate::fixture::agent;
    use crate::fixture::at;
    use crate::fixture::groups;
    use crate::fixture::list_vms;
    use crate::fixture::probe;
    use crate::fixture::read;
    use crate::reduce::reduce;

    /// Guards against an outdated order that removes an endpoint which ignores fencing numbers from
    /// its new group: the orders of a new group wait, also if it came with an installed state.
    #[rstest::rstest]
    #[case::folded(false)]
    #[case::installed(true)]
    fn an_unfenced_order_waits_for_the_quarantine(#[case] is_installed: bool) {
        let mut agent = agent("a");
        let records = groups(&mut agent, 1, false);
        // Without ticks the node would treat the gap as a pause.
        (1..=20).for_each(|tick| drop(reduce(&mut agent, at(tick * 1_000), Event::Tick)));
        if is_installed {
            let mut peer = crate::fixture::agent("peer");
            read(&mut peer, 5, vec![records]);
            let state = peer.replicated.to_snapshot().into();
            let snapshot = Some(PeerSnapshot { as_of: peer.folded(), state });
            reduce(&mut agent, at(20_000), Event::PeerRecords { snapshot, entries: Vec::new() });
        } else {
            read(&mut agent, 20_000, vec![records]);
        }
        list_vms(&mut agent, 1);
        for now_ms in (20_100..24_900).step_by(400) {
            read(&mut agent, now_ms, Vec::new());
            assert!(probe(&mut agent, now_ms, 0, 0, false).is_empty(), "at {now_ms}");
        }
        read(&mut agent, 25_000, Vec::new());
        assert_eq!(probe(&mut agent, 25_001, 0, 0, false).len(), 1);
    }

    /// Guards against a node that lags behind the log and sends an outdated order.
    #[test]
    fn an_endpoint_that_follows_a_newer_order_gets_no_outdated_one() {
        let mut agent = agent("a");
        let records = groups(&mut agent, 1, false);
        read(&mut agent, 5, vec![records]);
        list_vms(&mut agent, 1);
        (1..=6).for_each(|tick| drop(reduce(&mut agent, at(tick * 1_000), Event::Tick)));
        read(&mut agent, 6_000, Vec::new());
        let newer = Offset::new(9, 0).fence();
        assert!(probe(&mut agent, 6_100, 0, newer, true).is_empty());
        assert_eq!(probe(&mut agent, 6_200, 0, 1, true).len(), 1);
    }
}
