//! Groups that were retired while they may have been running requests.
//!
//! A member that gets the order of its next group drops its requests. A planned change, such as a
//! version roll or a leaving VM, must not interrupt requests, so the order waits until the head of
//! the retired group is idle. A group that lost a member has already lost its requests, so orders
//! do not wait for it. See `docs/design.md`, sections 2 and 11.

use std::collections::BTreeMap;
use std::sync::Arc;

use balsam_types::GroupName;
use balsam_types::GroupSpec;
use balsam_types::VmName;

use crate::event::EventTime;
use crate::state::Agent;
use crate::state::RetiredGroup;

/// How long after the retirement other nodes may still send requests to the group because they
/// have not folded the record.
const FOLD_DELAY_MS: u64 = 3_000;

/// Tracks the groups that were retired since the last call.
pub fn track_retired(agent: &mut Agent, at: EventTime) {
    let groups = agent.replicated.groups();
    let local = groups.filter(|group| group.value.data_centre == agent.data_centre);
    let current: BTreeMap<GroupName, Arc<GroupSpec>> =
        local.map(|group| (group.value.group.clone(), group.value.clone())).collect();
    let previous = std::mem::take(&mut agent.retired_groups.current);
    for (name, spec) in previous {
        if !current.contains_key(&name) && is_complete(agent, at, &spec) {
            let group = RetiredGroup { spec, retired_ms: at.now_ms, is_idle: false };
            agent.retired_groups.retired.insert(name, group);
            // The node that sends the next orders must probe the head of the retired group itself.
            agent.probe_targets.as_of_ms = None;
        }
    }
    agent.retired_groups.current = current;
}

fn is_complete(agent: &Agent, at: EventTime, spec: &GroupSpec) -> bool {
    let fresh_ms = agent.settings.evidence_fresh_ms;
    let is_seen = |vm: &VmName| {
        agent
            .observations
            .get(vm)
            .is_some_and(|observation| at.now_ms < observation.observed_ms + fresh_ms)
    };
    spec.members.iter().all(is_seen)
}

/// Updates which retired groups are idle and removes those whose requests have passed the longest
/// deadline.
pub fn tick(agent: &mut Agent, at: EventTime) {
    let longest_ms = agent.settings.longest_deadline_ms;
    let observations = &agent.own_observations;
    for group in agent.retired_groups.retired.values_mut() {
        let head = observations.get(group.spec.head());
        group.is_idle |= head.is_some_and(|observation| {
            let is_late_enough = observation.observed_ms >= group.retired_ms + FOLD_DELAY_MS;
            is_late_enough && observation.present && observation.report.in_flight == 0
        });
    }
    let previous_len = agent.retired_groups.retired.len();
    agent
        .retired_groups
        .retired
        .retain(|_, group| at.now_ms < group.retired_ms + FOLD_DELAY_MS + longest_ms);
    if agent.retired_groups.retired.len() != previous_len {
        agent.probe_targets.as_of_ms = None;
    }
}

/// Returns whether a VM may still be running requests of a retired group.
pub fn may_run_requests(agent: &Agent, vm: &VmName) -> bool {
    let mut busy = agent.retired_groups.retired.values().filter(|group| !group.is_idle);
    busy.any(|group| group.spec.members.contains(vm))
}

#[cfg(test)]
mod tests {
    use balsam_types::Author;
    use balsam_types::OperatorName;
    use balsam_types::PoolKind;
    use balsam_types::PoolSpec;
    use balsam_types::Record;
    use balsam_types::RecordId;
    use balsam_types::RecordKind;
    use balsam_types::VmInfo;
    use balsam_types::VmRole;
    use balsam_types::VmState;
    use balsam_types::vm::VmList;

    use super::*;
    use crate::effect::Effect;
    use crate::event::Event;
    use crate::event::LoadReport;
    use crate::event::ProbeResult;
    use crate::fixture::agent;
    use crate::fixture::at;
    use crate::fixture::read;
    use crate::reduce::reduce;

