//! Detection of groups that make no progress.
//!
//! A group that lost a member continues to accept requests but generates nothing, and its members
//! do not notice for seconds. The first sign of the loss is that all answers of one head go silent
//! at once, for longer than a pass under its load takes. The members are then probed on new
//! connections; a member that does not answer proves the loss.
//!
//! A sound group may fall silent for a second or so and go on. While all its members answer, silence
//! only keeps new requests away and starts other attempts; the group is dissolved if it is silent
//! for longer than its head waits for a lost member.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use balsam_types::GroupName;
use balsam_types::VmName;

use crate::configuration::Engine;
use crate::event::LostGroup;
use crate::placement;

/// Minimum silence that counts: a few passes of a small group, above the jitter of the network. A
/// wrong suspicion costs one probe per member, a late one costs every answer of the group.
const SILENCE_MIN_MS: f64 = 160.0;

/// Number of passes without an event that count as silence.
const SILENT_PASSES: f64 = 1.4;

/// Additional time for the network and for late timers.
const SILENCE_MARGIN_MS: f64 = 60.0;

/// Minimum silence that counts while none of this node's answers from the group has begun: it
/// becomes known late how many prompts of other nodes are read first.
pub const UNSTARTED_SILENCE_MS: u64 = 700;

/// Silence after which other attempts are started although all members of the group answer.
const STALLED_SILENCE_MS: u64 = 2_000;

/// Silence after which such a group may be dissolved. Its head gives up a lost member after 5 s and
/// lists itself as broken, so a group that neither works nor is broken then is of no use.
const DISSOLVE_SILENCE_MS: u64 = 5_000;

/// Interval between two rounds of probes of a group.
const PROBE_INTERVAL_MS: u64 = 500;

/// Interval between two probes of a member whose group was found lost.
const LOST_PROBE_INTERVAL_MS: u64 = 1_000;

/// How long a group that was found lost is not used; dissolving it takes less.
const LOST_TTL_MS: u64 = 6_000;

/// How long a silence is remembered: a group that is tried again seldom stays without requests for
/// longer.
const SILENCE_RETENTION_MS: u64 = 30_000;

/// How long a group is not used based only on reports of other nodes: a few report intervals.
const REPORTED_TTL_MS: u64 = 1_500;

/// Number of nodes that must report a group as lost before another node accepts it without a probe
/// of its own: a node that is itself cut off finds every group lost.
const MIN_REPORTERS: usize = 2;

/// Suspicion about the head of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    /// The group.
    pub group: GroupName,
    /// Its fencing number.
    pub epoch: u64,
    /// The stage of the suspicion.
    pub stage: Stage,
}

/// Stage of a suspicion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stage {
    /// The members are being probed.
    Probing {
        /// When they were last probed.
        probed_ms: u64,
    },
    /// All members answered but the group makes no progress, and it is not used.
    Stalled {
        /// When it is tried again.
        until_ms: u64,
        /// Whether it has been silent for so long that it may be dissolved.
        is_final: bool,
    },
    /// The group is lost and is not used.
    Lost {
        /// When the suspicion expires.
        until_ms: u64,
        /// The member that did not answer.
        member: VmName,
        /// When that member was last probed.
        probed_ms: u64,
        /// How this node knows.
        evidence: Evidence,
    },
}

/// How a node knows that a group is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// This node is a witness: it probed the member and continues to do so.
    Witnessed,
    /// This node probed the member once and leaves further probes to the witnesses.
    Observed {
        /// When it was probed.
        at_ms: u64,
    },
    /// Other nodes reported it.
    Reported,
}

/// Action for a silent head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// No action.
    Nothing,
    /// Probe every member.
    Probe,
    /// Stop using the group and start other attempts.
    MarkStalled,
}

/// The suspicions of this node, by head.
#[derive(Debug, Clone, Default)]
pub struct Suspicions {
    by_head: HashMap<VmName, Suspicion>,
    /// Since when each group has been silent that was found stalled.
    silent_since_ms: BTreeMap<(GroupName, u64), u64>,
    /// The nodes that reported a group as lost, with the time of the report.
    reporters: BTreeMap<(GroupName, u64), BTreeMap<Arc<str>, u64>>,
}

/// Returns the longest silence that the load of a group explains.
///
/// `unreported_ms` is the time in which a group reads prompts that were not reported yet. With 195
/// nodes this is longer than a pass, and without it working groups were considered lost.
pub fn silence_limit_ms(
    engine: &Engine,
    pace: f64,
    in_flight: u32,
    unread_tokens: u64,
    unreported_ms: f64,
) -> u64 {
    let pass_ms = placement::pass_ms(engine, pace, in_flight, unread_tokens) + unreported_ms;
    (SILENT_PASSES * pass_ms + SILENCE_MARGIN_MS).max(SILENCE_MIN_MS) as u64
}

