//! A discrete-event simulation of thirty days of failures, to compare repair policies.
//!
//! It simulates one pool of 900 VMs. For each seed, all policies see the same failures, load from
//! the same paced weight store and wait the same settled time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use balsam_plan::Estate;
use balsam_plan::Placement;
use balsam_plan::RepairLimits;
use balsam_plan::estate::GroupView;
use balsam_plan::estate::Presence;
use balsam_plan::pace::LoadOrder;
use balsam_plan::pace::rates;
use balsam_plan::repair;
use balsam_types::GroupName;
use balsam_types::GroupSpec;
use balsam_types::Offset;
use balsam_types::RecordKind;
use balsam_types::VmName;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::ACCELERATORS_PER_VM;
use crate::GROUP_VMS;

const SECOND_MS: u64 = 1_000;
const MINUTE_MS: u64 = 60 * SECOND_MS;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_MS: u64 = 24 * HOUR_MS;
/// The simulated time.
pub const MONTH_MS: u64 = 30 * DAY_MS;

/// The repair policies to compare.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The repair of this crate.
    Repair,
    /// The repair of this crate with first-fit placement.
    FirstFit,
    /// A broken group is retired and a new one formed from eight other VMs.
    ReplaceGroup,
    /// A broken group waits until its members are back.
    Wait,
}

/// The cost of a policy over the month.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    /// Group-hours below the target number of serving groups.
    pub downtime_h: f64,
    /// Mean accelerators of running VMs outside serving groups.
    pub unused_accelerators: f64,
    /// Longest time that one recorded group waited to serve.
    pub longest_wait_h: f64,
}

/// Start and end in ms of the outage of a VM.
type Outage = (u64, u64, VmName);

/// Samples the failures of a month; the durations are assumptions, the rates are from the design.
pub fn outages(estate: &Estate, seed: u64) -> Vec<Outage> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let vms: Vec<&VmName> = estate.vms.keys().collect();
    let mut outages = Vec::new();
    let mut sample =
        |per_month: f64, out_ms: (u64, u64), unit_of: fn(&Estate, &VmName) -> String| {
            let mut at_ms = 0.0;
            loop {
                let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
                at_ms -= uniform.ln() * MONTH_MS as f64 / per_month;
                if at_ms >= MONTH_MS as f64 {
                    return;
                }
                let failed_unit = unit_of(estate, vms[rng.random_range(0..vms.len())]);
                let until_ms = at_ms as u64 + rng.random_range(out_ms.0..out_ms.1);
                let failed_vms = vms.iter().filter(|vm| unit_of(estate, vm) == failed_unit);
                outages.extend(failed_vms.map(|vm| (at_ms as u64, until_ms, (*vm).clone())));
            }
        };
    let vm: fn(&Estate, &VmName) -> String = |_, vm| vm.to_string();
    sample(30.0 * 8.0, (4 * HOUR_MS, 24 * HOUR_MS), vm);
    sample(30.0 * 160.0, (30 * SECOND_MS, 180 * SECOND_MS), vm);
    sample(30.0 * 160.0, (5 * MINUTE_MS, 15 * MINUTE_MS), vm);
    sample(30.0 / 45.0, (HOUR_MS, 4 * HOUR_MS), |e, vm| e.vms[vm].info.fabric_domain.to_string());
    sample(30.0 / 60.0, (HOUR_MS, 8 * HOUR_MS), |e, vm| e.vms[vm].info.data_centre.to_string());
    outages
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Broken,
    Loading,
    Starting { until_ms: u64 },
    Serving,
}

struct Group {
    phase: Phase,
    since_ms: u64,
    loads: u32,
    remaining_bytes: u64,
}

#[derive(Default)]
struct Vm {
    outages: u32,
    group: Option<GroupName>,
    /// The position whose part of the weights the VM holds.
    loaded_position: Option<usize>,
}

struct Simulation<'a> {
    policy: Policy,
    limits: &'a RepairLimits,
    estate: Estate,
    vms: HashMap<VmName, Vm>,
    groups: BTreeMap<GroupName, Group>,
    running_vms: usize,
    serving: usize,
    target: usize,
    cost: Cost,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Down(VmName),
    Up(VmName),
    Settled,
}

