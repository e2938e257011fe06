//! Entries of the platform's VM list.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::name::DataCentreName;
use crate::name::FabricDomainName;
use crate::name::PoolName;
use crate::name::RegionName;
use crate::name::VmName;

/// The state of a VM as reported by the platform, which may be out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum VmState {
    /// The VM is running as far as the platform knows.
    Live,
    /// The VM is about to be removed and must get no new work.
    Leaving,
}

/// The purpose of a VM.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum VmRole {
    /// Runs an entry node.
    Entry {
        /// The address at which other entry nodes reach the node.
        peer_address: SocketAddr,
    },
    /// Runs an endpoint of a pool.
    Endpoint {
        /// The pool that the VM was provisioned for.
        pool: PoolName,
        /// The endpoint's HTTP address.
        address: SocketAddr,
        /// The number of accelerators, zero for plain services.
        accelerators: u32,
    },
}

/// One entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct VmInfo {
    /// The VM's name, unique across data centres.
    pub vm: VmName,
    /// The region of the data centre.
    pub region: RegionName,
    /// The data centre that contains the VM.
    pub data_centre: DataCentreName,
    /// The fabric domain; a group is formed within one domain.
    pub fabric_domain: FabricDomainName,
    /// Whether the VM is live or leaving.
    pub state: VmState,
    /// The purpose of the VM.
    pub role: VmRole,
}

/// A version of the VM list; the entries are shared because every consumer keeps them until the
/// next version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmList {
    /// When the platform created the list, by the platform's clock.
    pub as_of_ms: u64,
    /// The VMs in the platform's order.
    pub vms: Arc<[VmInfo]>,
}
