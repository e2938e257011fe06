//! State that a node keeps about the fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use balsam_route::retry::RetryBudget;
use balsam_types::DataCentreName;
use balsam_types::ModelName;
use balsam_types::PoolName;
use balsam_types::VmName;

use crate::configuration::Configuration;
use crate::configuration::Engine;
use crate::cost::LearnedCosts;
use crate::demand::Demand;
use crate::directory::Directory;
use crate::event::Arrival;
use crate::event::AttemptId;
use crate::event::HeadReport;
use crate::event::LostGroup;
use crate::event::PeerReport;
use crate::event::Scope;
use crate::forming::FormingGroups;
use crate::head_evidence;
use crate::head_evidence::EVIDENCE_TTL_MS;
use crate::head_evidence::HEAD_WITNESSES_PER_DATA_CENTRE;
use crate::head_evidence::HeadInquiries;
use crate::head_evidence::HeadVerdict;
use crate::head_evidence::NodeCount;
use crate::head_evidence::ReceivedReport;
use crate::head_evidence::SILENT_NODE_RETENTION_MS;
use crate::hidden_load::HiddenLoad;
use crate::lease::Lease;
use crate::load::LoadTable;
use crate::operators::OperatorsView;
use crate::operators::Watch;
use crate::own_pauses::OwnPauses;
use crate::pace::Paces;
use crate::pauses::Pauses;
use crate::planner::Planner;
use crate::position::StorePosition;
use crate::quarantine::Quarantine;
use crate::reachability::Reachability;
use crate::serving::RequestKind;
use crate::serving::Serving;
use crate::suspicion::Suspicions;
use crate::waiting::Waiting;

/// A node that reported within this time counts as live.
const PEER_LIVE_MS: u64 = 2_000;

/// Settings of the node, including the limits that it shares with other nodes.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// The name of this node.
    pub node: Arc<str>,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Retries that a pool may get per request, summed over all nodes.
    pub retry_ratio: f64,
    /// Additional retries that a pool may get, summed over all nodes.
    pub retry_slack: f64,
    /// Maximum time for which the node may lack confirmation that the operators changed nothing.
    pub operators_max_age_ms: u64,
    /// Which decisions under load the deployment asks for.
    pub load_policy: LoadPolicy,
}

/// Decisions under load that a deployment asks for; see `docs/decisions/0010-admission.md` and
/// `docs/design/request-cost.md`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadPolicy {
    /// Queued requests are ordered, shared out and refused by the work ahead of them, rather than by
    /// their number.
    pub admits_by_work: bool,
    /// Requests are placed by what they are expected to cost and by the work that each endpoint
    /// still has to do.
    pub places_by_cost: bool,
    /// Endpoints that reset connections, and those that are not as listed, are avoided for longer.
    pub avoids_failing_endpoints: bool,
}

/// Another node, or a data centre known by its summary, according to its last report.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub heard_ms: u64,
    pub data_centre: DataCentreName,
    pub scope: Scope,
    pub has_store: bool,
    /// The version of its configuration.
    pub version: u64,
    /// The position up to which it knows the operators' topic.
    pub operators_position: StorePosition,
    pub lost: Vec<LostGroup>,
    pub doubted_heads: Vec<VmName>,
    pub heads: Vec<HeadReport>,
}

impl Peer {
    fn is_live(&self, now_ms: u64) -> bool {
        now_ms < self.heard_ms + PEER_LIVE_MS
    }

    /// Returns the number of nodes that the report covers and the age of its figures.
    fn node_count_and_age_ms(&self, now_ms: u64) -> (u32, u64) {
        let heard_ms = now_ms.saturating_sub(self.heard_ms);
        match self.scope {
            Scope::Node => (1, heard_ms),
            Scope::DataCentre { nodes, age_ms } => (nodes, heard_ms.saturating_add(age_ms)),
        }
    }
}

/// Duration of the planner lease without renewal: longer than a slow answer of the store, and
/// short compared with the time in which lost groups accumulate.
const LEASE_TTL_MS: u64 = 1_800;

/// Interval between two renewals.
const LEASE_RENEW_MS: u64 = 600;

/// Fraction of the retry budget that is used: nodes may temporarily disagree on how many they are.
const BUDGET_SHARE: f64 = 0.6;

/// A node that got no answer from the store does no work for others for this long. The store may
/// reject some of a node's calls for seconds; treating each answer in between as a recovery moved
/// the work back and forth, and a drain was noticed 2.2 s late.
const STORE_RECOVERY_MS: u64 = 3_000;

