//! Token streams of the stand-in engine, which a client can leave and resume.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::Stream as FutureStream;
use futures::stream;
use tokio::sync::watch;

use super::Fault;
use super::Shared;

/// A token stream that is produced without a reader too, until the resume window has passed.
pub(super) struct Stream {
    pub id: Arc<str>,
    /// Part of every token, so that a test can detect events of another request.
    pub label: Arc<str>,
    pub tokens: u64,
    produced: watch::Sender<u64>,
    is_cancelled: AtomicBool,
    pub is_lost: AtomicBool,
    readers: AtomicU32,
    unread_since_ms: AtomicU64,
}

impl Stream {
    /// Registers a new stream and starts to produce its tokens.
    pub fn start(shared: &Arc<Shared>, label: Arc<str>, tokens: u64) -> Arc<Self> {
        let number = shared.next_stream.fetch_add(1, Ordering::SeqCst);
        let stream = Arc::new(Self {
            id: Arc::from(format!("s{number}")),
            label,
            tokens,
            produced: watch::Sender::new(0),
            is_cancelled: AtomicBool::new(false),
            is_lost: AtomicBool::new(false),
            readers: AtomicU32::new(0),
            unread_since_ms: AtomicU64::new(elapsed_ms(shared.started)),
        });
        shared.lock().streams.insert(stream.id.clone(), stream.clone());
        tokio::spawn(produce(shared.clone(), stream.clone()));
        stream
    }

    /// Stops production.
    pub fn cancel(&self) {
        self.is_cancelled.store(true, Ordering::SeqCst);
    }

    /// Returns the event with an id; the id after the last token is the terminal event.
    pub fn event(&self, id: u64) -> Bytes {
        if id > self.tokens {
            return Bytes::from(format!("id: {id}\ndata: [DONE]\n\n"));
        }
        let label = &self.label;
        let data = format!(r#"{{"choices":[{{"delta":{{"content":"{label}-{id} "}}}}]}}"#);
        Bytes::from(format!("id: {id}\ndata: {data}\n\n"))
    }

    /// Returns the text of all tokens, for an answer that is not streamed.
    pub fn full_text(&self) -> String {
        (1..=self.tokens).map(|id| format!("{}-{id} ", self.label)).collect()
    }

    /// Waits until all tokens are produced; returns false if the stream was cancelled.
    pub async fn wait_finished(&self) -> bool {
        let last = self.tokens + 1;
        self.produced.subscribe().wait_for(|produced| *produced >= last).await.is_ok()
            && !self.is_cancelled.load(Ordering::SeqCst)
    }
}

fn elapsed_ms(since: Instant) -> u64 {
    since.elapsed().as_millis() as u64
}

async fn produce(shared: Arc<Shared>, stream: Arc<Stream>) {
    let interval = Duration::from_millis(shared.options.token_interval_ms.max(1));
    let mut tick = tokio::time::interval(interval);
    for id in 1..=stream.tokens + 1 {
        tick.tick().await;
        let is_unread = stream.readers.load(Ordering::SeqCst) == 0;
        let unread_since_ms = stream.unread_since_ms.load(Ordering::SeqCst);
        let window_ms = shared.options.resume_window_ms;
        if is_unread && elapsed_ms(shared.started) > unread_since_ms + window_ms {
            stream.cancel();
        }
        if stream.is_cancelled.load(Ordering::SeqCst) {
            break;
        }
        stream.produced.send_replace(id);
    }
    // A finished stream can still be resumed within the window.
    tokio::time::sleep(Duration::from_millis(shared.options.resume_window_ms)).await;
    shared.lock().streams.remove(&stream.id);
}

struct Reader {
    shared: Arc<Shared>,
    stream: Arc<Stream>,
    produced: watch::Receiver<u64>,
    next_id: u64,
    fault: Option<Fault>,
    sent_events: u64,
}

impl Drop for Reader {
    fn drop(&mut self) {
        let now_ms = elapsed_ms(self.shared.started);
        self.stream.unread_since_ms.store(now_ms, Ordering::SeqCst);
        self.stream.readers.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Returns the events after the id `after`, subject to an injected fault.
pub(super) fn read(
    shared: Arc<Shared>,
    stream: Arc<Stream>,
    after: u64,
    fault: Option<Fault>,
) -> impl FutureStream<Item = std::io::Result<Bytes>> {
    stream.readers.fetch_add(1, Ordering::SeqCst);
    let produced = stream.produced.subscribe();
    let reader = Reader { shared, stream, produced, next_id: after + 1, fault, sent_events: 0 };
    stream::unfold(reader, |mut reader| async move {
        let item = reader.next_event().await?;
        Some((item, reader))
    })
}

impl Reader {
    async fn next_event(&mut self) -> Option<std::io::Result<Bytes>> {
        if self.next_id > self.stream.tokens + 1 {
            return None;
        }
        match &self.fault {
            Some(Fault::StopSending(n)) if self.sent_events >= *n => {
                return std::future::pending().await;
            }
            Some(Fault::OmitTerminal(n)) if self.sent_events >= *n => return None,
            Some(Fault::CloseMidStream(n)) if self.sent_events >= *n => return self.abort().await,
            Some(Fault::LoseStream(n)) if self.sent_events >= *n => {
                self.stream.is_lost.store(true, Ordering::SeqCst);
                return self.abort().await;
            }
            _ => {}
        }
        let keep_alive = Duration::from_millis(self.shared.options.keep_alive_ms);
        let next_id = self.next_id;
        let produced = self.produced.wait_for(|produced| *produced >= next_id);
        let waited = tokio::time::timeout(keep_alive, produced).await.map(drop);
        match waited {
            Err(_) if self.stream.is_cancelled.load(Ordering::SeqCst) => self.abort().await,
            Err(_) => Some(Ok(Bytes::from_static(b": keep-alive\n\n"))),
            Ok(()) => {
                self.next_id += 1;
                self.sent_events += 1;
                Some(Ok(self.stream.event(next_id)))
            }
        }
    }

    /// Aborts the connection after a pause in which earlier events reach the socket.
    async fn abort(&self) -> Option<std::io::Result<Bytes>> {
        tokio::time::sleep(Duration::from_millis(5)).await;
        Some(Err(std::io::Error::other("connection closed by an injected fault")))
    }
}
