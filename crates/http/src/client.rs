//! HTTP/1.1 connections to endpoints, with a small pool per endpoint.
//!
//! The pool is kept here because a connection that fell silent must never be reused, and because a
//! request that was not written must be told from one that was.

use std::collections::HashMap;
use std::future::Future;
use std::future::poll_fn;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a pooled connection may take to become ready; a used-up one is ready at once.
const POOLED_READY: Duration = Duration::from_millis(20);

/// Most bytes of the head of an answer: an endpoint in trouble may send bytes without end.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The limits of a [`Client`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientOptions {
    /// How long opening a connection may take.
    pub connect_timeout_ms: u64,
    /// How long an unused connection is kept if the endpoint names no time of its own.
    pub idle_ms: u64,
    /// Most unused connections that are kept for one endpoint.
    pub idle_connections: usize,
}

/// Why there is no answer, by what the endpoint can have seen of the request.
#[derive(Debug)]
pub enum SendError {
    /// No byte was written.
    NotWritten(String),
    /// Nothing listens at the address.
    Refused(String),
    /// The caller's check forbade writing.
    Forbidden,
    /// Bytes may have been written.
    Written(String),
    /// Bytes were written, and what came back is no answer.
    Malformed(String),
    /// Bytes may have been written, and then nothing came for too long.
    Silent,
}

/// An open connection; dropping it closes the socket.
pub struct Conn {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    /// Moves the bytes of the connection.
    pub driver: Driver,
}

impl std::fmt::Debug for Conn {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Conn").field("address", &self.address).finish_non_exhaustive()
    }
}

/// The I/O of a connection, polled by whoever waits for its answer: a task of its own would cost a
/// wake-up, mostly on another thread, for each event of a stream.
pub struct Driver(Option<Pin<Box<HttpConnection>>>);

type HttpConnection = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

impl Driver {
    /// Waits for something that the connection brings about.
    pub async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            self.poll(cx);
            future.as_mut().poll(cx)
        })
        .await
    }

    fn poll(&mut self, cx: &mut Context<'_>) {
        // The error also reaches whoever waits for the answer.
        if self.0.as_mut().is_some_and(|connection| connection.as_mut().poll(cx).is_ready()) {
            self.0 = None;
        }
    }

    /// Looks at the I/O of an unused connection; false if it has ended.
    fn is_open(&mut self) -> bool {
        self.poll(&mut Context::from_waker(Waker::noop()));
        self.0.is_some()
    }
}

struct Idle {
    conn: Conn,
    until: Instant,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client").field("idle_limit", &self.idle_limit).finish_non_exhaustive()
    }
}

