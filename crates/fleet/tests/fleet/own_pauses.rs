//! Tests of what a node concludes from a time in which it did not run itself.

use balsam_fleet::Effect;
use balsam_fleet::Endpoint;
use balsam_fleet::Event;
use balsam_fleet::Order;
use balsam_fleet::directory::ListChange;
use balsam_fleet::endpoint::MemberState;
use balsam_fleet::endpoint::Membership;
use balsam_fleet::event::Decision;
use balsam_fleet::event::OrderAnswer;
use balsam_fleet::reduce;
use rstest::rstest;

use crate::planning_node::PlanningNode;
use crate::planning_node::TICK_MS;
use crate::support;
use crate::support::vm;

/// A planning node that was stopped measured its own pause as silence of all groups, and when it
/// went on it ordered live groups to leave, which breaks off the answers of all nodes.
#[rstest]
fn a_node_that_was_paused_keeps_the_groups(
    #[values(300, 1_000, 2_100, 4_000, 30_000)] pause_ms: u64,
) {
    let mut node = PlanningNode::new(vec![support::head("one", 1), support::head("two", 2)]);
    let attempts = [(); 6].map(|()| node.send().unwrap());
    node.run_with_progress(1_000);
    node.pause(pause_ms);
    node.run_with_progress(3_000);
    assert!(!node.has_dissolved_a_group(), "{:?}", node.orders);
    assert!(node.tried_elsewhere.is_empty(), "{:?} of {attempts:?}", node.tried_elsewhere);
    assert!(node.send().is_some(), "the groups are used");
}

/// The silence before and after a pause still counts: a group that died in the pause was kept.
#[test]
fn a_group_that_is_silent_after_a_pause_is_lost() {
    let mut node = PlanningNode::new(vec![support::head("one", 1)]);
    let attempt_id = node.send().unwrap();
    node.run_with_progress(500);
    node.pause(3_000);
    node.ended.insert(vm("one"));
    node.run(2_000);
    assert!(node.tried_elsewhere.contains(&attempt_id));
    assert!(node.has_dissolved_a_group());
}

/// A node that goes on finds its probes timed out before it has read their answers. Its members were
/// taken for dead, and their group was ordered to leave.
#[test]
fn a_probe_that_timed_out_in_a_pause_is_sent_again() {
    let mut node = PlanningNode::new(vec![support::head("one", 1), support::head("two", 2)]);
    node.send().unwrap();
    node.run_with_progress(500);
    node.now_ms += 1_000;
    node.hear_and_renew();
    node.apply(Event::Probed { vm: vm("one"), is_alive: false });
    assert_eq!(node.probed, [vm("one")]);
    node.run_with_progress(2_000);
    assert!(!node.has_dissolved_a_group(), "{:?}", node.orders);
    assert!(node.tried_elsewhere.is_empty());
}

/// The head of a group leaves the list and serves on. Orders and a probe that timed out in pauses of
/// the node counted as unanswered, so that the head was taken for dead: its member was free for
/// another group while the head served with it.
#[test]
fn orders_that_timed_out_in_pauses_are_not_unanswered() {
    let head = support::head("one", 1);
    let group = head.membership.clone().unwrap();
    let membership = Membership { rank: 1, state: MemberState::Ready, ..group.clone() };
    let member = Endpoint { membership: Some(membership), ..support::endpoint("member", 3) };
    let mut node = PlanningNode::new(vec![head, member]);
    node.apply(Event::List(ListChange::Removed(vm("one"))));
    node.run(50);
    assert!(node.has_dissolved_a_group());
    let order = Order::Leave { group: group.group, epoch: group.epoch };
    let unanswered = || Event::OrderAnswered {
        vm: vm("one"),
        order: order.clone(),
        answer: OrderAnswer::Unanswered,
    };
    for _ in 0..2 {
        node.now_ms += 1_000;
        node.hear_and_renew();
        node.apply(unanswered());
        node.apply(Event::Probed { vm: vm("one"), is_alive: false });
    }
    node.apply(Event::Tick);
    node.orders.clear();
    node.run(600);
    assert!(node.has_dissolved_a_group(), "the head is still asked to leave: {:?}", node.orders);
}

