//! Conversions between log records and protobuf.

use std::sync::Arc;

use balsam_types::Author;
use balsam_types::ClaimKey;
use balsam_types::GroupSpec;
use balsam_types::Incarnation;
use balsam_types::InvalidValue;
use balsam_types::Offset;
use balsam_types::OrganisationSpec;
use balsam_types::PoolKind;
use balsam_types::PoolSpec;
use balsam_types::Record;
use balsam_types::RecordId;
use balsam_types::RecordKind;
use balsam_types::RouteMatch;
use balsam_types::RouteSpec;
use balsam_types::StoredResponse;
use balsam_types::claim::RequestHash;
use balsam_types::record::ObjectRef;
use balsam_types::record::PlanSpec;
use balsam_types::record::PlanStep;
use prost::Message;
use snafu::OptionExt;
use snafu::ResultExt;

use crate::error::DecodeError;
use crate::error::InvalidSnafu;
use crate::error::MalformedSnafu;
use crate::error::MissingSnafu;
use crate::pb::record::v1 as pb;
use crate::pb::record::v1::author::Author as PbAuthor;
use crate::pb::record::v1::change::Change as PbChange;
use crate::pb::record::v1::object_ref::Object as PbObject;
use crate::pb::record::v1::route::Matches as PbMatches;

/// Encodes the payload of one append.
pub fn encode_batch(records: &[Record]) -> Vec<u8> {
    pb::Batch { records: records.iter().map(record_to_pb).collect() }.encode_to_vec()
}

/// Decodes the payload of one append.
///
/// A record that cannot be decoded makes the whole batch fail, because skipping it would change the
/// index, and therefore the offset, of the records after it.
pub fn decode_batch(payload: &[u8]) -> Result<Vec<Record>, DecodeError> {
    let batch = pb::Batch::decode(payload).context(MalformedSnafu { message: "Batch" })?;
    batch.records.into_iter().map(record_from_pb).collect()
}

/// Converts an offset to protobuf.
pub fn offset_to_pb(offset: Offset) -> pb::Offset {
    pb::Offset { append: offset.append, index: offset.index }
}

/// Converts an offset from protobuf.
pub fn offset_from_pb(offset: &pb::Offset) -> Offset {
    Offset::new(offset.append, offset.index)
}

/// Converts an incarnation to protobuf.
pub fn incarnation_to_pb(incarnation: &Incarnation) -> pb::Incarnation {
    pb::Incarnation {
        vm: incarnation.vm.to_string(),
        start_ms: incarnation.start_ms,
        nonce: incarnation.nonce,
    }
}

/// Converts an incarnation from protobuf.
pub fn incarnation_from_pb(raw: pb::Incarnation) -> Result<Incarnation, DecodeError> {
    let vm = parse_name(raw.vm, "Incarnation")?;
    Ok(Incarnation { vm, start_ms: raw.start_ms, nonce: raw.nonce })
}

/// Converts a record to protobuf.
pub fn record_to_pb(record: &Record) -> pb::Record {
    let author = match &record.author {
        Author::Operator(operator) => PbAuthor::Operator(operator.to_string()),
        Author::Node(node) => PbAuthor::Node(incarnation_to_pb(node)),
    };
    pb::Record {
        record_id: record.record_id.0.to_be_bytes().to_vec(),
        author: Some(pb::Author { author: Some(author) }),
        at_ms: record.at_ms,
        reason: record.reason.to_string(),
        expect_offset: record.expect_offset.map(offset_to_pb),
        change: Some(kind_to_pb(&record.kind)),
    }
}

/// Converts a record from protobuf.
pub fn record_from_pb(raw: pb::Record) -> Result<Record, DecodeError> {
    const MESSAGE: &str = "Record";
    let author = raw.author.and_then(|author| author.author);
    let author = match author.context(MissingSnafu { message: MESSAGE, field: "author" })? {
        PbAuthor::Operator(operator) => Author::Operator(parse_name(operator, MESSAGE)?),
        PbAuthor::Node(node) => Author::Node(incarnation_from_pb(node)?),
    };
    let change = raw.change.context(MissingSnafu { message: MESSAGE, field: "change" })?;
    Ok(Record {
        record_id: RecordId(u128::from_be_bytes(bytes16(&raw.record_id, MESSAGE, "record_id")?)),
        author,
        at_ms: raw.at_ms,
        reason: Arc::from(raw.reason),
        expect_offset: raw.expect_offset.as_ref().map(offset_from_pb),
        kind: kind_from_pb(change)?,
    })
}

