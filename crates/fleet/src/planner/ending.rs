//! Dissolves groups, until their members may join other groups.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use balsam_types::VmName;

use super::Ending;
use super::GroupKey;
use super::HEAD_BREAK_MS;
use super::HEAD_INQUIRY_MS;
use super::HEAD_SHUTDOWN_MS;
use super::HEAD_UNANSWERED_LIMIT;
use super::JOIN;
use super::LeaveAnswer;
use super::PROBE;
use super::Planner;
use super::REOPEN_MIN_MS;
use super::View;
use crate::endpoint::Endpoint;
use crate::endpoint::MemberState;
use crate::event::Decision;
use crate::event::Effect;
use crate::event::Order;
use crate::formation;
use crate::formation::ObservedGroup;
use crate::head_evidence::HeadVerdict;

impl Planner {
    /// Starts to dissolve a group; the first member is its head.
    pub(super) fn end_group(
        &mut self,
        key: &GroupKey,
        members: &[VmName],
        is_graceful: bool,
        reason: &'static str,
        effects: &mut Vec<Effect>,
    ) {
        let ending = Ending {
            head: members[0].clone(),
            members: members.iter().cloned().collect(),
            is_graceful,
            leave_answer: None,
            has_left: false,
            fencing_epoch: None,
            is_fenced: false,
            is_unresponsive: false,
            unanswered: 0,
            refuses_connections: false,
            is_head_dead: false,
            doubted: None,
            member_left_ms: None,
        };
        self.ending.insert(key.clone(), ending);
        let (group, epoch) = key.clone();
        effects.push(Effect::LogDecision(Decision::GroupDissolving { group, epoch, reason }));
    }

    /// Ends a group that the list does not show as open. If its head was never ordered to open, nothing
    /// can make it serve, and its members are free at once.
    pub(super) fn end_unopened_group(
        &mut self,
        view: &View<'_>,
        key: &GroupKey,
        members: &[VmName],
        reason: &'static str,
        effects: &mut Vec<Effect>,
    ) {
        self.end_group(key, members, false, reason, effects);
        if !self.may_have_been_opened(view, key) {
            self.release_members(key, "the head was never ordered to open", effects);
        }
    }

    /// Whether the head of a group may still finish requests although it takes no connections.
    fn may_shut_down(&self, now_ms: u64, ending: &Ending) -> bool {
        let departed = self.departed.get(&ending.head);
        ending.refuses_connections
            && departed.is_some_and(|(at_ms, _)| now_ms < *at_ms + HEAD_SHUTDOWN_MS)
    }

    pub(super) fn advance_ending(
        &mut self,
        view: &View<'_>,
        observed: &BTreeMap<GroupKey, ObservedGroup>,
        effects: &mut Vec<Effect>,
    ) {
        let keys: Vec<GroupKey> = self.ending.keys().cloned().collect();
        for key in keys {
            if !self.is_any_listed(view, &key) {
                // Nobody can be released. Members that are listed again are reviewed anew.
                self.ending.remove(&key);
                continue;
            }
            self.review_doubts(view, &key, effects);
            let Some(ending) = self.ending.get(&key).cloned() else { continue };
            if let Some(evidence) = self.evidence_of_end(view, &key, &ending) {
                self.release_members(&key, evidence, effects);
                continue;
            }
            let head = observed.get(&key).and_then(ObservedGroup::head);
            let still_works = head.is_some_and(|head| head.state.is_serving());
            // A head that needs a fence gets it when its members are of use.
            let has_left = self.note_left(view, &key);
            if has_left && !still_works && !self.is_wanted(view, &ending) {
                continue;
            }
            if self.fence_head(view, observed, &key, &ending, effects) {
                continue;
            }
            let is_listed = view.directory.get(&ending.head).is_some();
            if !is_listed {
                // An answer from another member shows that this node is not cut off; an answer from
                // the head shows that it still serves although it left the list.
                self.probe_members(view, &ending, effects);
            }
            let (group, epoch) = key;
            let order = match ending.is_graceful && still_works {
                true if head.is_some_and(|head| head.state == MemberState::Closing) => continue,
                true => Order::Close { group, epoch },
                false => Order::Leave { group, epoch },
            };
            self.order(view, &ending.head, order, effects);
        }
    }

    fn is_any_listed(&self, view: &View<'_>, key: &GroupKey) -> bool {
        let mut members = self.ending.get(key).into_iter().flat_map(|ending| &ending.members);
        members.any(|vm| view.directory.get(vm).is_some())
    }

