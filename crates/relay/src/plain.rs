//! Requests whose answer is a single body.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use balsam_fleet::Arrival;
use balsam_fleet::Refusal;
use balsam_fleet::event::AttemptOutcome;
use balsam_fleet::load::BACKOFF_MS;
use balsam_http::Conn;
use balsam_http::Reservation;
use balsam_http::headers::remove_hop_by_hop;
use balsam_types::VmName;
use bytes::Bytes;
use bytes::BytesMut;
use futures::FutureExt;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use http::Response;
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::answer::Body;
use crate::answer::EndpointAnswer;
use crate::answer::RequestFailure;
use crate::answer::caller_response;
use crate::attempt;
use crate::attempt::AttemptCounts;
use crate::attempt::AttemptFailure;
use crate::caller_conn::MEMORY_RETRY_INTERVAL;
use crate::front::Shared;
use crate::hub::Placement;
use crate::request::Request;

/// Maximum size of an answer, which is buffered whole before it is forwarded.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Size up to which an answer is read without a reservation. The callers' connections, some 2,500 on
/// the smallest VMs, bound the memory of these answers to 40 MB.
const UNRESERVED_ANSWER_BYTES: usize = 16 * 1024;

/// Time without a byte after which an attempt leaves its memory to another one of its request.
const STALLED_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves a request whose answer is a single body.
///
/// A request that may be repeated is tried at another endpoint when its answer is late. The first
/// attempt stays open meanwhile, because its answer may still arrive.
pub(crate) async fn serve(
    shared: &Shared,
    request: &Request,
) -> Result<Response<Body>, RequestFailure> {
    let mut attempts = Attempts {
        shared,
        request,
        large_answers: Arc::default(),
        open: FuturesUnordered::new(),
        tried: Vec::new(),
        counts: AttemptCounts::default(),
        last_number: 0,
        unfinished: BTreeSet::new(),
        running: 0,
        error_answer: None,
    };
    attempts.start(false);
    let mut late_after = Duration::ZERO;
    let mut late_at = None;
    loop {
        let step = tokio::select! {
            biased;
            Some(step) = attempts.open.next() => step,
            () = sleep_until(late_at.unwrap_or_else(Instant::now)), if late_at.is_some() => {
                late_at = None;
                attempts.start_beside_newest();
                continue;
            }
        };
        match step {
            Step::Placed { number, placement } => {
                if !attempts.open.is_empty() {
                    shared.hub.metrics.repeat("late");
                }
                attempts.tried.push(placement.target.vm.clone());
                attempts.running += 1;
                late_after = late_after_placement(request, &placement);
                late_at = attempts.late_at(late_after);
                let large_answers = attempts.large_answers.clone();
                let attempt = run_attempt(shared, request, large_answers, number, placement);
                attempts.open.push(attempt.boxed());
            }
            Step::Refused { number, refusal } => {
                attempts.unfinished.remove(&number);
                if attempts.open.is_empty() {
                    shared.log_refusal(request, &refusal);
                    return attempts.give_up(refusal.retry_after_ms);
                }
                late_at = attempts.late_at(late_after);
            }
            Step::Answered { answer, .. } if !answer.status.is_server_error() => {
                return Ok(caller_response(answer));
            }
            Step::Answered { number, answer } => {
                attempts.end(number);
                attempts.counts.count_possible_run();
                attempts.error_answer = Some(answer);
                if !attempts.continue_after(number, None) {
                    return attempts.give_up(0);
                }
            }
            Step::Failed { number, vm, failure } => {
                shared.log_attempt_failure(request, Some(&vm), &failure, false);
                attempts.end(number);
                attempts.counts.count_failure(&failure);
                if !attempts.continue_after(number, Some(&failure)) {
                    return attempts.give_up(BACKOFF_MS);
                }
            }
        }
    }
}

/// Returns after which time an answer is late: when it takes longer than those of its kind usually do.
/// Before any is known, half of the caller's time is left to another endpoint.
fn late_after_placement(request: &Request, placement: &Placement) -> Duration {
    let usual_ms = placement.target.usual_ms;
    Duration::from_millis(usual_ms.unwrap_or_else(|| request.left_ms() / 2))
}

/// The attempts of one request that hold a large answer in part.
type LargeAnswers = Mutex<BTreeMap<u32, LargeAnswer>>;

/// What one attempt holds of a large answer.
struct LargeAnswer {
    memory: Reservation,
    progress_at: Instant,
    /// Ends the attempt when its memory is taken for a newer one.
    end: Arc<Notify>,
}

/// A body that keeps its reservation until the caller has taken it.
struct ReservedBytes {
    bytes: BytesMut,
    _memory: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Keeps what an attempt holds among the large answers of its request until dropped.
struct HeldAnswer<'a> {
    large_answers: &'a LargeAnswers,
    number: u32,
    end: Arc<Notify>,
}

