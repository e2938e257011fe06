//! Cost and speed of dissemination in virtual time.
//!
//! Run with `cargo bench -p balsam-peer`. Each line holds the name of a figure, its value, its
//! bound and the source of the bound. The process exits with 1 if a figure is outside its bound.
#![expect(clippy::print_stdout, reason = "the bench reports on standard output")]

use std::process::ExitCode;

use balsam_peer::PeerSettings;
use balsam_peer::StopSubject;
use balsam_simulation::Simulation;
use balsam_simulation::SimulationConfig;
use balsam_simulation::baseline::Topology;
use balsam_simulation::baseline::run_baseline;
use balsam_types::Offset;

const WARM_UP_MS: u64 = 30_000;
/// Simulated uptime of 30 days, because the encodings of heartbeats and versions grow with uptime.
const UPTIME_MS: u64 = 30 * 24 * 3_600_000;
const MEASURED_MS: u64 = 30_000;
const SEEDS: u64 = 20;
const TIMEOUT_MS: u64 = 20_000;
const THREADS: usize = 3;
const LOSS_PER_MILLE: u32 = 50;
const DESIGN_3: &str = "design 3";
const DESIGN_11: &str = "design 11";
const DESIGN_12: &str = "design 12";

struct Report {
    is_within: bool,
}

impl Report {
    fn add_line(&mut self, name: &str, value: f64, bound: Option<(f64, &str)>) {
        match bound {
            Some((bound, source)) => {
                let is_within = value <= bound;
                self.is_within &= is_within;
                let result = if is_within { "ok" } else { "OUTSIDE" };
                println!("{name}\t{value:.3}\t{bound}\t{source}\t{result}");
            }
            None => println!("{name}\t{value:.3}\t-\t-"),
        }
    }
}

fn simulation_config(nodes: usize, seed: u64, uptime_ms: u64) -> SimulationConfig {
    let regions = if nodes <= 24 { vec![0, 0, 0] } else { vec![0, 0, 0, 1, 1] };
    let endpoints = nodes * 900 / 390;
    let settings = PeerSettings::default();
    let loss_per_mille = LOSS_PER_MILLE;
    SimulationConfig { nodes, regions, endpoints, loss_per_mille, seed, settings, uptime_ms }
}

fn build(nodes: usize, seed: u64, uptime_ms: u64) -> Simulation {
    Simulation::new(simulation_config(nodes, seed, uptime_ms)).expect("generated names are valid")
}

fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kilobytes.unwrap_or(0.0) * 1_024.0
}

/// Returns the CPU time of this process, which the kernel counts in units of 10 ms.
fn process_cpu_s() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: u64 = fields.skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum();
    ticks as f64 / 100.0
}

fn measure_steady_state(report: &mut Report, nodes: usize) {
    let resident_before = resident_bytes();
    let mut simulation = build(nodes, 1, UPTIME_MS);
    simulation.run_until(WARM_UP_MS);
    simulation.reset_counters();
    let cpu_before_s = process_cpu_s();
    simulation.run_until(WARM_UP_MS + MEASURED_MS);
    let used_cpu_s = process_cpu_s() - cpu_before_s;
    let seconds = MEASURED_MS as f64 / 1_000.0;
    let per_node = |total: f64| total / nodes as f64 / seconds;
    let total: u64 = simulation.nodes.iter().map(|node| node.bytes).sum();
    let max_bytes = simulation.nodes.iter().map(|node| node.bytes).max().unwrap_or(0);
    let messages: u64 = simulation.nodes.iter().map(|node| node.messages).sum();
    let bound = Some((6_000.0, DESIGN_3));
    report.add_line(&format!("gossip/{nodes}/bytes_per_s_mean"), per_node(total as f64), bound);
    report.add_line(
        &format!("gossip/{nodes}/bytes_per_s_worst"),
        max_bytes as f64 / seconds,
        bound,
    );
    report.add_line(
        &format!("gossip/{nodes}/messages_per_s_mean"),
        per_node(messages as f64),
        None,
    );
    let core_percent = per_node(used_cpu_s) * 100.0;
    report.add_line(&format!("gossip/{nodes}/core_percent"), core_percent, Some((4.5, DESIGN_3)));
    let megabytes = (resident_bytes() - resident_before) / nodes as f64 / 1e6;
    report.add_line(&format!("gossip/{nodes}/memory_mb"), megabytes, Some((64.0, DESIGN_3)));
    measure_evidence(report, &mut simulation, nodes);
}

