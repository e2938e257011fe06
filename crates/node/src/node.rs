//! Starts and stops an entry node.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use arc_swap::ArcSwap;
use balsam_agent::Agent;
use balsam_agent::AgentSettings;
use balsam_agent::Event;
use balsam_peer::PeerNode;
use balsam_peer::PeerSettings;
use balsam_platform::LogClient;
use balsam_platform::VmListClient;
use balsam_route::permit::PermitTimes;
use balsam_serve::Front;
use balsam_serve::ServeOptions;
use balsam_settings::Settings;
use balsam_state::Limits;
use balsam_telemetry::Telemetry;
use balsam_telemetry::monitor;
use balsam_types::Incarnation;
use balsam_wire::pb::operator::v1::operator_server::OperatorServer as OperatorService;
use balsam_wire::pb::peer::v1::peer_server::PeerServer as PeerService;
use slog::Logger;
use slog::info;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

use crate::agent_task::AgentHandle;
use crate::agent_task::AgentTask;
use crate::clock::Clock;
use crate::clock::wall_ms;
use crate::effects::Executor;
use crate::error::ListenSnafu;
use crate::error::NodeError;
use crate::error::OptionsSnafu;
use crate::error::TelemetrySnafu;
use crate::log_task::follow_log;
use crate::log_task::follow_vms;
use crate::operators::OperatorServer;
use crate::peer_client::PeerClients;
use crate::peer_server::PeerServer;
use crate::permits::OwnedPermits;
use crate::ports::PortContext;
use crate::ports::ports;
use crate::probe::Prober;
use crate::recent::RecentBatches;
use crate::telemetry::ControlMetrics;

/// Largest message accepted from a peer or an operator.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// How long the node still accepts connections after it announced that it leaves, so that the load
/// balancer and the peers notice first.
const LEAVE_DELAY: Duration = Duration::from_millis(1_500);

/// A running entry node.
pub struct Node {
    front: Front,
    agent: AgentHandle,
    addresses: Addresses,
    shutdown_limit: Duration,
    log: Logger,
    tasks: JoinSet<()>,
}

/// The listen addresses of a node; a configured port 0 is replaced by the port actually bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other entry nodes.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For monitoring.
    pub metrics: SocketAddr,
}

struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
    metrics: TcpListener,
}

impl Node {
    /// Opens every listener and starts the node's tasks.
    pub async fn start(settings: &Settings, log: Logger) -> Result<Self, NodeError> {
        let node = &settings.node;
        let listeners = Listeners {
            callers: listen("callers", node.callers_address).await?,
            peers: listen("peers", node.peers_address).await?,
            operators: listen("operators", node.operators_address).await?,
            metrics: listen("metrics", node.metrics_address).await?,
        };
        let telemetry = Arc::new(Telemetry::new().context(TelemetrySnafu)?);
        let components = Components::new(settings, &telemetry, log.clone());
        let front = Front::new(
            serve_options(settings),
            ports(&components.port_context()),
            &telemetry.meter(),
            log.clone(),
        );
        let front = front.context(OptionsSnafu)?;
        // Cannot fail: the cell was created above and is set only here.
        let _ = components.front.set(front.clone());
        let addresses = addresses(&listeners, node);
        info!(log, "entry node started"; "incarnation" => %components.me,
            "callers" => %addresses.callers, "peers" => %addresses.peers,
            "operators" => %addresses.operators, "metrics" => %addresses.metrics);
        let agent = components.agent.clone();
        let tasks = components.spawn(settings, listeners, front.clone(), telemetry);
        let shutdown_limit = Duration::from_secs(settings.shutdown_limit_s);
        Ok(Self { front, agent, addresses, shutdown_limit, log, tasks })
    }

    /// Returns where the node listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns whether the node accepts requests.
    pub fn is_ready(&self) -> bool {
        self.front.is_ready()
    }

    /// Returns a handle to the node's state, for code in the same process.
    pub fn agent(&self) -> AgentHandle {
        self.agent.clone()
    }

    /// Waits until one of the node's tasks has ended, which is unexpected before the shutdown.
    pub async fn task_ended(&mut self) {
        self.tasks.join_next().await;
    }

