//! Requests whose answer is a single body.

use std::sync::atomic::Ordering;
use std::time::Duration;

use balsam_fleet::event::AttemptOutcome;
use balsam_http::Conn;
use balsam_http::headers::remove_hop_by_hop;
use balsam_types::VmName;
use bytes::Bytes;
use bytes::BytesMut;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::answer::Body;
use crate::answer::EndpointAnswer;
use crate::answer::RequestFailure;
use crate::answer::caller_response;
use crate::attempt;
use crate::attempt::AttemptCounts;
use crate::attempt::AttemptFailure;
use crate::front::Shared;
use crate::hub::Placement;
use crate::request::Request;

/// Maximum size of an answer, which is buffered whole before it is forwarded.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Maximum total size of the buffered answers; the smallest VMs have 160 MB of memory.
const MAX_BUFFERED_BYTES: usize = 48 * 1024 * 1024;

/// Serves a request whose answer is a single body.
pub(crate) async fn serve(
    shared: &Shared,
    request: &Request,
) -> Result<Response<Body>, RequestFailure> {
    let mut tried: Vec<VmName> = Vec::new();
    let mut error_answer: Option<EndpointAnswer> = None;
    let mut counts = AttemptCounts::default();
    loop {
        let arrival = request.arrival(&tried, counts.has_reached_endpoint(), false);
        let placement = match shared.hub.place(arrival).await {
            Ok(placement) => placement,
            Err(refusal) => {
                shared.log_refusal(request, &refusal);
                return give_up(request, error_answer, &counts, refusal.retry_after_ms);
            }
        };
        tried.push(placement.target.vm.clone());
        match run_attempt(shared, request, placement, counts.possible_runs()).await {
            Ok(answer) if !answer.status.is_server_error() => return Ok(caller_response(answer)),
            Ok(answer) => {
                counts.count_possible_run();
                if !counts.allows_retry(request) {
                    return Ok(caller_response(answer));
                }
                error_answer = Some(answer);
            }
            Err(failure) => {
                shared.log_attempt_failure(request, &tried, &failure, false);
                counts.count_failure(&failure);
                if !counts.allows_retry(request) {
                    return give_up(
                        request,
                        error_answer,
                        &counts,
                        shared.options.turned_away_retry_after_ms,
                    );
                }
                shared.hub.metrics.repeat(failure.as_str());
            }
        }
    }
}

fn give_up(
    request: &Request,
    error_answer: Option<EndpointAnswer>,
    counts: &AttemptCounts,
    retry_after_ms: u64,
) -> Result<Response<Body>, RequestFailure> {
    match error_answer {
        // The endpoint's error answer is more informative than the lack of another endpoint.
        Some(answer) => Ok(caller_response(answer)),
        None if counts.may_have_run() && request.left_ms() == 0 => Err(RequestFailure::TimedOut),
        None if counts.may_have_run() => Err(RequestFailure::MayHaveRun),
        None => Err(RequestFailure::NotRun { retry_after_ms }),
    }
}

/// Runs one attempt and reads its complete answer.
async fn run_attempt(
    shared: &Shared,
    request: &Request,
    mut placement: Placement,
    possible_runs: u32,
) -> Result<EndpointAnswer, AttemptFailure> {
    let may_repeat = request.route.kind.may_repeat();
    let left = Duration::from_millis(request.left_ms());
    // While a retry is allowed, trying another endpoint is better than waiting any longer.
    let answer_timeout = match may_repeat && possible_runs + 1 < request.route.max_attempts {
        true => left.min(Duration::from_millis(request.route.target_ms)),
        false => left,
    };
    let exchange = async {
        let sent = attempt::send(shared, request, &placement, None, answer_timeout).await?;
        read_answer(shared, sent).await
    };
    let result = match timeout(answer_timeout, exchange).await {
        Ok(result) => result,
        Err(_) => Err(AttemptFailure::Broken(format!(
            "endpoint {}: no whole answer within {} ms",
            placement.target.address,
            answer_timeout.as_millis()
        ))),
    };
    match &result {
        Ok(answer) => {
            placement.progress();
            let is_failure = answer.status.is_server_error();
            placement.end(if is_failure {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Answered
            });
        }
        Err(failure) => placement.end(failure.outcome()),
    }
    result
}

/// Reads a complete answer and returns the connection to the pool if it ended properly.
async fn read_answer(
    shared: &Shared,
    (mut conn, response): (Conn, Response<Incoming>),
) -> Result<EndpointAnswer, AttemptFailure> {
    let (mut head, mut body) = response.into_parts();
    let mut answer_bytes = BytesMut::new();
    let mut buffered = BufferedAnswer { shared, bytes: 0 };
    while let Some(frame) = conn.driver.drive(body.frame()).await {
        let frame = frame.map_err(|error| attempt::body_read_failure(&error))?;
        let Ok(data) = frame.into_data() else { continue };
        let all_bytes = buffered.add(data.len());
        if buffered.bytes > MAX_ANSWER_BYTES || all_bytes > MAX_BUFFERED_BYTES {
            return Err(AttemptFailure::Faulty("the answer exceeds the limit".to_owned()));
        }
        answer_bytes.extend_from_slice(&data);
    }
    drop(buffered);
    let keep_alive = attempt::keep_alive_duration(&head.headers, shared.options.endpoint_idle());
    shared.client.return_connection(conn, keep_alive);
    remove_hop_by_hop(&mut head.headers);
    let body: Bytes = answer_bytes.freeze();
    Ok(EndpointAnswer { status: head.status, headers: head.headers, body })
}

/// Adds the size of one buffered answer to the shared total until dropped.
struct BufferedAnswer<'a> {
    shared: &'a Shared,
    bytes: usize,
}

impl BufferedAnswer<'_> {
    /// Counts more bytes; returns the total of all answers.
    fn add(&mut self, bytes: usize) -> usize {
        self.bytes += bytes;
        self.shared.buffered_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes
    }
}

impl Drop for BufferedAnswer<'_> {
    fn drop(&mut self) {
        self.shared.buffered_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
