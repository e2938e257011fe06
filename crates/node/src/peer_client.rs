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
use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const GOSSIP_TIMEOUT: Duration = Duration::from_secs(1);
const PERMIT_TIMEOUT: Duration = Duration::from_millis(500);
const FOLDED_TIMEOUT: Duration = Duration::from_millis(500);
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// A request is forwarded over an open connection only if it answered within this time.
const RECENT_ANSWER: Duration = Duration::from_secs(1);

/// Largest message accepted from a peer; must fit a snapshot of the whole state.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Maximum number of batches per request.
const MAX_FETCH_ENTRIES: u32 = 1_024;

/// Connections to other entry nodes, opened when first used.
///
/// A node that is paused or starved of processor time may go on at any moment, so no silence ends a
/// connection. One that is silent gets no further forwarded requests, no other calls after one has
/// timed out, and closes after its last open answer.
#[derive(Debug, Clone)]
pub(crate) struct PeerClients {
    me: Incarnation,
    connections: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
}

/// A connection to another entry node.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    channel: Channel,
    created_at: Instant,
    /// When it was opened or last answered; `None` if neither is known.
    answered_at: Arc<Mutex<Option<Instant>>>,
}

impl Connection {
    fn new(channel: Channel, answered_at: Option<Instant>) -> Self {
        let answered_at = Arc::new(Mutex::new(answered_at));
        Self { channel, created_at: Instant::now(), answered_at }
    }

    /// Returns a client that sends over this connection.
    pub(crate) fn client(&self) -> PeerClient<Channel> {
        PeerClient::new(self.channel.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }

    /// Records that the peer answered over this connection.
    pub(crate) fn note_answer(&self) {
        *self.answered_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    fn answered_at(&self) -> Option<Instant> {
        *self.answered_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answered_recently(&self) -> bool {
        self.answered_at().is_some_and(|answered_at| answered_at.elapsed() < RECENT_ANSWER)
    }

    /// Whether nothing has answered for a while, although the connection may be new.
    fn is_silent(&self) -> bool {
        self.answered_at().unwrap_or(self.created_at).elapsed() >= RECENT_ANSWER
    }

    fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.answered_at, &other.answered_at)
    }
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
        Self { me, connections: Arc::default() }
    }

    /// Returns the open connection to a peer, or one that is opened by its first call.
    fn connection(&self, peer: SocketAddr) -> Connection {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let lazy = || Connection::new(endpoint(peer).connect_lazy(), None);
        connections.entry(peer).or_insert_with(lazy).clone()
    }

    /// Returns a connection to a peer that answered recently, or else opens another one; `None` if
    /// that fails.
    pub(crate) async fn answering_connection(
        &self,
        peer: SocketAddr,
        connect_timeout: Duration,
    ) -> Option<Connection> {
        let known = self.known_connection(peer);
        if let Some(answering) = known.clone().filter(Connection::answered_recently) {
            return Some(answering);
        }
        let connecting = endpoint(peer).connect_timeout(connect_timeout);
        let Ok(Ok(channel)) = timeout(connect_timeout, connecting.connect()).await else {
            if let Some(silent) = known {
                self.forget(peer, &silent);
            }
            return None;
        };
        let opened = Connection::new(channel, Some(Instant::now()));
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let current = connections.entry(peer).or_insert_with(|| opened.clone());
        // A concurrent call may have opened one in the meantime.
        if !current.answered_recently() {
            *current = opened;
        }
        Some(current.clone())
    }

    fn known_connection(&self, peer: SocketAddr) -> Option<Connection> {
        let connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.get(&peer).cloned()
    }

    /// Sends no further call over a connection; its open answers go on.
    fn forget(&self, peer: SocketAddr, connection: &Connection) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        if connections.get(&peer).is_some_and(|current| current.is_same(connection)) {
            connections.remove(&peer);
        }
    }

    /// Waits for the answer to a call; `None` if it timed out.
    async fn answer<T>(
        &self,
        (peer, connection): (SocketAddr, &Connection),
        limit: Duration,
        call: impl Future<Output = Result<Response<T>, Status>>,
    ) -> Option<Result<T, Status>> {
        let answer = timeout(limit, call).await;
        match &answer {
            Ok(Ok(_)) => connection.note_answer(),
            // A call may be slow while others are answered over the same connection.
            Err(_) if connection.is_silent() => self.forget(peer, connection),
            Ok(Err(_)) | Err(_) => {}
        }
        Some(answer.ok()?.map(Response::into_inner))
    }

    /// Sends a dissemination message; `None` if it failed.
    pub(crate) async fn gossip(&self, peer: SocketAddr, payload: Vec<u8>) -> Option<Vec<u8>> {
        let message = pb::GossipMessage { from_vm: self.me.vm.to_string(), payload };
        let connection = self.connection(peer);
        let mut client = connection.client();
        let call = client.gossip(message);
        let answer = self.answer((peer, &connection), GOSSIP_TIMEOUT, call).await?;
        Some(answer.ok()?.payload)
    }

    /// Appends through a peer; `None` if the outcome is unknown.
    pub(crate) async fn relay_append(
        &self,
        peer: SocketAddr,
        batch: Vec<u8>,
        timeout_ms: u64,
    ) -> Option<Appended> {
        let connection = self.connection(peer);
        let mut client = connection.client();
        let call = client.relay_append(pb::RelayAppendRequest { batch });
        let limit = Duration::from_millis(2 * timeout_ms);
        let answer = self.answer((peer, &connection), limit, call).await?.ok()?;
        Some(Appended { append: answer.append, appended_at_ms: answer.appended_at_ms })
    }

    /// Fetches records from a peer.
    pub(crate) async fn fetch_records(
        &self,
        peer: SocketAddr,
        from_append: u64,
    ) -> Option<FetchedRecords> {
        let connection = self.connection(peer);
        let mut client = connection.client();
        let request = pb::FetchRecordsRequest { from_append, max_entries: MAX_FETCH_ENTRIES };
        let call = client.fetch_records(request);
        let answer = self.answer((peer, &connection), FETCH_TIMEOUT, call).await?.ok()?;
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
        let connection = self.connection(peer);
        let mut client = connection.client();
        let call = client.acquire_permit(request);
        let answer = self.answer((peer, &connection), PERMIT_TIMEOUT, call).await;
        answer.unwrap_or_else(|| Err(Status::deadline_exceeded("no answer from the owner")))
    }

    /// Returns the lower of a peer's folded offset and the lowest one in its data centre.
    pub(crate) async fn folded(&self, peer: SocketAddr) -> Option<Offset> {
        let connection = self.connection(peer);
        let mut client = connection.client();
        let call = client.folded(pb::FoldedRequest {});
        let answer = self.answer((peer, &connection), FOLDED_TIMEOUT, call).await?.ok()?;
        let (own, lowest) = (answer.offset?, answer.lowest_offset?);
        Some(offset_from_pb(&own).min(offset_from_pb(&lowest)))
    }

    /// Releases a permit; if the call fails, the permit expires by itself.
    pub(crate) async fn release_permit(&self, peer: SocketAddr, request: pb::ReleasePermitRequest) {
        let connection = self.connection(peer);
        let mut client = connection.client();
        let call = client.release_permit(request);
        let _ = self.answer((peer, &connection), PERMIT_TIMEOUT, call).await;
    }
}

fn endpoint(peer: SocketAddr) -> Endpoint {
    let uri = format!("http://{peer}");
    let endpoint = Endpoint::from_shared(uri).expect("an IP address and port form a valid URI");
    endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true)
}
