//! Simulation of several nodes whose requests crash the endpoints that they share.
//!
//! Guards against a quarantine that comes too late or hits requests that crash nothing, under
//! lost reports, concurrent crashes and crashes with another cause.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;

use balsam_fleet::Arrival;
use balsam_fleet::AttemptId;
use balsam_fleet::Effect;
use balsam_fleet::Event;
use balsam_fleet::Fleet;
use balsam_fleet::directory::ListChange;
use balsam_fleet::event::AttemptOutcome;
use balsam_fleet::event::PeerReport;
use balsam_fleet::reduce;
use balsam_types::SegmentName;
use balsam_types::VmName;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::support;

const NODES: usize = 6;
const HEADS: u16 = 16;
const STEP_MS: u64 = 10;
const RUN_MS: u64 = 30_000;
const TICK_INTERVAL_MS: u64 = 50;
const REPORT_INTERVAL_MS: u64 = 100;

/// Number of first segments that requests share.
const FIRST_SEGMENTS: u32 = 40;

/// Requests per second of all callers, and the share of those with the crashing segment.
const REQUESTS_PER_S: f64 = 90.0;
const CRASHING_SHARE: f64 = 0.02;

/// Share of the crashing requests' first segment among all sound requests.
const COMMON_FIRST_SHARE: f64 = 0.06;

/// How long a crashed head does not serve.
const RESTART_MS: u64 = 3_000;

/// After this many crashes, and this long after the last of them, the segment must be known.
const MAX_CRASHES: usize = 5;
const SETTLE_MS: u64 = 3_000;

/// Requests with the segment that may reach endpoints after that.
const MAX_LATE_REQUESTS: usize = 3;

/// Minimum share of the sound requests with the same first segment that are served at the first
/// attempt, compared with the share before.
const MIN_SERVED_RATIO: f64 = 0.5;

/// Number of requests from which the shares are compared, as in the users' rule.
const MIN_SAMPLES: u32 = 20;

#[derive(Debug, Clone)]
struct Running {
    vm: VmName,
    begins_ms: u64,
    ends_ms: u64,
    has_begun: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Served {
    first_attempts: u32,
    served: u32,
}

struct Simulation {
    now_ms: u64,
    random: ChaCha8Rng,
    nodes: Vec<Fleet>,
    arrivals: BTreeMap<(usize, AttemptId), Arrival>,
    running: BTreeMap<(usize, AttemptId), Running>,
    down_until_ms: BTreeMap<VmName, u64>,
    /// Reports under way: time of arrival, receiver, report.
    reports: Vec<(u64, usize, PeerReport)>,
    next_attempt_id: AttemptId,
    /// When the segment crashed an endpoint.
    crashes_ms: Vec<u64>,
    /// When requests with the segment were sent to an endpoint.
    sent_ms: Vec<u64>,
    /// Sound requests with the crashing requests' first segment, before the crashes and after they
    /// must have ended.
    before: Served,
    after: Served,
}

fn segment(name: &str) -> SegmentName {
    SegmentName::try_from(name).unwrap()
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let heads: Vec<_> =
            (1..=HEADS).map(|port| support::head(&format!("vm-{port:02}"), port)).collect();
        let node = |index: usize| {
            let mut fleet = support::fleet(&format!("node-{index}"));
            reduce(&mut fleet, 1_000, Event::Configuration(support::configuration(1).into()));
            reduce(&mut fleet, 1_000, Event::List(ListChange::Whole(heads.clone())));
            fleet
        };
        Self {
            now_ms: 10_000,
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes: (0..NODES).map(node).collect(),
            arrivals: BTreeMap::new(),
            running: BTreeMap::new(),
            down_until_ms: BTreeMap::new(),
            reports: Vec::new(),
            next_attempt_id: 0,
            crashes_ms: Vec::new(),
            sent_ms: Vec::new(),
            before: Served::default(),
            after: Served::default(),
        }
    }

