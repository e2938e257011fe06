//! Proposes the steps of confirmed plans after the first one.

use balsam_peer::MemberState;
use balsam_peer::StopSubject;
use balsam_state::Phase;
use balsam_types::PlanName;
use balsam_types::PoolName;
use balsam_types::RecordKind;
use balsam_types::record::PlanSpec;

use crate::event::EventTime;
use crate::rank::rank;
use crate::state::Agent;

/// Minimum time between two steps, so that probes have observed the previous one.
const STEP_INTERVAL_MS: u64 = 3_000;

/// Proposes the next step of each confirmed plan whose previous step is in effect.
pub fn advance(agent: &mut Agent, at: EventTime) {
    let due: Vec<(PlanName, u32)> = agent
        .replicated
        .plans()
        .filter(|plan| plan.phase == Phase::Confirmed)
        .filter(|plan| is_responsible(agent, &plan.spec.plan))
        .filter(|plan| is_last_step_in_effect(agent, at, &plan.spec, plan.steps_done))
        .map(|plan| (plan.spec.plan.clone(), plan.steps_done))
        .collect();
    for (plan, step) in due {
        let is_queued = agent.appends.contains(|record| {
            matches!(&record.kind, RecordKind::StepDone { plan: queued, .. } if *queued == plan)
        });
        if is_queued {
            continue;
        }
        let since_ms =
            agent.step_effective_since_ms.entry((plan.clone(), step)).or_insert(at.now_ms);
        if at.now_ms < *since_ms + STEP_INTERVAL_MS {
            continue;
        }
        let kind = RecordKind::StepDone { plan, step };
        let record = agent.record(at, "the former step has taken hold", None, kind);
        agent.appends.push(record);
    }
}

fn is_responsible(agent: &Agent, plan: &PlanName) -> bool {
    let alive = agent.members.iter().filter(|member| member.state == MemberState::Alive);
    let others = alive.map(|member| &member.incarnation);
    !agent.leaving && rank(&format!("plan {plan}"), &agent.incarnation, others) == 0
}

/// Returns whether there is a next step and all formed groups of the pools that the previous step
/// affected are serving.
fn is_last_step_in_effect(agent: &Agent, at: EventTime, plan: &PlanSpec, steps_done: u32) -> bool {
    let Some(last_step) = plan.steps.get((steps_done as usize).saturating_sub(1)) else {
        return false;
    };
    if steps_done as usize >= plan.steps.len() {
        return false;
    }
    last_step
        .capacity_left
        .iter()
        .all(|(pool, _)| serving_group_count(agent, at, pool) >= formed_groups(agent, pool))
}

fn formed_groups(agent: &Agent, pool: &PoolName) -> usize {
    let groups = agent.replicated.groups().filter(|group| group.value.pool == *pool);
    groups.filter(|group| !agent.is_drained(&group.value.data_centre)).count()
}

/// Returns the number of serving groups of a pool, by this node's evidence and the summaries of
/// other data centres.
pub fn serving_group_count(agent: &Agent, at: EventTime, pool: &PoolName) -> usize {
    let local = crate::groups::local_groups(agent).filter(|(spec, offset)| {
        spec.pool == *pool && crate::groups::serving_until(agent, at, spec, *offset).is_ok()
    });
    let remote = agent.summaries.iter().filter(|summary| summary.data_centre != agent.data_centre);
    let pools = remote.flat_map(|summary| &summary.summary.pools);
    let remote_groups: u32 =
        pools.filter(|other| other.pool == *pool).map(|other| other.serving_groups).sum();
    local.count() + remote_groups as usize
}

/// Returns what the first step of a confirmed plan takes out of service.
///
/// Stopping work needs no agreement, so it takes effect before the log confirms the record.
pub fn stops_of(agent: &Agent, kind: &RecordKind) -> Vec<StopSubject> {
    let RecordKind::ConfirmPlan(plan) = kind else {
        return Vec::new();
    };
    let Some(plan) = agent.replicated.plan(plan) else {
        return Vec::new();
    };
    let first = plan.spec.steps.first();
    let changes = first.map(|step| step.changes.as_slice()).unwrap_or_default();
    let drains = changes.iter().filter_map(|change| match change {
        RecordKind::DrainDataCentre(name) => Some(StopSubject::DataCentre(name.clone())),
        _ => None,
    });
    drains.collect()
}
