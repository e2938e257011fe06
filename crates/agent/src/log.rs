//! Follows the log: recovery at startup, folding, and records from peers during an outage.

use std::collections::HashSet;

use balsam_peer::Member;
use balsam_peer::MemberState;
use balsam_state::LogEntry;
use balsam_state::Replicated;
use balsam_state::Verdict;
use balsam_types::Author;
use balsam_types::Offset;
use balsam_types::Record;
use balsam_types::RecordId;
use balsam_types::RecordKind;

use crate::claims;
use crate::effect::Change;
use crate::effect::Effect;
use crate::event::EventTime;
use crate::event::PeerSnapshot;
use crate::plans;
use crate::state::Agent;

/// Interval at which a node that cannot read the log requests records from a peer.
const FETCH_INTERVAL_MS: u64 = 500;

/// How long a new node that cannot read the log waits before it requests the state from a peer.
///
/// It has to hear from every reachable node, so that it does not start from an outdated state.
const DISCOVERY_WAIT_MS: u64 = 3_000;

/// How long to wait for a peer's state before another peer is asked.
const FETCH_TIMEOUT_MS: u64 = 2_000;

/// How long a peer that did not answer is skipped.
const SKIP_PEER_MS: u64 = 5_000;

/// Handles a successful read of the log.
pub fn handle_read(
    agent: &mut Agent,
    at: EventTime,
    started_ms: u64,
    entries: Vec<LogEntry>,
    first_append: u64,
    next_append: u64,
) -> Vec<Effect> {
    agent.log.unreachable_since_ms = None;
    let mut effects = Vec::new();
    if !agent.log.platform_reachable {
        agent.log.platform_reachable = true;
        effects.push(Effect::ReportChange(Change::PlatformReachable(true)));
    }
    if agent.log.is_recovered {
        if first_append > agent.log.next_append {
            effects.extend(restart(agent, first_append));
            return effects;
        }
        effects.extend(fold_all(agent, at, entries));
    } else {
        effects.extend(recover(agent, at, entries, first_append, next_append));
    }
    if agent.log.is_recovered && agent.log.next_append >= next_append {
        agent.log.head_read_ms = agent.log.head_read_ms.max(Some(started_ms));
    }
    effects
}

/// Handles a failed read of the log.
pub fn handle_read_failure(agent: &mut Agent, at: EventTime) -> Vec<Effect> {
    agent.log.unreachable_since_ms.get_or_insert(at.now_ms);
    let mut effects = Vec::new();
    if agent.log.platform_reachable {
        agent.log.platform_reachable = false;
        effects.push(Effect::ReportChange(Change::PlatformReachable(false)));
    }
    effects.extend(fetch_records(agent, at));
    effects
}

/// Recovers again because the log no longer keeps the next record; the node keeps its old state
/// until a newer one replaces it.
fn restart(agent: &mut Agent, first_append: u64) -> Vec<Effect> {
    let needed = agent.log.next_append;
    agent.log.is_recovered = false;
    agent.log.recovery_batches.clear();
    vec![
        Effect::ReportChange(Change::Restarting { needed, first: first_append }),
        Effect::ReadFrom(first_append),
    ]
}

fn recover(
    agent: &mut Agent,
    at: EventTime,
    entries: Vec<LogEntry>,
    first_append: u64,
    next_append: u64,
) -> Vec<Effect> {
    let expected = agent.log.recovery_batches.last().map(|batch| batch.append + 1);
    let has_gap = match (expected, entries.first()) {
        (Some(expected), Some(batch)) => batch.append != expected,
        _ => false,
    };
    if has_gap {
        agent.log.recovery_batches.clear();
        return vec![Effect::ReadFrom(first_append)];
    }
    agent.log.recovery_batches.extend(entries);
    let reached = agent.log.recovery_batches.last().map_or(first_append, |batch| batch.append + 1);
    if reached < next_append {
        return vec![Effect::ReadFrom(reached)];
    }
    let batches = std::mem::take(&mut agent.log.recovery_batches);
    // A log that was truncated completely differs from an empty one only in its offsets.
    let is_truncated = batches.is_empty() && first_append > 1;
    let recovered = balsam_state::recover(&batches, agent.settings.limits.clone());
    let Some(replicated) = recovered.ok().filter(|_| !is_truncated) else {
        // Without a snapshot that covers the truncated records, only a peer has the state.
        let mut effects = fetch_records(agent, at);
        effects.push(Effect::ReadFrom(first_append));
        return effects;
    };
    install_state(agent, at, replicated, reached)
}

