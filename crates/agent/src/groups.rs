//! The groups of this data centre: whether they serve, the owners of their permits, and repair.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use balsam_plan::Placement;
use balsam_plan::RepairAction;
use balsam_plan::RepairLimits;
use balsam_plan::pace::StoreBudget;
use balsam_plan::repair::PlannedRecord;
use balsam_plan::repair::RepairKind;
use balsam_state::Phase;
use balsam_state::Versioned;
use balsam_types::GroupName;
use balsam_types::GroupSpec;
use balsam_types::Offset;
use balsam_types::PoolName;
use balsam_types::PoolSpec;
use balsam_types::RecordKind;
use balsam_types::VmName;
use balsam_types::VmRole;

use crate::effect::Change;
use crate::effect::Effect;
use crate::estate;
use crate::event::EventTime;
use crate::evidence::NotServing;
use crate::evidence::evidence_until;
use crate::state::Agent;
use crate::state::ServingState;

/// How long a permit owner must be missing before another node takes over.
const OWNER_SETTLE_MS: u64 = 3_000;

/// Maximum number of repairs proposed at a time, so that later ones are based on the results.
const MAX_REPAIRS: usize = 16;

/// Estimated time from loaded weights until a group serves, used to choose between repairs.
const START_MS: u64 = 5_000;

/// Length of a data centre's turn to form additional groups.
///
/// The target is estate-wide, and data centres that form groups at the same time could exceed it
/// together.
const FORM_TURN_MS: u64 = 2_000;

/// How long a pool must be below its target before a data centre forms more than its share while
/// another one has not reached its own.
const SHORTFALL_SETTLE_MS: u64 = 10_000;

/// How long a pool must be above its target before a group is retired: the next record of a change
/// in progress may not have arrived yet.
const SURPLUS_SETTLE_MS: u64 = 30_000;

/// Returns the groups of this data centre.
pub fn local_groups(agent: &Agent) -> impl Iterator<Item = (&GroupSpec, Offset)> {
    let groups = agent.replicated.groups();
    let local = groups.filter(|group| group.value.data_centre == agent.data_centre);
    local.map(|group| (&*group.value, group.offset))
}

/// Returns until when a group may serve, or the reason why it may not.
pub fn serving_until(
    agent: &Agent,
    at: EventTime,
    spec: &GroupSpec,
    offset: Offset,
) -> Result<u64, NotServing> {
    if agent.is_drained(&spec.data_centre) {
        return Err(NotServing::Drained);
    }
    let Some(pool) = agent.replicated.pool(&spec.pool) else {
        return Err(NotServing::NoAddress);
    };
    evidence_until(agent, at, spec, offset.fence(), &pool.value)
}

/// Updates which groups serve and reports the changes.
pub fn update_serving(agent: &mut Agent, at: EventTime) -> Vec<Effect> {
    let results: Vec<(GroupName, Result<u64, NotServing>)> = local_groups(agent)
        .map(|(spec, offset)| (spec.group.clone(), serving_until(agent, at, spec, offset)))
        .collect();
    let mut effects = Vec::new();
    let mut states = BTreeMap::new();
    for (group, result) in results {
        let previous = agent.serving.get(&group);
        let serving = result.is_ok();
        let was_serving = previous.is_some_and(|state| state.serving);
        let stopped_since_ms = match (serving, previous) {
            (true, _) => None,
            (false, Some(state)) => state.stopped_since_ms.or(Some(at.now_ms)),
            (false, None) => Some(at.now_ms),
        };
        if serving != was_serving {
            let reason = result.err().map(|reason| reason.to_string()).unwrap_or_default();
            let group = group.clone();
            effects.push(Effect::ReportChange(Change::GroupServing {
                group,
                serving,
                reason: reason.into(),
            }));
        }
        states.insert(group, ServingState { serving, stopped_since_ms });
    }
    agent.serving = states;
    effects
}

/// Tracks since when endpoint VMs of this data centre have been missing.
pub fn track_missing(agent: &mut Agent, at: EventTime) {
    let fresh_ms = agent.settings.evidence_fresh_ms;
    let local = agent.vms.values().filter(|vm| {
        vm.data_centre == agent.data_centre && matches!(vm.role, VmRole::Endpoint { .. })
    });
    let mut names: BTreeSet<VmName> = local.map(|vm| vm.vm.clone()).collect();
    names.extend(local_groups(agent).flat_map(|(spec, _)| spec.members.iter().cloned()));
    agent.missing_since_ms.retain(|vm, _| names.contains(vm));
    for vm in names {
        let observation = agent.observations.get(&vm);
        if observation.is_some_and(|observation| at.now_ms < observation.observed_ms + fresh_ms) {
            agent.missing_since_ms.remove(&vm);
        } else {
            agent.missing_since_ms.entry(vm).or_insert(at.now_ms);
        }
    }
}

