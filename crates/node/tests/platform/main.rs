//! Tests of processes of `balsamturn platform` with stand-ins of the platform.
//!
//! The answers of callers are checked against the runs that the endpoints recorded. The processes
//! have loopback addresses other than 127.0.0.1, because all of them use the same ports.

mod bed;
mod callers;
mod checker;
mod crowds;
mod endless_bytes;
mod schedule;
mod soak;

use tokio::sync::Mutex;
use tokio::sync::MutexGuard;

static TEST_LOCK: Mutex<()> = Mutex::const_new(());

/// Waits until no other test runs: each of them needs most of a small machine and the same
/// addresses.
async fn exclusive_run() -> MutexGuard<'static, ()> {
    TEST_LOCK.lock().await
}
