//! Tests of how requests are queued and when they are refused.

use std::ops::RangeInclusive;

use balsam_fleet::Arrival;
use balsam_fleet::Effect;
use balsam_fleet::Event;
use balsam_fleet::Fleet;
use balsam_fleet::StorePosition;
use balsam_fleet::directory::ListChange;
use balsam_fleet::endpoint::MemberState;
use balsam_fleet::event::AttemptOutcome;
use balsam_fleet::event::RefuseReason;
use balsam_fleet::operators::OperatorsUpdate;
use balsam_fleet::priority::Priority;
use balsam_fleet::reduce;
use rstest::rstest;

use crate::support;
use crate::support::arrival;
use crate::support::dispatched;
use crate::support::vm;

fn full_group() -> Fleet {
    let mut fleet = support::fleet("node");
    reduce(&mut fleet, 1_000, Event::Configuration(support::configuration(1).into()));
    reduce(&mut fleet, 1_000, Event::List(ListChange::Whole(vec![support::head("one", 1)])));
    for attempt_id in 1..=17 {
        let effects = reduce(&mut fleet, 1_000, Event::Arrive(arrival(attempt_id, 1_000)));
        assert!(dispatched(&effects, attempt_id).is_some());
        reduce(&mut fleet, 1_000, Event::Started(attempt_id));
    }
    fleet
}

fn refused(effects: &[Effect], attempt_id: u64) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refuse { attempt_id: refused, refusal } if *refused == attempt_id => {
            Some(refusal.retry_after_ms)
        }
        _ => None,
    })
}

/// Guards against a queue whose end nobody in it reaches, and against delays that callers do not
/// keep to.
#[test]
fn of_a_burst_those_wait_who_stay_for_their_answers() {
    let mut fleet = full_group();
    let mut waits = 0;
    for attempt_id in 100..300 {
        let effects = reduce(&mut fleet, 1_010, Event::Arrive(arrival(attempt_id, 1_010)));
        match refused(&effects, attempt_id) {
            Some(retry_after_ms) => assert!((100..=8_000 / 3).contains(&retry_after_ms)),
            None => waits += 1,
        }
    }
    // A slot becomes free every 41 ms, callers stay for 2.4 s, and a prompt is read in 0.2 to 0.4 s.
    assert!((48..=54).contains(&waits), "{waits} wait");
}

/// Guards against callers who are overtaken by others with less time, or who lose their place when
/// an endpoint fails them.
#[test]
fn callers_of_one_priority_are_served_in_the_order_in_which_they_came() {
    let mut fleet = full_group();
    let hasty = Arrival { first_event_by_ms: 2_000, deadline_at_ms: 3_000, ..arrival(101, 1_020) };
    let repeated = Arrival { arrived_ms: 1_005, is_retry: true, ..arrival(102, 1_030) };
    let urgent = Arrival { priority: Priority::from(0), ..arrival(103, 1_040) };
    for request in [arrival(100, 1_010), hasty, repeated, urgent] {
        let (attempt_id, now_ms) = (request.attempt_id, 1_040);
        assert_eq!(refused(&reduce(&mut fleet, now_ms, Event::Arrive(request)), attempt_id), None);
    }
    for (ended, next) in [(1, 103), (2, 102), (3, 100), (4, 101)] {
        let ended = Event::Ended { attempt_id: ended, outcome: AttemptOutcome::Answered };
        assert!(dispatched(&reduce(&mut fleet, 1_050, ended), next).is_some(), "{next}");
    }
}

/// Guards against priorities that lose their place because they are far apart, as two of them would at
/// the bound of a smaller type.
#[test]
fn a_priority_keeps_its_place_whatever_its_size() {
    let mut fleet = full_group();
    let priorities = [1_000.0, 255.0, 1e300, 300.0, 0.5];
    for (attempt_id, priority) in (100..).zip(priorities) {
        let priority = Priority::from(priority);
        let request = Arrival { priority, ..arrival(attempt_id, 1_010) };
        reduce(&mut fleet, 1_040, Event::Arrive(request));
    }
    for (ended, next) in [(1, 104), (2, 101), (3, 103), (4, 100), (5, 102)] {
        let ended = Event::Ended { attempt_id: ended, outcome: AttemptOutcome::Answered };
        assert!(dispatched(&reduce(&mut fleet, 1_050, ended), next).is_some(), "{next}");
    }
}

