//! Turns an intent into a plan. See `docs/design.md`, section 13.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use balsam_types::GroupName;
use balsam_types::GroupSpec;
use balsam_types::InvalidValue;
use balsam_types::OrganisationName;
use balsam_types::OrganisationSpec;
use balsam_types::PlanName;
use balsam_types::PoolKind;
use balsam_types::PoolName;
use balsam_types::PoolSpec;
use balsam_types::RecordKind;
use balsam_types::RouteMatch;
use balsam_types::RouteName;
use balsam_types::RouteSpec;
use balsam_types::record::ObjectRef;
use balsam_types::record::PlanSpec;
use balsam_types::record::PlanStep;

use crate::estate::Configured;
use crate::estate::Estate;
use crate::estate::PoolView;
use crate::intent::Intent;
use crate::intent::PlanLimits;
use crate::refusal::Refusal;
use crate::refusal::Refusals;
use crate::suggest::suggest;

/// Serving groups per pool.
pub(crate) type Capacity = BTreeMap<PoolName, u32>;

/// A plan under construction.
pub(crate) struct Draft<'a> {
    pub estate: &'a Estate,
    pub limits: &'a PlanLimits,
    pub plan: &'a PlanName,
    pub capacity: Capacity,
    pub steps: Vec<PlanStep>,
    pub notices: Vec<Arc<str>>,
    pub depends_on: BTreeSet<ObjectRef>,
    pub refusals: Vec<Refusal>,
}

/// Makes the plan for an intent, or returns the reasons for refusing it.
///
/// The changes of step 0 take effect when the plan is confirmed, and those of step n when a node
/// appends `StepDone` for it. `capacity_left` is the lowest number of serving groups from then
/// until the next step, so groups that load because of a step are not counted in that step.
pub fn make_plan(
    estate: &Estate,
    intent: &Intent,
    plan: &PlanName,
    limits: &PlanLimits,
) -> Result<PlanSpec, Refusals> {
    let mut draft = Draft {
        estate,
        limits,
        plan,
        capacity: estate.serving(),
        steps: Vec::new(),
        notices: Vec::new(),
        depends_on: BTreeSet::new(),
        refusals: Vec::new(),
    };
    draft.add_steps(intent)?;
    draft.refuse_in_flight();
    if !draft.refusals.is_empty() {
        return Err(Refusals { reasons: draft.refusals });
    }
    Ok(PlanSpec {
        plan: plan.clone(),
        intent: Arc::from(intent.to_string()),
        based_on: estate.as_of,
        depends_on: draft.depends_on.into_iter().collect(),
        steps: draft.steps,
        notices: draft.notices,
    })
}

impl<'a> Draft<'a> {
    fn add_steps(&mut self, intent: &Intent) -> Result<(), Refusal> {
        match intent {
            Intent::Onboard(spec) => self.onboard(spec),
            Intent::Offboard(name) => self.offboard(name),
            Intent::PutPool(spec) => self.put_pool(spec),
            Intent::PutRoute(spec) => self.put_route(spec),
            Intent::Roll { pool, version } => self.roll(pool, version),
            Intent::Drain { data_centre, force } => self.drain(data_centre, *force),
            Intent::Return(name) => self.return_data_centre(name),
            Intent::RetireGroup { group, force } => self.retire_group(group, *force),
            Intent::Resize { pool, target_groups, force } => {
                self.resize(pool, *target_groups, *force)
            }
            Intent::MoveRoute { route, to } => self.move_route(route, to),
        }
    }

    pub fn add_step(&mut self, summary: impl AsRef<str>, changes: Vec<RecordKind>) {
        let capacity_left = self.capacity.iter().map(|(pool, left)| (pool.clone(), *left));
        let summary = Arc::from(summary.as_ref());
        self.depends_on.extend(changes.iter().filter_map(RecordKind::object));
        self.steps.push(PlanStep { summary, changes, capacity_left: capacity_left.collect() });
    }

