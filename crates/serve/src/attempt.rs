//! One attempt to run a request on one endpoint, until the head of the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use balsam_http::Reuse;
use balsam_http::SendError;
use balsam_route::Group;
use balsam_types::Outcome;
use balsam_types::PoolKind;
use balsam_types::PoolSpec;
use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::header;
use http_body_util::Full;

use crate::answer;
use crate::ports::AttemptAnswer;
use crate::ports::AttemptFailure;
use crate::ports::Call;
use crate::ports::Permit;
use crate::ports::PermitRequest;
use crate::problem::ProblemKind;
use crate::shared::Shared;
use crate::target::LocalTarget;

/// When an attempt last made progress, on the node's clock.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    last_ms: Arc<AtomicU64>,
    dispatched: Dispatched,
}

/// Whether any attempt of a request may have reached an endpoint.
#[derive(Debug, Clone, Default)]
pub(crate) struct Dispatched(Arc<AtomicBool>);

impl Dispatched {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

impl Progress {
    pub fn new(now_ms: u64, dispatched: Dispatched) -> Self {
        Self { last_ms: Arc::new(AtomicU64::new(now_ms)), dispatched }
    }

    pub fn record(&self, now_ms: u64) {
        self.last_ms.store(now_ms, Ordering::Relaxed);
    }

    pub fn last_ms(&self) -> u64 {
        self.last_ms.load(Ordering::Relaxed)
    }
}

/// Runs one attempt until the head of the answer arrives.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    call: &Call,
    target: LocalTarget,
    progress: &Progress,
) -> Result<AttemptAnswer, AttemptFailure> {
    let group = target.group();
    let spec: &PoolSpec = &target.view.pool.spec;
    let permit = match target.needs_permit {
        true => Some(acquire_permit(shared, call, group).await?),
        false => None,
    };
    let request = build_request(call, group.address)?;
    let head_timeout = shared.time_left(call.deadline_ms);
    shared.metrics.attempts.add(1, &[]);
    let may_dispatch = || {
        let now_ms = (shared.ports.now_ms)();
        let is_permit_valid = permit.as_ref().is_none_or(|p| now_ms < p.dispatch_until_ms);
        let is_claim_valid = call.dispatch_until_ms.is_none_or(|until_ms| now_ms < until_ms);
        let is_allowed = is_permit_valid && is_claim_valid && now_ms < call.deadline_ms;
        if is_allowed {
            progress.dispatched.set();
            progress.record(now_ms);
        }
        is_allowed
    };
    let exchange =
        shared.client.send(group.address, &request, reuse(call), head_timeout, may_dispatch);
    let sent = exchange.await;
    let (conn, response) = sent.map_err(|error| {
        let mut failed = send_failure(group.address, error);
        if shared.time_left(call.deadline_ms).is_zero() {
            failed.problem = ProblemKind::DeadlineExceeded;
            failed.retry_after_ms = None;
        }
        failed
    })?;
    if spec.not_run_statuses.contains(&response.status().as_u16()) {
        let detail = format!("endpoint {} answered {}", group.address, response.status());
        // On a reused connection, this may be a second answer to an earlier request.
        let outcome = if conn.is_reused() { Outcome::Unknown } else { Outcome::NotRun };
        return Err(endpoint_failure(outcome, ProblemKind::EndpointBusy, detail, group.address));
    }
    progress.record((shared.ports.now_ms)());
    let address = group.address;
    let guards = (permit, target.in_flight);
    let (kind, progress) = (spec.kind, progress.clone());
    Ok(answer::build(shared, call, kind, address, (conn, response), guards, progress))
}

async fn acquire_permit(
    shared: &Shared,
    call: &Call,
    group: &Group,
) -> Result<Permit, AttemptFailure> {
    let request = PermitRequest {
        group: group.group.clone(),
        instance: group.instance.clone(),
        owner: group.owner.clone(),
        deadline_ms: call.deadline_ms,
    };
    let permit_request = (shared.ports.acquire_permit)(request);
    let Ok(reply) = tokio::time::timeout(shared.time_left(call.deadline_ms), permit_request).await
    else {
        let detail = format!("group {}: no cold-start permit before the deadline", group.group);
        return Err(endpoint_failure(
            Outcome::NotRun,
            ProblemKind::DeadlineExceeded,
            detail,
            group.address,
        ));
    };
    reply.map_err(|refusal| {
        let detail = format!("group {}: no cold-start permit: {}", group.group, refusal.reason);
        let mut refused =
            endpoint_failure(Outcome::NotRun, ProblemKind::NoEndpoint, detail, group.address);
        refused.retry_after_ms = Some(refusal.retry_after_ms);
        refused.is_permit_refused = true;
        refused
    })
}

/// Whether a request may use a pooled connection. A refusal that arrives there does not show that
/// the request did not run, so a request that may run only once, and one whose key is released only
/// if it did not run, need a new connection.
fn reuse(call: &Call) -> Reuse {
    match call.idempotent && call.claim_offset.is_none() {
        true => Reuse::Allowed,
        false => Reuse::Never,
    }
}

/// Returns after which silence another attempt or a resume begins. An engine sends keep-alive
/// comments while it streams, but nothing before a non-streamed answer is complete.
pub(crate) fn silence_limit(shared: &Shared, kind: PoolKind, call: &Call) -> Duration {
    let is_streamed = kind == PoolKind::Model && crate::caller::requests_stream(&call.body);
    Duration::from_millis(match is_streamed {
        true => shared.options.model_silence_ms,
        false => shared.options.plain_silence_ms,
    })
}

pub(crate) fn endpoint_failure(
    outcome: Outcome,
    problem: ProblemKind,
    detail: impl Into<String>,
    address: SocketAddr,
) -> AttemptFailure {
    AttemptFailure { endpoint: Some(address), ..AttemptFailure::new(outcome, problem, detail) }
}

fn send_failure(address: SocketAddr, error: SendError) -> AttemptFailure {
    let is_connection_failure = matches!(error, SendError::TimedOut);
    let (outcome, problem, detail) = match error {
        SendError::NotWritten(cause) | SendError::Refused(cause) => {
            (Outcome::NotRun, ProblemKind::EndpointRefused, cause)
        }
        SendError::NotAllowed => {
            let detail = "the time limit for dispatching the request has passed";
            (Outcome::NotRun, ProblemKind::NoEndpoint, detail.to_owned())
        }
        SendError::Written(cause) | SendError::Malformed(cause) => {
            (Outcome::Unknown, ProblemKind::EndpointFailed, cause)
        }
        SendError::TimedOut => {
            let detail = format!("endpoint {address}: no answer before the deadline");
            (Outcome::Unknown, ProblemKind::EndpointFailed, detail)
        }
    };
    AttemptFailure { is_connection_failure, ..endpoint_failure(outcome, problem, detail, address) }
}

fn build_request(call: &Call, address: SocketAddr) -> Result<Request<Full<Bytes>>, AttemptFailure> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.path_and_query.parse().map_err(|e| {
        let detail = format!("path {}: {e}", call.path_and_query);
        AttemptFailure::new(Outcome::NotRun, ProblemKind::InvalidRequest, detail)
    })?;
    *request.headers_mut() = call.headers.clone();
    request.headers_mut().insert(header::HOST, host(address));
    Ok(request)
}

pub(crate) fn host(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string()).unwrap_or(HeaderValue::from_static("endpoint"))
}
