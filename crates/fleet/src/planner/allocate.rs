//! Which free endpoints form which group, which group gives its members to another model, and
//! which weights are kept on which host.
//!
//! Answers losses that fall on one model harder than on the other. A group of four that loses one
//! member leaves three that can do nothing alone; a pair of the other model has the fourth. An
//! endpoint joins a model within a fraction of a second if its last group served it, and within
//! one or two if its host has the weights, so each host keeps the weights of a model that its
//! group does not serve.

use std::collections::BTreeMap;

use balsam_types::FabricDomainName;
use balsam_types::ModelName;
use balsam_types::VmName;

use super::Forming;
use super::JOIN_MARGIN_MS;
use super::Key;
use super::Planner;
use super::USE_NOTE_MS;
use super::View;
use crate::configuration::Engine;
use crate::configuration::Model;
use crate::endpoint::Endpoint;
use crate::endpoint::MemberState;
use crate::event::Effect;
use crate::event::Note;
use crate::event::Order;
use crate::formation;
use crate::formation::Observed;

/// Busy groups of all models below which no request has come yet.
const NO_DEMAND: f64 = 0.05;

/// Use of a model's groups below which another group of it is not worth its orders.
const IDLE_USE: f64 = 0.2;

/// Use of a model's groups above which a group is formed although its members have to load.
const LOAD_USE: f64 = 0.6;

/// Use of a model's groups above which it takes endpoints from a model that is used less.
const TAKE_USE: f64 = 0.3;

/// Use of a model's groups above which it takes a whole group's endpoints.
const TAKE_ALL_USE: f64 = 0.75;

/// Use above which a model gives nothing: where both models are short, each exchange only costs
/// both the time of it, and a model that gave up to its limit is short after the next loss.
const GIVE_MAX_USE: f64 = 0.75;

/// Domains in which endpoints are exchanged at a time; more change the use of both models faster
/// than its average shows.
const EXCHANGES_AT_ONCE: usize = 2;

/// How long the free endpoints of a domain are kept for a model whose other members still end
/// their work; longer than most answers last.
const ASSEMBLY_MS: u64 = 6_000;

/// A model gives endpoints only while its use, without them, stays below this part of the use of
/// the model that takes them; otherwise the two would take turns.
const GIVE_PART: f64 = 0.85;

/// How long an order to stage is taken to be under way, beyond the time of the load.
const STAGE_MARGIN_MS: u64 = 2_000;

/// Stage orders of one round: each costs the planning node a connection.
const STAGES_AT_ONCE: usize = 12;

type DomainName = Option<FabricDomainName>;

/// The endpoints of one fabric domain.
#[derive(Default)]
struct Domain<'a> {
    free: Vec<&'a Endpoint>,
    /// Endpoints that serve in a group, by model.
    members: BTreeMap<ModelName, u32>,
    endpoints: u32,
}

/// The use of each model.
struct Use<'a> {
    view: &'a View<'a>,
    groups: BTreeMap<ModelName, u32>,
}

impl Use<'_> {
    fn has_demand(&self) -> bool {
        let models = self.view.engine.models.iter();
        let total: f64 =
            models.map(|m| self.view.demand.total(self.view.now_ms, &m.name).total).sum();
        total > NO_DEMAND
    }

    fn count(&self, model: &Model) -> u32 {
        self.groups.get(&model.name).copied().unwrap_or(0)
    }

    /// Returns the part of the groups of a model that would be busy with `fewer` groups less.
    fn without(&self, model: &Model, fewer: u32) -> f64 {
        let groups = f64::from(self.count(model)) - f64::from(fewer);
        self.view.demand.total(self.view.now_ms, &model.name).total / groups.max(0.5)
    }

    fn of(&self, model: &Model) -> f64 {
        self.without(model, 0)
    }

    /// Returns how many endpoints a model lacks to its share of all.
    fn lacks(&self, endpoints: u32, model: &Model) -> f64 {
        f64::from(endpoints) * model.share - f64::from(self.count(model) * model.size)
    }
}

