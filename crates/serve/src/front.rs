//! The callers' interface as a whole: its state, its requests and its shutdown.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use balsam_http::Client;
use balsam_types::ClaimKey;
use balsam_types::Outcome;
use balsam_types::RouteSpec;
use balsam_types::claim::RequestHash;
use http::HeaderValue;
use http::Method;
use opentelemetry::metrics::Meter;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use viz::Request;
use viz::Response;

use crate::admit::Admitted;
use crate::admit::Gate;
use crate::body::BodyBytes;
use crate::body::HeldBytes;
use crate::body::read_body;
use crate::caller;
use crate::caller::not_run;
use crate::compare;
use crate::conn;
use crate::copies::Copies;
use crate::flow;
use crate::idle::Idle;
use crate::keyed;
use crate::keyed::Keyed;
use crate::metrics::Metrics;
use crate::options::InvalidOptions;
use crate::options::ServeOptions;
use crate::ports::AttemptAnswer;
use crate::ports::AttemptFailure;
use crate::ports::Call;
use crate::ports::ClaimRequest;
use crate::ports::Ports;
use crate::problem::ProblemKind;
use crate::respond;
use crate::respond::AnswerEnd;
use crate::shared::OpenGuard;
use crate::shared::Shared;
use crate::target::Targets;

/// How often unused connections to endpoints are looked at.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// The callers' interface of an entry node.
#[derive(Clone)]
pub struct Front {
    shared: Arc<Shared>,
}

impl Front {
    /// Creates the interface; it is not ready before [`Front::set_ready`].
    pub fn new(
        options: ServeOptions,
        ports: Ports,
        meter: &Meter,
        log: Logger,
    ) -> Result<Self, InvalidOptions> {
        let options = options.check()?;
        let clock = ports.now_ms.clone();
        let gate = Gate::new(options.max_running, options.max_queued, clock);
        let shared = Shared {
            client: Client::new(&options.client()),
            targets: Targets::new(),
            gate: Arc::new(gate),
            copies: Copies::new(&options),
            metrics: Metrics::new(meter),
            log,
            stopping: watch::Sender::new(false),
            connections: Arc::new(Semaphore::new(options.max_connections)),
            idle: Idle::default(),
            body_bytes: BodyBytes::new(options.max_body_bytes_total),
            open: Arc::default(),
            ready: AtomicBool::new(false),
            ports,
            options,
        };
        Ok(Self { shared: Arc::new(shared) })
    }

    /// Accepts callers' connections until [`Front::shutdown`]; several listeners may be served.
    pub async fn serve(&self, listener: TcpListener) {
        let shared = self.shared.clone();
        let sweeper = tokio::spawn(async move {
            loop {
                tokio::time::sleep(SWEEP_INTERVAL).await;
                shared.client.sweep();
            }
        });
        let shared = self.shared.clone();
        let answer = move |request| handle(shared.clone(), request);
        conn::accept(self.shared.clone(), listener, answer).await;
        sweeper.abort();
    }

    /// Runs a request that another data centre forwarded, on a group of this one only.
    pub async fn serve_forwarded(&self, call: Call) -> Result<AttemptAnswer, AttemptFailure> {
        // Counted first, so that a shutdown that starts now waits for it.
        let open = self.shared.open_request();
        if *self.shared.stopping.borrow() {
            return Err(not_run(ProblemKind::NoEndpoint, "the entry node is shutting down"));
        }
        let answer = flow::run(&self.shared, &call, false).await?;
        let body = futures::StreamExt::map(answer.body, move |part| {
            let _open = &open;
            part
        });
        Ok(AttemptAnswer { body: Box::pin(body), ..answer })
    }

    /// Says whether the node should get requests.
    pub fn is_ready(&self) -> bool {
        self.shared.ready.load(Ordering::SeqCst) && !*self.shared.stopping.borrow()
    }

    /// Sets whether the node should get requests; a shutdown overrides it.
    pub fn set_ready(&self, ready: bool) {
        if self.shared.ready.swap(ready, Ordering::SeqCst) != ready {
            slog::info!(self.shared.log, "readiness changed"; "ready" => ready);
        }
    }

    /// Sets how many entry nodes live in this data centre and in the estate, this one included.
    pub fn set_live_nodes(&self, data_centre: u32, estate: u32) {
        self.shared.targets.senders.store(data_centre.max(1), Ordering::Relaxed);
        self.shared.gate.live_nodes.store(estate.max(1), Ordering::Relaxed);
    }

    /// Returns the number of requests whose answer has not ended.
    pub fn open_requests(&self) -> u64 {
        self.shared.open.count.load(Ordering::SeqCst)
    }

    /// Stops accepting and lets open requests end; returns how many the limit cut off.
    pub async fn shutdown(&self, limit: Duration) -> u64 {
        if !self.shared.stopping.send_replace(true) {
            slog::info!(self.shared.log, "shutdown started"; "open" => self.open_requests());
        }
        let ended = async {
            loop {
                let changed = self.shared.open.changed.notified();
                if self.open_requests() == 0 {
                    break;
                }
                changed.await;
            }
            // The last bytes of an answer are on their way until its connection has closed.
            let all = self.shared.options.max_connections;
            let all = u32::try_from(all).unwrap_or(u32::MAX);
            let _ = self.shared.connections.acquire_many(all).await;
        };
        let _ = tokio::time::timeout(limit, ended).await;
        let cut = self.open_requests();
        slog::info!(self.shared.log, "shutdown ended"; "cut" => cut);
        cut
    }
}

