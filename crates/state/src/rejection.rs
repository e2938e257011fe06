//! The reasons for which the fold rejects a record.
//!
//! Their texts are stored in the audit trail, so they are part of snapshots and the state's digest.

use balsam_types::GroupName;
use balsam_types::Incarnation;
use balsam_types::InvalidValue;
use balsam_types::Offset;
use balsam_types::OrganisationName;
use balsam_types::PlanName;
use balsam_types::PoolName;
use balsam_types::RouteName;
use balsam_types::StoredResponse;
use balsam_types::VmName;
use balsam_types::record::ObjectRef;
use snafu::Snafu;

use crate::plans::Phase;

/// A change that happened after the state that a plan is based on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LaterChange {
    /// The object that the plan depends on.
    pub object: ObjectRef,
    /// The offset of the later change.
    pub offset: Offset,
    /// What the later change did, who made it and why.
    pub summary: String,
}

fn format_conflicts(changes: &[LaterChange]) -> String {
    let lines = changes.iter().map(|c| format!("{} at {} ({})", c.object, c.offset, c.summary));
    lines.collect::<Vec<_>>().join("; ")
}

fn format_found(offset: &Option<Offset>) -> String {
    offset.map_or_else(|| "it does not exist".to_owned(), |o| format!("it was changed at {o}"))
}

