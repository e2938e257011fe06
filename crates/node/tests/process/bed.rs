//! Six entry node processes in three data centres, with every link through a proxy.

use std::collections::BTreeMap;
use std::fs;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use balsam_standin::endpoint::Endpoint;
use balsam_standin::endpoint::EndpointOptions;
use balsam_standin::endpoint::Execution;
use balsam_standin::estate::DATA_CENTRES;
use balsam_standin::estate::EstateOptions;
use balsam_standin::estate::MODEL_POOL;
use balsam_standin::estate::OPERATOR_TOKEN;
use balsam_standin::estate::PLAIN_POOL;
use balsam_standin::estate::configure;
use balsam_standin::estate::vm_info;
use balsam_standin::operator::OperatorHandle;
use balsam_standin::platform::PlatformHandle;
use balsam_standin::platform::start_platform;
use balsam_standin::process::NodeProcess;
use balsam_standin::process::NodeSpec;
use balsam_standin::proxy::Classify;
use balsam_standin::proxy::LinkFaults;
use balsam_standin::proxy::Proxy;
use balsam_types::VmInfo;
use balsam_types::VmName;
use balsam_types::VmRole;
use balsam_types::VmState;
use balsam_types::vm::VmList;
use balsam_wire::pb::operator::v1::GroupStatus;
use tokio::task::spawn_blocking;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::calls::ATTEMPT_HEADER;
use crate::calls::Call;
use crate::calls::Caller;
use crate::checker::Observed;
use crate::checker::Run;
use crate::checker::StopReason;
use crate::checker::StopWindow;
use crate::checker::Violation;
use crate::checker::check;

pub const NODES: [usize; 6] = [0, 1, 2, 3, 4, 5];
pub const MODEL_GROUPS: u32 = 6;
pub const PLAIN_GROUPS: u32 = 3;

/// A generous timeout for conditions that a busy machine reaches late.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(40);

/// Time after which a stopped endpoint must get no new work.
pub const STOP_LIMIT: Duration = Duration::from_secs(3);

/// How long a claim stays valid for dispatch; a node paused for longer must not dispatch it.
const CLAIM_DISPATCH_MS: u64 = 1_500;

/// The network without faults.
pub const NO_FAULTS: LinkFaults = LinkFaults {
    delay_ms: 1,
    delay_variation_ms: 2,
    loss_percent: 0,
    stall_ms: 0,
    silent_to_target: false,
    silent_to_client: false,
    bytes_per_s: 0,
    is_cut: false,
};

pub const CUT: LinkFaults = LinkFaults { is_cut: true, ..NO_FAULTS };

/// Bytes are dropped in both directions without an error.
pub const BLACK_HOLE: LinkFaults =
    LinkFaults { silent_to_target: true, silent_to_client: true, ..NO_FAULTS };

type DataCentreByProcess = Arc<Mutex<BTreeMap<u32, Arc<str>>>>;

pub struct BedEndpoint {
    pub endpoint: Endpoint,
    pub link: Proxy,
}

pub struct BedNode {
    pub process: NodeProcess,
    pub callers: Proxy,
    pub peers: Proxy,
    pub platform: Proxy,
    spec: NodeSpec,
}

pub struct TestBed {
    pub platform: PlatformHandle,
    pub endpoints: BTreeMap<VmName, BedEndpoint>,
    pub nodes: Vec<BedNode>,
    vms: BTreeMap<VmName, VmInfo>,
    data_centre_by_process: DataCentreByProcess,
    options: EstateOptions,
    seed: u64,
    killed: Vec<Endpoint>,
    stop_windows: Vec<StopWindow>,
}

fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

impl TestBed {
    pub async fn start(seed: u64) -> Self {
        Self::start_with(seed, EstateOptions::default()).await
    }

    pub async fn start_with(seed: u64, options: EstateOptions) -> Self {
        eprintln!("seed {seed}");
        let started = Instant::now();
        let (platform, address, _task) = start_platform().await.unwrap();
        let mut bed = Self {
            platform,
            endpoints: BTreeMap::new(),
            nodes: Vec::new(),
            vms: BTreeMap::new(),
            data_centre_by_process: DataCentreByProcess::default(),
            options,
            seed,
            killed: Vec::new(),
            stop_windows: Vec::new(),
        };
        for data_centre in DATA_CENTRES {
            for number in 1..=bed.options.engines_per_data_centre {
                bed.add_engine(data_centre, number).await;
            }
            bed.add_endpoint(data_centre, "ledger-1", PLAIN_POOL, EndpointOptions::plain()).await;
        }
        bed.start_nodes(address).await;
        bed.publish_vms();
        bed.wait("every node is ready", |bed| bed.nodes.iter().all(|n| n.process.is_ready())).await;
        eprintln!("every node is ready after {} ms", started.elapsed().as_millis());
        configure(&bed.operator(0), &bed.options).await.unwrap();
        eprintln!("configured after {} ms", started.elapsed().as_millis());
        for node in NODES {
            bed.wait_serving(node).await;
        }
        eprintln!("every node serves after {} ms", started.elapsed().as_millis());
        bed
    }