    fn run(&mut self) {
        let start_ms = self.now_ms;
        let crashing_from_ms = start_ms + 6_000;
        while self.now_ms < start_ms + RUN_MS {
            self.now_ms += STEP_MS;
            let share = if self.now_ms > crashing_from_ms { CRASHING_SHARE } else { 0.0 };
            if self.random.random_bool(REQUESTS_PER_S * STEP_MS as f64 / 1_000.0) {
                self.request(share);
            }
            // An endpoint is lost for another reason every few seconds.
            if self.random.random_bool(0.3 * STEP_MS as f64 / 1_000.0) {
                let vm = format!("vm-{:02}", self.random.random_range(1..=HEADS));
                self.crash(&support::vm(&vm));
            }
            self.progress();
            self.exchange();
        }
    }

    fn request(&mut self, crashing_share: f64) {
        let node = self.random.random_range(0..NODES);
        let is_crashing = self.random.random_bool(crashing_share);
        let first = match is_crashing || self.random.random_bool(COMMON_FIRST_SHARE) {
            true => "first-0".to_owned(),
            false => format!("first-{}", self.random.random_range(1..FIRST_SEGMENTS)),
        };
        let mut segments = vec![segment(&first)];
        segments.extend(is_crashing.then(|| segment("x")));
        self.next_attempt_id += 1;
        let arrival = Arrival {
            segments: segments.into(),
            ..support::arrival(self.next_attempt_id, self.now_ms)
        };
        self.arrive(node, arrival);
    }

    /// Returns the counter of a sound request with the crashing requests' first segment.
    fn counter(&mut self, arrival: &Arrival) -> Option<&mut Served> {
        let is_common = *arrival.segments == [segment("first-0")];
        let settled_ms = self.crashes_ms.get(MAX_CRASHES - 1).or(self.crashes_ms.last());
        match (is_common && !arrival.is_retry, settled_ms) {
            (true, None) => Some(&mut self.before),
            (true, Some(last_ms)) if self.now_ms > last_ms + 2 * SETTLE_MS => Some(&mut self.after),
            _ => None,
        }
    }

    fn arrive(&mut self, node: usize, arrival: Arrival) {
        if let Some(counter) = self.counter(&arrival) {
            counter.first_attempts += 1;
        }
        self.arrivals.insert((node, arrival.attempt_id), arrival.clone());
        self.apply(node, Event::Arrive(arrival));
    }

    fn apply(&mut self, node: usize, event: Event) {
        for effect in reduce(&mut self.nodes[node], self.now_ms, event) {
            match effect {
                Effect::Dispatch { attempt_id, target, .. } => {
                    self.dispatch(node, attempt_id, target.vm);
                }
                Effect::Refuse { attempt_id, .. } => _ = self.arrivals.remove(&(node, attempt_id)),
                Effect::Abandon { attempt_id } => {
                    self.end(node, attempt_id, AttemptOutcome::Broken);
                }
                _ => {}
            }
        }
    }

    fn dispatch(&mut self, node: usize, attempt_id: AttemptId, vm: VmName) {
        if self.down_until_ms.get(&vm).is_some_and(|until_ms| self.now_ms < *until_ms) {
            self.end(node, attempt_id, AttemptOutcome::Unreachable);
            return;
        }
        if self.arrivals[&(node, attempt_id)].segments.contains(&segment("x")) {
            self.sent_ms.push(self.now_ms);
        }
        let begins_ms = self.now_ms + self.random.random_range(60..500);
        let ends_ms = begins_ms + self.random.random_range(100..1_500);
        let running = Running { vm, begins_ms, ends_ms, has_begun: false };
        self.running.insert((node, attempt_id), running);
    }

    fn end(&mut self, node: usize, attempt_id: AttemptId, outcome: AttemptOutcome) {
        let running = self.running.remove(&(node, attempt_id));
        let Some(arrival) = self.arrivals.remove(&(node, attempt_id)) else { return };
        self.apply(node, Event::Ended { attempt_id, outcome });
        let is_repeated = match outcome {
            AttemptOutcome::Unreachable => true,
            AttemptOutcome::Closed => !arrival.is_retry && !running.is_some_and(|r| r.has_begun),
            _ => false,
        };
        if is_repeated {
            self.next_attempt_id += 1;
            let attempt_id = self.next_attempt_id;
            let is_retry = arrival.is_retry || outcome == AttemptOutcome::Closed;
            self.arrivals.insert((node, attempt_id), Arrival { attempt_id, is_retry, ..arrival });
            let retry = self.arrivals[&(node, attempt_id)].clone();
            self.apply(node, Event::Arrive(retry));
        }
    }

