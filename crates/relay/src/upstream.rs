//! One attempt of a streamed request: from its placement to the end of the endpoint's answer.

use std::pin::pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use balsam_fleet::Refusal;
use balsam_fleet::Target;
use balsam_fleet::event::AttemptOutcome;
use balsam_http::Conn;
use balsam_http::Reservation;
use balsam_http::RunOrder;
use balsam_http::Splitter;
use balsam_http::headers::remove_hop_by_hop;
use balsam_types::VmName;
use bytes::Bytes;
use bytes::BytesMut;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::answer::EndpointAnswer;
use crate::attempt;
use crate::attempt::AttemptFailure;
use crate::front::Shared;
use crate::hub::Advice;
use crate::hub::Placement;
use crate::request::Request;

/// Maximum size of one event, and of the comments between two events.
pub(crate) const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Bytes of an unfinished event, of comments or of an answer that is no stream that an attempt holds
/// without a reservation. The callers' connections, some 2,500 on the smallest VMs, bound their sum.
const UNRESERVED_BYTES: usize = 8 * 1024;

/// Steps in which memory is reserved for more of them.
const RESERVED_STEP_BYTES: usize = 32 * 1024;

/// Reserved bytes per byte that is held, because a buffer that grows has spare capacity.
const RESERVED_PER_HELD_BYTE: usize = 2;

/// What an attempt has reached.
pub(crate) enum Progress {
    /// The request was assigned to an endpoint after this time.
    Placed { vm: VmName, waited: Duration },
    /// Bytes of the stream arrived.
    Data,
    /// The stream ended.
    End,
    /// No endpoint takes the request.
    Refused(Refusal),
    /// The endpoint gave a whole answer that is not a stream.
    Answer(EndpointAnswer),
    /// The attempt failed.
    Failed(AttemptFailure),
    /// The endpoint's group is considered lost.
    GroupLost,
}

type SendResult = Result<(Conn, Response<Incoming>), AttemptFailure>;

