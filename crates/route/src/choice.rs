//! Choice of a local group or a remote data centre for one request.
//!
//! See `docs/decisions/0004-endpoint-choice-and-limits.md`.

use std::net::SocketAddr;

use balsam_types::DataCentreName;
use balsam_types::GroupName;
use balsam_types::VmName;
use rand::Rng;

use crate::loads::PoolView;
use crate::loads::mix;
use crate::table::Group;
use crate::table::RemoteDataCentre;
use crate::table::Temperature;

/// Age at which a load report and its temperature expire; see `docs/design.md`, section 10.
pub const REPORT_FRESH_MS: u64 = 2_000;
/// Cache affinity holds up to this multiple of the average load; the design sets the value.
pub const AFFINITY_LOAD_FACTOR: f32 = 1.25;
/// Load multiplier for slow groups, which then get about half of the work.
const SLOW_FACTOR: f32 = 2.0;
/// One request in this many goes to a cold group even if warm ones have room, to warm it up.
const COLD_PROBE_EVERY: u32 = 16;
/// Minimum sample of warm groups for the average load; exact for pools up to this size.
const MIN_WARM_SAMPLE: usize = 16;
/// Maximum sample of warm groups. Scanning all 900 groups took 46 us p99, above the 10 us bound.
/// With 10% of the groups free, a sample of 64 misses all of them in 0.12% of choices.
const MAX_WARM_SAMPLE: usize = 64;
/// Sample of cold groups; each takes few requests, so the least loaded of a sample is enough.
const COLD_SAMPLE: usize = 32;
/// Sampling strides; a prime that does not divide the list length visits each index once.
const STRIDES: [usize; 8] = [10_007, 10_103, 10_211, 10_331, 10_433, 10_559, 10_663, 10_771];
/// Retry delay for a full pool; slots free up as requests complete, so it is short.
const RETRY_FULL_MS: u64 = 250;
/// Retry delay without usable groups; evidence and drains change only with probes and peers.
const RETRY_UNAVAILABLE_MS: u64 = 1_000;

/// Inputs of a choice besides the pool.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceInput<'a> {
    /// The node's monotonic time.
    pub now_ms: u64,
    /// Whether the node's own data centre is drained.
    pub local_drained: bool,
    /// Entry nodes that send to the same groups, this one included.
    pub senders: u32,
    /// Hash of the request's prompt prefix, for cache affinity.
    pub prefix_hash: Option<u64>,
    /// Hash of the name of the group that holds the prefix according to [`mod@crate::cache`]; takes
    /// precedence over rendezvous hashing.
    pub cached_group_hash: Option<u64>,
    /// Groups that were already tried.
    pub exclude: &'a [GroupName],
    /// Data centres that were already tried.
    pub exclude_remotes: &'a [DataCentreName],
    /// Whether the request may go to another data centre; a forwarded request may not.
    pub allow_remote: bool,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// A group of the node's own data centre.
    Local {
        /// The index in [`crate::table::Pool::groups`].
        index: usize,
        /// Whether a cold-start permit is needed before the dispatch.
        needs_permit: bool,
    },
    /// Another data centre.
    Remote {
        /// The data centre.
        data_centre: DataCentreName,
        /// The entry node that takes the forwarded request.
        entry_node: VmName,
        /// The peer port of the entry node.
        peer_address: SocketAddr,
    },
    /// No destination can take the request now.
    Wait {
        /// Suggested delay before the next attempt.
        retry_after_ms: u64,
        /// Why there is no destination.
        reason: WaitReason,
    },
}

/// Why no destination can take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// No group known to this node may serve the pool.
    NoGroup,
    /// Groups serve, but all of them are full.
    Full,
    /// All groups that could serve were already tried.
    AllTried,
}

/// Chooses a destination for one request; allocations do not grow with the fleet.
pub fn choose<R: Rng + ?Sized>(view: &PoolView, input: &ChoiceInput<'_>, rng: &mut R) -> Choice {
    let scan = Scan::run(view, input, rng);
    let probe_cold = scan.least_loaded_cold.is_some() && rng.random_range(0..COLD_PROBE_EVERY) == 0;
    if let Some(index) = choose_warm(view, input, &scan)
        && !probe_cold
    {
        return Choice::Local { index, needs_permit: false };
    }
    if let Some((index, _)) = scan.least_loaded_cold {
        return Choice::Local { index, needs_permit: true };
    }
    if let Some(remote) = choose_remote(view, input, rng) {
        return remote;
    }
    let (retry_after_ms, reason) = match scan {
        Scan { has_full: true, .. } => (RETRY_FULL_MS, WaitReason::Full),
        Scan { has_tried: true, .. } => (RETRY_FULL_MS, WaitReason::AllTried),
        _ => (RETRY_UNAVAILABLE_MS, WaitReason::NoGroup),
    };
    Choice::Wait { retry_after_ms, reason }
}

