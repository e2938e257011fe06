//! Forms groups, opens them, and dissolves and replaces broken ones.
//!
//! Handles a load that needs most of the endpoints while two of them are lost every few seconds.
//! Only the planning node gives orders. It derives the existing groups from the list of endpoints,
//! so a node that takes over needs no other state. An endpoint is assigned to a new group only
//! after the head of its old group has left that group or is known to be dead: until then the old
//! group could still serve without it. See `docs/decisions/0008-platform.md`.

mod allocate;
mod ending;
mod idle;
mod load_limiter;
mod review;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::btree_map::Entry;
use std::net::SocketAddr;

use balsam_types::DataCentreName;
use balsam_types::FabricDomainName;
use balsam_types::GroupName;
use balsam_types::ModelName;
use balsam_types::PoolName;
use balsam_types::VmName;

use crate::configuration::Engine;
use crate::configuration::Model;
use crate::demand::Demand;
use crate::directory::Directory;
use crate::directory::LIST_OUTAGE_MS;
use crate::endpoint::Endpoint;
use crate::endpoint::MAX_EPOCH;
use crate::endpoint::MemberState;
use crate::event::Decision;
use crate::event::Effect;
use crate::event::Leadership;
use crate::event::Order;
use crate::event::OrderAnswer;
use crate::event::ProbeAnswer;
use crate::formation;
use crate::formation::ObservedGroup;
use crate::head_evidence::HeadVerdict;
use crate::planner::idle::IdleTime;
use crate::planner::load_limiter::LoadRateLimiter;
use crate::suspicion::Suspicions;

/// Delay before an unanswered order is sent again.
const RESEND_INTERVAL_MS: u64 = 500;

/// Delay after taking over during which orders of the previous planning node may still arrive. Only a
/// read of the list that begins later shows all that they did.
const TAKEOVER_DELAY_MS: u64 = 400;

/// The list is considered complete when it has not grown for this long after the start.
pub(crate) const LIST_SETTLE_MS: u64 = 400;

/// Time allowed for members to report that they joined, in addition to the load itself.
const JOIN_MARGIN_MS: u64 = 4_000;

/// A group whose head this node never saw is given up after this long: a head that is only cut off
/// from the list continues to serve, and such cuts last up to ten seconds.
const HEADLESS_TIMEOUT_MS: u64 = 20_000;

/// How long the head of a group is remembered after it was last listed.
const HEAD_RETENTION_MS: u64 = 60_000;

/// Interval between two searches for heads that are no longer remembered.
const HEAD_EXPIRY_INTERVAL_MS: u64 = 1_000;

/// How long after it was sent an endpoint may carry out an order that it did not answer.
const LATE_ORDER_MS: u64 = 12_000;

/// Number of unanswered orders after which a head that is no longer listed may be considered dead.
const HEAD_UNANSWERED_LIMIT: u32 = 2;

/// How long a head that refuses connections may still finish its requests: one that shuts down stops
/// listening first. Its members serve with it until it ends.
const HEAD_SHUTDOWN_MS: u64 = 10_000;

/// How long other nodes are asked whether a head still serves before its members are ordered to leave.
/// Their reports take up to two seconds through the summaries of large data centres, and a witness
/// that stopped is replaced after two.
const HEAD_INQUIRY_MS: u64 = 3_000;

/// Time after a member left until a head that is still working has broken its group: it waits 5 s
/// for a lost member.
const HEAD_BREAK_MS: u64 = 6_000;

/// How long endpoints that left the list are remembered, so that heads among them can be contacted.
const DEPARTED_RETENTION_MS: u64 = 30_000;

/// Interval between two probes of an endpoint that is listed but was found dead.
const DEAD_PROBE_INTERVAL_MS: u64 = 1_000;

/// How long an endpoint must leave its probes unanswered before it counts as dead: a sound one may
/// fall silent for a second or so, and callers leave a silent stream after 2 s at the earliest.
const MEMBER_SILENCE_MS: u64 = 2_000;

/// Interval between two probes of such an endpoint.
const SILENT_PROBE_INTERVAL_MS: u64 = 500;

/// Time between two unanswered probes after which the silence is measured anew: the longest interval
/// between probes of a witness, with its timeout and a margin.
const SILENT_PROBE_GAP_MS: u64 = 1_500;

/// Maximum age of an answer that shows that a data centre can be reached. A failed probe takes
/// longer, so the answer arrived after the probe began, and a network cut is not mistaken for a
/// dead endpoint.
const RECENTLY_HEARD_MS: u64 = 210;

/// Key of probes among the recently sent orders, which are not repeated immediately.
const PROBE: &str = "probe";

/// Key of orders to leave among the recently sent orders.
const LEAVE: &str = "leave";

/// Key of orders to join.
const JOIN: &str = "join";

/// Time after an order to leave was sent within which no late order can have opened the group again:
/// a late join takes 200 ms until the head is ready. The rest is for the way of the next order.
const REOPEN_MIN_MS: u64 = 140;

/// Interval between two log entries on the utilisation of each model.
const USE_LOG_INTERVAL_MS: u64 = 2_000;

