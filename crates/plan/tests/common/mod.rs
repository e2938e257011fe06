//! Test estates and helpers shared by the tests of this crate.

use std::collections::BTreeMap;

use balsam_plan::Estate;
use balsam_plan::Placement;
use balsam_plan::PlanLimits;
use balsam_plan::RepairAction;
use balsam_plan::RepairLimits;
use balsam_plan::estate::GroupView;
use balsam_plan::estate::PoolView;
use balsam_plan::estate::Presence;
use balsam_plan::estate::VmView;
use balsam_plan::pace::StoreBudget;
use balsam_types::*;

pub const GB: u64 = 1_000_000_000;

pub fn limits() -> RepairLimits {
    RepairLimits {
        settled_ms: 30_000,
        max_actions: usize::MAX,
        start_ms: 20_000,
        quarantine_ms: 10_000,
        store: StoreBudget {
            total_bytes_per_s: 10 * GB,
            vm_bytes_per_s: 2 * GB,
            committed_bytes: 0,
        },
        placement: Placement::KeepSpares,
    }
}

pub fn plan_limits() -> PlanLimits {
    PlanLimits { roll_percent: 25, repair: limits() }
}

pub fn pool(name: &str, group_vms: u32, target_groups: u32) -> PoolSpec {
    PoolSpec {
        pool: PoolName::try_from(name).unwrap(),
        kind: PoolKind::Model,
        model: "report".into(),
        version: "1".into(),
        group_vms,
        target_groups,
        limit: 10,
        cold_limit: 1,
        checks_fence: true,
        not_run_statuses: Vec::new(),
        weight_bytes: 40 * GB,
    }
}

/// Creates an estate at 1,000 s with one pool; each domain is (data centre, domain, VM count).
pub fn estate(spec: PoolSpec, domains: &[(&str, &str, usize)]) -> Estate {
    let mut estate = Estate { as_of: Offset::new(7, 0), now_ms: 1_000_000, ..Estate::default() };
    for (centre, domain, vms) in domains {
        for index in 0..*vms {
            add_vm(&mut estate, &spec.pool, centre, domain, index);
        }
    }
    let view = PoolView { spec: spec.clone(), changed: Offset::new(1, 0), peak_in_flight: 15 };
    estate.pools.insert(spec.pool, view);
    estate
}

pub fn add_vm(estate: &mut Estate, pool: &PoolName, centre: &str, domain: &str, index: usize) {
    let vm = VmName::try_from(format!("{domain}-v{index:02}")).unwrap();
    let address = "127.0.0.1:1".parse().unwrap();
    let role = VmRole::Endpoint { pool: pool.clone(), address, accelerators: 4 };
    let info = VmInfo {
        vm: vm.clone(),
        region: RegionName::try_from("r").unwrap(),
        data_centre: DataCentreName::try_from(centre).unwrap(),
        fabric_domain: FabricDomainName::try_from(domain).unwrap(),
        state: VmState::Live,
        role,
    };
    let view = VmView { info, presence: Presence::Present, slow: false, since_ms: 0 };
    estate.vms.insert(vm, view);
}

pub fn set_presence(estate: &mut Estate, vm: &str, presence: Presence, since_ms: u64) {
    let view = estate.vms.get_mut(vm).unwrap();
    (view.presence, view.since_ms) = (presence, since_ms);
}

/// Applies an action like the fold of the replicated state; panics where the fold would reject it.
pub fn apply(estate: &mut Estate, action: &RepairAction) {
    for record in &action.records {
        estate.as_of = Offset::new(estate.as_of.append + 1, 0);
        match &record.kind {
            RecordKind::RetireGroup(name) => {
                let old = estate.groups.remove(name).expect("the retired group exists");
                assert_eq!(old.changed, record.expect_offset, "precondition of {name}");
            }
            RecordKind::FormGroup(spec) => {
                assert_eq!(record.expect_offset, Offset::default());
                form_group(estate, spec.clone());
            }
            other => panic!("repair appended {}", other.label()),
        }
    }
}

pub fn form_group(estate: &mut Estate, spec: GroupSpec) {
    let spec = spec.check().unwrap();
    for member in &spec.members {
        let taken = estate.groups.values().find(|group| group.spec.members.contains(member));
        assert!(taken.is_none(), "{member} of {} is in {taken:?}", spec.group);
        let info = &estate.vms[member].info;
        assert_eq!(info.fabric_domain, spec.fabric_domain, "{} spans domains", spec.group);
        assert_eq!(info.data_centre, spec.data_centre);
    }
    assert!(
        !estate.drained.contains_key(&spec.data_centre),
        "{} is in a drained data centre",
        spec.group
    );
    let view = GroupView { changed: estate.as_of, incomplete_since_ms: None, spec };
    let old = estate.groups.insert(view.spec.group.clone(), view);
    assert!(old.is_none(), "a group name is used twice");
}

/// Forms all groups that the pools' targets require.
pub fn form_target_groups(estate: &mut Estate) {
    for action in balsam_plan::repair(estate, &limits()) {
        apply(estate, &action);
    }
}

pub fn groups_per_domain(estate: &Estate) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for group in estate.groups.values() {
        *counts.entry(group.spec.fabric_domain.to_string()).or_default() += 1;
    }
    counts
}
