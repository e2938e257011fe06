//! Benchmarks of the fold, of memory use and of snapshots, each compared with a bound.
//!
//! Run with `cargo bench -p balsam-state`. Prints one line per result and exits with status 1 if a
//! result is outside its bound. Memory is the growth of the resident set, which includes what the
//! allocator cannot return, so the memory per claim is an upper estimate.

use std::env;
use std::fs;
use std::io;
use std::io::Write;
use std::process::Command;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Instant;

use balsam_state::Limits;
use balsam_state::LogEntry;
use balsam_state::Replicated;
use balsam_state::Verdict;
use balsam_state::recover;
use balsam_state::snapshot::MAX_SNAPSHOT_BYTES;
use balsam_types::Author;
use balsam_types::ClaimKey;
use balsam_types::GroupSpec;
use balsam_types::Incarnation;
use balsam_types::InvalidValue;
use balsam_types::Offset;
use balsam_types::PoolKind;
use balsam_types::PoolSpec;
use balsam_types::Record;
use balsam_types::RecordId;
use balsam_types::RecordKind;
use balsam_types::StoredResponse;
use balsam_types::claim::RequestHash;
use balsam_wire::record::decode_batch;
use balsam_wire::record::encode_batch;
use sha2::Digest;
use sha2::Sha256;

const ENTRY_NODES: u64 = 390;
const GROUPS: u64 = 112;
const GROUP_VMS: u64 = 8;
const BATCH_RECORDS: usize = 100;
const REPLAY_RECORDS: u64 = 200_000;
const MAX_CLAIMS: u64 = 400_000;

/// Time between two claims in the log; 400,000 claims then fit in the 24 h of the key window.
const CLAIM_INTERVAL_MS: u64 = 200;

fn name<N: TryFrom<String, Error = InvalidValue>>(raw: String) -> N {
    N::try_from(raw).expect("the benchmark uses valid names")
}

fn node(number: u64) -> Incarnation {
    let vm = name(format!("entry-{}", number % ENTRY_NODES));
    Incarnation { vm, start_ms: 1_700_000_000_000, nonce: 7 }
}

fn record(number: u64, kind: RecordKind) -> Record {
    Record {
        record_id: RecordId((u128::from(number) << 64) | 0x5a5a),
        author: Author::Node(node(number)),
        at_ms: number,
        reason: Arc::from("bench"),
        expect_offset: None,
        kind,
    }
}

fn hash(number: u64) -> [u8; 16] {
    let full_hash = Sha256::digest(number.to_le_bytes());
    let mut prefix = [0; 16];
    prefix.copy_from_slice(&full_hash[..16]);
    prefix
}

fn claim(number: u64) -> RecordKind {
    let (key, request_hash) = (ClaimKey(hash(number)), RequestHash(hash(number + 1)));
    let pool = name("orderdesk".to_owned());
    RecordKind::Claim { key, request_hash, pool, node: node(number) }
}

fn complete(number: u64, body_bytes: usize) -> RecordKind {
    let body = Some(Arc::from(vec![b'x'; body_bytes]));
    let response = StoredResponse { status: 201, content_type: "application/json".into(), body };
    RecordKind::Complete { key: ClaimKey(hash(number)), node: node(number), response }
}

fn pool(limit: u32) -> RecordKind {
    RecordKind::PutPool(PoolSpec {
        pool: name("assistant".to_owned()),
        kind: PoolKind::Model,
        model: "m".into(),
        version: "1".into(),
        group_vms: GROUP_VMS as u32,
        target_groups: GROUPS as u32,
        limit,
        cold_limit: 1,
        checks_fence: true,
        not_run_statuses: vec![503],
        weight_bytes: 1 << 36,
    })
}

fn group(number: u64) -> RecordKind {
    let first = number * GROUP_VMS;
    RecordKind::FormGroup(GroupSpec {
        group: name(format!("group-{number}")),
        pool: name("assistant".to_owned()),
        data_centre: name("augsburg".to_owned()),
        fabric_domain: name(format!("rack-{}", number / 2)),
        members: (first..first + GROUP_VMS).map(|vm| name(format!("runner-{vm}"))).collect(),
        version: "v1".into(),
    })
}

/// Returns records that form 112 groups, then claims of which nine in ten complete, with a change
/// of a pool every hundred records: about 1,700 changes a day at the rate of the claims.
fn kinds(records: u64) -> impl Iterator<Item = RecordKind> {
    let deployment = std::iter::once(pool(8)).chain((0..GROUPS).map(group));
    let claims_and_changes = (0..records - GROUPS - 1).map(|number| match number % 100 {
        99 => pool(8 + (number % 5) as u32),
        _ if number % 2 == 0 => claim(number),
        position if position < 90 => complete(number - 1, 64),
        _ => claim(number),
    });
    deployment.chain(claims_and_changes)
}

