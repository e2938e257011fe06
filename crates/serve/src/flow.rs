//! Attempts at one request: where they run, and when another one is allowed.

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
use crate::target::Target;
use crate::target::Tried;

/// Least time between two questions for a permit, whatever the owner answers.
const MIN_PERMIT_WAIT: Duration = Duration::from_millis(50);

/// Runs attempts until one gives the start of an answer or no other one is allowed.
///
/// An attempt that certainly did not run may always be followed by another one. After one that may
/// have run, only an idempotent request is tried again, and only while nothing was passed on.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    call: &Call,
    may_forward: bool,
) -> Result<AttemptAnswer, AttemptFailure> {
    let mut tried = Tried::default();
    let mut last: Option<AttemptFailure> = None;
    let mut attempt = 0;
    while attempt < shared.options.max_attempts {
        if shared.left(call.deadline_ms).is_zero() {
            let late = not_run(ProblemKind::DeadlineExceeded, "the deadline passed");
            return Err(combine(last, late));
        }
        let table = (shared.ports.table)();
        let now_ms = (shared.ports.now_ms)();
        let Some(pool) = table.pools.get(&call.pool) else {
            let detail = format!("the pool {} is not known", call.pool);
            return Err(combine(last, not_run(ProblemKind::NoEndpoint, detail)));
        };
        let drained = table.local_drained;
        // A bound on the owners that one request asks at a time.
        let asked_enough = tried.refused_permit.len() >= shared.options.max_attempts as usize;
        let target = match last.take_if(|_| asked_enough) {
            Some(failure) => Err(failure),
            None => shared.targets.choose(pool, call, now_ms, drained, may_forward, &tried),
        };
        let target = match target {
            Ok(target) => target,
            // The failure of an attempt says more than the lack of another endpoint.
            Err(none) => {
                let failure = last.take().unwrap_or(none);
                if tried.refused_permit.is_empty() {
                    return Err(failure);
                }
                let Some(wait) = permit_wait(shared, call, &failure) else {
                    return Err(failure);
                };
                tokio::time::sleep(wait).await;
                tried.groups.retain(|group| !tried.refused_permit.contains(group));
                tried.refused_permit.clear();
                last = Some(failure);
                continue;
            }
        };
        attempt += 1;
        if attempt > 1 {
            shared.metrics.retries.add(1, &[]);
        }
        let result = match target {
            Target::Local(target) => {
                tried.groups.push(target.group().group.clone());
                let load = target.load();
                let result = attempt::run(shared, call, target).await;
                if result.as_ref().is_err_and(may_have_restarted) {
                    load.suspect((shared.ports.now_ms)());
                }
                result
            }
            Target::Remote(remote) => {
                tried.data_centres.push(remote.data_centre.clone());
                forward(shared, call, remote).await
            }
        };
        let failure = match started(result).await {
            Ok(answer) => {
                shared.targets.succeeded(&call.pool, now_ms);
                return Ok(answer);
            }
            Err(failure) => failure,
        };
        if failure.permit_refused {
            // Nothing reached an endpoint, so the attempt does not count. Other groups and data
            // centres come first, and the group is asked again only after a wait.
            attempt -= 1;
            tried.refused_permit.extend(tried.groups.last().cloned());
            last = Some(match last.take() {
                // The same text once more for each question would say nothing.
                Some(earlier) if earlier.permit_refused => AttemptFailure {
                    outcome: earlier.outcome.and_attempt(failure.outcome),
                    ..failure
                },
                earlier => combine(earlier, failure),
            });
            continue;
        }
        let now_ms = (shared.ports.now_ms)();
        let again = shared.targets.may_retry(call, &failure, attempt, now_ms);
        let failure = combine(last.take(), failure);
        if !again {
            return Err(failure);
        }
        if failure.connection_only
            && let Some(group) = tried.groups.pop_if(|group| !tried.on_fresh.contains(group))
        {
            tried.on_fresh.push(group);
        }
        last = Some(failure);
    }
    Err(last.unwrap_or_else(|| not_run(ProblemKind::NoEndpoint, "no attempt was allowed")))
}

/// Returns how long to wait before the owner of a permit is asked again; `None` if that is too late.
fn permit_wait(shared: &Shared, call: &Call, failure: &AttemptFailure) -> Option<Duration> {
    let asked = Duration::from_millis(failure.retry_after_ms.unwrap_or(0)).max(MIN_PERMIT_WAIT);
    // Spread, so that the senders that were refused together do not come back together.
    let wait = asked.mul_f64(rand::random_range(1.0..1.5));
    let until_ms = call.deadline_ms.min(call.dispatch_until_ms.unwrap_or(u64::MAX));
    (wait + Duration::from_millis(MIN_ATTEMPT_MS) < shared.left(until_ms)).then_some(wait)
}

/// Whether the endpoint's process may have gone, so that the next one starts cold.
fn may_have_restarted(failure: &AttemptFailure) -> bool {
    let lost = [ProblemKind::EndpointRefused, ProblemKind::EndpointFailed];
    !failure.connection_only && lost.contains(&failure.problem)
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
    match tokio::time::timeout(shared.left(call.deadline_ms), forwarded).await {
        Ok(result) => result,
        Err(_) => Err(AttemptFailure::new(
            Outcome::Unknown,
            ProblemKind::DeadlineExceeded,
            format!("data centre {data_centre}: no answer before the deadline"),
        )),
    }
}

/// Waits for the first part of the body, so that an answer that breaks before it can be replaced.
async fn started(
    result: Result<AttemptAnswer, AttemptFailure>,
) -> Result<AttemptAnswer, AttemptFailure> {
    let AttemptAnswer { status, headers, mut body } = result?;
    let first = match body.next().await {
        Some(AnswerPart::Broken(failure)) => return Err(failure),
        Some(part) => part,
        None => {
            let detail = "the answer ended without a mark of completeness";
            let kind = ProblemKind::AnswerTruncated;
            return Err(AttemptFailure::new(Outcome::Unknown, kind, detail));
        }
    };
    let body = stream::once(future::ready(first)).chain(body).boxed();
    Ok(AttemptAnswer { status, headers, body })
}

/// Combines the failures of two attempts; the later one explains the end of the request.
fn combine(earlier: Option<AttemptFailure>, later: AttemptFailure) -> AttemptFailure {
    let Some(earlier) = earlier else {
        return later;
    };
    let outcome = earlier.outcome.and_attempt(later.outcome);
    AttemptFailure { outcome, detail: format!("{}; {}", earlier.detail, later.detail), ..later }
}
