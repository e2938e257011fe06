//! Load and health of each endpoint: this node's own attempts and what other nodes report.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use balsam_types::VmName;

use crate::cost::ExpectedCost;
use crate::event::AttemptId;
use crate::event::AttemptOutcome;
use crate::event::PeerLoad;
use crate::event::PeerReport;
use crate::event::SentRequest;

/// How long a peer's report is valid; the load of a node that stopped must not be counted forever.
pub const PEER_REPORT_TTL_MS: u64 = 1_500;

/// Time in which a group reads a prompt that another node reported: one or two passes.
const PEER_READ_MS: u64 = 300;

/// First backoff for an endpoint that could not be reached, doubled with each further failure. Also
/// the backoff for an endpoint that refused a request or sent an invalid answer: such an endpoint
/// stays idle and would otherwise attract all further requests. A caller whose request they all refused
/// is asked to return after it.
pub const BACKOFF_MS: u64 = 500;

/// Backoff for an endpoint that differs from its list entry; the list is updated within this time.
const MISDIRECTED_BACKOFF_MS: u64 = 2_000;

/// Maximum backoff for an endpoint that could not be reached.
const MAX_BACKOFF_MS: u64 = 4_000;

/// First backoff for an endpoint that closed a connection before the end of its answer, doubled with
/// each further such end. Two endpoints that reset each connection had 616 attempts of 60 nodes in 7 s.
const CLOSED_BACKOFF_MS: u64 = 1_000;

/// Weight of the newest result in the failure share.
const FAILURE_WEIGHT: f64 = 0.15;

/// An attempt at an endpoint.
#[derive(Debug, Clone)]
pub struct Running {
    /// The endpoint.
    pub vm: VmName,
    /// When it was sent.
    pub sent_ms: u64,
    /// Tokens of its prompt that may not have been read yet.
    pub unread_tokens: u64,
    /// Whether its first event has arrived.
    pub is_started: bool,
    /// What it is expected to need, if the deployment asks for estimates.
    pub expected: Option<ExpectedCost>,
    /// Number of events of its answer; updated by its reader.
    pub events: Arc<AtomicU32>,
    /// What it still has to do, by the last update.
    left: Left,
    /// Since when its events are counted to measure the pace of its endpoint.
    mark: Option<PaceMark>,
}

/// The beginning of a measurement of the pace of an endpoint.
#[derive(Debug, Clone, Copy)]
struct PaceMark {
    at_ms: u64,
    events: u32,
    in_flight: u32,
}

/// Passes of an endpoint, as the events of one answer show them.
#[derive(Debug, Clone, PartialEq)]
pub struct PaceSample {
    /// The endpoint.
    pub vm: VmName,
    /// Mean time between two events.
    pub gap_ms: f64,
    /// Mean number of requests at the endpoint.
    pub in_flight: u32,
}

/// Number of events over which a pace is measured; the time is read once per tick.
const PACE_EVENTS: u32 = 8;

/// Work that is left of this node's attempts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Left {
    /// Tokens that are expected to follow at a model engine.
    pub unwritten_tokens: u64,
    /// Expected time to the end at a plain service.
    pub plain_ms: f64,
    /// Attempts for which either is known.
    pub estimated: u32,
}

impl Left {
    fn of(running: &Running, now_ms: u64, stride: u32) -> Self {
        let Some(expected) = &running.expected else { return Self::default() };
        let events = running.events.load(Ordering::Relaxed);
        let plain_ms = expected.left_ms(now_ms.saturating_sub(running.sent_ms));
        Self {
            unwritten_tokens: expected.unwritten_tokens(u64::from(events) * u64::from(stride)),
            plain_ms: plain_ms.unwrap_or(0.0),
            estimated: u32::from(plain_ms.is_some() || expected.max_answer_tokens > 0),
        }
    }

    fn add(&mut self, other: Self) {
        self.unwritten_tokens = self.unwritten_tokens.saturating_add(other.unwritten_tokens);
        self.plain_ms += other.plain_ms;
        self.estimated += other.estimated;
    }

