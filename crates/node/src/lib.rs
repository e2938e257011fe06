//! The entry node: executes the effects of [`balsam_agent`] and serves callers, peers,
//! operators and monitoring.
//!
//! One task owns the reducer's state; all others send it events. See `docs/design.md`,
//! sections 5 and 7.

pub mod agent_task;
mod clock;
mod effects;
pub mod error;
mod log_task;
pub mod logging;
pub mod node;
mod operators;
mod peer_client;
mod peer_server;
mod permits;
mod ports;
mod probe;
mod recent;
mod telemetry;

pub use error::NodeError;
pub use node::Node;