/// Entries that lapse around an outage of the list are kept until they can be back. A node that was
/// paused for that long had not read whether they were, and took live heads for gone.
#[test]
fn the_grace_of_a_lapsed_entry_does_not_end_in_a_pause() {
    let (one, two) = (support::head("one", 1), support::head("two", 2));
    let mut node = PlanningNode::new(vec![one.clone(), two.clone()]);
    node.run(3_000);
    node.apply(Event::List(ListChange::Whole(vec![one])));
    node.run(500);
    node.pause(2_500);
    assert!(node.fleet.directory.get(&vm("two")).is_some());
    node.apply(Event::List(ListChange::Put(Box::new(two))));
    node.run(3_000);
    assert!(node.fleet.directory.get(&vm("two")).is_some());
    assert!(!node.has_dissolved_a_group(), "{:?}", node.orders);
}

/// Without a line in the log, a pause of a node cannot be told from silence of its endpoints.
#[test]
fn a_pause_is_logged() {
    let mut node = PlanningNode::new(vec![support::head("one", 1)]);
    let effects = reduce(&mut node.fleet, node.now_ms + 700, Event::Tick);
    let is_logged = |effect: &Effect| {
        matches!(effect, Effect::LogDecision(Decision::OwnPause { paused_ms: 700 }))
    };
    assert!(effects.iter().any(is_logged), "{effects:?}");
}

/// Every probe of a node that pauses again and again may time out in a pause. Each was sent again at
/// once and never counted, so a dead member was never found and probes had no bound.
#[rstest]
fn a_node_that_pauses_again_and_again_finds_a_dead_member(
    #[values(false, true)] is_refused: bool,
    #[values(300, 600)] pause_ms: u64,
) {
    let mut node = PlanningNode::new(vec![support::head("one", 1), support::head("two", 2)]);
    while node.send().is_some_and(|attempt_id| node.head_of(attempt_id) != vm("one")) {}
    node.run_with_progress(500);
    let unanswering = if is_refused { &mut node.ended } else { &mut node.silent };
    unanswering.insert(vm("one"));
    node.probed.clear();
    let mut running_ms = 0;
    while !node.has_dissolved_a_group() && running_ms < 10_000 {
        node.pause(pause_ms);
        node.run(2 * TICK_MS);
        running_ms += 2 * TICK_MS;
    }
    let probes = node.probed.iter().filter(|probed| **probed == vm("one")).count();
    assert!(node.has_dissolved_a_group(), "not found in {running_ms} ms, {probes} probes");
    assert!(running_ms <= 4_000 && probes <= 30, "{running_ms} ms, {probes} probes");
}

/// A node that pauses again and again must not take an endpoint for dead that answers each probe, or
/// that is silent for a second or so and goes on.
#[rstest]
fn a_node_that_pauses_again_and_again_keeps_sound_members(
    #[values(0, 1_000, 1_800)] silent_ms: u64,
    #[values(300, 600)] pause_ms: u64,
) {
    let mut node = PlanningNode::new(vec![support::head("one", 1), support::head("two", 2)]);
    while node.send().is_some_and(|attempt_id| node.head_of(attempt_id) != vm("one")) {}
    node.run_with_progress(500);
    node.silent.insert(vm("one"));
    let silent_until_ms = node.now_ms + silent_ms;
    for _ in 0..30 {
        if node.now_ms >= silent_until_ms {
            node.silent.clear();
        }
        node.pause(pause_ms);
        node.run_with_progress(2 * TICK_MS);
    }
    assert!(!node.has_dissolved_a_group(), "{:?}", node.orders);
}
