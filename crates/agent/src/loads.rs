//! Makes groups load weights one after another, since the weight store is rate-limited.

use balsam_plan::pace::LoadOrder;
use balsam_plan::pace::StoreBudget;
use balsam_plan::pace::rates;
use balsam_types::GroupName;
use balsam_types::GroupSpec;
use balsam_types::Offset;
use balsam_types::PoolKind;

use crate::event::EventTime;
use crate::groups::local_groups;
use crate::state::Agent;

/// The progress of a group's members with their order.
struct Progress {
    is_present: bool,
    /// Number of members that have not completed the order.
    pending_members: u32,
    /// Whether a member has accepted the order but not completed it.
    is_loading: bool,
}

/// Tracks since when each group of this data centre has been loading.
pub fn track_loading(agent: &mut Agent, at: EventTime) {
    let loading: Vec<GroupName> = local_groups(agent)
        .filter(|(spec, offset)| progress(agent, at, spec, *offset).is_loading)
        .map(|(spec, _)| spec.group.clone())
        .collect();
    agent.loading_since_ms.retain(|group, _| loading.contains(group));
    for group in loading {
        agent.loading_since_ms.entry(group).or_insert(at.now_ms);
    }
}

/// Returns whether a group may load now.
///
/// Groups load in the order of their offsets, which is the same on every node. A group with a
/// missing member or past its expected load time does not block the others.
pub fn may_load(agent: &Agent, at: EventTime, group: &GroupName) -> bool {
    let rate = agent.settings.store_bytes_per_s;
    let mut waiting: Vec<(Offset, LoadOrder)> = local_groups(agent)
        .filter_map(|(spec, offset)| Some((offset, pending_load(agent, at, spec, offset)?)))
        .collect();
    waiting.retain(|(_, order)| order.remaining_bytes > 0);
    let is_waiting = waiting.iter().any(|(_, order)| order.group == *group);
    if rate == 0 || !is_waiting {
        // A group with a missing member or past its load time loads when no other group waits.
        return rate == 0 || waiting.is_empty() || is_free_to_load(agent, group);
    }
    waiting.sort_unstable_by_key(|(offset, _)| *offset);
    let orders: Vec<LoadOrder> = (0..)
        .zip(waiting)
        .map(|(position, (_, order))| LoadOrder { waiting_since_ms: position, ..order })
        .collect();
    let budget = StoreBudget { total_bytes_per_s: rate, vm_bytes_per_s: rate, committed_bytes: 0 };
    let rates = rates(&orders, &budget);
    orders.iter().zip(rates).any(|(order, rate)| order.group == *group && rate > 0)
}

/// Returns whether the group's pool loads nothing from the weight store.
fn is_free_to_load(agent: &Agent, group: &GroupName) -> bool {
    let pool = agent.replicated.group(group).map(|group| group.value.pool.clone());
    let pool = pool.and_then(|pool| agent.replicated.pool(&pool));
    pool.is_none_or(|pool| pool.value.weight_bytes == 0)
}

/// Returns what a group still has to load; `None` if it has finished or cannot load.
fn pending_load(
    agent: &Agent,
    at: EventTime,
    spec: &GroupSpec,
    offset: Offset,
) -> Option<LoadOrder> {
    let pool = &agent.replicated.pool(&spec.pool)?.value;
    let progress = progress(agent, at, spec, offset);
    if pool.kind == PoolKind::Plain || !progress.is_present || progress.pending_members == 0 {
        return None;
    }
    let bytes = pool.weight_bytes.saturating_mul(u64::from(progress.pending_members));
    let since_ms = agent.loading_since_ms.get(&spec.group);
    let loaded = since_ms.map_or(0, |since_ms| {
        let loading_ms = at.now_ms - since_ms;
        agent.settings.store_bytes_per_s.saturating_mul(loading_ms) / 1_000
    });
    Some(LoadOrder {
        group: spec.group.clone(),
        priority: 0,
        waiting_since_ms: 0,
        members: progress.pending_members,
        remaining_bytes: bytes.saturating_sub(loaded),
    })
}

fn progress(agent: &Agent, at: EventTime, spec: &GroupSpec, offset: Offset) -> Progress {
    let fence = offset.fence();
    let mut progress = Progress { is_present: true, pending_members: 0, is_loading: false };
    for vm in &spec.members {
        let observation = agent.observations.get(vm);
        let fresh_ms = agent.settings.evidence_fresh_ms;
        let Some(observation) =
            observation.filter(|observation| at.now_ms < observation.observed_ms + fresh_ms)
        else {
            progress.is_present = false;
            continue;
        };
        let follows_order = observation.report.fence == fence;
        progress.pending_members += u32::from(!(follows_order && observation.report.ready));
        progress.is_loading |= follows_order && !observation.report.ready;
    }
    progress
}

#[cfg(test)]
mod tests {
    use crate::fixture::agent;
    use crate::fixture::groups;
    use crate::fixture::list_vms;
    use crate::fixture::probe;
    use crate::fixture::read;

    /// Guards against groups that load at the same time, so that each waits for the whole transfer,
    /// and against a group that never finishes loading and blocks the others.
    #[test]
    fn groups_load_one_after_another_and_a_stuck_one_does_not_block() {
        let mut agent = agent("a");
        let records = groups(&mut agent, 2, true);
        read(&mut agent, 5, vec![records]);
        list_vms(&mut agent, 2);
        let first = agent.replicated.group(&"g-0".try_into().unwrap()).unwrap().offset.fence();
        assert_eq!(probe(&mut agent, 10, 0, 0, false).len(), 1);
        assert_eq!(probe(&mut agent, 20, 1, 0, false).len(), 0);
        probe(&mut agent, 1_000, 0, first, false);
        crate::reduce::reduce(&mut agent, crate::fixture::at(1_000), crate::Event::Tick);
        probe(&mut agent, 2_000, 0, first, false);
        assert_eq!(probe(&mut agent, 2_010, 1, 0, false).len(), 0);
        // The load time of 2 GB at 1 GB/s has passed since the first group was seen loading.
        probe(&mut agent, 3_000, 0, first, false);
        assert_eq!(probe(&mut agent, 3_010, 1, 0, false).len(), 1);
    }
}
