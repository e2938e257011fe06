//! The attempts of one request: where each one runs, and when another one is allowed.
//!
//! An attempt that certainly did not run may always be repeated. After one that may have run, only
//! an idempotent request is, and only while nothing was sent to the caller. An endpoint that is
//! silent may go on at any moment, so silence starts another attempt beside the silent one, if that
//! is allowed, and ends none; the first attempt that delivers ends the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use balsam_route::Pool;
use balsam_route::RemoteDataCentre;
use balsam_route::retry::MIN_ATTEMPT_MS;
use balsam_types::GroupName;
use balsam_types::Outcome;
use futures::FutureExt;
use futures::StreamExt;
use futures::future;
use futures::future::BoxFuture;
use futures::stream;
use futures::stream::FuturesUnordered;

use crate::attempt;
use crate::attempt::Dispatched;
use crate::attempt::Progress;
use crate::caller::not_run;
use crate::ports::AnswerPart;
use crate::ports::AttemptAnswer;
use crate::ports::AttemptFailure;
use crate::ports::Call;
use crate::ports::ForwardCall;
use crate::problem::ProblemKind;
use crate::shared::Shared;
use crate::target::AttemptHistory;
use crate::target::LocalTarget;
use crate::target::Target;

/// Minimum delay between two requests for a permit, whatever delay the owner returns.
const MIN_PERMIT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Runs attempts until one returns the start of an answer, or none is open and none is allowed.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    call: &Call,
    may_forward: bool,
    dispatched: &Dispatched,
) -> Result<AttemptAnswer, AttemptFailure> {
    let mut attempts = Attempts {
        shared,
        call,
        may_forward,
        dispatched,
        open: FuturesUnordered::new(),
        newest: None,
        history: AttemptHistory::default(),
        counted: 0,
        last_failure: None,
        permit_retry_at: None,
    };
    attempts.start_next()?;
    loop {
        let wake_after = attempts.wake_after();
        tokio::select! {
            biased;
            Some(ended) = attempts.open.next() => match ended.result {
                Ok(answer) => {
                    let now_ms = (shared.ports.now_ms)();
                    shared.target_selector.record_success(&call.pool, now_ms);
                    return Ok(answer);
                }
                Err(failure) => attempts.on_failure(ended.number, ended.group, failure)?,
            },
            () = tokio::time::sleep(wake_after.unwrap_or_default()), if wake_after.is_some() => {
                attempts.on_timer()?;
            }
            else => return Err(attempts.give_up()),
        }
    }
}

/// An attempt that has delivered the first part of its answer or failed.
struct Ended {
    number: u32,
    /// The group, for an attempt in this data centre.
    group: Option<GroupName>,
    result: Result<AttemptAnswer, AttemptFailure>,
}

/// What is known of the newest attempt.
struct Newest {
    number: u32,
    target: NewestTarget,
    progress: Progress,
    /// After which silence another attempt begins beside it.
    silence_limit_ms: u64,
    /// When another attempt was last considered.
    checked_ms: u64,
    is_silent: bool,
}

enum NewestTarget {
    Group { group: GroupName, address: SocketAddr },
    DataCentre,
}

/// The attempts of one request.
struct Attempts<'a> {
    shared: &'a Arc<Shared>,
    call: &'a Call,
    may_forward: bool,
    dispatched: &'a Dispatched,
    open: FuturesUnordered<BoxFuture<'a, Ended>>,
    newest: Option<Newest>,
    history: AttemptHistory,
    /// The attempts that were started, without those that got no permit.
    counted: u32,
    last_failure: Option<AttemptFailure>,
    /// When the owners that refused a permit are asked again.
    permit_retry_at: Option<Instant>,
}

impl<'a> Attempts<'a> {
    fn now_ms(&self) -> u64 {
        (self.shared.ports.now_ms)()
    }

    fn give_up(&mut self) -> AttemptFailure {
        let no_attempt = || not_run(ProblemKind::NoEndpoint, "no attempt was allowed");
        self.last_failure.take().unwrap_or_else(no_attempt)
    }