/// Answers one request; every failure becomes a problem response.
async fn handle(shared: Arc<Shared>, request: Request) -> Response {
    let started = Instant::now();
    let open = shared.open_request();
    let request_id = caller::request_id(request.headers());
    let mut route = Arc::from("none");
    let result = respond_to(&shared, request, &request_id, &mut route, started, open).await;
    let mut response = result.unwrap_or_else(|failure| {
        shared.metrics.request(&route, failure.outcome);
        shared.metrics.problem(failure.problem);
        respond::problem(&failure)
    });
    response.headers_mut().insert(caller::REQUEST_ID, request_id);
    response
}

/// A request that was admitted, before anything is known of its key.
struct Prepared {
    call: Call,
    route: Arc<RouteSpec>,
    /// The key, if the request claims it.
    key: Option<Arc<str>>,
    admitted: Arc<Admitted>,
    /// Counts the bytes of the body for as long as they are held.
    _held: HeldBytes,
}

async fn respond_to(
    shared: &Arc<Shared>,
    request: Request,
    request_id: &HeaderValue,
    route_name: &mut Arc<str>,
    started: Instant,
    open: OpenGuard,
) -> Result<Response, AttemptFailure> {
    let has_key = request.headers().contains_key(caller::IDEMPOTENCY_KEY);
    let prepared = prepare(shared, request, request_id, route_name).await;
    let prepared = prepared.map_err(|failure| match has_key {
        true => before_claim(failure),
        false => failure,
    })?;
    let Prepared { mut call, route, key, admitted, _held } = prepared;
    let mut end = AnswerEnd {
        _admitted: admitted.clone(),
        shared: shared.clone(),
        route: route_name.clone(),
        started,
        comparison: None,
        _open: open.clone(),
    };
    let Some(key) = key else {
        end.comparison = compare::start(shared, &route, &call);
        let answer = flow::run(shared, &call, true).await?;
        return Ok(respond::answer(answer, end));
    };
    call.idempotent = false;
    let request = claim_request(&call, key)?;
    match keyed::run(shared, call, request, (open, admitted)).await? {
        Keyed::Answer(answer) => Ok(respond::answer(answer, end)),
        Keyed::Replay(stored) => {
            shared.metrics.request(route_name, Outcome::Completed);
            Ok(respond::replay(&stored))
        }
    }
}

/// Checks a request and waits until it may run.
async fn prepare(
    shared: &Arc<Shared>,
    request: Request,
    request_id: &HeaderValue,
    route_name: &mut Arc<str>,
) -> Result<Prepared, AttemptFailure> {
    let (parts, body) = request.into_parts();
    let table = (shared.ports.table)();
    let organisation = caller::organisation(&table, &parts.headers)?;
    let control = caller::control(&parts.headers)?;
    let (body, held) =
        read_body(&shared.options, &shared.body_bytes, &organisation.organisation, body).await?;
    let route = caller::route(&table, &parts, &body)?;
    *route_name = Arc::from(route.route.as_str());
    let asked_ms = control.deadline_in_ms.unwrap_or(route.deadline_ms);
    let deadline_ms = (shared.ports.now_ms)() + asked_ms.min(shared.options.max_deadline_ms);
    let path_and_query = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let is_chat = parts.method == Method::POST && parts.uri.path() == caller::CHAT_PATH;
    let call = Call {
        organisation: organisation.organisation.clone(),
        pool: route.pool.clone(),
        path_and_query: Arc::from(path_and_query),
        headers: caller::endpoint_headers(parts.headers, request_id),
        body,
        deadline_ms,
        priority: control.priority,
        idempotent: caller::is_idempotent(&route, &parts.method),
        claim_offset: None,
        dispatch_until_ms: None,
        method: parts.method,
    };
    let claims = !call.idempotent || is_chat;
    let key = control.key.filter(|_| claims);
    let gate = &shared.gate;
    let admitted = Arc::new(gate.admit(&organisation, control.priority, deadline_ms).await?);
    Ok(Prepared { call, route, key, admitted, _held: held })
}

/// Returns the refusal of a request with a key before its claim was looked up: an earlier request
/// with the key may have run, so nothing may be said of what has not.
fn before_claim(failure: AttemptFailure) -> AttemptFailure {
    AttemptFailure { outcome: failure.outcome.and_attempt(Outcome::Unknown), ..failure }
}

fn claim_request(call: &Call, raw_key: Arc<str>) -> Result<ClaimRequest, AttemptFailure> {
    let key = ClaimKey::new(&call.organisation, &raw_key)
        .map_err(|e| not_run(ProblemKind::InvalidRequest, e.to_string()))?;
    Ok(ClaimRequest {
        key,
        raw_key,
        request_hash: RequestHash::new(call.method.as_str(), &call.path_and_query, &call.body),
        organisation: call.organisation.clone(),
        pool: call.pool.clone(),
        deadline_ms: call.deadline_ms,
    })
}
