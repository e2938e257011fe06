//! Limits of endpoints in cold start.

use std::time::Duration;

use balsam_standin::endpoint::EndpointOptions;
use balsam_standin::estate::DATA_CENTRES;
use balsam_standin::estate::EstateOptions;
use balsam_standin::estate::MODEL_POOL;
use tokio::time::sleep;

use crate::bed::CUT;
use crate::bed::NO_FAULTS;
use crate::bed::NODES;
use crate::bed::TestBed;
use crate::calls::Load;
use crate::exclusive_run;

/// How long an endpoint is unreachable while it restarts.
const RESTART_TIME: Duration = Duration::from_secs(2);

/// Guards against requests above the limit of a cold endpoint, above all while the node that owns
/// its permits is replaced.
#[tokio::test(flavor = "multi_thread")]
async fn cold_endpoints_stay_within_their_limit_across_restarts_and_replacements() {
    let _guard = exclusive_run().await;
    let engine = EndpointOptions {
        warm_up_ms: 1_500,
        cold_limit: 2,
        limit: 64,
        token_interval_ms: 5,
        ..EndpointOptions::default()
    };
    let options = EstateOptions { engine, ..EstateOptions::default() };
    let mut bed = TestBed::start_with(601, options).await;
    let load = Load::start(&bed.caller(8_000), "cold", &NODES, 4);
    sleep(Duration::from_secs(1)).await;
    for node in [0, 1] {
        for group in bed.members(MODEL_POOL, DATA_CENTRES[0]).await {
            let found = &bed.endpoints[&group[0]];
            found.link.set_faults(CUT);
            sleep(RESTART_TIME).await;
            found.endpoint.restart_cold();
            found.link.set_faults(NO_FAULTS);
        }
        bed.nodes[node].process.kill().unwrap();
        bed.replace_node(node).await;
        sleep(Duration::from_secs(2)).await;
    }
    for node in NODES {
        bed.wait_serving(node).await;
    }
    let calls = load.finish().await;
    bed.assert_guarantees(&calls);
    for found in bed.endpoints.values() {
        found.endpoint.turn_cold();
    }
    let load = Load::start(&bed.caller(8_000), "turned", &NODES, 4);
    sleep(Duration::from_secs(3)).await;
    load.finish().await;
    // Load reports show the change late, so requests sent before then count as above the limit.
    let above: u32 = bed.above_cold_limit().iter().map(|(_, count)| count).sum();
    eprintln!("above the cold limit after turning cold without a restart: {above}");
}
