//! Accepts callers' connections and handles their requests.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use balsam_fleet::Refusal;
use balsam_fleet::configuration::CallerLimits;
use balsam_fleet::configuration::RouteKind;
use balsam_fleet::serving::RequestKind;
use balsam_http::Client;
use balsam_http::ClientOptions;
use balsam_http::HeldMemory;
use balsam_http::OpenConnections;
use balsam_http::RequestBodies;
use balsam_http::Reservation;
use balsam_http::accept_queue;
use balsam_types::VmName;
use http::HeaderValue;
use http::Response;
use http::header;
use http_body::Body as _;
use hyper::body::Incoming;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::answer::Body;
use crate::answer::RequestFailure;
use crate::attempt::AttemptFailure;
use crate::caller_conn;
use crate::caller_conn::Activity;
use crate::caller_conn::MEMORY_RETRY_INTERVAL;
use crate::caller_conn::RunningRequest;
use crate::clock::now_ms;
use crate::dialect::Dialect;
use crate::hub::Hub;
use crate::open_requests::GuardedEvents;
use crate::open_requests::OpenRequestGuard;
use crate::open_requests::OpenRequests;
use crate::plain;
use crate::request;
use crate::request::Refused;
use crate::request::Request;
use crate::stream;

/// Pause after a failed accept; running out of file descriptors does not resolve at once.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// How often expired idle connections to endpoints are closed.
const CLOSE_EXPIRED_INTERVAL: Duration = Duration::from_secs(2);

/// Part of the maximum number of connections up to which further ones are refused with an answer.
const REFUSED_CONNECTIONS_DIVISOR: u64 = 8;

/// Rest of the grace period below which a request that waits for an endpoint is refused: a busy
/// endpoint needs up to this time for its first event, so a request sent later would be cut.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(2_500);

/// A request that a node which stops, or has too many connections, does not pass on. A caller that
/// returns reaches another node, which can serve it at once; a delay of zero would be taken for none.
const ELSEWHERE: RequestFailure = RequestFailure::NotRun { retry_after_ms: 50 };

/// Limits and timeouts of the request path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrontOptions {
    /// Timeout for connecting to an endpoint.
    pub connect_timeout_ms: u64,
    /// How long an idle connection to an endpoint is kept if the endpoint specifies no time.
    pub endpoint_idle_ms: u64,
    /// Maximum number of idle connections per endpoint.
    pub endpoint_idle_connections: usize,
    /// Maximum number of callers' connections.
    pub max_connections: usize,
    /// Bytes of requests and answers that the node may hold over all connections.
    pub max_held_bytes: usize,
}

impl FrontOptions {
    pub(crate) fn endpoint_idle(&self) -> Duration {
        Duration::from_millis(self.endpoint_idle_ms)
    }
}

/// State shared by all requests.
pub(crate) struct Shared {
    pub hub: Arc<Hub>,
    pub client: Client,
    pub dialect: Dialect,
    pub options: FrontOptions,
    stopping: watch::Sender<bool>,
    /// Once connections are being closed, when every request must have an answer.
    closing: watch::Sender<Option<Instant>>,
    open: Arc<OpenRequests>,
    connections: AtomicU64,
    accept_loops: AtomicUsize,
    pub open_connections: OpenConnections<Activity>,
    /// The bound on what all connections hold of requests and answers.
    pub held_memory: HeldMemory,
    pub bodies: RequestBodies,
    was_ready: AtomicBool,
}

/// The HTTP server for callers.
#[derive(Clone)]
pub struct Front {
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Front {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Front").finish_non_exhaustive()
    }
}

