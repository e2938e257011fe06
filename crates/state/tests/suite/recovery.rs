//! Recovery from the log, and snapshots that must be rejected.

use balsam_state::Limits;
use balsam_state::LogEntry;
use balsam_state::RecoverError;
use balsam_state::Replicated;
use balsam_state::SnapshotError;
use balsam_state::SnapshotPolicy;
use balsam_state::SnapshotProgress;
use balsam_state::recover;
use balsam_state::snapshot_due;
use balsam_types::ClaimKey;
use balsam_types::Offset;
use balsam_types::Record;
use balsam_types::RecordKind;
use balsam_types::claim::RequestHash;
use balsam_wire::pb::snapshot::v1 as pb;
use prost::Message;
use rstest::rstest;

use crate::common::*;

fn entry(append: u64, records: Vec<Record>) -> LogEntry {
    LogEntry { append, appended_at_ms: 1_000 + append, records }
}

fn drain(append: u64) -> LogEntry {
    let kind = RecordKind::DrainDataCentre(name(&format!("dc-{append}")));
    entry(append, vec![record(append.into(), kind, None)])
}

fn snapshot(append: u64, as_of: u64, state: Vec<u8>) -> LogEntry {
    let kind = RecordKind::Snapshot { as_of: Offset::new(as_of, 0), state: state.into() };
    entry(append, vec![record(append.into(), kind, None)])
}

/// Returns a log of drains, with a snapshot at append 6 as of append 4.
fn log() -> Vec<LogEntry> {
    let mut log: Vec<LogEntry> = (1..=5).map(drain).collect();
    let state = recover(&log[..4], Limits::default()).unwrap();
    log.push(snapshot(6, 4, state.to_snapshot()));
    log.extend((7..=9).map(drain));
    log
}

fn drain_count(state: &Replicated) -> usize {
    state.drained_data_centres().count()
}

/// Guards against losing records that were appended while the snapshot was being encoded.
#[test]
fn records_between_as_of_and_the_snapshot_record_are_folded() {
    let log = log();
    let state = recover(&log[3..], Limits::default()).unwrap();
    assert_eq!(drain_count(&state), 8);
    assert_eq!(state.digest(), recover(&log, Limits::default()).unwrap().digest());
}

/// Guards against silently skipping records between the snapshot's `as_of` and the first append.
#[test]
fn a_log_that_starts_after_the_state_of_its_snapshot_is_refused() {
    let error = recover(&log()[4..], Limits::default()).unwrap_err();
    assert!(matches!(error, RecoverError::SnapshotTooOld { first: 5, .. }), "{error}");
}

/// Guards against recovering a state in which records are missing.
#[test]
fn a_gap_between_appends_is_refused_even_with_a_snapshot() {
    let mut log = log();
    log.remove(7);
    let error = recover(&log, Limits::default()).unwrap_err();
    assert!(matches!(error, RecoverError::Gap { after: 7, found: 9 }), "{error}");
}

/// Guards against taking a truncated log for a whole one.
#[test]
fn a_log_without_its_beginning_and_without_snapshot_is_refused() {
    let error = recover(&[drain(2), drain(3)], Limits::default()).unwrap_err();
    assert!(matches!(error, RecoverError::NoSnapshot { first: 2 }), "{error}");
    assert_eq!(recover(&[], Limits::default()).unwrap().last_offset(), None);
}

/// Guards against a damaged snapshot that keeps a node from starting.
#[test]
fn an_older_snapshot_is_used_if_the_newest_is_unreadable() {
    let mut log = log();
    log.push(snapshot(10, 9, vec![0xff; 40]));
    let state = recover(&log[3..], Limits::default()).unwrap();
    assert_eq!(drain_count(&state), 8);
    let error = recover(&log[6..], Limits::default()).unwrap_err();
    assert!(matches!(error, RecoverError::BadSnapshot { .. }), "{error}");
}

/// Guards against snapshot records that have an effect on the state or its audit trail.
#[test]
fn folding_a_snapshot_record_changes_no_object() {
    let mut fold = sample_fold();
    let before: Vec<_> = fold.state.groups().cloned().collect();
    let kind = RecordKind::Snapshot { as_of: Offset::new(1, 0), state: [1, 2][..].into() };
    fold.accept(kind);
    assert_eq!(fold.state.groups().cloned().collect::<Vec<_>>(), before);
    assert_eq!(fold.state.history().count(), 5);
}

