//! Admission per organisation: rate, requests in flight, and weighted fair queueing.
//!
//! The queue uses start-time fair queueing over organisations; priorities order the requests of
//! one organisation only. Whether a request waits is decided by [`balsam_admit`]. See
//! `docs/decisions/0004-endpoint-choice-and-limits.md`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use balsam_admit::Backlog;
use balsam_admit::CallerTime;
use balsam_admit::Service;
use balsam_types::OrganisationName;
use balsam_types::OrganisationSpec;

/// The lowest priority; 0 is served first.
pub const LOWEST_PRIORITY: u8 = 9;
/// Weight of the newest duration in the moving average of request durations.
const DURATION_WEIGHT: f64 = 0.1;

/// Identifies a request within one node; the caller chooses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A request for admission.
#[derive(Debug, Clone, Copy)]
pub struct Offer {
    /// The request.
    pub id: RequestId,
    /// The priority within the organisation, 0 to 9; larger values count as 9.
    pub priority: u8,
    /// The deadline for the answer, in ms of the node's monotonic clock.
    pub deadline_ms: u64,
}

/// The outcome of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admit {
    /// The request runs now; [`Admission::finish`] must follow.
    Run,
    /// The request waits; [`Admission::next`] or [`Admission::take_dropped`] returns it.
    Queued,
    /// The request did not run.
    Refused {
        /// Suggested delay before the next attempt.
        retry_after_ms: u64,
        /// Why it was refused.
        reason: RefuseReason,
    },
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefuseReason {
    /// The organisation exceeds its rate limit.
    Rate,
    /// The queue over all organisations is full.
    QueueFull,
    /// The queue was full and the organisation held more than its weighted share.
    Displaced,
    /// The estimated wait exceeds the time left until the deadline.
    Deadline,
}

#[derive(Debug)]
struct Organisation {
    weight: u32,
    limit_in_flight: u32,
    in_flight: u32,
    tokens: f64,
    tokens_at_ms: u64,
    start_tag: f64,
    /// Waiting requests with their deadlines, by priority and arrival.
    queue: BTreeMap<(u8, u64), (RequestId, u64)>,
}

impl Organisation {
    fn may_run(&self) -> bool {
        self.limit_in_flight == 0 || self.in_flight < self.limit_in_flight
    }
}

/// The admission state of one node.
#[derive(Debug)]
pub struct Admission {
    slots: u32,
    queue_limit: usize,
    running: u32,
    organisations: HashMap<OrganisationName, Organisation>,
    deadlines: BTreeSet<(u64, u64)>,
    queue_keys: HashMap<u64, (OrganisationName, u8)>,
    sequences: HashMap<RequestId, u64>,
    virtual_time: f64,
    next_sequence: u64,
    displaced: Vec<RequestId>,
    average_duration_ms: f64,
}

impl Admission {
    /// Creates the state for a node that runs at most `slots` requests and queues at most
    /// `queue_limit`.
    pub fn new(slots: u32, queue_limit: usize) -> Self {
        Self {
            slots,
            queue_limit,
            running: 0,
            organisations: HashMap::new(),
            deadlines: BTreeSet::new(),
            queue_keys: HashMap::new(),
            sequences: HashMap::new(),
            virtual_time: 0.0,
            next_sequence: 0,
            displaced: Vec::new(),
            average_duration_ms: 0.0,
        }
    }

    /// Changes the number of requests that may run, as the pool's capacity changes.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Decides on a request. The organisation's rate is divided among `live_nodes`.
    ///
    /// Call [`Admission::take_dropped`] first, so that expired requests do not fill the queue.
    pub fn offer(
        &mut self,
        spec: &OrganisationSpec,
        offer: Offer,
        live_nodes: u32,
        now_ms: u64,
    ) -> Admit {
        self.refresh(spec, live_nodes, now_ms);
        if offer.deadline_ms <= now_ms {
            return Admit::Refused { retry_after_ms: 0, reason: RefuseReason::Deadline };
        }
        let rate_per_s = f64::from(spec.limit_per_s) / f64::from(live_nodes.max(1));
        let organisation = &self.organisations[&spec.organisation];
        if spec.limit_per_s != 0 && organisation.tokens < 1.0 {
            let retry_after_ms = ((1.0 - organisation.tokens) / rate_per_s * 1_000.0).ceil() as u64;
            return Admit::Refused { retry_after_ms, reason: RefuseReason::Rate };
        }
        let can_run_now = self.running < self.slots
            && organisation.may_run()
            && !self.organisations.values().any(|o| !o.queue.is_empty() && o.may_run());
        if !can_run_now {
            if let Some(refused) = self.refuse_if_late(&spec.organisation, &offer, now_ms) {
                return refused;
            }
            if self.sequences.len() >= self.queue_limit && !self.displace(&spec.organisation) {
                let wait_ms = self.backlog(&spec.organisation, LOWEST_PRIORITY).wait_ms();
                let retry_after_ms = return_after_ms(&offer, wait_ms, now_ms);
                return Admit::Refused { retry_after_ms, reason: RefuseReason::QueueFull };
            }
        }
        if let Some(organisation) = self.organisations.get_mut(&spec.organisation) {
            organisation.tokens -= 1.0;
        }
        if can_run_now {
            self.start_request(&spec.organisation);
            return Admit::Run;
        }
        self.enqueue(&spec.organisation, offer);
        Admit::Queued
    }

