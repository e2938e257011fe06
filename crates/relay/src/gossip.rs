//! Exchange of load reports and changes to the list of endpoints between nodes, by UDP.
//!
//! Lost datagrams are tolerated: each report carries the complete state and the next one follows
//! soon, and a missed change to the list shows as a gap, after which the list itself is read.

use std::cmp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use balsam_fleet::Event;
use balsam_fleet::StorePosition;
use balsam_fleet::event::PeerReport;
use balsam_fleet::event::Scope;
use balsam_fleet::event::SentRequest;
use balsam_types::DataCentreName;
use slog::info;
use slog::warn;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::clock::now_ms;
use crate::hub::Hub;
use crate::message;
use crate::message::Envelope;
use crate::message::KnownNode;
use crate::message::ReportMessage;

/// Minimum interval between reports: with older load figures, nodes choose the same endpoint.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between reports per node of the same data centre, if that exceeds the minimum.
const REPORT_INTERVAL_PER_LOCAL_PEER: Duration = Duration::from_millis(10);

/// Interval between reports per node of other data centres, if that exceeds the minimum. It is
/// longer, as their requests mostly go to other endpoints.
const REPORT_INTERVAL_PER_REMOTE_PEER: Duration = Duration::from_millis(15);

/// Up to this many nodes of other data centres, each gets this node's reports directly. With more,
/// the interval between reports would exceed that of the data centre summaries.
const MAX_DIRECT_REMOTE_NODES: usize = 24;

/// Interval at which a relay sends the summary of its data centre to the others.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(200);

/// Number of own summaries that a relay sends between two times of forwarding those of other data
/// centres. As both relays forward them, a node receives them as often as they are sent.
const SUMMARIES_PER_FORWARD: u32 = 2;

/// Number of nodes of a data centre that send its summary and forward those of others: more than
/// one, as a relay may have stopped.
const RELAYS_PER_DATA_CENTRE: usize = 2;

/// A node that has sent no report for this long is not used as a relay.
const RELAY_TIMEOUT_MS: u64 = 1_500;

/// Summaries that were received longer ago are not forwarded.
const MAX_FORWARD_AGE_MS: u64 = 1_000;

/// Minimum interval between two node lists sent to a node that knows few others.
const NODE_LIST_INTERVAL_MS: u64 = 500;

/// A node that has sent no report for this long is removed until it is found in the store again.
const FORGET_PEER_AFTER_MS: u64 = 10_000;

/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// Maximum size of the changes in one datagram. When the groups of a large fleet form, more than
/// this changes between two reads, and changes that did not fit made every node read the list.
const MAX_UPDATE_BYTES: usize = 32 * 1024;

/// Maximum number of sent requests announced in one datagram.
const MAX_SENT_PER_DATAGRAM: usize = 64;

/// Capacity of the queue of received list updates.
const UPDATE_QUEUE_LEN: usize = 64;

/// Changes to the list of endpoints, as read by another node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListUpdate {
    /// The era of the store that the offsets belong to.
    pub era: u64,
    /// The offset in the list's topic at which the changes start.
    pub from: u64,
    /// The offset after the last change.
    pub to: u64,
    /// The records that changed something, in the platform's encoding.
    pub records: Vec<Vec<u8>>,
}

/// A record of the list that changed something, with its offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangedRecord {
    /// The offset.
    pub offset: u64,
    /// The record in the platform's encoding.
    pub record: Vec<u8>,
}

/// How an update relates to the position up to which a node has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Continuity {
    /// It continues from that position; it may contain no changes.
    Contiguous,
    /// It ends before that position.
    Stale,
    /// It belongs to an earlier era, so its sender is not current.
    Outdated,
    /// It starts after that position, so changes were missed.
    Gap,
}

impl ListUpdate {
    /// Splits the changes found by a read into contiguous parts of at most `max_bytes` of records.
    ///
    /// Both positions belong to the same era.
    pub fn split(
        from: StorePosition,
        to: StorePosition,
        changed: Vec<ChangedRecord>,
        max_bytes: usize,
    ) -> Vec<Self> {
        let (era, to) = (from.era, to.offset);
        let mut parts = vec![Self { era, from: from.offset, to, records: Vec::new() }];
        let mut bytes = 0;
        for ChangedRecord { offset, record } in changed {
            bytes += record.len();
            let Some(last) = parts.last_mut() else { break };
            if bytes > max_bytes && !last.records.is_empty() {
                last.to = offset;
                bytes = record.len();
                parts.push(Self { era, from: offset, to, records: vec![record] });
            } else {
                last.records.push(record);
            }
        }
        parts
    }

