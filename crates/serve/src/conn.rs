//! Callers' connections: the accept loop, limits, timeouts and shutdown.
//!
//! viz routes and answers requests, but its server is not used, because that server's shutdown
//! timeout is fixed at 10 s.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use balsam_http::accept_queue;
use balsam_http::limit_unsent;
use hyper::service::Service;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::yield_now;
use viz::Request;
use viz::Responder;
use viz::Response;
use viz::Router;
use viz::Tree;

use crate::linger::CallerSocket;
use crate::open_connections::Activity;
use crate::open_connections::ActivityGuard;
use crate::open_connections::close_oldest_idle;
use crate::shared::Shared;

/// Pause after a failed accept, because a shortage of file descriptors may last for a while.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a connection without a request stays open after the shutdown began. A request may be
/// under way on it, and gets a refusal until then; a close would leave it without an answer.
const CLOSE_DELAY: Duration = Duration::from_millis(500);

/// How long to wait for the slot of a connection that was asked to close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Part of the maximum number of connections up to which further ones are refused with an answer.
const REFUSED_CONNECTIONS_DIVISOR: usize = 8;

/// Time for the head of the first request of a connection over the limit.
const REFUSAL_HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for the refusals on a connection over the limit, and for its close.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum unread bytes of one HTTP/2 stream. Bodies are small, so a larger window has no benefit.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;

/// Maximum unread bytes of one HTTP/2 connection. hyper's default of 1 MiB would allow 4 GiB on
/// 4096 connections.
const CONNECTION_WINDOW_BYTES: u32 = 128 * 1024;