/// Forms groups of free endpoints, makes room for others, and stages weights.
pub(super) fn allocate(
    planner: &mut Planner,
    view: &View<'_>,
    observed: &BTreeMap<Key, Observed>,
    effects: &mut Vec<Effect>,
) {
    let staging_limit_ms = view.engine.models.iter().map(|m| m.load_ms).max().unwrap_or(0);
    let limit_ms = staging_limit_ms + STAGE_MARGIN_MS;
    planner.staging.retain(|vm, (model, since_ms)| {
        let is_done = view.directory.get(vm).is_none_or(|e| e.staged.contains(model));
        !is_done && view.now_ms < *since_ms + limit_ms
    });
    planner.remember_models(view, observed);
    let mut usage = Use { view, groups: count_groups(planner, view, observed) };
    let mut domains = domains(planner, view, observed);
    planner.assembling.retain(|_, (_, until_ms)| view.now_ms < *until_ms);
    assemble(planner, &usage, &domains, observed, effects);
    while let Some((name, model)) = next_group(planner, &usage, &domains) {
        let Some(domain) = domains.get_mut(&name) else { break };
        let members = choose_members(planner, domain, model);
        let loads = members.iter().filter(|e| !is_fast(planner, e, model)).count();
        let rate_per_s = view.engine.loads_per_s;
        if usage.has_demand() && loads > 0 && !planner.pace.take(view.now_ms, rate_per_s, loads) {
            break;
        }
        let names: Vec<VmName> = members.iter().map(|e| e.vm.clone()).collect();
        domain.free.retain(|endpoint| !names.contains(&endpoint.vm));
        *domain.members.entry(model.name.clone()).or_default() += model.size;
        *usage.groups.entry(model.name.clone()).or_default() += 1;
        planner.assembling.remove(&name);
        start(planner, view, model, names, loads > 0, effects);
    }
    note_use(planner, &usage, &domains, effects);
    stage(planner, &usage, &domains, observed, effects);
}

fn note_use(
    planner: &mut Planner,
    usage: &Use<'_>,
    domains: &BTreeMap<DomainName, Domain<'_>>,
    effects: &mut Vec<Effect>,
) {
    let view = usage.view;
    if view.now_ms < planner.use_noted_ms + USE_NOTE_MS {
        return;
    }
    planner.use_noted_ms = view.now_ms;
    let free_endpoints = domains.values().map(|domain| domain.free.len() as u32).sum();
    effects.extend(view.engine.models.iter().map(|model| {
        Effect::Note(Note::Use {
            model: model.name.clone(),
            groups: usage.count(model),
            busy_groups: view.demand.total(view.now_ms, &model.name).total,
            free_endpoints,
        })
    }));
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
        group.head().is_some_and(|head| view.is_used(&head.vm))
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
) -> BTreeMap<DomainName, Domain<'a>> {
    let mut domains: BTreeMap<DomainName, Domain<'a>> = BTreeMap::new();
    let endpoints = view.directory.iter().filter(|e| e.pool == *view.pool && view.is_used(&e.vm));
    for endpoint in endpoints {
        let domain = domains.entry(endpoint.domain.clone()).or_default();
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

/// Whether an endpoint can serve a model without a load from the weight store.
fn is_fast(planner: &Planner, endpoint: &Endpoint, model: &Model) -> bool {
    planner.last_model.get(&endpoint.vm) == Some(&model.name)
        || endpoint.staged.contains(&model.name)
}

/// Returns the domain and the model of the next group to form.
fn next_group<'a>(
    planner: &Planner,
    usage: &Use<'a>,
    domains: &BTreeMap<DomainName, Domain<'_>>,
) -> Option<(DomainName, &'a Model)> {
    if usage.has_demand() {
        return most_wanted(planner, usage, domains, |domain, model| {
            want_by_use(planner, usage, domain, model)
        });
    }
    most_wanted(planner, usage, domains, want_by_share).or_else(|| {
        let endpoints = domains.values().map(|domain| domain.endpoints).sum();
        let lacks = |_: &Domain<'_>, model: &Model| Some(usage.lacks(endpoints, model));
        most_wanted(planner, usage, domains, lacks)
    })
}

