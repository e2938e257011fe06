//! Tests of admission by work.

use rstest::rstest;

use crate::admission_replay::AGGRESSIVE;
use crate::admission_replay::Outcome;
use crate::admission_replay::Request;
use crate::admission_replay::Scenario;
use crate::admission_replay::replay;

/// Guards against serving some callers at the expense of others when there is too little room: small
/// organisations, large requests, less urgent ones before urgent ones, and callers that wait as long
/// as they were asked to, while one organisation retries at once.
#[rstest]
fn a_burst_starves_nobody(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let before = replay(Scenario::new(seed, false));
    let after = replay(Scenario::new(seed, true));
    let both = format!("by number: {}; by work: {}", before.summary(), after.summary());
    let served = after.served(|_| true);
    let large = after.large_from();
    let returned = |request: &Request| request.attempts > 1 && request.organisation != AGGRESSIVE;
    assert!(after.worst_organisation() >= served / 4.0, "{both}");
    assert!(after.served(|request| request.size >= large) >= served / 2.0, "{both}");
    assert!(after.served(returned) >= served / 2.0, "{both}");
    assert!(after.served(returned) > before.served(returned), "{both}");
    let [urgent, other] = [0, 1].map(|priority| after.served(|r| r.priority == priority));
    assert!(other <= urgent + 0.05, "{both}");
    let aggressive = after.served(|request| request.organisation == AGGRESSIVE);
    assert!(aggressive <= served + 0.05, "{both}");
    let in_time =
        |outcome: &crate::admission_replay::Outcome| outcome.share(|_| true, Request::is_in_time);
    assert!(in_time(&after) > in_time(&before), "{both}");
}
