//! Measures the time and the allocations of one endpoint choice.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use allocation_counter::measure as count_allocations;
use balsam_route::Choice;
use balsam_route::ChoiceInput;
use balsam_route::Loads;
use balsam_route::choose;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::figures::Figures;
use crate::figures::percentile;

const CHOICES: usize = 100_000;
const SEED: u64 = 1;

/// Runs the measurement.
pub fn run(figures: &mut Figures) {
    figures.print_line(&format!("seed {SEED}, {CHOICES} choices each"));
    for runners in [100, 300, 600, 900] {
        measure(figures, runners, 16, "");
    }
    // All groups are full, so the search for a free one takes the longest.
    measure(figures, 900, 1, ", pool full");
}

fn measure(figures: &mut Figures, runners: usize, limit: u32, state: &str) {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut pool = crate::estate::pool(runners, limit, 1);
    for group in &mut pool.groups {
        group.reported_in_flight = rng.random_range(2..12);
        group.slow = rng.random_range(0..50) == 0;
    }
    let loads = Loads::default();
    let view = loads.view(&Arc::new(pool));
    let mut in_flight: Vec<Option<_>> = (0..200).map(|_| None).collect();
    let mut times_us = Vec::with_capacity(CHOICES);
    let mut allocated_bytes = 0;
    for turn in 0..CHOICES {
        let input = ChoiceInput {
            now_ms: 700,
            local_drained: false,
            senders: 6,
            prefix_hash: (turn % 2 == 0).then(|| rng.random_range(0..500)),
            cached_group_hash: None,
            exclude: &[],
            exclude_remotes: &[],
            allow_remote: true,
        };
        let mut choice = None;
        let start = Instant::now();
        let counted = count_allocations(|| {
            choice = Some(black_box(choose(&view, black_box(&input), &mut rng)));
        });
        times_us.push(start.elapsed().as_secs_f64() * 1e6);
        allocated_bytes += counted.bytes_total;
        if let Some(Choice::Local { index, .. }) = choice {
            in_flight[turn % 200] = Some(view.load(index).start());
        }
    }
    times_us.sort_by(f64::total_cmp);
    let name = |what: &str| format!("choice {what} at {runners} runners{state}");
    figures.info(&name("p50 us"), percentile(&times_us, 0.5));
    if runners == 900 {
        let source = "design section 17: 10 us p99 among 900 runners";
        figures.at_most(&name("p99 us"), percentile(&times_us, 0.99), 10.0, source);
    } else {
        figures.info(&name("p99 us"), percentile(&times_us, 0.99));
    }
    let per_choice = allocated_bytes as f64 / CHOICES as f64;
    let source = "design section 17: nothing that grows with the fleet";
    figures.at_most(&name("bytes allocated per choice"), per_choice, 0.0, source);
}
