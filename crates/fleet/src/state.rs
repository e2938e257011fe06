//! What a node knows about the fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use balsam_route::retry::RetryBudget;
use balsam_types::DataCentreName;
use balsam_types::ModelName;
use balsam_types::PoolName;
use balsam_types::VmName;

use crate::configuration::Configuration;
use crate::configuration::Engine;
use crate::demand::Demand;
use crate::directory::Directory;
use crate::event::Arrival;
use crate::event::LostGroup;
use crate::event::PeerLoad;
use crate::event::PeerReport;
use crate::event::Scope;
use crate::event::Ticket;
use crate::lease::Lease;
use crate::load::LoadBook;
use crate::operators::OperatorsView;
use crate::operators::Watch;
use crate::pauses::Pauses;
use crate::planner::Planner;
use crate::reachability::Reach;
use crate::serving::Kind;
use crate::serving::Serving;
use crate::suspicion::Suspicions;
use crate::waiting::Waiting;

/// A node that reported within this time counts as live.
const PEER_LIVE_MS: u64 = 2_000;

/// Figures of the node and of the promises that it keeps with others.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// The name of this node.
    pub node: Arc<str>,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Repeated attempts that a pool may get for each request, summed over all nodes.
    pub retry_ratio: f64,
    /// Repeated attempts that a pool may get besides, summed over all nodes.
    pub retry_slack: f64,
    /// How long the node may go without knowing whether the operators changed anything.
    pub operators_max_age_ms: u64,
}

/// Another node, or the rest of a data centre, as its last report shows it.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub heard_ms: u64,
    pub data_centre: DataCentreName,
    pub scope: Scope,
    pub has_store: bool,
    pub lost: Vec<LostGroup>,
}

impl Peer {
    fn is_live(&self, now_ms: u64) -> bool {
        now_ms < self.heard_ms + PEER_LIVE_MS
    }

    /// Returns the nodes whose figures it gives, and how old these are.
    fn figures(&self, now_ms: u64) -> (u32, u64) {
        let heard_ms = now_ms.saturating_sub(self.heard_ms);
        match self.scope {
            Scope::Node => (1, heard_ms),
            Scope::DataCentre { nodes, age_ms } => (nodes, heard_ms + age_ms),
        }
    }
}

/// The right to plan lasts for this long without a renewal: longer than a slow answer of the store,
/// and short against the time in which lost groups pile up.
const LEASE_TTL_MS: u64 = 1_800;

/// Pause between two renewals.
const LEASE_RENEW_MS: u64 = 600;

/// Part of the retry budget that is used: nodes disagree for a while on how many they are.
const BUDGET_SHARE: f64 = 0.6;

/// A node that the store left without an answer does no work for others for this long. The store
/// turns some of a node's calls away for seconds; taking each answer between them for its return
/// moved the work back and forth, and a drain was known 2.2 s late (cmg-ruteo, scale-2).
const STORE_TRUST_MS: u64 = 3_000;

/// Nodes of a data centre that ask an endpoint whether it lives when another node found it silent:
/// one may have stopped itself.
const WITNESSES: usize = 2;

/// Time until a node knows of a request that another one sent and told it of.
const SENT_DELAY_MS: f64 = 10.0;

/// Time that groups need to read prompts which other nodes sent and this one does not know of.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Unseen {
    /// Of nodes that tell of each request.
    pub single_ms: f64,
    /// Of data centres that are known by their summary.
    pub summed_ms: f64,
}

impl Unseen {
    pub fn total_ms(self) -> f64 {
        self.single_ms + self.summed_ms
    }
}

/// Orders the nodes before each endpoint in another way, the same at every node.
pub(crate) fn rank_of(node: &str, vm: &VmName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (node, vm).hash(&mut hasher);
    hasher.finish()
}

