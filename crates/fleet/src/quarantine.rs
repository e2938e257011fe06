//! Quarantine of prompt segments that crash the endpoints that begin to answer them.
//!
//! A crash ends every answer of an endpoint, so one crash does not show which request caused it.
//! The suspects are the requests whose answer had not got beyond its first event. Nodes exchange
//! this evidence, as the next request with the same segment arrives at another node. A segment is
//! blamed for crashes at different times, and an answer to any prompt with it acquits it. See
//! `docs/decisions/0009-quarantine.md`.

mod evidence;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use balsam_types::SegmentName;
use balsam_types::VmName;

use crate::event::AttemptId;
use crate::quarantine::evidence::Crash;
pub use crate::quarantine::evidence::CrashEvidence;
pub use crate::quarantine::evidence::QuarantineReport;
use crate::quarantine::evidence::SAME_CRASH_MS;
use crate::quarantine::evidence::SUSPECT_TTL_MS;
pub use crate::quarantine::evidence::SegmentEvidence;
pub use crate::quarantine::evidence::Survival;
use crate::quarantine::evidence::Suspect;

/// Number of crashes after which requests with a segment are refused.
const MIN_CRASHES: usize = 3;

/// Number of crashes after which a request with a segment is not sent again by the node itself: its
/// own first attempt accounts for one of them.
const MIN_CRASHES_FOR_RETRY: usize = 2;

/// Crashes within this time count as one: a power failure or a network cut hits many endpoints at
/// the same moment, whatever they run.
const CORRELATED_MS: u64 = 100;

/// An answer that begins or ends this long after a reported crash shows that the endpoint only
/// closed one connection. Earlier ones may have been under way at the crash.
const SURVIVAL_MARGIN_MS: u64 = 100;

/// An answer that begins or ends later than this after a reported crash may come from the restarted
/// endpoint.
const SURVIVAL_WINDOW_MS: u64 = 1_000;

/// How long closings are kept; other nodes report a crash within this time.
const CLOSING_TTL_MS: u64 = 5_000;

/// An endpoint may still run a cancelled request for this long.
const CANCELLED_RUN_MS: u64 = 1_000;

/// Time after the last crash in which every request with the segment is refused. It doubles with
/// each crash of a trial.
const QUARANTINE_MS: u64 = 30_000;

/// Maximum number of times that the quarantine doubles, so that it ends before `BLAMED_TTL_MS`.
const MAX_DOUBLINGS: u32 = 6;

/// How long an answer acquits its segments of reported crashes that happened before it.
const ANSWERED_TTL_MS: u64 = 60_000;

/// How long an acquittal or a survival is reported to other nodes.
const ACQUITTAL_REPORT_MS: u64 = 5_000;

/// Fraction of its lifetime for which evidence is reported. Nodes would otherwise return forgotten
/// evidence to each other forever.
const REPORTED_LIFETIME: f64 = 0.9;

/// Interval between two removals of old evidence.
const PRUNE_INTERVAL_MS: u64 = 1_000;

/// Maximum number of suspects; those with the fewest and oldest crashes are dropped first.
const MAX_SUSPECTS: usize = 256;

/// Maximum number of suspects in a report, which must fit a datagram.
const MAX_REPORTED_SUSPECTS: usize = 16;

/// A request that was sent and whose caller left before its answer began.
#[derive(Debug, Clone)]
struct Cancelled {
    vm: VmName,
    at_ms: u64,
    segments: Vec<SegmentName>,
}

/// A request that was sent to an endpoint and whose connection the endpoint closed.
#[derive(Debug, Clone)]
struct Closing {
    vm: VmName,
    sent_ms: u64,
    closed_ms: u64,
}

impl Closing {
    /// Whether the endpoint was running too soon after a reported crash to have restarted.
    fn refutes(&self, vm: &VmName, at_ms: u64) -> bool {
        self.vm == *vm
            && self.sent_ms >= at_ms + SURVIVAL_MARGIN_MS
            && self.closed_ms < at_ms + SURVIVAL_WINDOW_MS
    }
}

/// A closed connection that was no crash.
#[derive(Debug, Clone)]
struct KnownSurvival {
    vm: VmName,
    closed_ms: u64,
    learned_ms: u64,
}

