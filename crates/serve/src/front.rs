//! The callers' interface: accepting requests, the steps of handling one, and the shutdown.

use std::future::ready;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use balsam_http::Client;
use balsam_http::HeldMemory;
use balsam_http::OpenConnections;
use balsam_types::ClaimKey;
use balsam_types::Outcome;
use balsam_types::RouteSpec;
use balsam_types::claim::RequestHash;
use http::HeaderValue;
use http::Method;
use http::Version;
use http::header;
use opentelemetry::metrics::Meter;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use viz::Request;
use viz::Response;

use crate::admit::AdmissionGate;
use crate::admit::AdmissionGuard;
use crate::attempt::Dispatched;
use crate::body::BodyMemory;
use crate::body::ShareReservation;
use crate::body::read_body;
use crate::caller;
use crate::caller::not_run;
use crate::compare;
use crate::conn;
use crate::copies::Copies;
use crate::flow;
use crate::keyed;
use crate::keyed::KeyedResponse;
use crate::linger;
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
use crate::respond::AnswerContext;
use crate::shared::OpenRequestGuard;
use crate::shared::Shared;
use crate::target::TargetSelector;

/// How often expired unused connections to endpoints are closed.
const CLOSE_EXPIRED_INTERVAL: Duration = Duration::from_secs(5);

/// How long the answers that are given at the limit of the shutdown may take to be sent.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);

/// The route in metrics of a request that has none.
const NO_ROUTE: &str = "none";

const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// The callers' interface of an entry node.
#[derive(Clone)]
pub struct Front {
    shared: Arc<Shared>,
}

impl Front {
    /// Creates the interface; it is not ready until [`Front::set_ready`] is called.
    pub fn new(
        options: ServeOptions,
        ports: Ports,
        meter: &Meter,
        log: Logger,
    ) -> Result<Self, InvalidOptions> {
        let options = options.check()?;
        let clock = ports.now_ms.clone();
        let gate = AdmissionGate::new(options.max_running, options.max_queued, clock);
        // Half of it is for requests.
        let held_memory = HeldMemory::new(2 * options.max_body_bytes_total);
        let shared = Shared {
            client: Client::new(&options.client_options()),
            target_selector: TargetSelector::new(),
            gate: Arc::new(gate),
            copies: Copies::new(&options),
            metrics: Metrics::new(meter),
            log,
            stopping: watch::Sender::new(false),
            cutting: watch::Sender::new(false),
            accept_loops: watch::Sender::new(0),
            lingering: Arc::new(Semaphore::new(linger::MAX_LINGERING as usize)),
            connection_slots: Arc::new(Semaphore::new(options.max_connections)),
            refusal_slots: Arc::new(Semaphore::new(conn::max_refused_connections(
                options.max_connections,
            ))),
            open_connections: OpenConnections::default(),
            body_memory: BodyMemory::new(held_memory, options.max_body_bytes_total),
            request_counter: Arc::default(),
            ready: AtomicBool::new(false),
            ports,
            options,
        };
        Ok(Self { shared: Arc::new(shared) })
    }

    /// Accepts callers' connections until [`Front::shutdown`]; may be called for several listeners.
    pub async fn serve(&self, listener: TcpListener) {
        let shared = self.shared.clone();
        let close_expired_task = tokio::spawn(async move {
            loop {
                tokio::time::sleep(CLOSE_EXPIRED_INTERVAL).await;
                shared.client.close_expired();
            }
        });
        let (serving, refusing) = (self.shared.clone(), self.shared.clone());
        let routers = conn::Routers {
            serving: conn::router(move |request| handle(serving.clone(), request)),
            refusing: conn::router(move |request| ready(refuse(&refusing, &request))),
        };
        conn::accept(self.shared.clone(), listener, routers).await;
        close_expired_task.abort();
    }

    /// Runs a request forwarded by another data centre, only on a group of this data centre.
    pub async fn serve_forwarded(&self, call: Call) -> Result<AttemptAnswer, AttemptFailure> {
        // Counted before the check, so that a shutdown that starts now waits for this request.
        let open = self.shared.open_request();
        if *self.shared.stopping.borrow() {
            return Err(not_run(ProblemKind::NoEndpoint, "the entry node is shutting down"));
        }
        let answer = flow::run(&self.shared, &call, false, &Dispatched::default()).await?;
        let body = futures::StreamExt::map(answer.body, move |part| {
            let _open = &open;
            part
        });
        Ok(AttemptAnswer { body: Box::pin(body), ..answer })
    }

