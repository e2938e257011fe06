//! Replays a burst that exceeds the capacity, in virtual time: nodes that share groups, groups that
//! read and write in passes, and callers that return after a refusal.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use balsam_fleet::Arrival;
use balsam_fleet::Effect;
use balsam_fleet::Event;
use balsam_fleet::Fleet;
use balsam_fleet::LoadPolicy;
use balsam_fleet::directory::ListChange;
use balsam_fleet::event::AttemptOutcome;
use balsam_fleet::event::SentRequest;
use balsam_fleet::placement;
use balsam_fleet::priority::Priority;
use balsam_fleet::reduce;
use balsam_types::OrganisationName;
use balsam_types::VmName;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::support;

const START_MS: u64 = 10_000;
const STEP_MS: u64 = 5;
const TICK_MS: u64 = 50;
const REPORT_MS: u64 = 100;

pub const TARGET_MS: u64 = 500;
/// Time within which a caller that needs an answer leaves, from the shortest to the longest.
const CALLER_TIME_MS: std::ops::RangeInclusive<u64> = 1_200..=8_000;

/// How long a caller stays without a first event.
const STAYS_MS: u64 = 2_400;

const ORGANISATIONS: usize = 24;

/// The organisation with the most requests, which retries at once.
pub const AGGRESSIVE: usize = 0;

/// Work of a mean request of the replay in ms of a full group.
const MEAN_WORK_MS: f64 = 133.0;

#[derive(Clone)]
pub struct Scenario {
    pub admits_by_work: bool,
    pub seed: u64,
    pub nodes: usize,
    pub groups: u16,
    /// Demand in the burst as a multiple of the capacity.
    pub overload: f64,
    /// Number of groups lost in the middle of the burst.
    pub lost_groups: u16,
    /// The last node starts in the middle of the burst.
    pub starts_late: bool,
    /// When the nodes lose sight of each other.
    pub cut_ms: Option<u64>,
    /// One attempt in ten is marked as one that has reached an endpoint before.
    pub marks_repeats: bool,
}

impl Scenario {
    pub fn new(seed: u64, admits_by_work: bool) -> Self {
        Self {
            admits_by_work,
            seed,
            nodes: 4,
            groups: 16,
            overload: 2.7,
            lost_groups: 3,
            starts_late: false,
            cut_ms: None,
            marks_repeats: false,
        }
    }
}

/// One request of a caller with all its attempts.
#[derive(Debug, Clone)]
pub struct Request {
    pub organisation: usize,
    pub size: u32,
    answer_tokens: u32,
    pub priority: u8,
    asked_ms: u64,
    /// When the caller needs the whole answer.
    pub needed_by_ms: u64,
    pub attempts: u32,
    pub first_event_ms: Option<u64>,
    pub ended_ms: Option<u64>,
    pub is_served: bool,
    /// Whether the caller left while the request was queued, or while a group had it.
    pub left_queued: bool,
    pub left_running: bool,
    /// Whether it ended with its group.
    pub is_broken: bool,
    /// How long it was held by nodes that refused it, for each refusal.
    pub held_ms: Vec<u64>,
    sent_to_node_ms: u64,
}

impl Request {
    pub fn is_in_time(&self) -> bool {
        self.is_served && self.first_event_ms.is_some_and(|ms| ms <= self.asked_ms + TARGET_MS)
    }
}

struct Run {
    attempt_id: u64,
    node: usize,
    unread_tokens: u64,
    unwritten_tokens: u32,
    has_started: bool,
}

#[derive(Default)]
struct Group {
    runs: Vec<Run>,
    pass_ends_ms: f64,
    pass_tokens: u64,
}

struct Replay {
    scenario: Scenario,
    random: ChaCha8Rng,
    nodes: Vec<Fleet>,
    groups: BTreeMap<VmName, Group>,
    requests: Vec<Request>,
    /// Requests by the time of their next attempt.
    due: BTreeMap<(u64, usize), ()>,
    /// The request of each attempt.
    attempts: BTreeMap<u64, usize>,
    /// The open attempts with their nodes.
    open: BTreeMap<u64, usize>,
    /// Open attempts without a first event by the time when their callers leave.
    leaving: BTreeSet<(u64, u64)>,
    /// Requests that other nodes do not know of yet, with the sending node.
    sent: Vec<(usize, SentRequest)>,
    rejected: u32,
    decisions: Vec<Decided>,
}

