//! The requests whose answer is not complete, for the log lines of those that end without one.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use futures::stream::BoxStream;
use http::HeaderValue;
use slog::info;

use crate::answer::Broken;
use crate::caller_conn::RunningRequest;
use crate::clock::now_ms;
use crate::hub::Hub;
use crate::request::Request;

/// The open requests, by ascending number in the order in which they arrived.
#[derive(Default)]
pub(crate) struct OpenRequests {
    requests: Mutex<BTreeMap<u64, OpenRequest>>,
    next_number: AtomicU64,
}

/// A request whose answer is not complete.
struct OpenRequest {
    id: Option<HeaderValue>,
    arrived_ms: u64,
    /// The request, once it was read whole.
    request: Option<Arc<Request>>,
}

impl OpenRequests {
    /// Adds a request whose head was read.
    pub fn add(
        self: &Arc<Self>,
        hub: Arc<Hub>,
        id: Option<HeaderValue>,
        running: Arc<RunningRequest>,
    ) -> OpenRequestGuard {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        self.lock().insert(number, OpenRequest { id, arrived_ms: now_ms(), request: None });
        OpenRequestGuard { requests: self.clone(), hub, number, running }
    }

    /// Returns the number of open requests.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Logs each request that is open at the end of the grace period, and removes it.
    pub fn log_cut(&self, hub: &Hub) {
        let cut = std::mem::take(&mut *self.lock());
        for request in cut.into_values() {
            request.log_end(hub, "request_cut", "request is cut by the end of the grace period");
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, OpenRequest>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenRequest {
    fn log_end(&self, hub: &Hub, kind: &'static str, message: &'static str) {
        let Some(dropped) = hub.log_limiter.take(kind) else { return };
        let request = self.request.as_ref();
        info!(hub.log, "{}", message; "kind" => kind,
            "request" => self.id.as_ref().and_then(|id| id.to_str().ok()),
            "route" => request.map(|request| request.route.name.to_string()),
            "is_read" => request.is_some(),
            "may_have_run" => request.is_some_and(|request| request.may_have_run()),
            "age_ms" => now_ms().saturating_sub(self.arrived_ms), "dropped_lines" => dropped);
    }
}

/// Keeps a request open. If it is dropped before the answer is complete, its caller has left.
pub(crate) struct OpenRequestGuard {
    requests: Arc<OpenRequests>,
    hub: Arc<Hub>,
    number: u64,
    running: Arc<RunningRequest>,
}

impl OpenRequestGuard {
    /// Adds what is known of the request once it was read whole.
    pub fn set_request(&self, request: &Arc<Request>) {
        if let Some(open) = self.requests.lock().get_mut(&self.number) {
            open.request = Some(request.clone());
        }
    }

    /// Lets the connection read the events of the answer on while its caller does not read.
    pub fn read_ahead(
        &self,
        events: BoxStream<'static, Result<Bytes, Broken>>,
    ) -> BoxStream<'static, Result<Bytes, Broken>> {
        self.running.read_ahead(events)
    }

    /// Ends the request, whose answer is complete or was cut for a reason that is in the log.
    pub fn end(self) {
        self.requests.lock().remove(&self.number);
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        let open = self.requests.lock().remove(&self.number);
        if let Some(open) = open {
            let message = "caller left before the answer was complete";
            open.log_end(&self.hub, "caller_left", message);
        }
    }
}

/// The events of an answer, with the guard of its request.
pub(crate) struct GuardedEvents {
    events: BoxStream<'static, Result<Bytes, Broken>>,
    guard: Option<OpenRequestGuard>,
}

impl GuardedEvents {
    /// Keeps the request open until the end of the events.
    pub fn new(events: BoxStream<'static, Result<Bytes, Broken>>, guard: OpenRequestGuard) -> Self {
        Self { events: guard.read_ahead(events), guard: Some(guard) }
    }
}

impl Stream for GuardedEvents {
    type Item = Result<Bytes, Broken>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = self.events.poll_next_unpin(cx);
        if let Poll::Ready(None | Some(Err(_))) = next
            && let Some(guard) = self.guard.take()
        {
            guard.end();
        }
        next
    }
}
