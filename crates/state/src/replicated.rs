//! The replicated state and the fold that applies records to it.

use std::sync::Arc;

use balsam_types::ClaimKey;
use balsam_types::DataCentreName;
use balsam_types::GroupName;
use balsam_types::GroupSpec;
use balsam_types::Incarnation;
use balsam_types::Offset;
use balsam_types::OrganisationName;
use balsam_types::OrganisationSpec;
use balsam_types::PlanName;
use balsam_types::PoolName;
use balsam_types::PoolSpec;
use balsam_types::Record;
use balsam_types::RecordKind;
use balsam_types::RouteName;
use balsam_types::RouteSpec;
use balsam_types::VmName;
use balsam_types::record::ObjectRef;

use crate::check;
use crate::claims::ClaimView;
use crate::claims::Claims;
use crate::claims::NewClaim;
use crate::control::ChangeContext;
use crate::control::ControlState;
use crate::control::Versioned;
use crate::history::History;
use crate::history::HistoryEntry;
use crate::limits::Limits;
use crate::plans::PlanView;
use crate::plans::Plans;
use crate::recent::RecentIds;
use crate::rejection::Rejection;

/// Maximum length of an object's summary; it includes a reason, which people may write at length.
const MAX_SUMMARY_CHARS: usize = 240;

/// Maximum length of a reason in the audit trail.
const MAX_REASON_CHARS: usize = 480;

/// The result of folding a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The record was applied.
    Accepted,
    /// The record or its offset was folded before; it is ignored.
    Duplicate,
    /// The record was rejected and has no effect.
    Rejected(Rejection),
}

impl Verdict {
    /// Returns whether the record was applied.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted)
    }
}

/// One node's copy of the replicated state.
#[derive(Debug, Clone)]
pub struct Replicated {
    pub(crate) limits: Limits,
    pub(crate) last_offset: Option<Offset>,
    /// The highest append time seen, so that time never goes back even if the log's clock does.
    pub(crate) now_ms: u64,
    pub(crate) control: ControlState,
    pub(crate) plans: Plans,
    pub(crate) claims: Claims,
    pub(crate) control_ids: RecentIds,
    pub(crate) claim_ids: RecentIds,
    pub(crate) history: History,
}

impl Replicated {
    /// Creates the empty state, before the first record of the log.
    pub fn new(limits: Limits) -> Self {
        let control_ids = RecentIds::new(limits.control_id_window_ms, limits.max_record_ids);
        let claim_ids = RecentIds::new(limits.claim_id_window_ms, limits.max_record_ids);
        Self {
            limits,
            last_offset: None,
            now_ms: 0,
            control: ControlState::default(),
            plans: Plans::default(),
            claims: Claims::new(),
            control_ids,
            claim_ids,
            history: History::default(),
        }
    }

    /// Folds one record.
    ///
    /// A record whose offset is not above the last folded one is ignored as a duplicate.
    pub fn apply(&mut self, offset: Offset, appended_at_ms: u64, record: &Record) -> Verdict {
        if self.last_offset.is_some_and(|last_offset| offset <= last_offset) {
            return Verdict::Duplicate;
        }
        self.last_offset = Some(offset);
        self.now_ms = self.now_ms.max(appended_at_ms);
        self.evict();
        let id = record.record_id.0;
        let ids =
            if is_claim_record(&record.kind) { &mut self.claim_ids } else { &mut self.control_ids };
        if ids.contains(id) {
            return Verdict::Duplicate;
        }
        ids.insert(id, self.now_ms);
        let result = self.fold(offset, record);
        self.record_history(offset, appended_at_ms, record, result.as_ref().err());
        result.map_or_else(Verdict::Rejected, |()| Verdict::Accepted)
    }

    fn evict(&mut self) {
        self.control_ids.evict(self.now_ms);
        self.claim_ids.evict(self.now_ms);
        self.claims.evict(self.now_ms, self.limits.key_window_ms);
        self.plans.evict(self.now_ms, self.limits.removed_window_ms);
        let Limits { removed_window_ms, max_tombstones, .. } = self.limits;
        self.control.evict(self.now_ms, removed_window_ms, max_tombstones);
    }

