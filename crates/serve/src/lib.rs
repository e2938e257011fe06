//! The callers' HTTP interface of an entry node.
//!
//! [`Front`] accepts callers' connections, runs each request on an endpoint and streams the answer
//! back. It reaches the rest of the node through [`Ports`]. The guarantees to callers are described
//! in `docs/api.md`; why a non-idempotent request runs at most once is described in
//! `docs/decisions/0001-at-most-once.md`.

mod admit;
mod answer;
mod attempt;
mod body;
mod caller;
mod compare;
mod conn;
mod copies;
mod flow;
mod front;
mod keyed;
mod linger;
mod metrics;
mod open_connections;
mod options;
mod ports;
mod problem;
mod respond;
mod shared;
mod source;
mod target;

pub use front::Front;
pub use options::InvalidOptions;
pub use options::ServeOptions;
pub use ports::AnswerPart;
pub use ports::AttemptAnswer;
pub use ports::AttemptFailure;
pub use ports::Call;
pub use ports::ClaimDecision;
pub use ports::ClaimRequest;
pub use ports::ForwardCall;
pub use ports::Permit;
pub use ports::PermitRefusal;
pub use ports::PermitRequest;
pub use ports::Ports;
pub use problem::ProblemKind;
