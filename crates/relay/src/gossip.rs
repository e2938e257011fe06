//! What the nodes tell each other, by datagrams: their load, and changes of the list of endpoints.
//!
//! A lost datagram costs little: a report carries the whole state and the next follows soon, and a
//! change of the list that was missed shows as a gap, after which the list itself is read.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use balsam_fleet::Event;
use balsam_fleet::event::PeerReport;
use balsam_fleet::event::Scope;
use balsam_fleet::event::SentRequest;
use balsam_types::DataCentreName;
use slog::info;
use slog::warn;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::clock::now_ms;
use crate::hub::Hub;
use crate::message;
use crate::message::Envelope;
use crate::message::KnownNode;
use crate::message::ReportMessage;

/// Shortest pause between two reports: nodes that choose on older figures choose the same endpoint.
const INTERVAL: Duration = Duration::from_millis(100);

/// Time that one datagram to the own data centre may cost, so that the pause grows with the nodes.
const PER_NEAR_PEER: Duration = Duration::from_millis(10);

/// The same for other data centres, whose requests mostly go to other endpoints.
const PER_FAR_PEER: Duration = Duration::from_millis(15);

/// Nodes of other data centres up to which each gets this node's own reports. Beyond, the pause
/// between two of them exceeds that of the summaries of whole data centres.
const DIRECT_FAR_NODES: usize = 24;

/// Pause between two summaries of the own data centre that a relay sends to the others.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(200);

/// Every how many summaries a relay also passes on those of other data centres: both relays do, so a
/// node hears them as often as they are sent.
const FORWARD_EVERY: u32 = 2;

/// Nodes of a data centre that send its summary and pass on those of others: one may have stopped.
const RELAYS: usize = 2;

/// A node that was not heard for this long is no relay.
const RELAY_LIVE_MS: u64 = 1_500;

/// Summaries that came longer ago are not passed on.
const FORWARD_MS: u64 = 1_000;

/// Pause between two answers to a node that knows few others.
const NODES_REPLY_PAUSE_MS: u64 = 500;

/// A node that was not heard for this long gets no more reports until it is found in the store.
const FORGET_MS: u64 = 10_000;

/// Longest datagram that is read.
const MAX_BYTES: usize = 60 * 1024;

/// Most bytes of changes in one datagram. When the groups of a large fleet form, more changes between
/// two reads, and what did not fit made every node read the list.
const MAX_NEWS_BYTES: usize = 32 * 1024;

/// Most requests that one datagram tells of.
const SENT_AT_ONCE: usize = 64;

/// Changes that wait for their reader.
const NEWS_QUEUE: usize = 64;

/// Changes of the list of endpoints that another node read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListNews {
    /// The position in the list's records from which the changes follow.
    pub from: u64,
    /// The position after them.
    pub to: u64,
    /// The records that changed something, as the platform gave them.
    pub records: Vec<Vec<u8>>,
}

/// A record of the list that changed something, with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangedRecord {
    /// The position.
    pub at: u64,
    /// The record as the platform gave it.
    pub record: Vec<u8>,
}

/// How changes relate to what a node has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// They go on from there, or say that nothing came after it.
    Next,
    /// They were read before.
    Old,
    /// Others between them were missed.
    Gap,
}

impl ListNews {
    /// Splits what a read found into parts of at most `most_bytes` of records each, which follow each
    /// other without a gap.
    pub fn split(from: u64, to: u64, changed: Vec<ChangedRecord>, most_bytes: usize) -> Vec<Self> {
        let mut parts = vec![Self { from, to, records: Vec::new() }];
        let mut bytes = 0;
        for ChangedRecord { at, record } in changed {
            bytes += record.len();
            let Some(last) = parts.last_mut() else { break };
            if bytes > most_bytes && !last.records.is_empty() {
                last.to = at;
                bytes = record.len();
                parts.push(Self { from: at, to, records: vec![record] });
            } else {
                last.records.push(record);
            }
        }
        parts
    }

    /// Returns how the changes relate to a node that has read up to a position.
    pub fn place(&self, position: u64) -> Place {
        match (self.from <= position, position <= self.to) {
            (true, true) => Place::Next,
            (true, false) => Place::Old,
            (false, _) => Place::Gap,
        }
    }
}

/// Another node.
#[derive(Debug, Clone)]
struct Peer {
    heard_ms: u64,
    /// Known once it was heard.
    data_centre: Option<DataCentreName>,
    /// When it was last sent the addresses of the other nodes.
    nodes_sent_ms: u64,
}

impl Peer {
    fn found(now_ms: u64, data_centre: Option<DataCentreName>) -> Self {
        Self { heard_ms: now_ms, data_centre, nodes_sent_ms: 0 }
    }
}

