//! Metrics of the request path.

use balsam_fleet::event::Decision;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

/// The instruments of the request path.
#[derive(Debug, Clone)]
pub struct RelayMetrics {
    answers: Counter<u64>,
    refusals: Counter<u64>,
    repeats: Counter<u64>,
    attempt_failures: Counter<u64>,
    connections_over_limit: Counter<u64>,
    bodies_refused: Counter<u64>,
    unread_answers: Counter<u64>,
    decisions: Counter<u64>,
    first_event_ms: Histogram<f64>,
    wait_ms: Histogram<f64>,
    estimate_ratio: Histogram<f64>,
    idle_endpoint_ms: Counter<u64>,
    operators_age_ms: Gauge<u64>,
    store_era: Gauge<u64>,
    largest_organisation_share: Gauge<f64>,
}

/// Histogram bucket bounds in ms: the latency targets of the routes lie between 150 and 500.
const BUCKET_BOUNDS_MS: [f64; 12] =
    [5.0, 10.0, 25.0, 50.0, 100.0, 150.0, 200.0, 300.0, 500.0, 1_000.0, 2_000.0, 5_000.0];

/// Histogram bucket bounds of the ratio between the events of an answer and their expected number.
const BUCKET_BOUNDS_RATIO: [f64; 8] = [0.1, 0.25, 0.5, 0.8, 1.25, 2.0, 4.0, 10.0];

impl RelayMetrics {
    /// Creates the instruments.
    pub fn new(meter: &Meter) -> Self {
        let histogram =
            |name| meter.f64_histogram(name).with_boundaries(BUCKET_BOUNDS_MS.to_vec()).build();
        Self {
            answers: meter.u64_counter("balsamturn.relay.answers").build(),
            refusals: meter.u64_counter("balsamturn.relay.refusals").build(),
            repeats: meter.u64_counter("balsamturn.relay.repeats").build(),
            attempt_failures: meter.u64_counter("balsamturn.relay.attempt_failures").build(),
            connections_over_limit: meter
                .u64_counter("balsamturn.relay.connections_over_limit")
                .build(),
            bodies_refused: meter.u64_counter("balsamturn.relay.bodies_refused").build(),
            unread_answers: meter.u64_counter("balsamturn.relay.unread_answers").build(),
            decisions: meter.u64_counter("balsamturn.fleet.decisions").build(),
            first_event_ms: histogram("balsamturn.relay.first_event_ms"),
            wait_ms: histogram("balsamturn.relay.wait_ms"),
            estimate_ratio: meter
                .f64_histogram("balsamturn.relay.estimate_ratio")
                .with_boundaries(BUCKET_BOUNDS_RATIO.to_vec())
                .build(),
            idle_endpoint_ms: meter.u64_counter("balsamturn.fleet.idle_endpoint_ms").build(),
            operators_age_ms: meter.u64_gauge("balsamturn.fleet.operators_age_ms").build(),
            store_era: meter.u64_gauge("balsamturn.fleet.store_era").build(),
            largest_organisation_share: meter
                .f64_gauge("balsamturn.fleet.largest_organisation_share")
                .build(),
        }
    }

    pub(crate) fn answer(&self, outcome: &'static str) {
        self.answers.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    pub(crate) fn repeat(&self, cause: &'static str) {
        self.repeats.add(1, &[KeyValue::new("cause", cause)]);
    }

    pub(crate) fn attempt_failure(&self, cause: &'static str, has_events: bool) {
        let labels = [KeyValue::new("cause", cause), KeyValue::new("has_events", has_events)];
        self.attempt_failures.add(1, &labels);
    }

    pub(crate) fn connection_over_limit(&self, action: &'static str) {
        self.connections_over_limit.add(1, &[KeyValue::new("action", action)]);
    }

    pub(crate) fn body_refused(&self, reason: &'static str) {
        self.bodies_refused.add(1, &[KeyValue::new("reason", reason)]);
    }

    pub(crate) fn unread_answer(&self, cause: &'static str) {
        self.unread_answers.add(1, &[KeyValue::new("cause", cause)]);
    }

    pub(crate) fn decision(&self, kind: &'static str, decision: &Decision) {
        self.decisions.add(1, &[KeyValue::new("kind", kind)]);
        if let Decision::Use { model, idle_endpoint_ms, .. } = decision {
            let model = KeyValue::new("model", model.to_string());
            self.idle_endpoint_ms.add(*idle_endpoint_ms, &[model]);
        }
    }

    pub(crate) fn operators_age(&self, ms: u64) {
        self.operators_age_ms.record(ms, &[]);
    }

    pub(crate) fn store_era(&self, era: u64) {
        self.store_era.record(era, &[]);
    }

    pub(crate) fn largest_organisation_share(&self, share: f64) {
        self.largest_organisation_share.record(share, &[]);
    }

    pub(crate) fn first_event(&self, ms: u64) {
        self.first_event_ms.record(ms as f64, &[]);
    }

    /// Records how many events an answer had compared with those that were expected.
    pub(crate) fn estimate(&self, events: u32, expected: u32) {
        self.estimate_ratio.record(f64::from(events) / f64::from(expected.max(1)), &[]);
    }

    pub(crate) fn waited(&self, ms: u64) {
        self.wait_ms.record(ms as f64, &[]);
    }
}