/// What a node decided on an attempt: where it was sent, or when its caller is to return.
pub type Decided = (u64, u64, Result<VmName, u64>);

/// Results of a replay.
pub struct Outcome {
    pub requests: Vec<Request>,
    /// Arrivals that a full group rejected.
    pub rejected: u32,
    pub decisions: Vec<Decided>,
}

impl Outcome {
    /// Returns the fraction of the chosen requests for which `is_met` holds; what a lost group broke
    /// off is left out.
    pub fn share(
        &self,
        is_chosen: impl Fn(&Request) -> bool,
        is_met: impl Fn(&Request) -> bool,
    ) -> f64 {
        let chosen: Vec<_> =
            self.requests.iter().filter(|r| !r.is_broken && is_chosen(r)).collect();
        chosen.iter().filter(|r| is_met(r)).count() as f64 / chosen.len().max(1) as f64
    }

    pub fn served(&self, is_chosen: impl Fn(&Request) -> bool) -> f64 {
        self.share(is_chosen, |request| request.is_served)
    }

    /// Returns the size from which a request belongs to the largest tenth.
    pub fn large_from(&self) -> u32 {
        let mut sizes: Vec<u32> = self.requests.iter().map(|request| request.size).collect();
        sizes.sort_unstable();
        sizes[sizes.len() * 9 / 10]
    }

    /// Returns the lowest share of served requests of any organisation with at least five requests.
    pub fn worst_organisation(&self) -> f64 {
        let organisations = (0..ORGANISATIONS).filter(|organisation| {
            self.requests.iter().filter(|r| r.organisation == *organisation && !r.is_broken).count()
                >= 5
        });
        let served = organisations.map(|name| self.served(|r| r.organisation == name));
        served.fold(1.0, f64::min)
    }

    /// Returns the time from the first attempt after which half, 95 and 99 in 100 of the served callers had
    /// what `at_ms` tells.
    fn percentiles(&self, at_ms: impl Fn(&Request) -> Option<u64>) -> [u64; 3] {
        let served = self.requests.iter().filter(|request| request.is_served);
        let mut times: Vec<u64> =
            served.filter_map(|request| Some(at_ms(request)? - request.asked_ms)).collect();
        times.sort_unstable();
        [50, 95, 99].map(|part| times[(times.len() - 1) * part / 100])
    }

    pub fn summary(&self) -> String {
        let large = self.large_from();
        let in_time = self.share(|_| true, Request::is_in_time);
        let returned = |r: &Request| r.attempts > 1 && r.organisation != AGGRESSIVE;
        let mut held: Vec<u64> =
            self.requests.iter().flat_map(|request| &request.held_ms).copied().collect();
        held.sort_unstable();
        let count = |is_met: &dyn Fn(&Request) -> bool| {
            self.requests.iter().filter(|request| is_met(request)).count()
        };
        format!(
            "asked {}, served {:.3}, in time {in_time:.3}, worst organisation {:.3}, aggressive {:.3}, largest tenth {:.3}, \
             priority 0 {:.3}, 1 {:.3}, returned {:.3}, rejected {}, refusals {}, held ms {:?}, \
             first event ms {:?}, whole answer ms {:?}, left queued {}, left running {}",
            self.requests.len(),
            self.served(|_| true),
            self.worst_organisation(),
            self.served(|r| r.organisation == AGGRESSIVE),
            self.served(|r| r.size >= large),
            self.served(|r| r.priority == 0),
            self.served(|r| r.priority == 1),
            self.served(returned),
            self.rejected,
            held.len(),
            [50, 95, 99].map(|part| held.get(held.len().saturating_sub(1) * part / 100)),
            self.percentiles(|request| request.first_event_ms),
            self.percentiles(|request| request.ended_ms),
            count(&|request| request.left_queued),
            count(&|request| request.left_running),
        )
    }
}

