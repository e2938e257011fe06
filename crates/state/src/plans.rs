//! Plans: proposal, conflict check on confirmation, and execution of the steps.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use balsam_types::Offset;
use balsam_types::PlanName;
use balsam_types::record::ObjectRef;
use balsam_types::record::PlanSpec;
use balsam_wire::record::plan_to_pb;
use prost::Message;
use snafu::ensure;

use crate::check;
use crate::claims::Claims;
use crate::control::ChangeContext;
use crate::control::ControlState;
use crate::limits::Limits;
use crate::rejection::*;

/// The phase of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Waiting for confirmation.
    Proposed,
    /// Confirmed, with steps still to be applied.
    Confirmed,
    /// All steps are applied.
    Done,
    /// Ended early; steps that were already applied stay in effect.
    Aborted,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Proposed => "proposed",
            Self::Confirmed => "confirmed",
            Self::Done => "done",
            Self::Aborted => "aborted",
        })
    }
}

/// A plan and its progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanView {
    /// The plan as proposed.
    pub spec: Arc<PlanSpec>,
    /// The current phase.
    pub phase: Phase,
    /// The number of steps that were applied.
    pub steps_done: u32,
    /// The offset of the proposal.
    pub proposed: Offset,
    /// The offset of the last accepted change of the plan.
    pub offset: Offset,
    /// When that change was appended to the log.
    pub changed_at_ms: u64,
    /// What that change did, who made it and why.
    pub summary: Arc<str>,
    /// The encoded size of the proposal.
    pub encoded_bytes: usize,
}

impl PlanView {
    fn set_last_change(&mut self, change: &ChangeContext) {
        self.offset = change.offset;
        self.changed_at_ms = change.now_ms;
        self.summary = Arc::clone(&change.summary);
    }
}

/// All retained plans.
#[derive(Debug, Clone, Default)]
pub(crate) struct Plans {
    plans: BTreeMap<PlanName, PlanView>,
    /// The earliest time at which a plan can expire.
    next_expiry_ms: u64,
}

