//! Forms groups, opens them, dissolves the broken ones and forms them again.
//!
//! Answers a load that needs most of the endpoints while two of them are lost every few seconds.
//! Only the node that leads gives orders, and it reads what stands from the list of endpoints, so
//! that a node that takes over needs nothing else. An endpoint goes into a new group only when the
//! head of its old one has left it, or is known to be dead: until then the old group could serve
//! without it. See `docs/decisions/0008-platform.md`.

mod allocate;
mod ending;
mod load_limiter;
mod review;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use balsam_types::DataCentreName;
use balsam_types::FabricDomainName;
use balsam_types::GroupName;
use balsam_types::ModelName;
use balsam_types::PoolName;
use balsam_types::VmName;

use crate::configuration::Engine;
use crate::demand::Demand;
use crate::directory::Directory;
use crate::endpoint::Endpoint;
use crate::endpoint::MemberState;
use crate::event::Effect;
use crate::event::Leadership;
use crate::event::Note;
use crate::event::Order;
use crate::event::OrderAnswer;
use crate::formation;
use crate::formation::Observed;
use crate::planner::load_limiter::LoadPace;
use crate::suspicion::Suspicions;

/// Pause before an order that was not answered is sent again.
const RESEND_MS: u64 = 500;

/// Time after taking over in which orders of the node before are still on their way.
const TAKE_OVER_MS: u64 = 400;

/// A list that does not grow for this long after the start is taken as whole.
const LIST_SETTLED_MS: u64 = 400;

/// Time for members to report that they joined, beyond the time of the load itself.
const JOIN_MARGIN_MS: u64 = 4_000;

/// A group whose head nobody here ever saw is given up after this long: a head that is only cut off
/// from the list serves on, and such cuts last up to ten seconds.
const HEADLESS_MS: u64 = 20_000;

/// How long the head of a group that is no longer listed is remembered.
const HEAD_MEMORY_MS: u64 = 60_000;

/// Orders without an answer that, with its entry gone, count as the end of a head.
const HEAD_UNANSWERED: u32 = 2;

/// How long endpoints that left the list are remembered, to reach the heads among them.
const DEPARTED_MS: u64 = 30_000;

/// Pause between two probes of an endpoint that is listed but was found dead.
const DEAD_PROBE_MS: u64 = 1_000;

/// An answer this old still shows that a data centre can be reached. A failed probe takes longer, so
/// the answer came after the probe began, and a cut is not taken for the end of an endpoint.
const HEARD_MS: u64 = 210;

/// Marks probes among the orders that are not to be repeated at once.
const PROBE: &str = "probe";

/// Pause between two notes of how much each model is used.
const USE_NOTE_MS: u64 = 2_000;

type Key = (GroupName, u64);

/// A group that is being formed.
#[derive(Debug, Clone)]
struct Forming {
    epoch: u64,
    model: ModelName,
    members: Vec<VmName>,
    started_ms: u64,
    limit_ms: u64,
    joined: BTreeSet<VmName>,
    is_opening: bool,
}

/// A group that ends.
#[derive(Debug, Clone)]
struct Ending {
    head: VmName,
    members: BTreeSet<VmName>,
    /// Whether running work ends first.
    is_graceful: bool,
    /// Whether the head refused to leave, as one does that is not a member any more.
    has_refused: bool,
    /// Orders that the head left unanswered while others of its data centre answered.
    unanswered: u32,
    /// Whether the head left a probe unanswered meanwhile: endpoints that live may leave orders so.
    is_head_dead: bool,
}

