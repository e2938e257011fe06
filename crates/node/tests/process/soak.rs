//! Random faults in series that overlap, under load that does not pause.
//!
//! `BALSAM_SOAK_SEEDS=1-50` plays other seeds, `BALSAM_SOAK_MS` sets how long faults are made for,
//! and `BALSAM_SOAK_STEPS=3,7` plays only these steps of a schedule, to find the shortest one that
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

use crate::alone;
use crate::bed::BLACK_HOLE;
use crate::bed::Bed;
use crate::bed::CALM;
use crate::bed::CUT;
use crate::bed::LONG;
use crate::bed::NODES;
use crate::calls::Kind;
use crate::calls::Load;
use crate::platform::assert_unclaimed_go_on;
use crate::schedule::Fault;
use crate::schedule::Link;
use crate::schedule::Step;
use crate::schedule::Trouble;
use crate::schedule::draw;

/// Seeds that failed once. In 11 and 13, a repeat under a key reached an entry node that had just
/// been replaced and was told `not_run`, although the first request had run.
const REGRESSIONS: [u64; 2] = [11, 13];

/// Fresh seeds of a run without a list of its own.
const FRESH_SEEDS: u64 = 2;

/// How long faults are made for.
const FAULTS_MS: u64 = 15_000;

/// Callers of each node.
const CALLERS: usize = 2;

/// Time that an operator waits for a drain.
const DRAIN_PATIENCE: Duration = Duration::from_secs(8);

/// Time in which a process that was asked to end ends; its settings allow 30 s.
const TERMINATE_LIMIT: Duration = Duration::from_secs(35);

const LOSSY: LinkFaults = LinkFaults { delay_ms: 15, loss_percent: 5, stall_ms: 200, ..CALM };

const ONE_WAY: LinkFaults = LinkFaults { silent_to_target: true, ..CALM };

fn seeds() -> Vec<u64> {
    match std::env::var("BALSAM_SOAK_SEEDS") {
        Ok(list) => list.split(',').flat_map(seed_range).collect(),
        Err(_) => {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
            let first = now.as_secs();
            REGRESSIONS.into_iter().chain(first..first + FRESH_SEEDS).collect()
        }
    }
}

fn seed_range(text: &str) -> std::ops::RangeInclusive<u64> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    first.trim().parse().unwrap()..=last.trim().parse().unwrap()
}

fn faults_ms() -> u64 {
    std::env::var("BALSAM_SOAK_MS").map_or(FAULTS_MS, |text| text.parse().unwrap())
}

fn chosen_steps(seed: u64) -> Vec<Step> {
    let steps = draw(seed, faults_ms());
    let Ok(list) = std::env::var("BALSAM_SOAK_STEPS") else { return steps };
    list.split(',').map(|at| steps[at.trim().parse::<usize>().unwrap()]).collect()
}

