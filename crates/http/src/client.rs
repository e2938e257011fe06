//! HTTP/1.1 connections to endpoints, with a small pool per endpoint.
//!
//! This crate has its own pool for two reasons: a connection that stopped sending data must never
//! be reused, and a request that was not written must be distinguished from one that was.

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
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::head_limit::HeadLimit;
use crate::head_limit::LimitedStream;

/// How long a pooled connection may take to become ready. One whose last answer was read to its end
/// is ready at once.
const POOLED_READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Maximum size of the head of an answer, and of one read of its body, because a faulty endpoint may
/// send endless data on as many connections as there are callers: some 2,500 on a VM of 160 MB.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Maximum number of bytes before the end of the final head: that of interim answers and of the part
/// of the body that arrives with the head.
const MAX_BYTES_TO_HEAD: usize = 4 * MAX_HEAD_BYTES;

/// The limits of a [`Client`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientOptions {
    /// Timeout for opening a connection.
    pub connect_timeout_ms: u64,
    /// How long an unused connection is kept if the endpoint announces no shorter time.
    pub idle_ms: u64,
    /// Maximum number of unused connections kept per endpoint.
    pub idle_connections: usize,
}

/// Why there is no answer, classified by how much of the request the endpoint may have received.
#[derive(Debug)]
pub enum SendError {
    /// No byte was written.
    NotWritten(String),
    /// Nothing listens at the address.
    Refused(String),
    /// The caller's `may_write` check did not allow the request to be written.
    NotAllowed,
    /// Bytes may have been written.
    Written(String),
    /// Bytes were written, and the reply is not a valid HTTP response.
    Malformed(String),
    /// Bytes may have been written, but no answer arrived within the timeout.
    TimedOut,
}

/// Whether a request may use a pooled connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// A pooled connection may be used.
    Allowed,
    /// A new connection is opened, on which no answer to an earlier request can arrive.
    Never,
}

/// An open connection; dropping it closes the socket.
pub struct Conn {
    address: SocketAddr,
    is_reused: bool,
    head_limit: HeadLimit,
    sender: http1::SendRequest<Full<Bytes>>,
    /// Performs the I/O of the connection.
    pub driver: Driver,
}

impl Conn {
    /// Whether the connection was used for an earlier request, so that what arrives on it may be a
    /// second answer to that request.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }
}

impl std::fmt::Debug for Conn {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Conn").field("address", &self.address).finish_non_exhaustive()
    }
}

/// The I/O of a connection, polled by the task that waits for its answer. A separate task would
/// cost a wake-up, mostly on another thread, for each event of a stream.
pub struct Driver(Option<Pin<Box<HttpConnection>>>);

type HttpConnection = http1::Connection<TokioIo<LimitedStream>, Full<Bytes>>;

impl Driver {
    /// Waits for a future that depends on the I/O of the connection.
    pub async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            self.poll(cx);
            future.as_mut().poll(cx)
        })
        .await
    }

    fn poll(&mut self, cx: &mut Context<'_>) {
        // An error is also returned to the task that waits for the answer.
        if self.0.as_mut().is_some_and(|connection| connection.as_mut().poll(cx).is_ready()) {
            self.0 = None;
        }
    }

    /// Polls the I/O of an unused connection; false if the connection has ended.
    fn is_open(&mut self) -> bool {
        self.poll(&mut Context::from_waker(Waker::noop()));
        self.0.is_some()
    }
}

struct IdleConnection {
    conn: Conn,
    expires_at: Instant,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client").field("idle_limit", &self.idle_limit).finish_non_exhaustive()
    }
}

/// An HTTP/1.1 client with a connection pool per endpoint.
pub struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    connect_timeout: Duration,
    idle_limit: Duration,
    idle_connections: usize,
}

