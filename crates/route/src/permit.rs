//! Cold-start permits: one owner per group limits the requests sent to a cold endpoint.
//!
//! See `docs/design.md`, section 10, and `docs/decisions/0003-cold-start-permits.md`.

use std::collections::HashMap;
use std::sync::Arc;

use balsam_types::Incarnation;
use balsam_types::Offset;

use crate::choice::REPORT_FRESH_MS;
use crate::table::Temperature;

/// How long a permit is valid for dispatch, counted from when the request for it was sent.
pub const DISPATCH_VALID_MS: u64 = 1_000;

/// The timing parameters of an owner.
#[derive(Debug, Clone, Copy)]
pub struct PermitTimes {
    /// Maximum age of the last confirmed read of the log head while permits are granted.
    pub owner_fresh_ms: u64,
    /// The longest request deadline in the estate.
    pub longest_deadline_ms: u64,
    /// Added to a request's deadline for clock drift and messages in transit.
    pub margin_ms: u64,
    /// A longer gap between ticks means that the owner was paused.
    pub tick_gap_ms: u64,
}

impl Default for PermitTimes {
    fn default() -> Self {
        Self {
            owner_fresh_ms: 3_000,
            longest_deadline_ms: 60_000,
            margin_ms: 1_000,
            tick_gap_ms: 500,
        }
    }
}

/// Identifies a permit at its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PermitId {
    /// The offset of the `AssignOwner` record of the granting owner, so that ids never repeat.
    pub owner_offset: Offset,
    /// Counts the owner's grants.
    pub number: u64,
}

/// A permit that may be in use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldPermit {
    /// The permit.
    pub id: PermitId,
    /// The entry node that holds it.
    pub holder: Incarnation,
    /// The endpoint process it was granted for.
    pub instance: Arc<str>,
    /// How long it may still be in use; relative, because owners do not share a clock.
    pub remaining_ms: u64,
}

/// A sender's request to the owner.
#[derive(Debug, Clone)]
pub struct PermitRequest {
    /// The requesting entry node.
    pub holder: Incarnation,
    /// The endpoint process the sender knows of.
    pub instance: Arc<str>,
    /// Time left until the deadline of the request to dispatch, when this was sent.
    pub deadline_in_ms: u64,
}

/// The owner's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitReply {
    /// The sender may dispatch one request.
    Granted(PermitId),
    /// The sender must not dispatch.
    Denied {
        /// Suggested delay before the next attempt.
        retry_after_ms: u64,
        /// Why no permit was granted.
        reason: DenyReason,
    },
}

/// Why an owner grants no permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DenyReason {
    /// The endpoint has as many requests as the cold limit allows.
    Full,
    /// Permits of an earlier owner may still be in use.
    Waiting,
    /// The owner has not confirmed the log head recently, so another owner may exist.
    NotFresh,
    /// The permits were handed over to another owner.
    NotOwner,
    /// The owner's last load report shows a warm endpoint or another instance of it.
    OtherReport,
    /// Requests that were sent without permits, while the endpoint was warm, may still run.
    Unpermitted,
    /// The deadline exceeds the estate's longest, which is how long a new owner waits for the
    /// requests of the previous one.
    DeadlineTooLong,
}

/// The permits of an owner that stopped granting, passed to its successor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handover {
    /// The offset of the `AssignOwner` record of the owner that hands over.
    pub from: Offset,
    /// Its permits that may still be in use.
    pub permits: Vec<HeldPermit>,
    /// Requests without permits known to the owner; `None` if it considered the endpoint warm.
    pub unpermitted: Option<UnpermittedHandover>,
}

/// Requests that run at a cold endpoint without permits, as part of a handover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnpermittedHandover {
    /// The endpoint process that reported last, if any did.
    pub instance: Option<Arc<str>>,
    /// Upper bound on the number of such requests.
    pub count: u32,
    /// Time until load reports include all of them.
    pub settle_ms: u64,
    /// Time until all of them have passed their deadlines.
    pub remaining_ms: u64,
}

/// Requests that were sent without permits before the endpoint was seen to be cold.
#[derive(Debug)]
struct Unpermitted {
    /// The endpoint process that reported last.
    instance: Option<Arc<str>>,
    is_warm: bool,
    has_reported_warm: bool,
    /// Upper bound on such requests that may still run.
    count: u32,
    /// Reports made later include all of them, since no sender considers the endpoint warm then.
    settled_ms: u64,
    expires_ms: u64,
}

