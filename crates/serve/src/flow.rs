//! The attempts of one request: where each one runs, and when a retry is allowed.

use std::sync::Arc;
use std::time::Duration;

use balsam_route::RemoteDataCentre;
use balsam_route::retry::MIN_ATTEMPT_MS;
use balsam_types::Outcome;
use futures::StreamExt;
use futures::future;
use futures::stream;

use crate::attempt;
use crate::caller::not_run;
use crate::ports::AnswerPart;
use crate::ports::AttemptAnswer;
use crate::ports::AttemptFailure;
use crate::ports::Call;
use crate::ports::ForwardCall;
use crate::problem::ProblemKind;
use crate::shared::Shared;
use crate::target::AttemptHistory;
use crate::target::Target;

/// Minimum delay between two requests for a permit, whatever delay the owner returns.
const MIN_PERMIT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Runs attempts until one returns the start of an answer or no retry is allowed.
///
/// An attempt that certainly did not run may always be retried. After one that may have run, only
/// an idempotent request is retried, and only while nothing was sent to the caller.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    call: &Call,
    may_forward: bool,
) -> Result<AttemptAnswer, AttemptFailure> {
    let mut history = AttemptHistory::default();
    let mut last_failure: Option<AttemptFailure> = None;
    let mut attempt = 0;
    while attempt < shared.options.max_attempts {
        if shared.time_left(call.deadline_ms).is_zero() {
            let deadline_failure = not_run(ProblemKind::DeadlineExceeded, "the deadline passed");
            return Err(combine(last_failure, deadline_failure));
        }
        let table = (shared.ports.table)();
        let now_ms = (shared.ports.now_ms)();
        let Some(pool) = table.pools.get(&call.pool) else {
            let detail = format!("the pool {} is not known", call.pool);
            return Err(combine(last_failure, not_run(ProblemKind::NoEndpoint, detail)));
        };
        let is_drained = table.local_drained;
        // Limits how many owners one request asks for a permit before it waits.
        let is_permit_limit_reached =
            history.permit_refused_groups.len() >= shared.options.max_attempts as usize;
        let target = match last_failure.take_if(|_| is_permit_limit_reached) {
            Some(failure) => Err(failure),
            None => {
                shared.target_selector.choose(pool, call, now_ms, is_drained, may_forward, &history)
            }
        };
        let target = match target {
            Ok(target) => target,
            // The failure of an attempt is more useful to the caller than "no further endpoint".
            Err(no_target) => {
                let failure = last_failure.take().unwrap_or(no_target);
                if history.permit_refused_groups.is_empty() {
                    return Err(failure);
                }
                let Some(delay) = permit_retry_delay(shared, call, &failure) else {
                    return Err(failure);
                };
                tokio::time::sleep(delay).await;
                history.groups.retain(|group| !history.permit_refused_groups.contains(group));
                history.permit_refused_groups.clear();
                last_failure = Some(failure);
                continue;
            }
        };
        attempt += 1;
        if attempt > 1 {
            shared.metrics.retries.add(1, &[]);
        }
        let result = match target {
            Target::Local(target) => {
                history.groups.push(target.group().group.clone());
                let load = target.load();
                let result = attempt::run(shared, call, target).await;
                if result.as_ref().is_err_and(may_have_restarted) {
                    load.mark_suspect((shared.ports.now_ms)());
                }
                result
            }
            Target::Remote(remote) => {
                history.data_centres.push(remote.data_centre.clone());
                forward(shared, call, remote).await
            }
        };
        let failure = match await_first_part(result).await {
            Ok(answer) => {
                shared.target_selector.record_success(&call.pool, now_ms);
                return Ok(answer);
            }
            Err(failure) => failure,
        };
        if failure.is_permit_refused {
            // Nothing reached an endpoint, so the attempt is not counted. Other groups and data
            // centres are tried first; this group is asked again only after a delay.
            attempt -= 1;
            history.permit_refused_groups.extend(history.groups.last().cloned());
            last_failure = Some(match last_failure.take() {
                // Do not repeat the same detail for each refused permit.
                Some(earlier) if earlier.is_permit_refused => {
                    AttemptFailure { outcome: earlier.outcome.combine(failure.outcome), ..failure }
                }
                earlier => combine(earlier, failure),
            });
            continue;
        }
        let now_ms = (shared.ports.now_ms)();
        let is_retry_allowed = shared.target_selector.may_retry(call, &failure, attempt, now_ms);
        let failure = combine(last_failure.take(), failure);
        if !is_retry_allowed {
            return Err(failure);
        }
        if failure.is_connection_failure
            && let Some(group) =
                history.groups.pop_if(|group| !history.fresh_connection_groups.contains(group))
        {
            history.fresh_connection_groups.push(group);
        }
        last_failure = Some(failure);
    }
    Err(last_failure.unwrap_or_else(|| not_run(ProblemKind::NoEndpoint, "no attempt was allowed")))
}

