//! Tests of what endpoints announce in their answers: that they leave or want a pause.

use balsam_fleet::Arrival;
use balsam_fleet::Effect;
use balsam_fleet::Endpoint;
use balsam_fleet::Event;
use balsam_fleet::Fleet;
use balsam_fleet::directory::ListChange;
use balsam_fleet::event::AttemptOutcome;
use balsam_fleet::event::LostGroup;
use balsam_fleet::event::PeerReport;
use balsam_fleet::reduce;
use rstest::rstest;

use crate::load::report;
use crate::support;
use crate::support::arrival;
use crate::support::dispatched;
use crate::support::vm;

const PAUSE_MS: u64 = 3_000;

fn fleet(endpoints: Vec<Endpoint>) -> Fleet {
    let mut fleet = support::fleet("node");
    reduce(&mut fleet, 1_000, Event::Configuration(support::configuration(1).into()));
    reduce(&mut fleet, 1_000, Event::List(ListChange::Whole(endpoints)));
    fleet
}

fn leaving() -> Event {
    Event::EndpointLeaving(vm("one"))
}

fn paused() -> Event {
    Event::EndpointPaused { vm: vm("one"), pause_ms: PAUSE_MS }
}

/// Queued requests, first attempts and retries must all respect the notice of an endpoint: the
/// rules DRAIN and BUDGET count each request that it gets after it.
#[rstest]
#[case::leaving(leaving())]
#[case::paused(paused())]
fn no_request_is_sent_to_a_leaving_or_paused_endpoint(#[case] notice: Event) {
    let mut fleet = fleet(vec![support::head("one", 1)]);
    // A full group with one queued request.
    for attempt_id in 1..=17 {
        reduce(&mut fleet, 1_000, Event::Arrive(arrival(attempt_id, 1_000)));
        reduce(&mut fleet, 1_000, Event::Started(attempt_id));
    }
    reduce(&mut fleet, 1_010, Event::Arrive(arrival(18, 1_010)));
    reduce(&mut fleet, 1_020, notice);
    let mut effects = Vec::new();
    for attempt_id in 1..=16 {
        let outcome = AttemptOutcome::Answered;
        effects.extend(reduce(&mut fleet, 1_050, Event::Ended { attempt_id, outcome }));
    }
    assert_eq!(dispatched(&effects, 18), None, "a queued request");
    let first = reduce(&mut fleet, 1_060, Event::Arrive(arrival(19, 1_060)));
    assert_eq!(dispatched(&first, 19), None, "a first attempt");
    let retry = Arrival { is_retry: true, ..arrival(20, 1_070) };
    let retry = reduce(&mut fleet, 1_070, Event::Arrive(retry));
    assert_eq!(dispatched(&retry, 20), None, "a retry");
}

/// Heartbeats still say `ready` for a while after an endpoint announced that it is leaving; only
/// another run of it may be used again.
#[test]
fn a_later_heartbeat_does_not_restore_a_leaving_endpoint() {
    let mut fleet = fleet(vec![support::head("one", 1)]);
    reduce(&mut fleet, 1_000, leaving());
    let later = |sequence| Endpoint { sequence, ..support::head("one", 1) };
    reduce(&mut fleet, 1_100, Event::List(ListChange::Put(Box::new(later(5)))));
    reduce(&mut fleet, 1_200, Event::List(ListChange::Whole(vec![later(6)])));
    let effects = reduce(&mut fleet, 1_300, Event::Arrive(arrival(1, 1_300)));
    assert_eq!(dispatched(&effects, 1), None);
    let restarted = Endpoint { started_unix_ms: 9, ..support::head("one", 1) };
    reduce(&mut fleet, 1_400, Event::List(ListChange::Put(Box::new(restarted))));
    let effects = reduce(&mut fleet, 1_410, Event::Arrive(arrival(2, 1_410)));
    assert_eq!(dispatched(&effects, 2), Some(vm("one")));
}

/// An endpoint is used again when its pause is over, and a shorter pause does not end a longer one.
#[test]
fn a_pause_ends_after_its_duration() {
    let mut fleet = fleet(vec![support::head("one", 1)]);
    reduce(&mut fleet, 1_000, paused());
    reduce(&mut fleet, 1_100, Event::EndpointPaused { vm: vm("one"), pause_ms: 200 });
    let end_ms = 1_000 + PAUSE_MS;
    reduce(&mut fleet, end_ms - 1, Event::Tick);
    let effects = reduce(&mut fleet, end_ms - 1, Event::Arrive(arrival(1, end_ms - 1)));
    assert_eq!(dispatched(&effects, 1), None);
    reduce(&mut fleet, end_ms, Event::Tick);
    let effects = reduce(&mut fleet, end_ms, Event::Arrive(arrival(2, end_ms)));
    assert_eq!(dispatched(&effects, 2), Some(vm("one")));
}

/// An endpoint that just refused a request is alive, and must not get probes during its pause, as
/// they reach it like requests.
#[test]
fn a_paused_endpoint_is_not_probed() {
    let head = support::head("one", 1);
    let membership = head.membership.clone().unwrap();
    let lost = LostGroup { group: membership.group, epoch: membership.epoch, member: vm("one") };
    let probes = |fleet: &mut Fleet| {
        let lost = vec![lost.clone()];
        let report = PeerReport { lost, ..report("other") };
        let effects = reduce(fleet, 1_100, Event::Peer(report));
        effects.iter().filter(|effect| matches!(effect, Effect::Probe { .. })).count()
    };
    assert_eq!(probes(&mut fleet(vec![head.clone()])), 1, "a witness probes a member");
    let mut fleet = fleet(vec![head]);
    reduce(&mut fleet, 1_000, paused());
    assert_eq!(probes(&mut fleet), 0);
}