impl Client {
    /// Creates a client without open connections.
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
    /// If the endpoint closed a pooled connection before anything was written, another connection
    /// is used. `may_write` is checked immediately before each write.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &Request<Full<Bytes>>,
        reuse: Reuse,
        response_timeout: Duration,
        may_write: impl Fn() -> bool,
    ) -> Result<(Conn, Response<Incoming>), SendError> {
        loop {
            let pooled = match reuse {
                Reuse::Allowed => self.checkout(address).await,
                Reuse::Never => None,
            };
            let (mut conn, is_pooled) = match pooled {
                Some(conn) => (conn, true),
                None => (self.connect(address).await?, false),
            };
            if !may_write() {
                self.checkin(conn);
                return Err(SendError::NotAllowed);
            }
            conn.head_limit.begin(MAX_BYTES_TO_HEAD);
            let sent = conn.sender.try_send_request(request.clone());
            match timeout(response_timeout, conn.driver.drive(sent)).await {
                Ok(Ok(response)) => return final_response(conn, response),
                Err(_) => return Err(SendError::TimedOut),
                Ok(Err(mut error)) => {
                    let is_written = error.take_message().is_none();
                    let error = error.into_error();
                    match (is_written, is_pooled) {
                        (true, _) => return Err(written_error(&conn, &error)),
                        (false, false) => {
                            return Err(SendError::NotWritten(describe(address, &error)));
                        }
                        (false, true) => {}
                    }
                }
            }
        }
    }

    /// Opens a new connection, without using the pool.
    pub async fn connect(&self, address: SocketAddr) -> Result<Conn, SendError> {
        let not_written = |cause: &dyn std::fmt::Display| format!("connect to {address}: {cause}");
        let head_limit = HeadLimit::new();
        let connecting = async {
            let stream = TcpStream::connect(address).await.map_err(|e| match e.kind() {
                ErrorKind::ConnectionRefused => SendError::Refused(not_written(&e)),
                _ => SendError::NotWritten(not_written(&e)),
            })?;
            stream.set_nodelay(true).map_err(|e| SendError::NotWritten(not_written(&e)))?;
            let mut builder = http1::Builder::new();
            builder.max_buf_size(MAX_HEAD_BYTES);
            let stream = LimitedStream { stream, head_limit: head_limit.clone() };
            let handshake = builder.handshake(TokioIo::new(stream)).await;
            handshake.map_err(|e| SendError::NotWritten(not_written(&error_chain(&e))))
        };
        let connected = timeout(self.connect_timeout, connecting).await;
        let (sender, connection) =
            connected.unwrap_or_else(|_| Err(SendError::NotWritten(not_written(&"timed out"))))?;
        let driver = Driver(Some(Box::pin(connection)));
        Ok(Conn { address, is_reused: false, head_limit, sender, driver })
    }

    /// Sends a request over a new connection, for example after a pooled one timed out.
    pub async fn send_on_new_connection(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        response_timeout: Duration,
    ) -> Result<(Conn, Response<Incoming>), SendError> {
        let mut conn = self.connect(address).await?;
        conn.head_limit.begin(MAX_BYTES_TO_HEAD);
        let sent = conn.sender.send_request(request);
        match timeout(response_timeout, conn.driver.drive(sent)).await {
            Ok(Ok(response)) => final_response(conn, response),
            Ok(Err(error)) => Err(written_error(&conn, &error)),
            Err(_) => Err(SendError::TimedOut),
        }
    }

    /// Returns a connection to the pool after its answer was read to the end.
    pub fn checkin(&self, conn: Conn) {
        self.return_connection(conn, self.idle_limit);
    }

    /// Returns a connection to the pool that the endpoint keeps open only for `keep_alive`.
    pub fn return_connection(&self, mut conn: Conn, keep_alive: Duration) {
        if self.idle_connections == 0 || !conn.driver.is_open() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(conn.address).or_default();
        if list.len() >= self.idle_connections {
            list.remove(0);
        }
        list.push(IdleConnection {
            conn,
            expires_at: Instant::now() + keep_alive.min(self.idle_limit),
        });
    }

    /// Closes the unused connections to an endpoint, for example after one of them timed out.
    pub fn evict(&self, address: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    /// Closes unused connections that have expired or that the endpoint has closed.
    pub fn close_expired(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, list| {
            list.retain_mut(|i| Instant::now() < i.expires_at && i.conn.driver.is_open());
            !list.is_empty()
        });
    }

    async fn checkout(&self, address: SocketAddr) -> Option<Conn> {
        loop {
            let mut conn = self.pop(address)?;
            let ready = timeout(POOLED_READY_TIMEOUT, conn.driver.drive(conn.sender.ready())).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(conn);
            }
        }
    }

    fn pop(&self, address: SocketAddr) -> Option<Conn> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&address)?;
        while let Some(entry) = list.pop() {
            if Instant::now() < entry.expires_at {
                return Some(Conn { is_reused: true, ..entry.conn });
            }
        }
        None
    }
}

/// Returns a number as the status of a final answer; `None` if HTTP has no such status.
///
/// The type of statuses holds numbers up to 999, and a caller would take them for the endpoint's
/// answer. See `docs/incidents/invalid-statuses.md`.
pub fn final_status(number: u16) -> Option<StatusCode> {
    StatusCode::from_u16(number).ok().filter(|_| (200..600).contains(&number))
}

/// Rejects a status that is none, and a change of protocol, which no request asks for: no HTTP answer
/// follows it.
fn final_response(
    conn: Conn,
    response: Response<Incoming>,
) -> Result<(Conn, Response<Incoming>), SendError> {
    conn.head_limit.lift();
    let status = response.status();
    if final_status(status.as_u16()).is_none() {
        let Conn { address, .. } = conn;
        return Err(SendError::Malformed(format!("endpoint {address}: it answered {status}")));
    }
    Ok((conn, response))
}

/// Distinguishes an invalid response from a broken connection.
fn written_error(conn: &Conn, error: &hyper::Error) -> SendError {
    let cause = describe(conn.address, error);
    if error.is_parse() || error.is_parse_too_large() || conn.head_limit.is_exceeded() {
        return SendError::Malformed(cause);
    }
    SendError::Written(cause)
}

fn describe(address: SocketAddr, error: &hyper::Error) -> String {
    format!("endpoint {address}: {}", error_chain(error))
}

/// Formats an error with all its causes; hyper's `Display` shows only the outermost one.
pub fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