/// What a run has done to the bed and must undo.
struct Soak {
    bed: Bed,
    /// Nodes whose process is stopped, gone or ending.
    busy_nodes: BTreeSet<usize>,
    drained: BTreeSet<&'static str>,
    drains: Vec<JoinHandle<()>>,
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
            Fault::NodeLink(node, link, trouble) => {
                make(self.link(node, link), trouble);
            }
            Fault::EndpointLinks(trouble) => {
                self.bed.endpoints.values().for_each(|found| make(&found.link, trouble));
            }
            Fault::EndpointLink(number, trouble) => {
                make(&self.bed.endpoints[&self.endpoint(number)].link, trouble);
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
                self.bed.nodes[node].process.wait_end(TERMINATE_LIMIT).unwrap();
                self.bed.replace_node(node).await;
                self.busy_nodes.remove(&node);
            }
            Fault::NodeLink(node, link, _) => self.link(node, link).set(CALM),
            Fault::EndpointLinks(_) => {
                self.bed.endpoints.values().for_each(|found| found.link.set(CALM));
            }
            Fault::EndpointLink(number, _) => {
                self.bed.endpoints[&self.endpoint(number)].link.set(CALM);
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

    /// Lets an operator ask for a change, who may get no answer.
    fn carry_out(&mut self, intent: Intent) {
        let Some(node) = self.operator_node() else { return };
        let operator = self.bed.operator(node);
        self.drains.push(tokio::spawn(async move {
            let _ = timeout(DRAIN_PATIENCE, operator.carry_out(intent, "soak")).await;
        }));
    }

    /// Ends every fault, and waits until all groups serve again.
    async fn heal(&mut self) {
        self.set_platform(PlatformFaults::default());
        for node in &self.bed.nodes {
            [&node.callers, &node.peers, &node.platform].iter().for_each(|link| link.set(CALM));
        }
        self.bed.endpoints.values().for_each(|found| found.link.set(CALM));
        for drain in self.drains.drain(..) {
            drain.await.unwrap();
        }
        self.bed
            .wait("every node is ready", |b| b.nodes.iter().all(|n| n.process.is_ready()))
            .await;
        self.return_data_centres().await;
        for node in NODES {
            self.bed.wait_serving(node).await;
        }
    }

    /// Brings back what is out, also by a drain whose confirmation got no answer.
    async fn return_data_centres(&self) {
        let started = Instant::now();
        loop {
            let status = self.bed.operator(0).status().await.unwrap();
            let out = status.data_centres.iter().filter(|found| found.drained);
            let out: Vec<String> = out.map(|found| found.data_centre.clone()).collect();
            if out.is_empty() {
                return;
            }
            assert!(started.elapsed() < LONG, "{out:?} did not come back");
            for name in out {
                let intent = Intent::ReturnDataCentre(name);
                let _ = self.bed.operator(0).carry_out(intent, "soak").await;
            }
        }
    }
}

fn make(link: &Proxy, trouble: Trouble) {
    match trouble {
        Trouble::Reset => link.reset_open_connections(),
        Trouble::Silent => link.silence_open_connections(),
        Trouble::OneWay => link.set(ONE_WAY),
        Trouble::BlackHole => link.set(BLACK_HOLE),
        Trouble::Lossy => link.set(LOSSY),
        Trouble::Cut => link.set(CUT),
    }
}

/// Guards against promises that hold in each failure but not in series that overlap.
#[tokio::test(flavor = "multi_thread")]
async fn overlapping_faults_break_no_promise() {
    let _alone = alone().await;
    for seed in seeds() {
        play(seed).await;
    }
}

async fn play(seed: u64) {
    let steps = chosen_steps(seed);
    eprintln!("soak seed {seed}, {} steps", steps.len());
    steps.iter().enumerate().for_each(|(at, step)| eprintln!("  {at}: {step}"));
    let bed = Bed::start(seed).await;
    let load = Load::start(&bed.caller(4_000), &format!("soak{seed}"), &NODES, CALLERS);
    let (busy_nodes, drained) = (BTreeSet::new(), BTreeSet::new());
    let mut soak = Soak { bed, busy_nodes, drained, drains: Vec::new() };
    let mut moments: Vec<(u64, bool, usize)> = Vec::new();
    for (at, step) in steps.iter().enumerate() {
        moments.push((step.at_ms, true, at));
        moments.push((step.at_ms + step.for_ms, false, at));
    }
    moments.sort_unstable();
    let started = Instant::now();
    let mut begun = BTreeSet::new();
    for (at_ms, begins, at) in moments {
        sleep_until(started + Duration::from_millis(at_ms)).await;
        if begins && soak.begin(&steps[at]) {
            begun.insert(at);
        } else if !begins && begun.remove(&at) {
            soak.end(&steps[at]).await;
        }
    }
    let passed = |what| eprintln!("{what} after {} ms", started.elapsed().as_millis());
    passed("faults ended");
    soak.heal().await;
    passed("all groups serve");
    let mut calls = load.finish().await;
    passed("callers ended");
    calls.extend(assert_unclaimed_go_on(&soak.bed, &NODES, &format!("calm{seed}")).await);
    for node in NODES {
        let label = format!("calm{seed}.key{node}");
        let call = soak.bed.caller(8_000).call(Kind::Keyed, node, &label, 1).await;
        assert!(call.is_ok(), "seed {seed}: {call:?}");
        calls.push(call);
    }
    soak.bed.assert_kept(&calls);
}