/// How long a starting node waits for a report of another node before it serves from a store that
/// has just come back from a copy. A node without seeds finds the others in the store after 500 ms
/// and hears them 100 ms later.
const FIRST_REPORT_WAIT_MS: u64 = 1_000;

/// Number of nodes per data centre that probe an endpoint when another node found it silent: one of
/// them may have stopped itself.
const WITNESSES_PER_DATA_CENTRE: usize = 2;

/// Time until a node learns of a request that another node sent and announced.
const SENT_NOTICE_DELAY_MS: f64 = 10.0;

/// Time that groups need to read prompts that other nodes sent and this node does not know of.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct UnreportedWork {
    /// From nodes that announce each request.
    pub direct_ms: f64,
    /// From data centres that are known only by their summary.
    pub summarised_ms: f64,
}

impl UnreportedWork {
    pub fn total_ms(self) -> f64 {
        self.direct_ms + self.summarised_ms
    }
}

/// Ranks nodes for an endpoint by hash: the order differs between endpoints and is the same at
/// every node.
pub(crate) fn hash_rank(node: &str, vm: &VmName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (node, vm).hash(&mut hasher);
    hasher.finish()
}

/// State of the fleet as known to a node; changed only by [`crate::reduce`].
#[derive(Debug, Clone)]
pub struct Fleet {
    /// The settings.
    pub settings: FleetSettings,
    /// The configuration in force, once one was read.
    pub configuration: Option<Arc<Configuration>>,
    /// The list of endpoints.
    pub directory: Directory,
    /// Which data centres the operators evacuated.
    pub operators: OperatorsView,
    /// The endpoints that take requests.
    pub serving: Serving,
    /// Endpoints that asked for no requests for a while.
    pub pauses: Pauses,
    /// Times in which this node itself did not run.
    pub own_pauses: OwnPauses,
    /// The load of each endpoint.
    pub loads: LoadTable,
    /// Queued requests.
    pub waiting: Waiting,
    /// What requests cost, learned from their answers.
    pub costs: LearnedCosts,
    /// Which endpoints are slower than configured.
    pub paces: Paces,
    /// Work requested by callers.
    pub demand: Demand,
    /// Which data centres cannot be reached.
    pub reachability: Reachability,
    /// Groups that are suspected or known to be lost.
    pub suspicions: Suspicions,
    /// Prompt segments that crash endpoints.
    pub quarantine: Quarantine,
    /// The planner lease.
    pub lease: Lease,
    /// Forms and ends groups by orders to endpoints.
    pub planner: Planner,
    /// Heads that the planning node asks about.
    pub(crate) inquiries: HeadInquiries,
    pub(crate) hidden_load: HiddenLoad,
    pub(crate) forming: FormingGroups,
    pub(crate) budgets: BTreeMap<PoolName, RetryBudget>,
    pub(crate) peers: BTreeMap<Arc<str>, Peer>,
    pub(crate) store_lost_ms: Option<u64>,
    pub(crate) dispatched: BTreeMap<AttemptId, Dispatched>,
}

/// A request that was sent to an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Dispatched {
    pub kind: RequestKind,
    pub vm: VmName,
    pub arrival: Arrival,
    /// Whether the endpoint has survived the beginning of the answer.
    pub has_continued: bool,
}

impl Fleet {
    /// Creates the initial state of a node.
    pub fn new(settings: FleetSettings) -> Self {
        Self {
            settings,
            configuration: None,
            directory: Directory::default(),
            operators: OperatorsView::default(),
            serving: Serving::default(),
            pauses: Pauses::default(),
            own_pauses: OwnPauses::default(),
            loads: LoadTable::default(),
            waiting: Waiting::default(),
            costs: LearnedCosts::default(),
            paces: Paces::default(),
            demand: Demand::default(),
            reachability: Reachability::default(),
            suspicions: Suspicions::default(),
            quarantine: Quarantine::default(),
            lease: Lease::new(LEASE_TTL_MS, LEASE_RENEW_MS),
            planner: Planner::default(),
            inquiries: HeadInquiries::default(),
            hidden_load: HiddenLoad::default(),
            forming: FormingGroups::default(),
            budgets: BTreeMap::new(),
            peers: BTreeMap::new(),
            store_lost_ms: None,
            dispatched: BTreeMap::new(),
        }
    }

