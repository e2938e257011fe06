//! The rules by which records are accepted or rejected: objects, preconditions, plans and claims.

use balsam_state::Limits;
use balsam_state::Phase;
use balsam_state::Rejection;
use balsam_state::Replicated;
use balsam_state::Verdict;
use balsam_types::Offset;
use balsam_types::RecordKind;
use balsam_types::claim::MAX_STORED_BODY_BYTES;
use balsam_types::record::ObjectRef;
use rstest::rstest;

use crate::common::*;

/// Guards against a missing check, which would let an inconsistent object into the state.
#[rstest]
#[case::member_of_another_group(group("g2", "assistant", &["vm-2", "vm-3"]), "VM vm-2 is a member of group g1")]
#[case::unknown_pool(group("g2", "nowhere", &["vm-3", "vm-4"]), "pool nowhere does not exist")]
#[case::too_few_members(group("g2", "assistant", &["vm-3"]), "groups of 2 VMs, found 1")]
#[case::member_twice(group("g2", "assistant", &["vm-3", "vm-3"]), "distinct members")]
#[case::group_exists(group("g1", "assistant", &["vm-3", "vm-4"]), "group g1 exists since 5.0")]
#[case::pool_with_group(RecordKind::RemovePool(name("assistant")), "1 groups and 1 routes")]
#[case::group_size(pool("assistant", 3), "has 1 groups of 2 VMs")]
#[case::route_to_unknown_pool(route("r", "/r", "nowhere"), "pool nowhere does not exist")]
#[case::same_match(route("r", "/chat", "orderdesk"), "route chat matches the same requests")]
#[case::token_in_use(organisation("other", 'A'), "the token belongs to organisation club")]
#[case::owner_of_unknown_group(owner("g9", "entry-1"), "group g9 does not exist")]
#[case::return_without_drain(RecordKind::ReturnDataCentre(name("augsburg")), "does not exist")]
#[case::empty_plan(plan("p", Offset::new(5, 0), &[], &[]), "no steps")]
#[case::plan_based_on_a_future_state(plan("p", Offset::new(6, 0), &[], &[&[]]), "not before its proposal")]
#[case::claim_in_a_plan(plan("p", Offset::new(5, 0), &[], &[&[claim(1, "a", 1)]]), "contains claim")]
fn changes_that_break_an_invariant_are_rejected(#[case] kind: RecordKind, #[case] reason: &str) {
    let found = sample_fold().reject(kind).to_string();
    assert!(found.contains(reason), "{found}");
}

/// Guards against treating the replacement of a pool as its removal and re-creation.
#[test]
fn replacing_a_pool_or_organisation_keeps_its_groups_and_routes() {
    let mut fold = sample_fold();
    let RecordKind::PutPool(mut spec) = pool("assistant", 2) else { unreachable!() };
    spec.limit = 99;
    let offset = fold.accept(RecordKind::PutPool(spec));
    fold.accept(organisation("club", 'b'));
    let pool = fold.state.pool(&name("assistant")).unwrap();
    assert_eq!((pool.value.limit, pool.offset), (99, offset));
    assert_eq!(fold.state.groups().count(), 1);
    assert_eq!(fold.state.group_of(&name("vm-1")), Some(&name("g1")));
}

/// Guards against members that stay assigned, and names reused for a group with other members.
#[test]
fn a_retired_group_releases_its_members_and_owner_but_reserves_its_name() {
    let mut fold = sample_fold();
    fold.accept(owner("g1", "entry-1"));
    let retired = fold.accept(RecordKind::RetireGroup(name("g1")));
    assert_eq!(fold.state.owner(&name("g1")), None);
    let reason = fold.reject(group("g1", "assistant", &["vm-3", "vm-4"]));
    assert_eq!(reason, Rejection::GroupNameReused { group: name("g1"), offset: retired });
    // The first member is the head, so the same members in another order are another group.
    fold.reject(group("g1", "assistant", &["vm-2", "vm-1"]));
    fold.accept(group("g1", "assistant", &["vm-1", "vm-2"]));
    assert_eq!(fold.state.owner(&name("g1")), None);
}

