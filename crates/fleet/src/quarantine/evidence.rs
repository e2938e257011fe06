//! Evidence on prompt segments that may crash endpoints, as kept and as exchanged between nodes.

use std::collections::BTreeSet;

use balsam_types::SegmentName;
use balsam_types::VmName;

use super::MIN_CRASHES;
use crate::event::AttemptId;

/// Reports of a crash of the same endpoint within this time are about the same crash. An endpoint
/// takes longer to restart and to serve in a group again.
pub(super) const SAME_CRASH_MS: u64 = 1_500;

/// Time after which the evidence on a segment with several crashes is forgotten.
const BLAMED_TTL_MS: u64 = 3_600_000;

/// Time after which a single crash is forgotten: most suspects were running beside its cause.
pub(super) const SUSPECT_TTL_MS: u64 = 60_000;

/// Maximum number of crashes kept for a suspect.
const MAX_CRASHES: usize = 16;

/// Maximum number of crashes per suspect in a report; as many as justify a quarantine, and one
/// more.
const MAX_REPORTED_CRASHES: usize = MIN_CRASHES + 1;

/// Evidence on a segment, as exchanged between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentEvidence {
    /// The segment.
    pub segment: SegmentName,
    /// The time since a prompt with it was answered, if that acquits it.
    pub answered_age_ms: Option<u64>,
    /// The crashes that it may have caused.
    pub crashes: Vec<CrashEvidence>,
}

/// A crash that a segment may have caused, as exchanged between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashEvidence {
    /// The endpoint that crashed.
    pub vm: VmName,
    /// The time since the crash.
    pub age_ms: u64,
    /// The other segments of the suspected requests.
    pub companions: Vec<SegmentName>,
}

/// An endpoint that has not crashed although its connection to a node was closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Survival {
    /// The endpoint.
    pub vm: VmName,
    /// The time since the connection was closed.
    pub age_ms: u64,
}

/// What a node knows of prompt segments that may crash endpoints.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuarantineReport {
    /// Evidence on segments.
    pub segments: Vec<SegmentEvidence>,
    /// Crashes that did not happen.
    pub survivals: Vec<Survival>,
}

/// A crash of an endpoint, with the other segments of the suspected requests.
#[derive(Debug, Clone)]
pub(super) struct Crash {
    pub vm: VmName,
    pub at_ms: u64,
    pub companions: BTreeSet<SegmentName>,
}

impl Crash {
    pub fn is_same(&self, vm: &VmName, at_ms: u64) -> bool {
        self.vm == *vm && self.at_ms.abs_diff(at_ms) < SAME_CRASH_MS
    }
}

/// A segment of which no prompt was answered since the first of its crashes.
#[derive(Debug, Clone, Default)]
pub(super) struct Suspect {
    /// The crashes, the oldest first.
    pub crashes: Vec<Crash>,
    /// The request that was let through to find out whether the segment still crashes endpoints.
    pub trial: Option<(AttemptId, u64)>,
}

impl Suspect {
    pub fn last_crash_ms(&self) -> u64 {
        self.crashes.last().map_or(0, |crash| crash.at_ms)
    }

    pub fn ttl_ms(&self) -> u64 {
        if self.crashes.len() > 1 { BLAMED_TTL_MS } else { SUSPECT_TTL_MS }
    }

    /// Adds a crash, or what another report says of a known one.
    pub fn add(&mut self, crash: Crash) {
        if let Some(known) = self.crashes.iter_mut().find(|c| c.is_same(&crash.vm, crash.at_ms)) {
            known.at_ms = known.at_ms.min(crash.at_ms);
            // Either request may be the cause, so all of their segments stay in question.
            known.companions.extend(crash.companions);
            return;
        }
        let index = self.crashes.partition_point(|known| known.at_ms <= crash.at_ms);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
    }

    pub fn evidence(&self, now_ms: u64, segment: &SegmentName) -> SegmentEvidence {
        let newest = self.crashes.iter().rev().take(MAX_REPORTED_CRASHES);
        let crashes = newest.map(|crash| CrashEvidence {
            vm: crash.vm.clone(),
            age_ms: now_ms.saturating_sub(crash.at_ms),
            companions: crash.companions.iter().cloned().collect(),
        });
        SegmentEvidence {
            segment: segment.clone(),
            answered_age_ms: None,
            crashes: crashes.collect(),
        }
    }

    /// Returns the segments that occurred along with this one in every crash.
    pub fn inseparable(&self) -> BTreeSet<SegmentName> {
        let mut crashes = self.crashes.iter();
        let first = crashes.next().map(|crash| crash.companions.clone()).unwrap_or_default();
        crashes.fold(first, |common, crash| &common & &crash.companions)
    }
}
