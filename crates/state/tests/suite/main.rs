//! Integration tests of the replicated state.

mod common;
mod properties;
mod recovery;
mod rules;
