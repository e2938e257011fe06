//! Requests that wait for the log to confirm their claims.
//!
//! A claim is granted only when its record has been read back as accepted; if the request
//! is abandoned earlier, the claim is released as soon as it appears in the log. See
//! `docs/decisions/0001-at-most-once.md`.

use std::collections::HashSet;

use balsam_state::Rejection;
use balsam_state::Verdict;
use balsam_types::ClaimKey;
use balsam_types::Offset;
use balsam_types::Record;
use balsam_types::RecordId;
use balsam_types::RecordKind;
use balsam_types::StoredResponse;
use balsam_types::claim::RequestHash;

use crate::effect::ClaimAnswer;
use crate::effect::Effect;
use crate::event::ClaimSubmission;
use crate::event::EventTime;
use crate::state::Agent;
use crate::state::Stage;
use crate::state::Waiter;

/// Returns whether a record concerns the estate rather than a single request.
pub fn is_control(kind: &RecordKind) -> bool {
    !matches!(
        kind,
        RecordKind::Claim { .. } | RecordKind::Release { .. } | RecordKind::Complete { .. }
    )
}

/// Handles a request for a claim.
pub fn request(agent: &mut Agent, at: EventTime, request: ClaimSubmission) -> Vec<Effect> {
    if is_past_window(&request.raw_key, at.wall_ms, agent.settings.key_window_ms) {
        return vec![answer(request.waiter, ClaimAnswer::KeyExpired)];
    }
    if !agent.log.is_recovered {
        return vec![answer(request.waiter, ClaimAnswer::Unconfirmed)];
    }
    let ClaimSubmission { waiter, key, request_hash, pool, deadline_ms, .. } = request;
    if agent.replicated.claim(&key).is_some() {
        let stage = Stage::Following;
        agent.claims.waiters.insert(waiter, Waiter { key, request_hash, deadline_ms, stage });
        return answer_follower(agent, waiter);
    }
    if agent.is_cut_off(at) {
        // The claim could not be confirmed in time, so the caller is refused at once.
        return vec![answer(waiter, ClaimAnswer::Unconfirmed)];
    }
    let node = agent.incarnation.clone();
    let kind = RecordKind::Claim { key, request_hash, pool, node };
    let record = agent.record(at, "keyed request", None, kind);
    let stage = Stage::Claiming { record_id: record.record_id, requested_ms: at.now_ms };
    agent.claims.waiter_by_record.insert(record.record_id, waiter);
    agent.claims.waiters.insert(waiter, Waiter { key, request_hash, deadline_ms, stage });
    agent.appends.push(record);
    Vec::new()
}

/// Handles a request that no longer waits, for example because its caller disconnected.
pub fn handle_dropped(agent: &mut Agent, at: EventTime, waiter: u64) -> Vec<Effect> {
    if let Some(Waiter { key, stage: Stage::Claiming { record_id, .. }, .. }) =
        agent.claims.remove(waiter)
    {
        abandon(agent, at, record_id, key);
    }
    Vec::new()
}

fn abandon(agent: &mut Agent, at: EventTime, record_id: RecordId, key: ClaimKey) {
    if !agent.appends.withdraw(record_id) {
        agent.claims.abandoned.insert(record_id, (key, at.now_ms));
    }
}

/// Handles the completion of a claimed request.
pub fn complete(
    agent: &mut Agent,
    at: EventTime,
    key: ClaimKey,
    response: StoredResponse,
) -> Vec<Effect> {
    let node = agent.incarnation.clone();
    let kind = RecordKind::Complete { key, node, response };
    let record = agent.record(at, "keyed request completed", None, kind);
    agent.appends.push(record);
    Vec::new()
}

/// Handles a claimed request that is known not to have run.
pub fn release(agent: &mut Agent, at: EventTime, key: ClaimKey) -> Vec<Effect> {
    let node = agent.incarnation.clone();
    let kind = RecordKind::Release { key, node };
    let record = agent.record(at, "keyed request did not run", None, kind);
    agent.appends.push(record);
    Vec::new()
}

