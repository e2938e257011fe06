//! Tests of the updates by which a node sends changes to the list of endpoints to others.

use balsam_fleet::StorePosition;
use balsam_relay::ChangedRecord;
use balsam_relay::Continuity;
use balsam_relay::ListUpdate;
use rstest::rstest;

/// Guards against ignoring updates without changes, which most reads produce, as the list does not
/// record heartbeats that change nothing. A follower then believed that the list had been
/// unavailable for seconds, and kept sending to an endpoint for 2.2 s after it had left (DRAIN on a
/// mixed day, seed 791495923025).
#[rstest]
#[case::nothing_new(267, 267, 267, Continuity::Contiguous)]
#[case::more_records(267, 271, 267, Continuity::Contiguous)]
#[case::overlapping(260, 271, 267, Continuity::Contiguous)]
#[case::read_before(250, 260, 267, Continuity::Stale)]
#[case::missed(268, 271, 267, Continuity::Gap)]
fn an_update_is_related_to_the_offset_read(
    #[case] from: u64,
    #[case] to: u64,
    #[case] offset_read: u64,
    #[case] expected: Continuity,
) {
    let update = ListUpdate { era: 1, from, to, records: Vec::new() };
    assert_eq!(update.continuity_from(at(1, offset_read)), expected);
}

/// Guards against relating offsets of different eras: a node that had read on before the store came
/// back from a copy took the updates of one that had read the copy for old ones.
#[rstest]
#[case::lower_offsets_of_a_later_era(2, 250, 260, Continuity::Gap)]
#[case::equal_offsets_of_a_later_era(2, 267, 267, Continuity::Gap)]
#[case::higher_offsets_of_an_earlier_era(0, 268, 271, Continuity::Outdated)]
fn an_update_of_another_era_does_not_continue_the_list(
    #[case] era: u64,
    #[case] from: u64,
    #[case] to: u64,
    #[case] expected: Continuity,
) {
    let update = ListUpdate { era, from, to, records: Vec::new() };
    assert_eq!(update.continuity_from(at(1, 267)), expected);
}

fn at(era: u64, offset: u64) -> StorePosition {
    StorePosition { era, offset }
}

/// Guards against dropping changes that exceed one datagram. When the groups of 760 endpoints
/// formed, nothing was sent, and each of 195 nodes read the list itself.
#[test]
fn a_long_update_is_split_into_parts_without_a_gap() {
    let changed = |offset| ChangedRecord { offset, record: vec![0; 400] };
    let parts = ListUpdate::split(
        at(1, 100),
        at(1, 150),
        vec![changed(101), changed(120), changed(140)],
        1_000,
    );
    let spans: Vec<(u64, u64, usize)> =
        parts.iter().map(|part| (part.from, part.to, part.records.len())).collect();
    assert_eq!(spans, [(100, 140, 2), (140, 150, 1)]);
    assert_eq!(
        ListUpdate::split(at(1, 7), at(1, 7), Vec::new(), 1_000).len(),
        1,
        "an update without changes"
    );
}
