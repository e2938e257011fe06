//! The socket of a caller's connection, which tells the connection what is read and written.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use balsam_http::HeldMemory;
use balsam_http::Linger;
use balsam_http::Reservation;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use super::Activity;

/// Bytes that are read at a time. hyper enlarges the buffer of a connection from 8 KB to its limit if
/// reads fill it, and on all connections together that exceeds the memory of a VM.
const READ_BYTES: usize = 8 * 1024 - 1;

/// Bytes of a head that need no reservation of memory; few heads are larger.
const UNRESERVED_HEAD_BYTES: usize = 8 * 1024;

/// Time for which bytes are discarded after the last answer of a connection.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Bytes that are discarded after the last answer of a connection.
const LINGER_BYTES: usize = 256 * 1024;

/// A caller's socket.
pub(super) struct CallerSocket {
    stream: TcpStream,
    activity: Arc<Activity>,
    memory: HeldMemory,
    /// The bytes of a head that is not complete, and the memory that they reserve.
    head_bytes: usize,
    head_reservation: Reservation,
    /// The end of the connection, once its last answer was written.
    linger: Option<Linger>,
}

impl CallerSocket {
    pub fn new(stream: TcpStream, activity: Arc<Activity>, memory: HeldMemory) -> Self {
        Self {
            stream,
            activity,
            memory,
            head_bytes: 0,
            head_reservation: Reservation::default(),
            linger: None,
        }
    }

    /// Releases the memory of a head that is complete.
    fn release_head(&mut self) {
        if self.head_bytes > 0 && self.activity.state().head_since.is_none() {
            self.head_bytes = 0;
            self.head_reservation = Reservation::default();
        }
    }

    /// Reserves memory for the bytes of a head that is not complete. The connection ends if there is
    /// none: its request has not been read, so that it cannot be answered.
    fn reserve_head(&mut self, bytes: usize) -> io::Result<()> {
        if self.activity.state().head_since.is_none() {
            return Ok(());
        }
        self.head_bytes += bytes;
        let reserved_bytes = self.head_bytes.saturating_sub(UNRESERVED_HEAD_BYTES);
        let added_bytes = reserved_bytes - self.head_reservation.bytes();
        match self.memory.try_reserve_request(&mut self.head_reservation, added_bytes) {
            true => Ok(()),
            false => Err(io::ErrorKind::OutOfMemory.into()),
        }
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.release_head();
        let max_bytes = buffer.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(max_bytes));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let bytes = part.filled().len();
        buffer.advance(bytes);
        if bytes > 0 {
            self.activity.received();
            self.reserve_head(bytes)?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.activity.wrote(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes once it has written everything.
        self.activity.state().unsent_bytes = 0;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let linger = match &mut this.linger {
            Some(linger) => linger,
            None => {
                ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
                // A request that crosses the close of an idle connection must not count as read.
                if this.activity.state().is_closed_idle {
                    return Poll::Ready(Ok(()));
                }
                this.linger.insert(Linger::new(LINGER_TIME, LINGER_BYTES))
            }
        };
        linger.poll(&mut this.stream, cx).map(Ok)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.activity.wrote(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
