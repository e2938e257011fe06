//! The types that a node publishes and learns from its peers.

use std::net::SocketAddr;
use std::sync::Arc;

use balsam_types::DataCentreName;
use balsam_types::Incarnation;
use balsam_types::Offset;
use balsam_types::PoolName;
use balsam_types::RegionName;
use balsam_types::VmName;

/// A payload to send to a peer in a unary call; the reply goes to `receive_reply`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutboundMessage {
    /// The peer's address.
    pub to_address: SocketAddr,
    /// The encoded message.
    pub payload: Vec<u8>,
}

/// An initial contact address, from the VM list or from static settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contact {
    /// The peer's address.
    pub address: SocketAddr,
    /// The peer's data centre, if known.
    pub data_centre: Option<DataCentreName>,
}

/// The state of an entry node as this node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Heartbeats arrive.
    Alive,
    /// No newer heartbeat within the suspicion timeout.
    Suspect,
    /// The node is shutting down and takes no new work.
    Leaving,
    /// No newer heartbeat for so long that the node no longer counts as a member.
    Gone,
}

/// An entry node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its region.
    pub region: RegionName,
    /// The address at which its peers reach it.
    pub peer_address: SocketAddr,
    /// Its state as this node sees it.
    pub state: MemberState,
    /// The highest offset it is known to have folded.
    pub folded_offset: Offset,
    /// Whether it could reach the platform according to its last part.
    pub platform_reachable: bool,
    /// The highest heartbeat seen; it never decreases for one incarnation.
    pub heartbeat: u64,
    /// The age of that heartbeat.
    pub age_ms: u64,
}

/// The result of a probe of an endpoint VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Presence {
    /// It answered in time.
    Present,
    /// It did not answer.
    Missing,
    /// It answered late, which does not count as a failure.
    Slow,
    /// It answered that it is leaving.
    Leaving,
}

/// Whether an endpoint is in cold start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Temperature {
    /// Not reported.
    Unknown,
    /// In cold start.
    Cold,
    /// Takes full load.
    Warm,
}

/// One probe result of this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalObservation {
    /// The probed VM.
    pub vm: VmName,
    /// What was found.
    pub presence: Presence,
    /// The endpoint's instance, empty when unknown; at most 128 bytes.
    pub instance: Arc<str>,
    /// Its temperature.
    pub temperature: Temperature,
    /// Its requests in flight.
    pub in_flight: u32,
    /// The fencing number of the last order it followed, zero for plain services.
    pub fence: u64,
    /// Whether that order has been carried out.
    pub ready: bool,
    /// When the probe was made, by this node's clock.
    pub observed_at_ms: u64,
}

/// Evidence about an endpoint VM from one observer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// The probed VM.
    pub vm: VmName,
    /// The node that probed it.
    pub observer: Incarnation,
    /// An upper bound of the time since the probe, as long as the transit time of the observer's
    /// fastest messages plus the clock drift since the last of them stays within 30 ms. Beyond that
    /// it is too low by the excess.
    pub age_ms: u64,
    /// What was found.
    pub presence: Presence,
    /// The endpoint's instance, empty when unknown.
    pub instance: Arc<str>,
    /// Its temperature.
    pub temperature: Temperature,
    /// Its requests in flight; changes of load alone are published less often.
    pub in_flight: u32,
    /// The fencing number of the last order it followed, zero for plain services.
    pub fence: u64,
    /// Whether that order has been carried out.
    pub ready: bool,
}

/// Capacity of one pool in a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSummary {
    /// The pool.
    pub pool: PoolName,
    /// Groups that serve.
    pub serving_groups: u32,
    /// Requests that the pool could still take.
    pub free_slots: u32,
}

/// A node's summary of its data centre; published only while the node is a relay.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CapacitySummary {
    /// Whether the data centre is drained.
    pub drained: bool,
    /// The log offset at which the summary was computed.
    pub offset: Offset,
    /// Its pools.
    pub pools: Vec<PoolSummary>,
}

/// The newest summary of a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentreSummary {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Its content.
    pub summary: CapacitySummary,
    /// The estimated time since the publishing node confirmed it.
    pub age_ms: u64,
}

/// What this node publishes about itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LocalState {
    /// Whether the node is shutting down.
    pub leaving: bool,
    /// The offset it has folded.
    pub folded_offset: Offset,
    /// Whether it can reach the platform.
    pub platform_reachable: bool,
    /// Its latest probe results.
    pub observations: Vec<LocalObservation>,
    /// Its summary of its data centre.
    pub summary: CapacitySummary,
}

/// What a stop notice takes out of service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StopSubject {
    /// A drained data centre.
    DataCentre(DataCentreName),
    /// A leaving endpoint VM.
    EndpointVm(VmName),
    /// A leaving entry node.
    EntryVm(VmName),
}

/// A decision to stop sending new work somewhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopNotice {
    /// Unique across nodes.
    pub id: u128,
    /// The node that raised it.
    pub origin: Incarnation,
    /// What is taken out of service.
    pub subject: StopSubject,
    /// When it expires, by this node's clock.
    pub expires_at_ms: u64,
    /// The offset that clears the notice, if any; the notice ends once this node has folded it.
    pub cleared_at: Option<Offset>,
}

/// A change that the caller may have to act on immediately.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerEvent {
    /// A stop notice was seen for the first time or was withdrawn.
    Stop(StopNotice),
    /// A node was seen for the first time or with a new incarnation.
    Joined(Incarnation),
    /// A node's published part changed, including its observations.
    Changed(Incarnation),
    /// A higher log offset became known.
    Offset(Offset),
}