    fn fold(&mut self, offset: Offset, record: &Record) -> Result<(), Rejection> {
        let Some(object) = record.kind.object() else { return Ok(()) };
        if record.expect_offset.is_some() {
            check::precondition(&object, record.expect_offset, self.last_change(&object))?;
        }
        if is_claim_record(&record.kind) {
            return self.fold_claim(offset, &record.kind);
        }
        check::encoded_size(&record.kind)?;
        let summary = Arc::from(summary(record, &object));
        let change = ChangeContext { offset, now_ms: self.now_ms, summary };
        let (plans, control) = (&mut self.plans, &mut self.control);
        match &record.kind {
            RecordKind::ProposePlan(spec) => plans.propose(spec, &change, &self.limits),
            RecordKind::ConfirmPlan(plan) => plans.confirm(plan, &change, control, &self.claims),
            RecordKind::StepDone { plan, step } => {
                plans.apply_next_step(plan, *step, &change, control)
            }
            RecordKind::AbortPlan(plan) => plans.abort(plan, &change),
            kind => control.apply(kind, &change),
        }
    }

    fn fold_claim(&mut self, offset: Offset, kind: &RecordKind) -> Result<(), Rejection> {
        match kind {
            RecordKind::Claim { key, request_hash, pool, node } => {
                let (key, request_hash, at_ms) = (*key, *request_hash, self.now_ms);
                let new = NewClaim { key, request_hash, pool, node, offset, at_ms };
                self.claims.claim(&new, self.limits.max_claims)
            }
            RecordKind::Release { key, node } => self.claims.release(key, node),
            RecordKind::Complete { key, node, response } => {
                let max_bytes = self.limits.max_stored_bytes;
                self.claims.complete(key, node, response, offset, max_bytes)
            }
            _ => Ok(()),
        }
    }

    fn record_history(
        &mut self,
        offset: Offset,
        appended_at_ms: u64,
        record: &Record,
        rejection: Option<&Rejection>,
    ) {
        let Some(object) = record.kind.object() else { return };
        if is_claim_record(&record.kind) {
            return;
        }
        let summary = Arc::from(summary(record, &object));
        let mut objects = vec![object];
        objects.extend(self.step_objects(&record.kind));
        let entry = HistoryEntry {
            offset,
            appended_at_ms,
            author: record.author.clone(),
            label: Arc::from(record.kind.label()),
            objects,
            summary,
            reason: Arc::from(truncate(&record.reason, MAX_REASON_CHARS)),
            rejection: rejection.map(|r| Arc::from(truncate(&r.to_string(), MAX_REASON_CHARS))),
        };
        self.history.push(entry, &self.limits);
    }

    /// Returns the objects that are changed by the plan step of a record, for the audit trail.
    fn step_objects(&self, kind: &RecordKind) -> Vec<ObjectRef> {
        let (plan, step) = match kind {
            RecordKind::ConfirmPlan(plan) => (plan, 0),
            RecordKind::StepDone { plan, step } => (plan, *step as usize),
            _ => return Vec::new(),
        };
        let step = self.plans.get(plan).and_then(|view| view.spec.steps.get(step));
        let changes = step.map_or(&[][..], |step| &step.changes);
        changes.iter().filter_map(RecordKind::object).collect()
    }

    /// Returns the offset of the last folded record, or `None` before the first.
    pub fn last_offset(&self) -> Option<Offset> {
        self.last_offset
    }

    /// Returns the highest append time of the folded records.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the offset of the last accepted change of an existing object.
    pub fn last_change(&self, object: &ObjectRef) -> Option<Offset> {
        match object {
            ObjectRef::Plan(plan) => self.plans.get(plan).map(|view| view.offset),
            ObjectRef::Claim(key) => self.claims.last_change_offset(key),
            _ => self.control.existing(object).map(|(offset, _)| offset),
        }
    }

