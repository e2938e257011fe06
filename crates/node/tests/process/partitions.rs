//! A data centre is partitioned from its peers, from the platform, and from both.

use std::time::Duration;

use balsam_standin::estate::DATA_CENTRES;
use tokio::time::sleep;

use crate::bed::BLACK_HOLE;
use crate::bed::CUT;
use crate::bed::LONG_TIMEOUT;
use crate::bed::NO_FAULTS;
use crate::bed::NODES;
use crate::bed::TestBed;
use crate::calls::Load;
use crate::calls::RequestKind;
use crate::exclusive_run;
use crate::platform::assert_requests_without_claim_succeed;

/// Guards against a partition that stops local work, runs keyed requests twice, or does not heal.
#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_that_is_cut_off_serves_what_it_can_and_heals() {
    let _guard = exclusive_run().await;
    let bed = TestBed::start(301).await;
    let isolated = DATA_CENTRES[2];
    let mut calls = Vec::new();
    for (name, peers, platform) in
        [("peers", true, false), ("platform", false, true), ("both", true, true)]
    {
        let load = Load::start(&bed.caller(8_000), name, &NODES, 1);
        if peers {
            bed.set_peer_links(isolated, BLACK_HOLE);
        }
        if platform {
            bed.set_platform_links(isolated, CUT);
        }
        sleep(Duration::from_secs(3)).await;
        calls.extend(assert_requests_without_claim_succeed(&bed, &NODES, name).await);
        let key = format!("cut-{name}");
        let keyed = bed.caller(8_000).call(RequestKind::Keyed, 4, &key, 1).await;
        match (peers, platform) {
            (_, false) => assert!(keyed.is_ok(), "{name}: {keyed:?}"),
            (false, true) => assert!(keyed.is_ok() || keyed.is_unknown(), "{name}: {keyed:?}"),
            (true, true) => {
                assert!(keyed.is_unknown(), "{name}: {keyed:?}");
                assert!(
                    keyed.response.as_ref().is_ok_and(|response| response.retry_after),
                    "{keyed:?}"
                );
            }
        }
        calls.push(keyed);
        bed.set_peer_links(isolated, NO_FAULTS);
        bed.set_platform_links(isolated, NO_FAULTS);
        let started = tokio::time::Instant::now();
        let mut attempt = 1;
        loop {
            attempt += 1;
            let repeat = bed.caller(8_000).call(RequestKind::Keyed, 4, &key, attempt).await;
            let is_ok = repeat.is_ok();
            calls.push(repeat);
            if is_ok {
                break;
            }
            assert!(started.elapsed() < LONG_TIMEOUT, "{name}: {:?}", calls.last());
            sleep(Duration::from_millis(300)).await;
        }
        calls.extend(load.finish().await);
        bed.assert_guarantees(&calls);
    }
    for node in NODES {
        bed.wait_serving(node).await;
    }
}