    /// Dequeues the next request that may run, in fair order; call it until it returns `None`.
    pub fn next(&mut self, now_ms: u64) -> Option<RequestId> {
        if self.running >= self.slots {
            return None;
        }
        let virtual_time = self.virtual_time;
        let candidates = self.organisations.iter().filter(|(_, organisation)| {
            let has_live =
                organisation.queue.values().any(|(_, deadline_ms)| now_ms < *deadline_ms);
            has_live && organisation.may_run()
        });
        let next_by_tag = candidates.min_by(|(a_name, a), (b_name, b)| {
            let a_tag = a.start_tag.max(virtual_time);
            let b_tag = b.start_tag.max(virtual_time);
            a_tag.total_cmp(&b_tag).then_with(|| a_name.cmp(b_name))
        });
        let name = next_by_tag?.0.clone();
        let queue = &self.organisations[&name].queue;
        let live = queue.iter().find(|(_, (_, deadline_ms))| now_ms < *deadline_ms);
        let (_, (id, _)) = live?;
        let id = *id;
        self.remove(id);
        self.start_request(&name);
        Some(id)
    }

    /// Records the end of a request that ran for `duration_ms`.
    pub fn finish(&mut self, organisation: &OrganisationName, duration_ms: u64) {
        self.running = self.running.saturating_sub(1);
        if let Some(organisation) = self.organisations.get_mut(organisation) {
            organisation.in_flight = organisation.in_flight.saturating_sub(1);
        }
        let newest = duration_ms as f64;
        let average =
            self.average_duration_ms + DURATION_WEIGHT * (newest - self.average_duration_ms);
        self.average_duration_ms = if self.average_duration_ms == 0.0 { newest } else { average };
    }

    /// Removes one waiting request that expired or was displaced; call it until it returns `None`.
    pub fn take_dropped(&mut self, now_ms: u64) -> Option<(RequestId, RefuseReason)> {
        if let Some(id) = self.displaced.pop() {
            return Some((id, RefuseReason::Displaced));
        }
        let (deadline_ms, sequence) = *self.deadlines.first()?;
        if now_ms < deadline_ms {
            return None;
        }
        let (name, priority) = self.queue_keys.get(&sequence)?;
        let (id, _) = *self.organisations.get(name)?.queue.get(&(*priority, sequence))?;
        self.remove(id);
        Some((id, RefuseReason::Deadline))
    }

    /// Removes a waiting request whose caller disconnected; returns whether it was waiting.
    pub fn cancel(&mut self, id: RequestId) -> bool {
        self.remove(id)
    }

    /// Drops offboarded organisations that have no waiting or running requests.
    pub fn retain(&mut self, keep: impl Fn(&OrganisationName) -> bool) {
        self.organisations.retain(|name, organisation| {
            keep(name) || organisation.in_flight > 0 || !organisation.queue.is_empty()
        });
    }