/// Highest epoch of the list that later epochs follow: an entry of another writer must leave epochs
/// for the groups that this node forms.
const MAX_FOLLOWED_EPOCH: u64 = MAX_EPOCH / 2;

type GroupKey = (GroupName, u64);

/// A group that is being formed.
#[derive(Debug, Clone)]
struct Forming {
    epoch: u64,
    model: ModelName,
    members: Vec<VmName>,
    started_ms: u64,
    timeout_ms: u64,
    joined: BTreeSet<VmName>,
}

/// The head of a group, as the list showed it.
#[derive(Debug, Clone)]
struct ListedHead {
    vm: VmName,
    last_listed_ms: u64,
    /// When the list first showed that the head could be opened.
    ready_by_ms: Option<u64>,
    /// When the list first showed that the group had been opened. All orders to join it were sent
    /// before.
    opened_by_ms: Option<u64>,
}

/// Answer of a head to an order to leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaveAnswer {
    /// It left.
    Accepted,
    /// It did not, as a head does that is no longer a member.
    Refused,
}

/// A group that is being dissolved.
#[derive(Debug, Clone)]
struct Ending {
    head: VmName,
    members: BTreeSet<VmName>,
    /// Whether running requests finish first.
    is_graceful: bool,
    /// How the head last answered an order to leave, with the time at which that order was sent.
    leave_answer: Option<(u64, LeaveAnswer)>,
    /// Whether the head has left, although late orders may make it join again.
    has_left: bool,
    /// The epoch of the order to join that makes the head reject late orders of this group.
    fencing_epoch: Option<u64>,
    /// Whether the head has followed that order, or an order with a higher epoch before.
    is_fenced: bool,
    /// Whether the head left the last order to leave unanswered.
    is_unresponsive: bool,
    /// Orders that the head left unanswered while other endpoints of its data centre answered.
    unanswered: u32,
    /// Whether the head refused a connection, instead of leaving an order unanswered.
    refuses_connections: bool,
    /// Whether the head also left a probe unanswered: live endpoints may fail to answer orders.
    is_head_dead: bool,
    /// Since when other nodes are asked whether the head still serves, and their last verdict.
    doubted: Option<(u64, HeadVerdict)>,
    /// When another member left, after which a head that still serves breaks.
    member_left_ms: Option<u64>,
}

/// State of the planner that cannot be derived from the list of endpoints.
#[derive(Debug, Clone, Default)]
pub struct Planner {
    leadership: Option<Leadership>,
    lease_held_since_ms: u64,
    /// Whether the list was new enough for orders when the planner last ran in this term.
    is_active: bool,
    /// When the list was first new enough in this term.
    active_since_ms: Option<u64>,
    last_epoch: u64,
    forming: BTreeMap<GroupName, Forming>,
    /// Groups that this node ordered to open in this term.
    opening: BTreeSet<GroupKey>,
    ending: BTreeMap<GroupKey, Ending>,
    /// Memberships, by endpoint and epoch, that the list may still show although the group has ended, with
    /// the start time and the number of the heartbeat that was known when the planner next read the list.
    /// Whatever a later one shows is true.
    void: BTreeMap<(VmName, u64), Option<(u64, u64)>>,
    /// Orders to join that the head of a group has not answered, by head and epoch; they may be
    /// carried out late.
    unanswered_joins: BTreeMap<(VmName, u64), u32>,
    /// The highest epoch of the orders to join that were sent to each endpoint in this term, and when
    /// the last one was sent.
    sent_joins: BTreeMap<VmName, (u64, u64)>,
    /// Endpoints that are known to be dead, with the time of the last probe.
    dead: BTreeMap<VmName, u64>,
    /// Endpoints that leave probes unanswered: since when, and the time of the last probe.
    silent: BTreeMap<VmName, (u64, u64)>,
    departed: BTreeMap<VmName, (u64, Endpoint)>,
    headless_since_ms: BTreeMap<GroupKey, u64>,
    /// The head of each group that is or was listed. Every node follows them, so that one that takes
    /// over knows which orders to join may still be carried out late.
    heads: BTreeMap<GroupKey, ListedHead>,
    heads_expired_ms: u64,
    sent: BTreeMap<(VmName, &'static str), u64>,
    /// Endpoints that were ordered to stage a model, with the time of the order.
    staging: BTreeMap<VmName, (ModelName, u64)>,
    /// Domains whose free endpoints are reserved for a model, with the end of the reservation.
    rebalancing: BTreeMap<Option<FabricDomainName>, (ModelName, u64)>,
    last_growth: (usize, u64),
    /// The model last served by each endpoint, which it can serve again without a load.
    last_model: BTreeMap<VmName, ModelName>,
    /// When an endpoint of a data centre last answered this node.
    heard_from: BTreeMap<DataCentreName, u64>,
    /// Endpoints that did not answer while nothing else in their data centre answered, with the
    /// time: this node may be the one that is cut off.
    inconclusive: BTreeMap<VmName, u64>,
    load_limiter: LoadRateLimiter,
    idle: IdleTime,
    use_logged_ms: u64,
}

/// Input of the planner.
pub struct View<'a> {
    /// The time.
    pub now_ms: u64,
    /// The list of endpoints.
    pub directory: &'a Directory,
    /// The pool of the model engines.
    pub pool: &'a PoolName,
    /// The engine settings of the pool.
    pub engine: &'a Engine,
    /// Work requested by callers.
    pub demand: &'a Demand,
    /// Groups that are suspected or known to be lost.
    pub suspicions: &'a Suspicions,
    /// Evacuated data centres, which get no requests.
    pub evacuated: &'a BTreeSet<DataCentreName>,
    /// What all nodes together know of the doubted heads.
    pub heads: &'a BTreeMap<VmName, HeadVerdict>,
}