/// Why the fold rejected a record.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Rejection {
    /// The precondition `expect_offset` does not hold.
    #[snafu(display("{object}: expected the change at {expected}, but {}", format_found(found)))]
    OffsetMismatch {
        /// The object that the record concerns.
        object: ObjectRef,
        /// The offset that the author expected.
        expected: Offset,
        /// The last change, or `None` if the object does not exist.
        found: Option<Offset>,
    },
    /// The object does not exist.
    #[snafu(display("{object} does not exist"))]
    Missing {
        /// The object that the record concerns.
        object: ObjectRef,
    },
    /// The object exists already and cannot be replaced.
    #[snafu(display("{object} exists since {offset}"))]
    AlreadyExists {
        /// The object that the record concerns.
        object: ObjectRef,
        /// Its last change.
        offset: Offset,
    },
    /// A value is not valid for its type.
    #[snafu(display("{source}"))]
    Invalid {
        /// The invalid value.
        source: InvalidValue,
    },
    /// Another organisation has the same token hash.
    #[snafu(display("the token belongs to organisation {organisation}"))]
    TokenInUse {
        /// The organisation that uses the token.
        organisation: OrganisationName,
    },
    /// The record refers to a pool that does not exist.
    #[snafu(display("pool {pool} does not exist"))]
    UnknownPool {
        /// The pool.
        pool: PoolName,
    },
    /// The pool still has groups or routes.
    #[snafu(display("pool {pool} still has {groups} groups and {routes} routes"))]
    PoolInUse {
        /// The pool.
        pool: PoolName,
        /// The number of its groups.
        groups: usize,
        /// The number of routes that serve from it or compare with it.
        routes: usize,
    },
    /// The group size of a pool cannot change while the pool has groups of the old size.
    #[snafu(display("pool {pool} has {groups} groups of {group_vms} VMs"))]
    GroupSizeInUse {
        /// The pool.
        pool: PoolName,
        /// The number of its groups.
        groups: usize,
        /// The number of VMs in each of its groups.
        group_vms: u32,
    },
    /// Another route matches the same requests.
    #[snafu(display("route {route} matches the same requests"))]
    MatchInUse {
        /// The other route.
        route: RouteName,
    },
    /// The route compares a pool with itself.
    #[snafu(display("pool {pool} would be compared with itself"))]
    ComparesWithItself {
        /// The pool.
        pool: PoolName,
    },
    /// A member belongs to another group.
    #[snafu(display("VM {vm} is a member of group {group}"))]
    MemberInGroup {
        /// The member.
        vm: VmName,
        /// Its group.
        group: GroupName,
    },
    /// The number of members differs from the pool's group size.
    #[snafu(display("pool {pool} has groups of {expected} VMs, found {found}"))]
    MemberCount {
        /// The pool.
        pool: PoolName,
        /// The pool's group size.
        expected: u32,
        /// The number of members in the record.
        found: usize,
    },
    /// The name belonged to a retired group with other members.
    #[snafu(display("group {group} was retired at {offset} with other members"))]
    GroupNameReused {
        /// The group.
        group: GroupName,
        /// The offset at which it was retired.
        offset: Offset,
    },
    /// Objects that the plan depends on changed after the state that it is based on.
    #[snafu(display(
        "plan {plan} ({intent}), proposed at {proposed} from the state at {based_on}, conflicts with {}",
        format_conflicts(conflicts)
    ))]
    PlanConflict {
        /// The plan.
        plan: PlanName,
        /// The operator's intent.
        intent: String,
        /// The offset of the proposal.
        proposed: Offset,
        /// The offset of the state that the plan is based on.
        based_on: Offset,
        /// The later changes.
        conflicts: Vec<LaterChange>,
    },
    /// The plan is older than the retained tombstones, so conflicts with removals may go unseen.
    #[snafu(display("plan {plan} is based on {based_on}; removals to {horizon} are forgotten"))]
    PlanTooOld {
        /// The plan.
        plan: PlanName,
        /// The offset of the state that the plan is based on.
        based_on: Offset,
        /// The offset of the latest removal whose tombstone was evicted.
        horizon: Offset,
    },
    /// The plan is based on a state that did not exist yet.
    #[snafu(display("plan {plan} is based on {based_on}, which is not before its proposal"))]
    PlanFromFuture {
        /// The plan.
        plan: PlanName,
        /// The offset of that state.
        based_on: Offset,
    },
    /// The plan's phase does not allow the record.
    #[snafu(display("plan {plan} is {phase}"))]
    PlanPhase {
        /// The plan.
        plan: PlanName,
        /// The current phase.
        phase: Phase,
    },
    /// The step is not the next one.
    #[snafu(display("the next step of plan {plan} is {expected}, found {found}"))]
    StepOrder {
        /// The plan.
        plan: PlanName,
        /// The index of the next step.
        expected: u32,
        /// The index of the step in the record.
        found: u32,
    },
    /// A change of a step is rejected, so none of the step's changes are applied.
    #[snafu(display("step {step} of plan {plan}, change {change}: {reason}"))]
    StepRejected {
        /// The plan.
        plan: PlanName,
        /// The index of the step.
        step: u32,
        /// The index of the change within the step.
        change: usize,
        /// Why the change is rejected.
        reason: Box<Rejection>,
    },
    /// The plan has no steps.
    #[snafu(display("plan {plan} has no steps"))]
    EmptyPlan {
        /// The plan.
        plan: PlanName,
    },
    /// A plan step contains a record kind that is not allowed in plans.
    #[snafu(display("a step of plan {plan} contains {label}"))]
    ForbiddenInPlan {
        /// The plan.
        plan: PlanName,
        /// The record kind.
        label: &'static str,
    },
    /// The change is too large to be stored in a snapshot.
    #[snafu(display("the change has {bytes} bytes, expected at most {max_bytes}"))]
    TooLarge {
        /// The encoded size of the change.
        bytes: usize,
        /// The limit.
        max_bytes: usize,
    },
    /// Plans with steps in progress leave too little space for another plan.
    #[snafu(display("no room for a plan of {bytes} bytes; {open} plans are in progress"))]
    NoRoomForPlan {
        /// The encoded size of the rejected plan.
        bytes: usize,
        /// The number of plans with steps in progress.
        open: usize,
    },
    /// The key is claimed and not completed.
    #[snafu(display("the key is claimed by {holder} since {offset}"))]
    ClaimHeld {
        /// The process that may dispatch the request.
        holder: Incarnation,
        /// The pool that the request goes to.
        pool: PoolName,
        /// The offset of the claim.
        offset: Offset,
        /// Whether the existing claim is for the same request.
        is_same_request: bool,
    },
    /// The key is completed.
    #[snafu(display("the key was completed at {offset}"))]
    ClaimCompleted {
        /// The offset of the completion.
        offset: Offset,
        /// Whether the completed claim is for the same request.
        is_same_request: bool,
        /// The response to return to repeats of the same request.
        response: StoredResponse,
    },
    /// The maximum number of claims is reached.
    #[snafu(display("{max_claims} claims are kept already"))]
    TooManyClaims {
        /// The limit.
        max_claims: usize,
    },
    /// A release or completion comes from a process that does not hold the claim.
    #[snafu(display("the claim belongs to {holder}"))]
    NotHolder {
        /// The process that holds the claim.
        holder: Incarnation,
    },
}
