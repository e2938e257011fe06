//! Tests of the configuration of a node whose store came back from a copy.

use balsam_fleet::Configuration;
use balsam_fleet::Event;
use balsam_fleet::Fleet;
use balsam_fleet::StorePosition;
use balsam_fleet::configuration::Access;
use balsam_fleet::directory::ListChange;
use balsam_fleet::event::PeerReport;
use balsam_fleet::operators::OperatorsReport;
use balsam_fleet::operators::OperatorsUpdate;
use balsam_fleet::operators::RETENTION_MS;
use balsam_fleet::reduce;
use rstest::rstest;

use crate::load::report;
use crate::support;

const STARTED_MS: u64 = 20_000;

/// Returns a position after the store came back from a copy.
fn restored(offset: u64) -> StorePosition {
    StorePosition { era: 2, offset }
}

/// Returns a node that has just started and read version 4 from the store, up to a position.
fn starting_node(end: StorePosition) -> Fleet {
    let mut fleet = support::fleet("node");
    let configuration = Event::Configuration(support::configuration(4).into());
    reduce(&mut fleet, STARTED_MS, configuration);
    reduce(&mut fleet, STARTED_MS, Event::List(ListChange::Whole(Vec::new())));
    let read = OperatorsUpdate::Confirmed { end, as_of_ms: STARTED_MS };
    reduce(&mut fleet, STARTED_MS, Event::Operators(read));
    fleet
}

fn apply_report(fleet: &mut Fleet, now_ms: u64, version: u64, position: StorePosition) {
    let operators = OperatorsReport { position, era_age_ms: 1_000, ..OperatorsReport::default() };
    let report = PeerReport { version, operators, ..report("other") };
    reduce(fleet, now_ms, Event::Peer(report));
}

/// Guards against serving by the configuration of a copy while a live node has a newer one that the
/// store lost, and against waiting for a version that may never be written again.
#[rstest]
#[case::it_has_read_the_copy(restored(5))]
#[case::it_has_not_read_the_copy(StorePosition { era: 1, offset: 9 })]
fn a_starting_node_waits_for_a_version_that_the_store_lost(#[case] position: StorePosition) {
    let mut fleet = starting_node(restored(5));
    let end_ms = STARTED_MS + RETENTION_MS;
    for now_ms in (STARTED_MS + 100..end_ms + 2_000).step_by(100) {
        apply_report(&mut fleet, now_ms, 7, position);
        let is_bound_reached = match position.era {
            // The other node saw the era one second before its first report arrived.
            2 => now_ms >= end_ms + 100 - 1_000,
            _ => now_ms >= end_ms,
        };
        assert_eq!(fleet.is_ready(now_ms), is_bound_reached, "at {now_ms} ms");
        assert_eq!(fleet.configuration_to_serve(now_ms).is_some(), is_bound_reached);
    }
}

/// Guards against one node with a version that the store lost making all running nodes refuse.
#[test]
fn a_node_that_started_before_the_restore_goes_on() {
    let mut fleet = starting_node(StorePosition { era: 1, offset: 5 });
    let restored_ms = STARTED_MS + 5_000;
    let read = OperatorsUpdate::Confirmed { end: restored(5), as_of_ms: restored_ms };
    reduce(&mut fleet, restored_ms, Event::Operators(read));
    apply_report(&mut fleet, restored_ms + 100, 7, restored(5));
    assert!(fleet.is_ready(restored_ms + 200));
    assert!(fleet.configuration_to_serve(restored_ms + 200).is_some());
}

/// Guards against refusing requests for as long as it takes to forget a node that is gone, and after
/// the newer version was read.
#[rstest]
#[case::the_other_node_is_gone(None, 2_100)]
#[case::the_version_is_written_again(Some(7), 0)]
#[case::a_newer_one_is_written(Some(9), 0)]
fn a_starting_node_serves_as_soon_as_it_may(#[case] written: Option<u64>, #[case] after_ms: u64) {
    let mut fleet = starting_node(restored(5));
    let now_ms = STARTED_MS + 100;
    apply_report(&mut fleet, now_ms, 7, restored(5));
    assert!(!fleet.is_ready(now_ms + 500));
    if let Some(version) = written {
        let configuration = Event::Configuration(support::configuration(version).into());
        reduce(&mut fleet, now_ms + 500, configuration);
    }
    assert!(fleet.is_ready(now_ms + 500 + after_ms));
}

/// Guards against refusing requests at each change of the configuration: another node may only have
/// read it earlier.
#[rstest]
#[case::the_store_was_never_restored(1, 5, 5)]
#[case::the_other_node_has_read_on(2, 5, 6)]
fn a_version_that_can_still_be_read_refuses_nothing(
    #[case] era: u64,
    #[case] own: u64,
    #[case] other: u64,
) {
    let mut fleet = starting_node(StorePosition { era, offset: own });
    let now_ms = STARTED_MS + 100;
    apply_report(&mut fleet, now_ms, 7, StorePosition { era, offset: other });
    assert!(fleet.is_ready(now_ms));
    assert!(fleet.configuration_to_serve(now_ms).is_some());
}

/// Guards against a node that serves from a copy before it can know what other nodes retain, and
/// against a first start or a lone node that waits longer than it must.
#[test]
fn a_node_that_starts_after_a_restore_hears_another_one_first() {
    let first_start = starting_node(StorePosition { era: 1, offset: 5 });
    assert!(first_start.is_ready(STARTED_MS));
    let alone = starting_node(restored(5));
    assert!(!alone.is_ready(STARTED_MS + 999));
    assert!(alone.is_ready(STARTED_MS + 1_000));
    let mut fleet = starting_node(restored(5));
    assert!(!fleet.is_ready(STARTED_MS + 90));
    apply_report(&mut fleet, STARTED_MS + 100, 4, restored(5));
    assert!(fleet.is_ready(STARTED_MS + 100));
}

/// Guards against keeping the content of a version that the store lost and that was written again
/// with other content, and against going back to an older version.
#[test]
fn a_version_written_again_with_other_content_replaces_the_lost_one() {
    let mut fleet = starting_node(restored(5));
    let requires_key = |fleet: &Fleet| fleet.configuration.as_ref().unwrap().access != Access::Open;
    let version =
        |version| Configuration { access: Access::default(), ..support::configuration(version) };
    reduce(&mut fleet, STARTED_MS, Event::Configuration(version(3).into()));
    assert!(!requires_key(&fleet));
    reduce(&mut fleet, STARTED_MS, Event::Configuration(version(4).into()));
    assert!(requires_key(&fleet));
    let unchanged = reduce(&mut fleet, STARTED_MS, Event::Configuration(version(4).into()));
    assert!(unchanged.is_empty(), "a configuration that changes nothing is not logged");
}
