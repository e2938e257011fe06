//! A deterministic simulation of a fleet of entry nodes in virtual time, for tests and benches.
//!
//! Calls are delayed, lost, reordered and time out, and nodes pause, crash and are replaced. All
//! randomness comes from one seed.

pub mod baseline;

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;

use balsam_peer::CapacitySummary;
use balsam_peer::Contact;
use balsam_peer::LocalObservation;
use balsam_peer::LocalState;
use balsam_peer::OutboundMessage;
use balsam_peer::PeerNode;
use balsam_peer::PeerSettings;
use balsam_peer::PoolSummary;
use balsam_peer::Presence;
use balsam_peer::Temperature;
use balsam_types::DataCentreName;
use balsam_types::Incarnation;
use balsam_types::InvalidValue;
use balsam_types::Offset;
use balsam_types::RegionName;
use balsam_types::VmName;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Bytes added to each message for the headers of lower protocol layers.
pub const OVERHEAD_BYTES: u64 = 60;
/// Interval at which a node probes an endpoint VM.
pub const PROBE_INTERVAL_MS: u64 = 500;
/// Number of nodes that probe each endpoint VM.
pub const PROBERS: usize = 2;
const TICK_MS: u64 = 100;
const CALL_TIMEOUT_MS: u64 = 1_000;
/// How long the simulated load of an endpoint stays constant.
const LOAD_PERIOD_MS: u64 = 30_000;

/// Version increment of any change other than a change of load.
const VERSIONS_PER_CHANGE: u64 = 16;
/// Time unit of heartbeats.
const HEARTBEAT_MS: u64 = 20;

/// A fencing number of the size reached after a year of appends.
const ENDPOINT_FENCE: u64 = 10_000_000_000 << 16;

/// The configuration of a simulation.
#[derive(Debug, Clone)]
pub struct SimulationConfig {
    /// Number of entry nodes, assigned to the data centres round-robin.
    pub nodes: usize,
    /// The region of each data centre.
    pub regions: Vec<usize>,
    /// Number of endpoint VMs, assigned to the data centres round-robin.
    pub endpoints: usize,
    /// Number of messages lost, per 1,000.
    pub loss_per_mille: u32,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The settings of every node.
    pub settings: PeerSettings,
    /// How long the initial processes have been running, so that counters have realistic sizes.
    pub uptime_ms: u64,
}

/// One simulated node.
#[derive(Debug)]
pub struct SimNode {
    /// The node's state machine for gossip.
    pub peer: PeerNode,
    /// The index of the data centre.
    pub data_centre: usize,
    /// Whether the process is running.
    pub is_running: bool,
    /// The virtual time until which the process is paused.
    pub paused_until_ms: u64,
    /// The local state that the node publishes, without observations.
    pub local: LocalState,
    /// Bytes sent and received, including overhead.
    pub bytes: u64,
    /// Number of messages sent and received.
    pub messages: u64,
    clock_offset_ms: u64,
    /// The start time of the process, by its own clock.
    started_ms: u64,
    generation: u32,
    probed_vms: Vec<VmName>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick { node: usize, generation: u32 },
    Probe { node: usize, generation: u32 },
    Request { from: usize, generation: u32, to: usize, payload: Vec<u8> },
    Reply { to: usize, generation: u32, from: usize, payload: Vec<u8> },
    SendFailed { node: usize, generation: u32, to: SocketAddr },
}

/// A running simulation.
#[derive(Debug)]
pub struct Simulation {
    /// The nodes; a replaced node keeps its index.
    pub nodes: Vec<SimNode>,
    /// Pairs of data centres (sender, receiver) between which messages are lost.
    pub partitioned_pairs: BTreeSet<(usize, usize)>,
    /// Endpoint VMs that do not respond to probes.
    pub dead_endpoints: BTreeSet<VmName>,
    /// Maximum random delay added to a message; more than a few ms reorders messages.
    pub extra_delay_ms: u64,
    /// Number of requests delivered twice, per 1,000.
    pub duplicate_per_mille: u32,
    config: SimulationConfig,
    now_ms: u64,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
}

/// FNV-1a with a final mixing step, which gives the same values in every build.
fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in parts.iter().copied().flatten() {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd) >> 8
}

fn data_centre(index: usize) -> Result<DataCentreName, InvalidValue> {
    DataCentreName::try_from(format!("dc-{index}"))
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8], 7_000))
}

