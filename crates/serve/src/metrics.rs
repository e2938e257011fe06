//! Counters and histograms of the callers' interface.

use balsam_types::Outcome;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

use crate::problem::ProblemKind;

/// The metrics of the callers' interface.
pub(crate) struct Metrics {
    requests: Counter<u64>,
    problems: Counter<u64>,
    compared: Counter<u64>,
    pub attempts: Counter<u64>,
    pub retries: Counter<u64>,
    pub resumes: Counter<u64>,
    pub silent_connections: Counter<u64>,
    pub replays: Counter<u64>,
    pub cancelled: Counter<u64>,
    connections_refused: Counter<u64>,
    pub unrecorded_answers: Counter<u64>,
    pub unread_answers: Counter<u64>,
    pub first_byte_ms: Histogram<f64>,
    pub event_gap_ms: Histogram<f64>,
}

impl Metrics {
    pub fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let millis = |name: &'static str| meter.f64_histogram(name).with_unit("ms").build();
        Self {
            requests: counter("balsam_serve_requests"),
            problems: counter("balsam_serve_problems"),
            compared: counter("balsam_serve_compared"),
            attempts: counter("balsam_serve_attempts"),
            retries: counter("balsam_serve_retries"),
            resumes: counter("balsam_serve_resumes"),
            silent_connections: counter("balsam_serve_silent_connections"),
            replays: counter("balsam_serve_replays"),
            cancelled: counter("balsam_serve_cancelled"),
            connections_refused: counter("balsam_serve_connections_refused"),
            unrecorded_answers: counter("balsam_serve_unrecorded_answers"),
            unread_answers: counter("balsam_serve_unread_answers"),
            first_byte_ms: millis("balsam_serve_first_byte"),
            event_gap_ms: millis("balsam_serve_event_gap"),
        }
    }

    /// Counts a request whose final outcome is known.
    pub fn request(&self, route: &str, outcome: Outcome) {
        let labels =
            [KeyValue::new("route", route.to_owned()), KeyValue::new("outcome", outcome.as_str())];
        self.requests.add(1, &labels);
    }

    /// Counts a comparison of two pools by its result.
    pub fn compared(&self, route: &str, result: &'static str) {
        let labels = [KeyValue::new("route", route.to_owned()), KeyValue::new("result", result)];
        self.compared.add(1, &labels);
    }

    /// Counts a connection over the limit by what becomes of it.
    pub fn connection_refused(&self, action: &'static str) {
        self.connections_refused.add(1, &[KeyValue::new("action", action)]);
    }

    /// Counts a problem by its type.
    pub fn problem(&self, kind: ProblemKind) {
        self.problems.add(1, &[KeyValue::new("type", kind.slug())]);
    }
}
