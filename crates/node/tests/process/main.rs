//! Entry node processes behind proxies that make faults.
//!
//! What callers saw is compared with what the endpoints recorded. Every test prints the seed of its
//! network. The tests run one after another, because each of them needs most of a small machine.

mod bed;
mod calls;
mod checker;
mod cold;
mod drains;
mod links;
mod mixed;
mod nodes;
mod partitions;
mod platform;
mod schedule;
mod soak;

use tokio::sync::Mutex;
use tokio::sync::MutexGuard;

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

async fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().await
}
