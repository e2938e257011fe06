//! The part that a node publishes, and the local state kept for each remote node.

use std::net::SocketAddr;
use std::sync::Arc;

use balsam_types::DataCentreName;
use balsam_types::Incarnation;
use balsam_types::Offset;
use balsam_types::RegionName;
use balsam_types::VmName;

use crate::digest::HEARTBEAT_RANGE;
use crate::view::CapacitySummary;
use crate::view::Presence;
use crate::view::Temperature;

/// Unit of heartbeats.
pub(crate) const HEARTBEAT_MS: u64 = 20;

/// Clock drift that the estimate of another node's heartbeat zero allows for, in parts per 1,000.
const CLOCK_DRIFT_PER_MILLE: u64 = 1;

/// Number of heartbeats that another node may be ahead of the estimate, for example because this
/// node's clock stood still; 5 minutes.
const MAX_AHEAD_HEARTBEATS: u64 = HEARTBEAT_RANGE / 4;

/// Rows of a message older than this are ignored; it must stay below three quarters of
/// [`HEARTBEAT_RANGE`], which is 16 minutes.
const MAX_MESSAGE_AGE_MS: u64 = 60_000;

/// Versions confirmed longer ago than this are fetched again. At the maximum rate of 12 times 16
/// versions a second, twice the versions of this time stay below 2^15.
pub(crate) const MAX_VERSION_AGE_MS: u64 = 85_000;

/// Added to each age so that evidence is not reported younger than it is. Covers the time that the
/// fastest messages take within a data centre and the clock drift between two of them.
const AGE_MARGIN_MS: u64 = 30;

/// Number of low bits of a version that count changes of load alone.
const LOAD_BITS: u32 = 4;

/// Returns whether two versions are equal or differ only in load, so that a heartbeat of one
/// confirms the presence of the endpoint VMs in the other.
pub(crate) fn is_equal_except_load(left: u64, right: u64) -> bool {
    left >> LOAD_BITS == right >> LOAD_BITS
}

/// Restores a version from its low 16 bits, as the value nearest to `known`.
///
/// A node makes at most 12 new versions a second, one per tick and one per probe, and each advances
/// the number by at most 16. The nearest value is thus the right one if `known` was confirmed
/// within [`MAX_VERSION_AGE_MS`].
pub(crate) fn complete_version(known: u64, low_bits: u64) -> u64 {
    let step = (low_bits as u16).wrapping_sub(known as u16) as i16;
    known.saturating_add_signed(i64::from(step))
}

/// Returns the version after a change.
pub(crate) fn next_version(version: u64, only_load: bool) -> u64 {
    if only_load { version + 1 } else { ((version >> LOAD_BITS) + 1) << LOAD_BITS }
}

/// A probe result as it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PublishedObservation {
    pub(crate) vm: VmName,
    pub(crate) presence: Presence,
    pub(crate) instance: Arc<str>,
    pub(crate) temperature: Temperature,
    pub(crate) in_flight: u32,
    pub(crate) fence: u64,
    pub(crate) ready: bool,
}

/// The state that one node publishes.
///
/// The heartbeat is the time since the node's start by its own clock, in units of [`HEARTBEAT_MS`],
/// up to its oldest published probe or else up to now. It thus shows both that the node is alive
/// and how old its evidence is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Part {
    pub(crate) node: Incarnation,
    pub(crate) data_centre: DataCentreName,
    pub(crate) region: RegionName,
    pub(crate) peer_address: SocketAddr,
    pub(crate) leaving: bool,
    pub(crate) heartbeat: u64,
    pub(crate) version: u64,
    pub(crate) age_ms: u64,
    pub(crate) platform_reachable: bool,
    pub(crate) folded_offset: Offset,
    pub(crate) observations: Arc<[PublishedObservation]>,
    pub(crate) summary: Option<CapacitySummary>,
}

/// A remote node's part with local bookkeeping.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) id: u32,
    pub(crate) part: Part,
    /// Highest heartbeat seen for any version.
    pub(crate) heartbeat: u64,
    /// Highest heartbeat that confirms the held version.
    pub(crate) version_heartbeat: u64,
    /// When the heartbeat last increased, by the local clock.
    pub(crate) heartbeat_seen_ms: u64,
    /// When the held version was last confirmed, by the local clock.
    pub(crate) confirmed_ms: u64,
    /// Estimate of the local time of heartbeat zero; may be negative.
    epoch_ms: i64,
    epoch_updated_ms: u64,
}

impl Entry {
    pub(crate) fn new(now_ms: u64, id: u32, part: Part) -> Self {
        let epoch_ms = estimate_epoch(now_ms, part.heartbeat, part.age_ms);
        Self {
            id,
            heartbeat: part.heartbeat,
            version_heartbeat: part.heartbeat,
            heartbeat_seen_ms: now_ms.saturating_sub(part.age_ms),
            confirmed_ms: now_ms,
            epoch_ms,
            epoch_updated_ms: now_ms,
            part,
        }
    }

    /// Updates the highest heartbeat and the estimate of the time of heartbeat zero. The earliest
    /// estimate is kept, so a late message cannot make the node look fresh.
    pub(crate) fn observe_heartbeat(&mut self, now_ms: u64, heartbeat: u64, age_ms: u64) {
        let drift_ms = now_ms.saturating_sub(self.epoch_updated_ms) * CLOCK_DRIFT_PER_MILLE / 1_000;
        self.epoch_ms = self
            .epoch_ms
            .saturating_add_unsigned(drift_ms)
            .min(estimate_epoch(now_ms, heartbeat, age_ms));
        self.epoch_updated_ms = now_ms;
        if heartbeat > self.heartbeat {
            self.heartbeat = heartbeat;
            self.heartbeat_seen_ms = now_ms;
        }
    }