    const MEMBERS: [&str; 2] = ["vm-1", "vm-2"];

    fn record(id: u128, kind: RecordKind) -> Record {
        let operator = OperatorName::try_from("eva").unwrap();
        let author = Author::Operator(operator);
        let reason = "test".into();
        Record { record_id: RecordId(id), author, at_ms: 0, reason, expect_offset: None, kind }
    }

    fn pool() -> PoolSpec {
        PoolSpec {
            pool: "p".try_into().unwrap(),
            kind: PoolKind::Model,
            model: "m".into(),
            version: "v2".into(),
            group_vms: 2,
            target_groups: 1,
            limit: 8,
            cold_limit: 1,
            checks_fence: true,
            not_run_statuses: Vec::new(),
            weight_bytes: 1,
        }
    }

    fn group(name: &str, version: &str) -> GroupSpec {
        GroupSpec {
            group: name.try_into().unwrap(),
            pool: "p".try_into().unwrap(),
            data_centre: "dc".try_into().unwrap(),
            fabric_domain: "rack".try_into().unwrap(),
            members: MEMBERS.iter().map(|vm| (*vm).try_into().unwrap()).collect(),
            version: version.into(),
        }
    }

    fn vms() -> VmList {
        let vm = |name: &&str| VmInfo {
            vm: (*name).try_into().unwrap(),
            region: "r".try_into().unwrap(),
            data_centre: "dc".try_into().unwrap(),
            fabric_domain: "rack".try_into().unwrap(),
            state: VmState::Live,
            role: VmRole::Endpoint {
                pool: "p".try_into().unwrap(),
                address: ([127, 0, 0, 1], 2).into(),
                accelerators: 4,
            },
        };
        VmList { as_of_ms: 1, vms: MEMBERS.iter().map(vm).collect() }
    }

    /// Makes both members answer a probe; returns the number of orders that the node sends.
    fn probe(agent: &mut Agent, now_ms: u64, fence: u64, in_flight: u32) -> usize {
        let mut orders = 0;
        for vm in MEMBERS {
            let report = LoadReport {
                instance: "i".into(),
                fence,
                ready: true,
                leaving: false,
                temperature: balsam_route::Temperature::Warm,
                in_flight,
                age_ms: 0,
            };
            let vm = vm.try_into().unwrap();
            let result = ProbeResult::Report(report);
            let event = Event::Probed { vm, started_ms: now_ms, took_ms: 1, result };
            let mut effects = reduce(agent, at(now_ms), event);
            effects.extend(reduce(agent, at(now_ms), Event::Tick));
            let sent = effects.iter().filter(|e| matches!(e, Effect::SendOrder { .. }));
            orders += sent.count();
        }
        orders
    }

    /// Guards against a version roll that interrupts the requests of the group it replaces.
    #[test]
    fn members_get_their_next_order_only_when_the_retired_group_is_idle() {
        let mut agent = agent("entry-1");
        reduce(&mut agent, at(0), Event::VmList(vms()));
        let formed = [RecordKind::PutPool(pool()), RecordKind::FormGroup(group("g1", "v1"))];
        let formed = formed.into_iter().zip(1..).map(|(kind, id)| record(id, kind)).collect();
        read(&mut agent, 100, vec![formed]);
        let name = GroupName::try_from("g1").unwrap();
        let fence = agent.replicated.group(&name).unwrap().offset.fence();
        assert_eq!(probe(&mut agent, 200, fence, 3), 0);
        let rolled = [RecordKind::RetireGroup(name), RecordKind::FormGroup(group("g2", "v2"))];
        let rolled = rolled.into_iter().zip(10..).map(|(kind, id)| record(id, kind)).collect();
        read(&mut agent, 300, vec![rolled]);
        for now_ms in (800..10_000).step_by(500) {
            assert_eq!(probe(&mut agent, now_ms, fence, 3), 0, "busy at {now_ms} ms");
        }
        probe(&mut agent, 10_000, fence, 0);
        assert_eq!(probe(&mut agent, 11_500, fence, 0), 2);
    }
}