/// What a new owner knows about the previous owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Predecessor {
    /// The log shows that the group never had an owner.
    None,
    /// The owner of this `AssignOwner` record may still grant, or its permits may still be in use.
    Owner(Offset),
}

#[derive(Debug)]
struct Entry {
    holder: Incarnation,
    instance: Arc<str>,
    expires_ms: u64,
}

/// The owner's state for one group.
#[derive(Debug)]
pub struct PermitOwner {
    times: PermitTimes,
    cold_limit: u32,
    held: HashMap<PermitId, Entry>,
    owner_offset: Offset,
    predecessor: Predecessor,
    next_number: u64,
    is_handed_over: bool,
    grants_from_ms: u64,
    head_read_ms: Option<u64>,
    last_tick_ms: u64,
    resumed_ms: u64,
    unpermitted: Unpermitted,
}

impl PermitOwner {
    /// Starts ownership when the node folds the `AssignOwner` record that names it.
    ///
    /// An earlier owner may grant until its view of the log is `owner_fresh_ms` old, and each of
    /// its permits may be used until the longest deadline, so the first grant waits for both.
    pub fn new(
        times: PermitTimes,
        cold_limit: u32,
        owner_offset: Offset,
        predecessor: Predecessor,
        now_ms: u64,
    ) -> Self {
        let wait_ms = match predecessor {
            Predecessor::None => 0,
            Predecessor::Owner(_) => {
                times.owner_fresh_ms + times.longest_deadline_ms + times.margin_ms
            }
        };
        Self {
            times,
            cold_limit,
            held: HashMap::new(),
            owner_offset,
            predecessor,
            next_number: 1,
            is_handed_over: false,
            grants_from_ms: now_ms + wait_ms,
            head_read_ms: None,
            last_tick_ms: now_ms,
            resumed_ms: now_ms,
            unpermitted: Unpermitted {
                instance: None,
                // Senders may have considered the endpoint warm before this owner saw a report.
                is_warm: predecessor != Predecessor::None,
                has_reported_warm: false,
                count: 0,
                settled_ms: 0,
                expires_ms: 0,
            },
        }
    }

    /// Sets the pool's cold limit; permits already held above it stay valid until they expire.
    pub fn set_cold_limit(&mut self, cold_limit: u32) {
        self.cold_limit = cold_limit;
    }

    /// Takes over the permits of the previous owner; returns whether they were accepted.
    ///
    /// A handover from any other owner is refused: one in between may have granted permits too.
    pub fn accept_handover(&mut self, handover: Handover, now_ms: u64) -> bool {
        if self.predecessor != Predecessor::Owner(handover.from) || now_ms >= self.grants_from_ms {
            return false;
        }
        for permit in handover.permits {
            let expires_ms = now_ms + permit.remaining_ms;
            let HeldPermit { id, holder, instance, .. } = permit;
            self.held.insert(id, Entry { holder, instance, expires_ms });
        }
        self.grants_from_ms = now_ms;
        if let Some(received) = handover.unpermitted {
            self.accept_unpermitted(received, now_ms);
        }
        true
    }

    /// Adopts the handed-over state unless the reports this owner received contradict it.
    fn accept_unpermitted(&mut self, received: UnpermittedHandover, now_ms: u64) {
        let state = &mut self.unpermitted;
        let has_instance_changed = state.instance.is_some() && state.instance != received.instance;
        if has_instance_changed || state.has_reported_warm {
            return;
        }
        state.instance = received.instance;
        state.is_warm = false;
        state.count = received.count;
        state.settled_ms = now_ms + received.settle_ms;
        state.expires_ms = now_ms + received.remaining_ms;
    }

