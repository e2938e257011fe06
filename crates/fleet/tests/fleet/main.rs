//! Tests of the fleet's decisions in virtual time.

mod admission;
mod admission_replay;
mod cost;
mod directory;
mod endpoint_notices;
mod groups;
mod heads;
mod late_orders;
mod lease;
mod load;
mod odd_entries;
mod old_list;
mod operators;
mod own_pauses;
mod planning_node;
mod quarantine;
mod quarantine_simulation;
mod restored_configuration;
mod silences;
mod simulation;
mod support;
mod uneven;
mod waiting;
