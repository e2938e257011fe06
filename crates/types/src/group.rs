//! Groups: the VMs that together form one replica.

use std::sync::Arc;

use crate::error::InvalidValue;
use crate::name::DataCentreName;
use crate::name::FabricDomainName;
use crate::name::GroupName;
use crate::name::PoolName;
use crate::name::VmName;

/// Maximum number of members of a group; the planned size is 8 VMs per model replica.
pub const MAX_GROUP_MEMBERS: usize = 64;

/// A group as recorded in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupSpec {
    /// The group's name, which is never reused for other members.
    pub group: GroupName,
    /// The pool the group serves.
    pub pool: PoolName,
    /// The data centre that contains all members.
    pub data_centre: DataCentreName,
    /// The fabric domain that contains all members.
    pub fabric_domain: FabricDomainName,
    /// The members; the first is the head, which receives requests.
    pub members: Vec<VmName>,
    /// The model version the members load, empty for plain services.
    ///
    /// It is fixed when the group is formed, so that a member that restarts while its pool is
    /// upgraded loads the same version as the other members.
    pub version: Arc<str>,
}

impl GroupSpec {
    /// Checks everything that does not depend on the rest of the state.
    pub fn check(self) -> Result<Self, InvalidValue> {
        let expected = "1 to 64 distinct members";
        let mut sorted = self.members.clone();
        sorted.sort();
        sorted.dedup();
        let is_distinct = sorted.len() == self.members.len();
        if is_distinct && (1..=MAX_GROUP_MEMBERS).contains(&self.members.len()) {
            return Ok(self);
        }
        Err(InvalidValue::new("members", format!("{:?}", self.members), expected))
    }

    /// Returns the member that receives requests.
    pub fn head(&self) -> &VmName {
        &self.members[0]
    }
}
