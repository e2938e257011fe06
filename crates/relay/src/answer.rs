//! Answers to callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures::Stream;
use futures::stream::BoxStream;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body::Frame;
use http_body::SizeHint;
use snafu::Snafu;

/// An answer that cannot be completed; the connection is cut so that it does not look complete.
#[derive(Debug, Snafu)]
#[snafu(display("the answer cannot be completed: {cause}"))]
pub struct Broken {
    /// What failed.
    pub cause: String,
}

/// The body of an answer.
pub enum Body {
    /// A complete body.
    Whole(Option<Bytes>),
    /// A stream of events.
    Events(BoxStream<'static, Result<Bytes, Broken>>),
}

impl std::fmt::Debug for Body {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Whole(_) => "Whole",
            Self::Events(_) => "Events",
        })
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events(events) => {
                let next = Pin::new(events).poll_next(cx);
                next.map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Events(_) => SizeHint::default(),
        }
    }
}

/// An endpoint's complete answer.
#[derive(Debug, Clone)]
pub(crate) struct EndpointAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Why a request ended without an answer from an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestFailure {
    /// It has not run and will not; the caller may retry after this time.
    NotRun { retry_after_ms: u64 },
    /// It may have run.
    MayHaveRun,
    /// The deadline has passed, and it may have run.
    TimedOut,
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or unknown.
    NoKey,
    /// The body was not complete at the deadline.
    BodyTimedOut,
    /// The body is larger than allowed.
    TooLarge,
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The headers or the body are invalid.
    Malformed,
}

impl RequestFailure {
    /// Returns the HTTP status; 503 and 408 guarantee that the request has not run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::MayHaveRun => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::BodyTimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::Malformed => StatusCode::BAD_REQUEST,
        }
    }

    /// Returns the outcome as a metric label and log field.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun { .. } => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::TimedOut => "timed_out",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::BodyTimedOut => "body_timed_out",
            Self::TooLarge => "too_large",
            Self::HeadTooLarge => "head_too_large",
            Self::Malformed => "malformed",
        }
    }

    /// Limits the delay to what a caller with this much time left keeps to.
    pub fn within(self, left_ms: u64) -> Self {
        match self {
            Self::NotRun { retry_after_ms } => {
                let longest_ms = balsam_admit::longest_return_ms(left_ms as f64) as u64;
                Self::NotRun { retry_after_ms: retry_after_ms.min(longest_ms) }
            }
            other => other,
        }
    }

    /// Builds the answer to the caller.
    pub fn response(self) -> Response<Body> {
        let mut response = Response::new(Body::Whole(None));
        *response.status_mut() = self.status();
        if let Self::NotRun { retry_after_ms } = self {
            let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Converts an endpoint's answer into the answer to the caller.
pub(crate) fn caller_response(answer: EndpointAnswer) -> Response<Body> {
    let mut response = Response::new(Body::Whole(Some(answer.body)));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    // Set again from the body.
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}
