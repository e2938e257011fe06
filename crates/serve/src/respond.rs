//! Builds responses to callers: problems, answers and aborts of truncated answers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use balsam_http::final_status;
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

use crate::admit::AdmissionGuard;
use crate::compare::Comparison;
use crate::ports::AnswerPart;
use crate::ports::AttemptAnswer;
use crate::ports::AttemptFailure;
use crate::problem;
use crate::problem::ProblemKind;
use crate::shared::OpenRequestGuard;
use crate::shared::Shared;

/// Delay between the error event and the abort, which discards data not yet written to the socket.
const ERROR_FLUSH_DELAY: Duration = Duration::from_millis(20);

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

/// Returns the stored response of an earlier request with the same key.
pub(crate) fn replay(stored: &StoredResponse) -> Response {
    let mut response = match (&stored.body, final_status(stored.status)) {
        (Some(body), Some(status)) => {
            let mut response = Response::new(Body::Full(Full::new(Bytes::copy_from_slice(body))));
            *response.status_mut() = status;
            if let Ok(value) = HeaderValue::from_str(&stored.content_type)
                && !value.is_empty()
            {
                response.headers_mut().insert(header::CONTENT_TYPE, value);
            }
            response
        }
        _ => problem(&AttemptFailure::new(
            Outcome::Completed,
            ProblemKind::ResponseNotKept,
            format!("the first response had status {}", stored.status),
        )),
    };
    response.headers_mut().insert("idempotent-replayed", HeaderValue::from_static("true"));
    response
}

/// State held until an answer ends, for its metrics and its comparison.
pub(crate) struct AnswerContext {
    pub shared: Arc<Shared>,
    pub route: Arc<str>,
    pub started: Instant,
    pub comparison: Option<Comparison>,
    pub _open: OpenRequestGuard,
    pub _admission: Arc<AdmissionGuard>,
}

/// Turns an answer into a response that is aborted visibly if the answer is truncated.
pub(crate) fn answer(answer: AttemptAnswer, context: AnswerContext) -> Response {
    let AttemptAnswer { status, headers, body } = answer;
    let is_event_stream = headers
        .get(header::CONTENT_TYPE)
        .is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
    let length = headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok());
    let remaining_bytes = length.and_then(|length| length.parse().ok());
    let state = AnswerBody {
        body,
        context,
        is_event_stream,
        status,
        remaining_bytes,
        is_first_data: true,
        body_end: None,
    };
    let stream = stream::unfold(state, |mut state| async move {
        let item = state.next().await?;
        Some((item, state))
    });
    let mut response = Response::new(Body::from_stream(stream));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers;
    response
}

enum BodyEnd {
    Complete,
    Aborted,
}

struct AnswerBody {
    body: stream::BoxStream<'static, AnswerPart>,
    context: AnswerContext,
    is_event_stream: bool,
    status: u16,
    remaining_bytes: Option<u64>,
    is_first_data: bool,
    body_end: Option<BodyEnd>,
}

/// hyper drops a body without polling for its end once the announced length was sent, or if the
/// answer has no body. Such an answer is complete, and its connection to the endpoint is reusable.
impl Drop for AnswerBody {
    fn drop(&mut self) {
        if self.body_end.is_some() || tokio::runtime::Handle::try_current().is_err() {
            return;
        }
        let next = self.body.next().now_or_never();
        if self.remaining_bytes == Some(0) || matches!(next, Some(Some(AnswerPart::End))) {
            self.complete();
        }
    }
}

impl AnswerBody {
    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        match self.body_end {
            Some(BodyEnd::Complete) => return None,
            Some(BodyEnd::Aborted) => return Some(self.abort().await),
            None => {}
        }
        match self.body.next().await {
            Some(AnswerPart::Data(data)) => {
                if std::mem::take(&mut self.is_first_data) {
                    let ms = self.context.started.elapsed().as_secs_f64() * 1e3;
                    self.context.shared.metrics.first_byte_ms.record(ms, &[]);
                }
                if let Some(remaining) = &mut self.remaining_bytes {
                    *remaining = remaining.saturating_sub(data.len() as u64);
                }
                if let Some(comparison) = &mut self.context.comparison {
                    comparison.update(&data);
                }
                Some(Ok(data))
            }
            Some(AnswerPart::End) => {
                self.complete();
                None
            }
            Some(AnswerPart::Broken(failure)) => self.report_truncation(&failure).await,
            None => {
                let detail = "the answer ended without an end marker";
                let kind = ProblemKind::AnswerTruncated;
                self.report_truncation(&AttemptFailure::new(Outcome::Unknown, kind, detail)).await
            }
        }
    }

    fn complete(&mut self) {
        self.body_end = Some(BodyEnd::Complete);
        self.context.shared.metrics.request(&self.context.route, Outcome::Completed);
        if let Some(comparison) = self.context.comparison.take() {
            comparison.finish(self.status);
        }
    }

    async fn report_truncation(
        &mut self,
        failure: &AttemptFailure,
    ) -> Option<Result<Bytes, std::io::Error>> {
        self.body_end = Some(BodyEnd::Aborted);
        self.context.shared.metrics.request(&self.context.route, failure.outcome);
        self.context.shared.metrics.problem(failure.problem);
        if !self.is_event_stream {
            return Some(self.abort().await);
        }
        let json = problem::to_json(failure.problem, failure.outcome, &failure.detail);
        Some(Ok(Bytes::from(format!("event: error\ndata: {json}\n\n"))))
    }

    async fn abort(&mut self) -> Result<Bytes, std::io::Error> {
        tokio::time::sleep(ERROR_FLUSH_DELAY).await;
        Err(std::io::Error::other("the answer was truncated"))
    }
}
