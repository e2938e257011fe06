//! Measures the waits of existing organisations while a new one floods the queue.

use crate::fair_sim;
use crate::figures::Figures;
use crate::figures::percentile;

const SEEDS: u64 = 20;

/// Runs the comparison.
pub fn run(figures: &mut Figures) {
    figures.print_line(&format!("fairness: seeds 1 to {SEEDS}"));
    for flood in [false, true] {
        let name = |what: &str| format!("fairness, flood {flood}: {what}");
        let outcomes: Vec<_> = (1..=SEEDS).map(|seed| fair_sim::run(flood, seed)).collect();
        let mut waits_ms: Vec<f64> = outcomes.iter().flat_map(|o| o.waits_ms.clone()).collect();
        waits_ms.sort_by(f64::total_cmp);
        figures.info(&name("p50 wait of the others ms"), percentile(&waits_ms, 0.5));
        figures.info(&name("p99 wait of the others ms"), percentile(&waits_ms, 0.99));
        let source = "one request of each organisation and one residual service";
        let bound_ms = fair_sim::WAIT_BOUND_MS as f64;
        figures.at_most(
            &name("longest wait of the others ms"),
            percentile(&waits_ms, 1.0),
            bound_ms,
            source,
        );
        let refused: u32 = outcomes.iter().map(|o| o.refused).sum();
        figures.at_most(
            &name("refused of the others"),
            f64::from(refused),
            0.0,
            "task: no disturbance",
        );
        let late: u32 = outcomes.iter().map(|o| o.served_late).sum();
        figures.at_most(&name("served after the deadline"), f64::from(late), 0.0, "task: none");
        let served: u32 = outcomes.iter().map(|o| o.flood_served).sum();
        figures.info(&name("requests of the newcomer served"), f64::from(served));
    }
}
