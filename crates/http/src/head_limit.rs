//! A bound on what an endpoint may send before the final head of its answer is complete.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// The bytes that may still arrive before the final head of an answer.
///
/// hyper bounds each head, but not the number of interim answers before the final one. Without end,
/// they kept a node from serving its other callers.
#[derive(Debug, Clone)]
pub(crate) struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    /// Creates the limit of a connection on which no answer is expected yet.
    pub fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }

    /// Begins to wait for a head.
    pub fn begin(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Lifts the limit for the body that follows a head.
    pub fn lift(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Whether the limit was exceeded.
    pub fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn count(&self, bytes: usize) {
        let left = self.0.load(Ordering::Relaxed);
        if left != usize::MAX {
            self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
    }
}

/// A connection that fails once its [`HeadLimit`] is exceeded.
pub(crate) struct LimitedStream {
    pub stream: TcpStream,
    pub head_limit: HeadLimit,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.head_limit.is_exceeded() {
            let cause = "the heads before the answer exceed the limit";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        self.head_limit.count(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
