//! Tests of the callers' interface with stand-in endpoints on loopback and fake ports.

mod answers;
mod broken_answers;
mod budget;
mod compare;
mod early_refusals;
mod full_node;
mod keyed;
mod late_requests;
mod limits;
mod repeated_refusals;
mod scarce_descriptors;
mod shutdown;
mod shutdown_limit;
mod silent_endpoints;
mod slow_readers;
mod streams;
mod support;
