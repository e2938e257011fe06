//! Tests of a planning node whose list of endpoints is older than its lease.

use balsam_fleet::Event;
use balsam_fleet::Fleet;
use balsam_fleet::StorePosition;
use balsam_fleet::directory::ListChange;
use balsam_fleet::event::Effect;
use balsam_fleet::event::LeaseEvent;
use balsam_fleet::event::PeerReport;
use balsam_fleet::reduce;
use rstest::rstest;

use crate::load;
use crate::planning_node::TICK_MS;
use crate::support;

/// When the list was first read, and when the lease is taken.
const LISTED_MS: u64 = 10_000;
const LEASE_MS: u64 = 13_000;

/// Time for which orders of the previous planning node may still be under way.
const TAKEOVER_MS: u64 = 400;

/// Age from which a list counts as unavailable.
const OUTAGE_MS: u64 = 1_500;

/// A node that takes the planner lease with free endpoints on its list.
struct Successor {
    fleet: Fleet,
    now_ms: u64,
    orders: usize,
}

impl Successor {
    fn new() -> Self {
        let mut node = Self { fleet: support::fleet("node"), now_ms: LISTED_MS, orders: 0 };
        node.apply(Event::Configuration(support::configuration(1).into()));
        let free = (1..=4).map(|i| support::endpoint(&format!("a-{i}"), i));
        node.apply(Event::List(ListChange::Whole(free.collect())));
        node.apply(Event::ListRead { begun_ms: LISTED_MS });
        node.now_ms = LEASE_MS;
        node.renew();
        node
    }

    fn renew(&mut self) {
        if self.fleet.lease.held(self.now_ms + 500).is_none() {
            let at = StorePosition { era: 0, offset: self.now_ms / 500 };
            let sent_ms = self.now_ms;
            self.apply(Event::Lease(LeaseEvent::Appended { sent_ms, at, era: 0 }));
        }
    }

    /// Plans until a time, with a read of the list that begins and ends in each tick if `reads`.
    fn run_until(&mut self, end_ms: u64, reads: bool) {
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            self.renew();
            if reads {
                self.apply(Event::ListRead { begun_ms: self.now_ms });
            }
            self.apply(Event::Tick);
        }
    }

    fn apply(&mut self, event: Event) {
        let effects = reduce(&mut self.fleet, self.now_ms, event);
        self.orders += effects.iter().filter(|e| matches!(e, Effect::Order { .. })).count();
    }
}

/// A node that the store had turned away took the planner lease and ordered endpoints that were free
/// on its old list, one of them the head of an open group, into another group (TWO; review/6).
#[rstest]
#[case::read_before_the_lease(LISTED_MS)]
#[case::read_while_the_lease_was_taken(LEASE_MS - 1)]
#[case::read_while_orders_were_under_way(LEASE_MS + TAKEOVER_MS - 1)]
fn a_new_planner_gives_no_orders_on_a_list_of_the_last_term(#[case] begun_ms: u64) {
    let mut node = Successor::new();
    node.run_until(LEASE_MS + TAKEOVER_MS + TICK_MS, false);
    node.apply(Event::ListRead { begun_ms });
    node.run_until(LEASE_MS + 3_000, false);
    assert_eq!(node.orders, 0);
    node.run_until(LEASE_MS + 4_000, true);
    assert!(node.orders > 0, "a later read of the list allows orders");
}

/// Guards against a pause of planning after each change of the planning node.
#[test]
fn a_new_planner_plans_after_its_first_read() {
    let mut node = Successor::new();
    node.run_until(LEASE_MS + TAKEOVER_MS + TICK_MS, true);
    assert!(node.orders > 0);
}

/// A lease that is renewed while reads of the list fail must not let the node plan on what it read
/// at the start of its term, nor keep others from planning.
#[test]
fn a_planner_that_cannot_read_the_list_stops_and_hands_over() {
    let mut node = Successor::new();
    let report = |node: &mut Successor, has_store| {
        let report = PeerReport { has_store, ..load::report("other") };
        node.apply(Event::Peer(report));
        node.fleet.should_hand_over_planning(node.now_ms)
    };
    node.run_until(LEASE_MS + 2_000, true);
    assert!(!report(&mut node, true), "the list was just read");
    node.run_until(LEASE_MS + 2_000 + OUTAGE_MS + 2 * TICK_MS, false);
    let free = support::endpoint("b-1", 11);
    node.apply(Event::List(ListChange::Put(Box::new(free))));
    let orders = node.orders;
    node.run_until(node.now_ms + 1_000, false);
    assert_eq!(node.orders, orders, "no orders");
    assert!(!report(&mut node, false), "no other node gets answers of the store");
    assert!(report(&mut node, true));
}
