//! The load of each endpoint: this node's own attempts, what other nodes report, and health.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use balsam_types::VmName;

use crate::event::AttemptEnd;
use crate::event::PeerLoad;
use crate::event::PeerReport;
use crate::event::SentRequest;
use crate::event::Ticket;

/// A peer's report counts for this long; a node that stopped must not hold places for ever.
pub const PEER_REPORT_MS: u64 = 1_500;

/// Time in which a group reads a prompt that another node reported: a pass or two.
const PEER_READ_MS: u64 = 300;

/// First pause of an endpoint that could not be reached, which doubles with each further failure,
/// and the pause of one that turned a request away or sent bytes that are no answer: it stays idle
/// and would attract all others.
const AVOID_MS: u64 = 500;

/// Pause of an endpoint that is not what the list shows; the list follows within this time.
const MISDIRECTED_MS: u64 = 2_000;

/// Longest pause of an endpoint that could not be reached.
const AVOID_MAX_MS: u64 = 4_000;

/// Weight of the newest result in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// An attempt at an endpoint.
#[derive(Debug, Clone)]
pub struct Running {
    /// The endpoint.
    pub vm: VmName,
    /// When it was sent.
    pub sent_ms: u64,
    /// Tokens of its prompt that may not be read yet.
    pub unread_tokens: u64,
    /// Whether its first event came.
    pub is_started: bool,
}

/// The load of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct EndpointLoad {
    /// This node's attempts.
    pub in_flight: u32,
    /// Prompt tokens of this node's attempts whose first event has not come.
    pub unread_tokens: u64,
    /// Loads of other nodes, with the time of the report.
    peers: BTreeMap<Arc<str>, (u64, u32, u64)>,
    /// When an event last came, by the clock of the node.
    pub progress_ms: Arc<AtomicU64>,
    /// Not to be used before this, while others can be.
    pub avoid_until_ms: u64,
    /// Failures in a row to reach it.
    failures: u32,
    /// Share of recent answers that were failures.
    pub failure_share: f64,
    /// This node's part of the limit of a cold start.
    pub cold: ColdPart,
    /// This node's attempts whose first event has come.
    pub started: u32,
}

impl EndpointLoad {
    /// Returns the requests of all nodes and the prompt tokens that are likely to be unread by now.
    pub fn expected(&self, now_ms: u64) -> (u32, u64) {
        let unread =
            self.peers.values().map(|(at_ms, _, tokens)| unread_by_now(now_ms, *at_ms, *tokens));
        (self.total(now_ms).0, self.unread_tokens + unread.sum::<u64>())
    }

    /// Returns the requests of all nodes and the prompt tokens that were unread when they reported.
    pub fn total(&self, now_ms: u64) -> (u32, u64) {
        let fresh =
            self.peers.values().filter(|(at_ms, ..)| now_ms < at_ms.saturating_add(PEER_REPORT_MS));
        fresh.fold((self.in_flight, self.unread_tokens), |(in_flight, unread), peer| {
            (in_flight + peer.1, unread + peer.2)
        })
    }
}

/// Returns the tokens that are likely to be unread of those that another node reported.
fn unread_by_now(now_ms: u64, at_ms: u64, tokens: u64) -> u64 {
    let left_ms = PEER_READ_MS.saturating_sub(now_ms.saturating_sub(at_ms));
    tokens * left_ms / PEER_READ_MS
}

/// A node's part of the requests a second that an endpoint bears in cold start.
///
/// Dozens of nodes share a limit of a few requests, so a part is less than one request a second:
/// it fills from another level on each node, and the nodes' first requests are spread over the time that one
/// request takes to fill.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdPart {
    level: f64,
    filled_ms: Option<u64>,
}

/// Most requests that a part holds, so that no pause lets all nodes send at once.
const COLD_BURST: f64 = 1.0;

/// A part that was not filled for this long belongs to an earlier cold start.
const COLD_STALE_MS: u64 = 1_000;

impl ColdPart {
    /// Lets the part grow; it begins at `phase`, which is 0 to 1 and another one on each node.
    pub fn fill(&mut self, now_ms: u64, rate_per_s: f64, phase: f64) {
        let fresh_ms = self.filled_ms.filter(|at_ms| now_ms < at_ms + COLD_STALE_MS);
        self.level = match fresh_ms {
            Some(at_ms) => {
                let gained = (now_ms - at_ms) as f64 / 1_000.0 * rate_per_s;
                (self.level + gained).min(COLD_BURST.max(rate_per_s / 10.0))
            }
            None => phase * COLD_BURST,
        };
        self.filled_ms = Some(now_ms);
    }

    /// Whether one more request fits.
    pub fn has_room(&self, now_ms: u64, rate_per_s: f64) -> bool {
        let is_fresh = self.filled_ms.is_some_and(|at_ms| now_ms < at_ms + COLD_STALE_MS);
        is_fresh && rate_per_s > 0.0 && self.level >= 1.0
    }

    /// Counts a request.
    pub fn spend(&mut self) {
        self.level -= 1.0;
    }
}

/// The loads of all endpoints.
#[derive(Debug, Clone, Default)]
pub struct LoadBook {
    loads: HashMap<VmName, EndpointLoad>,
    running: BTreeMap<Ticket, Running>,
}

impl LoadBook {
    /// Returns the load of an endpoint.
    pub fn get(&self, vm: &VmName) -> Option<&EndpointLoad> {
        self.loads.get(vm)
    }

    /// Returns the load of an endpoint, and an empty one for an endpoint that is new.
    pub fn entry(&mut self, vm: &VmName) -> &mut EndpointLoad {
        self.loads.entry(vm.clone()).or_default()
    }

