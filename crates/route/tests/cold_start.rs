//! Cold-start permits under failures, in virtual time.

#[path = "../benches/route/cold_sim.rs"]
mod cold_sim;

use cold_sim::Faults;
use cold_sim::Outcome;
use cold_sim::Policy;
use cold_sim::Simulation;

fn outcomes(policy: Policy, seeds: u64) -> Vec<Outcome> {
    let run = |seed| {
        eprintln!("{policy:?} seed {seed}");
        Simulation::new(policy, 6, Faults::Nodes, seed).run()
    };
    (1..=seeds).map(run).collect()
}

// Two owners at once, or a sender that resumes with an expired permit, would overload the endpoint.
#[test]
fn no_request_exceeds_the_cold_limit_while_owners_and_senders_pause_and_are_replaced() {
    let outcomes = outcomes(Policy::Permits, 20);
    assert_eq!(outcomes.iter().map(|o| o.above_limit).sum::<u32>(), 0);
    assert_eq!(outcomes.iter().map(|o| o.sent_as_warm).sum::<u32>(), 0);
    // 40 requests would have warmed the endpoint, so the faults did not block its cold start.
    assert!(outcomes.iter().all(|o| o.owner_changes > 0 && o.cold_requests > 40), "{outcomes:?}");
    let without_faults = Simulation::new(Policy::Permits, 6, Faults::None, 1).run();
    assert!(without_faults.warm_at_ms.is_some(), "the endpoint stayed cold without faults");
}

// Validates the simulation: it must detect policies that exceed the cold limit.
#[test]
fn limits_without_an_owner_exceed_the_cold_limit_under_the_same_failures() {
    for policy in [Policy::Divided, Policy::Adaptive] {
        let above: u32 = outcomes(policy, 2).iter().map(|o| o.above_limit).sum();
        assert!(above > 0, "{policy:?}");
    }
}
