//! The reducer of an entry node: takes events and returns effects as data.
//!
//! Time is an input and nothing here does I/O, so a run can be replayed from its events. The node
//! binary executes the effects. See `docs/design.md`, sections 7, 9 and 11.

pub mod append;
pub mod claims;
pub mod effect;
pub mod estate;
pub mod event;
pub mod evidence;
#[cfg(test)]
mod fixture;
pub mod groups;
pub mod loads;
pub mod log;
pub mod plans;
pub mod rank;
pub mod reduce;
pub mod retired_groups;
pub mod state;
pub mod table;

pub use effect::Effect;
pub use event::Event;
pub use event::EventTime;
pub use reduce::reduce;
pub use state::Agent;
pub use state::AgentSettings;
