//! An estate, that is a complete small deployment, in one process: platform, endpoints and entry
//! nodes on loopback.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use balsam_node::Node;
use balsam_settings::Settings;
use balsam_types::VmInfo;
use balsam_types::VmName;
use balsam_types::VmRole;
use balsam_types::VmState;
use balsam_types::vm::VmList;
use balsam_wire::pb::operator::v1 as op;
use balsam_wire::pb::record::v1 as record;
use futures::future::try_join_all;
use slog::Logger;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::address::free_address;
use crate::endpoint::Endpoint;
use crate::endpoint::EndpointOptions;
use crate::operator::OperatorHandle;
use crate::operator::sha256_hex;
use crate::platform::PlatformHandle;
use crate::platform::start_platform;

/// The region of the estate.
pub const REGION: &str = "hu-east";

/// The data centres of the estate.
pub const DATA_CENTRES: [&str; 3] = ["hu-east-a", "hu-east-b", "hu-east-c"];

/// The token of the only operator.
pub const OPERATOR_TOKEN: &str = "local-operator-token";

/// The token of the callers of organisation `debrecen-club`.
pub const CALLER_TOKEN: &str = "local-caller-token";

/// The pool of model engines.
pub const MODEL_POOL: &str = "balsam-pool";

/// The pool of plain services, which are not model engines.
pub const PLAIN_POOL: &str = "ledger-app";

/// The model name in requests.
pub const MODEL: &str = "race-report";

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Size of an estate and behaviour of its engines.
#[derive(Debug, Clone)]
pub struct EstateOptions {
    /// Number of entry nodes in each data centre.
    pub nodes_per_data_centre: usize,
    /// Number of engine VMs in each data centre, all in one fabric domain.
    pub engines_per_data_centre: usize,
    /// Number of VMs in a group.
    pub group_vms: u32,
    /// Options of the engines.
    pub engine: EndpointOptions,
}

impl Default for EstateOptions {
    fn default() -> Self {
        Self {
            nodes_per_data_centre: 2,
            engines_per_data_centre: 5,
            group_vms: 2,
            engine: EndpointOptions {
                warm_up_ms: 500,
                cold_limit: 2,
                limit: 64,
                ..EndpointOptions::default()
            },
        }
    }
}

/// A running estate.
pub struct Estate {
    /// The platform stand-in.
    pub platform: PlatformHandle,
    /// The platform's address.
    pub platform_address: SocketAddr,
    /// Running endpoints by VM; killed ones are removed.
    pub endpoints: BTreeMap<VmName, Endpoint>,
    /// The entry nodes.
    pub nodes: Vec<EstateNode>,
    /// The VMs to publish in the VM list.
    pub vms: BTreeMap<VmName, VmInfo>,
    options: EstateOptions,
    log: Logger,
}

/// An entry node of the estate.
pub struct EstateNode {
    /// Its VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: String,
    /// The node.
    pub node: Node,
}

impl Estate {
    /// Starts the platform, the endpoints and the entry nodes, and configures the estate through
    /// the operators' interface.
    pub async fn start(options: EstateOptions, log: Logger) -> Result<Self, BoxError> {
        let (platform, platform_address, _task) = start_platform().await?;
        let mut estate = Self {
            platform,
            platform_address,
            endpoints: BTreeMap::new(),
            nodes: Vec::new(),
            vms: BTreeMap::new(),
            options,
            log,
        };
        for data_centre in DATA_CENTRES {
            estate.start_endpoints(data_centre).await?;
        }
        estate.publish_vms();
        for data_centre in DATA_CENTRES {
            for number in 1..=estate.options.nodes_per_data_centre {
                estate.start_node(data_centre, number).await?;
            }
        }
        estate.publish_vms();
        estate.wait_ready().await?;
        configure(&estate.operator(0), &estate.options).await?;
        Ok(estate)
    }

    async fn start_endpoints(&mut self, data_centre: &str) -> Result<(), BoxError> {
        for number in 1..=self.options.engines_per_data_centre {
            let vm = VmName::try_from(format!("{data_centre}-runner-{number}"))?;
            self.start_endpoint(vm, data_centre, MODEL_POOL, self.options.engine.clone()).await?;
        }
        let vm = VmName::try_from(format!("{data_centre}-ledger-1"))?;
        self.start_endpoint(vm, data_centre, PLAIN_POOL, EndpointOptions::plain()).await
    }

