//! Tests of the list of endpoints through outages.

use balsam_fleet::Endpoint;
use balsam_fleet::directory::Directory;
use balsam_fleet::directory::LAPSE_GRACE_MS;
use balsam_fleet::directory::ListChange;
use rstest::rstest;

use crate::support::endpoint;
use crate::support::vm;

fn listed() -> Directory {
    let mut directory = Directory::default();
    directory.apply(1_000, ListChange::Whole(vec![endpoint("one", 1), endpoint("two", 2)]));
    directory
}

/// Entries lapse while the store is unavailable and return within about two seconds after it.
/// Without the grace period every endpoint was removed at the moment of the return.
#[test]
fn a_lapsed_entry_is_kept_for_a_grace_period_after_an_outage() {
    let mut directory = listed();
    directory.apply(6_000, ListChange::Removed(vm("one")));
    assert!(directory.get(&vm("one")).is_some());
    assert!(directory.expire(8_100).is_empty());
    let removed = directory.expire(8_300);
    assert_eq!(removed.len(), 1, "an entry that is still missing is removed");
    assert!(directory.get(&vm("one")).is_none());
}

/// An endpoint that left the list while the list was being read must get no more requests.
#[test]
fn an_entry_removed_without_an_outage_is_dropped_at_once() {
    let mut directory = listed();
    directory.apply(1_400, ListChange::Unchanged);
    let applied = directory.apply(1_800, ListChange::Removed(vm("one")));
    assert_eq!(applied.removed.len(), 1);
}

/// A heartbeat without changes must not rebuild the table of servers; with 900 endpoints this alone
/// would occupy a core.
#[test]
fn an_unchanged_heartbeat_changes_nothing() {
    let mut directory = listed();
    let applied = directory.apply(1_200, ListChange::Put(Box::new(endpoint("one", 1))));
    assert!(!applied.is_changed);
    let mut draining = endpoint("one", 1);
    draining.is_draining = true;
    assert!(directory.apply(1_400, ListChange::Put(Box::new(draining))).is_changed);
}

/// An old heartbeat that arrives late shows a head without the group that it serves; its members
/// were then assigned to other groups.
#[test]
fn an_old_heartbeat_changes_nothing() {
    let mut directory = listed();
    let newer = Endpoint { sequence: 9, slots: 6, ..endpoint("one", 1) };
    directory.apply(1_200, ListChange::Put(Box::new(newer)));
    let older = Endpoint { sequence: 8, slots: 4, ..endpoint("one", 1) };
    assert!(!directory.apply(1_300, ListChange::Put(Box::new(older))).is_changed);
    assert_eq!(directory.get(&vm("one")).map(|e| e.slots), Some(6));
    let restarted = Endpoint { started_unix_ms: 5, slots: 5, ..endpoint("one", 1) };
    assert!(directory.apply(1_400, ListChange::Put(Box::new(restarted))).is_changed);
}

/// Guards against using an endpoint that has left because a copy of the store still shows it: an
/// incarnation that was gone or draining stays so until a later entry shows that it lives.
#[rstest]
#[case::last_entry(9, 5)]
#[case::earlier_entry(8, 5)]
#[case::earlier_start(12, 4)]
fn an_endpoint_that_left_does_not_return_with_a_copy(#[case] sequence: u64, #[case] start: u64) {
    let entry =
        |sequence, started_unix_ms| Endpoint { sequence, started_unix_ms, ..endpoint("one", 1) };
    let mut directory = listed();
    directory.apply(1_200, ListChange::Put(Box::new(entry(9, 5))));
    directory.apply(1_600, ListChange::Removed(vm("one")));
    let copy = || ListChange::Restored(vec![entry(sequence, start), endpoint("two", 2)]);
    directory.apply(2_000, copy());
    assert!(directory.get(&vm("one")).is_none());
    directory.apply(2_400, ListChange::Put(Box::new(entry(10, 5))));
    assert!(directory.get(&vm("one")).is_some(), "a later entry shows that it lives");
    directory
        .apply(2_600, ListChange::Put(Box::new(Endpoint { is_draining: true, ..entry(11, 5) })));
    directory.apply(3_000, copy());
    let is_draining = directory.get(&vm("one")).map(|endpoint| endpoint.is_draining);
    assert_eq!(is_draining, Some(true));
}

/// Guards against removing endpoints that the copy lacks: those that registered since write their
/// entries again within about two seconds. Ones that were draining are not kept.
#[test]
fn an_entry_that_a_copy_lacks_is_kept_for_a_grace_period() {
    let mut directory = listed();
    let draining = Endpoint { is_draining: true, sequence: 1, ..endpoint("two", 2) };
    directory.apply(1_200, ListChange::Put(Box::new(draining)));
    let applied = directory.apply(1_600, ListChange::Restored(Vec::new()));
    assert_eq!(applied.removed.iter().map(|e| &e.vm).collect::<Vec<_>>(), [&vm("two")]);
    assert!(directory.get(&vm("one")).is_some());
    directory.apply(2_000, ListChange::Whole(Vec::new()));
    assert!(directory.expire(1_600 + LAPSE_GRACE_MS - 1).is_empty());
    let removed = directory.expire(1_600 + LAPSE_GRACE_MS);
    assert_eq!(removed.len(), 1, "an entry that is still missing is removed");
}

/// Guards against keeping the return of a lapsed endpoint from the other nodes of the data centre,
/// which the reader of the list tells of changes only: they removed it when the grace period ended.
#[test]
fn the_entry_of_a_lapsed_endpoint_is_a_change() {
    let mut directory = listed();
    assert!(directory.matches_known(&endpoint("one", 1)));
    directory.apply(6_000, ListChange::Removed(vm("one")));
    assert!(!directory.matches_known(&endpoint("one", 1)));
    directory.apply(6_400, ListChange::Put(Box::new(endpoint("one", 1))));
    assert!(directory.matches_known(&endpoint("one", 1)));
}
