//! Forms missing groups and repairs incomplete ones. See `docs/design.md`, section 11.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;

use balsam_types::GroupName;
use balsam_types::GroupSpec;
use balsam_types::Offset;
use balsam_types::PoolName;
use balsam_types::PoolSpec;
use balsam_types::RecordKind;
use balsam_types::VmName;
use balsam_types::VmState;
use balsam_types::record::ObjectRef;

use crate::estate::Estate;
use crate::estate::GroupView;
use crate::estate::Presence;
use crate::pace::StoreBudget;
use crate::pace::duration_ms;
use crate::place;
use crate::place::Domain;
use crate::place::DomainKey;
use crate::place::Placement;

/// The limits and timing parameters of repair.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepairLimits {
    /// How long a member must be missing before its group is rebuilt.
    pub settled_ms: u64,
    /// Maximum number of actions per call.
    pub max_actions: usize,
    /// Time from the end of loading until a group serves.
    pub start_ms: u64,
    /// Wait before a new group of a pool that ignores fencing numbers starts.
    pub quarantine_ms: u64,
    /// The bandwidth of the weight store, for estimates.
    pub store: StoreBudget,
    /// How domains are chosen for new groups.
    pub placement: Placement,
}

/// The repair rule that an action applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RepairKind {
    /// Replaces missing members by spares of the same domain.
    Spare,
    /// Combines several incomplete groups of a domain into one complete group.
    Recombine,
    /// Replaces a group by a new one in another domain.
    Elsewhere,
    /// Forms a group because the pool is below its target.
    Target,
}

/// A record with its precondition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRecord {
    /// The offset of the last change of the object; [`Offset::default`] if it must not exist.
    pub expect_offset: Offset,
    /// The change.
    pub kind: RecordKind,
}

/// One repair action; its records go into one append, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RepairAction {
    /// The rule.
    pub kind: RepairKind,
    /// The group that is formed.
    pub group: GroupName,
    /// The records.
    pub records: Vec<PlannedRecord>,
    /// Members that have to load weights; the others keep theirs.
    pub loads: Vec<VmName>,
    /// Estimated time until the group serves, if no other group loads from the weight store.
    pub downtime_ms: u64,
    /// Accelerators of retired groups that are left without a group.
    pub unused_accelerators: u32,
    /// Bytes to load.
    pub bytes: u64,
}

/// An incomplete group whose missing members have been missing for the settled time.
struct Broken<'a> {
    view: &'a GroupView,
    pool: &'a PoolSpec,
    key: DomainKey<'a>,
    /// Members by position, `None` where one is gone; the position determines the part of the
    /// weights that a member holds.
    kept: Vec<Option<&'a VmName>>,
}

impl Broken<'_> {
    fn missing(&self) -> usize {
        self.kept.iter().filter(|member| member.is_none()).count()
    }
}

/// The status of a group member for repair.
enum MemberStatus {
    Kept,
    Gone,
    Unsettled,
}

/// Sort key of actions: group downtime, then unused accelerators, then bytes.
type OrderKey = (u64, u32, u64);

/// The state of one repair call.
struct RepairState<'a> {
    estate: &'a Estate,
    limits: &'a RepairLimits,
    domains: BTreeMap<&'a PoolName, BTreeMap<DomainKey<'a>, Domain<'a>>>,
    /// Numbers of groups per pool that the actions so far retire and form.
    retired: BTreeMap<&'a PoolName, usize>,
    formed: BTreeMap<&'a PoolName, usize>,
    next_name_index: usize,
    actions: Vec<(OrderKey, RepairAction)>,
}

/// Returns the actions that bring the estate closer to its targets, most urgent first.
///
/// After all of them are applied, another call returns none unless something else changed.
pub fn repair(estate: &Estate, limits: &RepairLimits) -> Vec<RepairAction> {
    let mut state = RepairState {
        estate,
        limits,
        domains: BTreeMap::new(),
        retired: BTreeMap::new(),
        formed: BTreeMap::new(),
        next_name_index: 0,
        actions: Vec::new(),
    };
    state.collect_free_vms();
    let mut broken = state.collect_broken_groups();
    broken.sort_by_key(|b| {
        let bytes = b.pool.weight_bytes.saturating_mul(b.missing() as u64);
        (state.downtime_ms(b.pool, b.missing()), bytes, b.view.incomplete_since_ms, b.view.changed)
    });
    let broken = state.use_spares(broken);
    let broken = state.recombine(broken);
    state.form_elsewhere(broken);
    state.form_for_targets();
    // The sort is stable, and an action never has a smaller key than one whose freed VMs it needs.
    state.actions.sort_by_key(|(key, _)| *key);
    state.actions.into_iter().map(|(_, action)| action).take(limits.max_actions).collect()
}