/// Updates waiting requests after a claim record was folded.
pub fn after_record(
    agent: &mut Agent,
    at: EventTime,
    offset: Offset,
    record: &Record,
    verdict: &Verdict,
) -> Vec<Effect> {
    match &record.kind {
        RecordKind::Claim { key, node, .. } if *node == agent.incarnation => {
            after_own_claim(agent, at, offset, record.record_id, *key, verdict)
        }
        RecordKind::Complete { key, .. } | RecordKind::Release { key, .. } => {
            answer_followers(agent, *key)
        }
        _ => Vec::new(),
    }
}

fn after_own_claim(
    agent: &mut Agent,
    at: EventTime,
    offset: Offset,
    record_id: RecordId,
    key: ClaimKey,
    verdict: &Verdict,
) -> Vec<Effect> {
    agent.claims.abandoned.remove(&record_id);
    let Some(waiter) = agent.claims.waiter_by_record.remove(&record_id) else {
        // The request was abandoned before its claim was confirmed, so it did not run.
        return match verdict {
            Verdict::Accepted => release(agent, at, key),
            _ => Vec::new(),
        };
    };
    match verdict {
        Verdict::Accepted => {
            let requested_ms = match agent.claims.waiters.remove(&waiter).map(|waiter| waiter.stage)
            {
                Some(Stage::Claiming { requested_ms, .. }) => requested_ms,
                _ => at.now_ms,
            };
            grant(agent, at, waiter, key, offset, requested_ms)
        }
        Verdict::Rejected(Rejection::TooManyClaims { .. }) => {
            agent.claims.waiters.remove(&waiter);
            vec![answer(waiter, ClaimAnswer::Unconfirmed)]
        }
        Verdict::Rejected(_) | Verdict::Duplicate => {
            if let Some(waiting) = agent.claims.waiters.get_mut(&waiter) {
                waiting.stage = Stage::Following;
            }
            answer_follower(agent, waiter)
        }
    }
}

/// Grants a claim, or releases it if the process was paused past the dispatch limit.
fn grant(
    agent: &mut Agent,
    at: EventTime,
    waiter: u64,
    key: ClaimKey,
    offset: Offset,
    requested_ms: u64,
) -> Vec<Effect> {
    let dispatch_until_ms = requested_ms + agent.settings.claim_dispatch_ms;
    if at.now_ms < dispatch_until_ms {
        return vec![answer(waiter, ClaimAnswer::Granted { offset, dispatch_until_ms })];
    }
    let mut effects = release(agent, at, key);
    effects.push(answer(waiter, ClaimAnswer::Unconfirmed));
    effects
}

/// Resolves claims whose records were part of an installed state and were not folded here.
///
/// A claim of this process after `previous_offset` has not been answered yet. It is granted to the
/// first request that waits for the key, or released if that request was abandoned.
pub fn after_state_installed(
    agent: &mut Agent,
    at: EventTime,
    previous_offset: Offset,
) -> Vec<Effect> {
    let mut claiming: Vec<(u64, ClaimKey, RequestHash, RecordId, u64)> = Vec::new();
    for (id, waiting) in &agent.claims.waiters {
        if let Stage::Claiming { record_id, requested_ms } = waiting.stage {
            claiming.push((*id, waiting.key, waiting.request_hash, record_id, requested_ms));
        }
    }
    claiming.sort_unstable_by_key(|(id, ..)| *id);
    let mut granted: HashSet<ClaimKey> = HashSet::new();
    let mut effects = Vec::new();
    for (id, key, request_hash, record_id, requested_ms) in claiming {
        let Some(claim) = agent.replicated.claim(&key) else {
            continue;
        };
        agent.claims.waiter_by_record.remove(&record_id);
        agent.appends.withdraw(record_id);
        let is_unanswered = claim.holder == agent.incarnation
            && claim.offset > previous_offset
            && claim.completed.is_none()
            && claim.request_hash == request_hash;
        if is_unanswered && granted.insert(key) {
            agent.claims.waiters.remove(&id);
            effects.extend(grant(agent, at, id, key, claim.offset, requested_ms));
        } else if let Some(waiting) = agent.claims.waiters.get_mut(&id) {
            waiting.stage = Stage::Following;
        }
    }
    let mut abandoned: Vec<ClaimKey> = Vec::new();
    agent.claims.abandoned.retain(|_, (key, _)| {
        let claim = agent.replicated.claim(key);
        let is_own = claim.is_some_and(|claim| {
            claim.holder == agent.incarnation
                && claim.offset > previous_offset
                && claim.completed.is_none()
        });
        if is_own && granted.insert(*key) {
            abandoned.push(*key);
        }
        !is_own
    });
    abandoned.sort_unstable();
    for key in abandoned {
        effects.extend(release(agent, at, key));
    }
    let mut followers: Vec<u64> = agent.claims.waiters.keys().copied().collect();
    followers.sort_unstable();
    for id in followers {
        if matches!(agent.claims.waiters.get(&id), Some(Waiter { stage: Stage::Following, .. })) {
            effects.extend(answer_follower(agent, id));
        }
    }
    effects
}

