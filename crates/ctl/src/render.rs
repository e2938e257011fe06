//! Renders answers as text tables.

use std::fmt::Write;

use balsam_types::record::PlanSpec;
use balsam_wire::pb::operator::v1 as pb;
use chrono::DateTime;

use crate::table::Cell;
use crate::table::ColourMode;
use crate::table::Severity;
use crate::table::table;
use crate::view;

/// A warning is shown if the last read of the log is older; a node reads it every second.
const LOG_AGE_WARNING_MS: u64 = 3_000;

fn section(text: &mut String, title: &str, body: String) {
    // Writing to a string cannot fail.
    let _ = write!(text, "\n{title}\n{body}");
}

fn yes_no(is_good: bool, good: &str, bad: &str) -> Cell {
    if is_good {
        Cell::with_severity(good, Severity::Good)
    } else {
        Cell::with_severity(bad, Severity::Bad)
    }
}

fn offset(raw: &Option<balsam_wire::pb::record::v1::Offset>) -> String {
    view::offset(raw).unwrap_or_else(|| "-".to_owned())
}

/// Renders the status.
pub fn status(colour: ColourMode, status: &pb::StatusResponse) -> String {
    let age = match view::log_age_ms(status) {
        Some(age_ms) => format!("read {age_ms} ms ago"),
        None => "never read".to_owned(),
    };
    let is_stale = view::log_age_ms(status).is_none_or(|age_ms| age_ms > LOG_AGE_WARNING_MS);
    let reachable = if status.platform_reachable { "" } else { ", NOT REACHABLE from this node" };
    let mut text = format!("node {}, folded {}", status.node, offset(&status.folded_offset));
    let _ = write!(text, ", log {age}{reachable}");
    if status.unconfirmed_records > 0 {
        let _ = write!(text, ", {} records not confirmed by the log", status.unconfirmed_records);
    }
    text.push('\n');
    if is_stale || !status.platform_reachable {
        text.push_str("WARNING: what the log holds may be newer than what is shown here\n");
    }
    section(&mut text, "Data centres", data_centres(colour, status));
    section(&mut text, "Entry nodes", entry_nodes(colour, status));
    section(&mut text, "Pools", pools(colour, status));
    section(&mut text, "Groups", groups(colour, status));
    let routes: Vec<Vec<Cell>> =
        status.routes.iter().map(|line| vec![(&line.route).into(), (&line.pool).into()]).collect();
    section(&mut text, "Routes", table(colour, &["ROUTE", "POOL"], &routes));
    let names: Vec<Vec<Cell>> = status.organisations.iter().map(|name| vec![name.into()]).collect();
    section(&mut text, "Organisations", table(colour, &["ORGANISATION"], &names));
    section(&mut text, "Plans", plans(colour, status));
    text
}

fn data_centres(colour: ColourMode, status: &pb::StatusResponse) -> String {
    let row = |line: &pb::DataCentreStatus| {
        let work = match (line.drained, line.drain_unconfirmed) {
            (true, true) => {
                Cell::with_severity("drained (not confirmed by the log)", Severity::Warn)
            }
            (true, false) => Cell::with_severity("drained", Severity::Warn),
            (false, _) => Cell::with_severity("in service", Severity::Good),
        };
        let nodes = line.entry_nodes_reachable;
        let reachable =
            Cell::with_severity(nodes, if nodes == 0 { Severity::Bad } else { Severity::Plain });
        vec![(&line.data_centre).into(), work, reachable, offset(&line.in_force_offset).into()]
    };
    let rows: Vec<_> = status.data_centres.iter().map(row).collect();
    table(colour, &["DATA CENTRE", "WORK", "ENTRY NODES REACHABLE", "IN FORCE"], &rows)
}

