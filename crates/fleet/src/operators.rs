//! What the operators took out, and how old the node's knowledge of it is.
//!
//! Operators write changes into a topic. A node that hears of no change cannot tell a calm topic
//! from a read whose answer never comes, so it notes when it last knew that nothing had followed,
//! takes over what other nodes know, and asks again before its knowledge is too old. See
//! `docs/incidents/evac-9c7c.md`.

use std::collections::BTreeSet;

use balsam_types::DataCentreName;

/// Nodes of a data centre that watch the operators' topic for the others.
pub const WATCHERS: usize = 2;

/// Waiting time of a read at the watchers, as a part of the greatest age. With the next read on a
/// new connection it leaves a silent one time to be found out.
const WATCHER_WAIT_SHARE: f64 = 0.6;

/// Part of the greatest age at which a watcher asks anew.
const WATCHER_AGE_SHARE: f64 = 0.75;

/// The same at other nodes: later, so that what the watchers find reaches them first and one
/// silence does not make all nodes read.
const OTHER_AGE_SHARE: f64 = 0.9;

/// Waiting time of a read at other nodes.
const OTHER_WAIT_MS: u64 = 20_000;

/// What a read of the operators' topic found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorsNews {
    /// The data centres that are out, as of a position of the topic.
    Whole {
        /// The position after the last record that the answer counts.
        end: u64,
        /// The data centres.
        evacuated: BTreeSet<DataCentreName>,
    },
    /// A record takes a data centre out, or back.
    Record {
        /// The position of the record.
        at: u64,
        /// The data centre.
        data_centre: DataCentreName,
        /// Whether it is out.
        is_out: bool,
    },
    /// Nothing follows this position.
    Confirmed {
        /// The position after the last record of the topic.
        end: u64,
        /// The time as of which nothing followed.
        as_of_ms: u64,
    },
}

/// A data centre that was taken out, or back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Whether it is out.
    pub is_out: bool,
}

/// What a node tells others of the operators' topic.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OperatorsReport {
    /// The position after the last record that the node knows.
    pub position: u64,
    /// The data centres that are out.
    pub evacuated: BTreeSet<DataCentreName>,
    /// How long ago a read of the node's own showed that nothing followed.
    ///
    /// What it heard from others does not count: nodes that passed that on to each other would take
    /// it for younger each time.
    pub read_age_ms: Option<u64>,
}

/// Who reads the operators' topic how.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Watch {
    /// Whether this node watches for its data centre.
    pub is_watcher: bool,
    /// How long a read waits for a record.
    pub wait_ms: u64,
    /// How old the node's knowledge may become before it asks anew.
    pub max_age_ms: u64,
}

impl Watch {
    /// Returns the way of a node with this place in its data centre; see [`WATCHERS`].
    pub fn of_place(place: usize, max_age_ms: u64) -> Self {
        let share = |share: f64| (max_age_ms as f64 * share) as u64;
        match place < WATCHERS {
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
    /// When a read of this node last showed that nothing followed.
    read_ms: Option<u64>,
    /// The same for a read of any node.
    confirmed_ms: Option<u64>,
    evacuated: BTreeSet<DataCentreName>,
}

impl OperatorsView {
    /// Returns the data centres that are out.
    pub fn evacuated(&self) -> &BTreeSet<DataCentreName> {
        &self.evacuated
    }

    /// Returns the position after the last record that is known here.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns how long ago nothing was known to follow the position; `None` before the first read.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmed_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Applies what a read found; returns what it changed.
    ///
    /// An answer from before the position is known already, and must not undo what came later.
    pub(crate) fn apply(&mut self, news: OperatorsNews) -> Vec<Evacuation> {
        match news {
            OperatorsNews::Whole { end, evacuated } => self.replace(end, evacuated),
            OperatorsNews::Record { at, data_centre, is_out } => {
                if at < self.position {
                    return Vec::new();
                }
                self.position = at + 1;
                let is_change = match is_out {
                    true => self.evacuated.insert(data_centre.clone()),
                    false => self.evacuated.remove(&data_centre),
                };
                is_change.then_some(Evacuation { data_centre, is_out }).into_iter().collect()
            }
            OperatorsNews::Confirmed { end, as_of_ms } => {
                if end >= self.position {
                    self.position = end;
                    self.read_ms = self.read_ms.max(Some(as_of_ms));
                    self.confirmed_ms = self.confirmed_ms.max(Some(as_of_ms));
                }
                Vec::new()
            }
        }
    }

    /// Takes over what another node knows; returns what it changed.
    ///
    /// `is_direct` says that the report came from that node itself. One that was passed on may be
    /// older than it says.
    pub(crate) fn hear(
        &mut self,
        now_ms: u64,
        report: &OperatorsReport,
        is_direct: bool,
    ) -> Vec<Evacuation> {
        let is_news = report.position > self.position;
        let changes = match is_news {
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

    /// Returns what other nodes are told.
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
