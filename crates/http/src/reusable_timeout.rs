//! A timeout that needs no timer operation per wait.

use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::Sleep;

/// Limits a series of waits with one reused timer.
///
/// A new timer per wait would be registered and removed for each streamed event. This timer stays
/// registered, and is reset only if it fires before the limit of the current wait or is set later.
#[derive(Default)]
pub struct ReusableTimeout {
    timer: Option<Pin<Box<Sleep>>>,
}

impl ReusableTimeout {
    /// Waits for a future for at most `limit`; returns `None` if it was not ready by then.
    pub async fn wait<F: Future>(&mut self, future: F, limit: Duration) -> Option<F::Output> {
        let mut future = std::pin::pin!(future);
        let mut deadline_at = None;
        poll_fn(|cx| {
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(Some(output));
            }
            let deadline_at = *deadline_at.get_or_insert_with(|| Instant::now() + limit);
            let timer =
                self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline_at)));
            // A timer set too late would miss the limit; one set too early is reset below.
            if timer.deadline() > deadline_at {
                timer.as_mut().reset(deadline_at);
            }
            while timer.as_mut().poll(cx).is_ready() {
                if Instant::now() >= deadline_at {
                    return Poll::Ready(None);
                }
                timer.as_mut().reset(deadline_at);
            }
            Poll::Pending
        })
        .await
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SHORT: Duration = Duration::from_millis(30);
    const LONG: Duration = Duration::from_secs(60);

    /// Guards against a wait that uses the limit of an earlier wait or never times out.
    #[tokio::test]
    async fn each_wait_uses_its_own_limit() {
        let mut reusable_timeout = ReusableTimeout::default();
        let never_ready = std::future::pending::<()>;
        assert!(reusable_timeout.wait(tokio::task::yield_now(), SHORT).await.is_some());
        assert!(reusable_timeout.wait(tokio::time::sleep(3 * SHORT), LONG).await.is_some());
        let second = tokio::time::timeout(LONG / 2, reusable_timeout.wait(never_ready(), SHORT));
        assert_eq!(second.await, Ok(None));
    }
}
