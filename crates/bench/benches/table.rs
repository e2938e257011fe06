//! Runs all benches of the workspace and prints their figures: `cargo bench -p balsam-bench --bench
//! table`.
//!
//! Each bench prints one line per figure with its bound and the bound's source, and fails if a
//! figure is out of bounds. The most important benches come first.

#![expect(clippy::print_stdout, reason = "a bench prints its figures")]

use std::process::Command;
use std::process::ExitCode;

/// A bench of the workspace.
struct Bench {
    package: &'static str,
    name: &'static str,
    figures: &'static str,
}

const BENCHES: [Bench; 8] = [
    Bench {
        package: "balsam-plan",
        name: "plan",
        figures: "group downtime, accelerators unused, planning time, loading order",
    },
    Bench {
        package: "balsam-agent",
        name: "agent",
        figures: "cost of a tick, routing table, heap of the control state",
    },
    Bench {
        package: "balsam-state",
        name: "replicated",
        figures: "replay, fold rate, memory of claims, snapshots",
    },
    Bench {
        package: "balsam-route",
        name: "route",
        figures: "endpoint choice, cold starts, fairness, subsets, queueing",
    },
    Bench {
        package: "balsam-fleet",
        name: "placement",
        figures: "time to first event and of answers by choice of endpoint, time of a choice",
    },
    Bench {
        package: "balsam-peer",
        name: "dissemination",
        figures: "bytes, spread, evidence age, CPU and memory by number of nodes",
    },
    Bench {
        package: "balsam-serve",
        name: "added_latency",
        figures: "added time to first byte, added gap between events (wall clock)",
    },
    Bench {
        package: "balsam-bench",
        name: "capacity",
        figures: "bytes per record, memory and CPU of the replicated state by size",
    },
];

fn main() -> ExitCode {
    let mut failed_packages = Vec::new();
    for bench in &BENCHES {
        println!("\n== {} {}: {}", bench.package, bench.name, bench.figures);
        let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
        let run = Command::new(cargo)
            .args(["bench", "--quiet", "-p", bench.package, "--bench", bench.name])
            .status();
        match run {
            Ok(status) if status.success() => {}
            Ok(_) => failed_packages.push(bench.package),
            Err(error) => {
                println!("cannot run the bench: {error}");
                failed_packages.push(bench.package);
            }
        }
    }
    println!("\nbenches that failed: {}", failed_packages.len());
    for package in &failed_packages {
        println!("  {package}");
    }
    if failed_packages.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
