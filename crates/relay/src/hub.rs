//! Owns the decisions of the node and carries out their effects.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use balsam_fleet::Arrival;
use balsam_fleet::Configuration;
use balsam_fleet::Effect;
use balsam_fleet::Event;
use balsam_fleet::Fleet;
use balsam_fleet::FleetSettings;
use balsam_fleet::Order;
use balsam_fleet::Refusal;
use balsam_fleet::Target;
use balsam_fleet::Ticket;
use balsam_fleet::event::AttemptEnd;
use balsam_fleet::event::SentRequest;
use balsam_fleet::reduce;
use balsam_types::VmName;
use slog::Logger;
use slog::info;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::calls::EndpointCalls;
use crate::clock::now_ms;
use crate::metrics::RelayMetrics;
use crate::notes;
use crate::notes::LineBudget;

/// How often time passes for the reducer: a silence of 250 ms must be seen soon after.
const TICK: Duration = Duration::from_millis(50);

/// Every how many ticks the gauges are set.
const GAUGE_TICKS: u64 = 20;

/// Requests that wait until other nodes are told of them.
const SENT_QUEUE: usize = 256;

type Decision = Result<Target, Refusal>;

/// What waits for the effects of one attempt.
struct Slot {
    decided: Option<oneshot::Sender<Decision>>,
    abandoned: Arc<Notify>,
}

/// The decisions of a node, shared by all its requests.
pub struct Hub {
    fleet: Mutex<Fleet>,
    slots: Mutex<HashMap<Ticket, Slot>>,
    next_ticket: AtomicU64,
    /// Requests that were sent, for other nodes.
    sent: mpsc::Sender<SentRequest>,
    calls: EndpointCalls,
    /// Lines of the log by kind.
    pub lines: LineBudget,
    /// The instruments.
    pub metrics: RelayMetrics,
    /// The log.
    pub log: Logger,
}

impl std::fmt::Debug for Hub {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Hub").finish_non_exhaustive()
    }
}

/// An attempt with its endpoint; dropping it without an end counts as cancelled.
pub(crate) struct Placed {
    hub: Arc<Hub>,
    ticket: Ticket,
    /// Where the attempt goes.
    pub target: Target,
    /// Woken when the attempt should leave its endpoint.
    pub abandoned: Arc<Notify>,
    has_ended: bool,
    is_started: bool,
}

impl Placed {
    /// Notes that an event of the answer came.
    pub fn progress(&mut self) {
        self.target.progress_ms.store(now_ms(), Ordering::Relaxed);
        if !self.is_started {
            self.is_started = true;
            self.hub.apply(Event::Started(self.ticket));
        }
    }

    /// Ends the attempt.
    pub fn end(mut self, end: AttemptEnd) {
        self.finish(end);
    }

    fn finish(&mut self, end: AttemptEnd) {
        if !self.has_ended {
            self.has_ended = true;
            self.hub.finish(self.ticket, end);
        }
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.finish(AttemptEnd::Cancelled);
    }
}

/// Takes a request out of the queue if its caller leaves.
struct Waits<'a> {
    hub: &'a Arc<Hub>,
    ticket: Ticket,
    is_over: bool,
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            self.hub.finish(self.ticket, AttemptEnd::Cancelled);
        }
    }
}

impl Hub {
    /// Creates the hub of a node, with the receiver of the requests that it sends.
    pub fn new(
        settings: FleetSettings,
        calls: EndpointCalls,
        metrics: RelayMetrics,
        log: Logger,
    ) -> (Arc<Self>, mpsc::Receiver<SentRequest>) {
        let (sent, receiver) = mpsc::channel(SENT_QUEUE);
        let hub = Self {
            fleet: Mutex::new(Fleet::new(settings)),
            slots: Mutex::default(),
            next_ticket: AtomicU64::new(1),
            sent,
            calls,
            lines: LineBudget::default(),
            metrics,
            log,
        };
        (Arc::new(hub), receiver)
    }

