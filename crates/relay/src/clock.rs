//! The clock of a node.

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since the VM booted, in ms.
///
/// It includes time for which the VM was suspended, so that a lease that expired meanwhile is not
/// used, and it is unaffected by changes of the wall clock.
pub fn now_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec.unsigned_abs() * 1_000 + now.tv_nsec.unsigned_abs() / 1_000_000
}