enum Stage {
    Placing(BoxFuture<'static, Result<Placement, Refusal>>),
    Sending(BoxFuture<'static, SendResult>),
    Streaming {
        conn: Conn,
        body: Incoming,
    },
    /// The answer is not a stream and is collected whole.
    Collecting {
        conn: Conn,
        body: Incoming,
        status: StatusCode,
        bytes: BytesMut,
    },
    Ended,
}

/// An attempt whose answer is being read from an endpoint.
pub(crate) struct Upstream {
    shared: Arc<Shared>,
    request: Arc<Request>,
    last_event_id: Option<u64>,
    stage: Stage,
    placement: Option<Placement>,
    /// The headers of the answer, without those of the connection.
    pub head: Option<HeaderMap>,
    keep_alive: Duration,
    /// Whether the answer states its end itself, by a length or chunks, rather than by the end of
    /// the connection.
    pub is_framed: bool,
    /// The bytes of the stream that were not taken yet.
    pub splitter: Splitter,
    /// How far its events have come.
    pub order: RunOrder,
    /// Comments that the caller gets with the next event of this attempt.
    pub held_back: BytesMut,
    /// Bytes since the last event with data.
    pub bytes_since_data: usize,
    /// The memory that is reserved for the bytes held by this attempt.
    memory: Reservation,
    /// A fault after the events that were taken last.
    pub fault: Option<AttemptFailure>,
    /// When the endpoint was last heard of by this attempt.
    pub progress_at: Instant,
    /// Whether another attempt is tried because this one is silent.
    pub is_superseded: bool,
    /// Whether the fleet considers the endpoint's group lost.
    pub is_group_lost: bool,
}

impl Upstream {
    /// Starts an attempt, which continues after an event if the caller has it, from the caller's own
    /// request or from an earlier attempt.
    pub fn start(
        shared: Arc<Shared>,
        request: Arc<Request>,
        arrival: balsam_fleet::Arrival,
        last_event_id: Option<u64>,
    ) -> Self {
        let order = RunOrder::new(arrival.has_partial_answer);
        let hub = shared.hub.clone();
        Self {
            shared,
            request,
            last_event_id,
            stage: Stage::Placing(async move { hub.place(arrival).await }.boxed()),
            placement: None,
            head: None,
            keep_alive: Duration::ZERO,
            is_framed: false,
            splitter: Splitter::default(),
            order,
            held_back: BytesMut::new(),
            bytes_since_data: 0,
            memory: Reservation::default(),
            fault: None,
            progress_at: Instant::now(),
            is_superseded: false,
            is_group_lost: false,
        }
    }

    /// Whether the request was assigned to an endpoint.
    pub fn is_placed(&self) -> bool {
        self.placement.is_some()
    }

    /// Whether an event of the answer arrived.
    pub fn is_started(&self) -> bool {
        self.placement.as_ref().is_some_and(Placement::is_started)
    }

    /// Returns where the request was sent, if it was.
    pub fn target(&self) -> Option<&Target> {
        self.placement.as_ref().map(|placement| &placement.target)
    }

    /// Returns the endpoint, if the request was assigned to one.
    pub fn vm(&self) -> Option<&VmName> {
        self.target().map(|target| &target.vm)
    }

    /// Reserves memory for what was read and not taken yet, if it is much. Fails at once if none is
    /// left: each of many attempts may hold an event that never ends.
    pub fn reserve_memory(&mut self) -> Result<(), AttemptFailure> {
        let held_bytes = self.splitter.pending_bytes() + self.held_back.len();
        if held_bytes <= UNRESERVED_BYTES {
            self.memory = Reservation::default();
            return Ok(());
        }
        reserve(&self.shared, &mut self.memory, held_bytes)
    }

    /// Records that an event of the answer arrived.
    pub fn record_event(&mut self) {
        if let Some(placement) = &mut self.placement {
            placement.progress();
        }
    }

    /// Ends the attempt with this outcome and closes its connection.
    pub fn end(self, outcome: AttemptOutcome) {
        if let Some(placement) = self.placement {
            placement.end(outcome);
        }
    }

    /// Ends an attempt whose answer was read to its end and returns its connection to the pool.
    pub fn complete(self, outcome: AttemptOutcome) {
        if let Some(placement) = self.placement {
            placement.end(outcome);
        }
        if let Stage::Streaming { conn, .. } | Stage::Collecting { conn, .. } = self.stage {
            self.shared.client.return_connection(conn, self.keep_alive);
        }
    }

    /// Polls for the next progress.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Progress> {
        if let Some(fault) = self.fault.take() {
            return Poll::Ready(Progress::Failed(fault));
        }
        let progress = self.poll_answer(cx);
        if progress.is_ready() {
            self.progress_at = Instant::now();
            return progress;
        }
        let Some(placement) = &mut self.placement else { return Poll::Pending };
        Poll::Ready(match ready!(placement.poll_advice(cx)) {
            Advice::TryElsewhere => {
                self.is_group_lost = true;
                Progress::GroupLost
            }
            Advice::Withdraw => Progress::Failed(AttemptFailure::Withdrawn),
        })
    }

    fn poll_answer(&mut self, cx: &mut Context<'_>) -> Poll<Progress> {
        loop {
            match &mut self.stage {
                Stage::Placing(placing) => {
                    let placement = match ready!(placing.poll_unpin(cx)) {
                        Ok(placement) => placement,
                        Err(refusal) => {
                            self.stage = Stage::Ended;
                            return Poll::Ready(Progress::Refused(refusal));
                        }
                    };
                    let vm = placement.target.vm.clone();
                    self.stage = Stage::Sending(self.send(&placement));
                    self.placement = Some(placement);
                    let waited = self.progress_at.elapsed();
                    return Poll::Ready(Progress::Placed { vm, waited });
                }
                Stage::Sending(sending) => match ready!(sending.poll_unpin(cx)) {
                    Ok((conn, response)) => self.read_head(conn, response),
                    Err(failure) => {
                        self.stage = Stage::Ended;
                        return Poll::Ready(Progress::Failed(failure));
                    }
                },
                Stage::Streaming { conn, body } => {
                    let progress = match ready!(poll_chunk(conn, body, cx)) {
                        Ok(Some(data)) => {
                            self.splitter.push(data);
                            match self.splitter.pending_bytes() <= MAX_EVENT_BYTES {
                                true => Progress::Data,
                                false => faulty("an event exceeds the limit"),
                            }
                        }
                        Ok(None) => Progress::End,
                        Err(failure) => Progress::Failed(failure),
                    };
                    return Poll::Ready(progress);
                }
                Stage::Collecting { conn, body, status, bytes } => {
                    match ready!(poll_chunk(conn, body, cx)) {
                        Ok(Some(data)) if bytes.len() + data.len() <= MAX_EVENT_BYTES => {
                            bytes.extend_from_slice(&data);
                            if bytes.len() > UNRESERVED_BYTES
                                && let Err(failure) =
                                    reserve(&self.shared, &mut self.memory, bytes.len())
                            {
                                return Poll::Ready(Progress::Failed(failure));
                            }
                        }
                        Ok(Some(_)) => return Poll::Ready(faulty("the answer exceeds the limit")),
                        Ok(None) => {
                            return Poll::Ready(Progress::Answer(EndpointAnswer {
                                status: *status,
                                headers: self.head.take().unwrap_or_default(),
                                body: std::mem::take(bytes).freeze(),
                            }));
                        }
                        Err(failure) => return Poll::Ready(Progress::Failed(failure)),
                    }
                }
                Stage::Ended => return Poll::Pending,
            }
        }
    }

    fn send(&self, placement: &Placement) -> BoxFuture<'static, SendResult> {
        let (shared, request) = (self.shared.clone(), self.request.clone());
        let (target, last_event_id) = (placement.target.clone(), self.last_event_id);
        let sending = async move { attempt::send(&shared, &request, &target, last_event_id).await };
        sending.boxed()
    }

