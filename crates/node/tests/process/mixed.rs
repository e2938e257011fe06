//! Two concurrent faults, chosen at random from a printed seed.

use std::time::Duration;

use balsam_standin::estate::DATA_CENTRES;
use balsam_standin::platform::PlatformFaults;
use balsam_standin::proxy::LinkFaults;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::index::sample;
use tokio::time::sleep;

use crate::bed::BLACK_HOLE;
use crate::bed::CUT;
use crate::bed::NO_FAULTS;
use crate::bed::NODES;
use crate::bed::TestBed;
use crate::calls::Call;
use crate::calls::Load;
use crate::exclusive_run;

/// The seeds that CI runs; `BALSAM_FAULT_SEEDS=5,6,7` runs others.
const SEEDS: [u64; 4] = [1, 2, 3, 4];

const FAULTS: [&str; 9] = [
    "node killed",
    "node paused",
    "platform down",
    "platform loses answers",
    "data centre without peers",
    "data centre without platform",
    "lossy links",
    "endpoint connections reset",
    "endpoint connections silent",
];

fn seeds() -> Vec<u64> {
    match std::env::var("BALSAM_FAULT_SEEDS") {
        Ok(list) => list.split(',').map(|seed| seed.trim().parse().unwrap()).collect(),
        Err(_) => SEEDS.to_vec(),
    }
}

async fn begin(bed: &mut TestBed, fault: &str, node: usize) {
    let data_centre = DATA_CENTRES[node / 2];
    match fault {
        "node killed" => drop(bed.nodes[node].process.kill().unwrap()),
        "node paused" => bed.nodes[node].process.pause().unwrap(),
        "platform down" => {
            bed.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        }
        "platform loses answers" => bed.platform.set_faults(PlatformFaults {
            lose_answer_every: 2,
            late_effect_ms: 200,
            ..PlatformFaults::default()
        }),
        "data centre without peers" => bed.set_peer_links(data_centre, BLACK_HOLE),
        "data centre without platform" => bed.set_platform_links(data_centre, CUT),
        "lossy links" => {
            let lossy =
                LinkFaults { delay_ms: 5, loss_percent: 5, stall_ms: 200, ..LinkFaults::default() };
            bed.nodes.iter().for_each(|node| node.peers.set_faults(lossy));
            bed.endpoints.values().for_each(|found| found.link.set_faults(lossy));
        }
        "endpoint connections reset" => {
            bed.endpoints.values().for_each(|found| found.link.reset_open_connections());
        }
        "endpoint connections silent" => {
            bed.endpoints.values().for_each(|found| found.link.silence_open_connections());
        }
        other => panic!("no fault {other}"),
    }
}

async fn end(bed: &mut TestBed, fault: &str, node: usize) {
    match fault {
        "node killed" => bed.replace_node(node).await,
        "node paused" => bed.nodes[node].process.resume().unwrap(),
        _ => {}
    }
    bed.platform.set_faults(PlatformFaults::default());
    for data_centre in DATA_CENTRES {
        bed.set_peer_links(data_centre, NO_FAULTS);
        bed.set_platform_links(data_centre, NO_FAULTS);
    }
    bed.nodes.iter().for_each(|node| node.peers.set_faults(NO_FAULTS));
    bed.endpoints.values().for_each(|found| found.link.set_faults(NO_FAULTS));
}

/// Guards against violations that show only when two faults occur together, such as a request that
/// runs twice or an answer that is cut.
#[tokio::test(flavor = "multi_thread")]
async fn two_concurrent_faults_violate_no_guarantee() {
    let _guard = exclusive_run().await;
    let mut bed = TestBed::start(701).await;
    let mut calls: Vec<Call> = Vec::new();
    for seed in seeds() {
        let mut rng = StdRng::seed_from_u64(seed);
        let chosen = sample(&mut rng, FAULTS.len(), 2);
        let (first_fault, second_fault) = (FAULTS[chosen.index(0)], FAULTS[chosen.index(1)]);
        let nodes = sample(&mut rng, NODES.len(), 2);
        let (first_node, second_node) = (nodes.index(0), nodes.index(1));
        let gap = Duration::from_millis(rng.random_range(0..1_000));
        eprintln!(
            "seed {seed}: {first_fault} at node {first_node}, {second_fault} at node {second_node}"
        );
        let load = Load::start(&bed.caller(4_000), &format!("mixed{seed}"), &NODES, 2);
        sleep(Duration::from_millis(500)).await;
        begin(&mut bed, first_fault, first_node).await;
        sleep(gap).await;
        begin(&mut bed, second_fault, second_node).await;
        sleep(Duration::from_secs(2)).await;
        end(&mut bed, first_fault, first_node).await;
        end(&mut bed, second_fault, second_node).await;
        for node in NODES {
            bed.wait_serving(node).await;
        }
        calls.extend(load.finish().await);
        bed.assert_guarantees(&calls);
    }
}