    fn next_seed(&mut self) -> u64 {
        self.seed += 1_000;
        self.seed
    }

    pub async fn add_engine(&mut self, data_centre: &str, number: usize) -> VmName {
        let engine = self.options.engine.clone();
        self.add_endpoint(data_centre, &format!("runner-{number}"), MODEL_POOL, engine).await
    }

    async fn add_endpoint(
        &mut self,
        data_centre: &str,
        name: &str,
        pool: &str,
        options: EndpointOptions,
    ) -> VmName {
        let vm = VmName::try_from(format!("{data_centre}-{name}")).unwrap();
        let endpoint = Endpoint::start(options).await.unwrap();
        let link = Proxy::start(endpoint.address(), self.next_seed()).await.unwrap();
        link.set_faults(NO_FAULTS);
        let role = VmRole::Endpoint {
            pool: pool.try_into().unwrap(),
            address: link.address(),
            accelerators: if pool == MODEL_POOL { 4 } else { 0 },
        };
        self.vms.insert(vm.clone(), vm_info(vm.clone(), data_centre, role).unwrap());
        self.endpoints.insert(vm.clone(), BedEndpoint { endpoint, link });
        vm
    }

    async fn start_nodes(&mut self, platform: SocketAddr) {
        let mut parts = Vec::new();
        for (data_centre, number) in DATA_CENTRES.into_iter().flat_map(|d| [(d, 1), (d, 2)]) {
            let vm = format!("{data_centre}-entry-{number}");
            let data_centre_by_process = self.data_centre_by_process.clone();
            let classify: Classify =
                Arc::new(move |from| data_centre_of(from, &data_centre_by_process));
            let seed = self.next_seed();
            let peers =
                Proxy::start_classified(unused_address(), seed, Some(classify)).await.unwrap();
            let callers = Proxy::start(unused_address(), self.next_seed()).await.unwrap();
            let to_platform = Proxy::start(platform, self.next_seed()).await.unwrap();
            let role = VmRole::Entry { peer_address: peers.address() };
            let name = VmName::try_from(vm.as_str()).unwrap();
            self.vms.insert(name.clone(), vm_info(name, data_centre, role).unwrap());
            parts.push((vm, data_centre, callers, peers, to_platform));
        }
        let contacts: Vec<String> =
            parts.iter().map(|(_, _, _, peers, _)| format!("\"{}\"", peers.address())).collect();
        let extra_settings = format!(
            "[claims]\nclaim_dispatch_ms = {CLAIM_DISPATCH_MS}\n\n[peers]\ncontacts = [{}]\n",
            contacts.join(", ")
        );
        let mut starting = Vec::new();
        for (vm, data_centre, callers, peers, to_platform) in parts {
            let spec = NodeSpec {
                vm,
                data_centre: data_centre.to_owned(),
                platform: to_platform.address(),
                advertised: peers.address(),
                extra_settings: extra_settings.clone(),
            };
            let process = spawn_blocking({
                let (spec, data_centre_by_process) =
                    (spec.clone(), self.data_centre_by_process.clone());
                move || start_process(&spec, &data_centre_by_process)
            });
            starting.push((process, spec, callers, peers, to_platform));
        }
        for (process, spec, callers, peers, to_platform) in starting {
            let process = process.await.unwrap();
            let node = BedNode { process, callers, peers, platform: to_platform, spec };
            node.callers.set_faults(NO_FAULTS);
            node.peers.set_faults(NO_FAULTS);
            node.platform.set_faults(NO_FAULTS);
            self.nodes.push(node);
            self.connect(self.nodes.len() - 1);
        }
    }

    fn connect(&self, node: usize) {
        let found = &self.nodes[node];
        let addresses = found.process.addresses();
        found.callers.set_target(addresses.callers);
        found.peers.set_target(addresses.peers);
    }

    /// Starts a new process in place of one that has ended.
    pub async fn replace_node(&mut self, node: usize) {
        let spec = self.nodes[node].spec.clone();
        let data_centre_by_process = self.data_centre_by_process.clone();
        let started = spawn_blocking(move || start_process(&spec, &data_centre_by_process));
        self.nodes[node].process = started.await.unwrap();
        self.connect(node);
    }

    pub fn publish_vms(&self) {
        let vms: Vec<VmInfo> = self.vms.values().cloned().collect();
        self.platform.set_vms(&VmList { as_of_ms: 0, vms: vms.into() });
    }