/// The planner's state; only what the list of endpoints does not show.
#[derive(Debug, Clone, Default)]
pub struct Planner {
    leadership: Option<Leadership>,
    leads_since_ms: u64,
    last_epoch: u64,
    forming: BTreeMap<GroupName, Forming>,
    ending: BTreeMap<Key, Ending>,
    /// Endpoints whose membership up to this epoch is void.
    freed: BTreeMap<VmName, u64>,
    /// Endpoints that did not answer a probe, with the time of the last one.
    dead: BTreeMap<VmName, u64>,
    departed: BTreeMap<VmName, (u64, Endpoint)>,
    headless: BTreeMap<Key, u64>,
    /// The head of each group, with the time at which it was last listed.
    heads: BTreeMap<Key, (VmName, u64)>,
    sent: BTreeMap<(VmName, &'static str), u64>,
    /// Endpoints that were ordered to stage a model, with the time of the order.
    staging: BTreeMap<VmName, (ModelName, u64)>,
    /// Domains whose free endpoints are kept for a model, with the end of that.
    assembling: BTreeMap<Option<FabricDomainName>, (ModelName, u64)>,
    grown: (usize, u64),
    /// The model of the last group of each endpoint, which it serves again without a load.
    last_model: BTreeMap<VmName, ModelName>,
    /// When an endpoint of a data centre last answered this node.
    heard: BTreeMap<DataCentreName, u64>,
    /// Endpoints that did not answer while nothing else of their data centre did, with the time:
    /// this node may be the one cut off.
    unclear: BTreeMap<VmName, u64>,
    pace: LoadPace,
    use_noted_ms: u64,
}

/// What the planner reads.
pub struct View<'a> {
    /// The time.
    pub now_ms: u64,
    /// The list of endpoints.
    pub directory: &'a Directory,
    /// The pool of the engines.
    pub pool: &'a PoolName,
    /// The engines' figures.
    pub engine: &'a Engine,
    /// The work that callers bring.
    pub demand: &'a Demand,
    /// Groups found lost.
    pub suspicions: &'a Suspicions,
    /// Data centres that get no requests.
    pub evacuated: &'a BTreeSet<DataCentreName>,
}

impl View<'_> {
    /// Whether the groups of an endpoint get requests; those of a data centre that the operators
    /// took out stay as they are, and count for nothing until it is back.
    fn is_used(&self, vm: &VmName) -> bool {
        let endpoint = self.directory.get(vm);
        endpoint.is_some_and(|endpoint| !self.evacuated.contains(&endpoint.data_centre))
    }
}

impl Planner {
    /// Sets whether this node leads; returns the generation if that changed.
    pub fn lead(&mut self, now_ms: u64, leadership: Option<Leadership>) -> Option<Note> {
        let before = self.leadership.map(|l| l.generation);
        let after = leadership.map(|l| l.generation);
        self.leadership = leadership;
        if before == after {
            return None;
        }
        if before.is_none() {
            self.leads_since_ms = now_ms;
            self.forget_plans();
        }
        Some(Note::Leading { generation: after })
    }

    /// Whether this node may give orders now.
    pub fn leads(&self, now_ms: u64) -> bool {
        self.leadership.is_some_and(|l| now_ms < l.until_ms)
    }

    /// Remembers the heads of groups as the list shows them.
    pub fn remember_head(&mut self, now_ms: u64, endpoint: &Endpoint) {
        let Some(membership) = endpoint.membership.as_ref().filter(|m| m.rank == 0) else {
            return;
        };
        let key = (membership.group.clone(), membership.epoch);
        self.heads.insert(key, (endpoint.vm.clone(), now_ms));
        self.heads.retain(|_, (_, seen_ms)| now_ms < *seen_ms + HEAD_MEMORY_MS);
    }

    /// Remembers an endpoint that left the list.
    pub fn departed(&mut self, now_ms: u64, endpoint: Endpoint) {
        self.departed.insert(endpoint.vm.clone(), (now_ms, endpoint));
        self.departed.retain(|_, (at_ms, _)| now_ms < *at_ms + DEPARTED_MS);
    }

    /// Notes that an endpoint of a data centre answered.
    pub fn heard(&mut self, now_ms: u64, data_centre: &DataCentreName) {
        self.heard.insert(data_centre.clone(), now_ms);
    }

    /// Notes the answer to a probe. Silence proves the end of an endpoint only if others of its
    /// data centre answer meanwhile.
    pub fn probed(&mut self, now_ms: u64, endpoint: &Endpoint, is_alive: bool) {
        let vm = &endpoint.vm;
        self.unclear.remove(vm);
        if is_alive {
            self.dead.remove(vm);
            self.heard(now_ms, &endpoint.data_centre);
        } else if self.hears(now_ms, &endpoint.data_centre) {
            self.dead.insert(vm.clone(), now_ms);
        } else {
            self.unclear.insert(vm.clone(), now_ms);
        }
    }

    /// Notes the answer to a probe of an endpoint that is no longer listed, which may lead a group on.
    pub fn departed_probed(&mut self, now_ms: u64, vm: &VmName, is_alive: bool) {
        let Some(data_centre) = self.departed.get(vm).map(|(_, e)| e.data_centre.clone()) else {
            return;
        };
        let is_dead = !is_alive && self.hears(now_ms, &data_centre);
        for ending in self.ending.values_mut().filter(|ending| ending.head == *vm) {
            ending.is_head_dead = is_dead;
            if is_alive {
                ending.unanswered = 0;
            }
        }
    }