    /// Returns how the update relates to a node that has read up to a position.
    pub fn continuity_from(&self, position: StorePosition) -> Continuity {
        match (
            self.era.cmp(&position.era),
            self.from <= position.offset,
            position.offset <= self.to,
        ) {
            (cmp::Ordering::Less, _, _) => Continuity::Outdated,
            (cmp::Ordering::Greater, _, _) => Continuity::Gap,
            (cmp::Ordering::Equal, true, true) => Continuity::Contiguous,
            (cmp::Ordering::Equal, true, false) => Continuity::Stale,
            (cmp::Ordering::Equal, false, _) => Continuity::Gap,
        }
    }
}

/// Another node.
#[derive(Debug, Clone)]
struct Peer {
    last_heard_ms: u64,
    /// Known after its first report.
    data_centre: Option<DataCentreName>,
    /// When the list of nodes was last sent to it.
    nodes_sent_ms: u64,
}

impl Peer {
    fn discovered(now_ms: u64, data_centre: Option<DataCentreName>) -> Self {
        Self { last_heard_ms: now_ms, data_centre, nodes_sent_ms: 0 }
    }
}

/// Options of the exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipOptions {
    /// The address at which other nodes reach this one.
    pub own_address: SocketAddr,
    /// Whether this is a seed: starting nodes contact it first and get the list of nodes from it.
    pub is_seed: bool,
}

/// The exchange between nodes.
#[derive(Debug)]
pub struct Gossip {
    hub: Arc<Hub>,
    options: GossipOptions,
    socket: UdpSocket,
    peers: Mutex<BTreeMap<SocketAddr, Peer>>,
    /// The newest summaries of other data centres, encoded, with the time of receipt.
    summaries: Mutex<BTreeMap<DataCentreName, (u64, Vec<u8>)>>,
    updates: mpsc::Sender<ListUpdate>,
    newer_version_reported: Notify,
    /// The latest era of the store reported by another node.
    latest_peer_era: watch::Sender<u64>,
}

impl Gossip {
    /// Creates the exchange on a bound socket; the receiver yields updates of the list.
    pub fn new(
        hub: Arc<Hub>,
        socket: UdpSocket,
        options: GossipOptions,
    ) -> (Arc<Self>, mpsc::Receiver<ListUpdate>) {
        let (updates, receiver) = mpsc::channel(UPDATE_QUEUE_LEN);
        let gossip = Self {
            hub,
            options,
            socket,
            peers: Mutex::default(),
            summaries: Mutex::default(),
            updates,
            newer_version_reported: Notify::new(),
            latest_peer_era: watch::Sender::new(0),
        };
        (Arc::new(gossip), receiver)
    }

    /// Adds nodes that were found in the store or the settings.
    pub fn add_peers(&self, discovered: impl IntoIterator<Item = SocketAddr>) {
        let unknown = |address| KnownNode { address, data_centre: None };
        self.add_nodes(discovered.into_iter().map(unknown));
    }

    fn add_nodes(&self, discovered: impl IntoIterator<Item = KnownNode>) {
        let mut peers = self.peers();
        let before = peers.len();
        for KnownNode { address, data_centre } in discovered {
            if address != self.options.own_address {
                peers.entry(address).or_insert(Peer::discovered(now_ms(), data_centre));
            }
        }
        if peers.len() != before && self.hub.log_limiter.take("nodes").is_some() {
            info!(self.hub.log, "other nodes found"; "kind" => "nodes", "count" => peers.len());
        }
    }

    fn has_newer_peer_version(&self) -> bool {
        self.hub.read(|fleet| fleet.may_read_newer_version(now_ms()))
    }

    /// Returns when other nodes have had a newer configuration for `max_lag`.
    ///
    /// The node's own read usually returns it within that time. When that read was aborted at once,
    /// 195 nodes requested a large configuration over and over, which left the store no capacity
    /// for other reads.
    pub async fn newer_configuration_reported(&self, max_lag: Duration) {
        loop {
            self.newer_version_reported.notified().await;
            tokio::time::sleep(max_lag).await;
            if self.has_newer_peer_version() {
                return;
            }
        }
    }

