//! The records that entry nodes and operators append to the platform's log.
//!
//! Every shared decision is a record, and every node folds the records in offset order. See
//! `docs/design.md`, section 7, for the rules by which records are accepted.

use std::fmt;
use std::sync::Arc;

use crate::claim::ClaimKey;
use crate::claim::RequestHash;
use crate::claim::StoredResponse;
use crate::config::OrganisationSpec;
use crate::config::PoolSpec;
use crate::config::RouteSpec;
use crate::group::GroupSpec;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::id::RecordId;
use crate::name::DataCentreName;
use crate::name::GroupName;
use crate::name::OperatorName;
use crate::name::OrganisationName;
use crate::name::PlanName;
use crate::name::PoolName;
use crate::name::RouteName;

/// Who wrote a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Author {
    /// A person or script with an operator token.
    Operator(OperatorName),
    /// An entry node acting on its own.
    Node(Incarnation),
}

impl fmt::Display for Author {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Operator(name) => write!(f, "operator {name}"),
            Self::Node(incarnation) => write!(f, "node {incarnation}"),
        }
    }
}

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Identifies the record across repeated appends.
    pub record_id: RecordId,
    /// Who wrote the record.
    pub author: Author,
    /// When the record was written, by the author's clock; informational, never used for ordering.
    pub at_ms: u64,
    /// Why the record was written; shown in the audit trail.
    pub reason: Arc<str>,
    /// The expected offset of the last accepted change of the record's object.
    ///
    /// `None` accepts any earlier changes; [`Offset::default`] requires that the object does not
    /// exist.
    pub expect_offset: Option<Offset>,
    /// The change the record makes.
    pub kind: RecordKind,
}

/// One step of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanStep {
    /// A human-readable description of the step.
    pub summary: Arc<str>,
    /// The records that the step appends once the plan is confirmed.
    pub changes: Vec<RecordKind>,
    /// Number of serving groups per pool once the step is done.
    pub capacity_left: Vec<(PoolName, u32)>,
}

/// A plan as recorded in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanSpec {
    /// The plan's name.
    pub plan: PlanName,
    /// The operator's intent, as printed by the command line.
    pub intent: Arc<str>,
    /// The offset of the state from which the plan was computed.
    pub based_on: Offset,
    /// The objects that must not change before the confirmation; it fails otherwise.
    pub depends_on: Vec<ObjectRef>,
    /// The steps in order.
    pub steps: Vec<PlanStep>,
    /// The effects that organisations will notice, one line each.
    pub notices: Vec<Arc<str>>,
}

/// An object of the replicated state, as referenced by preconditions and the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectRef {
    /// An organisation.
    Organisation(OrganisationName),
    /// A pool.
    Pool(PoolName),
    /// A route.
    Route(RouteName),
    /// A group.
    Group(GroupName),
    /// The cold-start owner of a group.
    Owner(GroupName),
    /// The drain of a data centre.
    DataCentre(DataCentreName),
    /// A plan.
    Plan(PlanName),
    /// An idempotency key.
    Claim(ClaimKey),
}

impl fmt::Display for ObjectRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Organisation(name) => write!(f, "organisation {name}"),
            Self::Pool(name) => write!(f, "pool {name}"),
            Self::Route(name) => write!(f, "route {name}"),
            Self::Group(name) => write!(f, "group {name}"),
            Self::Owner(name) => write!(f, "owner of group {name}"),
            Self::DataCentre(name) => write!(f, "data centre {name}"),
            Self::Plan(name) => write!(f, "plan {name}"),
            Self::Claim(key) => {
                f.write_str("claim ")?;
                key.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
            }
        }
    }
}

