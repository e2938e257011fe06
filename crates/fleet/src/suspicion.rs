//! Groups that stand still.
//!
//! A group that lost a member goes on to accept requests and writes nothing, and its members do
//! not notice for seconds. What shows the loss first is that all answers of one head fall silent at
//! once, for longer than a pass of its load takes. The members are then asked on new connections;
//! one that does not answer proves the loss.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

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

/// How long a group is not used on the reports of other nodes alone: a few of their intervals.
const REPORTED_MS: u64 = 1_500;

/// Nodes that must report a group as lost before another one believes it unasked: a node that is
/// itself cut off finds every group lost.
const CONFIRMATIONS: usize = 2;

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
        /// How this node knows.
        evidence: Evidence,
    },
}

/// How a node knows that a group is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// It is a witness: it asked the member, and goes on asking.
    Witnessed,
    /// It asked the member once, at this time, and leaves the rest to the witnesses.
    Observed {
        /// When it asked.
        at_ms: u64,
    },
    /// Other nodes reported it.
    Reported,
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
    /// The nodes that reported a group as lost, with the time.
    reporters: BTreeMap<(GroupName, u64), BTreeMap<Arc<str>, u64>>,
}

/// Returns the silence that the load of a group does not explain.
///
/// `unseen_ms` is the time for which a group reads prompts that nobody has reported yet: with 195
/// nodes that is more than a pass, and groups at work were taken for lost.
pub fn silence_limit_ms(
    engine: &Engine,
    pace: f64,
    in_flight: u32,
    unread_tokens: u64,
    unseen_ms: f64,
) -> u64 {
    let pass_ms = placement::pass_ms(engine, pace, in_flight, unread_tokens) + unseen_ms;
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
        let until_ms = now_ms + LOST_MS;
        let evidence = Evidence::Witnessed;
        let stage = Stage::Lost { until_ms, member, asked_ms: now_ms, evidence };
        let suspicion = Suspicion { group: group.0.clone(), epoch: group.1, stage };
        self.by_head.insert(head.clone(), suspicion);
        true
    }

    /// Notes that another node reports a group as lost; returns whether enough nodes do.
    pub fn reported_lost(&mut self, now_ms: u64, node: &Arc<str>, lost: &LostGroup) -> bool {
        let reporters = self.reporters.entry((lost.group.clone(), lost.epoch)).or_default();
        reporters.insert(node.clone(), now_ms);
        reporters.retain(|_, at_ms| now_ms < *at_ms + REPORTED_MS);
        let is_enough = reporters.len() >= CONFIRMATIONS;
        let known =
            self.by_head.values_mut().find(|s| s.group == lost.group && s.epoch == lost.epoch);
        if let Some(Stage::Lost { until_ms, evidence, .. }) = known.map(|s| &mut s.stage)
            && *evidence != Evidence::Witnessed
            && is_enough
        {
            *until_ms = now_ms + REPORTED_MS;
        }
        is_enough
    }

    /// Marks a group as lost on the reports of others; false if it was already.
    pub fn lose_as_reported(
        &mut self,
        now_ms: u64,
        head: &VmName,
        group: &(GroupName, u64),
        member: VmName,
    ) -> bool {
        let is_new = self.lose(now_ms, head, group, Some(member));
        self.leave_to_witnesses(now_ms, head, Evidence::Reported);
        is_new
    }

    /// Leaves it to the witnesses to ask the member of a lost group again.
    pub fn leave_to_witnesses(&mut self, now_ms: u64, head: &VmName, known_by: Evidence) {
        if let Some(Stage::Lost { until_ms, evidence, .. }) =
            self.by_head.get_mut(head).map(|s| &mut s.stage)
        {
            *evidence = known_by;
            *until_ms = now_ms + REPORTED_MS;
        }
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
            if let Stage::Lost { member: Some(member), asked_ms, evidence, .. } =
                &mut suspicion.stage
                && *evidence == Evidence::Witnessed
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
        self.reporters
            .retain(|_, reporters| reporters.values().any(|at_ms| now_ms < *at_ms + REPORTED_MS));
        self.by_head.retain(|head, s| match &s.stage {
            Stage::Lost { until_ms, .. } => now_ms < *until_ms,
            Stage::Asking { .. } => has_attempts(head),
        });
    }

    /// Returns the groups that this node found lost, with the member that did not answer it.
    ///
    /// What other nodes reported is not reported again, and what it observed itself only for a while:
    /// otherwise nodes would confirm each other's reports for ever.
    pub fn lost(&self, now_ms: u64) -> impl Iterator<Item = LostGroup> {
        self.by_head.values().filter_map(move |suspicion| {
            let Stage::Lost { member: Some(member), evidence, .. } = &suspicion.stage else {
                return None;
            };
            let is_own = match evidence {
                Evidence::Witnessed => true,
                Evidence::Observed { at_ms } => now_ms < at_ms + REPORTED_MS,
                Evidence::Reported => false,
            };
            is_own.then(|| LostGroup {
                group: suspicion.group.clone(),
                epoch: suspicion.epoch,
                member: member.clone(),
            })
        })
    }
}
