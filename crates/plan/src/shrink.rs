//! Plans that change the number of serving groups: drain, return, retire and resize.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use balsam_types::DataCentreName;
use balsam_types::GroupName;
use balsam_types::PoolName;
use balsam_types::PoolSpec;
use balsam_types::RecordKind;
use balsam_types::record::ObjectRef;

use crate::build::Draft;
use crate::build::unknown_name;
use crate::estate::GroupView;
use crate::estate::PoolView;
use crate::place::DomainKey;
use crate::refusal::Refusal;
use crate::repair::RepairKind;
use crate::repair::RepairLimits;
use crate::repair::repair;

impl<'a> Draft<'a> {
    fn check_data_centre_exists(&self, name: &DataCentreName) -> Result<(), Refusal> {
        let known = self.estate.data_centres();
        if known.contains(name) {
            return Ok(());
        }
        let known = known.into_iter().map(DataCentreName::as_str);
        Err(unknown_name("data centre", name.as_str(), known))
    }

    pub fn drain(&mut self, name: &DataCentreName, force: bool) -> Result<(), Refusal> {
        self.check_data_centre_exists(name)?;
        if self.estate.drained.contains_key(name) {
            return Err(Refusal::NoChange { object: ObjectRef::DataCentre(name.clone()) });
        }
        let before = self.capacity.clone();
        for group in self.estate.groups.values().filter(|g| g.spec.data_centre == *name) {
            if self.estate.is_serving(&group.spec)
                && let Some(left) = self.capacity.get_mut(&group.spec.pool)
            {
                *left -= 1;
            }
        }
        // A concurrent drain of another data centre would invalidate the capacity stated here.
        let data_centres = self.estate.data_centres().into_iter().cloned();
        self.depends_on.extend(data_centres.map(ObjectRef::DataCentre));
        for (pool, view) in &self.estate.pools {
            let (serving_before, left) = (before[pool], self.capacity[pool]);
            if serving_before == left {
                continue;
            }
            self.depends_on.insert(ObjectRef::Pool(pool.clone()));
            self.add_load_notices(view, left, serving_before);
            self.refuse_if_empty(pool, left, force);
        }
        let change = RecordKind::DrainDataCentre(name.clone());
        self.add_step(format!("no new work goes to {name}"), vec![change]);
        self.add_step(
            format!("requests in {name} run to their end; it may be taken out"),
            Vec::new(),
        );
        Ok(())
    }

    fn refuse_if_empty(&mut self, pool: &PoolName, left: u32, force: bool) {
        if left > 0 {
            return;
        }
        if force {
            self.add_notice(format!("pool {pool}: has no serving group left, as forced"));
        } else {
            self.refusals.push(Refusal::NoGroupLeft { pool: pool.clone() });
        }
    }

    pub fn return_data_centre(&mut self, name: &DataCentreName) -> Result<(), Refusal> {
        self.check_data_centre_exists(name)?;
        if !self.estate.drained.contains_key(name) {
            return Err(Refusal::NotDrained { data_centre: name.clone() });
        }
        let mut estate_after = self.estate.clone();
        estate_after.drained.remove(name);
        let after = estate_after.serving();
        for (pool, groups) in &after {
            let gained = groups - self.capacity[pool];
            if gained > 0 {
                self.add_notice(format!(
                    "pool {pool}: {gained} groups take load again, a share that rises as they warm"
                ));
            }
        }
        // The returned groups are cold at first, so they count only when they are warm.
        let change = RecordKind::ReturnDataCentre(name.clone());
        self.add_step(format!("{name} takes work again, paced by cold start"), vec![change]);
        self.capacity = after;
        self.add_step(format!("groups in {name} are warm"), Vec::new());
        Ok(())
    }

    pub fn retire_group(&mut self, name: &GroupName, force: bool) -> Result<(), Refusal> {
        let Some(group) = self.estate.groups.get(name) else {
            let known = self.estate.groups.keys().map(GroupName::as_str);
            return Err(unknown_name("group", name.as_str(), known));
        };
        let view = self.find_pool(&group.spec.pool)?;
        let groups = self.estate.groups_of(&view.spec.pool).count() as u32;
        let target_groups = view.spec.target_groups.min(groups.saturating_sub(1));
        let retired = vec![group];
        self.shrink(view, target_groups, retired, force);
        Ok(())
    }