    fn subtract(&mut self, other: Self) {
        self.unwritten_tokens = self.unwritten_tokens.saturating_sub(other.unwritten_tokens);
        self.plain_ms = (self.plain_ms - other.plain_ms).max(0.0);
        self.estimated = self.estimated.saturating_sub(other.estimated);
    }
}

/// Load that another node causes at an endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct Reported {
    at_ms: u64,
    in_flight: u32,
    unread_tokens: u64,
    /// Requests whose unwritten tokens are known.
    estimated: u32,
    unwritten_tokens: u64,
}

impl Reported {
    fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms < self.at_ms.saturating_add(PEER_REPORT_TTL_MS)
    }
}

/// The load of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct EndpointLoad {
    /// Number of this node's attempts.
    pub in_flight: u32,
    /// Prompt tokens of this node's attempts whose first event has not arrived.
    pub unread_tokens: u64,
    /// What is left of this node's attempts.
    pub left: Left,
    /// Load caused by other nodes.
    peers: BTreeMap<Arc<str>, Reported>,
    /// When the last event arrived, by this node's clock.
    pub progress_ms: Arc<AtomicU64>,
    /// When the first of this node's current attempts was sent. Silence is measured from then, not
    /// from an earlier event.
    pub busy_since_ms: u64,
    /// Until this time the endpoint is used only if no other can be.
    pub backoff_until_ms: u64,
    /// When it was last found to differ from its list entry.
    pub misdirected_ms: Option<u64>,
    /// Number of consecutive failures to reach it or to get a whole answer.
    failures: u32,
    /// Fraction of recent answers that were failures.
    pub failure_share: f64,
    /// This node's share of the cold-start limit.
    pub cold_allowance: ColdStartAllowance,
    /// This node's attempts whose first event has arrived.
    pub started: u32,
}

impl EndpointLoad {
    /// Whether the endpoint was found to differ from its list entry since the list was read; until it
    /// is read again, an entry that proved wrong stays wrong.
    pub fn is_wrongly_listed(&self, list_read_ms: Option<u64>) -> bool {
        self.misdirected_ms.is_some_and(|at_ms| Some(at_ms) > list_read_ms)
    }

    /// Backs off from the endpoint after it closed a connection before the end of its answer.
    pub fn back_off_after_close(&mut self, now_ms: u64) {
        // The attempts that a crash ends together count as one failure.
        if now_ms >= self.backoff_until_ms {
            let pause_ms = CLOSED_BACKOFF_MS << self.failures.min(2);
            self.backoff_until_ms = now_ms + pause_ms.min(MAX_BACKOFF_MS);
            self.failures += 1;
        }
    }

    /// Returns the load that this node causes, for its reports.
    pub fn own_load(&self, vm: &VmName) -> PeerLoad {
        PeerLoad {
            vm: vm.clone(),
            in_flight: self.in_flight,
            unread_tokens: self.unread_tokens,
            unwritten_tokens: (self.left.estimated == self.in_flight)
                .then_some(self.left.unwritten_tokens),
        }
    }

    /// Returns the requests of all nodes and the prompt tokens that are probably still unread.
    pub fn expected(&self, now_ms: u64) -> (u32, u64) {
        let unread =
            self.peers.values().map(|peer| unread_by_now(now_ms, peer.at_ms, peer.unread_tokens));
        (self.total(now_ms).0, unread.fold(self.unread_tokens, u64::saturating_add))
    }

    /// Returns the requests of all nodes and the prompt tokens that were unread at the time of the
    /// reports.
    pub fn total(&self, now_ms: u64) -> (u32, u64) {
        let fresh = self.peers.values().filter(|peer| peer.is_fresh(now_ms));
        fresh.fold((self.in_flight, self.unread_tokens), |(in_flight, unread), peer| {
            (in_flight.saturating_add(peer.in_flight), unread.saturating_add(peer.unread_tokens))
        })
    }

