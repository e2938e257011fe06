//! A limit on waiting that costs no timer operation per wait.

use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::Sleep;

/// Limits a series of waits with one timer.
///
/// A timer per streamed event would be registered and removed again for each event. This one stays
/// registered, and is moved only when it fires before the limit of the current wait.
#[derive(Default)]
pub struct Patience {
    timer: Option<Pin<Box<Sleep>>>,
}

impl Patience {
    /// Waits for a future for at most `limit`; `None` if it was not ready by then.
    pub async fn wait<F: Future>(&mut self, future: F, limit: Duration) -> Option<F::Output> {
        let mut future = std::pin::pin!(future);
        let mut until = None;
        poll_fn(|cx| {
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(Some(output));
            }
            let until = *until.get_or_insert_with(|| Instant::now() + limit);
            let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(until)));
            // A timer that is due too late would miss the limit; one that is due early is moved below.
            if timer.deadline() > until {
                timer.as_mut().reset(until);
            }
            while timer.as_mut().poll(cx).is_ready() {
                if Instant::now() >= until {
                    return Poll::Ready(None);
                }
                timer.as_mut().reset(until);
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

    /// Guards against a wait that ends with the limit of an earlier one, or never.
    #[tokio::test]
    async fn each_wait_has_its_own_limit() {
        let mut patience = Patience::default();
        let silent = std::future::pending::<()>;
        assert!(patience.wait(tokio::task::yield_now(), SHORT).await.is_some());
        assert!(patience.wait(tokio::time::sleep(3 * SHORT), LONG).await.is_some());
        let second = tokio::time::timeout(LONG / 2, patience.wait(silent(), SHORT));
        assert_eq!(second.await, Ok(None));
    }
}
