//! Decisions about a fleet of endpoints: where a request runs, how long it is queued, when it is
//! refused, when a group is considered lost, and how groups are formed again.
//!
//! [`reduce`] is the only entry point: it takes one [`Event`] and returns the [`Effect`]s to carry
//! out. Nothing here performs I/O or reads a clock. See `docs/decisions/0008-platform.md`.

mod admission;
mod choice;
pub mod configuration;
pub mod cost;
pub mod demand;
pub mod directory;
pub mod endpoint;
mod evacuations;
pub mod event;
pub mod formation;
mod forming;
mod head_evidence;
mod hidden_load;
pub mod lease;
pub mod load;
mod losses;
pub mod operators;
pub mod own_pauses;
pub mod pace;
pub mod pauses;
mod peer_reports;
pub mod placement;
pub mod planner;
pub mod position;
pub mod priority;
pub mod quarantine;
pub mod reachability;
mod reduce;
pub mod serving;
pub mod state;
pub mod suspicion;
pub mod waiting;

pub use configuration::Configuration;
pub use endpoint::Endpoint;
pub use event::Arrival;
pub use event::AttemptId;
pub use event::Effect;
pub use event::Event;
pub use event::Order;
pub use event::Refusal;
pub use event::Target;
pub use position::StorePosition;
pub use reduce::reduce;
pub use state::Fleet;
pub use state::FleetSettings;
pub use state::LoadPolicy;