impl<'a> HeldAnswer<'a> {
    fn add(large_answers: &'a LargeAnswers, number: u32, memory: Reservation) -> Self {
        let end = Arc::new(Notify::new());
        let answer = LargeAnswer { memory, progress_at: Instant::now(), end: end.clone() };
        lock(large_answers).insert(number, answer);
        Self { large_answers, number, end }
    }

    fn record_progress(&self) {
        if let Some(answer) = lock(self.large_answers).get_mut(&self.number) {
            answer.progress_at = Instant::now();
        }
    }

    fn take_memory(&self) -> Option<Reservation> {
        lock(self.large_answers).remove(&self.number).map(|answer| answer.memory)
    }
}

impl Drop for HeldAnswer<'_> {
    fn drop(&mut self) {
        lock(self.large_answers).remove(&self.number);
    }
}

fn lock(large_answers: &LargeAnswers) -> MutexGuard<'_, BTreeMap<u32, LargeAnswer>> {
    large_answers.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits until the memory of an answer was taken for another attempt.
async fn ended(answer: Option<&HeldAnswer<'_>>) {
    match answer {
        Some(answer) => answer.end.notified().await,
        None => std::future::pending().await,
    }
}

/// Reserves memory for a large answer. An attempt of the same request whose answer stands still leaves
/// its memory to it: if one waited for the other, silent endpoints would hold back all answers.
async fn reserve_memory(
    shared: &Shared,
    large_answers: &LargeAnswers,
    bytes: usize,
) -> Reservation {
    let mut reserving = pin!(shared.reserve_answer(bytes));
    let mut timer = tokio::time::interval(MEMORY_RETRY_INTERVAL);
    loop {
        tokio::select! {
            biased;
            memory = reserving.as_mut() => return memory,
            _ = timer.tick() => {}
        }
        let memory = take_stalled(&mut lock(large_answers));
        if let Some(memory) = memory.filter(|memory| memory.bytes() >= bytes) {
            return memory;
        }
    }
}

/// Ends an attempt whose answer stands still; returns its memory.
fn take_stalled(large_answers: &mut BTreeMap<u32, LargeAnswer>) -> Option<Reservation> {
    let is_stalled = |answer: &LargeAnswer| answer.progress_at.elapsed() >= STALLED_TIMEOUT;
    let (number, _) = large_answers.iter().find(|(_, answer)| is_stalled(answer))?;
    let number = *number;
    let stalled = large_answers.remove(&number)?;
    stalled.end.notify_one();
    Some(stalled.memory)
}

/// What one attempt has reached.
enum Step {
    Placed { number: u32, placement: Placement },
    Refused { number: u32, refusal: Refusal },
    Answered { number: u32, answer: EndpointAnswer },
    Failed { number: u32, vm: VmName, failure: AttemptFailure },
}

/// The attempts of one request.
struct Attempts<'a> {
    shared: &'a Shared,
    request: &'a Request,
    large_answers: Arc<LargeAnswers>,
    open: FuturesUnordered<BoxFuture<'a, Step>>,
    tried: Vec<VmName>,
    /// The attempts that have ended.
    counts: AttemptCounts,
    last_number: u32,
    /// The numbers of the open attempts, placed or not.
    unfinished: BTreeSet<u32>,
    /// Number of open attempts that were assigned to an endpoint, which may run each of them.
    running: u32,
    error_answer: Option<EndpointAnswer>,
}

impl<'a> Attempts<'a> {
    fn start(&mut self, is_optional: bool) {
        self.last_number += 1;
        let number = self.last_number;
        self.unfinished.insert(number);
        let is_retry = self.running > 0 || self.counts.has_reached_endpoint();
        let arrival = Arrival { is_optional, ..self.request.arrival(&self.tried, is_retry, false) };
        let shared: &'a Shared = self.shared;
        let placing = async move {
            match shared.hub.place(arrival).await {
                Ok(placement) => Step::Placed { number, placement },
                Err(refusal) => Step::Refused { number, refusal },
            }
        };
        self.open.push(placing.boxed());
    }

    /// Ends an attempt that was assigned to an endpoint.
    fn end(&mut self, number: u32) {
        self.unfinished.remove(&number);
        self.running -= 1;
    }

    /// Whether another attempt is allowed beside the open ones.
    fn allows_another(&self) -> bool {
        self.counts.allows_retry_beside(self.request, self.unfinished.len() as u32)
    }

    /// Returns when the answer of the newest attempt is late; `None` if no other attempt is allowed beside
    /// it, or if it would begin after the caller has left.
    fn late_at(&self, late_after: Duration) -> Option<Instant> {
        let is_useful = late_after < Duration::from_millis(self.request.left_ms());
        (is_useful && self.allows_another()).then(|| Instant::now() + late_after)
    }

