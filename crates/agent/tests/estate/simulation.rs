//! A simulation of several node reducers, one log and some endpoints in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use balsam_agent::Agent;
use balsam_agent::Effect;
use balsam_agent::Event;
use balsam_agent::EventTime;
use balsam_agent::effect::ClaimAnswer;
use balsam_agent::effect::Order;
use balsam_agent::event::AppendResult;
use balsam_agent::event::ClaimSubmission;
use balsam_agent::event::Observation;
use balsam_agent::event::PeerSnapshot;
use balsam_agent::event::ProbeResult;
use balsam_agent::reduce;
use balsam_peer::DataCentreSummary;
use balsam_peer::LocalState;
use balsam_peer::Member;
use balsam_peer::MemberState;
use balsam_peer::StopSubject;
use balsam_route::Table;
use balsam_state::LogEntry;
use balsam_types::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::convert::info;
use crate::convert::label;
use crate::convert::observation;
use crate::convert::report;
use crate::convert::settings;

const WALL_MS: u64 = 1_700_000_000_000;
const TICK_MS: u64 = 200;
pub const FRESH_MS: u64 = 2_000;
const RETENTION_APPENDS: u64 = 120;

pub struct Node {
    pub agent: Agent,
    pub process: u64,
    pub start_ms: u64,
    pub paused_until_ms: u64,
    pub next_read: u64,
    pub published: Option<(u64, LocalState)>,
    pub received: HashMap<usize, (u64, Incarnation, LocalState)>,
    pub stops: BTreeMap<StopSubject, Option<Offset>>,
    pub table: Arc<Table>,
    pub highest_folded: Offset,
}

#[derive(Default)]
pub struct Endpoint {
    pub is_dead: bool,
    pub leaving_since_ms: Option<u64>,
    pub instance: u64,
    pub fence: u64,
    pub ready_ms: u64,
    pub is_unfenced: bool,
    /// When the endpoint was last alive and ready, by fencing number.
    pub last_ready_ms: HashMap<u64, u64>,
}

impl Endpoint {
    fn record_ready(&mut self, now_ms: u64) {
        if !self.is_dead && self.ready_ms <= now_ms {
            self.last_ready_ms.insert(self.fence, now_ms);
        }
    }
}

pub enum Action {
    Tick(usize, u64),
    ReadLog(usize, u64),
    Deliver(usize, u64, Box<Event>),
    AppendArrives {
        node: usize,
        process: u64,
        batch_id: u64,
        records: Vec<Record>,
        is_answered: bool,
    },
    DeliverOrder(VmName, Order),
    SendRequest,
    FinishRequest(usize, u64, ClaimKey),
    BeginFault(usize),
    EndFault(usize),
}

pub struct Simulation {
    pub now_ms: u64,
    pub rng: StdRng,
    pub nodes: Vec<Node>,
    pub endpoints: BTreeMap<VmName, Endpoint>,
    pub vms: Vec<VmInfo>,
    pub log: Vec<LogEntry>,
    pub is_log_down: bool,
    pub log_delay_ms: u64,
    pub loses_answers: bool,
    pub platform_cut: Vec<bool>,
    pub peers_cut: Vec<bool>,
    pub has_clients: bool,
    pub tick_ms: u64,
    pub granted: HashMap<ClaimKey, (usize, u64)>,
    pub grant_count: u64,
    pub answers: BTreeMap<&'static str, u64>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    actions: HashMap<u64, Action>,
    sequence: u64,
    process_count: u64,
    waiters: HashMap<(usize, u64, u64), ClaimKey>,
}

pub fn name<T: for<'a> TryFrom<&'a str, Error: std::fmt::Debug>>(raw: &str) -> T {
    T::try_from(raw).unwrap()
}

pub fn data_centre(index: usize) -> DataCentreName {
    name(&format!("dc-{index}"))
}

pub fn dc_of(node: usize) -> usize {
    node % 3
}