    /// Waits until another node reported a later era of the store than this one; returns it.
    pub async fn later_era_reported(&self, than: u64) -> u64 {
        let mut era = self.latest_peer_era.subscribe();
        let later = era.wait_for(|era| *era > than).await.map(|era| *era);
        match later {
            Ok(era) => era,
            // The sender cannot be dropped meanwhile.
            Err(_) => std::future::pending().await,
        }
    }

    /// Whether another node's report was received since the start.
    pub fn has_heard_peers(&self) -> bool {
        self.peers().values().any(|peer| peer.data_centre.is_some())
    }

    /// Sends the changes found by a read of the list to the nodes of the same data centre.
    pub async fn send_list_update(
        &self,
        from: StorePosition,
        to: StorePosition,
        changed: Vec<ChangedRecord>,
    ) {
        let local_peers = self.peer_addresses(true);
        for update in ListUpdate::split(from, to, changed, MAX_UPDATE_BYTES) {
            let bytes = message::encode_update(&update);
            for peer in &local_peers {
                // A stopped peer refuses datagrams, which the next send reports again.
                let _ = self.socket.send_to(&bytes, peer).await;
            }
        }
    }

    /// Sends reports of this node; never returns.
    pub async fn send_reports(self: Arc<Self>) {
        let mut remote_due_at = tokio::time::Instant::now();
        loop {
            let local_peers = self.peer_addresses(true);
            let remote_peers = self.peer_addresses(false);
            let bytes = self.encode(self.hub.read(|fleet| fleet.report(now_ms())), Vec::new());
            for peer in &local_peers {
                let _ = self.socket.send_to(&bytes, peer).await;
            }
            if tokio::time::Instant::now() >= remote_due_at {
                remote_due_at += MIN_REPORT_INTERVAL
                    .max(REPORT_INTERVAL_PER_REMOTE_PEER * remote_peers.len() as u32);
                remote_due_at = remote_due_at.max(tokio::time::Instant::now());
                for peer in self.direct_report_peers(&remote_peers) {
                    let _ = self.socket.send_to(&bytes, peer).await;
                }
            }
            tokio::time::sleep(
                MIN_REPORT_INTERVAL.max(REPORT_INTERVAL_PER_LOCAL_PEER * local_peers.len() as u32),
            )
            .await;
        }
    }

    /// Announces each request that this node sends to the others immediately; never returns.
    ///
    /// Reports are sent every few tenths of a second, and a group reads a prompt in less.
    pub async fn announce_sent_requests(self: Arc<Self>, mut sent: mpsc::Receiver<SentRequest>) {
        let node = self.hub.read(|fleet| fleet.settings.node.clone());
        let mut batch = Vec::new();
        while sent.recv_many(&mut batch, MAX_SENT_PER_DATAGRAM).await > 0 {
            let bytes = message::encode_sent(&node, &batch);
            batch.clear();
            let remote_peers = self.peer_addresses(false);
            let peers = self
                .peer_addresses(true)
                .into_iter()
                .chain(self.direct_report_peers(&remote_peers));
            for peer in peers {
                let _ = self.socket.send_to(&bytes, peer).await;
            }
        }
    }

    /// Sends the summary of this data centre to the others and forwards theirs, if this node is a
    /// relay; never returns.
    ///
    /// See `docs/decisions/0008-platform.md`: with 195 nodes, a round of reports from each to each
    /// takes 2.3 s and makes up most of the traffic between data centres.
    pub async fn send_summaries(self: Arc<Self>) {
        let mut round: u32 = 0;
        loop {
            tokio::time::sleep(SUMMARY_INTERVAL).await;
            let Some(index) = self.relay_index() else { continue };
            round = round.wrapping_add(1);
            let local_peers = self.peer_addresses(true);
            let nodes = self.live_local_peers();
            let bytes = self.encode(self.hub.read(|fleet| fleet.summary(now_ms())), nodes);
            for relay in self.remote_relays(index) {
                let _ = self.socket.send_to(&bytes, relay).await;
            }
            if round.is_multiple_of(SUMMARIES_PER_FORWARD) {
                for bytes in self.recent_summaries() {
                    for peer in &local_peers {
                        let _ = self.socket.send_to(&bytes, peer).await;
                    }
                }
            }
        }
    }

