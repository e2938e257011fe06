//! Answers that entry nodes of other data centres pass on, and silences of these nodes.

use std::time::Duration;

use balsam_standin::endpoint::Fault;
use balsam_standin::estate::DATA_CENTRES;
use balsam_wire::pb::operator::v1::DrainDataCentre;
use balsam_wire::pb::operator::v1::intent::Intent;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::bed::BLACK_HOLE;
use crate::bed::MODEL_GROUPS;
use crate::bed::NO_FAULTS;
use crate::bed::PLAIN_GROUPS;
use crate::bed::STOP_LIMIT;
use crate::bed::TestBed;
use crate::calls::Call;
use crate::calls::RequestKind;
use crate::exclusive_run;

/// Nodes of the drained data centre, which forward, and those of the others, which serve.
const FORWARDING: [usize; 2] = [0, 1];
const SERVING: [usize; 4] = [2, 3, 4, 5];

/// Starts a bed whose first data centre is drained, so that its nodes forward all requests.
async fn start_forwarding(seed: u64) -> TestBed {
    let bed = TestBed::start(seed).await;
    let drain = DrainDataCentre { data_centre: DATA_CENTRES[0].to_owned(), force: false };
    bed.operator(0).plan_and_confirm(Intent::DrainDataCentre(drain), "test").await.unwrap();
    sleep(STOP_LIMIT).await;
    bed
}

/// Starts streams and a registration that may not be repeated, and waits until all of them run.
async fn start_calls(bed: &TestBed, name: &str, streams: usize) -> Vec<JoinHandle<Call>> {
    let executed_before = bed.executions().len();
    let plain = bed.endpoints.iter().filter(|(vm, _)| vm.as_str().contains("ledger"));
    plain
        .for_each(|(_, found)| found.endpoint.inject([Fault::DelayAnswer(Duration::from_secs(4))]));
    let kinds = (0..streams).map(|_| RequestKind::Report { tokens: 800 });
    let kinds = kinds.chain([RequestKind::Unkeyed]);
    let running: Vec<_> = kinds
        .enumerate()
        .map(|(number, kind)| {
            let (caller, label) = (bed.caller(20_000), format!("{name}-{number}"));
            let node = FORWARDING[number % FORWARDING.len()];
            tokio::spawn(async move { caller.call(kind, node, &label, 1).await })
        })
        .collect();
    let expected = executed_before + streams + 1;
    // One that was refused ends at once and is reported with the others.
    let has_ended = || running.iter().any(JoinHandle::is_finished);
    bed.wait("the requests run", |bed| has_ended() || bed.executions().len() >= expected).await;
    sleep(Duration::from_millis(300)).await;
    running
}

async fn finish(running: Vec<JoinHandle<Call>>) -> Vec<Call> {
    let mut calls = Vec::new();
    for call in running {
        calls.push(call.await.unwrap());
    }
    calls
}

/// Guards against forwarded answers that end because a node was paused or its link was silent for a
/// while, although they would have gone on.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_answers_survive_silent_nodes_and_links() {
    let _guard = exclusive_run().await;
    let bed = start_forwarding(601).await;
    let (mut calls, mut failed) = (Vec::new(), Vec::new());
    for (name, paused) in [("serving", &SERVING[..]), ("forwarding", &FORWARDING), ("link", &[])] {
        for silent_ms in [1_500, 2_500, 3_500] {
            let name = format!("{name}-{silent_ms}");
            let running = start_calls(&bed, &name, 10).await;
            paused.iter().for_each(|node| bed.nodes[*node].process.pause().unwrap());
            if paused.is_empty() {
                bed.set_peer_links(DATA_CENTRES[0], BLACK_HOLE);
            }
            sleep(Duration::from_millis(silent_ms)).await;
            paused.iter().for_each(|node| bed.nodes[*node].process.resume().unwrap());
            bed.set_peer_links(DATA_CENTRES[0], NO_FAULTS);
            let ended = finish(running).await;
            let cut: Vec<_> = ended.iter().filter(|call| !call.is_ok()).cloned().collect();
            eprintln!("{name}: {} of {} failed", cut.len(), ended.len());
            failed.extend(cut);
            calls.extend(ended);
            // Reports on groups that grew old in the silence may still lapse, and requests be refused.
            sleep(STOP_LIMIT).await;
            for node in FORWARDING {
                bed.wait_groups(node, MODEL_GROUPS - 2, PLAIN_GROUPS - 1).await;
            }
        }
    }
    let total = calls.len();
    assert!(failed.is_empty(), "{} of {total}: {failed:#?}", failed.len());
    bed.assert_guarantees(&calls);
}

/// Guards against requests that are sent over a connection that has been silent for over a second,
/// and against answers of a connection that stays silent that hold their callers past the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn new_requests_avoid_silent_connections_between_nodes() {
    let _guard = exclusive_run().await;
    let bed = start_forwarding(602).await;
    let (mut calls, mut failed) = (Vec::new(), Vec::new());
    for round in 0..3 {
        let caller = bed.caller(5_000);
        let running: Vec<_> = (0..4)
            .map(|number| {
                let (caller, label) = (caller.clone(), format!("cut-{round}-{number}"));
                let kind = RequestKind::Report { tokens: 4_000 };
                tokio::spawn(async move { caller.call(kind, number % 2, &label, 1).await })
            })
            .collect();
        sleep(Duration::from_secs(1)).await;
        SERVING.iter().for_each(|node| bed.nodes[*node].peers.silence_open_connections());
        sleep(Duration::from_millis(1_100)).await;
        let sent: Vec<_> = (0..20)
            .map(|number| {
                let (caller, label) = (caller.clone(), format!("new-{round}-{number}"));
                tokio::spawn(async move {
                    caller.call(RequestKind::Unkeyed, number % 2, &label, 1).await
                })
            })
            .collect();
        let sent = finish(sent).await;
        let cut: Vec<_> = sent.iter().filter(|call| !call.is_ok()).cloned().collect();
        eprintln!("round {round}: {} of {} failed", cut.len(), sent.len());
        failed.extend(cut);
        calls.extend(sent);
        let ended = finish(running).await;
        let late = ended.iter().filter(|call| call.took_ms > 5_500);
        failed.extend(late.cloned());
        calls.extend(ended);
    }
    assert!(failed.is_empty(), "{} of {}: {failed:#?}", failed.len(), calls.len());
    bed.assert_guarantees(&calls);
}