/// Returns the domain and the model that `want` rates highest, among those with enough free
/// endpoints.
fn most_wanted<'a>(
    planner: &Planner,
    usage: &Use<'a>,
    domains: &BTreeMap<DomainName, Domain<'_>>,
    want: impl Fn(&Domain<'_>, &Model) -> Option<f64>,
) -> Option<(DomainName, &'a Model)> {
    let mut best: Option<(f64, DomainName, &Model)> = None;
    for (name, domain) in domains {
        let kept_for = planner.assembling.get(name).map(|(model, _)| model);
        for model in &usage.view.engine.models {
            let is_kept = kept_for.is_some_and(|other| *other != model.name);
            if is_kept || domain.free.len() < model.size as usize || model.size == 0 {
                continue;
            }
            let Some(want) = want(domain, model) else { continue };
            if best.as_ref().is_none_or(|(most, ..)| want > *most) {
                best = Some((want, name.clone(), model));
            }
        }
    }
    best.map(|(_, name, model)| (name, model))
}

/// Before the first request, each model gets its share of a domain. What is left over in a domain
/// goes to the model that lacks most of its share of all endpoints: left free, a quarter of the
/// endpoints of cmg-ruteo served nobody while callers were refused.
fn want_by_share(domain: &Domain<'_>, model: &Model) -> Option<f64> {
    let assigned = f64::from(domain.members.get(&model.name).copied().unwrap_or(0));
    let missing = f64::from(domain.endpoints) * model.share - assigned;
    (missing >= f64::from(model.size) / 2.0).then_some(missing)
}

/// Under load, the model whose groups are used most gets the next group; one that needs loads
/// waits unless it is used much, because a load takes longer than most losses last.
fn want_by_use(
    planner: &Planner,
    usage: &Use<'_>,
    domain: &Domain<'_>,
    model: &Model,
) -> Option<f64> {
    let used = usage.of(model);
    let fast = domain.free.iter().filter(|e| is_fast(planner, e, model)).count();
    let is_fast = fast >= model.size as usize;
    let is_wanted = match is_fast {
        true => used > IDLE_USE,
        false => used > LOAD_USE,
    };
    // A group that serves within two seconds goes before one that has to load.
    is_wanted.then_some(if is_fast { used + 1.0 } else { used })
}

/// Chooses members whose last group served the model, then those that have its weights staged.
fn choose_members<'a>(planner: &Planner, domain: &Domain<'a>, model: &Model) -> Vec<&'a Endpoint> {
    let mut free = domain.free.clone();
    free.sort_by_key(|e| {
        let was_last = planner.last_model.get(&e.vm) == Some(&model.name);
        (!was_last, !e.staged.contains(&model.name), e.cold_until_ms, e.vm.clone())
    });
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

