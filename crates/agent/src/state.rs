//! The state of an entry node: data that the decision modules read and change.
//!
//! Nothing here decides, so that the modules depend on the state and never the other way round.

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
pub use self::retired_groups::FormerGroups;
pub(crate) use self::retired_groups::Retired;
use crate::append::AppendQueue;
use crate::event::At;
use crate::event::Observation;

/// A failed read of the log within this time of the first says nothing about an outage.
const PASSING_FAULT_MS: u64 = 500;

/// The settings the reducer needs. See `docs/settings.md` for the keys they come from.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// Limits of the replicated state.
    pub limits: Limits,
    /// How long after its append a claim may be dispatched.
    pub claim_dispatch_ms: u64,
    /// How long a request waits for its claim.
    pub claim_wait_ms: u64,
    /// How long keys are kept, to judge the age of UUIDv7 keys.
    pub key_window_ms: u64,
    /// How often each prober probes a VM.
    pub probe_interval_ms: u64,
    /// Probers of one VM.
    pub probers: usize,
    /// How old evidence may be.
    pub evidence_fresh_ms: u64,
    /// How long a member must be missing before its group is rebuilt.
    pub settle_ms: u64,
    /// How long new orders wait where fencing numbers are ignored.
    pub order_quarantine_ms: u64,
    /// Longest request deadline; a request of a former group is not waited for longer.
    pub longest_deadline_ms: u64,
    /// Rate of the weight store.
    pub store_bytes_per_s: u64,
    /// Records after which a snapshot is appended.
    pub snapshot_every_records: u64,
}

/// Whether a group may serve, as last noted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingState {
    /// Whether it serves.
    pub serving: bool,
    /// Since when it has not, by the monotonic clock.
    pub stopped_since_ms: Option<u64>,
}

/// The state of an entry node.
#[derive(Debug)]
pub struct Agent {
    /// The settings.
    pub settings: AgentSettings,
    /// This process.
    pub me: Incarnation,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// The state folded from the log.
    pub replicated: Replicated,
    /// Where the node stands in the log.
    pub log: LogPosition,
    /// What waits to be appended.
    pub appends: AppendQueue,
    /// Requests that wait for claims.
    pub claims: ClaimWaiters,
    /// Submitted records that wait for their verdict: waiter and when to give up.
    pub submits: HashMap<RecordId, (u64, u64)>,
    /// The VM list.
    pub vms: BTreeMap<VmName, VmInfo>,
    /// Entry nodes, this one excluded.
    pub members: Vec<Member>,
    /// The freshest observation of each endpoint VM of this data centre.
    pub observations: HashMap<VmName, Observation>,
    /// What this node's own probes found.
    pub own_observations: BTreeMap<VmName, Observation>,
    /// How long each VM's last probe by this node took.
    pub probe_took_ms: HashMap<VmName, u64>,
    /// Which VMs this node probes.
    pub probed: Probed,
    /// When each VM was last probed by this node.
    pub probed_ms: HashMap<VmName, u64>,
    /// When each VM was last sent an order by this node.
    pub ordered_ms: HashMap<VmName, u64>,
    /// Since when a pool has had fewer groups than its target, as far as this node saw it.
    pub short_since_ms: BTreeMap<PoolName, u64>,
    /// Since when a pool has had more groups than its target, as far as this node saw it.
    pub surplus_since_ms: BTreeMap<PoolName, u64>,
    /// Since when a group of this data centre has been loading weights.
    pub loading_since_ms: HashMap<GroupName, u64>,
    /// When the VM list in force was made, by the platform's clock.
    pub vms_as_of_ms: u64,
    /// Since when a VM of this data centre has not been seen.
    pub missing_since_ms: HashMap<VmName, u64>,
    /// What must get no new work, by any source but the log.
    pub stops: HashSet<StopSubject>,
    /// Other data centres.
    pub summaries: Vec<DataCentreSummary>,
    /// Which groups served at the last look.
    pub serving: BTreeMap<GroupName, ServingState>,
    /// When data centres returned, as far as this node saw it.
    pub returned_ms: HashMap<DataCentreName, u64>,
    /// Data centres noted as drained.
    pub noted_drained: BTreeSet<DataCentreName>,
    /// The offset of the record of the owner before the present one; zero if there was none.
    pub former_owner: HashMap<GroupName, Offset>,
    /// When the owner of a group's permits was last seen alive.
    pub owner_seen_ms: HashMap<GroupName, u64>,
    /// When a group was first folded, for the quarantine of orders.
    pub group_folded_ms: HashMap<GroupName, u64>,
    /// When the former step of a plan was first seen to have taken hold.
    pub step_seen_ms: HashMap<(PlanName, u32), u64>,
    /// Groups that were retired while they may have run requests.
    pub former: FormerGroups,
    /// Whether the node shuts down.
    pub leaving: bool,
    /// When each periodic job last ran.
    pub jobs: Jobs,
    /// Randomness for record ids.
    pub rng: StdRng,
}

