//! One connection of a caller.
//!
//! hyper takes its limits when a connection begins. Those of a newer version of the configuration
//! also hold for the connections that are open, so idle time and the time of a head are measured
//! here.

mod socket;

use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use balsam_fleet::configuration::CallerLimits;
use balsam_http::STILL_AFTER;
use balsam_http::limit_unsent;
use bytes::Bytes;
use futures::FutureExt;
use futures::stream::BoxStream;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use slog::info;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use self::socket::CallerSocket;
use crate::answer::Broken;
use crate::front::Shared;
use crate::front::handle_request;
use crate::front::refuse_request;
use crate::read_ahead::BLOCK_BYTES;
use crate::read_ahead::ReadAhead;
use crate::read_ahead::ReadAheadEvents;
use crate::read_ahead::Unsent;

/// Buffer for the head of a request. Limits of later versions hold for open connections up to this
/// size.
const HEAD_BUFFER_BYTES: usize = 64 * 1024;

/// How often the limits of a connection are checked while a request runs on it.
const RUNNING_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Time without a byte after which a connection without a request closes in a stop; one that was
/// just opened is about to bring its first request.
const IDLE_TIMEOUT_AT_CLOSE: Duration = Duration::from_millis(250);

/// Time in which a head must arrive whole in a stop.
const HEAD_TIMEOUT_AT_CLOSE: Duration = Duration::from_secs(1);

/// Time for the first request of a connection over the limit, and for its refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a caller may read nothing of an answer that is being written. The system ends the
/// connection of a caller whose VM does not answer only after its last retransmission, many minutes
/// later, and that of a caller that is alive but does not read never.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Like `WRITE_TIMEOUT`, when other answers find no memory. Callers whose link is cut for a moment read
/// on after less, and endpoints cut off an answer that nobody reads after some seconds.
const SHORT_WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// How often an answer that found no memory tries again or closes a connection in its favour.
pub(crate) const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Time in which a connection that is being closed must have sent what is left of its answer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// What happens on a connection.
pub(crate) struct Activity {
    state: Mutex<ActivityState>,
    peer: Option<SocketAddr>,
    /// Asks for the end of the connection unless it is in use meanwhile.
    close_unused: Notify,
    /// Asks for the end of the connection, whose caller reads nothing, as memory is short.
    give_way: Notify,
}

struct ActivityState {
    running_requests: u32,
    had_request: bool,
    /// When the last request ended, or the connection began.
    idle_since: Instant,
    /// When the first bytes of a head arrived that is not complete.
    head_since: Option<Instant>,
    /// When the last bytes arrived.
    received_at: Instant,
    /// Whether the body of a request is not complete.
    is_reading_body: bool,
    /// Since when bytes of an answer wait for the caller to read.
    blocked_since: Option<Instant>,
    /// Bytes of an answer that hyper has and has not written.
    unsent_bytes: usize,
    /// The answer that is being written, if it is a stream.
    read_ahead: Weak<ReadAhead>,
    /// What was held of it when the caller was last found not to read.
    held_bytes: usize,
    /// The highest limits that were in force since the connection became idle.
    limits: CallerLimits,
    /// Whether the connection is closed because it is idle, rather than after an answer.
    is_closed_idle: bool,
    /// Whether the node closes its connections, for which the limits are set.
    is_closing: bool,
}

impl ActivityState {
    /// Whether nothing runs, arrives or is being written.
    fn is_idle(&self) -> bool {
        self.running_requests == 0 && self.head_since.is_none() && self.blocked_since.is_none()
    }

    /// Returns since when nothing has arrived of a head or a body that is not complete.
    fn still_since(&self) -> Option<Instant> {
        let is_unfinished = self.head_since.is_some() || self.is_reading_body;
        (is_unfinished && self.received_at.elapsed() >= STILL_AFTER).then_some(self.received_at)
    }

