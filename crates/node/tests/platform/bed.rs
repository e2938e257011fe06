//! Processes of `balsamturn platform` with a store and endpoints behind proxies.

use std::fs;
use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use balsam_adapter_standin::endpoints::Endpoint;
use balsam_adapter_standin::processes;
use balsam_adapter_standin::processes::RequestKind;
use balsam_adapter_standin::store::Store;
use balsam_standin::proxy::Proxy;
use futures::future::join_all;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::time::sleep;

use crate::callers;
use crate::callers::Outcome;

/// Time between SIGTERM and SIGKILL.
pub const GRACE: Duration = Duration::from_secs(processes::GRACE_S);

/// Time between two events of a stream: a stream takes 1.2 s, so that most stops meet several.
const EVENT_INTERVAL_MS: u64 = 100;

/// Time that a plain request runs.
const PLAIN_RUN_MS: u64 = 120;

/// Interval between two readiness checks of the load balancer.
const READINESS_INTERVAL: Duration = Duration::from_secs(1);

/// Number of missed readiness checks after which a node gets no new connections.
const MAX_MISSES: u32 = 2;

/// Number of nodes whose addresses are in the settings of every node.
const SEED_NODES: usize = 3;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// A planned stop of a process.
#[derive(Debug, Clone, Copy)]
pub struct Stop {
    /// When it got SIGTERM.
    pub at: Instant,
    /// When it was found to have ended, and how.
    pub end: Option<(Instant, ExitStatus)>,
}

/// A node, whose process is replaced when it has ended.
pub struct Node {
    pub name: String,
    pub ip: IpAddr,
    directory: PathBuf,
    child: Mutex<Option<Child>>,
    pub stops: Mutex<Vec<Stop>>,
    /// Whether the load balancer sends new connections.
    pub in_rotation: AtomicBool,
    /// Whether the process has been ready, so that it handles signals, and runs on.
    pub takes_signals: AtomicBool,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end_process();
    }
}

impl Node {
    fn settings_path(&self) -> PathBuf {
        self.directory.join(format!("{}.toml", self.name))
    }

    fn log_path(&self) -> PathBuf {
        self.directory.join(format!("{}.log", self.name))
    }

    /// Returns the log lines of all its processes that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.log_path()).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    fn start(&self) {
        let log = File::options().create(true).append(true).open(self.log_path()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_balsamturn"))
            .arg("platform")
            .env("BALSAMTURN_NODE_FILE", self.settings_path())
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        *self.child.lock().unwrap() = Some(child);
    }

    /// Returns the id of its process, unless that has ended.
    pub fn process_id(&self) -> Option<u32> {
        let mut child = self.child.lock().unwrap();
        let child = child.as_mut()?;
        matches!(child.try_wait(), Ok(None)).then(|| child.id())
    }

    fn end_process(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            // Both fail only if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn send_signal(&self, signal: Signal) {
        // The process id cannot be reused before `try_wait` has returned a status.
        if let Some(child) = &*self.child.lock().unwrap() {
            kill_process(Pid::from_child(child), signal).unwrap();
        }
    }

    /// Makes the process reload its settings; false if it is not able to.
    pub fn reload(&self) -> bool {
        let takes_signals = self.takes_signals.load(Ordering::Relaxed);
        if takes_signals {
            self.send_signal(Signal::HUP);
        }
        takes_signals
    }

    /// Sends SIGTERM, SIGKILL when the grace period has passed, and waits for the end.
    pub async fn stop(&self) {
        self.takes_signals.store(false, Ordering::Relaxed);
        let at = Instant::now();
        self.send_signal(Signal::TERM);
        self.stops.lock().unwrap().push(Stop { at, end: None });
        let mut is_killed = false;
        let status = loop {
            sleep(POLL_INTERVAL).await;
            let mut child = self.child.lock().unwrap();
            let running = child.as_mut().unwrap();
            if let Some(status) = running.try_wait().unwrap() {
                *child = None;
                break status;
            }
            if !is_killed && at.elapsed() >= GRACE {
                is_killed = true;
                running.kill().unwrap();
            }
        };
        self.stops.lock().unwrap().last_mut().unwrap().end = Some((Instant::now(), status));
    }

    /// Checks the readiness as the load balancer does; never returns.
    async fn check_readiness(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(READINESS_INTERVAL);
        let mut misses = 0;
        loop {
            ticks.tick().await;
            let has_stopped = !self.takes_signals.load(Ordering::Relaxed);
            let stops = self.stops.lock().unwrap().len();
            let request = processes::readiness_request();
            let address = processes::readiness_address(self.ip);
            let answer = callers::call_once(address, request, READINESS_INTERVAL).await;
            let is_ready =
                matches!(answer, Some((_, Outcome::Answered { ref status, .. })) if *status == 200);
            misses = if is_ready { 0 } else { misses + 1 };
            if is_ready {
                self.in_rotation.store(true, Ordering::Relaxed);
                // An answer of a process that was stopped meanwhile says nothing about the next one.
                if has_stopped && !self.is_stopping() && self.stops.lock().unwrap().len() == stops {
                    self.takes_signals.store(true, Ordering::Relaxed);
                }
            } else if misses >= MAX_MISSES {
                self.in_rotation.store(false, Ordering::Relaxed);
            }
        }
    }

    /// Whether the process got SIGTERM and runs on.
    pub fn is_stopping(&self) -> bool {
        self.stops.lock().unwrap().last().is_some_and(|stop| stop.end.is_none())
    }
}