    async fn start_endpoint(
        &mut self,
        vm: VmName,
        data_centre: &str,
        pool: &str,
        options: EndpointOptions,
    ) -> Result<(), BoxError> {
        let endpoint = Endpoint::start(options).await?;
        let role = VmRole::Endpoint {
            pool: pool.try_into()?,
            address: endpoint.address(),
            accelerators: if pool == MODEL_POOL { 4 } else { 0 },
        };
        self.vms.insert(vm.clone(), vm_info(vm.clone(), data_centre, role)?);
        self.endpoints.insert(vm, endpoint);
        Ok(())
    }

    async fn start_node(&mut self, data_centre: &str, number: usize) -> Result<(), BoxError> {
        let vm = VmName::try_from(format!("{data_centre}-entry-{number}"))?;
        let settings = node_settings(vm.as_str(), data_centre, self.platform_address)?;
        let node = Node::start(&settings, self.log.clone()).await?;
        let role = VmRole::Entry { peer_address: node.addresses().peers };
        self.vms.insert(vm.clone(), vm_info(vm.clone(), data_centre, role)?);
        self.nodes.push(EstateNode { vm, data_centre: data_centre.to_owned(), node });
        Ok(())
    }

    /// Publishes the VM list through the platform.
    pub fn publish_vms(&self) {
        let vms: Vec<VmInfo> = self.vms.values().cloned().collect();
        self.platform.set_vms(&VmList { as_of_ms: 0, vms: vms.into() });
    }

    async fn wait_ready(&self) -> Result<(), BoxError> {
        let is_ready = || self.nodes.iter().all(|node| node.node.is_ready());
        wait_until(Duration::from_secs(10), "every entry node is ready", is_ready).await
    }

    /// Returns a client of the operators' interface of an entry node.
    pub fn operator(&self, node: usize) -> OperatorHandle {
        OperatorHandle::new(self.nodes[node].node.addresses().operators, OPERATOR_TOKEN)
    }

