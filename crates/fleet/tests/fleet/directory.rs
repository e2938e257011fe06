//! Tests of the list of endpoints through outages.

use balsam_fleet::Endpoint;
use balsam_fleet::directory::Directory;
use balsam_fleet::directory::ListChange;

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