    /// Stops granting for good and returns the permits that may still be in use.
    ///
    /// Returns `None` while permits of the previous owner are unknown, since the list would be
    /// incomplete; the next owner then has to wait.
    pub fn hand_over(&mut self, now_ms: u64) -> Option<Handover> {
        if now_ms < self.grants_from_ms {
            return None;
        }
        self.expire(now_ms);
        self.is_handed_over = true;
        let permits = self.held.iter().map(|(id, entry)| HeldPermit {
            id: *id,
            holder: entry.holder.clone(),
            instance: Arc::clone(&entry.instance),
            remaining_ms: entry.expires_ms - now_ms,
        });
        let permits = permits.collect();
        let state = &self.unpermitted;
        let unpermitted = (!state.is_warm).then(|| UnpermittedHandover {
            instance: state.instance.clone(),
            count: state.count,
            settle_ms: state.settled_ms.saturating_sub(now_ms),
            remaining_ms: state.expires_ms.saturating_sub(now_ms),
        });
        Some(Handover { from: self.owner_offset, permits, unpermitted })
    }

    /// Records a read that reached the head of the log and still names this node as the owner.
    ///
    /// `started_ms` is when the read was sent: a record appended after that may be missing from it.
    pub fn record_head_read(&mut self, started_ms: u64) {
        if started_ms >= self.resumed_ms {
            self.head_read_ms = self.head_read_ms.max(Some(started_ms));
        }
    }

    /// Applies the endpoint's last load report; call it at each report, and with
    /// [`Temperature::Unknown`] once the last report is no longer fresh.
    ///
    /// A warm endpoint gets requests without permits. When it turns cold, those still run and more
    /// arrive from senders with an older report. The owner grants nothing until no sender can
    /// consider the endpoint warm any more, and then counts the requests in a later report.
    pub fn observe(
        &mut self,
        instance: &str,
        temperature: Temperature,
        in_flight: u32,
        made_ms: u64,
        now_ms: u64,
    ) {
        let state = &mut self.unpermitted;
        let has_instance_changed = state.instance.as_deref().is_some_and(|known| known != instance);
        if has_instance_changed || state.instance.is_none() {
            state.instance = Some(Arc::from(instance));
        }
        if temperature == Temperature::Warm {
            state.is_warm = true;
            state.has_reported_warm = true;
            return;
        }
        if state.is_warm || has_instance_changed {
            state.is_warm = false;
            state.count = u32::MAX;
            state.settled_ms = now_ms + REPORT_FRESH_MS + self.times.margin_ms;
            state.expires_ms = state.settled_ms + self.times.longest_deadline_ms;
        } else if made_ms >= state.settled_ms {
            state.count = state.count.min(in_flight);
        }
    }

    /// Records that the process runs; after a gap, grants nothing until the log is read again.
    pub fn tick(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.last_tick_ms) > self.times.tick_gap_ms {
            self.resumed_ms = now_ms;
            self.head_read_ms = None;
        }
        self.last_tick_ms = now_ms;
        self.expire(now_ms);
    }

    /// Answers a sender's request for a permit.
    pub fn request(&mut self, request: PermitRequest, now_ms: u64) -> PermitReply {
        self.tick(now_ms);
        if let Some(denial) = self.check_denied(&request, now_ms) {
            return denial;
        }
        let id = PermitId { owner_offset: self.owner_offset, number: self.next_number };
        self.next_number += 1;
        let expires_ms = now_ms + request.deadline_in_ms + self.times.margin_ms;
        let PermitRequest { holder, instance, .. } = request;
        self.held.insert(id, Entry { holder, instance, expires_ms });
        PermitReply::Granted(id)
    }

    /// Ends a permit whose request has ended or was never dispatched.
    ///
    /// Only the holder may release it, so that an id from another owner releases nothing.
    pub fn release(&mut self, id: PermitId, holder: &Incarnation) -> bool {
        let is_holder = self.held.get(&id).is_some_and(|entry| entry.holder == *holder);
        is_holder && self.held.remove(&id).is_some()
    }

    /// Returns the number of permits that may be in use, over all instances of the endpoint.
    pub fn held_permits(&self) -> usize {
        self.held.len()
    }

    fn check_denied(&self, request: &PermitRequest, now_ms: u64) -> Option<PermitReply> {
        let is_fresh = self
            .head_read_ms
            .is_some_and(|read_ms| now_ms.saturating_sub(read_ms) < self.times.owner_fresh_ms);
        let (retry_after_ms, reason) = if self.is_handed_over {
            (self.times.tick_gap_ms, DenyReason::NotOwner)
        } else if request.deadline_in_ms > self.times.longest_deadline_ms {
            (self.times.longest_deadline_ms, DenyReason::DeadlineTooLong)
        } else if now_ms < self.grants_from_ms {
            (self.grants_from_ms - now_ms, DenyReason::Waiting)
        } else if !is_fresh {
            (self.times.tick_gap_ms, DenyReason::NotFresh)
        } else if self.unpermitted.is_warm || self.is_other_instance(&request.instance) {
            (self.times.tick_gap_ms, DenyReason::OtherReport)
        } else if self.unpermitted.count >= self.cold_limit {
            (self.times.tick_gap_ms, DenyReason::Unpermitted)
        } else if self.held.len() + self.unpermitted.count as usize >= self.cold_limit as usize {
            // Permits of an earlier instance count as well: after a restart of the endpoint process
            // on the same VM its requests may still run.
            (self.times.tick_gap_ms, DenyReason::Full)
        } else {
            return None;
        };
        Some(PermitReply::Denied { retry_after_ms, reason })
    }

    fn is_other_instance(&self, instance: &str) -> bool {
        self.unpermitted.instance.as_deref().is_some_and(|known| known != instance)
    }

    fn expire(&mut self, now_ms: u64) {
        if now_ms >= self.unpermitted.expires_ms {
            self.unpermitted.count = 0;
        }
        self.held.retain(|_, entry| now_ms < entry.expires_ms);
    }
}