/// Plays 2 s of moderate load, a burst of 3 s, and 8 s in which callers return.
pub fn replay(scenario: Scenario) -> Outcome {
    let mut replay = Replay::new(scenario);
    let burst = START_MS + 2_000..START_MS + 5_000;
    let middle_ms = START_MS + 3_500;
    for now_ms in (START_MS..START_MS + 13_000).step_by(STEP_MS as usize) {
        let load = if burst.contains(&now_ms) { replay.scenario.overload } else { 0.6 };
        if now_ms < START_MS + 8_000 {
            replay.ask(now_ms, load);
        }
        if now_ms == middle_ms {
            replay.lose_groups(now_ms);
            if replay.scenario.starts_late {
                let last = replay.nodes.len() - 1;
                replay.nodes[last] = replay.started_node(last, now_ms);
            }
        }
        replay.step(now_ms);
    }
    Outcome { requests: replay.requests, rejected: replay.rejected, decisions: replay.decisions }
}

impl Replay {
    fn new(scenario: Scenario) -> Self {
        let group = |port| (support::vm(&format!("head{port}")), Group::default());
        let mut replay = Self {
            random: ChaCha8Rng::seed_from_u64(scenario.seed),
            nodes: Vec::new(),
            groups: (1..=scenario.groups).map(group).collect(),
            requests: Vec::new(),
            due: BTreeMap::new(),
            attempts: BTreeMap::new(),
            open: BTreeMap::new(),
            leaving: BTreeSet::new(),
            sent: Vec::new(),
            rejected: 0,
            decisions: Vec::new(),
            scenario,
        };
        replay.nodes =
            (0..replay.scenario.nodes).map(|node| replay.started_node(node, START_MS)).collect();
        replay
    }

    fn started_node(&self, node: usize, now_ms: u64) -> Fleet {
        let mut fleet = support::fleet(&format!("node{node}"));
        let admits_by_work = self.scenario.admits_by_work;
        // The budget for repeats, which tells them apart, has room for all.
        fleet.settings.retry_slack = 1e6;
        fleet.settings.load_policy = LoadPolicy { admits_by_work, ..LoadPolicy::default() };
        reduce(&mut fleet, now_ms, Event::Configuration(support::configuration(1).into()));
        reduce(&mut fleet, now_ms, Event::List(ListChange::Whole(self.heads())));
        fleet
    }

    fn heads(&self) -> Vec<balsam_fleet::Endpoint> {
        let port = |vm: &VmName| vm.as_str().trim_start_matches("head").parse().unwrap();
        self.groups.keys().map(|vm| support::head(vm.as_str(), port(vm))).collect()
    }

    fn log_normal(&mut self, median: f64, sigma: f64) -> f64 {
        // The sum of twelve uniform numbers is close to normal.
        let normal: f64 = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
        median * (sigma * normal).exp()
    }

    /// Tells the other nodes which requests were sent in the last step.
    fn announce(&mut self, now_ms: u64) {
        for (sender, sent) in std::mem::take(&mut self.sent) {
            if self.is_cut(now_ms) {
                continue;
            }
            for node in (0..self.nodes.len()).filter(|node| *node != sender) {
                let name = self.nodes[sender].settings.node.clone();
                self.apply(now_ms, node, Event::PeerSent { node: name, sent: vec![sent.clone()] });
            }
        }
    }

    fn is_cut(&self, now_ms: u64) -> bool {
        self.scenario.cut_ms.is_some_and(|cut_ms| now_ms >= cut_ms)
    }

    /// Creates the requests that callers send within one step.
    fn ask(&mut self, now_ms: u64, load: f64) {
        let per_ms = load * f64::from(self.scenario.groups) / MEAN_WORK_MS;
        let mut expected = per_ms * STEP_MS as f64;
        while self.random.random::<f64>() < expected {
            expected -= 1.0;
            // The largest organisation has a third of the requests, the smallest one in 200.
            let organisation =
                (self.random.random::<f64>().powi(3) * ORGANISATIONS as f64) as usize;
            let size = self.log_normal(1_100.0, 0.7).clamp(100.0, 9_000.0) as u32;
            let answer_tokens = self.log_normal(150.0, 0.5).clamp(20.0, 900.0) as u32;
            let request = Request {
                organisation,
                size,
                answer_tokens,
                priority: u8::from(self.random.random_bool(0.7)),
                asked_ms: now_ms,
                needed_by_ms: now_ms + self.random.random_range(CALLER_TIME_MS),
                attempts: 0,
                first_event_ms: None,
                ended_ms: None,
                is_served: false,
                left_queued: false,
                left_running: false,
                is_broken: false,
                held_ms: Vec::new(),
                sent_to_node_ms: 0,
            };
            self.due.insert((now_ms, self.requests.len()), ());
            self.requests.push(request);
        }
    }