/// What a node knows about the fleet; changed by [`crate::reduce`] only.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// The settings.
    pub settings: FleetSettings,
    /// The configuration in force, once one was read.
    pub configuration: Option<Arc<Configuration>>,
    /// The list of endpoints.
    pub directory: Directory,
    /// What the operators took out.
    pub operators: OperatorsView,
    /// The endpoints that take requests.
    pub serving: Serving,
    /// Endpoints that want nothing for a while.
    pub pauses: Pauses,
    /// The load of each endpoint.
    pub loads: LoadBook,
    /// Requests that wait.
    pub waiting: Waiting,
    /// The work that callers bring.
    pub demand: Demand,
    /// Data centres that cannot be reached.
    pub reach: Reach,
    /// Groups that stand still.
    pub suspicions: Suspicions,
    /// The right to give orders.
    pub lease: Lease,
    /// The orders to endpoints.
    pub planner: Planner,
    pub(crate) budgets: BTreeMap<PoolName, RetryBudget>,
    pub(crate) peers: BTreeMap<Arc<str>, Peer>,
    pub(crate) store_lost_ms: Option<u64>,
    pub(crate) kinds: BTreeMap<Ticket, (Kind, Arrival)>,
}

impl Fleet {
    /// Creates the state of a node that knows nothing yet.
    pub fn new(settings: FleetSettings) -> Self {
        Self {
            settings,
            configuration: None,
            directory: Directory::default(),
            operators: OperatorsView::default(),
            serving: Serving::default(),
            pauses: Pauses::default(),
            loads: LoadBook::default(),
            waiting: Waiting::default(),
            demand: Demand::default(),
            reach: Reach::default(),
            suspicions: Suspicions::default(),
            lease: Lease::new(LEASE_TTL_MS, LEASE_RENEW_MS),
            planner: Planner::default(),
            budgets: BTreeMap::new(),
            peers: BTreeMap::new(),
            store_lost_ms: None,
            kinds: BTreeMap::new(),
        }
    }

    /// Returns the nodes that are live, this one included.
    pub fn nodes(&self, now_ms: u64) -> u32 {
        let live = self.peers.values().filter(|peer| peer.is_live(now_ms));
        1 + live.map(|peer| peer.figures(now_ms).0).sum::<u32>()
    }

    /// Returns the work of other nodes at a model that is not known here yet.
    pub(crate) fn unseen(&self, now_ms: u64, model: &ModelName) -> Unseen {
        let mut unseen = Unseen::default();
        for (name, peer) in self.peers.iter().filter(|(_, peer)| peer.is_live(now_ms)) {
            let reading = self.demand.of_peer(now_ms, name, model).reading;
            match peer.scope {
                Scope::Node => unseen.single_ms += reading * SENT_DELAY_MS,
                Scope::DataCentre { .. } => {
                    unseen.summed_ms += reading * peer.figures(now_ms).1 as f64;
                }
            }
        }
        unseen
    }

    /// Returns this node's place among the live nodes of its data centre, from 0.
    ///
    /// Work that one node can do for its data centre falls to the first ones, so that its cost does
    /// not grow with the number of nodes; a node that hears no other one has place 0. Nodes that the
    /// store turns away come last, as they cannot do that work.
    pub fn place(&self, now_ms: u64) -> usize {
        let own = (!self.has_store(now_ms), &*self.settings.node);
        self.near_peers(now_ms).filter(|(name, peer)| (!peer.has_store, &***name) < own).count()
    }

    /// Whether this node finds out for its data centre if an endpoint lives.
    ///
    /// The node that plans does as well: it orders a new group only on evidence of its own.
    pub(crate) fn is_witness(&self, now_ms: u64, vm: &VmName) -> bool {
        let own = rank_of(&self.settings.node, vm);
        let before = self.near_peers(now_ms).filter(|(name, _)| rank_of(name, vm) < own);
        self.planner.leads(now_ms) || before.take(WITNESSES).count() < WITNESSES
    }

