//! A discrete-event simulation of latency, imbalance and cache hits under lagging load reports.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::sync::Arc;

use balsam_route::Choice;
use balsam_route::ChoiceInput;
use balsam_route::Loads;
use balsam_route::Pool;
use balsam_route::baseline::Baseline;
use balsam_route::choose;
use balsam_route::loads::InFlight;
use balsam_route::loads::mix;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::estate;
use crate::figures::Figures;
use crate::figures::percentile;

/// Entry nodes and groups: today's large pool, and one data centre of the design size.
const SIZES: [(usize, usize); 2] = [(6, 60), (78, 180)];
const SLOTS: u32 = 8;
const MEAN_SERVICE_MS: f64 = 400.0;
const UTILISATION: f64 = 0.7;
const DURATION_MS: u64 = 60_000;
const WARM_UP_MS: u64 = 10_000;
const REPORT_EVERY_MS: u64 = 500;
const REPORT_LAG_MS: u64 = 1_000;
const PREFIXES: u64 = 600;
const CACHED_PREFIXES: usize = 24;
/// A cached prefix saves the prefill, assumed to be 40% of the service time.
const HIT_FACTOR: f64 = 0.6;
/// Service time factor of one group in ten, which is marked as slow.
const SLOW_FACTOR: f64 = 1.5;
const SEEDS: u64 = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Finish { group: usize, request: usize },
    Report,
    Delivered(usize),
}

struct Request {
    node: usize,
    arrived_ms: u64,
    prefix: u64,
    guard: Option<InFlight>,
}

#[derive(Default)]
struct Engine {
    running: u32,
    waiting: VecDeque<usize>,
    cached: VecDeque<u64>,
    served: u32,
    slow: bool,
}

/// The result of a run.
#[derive(Default)]
struct Outcome {
    latencies_ms: Vec<f64>,
    hits: u64,
    /// Sum over reports of the ratio of the largest load to the mean load.
    imbalance: f64,
    reports: u64,
}

struct Simulation {
    rng: ChaCha8Rng,
    baseline: Option<Baseline>,
    affinity: bool,
    nodes: usize,
    groups: usize,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    requests: Vec<Request>,
    engines: Vec<Engine>,
    pool: Arc<Pool>,
    reports: Vec<(u64, Vec<u32>)>,
    loads: Vec<Loads>,
    turns: Vec<usize>,
    outcome: Outcome,
}