    /// Whether an endpoint of a data centre answered this node just now.
    fn hears(&self, now_ms: u64, data_centre: &DataCentreName) -> bool {
        self.heard.get(data_centre).is_some_and(|heard_ms| now_ms < heard_ms + HEARD_MS)
    }

    /// Returns a member of a group that is known to be dead.
    pub fn dead_member(&self, observed: &Observed) -> Option<VmName> {
        let mut members = observed.members.values();
        members.find(|m| self.dead.contains_key(&m.vm)).map(|m| m.vm.clone())
    }

    /// Notes the answer to an order.
    pub fn answered(&mut self, now_ms: u64, vm: &VmName, order: &Order, answer: OrderAnswer) {
        match (order, answer) {
            (Order::Join { group, epoch, .. }, OrderAnswer::Accepted) => {
                if let Some(forming) = self.forming.get_mut(group).filter(|f| f.epoch == *epoch) {
                    forming.joined.insert(vm.clone());
                }
            }
            (Order::Join { group, epoch, .. }, OrderAnswer::Refused) => {
                if let Some(forming) = self.forming.get_mut(group).filter(|f| f.epoch == *epoch) {
                    forming.limit_ms = 0;
                }
            }
            (Order::Leave { group, epoch }, OrderAnswer::Accepted) => {
                self.release(&(group.clone(), *epoch));
            }
            (Order::Leave { group, epoch }, OrderAnswer::Refused) => {
                if let Some(ending) = self.ending.get_mut(&(group.clone(), *epoch)) {
                    ending.has_refused = true;
                }
            }
            // A cut may refuse connections as an ended process does.
            (Order::Leave { group, epoch }, OrderAnswer::Unanswered | OrderAnswer::Unreachable) => {
                let data_centre = self.departed.get(vm).map(|(_, head)| head.data_centre.clone());
                let is_heard = data_centre.is_some_and(|name| self.hears(now_ms, &name));
                if let Some(ending) = self.ending.get_mut(&(group.clone(), *epoch)) {
                    ending.unanswered = if is_heard { ending.unanswered + 1 } else { 0 };
                }
            }
            (Order::Stage { .. }, OrderAnswer::Refused | OrderAnswer::Unreachable) => {
                self.staging.remove(vm);
            }
            _ => {}
        }
    }

    /// Returns the orders that are due now.
    pub fn plan(&mut self, view: &View<'_>) -> Vec<Effect> {
        let now_ms = view.now_ms;
        if !self.leads(now_ms) || now_ms < self.leads_since_ms + TAKE_OVER_MS {
            return Vec::new();
        }
        if !self.is_settled(view) {
            return Vec::new();
        }
        let observed = formation::observe(view.directory);
        self.sent.retain(|_, sent_ms| now_ms < *sent_ms + RESEND_MS);
        let highest = observed.keys().map(|(_, epoch)| *epoch).max().unwrap_or(0);
        self.last_epoch = self.last_epoch.max(highest);
        let mut effects = Vec::new();
        self.probe_dead(view, &mut effects);
        self.probe_unclear(view, &mut effects);
        self.follow_forming(view, &observed, &mut effects);
        self.review(view, &observed, &mut effects);
        self.follow_ending(view, &observed, &mut effects);
        allocate::allocate(self, view, &observed, &mut effects);
        effects
    }

    /// A leader that returns must not act on plans of the time before.
    fn forget_plans(&mut self) {
        self.forming.clear();
        self.ending.clear();
        self.freed.clear();
        self.headless.clear();
        self.sent.clear();
        self.staging.clear();
        self.assembling.clear();
    }

    /// Endpoints register one by one at the start; groups formed of the first few would be poor.
    fn is_settled(&mut self, view: &View<'_>) -> bool {
        let count = view.directory.iter().count();
        if count > self.grown.0 {
            self.grown = (count, view.now_ms);
        }
        count > 0 && view.now_ms >= self.grown.1 + LIST_SETTLED_MS
    }

