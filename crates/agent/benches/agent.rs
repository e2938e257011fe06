//! Measures the reducer at the planned size and prints each figure with its bound and source.
//!
//! It exits with a failure if a figure exceeds its bound.

#![expect(clippy::print_stdout, reason = "a bench prints its figures")]

use std::hint::black_box;
use std::time::Instant;

use balsam_agent::Agent;
use balsam_agent::AgentSettings;
use balsam_agent::Event;
use balsam_agent::EventTime;
use balsam_agent::event::LoadReport;
use balsam_agent::event::Observation;
use balsam_agent::reduce;
use balsam_agent::table;
use balsam_peer::Member;
use balsam_peer::MemberState;
use balsam_route::Temperature;
use balsam_state::Limits;
use balsam_state::LogEntry;
use balsam_types::*;

const DATA_CENTRES: usize = 5;
const TICKS: u64 = 50;

struct Size {
    nodes: usize,
    endpoints: usize,
}

fn name<T: for<'a> TryFrom<&'a str, Error: std::fmt::Debug>>(raw: &str) -> T {
    T::try_from(raw).unwrap()
}

fn info(raw: &str, index: usize, role: VmRole) -> VmInfo {
    let dc = index % DATA_CENTRES;
    VmInfo {
        vm: name(raw),
        region: name("region"),
        data_centre: name(&format!("dc-{dc}")),
        fabric_domain: name(&format!("fabric-{dc}-{}", index / DATA_CENTRES / 24)),
        state: VmState::Live,
        role,
    }
}

fn pool(size: &Size) -> PoolSpec {
    PoolSpec {
        pool: name("model"),
        kind: PoolKind::Model,
        model: "m".into(),
        version: "1".into(),
        group_vms: 8,
        target_groups: (size.endpoints / 8) as u32,
        limit: 64,
        cold_limit: 4,
        checks_fence: true,
        not_run_statuses: Vec::new(),
        weight_bytes: 1_000_000_000,
    }
}

fn record(id: u128, kind: RecordKind) -> Record {
    let author = Author::Operator(name("eva"));
    Record {
        record_id: RecordId(id),
        author,
        at_ms: 0,
        reason: "".into(),
        expect_offset: None,
        kind,
    }
}

/// Returns the records of a pool and of groups of eight VMs in all data centres.
fn form_records(size: &Size) -> Vec<Record> {
    let groups = (0..DATA_CENTRES).flat_map(|dc| {
        let local: Vec<usize> = (dc..size.endpoints).step_by(DATA_CENTRES).collect();
        let groups: Vec<Vec<usize>> = local.chunks_exact(8).map(<[usize]>::to_vec).collect();
        groups.into_iter().map(move |members| (dc, members))
    });
    let groups = groups.enumerate().map(|(number, (dc, members))| {
        let members = members.iter().map(|vm| name(&format!("vm-{vm}"))).collect();
        let spec = GroupSpec {
            group: name(&format!("group-{number}")),
            pool: name("model"),
            data_centre: name(&format!("dc-{dc}")),
            fabric_domain: name(&format!("fabric-{dc}")),
            members,
            version: "1".into(),
        };
        record(number as u128 + 10, RecordKind::FormGroup(spec))
    });
    std::iter::once(record(1, RecordKind::PutPool(pool(size)))).chain(groups).collect()
}

fn at(now_ms: u64) -> EventTime {
    EventTime { now_ms, wall_ms: 1_700_000_000_000 + now_ms }
}

fn settings() -> AgentSettings {
    let limits = Limits::default();
    AgentSettings {
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
        snapshot_every_records: 100_000,
        limits,
    }
}

fn build_agent(size: &Size) -> Agent {
    let incarnation = Incarnation { vm: name("entry-0"), start_ms: 1, nonce: 0 };
    let address = ([127, 0, 0, 1], 1).into();
    let mut agent = Agent::new(settings(), incarnation, name("region"), name("dc-0"), address, 1);
    let endpoints = (0..size.endpoints).map(|index| {
        let role = VmRole::Endpoint { pool: name("model"), address, accelerators: 4 };
        info(&format!("vm-{index}"), index, role)
    });
    let entries = (0..size.nodes).map(|index| {
        info(&format!("entry-{index}"), index, VmRole::Entry { peer_address: address })
    });
    let vms: Vec<VmInfo> = endpoints.chain(entries).collect();
    reduce(&mut agent, at(0), Event::VmList(vm::VmList { as_of_ms: 1, vms: vms.into() }));
    let entries = vec![LogEntry { append: 1, appended_at_ms: 1, records: form_records(size) }];
    let read = Event::LogRead { started_ms: 0, entries, first_append: 1, next_append: 2 };
    reduce(&mut agent, at(0), read);
    agent
}

