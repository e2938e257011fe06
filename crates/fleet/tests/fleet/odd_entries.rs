//! Tests of entries of endpoints with numbers at the limits of their types.

use balsam_fleet::Arrival;
use balsam_fleet::Effect;
use balsam_fleet::Endpoint;
use balsam_fleet::Event;
use balsam_fleet::Fleet;
use balsam_fleet::directory::ListChange;
use balsam_fleet::endpoint::Membership;
use balsam_fleet::reduce;
use balsam_types::PoolName;

use crate::simulation::Simulation;
use crate::support;
use crate::support::arrival;
use crate::support::dispatched;
use crate::support::vm;

const NOW_MS: u64 = 1_000;

/// A fleet with two endpoints of a plain service that state the highest number of slots.
fn fleet() -> Fleet {
    let mut fleet = support::fleet("node");
    let endpoint =
        |name, port| Endpoint { pool: pool(), slots: u32::MAX, ..support::endpoint(name, port) };
    let endpoints = vec![endpoint("one", 1), endpoint("two", 2)];
    reduce(&mut fleet, NOW_MS, Event::Configuration(support::configuration(1).into()));
    reduce(&mut fleet, NOW_MS, Event::List(ListChange::Whole(endpoints)));
    fleet
}

fn pool() -> PoolName {
    PoolName::try_from("ledger").unwrap()
}

fn plain(attempt_id: u64) -> Arrival {
    Arrival { pool: pool(), model: None, ..arrival(attempt_id, NOW_MS) }
}

/// Guards against an overflow of the slots and the queue of one endpoint, after which the node
/// served no more.
#[test]
fn an_endpoint_with_the_most_slots_takes_requests() {
    let effects = reduce(&mut fleet(), NOW_MS, Event::Arrive(plain(1)));
    assert!(dispatched(&effects, 1).is_some(), "{effects:?}");
}

/// Guards against an overflow of the sum of all slots, when a request has been at each endpoint.
#[test]
fn the_slots_of_all_endpoints_may_exceed_a_word() {
    let tried = vec![vm("one"), vm("two")];
    let effects = reduce(&mut fleet(), NOW_MS, Event::Arrive(Arrival { tried, ..plain(1) }));
    assert!(matches!(effects[..], [Effect::Refuse { attempt_id: 1, .. }]), "{effects:?}");
}

/// Guards against an entry of another writer whose epoch leaves no number for later groups.
#[test]
fn groups_form_after_an_entry_with_the_last_epoch() {
    let mut simulation = Simulation::new(1);
    let odd = simulation.hosts.values_mut().next().unwrap();
    let last = support::head("odd", 9).membership.unwrap();
    odd.entry.membership = Some(Membership { epoch: u64::MAX, rank: 1, ..last });
    simulation.run(6_000);
    let serving = simulation.serving();
    assert!(serving[&support::model(support::SMALL)] >= 17, "{serving:?}");
    assert!(simulation.violations.is_empty(), "{:?}", simulation.violations);
}