/// Guards against claims that are lost or mixed up between the blocks of a snapshot.
#[test]
fn claims_of_several_blocks_survive_a_snapshot() {
    let mut fold = sample_fold();
    for number in 0..9_000_u128 {
        let kind = RecordKind::Claim {
            key: ClaimKey(number.to_be_bytes()),
            request_hash: RequestHash(number.to_le_bytes()),
            pool: name("orderdesk"),
            node: node(["entry-1", "entry-2"][number as usize % 2]),
        };
        fold.accept(kind);
    }
    fold.accept(complete(0, "entry-1", 50));
    let as_of = fold.state.last_offset().unwrap();
    let bytes = fold.state.to_snapshot();
    let read = Replicated::from_snapshot(as_of, &bytes, Limits::default()).unwrap();
    assert_eq!(read.to_snapshot(), bytes);
    let key = ClaimKey(8_999_u128.to_be_bytes());
    assert_eq!(read.claim(&key), fold.state.claim(&key));
    assert_eq!(read.claim_count(), 9_000);
}

fn decode_error(state: &pb::SnapshotState) -> SnapshotError {
    let as_of = Offset::new(5, 0);
    Replicated::from_snapshot(as_of, &state.encode_to_vec(), Limits::default()).unwrap_err()
}

/// Guards against decoding objects without the checks that the fold makes.
#[test]
fn a_snapshot_with_a_vm_in_two_groups_is_refused() {
    let mut state = pb::SnapshotState::decode(&sample_fold().state.to_snapshot()[..]).unwrap();
    let wire = balsam_wire::record::kind_to_pb(&group("g2", "assistant", &["vm-3", "vm-1"]));
    let mut object = state.objects.last().unwrap().clone();
    object.change = Some(wire);
    state.objects.push(object);
    assert!(matches!(decode_error(&state), SnapshotError::InvalidObject { .. }));
}

/// Guards against claims in a wrong order, which eviction from the front relies on.
#[test]
fn a_snapshot_with_claims_out_of_order_is_refused() {
    let mut fold = sample_fold();
    fold.accept(claim(1, "entry-1", 1));
    fold.accept(claim(2, "entry-1", 1));
    let mut state = pb::SnapshotState::decode(&fold.state.to_snapshot()[..]).unwrap();
    let block = state.claims[0].clone();
    state.claims.push(pb::Claims { keys: vec![9; 32], ..block });
    let as_of = fold.state.last_offset().unwrap();
    let result = Replicated::from_snapshot(as_of, &state.encode_to_vec(), Limits::default());
    assert!(matches!(result, Err(SnapshotError::Inconsistent { field: "append_delta" })));
}

/// Guards against damaged lengths and sizes that exhaust the memory of the node.
#[test]
fn a_snapshot_with_wrong_lengths_is_refused_before_memory_is_allocated() {
    let mut state = pb::SnapshotState::decode(&sample_fold().state.to_snapshot()[..]).unwrap();
    let ids = state.control_ids.as_mut().unwrap();
    ids.count = vec![u32::MAX; ids.count.len()];
    assert!(matches!(decode_error(&state), SnapshotError::Inconsistent { field: "ids" }));
    state.objects[0].summary = "x".repeat(balsam_state::snapshot::MAX_FIELD_BYTES);
    assert!(matches!(decode_error(&state), SnapshotError::TooLarge { .. }));
    // Each takes two bytes, but hundreds once decoded: the first empty object must end decoding.
    state.objects = vec![pb::Object::default(); 100_000];
    assert!(matches!(decode_error(&state), SnapshotError::Inconsistent { field: "change" }));
}

/// Guards against folding from a wrong offset, which would skip or repeat records.
#[test]
fn a_snapshot_with_another_offset_than_its_record_is_refused() {
    let bytes = sample_fold().state.to_snapshot();
    let result = Replicated::from_snapshot(Offset::new(4, 0), &bytes, Limits::default());
    assert!(matches!(result, Err(SnapshotError::WrongOffset { .. })));
}

/// Guards against a log whose beginning expires before a snapshot covers it.
#[rstest]
#[case::nothing_new(0, 0, 900, false)]
#[case::below_all_thresholds(9, 99, 249, false)]
#[case::records(10, 0, 0, true)]
#[case::bytes(1, 100, 0, true)]
#[case::a_quarter_of_the_retention(1, 0, 250, true)]
fn a_snapshot_is_due_well_before_retention_ends(
    #[case] records: u64,
    #[case] bytes: u64,
    #[case] age_ms: u64,
    #[case] due: bool,
) {
    let policy = SnapshotPolicy { max_records: 10, max_bytes: 100, retention_ms: 1_000 };
    assert_eq!(snapshot_due(&SnapshotProgress { records, bytes, age_ms }, &policy), due);
}