/// Proposes this node as owner of the permits of groups without a live owner.
pub fn assign_owners(agent: &mut Agent, at: EventTime) {
    let groups: Vec<GroupName> = local_groups(agent).map(|(spec, _)| spec.group.clone()).collect();
    agent.owner_seen_ms.retain(|group, _| groups.binary_search(group).is_ok());
    for group in groups {
        let owner = agent.replicated.owner(&group);
        let expect_offset = owner.map_or_else(Offset::default, |owner| owner.offset);
        let is_alive =
            owner.is_some_and(|owner| agent.workers().any(|worker| *worker == *owner.value));
        let has_owner = owner.is_some();
        if is_alive {
            agent.owner_seen_ms.insert(group, at.now_ms);
            continue;
        }
        let last_seen_ms = *agent.owner_seen_ms.entry(group.clone()).or_insert(at.now_ms);
        let has_settled = !has_owner || at.now_ms >= last_seen_ms + OWNER_SETTLE_MS;
        if !has_settled || !agent.is_first_for(&format!("permits {group}")) {
            continue;
        }
        let is_queued = agent.appends.contains(|record| {
            matches!(&record.kind, RecordKind::AssignOwner { group: queued, .. } if *queued == group)
        });
        if !is_queued {
            let node = agent.incarnation.clone();
            let kind = RecordKind::AssignOwner { group, node };
            let record = agent.record(at, "the former owner is gone", Some(expect_offset), kind);
            agent.appends.push(record);
        }
    }
}

/// Proposes repairs of this data centre's groups if this node is responsible for them.
pub fn repair(agent: &mut Agent, at: EventTime) -> Vec<Effect> {
    let is_responsible = agent.is_first_for(&format!("repair {}", agent.data_centre));
    let is_queued = agent.appends.contains(|record| {
        matches!(record.kind, RecordKind::FormGroup(_) | RecordKind::RetireGroup(_))
    });
    if !is_responsible || is_queued || agent.is_drained(&agent.data_centre) {
        return Vec::new();
    }
    let estate = estate::build(agent, at);
    let actions = balsam_plan::repair(&estate, &limits(agent));
    let mut quota = formation_quota(agent, at);
    let local_actions: Vec<RepairAction> = actions
        .into_iter()
        .filter(|action| is_local(agent, action))
        .filter(|action| action.kind != RepairKind::Target || consume_quota(&mut quota, action))
        .collect();
    retire_surplus(agent, at);
    let mut effects = Vec::new();
    for action in local_actions {
        let rule = format!("{:?}", action.kind).to_ascii_lowercase();
        effects.push(Effect::ReportChange(Change::Repairing {
            group: action.group.clone(),
            rule: rule.as_str().into(),
        }));
        for PlannedRecord { expect_offset, kind } in action.records {
            let reason = format!("repair: {rule}");
            let record = agent.record(at, &reason, Some(expect_offset), kind);
            agent.appends.push(record);
        }
    }
    effects
}

/// Proposes to retire one group of each pool that has been above its target for a while.
///
/// A surplus arises when data centres form groups while partitioned from each other, or when only
/// the new group of a repair is accepted. Data centres take turns to remove it: a group that does
/// not serve first, otherwise the newest one of the estate. Nothing is retired during a plan, which
/// may need the surplus.
fn retire_surplus(agent: &mut Agent, at: EventTime) {
    let has_plan = agent.replicated.plans().any(|plan| plan.phase == Phase::Confirmed);
    let pools: Vec<PoolSpec> = agent.replicated.pools().map(|pool| (*pool.value).clone()).collect();
    for pool in pools {
        if has_plan || group_count(agent, &pool.pool) <= pool.target_groups as usize {
            agent.above_target_since_ms.remove(&pool.pool);
            continue;
        }
        let since_ms = *agent.above_target_since_ms.entry(pool.pool.clone()).or_insert(at.now_ms);
        let (count, position) = estate::data_centre_position(agent, &pool.pool);
        let is_turn = (at.wall_ms / FORM_TURN_MS) % count == position;
        if at.now_ms < since_ms + SURPLUS_SETTLE_MS || !is_turn {
            continue;
        }
        if let Some((group, expect_offset)) = surplus_group(agent, &pool.pool) {
            let kind = RecordKind::RetireGroup(group);
            let record = agent.record(at, "more groups than wanted", Some(expect_offset), kind);
            agent.appends.push(record);
        }
    }
}

fn surplus_group(agent: &Agent, pool: &PoolName) -> Option<(GroupName, Offset)> {
    let of_pool = || agent.replicated.groups().filter(|group| group.value.pool == *pool);
    let newest = of_pool().max_by_key(|group| group.offset)?;
    let is_local = |group: &&Versioned<GroupSpec>| group.value.data_centre == agent.data_centre;
    let is_idle = |group: &&Versioned<GroupSpec>| {
        agent.serving.get(&group.value.group).is_some_and(|state| !state.serving)
    };
    let idle = of_pool().filter(is_local).filter(is_idle).max_by_key(|group| group.offset);
    let chosen = idle.or_else(|| Some(newest).filter(is_local))?;
    Some((chosen.value.group.clone(), chosen.offset))
}