/// Converts a change to protobuf.
pub fn kind_to_pb(kind: &RecordKind) -> pb::Change {
    let change = match kind {
        RecordKind::PutOrganisation(spec) => PbChange::PutOrganisation(organisation_to_pb(spec)),
        RecordKind::RemoveOrganisation(name) => PbChange::RemoveOrganisation(name.to_string()),
        RecordKind::PutPool(spec) => PbChange::PutPool(pool_to_pb(spec)),
        RecordKind::RemovePool(name) => PbChange::RemovePool(name.to_string()),
        RecordKind::PutRoute(spec) => PbChange::PutRoute(route_to_pb(spec)),
        RecordKind::RemoveRoute(name) => PbChange::RemoveRoute(name.to_string()),
        RecordKind::DrainDataCentre(name) => PbChange::DrainDataCentre(name.to_string()),
        RecordKind::ReturnDataCentre(name) => PbChange::ReturnDataCentre(name.to_string()),
        RecordKind::FormGroup(spec) => PbChange::FormGroup(group_to_pb(spec)),
        RecordKind::RetireGroup(name) => PbChange::RetireGroup(name.to_string()),
        RecordKind::AssignOwner { group, node } => PbChange::AssignOwner(pb::AssignOwner {
            group: group.to_string(),
            node: Some(incarnation_to_pb(node)),
        }),
        RecordKind::ProposePlan(spec) => PbChange::ProposePlan(plan_to_pb(spec)),
        RecordKind::ConfirmPlan(name) => PbChange::ConfirmPlan(name.to_string()),
        RecordKind::AbortPlan(name) => PbChange::AbortPlan(name.to_string()),
        RecordKind::StepDone { plan, step } => {
            PbChange::StepDone(pb::StepDone { plan: plan.to_string(), step: *step })
        }
        RecordKind::Claim { key, request_hash, pool, node } => PbChange::Claim(pb::Claim {
            key: key.0.to_vec(),
            request_hash: request_hash.0.to_vec(),
            pool: pool.to_string(),
            node: Some(incarnation_to_pb(node)),
        }),
        RecordKind::Release { key, node } => PbChange::Release(pb::Release {
            key: key.0.to_vec(),
            node: Some(incarnation_to_pb(node)),
        }),
        RecordKind::Complete { key, node, response } => PbChange::Complete(pb::Complete {
            key: key.0.to_vec(),
            node: Some(incarnation_to_pb(node)),
            status: response.status.into(),
            content_type: response.content_type.to_string(),
            body: response.body.as_ref().map(|body| body.to_vec()),
        }),
        RecordKind::Snapshot { as_of, state } => PbChange::Snapshot(pb::Snapshot {
            as_of: Some(offset_to_pb(*as_of)),
            state: state.to_vec(),
        }),
    };
    pb::Change { change: Some(change) }
}

