//! The gRPC client for other entry nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use balsam_platform::Appended;
use balsam_platform::LogEntry;
use balsam_types::Incarnation;
use balsam_types::Offset;
use balsam_wire::pb::peer::v1 as pb;
use balsam_wire::pb::peer::v1::peer_client::PeerClient;
use balsam_wire::record::offset_from_pb;
use tokio::time::timeout;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const GOSSIP_TIMEOUT: Duration = Duration::from_secs(1);
const PERMIT_TIMEOUT: Duration = Duration::from_millis(500);
const FOLDED_TIMEOUT: Duration = Duration::from_millis(500);
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval of keep-alive pings, which detect silent connections so that they are replaced.
const KEEP_ALIVE: Duration = Duration::from_secs(2);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection that answered within this time is not checked before a request is forwarded.
const RECENT_ANSWER: Duration = Duration::from_secs(1);

/// Largest message accepted from a peer; must fit a snapshot of the whole state.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Maximum number of batches per request.
const MAX_FETCH_ENTRIES: u32 = 1_024;

/// Connections to other entry nodes, opened when first used.
#[derive(Debug, Clone)]
pub(crate) struct PeerClients {
    me: Incarnation,
    channels: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
}

#[derive(Debug)]
struct Connection {
    channel: Channel,
    /// When a call over this connection last succeeded.
    last_answer: Option<Instant>,
}

/// Log records fetched from a peer.
pub(crate) struct FetchedRecords {
    /// Batches in offset order.
    pub(crate) entries: Vec<LogEntry>,
    /// The peer's state, if the peer no longer keeps the requested batch.
    pub(crate) snapshot: Option<(Offset, Vec<u8>)>,
}

impl PeerClients {
    pub(crate) fn new(me: Incarnation) -> Self {
        Self { me, channels: Arc::default() }
    }

    /// Returns a client of the peer.
    pub(crate) fn client(&self, peer: SocketAddr) -> PeerClient<Channel> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        let connection = channels
            .entry(peer)
            .or_insert_with(|| Connection { channel: channel(peer), last_answer: None });
        PeerClient::new(connection.channel.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }

    /// Records that a call over the connection to a peer succeeded.
    pub(crate) fn note_answer(&self, peer: SocketAddr) {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(connection) = channels.get_mut(&peer) {
            connection.last_answer = Some(Instant::now());
        }
    }

    /// Returns whether a call over the connection to a peer succeeded recently.
    pub(crate) fn answered_recently(&self, peer: SocketAddr) -> bool {
        let channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        let last_answer = channels.get(&peer).and_then(|connection| connection.last_answer);
        last_answer.is_some_and(|last_answer| last_answer.elapsed() < RECENT_ANSWER)
    }

    /// Drops the connection to a peer, so that the next call opens a new one.
    pub(crate) fn forget(&self, peer: SocketAddr) {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner).remove(&peer);
    }

    /// Sends a dissemination message; `None` if it failed.
    pub(crate) async fn gossip(&self, peer: SocketAddr, payload: Vec<u8>) -> Option<Vec<u8>> {
        let message = pb::GossipMessage { from_vm: self.me.vm.to_string(), payload };
        let mut client = self.client(peer);
        let answer = timeout(GOSSIP_TIMEOUT, client.gossip(message)).await;
        if answer.is_err() {
            self.forget(peer);
        }
        Some(answer.ok()?.ok()?.into_inner().payload)
    }

    /// Appends through a peer; `None` if the outcome is unknown.
    pub(crate) async fn relay_append(
        &self,
        peer: SocketAddr,
        batch: Vec<u8>,
        timeout_ms: u64,
    ) -> Option<Appended> {
        let mut client = self.client(peer);
        let call = client.relay_append(pb::RelayAppendRequest { batch });
        let answer = timeout(Duration::from_millis(2 * timeout_ms), call).await.ok()?.ok()?;
        let answer = answer.into_inner();
        Some(Appended { append: answer.append, appended_at_ms: answer.appended_at_ms })
    }

    /// Fetches records from a peer.
    pub(crate) async fn fetch_records(
        &self,
        peer: SocketAddr,
        from_append: u64,
    ) -> Option<FetchedRecords> {
        let mut client = self.client(peer);
        let request = pb::FetchRecordsRequest { from_append, max_entries: MAX_FETCH_ENTRIES };
        let answer = timeout(FETCH_TIMEOUT, client.fetch_records(request)).await.ok()?.ok()?;
        let answer = answer.into_inner();
        let entries = answer.entries.into_iter().map(|entry| LogEntry {
            append: entry.append,
            appended_at_ms: entry.appended_at_ms,
            batch: entry.batch,
        });
        let snapshot = answer
            .snapshot
            .and_then(|snapshot| Some((offset_from_pb(&snapshot.as_of?), snapshot.state)));
        Some(FetchedRecords { entries: entries.collect(), snapshot })
    }

    /// Asks the owner of a group for a permit.
    pub(crate) async fn acquire_permit(
        &self,
        peer: SocketAddr,
        request: pb::AcquirePermitRequest,
    ) -> Result<pb::AcquirePermitResponse, Status> {
        let mut client = self.client(peer);
        let answer = timeout(PERMIT_TIMEOUT, client.acquire_permit(request)).await;
        let answer = answer.map_err(|_| Status::deadline_exceeded("no answer from the owner"))?;
        Ok(answer?.into_inner())
    }

    /// Returns the lower of a peer's folded offset and the lowest one in its data centre.
    pub(crate) async fn folded(&self, peer: SocketAddr) -> Option<Offset> {
        let mut client = self.client(peer);
        let answer = timeout(FOLDED_TIMEOUT, client.folded(pb::FoldedRequest {})).await;
        let answer = answer.ok()?.ok()?.into_inner();
        let (own, lowest) = (answer.offset?, answer.lowest_offset?);
        Some(offset_from_pb(&own).min(offset_from_pb(&lowest)))
    }

    /// Releases a permit; if the call fails, the permit expires by itself.
    pub(crate) async fn release_permit(&self, peer: SocketAddr, request: pb::ReleasePermitRequest) {
        let mut client = self.client(peer);
        let _ = timeout(PERMIT_TIMEOUT, client.release_permit(request)).await;
    }
}

fn channel(peer: SocketAddr) -> Channel {
    let uri = format!("http://{peer}");
    let endpoint = Endpoint::from_shared(uri).expect("an IP address and port form a valid URI");
    endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEP_ALIVE)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .keep_alive_while_idle(true)
        .tcp_nodelay(true)
        .connect_lazy()
}
