//! Chooses the endpoint of a request based on what this node knows of all endpoints.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use balsam_types::VmName;

use crate::configuration::PoolConfig;
use crate::cost;
use crate::cost::ExpectedCost;
use crate::event::Arrival;
use crate::placement;
use crate::placement::Candidate;
use crate::serving::RequestKind;
use crate::serving::Server;
use crate::state::Fleet;
use crate::state::UnreportedWork;
use crate::state::hash_rank;
use crate::waiting::Capacity;

/// Number of requests that an endpoint of a plain service may hold beyond its slots; its own queue
/// is short.
pub(crate) const PLAIN_QUEUE_LEN: u32 = 6;

/// Round-trip time to an endpoint in another data centre.
const REMOTE_ROUND_TRIP_MS: f64 = 8.0;

/// Chooses the server of a request, if one has capacity.
///
/// The unreported work of data centres that are known only by summaries goes mostly to their own
/// groups. An equal share of it is added to the cost of each of these groups, so a large fleet
/// serves requests in the data centre where they arrive, based on current figures, and elsewhere
/// only when that is worthwhile. When all groups were compared by figures that were half a second
/// old, 195 nodes queued prompts behind each other.
pub(crate) fn choose(
    fleet: &Fleet,
    now_ms: u64,
    kind: &RequestKind,
    arrival: &Arrival,
) -> Option<Server> {
    let pool = fleet.configuration.as_ref()?.pools.get(&kind.pool)?;
    let unreported_work = unreported_work(fleet, now_ms, kind);
    // Until the answers of a route are known, its requests are placed by the time to the first event.
    let expected = cost::expected_cost(fleet, arrival)
        .filter(|_| pool.engine.is_none() || fleet.costs.is_known(&arrival.route));
    let is_far = |server: &&Server| server.data_centre != fleet.settings.data_centre;
    let list_read_ms = fleet.directory.last_read_ms();
    let avoids_failing = fleet.settings.load_policy.avoids_failing_endpoints;
    let far_groups = fleet.serving.of(kind).iter().filter(is_far).count();
    let far_ms = unreported_work.summarised_ms / far_groups.max(1) as f64;
    let open = servers(fleet, now_ms, kind, pool, arrival);
    let mut costs: Vec<(bool, f64, &Server)> = open
        .map(|server| {
            let load = fleet.loads.get(&server.vm);
            // An endpoint that was unreachable or refused a request is used only if no other
            // endpoint has capacity.
            let is_backed_off = load.is_some_and(|load| {
                now_ms < load.backoff_until_ms
                    || avoids_failing && load.is_wrongly_listed(list_read_ms)
            });
            let unreported_ms = if is_far(&server) { far_ms } else { 0.0 };
            let cost = cost(fleet, now_ms, pool, server, arrival, expected.as_ref());
            (is_backed_off, cost + unreported_ms, server)
        })
        .collect();
    let only_backed_off = costs.iter().all(|(is_backed_off, ..)| *is_backed_off);
    costs.retain(|(is_backed_off, ..)| *is_backed_off == only_backed_off);
    costs.sort_by(|a, b| a.1.total_cmp(&b.1));
    let sorted: Vec<f64> = costs.iter().map(|(_, cost, _)| *cost).collect();
    let index = placement::spread(
        &sorted,
        unreported_work.direct_ms,
        draw(&fleet.settings.node, arrival.attempt_id),
    )?;
    Some(costs[index].2.clone())
}

/// Returns the servers that the request may use and that have capacity.
fn servers<'a>(
    fleet: &'a Fleet,
    now_ms: u64,
    kind: &RequestKind,
    pool: &'a PoolConfig,
    arrival: &'a Arrival,
) -> impl Iterator<Item = &'a Server> {
    fleet.serving.of(kind).iter().filter(move |server| {
        is_usable(fleet, now_ms, server)
            && !arrival.tried.contains(&server.vm)
            && has_capacity(fleet, now_ms, pool, server)
    })
}

/// Returns the work that other nodes sent and that is not known here yet.
pub(crate) fn unreported_work(fleet: &Fleet, now_ms: u64, kind: &RequestKind) -> UnreportedWork {
    kind.model.as_ref().map(|model| fleet.unreported_work(now_ms, model)).unwrap_or_default()
}