/// Converts a change from protobuf.
pub fn kind_from_pb(raw: pb::Change) -> Result<RecordKind, DecodeError> {
    const MESSAGE: &str = "Change";
    let change = raw.change.context(MissingSnafu { message: MESSAGE, field: "change" })?;
    Ok(match change {
        PbChange::PutOrganisation(raw) => RecordKind::PutOrganisation(organisation_from_pb(raw)?),
        PbChange::RemoveOrganisation(raw) => {
            RecordKind::RemoveOrganisation(parse_name(raw, MESSAGE)?)
        }
        PbChange::PutPool(raw) => RecordKind::PutPool(pool_from_pb(raw)?),
        PbChange::RemovePool(raw) => RecordKind::RemovePool(parse_name(raw, MESSAGE)?),
        PbChange::PutRoute(raw) => RecordKind::PutRoute(route_from_pb(raw)?),
        PbChange::RemoveRoute(raw) => RecordKind::RemoveRoute(parse_name(raw, MESSAGE)?),
        PbChange::DrainDataCentre(raw) => RecordKind::DrainDataCentre(parse_name(raw, MESSAGE)?),
        PbChange::ReturnDataCentre(raw) => RecordKind::ReturnDataCentre(parse_name(raw, MESSAGE)?),
        PbChange::FormGroup(raw) => RecordKind::FormGroup(group_from_pb(raw)?),
        PbChange::RetireGroup(raw) => RecordKind::RetireGroup(parse_name(raw, MESSAGE)?),
        PbChange::AssignOwner(raw) => RecordKind::AssignOwner {
            group: parse_name(raw.group, MESSAGE)?,
            node: node(raw.node, "AssignOwner")?,
        },
        PbChange::ProposePlan(raw) => RecordKind::ProposePlan(plan_from_pb(raw)?),
        PbChange::ConfirmPlan(raw) => RecordKind::ConfirmPlan(parse_name(raw, MESSAGE)?),
        PbChange::AbortPlan(raw) => RecordKind::AbortPlan(parse_name(raw, MESSAGE)?),
        PbChange::StepDone(raw) => {
            RecordKind::StepDone { plan: parse_name(raw.plan, MESSAGE)?, step: raw.step }
        }
        PbChange::Claim(raw) => claim_from_pb(raw)?,
        PbChange::Release(raw) => RecordKind::Release {
            key: ClaimKey(bytes16(&raw.key, "Release", "key")?),
            node: node(raw.node, "Release")?,
        },
        PbChange::Complete(raw) => complete_from_pb(raw)?,
        PbChange::Snapshot(raw) => {
            let as_of = raw.as_of.context(MissingSnafu { message: "Snapshot", field: "as_of" })?;
            RecordKind::Snapshot { as_of: offset_from_pb(&as_of), state: Arc::from(raw.state) }
        }
    })
}

fn claim_from_pb(raw: pb::Claim) -> Result<RecordKind, DecodeError> {
    Ok(RecordKind::Claim {
        key: ClaimKey(bytes16(&raw.key, "Claim", "key")?),
        request_hash: RequestHash(bytes16(&raw.request_hash, "Claim", "request_hash")?),
        pool: parse_name(raw.pool, "Claim")?,
        node: node(raw.node, "Claim")?,
    })
}

fn complete_from_pb(raw: pb::Complete) -> Result<RecordKind, DecodeError> {
    const MESSAGE: &str = "Complete";
    let status = u16::try_from(raw.status).ok().filter(|status| (100..1000).contains(status));
    Ok(RecordKind::Complete {
        key: ClaimKey(bytes16(&raw.key, MESSAGE, "key")?),
        node: node(raw.node, MESSAGE)?,
        response: StoredResponse {
            status: status.context(MissingSnafu { message: MESSAGE, field: "status" })?,
            content_type: Arc::from(raw.content_type),
            body: raw.body.map(Arc::from),
        },
    })
}

/// Converts an organisation to protobuf.
pub fn organisation_to_pb(spec: &OrganisationSpec) -> pb::Organisation {
    pb::Organisation {
        organisation: spec.organisation.to_string(),
        token_sha256: spec.token_sha256.to_string(),
        weight: spec.weight,
        limit_per_s: spec.limit_per_s,
        limit_in_flight: spec.limit_in_flight,
    }
}

/// Converts an organisation from protobuf and validates it.
pub fn organisation_from_pb(raw: pb::Organisation) -> Result<OrganisationSpec, DecodeError> {
    const MESSAGE: &str = "Organisation";
    let spec = OrganisationSpec {
        organisation: parse_name(raw.organisation, MESSAGE)?,
        token_sha256: Arc::from(raw.token_sha256),
        weight: raw.weight,
        limit_per_s: raw.limit_per_s,
        limit_in_flight: raw.limit_in_flight,
    };
    spec.check().context(InvalidSnafu { message: MESSAGE })
}

/// Converts a pool to protobuf.
pub fn pool_to_pb(spec: &PoolSpec) -> pb::Pool {
    let kind = match spec.kind {
        PoolKind::Model => pb::PoolKind::Model,
        PoolKind::Plain => pb::PoolKind::Plain,
    };
    pb::Pool {
        pool: spec.pool.to_string(),
        kind: kind.into(),
        model: spec.model.to_string(),
        version: spec.version.to_string(),
        group_vms: spec.group_vms,
        target_groups: spec.target_groups,
        limit: spec.limit,
        cold_limit: spec.cold_limit,
        checks_fence: spec.checks_fence,
        not_run_statuses: spec.not_run_statuses.iter().copied().map(u32::from).collect(),
        weight_bytes: spec.weight_bytes,
    }
}

