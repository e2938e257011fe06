//! The accept queue of a listener that is about to close, which would reset the connections in it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;

/// Pause after a failed accept.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// How long failed accepts are repeated. Idle connections, which close meanwhile, free descriptors.
const RETRY_TIME: Duration = Duration::from_secs(2);

/// Takes the waiting connections by an accept call that does not block.
#[derive(Debug)]
pub struct AcceptQueue<A> {
    accept: A,
    /// Set by the first failed accept and never extended, so that the queue has an end.
    retry_until: Option<Instant>,
}

/// Returns the queue of a listener. tokio's listener may report an empty queue before it has been
/// notified of a connection, so it is not asked.
pub fn accept_queue(
    listener: TcpListener,
) -> io::Result<AcceptQueue<impl FnMut() -> io::Result<(TcpStream, SocketAddr)>>> {
    let listener = listener.into_std()?;
    Ok(AcceptQueue::new(move || {
        let (stream, peer) = listener.accept()?;
        stream.set_nonblocking(true)?;
        Ok((TcpStream::from_std(stream)?, peer))
    }))
}

impl<A, C> AcceptQueue<A>
where
    A: FnMut() -> io::Result<C>,
{
    /// Creates a queue from an accept call.
    pub fn new(accept: A) -> Self {
        Self { accept, retry_until: None }
    }

    /// Returns the next connection, or `None` once the queue is empty. An error of a connection
    /// takes it off the queue; a shortage of descriptors leaves it there, and is an error only if it
    /// lasts.
    pub async fn next(&mut self) -> io::Result<Option<C>> {
        loop {
            let error = match (self.accept)() {
                Ok(connection) => return Ok(Some(connection)),
                Err(error) => error,
            };
            match error.kind() {
                io::ErrorKind::WouldBlock => return Ok(None),
                io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted => continue,
                _ => {}
            }
            let retry_until = *self.retry_until.get_or_insert_with(|| Instant::now() + RETRY_TIME);
            if Instant::now() >= retry_until {
                return Err(error);
            }
            sleep(RETRY_DELAY).await;
        }
    }
}
