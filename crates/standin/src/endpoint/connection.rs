//! Connections of a stand-in endpoint, which can be silenced or closed by a test.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::Shared;
use super::service;

pub(super) async fn accept_connections(shared: Arc<Shared>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        let _ = stream.set_nodelay(true);
        let number = shared.connections.fetch_add(1, Ordering::SeqCst);
        let io = TokioIo::new(SilenceableSocket { stream, number, shared: shared.clone() });
        let shared = shared.clone();
        let mut closed = shared.closed_below.subscribe();
        connections.spawn(async move {
            let service = hyper::service::service_fn(move |request| {
                let shared = shared.clone();
                async move { service::handle(shared, request).await }
            });
            tokio::select! {
                // The result is ignored because injected faults end connections with an error.
                _ = http1::Builder::new().serve_connection(io, service) => {}
                _ = closed.wait_for(|below| number < *below) => {}
            }
        });
    }
}

/// A socket that stays open but neither reads nor writes after it is silenced.
struct SilenceableSocket {
    stream: TcpStream,
    number: u64,
    shared: Arc<Shared>,
}

impl SilenceableSocket {
    fn is_silent(&self) -> bool {
        self.number < self.shared.silent_below.load(Ordering::SeqCst)
    }
}

impl AsyncRead for SilenceableSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if self.is_silent() {
            // Silenced while this read was in progress: discard what was read.
            buf.set_filled(before);
            return Poll::Pending;
        }
        polled
    }
}

impl AsyncWrite for SilenceableSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
