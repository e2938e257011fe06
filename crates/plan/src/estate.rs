//! The input of planning and repair.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use balsam_types::DataCentreName;
use balsam_types::GroupName;
use balsam_types::GroupSpec;
use balsam_types::Offset;
use balsam_types::OrganisationName;
use balsam_types::OrganisationSpec;
use balsam_types::PlanName;
use balsam_types::PoolName;
use balsam_types::PoolSpec;
use balsam_types::RouteName;
use balsam_types::RouteSpec;
use balsam_types::VmInfo;
use balsam_types::VmName;
use balsam_types::VmRole;
use balsam_types::VmState;
use balsam_types::record::ObjectRef;

/// Whether a VM is present, as agreed by the nodes that probe it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// Recent evidence says that the VM answers.
    Present,
    /// Evidence is old or contradictory.
    Suspect,
    /// The probing nodes agree that the VM does not answer.
    Missing,
}

/// A VM of the platform's VM list with its probe results.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmView {
    /// The entry of the VM list.
    pub info: VmInfo,
    /// The presence according to the probes.
    pub presence: Presence,
    /// Whether the VM answers, but slower than its peers.
    pub slow: bool,
    /// When the presence last changed.
    pub since_ms: u64,
}

impl VmView {
    /// Returns whether the VM may become a member of a new or rebuilt group.
    pub fn is_usable(&self) -> bool {
        self.presence == Presence::Present && !self.slow && self.info.state == VmState::Live
    }

    /// Returns the pool and the accelerators if the VM is an endpoint.
    pub fn endpoint(&self) -> Option<(&PoolName, u32)> {
        match &self.info.role {
            VmRole::Endpoint { pool, accelerators, .. } => Some((pool, *accelerators)),
            VmRole::Entry { .. } => None,
        }
    }
}

/// A group with the offset of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupView {
    /// The group as recorded in the log.
    pub spec: GroupSpec,
    /// The offset of the last accepted change, for `expect_offset`.
    pub changed: Offset,
    /// Since when a member has been missing; `None` while the group is complete.
    pub incomplete_since_ms: Option<u64>,
}

/// A pool with the offset of its last change and its load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolView {
    /// The pool as configured.
    pub spec: PoolSpec,
    /// The offset of the last accepted change.
    pub changed: Offset,
    /// Recent peak of requests in flight, to determine whether fewer groups suffice.
    pub peak_in_flight: u64,
}

/// A configured object with the offset of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Configured<T> {
    /// The object as configured.
    pub spec: T,
    /// The offset of the last accepted change.
    pub changed: Offset,
}

/// A transfer from the weight store that has started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// The VM that loads.
    pub vm: VmName,
    /// The group the VM loads for.
    pub group: GroupName,
    /// Bytes still to transfer.
    pub remaining_bytes: u64,
}

/// A change that is decided but not yet visible in the estate.
///
/// The caller lists the current step of each plan and appends without an answer, but no later
/// steps: otherwise a long roll would keep broken groups from being repaired.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InFlight {
    /// The plan, or `None` for a repair.
    pub plan: Option<PlanName>,
    /// The objects being changed.
    pub objects: Vec<ObjectRef>,
    /// The VMs that join or leave groups.
    pub vms: Vec<VmName>,
}

/// The input of planning and repair; its maps are ordered by name.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Estate {
    /// The offset of the last folded record.
    pub as_of: Offset,
    /// The current time on the caller's clock.
    pub now_ms: u64,
    /// The VMs by name.
    pub vms: BTreeMap<VmName, VmView>,
    /// The groups by name.
    pub groups: BTreeMap<GroupName, GroupView>,
    /// The pools by name.
    pub pools: BTreeMap<PoolName, PoolView>,
    /// The routes by name.
    pub routes: BTreeMap<RouteName, Configured<RouteSpec>>,
    /// The organisations by name.
    pub organisations: BTreeMap<OrganisationName, Configured<OrganisationSpec>>,
    /// The drained data centres with the offset of the drain.
    pub drained: BTreeMap<DataCentreName, Offset>,
    /// Transfers from the weight store in progress.
    pub transfers: Vec<Transfer>,
    /// Changes that are decided but not yet visible here.
    pub in_flight: Vec<InFlight>,
}

impl Estate {
    /// Returns the data centres that have VMs or are drained.
    pub fn data_centres(&self) -> BTreeSet<&DataCentreName> {
        let listed = self.vms.values().map(|vm| &vm.info.data_centre);
        listed.chain(self.drained.keys()).collect()
    }

    /// Returns whether the group can serve: its data centre is not drained, and every member is
    /// live and not missing.
    pub fn is_serving(&self, group: &GroupSpec) -> bool {
        let can_serve = |vm: &VmName| {
            self.vms.get(vm).is_some_and(|view| {
                view.presence != Presence::Missing && view.info.state == VmState::Live
            })
        };
        !self.drained.contains_key(&group.data_centre) && group.members.iter().all(can_serve)
    }

    /// Returns the groups of a pool in name order.
    pub fn groups_of<'a>(&'a self, pool: &'a PoolName) -> impl Iterator<Item = &'a GroupView> {
        self.groups.values().filter(move |group| group.spec.pool == *pool)
    }

    /// Returns the number of serving groups of every pool.
    pub fn serving(&self) -> BTreeMap<PoolName, u32> {
        let mut serving: BTreeMap<PoolName, u32> =
            self.pools.keys().map(|pool| (pool.clone(), 0)).collect();
        for group in self.groups.values().filter(|group| self.is_serving(&group.spec)) {
            if let Some(count) = serving.get_mut(&group.spec.pool) {
                *count += 1;
            }
        }
        serving
    }

    /// Returns the change in flight that affects the object.
    pub fn change_in_flight(&self, object: &ObjectRef) -> Option<&InFlight> {
        self.in_flight.iter().find(|change| change.objects.contains(object))
    }
}
