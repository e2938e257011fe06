//! Endpoints as they report themselves.

use std::net::SocketAddr;

use balsam_types::DataCentreName;
use balsam_types::FabricDomainName;
use balsam_types::GroupName;
use balsam_types::ModelName;
use balsam_types::PoolName;
use balsam_types::VmName;

/// One start of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Names this start; an endpoint that starts again mostly has another name.
    pub vm: VmName,
    /// The pool it belongs to.
    pub pool: PoolName,
    /// Where it takes requests and orders.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its fabric domain, if it has one.
    pub domain: Option<FabricDomainName>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// When its cold start ends, by this node's clock; zero if it is warm.
    pub cold_until_ms: u64,
    /// Models whose weights are on its host.
    pub staged: Vec<ModelName>,
    /// Its place in a group.
    pub membership: Option<Membership>,
    /// Time of its start, which tells two starts under one name apart.
    pub started_unix_ms: u64,
    /// Rises with each heartbeat of one start.
    pub sequence: u64,
}

/// The place of an endpoint in a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Membership {
    /// The group.
    pub group: GroupName,
    /// The fencing number of the order to join.
    pub epoch: u64,
    /// The place among the members; the head has 0.
    pub rank: u32,
    /// How far the member is.
    pub state: MemberState,
}

/// How far a member of a group is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Weights are being loaded.
    Joining,
    /// The member can serve; a head in this state waits for the order to open.
    Ready,
    /// The head serves requests.
    Open,
    /// The head ends its work and takes no more.
    Closing,
    /// A member was lost for too long.
    Broken,
}
