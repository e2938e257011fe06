//! The state of an entry node, which the decision modules read and change.
//!
//! It contains no decision logic, so that those modules depend on the state and not vice versa.

mod claim_waiters;
mod log_position;
mod retired_groups;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use balsam_peer::DataCentreSummary;
use balsam_peer::Member;
use balsam_peer::MemberState;
use balsam_peer::StopSubject;
use balsam_state::Limits;
use balsam_state::Replicated;
use balsam_types::Author;
use balsam_types::DataCentreName;
use balsam_types::GroupName;
use balsam_types::Incarnation;
use balsam_types::Offset;
use balsam_types::PlanName;
use balsam_types::PoolName;
use balsam_types::Record;
use balsam_types::RecordId;
use balsam_types::RecordKind;
use balsam_types::RegionName;
use balsam_types::VmInfo;
use balsam_types::VmName;
use balsam_types::VmRole;
use balsam_types::VmState;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub use self::claim_waiters::ClaimWaiters;
pub(crate) use self::claim_waiters::Stage;
pub(crate) use self::claim_waiters::Waiter;
pub use self::log_position::LogPosition;
pub(crate) use self::retired_groups::RetiredGroup;
pub use self::retired_groups::RetiredGroups;
use crate::append::AppendQueue;
use crate::event::EventTime;
use crate::event::Observation;

/// Reads of the log must fail for this long before they count as an outage.
const TRANSIENT_FAULT_MS: u64 = 500;

/// The settings of the reducer. See `docs/settings.md` for the keys they come from.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// Limits of the replicated state.
    pub limits: Limits,
    /// How long after its append a claim may be dispatched.
    pub claim_dispatch_ms: u64,
    /// How long a request waits for the confirmation of its claim.
    pub claim_wait_ms: u64,
    /// How long keys are kept; older UUIDv7 keys are refused.
    pub key_window_ms: u64,
    /// How often each prober probes a VM.
    pub probe_interval_ms: u64,
    /// Number of probers per VM.
    pub probers: usize,
    /// Maximum age of evidence.
    pub evidence_fresh_ms: u64,
    /// How long a member must be missing before its group is rebuilt.
    pub settle_ms: u64,
    /// How long orders for a new group are delayed if its endpoints ignore fencing numbers.
    pub order_quarantine_ms: u64,
    /// Longest request deadline, which limits the wait for the requests of a retired group.
    pub longest_deadline_ms: u64,
    /// Throughput of the weight store.
    pub store_bytes_per_s: u64,
    /// Number of records after which a snapshot is appended.
    pub snapshot_every_records: u64,
}

/// Whether a group served at the last check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingState {
    /// Whether it serves.
    pub serving: bool,
    /// When it stopped serving, by the monotonic clock.
    pub stopped_since_ms: Option<u64>,
}

