//! HTTP code shared by both request paths: connections to endpoints and of callers, splitting of event streams and
//! timeouts. See `docs/design.md`, section 6.

pub mod accept_queue;
pub mod client;
pub mod event_order;
mod head_limit;
pub mod headers;
pub mod linger;
pub mod memory;
pub mod open_connections;
pub mod request_bodies;
pub mod reusable_timeout;
pub mod sse;
mod unsent;

pub use accept_queue::AcceptQueue;
pub use accept_queue::accept_queue;
pub use client::Client;
pub use client::ClientOptions;
pub use client::Conn;
pub use client::Reuse;
pub use client::SendError;
pub use client::final_status;
pub use event_order::EventOrder;
pub use event_order::RunOrder;
pub use event_order::Step;
pub use linger::Linger;
pub use memory::HeldMemory;
pub use memory::Reservation;
pub use open_connections::OpenConnections;
pub use request_bodies::BodyFailure;
pub use request_bodies::RequestBodies;
pub use request_bodies::STILL_AFTER;
pub use reusable_timeout::ReusableTimeout;
pub use sse::Event;
pub use sse::Splitter;
pub use unsent::limit_unsent;
