//! Fair queueing between organisations, in virtual time.

#[path = "../benches/route/fair_sim.rs"]
mod fair_sim;

// A newly onboarded organisation must not delay the existing ones beyond the fair-queueing bound.
#[test]
fn a_flood_of_a_new_organisation_keeps_the_waits_of_others_within_the_bound() {
    for seed in 1..=4 {
        eprintln!("seed {seed}");
        let outcome = fair_sim::run(true, seed);
        let longest_ms = outcome.waits_ms.iter().copied().fold(0.0, f64::max);
        assert!(longest_ms <= fair_sim::WAIT_BOUND_MS as f64, "{longest_ms}");
        assert_eq!((outcome.refused, outcome.served_late), (0, 0));
        assert!(outcome.flood_served > 0);
    }
}
