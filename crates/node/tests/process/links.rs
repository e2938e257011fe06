//! Links between entry nodes and endpoints that fail during a request.

use std::time::Duration;

use balsam_standin::endpoint::Fault;
use balsam_standin::estate::DATA_CENTRES;
use balsam_standin::estate::MODEL_POOL;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::bed::NO_FAULTS;
use crate::bed::TestBed;
use crate::calls::Call;
use crate::calls::RequestKind;
use crate::exclusive_run;

fn start_streams(bed: &TestBed, name: &str, count: usize) -> Vec<JoinHandle<Call>> {
    let caller = bed.caller(20_000);
    let each = (0..count).map(|number| {
        let (caller, label) = (caller.clone(), format!("{name}{number}"));
        let kind = RequestKind::Report { tokens: 800 };
        tokio::spawn(async move { caller.call(kind, number % 2, &label, 1).await })
    });
    each.collect()
}

async fn await_complete(streams: Vec<JoinHandle<Call>>) -> Vec<Call> {
    let mut calls = Vec::new();
    for stream in streams {
        calls.push(stream.await.unwrap());
    }
    assert!(calls.iter().all(Call::is_ok), "{calls:#?}");
    calls
}

/// Guards against answers that are lost or cut, and against requests that run twice, when their
/// connection to the endpoint fails.
#[tokio::test(flavor = "multi_thread")]
async fn answers_survive_silent_and_reset_endpoint_connections() {
    let _guard = exclusive_run().await;
    let bed = TestBed::start(401).await;
    let data_centre = DATA_CENTRES[0];
    let heads: Vec<_> = bed
        .members(MODEL_POOL, data_centre)
        .await
        .into_iter()
        .map(|mut group| group.remove(0))
        .collect();
    let links = || heads.iter().map(|vm| &bed.endpoints[vm].link);
    let mut calls = Vec::new();

    let running = start_streams(&bed, "silent", 10);
    bed.wait("the streams run", |bed| bed.executions().len() >= 10).await;
    links().for_each(|link| link.silence_open_connections());
    calls.extend(await_complete(running).await);

    let executed_before = bed.executions().len();
    let running = start_streams(&bed, "oneway", 10);
    bed.wait("the streams run", |bed| bed.executions().len() >= executed_before + 10).await;
    let mut one_way = NO_FAULTS;
    one_way.silent_to_client = true;
    links().for_each(|link| link.set_faults(one_way));
    sleep(Duration::from_secs(3)).await;
    links().for_each(|link| link.set_faults(NO_FAULTS));
    calls.extend(await_complete(running).await);

    let executed_before = bed.executions().len();
    let running = start_streams(&bed, "reset", 10);
    bed.wait("the streams run", |bed| bed.executions().len() >= executed_before + 10).await;
    links().for_each(|link| link.reset_open_connections());
    calls.extend(await_complete(running).await);

    bed.assert_guarantees(&calls);
    calls.extend(reset_connections_after_the_request(&bed).await);
    bed.assert_guarantees(&calls);
}

/// Resets the connection after the request was sent and has run.
async fn reset_connections_after_the_request(bed: &TestBed) -> Vec<Call> {
    bed.wait_serving(0).await;
    let caller = bed.caller(8_000);
    let mut calls = Vec::new();
    for (name, kind) in [("unkeyed", RequestKind::Unkeyed), ("keyed", RequestKind::Keyed)] {
        for vm in bed.endpoints.keys().filter(|vm| vm.as_str().contains("ledger")) {
            bed.endpoints[vm].endpoint.inject([Fault::DelayAnswer(Duration::from_secs(4))]);
        }
        let label = format!("reset-{name}");
        let running = tokio::spawn({
            let (caller, label) = (caller.clone(), label.clone());
            async move { caller.call(kind, 0, &label, 1).await }
        });
        bed.wait("the request runs", |bed| bed.runs().iter().any(|run| run.label == label)).await;
        for (_, found) in bed.endpoints.iter().filter(|(vm, _)| vm.as_str().contains("ledger")) {
            found.link.reset_open_connections();
        }
        let call = running.await.unwrap();
        assert_eq!(call.outcome().as_deref(), Some("unknown"), "{call:?}");
        calls.push(call);
        if kind == RequestKind::Keyed {
            for (attempt, node) in [(2, 2), (3, 0)] {
                let again = caller.call(kind, node, &label, attempt).await;
                assert!(again.is_unknown(), "{again:?}");
                calls.push(again);
            }
        }
    }
    calls
}
