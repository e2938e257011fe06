//! Data centres that the operators evacuated, and how current this node's knowledge of them is.
//!
//! Operators append changes to a topic. A node that receives no change cannot tell an unchanged
//! topic from a read that never gets its answer. It therefore records when it last had confirmation
//! that nothing followed, takes over what other nodes know, and reads again before its knowledge is
//! too old. See `docs/incidents/evac-9c7c.md`.
//!
//! The store may come back from a copy that lacks the last changes until the operators write them
//! again. What the copy lacks is therefore not taken for revoked; see [`RETENTION_MS`].

use std::collections::BTreeSet;

use balsam_types::DataCentreName;

use crate::position::StorePosition;

/// How long an evacuation stays in force that was known before the store came back from a copy and
/// that no record confirms or revokes since: operators write again what the copy lacks, at the
/// latest when they find it missing. Twice the time within which an evacuation must be in force.
pub const RETENTION_MS: u64 = 10_000;

/// Number of nodes per data centre that watch the operators' topic for the others.
pub const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Waiting time of a read at watchers, as a fraction of the maximum age. It leaves time to detect a
/// silent read and to read again on a new connection.
const WATCHER_WAIT_SHARE: f64 = 0.6;

/// Fraction of the maximum age at which a watcher reads again.
const WATCHER_AGE_SHARE: f64 = 0.75;

/// Fraction of the maximum age at which other nodes read again. It is larger, so that what the
/// watchers find reaches these nodes first and a single silent connection does not make all nodes
/// read.
const OTHER_AGE_SHARE: f64 = 0.9;

/// Waiting time of a read at nodes that are not watchers.
const OTHER_WAIT_MS: u64 = 20_000;

/// Result of a read of the operators' topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorsUpdate {
    /// All evacuated data centres as of a position in the topic.
    Whole {
        /// The position after the last record included in the answer.
        end: StorePosition,
        /// The evacuated data centres.
        evacuated: BTreeSet<DataCentreName>,
    },
    /// A record that evacuates a data centre or returns it to service.
    Record {
        /// The position of the record.
        position: StorePosition,
        /// The data centre.
        data_centre: DataCentreName,
        /// Whether it is evacuated.
        is_out: bool,
    },
    /// Confirmation that no record follows this position.
    Confirmed {
        /// The position after the last record of the topic.
        end: StorePosition,
        /// The time as of which no record followed.
        as_of_ms: u64,
    },
}

/// A data centre that was evacuated or returned to service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Whether it is evacuated.
    pub is_out: bool,
}

/// What a node reports to others about the operators' topic.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OperatorsReport {
    /// The position after the last record that the node knows.
    pub position: StorePosition,
    /// The evacuated data centres, without the retained ones.
    pub evacuated: BTreeSet<DataCentreName>,
    /// Data centres whose evacuation stays in force although the store came back without it.
    pub retained: BTreeSet<DataCentreName>,
    /// How long ago the era of the position was first seen.
    pub era_age_ms: u64,
    /// How long ago one of the node's own reads confirmed that no record followed.
    ///
    /// Confirmations received from other nodes do not count: nodes that passed them on to each
    /// other would make them appear younger each time.
    pub read_age_ms: Option<u64>,
}

/// How a node reads the operators' topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Watch {
    /// Whether this node watches the topic for its data centre.
    pub is_watcher: bool,
    /// How long a read waits for a record.
    pub wait_ms: u64,
    /// Maximum age of the node's knowledge before it reads again.
    pub max_age_ms: u64,
}

impl Watch {
    /// Returns the read settings of the node with this rank in its data centre; see
    /// [`WATCHERS_PER_DATA_CENTRE`].
    pub fn for_node_rank(rank: usize, max_age_ms: u64) -> Self {
        let share = |share: f64| (max_age_ms as f64 * share) as u64;
        match rank < WATCHERS_PER_DATA_CENTRE {
            true => Self {
                is_watcher: true,
                wait_ms: share(WATCHER_WAIT_SHARE),
                max_age_ms: share(WATCHER_AGE_SHARE),
            },
            false => Self {
                is_watcher: false,
                wait_ms: OTHER_WAIT_MS,
                max_age_ms: share(OTHER_AGE_SHARE),
            },
        }
    }
}

/// What a node knows of the operators' topic.
#[derive(Debug, Clone, Default)]
pub struct OperatorsView {
    position: StorePosition,
    /// When a node first saw the era of the position.
    era_seen_ms: u64,
    /// When a read of this node last confirmed that no record followed.
    read_ms: Option<u64>,
    /// The position at which a read of this node last confirmed it.
    read_end: StorePosition,
    /// When and at which position a read of this node first confirmed it.
    first_read: Option<(u64, StorePosition)>,
    /// When a read of any node last confirmed it.
    confirmed_ms: Option<u64>,
    /// The evacuated data centres as of the position.
    listed: BTreeSet<DataCentreName>,
    /// Evacuations from before the era that no record of it confirmed or revoked yet.
    retained: BTreeSet<DataCentreName>,
    /// Data centres that a record of the era named.
    settled: BTreeSet<DataCentreName>,
    /// The listed and the retained ones.
    evacuated: BTreeSet<DataCentreName>,
}

impl OperatorsView {
    /// Returns the evacuated data centres.
    pub fn evacuated(&self) -> &BTreeSet<DataCentreName> {
        &self.evacuated
    }