/// An endpoint with the proxy under which nodes reach it.
pub struct Listed {
    pub endpoint: Arc<Endpoint>,
    pub link: Proxy,
}

/// The nodes, the endpoints and the store.
pub struct TestBed {
    pub store: Arc<Store>,
    pub store_link: Proxy,
    /// The endpoints of the model, then those of the plain service.
    pub endpoints: Vec<Listed>,
    pub nodes: Vec<Arc<Node>>,
    pub directory: PathBuf,
    pub version: AtomicU64,
    extra_settings: String,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Drop for TestBed {
    fn drop(&mut self) {
        self.tasks.iter().for_each(tokio::task::JoinHandle::abort);
        // The tasks hold their nodes for a moment longer, and the next test uses the same addresses.
        self.nodes.iter().for_each(|node| node.end_process());
    }
}

impl TestBed {
    /// Starts the processes and waits until all of them serve all kinds of requests.
    pub async fn start(seed: u64, nodes: usize, engines: usize, plain: usize) -> Self {
        Self::start_with(seed, nodes, engines, plain, "").await
    }

    /// Like `start`, with additional settings.
    pub async fn start_with(
        seed: u64,
        nodes: usize,
        engines: usize,
        plain: usize,
        extra_settings: &str,
    ) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let directory = directory.join(format!("platform-{}-{seed}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        let (store, store_address) = Store::start().await;
        store.put("keyed.op", "config", processes::configuration(1).as_bytes());
        let store_link = Proxy::start(store_address, seed).await.unwrap();
        let mut endpoints = Vec::new();
        for number in 0..engines + plain {
            let (service, id) = match number < engines {
                true => ("pool", format!("i-{number}")),
                false => ("ledger", format!("l-{number}")),
            };
            let endpoint = Endpoint::start(&store, service, &id).await;
            endpoint.event_interval_ms.store(EVENT_INTERVAL_MS, Ordering::Relaxed);
            endpoint.plain_run_ms.store(PLAIN_RUN_MS, Ordering::Relaxed);
            let link = Proxy::start(endpoint.address, seed + number as u64).await.unwrap();
            endpoint.list_at(link.address());
            endpoints.push(Listed { endpoint, link });
        }
        let nodes: Vec<Arc<Node>> = (0..nodes)
            .map(|number| {
                Arc::new(Node {
                    name: format!("n{number}"),
                    ip: node_ip(number),
                    directory: directory.clone(),
                    child: Mutex::default(),
                    stops: Mutex::default(),
                    in_rotation: AtomicBool::new(false),
                    takes_signals: AtomicBool::new(false),
                })
            })
            .collect();
        let tasks = nodes.iter().map(|node| tokio::spawn(node.clone().check_readiness())).collect();
        let version = AtomicU64::new(1);
        let extra_settings = extra_settings.to_owned();
        let bed =
            Self { store, store_link, endpoints, nodes, directory, version, extra_settings, tasks };
        for node in &bed.nodes {
            bed.write_settings(node, 100);
            node.start();
        }
        bed.wait_until_served().await;
        bed
    }

    /// Writes the settings file of a node; it takes effect at the next start.
    pub fn write_settings(&self, node: &Node, budget_slack: u64) {
        let seeds: Vec<IpAddr> = self.nodes.iter().take(SEED_NODES).map(|node| node.ip).collect();
        let store = self.store_link.address();
        let text = processes::settings(&node.name, node.ip, &seeds, store, budget_slack);
        fs::write(node.settings_path(), text + &self.extra_settings).unwrap();
    }

    /// Writes the next version of the configuration.
    pub fn configure(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        self.store.put("keyed.op", "config", processes::configuration(version).as_bytes());
    }

    /// Waits until every node is ready and answers a request of each kind.
    pub async fn wait_until_served(&self) {
        join_all(self.nodes.iter().map(|node| Self::wait_until_node_serves(node))).await;
    }

    async fn wait_until_node_serves(node: &Node) {
        let started = Instant::now();
        for kind in RequestKind::ALL {
            while !Self::is_served(node, kind).await {
                if started.elapsed() >= START_TIMEOUT {
                    let log = node.log_lines("");
                    let log = log[log.len().saturating_sub(20)..].join("\n");
                    panic!("{} does not serve {kind:?}: {log}", node.name);
                }
                // Each request counts as demand, by which the planner sizes the models.
                sleep(Duration::from_millis(300)).await;
            }
        }
    }

    async fn is_served(node: &Node, kind: RequestKind) -> bool {
        static PROBES: AtomicU32 = AtomicU32::new(0);
        let id = format!("probe-{}", PROBES.fetch_add(1, Ordering::Relaxed));
        let address = processes::callers_address(node.ip);
        let request = processes::request(kind, &id);
        let answer = callers::call_once(address, request, Duration::from_secs(5)).await;
        let is_answered =
            matches!(answer, Some((_, Outcome::Answered { ref status, .. })) if *status == 200);
        is_answered && node.takes_signals.load(Ordering::Relaxed)
    }

    /// Stops a node as planned and starts it again.
    pub async fn restart(node: Arc<Node>) {
        node.stop().await;
        node.start();
    }
}

/// Returns an address for a node; tests that run concurrently use different ones.
fn node_ip(number: usize) -> IpAddr {
    let run = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, 10 + (run % 200) as u8, (run / 200) as u8, number as u8 + 1))
}
