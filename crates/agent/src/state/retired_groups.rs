//! Groups that were retired while they may have been running requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use balsam_types::GroupName;
use balsam_types::GroupSpec;
use balsam_types::VmName;

/// The groups of this data centre, and those that were retired while every member was present.
#[derive(Debug, Default)]
pub struct RetiredGroups {
    pub(crate) current: BTreeMap<GroupName, Arc<GroupSpec>>,
    pub(crate) retired: BTreeMap<GroupName, RetiredGroup>,
}

/// A group that was retired while every member was present.
#[derive(Debug)]
pub(crate) struct RetiredGroup {
    pub spec: Arc<GroupSpec>,
    pub retired_ms: u64,
    /// Whether the head was seen without requests after other nodes had stopped sending them.
    pub is_idle: bool,
}

impl RetiredGroups {
    /// Returns the head and the members of each retired group that is not known to be idle.
    pub fn busy_heads(&self) -> impl Iterator<Item = (&VmName, &[VmName])> {
        let busy = self.retired.values().filter(|group| !group.is_idle);
        busy.map(|group| (group.spec.head(), group.spec.members.as_slice()))
    }
}
