//! Owns the node's fleet state machine and executes its effects.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use balsam_fleet::Arrival;
use balsam_fleet::AttemptId;
use balsam_fleet::Configuration;
use balsam_fleet::Effect;
use balsam_fleet::Event;
use balsam_fleet::Fleet;
use balsam_fleet::FleetSettings;
use balsam_fleet::Order;
use balsam_fleet::Refusal;
use balsam_fleet::Target;
use balsam_fleet::event::AttemptOutcome;
use balsam_fleet::event::ProbeAnswer;
use balsam_fleet::event::SentRequest;
use balsam_fleet::reduce;
use balsam_types::VmName;
use slog::Logger;
use slog::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::calls::EndpointCalls;
use crate::clock::now_ms;
use crate::decision_log;
use crate::decision_log::LogRateLimiter;
use crate::metrics::RelayMetrics;

/// Interval between ticks of the reducer: a silence of 250 ms must be noticed soon after.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of ticks between updates of the gauges.
const TICKS_PER_GAUGE_UPDATE: u64 = 20;

/// Capacity of the queue of sent requests that are to be announced to other nodes.
const SENT_QUEUE_LEN: usize = 256;

/// Factor from which an estimate is logged as far off; callers' own estimates often are.
const LOGGED_ESTIMATE_RATIO: f64 = 10.0;

type DispatchResult = Result<Target, Refusal>;

/// Delivers the reducer's effects to one attempt.
struct AttemptHandle {
    decided: Option<oneshot::Sender<DispatchResult>>,
    advice: mpsc::UnboundedSender<Advice>,
}

/// What the fleet tells a running attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Advice {
    /// Start another attempt; this one may go on.
    TryElsewhere,
    /// End this attempt.
    Withdraw,
}

/// The fleet state machine of a node, shared by all its requests.
pub struct Hub {
    fleet: Mutex<Fleet>,
    /// Whether the reducer has ended by a panic.
    has_failed: watch::Sender<bool>,
    handles: Mutex<HashMap<AttemptId, AttemptHandle>>,
    next_attempt_id: AtomicU64,
    /// Sent requests, to be announced to other nodes.
    sent: mpsc::Sender<SentRequest>,
    calls: EndpointCalls,
    /// Limits the rate of log lines of each kind.
    pub log_limiter: LogRateLimiter,
    /// The metrics of the request path.
    pub metrics: RelayMetrics,
    /// The log.
    pub log: Logger,
}

impl std::fmt::Debug for Hub {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Hub").finish_non_exhaustive()
    }
}

/// An attempt that was assigned to an endpoint. Dropping it without an outcome cancels it.
pub(crate) struct Placement {
    hub: Arc<Hub>,
    attempt_id: AttemptId,
    /// The endpoint.
    pub target: Target,
    advice: mpsc::UnboundedReceiver<Advice>,
    has_ended: bool,
    /// Number of events that arrived; more than two are not counted.
    events: u8,
}

impl Placement {
    /// Polls for the next advice of the fleet.
    pub fn poll_advice(&mut self, cx: &mut Context<'_>) -> Poll<Advice> {
        match self.advice.poll_recv(cx) {
            Poll::Ready(Some(advice)) => Poll::Ready(advice),
            Poll::Ready(None) | Poll::Pending => Poll::Pending,
        }
    }

    /// Records that an event of the answer arrived.
    pub fn progress(&mut self) {
        self.target.progress_ms.store(now_ms(), Ordering::Relaxed);
        self.events = (self.events + 1).min(3);
        self.target.events.fetch_add(1, Ordering::Relaxed);
        match self.events {
            1 => self.hub.apply(Event::Started(self.attempt_id)),
            2 => self.hub.apply(Event::Continued(self.attempt_id)),
            _ => {}
        }
    }

    /// Whether an event of the answer arrived.
    pub fn is_started(&self) -> bool {
        self.events > 0
    }

    /// Ends the attempt with this outcome.
    pub fn end(mut self, outcome: AttemptOutcome) {
        self.finish(outcome);
    }