    /// Lets time pass for the reducer; never returns.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        for tick in 0_u64.. {
            ticks.tick().await;
            self.apply(Event::Tick);
            if tick.is_multiple_of(GAUGE_TICKS)
                && let Some(age_ms) = self.read(|fleet| fleet.operators.age_ms(now_ms()))
            {
                self.metrics.operators_age(age_ms);
            }
        }
    }

    /// Applies an event and carries out its effects.
    pub fn apply(self: &Arc<Self>, event: Event) {
        let effects = {
            let mut fleet = self.fleet.lock().unwrap_or_else(PoisonError::into_inner);
            reduce(&mut fleet, now_ms(), event)
        };
        for effect in effects {
            self.carry_out(effect);
        }
    }

    /// Reads the state.
    pub fn read<R>(&self, question: impl FnOnce(&Fleet) -> R) -> R {
        question(&self.fleet.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.read(|fleet| fleet.configuration.clone())
    }

    /// Finds an endpoint for a request, waiting for a place if need be.
    pub(crate) async fn place(self: &Arc<Self>, mut arrival: Arrival) -> Result<Placed, Refusal> {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        arrival.ticket = ticket;
        let (decide, decided) = oneshot::channel();
        let abandoned = Arc::new(Notify::new());
        let slot = Slot { decided: Some(decide), abandoned: abandoned.clone() };
        self.slots().insert(ticket, slot);
        let mut waits = Waits { hub: self, ticket, is_over: false };
        let arrived_ms = now_ms();
        self.apply(Event::Arrive(arrival));
        let decision = decided.await;
        waits.is_over = true;
        self.metrics.waited(now_ms().saturating_sub(arrived_ms));
        match decision {
            Ok(Ok(target)) => {
                let hub = self.clone();
                Ok(Placed { hub, ticket, target, abandoned, has_ended: false, is_started: false })
            }
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => {
                let reason = balsam_fleet::event::RefuseReason::NoEndpoint;
                Err(Refusal { reason, retry_after_ms: 0 })
            }
        }
    }

    fn finish(self: &Arc<Self>, ticket: Ticket, end: AttemptEnd) {
        self.slots().remove(&ticket);
        self.apply(Event::Ended { ticket, end });
    }

    fn slots(&self) -> std::sync::MutexGuard<'_, HashMap<Ticket, Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn carry_out(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::Dispatch { ticket, target, prompt_tokens } => {
                // A full queue loses news that the next report gives.
                let _ = self.sent.try_send(SentRequest { vm: target.vm.clone(), prompt_tokens });
                self.decide(ticket, Ok(target));
            }
            Effect::Refuse { ticket, refusal } => self.decide(ticket, Err(refusal)),
            Effect::Abandon { ticket } => {
                if let Some(slot) = self.slots().get(&ticket) {
                    slot.abandoned.notify_one();
                }
            }
            Effect::Probe { vm, address } => self.probe(vm, address),
            Effect::Order { vm, address, order } => self.order(vm, address, order),
            Effect::Note(note) => self.metrics.note(notes::write(&self.log, &self.lines, &note)),
        }
    }

    fn decide(&self, ticket: Ticket, decision: Decision) {
        let is_refusal = decision.is_err();
        let mut slots = self.slots();
        if let Some(decide) = slots.get_mut(&ticket).and_then(|slot| slot.decided.take()) {
            // A caller that left meanwhile ends the attempt by itself.
            let _ = decide.send(decision);
        }
        if is_refusal {
            slots.remove(&ticket);
        }
    }

    fn probe(self: &Arc<Self>, vm: VmName, address: SocketAddr) {
        let hub = self.clone();
        let asked = (self.calls.probe)(address);
        tokio::spawn(async move {
            let is_alive = asked.await;
            if !is_alive {
                info!(hub.log, "endpoint did not answer a probe"; "kind" => "probe",
                    "vm" => %vm, "address" => %address);
            }
            hub.apply(Event::Probed { vm, is_alive });
        });
    }

    fn order(self: &Arc<Self>, vm: VmName, address: SocketAddr, order: Order) {
        let hub = self.clone();
        let asked = (self.calls.order)(address, order.clone());
        tokio::spawn(async move {
            let answer = asked.await;
            info!(hub.log, "order answered"; "kind" => "order", "order" => order.kind(),
                "vm" => %vm, "answer" => ?answer);
            hub.apply(Event::OrderAnswered { vm, order, answer });
        });
    }
}