/// The VMs that this node probes, and what the choice was made from.
#[derive(Debug, Default)]
pub struct Probed {
    /// The entry nodes that shared the VMs.
    pub workers: Vec<VmName>,
    /// The time of the VM list, if there was a choice yet.
    pub as_of_ms: Option<u64>,
    /// The VMs.
    pub vms: Vec<VmName>,
}

/// When each periodic job last ran, by the monotonic clock.
#[derive(Debug, Default)]
pub struct Jobs {
    /// Groups, owners and plans.
    pub control_ms: Option<u64>,
    /// Requests for records from peers.
    pub fetch_ms: Option<u64>,
    /// The last event; a gap means that the process was paused.
    pub event_ms: Option<u64>,
}

impl Agent {
    /// Creates the state of a process that has just started.
    pub fn new(
        settings: AgentSettings,
        me: Incarnation,
        region: RegionName,
        data_centre: DataCentreName,
        peer_address: SocketAddr,
        seed: u64,
    ) -> Self {
        let replicated = Replicated::new(settings.limits.clone());
        Self {
            settings,
            me,
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
            probed: Probed::default(),
            probed_ms: HashMap::new(),
            ordered_ms: HashMap::new(),
            short_since_ms: BTreeMap::new(),
            surplus_since_ms: BTreeMap::new(),
            loading_since_ms: HashMap::new(),
            vms_as_of_ms: 0,
            missing_since_ms: HashMap::new(),
            stops: HashSet::new(),
            summaries: Vec::new(),
            serving: BTreeMap::new(),
            returned_ms: HashMap::new(),
            noted_drained: BTreeSet::new(),
            former_owner: HashMap::new(),
            owner_seen_ms: HashMap::new(),
            group_folded_ms: HashMap::new(),
            step_seen_ms: HashMap::new(),
            former: FormerGroups::default(),
            leaving: false,
            jobs: Jobs::default(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the last offset folded.
    pub fn folded(&self) -> Offset {
        self.replicated.applied().unwrap_or_default()
    }

    /// Returns whether there is a state to serve from.
    ///
    /// A node that starts over because the log forgot its next record serves on from the state it
    /// has, so it must stay ready meanwhile.
    pub fn has_state(&self) -> bool {
        self.log.recovered || self.folded() > Offset::default()
    }

    /// Returns whether a data centre takes no new work, by the log or by a stop notice.
    pub fn is_drained(&self, data_centre: &DataCentreName) -> bool {
        self.replicated.drained(data_centre).is_some()
            || self.stops.contains(&StopSubject::DataCentre(data_centre.clone()))
    }

    /// Returns the entry nodes of this data centre that take part in its work, this one included.
    pub fn workers(&self) -> impl Iterator<Item = &Incarnation> {
        let others = self.members.iter().filter(|member| {
            member.data_centre == self.data_centre && member.state == MemberState::Alive
        });
        let me = Some(&self.me).filter(|_| !self.leaving);
        others.map(|member| &member.incarnation).chain(me)
    }

    /// Returns whether this node comes first among the workers of its data centre for a job.
    pub fn is_first_for(&self, job: &str) -> bool {
        !self.leaving && crate::rank::rank(job, &self.me, self.workers()) == 0
    }

    /// Returns whether a process is this one or is believed to run.
    pub fn is_running(&self, node: &Incarnation) -> bool {
        let runs =
            |member: &&Member| member.incarnation == *node && member.state != MemberState::Gone;
        *node == self.me || self.members.iter().any(|member| runs(&member)) || self.may_run(node)
    }

    /// Whether a node of another data centre may run: only a few of those are known to peers, and
    /// the VM list names the others.
    fn may_run(&self, node: &Incarnation) -> bool {
        let is_known = self.members.iter().any(|member| member.incarnation.vm == node.vm);
        let listed = self.vms.get(&node.vm).is_some_and(|vm| {
            vm.data_centre != self.data_centre && matches!(vm.role, VmRole::Entry { .. })
        });
        listed && !is_known
    }

    /// Returns the number of live entry nodes of this data centre and of the estate.
    ///
    /// Of other data centres only a few nodes are known to peers, so those are counted by the VM
    /// list where it names more.
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

    /// Whether neither this node nor any live peer it knows reaches the platform's log, for longer
    /// than a passing fault lasts.
    pub fn is_cut_off(&self, at: At) -> bool {
        let since_ms = self.log.unreachable_since_ms;
        if since_ms.is_none_or(|since_ms| at.now_ms < since_ms + PASSING_FAULT_MS) {
            return false;
        }
        let mut alive = self.members.iter().filter(|member| member.state == MemberState::Alive);
        !alive.any(|member| member.platform_reachable)
    }

    /// Creates a record by this node.
    pub fn record(
        &mut self,
        at: At,
        reason: &str,
        expect_offset: Option<Offset>,
        kind: RecordKind,
    ) -> Record {
        Record {
            record_id: RecordId(self.rng.random()),
            author: Author::Node(self.me.clone()),
            at_ms: at.wall_ms,
            reason: reason.into(),
            expect_offset,
            kind,
        }
    }
}
