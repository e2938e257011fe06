//! Decisions on the request path: endpoint choice, admission, permits, limits and retries.
//!
//! Nothing here does I/O or reads a clock, so that every decision can be tested and measured in
//! virtual time. See `docs/design.md`, sections 8 and 10.

pub mod admission;
pub mod baseline;
pub mod cache;
pub mod choice;
pub mod limit;
pub mod loads;
pub mod permit;
pub mod retry;
pub mod subset;
pub mod table;

pub use admission::Admission;
pub use admission::Admit;
pub use choice::Choice;
pub use choice::ChoiceInput;
pub use choice::choose;
pub use loads::Loads;
pub use permit::PermitHolder;
pub use permit::PermitOwner;
pub use table::Group;
pub use table::Pool;
pub use table::RemoteDataCentre;
pub use table::Table;
pub use table::Temperature;
