//! Simulates reducers, a log and endpoints in virtual time, with faults from a printed seed.
//!
//! `AGENT_SEEDS=N` runs the random faults with N more seeds.

mod convert;
mod faults;
mod scenarios;
mod simulation;
