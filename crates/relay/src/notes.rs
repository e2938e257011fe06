//! Log lines for decisions, within a budget.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use balsam_fleet::event::Note;
use slog::Logger;
use slog::info;

use crate::clock::now_ms;

/// Lines of one kind a second; a flood of refusals must not cost the time that requests need.
const LINES_PER_S: u32 = 20;

/// Counts lines by kind, and says how many were left out.
#[derive(Debug, Default)]
pub struct LineBudget {
    kinds: Mutex<HashMap<&'static str, Spent>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Spent {
    second: u64,
    lines: u32,
    dropped: u64,
}

impl LineBudget {
    /// Takes one line of a kind; returns how many were dropped before it, or `None` if it has to
    /// be dropped too.
    pub fn take(&self, kind: &'static str) -> Option<u64> {
        let second = now_ms() / 1_000;
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let spent = kinds.entry(kind).or_default();
        if spent.second != second {
            *spent = Spent { second, lines: 0, dropped: spent.dropped };
        }
        if spent.lines >= LINES_PER_S {
            spent.dropped += 1;
            return None;
        }
        spent.lines += 1;
        Some(std::mem::take(&mut spent.dropped))
    }
}

/// Writes the line of a decision of the reducer, and returns its kind.
pub(crate) fn write(log: &Logger, budget: &LineBudget, note: &Note) -> &'static str {
    let kind = kind(note);
    let Some(dropped) = budget.take(kind) else {
        return kind;
    };
    match note {
        Note::GroupSuspected { group, silent_ms } => {
            info!(log, "group is silent"; "kind" => kind, "group" => %group,
                "silent_ms" => silent_ms, "dropped_lines" => dropped);
        }
        Note::GroupLost { group, epoch, member, abandoned } => {
            info!(log, "group is lost"; "kind" => kind, "group" => %group, "epoch" => epoch,
                "member" => ?member, "abandoned_attempts" => abandoned, "dropped_lines" => dropped);
        }
        Note::GroupServes { group, epoch } => {
            info!(log, "group serves"; "kind" => kind, "group" => %group, "epoch" => epoch,
                "dropped_lines" => dropped);
        }
        Note::GroupForming { group, epoch, members } => {
            info!(log, "group is being formed"; "kind" => kind, "group" => %group,
                "epoch" => epoch, "members" => ?members, "dropped_lines" => dropped);
        }
        Note::GroupDissolving { group, epoch, reason } => {
            info!(log, "group is being dissolved"; "kind" => kind, "group" => %group,
                "epoch" => epoch, "reason" => reason, "dropped_lines" => dropped);
        }
        Note::Configuration { version } => {
            info!(log, "configuration in force"; "kind" => kind, "version" => version,
                "dropped_lines" => dropped);
        }
        Note::Evacuation { data_centre, is_out, unconfirmed_ms, told_by } => {
            info!(log, "evacuation changed"; "kind" => kind, "data_centre" => %data_centre,
                "is_out" => is_out, "unconfirmed_ms" => unconfirmed_ms,
                "told_by" => told_by.as_deref(), "dropped_lines" => dropped);
        }
        Note::ListReturned { away_ms } => {
            info!(log, "list of endpoints read again"; "kind" => kind, "away_ms" => away_ms,
                "dropped_lines" => dropped);
        }
        Note::EndpointGone { vm, reason } => {
            info!(log, "endpoint is gone"; "kind" => kind, "vm" => %vm, "reason" => reason,
                "dropped_lines" => dropped);
        }
        Note::EndpointLeaves { vm } => {
            info!(log, "endpoint says that it leaves"; "kind" => kind, "vm" => %vm,
                "dropped_lines" => dropped);
        }
        Note::EndpointPauses { vm, pause_ms } => {
            info!(log, "endpoint wants nothing for a while"; "kind" => kind, "vm" => %vm,
                "pause_ms" => pause_ms, "dropped_lines" => dropped);
        }
        Note::DataCentreCut { data_centre } => {
            info!(log, "data centre cannot be reached"; "kind" => kind,
                "data_centre" => %data_centre, "dropped_lines" => dropped);
        }
        Note::Use { model, groups, busy_groups, free_endpoints } => {
            info!(log, "use of a model"; "kind" => kind, "model" => %model, "groups" => groups,
                "busy_groups" => busy_groups, "free_endpoints" => free_endpoints,
                "dropped_lines" => dropped);
        }
        Note::Leading { generation } => {
            info!(log, "right to plan changed"; "kind" => kind, "generation" => generation,
                "dropped_lines" => dropped);
        }
    }
    kind
}

fn kind(note: &Note) -> &'static str {
    match note {
        Note::GroupSuspected { .. } => "group_suspected",
        Note::GroupLost { .. } => "group_lost",
        Note::GroupServes { .. } => "group_serves",
        Note::GroupForming { .. } => "group_forming",
        Note::GroupDissolving { .. } => "group_dissolving",
        Note::Configuration { .. } => "configuration",
        Note::Evacuation { .. } => "evacuation",
        Note::ListReturned { .. } => "list_returned",
        Note::EndpointGone { .. } => "endpoint_gone",
        Note::EndpointLeaves { .. } => "endpoint_leaves",
        Note::EndpointPauses { .. } => "endpoint_pauses",
        Note::DataCentreCut { .. } => "data_centre_cut",
        Note::Use { .. } => "use",
        Note::Leading { .. } => "leading",
    }
}