    /// Returns the tokens that all nodes expect to follow. A request of a node that does not estimate
    /// them counts with `unknown_tokens`.
    pub fn unwritten_tokens(&self, now_ms: u64, unknown_tokens: u64) -> u64 {
        let fresh = self.peers.values().filter(|peer| peer.is_fresh(now_ms));
        let of_peers = fresh.map(|peer| {
            let unknown = u64::from(peer.in_flight.saturating_sub(peer.estimated));
            peer.unwritten_tokens.saturating_add(unknown.saturating_mul(unknown_tokens))
        });
        of_peers.fold(self.left.unwritten_tokens, u64::saturating_add)
    }
}

/// Returns how many of the unread tokens reported by another node are probably still unread.
fn unread_by_now(now_ms: u64, at_ms: u64, tokens: u64) -> u64 {
    let left_ms = PEER_READ_MS.saturating_sub(now_ms.saturating_sub(at_ms));
    tokens.saturating_mul(left_ms) / PEER_READ_MS
}

/// A node's share of the request rate that an endpoint can take during its cold start.
///
/// Dozens of nodes share a limit of a few requests, so a share is less than one request per second.
/// It starts at a different level on each node, which spreads the nodes' first requests over the
/// time in which one request becomes available.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdStartAllowance {
    level: f64,
    refilled_ms: Option<u64>,
}

/// Maximum number of requests that a share accumulates, so that all nodes cannot send at once after
/// a pause.
const COLD_BURST: f64 = 1.0;

/// A share that was not refilled for this long belongs to an earlier cold start.
const COLD_STALE_MS: u64 = 1_000;

impl ColdStartAllowance {
    /// Refills the share; it starts at `initial_level`, which is from 0 to 1 and differs between
    /// nodes.
    pub fn refill(&mut self, now_ms: u64, rate_per_s: f64, initial_level: f64) {
        let fresh_ms = self.refilled_ms.filter(|at_ms| now_ms < at_ms + COLD_STALE_MS);
        self.level = match fresh_ms {
            Some(at_ms) => {
                let gained = (now_ms - at_ms) as f64 / 1_000.0 * rate_per_s;
                (self.level + gained).min(COLD_BURST.max(rate_per_s / 10.0))
            }
            None => initial_level * COLD_BURST,
        };
        self.refilled_ms = Some(now_ms);
    }

    /// Whether one more request is allowed.
    pub fn has_room(&self, now_ms: u64, rate_per_s: f64) -> bool {
        let is_fresh = self.refilled_ms.is_some_and(|at_ms| now_ms < at_ms + COLD_STALE_MS);
        is_fresh && rate_per_s > 0.0 && self.level >= 1.0
    }

    /// Uses up one request.
    pub fn spend(&mut self) {
        self.level -= 1.0;
    }
}

/// The loads of all endpoints.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    loads: HashMap<VmName, EndpointLoad>,
    running: BTreeMap<AttemptId, Running>,
}

impl LoadTable {
    /// Returns the load of an endpoint.
    pub fn get(&self, vm: &VmName) -> Option<&EndpointLoad> {
        self.loads.get(vm)
    }

    /// Returns the load of an endpoint, creating an empty one if necessary.
    pub fn entry(&mut self, vm: &VmName) -> &mut EndpointLoad {
        self.loads.entry(vm.clone()).or_default()
    }

    /// Records that an attempt was sent; returns the time of progress, to be updated by the reader
    /// of its answer.
    pub fn start(
        &mut self,
        now_ms: u64,
        attempt_id: AttemptId,
        vm: &VmName,
        tokens: u32,
        expected: Option<ExpectedCost>,
    ) -> (Arc<AtomicU64>, Arc<AtomicU32>) {
        let unread_tokens = u64::from(tokens);
        let load = self.entry(vm);
        if load.in_flight == 0 {
            load.busy_since_ms = now_ms;
        }
        load.in_flight += 1;
        load.unread_tokens += unread_tokens;
        let progress_ms = load.progress_ms.clone();
        let mut running = Running {
            vm: vm.clone(),
            sent_ms: now_ms,
            unread_tokens,
            is_started: false,
            expected,
            events: Arc::default(),
            left: Left::default(),
            mark: None,
        };
        running.left = Left::of(&running, now_ms, 1);
        self.entry(vm).left.add(running.left);
        let events = running.events.clone();
        self.running.insert(attempt_id, running);
        (progress_ms, events)
    }

