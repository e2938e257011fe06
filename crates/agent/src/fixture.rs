//! A node for unit tests.

use balsam_state::LogEntry;
use balsam_types::*;

use crate::effect::Effect;
use crate::event::Event;
use crate::event::EventTime;
use crate::event::LoadReport;
use crate::event::ProbeResult;
use crate::reduce::reduce;
use crate::state::Agent;
use crate::state::AgentSettings;

pub(crate) fn at(now_ms: u64) -> EventTime {
    EventTime { now_ms, wall_ms: 1_000_000 + now_ms }
}

pub(crate) fn incarnation(vm: &str) -> Incarnation {
    Incarnation { vm: vm.try_into().unwrap(), start_ms: 1, nonce: 7 }
}

/// Creates a node that has read an empty log.
pub(crate) fn agent(vm: &str) -> Agent {
    let limits = balsam_state::Limits::default();
    let settings = AgentSettings {
        claim_dispatch_ms: 3_000,
        claim_wait_ms: 2_000,
        key_window_ms: limits.key_window_ms,
        probe_interval_ms: 500,
        probers: 2,
        evidence_fresh_ms: 2_000,
        settle_ms: 3_000,
        order_quarantine_ms: 5_000,
        longest_deadline_ms: 60_000,
        store_bytes_per_s: 1_000_000_000,
        snapshot_every_records: 1_000,
        limits,
    };
    let address = ([127, 0, 0, 1], 1).into();
    let (region, dc) = ("r".try_into().unwrap(), "dc".try_into().unwrap());
    // Nodes with the same seed would create records with the same ids.
    let seed = crate::rank::weight("seed", vm);
    let mut agent = Agent::new(settings, incarnation(vm), region, dc, address, seed);
    read(&mut agent, 0, Vec::new());
    agent
}

/// Lets the node read further appends of the log.
pub(crate) fn read(agent: &mut Agent, now_ms: u64, batches: Vec<Vec<Record>>) -> Vec<Effect> {
    let first = agent.log.next_append.max(1);
    let appends = first..;
    let entries: Vec<LogEntry> = appends
        .zip(batches)
        .map(|(append, records)| LogEntry { append, appended_at_ms: now_ms, records })
        .collect();
    let next_append = first + entries.len() as u64;
    let event = Event::LogRead { started_ms: now_ms, entries, first_append: 1, next_append };
    reduce(agent, at(now_ms), event)
}

/// Returns the records of all appends among the effects.
pub(crate) fn appended(effects: &[Effect]) -> Vec<Record> {
    let appends = effects.iter().filter_map(|effect| match effect {
        Effect::Append { records, .. } => Some(records.clone()),
        _ => None,
    });
    appends.flatten().collect()
}

/// Returns the records of a pool and of groups `g-0`, `g-1` and so on with one VM each.
pub(crate) fn groups(agent: &mut Agent, count: usize, checks_fence: bool) -> Vec<Record> {
    let pool = PoolSpec {
        pool: "p".try_into().unwrap(),
        kind: PoolKind::Model,
        model: "m".into(),
        version: "1".into(),
        group_vms: 1,
        target_groups: count as u32,
        limit: 8,
        cold_limit: 1,
        checks_fence,
        not_run_statuses: Vec::new(),
        weight_bytes: 2_000_000_000,
    };
    let mut kinds = vec![RecordKind::PutPool(pool)];
    kinds.extend((0..count).map(|number| {
        RecordKind::FormGroup(GroupSpec {
            group: format!("g-{number}").try_into().unwrap(),
            pool: "p".try_into().unwrap(),
            data_centre: "dc".try_into().unwrap(),
            fabric_domain: "f".try_into().unwrap(),
            members: vec![format!("vm-{number}").try_into().unwrap()],
            version: "1".into(),
        })
    }));
    kinds.into_iter().map(|kind| agent.record(at(0), "", None, kind)).collect()
}

/// Sends the node a VM list with the VMs of those groups.
pub(crate) fn list_vms(agent: &mut Agent, count: usize) {
    let vms = (0..count).map(|number| VmInfo {
        vm: format!("vm-{number}").try_into().unwrap(),
        region: "r".try_into().unwrap(),
        data_centre: "dc".try_into().unwrap(),
        fabric_domain: "f".try_into().unwrap(),
        state: VmState::Live,
        role: VmRole::Endpoint {
            pool: "p".try_into().unwrap(),
            address: ([127, 0, 0, 1], 9).into(),
            accelerators: 4,
        },
    });
    let list = vm::VmList { as_of_ms: 1, vms: vms.collect() };
    reduce(agent, at(1), Event::VmList(list));
}

/// Completes a probe of a VM and returns the VMs that get an order.
pub(crate) fn probe(
    agent: &mut Agent,
    now_ms: u64,
    number: usize,
    fence: u64,
    ready: bool,
) -> Vec<VmName> {
    let report = LoadReport {
        instance: "1".into(),
        fence,
        ready,
        leaving: false,
        temperature: balsam_route::Temperature::Warm,
        in_flight: 0,
        age_ms: 0,
    };
    let vm = format!("vm-{number}").try_into().unwrap();
    let result = ProbeResult::Report(report);
    let event = Event::Probed { vm, started_ms: now_ms, took_ms: 1, result };
    let effects = reduce(agent, at(now_ms), event);
    let ordered = effects.into_iter().filter_map(|effect| match effect {
        Effect::SendOrder { vm, .. } => Some(vm),
        _ => None,
    });
    ordered.collect()
}