/// Simulates a month; all groups serve at the start.
pub fn run(estate: &Estate, limits: &RepairLimits, policy: Policy, outages: &[Outage]) -> Cost {
    let placement = match policy {
        Policy::Repair => Placement::KeepSpares,
        _ => Placement::FirstFit,
    };
    let limits = RepairLimits { placement, ..*limits };
    let mut simulation = Simulation {
        policy,
        limits: &limits,
        estate: estate.clone(),
        vms: estate.vms.keys().map(|vm| (vm.clone(), Vm::default())).collect(),
        groups: BTreeMap::new(),
        running_vms: estate.vms.len(),
        serving: 0,
        target: estate.pools.values().map(|pool| pool.spec.target_groups as usize).sum(),
        cost: Cost::default(),
    };
    simulation.estate.now_ms = 0;
    simulation.start();
    let mut queue: BinaryHeap<Reverse<(u64, Event)>> = BinaryHeap::new();
    for (down_ms, up_ms, vm) in outages {
        queue.push(Reverse((*down_ms, Event::Down(vm.clone()))));
        queue.push(Reverse((*up_ms, Event::Up(vm.clone()))));
        queue.push(Reverse((*down_ms + limits.settled_ms, Event::Settled)));
    }
    while let Some(Reverse((at_ms, event))) = queue.pop() {
        simulation.advance(at_ms.min(MONTH_MS));
        if at_ms >= MONTH_MS {
            break;
        }
        simulation.apply_event(&event);
        // Simultaneous outages are repaired together.
        let has_simultaneous_event =
            queue.peek().is_some_and(|Reverse((next_ms, _))| *next_ms == at_ms);
        if !has_simultaneous_event {
            simulation.repair();
        }
    }
    simulation.advance(MONTH_MS);
    simulation.cost.unused_accelerators /= MONTH_MS as f64;
    simulation.cost
}