    /// Updates what is left of this node's attempts; returns what their events tell of the pace of
    /// the endpoints. `stride` is the number of tokens of an event.
    pub fn update_left(&mut self, now_ms: u64, stride: u32) -> Vec<PaceSample> {
        let mut samples = Vec::new();
        for running in self.running.values_mut().filter(|running| running.expected.is_some()) {
            let Some(load) = self.loads.get_mut(&running.vm) else { continue };
            load.left.subtract(running.left);
            running.left = Left::of(running, now_ms, stride);
            load.left.add(running.left);
            let events = running.events.load(Ordering::Relaxed);
            let mark = PaceMark { at_ms: now_ms, events, in_flight: load.total(now_ms).0 };
            let before = running.mark.filter(|_| running.is_started);
            let seen = before.map_or(0, |before| events.saturating_sub(before.events));
            if let Some(before) = before.filter(|_| seen >= PACE_EVENTS) {
                samples.push(PaceSample {
                    vm: running.vm.clone(),
                    gap_ms: now_ms.saturating_sub(before.at_ms) as f64 / f64::from(seen),
                    in_flight: before.in_flight.midpoint(mark.in_flight),
                });
            }
            if running.is_started && (before.is_none() || seen >= PACE_EVENTS) {
                running.mark = Some(mark);
            }
        }
        samples
    }

    /// Returns how long ago an attempt was sent, if none of its events has arrived.
    pub fn first_event_ms(&self, now_ms: u64, attempt_id: AttemptId) -> Option<u64> {
        let running = self.running.get(&attempt_id).filter(|running| !running.is_started)?;
        Some(now_ms.saturating_sub(running.sent_ms))
    }

    /// Records that the prompt of an attempt has been read; returns its endpoint.
    pub fn started(&mut self, attempt_id: AttemptId) -> Option<VmName> {
        let running = self.running.get_mut(&attempt_id)?;
        let is_first = !std::mem::replace(&mut running.is_started, true);
        let unread = std::mem::take(&mut running.unread_tokens);
        if let Some(load) = self.loads.get_mut(&running.vm) {
            load.started += u32::from(is_first);
            load.unread_tokens = load.unread_tokens.saturating_sub(unread);
        }
        Some(running.vm.clone())
    }

    /// Ends an attempt; returns it if it was sent.
    pub fn end(
        &mut self,
        now_ms: u64,
        attempt_id: AttemptId,
        outcome: AttemptOutcome,
    ) -> Option<Running> {
        let running = self.running.remove(&attempt_id)?;
        let load = self.loads.entry(running.vm.clone()).or_default();
        load.in_flight = load.in_flight.saturating_sub(1);
        load.started = load.started.saturating_sub(u32::from(running.is_started));
        load.unread_tokens = load.unread_tokens.saturating_sub(running.unread_tokens);
        load.left.subtract(running.left);
        let failed = match outcome {
            AttemptOutcome::Answered => Some(0.0),
            AttemptOutcome::Failed | AttemptOutcome::Faulty => Some(1.0),
            _ => None,
        };
        if let Some(failed) = failed {
            load.failures = 0;
            load.backoff_until_ms = 0;
            load.misdirected_ms = None;
            load.failure_share += FAILURE_WEIGHT * (failed - load.failure_share);
        }
        if outcome == AttemptOutcome::Misdirected {
            load.misdirected_ms = Some(now_ms);
        }
        let refused_backoff_ms = match outcome {
            AttemptOutcome::TurnedAway | AttemptOutcome::Faulty => BACKOFF_MS,
            AttemptOutcome::Misdirected => MISDIRECTED_BACKOFF_MS,
            _ => 0,
        };
        load.backoff_until_ms = load.backoff_until_ms.max(now_ms + refused_backoff_ms);
        if outcome == AttemptOutcome::Unreachable {
            let pause_ms = BACKOFF_MS << load.failures.min(3);
            load.backoff_until_ms = now_ms + pause_ms.min(MAX_BACKOFF_MS);
            load.failures += 1;
        }
        Some(running)
    }

