//! Soak test: series of random, overlapping faults under continuous load.
//!
//! `BALSAM_SOAK_SEEDS=1-50` runs other seeds, `BALSAM_SOAK_MS` sets how long faults are injected,
//! and `BALSAM_SOAK_STEPS=3,7` runs only these steps of a schedule, to find the shortest one that
//! still fails.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use balsam_standin::platform::PlatformFaults;
use balsam_standin::proxy::LinkFaults;
use balsam_standin::proxy::Proxy;
use balsam_types::VmName;
use balsam_wire::pb::operator::v1::DrainDataCentre;
use balsam_wire::pb::operator::v1::intent::Intent;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::bed::BLACK_HOLE;
use crate::bed::CUT;
use crate::bed::LONG_TIMEOUT;
use crate::bed::NO_FAULTS;
use crate::bed::NODES;
use crate::bed::TestBed;
use crate::calls::Load;
use crate::calls::RequestKind;
use crate::exclusive_run;
use crate::platform::assert_requests_without_claim_succeed;
use crate::schedule::Fault;
use crate::schedule::Link;
use crate::schedule::LinkFaultKind;
use crate::schedule::Step;
use crate::schedule::generate;

/// Seeds that failed once. In 11 and 13, a retry with the same key reached an entry node that had
/// just been replaced and was answered `not_run`, although the first request had run.
const REGRESSION_SEEDS: [u64; 2] = [11, 13];

/// New seeds per run if `BALSAM_SOAK_SEEDS` is not set.
const NEW_SEEDS: u64 = 2;

/// How long faults are injected.
const FAULT_PHASE_MS: u64 = 15_000;

/// Concurrent callers per node.
const CALLERS_PER_NODE: usize = 2;

/// How long an operator waits for the answer to a drain.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(8);

/// How long a terminated process may take to exit; its settings allow 30 s.
const TERMINATE_LIMIT: Duration = Duration::from_secs(35);

const LOSSY: LinkFaults = LinkFaults { delay_ms: 15, loss_percent: 5, stall_ms: 200, ..NO_FAULTS };

const ONE_WAY: LinkFaults = LinkFaults { silent_to_target: true, ..NO_FAULTS };

fn seeds() -> Vec<u64> {
    match std::env::var("BALSAM_SOAK_SEEDS") {
        Ok(list) => list.split(',').flat_map(seed_range).collect(),
        Err(_) => {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
            let first = now.as_secs();
            REGRESSION_SEEDS.into_iter().chain(first..first + NEW_SEEDS).collect()
        }
    }
}

fn seed_range(text: &str) -> std::ops::RangeInclusive<u64> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    first.trim().parse().unwrap()..=last.trim().parse().unwrap()
}

fn fault_phase_ms() -> u64 {
    std::env::var("BALSAM_SOAK_MS").map_or(FAULT_PHASE_MS, |text| text.parse().unwrap())
}

fn selected_steps(seed: u64) -> Vec<Step> {
    let steps = generate(seed, fault_phase_ms());
    let Ok(list) = std::env::var("BALSAM_SOAK_STEPS") else { return steps };
    list.split(',').map(|at| steps[at.trim().parse::<usize>().unwrap()]).collect()
}

/// The test bed with the faults of a run that must be undone.
struct Soak {
    bed: TestBed,
    /// Nodes whose process is paused, killed or terminating.
    busy_nodes: BTreeSet<usize>,
    drained: BTreeSet<&'static str>,
    pending_intents: Vec<JoinHandle<()>>,
}

impl Soak {
    fn operator_node(&self) -> Option<usize> {
        NODES.into_iter().find(|node| !self.busy_nodes.contains(node))
    }