fn payloads(records: u64) -> Vec<(u64, Vec<u8>)> {
    let mut payloads = Vec::new();
    let mut batch = Vec::with_capacity(BATCH_RECORDS);
    for (number, kind) in (0..).zip(kinds(records)) {
        batch.push(record(number, kind));
        if batch.len() == BATCH_RECORDS || number + 1 == records {
            payloads.push((number * CLAIM_INTERVAL_MS, encode_batch(&batch)));
            batch.clear();
        }
    }
    payloads
}

/// Returns a size from `/proc/self/status`: `VmRSS:` is the resident set, `VmHWM:` its peak.
fn status_bytes(field: &str) -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("/proc is readable");
    let line = status.lines().find(|line| line.starts_with(field));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.expect("the field is listed") * 1024
}

struct Report {
    all_within_bounds: bool,
}

impl Report {
    fn check(
        &mut self,
        figure: &str,
        value: f64,
        unit: &str,
        is_lower_bound: bool,
        bound: f64,
        source: &str,
    ) {
        let is_within = if is_lower_bound { value >= bound } else { value <= bound };
        self.all_within_bounds &= is_within;
        let relation = if is_lower_bound { "at least" } else { "at most" };
        let verdict = if is_within { "ok" } else { "OUTSIDE" };
        let line =
            format!("{figure}: {value:.3} {unit}, {relation} {bound:.3} ({source}): {verdict}");
        writeln!(io::stdout(), "{line}").expect("standard output is writable");
    }

    fn exit_code(&self) -> ExitCode {
        if self.all_within_bounds { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }

    fn check_at_most(&mut self, figure: &str, value: f64, unit: &str, bound: f64, source: &str) {
        self.check(figure, value, unit, false, bound, source);
    }
}

/// A state that folds records at ascending offsets, appended at the time of the last claim.
struct FoldedState {
    state: Replicated,
    next_append: u64,
    claims: u64,
}

impl FoldedState {
    fn new(limits: Limits) -> Self {
        Self { state: Replicated::new(limits), next_append: 1, claims: 0 }
    }

    fn apply(&mut self, kind: RecordKind) -> Verdict {
        let offset = Offset::new(self.next_append, 0);
        self.next_append += 1;
        let record = record(self.next_append, kind);
        self.state.apply(offset, self.claims * CLAIM_INTERVAL_MS, &record)
    }

