//! Tests of claims, from the request to its answer.

use balsam_types::VmInfo;
use balsam_types::VmRole;
use balsam_types::VmState;
use balsam_types::vm::VmList;
use rstest::rstest;

use super::*;
use crate::event::Event;
use crate::event::PeerSnapshot;
use crate::fixture::agent;
use crate::fixture::appended;
use crate::fixture::at;
use crate::fixture::incarnation;
use crate::fixture::read;
use crate::reduce::reduce;

const KEY: ClaimKey = ClaimKey([1; 16]);

fn request(waiter: u64, body: u8) -> Event {
    Event::Claim(ClaimSubmission {
        waiter,
        key: KEY,
        raw_key: "order".into(),
        request_hash: RequestHash([body; 16]),
        pool: "p".try_into().unwrap(),
        deadline_ms: 4_000,
    })
}

fn answers(effects: &[Effect]) -> Vec<(u64, ClaimAnswer)> {
    let answers = effects.iter().filter_map(|effect| match effect {
        Effect::AnswerClaim { waiter, answer } => Some((*waiter, answer.clone())),
        _ => None,
    });
    answers.collect()
}

/// Returns the claim records that a node appends for a request.
fn claim_records(agent: &mut Agent, now_ms: u64, waiter: u64, body: u8) -> Vec<Record> {
    appended(&reduce(agent, at(now_ms), request(waiter, body)))
}

/// Returns another node's claim of the same key.
fn foreign_claim() -> Record {
    let mut other = agent("other");
    claim_records(&mut other, 10, 1, 1).remove(0)
}

/// Returns an event with a peer's snapshot after some records.
fn state_with(records: Vec<Record>) -> Event {
    let mut peer = agent("peer");
    read(&mut peer, 20, vec![records]);
    let snapshot =
        PeerSnapshot { as_of: peer.folded(), state: peer.replicated.to_snapshot().into() };
    Event::PeerRecords { snapshot: Some(snapshot), entries: Vec::new() }
}

fn granted(now_ms: u64) -> ClaimAnswer {
    let offset = Offset::new(1, 0);
    ClaimAnswer::Granted { offset, dispatch_until_ms: now_ms + 3_000 }
}

/// Guards against dispatch before the claim has been read back as accepted.
#[test]
fn a_claim_is_granted_only_once_it_is_read_back() {
    let mut agent = agent("a");
    let effects = reduce(&mut agent, at(10), request(1, 1));
    assert_eq!(answers(&effects), []);
    let effects = read(&mut agent, 20, vec![appended(&effects)]);
    assert_eq!(answers(&effects), [(1, granted(10))]);
}

/// Guards against running a request twice when another node's claim came first.
#[test]
fn the_later_claim_waits_for_the_completion_of_the_first() {
    let mut agent = agent("a");
    let own = claim_records(&mut agent, 10, 1, 1);
    let first = foreign_claim();
    agent.members.push(member("other"));
    let effects = read(&mut agent, 20, vec![vec![first], own]);
    assert_eq!(answers(&effects), []);
    let response = StoredResponse { status: 200, content_type: "".into(), body: None };
    let node = incarnation("other");
    let kind = RecordKind::Complete { key: KEY, node, response: response.clone() };
    let complete = agent.record(at(30), "", None, kind);
    let effects = read(&mut agent, 30, vec![vec![complete]]);
    assert_eq!(answers(&effects), [(1, ClaimAnswer::Completed(response))]);
}

fn member(vm: &str) -> balsam_peer::Member {
    balsam_peer::Member {
        incarnation: incarnation(vm),
        data_centre: "dc".try_into().unwrap(),
        region: "r".try_into().unwrap(),
        peer_address: ([127, 0, 0, 1], 2).into(),
        state: balsam_peer::MemberState::Alive,
        folded_offset: Offset::default(),
        platform_reachable: true,
        heartbeat: 1,
        age_ms: 0,
    }
}

/// Guards against waiting for a process that is gone, and against a key reused for another request.
#[rstest]
#[case::holder_gone(1, ClaimAnswer::HolderGone)]
#[case::other_body(2, ClaimAnswer::KeyReused)]
fn a_claim_after_that_of_a_lost_process_is_refused(
    #[case] body: u8,
    #[case] expected: ClaimAnswer,
) {
    let mut agent = agent("a");
    let own = claim_records(&mut agent, 10, 1, body);
    let effects = read(&mut agent, 20, vec![vec![foreign_claim()], own]);
    assert_eq!(answers(&effects), [(1, expected)]);
}

/// Guards against an abandoned claim that blocks its key.
#[test]
fn a_claim_abandoned_before_it_was_read_back_is_released() {
    let mut agent = agent("a");
    let own = claim_records(&mut agent, 10, 1, 1);
    let effects = reduce(&mut agent, at(1_000), Event::Tick);
    assert_eq!(answers(&effects), []);
    let effects = reduce(&mut agent, at(2_010), Event::Tick);
    assert_eq!(answers(&effects), [(1, ClaimAnswer::Unconfirmed)]);
    let released = appended(&read(&mut agent, 2_100, vec![own]));
    assert!(matches!(released[0].kind, RecordKind::Release { key: KEY, .. }));
}

/// Guards against a paused process that dispatches long after its claim.
#[test]
fn a_claim_read_back_after_its_dispatch_limit_is_released() {
    let mut agent = agent("a");
    let own = claim_records(&mut agent, 10, 1, 1);
    let effects = read(&mut agent, 3_010, vec![own]);
    assert_eq!(answers(&effects), [(1, ClaimAnswer::Unconfirmed)]);
    assert!(matches!(appended(&effects)[0].kind, RecordKind::Release { key: KEY, .. }));
}

