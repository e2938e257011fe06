//! Responses to callers: problems, answers and their visible truncation.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use balsam_types::Outcome;
use balsam_types::StoredResponse;
use bytes::Bytes;
use futures::FutureExt;
use futures::StreamExt;
use futures::stream;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use viz::Body;
use viz::Response;

use crate::admit::Admitted;
use crate::compare::Comparison;
use crate::ports::AnswerPart;
use crate::ports::AttemptAnswer;
use crate::ports::AttemptFailure;
use crate::problem;
use crate::problem::ProblemKind;
use crate::shared::OpenGuard;
use crate::shared::Shared;

/// Time between the error event and the abort: an abort discards what is not yet on the socket.
const ERROR_FLUSH: Duration = Duration::from_millis(20);

const PROBLEM_JSON: HeaderValue = HeaderValue::from_static("application/problem+json");

/// Turns a failure into a problem response.
pub(crate) fn problem(failure: &AttemptFailure) -> Response {
    let json = problem::to_json(failure.problem, failure.outcome, &failure.detail);
    let mut response = Response::new(Body::Full(Full::from(json)));
    *response.status_mut() = failure.problem.status();
    response.headers_mut().insert(header::CONTENT_TYPE, PROBLEM_JSON);
    if let Some(ms) = failure.retry_after_ms {
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000)));
    }
    if failure.problem == ProblemKind::Unauthenticated {
        let scheme = HeaderValue::from_static("Bearer");
        response.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
    }
    response
}

/// Returns the kept response of an earlier request with the same key.
pub(crate) fn replay(stored: &StoredResponse) -> Response {
    let mut response = match &stored.body {
        Some(body) => {
            let mut response = Response::new(Body::Full(Full::new(Bytes::copy_from_slice(body))));
            *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or_default();
            if let Ok(value) = HeaderValue::from_str(&stored.content_type)
                && !value.is_empty()
            {
                response.headers_mut().insert(header::CONTENT_TYPE, value);
            }
            response
        }
        None => problem(&AttemptFailure::new(
            Outcome::Completed,
            ProblemKind::ResponseNotKept,
            format!("the first response had status {}", stored.status),
        )),
    };
    response.headers_mut().insert("idempotent-replayed", HeaderValue::from_static("true"));
    response
}

/// What is counted when an answer ends.
pub(crate) struct AnswerEnd {
    pub shared: Arc<Shared>,
    pub route: Arc<str>,
    pub started: Instant,
    pub comparison: Option<Comparison>,
    pub _open: OpenGuard,
    pub _admitted: Arc<Admitted>,
}

/// Turns an answer into a response whose truncation the caller can see.
pub(crate) fn answer(answer: AttemptAnswer, end: AnswerEnd) -> Response {
    let AttemptAnswer { status, headers, body } = answer;
    let events = headers
        .get(header::CONTENT_TYPE)
        .is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
    let length = headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok());
    let left_bytes = length.and_then(|length| length.parse().ok());
    let state = Passing { body, end, events, status, left_bytes, first: true, stop: None };
    let stream = stream::unfold(state, |mut state| async move {
        let item = state.next().await?;
        Some((item, state))
    });
    let mut response = Response::new(Body::from_stream(stream));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers;
    response
}

enum Stop {
    Whole,
    Cut,
}

struct Passing {
    body: stream::BoxStream<'static, AnswerPart>,
    end: AnswerEnd,
    events: bool,
    status: u16,
    left_bytes: Option<u64>,
    first: bool,
    stop: Option<Stop>,
}

/// hyper drops a body without asking for its end once the announced length was sent, or if the answer
/// has no body. Such an answer is whole, and its connection to the endpoint can be used again.
impl Drop for Passing {
    fn drop(&mut self) {
        if self.stop.is_some() || tokio::runtime::Handle::try_current().is_err() {
            return;
        }
        let next = self.body.next().now_or_never();
        if self.left_bytes == Some(0) || matches!(next, Some(Some(AnswerPart::End))) {
            self.whole();
        }
    }
}

impl Passing {
    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        match self.stop {
            Some(Stop::Whole) => return None,
            Some(Stop::Cut) => return Some(self.cut().await),
            None => {}
        }
        match self.body.next().await {
            Some(AnswerPart::Data(data)) => {
                if std::mem::take(&mut self.first) {
                    let ms = self.end.started.elapsed().as_secs_f64() * 1e3;
                    self.end.shared.metrics.first_byte_ms.record(ms, &[]);
                }
                if let Some(left) = &mut self.left_bytes {
                    *left = left.saturating_sub(data.len() as u64);
                }
                if let Some(comparison) = &mut self.end.comparison {
                    comparison.update(&data);
                }
                Some(Ok(data))
            }
            Some(AnswerPart::End) => {
                self.whole();
                None
            }
            Some(AnswerPart::Broken(failure)) => self.broken(&failure).await,
            None => {
                let detail = "the answer ended without a mark of completeness";
                let kind = ProblemKind::AnswerTruncated;
                self.broken(&AttemptFailure::new(Outcome::Unknown, kind, detail)).await
            }
        }
    }

    fn whole(&mut self) {
        self.stop = Some(Stop::Whole);
        self.end.shared.metrics.request(&self.end.route, Outcome::Completed);
        if let Some(comparison) = self.end.comparison.take() {
            comparison.finish(self.status);
        }
    }

    async fn broken(&mut self, failure: &AttemptFailure) -> Option<Result<Bytes, std::io::Error>> {
        self.stop = Some(Stop::Cut);
        self.end.shared.metrics.request(&self.end.route, failure.outcome);
        self.end.shared.metrics.problem(failure.problem);
        if !self.events {
            return Some(self.cut().await);
        }
        let json = problem::to_json(failure.problem, failure.outcome, &failure.detail);
        Some(Ok(Bytes::from(format!("event: error\ndata: {json}\n\n"))))
    }

    async fn cut(&mut self) -> Result<Bytes, std::io::Error> {
        tokio::time::sleep(ERROR_FLUSH).await;
        Err(std::io::Error::other("the answer was cut off"))
    }
}
