//! Allocates loopback addresses for nodes whose ports must be known before they listen.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Candidate ports. They lie below the ephemeral range, from which the system serves outgoing
/// connections and listeners on port 0: one of these took a port after it was chosen and before its
/// node listened.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;

/// Distance between the first candidate ports of two processes with consecutive ids.
const PROCESS_STRIDE: u32 = 331;

static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address that is free now. A process gets no port twice until it has used the
/// whole range.
///
/// Peers must know the port before the node listens on it, so port 0 cannot be used. Estates that
/// start concurrently must not get the same port: the second node to bind it would exit, and the
/// first would answer in its place.
pub fn free_address() -> std::io::Result<SocketAddr> {
    let range_len = u32::from(PORT_RANGE.end - PORT_RANGE.start);
    let first_offset = std::process::id().wrapping_mul(PROCESS_STRIDE);
    let mut last_error = std::io::Error::from(std::io::ErrorKind::AddrInUse);
    for _ in 0..range_len {
        let offset =
            first_offset.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)) % range_len;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, PORT_RANGE.start + offset as u16));
        // Nodes listen on TCP; some also listen on UDP.
        match TcpListener::bind(address).and_then(|_| UdpSocket::bind(address)) {
            Ok(_) => return Ok(address),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}