    /// Returns the live nodes of the own data centre besides this one.
    fn near_peers(&self, now_ms: u64) -> impl Iterator<Item = (&Arc<str>, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| {
            peer.is_live(now_ms)
                && peer.scope == Scope::Node
                && peer.data_centre == self.settings.data_centre
        })
    }

    /// Whether the store has answered this node for a while.
    fn has_store(&self, now_ms: u64) -> bool {
        self.store_lost_ms.is_none_or(|at_ms| now_ms >= at_ms + STORE_TRUST_MS)
    }

    /// Whether the summary of a data centre is known.
    pub(crate) fn has_summary(&self, now_ms: u64, data_centre: &DataCentreName) -> bool {
        self.peers.get(data_centre.as_str()).is_some_and(|peer| peer.is_live(now_ms))
    }

    /// Returns the version of the configuration in force; zero before the first.
    pub fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.version)
    }

    /// Returns the pool with engines and their figures.
    pub fn engine_pool(&self) -> Option<(&PoolName, &Engine)> {
        let pools = &self.configuration.as_ref()?.pools;
        pools.values().find_map(|pool| Some((&pool.name, pool.engine.as_ref()?)))
    }

    /// Whether the node can serve requests.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.directory.is_known()
    }

    /// Returns what other nodes are told.
    pub fn report(&self, now_ms: u64) -> PeerReport {
        let loads = self.loads.own().map(|(vm, load)| PeerLoad {
            vm: vm.clone(),
            in_flight: load.in_flight,
            unread_tokens: load.unread_tokens,
        });
        PeerReport {
            node: self.settings.node.clone(),
            data_centre: self.settings.data_centre.clone(),
            scope: Scope::Node,
            has_store: self.has_store(now_ms),
            version: self.version(),
            lease_end: self.lease.end(),
            lease_released: self.lease.is_released(),
            loads: loads.collect(),
            demand: self.demand.own(now_ms),
            lost: self.suspicions.lost(now_ms).collect(),
            operators: self.operators.report(now_ms),
        }
    }

    /// Returns how this node reads the operators' topic.
    pub fn watch(&self, now_ms: u64) -> Watch {
        Watch::of_place(self.place(now_ms), self.settings.operators_max_age_ms)
    }

    /// Returns the time until this node has to ask what the operators wrote; zero if it is due.
    pub fn operators_due_ms(&self, now_ms: u64) -> u64 {
        let age_ms = self.operators.age_ms(now_ms).unwrap_or(0);
        self.watch(now_ms).max_age_ms.saturating_sub(age_ms)
    }

    /// Returns what the nodes of other data centres are told of this one: the summary of its nodes.
    pub fn summary(&self, now_ms: u64) -> PeerReport {
        let near: BTreeSet<&Arc<str>> = self.near_peers(now_ms).map(|(name, _)| name).collect();
        let mut lost: Vec<LostGroup> = self.suspicions.lost(now_ms).collect();
        for reported in self.near_peers(now_ms).flat_map(|(_, peer)| &peer.lost) {
            if !lost.contains(reported) {
                lost.push(reported.clone());
            }
        }
        let ages_ms = self.near_peers(now_ms).map(|(_, peer)| now_ms - peer.heard_ms);
        let age_ms = ages_ms.sum::<u64>() / (near.len() as u64 + 1);
        PeerReport {
            node: Arc::from(self.settings.data_centre.as_str()),
            scope: Scope::DataCentre { nodes: near.len() as u32 + 1, age_ms },
            loads: self.loads.sums(now_ms, |node| near.contains(node)),
            demand: self.demand.sums(now_ms, |node| near.contains(node)),
            lost,
            ..self.report(now_ms)
        }
    }

    /// Returns the budget of repeated attempts at a pool.
    pub(crate) fn budget(&mut self, now_ms: u64, pool: &PoolName) -> &mut RetryBudget {
        let constant = self.settings.retry_slack * BUDGET_SHARE / f64::from(self.nodes(now_ms));
        let share = self.settings.retry_ratio * BUDGET_SHARE;
        let fresh = || RetryBudget::new(share, 0);
        let budget = self.budgets.entry(pool.clone()).or_insert_with(fresh);
        budget.set_constant(constant);
        budget
    }
}
