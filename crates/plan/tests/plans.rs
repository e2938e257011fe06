//! Tests for each intent and refusal.

#[expect(dead_code, reason = "each test binary uses a part of the shared helpers")]
mod common;

use balsam_plan::Estate;
use balsam_plan::Intent;
use balsam_plan::estate::Configured;
use balsam_plan::estate::InFlight;
use balsam_plan::make_plan;
use balsam_types::record::ObjectRef;
use balsam_types::record::PlanSpec;
use balsam_types::record::PlanStep;
use balsam_types::*;
use common::*;
use rstest::rstest;

fn organisation(name: &str, weight: u32) -> OrganisationSpec {
    OrganisationSpec {
        organisation: OrganisationName::try_from(name).unwrap(),
        token_sha256: "0".repeat(64).into(),
        weight,
        limit_per_s: 0,
        limit_in_flight: 0,
    }
}

fn route(name: &str, path: &str) -> RouteSpec {
    RouteSpec {
        route: RouteName::try_from(name).unwrap(),
        matches: RouteMatch::PathPrefix(path.into()),
        pool: pool_name("p"),
        compare_pool: None,
        idempotent: None,
        deadline_ms: 1_000,
    }
}

fn pool_name(name: &str) -> PoolName {
    PoolName::try_from(name).unwrap()
}

fn data_centre(name: &str) -> DataCentreName {
    DataCentreName::try_from(name).unwrap()
}

/// Pool `p` has a group in each of a and b; pool `q` has one in b; route `orders` goes to `p`.
fn small_estate() -> Estate {
    let mut estate = estate(pool("p", 2, 2), &[("a", "a1", 3), ("b", "b1", 3)]);
    for index in 3..5 {
        add_vm(&mut estate, &pool_name("q"), "b", "b1", index);
    }
    let mut view = estate.pools["p"].clone();
    view.spec = pool("q", 2, 1);
    estate.pools.insert(pool_name("q"), view);
    form_target_groups(&mut estate);
    assert_eq!(estate.groups.len(), 3);
    let spec = route("orders", "/orders");
    let changed = Offset::new(2, 0);
    estate.routes.insert(spec.route.clone(), Configured { spec, changed });
    let spec = organisation("bakery", 1);
    estate.organisations.insert(spec.organisation.clone(), Configured { spec, changed });
    estate
}

fn plan(estate: &Estate, intent: &Intent) -> Result<PlanSpec, String> {
    let name = PlanName::try_from("plan-1").unwrap();
    make_plan(estate, intent, &name, &plan_limits()).map_err(|refusals| refusals.to_string())
}

fn capacity(plan: &PlanSpec, pool: &str) -> Vec<u32> {
    let left = |step: &PlanStep| {
        step.capacity_left.iter().find(|(name, _)| name.as_str() == pool).unwrap().1
    };
    plan.steps.iter().map(left).collect()
}

fn drain(name: &str, force: bool) -> Intent {
    Intent::Drain { data_centre: data_centre(name), force }
}

/// Guards against a drain that does not state its capacity loss in advance.
#[test]
fn a_drain_first_stops_new_work_and_states_the_remaining_capacity() {
    let plan = plan(&small_estate(), &drain("a", false)).unwrap();
    assert_eq!(plan.steps[0].changes, [RecordKind::DrainDataCentre(data_centre("a"))]);
    assert_eq!((capacity(&plan, "p"), capacity(&plan, "q")), (vec![1, 1], vec![1, 1]));
    let expected = "pool p: 1 of 2 groups out, 1 left; they cannot carry the load (10 requests at a \
                    time, peak 15)";
    assert_eq!(&*plan.notices[0], expected);
    assert!(plan.notices[1].contains("route orders"), "{:?}", plan.notices);
    assert!(plan.depends_on.contains(&ObjectRef::DataCentre(data_centre("b"))));
}

/// Guards against leaving a pool without any serving group by mistake.
#[test]
fn a_drain_that_empties_a_pool_needs_force() {
    let refusal = plan(&small_estate(), &drain("b", false)).unwrap_err();
    assert!(refusal.contains("pool q would have no serving group left"), "{refusal}");
    assert_eq!(capacity(&plan(&small_estate(), &drain("b", true)).unwrap(), "q"), [0, 0]);
}

/// Guards against counting cold groups as capacity right after a return.
#[test]
fn a_return_counts_the_groups_once_they_are_warm() {
    let mut estate = small_estate();
    estate.drained.insert(data_centre("a"), Offset::new(9, 0));
    let plan = plan(&estate, &Intent::Return(data_centre("a"))).unwrap();
    assert_eq!(capacity(&plan, "p"), [1, 2]);
}

/// Guards against a roll that takes out too many groups at once or drops members.
#[test]
fn a_roll_replaces_a_limited_share_of_the_groups_per_step() {
    let mut estate = estate(pool("p", 2, 8), &[("a", "a1", 16)]);
    form_target_groups(&mut estate);
    let intent = Intent::Roll { pool: pool_name("p"), version: "2".into() };
    let plan = plan(&estate, &intent).unwrap();
    assert_eq!(capacity(&plan, "p"), [8, 6, 6, 6, 6, 8]);
    let RecordKind::PutPool(spec) = &plan.steps[0].changes[0] else { panic!("{plan:?}") };
    assert_eq!(&*spec.version, "2");
    let RecordKind::FormGroup(formed) = &plan.steps[1].changes[1] else { panic!("{plan:?}") };
    let RecordKind::RetireGroup(old) = &plan.steps[1].changes[0] else { panic!("{plan:?}") };
    assert_eq!(formed.members, estate.groups[old].spec.members);
}