    /// Returns when the connection is to be closed if nothing more happens; `None` if a request
    /// runs.
    fn deadline(&self) -> Option<Instant> {
        let idle_timeout = Duration::from_millis(self.limits.idle_timeout_ms);
        let head_timeout = Duration::from_millis(self.limits.header_timeout_ms);
        match (self.blocked_since, self.head_since) {
            (Some(since), _) => Some(since + WRITE_TIMEOUT),
            _ if self.running_requests > 0 => None,
            (None, Some(since)) => Some(since + head_timeout),
            (None, None) if self.had_request || self.is_closing => {
                Some(self.idle_since + idle_timeout)
            }
            (None, None) => Some(self.idle_since + idle_timeout.max(head_timeout)),
        }
    }
}

/// What to do with a connection whose deadline may have passed.
enum Expiry {
    Keep(Instant),
    CloseIdle,
    /// The head of a request, or the caller's reading of an answer, took too long.
    Drop,
}

impl Activity {
    fn new(limits: CallerLimits, peer: Option<SocketAddr>) -> Self {
        let idle_since = Instant::now();
        let state = ActivityState {
            running_requests: 0,
            had_request: false,
            idle_since,
            head_since: None,
            received_at: idle_since,
            is_reading_body: false,
            blocked_since: None,
            unsent_bytes: 0,
            read_ahead: Weak::new(),
            held_bytes: 0,
            limits,
            is_closed_idle: false,
            is_closing: false,
        };
        let (close_unused, give_way) = (Notify::new(), Notify::new());
        Self { state: Mutex::new(state), peer, close_unused, give_way }
    }

    fn state(&self) -> MutexGuard<'_, ActivityState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns when the connection became idle; `None` if a request runs or is arriving, or if its
    /// answer is being written.
    pub fn idle_since(&self) -> Option<Instant> {
        let state = self.state();
        state.is_idle().then_some(state.idle_since)
    }

    /// Returns the address of the caller.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.peer
    }

    /// Returns since when the connection has been idle, or else since when its request has stood
    /// still, which sorts after all idle ones.
    pub fn unused_since(&self) -> Option<(bool, Instant)> {
        let state = self.state();
        match state.is_idle() {
            true => Some((false, state.idle_since)),
            false => state.still_since().map(|since| (true, since)),
        }
    }

    /// Closes the connection if it is still idle or its request stands still.
    pub fn close_if_unused(&self) {
        self.close_unused.notify_one();
    }

    fn received(&self) {
        let mut state = self.state();
        state.received_at = Instant::now();
        if state.running_requests == 0 && state.head_since.is_none() {
            state.head_since = Some(Instant::now());
        }
    }

    /// Records whether a write has to wait until the caller reads.
    fn wrote(&self, result: &Poll<io::Result<usize>>) {
        let mut state = self.state();
        if let Poll::Ready(Ok(bytes)) = result {
            state.unsent_bytes = state.unsent_bytes.saturating_sub(*bytes);
        }
        if result.is_pending() {
            state.blocked_since.get_or_insert_with(Instant::now);
        } else if state.blocked_since.take().is_some() {
            state.idle_since = Instant::now();
        }
    }

    /// Returns since when the caller has read nothing, if that is long enough to close its connection
    /// in favour of others and sets memory free.
    fn stalled_since(&self) -> Option<Instant> {
        let state = self.state();
        let since = state.blocked_since?;
        // A stream up to this size has no memory reserved.
        let holds_memory = state.read_ahead.strong_count() == 0 || state.held_bytes > BLOCK_BYTES;
        (holds_memory && since.elapsed() >= SHORT_WRITE_TIMEOUT).then_some(since)
    }

    /// Records bytes that hyper gets of an answer; returns all that it has not written.
    fn add_unsent(&self, bytes: usize) -> Unsent {
        let mut state = self.state();
        state.unsent_bytes += bytes;
        Unsent { is_blocked: state.blocked_since.is_some(), bytes: state.unsent_bytes }
    }

    /// Reads on the answer of a caller that does not read.
    fn read_on(&self, cx: &mut Context<'_>) -> ReadOn {
        let (read_ahead, is_blocked) = {
            let state = self.state();
            (state.read_ahead.upgrade(), state.blocked_since.is_some())
        };
        let Some(read_ahead) = read_ahead else { return ReadOn::Read };
        if !is_blocked {
            return match read_ahead.take_deferred() {
                true => ReadOn::PollAgain,
                false => ReadOn::Read,
            };
        }
        let is_read = read_ahead.fill(cx);
        self.state().held_bytes = read_ahead.held_bytes();
        if is_read { ReadOn::Read } else { ReadOn::NoMemory }
    }

    /// Counts and logs the end of a connection whose caller reads nothing.
    fn log_unread(&self, shared: &Shared, cause: &'static str) {
        let (held_bytes, since) = {
            let state = self.state();
            (state.held_bytes, state.blocked_since)
        };
        let Some(since) = since else { return };
        let hub = &shared.hub;
        hub.metrics.unread_answer(cause);
        if let Some(dropped) = hub.log_limiter.take("answer_unread") {
            info!(hub.log, "a caller reads nothing of its answer"; "kind" => "answer_unread",
                "cause" => cause, "unread_ms" => since.elapsed().as_millis() as u64,
                "held_bytes" => held_bytes,
                "free_bytes" => shared.held_memory.free_bytes(), "dropped_lines" => dropped);
        }
    }

    /// Closes the connection once nothing arrives any more. A head that is arriving, and a request
    /// that a new connection is about to bring, still get an answer.
    fn close(&self) {
        let mut state = self.state();
        state.is_closing = true;
        state.limits.idle_timeout_ms = IDLE_TIMEOUT_AT_CLOSE.as_millis() as u64;
        let head_timeout_ms = HEAD_TIMEOUT_AT_CLOSE.as_millis() as u64;
        state.limits.header_timeout_ms = state.limits.header_timeout_ms.min(head_timeout_ms);
    }

    /// Checks the deadline by the limits in force and those that its caller may rely on.
    fn expiry(&self, in_force: CallerLimits) -> Expiry {
        let mut state = self.state();
        if !state.is_closing {
            let limits = &mut state.limits;
            limits.idle_timeout_ms = limits.idle_timeout_ms.max(in_force.idle_timeout_ms);
            limits.header_timeout_ms = limits.header_timeout_ms.max(in_force.header_timeout_ms);
        }
        let now = Instant::now();
        let deadline = state.deadline().unwrap_or(now + RUNNING_CHECK_INTERVAL);
        if deadline > now {
            return Expiry::Keep(deadline);
        }
        if state.is_idle() { Expiry::CloseIdle } else { Expiry::Drop }
    }
}