/// Converts a pool from protobuf and validates it.
pub fn pool_from_pb(raw: pb::Pool) -> Result<PoolSpec, DecodeError> {
    const MESSAGE: &str = "Pool";
    let kind = match raw.kind() {
        pb::PoolKind::Model => PoolKind::Model,
        pb::PoolKind::Plain => PoolKind::Plain,
        pb::PoolKind::Unspecified => {
            return MissingSnafu { message: MESSAGE, field: "kind" }.fail();
        }
    };
    let statuses: Result<Vec<u16>, _> =
        raw.not_run_statuses.iter().map(|s| (*s).try_into()).collect();
    let spec = PoolSpec {
        pool: parse_name(raw.pool, MESSAGE)?,
        kind,
        model: Arc::from(raw.model),
        version: Arc::from(raw.version),
        group_vms: raw.group_vms,
        target_groups: raw.target_groups,
        limit: raw.limit,
        cold_limit: raw.cold_limit,
        checks_fence: raw.checks_fence,
        not_run_statuses: statuses
            .ok()
            .context(MissingSnafu { message: MESSAGE, field: "not_run_statuses" })?,
        weight_bytes: raw.weight_bytes,
    };
    spec.check().context(InvalidSnafu { message: MESSAGE })
}

/// Converts a route to protobuf.
pub fn route_to_pb(spec: &RouteSpec) -> pb::Route {
    let matches = match &spec.matches {
        RouteMatch::PathPrefix(prefix) => PbMatches::PathPrefix(prefix.to_string()),
        RouteMatch::Model(model) => PbMatches::Model(model.to_string()),
    };
    pb::Route {
        route: spec.route.to_string(),
        matches: Some(matches),
        pool: spec.pool.to_string(),
        compare_pool: spec.compare_pool.as_ref().map(ToString::to_string).unwrap_or_default(),
        idempotent: spec.idempotent,
        deadline_ms: spec.deadline_ms,
    }
}

/// Converts a route from protobuf and validates it.
pub fn route_from_pb(raw: pb::Route) -> Result<RouteSpec, DecodeError> {
    const MESSAGE: &str = "Route";
    let matches = match raw.matches.context(MissingSnafu { message: MESSAGE, field: "matches" })? {
        PbMatches::PathPrefix(prefix) => RouteMatch::PathPrefix(Arc::from(prefix)),
        PbMatches::Model(model) => RouteMatch::Model(Arc::from(model)),
    };
    let comparison_pool = Some(raw.compare_pool).filter(|pool| !pool.is_empty());
    let spec = RouteSpec {
        route: parse_name(raw.route, MESSAGE)?,
        matches,
        pool: parse_name(raw.pool, MESSAGE)?,
        compare_pool: comparison_pool.map(|pool| parse_name(pool, MESSAGE)).transpose()?,
        idempotent: raw.idempotent,
        deadline_ms: raw.deadline_ms,
    };
    spec.check().context(InvalidSnafu { message: MESSAGE })
}

fn group_to_pb(spec: &GroupSpec) -> pb::Group {
    pb::Group {
        group: spec.group.to_string(),
        pool: spec.pool.to_string(),
        data_centre: spec.data_centre.to_string(),
        fabric_domain: spec.fabric_domain.to_string(),
        members: spec.members.iter().map(ToString::to_string).collect(),
        version: spec.version.to_string(),
    }
}

fn group_from_pb(raw: pb::Group) -> Result<GroupSpec, DecodeError> {
    const MESSAGE: &str = "Group";
    let members: Result<Vec<_>, _> =
        raw.members.into_iter().map(|member| parse_name(member, MESSAGE)).collect();
    let spec = GroupSpec {
        group: parse_name(raw.group, MESSAGE)?,
        pool: parse_name(raw.pool, MESSAGE)?,
        data_centre: parse_name(raw.data_centre, MESSAGE)?,
        fabric_domain: parse_name(raw.fabric_domain, MESSAGE)?,
        members: members?,
        version: Arc::from(raw.version),
    };
    spec.check().context(InvalidSnafu { message: MESSAGE })
}

