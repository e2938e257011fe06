//! Admission control: the admission queue of `balsam_route` and the requests that wait in it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use balsam_route::Admission;
use balsam_route::Admit;
use balsam_route::admission::Offer;
use balsam_route::admission::RefuseReason;
use balsam_route::admission::RequestId;
use balsam_types::OrganisationName;
use balsam_types::OrganisationSpec;
use tokio::sync::oneshot;

use crate::caller::not_run;
use crate::ports::AttemptFailure;
use crate::problem::ProblemKind;

type Clock = Arc<dyn Fn() -> u64 + Send + Sync>;

/// Admits the requests that one node gets from all organisations.
pub(crate) struct AdmissionGate {
    state: Mutex<GateState>,
    now_ms: Clock,
    /// Live entry nodes in all data centres, which share the rate limits of organisations equally.
    pub live_nodes: AtomicU32,
}

struct GateState {
    admission: Admission,
    next_id: u64,
    /// Waiting requests. Each is sent `None` when it may run, or the reason if it is refused.
    waiting: HashMap<u64, oneshot::Sender<Option<RefuseReason>>>,
}

/// The place of a request that runs or waits; dropping it frees the place for the next request.
pub(crate) struct AdmissionGuard {
    gate: Arc<AdmissionGate>,
    organisation: OrganisationName,
    id: u64,
    started_ms: u64,
    decision: Option<oneshot::Receiver<Option<RefuseReason>>>,
}

impl AdmissionGate {
    pub fn new(slots: u32, queue_limit: usize, now_ms: Clock) -> Self {
        let admission = Admission::new(slots, queue_limit);
        let state = Mutex::new(GateState { admission, next_id: 0, waiting: HashMap::new() });
        Self { state, now_ms, live_nodes: AtomicU32::new(1) }
    }

    /// Waits until the request may run. Refuses it early if it would wait past its deadline.
    pub async fn admit(
        self: &Arc<Self>,
        spec: &OrganisationSpec,
        priority: u8,
        deadline_ms: u64,
    ) -> Result<AdmissionGuard, AttemptFailure> {
        let mut guard = self.offer(spec, priority, deadline_ms)?;
        let Some(decision) = &mut guard.decision else {
            return Ok(guard);
        };
        let left = Duration::from_millis(deadline_ms.saturating_sub((self.now_ms)()));
        match tokio::time::timeout(left, decision).await {
            Ok(Ok(None)) => {
                guard.decision = None;
                guard.started_ms = (self.now_ms)();
                Ok(guard)
            }
            Ok(Ok(Some(reason))) => Err(refusal(reason, None)),
            Ok(Err(_)) | Err(_) => Err(refusal(RefuseReason::Deadline, None)),
        }
    }

    fn offer(
        self: &Arc<Self>,
        spec: &OrganisationSpec,
        priority: u8,
        deadline_ms: u64,
    ) -> Result<AdmissionGuard, AttemptFailure> {
        let now_ms = (self.now_ms)();
        let mut state = self.lock();
        state.deliver_decisions(now_ms);
        let id = state.next_id;
        state.next_id += 1;
        let offer = Offer { id: RequestId(id), priority, deadline_ms };
        let live_nodes = self.live_nodes.load(Ordering::Relaxed);
        let decision = match state.admission.offer(spec, offer, live_nodes, now_ms) {
            Admit::Run => None,
            Admit::Queued => {
                let (sender, decision) = oneshot::channel();
                state.waiting.insert(id, sender);
                // Queuing this request may have displaced another one.
                state.deliver_decisions(now_ms);
                Some(decision)
            }
            Admit::Refused { retry_after_ms, reason } => {
                return Err(refusal(reason, Some(retry_after_ms)));
            }
        };
        drop(state);
        let organisation = spec.organisation.clone();
        Ok(AdmissionGuard { gate: self.clone(), organisation, id, started_ms: now_ms, decision })
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GateState {
    /// Sends new admission decisions to the waiting requests.
    fn deliver_decisions(&mut self, now_ms: u64) {
        while let Some((id, reason)) = self.admission.take_dropped(now_ms) {
            self.send_decision(id, Some(reason));
        }
        while let Some(id) = self.admission.next(now_ms) {
            self.send_decision(id, None);
        }
    }

    fn send_decision(&mut self, id: RequestId, refused: Option<RefuseReason>) {
        if let Some(sender) = self.waiting.remove(&id.0) {
            // The receiver is dropped only under the lock, after its sender left the map.
            let _ = sender.send(refused);
        }
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let now_ms = (self.gate.now_ms)();
        let mut state = self.gate.lock();
        let is_running = match &mut self.decision {
            None => true,
            Some(_) if state.waiting.remove(&self.id).is_some() => {
                state.admission.cancel(RequestId(self.id));
                false
            }
            // The request may have been admitted just as the caller disconnected.
            Some(decision) => matches!(decision.try_recv(), Ok(None)),
        };
        if is_running {
            let duration_ms = now_ms.saturating_sub(self.started_ms);
            state.admission.finish(&self.organisation, duration_ms);
        }
        state.deliver_decisions(now_ms);
    }
}

fn refusal(reason: RefuseReason, retry_after_ms: Option<u64>) -> AttemptFailure {
    let (problem, detail) = match reason {
        RefuseReason::Rate => (ProblemKind::RateLimited, "the organisation exceeds its rate limit"),
        RefuseReason::QueueFull => (ProblemKind::Overloaded, "the queue is full"),
        RefuseReason::Displaced => {
            (ProblemKind::Overloaded, "the organisation uses more than its share of the queue")
        }
        RefuseReason::Deadline => {
            (ProblemKind::Overloaded, "the request would wait in the queue past its deadline")
        }
    };
    let refused = not_run(problem, detail);
    let retry_after_ms = retry_after_ms.filter(|ms| *ms > 0).or(refused.retry_after_ms);
    AttemptFailure { retry_after_ms, ..refused }
}

#[cfg(test)]
mod tests {
    use std::sync::atomic::AtomicU64;

    use super::*;

    fn gate(slots: u32) -> Arc<AdmissionGate> {
        let clock = Arc::new(AtomicU64::new(0));
        Arc::new(AdmissionGate::new(
            slots,
            8,
            Arc::new(move || clock.fetch_add(1, Ordering::Relaxed)),
        ))
    }

    fn club() -> OrganisationSpec {
        OrganisationSpec {
            organisation: OrganisationName::try_from("club").unwrap(),
            token_sha256: Arc::from(""),
            weight: 1,
            limit_per_s: 0,
            limit_in_flight: 0,
        }
    }

    /// Guards against slots that leak when a caller disconnects while its request waits or is
    /// admitted.
    #[tokio::test]
    async fn slot_is_freed_when_its_request_is_dropped() {
        let gate = gate(1);
        let running = gate.admit(&club(), 5, 10_000).await.unwrap();
        let queued = gate.offer(&club(), 5, 10_000).unwrap();
        let cancelled = gate.offer(&club(), 5, 10_000).unwrap();
        drop(cancelled);
        drop(running);
        assert_eq!(gate.lock().admission.running(), 1, "the waiting request was admitted");
        drop(queued);
        assert_eq!(gate.lock().admission.running(), 0);
        assert!(gate.lock().waiting.is_empty());
        assert!(gate.admit(&club(), 5, 10_000).await.is_ok());
    }
}
