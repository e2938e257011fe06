//! Changes of the list that one node passes on to others.

use balsam_relay::ChangedRecord;
use balsam_relay::ListNews;
use balsam_relay::Place;
use rstest::rstest;

/// The list has no record of heartbeats without news, so most reads find nothing. Ignoring what they
/// say made a follower believe that the list had been away for seconds; it then kept an endpoint
/// that had left for 2.2 s and sent to it (DRAIN on a mixed day, seed 791495923025).
#[rstest]
#[case::nothing_new(267, 267, 267, Place::Next)]
#[case::more(267, 271, 267, Place::Next)]
#[case::overlapping(260, 271, 267, Place::Next)]
#[case::read_before(250, 260, 267, Place::Old)]
#[case::missed(268, 271, 267, Place::Gap)]
fn news_are_placed_by_the_position_read(
    #[case] from: u64,
    #[case] to: u64,
    #[case] position: u64,
    #[case] expected: Place,
) {
    let news = ListNews { from, to, records: Vec::new() };
    assert_eq!(news.place(position), expected);
}

/// When the groups of 760 endpoints formed, more changed between two reads than fits into a
/// datagram; nothing was sent, and each of 195 nodes read the list itself.
#[test]
fn news_that_are_too_long_go_in_parts_without_a_gap() {
    let changed = |at| ChangedRecord { at, record: vec![0; 400] };
    let parts = ListNews::split(100, 150, vec![changed(101), changed(120), changed(140)], 1_000);
    let spans: Vec<(u64, u64, usize)> =
        parts.iter().map(|part| (part.from, part.to, part.records.len())).collect();
    assert_eq!(spans, [(100, 140, 2), (140, 150, 1)]);
    assert_eq!(ListNews::split(7, 7, Vec::new(), 1_000).len(), 1, "news without a change");
}
