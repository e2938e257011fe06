//! Configuration, groups, permit owners and drains, and how changes apply to them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use balsam_types::DataCentreName;
use balsam_types::GroupName;
use balsam_types::GroupSpec;
use balsam_types::Incarnation;
use balsam_types::Offset;
use balsam_types::OrganisationName;
use balsam_types::OrganisationSpec;
use balsam_types::PoolName;
use balsam_types::PoolSpec;
use balsam_types::RecordKind;
use balsam_types::RouteName;
use balsam_types::RouteSpec;
use balsam_types::VmName;
use balsam_types::record::ObjectRef;
use sha2::Digest;
use sha2::Sha256;

use crate::check;
use crate::rejection::Rejection;

/// A value with its last accepted change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The value.
    pub value: Arc<T>,
    /// The offset of the last accepted change; also the value's fencing number.
    pub offset: Offset,
    /// What the change did, who made it and why.
    pub summary: Arc<str>,
}

/// A record of a removed object, kept to reject plans that were made before the removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Tombstone {
    pub(crate) offset: Offset,
    pub(crate) at_ms: u64,
    pub(crate) summary: Arc<str>,
    /// For a retired group, the [`members_hash`] of its members.
    pub(crate) members: Option<[u8; 16]>,
}

/// The offset, time and summary of a change that is being applied.
#[derive(Debug, Clone)]
pub(crate) struct ChangeContext {
    pub(crate) offset: Offset,
    pub(crate) now_ms: u64,
    pub(crate) summary: Arc<str>,
}

impl ChangeContext {
    fn versioned<T>(&self, value: T) -> Versioned<T> {
        Versioned {
            value: Arc::new(value),
            offset: self.offset,
            summary: Arc::clone(&self.summary),
        }
    }
}

/// Hashes the members in order, since the first one is the head of the group.
pub(crate) fn members_hash(members: &[VmName]) -> [u8; 16] {
    let mut hasher = Sha256::new();
    for member in members {
        hasher.update(member.as_str().as_bytes());
        hasher.update([0]);
    }
    let digest = hasher.finalize();
    let mut prefix = [0; 16];
    prefix.copy_from_slice(&digest[..16]);
    prefix
}

/// The objects that configuration, group and plan records change.
#[derive(Debug, Clone, Default)]
pub(crate) struct ControlState {
    pub(crate) organisations: BTreeMap<OrganisationName, Versioned<OrganisationSpec>>,
    pub(crate) pools: BTreeMap<PoolName, Versioned<PoolSpec>>,
    pub(crate) routes: BTreeMap<RouteName, Versioned<RouteSpec>>,
    pub(crate) groups: BTreeMap<GroupName, Versioned<GroupSpec>>,
    pub(crate) owners: BTreeMap<GroupName, Versioned<Incarnation>>,
    pub(crate) drains: BTreeMap<DataCentreName, Versioned<()>>,
    pub(crate) group_of: BTreeMap<VmName, GroupName>,
    tombstones: BTreeMap<ObjectRef, Tombstone>,
    eviction_queue: VecDeque<(u64, ObjectRef, Offset)>,
    /// The offset of the latest removal whose tombstone was evicted.
    pub(crate) tombstone_horizon: Offset,
}

impl ControlState {
    /// Returns the last change of an existing object.
    pub(crate) fn existing(&self, object: &ObjectRef) -> Option<(Offset, &Arc<str>)> {
        fn last_change_of<T>(versioned: &Versioned<T>) -> (Offset, &Arc<str>) {
            (versioned.offset, &versioned.summary)
        }
        match object {
            ObjectRef::Organisation(name) => self.organisations.get(name).map(last_change_of),
            ObjectRef::Pool(name) => self.pools.get(name).map(last_change_of),
            ObjectRef::Route(name) => self.routes.get(name).map(last_change_of),
            ObjectRef::Group(name) => self.groups.get(name).map(last_change_of),
            ObjectRef::Owner(name) => self.owners.get(name).map(last_change_of),
            ObjectRef::DataCentre(name) => self.drains.get(name).map(last_change_of),
            ObjectRef::Plan(_) | ObjectRef::Claim(_) => None,
        }
    }

    /// Returns the last change of an object, including its removal.
    pub(crate) fn last_change(&self, object: &ObjectRef) -> Option<(Offset, &Arc<str>)> {
        let tombstone = || self.tombstones.get(object).map(|r| (r.offset, &r.summary));
        self.existing(object).or_else(tombstone)
    }

