//! Rate-limited log lines for the reducer's decisions.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use balsam_fleet::event::Decision;
use balsam_fleet::quarantine::Blamed;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::clock::now_ms;

/// Maximum lines of one kind per second, so that a flood of refusals does not slow down requests.
const LINES_PER_S: u32 = 20;

/// Limits the rate of log lines of each kind, and counts the dropped ones.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    kinds: Mutex<HashMap<&'static str, KindUsage>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct KindUsage {
    second: u64,
    lines: u32,
    dropped: u64,
}

impl LogRateLimiter {
    /// Asks to log one line of a kind; returns how many were dropped since the last one, or `None`
    /// if this one must be dropped too.
    pub fn take(&self, kind: &'static str) -> Option<u64> {
        let second = now_ms() / 1_000;
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let usage = kinds.entry(kind).or_default();
        if usage.second != second {
            *usage = KindUsage { second, lines: 0, dropped: usage.dropped };
        }
        if usage.lines >= LINES_PER_S {
            usage.dropped += 1;
            return None;
        }
        usage.lines += 1;
        Some(std::mem::take(&mut usage.dropped))
    }
}

/// Logs a decision of the reducer and returns its kind.
pub(crate) fn log_decision(
    log: &Logger,
    limiter: &LogRateLimiter,
    decision: &Decision,
) -> &'static str {
    let kind = kind(decision);
    let Some(dropped) = limiter.take(kind) else {
        return kind;
    };
    match decision {
        Decision::GroupSuspected { group, silent_ms } => {
            info!(log, "group is silent"; "kind" => kind, "group" => %group,
                "silent_ms" => silent_ms, "dropped_lines" => dropped);
        }
        Decision::GroupLost { group, epoch, member, attempts } => {
            info!(log, "group is lost"; "kind" => kind, "group" => %group, "epoch" => epoch,
                "member" => ?member, "attempts" => attempts, "dropped_lines" => dropped);
        }
        Decision::GroupServes { group, epoch } => {
            info!(log, "group serves"; "kind" => kind, "group" => %group, "epoch" => epoch,
                "dropped_lines" => dropped);
        }
        Decision::GroupForming { group, epoch, members } => {
            info!(log, "group is being formed"; "kind" => kind, "group" => %group,
                "epoch" => epoch, "members" => ?members, "dropped_lines" => dropped);
        }
        Decision::GroupDissolving { group, epoch, reason } => {
            info!(log, "group is being dissolved"; "kind" => kind, "group" => %group,
                "epoch" => epoch, "reason" => reason, "dropped_lines" => dropped);
        }
        Decision::MembersReleased { group, epoch, head, evidence } => {
            info!(log, "members are released"; "kind" => kind, "group" => %group,
                "epoch" => epoch, "head" => %head, "evidence" => evidence,
                "dropped_lines" => dropped);
        }
        Decision::HeadVerdict { group, epoch, head, verdict, asked_for_ms } => {
            info!(log, "other nodes reported on a head"; "kind" => kind, "group" => %group,
                "epoch" => epoch, "head" => %head, "verdict" => verdict.as_str(),
                "asked_for_ms" => asked_for_ms, "dropped_lines" => dropped);
        }
        Decision::Configuration { version, limits } => {
            info!(log, "configuration in force"; "kind" => kind, "version" => version,
                "max_header_bytes" => limits.max_header_bytes,
                "max_body_bytes" => limits.max_body_bytes,
                "header_timeout_ms" => limits.header_timeout_ms,
                "idle_timeout_ms" => limits.idle_timeout_ms, "dropped_lines" => dropped);
        }
        Decision::ConfigurationFault { version, fault } => {
            warn!(log, "part of the configuration cannot be used"; "kind" => kind,
                "version" => version, "part" => &*fault.part, "field" => fault.field,
                "value" => &fault.value, "dropped_lines" => dropped);
        }
        Decision::Evacuation { data_centre, is_out, unconfirmed_ms, told_by } => {
            info!(log, "evacuation changed"; "kind" => kind, "data_centre" => %data_centre,
                "is_out" => is_out, "unconfirmed_ms" => unconfirmed_ms,
                "told_by" => told_by.as_deref(), "dropped_lines" => dropped);
        }
        Decision::StoreRestored { before, position, retained, told_by } => {
            info!(log, "the store came back from a copy"; "kind" => kind,
                "era_before" => before.era, "offset_before" => before.offset,
                "era" => position.era, "offset" => position.offset,
                "retained_evacuations" => ?retained, "told_by" => told_by.as_deref(),
                "dropped_lines" => dropped);
        }
        Decision::ListReturned { away_ms } => {
            info!(log, "list of endpoints can be read again"; "kind" => kind, "away_ms" => away_ms,
                "dropped_lines" => dropped);
        }
        Decision::EndpointGone { vm, reason } => {
            info!(log, "endpoint is gone"; "kind" => kind, "vm" => %vm, "reason" => reason,
                "dropped_lines" => dropped);
        }
        Decision::EndpointLeaving { vm } => {
            info!(log, "endpoint announced that it is leaving"; "kind" => kind, "vm" => %vm,
                "dropped_lines" => dropped);
        }
        Decision::EndpointPaused { vm, pause_ms } => {
            info!(log, "endpoint requested a pause"; "kind" => kind, "vm" => %vm,
                "pause_ms" => pause_ms, "dropped_lines" => dropped);
        }
        Decision::SegmentQuarantined(Blamed { segment, inseparable, endpoints }) => {
            info!(log, "prompt segment is quarantined"; "kind" => kind, "segment" => %segment,
                "inseparable" => ?inseparable, "crashed_endpoints" => ?endpoints,
                "dropped_lines" => dropped);
        }
        Decision::SegmentReleased { segment } => {
            info!(log, "prompt segment is released"; "kind" => kind, "segment" => %segment,
                "dropped_lines" => dropped);
        }
        Decision::OwnPause { paused_ms } => {
            info!(log, "this node did not run"; "kind" => kind, "paused_ms" => paused_ms,
                "dropped_lines" => dropped);
        }
        Decision::DataCentreCut { data_centre } => {
            info!(log, "data centre cannot be reached"; "kind" => kind,
                "data_centre" => %data_centre, "dropped_lines" => dropped);
        }
        Decision::Use {
            model,
            groups,
            busy_groups,
            refused_groups,
            free_endpoints,
            idle_endpoint_ms,
        } => {
            info!(log, "use of a model"; "kind" => kind, "model" => %model, "groups" => groups,
                "busy_groups" => busy_groups, "refused_groups" => refused_groups,
                "free_endpoints" => free_endpoints, "idle_endpoint_ms" => idle_endpoint_ms,
                "dropped_lines" => dropped);
        }
        Decision::Leading { generation } => {
            info!(log, "planner lease changed"; "kind" => kind, "generation" => generation,
                "dropped_lines" => dropped);
        }
        Decision::Planning { is_active, held_ms, list_age_ms } => {
            info!(log, "planning started or stopped"; "kind" => kind, "is_active" => is_active,
                "held_ms" => held_ms, "list_age_ms" => list_age_ms, "dropped_lines" => dropped);
        }
    }
    kind
}

