//! Endpoints as they describe themselves in the list.

use std::net::SocketAddr;

use balsam_types::DataCentreName;
use balsam_types::FabricDomainName;
use balsam_types::GroupName;
use balsam_types::ModelName;
use balsam_types::PoolName;
use balsam_types::VmName;

/// One run of an endpoint, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Identifies this run; an endpoint that restarts usually has another name.
    pub vm: VmName,
    /// The pool it belongs to.
    pub pool: PoolName,
    /// The address for requests and orders.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its fabric domain, if it has one.
    pub domain: Option<FabricDomainName>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is draining.
    pub is_draining: bool,
    /// When its cold start ends, by this node's clock; zero if it is warm.
    pub cold_until_ms: u64,
    /// Models whose weights are on its host.
    pub staged: Vec<ModelName>,
    /// Its membership of a group.
    pub membership: Option<Membership>,
    /// Time of its start; distinguishes two runs with the same name.
    pub started_unix_ms: u64,
    /// Increases with each heartbeat of a run.
    pub sequence: u64,
}

/// Highest epoch that an entry may state.
pub const MAX_EPOCH: u64 = 1 << 62;

/// Membership of an endpoint in a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Membership {
    /// The group.
    pub group: GroupName,
    /// The fencing number of the order to join.
    pub epoch: u64,
    /// The rank among the members; the head has rank 0.
    pub rank: u32,
    /// The state of the member.
    pub state: MemberState,
}

/// State of a member of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Weights are being loaded.
    Joining,
    /// The member can serve; a head in this state waits for the order to open.
    Ready,
    /// The head serves requests.
    Open,
    /// The head finishes its running requests and accepts no more.
    Closing,
    /// A member has been lost for too long.
    Broken,
}

impl MemberState {
    /// Whether a head in this state has requests, or may get some.
    pub fn is_serving(self) -> bool {
        matches!(self, Self::Open | Self::Closing)
    }
}
