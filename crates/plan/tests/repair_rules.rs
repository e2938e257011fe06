//! Tests for each repair rule of `docs/design.md`, section 11.

#[expect(dead_code, reason = "each test binary uses a part of the shared helpers")]
mod common;

use balsam_plan::estate::InFlight;
use balsam_plan::estate::Presence;
use balsam_plan::repair;
use balsam_plan::repair::RepairKind;
use balsam_types::record::ObjectRef;
use balsam_types::*;
use common::*;
use rstest::rstest;

/// Early enough that a member missing since then counts as gone.
const SETTLED_SINCE_MS: u64 = 900_000;

fn action_kinds(estate: &balsam_plan::Estate) -> Vec<RepairKind> {
    repair(estate, &limits()).iter().map(|action| action.kind).collect()
}

/// Guards against a rebuild that makes kept members load again or changes their positions.
#[test]
fn a_spare_of_the_domain_takes_the_position_and_only_it_loads() {
    let mut estate = estate(pool("p", 4, 1), &[("a", "a1", 5), ("b", "b1", 4)]);
    form_target_groups(&mut estate);
    let group = estate.groups.values().next().unwrap().spec.clone();
    set_presence(&mut estate, group.members[1].as_str(), Presence::Missing, SETTLED_SINCE_MS);
    let actions = repair(&estate, &limits());
    let [action] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(action.kind, RepairKind::Spare);
    let RecordKind::FormGroup(formed) = &action.records[1].kind else { panic!("{action:?}") };
    assert_eq!(formed.members[0], group.members[0]);
    assert_eq!(formed.members[2..], group.members[2..]);
    assert_eq!(action.loads, [formed.members[1].clone()]);
    assert_eq!((action.bytes, action.downtime_ms), (40 * GB, 40_000));
}

/// Guards against flapping: a short absence must neither trigger a rebuild nor use up the spare.
#[rstest]
#[case::missing_briefly(Presence::Missing, 980_000)]
#[case::suspect_for_a_long_time(Presence::Suspect, 0)]
fn a_member_that_may_return_keeps_its_group(#[case] presence: Presence, #[case] since_ms: u64) {
    let mut estate = estate(pool("p", 4, 1), &[("a", "a1", 5)]);
    form_target_groups(&mut estate);
    set_presence(&mut estate, "a1-v02", presence, since_ms);
    assert_eq!(action_kinds(&estate), []);
    estate.vms.get_mut("a1-v03").unwrap().slow = true;
    assert_eq!(action_kinds(&estate), []);
}

/// Guards against groups that each wait for a VM when together they could form a complete one.
#[test]
fn incomplete_groups_of_a_domain_are_recombined_without_loads_where_positions_match() {
    let mut estate = estate(pool("p", 4, 3), &[("a", "a1", 12), ("b", "b1", 3)]);
    form_target_groups(&mut estate);
    let heads: Vec<VmName> = estate.groups.values().map(|g| g.spec.members[0].clone()).collect();
    set_presence(&mut estate, heads[0].as_str(), Presence::Missing, SETTLED_SINCE_MS);
    let second = estate.groups.values().nth(1).unwrap().spec.members[3].clone();
    set_presence(&mut estate, second.as_str(), Presence::Missing, SETTLED_SINCE_MS);
    let actions = repair(&estate, &limits());
    assert_eq!(actions.len(), 1);
    assert_eq!((actions[0].kind, actions[0].bytes), (RepairKind::Recombine, 0));
    assert_eq!(actions[0].unused_accelerators, 8);
    apply(&mut estate, &actions[0]);
    assert_eq!(estate.groups.len(), 2);
}

/// Guards against groups that stay down until their lost domain returns.
#[test]
fn a_lost_domain_is_replaced_in_another_but_not_in_a_drained_data_centre() {
    let mut estate = estate(pool("p", 4, 1), &[("a", "a1", 4), ("b", "b1", 4), ("c", "c1", 4)]);
    form_target_groups(&mut estate);
    let lost = estate.groups.values().next().unwrap().spec.fabric_domain.clone();
    for index in 0..4 {
        set_presence(
            &mut estate,
            &format!("{lost}-v{index:02}"),
            Presence::Missing,
            SETTLED_SINCE_MS,
        );
    }
    estate.drained.insert(DataCentreName::try_from("b").unwrap(), Offset::new(2, 0));
    let actions = repair(&estate, &limits());
    assert_eq!(actions.len(), 1);
    assert_eq!(actions[0].kind, RepairKind::Elsewhere);
    apply(&mut estate, &actions[0]);
    assert_eq!(groups_per_domain(&estate).into_iter().collect::<Vec<_>>(), [("c1".to_owned(), 1)]);
}

