//! Events of an answer that are held while the caller does not read.
//!
//! An endpoint cuts off an answer that stays unread for some seconds, so its events are read on for
//! a caller that is slow, as far as the memory of the node allows. See
//! `docs/design/slow-readers.md`.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use balsam_http::HeldMemory;
use balsam_http::Reservation;
use bytes::Bytes;
use bytes::BytesMut;
use futures::Stream;
use futures::StreamExt;
use futures::stream::BoxStream;

use crate::answer::Broken;

/// Size of the blocks in which events are held. The first of an answer is not reserved; the callers'
/// connections, some 2,500 on the smallest VMs, bound the sum of these to 20 MB.
pub(crate) const BLOCK_BYTES: usize = 8 * 1024;

/// Bytes that hyper may hold of an answer before it writes them; it would buffer up to its limit for
/// heads, 64 KB, on each connection.
const MAX_UNSENT_BYTES: usize = 16 * 1024;

type Events = BoxStream<'static, Result<Bytes, Broken>>;

/// How much of an answer the caller's connection has taken and not written.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Unsent {
    /// Whether a write waits until the caller reads.
    pub is_blocked: bool,
    /// Bytes that were passed to the connection and not written to the socket.
    pub bytes: usize,
}

/// The events of one answer, which its body takes and its connection reads on.
pub(crate) struct ReadAhead {
    memory: HeldMemory,
    state: Mutex<State>,
}

struct State {
    /// `None` once they have ended.
    events: Option<Events>,
    /// What was read and not passed on, without the block that is being filled.
    held: VecDeque<Bytes>,
    block: Block,
    /// Events for which there was no memory; nothing more is read before there is.
    unplaced: Option<Bytes>,
    failure: Option<Broken>,
    /// Whether the body has to be polled again once the connection has written.
    is_deferred: bool,
}

/// Bytes with the memory that is reserved for them until the caller has taken them.
#[derive(Default)]
struct Block {
    bytes: BytesMut,
    _memory: Reservation,
}

impl AsRef<[u8]> for Block {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ReadAhead {
    /// Holds nothing at first.
    pub fn new(events: Events, memory: HeldMemory) -> Self {
        let state = State {
            events: Some(events),
            held: VecDeque::new(),
            block: Block::default(),
            unplaced: None,
            failure: None,
            is_deferred: false,
        };
        Self { memory, state: Mutex::new(state) }
    }

    /// Returns the next events for the connection to write.
    pub fn poll_next(
        &self,
        unsent: Unsent,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Broken>>> {
        let mut state = self.lock();
        if unsent.is_blocked || unsent.bytes >= MAX_UNSENT_BYTES {
            state.is_deferred = true;
            return Poll::Pending;
        }
        if let Some(held) = state.take_held() {
            return Poll::Ready(Some(Ok(held)));
        }
        if let Some(failure) = state.failure.take() {
            return Poll::Ready(Some(Err(failure)));
        }
        let Some(events) = &mut state.events else { return Poll::Ready(None) };
        let next = ready!(events.poll_next_unpin(cx));
        Poll::Ready(match next {
            Some(Ok(events)) if events.len() > BLOCK_BYTES => {
                // Without memory they are passed on as well, since the connection can write.
                Some(Ok(self.reserve(events).unwrap_or_else(|events| events)))
            }
            Some(Ok(events)) => Some(Ok(events)),
            end => {
                state.events = None;
                end
            }
        })
    }

    /// Whether the connection has to be polled again, as it has written since the body was polled.
    pub fn take_deferred(&self) -> bool {
        std::mem::take(&mut self.lock().is_deferred)
    }

    /// Reads events on for a caller that does not read; false if there is no memory for them.
    pub fn fill(&self, cx: &mut Context<'_>) -> bool {
        let mut state = self.lock();
        loop {
            if let Some(events) = state.unplaced.take()
                && let Err(events) = self.hold(&mut state, events)
            {
                state.unplaced = Some(events);
                return false;
            }
            let Some(events) = &mut state.events else { return true };
            match events.poll_next_unpin(cx) {
                Poll::Pending => return true,
                Poll::Ready(Some(Ok(events))) => state.unplaced = Some(events),
                Poll::Ready(end) => {
                    state.failure = end.and_then(Result::err);
                    state.events = None;
                }
            }
        }
    }

    /// Returns the bytes that are held.
    pub fn held_bytes(&self) -> usize {
        let state = self.lock();
        let unplaced_bytes = state.unplaced.as_ref().map_or(0, Bytes::len);
        let full_bytes = state.held.iter().map(Bytes::len).sum::<usize>();
        full_bytes + state.block.bytes.len() + unplaced_bytes
    }

    /// Adds events to what is held; returns them if there is no memory.
    fn hold(&self, state: &mut State, events: Bytes) -> Result<(), Bytes> {
        if events.len() > BLOCK_BYTES {
            let reserved = self.reserve(events)?;
            state.end_block();
            state.held.push_back(reserved);
            return Ok(());
        }
        if state.block.bytes.len() + events.len() > BLOCK_BYTES || state.block.bytes.is_empty() {
            let mut memory = Reservation::default();
            let is_first = state.held.is_empty() && state.block.bytes.is_empty();
            if !is_first && !self.memory.try_reserve_answer(&mut memory, BLOCK_BYTES) {
                return Err(events);
            }
            state.end_block();
            state.block = Block { bytes: BytesMut::with_capacity(BLOCK_BYTES), _memory: memory };
        }
        state.block.bytes.extend_from_slice(&events);
        Ok(())
    }

    fn reserve(&self, events: Bytes) -> Result<Bytes, Bytes> {
        let mut memory = Reservation::default();
        match self.memory.try_reserve_answer(&mut memory, events.len()) {
            true => Ok(Bytes::from_owner(ReservedEvents { events, _memory: memory })),
            false => Err(events),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Large events with the memory that is reserved for them.
struct ReservedEvents {
    events: Bytes,
    _memory: Reservation,
}

impl AsRef<[u8]> for ReservedEvents {
    fn as_ref(&self) -> &[u8] {
        &self.events
    }
}

impl State {
    fn end_block(&mut self) {
        let block = std::mem::take(&mut self.block);
        if !block.bytes.is_empty() {
            self.held.push_back(Bytes::from_owner(block));
        }
    }

    fn take_held(&mut self) -> Option<Bytes> {
        if self.held.is_empty() {
            self.end_block();
        }
        self.held.pop_front().or_else(|| self.unplaced.take())
    }
}

/// The body of an answer that is read ahead. `unsent` tells what its connection has not written.
pub(crate) struct ReadAheadEvents<F> {
    /// Shared with the connection, which lets go of it when this is dropped.
    pub read_ahead: Arc<ReadAhead>,
    /// Tells how much the connection has not written, and records what it gets.
    pub connection: F,
}

impl<F: Fn(usize) -> Unsent + Unpin> Stream for ReadAheadEvents<F> {
    type Item = Result<Bytes, Broken>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = self.read_ahead.poll_next((self.connection)(0), cx);
        if let Poll::Ready(Some(Ok(events))) = &next {
            (self.connection)(events.len());
        }
        next
    }
}
