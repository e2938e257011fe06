//! Evidence of several nodes on whether the head of a group still serves.
//!
//! A head that is neither listed nor reached by the planning node may still answer other nodes, and
//! its members must not join another group until it has stopped. The reports of the planning node
//! name such heads. Other nodes then probe them and report what they found, with the age of the last
//! event of their own requests there. See `docs/decisions/0008-platform.md`.

use std::collections::BTreeMap;

use balsam_types::DataCentreName;
use balsam_types::VmName;

use crate::event::HeadReport;
use crate::event::ProbeAnswer;

/// Number of nodes per data centre that probe a head for the planning node. All of them must find it
/// silent, as each may be the only one that has not lost the path to it.
pub(crate) const HEAD_WITNESSES_PER_DATA_CENTRE: u32 = 3;

/// How long a head is probed after a report that names it; a few report intervals.
const QUESTION_TTL_MS: u64 = 1_500;

/// Interval between two probes of a head by one node.
const PROBE_INTERVAL_MS: u64 = 500;

/// How long an answer of a head, or the lack of one, counts. A sound endpoint may fall silent for a
/// second.
pub(crate) const EVIDENCE_TTL_MS: u64 = 1_500;

/// How long a data centre whose nodes all stopped reporting is assumed to use the heads that it knew.
pub(crate) const SILENT_NODE_RETENTION_MS: u64 = 30_000;

/// What this node found out about a head.
#[derive(Debug, Clone, Default)]
struct Inquiry {
    asked_ms: u64,
    probed_ms: Option<u64>,
    answered_ms: Option<u64>,
    unanswered_ms: Option<u64>,
    /// Whether the last probe was refused.
    is_refused: bool,
}

/// The heads that the planning node asks about.
#[derive(Debug, Clone, Default)]
pub struct HeadInquiries {
    by_head: BTreeMap<VmName, Inquiry>,
}

impl HeadInquiries {
    /// Records that the planning node asks about a head.
    pub fn asked(&mut self, now_ms: u64, head: &VmName) {
        self.by_head.entry(head.clone()).or_default().asked_ms = now_ms;
    }

    /// Returns the heads that are due to be probed by this node if it is a witness of them.
    pub fn take_due(&mut self, now_ms: u64, is_witness: impl Fn(&VmName) -> bool) -> Vec<VmName> {
        self.by_head.retain(|_, inquiry| now_ms < inquiry.asked_ms + QUESTION_TTL_MS);
        let is_due = |inquiry: &Inquiry| {
            inquiry.probed_ms.is_none_or(|probed_ms| now_ms >= probed_ms + PROBE_INTERVAL_MS)
        };
        let mut due = Vec::new();
        for (head, inquiry) in &mut self.by_head {
            if is_due(inquiry) && is_witness(head) {
                inquiry.probed_ms = Some(now_ms);
                due.push(head.clone());
            }
        }
        due
    }

    /// Records the result of a probe.
    pub fn probed(&mut self, now_ms: u64, vm: &VmName, answer: ProbeAnswer) {
        let Some(inquiry) = self.by_head.get_mut(vm) else { return };
        match answer {
            ProbeAnswer::Alive => inquiry.answered_ms = Some(now_ms),
            ProbeAnswer::Refused | ProbeAnswer::Unanswered => inquiry.unanswered_ms = Some(now_ms),
        }
        inquiry.is_refused = answer == ProbeAnswer::Refused;
    }

    /// Returns what this node knows of the heads. `progress_ms` returns when the last event of this
    /// node's own requests at a head arrived.
    pub fn reports(
        &self,
        now_ms: u64,
        progress_ms: impl Fn(&VmName) -> Option<u64>,
    ) -> Vec<HeadReport> {
        let is_recent = |at_ms: &u64| now_ms < at_ms + EVIDENCE_TTL_MS;
        let report = |(head, inquiry): (&VmName, &Inquiry)| {
            let answered_ms = inquiry.answered_ms.max(progress_ms(head)).filter(is_recent);
            let unanswered_ms = inquiry.unanswered_ms.filter(is_recent);
            HeadReport {
                head: head.clone(),
                answered_age_ms: answered_ms.map(|at_ms| now_ms.saturating_sub(at_ms)),
                unanswered_nodes: u32::from(unanswered_ms > answered_ms),
                is_refused: inquiry.is_refused,
            }
        };
        self.by_head.iter().map(report).collect()
    }
}

/// What all nodes together know of a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadVerdict {
    /// It answered some node just now.
    Serves,
    /// It answers none of the nodes that probe it in any data centre.
    Gone {
        /// Whether it refused the connection of a node, as a process does that shuts down.
        is_refused: bool,
    },
    /// There are too few reports.
    Unknown,
}

impl HeadVerdict {
    /// Returns the verdict as a log field.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Serves => "answers other nodes",
            Self::Gone { .. } => "answers no node",
            Self::Unknown => "too few reports",
        }
    }
}

/// The nodes of a data centre that reported within `SILENT_NODE_RETENTION_MS`.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct NodeCount {
    /// Those that report now.
    pub live: u32,
}

/// A report on a head, with the data centre of the node that sent it and the age of the report.
pub(crate) type ReceivedReport<'a> = (&'a DataCentreName, u64, &'a HeadReport);

/// Concludes from the reports of all nodes whether a head still serves.
///
/// A data centre whose nodes are all out of touch may still use the head, so nothing is concluded.
/// Where some nodes are in touch, those decide: nodes stop and restart all the time, and the members of
/// a crashed head serve nobody while they wait.
pub(crate) fn conclude(
    nodes: &BTreeMap<DataCentreName, NodeCount>,
    reports: &[ReceivedReport<'_>],
) -> HeadVerdict {
    let answered = |(_, heard_age_ms, report): &ReceivedReport<'_>| {
        let age_ms = report.answered_age_ms.map(|age_ms| age_ms.saturating_add(*heard_age_ms));
        age_ms.is_some_and(|age_ms| age_ms < EVIDENCE_TTL_MS)
    };
    if reports.iter().any(answered) {
        return HeadVerdict::Serves;
    }
    let is_settled = |(data_centre, count): (&DataCentreName, &NodeCount)| {
        let of_data_centre = reports.iter().filter(|(from, ..)| *from == data_centre);
        let unanswered =
            of_data_centre.map(|(.., report)| report.unanswered_nodes).fold(0, u32::saturating_add);
        count.live > 0 && unanswered >= count.live.min(HEAD_WITNESSES_PER_DATA_CENTRE)
    };
    let live_nodes: u32 = nodes.values().map(|count| count.live).fold(0, u32::saturating_add);
    if live_nodes > 1 && nodes.iter().all(is_settled) {
        let is_refused = reports.iter().any(|(.., report)| report.is_refused);
        return HeadVerdict::Gone { is_refused };
    }
    HeadVerdict::Unknown
}