fn node_at(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(v4) => {
            let [_, _, high, low] = v4.ip().octets();
            Some(usize::from(high) * 250 + usize::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}

impl SimNode {
    /// Returns how often the process was stopped or replaced.
    pub fn generation(&self) -> u32 {
        self.generation
    }
}

impl Simulation {
    /// Creates a simulation whose nodes know each other from the VM list.
    pub fn new(config: SimulationConfig) -> Result<Self, InvalidValue> {
        let rng = StdRng::seed_from_u64(config.seed);
        let mut simulation = Self {
            nodes: Vec::new(),
            partitioned_pairs: BTreeSet::new(),
            dead_endpoints: BTreeSet::new(),
            extra_delay_ms: 0,
            duplicate_per_mille: 0,
            now_ms: 0,
            rng,
            queue: BinaryHeap::new(),
            sequence: 0,
            config,
        };
        for index in 0..simulation.config.nodes {
            let node = simulation.build_node(index, 0)?;
            simulation.nodes.push(node);
            simulation.schedule_first_events(index);
        }
        simulation.assign_endpoints()?;
        let contacts = simulation.vm_list()?;
        for node in &mut simulation.nodes {
            node.peer.set_contacts(contacts.clone());
        }
        Ok(simulation)
    }

    /// Returns the entry nodes of the VM list.
    pub fn vm_list(&self) -> Result<Vec<Contact>, InvalidValue> {
        let contact = |index: usize| {
            let data_centre = Some(data_centre(index % self.config.regions.len())?);
            Ok(Contact { address: address(index), data_centre })
        };
        (0..self.nodes.len()).map(contact).collect()
    }

    /// Returns the virtual time.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the time on a node's own clock.
    pub fn clock_ms(&self, node: usize) -> u64 {
        self.now_ms + self.nodes[node].clock_offset_ms
    }

    /// Returns the time that has passed since a node's clock showed the time of a heartbeat.
    pub fn true_age_ms(&self, node: usize, heartbeat: u64) -> u64 {
        let at_ms = self.nodes[node].started_ms + heartbeat * HEARTBEAT_MS;
        self.clock_ms(node).saturating_sub(at_ms)
    }

    /// Stops a process without any shutdown messages.
    pub fn crash(&mut self, node: usize) {
        self.nodes[node].is_running = false;
        self.nodes[node].generation += 1;
    }

    /// Starts a new process in place of a crashed one, with the same contacts from the VM list.
    pub fn replace(&mut self, node: usize) -> Result<(), InvalidValue> {
        let generation = self.nodes[node].generation + 1;
        let replacement = self.build_node(node, generation)?;
        let previous = std::mem::replace(&mut self.nodes[node], replacement);
        let contacts = self.vm_list()?;
        self.nodes[node].probed_vms = previous.probed_vms;
        self.nodes[node].bytes = previous.bytes;
        self.nodes[node].messages = previous.messages;
        self.nodes[node].peer.set_contacts(contacts);
        self.schedule_first_events(node);
        Ok(())
    }

    /// Cuts the links between data centres for which the predicate holds and restores all others.
    pub fn set_partitions(&mut self, is_partitioned: impl Fn(usize, usize) -> bool) {
        let data_centre_count = self.config.regions.len();
        let data_centre_pairs = (0..data_centre_count)
            .flat_map(|left| (0..data_centre_count).map(move |right| (left, right)));
        self.partitioned_pairs =
            data_centre_pairs.filter(|(left, right)| is_partitioned(*left, *right)).collect();
    }

    /// Resets all traffic counters to zero.
    pub fn reset_counters(&mut self) {
        for node in &mut self.nodes {
            node.bytes = 0;
            node.messages = 0;
        }
    }

    /// Returns the endpoint VMs about which the nodes of a data centre should have evidence.
    pub fn endpoints_of(&self, data_centre: usize) -> BTreeSet<VmName> {
        let nodes = self.nodes.iter().filter(|node| node.data_centre == data_centre);
        nodes.flat_map(|node| node.probed_vms.iter().cloned()).collect()
    }

    /// Runs until a virtual time.
    pub fn run_until(&mut self, until_ms: u64) {
        while let Some(Reverse((at_ms, _, _))) = self.queue.peek() {
            if *at_ms > until_ms {
                break;
            }
            if let Some(Reverse((at_ms, _, event))) = self.queue.pop() {
                self.now_ms = at_ms;
                self.handle(event);
            }
        }
        self.now_ms = until_ms;
    }

    /// Runs in steps while `pending` holds; returns the elapsed time, or `None` after `timeout_ms`.
    pub fn run_while(
        &mut self,
        timeout_ms: u64,
        step_ms: u64,
        mut pending: impl FnMut(&Self) -> bool,
    ) -> Option<u64> {
        let start_ms = self.now_ms;
        while pending(self) {
            if self.now_ms - start_ms >= timeout_ms {
                return None;
            }
            self.run_until(self.now_ms + step_ms);
        }
        Some(self.now_ms - start_ms)
    }

    fn build_node(&mut self, index: usize, generation: u32) -> Result<SimNode, InvalidValue> {
        let data_centre_index = index % self.config.regions.len();
        let node = Incarnation {
            vm: VmName::try_from(format!("entry-vm-{index:04}"))?,
            start_ms: 1_700_000_000_000 + self.now_ms,
            nonce: self.rng.random(),
        };
        let region =
            RegionName::try_from(format!("region-{}", self.config.regions[data_centre_index]))?;
        let uptime_ms = if generation == 0 { self.config.uptime_ms } else { 0 };
        let clock_offset_ms = uptime_ms + self.rng.random_range(0..1_000_000_000);
        let clock_ms = self.now_ms + clock_offset_ms;
        let started_ms = clock_ms - uptime_ms;
        let mut peer = PeerNode::new(
            self.config.settings.clone(),
            node,
            data_centre(data_centre_index)?,
            region,
            address(index),
            self.rng.random(),
            started_ms,
        );
        // A change of load increments the version by 1 and any other change by 16, so these changes
        // give the version it would have after changes of load at the shortest interval.
        let changes = uptime_ms / self.config.settings.load_interval_ms / VERSIONS_PER_CHANGE;
        for change in 0..changes & !1 {
            let local = LocalState { leaving: change % 2 == 0, ..LocalState::default() };
            peer.set_local(started_ms, local);
        }
        let pool = |name: &str| -> Result<PoolSummary, InvalidValue> {
            Ok(PoolSummary { pool: name.try_into()?, serving_groups: 20, free_slots: 100 })
        };
        let pools = vec![pool("balsam-pool")?, pool("ledger-app")?];
        let summary = CapacitySummary { pools, ..CapacitySummary::default() };
        Ok(SimNode {
            peer,
            data_centre: data_centre_index,
            is_running: true,
            paused_until_ms: 0,
            local: LocalState { platform_reachable: true, summary, ..LocalState::default() },
            bytes: 0,
            messages: 0,
            clock_offset_ms,
            started_ms,
            generation,
            probed_vms: Vec::new(),
        })
    }

    fn schedule_first_events(&mut self, node: usize) {
        let generation = self.nodes[node].generation;
        let first_ms = self.now_ms + self.rng.random_range(0..TICK_MS);
        self.push(first_ms, Event::Tick { node, generation });
        let first_ms = self.now_ms + self.rng.random_range(0..PROBE_INTERVAL_MS);
        self.push(first_ms, Event::Probe { node, generation });
    }

    fn assign_endpoints(&mut self) -> Result<(), InvalidValue> {
        let data_centre_count = self.config.regions.len();
        for endpoint in 0..self.config.endpoints {
            let vm = VmName::try_from(format!("endpoint-vm-{endpoint:04}"))?;
            let mut ranked: Vec<(u64, usize)> = (0..self.nodes.len())
                .filter(|node| node % data_centre_count == endpoint % data_centre_count)
                .map(|node| (stable_hash(&[vm.as_str().as_bytes(), &node.to_be_bytes()]), node))
                .collect();
            ranked.sort_unstable();
            for (_, node) in ranked.into_iter().take(PROBERS) {
                self.nodes[node].probed_vms.push(vm.clone());
            }
        }
        Ok(())
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at_ms, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        let (node, generation) = match &event {
            Event::Tick { node, generation }
            | Event::Probe { node, generation }
            | Event::SendFailed { node, generation, .. } => (*node, Some(*generation)),
            Event::Reply { to, generation, .. } => (*to, Some(*generation)),
            Event::Request { to, .. } => (*to, None),
        };
        let Some(target) = self.nodes.get(node) else { return };
        if !target.is_running
            || generation.is_some_and(|generation| generation != target.generation)
        {
            return;
        }
        if target.paused_until_ms > self.now_ms {
            let resume_ms = target.paused_until_ms;
            self.push(resume_ms, event);
            return;
        }
        let clock_ms = self.clock_ms(node);
        match event {
            Event::Tick { node, generation } => {
                let messages = self.nodes[node].peer.tick(clock_ms);
                for message in messages {
                    self.send_request(node, message);
                }
                self.push(self.now_ms + TICK_MS, Event::Tick { node, generation });
            }
            Event::Probe { node, generation } => {
                self.probe(node, clock_ms);
                self.push(self.now_ms + PROBE_INTERVAL_MS, Event::Probe { node, generation });
            }
            Event::Request { from, generation, to, payload } => {
                self.count_message(to, payload.len());
                let (reply, _) = self.nodes[to].peer.receive(clock_ms, &payload);
                let Some(reply) = reply else { return };
                self.count_message(to, reply.len());
                if let Some(delay_ms) = self.message_delay_ms(to, from) {
                    let event = Event::Reply { to: from, generation, from: to, payload: reply };
                    self.push(self.now_ms + delay_ms, event);
                }
            }
            Event::Reply { to, from, payload, .. } => {
                self.count_message(to, payload.len());
                self.nodes[to].peer.receive_reply(clock_ms, address(from), &payload);
            }
            Event::SendFailed { node, to, .. } => self.nodes[node].peer.send_failed(clock_ms, to),
        }
    }

    fn probe(&mut self, node: usize, clock_ms: u64) {
        let period = self.now_ms / LOAD_PERIOD_MS;
        let observe = |vm: &VmName| {
            let is_dead = self.dead_endpoints.contains(vm);
            let load = stable_hash(&[vm.as_str().as_bytes(), &period.to_be_bytes()]);
            LocalObservation {
                vm: vm.clone(),
                presence: if is_dead { Presence::Missing } else { Presence::Present },
                instance: Arc::from("5f0c1d2e"),
                temperature: Temperature::Warm,
                in_flight: (load % 32) as u32,
                fence: ENDPOINT_FENCE,
                ready: true,
                observed_at_ms: clock_ms,
            }
        };
        let observations = self.nodes[node].probed_vms.iter().map(observe).collect();
        let target = &mut self.nodes[node];
        target.peer.set_local(clock_ms, LocalState { observations, ..target.local.clone() });
    }

    fn send_request(&mut self, from: usize, call: OutboundMessage) {
        self.count_message(from, call.payload.len());
        let generation = self.nodes[from].generation;
        let Some(to) = node_at(call.to_address).filter(|to| *to < self.nodes.len()) else { return };
        let Some(delay_ms) = self.message_delay_ms(from, to).filter(|_| self.nodes[to].is_running)
        else {
            let event = Event::SendFailed { node: from, generation, to: call.to_address };
            self.push(self.now_ms + CALL_TIMEOUT_MS, event);
            return;
        };
        if self.rng.random_range(0..1_000) < self.duplicate_per_mille {
            let payload = call.payload.clone();
            let event = Event::Request { from, generation, to, payload };
            let duplicate_at_ms =
                self.now_ms + delay_ms + self.rng.random_range(0..=self.extra_delay_ms);
            self.push(duplicate_at_ms, event);
        }
        let event = Event::Request { from, generation, to, payload: call.payload };
        self.push(self.now_ms + delay_ms, event);
    }

    /// Returns the delay of a message, or `None` if the message is lost.
    fn message_delay_ms(&mut self, from: usize, to: usize) -> Option<u64> {
        let (from, to) = (self.nodes[from].data_centre, self.nodes[to].data_centre);
        let is_lost = self.rng.random_range(0..1_000) < self.config.loss_per_mille;
        if is_lost || self.partitioned_pairs.contains(&(from, to)) {
            return None;
        }
        let base_ms = match (from == to, self.config.regions[from] == self.config.regions[to]) {
            (true, _) => 1,
            (false, true) => 5,
            (false, false) => 20,
        };
        Some(base_ms + self.rng.random_range(0..=self.extra_delay_ms))
    }

    fn count_message(&mut self, node: usize, bytes: usize) {
        self.nodes[node].bytes += bytes as u64 + OVERHEAD_BYTES;
        self.nodes[node].messages += 1;
    }

    /// Sets the offset up to which a node has folded the log.
    pub fn fold(&mut self, node: usize, offset: Offset) {
        self.nodes[node].local.folded_offset = offset;
    }
}