impl<'a> RepairState<'a> {
    fn collect_free_vms(&mut self) {
        let estate = self.estate;
        let in_groups = estate.groups.values().flat_map(|group| &group.spec.members);
        let in_flight = estate.in_flight.iter().flat_map(|change| &change.vms);
        let taken: HashSet<&VmName> = in_groups.chain(in_flight).collect();
        for (name, vm) in &estate.vms {
            let Some((pool, _)) = vm.endpoint() else { continue };
            let is_drained = estate.drained.contains_key(&vm.info.data_centre);
            if vm.is_usable() && !is_drained && !taken.contains(name) {
                let key = (&vm.info.data_centre, &vm.info.fabric_domain);
                self.domains.entry(pool).or_default().entry(key).or_default().free.push(name);
            }
        }
        for group in estate.groups.values() {
            let key = (&group.spec.data_centre, &group.spec.fabric_domain);
            let domains = self.domains.entry(&group.spec.pool).or_default();
            domains.entry(key).or_default().groups += 1;
        }
    }

    fn collect_broken_groups(&mut self) -> Vec<Broken<'a>> {
        let estate = self.estate;
        let mut broken = Vec::new();
        for (name, view) in &estate.groups {
            let spec = &view.spec;
            let Some(pool) = estate.pools.get(&spec.pool).map(|pool| &pool.spec) else { continue };
            let object = ObjectRef::Group(name.clone());
            let has_change_in_flight =
                !estate.in_flight.is_empty() && estate.change_in_flight(&object).is_some();
            let is_drained = estate.drained.contains_key(&spec.data_centre);
            let has_pool_size = spec.members.len() == pool.group_vms as usize;
            if has_change_in_flight || is_drained || !has_pool_size {
                continue;
            }
            let members: Vec<MemberStatus> =
                spec.members.iter().map(|member| self.member_status(view, member)).collect();
            let key = (&spec.data_centre, &spec.fabric_domain);
            let unsettled = members.iter().filter(|m| matches!(m, MemberStatus::Unsettled)).count();
            if unsettled > 0 {
                let domains = self.domains.entry(&spec.pool).or_default();
                domains.entry(key).or_default().reserved += unsettled;
            } else if members.iter().any(|m| matches!(m, MemberStatus::Gone)) {
                let keep = |(vm, member)| matches!(member, MemberStatus::Kept).then_some(vm);
                let kept = spec.members.iter().zip(members).map(keep).collect();
                broken.push(Broken { view, pool, key, kept });
            }
        }
        broken
    }

    /// A slow or suspect member is kept: replacing it would cost a load for a transient fault.
    fn member_status(&self, group: &GroupView, name: &VmName) -> MemberStatus {
        let settled =
            |since_ms: u64| self.estate.now_ms.saturating_sub(since_ms) >= self.limits.settled_ms;
        let Some(vm) = self.estate.vms.get(name) else {
            // The VM list lags, so an unlisted VM gets the same time to return.
            let since_ms = group.incomplete_since_ms.unwrap_or(self.estate.now_ms);
            return if settled(since_ms) { MemberStatus::Gone } else { MemberStatus::Unsettled };
        };
        let has_moved = vm.info.fabric_domain != group.spec.fabric_domain
            || vm.info.data_centre != group.spec.data_centre;
        match vm.presence {
            _ if has_moved || vm.info.state == VmState::Leaving => MemberStatus::Gone,
            Presence::Missing if settled(vm.since_ms) => MemberStatus::Gone,
            Presence::Missing => MemberStatus::Unsettled,
            Presence::Present | Presence::Suspect => MemberStatus::Kept,
        }
    }

    fn domain(&mut self, pool: &'a PoolName, key: DomainKey<'a>) -> &mut Domain<'a> {
        self.domains.entry(pool).or_default().entry(key).or_default()
    }

    fn use_spares(&mut self, broken: Vec<Broken<'a>>) -> Vec<Broken<'a>> {
        let mut unrepaired = Vec::new();
        for group in broken {
            let free = &mut self.domain(&group.pool.pool, group.key).free;
            let missing = group.missing();
            if free.len() < missing {
                unrepaired.push(group);
                continue;
            }
            let spares: Vec<&VmName> = free.drain(..missing).collect();
            let key = (0, 0, 0);
            self.rebuild(RepairKind::Spare, &group, &[], Vec::new(), spares, key);
        }
        unrepaired
    }

    fn recombine(&mut self, broken: Vec<Broken<'a>>) -> Vec<Broken<'a>> {
        let mut by_domain: BTreeMap<(&PoolName, DomainKey<'a>), Vec<Broken<'a>>> = BTreeMap::new();
        for group in broken {
            by_domain.entry((&group.pool.pool, group.key)).or_default().push(group);
        }
        let mut unrepaired = Vec::new();
        for ((pool, key), mut groups) in by_domain {
            let mut previous_key = (0, 0, 0);
            while groups.len() > 1 {
                let target = groups.remove(0);
                let missing = target.missing();
                let free = self.domain(pool, key).free.len();
                let mut available = free;
                let mut donors = Vec::new();
                // Groups with the most missing members become donors first.
                while available < missing
                    && let Some(donor) = groups.pop()
                {
                    available += self.usable_members(&donor).count();
                    donors.push(donor);
                }
                if available < missing {
                    donors.reverse();
                    groups.extend(donors);
                    groups.insert(0, target);
                    break;
                }
                let donated: Vec<(usize, &VmName)> =
                    donors.iter().flat_map(|donor| self.usable_members(donor)).collect();
                let free = std::mem::take(&mut self.domain(pool, key).free);
                let kind = RepairKind::Recombine;
                previous_key = self.rebuild(kind, &target, &donors, donated, free, previous_key);
            }
            unrepaired.extend(groups);
        }
        unrepaired.sort_by_key(|b| (b.view.incomplete_since_ms, &b.view.spec.group));
        unrepaired
    }

    /// Returns the members that could join another group, with their positions.
    fn usable_members<'b>(
        &self,
        group: &'b Broken<'a>,
    ) -> impl Iterator<Item = (usize, &'a VmName)> + 'b {
        let estate = self.estate;
        let kept = group.kept.iter().enumerate();
        kept.filter_map(|(position, member)| member.map(|vm| (position, vm)))
            .filter(|(_, vm)| estate.vms.get(*vm).is_some_and(|view| view.is_usable()))
    }

    /// Fills the missing positions of `target`; VMs that are left over become free.
    fn rebuild(
        &mut self,
        kind: RepairKind,
        target: &Broken<'a>,
        donors: &[Broken<'a>],
        mut donated: Vec<(usize, &'a VmName)>,
        spares: Vec<&'a VmName>,
        previous_key: OrderKey,
    ) -> OrderKey {
        let mut members = target.kept.clone();
        let mut loads = Vec::new();
        // A donor's member at the same position already holds the right weights.
        for (position, slot) in members.iter_mut().enumerate().filter(|(_, s)| s.is_none()) {
            if let Some(donated_index) =
                donated.iter().position(|(donor_position, _)| *donor_position == position)
            {
                *slot = Some(donated.swap_remove(donated_index).1);
            }
        }
        donated.sort();
        let mut donated = donated.into_iter().map(|(_, vm)| vm);
        let mut spares = spares.into_iter();
        for slot in members.iter_mut().filter(|slot| slot.is_none()) {
            *slot = donated.next().or_else(|| spares.next());
            loads.extend(slot.cloned());
        }
        let mut leftover: Vec<&VmName> = donated.collect();
        let unused = self.accelerators(&leftover);
        leftover.extend(spares);
        let domain = self.domain(&target.pool.pool, target.key);
        domain.free.extend(leftover);
        domain.free.sort();
        domain.groups -= donors.len();
        *self.retired.entry(&target.pool.pool).or_default() += donors.len() + 1;
        let retired = std::iter::once(target).chain(donors).map(|group| group.view);
        let members = members.into_iter().flatten().cloned().collect();
        self.push_action(
            kind,
            target.pool,
            target.key,
            retired,
            members,
            loads,
            unused,
            previous_key,
        )
    }

    fn form_elsewhere(&mut self, broken: Vec<Broken<'a>>) {
        for group in broken {
            let pool = group.pool;
            let size = pool.group_vms as usize;
            let Some(domains) = self.domains.get(&pool.pool) else { continue };
            let Some(key) = place::choose(domains, size, self.limits.placement) else { continue };
            let members: Vec<VmName> =
                self.domain(&pool.pool, key).free.drain(..size).cloned().collect();
            self.domain(&pool.pool, key).groups += 1;
            let freed: Vec<&VmName> = self.usable_members(&group).map(|(_, vm)| vm).collect();
            let unused = self.accelerators(&freed);
            let old_domain = self.domain(&pool.pool, group.key);
            old_domain.groups -= 1;
            old_domain.free.extend(freed);
            old_domain.free.sort();
            *self.retired.entry(&pool.pool).or_default() += 1;
            let retired = std::iter::once(group.view);
            let loads = members.clone();
            let kind = RepairKind::Elsewhere;
            self.push_action(kind, pool, key, retired, members, loads, unused, (0, 0, 0));
        }
    }

    fn form_for_targets(&mut self) {
        let mut counts: BTreeMap<&PoolName, usize> = BTreeMap::new();
        for group in self.estate.groups.values() {
            *counts.entry(&group.spec.pool).or_default() += 1;
        }
        for (name, pool) in &self.estate.pools {
            let pool = &pool.spec;
            let size = pool.group_vms as usize;
            if size == 0 || self.is_forming(name) {
                continue;
            }
            let count = |map: &BTreeMap<&PoolName, usize>| map.get(name).copied().unwrap_or(0);
            let groups = (count(&counts) + count(&self.formed)) - count(&self.retired);
            for _ in groups..pool.target_groups as usize {
                let Some(domains) = self.domains.get(name) else { break };
                let placement = self.limits.placement;
                let Some(key) = place::choose(domains, size, placement) else { break };
                let members: Vec<VmName> =
                    self.domain(name, key).free.drain(..size).cloned().collect();
                self.domain(name, key).groups += 1;
                let loads = members.clone();
                let retired = std::iter::empty();
                let kind = RepairKind::Target;
                self.push_action(kind, pool, key, retired, members, loads, 0, (0, 0, 0));
            }
        }
    }

    /// Returns whether a group of the pool is being formed: it counts towards the target, but is
    /// not in the estate yet.
    fn is_forming(&self, pool: &PoolName) -> bool {
        let is_of_pool = |vm: &VmName| {
            let endpoint = self.estate.vms.get(vm).and_then(|view| view.endpoint());
            endpoint.is_some_and(|(endpoint_pool, _)| endpoint_pool == pool)
        };
        let is_new = |object: &ObjectRef| match object {
            ObjectRef::Group(group) => !self.estate.groups.contains_key(group),
            _ => false,
        };
        let mut changes = self.estate.in_flight.iter();
        changes.any(|change| change.objects.iter().any(is_new) && change.vms.iter().any(is_of_pool))
    }

    fn accelerators(&self, vms: &[&VmName]) -> u32 {
        let endpoints = vms.iter().filter_map(|vm| self.estate.vms.get(*vm)?.endpoint());
        endpoints.map(|(_, accelerators)| accelerators).sum()
    }

    fn downtime_ms(&self, pool: &PoolSpec, loads: usize) -> u64 {
        let store = &self.limits.store;
        let shared_load_ms =
            duration_ms(pool.weight_bytes.saturating_mul(loads as u64), store.total_bytes_per_s);
        let bytes_per_vm = if loads == 0 { 0 } else { pool.weight_bytes };
        let load_ms = shared_load_ms.max(duration_ms(bytes_per_vm, store.vm_bytes_per_s));
        let quarantine_ms = if pool.checks_fence { 0 } else { self.limits.quarantine_ms };
        load_ms.saturating_add(quarantine_ms).saturating_add(self.limits.start_ms)
    }

    #[expect(clippy::too_many_arguments, reason = "one call site per rule, all of them private")]
    fn push_action(
        &mut self,
        kind: RepairKind,
        pool: &'a PoolSpec,
        key: DomainKey<'a>,
        retired: impl Iterator<Item = &'a GroupView>,
        members: Vec<VmName>,
        loads: Vec<VmName>,
        unused_accelerators: u32,
        previous_key: OrderKey,
    ) -> OrderKey {
        let Some(group) = self.next_name(&pool.pool) else { return previous_key };
        *self.formed.entry(&pool.pool).or_default() += 1;
        let mut records: Vec<PlannedRecord> = retired
            .map(|view| PlannedRecord {
                expect_offset: view.changed,
                kind: RecordKind::RetireGroup(view.spec.group.clone()),
            })
            .collect();
        let spec = GroupSpec {
            group: group.clone(),
            pool: pool.pool.clone(),
            data_centre: key.0.clone(),
            fabric_domain: key.1.clone(),
            members,
            version: Arc::clone(&pool.version),
        };
        let record_kind = RecordKind::FormGroup(spec);
        records.push(PlannedRecord { expect_offset: Offset::default(), kind: record_kind });
        let bytes = pool.weight_bytes.saturating_mul(loads.len() as u64);
        let downtime_ms = self.downtime_ms(pool, loads.len());
        let order_key = previous_key.max((downtime_ms, unused_accelerators, bytes));
        let action =
            RepairAction { kind, group, records, loads, downtime_ms, unused_accelerators, bytes };
        self.actions.push((order_key, action));
        order_key
    }

    /// Returns a name that depends only on the estate; its offset makes it unique over time.
    fn next_name(&mut self, pool: &PoolName) -> Option<GroupName> {
        const MAX_PREFIX_BYTES: usize = 64; // Leaves room for two offsets and a number in 128 bytes.
        let text = pool.as_str();
        let prefix = &text[..text.len().min(MAX_PREFIX_BYTES)]; // Names are ASCII.
        loop {
            let as_of = self.estate.as_of;
            let raw = format!("{prefix}-{}-{}-{}", as_of.append, as_of.index, self.next_name_index);
            self.next_name_index += 1;
            let name = GroupName::try_from(raw).ok()?;
            if !self.estate.groups.contains_key(&name) {
                return Some(name);
            }
        }
    }
}
