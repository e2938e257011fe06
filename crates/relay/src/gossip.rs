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
use std::time::Duration;

use balsam_fleet::Event;
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

/// Shortest pause between two reports: nodes that choose on older figures choose the same endpoint.
const INTERVAL: Duration = Duration::from_millis(100);

/// Time that one datagram to the own data centre may cost, so that the pause grows with the nodes.
const PER_NEAR_PEER: Duration = Duration::from_millis(10);

/// The same for other data centres, whose requests mostly go to other endpoints.
const PER_FAR_PEER: Duration = Duration::from_millis(15);

/// A node that was not heard for this long gets no more reports until it is found in the store.
const FORGET_MS: u64 = 10_000;

/// Longest datagram that is read.
const MAX_BYTES: usize = 60 * 1024;

/// Most bytes of changes in one datagram; longer ones leave a gap, and the list is read.
const MAX_NEWS_BYTES: usize = 48 * 1024;

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
}

/// The exchange between nodes.
#[derive(Debug)]
pub struct Gossip {
    hub: Arc<Hub>,
    socket: UdpSocket,
    peers: Mutex<BTreeMap<SocketAddr, Peer>>,
    news: mpsc::Sender<ListNews>,
    /// Woken when another node has a newer configuration.
    pub newer_configuration: Notify,
}

impl Gossip {
    /// Creates the exchange on a bound socket, with the receiver of changes of the list.
    pub fn new(hub: Arc<Hub>, socket: UdpSocket) -> (Arc<Self>, mpsc::Receiver<ListNews>) {
        let (news, receiver) = mpsc::channel(NEWS_QUEUE);
        let peers = Mutex::default();
        let newer_configuration = Notify::new();
        (Arc::new(Self { hub, socket, peers, news, newer_configuration }), receiver)
    }

    /// Adds nodes that were found in the store or the settings.
    pub fn add_peers(&self, found: impl IntoIterator<Item = SocketAddr>) {
        let mut peers = self.peers();
        let before = peers.len();
        for address in found {
            peers.entry(address).or_insert(Peer { heard_ms: now_ms(), data_centre: None });
        }
        if peers.len() != before {
            info!(self.hub.log, "other nodes found"; "kind" => "nodes", "count" => peers.len());
        }
    }

    /// Sends changes of the list to the nodes of the own data centre.
    pub async fn send_news(&self, news: ListNews) {
        let bytes = message::encode_news(&news);
        if bytes.len() > MAX_NEWS_BYTES {
            return;
        }
        for peer in self.addresses(true) {
            // A peer that is gone refuses datagrams; the next one finds out again.
            let _ = self.socket.send_to(&bytes, peer).await;
        }
    }

    /// Sends reports; never returns.
    pub async fn send(self: Arc<Self>) {
        let mut far_due = tokio::time::Instant::now();
        loop {
            let near = self.addresses(true);
            let far = self.addresses(false);
            let bytes = message::encode_report(&self.hub.read(|fleet| fleet.report(now_ms())));
            for peer in &near {
                let _ = self.socket.send_to(&bytes, peer).await;
            }
            if tokio::time::Instant::now() >= far_due {
                far_due += INTERVAL.max(PER_FAR_PEER * far.len() as u32);
                far_due = far_due.max(tokio::time::Instant::now());
                for peer in &far {
                    let _ = self.socket.send_to(&bytes, peer).await;
                }
            }
            tokio::time::sleep(INTERVAL.max(PER_NEAR_PEER * near.len() as u32)).await;
        }
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
                Some(Envelope::Report(report)) => {
                    let data_centre = Some(report.data_centre.clone());
                    self.peers().insert(from, Peer { heard_ms: now_ms(), data_centre });
                    if report.version > self.hub.read(|fleet| fleet.version()) {
                        self.newer_configuration.notify_one();
                    }
                    self.hub.apply(Event::Peer(report));
                }
                Some(Envelope::News(news)) => {
                    // A full queue leaves a gap, after which the list is read.
                    let _ = self.news.try_send(news);
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
