//! Baselines to compare the gossip protocol with: a full mesh, and one relay per data centre.
//!
//! Messages are lost, delayed and counted as in [`Simulation`](crate::Simulation). Each consists of
//! an envelope with the sender's offset and stop notices, and of rows of the same size.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::OVERHEAD_BYTES;

/// Size of a message without its rows and [`OVERHEAD_BYTES`].
const ENVELOPE_BYTES: u64 = 35;
/// Size of a row: an id, a heartbeat and a version.
const ROW_BYTES: u64 = 7;
const STEP_MS: u64 = 50;
const LOCAL_INTERVAL_MS: u64 = 500;
const REMOTE_INTERVAL_MS: u64 = 1_000;

/// The paths on which nodes exchange their rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topology {
    /// Each node sends its row to each other node.
    FullMesh,
    /// Each node exchanges rows with the relay of its data centre, and relays with each other.
    OneRelay,
}

/// The measurements of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BaselineResult {
    /// Bytes sent and received per second, averaged over all nodes.
    pub mean_bytes_per_s: u64,
    /// Bytes sent and received per second by the node with the most traffic.
    pub max_bytes_per_s: u64,
    /// Time until a notice from one node has reached all nodes, or `None` if the run ended first.
    pub propagation_ms: Option<u64>,
}

struct Run {
    topology: Topology,
    regions: Vec<usize>,
    loss_per_mille: u32,
    rng: StdRng,
    bytes: Vec<u64>,
    known_at_ms: Vec<u64>,
}

impl Run {
    /// Sends one message, with the notice if the sender has it; returns whether it was delivered.
    fn send(&mut self, now_ms: u64, from: usize, to: usize, rows: u64) -> bool {
        let message_bytes = OVERHEAD_BYTES + ENVELOPE_BYTES + ROW_BYTES * rows;
        self.bytes[from] += message_bytes;
        if self.rng.random_range(0..1_000) < self.loss_per_mille {
            return false;
        }
        self.bytes[to] += message_bytes;
        let data_centre_count = self.regions.len();
        let delay_ms = match (
            from % data_centre_count == to % data_centre_count,
            self.regions[from % data_centre_count],
        ) {
            (true, _) => 1,
            (false, region) if region == self.regions[to % data_centre_count] => 5,
            (false, _) => 20,
        };
        if self.known_at_ms[from] <= now_ms {
            self.known_at_ms[to] = self.known_at_ms[to].min(now_ms + delay_ms);
        }
        true
    }

    /// Sends the messages of one round of a node; the first node of a data centre is its relay.
    fn send_round(&mut self, now_ms: u64, node: usize, includes_remote: bool) {
        let (nodes, data_centre_count) = (self.bytes.len(), self.regions.len());
        let is_local = |other: usize| other % data_centre_count == node % data_centre_count;
        match self.topology {
            Topology::FullMesh => {
                for other in (0..nodes)
                    .filter(|other| *other != node && (includes_remote || is_local(*other)))
                {
                    self.send(now_ms, node, other, 1);
                }
            }
            Topology::OneRelay if node < data_centre_count => {
                for other in
                    (0..data_centre_count).filter(|other| includes_remote && *other != node)
                {
                    self.send(now_ms, node, other, 1);
                }
            }
            Topology::OneRelay => {
                let rows = nodes.div_ceil(data_centre_count) as u64;
                if self.send(now_ms, node, node % data_centre_count, 1) {
                    self.send(now_ms + 1, node % data_centre_count, node, rows);
                }
            }
        }
    }
}

/// Runs a baseline for `run_ms`; halfway through, a notice is created at the last node.
pub fn run_baseline(
    topology: Topology,
    nodes: usize,
    regions: &[usize],
    loss_per_mille: u32,
    seed: u64,
    run_ms: u64,
) -> BaselineResult {
    let mut rng = StdRng::seed_from_u64(seed);
    let steps_per_round = LOCAL_INTERVAL_MS / STEP_MS;
    let phases: Vec<u64> = (0..nodes).map(|_| rng.random_range(0..steps_per_round)).collect();
    let (bytes, known_at_ms) = (vec![0; nodes], vec![u64::MAX; nodes]);
    let mut run =
        Run { topology, regions: regions.to_vec(), loss_per_mille, rng, bytes, known_at_ms };
    let notice_created_ms = run_ms / 2;
    run.known_at_ms[nodes - 1] = notice_created_ms;
    for step in 0..run_ms / STEP_MS {
        for (node, phase) in phases.iter().enumerate() {
            if step % steps_per_round == *phase {
                let includes_remote =
                    (step / steps_per_round).is_multiple_of(REMOTE_INTERVAL_MS / LOCAL_INTERVAL_MS);
                run.send_round(step * STEP_MS, node, includes_remote);
            }
        }
    }
    let per_s = |bytes: u64| bytes * 1_000 / run_ms;
    let last_known_ms = run.known_at_ms.iter().copied().max().unwrap_or(u64::MAX);
    BaselineResult {
        mean_bytes_per_s: per_s(run.bytes.iter().sum::<u64>() / nodes as u64),
        max_bytes_per_s: per_s(run.bytes.iter().copied().max().unwrap_or(0)),
        propagation_ms: (last_known_ms != u64::MAX).then(|| last_known_ms - notice_created_ms),
    }
}
