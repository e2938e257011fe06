//! Reading of a caller's connection after its last answer.
//!
//! A close with unread bytes, or bytes that arrive after it, resets the connection, and the reset
//! discards an answer that the caller has not read yet, such as a refusal by the head of a request
//! whose body is still arriving.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

const BUFFER_BYTES: usize = 4096;

/// What is read and discarded of a connection whose sending side has ended.
#[derive(Debug)]
pub struct Linger {
    timer: Pin<Box<Sleep>>,
    left_bytes: usize,
}

impl Linger {
    /// Starts the time for which up to `max_bytes` are discarded.
    pub fn new(time: Duration, max_bytes: usize) -> Self {
        Self { timer: Box::pin(sleep(time)), left_bytes: max_bytes }
    }

    /// Reads until the caller closes the connection or a limit is reached.
    pub fn poll(&mut self, stream: &mut TcpStream, cx: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; BUFFER_BYTES];
        while self.timer.as_mut().poll(cx).is_pending() && self.left_bytes > 0 {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut *stream).poll_read(cx, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                break;
            }
            self.left_bytes = self.left_bytes.saturating_sub(buffer.filled().len());
        }
        Poll::Ready(())
    }
}