impl Plans {
    pub(crate) fn get(&self, plan: &PlanName) -> Option<&PlanView> {
        self.plans.get(plan)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &PlanView> {
        self.plans.values()
    }

    pub(crate) fn insert(&mut self, view: PlanView) {
        self.plans.insert(view.spec.plan.clone(), view);
        self.next_expiry_ms = 0;
    }

    /// Evicts plans that did not change within the window, except those with steps in progress.
    pub(crate) fn evict(&mut self, now_ms: u64, window_ms: u64) {
        if now_ms < self.next_expiry_ms {
            return;
        }
        let expires_ms = |plan: &PlanView| plan.changed_at_ms.saturating_add(window_ms);
        self.plans.retain(|_, plan| plan.phase == Phase::Confirmed || expires_ms(plan) >= now_ms);
        let evictable = self.plans.values().filter(|plan| plan.phase != Phase::Confirmed);
        let next_ms = evictable.map(expires_ms).min().unwrap_or(u64::MAX);
        self.next_expiry_ms = next_ms.saturating_add(1);
    }

    pub(crate) fn propose(
        &mut self,
        spec: &PlanSpec,
        change: &ChangeContext,
        limits: &Limits,
    ) -> Result<(), Rejection> {
        let plan = || spec.plan.clone();
        if let Some(existing) = self.plans.get(&spec.plan) {
            let object = ObjectRef::Plan(plan());
            return AlreadyExistsSnafu { object, offset: existing.offset }.fail();
        }
        ensure!(!spec.steps.is_empty(), EmptyPlanSnafu { plan: plan() });
        let based_on = spec.based_on;
        ensure!(based_on < change.offset, PlanFromFutureSnafu { plan: plan(), based_on });
        let mut changes = spec.steps.iter().flat_map(|step| &step.changes);
        if let Some(kind) = changes.find(|kind| !check::is_allowed_in_plan(kind)) {
            return ForbiddenInPlanSnafu { plan: plan(), label: kind.label() }.fail();
        }
        let encoded_bytes = plan_to_pb(spec).encoded_len();
        self.make_room(encoded_bytes, limits)?;
        self.insert(PlanView {
            spec: Arc::new(spec.clone()),
            phase: Phase::Proposed,
            steps_done: 0,
            proposed: change.offset,
            offset: change.offset,
            changed_at_ms: change.now_ms,
            summary: Arc::clone(&change.summary),
            encoded_bytes,
        });
        Ok(())
    }

    /// Evicts the oldest plans without steps in progress until the new plan fits.
    fn make_room(&mut self, bytes: usize, limits: &Limits) -> Result<(), Rejection> {
        let is_in_progress = |plan: &PlanView| plan.phase == Phase::Confirmed;
        let (mut count, mut total_bytes) = (self.plans.len(), self.total_encoded_bytes());
        let fits = |count: usize, total_bytes: usize| {
            count < limits.max_plans && total_bytes + bytes <= limits.max_plan_bytes
        };
        let mut evictable: Vec<_> =
            self.plans.values().filter(|plan| !is_in_progress(plan)).cloned().collect();
        evictable.sort_by_key(|plan| plan.offset);
        let mut evicted = Vec::new();
        for plan in evictable {
            if fits(count, total_bytes) {
                break;
            }
            count -= 1;
            total_bytes -= plan.encoded_bytes;
            evicted.push(plan.spec.plan.clone());
        }
        let open = self.plans.values().filter(|plan| is_in_progress(plan)).count();
        ensure!(fits(count, total_bytes), NoRoomForPlanSnafu { bytes, open });
        evicted.iter().for_each(|plan| drop(self.plans.remove(plan)));
        Ok(())
    }

    fn total_encoded_bytes(&self) -> usize {
        self.plans.values().map(|plan| plan.encoded_bytes).sum()
    }

    fn find_mut(&mut self, plan: &PlanName) -> Result<&mut PlanView, Rejection> {
        let object = || ObjectRef::Plan(plan.clone());
        self.plans.get_mut(plan).ok_or_else(|| Rejection::Missing { object: object() })
    }

    /// Confirms a plan, unless it conflicts with later changes, and applies its first step.
    pub(crate) fn confirm(
        &mut self,
        plan: &PlanName,
        change: &ChangeContext,
        control: &mut ControlState,
        claims: &Claims,
    ) -> Result<(), Rejection> {
        let all_plans = self.plans.clone();
        let view = self.find_mut(plan)?;
        let phase = view.phase;
        ensure!(phase == Phase::Proposed, PlanPhaseSnafu { plan: plan.clone(), phase });
        let spec = Arc::clone(&view.spec);
        let (based_on, horizon) = (spec.based_on, control.tombstone_horizon);
        ensure!(based_on >= horizon, PlanTooOldSnafu { plan: plan.clone(), based_on, horizon });
        let find_later_change =
            |object: &ObjectRef| later_change(object, &spec, control, claims, &all_plans);
        let conflicts: Vec<LaterChange> =
            spec.depends_on.iter().filter_map(find_later_change).collect();
        if !conflicts.is_empty() {
            let (intent, proposed) = (spec.intent.to_string(), view.proposed);
            let plan = plan.clone();
            return PlanConflictSnafu { plan, intent, proposed, based_on, conflicts }.fail();
        }
        apply_step(&spec, 0, change, control)?;
        view.steps_done = 1;
        view.phase = phase_after(&spec, 1);
        view.set_last_change(change);
        self.next_expiry_ms = 0;
        Ok(())
    }

    /// Applies the next step of a confirmed plan.
    pub(crate) fn apply_next_step(
        &mut self,
        plan: &PlanName,
        step: u32,
        change: &ChangeContext,
        control: &mut ControlState,
    ) -> Result<(), Rejection> {
        let view = self.find_mut(plan)?;
        let (phase, expected) = (view.phase, view.steps_done);
        ensure!(phase == Phase::Confirmed, PlanPhaseSnafu { plan: plan.clone(), phase });
        let is_next = step == expected;
        ensure!(is_next, StepOrderSnafu { plan: plan.clone(), expected, found: step });
        let spec = Arc::clone(&view.spec);
        apply_step(&spec, step, change, control)?;
        view.steps_done = step + 1;
        view.phase = phase_after(&spec, step + 1);
        view.set_last_change(change);
        self.next_expiry_ms = 0;
        Ok(())
    }

    pub(crate) fn abort(
        &mut self,
        plan: &PlanName,
        change: &ChangeContext,
    ) -> Result<(), Rejection> {
        let view = self.find_mut(plan)?;
        let phase = view.phase;
        let is_open = matches!(phase, Phase::Proposed | Phase::Confirmed);
        ensure!(is_open, PlanPhaseSnafu { plan: plan.clone(), phase });
        view.phase = Phase::Aborted;
        view.set_last_change(change);
        self.next_expiry_ms = 0;
        Ok(())
    }
}

fn phase_after(spec: &PlanSpec, steps_done: u32) -> Phase {
    if steps_done as usize >= spec.steps.len() { Phase::Done } else { Phase::Confirmed }
}

fn later_change(
    object: &ObjectRef,
    spec: &PlanSpec,
    control: &ControlState,
    claims: &Claims,
    plans: &BTreeMap<PlanName, PlanView>,
) -> Option<LaterChange> {
    let (offset, summary) = match object {
        // The plan's own proposal is always later than the state it is based on.
        ObjectRef::Plan(plan) if *plan == spec.plan => return None,
        ObjectRef::Plan(plan) => plans.get(plan).map(|p| (p.offset, p.summary.to_string()))?,
        ObjectRef::Claim(key) => {
            (claims.last_change_offset(key)?, "claimed or completed".to_owned())
        }
        _ => control.last_change(object).map(|(offset, text)| (offset, text.to_string()))?,
    };
    (offset > spec.based_on).then(|| LaterChange { object: object.clone(), offset, summary })
}

/// Applies the changes of a step atomically: all of them or none.
fn apply_step(
    spec: &PlanSpec,
    step: u32,
    change: &ChangeContext,
    control: &mut ControlState,
) -> Result<(), Rejection> {
    let Some(step_spec) = spec.steps.get(step as usize) else { return Ok(()) };
    let mut updated = control.clone();
    for (index, kind) in step_spec.changes.iter().enumerate() {
        updated.apply(kind, change).map_err(|reason| Rejection::StepRejected {
            plan: spec.plan.clone(),
            step,
            change: index,
            reason: Box::new(reason),
        })?;
    }
    *control = updated;
    Ok(())
}