impl Front {
    /// Creates the server.
    pub fn new(hub: Arc<Hub>, dialect: Dialect, options: FrontOptions) -> Self {
        let client = Client::new(&ClientOptions {
            connect_timeout_ms: options.connect_timeout_ms,
            idle_ms: options.endpoint_idle_ms,
            idle_connections: options.endpoint_idle_connections,
        });
        let held_memory = HeldMemory::new(options.max_held_bytes);
        let shared = Shared {
            hub,
            client,
            dialect,
            options,
            stopping: watch::Sender::new(false),
            closing: watch::Sender::new(None),
            open: Arc::default(),
            connections: AtomicU64::new(0),
            accept_loops: AtomicUsize::new(0),
            open_connections: OpenConnections::default(),
            bodies: RequestBodies::new(held_memory.clone()),
            held_memory,
            was_ready: AtomicBool::new(false),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Whether the node should receive new connections; logs changes.
    pub fn is_ready(&self) -> bool {
        let (is_ready, lost_version) = self.shared.hub.read(|fleet| {
            let now_ms = now_ms();
            (fleet.is_ready(now_ms), fleet.lost_version(now_ms))
        });
        let is_ready = is_ready && !*self.shared.stopping.borrow();
        if self.shared.was_ready.swap(is_ready, Ordering::Relaxed) != is_ready {
            info!(self.shared.hub.log, "readiness changed"; "kind" => "ready", "ready" => is_ready,
                "lost_version" => lost_version);
        }
        is_ready
    }

    /// Accepts connections until [`Front::close`].
    pub async fn serve(&self, listener: TcpListener) {
        let _accepting = AcceptGuard::new(self.shared.clone());
        let mut close = pin!(self.shared.close_started());
        let mut close_expired_timer = tokio::time::interval(CLOSE_EXPIRED_INTERVAL);
        loop {
            let accepted = tokio::select! {
                _ = close.as_mut() => break,
                _ = close_expired_timer.tick() => {
                    self.shared.client.close_expired();
                    continue;
                }
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.accept(stream),
                Err(error) => {
                    warn!(self.shared.hub.log, "accepting a connection failed";
                        "kind" => "accept", "error" => %error);
                    tokio::time::sleep(ACCEPT_RETRY).await;
                }
            }
        }
        if let Err(error) = self.accept_waiting(listener).await {
            warn!(self.shared.hub.log, "accepting the last connections failed";
                "kind" => "accept", "error" => %error);
        }
    }

    /// Accepts the connections in the queue of a listener, then closes it.
    async fn accept_waiting(&self, listener: TcpListener) -> io::Result<()> {
        let mut queue = accept_queue(listener)?;
        while let Some((stream, _)) = queue.next().await? {
            self.accept(stream);
        }
        Ok(())
    }

    fn accept(&self, stream: TcpStream) {
        let shared = self.shared.clone();
        let max_connections = shared.options.max_connections as u64;
        let connections = shared.connections.fetch_add(1, Ordering::Relaxed);
        let guard = ConnectionGuard(shared.clone());
        if connections < max_connections {
            tokio::spawn(async move {
                caller_conn::serve(shared, stream).await;
                drop(guard);
            });
            return;
        }
        // A connection that closes is still counted for a moment.
        let max_excess = max_connections / REFUSED_CONNECTIONS_DIVISOR + 1;
        let unused = match connections < max_connections + max_excess {
            true => shared.open_connections.take_lowest(Activity::unused_since),
            false => return self.log_full(connections, "dropped", stream.peer_addr().ok()),
        };
        match unused {
            Some(unused) => {
                let is_idle = unused.idle_since().is_some();
                let action = if is_idle { "closed_idle" } else { "closed_still" };
                self.log_full(connections, action, unused.peer());
                unused.close_if_unused();
                tokio::spawn(async move {
                    caller_conn::serve(shared, stream).await;
                    drop(guard);
                });
            }
            None => {
                self.log_full(connections, "refused", stream.peer_addr().ok());
                tokio::spawn(async move {
                    caller_conn::refuse(shared, stream).await;
                    drop(guard);
                });
            }
        }
    }

    /// Counts and logs what becomes of a connection over the limit, or of the one that is closed for it.
    fn log_full(&self, connections: u64, action: &'static str, peer: Option<SocketAddr>) {
        let hub = &self.shared.hub;
        hub.metrics.connection_over_limit(action);
        if let Some(dropped) = hub.log_limiter.take("connection_over_limit") {
            warn!(hub.log, "too many connections are open"; "kind" => "connection_over_limit",
                "action" => action, "peer" => peer.map(|peer| peer.to_string()), "connections" => connections,
                "open_requests" => self.open_requests(), "dropped_lines" => dropped);
        }
    }

    /// Fails the readiness check; open and new connections are still served.
    pub fn stop(&self) {
        self.shared.stopping.send_replace(true);
    }

    /// Accepts the connections that wait, then none any more, and closes each open one after its
    /// current request. Requests that still arrive are refused, and each one without an answer gets
    /// one at `answer_by`.
    pub fn close(&self, answer_by: Instant) {
        self.shared.closing.send_replace(Some(answer_by));
    }

    /// Returns the number of requests whose answer is not complete.
    pub fn open_requests(&self) -> u64 {
        self.shared.open.len() as u64
    }

    /// Logs each open request as cut by the end of the grace period.
    pub fn log_cut_requests(&self) {
        self.shared.open.log_cut(&self.shared.hub);
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Whether each connection has closed, and none waits to be accepted, after [`Front::close`].
    pub fn is_closed(&self) -> bool {
        self.shared.accept_loops.load(Ordering::Acquire) == 0 && self.connections() == 0
    }
}

/// Counts an accept loop until dropped.
struct AcceptGuard(Arc<Shared>);

impl AcceptGuard {
    fn new(shared: Arc<Shared>) -> Self {
        shared.accept_loops.fetch_add(1, Ordering::Relaxed);
        Self(shared)
    }
}

impl Drop for AcceptGuard {
    fn drop(&mut self) {
        // Its connections are counted before.
        self.0.accept_loops.fetch_sub(1, Ordering::Release);
    }
}

/// Counts a connection as open until dropped.
struct ConnectionGuard(Arc<Shared>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Handles one request of a connection, which `running` marks as in use.
pub(crate) async fn handle_request(
    shared: Arc<Shared>,
    request: http::Request<Incoming>,
    running: RunningRequest,
) -> Response<Body> {
    let running = Arc::new(running);
    let (parts, mut body) = request.into_parts();
    let expects_continue = parts.headers.contains_key(header::EXPECT);
    let id = parts.headers.get(&shared.dialect.request_id).cloned();
    let open = shared.open.add(shared.hub.clone(), id.clone(), running.clone());
    let reading = {
        let (configuration, bodies) = (shared.hub.configuration_to_serve(), &shared.bodies);
        request::read(configuration, &shared.dialect, bodies, parts, &mut body)
    };
    let parsed = tokio::select! {
        biased;
        parsed = reading => parsed,
        _ = shared.close_started() => Err(ELSEWHERE.into()),
    };
    // By then the load balancer has removed the node. What still arrives is refused at once, so that
    // another node has its full time for it and the rest of the grace period is left to the
    // answers that are under way.
    let parsed = parsed.and_then(|request| match shared.is_closing() {
        true => Err(ELSEWHERE.into()),
        false => Ok(request),
    });
    let mut is_closing = false;
    let mut response = match parsed {
        Ok(request) => {
            running.finish_reading();
            let request = Arc::new(request);
            open.set_request(&request);
            answer_request(&shared, request).await
        }
        Err(refused) => {
            is_closing = refused.is_still();
            refuse_unread(&shared, id.as_ref(), &refused, body, expects_continue, running);
            refused.failure.response()
        }
    };
    if is_closing || *shared.stopping.borrow() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response.map(|body| keep_open_until_sent(body, open))
}

/// Refuses the first request of a connection over the limit.
pub(crate) fn refuse_request(
    shared: &Arc<Shared>,
    request: http::Request<Incoming>,
    running: RunningRequest,
) -> Response<Body> {
    let failure = ELSEWHERE;
    let (parts, body) = request.into_parts();
    let id = parts.headers.get(&shared.dialect.request_id);
    let expects_continue = parts.headers.contains_key(header::EXPECT);
    refuse_unread(shared, id, &failure.into(), body, expects_continue, Arc::new(running));
    let mut response = failure.response();
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Logs a refusal and reads on, so that a caller that is still sending gets it.
fn refuse_unread(
    shared: &Arc<Shared>,
    id: Option<&HeaderValue>,
    refused: &Refused,
    body: Incoming,
    expects_continue: bool,
    running: Arc<RunningRequest>,
) {
    let is_body_unread = !body.is_end_stream();
    shared.log_refusal_by_head(id, refused, running.peer(), is_body_unread);
    // A caller that expects `100 Continue` may or may not send the body after a refusal.
    if is_body_unread && !expects_continue && !refused.is_still() {
        let discarding = request::discard_body(body, shared.limits().max_body_bytes);
        tokio::spawn(async move {
            discarding.await;
            drop(running);
        });
    }
}

/// Keeps a request open until its body has been sent.
fn keep_open_until_sent(body: Body, open: OpenRequestGuard) -> Body {
    match body {
        Body::Whole(bytes) => {
            open.end();
            Body::Whole(bytes)
        }
        Body::Events(events) => Body::Events(Box::pin(GuardedEvents::new(events, open))),
    }
}

async fn answer_request(shared: &Arc<Shared>, request: Arc<Request>) -> Response<Body> {
    let serving = async {
        match request.route.kind {
            RouteKind::Stream { .. } => stream::serve(shared, request.clone()).await,
            RouteKind::Idempotent | RouteKind::NonIdempotent => {
                plain::serve(shared, &request).await
            }
        }
    };
    let result = tokio::select! {
        biased;
        result = serving => result,
        failure = shared.give_up_in_stop(&request) => Err(failure),
    };
    match result {
        Ok(response) => {
            shared.hub.metrics.answer("answered");
            response
        }
        Err(failure) => {
            shared.log_request_end(&request, "request_failed", failure.as_str());
            shared.hub.metrics.answer(failure.as_str());
            failure.within(request.left_ms()).response()
        }
    }
}

impl Shared {
    /// Reserves memory for an answer, waiting until it is free. Callers that read nothing of theirs give
    /// way meanwhile.
    pub async fn reserve_answer(&self, bytes: usize) -> Reservation {
        let mut reservation = Reservation::default();
        if self.held_memory.try_reserve_answer(&mut reservation, bytes) {
            return reservation;
        }
        {
            let mut reserving = pin!(self.held_memory.reserve_answer(&mut reservation, bytes));
            let mut timer = tokio::time::interval(MEMORY_RETRY_INTERVAL);
            loop {
                tokio::select! {
                    () = reserving.as_mut() => break,
                    _ = timer.tick() => caller_conn::close_stalled(self),
                }
            }
        }
        reservation
    }

    /// Adds memory for an unfinished answer at once; false if none is left.
    pub fn try_reserve_answer(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        let is_reserved = self.held_memory.try_reserve_answer(reservation, bytes);
        if !is_reserved {
            caller_conn::close_stalled(self);
        }
        is_reserved
    }

    fn is_closing(&self) -> bool {
        self.closing.borrow().is_some()
    }

    /// Waits until a stopping node can no longer hold a request without an answer; returns how it
    /// ends.
    async fn give_up_in_stop(&self, request: &Request) -> RequestFailure {
        let answer_by = self.close_started().await;
        sleep_until(answer_by.checked_sub(MIN_ANSWER_TIME).unwrap_or(answer_by)).await;
        let rest_ms = answer_by.saturating_duration_since(Instant::now()).as_millis() as u64;
        if !request.may_have_run() && request.left_ms() > rest_ms {
            return ELSEWHERE;
        }
        sleep_until(answer_by).await;
        match request.may_have_run() {
            true => RequestFailure::MayHaveRun,
            false => ELSEWHERE,
        }
    }

    /// Waits until connections are being closed; returns when every request must have an answer.
    pub async fn close_started(&self) -> Instant {
        let mut closing = self.closing.subscribe();
        match closing.wait_for(Option::is_some).await.map(|answer_by| *answer_by) {
            Ok(Some(answer_by)) => answer_by,
            // The sender is a field of this value.
            Ok(None) | Err(_) => std::future::pending().await,
        }
    }

    /// Returns the limits for callers that are in force.
    pub fn limits(&self) -> CallerLimits {
        self.hub.configuration().map(|configuration| configuration.limits).unwrap_or_default()
    }

    /// Counts a failed attempt and logs it; `has_events` tells whether an event of its answer arrived.
    pub fn log_attempt_failure(
        &self,
        request: &Request,
        vm: Option<&VmName>,
        failure: &AttemptFailure,
        has_events: bool,
    ) {
        self.hub.metrics.attempt_failure(failure.as_str(), has_events);
        if let Some(dropped) = self.hub.log_limiter.take("attempt_failed") {
            info!(self.hub.log, "attempt failed"; "kind" => "attempt_failed",
                "request" => request.id_text(), "route" => %request.route.name,
                "endpoint" => vm.map(|vm| vm.as_str().to_owned()),
                "failure" => ?failure, "has_events" => has_events,
                "segments" => ?request.work.shared_segments,
                "age_ms" => now_ms() - request.arrived_ms,
                "dropped_lines" => dropped);
        }
    }

    /// Counts a request that was refused before it was read whole, and logs it.
    pub fn log_refusal_by_head(
        &self,
        id: Option<&HeaderValue>,
        refused: &Refused,
        peer: Option<SocketAddr>,
        is_body_unread: bool,
    ) {
        self.hub.metrics.answer(refused.failure.as_str());
        if let Some(body) = refused.body {
            self.hub.metrics.body_refused(body);
        }
        let organisation =
            refused.organisation.as_ref().and_then(|organisation| organisation.name.as_ref());
        if let Some(dropped) = self.hub.log_limiter.take("request_refused") {
            info!(self.hub.log, "request refused"; "kind" => "request_refused",
                "request" => id.and_then(|id| id.to_str().ok()),
                "outcome" => refused.failure.as_str(), "body" => refused.body,
                "organisation" => organisation.map(ToString::to_string),
                "peer" => peer.map(|peer| peer.to_string()),
                "is_body_unread" => is_body_unread, "dropped_lines" => dropped);
        }
    }

    /// Counts a refusal and logs it with the state that led to it.
    pub fn log_refusal(&self, request: &Request, refusal: &Refusal) {
        self.hub.metrics.refusal(refusal.reason.as_str());
        let Some(dropped) = self.hub.log_limiter.take("refused") else { return };
        let now_ms = now_ms();
        let (servers, waiting, nodes, list_age_ms, version) = self.hub.read(|fleet| {
            let kind =
                RequestKind { pool: request.pool.clone(), model: request.work.model.clone() };
            (
                fleet.serving.of(&kind).len(),
                fleet.waiting.len(),
                fleet.nodes(now_ms),
                fleet.directory.age_ms(now_ms),
                fleet.version(),
            )
        });
        info!(self.hub.log, "no endpoint accepted the request"; "kind" => "refused",
            "request" => request.id_text(), "route" => %request.route.name,
            "reason" => refusal.reason.as_str(), "segments" => ?request.work.shared_segments,
            "retry_after_ms" => refusal.retry_after_ms,
            "predicted_wait_ms" => refusal.prediction.map(|prediction| prediction.wait_ms),
            "work_ahead_ms" => refusal.prediction.map(|prediction| prediction.work_ahead_ms),
            "age_ms" => now_ms - request.arrived_ms, "servers" => servers, "waiting" => waiting,
            "nodes" => nodes, "list_age_ms" => list_age_ms, "version" => version,
            "dropped_lines" => dropped);
    }

    /// Logs a request that ended without a complete answer.
    pub fn log_request_end(&self, request: &Request, kind: &'static str, outcome: &str) {
        if let Some(dropped) = self.hub.log_limiter.take(kind) {
            info!(self.hub.log, "request ended without an answer"; "kind" => kind,
                "request" => request.id_text(), "route" => %request.route.name, "outcome" => outcome,
                "age_ms" => now_ms() - request.arrived_ms, "left_ms" => request.left_ms(),
                "dropped_lines" => dropped);
        }
    }
}