    /// Replaces the load that another node reported; endpoints missing from the report count as
    /// zero.
    pub fn report(&mut self, now_ms: u64, report: &PeerReport) {
        self.forget_peer(&report.node);
        for peer in &report.loads {
            let reported = Reported {
                at_ms: now_ms,
                in_flight: peer.in_flight,
                unread_tokens: peer.unread_tokens,
                estimated: peer.unwritten_tokens.map_or(0, |_| peer.in_flight),
                unwritten_tokens: peer.unwritten_tokens.unwrap_or(0),
            };
            self.entry(&peer.vm).peers.insert(report.node.clone(), reported);
        }
    }

    /// Returns the sum of this node's load and that of the chosen other nodes.
    pub fn sum_over(&self, now_ms: u64, is_chosen: impl Fn(&Arc<str>) -> bool) -> Vec<PeerLoad> {
        let sum = |(vm, load): (&VmName, &EndpointLoad)| {
            let chosen =
                load.peers.iter().filter(|(node, peer)| is_chosen(node) && peer.is_fresh(now_ms));
            let mut sum = load.own_load(vm);
            for (_, peer) in chosen {
                let is_estimated = peer.estimated == peer.in_flight;
                let tokens = is_estimated.then_some(peer.unwritten_tokens);
                let both = sum.unwritten_tokens.zip(tokens);
                sum.unwritten_tokens = both.map(|(sum, tokens)| sum.saturating_add(tokens));
                sum.in_flight = sum.in_flight.saturating_add(peer.in_flight);
                sum.unread_tokens = sum.unread_tokens.saturating_add(peer.unread_tokens);
            }
            (sum.in_flight > 0).then_some(sum)
        };
        self.loads.iter().filter_map(sum).collect()
    }

    /// Adds a request that another node sent after its last report.
    pub fn peer_sent(&mut self, now_ms: u64, node: &Arc<str>, sent: &SentRequest) {
        let fresh = Reported { at_ms: now_ms, ..Reported::default() };
        let peer = self.entry(&sent.vm).peers.entry(node.clone()).or_insert(fresh);
        // Part of what was unread at an earlier time has been read since.
        let unread = unread_by_now(now_ms, peer.at_ms, peer.unread_tokens);
        let answer_tokens = u64::from(sent.answer_tokens.unwrap_or(0));
        *peer = Reported {
            at_ms: now_ms,
            in_flight: peer.in_flight.saturating_add(1),
            unread_tokens: unread.saturating_add(u64::from(sent.prompt_tokens)),
            estimated: peer.estimated.saturating_add(u32::from(sent.answer_tokens.is_some())),
            unwritten_tokens: peer.unwritten_tokens.saturating_add(answer_tokens),
        };
    }

    /// Removes the load that another node reported.
    pub fn forget_peer(&mut self, node: &str) {
        for load in self.loads.values_mut() {
            load.peers.remove(node);
        }
    }

    /// Returns this node's attempts.
    pub fn running(&self) -> impl Iterator<Item = (AttemptId, &Running)> {
        self.running.iter().map(|(attempt_id, running)| (*attempt_id, running))
    }

    /// Returns this node's attempts at an endpoint.
    pub fn attempts_at(&self, vm: &VmName) -> Vec<AttemptId> {
        self.running()
            .filter(|(_, running)| running.vm == *vm)
            .map(|(attempt_id, _)| attempt_id)
            .collect()
    }

    /// Returns the endpoints with attempts of this node.
    pub fn own(&self) -> impl Iterator<Item = (&VmName, &EndpointLoad)> {
        self.loads.iter().filter(|(_, load)| load.in_flight > 0)
    }

    /// Removes the load of an endpoint unless an attempt still runs there.
    pub fn forget(&mut self, vm: &VmName) {
        if self.loads.get(vm).is_some_and(|load| load.in_flight == 0) {
            self.loads.remove(vm);
        }
    }
}