    fn encode(&self, report: PeerReport, nodes: Vec<SocketAddr>) -> Vec<u8> {
        let known_node_count = self.peers().len() as u32;
        message::encode_report(&ReportMessage { report, known_node_count, nodes })
    }

    /// Returns the nodes of other data centres that get this node's reports directly: all of them
    /// in a small fleet, otherwise only those that have not reported yet.
    fn direct_report_peers(&self, remote_peers: &[SocketAddr]) -> Vec<SocketAddr> {
        if remote_peers.len() <= MAX_DIRECT_REMOTE_NODES {
            return remote_peers.to_vec();
        }
        let peers = self.peers();
        let is_new = |address: &&SocketAddr| {
            peers.get(address).is_some_and(|peer| peer.data_centre.is_none())
        };
        remote_peers.iter().filter(is_new).copied().collect()
    }

    /// Returns this node's index among the relays of its data centre, or `None` if it is not a
    /// relay or the fleet is too small to need them.
    fn relay_index(&self) -> Option<usize> {
        if self.peer_addresses(false).len() <= MAX_DIRECT_REMOTE_NODES {
            return None;
        }
        let own_data_centre = self.hub.read(|fleet| fleet.settings.data_centre.clone());
        let peers = self.peers();
        let before = peers.iter().filter(|(address, peer)| {
            **address < self.options.own_address
                && peer.data_centre.as_ref() == Some(&own_data_centre)
                && now_ms() < peer.last_heard_ms + RELAY_TIMEOUT_MS
        });
        Some(before.count()).filter(|index| *index < RELAYS_PER_DATA_CENTRE)
    }

    /// Returns the relay with this index in each other data centre, or its last if it has fewer.
    fn remote_relays(&self, index: usize) -> Vec<SocketAddr> {
        let own_data_centre = self.hub.read(|fleet| fleet.settings.data_centre.clone());
        let peers = self.peers();
        let mut relays: BTreeMap<&DataCentreName, Vec<SocketAddr>> = BTreeMap::new();
        for (address, peer) in peers.iter() {
            let Some(data_centre) =
                peer.data_centre.as_ref().filter(|name| **name != own_data_centre)
            else {
                continue;
            };
            let candidates = relays.entry(data_centre).or_default();
            // If no node of a data centre is live, its first node is tried.
            if now_ms() < peer.last_heard_ms + RELAY_TIMEOUT_MS || candidates.is_empty() {
                candidates.push(*address);
            }
        }
        let select =
            |candidates: Vec<SocketAddr>| candidates.get(index.min(candidates.len() - 1)).copied();
        relays.into_values().filter_map(select).collect()
    }

    /// Returns the live nodes of this data centre, including this one.
    fn live_local_peers(&self) -> Vec<SocketAddr> {
        let own_data_centre = self.hub.read(|fleet| fleet.settings.data_centre.clone());
        let peers = self.peers();
        let is_live = |peer: &Peer| {
            peer.data_centre.as_ref() == Some(&own_data_centre)
                && now_ms() < peer.last_heard_ms + RELAY_TIMEOUT_MS
        };
        let live = peers.iter().filter(|(_, peer)| is_live(peer)).map(|(address, _)| *address);
        live.chain([self.options.own_address]).collect()
    }

    fn recent_summaries(&self) -> Vec<Vec<u8>> {
        let summaries = self.summaries.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = summaries.values().filter(|(at_ms, _)| now_ms() < at_ms + MAX_FORWARD_AGE_MS);
        fresh.map(|(_, bytes)| bytes.clone()).collect()
    }