/// Guards against lost updates when two writers start from the same version of an object.
#[test]
fn of_concurrent_changes_with_the_same_expected_offset_one_is_accepted() {
    let mut fold = sample_fold();
    let current = fold.state.last_change(&ObjectRef::Pool(name("assistant")));
    assert!(fold.apply_expecting(pool("assistant", 2), current).is_accepted());
    let Verdict::Rejected(reason) = fold.apply_expecting(pool("assistant", 2), current) else {
        panic!()
    };
    let found = Some(Offset::new(6, 0));
    let object = ObjectRef::Pool(name("assistant"));
    assert_eq!(reason, Rejection::OffsetMismatch { object, expected: current.unwrap(), found });
    let absent = Some(Offset::default());
    assert!(!fold.apply_expecting(pool("assistant", 2), absent).is_accepted());
    assert!(fold.apply_expecting(pool("new", 2), absent).is_accepted());
    assert!(!fold.apply_expecting(pool("newer", 2), Some(Offset::new(1, 0))).is_accepted());
}

/// Guards against applying a record twice when its append is retried.
#[test]
fn a_repeated_record_within_the_window_has_no_effect() {
    let limits = Limits { control_id_window_ms: 1_000, ..Limits::default() };
    let mut state = Replicated::new(limits);
    let drain = record(9, RecordKind::DrainDataCentre(name("augsburg")), None);
    let return_data_centre = record(10, RecordKind::ReturnDataCentre(name("augsburg")), None);
    assert!(state.apply(Offset::new(1, 0), 100, &drain).is_accepted());
    assert!(state.apply(Offset::new(1, 1), 100, &return_data_centre).is_accepted());
    assert_eq!(state.apply(Offset::new(2, 0), 1_099, &drain), Verdict::Duplicate);
    assert_eq!(state.drained_at(&name("augsburg")), None);
    // A record at an offset that was already folded is ignored, whatever it contains.
    let other = record(11, RecordKind::DrainDataCentre(name("augsburg")), None);
    assert_eq!(state.apply(Offset::new(1, 1), 1_099, &other), Verdict::Duplicate);
    assert_eq!(state.last_offset(), Some(Offset::new(2, 0)));
}

fn drain_plan(based_on: Offset) -> RecordKind {
    let first = [RecordKind::DrainDataCentre(name("augsburg"))];
    let second = [RecordKind::RetireGroup(name("g1")), group("g2", "assistant", &["vm-1", "vm-3"])];
    let depends_on = [ObjectRef::Pool(name("assistant")), ObjectRef::Group(name("g1"))];
    plan("p1", based_on, &depends_on, &[&first, &second])
}

/// Guards against steps that are skipped, repeated or missing from the audit trail.
#[test]
fn plan_steps_are_applied_in_order_and_once_each() {
    let mut fold = sample_fold();
    fold.accept(drain_plan(Offset::new(5, 0)));
    assert!(matches!(fold.reject(step_done("p1", 0)), Rejection::PlanPhase { .. }));
    let confirmed = fold.accept(confirm("p1"));
    assert_eq!(fold.state.drained_at(&name("augsburg")), Some(confirmed));
    assert!(matches!(fold.reject(step_done("p1", 0)), Rejection::StepOrder { expected: 1, .. }));
    let done = fold.accept(step_done("p1", 1));
    assert_eq!(fold.state.group(&name("g2")).unwrap().offset, done);
    let view = fold.state.plan(&name("p1")).unwrap();
    assert_eq!((view.phase, view.steps_done), (Phase::Done, 2));
    fold.reject(step_done("p1", 1));
    fold.reject(RecordKind::AbortPlan(name("p1")));
    let object = ObjectRef::Group(name("g2"));
    let offsets: Vec<_> = fold.state.history_of(&object).map(|entry| entry.offset).collect();
    assert_eq!(offsets, [done, Offset::new(done.append + 1, 0)]);
}

/// Guards against a plan that overwrites changes made after the state that it is based on.
#[test]
fn confirming_a_plan_with_conflicts_reports_the_plan_and_each_conflict() {
    let mut fold = sample_fold();
    fold.accept(drain_plan(Offset::new(5, 0)));
    let replaced = fold.accept(pool("assistant", 2));
    let retired = fold.accept(RecordKind::RetireGroup(name("g1")));
    fold.accept(pool("unrelated", 2));
    let reason = fold.reject(confirm("p1"));
    let text = reason.to_string();
    let Rejection::PlanConflict { proposed, conflicts, .. } = reason else { panic!("{text}") };
    assert_eq!(proposed, Offset::new(6, 0));
    let offsets: Vec<_> = conflicts.iter().map(|conflict| conflict.offset).collect();
    assert_eq!(offsets, [replaced, retired]);
    assert!(text.contains("drain augsburg") && text.contains("retire_group group g1"), "{text}");
    assert!(conflicts[0].summary.contains("operator anna: weekly check"), "{text}");
}