    /// Returns what shows that the head of a group no longer serves it, if anything does.
    fn evidence_of_end(
        &self,
        view: &View<'_>,
        key: &GroupKey,
        ending: &Ending,
    ) -> Option<&'static str> {
        if ending.is_fenced {
            return Some("the head left and rejects late orders");
        }
        if self.is_in_later_group(view, key, &ending.head) {
            return Some("the head is in a later group");
        }
        if !self.needs_fence(view, key, ending) {
            match ending.leave_answer {
                Some((_, LeaveAnswer::Accepted)) => return Some("the head left"),
                Some((_, LeaveAnswer::Refused)) if self.has_left(view, key, &ending.head) => {
                    return Some("the head is listed without the group");
                }
                _ => {}
            }
        }
        if !self.is_out_of_reach(view, ending) {
            return None;
        }
        let is_gone = matches!(ending.doubted, Some((_, HeadVerdict::Gone { .. })));
        let breaks_ms = ending.member_left_ms.map(|left_ms| left_ms + HEAD_BREAK_MS);
        if is_gone && !self.may_shut_down(view.now_ms, ending) {
            return Some("the head answers no node");
        }
        breaks_ms.filter(|at_ms| view.now_ms >= *at_ms).map(|_| "a member left")
    }

    /// Whether a head is not listed and does not answer this node, although others of its data
    /// centre do.
    fn is_out_of_reach(&self, view: &View<'_>, ending: &Ending) -> bool {
        view.directory.get(&ending.head).is_none()
            && ending.unanswered >= HEAD_UNANSWERED_LIMIT
            && ending.is_head_dead
    }

    /// Updates what other nodes know of a head that does not answer this node. If they know too
    /// little, the other members are ordered to leave, which breaks a head that still serves.
    fn review_doubts(&mut self, view: &View<'_>, key: &GroupKey, effects: &mut Vec<Effect>) {
        let Some(ending) = self.ending.get_mut(key) else { return };
        let head = ending.head.clone();
        let is_doubted = ending.is_unresponsive || view.directory.get(&head).is_none();
        if !is_doubted {
            ending.doubted = None;
            return;
        }
        let verdict = view.heads.get(&head).copied().unwrap_or(HeadVerdict::Unknown);
        let known = ending.doubted;
        let since_ms = known.map_or(view.now_ms, |(since_ms, _)| since_ms);
        let asked_for_ms = view.now_ms.saturating_sub(since_ms);
        ending.doubted = Some((since_ms, verdict));
        ending.refuses_connections |= verdict == HeadVerdict::Gone { is_refused: true };
        if known.is_some_and(|(_, before)| before != verdict) {
            let (group, epoch) = key.clone();
            let decision = Decision::HeadVerdict { group, epoch, head, verdict, asked_for_ms };
            effects.push(Effect::LogDecision(decision));
        }
        let ending = ending.clone();
        let is_unresolved = verdict == HeadVerdict::Unknown
            && asked_for_ms >= HEAD_INQUIRY_MS
            && ending.member_left_ms.is_none();
        if is_unresolved && self.is_out_of_reach(view, &ending) {
            let (group, epoch) = key.clone();
            for vm in ending.members.iter().filter(|vm| **vm != ending.head) {
                let order = Order::Leave { group: group.clone(), epoch };
                self.order(view, vm, order, effects);
            }
        }
    }

    /// Whether the list shows the head of a group without that membership.
    pub(super) fn has_left(&self, view: &View<'_>, key: &GroupKey, head: &VmName) -> bool {
        view.directory.get(head).is_some_and(|endpoint| {
            let membership = endpoint.membership.as_ref();
            membership.is_none_or(|m| m.group != key.0 || m.epoch != key.1)
        })
    }

    /// Whether the list shows an endpoint in a group of a higher epoch: it rejects all orders to join this
    /// one, so that a fence would only take it out of the other group.
    fn is_in_later_group(&self, view: &View<'_>, key: &GroupKey, vm: &VmName) -> bool {
        let membership = view.directory.get(vm).and_then(|e| e.membership.as_ref());
        membership.is_some_and(|m| m.epoch > key.1)
    }

    fn probe_members(&mut self, view: &View<'_>, ending: &Ending, effects: &mut Vec<Effect>) {
        for vm in &ending.members {
            let departed = self.departed.get(vm).map(|(_, endpoint)| endpoint.address);
            let address = view.directory.get(vm).map(|endpoint| endpoint.address).or(departed);
            let Some(address) = address else { continue };
            let sent = (vm.clone(), PROBE);
            if let Entry::Vacant(unsent) = self.sent.entry(sent) {
                unsent.insert(view.now_ms);
                effects.push(Effect::Probe { vm: vm.clone(), address });
            }
        }
    }

    /// Whether late orders may make the head serve the group again after it left.
    fn needs_fence(&self, view: &View<'_>, key: &GroupKey, ending: &Ending) -> bool {
        self.may_rejoin(view.now_ms, key, &ending.head)
            && formation::model_of(&key.0, view.engine).is_some()
    }

    /// Whether an answer to the order to leave shows that the head is not a member.
    fn has_just_left(
        &self,
        view: &View<'_>,
        key: &GroupKey,
        ending: &Ending,
        answer: LeaveAnswer,
    ) -> bool {
        answer == LeaveAnswer::Accepted || self.has_left(view, key, &ending.head)
    }

    /// Whether the head has left at least once.
    fn note_left(&mut self, view: &View<'_>, key: &GroupKey) -> bool {
        let Some(ending) = self.ending.get(key) else { return false };
        let has_left = ending.has_left
            || ending
                .leave_answer
                .is_some_and(|(_, answer)| self.has_just_left(view, key, ending, answer));
        if let Some(ending) = self.ending.get_mut(key) {
            ending.has_left = has_left;
        }
        has_left
    }

    /// Whether the members of a group could form another, with the free endpoints of their domain and
    /// the members of other groups that wait in the same way.
    fn is_wanted(&self, view: &View<'_>, ending: &Ending) -> bool {
        let mut members = ending.members.iter().filter_map(|vm| view.directory.get(vm));
        let usable = members.find(|endpoint| self.is_usable(view, &endpoint.vm));
        let Some(domain) = usable.map(|endpoint| &endpoint.domain) else { return false };
        let waits = |vm: &VmName| {
            let mut endings = self.ending.values().filter(|other| other.has_left);
            endings.any(|other| other.members.contains(vm)) && self.is_usable(view, vm)
        };
        let is_available =
            |e: &&Endpoint| e.domain == *domain && (waits(&e.vm) || self.is_free(view, e));
        let available = view.directory.iter().filter(is_available).count();
        let smallest = view.engine.models.iter().map(|model| model.size).min();
        smallest.is_some_and(|size| available >= size as usize)
    }

    /// Orders a head that has just left its group to join one with a higher epoch that is never
    /// opened: from then on it rejects late orders of the old group. Returns whether it did.
    ///
    /// If a late order may have opened the old group again since the head left, the head has to
    /// leave anew first, as it has to leave any other group that serves. A group that is being formed
    /// with the head fences it by its own order to join.
    fn fence_head(
        &mut self,
        view: &View<'_>,
        observed: &BTreeMap<GroupKey, ObservedGroup>,
        key: &GroupKey,
        ending: &Ending,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some((sent_ms, answer)) = ending.leave_answer else { return false };
        if !self.needs_fence(view, key, ending) {
            return false;
        }
        if self.is_in_forming_group(&ending.head) {
            return true;
        }
        let is_too_late = view.now_ms >= sent_ms + REOPEN_MIN_MS;
        if is_too_late && let Some(ending) = self.ending.get_mut(key) {
            ending.leave_answer = None;
        }
        if is_too_late
            || !self.has_just_left(view, key, ending, answer)
            || self.serves_elsewhere(view, observed, key, &ending.head)
        {
            return false;
        }
        let epoch = ending.fencing_epoch.unwrap_or_else(|| self.next_epoch());
        let Some(model) = formation::model_of(&key.0, view.engine) else { return false };
        let group = formation::group_name(&model.name, epoch);
        if let Some(ending) = self.ending.get_mut(key) {
            ending.fencing_epoch = Some(epoch);
        }
        self.make_void(&ending.head, epoch);
        // The order must not wait for the interval between two orders to join. It is repeated in each
        // round, as waiting for the timeout of one that stays unanswered would take too long.
        self.sent.remove(&(ending.head.clone(), JOIN));
        let members = vec![ending.head.clone()];
        let order = Order::Join { group, epoch, model: model.name.clone(), members };
        self.order(view, &ending.head, order, effects);
        true
    }

    /// Frees the members of a group whose head no longer serves it.
    fn release_members(
        &mut self,
        key: &GroupKey,
        evidence: &'static str,
        effects: &mut Vec<Effect>,
    ) {
        let Some(ending) = self.ending.remove(key) else { return };
        for vm in &ending.members {
            self.make_void(vm, key.1);
        }
        let ((group, epoch), head) = (key.clone(), ending.head);
        effects.push(Effect::LogDecision(Decision::MembersReleased {
            group,
            epoch,
            head,
            evidence,
        }));
    }
}