/// Guards against a switch without a comparison, and a comparison that never ends.
#[test]
fn a_route_moves_by_comparing_switching_and_ending_the_comparison() {
    let route = RouteName::try_from("orders").unwrap();
    let plan = plan(&small_estate(), &Intent::MoveRoute { route, to: pool_name("q") }).unwrap();
    let pools = plan.steps.iter().map(|step| match &step.changes[..] {
        [RecordKind::PutRoute(spec)] => {
            (spec.pool.to_string(), spec.compare_pool.as_ref().map(PoolName::to_string))
        }
        other => panic!("{other:?}"),
    });
    let pools: Vec<(String, Option<String>)> = pools.collect();
    let some_pool = |name: &str| Some(name.to_owned());
    assert_eq!(
        pools,
        [
            ("p".to_owned(), some_pool("q")),
            ("q".to_owned(), some_pool("p")),
            ("q".to_owned(), None)
        ]
    );
    assert!(plan.notices.iter().any(|notice| notice.contains("resize it first")));
}

/// Guards against repair forming a retired group again.
#[test]
fn retiring_a_group_lowers_the_target() {
    let estate = small_estate();
    let group = estate.groups_of(&pool_name("p")).next().unwrap().spec.group.clone();
    let plan = plan(&estate, &Intent::RetireGroup { group: group.clone(), force: false }).unwrap();
    let [RecordKind::PutPool(spec), RecordKind::RetireGroup(retired)] = &plan.steps[0].changes[..]
    else {
        panic!("{plan:?}")
    };
    assert_eq!((spec.target_groups, retired, capacity(&plan, "p")), (1, &group, vec![1, 1]));
}

/// Guards against a plan that states capacity which the VMs cannot provide.
#[test]
fn a_resize_states_the_groups_that_repair_will_form() {
    let resize =
        |target_groups| Intent::Resize { pool: pool_name("p"), target_groups, force: false };
    let mut estate = small_estate();
    add_vm(&mut estate, &pool_name("p"), "a", "a1", 7);
    assert_eq!(capacity(&plan(&estate, &resize(3)).unwrap(), "p"), [2, 3]);
    assert_eq!(capacity(&plan(&estate, &resize(1)).unwrap(), "p"), [1, 1]);
    let refusal = plan(&estate, &resize(4)).unwrap_err();
    assert!(refusal.contains("at most 3 groups"), "{refusal}");
    assert!(plan(&estate, &resize(0)).unwrap_err().contains("--force"));
}

/// Guards against reducing the share of existing organisations without notice.
#[test]
fn onboarding_states_which_shares_fall() {
    let plan = plan(&small_estate(), &Intent::Onboard(organisation("mill", 3))).unwrap();
    assert!(plan.notices[1].contains("bakery: share under contention falls from 100 % to 25 %"));
}

/// Guards against refusals without a remedy for the operator.
#[rstest]
#[case::mistyped_name(
    drain("aa", false),
    "data centre \"aa\" does not exist; did you mean a or b?"
)]
#[case::not_drained(Intent::Return(data_centre("a")), "is not drained")]
#[case::exists(Intent::Onboard(organisation("bakery", 1)), "offboard it first")]
#[case::no_weight(Intent::Onboard(organisation("mill", 0)), "weight")]
#[case::offboard(
    Intent::Offboard(OrganisationName::try_from("bakry").unwrap()),
    "did you mean bakery?"
)]
#[case::same_version(Intent::Roll { pool: pool_name("p"), version: "1".into() }, "nothing to change")]
#[case::same_route(Intent::PutRoute(route("again", "/orders")), "route orders takes the same")]
#[case::unchanged_pool(Intent::PutPool(pool("p", 2, 2)), "nothing to change")]
#[case::other_group_size(Intent::PutPool(pool("p", 3, 2)), "put a new pool and move its routes")]
#[case::same_pool(
    Intent::MoveRoute { route: RouteName::try_from("orders").unwrap(), to: pool_name("p") },
    "nothing to change"
)]
fn refusals_name_the_cause_or_remedy(#[case] intent: Intent, #[case] expected: &str) {
    let refusal = plan(&small_estate(), &intent).unwrap_err();
    assert!(refusal.contains(expected), "{refusal}");
}

/// Guards against two plans that change the same object at once.
#[test]
fn an_intent_on_an_object_in_flight_is_refused_with_the_name_of_the_plan() {
    let mut estate = small_estate();
    let plan_name = PlanName::try_from("plan-0").ok();
    let objects = vec![ObjectRef::DataCentre(data_centre("a"))];
    estate.in_flight.push(InFlight { plan: plan_name, objects, vms: Vec::new() });
    let refusal = plan(&estate, &drain("a", false)).unwrap_err();
    assert!(refusal.contains("data centre a is being changed by plan plan-0"), "{refusal}");
}
