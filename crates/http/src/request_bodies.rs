//! Reads callers' request bodies within the memory of the node.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::memory::HeldMemory;
use crate::memory::Reservation;
use crate::open_connections::OpenConnections;

/// Bytes of a body that need no reservation, so that ordinary requests go on while large ones find
/// no memory. Over all connections of a node they are a small part of its memory.
const UNRESERVED_BODY_BYTES: usize = 8 * 1024;

/// Time without a byte after which a body or a head may give way to other callers; a caller that is
/// still sending pauses for less, also when a packet is lost.
pub const STILL_AFTER: Duration = Duration::from_secs(1);

/// Why a body was not read whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyFailure {
    /// It exceeds the limit on bodies.
    TooLarge,
    /// The connection or the framing failed.
    Unreadable(String),
    /// No memory was left for it.
    NoMemory,
    /// It stood still, and another body needed its memory.
    GaveWay,
    /// It was not complete in time.
    TimedOut,
}

/// The request bodies that are being read, and the memory that they reserve.
#[derive(Debug, Clone)]
pub struct RequestBodies {
    memory: HeldMemory,
    unfinished: Arc<OpenConnections<UnfinishedBody>>,
}

impl RequestBodies {
    /// Creates the reader of bodies that reserve this memory.
    pub fn new(memory: HeldMemory) -> Self {
        Self { memory, unfinished: Arc::default() }
    }

    /// Reads a complete body, which keeps its reservation until the bytes are dropped.
    ///
    /// The bytes are copied into one buffer, because a body may arrive in chunks of a few bytes and
    /// each needs tens of bytes of memory. The buffer grows as bytes arrive, because a caller that
    /// only announces a large body must not use up the memory of others. `reserve_share` is asked
    /// for the bytes first and refuses the body with `false`.
    pub async fn read<B>(
        &self,
        body: &mut B,
        max_bytes: usize,
        time: Duration,
        reserve_share: impl FnMut(usize) -> bool,
    ) -> Result<Bytes, BodyFailure>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Display,
    {
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(BodyFailure::TooLarge);
        }
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let reading = self.read_in_parts(body, max_bytes, reserve_share);
        timeout(time, reading).await.unwrap_or(Err(BodyFailure::TimedOut))
    }

    async fn read_in_parts<B>(
        &self,
        body: &mut B,
        max_bytes: usize,
        mut reserve_share: impl FnMut(usize) -> bool,
    ) -> Result<Bytes, BodyFailure>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Display,
    {
        let stated_bytes = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
        let entry = Entry::add(self);
        loop {
            let frame = tokio::select! {
                biased;
                () = entry.body.gives_way.notified() => return Err(BodyFailure::GaveWay),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|error| BodyFailure::Unreadable(error.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            // While it grows, the body is not there to give way.
            let mut held = entry.body.held().take().ok_or(BodyFailure::GaveWay)?;
            if held.bytes.len() + data.len() > max_bytes {
                return Err(BodyFailure::TooLarge);
            }
            let max_capacity = stated_bytes.unwrap_or(max_bytes);
            if !self.grow(&mut held, data.len(), max_capacity, &mut reserve_share) {
                return Err(BodyFailure::NoMemory);
            }
            held.bytes.extend_from_slice(&data);
            held.progress_at = Instant::now();
            *entry.body.held() = Some(held);
        }
        let held = entry.body.held().take().ok_or(BodyFailure::GaveWay)?;
        Ok(match held.reservation.bytes() {
            0 => Bytes::from(held.bytes),
            _ => Bytes::from_owner(held),
        })
    }

    /// Makes room for more bytes; false if there is no memory.
    fn grow(
        &self,
        held: &mut HeldBody,
        added_bytes: usize,
        max_capacity: usize,
        reserve_share: &mut impl FnMut(usize) -> bool,
    ) -> bool {
        let needed_bytes = held.bytes.len() + added_bytes;
        if needed_bytes <= held.bytes.capacity() {
            return true;
        }
        let capacity = (2 * held.bytes.capacity()).min(max_capacity).max(needed_bytes);
        if capacity > UNRESERVED_BODY_BYTES {
            let reserved_bytes = capacity - held.reservation.bytes();
            if !reserve_share(reserved_bytes) {
                return false;
            }
            while !self.memory.try_reserve_request(&mut held.reservation, reserved_bytes) {
                let Some(body) = self.unfinished.take_lowest(UnfinishedBody::still_since) else {
                    return false;
                };
                body.give_way();
            }
        }
        held.bytes.reserve_exact(capacity - held.bytes.len());
        true
    }
}

/// A body of which bytes have arrived or are expected.
#[derive(Debug)]
struct UnfinishedBody {
    /// `None` once the body gave way, and while it grows.
    held: Mutex<Option<HeldBody>>,
    gives_way: Notify,
}

impl UnfinishedBody {
    fn held(&self) -> MutexGuard<'_, Option<HeldBody>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns since when no byte has arrived of a body that could give way.
    fn still_since(&self) -> Option<Instant> {
        let held = self.held();
        let held = held.as_ref().filter(|held| held.reservation.bytes() > 0)?;
        (held.progress_at.elapsed() >= STILL_AFTER).then_some(held.progress_at)
    }

    fn give_way(&self) {
        self.held().take();
        self.gives_way.notify_one();
    }
}

/// The bytes of a body with their reservation.
#[derive(Debug)]
struct HeldBody {
    bytes: Vec<u8>,
    reservation: Reservation,
    progress_at: Instant,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Keeps a body among those that are being read until dropped.
struct Entry<'a> {
    bodies: &'a RequestBodies,
    number: u64,
    body: Arc<UnfinishedBody>,
}

impl<'a> Entry<'a> {
    fn add(bodies: &'a RequestBodies) -> Self {
        let progress_at = Instant::now();
        let held = HeldBody { bytes: Vec::new(), reservation: Reservation::default(), progress_at };
        let held = Mutex::new(Some(held));
        let body = Arc::new(UnfinishedBody { held, gives_way: Notify::new() });
        Self { bodies, number: bodies.unfinished.add(body.clone()), body }
    }
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        self.bodies.unfinished.remove(self.number);
    }
}
