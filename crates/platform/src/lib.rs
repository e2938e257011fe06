//! Clients of the platform's log service and VM list.
//!
//! Each call has its own timeout, and the connections use HTTP/2 keep-alive, so that an
//! unresponsive connection is replaced. See `docs/design.md`, section 4.

mod error;
mod log;
mod vms;

pub use error::PlatformError;
pub use log::Appended;
pub use log::LogClient;
pub use log::LogEntry;
pub use log::ReadResponse;
pub use vms::VmListClient;

use std::net::SocketAddr;
use std::time::Duration;

use tonic::transport::Channel;
use tonic::transport::Endpoint;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

fn channel(address: SocketAddr) -> Channel {
    let uri = format!("http://{address}");
    let endpoint = Endpoint::from_shared(uri).expect("an IP address and port form a valid URI");
    endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .keep_alive_while_idle(true)
        .tcp_nodelay(true)
        .connect_lazy()
}