    /// Starts the next attempt; returns the request's failure if none is possible and none is open.
    fn start_next(&mut self) -> Result<(), AttemptFailure> {
        if self.counted >= self.shared.options.max_attempts {
            return if self.open.is_empty() { Err(self.give_up()) } else { Ok(()) };
        }
        if self.shared.time_left(self.call.deadline_ms).is_zero() {
            let deadline_failure = not_run(ProblemKind::DeadlineExceeded, "the deadline passed");
            return self.fail_unless_open(deadline_failure);
        }
        let table = (self.shared.ports.table)();
        let Some(pool) = table.pools.get(&self.call.pool) else {
            let detail = format!("the pool {} is not known", self.call.pool);
            return self.fail_unless_open(not_run(ProblemKind::NoEndpoint, detail));
        };
        // Limits how many owners one request asks for a permit before it waits.
        let is_permit_limit_reached = self.history.permit_refused_groups.len()
            >= self.shared.options.max_attempts as usize
            && self.last_failure.is_some();
        let no_target = match is_permit_limit_reached {
            true => None,
            false => match self.choose(pool, table.local_drained) {
                Ok(target) => {
                    self.start(pool, target);
                    return Ok(());
                }
                Err(no_target) => Some(no_target),
            },
        };
        // The failure of an attempt is more useful to the caller than "no further endpoint".
        let Some(failure) = self.last_failure.take().or(no_target) else { return Ok(()) };
        if !self.history.permit_refused_groups.is_empty()
            && let Some(delay) = permit_retry_delay(self.shared, self.call, &failure)
        {
            self.permit_retry_at = Some(Instant::now() + delay);
        } else if self.open.is_empty() {
            return Err(failure);
        }
        self.last_failure = Some(failure);
        Ok(())
    }

    fn fail_unless_open(&mut self, failure: AttemptFailure) -> Result<(), AttemptFailure> {
        match self.open.is_empty() {
            true => Err(combine(self.last_failure.take(), failure)),
            false => Ok(()),
        }
    }

    fn choose(&self, pool: &Arc<Pool>, is_drained: bool) -> Result<Target, AttemptFailure> {
        let (call, now_ms, history) = (self.call, self.now_ms(), &self.history);
        let selector = &self.shared.target_selector;
        selector.choose(pool, call, now_ms, is_drained, self.may_forward, history)
    }

    fn start(&mut self, pool: &Pool, target: Target) {
        self.counted += 1;
        if self.counted > 1 {
            self.shared.metrics.retries.add(1, &[]);
        }
        let (shared, call, now_ms) = (self.shared, self.call, self.now_ms());
        let progress = Progress::new(now_ms, self.dispatched.clone());
        let number = self.newest.as_ref().map_or(1, |newest| newest.number + 1);
        let silence_limit = attempt::silence_limit(shared, pool.spec.kind, call);
        let (newest_target, attempt) = match target {
            Target::Local(target) => {
                let (group, address) = (target.group().group.clone(), target.group().address);
                self.history.groups.push(group.clone());
                let newest_target = NewestTarget::Group { group: group.clone(), address };
                let attempt = run_local(shared, call, target, progress.clone());
                let attempt =
                    async move { Ended { number, group: Some(group), result: attempt.await } };
                (newest_target, attempt.boxed())
            }
            Target::Remote(remote) => {
                self.history.data_centres.push(remote.data_centre.clone());
                self.dispatched.set();
                let attempt = async move {
                    let result = await_first_part(forward(shared, call, remote).await).await;
                    Ended { number, group: None, result }
                };
                (NewestTarget::DataCentre, attempt.boxed())
            }
        };
        self.open.push(attempt);
        self.newest = Some(Newest {
            number,
            target: newest_target,
            progress,
            silence_limit_ms: silence_limit.as_millis() as u64,
            checked_ms: now_ms,
            is_silent: false,
        });
    }

    /// Returns the time until the owners are asked for a permit again or the newest attempt counts
    /// as silent, whichever is sooner.
    fn wake_after(&self) -> Option<Duration> {
        let retry_after =
            self.permit_retry_at.map(|at| at.saturating_duration_since(Instant::now()));
        let silent_after = self.silent_after();
        retry_after.into_iter().chain(silent_after).min()
    }

    fn silent_after(&self) -> Option<Duration> {
        let newest = self.newest.as_ref().filter(|_| !self.open.is_empty())?;
        let may_start = self.call.idempotent && self.counted < self.shared.options.max_attempts;
        if newest.is_silent && !may_start {
            return None;
        }
        let since_ms = newest.progress.last_ms().max(newest.checked_ms);
        Some(self.shared.time_left(since_ms + newest.silence_limit_ms))
    }