    /// Returns whether the node should get requests.
    pub fn is_ready(&self) -> bool {
        self.shared.ready.load(Ordering::SeqCst) && !*self.shared.stopping.borrow()
    }

    /// Sets whether the node should get requests; a shutdown overrides it.
    pub fn set_ready(&self, ready: bool) {
        if self.shared.ready.swap(ready, Ordering::SeqCst) != ready {
            slog::info!(self.shared.log, "readiness changed"; "ready" => ready);
        }
    }

    /// Sets the numbers of live entry nodes in this data centre and in all data centres, including
    /// this node.
    pub fn set_live_nodes(&self, data_centre_nodes: u32, total_nodes: u32) {
        self.shared
            .target_selector
            .live_entry_nodes
            .store(data_centre_nodes.max(1), Ordering::Relaxed);
        self.shared.gate.live_nodes.store(total_nodes.max(1), Ordering::Relaxed);
    }

    /// Returns the number of requests whose answer has not ended.
    pub fn open_requests(&self) -> u64 {
        self.shared.request_counter.count.load(Ordering::SeqCst)
    }

    /// Stops accepting connections and waits for open requests to end, for at most `limit`. A request
    /// whose head arrives after the start is refused as not run, on a connection that then closes;
    /// one whose head arrived before is served, even if its body arrives later. At the limit,
    /// requests without an answer get one that says whether they may have run. Returns
    /// the number of requests that were still open then.
    pub async fn shutdown(&self, limit: Duration) -> u64 {
        if !self.shared.stopping.send_replace(true) {
            slog::info!(self.shared.log, "shutdown started"; "open" => self.open_requests());
        }
        let all_ended = async {
            let mut accept_loops = self.shared.accept_loops.subscribe();
            let _ = accept_loops.wait_for(|count| *count == 0).await;
            loop {
                let changed = self.shared.request_counter.changed.notified();
                if self.open_requests() == 0 {
                    break;
                }
                changed.await;
            }
            // The last bytes of an answer may be unsent until its connection has closed.
            let max_connections = self.shared.options.max_connections;
            let max_refused = conn::max_refused_connections(max_connections);
            for (slots, count) in [
                (&self.shared.connection_slots, max_connections),
                (&self.shared.refusal_slots, max_refused),
            ] {
                let _ = slots.acquire_many(u32::try_from(count).unwrap_or(u32::MAX)).await;
            }
            // The end of the process resets a socket that is still read.
            let _ = self.shared.lingering.acquire_many(linger::MAX_LINGERING).await;
        };
        if tokio::time::timeout(limit, all_ended).await.is_ok() {
            slog::info!(self.shared.log, "shutdown ended"; "cut" => 0);
            return 0;
        }
        let unfinished = self.open_requests();
        self.shared.cutting.send_replace(true);
        tokio::time::sleep(LAST_ANSWERS_TIME).await;
        slog::info!(self.shared.log, "shutdown ended"; "cut" => unfinished);
        unfinished
    }
}

/// Handles one request; every failure becomes a problem response.
async fn handle(shared: Arc<Shared>, request: Request) -> Response {
    let started = Instant::now();
    let open = shared.open_request();
    let request_id = caller::request_id(request.headers());
    let is_http1 = request.version() <= Version::HTTP_11;
    let mut route = Arc::from(NO_ROUTE);
    let has_key = request.headers().contains_key(caller::IDEMPOTENCY_KEY);
    let is_stopping = *shared.stopping.borrow();
    let dispatched = Dispatched::default();
    let mut cutting = shared.cutting.subscribe();
    let result = match is_stopping {
        true => Err(stopping_failure(has_key, &dispatched)),
        false => tokio::select! {
            biased;
            result = process(
                &shared, request, &request_id, &mut route, started, open, &dispatched,
            ) => result,
            _ = cutting.wait_for(|is_cutting| *is_cutting) => {
                Err(stopping_failure(has_key, &dispatched))
            }
        },
    };
    let mut response = result.unwrap_or_else(|failure| fail(&shared, &route, &failure));
    response.headers_mut().insert(caller::REQUEST_ID, request_id);
    if is_http1 && *shared.stopping.borrow() {
        response.headers_mut().insert(header::CONNECTION, CLOSE);
    }
    response
}

