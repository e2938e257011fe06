//! The demonstration: requests, the loss and repair of a group member, and the drain and return of a
//! data centre.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use balsam_standin::estate::DATA_CENTRES;
use balsam_standin::estate::Estate;
use balsam_standin::estate::EstateOptions;
use balsam_standin::estate::MODEL_POOL;
use balsam_standin::estate::PLAIN_POOL;
use balsam_types::VmName;
use balsam_wire::pb::operator::v1::DrainDataCentre;
use balsam_wire::pb::operator::v1::intent::Intent;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::BoxError;
use crate::caller::Caller;

/// Number of groups of the model pool when every group serves.
const MODEL_GROUPS: u32 = 6;

/// Number of groups of the plain pool when every group serves.
const PLAIN_GROUPS: u32 = 3;

/// Time after which a lost group or a drained data centre must get no new requests.
const STOP_LIMIT: Duration = Duration::from_secs(3);

/// Timeout of forming or repairing groups in this small estate.
const REPAIR_LIMIT: Duration = Duration::from_secs(30);

/// Collects the checks that fail, for the exit code.
#[derive(Clone, Default)]
struct Checks {
    broken: Arc<Mutex<Vec<String>>>,
}

impl Checks {
    fn verify(&self, holds: bool, promise: &str) {
        print_line(&format!("  {} {promise}", if holds { "kept:  " } else { "BROKEN:" }));
        if !holds && let Ok(mut broken) = self.broken.lock() {
            broken.push(promise.to_owned());
        }
    }
}

