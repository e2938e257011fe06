//! Splits a byte stream into server-sent events.

use bytes::Bytes;
use bytes::BytesMut;
use memchr::memchr;

/// One block of a stream of events, with its closing empty line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The bytes as they came.
    pub raw: Bytes,
    /// The value of the `id` field, if it is a number.
    pub id: Option<u64>,
    /// Whether the block has a `data` field; others are keep-alive comments.
    pub has_data: bool,
    /// Whether the block is the terminal event.
    pub done: bool,
}

/// Events up to this size are copied: a slice would keep the whole read buffer of 8 KiB alive until
/// the event is sent, and the connection would allocate another one for its next read.
const COPIED_EVENT_BYTES: usize = 2048;

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct Splitter {
    /// Bytes as they were read; engines mostly write one event at a time.
    pending: Bytes,
    scanned_bytes: usize,
}

impl Splitter {
    /// Adds bytes; only an event that is spread over several reads is copied.
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

    /// Returns the bytes of the event that is not whole yet.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.scanned_bytes = 0;
        let raw = match end == self.pending.len() {
            true => std::mem::take(&mut self.pending),
            false => self.pending.split_to(end),
        };
        Some(parse(match raw.len() <= COPIED_EVENT_BYTES {
            true => Bytes::copy_from_slice(&raw),
            false => raw,
        }))
    }

    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.pending[..];
        let mut at = self.scanned_bytes;
        while let Some(found) = memchr(b'\n', &bytes[at..]) {
            let after = at + found + 1;
            match bytes.get(after) {
                Some(b'\n') => return Some(after + 1),
                Some(b'\r') if bytes.get(after + 1) == Some(&b'\n') => return Some(after + 2),
                _ => at = after,
            }
        }
        // The last bytes may be the start of an empty line.
        self.scanned_bytes = at.saturating_sub(1);
        None
    }
}

fn parse(raw: Bytes) -> Event {
    let mut event = Event { raw: Bytes::new(), id: None, has_data: false, done: false };
    let mut rest = &raw[..];
    while !rest.is_empty() {
        let line;
        (line, rest) = match memchr(b'\n', rest) {
            Some(end) => (&rest[..end], &rest[end + 1..]),
            None => (rest, &rest[rest.len()..]),
        };
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field(line, b"id:") {
            event.id = std::str::from_utf8(value).ok().and_then(|v| v.parse().ok());
        } else if let Some(value) = field(line, b"data:") {
            event.done |= !event.has_data && value == b"[DONE]";
            event.has_data = true;
        }
    }
    event.raw = raw;
    event
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    /// An event split anywhere between reads must come out once and unchanged.
    #[rstest]
    #[case::line_feeds("id: 7\ndata: a\n\n: ping\n\nid: 8\ndata: [DONE]\n\n")]
    #[case::carriage_returns("id: 7\r\ndata: a\r\n\r\n: ping\r\n\r\nid: 8\r\ndata: [DONE]\r\n\r\n")]
    fn events_do_not_depend_on_where_reads_end(#[case] text: &str) {
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
            assert!(!events[1].has_data && events[2].done && !events[0].done);
            let raw: Vec<u8> = events.iter().flat_map(|e| e.raw.to_vec()).collect();
            assert_eq!(raw, text.as_bytes());
            assert_eq!(splitter.pending_bytes(), 0);
        }
    }
}
