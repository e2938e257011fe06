//! Simulated endpoints that carry out orders as the platform specifies, including its faults.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use balsam_fleet::Effect;
use balsam_fleet::Endpoint;
use balsam_fleet::Event;
use balsam_fleet::Fleet;
use balsam_fleet::Order;
use balsam_fleet::StorePosition;
use balsam_fleet::configuration::Engine;
use balsam_fleet::directory::ListChange;
use balsam_fleet::endpoint::MemberState;
use balsam_fleet::endpoint::Membership;
use balsam_fleet::event::Decision;
use balsam_fleet::event::HeadReport;
use balsam_fleet::event::LeaseEvent;
use balsam_fleet::event::OrderAnswer;
use balsam_fleet::event::PeerReport;
use balsam_fleet::reduce;
use balsam_types::DataCentreName;
use balsam_types::FabricDomainName;
use balsam_types::GroupName;
use balsam_types::ModelName;
use balsam_types::VmName;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::load;
use crate::support;

pub const STEP_MS: u64 = 50;

/// Time after which a silent endpoint leaves the list.
const LAPSE_MS: u64 = 3_600;

/// Interval between two publications of the list. Endpoints write their entries after each change, so
/// each publication has a later heartbeat.
const LIST_INTERVAL_MS: u64 = 200;

/// Time after which the head of a group that lacks a member is broken.
const STALL_MS: u64 = 5_000;

/// Interval between two reports of another node.
const REPORT_INTERVAL_MS: u64 = 200;

/// Timeout of an unanswered call.
const CALL_TIMEOUT_MS: u64 = 400;

/// Delay of a late order that is carried out once its endpoint has left its group.
pub const AFTER_LEAVE: u64 = u64::MAX;

/// Interval between two such orders: a head that joins again is ready by the next one.
const AFTER_LEAVE_INTERVAL_MS: u64 = 220;

/// Delay of an order or its answer within and between data centres.
const ORDER_DELAY_MS: u64 = 10;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    Up,
    /// Silent forever.
    Dead,
}

pub struct Host {
    pub entry: Endpoint,
    pub liveness: Liveness,
    silent_since_ms: Option<u64>,
    /// Whether it is unreachable for the planner and missing from the list.
    pub is_cut: bool,
    /// Whether it left the list without notice and continues to serve.
    pub is_unlisted: bool,
    /// Whether the other nodes reach it although the planner is cut off from it.
    pub is_reached_by_others: bool,
    /// The last group that it joined, which it may have left since.
    last_group: Option<(GroupName, u64)>,
    /// Since when its group has lacked a member.
    stalled_since_ms: Option<u64>,
    members: Vec<VmName>,
    model: Option<ModelName>,
    last_model: Option<ModelName>,
    next_state: Option<(u64, MemberState)>,
    highest_epoch: u64,
    /// Groups and epochs in which it was ready.
    was_ready: BTreeSet<(GroupName, u64)>,
}

struct Pending {
    at_ms: u64,
    vm: VmName,
    order: Order,
    is_answered: bool,
}

