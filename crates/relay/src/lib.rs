//! The request path of an entry node in front of a fleet of endpoints.
//!
//! [`Hub`] owns the state machine of `balsam_fleet` and executes its effects; [`Front`] accepts
//! callers' connections. Platform specifics are confined to [`Dialect`] and [`EndpointCalls`].
//! See `docs/decisions/0008-platform.md`.

mod answer;
mod attempt;
mod caller_conn;
mod calls;
mod clock;
mod decision_log;
mod dialect;
mod front;
mod gossip;
mod hub;
mod message;
mod metrics;
mod open_requests;
mod plain;
mod read_ahead;
mod request;
mod stream;
mod upstream;

pub use answer::Body;
pub use calls::EndpointCalls;
pub use clock::now_ms;
pub use decision_log::LogRateLimiter;
pub use dialect::Dialect;
pub use dialect::Work;
pub use front::Front;
pub use front::FrontOptions;
pub use gossip::ChangedRecord;
pub use gossip::Continuity;
pub use gossip::Gossip;
pub use gossip::GossipOptions;
pub use gossip::ListUpdate;
pub use hub::Hub;
pub use metrics::RelayMetrics;