/// What became of the events that a caller does not read.
enum ReadOn {
    /// There are none, or they were read.
    Read,
    /// There is no memory for them.
    NoMemory,
    /// The caller reads, and the connection has to take them.
    PollAgain,
}

/// Closes the connection whose caller has read nothing for longest, so that other answers find memory.
/// What it was sent does not look complete.
pub(crate) fn close_stalled(shared: &Shared) {
    let stalled = shared.open_connections.take_lowest(Activity::stalled_since);
    if let Some(activity) = stalled {
        activity.give_way.notify_one();
    }
}

/// Marks a connection as in use by a request until dropped.
pub(crate) struct RunningRequest {
    shared: Arc<Shared>,
    activity: Arc<Activity>,
}

impl RunningRequest {
    fn start(shared: Arc<Shared>, activity: Arc<Activity>) -> Self {
        {
            let mut state = activity.state();
            state.running_requests += 1;
            state.had_request = true;
            state.head_since = None;
            state.is_reading_body = true;
        }
        Self { shared, activity }
    }

    /// Records that the request was read whole.
    pub fn finish_reading(&self) {
        self.activity.state().is_reading_body = false;
    }

    /// Returns the address of the caller.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.activity.peer()
    }

    /// Lets the connection read the events of an answer on while its caller does not read.
    pub fn read_ahead(
        &self,
        events: BoxStream<'static, Result<Bytes, Broken>>,
    ) -> BoxStream<'static, Result<Bytes, Broken>> {
        let read_ahead = Arc::new(ReadAhead::new(events, self.shared.held_memory.clone()));
        {
            let mut state = self.activity.state();
            state.read_ahead = Arc::downgrade(&read_ahead);
            state.held_bytes = 0;
        }
        let activity = self.activity.clone();
        let connection = move |bytes| activity.add_unsent(bytes);
        Box::pin(ReadAheadEvents { read_ahead, connection })
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let limits = self.shared.limits();
        let mut state = self.activity.state();
        state.running_requests -= 1;
        state.is_reading_body = false;
        state.idle_since = Instant::now();
        if !state.is_closing {
            state.limits = limits;
        }
    }
}