/// Guards against holding a request whose caller leaves before it would be served, and against
/// refusing one that would have been; a second run is no different.
#[rstest]
fn a_request_waits_as_long_as_its_caller_can(#[values(false, true)] is_retry: bool) {
    let mut fleet = full_group();
    reduce(&mut fleet, 1_000, Event::Arrive(Arrival { is_retry, ..arrival(100, 1_000) }));
    // It leaves 2.4 s after it came, and a busy group needs 0.2 to 0.4 s for its first event.
    let effects = reduce(&mut fleet, 2_950, Event::Tick);
    assert_eq!(refused(&effects, 100), None);
    let effects = reduce(&mut fleet, 3_300, Event::Tick);
    assert!(refused(&effects, 100).is_some());
}

/// Guards against second attempts at a share of an objective: what is late follows from the answers
/// that the endpoints give.
#[test]
fn what_is_late_follows_from_the_answers() {
    let mut fleet = full_group();
    let usual_ms = |fleet: &mut Fleet, attempt_id, now_ms| {
        let effects = reduce(fleet, now_ms, Event::Arrive(arrival(attempt_id, now_ms)));
        effects.iter().find_map(|effect| match effect {
            Effect::Dispatch { target, .. } => Some(target.usual_ms),
            _ => None,
        })
    };
    let outcome = AttemptOutcome::Answered;
    reduce(&mut fleet, 1_500, Event::Ended { attempt_id: 1, outcome });
    for attempt_id in 100..300 {
        let now_ms = attempt_id * 1_000;
        let usual_ms = usual_ms(&mut fleet, attempt_id, now_ms).expect("a slot is free");
        // The prompts of the full group were read at once, and then each takes 200 ms. A node may itself
        // be late by 100 ms.
        assert!(attempt_id < 299 || usual_ms.is_some_and(|ms| (299..=310).contains(&ms)));
        reduce(&mut fleet, now_ms + 200, Event::Started(attempt_id));
        reduce(&mut fleet, now_ms + 900, Event::Ended { attempt_id, outcome });
    }
}

/// A caller that leaves while it waits must not get the next slot.
#[test]
fn a_caller_that_leaves_is_removed_from_the_queue() {
    let mut fleet = full_group();
    reduce(&mut fleet, 1_010, Event::Arrive(arrival(100, 1_010)));
    reduce(&mut fleet, 1_020, Event::Arrive(arrival(101, 1_020)));
    let outcome = AttemptOutcome::Cancelled;
    reduce(&mut fleet, 1_030, Event::Ended { attempt_id: 100, outcome });
    let outcome = AttemptOutcome::Answered;
    let effects = reduce(&mut fleet, 1_050, Event::Ended { attempt_id: 1, outcome });
    assert_eq!(dispatched(&effects, 100), None);
    assert!(dispatched(&effects, 101).is_some());
}

/// Retries are limited by a budget; without it a failing pool doubles its own load.
#[test]
fn retries_are_limited_by_their_budget() {
    let mut fleet = support::fleet("node");
    reduce(&mut fleet, 1_000, Event::Configuration(support::configuration(1).into()));
    reduce(&mut fleet, 1_000, Event::List(ListChange::Whole(vec![support::head("one", 1)])));
    let mut sent = 0;
    for attempt_id in 1..=500 {
        let retry = Arrival { is_retry: true, ..arrival(attempt_id, 1_000) };
        let effects = reduce(&mut fleet, 1_000, Event::Arrive(retry));
        sent += u32::from(dispatched(&effects, attempt_id).is_some());
        reduce(&mut fleet, 1_000, Event::Ended { attempt_id, outcome: AttemptOutcome::Broken });
    }
    assert!((1..=100).contains(&sent), "{sent} retries for a slack of 100 over all nodes");
}