    /// Returns when the next waiting request expires, for the caller's timer.
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.deadlines.first().map(|(deadline_ms, _)| *deadline_ms)
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> usize {
        self.sequences.len()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    fn refresh(&mut self, spec: &OrganisationSpec, live_nodes: u32, now_ms: u64) {
        let rate_per_s = f64::from(spec.limit_per_s) / f64::from(live_nodes.max(1));
        // One second of the rate, but at least one request: at 390 nodes the share is below one.
        let burst = rate_per_s.max(1.0);
        let entry = self.organisations.entry(spec.organisation.clone());
        let organisation = entry.or_insert_with(|| Organisation {
            weight: spec.weight,
            limit_in_flight: spec.limit_in_flight,
            in_flight: 0,
            tokens: burst,
            tokens_at_ms: now_ms,
            start_tag: 0.0,
            queue: BTreeMap::new(),
        });
        organisation.weight = spec.weight.max(1);
        organisation.limit_in_flight = spec.limit_in_flight;
        let elapsed_ms = now_ms.saturating_sub(organisation.tokens_at_ms);
        let gained = elapsed_ms as f64 / 1_000.0 * rate_per_s;
        organisation.tokens = (organisation.tokens + gained).min(burst);
        organisation.tokens_at_ms = now_ms;
    }

    /// Refuses a request whose caller would leave before its answer.
    fn refuse_if_late(&self, name: &OrganisationName, offer: &Offer, now_ms: u64) -> Option<Admit> {
        let backlog = self.backlog(name, offer.priority);
        let left_ms = offer.deadline_ms.saturating_sub(now_ms) as f64;
        let caller = CallerTime { first_ms: left_ms, whole_ms: left_ms };
        let duration_ms = self.average_duration_ms;
        let service = Service { first_ms: duration_ms, whole_ms: duration_ms };
        if caller.is_served(&service, &backlog) {
            return None;
        }
        let room_ms = backlog.wait_ms() - caller.longest_wait_ms(&service);
        let reason = RefuseReason::Deadline;
        Some(Admit::Refused { retry_after_ms: return_after_ms(offer, room_ms, now_ms), reason })
    }

    /// Returns the requests ahead in the organisation and its fair share of slots.
    fn backlog(&self, name: &OrganisationName, priority: u8) -> Backlog {
        let own = &self.organisations[name];
        let ahead = own.queue.range(..=(priority.min(LOWEST_PRIORITY), u64::MAX)).count();
        let waiting = self
            .organisations
            .iter()
            .filter(|(other, organisation)| *other != name && !organisation.queue.is_empty());
        let other_weights: u32 = waiting.map(|(_, organisation)| organisation.weight).sum();
        let share = f64::from(own.weight) / f64::from(own.weight + other_weights);
        let fair_slots = (f64::from(self.slots) * share).max(f64::MIN_POSITIVE);
        let slots = match own.limit_in_flight {
            0 => fair_slots,
            limit => fair_slots.min(f64::from(limit)),
        };
        let ahead_ms = ahead as f64 * self.average_duration_ms;
        Backlog { opens_ms: 0.0, ahead_ms, rate: slots }
    }

    /// Makes room by dropping the newest, lowest-priority request of the organisation with the most
    /// queued requests per weight, unless that is the requesting one.
    ///
    /// Otherwise a flooding organisation would fill the queue and lock out the others.
    fn displace(&mut self, name: &OrganisationName) -> bool {
        let per_weight = |organisation: &Organisation, extra: usize| {
            (organisation.queue.len() + extra) as f64 / f64::from(organisation.weight)
        };
        let own_per_weight = per_weight(&self.organisations[name], 1);
        let largest = self
            .organisations
            .values()
            .max_by(|a, b| per_weight(a, 0).total_cmp(&per_weight(b, 0)));
        let Some(largest) = largest.filter(|o| per_weight(o, 0) > own_per_weight) else {
            return false;
        };
        let Some((_, (id, _))) = largest.queue.last_key_value() else {
            return false;
        };
        let id = *id;
        self.displaced.push(id);
        self.remove(id)
    }

    fn enqueue(&mut self, name: &OrganisationName, offer: Offer) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let priority = offer.priority.min(LOWEST_PRIORITY);
        if let Some(organisation) = self.organisations.get_mut(name) {
            organisation.queue.insert((priority, sequence), (offer.id, offer.deadline_ms));
        }
        self.deadlines.insert((offer.deadline_ms, sequence));
        self.queue_keys.insert(sequence, (name.clone(), priority));
        self.sequences.insert(offer.id, sequence);
    }

    fn remove(&mut self, id: RequestId) -> bool {
        let Some(sequence) = self.sequences.remove(&id) else {
            return false;
        };
        let Some((name, priority)) = self.queue_keys.remove(&sequence) else {
            return false;
        };
        let organisation = self.organisations.get_mut(&name);
        let removed = organisation.and_then(|o| o.queue.remove(&(priority, sequence)));
        removed.is_some_and(|(_, deadline_ms)| self.deadlines.remove(&(deadline_ms, sequence)))
    }

    /// Advances virtual time to the organisation's start tag and charges one request to it.
    fn start_request(&mut self, name: &OrganisationName) {
        self.running += 1;
        if let Some(organisation) = self.organisations.get_mut(name) {
            let start = organisation.start_tag.max(self.virtual_time);
            self.virtual_time = start;
            organisation.start_tag = start + 1.0 / f64::from(organisation.weight);
            organisation.in_flight += 1;
        }
    }
}