    /// Restores a version from its low bits. If the held version is too old to compare, the result
    /// is a newer version, so that the part is fetched.
    pub(crate) fn complete_version(&self, now_ms: u64, low_bits: u64) -> u64 {
        if now_ms.saturating_sub(self.confirmed_ms) > MAX_VERSION_AGE_MS {
            return next_version(self.part.version, false);
        }
        complete_version(self.part.version, low_bits)
    }

    /// Restores a heartbeat from its low bits.
    ///
    /// The result is at most [`MAX_AHEAD_HEARTBEATS`] above the heartbeat expected by the clock.
    /// The caller must not pass bits from a message older than [`MAX_MESSAGE_AGE_MS`], which could
    /// be restored to a future heartbeat.
    pub(crate) fn complete_heartbeat(&self, now_ms: u64, low_bits: u64) -> u64 {
        let since_epoch_ms = (now_ms as i64).saturating_sub(self.epoch_ms);
        let max_heartbeat =
            u64::try_from(since_epoch_ms).unwrap_or(0) / HEARTBEAT_MS + MAX_AHEAD_HEARTBEATS;
        let candidate =
            max_heartbeat - max_heartbeat % HEARTBEAT_RANGE + low_bits % HEARTBEAT_RANGE;
        if candidate > max_heartbeat {
            candidate.checked_sub(HEARTBEAT_RANGE).unwrap_or(low_bits)
        } else {
            candidate
        }
    }

    /// Returns whether a message with this heartbeat of its sender is older than
    /// [`MAX_MESSAGE_AGE_MS`].
    pub(crate) fn is_late(&self, now_ms: u64, heartbeat: u64) -> bool {
        self.heartbeat_age_ms(now_ms, heartbeat) > MAX_MESSAGE_AGE_MS
    }

    /// Updates the highest heartbeat that confirms the held version.
    pub(crate) fn confirm(&mut self, now_ms: u64, heartbeat: u64) {
        if heartbeat > self.version_heartbeat {
            self.version_heartbeat = heartbeat;
            self.confirmed_ms = now_ms;
        }
    }

    /// Merges a part of the same process; returns whether it was newer.
    pub(crate) fn replace(&mut self, now_ms: u64, part: Part) -> bool {
        self.observe_heartbeat(now_ms, part.heartbeat, part.age_ms);
        if part.version < self.part.version {
            return false;
        }
        if part.version == self.part.version {
            self.confirm(now_ms, part.heartbeat);
            self.part.folded_offset = self.part.folded_offset.max(part.folded_offset);
            return false;
        }
        self.version_heartbeat = self.version_heartbeat.max(part.heartbeat);
        self.confirmed_ms = now_ms;
        let folded = self.part.folded_offset.max(part.folded_offset);
        self.part = Part { folded_offset: folded, ..part };
        true
    }

    pub(crate) fn age_ms(&self, now_ms: u64) -> u64 {
        self.heartbeat_age_ms(now_ms, self.heartbeat)
    }

    pub(crate) fn evidence_age_ms(&self, now_ms: u64) -> u64 {
        self.heartbeat_age_ms(now_ms, self.version_heartbeat)
    }

    fn heartbeat_age_ms(&self, now_ms: u64, heartbeat: u64) -> u64 {
        let heartbeat_at_ms =
            self.epoch_ms.saturating_add_unsigned(heartbeat.saturating_mul(HEARTBEAT_MS));
        u64::try_from((now_ms as i64).saturating_sub(heartbeat_at_ms)).unwrap_or(0) + AGE_MARGIN_MS
    }
}

fn estimate_epoch(now_ms: u64, heartbeat: u64, age_ms: u64) -> i64 {
    let since_epoch_ms = heartbeat.saturating_mul(HEARTBEAT_MS).saturating_add(age_ms);
    (now_ms as i64).saturating_sub_unsigned(since_epoch_ms)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(heartbeat: u64, version: u64) -> Entry {
        let node = Incarnation { vm: "vm-1".try_into().unwrap(), start_ms: 1, nonce: 1 };
        let part = Part {
            node,
            data_centre: "a".try_into().unwrap(),
            region: "r".try_into().unwrap(),
            peer_address: ([10, 0, 0, 1], 1).into(),
            leaving: false,
            heartbeat,
            version,
            age_ms: 0,
            platform_reachable: true,
            folded_offset: Offset::default(),
            observations: Vec::new().into(),
            summary: None,
        };
        Entry::new(1_000_000, 1, part)
    }

    /// Guards against heartbeats and versions that are restored to an older or a future value when
    /// their low bits wrap.
    #[test]
    fn low_bits_are_restored_to_the_sent_value_across_a_wrap() {
        for heartbeat in [0, 65_530, 65_536, 129_600_000] {
            let entry = entry(heartbeat, 65_530);
            for step in [0, 1, 40, 200] {
                let sent = heartbeat + step;
                let now_ms = 1_000_000 + step * HEARTBEAT_MS;
                assert_eq!(entry.complete_heartbeat(now_ms, sent % HEARTBEAT_RANGE), sent);
                assert_eq!(entry.complete_version(now_ms, (65_530 + step) % 65_536), 65_530 + step);
            }
            assert_eq!(entry.complete_heartbeat(1_600_000, heartbeat % HEARTBEAT_RANGE), heartbeat);
        }
    }

    /// Guards against a heartbeat that confirms old evidence because the low bits of the version
    /// have wrapped around to the same value.
    #[test]
    fn version_not_confirmed_for_too_long_is_fetched_again() {
        let entry = entry(5, 32);
        let version = entry.complete_version(1_000_000 + MAX_VERSION_AGE_MS + 1, 32);
        assert!(version > 32 && !is_equal_except_load(version, 32));
    }
}
