//! What the operators took out, and how old the node's knowledge of it is.
//!
//! Operators write changes into a topic. A node that hears of no change cannot tell a calm topic
//! from a read whose answer never comes, so it notes when it last knew that nothing had followed.
//! See `docs/incidents/evac-9c7c.md`.

use std::collections::BTreeSet;

use balsam_types::DataCentreName;

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

/// What a node knows of the operators' topic.
#[derive(Debug, Clone, Default)]
pub struct OperatorsView {
    position: u64,
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
    pub(crate) fn apply(&mut self, now_ms: u64, news: OperatorsNews) -> Vec<Evacuation> {
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
            OperatorsNews::Confirmed { end } => {
                self.confirm(now_ms, end);
                Vec::new()
            }
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

    fn confirm(&mut self, at_ms: u64, end: u64) {
        if end >= self.position {
            self.position = end;
            self.confirmed_ms = self.confirmed_ms.max(Some(at_ms));
        }
    }
}