/// Returns when a refused caller should return for which there is room after `room_ms`.
fn return_after_ms(offer: &Offer, room_ms: f64, now_ms: u64) -> u64 {
    let left_ms = offer.deadline_ms.saturating_sub(now_ms) as f64;
    let mut hasher = DefaultHasher::new();
    offer.id.hash(&mut hasher);
    let draw = hasher.finish() as f64 / u64::MAX as f64;
    (balsam_admit::return_after_ms(left_ms, room_ms, draw) as u64).max(1)
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;

    use super::*;

    fn spec(name: &str) -> OrganisationSpec {
        OrganisationSpec {
            organisation: OrganisationName::try_from(name).unwrap(),
            token_sha256: Arc::from(""),
            weight: 1,
            limit_per_s: 0,
            limit_in_flight: 0,
        }
    }

    fn offer(id: u64, deadline_ms: u64) -> Offer {
        Offer { id: RequestId(id), priority: 5, deadline_ms }
    }

    fn is_refused(admit: Admit, expected: RefuseReason) -> bool {
        matches!(admit, Admit::Refused { reason, .. } if reason == expected)
    }

    // The estate-wide rate must hold although every node counts on its own.
    #[test]
    fn the_rate_is_divided_among_the_live_nodes_and_refills() {
        let mut admission = Admission::new(100, 10);
        let spec = OrganisationSpec { limit_per_s: 40, ..spec("a") };
        let admitted = |admission: &mut Admission, now_ms: u64| {
            let offers = (0..40).map(|id| admission.offer(&spec, offer(id, 99_999), 10, now_ms));
            offers.filter(|admit| *admit == Admit::Run).count()
        };
        assert_eq!(admitted(&mut admission, 0), 4);
        assert_eq!(admitted(&mut admission, 500), 2);
        let refused = admission.offer(&spec, offer(0, 99_999), 10, 500);
        assert_eq!(refused, Admit::Refused { retry_after_ms: 250, reason: RefuseReason::Rate });
    }

    // A freed slot of another organisation must not lift an organisation above its limit.
    #[test]
    fn requests_above_the_in_flight_limit_wait_for_one_of_their_organisation() {
        let mut admission = Admission::new(10, 10);
        let limited = OrganisationSpec { limit_in_flight: 1, ..spec("a") };
        assert_eq!(admission.offer(&limited, offer(1, 9_000), 1, 0), Admit::Run);
        assert_eq!(admission.offer(&limited, offer(2, 9_000), 1, 0), Admit::Queued);
        assert_eq!(admission.offer(&spec("b"), offer(3, 9_000), 1, 0), Admit::Run);
        assert_eq!(admission.next(0), None);
        admission.finish(&limited.organisation, 10);
        assert_eq!(admission.next(0), Some(RequestId(2)));
    }

    // A caller that would leave before its answer should learn it at once and try elsewhere: it waits for
    // two requests of 100 ms and needs as long itself. The delay must leave it time to return.
    #[test]
    fn a_request_whose_caller_would_leave_before_its_answer_is_refused_early() {
        let mut admission = Admission::new(1, 10);
        let a = spec("a");
        admission.offer(&a, offer(1, 9_000), 1, 0);
        admission.finish(&a.organisation, 100);
        (2..5).for_each(|id| _ = admission.offer(&a, offer(id, 9_000), 1, 0));
        assert_eq!(admission.queued(), 2);
        let refused = admission.offer(&a, offer(5, 299), 1, 0);
        let is_short = |ms: u64| (1..=99).contains(&ms);
        assert!(
            matches!(refused, Admit::Refused { retry_after_ms, reason: RefuseReason::Deadline }
                if is_short(retry_after_ms)),
            "{refused:?}"
        );
        assert_eq!(admission.offer(&a, offer(6, 300), 1, 0), Admit::Queued);
    }

    // A request past its deadline must not take a slot.
    #[test]
    fn an_expired_request_leaves_the_queue_and_is_never_served() {
        let mut admission = Admission::new(1, 10);
        let a = spec("a");
        admission.offer(&a, offer(1, 9_000), 1, 0);
        admission.offer(&a, offer(2, 50), 1, 0);
        assert_eq!(admission.next_expiry_ms(), Some(50));
        admission.finish(&a.organisation, 60);
        assert_eq!(admission.next(60), None);
        assert_eq!(admission.take_dropped(60), Some((RequestId(2), RefuseReason::Deadline)));
        assert_eq!((admission.queued(), admission.running()), (0, 0));
    }

    // An organisation that fills the queue must not lock out the others.
    #[test]
    fn a_full_queue_displaces_a_request_of_its_largest_user() {
        let mut admission = Admission::new(1, 3);
        let (a, b) = (spec("a"), spec("b"));
        (1..=4).for_each(|id| _ = admission.offer(&a, offer(id, 9_000), 1, 0));
        assert!(is_refused(admission.offer(&a, offer(5, 9_000), 1, 0), RefuseReason::QueueFull));
        assert_eq!(admission.offer(&b, offer(6, 9_000), 1, 0), Admit::Queued);
        assert_eq!(admission.take_dropped(0), Some((RequestId(4), RefuseReason::Displaced)));
        assert_eq!(admission.queued(), 3);
        assert!(admission.cancel(RequestId(6)) && !admission.cancel(RequestId(6)));
    }
}
