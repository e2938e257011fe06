//! Pauses of this node itself, in which it could not hear from others.
//!
//! A process that was stopped, starved or suspended finds its timers expired when it goes on, before
//! it has read what arrived in the meantime. Neither the silence of others during a pause nor a call
//! that timed out in it is evidence.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use balsam_types::VmName;

use crate::event::ProbeAnswer;

/// Longest time between two events at a node that runs. Ticks come every 50 ms; a silence of this
/// length at most starts a probe.
const MAX_EVENT_INTERVAL_MS: u64 = 250;

/// Time after a pause in which calls may time out that were sent before its end: the timeout of
/// orders, 400 ms, and a margin for late timers.
const LATE_TIMEOUT_MS: u64 = 500;

/// How often in a row a probe is sent again because a pause may have hidden its answer. A node that
/// is throttled pauses again and again, and would repeat the probes of a dead endpoint forever.
const MAX_REPEATED_PROBES: u32 = 3;

/// Least time between two such probes of an endpoint: longer than the timeout of a probe, 220 ms, so
/// that the first has ended before it counts as unanswered.
const REPEAT_INTERVAL_MS: u64 = 250;

/// How long a pause is remembered: longer than any silence that is measured.
const RETENTION_MS: u64 = 60_000;

/// The recent pauses of this node.
#[derive(Debug, Clone, Default)]
pub struct OwnPauses {
    last_event_ms: Option<u64>,
    /// Begin and end of each pause, from oldest to newest.
    pauses: VecDeque<(u64, u64)>,
    /// Length of the pauses that were not logged yet.
    unlogged_ms: u64,
    repeated_probes: BTreeMap<VmName, RepeatedProbe>,
}

/// Probes of an endpoint that were sent again, since its last answer.
#[derive(Debug, Clone)]
struct RepeatedProbe {
    count: u32,
    sent_ms: u64,
    /// The last result that a pause may have falsified, until the probe is sent again.
    due: Option<ProbeAnswer>,
}

/// What the missing answer to a probe shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingAnswer {
    /// A pause may have hidden the answer: the probe is sent again now.
    Repeat,
    /// A pause may have hidden the answer: the probe is sent again later, or was just sent again.
    Wait,
    /// The endpoint did not answer.
    Conclusive,
}

impl OwnPauses {
    /// Records an event; returns the duration of the pause that it ends, if any.
    pub fn on_event(&mut self, now_ms: u64) -> Option<u64> {
        let last_ms = self.last_event_ms.replace(now_ms)?;
        let paused_ms = now_ms.saturating_sub(last_ms);
        if paused_ms <= MAX_EVENT_INTERVAL_MS {
            return None;
        }
        self.pauses.push_back((last_ms, now_ms));
        while self.pauses.front().is_some_and(|(_, end_ms)| end_ms + RETENTION_MS < now_ms) {
            self.pauses.pop_front();
        }
        self.unlogged_ms += paused_ms;
        Some(paused_ms)
    }

    /// Returns the length of the pauses since the last call, if there were any.
    pub fn take_unlogged_ms(&mut self) -> Option<u64> {
        Some(std::mem::take(&mut self.unlogged_ms)).filter(|paused_ms| *paused_ms > 0)
    }

    /// Returns the time between two moments in which this node ran.
    pub fn running_ms(&self, from_ms: u64, to_ms: u64) -> u64 {
        let overlap = |(begin_ms, end_ms): &(u64, u64)| {
            (*end_ms).min(to_ms).saturating_sub((*begin_ms).max(from_ms))
        };
        let paused_ms: u64 = self.pauses.iter().map(overlap).sum();
        to_ms.saturating_sub(from_ms).saturating_sub(paused_ms)
    }

    /// Whether a call that times out now may have been answered during a pause.
    pub fn may_hide_answer(&self, now_ms: u64) -> bool {
        self.pauses.back().is_some_and(|(_, end_ms)| now_ms < end_ms + LATE_TIMEOUT_MS)
    }

    /// Records that an endpoint answered a probe.
    pub fn probe_answered(&mut self, vm: &VmName) {
        self.repeated_probes.remove(vm);
    }

    /// Records a probe without an answer; returns what that shows.
    pub fn probe_unanswered(
        &mut self,
        now_ms: u64,
        vm: &VmName,
        answer: ProbeAnswer,
    ) -> MissingAnswer {
        if !self.may_hide_answer(now_ms) {
            self.repeated_probes.remove(vm);
            return MissingAnswer::Conclusive;
        }
        let first = RepeatedProbe { count: 1, sent_ms: now_ms, due: None };
        let Some(repeated) = self.repeated_probes.get_mut(vm) else {
            self.repeated_probes.insert(vm.clone(), first);
            return MissingAnswer::Repeat;
        };
        if now_ms < repeated.sent_ms + REPEAT_INTERVAL_MS {
            repeated.due = Some(answer);
            return MissingAnswer::Wait;
        }
        repeated.due = None;
        if repeated.count >= MAX_REPEATED_PROBES {
            return MissingAnswer::Conclusive;
        }
        repeated.count += 1;
        repeated.sent_ms = now_ms;
        MissingAnswer::Repeat
    }

    /// Returns the endpoints whose probes are due to be sent again, or to count as unanswered if
    /// they were sent again often enough, with their last results.
    pub fn take_due_probes(&mut self, now_ms: u64) -> Vec<(VmName, ProbeAnswer, MissingAnswer)> {
        self.repeated_probes.retain(|_, repeated| now_ms < repeated.sent_ms + RETENTION_MS);
        let mut due = Vec::new();
        for (vm, repeated) in &mut self.repeated_probes {
            if now_ms < repeated.sent_ms + REPEAT_INTERVAL_MS {
                continue;
            }
            let Some(answer) = repeated.due.take() else { continue };
            if repeated.count >= MAX_REPEATED_PROBES {
                due.push((vm.clone(), answer, MissingAnswer::Conclusive));
                continue;
            }
            repeated.count += 1;
            repeated.sent_ms = now_ms;
            due.push((vm.clone(), answer, MissingAnswer::Repeat));
        }
        due
    }
}
