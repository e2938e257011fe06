//! The gRPC service for other entry nodes.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::OnceLock;

use balsam_agent::table::lowest_folded;
use balsam_platform::LogClient;
use balsam_route::permit::DenyReason;
use balsam_route::permit::PermitId;
use balsam_route::permit::PermitReply;
use balsam_route::permit::PermitRequest;
use balsam_serve::AnswerPart;
use balsam_serve::AttemptFailure;
use balsam_serve::Call;
use balsam_serve::Front;
use balsam_types::GroupName;
use balsam_types::Offset;
use balsam_wire::pb::peer::v1 as pb;
use balsam_wire::pb::peer::v1::forward_event::Event as PbEvent;
use balsam_wire::pb::peer::v1::peer_server::Peer;
use balsam_wire::pb::record::v1 as record;
use balsam_wire::record::incarnation_from_pb;
use balsam_wire::record::offset_from_pb;
use balsam_wire::record::offset_to_pb;
use balsam_wire::record::parse_name;
use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use tokio::sync::oneshot;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::agent_task::AgentHandle;
use crate::agent_task::Message;
use crate::clock::Clock;
use crate::permits::OwnedPermits;
use crate::recent::RecentBatches;
use crate::telemetry::ControlMetrics;

/// Serves calls of other entry nodes.
pub(crate) struct PeerServer {
    pub(crate) clock: Clock,
    pub(crate) agent: AgentHandle,
    pub(crate) recent: Arc<RecentBatches>,
    pub(crate) permits: Arc<OwnedPermits>,
    pub(crate) front: Arc<OnceLock<Front>>,
    pub(crate) log_client: LogClient,
    pub(crate) append_timeout_ms: u64,
    pub(crate) metrics: Arc<ControlMetrics>,
}

type ForwardStream = Pin<Box<dyn Stream<Item = Result<pb::ForwardEvent, Status>> + Send>>;

#[tonic::async_trait]
impl Peer for PeerServer {
    type ForwardStream = ForwardStream;

    async fn gossip(
        &self,
        request: Request<pb::GossipMessage>,
    ) -> Result<Response<pb::GossipMessage>, Status> {
        let message = request.into_inner();
        self.metrics.count_peer_message("received", message.payload.len());
        let (reply_sender, reply_receiver) = oneshot::channel();
        self.agent.send_message(Message::Gossip(message.payload, reply_sender)).await;
        let payload = reply_receiver.await.map_err(|_| Status::unavailable("shutting down"))?;
        self.metrics.count_peer_message("sent", payload.len());
        Ok(Response::new(pb::GossipMessage { from_vm: String::new(), payload }))
    }

    async fn fetch_records(
        &self,
        request: Request<pb::FetchRecordsRequest>,
    ) -> Result<Response<pb::FetchRecordsResponse>, Status> {
        let pb::FetchRecordsRequest { from_append, max_entries } = request.into_inner();
        let recent_entries = self.recent.from(from_append, max_entries as usize);
        if let Some(entries) = recent_entries.filter(|_| from_append > 0) {
            let next_append = entries.last().map_or(from_append, |entry| entry.append + 1);
            let entries = entries.into_iter().map(|entry| pb::LogEntry {
                append: entry.append,
                appended_at_ms: entry.appended_at_ms,
                batch: entry.batch,
            });
            let entries = entries.collect();
            let answer = pb::FetchRecordsResponse { entries, next_append, snapshot: None };
            return Ok(Response::new(answer));
        }
        let state = self.agent.read(|agent, _| {
            let snapshot = agent.replicated.to_snapshot();
            agent.log.is_recovered.then(|| (agent.folded(), agent.log.next_append, snapshot))
        });
        let state = state.await.flatten();
        let (as_of, next_append, state) =
            state.ok_or_else(|| Status::unavailable("this node has no state yet"))?;
        let snapshot = snapshot_to_pb(as_of, state);
        let answer =
            pb::FetchRecordsResponse { entries: Vec::new(), next_append, snapshot: Some(snapshot) };
        Ok(Response::new(answer))
    }

