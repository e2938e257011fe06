//! Which free endpoints form which group, and which are kept as spares.

use std::collections::BTreeMap;

use balsam_types::FabricDomainName;
use balsam_types::ModelName;
use balsam_types::VmName;

use super::Forming;
use super::JOIN_MARGIN_MS;
use super::Key;
use super::Planner;
use super::View;
use crate::configuration::Model;
use crate::endpoint::Endpoint;
use crate::event::Effect;
use crate::event::Note;
use crate::event::Order;
use crate::formation;
use crate::formation::Observed;

/// Busy groups of all models below which no request has come yet.
const NO_DEMAND: f64 = 0.05;

/// Use of a model's groups above which free endpoints form another one.
const GROW_USE: f64 = 0.45;

/// Use of a model's groups above which its last spares form a group.
const SPARES_USE: f64 = 0.8;

/// How long an order to stage is taken to be under way, beyond the time of the load.
const STAGE_MARGIN_MS: u64 = 2_000;

/// The free endpoints of one fabric domain.
struct Domain<'a> {
    free: Vec<&'a Endpoint>,
    /// Members of groups by model.
    members: BTreeMap<ModelName, u32>,
    endpoints: u32,
}

/// Forms groups of free endpoints and stages weights on the rest.
pub(super) fn allocate(
    planner: &mut Planner,
    view: &View<'_>,
    observed: &BTreeMap<Key, Observed>,
    effects: &mut Vec<Effect>,
) {
    let now_ms = view.now_ms;
    let staging_limit_ms = view.engine.models.iter().map(|m| m.load_ms).max().unwrap_or(0);
    planner.staging.retain(|_, (_, since_ms)| now_ms < *since_ms + staging_limit_ms + STAGE_MARGIN_MS);
    let mut groups = count_groups(planner, view, observed);
    let mut domains = domains(planner, view, observed);
    while let Some((name, model)) = next_group(view, &domains, &groups) {
        let Some(domain) = domains.get_mut(&name) else { return };
        let members = choose_members(domain, model);
        let loads = members.iter().filter(|e| !e.staged.contains(&model.name)).count();
        let has_demand = total_demand(view) > NO_DEMAND;
        if has_demand && !planner.pace.take(now_ms, view.engine.loads_per_s, loads) {
            return;
        }
        let names: Vec<VmName> = members.iter().map(|e| e.vm.clone()).collect();
        domain.free.retain(|endpoint| !names.contains(&endpoint.vm));
        *domain.members.entry(model.name.clone()).or_default() += model.size;
        *groups.entry(model.name.clone()).or_default() += 1;
        start(planner, view, model, names, loads > 0, effects);
    }
    stage_spares(planner, view, &domains, effects);
}

fn total_demand(view: &View<'_>) -> f64 {
    view.engine.models.iter().map(|model| view.demand.total(view.now_ms, &model.name)).sum()
}

/// Counts the groups that serve, form or may serve again.
fn count_groups(
    planner: &Planner,
    view: &View<'_>,
    observed: &BTreeMap<Key, Observed>,
) -> BTreeMap<ModelName, u32> {
    let mut groups = BTreeMap::new();
    let forming = planner.forming.iter().map(|(name, forming)| (name.clone(), forming.epoch));
    let standing = observed.iter().filter(|(key, group)| {
        let forms = planner.forming.get(&key.0).is_some_and(|f| f.epoch == key.1);
        group.head().is_some()
            && !forms
            && !planner.ending.contains_key(*key)
            && !planner.is_void(key, group)
    });
    let keys = forming.chain(standing.map(|(key, _)| key.clone()));
    for (name, _) in keys {
        if let Some(model) = formation::model_of(&name, view.engine) {
            *groups.entry(model.name.clone()).or_default() += 1;
        }
    }
    groups
}

fn domains<'a>(
    planner: &Planner,
    view: &View<'a>,
    observed: &BTreeMap<Key, Observed>,
) -> BTreeMap<Option<FabricDomainName>, Domain<'a>> {
    let mut domains: BTreeMap<Option<FabricDomainName>, Domain<'a>> = BTreeMap::new();
    for endpoint in view.directory.iter().filter(|e| e.pool == *view.pool) {
        let empty = || Domain { free: Vec::new(), members: BTreeMap::new(), endpoints: 0 };
        let domain = domains.entry(endpoint.domain.clone()).or_insert_with(empty);
        domain.endpoints += 1;
        if planner.is_free(view, endpoint) {
            domain.free.push(endpoint);
            continue;
        }
        let forming = planner.forming.values().find(|f| f.members.contains(&endpoint.vm));
        let group = endpoint.membership.as_ref().map(|m| (m.group.clone(), m.epoch));
        let standing = group.filter(|key| observed.contains_key(key));
        let model = forming.map(|f| f.model.clone()).or_else(|| {
            let (name, _) = standing?;
            formation::model_of(&name, view.engine).map(|model| model.name.clone())
        });
        if let Some(model) = model {
            *domain.members.entry(model).or_default() += 1;
        }
    }
    domains
}

/// Returns the domain and the model of the next group to form.
fn next_group<'a>(
    view: &View<'a>,
    domains: &BTreeMap<Option<FabricDomainName>, Domain<'_>>,
    groups: &BTreeMap<ModelName, u32>,
) -> Option<(Option<FabricDomainName>, &'a Model)> {
    let has_demand = total_demand(view) > NO_DEMAND;
    let mut best: Option<(f64, Option<FabricDomainName>, &Model)> = None;
    for (name, domain) in domains {
        for model in &view.engine.models {
            if domain.free.len() < model.size as usize || model.size == 0 {
                continue;
            }
            let want = match has_demand {
                true => want_by_use(view, domain, groups, model),
                false => want_by_share(view, domain, model),
            };
            let Some(want) = want else { continue };
            if best.as_ref().is_none_or(|(most, ..)| want > *most) {
                best = Some((want, name.clone(), model));
            }
        }
    }
    best.map(|(_, name, model)| (name, model))
}