impl View<'_> {
    /// Whether the groups of an endpoint get requests. Groups in an evacuated data centre are left
    /// as they are and not counted until it returns.
    fn is_used(&self, vm: &VmName) -> bool {
        let endpoint = self.directory.get(vm);
        endpoint.is_some_and(|endpoint| !self.evacuated.contains(&endpoint.data_centre))
    }
}

impl Planner {
    /// Sets the lease held by this node; returns a decision to log if the generation changed.
    pub fn set_leadership(
        &mut self,
        now_ms: u64,
        leadership: Option<Leadership>,
    ) -> Option<Decision> {
        let before = self.leadership.map(|l| l.generation);
        let after = leadership.map(|l| l.generation);
        self.leadership = leadership;
        if before == after {
            return None;
        }
        self.is_active = false;
        self.active_since_ms = None;
        if after.is_some() {
            self.lease_held_since_ms = now_ms;
            self.clear_plans();
        }
        Some(Decision::Leading { generation: after })
    }

    /// Whether this node may give orders now.
    pub fn holds_lease(&self, now_ms: u64) -> bool {
        self.leadership.is_some_and(|l| now_ms < l.until_ms)
    }

    /// Whether this node has held the lease for the length of an outage of the list without a read of
    /// it.
    pub fn lacks_list(&self, now_ms: u64, directory: &Directory) -> bool {
        let read_ms = directory.own_read_begun_ms().unwrap_or(0).max(self.lease_held_since_ms);
        self.holds_lease(now_ms) && now_ms > read_ms + LIST_OUTAGE_MS
    }

    /// Records the head of a group as shown by the list.
    pub fn record_head(&mut self, now_ms: u64, endpoint: &Endpoint) {
        let Some(membership) = endpoint.membership.as_ref().filter(|m| m.rank == 0) else {
            return;
        };
        let key = (membership.group.clone(), membership.epoch);
        let head = self.heads.entry(key).or_insert_with(|| ListedHead {
            vm: endpoint.vm.clone(),
            last_listed_ms: now_ms,
            ready_by_ms: None,
            opened_by_ms: None,
        });
        head.vm.clone_from(&endpoint.vm);
        head.last_listed_ms = now_ms;
        if membership.state != MemberState::Joining {
            head.ready_by_ms.get_or_insert(now_ms);
        }
        if !matches!(membership.state, MemberState::Joining | MemberState::Ready) {
            head.opened_by_ms.get_or_insert(now_ms);
        }
    }

    /// Removes heads that have not been listed for long. Other nodes report only changes of the list,
    /// so a head may be listed without a recent record.
    pub fn expire_heads(&mut self, now_ms: u64, directory: &Directory) {
        if now_ms < self.heads_expired_ms + HEAD_EXPIRY_INTERVAL_MS {
            return;
        }
        self.heads_expired_ms = now_ms;
        self.heads.retain(|key, head| {
            now_ms < head.last_listed_ms + HEAD_RETENTION_MS || directory.has_member(&head.vm, key)
        });
    }

    /// Extends timeouts by a pause of this node, in which it could not see the progress of groups.
    pub fn extend_timeouts(&mut self, paused_ms: u64) {
        self.forming.values_mut().for_each(|forming| forming.started_ms += paused_ms);
        self.headless_since_ms.values_mut().for_each(|since_ms| *since_ms += paused_ms);
        self.last_growth.1 += paused_ms;
        for (since_ms, probed_ms) in self.silent.values_mut() {
            *since_ms += paused_ms;
            *probed_ms += paused_ms;
        }
    }

    /// Remembers an endpoint that left the list.
    pub fn departed(&mut self, now_ms: u64, endpoint: Endpoint) {
        self.departed.insert(endpoint.vm.clone(), (now_ms, endpoint));
        self.departed.retain(|_, (at_ms, _)| now_ms < *at_ms + DEPARTED_RETENTION_MS);
    }

    /// Records that an endpoint of a data centre answered.
    pub fn heard_from(&mut self, now_ms: u64, data_centre: &DataCentreName) {
        self.heard_from.insert(data_centre.clone(), now_ms);
    }