    async fn relay_append(
        &self,
        request: Request<pb::RelayAppendRequest>,
    ) -> Result<Response<pb::RelayAppendResponse>, Status> {
        let batch = request.into_inner().batch;
        let appended = self.log_client.append(batch, self.append_timeout_ms).await;
        let appended = appended.map_err(|error| Status::unavailable(error.to_string()))?;
        Ok(Response::new(pb::RelayAppendResponse {
            append: appended.append,
            appended_at_ms: appended.appended_at_ms,
        }))
    }

    async fn forward(
        &self,
        request: Request<pb::ForwardRequest>,
    ) -> Result<Response<Self::ForwardStream>, Status> {
        let request = request.into_inner();
        let attempt_id = request.attempt_id.clone();
        let call = self.call(request).map_err(Status::invalid_argument)?;
        let front = self.front.get().ok_or_else(|| Status::unavailable("starting"))?.clone();
        let answer = match front.serve_forwarded(call).await {
            Ok(answer) => answer,
            Err(failure) => {
                let event = Ok(event(PbEvent::Failure(failure_to_pb(&failure))));
                return Ok(Response::new(Box::pin(futures::stream::iter([event]))));
            }
        };
        let head = event(PbEvent::Head(pb::ForwardHead {
            attempt_id,
            status: answer.status.into(),
            headers: headers_to_pb(&answer.headers),
        }));
        let parts = answer.body.map(|part| match part {
            AnswerPart::Data(data) => Ok(event(PbEvent::Data(data.to_vec()))),
            AnswerPart::End => Ok(event(PbEvent::End(pb::ForwardEnd {}))),
            AnswerPart::Broken(failure) => Ok(event(PbEvent::Failure(failure_to_pb(&failure)))),
        });
        let stream = futures::stream::iter([Ok(head)]).chain(parts);
        Ok(Response::new(Box::pin(stream)))
    }

    async fn acquire_permit(
        &self,
        request: Request<pb::AcquirePermitRequest>,
    ) -> Result<Response<pb::AcquirePermitResponse>, Status> {
        let request = request.into_inner();
        let invalid = |error: balsam_wire::DecodeError| Status::invalid_argument(error.to_string());
        let group: GroupName =
            parse_name(request.group, "AcquirePermitRequest").map_err(invalid)?;
        let sender = request.sender.ok_or_else(|| Status::invalid_argument("no sender"))?;
        let permit_request = PermitRequest {
            holder: incarnation_from_pb(sender).map_err(invalid)?,
            instance: Arc::from(request.instance),
            deadline_in_ms: request.request_deadline_ms,
        };
        let reply = self.permits.acquire(&group, permit_request, self.clock.now_ms());
        Ok(Response::new(self.permit_answer(reply)))
    }

    async fn folded(
        &self,
        _: Request<pb::FoldedRequest>,
    ) -> Result<Response<pb::FoldedResponse>, Status> {
        let offsets = self.agent.read(|agent, _| (agent.folded(), lowest_folded(agent)));
        let (offset, lowest) = offsets.await.ok_or_else(|| Status::unavailable("shutting down"))?;
        Ok(Response::new(pb::FoldedResponse {
            offset: Some(offset_to_pb(offset)),
            lowest_offset: Some(offset_to_pb(lowest)),
        }))
    }

    async fn release_permit(
        &self,
        request: Request<pb::ReleasePermitRequest>,
    ) -> Result<Response<pb::ReleasePermitResponse>, Status> {
        let request = request.into_inner();
        let invalid = |error: balsam_wire::DecodeError| Status::invalid_argument(error.to_string());
        let group: GroupName =
            parse_name(request.group, "ReleasePermitRequest").map_err(invalid)?;
        let sender = request.sender.ok_or_else(|| Status::invalid_argument("no sender"))?;
        let sender = incarnation_from_pb(sender).map_err(invalid)?;
        if let Some(permit) = request.permit {
            let owner_offset = permit.owner_offset.map(|offset| offset_from_pb(&offset));
            let owner_offset = owner_offset.unwrap_or_default();
            let id = PermitId { owner_offset, number: permit.number };
            self.permits.release(&group, id, &sender);
        }
        Ok(Response::new(pb::ReleasePermitResponse {}))
    }
}

