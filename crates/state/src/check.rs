//! Validates changes against the invariants of the replicated state.

use balsam_types::GroupSpec;
use balsam_types::Offset;
use balsam_types::OrganisationSpec;
use balsam_types::PoolName;
use balsam_types::PoolSpec;
use balsam_types::RecordKind;
use balsam_types::RouteSpec;
use balsam_types::record::ObjectRef;
use balsam_wire::record::kind_to_pb;
use prost::Message;
use snafu::ResultExt;
use snafu::ensure;

use crate::control::ControlState;
use crate::control::members_hash;
use crate::rejection::*;

/// Maximum encoded size of a change. A plan that replaces all 112 groups of 900 runners takes about
/// a tenth of it, and snapshot decoding rejects larger fields, see `snapshot::MAX_FIELD_BYTES`.
pub(crate) const MAX_CHANGE_BYTES: usize = 512 * 1024;

/// Checks the encoded size of a change.
pub(crate) fn encoded_size(kind: &RecordKind) -> Result<(), Rejection> {
    let bytes = kind_to_pb(kind).encoded_len();
    let max_bytes = MAX_CHANGE_BYTES;
    ensure!(bytes <= max_bytes, TooLargeSnafu { bytes, max_bytes });
    Ok(())
}

/// Checks a record's `expect_offset` against the last change of its object.
pub(crate) fn precondition(
    object: &ObjectRef,
    expect_offset: Option<Offset>,
    found: Option<Offset>,
) -> Result<(), Rejection> {
    let Some(expected) = expect_offset else { return Ok(()) };
    let object = || object.clone();
    let is_met = expected == found.unwrap_or_default();
    ensure!(is_met, OffsetMismatchSnafu { object: object(), expected, found });
    Ok(())
}

/// Whether a plan step may contain this record kind.
///
/// Nested plans would make the effect of a step depend on further records, and claims belong to
/// a single process.
pub(crate) fn is_allowed_in_plan(kind: &RecordKind) -> bool {
    match kind {
        RecordKind::PutOrganisation(_)
        | RecordKind::RemoveOrganisation(_)
        | RecordKind::PutPool(_)
        | RecordKind::RemovePool(_)
        | RecordKind::PutRoute(_)
        | RecordKind::RemoveRoute(_)
        | RecordKind::DrainDataCentre(_)
        | RecordKind::ReturnDataCentre(_)
        | RecordKind::FormGroup(_)
        | RecordKind::RetireGroup(_)
        | RecordKind::AssignOwner { .. } => true,
        RecordKind::ProposePlan(_)
        | RecordKind::ConfirmPlan(_)
        | RecordKind::AbortPlan(_)
        | RecordKind::StepDone { .. }
        | RecordKind::Claim { .. }
        | RecordKind::Release { .. }
        | RecordKind::Complete { .. }
        | RecordKind::Snapshot { .. } => false,
    }
}

/// Checks a change against the objects that it depends on.
pub(crate) fn change(control: &ControlState, kind: &RecordKind) -> Result<(), Rejection> {
    match kind {
        RecordKind::PutOrganisation(spec) => check_organisation(control, spec),
        RecordKind::PutPool(spec) => check_pool(control, spec),
        RecordKind::PutRoute(spec) => check_route(control, spec),
        RecordKind::FormGroup(spec) => check_group(control, spec),
        RecordKind::DrainDataCentre(name) => {
            check_absent(control, ObjectRef::DataCentre(name.clone()))
        }
        RecordKind::RemovePool(name) => {
            check_exists(control, ObjectRef::Pool(name.clone()))?;
            check_unused(control, name)
        }
        RecordKind::RemoveOrganisation(name) => {
            check_exists(control, ObjectRef::Organisation(name.clone()))
        }
        RecordKind::RemoveRoute(name) => check_exists(control, ObjectRef::Route(name.clone())),
        RecordKind::ReturnDataCentre(name) => {
            check_exists(control, ObjectRef::DataCentre(name.clone()))
        }
        RecordKind::RetireGroup(name) => check_exists(control, ObjectRef::Group(name.clone())),
        RecordKind::AssignOwner { group, .. } => {
            check_exists(control, ObjectRef::Group(group.clone()))
        }
        _ => Ok(()),
    }
}

