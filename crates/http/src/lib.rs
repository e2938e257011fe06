//! HTTP code shared by both request paths: connections to endpoints, splitting of event streams and
//! timeouts. See `docs/design.md`, section 6.

pub mod client;
pub mod headers;
pub mod reusable_timeout;
pub mod sse;

pub use client::Client;
pub use client::ClientOptions;
pub use client::Conn;
pub use client::Reuse;
pub use client::SendError;
pub use reusable_timeout::ReusableTimeout;
pub use sse::Event;
pub use sse::Splitter;
