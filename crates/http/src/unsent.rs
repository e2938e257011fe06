//! A bound on the bytes that the kernel holds of an answer that its caller does not read.

use std::io;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Bytes that the kernel takes for a connection beyond those under way. Without a limit it takes some
/// 3 MB of an answer that is not read, on each connection, where no bound of the node holds.
const MAX_UNSENT_BYTES: u32 = 16 * 1024;

/// Keeps bytes that cannot be sent yet in the process, which knows whose they are and bounds their sum.
/// The bytes under way, and so the throughput, are not limited.
pub fn limit_unsent(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES)
}
