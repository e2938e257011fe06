//! The groups that were retired while they still ran requests, as data.

use std::collections::BTreeMap;
use std::sync::Arc;

use balsam_types::GroupName;
use balsam_types::GroupSpec;
use balsam_types::VmName;

/// The groups of this data centre, and those that were retired while every member was present.
#[derive(Debug, Default)]
pub struct FormerGroups {
    pub(crate) known: BTreeMap<GroupName, Arc<GroupSpec>>,
    pub(crate) retired: BTreeMap<GroupName, Retired>,
}

/// A group that was retired while every member was present.
#[derive(Debug)]
pub(crate) struct Retired {
    pub spec: Arc<GroupSpec>,
    pub retired_ms: u64,
    /// Whether the head was seen without requests after other nodes had stopped sending.
    pub idle: bool,
}

impl FormerGroups {
    /// Returns the heads of former groups that are not known to be idle.
    pub fn busy_heads(&self) -> impl Iterator<Item = (&VmName, &[VmName])> {
        let busy = self.retired.values().filter(|former| !former.idle);
        busy.map(|former| (former.spec.head(), former.spec.members.as_slice()))
    }
}