/// Guards against a step that is applied in part.
#[test]
fn a_step_with_a_rejected_change_applies_none_of_its_changes() {
    let mut fold = sample_fold();
    let drain = RecordKind::DrainDataCentre(name("augsburg"));
    let invalid = group("g2", "assistant", &["vm-2", "vm-3"]);
    fold.accept(plan("p1", Offset::new(5, 0), &[], &[&[drain, invalid]]));
    let reason = fold.reject(confirm("p1"));
    assert!(matches!(reason, Rejection::StepRejected { step: 0, change: 1, .. }), "{reason}");
    assert_eq!(fold.state.drained_at(&name("augsburg")), None);
    assert_eq!(fold.state.plan(&name("p1")).unwrap().phase, Phase::Proposed);
    fold.accept(RecordKind::AbortPlan(name("p1")));
    assert!(matches!(fold.reject(confirm("p1")), Rejection::PlanPhase { .. }));
}

/// Guards against a plan that misses a conflicting removal because its tombstone was evicted.
#[rstest]
#[case::expired(Limits { removed_window_ms: 10, ..Limits::default() })]
#[case::above_the_limit(Limits { max_tombstones: 0, ..Limits::default() })]
fn a_plan_older_than_an_evicted_tombstone_is_rejected(#[case] limits: Limits) {
    let mut fold = Fold::new(limits);
    fold.accept(pool("assistant", 2));
    fold.accept(RecordKind::RemovePool(name("assistant")));
    fold.now_ms += 100;
    let depends_on = [ObjectRef::Pool(name("assistant"))];
    fold.accept(plan("p1", Offset::new(1, 0), &depends_on, &[&[]]));
    assert!(matches!(fold.reject(confirm("p1")), Rejection::PlanTooOld { .. }));
}

/// Guards against accepting a change with which the state's snapshots cannot be decoded.
#[test]
fn a_change_too_large_for_a_snapshot_is_rejected() {
    let mut fold = sample_fold();
    let RecordKind::PutPool(mut spec) = pool("large", 2) else { unreachable!() };
    spec.model = "m".repeat(600_000).into();
    assert!(matches!(fold.reject(RecordKind::PutPool(spec.clone())), Rejection::TooLarge { .. }));
    spec.model = "m".repeat(500_000).into();
    fold.accept(RecordKind::PutPool(spec));
    let as_of = fold.state.last_offset().unwrap();
    let bytes = fold.state.to_snapshot();
    assert!(Replicated::from_snapshot(as_of, &bytes, Limits::default()).is_ok());
}

/// Guards against the loss of a confirmed plan's remaining steps when the limit is reached.
#[test]
fn a_proposal_evicts_older_proposals_but_no_plan_in_progress() {
    let mut fold = Fold::new(Limits { max_plans: 2, ..Limits::default() });
    let proposal = |name| plan(name, Offset::default(), &[], &[&[], &[]]);
    fold.accept(proposal("p1"));
    fold.accept(confirm("p1"));
    fold.accept(proposal("p2"));
    fold.accept(proposal("p3"));
    assert_eq!(fold.state.plan(&name("p2")), None);
    fold.accept(confirm("p3"));
    let reason = fold.reject(proposal("p4"));
    assert!(matches!(reason, Rejection::NoRoomForPlan { open: 2, .. }), "{reason}");
}

/// Guards against two processes that dispatch the same key.
#[test]
fn the_first_claim_wins_and_later_ones_report_whether_the_request_is_the_same() {
    let mut fold = sample_fold();
    let offset = fold.accept(claim(1, "entry-1", 5));
    for (request, same) in [(5, true), (6, false)] {
        let reason = fold.reject(claim(1, "entry-2", request));
        let Rejection::ClaimHeld { holder, is_same_request, .. } = reason else {
            panic!("{reason}")
        };
        assert_eq!((holder, is_same_request), (node("entry-1"), same));
    }
    assert_eq!(fold.state.claim(&key(1)).unwrap().offset, offset);
}