    fn begin(&mut self, step: &Step) -> bool {
        match step.fault {
            Fault::Pause(node) | Fault::Kill(node) | Fault::Terminate(node) => {
                if !self.busy_nodes.insert(node) {
                    return false;
                }
                let process = &mut self.bed.nodes[node].process;
                match step.fault {
                    Fault::Pause(_) => process.pause().unwrap(),
                    Fault::Kill(_) => drop(process.kill().unwrap()),
                    _ => process.terminate().unwrap(),
                }
            }
            Fault::NodeLink(node, link, link_fault_kind) => {
                inject(self.link(node, link), link_fault_kind);
            }
            Fault::EndpointLinks(link_fault_kind) => {
                self.bed.endpoints.values().for_each(|found| inject(&found.link, link_fault_kind));
            }
            Fault::EndpointLink(number, link_fault_kind) => {
                inject(&self.bed.endpoints[&self.endpoint(number)].link, link_fault_kind);
            }
            Fault::PlatformDown => {
                self.set_platform(PlatformFaults { down: true, ..PlatformFaults::default() });
            }
            Fault::PlatformLosesAnswers => self.set_platform(PlatformFaults {
                lose_answer_every: 2,
                late_effect_ms: 200,
                ..PlatformFaults::default()
            }),
            Fault::PlatformSlow => {
                self.set_platform(PlatformFaults { delay_ms: 300, ..PlatformFaults::default() });
            }
            Fault::Drain(data_centre) => {
                if !self.drained.insert(data_centre) {
                    return false;
                }
                let data_centre = data_centre.to_owned();
                self.carry_out(Intent::DrainDataCentre(DrainDataCentre {
                    data_centre,
                    force: true,
                }));
            }
        }
        true
    }

    async fn end(&mut self, step: &Step) {
        match step.fault {
            Fault::Pause(node) => {
                self.bed.nodes[node].process.resume().unwrap();
                self.busy_nodes.remove(&node);
            }
            Fault::Kill(node) => {
                self.bed.replace_node(node).await;
                self.busy_nodes.remove(&node);
            }
            Fault::Terminate(node) => {
                self.bed.nodes[node].process.wait_for_exit(TERMINATE_LIMIT).unwrap();
                self.bed.replace_node(node).await;
                self.busy_nodes.remove(&node);
            }
            Fault::NodeLink(node, link, _) => self.link(node, link).set_faults(NO_FAULTS),
            Fault::EndpointLinks(_) => {
                self.bed.endpoints.values().for_each(|found| found.link.set_faults(NO_FAULTS));
            }
            Fault::EndpointLink(number, _) => {
                self.bed.endpoints[&self.endpoint(number)].link.set_faults(NO_FAULTS);
            }
            Fault::PlatformDown | Fault::PlatformLosesAnswers | Fault::PlatformSlow => {
                self.set_platform(PlatformFaults::default());
            }
            Fault::Drain(data_centre) => {
                self.drained.remove(data_centre);
                self.carry_out(Intent::ReturnDataCentre(data_centre.to_owned()));
            }
        }
    }

    fn link(&self, node: usize, link: Link) -> &Proxy {
        let node = &self.bed.nodes[node];
        match link {
            Link::Callers => &node.callers,
            Link::Peers => &node.peers,
            Link::Platform => &node.platform,
        }
    }

    fn endpoint(&self, number: usize) -> VmName {
        let names: Vec<&VmName> = self.bed.endpoints.keys().collect();
        names[number % names.len()].clone()
    }

    fn set_platform(&self, faults: PlatformFaults) {
        self.bed.platform.set_faults(faults);
    }

    /// Submits an operator's intent in the background; it may get no answer.
    fn carry_out(&mut self, intent: Intent) {
        let Some(node) = self.operator_node() else { return };
        let operator = self.bed.operator(node);
        self.pending_intents.push(tokio::spawn(async move {
            let _ = timeout(DRAIN_TIMEOUT, operator.plan_and_confirm(intent, "soak")).await;
        }));
    }