impl Simulation {
    fn new(baseline: Option<Baseline>, affinity: bool, size: (usize, usize), seed: u64) -> Self {
        let (nodes, groups) = size;
        let mut pool = estate::pool(groups, SLOTS, 1);
        let mut engines: Vec<Engine> = (0..groups).map(|_| Engine::default()).collect();
        for group in (0..groups).step_by(10) {
            pool.groups[group].slow = true;
            engines[group].slow = true;
        }
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            baseline,
            affinity,
            nodes,
            groups,
            now_ms: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            requests: vec![],
            engines,
            pool: Arc::new(pool),
            reports: vec![],
            loads: (0..nodes).map(|_| Loads::default()).collect(),
            turns: (0..nodes).map(|node| node * 7).collect(),
            outcome: Outcome::default(),
        }
    }

    fn schedule(&mut self, time_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time_ms, self.sequence, event)));
    }

    fn run(mut self) -> Outcome {
        let per_ms = UTILISATION * self.groups as f64 * f64::from(SLOTS) / MEAN_SERVICE_MS;
        let mut time_ms = 0.0;
        while time_ms < DURATION_MS as f64 {
            time_ms += -(1.0 - self.rng.random::<f64>()).ln() / per_ms;
            // Squaring the uniform sample makes a few prefixes popular and many rare.
            let prefix = (self.rng.random::<f64>().powi(2) * PREFIXES as f64) as u64;
            let node = self.rng.random_range(0..self.nodes);
            let arrived_ms = time_ms as u64;
            self.requests.push(Request { node, arrived_ms, prefix, guard: None });
            self.schedule(arrived_ms, Event::Arrive(self.requests.len() - 1));
        }
        self.schedule(0, Event::Report);
        while let Some(Reverse((time_ms, _, event))) = self.events.pop() {
            self.now_ms = time_ms;
            match event {
                Event::Arrive(request) => self.arrive(request),
                Event::Finish { group, request } => self.finish(group, request),
                Event::Report => self.report(),
                Event::Delivered(report) => self.deliver(report),
            }
        }
        self.outcome
    }

    fn arrive(&mut self, request: usize) {
        let Request { node, prefix, .. } = self.requests[request];
        let view = self.loads[node].view(&self.pool);
        let input = ChoiceInput {
            now_ms: self.now_ms,
            local_drained: false,
            senders: self.nodes as u32,
            prefix_hash: self.affinity.then(|| mix(prefix + 1)),
            cached_group_hash: None,
            exclude: &[],
            exclude_remotes: &[],
            allow_remote: false,
        };
        let index = match self.baseline {
            Some(baseline) => baseline
                .choose(&view, &input, &mut self.turns[node], &mut self.rng)
                .expect("all groups are eligible"),
            None => match choose(&view, &input, &mut self.rng) {
                Choice::Local { index, .. } => index,
                // The wait counts towards the latency of the request.
                Choice::Wait { retry_after_ms, .. } => {
                    return self.schedule(self.now_ms + retry_after_ms, Event::Arrive(request));
                }
                Choice::Remote { .. } => unreachable!("there are no remotes"),
            },
        };
        self.requests[request].guard = Some(view.load(index).start());
        self.engines[index].waiting.push_back(request);
        self.start(index);
    }

    fn start(&mut self, group: usize) {
        while self.engines[group].running < SLOTS {
            let Some(request) = self.engines[group].waiting.pop_front() else {
                return;
            };
            let prefix = self.requests[request].prefix;
            let mut service_ms = MEAN_SERVICE_MS * (0.5 + self.rng.random::<f64>());
            let engine = &mut self.engines[group];
            engine.running += 1;
            engine.served += 1;
            let is_hit = engine.cached.contains(&prefix);
            engine.cached.retain(|cached| *cached != prefix);
            engine.cached.push_back(prefix);
            if engine.cached.len() > CACHED_PREFIXES {
                engine.cached.pop_front();
            }
            if is_hit {
                service_ms *= HIT_FACTOR;
                let is_measured = self.requests[request].arrived_ms >= WARM_UP_MS;
                self.outcome.hits += u64::from(is_measured);
            }
            if engine.slow {
                service_ms *= SLOW_FACTOR;
            }
            self.schedule(self.now_ms + service_ms as u64, Event::Finish { group, request });
        }
    }

    fn finish(&mut self, group: usize, request: usize) {
        self.engines[group].running -= 1;
        self.requests[request].guard = None;
        let arrived_ms = self.requests[request].arrived_ms;
        if arrived_ms >= WARM_UP_MS {
            self.outcome.latencies_ms.push((self.now_ms - arrived_ms) as f64);
        }
        self.start(group);
    }

    fn report(&mut self) {
        let load = |engine: &Engine| engine.running + engine.waiting.len() as u32;
        let current_loads: Vec<u32> = self.engines.iter().map(load).collect();
        let sum: u32 = current_loads.iter().sum();
        if self.now_ms >= WARM_UP_MS && self.now_ms < DURATION_MS && sum > 0 {
            let max_load = current_loads.iter().copied().max().unwrap_or(0);
            self.outcome.imbalance += f64::from(max_load) * self.groups as f64 / f64::from(sum);
            self.outcome.reports += 1;
        }
        self.reports.push((self.now_ms, current_loads));
        self.schedule(self.now_ms + REPORT_LAG_MS, Event::Delivered(self.reports.len() - 1));
        if self.now_ms < DURATION_MS {
            self.schedule(self.now_ms + REPORT_EVERY_MS, Event::Report);
        }
    }

    fn deliver(&mut self, report: usize) {
        let mut pool = (*self.pool).clone();
        let (made_ms, in_flight) = &self.reports[report];
        for (group, reported) in pool.groups.iter_mut().zip(in_flight) {
            group.reported_at_ms = *made_ms;
            group.reported_in_flight = *reported;
        }
        self.pool = Arc::new(pool);
    }
}

fn summarise(
    figures: &mut Figures,
    name: &str,
    baseline: Option<Baseline>,
    affinity: bool,
    size: (usize, usize),
) -> f64 {
    let mut total = Outcome::default();
    for seed in 1..=SEEDS {
        let mut outcome = Simulation::new(baseline, affinity, size, seed).run();
        total.latencies_ms.append(&mut outcome.latencies_ms);
        total.hits += outcome.hits;
        total.imbalance += outcome.imbalance;
        total.reports += outcome.reports;
    }
    total.latencies_ms.sort_by(f64::total_cmp);
    let hit_share = total.hits as f64 / total.latencies_ms.len() as f64;
    let p99_ms = percentile(&total.latencies_ms, 0.99);
    figures.info(&format!("queueing {name}: p50 ms"), percentile(&total.latencies_ms, 0.5));
    figures.info(&format!("queueing {name}: p99 ms"), p99_ms);
    figures.info(
        &format!("queueing {name}: largest over mean load"),
        total.imbalance / total.reports as f64,
    );
    figures.info(&format!("queueing {name}: share of cache hits"), hit_share);
    p99_ms
}

/// Runs the comparison.
pub fn run(figures: &mut Figures) {
    for size in SIZES {
        compare(figures, size);
    }
}

fn compare(figures: &mut Figures, size: (usize, usize)) {
    let (nodes, groups) = size;
    figures.print_line(&format!(
        "queueing: seeds 1 to {SEEDS}, {nodes} nodes, {groups} groups, utilisation {UTILISATION}, \
         load reports every {REPORT_EVERY_MS} ms with {REPORT_LAG_MS} ms lag"
    ));
    let with_ms = summarise(figures, "choice with affinity", None, true, size);
    let without_ms = summarise(figures, "choice without affinity", None, false, size);
    for baseline in Baseline::ALL {
        let name = format!("{baseline:?}");
        let other_ms = summarise(figures, &name, Some(baseline), false, size);
        let source = "task: no worse than the baseline";
        let figure = format!("p99 ms, choice against {name}");
        figures.at_most(&figure, with_ms, other_ms, source);
        let figure = format!("p99 ms, choice without affinity against {name}");
        figures.at_most(&figure, without_ms, other_ms, source);
    }
}