/// Guards against using the only spare for a group that stays incomplete with it.
#[test]
fn the_group_that_can_serve_soonest_is_repaired_first() {
    let mut estate = estate(pool("p", 4, 2), &[("a", "a1", 9)]);
    form_target_groups(&mut estate);
    let groups: Vec<GroupSpec> = estate.groups.values().map(|g| g.spec.clone()).collect();
    set_presence(&mut estate, groups[0].members[0].as_str(), Presence::Missing, SETTLED_SINCE_MS);
    set_presence(&mut estate, groups[0].members[1].as_str(), Presence::Missing, SETTLED_SINCE_MS);
    set_presence(&mut estate, groups[1].members[0].as_str(), Presence::Missing, SETTLED_SINCE_MS);
    let actions = repair(&estate, &limits());
    assert_eq!(actions.len(), 1);
    assert_eq!(actions[0].records[0].kind, RecordKind::RetireGroup(groups[1].group.clone()));
}

/// Guards against a new group that uses the spare which a missing member may need.
#[test]
fn new_groups_do_not_use_the_spares_reserved_for_unsettled_members() {
    let mut estate = estate(pool("p", 4, 1), &[("a", "a1", 8)]);
    form_target_groups(&mut estate);
    set_presence(&mut estate, "a1-v00", Presence::Missing, 980_000);
    estate.pools.get_mut("p").unwrap().spec.target_groups = 2;
    assert_eq!(action_kinds(&estate), []);
    set_presence(&mut estate, "a1-v00", Presence::Present, 999_000);
    assert_eq!(action_kinds(&estate), [RepairKind::Target]);
}

/// Guards against spares that are all in domains without groups.
#[test]
fn placement_keeps_spares_in_the_domains_of_groups_and_first_fit_does_not() {
    let domains = [("a", "a1", 9), ("a", "a2", 8), ("a", "a3", 8)];
    let mut balanced = estate(pool("p", 4, 4), &domains);
    let mut first_fit = balanced.clone();
    form_target_groups(&mut balanced);
    // The ninth VM of a1 is a spare for its two groups; with two groups, a2 would have none.
    assert_eq!(groups_per_domain(&balanced).values().collect::<Vec<_>>(), [&2, &1, &1]);
    let placement = balsam_plan::Placement::FirstFit;
    for action in repair(&first_fit, &balsam_plan::RepairLimits { placement, ..limits() }) {
        apply(&mut first_fit, &action);
    }
    assert_eq!(groups_per_domain(&first_fit).values().collect::<Vec<_>>(), [&2, &2]);
}

/// Guards against a small pool placed in one data centre, whose loss would stop it.
#[test]
fn placement_spreads_a_pool_over_data_centres() {
    let domains = [("a", "a1", 16), ("b", "b1", 9), ("c", "c1", 9)];
    let mut estate = estate(pool("p", 4, 3), &domains);
    form_target_groups(&mut estate);
    assert_eq!(groups_per_domain(&estate).values().collect::<Vec<_>>(), [&1, &1, &1]);
}

/// Guards against forming a second group while the append that forms the first is in flight.
#[test]
fn repair_does_not_repeat_changes_in_flight() {
    let mut estate = estate(pool("p", 4, 1), &[("a", "a1", 12)]);
    let action = repair(&estate, &limits()).remove(0);
    let objects = vec![ObjectRef::Group(action.group)];
    estate.in_flight.push(InFlight { plan: None, objects, vms: action.loads });
    assert_eq!(action_kinds(&estate), []);
}

/// Guards against a new group whose members still execute the orders of an old one.
#[test]
fn a_pool_that_ignores_fencing_numbers_waits_for_the_quarantine() {
    let mut spec = pool("p", 4, 1);
    spec.checks_fence = false;
    let estate = estate(spec, &[("a", "a1", 4)]);
    assert_eq!(repair(&estate, &limits())[0].downtime_ms, 20_000 + 20_000 + 10_000);
}

/// Guards against an overflow that would stop planning on every node at once.
#[test]
fn the_largest_weight_size_does_not_overflow() {
    let mut spec = pool("p", 4, 1);
    spec.weight_bytes = u64::MAX;
    let estate = estate(spec, &[("a", "a1", 4)]);
    assert_eq!(repair(&estate, &limits())[0].bytes, u64::MAX);
}