/// Guards against comparing holders by VM only.
#[test]
fn a_restarted_process_cannot_release_a_claim_of_its_previous_incarnation() {
    let mut fold = sample_fold();
    fold.accept(claim(1, "entry-1", 5));
    let restarted = balsam_types::Incarnation { nonce: 8, ..node("entry-1") };
    let kind = RecordKind::Release { key: key(1), node: restarted };
    assert!(matches!(fold.reject(kind), Rejection::NotHolder { .. }));
}

/// Guards against a second dispatch after another process has released or completed the claim.
#[test]
fn a_key_is_free_again_only_after_its_holder_releases_the_claim() {
    let mut fold = sample_fold();
    fold.accept(claim(1, "entry-1", 5));
    assert!(matches!(fold.reject(release(1, "entry-2")), Rejection::NotHolder { .. }));
    assert!(matches!(fold.reject(complete(1, "entry-2", 1)), Rejection::NotHolder { .. }));
    fold.accept(release(1, "entry-1"));
    assert_eq!(fold.state.claim(&key(1)), None);
    assert!(matches!(fold.reject(complete(1, "entry-1", 1)), Rejection::Missing { .. }));
    fold.accept(claim(1, "entry-2", 6));
}

/// Guards against dispatching a completed request again.
#[test]
fn a_completed_claim_keeps_its_response_and_cannot_be_released() {
    let mut fold = sample_fold();
    fold.accept(claim(1, "entry-1", 5));
    let done = fold.accept(complete(1, "entry-1", 16));
    fold.reject(release(1, "entry-1"));
    fold.reject(complete(1, "entry-1", 3));
    let reason = fold.reject(claim(1, "entry-2", 5));
    let expected =
        Rejection::ClaimCompleted { offset: done, is_same_request: true, response: response(16) };
    assert_eq!(reason, expected);
    assert_eq!(fold.state.last_change(&ObjectRef::Claim(key(1))), Some(done));
}

/// Guards against unbounded memory for stored responses.
#[rstest]
#[case::at_the_limit(MAX_STORED_BODY_BYTES, 1 << 20, true)]
#[case::above_the_limit(MAX_STORED_BODY_BYTES + 1, 1 << 20, false)]
#[case::above_the_total(64, 64, false)]
fn response_bodies_above_the_limits_are_dropped(
    #[case] body_bytes: usize,
    #[case] max_stored_bytes: usize,
    #[case] kept: bool,
) {
    let mut fold = Fold::new(Limits { max_stored_bytes, ..Limits::default() });
    fold.accept(claim(1, "entry-1", 5));
    fold.accept(complete(1, "entry-1", body_bytes));
    let response = fold.state.claim(&key(1)).unwrap().completed.unwrap().response;
    assert_eq!((response.status, response.body.is_some()), (201, kept));
}

/// Guards against unbounded memory for claims, and against evicting a claim within its window.
#[test]
fn claims_above_the_limit_are_rejected_until_older_ones_expire() {
    let limits = Limits { max_claims: 2, key_window_ms: 1_000, ..Limits::default() };
    let mut fold = Fold::new(limits);
    fold.accept(claim(1, "entry-1", 5));
    fold.accept(claim(2, "entry-1", 5));
    assert_eq!(fold.reject(claim(3, "entry-1", 5)), Rejection::TooManyClaims { max_claims: 2 });
    assert!(matches!(fold.reject(claim(1, "entry-2", 5)), Rejection::ClaimHeld { .. }));
    fold.now_ms += 996;
    assert!(matches!(fold.reject(claim(1, "entry-2", 5)), Rejection::ClaimHeld { .. }));
    fold.accept(claim(3, "entry-1", 5));
    assert_eq!(fold.state.claim_count(), 2);
}

/// Guards against claims in the audit trail, and rejections without their reason.
#[test]
fn the_history_keeps_the_newest_entries_and_the_reason_of_a_rejection() {
    let mut fold = Fold::new(Limits { history_entries: 2, ..Limits::default() });
    fold.accept(pool("a", 2));
    fold.accept(claim(1, "entry-1", 5));
    fold.accept(pool("b", 2));
    fold.reject(RecordKind::RemovePool(name("c")));
    let entries: Vec<_> = fold.state.history().collect();
    assert_eq!(entries.len(), 2);
    assert_eq!((entries[0].offset, &entries[0].rejection), (Offset::new(3, 0), &None));
    assert_eq!(entries[1].rejection.as_deref(), Some("pool c does not exist"));
    assert_eq!(&*entries[1].reason, "weekly check");
}