/// The sender's side of one permit, from the moment it is requested.
#[derive(Debug, Clone)]
pub struct PermitHolder {
    sent_ms: u64,
    instance: Arc<str>,
    permit: Option<PermitId>,
}

impl PermitHolder {
    /// Records that the request for a permit is being sent.
    pub fn requested(instance: Arc<str>, now_ms: u64) -> Self {
        Self { sent_ms: now_ms, instance, permit: None }
    }

    /// Records the owner's reply.
    pub fn handle_reply(&mut self, reply: PermitReply) {
        if let PermitReply::Granted(id) = reply {
            self.permit = Some(id);
        }
    }

    /// Returns the permit if it was granted; it must be released whether or not it was used.
    pub fn permit(&self) -> Option<PermitId> {
        self.permit
    }

    /// Returns whether the request may be dispatched now to this instance of the endpoint.
    ///
    /// Check it as the last step before the dispatch: a sender that was paused after the grant
    /// must not dispatch, since the permit may have expired at the owner.
    pub fn may_dispatch(&self, instance: &str, now_ms: u64) -> bool {
        let is_valid = now_ms.saturating_sub(self.sent_ms) < DISPATCH_VALID_MS;
        self.permit.is_some() && is_valid && *self.instance == *instance
    }
}

#[cfg(test)]
mod tests {
    use balsam_types::VmName;

    use super::*;

    const TIMES: PermitTimes = PermitTimes {
        owner_fresh_ms: 3_000,
        longest_deadline_ms: 2_000,
        margin_ms: 1_000,
        tick_gap_ms: 500,
    };

    fn request(instance: &str) -> PermitRequest {
        let holder =
            Incarnation { vm: VmName::try_from("entry-1").unwrap(), start_ms: 0, nonce: 0 };
        PermitRequest { holder, instance: Arc::from(instance), deadline_in_ms: 1_000 }
    }

    /// Ticks the owner and confirms log reads from `from_ms` until `now_ms`.
    fn keep_running(owner: &mut PermitOwner, from_ms: u64, now_ms: u64) {
        for time_ms in (from_ms..=now_ms).step_by(100) {
            owner.tick(time_ms);
            owner.record_head_read(time_ms);
        }
    }

    fn first_owner() -> PermitOwner {
        let mut owner = PermitOwner::new(TIMES, 2, Offset::new(1, 0), Predecessor::None, 0);
        keep_running(&mut owner, 0, 0);
        owner
    }

    fn deny_reason(reply: PermitReply) -> Option<DenyReason> {
        match reply {
            PermitReply::Granted(_) => None,
            PermitReply::Denied { reason, .. } => Some(reason),
        }
    }

    // The requests of the old process still run on the VM.
    #[test]
    fn another_instance_does_not_release_permits() {
        let mut owner = first_owner();
        assert_eq!(deny_reason(owner.request(request("a"), 0)), None);
        assert_eq!(deny_reason(owner.request(request("a"), 0)), None);
        assert_eq!(deny_reason(owner.request(request("b"), 100)), Some(DenyReason::Full));
        keep_running(&mut owner, 100, 1_900);
        assert_eq!(deny_reason(owner.request(request("b"), 1_900)), Some(DenyReason::Full));
        assert_eq!(deny_reason(owner.request(request("b"), 2_000)), None);
    }