fn entry_nodes(colour: ColourMode, status: &pb::StatusResponse) -> String {
    let row = |line: &pb::EntryNodeStatus| {
        vec![
            (&line.vm).into(),
            (&line.data_centre).into(),
            yes_no(line.state == "alive", &line.state, &line.state),
            offset(&line.folded_offset).into(),
            yes_no(line.platform_reachable, "yes", "no"),
            format!("{} ms", line.heard_age_ms).into(),
        ]
    };
    let rows: Vec<_> = status.entry_nodes.iter().map(row).collect();
    table(colour, &["VM", "DATA CENTRE", "STATE", "FOLDED", "REACHES LOG", "HEARD"], &rows)
}

fn pools(colour: ColourMode, status: &pb::StatusResponse) -> String {
    let row = |line: &pb::PoolStatus| {
        let severity = match line.serving_groups {
            0 if line.target_groups > 0 => Severity::Bad,
            serving if serving < line.target_groups => Severity::Warn,
            _ => Severity::Good,
        };
        let model = format!("{} {}", line.model, line.version);
        vec![
            (&line.pool).into(),
            model.trim().into(),
            Cell::with_severity(line.serving_groups, severity),
            line.formed_groups.into(),
            line.target_groups.into(),
            line.spare_vms.into(),
        ]
    };
    let rows: Vec<_> = status.pools.iter().map(row).collect();
    table(colour, &["POOL", "MODEL", "SERVING", "FORMED", "TARGET", "SPARE VMS"], &rows)
}

fn groups(colour: ColourMode, status: &pb::StatusResponse) -> String {
    let row = |line: &pb::GroupStatus| {
        let state = match view::group_state(line) {
            "serving" => Cell::with_severity("serving", Severity::Good),
            "not_serving" => Cell::with_severity("not serving", Severity::Bad),
            _ => Cell::from("not seen here"),
        };
        let reason = if line.observed_here { line.reason.as_str() } else { "" };
        vec![
            (&line.group).into(),
            (&line.pool).into(),
            (&line.data_centre).into(),
            state,
            (&line.temperature).into(),
            line.members.len().into(),
            line.missing_members.join(" ").into(),
            reason.into(),
        ]
    };
    let rows: Vec<_> = status.groups.iter().map(row).collect();
    let headers =
        ["GROUP", "POOL", "DATA CENTRE", "STATE", "HEAD", "VMS", "MISSING", "WHY NOT SERVING"];
    table(colour, &headers, &rows)
}

fn plans(colour: ColourMode, status: &pb::StatusResponse) -> String {
    let row = |line: &pb::PlanStatus| {
        vec![
            (&line.plan).into(),
            (&line.intent).into(),
            (&line.phase).into(),
            format!("{} of {}", line.steps_done, line.steps_total).into(),
        ]
    };
    let rows: Vec<_> = status.plans.iter().map(row).collect();
    table(colour, &["PLAN", "INTENT", "PHASE", "STEPS DONE"], &rows)
}

/// Renders a new plan with the command that confirms it.
pub fn plan(colour: ColourMode, spec: &PlanSpec, confirm: &str) -> String {
    let mut text = format!("{}: {}\n", spec.plan, spec.intent);
    let _ = writeln!(text, "made from the state at {}", spec.based_on);
    let rows: Vec<Vec<Cell>> = spec
        .steps
        .iter()
        .enumerate()
        .map(|(index, step)| {
            let left = step.capacity_left.iter();
            let left: Vec<_> = left.map(|(pool, groups)| format!("{pool} {groups}")).collect();
            let changes: Vec<_> = step.changes.iter().map(view::change).collect();
            vec![index.into(), (&step.summary).into(), left.join(", ").into(), changes.len().into()]
        })
        .collect();
    let headers = ["STEP", "WHAT HAPPENS", "SERVING GROUPS LEFT", "CHANGES"];
    section(&mut text, "Steps", table(colour, &headers, &rows));
    let notices: String = spec.notices.iter().map(|notice| format!("  {notice}\n")).collect();
    let notices = if notices.is_empty() { "  none\n".to_owned() } else { notices };
    section(&mut text, "What is noticed", notices);
    let _ = write!(text, "\nNothing has changed yet. To carry out the plan:\n  {confirm}\n");
    text
}