    fn on_timer(&mut self) -> Result<(), AttemptFailure> {
        if self.permit_retry_at.is_some_and(|at| Instant::now() >= at) {
            self.permit_retry_at = None;
            let refused = std::mem::take(&mut self.history.permit_refused_groups);
            self.history.groups.retain(|group| !refused.contains(group));
            return self.start_next();
        }
        if self.silent_after().is_some_and(|after| after.is_zero()) {
            self.on_silence();
        }
        Ok(())
    }

    /// Starts another attempt beside the newest one, which is silent, if that is allowed.
    fn on_silence(&mut self) {
        let now_ms = self.now_ms();
        let Some(newest) = &mut self.newest else { return };
        newest.checked_ms = now_ms;
        let silent_group = match &newest.target {
            NewestTarget::Group { group, address } => {
                // The unused connections can be replaced.
                self.shared.client.evict(*address);
                Some(group.clone())
            }
            NewestTarget::DataCentre => None,
        };
        if !newest.is_silent {
            newest.is_silent = true;
            self.shared.metrics.silent_connections.add(1, &[]);
        }
        if !self.call.idempotent || self.counted >= self.shared.options.max_attempts {
            return;
        }
        let table = (self.shared.ports.table)();
        let Some(pool) = table.pools.get(&self.call.pool) else { return };
        let Some(target) = self.choose_beside(pool, table.local_drained, silent_group) else {
            return;
        };
        let silent = AttemptFailure::new(Outcome::Unknown, ProblemKind::EndpointFailed, "silent");
        let selector = &self.shared.target_selector;
        if selector.may_retry(self.call, &silent, self.counted, now_ms) {
            self.start(pool, target);
        }
    }

    /// Selects another group or data centre, or else the silent group once more: the silence may be
    /// that of the connection only.
    fn choose_beside(
        &mut self,
        pool: &Arc<Pool>,
        is_drained: bool,
        silent_group: Option<GroupName>,
    ) -> Option<Target> {
        if let Ok(target) = self.choose(pool, is_drained) {
            return Some(target);
        }
        let history = &mut self.history;
        let group = silent_group.filter(|g| !history.fresh_connection_groups.contains(g))?;
        history.groups.retain(|tried| *tried != group);
        history.fresh_connection_groups.push(group);
        self.choose(pool, is_drained).ok()
    }

    /// Starts another attempt after one that failed, if that is allowed; returns the request's
    /// failure if none is open then.
    fn on_failure(
        &mut self,
        number: u32,
        group: Option<GroupName>,
        failure: AttemptFailure,
    ) -> Result<(), AttemptFailure> {
        let now_ms = self.now_ms();
        let is_newest = self.newest.as_ref().is_some_and(|newest| newest.number == number);
        if let Some(newest) = &mut self.newest {
            newest.checked_ms = now_ms;
        }
        if failure.is_permit_refused {
            // Nothing reached an endpoint, so the attempt is not counted. Other groups and data
            // centres are tried first; this group is asked again only after a delay.
            self.counted -= 1;
            self.history.permit_refused_groups.extend(group);
            self.last_failure = Some(match self.last_failure.take() {
                // Do not repeat the same detail for each refused permit.
                Some(earlier) if earlier.is_permit_refused => {
                    AttemptFailure { outcome: earlier.outcome.combine(failure.outcome), ..failure }
                }
                earlier => combine(earlier, failure),
            });
            return self.start_next();
        }
        // Beside a newer attempt, which replaces this one, none is needed.
        let is_retry_allowed = (is_newest || self.open.is_empty())
            && self.shared.target_selector.may_retry(self.call, &failure, self.counted, now_ms);
        self.last_failure = Some(combine(self.last_failure.take(), failure));
        if is_retry_allowed {
            return self.start_next();
        }
        self.permit_retry_at = None;
        if self.open.is_empty() { Err(self.give_up()) } else { Ok(()) }
    }
}

async fn run_local(
    shared: &Arc<Shared>,
    call: &Call,
    target: LocalTarget,
    progress: Progress,
) -> Result<AttemptAnswer, AttemptFailure> {
    let load = target.load();
    let result = attempt::run(shared, call, target, &progress).await;
    if result.as_ref().is_err_and(may_have_restarted) {
        load.mark_suspect((shared.ports.now_ms)());
    }
    await_first_part(result).await
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
