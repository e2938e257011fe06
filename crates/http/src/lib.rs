//! HTTP code shared by both request paths: connections to endpoints, splitting of event streams and
//! timeouts. See `docs/design.md`, section 6.

pub mod client;
pub mod headers;
pub mod patience;
pub mod sse;

pub use client::Client;
pub use client::ClientOptions;
pub use client::Conn;
pub use client::SendError;
pub use patience::Patience;
pub use sse::Event;
pub use sse::Splitter;
