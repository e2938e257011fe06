//! Builders of records, and a state to fold them into, shared by the tests of this crate.

use std::sync::Arc;

use balsam_state::Limits;
use balsam_state::Rejection;
use balsam_state::Replicated;
use balsam_state::Verdict;
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

pub fn name<'a, N: TryFrom<&'a str, Error = InvalidValue>>(raw: &'a str) -> N {
    N::try_from(raw).unwrap()
}

pub fn node(vm: &str) -> Incarnation {
    Incarnation { vm: name(vm), start_ms: 1, nonce: 7 }
}

pub fn organisation(organisation: &str, token_digit: char) -> RecordKind {
    RecordKind::PutOrganisation(OrganisationSpec {
        organisation: name(organisation),
        token_sha256: token_digit.to_string().repeat(64).into(),
        weight: 1,
        limit_per_s: 0,
        limit_in_flight: 0,
    })
}

pub fn pool(pool: &str, group_vms: u32) -> RecordKind {
    RecordKind::PutPool(PoolSpec {
        pool: name(pool),
        kind: PoolKind::Model,
        model: "m".into(),
        version: "1".into(),
        group_vms,
        target_groups: 2,
        limit: 8,
        cold_limit: 1,
        checks_fence: true,
        not_run_statuses: vec![503],
        weight_bytes: 1 << 30,
    })
}

pub fn route(route: &str, prefix: &str, pool: &str) -> RecordKind {
    RecordKind::PutRoute(RouteSpec {
        route: name(route),
        matches: RouteMatch::PathPrefix(prefix.into()),
        pool: name(pool),
        compare_pool: None,
        idempotent: None,
        deadline_ms: 1_000,
    })
}

pub fn group(group: &str, pool: &str, members: &[&str]) -> RecordKind {
    RecordKind::FormGroup(GroupSpec {
        group: name(group),
        pool: name(pool),
        data_centre: name("augsburg"),
        fabric_domain: name("rack-1"),
        members: members.iter().map(|member| name(member)).collect(),
        version: "v1".into(),
    })
}

pub fn owner(group: &str, vm: &str) -> RecordKind {
    RecordKind::AssignOwner { group: name(group), node: node(vm) }
}

pub fn plan(
    plan: &str,
    based_on: Offset,
    depends_on: &[ObjectRef],
    steps: &[&[RecordKind]],
) -> RecordKind {
    let step = |changes: &&[RecordKind]| PlanStep {
        summary: "step".into(),
        changes: changes.to_vec(),
        capacity_left: vec![(name("assistant"), 3)],
    };
    RecordKind::ProposePlan(PlanSpec {
        plan: name(plan),
        intent: "drain augsburg".into(),
        based_on,
        depends_on: depends_on.to_vec(),
        steps: steps.iter().map(step).collect(),
        notices: vec!["nothing".into()],
    })
}

pub fn confirm(plan: &str) -> RecordKind {
    RecordKind::ConfirmPlan(name(plan))
}

pub fn step_done(plan: &str, step: u32) -> RecordKind {
    RecordKind::StepDone { plan: name(plan), step }
}

pub fn key(number: u8) -> ClaimKey {
    ClaimKey([number; 16])
}

pub fn claim(number: u8, vm: &str, request: u8) -> RecordKind {
    let request_hash = RequestHash([request; 16]);
    RecordKind::Claim { key: key(number), request_hash, pool: name("orderdesk"), node: node(vm) }
}

pub fn release(number: u8, vm: &str) -> RecordKind {
    RecordKind::Release { key: key(number), node: node(vm) }
}

pub fn response(body_bytes: usize) -> StoredResponse {
    let body = Some(Arc::from(vec![b'x'; body_bytes]));
    StoredResponse { status: 201, content_type: "application/json".into(), body }
}

pub fn complete(number: u8, vm: &str, body_bytes: usize) -> RecordKind {
    RecordKind::Complete { key: key(number), node: node(vm), response: response(body_bytes) }
}

pub fn record(record_id: u128, kind: RecordKind, expect_offset: Option<Offset>) -> Record {
    Record {
        record_id: RecordId(record_id),
        author: Author::Operator(name("anna")),
        at_ms: 5,
        reason: "weekly check".into(),
        expect_offset,
        kind,
    }
}

/// A state, and the position and time of its log, which gets one append of one record per ms.
pub struct Fold {
    pub state: Replicated,
    pub next_append: u64,
    pub now_ms: u64,
}

impl Fold {
    pub fn new(limits: Limits) -> Self {
        Self { state: Replicated::new(limits), next_append: 1, now_ms: 1_000 }
    }

    pub fn apply_expecting(&mut self, kind: RecordKind, expect_offset: Option<Offset>) -> Verdict {
        let offset = Offset::new(self.next_append, 0);
        self.next_append += 1;
        self.now_ms += 1;
        let record = record(self.next_append.into(), kind, expect_offset);
        self.state.apply(offset, self.now_ms, &record)
    }

    /// Folds a record, asserts that it is accepted, and returns its offset.
    pub fn accept(&mut self, kind: RecordKind) -> Offset {
        let label = kind.label();
        assert_eq!(self.apply_expecting(kind, None), Verdict::Accepted, "{label}");
        Offset::new(self.next_append - 1, 0)
    }

    /// Folds a record, asserts that it is rejected without effect, and returns the reason.
    pub fn reject(&mut self, kind: RecordKind) -> Rejection {
        let label = kind.label();
        let objects = |state: &Replicated| {
            let groups: Vec<_> = state.groups().cloned().collect();
            let pools: Vec<_> = state.pools().cloned().collect();
            let plans: Vec<_> = state.plans().cloned().collect();
            let drains: Vec<_> =
                state.drained_data_centres().map(|(dc, at)| (dc.clone(), at)).collect();
            (groups, pools, plans, drains, state.routes().cloned().collect::<Vec<_>>())
        };
        let before = objects(&self.state);
        let verdict = self.apply_expecting(kind, None);
        assert_eq!(objects(&self.state), before, "a rejected {label} changed the state");
        let Verdict::Rejected(reason) = verdict else { panic!("{label}: {verdict:?}") };
        reason
    }
}

/// Returns a state with an organisation, two pools, a route and one group of two VMs.
pub fn sample_fold() -> Fold {
    let mut fold = Fold::new(Limits::default());
    fold.accept(organisation("club", 'a'));
    fold.accept(pool("assistant", 2));
    fold.accept(pool("orderdesk", 1));
    fold.accept(route("chat", "/chat", "assistant"));
    fold.accept(group("g1", "assistant", &["vm-1", "vm-2"]));
    fold
}