/// Returns whether a group may receive requests, regardless of its load.
pub fn is_eligible(group: &Group, now_ms: u64) -> bool {
    now_ms < group.evidence_until_ms && !group.leaving
}

/// Returns the reported temperature, or unknown if the report is stale or the group suspect.
pub fn temperature(view: &PoolView, index: usize, now_ms: u64) -> Temperature {
    let group = &view.pool.groups[index];
    let is_fresh = now_ms < group.reported_at_ms.saturating_add(REPORT_FRESH_MS);
    if !is_fresh || view.loads[index].is_suspect(group.reported_at_ms) {
        return Temperature::Unknown;
    }
    group.temperature
}

/// Estimates a group's load over all senders from its load report and this node's own count.
pub fn estimate(group: &Group, own_in_flight: u32, senders: u32, now_ms: u64) -> f32 {
    blended_load(group, own_in_flight, own_in_flight as f32 * senders as f32, now_ms)
}

fn blended_load(group: &Group, own_in_flight: u32, own_scaled: f32, now_ms: u64) -> f32 {
    let age_ms = now_ms.saturating_sub(group.reported_at_ms).min(REPORT_FRESH_MS);
    let report_weight = 1.0 - age_ms as f32 / REPORT_FRESH_MS as f32;
    let blended =
        report_weight * group.reported_in_flight as f32 + (1.0 - report_weight) * own_scaled;
    blended.max(own_in_flight as f32)
}

/// Returns whether the group is full. The own count is reduced by one standard deviation before
/// scaling, because one request from one of 390 senders says little about the others.
fn is_full(view: &PoolView, index: usize, own_in_flight: u32, input: &ChoiceInput<'_>) -> bool {
    let group = &view.pool.groups[index];
    let limit = view.pool.spec.limit;
    let local_limit = match view.loads[index].local_limit() {
        0 => limit,
        local_limit => local_limit.min(limit),
    };
    let own_lower_bound = (own_in_flight as f32 - (own_in_flight as f32).sqrt()).max(0.0);
    own_in_flight >= local_limit
        || blended_load(group, own_in_flight, own_lower_bound * input.senders as f32, input.now_ms)
            >= limit as f32
}

fn score(group: &Group, own_in_flight: u32, input: &ChoiceInput<'_>) -> f32 {
    let load = estimate(group, own_in_flight, input.senders, input.now_ms) + 1.0;
    if group.slow { load * SLOW_FACTOR } else { load }
}

/// Yields each position of a list of groups once, in an order that differs per request.
fn sample_positions<R: Rng + ?Sized>(length: usize, rng: &mut R) -> impl Iterator<Item = usize> {
    let stride = STRIDES[rng.random_range(0..STRIDES.len())];
    let start = rng.random_range(0..length.max(1));
    (0..length).map(move |visit| (start + visit * stride) % length)
}

/// The result of sampling a bounded number of local groups.
#[derive(Debug, Default)]
struct Scan {
    /// The first two warm groups with room, with their scores.
    candidates: [Option<(usize, f32)>; 2],
    load_sum: f32,
    load_count: u32,
    least_loaded_cold: Option<(usize, u32)>,
    has_full: bool,
    has_tried: bool,
}

impl Scan {
    fn run<R: Rng + ?Sized>(view: &PoolView, input: &ChoiceInput<'_>, rng: &mut R) -> Self {
        let mut scan = Self::default();
        if input.local_drained {
            return scan;
        }
        for (visited, position) in
            sample_positions(view.warm.len(), rng).take(MAX_WARM_SAMPLE).enumerate()
        {
            if visited >= MIN_WARM_SAMPLE && scan.candidates[1].is_some() {
                break;
            }
            scan.add(view, input, view.warm[position]);
        }
        for position in sample_positions(view.cold.len(), rng).take(COLD_SAMPLE) {
            scan.add(view, input, view.cold[position]);
        }
        scan
    }

    fn add(&mut self, view: &PoolView, input: &ChoiceInput<'_>, index: usize) {
        let group = &view.pool.groups[index];
        if !is_eligible(group, input.now_ms) {
            return;
        }
        if input.exclude.contains(&group.group) {
            self.has_tried = true;
            return;
        }
        let own_in_flight = view.loads[index].in_flight();
        if temperature(view, index, input.now_ms) != Temperature::Warm {
            self.add_cold(view, index, own_in_flight);
            return;
        }
        let load = score(group, own_in_flight, input);
        self.load_sum += load;
        self.load_count += 1;
        if is_full(view, index, own_in_flight, input) {
            self.has_full = true;
        } else if let Some(slot) = self.candidates.iter_mut().find(|candidate| candidate.is_none())
        {
            *slot = Some((index, load));
        }
    }