/// Returns a pseudo-random number from 0 to 1 that differs between nodes and attempts.
fn draw(node: &str, attempt_id: u64) -> f64 {
    let mut hasher = DefaultHasher::new();
    (node, attempt_id).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

/// Whether requests may go to a server, regardless of its load.
pub(crate) fn is_usable(fleet: &Fleet, now_ms: u64, server: &Server) -> bool {
    let group = server.group.as_ref();
    let is_suspect = group.is_some_and(|group| fleet.suspicions.is_suspect(&server.vm, group));
    let is_evacuated = fleet.operators.evacuated().contains(&server.data_centre);
    let is_paused = fleet.pauses.left_ms(now_ms, &server.vm).is_some();
    !is_suspect
        && !is_evacuated
        && !is_paused
        && !fleet.reachability.is_cut(now_ms, &server.data_centre)
}

/// Whether no request is queued and an endpoint would run one more at once.
pub(crate) fn has_free_slot(
    fleet: &Fleet,
    now_ms: u64,
    kind: &RequestKind,
    arrival: &Arrival,
) -> bool {
    let is_free = |server: &&Server| {
        let in_flight = fleet.loads.get(&server.vm).map_or(0, |load| load.total(now_ms).0);
        is_usable(fleet, now_ms, server)
            && !arrival.tried.contains(&server.vm)
            && in_flight < server.slots
    };
    fleet.waiting.is_clear(kind) && fleet.serving.of(kind).iter().any(|s| is_free(&s))
}

/// Returns how many requests an endpoint may hold.
pub(crate) fn max_in_flight(pool: &PoolConfig, server: &Server) -> u32 {
    match pool.engine {
        Some(_) => server.slots,
        None => server.slots.saturating_add(PLAIN_QUEUE_LEN),
    }
}

fn has_capacity(fleet: &Fleet, now_ms: u64, pool: &PoolConfig, server: &Server) -> bool {
    let load = fleet.loads.get(&server.vm);
    let in_flight = load.map_or(0, |load| load.total(now_ms).0);
    let cold_per_s = pool.cold_per_s / f64::from(fleet.nodes(now_ms));
    let is_cold = now_ms < server.cold_until_ms && pool.cold_per_s > 0.0;
    let is_open =
        !is_cold || load.is_some_and(|load| load.cold_allowance.has_room(now_ms, cold_per_s));
    in_flight.saturating_add(fleet.hidden_load.of(now_ms, &server.vm)) < max_in_flight(pool, server)
        && is_open
}

/// Refills this node's share of the cold-start limits.
pub(crate) fn refill_cold_allowances(fleet: &mut Fleet, now_ms: u64) {
    let nodes = f64::from(fleet.nodes(now_ms));
    let Some(configuration) = fleet.configuration.clone() else { return };
    let cold = fleet.serving.all().filter(|(_, server)| now_ms < server.cold_until_ms);
    let cold: Vec<_> = cold.map(|(kind, s)| (kind.pool.clone(), s.vm.clone())).collect();
    for (pool, vm) in cold {
        let rate_per_s = configuration.pools.get(&pool).map_or(0.0, |pool| pool.cold_per_s);
        let initial_level = initial_level(&fleet.settings.node, &vm);
        fleet.loads.entry(&vm).cold_allowance.refill(now_ms, rate_per_s / nodes, initial_level);
    }
}

/// Returns an initial level from 0 to 1 that differs between nodes and endpoints.
fn initial_level(node: &str, vm: &VmName) -> f64 {
    hash_rank(node, vm) as f64 / u64::MAX as f64
}

fn cost(
    fleet: &Fleet,
    now_ms: u64,
    pool: &PoolConfig,
    server: &Server,
    arrival: &Arrival,
    expected: Option<&ExpectedCost>,
) -> f64 {
    let candidate = candidate(fleet, now_ms, server);
    let load = fleet.loads.get(&server.vm);
    match (&pool.engine, expected) {
        (Some(engine), Some(ExpectedCost { answer_tokens, .. })) => {
            // On average, half of an answer under way of which nothing is known is left.
            let unknown_tokens = u64::from(answer_tokens / 2);
            let known = Candidate {
                unwritten_tokens: load.map_or(0, |l| l.unwritten_tokens(now_ms, unknown_tokens)),
                slowness: fleet.paces.slowness(now_ms, &server.vm),
                ..candidate
            };
            placement::answer_cost_ms(engine, &known, arrival.prompt_tokens, *answer_tokens)
        }
        (Some(engine), None) => {
            placement::first_event_ms(engine, &candidate, arrival.prompt_tokens)
        }
        (None, Some(ExpectedCost { duration_ms: Some(mean_ms), .. })) => {
            let left = load.map(|load| load.left).unwrap_or_default();
            // An average request under way has half of its time left.
            let own_requests = left.plain_ms / (mean_ms / 2.0).max(1.0);
            let others = f64::from(candidate.in_flight.saturating_sub(left.estimated));
            placement::plain_cost(&Candidate { plain_requests: others + own_requests, ..candidate })
        }
        (None, _) => placement::plain_cost(&candidate),
    }
}

pub(crate) fn candidate(fleet: &Fleet, now_ms: u64, server: &Server) -> Candidate {
    let load = fleet.loads.get(&server.vm);
    let (in_flight, unread_tokens) = load.map_or((0, 0), |load| load.expected(now_ms));
    let is_local = server.data_centre == fleet.settings.data_centre;
    Candidate {
        in_flight,
        unread_tokens,
        slots: server.slots,
        pace: server.pace,
        distance_ms: if is_local { 0.0 } else { REMOTE_ROUND_TRIP_MS },
        failure_share: load.map_or(0.0, |load| load.failure_share),
        unwritten_tokens: 0,
        slowness: 1.0,
        plain_requests: f64::from(in_flight),
    }
}

/// Returns the capacity of the servers that a kind of request may use.
pub(crate) fn capacity(fleet: &Fleet, now_ms: u64, kind: &RequestKind) -> Capacity {
    let servers = fleet.serving.of(kind).iter();
    let usable: Vec<_> = servers.filter(|server| is_usable(fleet, now_ms, server)).collect();
    // The slots of many endpoints may exceed the type, and the total is only compared and divided.
    let total = usable.iter().map(|server| server.slots).fold(0, u32::saturating_add);
    Capacity { total, servers: usable.len() as u32, nodes: fleet.nodes(now_ms) }
}