fn peers_event(agent: &Agent, size: &Size, now_ms: u64) -> Event {
    let members = (1..size.nodes).map(|index| Member {
        incarnation: Incarnation { vm: name(&format!("entry-{index}")), start_ms: 1, nonce: 0 },
        data_centre: name(&format!("dc-{}", index % DATA_CENTRES)),
        region: name("region"),
        peer_address: ([127, 0, 0, 1], 1).into(),
        state: MemberState::Alive,
        folded_offset: agent.folded(),
        platform_reachable: true,
        heartbeat: now_ms,
        age_ms: 0,
    });
    let observations = (0..size.endpoints).step_by(DATA_CENTRES).map(|index| {
        let vm: VmName = name(&format!("vm-{index}"));
        let group = agent.replicated.group_of(&vm).and_then(|g| agent.replicated.group(g));
        Observation {
            observed_ms: now_ms,
            present: true,
            slow: false,
            report: LoadReport {
                instance: "1".into(),
                fence: group.map_or(0, |group| group.offset.fence()),
                ready: true,
                leaving: false,
                temperature: Temperature::Warm,
                in_flight: 3,
                age_ms: 10,
            },
            vm,
        }
    });
    let observations = observations.collect();
    let (stops, summaries) = (Vec::new(), Vec::new());
    Event::Peers { members: members.collect(), observations, stops, summaries }
}

/// Returns the mean time of a tick and of the peers event before it, in µs.
fn tick_us(agent: &mut Agent, size: &Size, from_ms: u64) -> f64 {
    let mut total_us = 0.0;
    for tick in 0..TICKS {
        let now_ms = from_ms + tick * 100;
        let view = peers_event(agent, size, now_ms);
        let start = Instant::now();
        black_box(reduce(agent, at(now_ms), view));
        black_box(reduce(agent, at(now_ms), Event::Tick));
        total_us += start.elapsed().as_secs_f64() * 1e6;
    }
    total_us / TICKS as f64
}

fn report(name: &str, value: f64, unit: &str, bound: f64, source: &str) -> bool {
    let is_ok = value <= bound;
    let verdict = if is_ok { "ok" } else { "EXCEEDED" };
    println!("{name}: {value:.1} {unit}, bound {bound} {unit} ({source}) {verdict}");
    is_ok
}

fn main() {
    let mut is_ok = true;
    for size in [
        Size { nodes: 6, endpoints: 64 },
        Size { nodes: 24, endpoints: 200 },
        Size { nodes: 96, endpoints: 450 },
        Size { nodes: 390, endpoints: 900 },
    ] {
        let mut built = None;
        let allocations = allocation_counter::measure(|| {
            let mut agent = build_agent(&size);
            tick_us(&mut agent, &size, 100);
            built = Some(agent);
        });
        let mut agent = built.expect("just built");
        let label = format!("{} nodes, {} runners", size.nodes, size.endpoints);
        let mb = allocations.bytes_current as f64 / 1e6;
        is_ok &= report(&format!("heap, {label}"), mb, "MB", 64.0, "design.md, section 3");
        // 4.5% of a core is 45 ms per second, which is divided among ten ticks.
        let us = tick_us(&mut agent, &size, 100 + TICKS * 100);
        is_ok &= report(&format!("tick, {label}"), us, "µs", 4_500.0, "design.md, section 3");
        let now = at(100 + 2 * TICKS * 100);
        let start = Instant::now();
        (0..TICKS).for_each(|_| drop(black_box(table::build(&agent, now))));
        let us = start.elapsed().as_secs_f64() * 1e6 / TICKS as f64;
        is_ok &= report(&format!("table, {label}"), us, "µs", 4_500.0, "design.md, section 3");
    }
    if !is_ok {
        std::process::exit(1);
    }
}