/// What a record changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordKind {
    /// Adds or replaces an organisation.
    PutOrganisation(OrganisationSpec),
    /// Removes an organisation.
    RemoveOrganisation(OrganisationName),
    /// Adds or replaces a pool.
    PutPool(PoolSpec),
    /// Removes a pool; refused while it has groups or routes.
    RemovePool(PoolName),
    /// Adds or replaces a route; refused if its pool is unknown.
    PutRoute(RouteSpec),
    /// Removes a route.
    RemoveRoute(RouteName),
    /// Drains a data centre: it receives no new work.
    DrainDataCentre(DataCentreName),
    /// Ends the drain of a data centre.
    ReturnDataCentre(DataCentreName),
    /// Forms a group; refused if any member is in another group.
    FormGroup(GroupSpec),
    /// Dissolves a group.
    RetireGroup(GroupName),
    /// Makes an entry node the owner of a group's cold-start permits.
    AssignOwner {
        /// The group.
        group: GroupName,
        /// The owner.
        node: Incarnation,
    },
    /// Records a plan that awaits confirmation.
    ProposePlan(PlanSpec),
    /// Confirms a plan; refused after a conflicting change.
    ConfirmPlan(PlanName),
    /// Ends a plan; steps already done are not undone.
    AbortPlan(PlanName),
    /// Records a step of a confirmed plan as done, together with its changes.
    StepDone {
        /// The plan.
        plan: PlanName,
        /// The index of the step, from zero.
        step: u32,
    },
    /// Claims the right to run a keyed request.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The hash of the request.
        request_hash: RequestHash,
        /// The pool that serves the request; repeats use the same pool when a service is migrated.
        pool: PoolName,
        /// The only process that may dispatch the request.
        node: Incarnation,
    },
    /// Releases a claim because the request definitely did not run.
    Release {
        /// The key.
        key: ClaimKey,
        /// The process that held the claim.
        node: Incarnation,
    },
    /// Completes a claim with the response that the caller received.
    Complete {
        /// The key.
        key: ClaimKey,
        /// The process that held the claim.
        node: Incarnation,
        /// The response returned to repeats.
        response: StoredResponse,
    },
    /// A snapshot of the whole replicated state at an offset, in the encoding of `wire`.
    Snapshot {
        /// The last offset folded into the state.
        as_of: Offset,
        /// The encoded state.
        state: Arc<[u8]>,
    },
}

impl RecordKind {
    /// Returns the object that the record changes, or `None` for a snapshot.
    pub fn object(&self) -> Option<ObjectRef> {
        Some(match self {
            Self::PutOrganisation(spec) => ObjectRef::Organisation(spec.organisation.clone()),
            Self::RemoveOrganisation(name) => ObjectRef::Organisation(name.clone()),
            Self::PutPool(spec) => ObjectRef::Pool(spec.pool.clone()),
            Self::RemovePool(name) => ObjectRef::Pool(name.clone()),
            Self::PutRoute(spec) => ObjectRef::Route(spec.route.clone()),
            Self::RemoveRoute(name) => ObjectRef::Route(name.clone()),
            Self::DrainDataCentre(name) => ObjectRef::DataCentre(name.clone()),
            Self::ReturnDataCentre(name) => ObjectRef::DataCentre(name.clone()),
            Self::FormGroup(spec) => ObjectRef::Group(spec.group.clone()),
            Self::RetireGroup(name) => ObjectRef::Group(name.clone()),
            Self::AssignOwner { group, .. } => ObjectRef::Owner(group.clone()),
            Self::ProposePlan(spec) => ObjectRef::Plan(spec.plan.clone()),
            Self::ConfirmPlan(name) => ObjectRef::Plan(name.clone()),
            Self::AbortPlan(name) => ObjectRef::Plan(name.clone()),
            Self::StepDone { plan, .. } => ObjectRef::Plan(plan.clone()),
            Self::Claim { key, .. } => ObjectRef::Claim(*key),
            Self::Release { key, .. } => ObjectRef::Claim(*key),
            Self::Complete { key, .. } => ObjectRef::Claim(*key),
            Self::Snapshot { .. } => return None,
        })
    }

    /// Returns a short, stable name for metrics, the audit trail and error messages.
    pub const fn label(&self) -> &'static str {
        match self {
            Self::PutOrganisation(_) => "put_organisation",
            Self::RemoveOrganisation(_) => "remove_organisation",
            Self::PutPool(_) => "put_pool",
            Self::RemovePool(_) => "remove_pool",
            Self::PutRoute(_) => "put_route",
            Self::RemoveRoute(_) => "remove_route",
            Self::DrainDataCentre(_) => "drain_data_centre",
            Self::ReturnDataCentre(_) => "return_data_centre",
            Self::FormGroup(_) => "form_group",
            Self::RetireGroup(_) => "retire_group",
            Self::AssignOwner { .. } => "assign_owner",
            Self::ProposePlan(_) => "propose_plan",
            Self::ConfirmPlan(_) => "confirm_plan",
            Self::AbortPlan(_) => "abort_plan",
            Self::StepDone { .. } => "step_done",
            Self::Claim { .. } => "claim",
            Self::Release { .. } => "release",
            Self::Complete { .. } => "complete",
            Self::Snapshot { .. } => "snapshot",
        }
    }
}
