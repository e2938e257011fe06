//! A few node reducers, one log and some endpoints in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use balsam_agent::Agent;
use balsam_agent::At;
use balsam_agent::Effect;
use balsam_agent::Event;
use balsam_agent::effect::ClaimAnswer;
use balsam_agent::effect::Order;
use balsam_agent::event::AppendResult;
use balsam_agent::event::ClaimAsk;
use balsam_agent::event::Observation;
use balsam_agent::event::PeerSnapshot;
use balsam_agent::event::ProbeResult;
use balsam_agent::reduce;
use balsam_peer::DataCentreSummary;
use balsam_peer::Local;
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
    pub position: u64,
    pub published: Option<(u64, Local)>,
    pub heard: HashMap<usize, (u64, Incarnation, Local)>,
    pub stops: BTreeMap<StopSubject, Option<Offset>>,
    pub table: Arc<Table>,
    pub highest: Offset,
}

#[derive(Default)]
pub struct Endpoint {
    pub dead: bool,
    pub leaving_since_ms: Option<u64>,
    pub instance: u64,
    pub fence: u64,
    pub ready_ms: u64,
    pub unfenced: bool,
    /// When the endpoint last was alive and ready under its fence.
    pub good_ms: HashMap<u64, u64>,
}

impl Endpoint {
    fn touch(&mut self, now_ms: u64) {
        if !self.dead && self.ready_ms <= now_ms {
            self.good_ms.insert(self.fence, now_ms);
        }
    }
}

pub enum Item {
    Tick(usize, u64),
    Read(usize, u64),
    Node(usize, u64, Box<Event>),
    Arrive { node: usize, process: u64, batch_id: u64, records: Vec<Record>, answered: bool },
    Order(VmName, Order),
    Client,
    Finish(usize, u64, ClaimKey),
    Fault(usize),
    Heal(usize),
}

pub struct World {
    pub now_ms: u64,
    pub rng: StdRng,
    pub nodes: Vec<Node>,
    pub endpoints: BTreeMap<VmName, Endpoint>,
    pub vms: Vec<VmInfo>,
    pub log: Vec<LogEntry>,
    pub log_down: bool,
    pub log_slow_ms: u64,
    pub lose_answers: bool,
    pub platform_cut: Vec<bool>,
    pub peers_cut: Vec<bool>,
    pub clients: bool,
    pub tick_ms: u64,
    pub granted: HashMap<ClaimKey, (usize, u64)>,
    pub grants: u64,
    pub answers: BTreeMap<&'static str, u64>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    items: HashMap<u64, Item>,
    sequence: u64,
    processes: u64,
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

impl World {
    pub fn new(seed: u64, nodes: usize) -> Self {
        let mut world = Self {
            now_ms: 1_000,
            rng: StdRng::seed_from_u64(seed),
            nodes: Vec::new(),
            endpoints: BTreeMap::new(),
            vms: Vec::new(),
            log: Vec::new(),
            log_down: false,
            log_slow_ms: 0,
            lose_answers: false,
            platform_cut: vec![false; 3],
            peers_cut: vec![false; 3],
            clients: true,
            tick_ms: TICK_MS,
            granted: HashMap::new(),
            grants: 0,
            answers: BTreeMap::new(),
            queue: BinaryHeap::new(),
            items: HashMap::new(),
            sequence: 0,
            processes: 0,
            waiters: HashMap::new(),
        };
        for index in 0..21 {
            // Five model VMs and two plain-order VMs in each data centre.
            let unfenced = index >= 15;
            let vm: VmName = name(&format!("vm-{index}"));
            let pool = name(if unfenced { "unfenced" } else { "model" });
            let role = VmRole::Endpoint { pool, address: address(2_000 + index), accelerators: 4 };
            world.vms.push(info(vm.clone(), index % 3, role));
            world.endpoints.insert(vm, Endpoint { unfenced, ..Endpoint::default() });
        }
        for node in 0..nodes {
            let role = VmRole::Entry { peer_address: address(1_000 + node) };
            world.vms.push(info(name(&format!("entry-{node}")), dc_of(node), role));
            let fresh = world.process(node);
            world.nodes.push(fresh);
            world.start(node);
        }
        world.push(50, Item::Client);
        world
    }