/// Converts a plan to protobuf.
pub fn plan_to_pb(spec: &PlanSpec) -> pb::Plan {
    pb::Plan {
        plan: spec.plan.to_string(),
        intent: spec.intent.to_string(),
        based_on: Some(offset_to_pb(spec.based_on)),
        depends_on: spec.depends_on.iter().map(object_to_pb).collect(),
        steps: spec.steps.iter().map(step_to_pb).collect(),
        notices: spec.notices.iter().map(ToString::to_string).collect(),
    }
}

/// Converts a plan from protobuf.
pub fn plan_from_pb(raw: pb::Plan) -> Result<PlanSpec, DecodeError> {
    const MESSAGE: &str = "Plan";
    let based_on = raw.based_on.context(MissingSnafu { message: MESSAGE, field: "based_on" })?;
    let depends_on: Result<Vec<_>, _> = raw.depends_on.into_iter().map(object_from_pb).collect();
    let steps: Result<Vec<_>, _> = raw.steps.into_iter().map(step_from_pb).collect();
    Ok(PlanSpec {
        plan: parse_name(raw.plan, MESSAGE)?,
        intent: Arc::from(raw.intent),
        based_on: offset_from_pb(&based_on),
        depends_on: depends_on?,
        steps: steps?,
        notices: raw.notices.into_iter().map(Arc::from).collect(),
    })
}

fn step_to_pb(step: &PlanStep) -> pb::PlanStep {
    let capacity = step.capacity_left.iter();
    pb::PlanStep {
        summary: step.summary.to_string(),
        changes: step.changes.iter().map(kind_to_pb).collect(),
        capacity_left: capacity
            .map(|(pool, groups)| pb::PoolCapacity { pool: pool.to_string(), groups: *groups })
            .collect(),
    }
}

fn step_from_pb(raw: pb::PlanStep) -> Result<PlanStep, DecodeError> {
    let changes: Result<Vec<_>, _> = raw.changes.into_iter().map(kind_from_pb).collect();
    let capacity: Result<Vec<_>, DecodeError> = raw
        .capacity_left
        .into_iter()
        .map(|capacity| Ok((parse_name(capacity.pool, "PlanStep")?, capacity.groups)))
        .collect();
    Ok(PlanStep { summary: Arc::from(raw.summary), changes: changes?, capacity_left: capacity? })
}

/// Converts an object reference to protobuf.
pub fn object_to_pb(object: &ObjectRef) -> pb::ObjectRef {
    let object = match object {
        ObjectRef::Organisation(name) => PbObject::Organisation(name.to_string()),
        ObjectRef::Pool(name) => PbObject::Pool(name.to_string()),
        ObjectRef::Route(name) => PbObject::Route(name.to_string()),
        ObjectRef::Group(name) => PbObject::Group(name.to_string()),
        ObjectRef::Owner(name) => PbObject::Owner(name.to_string()),
        ObjectRef::DataCentre(name) => PbObject::DataCentre(name.to_string()),
        ObjectRef::Plan(name) => PbObject::Plan(name.to_string()),
        ObjectRef::Claim(key) => PbObject::Claim(key.0.to_vec()),
    };
    pb::ObjectRef { object: Some(object) }
}

/// Converts an object reference from protobuf.
pub fn object_from_pb(raw: pb::ObjectRef) -> Result<ObjectRef, DecodeError> {
    const MESSAGE: &str = "ObjectRef";
    let object = raw.object.context(MissingSnafu { message: MESSAGE, field: "object" })?;
    Ok(match object {
        PbObject::Organisation(raw) => ObjectRef::Organisation(parse_name(raw, MESSAGE)?),
        PbObject::Pool(raw) => ObjectRef::Pool(parse_name(raw, MESSAGE)?),
        PbObject::Route(raw) => ObjectRef::Route(parse_name(raw, MESSAGE)?),
        PbObject::Group(raw) => ObjectRef::Group(parse_name(raw, MESSAGE)?),
        PbObject::Owner(raw) => ObjectRef::Owner(parse_name(raw, MESSAGE)?),
        PbObject::DataCentre(raw) => ObjectRef::DataCentre(parse_name(raw, MESSAGE)?),
        PbObject::Plan(raw) => ObjectRef::Plan(parse_name(raw, MESSAGE)?),
        PbObject::Claim(raw) => ObjectRef::Claim(ClaimKey(bytes16(&raw, MESSAGE, "claim")?)),
    })
}