    fn fold_claims_up_to(&mut self, claims: u64) {
        while self.claims < claims {
            self.claims += 1;
            let verdict = self.apply(claim(self.claims));
            assert!(verdict.is_accepted(), "claim {}: {verdict:?}", self.claims);
        }
        assert_eq!(self.state.claim_count() as u64, claims);
    }
}

fn mb(bytes: u64) -> f64 {
    bytes as f64 / 1e6
}

/// Folds the pool and its groups, and fills the audit trail.
fn fold_configuration(folded: &mut FoldedState) {
    let deployment = std::iter::once(pool(8)).chain((0..GROUPS).map(group));
    let pool_changes = (0..Limits::default().history_entries as u32).map(|index| pool(8 + index));
    deployment.chain(pool_changes).for_each(|kind| assert!(folded.apply(kind).is_accepted()));
}

/// Fills the stored responses and the record ids up to their limits.
fn fill_to_limits(folded: &mut FoldedState) {
    let defaults = Limits::default();
    for number in 1..=defaults.max_stored_bytes as u64 / 1_024 {
        assert!(folded.apply(complete(number, 1_000)).is_accepted());
    }
    for number in 0..defaults.max_record_ids as u64 {
        assert!(!folded.apply(claim(number + 1)).is_accepted());
    }
}

/// Measures memory; must run first, while the process holds nothing else.
fn measure_memory(report: &mut Report) {
    let baseline = status_bytes("VmRSS:");
    let limits = Limits { max_claims: MAX_CLAIMS as usize, ..Limits::default() };
    let mut folded = FoldedState::new(limits);
    fold_configuration(&mut folded);
    let configured = status_bytes("VmRSS:");
    folded.fold_claims_up_to(MAX_CLAIMS);
    let per_claim = (status_bytes("VmRSS:") - configured) as f64 / MAX_CLAIMS as f64;
    report.check_at_most(
        "memory per claim at 400,000",
        per_claim,
        "bytes",
        150.0,
        "requirement: 150 per claim",
    );
    fill_to_limits(&mut folded);
    let growth = status_bytes("VmRSS:") - baseline;
    let source = "design, section 3";
    report.check_at_most("control state at 400,000 claims", mb(growth), "MB", 64.0, source);
}

/// Measures peak memory while a snapshot is encoded. Runs in a separate process, as memory freed by
/// an earlier phase would hide part of the peak.
fn measure_peak_memory(report: &mut Report) {
    let baseline = status_bytes("VmRSS:");
    let mut folded = FoldedState::new(Limits::default());
    fold_configuration(&mut folded);
    folded.fold_claims_up_to(Limits::default().max_claims as u64);
    fill_to_limits(&mut folded);
    let source = "design, section 3";
    let growth = status_bytes("VmRSS:") - baseline;
    report.check_at_most("control state at the default caps", mb(growth), "MB", 64.0, source);
    let snapshot_mb = folded.state.to_snapshot().len() as f64 / 1e6;
    let figure = format!("the same at its peak, with one encoded snapshot of {snapshot_mb:.1} MB");
    report.check_at_most(&figure, mb(status_bytes("VmHWM:") - baseline), "MB", 64.0, source);
}

/// The argument with which the benchmark starts itself to measure peak memory.
const PEAK_ARGUMENT: &str = "peak";

fn measure_peak_in_subprocess(report: &mut Report) {
    let program = env::current_exe().expect("the path of the benchmark is known");
    let status =
        Command::new(program).arg(PEAK_ARGUMENT).status().expect("the benchmark can start itself");
    report.all_within_bounds &= status.success();
}

fn measure_replay(report: &mut Report) {
    let payloads = payloads(REPLAY_RECORDS);
    let bytes: usize = payloads.iter().map(|(_, payload)| payload.len()).sum();
    let start = Instant::now();
    let entries: Vec<LogEntry> = (1..)
        .zip(&payloads)
        .map(|(append, (appended_at_ms, payload))| LogEntry {
            append,
            appended_at_ms: *appended_at_ms,
            records: decode_batch(payload).expect("the benchmark encodes valid batches"),
        })
        .collect();
    let decoded_s = start.elapsed().as_secs_f64();
    let state = recover(&entries, Limits::default()).expect("the log is complete");
    let total_s = start.elapsed().as_secs_f64();
    let figure = format!(
        "replay of 200,000 records ({:.1} MB, {} claims) with decoding",
        bytes as f64 / 1e6,
        state.claim_count()
    );
    report.check_at_most(&figure, total_s, "s", 2.0, "design, section 17");
    let rate = REPLAY_RECORDS as f64 / (total_s - decoded_s);
    let source = "200,000 records in 2 s";
    report.check("fold rate", rate, "records/s", true, 100_000.0, source);
}

fn measure_snapshots(report: &mut Report) {
    let mut folded = FoldedState::new(Limits::default());
    for claims in [10_000, 50_000, 100_000, 200_000] {
        folded.fold_claims_up_to(claims);
        let state = &folded.state;
        let start = Instant::now();
        let bytes = state.to_snapshot();
        let encoded_s = start.elapsed().as_secs_f64();
        let as_of = state.last_offset().expect("records were folded");
        let start = Instant::now();
        let decoded = Replicated::from_snapshot(as_of, &bytes, Limits::default());
        let decoded_s = start.elapsed().as_secs_f64();
        assert_eq!(decoded.expect("the snapshot is valid").claim_count() as u64, claims);
        let bound = MAX_SNAPSHOT_BYTES as f64 * claims as f64 / MAX_CLAIMS as f64;
        let figure = format!("snapshot size at {claims} claims");
        let source = "largest snapshot read, in proportion to 400,000 claims";
        report.check_at_most(&figure, bytes.len() as f64 / 1e6, "MB", bound / 1e6, source);
        let source = "design, section 17: replay in 2 s";
        report.check_at_most(
            &format!("snapshot encoding at {claims} claims"),
            encoded_s,
            "s",
            2.0,
            source,
        );
        report.check_at_most(
            &format!("snapshot decoding at {claims} claims"),
            decoded_s,
            "s",
            2.0,
            source,
        );
    }
}

fn main() -> ExitCode {
    let mut report = Report { all_within_bounds: true };
    if env::args().any(|argument| argument == PEAK_ARGUMENT) {
        measure_peak_memory(&mut report);
        return report.exit_code();
    }
    measure_memory(&mut report);
    measure_peak_in_subprocess(&mut report);
    measure_replay(&mut report);
    measure_snapshots(&mut report);
    report.exit_code()
}
