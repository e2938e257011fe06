//! Errors that keep an entry node from starting.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// The node could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// A listener could not be opened.
    #[snafu(display("{purpose}: listening on {address}: {source}"))]
    Listen {
        /// What the listener is for.
        purpose: &'static str,
        /// The address from the settings.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A signal handler could not be installed.
    #[snafu(display("installing the handler of {signal}: {source}"))]
    Signal {
        /// The signal.
        signal: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// The limits for callers contradict each other.
    #[snafu(display("limits for callers: {source}"))]
    Options {
        /// The invalid limit.
        source: balsam_serve::InvalidOptions,
    },
    /// The metrics exporter could not be set up.
    #[snafu(display("{source}"))]
    Telemetry {
        /// The cause.
        source: balsam_telemetry::TelemetryError,
    },
}
