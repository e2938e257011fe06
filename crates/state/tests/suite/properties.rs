//! Property tests on random logs with duplicates, stale expected offsets and restarts.

use std::collections::BTreeMap;

use balsam_state::Limits;
use balsam_state::LogEntry;
use balsam_state::Replicated;
use balsam_state::Verdict;
use balsam_state::recover;
use balsam_types::ClaimKey;
use balsam_types::Incarnation;
use balsam_types::Offset;
use balsam_types::Record;
use balsam_types::RecordKind;
use balsam_types::record::ObjectRef;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

use crate::common::*;

const SEED: u64 = 20_261_204;
const CASES: u32 = 120;
const KEY_WINDOW_MS: u64 = 400;

/// Returns windows and limits that are small enough for random logs to reach them.
fn limits() -> Limits {
    Limits {
        key_window_ms: KEY_WINDOW_MS,
        max_claims: 3,
        max_stored_bytes: 40,
        control_id_window_ms: 800,
        claim_id_window_ms: 300,
        max_record_ids: 30,
        removed_window_ms: 600,
        max_tombstones: 4,
        max_plans: 3,
        max_plan_bytes: 1_000,
        history_entries: 12,
        max_history_bytes: 3_000,
    }
}

#[derive(Debug, Clone, Copy)]
enum Expect {
    Nothing,
    Absent,
    Current,
    Stale,
}

#[derive(Debug, Clone)]
struct Op {
    kind: RecordKind,
    expect: Expect,
    /// If set, the record that many positions back in the log is appended again instead.
    repeat_back: Option<usize>,
    is_same_batch: bool,
    time_step_ms: i64,
}

const VMS: [&str; 5] = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"];
const NAMES: [&str; 3] = ["a", "b", "c"];

fn any_name() -> impl Strategy<Value = &'static str> {
    prop::sample::select(&NAMES[..])
}

fn any_plan() -> impl Strategy<Value = &'static str> {
    prop::sample::select(&NAMES[..2])
}

fn any_claimant() -> impl Strategy<Value = &'static str> {
    prop::sample::select(&VMS[..2])
}

fn any_vm() -> impl Strategy<Value = &'static str> {
    prop::sample::select(&VMS[..])
}

fn any_change() -> impl Strategy<Value = RecordKind> {
    let remove = any_name().prop_flat_map(|raw| {
        prop::sample::select(vec![
            RecordKind::RemoveOrganisation(name(raw)),
            RecordKind::RemovePool(name(raw)),
            RecordKind::RemoveRoute(name(raw)),
            RecordKind::DrainDataCentre(name(raw)),
            RecordKind::ReturnDataCentre(name(raw)),
            RecordKind::RetireGroup(name(raw)),
        ])
    });
    let members = prop::sample::subsequence(&VMS[..], 1..=2);
    prop_oneof![
        2 => remove,
        3 => any_name().prop_map(|raw| RecordKind::RetireGroup(name(raw))),
        1 => (any_name(), prop::sample::select(vec!['1', '2'])).prop_map(|(o, t)| organisation(o, t)),
        2 => (any_name(), 1..3_u32).prop_map(|(raw, group_vms)| pool(raw, group_vms)),
        1 => (any_name(), any_name(), any_name())
            .prop_map(|(r, prefix, p)| route(r, &format!("/{prefix}"), p)),
        4 => (any_name(), any_name(), members).prop_map(|(g, p, members)| group(g, p, &members)),
        1 => (any_name(), any_vm()).prop_map(|(g, vm)| owner(g, vm)),
    ]
}

fn any_kind() -> impl Strategy<Value = RecordKind> {
    let depends_on = vec(any_name().prop_map(|raw| ObjectRef::Group(name(raw))), 0..2);
    let steps = vec(vec(any_change(), 0..3), 1..4);
    let proposal =
        (any_plan(), 0..12_u64, depends_on, steps).prop_map(|(p, based_on, depends_on, steps)| {
            let steps: Vec<&[RecordKind]> = steps.iter().map(|step| &step[..]).collect();
            plan(p, Offset::new(based_on, 0), &depends_on, &steps)
        });
    prop_oneof![
        8 => any_change(),
        2 => proposal,
        4 => any_plan().prop_map(confirm),
        1 => any_plan().prop_map(|p| RecordKind::AbortPlan(name(p))),
        6 => (any_plan(), 1..3_u32).prop_map(|(p, step)| step_done(p, step)),
        5 => (0..4_u8, any_claimant(), 0..2_u8).prop_map(|(k, vm, request)| claim(k, vm, request)),
        3 => (0..4_u8, any_claimant()).prop_map(|(k, vm)| release(k, vm)),
        3 => (0..4_u8, any_claimant(), 0..20_usize).prop_map(|(k, vm, bytes)| complete(k, vm, bytes)),
    ]
}