    // Without the wait, two owners could grant permits for the same endpoint.
    #[test]
    fn a_new_owner_waits_for_the_previous_owner_and_its_longest_request() {
        let predecessor = Predecessor::Owner(Offset::new(1, 0));
        let mut owner = PermitOwner::new(TIMES, 2, Offset::new(2, 0), predecessor, 0);
        owner.observe("a", Temperature::Cold, 0, 0, 0);
        keep_running(&mut owner, 0, 5_900);
        owner.observe("a", Temperature::Cold, 0, 5_000, 5_900);
        assert_eq!(deny_reason(owner.request(request("a"), 5_999)), Some(DenyReason::Waiting));
        assert_eq!(deny_reason(owner.request(request("a"), 6_000)), None);
    }

    // A handover that skips an owner would miss the permits which that owner granted.
    #[test]
    fn a_handover_moves_the_permits_and_ends_the_wait_of_the_direct_successor_only() {
        let mut old = first_owner();
        assert_eq!(deny_reason(old.request(request("a"), 0)), None);
        let handover = old.hand_over(100).unwrap();
        keep_running(&mut old, 0, 100);
        assert_eq!(deny_reason(old.request(request("a"), 100)), Some(DenyReason::NotOwner));
        let successor = |previous| {
            let predecessor = Predecessor::Owner(Offset::new(previous, 0));
            PermitOwner::new(TIMES, 2, Offset::new(9, 0), predecessor, 100)
        };
        assert!(!successor(2).accept_handover(handover.clone(), 150));
        let mut new = successor(1);
        assert!(new.accept_handover(handover, 150));
        keep_running(&mut new, 100, 200);
        assert_eq!(deny_reason(new.request(request("a"), 200)), None);
        assert_eq!(deny_reason(new.request(request("a"), 200)), Some(DenyReason::Full));
    }

    // During the pause, another node may have become the owner.
    #[test]
    fn an_owner_that_was_paused_grants_only_after_it_has_read_the_log_again() {
        let mut owner = first_owner();
        assert_eq!(deny_reason(owner.request(request("a"), 501)), Some(DenyReason::NotFresh));
        // This read was sent before the pause and may miss a change of owner.
        owner.record_head_read(400);
        assert_eq!(deny_reason(owner.request(request("a"), 502)), Some(DenyReason::NotFresh));
        owner.record_head_read(503);
        assert_eq!(deny_reason(owner.request(request("a"), 503)), None);
    }

    // Requests without permits still run at an endpoint that turns cold.
    #[test]
    fn no_permits_for_an_endpoint_that_turns_cold_until_a_report_shows_room() {
        let mut owner = first_owner();
        owner.observe("a", Temperature::Warm, 9, 0, 0);
        assert_eq!(deny_reason(owner.request(request("a"), 0)), Some(DenyReason::OtherReport));
        owner.observe("b", Temperature::Cold, 0, 100, 100);
        keep_running(&mut owner, 100, 3_100);
        owner.observe("b", Temperature::Cold, 0, 3_000, 3_100);
        assert_eq!(deny_reason(owner.request(request("b"), 3_100)), Some(DenyReason::Unpermitted));
        owner.observe("b", Temperature::Cold, 1, 3_100, 3_150);
        assert_eq!(deny_reason(owner.request(request("b"), 3_150)), None);
        assert_eq!(deny_reason(owner.request(request("b"), 3_150)), Some(DenyReason::Full));
    }

    // A sender that was paused must not use a permit that has expired at the owner.
    #[test]
    fn a_permit_is_valid_for_one_second_and_for_the_same_instance() {
        let mut holder = PermitHolder::requested(Arc::from("a"), 100);
        assert!(!holder.may_dispatch("a", 100));
        holder.handle_reply(first_owner().request(request("a"), 0));
        assert!(holder.may_dispatch("a", 1_099));
        assert!(!holder.may_dispatch("a", 1_100));
        assert!(!holder.may_dispatch("b", 200));
    }
}
