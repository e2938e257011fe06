//! The node's clocks.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use balsam_agent::EventTime;

/// The monotonic clock of one node, in ms since its start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self { started: Instant::now() }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub(crate) fn at(&self) -> EventTime {
        EventTime { now_ms: self.now_ms(), wall_ms: wall_ms() }
    }
}

/// The wall clock in ms since the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
