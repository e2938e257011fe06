//! The connections from which the answer of one attempt is read: the first one, and those of the
//! resumes of its stream.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use balsam_http::Conn;
use balsam_http::RunOrder;
use balsam_http::SendError;
use balsam_http::Splitter;
use balsam_http::client::error_chain;
use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::attempt;
use crate::shared::Shared;

/// The header with the stream id that resume and cancel requests refer to.
pub(crate) const STREAM_ID: &str = "x-stream-id";

/// Timeout of a cancel request; closing the connection cancels the work as well.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// A stream at an endpoint.
#[derive(Clone)]
pub(crate) struct StreamRef {
    pub address: SocketAddr,
    pub id: Arc<str>,
}

/// What a source has reached.
pub(crate) enum SourceEvent {
    /// A resume was answered with the stream.
    Resumed,
    /// Bytes of the body arrived.
    Data(Bytes),
    /// The body ended.
    End,
    /// The connection broke, or a resume was not answered with the stream.
    Failed(String),
}

enum Stage {
    Resuming(BoxFuture<'static, Result<(Conn, Incoming), String>>),
    Reading(Box<(Conn, Incoming)>),
}

/// One connection from which an answer is read.
pub(crate) struct Source {
    stage: Stage,
    /// The bytes of an event stream that were not taken yet.
    pub splitter: Splitter,
    /// How far its events have come.
    pub order: RunOrder,
}

impl Source {
    /// Reads an answer whose head has arrived.
    pub fn reading(conn: Conn, body: Incoming) -> Self {
        let stage = Stage::Reading(Box::new((conn, body)));
        Self { stage, splitter: Splitter::default(), order: RunOrder::new(false) }
    }

    /// Resumes a stream on a new connection after an event; waits for the answer for `limit`.
    pub fn resuming(
        shared: Arc<Shared>,
        stream: StreamRef,
        after: Option<u64>,
        limit: Duration,
    ) -> Self {
        let resuming = async move { resume(&shared, &stream, after, limit).await };
        let (stage, order) = (Stage::Resuming(resuming.boxed()), RunOrder::new(after.is_some()));
        Self { stage, splitter: Splitter::default(), order }
    }

    /// Returns the connection, unless a resume was not answered yet.
    pub fn into_connection(self) -> Option<(Conn, Incoming)> {
        match self.stage {
            Stage::Resuming(_) => None,
            Stage::Reading(connection) => Some(*connection),
        }
    }

    /// Polls for the next event.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<SourceEvent> {
        match &mut self.stage {
            Stage::Resuming(resuming) => Poll::Ready(match ready!(resuming.poll_unpin(cx)) {
                Ok(connection) => {
                    self.stage = Stage::Reading(Box::new(connection));
                    SourceEvent::Resumed
                }
                Err(cause) => SourceEvent::Failed(cause),
            }),
            Stage::Reading(connection) => {
                let (conn, body) = &mut **connection;
                loop {
                    // Neither future keeps state between polls.
                    match ready!(pin!(conn.driver.drive(body.frame())).poll(cx)) {
                        None => return Poll::Ready(SourceEvent::End),
                        Some(Err(e)) => return Poll::Ready(SourceEvent::Failed(error_chain(&e))),
                        Some(Ok(frame)) => {
                            if let Ok(data) = frame.into_data() {
                                return Poll::Ready(SourceEvent::Data(data));
                            }
                        }
                    }
                }
            }
        }
    }
}

async fn resume(
    shared: &Shared,
    stream: &StreamRef,
    after: Option<u64>,
    limit: Duration,
) -> Result<(Conn, Incoming), String> {
    let StreamRef { address, id } = stream;
    let path = match after {
        Some(last) => format!("/v1/streams/{id}?after={last}"),
        None => format!("/v1/streams/{id}"),
    };
    let request = stream_request(Method::GET, &path, *address);
    let sent = shared.client.send_on_new_connection(*address, request, limit).await;
    let (conn, response) = sent.map_err(|e| match e {
        SendError::NotWritten(cause)
        | SendError::Refused(cause)
        | SendError::Written(cause)
        | SendError::Malformed(cause) => cause,
        SendError::TimedOut | SendError::NotAllowed => "timed out without an answer".to_owned(),
    })?;
    let is_same_stream =
        response.headers().get(STREAM_ID).is_some_and(|v| v.as_bytes() == id.as_bytes());
    if response.status() != StatusCode::OK || !is_same_stream {
        return Err(format!("the endpoint answered {} or for another stream", response.status()));
    }
    let is_encoded = response.headers().contains_key(header::CONTENT_ENCODING);
    if !has_event_stream_type(response.headers()) || is_encoded {
        return Err("the endpoint did not answer with an event stream".to_owned());
    }
    Ok((conn, response.into_body()))
}

/// Cancels a stream at its endpoint.
pub(crate) async fn cancel(shared: Arc<Shared>, stream: StreamRef) {
    let path = format!("/v1/streams/{}", stream.id);
    let request = stream_request(Method::DELETE, &path, stream.address);
    // If the cancel fails, the endpoint only does some needless work until its resume window ends.
    let _ = shared.client.send_on_new_connection(stream.address, request, CANCEL_TIMEOUT).await;
}

fn stream_request(method: Method, path: &str, address: SocketAddr) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    request.headers_mut().insert(header::HOST, attempt::host(address));
    request
}

/// Whether an answer says that it is an event stream.
pub(crate) fn has_event_stream_type(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    content_type.is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"))
}

/// Polls the sources; returns the event of the first that has one, with its index.
pub(crate) fn poll_any(sources: &mut [Source], cx: &mut Context<'_>) -> Poll<(usize, SourceEvent)> {
    for (index, source) in sources.iter_mut().enumerate() {
        if let Poll::Ready(event) = source.poll(cx) {
            return Poll::Ready((index, event));
        }
    }
    Poll::Pending
}
