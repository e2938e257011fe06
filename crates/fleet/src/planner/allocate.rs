//! Decides which free endpoints form which group, which group gives its members to another model,
//! and which weights are staged on which host.
//!
//! Handles losses that affect one model more than the other. A group of four that loses one member
//! leaves three endpoints that cannot serve on their own; a pair of the other model has the missing
//! one. An endpoint joins a group within a fraction of a second if it served the model last, and
//! within one or two seconds if its host has the weights, so each host stages the weights of a
//! model that its own group does not serve.

use std::collections::BTreeMap;

use balsam_types::FabricDomainName;
use balsam_types::ModelName;
use balsam_types::VmName;

use super::Forming;
use super::GroupKey;
use super::Planner;
use super::USE_LOG_INTERVAL_MS;
use super::View;
use super::forming_timeout_ms;
use crate::configuration::Engine;
use crate::configuration::Model;
use crate::endpoint::Endpoint;
use crate::endpoint::MemberState;
use crate::event::Decision;
use crate::event::Effect;
use crate::event::Order;
use crate::formation;
use crate::formation::ObservedGroup;

/// Total busy groups below which no request is assumed to have arrived yet.
const MIN_DEMAND: f64 = 0.05;

/// Minimum utilisation of a model's groups for forming another group.
const FORM_MIN_USE: f64 = 0.2;

/// Minimum utilisation for forming a group whose members have to load weights.
const LOAD_MIN_USE: f64 = 0.6;

/// Minimum utilisation for taking endpoints from a model that is used less.
const RECIPIENT_MIN_USE: f64 = 0.3;

/// Minimum utilisation for taking all endpoints of a group.
const WHOLE_GROUP_MIN_USE: f64 = 0.75;

/// Maximum utilisation of a model that gives up endpoints. If both models are short, an exchange
/// only costs both of them time, and a model that gave up endpoints to its limit is short after the
/// next loss.
const DONOR_MAX_USE: f64 = 0.75;

/// Maximum number of domains in which endpoints are reassigned at a time; more would change the
/// utilisation of both models faster than its average shows.
const MAX_REBALANCING_DOMAINS: usize = 2;

/// How long the free endpoints of a domain are reserved for a model while its other members finish
/// their requests; longer than most answers last.
const REBALANCE_MS: u64 = 6_000;

/// A model gives up endpoints only if its remaining utilisation stays below this fraction of the
/// recipient's; otherwise the two models would exchange endpoints back and forth.
const DONOR_USE_RATIO: f64 = 0.85;

/// How long an order to stage is considered in progress, in addition to the load itself.
const STAGE_MARGIN_MS: u64 = 2_000;

/// Maximum stage orders per round: each costs the planning node a connection.
const MAX_STAGE_ORDERS: usize = 12;

type DomainName = Option<FabricDomainName>;

/// The endpoints of one fabric domain.
#[derive(Default)]
struct Domain<'a> {
    free: Vec<&'a Endpoint>,
    /// Number of endpoints in groups, by model.
    members: BTreeMap<ModelName, u32>,
    endpoints: u32,
}

/// Utilisation of each model.
struct Usage<'a> {
    view: &'a View<'a>,
    groups: BTreeMap<ModelName, u32>,
}

impl Usage<'_> {
    fn has_demand(&self) -> bool {
        let models = self.view.engine.models.iter();
        let total: f64 =
            models.map(|m| self.view.demand.total(self.view.now_ms, &m.name).total).sum();
        total > MIN_DEMAND
    }

    /// Whether callers of a model are refused for lack of endpoints.
    fn refuses(&self, model: &Model) -> bool {
        self.view.demand.total(self.view.now_ms, &model.name).refused > MIN_DEMAND
    }

    fn count(&self, model: &Model) -> u32 {
        self.groups.get(&model.name).copied().unwrap_or(0)
    }

    /// Returns the utilisation of a model's groups if it had `fewer` groups less.
    fn with_fewer_groups(&self, model: &Model, fewer: u32) -> f64 {
        let groups = f64::from(self.count(model)) - f64::from(fewer);
        self.view.demand.total(self.view.now_ms, &model.name).total / groups.max(0.5)
    }

    fn of(&self, model: &Model) -> f64 {
        self.with_fewer_groups(model, 0)
    }

    /// Returns how many endpoints a model lacks compared with its share of all endpoints.
    fn shortfall(&self, endpoints: u32, model: &Model) -> f64 {
        f64::from(endpoints) * model.share - f64::from(self.count(model)) * f64::from(model.size)
    }
}

