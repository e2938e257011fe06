//! Converts intents, refusals and the audit trail between their types and protobuf.

use std::sync::Arc;

use balsam_plan::Intent;
use balsam_plan::Refusal;
use balsam_plan::Refusals;
use balsam_state::HistoryEntry;
use balsam_types::InvalidValue;
use balsam_wire::DecodeError;
use balsam_wire::pb::operator::v1 as pb;
use balsam_wire::pb::operator::v1::intent::Intent as PbIntent;
use balsam_wire::record::offset_to_pb;
use balsam_wire::record::organisation_from_pb;
use balsam_wire::record::parse_name;
use balsam_wire::record::pool_from_pb;
use balsam_wire::record::route_from_pb;

/// Converts and checks an intent.
pub(super) fn intent_from_pb(raw: Option<pb::Intent>) -> Result<Intent, String> {
    let raw = raw.and_then(|raw| raw.intent).ok_or("the request has no intent")?;
    convert(raw).map_err(|error| error.to_string())
}

fn convert(raw: PbIntent) -> Result<Intent, DecodeError> {
    Ok(match raw {
        PbIntent::OnboardOrganisation(raw) => Intent::Onboard(organisation_from_pb(raw)?),
        PbIntent::OffboardOrganisation(raw) => Intent::Offboard(parse_intent_name(raw)?),
        PbIntent::RollVersion(raw) => {
            Intent::Roll { pool: parse_intent_name(raw.pool)?, version: Arc::from(raw.version) }
        }
        PbIntent::DrainDataCentre(raw) => {
            Intent::Drain { data_centre: parse_intent_name(raw.data_centre)?, force: raw.force }
        }
        PbIntent::ReturnDataCentre(raw) => Intent::Return(parse_intent_name(raw)?),
        PbIntent::RetireGroup(raw) => {
            Intent::RetireGroup { group: parse_intent_name(raw.group)?, force: raw.force }
        }
        PbIntent::ResizePool(raw) => Intent::Resize {
            pool: parse_intent_name(raw.pool)?,
            target_groups: raw.target_groups,
            force: raw.force,
        },
        PbIntent::MoveRoute(raw) => Intent::MoveRoute {
            route: parse_intent_name(raw.route)?,
            to: parse_intent_name(raw.to_pool)?,
        },
        PbIntent::PutPool(raw) => Intent::PutPool(pool_from_pb(raw)?),
        PbIntent::PutRoute(raw) => Intent::PutRoute(route_from_pb(raw)?),
    })
}

fn parse_intent_name<N: TryFrom<String, Error = InvalidValue>>(
    raw: String,
) -> Result<N, DecodeError> {
    parse_name(raw, "Intent")
}

/// Converts an entry of the audit trail.
pub(super) fn history_to_pb(entry: &HistoryEntry) -> pb::HistoryEntry {
    // The summary ends with the author and the reason, which have fields of their own.
    let author_and_reason = format!(" by {}: {}", entry.author, entry.reason);
    let what = entry.summary.strip_suffix(&author_and_reason).unwrap_or(&entry.summary);
    pb::HistoryEntry {
        offset: Some(offset_to_pb(entry.offset)),
        at_ms: entry.appended_at_ms,
        who: entry.author.to_string(),
        what: what.to_owned(),
        why: entry.reason.to_string(),
        result: entry.rejection.as_deref().unwrap_or("accepted").to_owned(),
    }
}

/// Converts the refusals of an intent, each with its remedy.
pub(super) fn refusals_to_pb(refusals: &Refusals) -> pb::MakePlanResponse {
    let lines = refusals.reasons.iter().map(|refusal| {
        let text = refusal.to_string();
        match text.split_once("; ") {
            Some((reason, remedy)) => (reason.to_owned(), remedy.to_owned()),
            None => (text, remedy(refusal).to_owned()),
        }
    });
    let (refusals, remedies) = lines.unzip();
    pb::MakePlanResponse { plan: None, refusals, remedies }
}

/// Returns the remedy for refusals whose text does not contain one.
fn remedy(refusal: &Refusal) -> &'static str {
    match refusal {
        Refusal::Unknown { .. } => "see `balsamctl status` for the names that exist",
        Refusal::Invalid { .. } => "correct the value and plan again",
        Refusal::NoModel { .. } => "name a pool of kind model",
        Refusal::NotDrained { .. } => {
            "see `balsamctl status` for the data centres that are drained"
        }
        _ => "see `balsamctl status`",
    }
}

/// Builds the answer for a proposed plan that was rejected when its record was folded.
pub(super) fn rejected_plan(reason: String) -> pb::MakePlanResponse {
    let remedies = vec!["the state changed while the plan was made; plan again".to_owned()];
    pb::MakePlanResponse { plan: None, refusals: vec![reason], remedies }
}