    pub(crate) fn tombstone(&self, object: &ObjectRef) -> Option<&Tombstone> {
        self.tombstones.get(object)
    }

    /// Returns the tombstones in offset order.
    pub(crate) fn tombstones_by_offset(&self) -> Vec<(&ObjectRef, &Tombstone)> {
        let mut sorted: Vec<_> = self.tombstones.iter().collect();
        sorted.sort_by_key(|(_, tombstone)| tombstone.offset);
        sorted
    }

    pub(crate) fn insert_tombstone(&mut self, object: ObjectRef, tombstone: Tombstone) {
        self.eviction_queue.push_back((tombstone.at_ms, object.clone(), tombstone.offset));
        self.tombstones.insert(object, tombstone);
    }

    /// Evicts tombstones that are older than the window or exceed the maximum count.
    pub(crate) fn evict(&mut self, now_ms: u64, window_ms: u64, max_tombstones: usize) {
        while let Some((at_ms, object, offset)) = self.eviction_queue.front() {
            let is_stale =
                self.tombstones.get(object).is_none_or(|tombstone| tombstone.offset != *offset);
            let is_within_limit = self.tombstones.len() <= max_tombstones;
            if !is_stale && is_within_limit && at_ms.saturating_add(window_ms) >= now_ms {
                return;
            }
            // An entry is stale if its object was created or removed again in the meantime.
            if !is_stale {
                self.tombstones.remove(object);
                self.tombstone_horizon = self.tombstone_horizon.max(*offset);
            }
            self.eviction_queue.pop_front();
        }
    }

    /// Validates and applies a change; a rejected change leaves the state unmodified.
    ///
    /// Only record kinds that [`check::is_allowed_in_plan`] allows have an effect here.
    pub(crate) fn apply(
        &mut self,
        kind: &RecordKind,
        change: &ChangeContext,
    ) -> Result<(), Rejection> {
        check::change(self, kind)?;
        match kind {
            RecordKind::PutOrganisation(spec) => {
                let versioned = change.versioned(spec.clone());
                self.organisations.insert(spec.organisation.clone(), versioned);
            }
            RecordKind::PutPool(spec) => {
                self.pools.insert(spec.pool.clone(), change.versioned(spec.clone()));
            }
            RecordKind::PutRoute(spec) => {
                self.routes.insert(spec.route.clone(), change.versioned(spec.clone()));
            }
            RecordKind::DrainDataCentre(name) => {
                self.drains.insert(name.clone(), change.versioned(()));
            }
            RecordKind::FormGroup(spec) => {
                for member in &spec.members {
                    self.group_of.insert(member.clone(), spec.group.clone());
                }
                self.groups.insert(spec.group.clone(), change.versioned(spec.clone()));
            }
            RecordKind::AssignOwner { group, node } => {
                self.owners.insert(group.clone(), change.versioned(node.clone()));
            }
            RecordKind::RemoveOrganisation(name) => {
                self.organisations.remove(name);
            }
            RecordKind::RemovePool(name) => {
                self.pools.remove(name);
            }
            RecordKind::RemoveRoute(name) => {
                self.routes.remove(name);
            }
            RecordKind::ReturnDataCentre(name) => {
                self.drains.remove(name);
            }
            RecordKind::RetireGroup(name) => return self.retire_group(name, change),
            _ => return Ok(()),
        }
        let Some(object) = kind.object() else { return Ok(()) };
        if self.existing(&object).is_none() {
            self.add_tombstone(object, change, None);
        } else {
            self.tombstones.remove(&object);
        }
        Ok(())
    }

    fn retire_group(&mut self, name: &GroupName, change: &ChangeContext) -> Result<(), Rejection> {
        let Some(group) = self.groups.remove(name) else { return Ok(()) };
        for member in &group.value.members {
            self.group_of.remove(member);
        }
        if self.owners.remove(name).is_some() {
            self.add_tombstone(ObjectRef::Owner(name.clone()), change, None);
        }
        let members = Some(members_hash(&group.value.members));
        self.add_tombstone(ObjectRef::Group(name.clone()), change, members);
        Ok(())
    }

    fn add_tombstone(
        &mut self,
        object: ObjectRef,
        change: &ChangeContext,
        members: Option<[u8; 16]>,
    ) {
        let summary = Arc::clone(&change.summary);
        let (offset, at_ms) = (change.offset, change.now_ms);
        self.insert_tombstone(object, Tombstone { offset, at_ms, summary, members });
    }
}
