//! Converts answers to JSON. The keys are stable and listed in `docs/OPERATIONS.md`.

use balsam_types::RecordKind;
use balsam_types::record::PlanSpec;
use balsam_wire::pb::operator::v1 as pb;
use balsam_wire::pb::record::v1::Offset;
use balsam_wire::record::offset_from_pb;
use serde_json::Value;
use serde_json::json;

/// Returns an offset as `append.index`, or `None` if the node knows none.
pub fn offset(raw: &Option<Offset>) -> Option<String> {
    raw.as_ref().map(|raw| offset_from_pb(raw).to_string())
}

/// Returns the age of the log, or `None` if it was never read.
pub fn log_age_ms(status: &pb::StatusResponse) -> Option<u64> {
    Some(status.log_age_ms).filter(|age_ms| *age_ms != u64::MAX)
}

/// Returns whether a group serves, as far as the answering node observes it.
pub fn group_state(group: &pb::GroupStatus) -> &'static str {
    match (group.observed_here, group.serving) {
        (true, true) => "serving",
        (true, false) => "not_serving",
        (false, _) => "not_seen_here",
    }
}

/// Describes a change: its kind and the object.
pub fn change(kind: &RecordKind) -> String {
    let object = kind.object().map(|object| object.to_string()).unwrap_or_default();
    format!("{} {object}", kind.label())
}

/// Converts the status.
pub fn status(status: &pb::StatusResponse) -> Value {
    let data_centres = status.data_centres.iter().map(|line| {
        json!({
            "data_centre": line.data_centre,
            "drained": line.drained,
            "drain_unconfirmed": line.drain_unconfirmed,
            "entry_nodes_reachable": line.entry_nodes_reachable,
            "in_force_offset": offset(&line.in_force_offset),
        })
    });
    let entry_nodes = status.entry_nodes.iter().map(|line| {
        json!({
            "vm": line.vm,
            "data_centre": line.data_centre,
            "state": line.state,
            "folded_offset": offset(&line.folded_offset),
            "platform_reachable": line.platform_reachable,
            "heard_age_ms": line.heard_age_ms,
        })
    });
    let routes = status.routes.iter().map(|line| json!({"route": line.route, "pool": line.pool}));
    json!({
        "node": status.node,
        "folded_offset": offset(&status.folded_offset),
        "log_age_ms": log_age_ms(status),
        "platform_reachable": status.platform_reachable,
        "unconfirmed_records": status.unconfirmed_records,
        "data_centres": data_centres.collect::<Vec<_>>(),
        "entry_nodes": entry_nodes.collect::<Vec<_>>(),
        "pools": status.pools.iter().map(pool).collect::<Vec<_>>(),
        "groups": status.groups.iter().map(group).collect::<Vec<_>>(),
        "routes": routes.collect::<Vec<_>>(),
        "organisations": status.organisations,
        "plans": status.plans.iter().map(plan_status).collect::<Vec<_>>(),
    })
}

fn pool(line: &pb::PoolStatus) -> Value {
    json!({
        "pool": line.pool,
        "model": line.model,
        "version": line.version,
        "target_groups": line.target_groups,
        "formed_groups": line.formed_groups,
        "serving_groups": line.serving_groups,
        "spare_vms": line.spare_vms,
    })
}

fn group(line: &pb::GroupStatus) -> Value {
    json!({
        "group": line.group,
        "pool": line.pool,
        "data_centre": line.data_centre,
        "fabric_domain": line.fabric_domain,
        "members": line.members,
        "missing_members": line.missing_members,
        "state": group_state(line),
        "temperature": line.temperature,
        "reason": line.reason,
    })
}

fn plan_status(line: &pb::PlanStatus) -> Value {
    json!({
        "plan": line.plan,
        "intent": line.intent,
        "phase": line.phase,
        "steps_done": line.steps_done,
        "steps_total": line.steps_total,
    })
}

/// Converts a new plan with the command that confirms it.
pub fn plan(spec: &PlanSpec, confirm: &str) -> Value {
    let steps = spec.steps.iter().map(|step| {
        let capacity = step.capacity_left.iter();
        let capacity = capacity.map(|(pool, groups)| (pool.to_string(), json!(groups)));
        json!({
            "summary": &*step.summary,
            "changes": step.changes.iter().map(change).collect::<Vec<_>>(),
            "capacity_left": capacity.collect::<serde_json::Map<_, _>>(),
        })
    });
    json!({
        "plan": spec.plan.as_str(),
        "intent": &*spec.intent,
        "based_on": spec.based_on.to_string(),
        "steps": steps.collect::<Vec<_>>(),
        "notices": spec.notices.iter().map(|notice| notice.to_string()).collect::<Vec<_>>(),
        "confirm_command": confirm,
        "refusals": [],
    })
}

/// Converts the refusal of an intent.
pub fn refused(answer: &pb::MakePlanResponse) -> Value {
    let remedies = answer.remedies.iter().map(String::as_str).chain(std::iter::repeat(""));
    let lines = answer.refusals.iter().zip(remedies);
    let lines = lines.map(|(reason, remedy)| json!({"reason": reason, "remedy": remedy}));
    json!({"plan": null, "refusals": lines.collect::<Vec<_>>()})
}

/// Converts the answer to a confirmation.
pub fn confirmed(plan: &str, answer: &pb::ConfirmResponse) -> Value {
    let data_centres = answer.data_centres.iter().map(|line| {
        json!({
            "data_centre": line.data_centre,
            "state": line.state,
            "in_force_after_ms": line.in_force_after_ms,
        })
    });
    json!({
        "plan": plan,
        "refusal": Some(&answer.refusal).filter(|refusal| !refusal.is_empty()),
        "accepted_offset": offset(&answer.accepted_offset),
        "data_centres": data_centres.collect::<Vec<_>>(),
    })
}

/// Converts the answer to an abort.
pub fn aborted(plan: &str, refusal: &str) -> Value {
    json!({"plan": plan, "refusal": Some(refusal).filter(|refusal| !refusal.is_empty())})
}

/// Converts entries of the audit trail, oldest first.
pub fn history(entries: &[pb::HistoryEntry]) -> Value {
    let entries = entries.iter().map(|entry| {
        json!({
            "offset": offset(&entry.offset),
            "at_ms": entry.at_ms,
            "who": entry.who,
            "what": entry.what,
            "why": entry.why,
            "result": entry.result,
        })
    });
    json!({"entries": entries.collect::<Vec<_>>()})
}

/// Converts the explanation of one object.
pub fn explained(answer: &pb::ExplainResponse) -> Value {
    let entries = history(&answer.entries);
    json!({
        "lines": answer.lines,
        "entries": entries["entries"],
        "suggestions": answer.suggestions,
    })
}
