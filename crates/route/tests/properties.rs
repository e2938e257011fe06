//! Property tests of choice, permits and queue order.

#[path = "../benches/route/estate.rs"]
mod estate;

use std::sync::Arc;

use balsam_route::Admission;
use balsam_route::Choice;
use balsam_route::ChoiceInput;
use balsam_route::Loads;
use balsam_route::PermitOwner;
use balsam_route::RemoteDataCentre;
use balsam_route::Temperature;
use balsam_route::admission::Offer;
use balsam_route::admission::RequestId;
use balsam_route::choice::REPORT_FRESH_MS;
use balsam_route::choose;
use balsam_route::permit::PermitReply;
use balsam_route::permit::PermitRequest;
use balsam_route::permit::PermitTimes;
use balsam_route::permit::Predecessor;
use balsam_types::DataCentreName;
use balsam_types::Incarnation;
use balsam_types::Offset;
use balsam_types::OrganisationName;
use balsam_types::OrganisationSpec;
use balsam_types::VmName;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 20_261_204;
const NOW_MS: u64 = 10_000;
const LIMIT: u32 = 4;

fn config() -> ProptestConfig {
    eprintln!("seed {SEED}");
    let rng_seed = RngSeed::Fixed(SEED);
    ProptestConfig { cases: 500, rng_seed, failure_persistence: None, ..Default::default() }
}

/// Evidence expiry, leaving, warm, report age, reported load, own load, and already tried.
type RawGroup = (u64, bool, bool, u64, u32, u32, bool);

fn raw_group() -> impl Strategy<Value = RawGroup> {
    let mostly_true = || prop::bool::weighted(0.8);
    (
        NOW_MS - 2..NOW_MS + 6,
        mostly_true().prop_map(|is_staying| !is_staying),
        mostly_true(),
        0..REPORT_FRESH_MS + 500,
        0..LIMIT + 2,
        0..LIMIT + 2,
        mostly_true().prop_map(|is_untried| !is_untried),
    )
}

fn remote(index: usize, drained: bool, same_region: bool, free_slots: u32) -> RemoteDataCentre {
    let entry = VmName::try_from(format!("entry-{index}")).unwrap();
    RemoteDataCentre {
        data_centre: DataCentreName::try_from(format!("dc-{index}")).unwrap(),
        entry_nodes: vec![(entry, ([127, 0, 0, 1], 1).into())],
        serving_groups: 1,
        free_slots,
        drained,
        same_region,
        flow_back_percent: 100,
    }
}

fn holder() -> Incarnation {
    Incarnation { vm: VmName::try_from("entry-1").unwrap(), start_ms: 0, nonce: 0 }
}

