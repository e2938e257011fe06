//! The platform is down, slow or loses answers, also while entry nodes are replaced.

use std::time::Duration;

use balsam_standin::platform::PlatformFaults;
use tokio::time::sleep;

use crate::bed::NODES;
use crate::bed::TestBed;
use crate::calls::Call;
use crate::calls::Load;
use crate::calls::RequestKind;
use crate::exclusive_run;

const PLATFORM_DOWN: PlatformFaults = PlatformFaults {
    down: true,
    delay_ms: 0,
    lose_answer_every: 0,
    late_effect_ms: 0,
    appends_per_s: 0,
};

/// Sends idempotent and unkeyed requests, which need no claim, to each node; all must succeed.
pub async fn assert_requests_without_claim_succeed(
    bed: &TestBed,
    nodes: &[usize],
    name: &str,
) -> Vec<Call> {
    let caller = bed.caller(8_000);
    let mut calls = Vec::new();
    for node in nodes {
        for kind in [RequestKind::Report { tokens: 16 }, RequestKind::Lookup, RequestKind::Unkeyed]
        {
            let label = format!("{name}.{node}.{}", calls.len());
            calls.push(caller.call(kind, *node, &label, 1).await);
        }
    }
    assert!(calls.iter().all(Call::is_ok), "{calls:#?}");
    calls
}

/// Guards against a log outage that fails requests without a key or runs keyed requests twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_platform_outage_delays_only_keyed_requests_and_none_runs_twice() {
    let _guard = exclusive_run().await;
    let bed = TestBed::start(201).await;
    let caller = bed.caller(8_000);
    bed.platform.set_faults(PLATFORM_DOWN);
    sleep(Duration::from_secs(2)).await;
    let mut calls = assert_requests_without_claim_succeed(&bed, &NODES, "down").await;
    for node in NODES {
        let call = caller.call(RequestKind::Keyed, node, &format!("key{node}"), 1).await;
        assert!(call.is_unknown(), "{call:?}");
        assert!(call.response.as_ref().unwrap().retry_after, "{call:?}");
        eprintln!("keyed request refused after {} ms", call.took_ms);
        // Refused immediately; waiting for the confirmation of a claim would take 3 s.
        assert!(call.took_ms < 2_000, "{call:?}");
        calls.push(call);
    }
    bed.platform.set_faults(PlatformFaults::default());
    for node in NODES {
        let mut attempt = 1;
        loop {
            attempt += 1;
            let at = (node + attempt as usize) % NODES.len();
            let call = caller.call(RequestKind::Keyed, at, &format!("key{node}"), attempt).await;
            let is_ok = call.is_ok();
            calls.push(call);
            if is_ok {
                break;
            }
            assert!(attempt < 30, "never answered after the outage: {:#?}", calls.last());
            sleep(Duration::from_millis(500)).await;
        }
    }
    bed.assert_guarantees(&calls);
    check_slow_and_lossy_platform(&bed, calls).await;
}

async fn check_slow_and_lossy_platform(bed: &TestBed, mut calls: Vec<Call>) {
    let slow = PlatformFaults { delay_ms: 250, ..PlatformFaults::default() };
    let lossy =
        PlatformFaults { lose_answer_every: 2, late_effect_ms: 300, ..PlatformFaults::default() };
    for (name, faults) in [("slow", slow), ("lossy", lossy)] {
        bed.platform.set_faults(faults);
        let load = Load::start(&bed.caller(8_000), name, &NODES, 2);
        sleep(Duration::from_secs(4)).await;
        let more = load.finish().await;
        let failed = more.iter().filter(|call| call.kind != RequestKind::Keyed && !call.is_ok());
        assert_eq!(failed.collect::<Vec<_>>(), Vec::<&Call>::new(), "{name}");
        let keyed = more.iter().filter(|call| call.kind == RequestKind::Keyed);
        assert!(keyed.clone().any(Call::is_ok), "{name}: no keyed request was answered");
        assert!(keyed.clone().all(|call| call.is_ok() || call.is_unknown()), "{name}");
        calls.extend(more);
    }
    bed.platform.set_faults(PlatformFaults::default());
    bed.assert_guarantees(&calls);
}

/// Guards against replaced entry nodes that cannot recover their state while the platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn all_entry_nodes_of_a_data_centre_can_be_replaced_during_a_platform_outage() {
    let _guard = exclusive_run().await;
    let mut bed = TestBed::start(202).await;
    let load = Load::start(&bed.caller(8_000), "replace", &NODES[2..], 2);
    sleep(Duration::from_millis(500)).await;
    bed.platform.set_faults(PLATFORM_DOWN);
    sleep(Duration::from_millis(500)).await;
    for node in [0, 1] {
        bed.nodes[node].process.kill().unwrap();
    }
    for node in [0, 1] {
        bed.replace_node(node).await;
    }
    bed.wait("the replacement nodes are ready", |bed| {
        bed.nodes[..2].iter().all(|node| node.process.is_ready())
    })
    .await;
    let mut calls = assert_requests_without_claim_succeed(&bed, &[0, 1], "fresh").await;
    bed.platform.set_faults(PlatformFaults::default());
    bed.wait_serving(0).await;
    let other = load.finish().await;
    let failed = other.iter().filter(|call| call.kind.is_idempotent() && !call.is_ok());
    assert_eq!(failed.collect::<Vec<_>>(), Vec::<&Call>::new());
    calls.extend(other);
    bed.assert_guarantees(&calls);
}
