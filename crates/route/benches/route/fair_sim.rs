//! A discrete-event simulation of queueing waits while a new organisation floods the queue.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use balsam_route::Admission;
use balsam_route::Admit;
use balsam_route::admission::Offer;
use balsam_route::admission::RequestId;
use balsam_types::OrganisationName;
use balsam_types::OrganisationSpec;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 8;
const SERVICE_MS: u64 = 100;
const ORGANISATIONS: usize = 9;
/// Interval between the requests of an existing organisation: below its fair share of 8 per s.
const INTERVAL_MS: u64 = 200;
const FLOOD_PER_MS: f64 = 0.5;
const DURATION_MS: u64 = 30_000;
const DEADLINE_MS: u64 = 5_000;
const QUEUE_LIMIT: usize = 200;

/// The longest wait of an organisation within its share: one request of each organisation may be
/// served first, after the residual service time of a request that has just started.
pub const WAIT_BOUND_MS: u64 =
    SERVICE_MS * (ORGANISATIONS as u64 + 1).div_ceil(SLOTS as u64) + SERVICE_MS;

/// The result of a run for the existing organisations and for the new one.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Waits of the existing organisations' requests, in ms.
    pub waits_ms: Vec<f64>,
    /// Requests of the existing organisations that were refused or dropped.
    pub refused: u32,
    /// Requests of the new organisation that ran.
    pub flood_served: u32,
    /// Requests that were taken from the queue after their deadline; must stay 0.
    pub served_late: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    End(usize),
    Arrive(usize),
    Expire,
}

struct Simulation {
    admission: Admission,
    specs: Vec<OrganisationSpec>,
    /// The organisation and the arrival time of each request.
    requests: Vec<(usize, u64)>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    outcome: Outcome,
}

/// Runs with or without the flood of the new organisation, which is the last one.
pub fn run(flood: bool, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let spec = |index| OrganisationSpec {
        organisation: OrganisationName::try_from(format!("firm-{index}")).expect("valid name"),
        token_sha256: Arc::from(""),
        weight: 1,
        limit_per_s: 0,
        limit_in_flight: 0,
    };
    let mut simulation = Simulation {
        admission: Admission::new(SLOTS, QUEUE_LIMIT),
        specs: (0..=ORGANISATIONS).map(spec).collect(),
        requests: vec![],
        events: BinaryHeap::new(),
        outcome: Outcome::default(),
    };
    for organisation in 0..ORGANISATIONS {
        let first_ms = rng.random_range(0..INTERVAL_MS);
        for time_ms in (first_ms..DURATION_MS).step_by(INTERVAL_MS as usize) {
            simulation.schedule_arrival(organisation, time_ms);
        }
    }
    if flood {
        let mut time_ms = 0.0;
        while time_ms < DURATION_MS as f64 {
            time_ms += -(1.0 - rng.random::<f64>()).ln() / FLOOD_PER_MS;
            simulation.schedule_arrival(ORGANISATIONS, time_ms as u64);
        }
    }
    simulation.run_to_end()
}

impl Simulation {
    fn schedule_arrival(&mut self, organisation: usize, time_ms: u64) {
        self.requests.push((organisation, time_ms));
        self.events.push(Reverse((time_ms, Event::Arrive(self.requests.len() - 1))));
    }

    fn run_to_end(mut self) -> Outcome {
        while let Some(Reverse((now_ms, event))) = self.events.pop() {
            match event {
                Event::Arrive(request) => self.offer(request, now_ms),
                Event::End(request) => {
                    let spec = &self.specs[self.requests[request].0];
                    self.admission.finish(&spec.organisation, SERVICE_MS);
                }
                Event::Expire => {}
            }
            while let Some((id, _)) = self.admission.take_dropped(now_ms) {
                self.count_refused(id.0 as usize);
            }
            while let Some(id) = self.admission.next(now_ms) {
                self.serve(id.0 as usize, now_ms);
            }
            if let Some(expiry_ms) = self.admission.next_expiry_ms()
                && self.events.peek().is_none_or(|Reverse((next_ms, _))| *next_ms > expiry_ms)
            {
                self.events.push(Reverse((expiry_ms, Event::Expire)));
            }
        }
        self.outcome
    }

    fn offer(&mut self, request: usize, now_ms: u64) {
        let offer =
            Offer { id: RequestId(request as u64), priority: 5, deadline_ms: now_ms + DEADLINE_MS };
        let spec = &self.specs[self.requests[request].0];
        match self.admission.offer(spec, offer, 1, now_ms) {
            Admit::Run => self.serve(request, now_ms),
            Admit::Queued => {}
            Admit::Refused { .. } => self.count_refused(request),
        }
    }

    fn count_refused(&mut self, request: usize) {
        self.outcome.refused += u32::from(self.requests[request].0 < ORGANISATIONS);
    }

    fn serve(&mut self, request: usize, now_ms: u64) {
        let (organisation, arrived_ms) = self.requests[request];
        if organisation < ORGANISATIONS {
            self.outcome.waits_ms.push((now_ms - arrived_ms) as f64);
        } else {
            self.outcome.flood_served += 1;
        }
        self.outcome.served_late += u32::from(now_ms >= arrived_ms + DEADLINE_MS);
        self.events.push(Reverse((now_ms + SERVICE_MS, Event::End(request))));
    }
}
