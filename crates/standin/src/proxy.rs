//! A TCP proxy that simulates network faults.
//!
//! It forwards bytes without knowledge of the protocol, so it works for every kind of link.

use std::collections::BTreeMap;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;

const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum number of chunks in transit in one direction; more wait in the socket buffers.
const MAX_CHUNKS_IN_TRANSIT: usize = 64;

/// Length of the queue of connections that are not accepted yet.
const LISTEN_BACKLOG: u32 = 1024;

/// The faults of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// One-way delay.
    pub delay_ms: u64,
    /// Maximum random addition to `delay_ms`, drawn for each chunk.
    pub delay_variation_ms: u64,
    /// Percentage of chunks that are lost and retransmitted, which TCP shows as a stall.
    pub loss_percent: u32,
    /// How long a lost chunk stalls the direction.
    pub stall_ms: u64,
    /// No data reaches the target; it is held back until the fault ends.
    pub silent_to_target: bool,
    /// No data reaches the client; it is held back until the fault ends.
    pub silent_to_client: bool,
    /// Bandwidth limit of each direction in bytes per second; zero for no limit.
    pub bytes_per_s: u64,
    /// Open connections are reset and new ones fail.
    pub is_cut: bool,
}

/// Maps the address of a client to the name of its source, so that faults can be set per source.
pub type Classify = Arc<dyn Fn(SocketAddr) -> Option<Arc<str>> + Send + Sync>;

#[derive(Debug, Clone, Default)]
struct FaultRules {
    faults: LinkFaults,
    by_source: BTreeMap<Arc<str>, LinkFaults>,
    /// Connections with a lower number forward no more data.
    silent_below: u64,
    /// Connections with a lower number are reset.
    reset_below: u64,
}

impl FaultRules {
    fn faults_of(&self, source: Option<&Arc<str>>) -> LinkFaults {
        source.and_then(|source| self.by_source.get(source)).copied().unwrap_or(self.faults)
    }
}

struct Shared {
    target: Mutex<SocketAddr>,
    rules: watch::Sender<FaultRules>,
    connection_count: Mutex<u64>,
    seed: u64,
    classify: Option<Classify>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Handle of a running proxy; dropping it resets every connection.
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy on a free loopback port.
    pub async fn start(target: SocketAddr, seed: u64) -> io::Result<Self> {
        Self::start_classified(target, seed, None).await
    }

    /// Starts a proxy that can apply different faults to different sources.
    pub async fn start_classified(
        target: SocketAddr,
        seed: u64,
        classify: Option<Classify>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target: Mutex::new(target),
            rules: watch::Sender::new(FaultRules::default()),
            connection_count: Mutex::new(0),
            seed,
            classify,
        });
        let task = tokio::spawn(accept_connections(shared.clone(), address, listener));
        Ok(Self { address, shared, task })
    }

    /// Returns the address to which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the seed of the random faults.
    pub fn seed(&self) -> u64 {
        self.shared.seed
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.shared.target) = target;
    }

    /// Sets the faults of all sources that have none set by [`Proxy::set_faults_for`].
    pub fn set_faults(&self, faults: LinkFaults) {
        self.shared.rules.send_modify(|rules| rules.faults = faults);
    }

    /// Sets the faults of one source.
    pub fn set_faults_for(&self, source: &str, faults: LinkFaults) {
        self.shared.rules.send_modify(|rules| {
            rules.by_source.insert(Arc::from(source), faults);
        });
    }

    /// Removes the faults of one source.
    pub fn heal_for(&self, source: &str) {
        self.shared.rules.send_modify(|rules| {
            rules.by_source.remove(source);
        });
    }

    /// Removes all faults; silenced connections stay silent.
    pub fn heal(&self) {
        self.shared.rules.send_modify(|rules| {
            rules.faults = LinkFaults::default();
            rules.by_source.clear();
        });
    }

    /// Resets all open connections; new ones work.
    pub fn reset_open_connections(&self) {
        let connection_count = self.connections();
        self.shared.rules.send_modify(|rules| rules.reset_below = connection_count);
    }

    /// Silences all open connections permanently; new ones work.
    pub fn silence_open_connections(&self) {
        let connection_count = self.connections();
        self.shared.rules.send_modify(|rules| rules.silent_below = connection_count);
    }

    /// Returns the number of connections opened so far.
    pub fn connections(&self) -> u64 {
        *lock(&self.shared.connection_count)
    }
}