    /// Begins and ends answers that are due; a request with the segment crashes its endpoint.
    fn progress(&mut self) {
        let now_ms = self.now_ms;
        let due = |r: &Running| if r.has_begun { r.ends_ms } else { r.begins_ms };
        let ready: Vec<_> = self
            .running
            .iter()
            .filter(|(_, running)| due(running) <= now_ms)
            .map(|(key, running)| (*key, running.clone()))
            .collect();
        for (key, running) in ready {
            // A crash in the meantime has ended the attempt.
            if !self.running.contains_key(&key) {
                continue;
            }
            let (node, attempt_id) = key;
            let arrival = self.arrivals[&key].clone();
            if arrival.segments.contains(&segment("x")) {
                self.crashes_ms.push(now_ms);
                self.crash(&running.vm);
            } else if running.has_begun {
                self.end(node, attempt_id, AttemptOutcome::Answered);
            } else {
                if let Some(counter) = self.counter(&arrival) {
                    counter.served += 1;
                }
                self.running.get_mut(&key).unwrap().has_begun = true;
                self.apply(node, Event::Started(attempt_id));
                self.apply(node, Event::Continued(attempt_id));
            }
            if let Some(load) = self.nodes[node].loads.get(&running.vm) {
                load.progress_ms.store(now_ms, Ordering::Relaxed);
            }
        }
    }

    fn crash(&mut self, vm: &VmName) {
        self.down_until_ms.insert(vm.clone(), self.now_ms + RESTART_MS);
        let lost: BTreeSet<_> =
            self.running.iter().filter(|(_, r)| r.vm == *vm).map(|(key, _)| *key).collect();
        for (node, attempt_id) in lost {
            self.end(node, attempt_id, AttemptOutcome::Closed);
        }
    }

    /// Delivers reports between nodes, of which some are lost, and ticks the nodes.
    fn exchange(&mut self) {
        let now_ms = self.now_ms;
        if now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            for from in 0..NODES {
                let report = self.nodes[from].report(now_ms);
                for to in (0..NODES).filter(|to| *to != from) {
                    if self.random.random_bool(0.95) {
                        let at_ms = now_ms + self.random.random_range(5..60);
                        self.reports.push((at_ms, to, report.clone()));
                    }
                }
            }
        }
        let due: Vec<_> = self.reports.extract_if(.., |(at_ms, ..)| *at_ms <= now_ms).collect();
        for (_, to, report) in due {
            self.apply(to, Event::Peer(report));
        }
        if now_ms.is_multiple_of(TICK_INTERVAL_MS) {
            (0..NODES).for_each(|node| self.apply(node, Event::Tick));
        }
    }
}

fn check(seed: u64) {
    let mut simulation = Simulation::new(seed);
    simulation.run();
    let Simulation { crashes_ms, sent_ms, before, after, .. } = simulation;
    if let Some(fifth_ms) = crashes_ms.get(MAX_CRASHES - 1) {
        let late = sent_ms.iter().filter(|at_ms| **at_ms > fifth_ms + SETTLE_MS).count();
        assert!(late <= MAX_LATE_REQUESTS, "seed {seed}: {late} late requests, {crashes_ms:?}");
    }
    assert!(!crashes_ms.is_empty(), "seed {seed}: no request crashed an endpoint");
    let share = |served: Served| f64::from(served.served) / f64::from(served.first_attempts.max(1));
    if before.first_attempts >= MIN_SAMPLES && after.first_attempts >= MIN_SAMPLES {
        assert!(
            share(after) >= MIN_SERVED_RATIO * share(before),
            "seed {seed}: {before:?} before, {after:?} after"
        );
    }
}

/// Number of seeds, unless `SIMULATION_SEEDS` sets another.
const SEEDS: u64 = 8;

#[test]
fn a_crashing_segment_is_stopped_and_sound_requests_are_served() {
    let seeds = std::env::var("SIMULATION_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    (1..=seeds.unwrap_or(SEEDS)).for_each(check);
}