/// Returns the reasons why an intent was refused, each with its remedy.
pub fn refusals(answer: &pb::MakePlanResponse) -> Vec<String> {
    let remedies = answer.remedies.iter().map(String::as_str).chain(std::iter::repeat(""));
    let lines = answer.refusals.iter().zip(remedies);
    let lines = lines.map(|(reason, remedy)| match remedy {
        "" => format!("  {reason}"),
        remedy => format!("  {reason}\n    what to do: {remedy}"),
    });
    lines.collect()
}

/// Renders in which data centres a confirmed plan is in force.
pub fn confirmed(colour: ColourMode, plan: &str, answer: &pb::ConfirmResponse) -> String {
    let mut text = format!("{plan} is confirmed at {}\n", offset(&answer.accepted_offset));
    let row = |line: &pb::DataCentreInForce| {
        let state = match (line.state.as_str(), line.in_force_after_ms) {
            ("in_force", Some(ms)) => {
                Cell::with_severity(format!("in force after {ms} ms"), Severity::Good)
            }
            ("in_force", None) => Cell::with_severity("in force", Severity::Good),
            ("pending", _) => Cell::with_severity("pending", Severity::Warn),
            _ => Cell::with_severity("not reachable", Severity::Bad),
        };
        vec![(&line.data_centre).into(), state]
    };
    let rows: Vec<_> = answer.data_centres.iter().map(row).collect();
    text.push_str(&table(colour, &["DATA CENTRE", "STATE"], &rows));
    text
}

/// Renders entries of the audit trail.
pub fn history(colour: ColourMode, entries: &[pb::HistoryEntry]) -> String {
    let row = |entry: &pb::HistoryEntry| {
        let severity = if entry.result == "accepted" { Severity::Plain } else { Severity::Warn };
        vec![
            offset(&entry.offset).into(),
            time(entry.at_ms).into(),
            (&entry.who).into(),
            (&entry.what).into(),
            (&entry.why).into(),
            Cell::with_severity(&entry.result, severity),
        ]
    };
    let rows: Vec<_> = entries.iter().map(row).collect();
    table(colour, &["OFFSET", "TIME (UTC)", "WHO", "WHAT", "WHY", "RESULT"], &rows)
}

/// Renders the explanation of one object.
pub fn explained(colour: ColourMode, answer: &pb::ExplainResponse) -> String {
    let mut text: String = answer.lines.iter().map(|line| format!("{line}\n")).collect();
    if !answer.entries.is_empty() {
        section(&mut text, "History", history(colour, &answer.entries));
    }
    text
}

fn time(at_ms: u64) -> String {
    let at = i64::try_from(at_ms).ok().and_then(DateTime::from_timestamp_millis);
    at.map_or_else(|| at_ms.to_string(), |at| at.format("%Y-%m-%d %H:%M:%S%.3f").to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a drain that looks confirmed although the log does not hold it, and against a
    /// group that looks failed because this node does not observe its data centre.
    #[test]
    fn the_status_marks_unconfirmed_drains_and_unobserved_groups() {
        let answer = pb::StatusResponse {
            node: "n@1-0".to_owned(),
            log_age_ms: u64::MAX,
            data_centres: vec![pb::DataCentreStatus {
                data_centre: "a".to_owned(),
                drained: true,
                drain_unconfirmed: true,
                ..Default::default()
            }],
            groups: vec![pb::GroupStatus { group: "g".to_owned(), ..Default::default() }],
            ..Default::default()
        };
        let text = status(ColourMode(false), &answer);
        assert!(text.contains("log never read, NOT REACHABLE from this node"), "{text}");
        assert!(text.contains("drained (not confirmed by the log)"), "{text}");
        assert!(text.contains("not seen here"), "{text}");
    }

    /// Guards against times in the local time zone of the operator.
    #[test]
    fn times_are_shown_in_utc() {
        assert_eq!(time(1_700_000_000_123), "2023-11-14 22:13:20.123");
    }
}
