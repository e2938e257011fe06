//! Tests of what the silence of a group or of its members leads to.

use balsam_fleet::Event;
use rstest::rstest;

use crate::planning_node::PlanningNode;
use crate::planning_node::TICK_MS;
use crate::support;
use crate::support::vm;

/// A sound server may fall silent for a while and go on. The planning node ordered such a group to
/// leave after 2 s without an event, which broke off the answers of all nodes.
#[rstest]
fn a_group_that_goes_on_after_a_silence_is_kept(
    #[values(1_000, 2_100, 3_000, 4_500)] silent_ms: u64,
) {
    let mut node = PlanningNode::new(vec![support::head("one", 1)]);
    let attempt_id = node.send().unwrap();
    node.run_with_progress(500);
    node.run(silent_ms);
    assert_eq!(node.tried_elsewhere.contains(&attempt_id), silent_ms > 2_000);
    node.run_with_progress(4_000);
    assert!(!node.has_dissolved_a_group(), "{:?}", node.orders);
    assert!(node.send().is_some(), "the group is used again");
}

/// A group that serves nothing for long must be replaced. Its head reports a lost member after 5 s;
/// one that reports nothing then is dissolved.
#[test]
fn a_group_that_stays_silent_is_dissolved() {
    let mut node = PlanningNode::new(vec![support::head("one", 1)]);
    node.send().unwrap();
    node.run_with_progress(500);
    node.run(4_800);
    assert!(!node.has_dissolved_a_group(), "{:?}", node.orders);
    node.run(500);
    assert!(node.has_dissolved_a_group());
}

/// Callers leave a silent group, so that nothing shows whether it goes on. It is tried again, and is
/// dissolved if it is still silent.
#[rstest]
fn a_silent_group_that_its_callers_left_is_tried_again(#[values(false, true)] goes_on: bool) {
    let mut node = PlanningNode::new(vec![support::head("one", 1)]);
    let attempt_id = node.send().unwrap();
    node.run_with_progress(500);
    node.run(2_400);
    node.cancel(attempt_id);
    node.run(1_000);
    assert_eq!(node.send(), None, "it is not used for now");
    node.run(2_000);
    assert!(!node.has_dissolved_a_group(), "{:?}", node.orders);
    assert!(node.send().is_some(), "it is tried again");
    match goes_on {
        true => node.run_with_progress(2_500),
        false => node.run(2_500),
    }
    assert_eq!(node.has_dissolved_a_group(), !goes_on, "{:?}", node.orders);
}

/// A sound server that falls silent for a second or so answers no probe either, and a node that is
/// starved of processor time reads its answers late. One probe without an answer in 220 ms was taken
/// for the death of the member, and its group was ordered to leave.
#[rstest]
fn a_member_that_answers_after_a_silence_keeps_its_group(
    #[values(300, 1_000, 1_800)] silent_ms: u64,
) {
    let mut node = PlanningNode::new(vec![support::head("one", 1)]);
    let attempt_id = node.send().unwrap();
    node.run_with_progress(500);
    node.silent.insert(vm("one"));
    node.run(silent_ms);
    node.silent.clear();
    node.run_with_progress(4_000);
    assert!(node.tried_elsewhere.contains(&attempt_id), "another attempt starts");
    assert!(!node.has_dissolved_a_group(), "{:?}", node.orders);
    assert!(node.send().is_some(), "the group is used again");
}

/// A dead member must still end its group: at once if nothing listens at its address, and when it has
/// been silent for longer than a sound server may be.
#[rstest]
#[case::ended(true, 1_000)]
#[case::silent(false, 3_200)]
fn a_dead_member_ends_its_group(#[case] is_ended: bool, #[case] within_ms: u64) {
    let mut node = PlanningNode::new(vec![support::head("one", 1)]);
    node.send().unwrap();
    node.run_with_progress(500);
    let unanswering = if is_ended { &mut node.ended } else { &mut node.silent };
    unanswering.insert(vm("one"));
    node.run(within_ms);
    assert!(node.has_dissolved_a_group(), "{:?}", node.orders);
}

/// Probes that are unanswered once in a while are no silence: the first counted with a later one as
/// if the endpoint had been silent in between.
#[test]
fn unanswered_probes_far_apart_are_no_silence() {
    let mut node = PlanningNode::new(vec![support::head("one", 1)]);
    for _ in 0..3 {
        node.hear_and_renew();
        node.apply(Event::ProbeUnanswered(vm("one")));
        // Without a tick, the node sends no further probe.
        for _ in 0..40 {
            node.now_ms += TICK_MS;
            node.apply(Event::QuarantineRead(Vec::new()));
        }
    }
    node.run(100);
    assert!(!node.has_dissolved_a_group(), "{:?}", node.orders);
}