    /// Asks again where no answer proved nothing, once the data centre can be reached.
    fn probe_unclear(&mut self, view: &View<'_>, effects: &mut Vec<Effect>) {
        let unclear = std::mem::take(&mut self.unclear);
        for (vm, since_ms) in unclear {
            let Some(endpoint) = view.directory.get(&vm) else { continue };
            let heard_ms = self.heard.get(&endpoint.data_centre).copied().unwrap_or(0);
            if heard_ms <= since_ms {
                self.unclear.insert(vm, since_ms);
                continue;
            }
            // The answer of another endpoint meanwhile makes the silence of this one a proof.
            let companion = view.directory.iter().find(|other| {
                other.vm != vm
                    && other.data_centre == endpoint.data_centre
                    && !self.dead.contains_key(&other.vm)
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
                && view.now_ms >= *probed_ms + DEAD_PROBE_MS
            {
                *probed_ms = view.now_ms;
                effects.push(Effect::Probe { vm: vm.clone(), address: endpoint.address });
            }
        }
    }

    fn follow_forming(
        &mut self,
        view: &View<'_>,
        observed: &BTreeMap<Key, Observed>,
        effects: &mut Vec<Effect>,
    ) {
        let names: Vec<GroupName> = self.forming.keys().cloned().collect();
        for name in names {
            let Some(forming) = self.forming.get(&name).cloned() else { continue };
            let key = (name.clone(), forming.epoch);
            let group = observed.get(&key);
            let size = forming.members.len() as u32;
            let lost = forming.members.iter().find(|vm| !self.is_usable(view, vm));
            let head_state = group.and_then(Observed::head).map(|head| head.state);
            if lost.is_some() || view.now_ms >= forming.started_ms + forming.limit_ms {
                let reason = if lost.is_some() { "a member was lost" } else { "joining failed" };
                self.forming.remove(&name);
                self.end(&key, &forming.members, false, reason, effects);
            } else if head_state == Some(MemberState::Open) {
                self.forming.remove(&name);
                effects.push(Effect::Note(Note::GroupServes { group: name, epoch: key.1 }));
            } else if group.is_some_and(|group| group.is_ready(size)) {
                if let Some(forming) = self.forming.get_mut(&name) {
                    forming.is_opening = true;
                }
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
        group: Option<&Observed>,
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

    /// Remembers which model each endpoint served last.
    fn remember_models(&mut self, view: &View<'_>, observed: &BTreeMap<Key, Observed>) {
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

    /// Whether all listed members of a group were freed.
    fn is_void(&self, key: &Key, group: &Observed) -> bool {
        group.members.values().all(|m| self.freed.get(&m.vm).is_some_and(|epoch| key.1 <= *epoch))
    }

    /// Whether an endpoint can be a member of a group.
    fn is_usable(&self, view: &View<'_>, vm: &VmName) -> bool {
        let listed = view.directory.get(vm);
        listed.is_some_and(|endpoint| !endpoint.is_draining) && !self.dead.contains_key(vm)
    }

    /// Whether an endpoint may be ordered into a new group.
    fn is_free(&self, view: &View<'_>, endpoint: &Endpoint) -> bool {
        let is_reserved = self.forming.values().any(|f| f.members.contains(&endpoint.vm))
            || self.ending.values().any(|e| e.members.contains(&endpoint.vm));
        let freed_epoch = self.freed.get(&endpoint.vm).copied();
        let is_member =
            endpoint.membership.as_ref().is_some_and(|m| freed_epoch.is_none_or(|e| m.epoch > e));
        endpoint.pool == *view.pool
            && self.is_usable(view, &endpoint.vm)
            && !is_reserved
            && !is_member
    }

    /// Sends an order unless the same one was sent just now.
    fn order(&mut self, view: &View<'_>, vm: &VmName, order: Order, effects: &mut Vec<Effect>) {
        let sent = (vm.clone(), order.kind());
        if self.sent.contains_key(&sent) {
            return;
        }
        let departed = self.departed.get(vm).map(|(_, endpoint)| endpoint.address);
        let address = view.directory.get(vm).map(|endpoint| endpoint.address).or(departed);
        let Some(address) = address else { return };
        self.sent.insert(sent, view.now_ms);
        effects.push(Effect::Order { vm: vm.clone(), address, order });
    }

    fn next_epoch(&mut self) -> u64 {
        let generation = self.leadership.map_or(0, |l| l.generation);
        // The generation fences the orders of leaders before; the rest counts within it.
        self.last_epoch = self.last_epoch.max(generation << EPOCH_BITS) + 1;
        self.last_epoch
    }
}

/// Bits of an epoch that count the groups of one leader.
const EPOCH_BITS: u32 = 16;
