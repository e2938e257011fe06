//! Splits a byte stream into server-sent events.

use bytes::Bytes;
use bytes::BytesMut;
use memchr::memchr;

/// One block of an event stream, including the empty line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The bytes as received.
    pub raw: Bytes,
    /// The value of the `id` field, if it is a number.
    pub id: Option<u64>,
    /// Whether the block has a `data` field; blocks without one are keep-alive comments.
    pub has_data: bool,
    /// Whether the block has nothing but comments and the fields `event` and `retry`, which a client
    /// does not report without data.
    pub is_keep_alive: bool,
    /// Whether the block is the terminal event.
    pub is_terminal: bool,
}

/// Events up to this size are copied. A slice would keep the whole read buffer of 8 KiB alive until
/// the event is sent, and the connection would have to allocate another one for its next read.
const MAX_COPIED_EVENT_BYTES: usize = 2048;

/// Splits the bytes of a stream into complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    /// Bytes that were read but not yet returned; engines mostly write one event at a time.
    pending: Bytes,
    scanned_bytes: usize,
}

impl Splitter {
    /// Adds bytes. They are copied only if an event spans several reads.
    pub fn push(&mut self, data: Bytes) {
        if self.pending.is_empty() {
            self.pending = data;
            return;
        }
        let pending = std::mem::take(&mut self.pending);
        let mut joined = pending.try_into_mut().unwrap_or_else(|shared| {
            let mut joined = BytesMut::with_capacity(shared.len() + data.len());
            joined.extend_from_slice(&shared);
            joined
        });
        joined.extend_from_slice(&data);
        self.pending = joined.freeze();
    }

    /// Returns the number of bytes not yet returned as events.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Takes the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.scanned_bytes = 0;
        let raw = match end == self.pending.len() {
            true => std::mem::take(&mut self.pending),
            false => self.pending.split_to(end),
        };
        Some(parse_event(match raw.len() <= MAX_COPIED_EVENT_BYTES {
            true => Bytes::copy_from_slice(&raw),
            false => raw,
        }))
    }

    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.pending[..];
        let mut position = self.scanned_bytes;
        while let Some(line_end) = memchr(b'\n', &bytes[position..]) {
            let after = position + line_end + 1;
            match bytes.get(after) {
                Some(b'\n') => return Some(after + 1),
                Some(b'\r') if bytes.get(after + 1) == Some(&b'\n') => return Some(after + 2),
                _ => position = after,
            }
        }
        // The last bytes may be the start of an empty line.
        self.scanned_bytes = position.saturating_sub(1);
        None
    }
}

fn parse_event(raw: Bytes) -> Event {
    let mut event = Event {
        raw: Bytes::new(),
        id: None,
        has_data: false,
        is_keep_alive: true,
        is_terminal: false,
    };
    let mut rest = &raw[..];
    while !rest.is_empty() {
        let line;
        (line, rest) = match memchr(b'\n', rest) {
            Some(end) => (&rest[..end], &rest[end + 1..]),
            None => (rest, &rest[rest.len()..]),
        };
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let keeps_alive = |name: &[u8]| line.starts_with(name);
        event.is_keep_alive &=
            line.is_empty() || [&b":"[..], b"event:", b"retry:"].into_iter().any(keeps_alive);
        if let Some(value) = field_value(line, b"id:") {
            event.id = std::str::from_utf8(value).ok().and_then(|v| v.parse().ok());
        } else if let Some(value) = field_value(line, b"data:") {
            event.is_terminal |= !event.has_data && value == b"[DONE]";
            event.has_data = true;
        }
    }
    event.raw = raw;
    event
}

fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    /// Guards against lost, repeated or altered events when reads end in the middle of an event.
    #[rstest]
    #[case::line_feeds("id: 7\ndata: a\n\n: ping\n\nid: 8\ndata: [DONE]\n\n")]
    #[case::carriage_returns("id: 7\r\ndata: a\r\n\r\n: ping\r\n\r\nid: 8\r\ndata: [DONE]\r\n\r\n")]
    fn events_are_independent_of_read_boundaries(#[case] text: &str) {
        for cut in 0..text.len() {
            let mut splitter = Splitter::default();
            let mut events = Vec::new();
            for part in [&text[..cut], &text[cut..]] {
                splitter.push(Bytes::copy_from_slice(part.as_bytes()));
                while let Some(event) = splitter.next_event() {
                    events.push(event);
                }
            }
            let ids: Vec<_> = events.iter().map(|e| e.id).collect();
            assert_eq!(ids, [Some(7), None, Some(8)], "cut at {cut}");
            assert!(!events[1].has_data && events[2].is_terminal && !events[0].is_terminal);
            let raw: Vec<u8> = events.iter().flat_map(|e| e.raw.to_vec()).collect();
            assert_eq!(raw, text.as_bytes());
            assert_eq!(splitter.pending_bytes(), 0);
        }
    }
}
