//! Numeric keys with their units, defaults and accepted ranges.

use std::ops::RangeInclusive;

/// A numeric key of the settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NumberKey {
    /// The dotted key.
    pub key: &'static str,
    /// The unit, as shown in the documentation and in errors.
    pub unit: &'static str,
    /// The value used when the key is absent.
    pub default: u64,
    /// The accepted range.
    pub accepted_range: RangeInclusive<u64>,
    /// One-line description.
    pub purpose: &'static str,
}

const fn number(
    key: &'static str,
    unit: &'static str,
    default: u64,
    accepted_range: RangeInclusive<u64>,
    purpose: &'static str,
) -> NumberKey {
    NumberKey { key, unit, default, accepted_range, purpose }
}

/// All numeric keys, in the order of `docs/settings.md`.
pub const NUMERIC_KEYS: &[NumberKey] = &[
    number(
        "platform.append_timeout_ms",
        "ms",
        1_000,
        50..=30_000,
        "How long one append may take before its result counts as unknown and is read back.",
    ),
    number(
        "platform.read_wait_ms",
        "ms",
        1_000,
        50..=30_000,
        "How long a read of the log waits for the next record.",
    ),
    number(
        "platform.vm_list_interval_ms",
        "ms",
        1_000,
        100..=60_000,
        "How often the VM list is read.",
    ),
    number(
        "platform.snapshot_every_records",
        "records",
        20_000,
        100..=10_000_000,
        "Records after which a snapshot of the state is appended.",
    ),
    number(
        "claims.claim_dispatch_ms",
        "ms",
        10_000,
        100..=300_000,
        "How long after its append a claim may still be dispatched by its holder.",
    ),
    number(
        "claims.claim_wait_ms",
        "ms",
        3_000,
        50..=60_000,
        "How long a request waits for its claim to be confirmed before it is refused.",
    ),
    number(
        "cold_start.owner_fresh_ms",
        "ms",
        3_000,
        200..=60_000,
        "How old the last read of the log may be for a permit owner to grant.",
    ),
    number(
        "cold_start.max_deadline_ms",
        "ms",
        120_000,
        1_000..=3_600_000,
        "Longest request deadline; a new permit owner waits for those it cannot rule out.",
    ),
    number(
        "groups.probe_interval_ms",
        "ms",
        500,
        50..=10_000,
        "How often an endpoint VM is probed by each of its probers.",
    ),
    number(
        "groups.probe_timeout_ms",
        "ms",
        400,
        20..=10_000,
        "How long a probe may take; must be below groups.probe_interval_ms.",
    ),
    number(
        "groups.probers",
        "entry nodes",
        2,
        1..=16,
        "Entry nodes of the data centre that probe one endpoint VM.",
    ),
    number(
        "groups.evidence_fresh_ms",
        "ms",
        2_000,
        100..=30_000,
        "How old the evidence may be that every member of a group is present.",
    ),
    number(
        "groups.settle_ms",
        "ms",
        5_000,
        100..=600_000,
        "How long a member must be missing before its group is rebuilt.",
    ),
    number(
        "groups.order_quarantine_ms",
        "ms",
        5_000,
        0..=600_000,
        "How long new orders wait in pools whose endpoints ignore fencing numbers.",
    ),
    number(
        "groups.store_bytes_per_s",
        "bytes/s",
        2_000_000_000,
        1_000_000..=1_000_000_000_000,
        "Rate of the weight store; loads of several groups are paced below it.",
    ),
    number(
        "limits.max_connections",
        "connections",
        4_096,
        1..=1_000_000,
        "Most open connections from callers; up to an eighth more are refused with an answer.",
    ),
    number("limits.max_header_bytes", "bytes", 32_768, 8_192..=1_048_576, "Largest request head."),
    number(
        "limits.max_body_bytes",
        "bytes",
        1_048_576,
        1_024..=268_435_456,
        "Largest request body.",
    ),
    number(
        "limits.header_timeout_ms",
        "ms",
        5_000,
        100..=120_000,
        "How long a caller may take to send the request head.",
    ),
    number(
        "limits.body_timeout_ms",
        "ms",
        15_000,
        100..=600_000,
        "How long a caller may take to send the request body.",
    ),
    number(
        "limits.max_queued",
        "requests",
        2_000,
        0..=1_000_000,
        "Most requests waiting for capacity at this node.",
    ),
    number(
        "limits.silence_ms",
        "ms",
        2_000,
        50..=600_000,
        "Silence of an endpoint after which a resume or another attempt begins beside the silent one.",
    ),
    number(
        "limits.connect_timeout_ms",
        "ms",
        500,
        10..=60_000,
        "How long opening a connection to an endpoint may take.",
    ),
    number(
        "shutdown.limit_s",
        "s",
        120,
        1..=86_400,
        "How long open requests may take to end after SIGTERM.",
    ),
];

/// Returns the entry of a numeric key.
///
/// # Panics
///
/// Panics if the key has no entry. Parsing a minimal file in the tests looks up every key in use.
pub fn numeric_key(key: &str) -> &'static NumberKey {
    NUMERIC_KEYS.iter().find(|entry| entry.key == key).expect("every numeric key has an entry")
}

/// Returns the table row for a numeric key as it stands in `docs/settings.md`.
pub fn documentation_row(entry: &NumberKey) -> String {
    format!(
        "| `{}` | {} | {} | {} to {} | {} |",
        entry.key,
        entry.unit,
        entry.default,
        entry.accepted_range.start(),
        entry.accepted_range.end(),
        entry.purpose
    )
}
