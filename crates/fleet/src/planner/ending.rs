//! Dissolves groups, until their members may join other groups.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use balsam_types::VmName;

use super::Ending;
use super::GroupKey;
use super::HEAD_SHUTDOWN_MS;
use super::HEAD_UNANSWERED_LIMIT;
use super::PROBE;
use super::Planner;
use super::View;
use crate::endpoint::MemberState;
use crate::event::Decision;
use crate::event::Effect;
use crate::event::Order;
use crate::formation::ObservedGroup;

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
            has_refused: false,
            unanswered: 0,
            refuses_connections: false,
            is_head_dead: false,
        };
        self.ending.insert(key.clone(), ending);
        let (group, epoch) = key.clone();
        effects.push(Effect::LogDecision(Decision::GroupDissolving { group, epoch, reason }));
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
            let Some(ending) = self.ending.get(&key).cloned() else { continue };
            let is_listed = view.directory.get(&ending.head).is_some();
            let is_silent = !is_listed
                && ending.unanswered >= HEAD_UNANSWERED_LIMIT
                && ending.is_head_dead
                && !self.may_shut_down(view.now_ms, &ending);
            let has_left = ending.has_refused && self.has_left(view, &key, &ending.head);
            if is_silent || has_left {
                self.release_members(&key);
                continue;
            }
            if !is_listed {
                // An answer from another member shows that this node is not cut off; an answer from
                // the head shows that it still serves although it left the list.
                self.probe_members(view, &ending, effects);
            }
            let head = observed.get(&key).and_then(ObservedGroup::head);
            let still_works = head
                .is_some_and(|head| matches!(head.state, MemberState::Open | MemberState::Closing));
            let (group, epoch) = key;
            let order = match ending.is_graceful && still_works {
                true if head.is_some_and(|head| head.state == MemberState::Closing) => continue,
                true => Order::Close { group, epoch },
                false => Order::Leave { group, epoch },
            };
            self.order(view, &ending.head, order, effects);
        }
    }

    /// Whether the list shows the head of a group without that membership.
    pub(super) fn has_left(&self, view: &View<'_>, key: &GroupKey, head: &VmName) -> bool {
        view.directory.get(head).is_some_and(|endpoint| {
            let membership = endpoint.membership.as_ref();
            membership.is_none_or(|m| m.group != key.0 || m.epoch != key.1)
        })
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

    /// Frees the members of a group whose head no longer serves it.
    pub(super) fn release_members(&mut self, key: &GroupKey) {
        if let Some(ending) = self.ending.remove(key) {
            for vm in ending.members {
                self.void_epochs.insert(vm, key.1);
            }
        }
    }
}