fn any_op() -> impl Strategy<Value = Op> {
    let expect = prop_oneof![
        6 => Just(Expect::Nothing),
        1 => Just(Expect::Absent),
        2 => Just(Expect::Current),
        1 => Just(Expect::Stale),
    ];
    let repeat_back = prop::option::weighted(0.1, 1..12_usize);
    let time_step_ms = prop_oneof![16 => 0..20_i64, 2 => -30..0_i64, 1 => 100..500_i64];
    (any_kind(), expect, repeat_back, any::<bool>(), time_step_ms).prop_map(
        |(kind, expect, repeat_back, is_same_batch, time_step_ms)| Op {
            kind,
            expect,
            repeat_back,
            is_same_batch,
            time_step_ms,
        },
    )
}

type Log = Vec<(Offset, u64, Record)>;

/// Checks that no VM is in two groups, that `group_of` is consistent and owners have a group.
fn check_groups(state: &Replicated) {
    let mut seen = BTreeMap::new();
    for group in state.groups() {
        for member in &group.value.members {
            let other = seen.insert(member.clone(), group.value.group.clone());
            assert_eq!(other, None, "{member} is in two groups");
            assert_eq!(state.group_of(member), Some(&group.value.group));
        }
    }
    let free = VMS.iter().map(|vm| name(vm)).filter(|vm| !seen.contains_key(vm));
    free.for_each(|vm| assert_eq!(state.group_of(&vm), None));
    for (group, _) in state.owners() {
        assert!(state.group(group).is_some(), "owner of the missing group {group}");
    }
}

/// The holders of claims, derived from accepted records alone, to check the state's own table.
#[derive(Default)]
struct ClaimHolders(BTreeMap<ClaimKey, (Incarnation, u64)>);

impl ClaimHolders {
    fn check(&mut self, kind: &RecordKind, now_ms: u64) {
        match kind {
            RecordKind::Claim { key, node, .. } => {
                if let Some((holder, at_ms)) = self.0.insert(*key, (node.clone(), now_ms)) {
                    let expired = at_ms + KEY_WINDOW_MS < now_ms;
                    assert!(expired, "{key:?} was granted to {node} while {holder} held it");
                }
            }
            RecordKind::Release { key, node } => {
                let held = self.0.remove(key).map(|(holder, _)| holder);
                assert_eq!(held.as_ref(), Some(node));
            }
            _ => {}
        }
    }
}

/// Prepends the pools that most operations need; without them nearly every group is rejected.
fn with_pools(ops: Vec<Op>) -> Vec<Op> {
    let op = |kind| {
        let (expect, is_same_batch) = (Expect::Nothing, false);
        Op { kind, expect, repeat_back: None, is_same_batch, time_step_ms: 1 }
    };
    let pools = [pool("a", 1), pool("b", 2), pool("c", 2)];
    pools.into_iter().map(op).chain(ops).collect()
}

/// Folds the operations, checks the invariants after each, and returns the state and the log.
fn fold_checked(ops: &[Op]) -> (Replicated, Log) {
    let mut state = Replicated::new(limits());
    let mut log = Log::new();
    let mut holders = ClaimHolders::default();
    let (mut offset, mut at_ms) = (Offset::new(0, 0), 10_000_u64);
    for op in ops {
        let is_same_batch = op.is_same_batch && offset.append > 0;
        if is_same_batch {
            offset.index += 1;
        } else {
            offset = Offset::new(offset.append + 1, 0);
            at_ms = at_ms.saturating_add_signed(op.time_step_ms);
        }
        let object = op.kind.object().unwrap();
        let expect = match op.expect {
            Expect::Nothing => None,
            Expect::Absent => Some(Offset::default()),
            Expect::Current => state.last_change(&object),
            Expect::Stale => Some(Offset::new(1, 0)),
        };
        let earlier = op.repeat_back.and_then(|back| log.len().checked_sub(back));
        let record = match earlier {
            Some(index) => log[index].2.clone(),
            None => record(log.len() as u128, op.kind.clone(), expect),
        };
        let verdict = state.apply(offset, at_ms, &record);
        assert_eq!(state.last_offset(), Some(offset));
        if verdict.is_accepted() {
            holders.check(&record.kind, state.now_ms());
        }
        check_groups(&state);
        if let Some((earlier, _, _)) = log.last() {
            let reappended = with_unused_id(&record);
            assert_eq!(state.apply(*earlier, at_ms, &reappended), Verdict::Duplicate);
            assert_eq!(state.last_offset(), Some(offset), "the offset went back");
        }
        log.push((offset, at_ms, record));
    }
    (state, log)
}

/// Returns the record with an id that was never folded.
fn with_unused_id(record: &Record) -> Record {
    Record { record_id: balsam_types::RecordId(u128::MAX), ..record.clone() }
}

fn restart(state: &Replicated) -> Replicated {
    let as_of = state.last_offset().unwrap();
    Replicated::from_snapshot(as_of, &state.to_snapshot(), limits()).unwrap()
}