async fn accept_connections(shared: Arc<Shared>, address: SocketAddr, listener: TcpListener) {
    let mut rules = shared.rules.subscribe();
    let mut connections = JoinSet::new();
    let mut listener = Some(listener);
    loop {
        let is_cut = rules.borrow_and_update().faults.is_cut;
        if is_cut {
            // A socket that is bound but not listening refuses connections and reserves the port.
            listener = None;
            let _reserved = bind(address);
            if rules.changed().await.is_err() {
                return;
            }
            continue;
        }
        if listener.is_none() {
            listener = bind(address).and_then(|socket| socket.listen(LISTEN_BACKLOG)).ok();
        }
        let Some(open) = &listener else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        tokio::select! {
            accepted = open.accept() => if let Ok((client, from)) = accepted {
                while connections.try_join_next().is_some() {}
                connections.spawn(handle_connection(shared.clone(), client, from));
            },
            changed = rules.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn handle_connection(shared: Arc<Shared>, mut client: TcpStream, from: SocketAddr) {
    let number = {
        let mut connection_count = lock(&shared.connection_count);
        *connection_count += 1;
        *connection_count - 1
    };
    let source = shared.classify.as_ref().and_then(|classify| classify(from));
    let mut rules = shared.rules.subscribe();
    // A connection of unknown source could evade the faults of its source, so it is reset while any
    // source has faults.
    let is_unknown = shared.classify.is_some() && source.is_none();
    let must_reset = |rules: &FaultRules| {
        let may_be_affected = is_unknown && !rules.by_source.is_empty();
        may_be_affected || number < rules.reset_below || rules.faults_of(source.as_ref()).is_cut
    };
    // With a zero linger time, dropping a socket resets the connection. This is undone below once
    // both directions have ended cleanly.
    let _ = client.set_zero_linger();
    if must_reset(&rules.borrow()) {
        return;
    }
    let target = *lock(&shared.target);
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = server.set_zero_linger();
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let direction = |to_target| Direction {
        rules: shared.rules.subscribe(),
        source: source.clone(),
        number,
        to_target,
        rng: ChaCha8Rng::seed_from_u64(shared.seed ^ (number << 1) ^ u64::from(to_target)),
    };
    let both = async {
        tokio::try_join!(
            direction(true).forward(client_read, server_write),
            direction(false).forward(server_read, client_write),
        )
    };
    let is_clean_end = tokio::select! {
        ended = both => ended.is_ok(),
        _ = rules.wait_for(must_reset) => false,
    };
    if is_clean_end {
        let _ = disable_zero_linger(&client);
        let _ = disable_zero_linger(&server);
    }
}

/// Lets the kernel send buffered data after the socket is dropped, instead of a reset.
#[expect(deprecated, reason = "a drop blocks only with a linger time, and this removes it")]
fn disable_zero_linger(stream: &TcpStream) -> io::Result<()> {
    stream.set_linger(None)
}

/// One direction of one connection.
struct Direction {
    rules: watch::Receiver<FaultRules>,
    source: Option<Arc<str>>,
    number: u64,
    to_target: bool,
    rng: ChaCha8Rng,
}

impl Direction {
    async fn forward(mut self, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>) -> io::Result<()> {
        let (sender, mut receiver) = mpsc::channel::<(Instant, Bytes)>(MAX_CHUNKS_IN_TRANSIT);
        let mut rules = self.rules.clone();
        let (source, number, to_target) = (self.source.clone(), self.number, self.to_target);
        let reading = async move {
            let mut buffer = vec![0; CHUNK_BYTES];
            let mut last = Instant::now();
            loop {
                let count = from.read(&mut buffer).await?;
                last = self.arrival_time(last, count);
                // The receiver is closed early only if its socket failed.
                let chunk = Bytes::copy_from_slice(&buffer[..count]);
                if sender.send((last, chunk)).await.is_err() || count == 0 {
                    return Ok(());
                }
            }
        };
        let writing = async move {
            while let Some((arrival, chunk)) = receiver.recv().await {
                sleep_until(arrival).await;
                let is_open = |rules: &FaultRules| {
                    let faults = rules.faults_of(source.as_ref());
                    let is_silent = match to_target {
                        true => faults.silent_to_target,
                        false => faults.silent_to_client,
                    };
                    number >= rules.silent_below && !is_silent
                };
                if rules.wait_for(is_open).await.is_err() {
                    pending::<()>().await;
                }
                match chunk.is_empty() {
                    true => to.shutdown().await?,
                    false => to.write_all(&chunk).await?,
                }
            }
            Ok(())
        };
        tokio::try_join!(reading, writing).map(drop)
    }

    /// Draws the arrival time of a chunk, which is never earlier than that of the previous chunk.
    fn arrival_time(&mut self, last: Instant, count: usize) -> Instant {
        let faults = self.rules.borrow().faults_of(self.source.as_ref());
        let mut delay_ms = faults.delay_ms + self.rng.random_range(0..=faults.delay_variation_ms);
        if self.rng.random_range(0..100) < faults.loss_percent {
            delay_ms += faults.stall_ms;
        }
        let now = Instant::now();
        let sending_us = (count as u64 * 1_000_000).checked_div(faults.bytes_per_s).unwrap_or(0);
        let sent = last.max(now) + Duration::from_micros(sending_us);
        (sent + Duration::from_millis(delay_ms)).max(last)
    }
}

#[cfg(test)]
mod tests {
    use tokio::time::timeout;

    use super::*;

    const SEED: u64 = 7;
    const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);
    const TEST_TIMEOUT: Duration = Duration::from_secs(20);

    /// Starts an echo server behind a proxy.
    async fn start_echo_proxy() -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = listener.local_addr().unwrap();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(async move {
                    let (mut read, mut write) = stream.into_split();
                    let _ = tokio::io::copy(&mut read, &mut write).await;
                });
            }
        });
        eprintln!("seed {SEED}");
        Proxy::start(target, SEED).await.unwrap()
    }

    async fn round_trip(stream: &mut TcpStream, text: &[u8]) -> io::Result<Vec<u8>> {
        stream.write_all(text).await?;
        let mut answer = vec![0; text.len()];
        stream.read_exact(&mut answer).await?;
        Ok(answer)
    }

    async fn is_silent(stream: &mut TcpStream) -> bool {
        timeout(SILENCE_TIMEOUT, round_trip(stream, b"lost")).await.is_err()
    }

    /// Guards against a proxy that changes, reorders or truncates the data.
    #[tokio::test]
    async fn forwards_all_bytes_and_the_end_of_stream_without_faults() {
        let proxy = start_echo_proxy().await;
        let (mut read, mut write) = TcpStream::connect(proxy.address()).await.unwrap().into_split();
        let sent: Vec<u8> = (0..1_000_000_u32).map(|n| (n % 251) as u8).collect();
        let copy = sent.clone();
        let writing = tokio::spawn(async move {
            write.write_all(&copy).await.unwrap();
            write.shutdown().await.unwrap();
        });
        let mut got = Vec::new();
        timeout(TEST_TIMEOUT, read.read_to_end(&mut got)).await.unwrap().unwrap();
        writing.await.unwrap();
        assert!(got == sent);
    }

    /// Guards against faults that have no effect: each must add at least its delay.
    #[tokio::test]
    async fn delay_loss_and_bandwidth_limit_slow_down_a_round_trip() {
        let proxy = start_echo_proxy().await;
        let delay = LinkFaults { delay_ms: 40, delay_variation_ms: 5, ..LinkFaults::default() };
        let loss = LinkFaults { loss_percent: 100, stall_ms: 40, ..LinkFaults::default() };
        let bandwidth = LinkFaults { bytes_per_s: 1_000, ..LinkFaults::default() };
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        round_trip(&mut stream, b"open").await.unwrap();
        for faults in [delay, loss, bandwidth] {
            proxy.set_faults(faults);
            let started = Instant::now();
            let text = [b'x'; 40];
            assert_eq!(
                timeout(TEST_TIMEOUT, round_trip(&mut stream, &text)).await.unwrap().unwrap(),
                text
            );
            assert!(started.elapsed() >= Duration::from_millis(80), "{faults:?}");
        }
    }

    /// Guards against a reset that the client sees as a clean end of stream.
    #[tokio::test]
    async fn a_reset_gives_an_error_and_leaves_new_connections_working() {
        let proxy = start_echo_proxy().await;
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        round_trip(&mut stream, b"before").await.unwrap();
        proxy.reset_open_connections();
        let end = timeout(TEST_TIMEOUT, stream.read(&mut [0; 8])).await.unwrap();
        assert_eq!(end.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
        let mut fresh = TcpStream::connect(proxy.address()).await.unwrap();
        assert_eq!(round_trip(&mut fresh, b"after").await.unwrap(), b"after");
    }

    /// Guards against a one-way silence that loses bytes or affects both directions.
    #[tokio::test]
    async fn one_way_silence_holds_bytes_back_until_it_ends() {
        let proxy = start_echo_proxy().await;
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        round_trip(&mut stream, b"before").await.unwrap();
        for to_target in [true, false] {
            proxy.set_faults(LinkFaults {
                silent_to_target: to_target,
                silent_to_client: !to_target,
                ..LinkFaults::default()
            });
            assert!(is_silent(&mut stream).await);
            proxy.heal();
            let mut held = [0; 4];
            timeout(TEST_TIMEOUT, stream.read_exact(&mut held)).await.unwrap().unwrap();
            assert_eq!(&held, b"lost");
        }
    }

    /// Guards against a silence of open connections that also affects new ones.
    #[tokio::test]
    async fn silencing_open_connections_leaves_new_ones_working() {
        let proxy = start_echo_proxy().await;
        let mut old = TcpStream::connect(proxy.address()).await.unwrap();
        round_trip(&mut old, b"before").await.unwrap();
        proxy.silence_open_connections();
        assert!(is_silent(&mut old).await);
        let mut fresh = TcpStream::connect(proxy.address()).await.unwrap();
        assert_eq!(round_trip(&mut fresh, b"after").await.unwrap(), b"after");
    }

    /// Guards against a cut that leaves connections open or accepts new ones.
    #[tokio::test]
    async fn a_cut_link_resets_and_refuses_connections_until_healed() {
        let proxy = start_echo_proxy().await;
        let mut old = TcpStream::connect(proxy.address()).await.unwrap();
        round_trip(&mut old, b"before").await.unwrap();
        proxy.set_faults(LinkFaults { is_cut: true, ..LinkFaults::default() });
        assert!(timeout(TEST_TIMEOUT, old.read(&mut [0; 8])).await.unwrap().is_err());
        while TcpStream::connect(proxy.address()).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        proxy.heal();
        let healed = async {
            loop {
                if let Ok(mut stream) = TcpStream::connect(proxy.address()).await {
                    return round_trip(&mut stream, b"after").await.unwrap();
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        assert_eq!(timeout(TEST_TIMEOUT, healed).await.unwrap(), b"after");
    }

    /// Guards against a cut between two data centres that also affects a third.
    #[tokio::test]
    async fn faults_of_one_source_do_not_affect_other_sources() {
        let inner = start_echo_proxy().await;
        let first = TcpSocket::new_v4().unwrap();
        first.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let port = first.local_addr().unwrap().port();
        let classify: Classify =
            Arc::new(move |from| Some(Arc::from(if from.port() == port { "a" } else { "b" })));
        let proxy = Proxy::start_classified(inner.address(), SEED, Some(classify)).await.unwrap();
        proxy.set_faults_for("a", LinkFaults { is_cut: true, ..LinkFaults::default() });
        let mut first = first.connect(proxy.address()).await.unwrap();
        assert!(timeout(TEST_TIMEOUT, round_trip(&mut first, b"a")).await.unwrap().is_err());
        let mut second = TcpStream::connect(proxy.address()).await.unwrap();
        assert_eq!(round_trip(&mut second, b"b").await.unwrap(), b"b");
    }
}