    /// Shuts the node down: announces it to peers and the load balancer, lets open requests end,
    /// and returns how many were cut.
    pub async fn shutdown(mut self) -> u64 {
        info!(self.log, "leaving"; "open_requests" => self.front.open_requests());
        self.front.set_ready(false);
        self.agent.send(Event::Leave).await;
        sleep(LEAVE_DELAY).await;
        let cut = self.front.shutdown(self.shutdown_limit).await;
        self.tasks.shutdown().await;
        info!(self.log, "stopped"; "cut_requests" => cut);
        cut
    }

    /// Returns a function that returns the number of open requests.
    pub fn open_counter(&self) -> impl Fn() -> u64 + use<> {
        let front = self.front.clone();
        move || front.open_requests()
    }
}

async fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.context(ListenSnafu { purpose, address })
}

fn addresses(listeners: &Listeners, node: &balsam_settings::check::NodeSettings) -> Addresses {
    let local = |listener: &TcpListener, configured| listener.local_addr().unwrap_or(configured);
    Addresses {
        callers: local(&listeners.callers, node.callers_address),
        peers: local(&listeners.peers, node.peers_address),
        operators: local(&listeners.operators, node.operators_address),
        metrics: local(&listeners.metrics, node.metrics_address),
    }
}

/// The components of a node, from which its tasks are spawned.
struct Components {
    me: Incarnation,
    clock: Clock,
    agent: AgentHandle,
    receiver: tokio::sync::mpsc::Receiver<crate::agent_task::Message>,
    table: Arc<ArcSwap<balsam_route::Table>>,
    permits: Arc<OwnedPermits>,
    peers: PeerClients,
    recent: Arc<RecentBatches>,
    front: Arc<OnceLock<Front>>,
    metrics: Arc<ControlMetrics>,
    log_client: LogClient,
    log: Logger,
}

impl Components {
    fn new(settings: &Settings, telemetry: &Telemetry, log: Logger) -> Self {
        let vm = settings.node.vm.clone();
        let me = Incarnation { vm, start_ms: wall_ms(), nonce: rand::random() };
        let (agent, receiver) = AgentHandle::channel();
        let times = PermitTimes {
            owner_fresh_ms: settings.cold_start.owner_fresh_ms,
            longest_deadline_ms: settings.cold_start.max_deadline_ms,
            ..PermitTimes::default()
        };
        Self {
            clock: Clock::start(),
            agent,
            receiver,
            table: Arc::default(),
            permits: Arc::new(OwnedPermits::new(times)),
            peers: PeerClients::new(me.clone()),
            recent: Arc::default(),
            front: Arc::default(),
            metrics: Arc::new(ControlMetrics::new(&telemetry.meter())),
            log_client: LogClient::new(settings.platform.log_address),
            log,
            me,
        }
    }

    fn port_context(&self) -> PortContext {
        PortContext {
            me: self.me.clone(),
            clock: self.clock,
            agent: self.agent.clone(),
            table: self.table.clone(),
            permits: self.permits.clone(),
            peers: self.peers.clone(),
        }
    }