fn runner() -> TestRunner {
    eprintln!("seed {SEED}, {CASES} cases");
    TestRunner::new(ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

/// Guards against state that is missing from snapshots, so that restarted nodes diverge.
#[test]
fn a_node_restarted_after_any_record_has_the_same_state() {
    let mut runner = runner();
    let strategy = (vec(any_op(), 1..120).prop_map(with_pools), any::<prop::sample::Index>());
    let result = runner.run(&strategy, |(ops, first_restart)| {
        let (state, log) = fold_checked(&ops);
        let first_restart = first_restart.index(log.len());
        let (mut uninterrupted, mut restarted) =
            (Replicated::new(limits()), Replicated::new(limits()));
        for (number, (offset, at_ms, record)) in log.iter().enumerate() {
            let expected = uninterrupted.apply(*offset, *at_ms, record);
            prop_assert_eq!(restarted.apply(*offset, *at_ms, record), expected);
            // Restarts at a random position, and then after every record.
            if number >= first_restart {
                restarted = restart(&restarted);
            }
        }
        prop_assert_eq!(uninterrupted.digest(), state.digest());
        prop_assert_eq!(restarted.digest(), state.digest());
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

fn entries(log: &Log) -> Vec<LogEntry> {
    let mut entries: Vec<LogEntry> = Vec::new();
    for (offset, appended_at_ms, record) in log {
        let append = offset.append;
        if entries.last().is_none_or(|entry| entry.append != append) {
            let appended_at_ms = *appended_at_ms;
            entries.push(LogEntry { append, appended_at_ms, records: Vec::new() });
        }
        entries.last_mut().unwrap().records.push(record.clone());
    }
    entries
}

/// Guards against a state that depends on records before the retained part of the log.
#[test]
fn a_new_node_recovers_the_same_state_from_the_retained_log() {
    let mut runner = runner();
    let index = any::<prop::sample::Index>;
    let strategy = (vec(any_op(), 2..60).prop_map(with_pools), index(), index(), index());
    let result = runner.run(&strategy, |(ops, as_of, snapshot_index, drain_index)| {
        let (_, mut log) = fold_checked(&ops);
        // Other records are appended between the snapshot's `as_of` and its own record.
        let as_of = as_of.index(log.len());
        let snapshot_index = as_of + 1 + snapshot_index.index(log.len() - as_of);
        let mut as_of_state = Replicated::new(limits());
        log[..=as_of].iter().for_each(|(offset, at_ms, record)| {
            as_of_state.apply(*offset, *at_ms, record);
        });
        let as_of_offset = log[as_of].0;
        let state = as_of_state.to_snapshot().into();
        let kind = RecordKind::Snapshot { as_of: as_of_offset, state };
        let at_ms = log[snapshot_index - 1].1;
        let snapshot = record(1 << 64, kind, None);
        log.insert(snapshot_index, (Offset::default(), at_ms, snapshot));
        for (number, (offset, ..)) in log.iter_mut().enumerate().skip(snapshot_index) {
            let append = ops.len() as u64 + 1 + number as u64;
            *offset = Offset::new(append, 0);
        }
        // Offsets before the snapshot record stay; later ones become contiguous again.
        let shift = log[snapshot_index].0.append - log[snapshot_index - 1].0.append - 1;
        log.iter_mut().skip(snapshot_index).for_each(|(offset, ..)| offset.append -= shift);
        let mut uninterrupted = Replicated::new(limits());
        log.iter().for_each(|(offset, at_ms, record)| {
            uninterrupted.apply(*offset, *at_ms, record);
        });
        let mut retained_entries = entries(&log);
        let as_of_entry =
            retained_entries.iter().position(|e| e.append == as_of_offset.append).unwrap();
        retained_entries.drain(..drain_index.index(as_of_entry + 1));
        let recovered = recover(&retained_entries, limits()).unwrap();
        prop_assert_eq!(recovered.digest(), uninterrupted.digest());
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// Guards against a panic of the node on damaged snapshots.
#[test]
fn damaged_snapshots_are_refused_or_read_without_a_panic() {
    let mut runner = runner();
    let damage = vec((any::<prop::sample::Index>(), any::<u8>()), 0..4);
    let strategy = (
        vec(any_op(), 20..40).prop_map(with_pools),
        damage,
        any::<prop::sample::Index>(),
        any::<bool>(),
    );
    let result = runner.run(&strategy, |(ops, damage, length, is_truncated)| {
        let (state, _) = fold_checked(&ops);
        let as_of = state.last_offset().unwrap();
        let mut bytes = state.to_snapshot();
        for (position, value) in damage {
            let position = position.index(bytes.len());
            bytes[position] = value;
        }
        if is_truncated {
            bytes.truncate(length.index(bytes.len()));
        }
        // A state that is decoded despite the damage must still fold records and encode.
        if let Ok(mut decoded) = Replicated::from_snapshot(as_of, &bytes, limits()) {
            check_groups(&decoded);
            let next = Offset::new(as_of.append + 1, 0);
            decoded.apply(next, state.now_ms() + 1, &record(1 << 70, claim(9, "vm-1", 1), None));
            decoded.to_snapshot();
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}
