//! Settings of dissemination between entry nodes.

/// Intervals and limits; the defaults suit the cluster size in docs/design.md, section 3.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// Time between two digest exchanges that this node starts within its data centre.
    pub exchange_interval_ms: u64,
    /// Rows older than this are left out of digests within the data centre.
    pub digest_max_age_ms: u64,
    /// Rows older than this are left out of replies within the data centre.
    pub reply_max_age_ms: u64,
    /// Time between two exchanges that a relay starts with the same other data centre.
    pub relay_interval_ms: u64,
    /// A member without a newer heartbeat for this long is suspect.
    pub suspect_after_ms: u64,
    /// A member without a newer heartbeat for this long is gone.
    pub gone_after_ms: u64,
    /// How long a silent member is remembered, so that old copies of its part cannot bring it back.
    pub forget_after_ms: u64,
    /// A longer gap between two calls counts as a pause of this node.
    pub pause_threshold_ms: u64,
    /// Observations older than this are no longer published.
    pub observation_max_age_ms: u64,
    /// Minimum time between two versions that differ only in load.
    pub load_interval_ms: u64,
    /// Number of random peers that a stop notice or a changed part is pushed to.
    pub stop_fanout: usize,
    /// How long a stop notice is kept; one that is not cleared is in force until then.
    pub stop_expiry_ms: u64,
    /// Maximum number of members held, including gone ones.
    pub max_members: usize,
    /// Maximum number of stop notices held.
    pub max_stops: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            exchange_interval_ms: 310,
            digest_max_age_ms: 1_200,
            reply_max_age_ms: 2_100,
            relay_interval_ms: 2_400,
            suspect_after_ms: 8_000,
            gone_after_ms: 30_000,
            forget_after_ms: 600_000,
            pause_threshold_ms: 2_000,
            observation_max_age_ms: 1_000,
            load_interval_ms: 10_000,
            stop_fanout: 4,
            stop_expiry_ms: 3_600_000,
            max_members: 2_048,
            max_stops: 1_024,
        }
    }
}
