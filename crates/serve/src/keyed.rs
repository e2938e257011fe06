//! Keyed non-idempotent requests: a claim comes before dispatch, and the response is recorded.

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

use crate::admit::Admitted;
use crate::flow;
use crate::ports::AnswerPart;
use crate::ports::AttemptAnswer;
use crate::ports::AttemptFailure;
use crate::ports::Call;
use crate::ports::ClaimDecision;
use crate::ports::ClaimRequest;
use crate::problem::ProblemKind;
use crate::shared::OpenGuard;
use crate::shared::Shared;

/// Parts of an answer that wait for a slow caller.
const ANSWER_QUEUE: usize = 8;

/// How long after the deadline the claim port may still say why it has none.
const LATE_CLAIM: Duration = Duration::from_millis(100);

/// How a keyed request may be answered.
pub(crate) enum Keyed {
    /// The answer of this run.
    Answer(AttemptAnswer),
    /// The kept response of an earlier run.
    Replay(StoredResponse),
}

/// Claims the key, then runs the request under the claim.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    mut call: Call,
    request: ClaimRequest,
    held: (OpenGuard, Arc<Admitted>),
) -> Result<Keyed, AttemptFailure> {
    let key = request.key;
    let left = shared.left(call.deadline_ms);
    // A dropped future would lose a claim that is granted after the caller went away.
    let (answer_to, answered) = oneshot::channel();
    let shared = shared.clone();
    tokio::spawn(async move {
        let _held = held;
        match claim(&shared, request).await {
            Err(failure) => drop(answer_to.send(Err(failure))),
            Ok(Claimed::Replay(stored)) => drop(answer_to.send(Ok(Keyed::Replay(stored)))),
            Ok(Claimed::Granted { offset, dispatch_until_ms }) => {
                call.claim_offset = Some(offset);
                call.dispatch_until_ms = Some(dispatch_until_ms);
                run_claimed(&shared, &call, key, offset, answer_to).await;
            }
        }
    });
    match tokio::time::timeout(left + LATE_CLAIM, answered).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => {
            let detail = "the request was given up";
            Err(AttemptFailure::new(Outcome::Unknown, ProblemKind::EndpointFailed, detail))
        }
        // The run goes on; a claim that is granted now is released, because its time has passed.
        Err(_) => {
            let detail = "the deadline passed before the claim was decided";
            Err(AttemptFailure::new(Outcome::Unknown, ProblemKind::DeadlineExceeded, detail))
        }
    }
}

enum Claimed {
    Granted { offset: Offset, dispatch_until_ms: u64 },
    Replay(StoredResponse),
}

async fn claim(shared: &Shared, request: ClaimRequest) -> Result<Claimed, AttemptFailure> {
    let refuse = |outcome, problem, detail: &str| {
        Err(AttemptFailure::new(outcome, problem, detail.to_owned()))
    };
    let unknown = Outcome::Unknown;
    match (shared.ports.claim)(request).await {
        ClaimDecision::Granted { offset, dispatch_until_ms } => {
            Ok(Claimed::Granted { offset, dispatch_until_ms })
        }
        ClaimDecision::Replay(stored) => {
            shared.metrics.replays.add(1, &[]);
            Ok(Claimed::Replay(stored))
        }
        ClaimDecision::KeyReused => {
            let detail = "the key belongs to a request with another method, path or body";
            refuse(Outcome::NotRun, ProblemKind::KeyReused, detail)
        }
        ClaimDecision::HeldElsewhere => {
            let detail = "the first request with this key had no answer before this deadline";
            refuse(unknown, ProblemKind::RequestInProgress, detail)
        }
        ClaimDecision::EndedUnknown => {
            let detail = "the process that ran the first request is gone; it is never run again";
            refuse(unknown, ProblemKind::EarlierOutcomeUnknown, detail)
        }
        ClaimDecision::WindowPassed => {
            let detail = "what came of this key is no longer kept";
            refuse(unknown, ProblemKind::KeyExpired, detail)
        }
        ClaimDecision::Unavailable { retry_after_ms } => {
            let detail = "the log cannot confirm a claim; an earlier attempt may have run";
            let failed = AttemptFailure::new(unknown, ProblemKind::ClaimUnavailable, detail);
            Err(AttemptFailure { retry_after_ms: Some(retry_after_ms), ..failed })
        }
    }
}

/// Runs a claimed request to its end, even if the caller goes away, so that a repeat gets the
/// response.
async fn run_claimed(
    shared: &Arc<Shared>,
    call: &Call,
    key: ClaimKey,
    offset: Offset,
    answer_to: oneshot::Sender<Result<Keyed, AttemptFailure>>,
) {
    let AttemptAnswer { status, headers, mut body } = match flow::run(shared, call, true).await {
        Ok(answer) => answer,
        Err(failure) => {
            let not_run = failure.outcome == Outcome::NotRun;
            let _ = answer_to.send(Err(failure));
            if not_run {
                (shared.ports.release)((key, offset)).await;
            }
            return;
        }
    };
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
    let content_type = Arc::from(content_type.unwrap_or_default());
    let (parts, received) = mpsc::channel(ANSWER_QUEUE);
    let passed = stream::unfold(received, |mut received| async move {
        let part = received.recv().await?;
        Some((part, received))
    });
    let answer = AttemptAnswer { status, headers, body: passed.boxed() };
    let _ = answer_to.send(Ok(Keyed::Answer(answer)));
    let mut kept = Some(Vec::new());
    let mut whole = false;
    while let Some(part) = body.next().await {
        match &part {
            AnswerPart::Data(data) => keep(&mut kept, data),
            AnswerPart::End => whole = true,
            AnswerPart::Broken(_) => {}
        }
        // A caller that went away does not end the run.
        let _ = parts.send(part).await;
    }
    drop(parts);
    if whole {
        let response = StoredResponse { status, content_type, body: kept.map(Arc::from) };
        if !(shared.ports.complete)((key, offset, response)).await {
            shared.metrics.unrecorded_answers.add(1, &[]);
        }
    }
}

fn keep(kept: &mut Option<Vec<u8>>, data: &[u8]) {
    if let Some(bytes) = kept {
        if bytes.len() + data.len() > MAX_STORED_BODY_BYTES {
            *kept = None;
        } else {
            bytes.extend_from_slice(data);
        }
    }
}
