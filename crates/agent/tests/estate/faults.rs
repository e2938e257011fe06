//! The fault mix and what must hold once it ends.

use balsam_agent::Event;
use balsam_types::*;
use rand::Rng;
use rstest::rstest;

use crate::simulation::Item;
use crate::simulation::World;
use crate::simulation::data_centre;
use crate::simulation::dc_of;
use crate::simulation::name;

const FAULTS: usize = 14;
const FORMED_MS: u64 = 25_000;
const HEALED_MS: u64 = 75_000;
const SETTLED_MS: u64 = 165_000;

pub fn pool(raw: &str, group_vms: u32, target_groups: u32, checks_fence: bool) -> PoolSpec {
    PoolSpec {
        pool: name(raw),
        kind: PoolKind::Model,
        model: raw.into(),
        version: "1".into(),
        group_vms,
        target_groups,
        limit: 8,
        cold_limit: 1,
        checks_fence,
        not_run_statuses: Vec::new(),
        weight_bytes: 1_000_000_000,
    }
}

pub fn submit(world: &mut World, node: usize, expect_offset: Option<Offset>, kind: RecordKind) {
    let record = Record {
        record_id: RecordId(world.rng.random()),
        author: Author::Operator(name("eva")),
        at_ms: 0,
        reason: "test".into(),
        expect_offset,
        kind,
    };
    world.apply(node, Event::Submit { waiter: 0, record: Box::new(record) });
}

/// Starts an estate and waits until its groups serve.
pub fn formed(seed: u64, nodes: usize) -> World {
    let mut world = World::new(seed, nodes);
    share_vms(&mut world);
    world.run_to(4_000, |_, _, _| {});
    submit(&mut world, 0, None, RecordKind::PutPool(pool("model", 2, 4, true)));
    submit(&mut world, 0, None, RecordKind::PutPool(pool("unfenced", 1, 3, false)));
    world.clients = false;
    world.run_to(FORMED_MS, |_, _, _| {});
    settled(&world);
    world.clients = true;
    world
}

pub fn share_vms(world: &mut World) {
    for node in 0..world.nodes.len() {
        let list = vm::VmList { as_of_ms: world.now_ms, vms: world.vms.clone().into() };
        world.apply(node, Event::VmList(list));
    }
}

/// Returns the groups of a pool that the nodes of their data centres send work to.
pub fn serving(world: &World, node: usize, pool: &str) -> usize {
    let state = &world.nodes[node];
    let now_ms = world.now_ms - state.start_ms;
    let pool = state.table.pools.get(&name::<PoolName>(pool));
    let groups = pool.into_iter().flat_map(|pool| &pool.groups);
    groups.filter(|group| !group.leaving && group.evidence_until_ms > now_ms).count()
}

/// Asserts that every node has the same state and every pool serves at its target.
pub fn settled(world: &World) {
    let digest = world.nodes[0].agent.replicated.digest();
    for (index, node) in world.nodes.iter().enumerate() {
        let folded = node.agent.folded();
        assert_eq!(node.agent.replicated.digest(), digest, "node {index} folded {folded}");
        for pool in node.agent.replicated.pools() {
            let of_pool =
                node.agent.replicated.groups().filter(|g| g.value.pool == pool.value.pool);
            let groups = of_pool.count();
            assert_eq!(groups, pool.value.target_groups as usize, "{}", pool.value.pool);
            let local = |index: usize| serving(world, index, pool.value.pool.as_str());
            let all: usize = (0..3).map(local).sum();
            assert_eq!(all, groups, "groups of {} that serve", pool.value.pool);
        }
    }
}

fn fault(world: &mut World, index: usize, begins: bool) {
    let node = index % world.nodes.len();
    let dc = dc_of(node);
    let vm: VmName = name(&format!("vm-{}", (index * 7) % 21));
    let now_ms = world.now_ms;
    match (index / 7 + index) % 12 {
        0 if begins => world.nodes[node].paused_until_ms = now_ms + 6_000,
        1 if begins => world.replace(node),
        2 => world.peers_cut[dc] = begins,
        3 => world.platform_cut[dc] = begins,
        4 => world.log_down = begins,
        5 => world.log_slow_ms = if begins { 700 } else { 0 },
        6 | 7 => world.lose_answers = begins,
        8 | 9 => {
            let endpoint = world.endpoints.get_mut(&vm).unwrap();
            endpoint.dead = begins;
            endpoint.leaving_since_ms = None;
            if !begins {
                endpoint.instance += 1;
                endpoint.fence = 0;
                endpoint.ready_ms = u64::MAX;
            }
        }
        10 => operators_race(world, node),
        11 => {
            let drain = RecordKind::DrainDataCentre(data_centre(dc));
            let back = RecordKind::ReturnDataCentre(data_centre(dc));
            submit(world, node, None, if begins { drain } else { back });
        }
        _ => {}
    }
    share_vms(world);
}

/// Two operators change the same pool from the same state; at most one may win.
fn operators_race(world: &mut World, node: usize) {
    let other = (node + 1) % world.nodes.len();
    let changed = |world: &World| {
        let pool = world.nodes[node].agent.replicated.pool(&name("model"));
        pool.map(|pool| pool.offset)
    };
    let expect = changed(world);
    let target = world.rng.random_range(3..=5);
    submit(world, node, expect, RecordKind::PutPool(pool("model", 2, target, true)));
    submit(world, other, expect, RecordKind::PutPool(pool("model", 2, 9 - target, true)));
}

fn run(seed: u64) {
    eprintln!("seed {seed}");
    let mut world = formed(seed, 3 + (seed % 4) as usize);
    for _ in 0..FAULTS {
        let begin_ms = world.rng.random_range(0..35_000);
        let lasts_ms = world.rng.random_range(500..15_000);
        let index = world.rng.random_range(0..1_000);
        world.push(begin_ms, Item::Fault(index));
        world.push(begin_ms + lasts_ms, Item::Heal(index));
    }
    world.run_to(HEALED_MS, fault);
    world.log_down = false;
    for dc in 0..3 {
        submit(&mut world, 0, None, RecordKind::ReturnDataCentre(data_centre(dc)));
    }
    world.run_to(SETTLED_MS - 10_000, fault);
    world.clients = false;
    world.run_to(SETTLED_MS, fault);
    eprintln!("seed {seed}: {} grants, {:?}", world.grants, world.answers);
    assert!(world.grants > 50, "too few claims to tell");
    settled(&world);
}

#[rstest]
#[case(0)]
#[case(5)]
#[case(10)]
#[case(15)]
#[case(20)]
#[case(25)]
#[case(30)]
#[case(35)]
fn the_estate_holds_its_promises_under_faults_and_heals(#[case] first: u64) {
    (first..first + 5).for_each(run);
}

#[test]
fn further_seeds_hold_too() {
    let count = std::env::var("AGENT_SEEDS").ok().and_then(|count| count.parse().ok());
    (1_000..1_000 + count.unwrap_or(0)).for_each(run);
}
