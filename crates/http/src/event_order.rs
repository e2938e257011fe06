//! The order of the events of a stream that several runs of an endpoint may deliver.

use std::fmt;

/// How far a stream has come, by the ids of the events that the caller has.
///
/// Ids rise, but not always by one: an event may hold several tokens. Within a run nothing is missing
/// between two events, as the connection delivers them in order. A run that takes over from another
/// one must go on where that one ended, by a step that its ids made before. See
/// `docs/incidents/rising-event-ids.md`.
#[derive(Debug, Clone, Copy)]
pub struct EventOrder {
    last_id: Option<u64>,
    /// The largest difference between the ids of two events so far.
    widest_step: u64,
}

/// How far one run has come.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunOrder {
    /// Whether the caller has events of an earlier run.
    is_resumed: bool,
    /// Whether the caller got an event of this run after one that it had.
    has_continued: bool,
    /// The id of the last event of the run, whether the caller got it from this run or not.
    previous_id: Option<u64>,
}

/// What to do with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The caller gets it.
    Next,
    /// The caller has it already.
    Known,
}

/// An event that does not begin where the caller's last one ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutOfOrder {
    id: u64,
    previous_id: Option<u64>,
    last_id: u64,
}

impl fmt::Display for OutOfOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { id, previous_id, last_id } = self;
        write!(f, "received event {id} after ")?;
        match previous_id {
            Some(previous_id) => write!(f, "event {previous_id} of the same run")?,
            None => write!(f, "no event of the same run")?,
        }
        write!(f, ", but the caller has event {last_id}")
    }
}

impl RunOrder {
    /// Creates the position of a run that continues a stream if the caller has events of another run.
    pub fn new(is_resumed: bool) -> Self {
        Self { is_resumed, ..Self::default() }
    }
}

impl EventOrder {
    /// Creates the position after the event that the caller names.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, widest_step: 1 }
    }

    /// Returns the id of the last event that the caller has.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Records the next event of a run.
    pub fn advance(&mut self, id: u64, run: &mut RunOrder) -> Result<Step, OutOfOrder> {
        let previous_id = run.previous_id.replace(id);
        if let Some(last_id) = self.last_id {
            if id <= last_id {
                return Ok(Step::Known);
            }
            // The event begins within one that the caller has.
            let repeats_part = previous_id.is_some_and(|previous_id| previous_id < last_id);
            // If ids have risen by one so far, a wider step shows that an event is missing.
            let is_first = !std::mem::replace(&mut run.has_continued, true);
            let bounds_step = run.is_resumed && (is_first || self.widest_step == 1);
            if repeats_part || bounds_step && id - last_id > self.widest_step {
                return Err(OutOfOrder { id, previous_id, last_id });
            }
        }
        let step = id - self.last_id.unwrap_or(0);
        self.widest_step = self.widest_step.max(step);
        self.last_id = Some(id);
        Ok(Step::Next)
    }
}