fn kind(decision: &Decision) -> &'static str {
    match decision {
        Decision::GroupSuspected { .. } => "group_suspected",
        Decision::GroupLost { .. } => "group_lost",
        Decision::GroupServes { .. } => "group_serves",
        Decision::GroupForming { .. } => "group_forming",
        Decision::GroupDissolving { .. } => "group_dissolving",
        Decision::MembersReleased { .. } => "members_released",
        Decision::HeadVerdict { .. } => "head_verdict",
        Decision::Configuration { .. } => "configuration",
        Decision::ConfigurationFault { .. } => "configuration_fault",
        Decision::Evacuation { .. } => "evacuation",
        Decision::StoreRestored { .. } => "store_restored",
        Decision::ListReturned { .. } => "list_returned",
        Decision::EndpointGone { .. } => "endpoint_gone",
        Decision::EndpointLeaving { .. } => "endpoint_leaves",
        Decision::EndpointPaused { .. } => "endpoint_pauses",
        Decision::SegmentQuarantined(_) => "segment_quarantined",
        Decision::SegmentReleased { .. } => "segment_released",
        Decision::OwnPause { .. } => "own_pause",
        Decision::DataCentreCut { .. } => "data_centre_cut",
        Decision::Use { .. } => "use",
        Decision::Leading { .. } => "leading",
        Decision::Planning { .. } => "planning",
    }
}
