//! Tests of what a node knows of the operators' orders and how current it is.

use std::collections::BTreeSet;

use balsam_fleet::Effect;
use balsam_fleet::Event;
use balsam_fleet::Fleet;
use balsam_fleet::StorePosition;
use balsam_fleet::event::Decision;
use balsam_fleet::event::PeerReport;
use balsam_fleet::event::Scope;
use balsam_fleet::operators::OperatorsReport;
use balsam_fleet::operators::OperatorsUpdate;
use balsam_fleet::operators::RETENTION_MS;
use balsam_fleet::reduce;
use rstest::rstest;

use crate::load::report;
use crate::support;

fn apply(fleet: &mut Fleet, now_ms: u64, update: OperatorsUpdate) -> Vec<Effect> {
    reduce(fleet, now_ms, Event::Operators(update))
}

/// Returns a position in the first era.
fn at(offset: u64) -> StorePosition {
    StorePosition { era: 1, offset }
}

/// Returns a position after the store came back from a copy.
fn restored(offset: u64) -> StorePosition {
    StorePosition { era: 2, offset }
}

fn record(offset: u64, is_out: bool) -> OperatorsUpdate {
    record_at(at(offset), is_out)
}

fn record_at(position: StorePosition, is_out: bool) -> OperatorsUpdate {
    OperatorsUpdate::Record { position, data_centre: support::data_centre("a"), is_out }
}

fn whole(end: StorePosition, is_out: bool) -> OperatorsUpdate {
    let evacuated = is_out.then(|| support::data_centre("a")).into_iter().collect();
    OperatorsUpdate::Whole { end, evacuated }
}

fn confirmed(end: u64, as_of_ms: u64) -> OperatorsUpdate {
    OperatorsUpdate::Confirmed { end: at(end), as_of_ms }
}

fn is_out(fleet: &Fleet) -> bool {
    fleet.operators.evacuated().contains(&support::data_centre("a"))
}

/// A read of the whole topic that was answered before an evacuation must not undo it, and a record
/// that is read again must not restore an order that was revoked since.
#[test]
fn an_old_answer_does_not_undo_a_later_order() {
    let mut fleet = support::fleet("node");
    apply(&mut fleet, 1_000, whole(at(4), false));
    apply(&mut fleet, 2_000, record(4, true));
    apply(&mut fleet, 2_100, whole(at(4), false));
    assert!(is_out(&fleet));
    apply(&mut fleet, 3_000, record(5, false));
    apply(&mut fleet, 3_100, record(4, true));
    assert!(!is_out(&fleet));
    apply(&mut fleet, 3_200, whole(at(6), false));
    assert_eq!(fleet.operators.position(), at(6));
}

/// An answer that ends before the known offset does not confirm that nothing followed.
#[test]
fn an_old_answer_does_not_confirm() {
    let mut fleet = support::fleet("node");
    apply(&mut fleet, 1_000, confirmed(4, 1_000));
    apply(&mut fleet, 2_000, record(4, true));
    apply(&mut fleet, 2_500, confirmed(4, 2_500));
    assert_eq!(fleet.operators.age_ms(3_000), Some(2_000));
    apply(&mut fleet, 2_600, confirmed(5, 2_600));
    assert_eq!(fleet.operators.age_ms(3_000), Some(400));
}

/// A large answer takes seconds on a slow link and confirms nothing about changes after it began.
#[test]
fn a_slow_answer_confirms_as_of_its_start() {
    let mut fleet = support::fleet("node");
    apply(&mut fleet, 4_000, confirmed(4, 1_500));
    assert_eq!(fleet.operators.age_ms(4_000), Some(2_500));
    assert_eq!(fleet.report(4_000).operators.read_age_ms, Some(2_500));
}

/// The log has one line per order, with the time for which the node was unaware of it; lines for
/// reads that changed nothing hid the one that mattered.
#[test]
fn an_order_is_logged_once_with_the_age_of_the_knowledge() {
    let mut fleet = support::fleet("node");
    let data_centre = support::data_centre("a");
    apply(&mut fleet, 1_000, confirmed(4, 1_000));
    let logged = apply(&mut fleet, 3_500, record(4, true));
    let unconfirmed_ms = Some(2_500);
    let decision =
        Decision::Evacuation { data_centre, is_out: true, unconfirmed_ms, told_by: None };
    assert!(
        matches!(&logged[..], [Effect::LogDecision(found)] if *found == decision),
        "{logged:?}"
    );
    let evacuated = fleet.operators.evacuated().clone();
    assert!(apply(&mut fleet, 3_600, OperatorsUpdate::Whole { end: at(5), evacuated }).is_empty());
}

