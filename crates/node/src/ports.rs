//! Connects the callers' front end to the rest of the node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balsam_agent::Event;
use balsam_agent::effect::ClaimAnswer;
use balsam_agent::event::ClaimSubmission;
use balsam_http::final_status;
use balsam_route::permit::DISPATCH_VALID_MS;
use balsam_route::permit::PermitId;
use balsam_route::permit::PermitReply;
use balsam_serve::AnswerPart;
use balsam_serve::AttemptAnswer;
use balsam_serve::AttemptFailure;
use balsam_serve::ClaimDecision;
use balsam_serve::ClaimRequest;
use balsam_serve::ForwardCall;
use balsam_serve::Permit;
use balsam_serve::PermitRefusal;
use balsam_serve::PermitRequest;
use balsam_serve::Ports;
use balsam_serve::ProblemKind;
use balsam_types::Incarnation;
use balsam_types::Outcome;
use balsam_wire::pb::peer::v1 as pb;
use balsam_wire::pb::peer::v1::forward_event::Event as PbEvent;
use balsam_wire::record::incarnation_to_pb;
use balsam_wire::record::offset_from_pb;
use balsam_wire::record::offset_to_pb;
use bytes::Bytes;
use futures::StreamExt;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tonic::Streaming;

use crate::agent_task::AgentHandle;
use crate::agent_task::Message;
use crate::agent_task::SharedTable;
use crate::clock::Clock;
use crate::peer_client::Connection;
use crate::peer_client::PeerClients;
use crate::peer_server::denial_label;
use crate::peer_server::headers_from_pb;
use crate::peer_server::headers_to_pb;
use crate::permits::OwnedPermits;

/// `Retry-After` for a caller whose claim the log did not confirm.
const CLAIM_RETRY_AFTER_MS: u64 = 2_000;

/// Delay before a sender may ask again after the permit owner did not answer.
const PERMIT_RETRY_AFTER_MS: u64 = 500;

/// Timeout for opening a connection to another data centre.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// What the ports need from the node.
#[derive(Clone)]
pub(crate) struct PortContext {
    pub(crate) me: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) agent: AgentHandle,
    pub(crate) table: SharedTable,
    pub(crate) permits: Arc<OwnedPermits>,
    pub(crate) peers: PeerClients,
}

/// Builds the functions through which the front end uses the node.
pub(crate) fn ports(context: &PortContext) -> Ports {
    let table = context.table.clone();
    let clock = context.clock;
    let (claim_context, complete_context, release_context) =
        (context.clone(), context.clone(), context.clone());
    let (permit_context, forward_context) = (context.clone(), context.clone());
    Ports {
        table: Box::new(move || table.load_full()),
        now_ms: Arc::new(move || clock.now_ms()),
        claim: Box::new(move |request| Box::pin(claim(claim_context.agent.clone(), request))),
        complete: Box::new(move |(key, _, response)| {
            let agent = complete_context.agent.clone();
            Box::pin(async move {
                agent.send(Event::Complete { key, response }).await;
                true
            })
        }),
        release: Box::new(move |(key, _)| {
            let agent = release_context.agent.clone();
            Box::pin(async move { agent.send(Event::Release { key }).await })
        }),
        acquire_permit: Box::new(move |request| {
            let context = permit_context.clone();
            Box::pin(async move { acquire_permit(context, request).await })
        }),
        forward: Box::new(move |call| {
            let context = forward_context.clone();
            Box::pin(async move { forward(context, call).await })
        }),
    }
}

async fn claim(agent: AgentHandle, request: ClaimRequest) -> ClaimDecision {
    let (answer_sender, answer_receiver) = oneshot::channel();
    let submission = ClaimSubmission {
        waiter: 0,
        key: request.key,
        raw_key: request.raw_key,
        request_hash: request.request_hash,
        pool: request.pool,
        deadline_ms: request.deadline_ms,
    };
    agent.send_message(Message::Claim(submission, answer_sender)).await;
    match answer_receiver.await {
        Ok(ClaimAnswer::Granted { offset, dispatch_until_ms }) => {
            ClaimDecision::Granted { offset, dispatch_until_ms }
        }
        Ok(ClaimAnswer::Completed(response)) => ClaimDecision::Replay(response),
        Ok(ClaimAnswer::KeyReused) => ClaimDecision::KeyReused,
        Ok(ClaimAnswer::StillRunning) => ClaimDecision::HeldElsewhere,
        Ok(ClaimAnswer::HolderGone) => ClaimDecision::OutcomeUnknown,
        Ok(ClaimAnswer::KeyExpired) => ClaimDecision::KeyExpired,
        Ok(ClaimAnswer::Unconfirmed) | Err(_) => {
            ClaimDecision::Unavailable { retry_after_ms: CLAIM_RETRY_AFTER_MS }
        }
    }
}