    /// Counts an attempt as sent; returns the mark of progress that its reader keeps current.
    pub fn start(
        &mut self,
        now_ms: u64,
        ticket: Ticket,
        vm: &VmName,
        tokens: u32,
    ) -> Arc<AtomicU64> {
        let unread_tokens = u64::from(tokens);
        let load = self.entry(vm);
        load.in_flight += 1;
        load.unread_tokens += unread_tokens;
        let progress_ms = load.progress_ms.clone();
        let running = Running { vm: vm.clone(), sent_ms: now_ms, unread_tokens, is_started: false };
        self.running.insert(ticket, running);
        progress_ms
    }

    /// Notes that the prompt of an attempt has been read; returns its endpoint.
    pub fn started(&mut self, ticket: Ticket) -> Option<VmName> {
        let running = self.running.get_mut(&ticket)?;
        let is_first = !std::mem::replace(&mut running.is_started, true);
        let unread = std::mem::take(&mut running.unread_tokens);
        if let Some(load) = self.loads.get_mut(&running.vm) {
            load.started += u32::from(is_first);
            load.unread_tokens = load.unread_tokens.saturating_sub(unread);
        }
        Some(running.vm.clone())
    }

    /// Ends an attempt; returns it if it was sent.
    pub fn end(&mut self, now_ms: u64, ticket: Ticket, end: AttemptEnd) -> Option<Running> {
        let running = self.running.remove(&ticket)?;
        let load = self.loads.entry(running.vm.clone()).or_default();
        load.in_flight = load.in_flight.saturating_sub(1);
        load.started = load.started.saturating_sub(u32::from(running.is_started));
        load.unread_tokens = load.unread_tokens.saturating_sub(running.unread_tokens);
        let failed = match end {
            AttemptEnd::Answered => Some(0.0),
            AttemptEnd::Failed | AttemptEnd::Faulty => Some(1.0),
            _ => None,
        };
        if let Some(failed) = failed {
            load.failures = 0;
            load.avoid_until_ms = 0;
            load.failure_share += FAILURE_WEIGHT * (failed - load.failure_share);
        }
        let turned_away_ms = match end {
            AttemptEnd::TurnedAway | AttemptEnd::Faulty => AVOID_MS,
            AttemptEnd::Misdirected => MISDIRECTED_MS,
            _ => 0,
        };
        load.avoid_until_ms = load.avoid_until_ms.max(now_ms + turned_away_ms);
        if end == AttemptEnd::Unreachable {
            let pause_ms = AVOID_MS << load.failures.min(3);
            load.avoid_until_ms = now_ms + pause_ms.min(AVOID_MAX_MS);
            load.failures += 1;
        }
        Some(running)
    }

    /// Takes over what another node reports; what it no longer names counts as zero.
    pub fn report(&mut self, now_ms: u64, report: &PeerReport) {
        self.forget_peer(&report.node);
        for peer in &report.loads {
            let seen = (now_ms, peer.in_flight, peer.unread_tokens);
            self.entry(&peer.vm).peers.insert(report.node.clone(), seen);
        }
    }

    /// Returns the loads of this node and of the others that are chosen, summed up.
    pub fn sums(&self, now_ms: u64, is_chosen: impl Fn(&Arc<str>) -> bool) -> Vec<PeerLoad> {
        let sum = |(vm, load): (&VmName, &EndpointLoad)| {
            let chosen = load.peers.iter().filter(|(node, (at_ms, ..))| {
                is_chosen(node) && now_ms < at_ms.saturating_add(PEER_REPORT_MS)
            });
            let own = (load.in_flight, load.unread_tokens);
            let (in_flight, unread_tokens) = chosen
                .fold(own, |sum, (_, (_, in_flight, tokens))| (sum.0 + in_flight, sum.1 + tokens));
            (in_flight > 0).then(|| PeerLoad { vm: vm.clone(), in_flight, unread_tokens })
        };
        self.loads.iter().filter_map(sum).collect()
    }

    /// Counts a request that another node sent after its last report.
    pub fn peer_sent(&mut self, now_ms: u64, node: &Arc<str>, sent: &SentRequest) {
        let fresh = (now_ms, 0, 0);
        let peer = self.entry(&sent.vm).peers.entry(node.clone()).or_insert(fresh);
        // What was to be read at an earlier time has been read in part.
        let unread = unread_by_now(now_ms, peer.0, peer.2);
        *peer = (now_ms, peer.1 + 1, unread + u64::from(sent.prompt_tokens));
    }

    /// Forgets what another node reported.
    pub fn forget_peer(&mut self, node: &str) {
        for load in self.loads.values_mut() {
            load.peers.remove(node);
        }
    }

    /// Returns this node's attempts.
    pub fn running(&self) -> impl Iterator<Item = (Ticket, &Running)> {
        self.running.iter().map(|(ticket, running)| (*ticket, running))
    }

    /// Returns this node's attempts at an endpoint.
    pub fn tickets_at(&self, vm: &VmName) -> Vec<Ticket> {
        self.running().filter(|(_, running)| running.vm == *vm).map(|(ticket, _)| ticket).collect()
    }

    /// Returns the endpoints with attempts of this node.
    pub fn own(&self) -> impl Iterator<Item = (&VmName, &EndpointLoad)> {
        self.loads.iter().filter(|(_, load)| load.in_flight > 0)
    }

    /// Forgets an endpoint that is gone, unless an attempt still runs there.
    pub fn forget(&mut self, vm: &VmName) {
        if self.loads.get(vm).is_some_and(|load| load.in_flight == 0) {
            self.loads.remove(vm);
        }
    }
}
