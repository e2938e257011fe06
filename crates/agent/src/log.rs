//! Following the log: recovery at the start, the fold, and records from peers in an outage.

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
use crate::event::At;
use crate::event::PeerSnapshot;
use crate::plans;
use crate::state::Agent;

/// How often a node that cannot read the log asks a peer for records.
const FETCH_INTERVAL_MS: u64 = 500;

/// How long a fresh node that cannot read the log waits for peers before it takes what it has.
///
/// It has to hear from every node it can reach, so that it does not start from an older state.
const FRESH_WAIT_MS: u64 = 3_000;

/// How long a peer may take to send its state before another one is asked.
const ANSWER_WAIT_MS: u64 = 2_000;

/// How long a peer that did not answer is passed over.
const PASS_OVER_MS: u64 = 5_000;

/// Handles the platform's answer to a read.
pub fn read(
    agent: &mut Agent,
    at: At,
    started_ms: u64,
    entries: Vec<LogEntry>,
    first_append: u64,
    next_append: u64,
) -> Vec<Effect> {
    agent.log.unreachable_since_ms = None;
    let mut effects = Vec::new();
    if !agent.log.platform_reachable {
        agent.log.platform_reachable = true;
        effects.push(Effect::Note(Change::PlatformReachable(true)));
    }
    if agent.log.recovered {
        if first_append > agent.log.next_append {
            effects.extend(restart(agent, first_append));
            return effects;
        }
        effects.extend(fold_all(agent, at, entries));
    } else {
        effects.extend(recover(agent, at, entries, first_append, next_append));
    }
    if agent.log.recovered && agent.log.next_append >= next_append {
        agent.log.head_read_ms = agent.log.head_read_ms.max(Some(started_ms));
    }
    effects
}

/// Handles a read that the platform did not answer.
pub fn read_failed(agent: &mut Agent, at: At) -> Vec<Effect> {
    agent.log.unreachable_since_ms.get_or_insert(at.now_ms);
    let mut effects = Vec::new();
    if agent.log.platform_reachable {
        agent.log.platform_reachable = false;
        effects.push(Effect::Note(Change::PlatformReachable(false)));
    }
    effects.extend(fetch(agent, at));
    effects
}

/// Starts over because the log no longer keeps the next record; the state itself stays in force
/// until a newer one replaces it.
fn restart(agent: &mut Agent, first_append: u64) -> Vec<Effect> {
    let needed = agent.log.next_append;
    agent.log.recovered = false;
    agent.log.recovering.clear();
    vec![
        Effect::Note(Change::Restarting { needed, first: first_append }),
        Effect::ReadFrom(first_append),
    ]
}

fn recover(
    agent: &mut Agent,
    at: At,
    entries: Vec<LogEntry>,
    first_append: u64,
    next_append: u64,
) -> Vec<Effect> {
    let expected = agent.log.recovering.last().map(|batch| batch.append + 1);
    let has_gap = match (expected, entries.first()) {
        (Some(expected), Some(batch)) => batch.append != expected,
        _ => false,
    };
    if has_gap {
        agent.log.recovering.clear();
        return vec![Effect::ReadFrom(first_append)];
    }
    agent.log.recovering.extend(entries);
    let reached = agent.log.recovering.last().map_or(first_append, |batch| batch.append + 1);
    if reached < next_append {
        return vec![Effect::ReadFrom(reached)];
    }
    let batches = std::mem::take(&mut agent.log.recovering);
    // A log that was forgotten as a whole looks like an empty one but for its offsets.
    let is_lost = batches.is_empty() && first_append > 1;
    let recovered = balsam_state::recover(&batches, agent.settings.limits.clone());
    let Some(replicated) = recovered.ok().filter(|_| !is_lost) else {
        // Without a snapshot that covers the forgotten start, only a peer has the state.
        let mut effects = fetch(agent, at);
        effects.push(Effect::ReadFrom(first_append));
        return effects;
    };
    adopt(agent, at, replicated, reached)
}