/// Returns the delay before the owner is asked for a permit again; `None` if that is too late.
fn permit_retry_delay(shared: &Shared, call: &Call, failure: &AttemptFailure) -> Option<Duration> {
    let min_delay =
        Duration::from_millis(failure.retry_after_ms.unwrap_or(0)).max(MIN_PERMIT_RETRY_DELAY);
    // Jitter, so that senders refused at the same time do not retry at the same time.
    let delay = min_delay.mul_f64(rand::random_range(1.0..1.5));
    let until_ms = call.deadline_ms.min(call.dispatch_until_ms.unwrap_or(u64::MAX));
    (delay + Duration::from_millis(MIN_ATTEMPT_MS) < shared.time_left(until_ms)).then_some(delay)
}

/// Whether the endpoint's process may have exited, so that its successor starts cold.
fn may_have_restarted(failure: &AttemptFailure) -> bool {
    let endpoint_problems = [ProblemKind::EndpointRefused, ProblemKind::EndpointFailed];
    !failure.is_connection_failure && endpoint_problems.contains(&failure.problem)
}

async fn forward(
    shared: &Shared,
    call: &Call,
    remote: RemoteDataCentre,
) -> Result<AttemptAnswer, AttemptFailure> {
    shared.metrics.attempts.add(1, &[]);
    let attempt_id = uuid::Uuid::new_v4().into_bytes();
    let data_centre = remote.data_centre.clone();
    let forwarded = (shared.ports.forward)(ForwardCall { attempt_id, remote, call: call.clone() });
    match tokio::time::timeout(shared.time_left(call.deadline_ms), forwarded).await {
        Ok(result) => result,
        Err(_) => Err(AttemptFailure::new(
            Outcome::Unknown,
            ProblemKind::DeadlineExceeded,
            format!("data centre {data_centre}: no answer before the deadline"),
        )),
    }
}

/// Waits for the first part of the body, so that an answer that fails before it can be retried.
async fn await_first_part(
    result: Result<AttemptAnswer, AttemptFailure>,
) -> Result<AttemptAnswer, AttemptFailure> {
    let AttemptAnswer { status, headers, mut body } = result?;
    let first = match body.next().await {
        Some(AnswerPart::Broken(failure)) => return Err(failure),
        Some(part) => part,
        None => {
            let detail = "the answer ended without an end marker";
            let kind = ProblemKind::AnswerTruncated;
            return Err(AttemptFailure::new(Outcome::Unknown, kind, detail));
        }
    };
    let body = stream::once(future::ready(first)).chain(body).boxed();
    Ok(AttemptAnswer { status, headers, body })
}

/// Combines the failures of two attempts; the later one determines the problem reported.
fn combine(earlier: Option<AttemptFailure>, later: AttemptFailure) -> AttemptFailure {
    let Some(earlier) = earlier else {
        return later;
    };
    let outcome = earlier.outcome.combine(later.outcome);
    AttemptFailure { outcome, detail: format!("{}; {}", earlier.detail, later.detail), ..later }
}
