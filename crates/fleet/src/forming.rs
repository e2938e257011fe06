//! When groups that are being formed will serve.
//!
//! Handles the loss of all groups of a model: requests that would wait for a group that loads its
//! weights for longer than their callers stay are refused at once.

use std::collections::BTreeMap;

use balsam_types::DataCentreName;
use balsam_types::GroupName;

use crate::configuration::Engine;
use crate::configuration::Model;
use crate::directory::Directory;
use crate::endpoint::Endpoint;
use crate::endpoint::MemberState;
use crate::formation;

/// Groups whose members were told to join and that do not serve yet.
#[derive(Debug, Clone, Default)]
pub(crate) struct FormingGroups {
    groups: BTreeMap<GroupName, Forming>,
}

/// A group that does not serve yet.
#[derive(Debug, Clone)]
struct Forming {
    /// When this node first saw that a member joins.
    since_ms: u64,
    slots: u32,
    data_centre: DataCentreName,
    is_loading: bool,
    is_joining: bool,
}

impl FormingGroups {
    /// Follows the groups on the list.
    pub fn update(&mut self, now_ms: u64, directory: &Directory, engine: &Engine) {
        let before = std::mem::take(&mut self.groups);
        for endpoint in directory.iter().filter(|endpoint| !endpoint.is_draining) {
            let Some((group, model, state)) = forming(endpoint, engine) else { continue };
            let since_ms = before.get(group).map_or(now_ms, |forming| forming.since_ms);
            let forming = self.groups.entry(group.clone()).or_insert(Forming {
                since_ms,
                slots: endpoint.slots,
                data_centre: endpoint.data_centre.clone(),
                is_loading: false,
                is_joining: false,
            });
            let is_joining = state == MemberState::Joining;
            forming.is_joining |= is_joining;
            forming.is_loading |= is_joining && !endpoint.staged.contains(&model.name);
        }
    }

    /// Returns in which time each group that is being formed for a model will serve, and its slots.
    pub fn of<'a>(
        &'a self,
        now_ms: u64,
        engine: &'a Engine,
        model: &'a Model,
        is_evacuated: impl Fn(&DataCentreName) -> bool + 'a,
    ) -> impl Iterator<Item = (u64, u32)> + 'a {
        let of_model = self.groups.iter().filter(move |(group, forming)| {
            let of = formation::model_of(group, engine);
            of.is_some_and(|of| of.name == model.name) && !is_evacuated(&forming.data_centre)
        });
        of_model.map(move |(_, forming)| {
            let join_ms = match (forming.is_joining, forming.is_loading) {
                (false, _) => 0,
                (true, false) => model.warm_ms,
                (true, true) => model.load_ms,
            };
            let joined_ms = forming.since_ms.saturating_add(join_ms).saturating_sub(now_ms);
            (joined_ms.saturating_add(engine.form_ms), forming.slots)
        })
    }
}

fn forming<'a>(
    endpoint: &'a Endpoint,
    engine: &'a Engine,
) -> Option<(&'a GroupName, &'a Model, MemberState)> {
    let membership = endpoint.membership.as_ref()?;
    let is_under_way = matches!(membership.state, MemberState::Joining | MemberState::Ready);
    let model = formation::model_of(&membership.group, engine)?;
    is_under_way.then_some((&membership.group, model, membership.state))
}