    /// Returns the number of live nodes, including this one.
    pub fn nodes(&self, now_ms: u64) -> u32 {
        let live = self.peers.values().filter(|peer| peer.is_live(now_ms));
        live.map(|peer| peer.node_count_and_age_ms(now_ms).0).fold(1, u32::saturating_add)
    }

    /// Returns the work that other nodes sent to a model and that is not known here yet.
    pub(crate) fn unreported_work(&self, now_ms: u64, model: &ModelName) -> UnreportedWork {
        let mut unreported_work = UnreportedWork::default();
        for (name, peer) in self.peers.iter().filter(|(_, peer)| peer.is_live(now_ms)) {
            let reading = self.demand.of_peer(now_ms, name, model).reading;
            match peer.scope {
                Scope::Node => unreported_work.direct_ms += reading * SENT_NOTICE_DELAY_MS,
                Scope::DataCentre { .. } => {
                    unreported_work.summarised_ms +=
                        reading * peer.node_count_and_age_ms(now_ms).1 as f64;
                }
            }
        }
        unreported_work
    }

    /// Returns this node's rank among the live nodes of its data centre, starting at 0.
    ///
    /// Work that one node can do for its whole data centre is done by the nodes of lowest rank, so
    /// that its cost does not grow with the number of nodes; a node that hears from no other node
    /// has rank 0. Nodes that get no answer from the store come last, as they cannot do that work.
    pub fn rank_in_data_centre(&self, now_ms: u64) -> usize {
        let own = (!self.has_store(now_ms), &*self.settings.node);
        self.local_peers(now_ms).filter(|(name, peer)| (!peer.has_store, &***name) < own).count()
    }

    /// Whether this node probes an endpoint on behalf of its data centre.
    ///
    /// The planning node always does: it forms a replacement group only on its own evidence.
    pub(crate) fn is_witness(&self, now_ms: u64, vm: &VmName) -> bool {
        self.planner.holds_lease(now_ms)
            || self.is_among_first(now_ms, vm, WITNESSES_PER_DATA_CENTRE)
    }

    /// Whether this node probes a head that the planning node asks about.
    pub(crate) fn is_head_witness(&self, now_ms: u64, head: &VmName) -> bool {
        self.is_among_first(now_ms, head, HEAD_WITNESSES_PER_DATA_CENTRE as usize)
    }

    /// Whether this node is among the first live nodes of its data centre in their order for an
    /// endpoint.
    fn is_among_first(&self, now_ms: u64, vm: &VmName, count: usize) -> bool {
        let own = hash_rank(&self.settings.node, vm);
        let lower_ranked = self.local_peers(now_ms).filter(|(name, _)| hash_rank(name, vm) < own);
        lower_ranked.take(count).count() < count
    }

    /// Returns what this node knows of the heads that the planning node asks about.
    fn head_reports(&self, now_ms: u64) -> Vec<HeadReport> {
        self.inquiries.reports(now_ms, |head| {
            let load = self.loads.get(head).filter(|load| load.in_flight > 0)?;
            Some(load.progress_ms.load(Ordering::Relaxed))
        })
    }

    /// Returns what all nodes together know of the heads that this node asks about.
    pub(crate) fn head_verdicts(&self, now_ms: u64) -> BTreeMap<VmName, HeadVerdict> {
        let doubted_heads = self.planner.doubted_heads();
        if doubted_heads.is_empty() {
            return BTreeMap::new();
        }
        let own = self.head_reports(now_ms);
        let verdict = |head: &VmName| {
            let mut reports: Vec<ReceivedReport<'_>> =
                own.iter().map(|report| (&self.settings.data_centre, 0, report)).collect();
            for peer in self.peers.values().filter(|p| now_ms < p.heard_ms + EVIDENCE_TTL_MS) {
                let age_ms = now_ms.saturating_sub(peer.heard_ms);
                reports.extend(peer.heads.iter().map(|r| (&peer.data_centre, age_ms, r)));
            }
            reports.retain(|(.., report)| report.head == *head);
            head_evidence::conclude(&self.node_counts(now_ms), &reports)
        };
        doubted_heads.iter().map(|head| (head.clone(), verdict(head))).collect()
    }