    /// Records the result of a probe. Anything but an answer counts only if others of the data centre
    /// answer in the meantime, and a missing answer only if it is missing for long.
    pub fn probed(&mut self, now_ms: u64, endpoint: &Endpoint, answer: ProbeAnswer) {
        let vm = &endpoint.vm;
        self.inconclusive.remove(vm);
        let is_dead = match answer {
            ProbeAnswer::Alive => {
                self.dead.remove(vm);
                self.silent.remove(vm);
                self.heard_from(now_ms, &endpoint.data_centre);
                return;
            }
            _ if !self.has_heard_from(now_ms, &endpoint.data_centre) => {
                self.silent.remove(vm);
                self.inconclusive.insert(vm.clone(), now_ms);
                return;
            }
            ProbeAnswer::Refused => true,
            ProbeAnswer::Unanswered => {
                let known = self.silent.get(vm);
                let known = known.filter(|(_, at_ms)| now_ms < at_ms + SILENT_PROBE_GAP_MS);
                let since_ms = known.map_or(now_ms, |(since_ms, _)| *since_ms);
                self.silent.insert(vm.clone(), (since_ms, now_ms));
                now_ms >= since_ms + MEMBER_SILENCE_MS
            }
        };
        if is_dead {
            self.dead.insert(vm.clone(), now_ms);
        }
    }

    /// Records the result of a probe of an endpoint that is no longer listed but may still lead a
    /// group.
    pub fn departed_probed(&mut self, now_ms: u64, vm: &VmName, is_alive: bool) {
        let Some(data_centre) = self.departed.get(vm).map(|(_, e)| e.data_centre.clone()) else {
            return;
        };
        let is_dead = !is_alive && self.has_heard_from(now_ms, &data_centre);
        for ending in self.ending.values_mut().filter(|ending| ending.head == *vm) {
            ending.is_head_dead = is_dead;
            if is_alive {
                ending.unanswered = 0;
            }
        }
    }

    /// Returns the heads of dissolving groups that do not answer this node, so that other nodes are
    /// asked about them.
    pub fn doubted_heads(&self) -> Vec<VmName> {
        let doubted = self.ending.values().filter(|ending| ending.doubted.is_some());
        doubted.map(|ending| ending.head.clone()).collect()
    }

    /// Returns the last address of an endpoint that left the list.
    pub fn departed_address(&self, vm: &VmName) -> Option<SocketAddr> {
        self.departed.get(vm).map(|(_, endpoint)| endpoint.address)
    }

    /// Whether an endpoint of a data centre recently answered this node.
    fn has_heard_from(&self, now_ms: u64, data_centre: &DataCentreName) -> bool {
        self.heard_from
            .get(data_centre)
            .is_some_and(|heard_ms| now_ms < heard_ms + RECENTLY_HEARD_MS)
    }

    /// Returns a member of a group that is known to be dead.
    pub fn dead_member(&self, observed: &ObservedGroup) -> Option<VmName> {
        let mut members = observed.members.values();
        members.find(|m| self.dead.contains_key(&m.vm)).map(|m| m.vm.clone())
    }

    /// Records the answer to an order.
    pub fn answered(&mut self, now_ms: u64, vm: &VmName, order: &Order, answer: OrderAnswer) {
        if let Order::Join { epoch, .. } = order
            && answer != OrderAnswer::Unanswered
        {
            self.join_answered(vm, *epoch, answer);
        }
        match (order, answer) {
            (Order::Join { group, epoch, .. }, OrderAnswer::Accepted) => {
                if let Some(forming) = self.forming.get_mut(group).filter(|f| f.epoch == *epoch) {
                    forming.joined.insert(vm.clone());
                }
            }
            (Order::Join { group, epoch, .. }, OrderAnswer::Refused) => {
                if let Some(forming) = self.forming.get_mut(group).filter(|f| f.epoch == *epoch) {
                    forming.timeout_ms = 0;
                }
            }
            (Order::Leave { group, epoch }, _) => {
                self.leave_answered(now_ms, vm, &(group.clone(), *epoch), answer);
            }
            (Order::Stage { .. }, OrderAnswer::Refused | OrderAnswer::Unreachable) => {
                self.staging.remove(vm);
            }
            _ => {}
        }
    }

    /// Records an order to join that will not be carried out late.
    fn join_answered(&mut self, vm: &VmName, epoch: u64, answer: OrderAnswer) {
        if let Entry::Occupied(mut unanswered) = self.unanswered_joins.entry((vm.clone(), epoch)) {
            *unanswered.get_mut() -= 1;
            if *unanswered.get() == 0 {
                unanswered.remove();
            }
        }
        // A refusal shows that the endpoint has seen a higher epoch.
        let has_seen_epoch = matches!(answer, OrderAnswer::Accepted | OrderAnswer::Refused);
        for (key, ending) in self.ending.iter_mut().filter(|(_, ending)| ending.head == *vm) {
            ending.is_fenced |= has_seen_epoch && key.1 < epoch;
            if ending.fencing_epoch == Some(epoch) {
                // The next group must not wait for the interval between two orders to join.
                self.sent.remove(&(vm.clone(), JOIN));
            }
        }
    }