/// Forms groups from free endpoints, reassigns endpoints between models and stages weights.
pub(super) fn allocate(
    planner: &mut Planner,
    view: &View<'_>,
    observed: &BTreeMap<GroupKey, ObservedGroup>,
    effects: &mut Vec<Effect>,
) {
    let max_load_ms = view.engine.models.iter().map(|m| m.load_ms).max().unwrap_or(0);
    let timeout_ms = max_load_ms + STAGE_MARGIN_MS;
    planner.staging.retain(|vm, (model, since_ms)| {
        let is_done = view.directory.get(vm).is_none_or(|e| e.staged.contains(model));
        !is_done && view.now_ms < *since_ms + timeout_ms
    });
    planner.record_last_models(view, observed);
    let mut usage = Usage { view, groups: count_groups(planner, view, observed) };
    let mut domains = domains(planner, view, observed);
    planner.rebalancing.retain(|_, (_, until_ms)| view.now_ms < *until_ms);
    rebalance(planner, &usage, &domains, observed, effects);
    while let Some((name, model)) = next_group(planner, &usage, &domains) {
        let Some(domain) = domains.get_mut(&name) else { break };
        let members = choose_members(planner, domain, model);
        let loads = members.iter().filter(|e| !has_weights(planner, e, model)).count();
        let rate_per_s = view.engine.loads_per_s;
        if usage.has_demand()
            && loads > 0
            && !planner.load_limiter.take(view.now_ms, rate_per_s, loads)
        {
            break;
        }
        let names: Vec<VmName> = members.iter().map(|e| e.vm.clone()).collect();
        domain.free.retain(|endpoint| !names.contains(&endpoint.vm));
        *domain.members.entry(model.name.clone()).or_default() += model.size;
        *usage.groups.entry(model.name.clone()).or_default() += 1;
        planner.rebalancing.remove(&name);
        start_group(planner, view, model, names, loads > 0, effects);
    }
    count_idle(planner, &usage, &domains);
    log_use(planner, &usage, &domains, effects);
    stage(planner, &usage, &domains, observed, effects);
}

/// Counts the free endpoints that could have formed groups of a model whose callers are refused.
fn count_idle(
    planner: &mut Planner,
    usage: &Usage<'_>,
    domains: &BTreeMap<DomainName, Domain<'_>>,
) {
    let view = usage.view;
    let refusing = view.engine.models.iter().filter(|model| model.size > 0 && usage.refuses(model));
    let idle = refusing.map(|model| {
        let whole_groups = domains.values().map(|domain| domain.free.len() as u32 / model.size);
        (model.name.clone(), whole_groups.sum::<u32>() * model.size)
    });
    planner.idle.record(view.now_ms, idle.collect());
}

fn log_use(
    planner: &mut Planner,
    usage: &Usage<'_>,
    domains: &BTreeMap<DomainName, Domain<'_>>,
    effects: &mut Vec<Effect>,
) {
    let view = usage.view;
    if view.now_ms < planner.use_logged_ms + USE_LOG_INTERVAL_MS {
        return;
    }
    planner.use_logged_ms = view.now_ms;
    let free_endpoints = domains.values().map(|domain| domain.free.len() as u32).sum();
    effects.extend(view.engine.models.iter().map(|model| {
        let demand = view.demand.total(view.now_ms, &model.name);
        Effect::LogDecision(Decision::Use {
            model: model.name.clone(),
            groups: usage.count(model),
            busy_groups: demand.total,
            refused_groups: demand.refused,
            free_endpoints,
            idle_endpoint_ms: planner.idle.take_ms(&model.name),
        })
    }));
}

/// Counts the groups of each model that serve, are being formed or may serve again.
fn count_groups(
    planner: &Planner,
    view: &View<'_>,
    observed: &BTreeMap<GroupKey, ObservedGroup>,
) -> BTreeMap<ModelName, u32> {
    let mut groups = BTreeMap::new();
    let forming = planner.forming.iter().map(|(name, forming)| (name.clone(), forming.epoch));
    let existing = observed.iter().filter(|(key, group)| {
        let is_forming = planner.forming.get(&key.0).is_some_and(|f| f.epoch == key.1);
        group.head().is_some_and(|head| view.is_used(&head.vm))
            && !is_forming
            && !planner.ending.contains_key(*key)
            && !planner.is_void(key, group)
    });
    let keys = forming.chain(existing.map(|(key, _)| key.clone()));
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
    observed: &BTreeMap<GroupKey, ObservedGroup>,
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
        let existing = group.filter(|key| observed.contains_key(key));
        let model = forming.map(|f| f.model.clone()).or_else(|| {
            let (name, _) = existing?;
            formation::model_of(&name, view.engine).map(|model| model.name.clone())
        });
        if let Some(model) = model {
            *domain.members.entry(model).or_default() += 1;
        }
    }
    domains
}

