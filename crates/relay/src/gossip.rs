//! What the nodes tell each other about their load, by datagrams.
//!
//! A lost datagram costs nothing: each one carries the whole state and the next follows soon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use balsam_fleet::Event;
use balsam_fleet::event::PeerLoad;
use balsam_fleet::event::PeerReport;
use balsam_types::GroupName;
use balsam_types::ModelName;
use balsam_types::VmName;
use prost::Message;
use slog::info;
use slog::warn;
use tokio::net::UdpSocket;

use crate::clock::now_ms;
use crate::hub::Hub;

/// Shortest pause between two reports: nodes that choose on older figures choose the same endpoint.
const INTERVAL: Duration = Duration::from_millis(100);

/// Time that one datagram may cost, so that the pause grows with the number of nodes.
const PER_PEER: Duration = Duration::from_millis(10);

/// Longest datagram that is read.
const MAX_BYTES: usize = 60 * 1024;

/// A report on the wire.
#[derive(Clone, PartialEq, Message)]
struct Report {
    #[prost(string, tag = "1")]
    node: String,
    #[prost(message, repeated, tag = "2")]
    loads: Vec<Load>,
    #[prost(message, repeated, tag = "3")]
    demand: Vec<ModelDemand>,
    #[prost(message, repeated, tag = "4")]
    lost: Vec<LostGroup>,
}

#[derive(Clone, PartialEq, Message)]
struct Load {
    #[prost(string, tag = "1")]
    vm: String,
    #[prost(uint32, tag = "2")]
    in_flight: u32,
    #[prost(uint64, tag = "3")]
    unread_tokens: u64,
}

#[derive(Clone, PartialEq, Message)]
struct ModelDemand {
    #[prost(string, tag = "1")]
    model: String,
    #[prost(double, tag = "2")]
    busy_groups: f64,
}

#[derive(Clone, PartialEq, Message)]
struct LostGroup {
    #[prost(string, tag = "1")]
    group: String,
    #[prost(uint64, tag = "2")]
    epoch: u64,
}

/// The exchange of reports.
#[derive(Debug)]
pub struct Gossip {
    hub: Arc<Hub>,
    socket: UdpSocket,
    peers: Mutex<Vec<SocketAddr>>,
}

impl Gossip {
    /// Creates the exchange on a bound socket.
    pub fn new(hub: Arc<Hub>, socket: UdpSocket) -> Arc<Self> {
        Arc::new(Self { hub, socket, peers: Mutex::default() })
    }

    /// Sets the other nodes.
    pub fn set_peers(&self, mut peers: Vec<SocketAddr>) {
        peers.sort();
        peers.dedup();
        let mut current = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if *current != peers {
            info!(self.hub.log, "other nodes changed"; "kind" => "nodes", "count" => peers.len());
            *current = peers;
        }
    }

    /// Sends reports; never returns.
    pub async fn send(self: Arc<Self>) {
        loop {
            let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let report = self.hub.read(|fleet| fleet.report(now_ms()));
            let bytes = encode(&report);
            for peer in &peers {
                // A peer that is gone refuses datagrams; the next report finds out again.
                let _ = self.socket.send_to(&bytes, peer).await;
            }
            tokio::time::sleep(INTERVAL.max(PER_PEER * peers.len() as u32)).await;
        }
    }

    /// Reads reports; never returns.
    pub async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                // An earlier datagram was refused; nothing is lost by it.
                tokio::task::yield_now().await;
                continue;
            };
            match decode(&buffer[..length]) {
                Some(report) => self.hub.apply(Event::Peer(report)),
                None => {
                    if self.hub.lines.take("peer_report_invalid").is_some() {
                        warn!(self.hub.log, "a report of another node cannot be read";
                            "kind" => "peer_report_invalid", "from" => %from, "bytes" => length);
                    }
                }
            }
        }
    }
}

fn encode(report: &PeerReport) -> Vec<u8> {
    let loads = report.loads.iter().map(|load| Load {
        vm: load.vm.to_string(),
        in_flight: load.in_flight,
        unread_tokens: load.unread_tokens,
    });
    let demand = report.demand.iter().map(|(model, busy_groups)| ModelDemand {
        model: model.to_string(),
        busy_groups: *busy_groups,
    });
    let lost = report
        .lost
        .iter()
        .map(|(group, epoch)| LostGroup { group: group.to_string(), epoch: *epoch });
    let report = Report {
        node: report.node.to_string(),
        loads: loads.collect(),
        demand: demand.collect(),
        lost: lost.collect(),
    };
    report.encode_to_vec()
}

fn decode(bytes: &[u8]) -> Option<PeerReport> {
    let report = Report::decode(bytes).ok()?;
    let load = |load: Load| {
        let vm = VmName::try_from(load.vm).ok()?;
        Some(PeerLoad { vm, in_flight: load.in_flight, unread_tokens: load.unread_tokens })
    };
    let demand =
        |demand: ModelDemand| Some((ModelName::try_from(demand.model).ok()?, demand.busy_groups));
    let lost = |lost: LostGroup| Some((GroupName::try_from(lost.group).ok()?, lost.epoch));
    Some(PeerReport {
        node: Arc::from(report.node),
        loads: report.loads.into_iter().map(load).collect::<Option<_>>()?,
        demand: report.demand.into_iter().map(demand).collect::<Option<_>>()?,
        lost: report.lost.into_iter().map(lost).collect::<Option<_>>()?,
    })
}