/// Guards against losing a claim whose record is part of an installed state, and against granting
/// it to every request that waits for the key.
#[test]
fn a_claim_in_an_installed_state_is_granted_to_one_request() {
    let mut agent = agent("a");
    let own = claim_records(&mut agent, 10, 1, 1);
    claim_records(&mut agent, 12, 2, 1);
    let effects = reduce(&mut agent, at(30), state_with(own));
    assert_eq!(answers(&effects), [(1, granted(10))]);
}

/// Guards against granting a claim again that was granted before a state was installed.
#[test]
fn a_claim_granted_before_a_state_is_installed_is_not_granted_again() {
    let mut agent = agent("a");
    let own = claim_records(&mut agent, 10, 1, 1);
    claim_records(&mut agent, 12, 2, 1);
    let effects = read(&mut agent, 20, vec![own.clone()]);
    assert_eq!(answers(&effects).len(), 1);
    let mut newer = foreign_claim();
    newer.record_id = RecordId(99);
    let mut records = own;
    records.push(newer);
    let effects = reduce(&mut agent, at(30), state_with(records));
    assert_eq!(answers(&effects), []);
    assert_eq!(agent.folded(), Offset::new(1, 1));
}

/// Guards against a claim that blocks its key because a state was installed after the request was
/// abandoned.
#[test]
fn a_claim_abandoned_before_a_state_is_installed_is_released() {
    let mut agent = agent("a");
    let own = claim_records(&mut agent, 10, 1, 1);
    reduce(&mut agent, at(20), Event::ClaimDropped { waiter: 1 });
    let effects = reduce(&mut agent, at(30), state_with(own));
    let unknown = Event::Appended { batch_id: 0, result: crate::event::AppendResult::Unknown };
    let retried = reduce(&mut agent, at(40), unknown);
    let later = reduce(&mut agent, at(400), Event::Tick);
    let sent = [appended(&effects), appended(&retried), appended(&later)].concat();
    assert!(sent.iter().any(|r| matches!(r.kind, RecordKind::Release { key: KEY, .. })));
}

/// Guards against claims that are resent for hours although no request waits for them.
#[test]
fn a_claim_without_a_waiter_is_not_sent_again_in_an_outage() {
    let mut agent = agent("a");
    claim_records(&mut agent, 10, 1, 1);
    let mut sent = 0;
    for now_ms in (20..20_000).step_by(100) {
        let effects = reduce(&mut agent, at(now_ms), Event::Tick);
        for effect in effects {
            if let Effect::Append { batch_id, .. } = effect {
                sent += usize::from(now_ms > 2_500);
                let result = crate::event::AppendResult::Unknown;
                reduce(&mut agent, at(now_ms), Event::Appended { batch_id, result });
            }
        }
        if now_ms == 20 {
            let result = crate::event::AppendResult::Unknown;
            reduce(&mut agent, at(now_ms), Event::Appended { batch_id: 0, result });
        }
    }
    assert_eq!(sent, 0);
    assert!(agent.appends.is_empty());
}

/// Guards against running a request again after its claim has expired.
#[test]
fn a_uuid7_key_created_before_the_window_is_detected() {
    // The first 48 bits are the creation time in ms.
    let key = "00000000-0f42-7400-8000-000000000000";
    let made_ms = 0x0f42_u64;
    assert!(is_past_window(key, made_ms + 5_001, 5_000));
    assert!(!is_past_window(key, made_ms + 5_000, 5_000));
    assert!(!is_past_window("order-77", u64::MAX, 5_000));
}

/// Guards against a caller that waits seconds for an answer while the log is unreachable.
#[test]
fn a_claim_is_refused_at_once_while_no_node_reaches_the_log() {
    let mut node = agent("entry-1");
    claim_records(&mut node, 10, 1, 1);
    reduce(&mut node, at(20), Event::LogReadFailed);
    assert!(answers(&reduce(&mut node, at(400), Event::Tick)).is_empty());
    let waiting = reduce(&mut node, at(600), Event::Tick);
    assert_eq!(answers(&waiting), [(1, ClaimAnswer::Unconfirmed)]);
    let refused = reduce(&mut node, at(700), request(2, 1));
    assert_eq!(answers(&refused), [(2, ClaimAnswer::Unconfirmed)]);
}

/// Guards against rebuilding the routing table for every claim in the log.
#[test]
fn claims_in_the_log_cause_no_new_routing_table() {
    let mut node = agent("entry-1");
    let effects = read(&mut node, 100, vec![vec![foreign_claim()]]);
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::PublishTable(_))));
}

/// Guards against treating a claim holder as gone because peers know few nodes of its data centre.
#[test]
fn a_holder_in_another_data_centre_counts_as_running_while_the_vm_list_contains_it() {
    let mut node = agent("entry-1");
    let holder = VmInfo {
        vm: "other".try_into().unwrap(),
        region: "r".try_into().unwrap(),
        data_centre: "dc-2".try_into().unwrap(),
        fabric_domain: "rack".try_into().unwrap(),
        state: VmState::Live,
        role: VmRole::Entry { peer_address: ([127, 0, 0, 1], 9).into() },
    };
    let list = VmList { as_of_ms: 1, vms: [holder].into() };
    reduce(&mut node, at(10), Event::VmList(list));
    read(&mut node, 100, vec![vec![foreign_claim()]]);
    assert!(answers(&reduce(&mut node, at(200), request(2, 1))).is_empty());
    let late = reduce(&mut node, at(4_000), Event::Tick);
    assert_eq!(answers(&late), [(2, ClaimAnswer::StillRunning)]);
}