/// Accepts connections until the shutdown starts, including those that are in the accept queue
/// then, which a close of the listener would reset.
pub(crate) async fn accept(shared: Arc<Shared>, listener: TcpListener, routers: Routers) {
    let _accepting = AcceptGuard::new(shared.clone());
    let mut stopping = shared.stopping.subscribe();
    loop {
        let accepted = tokio::select! {
            _ = stopping.wait_for(|stop| *stop) => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => start(&shared, &routers, stream, peer).await,
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    if let Err(error) = accept_waiting(&shared, listener, &routers).await {
        slog::warn!(shared.log, "accepting the last connections failed"; "error" => %error);
    }
}

/// Accepts the connections in the queue of a listener, then closes it.
async fn accept_waiting(
    shared: &Arc<Shared>,
    listener: TcpListener,
    routers: &Routers,
) -> io::Result<()> {
    let mut queue = accept_queue(listener)?;
    while let Some((stream, peer)) = queue.next().await? {
        start(shared, routers, stream, peer).await;
    }
    Ok(())
}

/// What handles the requests of connections.
pub(crate) struct Routers {
    /// Handles those of connections within the limit.
    pub serving: Arc<Tree>,
    /// Refuses those of connections over the limit.
    pub refusing: Arc<Tree>,
}

/// Returns how many connections over the limit may be open to be refused.
pub(crate) fn max_refused_connections(max_connections: usize) -> usize {
    max_connections / REFUSED_CONNECTIONS_DIVISOR + 1
}

/// Counts one accept loop until it is dropped.
struct AcceptGuard(Arc<Shared>);

impl AcceptGuard {
    fn new(shared: Arc<Shared>) -> Self {
        shared.accept_loops.send_modify(|count| *count += 1);
        Self(shared)
    }
}

impl Drop for AcceptGuard {
    fn drop(&mut self) {
        self.0.accept_loops.send_modify(|count| *count -= 1);
    }
}

/// Serves a connection in its own task, or refuses its requests if there are too many.
async fn start(shared: &Arc<Shared>, routers: &Routers, stream: TcpStream, peer: SocketAddr) {
    if let Some(permit) = acquire_slot(shared).await {
        let (shared, tree) = (shared.clone(), routers.serving.clone());
        tokio::spawn(async move {
            let _permit = permit;
            let registry = shared.clone();
            let activity = Arc::new(Activity::new(false));
            let number = shared.open_connections.add(activity.clone());
            serve(shared, tree, stream, peer, activity).await;
            registry.open_connections.remove(number);
        });
        return;
    }
    // Closing the others at once bounds the memory and lets the load balancer use another node.
    let Ok(permit) = shared.refusal_slots.clone().try_acquire_owned() else {
        return shared.metrics.connection_refused("dropped");
    };
    shared.metrics.connection_refused("refused");
    let (shared, tree) = (shared.clone(), routers.refusing.clone());
    tokio::spawn(async move {
        let _permit = permit;
        refuse(shared, tree, stream, peer).await;
    });
}

/// Serves a connection over the limit until its first requests are refused. They have to be read:
/// the protocol of the answer and the key, which decides the outcome, are not known before.
async fn refuse(shared: Arc<Shared>, tree: Arc<Tree>, stream: TcpStream, peer: SocketAddr) {
    let activity = Arc::new(Activity::new(true));
    let mut serving = std::pin::pin!(serve(shared, tree, stream, peer, activity.clone()));
    if tokio::time::timeout(REFUSAL_HEAD_TIMEOUT, serving.as_mut()).await.is_err()
        && activity.had_request.load(Ordering::Relaxed)
    {
        let _ = tokio::time::timeout(REFUSAL_TIMEOUT, serving).await;
    }
}

/// Acquires a slot for a connection. If none is free, closes the oldest connection without a
/// running request, so that callers that open connections and send nothing cannot lock others out.
async fn acquire_slot(shared: &Shared) -> Option<OwnedSemaphorePermit> {
    if let Ok(permit) = shared.connection_slots.clone().try_acquire_owned() {
        return Some(permit);
    }
    if !close_oldest_idle(&shared.open_connections) {
        return None;
    }
    let slot = tokio::time::timeout(CLOSE_TIMEOUT, shared.connection_slots.clone().acquire_owned());
    slot.await.ok()?.ok()
}

/// Returns a router that passes each request to `respond`.
pub(crate) fn router<H, F>(respond: H) -> Arc<Tree>
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let handler = move |request| {
        let response = respond(request);
        async move { Ok::<_, viz::Error>(response.await) }
    };
    Arc::new(Tree::from(Router::new().any("/", handler.clone()).any("/*", handler)))
}

async fn serve(
    shared: Arc<Shared>,
    tree: Arc<Tree>,
    stream: TcpStream,
    peer: SocketAddr,
    activity: Arc<Activity>,
) {
    let _ = stream.set_nodelay(true);
    let _ = limit_unsent(&stream);
    let responder = Responder::new(tree, Some(peer));
    let service = {
        let activity = activity.clone();
        hyper::service::service_fn(move |request| {
            let guard = ActivityGuard::new(activity.clone());
            let response = responder.call(request);
            async move {
                let _guard = guard;
                response.await
            }
        })
    };
    let socket = CallerSocket::new(stream, shared.clone(), activity.clone());
    let builder = builder(&shared);
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    let mut connection = std::pin::pin!(connection);
    let mut stopping = shared.stopping.subscribe();
    let mut close_time = std::pin::pin!(async {
        let _ = stopping.wait_for(|stop| *stop).await;
        tokio::time::sleep(CLOSE_DELAY).await;
    });
    let mut is_closing = false;
    let header_timeout = Duration::from_millis(shared.options.header_read_timeout_ms);
    let idle_timeout = Duration::from_millis(shared.options.idle_connection_ms);
    let write_timeout = Duration::from_millis(shared.options.write_timeout_ms);
    let tick_time = header_timeout.min(write_timeout) / 2;
    let mut tick = tokio::time::interval(tick_time.max(Duration::from_millis(10)));
    loop {
        let ends_unused = tokio::select! {
            biased;
            // An error on a connection affects only its caller and is ignored.
            _ = connection.as_mut() => return,
            _ = activity.close.notified(), if !is_closing => true,
            () = close_time.as_mut(), if !is_closing => false,
            _ = tick.tick() => {
                if activity.blocked_for() > write_timeout {
                    shared.metrics.unread_answers.add(1, &[]);
                    return;
                }
                // hyper starts its own timers only after it has detected the protocol.
                let had_request = activity.had_request.load(Ordering::Relaxed);
                let is_head_late = !had_request && activity.started.elapsed() > header_timeout;
                let is_idle = !is_closing && activity.idle_for() > idle_timeout;
                if !is_head_late && !is_idle {
                    continue;
                }
                is_head_late
            }
        };
        // A request may have arrived that the runtime has not reported yet. It is read before the
        // close, which would discard it.
        tokio::select! {
            biased;
            _ = connection.as_mut() => return,
            () = yield_now() => {}
        }
        if ends_unused && !activity.had_request.load(Ordering::Relaxed) {
            return;
        }
        if !is_closing {
            is_closing = true;
            connection.as_mut().graceful_shutdown();
        }
    }
}

fn builder(shared: &Shared) -> auto::Builder<TokioExecutor> {
    let options = &shared.options;
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .max_headers(options.max_headers)
        .max_buf_size(options.max_header_bytes)
        .header_read_timeout(Duration::from_millis(options.header_read_timeout_ms));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(options.max_streams_per_connection)
        .max_header_list_size(u32::try_from(options.max_header_bytes).unwrap_or(u32::MAX))
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .keep_alive_interval(Duration::from_millis(options.idle_connection_ms / 2 + 1));
    builder
}
