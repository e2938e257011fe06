//! Addresses for nodes that are told their ports before they listen.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// The ports that are given out. They lie below those that the system gives to outgoing connections
/// and to listeners without a port of their own: one of these took a port between its choice and
/// the start of its node.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Ports between the first ones of two processes whose ids follow each other.
const PROCESS_STRIDE: u32 = 331;

static GIVEN: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address that was free a moment ago, and none of the last thousands twice.
///
/// Peers must know the port before the node listens on it, so port 0 would not do. Estates that are
/// started side by side must not get the same port: the node that comes second ends, while the
/// other one answers in its place.
pub fn free_address() -> std::io::Result<SocketAddr> {
    let span = u32::from(PORTS.end - PORTS.start);
    let first = std::process::id().wrapping_mul(PROCESS_STRIDE);
    let mut last = std::io::Error::from(std::io::ErrorKind::AddrInUse);
    for _ in 0..span {
        let offset = first.wrapping_add(GIVEN.fetch_add(1, Ordering::Relaxed)) % span;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, PORTS.start + offset as u16));
        // Nodes listen on TCP and some also on UDP.
        match TcpListener::bind(address).and_then(|_| UdpSocket::bind(address)) {
            Ok(_) => return Ok(address),
            Err(error) => last = error,
        }
    }
    Err(last)
}