/// Whether an endpoint can serve a model without loading from the weight store.
fn has_weights(planner: &Planner, endpoint: &Endpoint, model: &Model) -> bool {
    planner.last_model.get(&endpoint.vm) == Some(&model.name)
        || endpoint.staged.contains(&model.name)
}

/// Returns the domain and the model of the next group to form.
fn next_group<'a>(
    planner: &Planner,
    usage: &Usage<'a>,
    domains: &BTreeMap<DomainName, Domain<'_>>,
) -> Option<(DomainName, &'a Model)> {
    if usage.has_demand() {
        return best_candidate(planner, usage, domains, |domain, model| {
            score_by_use(planner, usage, domain, model)
        });
    }
    best_candidate(planner, usage, domains, score_by_share).or_else(|| {
        let endpoints = domains.values().map(|domain| domain.endpoints).sum();
        let shortfall = |_: &Domain<'_>, model: &Model| Some(usage.shortfall(endpoints, model));
        best_candidate(planner, usage, domains, shortfall)
    })
}

/// Returns the domain and the model with the highest score among those with enough free endpoints.
fn best_candidate<'a>(
    planner: &Planner,
    usage: &Usage<'a>,
    domains: &BTreeMap<DomainName, Domain<'_>>,
    score: impl Fn(&Domain<'_>, &Model) -> Option<f64>,
) -> Option<(DomainName, &'a Model)> {
    let mut best: Option<(f64, DomainName, &Model)> = None;
    for (name, domain) in domains {
        let reserved_for = planner.rebalancing.get(name).map(|(model, _)| model);
        for model in &usage.view.engine.models {
            let is_reserved = reserved_for.is_some_and(|other| *other != model.name);
            if is_reserved || domain.free.len() < model.size as usize || model.size == 0 {
                continue;
            }
            let Some(score) = score(domain, model) else { continue };
            if best.as_ref().is_none_or(|(most, ..)| score > *most) {
                best = Some((score, name.clone(), model));
            }
        }
    }
    best.map(|(_, name, model)| (name, model))
}

/// Scores a model before the first request, when each model gets its share of a domain. Endpoints
/// left over in a domain go to the model that lacks most of its share of all endpoints: when they
/// were left free, a quarter of all endpoints was idle while callers were refused.
fn score_by_share(domain: &Domain<'_>, model: &Model) -> Option<f64> {
    let assigned = f64::from(domain.members.get(&model.name).copied().unwrap_or(0));
    let missing = f64::from(domain.endpoints) * model.share - assigned;
    (missing >= f64::from(model.size) / 2.0).then_some(missing)
}

/// Scores a model under load: the most utilised model gets the next group. One that needs loads
/// waits unless its utilisation is high, because a load takes longer than most losses last.
fn score_by_use(
    planner: &Planner,
    usage: &Usage<'_>,
    domain: &Domain<'_>,
    model: &Model,
) -> Option<f64> {
    let used = usage.of(model);
    let with_weights = domain.free.iter().filter(|e| has_weights(planner, e, model)).count();
    let has_weights = with_weights >= model.size as usize;
    // Without a group, even a single request cannot be served.
    let is_wanted = match (usage.count(model), has_weights) {
        (0, _) => used > 0.0,
        (_, true) => used > FORM_MIN_USE,
        (_, false) => used > LOAD_MIN_USE,
    };
    // A group that can serve within two seconds has precedence over one that has to load.
    is_wanted.then_some(if has_weights { used + 1.0 } else { used })
}

/// Chooses members, preferring endpoints that served the model last, then those that have its
/// weights staged.
fn choose_members<'a>(planner: &Planner, domain: &Domain<'a>, model: &Model) -> Vec<&'a Endpoint> {
    let mut free = domain.free.clone();
    free.sort_by_key(|e| {
        let was_last = planner.last_model.get(&e.vm) == Some(&model.name);
        (!was_last, !e.staged.contains(&model.name), e.cold_until_ms, e.vm.clone())
    });
    free.truncate(model.size as usize);
    free
}