    fn leave_answered(&mut self, now_ms: u64, vm: &VmName, key: &GroupKey, answer: OrderAnswer) {
        let data_centre = self.departed.get(vm).map(|(_, head)| head.data_centre.clone());
        let is_heard = data_centre.is_some_and(|name| self.has_heard_from(now_ms, &name));
        let sent_ms = self.sent.get(&(vm.clone(), LEAVE)).copied().unwrap_or(0);
        let Some(ending) = self.ending.get_mut(key) else { return };
        let is_head = ending.head == *vm;
        if is_head {
            ending.is_unresponsive =
                matches!(answer, OrderAnswer::Unanswered | OrderAnswer::Unreachable);
        }
        match answer {
            OrderAnswer::Accepted if is_head => {
                ending.leave_answer = Some((sent_ms, LeaveAnswer::Accepted));
            }
            OrderAnswer::Accepted => _ = ending.member_left_ms.get_or_insert(now_ms),
            OrderAnswer::Refused if is_head => {
                ending.leave_answer = Some((sent_ms, LeaveAnswer::Refused));
            }
            // A network cut may refuse connections, as an ended process does.
            OrderAnswer::Unanswered | OrderAnswer::Unreachable if is_head => {
                ending.unanswered = if is_heard { ending.unanswered + 1 } else { 0 };
                ending.refuses_connections |= answer == OrderAnswer::Unreachable;
            }
            _ => {}
        }
    }

    /// Returns the orders and probes that are due now.
    pub fn plan(&mut self, view: &View<'_>) -> Vec<Effect> {
        let now_ms = view.now_ms;
        if !self.holds_lease(now_ms) {
            return Vec::new();
        }
        let mut effects: Vec<Effect> = self.update_activity(view).into_iter().collect();
        let is_settled = self.is_settled(view);
        if !self.is_active || !is_settled {
            return effects;
        }
        let observed = formation::observe_groups(view.directory);
        self.sent.retain(|_, sent_ms| now_ms < *sent_ms + RESEND_INTERVAL_MS);
        let epochs = observed.keys().map(|(_, epoch)| *epoch);
        let highest = epochs.filter(|epoch| *epoch <= MAX_FOLLOWED_EPOCH).max().unwrap_or(0);
        self.last_epoch = self.last_epoch.max(highest);
        self.update_void(view);
        self.probe_dead(view, &mut effects);
        self.probe_silent(view, &mut effects);
        self.probe_inconclusive(view, &mut effects);
        self.advance_forming(view, &observed, &mut effects);
        self.review(view, &observed, &mut effects);
        self.advance_ending(view, &observed, &mut effects);
        allocate::allocate(self, view, &observed, &mut effects);
        effects
    }

    /// Updates whether the list is new enough for orders; returns a decision to log if that changed.
    ///
    /// The lease and the list are read from the store by separate calls, so a node may take or renew
    /// the lease while its list is old. An endpoint that is free in such a list may serve by now: see
    /// `docs/incidents/old-list.md`. The list must show all that earlier terms ordered, and in the
    /// course of the term it must not be older than an outage of the list.
    fn update_activity(&mut self, view: &View<'_>) -> Option<Effect> {
        let held_ms = view.now_ms.saturating_sub(self.lease_held_since_ms);
        let begun_ms = view.directory.own_read_begun_ms();
        let list_age_ms = begun_ms.map(|begun_ms| view.now_ms.saturating_sub(begun_ms));
        let max_age_ms = held_ms.checked_sub(TAKEOVER_DELAY_MS).map(|ms| ms.min(LIST_OUTAGE_MS));
        let is_active =
            list_age_ms.zip(max_age_ms).is_some_and(|(age_ms, max_age_ms)| age_ms <= max_age_ms);
        if is_active {
            self.active_since_ms.get_or_insert(view.now_ms);
        }
        let was_active = std::mem::replace(&mut self.is_active, is_active);
        let decision = Decision::Planning { is_active, held_ms, list_age_ms };
        (was_active != is_active).then_some(Effect::LogDecision(decision))
    }

    /// Clears plans of an earlier term, which must not be acted on when the node plans again.
    fn clear_plans(&mut self) {
        self.forming.clear();
        self.opening.clear();
        self.ending.clear();
        self.void.clear();
        self.unanswered_joins.clear();
        self.sent_joins.clear();
        self.headless_since_ms.clear();
        self.sent.clear();
        self.staging.clear();
        self.rebalancing.clear();
        self.idle = IdleTime::default();
    }

    /// Whether the list is complete. Endpoints register one by one at the start, and groups formed
    /// from the first few would be poorly placed.
    fn is_settled(&mut self, view: &View<'_>) -> bool {
        let count = view.directory.iter().count();
        if count > self.last_growth.0 {
            self.last_growth = (count, view.now_ms);
        }
        count > 0 && view.now_ms >= self.last_growth.1 + LIST_SETTLE_MS
    }