fn address(port: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port as u16))
}

impl Simulation {
    pub fn new(seed: u64, nodes: usize) -> Self {
        let mut sim = Self {
            now_ms: 1_000,
            rng: StdRng::seed_from_u64(seed),
            nodes: Vec::new(),
            endpoints: BTreeMap::new(),
            vms: Vec::new(),
            log: Vec::new(),
            is_log_down: false,
            log_delay_ms: 0,
            loses_answers: false,
            platform_cut: vec![false; 3],
            peers_cut: vec![false; 3],
            has_clients: true,
            tick_ms: TICK_MS,
            granted: HashMap::new(),
            grant_count: 0,
            answers: BTreeMap::new(),
            queue: BinaryHeap::new(),
            actions: HashMap::new(),
            sequence: 0,
            process_count: 0,
            waiters: HashMap::new(),
        };
        for index in 0..21 {
            // Each data centre has five model VMs and two that ignore fencing numbers.
            let is_unfenced = index >= 15;
            let vm: VmName = name(&format!("vm-{index}"));
            let pool = name(if is_unfenced { "unfenced" } else { "model" });
            let role = VmRole::Endpoint { pool, address: address(2_000 + index), accelerators: 4 };
            sim.vms.push(info(vm.clone(), index % 3, role));
            sim.endpoints.insert(vm, Endpoint { is_unfenced, ..Endpoint::default() });
        }
        for node in 0..nodes {
            let role = VmRole::Entry { peer_address: address(1_000 + node) };
            sim.vms.push(info(name(&format!("entry-{node}")), dc_of(node), role));
            let process = sim.new_process(node);
            sim.nodes.push(process);
            sim.start(node);
        }
        sim.schedule(50, Action::SendRequest);
        sim
    }

    fn new_process(&mut self, node: usize) -> Node {
        self.process_count += 1;
        let vm = name(&format!("entry-{node}"));
        let nonce = self.process_count as u32;
        let incarnation = Incarnation { vm, start_ms: WALL_MS + self.now_ms, nonce };
        let seed = self.rng.random();
        let dc = data_centre(dc_of(node));
        let peer_address = address(1_000 + node);
        let agent = Agent::new(settings(), incarnation, name("region"), dc, peer_address, seed);
        Node {
            agent,
            process: self.process_count,
            start_ms: self.now_ms - 500,
            paused_until_ms: 0,
            next_read: 0,
            published: None,
            received: HashMap::new(),
            stops: BTreeMap::new(),
            table: Arc::default(),
            highest_folded: Offset::default(),
        }
    }

    fn start(&mut self, node: usize) {
        let process = self.nodes[node].process;
        let jitter_ms = self.rng.random_range(0..TICK_MS);
        self.schedule(jitter_ms, Action::Tick(node, process));
        self.schedule(jitter_ms, Action::ReadLog(node, process));
    }

    /// Replaces a node by a new process on the same VM.
    pub fn replace(&mut self, node: usize) {
        self.nodes[node] = self.new_process(node);
        self.start(node);
    }

