//! Copies of reads to a second pool, while a service moves from one pool to another.
//!
//! A copy runs beside the caller's request under the admission of that request, and its answer is
//! only compared and counted. At most a share of the reads and a number at a time is copied, and
//! nothing of the caller's request ever waits for a copy.

use std::sync::Arc;

use balsam_types::RouteSpec;
use futures::StreamExt;
use futures::future;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::flow;
use crate::ports::AnswerPart;
use crate::ports::Call;
use crate::shared::Shared;

/// Copies are the first requests that an engine may put off.
const COPY_PRIORITY: u8 = 9;

/// What is compared: the status and the hash of the body.
type Summary = (u16, [u8; 32]);

/// Collects the caller's answer for the comparison; dropping it ends the copy.
pub(crate) struct Comparison {
    body: Sha256,
    finished: oneshot::Sender<Summary>,
}

impl Comparison {
    /// Adds bytes of the caller's answer.
    pub fn update(&mut self, data: &[u8]) {
        self.body.update(data);
    }

    /// Says that the caller's answer is whole.
    pub fn finish(self, status: u16) {
        // A copy that failed no longer waits.
        let _ = self.finished.send((status, self.body.finalize().into()));
    }
}

/// Starts a copy of a request if its route asks for one and the bounds allow it.
pub(crate) fn start(shared: &Arc<Shared>, route: &RouteSpec, call: &Call) -> Option<Comparison> {
    let pool = route.compare_pool.as_ref()?;
    let place = shared.copies.take_place(call)?;
    let copy = Call {
        pool: pool.clone(),
        priority: COPY_PRIORITY,
        // A failed copy is not tried again, so that it costs the second pool one request.
        idempotent: false,
        ..call.clone()
    };
    let (finished, expected) = oneshot::channel();
    let shared = shared.clone();
    let name = route.route.clone();
    tokio::spawn(async move {
        let _place = place;
        let copied = timeout(shared.left(copy.deadline_ms), summary(&shared, &copy));
        let copied = async { copied.await.ok().flatten().ok_or(Failed::Copy) };
        let expected = async { expected.await.map_err(|_| Failed::Caller) };
        let result = match future::try_join(copied, expected).await {
            Ok((copied, expected)) if copied == expected => "equal",
            Ok(_) => "different",
            Err(Failed::Copy) => "failed",
            // The caller went away or got no whole answer, so there is nothing to compare.
            Err(Failed::Caller) => return,
        };
        shared.metrics.compared(name.as_str(), result);
    });
    Some(Comparison { body: Sha256::new(), finished })
}

enum Failed {
    Copy,
    Caller,
}

async fn summary(shared: &Arc<Shared>, copy: &Call) -> Option<Summary> {
    let mut answer = flow::run(shared, copy, true).await.ok()?;
    let mut body = Sha256::new();
    loop {
        match answer.body.next().await? {
            AnswerPart::Data(data) => body.update(&data),
            AnswerPart::End => return Some((answer.status, body.finalize().into())),
            AnswerPart::Broken(_) => return None,
        }
    }
}