    /// Probes endpoints with inconclusive results again once their data centre can be reached.
    fn probe_inconclusive(&mut self, view: &View<'_>, effects: &mut Vec<Effect>) {
        let inconclusive = std::mem::take(&mut self.inconclusive);
        for (vm, since_ms) in inconclusive {
            let Some(endpoint) = view.directory.get(&vm) else { continue };
            let heard_ms = self.heard_from.get(&endpoint.data_centre).copied().unwrap_or(0);
            if heard_ms <= since_ms {
                self.inconclusive.insert(vm, since_ms);
                continue;
            }
            // If another endpoint answers in the meantime, a missing answer of this one is
            // conclusive.
            let companion = view.directory.iter().find(|other| {
                other.vm != vm
                    && other.data_centre == endpoint.data_centre
                    && self.has_no_failed_probe(&other.vm)
            });
            if let Some(other) = companion {
                effects.push(Effect::Probe { vm: other.vm.clone(), address: other.address });
            }
            effects.push(Effect::Probe { vm, address: endpoint.address });
        }
    }

    fn probe_dead(&mut self, view: &View<'_>, effects: &mut Vec<Effect>) {
        self.dead.retain(|vm, _| view.directory.get(vm).is_some());
        for (vm, probed_ms) in &mut self.dead {
            if let Some(endpoint) = view.directory.get(vm)
                && view.now_ms >= *probed_ms + DEAD_PROBE_INTERVAL_MS
            {
                *probed_ms = view.now_ms;
                effects.push(Effect::Probe { vm: vm.clone(), address: endpoint.address });
            }
        }
    }

    /// Probes endpoints that left a probe unanswered until they answer or are known to be dead.
    fn probe_silent(&mut self, view: &View<'_>, effects: &mut Vec<Effect>) {
        let dead = &self.dead;
        self.silent.retain(|vm, _| view.directory.get(vm).is_some() && !dead.contains_key(vm));
        for (vm, (_, probed_ms)) in &mut self.silent {
            if let Some(endpoint) = view.directory.get(vm)
                && view.now_ms >= *probed_ms + SILENT_PROBE_INTERVAL_MS
            {
                *probed_ms = view.now_ms;
                effects.push(Effect::Probe { vm: vm.clone(), address: endpoint.address });
            }
        }
    }

    fn advance_forming(
        &mut self,
        view: &View<'_>,
        observed: &BTreeMap<GroupKey, ObservedGroup>,
        effects: &mut Vec<Effect>,
    ) {
        let names: Vec<GroupName> = self.forming.keys().cloned().collect();
        for name in names {
            let Some(forming) = self.forming.get(&name).cloned() else { continue };
            let key = (name.clone(), forming.epoch);
            let group = observed.get(&key);
            let size = forming.members.len() as u32;
            let lost = forming.members.iter().find(|vm| !self.is_usable(view, vm));
            let is_taken = |vm: &&VmName| {
                !forming.joined.contains(*vm) && self.serves_elsewhere(view, observed, &key, vm)
            };
            let taken = forming.members.iter().find(is_taken);
            let is_ready = group.is_some_and(|group| group.is_ready(size));
            let is_fenced = |vm: &VmName| !self.may_be_ordered_away(view.now_ms, vm, key.1);
            let head_state = group.and_then(ObservedGroup::head).map(|head| head.state);
            if head_state == Some(MemberState::Open) {
                self.forming.remove(&name);
                effects
                    .push(Effect::LogDecision(Decision::GroupServes { group: name, epoch: key.1 }));
            } else if lost.is_some()
                || taken.is_some()
                || view.now_ms >= forming.started_ms + forming.timeout_ms
                || is_ready && !forming.members.iter().all(is_fenced)
            {
                let reason = match (lost, taken, is_ready) {
                    (Some(_), _, _) => "a member was lost",
                    (None, Some(_), _) => "a member serves in another group",
                    (None, None, true) => "a late order may move a member",
                    (None, None, false) => "joining failed",
                };
                self.forming.remove(&name);
                self.end_unopened_group(view, &key, &forming.members, reason, effects);
                if !self.ending.contains_key(&key)
                    && lost.is_none()
                    && taken.is_none()
                    && is_ready
                    && let Some(model) = formation::model_of(&name, view.engine)
                {
                    // They joined the model last, so that joining it again takes a fraction of a second.
                    allocate::start_group(self, view, model, forming.members, false, effects);
                }
            } else if is_ready {
                self.opening.insert(key.clone());
                let order = Order::Open { group: name, epoch: key.1 };
                self.order(view, &forming.members[0], order, effects);
            } else {
                self.order_joins(view, &name, &forming, group, effects);
            }
        }
    }

    fn order_joins(
        &mut self,
        view: &View<'_>,
        name: &GroupName,
        forming: &Forming,
        group: Option<&ObservedGroup>,
        effects: &mut Vec<Effect>,
    ) {
        let listed = |vm: &VmName| group.is_some_and(|g| g.members.values().any(|m| m.vm == *vm));
        for vm in &forming.members {
            if forming.joined.contains(vm) || listed(vm) {
                continue;
            }
            let order = Order::Join {
                group: name.clone(),
                epoch: forming.epoch,
                model: forming.model.clone(),
                members: forming.members.clone(),
            };
            self.order(view, vm, order, effects);
        }
    }

