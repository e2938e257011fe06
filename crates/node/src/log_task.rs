//! Tasks that read the log and the VM list continuously.

use std::sync::Arc;
use std::time::Duration;

use balsam_agent::Event;
use balsam_platform::LogClient;
use balsam_platform::VmListClient;
use balsam_state::LogEntry;
use balsam_wire::record::decode_batch;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::agent_task::AgentHandle;
use crate::clock::Clock;
use crate::recent::RecentBatches;

/// Maximum number of batches per read, so that a new node folds while it reads on.
const MAX_READ_ENTRIES: u32 = 1_024;

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reads the log continuously from the position that the agent requests.
pub(crate) async fn follow_log(
    client: LogClient,
    agent: AgentHandle,
    recent: Arc<RecentBatches>,
    mut read_position: watch::Receiver<u64>,
    clock: Clock,
    wait_ms: u64,
) {
    let mut next_append = *read_position.borrow_and_update();
    loop {
        let started_ms = clock.now_ms();
        let read = tokio::select! {
            read = client.read(next_append, MAX_READ_ENTRIES, wait_ms) => read,
            changed = read_position.changed() => {
                if changed.is_err() {
                    return;
                }
                next_append = *read_position.borrow_and_update();
                continue;
            }
        };
        match read {
            Ok(answer) => {
                recent.add(&answer.entries);
                let entries = decode_entries(&answer.entries);
                next_append = entries.last().map_or(next_append, |entry| entry.append + 1);
                let (first_append, head) = (answer.first_append, answer.next_append);
                let event = Event::LogRead { started_ms, entries, first_append, next_append: head };
                agent.send(event).await;
            }
            Err(_) => {
                agent.send(Event::LogReadFailed).await;
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Decodes batches; every node treats a batch that cannot be decoded as empty.
pub(crate) fn decode_entries(entries: &[balsam_platform::LogEntry]) -> Vec<LogEntry> {
    let decoded = entries.iter().map(|entry| LogEntry {
        append: entry.append,
        appended_at_ms: entry.appended_at_ms,
        records: decode_batch(&entry.batch).unwrap_or_default(),
    });
    decoded.collect()
}

/// Reads the VM list at an interval until the task is stopped.
pub(crate) async fn follow_vms(client: VmListClient, agent: AgentHandle, interval_ms: u64) {
    loop {
        // If the list cannot be read, the last one stays in use: it lags behind in any case.
        if let Ok(list) = client.list().await {
            agent.send(Event::VmList(list)).await;
        }
        sleep(Duration::from_millis(interval_ms)).await;
    }
}
