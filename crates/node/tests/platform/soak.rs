//! Soak test: planned work and silent endpoints that overlap, under continuous load.
//!
//! `BALSAM_SOAK_SEEDS=1-50` runs other seeds, `BALSAM_SOAK_MS` sets how long steps are started,
//! `BALSAM_SOAK_STEPS=3,7` runs only these steps of a schedule, and `BALSAM_SOAK_NODES=60` sets the
//! number of processes.

use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use balsam_adapter_standin::endpoints::Fault;
use balsam_adapter_standin::endpoints::Silence;
use balsam_adapter_standin::processes::RequestKind;
use balsam_standin::proxy::LinkFaults;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::bed::TestBed;
use crate::callers::Call;
use crate::callers::Callers;
use crate::callers::Outcome;
use crate::checker;
use crate::exclusive_run;
use crate::schedule::Action;
use crate::schedule::Size;
use crate::schedule::Step;
use crate::schedule::generate;

/// Number of processes if `BALSAM_SOAK_NODES` is not set.
const NODES: usize = 4;

/// How long steps are started if `BALSAM_SOAK_MS` is not set.
const LENGTH_MS: u64 = 20_000;

/// A stop is left out unless this many nodes remain that take new connections.
const MIN_REMAINING: usize = 1;

/// Callers with kept connections, and as many with new ones, per node; more than 16 nodes share
/// the machine with fewer of them.
const CALLERS_PER_NODE: usize = 4;

/// How long requests that were refused may still turn up at an endpoint.
const LATE_RUN_WAIT: Duration = Duration::from_secs(2);

const STORE_DELAY: LinkFaults = LinkFaults { delay_ms: 150, delay_variation_ms: 100, ..NO_FAULTS };

const SILENT: LinkFaults = LinkFaults { silent_to_client: true, ..NO_FAULTS };

const NO_FAULTS: LinkFaults = LinkFaults {
    delay_ms: 0,
    delay_variation_ms: 0,
    loss_percent: 0,
    stall_ms: 0,
    silent_to_target: false,
    silent_to_client: false,
    bytes_per_s: 0,
    is_cut: false,
};

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| text.parse().unwrap())
}

fn seeds() -> Vec<u64> {
    let seed_range = |text: &str| {
        let (first, last) = text.split_once('-').unwrap_or((text, text));
        first.trim().parse().unwrap()..=last.trim().parse().unwrap()
    };
    match std::env::var("BALSAM_SOAK_SEEDS") {
        Ok(list) => list.split(',').flat_map(seed_range).collect(),
        Err(_) => vec![SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs()],
    }
}

fn size() -> Size {
    let nodes = number("BALSAM_SOAK_NODES", NODES as u64) as usize;
    Size { nodes, engines: nodes.next_multiple_of(2).max(8), plain: (nodes / 4).max(3) }
}

fn selected_steps(seed: u64, size: Size) -> Vec<(usize, Step)> {
    let steps = generate(seed, number("BALSAM_SOAK_MS", LENGTH_MS), size);
    let steps = steps.into_iter().enumerate();
    let Ok(list) = std::env::var("BALSAM_SOAK_STEPS") else { return steps.collect() };
    let list: Vec<usize> = list.split(',').map(|at| at.trim().parse().unwrap()).collect();
    steps.filter(|(index, _)| list.contains(index)).collect()
}

/// Processes that use all the processor time that they get; dropping it ends them.
struct BusyProcesses(Vec<Child>);

impl BusyProcesses {
    fn start(count: usize) -> Self {
        let start = || {
            let mut command = Command::new("sh");
            command.args(["-c", "while :; do :; done"]).stdin(Stdio::null());
            command.spawn().unwrap()
        };
        Self((0..count).map(|_| start()).collect())
    }
}

