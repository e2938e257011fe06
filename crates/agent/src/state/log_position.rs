//! Where a node stands in the log, as data.

use std::collections::HashMap;
use std::net::SocketAddr;

use balsam_state::LogEntry;

/// Where a node stands in the log.
#[derive(Debug, Default)]
pub struct LogPosition {
    /// Whether the node has a state it may serve from.
    pub recovered: bool,
    /// The next append to fold.
    pub next_append: u64,
    /// When the last read was started that reached the head, by the monotonic clock.
    pub head_read_ms: Option<u64>,
    /// Whether the last read of the log was answered.
    pub platform_reachable: bool,
    /// Accepted changes of the estate so far.
    ///
    /// Claims are not counted: they come by the hundred a second and change no routing table, which
    /// takes 0.1 ms to build at the planned size.
    pub control_changes: u64,
    /// Since when reads of the log have failed, by the monotonic clock.
    pub unreachable_since_ms: Option<u64>,
    /// Batches kept until the node has enough to recover.
    pub recovering: Vec<LogEntry>,
    /// Records folded since the last snapshot.
    pub since_snapshot: u64,
    /// When the node started, by the monotonic clock.
    pub started_ms: Option<u64>,
    /// The peer that was asked for records and has not answered, and when it was asked.
    pub asked: Option<(SocketAddr, u64)>,
    /// Peers that did not answer, and until when they are passed over.
    pub passed_over_ms: HashMap<SocketAddr, u64>,
}
