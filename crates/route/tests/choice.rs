//! Tests of endpoint choice: affinity, permits, remote data centres and slow groups.

#[path = "../benches/route/estate.rs"]
mod estate;

use std::sync::Arc;

use balsam_route::Choice;
use balsam_route::ChoiceInput;
use balsam_route::Loads;
use balsam_route::Pool;
use balsam_route::RemoteDataCentre;
use balsam_route::choose;
use balsam_route::loads::PoolView;
use balsam_route::loads::hash_bytes;
use balsam_types::DataCentreName;
use balsam_types::VmName;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn input() -> ChoiceInput<'static> {
    ChoiceInput {
        now_ms: 100,
        local_drained: false,
        senders: 1,
        prefix_hash: None,
        cached_group_hash: None,
        exclude: &[],
        exclude_remotes: &[],
        allow_remote: true,
    }
}

fn view(pool: Pool) -> Arc<PoolView> {
    Loads::default().view(&Arc::new(pool))
}

/// Counts how often each group is chosen in 1,000 choices; no request stays in flight.
fn counts(view: &PoolView, input: &ChoiceInput<'_>) -> Vec<u32> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut counts = vec![0; view.pool.groups.len()];
    for _ in 0..1_000 {
        match choose(view, input, &mut rng) {
            Choice::Local { index, .. } => counts[index] += 1,
            other => panic!("not local: {other:?}"),
        }
    }
    counts
}

// Requests with the same prefix must share a group, or every group computes the prefix again.
#[test]
fn a_prefix_stays_with_one_group_until_that_group_is_loaded() {
    let view = view(estate::pool(40, 8, 1));
    let with_prefix = ChoiceInput { prefix_hash: Some(7), ..input() };
    let preferred = counts(&view, &with_prefix).iter().position(|count| *count == 1_000).unwrap();
    let guards: Vec<_> = (0..3).map(|_| view.load(preferred).start()).collect();
    assert_eq!(counts(&view, &with_prefix)[preferred], 0);
    drop(guards);
    let cached_group_hash = hash_bytes(view.pool.groups[5].group.as_str().as_bytes());
    let with_cache = ChoiceInput { cached_group_hash: Some(cached_group_hash), ..with_prefix };
    assert_eq!(counts(&view, &with_cache)[5], 1_000);
}

// Slow groups must not get a full share, nor a possibly cold one requests without a permit.
#[test]
fn a_slow_group_gets_fewer_requests_and_a_suspect_one_needs_a_permit() {
    let mut pool = estate::pool(4, 8, 1);
    pool.groups[0].slow = true;
    let slow_view = view(pool);
    let choice_counts = counts(&slow_view, &input());
    assert!(
        choice_counts[0] < 50 && choice_counts[1..].iter().all(|count| *count > 200),
        "{choice_counts:?}"
    );

    let single = view(estate::pool(1, 8, 1));
    single.load(0).mark_suspect(50);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let choice = choose(&single, &input(), &mut rng);
    assert_eq!(choice, Choice::Local { index: 0, needs_permit: true });
}

// A data centre that returns cold must not get its full share at once.
#[test]
fn remotes_are_weighted_by_free_slots_and_flow_back_and_other_regions_come_last() {
    let remote = |index: u16, free_slots, flow_back_percent, same_region| RemoteDataCentre {
        data_centre: DataCentreName::try_from(format!("dc-{index}")).unwrap(),
        entry_nodes: vec![(VmName::try_from("entry-1").unwrap(), ([127, 0, 0, 1], index).into())],
        serving_groups: 1,
        free_slots,
        drained: false,
        same_region,
        flow_back_percent,
    };
    let mut pool = estate::pool(0, 8, 1);
    pool.remotes =
        vec![remote(0, 30, 100, true), remote(1, 30, 10, true), remote(2, 900, 100, false)];
    let view = view(pool);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut choice_counts = [0; 3];
    for _ in 0..1_100 {
        match choose(&view, &input(), &mut rng) {
            Choice::Remote { peer_address, .. } => {
                choice_counts[usize::from(peer_address.port())] += 1
            }
            other => panic!("not remote: {other:?}"),
        }
    }
    assert!((50..200).contains(&choice_counts[1]) && choice_counts[2] == 0, "{choice_counts:?}");
}