/// Ends groups of a model that is used little, in a domain where a model that is used much lacks
/// only their endpoints, and keeps the free endpoints there for it meanwhile. Without that, two
/// orphans of a group of four became a pair at once, and the group of four never came back.
fn assemble(
    planner: &mut Planner,
    usage: &Use<'_>,
    domains: &BTreeMap<DomainName, Domain<'_>>,
    observed: &BTreeMap<Key, Observed>,
    effects: &mut Vec<Effect>,
) {
    if !usage.has_demand() {
        return;
    }
    let mut models: Vec<&Model> = usage.view.engine.models.iter().collect();
    models.sort_by(|a, b| usage.of(b).total_cmp(&usage.of(a)));
    // Groups that give in this round are not counted as ending yet.
    let mut given = 0;
    for taker in models.iter().filter(|model| usage.of(model) > TAKE_USE) {
        for giver in models.iter().filter(|model| model.name != taker.name && model.size > 0) {
            for (name, domain) in domains {
                if planner.assembling.contains_key(name)
                    || planner.assembling.len() >= EXCHANGES_AT_ONCE
                {
                    continue;
                }
                let groups =
                    exchange(planner, usage, (name, domain), (taker, giver), given, observed);
                let Some(groups) = groups else { continue };
                given += groups.len() as u32;
                let until_ms = usage.view.now_ms + ASSEMBLY_MS;
                planner.assembling.insert(name.clone(), (taker.name.clone(), until_ms));
                for key in groups {
                    let Some(group) = observed.get(&key) else { continue };
                    let members: Vec<VmName> =
                        group.members.values().map(|m| m.vm.clone()).collect();
                    planner.end(&key, &members, true, "another model needs its members", effects);
                }
                // A model that takes whole groups does so once a round, to see what it gains.
                if domain.free.is_empty() {
                    return;
                }
            }
        }
    }
}

