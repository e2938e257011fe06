//! A planning node in virtual time, with attempts whose answers a test continues or leaves silent.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;

use balsam_fleet::AttemptId;
use balsam_fleet::Effect;
use balsam_fleet::Endpoint;
use balsam_fleet::Event;
use balsam_fleet::Fleet;
use balsam_fleet::Order;
use balsam_fleet::StorePosition;
use balsam_fleet::Target;
use balsam_fleet::directory::ListChange;
use balsam_fleet::event::AttemptOutcome;
use balsam_fleet::event::LeaseEvent;
use balsam_fleet::reduce;
use balsam_types::VmName;

use crate::support;

/// Interval between two ticks.
pub const TICK_MS: u64 = 50;

/// Time until a probe is answered, and until one without an answer has failed.
const ANSWER_MS: u64 = 10;
const PROBE_TIMEOUT_MS: u64 = 220;

pub struct PlanningNode {
    pub now_ms: u64,
    pub fleet: Fleet,
    /// Endpoints that leave probes unanswered.
    pub silent: BTreeSet<VmName>,
    /// Endpoints that refuse connections.
    pub ended: BTreeSet<VmName>,
    /// The orders so far, with their endpoints.
    pub orders: Vec<(VmName, Order)>,
    /// Attempts beside which others were started.
    pub tried_elsewhere: BTreeSet<AttemptId>,
    /// Endpoints that were probed so far.
    pub probed: Vec<VmName>,
    targets: BTreeMap<AttemptId, Target>,
    probes: Vec<(u64, Event)>,
    next_attempt_id: AttemptId,
}

impl PlanningNode {
    /// Creates a node that has planned for a second.
    pub fn new(endpoints: Vec<Endpoint>) -> Self {
        let mut node = Self {
            now_ms: 10_000,
            fleet: support::fleet("node"),
            silent: BTreeSet::new(),
            ended: BTreeSet::new(),
            orders: Vec::new(),
            tried_elsewhere: BTreeSet::new(),
            probed: Vec::new(),
            targets: BTreeMap::new(),
            probes: Vec::new(),
            next_attempt_id: 0,
        };
        node.apply(Event::Configuration(support::configuration(1).into()));
        node.apply(Event::List(ListChange::Whole(endpoints)));
        node.run(1_000);
        node
    }

    /// Runs without any event of the open answers.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            self.tick();
        }
    }

    /// Runs while every open answer makes progress.
    pub fn run_with_progress(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            self.tick();
            self.progress();
        }
    }

    /// Stops the node for a while and lets its timers fire when it goes on.
    pub fn pause(&mut self, duration_ms: u64) {
        self.now_ms += duration_ms;
        self.tick();
    }

    /// Ends due probes and applies a tick.
    fn tick(&mut self) {
        self.hear_and_renew();
        self.apply(Event::ListRead { begun_ms: self.now_ms });
        let now_ms = self.now_ms;
        let probes = std::mem::take(&mut self.probes);
        let (due, later): (Vec<_>, Vec<_>) = probes.into_iter().partition(|p| p.0 <= now_ms);
        self.probes = later;
        for (_, event) in due {
            self.apply(event);
        }
        self.apply(Event::Tick);
    }

    /// Lets an endpoint of the data centre answer, and renews the lease if it is due.
    pub fn hear_and_renew(&mut self) {
        self.fleet.planner.heard_from(self.now_ms, &support::data_centre("a"));
        if self.fleet.lease.held(self.now_ms + 500).is_none() {
            let (sent_ms, era) = (self.now_ms, 0);
            let at = StorePosition { era, offset: self.now_ms / 500 };
            self.apply(Event::Lease(LeaseEvent::Appended { sent_ms, at, era }));
        }
    }

    /// Sends a request; returns its attempt if it was sent to an endpoint at once.
    pub fn send(&mut self) -> Option<AttemptId> {
        self.next_attempt_id += 1;
        let attempt_id = self.next_attempt_id;
        self.apply(Event::Arrive(support::arrival(attempt_id, self.now_ms)));
        self.targets.contains_key(&attempt_id).then_some(attempt_id)
    }

    /// Returns the endpoint that an open attempt was sent to.
    pub fn head_of(&self, attempt_id: AttemptId) -> VmName {
        self.targets[&attempt_id].vm.clone()
    }

    /// Ends an attempt whose caller leaves.
    pub fn cancel(&mut self, attempt_id: AttemptId) {
        self.targets.remove(&attempt_id);
        self.apply(Event::Ended { attempt_id, outcome: AttemptOutcome::Cancelled });
    }

    /// Lets an event arrive for every open answer.
    pub fn progress(&mut self) {
        let attempts: Vec<AttemptId> = self.targets.keys().copied().collect();
        for attempt_id in attempts {
            self.targets[&attempt_id].progress_ms.store(self.now_ms, Ordering::Relaxed);
            self.apply(Event::Started(attempt_id));
        }
    }

    /// Whether an endpoint was ordered to leave its group.
    pub fn has_dissolved_a_group(&self) -> bool {
        self.orders.iter().any(|(_, order)| matches!(order, Order::Leave { .. }))
    }

    pub fn apply(&mut self, event: Event) {
        for effect in reduce(&mut self.fleet, self.now_ms, event) {
            match effect {
                Effect::Dispatch { attempt_id, target, .. } => {
                    self.targets.insert(attempt_id, target);
                }
                Effect::Probe { vm, .. } => {
                    self.probed.push(vm.clone());
                    let (delay_ms, event) = if self.silent.contains(&vm) {
                        (PROBE_TIMEOUT_MS, Event::ProbeUnanswered(vm))
                    } else if self.ended.contains(&vm) {
                        (PROBE_TIMEOUT_MS, Event::Probed { vm, is_alive: false })
                    } else {
                        (ANSWER_MS, Event::Probed { vm, is_alive: true })
                    };
                    self.probes.push((self.now_ms + delay_ms, event));
                }
                Effect::Order { vm, order, .. } => self.orders.push((vm, order)),
                Effect::TryElsewhere { attempt_id } => {
                    self.tried_elsewhere.insert(attempt_id);
                }
                _ => {}
            }
        }
    }
}
