//! The replicated state: every node folds the log's records into its own copy in offset order.
//!
//! The fold is deterministic: nodes that have folded the same records agree on which of two
//! concurrent records was accepted, without an election. See `docs/design.md`, sections 7 and 9,
//! and `docs/decisions/0002-replicated-state.md`.

mod check;
pub mod claims;
mod control;
pub mod history;
pub mod limits;
pub mod plans;
mod recent;
pub mod recover;
pub mod rejection;
pub mod replicated;
pub mod snapshot;

pub use claims::ClaimView;
pub use control::Versioned;
pub use history::HistoryEntry;
pub use limits::Limits;
pub use plans::Phase;
pub use plans::PlanView;
pub use recover::LogEntry;
pub use recover::RecoverError;
pub use recover::SnapshotPolicy;
pub use recover::SnapshotProgress;
pub use recover::recover;
pub use recover::snapshot_due;
pub use rejection::LaterChange;
pub use rejection::Rejection;
pub use replicated::Replicated;
pub use replicated::Verdict;
pub use snapshot::SnapshotError;