pub struct Simulation {
    pub now_ms: u64,
    pub hosts: BTreeMap<VmName, Host>,
    pub engine: Engine,
    pub fleet: Fleet,
    pub random: ChaCha8Rng,
    /// Whether a network cut refuses connections immediately instead of staying silent.
    pub cuts_refuse: bool,
    pub late_ratio: f64,
    pub lost_ratio: f64,
    /// Orders that get no answer and are carried out after a delay: the endpoint, the kind of the
    /// order and the delay in ms. Each applies to one order.
    pub late_orders: Vec<(VmName, &'static str, u64)>,
    pub violations: Vec<String>,
    /// Time that free endpoints could have served refused callers of a model, in endpoint-ms.
    pub idle_ms: BTreeMap<ModelName, u64>,
    pub orders: u64,
    /// Heads whose members were released, with the evidence.
    pub released: Vec<(VmName, &'static str)>,
    /// The nodes that report to the planner.
    pub other_nodes: Vec<&'static str>,
    pub loads: Vec<u64>,
    /// Before the first request, loads take a tenth of their time.
    pub has_traffic: bool,
    generation: u64,
    restarts: u32,
    pending: Vec<Pending>,
    /// Late orders that are carried out after the next order to leave.
    held: Vec<Pending>,
    answers: Vec<(u64, Event)>,
}

impl Simulation {
    /// Creates data centres `a` to `c` with two fabric domains of ten endpoints each.
    pub fn new(seed: u64) -> Self {
        Self::with_domains(seed, 10, support::engine())
    }

    /// Creates data centres `a` to `c` with two fabric domains of `domain_size` endpoints each.
    pub fn with_domains(seed: u64, domain_size: u16, engine: Engine) -> Self {
        let mut hosts = BTreeMap::new();
        for (d, data_centre) in ["a", "b", "c"].iter().enumerate() {
            for i in 0..2 * domain_size {
                let port = 1_000 + d as u16 * 100 + i;
                let name = format!("{data_centre}-{i:02}");
                let domain = format!("{data_centre}{}", i / domain_size);
                let entry = Endpoint {
                    data_centre: support::data_centre(data_centre),
                    domain: Some(FabricDomainName::try_from(domain).unwrap()),
                    ..support::endpoint(&name, port)
                };
                hosts.insert(entry.vm.clone(), Host::new(entry));
            }
        }
        let mut simulation = Self {
            now_ms: 10_000,
            hosts,
            engine,
            fleet: support::fleet("node"),
            random: ChaCha8Rng::seed_from_u64(seed),
            cuts_refuse: false,
            late_ratio: 0.0,
            lost_ratio: 0.0,
            late_orders: Vec::new(),
            violations: Vec::new(),
            idle_ms: BTreeMap::new(),
            orders: 0,
            released: Vec::new(),
            other_nodes: vec!["node-2", "node-3"],
            loads: Vec::new(),
            has_traffic: false,
            generation: 0,
            restarts: 0,
            pending: Vec::new(),
            held: Vec::new(),
            answers: Vec::new(),
        };
        simulation.replace_planner();
        simulation
    }

    /// Replaces the planner by that of another node, which knows only the list.
    pub fn replace_planner(&mut self) {
        self.generation += 1;
        self.fleet = support::fleet("node");
        self.answers.clear();
        let configuration = support::configuration_of(1, self.engine.clone());
        reduce(&mut self.fleet, self.now_ms, Event::Configuration(configuration.into()));
    }

    /// Replaces the planner by that of another node, which has followed the list so far.
    pub fn replace_planner_by_follower(&mut self) {
        self.generation += 1;
        self.answers.clear();
        self.apply(Event::Lease(LeaseEvent::Released));
    }

    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// Adds a free endpoint to the domain of another.
    pub fn add_beside(&mut self, other: &VmName, name: &str) {
        let Endpoint { data_centre, domain, address, .. } = self.hosts[other].entry.clone();
        let port = address.port() + 1_000;
        let entry = Endpoint { data_centre, domain, ..support::endpoint(name, port) };
        self.hosts.insert(entry.vm.clone(), Host::new(entry));
    }

    pub fn kill(&mut self, vm: &VmName) {
        if let Some(host) = self.hosts.get_mut(vm) {
            host.liveness = Liveness::Dead;
            host.silent_since_ms = Some(self.now_ms);
        }
    }

    /// Ends the endpoints of a data centre; others start in their place, which know nothing of them.
    pub fn restart_data_centre(&mut self, data_centre: &str) {
        self.restarts += 1;
        let data_centre = support::data_centre(data_centre);
        let is_affected =
            |host: &&Host| host.entry.data_centre == data_centre && host.liveness == Liveness::Up;
        let ended: Vec<Endpoint> =
            self.hosts.values().filter(is_affected).map(|host| host.entry.clone()).collect();
        for endpoint in ended {
            self.kill(&endpoint.vm);
            self.hosts.get_mut(&endpoint.vm).unwrap().is_unlisted = true;
            let port = endpoint.address.port() + 300;
            let name = format!("{}-{}", endpoint.vm, self.restarts);
            let Endpoint { data_centre, domain, .. } = endpoint;
            let entry = Endpoint { data_centre, domain, ..support::endpoint(&name, port) };
            self.hosts.insert(entry.vm.clone(), Host::new(entry));
        }
    }

    /// Cuts a data centre off from the planner and the list, or ends the cut.
    pub fn cut(&mut self, data_centre: &DataCentreName, is_cut: bool) {
        for host in self.hosts.values_mut().filter(|h| h.entry.data_centre == *data_centre) {
            host.is_cut = is_cut;
            let is_silent = is_cut || host.liveness == Liveness::Dead;
            host.silent_since_ms = match (is_silent, host.silent_since_ms) {
                (true, since) => since.or(Some(self.now_ms)),
                (false, _) => None,
            };
        }
    }

    /// Returns the number of heads that serve, by model.
    pub fn serving(&self) -> BTreeMap<ModelName, u32> {
        let mut serving = BTreeMap::new();
        for host in self.hosts.values().filter(|host| self.serves(host)) {
            if let Some(model) = &host.model {
                *serving.entry(model.clone()).or_default() += 1;
            }
        }
        serving
    }

    /// Whether an endpoint is a member of a group that serves.
    pub fn in_serving_group(&self, vm: &VmName) -> bool {
        let is_member = |host: &&Host| host.members.contains(vm) && self.serves(host);
        self.hosts.values().any(|host| is_member(&host))
    }

    /// Whether a host is the head of an open group whose members are all alive.
    pub fn serves(&self, host: &Host) -> bool {
        let Some(membership) = &host.entry.membership else { return false };
        let is_open = membership.rank == 0 && membership.state == MemberState::Open;
        let is_alive_member = |vm: &VmName| {
            let member = &self.hosts[vm];
            let membership_of_member = member.entry.membership.as_ref();
            member.liveness == Liveness::Up
                && membership_of_member
                    .is_some_and(|m| m.group == membership.group && m.epoch == membership.epoch)
        };
        is_open && host.members.iter().all(is_alive_member)
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now_ms = self.now_ms;
        for host in self.hosts.values_mut() {
            host.apply_due_state(now_ms);
        }
        self.break_stalled_heads();
        self.deliver();
        if self.fleet.lease.held(now_ms + 500).is_none() {
            // Each planner starts at a higher offset of the records.
            let offset = self.generation * 1_000 + now_ms / 500;
            let at = StorePosition { era: 0, offset };
            self.apply(Event::Lease(LeaseEvent::Appended { sent_ms: now_ms, at, era: 0 }));
        }
        if now_ms.is_multiple_of(LIST_INTERVAL_MS) {
            self.publish_list();
        }
        self.report_reachable();
        if now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            self.report_heads();
        }
        self.apply(Event::Tick);
    }

    /// Breaks the heads of groups that have lacked a member for `STALL_MS`.
    fn break_stalled_heads(&mut self) {
        let is_lost = |vm: &VmName, group: &GroupName, epoch: u64| {
            let host = &self.hosts[vm];
            let membership = host.entry.membership.as_ref();
            host.liveness == Liveness::Dead
                || membership.is_none_or(|m| m.group != *group || m.epoch != epoch)
        };
        let lacks_member = |host: &Host| {
            let membership = host.entry.membership.as_ref().filter(|m| {
                m.rank == 0 && matches!(m.state, MemberState::Open | MemberState::Closing)
            });
            membership.is_some_and(|m| host.members.iter().any(|vm| is_lost(vm, &m.group, m.epoch)))
        };
        let stalled: BTreeSet<VmName> = self
            .hosts
            .values()
            .filter(|host| lacks_member(host))
            .map(|host| host.entry.vm.clone())
            .collect();
        for (vm, host) in &mut self.hosts {
            if !stalled.contains(vm) {
                host.stalled_since_ms = None;
                continue;
            }
            let since_ms = *host.stalled_since_ms.get_or_insert(self.now_ms);
            if self.now_ms >= since_ms + STALL_MS
                && let Some(membership) = &mut host.entry.membership
            {
                membership.state = MemberState::Broken;
                host.next_state = None;
            }
        }
    }

    /// Lets the other nodes report what they know of the heads that the planner asks about.
    fn report_heads(&mut self) {
        let doubted_heads = self.fleet.report(self.now_ms).doubted_heads;
        let report = |head: VmName| {
            let host = &self.hosts[&head];
            let is_reached = !host.is_cut || host.is_reached_by_others;
            let answers = host.liveness == Liveness::Up && is_reached;
            HeadReport {
                head,
                answered_age_ms: answers.then_some(REPORT_INTERVAL_MS),
                unanswered_nodes: u32::from(!answers),
                is_refused: self.cuts_refuse && !answers,
            }
        };
        let heads: Vec<HeadReport> = doubted_heads.into_iter().map(report).collect();
        for node in self.other_nodes.clone() {
            let data_centre = support::data_centre(if node.starts_with("b-") { "b" } else { "a" });
            let report = PeerReport { heads: heads.clone(), data_centre, ..load::report(node) };
            self.apply(Event::Peer(report));
        }
    }

    /// Publishes the list; most of the time it equals the known one.
    fn publish_list(&mut self) {
        let now_ms = self.now_ms;
        let is_listed =
            |host: &&Host| host.silent_since_ms.is_none_or(|since_ms| now_ms < since_ms + LAPSE_MS);
        let listed = self
            .hosts
            .values()
            .filter(is_listed)
            .filter(|host| !host.is_unlisted)
            .map(|host| Endpoint { sequence: now_ms / LIST_INTERVAL_MS, ..host.entry.clone() });
        let whole = ListChange::Whole(listed.collect());
        self.apply(Event::List(whole));
        self.apply(Event::ListRead { begun_ms: now_ms });
    }

    /// Reports which data centres can be reached, as running requests would show.
    fn report_reachable(&mut self) {
        let reached: BTreeSet<DataCentreName> = self
            .hosts
            .values()
            .filter(|host| host.liveness == Liveness::Up && !host.is_cut)
            .map(|host| host.entry.data_centre.clone())
            .collect();
        for data_centre in reached {
            self.fleet.planner.heard_from(self.now_ms, &data_centre);
        }
    }

    pub fn apply(&mut self, event: Event) {
        for effect in reduce(&mut self.fleet, self.now_ms, event) {
            match effect {
                Effect::Order { vm, order, .. } => self.send(vm, order),
                Effect::Probe { vm, .. } => {
                    let host = &self.hosts[&vm];
                    let is_alive = host.liveness == Liveness::Up && !host.is_cut;
                    let delay_ms = if is_alive { ORDER_DELAY_MS } else { 220 };
                    let event = match is_alive || self.cuts_refuse {
                        true => Event::Probed { vm, is_alive },
                        false => Event::ProbeUnanswered(vm),
                    };
                    self.answers.push((self.now_ms + delay_ms, event));
                }
                Effect::LogDecision(Decision::MembersReleased { head, evidence, .. }) => {
                    self.released.push((head, evidence));
                }
                Effect::LogDecision(Decision::Use { model, idle_endpoint_ms, .. }) => {
                    *self.idle_ms.entry(model).or_default() += idle_endpoint_ms;
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, vm: VmName, order: Order) {
        self.orders += 1;
        let host = &self.hosts[&vm];
        let is_reached = host.liveness == Liveness::Up && !host.is_cut;
        let is_planned = |late: &(VmName, &str, u64)| late.0 == vm && late.1 == order.kind();
        let planned = self.late_orders.iter().position(is_planned);
        let planned_ms = planned.map(|index| self.late_orders.remove(index).2);
        let is_late = self.random.random_bool(self.late_ratio) || planned_ms.is_some();
        let is_lost = self.random.random_bool(self.lost_ratio);
        if !is_reached || is_late || is_lost {
            let (answer, delay_ms) = match self.cuts_refuse && !is_reached {
                true => (OrderAnswer::Unreachable, ORDER_DELAY_MS),
                false => (OrderAnswer::Unanswered, CALL_TIMEOUT_MS),
            };
            let event = Event::OrderAnswered { vm: vm.clone(), order: order.clone(), answer };
            self.answers.push((self.now_ms + delay_ms, event));
        }
        if !is_reached {
            return;
        }
        let late_ms = match (planned_ms, is_late) {
            (Some(late_ms), _) => late_ms,
            (None, true) => self.random.random_range(2_000..12_000),
            (None, false) => 0,
        };
        if late_ms == AFTER_LEAVE {
            self.held.push(Pending { at_ms: 0, vm, order, is_answered: false });
            return;
        }
        let at_ms = self.now_ms + ORDER_DELAY_MS + late_ms;
        self.pending.push(Pending { at_ms, vm, order, is_answered: !is_late && !is_lost });
    }

    /// Carries out what an endpoint left unanswered, one order after the other.
    fn schedule_held(&mut self, vm: &VmName) {
        let (due, held) = std::mem::take(&mut self.held).into_iter().partition(|p| p.vm == *vm);
        self.held = held;
        let due: Vec<Pending> = due;
        for (pending, index) in due.into_iter().zip(0..) {
            let at_ms = self.now_ms + ORDER_DELAY_MS + index * AFTER_LEAVE_INTERVAL_MS;
            self.pending.push(Pending { at_ms, ..pending });
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) =
            std::mem::take(&mut self.pending).into_iter().partition(|p| p.at_ms <= now_ms);
        self.pending = later;
        let due: Vec<Pending> = due;
        for Pending { vm, order, is_answered, .. } in due {
            let answer = self.carry_out(&vm, &order);
            if is_answered {
                self.answers.push((now_ms, Event::OrderAnswered { vm, order, answer }));
            }
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.answers).into_iter().partition(|(at_ms, _)| *at_ms <= now_ms);
        self.answers = later;
        for (_, event) in due {
            self.apply(event);
        }
    }

    fn carry_out(&mut self, vm: &VmName, order: &Order) -> OrderAnswer {
        if self.hosts[vm].liveness == Liveness::Dead {
            return OrderAnswer::Unanswered;
        }
        match order {
            Order::Join { group, epoch, model, members } => {
                self.join(vm, group, *epoch, model, members)
            }
            Order::Open { group, epoch } => self.open(vm, group, *epoch),
            Order::Close { group, epoch } => {
                let now_ms = self.now_ms;
                let host = self.hosts.get_mut(vm).unwrap();
                match host.membership_of(group, *epoch) {
                    Some(membership) if membership.state == MemberState::Open => {
                        membership.state = MemberState::Closing;
                        host.next_state = Some((now_ms + 800, MemberState::Ready));
                        OrderAnswer::Accepted
                    }
                    _ => OrderAnswer::Refused,
                }
            }
            Order::Leave { group, epoch } => {
                let host = self.hosts.get_mut(vm).unwrap();
                if host.membership_of(group, *epoch).is_none() {
                    return OrderAnswer::Refused;
                }
                host.entry.membership = None;
                host.next_state = None;
                self.schedule_held(vm);
                OrderAnswer::Accepted
            }
            Order::Stage { model } => {
                self.loads.push(self.now_ms);
                self.hosts.get_mut(vm).unwrap().entry.staged = vec![model.clone()];
                OrderAnswer::Accepted
            }
        }
    }

    fn join(
        &mut self,
        vm: &VmName,
        group: &GroupName,
        epoch: u64,
        model: &ModelName,
        members: &[VmName],
    ) -> OrderAnswer {
        self.check_single_membership(vm, group, epoch);
        let now_ms = self.now_ms;
        let settings = self.engine.model(model).unwrap().clone();
        let host = self.hosts.get_mut(vm).unwrap();
        if epoch < host.highest_epoch {
            return OrderAnswer::Refused;
        }
        if let Some(membership) = host.membership_of(group, epoch) {
            let _ = membership;
            return match host.members == members {
                true => OrderAnswer::Accepted,
                false => OrderAnswer::Refused,
            };
        }
        host.highest_epoch = epoch;
        let join_ms = if host.last_model.as_ref() == Some(model) {
            200
        } else if host.entry.staged.contains(model) {
            settings.warm_ms
        } else {
            self.loads.push(now_ms);
            host.entry.staged = vec![model.clone()];
            if self.has_traffic { settings.load_ms } else { settings.load_ms / 10 }
        };
        let rank = members.iter().position(|member| member == vm).unwrap() as u32;
        host.last_group = Some((group.clone(), epoch));
        host.members = members.to_vec();
        host.model = Some(model.clone());
        host.next_state = Some((now_ms + join_ms, MemberState::Ready));
        let state = MemberState::Joining;
        host.entry.membership = Some(Membership { group: group.clone(), epoch, rank, state });
        OrderAnswer::Accepted
    }

    /// Checks that a member is assigned elsewhere only after the head of its group stopped serving
    /// it.
    fn check_single_membership(&mut self, vm: &VmName, group: &GroupName, epoch: u64) {
        let Some((old_group, old_epoch)) = self.hosts[vm].last_group.clone() else { return };
        if old_group == *group && old_epoch == epoch || epoch < self.hosts[vm].highest_epoch {
            return;
        }
        let is_head = |host: &&Host| {
            let membership = host.entry.membership.as_ref();
            membership.is_some_and(|m| {
                let serves = matches!(m.state, MemberState::Open | MemberState::Closing);
                m.rank == 0 && m.group == old_group && m.epoch == old_epoch && serves
            })
        };
        let head = self.hosts.values().filter(|host| host.liveness == Liveness::Up).find(is_head);
        if let Some(head) = head {
            self.violations.push(format!(
                "{} ms: {vm} was ordered to join {group} while {} served {}",
                self.now_ms, head.entry.vm, old_group
            ));
        }
    }

    fn open(&mut self, vm: &VmName, group: &GroupName, epoch: u64) -> OrderAnswer {
        let host = &self.hosts[vm];
        let state =
            host.entry.membership.as_ref().filter(|m| m.group == *group && m.epoch == epoch);
        match state.map(|m| m.state) {
            Some(MemberState::Ready) => {}
            Some(MemberState::Open) => return OrderAnswer::Accepted,
            _ => return OrderAnswer::Refused,
        }
        let key = (group.clone(), epoch);
        let unready: Vec<VmName> = host
            .members
            .iter()
            .filter(|member| !self.hosts[*member].was_ready.contains(&key))
            .cloned()
            .collect();
        if !unready.is_empty() {
            self.violations
                .push(format!("{} ms: {group} opened before {unready:?} were ready", self.now_ms));
        }
        let at_ms = self.now_ms + self.engine.form_ms;
        self.hosts.get_mut(vm).unwrap().next_state = Some((at_ms, MemberState::Open));
        OrderAnswer::Accepted
    }
}

impl Host {
    /// Returns the group of a member.
    pub fn group(&self) -> GroupName {
        self.entry.membership.as_ref().unwrap().group.clone()
    }

    fn new(entry: Endpoint) -> Self {
        Self {
            entry,
            liveness: Liveness::Up,
            silent_since_ms: None,
            is_cut: false,
            is_unlisted: false,
            is_reached_by_others: false,
            last_group: None,
            stalled_since_ms: None,
            members: Vec::new(),
            model: None,
            last_model: None,
            next_state: None,
            highest_epoch: 0,
            was_ready: BTreeSet::new(),
        }
    }

    /// Returns the members of its group, the head first.
    pub fn members(&self) -> &[VmName] {
        &self.members
    }

    fn membership_of(&mut self, group: &GroupName, epoch: u64) -> Option<&mut Membership> {
        self.entry.membership.as_mut().filter(|m| m.group == *group && m.epoch == epoch)
    }

    fn apply_due_state(&mut self, now_ms: u64) {
        let Some((at_ms, state)) = self.next_state.filter(|(at_ms, _)| *at_ms <= now_ms) else {
            return;
        };
        let _ = at_ms;
        self.next_state = None;
        if let Some(membership) = &mut self.entry.membership {
            membership.state = state;
            if state == MemberState::Ready {
                self.last_model = self.model.clone();
                self.was_ready.insert((membership.group.clone(), membership.epoch));
            }
        }
    }
}