impl KnownSurvival {
    fn refutes(&self, vm: &VmName, at_ms: u64) -> bool {
        self.vm == *vm && self.closed_ms.abs_diff(at_ms) < SAME_CRASH_MS
    }
}

/// A segment whose requests are refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Blamed {
    /// The segment.
    pub segment: SegmentName,
    /// Segments that could not be told apart from it; only requests with all of them are refused.
    pub inseparable: Vec<SegmentName>,
    /// The endpoints that crashed.
    pub endpoints: Vec<VmName>,
}

/// The evidence on prompt segments, from this node's attempts and other nodes' reports.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    suspects: BTreeMap<SegmentName, Suspect>,
    /// When a prompt with a segment was last answered.
    answered: HashMap<SegmentName, u64>,
    /// Segments whose acquittal other nodes may not know of yet, with the time of the acquittal.
    acquitted: BTreeMap<SegmentName, u64>,
    cancelled: Vec<Cancelled>,
    /// Crashes that may still turn out to be closed connections of a running endpoint.
    unconfirmed: Vec<(VmName, u64)>,
    survivals: Vec<KnownSurvival>,
    /// Recent closings seen by this node, as it may hear of an earlier crash later.
    closings: Vec<Closing>,
    /// Segments that are quarantined, according to the last update.
    active: BTreeSet<SegmentName>,
    pruned_ms: u64,
}

impl Quarantine {
    /// Records that an endpoint answered a prompt with these segments without a crash.
    pub(crate) fn answered(&mut self, now_ms: u64, segments: &[SegmentName]) {
        for segment in segments {
            self.acquit(now_ms, segment, now_ms);
        }
    }

    /// Records that an answer of an endpoint began, continued or ended: it has not crashed shortly
    /// before.
    pub(crate) fn survived(&mut self, now_ms: u64, vm: &VmName) {
        let refuted = self.unconfirmed.iter().find(|(crashed, at_ms)| {
            let window_ms = at_ms + SURVIVAL_MARGIN_MS..at_ms + SURVIVAL_WINDOW_MS;
            crashed == vm && window_ms.contains(&now_ms)
        });
        if let Some((_, at_ms)) = refuted {
            self.refute(now_ms, vm.clone(), *at_ms);
        }
    }

    /// Records that an endpoint closed the connection of a request that was sent at `sent_ms`.
    ///
    /// An endpoint that has crashed refuses connections until it has restarted. One that closes
    /// every connection is broken, whatever it is asked.
    pub(crate) fn closed(&mut self, now_ms: u64, vm: &VmName, sent_ms: u64) {
        let closing = Closing { vm: vm.clone(), sent_ms, closed_ms: now_ms };
        let mut unconfirmed = self.unconfirmed.iter();
        if let Some((vm, at_ms)) = unconfirmed.find(|(vm, at_ms)| closing.refutes(vm, *at_ms)) {
            self.refute(now_ms, vm.clone(), *at_ms);
        }
        self.closings.push(closing);
    }

