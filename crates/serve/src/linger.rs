//! Sockets of callers' connections, which read on for a while after the node has closed them.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use balsam_http::Linger;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::open_connections::Activity;
use crate::shared::Shared;

/// Maximum number of closed sockets that are still read. They have no slot of a connection, so that
/// a caller that does not close keeps no other one out.
pub(crate) const MAX_LINGERING: u32 = 256;

/// How long a closed socket is read.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// How many bytes are read from a closed socket.
const LINGER_BYTES: usize = 4 * 1024 * 1024;

/// The socket of a caller's connection.
pub(crate) struct CallerSocket {
    stream: Option<TcpStream>,
    shared: Arc<Shared>,
    activity: Arc<Activity>,
    /// Whether the caller has closed the connection or it has failed.
    has_ended: bool,
}

impl CallerSocket {
    pub fn new(stream: TcpStream, shared: Arc<Shared>, activity: Arc<Activity>) -> Self {
        Self { stream: Some(stream), shared, activity, has_ended: false }
    }

    fn stream(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        self.stream.as_mut().map(Pin::new).ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

impl Drop for CallerSocket {
    fn drop(&mut self) {
        let Some(stream) = self.stream.take().filter(|_| !self.has_ended) else { return };
        let permit = self.shared.lingering.clone().try_acquire_owned();
        if let (Ok(permit), Ok(runtime)) = (permit, tokio::runtime::Handle::try_current()) {
            runtime.spawn(async move {
                let _permit = permit;
                let _ = discard(stream).await;
            });
        }
    }
}

/// Ends the sending side and discards what arrives.
async fn discard(mut stream: TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut linger = Linger::new(LINGER_TIME, LINGER_BYTES);
    poll_fn(|cx| linger.poll(&mut stream, cx)).await;
    Ok(())
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (filled_before, is_full) = (buffer.filled().len(), buffer.remaining() == 0);
        let polled = self.stream()?.poll_read(cx, buffer);
        self.has_ended |= match &polled {
            Poll::Ready(Ok(())) => buffer.filled().len() == filled_before && !is_full,
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        polled
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = self.stream()?.poll_write(cx, buffer);
        self.activity.wrote(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.stream()?.poll_write_vectored(cx, buffers);
        self.activity.wrote(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.as_ref().is_some_and(AsyncWrite::is_write_vectored)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_shutdown(cx)
    }
}
