//! Metrics, liveness and readiness over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::server::conn::auto::Builder;
use tokio::net::TcpListener;
use viz::IntoResponse;
use viz::Request;
use viz::Responder;
use viz::Response;
use viz::Router;
use viz::StatusCode;
use viz::Tree;

use crate::Telemetry;

/// Serves `/metrics`, `/live` and the readiness check until the task is aborted.
pub async fn serve(
    listener: TcpListener,
    telemetry: Arc<Telemetry>,
    ready_path: &'static str,
    is_ready: impl Fn() -> bool + Clone + Send + Sync + 'static,
) {
    let metrics = move |_: Request| {
        let text = telemetry.text();
        async move { Ok::<Response, viz::Error>(text.into_response()) }
    };
    let ready = move |_: Request| {
        let status = match is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { Ok::<Response, viz::Error>(status.into_response()) }
    };
    let live = |_: Request| async { Ok::<Response, viz::Error>(StatusCode::OK.into_response()) };
    let router = Router::new().get("/metrics", metrics).get(ready_path, ready).get("/live", live);
    let tree: Arc<Tree> = Arc::new(router.into());
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            continue;
        };
        let responder = Responder::<Arc<SocketAddr>>::new(tree.clone(), Some(Arc::new(peer)));
        tokio::spawn(async move {
            let builder = Builder::new(TokioExecutor::new());
            // Errors are ignored; a monitoring client may disconnect during a response.
            let _ = builder.serve_connection(TokioIo::new(stream), responder).await;
        });
    }
}