    fn lose_groups(&mut self, now_ms: u64) {
        for _ in 0..self.scenario.lost_groups {
            let Some((vm, group)) = self.groups.pop_first() else { return };
            for node in 0..self.nodes.len() {
                let removed = ListChange::Removed(vm.clone());
                self.apply(now_ms, node, Event::List(removed));
            }
            for run in group.runs {
                self.requests[self.attempts[&run.attempt_id]].is_broken = true;
                self.end(now_ms, run.node, run.attempt_id, AttemptOutcome::Broken);
            }
        }
    }

    /// Ends the attempts of callers that have left.
    fn leave(&mut self, now_ms: u64) {
        while let Some((at_ms, attempt_id)) = self.leaving.first().copied()
            && at_ms <= now_ms
        {
            self.leaving.pop_first();
            let Some(node) = self.open.get(&attempt_id).copied() else { continue };
            let request = &mut self.requests[self.attempts[&attempt_id]];
            if request.first_event_ms.is_some() && now_ms < request.needed_by_ms {
                self.leaving.insert((request.needed_by_ms, attempt_id));
                continue;
            }
            let mut groups = self.groups.values_mut();
            let run = groups.find_map(|group| {
                let index = group.runs.iter().position(|run| run.attempt_id == attempt_id)?;
                Some(group.runs.swap_remove(index))
            });
            request.left_running = run.is_some();
            request.left_queued = run.is_none();
            self.end(now_ms, node, attempt_id, AttemptOutcome::Cancelled);
        }
    }

    fn end(&mut self, now_ms: u64, node: usize, attempt_id: u64, outcome: AttemptOutcome) {
        self.open.remove(&attempt_id);
        self.apply(now_ms, node, Event::Ended { attempt_id, outcome });
    }

    fn step(&mut self, now_ms: u64) {
        self.announce(now_ms);
        self.leave(now_ms);
        while let Some(((at_ms, index), ())) = self.due.pop_first() {
            if at_ms > now_ms {
                self.due.insert((at_ms, index), ());
                break;
            }
            self.send(now_ms, index);
        }
        self.run_groups(now_ms);
        if now_ms.is_multiple_of(TICK_MS) {
            for node in 0..self.nodes.len() {
                self.apply(now_ms, node, Event::List(ListChange::Unchanged));
                self.apply(now_ms, node, Event::Tick);
            }
        }
        if now_ms.is_multiple_of(REPORT_MS) && !self.is_cut(now_ms) {
            let reports: Vec<_> = self.nodes.iter().map(|node| node.report(now_ms)).collect();
            for node in 0..self.nodes.len() {
                for (_, report) in reports.iter().enumerate().filter(|(other, _)| *other != node) {
                    self.apply(now_ms, node, Event::Peer(report.clone()));
                }
            }
        }
    }

    fn send(&mut self, now_ms: u64, index: usize) {
        let attempt_id = self.attempts.len() as u64 + 1;
        self.attempts.insert(attempt_id, index);
        let request = &mut self.requests[index];
        request.attempts += 1;
        request.sent_to_node_ms = now_ms;
        let name = format!("organisation{}", request.organisation);
        let arrival = Arrival {
            organisation: Some(OrganisationName::try_from(name.as_str()).unwrap()),
            prompt_tokens: request.size,
            answer_tokens: request.answer_tokens,
            priority: Priority::from(request.priority),
            first_event_by_ms: request.needed_by_ms.min(now_ms + STAYS_MS),
            deadline_at_ms: request.needed_by_ms,
            is_retry: self.scenario.marks_repeats && attempt_id.is_multiple_of(10),
            ..support::arrival(attempt_id, now_ms)
        };
        let node = (index + request.attempts as usize) % self.nodes.len();
        self.open.insert(attempt_id, node);
        self.leaving.insert((request.needed_by_ms.min(now_ms + STAYS_MS), attempt_id));
        self.apply(now_ms, node, Event::Arrive(arrival));
    }