fn print_line(line: &str) {
    // Write errors are ignored, so that the demonstration runs on if standard output is closed.
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// Runs the demonstration; the error lists the checks that failed.
pub async fn run() -> Result<(), BoxError> {
    let checks = Checks::default();
    print_line("starting the platform stand-in, 18 endpoints and 6 entry nodes in 3 data centres");
    let mut estate = Estate::start(EstateOptions::default(), Logger::root(Discard, o!())).await?;
    let formed = estate.wait_serving(0, MODEL_POOL, MODEL_GROUPS, REPAIR_LIMIT).await?;
    estate.wait_serving(0, PLAIN_POOL, PLAIN_GROUPS, REPAIR_LIMIT).await?;
    print_line(&format!(
        "{MODEL_GROUPS} groups formed and serving after {} ms",
        formed.as_millis()
    ));
    run_requests(&estate, &checks).await?;
    let load = BackgroundLoad::start(&estate);
    kill_and_repair(&mut estate, &checks).await?;
    drain_and_return(&estate, &checks).await?;
    load.finish(&checks).await;
    check_executions(&estate, &checks);
    for node in estate.nodes {
        let cut = node.node.shutdown().await;
        checks.verify(cut == 0, &format!("entry node {} stops without cutting a request", node.vm));
    }
    let broken = checks.broken.lock().map(|broken| broken.clone()).unwrap_or_default();
    match broken.is_empty() {
        true => Ok(()),
        false => {
            Err(format!("{} promises were broken: {}", broken.len(), broken.join("; ")).into())
        }
    }
}

async fn run_requests(estate: &Estate, checks: &Checks) -> Result<(), BoxError> {
    let caller = Caller::new();
    print_line("a streamed report at the first data centre, one at the second");
    for node in [0, 2] {
        let seen = caller.request_report(estate.callers(node), "Race 7").await?;
        checks.verify(seen.is_complete_report(), "the report comes whole, each event once");
    }
    print_line("a keyed registration, and the same one again at another data centre");
    let first = caller.register(estate.callers(0), "ring-HU-26-0042", "HU-26-0042").await?;
    checks.verify(first.status.is_success(), "the registration runs");
    let again = caller.register(estate.callers(2), "ring-HU-26-0042", "HU-26-0042").await?;
    let replayed = again.headers.contains_key("idempotent-replayed");
    checks.verify(replayed && again.body == first.body, "the repeat gets the first answer");
    let other = caller.register(estate.callers(4), "ring-HU-26-0042", "HU-26-9999").await?;
    checks.verify(other.status.as_u16() == 422, "the key with another body is refused");
    Ok(())
}

async fn kill_and_repair(estate: &mut Estate, checks: &Checks) -> Result<(), BoxError> {
    let operator = estate.operator(0);
    let status = operator.status().await?;
    let group = status
        .groups
        .iter()
        .find(|group| group.pool == MODEL_POOL && group.data_centre == DATA_CENTRES[0])
        .ok_or("the first data centre has no group")?
        .clone();
    let victim = VmName::try_from(group.members[1].as_str())?;
    print_line(&format!("killing {victim}, a member of {}", group.group));
    let head = VmName::try_from(group.members[0].as_str())?;
    estate.kill_endpoint(&victim);
    sleep(STOP_LIMIT).await;
    let before = estate.endpoints[&head].executions().len();
    let operator_status = operator.status().await?;
    let same_group = operator_status.groups.iter().find(|found| found.group == group.group);
    checks.verify(
        same_group.is_none_or(|found| !found.serving),
        "the group gets no work while its member is missing",
    );
    let elapsed = estate.wait_serving(0, MODEL_POOL, MODEL_GROUPS, REPAIR_LIMIT).await?;
    let total = elapsed + STOP_LIMIT;
    print_line(&format!(
        "repaired with the spare of the same fabric domain after {} ms",
        total.as_millis()
    ));
    let after = estate.endpoints[&head].executions().len();
    print_line(&format!("the head ran {} requests while the repair was under way", after - before));
    Ok(())
}

async fn drain_and_return(estate: &Estate, checks: &Checks) -> Result<(), BoxError> {
    let drained = DATA_CENTRES[1];
    let operator = estate.operator(0);
    print_line(&format!("taking {drained} out"));
    let drain = DrainDataCentre { data_centre: drained.to_owned(), force: false };
    let answer = operator.plan_and_confirm(Intent::DrainDataCentre(drain), "demonstration").await?;
    for line in &answer.data_centres {
        let after = line.in_force_after_ms.map_or("-".to_owned(), |ms| format!("{ms} ms"));
        print_line(&format!("  {}: {} after {after}", line.data_centre, line.state));
    }
    let in_force = answer.data_centres.iter().all(|line| line.state == "in_force");
    checks.verify(in_force, "the drain is in force in every data centre within 5 s");
    sleep(STOP_LIMIT).await;
    let before = execution_count(estate, drained);
    sleep(Duration::from_secs(2)).await;
    checks.verify(
        execution_count(estate, drained) == before,
        "the drained data centre receives no new work",
    );
    print_line(&format!("bringing {drained} back"));
    let intent = Intent::ReturnDataCentre(drained.to_owned());
    operator.plan_and_confirm(intent, "demonstration").await?;
    estate.wait_serving(0, MODEL_POOL, MODEL_GROUPS, REPAIR_LIMIT).await?;
    let started = Instant::now();
    while execution_count(estate, drained) == before && started.elapsed() < REPAIR_LIMIT {
        sleep(Duration::from_millis(50)).await;
    }
    checks.verify(
        execution_count(estate, drained) > before,
        "the data centre serves again after its return",
    );
    Ok(())
}

fn execution_count(estate: &Estate, data_centre: &str) -> usize {
    let local = estate.endpoints.iter().filter(|(vm, _)| vm.as_str().starts_with(data_centre));
    local.map(|(_, endpoint)| endpoint.executions().len()).sum()
}

fn check_executions(estate: &Estate, checks: &Checks) {
    let mut by_key = std::collections::BTreeMap::new();
    for endpoint in estate.endpoints.values() {
        for execution in endpoint.executions() {
            if let Some(key) = execution.key {
                *by_key.entry(key).or_insert(0_u32) += 1;
            }
        }
    }
    let total = by_key.len();
    let is_each_once = by_key.values().all(|count| *count == 1);
    checks.verify(is_each_once, &format!("each of {total} registrations ran exactly once"));
    let violations: u32 =
        estate.endpoints.values().map(|endpoint| endpoint.cold_violations()).sum();
    checks.verify(violations == 0, "no endpoint in cold start received more than it bears");
}

/// Callers that send requests in the background while the estate changes.
struct BackgroundLoad {
    stop: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<CallerStats>>,
}

#[derive(Default)]
struct CallerStats {
    reports: u64,
    broken: Vec<String>,
    registrations: u64,
    refused: Vec<String>,
}

impl BackgroundLoad {
    fn start(estate: &Estate) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let tasks = (0..estate.nodes.len())
            .map(|node| {
                let (stop, address) = (stop.clone(), estate.callers(node));
                tokio::spawn(async move {
                    let caller = Caller::new();
                    let mut stats = CallerStats::default();
                    let mut number = 0;
                    while !stop.load(Ordering::Relaxed) {
                        number += 1;
                        stats.count_report(
                            caller.request_report(address, &format!("Race {number}")).await,
                        );
                        let key = format!("load-{node}-{number}");
                        stats.count_registration(caller.register(address, &key, &key).await);
                        sleep(Duration::from_millis(40)).await;
                    }
                    stats
                })
            })
            .collect();
        Self { stop, tasks }
    }

    async fn finish(self, checks: &Checks) {
        self.stop.store(true, Ordering::Relaxed);
        let (mut reports, mut registrations) = (0, 0);
        let (mut broken, mut refused) = (Vec::new(), Vec::new());
        for task in self.tasks {
            let stats = task.await.unwrap_or_default();
            reports += stats.reports;
            registrations += stats.registrations;
            broken.extend(stats.broken);
            refused.extend(stats.refused);
        }
        print_line(&format!(
            "callers saw {reports} whole reports and {registrations} registrations"
        ));
        for line in broken.iter().chain(&refused).take(10) {
            print_line(&format!("  {line}"));
        }
        checks.verify(broken.is_empty(), "every report came whole while the estate changed");
        checks.verify(refused.is_empty(), "every registration was answered");
    }
}

impl CallerStats {
    fn count_report(&mut self, seen: Result<crate::caller::Seen, String>) {
        match seen {
            Ok(seen) if seen.is_complete_report() => self.reports += 1,
            other => self.broken.push(format!("report: {other:?}")),
        }
    }

    fn count_registration(&mut self, seen: Result<crate::caller::Seen, String>) {
        match seen {
            Ok(seen) if seen.status.is_success() => self.registrations += 1,
            other => self.refused.push(format!("registration: {other:?}")),
        }
    }
}