/// Removes data about groups and plans that no longer exist; group names are never reused.
pub fn forget_retired(agent: &mut Agent) {
    let replicated = &agent.replicated;
    agent.group_folded_ms.retain(|group, _| replicated.group(group).is_some());
    agent.previous_owner_offsets.retain(|group, _| replicated.group(group).is_some());
    agent.loading_since_ms.retain(|group, _| replicated.group(group).is_some());
    agent.step_effective_since_ms.retain(|(plan, _), _| replicated.plan(plan).is_some());
}

/// Returns how many more groups of each pool this data centre may form now.
///
/// Each data centre may form its equal share at any time. Data centres take turns to form the rest
/// one at a time, once all shares are formed or one has been missing for a while, since its data
/// centre may not have enough VMs.
fn formation_quota(agent: &mut Agent, at: EventTime) -> BTreeMap<PoolName, u64> {
    track_shortfall(agent, at);
    let of_pool = |pool: &PoolSpec| {
        let (count, position) = estate::data_centre_position(agent, &pool.pool);
        let is_turn = (at.wall_ms / FORM_TURN_MS) % count == position;
        let local = local_groups(agent).filter(|(spec, _)| spec.pool == pool.pool).count() as u64;
        let share = u64::from(pool.target_groups) / count;
        let below_target_since_ms =
            agent.below_target_since_ms.get(&pool.pool).copied().unwrap_or(at.now_ms);
        let has_settled = at.now_ms >= below_target_since_ms + SHORTFALL_SETTLE_MS;
        let are_shares_filled = group_count(agent, &pool.pool) as u64 >= share * count;
        let may_form_extra = is_turn && (are_shares_filled || has_settled);
        share.saturating_sub(local).max(u64::from(may_form_extra))
    };
    let pools = agent.replicated.pools();
    pools.map(|pool| (pool.value.pool.clone(), of_pool(&pool.value))).collect()
}

fn track_shortfall(agent: &mut Agent, at: EventTime) {
    let replicated = &agent.replicated;
    let targets = replicated.pools().map(|pool| (&pool.value.pool, pool.value.target_groups));
    let below_target = targets.filter(|(pool, target)| group_count(agent, pool) < *target as usize);
    let below_target: BTreeSet<PoolName> = below_target.map(|(pool, _)| pool.clone()).collect();
    agent.below_target_since_ms.retain(|pool, _| below_target.contains(pool));
    for pool in below_target {
        agent.below_target_since_ms.entry(pool).or_insert(at.now_ms);
    }
}

fn group_count(agent: &Agent, pool: &PoolName) -> usize {
    agent.replicated.groups().filter(|group| group.value.pool == *pool).count()
}

fn consume_quota(quota: &mut BTreeMap<PoolName, u64>, action: &RepairAction) -> bool {
    let formed = action.records.iter().find_map(|record| match &record.kind {
        RecordKind::FormGroup(spec) => Some(&spec.pool),
        _ => None,
    });
    let Some(remaining) = formed.and_then(|pool| quota.get_mut(pool)) else {
        return false;
    };
    let is_allowed = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    is_allowed
}

fn is_local(agent: &Agent, action: &RepairAction) -> bool {
    action.records.iter().all(|record| match &record.kind {
        RecordKind::FormGroup(spec) => spec.data_centre == agent.data_centre,
        RecordKind::RetireGroup(group) => agent
            .replicated
            .group(group)
            .is_some_and(|group| group.value.data_centre == agent.data_centre),
        _ => false,
    })
}

/// Returns the limits for repair and planning.
pub fn limits(agent: &Agent) -> RepairLimits {
    let rate = agent.settings.store_bytes_per_s;
    RepairLimits {
        settled_ms: agent.settings.settle_ms,
        max_actions: MAX_REPAIRS,
        start_ms: START_MS,
        quarantine_ms: agent.settings.order_quarantine_ms,
        store: StoreBudget { total_bytes_per_s: rate, vm_bytes_per_s: rate, committed_bytes: 0 },
        placement: Placement::KeepSpares,
    }
}

#[cfg(test)]
mod tests {
    use crate::event::Event;
    use crate::fixture::agent;
    use crate::fixture::appended;
    use crate::fixture::at;
    use crate::fixture::groups;
    use crate::fixture::read;
    use crate::reduce::reduce;

    /// Guards against two owners of permits when two nodes both consider themselves first.
    #[test]
    fn of_two_nodes_that_both_take_over_permits_one_owns_them() {
        let (mut a, mut b) = (agent("a"), agent("b"));
        let records = groups(&mut a, 1, true);
        read(&mut a, 5, vec![records.clone()]);
        read(&mut b, 5, vec![records]);
        let of_a = appended(&reduce(&mut a, at(10), Event::Tick));
        let of_b = appended(&reduce(&mut b, at(10), Event::Tick));
        assert_eq!((of_a.len(), of_b.len()), (1, 1));
        let batches = vec![of_b, of_a];
        read(&mut a, 20, batches.clone());
        read(&mut b, 20, batches);
        for node in [&a, &b] {
            let owner = node.replicated.owner(&"g-0".try_into().unwrap()).unwrap();
            assert_eq!(*owner.value, b.incarnation);
        }
    }
}