fn answer_followers(agent: &mut Agent, key: ClaimKey) -> Vec<Effect> {
    let followers = agent
        .claims
        .waiters
        .iter()
        .filter(|(_, waiter)| waiter.key == key && matches!(waiter.stage, Stage::Following));
    let followers: Vec<u64> = followers.map(|(id, _)| *id).collect();
    followers.into_iter().flat_map(|waiter| answer_follower(agent, waiter)).collect()
}

/// Answers a request that waits for another one with the same key, if the outcome is known.
fn answer_follower(agent: &mut Agent, waiter: u64) -> Vec<Effect> {
    let Some(waiting) = agent.claims.waiters.get(&waiter) else {
        return Vec::new();
    };
    let reply = match agent.replicated.claim(&waiting.key) {
        // The first request was released. This one needs a new attempt, since this node has not
        // claimed the key for it.
        None => ClaimAnswer::Unconfirmed,
        Some(claim) if claim.request_hash != waiting.request_hash => ClaimAnswer::KeyReused,
        Some(claim) => match claim.completed {
            Some(completed) => ClaimAnswer::Completed(completed.response),
            None if agent.is_running(&claim.holder) => return Vec::new(),
            None => ClaimAnswer::HolderGone,
        },
    };
    agent.claims.waiters.remove(&waiter);
    vec![answer(waiter, reply)]
}

/// Answers requests whose claims were not confirmed in time or whose holder is gone.
pub fn tick(agent: &mut Agent, at: EventTime) -> Vec<Effect> {
    let wait_ms = if agent.is_cut_off(at) { 0 } else { agent.settings.claim_wait_ms };
    // The fold has forgotten the id of a copy that arrives later.
    let window_ms = agent.settings.limits.claim_id_window_ms;
    agent.claims.abandoned.retain(|_, (_, since_ms)| at.now_ms < *since_ms + window_ms);
    let mut ids: Vec<u64> = agent.claims.waiters.keys().copied().collect();
    ids.sort_unstable();
    let mut effects = Vec::new();
    for id in ids {
        let waiting = &agent.claims.waiters[&id];
        let is_past_deadline = at.now_ms >= waiting.deadline_ms;
        match waiting.stage {
            Stage::Claiming { record_id, requested_ms } => {
                if is_past_deadline || at.now_ms >= requested_ms + wait_ms {
                    let key = waiting.key;
                    agent.claims.remove(id);
                    abandon(agent, at, record_id, key);
                    effects.push(answer(id, ClaimAnswer::Unconfirmed));
                }
            }
            Stage::Following if is_past_deadline => {
                agent.claims.remove(id);
                effects.push(answer(id, ClaimAnswer::StillRunning));
            }
            Stage::Following => effects.extend(answer_follower(agent, id)),
        }
    }
    effects
}

fn answer(waiter: u64, answer: ClaimAnswer) -> Effect {
    Effect::AnswerClaim { waiter, answer }
}

/// Returns whether a key was created before the window for which keys are kept.
///
/// Only a UUIDv7 contains its creation time; the age of other keys is unknown.
fn is_past_window(raw_key: &str, wall_ms: u64, window_ms: u64) -> bool {
    let Ok(uuid) = uuid::Uuid::try_parse(raw_key) else {
        return false;
    };
    let Some(created) = uuid.get_timestamp().filter(|_| uuid.get_version_num() == 7) else {
        return false;
    };
    let (seconds, nanos) = created.to_unix();
    let created_ms = seconds * 1_000 + u64::from(nanos) / 1_000_000;
    created_ms.saturating_add(window_ms) < wall_ms
}

#[cfg(test)]
mod tests;
