//! Groups as their members report them, and the names that let any node read them.

use std::collections::BTreeMap;

use balsam_types::FabricDomainName;
use balsam_types::GroupName;
use balsam_types::ModelName;
use balsam_types::VmName;

use crate::configuration::Engine;
use crate::configuration::Model;
use crate::directory::Directory;
use crate::endpoint::MemberState;

/// Parts the model from the number in the name of a group.
const SEPARATOR: char = '.';

/// Returns the name of a group: it carries the model, so that a node that takes over the planning
/// needs nothing but the list of endpoints.
pub fn group_name(model: &ModelName, number: u64) -> Option<GroupName> {
    GroupName::try_from(format!("{model}{SEPARATOR}{number}")).ok()
}

/// Returns the model of a group.
pub fn model_of<'a>(group: &GroupName, engine: &'a Engine) -> Option<&'a Model> {
    let (name, _) = group.as_str().rsplit_once(SEPARATOR)?;
    engine.models.iter().find(|model| model.name.as_str() == name)
}

/// A member as the list shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The endpoint.
    pub vm: VmName,
    /// How far it is.
    pub state: MemberState,
    /// Whether it is about to leave.
    pub is_draining: bool,
}

/// A group as the list shows it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Observed {
    /// The members by rank.
    pub members: BTreeMap<u32, Member>,
    /// The fabric domain of its members.
    pub domain: Option<FabricDomainName>,
}

impl Observed {
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
pub fn observe(directory: &Directory) -> BTreeMap<(GroupName, u64), Observed> {
    let mut groups: BTreeMap<(GroupName, u64), Observed> = BTreeMap::new();
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