    fn apply(&mut self, now_ms: u64, node: usize, event: Event) {
        let effects = reduce(&mut self.nodes[node], now_ms, event);
        for effect in effects {
            match effect {
                Effect::Dispatch { attempt_id, target, .. } => {
                    self.decisions.push((now_ms, attempt_id, Ok(target.vm.clone())));
                    self.dispatch(now_ms, node, attempt_id, &target.vm)
                }
                Effect::Refuse { attempt_id, refusal } => {
                    self.open.remove(&attempt_id);
                    self.decisions.push((now_ms, attempt_id, Err(refusal.retry_after_ms)));
                    self.refused(now_ms, self.attempts[&attempt_id], refusal.retry_after_ms)
                }
                _ => {}
            }
        }
    }

    fn refused(&mut self, now_ms: u64, index: usize, retry_after_ms: u64) {
        let request = &mut self.requests[index];
        request.held_ms.push(now_ms - request.sent_to_node_ms);
        let left_ms = request.needed_by_ms.saturating_sub(now_ms);
        let is_aggressive = request.organisation == AGGRESSIVE;
        let delay_ms = if is_aggressive { 10 } else { retry_after_ms };
        let most = if is_aggressive { 12 } else { 4 };
        if request.attempts < most && delay_ms <= left_ms / 3 {
            self.due.insert((now_ms + delay_ms.max(STEP_MS), index), ());
        }
    }

    fn dispatch(&mut self, now_ms: u64, node: usize, attempt_id: u64, vm: &VmName) {
        let request = &self.requests[self.attempts[&attempt_id]];
        self.sent.push((
            node,
            SentRequest { vm: vm.clone(), prompt_tokens: request.size, answer_tokens: None },
        ));
        let run = Run {
            attempt_id,
            node,
            unread_tokens: u64::from(request.size),
            unwritten_tokens: request.answer_tokens,
            has_started: false,
        };
        let slots = support::engine().slots as usize;
        match self.groups.get_mut(vm) {
            Some(group) if group.runs.len() < slots => group.runs.push(run),
            _ => {
                self.rejected += 1;
                self.end(now_ms, node, attempt_id, AttemptOutcome::TurnedAway);
                self.refused(now_ms, self.attempts[&attempt_id], 200);
            }
        }
    }

    /// Carries out the passes that end in this step.
    fn run_groups(&mut self, now_ms: u64) {
        let engine = support::engine();
        let stride = engine.stride;
        let mut events = Vec::new();
        for group in self.groups.values_mut() {
            if group.runs.is_empty() || now_ms as f64 >= group.pass_ends_ms {
                let mut readable = std::mem::take(&mut group.pass_tokens);
                for run in &mut group.runs {
                    let read = run.unread_tokens.min(readable);
                    readable -= read;
                    run.unread_tokens -= read;
                    if run.unread_tokens > 0 {
                        continue;
                    }
                    if !std::mem::replace(&mut run.has_started, true) {
                        events.push((run.node, run.attempt_id, false));
                    }
                    run.unwritten_tokens = run.unwritten_tokens.saturating_sub(stride);
                    if run.unwritten_tokens == 0 {
                        events.push((run.node, run.attempt_id, true));
                    }
                }
                group.runs.retain(|run| run.unwritten_tokens > 0);
                let unread: u64 = group.runs.iter().map(|run| run.unread_tokens).sum();
                group.pass_tokens = unread.min(u64::from(stride * engine.chunk_tokens));
                let started = group.pass_ends_ms.max((now_ms - STEP_MS) as f64);
                let running = group.runs.len() as u32;
                group.pass_ends_ms = started + placement::pass_ms(&engine, 1.0, running, unread);
            }
        }
        for (node, attempt_id, is_end) in events {
            let request = &mut self.requests[self.attempts[&attempt_id]];
            if is_end {
                request.is_served = true;
                request.ended_ms = Some(now_ms);
                self.end(now_ms, node, attempt_id, AttemptOutcome::Answered);
            } else {
                request.first_event_ms = Some(now_ms);
                self.apply(now_ms, node, Event::Started(attempt_id));
            }
        }
    }
}