proptest! {
    #![proptest_config(config())]

    // Work for a group without evidence, a leaving group or a drained data centre breaks
    // promises 1, 4 and 8.
    #[test]
    fn only_eligible_destinations_are_chosen(
        raw in prop::collection::vec(raw_group(), 0..60),
        raw_remotes in prop::collection::vec((any::<bool>(), any::<bool>(), 0_u32..3), 0..4),
        local_drained in prop::bool::weighted(0.2),
        allow_remote in any::<bool>(),
        prefix_hash in any::<Option<u64>>(),
        seed in any::<u64>(),
    ) {
        let mut pool = estate::pool(raw.len(), LIMIT, 1);
        for (group, raw) in pool.groups.iter_mut().zip(&raw) {
            group.evidence_until_ms = raw.0;
            group.leaving = raw.1;
            group.temperature = if raw.2 { Temperature::Warm } else { Temperature::Cold };
            group.reported_at_ms = NOW_MS - raw.3;
            group.reported_in_flight = raw.4;
        }
        let remotes = raw_remotes.iter().enumerate();
        pool.remotes = remotes.map(|(i, r)| remote(i, r.0, r.1, r.2)).collect();
        let tried = raw.iter().zip(&pool.groups).filter(|(raw, _)| raw.6);
        let exclude: Vec<_> = tried.map(|(_, group)| group.group.clone()).collect();
        let loads = Loads::default();
        let view = loads.view(&Arc::new(pool));
        let counts = raw.iter().enumerate().map(|(index, raw)| (index, raw.5));
        let guards: Vec<_> = counts
            .flat_map(|(index, own)| (0..own).map(move |_| index))
            .map(|index| view.load(index).start())
            .collect();
        let input = ChoiceInput {
            now_ms: NOW_MS,
            local_drained,
            senders: 1,
            prefix_hash,
            cached_group_hash: None,
            exclude: &exclude,
            exclude_remotes: &[],
            allow_remote,
        };
        let is_eligible = |raw: &RawGroup| NOW_MS < raw.0 && !raw.1 && !raw.6 && !local_drained;
        let is_fresh_and_warm = |raw: &RawGroup| raw.2 && raw.3 < REPORT_FRESH_MS;
        match choose(&view, &input, &mut ChaCha8Rng::seed_from_u64(seed)) {
            Choice::Local { index, needs_permit } => {
                prop_assert!(is_eligible(&raw[index]));
                prop_assert!(needs_permit != is_fresh_and_warm(&raw[index]));
                let limit = if needs_permit { 1 } else { LIMIT };
                prop_assert!(raw[index].5 < limit);
            }
            Choice::Remote { data_centre, .. } => {
                prop_assert!(allow_remote);
                let found = view.pool.remotes.iter().find(|r| r.data_centre == data_centre);
                let found = found.unwrap();
                prop_assert!(!found.drained && found.free_slots > 0);
                let is_near = |r: &RemoteDataCentre| r.same_region && !r.drained && r.free_slots > 0;
                prop_assert!(found.same_region || !view.pool.remotes.iter().any(is_near));
            }
            Choice::Wait { .. } => {
                let is_idle = |raw: &RawGroup| is_eligible(raw) && raw.4 == 0 && raw.5 == 0;
                prop_assert!(!raw.iter().any(is_idle), "an idle group was not found");
            }
        }
        drop(guards);
        prop_assert!((0..raw.len()).all(|index| view.load(index).in_flight() == 0));
    }

    // More requests than its cold limit would overload an endpoint in cold start.
    #[test]
    fn permits_in_use_never_exceed_the_limit(
        steps in prop::collection::vec((0_u8..4, 1_u64..900, 100_u64..2_000), 1..200),
        limit in 1_u32..6,
    ) {
        let times = PermitTimes { longest_deadline_ms: 2_000, ..Default::default() };
        let mut owner = PermitOwner::new(times, limit, Offset::new(1, 0), Predecessor::None, 0);
        let mut in_use: Vec<(_, u64)> = vec![];
        let mut now_ms = 0;
        let mut last_ms = 0;
        let mut read_ms = None;
        for (kind, step_ms, deadline_in_ms) in steps {
            now_ms += step_ms;
            in_use.retain(|(_, until_ms)| now_ms < *until_ms);
            match kind {
                0 => {
                    owner.tick(now_ms);
                    owner.record_head_read(now_ms);
                    read_ms = Some(now_ms);
                }
                1 => {
                    if let Some((id, _)) = in_use.pop() {
                        prop_assert!(owner.release(id, &holder()));
                    }
                    continue;
                }
                _ => {
                    let instance = Arc::from(format!("i{kind}"));
                    let request = PermitRequest { holder: holder(), instance, deadline_in_ms };
                    let has_gap = now_ms - last_ms > times.tick_gap_ms;
                    let is_stale = read_ms.is_none_or(|ms| now_ms - ms >= times.owner_fresh_ms);
                    if let PermitReply::Granted(id) = owner.request(request, now_ms) {
                        prop_assert!(!has_gap && !is_stale, "granted after a pause or log outage");
                        in_use.push((id, now_ms + deadline_in_ms));
                    }
                }
            }
            last_ms = now_ms;
            prop_assert!(in_use.len() <= limit as usize);
        }
    }

    // An organisation must get its weighted share however much the others queue.
    #[test]
    fn backlogged_organisations_are_served_by_weight_within_one_request_each(
        weights in prop::collection::vec(1_u32..6, 2..6),
        slots in 1_u32..4,
        priorities in prop::collection::vec(0_u8..12, 40),
    ) {
        let mut admission = Admission::new(slots, 1_000);
        let spec = |(index, weight): (usize, &u32)| OrganisationSpec {
            organisation: OrganisationName::try_from(format!("firm-{index}")).unwrap(),
            token_sha256: Arc::from(""),
            weight: *weight,
            limit_per_s: 0,
            limit_in_flight: 0,
        };
        let specs: Vec<_> = weights.iter().enumerate().map(spec).collect();
        // Another organisation takes all slots first, so that these organisations have to queue.
        let first = spec((99, &1));
        for id in 0..u64::from(slots) {
            let offer = Offer { id: RequestId(1_000_000 + id), priority: 0, deadline_ms: 1_000_000 };
            admission.offer(&first, offer, 1, 0);
        }
        for (index, spec) in specs.iter().enumerate() {
            for (position, priority) in priorities.iter().enumerate() {
                let id = RequestId((index * 1_000 + position) as u64);
                admission.offer(spec, Offer { id, priority: *priority, deadline_ms: 1_000_000 }, 1, 0);
            }
        }
        let mut served = vec![0_u32; specs.len()];
        let mut last_priority = vec![0_u8; specs.len()];
        admission.finish(&first.organisation, 1);
        for _ in 0..40 {
            let id = admission.next(1).unwrap().0 as usize;
            let (index, priority) = (id / 1_000, priorities[id % 1_000].min(9));
            prop_assert!(priority >= last_priority[index], "a lower priority was served first");
            last_priority[index] = priority;
            served[index] += 1;
            admission.finish(&specs[index].organisation, 1);
            for (a, b) in (0..specs.len()).flat_map(|a| (0..a).map(move |b| (a, b))) {
                let share = |i: usize| f64::from(served[i]) / f64::from(weights[i]);
                let bound = 1.0 / f64::from(weights[a]) + 1.0 / f64::from(weights[b]);
                prop_assert!((share(a) - share(b)).abs() <= bound + 1e-9, "{served:?}");
            }
        }
    }
}
