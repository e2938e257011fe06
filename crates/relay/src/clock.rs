//! The clock of a node.

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since the VM started, in ms.
///
/// It counts the time in which the VM was suspended, so that a right that ran out meanwhile is not
/// used, and it does not follow jumps of the time of day.
pub fn now_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec.unsigned_abs() * 1_000 + now.tv_nsec.unsigned_abs() / 1_000_000
}