/// Connections to endpoints.
pub struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    connect_timeout: Duration,
    idle_limit: Duration,
    idle_connections: usize,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(options: &ClientOptions) -> Self {
        Self {
            idle: Mutex::new(HashMap::new()),
            connect_timeout: Duration::from_millis(options.connect_timeout_ms),
            idle_limit: Duration::from_millis(options.idle_ms),
            idle_connections: options.idle_connections,
        }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// A pooled connection that the endpoint closed before anything was written is replaced by
    /// another one. `may_write` is checked immediately before each write.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &Request<Full<Bytes>>,
        silence: Duration,
        may_write: impl Fn() -> bool,
    ) -> Result<(Conn, Response<Incoming>), SendError> {
        loop {
            let (mut conn, pooled) = match self.checkout(address).await {
                Some(conn) => (conn, true),
                None => (self.connect(address).await?, false),
            };
            if !may_write() {
                self.checkin(conn);
                return Err(SendError::Forbidden);
            }
            let sent = conn.sender.try_send_request(request.clone());
            match timeout(silence, conn.driver.drive(sent)).await {
                Ok(Ok(response)) => return Ok((conn, response)),
                Err(_) => return Err(SendError::Silent),
                Ok(Err(mut error)) => {
                    let written = error.take_message().is_none();
                    let error = error.into_error();
                    match (written, pooled) {
                        (true, _) => return Err(written_error(address, &error)),
                        (false, false) => {
                            return Err(SendError::NotWritten(describe(address, &error)));
                        }
                        (false, true) => {}
                    }
                }
            }
        }
    }

    /// Opens a connection that is not from the pool.
    pub async fn connect(&self, address: SocketAddr) -> Result<Conn, SendError> {
        let not_written = |cause: &dyn std::fmt::Display| format!("connect to {address}: {cause}");
        let open = async {
            let stream = TcpStream::connect(address).await.map_err(|e| match e.kind() {
                ErrorKind::ConnectionRefused => SendError::Refused(not_written(&e)),
                _ => SendError::NotWritten(not_written(&e)),
            })?;
            stream.set_nodelay(true).map_err(|e| SendError::NotWritten(not_written(&e)))?;
            let mut builder = http1::Builder::new();
            builder.max_buf_size(MAX_HEAD_BYTES);
            let handshake = builder.handshake(TokioIo::new(stream)).await;
            handshake.map_err(|e| SendError::NotWritten(not_written(&chain(&e))))
        };
        let opened = timeout(self.connect_timeout, open).await;
        let (sender, connection) =
            opened.unwrap_or_else(|_| Err(SendError::NotWritten(not_written(&"timed out"))))?;
        let driver = Driver(Some(Box::pin(connection)));
        Ok(Conn { address, sender, driver })
    }

    /// Sends a request over a fresh connection only, as after a connection fell silent.
    pub async fn send_fresh(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        silence: Duration,
    ) -> Result<(Conn, Response<Incoming>), SendError> {
        let mut conn = self.connect(address).await?;
        let sent = conn.sender.send_request(request);
        match timeout(silence, conn.driver.drive(sent)).await {
            Ok(Ok(response)) => Ok((conn, response)),
            Ok(Err(error)) => Err(written_error(address, &error)),
            Err(_) => Err(SendError::Silent),
        }
    }

    /// Returns a connection whose answer was read to its end.
    pub fn checkin(&self, conn: Conn) {
        self.checkin_for(conn, self.idle_limit);
    }

    /// Returns a connection that the endpoint keeps open for `keep` only.
    pub fn checkin_for(&self, mut conn: Conn, keep: Duration) {
        if self.idle_connections == 0 || !conn.driver.is_open() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(conn.address).or_default();
        if list.len() >= self.idle_connections {
            list.remove(0);
        }
        list.push(Idle { conn, until: Instant::now() + keep.min(self.idle_limit) });
    }

    /// Closes unused connections to an endpoint, as after one of them fell silent.
    pub fn evict(&self, address: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    /// Closes connections that were unused for too long.
    pub fn sweep(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, list| {
            list.retain_mut(|i| Instant::now() < i.until && i.conn.driver.is_open());
            !list.is_empty()
        });
    }

    async fn checkout(&self, address: SocketAddr) -> Option<Conn> {
        loop {
            let mut conn = self.pop(address)?;
            let ready = timeout(POOLED_READY, conn.driver.drive(conn.sender.ready())).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(conn);
            }
        }
    }

    fn pop(&self, address: SocketAddr) -> Option<Conn> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&address)?;
        while let Some(entry) = list.pop() {
            if Instant::now() < entry.until {
                return Some(entry.conn);
            }
        }
        None
    }
}

/// Tells bytes that are no answer from a connection that broke.
fn written_error(address: SocketAddr, error: &hyper::Error) -> SendError {
    let cause = describe(address, error);
    if error.is_parse() || error.is_parse_too_large() {
        return SendError::Malformed(cause);
    }
    SendError::Written(cause)
}

fn describe(address: SocketAddr, error: &hyper::Error) -> String {
    format!("endpoint {address}: {}", chain(error))
}

/// Joins an error with its causes; hyper's own text names only the outermost one.
pub fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