async fn acquire_permit(
    context: PortContext,
    request: PermitRequest,
) -> Result<Permit, PermitRefusal> {
    let sent_ms = context.clock.now_ms();
    let dispatch_until_ms = sent_ms + DISPATCH_VALID_MS;
    let refuse = |retry_after_ms, reason: &str| {
        Err(PermitRefusal { retry_after_ms, reason: Arc::from(reason) })
    };
    let Some(owner) = request.owner.clone() else {
        return refuse(PERMIT_RETRY_AFTER_MS, "the group has no permit owner yet");
    };
    let deadline_in_ms = request.deadline_ms.saturating_sub(sent_ms);
    let Some(peer) = owner.peer_address else {
        let permit_request = balsam_route::permit::PermitRequest {
            holder: context.me.clone(),
            instance: request.instance.clone(),
            deadline_in_ms,
        };
        return match context.permits.acquire(&request.group, permit_request, sent_ms) {
            Some(PermitReply::Granted(id)) => {
                let (permits, group, me) = (context.permits, request.group, context.me);
                Ok(Permit::new(dispatch_until_ms, move || permits.release(&group, id, &me)))
            }
            Some(PermitReply::Denied { retry_after_ms, reason }) => {
                refuse(retry_after_ms, denial_label(reason))
            }
            None => refuse(PERMIT_RETRY_AFTER_MS, "not_owner"),
        };
    };
    let permit_request = pb::AcquirePermitRequest {
        group: request.group.to_string(),
        instance: request.instance.to_string(),
        sender: Some(incarnation_to_pb(&context.me)),
        request_deadline_ms: deadline_in_ms,
    };
    match context.peers.acquire_permit(peer, permit_request).await {
        Ok(pb::AcquirePermitResponse { permit: Some(permit), .. }) => {
            let release = remote_release(context, peer, &request, &permit);
            Ok(Permit::new(dispatch_until_ms, release))
        }
        Ok(answer) => refuse(answer.retry_after_ms, &answer.reason),
        Err(status) => refuse(PERMIT_RETRY_AFTER_MS, &format!("{peer}: {}", status.message())),
    }
}

fn remote_release(
    context: PortContext,
    peer: SocketAddr,
    request: &PermitRequest,
    permit: &pb::Permit,
) -> impl FnOnce() + Send + Sync + use<> {
    let owner_offset = permit.owner_offset.as_ref().map(offset_from_pb).unwrap_or_default();
    let id = PermitId { owner_offset, number: permit.number };
    let release = pb::ReleasePermitRequest {
        group: request.group.to_string(),
        permit: Some(pb::Permit {
            owner_offset: Some(offset_to_pb(id.owner_offset)),
            number: id.number,
        }),
        sender: Some(incarnation_to_pb(&context.me)),
    };
    move || {
        // Outside the runtime, at process exit, the permit is not released and expires by itself.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { context.peers.release_permit(peer, release).await });
        }
    }
}

async fn forward(
    context: PortContext,
    forward: ForwardCall,
) -> Result<AttemptAnswer, AttemptFailure> {
    let nodes = &forward.remote.entry_nodes;
    let start = rand::random_range(0..nodes.len().max(1));
    let Some((_, peer)) = nodes.get(start) else {
        let detail = format!("no entry node of {} is known", forward.remote.data_centre);
        return Err(AttemptFailure::new(Outcome::NotRun, ProblemKind::NoEndpoint, detail));
    };
    let peer = *peer;
    let connection = open_connection(&context, peer).await?;
    let left_ms = forward.call.deadline_ms.saturating_sub(context.clock.now_ms());
    let request = forward_request(&context, &forward, left_ms);
    let mut client = connection.client();
    let answer = timeout(Duration::from_millis(left_ms), client.forward(request)).await;
    let outcome_unknown = |detail: String| {
        // The request was sent, so the other node may have run it.
        let detail = format!("forwarding to {peer}: {detail}");
        Err(AttemptFailure::new(Outcome::Unknown, ProblemKind::EndpointFailed, detail))
    };
    let mut stream = match answer {
        Ok(Ok(answer)) => answer.into_inner(),
        Ok(Err(status)) => return outcome_unknown(status.message().to_owned()),
        Err(_) => return outcome_unknown("no answer before the deadline".to_owned()),
    };
    match next_event(&mut stream, &connection).await {
        Some(PbEvent::Head(head)) if head.attempt_id == forward.attempt_id => {
            let headers = headers_from_pb(head.headers).unwrap_or_default();
            let Some(status) = u16::try_from(head.status).ok().and_then(final_status) else {
                return outcome_unknown(format!("it passed on the status {}", head.status));
            };
            let status = status.as_u16();
            let source = ForwardedAnswer {
                stream,
                connection,
                peer,
                clock: context.clock,
                deadline_ms: forward.call.deadline_ms,
            };
            Ok(AttemptAnswer { status, headers, body: body(source).boxed() })
        }
        Some(PbEvent::Failure(failure)) => Err(failure_from_pb(failure, peer)),
        Some(_) => outcome_unknown("the answer belongs to another attempt".to_owned()),
        None => outcome_unknown("the answer ended before its status and headers".to_owned()),
    }
}