/// Serves the requests of a connection until it ends.
pub(crate) async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let activity = Arc::new(Activity::new(shared.limits(), stream.peer_addr().ok()));
    let number = shared.open_connections.add(activity.clone());
    drive(&shared, stream, activity, false).await;
    shared.open_connections.remove(number);
}

/// Refuses the first request of a connection over the limit and closes it.
pub(crate) async fn refuse(shared: Arc<Shared>, stream: TcpStream) {
    let activity = Arc::new(Activity::new(shared.limits(), stream.peer_addr().ok()));
    let time = Duration::from_millis(shared.limits().header_timeout_ms).min(REFUSAL_TIMEOUT);
    let _ = timeout(time, drive(&shared, stream, activity, true)).await;
}

async fn drive(
    shared: &Arc<Shared>,
    stream: TcpStream,
    activity: Arc<Activity>,
    is_over_limit: bool,
) {
    let _ = stream.set_nodelay(true);
    let _ = limit_unsent(&stream);
    let limits = shared.limits();
    let service = {
        let (shared, activity) = (shared.clone(), activity.clone());
        service_fn(move |request| {
            let running = RunningRequest::start(shared.clone(), activity.clone());
            let shared = shared.clone();
            async move {
                let response = match is_over_limit {
                    true => refuse_request(&shared, request, running),
                    false => handle_request(shared, request, running).await,
                };
                Ok::<_, Infallible>(response)
            }
        })
    };
    let socket = CallerSocket::new(stream, activity.clone(), shared.held_memory.clone());
    let connection = http1::Builder::new()
        .max_buf_size(limits.max_header_bytes.max(HEAD_BUFFER_BYTES))
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = pin!(connection);
    let mut close = pin!(shared.close_started());
    let mut timer = pin!(sleep(RUNNING_CHECK_INTERVAL));
    let mut close_unused = pin!(activity.close_unused.notified().fuse());
    let mut give_way = pin!(activity.give_way.notified());
    let mut is_closing = false;
    let mut is_ending = false;
    poll_fn(|cx| {
        loop {
            // Polled before an idle connection is closed, so that a request in the socket is read.
            // A connection error affects only its caller.
            if connection.as_mut().poll(cx).is_ready() {
                return Poll::Ready(());
            }
            match activity.read_on(cx) {
                ReadOn::Read => {}
                ReadOn::PollAgain => continue,
                ReadOn::NoMemory => {
                    close_stalled(shared);
                    let retry_at = Instant::now() + MEMORY_RETRY_INTERVAL;
                    let check_at = timer.deadline().min(retry_at);
                    timer.as_mut().reset(check_at);
                }
            }
            if give_way.as_mut().poll(cx).is_ready() {
                activity.log_unread(shared, "memory");
                return Poll::Ready(());
            }
            if !is_closing && close.as_mut().poll(cx).is_ready() {
                is_closing = true;
                activity.close();
            }
            let is_unused = !is_ending && close_unused.as_mut().poll(cx).is_ready();
            if is_unused && activity.state().still_since().is_some() {
                return Poll::Ready(());
            }
            if is_unused && activity.idle_since().is_some() {
                is_ending = true;
                activity.state().is_closed_idle = true;
                connection.as_mut().graceful_shutdown();
                timer.as_mut().reset(Instant::now() + CLOSE_TIMEOUT);
                continue;
            }
            if !is_ending
                && let Some(deadline) = activity.state().deadline()
                && deadline < timer.deadline()
            {
                timer.as_mut().reset(deadline);
            }
            ready!(timer.as_mut().poll(cx));
            match activity.expiry(shared.limits()) {
                Expiry::Keep(deadline) => timer.as_mut().reset(deadline),
                Expiry::CloseIdle if !is_ending => {
                    is_ending = true;
                    activity.state().is_closed_idle = true;
                    connection.as_mut().graceful_shutdown();
                    timer.as_mut().reset(Instant::now() + CLOSE_TIMEOUT);
                }
                Expiry::CloseIdle | Expiry::Drop => {
                    activity.log_unread(shared, "time");
                    return Poll::Ready(());
                }
            }
        }
    })
    .await;
}