    /// Records which model each endpoint served last.
    fn record_last_models(
        &mut self,
        view: &View<'_>,
        observed: &BTreeMap<GroupKey, ObservedGroup>,
    ) {
        self.last_model.retain(|vm, _| view.directory.get(vm).is_some());
        for (key, group) in observed {
            let Some(model) = formation::model_of(&key.0, view.engine) else { continue };
            for member in group.members.values().filter(|m| m.state != MemberState::Joining) {
                if self.last_model.get(&member.vm) != Some(&model.name) {
                    self.last_model.insert(member.vm.clone(), model.name.clone());
                }
            }
        }
    }

    /// Whether the memberships of all listed members of a group are void.
    fn is_void(&self, key: &GroupKey, group: &ObservedGroup) -> bool {
        group.members.values().all(|m| self.is_void_membership(&m.vm, key.1))
    }

    fn is_void_membership(&self, vm: &VmName, epoch: u64) -> bool {
        self.void.contains_key(&(vm.clone(), epoch))
    }

    /// Makes the membership of an endpoint in the group of an epoch void. Others, which late orders may
    /// have led to, are left as the list shows them.
    fn make_void(&mut self, vm: &VmName, epoch: u64) {
        self.void.insert((vm.clone(), epoch), None);
    }

    /// Notes which heartbeats the list shows of endpoints whose membership became void, and forgets
    /// memberships that no order can bring back and orders to endpoints that left long ago.
    fn update_void(&mut self, view: &View<'_>) {
        let departed = &self.departed;
        let is_known = |vm: &VmName| view.directory.get(vm).is_some() || departed.contains_key(vm);
        self.unanswered_joins.retain(|(vm, _), _| is_known(vm));
        let ending = &self.ending;
        self.opening.retain(|key| {
            self.forming.contains_key(&key.0)
                || ending.contains_key(key)
                || self.heads.contains_key(key)
        });
        self.sent_joins.retain(|_, (_, sent_ms)| view.now_ms < *sent_ms + LATE_ORDER_MS);
        self.void.retain(|(vm, epoch), heartbeat| {
            heartbeat.get_or_insert(view.directory.last_heartbeat(vm).unwrap_or_default());
            let membership = view.directory.get(vm).and_then(|e| e.membership.as_ref());
            is_known(vm) && membership.is_none_or(|m| m.epoch <= *epoch)
        });
    }

    /// Whether the list shows that a late order opened a group again that has ended.
    fn is_reopened(&self, view: &View<'_>, key: &GroupKey, group: &ObservedGroup) -> bool {
        let Some(head) = group.head() else { return false };
        let is_open = matches!(head.state, MemberState::Open | MemberState::Closing);
        let is_reserved = self.is_in_forming_group(&head.vm);
        let is_void = self.is_void_membership(&head.vm, key.1);
        is_open && is_void && self.is_listed_since_void(view, &head.vm, key.1) && !is_reserved
    }

    /// Whether the list shows a heartbeat from after the membership of an endpoint became void, or it
    /// is not void.
    fn is_listed_since_void(&self, view: &View<'_>, vm: &VmName, epoch: u64) -> bool {
        let Some(known) = self.void.get(&(vm.clone(), epoch)) else { return true };
        let listed = view.directory.last_heartbeat(vm);
        known.is_some_and(|known| listed.is_some_and(|listed| listed > known))
    }

    /// Whether an order to join may be carried out late and make a head a member again.
    ///
    /// Which orders of earlier terms were not answered is not known, so any of them may be late until
    /// its time is over. See `docs/incidents/late-orders-of-earlier-planners.md`.
    fn may_rejoin(&self, now_ms: u64, key: &GroupKey, head: &VmName) -> bool {
        self.unanswered_joins.contains_key(&(head.clone(), key.1))
            || !self.is_of_this_term(key.1) && now_ms < self.late_joins_end_ms(key)
    }

    /// Returns when no order of an earlier term can be carried out any more.
    fn late_orders_end_ms(&self) -> u64 {
        self.lease_held_since_ms + TAKEOVER_DELAY_MS + LATE_ORDER_MS
    }

    /// Returns when no order of an earlier term to join a group can be carried out any more.
    fn late_joins_end_ms(&self, key: &GroupKey) -> u64 {
        let opened_by_ms = self.heads.get(key).and_then(|head| head.opened_by_ms);
        let end_ms = self.late_orders_end_ms();
        opened_by_ms.map_or(end_ms, |opened_ms| end_ms.min(opened_ms + LATE_ORDER_MS))
    }

    /// Whether an order to join another group, which may still be carried out, has a higher epoch than
    /// the one that an endpoint followed when it joined its group. The endpoint would follow it too,
    /// even while its group serves.
    ///
    /// An endpoint that joined in this term rejects all orders of earlier ones. Which of those are
    /// under way is not known: see `docs/incidents/groups-of-earlier-terms.md`.
    fn may_be_ordered_away(&self, now_ms: u64, vm: &VmName, epoch: u64) -> bool {
        let is_ordered =
            |(highest, sent_ms): &(u64, u64)| *highest > epoch && now_ms < *sent_ms + LATE_ORDER_MS;
        let has_late_orders = !self.is_of_this_term(epoch) && now_ms < self.late_orders_end_ms();
        has_late_orders || self.sent_joins.get(vm).is_some_and(is_ordered)
    }