/// Before the first request, each model gets its share of a domain, and one endpoint for each
/// model stays free: a staged spare ends the loss of a member in the time of a load from the host.
fn want_by_share(view: &View<'_>, domain: &Domain<'_>, model: &Model) -> Option<f64> {
    let spares = view.engine.models.len() as u32;
    let usable = f64::from(domain.endpoints.saturating_sub(spares));
    let assigned = f64::from(domain.members.get(&model.name).copied().unwrap_or(0));
    let missing = usable * model.share - assigned;
    (missing >= f64::from(model.size) / 2.0).then_some(missing)
}

/// Under load, the model whose groups are used most gets the next group. A group whose members
/// have the weights on their hosts serves ten times sooner, so it goes first at equal use.
fn want_by_use(
    view: &View<'_>,
    domain: &Domain<'_>,
    groups: &BTreeMap<ModelName, u32>,
    model: &Model,
) -> Option<f64> {
    let count = f64::from(groups.get(&model.name).copied().unwrap_or(0));
    let used = view.demand.total(view.now_ms, &model.name) / count.max(0.5);
    let free = domain.free.len() as u32;
    let spares = view.engine.models.len() as u32;
    let keeps_spares = free >= model.size + spares;
    let is_wanted = used > SPARES_USE || (used > GROW_USE && keeps_spares);
    let staged = domain.free.iter().filter(|e| e.staged.contains(&model.name)).count() as u32;
    let staged_part = f64::from(staged.min(model.size)) / f64::from(model.size);
    // A broken group of a domain is formed again from what its members have staged.
    let reforms = staged >= model.size.saturating_sub(1) && model.size > 1 && used > GROW_USE;
    (is_wanted || reforms).then_some(used * (0.5 + staged_part))
}

/// Chooses members that have the weights on their hosts before others, and warm ones before cold.
fn choose_members<'a>(domain: &Domain<'a>, model: &Model) -> Vec<&'a Endpoint> {
    let mut free = domain.free.clone();
    free.sort_by_key(|e| (!e.staged.contains(&model.name), e.cold_until_ms, e.vm.clone()));
    free.truncate(model.size as usize);
    free
}

fn start(
    planner: &mut Planner,
    view: &View<'_>,
    model: &Model,
    members: Vec<VmName>,
    has_loads: bool,
    effects: &mut Vec<Effect>,
) {
    let epoch = planner.next_epoch();
    let Some(name) = formation::group_name(&model.name, epoch) else { return };
    let load_ms = if has_loads { 2 * model.load_ms } else { model.warm_ms };
    let forming = Forming {
        epoch,
        model: model.name.clone(),
        members: members.clone(),
        started_ms: view.now_ms,
        limit_ms: load_ms + JOIN_MARGIN_MS,
        joined: Default::default(),
        is_opening: false,
    };
    planner.forming.insert(name.clone(), forming.clone());
    effects.push(Effect::Note(Note::GroupForming { group: name.clone(), epoch, members }));
    planner.order_joins(view, &name, &forming, None, effects);
}

/// Stages each model on one free endpoint of a domain, so that the loss of a member costs a load
/// from the host and not one from the weight store.
fn stage_spares(
    planner: &mut Planner,
    view: &View<'_>,
    domains: &BTreeMap<Option<FabricDomainName>, Domain<'_>>,
    effects: &mut Vec<Effect>,
) {
    let has_demand = total_demand(view) > NO_DEMAND;
    for domain in domains.values() {
        let mut models: Vec<&Model> = view.engine.models.iter().collect();
        // The larger group is lost more often, and needs more endpoints of one kind.
        models.sort_by_key(|model| std::cmp::Reverse(model.size));
        for model in models {
            let is_served = domain.members.get(&model.name).is_some_and(|count| *count > 0);
            let has_spare = domain.free.iter().any(|e| {
                let staging = planner.staging.get(&e.vm).is_some_and(|(m, _)| *m == model.name);
                staging || e.staged.contains(&model.name)
            });
            if !is_served || has_spare {
                continue;
            }
            let is_idle = |e: &&&Endpoint| {
                !planner.staging.contains_key(&e.vm) && keeps_others(domain, e, view)
            };
            let Some(spare) = domain.free.iter().find(is_idle) else { continue };
            let rate_per_s = view.engine.loads_per_s;
            if has_demand && !planner.pace.take(view.now_ms, rate_per_s, 1) {
                return;
            }
            planner.staging.insert(spare.vm.clone(), (model.name.clone(), view.now_ms));
            let order = Order::Stage { model: model.name.clone() };
            planner.order(view, &spare.vm, order, effects);
        }
    }
}

/// Whether no model loses its only staged spare if this endpoint stages another one.
fn keeps_others(domain: &Domain<'_>, spare: &Endpoint, view: &View<'_>) -> bool {
    spare.staged.iter().all(|name| {
        let served = view.engine.models.iter().any(|m| m.name == *name)
            && domain.members.get(name).is_some_and(|count| *count > 0);
        !served || domain.free.iter().filter(|e| e.staged.contains(name)).count() > 1
    })
}
