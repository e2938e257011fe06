//! The routing table: an immutable view of the estate for one node's request path.
//!
//! The node builds a new table after every relevant event and swaps it in as a whole, so that a
//! request sees one consistent state without locks. State that changes with each request, such as
//! the number in flight, is kept outside the table.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use balsam_types::DataCentreName;
use balsam_types::GroupName;
use balsam_types::Incarnation;
use balsam_types::Offset;
use balsam_types::OrganisationSpec;
use balsam_types::PoolName;
use balsam_types::PoolSpec;
use balsam_types::RouteMatch;
use balsam_types::RouteSpec;
use balsam_types::VmName;

/// The state of the estate that the request path of one node needs.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// The last log offset folded into this table.
    pub as_of: Offset,
    /// Whether the node's own data centre is drained; it then takes no new work for its groups.
    pub local_drained: bool,
    /// Organisations by the SHA-256 of their token in lower-case hex.
    pub organisations: HashMap<Arc<str>, Arc<OrganisationSpec>>,
    /// Routes by model name.
    pub model_routes: HashMap<Arc<str>, Arc<RouteSpec>>,
    /// Routes by path prefix, longest prefix first.
    pub path_routes: Vec<Arc<RouteSpec>>,
    /// Pools with their groups.
    pub pools: HashMap<PoolName, Arc<Pool>>,
}

/// A pool as seen from one data centre.
#[derive(Debug, Clone)]
pub struct Pool {
    /// The pool's configuration.
    pub spec: Arc<PoolSpec>,
    /// The groups of the node's own data centre, in the order of their names.
    pub groups: Vec<Group>,
    /// Other data centres with groups of this pool.
    pub remotes: Vec<RemoteDataCentre>,
}

/// A group of the node's own data centre.
#[derive(Debug, Clone)]
pub struct Group {
    /// The group's name.
    pub group: GroupName,
    /// The member that takes requests.
    pub head: VmName,
    /// The HTTP address of the head.
    pub address: SocketAddr,
    /// When the evidence that every member is present expires, in ms of the node's monotonic clock.
    /// After that, the group must get no work.
    pub evidence_until_ms: u64,
    /// Whether a member, the head's VM or the group is leaving; it must get no new work.
    pub leaving: bool,
    /// Whether the members respond slowly compared with the rest of the pool.
    pub slow: bool,
    /// The temperature in the last load report.
    pub temperature: Temperature,
    /// The endpoint process the report came from, empty if none came yet.
    pub instance: Arc<str>,
    /// Requests in flight in the last load report, over all senders.
    pub reported_in_flight: u32,
    /// When the last load report was made, in ms of the node's monotonic clock.
    pub reported_at_ms: u64,
    /// The owner of the group's cold-start permits.
    pub owner: Option<Owner>,
}

/// The entry node that grants the cold-start permits of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// The owner's process.
    pub node: Incarnation,
    /// The owner's peer port; `None` if this node is the owner itself.
    pub peer_address: Option<SocketAddr>,
}

/// Whether an endpoint can take full load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Temperature {
    /// No fresh report; treated as cold.
    #[default]
    Unknown,
    /// In cold start: takes at most the pool's `cold_limit` requests.
    Cold,
    /// Takes up to the pool's `limit` requests.
    Warm,
}

/// Another data centre that can serve a pool.
#[derive(Debug, Clone)]
pub struct RemoteDataCentre {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Its entry nodes that are believed alive, with their peer ports.
    pub entry_nodes: Vec<(VmName, SocketAddr)>,
    /// Groups of the pool that serve there, from its last summary.
    pub serving_groups: u32,
    /// Requests the pool can still take there, from its last summary.
    pub free_slots: u32,
    /// Whether the data centre is drained; it must get no new work.
    pub drained: bool,
    /// Whether it is in the same region; other regions are a last resort.
    pub same_region: bool,
    /// Share of its free slots to use, in percent; below 100 while the data centre returns.
    pub flow_back_percent: u8,
}

impl Table {
    /// Finds the organisation of a token hash in lower-case hex.
    pub fn organisation(&self, token_sha256: &str) -> Option<&Arc<OrganisationSpec>> {
        self.organisations.get(token_sha256)
    }

    /// Finds the route of a chat completion by its model name.
    pub fn route_for_model(&self, model: &str) -> Option<&Arc<RouteSpec>> {
        self.model_routes.get(model)
    }

    /// Finds the route with the longest prefix that matches the path at a `/` boundary.
    pub fn route_for_path(&self, path: &str) -> Option<&Arc<RouteSpec>> {
        self.path_routes.iter().find(|route| match &route.matches {
            RouteMatch::PathPrefix(prefix) => matches_prefix(path, prefix),
            RouteMatch::Model(_) => false,
        })
    }
}

fn matches_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    // A route for /orders must not capture /orders-old.
    #[rstest]
    #[case::exact("/orders", "/orders", true)]
    #[case::below("/orders/7", "/orders", true)]
    #[case::same_start_only("/orders-old", "/orders", false)]
    #[case::root("/anything", "/", true)]
    fn a_prefix_matches_only_at_a_segment_boundary(
        #[case] path: &str,
        #[case] prefix: &str,
        #[case] expected: bool,
    ) {
        assert_eq!(matches_prefix(path, prefix), expected);
    }
}
