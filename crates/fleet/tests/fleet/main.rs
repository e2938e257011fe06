//! Decisions about a fleet, replayed in virtual time.

mod directory;
mod groups;
mod load;
mod support;
mod waiting;
mod world;
