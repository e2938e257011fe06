//! Decisions about a fleet, replayed in virtual time.

mod directory;
mod groups;
mod lease;
mod load;
mod operators;
mod support;
mod waiting;
mod wishes;
mod world;