fn measure_evidence(report: &mut Report, simulation: &mut Simulation, nodes: usize) {
    let mut ages_ms = Vec::new();
    let mut absent_count = 0_usize;
    let mut max_underestimate_ms = 0;
    for _ in 0..10 {
        simulation.run_until(simulation.now_ms() + 370);
        for (index, node) in simulation.nodes.iter().enumerate() {
            let freshest = node.peer.freshest(simulation.clock_ms(index));
            let expected = simulation.endpoints_of(node.data_centre).len();
            absent_count += expected - freshest.len();
            for member in node.peer.members(simulation.clock_ms(index)) {
                let name = member.incarnation.vm.as_str();
                let observer = name.rsplit('-').next().and_then(|number| number.parse().ok());
                let true_ms = simulation.true_age_ms(observer.expect("a number"), member.heartbeat);
                max_underestimate_ms =
                    max_underestimate_ms.max(true_ms.saturating_sub(member.age_ms));
            }
            ages_ms.extend(freshest.values().map(|evidence| evidence.age_ms));
        }
    }
    ages_ms.sort_unstable();
    let value_at = |per_mille: usize| ages_ms[(ages_ms.len() - 1) * per_mille / 1_000] as f64;
    report.add_line(&format!("gossip/{nodes}/evidence_age_ms_p50"), value_at(500), None);
    let bound = Some((2_000.0, DESIGN_11));
    report.add_line(&format!("gossip/{nodes}/evidence_age_ms_p99"), value_at(990), bound);
    report.add_line(&format!("gossip/{nodes}/evidence_age_ms_p999"), value_at(999), None);
    report.add_line(&format!("gossip/{nodes}/evidence_age_ms_max"), value_at(1_000), None);
    let name = format!("gossip/{nodes}/age_below_true_age_ms_max");
    report.add_line(&name, max_underestimate_ms as f64, None);
    let over_count = ages_ms.iter().filter(|age_ms| **age_ms >= 2_000).count();
    let share = over_count as f64 / ages_ms.len() as f64 * 100.0;
    report.add_line(&format!("gossip/{nodes}/evidence_over_2s_percent"), share, None);
    report.add_line(
        &format!("gossip/{nodes}/evidence_absent"),
        absent_count as f64,
        Some((0.0, DESIGN_11)),
    );
}

/// Returns the times until all nodes know a stop notice and an offset, in milliseconds.
fn measure_spread(nodes: usize, seed: u64) -> (u64, u64) {
    let offset = Offset::new(9, 0);
    let mut simulation = build(nodes, seed, 0);
    simulation.run_until(8_000);
    let origin = (seed as usize * 7) % nodes;
    let clock_ms = simulation.clock_ms(origin);
    let subject = StopSubject::DataCentre("dc-1".try_into().expect("a valid name"));
    simulation.nodes[origin].peer.raise_stop(clock_ms, subject);
    simulation.fold(origin, offset);
    let start_ms = simulation.now_ms();
    let stop_ms = simulation.run_while(TIMEOUT_MS, 50, |simulation| {
        simulation.nodes.iter().any(|node| node.peer.stops().is_empty())
    });
    simulation.run_while(TIMEOUT_MS, 50, |simulation| {
        simulation.nodes.iter().any(|node| node.peer.highest_offset() < offset)
    });
    (stop_ms.unwrap_or(TIMEOUT_MS), simulation.now_ms() - start_ms)
}

fn measure_spread_worst(report: &mut Report, nodes: usize) {
    let run = |first: u64| -> Vec<(u64, u64)> {
        (first..=SEEDS).step_by(THREADS).map(|seed| measure_spread(nodes, seed)).collect()
    };
    let times: Vec<(u64, u64)> = std::thread::scope(|scope| {
        let started: Vec<_> =
            (1..=THREADS as u64).map(|first| scope.spawn(move || run(first))).collect();
        started.into_iter().flat_map(|thread| thread.join().expect("a run ends")).collect()
    });
    let worst_stop_ms = times.iter().map(|(stop_ms, _)| *stop_ms).max().unwrap_or(0);
    let worst_offset_ms = times.iter().map(|(_, offset_ms)| *offset_ms).max().unwrap_or(0);
    let name = format!("gossip/{nodes}/stop_everywhere_ms_worst_of_{SEEDS}");
    report.add_line(&name, worst_stop_ms as f64, Some((3_000.0, DESIGN_12)));
    let name = format!("gossip/{nodes}/offset_everywhere_ms_worst_of_{SEEDS}");
    report.add_line(&name, worst_offset_ms as f64, Some((5_000.0, DESIGN_12)));
}

/// Measures the two baselines with the same packet loss and delays.
fn measure_baselines(report: &mut Report, nodes: usize) {
    let simulation_config = simulation_config(nodes, 1, 0);
    for (name, topology) in [("full_mesh", Topology::FullMesh), ("one_relay", Topology::OneRelay)] {
        let runs: Vec<_> = (1..=SEEDS)
            .map(|seed| {
                run_baseline(
                    topology,
                    nodes,
                    &simulation_config.regions,
                    LOSS_PER_MILLE,
                    seed,
                    MEASURED_MS,
                )
            })
            .collect();
        let max_bytes = runs.iter().map(|run| run.max_bytes_per_s).max().unwrap_or(0);
        let mean = runs.iter().map(|run| run.mean_bytes_per_s).max().unwrap_or(0);
        let limit_ms = MEASURED_MS / 2;
        let propagation_ms = runs.iter().map(|run| run.propagation_ms.unwrap_or(limit_ms)).max();
        report.add_line(&format!("{name}/{nodes}/bytes_per_s_mean"), mean as f64, None);
        report.add_line(&format!("{name}/{nodes}/bytes_per_s_worst"), max_bytes as f64, None);
        let figure = format!("{name}/{nodes}/everywhere_ms_worst_of_{SEEDS}");
        report.add_line(&figure, propagation_ms.unwrap_or(limit_ms) as f64, None);
    }
}

fn main() -> ExitCode {
    println!("seeds 1 to {SEEDS}, loss {LOSS_PER_MILLE} per mille");
    let mut report = Report { is_within: true };
    let node_counts = std::env::var("BENCH_NODES").ok();
    let node_counts: Vec<usize> = match node_counts.as_deref().map(str::parse) {
        Some(Ok(node_count)) => vec![node_count],
        _ => vec![6, 24, 96, 390],
    };
    for nodes in node_counts {
        measure_steady_state(&mut report, nodes);
        if std::env::var("BENCH_SPREAD").as_deref() != Ok("0") {
            measure_spread_worst(&mut report, nodes);
        }
        measure_baselines(&mut report, nodes);
    }
    if report.is_within { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