/// What a node brings to the exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipOptions {
    /// Where other nodes send to it.
    pub own: SocketAddr,
    /// Whether nodes that start are told of this one, and expect to hear from it of the others.
    pub is_first: bool,
}

/// The exchange between nodes.
#[derive(Debug)]
pub struct Gossip {
    hub: Arc<Hub>,
    options: GossipOptions,
    socket: UdpSocket,
    peers: Mutex<BTreeMap<SocketAddr, Peer>>,
    /// The newest summaries of other data centres as they came, with the time.
    summaries: Mutex<BTreeMap<DataCentreName, (u64, Vec<u8>)>>,
    news: mpsc::Sender<ListNews>,
    /// The newest version of the configuration that another node reported.
    heard_version: AtomicU64,
    heard_newer: Notify,
}

impl Gossip {
    /// Creates the exchange on a bound socket, with the receiver of changes of the list.
    pub fn new(
        hub: Arc<Hub>,
        socket: UdpSocket,
        options: GossipOptions,
    ) -> (Arc<Self>, mpsc::Receiver<ListNews>) {
        let (news, receiver) = mpsc::channel(NEWS_QUEUE);
        let gossip = Self {
            hub,
            options,
            socket,
            peers: Mutex::default(),
            summaries: Mutex::default(),
            news,
            heard_version: AtomicU64::new(0),
            heard_newer: Notify::new(),
        };
        (Arc::new(gossip), receiver)
    }

    /// Adds nodes that were found in the store or the settings.
    pub fn add_peers(&self, found: impl IntoIterator<Item = SocketAddr>) {
        let unknown = |address| KnownNode { address, data_centre: None };
        self.add_nodes(found.into_iter().map(unknown));
    }

    fn add_nodes(&self, found: impl IntoIterator<Item = KnownNode>) {
        let mut peers = self.peers();
        let before = peers.len();
        for KnownNode { address, data_centre } in found {
            if address != self.options.own {
                peers.entry(address).or_insert(Peer::found(now_ms(), data_centre));
            }
        }
        if peers.len() != before && self.hub.lines.take("nodes").is_some() {
            info!(self.hub.log, "other nodes found"; "kind" => "nodes", "count" => peers.len());
        }
    }

    fn has_heard_newer(&self) -> bool {
        self.heard_version.load(Ordering::Relaxed) > self.hub.read(|fleet| fleet.version())
    }

    /// Returns when other nodes have had a newer configuration for so long.
    ///
    /// The node's own read mostly brings it meanwhile. Cutting that read short made 195 nodes ask
    /// for a large configuration again and again, and the store had nothing left for other reads.
    pub async fn newer_configuration(&self, patience: Duration) {
        loop {
            self.heard_newer.notified().await;
            tokio::time::sleep(patience).await;
            if self.has_heard_newer() {
                return;
            }
        }
    }

    /// Whether another node was heard since the start.
    pub fn has_heard_nodes(&self) -> bool {
        self.peers().values().any(|peer| peer.data_centre.is_some())
    }

    /// Sends what a read of the list found to the nodes of the own data centre.
    pub async fn send_news(&self, from: u64, to: u64, changed: Vec<ChangedRecord>) {
        let near = self.addresses(true);
        for news in ListNews::split(from, to, changed, MAX_NEWS_BYTES) {
            let bytes = message::encode_news(&news);
            for peer in &near {
                // A peer that is gone refuses datagrams; the next one finds out again.
                let _ = self.socket.send_to(&bytes, peer).await;
            }
        }
    }

    /// Sends reports of this node; never returns.
    pub async fn send(self: Arc<Self>) {
        let mut far_due = tokio::time::Instant::now();
        loop {
            let near = self.addresses(true);
            let far = self.addresses(false);
            let bytes = self.encode(self.hub.read(|fleet| fleet.report(now_ms())), Vec::new());
            for peer in &near {
                let _ = self.socket.send_to(&bytes, peer).await;
            }
            if tokio::time::Instant::now() >= far_due {
                far_due += INTERVAL.max(PER_FAR_PEER * far.len() as u32);
                far_due = far_due.max(tokio::time::Instant::now());
                for peer in self.direct(&far) {
                    let _ = self.socket.send_to(&bytes, peer).await;
                }
            }
            tokio::time::sleep(INTERVAL.max(PER_NEAR_PEER * near.len() as u32)).await;
        }
    }