/// The state of an entry node.
#[derive(Debug)]
pub struct Agent {
    /// The settings.
    pub settings: AgentSettings,
    /// This process.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// The address at which peers reach it.
    pub peer_address: SocketAddr,
    /// The state folded from the log.
    pub replicated: Replicated,
    /// The node's progress in the log.
    pub log: LogPosition,
    /// Records that wait to be appended.
    pub appends: AppendQueue,
    /// Requests that wait for claims.
    pub claims: ClaimWaiters,
    /// Submitted records that wait for their verdict: the waiter and its timeout.
    pub submits: HashMap<RecordId, (u64, u64)>,
    /// The VM list.
    pub vms: BTreeMap<VmName, VmInfo>,
    /// The other entry nodes.
    pub members: Vec<Member>,
    /// The most recent observation of each endpoint VM of this data centre.
    pub observations: HashMap<VmName, Observation>,
    /// The results of this node's own probes.
    pub own_observations: BTreeMap<VmName, Observation>,
    /// Duration of this node's last probe of each VM.
    pub probe_took_ms: HashMap<VmName, u64>,
    /// The VMs that this node probes.
    pub probe_targets: ProbeTargets,
    /// When this node last probed each VM.
    pub last_probe_ms: HashMap<VmName, u64>,
    /// When this node last sent an order to each VM.
    pub last_order_ms: HashMap<VmName, u64>,
    /// Since when this node has seen a pool with fewer groups than its target.
    pub below_target_since_ms: BTreeMap<PoolName, u64>,
    /// Since when this node has seen a pool with more groups than its target.
    pub above_target_since_ms: BTreeMap<PoolName, u64>,
    /// Since when a group of this data centre has been loading weights.
    pub loading_since_ms: HashMap<GroupName, u64>,
    /// The time of the current VM list, by the platform's clock.
    pub vms_as_of_ms: u64,
    /// Since when a VM of this data centre has been missing.
    pub missing_since_ms: HashMap<VmName, u64>,
    /// Stop notices in force: what must get no new work, by sources other than the log.
    pub stops: HashSet<StopSubject>,
    /// Summaries of the other data centres.
    pub summaries: Vec<DataCentreSummary>,
    /// Which groups served at the last check.
    pub serving: BTreeMap<GroupName, ServingState>,
    /// When this node saw drained data centres return.
    pub returned_ms: HashMap<DataCentreName, u64>,
    /// Data centres whose drain has been reported.
    pub known_drained: BTreeSet<DataCentreName>,
    /// The offset of the record that assigned the previous owner; zero if there was none.
    pub previous_owner_offsets: HashMap<GroupName, Offset>,
    /// When the owner of a group's permits was last seen alive.
    pub owner_seen_ms: HashMap<GroupName, u64>,
    /// When this node first knew a group; starts the quarantine of its orders.
    pub group_folded_ms: HashMap<GroupName, u64>,
    /// When the previous step of a plan was first seen in effect.
    pub step_effective_since_ms: HashMap<(PlanName, u32), u64>,
    /// Groups that were retired while they may have been running requests.
    pub retired_groups: RetiredGroups,
    /// Whether the node is shutting down.
    pub leaving: bool,
    /// When each periodic job last ran.
    pub last_runs: LastRuns,
    /// Generates the record ids.
    pub rng: StdRng,
}

/// The VMs that this node probes, and the inputs of that choice.
#[derive(Debug, Default)]
pub struct ProbeTargets {
    /// The entry nodes among which the VMs were divided.
    pub workers: Vec<VmName>,
    /// The time of the VM list; `None` if the choice must be made again.
    pub as_of_ms: Option<u64>,
    /// The chosen VMs.
    pub vms: Vec<VmName>,
}

/// When each periodic job last ran, by the monotonic clock.
#[derive(Debug, Default)]
pub struct LastRuns {
    /// The check of groups, permit owners and plans.
    pub control_ms: Option<u64>,
    /// The request for records from a peer.
    pub fetch_ms: Option<u64>,
    /// The last event; a gap means that the process was paused.
    pub event_ms: Option<u64>,
}