    fn finish(&mut self, outcome: AttemptOutcome) {
        if !self.has_ended {
            self.has_ended = true;
            if outcome == AttemptOutcome::Answered
                && let Some(expected) = self.target.expected_events
            {
                let events = self.target.events.load(Ordering::Relaxed);
                self.hub.record_estimate(self.attempt_id, &self.target.vm, events, expected);
            }
            self.hub.finish(self.attempt_id, outcome);
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.finish(AttemptOutcome::Cancelled);
    }
}

/// Cancels a queued request if its caller disconnects.
struct CancelOnDrop<'a> {
    hub: &'a Arc<Hub>,
    attempt_id: AttemptId,
    is_decided: bool,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if !self.is_decided {
            self.hub.finish(self.attempt_id, AttemptOutcome::Cancelled);
        }
    }
}

/// Records a panic of the reducer.
struct FailureGuard<'a> {
    has_failed: &'a watch::Sender<bool>,
    is_done: bool,
}

impl Drop for FailureGuard<'_> {
    fn drop(&mut self) {
        if !self.is_done {
            self.has_failed.send_replace(true);
        }
    }
}

impl Hub {
    /// Creates the hub of a node; the receiver yields the requests that it sends.
    pub fn new(
        settings: FleetSettings,
        calls: EndpointCalls,
        metrics: RelayMetrics,
        log: Logger,
    ) -> (Arc<Self>, mpsc::Receiver<SentRequest>) {
        let (sent, receiver) = mpsc::channel(SENT_QUEUE_LEN);
        let hub = Self {
            fleet: Mutex::new(Fleet::new(settings)),
            has_failed: watch::Sender::new(false),
            handles: Mutex::default(),
            next_attempt_id: AtomicU64::new(1),
            sent,
            calls,
            log_limiter: LogRateLimiter::default(),
            metrics,
            log,
        };
        (Arc::new(hub), receiver)
    }