/// Opens a connection before anything is sent, so that a request to an unreachable node is known
/// not to have run there.
async fn open_connection(
    context: &PortContext,
    peer: SocketAddr,
) -> Result<Connection, AttemptFailure> {
    let connection = context.peers.answering_connection(peer, CONNECT_TIMEOUT).await;
    connection.ok_or_else(|| {
        let detail = format!("forwarding to {peer}: cannot open a connection");
        AttemptFailure::new(Outcome::NotRun, ProblemKind::NoEndpoint, detail)
    })
}

fn forward_request(
    context: &PortContext,
    forward: &ForwardCall,
    left_ms: u64,
) -> pb::ForwardRequest {
    let call = &forward.call;
    let now_ms = context.clock.now_ms();
    pb::ForwardRequest {
        attempt_id: forward.attempt_id.to_vec(),
        organisation: call.organisation.to_string(),
        pool: call.pool.to_string(),
        method: call.method.to_string(),
        path_and_query: call.path_and_query.to_string(),
        headers: headers_to_pb(&call.headers),
        body: call.body.to_vec(),
        deadline_ms: left_ms,
        priority: call.priority.into(),
        idempotent: call.idempotent,
        claim_offset: call.claim_offset.map(offset_to_pb),
        dispatch_within_ms: call.dispatch_until_ms.map(|until_ms| until_ms.saturating_sub(now_ms)),
    }
}

async fn next_event(
    stream: &mut Streaming<pb::ForwardEvent>,
    connection: &Connection,
) -> Option<PbEvent> {
    let message = stream.message().await.ok().flatten()?;
    connection.note_answer();
    message.event
}

/// The rest of an answer that another node passes on.
struct ForwardedAnswer {
    stream: Streaming<pb::ForwardEvent>,
    connection: Connection,
    peer: SocketAddr,
    clock: Clock,
    deadline_ms: u64,
}

/// Passes on the parts of an answer; a stream that ends without an end event counts as cut.
///
/// A silent node may go on, so only the deadline ends the wait for it.
fn body(source: ForwardedAnswer) -> impl futures::Stream<Item = AnswerPart> {
    futures::stream::unfold(Some(source), |source| async move {
        let mut source = source?;
        let peer = source.peer;
        let broken = |problem, detail| {
            let failure = AttemptFailure::new(Outcome::Unknown, problem, detail);
            Some((AnswerPart::Broken(failure), None))
        };
        let left_ms = source.deadline_ms.saturating_sub(source.clock.now_ms());
        let event = next_event(&mut source.stream, &source.connection);
        let Ok(event) = timeout(Duration::from_millis(left_ms), event).await else {
            let detail = format!("{peer}: the deadline passed before the answer was complete");
            return broken(ProblemKind::DeadlineExceeded, detail);
        };
        match event {
            Some(PbEvent::Data(data)) => Some((AnswerPart::Data(Bytes::from(data)), Some(source))),
            Some(PbEvent::End(_)) => Some((AnswerPart::End, None)),
            Some(PbEvent::Failure(failure)) => {
                Some((AnswerPart::Broken(failure_from_pb(failure, peer)), None))
            }
            Some(PbEvent::Head(_)) | None => {
                broken(ProblemKind::AnswerTruncated, format!("the answer of {peer} was cut"))
            }
        }
    })
}

fn failure_from_pb(failure: pb::ForwardFailure, peer: SocketAddr) -> AttemptFailure {
    let outcome = match failure.outcome.as_str() {
        "not_run" => Outcome::NotRun,
        "completed" => Outcome::Completed,
        _ => Outcome::Unknown,
    };
    let problem = ProblemKind::from_type_uri(&failure.problem_type);
    let problem = problem.unwrap_or(ProblemKind::EndpointFailed);
    let detail = format!("{peer}: {}", failure.detail);
    let retry_after_ms = Some(failure.retry_after_ms).filter(|after_ms| *after_ms > 0);
    AttemptFailure { retry_after_ms, ..AttemptFailure::new(outcome, problem, detail) }
}
