//! Limits on what the replicated state retains.

/// Limits on what the replicated state retains.
///
/// Verdicts depend on them, so every node of a deployment must run with the same values.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// How long an idempotency key is retained after its claim.
    pub key_window_ms: u64,
    /// Maximum number of claims; further claims are rejected until older ones leave the window.
    pub max_claims: usize,
    /// Maximum total size of stored responses; further response bodies are dropped.
    pub max_stored_bytes: usize,
    /// How long ids of configuration, group and plan records are retained.
    ///
    /// An author must stop retrying an append before its id leaves the window.
    pub control_id_window_ms: u64,
    /// How long ids of claim, release and complete records are retained.
    pub claim_id_window_ms: u64,
    /// Maximum number of record ids in each of the two windows; the oldest are evicted first.
    pub max_record_ids: usize,
    /// How long tombstones, and plans without steps in progress, are retained.
    pub removed_window_ms: u64,
    /// Maximum number of tombstones; the oldest are evicted first.
    pub max_tombstones: usize,
    /// Maximum number of plans; the oldest without steps in progress are evicted first.
    pub max_plans: usize,
    /// Maximum total size of the plans, as encoded.
    pub max_plan_bytes: usize,
    /// Maximum number of entries in the audit trail.
    pub history_entries: usize,
    /// Maximum size of the audit trail; the entry of a large step lists all objects it changes.
    pub max_history_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        const MINUTE_MS: u64 = 60_000;
        const DAY_MS: u64 = 24 * 60 * MINUTE_MS;
        Self {
            key_window_ms: DAY_MS,
            // 400,000 claims fit in 64 MB, but not while a snapshot of them is encoded, which takes
            // about half as much memory again.
            max_claims: 200_000,
            max_stored_bytes: 4 * 1024 * 1024,
            // There are about 1,700 configuration changes a day, so a day of ids takes little
            // memory, and an operator's retry after an outage of hours is still recognised.
            control_id_window_ms: DAY_MS,
            // Retries of a claim end with its request, which takes minutes at most.
            claim_id_window_ms: 10 * MINUTE_MS,
            max_record_ids: 100_000,
            removed_window_ms: 14 * DAY_MS,
            // With the claims, these stay below `snapshot::MAX_SNAPSHOT_BYTES`, so that every
            // snapshot that is written can be read.
            max_tombstones: 10_000,
            max_plans: 1_000,
            max_plan_bytes: 4 * 1024 * 1024,
            history_entries: 4_096,
            max_history_bytes: 3 * 1024 * 1024,
        }
    }
}