impl Suspicions {
    /// Whether a head gets no new requests because of a suspicion.
    pub fn is_suspect(&self, head: &VmName, group: &(GroupName, u64)) -> bool {
        self.by_head.get(head).is_some_and(|s| s.group == group.0 && s.epoch == group.1)
    }

    /// Whether a group was found lost.
    pub fn is_lost(&self, group: &GroupName, epoch: u64) -> bool {
        self.by_head.values().any(|s| {
            let is_unused = matches!(s.stage, Stage::Lost { .. } | Stage::Stalled { .. });
            s.group == *group && s.epoch == epoch && is_unused
        })
    }

    /// Whether a group has been silent for so long that it may be dissolved although all its members
    /// answer.
    pub fn may_be_dissolved(&self, group: &GroupName, epoch: u64) -> bool {
        self.by_head.values().any(|s| {
            let is_final = matches!(s.stage, Stage::Stalled { is_final: true, .. });
            s.group == *group && s.epoch == epoch && is_final
        })
    }

    /// Decides what to do about a head whose answers have been silent for `silent_ms`.
    pub fn on_silence(
        &mut self,
        now_ms: u64,
        head: &VmName,
        group: &(GroupName, u64),
        silent_ms: u64,
    ) -> Step {
        let known = self.by_head.get(head).filter(|s| s.group == group.0 && s.epoch == group.1);
        match known.map(|s| &s.stage) {
            Some(Stage::Lost { .. } | Stage::Stalled { .. }) => return Step::Nothing,
            _ if silent_ms >= STALLED_SILENCE_MS => return Step::MarkStalled,
            Some(Stage::Probing { probed_ms }) if now_ms < *probed_ms + PROBE_INTERVAL_MS => {
                return Step::Nothing;
            }
            _ => {}
        }
        let stage = Stage::Probing { probed_ms: now_ms };
        let suspicion = Suspicion { group: group.0.clone(), epoch: group.1, stage };
        self.by_head.insert(head.clone(), suspicion);
        Step::Probe
    }

    /// Clears the suspicion of a head whose answers make progress again.
    pub fn clear_on_progress(&mut self, head: &VmName) {
        if self.by_head.get(head).is_some_and(|s| matches!(s.stage, Stage::Probing { .. })) {
            self.by_head.remove(head);
        }
    }

    /// Records when the last event of any answer of a group arrived, which ends its silence.
    pub fn record_event(&mut self, head: &VmName, group: &(GroupName, u64), event_ms: u64) {
        if self.silent_since_ms.get(group).is_none_or(|since_ms| event_ms <= *since_ms) {
            return;
        }
        self.silent_since_ms.remove(group);
        if self.by_head.get(head).is_some_and(|s| matches!(s.stage, Stage::Stalled { .. })) {
            self.by_head.remove(head);
        }
    }

    /// Marks a group as stalled that has been silent for `silent_ms`, or since it was found stalled
    /// before.
    ///
    /// Callers leave a silent group, and without answers nothing shows whether it goes on. So it is
    /// tried again when its head would be broken, and may be dissolved if it is still silent.
    pub fn mark_stalled(
        &mut self,
        now_ms: u64,
        head: &VmName,
        group: &(GroupName, u64),
        silent_ms: u64,
    ) {
        let silent_from_ms = now_ms.saturating_sub(silent_ms);
        let since_ms = *self.silent_since_ms.entry(group.clone()).or_insert(silent_from_ms);
        let is_final = now_ms >= since_ms + DISSOLVE_SILENCE_MS;
        let until_ms = if is_final { now_ms + LOST_TTL_MS } else { since_ms + DISSOLVE_SILENCE_MS };
        let stage = Stage::Stalled { until_ms, is_final };
        let suspicion = Suspicion { group: group.0.clone(), epoch: group.1, stage };
        self.by_head.insert(head.clone(), suspicion);
    }

    /// Extends silences by a pause of this node, in which it could not hear the groups.
    pub fn extend_silences(&mut self, paused_ms: u64) {
        self.silent_since_ms.values_mut().for_each(|since_ms| *since_ms += paused_ms);
        for suspicion in self.by_head.values_mut() {
            if let Stage::Stalled { until_ms, .. } = &mut suspicion.stage {
                *until_ms += paused_ms;
            }
        }
    }

