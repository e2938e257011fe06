//! Metrics of the control path.

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Meter;

/// Counters and gauges of the control path.
pub(crate) struct ControlMetrics {
    changes: Counter<u64>,
    appends: Counter<u64>,
    appends_unknown: Counter<u64>,
    peer_messages: Counter<u64>,
    peer_bytes: Counter<u64>,
    permit_answers: Counter<u64>,
    folded: Gauge<u64>,
    log_age_ms: Gauge<u64>,
    claims: Gauge<u64>,
    waiting: Gauge<u64>,
}

impl ControlMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        Self {
            changes: meter.u64_counter("balsamturn.control.changes").build(),
            appends: meter.u64_counter("balsamturn.log.appends").build(),
            appends_unknown: meter.u64_counter("balsamturn.log.appends_unknown").build(),
            peer_messages: meter.u64_counter("balsamturn.peer.messages").build(),
            peer_bytes: meter.u64_counter("balsamturn.peer.bytes").build(),
            permit_answers: meter.u64_counter("balsamturn.permits.answers").build(),
            folded: meter.u64_gauge("balsamturn.log.folded_append").build(),
            log_age_ms: meter.u64_gauge("balsamturn.log.head_age_ms").build(),
            claims: meter.u64_gauge("balsamturn.claims.kept").build(),
            waiting: meter.u64_gauge("balsamturn.claims.waiting").build(),
        }
    }

    pub(crate) fn count_change(&self, kind: &'static str) {
        self.changes.add(1, &[KeyValue::new("kind", kind)]);
    }

    pub(crate) fn count_append(&self, is_outcome_known: bool) {
        self.appends.add(1, &[]);
        if !is_outcome_known {
            self.appends_unknown.add(1, &[]);
        }
    }

    pub(crate) fn count_peer_message(&self, direction: &'static str, bytes: usize) {
        let direction = [KeyValue::new("direction", direction)];
        self.peer_messages.add(1, &direction);
        self.peer_bytes.add(bytes as u64, &direction);
    }

    pub(crate) fn count_permit_answer(&self, answer: &'static str) {
        self.permit_answers.add(1, &[KeyValue::new("answer", answer)]);
    }

    pub(crate) fn record_state(
        &self,
        folded_append: u64,
        log_age_ms: u64,
        claims: u64,
        waiting: u64,
    ) {
        self.folded.record(folded_append, &[]);
        self.log_age_ms.record(log_age_ms, &[]);
        self.claims.record(claims, &[]);
        self.waiting.record(waiting, &[]);
    }
}
