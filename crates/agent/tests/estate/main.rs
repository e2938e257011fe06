//! Reducers, a log and endpoints under faults drawn from a printed seed, in virtual time.
//!
//! `AGENT_SEEDS=N` runs N further seeds of the fault mix.

mod convert;
mod faults;
mod scenarios;
mod simulation;