/// Guards against prompts that wait at the node although a group has room, for a pause in other
/// answers that nobody leaves for.
#[rstest]
#[case::many_prompts(5_000, 17)]
#[case::longer_than_any_pass(60_000, 1)]
fn a_prompt_is_sent_while_a_group_has_room(#[case] prompt_tokens: u32, #[case] requests: u64) {
    let mut fleet = support::fleet("node");
    reduce(&mut fleet, 1_000, Event::Configuration(support::configuration(1).into()));
    reduce(&mut fleet, 1_000, Event::List(ListChange::Whole(vec![support::head("one", 1)])));
    for attempt_id in 1..=requests {
        let prompt = Arrival { prompt_tokens, ..arrival(attempt_id, 1_000) };
        let effects = reduce(&mut fleet, 1_000, Event::Arrive(prompt));
        assert!(dispatched(&effects, attempt_id).is_some(), "request {attempt_id}");
    }
}

/// With every group lost, callers got `overloaded` and a retry delay of 0.2 s, although nothing
/// could serve them for seconds.
#[test]
fn requests_for_a_model_that_nothing_serves_are_refused_as_no_endpoint() {
    let mut fleet = support::fleet("node");
    reduce(&mut fleet, 1_000, Event::Configuration(support::configuration(1).into()));
    reduce(&mut fleet, 1_000, Event::List(ListChange::Whole(Vec::new())));
    let effects = reduce(&mut fleet, 1_000, Event::Arrive(arrival(1, 1_000)));
    assert!(is_refused_for_no_endpoint(&effects, 1), "{effects:?}");
}

/// Whether a caller was refused because no endpoint serves it, and asked to return when a group can
/// be formed, which takes 1.9 s, and while it still has time.
fn is_refused_for_no_endpoint(effects: &[Effect], attempt_id: u64) -> bool {
    effects.iter().any(|effect| {
        matches!(effect, Effect::Refuse { attempt_id: refused, refusal }
            if *refused == attempt_id && refusal.reason == RefuseReason::NoEndpoint
                && (1_900..=8_000 / 3).contains(&refusal.retry_after_ms))
    })
}

fn group_of(state: MemberState) -> Fleet {
    let mut head = support::head("one", 1);
    head.membership.as_mut().unwrap().state = state;
    let mut fleet = support::fleet("node");
    reduce(&mut fleet, 1_000, Event::Configuration(support::configuration(1).into()));
    reduce(&mut fleet, 1_000, Event::List(ListChange::Whole(vec![head])));
    fleet
}

/// A request is refused immediately only if it is known that nothing can serve it in its caller's
/// time. While a group is being formed it waits, whether it is the first attempt or not, unless the
/// group has to load its weights for longer: callers were held for 1.8 to 2.2 s before they were
/// refused.
#[rstest]
#[case::from_staged_weights(true)]
#[case::has_to_load(false)]
fn a_request_waits_while_a_group_is_being_formed(#[case] is_staged: bool) {
    let mut fleet = support::fleet("node");
    let mut head = support::head("one", 1);
    head.membership.as_mut().unwrap().state = MemberState::Joining;
    head.staged.extend(is_staged.then(|| support::model(support::LARGE)));
    reduce(&mut fleet, 1_000, Event::Configuration(support::configuration(1).into()));
    reduce(&mut fleet, 1_000, Event::List(ListChange::Whole(vec![head])));
    let retry = Arrival { is_retry: true, ..arrival(2, 1_000) };
    for request in [arrival(1, 1_000), retry] {
        let attempt_id = request.attempt_id;
        let effects = reduce(&mut fleet, 1_000, Event::Arrive(request));
        assert_eq!(refused(&effects, attempt_id).is_none(), is_staged);
    }
    let effects = reduce(&mut fleet, 2_600, Event::Tick);
    assert_eq!([refused(&effects, 1), refused(&effects, 2)], [None; 2]);
    let effects = reduce(&mut fleet, 3_000, Event::Tick);
    assert_eq!([1, 2].map(|id| refused(&effects, id).is_some()), [is_staged; 2]);
}