impl Drop for BusyProcesses {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

async fn play(bed: Arc<TestBed>, step: Step) {
    let duration = Duration::from_millis(step.duration_ms);
    match step.action {
        Action::Stop { nodes, pause_ms } => {
            let mut restarts = JoinSet::new();
            for node in nodes {
                let remaining = bed.nodes.iter().enumerate().filter(|(number, other)| {
                    *number != node && other.takes_signals.load(Ordering::Relaxed)
                });
                let remaining = remaining.count();
                let node = &bed.nodes[node];
                // Without the exchange, two overlapping steps would stop the same process twice.
                if remaining >= MIN_REMAINING && node.takes_signals.swap(false, Ordering::Relaxed) {
                    restarts.spawn(TestBed::restart(node.clone()));
                    sleep(Duration::from_millis(pause_ms)).await;
                }
            }
            restarts.join_all().await;
        }
        Action::Reload { node, budget_slack } => {
            bed.write_settings(&bed.nodes[node], budget_slack);
            bed.nodes[node].reload();
        }
        Action::Configure => bed.configure(),
        Action::Drain(endpoint) => {
            bed.endpoints[endpoint].endpoint.set_draining(true);
            sleep(duration).await;
            bed.endpoints[endpoint].endpoint.set_draining(false);
        }
        Action::Silence { endpoints, is_link } => {
            let set = |is_silent: bool| {
                for found in endpoints.iter().map(|number| &bed.endpoints[*number]) {
                    match is_link {
                        true => found.link.set_faults(if is_silent { SILENT } else { NO_FAULTS }),
                        false => {
                            let silence = match is_silent {
                                true => Silence::Requests,
                                false => Silence::None,
                            };
                            found.endpoint.silence.send_replace(silence);
                        }
                    }
                }
            };
            set(true);
            sleep(duration).await;
            set(false);
        }
        Action::TurnAway(endpoint) => {
            *bed.endpoints[endpoint].endpoint.fault.lock().unwrap() = Fault::TurnsAway;
            sleep(duration).await;
            *bed.endpoints[endpoint].endpoint.fault.lock().unwrap() = Fault::None;
        }
        Action::StoreDelay => {
            bed.store_link.set_faults(STORE_DELAY);
            sleep(duration).await;
            bed.store_link.set_faults(NO_FAULTS);
        }
        Action::Busy(count) => {
            let processes = BusyProcesses::start(count);
            sleep(duration).await;
            drop(processes);
        }
    }
}

/// Guards against answers that are cut because an endpoint was silent for a while, because the node
/// was stopping, or because of a reload or a change of the configuration or of the endpoints; and,
/// in the same situations, against requests that run twice, that run although they were refused,
/// streams with missing or repeated events, and processes that do not end in time.
#[tokio::test(flavor = "multi_thread")]
async fn planned_work_and_silent_endpoints_lose_no_answer() {
    run_seeds(true).await;
}

/// Guards against the same where no endpoint is silent: a fault of the shutdown itself shows here
/// even if answers of silent endpoints are cut.
#[tokio::test(flavor = "multi_thread")]
async fn planned_work_loses_no_answer() {
    run_seeds(false).await;
}

async fn run_seeds(has_silences: bool) {
    let _guard = exclusive_run().await;
    let mut failed = Vec::new();
    for seed in seeds() {
        let violations = run_seed(seed, has_silences).await;
        if violations > 0 {
            failed.push(format!("seed {seed}: {violations}"));
        }
    }
    assert!(failed.is_empty(), "violations: {}", failed.join(", "));
}

/// Runs a seed; returns the number of violations.
async fn run_seed(seed: u64, has_silences: bool) -> usize {
    let size = size();
    let mut steps = selected_steps(seed, size);
    steps.retain(|(_, step)| has_silences || !step.action.is_silence());
    eprintln!("seed {seed}, silences: {has_silences}, {size:?}, {} steps", steps.len());
    steps.iter().for_each(|(index, step)| eprintln!("  {index}: {step}"));
    let bed = Arc::new(TestBed::start(seed, size.nodes, size.engines, size.plain).await);
    let callers = (CALLERS_PER_NODE * size.nodes).min(CALLERS_PER_NODE * 16).max(size.nodes);
    let callers = Callers::start(seed, &bed.nodes, callers, callers);
    let started = Instant::now();
    let mut playing = JoinSet::new();
    for (_, step) in steps {
        sleep_until(started + Duration::from_millis(step.at_ms)).await;
        playing.spawn(play(bed.clone(), step));
    }
    playing.join_all().await;
    eprintln!("steps ended after {} ms", started.elapsed().as_millis());
    bed.wait_until_served().await;
    // The last stops meet requests as well.
    let mut stops = JoinSet::new();
    for node in &bed.nodes {
        let node = node.clone();
        stops.spawn(async move { node.stop().await });
    }
    stops.join_all().await;
    let calls = callers.finish().await;
    sleep(LATE_RUN_WAIT).await;
    eprintln!("ended after {} ms: {:?}", started.elapsed().as_millis(), checker::summary(&calls));
    let violations = checker::violations(&bed, &calls);
    for violation in &violations {
        eprintln!("{violation}");
        let words = violation.split_whitespace();
        let id = words.skip_while(|word| *word != "request").nth(1).unwrap_or("no request");
        let lines = bed.nodes.iter().flat_map(|node| node.log_lines(&format!("\"{id}\"")));
        lines.for_each(|line| eprintln!("  log: {line}"));
    }
    let stops: usize = bed.nodes.iter().map(|node| node.stops.lock().unwrap().len()).sum();
    eprintln!("{} requests, {stops} stops, {} violations", calls.len(), violations.len());
    for kind in RequestKind::ALL {
        let is_answered = |call: &&Call| {
            call.kind == kind && matches!(call.outcome, Outcome::Answered { status: 200, .. })
        };
        assert!(calls.iter().filter(is_answered).count() >= 20, "{kind:?} was hardly served");
    }
    if violations.is_empty() {
        let _ = std::fs::remove_dir_all(&bed.directory);
    } else {
        eprintln!("logs: {}", bed.directory.display());
    }
    violations.len()
}