    fn spawn(
        self,
        settings: &Settings,
        listeners: Listeners,
        front: Front,
        telemetry: Arc<Telemetry>,
    ) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        let serving_front = front.clone();
        tasks.spawn(async move { serving_front.serve(listeners.callers).await });
        let is_ready = move || front.is_ready();
        tasks.spawn(monitor::serve(listeners.metrics, telemetry, "/ready", is_ready));
        self.spawn_peer_server(&mut tasks, settings, listeners.peers);
        self.spawn_operator_server(&mut tasks, settings, listeners.operators);
        let (read_position, read_position_receiver) = watch::channel(0);
        tasks.spawn(follow_log(
            self.log_client.clone(),
            self.agent.clone(),
            self.recent.clone(),
            read_position_receiver,
            self.clock,
            settings.platform.read_wait_ms,
        ));
        let vms = VmListClient::new(settings.platform.vm_list_address);
        let interval_ms = settings.platform.vm_list_interval_ms;
        tasks.spawn(follow_vms(vms, self.agent.clone(), interval_ms));
        self.spawn_agent(&mut tasks, settings, read_position);
        tasks
    }

    fn spawn_peer_server(
        &self,
        tasks: &mut JoinSet<()>,
        settings: &Settings,
        listener: TcpListener,
    ) {
        let server = PeerServer {
            clock: self.clock,
            agent: self.agent.clone(),
            recent: self.recent.clone(),
            permits: self.permits.clone(),
            front: self.front.clone(),
            log_client: self.log_client.clone(),
            append_timeout_ms: settings.platform.append_timeout_ms,
            metrics: self.metrics.clone(),
        };
        let service = PeerService::new(server)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let server = Server::builder().tcp_nodelay(true).add_service(service);
        let incoming = TcpListenerStream::new(listener);
        tasks.spawn(async move { drop(server.serve_with_incoming(incoming).await) });
    }

    fn spawn_operator_server(
        &self,
        tasks: &mut JoinSet<()>,
        settings: &Settings,
        listener: TcpListener,
    ) {
        let server = OperatorServer {
            agent: self.agent.clone(),
            clock: self.clock,
            peers: self.peers.clone(),
            operators: settings.operators.clone(),
        };
        let server = Server::builder().add_service(OperatorService::new(server));
        let incoming = TcpListenerStream::new(listener);
        tasks.spawn(async move { drop(server.serve_with_incoming(incoming).await) });
    }

    fn spawn_agent(
        self,
        tasks: &mut JoinSet<()>,
        settings: &Settings,
        read_position: watch::Sender<u64>,
    ) {
        let node = &settings.node;
        let seed = rand::random();
        let agent = Agent::new(
            agent_settings(settings),
            self.me.clone(),
            node.region.clone(),
            node.data_centre.clone(),
            node.peers_advertised_address,
            seed,
        );
        let peers = PeerNode::new(
            PeerSettings::default(),
            self.me,
            node.data_centre.clone(),
            node.region.clone(),
            node.peers_advertised_address,
            seed,
            self.clock.now_ms(),
        );
        let executor = Executor {
            clock: self.clock,
            log_client: self.log_client,
            append_timeout_ms: settings.platform.append_timeout_ms,
            read_position,
            peers: self.peers,
            prober: Prober::new(settings.groups.probe_timeout_ms),
            permits: self.permits,
            recent: self.recent,
            table: self.table,
            front: self.front,
            metrics: self.metrics,
            log: self.log,
        };
        let task = AgentTask {
            agent,
            peers,
            clock: self.clock,
            executor,
            handle: self.agent,
            contacts: settings.contacts.clone(),
            claims: HashMap::new(),
            submits: HashMap::new(),
            last_waiter: 0,
        };
        tasks.spawn(task.run(self.receiver));
    }
}

fn agent_settings(settings: &Settings) -> AgentSettings {
    let limits = Limits::default();
    AgentSettings {
        claim_dispatch_ms: settings.claims.claim_dispatch_ms,
        claim_wait_ms: settings.claims.claim_wait_ms,
        key_window_ms: limits.key_window_ms,
        probe_interval_ms: settings.groups.probe_interval_ms,
        probers: usize::try_from(settings.groups.probers).unwrap_or(usize::MAX),
        evidence_fresh_ms: settings.groups.evidence_fresh_ms,
        settle_ms: settings.groups.settle_ms,
        order_quarantine_ms: settings.groups.order_quarantine_ms,
        longest_deadline_ms: settings.cold_start.max_deadline_ms,
        store_bytes_per_s: settings.groups.store_bytes_per_s,
        snapshot_every_records: settings.platform.snapshot_every_records,
        limits,
    }
}

fn serve_options(settings: &Settings) -> ServeOptions {
    let limits = &settings.limits;
    let size = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
    ServeOptions {
        max_connections: size(limits.max_connections),
        max_queued: size(limits.max_queued),
        max_header_bytes: size(limits.max_header_bytes),
        max_body_bytes: size(limits.max_body_bytes),
        header_read_timeout_ms: limits.header_timeout_ms,
        body_read_timeout_ms: limits.body_timeout_ms,
        max_deadline_ms: settings.cold_start.max_deadline_ms,
        connect_timeout_ms: limits.connect_timeout_ms,
        model_silence_ms: limits.silence_ms,
        ..ServeOptions::default()
    }
}