impl PeerServer {
    fn call(&self, request: pb::ForwardRequest) -> Result<Call, String> {
        let now_ms = self.clock.now_ms();
        let message = "ForwardRequest";
        let to_text = |error: balsam_wire::DecodeError| error.to_string();
        Ok(Call {
            organisation: parse_name(request.organisation, message).map_err(to_text)?,
            pool: parse_name(request.pool, message).map_err(to_text)?,
            method: Method::from_bytes(request.method.as_bytes())
                .map_err(|_| "the method is invalid".to_owned())?,
            path_and_query: Arc::from(request.path_and_query),
            headers: headers_from_pb(request.headers)?,
            body: Bytes::from(request.body),
            deadline_ms: now_ms.saturating_add(request.deadline_ms),
            priority: u8::try_from(request.priority.min(9)).unwrap_or(9),
            idempotent: request.idempotent,
            claim_offset: request.claim_offset.as_ref().map(offset_from_pb),
            dispatch_until_ms: request
                .dispatch_within_ms
                .map(|within_ms| now_ms.saturating_add(within_ms)),
        })
    }

    fn permit_answer(&self, reply: Option<PermitReply>) -> pb::AcquirePermitResponse {
        let denied = |retry_after_ms, reason: &'static str| {
            self.metrics.count_permit_answer(reason);
            pb::AcquirePermitResponse { permit: None, retry_after_ms, reason: reason.to_owned() }
        };
        match reply {
            None => denied(500, "not_owner"),
            Some(PermitReply::Denied { retry_after_ms, reason }) => {
                denied(retry_after_ms, denial_label(reason))
            }
            Some(PermitReply::Granted(id)) => {
                self.metrics.count_permit_answer("granted");
                let owner_offset = Some(offset_to_pb(id.owner_offset));
                let permit = Some(pb::Permit { owner_offset, number: id.number });
                pb::AcquirePermitResponse { permit, ..pb::AcquirePermitResponse::default() }
            }
        }
    }
}

/// Returns the metrics label of a refusal, which nodes also send to each other as its reason.
pub(crate) const fn denial_label(reason: DenyReason) -> &'static str {
    match reason {
        DenyReason::Full => "full",
        DenyReason::Waiting => "new_owner_waits",
        DenyReason::NotFresh => "log_not_fresh",
        DenyReason::NotOwner => "not_owner",
        DenyReason::OtherReport => "other_report",
        DenyReason::Unpermitted => "unpermitted_requests",
        DenyReason::DeadlineTooLong => "deadline_too_long",
    }
}

fn snapshot_to_pb(as_of: Offset, state: Vec<u8>) -> record::Snapshot {
    record::Snapshot { as_of: Some(offset_to_pb(as_of)), state }
}

fn event(event: PbEvent) -> pb::ForwardEvent {
    pb::ForwardEvent { event: Some(event) }
}

fn failure_to_pb(failure: &AttemptFailure) -> pb::ForwardFailure {
    pb::ForwardFailure {
        outcome: failure.outcome.as_str().to_owned(),
        problem_type: failure.problem.type_uri().to_owned(),
        detail: failure.detail.clone(),
        status: failure.problem.status().as_u16().into(),
        retry_after_ms: failure.retry_after_ms.unwrap_or(0),
    }
}

/// Converts headers to protobuf.
pub(crate) fn headers_to_pb(headers: &HeaderMap) -> Vec<pb::Header> {
    let headers = headers.iter().map(|(name, value)| pb::Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    });
    headers.collect()
}

/// Converts headers from protobuf and checks them.
pub(crate) fn headers_from_pb(raw: Vec<pb::Header>) -> Result<HeaderMap, String> {
    let mut headers = HeaderMap::with_capacity(raw.len());
    for header in raw {
        let name = HeaderName::from_bytes(header.name.as_bytes())
            .map_err(|_| format!("header name {:?} is invalid", header.name))?;
        let value = HeaderValue::from_bytes(&header.value)
            .map_err(|_| format!("the value of header {name} is invalid"))?;
        headers.append(name, value);
    }
    Ok(headers)
}