    /// Whether the list shows that an endpoint is a member of a group that serves, other than this one.
    fn serves_elsewhere(
        &self,
        view: &View<'_>,
        observed: &BTreeMap<GroupKey, ObservedGroup>,
        key: &GroupKey,
        vm: &VmName,
    ) -> bool {
        let membership = view.directory.get(vm).and_then(|e| e.membership.as_ref());
        membership.is_some_and(|m| {
            let other = (m.group.clone(), m.epoch);
            let head = observed.get(&other).and_then(ObservedGroup::head);
            let serves = head.is_some_and(|head| head.state.is_serving());
            other != *key && serves && self.is_listed_since_void(view, vm, m.epoch)
        })
    }

    /// Whether an order to open a group may have been sent, so that its head may serve. A head gets it once
    /// the list shows it ready.
    ///
    /// A head that leaves and follows a late order to join is listed as joining again, which only a node
    /// that has followed the list for as long as orders may be late can tell from the first time.
    fn may_have_been_opened(&self, view: &View<'_>, key: &GroupKey) -> bool {
        if self.is_of_this_term(key.1) {
            return self.opening.contains(key);
        }
        let first_read_ms = view.directory.first_read_ms();
        let has_followed = first_read_ms.is_some_and(|ms| view.now_ms >= ms + LATE_ORDER_MS);
        let ready_by_ms = self.heads.get(key).and_then(|head| head.ready_by_ms);
        // What the list showed first in this term, no earlier planning node can have known.
        let is_known_to_others = ready_by_ms
            .is_some_and(|ms| self.active_since_ms.is_none_or(|since_ms| ms <= since_ms));
        !has_followed || is_known_to_others
    }

    /// Whether an endpoint is a member of a group that is being formed.
    fn is_in_forming_group(&self, vm: &VmName) -> bool {
        self.forming.values().any(|forming| forming.members.contains(vm))
    }

    /// Whether an endpoint can be a member of a group.
    fn is_usable(&self, view: &View<'_>, vm: &VmName) -> bool {
        let listed = view.directory.get(vm);
        listed.is_some_and(|endpoint| !endpoint.is_draining) && self.has_no_failed_probe(vm)
    }

    /// Whether an endpoint answered its last probe or was not probed.
    fn has_no_failed_probe(&self, vm: &VmName) -> bool {
        !self.dead.contains_key(vm) && !self.silent.contains_key(vm)
    }

    /// Whether an endpoint may be assigned to a new group.
    fn is_free(&self, view: &View<'_>, endpoint: &Endpoint) -> bool {
        let is_reserved = self.is_in_forming_group(&endpoint.vm)
            || self.ending.values().any(|e| e.members.contains(&endpoint.vm));
        let membership = endpoint.membership.as_ref();
        let is_member = membership.is_some_and(|m| !self.is_void_membership(&endpoint.vm, m.epoch));
        endpoint.pool == *view.pool
            && self.is_usable(view, &endpoint.vm)
            && !is_reserved
            && !is_member
    }

    /// Sends an order unless one of the same kind was sent within `RESEND_INTERVAL_MS`.
    fn order(&mut self, view: &View<'_>, vm: &VmName, order: Order, effects: &mut Vec<Effect>) {
        let sent = (vm.clone(), order.kind());
        if self.sent.contains_key(&sent) {
            return;
        }
        let departed = self.departed.get(vm).map(|(_, endpoint)| endpoint.address);
        let address = view.directory.get(vm).map(|endpoint| endpoint.address).or(departed);
        let Some(address) = address else { return };
        if let Order::Join { epoch, members, .. } = &order {
            let sent = self.sent_joins.entry(vm.clone()).or_default();
            *sent = (sent.0.max(*epoch), view.now_ms);
            if members.first() == Some(vm) {
                *self.unanswered_joins.entry((vm.clone(), *epoch)).or_default() += 1;
            }
        }
        self.sent.insert(sent, view.now_ms);
        effects.push(Effect::Order { vm: vm.clone(), address, order });
    }

    /// Whether a group was formed since this node last became the planning node.
    fn is_of_this_term(&self, epoch: u64) -> bool {
        self.leadership.is_some_and(|l| epoch >> EPOCH_BITS == l.generation)
    }

    fn next_epoch(&mut self) -> u64 {
        let generation = self.leadership.map_or(0, |l| l.generation);
        // The generation fences orders of earlier planning nodes; the lower bits count within it.
        self.last_epoch = self.last_epoch.max(generation << EPOCH_BITS) + 1;
        self.last_epoch
    }
}

/// Returns the time allowed for a group to form. Concurrent loads slow each other down.
fn forming_timeout_ms(model: &Model, has_loads: bool) -> u64 {
    let join_ms = if has_loads { 2 * model.load_ms } else { model.warm_ms };
    join_ms + JOIN_MARGIN_MS
}

/// Number of epoch bits that count the groups formed in one generation.
const EPOCH_BITS: u32 = 16;
