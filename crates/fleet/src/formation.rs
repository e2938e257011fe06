//! Groups as shown by the list of endpoints, and the naming of groups.

use std::collections::BTreeMap;

use balsam_types::FabricDomainName;
use balsam_types::GroupName;
use balsam_types::ModelName;
use balsam_types::VmName;

use crate::configuration::Engine;
use crate::configuration::Model;
use crate::directory::Directory;
use crate::endpoint::MemberState;

/// Separates the model from the number in a group name.
const SEPARATOR: char = '.';

/// Returns the name of a group. It contains the model, so that a node that takes over planning
/// needs nothing but the list of endpoints.
pub fn group_name(model: &ModelName, number: u64) -> GroupName {
    // The name of a model is the operators'.
    GroupName::from_foreign(&format!("{model}{SEPARATOR}{number}"))
}

/// Returns the model of a group.
pub fn model_of<'a>(group: &GroupName, engine: &'a Engine) -> Option<&'a Model> {
    let (name, _) = group.as_str().rsplit_once(SEPARATOR)?;
    engine.models.iter().find(|model| model.name.as_str() == name)
}

/// A member as shown by the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The endpoint.
    pub vm: VmName,
    /// Its state.
    pub state: MemberState,
    /// Whether it is draining.
    pub is_draining: bool,
}

/// A group as shown by the list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ObservedGroup {
    /// The members by rank.
    pub members: BTreeMap<u32, Member>,
    /// The fabric domain of its members.
    pub domain: Option<FabricDomainName>,
}

impl ObservedGroup {
    /// Returns the head, if it is listed.
    pub fn head(&self) -> Option<&Member> {
        self.members.get(&0)
    }

    /// Whether all members of a group of this size are listed.
    pub fn is_complete(&self, size: u32) -> bool {
        (0..size).all(|rank| self.members.contains_key(&rank))
    }

    /// Whether every member can serve.
    pub fn is_ready(&self, size: u32) -> bool {
        let can_serve = |m: &Member| matches!(m.state, MemberState::Ready | MemberState::Open);
        self.is_complete(size) && self.members.values().all(can_serve)
    }
}

/// Collects the groups from the list of endpoints.
pub fn observe_groups(directory: &Directory) -> BTreeMap<(GroupName, u64), ObservedGroup> {
    let mut groups: BTreeMap<(GroupName, u64), ObservedGroup> = BTreeMap::new();
    for endpoint in directory.iter() {
        let Some(membership) = &endpoint.membership else { continue };
        let key = (membership.group.clone(), membership.epoch);
        let group = groups.entry(key).or_default();
        group.domain = endpoint.domain.clone();
        let member = Member {
            vm: endpoint.vm.clone(),
            state: membership.state,
            is_draining: endpoint.is_draining,
        };
        group.members.insert(membership.rank, member);
    }
    groups
}