/// Installs a recovered state, unless the node already has one that is as recent.
fn install_state(
    agent: &mut Agent,
    at: EventTime,
    replicated: Replicated,
    next_append: u64,
) -> Vec<Effect> {
    let previous_offset = agent.folded();
    let mut effects = Vec::new();
    if replicated.last_offset().unwrap_or_default() > previous_offset {
        agent.replicated = replicated;
        agent.log.control_changes += 1;
        effects.extend(after_state_installed(agent, at, previous_offset));
    }
    agent.log.is_recovered = true;
    agent.log.recovery_batches.clear();
    agent.log.next_append = agent.log.next_append.max(next_append);
    agent.log.records_since_snapshot = 0;
    let folded = agent.folded();
    effects.push(Effect::ReportChange(Change::Recovered { folded }));
    effects.push(Effect::ReadFrom(agent.log.next_append));
    effects
}

/// Updates what depends on the records after `previous_offset`, which this node did not fold one by
/// one.
fn after_state_installed(agent: &mut Agent, at: EventTime, previous_offset: Offset) -> Vec<Effect> {
    let groups = agent.replicated.groups().filter(|group| group.offset > previous_offset);
    let formed: Vec<_> = groups.map(|group| group.value.group.clone()).collect();
    // Orders for groups that may have just been formed wait for the full quarantine.
    agent.group_folded_ms.extend(formed.into_iter().map(|group| (group, at.now_ms)));
    let replicated = &agent.replicated;
    // Skipped records may contain further owners that granted permits, so the previous owner of a
    // group whose owner changed is unknown.
    agent.previous_owner_offsets.retain(|group, _| {
        replicated.owner(group).is_some_and(|owner| owner.offset <= previous_offset)
    });
    claims::after_state_installed(agent, at, previous_offset)
}

/// Folds the batches that follow the last folded one. Earlier ones are skipped, and the fold stops
/// at a gap.
pub fn fold_all(agent: &mut Agent, at: EventTime, entries: Vec<LogEntry>) -> Vec<Effect> {
    let mut effects = Vec::new();
    for batch in entries {
        if batch.append < agent.log.next_append {
            continue;
        }
        if batch.append > agent.log.next_append {
            effects.push(Effect::ReadFrom(agent.log.next_append));
            break;
        }
        effects.extend(fold_batch(agent, at, &batch));
    }
    effects
}

fn fold_batch(agent: &mut Agent, at: EventTime, batch: &LogEntry) -> Vec<Effect> {
    let mut effects = Vec::new();
    if batch.records.is_empty() {
        effects.push(Effect::ReportChange(Change::BadBatch { append: batch.append }));
    }
    for (index, record) in batch.records.iter().enumerate() {
        let offset = Offset::new(batch.append, index as u32);
        let verdict = agent.replicated.apply(offset, batch.appended_at_ms, record);
        effects.extend(after_record(agent, at, offset, record, verdict));
    }
    agent.log.next_append = batch.append + 1;
    agent.log.records_since_snapshot += batch.records.len() as u64;
    let ids: HashSet<RecordId> = batch.records.iter().map(|record| record.record_id).collect();
    agent.appends.mark_folded(&ids);
    effects
}

/// Updates the node after a record was folded.
fn after_record(
    agent: &mut Agent,
    at: EventTime,
    offset: Offset,
    record: &Record,
    verdict: Verdict,
) -> Vec<Effect> {
    let mut effects = claims::after_record(agent, at, offset, record, &verdict);
    if let RecordKind::FormGroup(spec) = &record.kind
        && verdict.is_accepted()
    {
        agent.group_folded_ms.insert(spec.group.clone(), at.now_ms);
    }
    if let RecordKind::AssignOwner { group, .. } = &record.kind
        && verdict.is_accepted()
        && let Some(previous) = record.expect_offset
    {
        agent.previous_owner_offsets.insert(group.clone(), previous);
    }
    if let RecordKind::Snapshot { .. } = &record.kind {
        agent.log.records_since_snapshot = 0;
    }
    if verdict.is_accepted() && claims::is_control(&record.kind) {
        agent.log.control_changes += 1;
    }
    let is_own = record.author == Author::Node(agent.incarnation.clone());
    if let Verdict::Rejected(rejection) = &verdict
        && is_own
        && claims::is_control(&record.kind)
    {
        let reason = rejection.to_string().into();
        effects.push(Effect::ReportChange(Change::Rejected { label: record.kind.label(), reason }));
    }
    if matches!(verdict, Verdict::Rejected(_)) {
        // The stop notice of a rejected drain would otherwise block work until it expires.
        let cleared = plans::stops_of(agent, &record.kind).into_iter();
        effects.extend(cleared.map(|subject| Effect::ClearStop { subject, at: offset }));
    }
    // A duplicate has no verdict of its own; that of the first copy was already reported.
    if verdict != Verdict::Duplicate
        && let Some((waiter, _)) = agent.submits.remove(&record.record_id)
    {
        effects.push(Effect::AnswerSubmit { waiter, verdict: Some(verdict), offset: Some(offset) });
    }
    effects
}