    pub fn schedule(&mut self, delay_ms: u64, action: Action) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now_ms + delay_ms, self.sequence)));
        self.actions.insert(self.sequence, action);
    }

    /// Runs until the given time and calls `fault` when a fault begins or ends.
    pub fn run_to(&mut self, until_ms: u64, mut fault: impl FnMut(&mut Simulation, usize, bool)) {
        while let Some(Reverse((at_ms, sequence))) = self.queue.peek().copied() {
            if at_ms > until_ms {
                break;
            }
            self.queue.pop();
            self.now_ms = at_ms;
            match self.actions.remove(&sequence).unwrap() {
                Action::BeginFault(index) => fault(self, index, true),
                Action::EndFault(index) => fault(self, index, false),
                action => self.execute(action),
            }
        }
        self.now_ms = until_ms;
    }

    fn execute(&mut self, action: Action) {
        if let Action::Tick(node, process)
        | Action::ReadLog(node, process)
        | Action::Deliver(node, process, _) = &action
        {
            let paused_until_ms = self.nodes[*node].paused_until_ms;
            if self.nodes[*node].process != *process {
                return;
            }
            if self.now_ms < paused_until_ms {
                return self.schedule(paused_until_ms - self.now_ms, action);
            }
        }
        match action {
            Action::Tick(node, process) => {
                let peers = self.peers_event(node);
                self.apply(node, peers);
                self.apply(node, Event::Tick);
                self.check_table(node);
                self.schedule(self.tick_ms, Action::Tick(node, process));
            }
            Action::ReadLog(node, process) => self.read_log(node, process),
            Action::Deliver(node, _, event) => self.apply(node, *event),
            Action::AppendArrives { node, process, batch_id, records, is_answered } => {
                self.append_arrives(node, process, batch_id, records, is_answered);
            }
            Action::DeliverOrder(vm, order) => self.deliver_order(&vm, &order),
            Action::SendRequest => self.send_request(),
            Action::FinishRequest(node, process, key) => self.finish_request(node, process, key),
            Action::BeginFault(_) | Action::EndFault(_) => unreachable!("handled by `run_to`"),
        }
    }

    pub fn apply(&mut self, node: usize, event: Event) {
        let at = self.at(node);
        let effects = reduce(&mut self.nodes[node].agent, at, event);
        for effect in effects {
            self.execute_effect(node, effect);
        }
        let state = &mut self.nodes[node];
        let folded = state.agent.folded();
        assert!(folded >= state.highest_folded, "node {node}: the folded offset decreased");
        if folded > state.highest_folded {
            state.highest_folded = folded;
            self.check_groups(node);
        }
    }

    fn at(&self, node: usize) -> EventTime {
        EventTime {
            now_ms: self.now_ms - self.nodes[node].start_ms,
            wall_ms: WALL_MS + self.now_ms,
        }
    }

    fn is_linked(&self, a: usize, b: usize) -> bool {
        let (a, b) = (dc_of(a), dc_of(b));
        a == b || !(self.peers_cut[a] || self.peers_cut[b])
    }

    /// Returns whether a node reaches the log itself or through a peer.
    fn may_append(&self, node: usize) -> bool {
        let reaches_log = |other: usize| !self.platform_cut[dc_of(other)];
        let has_relay =
            (0..self.nodes.len()).any(|other| self.is_linked(node, other) && reaches_log(other));
        !self.is_log_down && (reaches_log(node) || has_relay)
    }

    fn execute_effect(&mut self, node: usize, effect: Effect) {
        let process = self.nodes[node].process;
        let delay_ms = self.rng.random_range(2..30);
        match effect {
            Effect::Append { batch_id, records } => {
                if self.may_append(node) {
                    let is_answered = !(self.loses_answers && self.rng.random_bool(0.5));
                    let late_ms = if is_answered { 0 } else { self.rng.random_range(0..3_000) };
                    let arrival =
                        Action::AppendArrives { node, process, batch_id, records, is_answered };
                    self.schedule(delay_ms + self.log_delay_ms + late_ms, arrival);
                    if !is_answered {
                        self.answer_append(node, process, batch_id, AppendResult::Unknown);
                    }
                } else {
                    self.answer_append(node, process, batch_id, AppendResult::Unknown);
                }
            }
            Effect::ReadFrom(append) => self.nodes[node].next_read = append,
            Effect::FetchRecords { peer, from_append } => {
                let other = usize::from(peer.port()) - 1_000;
                let source = &self.nodes[other];
                let agent = &source.agent;
                let is_silent = self.now_ms < source.paused_until_ms || !agent.log.is_recovered;
                if is_silent || !self.is_linked(node, other) {
                    return;
                }
                let as_of = agent.folded();
                let next_append = agent.log.next_append;
                let state: Arc<[u8]> = agent.replicated.to_snapshot().into();
                let is_short = from_append > 0 && self.rng.random_bool(0.5);
                let snapshot = (!is_short).then_some(PeerSnapshot { as_of, state });
                let kept = self.log.iter().filter(|entry| {
                    is_short && entry.append >= from_append && entry.append < next_append
                });
                let entries = kept.cloned().collect();
                let event = Event::PeerRecords { snapshot, entries };
                self.schedule(delay_ms, Action::Deliver(node, process, Box::new(event)));
            }
            Effect::Probe { vm, .. } => {
                let now_ms = self.now_ms;
                let started_ms = self.at(node).now_ms;
                let endpoint = self.endpoints.get_mut(&vm).unwrap();
                endpoint.record_ready(now_ms);
                let result = report(endpoint, now_ms);
                let took_ms = if result == ProbeResult::NoAnswer { 300 } else { delay_ms };
                let event = Event::Probed { vm, started_ms, took_ms, result };
                self.schedule(took_ms, Action::Deliver(node, process, Box::new(event)));
            }
            Effect::SendOrder { vm, order, .. } => {
                self.schedule(delay_ms, Action::DeliverOrder(vm, order))
            }
            Effect::Publish(local) => {
                let now_ms = self.at(node).now_ms;
                self.nodes[node].published = Some((now_ms, local));
            }
            Effect::Stop(subject) => {
                let state = &mut self.nodes[node];
                state.stops.insert(subject.clone(), None);
                state.agent.stops.insert(subject);
            }
            Effect::ClearStop { subject, at } => {
                if let Some(cleared) = self.nodes[node].stops.get_mut(&subject) {
                    *cleared = Some(at);
                }
            }
            Effect::PublishTable(table) => {
                self.nodes[node].table = table;
                self.check_table(node);
            }
            Effect::AnswerClaim { waiter, answer } => self.claim_answered(node, waiter, answer),
            Effect::AnswerSubmit { .. } | Effect::ReportChange(_) => {}
        }
    }

    fn answer_append(&mut self, node: usize, process: u64, batch_id: u64, result: AppendResult) {
        let delay_ms = if result == AppendResult::Unknown { 500 } else { 10 };
        let event = Event::Appended { batch_id, result };
        self.schedule(delay_ms, Action::Deliver(node, process, Box::new(event)));
    }

    fn append_arrives(
        &mut self,
        node: usize,
        process: u64,
        batch_id: u64,
        records: Vec<Record>,
        is_answered: bool,
    ) {
        let append = self.log.len() as u64 + 1;
        let appended_at_ms = WALL_MS + self.now_ms;
        self.log.push(LogEntry { append, appended_at_ms, records });
        if is_answered {
            let result = AppendResult::Done { append, appended_at_ms };
            self.answer_append(node, process, batch_id, result);
        }
    }

    fn read_log(&mut self, node: usize, process: u64) {
        let started_ms = self.at(node).now_ms;
        let next_append = self.log.len() as u64 + 1;
        let first_append = next_append.saturating_sub(RETENTION_APPENDS).max(1);
        let event = if self.is_log_down || self.platform_cut[dc_of(node)] {
            Event::LogReadFailed
        } else {
            let from = self.nodes[node].next_read.max(first_append);
            let entries: Vec<LogEntry> =
                self.log.iter().skip(from as usize - 1).take(64).cloned().collect();
            if let Some(last) = entries.last() {
                self.nodes[node].next_read = last.append + 1;
            }
            Event::LogRead { started_ms, entries, first_append, next_append }
        };
        self.schedule(15 + self.log_delay_ms, Action::Deliver(node, process, Box::new(event)));
        self.schedule(120 + self.log_delay_ms, Action::ReadLog(node, process));
    }

    fn deliver_order(&mut self, vm: &VmName, order: &Order) {
        let now_ms = self.now_ms;
        let endpoint = self.endpoints.get_mut(vm).unwrap();
        if endpoint.is_dead || (!endpoint.is_unfenced && order.fence < endpoint.fence) {
            return;
        }
        assert!(
            order.fence >= endpoint.fence,
            "{vm}: an outdated order reached an unfenced endpoint"
        );
        if order.fence > endpoint.fence {
            endpoint.record_ready(now_ms);
            endpoint.fence = order.fence;
            endpoint.ready_ms = now_ms + 1_000;
        }
    }

    fn send_request(&mut self) {
        self.schedule(150, Action::SendRequest);
        if !self.has_clients {
            return;
        }
        let node = self.rng.random_range(0..self.nodes.len());
        let number: u8 = self.rng.random_range(0..200);
        let key = ClaimKey([number; 16]);
        // Some callers reuse a key for a different request.
        let body = u8::from(self.rng.random_bool(0.05));
        let (process, at) = (self.nodes[node].process, self.at(node));
        let waiter = self.sequence;
        let request = ClaimSubmission {
            waiter,
            key,
            raw_key: "order".into(),
            request_hash: claim::RequestHash([body; 16]),
            pool: name("model"),
            deadline_ms: at.now_ms + 4_000,
        };
        self.waiters.insert((node, process, waiter), key);
        self.schedule(0, Action::Deliver(node, process, Box::new(Event::Claim(request))));
        if self.rng.random_bool(0.1) {
            let dropped = Box::new(Event::ClaimDropped { waiter });
            self.schedule(30, Action::Deliver(node, process, dropped));
        }
    }

    fn claim_answered(&mut self, node: usize, waiter: u64, answer: ClaimAnswer) {
        let process = self.nodes[node].process;
        let key =
            self.waiters.remove(&(node, process, waiter)).expect("each waiter gets one answer");
        *self.answers.entry(label(&answer)).or_default() += 1;
        if let ClaimAnswer::Granted { dispatch_until_ms, .. } = answer {
            assert!(self.at(node).now_ms < dispatch_until_ms, "granted after its dispatch limit");
            let earlier = self.granted.insert(key, (node, process));
            assert_eq!(earlier, None, "a key was granted twice, now to node {node}");
            self.grant_count += 1;
            let duration_ms = self.rng.random_range(50..2_500);
            self.schedule(duration_ms, Action::FinishRequest(node, process, key));
        }
    }

    fn finish_request(&mut self, node: usize, process: u64, key: ClaimKey) {
        // The outcome of a request is unknown if its process is gone or paused.
        if self.nodes[node].process != process || self.now_ms < self.nodes[node].paused_until_ms {
            return;
        }
        if self.rng.random_bool(0.5) {
            self.granted.remove(&key);
            return self.apply(node, Event::Release { key });
        }
        let response = StoredResponse { status: 200, content_type: "".into(), body: None };
        self.apply(node, Event::Complete { key, response });
    }

    /// Delivers what the other nodes published and returns the resulting view of one node.
    fn peers_event(&mut self, node: usize) -> Event {
        for other in 0..self.nodes.len() {
            let is_paused = self.now_ms < self.nodes[other].paused_until_ms;
            if other == node
                || is_paused
                || !self.is_linked(node, other)
                || !self.rng.random_bool(0.5)
            {
                continue;
            }
            let source = &self.nodes[other];
            let Some((_, local)) = source.published.clone() else { continue };
            let (incarnation, start_ms) = (source.agent.incarnation.clone(), source.start_ms);
            let stops = source.stops.clone();
            let target = &mut self.nodes[node];
            let mut local = local;
            for seen in &mut local.observations {
                seen.observed_at_ms =
                    (seen.observed_at_ms + start_ms).saturating_sub(target.start_ms);
            }
            target.received.insert(other, (self.now_ms, incarnation, local));
            for (subject, cleared) in stops {
                let known = target.stops.entry(subject).or_insert(cleared);
                *known = (*known).max(cleared);
            }
        }
        let state = &self.nodes[node];
        let folded = state.agent.folded();
        let in_force = |cleared: &Option<Offset>| cleared.is_none_or(|at| folded < at);
        let mut members = Vec::new();
        let mut observations: BTreeMap<VmName, Observation> = BTreeMap::new();
        let mut summaries = Vec::new();
        for (other, (received_ms, incarnation, local)) in &state.received {
            let age_ms = self.now_ms - received_ms;
            let is_local = dc_of(*other) == dc_of(node);
            if !is_local && age_ms > 3_000 {
                continue;
            }
            members.push(Member {
                incarnation: incarnation.clone(),
                data_centre: data_centre(dc_of(*other)),
                region: name("region"),
                peer_address: address(1_000 + other),
                state: match age_ms {
                    0..2_500 => MemberState::Alive,
                    2_500..5_000 => MemberState::Suspect,
                    _ => MemberState::Gone,
                },
                folded_offset: local.folded_offset,
                platform_reachable: local.platform_reachable,
                heartbeat: *received_ms,
                age_ms,
            });
            if !is_local {
                let (data_centre, summary) = (data_centre(dc_of(*other)), local.summary.clone());
                summaries.push(DataCentreSummary { data_centre, summary, age_ms });
            }
            for seen in local.observations.iter().filter(|_| is_local) {
                let candidate = observation(seen);
                let known = observations.get(&candidate.vm);
                if known.is_none_or(|known| known.observed_ms < candidate.observed_ms) {
                    observations.insert(candidate.vm.clone(), candidate);
                }
            }
        }
        members.sort_by(|a, b| a.incarnation.cmp(&b.incarnation));
        let stops = state.stops.iter().filter(|(_, cleared)| in_force(cleared));
        let stops = stops.map(|(subject, _)| subject.clone()).collect();
        let observations = observations.into_values().collect();
        Event::Peers { members, observations, stops, summaries }
    }

    fn check_groups(&self, node: usize) {
        let mut group_of: HashMap<VmName, GroupName> = HashMap::new();
        for group in self.nodes[node].agent.replicated.groups() {
            for vm in &group.value.members {
                let other = group_of.insert(vm.clone(), group.value.group.clone());
                assert_eq!(other, None, "node {node}: {vm} is in two groups");
            }
        }
    }

    /// Asserts that the current routing table matches the real state of the endpoints.
    fn check_table(&mut self, node: usize) {
        let now_ms = self.now_ms;
        self.endpoints.values_mut().for_each(|endpoint| endpoint.record_ready(now_ms));
        let state = &self.nodes[node];
        let node_ms = self.at(node).now_ms;
        let stop = StopSubject::DataCentre(state.agent.data_centre.clone());
        for group in state.table.pools.values().flat_map(|pool| &pool.groups) {
            if group.leaving || group.evidence_until_ms <= node_ms {
                continue;
            }
            assert!(!state.agent.stops.contains(&stop), "node {node} serves despite a stop notice");
            let spec =
                state.agent.replicated.group(&group.group).expect("a group in the table exists");
            for vm in &spec.value.members {
                let endpoint = &self.endpoints[vm];
                let last_ready_ms = endpoint.last_ready_ms.get(&spec.offset.fence()).copied();
                let age_ms = last_ready_ms.map(|last_ready_ms| now_ms - last_ready_ms);
                let is_recent = age_ms.is_some_and(|age_ms| age_ms <= FRESH_MS);
                assert!(
                    is_recent,
                    "node {node} serves {}, {vm} was last ready {age_ms:?} ms ago",
                    group.group
                );
                let has_left =
                    endpoint.leaving_since_ms.is_some_and(|since| now_ms > since + 3_000);
                assert!(!has_left, "node {node} serves {} although {vm} is leaving", group.group);
            }
        }
    }
}