fn apply_report(
    fleet: &mut Fleet,
    now_ms: u64,
    scope: Scope,
    operators: OperatorsReport,
) -> Vec<Effect> {
    let report = PeerReport { scope, operators, ..report("other") };
    reduce(fleet, now_ms, Event::Peer(report))
}

/// A node whose own read never ends must learn of an order from the others; 59 of 65 nodes
/// continued to send requests to a data centre for 14 s (evac-9c7c).
#[rstest]
#[case::from_a_node(Scope::Node)]
#[case::from_a_data_centre(Scope::DataCentre { nodes: 4, age_ms: 0 })]
fn an_order_reported_by_another_node_takes_effect(#[case] scope: Scope) {
    let mut fleet = support::fleet("node");
    apply(&mut fleet, 1_000, confirmed(4, 1_000));
    let evacuated = BTreeSet::from([support::data_centre("a")]);
    let reported =
        OperatorsReport { position: at(5), evacuated, read_age_ms: Some(10), ..Default::default() };
    assert_eq!(apply_report(&mut fleet, 2_000, scope, reported).len(), 1, "the order is logged");
    assert!(is_out(&fleet));
    // A node that knows less undoes nothing.
    apply_report(
        &mut fleet,
        2_100,
        scope,
        OperatorsReport { position: at(4), ..Default::default() },
    );
    assert!(is_out(&fleet));
    apply_report(
        &mut fleet,
        2_200,
        scope,
        OperatorsReport { position: at(6), ..Default::default() },
    );
    assert!(!is_out(&fleet));
}

/// Two nodes whose reads went silent must not keep each other's knowledge current, and a forwarded
/// report may be older than it says.
#[test]
fn only_the_senders_own_read_confirms_knowledge() {
    let reported =
        |read_age_ms| OperatorsReport { position: at(4), read_age_ms, ..Default::default() };
    let mut fleet = support::fleet("node");
    apply(&mut fleet, 1_000, confirmed(4, 1_000));
    apply_report(&mut fleet, 3_000, Scope::DataCentre { nodes: 4, age_ms: 0 }, reported(Some(0)));
    apply_report(&mut fleet, 3_000, Scope::Node, reported(None));
    assert_eq!(fleet.operators.age_ms(3_000), Some(2_000));
    apply_report(&mut fleet, 3_000, Scope::Node, reported(Some(500)));
    assert_eq!(fleet.operators.age_ms(3_000), Some(500));
    assert_eq!(
        fleet.report(3_000).operators.read_age_ms,
        Some(2_000),
        "the node's own read is older"
    );
}

/// A node reads again before an evacuation could be overdue, the watchers first. A watcher that the
/// store failed keeps its bound although another node watches now.
#[test]
fn a_node_reads_again_before_its_knowledge_is_too_old() {
    let mut fleet = support::fleet("node");
    apply(&mut fleet, 1_000, confirmed(4, 1_000));
    let alone = fleet.watch(1_000);
    assert!(alone.is_watcher && alone.wait_ms < alone.max_age_ms);
    assert_eq!(fleet.operators_due_ms(1_000 + alone.max_age_ms), 0);
    // The store fails this node, and the two other nodes watch from now on.
    let due_ms = 1_000 + alone.max_age_ms;
    for name in ["other", "third"] {
        reduce(&mut fleet, due_ms, Event::Peer(report(name)));
    }
    reduce(&mut fleet, due_ms, Event::StoreLost);
    assert!(!fleet.watch(due_ms).is_watcher);
    assert!(fleet.operators_due_ms(due_ms) > 0);
    assert_eq!(fleet.operators_due_ms(1_000 + support::OPERATORS_MAX_AGE_MS), 0);
}

