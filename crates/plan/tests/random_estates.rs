//! Property tests on random estates; the generator's seed is printed.

#![expect(clippy::print_stdout, reason = "a failing case must print its seed")]

#[expect(dead_code, reason = "each test binary uses a part of the shared helpers")]
mod common;

use std::cell::RefCell;
use std::collections::BTreeMap;

use balsam_plan::Estate;
use balsam_plan::Intent;
use balsam_plan::estate::Presence;
use balsam_plan::make_plan;
use balsam_plan::repair;
use balsam_types::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Data centres, domains per data centre, VMs per domain, VMs per group, target groups and seed.
type Shape = (usize, usize, usize, u32, u32, u64);

fn shapes() -> impl Strategy<Value = Shape> {
    (1..4_usize, 1..4_usize, 0..14_usize, 1..5_u32, 0..14_u32, any::<u64>())
}

/// Forms groups in a healthy estate, then lets members and data centres fail.
fn random_estate(shape: Shape) -> Estate {
    let (centres, domains, vms, group_vms, target, seed) = shape;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut estate = estate(pool("p", group_vms, target), &[]);
    let other = pool("q", 3, target / 2);
    let view = balsam_plan::estate::PoolView { spec: other, ..estate.pools["p"].clone() };
    estate.pools.insert(view.spec.pool.clone(), view);
    for centre in 0..centres {
        for domain in 0..domains {
            for index in 0..vms {
                let name = if rng.random_ratio(1, 4) { "q" } else { "p" };
                let pool = PoolName::try_from(name).unwrap();
                let domain = format!("c{centre}d{domain}");
                add_vm(&mut estate, &pool, &format!("c{centre}"), &domain, index);
            }
        }
    }
    form_target_groups(&mut estate);
    if rng.random_bool(0.3) {
        estate.pools.get_mut("p").unwrap().spec.target_groups += rng.random_range(0..3);
    }
    let names: Vec<VmName> = estate.vms.keys().cloned().collect();
    for name in names {
        let view = estate.vms.get_mut(&name).unwrap();
        view.since_ms = if rng.random_bool(0.3) { 990_000 } else { 900_000 };
        match rng.random_range(0..12) {
            0 | 1 => view.presence = Presence::Missing,
            2 => view.presence = Presence::Suspect,
            3 => view.slow = true,
            4 => view.info.state = VmState::Leaving,
            5 => _ = estate.vms.remove(&name),
            _ => {}
        }
    }
    for group in estate.groups.values_mut() {
        group.incomplete_since_ms = rng.random_bool(0.5).then_some(rng.random_range(0..1_000_000));
    }
    if rng.random_bool(0.3) {
        estate.drained.insert(DataCentreName::try_from("c0").unwrap(), Offset::new(3, 0));
    }
    estate
}

fn check_random_estates(check: impl Fn(Estate, u64)) {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = ProptestConfig { cases: 800, failure_persistence: None, ..Default::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    println!("generator: proptest's fixed ChaCha seed; each case names its own seed");
    let checked = runner.run(&shapes(), |shape| {
        println!("shape and seed {shape:?}");
        check(random_estate(shape), shape.5);
        Ok(())
    });
    checked.unwrap();
}

/// Guards against a VM in two groups, a group that spans domains or is in a drained data centre,
/// and a record that the fold would reject; `apply` checks all of them.
#[test]
fn every_action_is_accepted_and_a_second_call_returns_none() {
    let counts_by_rule = RefCell::new(BTreeMap::new());
    check_random_estates(|mut estate, _| {
        for action in repair(&estate, &limits()) {
            *counts_by_rule.borrow_mut().entry(action.kind).or_insert(0) += 1;
            apply(&mut estate, &action);
            assert_eq!(action.loads.len() as u64 * 40 * GB, action.bytes);
        }
        assert_eq!(repair(&estate, &limits()), []);
    });
    // Every rule must have been applied, or it would be untested.
    let counts_by_rule = counts_by_rule.into_inner();
    println!("actions by rule: {counts_by_rule:?}");
    assert!(
        counts_by_rule.len() == 4 && counts_by_rule.values().all(|count| *count >= 20),
        "{counts_by_rule:?}"
    );
}

/// Guards against endless repair when the actions per call are limited.
#[test]
fn repair_with_one_action_per_call_terminates() {
    check_random_estates(|mut estate, _| {
        let capped = balsam_plan::RepairLimits { max_actions: 1, ..limits() };
        for _ in 0..200 {
            let actions = repair(&estate, &capped);
            let [action] = &actions[..] else { return };
            apply(&mut estate, action);
        }
        panic!("repair did not finish within 200 actions for fewer than 60 groups");
    });
}

/// Guards against results that depend on memory addresses or hash seeds.
#[test]
fn the_same_estate_gives_the_same_actions() {
    check_random_estates(|estate, _| {
        assert_eq!(repair(&estate, &limits()), repair(&estate.clone(), &limits()))
    });
}

/// Guards against panics of planning on unusual estates, and against plans that the fold rejects.
#[test]
fn every_intent_gets_a_plan_or_a_refusal() {
    check_random_estates(|estate, seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let pool_name = PoolName::try_from(["p", "q", "x"][rng.random_range(0..3)]).unwrap();
        let centre = DataCentreName::try_from(["c0", "c1", "c9"][rng.random_range(0..3)]).unwrap();
        let count = estate.groups.len().max(1);
        let group = estate.groups.keys().nth(rng.random_range(0..count)).cloned();
        let force = rng.random();
        let target_groups = rng.random_range(0..20);
        let intents = [
            Intent::Roll { pool: pool_name.clone(), version: "2".into() },
            Intent::Drain { data_centre: centre.clone(), force },
            Intent::Return(centre),
            Intent::Resize { pool: pool_name, target_groups, force },
            Intent::PutPool(pool("q", rng.random_range(0..70), target_groups)),
            Intent::RetireGroup {
                group: group.unwrap_or_else(|| GroupName::try_from("none").unwrap()),
                force,
            },
        ];
        for intent in intents {
            match make_plan(&estate, &intent, &PlanName::try_from("n").unwrap(), &plan_limits()) {
                Ok(plan) => check_plan(&estate, &plan),
                Err(refusals) => assert!(!refusals.to_string().is_empty()),
            }
        }
    });
}

fn check_plan(estate: &Estate, plan: &record::PlanSpec) {
    assert_eq!(plan.based_on, estate.as_of);
    let mut groups = estate.groups.clone();
    for step in &plan.steps {
        assert!(step.capacity_left.len() >= estate.pools.len());
        for change in &step.changes {
            assert!(plan.depends_on.contains(&change.object().unwrap()));
            match change {
                RecordKind::RetireGroup(name) => assert!(groups.remove(name).is_some()),
                RecordKind::FormGroup(spec) => {
                    let mut members = groups.values().flat_map(|g| &g.spec.members);
                    assert!(members.all(|member| !spec.members.contains(member)));
                    let view = estate.groups.values().next().unwrap().clone();
                    let view = balsam_plan::estate::GroupView { spec: spec.clone(), ..view };
                    assert!(groups.insert(spec.group.clone(), view).is_none());
                }
                _ => {}
            }
        }
    }
}
