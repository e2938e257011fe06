//! Tests of entry node processes behind proxies that inject faults.
//!
//! The callers' answers are checked against the executions that the endpoints recorded. Every test
//! prints the seed of its network. The tests run one at a time, because each of them needs most of
//! a small machine.

mod bed;
mod calls;
mod checker;
mod cold;
mod drains;
mod forwards;
mod links;
mod mixed;
mod nodes;
mod partitions;
mod platform;
mod schedule;
mod soak;

use tokio::sync::Mutex;
use tokio::sync::MutexGuard;

static TEST_LOCK: Mutex<()> = Mutex::const_new(());

async fn exclusive_run() -> MutexGuard<'static, ()> {
    TEST_LOCK.lock().await
}