/// Takes a state, unless the node already has one that is as new.
fn adopt(agent: &mut Agent, at: At, replicated: Replicated, next_append: u64) -> Vec<Effect> {
    let before = agent.folded();
    let mut effects = Vec::new();
    if replicated.applied().unwrap_or_default() > before {
        agent.replicated = replicated;
        agent.log.control_changes += 1;
        effects.extend(taken_over(agent, at, before));
    }
    agent.log.recovered = true;
    agent.log.recovering.clear();
    agent.log.next_append = agent.log.next_append.max(next_append);
    agent.log.since_snapshot = 0;
    let folded = agent.folded();
    effects.push(Effect::Note(Change::Recovered { folded }));
    effects.push(Effect::ReadFrom(agent.log.next_append));
    effects
}

/// Makes up for the records behind `before`, whose verdicts this node did not see one by one.
fn taken_over(agent: &mut Agent, at: At, before: Offset) -> Vec<Effect> {
    let groups = agent.replicated.groups().filter(|group| group.offset > before);
    let formed: Vec<_> = groups.map(|group| group.value.group.clone()).collect();
    // Orders of groups that may just have been formed wait for the full quarantine.
    agent.group_folded_ms.extend(formed.into_iter().map(|group| (group, at.now_ms)));
    let replicated = &agent.replicated;
    // An owner in between may have granted permits, so a changed owner has an unknown predecessor.
    agent
        .former_owner
        .retain(|group, _| replicated.owner(group).is_some_and(|owner| owner.offset <= before));
    claims::taken_over(agent, at, before)
}