    fn process(&mut self, node: usize) -> Node {
        self.processes += 1;
        let vm = name(&format!("entry-{node}"));
        let nonce = self.processes as u32;
        let me = Incarnation { vm, start_ms: WALL_MS + self.now_ms, nonce };
        let seed = self.rng.random();
        let dc = data_centre(dc_of(node));
        let peer_address = address(1_000 + node);
        let agent = Agent::new(settings(), me, name("region"), dc, peer_address, seed);
        Node {
            agent,
            process: self.processes,
            start_ms: self.now_ms - 500,
            paused_until_ms: 0,
            position: 0,
            published: None,
            heard: HashMap::new(),
            stops: BTreeMap::new(),
            table: Arc::default(),
            highest: Offset::default(),
        }
    }

    fn start(&mut self, node: usize) {
        let process = self.nodes[node].process;
        let jitter_ms = self.rng.random_range(0..TICK_MS);
        self.push(jitter_ms, Item::Tick(node, process));
        self.push(jitter_ms, Item::Read(node, process));
    }

    /// Replaces a node by a fresh process on the same VM.
    pub fn replace(&mut self, node: usize) {
        self.nodes[node] = self.process(node);
        self.start(node);
    }

    pub fn push(&mut self, in_ms: u64, item: Item) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now_ms + in_ms, self.sequence)));
        self.items.insert(self.sequence, item);
    }

    /// Runs until the time, and returns the faults and heals that came due.
    pub fn run_to(&mut self, until_ms: u64, mut fault: impl FnMut(&mut World, usize, bool)) {
        while let Some(Reverse((at_ms, sequence))) = self.queue.peek().copied() {
            if at_ms > until_ms {
                break;
            }
            self.queue.pop();
            self.now_ms = at_ms;
            match self.items.remove(&sequence).unwrap() {
                Item::Fault(index) => fault(self, index, true),
                Item::Heal(index) => fault(self, index, false),
                item => self.step(item),
            }
        }
        self.now_ms = until_ms;
    }

    fn step(&mut self, item: Item) {
        if let Item::Tick(node, process)
        | Item::Read(node, process)
        | Item::Node(node, process, _) = &item
        {
            let paused_until_ms = self.nodes[*node].paused_until_ms;
            if self.nodes[*node].process != *process {
                return;
            }
            if self.now_ms < paused_until_ms {
                return self.push(paused_until_ms - self.now_ms, item);
            }
        }
        match item {
            Item::Tick(node, process) => {
                let peers = self.peers(node);
                self.apply(node, peers);
                self.apply(node, Event::Tick);
                self.check_table(node);
                self.push(self.tick_ms, Item::Tick(node, process));
            }
            Item::Read(node, process) => self.read(node, process),
            Item::Node(node, _, event) => self.apply(node, *event),
            Item::Arrive { node, process, batch_id, records, answered } => {
                self.arrive(node, process, batch_id, records, answered);
            }
            Item::Order(vm, order) => self.order(&vm, &order),
            Item::Client => self.client(),
            Item::Finish(node, process, key) => self.finish(node, process, key),
            Item::Fault(_) | Item::Heal(_) => unreachable!("handled by the caller"),
        }
    }

    pub fn apply(&mut self, node: usize, event: Event) {
        let at = self.at(node);
        let effects = reduce(&mut self.nodes[node].agent, at, event);
        for effect in effects {
            self.carry_out(node, effect);
        }
        let state = &mut self.nodes[node];
        let folded = state.agent.folded();
        assert!(folded >= state.highest, "node {node}: the folded offset fell");
        if folded > state.highest {
            state.highest = folded;
            self.check_groups(node);
        }
    }

    fn at(&self, node: usize) -> At {
        At { now_ms: self.now_ms - self.nodes[node].start_ms, wall_ms: WALL_MS + self.now_ms }
    }

    fn linked(&self, a: usize, b: usize) -> bool {
        let (a, b) = (dc_of(a), dc_of(b));
        a == b || !(self.peers_cut[a] || self.peers_cut[b])
    }

    /// Whether a node reaches the log itself or over a peer.
    fn may_append(&self, node: usize) -> bool {
        let reaches = |other: usize| !self.platform_cut[dc_of(other)];
        let relays = (0..self.nodes.len()).any(|other| self.linked(node, other) && reaches(other));
        !self.log_down && (reaches(node) || relays)
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
        let process = self.nodes[node].process;
        let delay_ms = self.rng.random_range(2..30);
        match effect {
            Effect::Append { batch_id, records } => {
                if self.may_append(node) {
                    let answered = !(self.lose_answers && self.rng.random_bool(0.5));
                    let late_ms = if answered { 0 } else { self.rng.random_range(0..3_000) };
                    let arrive = Item::Arrive { node, process, batch_id, records, answered };
                    self.push(delay_ms + self.log_slow_ms + late_ms, arrive);
                    if !answered {
                        self.answer_append(node, process, batch_id, AppendResult::Unknown);
                    }
                } else {
                    self.answer_append(node, process, batch_id, AppendResult::Unknown);
                }
            }
            Effect::ReadFrom(append) => self.nodes[node].position = append,
            Effect::FetchRecords { peer, from_append } => {
                let other = usize::from(peer.port()) - 1_000;
                let source = &self.nodes[other];
                let agent = &source.agent;
                let silent = self.now_ms < source.paused_until_ms || !agent.log.recovered;
                if silent || !self.linked(node, other) {
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
                self.push(delay_ms, Item::Node(node, process, Box::new(event)));
            }
            Effect::Probe { vm, .. } => {
                let now_ms = self.now_ms;
                let started_ms = self.at(node).now_ms;
                let endpoint = self.endpoints.get_mut(&vm).unwrap();
                endpoint.touch(now_ms);
                let result = report(endpoint, now_ms);
                let took_ms = if result == ProbeResult::NoAnswer { 300 } else { delay_ms };
                let event = Event::Probed { vm, started_ms, took_ms, result };
                self.push(took_ms, Item::Node(node, process, Box::new(event)));
            }
            Effect::SendOrder { vm, order, .. } => self.push(delay_ms, Item::Order(vm, order)),
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
            Effect::UseTable(table) => {
                self.nodes[node].table = table;
                self.check_table(node);
            }
            Effect::AnswerClaim { waiter, answer } => self.answered(node, waiter, answer),
            Effect::AnswerSubmit { .. } | Effect::Note(_) => {}
        }
    }

    fn answer_append(&mut self, node: usize, process: u64, batch_id: u64, result: AppendResult) {
        let delay_ms = if result == AppendResult::Unknown { 500 } else { 10 };
        let event = Event::Appended { batch_id, result };
        self.push(delay_ms, Item::Node(node, process, Box::new(event)));
    }

    fn arrive(
        &mut self,
        node: usize,
        process: u64,
        batch_id: u64,
        records: Vec<Record>,
        answered: bool,
    ) {
        let append = self.log.len() as u64 + 1;
        let appended_at_ms = WALL_MS + self.now_ms;
        self.log.push(LogEntry { append, appended_at_ms, records });
        if answered {
            let result = AppendResult::Done { append, appended_at_ms };
            self.answer_append(node, process, batch_id, result);
        }
    }

    fn read(&mut self, node: usize, process: u64) {
        let started_ms = self.at(node).now_ms;
        let next_append = self.log.len() as u64 + 1;
        let first_append = next_append.saturating_sub(RETENTION_APPENDS).max(1);
        let event = if self.log_down || self.platform_cut[dc_of(node)] {
            Event::LogReadFailed
        } else {
            let from = self.nodes[node].position.max(first_append);
            let entries: Vec<LogEntry> =
                self.log.iter().skip(from as usize - 1).take(64).cloned().collect();
            if let Some(last) = entries.last() {
                self.nodes[node].position = last.append + 1;
            }
            Event::LogRead { started_ms, entries, first_append, next_append }
        };
        self.push(15 + self.log_slow_ms, Item::Node(node, process, Box::new(event)));
        self.push(120 + self.log_slow_ms, Item::Read(node, process));
    }

    fn order(&mut self, vm: &VmName, order: &Order) {
        let now_ms = self.now_ms;
        let endpoint = self.endpoints.get_mut(vm).unwrap();
        if endpoint.dead || (!endpoint.unfenced && order.fence < endpoint.fence) {
            return;
        }
        assert!(order.fence >= endpoint.fence, "{vm}: an old order reached an unfenced endpoint");
        if order.fence > endpoint.fence {
            endpoint.touch(now_ms);
            endpoint.fence = order.fence;
            endpoint.ready_ms = now_ms + 1_000;
        }
    }

    fn client(&mut self) {
        self.push(150, Item::Client);
        if !self.clients {
            return;
        }
        let node = self.rng.random_range(0..self.nodes.len());
        let number: u8 = self.rng.random_range(0..200);
        let key = ClaimKey([number; 16]);
        // Now and then a caller uses its key for another request.
        let body = u8::from(self.rng.random_bool(0.05));
        let (process, at) = (self.nodes[node].process, self.at(node));
        let waiter = self.sequence;
        let ask = ClaimAsk {
            waiter,
            key,
            raw_key: "order".into(),
            request_hash: claim::RequestHash([body; 16]),
            pool: name("model"),
            deadline_ms: at.now_ms + 4_000,
        };
        self.waiters.insert((node, process, waiter), key);
        self.push(0, Item::Node(node, process, Box::new(Event::Claim(ask))));
        if self.rng.random_bool(0.1) {
            let dropped = Box::new(Event::ClaimDropped { waiter });
            self.push(30, Item::Node(node, process, dropped));
        }
    }

    fn answered(&mut self, node: usize, waiter: u64, answer: ClaimAnswer) {
        let process = self.nodes[node].process;
        let key = self.waiters.remove(&(node, process, waiter)).expect("one answer a waiter");
        *self.answers.entry(label(&answer)).or_default() += 1;
        if let ClaimAnswer::Granted { dispatch_until_ms, .. } = answer {
            assert!(self.at(node).now_ms < dispatch_until_ms, "granted after its dispatch time");
            let earlier = self.granted.insert(key, (node, process));
            assert_eq!(earlier, None, "a key was granted twice, now to node {node}");
            self.grants += 1;
            let runs_ms = self.rng.random_range(50..2_500);
            self.push(runs_ms, Item::Finish(node, process, key));
        }
    }

    fn finish(&mut self, node: usize, process: u64, key: ClaimKey) {
        // The request of a process that is gone or paused has no known end.
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

    /// Exchanges what the nodes publish and builds one node's view of it.
    fn peers(&mut self, node: usize) -> Event {
        for other in 0..self.nodes.len() {
            let quiet = self.now_ms < self.nodes[other].paused_until_ms;
            if other == node || quiet || !self.linked(node, other) || !self.rng.random_bool(0.5) {
                continue;
            }
            let source = &self.nodes[other];
            let Some((_, local)) = source.published.clone() else { continue };
            let (me, start_ms) = (source.agent.me.clone(), source.start_ms);
            let stops = source.stops.clone();
            let target = &mut self.nodes[node];
            let mut local = local;
            for seen in &mut local.observations {
                seen.observed_at_ms =
                    (seen.observed_at_ms + start_ms).saturating_sub(target.start_ms);
            }
            target.heard.insert(other, (self.now_ms, me, local));
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
        for (other, (heard_ms, incarnation, local)) in &state.heard {
            let age_ms = self.now_ms - heard_ms;
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
                heartbeat: *heard_ms,
                age_ms,
            });
            if !is_local {
                let (data_centre, summary) = (data_centre(dc_of(*other)), local.summary.clone());
                summaries.push(DataCentreSummary { data_centre, summary, age_ms });
            }
            for seen in local.observations.iter().filter(|_| is_local) {
                let found = observation(seen);
                let known = observations.get(&found.vm);
                if known.is_none_or(|known| known.observed_ms < found.observed_ms) {
                    observations.insert(found.vm.clone(), found);
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

    /// Checks the table in force against what the endpoints really are.
    fn check_table(&mut self, node: usize) {
        let now_ms = self.now_ms;
        self.endpoints.values_mut().for_each(|endpoint| endpoint.touch(now_ms));
        let state = &self.nodes[node];
        let here = self.at(node).now_ms;
        let stop = StopSubject::DataCentre(state.agent.data_centre.clone());
        for group in state.table.pools.values().flat_map(|pool| &pool.groups) {
            if group.leaving || group.evidence_until_ms <= here {
                continue;
            }
            assert!(!state.agent.stops.contains(&stop), "node {node} serves in spite of a stop");
            let spec = state.agent.replicated.group(&group.group).expect("a listed group exists");
            for vm in &spec.value.members {
                let endpoint = &self.endpoints[vm];
                let good_ms = endpoint.good_ms.get(&spec.offset.fence()).copied();
                let age_ms = good_ms.map(|good_ms| now_ms - good_ms);
                let fits = age_ms.is_some_and(|age_ms| age_ms <= FRESH_MS);
                assert!(
                    fits,
                    "node {node} serves {}, {vm} was good {age_ms:?} ms ago",
                    group.group
                );
                let left = endpoint.leaving_since_ms.is_some_and(|since| now_ms > since + 3_000);
                assert!(!left, "node {node} serves {} though {vm} leaves", group.group);
            }
        }
    }
}
