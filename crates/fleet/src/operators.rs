//! Data centres that the operators evacuated, and how current this node's knowledge of them is.
//!
//! Operators append changes to a topic. A node that receives no change cannot tell an unchanged
//! topic from a read that never gets its answer. It therefore records when it last had confirmation
//! that nothing followed, takes over what other nodes know, and reads again before its knowledge is
//! too old. See `docs/incidents/evac-9c7c.md`.

use std::collections::BTreeSet;

use balsam_types::DataCentreName;

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
    /// All evacuated data centres as of an offset of the topic.
    Whole {
        /// The offset after the last record included in the answer.
        end: u64,
        /// The evacuated data centres.
        evacuated: BTreeSet<DataCentreName>,
    },
    /// A record that evacuates a data centre or returns it to service.
    Record {
        /// The offset of the record.
        offset: u64,
        /// The data centre.
        data_centre: DataCentreName,
        /// Whether it is evacuated.
        is_out: bool,
    },
    /// Confirmation that no record follows this offset.
    Confirmed {
        /// The offset after the last record of the topic.
        end: u64,
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
    /// The offset after the last record that the node knows.
    pub position: u64,
    /// The evacuated data centres.
    pub evacuated: BTreeSet<DataCentreName>,
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
    position: u64,
    /// When a read of this node last confirmed that no record followed.
    read_ms: Option<u64>,
    /// When a read of any node last confirmed it.
    confirmed_ms: Option<u64>,
    evacuated: BTreeSet<DataCentreName>,
}

impl OperatorsView {
    /// Returns the evacuated data centres.
    pub fn evacuated(&self) -> &BTreeSet<DataCentreName> {
        &self.evacuated
    }

    /// Returns the offset after the last known record.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns the time since the last confirmation that no record follows the offset; `None`
    /// before the first.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmed_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Applies the result of a read; returns the resulting changes.
    ///
    /// Records before the known offset were applied already and must not undo later ones.
    pub(crate) fn apply(&mut self, update: OperatorsUpdate) -> Vec<Evacuation> {
        match update {
            OperatorsUpdate::Whole { end, evacuated } => self.replace(end, evacuated),
            OperatorsUpdate::Record { offset, data_centre, is_out } => {
                if offset < self.position {
                    return Vec::new();
                }
                self.position = offset + 1;
                let is_change = match is_out {
                    true => self.evacuated.insert(data_centre.clone()),
                    false => self.evacuated.remove(&data_centre),
                };
                is_change.then_some(Evacuation { data_centre, is_out }).into_iter().collect()
            }
            OperatorsUpdate::Confirmed { end, as_of_ms } => {
                if end >= self.position {
                    self.position = end;
                    self.read_ms = self.read_ms.max(Some(as_of_ms));
                    self.confirmed_ms = self.confirmed_ms.max(Some(as_of_ms));
                }
                Vec::new()
            }
        }
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
        let is_newer = report.position > self.position;
        let changes = match is_newer {
            true => self.replace(report.position, report.evacuated.clone()),
            false => Vec::new(),
        };
        if report.position == self.position
            && is_direct
            && let Some(age_ms) = report.read_age_ms
        {
            self.confirmed_ms = self.confirmed_ms.max(Some(now_ms.saturating_sub(age_ms)));
        }
        changes
    }

    /// Returns the report for other nodes.
    pub(crate) fn report(&self, now_ms: u64) -> OperatorsReport {
        OperatorsReport {
            position: self.position,
            evacuated: self.evacuated.clone(),
            read_age_ms: self.read_ms.map(|at_ms| now_ms.saturating_sub(at_ms)),
        }
    }

    fn replace(&mut self, end: u64, evacuated: BTreeSet<DataCentreName>) -> Vec<Evacuation> {
        if end < self.position {
            return Vec::new();
        }
        self.position = end;
        let before = std::mem::replace(&mut self.evacuated, evacuated);
        let change = |data_centre: &DataCentreName| Evacuation {
            data_centre: data_centre.clone(),
            is_out: self.evacuated.contains(data_centre),
        };
        before.symmetric_difference(&self.evacuated).map(change).collect()
    }
}
