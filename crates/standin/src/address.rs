//! Allocates loopback addresses for nodes whose ports must be known before they listen.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Candidate ports. They lie below the ephemeral range, from which the system serves outgoing
/// connections and listeners on port 0: one of these took a port after it was chosen and before its
/// node listened.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;

/// Distance between the first candidate ports of two processes with consecutive ids.
const PROCESS_STRIDE: u32 = 331;

/// Time until a port whose datagram was neither refused nor answered counts as in use.
const DATAGRAM_TIMEOUT: Duration = Duration::from_millis(20);

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
    for _ in 0..range_len {
        let offset =
            first_offset.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)) % range_len;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, PORT_RANGE.start + offset as u16));
        // Nodes listen on TCP; some also listen on UDP.
        if refuses_connections(address) && refuses_datagrams(address)? {
            return Ok(address);
        }
    }
    Err(std::io::ErrorKind::AddrInUse.into())
}

/// Returns whether no TCP listener has the address.
///
/// The check must not bind the address: a process that another thread starts at that moment would
/// inherit the socket, and the address would stay in use until that process executes its program.
fn refuses_connections(address: SocketAddr) -> bool {
    is_refused(TcpStream::connect(address))
}

/// Returns whether no UDP socket has the address, which is not bound for the reason above.
fn refuses_datagrams(address: SocketAddr) -> std::io::Result<bool> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    socket.set_read_timeout(Some(DATAGRAM_TIMEOUT))?;
    socket.connect(address)?;
    socket.send(&[])?;
    Ok(is_refused(socket.recv(&mut [0])))
}

fn is_refused<T>(result: std::io::Result<T>) -> bool {
    result.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}