    /// Receives datagrams from other nodes; never returns.
    pub async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                // The error is about an earlier datagram that was refused; nothing is lost.
                tokio::task::yield_now().await;
                continue;
            };
            match message::decode(&buffer[..length]) {
                Some(Envelope::Report(message)) => {
                    self.receive_report(from, *message, &buffer[..length]).await
                }
                Some(Envelope::Update(update)) => {
                    // An update that does not fit the queue leaves a gap, and the list is read.
                    let _ = self.updates.try_send(update);
                }
                Some(Envelope::Nodes(nodes)) => self.add_nodes(nodes),
                Some(Envelope::Sent { node, sent }) => {
                    self.hub.apply(Event::PeerSent { node, sent });
                }
                None => {
                    if self.hub.log_limiter.take("peer_message_invalid").is_some() {
                        warn!(self.hub.log, "invalid message from another node";
                            "kind" => "peer_message_invalid", "from" => %from, "bytes" => length);
                    }
                }
            }
        }
    }

    /// Applies a report, and sends the list of nodes to a sender that knows few.
    async fn receive_report(
        self: &Arc<Self>,
        from: SocketAddr,
        message: ReportMessage,
        bytes: &[u8],
    ) {
        let ReportMessage { report, known_node_count, nodes } = message;
        let data_centre = report.data_centre.clone();
        match report.scope {
            Scope::Node => self.record_report(from, &report),
            Scope::DataCentre { .. } => self.record_summary(from, &data_centre, &nodes, bytes),
        }
        let era = report.operators.position.era;
        self.latest_peer_era.send_if_modified(|latest| {
            let is_later = era > *latest;
            *latest = era.max(*latest);
            is_later
        });
        let is_node_report = report.scope == Scope::Node;
        self.hub.apply(Event::Peer(report));
        if self.has_newer_peer_version() {
            self.newer_version_reported.notify_one();
        }
        if is_node_report && let Some(nodes) = self.node_list_for(from, known_node_count) {
            let _ = self.socket.send_to(&message::encode_nodes(&nodes), from).await;
        }
    }

    fn record_report(&self, from: SocketAddr, report: &PeerReport) {
        let mut peers = self.peers();
        let peer = peers.entry(from).or_insert(Peer::discovered(now_ms(), None));
        peer.last_heard_ms = now_ms();
        peer.data_centre = Some(report.data_centre.clone());
    }

    /// Records the nodes of another data centre, and keeps its summary to forward it.
    fn record_summary(
        &self,
        from: SocketAddr,
        data_centre: &DataCentreName,
        nodes: &[SocketAddr],
        bytes: &[u8],
    ) {
        let own_data_centre = self.hub.read(|fleet| fleet.settings.data_centre.clone());
        if own_data_centre == *data_centre {
            return;
        }
        let mut peers = self.peers();
        for address in nodes {
            let peer = peers.entry(*address).or_insert(Peer::discovered(now_ms(), None));
            peer.last_heard_ms = now_ms();
            peer.data_centre = Some(data_centre.clone());
        }
        let is_local = |peer: &Peer| peer.data_centre.as_ref() == Some(&own_data_centre);
        // Otherwise the two relays of a data centre would forward it to each other forever.
        if !peers.get(&from).is_some_and(is_local) {
            let mut summaries = self.summaries.lock().unwrap_or_else(PoisonError::into_inner);
            summaries.insert(data_centre.clone(), (now_ms(), bytes.to_vec()));
        }
    }

    /// Returns the list of nodes for a sender that knows fewer, unless it was sent just now.
    fn node_list_for(&self, from: SocketAddr, known_node_count: u32) -> Option<Vec<KnownNode>> {
        let mut peers = self.peers();
        let count = peers.len() as u32;
        let peer = peers.get_mut(&from)?;
        let is_due = self.options.is_seed
            && known_node_count < count
            && now_ms() >= peer.nodes_sent_ms + NODE_LIST_INTERVAL_MS;
        if !is_due {
            return None;
        }
        peer.nodes_sent_ms = now_ms();
        let known = |(address, peer): (&SocketAddr, &Peer)| KnownNode {
            address: *address,
            data_centre: peer.data_centre.clone(),
        };
        Some(peers.iter().map(known).collect())
    }

    /// Returns the nodes of this data centre if `is_local`, and all others if not, including those
    /// whose data centre is not known yet.
    fn peer_addresses(&self, is_local: bool) -> Vec<SocketAddr> {
        let own_data_centre = self.hub.read(|fleet| fleet.settings.data_centre.clone());
        let mut peers = self.peers();
        peers.retain(|_, peer| now_ms() < peer.last_heard_ms + FORGET_PEER_AFTER_MS);
        let is_wanted =
            |peer: &Peer| (peer.data_centre.as_ref() == Some(&own_data_centre)) == is_local;
        peers.iter().filter(|(_, peer)| is_wanted(peer)).map(|(address, _)| *address).collect()
    }

    fn peers(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