    /// Returns an organisation.
    pub fn organisation(&self, name: &OrganisationName) -> Option<&Versioned<OrganisationSpec>> {
        self.control.organisations.get(name)
    }

    /// Returns all organisations in name order.
    pub fn organisations(&self) -> impl Iterator<Item = &Versioned<OrganisationSpec>> {
        self.control.organisations.values()
    }

    /// Returns a pool.
    pub fn pool(&self, name: &PoolName) -> Option<&Versioned<PoolSpec>> {
        self.control.pools.get(name)
    }

    /// Returns all pools in name order.
    pub fn pools(&self) -> impl Iterator<Item = &Versioned<PoolSpec>> {
        self.control.pools.values()
    }

    /// Returns a route.
    pub fn route(&self, name: &RouteName) -> Option<&Versioned<RouteSpec>> {
        self.control.routes.get(name)
    }

    /// Returns all routes in name order.
    pub fn routes(&self) -> impl Iterator<Item = &Versioned<RouteSpec>> {
        self.control.routes.values()
    }

    /// Returns a group.
    pub fn group(&self, name: &GroupName) -> Option<&Versioned<GroupSpec>> {
        self.control.groups.get(name)
    }

    /// Returns all groups in name order.
    pub fn groups(&self) -> impl Iterator<Item = &Versioned<GroupSpec>> {
        self.control.groups.values()
    }

    /// Returns the group that a VM is a member of.
    pub fn group_of(&self, vm: &VmName) -> Option<&GroupName> {
        self.control.group_of.get(vm)
    }

    /// Returns the node that owns a group's cold-start permits.
    pub fn owner(&self, group: &GroupName) -> Option<&Versioned<Incarnation>> {
        self.control.owners.get(group)
    }

    /// Returns all permit owners, in the order of group names.
    pub fn owners(&self) -> impl Iterator<Item = (&GroupName, &Versioned<Incarnation>)> {
        self.control.owners.iter()
    }

    /// Returns the offset at which a data centre was drained, or `None` if it is not drained.
    pub fn drained_at(&self, data_centre: &DataCentreName) -> Option<Offset> {
        self.control.drains.get(data_centre).map(|drain| drain.offset)
    }

    /// Returns the drained data centres in name order, each with the offset of its drain.
    pub fn drained_data_centres(&self) -> impl Iterator<Item = (&DataCentreName, Offset)> {
        self.control.drains.iter().map(|(name, drain)| (name, drain.offset))
    }

    /// Returns a plan and its progress.
    pub fn plan(&self, name: &PlanName) -> Option<&PlanView> {
        self.plans.get(name)
    }

    /// Returns all retained plans in name order.
    pub fn plans(&self) -> impl Iterator<Item = &PlanView> {
        self.plans.iter()
    }

    /// Returns the claim on a key, or `None` if the key is not claimed.
    pub fn claim(&self, key: &ClaimKey) -> Option<ClaimView> {
        self.claims.get(key)
    }

    /// Returns the number of retained claims.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns the audit trail, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Arc<HistoryEntry>> {
        self.history.iter()
    }

    /// Returns the entries of the audit trail that touch an object, oldest first.
    pub fn history_of<'a>(
        &'a self,
        object: &'a ObjectRef,
    ) -> impl DoubleEndedIterator<Item = &'a Arc<HistoryEntry>> {
        self.history.iter().filter(|entry| entry.objects.contains(object))
    }
}

fn is_claim_record(kind: &RecordKind) -> bool {
    matches!(
        kind,
        RecordKind::Claim { .. } | RecordKind::Release { .. } | RecordKind::Complete { .. }
    )
}

fn summary(record: &Record, object: &ObjectRef) -> String {
    let label = record.kind.label();
    let text = format!("{label} {object} by {}: {}", record.author, record.reason);
    truncate(&text, MAX_SUMMARY_CHARS).to_owned()
}

fn truncate(text: &str, max_chars: usize) -> &str {
    text.char_indices().nth(max_chars).map_or(text, |(end, _)| &text[..end])
}
