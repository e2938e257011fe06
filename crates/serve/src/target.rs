//! Selects where an attempt runs, using `balsam_route` and the state it needs, and keeps the retry
//! budgets.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use balsam_route::Choice;
use balsam_route::ChoiceInput;
use balsam_route::Loads;
use balsam_route::Pool;
use balsam_route::RemoteDataCentre;
use balsam_route::loads::GroupLoad;
use balsam_route::loads::InFlight;
use balsam_route::loads::PoolView;
use balsam_route::loads::hash_bytes;
use balsam_route::retry::Retry;
use balsam_route::retry::RetryBudget;
use balsam_route::retry::may_retry;
use balsam_types::DataCentreName;
use balsam_types::GroupName;
use balsam_types::Outcome;
use balsam_types::PoolName;

use crate::caller::CHAT_PATH;
use crate::caller::not_run;
use crate::ports::AttemptFailure;
use crate::ports::Call;
use crate::problem::ProblemKind;

/// Leading bytes of a chat body that are hashed as its prompt prefix. Callers send the model and
/// the system prompt first, and hashing more would cost time on every request.
const PREFIX_BYTES: usize = 512;

/// What earlier attempts of a request have tried.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    pub groups: Vec<GroupName>,
    pub data_centres: Vec<DataCentreName>,
    /// Groups whose owner refused a permit since the last delay.
    pub permit_refused_groups: Vec<GroupName>,
    /// Groups that are tried once more on a new connection, because they were silent on another.
    pub fresh_connection_groups: Vec<GroupName>,
}

/// Where an attempt runs.
pub(crate) enum Target {
    /// A group in this data centre.
    Local(LocalTarget),
    /// An entry node of another data centre, reached through its peer port.
    Remote(RemoteDataCentre),
}

/// A selected group; the request counts as in flight there until this is dropped.
pub(crate) struct LocalTarget {
    pub view: Arc<PoolView>,
    pub index: usize,
    pub needs_permit: bool,
    pub in_flight: InFlight,
}

impl LocalTarget {
    pub fn group(&self) -> &balsam_route::Group {
        &self.view.pool.groups[self.index]
    }

    pub fn load(&self) -> Arc<GroupLoad> {
        self.view.load(self.index).clone()
    }
}

/// Selects targets from the load of the groups and the retry budgets of the pools.
pub(crate) struct TargetSelector {
    loads: Loads,
    budgets: Mutex<HashMap<PoolName, RetryBudgets>>,
    /// Live entry nodes in this data centre, including this one.
    pub live_entry_nodes: AtomicU32,
}

/// The retry budgets of one pool.
struct RetryBudgets {
    /// For retries after attempts that used capacity of an endpoint.
    reached: RetryBudget,
    /// For retries after attempts that reached no endpoint. One retry per success keeps requests
    /// working while some endpoints are lost, and stops the retries when all of them are.
    unreached: RetryBudget,
}

impl Default for RetryBudgets {
    fn default() -> Self {
        Self { reached: RetryBudget::default(), unreached: RetryBudget::new(1.0, 10) }
    }
}

impl TargetSelector {
    pub fn new() -> Self {
        Self {
            loads: Loads::default(),
            budgets: Mutex::default(),
            live_entry_nodes: AtomicU32::new(1),
        }
    }

    /// Selects where the next attempt runs.
    pub fn choose(
        &self,
        pool: &Arc<Pool>,
        call: &Call,
        now_ms: u64,
        local_drained: bool,
        may_forward: bool,
        history: &AttemptHistory,
    ) -> Result<Target, AttemptFailure> {
        let view = self.loads.view(pool);
        let input = ChoiceInput {
            now_ms,
            local_drained,
            senders: self.live_entry_nodes.load(Ordering::Relaxed),
            prefix_hash: prefix_hash(call),
            cached_group_hash: None,
            exclude: &history.groups,
            exclude_remotes: &history.data_centres,
            allow_remote: may_forward,
        };
        match balsam_route::choose(&view, &input, &mut rand::rng()) {
            Choice::Local { index, needs_permit } => {
                let in_flight = view.load(index).start();
                Ok(Target::Local(LocalTarget { view, index, needs_permit, in_flight }))
            }
            Choice::Remote { data_centre, entry_node, peer_address } => {
                let matching = pool.remotes.iter().find(|r| r.data_centre == data_centre);
                let narrowed = matching.map(|remote| RemoteDataCentre {
                    entry_nodes: vec![(entry_node, peer_address)],
                    ..remote.clone()
                });
                let not_found = || {
                    not_run(
                        ProblemKind::NoEndpoint,
                        "the selected data centre is no longer available",
                    )
                };
                narrowed.map(Target::Remote).ok_or_else(not_found)
            }
            Choice::Wait { retry_after_ms, reason } => {
                let detail = format!("pool {}: {reason:?}", call.pool);
                let failure = not_run(ProblemKind::NoEndpoint, detail);
                Err(AttemptFailure { retry_after_ms: Some(retry_after_ms), ..failure })
            }
        }
    }

    /// Credits the retry budgets with a request that got its answer.
    pub fn record_success(&self, pool: &PoolName, now_ms: u64) {
        self.with_budgets(pool, |budgets| {
            budgets.reached.record_success(now_ms);
            budgets.unreached.record_success(now_ms);
        });
    }

    /// Decides whether a failed attempt may be retried, and spends the budget for the retry.
    ///
    /// An attempt that reached no endpoint used no capacity, so it has a larger budget of its own.
    pub fn may_retry(
        &self,
        call: &Call,
        failure: &AttemptFailure,
        attempts: u32,
        now_ms: u64,
    ) -> bool {
        let left_ms = call.deadline_ms.saturating_sub(now_ms);
        let unreached =
            failure.outcome == Outcome::NotRun && failure.problem != ProblemKind::EndpointBusy;
        self.with_budgets(&call.pool, |budgets| {
            let budget = match unreached {
                true => &mut budgets.unreached,
                false => &mut budgets.reached,
            };
            let outcome = failure.outcome;
            let decision = may_retry(outcome, call.idempotent, budget, left_ms, attempts, now_ms);
            if decision == Retry::Allowed {
                budget.spend(now_ms);
            }
            decision == Retry::Allowed
        })
    }

    fn with_budgets<R>(&self, pool: &PoolName, f: impl FnOnce(&mut RetryBudgets) -> R) -> R {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        f(budgets.entry(pool.clone()).or_default())
    }
}

fn prefix_hash(call: &Call) -> Option<u64> {
    let is_chat = call.path_and_query.split('?').next() == Some(CHAT_PATH);
    is_chat.then(|| hash_bytes(&call.body[..call.body.len().min(PREFIX_BYTES)]))
}