    /// Clears all faults and waits until all groups serve again.
    async fn heal(&mut self) {
        self.set_platform(PlatformFaults::default());
        for node in &self.bed.nodes {
            [&node.callers, &node.peers, &node.platform]
                .iter()
                .for_each(|link| link.set_faults(NO_FAULTS));
        }
        self.bed.endpoints.values().for_each(|found| found.link.set_faults(NO_FAULTS));
        for intent in self.pending_intents.drain(..) {
            intent.await.unwrap();
        }
        self.bed
            .wait("every node is ready", |b| b.nodes.iter().all(|n| n.process.is_ready()))
            .await;
        self.return_data_centres().await;
        for node in NODES {
            self.bed.wait_serving(node).await;
        }
    }

    /// Returns all drained data centres, including those whose drain got no confirmation.
    async fn return_data_centres(&self) {
        let started = Instant::now();
        loop {
            let status = self.bed.operator(0).status().await.unwrap();
            let still_drained = status.data_centres.iter().filter(|found| found.drained);
            let still_drained: Vec<String> =
                still_drained.map(|found| found.data_centre.clone()).collect();
            if still_drained.is_empty() {
                return;
            }
            assert!(started.elapsed() < LONG_TIMEOUT, "{still_drained:?} are still drained");
            for name in still_drained {
                let intent = Intent::ReturnDataCentre(name);
                let _ = self.bed.operator(0).plan_and_confirm(intent, "soak").await;
            }
        }
    }
}

fn inject(link: &Proxy, link_fault_kind: LinkFaultKind) {
    match link_fault_kind {
        LinkFaultKind::Reset => link.reset_open_connections(),
        LinkFaultKind::Silent => link.silence_open_connections(),
        LinkFaultKind::OneWay => link.set_faults(ONE_WAY),
        LinkFaultKind::BlackHole => link.set_faults(BLACK_HOLE),
        LinkFaultKind::Lossy => link.set_faults(LOSSY),
        LinkFaultKind::Cut => link.set_faults(CUT),
    }
}

/// Guards against violations that show only when several faults overlap, such as a request that
/// runs twice or an answer that is cut.
#[tokio::test(flavor = "multi_thread")]
async fn overlapping_faults_violate_no_guarantee() {
    let _guard = exclusive_run().await;
    for seed in seeds() {
        run_seed(seed).await;
    }
}

async fn run_seed(seed: u64) {
    let steps = selected_steps(seed);
    eprintln!("soak seed {seed}, {} steps", steps.len());
    steps.iter().enumerate().for_each(|(index, step)| eprintln!("  {index}: {step}"));
    let bed = TestBed::start(seed).await;
    let load = Load::start(&bed.caller(4_000), &format!("soak{seed}"), &NODES, CALLERS_PER_NODE);
    let (busy_nodes, drained) = (BTreeSet::new(), BTreeSet::new());
    let mut soak = Soak { bed, busy_nodes, drained, pending_intents: Vec::new() };
    let mut transitions: Vec<(u64, bool, usize)> = Vec::new();
    for (index, step) in steps.iter().enumerate() {
        transitions.push((step.at_ms, true, index));
        transitions.push((step.at_ms + step.duration_ms, false, index));
    }
    transitions.sort_unstable();
    let started = Instant::now();
    let mut active = BTreeSet::new();
    for (at_ms, is_start, index) in transitions {
        sleep_until(started + Duration::from_millis(at_ms)).await;
        if is_start && soak.begin(&steps[index]) {
            active.insert(index);
        } else if !is_start && active.remove(&index) {
            soak.end(&steps[index]).await;
        }
    }
    let print_elapsed =
        |milestone| eprintln!("{milestone} after {} ms", started.elapsed().as_millis());
    print_elapsed("faults ended");
    soak.heal().await;
    print_elapsed("all groups serve");
    let mut calls = load.finish().await;
    print_elapsed("callers ended");
    calls.extend(
        assert_requests_without_claim_succeed(&soak.bed, &NODES, &format!("calm{seed}")).await,
    );
    for node in NODES {
        let label = format!("calm{seed}.key{node}");
        let call = soak.bed.caller(8_000).call(RequestKind::Keyed, node, &label, 1).await;
        assert!(call.is_ok(), "seed {seed}: {call:?}");
        calls.push(call);
    }
    soak.bed.assert_guarantees(&calls);
}
