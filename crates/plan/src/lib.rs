//! Turns intents into plans, forms and repairs groups, and paces load orders.
//!
//! Nothing here does I/O or reads a clock: every function maps an [`Estate`] to data, so two nodes
//! with the same estate compute the same actions. See `docs/design.md`, sections 11 and 13, and
//! `docs/decisions/0005-groups-and-repair.md`.

pub mod build;
pub mod estate;
pub mod intent;
pub mod pace;
mod place;
pub mod ramp;
pub mod refusal;
pub mod repair;
mod shrink;
pub mod suggest;

pub use build::make_plan;
pub use estate::Estate;
pub use intent::Intent;
pub use intent::PlanLimits;
pub use pace::pace;
pub use place::Placement;
pub use ramp::load_share;
pub use refusal::Refusal;
pub use refusal::Refusals;
pub use repair::RepairAction;
pub use repair::RepairLimits;
pub use repair::repair;
