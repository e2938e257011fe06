//! The cold-start permits that this node grants.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use balsam_agent::Agent;
use balsam_route::PermitOwner;
use balsam_route::Temperature;
use balsam_route::permit::PermitId;
use balsam_route::permit::PermitReply;
use balsam_route::permit::PermitRequest;
use balsam_route::permit::PermitTimes;
use balsam_route::permit::Predecessor;
use balsam_types::GroupName;
use balsam_types::Incarnation;
use balsam_types::Offset;

struct OwnedGroup {
    offset: Offset,
    owner: PermitOwner,
}

/// The permit owners of the groups that the log assigns to this node.
pub(crate) struct OwnedPermits {
    times: PermitTimes,
    owned: Mutex<HashMap<GroupName, OwnedGroup>>,
}

impl OwnedPermits {
    pub(crate) fn new(times: PermitTimes) -> Self {
        Self { times, owned: Mutex::default() }
    }

    /// Takes ownership of the groups that the log assigns to this node and drops all others.
    pub(crate) fn sync_with_log(&self, agent: &Agent, now_ms: u64) {
        let mut owned = self.lock();
        owned.retain(|group, owned_group| {
            let owner = agent.replicated.owner(group);
            owner.is_some_and(|owner| {
                *owner.value == agent.incarnation && owner.offset == owned_group.offset
            })
        });
        for (group, owner) in agent.replicated.owners() {
            let cold_limit = agent
                .replicated
                .group(group)
                .and_then(|group| agent.replicated.pool(&group.value.pool))
                .map_or(0, |pool| pool.value.cold_limit);
            if let Some(owned_group) = owned.get_mut(group) {
                owned_group.owner.set_cold_limit(cold_limit);
                continue;
            }
            if *owner.value != agent.incarnation {
                continue;
            }
            let predecessor = match agent.previous_owner_offsets.get(group) {
                Some(former) if *former == Offset::default() => Predecessor::None,
                former => Predecessor::Owner(former.copied().unwrap_or_default()),
            };
            let offset = owner.offset;
            let owner = PermitOwner::new(self.times, cold_limit, offset, predecessor, now_ms);
            owned.insert(group.clone(), OwnedGroup { offset, owner });
        }
    }

    /// Updates the owners with the current time, the last time the log was read to its head, and
    /// the endpoints' reports.
    pub(crate) fn tick(&self, agent: &Agent, now_ms: u64) {
        for (group, owned_group) in self.lock().iter_mut() {
            owned_group.owner.tick(now_ms);
            if let Some(read_ms) = agent.log.head_read_ms {
                owned_group.owner.record_head_read(read_ms);
            }
            observe(&mut owned_group.owner, agent, group, now_ms);
        }
    }

    /// Handles a permit request; `None` if this node does not own the group's permits.
    pub(crate) fn acquire(
        &self,
        group: &GroupName,
        request: PermitRequest,
        now_ms: u64,
    ) -> Option<PermitReply> {
        let mut owned = self.lock();
        Some(owned.get_mut(group)?.owner.request(request, now_ms))
    }

    /// Releases a permit.
    pub(crate) fn release(&self, group: &GroupName, id: PermitId, holder: &Incarnation) {
        if let Some(owned_group) = self.lock().get_mut(group) {
            owned_group.owner.release(id, holder);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<GroupName, OwnedGroup>> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn observe(owner: &mut PermitOwner, agent: &Agent, group: &GroupName, now_ms: u64) {
    let head = agent.replicated.group(group).map(|group| group.value.head());
    let Some(seen) = head.and_then(|head| agent.observations.get(head)) else {
        return;
    };
    let is_fresh = now_ms < seen.observed_ms + agent.settings.evidence_fresh_ms;
    let temperature = if is_fresh { seen.report.temperature } else { Temperature::Unknown };
    let reported_ms = seen.observed_ms.saturating_sub(seen.report.age_ms);
    let in_flight = seen.report.in_flight;
    owner.observe(&seen.report.instance, temperature, in_flight, reported_ms, now_ms);
}