    pub fn mark_leaving(&mut self, vm: &VmName) {
        self.vms.get_mut(vm).unwrap().state = VmState::Leaving;
        self.publish_vms();
    }

    /// Kills an endpoint without notice; the VM list still contains it.
    pub fn kill_endpoint(&mut self, vm: &VmName) {
        let BedEndpoint { endpoint, link } = self.endpoints.remove(vm).unwrap();
        drop(link);
        self.killed.push(endpoint);
    }

    pub fn operator(&self, node: usize) -> OperatorHandle {
        OperatorHandle::new(self.nodes[node].process.addresses().operators, OPERATOR_TOKEN)
    }

    pub fn caller(&self, deadline_ms: u64) -> Caller {
        let nodes = self.nodes.iter().map(|node| node.callers.address()).collect();
        Caller::new(nodes, deadline_ms)
    }

    pub async fn groups(&self, node: usize) -> Vec<GroupStatus> {
        self.operator(node).status().await.unwrap().groups
    }

    /// Returns the members of the groups of a pool in a data centre, heads first.
    pub async fn members(&self, pool: &str, data_centre: &str) -> Vec<Vec<VmName>> {
        let groups = self.groups(0).await;
        let found = groups.iter().filter(|g| g.pool == pool && g.data_centre == data_centre);
        let names = |group: &GroupStatus| {
            group.members.iter().map(|vm| VmName::try_from(vm.as_str()).unwrap()).collect()
        };
        found.map(names).collect()
    }

    /// Returns the engine VMs of a data centre that belong to no group.
    pub async fn spares(&self, data_centre: &str) -> Vec<VmName> {
        let used: Vec<VmName> = self.members(MODEL_POOL, data_centre).await.concat();
        let engines = self.endpoints.keys().filter(|vm| {
            vm.as_str().starts_with(&format!("{data_centre}-runner")) && !used.contains(vm)
        });
        engines.cloned().collect()
    }

    pub async fn wait_serving(&self, node: usize) {
        self.wait_groups(node, MODEL_GROUPS, PLAIN_GROUPS).await;
    }

    pub async fn wait_groups(&self, node: usize, model: u32, plain: u32) {
        let started = Instant::now();
        loop {
            let status = self.operator(node).status().await;
            if let Ok(status) = &status {
                let serving = |pool: &str| {
                    let found = status.pools.iter().find(|found| found.pool == pool);
                    found.map_or(0, |found| found.serving_groups)
                };
                if serving(MODEL_POOL) == model && serving(PLAIN_POOL) == plain {
                    return;
                }
            }
            assert!(
                started.elapsed() < LONG_TIMEOUT,
                "node {node} does not report all groups as serving: {status:?}"
            );
            sleep(Duration::from_millis(50)).await;
        }
    }

