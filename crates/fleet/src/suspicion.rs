//! Groups that stand still.
//!
//! A group that lost a member goes on to accept requests and writes nothing, and its members do
//! not notice for seconds. What shows the loss first is that all answers of one head fall silent at
//! once, for longer than a pass of its load takes. The members are then asked on new connections;
//! one that does not answer proves the loss.

use std::collections::HashMap;

use balsam_types::GroupName;
use balsam_types::VmName;

use crate::configuration::Engine;
use crate::event::LostGroup;
use crate::placement;

/// Shortest silence that counts: a few passes of a small group, above the jitter of the network. A
/// wrong suspicion costs a probe for each member, a late one costs every answer of the group.
const SILENCE_MIN_MS: f64 = 160.0;

/// Passes without an event that count as silence.
const SILENT_PASSES: f64 = 1.4;

/// Time added for the network and for late timers.
const SILENCE_MARGIN_MS: f64 = 60.0;

/// Shortest silence that counts while no answer of this node at the group has begun: how many
/// prompts of other nodes are read first is known late.
pub const UNSTARTED_SILENCE_MS: u64 = 700;

/// Silence after which a group is left although all its members answer.
const LEAVE_SILENT_MS: u64 = 2_000;

/// Pause between two rounds of probes of one group.
const PROBE_AGAIN_MS: u64 = 500;

/// Pause between two questions to a member whose group was found lost.
const LOST_AGAIN_MS: u64 = 1_000;

/// How long a group that was found lost is not used; its dissolution takes less.
const LOST_MS: u64 = 6_000;

/// What is suspected of a head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    /// The group.
    pub group: GroupName,
    /// Its fencing number.
    pub epoch: u64,
    /// How far the suspicion is.
    pub stage: Stage,
}

/// How far a suspicion is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stage {
    /// Its members are asked whether they live.
    Asking {
        /// When they were last asked.
        asked_ms: u64,
    },
    /// The group is lost, and is not used before this time.
    Lost {
        /// When it is forgotten.
        until_ms: u64,
        /// The member that did not answer; `None` if all did, and it stood still all the same.
        member: Option<VmName>,
        /// When that member was last asked.
        asked_ms: u64,
    },
}

/// What to do about a silent head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing yet.
    Nothing,
    /// Ask every member whether it lives.
    Ask,
    /// Leave the group.
    Leave,
}

/// The suspicions of this node, by head.
#[derive(Debug, Clone, Default)]
pub struct Suspicions {
    by_head: HashMap<VmName, Suspicion>,
}

/// Returns the silence that the load of a group does not explain.
pub fn silence_limit_ms(engine: &Engine, pace: f64, in_flight: u32, unread_tokens: u64) -> u64 {
    let pass_ms = placement::pass_ms(engine, pace, in_flight, unread_tokens);
    (SILENT_PASSES * pass_ms + SILENCE_MARGIN_MS).max(SILENCE_MIN_MS) as u64
}

impl Suspicions {
    /// Whether a head gets no new requests.
    pub fn is_suspect(&self, head: &VmName, group: &(GroupName, u64)) -> bool {
        self.by_head.get(head).is_some_and(|s| s.group == group.0 && s.epoch == group.1)
    }

    /// Whether a group was found lost.
    pub fn is_lost(&self, group: &GroupName, epoch: u64) -> bool {
        self.by_head
            .values()
            .any(|s| s.group == *group && s.epoch == epoch && matches!(s.stage, Stage::Lost { .. }))
    }

    /// Whether a group was found lost although all its members answered.
    pub fn stands_still(&self, group: &GroupName, epoch: u64) -> bool {
        self.by_head.values().any(|s| {
            let answers = matches!(s.stage, Stage::Lost { member: None, .. });
            s.group == *group && s.epoch == epoch && answers
        })
    }

    /// Decides about a head whose answers have been silent for so long.
    pub fn silent(
        &mut self,
        now_ms: u64,
        head: &VmName,
        group: &(GroupName, u64),
        silent_ms: u64,
    ) -> Step {
        let known = self.by_head.get(head).filter(|s| s.group == group.0 && s.epoch == group.1);
        match known.map(|s| &s.stage) {
            Some(Stage::Lost { .. }) => return Step::Nothing,
            _ if silent_ms >= LEAVE_SILENT_MS => return Step::Leave,
            Some(Stage::Asking { asked_ms }) if now_ms < *asked_ms + PROBE_AGAIN_MS => {
                return Step::Nothing;
            }
            _ => {}
        }
        let stage = Stage::Asking { asked_ms: now_ms };
        let suspicion = Suspicion { group: group.0.clone(), epoch: group.1, stage };
        self.by_head.insert(head.clone(), suspicion);
        Step::Ask
    }

    /// Trusts a head again whose answers go on.
    pub fn moves(&mut self, head: &VmName) {
        if self.by_head.get(head).is_some_and(|s| matches!(s.stage, Stage::Asking { .. })) {
            self.by_head.remove(head);
        }
    }

    /// Marks a group as lost; false if it was already.
    pub fn lose(
        &mut self,
        now_ms: u64,
        head: &VmName,
        group: &(GroupName, u64),
        member: Option<VmName>,
    ) -> bool {
        if self.is_lost(&group.0, group.1) {
            return false;
        }
        let stage = Stage::Lost { until_ms: now_ms + LOST_MS, member, asked_ms: now_ms };
        let suspicion = Suspicion { group: group.0.clone(), epoch: group.1, stage };
        self.by_head.insert(head.clone(), suspicion);
        true
    }

    /// Trusts groups again whose lost member answers: a cut between this node and it has ended.
    pub fn answers(&mut self, vm: &VmName) {
        self.by_head.retain(|_, s| match &s.stage {
            Stage::Lost { member, .. } => member.as_ref() != Some(vm),
            Stage::Asking { .. } => true,
        });
    }

    /// Returns the lost members that are to be asked again now.
    pub fn members_to_ask(&mut self, now_ms: u64) -> Vec<VmName> {
        let mut due = Vec::new();
        for suspicion in self.by_head.values_mut() {
            if let Stage::Lost { member: Some(member), asked_ms, .. } = &mut suspicion.stage
                && now_ms >= *asked_ms + LOST_AGAIN_MS
            {
                *asked_ms = now_ms;
                due.push(member.clone());
            }
        }
        due
    }

    /// Forgets suspicions that have ended, and those of heads without attempts of this node.
    pub fn expire(&mut self, now_ms: u64, has_attempts: impl Fn(&VmName) -> bool) {
        self.by_head.retain(|head, s| match &s.stage {
            Stage::Lost { until_ms, .. } => now_ms < *until_ms,
            Stage::Asking { .. } => has_attempts(head),
        });
    }

    /// Returns the groups that were found lost, with the member that did not answer.
    pub fn lost(&self) -> impl Iterator<Item = LostGroup> {
        self.by_head.values().filter_map(|suspicion| match &suspicion.stage {
            Stage::Lost { member: Some(member), .. } => Some(LostGroup {
                group: suspicion.group.clone(),
                epoch: suspicion.epoch,
                member: member.clone(),
            }),
            _ => None,
        })
    }
}
