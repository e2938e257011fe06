//! Tests of what the silence of a group leads to while its members answer.

use rstest::rstest;

use crate::planning_node::PlanningNode;
use crate::support;

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