    pub async fn wait(&self, description: &str, condition: impl Fn(&Self) -> bool) {
        let started = Instant::now();
        while !condition(self) {
            assert!(started.elapsed() < LONG_TIMEOUT, "timed out waiting until {description}");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns whether every node reports a data centre as drained.
    pub async fn is_drained_everywhere(&self, data_centre: &str) -> bool {
        for node in NODES {
            let status = self.operator(node).status().await.unwrap();
            let found = status.data_centres.iter().find(|found| found.data_centre == data_centre);
            if !found.is_some_and(|found| found.drained) {
                return false;
            }
        }
        true
    }

    /// Sets the links between one data centre and its peers in the others, in both directions.
    pub fn set_peer_links(&self, data_centre: &str, faults: LinkFaults) {
        for node in &self.nodes {
            let is_inside = node.spec.data_centre == data_centre;
            for other in DATA_CENTRES {
                if is_inside != (other == data_centre) {
                    match faults == NO_FAULTS {
                        true => node.peers.heal_for(other),
                        false => node.peers.set_faults_for(other, faults),
                    }
                }
            }
        }
    }

    pub fn set_platform_links(&self, data_centre: &str, faults: LinkFaults) {
        for node in self.nodes.iter().filter(|node| node.spec.data_centre == data_centre) {
            node.platform.set_faults(faults);
        }
    }

    /// Returns the endpoints whose VM names start with a prefix.
    pub fn endpoints_of<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a VmName, &'a BedEndpoint)> {
        self.endpoints.iter().filter(move |(vm, _)| vm.as_str().starts_with(prefix))
    }

    /// Records the executions of endpoints over a period in which they must not get new work.
    pub async fn watch_stopped_endpoints(
        &mut self,
        prefix: &str,
        reason: StopReason,
        time: Duration,
    ) {
        let counts = |bed: &Self| -> BTreeMap<VmName, usize> {
            let found = bed.endpoints_of(prefix);
            found.map(|(vm, found)| (vm.clone(), found.endpoint.executions().len())).collect()
        };
        let before = counts(self);
        assert!(!before.is_empty());
        sleep(time).await;
        let after = counts(self);
        for (vm, before) in before {
            let after = after[&vm];
            self.stop_windows.push(StopWindow { vm: vm.to_string(), reason, before, after });
        }
    }

    pub fn executions(&self) -> Vec<Execution> {
        let live = self.endpoints.values().map(|found| &found.endpoint);
        live.chain(&self.killed).flat_map(|endpoint| endpoint.executions()).collect()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.executions().iter().map(run_of).collect()
    }

    pub fn above_cold_limit(&self) -> Vec<(String, u32)> {
        let counted = self.endpoints.iter();
        counted.map(|(vm, found)| (vm.to_string(), found.endpoint.cold_violations())).collect()
    }

    /// Checks the guarantees against everything that was observed so far.
    pub fn assert_guarantees(&self, calls: &[Call]) {
        let observed = Observed {
            calls: calls.to_vec(),
            runs: self.runs(),
            stop_windows: self.stop_windows.clone(),
            above_cold_limit: self.above_cold_limit(),
        };
        let ok = calls.iter().filter(|call| call.is_ok()).count();
        let unknown = calls.iter().filter(|call| call.is_unknown()).count();
        let replayed = calls.iter().filter_map(|call| call.response.as_ref().ok());
        let replayed = replayed.filter(|response| response.replayed).count();
        eprintln!("calls {}: ok {ok}, unknown {unknown}, replayed {replayed}", calls.len());
        let violations = check(&observed);
        for label in violations.iter().filter_map(Violation::label) {
            self.print_request(calls, label);
        }
        assert!(violations.is_empty(), "seed {}: {violations:#?}", self.seed);
    }
}

impl TestBed {
    /// Prints a request's calls, its executions, and the log lines of the nodes about it.
    fn print_request(&self, calls: &[Call], label: &str) {
        for call in calls.iter().filter(|call| call.label == label) {
            eprintln!("{label}: {call:?}");
        }
        for execution in self.executions().iter().filter(|found| run_of(found).label == label) {
            eprintln!("{label} ran: {execution:?}");
        }
        for node in &self.nodes {
            let log = node.process.log();
            let lines = log.lines().filter(|line| line.contains(label));
            lines.for_each(|line| eprintln!("{}: {line}", node.spec.vm));
        }
    }
}

/// Starts a process and registers its data centre before it opens a connection.
fn start_process(spec: &NodeSpec, data_centre_by_process: &DataCentreByProcess) -> NodeProcess {
    let started = |process| {
        data_centre_by_process
            .lock()
            .unwrap()
            .insert(process, Arc::from(spec.data_centre.as_str()));
    };
    let binary = Path::new(env!("CARGO_BIN_EXE_balsamturn"));
    NodeProcess::start(binary, spec, started).unwrap()
}

fn run_of(execution: &Execution) -> Run {
    let body: serde_json::Value = serde_json::from_slice(&execution.body).unwrap_or_default();
    let label = body["ring"].as_str().or(body["messages"][0]["content"].as_str());
    let attempt = execution.headers.iter().find(|(name, _)| &**name == ATTEMPT_HEADER);
    Run {
        label: label.unwrap_or_default().to_owned(),
        attempt: attempt.and_then(|(_, value)| value.parse().ok()).unwrap_or(1),
    }
}

/// Returns the data centre of the process that owns the socket with this local address.
fn data_centre_of(
    from: SocketAddr,
    data_centre_by_process: &DataCentreByProcess,
) -> Option<Arc<str>> {
    let IpAddr::V4(ip) = from.ip() else {
        return None;
    };
    let address = format!("{:08X}:{:04X}", u32::from_ne_bytes(ip.octets()), from.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    // A closed connection to another target that had the same port is listed without a socket.
    let has_socket = |row: &Vec<&str>| row.get(9).is_some_and(|socket| *socket != "0");
    let mut rows = rows.filter(has_socket);
    let row = rows.find(|row| row.get(1) == Some(&address.as_str()))?;
    let socket = format!("socket:[{}]", row.get(9)?);
    let data_centre_by_process = data_centre_by_process.lock().unwrap().clone();
    let holds = |process: &u32| {
        let files = fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten().flatten();
        let mut links = files.filter_map(|file| fs::read_link(file.path()).ok());
        links.any(|link| link.as_os_str() == socket.as_str())
    };
    data_centre_by_process
        .iter()
        .find(|(process, _)| holds(process))
        .map(|(_, data_centre)| data_centre.clone())
}