/// Refuses a request by its head, because its connection is over the limit.
fn refuse(shared: &Shared, request: &Request) -> Response {
    let failure = not_run(ProblemKind::Overloaded, "the entry node has too many connections");
    let has_key = request.headers().contains_key(caller::IDEMPOTENCY_KEY);
    let failure = if has_key { with_unknown_outcome(failure) } else { failure };
    let mut response = fail(shared, NO_ROUTE, &failure);
    let request_id = caller::request_id(request.headers());
    response.headers_mut().insert(caller::REQUEST_ID, request_id);
    if request.version() <= Version::HTTP_11 {
        response.headers_mut().insert(header::CONNECTION, CLOSE);
    }
    response
}

/// Counts a failure and turns it into a response.
fn fail(shared: &Shared, route: &str, failure: &AttemptFailure) -> Response {
    shared.metrics.request(route, failure.outcome);
    shared.metrics.problem(failure.problem);
    respond::problem(failure)
}

/// Returns the failure of a request that arrived after the shutdown began or has no answer at its
/// limit.
fn stopping_failure(has_key: bool, dispatched: &Dispatched) -> AttemptFailure {
    if dispatched.is_set() {
        let detail = "the entry node shut down before the answer came";
        return AttemptFailure::new(Outcome::Unknown, ProblemKind::EndpointFailed, detail);
    }
    let failure = not_run(ProblemKind::NoEndpoint, "the entry node is shutting down");
    if has_key { with_unknown_outcome(failure) } else { failure }
}

/// An admitted request whose key, if it has one, was not yet looked up.
struct Prepared {
    call: Call,
    route: Arc<RouteSpec>,
    /// The key, if the request needs a claim.
    key: Option<Arc<str>>,
    admission: Arc<AdmissionGuard>,
    /// Reserves the organisation's share of the memory for bodies.
    _reservation: ShareReservation,
}

async fn process(
    shared: &Arc<Shared>,
    request: Request,
    request_id: &HeaderValue,
    route_name: &mut Arc<str>,
    started: Instant,
    open: OpenRequestGuard,
    dispatched: &Dispatched,
) -> Result<Response, AttemptFailure> {
    let has_key = request.headers().contains_key(caller::IDEMPOTENCY_KEY);
    let prepared = prepare(shared, request, request_id, route_name).await;
    let prepared = prepared.map_err(|failure| match has_key {
        true => with_unknown_outcome(failure),
        false => failure,
    })?;
    let Prepared { mut call, route, key, admission, _reservation } = prepared;
    let mut context = AnswerContext {
        _admission: admission.clone(),
        shared: shared.clone(),
        route: route_name.clone(),
        started,
        comparison: None,
        _open: open.clone(),
    };
    let Some(key) = key else {
        context.comparison = compare::start(shared, &route, &call);
        let answer = flow::run(shared, &call, true, dispatched).await?;
        return Ok(respond::answer(answer, context));
    };
    call.idempotent = false;
    let request = claim_request(&call, key)?;
    match keyed::run(shared, call, request, (open, admission), dispatched.clone()).await? {
        KeyedResponse::Answer(answer) => Ok(respond::answer(answer, context)),
        KeyedResponse::Replay(stored) => {
            shared.metrics.request(route_name, Outcome::Completed);
            Ok(respond::replay(&stored))
        }
    }
}

/// Validates a request, reads its body and waits for its admission.
async fn prepare(
    shared: &Arc<Shared>,
    request: Request,
    request_id: &HeaderValue,
    route_name: &mut Arc<str>,
) -> Result<Prepared, AttemptFailure> {
    let (parts, body) = request.into_parts();
    let table = (shared.ports.table)();
    let organisation = caller::authenticate(&table, &parts.headers)?;
    let control = caller::parse_control_headers(&parts.headers)?;
    let (body, reservation) =
        read_body(&shared.options, &shared.body_memory, &organisation.organisation, body).await?;
    let route = caller::find_route(&table, &parts, &body)?;
    *route_name = Arc::from(route.route.as_str());
    let requested_ms = control.deadline_in_ms.unwrap_or(route.deadline_ms);
    let deadline_ms = (shared.ports.now_ms)() + requested_ms.min(shared.options.max_deadline_ms);
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
    let needs_claim = !call.idempotent || is_chat;
    let key = control.key.filter(|_| needs_claim);
    let gate = &shared.gate;
    let admission = Arc::new(gate.admit(&organisation, control.priority, deadline_ms).await?);
    Ok(Prepared { call, route, key, admission, _reservation: reservation })
}

/// Reports `unknown` for a keyed request that is refused before its claim was looked up: an earlier
/// request with the key may have run, so `not_run` could be wrong.
fn with_unknown_outcome(failure: AttemptFailure) -> AttemptFailure {
    AttemptFailure { outcome: failure.outcome.combine(Outcome::Unknown), ..failure }
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
