//! Decides which existing groups are adopted, ended or left as they are.

use std::collections::BTreeMap;

use balsam_types::VmName;

use super::Forming;
use super::GroupKey;
use super::HEADLESS_TIMEOUT_MS;
use super::ListedHead;
use super::Planner;
use super::View;
use super::forming_timeout_ms;
use crate::configuration::Model;
use crate::endpoint::Endpoint;
use crate::endpoint::MemberState;
use crate::event::Effect;
use crate::formation;
use crate::formation::ObservedGroup;

impl Planner {
    /// Reviews the groups that this node is neither forming nor ending.
    pub(super) fn review(
        &mut self,
        view: &View<'_>,
        observed: &BTreeMap<GroupKey, ObservedGroup>,
        effects: &mut Vec<Effect>,
    ) {
        self.headless_since_ms.retain(|key, _| observed.contains_key(key));
        self.review_free_heads(view, effects);
        for (key, group) in observed {
            let is_ours = self.forming.get(&key.0).is_some_and(|f| f.epoch == key.1);
            if is_ours || self.ending.contains_key(key) {
                continue;
            }
            if self.is_reopened(view, key, group) {
                let members: Vec<VmName> = group.members.values().map(|m| m.vm.clone()).collect();
                self.unanswered_joins.entry((members[0].clone(), key.1)).or_insert(1);
                self.end_group(key, &members, false, "a late order opened it again", effects);
                continue;
            }
            if self.is_void(key, group) {
                continue;
            }
            let Some(model) = formation::model_of(&key.0, view.engine) else { continue };
            let size = model.size;
            let Some(head) = group.head() else {
                self.review_headless(view, key, group, effects);
                continue;
            };
            let members: Vec<VmName> = group.members.values().map(|m| m.vm.clone()).collect();
            let dead = self.dead_member(group);
            let is_draining = group.members.values().any(|m| m.is_draining);
            match head.state {
                MemberState::Open if dead.is_some() => {
                    self.end_group(key, &members, false, "a member is dead", effects);
                }
                MemberState::Open if view.suspicions.may_be_dissolved(&key.0, key.1) => {
                    self.end_group(key, &members, false, "the group makes no progress", effects);
                }
                MemberState::Open if is_draining => {
                    self.end_group(key, &members, true, "a member is draining", effects);
                }
                MemberState::Open | MemberState::Closing => {}
                MemberState::Broken => {
                    self.end_group(key, &members, false, "the group is broken", effects);
                }
                MemberState::Joining | MemberState::Ready
                    if group.is_complete(size)
                        && dead.is_none()
                        && !is_draining
                        && !members.iter().any(|vm| self.is_in_forming_group(vm)) =>
                {
                    self.adopt(view.now_ms, key, group, model);
                }
                MemberState::Joining | MemberState::Ready => {
                    let reason = "the group is incomplete";
                    self.end_unopened_group(view, key, &members, reason, effects);
                }
            }
        }
    }

    /// Fences the heads that left a group of an earlier term while orders to join it may still be
    /// carried out late.
    fn review_free_heads(&mut self, view: &View<'_>, effects: &mut Vec<Effect>) {
        let needs_fence = |(key, head): &(&GroupKey, &ListedHead)| {
            let endpoint = view.directory.get(&head.vm);
            head.opened_by_ms.is_some()
                && endpoint.is_some_and(|e| e.membership.is_none() && self.is_free(view, e))
                && !self.is_void_membership(&head.vm, key.1)
                && self.may_rejoin(view.now_ms, key, &head.vm)
        };
        let heads = self.heads.iter().filter(needs_fence);
        let heads: Vec<(GroupKey, VmName)> =
            heads.map(|(key, head)| (key.clone(), head.vm.clone())).collect();
        for (key, head) in heads {
            if !self.ending.contains_key(&key) {
                let reason = "late orders may reach its former head";
                self.end_group(&key, &[head], false, reason, effects);
            }
        }
    }

    /// Adopts a group that an earlier planning node began to form. It is opened only once its members
    /// cannot be ordered away; see [`Planner::may_be_ordered_away`].
    fn adopt(&mut self, now_ms: u64, key: &GroupKey, group: &ObservedGroup, model: &Model) {
        // The list does not show whether a member that joins is loading.
        let has_loads = group.members.values().any(|m| m.state == MemberState::Joining);
        let members: Vec<VmName> = group.members.values().map(|m| m.vm.clone()).collect();
        let forming = Forming {
            epoch: key.1,
            model: model.name.clone(),
            joined: members.iter().cloned().collect(),
            members,
            started_ms: now_ms,
            timeout_ms: forming_timeout_ms(model, has_loads),
        };
        self.forming.insert(key.0.clone(), forming);
    }

    fn review_headless(
        &mut self,
        view: &View<'_>,
        key: &GroupKey,
        group: &ObservedGroup,
        effects: &mut Vec<Effect>,
    ) {
        let members: Vec<VmName> = group.members.values().map(|m| m.vm.clone()).collect();
        let is_head = |endpoint: &Endpoint| {
            let membership = endpoint.membership.as_ref();
            membership.is_some_and(|m| m.rank == 0 && m.group == key.0 && m.epoch == key.1)
        };
        let head = self.departed.values().find(|(_, e)| is_head(e)).map(|(_, e)| e.clone());
        if let Some(head) = head {
            // An order that is delayed by a network cut would end a group that is serving again by
            // then.
            if !self.has_heard_from(view.now_ms, &head.data_centre) {
                return;
            }
            let head = head.vm;
            let members: Vec<VmName> = [head].into_iter().chain(members).collect();
            self.end_group(key, &members, false, "the head is no longer listed", effects);
            return;
        }
        let head = self.heads.get(key).map(|head| head.vm.clone());
        if head.is_some_and(|head| self.has_left(view, key, &head)) {
            members.iter().for_each(|vm| self.make_void(vm, key.1));
            return;
        }
        let since_ms = *self.headless_since_ms.entry(key.clone()).or_insert(view.now_ms);
        if view.now_ms >= since_ms + HEADLESS_TIMEOUT_MS {
            members.iter().for_each(|vm| self.make_void(vm, key.1));
        }
    }
}