impl Agent {
    /// Creates the state of a new process.
    pub fn new(
        settings: AgentSettings,
        incarnation: Incarnation,
        region: RegionName,
        data_centre: DataCentreName,
        peer_address: SocketAddr,
        seed: u64,
    ) -> Self {
        let replicated = Replicated::new(settings.limits.clone());
        Self {
            settings,
            incarnation,
            region,
            data_centre,
            peer_address,
            replicated,
            log: LogPosition::default(),
            appends: AppendQueue::default(),
            claims: ClaimWaiters::default(),
            submits: HashMap::new(),
            vms: BTreeMap::new(),
            members: Vec::new(),
            observations: HashMap::new(),
            own_observations: BTreeMap::new(),
            probe_took_ms: HashMap::new(),
            probe_targets: ProbeTargets::default(),
            last_probe_ms: HashMap::new(),
            last_order_ms: HashMap::new(),
            below_target_since_ms: BTreeMap::new(),
            above_target_since_ms: BTreeMap::new(),
            loading_since_ms: HashMap::new(),
            vms_as_of_ms: 0,
            missing_since_ms: HashMap::new(),
            stops: HashSet::new(),
            summaries: Vec::new(),
            serving: BTreeMap::new(),
            returned_ms: HashMap::new(),
            known_drained: BTreeSet::new(),
            previous_owner_offsets: HashMap::new(),
            owner_seen_ms: HashMap::new(),
            group_folded_ms: HashMap::new(),
            step_effective_since_ms: HashMap::new(),
            retired_groups: RetiredGroups::default(),
            leaving: false,
            last_runs: LastRuns::default(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the last offset folded.
    pub fn folded(&self) -> Offset {
        self.replicated.last_offset().unwrap_or_default()
    }

    /// Returns whether the node has a state from which it can serve.
    ///
    /// A node that recovers again because the log truncated its next record keeps serving from its
    /// old state, so it must stay ready meanwhile.
    pub fn has_state(&self) -> bool {
        self.log.is_recovered || self.folded() > Offset::default()
    }

    /// Returns whether a data centre takes no new work, by the log or by a stop notice.
    pub fn is_drained(&self, data_centre: &DataCentreName) -> bool {
        self.replicated.drained_at(data_centre).is_some()
            || self.stops.contains(&StopSubject::DataCentre(data_centre.clone()))
    }

    /// Returns the entry nodes of this data centre that take part in its work, this one included.
    pub fn workers(&self) -> impl Iterator<Item = &Incarnation> {
        let others = self.members.iter().filter(|member| {
            member.data_centre == self.data_centre && member.state == MemberState::Alive
        });
        let incarnation = Some(&self.incarnation).filter(|_| !self.leaving);
        others.map(|member| &member.incarnation).chain(incarnation)
    }

    /// Returns whether this node ranks first for a job among the workers of its data centre.
    pub fn is_first_for(&self, job: &str) -> bool {
        !self.leaving && crate::rank::rank(job, &self.incarnation, self.workers()) == 0
    }

    /// Returns whether a process is this one or is believed to run.
    pub fn is_running(&self, node: &Incarnation) -> bool {
        let runs =
            |member: &&Member| member.incarnation == *node && member.state != MemberState::Gone;
        *node == self.incarnation
            || self.members.iter().any(|member| runs(&member))
            || self.may_run(node)
    }

    /// Returns whether a node of another data centre may be running: the view from peers includes
    /// only a few of those nodes, so the VM list is used for the others.
    fn may_run(&self, node: &Incarnation) -> bool {
        let is_known = self.members.iter().any(|member| member.incarnation.vm == node.vm);
        let listed = self.vms.get(&node.vm).is_some_and(|vm| {
            vm.data_centre != self.data_centre && matches!(vm.role, VmRole::Entry { .. })
        });
        listed && !is_known
    }

    /// Returns the number of live entry nodes of this data centre and of the estate.
    ///
    /// The view from peers includes only a few nodes of other data centres, so those are counted
    /// by the VM list if it contains more.
    pub fn live_nodes(&self) -> (u32, u32) {
        let local = self.workers().count().max(1);
        let listed = self.vms.values().filter(|vm| {
            matches!(vm.role, VmRole::Entry { .. })
                && vm.state == VmState::Live
                && vm.data_centre != self.data_centre
        });
        let known = self.members.iter().filter(|member| {
            member.state == MemberState::Alive && member.data_centre != self.data_centre
        });
        let remote = listed.count().max(known.count());
        let count = |nodes: usize| u32::try_from(nodes).unwrap_or(u32::MAX);
        (count(local), count(local + remote))
    }

    /// Returns whether the platform's log is unreachable for this node and all live peers it knows,
    /// for longer than a transient fault.
    pub fn is_cut_off(&self, at: EventTime) -> bool {
        let since_ms = self.log.unreachable_since_ms;
        if since_ms.is_none_or(|since_ms| at.now_ms < since_ms + TRANSIENT_FAULT_MS) {
            return false;
        }
        let mut alive = self.members.iter().filter(|member| member.state == MemberState::Alive);
        !alive.any(|member| member.platform_reachable)
    }

    /// Creates a record authored by this node.
    pub fn record(
        &mut self,
        at: EventTime,
        reason: &str,
        expect_offset: Option<Offset>,
        kind: RecordKind,
    ) -> Record {
        Record {
            record_id: RecordId(self.rng.random()),
            author: Author::Node(self.incarnation.clone()),
            at_ms: at.wall_ms,
            reason: reason.into(),
            expect_offset,
            kind,
        }
    }
}
