//! Measures the growth rates for docs/CAPACITY.md: bytes per record kind, and memory and CPU time
//! of the replicated state by number of claims.
//!
//! Run with `cargo bench -p balsam-bench --bench capacity`. CPU time is that of the process, from
//! `/proc/self/schedstat`. Memory is the growth of the resident set in a new process for each size.

use std::env;
use std::fs;
use std::io;
use std::io::Write;
use std::process::Command;
use std::process::ExitCode;
use std::sync::Arc;

use balsam_state::Limits;
use balsam_state::Replicated;
use balsam_types::Author;
use balsam_types::ClaimKey;
use balsam_types::GroupSpec;
use balsam_types::Incarnation;
use balsam_types::InvalidValue;
use balsam_types::Offset;
use balsam_types::Record;
use balsam_types::RecordId;
use balsam_types::RecordKind;
use balsam_types::StoredResponse;
use balsam_types::claim::RequestHash;
use balsam_wire::record::decode_batch;
use balsam_wire::record::encode_batch;

/// Numbers of claims to measure.
const CLAIM_COUNTS: [u64; 4] = [25_000, 50_000, 100_000, 200_000];
/// Interval at which 200,000 claims just fit into the 24 h for which keys are kept.
const CLAIM_INTERVAL_MS: u64 = 430;
const KEYS_PER_BATCH: u64 = 100;

fn name<N: TryFrom<String, Error = InvalidValue>>(raw: String) -> N {
    N::try_from(raw).expect("the bench uses valid names")
}

fn node(number: u64) -> Incarnation {
    let vm = name(format!("entry-vm-{:04}", number % 390));
    Incarnation { vm, start_ms: 1_700_000_000_000, nonce: 2_000_000_000 }
}

fn record(author: u64, number: u64, kind: RecordKind) -> Record {
    Record {
        record_id: RecordId((u128::from(number) << 64) | 0x5a5a_5a5a_5a5a_5a5a),
        author: Author::Node(node(author)),
        at_ms: 1_700_000_000_000 + number,
        reason: Arc::from("claim"),
        expect_offset: None,
        kind,
    }
}

/// Distributes consecutive numbers over the key space, like a hash.
fn key(number: u64) -> [u8; 16] {
    let mixed = u128::from(number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
    mixed.to_le_bytes()
}

fn claim(number: u64) -> RecordKind {
    let pool = name("orderdesk".to_owned());
    let (key, request_hash) = (ClaimKey(key(number)), RequestHash(key(number + 7)));
    RecordKind::Claim { key, request_hash, pool, node: node(number) }
}

fn complete(number: u64, bytes: usize) -> RecordKind {
    let body = Some(Arc::from(vec![b'x'; bytes]));
    let response = StoredResponse { status: 201, content_type: "application/json".into(), body };
    RecordKind::Complete { key: ClaimKey(key(number)), node: node(number), response }
}

fn group() -> RecordKind {
    RecordKind::FormGroup(GroupSpec {
        group: name("assistant/0042".to_owned()),
        pool: name("assistant".to_owned()),
        data_centre: name("augsburg".to_owned()),
        fabric_domain: name("rack-17".to_owned()),
        members: (0..8).map(|vm| name(format!("runner-vm-{vm:04}"))).collect(),
        version: "v1".into(),
    })
}

fn print_figure(label: &str, value: f64, unit: &str) {
    writeln!(io::stdout(), "{label}\t{value:.3}\t{unit}").expect("standard output is writable");
}

fn record_bytes() {
    let size = |kind: RecordKind| encode_batch(&[record(1, 200_000, kind)]).len() as f64;
    print_figure("bytes/claim", size(claim(1)), "bytes");
    print_figure("bytes/complete_64", size(complete(1, 64)), "bytes");
    print_figure("bytes/complete_16384", size(complete(1, 16_384)), "bytes");
    print_figure("bytes/form_group", size(group()), "bytes");
}

/// Returns the CPU time of this process's only thread.
fn cpu_ns() -> u64 {
    let stat = fs::read_to_string("/proc/self/schedstat").expect("/proc is readable");
    let first = stat.split_whitespace().next().and_then(|field| field.parse().ok());
    first.expect("the field is a number")
}

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("/proc is readable");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.expect("VmRSS is listed") * 1_024
}

/// Decodes and folds a claim and its completion per key, in batches, and measures both.
fn fold(keys: u64) {
    let before = resident_bytes();
    let mut state = Replicated::new(Limits::default());
    let (mut used_ns, mut payload_bytes) = (0, 0);
    for batch in 0..keys / KEYS_PER_BATCH {
        let numbers = batch * KEYS_PER_BATCH..(batch + 1) * KEYS_PER_BATCH;
        let pairs = numbers.flat_map(|number| {
            let claim = record(number, 2 * number, claim(number));
            [claim, record(number, 2 * number + 1, complete(number, 64))]
        });
        let payload = encode_batch(&pairs.collect::<Vec<_>>());
        payload_bytes += payload.len();
        let at_ms = (batch + 1) * KEYS_PER_BATCH * CLAIM_INTERVAL_MS;
        let started_ns = cpu_ns();
        let records = decode_batch(&payload).expect("the bench encodes valid batches");
        for (index, record) in (0..).zip(&records) {
            let verdict = state.apply(Offset::new(batch + 1, index), at_ms, record);
            assert!(verdict.is_accepted(), "{verdict:?}");
        }
        used_ns += cpu_ns() - started_ns;
    }
    assert_eq!(state.claim_count() as u64, keys, "every claim is kept");
    let per_key = |total: f64| total / keys as f64;
    print_figure(&format!("state/{keys}/memory"), (resident_bytes() - before) as f64 / 1e6, "MB");
    print_figure(&format!("state/{keys}/cpu_per_key"), per_key(used_ns as f64 / 1e3), "us of CPU");
    print_figure(&format!("state/{keys}/payload_per_key"), per_key(payload_bytes as f64), "bytes");
}

fn main() -> ExitCode {
    if let Some(keys) = env::args().nth(1).and_then(|keys| keys.parse().ok()) {
        fold(keys);
        return ExitCode::SUCCESS;
    }
    record_bytes();
    let program = env::current_exe().expect("the path of the executable is known");
    let run = |keys: u64| Command::new(&program).arg(keys.to_string()).status();
    let succeeded = CLAIM_COUNTS
        .map(|keys| run(keys).expect("the bench can be started as a child process").success());
    if succeeded.iter().all(|ok| *ok) { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