/// Returns the groups that one model has to give so that another one gets a group, if it should.
fn exchange(
    planner: &Planner,
    usage: &Use<'_>,
    (name, domain): (&DomainName, &Domain<'_>),
    (taker, giver): (&Model, &Model),
    given: u32,
    observed: &BTreeMap<Key, Observed>,
) -> Option<Vec<Key>> {
    let free = domain.free.iter().filter(|e| is_fast(planner, e, taker)).count() as u32;
    let is_due = free > 0 || usage.of(taker) > TAKE_ALL_USE;
    if !is_due || free >= taker.size {
        return None;
    }
    let needed = (taker.size - free).div_ceil(giver.size);
    let left = usage.without(giver, given + needed);
    if left > GIVE_PART * usage.of(taker) || left > GIVE_MAX_USE {
        return None;
    }
    let mut groups = givers(planner, usage.view, observed, name, giver, taker);
    groups.truncate(needed as usize);
    (groups.len() == needed as usize).then_some(groups)
}

/// Returns the open groups of a domain whose members could join another model without a load.
fn givers(
    planner: &Planner,
    view: &View<'_>,
    observed: &BTreeMap<Key, Observed>,
    domain: &DomainName,
    giver: &Model,
    taker: &Model,
) -> Vec<Key> {
    let is_giver = |(key, group): &(&Key, &Observed)| {
        let is_open = group.head().is_some_and(|head| head.state == MemberState::Open);
        let members = group.members.values().filter_map(|m| view.directory.get(&m.vm));
        group.domain == *domain
            && is_open
            && group.is_complete(giver.size)
            && !planner.ending.contains_key(*key)
            && formation::model_of(&key.0, view.engine).is_some_and(|m| m.name == giver.name)
            && members.filter(|e| is_fast(planner, e, taker)).count() >= giver.size as usize
    };
    observed.iter().filter(is_giver).map(|(key, _)| key.clone()).collect()
}

/// Keeps weights on the hosts, so that an endpoint joins a group without a load: on each that serves
/// those of the model that its group does not serve, and on each free one those that a group of its
/// domain is likely to lack after the next loss.
///
/// Before the first request, loads cost a tenth and none of the rate. Later only free endpoints
/// load: one without weights kept seven orphans of a group of eight waiting for 16 s.
fn stage(
    planner: &mut Planner,
    usage: &Use<'_>,
    domains: &BTreeMap<DomainName, Domain<'_>>,
    observed: &BTreeMap<Key, Observed>,
    effects: &mut Vec<Effect>,
) {
    let view = usage.view;
    let mut orders = stage_free(planner, view.engine, domains);
    if !usage.has_demand() {
        orders.extend(stage_members(planner, view, observed));
    }
    for (vm, model) in orders.into_iter().take(STAGES_AT_ONCE) {
        let rate_per_s = view.engine.loads_per_s;
        if usage.has_demand() && !planner.pace.take(view.now_ms, rate_per_s, 1) {
            break;
        }
        planner.staging.insert(vm.clone(), (model.clone(), view.now_ms));
        planner.order(view, &vm, Order::Stage { model }, effects);
    }
}

/// Returns the members of open groups whose hosts lack the weights of the other model.
fn stage_members(
    planner: &Planner,
    view: &View<'_>,
    observed: &BTreeMap<Key, Observed>,
) -> Vec<(VmName, ModelName)> {
    let mut orders: Vec<(VmName, ModelName)> = Vec::new();
    for endpoint in view.directory.iter().filter(|e| e.pool == *view.pool) {
        if planner.staging.contains_key(&endpoint.vm) || endpoint.is_draining {
            continue;
        }
        let key = endpoint.membership.as_ref().map(|m| (m.group.clone(), m.epoch));
        let group = key.and_then(|key| Some((observed.get(&key)?, key)));
        let Some((group, key)) = group else { continue };
        let is_open = group.head().is_some_and(|head| head.state == MemberState::Open);
        let Some(served) = formation::model_of(&key.0, view.engine) else { continue };
        let others = view.engine.models.iter().filter(|model| model.name != served.name);
        // Only one other model has its weights kept; the largest group is the hardest to complete.
        let Some(other) = others.max_by_key(|model| model.size) else { continue };
        if is_open && !endpoint.staged.contains(&other.name) {
            orders.push((endpoint.vm.clone(), other.name.clone()));
        }
    }
    orders
}

/// Returns the free endpoints whose hosts have no weights, each with the model to load.
fn stage_free(
    planner: &Planner,
    engine: &Engine,
    domains: &BTreeMap<DomainName, Domain<'_>>,
) -> Vec<(VmName, ModelName)> {
    let mut orders = Vec::new();
    for domain in domains.values() {
        let (staging, others): (Vec<&Endpoint>, Vec<&Endpoint>) =
            domain.free.iter().copied().partition(|e| planner.staging.contains_key(&e.vm));
        let is_empty =
            |e: &&Endpoint| e.staged.is_empty() && !planner.last_model.contains_key(&e.vm);
        let empty: Vec<&Endpoint> = others.iter().copied().filter(is_empty).collect();
        let mut fast: BTreeMap<&ModelName, u32> = BTreeMap::new();
        for model in &engine.models {
            let now = others.iter().filter(|e| is_fast(planner, e, model)).count();
            let soon = staging.iter().filter(|e| {
                planner.staging.get(&e.vm).is_some_and(|(staged, _)| *staged == model.name)
            });
            fast.insert(&model.name, (now + soon.count()) as u32);
        }
        for (at, endpoint) in empty.iter().enumerate() {
            let left = (empty.len() - at) as u32;
            let Some(model) = next_to_stage(engine, &fast, left) else { break };
            *fast.entry(&model.name).or_default() += 1;
            orders.push((endpoint.vm.clone(), model.name.clone()));
        }
    }
    orders
}

/// Returns the model that lacks the fewest endpoints to a group if `left` are enough for it, and
/// otherwise the one with the fewest: the next loss may be of either.
fn next_to_stage<'a>(
    engine: &'a Engine,
    fast: &BTreeMap<&ModelName, u32>,
    left: u32,
) -> Option<&'a Model> {
    let count = |model: &Model| fast.get(&model.name).copied().unwrap_or(0);
    let lacking = |model: &&Model| {
        let lacks = model.size.saturating_sub(count(model));
        count(model) > 0 && (1..=left).contains(&lacks)
    };
    let nearest = engine.models.iter().filter(lacking);
    let nearest = nearest.min_by_key(|model| model.size - count(model));
    nearest.or_else(|| {
        engine.models.iter().min_by_key(|model| (count(model), std::cmp::Reverse(model.size)))
    })
}