    /// Tells others of each request that this node sends, as soon as it does; never returns.
    ///
    /// A report every few tenths of a second is older than the time in which a group reads a prompt.
    pub async fn send_sent(self: Arc<Self>, mut sent: mpsc::Receiver<SentRequest>) {
        let node = self.hub.read(|fleet| fleet.settings.node.clone());
        let mut batch = Vec::new();
        while sent.recv_many(&mut batch, SENT_AT_ONCE).await > 0 {
            let bytes = message::encode_sent(&node, &batch);
            batch.clear();
            let far = self.addresses(false);
            let peers = self.addresses(true).into_iter().chain(self.direct(&far));
            for peer in peers {
                let _ = self.socket.send_to(&bytes, peer).await;
            }
        }
    }

    /// Sends the summary of the own data centre to the others, and passes theirs on, if this node is a
    /// relay; never returns.
    ///
    /// See `docs/decisions/0008-platform.md`: with 195 nodes, reports of each to each take 2.3 s
    /// and are most of the bytes between data centres.
    pub async fn send_summaries(self: Arc<Self>) {
        let mut round: u32 = 0;
        loop {
            tokio::time::sleep(SUMMARY_INTERVAL).await;
            let Some(place) = self.relay_place() else { continue };
            round = round.wrapping_add(1);
            let near = self.addresses(true);
            let nodes = self.live_near();
            let bytes = self.encode(self.hub.read(|fleet| fleet.summary(now_ms())), nodes);
            for relay in self.far_relays(place) {
                let _ = self.socket.send_to(&bytes, relay).await;
            }
            if round.is_multiple_of(FORWARD_EVERY) {
                for bytes in self.fresh_summaries() {
                    for peer in &near {
                        let _ = self.socket.send_to(&bytes, peer).await;
                    }
                }
            }
        }
    }

    fn encode(&self, report: PeerReport, nodes: Vec<SocketAddr>) -> Vec<u8> {
        let known_nodes = self.peers().len() as u32;
        message::encode_report(&ReportMessage { report, known_nodes, nodes })
    }

    /// Returns the nodes of other data centres that get this node's own reports: all of a small
    /// fleet, and otherwise those that were not heard yet.
    fn direct(&self, far: &[SocketAddr]) -> Vec<SocketAddr> {
        if far.len() <= DIRECT_FAR_NODES {
            return far.to_vec();
        }
        let peers = self.peers();
        let is_new = |address: &&SocketAddr| {
            peers.get(address).is_some_and(|peer| peer.data_centre.is_none())
        };
        far.iter().filter(is_new).copied().collect()
    }

    /// Returns this node's place among the relays of its data centre, if the fleet needs relays and
    /// it is one.
    fn relay_place(&self) -> Option<usize> {
        if self.addresses(false).len() <= DIRECT_FAR_NODES {
            return None;
        }
        let own = self.hub.read(|fleet| fleet.settings.data_centre.clone());
        let peers = self.peers();
        let before = peers.iter().filter(|(address, peer)| {
            **address < self.options.own
                && peer.data_centre.as_ref() == Some(&own)
                && now_ms() < peer.heard_ms + RELAY_LIVE_MS
        });
        Some(before.count()).filter(|place| *place < RELAYS)
    }

    /// Returns the relay of this place in each other data centre, or the last one before it.
    fn far_relays(&self, place: usize) -> Vec<SocketAddr> {
        let own = self.hub.read(|fleet| fleet.settings.data_centre.clone());
        let peers = self.peers();
        let mut relays: BTreeMap<&DataCentreName, Vec<SocketAddr>> = BTreeMap::new();
        for (address, peer) in peers.iter() {
            let Some(data_centre) = peer.data_centre.as_ref().filter(|name| **name != own) else {
                continue;
            };
            let known = relays.entry(data_centre).or_default();
            // A data centre whose relays both fell silent is tried at its first nodes.
            if now_ms() < peer.heard_ms + RELAY_LIVE_MS || known.is_empty() {
                known.push(*address);
            }
        }
        let at = |known: Vec<SocketAddr>| known.get(place.min(known.len() - 1)).copied();
        relays.into_values().filter_map(at).collect()
    }

    /// Returns the nodes of the own data centre that were heard just now, this one included.
    fn live_near(&self) -> Vec<SocketAddr> {
        let own = self.hub.read(|fleet| fleet.settings.data_centre.clone());
        let peers = self.peers();
        let is_live = |peer: &Peer| {
            peer.data_centre.as_ref() == Some(&own) && now_ms() < peer.heard_ms + RELAY_LIVE_MS
        };
        let live = peers.iter().filter(|(_, peer)| is_live(peer)).map(|(address, _)| *address);
        live.chain([self.options.own]).collect()
    }