    fn add_cold(&mut self, view: &PoolView, index: usize, own_in_flight: u32) {
        if own_in_flight >= view.pool.spec.cold_limit {
            self.has_full = true;
        } else if self.least_loaded_cold.is_none_or(|(_, least)| own_in_flight < least) {
            self.least_loaded_cold = Some((index, own_in_flight));
        }
    }
}

/// Returns whether a group can take a request without a permit now.
fn can_take_without_permit(view: &PoolView, index: usize, input: &ChoiceInput<'_>) -> bool {
    let group = &view.pool.groups[index];
    is_eligible(group, input.now_ms)
        && !input.exclude.contains(&group.group)
        && temperature(view, index, input.now_ms) == Temperature::Warm
        && !is_full(view, index, view.loads[index].in_flight(), input)
}

fn choose_warm(view: &PoolView, input: &ChoiceInput<'_>, scan: &Scan) -> Option<usize> {
    let average = scan.load_sum / scan.load_count.max(1) as f32;
    let preferred = preferred(view, input).filter(|index| {
        let load = score(&view.pool.groups[*index], view.loads[*index].in_flight(), input);
        load <= AFFINITY_LOAD_FACTOR * average && !input.local_drained
    });
    let less_loaded = match scan.candidates {
        [Some(a), Some(b)] if b.1 < a.1 => Some(b),
        [a, _] => a,
    };
    preferred.or(less_loaded.map(|(index, _)| index))
}

/// Returns the first available of: the group known to cache the prefix, then the two groups ranked
/// highest by rendezvous hashing.
fn preferred(view: &PoolView, input: &ChoiceInput<'_>) -> Option<usize> {
    let cached = input.cached_group_hash.and_then(|cached_hash| {
        view.warm_hashes.iter().position(|group_hash| *group_hash == cached_hash)
    });
    let ranked =
        input.prefix_hash.map_or([None; 2], |prefix_hash| top_two_ranked(view, prefix_hash));
    let positions = [cached, ranked[0], ranked[1]].into_iter().flatten();
    positions
        .map(|position| view.warm[position])
        .find(|index| can_take_without_permit(view, *index, input))
}

fn top_two_ranked(view: &PoolView, prefix_hash: u64) -> [Option<usize>; 2] {
    let mut positions = [None; 2];
    let (mut first_rank, mut second_rank) = (0, 0);
    for (position, group_hash) in view.warm_hashes.iter().enumerate() {
        let rank = mix(group_hash ^ prefix_hash);
        if rank > first_rank {
            (second_rank, positions[1]) = (first_rank, positions[0]);
            (first_rank, positions[0]) = (rank, Some(position));
        } else if rank > second_rank {
            (second_rank, positions[1]) = (rank, Some(position));
        }
    }
    positions
}

fn choose_remote<R: Rng + ?Sized>(
    view: &PoolView,
    input: &ChoiceInput<'_>,
    rng: &mut R,
) -> Option<Choice> {
    if !input.allow_remote {
        return None;
    }
    let remotes = &view.pool.remotes;
    for same_region in [true, false] {
        let usable = |remote: &&RemoteDataCentre| {
            remote.same_region == same_region && remote_weight(remote, input) > 0
        };
        let total: u64 =
            remotes.iter().filter(usable).map(|remote| remote_weight(remote, input)).sum();
        if total == 0 {
            continue;
        }
        let mut remaining_weight = rng.random_range(0..total);
        for remote in remotes.iter().filter(usable) {
            let candidate_weight = remote_weight(remote, input);
            if remaining_weight < candidate_weight {
                let nodes = &remote.entry_nodes;
                let (entry_node, peer_address) = nodes[rng.random_range(0..nodes.len())].clone();
                let data_centre = remote.data_centre.clone();
                return Some(Choice::Remote { data_centre, entry_node, peer_address });
            }
            remaining_weight -= candidate_weight;
        }
    }
    None
}

fn remote_weight(remote: &RemoteDataCentre, input: &ChoiceInput<'_>) -> u64 {
    let is_usable = !remote.drained
        && remote.serving_groups > 0
        && !remote.entry_nodes.is_empty()
        && !input.exclude_remotes.contains(&remote.data_centre);
    if !is_usable {
        return 0;
    }
    u64::from(remote.free_slots) * u64::from(remote.flow_back_percent.min(100))
}
