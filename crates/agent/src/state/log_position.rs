//! A node's progress in the log.

use std::collections::HashMap;
use std::net::SocketAddr;

use balsam_state::LogEntry;

/// A node's progress in the log.
#[derive(Debug, Default)]
pub struct LogPosition {
    /// Whether the node has recovered its state from the log or a peer.
    pub is_recovered: bool,
    /// The next append to fold.
    pub next_append: u64,
    /// Start of the last read that reached the head of the log, by the monotonic clock.
    pub head_read_ms: Option<u64>,
    /// Whether the last read of the log succeeded.
    pub platform_reachable: bool,
    /// Number of accepted changes of the estate.
    ///
    /// Claims are not counted: there are hundreds a second, they do not affect the routing table,
    /// and rebuilding it takes 0.1 ms at the planned size.
    pub control_changes: u64,
    /// Since when reads of the log have failed, by the monotonic clock.
    pub unreachable_since_ms: Option<u64>,
    /// Batches collected until the node can recover from them.
    pub recovery_batches: Vec<LogEntry>,
    /// Records folded since the last snapshot.
    pub records_since_snapshot: u64,
    /// When the node started, by the monotonic clock.
    pub started_ms: Option<u64>,
    /// The peer that has not yet answered a request for records, and the time of that request.
    pub pending_fetch: Option<(SocketAddr, u64)>,
    /// Peers that did not answer, and until when they are skipped.
    pub skipped_until_ms: HashMap<SocketAddr, u64>,
}