/// Handles records or a snapshot from a peer.
pub fn handle_peer_records(
    agent: &mut Agent,
    at: EventTime,
    snapshot: Option<PeerSnapshot>,
    entries: Vec<LogEntry>,
) -> Vec<Effect> {
    let mut effects = Vec::new();
    agent.log.pending_fetch = None;
    if let Some(snapshot) = snapshot
        && snapshot.as_of > agent.folded()
    {
        if !agent.log.is_recovered && snapshot.as_of < highest_reachable(agent, at) {
            // A peer with a newer state has appeared since; a new node starts from that one.
            agent.last_runs.fetch_ms = None;
            return fetch_records(agent, at);
        }
        let limits = agent.settings.limits.clone();
        let Ok(replicated) = Replicated::from_snapshot(snapshot.as_of, &snapshot.state, limits)
        else {
            return effects;
        };
        // Peers send snapshots only between batches, so the batch of the last folded record is
        // complete.
        effects.extend(install_state(agent, at, replicated, snapshot.as_of.append + 1));
    }
    if agent.log.is_recovered {
        effects.extend(fold_all(agent, at, entries));
    }
    effects
}

/// Requests records from the peer with the highest offset while the log cannot be read.
pub fn fetch_records(agent: &mut Agent, at: EventTime) -> Vec<Effect> {
    let started_ms = *agent.log.started_ms.get_or_insert(at.now_ms);
    if agent.last_runs.fetch_ms.is_some_and(|last_ms| at.now_ms < last_ms + FETCH_INTERVAL_MS) {
        return Vec::new();
    }
    if let Some((peer, requested_ms)) = agent.log.pending_fetch {
        if at.now_ms < requested_ms + FETCH_TIMEOUT_MS {
            return Vec::new();
        }
        agent.log.pending_fetch = None;
        agent.log.skipped_until_ms.insert(peer, at.now_ms + SKIP_PEER_MS);
    }
    agent.log.skipped_until_ms.retain(|_, until_ms| at.now_ms < *until_ms);
    let has_waited = agent.log.is_recovered || at.now_ms >= started_ms + DISCOVERY_WAIT_MS;
    let Some(freshest) = reachable(agent, at).max_by_key(|member| member.folded_offset) else {
        return Vec::new();
    };
    // A peer that has folded no record has no state to send.
    if !has_waited || freshest.folded_offset <= agent.folded() {
        return Vec::new();
    }
    let from_append = if agent.log.is_recovered { agent.log.next_append } else { 0 };
    let peer = freshest.peer_address;
    agent.last_runs.fetch_ms = Some(at.now_ms);
    agent.log.pending_fetch = Some((peer, at.now_ms));
    vec![Effect::FetchRecords { peer, from_append }]
}

/// Returns the peers that are believed to be running and are not skipped.
fn reachable(agent: &Agent, at: EventTime) -> impl Iterator<Item = &Member> {
    let is_skipped = move |member: &&Member| {
        let until_ms = agent.log.skipped_until_ms.get(&member.peer_address);
        until_ms.is_some_and(|until_ms| at.now_ms < *until_ms)
    };
    let running = agent.members.iter().filter(|member| member.state != MemberState::Gone);
    running.filter(move |member| !is_skipped(member))
}

fn highest_reachable(agent: &Agent, at: EventTime) -> Offset {
    reachable(agent, at).map(|member| member.folded_offset).max().unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use crate::effect::Effect;
    use crate::event::Event;
    use crate::fixture::agent;
    use crate::fixture::at;
    use crate::fixture::groups;
    use crate::fixture::read;
    use crate::reduce::reduce;

    /// Guards against a node that becomes unready while it recovers again from a snapshot.
    #[test]
    fn a_node_whose_next_append_was_truncated_keeps_its_state_and_stays_ready() {
        let mut agent = agent("a");
        let records = groups(&mut agent, 1, true);
        read(&mut agent, 5, vec![records]);
        let folded = agent.folded();
        let (first_append, next_append) = (50, 60);
        let entries = Vec::new();
        let event = Event::LogRead { started_ms: 10, entries, first_append, next_append };
        let effects = reduce(&mut agent, at(10), event);
        assert!(effects.iter().any(|effect| matches!(effect, Effect::ReadFrom(50))));
        assert!(agent.has_state() && !agent.log.is_recovered);
        assert_eq!(agent.folded(), folded);
    }
}