    fn fresh_summaries(&self) -> Vec<Vec<u8>> {
        let summaries = self.summaries.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = summaries.values().filter(|(at_ms, _)| now_ms() < at_ms + FORWARD_MS);
        fresh.map(|(_, bytes)| bytes.clone()).collect()
    }

    /// Reads what other nodes send; never returns.
    pub async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                // An earlier datagram was refused; nothing is lost by it.
                tokio::task::yield_now().await;
                continue;
            };
            match message::decode(&buffer[..length]) {
                Some(Envelope::Report(message)) => {
                    self.receive_report(from, *message, &buffer[..length]).await
                }
                Some(Envelope::News(news)) => {
                    // A full queue leaves a gap, after which the list is read.
                    let _ = self.news.try_send(news);
                }
                Some(Envelope::Nodes(nodes)) => self.add_nodes(nodes),
                Some(Envelope::Sent { node, sent }) => {
                    self.hub.apply(Event::PeerSent { node, sent });
                }
                None => {
                    if self.hub.lines.take("peer_message_invalid").is_some() {
                        warn!(self.hub.log, "a message of another node cannot be read";
                            "kind" => "peer_message_invalid", "from" => %from, "bytes" => length);
                    }
                }
            }
        }
    }

    /// Takes over a report, and tells a node that knows few others where they are.
    async fn receive_report(
        self: &Arc<Self>,
        from: SocketAddr,
        message: ReportMessage,
        bytes: &[u8],
    ) {
        let ReportMessage { report, known_nodes, nodes } = message;
        let data_centre = report.data_centre.clone();
        match report.scope {
            Scope::Node => self.heard(from, &report),
            Scope::DataCentre { .. } => self.heard_summary(from, &data_centre, &nodes, bytes),
        }
        self.heard_version.fetch_max(report.version, Ordering::Relaxed);
        if self.has_heard_newer() {
            self.heard_newer.notify_one();
        }
        let is_single = report.scope == Scope::Node;
        self.hub.apply(Event::Peer(report));
        if is_single && let Some(nodes) = self.nodes_for(from, known_nodes) {
            let _ = self.socket.send_to(&message::encode_nodes(&nodes), from).await;
        }
    }

    fn heard(&self, from: SocketAddr, report: &PeerReport) {
        let mut peers = self.peers();
        let peer = peers.entry(from).or_insert(Peer::found(now_ms(), None));
        peer.heard_ms = now_ms();
        peer.data_centre = Some(report.data_centre.clone());
    }

    /// Notes the nodes that a data centre has, and keeps its summary to pass it on.
    fn heard_summary(
        &self,
        from: SocketAddr,
        data_centre: &DataCentreName,
        nodes: &[SocketAddr],
        bytes: &[u8],
    ) {
        let own = self.hub.read(|fleet| fleet.settings.data_centre.clone());
        if own == *data_centre {
            return;
        }
        let mut peers = self.peers();
        for address in nodes {
            let peer = peers.entry(*address).or_insert(Peer::found(now_ms(), None));
            peer.heard_ms = now_ms();
            peer.data_centre = Some(data_centre.clone());
        }
        let is_near = |peer: &Peer| peer.data_centre.as_ref() == Some(&own);
        // The two relays of a data centre would otherwise pass it to each other for ever.
        if !peers.get(&from).is_some_and(is_near) {
            let mut summaries = self.summaries.lock().unwrap_or_else(PoisonError::into_inner);
            summaries.insert(data_centre.clone(), (now_ms(), bytes.to_vec()));
        }
    }

    /// Returns all nodes for one that knows fewer, unless it was sent them just now.
    fn nodes_for(&self, from: SocketAddr, known_nodes: u32) -> Option<Vec<KnownNode>> {
        let mut peers = self.peers();
        let count = peers.len() as u32;
        let peer = peers.get_mut(&from)?;
        let is_due = self.options.is_first
            && known_nodes < count
            && now_ms() >= peer.nodes_sent_ms + NODES_REPLY_PAUSE_MS;
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

    /// Returns the live nodes of the own data centre, or those of the others and those whose data
    /// centre is not known yet.
    fn addresses(&self, is_near: bool) -> Vec<SocketAddr> {
        let own = self.hub.read(|fleet| fleet.settings.data_centre.clone());
        let mut peers = self.peers();
        peers.retain(|_, peer| now_ms() < peer.heard_ms + FORGET_MS);
        let is_wanted = |peer: &Peer| (peer.data_centre.as_ref() == Some(&own)) == is_near;
        peers.iter().filter(|(_, peer)| is_wanted(peer)).map(|(address, _)| *address).collect()
    }

    fn peers(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