    /// Withdraws the evidence of a crash that did not happen.
    fn refute(&mut self, now_ms: u64, vm: VmName, closed_ms: u64) {
        if self.survivals.iter().any(|known| known.refutes(&vm, closed_ms)) {
            return;
        }
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|crash| !crash.is_same(&vm, closed_ms));
        }
        self.suspects.retain(|_, suspect| !suspect.crashes.is_empty());
        self.survivals.push(KnownSurvival { vm, closed_ms, learned_ms: now_ms });
    }

    /// Records that an endpoint crashed before it had begun to answer a prompt with these segments.
    pub(crate) fn crashed(&mut self, now_ms: u64, vm: &VmName, segments: &[SegmentName]) {
        self.suspect(now_ms, vm, now_ms, segments);
        self.suspect_cancelled(now_ms, vm, now_ms);
    }

    /// Records that the caller of a request left before its answer began.
    pub(crate) fn cancelled(&mut self, now_ms: u64, vm: &VmName, segments: &[SegmentName]) {
        if !segments.is_empty() {
            let segments = segments.to_vec();
            self.cancelled.push(Cancelled { vm: vm.clone(), at_ms: now_ms, segments });
        }
    }

    /// Suspects the requests that an endpoint may still have been running at its crash.
    fn suspect_cancelled(&mut self, now_ms: u64, vm: &VmName, crashed_ms: u64) {
        let was_running = |cancelled: &mut Cancelled| {
            let run_ms = cancelled.at_ms..cancelled.at_ms + CANCELLED_RUN_MS;
            cancelled.vm == *vm && run_ms.contains(&crashed_ms)
        };
        let suspected: Vec<Cancelled> = self.cancelled.extract_if(.., was_running).collect();
        for cancelled in suspected {
            self.suspect(now_ms, vm, crashed_ms, &cancelled.segments);
        }
    }

    fn suspect(&mut self, now_ms: u64, vm: &VmName, at_ms: u64, segments: &[SegmentName]) {
        for segment in segments {
            let others = segments.iter().filter(|other| *other != segment);
            let companions = others.cloned().collect();
            self.add_crash(now_ms, segment, Crash { vm: vm.clone(), at_ms, companions });
        }
    }

    fn add_crash(&mut self, now_ms: u64, segment: &SegmentName, mut crash: Crash) {
        if self.is_answered_since(segment, crash.at_ms) {
            // The node that reports the crash does not know of the answer.
            self.acquitted.insert(segment.clone(), now_ms);
            return;
        }
        if self.survivals.iter().any(|known| known.refutes(&crash.vm, crash.at_ms)) {
            return;
        }
        if self.closings.iter().any(|closing| closing.refutes(&crash.vm, crash.at_ms)) {
            self.refute(now_ms, crash.vm, crash.at_ms);
            return;
        }
        if !self.unconfirmed.iter().any(|(vm, at_ms)| crash.is_same(vm, *at_ms)) {
            self.unconfirmed.push((crash.vm.clone(), crash.at_ms));
        }
        let answered = &self.answered;
        crash.companions.retain(|other| answered.get(other).is_none_or(|ms| *ms < crash.at_ms));
        self.suspects.entry(segment.clone()).or_default().add(crash);
        if self.suspects.len() > MAX_SUSPECTS {
            let rank = |suspect: &Suspect| (suspect.crashes.len(), suspect.last_crash_ms());
            let least = self.suspects.iter().min_by_key(|(_, suspect)| rank(suspect));
            if let Some(segment) = least.map(|(segment, _)| segment.clone()) {
                self.suspects.remove(&segment);
            }
        }
    }

    fn is_answered_since(&self, segment: &SegmentName, at_ms: u64) -> bool {
        self.answered.get(segment).is_some_and(|answered_ms| *answered_ms >= at_ms)
    }

    /// Clears a segment of the crashes before an answer to a prompt with it.
    fn acquit(&mut self, now_ms: u64, segment: &SegmentName, answered_ms: u64) {
        match self.answered.get_mut(segment) {
            Some(known_ms) => *known_ms = answered_ms.max(*known_ms),
            None => _ = self.answered.insert(segment.clone(), answered_ms),
        }
        for suspect in self.suspects.values_mut() {
            let earlier = suspect.crashes.iter_mut().filter(|crash| crash.at_ms <= answered_ms);
            earlier.for_each(|crash| _ = crash.companions.remove(segment));
        }
        if let Some(suspect) = self.suspects.get_mut(segment) {
            suspect.crashes.retain(|crash| crash.at_ms > answered_ms);
            self.acquitted.insert(segment.clone(), now_ms);
            if suspect.crashes.is_empty() {
                self.suspects.remove(segment);
            }
        }
    }

    /// Applies the evidence of another node.
    pub(crate) fn apply_report(&mut self, now_ms: u64, report: &QuarantineReport) {
        for Survival { vm, age_ms } in &report.survivals {
            self.refute(now_ms, vm.clone(), now_ms.saturating_sub(*age_ms));
        }
        self.apply_evidence(now_ms, &report.segments);
    }

    /// Applies evidence on segments.
    pub(crate) fn apply_evidence(&mut self, now_ms: u64, segments: &[SegmentEvidence]) {
        for evidence in segments {
            if let Some(age_ms) = evidence.answered_age_ms {
                self.acquit(now_ms, &evidence.segment, now_ms.saturating_sub(age_ms));
            }
        }
        for evidence in segments {
            for CrashEvidence { vm, age_ms, companions } in &evidence.crashes {
                let at_ms = now_ms.saturating_sub(*age_ms);
                self.suspect_cancelled(now_ms, vm, at_ms);
                let companions = companions.iter().cloned().collect();
                let crash = Crash { vm: vm.clone(), at_ms, companions };
                self.add_crash(now_ms, &evidence.segment, crash);
            }
        }
    }

    /// Returns the evidence to report to other nodes, that on the most suspected segments first.
    pub(crate) fn report(&self, now_ms: u64) -> QuarantineReport {
        let age_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
        let is_reported = |suspect: &Suspect| {
            age_ms(suspect.last_crash_ms()) as f64 <= suspect.ttl_ms() as f64 * REPORTED_LIFETIME
        };
        let mut suspects: Vec<_> =
            self.suspects.iter().filter(|(_, suspect)| is_reported(suspect)).collect();
        suspects.sort_by_key(|(_, s)| std::cmp::Reverse((s.crashes.len(), s.last_crash_ms())));
        let acquitted = self.acquitted.keys().filter_map(|segment| {
            let answered_age_ms = Some(age_ms(*self.answered.get(segment)?));
            Some(SegmentEvidence { segment: segment.clone(), answered_age_ms, crashes: Vec::new() })
        });
        let suspects = suspects.into_iter().take(MAX_REPORTED_SUSPECTS);
        let suspects = suspects.map(|(segment, suspect)| suspect.evidence(now_ms, segment));
        let survivals = self.survivals.iter().rev().take(MAX_REPORTED_SUSPECTS);
        let survivals = survivals
            .filter(|known| now_ms < known.learned_ms + ACQUITTAL_REPORT_MS)
            .map(|known| Survival { vm: known.vm.clone(), age_ms: age_ms(known.closed_ms) });
        QuarantineReport {
            segments: suspects.chain(acquitted.take(MAX_REPORTED_SUSPECTS)).collect(),
            survivals: survivals.collect(),
        }
    }

    /// Returns the evidence that must outlast all nodes: that on segments with several crashes.
    pub fn lasting(&self, now_ms: u64) -> Vec<SegmentEvidence> {
        let blamed = self.suspects.iter().filter(|(_, suspect)| suspect.crashes.len() > 1);
        blamed.map(|(segment, suspect)| suspect.evidence(now_ms, segment)).collect()
    }

    /// Returns the number of crashes at different times that a segment may have caused and that no
    /// other segment accounts for.
    fn unexplained_crashes(&self, segment: &SegmentName, suspect: &Suspect) -> usize {
        let inseparable = suspect.inseparable();
        // A segment with more crashes is the likelier cause of those that both were part of.
        let likelier: Vec<&Suspect> = self
            .suspects
            .iter()
            .filter(|(other, other_suspect)| {
                *other != segment
                    && !inseparable.contains(*other)
                    && other_suspect.crashes.len() > suspect.crashes.len()
            })
            .map(|(_, other_suspect)| other_suspect)
            .collect();
        let is_explained = |crash: &Crash| {
            likelier.iter().any(|s| s.crashes.iter().any(|c| c.is_same(&crash.vm, crash.at_ms)))
        };
        let mut count = 0;
        let mut last_ms = None;
        for crash in suspect.crashes.iter().filter(|crash| !is_explained(crash)) {
            if last_ms.is_none_or(|last_ms| crash.at_ms >= last_ms + CORRELATED_MS) {
                count += 1;
                last_ms = Some(crash.at_ms);
            }
        }
        count
    }

    /// Returns the suspect that forbids a request with these segments, and its crashes.
    fn blocking(
        &self,
        segments: &[SegmentName],
        min_crashes: usize,
    ) -> Option<(SegmentName, usize)> {
        segments.iter().find_map(|segment| {
            let suspect = self.suspects.get(segment)?;
            if suspect.crashes.len() < min_crashes {
                return None;
            }
            let crashes = self.unexplained_crashes(segment, suspect);
            let has_all = suspect.inseparable().iter().all(|other| segments.contains(other));
            (crashes >= min_crashes && has_all).then(|| (segment.clone(), crashes))
        })
    }

    /// Returns for how long a request must be refused; `None` if it may be sent. When the quarantine
    /// is over, one request at a time may pass as a trial, at the one node with `may_try`.
    pub(crate) fn check(
        &mut self,
        now_ms: u64,
        attempt_id: AttemptId,
        segments: &[SegmentName],
        is_retry: bool,
        may_try: bool,
    ) -> Option<u64> {
        let min_crashes = if is_retry { MIN_CRASHES_FOR_RETRY } else { MIN_CRASHES };
        let (segment, crashes) = self.blocking(segments, min_crashes)?;
        let suspect = self.suspects.get_mut(&segment)?;
        if suspect.trial.is_some_and(|(trial_id, _)| trial_id == attempt_id) {
            return None;
        }
        let doublings = (crashes.saturating_sub(MIN_CRASHES) as u32).min(MAX_DOUBLINGS);
        let quarantine_ms = QUARANTINE_MS << doublings;
        let until_ms = suspect.last_crash_ms() + quarantine_ms;
        let is_trial_due = now_ms >= until_ms
            && suspect.trial.is_none_or(|(_, since_ms)| now_ms >= since_ms + QUARANTINE_MS);
        if is_trial_due && may_try && !is_retry {
            suspect.trial = Some((attempt_id, now_ms));
            return None;
        }
        Some(until_ms.saturating_sub(now_ms))
    }

    /// Whether a request that was accepted earlier must not run any more.
    pub(crate) fn forbids(&self, attempt_id: AttemptId, segments: &[SegmentName]) -> bool {
        self.blocking(segments, MIN_CRASHES).is_some_and(|(segment, _)| {
            let trial = self.suspects.get(&segment).and_then(|suspect| suspect.trial);
            trial.is_none_or(|(trial_id, _)| trial_id != attempt_id)
        })
    }

    /// Whether any segment is quarantined.
    pub(crate) fn is_active(&self) -> bool {
        !self.active.is_empty()
    }

    fn prune(&mut self, now_ms: u64) {
        self.pruned_ms = now_ms;
        self.cancelled.retain(|cancelled| now_ms < cancelled.at_ms + CANCELLED_RUN_MS);
        self.unconfirmed.retain(|(_, at_ms)| now_ms < *at_ms + SURVIVAL_WINDOW_MS);
        self.closings.retain(|closing| now_ms < closing.closed_ms + CLOSING_TTL_MS);
        self.survivals.retain(|known| now_ms < known.learned_ms + SUSPECT_TTL_MS);
        self.answered.retain(|_, at_ms| now_ms < *at_ms + ANSWERED_TTL_MS);
        self.acquitted.retain(|_, at_ms| now_ms < *at_ms + ACQUITTAL_REPORT_MS);
        self.suspects.retain(|_, s| now_ms < s.last_crash_ms() + s.ttl_ms());
    }

    /// Removes old evidence; returns the segments that were quarantined and released since the last
    /// update.
    pub(crate) fn update(&mut self, now_ms: u64) -> (Vec<Blamed>, Vec<SegmentName>) {
        if now_ms >= self.pruned_ms + PRUNE_INTERVAL_MS {
            self.prune(now_ms);
        }
        let blamed: Vec<Blamed> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.crashes.len() >= MIN_CRASHES)
            .filter(|(segment, suspect)| self.unexplained_crashes(segment, suspect) >= MIN_CRASHES)
            .map(|(segment, suspect)| Blamed {
                segment: segment.clone(),
                inseparable: suspect.inseparable().into_iter().collect(),
                endpoints: suspect.crashes.iter().map(|crash| crash.vm.clone()).collect(),
            })
            .collect();
        let active: BTreeSet<SegmentName> = blamed.iter().map(|b| b.segment.clone()).collect();
        let before = std::mem::replace(&mut self.active, active);
        let released = before.difference(&self.active).cloned().collect();
        let new = blamed.into_iter().filter(|blamed| !before.contains(&blamed.segment)).collect();
        (new, released)
    }
}