    pub fn add_notice(&mut self, text: impl AsRef<str>) {
        self.notices.push(Arc::from(text.as_ref()));
    }

    pub fn find_pool(&self, name: &PoolName) -> Result<&'a PoolView, Refusal> {
        let known = || self.estate.pools.keys().map(PoolName::as_str);
        self.estate.pools.get(name).ok_or_else(|| unknown_name("pool", name.as_str(), known()))
    }

    pub fn find_route(&self, name: &RouteName) -> Result<&'a Configured<RouteSpec>, Refusal> {
        let known = || self.estate.routes.keys().map(RouteName::as_str);
        self.estate.routes.get(name).ok_or_else(|| unknown_name("route", name.as_str(), known()))
    }

    /// Returns the names of the routes to the pool, for notices.
    pub fn routes_to(&self, pool: &PoolName) -> Vec<&'a str> {
        let routes = self.estate.routes.values().filter(|route| route.spec.pool == *pool);
        routes.map(|route| route.spec.route.as_str()).collect()
    }

    fn refuse_in_flight(&mut self) {
        for object in &self.depends_on {
            if let Some(change) = self.estate.change_in_flight(object) {
                let by = match &change.plan {
                    Some(plan) => format!("plan {plan}"),
                    None => "a repair".to_owned(),
                };
                self.refusals.push(Refusal::InFlight { object: object.clone(), by });
            }
        }
    }

    fn onboard(&mut self, spec: &OrganisationSpec) -> Result<(), Refusal> {
        let spec = spec.clone().check().map_err(invalid_value)?;
        let name = spec.organisation.clone();
        if self.estate.organisations.contains_key(&name) {
            return Err(Refusal::Exists { object: ObjectRef::Organisation(name) });
        }
        let others = self.estate.organisations.values();
        let others_weight: u64 = others.map(|other| u64::from(other.spec.weight)).sum();
        let total = others_weight + u64::from(spec.weight);
        let percent = 100 * u64::from(spec.weight) / total;
        self.add_notice(format!(
            "organisation {name}: gets {percent} % of the estate under contention"
        ));
        let others: Vec<_> = self.estate.organisations.values().map(|o| &o.spec).collect();
        for other in others {
            let weight = 100 * u64::from(other.weight);
            let (before, after) = (weight / others_weight.max(1), weight / total);
            if before != after {
                let of = &other.organisation;
                self.add_notice(format!(
                    "organisation {of}: share under contention falls from {before} % to {after} %"
                ));
            }
        }
        self.add_step(format!("add organisation {name}"), vec![RecordKind::PutOrganisation(spec)]);
        Ok(())
    }

    fn offboard(&mut self, name: &OrganisationName) -> Result<(), Refusal> {
        if !self.estate.organisations.contains_key(name) {
            let known = self.estate.organisations.keys().map(OrganisationName::as_str);
            return Err(unknown_name("organisation", name.as_str(), known));
        }
        self.add_notice(format!("organisation {name}: its callers are refused from step 0 on"));
        let change = RecordKind::RemoveOrganisation(name.clone());
        self.add_step(format!("remove organisation {name}"), vec![change]);
        Ok(())
    }

    fn put_pool(&mut self, spec: &PoolSpec) -> Result<(), Refusal> {
        let spec = spec.clone().check().map_err(invalid_value)?;
        let name = spec.pool.clone();
        let object = ObjectRef::Pool(name.clone());
        let Some(old) = self.estate.pools.get(&name).map(|view| &view.spec) else {
            self.refuse_if_too_large(&spec);
            self.capacity.insert(name.clone(), 0);
            self.add_notice(format!("pool {name}: serves once repair has formed its groups"));
            self.add_step(format!("add pool {name}"), vec![RecordKind::PutPool(spec)]);
            return Ok(());
        };
        if *old == spec {
            return Err(Refusal::NoChange { object });
        }
        let groups = self.estate.groups_of(&name).count();
        if old.group_vms != spec.group_vms && groups > 0 {
            return Err(Refusal::GroupSize { pool: name, groups });
        }
        if old.target_groups < spec.target_groups {
            self.refuse_if_too_large(&spec);
        }
        if (&old.model, &old.version) != (&spec.model, &spec.version) && groups > 0 {
            self.add_notice(format!(
                "pool {name}: only groups formed from now on load the new version; roll the pool \
                 to move the others"
            ));
        }
        if old.limit > spec.limit || old.cold_limit > spec.cold_limit {
            self.add_notice(format!(
                "pool {name}: a group bears {} requests warm and {} cold, instead of {} and {}",
                spec.limit, spec.cold_limit, old.limit, old.cold_limit
            ));
        }
        self.add_step(format!("change pool {name}"), vec![RecordKind::PutPool(spec)]);
        Ok(())
    }

    fn put_route(&mut self, spec: &RouteSpec) -> Result<(), Refusal> {
        let spec = spec.clone().check().map_err(invalid_value)?;
        let name = spec.route.clone();
        for pool in std::iter::once(&spec.pool).chain(&spec.compare_pool) {
            match self.find_pool(pool) {
                Ok(_) => _ = self.depends_on.insert(ObjectRef::Pool(pool.clone())),
                Err(refusal) => self.refusals.push(refusal),
            }
        }
        if self.estate.routes.get(&name).is_some_and(|old| old.spec == spec) {
            return Err(Refusal::NoChange { object: ObjectRef::Route(name) });
        }
        for other in self.estate.routes.values().map(|other| &other.spec) {
            if other.route != name && other.matches == spec.matches {
                self.refusals.push(Refusal::SameMatch { route: other.route.clone() });
            }
        }
        let pool = self.estate.pools.get(&spec.pool);
        if let (Some(pool), RouteMatch::Model(_)) = (pool, &spec.matches)
            && pool.spec.kind == PoolKind::Plain
        {
            self.refusals.push(Refusal::NoModel { pool: spec.pool.clone() });
        }
        if self.capacity.get(&spec.pool) == Some(&0) {
            self.add_notice(format!("pool {}: has no serving group; requests wait", spec.pool));
        }
        self.add_step(format!("put route {name}"), vec![RecordKind::PutRoute(spec)]);
        Ok(())
    }

    fn roll(&mut self, name: &PoolName, version: &Arc<str>) -> Result<(), Refusal> {
        let view = self.find_pool(name)?;
        if view.spec.kind == PoolKind::Plain {
            return Err(Refusal::NoModel { pool: name.clone() });
        }
        if view.spec.version == *version {
            return Err(Refusal::NoChange { object: ObjectRef::Pool(name.clone()) });
        }
        let spec = PoolSpec { version: version.clone(), ..view.spec.clone() };
        self.add_step(
            format!("groups formed from now on load {version}"),
            vec![RecordKind::PutPool(spec)],
        );
        let mut groups: Vec<&GroupSpec> =
            self.estate.groups_of(name).map(|group| &group.spec).collect();
        // Groups that are not serving are moved first.
        groups.sort_by_key(|group| self.estate.is_serving(group));
        let batch_size = groups.len() * self.limits.roll_percent.min(100) as usize / 100;
        let initial = self.capacity.get(name).copied().unwrap_or(0);
        let mut lowest = initial;
        let mut done = 0;
        for (index, batch) in groups.chunks(batch_size.max(1)).enumerate() {
            let serving = batch.iter().filter(|group| self.estate.is_serving(group)).count() as u32;
            let left = initial - serving;
            lowest = lowest.min(left);
            self.capacity.insert(name.clone(), left);
            let mut changes = Vec::with_capacity(2 * batch.len());
            for (offset, group) in batch.iter().enumerate() {
                let raw = format!("{}.g{}", self.plan, done + offset);
                let formed = GroupName::try_from(raw).map_err(invalid_value)?;
                changes.push(RecordKind::RetireGroup(group.group.clone()));
                let version = version.clone();
                let group = GroupSpec { group: formed, version, ..(*group).clone() };
                changes.push(RecordKind::FormGroup(group));
            }
            done += batch.len();
            let total = groups.len();
            let summary = format!("batch {}: {done} of {total} groups load {version}", index + 1);
            self.add_step(summary, changes);
        }
        self.capacity.insert(name.clone(), initial);
        self.add_step(format!("all groups serve {version}"), Vec::new());
        if lowest == 0 && initial > 0 {
            self.add_notice(format!("pool {name}: has no serving group while a batch loads"));
        }
        self.add_load_notices(view, lowest, initial);
        Ok(())
    }

    /// Adds notices of how many groups a pool loses and whether the rest can carry the load.
    pub fn add_load_notices(&mut self, view: &PoolView, left: u32, before: u32) {
        let name = &view.spec.pool;
        let borne = u64::from(left) * u64::from(view.spec.limit);
        let lost = before - left.min(before);
        let verdict = if borne >= view.peak_in_flight { "can" } else { "cannot" };
        let peak = view.peak_in_flight;
        self.add_notice(format!(
            "pool {name}: {lost} of {before} groups out, {left} left; they {verdict} carry the load \
             ({borne} requests at a time, peak {peak})"
        ));
        let routes = self.routes_to(name);
        if borne < peak && !routes.is_empty() {
            let routes = routes.join(", ");
            self.add_notice(format!(
                "organisations that use route {routes}: may be refused early under contention"
            ));
        }
    }

    fn move_route(&mut self, name: &RouteName, to: &PoolName) -> Result<(), Refusal> {
        let old = &self.find_route(name)?.spec;
        let view = self.find_pool(to)?;
        let object = ObjectRef::Route(name.clone());
        if old.pool == *to {
            return Err(Refusal::NoChange { object });
        }
        if matches!(old.matches, RouteMatch::Model(_)) && view.spec.kind == PoolKind::Plain {
            return Err(Refusal::NoModel { pool: to.clone() });
        }
        let groups = self.capacity.get(to).copied().unwrap_or(0);
        if groups == 0 {
            return Err(Refusal::NoGroupLeft { pool: to.clone() });
        }
        self.depends_on.insert(ObjectRef::Pool(old.pool.clone()));
        self.depends_on.insert(ObjectRef::Pool(to.clone()));
        let from = &old.pool;
        let put = |pool: &PoolName, compare_pool: Option<&PoolName>| {
            let compare_pool = compare_pool.cloned();
            vec![RecordKind::PutRoute(RouteSpec {
                pool: pool.clone(),
                compare_pool,
                ..old.clone()
            })]
        };
        self.add_step(format!("{from} serves; copies of reads go to {to}"), put(from, Some(to)));
        self.add_step(format!("{to} serves; copies of reads go to {from}"), put(to, Some(from)));
        self.add_step(format!("{to} serves; the comparison ends"), put(to, None));
        self.add_notice(format!(
            "route {name}: a non-idempotent request goes to {from} before the switch of step 1 and \
             to {to} after it, never to both; a repeat stays with the pool of its first attempt"
        ));
        let moved_in_flight = self.estate.pools.get(from).map_or(0, |pool| pool.peak_in_flight);
        let max_in_flight = u64::from(groups) * u64::from(view.spec.limit);
        let expected_in_flight = view.peak_in_flight.saturating_add(moved_in_flight);
        if max_in_flight < expected_in_flight {
            self.add_notice(format!(
                "pool {to}: {groups} groups bear {max_in_flight} requests at a time, but up to \
                 {expected_in_flight} may come after the switch; resize it first"
            ));
        }
        Ok(())
    }
}

pub(crate) fn unknown_name<'n>(
    kind: &'static str,
    name: &str,
    known: impl Iterator<Item = &'n str>,
) -> Refusal {
    Refusal::Unknown { kind, name: name.to_owned(), suggestions: suggest(name, known) }
}

pub(crate) fn invalid_value(source: InvalidValue) -> Refusal {
    Refusal::Invalid { source }
}
