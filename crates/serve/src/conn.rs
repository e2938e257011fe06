//! Callers' connections: the accept loop, their limits and their end.
//!
//! viz routes and answers; its own server is not used, because its shutdown is fixed at 10 s.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::service::Service;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use viz::Request;
use viz::Responder;
use viz::Response;
use viz::Router;
use viz::Tree;

use crate::idle::Activity;
use crate::idle::ActivityGuard;
use crate::shared::Shared;

/// Pause after a failed accept; a lack of file descriptors does not go away at once.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// How long a place may take to become free after its connection was told to close.
const CLOSE_WAIT: Duration = Duration::from_millis(50);

/// Unread bytes of one HTTP/2 stream; bodies are small, so a larger window gains nothing.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;

/// Unread bytes of one HTTP/2 connection; hyper's default of 1 MiB on 4096 connections is 4 GiB.
const CONNECTION_WINDOW_BYTES: u32 = 128 * 1024;

/// Accepts connections until the shutdown starts; `answer` answers each request.
pub(crate) async fn accept<H, F>(shared: Arc<Shared>, listener: TcpListener, answer: H)
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let tree = Arc::new(Tree::from(router(answer)));
    let mut stopping = shared.stopping.subscribe();
    loop {
        let accepted = tokio::select! {
            _ = stopping.wait_for(|stop| *stop) => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let Some(permit) = take_place(&shared).await else {
            // Closing at once keeps the memory bounded and lets the load balancer go elsewhere.
            shared.metrics.connections_refused.add(1, &[]);
            continue;
        };
        let shared = shared.clone();
        let tree = tree.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let idle = shared.clone();
            let (number, activity) = Activity::start(&shared.idle);
            serve(shared, tree, stream, peer, activity).await;
            idle.idle.lock().remove(&number);
        });
    }
}

/// Takes a place for a connection, if need be that of the oldest one without a request: whoever
/// opens connections and sends nothing must not keep others out.
async fn take_place(shared: &Shared) -> Option<OwnedSemaphorePermit> {
    if let Ok(permit) = shared.connections.clone().try_acquire_owned() {
        return Some(permit);
    }
    if !shared.idle.close_oldest() {
        return None;
    }
    let freed = tokio::time::timeout(CLOSE_WAIT, shared.connections.clone().acquire_owned());
    freed.await.ok()?.ok()
}

fn router<H, F>(answer: H) -> Router
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let handler = move |request| {
        let response = answer(request);
        async move { Ok::<_, viz::Error>(response.await) }
    };
    Router::new().any("/", handler.clone()).any("/*", handler)
}

async fn serve(
    shared: Arc<Shared>,
    tree: Arc<Tree>,
    stream: TcpStream,
    peer: SocketAddr,
    activity: Arc<Activity>,
) {
    let _ = stream.set_nodelay(true);
    let responder = Responder::new(tree, Some(peer));
    let service = {
        let activity = activity.clone();
        hyper::service::service_fn(move |request| {
            let open = ActivityGuard::new(activity.clone());
            let response = responder.call(request);
            async move {
                let _open = open;
                response.await
            }
        })
    };
    let builder = builder(&shared);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut stopping = shared.stopping.subscribe();
    let mut stopped = false;
    let header_timeout = Duration::from_millis(shared.options.header_read_timeout_ms);
    let idle_limit = Duration::from_millis(shared.options.idle_connection_ms);
    let mut tick = tokio::time::interval((header_timeout / 2).max(Duration::from_millis(10)));
    loop {
        tokio::select! {
            // An error of one connection concerns its caller only.
            _ = connection.as_mut() => return,
            _ = activity.close.notified(), if !stopped => {
                if !activity.had_request.load(Ordering::Relaxed) {
                    return;
                }
                stopped = true;
                connection.as_mut().graceful_shutdown();
            }
            _ = stopping.wait_for(|stop| *stop), if !stopped => {
                stopped = true;
                connection.as_mut().graceful_shutdown();
            }
            _ = tick.tick() => {
                // hyper's own timers start only after the protocol is known.
                let had_request = activity.had_request.load(Ordering::Relaxed);
                if !had_request && activity.started.elapsed() > header_timeout {
                    return;
                }
                if !stopped && activity.idle_for() > idle_limit {
                    stopped = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
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
