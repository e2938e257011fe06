//! Errors of calls to the platform.

use std::net::SocketAddr;

use balsam_wire::DecodeError;
use snafu::Snafu;

/// A call to the platform failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// The service returned an error or could not be reached.
    ///
    /// An append that fails with this error may have taken effect, because its response can be
    /// lost: the caller reads the log or appends records with the same ids again.
    #[snafu(display("{step} at {peer}: {source}"))]
    Call {
        /// The step that failed.
        step: &'static str,
        /// The service's address.
        peer: SocketAddr,
        /// The gRPC status.
        #[snafu(source(from(tonic::Status, Box::new)))]
        source: Box<tonic::Status>,
    },
    /// The service did not respond in time.
    #[snafu(display("{step} at {peer}: no answer within {timeout_ms} ms"))]
    TimedOut {
        /// The step that failed.
        step: &'static str,
        /// The service's address.
        peer: SocketAddr,
        /// The timeout.
        timeout_ms: u64,
    },
    /// The response could not be decoded.
    #[snafu(display("{step} at {peer}: {source}"))]
    Decode {
        /// The step that failed.
        step: &'static str,
        /// The service's address.
        peer: SocketAddr,
        /// The decoder's error.
        source: DecodeError,
    },
}
