//! Entry nodes that are killed, paused and shut down.

use std::collections::BTreeSet;
use std::time::Duration;

use balsam_standin::estate::DATA_CENTRES;
use balsam_standin::estate::MODEL_POOL;
use balsam_standin::platform::PlatformFaults;
use tokio::time::sleep;

use crate::bed::LONG_TIMEOUT;
use crate::bed::NODES;
use crate::bed::TestBed;
use crate::calls::Call;
use crate::calls::Load;
use crate::calls::RequestKind;
use crate::checker::StopReason;
use crate::exclusive_run;

/// Guards against requests that run twice or are falsely reported as `not_run` when a node dies
/// while it handles them.
#[tokio::test(flavor = "multi_thread")]
async fn killing_an_entry_node_fails_no_request_of_others_and_runs_none_twice() {
    let _guard = exclusive_run().await;
    let mut bed = TestBed::start(101).await;
    // Slow appends keep claims pending, so that the node dies between claim and answer.
    bed.platform.set_faults(PlatformFaults { delay_ms: 40, ..PlatformFaults::default() });
    let load = Load::start(&bed.caller(8_000), "kill", &NODES, 3);
    sleep(Duration::from_secs(2)).await;
    bed.nodes[1].process.kill().unwrap();
    sleep(Duration::from_secs(2)).await;
    bed.replace_node(1).await;
    bed.wait("the replacement node is ready", |bed| bed.nodes[1].process.is_ready()).await;
    sleep(Duration::from_secs(1)).await;
    let calls = load.finish().await;
    bed.assert_guarantees(&calls);
    let elsewhere: Vec<&Call> = calls.iter().filter(|c| c.node != 1).collect();
    let failed = elsewhere.iter().filter(|call| call.kind.is_idempotent() && !call.is_ok());
    assert_eq!(failed.collect::<Vec<_>>(), Vec::<&&Call>::new());
    let repeats: Vec<_> = elsewhere.iter().filter(|call| call.attempt > 1).collect();
    assert!(!repeats.is_empty(), "no keyed request was interrupted by the death of its node");
    assert!(repeats.iter().all(|call| call.is_ok() || call.is_unknown()), "{repeats:#?}");
}

/// Guards against a node that acts on outdated state after a pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_entry_node_dispatches_no_stale_claim_and_uses_no_stale_evidence() {
    let _guard = exclusive_run().await;
    let mut bed = TestBed::start(102).await;
    bed.platform.set_faults(PlatformFaults { delay_ms: 200, ..PlatformFaults::default() });
    // Without a spare the group of the killed member stays incomplete.
    for spare in bed.spares(DATA_CENTRES[0]).await {
        bed.kill_endpoint(&spare);
    }
    let group = bed.members(MODEL_POOL, DATA_CENTRES[0]).await.remove(0);
    let load = Load::start(&bed.caller(2_500), "pause", &[1, 2], 6);
    sleep(Duration::from_secs(1)).await;
    // A node has one append in flight, so when the first of these claims is in the log, the others
    // are still pending.
    let caller = bed.caller(2_500);
    let claims: Vec<_> = (0..20)
        .map(|number| {
            let caller = caller.clone();
            tokio::spawn(async move { caller.register(0, &format!("claim{number}")).await })
        })
        .collect();
    let vm = format!("{}-entry-1", DATA_CENTRES[0]);
    let batches_of_node = |bed: &TestBed| {
        let batches = bed.platform.batches();
        batches
            .iter()
            .filter(|(_, batch)| batch.windows(vm.len()).any(|w| w == vm.as_bytes()))
            .count()
    };
    let before = batches_of_node(&bed);
    bed.wait("a claim is appended", |bed| batches_of_node(bed) > before).await;
    bed.nodes[0].process.pause().unwrap();
    bed.kill_endpoint(&group[1]);
    sleep(Duration::from_secs(5)).await;
    let executed_before_resume: BTreeSet<String> =
        bed.runs().into_iter().map(|run| run.label).collect();
    bed.nodes[0].process.resume().unwrap();
    bed.watch_stopped_endpoints(
        group[0].as_str(),
        StopReason::MemberMissing,
        Duration::from_secs(2),
    )
    .await;
    let mut calls = load.finish().await;
    for claim in claims {
        calls.extend(claim.await.unwrap());
    }
    bed.assert_guarantees(&calls);
    let repeats: Vec<_> =
        calls.iter().filter(|c| c.label.starts_with("claim") && c.attempt > 1).collect();
    eprintln!("repeated attempts of claims at the pause: {}", repeats.len());
    assert!(
        repeats.iter().any(|call| call.is_unknown()),
        "no claim was interrupted by the pause: {repeats:#?}"
    );
    let given_up: BTreeSet<&String> =
        calls.iter().filter(|call| call.is_given_up()).map(|call| &call.label).collect();
    let executed: BTreeSet<String> = bed.runs().into_iter().map(|run| run.label).collect();
    let executed_late: Vec<_> =
        executed.difference(&executed_before_resume).filter(|l| given_up.contains(l)).collect();
    assert!(
        executed_late.is_empty(),
        "ran after a caller was told that it never will: {executed_late:?}"
    );
    let interrupted = calls.iter().filter(|call| call.node == 0 && call.response.is_err()).count();
    assert!(interrupted > 0, "no request was interrupted by the pause");
}

/// Guards against a shutdown that cuts streams.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_entry_node_completes_every_open_stream() {
    let _guard = exclusive_run().await;
    let mut bed = TestBed::start(103).await;
    let caller = bed.caller(25_000);
    let streams: Vec<_> = (0..20)
        .map(|number| {
            let caller = caller.clone();
            let kind = RequestKind::Report { tokens: 1_500 };
            tokio::spawn(async move { caller.call(kind, 1, &format!("s{number}"), 1).await })
        })
        .collect();
    bed.wait("the streams run", |bed| bed.executions().len() == 20).await;
    bed.nodes[1].process.terminate().unwrap();
    bed.wait("readiness fails", |bed| !bed.nodes[1].process.is_ready()).await;
    let mut calls = Vec::new();
    for stream in streams {
        calls.push(stream.await.unwrap());
    }
    let status = bed.nodes[1].process.wait_for_exit(LONG_TIMEOUT).unwrap();
    assert_eq!(status.code(), Some(0), "{}", bed.nodes[1].process.log());
    assert!(calls.iter().all(Call::is_ok), "{calls:#?}");
    bed.assert_guarantees(&calls);
}
