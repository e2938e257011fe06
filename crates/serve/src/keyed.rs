//! Non-idempotent requests with a key: they are claimed before dispatch, and their response is
//! recorded.

use std::sync::Arc;
use std::time::Duration;

use balsam_types::ClaimKey;
use balsam_types::Offset;
use balsam_types::Outcome;
use balsam_types::StoredResponse;
use balsam_types::claim::MAX_STORED_BODY_BYTES;
use futures::StreamExt;
use futures::stream;
use http::header;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::admit::AdmissionGuard;
use crate::attempt::Dispatched;
use crate::flow;
use crate::ports::AnswerPart;
use crate::ports::AttemptAnswer;
use crate::ports::AttemptFailure;
use crate::ports::Call;
use crate::ports::ClaimDecision;
use crate::ports::ClaimRequest;
use crate::problem::ProblemKind;
use crate::shared::OpenRequestGuard;
use crate::shared::Shared;

/// Parts of an answer that are buffered for a slow caller.
const ANSWER_QUEUE: usize = 8;

/// Extra time after the deadline in which the claim port may still report why there is no claim.
const CLAIM_GRACE: Duration = Duration::from_millis(100);

/// The response to a keyed request.
pub(crate) enum KeyedResponse {
    /// The answer of this run.
    Answer(AttemptAnswer),
    /// The stored response of an earlier run.
    Replay(StoredResponse),
}

/// Claims the key, then runs the request under the claim.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    mut call: Call,
    request: ClaimRequest,
    guards: (OpenRequestGuard, Arc<AdmissionGuard>),
    dispatched: Dispatched,
) -> Result<KeyedResponse, AttemptFailure> {
    let key = request.key;
    let time_left = shared.time_left(call.deadline_ms);
    // Runs in its own task, because dropping the future when the caller disconnects would lose a
    // claim that is granted afterwards.
    let (result_sender, result_receiver) = oneshot::channel();
    let shared = shared.clone();
    tokio::spawn(async move {
        let _guards = guards;
        match claim(&shared, request).await {
            Err(failure) => drop(result_sender.send(Err(failure))),
            Ok(ClaimResult::Replay(stored)) => {
                drop(result_sender.send(Ok(KeyedResponse::Replay(stored))))
            }
            Ok(ClaimResult::Granted { offset, dispatch_until_ms }) => {
                call.claim_offset = Some(offset);
                call.dispatch_until_ms = Some(dispatch_until_ms);
                run_claimed(&shared, &call, (key, offset), result_sender, &dispatched).await;
            }
        }
    });
    match tokio::time::timeout(time_left + CLAIM_GRACE, result_receiver).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => {
            let detail = "the task that ran the request ended early";
            Err(AttemptFailure::new(Outcome::Unknown, ProblemKind::EndpointFailed, detail))
        }
        // The task goes on. A claim granted now is released, because its dispatch time has passed.
        Err(_) => {
            let detail = "the deadline passed before the claim was decided";
            Err(AttemptFailure::new(Outcome::Unknown, ProblemKind::DeadlineExceeded, detail))
        }
    }
}

enum ClaimResult {
    Granted { offset: Offset, dispatch_until_ms: u64 },
    Replay(StoredResponse),
}

async fn claim(shared: &Shared, request: ClaimRequest) -> Result<ClaimResult, AttemptFailure> {
    let refuse = |outcome, problem, detail: &str| {
        Err(AttemptFailure::new(outcome, problem, detail.to_owned()))
    };
    let unknown = Outcome::Unknown;
    match (shared.ports.claim)(request).await {
        ClaimDecision::Granted { offset, dispatch_until_ms } => {
            Ok(ClaimResult::Granted { offset, dispatch_until_ms })
        }
        ClaimDecision::Replay(stored) => {
            shared.metrics.replays.add(1, &[]);
            Ok(ClaimResult::Replay(stored))
        }
        ClaimDecision::KeyReused => {
            let detail = "the key belongs to a request with another method, path or body";
            refuse(Outcome::NotRun, ProblemKind::KeyReused, detail)
        }
        ClaimDecision::HeldElsewhere => {
            let detail = "the first request with this key had no answer before this deadline";
            refuse(unknown, ProblemKind::RequestInProgress, detail)
        }
        ClaimDecision::OutcomeUnknown => {
            let detail =
                "the process that ran the first request is gone; the request is not run again";
            refuse(unknown, ProblemKind::EarlierOutcomeUnknown, detail)
        }
        ClaimDecision::KeyExpired => {
            let detail = "the result for this key is no longer stored";
            refuse(unknown, ProblemKind::KeyExpired, detail)
        }
        ClaimDecision::Unavailable { retry_after_ms } => {
            let detail = "the log cannot confirm a claim; an earlier attempt may have run";
            let failed = AttemptFailure::new(unknown, ProblemKind::ClaimUnavailable, detail);
            Err(AttemptFailure { retry_after_ms: Some(retry_after_ms), ..failed })
        }
    }
}

/// Runs a claimed request to its end, even if the caller disconnects, so that a repeat gets the
/// response.
async fn run_claimed(
    shared: &Arc<Shared>,
    call: &Call,
    (key, offset): (ClaimKey, Offset),
    result_sender: oneshot::Sender<Result<KeyedResponse, AttemptFailure>>,
    dispatched: &Dispatched,
) {
    let AttemptAnswer { status, headers, mut body } =
        match flow::run(shared, call, true, dispatched).await {
            Ok(answer) => answer,
            Err(failure) => {
                let not_run = failure.outcome == Outcome::NotRun;
                let _ = result_sender.send(Err(failure));
                if not_run {
                    (shared.ports.release)((key, offset)).await;
                }
                return;
            }
        };
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
    let content_type = Arc::from(content_type.unwrap_or_default());
    let (part_sender, part_receiver) = mpsc::channel(ANSWER_QUEUE);
    let body_parts = stream::unfold(part_receiver, |mut part_receiver| async move {
        let part = part_receiver.recv().await?;
        Some((part, part_receiver))
    });
    let answer = AttemptAnswer { status, headers, body: body_parts.boxed() };
    let _ = result_sender.send(Ok(KeyedResponse::Answer(answer)));
    let mut stored_body = Some(Vec::new());
    let mut is_complete = false;
    while let Some(part) = body.next().await {
        match &part {
            AnswerPart::Data(data) => append_to_stored(&mut stored_body, data),
            AnswerPart::End => is_complete = true,
            AnswerPart::Broken(_) => {}
        }
        // The run continues even if the caller has disconnected.
        let _ = part_sender.send(part).await;
    }
    drop(part_sender);
    if is_complete {
        let response = StoredResponse { status, content_type, body: stored_body.map(Arc::from) };
        if !(shared.ports.complete)((key, offset, response)).await {
            shared.metrics.unrecorded_answers.add(1, &[]);
        }
    }
}

fn append_to_stored(stored_body: &mut Option<Vec<u8>>, data: &[u8]) {
    if let Some(bytes) = stored_body {
        if bytes.len() + data.len() > MAX_STORED_BODY_BYTES {
            *stored_body = None;
        } else {
            bytes.extend_from_slice(data);
        }
    }
}
