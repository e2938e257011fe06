//! The configuration that operators manage: organisations, pools and routes.

use std::sync::Arc;

use crate::error::InvalidValue;
use crate::name::OrganisationName;
use crate::name::PoolName;
use crate::name::RouteName;

/// An organisation, its credential, its share of the capacity and its limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationSpec {
    /// The organisation's name.
    pub organisation: OrganisationName,
    /// SHA-256 of the callers' bearer token, in hex; the token itself is never stored.
    pub token_sha256: Arc<str>,
    /// Relative share of the capacity under contention, at least 1.
    pub weight: u32,
    /// Sustained request rate across all entry nodes; zero means no limit.
    pub limit_per_s: u32,
    /// Maximum number of requests in flight at one entry node; zero means no limit.
    pub limit_in_flight: u32,
}

impl OrganisationSpec {
    /// Checks the weight, by which other code divides, and the format of the token hash.
    pub fn check(self) -> Result<Self, InvalidValue> {
        if self.weight == 0 {
            return Err(InvalidValue::new("weight", "0", "a weight of at least 1"));
        }
        let is_hex = self.token_sha256.bytes().all(|b| b.is_ascii_hexdigit());
        if self.token_sha256.len() != 64 || !is_hex {
            return Err(InvalidValue::new("token_sha256", &*self.token_sha256, "64 hex digits"));
        }
        Ok(self)
    }
}

/// Whether a pool runs models or plain services.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PoolKind {
    /// Model engines that support chat completions, resuming and cancelling.
    Model,
    /// Plain HTTP services.
    Plain,
}

/// A pool of endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSpec {
    /// The pool's name.
    pub pool: PoolName,
    /// Whether the pool runs models or plain services.
    pub kind: PoolKind,
    /// The model served, empty for plain services.
    pub model: Arc<str>,
    /// The model version served, empty for plain services.
    pub version: Arc<str>,
    /// VMs in one group; 1 for plain services.
    pub group_vms: u32,
    /// Desired number of groups across all data centres; repair and resize work towards it.
    pub target_groups: u32,
    /// Maximum number of concurrent requests per group when warm.
    pub limit: u32,
    /// Maximum number of concurrent requests per group when cold or of unknown temperature.
    pub cold_limit: u32,
    /// Whether the endpoints refuse orders with an outdated fencing number.
    pub checks_fence: bool,
    /// HTTP statuses with which the endpoints report that a request did not run.
    pub not_run_statuses: Vec<u16>,
    /// Bytes each member loads from the weight store, for pacing.
    pub weight_bytes: u64,
}

impl PoolSpec {
    /// Checks the limits against each other.
    pub fn check(self) -> Result<Self, InvalidValue> {
        if self.group_vms == 0 || self.group_vms as usize > crate::group::MAX_GROUP_MEMBERS {
            let found = self.group_vms.to_string();
            return Err(InvalidValue::new("group_vms", found, "1 to 64"));
        }
        if self.limit == 0 {
            return Err(InvalidValue::new("limit", "0", "at least 1"));
        }
        if self.cold_limit == 0 || self.cold_limit > self.limit {
            let found = self.cold_limit.to_string();
            return Err(InvalidValue::new("cold_limit", found, "1 to the value of limit"));
        }
        Ok(self)
    }
}

/// Which requests a route matches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteMatch {
    /// Requests whose path starts with the prefix, which must end at a `/` boundary.
    PathPrefix(Arc<str>),
    /// Chat completion requests for this model name.
    Model(Arc<str>),
}

/// A route from callers' requests to a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSpec {
    /// The route's name.
    pub route: RouteName,
    /// Which requests the route matches.
    pub matches: RouteMatch,
    /// The pool that serves them.
    pub pool: PoolName,
    /// A second pool that receives copies of idempotent reads, to compare the responses while a
    /// service is migrated.
    pub compare_pool: Option<PoolName>,
    /// Whether requests may be retried; `None` decides by method (GET, HEAD, PUT and DELETE may).
    pub idempotent: Option<bool>,
    /// Deadline of requests that set none.
    pub deadline_ms: u64,
}

impl RouteSpec {
    /// Checks the prefix and the deadline.
    pub fn check(self) -> Result<Self, InvalidValue> {
        if let RouteMatch::PathPrefix(prefix) = &self.matches
            && !prefix.starts_with('/')
        {
            let expected = "a path that starts with /";
            return Err(InvalidValue::new("path_prefix", &**prefix, expected));
        }
        if self.deadline_ms == 0 {
            return Err(InvalidValue::new("deadline_ms", "0", "at least 1"));
        }
        Ok(self)
    }
}