    fn read_head(&mut self, conn: Conn, response: Response<Incoming>) {
        let (mut head, body) = response.into_parts();
        self.keep_alive =
            attempt::keep_alive_duration(&head.headers, self.shared.options.endpoint_idle());
        self.is_framed = head.headers.contains_key(header::CONTENT_LENGTH)
            || head.headers.contains_key(header::TRANSFER_ENCODING);
        remove_hop_by_hop(&mut head.headers);
        self.head = Some(head.headers);
        self.progress_at = Instant::now();
        self.stage = match head.status {
            StatusCode::OK => Stage::Streaming { conn, body },
            status => Stage::Collecting { conn, body, status, bytes: BytesMut::new() },
        };
    }
}

/// Reserves as much as the held bytes need beyond what is reserved already.
fn reserve(
    shared: &Shared,
    memory: &mut Reservation,
    held_bytes: usize,
) -> Result<(), AttemptFailure> {
    let needed_bytes = RESERVED_PER_HELD_BYTE * held_bytes.next_multiple_of(RESERVED_STEP_BYTES);
    let missing_bytes = needed_bytes.saturating_sub(memory.bytes());
    match missing_bytes == 0 || shared.try_reserve_answer(memory, missing_bytes) {
        true => Ok(()),
        false => Err(AttemptFailure::Broken("no memory is left for its answer".to_owned())),
    }
}

fn faulty(cause: &str) -> Progress {
    Progress::Failed(AttemptFailure::Faulty(cause.to_owned()))
}

/// Reads the next chunk of a body; `None` at its end.
fn poll_chunk(
    conn: &mut Conn,
    body: &mut Incoming,
    cx: &mut Context<'_>,
) -> Poll<Result<Option<Bytes>, AttemptFailure>> {
    loop {
        // Neither future keeps state between polls.
        match ready!(pin!(conn.driver.drive(body.frame())).poll(cx)) {
            None => return Poll::Ready(Ok(None)),
            Some(Err(error)) => return Poll::Ready(Err(attempt::body_read_failure(&error))),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Poll::Ready(Ok(Some(data)));
                }
            }
        }
    }
}