    /// Returns the number of nodes of each data centre, including this one.
    fn node_counts(&self, now_ms: u64) -> BTreeMap<DataCentreName, NodeCount> {
        let own = NodeCount { live: 1 };
        let mut counts = BTreeMap::from([(self.settings.data_centre.clone(), own)]);
        let is_known = |peer: &&Peer| now_ms < peer.heard_ms + SILENT_NODE_RETENTION_MS;
        for peer in self.peers.values().filter(is_known) {
            let (nodes, _) = peer.node_count_and_age_ms(now_ms);
            let count = counts.entry(peer.data_centre.clone()).or_default();
            if peer.is_live(now_ms) {
                count.live = count.live.saturating_add(nodes);
            }
        }
        counts
    }

    /// Returns the other live nodes of this node's data centre.
    fn local_peers(&self, now_ms: u64) -> impl Iterator<Item = (&Arc<str>, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| {
            peer.is_live(now_ms)
                && peer.scope == Scope::Node
                && peer.data_centre == self.settings.data_centre
        })
    }

    /// Whether this node holds the planner lease without a list to plan on, while another node gets
    /// answers from the store.
    pub fn should_hand_over_planning(&self, now_ms: u64) -> bool {
        let mut live = self.peers.values().filter(|peer| peer.is_live(now_ms));
        self.planner.lacks_list(now_ms, &self.directory) && live.any(|peer| peer.has_store)
    }

    /// Whether no call of this node to the store failed within `STORE_RECOVERY_MS`.
    fn has_store(&self, now_ms: u64) -> bool {
        self.store_lost_ms.is_none_or(|at_ms| now_ms >= at_ms + STORE_RECOVERY_MS)
    }

    /// Whether a live summary of a data centre is known.
    pub(crate) fn has_summary(&self, now_ms: u64, data_centre: &DataCentreName) -> bool {
        self.peers.get(data_centre.as_str()).is_some_and(|peer| peer.is_live(now_ms))
    }

    /// Returns the version of the configuration in force; zero before the first.
    pub fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.version)
    }

    /// Returns the pool of model engines and its engine settings.
    pub fn engine_pool(&self) -> Option<(&PoolName, &Engine)> {
        let pools = &self.configuration.as_ref()?.pools;
        pools.values().find_map(|pool| Some((&pool.name, pool.engine.as_ref()?)))
    }

    /// Whether the node can serve requests.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        self.configuration_to_serve(now_ms).is_some() && self.directory.has_been_read()
    }

    /// Returns the configuration for new requests; `None` before the first, and at a node that
    /// started from a copy of the store while a newer one is known to be in force.
    ///
    /// A configuration from a copy would refuse what the newer one allows, and run what it refuses.
    /// Neither is the case if the caller is sent to a node that has the newer one. A node that
    /// started before the restore goes on: one node that alone has a newer version must not stop
    /// all others.
    pub fn configuration_to_serve(&self, now_ms: u64) -> Option<&Arc<Configuration>> {
        let awaits_reports = self.operators.may_lack_records(now_ms) && {
            let has_waited = self.operators.first_read_age_ms(now_ms) >= Some(FIRST_REPORT_WAIT_MS);
            !has_waited && !self.peers.values().any(|peer| peer.is_live(now_ms))
        };
        let may_serve = !awaits_reports && self.lost_version(now_ms).is_none();
        self.configuration.as_ref().filter(|_| may_serve)
    }

    /// Returns the newest version that a live node has in force and that this node's reads of the
    /// operators' topic did not find, although they went as far as that node's.
    ///
    /// The operators may not write that version again, so it counts for as long as an evacuation
    /// does that the store lacks; see [`crate::operators::RETENTION_MS`].
    pub fn lost_version(&self, now_ms: u64) -> Option<u64> {
        let lost = self.newer_peers(now_ms).filter(|peer| self.has_read_as_far_as(peer));
        let lost = lost.map(|peer| peer.version).max();
        lost.filter(|_| self.operators.may_lack_records(now_ms))
    }

    /// Whether a live node has a newer version in force that a read of the operators' topic may
    /// return.
    pub fn may_read_newer_version(&self, now_ms: u64) -> bool {
        self.newer_peers(now_ms).any(|peer| !self.has_read_as_far_as(peer))
    }

    /// Returns the live nodes with a newer configuration.
    fn newer_peers(&self, now_ms: u64) -> impl Iterator<Item = &Peer> {
        let version = self.version();
        self.peers.values().filter(move |peer| peer.is_live(now_ms) && peer.version > version)
    }

    /// Whether the store came back from a copy and this node's own reads of it went as far as the
    /// position of another node.
    fn has_read_as_far_as(&self, peer: &Peer) -> bool {
        let read_end = self.operators.read_end();
        read_end.is_restored() && peer.operators_position <= read_end
    }

    /// Returns the report that is sent to other nodes.
    pub fn report(&self, now_ms: u64) -> PeerReport {
        let loads = self.loads.own().map(|(vm, load)| load.own_load(vm));
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
            doubted_heads: self.planner.doubted_heads(),
            heads: self.head_reports(now_ms),
            operators: self.operators.report(now_ms),
            quarantine: self.quarantine.report(now_ms),
        }
    }

    /// Returns how this node reads the operators' topic.
    pub fn watch(&self, now_ms: u64) -> Watch {
        Watch::for_node_rank(self.rank_in_data_centre(now_ms), self.settings.operators_max_age_ms)
    }

    /// Returns the time until this node must read the operators' topic again; zero if it is due.
    pub fn operators_due_ms(&self, now_ms: u64) -> u64 {
        let age_ms = self.operators.age_ms(now_ms).unwrap_or(0);
        self.watch(now_ms).max_age_ms.saturating_sub(age_ms)
    }

    /// Returns the summary of this data centre that is sent to nodes of other data centres.
    pub fn summary(&self, now_ms: u64) -> PeerReport {
        let local_nodes: BTreeSet<&Arc<str>> =
            self.local_peers(now_ms).map(|(name, _)| name).collect();
        let mut lost: Vec<LostGroup> = self.suspicions.lost(now_ms).collect();
        for reported in self.local_peers(now_ms).flat_map(|(_, peer)| &peer.lost) {
            if !lost.contains(reported) {
                lost.push(reported.clone());
            }
        }
        let mut doubted_heads = self.planner.doubted_heads();
        doubted_heads
            .extend(self.local_peers(now_ms).flat_map(|(_, peer)| peer.doubted_heads.clone()));
        doubted_heads.sort();
        doubted_heads.dedup();
        let ages_ms = self.local_peers(now_ms).map(|(_, peer)| now_ms - peer.heard_ms);
        let age_ms = ages_ms.sum::<u64>() / (local_nodes.len() as u64 + 1);
        PeerReport {
            node: Arc::from(self.settings.data_centre.as_str()),
            scope: Scope::DataCentre { nodes: local_nodes.len() as u32 + 1, age_ms },
            loads: self.loads.sum_over(now_ms, |node| local_nodes.contains(node)),
            demand: self.demand.sum_over(now_ms, |node| local_nodes.contains(node)),
            lost,
            doubted_heads,
            heads: self.head_reports_of_data_centre(now_ms),
            ..self.report(now_ms)
        }
    }

    /// Returns what the nodes of this data centre together know of the heads that the planning node
    /// asks about.
    fn head_reports_of_data_centre(&self, now_ms: u64) -> Vec<HeadReport> {
        let mut sums: BTreeMap<VmName, HeadReport> =
            self.head_reports(now_ms).into_iter().map(|r| (r.head.clone(), r)).collect();
        let is_recent = |peer: &&Peer| now_ms < peer.heard_ms + EVIDENCE_TTL_MS;
        for peer in self.local_peers(now_ms).map(|(_, peer)| peer).filter(is_recent) {
            let heard_age_ms = now_ms.saturating_sub(peer.heard_ms);
            for report in &peer.heads {
                let sum = sums.entry(report.head.clone()).or_insert_with(|| HeadReport {
                    head: report.head.clone(),
                    answered_age_ms: None,
                    unanswered_nodes: 0,
                    is_refused: false,
                });
                let age_ms = report.answered_age_ms.map(|age| age.saturating_add(heard_age_ms));
                sum.answered_age_ms = match (sum.answered_age_ms, age_ms) {
                    (Some(one), Some(other)) => Some(one.min(other)),
                    (one, other) => one.or(other),
                };
                sum.unanswered_nodes = sum.unanswered_nodes.saturating_add(report.unanswered_nodes);
                sum.is_refused |= report.is_refused;
            }
        }
        sums.into_values().collect()
    }

    /// Returns the retry budget of a pool.
    pub(crate) fn budget(&mut self, now_ms: u64, pool: &PoolName) -> &mut RetryBudget {
        let constant = self.settings.retry_slack * BUDGET_SHARE / f64::from(self.nodes(now_ms));
        let share = self.settings.retry_ratio * BUDGET_SHARE;
        let fresh = || RetryBudget::new(share, 0);
        let budget = self.budgets.entry(pool.clone()).or_insert_with(fresh);
        budget.set_constant(constant);
        budget
    }
}