    /// Waits until a node reports at least `groups` serving groups in the pool, and returns the time
    /// that took.
    pub async fn wait_serving(
        &self,
        node: usize,
        pool: &str,
        groups: u32,
        limit: Duration,
    ) -> Result<Duration, BoxError> {
        let operator = self.operator(node);
        let started = Instant::now();
        loop {
            let status = operator.status().await?;
            let serving = status.pools.iter().find(|found| found.pool == pool);
            if serving.is_some_and(|found| found.serving_groups >= groups) {
                return Ok(started.elapsed());
            }
            if started.elapsed() > limit {
                let found = format!("{:?}", status.pools);
                return Err(
                    format!("pool {pool} has fewer than {groups} serving groups: {found}").into()
                );
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Stops an endpoint without notice, as a crash of its process does.
    pub fn kill_endpoint(&mut self, vm: &VmName) {
        self.endpoints.remove(vm);
    }

    /// Marks a VM as leaving in the VM list.
    pub fn mark_leaving(&mut self, vm: &VmName) {
        if let Some(info) = self.vms.get_mut(vm) {
            info.state = VmState::Leaving;
        }
        self.publish_vms();
    }

    /// Returns the callers' address of a node.
    pub fn callers(&self, node: usize) -> SocketAddr {
        self.nodes[node].node.addresses().callers
    }
}

/// Configures the pools, the routes and the organisation through the operators' interface.
pub async fn configure(operator: &OperatorHandle, options: &EstateOptions) -> Result<(), BoxError> {
    let groups_per_data_centre = (options.engines_per_data_centre as u32 - 1) / options.group_vms;
    let data_centres = DATA_CENTRES.len() as u32;
    let engine = &options.engine;
    let model = record::Pool {
        pool: MODEL_POOL.to_owned(),
        kind: record::PoolKind::Model.into(),
        model: MODEL.to_owned(),
        version: "v1".to_owned(),
        group_vms: options.group_vms,
        target_groups: groups_per_data_centre * data_centres,
        limit: engine.limit,
        cold_limit: engine.cold_limit,
        checks_fence: engine.checks_fence,
        not_run_statuses: vec![503],
        weight_bytes: 1_000_000_000,
    };
    let plain = record::Pool {
        pool: PLAIN_POOL.to_owned(),
        kind: record::PoolKind::Plain.into(),
        group_vms: 1,
        target_groups: data_centres,
        limit: 64,
        cold_limit: 64,
        ..record::Pool::default()
    };
    let organisation = record::Organisation {
        organisation: "debrecen-club".to_owned(),
        token_sha256: sha256_hex(CALLER_TOKEN),
        weight: 1,
        limit_per_s: 0,
        limit_in_flight: 0,
    };
    // A confirmation waits until its change is in force on every node, so independent changes are
    // confirmed concurrently.
    let plan_and_confirm = |intent| operator.plan_and_confirm(intent, "local estate");
    let pools = [model, plain].map(op::intent::Intent::PutPool);
    try_join_all(pools.map(plan_and_confirm)).await?;
    let routes = routes().map(op::intent::Intent::PutRoute);
    let organisation = op::intent::Intent::OnboardOrganisation(organisation);
    try_join_all(routes.into_iter().chain([organisation]).map(plan_and_confirm)).await?;
    Ok(())
}

fn routes() -> [record::Route; 3] {
    [
        record::Route {
            route: "reports".to_owned(),
            matches: Some(record::route::Matches::Model(MODEL.to_owned())),
            pool: MODEL_POOL.to_owned(),
            idempotent: Some(true),
            deadline_ms: 30_000,
            ..record::Route::default()
        },
        record::Route {
            route: "registrations".to_owned(),
            matches: Some(record::route::Matches::PathPrefix("/registrations".to_owned())),
            pool: PLAIN_POOL.to_owned(),
            idempotent: Some(false),
            deadline_ms: 10_000,
            ..record::Route::default()
        },
        record::Route {
            route: "lookups".to_owned(),
            matches: Some(record::route::Matches::PathPrefix("/lookups".to_owned())),
            pool: PLAIN_POOL.to_owned(),
            idempotent: Some(true),
            deadline_ms: 10_000,
            ..record::Route::default()
        },
    ]
}

/// Returns the settings of an entry node that listens on free loopback ports.
pub fn node_settings(
    vm: &str,
    data_centre: &str,
    platform: SocketAddr,
) -> Result<Settings, BoxError> {
    let source = node_settings_text(vm, data_centre, platform);
    let mut settings = Settings::parse(Path::new("local_estate.toml"), &source)?;
    settings.node.peers_address = free_address()?;
    settings.node.peers_advertised_address = settings.node.peers_address;
    Ok(settings)
}

/// Returns the text of a settings file for an entry node on loopback.
pub fn node_settings_text(vm: &str, data_centre: &str, platform: SocketAddr) -> String {
    let operator = sha256_hex(OPERATOR_TOKEN);
    format!(
        r#"[node]
vm = "{vm}"
region = "{REGION}"
data_centre = "{data_centre}"
callers_address = "127.0.0.1:0"
peers_address = "127.0.0.1:0"
operators_address = "127.0.0.1:0"
metrics_address = "127.0.0.1:0"

[platform]
log_address = "{platform}"
vm_list_address = "{platform}"
vm_list_interval_ms = 200

[[operators]]
name = "local-operator"
token_sha256 = "{operator}"

[cold_start]
max_deadline_ms = 30000

[groups]
probe_interval_ms = 200
probe_timeout_ms = 150
evidence_fresh_ms = 1500
settle_ms = 1500
"#
    )
}

/// Returns the VM list entry of a live VM in the only fabric domain of its data centre.
pub fn vm_info(vm: VmName, data_centre: &str, role: VmRole) -> Result<VmInfo, BoxError> {
    Ok(VmInfo {
        vm,
        region: REGION.try_into()?,
        data_centre: data_centre.try_into()?,
        fabric_domain: format!("{data_centre}-rack-1").as_str().try_into()?,
        state: VmState::Live,
        role,
    })
}

/// Waits until a condition holds; `description` appears in the error if it does not in time.
pub async fn wait_until(
    limit: Duration,
    description: &str,
    condition: impl Fn() -> bool,
) -> Result<(), BoxError> {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > limit {
            return Err(format!("condition not met within {limit:?}: {description}").into());
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}