/// Folds batches that follow the last one; earlier ones are skipped, a gap ends the fold.
pub fn fold_all(agent: &mut Agent, at: At, entries: Vec<LogEntry>) -> Vec<Effect> {
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

fn fold_batch(agent: &mut Agent, at: At, batch: &LogEntry) -> Vec<Effect> {
    let mut effects = Vec::new();
    if batch.records.is_empty() {
        effects.push(Effect::Note(Change::BadBatch { append: batch.append }));
    }
    for (index, record) in batch.records.iter().enumerate() {
        let offset = Offset::new(batch.append, index as u32);
        let verdict = agent.replicated.apply(offset, batch.appended_at_ms, record);
        effects.extend(folded(agent, at, offset, record, verdict));
    }
    agent.log.next_append = batch.append + 1;
    agent.log.since_snapshot += batch.records.len() as u64;
    let ids: HashSet<RecordId> = batch.records.iter().map(|record| record.record_id).collect();
    agent.appends.folded(&ids);
    effects
}

/// Acts on one folded record.
fn folded(
    agent: &mut Agent,
    at: At,
    offset: Offset,
    record: &Record,
    verdict: Verdict,
) -> Vec<Effect> {
    let mut effects = claims::folded(agent, at, offset, record, &verdict);
    if let RecordKind::FormGroup(spec) = &record.kind
        && verdict.is_accepted()
    {
        agent.group_folded_ms.insert(spec.group.clone(), at.now_ms);
    }
    if let RecordKind::AssignOwner { group, .. } = &record.kind
        && verdict.is_accepted()
        && let Some(former) = record.expect_offset
    {
        agent.former_owner.insert(group.clone(), former);
    }
    if let RecordKind::Snapshot { .. } = &record.kind {
        agent.log.since_snapshot = 0;
    }
    if verdict.is_accepted() && claims::is_control(&record.kind) {
        agent.log.control_changes += 1;
    }
    let is_own = record.author == Author::Node(agent.me.clone());
    if let Verdict::Rejected(rejection) = &verdict
        && is_own
        && claims::is_control(&record.kind)
    {
        let reason = rejection.to_string().into();
        effects.push(Effect::Note(Change::Rejected { label: record.kind.label(), reason }));
    }
    if matches!(verdict, Verdict::Rejected(_)) {
        // The stop notice of a refused drain would keep work away until it lapses.
        let refused = plans::stops_of(agent, &record.kind).into_iter();
        effects.extend(refused.map(|subject| Effect::ClearStop { subject, at: offset }));
    }
    // A duplicate says nothing about the first copy, whose verdict was already given.
    if verdict != Verdict::Duplicate
        && let Some((waiter, _)) = agent.submits.remove(&record.record_id)
    {
        effects.push(Effect::AnswerSubmit { waiter, verdict: Some(verdict), offset: Some(offset) });
    }
    effects
}

/// Handles records or a state from a peer.
pub fn from_peer(
    agent: &mut Agent,
    at: At,
    snapshot: Option<PeerSnapshot>,
    entries: Vec<LogEntry>,
) -> Vec<Effect> {
    let mut effects = Vec::new();
    agent.log.asked = None;
    if let Some(snapshot) = snapshot
        && snapshot.as_of > agent.folded()
    {
        if !agent.log.recovered && snapshot.as_of < highest_reachable(agent, at) {
            // A peer with a newer state has been heard of since; a fresh node starts from that.
            agent.jobs.fetch_ms = None;
            return fetch(agent, at);
        }
        let limits = agent.settings.limits.clone();
        let Ok(replicated) = Replicated::from_snapshot(snapshot.as_of, &snapshot.state, limits)
        else {
            return effects;
        };
        // The batch of the last folded record counts as folded as a whole: peers send states
        // between batches only.
        effects.extend(adopt(agent, at, replicated, snapshot.as_of.append + 1));
    }
    if agent.log.recovered {
        effects.extend(fold_all(agent, at, entries));
    }
    effects
}

/// Asks the peer with the highest offset for records while the platform cannot be read.
pub fn fetch(agent: &mut Agent, at: At) -> Vec<Effect> {
    let started_ms = *agent.log.started_ms.get_or_insert(at.now_ms);
    if agent.jobs.fetch_ms.is_some_and(|last_ms| at.now_ms < last_ms + FETCH_INTERVAL_MS) {
        return Vec::new();
    }
    if let Some((peer, asked_ms)) = agent.log.asked {
        if at.now_ms < asked_ms + ANSWER_WAIT_MS {
            return Vec::new();
        }
        agent.log.asked = None;
        agent.log.passed_over_ms.insert(peer, at.now_ms + PASS_OVER_MS);
    }
    agent.log.passed_over_ms.retain(|_, until_ms| at.now_ms < *until_ms);
    let has_waited = agent.log.recovered || at.now_ms >= started_ms + FRESH_WAIT_MS;
    let Some(best) = reachable(agent, at).max_by_key(|member| member.folded_offset) else {
        return Vec::new();
    };
    // Without a record folded, a peer has no state to give.
    if !has_waited || best.folded_offset <= agent.folded() {
        return Vec::new();
    }
    let from_append = if agent.log.recovered { agent.log.next_append } else { 0 };
    let peer = best.peer_address;
    agent.jobs.fetch_ms = Some(at.now_ms);
    agent.log.asked = Some((peer, at.now_ms));
    vec![Effect::FetchRecords { peer, from_append }]
}

/// Peers that are believed to run and have not just failed to answer.
fn reachable(agent: &Agent, at: At) -> impl Iterator<Item = &Member> {
    let passed_over = move |member: &&Member| {
        let until_ms = agent.log.passed_over_ms.get(&member.peer_address);
        until_ms.is_some_and(|until_ms| at.now_ms < *until_ms)
    };
    let running = agent.members.iter().filter(|member| member.state != MemberState::Gone);
    running.filter(move |member| !passed_over(member))
}

fn highest_reachable(agent: &Agent, at: At) -> Offset {
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

    /// Guards against a node that leaves service while it starts over from a snapshot.
    #[test]
    fn a_node_that_lost_the_retention_keeps_its_state_and_stays_in_service() {
        let mut agent = agent("a");
        let records = groups(&mut agent, 1, true);
        read(&mut agent, 5, vec![records]);
        let folded = agent.folded();
        let (first_append, next_append) = (50, 60);
        let entries = Vec::new();
        let event = Event::LogRead { started_ms: 10, entries, first_append, next_append };
        let effects = reduce(&mut agent, at(10), event);
        assert!(effects.iter().any(|effect| matches!(effect, Effect::ReadFrom(50))));
        assert!(agent.has_state() && !agent.log.recovered);
        assert_eq!(agent.folded(), folded);
    }
}