pub(super) fn start_group(
    planner: &mut Planner,
    view: &View<'_>,
    model: &Model,
    members: Vec<VmName>,
    has_loads: bool,
    effects: &mut Vec<Effect>,
) {
    let epoch = planner.next_epoch();
    let name = formation::group_name(&model.name, epoch);
    let forming = Forming {
        epoch,
        model: model.name.clone(),
        members: members.clone(),
        started_ms: view.now_ms,
        timeout_ms: forming_timeout_ms(model, has_loads),
        joined: Default::default(),
    };
    planner.forming.insert(name.clone(), forming.clone());
    effects.push(Effect::LogDecision(Decision::GroupForming {
        group: name.clone(),
        epoch,
        members,
    }));
    planner.order_joins(view, &name, &forming, None, effects);
}

/// Ends groups of a little-used model in a domain where a heavily used model lacks only their
/// endpoints, and reserves the free endpoints there in the meantime. Without the reservation, two
/// orphans of a group of four immediately became a pair, and the group of four was never restored.
fn rebalance(
    planner: &mut Planner,
    usage: &Usage<'_>,
    domains: &BTreeMap<DomainName, Domain<'_>>,
    observed: &BTreeMap<GroupKey, ObservedGroup>,
    effects: &mut Vec<Effect>,
) {
    if !usage.has_demand() {
        return;
    }
    let mut models: Vec<&Model> = usage.view.engine.models.iter().collect();
    models.sort_by(|a, b| usage.of(b).total_cmp(&usage.of(a)));
    // Groups that are given up in this round are not yet counted as ending.
    let mut donated = 0;
    for recipient in models.iter().filter(|model| usage.of(model) > RECIPIENT_MIN_USE) {
        for donor in models.iter().filter(|model| model.name != recipient.name && model.size > 0) {
            for (name, domain) in domains {
                if planner.rebalancing.contains_key(name)
                    || planner.rebalancing.len() >= MAX_REBALANCING_DOMAINS
                {
                    continue;
                }
                let groups = groups_to_end(
                    planner,
                    usage,
                    (name, domain),
                    (recipient, donor),
                    donated,
                    observed,
                );
                let Some(groups) = groups else { continue };
                donated += groups.len() as u32;
                let until_ms = usage.view.now_ms + REBALANCE_MS;
                planner.rebalancing.insert(name.clone(), (recipient.name.clone(), until_ms));
                for key in groups {
                    let Some(group) = observed.get(&key) else { continue };
                    let members: Vec<VmName> =
                        group.members.values().map(|m| m.vm.clone()).collect();
                    planner.end_group(
                        &key,
                        &members,
                        true,
                        "another model needs its members",
                        effects,
                    );
                }
                // Whole groups are taken at most once per round, so that the effect can be observed
                // first.
                if domain.free.is_empty() {
                    return;
                }
            }
        }
    }
}