    pub fn resize(&mut self, name: &PoolName, target: u32, force: bool) -> Result<(), Refusal> {
        let view = self.find_pool(name)?;
        let groups = self.estate.groups_of(name).count() as u32;
        if view.spec.target_groups == target && groups <= target {
            return Err(Refusal::NoChange { object: ObjectRef::Pool(name.clone()) });
        }
        let spec = PoolSpec { target_groups: target, ..view.spec.clone() };
        if groups > target {
            let retired = self.choose_surplus(name, (groups - target) as usize);
            self.shrink(view, target, retired, force);
            return Ok(());
        }
        self.refuse_if_too_large(&spec);
        let formed = self.formed_by_repair(&spec);
        self.add_step(
            format!("pool {name} is to have {target} groups"),
            vec![RecordKind::PutPool(spec)],
        );
        if formed > 0 {
            *self.capacity.entry(name.clone()).or_default() += formed;
            self.add_step(
                format!("repair forms {formed} groups, which load and warm up"),
                Vec::new(),
            );
        }
        if groups + formed < target {
            let unformed = target - groups - formed;
            self.add_notice(format!(
                "pool {name}: {unformed} groups wait for VMs that are out now"
            ));
        }
        Ok(())
    }

    fn formed_by_repair(&self, spec: &PoolSpec) -> u32 {
        let mut estate_after = self.estate.clone();
        if let Some(pool) = estate_after.pools.get_mut(&spec.pool) {
            pool.spec = spec.clone();
        }
        let limits = RepairLimits { max_actions: usize::MAX, ..self.limits.repair };
        let formed = repair(&estate_after, &limits).into_iter().filter(|action| {
            let is_of_pool = action.records.iter().any(|record| match &record.kind {
                RecordKind::FormGroup(group) => group.pool == spec.pool,
                _ => false,
            });
            is_of_pool && action.kind == RepairKind::Target
        });
        formed.count() as u32
    }

    /// Chooses the groups to retire when a pool shrinks.
    ///
    /// Groups that are not serving come first, then those of the data centre with the most groups,
    /// so that the loss of one data centre costs the smaller pool as little as possible.
    fn choose_surplus(&self, pool: &PoolName, count: usize) -> Vec<&'a GroupView> {
        let mut groups: Vec<&GroupView> =
            self.estate.groups.values().filter(|g| g.spec.pool == *pool).collect();
        let mut groups_per_centre: BTreeMap<&DataCentreName, usize> = BTreeMap::new();
        for group in &groups {
            *groups_per_centre.entry(&group.spec.data_centre).or_default() += 1;
        }
        let mut retired = Vec::new();
        for _ in 0..count {
            let key = |g: &GroupView| {
                (self.estate.is_serving(&g.spec), Reverse(groups_per_centre[&g.spec.data_centre]))
            };
            let Some(index) = (0..groups.len()).min_by_key(|index| key(groups[*index])) else {
                break;
            };
            let group = groups.remove(index);
            *groups_per_centre.entry(&group.spec.data_centre).or_default() -= 1;
            retired.push(group);
        }
        retired
    }

    fn shrink(&mut self, view: &PoolView, target: u32, retired: Vec<&GroupView>, force: bool) {
        let pool = &view.spec.pool;
        let before = self.capacity.get(pool).copied().unwrap_or(0);
        let serving = retired.iter().filter(|g| self.estate.is_serving(&g.spec)).count() as u32;
        let left = before - serving;
        self.capacity.insert(pool.clone(), left);
        self.add_load_notices(view, left, before);
        if left < before || (target == 0 && !self.routes_to(pool).is_empty()) {
            self.refuse_if_empty(pool, left, force);
        }
        let mut changes = Vec::new();
        if target != view.spec.target_groups {
            // The target comes first, so that repair does not form the retired groups again.
            let spec = PoolSpec { target_groups: target, ..view.spec.clone() };
            changes.push(RecordKind::PutPool(spec));
        }
        let names = retired.iter().map(|group| group.spec.group.clone());
        changes.extend(names.map(RecordKind::RetireGroup));
        let count = retired.len();
        self.add_step(format!("pool {pool} retires {count} groups, target {target}"), changes);
        self.add_step("requests in retired groups run to their end", Vec::new());
    }

    /// Refuses a target above what the pool's VMs could form if all of them were in service.
    pub fn refuse_if_too_large(&mut self, spec: &PoolSpec) {
        let mut vms: BTreeMap<DomainKey<'_>, u32> = BTreeMap::new();
        for vm in self.estate.vms.values() {
            if vm.endpoint().is_some_and(|(pool, _)| *pool == spec.pool) {
                let key = (&vm.info.data_centre, &vm.info.fabric_domain);
                *vms.entry(key).or_default() += 1;
            }
        }
        let possible = vms.values().map(|count| count / spec.group_vms.max(1)).sum();
        if spec.target_groups > possible {
            let (pool, wanted) = (spec.pool.clone(), spec.target_groups);
            self.refusals.push(Refusal::TooFewVms { pool, wanted, possible });
        }
    }
}
