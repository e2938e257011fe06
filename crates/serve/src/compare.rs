//! Copies reads to a second pool while a service moves from one pool to another.
//!
//! A copy runs in parallel with the caller's request, under the admission of that request. Its
//! answer is only compared and counted. The share of copied reads and the number of concurrent
//! copies are limited, and the caller's request never waits for a copy.

use std::sync::Arc;

use balsam_types::RouteSpec;
use futures::StreamExt;
use futures::future;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::attempt::Dispatched;
use crate::flow;
use crate::ports::AnswerPart;
use crate::ports::Call;
use crate::shared::Shared;

/// The lowest priority: an engine may defer copies before all other requests.
const COPY_PRIORITY: u8 = 9;

/// What is compared: the status and the hash of the body.
type AnswerSummary = (u16, [u8; 32]);

/// Hashes the caller's answer for the comparison; dropping it cancels the copy.
pub(crate) struct Comparison {
    body: Sha256,
    finished: oneshot::Sender<AnswerSummary>,
}

impl Comparison {
    /// Adds bytes of the caller's answer.
    pub fn update(&mut self, data: &[u8]) {
        self.body.update(data);
    }

    /// Reports that the caller's answer is complete.
    pub fn finish(self, status: u16) {
        // The receiver is gone if the copy has failed.
        let _ = self.finished.send((status, self.body.finalize().into()));
    }
}

/// Starts a copy of a request if its route has a second pool and the limits allow it.
pub(crate) fn start(shared: &Arc<Shared>, route: &RouteSpec, call: &Call) -> Option<Comparison> {
    let pool = route.compare_pool.as_ref()?;
    let permit = shared.copies.try_start(call)?;
    let copy = Call {
        pool: pool.clone(),
        priority: COPY_PRIORITY,
        // A failed copy is not retried, so that it costs the second pool only one request.
        idempotent: false,
        ..call.clone()
    };
    let (finished, expected) = oneshot::channel();
    let shared = shared.clone();
    let name = route.route.clone();
    tokio::spawn(async move {
        let _permit = permit;
        let copied = timeout(shared.time_left(copy.deadline_ms), summary(&shared, &copy));
        let copied = async { copied.await.ok().flatten().ok_or(FailedSide::Copy) };
        let expected = async { expected.await.map_err(|_| FailedSide::Caller) };
        let result = match future::try_join(copied, expected).await {
            Ok((copied, expected)) if copied == expected => "equal",
            Ok(_) => "different",
            Err(FailedSide::Copy) => "failed",
            // The caller disconnected or got no complete answer, so there is nothing to compare.
            Err(FailedSide::Caller) => return,
        };
        shared.metrics.compared(name.as_str(), result);
    });
    Some(Comparison { body: Sha256::new(), finished })
}

enum FailedSide {
    Copy,
    Caller,
}

async fn summary(shared: &Arc<Shared>, copy: &Call) -> Option<AnswerSummary> {
    let mut answer = flow::run(shared, copy, true, &Dispatched::default()).await.ok()?;
    let mut body = Sha256::new();
    loop {
        match answer.body.next().await? {
            AnswerPart::Data(data) => body.update(&data),
            AnswerPart::End => return Some((answer.status, body.finalize().into())),
            AnswerPart::Broken(_) => return None,
        }
    }
}