/// Queued requests are refused as soon as nothing can serve them any more, including retries, which
/// used to wait until their deadline. A request whose caller already has part of the answer
/// continues to wait.
#[test]
fn queued_requests_that_cannot_be_served_are_refused_at_once() {
    let mut fleet = full_group();
    let kinds = [(100, false, false), (101, true, false), (102, true, true)];
    for (attempt_id, is_retry, has_partial_answer) in kinds {
        let request = Arrival { is_retry, has_partial_answer, ..arrival(attempt_id, 1_010) };
        assert_eq!(refused(&reduce(&mut fleet, 1_010, Event::Arrive(request)), attempt_id), None);
    }
    let data_centre = support::data_centre("a");
    let position = StorePosition { era: 0, offset: 1 };
    let out = OperatorsUpdate::Record { position, data_centre, is_out: true };
    reduce(&mut fleet, 1_020, Event::Operators(out));
    let effects = reduce(&mut fleet, 1_030, Event::Tick);
    assert!(
        is_refused_for_no_endpoint(&effects, 100) && is_refused_for_no_endpoint(&effects, 101),
        "{effects:?}"
    );
    assert_eq!(refused(&effects, 102), None);
}

/// A caller waits if the pause of an endpoint ends soon enough, and is asked to return when it does
/// otherwise.
#[rstest]
#[case::soon(1_800, None)]
#[case::late(3_500, Some(1_300..=2_600))]
fn the_retry_delay_follows_the_pause(
    #[case] pause_ms: u64,
    #[case] expected: Option<RangeInclusive<u64>>,
) {
    let mut fleet = group_of(MemberState::Open);
    reduce(&mut fleet, 1_000, Event::EndpointPaused { vm: vm("one"), pause_ms });
    let effects = reduce(&mut fleet, 1_000, Event::Arrive(arrival(1, 1_000)));
    let retry_after_ms = refused(&effects, 1);
    assert_eq!(retry_after_ms.is_some(), expected.is_some());
    let is_expected = |ms| expected.is_some_and(|range| range.contains(&ms));
    assert!(retry_after_ms.is_none_or(is_expected), "{retry_after_ms:?}");
}

/// A retry that had tried every endpoint waited until its deadline for an endpoint that could not
/// come.
#[test]
fn a_retry_that_tried_all_endpoints_is_refused_at_once() {
    let mut fleet = group_of(MemberState::Open);
    let retry = Arrival { is_retry: true, tried: vec![vm("one")], ..arrival(1, 1_000) };
    let effects = reduce(&mut fleet, 1_000, Event::Arrive(retry));
    assert!(refused(&effects, 1).is_some_and(|ms| (100..=150).contains(&ms)), "{effects:?}");
}

/// Guards against spending the retry budget on requests that reach no endpoint: those that could
/// have been sent again were refused.
#[test]
fn a_refused_retry_spends_no_budget() {
    let mut fleet = full_group();
    let retry = |attempt_id, tried| Arrival { is_retry: true, tried, ..arrival(attempt_id, 1_010) };
    for attempt_id in 100..200 {
        let arrive = Event::Arrive(retry(attempt_id, vec![vm("one")]));
        assert!(refused(&reduce(&mut fleet, 1_010, arrive), attempt_id).is_some());
    }
    let outcome = AttemptOutcome::Broken;
    reduce(&mut fleet, 1_020, Event::Ended { attempt_id: 1, outcome });
    let effects = reduce(&mut fleet, 1_030, Event::Arrive(retry(200, Vec::new())));
    assert!(dispatched(&effects, 200).is_some());
}

/// Guards against sending more retries than the budget allows when many of them waited.
#[test]
fn queued_retries_count_against_the_budget() {
    let mut fleet = full_group();
    let mut accepted = 0;
    for attempt_id in 100..200 {
        let retry = Arrival {
            is_retry: true,
            first_event_by_ms: 1_000_000,
            deadline_at_ms: 1_000_000,
            ..arrival(attempt_id, 1_010)
        };
        let effects = reduce(&mut fleet, 1_010, Event::Arrive(retry));
        accepted += u32::from(refused(&effects, attempt_id).is_none());
    }
    // 0.6 of the slack of 100, as no request was answered yet.
    assert_eq!(accepted, 60);
}