fn check_exists(control: &ControlState, object: ObjectRef) -> Result<(), Rejection> {
    ensure!(control.existing(&object).is_some(), MissingSnafu { object });
    Ok(())
}

fn check_absent(control: &ControlState, object: ObjectRef) -> Result<(), Rejection> {
    let Some((offset, _)) = control.existing(&object) else { return Ok(()) };
    AlreadyExistsSnafu { object, offset }.fail()
}

fn check_organisation(control: &ControlState, spec: &OrganisationSpec) -> Result<(), Rejection> {
    spec.clone().check().context(InvalidSnafu)?;
    // Upper-case and lower-case hex digits encode the same token hash.
    let has_same_token = |other: &OrganisationSpec| {
        other.organisation != spec.organisation
            && other.token_sha256.eq_ignore_ascii_case(&spec.token_sha256)
    };
    let existing = control.organisations.values().find(|other| has_same_token(&other.value));
    let Some(existing) = existing else { return Ok(()) };
    TokenInUseSnafu { organisation: existing.value.organisation.clone() }.fail()
}

fn group_count(control: &ControlState, pool: &PoolName) -> usize {
    control.groups.values().filter(|group| group.value.pool == *pool).count()
}

fn check_pool(control: &ControlState, spec: &PoolSpec) -> Result<(), Rejection> {
    spec.clone().check().context(InvalidSnafu)?;
    let Some(old) = control.pools.get(&spec.pool) else { return Ok(()) };
    let group_vms = old.value.group_vms;
    if group_vms == spec.group_vms {
        return Ok(());
    }
    let groups = group_count(control, &spec.pool);
    let pool = &spec.pool;
    ensure!(groups == 0, GroupSizeInUseSnafu { pool: pool.clone(), groups, group_vms });
    Ok(())
}

fn check_unused(control: &ControlState, pool: &PoolName) -> Result<(), Rejection> {
    let groups = group_count(control, pool);
    let uses_pool = |r: &RouteSpec| r.pool == *pool || r.compare_pool.as_ref() == Some(pool);
    let routes = control.routes.values().filter(|route| uses_pool(&route.value)).count();
    let is_unused = groups == 0 && routes == 0;
    ensure!(is_unused, PoolInUseSnafu { pool: pool.clone(), groups, routes });
    Ok(())
}

fn check_pool_exists(control: &ControlState, pool: &PoolName) -> Result<(), Rejection> {
    ensure!(control.pools.contains_key(pool), UnknownPoolSnafu { pool: pool.clone() });
    Ok(())
}

fn check_route(control: &ControlState, spec: &RouteSpec) -> Result<(), Rejection> {
    spec.clone().check().context(InvalidSnafu)?;
    check_pool_exists(control, &spec.pool)?;
    if let Some(compare) = &spec.compare_pool {
        check_pool_exists(control, compare)?;
        ensure!(*compare != spec.pool, ComparesWithItselfSnafu { pool: compare.clone() });
    }
    let has_same_match =
        |other: &RouteSpec| other.route != spec.route && other.matches == spec.matches;
    let Some(other) = control.routes.values().find(|other| has_same_match(&other.value)) else {
        return Ok(());
    };
    MatchInUseSnafu { route: other.value.route.clone() }.fail()
}

fn check_group(control: &ControlState, spec: &GroupSpec) -> Result<(), Rejection> {
    spec.clone().check().context(InvalidSnafu)?;
    let object = ObjectRef::Group(spec.group.clone());
    check_absent(control, object.clone())?;
    check_pool_exists(control, &spec.pool)?;
    let expected = control.pools.get(&spec.pool).map_or(0, |pool| pool.value.group_vms);
    let found = spec.members.len();
    let pool = &spec.pool;
    let is_expected_count = expected as usize == found;
    ensure!(is_expected_count, MemberCountSnafu { pool: pool.clone(), expected, found });
    for vm in &spec.members {
        if let Some(group) = control.group_of.get(vm) {
            return MemberInGroupSnafu { vm: vm.clone(), group: group.clone() }.fail();
        }
    }
    if let Some(tombstone) = control.tombstone(&object)
        && tombstone.members != Some(members_hash(&spec.members))
    {
        let (group, offset) = (spec.group.clone(), tombstone.offset);
        return GroupNameReusedSnafu { group, offset }.fail();
    }
    Ok(())
}
