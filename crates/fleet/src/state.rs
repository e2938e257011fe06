//! What a node knows about the fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use balsam_route::retry::RetryBudget;
use balsam_types::DataCentreName;
use balsam_types::PoolName;

use crate::configuration::Configuration;
use crate::configuration::Engine;
use crate::demand::Demand;
use crate::directory::Directory;
use crate::event::Arrival;
use crate::event::PeerLoad;
use crate::event::PeerReport;
use crate::event::Ticket;
use crate::lease::Lease;
use crate::load::LoadBook;
use crate::planner::Planner;
use crate::reach::Reach;
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
}

/// Another node, as its last report shows it.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub heard_ms: u64,
    pub data_centre: DataCentreName,
}

/// The right to plan lasts for this long without a renewal: longer than a slow answer of the store,
/// and short against the time in which lost groups pile up.
const LEASE_TTL_MS: u64 = 1_800;

/// Pause between two renewals.
const LEASE_RENEW_MS: u64 = 600;

/// Part of the retry budget that is used: nodes disagree for a while on how many they are.
const BUDGET_SHARE: f64 = 0.6;

/// What a node knows about the fleet; changed by [`crate::reduce`] only.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// The settings.
    pub settings: FleetSettings,
    /// The configuration in force, once one was read.
    pub configuration: Option<Arc<Configuration>>,
    /// The list of endpoints.
    pub directory: Directory,
    /// Data centres that the operators took out.
    pub evacuated: BTreeSet<DataCentreName>,
    /// The endpoints that take requests.
    pub serving: Serving,
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
    pub(crate) kinds: BTreeMap<Ticket, (Kind, Arrival)>,
}

impl Fleet {
    /// Creates the state of a node that knows nothing yet.
    pub fn new(settings: FleetSettings) -> Self {
        Self {
            settings,
            configuration: None,
            directory: Directory::default(),
            evacuated: BTreeSet::new(),
            serving: Serving::default(),
            loads: LoadBook::default(),
            waiting: Waiting::default(),
            demand: Demand::default(),
            reach: Reach::default(),
            suspicions: Suspicions::default(),
            lease: Lease::new(LEASE_TTL_MS, LEASE_RENEW_MS),
            planner: Planner::default(),
            budgets: BTreeMap::new(),
            peers: BTreeMap::new(),
            kinds: BTreeMap::new(),
        }
    }

    /// Returns the nodes that are live, this one included.
    pub fn nodes(&self, now_ms: u64) -> u32 {
        let live = self.peers.values().filter(|peer| now_ms < peer.heard_ms + PEER_LIVE_MS);
        1 + live.count() as u32
    }

    /// Returns the time for which, on average, the load from other nodes is not known.
    pub(crate) fn blind_ms(&self, now_ms: u64) -> f64 {
        let ages = self.peers.values().map(|peer| now_ms.saturating_sub(peer.heard_ms));
        let live: Vec<u64> = ages.filter(|age_ms| *age_ms < PEER_LIVE_MS).collect();
        live.iter().sum::<u64>() as f64 / (live.len() + 1) as f64
    }

    /// Returns this node's place among the live nodes of its data centre, from 0.
    ///
    /// Work that one node can do for its data centre falls to the first ones, so that its cost does
    /// not grow with the number of nodes; a node that hears no other one has place 0.
    pub fn place(&self, now_ms: u64) -> usize {
        let before = self.peers.iter().filter(|(name, peer)| {
            now_ms < peer.heard_ms + PEER_LIVE_MS
                && peer.data_centre == self.settings.data_centre
                && ***name < *self.settings.node
        });
        before.count()
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
            version: self.version(),
            lease_end: self.lease.end(),
            lease_released: self.lease.is_released(),
            loads: loads.collect(),
            demand: self.demand.own(now_ms),
            lost: self.suspicions.lost().collect(),
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