    /// Returns the data centres that stay evacuated although the store came back without it.
    pub(crate) fn retained(&self) -> &BTreeSet<DataCentreName> {
        &self.retained
    }

    /// Returns the position after the last known record.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Returns the time since the last confirmation that no record follows the position; `None`
    /// before the first.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmed_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Returns the position up to which this node's own reads found every record.
    pub(crate) fn read_end(&self) -> StorePosition {
        self.read_end
    }

    /// Returns the time since this node's first read; `None` before it.
    pub(crate) fn first_read_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.first_read.map(|(at_ms, _)| now_ms.saturating_sub(at_ms))
    }

    /// Whether all that this node read is from a copy, and the store came back so recently that the
    /// operators may not have written again what it lacks.
    pub(crate) fn may_lack_records(&self, now_ms: u64) -> bool {
        let has_read_before = self.first_read.is_some_and(|(_, end)| !end.is_restored());
        let is_recent = now_ms < self.era_seen_ms + RETENTION_MS;
        self.position.is_restored() && is_recent && !has_read_before
    }

    /// Applies the result of a read; returns the resulting changes.
    ///
    /// Records before the known position were applied already and must not undo later ones.
    pub(crate) fn apply(&mut self, now_ms: u64, update: OperatorsUpdate) -> Vec<Evacuation> {
        match update {
            OperatorsUpdate::Whole { end, evacuated } => self.replace(now_ms, end, evacuated),
            OperatorsUpdate::Record { position, data_centre, is_out } => {
                self.enter_era(now_ms, position.era);
                if position.era == self.position.era {
                    self.retained.remove(&data_centre);
                    self.settled.insert(data_centre.clone());
                }
                if position >= self.position {
                    self.position = position.after(1);
                    match is_out {
                        true => self.listed.insert(data_centre),
                        false => self.listed.remove(&data_centre),
                    };
                }
            }
            OperatorsUpdate::Confirmed { end, as_of_ms } => {
                self.enter_era(now_ms, end.era);
                self.read_end = self.read_end.max(end);
                self.first_read.get_or_insert((now_ms, end));
                if end >= self.position {
                    self.position = end;
                    self.read_ms = self.read_ms.max(Some(as_of_ms));
                    self.confirmed_ms = self.confirmed_ms.max(Some(as_of_ms));
                }
            }
        }
        self.take_changes()
    }

    /// Applies the report of another node; returns the resulting changes.
    ///
    /// `is_direct` says whether that node itself sent the report. A forwarded report may be older
    /// than its age field says.
    pub(crate) fn apply_report(
        &mut self,
        now_ms: u64,
        report: &OperatorsReport,
        is_direct: bool,
    ) -> Vec<Evacuation> {
        if report.position > self.position {
            self.replace(now_ms, report.position, report.evacuated.clone());
        }
        if report.position.era == self.position.era {
            self.era_seen_ms = self.era_seen_ms.min(now_ms.saturating_sub(report.era_age_ms));
            if now_ms < self.era_seen_ms + RETENTION_MS {
                let unsettled = report.retained.difference(&self.settled);
                self.retained
                    .extend(unsettled.filter(|name| !self.listed.contains(*name)).cloned());
            }
        }
        if report.position == self.position
            && is_direct
            && let Some(age_ms) = report.read_age_ms
        {
            self.confirmed_ms = self.confirmed_ms.max(Some(now_ms.saturating_sub(age_ms)));
        }
        self.take_changes()
    }

    /// Ends evacuations that were retained for [`RETENTION_MS`]; returns the resulting changes.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<Evacuation> {
        if self.retained.is_empty() || now_ms < self.era_seen_ms + RETENTION_MS {
            return Vec::new();
        }
        self.retained.clear();
        self.take_changes()
    }

    /// Returns the report for other nodes.
    pub(crate) fn report(&self, now_ms: u64) -> OperatorsReport {
        OperatorsReport {
            position: self.position,
            evacuated: self.listed.clone(),
            retained: self.retained.clone(),
            era_age_ms: now_ms.saturating_sub(self.era_seen_ms),
            read_age_ms: self.read_ms.map(|at_ms| now_ms.saturating_sub(at_ms)),
        }
    }

    fn replace(&mut self, now_ms: u64, end: StorePosition, listed: BTreeSet<DataCentreName>) {
        self.enter_era(now_ms, end.era);
        if end >= self.position {
            self.position = end;
            self.retained.retain(|name| !listed.contains(name));
            self.listed = listed;
        }
    }

    /// Retains the evacuations in force if an era is later than the known one.
    fn enter_era(&mut self, now_ms: u64, era: u64) {
        if era > self.position.era {
            self.position = StorePosition { era, offset: 0 };
            self.era_seen_ms = now_ms;
            // A read of the era before says nothing about the records of this one.
            self.read_ms = None;
            self.retained = self.evacuated.clone();
            self.listed.clear();
            self.settled.clear();
        }
    }

    fn take_changes(&mut self) -> Vec<Evacuation> {
        let evacuated = self.listed.union(&self.retained).cloned().collect();
        let before = std::mem::replace(&mut self.evacuated, evacuated);
        let change = |data_centre: &DataCentreName| Evacuation {
            data_centre: data_centre.clone(),
            is_out: self.evacuated.contains(data_centre),
        };
        before.symmetric_difference(&self.evacuated).map(change).collect()
    }
}
