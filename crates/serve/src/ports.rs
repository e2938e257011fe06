//! The interfaces through which the callers' HTTP interface uses the rest of the node.
//!
//! The ports are boxed closures: tests pass fakes and the node binary passes the real
//! implementations, without this crate depending on them.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use balsam_route::table::Owner;
use balsam_route::table::RemoteDataCentre;
use balsam_types::ClaimKey;
use balsam_types::GroupName;
use balsam_types::Offset;
use balsam_types::OrganisationName;
use balsam_types::Outcome;
use balsam_types::PoolName;
use balsam_types::StoredResponse;
use balsam_types::claim::RequestHash;
use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use http::HeaderMap;
use http::Method;

use crate::problem::ProblemKind;

type Port<A, R> = Box<dyn Fn(A) -> BoxFuture<'static, R> + Send + Sync>;

/// The operations that the rest of the node provides.
pub struct Ports {
    /// Returns the current routing table.
    pub table: Box<dyn Fn() -> Arc<balsam_route::Table> + Send + Sync>,
    /// Returns the node's monotonic clock in ms; the table uses the same clock.
    pub now_ms: Arc<dyn Fn() -> u64 + Send + Sync>,
    /// Claims the right to run a keyed request; resolves at the request's deadline at the latest.
    pub claim: Port<ClaimRequest, ClaimDecision>,
    /// Records the response of a claimed request; false if it could not be recorded.
    pub complete: Port<(ClaimKey, Offset, StoredResponse), bool>,
    /// Releases a claim whose request certainly did not run.
    pub release: Port<(ClaimKey, Offset), ()>,
    /// Asks the owner of a group for a cold-start permit.
    pub acquire_permit: Port<PermitRequest, Result<Permit, PermitRefusal>>,
    /// Runs an attempt in another data centre.
    pub forward: Port<ForwardCall, Result<AttemptAnswer, AttemptFailure>>,
}

/// A request for a claim.
#[derive(Debug, Clone)]
pub struct ClaimRequest {
    /// The hash of the organisation and its key.
    pub key: ClaimKey,
    /// The `Idempotency-Key` as sent, from which the age of a UUIDv7 key can be read.
    pub raw_key: Arc<str>,
    /// Distinguishes a repeat from a different request with the same key.
    pub request_hash: RequestHash,
    /// The organisation.
    pub organisation: OrganisationName,
    /// The pool that would run the request.
    pub pool: PoolName,
    /// The deadline of the request, by [`Ports::now_ms`].
    pub deadline_ms: u64,
}

/// The result of a request for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The request may run.
    Granted {
        /// The offset of the accepted claim.
        offset: Offset,
        /// The request must be dispatched before this time, by [`Ports::now_ms`].
        dispatch_until_ms: u64,
    },
    /// The request completed earlier, with this response.
    Replay(StoredResponse),
    /// The key was used for another request.
    KeyReused,
    /// Another process was still running the request when the deadline passed.
    HeldElsewhere,
    /// The process that ran the request is gone, and the outcome of the request is unknown.
    OutcomeUnknown,
    /// The log cannot confirm a claim now; an earlier attempt may have run.
    Unavailable {
        /// Delay before the caller should retry.
        retry_after_ms: u64,
    },
    /// The key is older than the retention window of keys.
    KeyExpired,
}

/// A request for a cold-start permit.
#[derive(Debug, Clone)]
pub struct PermitRequest {
    /// The group.
    pub group: GroupName,
    /// The endpoint process named in the last load report; empty if unknown.
    pub instance: Arc<str>,
    /// The owner of the group's permits, if one is known.
    pub owner: Option<Owner>,
    /// The deadline of the request, by [`Ports::now_ms`].
    pub deadline_ms: u64,
}

/// A cold-start permit, released when dropped.
pub struct Permit {
    /// The request must be dispatched before this time, by [`Ports::now_ms`].
    pub dispatch_until_ms: u64,
    release: Option<Box<dyn FnOnce() + Send + Sync>>,
}

impl Permit {
    /// Creates a permit; `release` runs once, when the permit is dropped.
    pub fn new(dispatch_until_ms: u64, release: impl FnOnce() + Send + Sync + 'static) -> Self {
        Self { dispatch_until_ms, release: Some(Box::new(release)) }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            release();
        }
    }
}

impl fmt::Debug for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Permit").field("dispatch_until_ms", &self.dispatch_until_ms).finish()
    }
}

/// Why no permit was granted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitRefusal {
    /// Delay before asking again.
    pub retry_after_ms: u64,
    /// The reason, for the problem's detail.
    pub reason: Arc<str>,
}

/// One request as it is sent to the endpoint.
#[derive(Debug, Clone)]
pub struct Call {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The pool that serves the request.
    pub pool: PoolName,
    /// The method.
    pub method: Method,
    /// The path with the query.
    pub path_and_query: Arc<str>,
    /// The headers, without hop-by-hop headers and the caller's credential.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The deadline of the answer, by [`Ports::now_ms`] of this node. The peer protocol carries the
    /// remaining time instead.
    pub deadline_ms: u64,
    /// Priority from 0 (highest) to 9 (lowest).
    pub priority: u8,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// The claim of a keyed request.
    pub claim_offset: Option<Offset>,
    /// The request must be dispatched before this time, by [`Ports::now_ms`] of this node.
    pub dispatch_until_ms: Option<u64>,
}

/// A request to be run in another data centre.
#[derive(Debug, Clone)]
pub struct ForwardCall {
    /// Unique per attempt, so that answers of different attempts cannot be confused.
    pub attempt_id: [u8; 16],
    /// The data centre in which the request should run.
    pub remote: RemoteDataCentre,
    /// The request.
    pub call: Call,
}

/// The head of an endpoint's answer with the stream of its body.
pub struct AttemptAnswer {
    /// The status.
    pub status: u16,
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The body, which ends with exactly one [`AnswerPart::End`] or [`AnswerPart::Broken`]. A
    /// stream that ends with neither is treated as broken. Dropping it cancels the attempt.
    pub body: BoxStream<'static, AnswerPart>,
}

impl fmt::Debug for AttemptAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AttemptAnswer").field("status", &self.status).finish_non_exhaustive()
    }
}

/// A part of an answer's body.
#[derive(Debug, Clone)]
pub enum AnswerPart {
    /// Bytes of the body; in an event stream, always complete events.
    Data(Bytes),
    /// The answer is complete.
    End,
    /// The answer was truncated; nothing follows.
    Broken(AttemptFailure),
}

/// The failure of an attempt that gave no complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Whether the attempt may have run.
    pub outcome: Outcome,
    /// The problem reported to the caller if there is no further attempt.
    pub problem: ProblemKind,
    /// Description of the step and the peer that failed.
    pub detail: String,
    /// Delay before the caller should retry, if a retry makes sense.
    pub retry_after_ms: Option<u64>,
    /// The endpoint, for an attempt in this data centre.
    pub endpoint: Option<SocketAddr>,
    /// No answer came before the deadline; the endpoint may be sound.
    pub is_connection_failure: bool,
    /// No cold-start permit was granted; the group may grant one later.
    pub is_permit_refused: bool,
}

impl AttemptFailure {
    /// Creates a failure with the default retry delay of its problem.
    pub fn new(outcome: Outcome, problem: ProblemKind, detail: impl Into<String>) -> Self {
        let retry_after_ms = problem.default_retry_after_ms();
        let detail = detail.into();
        Self {
            outcome,
            problem,
            detail,
            retry_after_ms,
            endpoint: None,
            is_connection_failure: false,
            is_permit_refused: false,
        }
    }
}