/// Guards against taking the word of a node that has not noticed the restore for newer, because its
/// offset is higher: an evacuation that was ordered after the restore was undone.
#[test]
fn a_lower_offset_of_a_later_era_is_newer() {
    let mut fleet = support::fleet("node");
    apply(&mut fleet, 1_000, confirmed(20, 1_000));
    let evacuated = BTreeSet::from([support::data_centre("a")]);
    let reported = OperatorsReport { position: restored(5), evacuated, ..Default::default() };
    apply_report(&mut fleet, 2_000, Scope::Node, reported);
    assert!(is_out(&fleet));
    let unaware = OperatorsReport { position: at(21), ..Default::default() };
    apply_report(&mut fleet, 2_100, Scope::Node, unaware);
    apply(&mut fleet, 2_200, whole(at(22), false));
    apply(&mut fleet, 2_300, record(23, false));
    apply(&mut fleet, 2_400, confirmed(24, 2_400));
    assert!(is_out(&fleet));
    assert_eq!(fleet.operators.position(), restored(5));
    assert_eq!(fleet.operators.age_ms(2_400), Some(1_400), "the old era confirms nothing");
}

/// Guards against taking an evacuation that a copy lacks for revoked: requests reached the data
/// centre for seconds after the store came back. It ends with a record that revokes it, or when the
/// operators did not write it again.
#[rstest]
#[case::revoked(Some(record_at(restored(6), false)), 2_000)]
#[case::not_written_again(None, RETENTION_MS)]
fn an_evacuation_that_the_copy_lacks_stays_in_force(
    #[case] end: Option<OperatorsUpdate>,
    #[case] ends_after_ms: u64,
) {
    let mut fleet = support::fleet("node");
    apply(&mut fleet, 1_000, confirmed(9, 1_000));
    apply(&mut fleet, 2_000, record(9, true));
    let logged = apply(&mut fleet, 3_000, whole(restored(6), false));
    let [Effect::LogDecision(Decision::StoreRestored { before, position, retained, told_by })] =
        &logged[..]
    else {
        panic!("the restore is not logged: {logged:?}");
    };
    assert_eq!((*before, *position, told_by), (at(10), restored(6), &None));
    assert_eq!(retained, &[support::data_centre("a")]);
    apply(&mut fleet, 3_000, OperatorsUpdate::Confirmed { end: restored(6), as_of_ms: 3_000 });
    reduce(&mut fleet, 3_000 + ends_after_ms - 1, Event::Tick);
    assert!(is_out(&fleet));
    match end {
        Some(record) => _ = apply(&mut fleet, 3_000 + ends_after_ms, record),
        None => _ = reduce(&mut fleet, 3_000 + ends_after_ms, Event::Tick),
    }
    assert!(!is_out(&fleet));
}

/// An evacuation that the operators wrote again stays in force beyond the time for which a node
/// retains one that they did not.
#[test]
fn an_evacuation_that_is_written_again_stays_in_force() {
    let mut fleet = support::fleet("node");
    apply(&mut fleet, 2_000, record(9, true));
    apply(&mut fleet, 3_000, whole(restored(6), false));
    apply(&mut fleet, 4_000, record_at(restored(6), true));
    reduce(&mut fleet, 3_000 + RETENTION_MS, Event::Tick);
    assert!(is_out(&fleet));
}

/// A node that starts after a restore reads a copy that lacks the evacuation. It learns of it from
/// the others, and for no longer than they retain it; a revocation that it read is not undone.
#[rstest]
#[case::from_a_node(Scope::Node)]
#[case::from_a_data_centre(Scope::DataCentre { nodes: 4, age_ms: 0 })]
fn a_node_that_starts_after_a_restore_learns_of_a_retained_evacuation(#[case] scope: Scope) {
    let mut fleet = support::fleet("node");
    apply(&mut fleet, 5_000, whole(restored(6), false));
    let reported = OperatorsReport {
        position: restored(6),
        retained: BTreeSet::from([support::data_centre("a")]),
        era_age_ms: 4_000,
        ..Default::default()
    };
    apply_report(&mut fleet, 5_100, scope, reported.clone());
    assert!(is_out(&fleet));
    reduce(&mut fleet, 1_100 + RETENTION_MS, Event::Tick);
    assert!(!is_out(&fleet));
    let mut informed = support::fleet("node");
    apply(&mut informed, 5_000, whole(restored(6), false));
    apply(&mut informed, 5_050, record_at(restored(6), false));
    apply_report(&mut informed, 5_100, scope, reported);
    assert!(!is_out(&informed));
}