impl Simulation<'_> {
    fn start(&mut self) {
        for action in repair(&self.estate, self.limits) {
            self.fold(action.records.into_iter().map(|record| record.kind));
        }
        assert_eq!(self.groups.len(), self.target, "the target fits into the estate");
        for group in self.groups.values_mut() {
            group.phase = Phase::Serving;
        }
        self.serving = self.target;
        for (name, view) in &self.estate.groups {
            for (position, vm) in view.spec.members.iter().enumerate() {
                let vm = self.vms.get_mut(vm).expect("members are listed");
                assert_eq!(vm.group.as_ref(), Some(name));
                vm.loaded_position = Some(position);
            }
        }
    }

    /// Advances the clock and completes the loads and starts that end before `to_ms`.
    fn advance(&mut self, to_ms: u64) {
        while self.estate.now_ms < to_ms {
            let now_ms = self.estate.now_ms;
            let loading: Vec<LoadOrder> = self
                .groups
                .iter()
                .filter(|(_, group)| group.phase == Phase::Loading)
                .map(|(name, group)| LoadOrder {
                    group: name.clone(),
                    priority: 0,
                    waiting_since_ms: group.since_ms,
                    members: group.loads,
                    remaining_bytes: group.remaining_bytes,
                })
                .collect();
            let rates = rates(&loading, &self.limits.store);
            let loads = loading.iter().zip(&rates).filter(|(_, rate)| **rate > 0);
            let loaded = loads.map(|(order, rate)| {
                now_ms + (order.remaining_bytes * 1000).div_ceil(*rate).max(1)
            });
            let started = self.groups.values().filter_map(|group| match group.phase {
                Phase::Starting { until_ms } => Some(until_ms),
                _ => None,
            });
            let next_ms = loaded.chain(started).min().unwrap_or(to_ms).min(to_ms);
            self.add_cost((next_ms - now_ms) as f64);
            self.estate.now_ms = next_ms;
            for (order, rate) in loading.iter().zip(&rates) {
                let group = self.groups.get_mut(&order.group).expect("listed above");
                let moved = rate * (next_ms - now_ms) / 1000;
                group.remaining_bytes = group.remaining_bytes.saturating_sub(moved);
                if group.remaining_bytes == 0 {
                    let until_ms = next_ms + self.limits.start_ms;
                    group.phase = Phase::Starting { until_ms };
                    for (position, vm) in
                        self.estate.groups[&order.group].spec.members.iter().enumerate()
                    {
                        self.vms.get_mut(vm).expect("members are listed").loaded_position =
                            Some(position);
                    }
                }
            }
            for group in self.groups.values_mut() {
                if let Phase::Starting { until_ms } = group.phase
                    && until_ms <= next_ms
                {
                    group.phase = Phase::Serving;
                    self.serving += 1;
                    let waited_h = (next_ms - group.since_ms) as f64 / HOUR_MS as f64;
                    self.cost.longest_wait_h = self.cost.longest_wait_h.max(waited_h);
                }
            }
        }
    }

    fn add_cost(&mut self, elapsed_ms: f64) {
        let unused_vms = self.running_vms - self.serving * GROUP_VMS;
        let missing_groups = self.target.saturating_sub(self.serving);
        self.cost.downtime_h += missing_groups as f64 * elapsed_ms / HOUR_MS as f64;
        self.cost.unused_accelerators += (unused_vms * ACCELERATORS_PER_VM) as f64 * elapsed_ms;
    }

    fn apply_event(&mut self, event: &Event) {
        let (name, is_down) = match event {
            Event::Down(name) => (name, true),
            Event::Up(name) => (name, false),
            Event::Settled => return,
        };
        let vm = self.vms.get_mut(name).expect("outages hit listed VMs");
        let before = vm.outages;
        vm.outages = if is_down { before + 1 } else { before - 1 };
        if before.min(vm.outages) > 0 {
            return;
        }
        vm.loaded_position = None;
        self.running_vms = if is_down { self.running_vms - 1 } else { self.running_vms + 1 };
        let view = self.estate.vms.get_mut(name).expect("outages hit listed VMs");
        view.presence = if is_down { Presence::Missing } else { Presence::Present };
        view.since_ms = self.estate.now_ms;
        if let Some(group) = vm.group.clone() {
            self.update_phase(&group);
        }
    }

    /// Updates the phase of a group after a change of its members.
    fn update_phase(&mut self, name: &GroupName) {
        let view = self.estate.groups.get_mut(name).expect("members name a listed group");
        let group = self.groups.get_mut(name).expect("kept beside the estate");
        if group.phase == Phase::Serving {
            self.serving -= 1;
            group.since_ms = self.estate.now_ms;
        }
        let members = view.spec.members.iter().map(|vm| &self.vms[vm]);
        let missing = members.clone().filter(|vm| vm.outages > 0).count();
        let loads = members
            .enumerate()
            .filter(|(position, vm)| vm.loaded_position != Some(*position))
            .count();
        group.loads = loads as u32;
        group.remaining_bytes = loads as u64 * self.estate.pools[&view.spec.pool].spec.weight_bytes;
        let since_ms = view.incomplete_since_ms.unwrap_or(self.estate.now_ms);
        view.incomplete_since_ms = (missing > 0).then_some(since_ms);
        group.phase = match (missing, loads) {
            (0, 0) => Phase::Starting { until_ms: self.estate.now_ms + self.limits.start_ms },
            (0, _) => Phase::Loading,
            _ => Phase::Broken,
        };
    }

    fn repair(&mut self) {
        let settled = |view: &GroupView| {
            let since_ms = view.incomplete_since_ms.unwrap_or(u64::MAX);
            since_ms.saturating_add(self.limits.settled_ms) <= self.estate.now_ms
        };
        let broken = self.estate.groups.values().any(settled);
        if !broken && self.groups.len() >= self.target {
            return;
        }
        match self.policy {
            Policy::Wait => {}
            Policy::ReplaceGroup => self.replace_groups(),
            Policy::Repair | Policy::FirstFit => {
                for action in repair(&self.estate, self.limits) {
                    self.fold(action.records.into_iter().map(|record| record.kind));
                }
            }
        }
    }

    fn replace_groups(&mut self) {
        let settled_ms = self.limits.settled_ms;
        let now_ms = self.estate.now_ms;
        let broken: Vec<GroupSpec> = self
            .estate
            .groups
            .values()
            .filter(|view| view.incomplete_since_ms.is_some_and(|ms| ms + settled_ms <= now_ms))
            .map(|view| view.spec.clone())
            .collect();
        for old in broken {
            let mut free: BTreeMap<_, Vec<VmName>> = BTreeMap::new();
            for (name, view) in &self.estate.vms {
                if self.vms[name].outages == 0 && self.vms[name].group.is_none() {
                    let key = (&view.info.data_centre, &view.info.fabric_domain);
                    free.entry(key).or_default().push(name.clone());
                }
            }
            let fitting = free.into_iter().find(|(_, vms)| vms.len() >= GROUP_VMS);
            let Some(((centre, domain), mut members)) = fitting else { return };
            members.truncate(GROUP_VMS);
            let group = GroupName::try_from(format!("whole-{}", self.estate.as_of.append));
            let spec = GroupSpec {
                group: group.expect("a short name"),
                pool: old.pool.clone(),
                data_centre: centre.clone(),
                fabric_domain: domain.clone(),
                members,
                version: old.version,
            };
            let records = [RecordKind::RetireGroup(old.group), RecordKind::FormGroup(spec)];
            self.fold(records.into_iter());
        }
    }

    fn fold(&mut self, records: impl Iterator<Item = RecordKind>) {
        // The group that replaces a broken one inherits its downtime.
        let mut since_ms = self.estate.now_ms;
        for record in records {
            self.estate.as_of = Offset::new(self.estate.as_of.append + 1, 0);
            match record {
                RecordKind::RetireGroup(name) => {
                    let view = self.estate.groups.remove(&name).expect("retired once");
                    let group = self.groups.remove(&name).expect("kept beside the estate");
                    assert_ne!(group.phase, Phase::Serving, "only broken groups are retired");
                    since_ms = since_ms.min(group.since_ms);
                    for vm in &view.spec.members {
                        self.vms.get_mut(vm).expect("members are listed").group = None;
                    }
                }
                RecordKind::FormGroup(spec) => {
                    let name = spec.group.clone();
                    for vm in &spec.members {
                        let vm = self.vms.get_mut(vm).expect("members are listed");
                        assert!(vm.group.is_none(), "a VM in two groups");
                        vm.group = Some(name.clone());
                    }
                    let changed = self.estate.as_of;
                    let view = GroupView { spec, changed, incomplete_since_ms: None };
                    self.estate.groups.insert(name.clone(), view);
                    let phase = Phase::Broken;
                    let group = Group { phase, since_ms, loads: 0, remaining_bytes: 0 };
                    self.groups.insert(name.clone(), group);
                    self.update_phase(&name);
                }
                other => panic!("repair appended {}", other.label()),
            }
        }
    }
}