/// Returns the groups of `donor` to end so that `recipient` gets a group; `None` if it should not.
fn groups_to_end(
    planner: &Planner,
    usage: &Usage<'_>,
    (name, domain): (&DomainName, &Domain<'_>),
    (recipient, donor): (&Model, &Model),
    donated: u32,
    observed: &BTreeMap<GroupKey, ObservedGroup>,
) -> Option<Vec<GroupKey>> {
    let free = domain.free.iter().filter(|e| has_weights(planner, e, recipient)).count() as u32;
    let is_due = free > 0 || usage.of(recipient) > WHOLE_GROUP_MIN_USE;
    if !is_due || free >= recipient.size {
        return None;
    }
    let needed = (recipient.size - free).div_ceil(donor.size);
    let donor_use = usage.with_fewer_groups(donor, donated + needed);
    if donor_use > DONOR_USE_RATIO * usage.of(recipient) || donor_use > DONOR_MAX_USE {
        return None;
    }
    let mut groups = donors(planner, usage.view, observed, name, donor, recipient);
    groups.truncate(needed as usize);
    (groups.len() == needed as usize).then_some(groups)
}

/// Returns the open groups of a domain whose members could join the recipient without a load.
fn donors(
    planner: &Planner,
    view: &View<'_>,
    observed: &BTreeMap<GroupKey, ObservedGroup>,
    domain: &DomainName,
    donor: &Model,
    recipient: &Model,
) -> Vec<GroupKey> {
    let is_donor = |(key, group): &(&GroupKey, &ObservedGroup)| {
        let is_open = group.head().is_some_and(|head| head.state == MemberState::Open);
        let members = group.members.values().filter_map(|m| view.directory.get(&m.vm));
        group.domain == *domain
            && is_open
            && group.is_complete(donor.size)
            && !planner.ending.contains_key(*key)
            && formation::model_of(&key.0, view.engine).is_some_and(|m| m.name == donor.name)
            && members.filter(|e| has_weights(planner, e, recipient)).count() >= donor.size as usize
    };
    observed.iter().filter(is_donor).map(|(key, _)| key.clone()).collect()
}

/// Stages weights on hosts so that endpoints can join a group without a load. A serving endpoint
/// stages a model that its group does not serve; a free endpoint stages the model that a group of
/// its domain is likely to lack after the next loss.
///
/// Before the first request, loads take a tenth of the time and do not count against the rate.
/// Later only free endpoints load: one without weights kept seven orphans of a group of eight
/// waiting for 16 s.
fn stage(
    planner: &mut Planner,
    usage: &Usage<'_>,
    domains: &BTreeMap<DomainName, Domain<'_>>,
    observed: &BTreeMap<GroupKey, ObservedGroup>,
    effects: &mut Vec<Effect>,
) {
    let view = usage.view;
    let mut orders = stage_free(planner, view.engine, domains);
    if !usage.has_demand() {
        orders.extend(stage_members(planner, view, observed));
    }
    for (vm, model) in orders.into_iter().take(MAX_STAGE_ORDERS) {
        let rate_per_s = view.engine.loads_per_s;
        if usage.has_demand() && !planner.load_limiter.take(view.now_ms, rate_per_s, 1) {
            break;
        }
        planner.staging.insert(vm.clone(), (model.clone(), view.now_ms));
        planner.order(view, &vm, Order::Stage { model }, effects);
    }
}

/// Returns the members of open groups whose hosts lack the weights of another model.
fn stage_members(
    planner: &Planner,
    view: &View<'_>,
    observed: &BTreeMap<GroupKey, ObservedGroup>,
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
        // Only one other model is staged; the model with the largest groups is the hardest to
        // complete.
        let Some(other_model) = others.max_by_key(|model| model.size) else { continue };
        if is_open && !endpoint.staged.contains(&other_model.name) {
            orders.push((endpoint.vm.clone(), other_model.name.clone()));
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
        let (staging, not_staging): (Vec<&Endpoint>, Vec<&Endpoint>) =
            domain.free.iter().copied().partition(|e| planner.staging.contains_key(&e.vm));
        let is_empty =
            |e: &&Endpoint| e.staged.is_empty() && !planner.last_model.contains_key(&e.vm);
        let empty: Vec<&Endpoint> = not_staging.iter().copied().filter(is_empty).collect();
        let mut with_weights: BTreeMap<&ModelName, u32> = BTreeMap::new();
        for model in &engine.models {
            let now = not_staging.iter().filter(|e| has_weights(planner, e, model)).count();
            let soon = staging.iter().filter(|e| {
                planner.staging.get(&e.vm).is_some_and(|(staged, _)| *staged == model.name)
            });
            with_weights.insert(&model.name, (now + soon.count()) as u32);
        }
        for (index, endpoint) in empty.iter().enumerate() {
            let remaining = (empty.len() - index) as u32;
            let Some(model) = next_model_to_stage(engine, &with_weights, remaining) else { break };
            *with_weights.entry(&model.name).or_default() += 1;
            orders.push((endpoint.vm.clone(), model.name.clone()));
        }
    }
    orders
}

/// Returns the model that lacks the fewest endpoints for a group if `remaining` are enough to
/// complete it, and otherwise the model with the fewest endpoints: the next loss may affect either.
fn next_model_to_stage<'a>(
    engine: &'a Engine,
    with_weights: &BTreeMap<&ModelName, u32>,
    remaining: u32,
) -> Option<&'a Model> {
    let count = |model: &Model| with_weights.get(&model.name).copied().unwrap_or(0);
    let lacking = |model: &&Model| {
        let shortfall = model.size.saturating_sub(count(model));
        count(model) > 0 && (1..=remaining).contains(&shortfall)
    };
    let nearest = engine.models.iter().filter(lacking);
    let nearest = nearest.min_by_key(|model| model.size - count(model));
    nearest.or_else(|| {
        engine.models.iter().min_by_key(|model| (count(model), std::cmp::Reverse(model.size)))
    })
}