    /// Runs the ticks of the reducer; never returns.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        for tick in 0_u64.. {
            ticks.tick().await;
            self.apply(Event::Tick);
            if tick.is_multiple_of(TICKS_PER_GAUGE_UPDATE)
                && let (Some(age_ms), era, share) = self.read(|fleet| {
                    let share = fleet.waiting.largest_share(now_ms());
                    (fleet.operators.age_ms(now_ms()), fleet.operators.position().era, share)
                })
            {
                self.metrics.largest_organisation_share(share);
                self.metrics.operators_age(age_ms);
                self.metrics.store_era(era);
            }
        }
    }

    /// Applies an event and executes its effects.
    pub fn apply(self: &Arc<Self>, event: Event) {
        let effects = {
            let mut fleet = self.fleet.lock().unwrap_or_else(PoisonError::into_inner);
            let mut guard = FailureGuard { has_failed: &self.has_failed, is_done: false };
            let effects = reduce(&mut fleet, now_ms(), event);
            guard.is_done = true;
            effects
        };
        for effect in effects {
            self.execute(effect);
        }
    }

    /// Waits until the reducer ends by a panic. The state may be half changed then, and decisions on
    /// it could break any guarantee, so the process must end.
    pub async fn failed(&self) {
        // The sender lives as long as the hub.
        let _ = self.has_failed.subscribe().wait_for(|has_failed| *has_failed).await;
    }

    /// Reads the state.
    pub fn read<R>(&self, query: impl FnOnce(&Fleet) -> R) -> R {
        query(&self.fleet.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.read(|fleet| fleet.configuration.clone())
    }

    /// Returns the configuration for new requests; see [`Fleet::configuration_to_serve`].
    pub(crate) fn configuration_to_serve(&self) -> Option<Arc<Configuration>> {
        self.read(|fleet| fleet.configuration_to_serve(now_ms()).cloned())
    }

    /// Finds an endpoint for a request, waiting for capacity if necessary.
    pub(crate) async fn place(
        self: &Arc<Self>,
        mut arrival: Arrival,
    ) -> Result<Placement, Refusal> {
        let attempt_id = self.next_attempt_id.fetch_add(1, Ordering::Relaxed);
        arrival.attempt_id = attempt_id;
        let (decide, decided) = oneshot::channel();
        let (advise, advice) = mpsc::unbounded_channel();
        let handle = AttemptHandle { decided: Some(decide), advice: advise };
        self.handles().insert(attempt_id, handle);
        let mut cancel_guard = CancelOnDrop { hub: self, attempt_id, is_decided: false };
        let arrived_ms = now_ms();
        self.apply(Event::Arrive(arrival));
        let result = decided.await;
        cancel_guard.is_decided = true;
        self.metrics.waited(now_ms().saturating_sub(arrived_ms));
        match result {
            Ok(Ok(target)) => {
                let hub = self.clone();
                Ok(Placement { hub, attempt_id, target, advice, has_ended: false, events: 0 })
            }
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => {
                let reason = balsam_fleet::event::RefuseReason::NoEndpoint;
                Err(Refusal { reason, retry_after_ms: 0, prediction: None })
            }
        }
    }

    fn finish(self: &Arc<Self>, attempt_id: AttemptId, outcome: AttemptOutcome) {
        self.handles().remove(&attempt_id);
        self.apply(Event::Ended { attempt_id, outcome });
    }

    /// Records how an answer compares with its estimate; an estimate that was far off is logged.
    fn record_estimate(&self, attempt_id: AttemptId, vm: &VmName, events: u32, expected: u32) {
        self.metrics.estimate(events, expected);
        let ratio = f64::from(events.max(1)) / f64::from(expected.max(1));
        if ratio.max(1.0 / ratio) >= LOGGED_ESTIMATE_RATIO
            && let Some(dropped) = self.log_limiter.take("estimate_off")
        {
            info!(self.log, "the estimate of an answer was far off"; "kind" => "estimate_off",
                "attempt" => attempt_id, "vm" => %vm, "events" => events,
                "expected_events" => expected, "dropped_lines" => dropped);
        }
    }

    fn handles(&self) -> std::sync::MutexGuard<'_, HashMap<AttemptId, AttemptHandle>> {
        self.handles.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn execute(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::Dispatch { attempt_id, target, prompt_tokens, answer_tokens } => {
                // If the queue is full, the next report still covers the request.
                let vm = target.vm.clone();
                let _ = self.sent.try_send(SentRequest { vm, prompt_tokens, answer_tokens });
                self.decide(attempt_id, Ok(target));
            }
            Effect::Refuse { attempt_id, refusal } => self.decide(attempt_id, Err(refusal)),
            Effect::Abandon { attempt_id } => self.advise(attempt_id, Advice::Withdraw),
            Effect::TryElsewhere { attempt_id } => self.advise(attempt_id, Advice::TryElsewhere),
            Effect::Probe { vm, address } => self.probe(vm, address),
            Effect::Order { vm, address, order } => self.order(vm, address, order),
            Effect::LogDecision(decision) => {
                let kind = decision_log::log_decision(&self.log, &self.log_limiter, &decision);
                self.metrics.decision(kind, &decision);
            }
        }
    }

    fn advise(&self, attempt_id: AttemptId, advice: Advice) {
        if let Some(handle) = self.handles().get(&attempt_id) {
            // An attempt that no longer listens has ended.
            let _ = handle.advice.send(advice);
        }
    }

    fn decide(&self, attempt_id: AttemptId, result: DispatchResult) {
        let is_refusal = result.is_err();
        let mut handles = self.handles();
        if let Some(decide) = handles.get_mut(&attempt_id).and_then(|handle| handle.decided.take())
        {
            // If the caller has disconnected, the attempt is cancelled by its guard.
            let _ = decide.send(result);
        }
        if is_refusal {
            handles.remove(&attempt_id);
        }
    }

    fn probe(self: &Arc<Self>, vm: VmName, address: SocketAddr) {
        let hub = self.clone();
        let call = (self.calls.probe)(address);
        tokio::spawn(async move {
            let answer = call.await;
            if answer != ProbeAnswer::Alive {
                info!(hub.log, "endpoint did not answer a probe"; "kind" => "probe",
                    "vm" => %vm, "address" => %address,
                    "is_refused" => answer == ProbeAnswer::Refused);
            }
            hub.apply(match answer {
                ProbeAnswer::Alive => Event::Probed { vm, is_alive: true },
                ProbeAnswer::Refused => Event::Probed { vm, is_alive: false },
                ProbeAnswer::Unanswered => Event::ProbeUnanswered(vm),
            });
        });
    }

    fn order(self: &Arc<Self>, vm: VmName, address: SocketAddr, order: Order) {
        let hub = self.clone();
        let call = (self.calls.order)(address, order.clone());
        tokio::spawn(async move {
            let answer = call.await;
            info!(hub.log, "order answered"; "kind" => "order", "order" => order.kind(),
                "vm" => %vm, "answer" => ?answer);
            hub.apply(Event::OrderAnswered { vm, order, answer });
        });
    }
}