fn node(raw: Option<pb::Incarnation>, message: &'static str) -> Result<Incarnation, DecodeError> {
    incarnation_from_pb(raw.context(MissingSnafu { message, field: "node" })?)
}

/// Validates a name from a message.
pub fn parse_name<N>(raw: String, message: &'static str) -> Result<N, DecodeError>
where
    N: TryFrom<String, Error = InvalidValue>,
{
    N::try_from(raw).context(InvalidSnafu { message })
}

fn bytes16(
    raw: &[u8],
    message: &'static str,
    field: &'static str,
) -> Result<[u8; 16], DecodeError> {
    raw.try_into().ok().context(MissingSnafu { message, field })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(kind: RecordKind) -> Record {
        Record {
            record_id: RecordId(7),
            author: Author::Operator("eva".try_into().unwrap()),
            at_ms: 1_000,
            reason: Arc::from("test"),
            expect_offset: Some(Offset::new(3, 1)),
            kind,
        }
    }

    fn incarnation() -> Incarnation {
        Incarnation { vm: "entry-1".try_into().unwrap(), start_ms: 5, nonce: 9 }
    }

    fn sample_records() -> Vec<Record> {
        let key = ClaimKey([1; 16]);
        let pool: balsam_types::PoolName = "balsam-pool".try_into().unwrap();
        let group = GroupSpec {
            group: "g1".try_into().unwrap(),
            pool: pool.clone(),
            data_centre: "hu-east-a".try_into().unwrap(),
            fabric_domain: "rack-1".try_into().unwrap(),
            members: vec!["vm-1".try_into().unwrap(), "vm-2".try_into().unwrap()],
            version: "v1".into(),
        };
        let response =
            StoredResponse { status: 201, content_type: "text/plain".into(), body: None };
        let claim = RecordKind::Claim {
            key,
            request_hash: RequestHash([2; 16]),
            pool: pool.clone(),
            node: incarnation(),
        };
        let plan = PlanSpec {
            plan: "p1".try_into().unwrap(),
            intent: "retire g1".into(),
            based_on: Offset::new(2, 0),
            depends_on: vec![ObjectRef::Group(group.group.clone()), ObjectRef::Claim(key)],
            steps: vec![PlanStep {
                summary: "retire".into(),
                changes: vec![RecordKind::RetireGroup(group.group.clone())],
                capacity_left: vec![(pool, 3)],
            }],
            notices: vec!["none".into()],
        };
        let kinds = vec![
            RecordKind::FormGroup(group),
            claim,
            RecordKind::Complete { key, node: incarnation(), response },
            RecordKind::ProposePlan(plan),
            RecordKind::Snapshot { as_of: Offset::new(9, 9), state: Arc::from([1_u8, 2]) },
        ];
        kinds.into_iter().map(record).collect()
    }

    /// Guards against fields that are lost or swapped by one of the two conversions.
    #[test]
    fn an_encoded_batch_decodes_to_the_same_records() {
        let records = sample_records();
        assert_eq!(decode_batch(&encode_batch(&records)).unwrap(), records);
    }

    /// Guards against a panic on a batch that was received incompletely.
    #[test]
    fn truncated_batches_are_rejected_without_a_panic() {
        let bytes = encode_batch(&sample_records());
        let accepted = (1..bytes.len()).filter(|len| decode_batch(&bytes[..*len]).is_ok());
        // Truncation between two records leaves a valid shorter batch; any other one must fail.
        assert!(accepted.count() < sample_records().len());
    }

    /// Guards against a conversion that skips the validation of the group.
    #[test]
    fn a_group_with_a_duplicate_member_is_rejected() {
        let raw = pb::Group {
            group: "g1".into(),
            pool: "p".into(),
            data_centre: "d".into(),
            fabric_domain: "f".into(),
            members: vec!["vm-1".into(), "vm-1".into()],
            version: "v1".into(),
        };
        assert!(group_from_pb(raw).unwrap_err().to_string().contains("distinct"));
    }
}
