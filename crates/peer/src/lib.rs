//! Membership and dissemination between entry nodes. The caller provides I/O and the clock.
//!
//! Each node publishes one part: its own state, its probe results and, on relays, a summary of its
//! data centre. Nodes exchange digests of heartbeats and versions and fetch the parts that changed.
//! A heartbeat confirms all observations of its version, so unchanged evidence costs only a few
//! bytes per probing node. See `docs/design.md`, section 12, and
//! `docs/decisions/0006-dissemination.md`.

pub mod codec;
mod digest;
mod entry;
mod exchange;
mod local;
mod node;
mod relay;
mod schedule;
mod settings;
mod stops;
mod view;

pub use node::PeerNode;
pub use settings::PeerSettings;
pub use view::CapacitySummary;
pub use view::Contact;
pub use view::DataCentreSummary;
pub use view::Evidence;
pub use view::LocalObservation;
pub use view::LocalState;
pub use view::Member;
pub use view::MemberState;
pub use view::OutboundMessage;
pub use view::PeerEvent;
pub use view::PoolSummary;
pub use view::Presence;
pub use view::StopNotice;
pub use view::StopSubject;
pub use view::Temperature;