    /// Starts another attempt beside the newest one, whose answer is late.
    fn start_beside_newest(&mut self) {
        if self.allows_another() {
            self.start(true);
        }
    }

    /// Starts another attempt after one that failed, if no newer one is open and the route allows it;
    /// returns whether an attempt is open.
    fn continue_after(&mut self, number: u32, failure: Option<&AttemptFailure>) -> bool {
        let is_newest = self.unfinished.last().is_none_or(|newest| *newest < number);
        if is_newest && self.allows_another() {
            if let Some(failure) = failure {
                self.shared.hub.metrics.repeat(failure.as_str());
            }
            self.start(false);
        }
        !self.open.is_empty()
    }

    fn give_up(self, retry_after_ms: u64) -> Result<Response<Body>, RequestFailure> {
        match self.error_answer {
            // The endpoint's error answer is more informative than the lack of another endpoint.
            Some(answer) => Ok(caller_response(answer)),
            None if self.counts.may_have_run() && self.request.left_ms() == 0 => {
                Err(RequestFailure::TimedOut)
            }
            None if self.counts.may_have_run() => Err(RequestFailure::MayHaveRun),
            None => Err(RequestFailure::NotRun { retry_after_ms }),
        }
    }
}

/// Runs one attempt and reads its complete answer.
async fn run_attempt(
    shared: &Shared,
    request: &Request,
    large_answers: Arc<LargeAnswers>,
    number: u32,
    mut placement: Placement,
) -> Step {
    let left = Duration::from_millis(request.left_ms());
    let exchange = async {
        let sent = attempt::send(shared, request, &placement.target, None).await?;
        read_answer(shared, &large_answers, number, sent).await
    };
    let result = match timeout(left, exchange).await {
        Ok(result) => result,
        Err(_) => Err(AttemptFailure::Broken(format!(
            "endpoint {}: no whole answer within {} ms",
            placement.target.address,
            left.as_millis()
        ))),
    };
    match result {
        Ok(answer) => {
            placement.progress();
            placement.end(match answer.status.is_server_error() {
                true => AttemptOutcome::Failed,
                false => AttemptOutcome::Answered,
            });
            Step::Answered { number, answer }
        }
        Err(failure) => {
            let vm = placement.target.vm.clone();
            placement.end(failure.outcome());
            Step::Failed { number, vm, failure }
        }
    }
}

/// Reads a complete answer and returns the connection to the pool if it ended properly.
///
/// A large answer reserves memory for its whole size before more of it is read, and waits if there is
/// none: its endpoint may have run the request, so that the answer could not be had again.
async fn read_answer(
    shared: &Shared,
    large_answers: &LargeAnswers,
    number: u32,
    (mut conn, response): (Conn, Response<Incoming>),
) -> Result<EndpointAnswer, AttemptFailure> {
    let (mut head, mut body) = response.into_parts();
    let stated_bytes = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
    let mut answer_bytes = BytesMut::new();
    let mut large_answer = None;
    loop {
        let frame = tokio::select! {
            frame = conn.driver.drive(body.frame()) => frame,
            () = ended(large_answer.as_ref()) => {
                let cause = "its memory was needed for another attempt of the request";
                return Err(AttemptFailure::Broken(cause.to_owned()));
            }
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|error| attempt::body_read_failure(&error))?;
        let Ok(data) = frame.into_data() else { continue };
        let read_bytes = answer_bytes.len() + data.len();
        if read_bytes.max(stated_bytes.unwrap_or(0)) > MAX_ANSWER_BYTES {
            return Err(AttemptFailure::Faulty("the answer exceeds the limit".to_owned()));
        }
        if read_bytes > UNRESERVED_ANSWER_BYTES {
            let bytes = stated_bytes.unwrap_or(MAX_ANSWER_BYTES);
            match &large_answer {
                Some(large_answer) => large_answer.record_progress(),
                None => {
                    let memory = reserve_memory(shared, large_answers, bytes).await;
                    large_answer = Some(HeldAnswer::add(large_answers, number, memory));
                }
            }
            // Growing step by step would leave buffers of all sizes behind.
            answer_bytes.reserve(bytes.max(read_bytes) - answer_bytes.len());
        }
        answer_bytes.extend_from_slice(&data);
    }
    let keep_alive = attempt::keep_alive_duration(&head.headers, shared.options.endpoint_idle());
    shared.client.return_connection(conn, keep_alive);
    remove_hop_by_hop(&mut head.headers);
    let body = match large_answer.and_then(|large_answer| large_answer.take_memory()) {
        Some(memory) => Bytes::from_owner(ReservedBytes { bytes: answer_bytes, _memory: memory }),
        None => answer_bytes.freeze(),
    };
    Ok(EndpointAnswer { status: head.status, headers: head.headers, body })
}