    /// Marks a group as lost; returns false if it was already, or if it is stalled.
    pub fn mark_lost(
        &mut self,
        now_ms: u64,
        head: &VmName,
        group: &(GroupName, u64),
        member: VmName,
    ) -> bool {
        if self.is_lost(&group.0, group.1) {
            return false;
        }
        let until_ms = now_ms + LOST_TTL_MS;
        let evidence = Evidence::Witnessed;
        let stage = Stage::Lost { until_ms, member, probed_ms: now_ms, evidence };
        let suspicion = Suspicion { group: group.0.clone(), epoch: group.1, stage };
        self.by_head.insert(head.clone(), suspicion);
        true
    }

    /// Records that another node reports a group as lost; returns whether enough nodes do.
    pub fn reported_lost(&mut self, now_ms: u64, node: &Arc<str>, lost: &LostGroup) -> bool {
        let reporters = self.reporters.entry((lost.group.clone(), lost.epoch)).or_default();
        reporters.insert(node.clone(), now_ms);
        reporters.retain(|_, at_ms| now_ms < *at_ms + REPORTED_TTL_MS);
        let is_enough = reporters.len() >= MIN_REPORTERS;
        let known =
            self.by_head.values_mut().find(|s| s.group == lost.group && s.epoch == lost.epoch);
        if let Some(Stage::Lost { until_ms, evidence, .. }) = known.map(|s| &mut s.stage)
            && *evidence != Evidence::Witnessed
            && is_enough
        {
            *until_ms = now_ms + REPORTED_TTL_MS;
        }
        is_enough
    }

    /// Marks a group as lost based on reports of other nodes; returns false if it was already.
    pub fn mark_lost_as_reported(
        &mut self,
        now_ms: u64,
        head: &VmName,
        group: &(GroupName, u64),
        member: VmName,
    ) -> bool {
        let is_new = self.mark_lost(now_ms, head, group, member);
        self.defer_to_witnesses(now_ms, head, Evidence::Reported);
        is_new
    }

    /// Leaves further probes of the member of a lost group to the witnesses.
    pub fn defer_to_witnesses(&mut self, now_ms: u64, head: &VmName, known_by: Evidence) {
        if let Some(Stage::Lost { until_ms, evidence, .. }) =
            self.by_head.get_mut(head).map(|s| &mut s.stage)
        {
            *evidence = known_by;
            *until_ms = now_ms + REPORTED_TTL_MS;
        }
    }

    /// Clears suspicions of groups whose lost member answers: a network cut to it has ended.
    pub fn clear_on_answer(&mut self, vm: &VmName) {
        self.by_head.retain(|_, s| match &s.stage {
            Stage::Lost { member, .. } => member != vm,
            Stage::Probing { .. } | Stage::Stalled { .. } => true,
        });
    }

    /// Returns the members of lost groups that are due to be probed again.
    pub fn members_to_probe(&mut self, now_ms: u64) -> Vec<VmName> {
        let mut due = Vec::new();
        for suspicion in self.by_head.values_mut() {
            if let Stage::Lost { member, probed_ms, evidence, .. } = &mut suspicion.stage
                && *evidence == Evidence::Witnessed
                && now_ms >= *probed_ms + LOST_PROBE_INTERVAL_MS
            {
                *probed_ms = now_ms;
                due.push(member.clone());
            }
        }
        due
    }

    /// Removes suspicions that have expired, and those of heads without attempts of this node.
    pub fn expire(&mut self, now_ms: u64, has_attempts: impl Fn(&VmName) -> bool) {
        self.reporters.retain(|_, reporters| {
            reporters.values().any(|at_ms| now_ms < *at_ms + REPORTED_TTL_MS)
        });
        self.silent_since_ms.retain(|_, since_ms| now_ms < *since_ms + SILENCE_RETENTION_MS);
        self.by_head.retain(|head, s| match &s.stage {
            Stage::Lost { until_ms, .. } | Stage::Stalled { until_ms, .. } => now_ms < *until_ms,
            Stage::Probing { .. } => has_attempts(head),
        });
    }

    /// Returns the groups that this node found lost, with the member that did not answer.
    ///
    /// Groups reported by other nodes are not reported on, and this node's own single observations
    /// only for a while: otherwise nodes would confirm each other's reports forever.
    pub fn lost(&self, now_ms: u64) -> impl Iterator<Item = LostGroup> {
        self.by_head.values().filter_map(move |suspicion| {
            let Stage::Lost { member, evidence, .. } = &suspicion.stage else { return None };
            let is_own = match evidence {
                Evidence::Witnessed => true,
                Evidence::Observed { at_ms } => now_ms < at_ms + REPORTED_TTL_MS,
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
