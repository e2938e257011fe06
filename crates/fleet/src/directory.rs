//! The known endpoints, kept through outages of the platform's list.

use std::collections::BTreeMap;

use balsam_types::GroupName;
use balsam_types::VmName;

use crate::endpoint::Endpoint;

/// How long entries that lapsed during an outage of the list are kept after its return: the
/// platform guarantees that live endpoints are listed again within about two seconds.
pub const LAPSE_GRACE_MS: u64 = 2_200;

/// The list is considered unavailable when it was not read for this long.
pub const LIST_OUTAGE_MS: u64 = 1_500;

/// How long the heartbeats of an endpoint that left are remembered, so that an old heartbeat that
/// arrives late is recognised.
const HEARTBEAT_RETENTION_MS: u64 = 60_000;

/// A change of the list of endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListChange {
    /// An endpoint is listed with these values.
    Put(Box<Endpoint>),
    /// An endpoint is no longer listed.
    Removed(VmName),
    /// The complete list, as after a start or when changes were missed.
    Whole(Vec<Endpoint>),
    /// The complete list after the store came back from a copy some seconds old. Endpoints write
    /// their entries again.
    Restored(Vec<Endpoint>),
    /// A read found nothing new.
    Unchanged,
}

/// Result of applying a change of the list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Applied {
    /// Endpoints that were removed.
    pub removed: Vec<Endpoint>,
    /// Whether any entry may have changed.
    pub is_changed: bool,
}

/// Tolerance for the end of a cold start. Heartbeats state the remaining time by the endpoint's
/// clock; a smaller difference is due to the delay of the heartbeat.
const COLD_JITTER_MS: u64 = 1_000;

/// Whether an entry equals the known one; most heartbeats do.
fn is_same(known: &Endpoint, listed: &Endpoint) -> bool {
    let is_close = known.cold_until_ms.abs_diff(listed.cold_until_ms) < COLD_JITTER_MS;
    let Endpoint { cold_until_ms, sequence, .. } = *known;
    is_close && Endpoint { cold_until_ms, sequence, ..listed.clone() } == *known
}

/// The known endpoints.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    endpoints: BTreeMap<VmName, Endpoint>,
    /// Endpoints that lapsed around an outage, with the time at which they are removed.
    lapsed: BTreeMap<VmName, u64>,
    /// The start time and the highest heartbeat of each endpoint, and when it was received.
    heartbeats: BTreeMap<VmName, (u64, u64, u64)>,
    /// The start times of endpoints that announced in an answer that they are leaving, which the
    /// list may not show.
    leaving: BTreeMap<VmName, u64>,
    first_read_ms: Option<u64>,
    last_read_ms: Option<u64>,
    /// When this node's own last complete read began.
    own_read_begun_ms: Option<u64>,
    returned_ms: Option<u64>,
}

impl Directory {
    /// Applies a change.
    pub fn apply(&mut self, now_ms: u64, change: ListChange) -> Applied {
        self.note_read(now_ms);
        match change {
            ListChange::Put(endpoint) if self.is_stale(now_ms, &endpoint) => Applied::default(),
            ListChange::Put(endpoint) => {
                let endpoint = Box::new(self.with_leaving_mark(*endpoint));
                self.lapsed.remove(&endpoint.vm);
                let is_same =
                    self.endpoints.get(&endpoint.vm).is_some_and(|e| is_same(e, &endpoint));
                if !is_same {
                    self.endpoints.insert(endpoint.vm.clone(), *endpoint);
                }
                Applied { removed: Vec::new(), is_changed: !is_same }
            }
            ListChange::Removed(vm) => {
                let removed: Vec<Endpoint> = self.remove(now_ms, &vm).into_iter().collect();
                Applied { is_changed: !removed.is_empty(), removed }
            }
            ListChange::Whole(listed) => {
                Applied { removed: self.replace(now_ms, listed), is_changed: true }
            }
            ListChange::Restored(listed) => {
                // Entries that the copy lacks are as those that lapsed in an outage.
                self.returned_ms = Some(now_ms);
                let listed = listed.into_iter().filter(|entry| !self.has_left(entry)).collect();
                Applied { removed: self.replace(now_ms, listed), is_changed: true }
            }
            ListChange::Unchanged => Applied::default(),
        }
    }

    /// Marks an endpoint that announced that it is leaving; returns it unless it was draining
    /// already.
    pub fn mark_leaving(&mut self, vm: &VmName) -> Option<&Endpoint> {
        let endpoint = self.endpoints.get_mut(vm).filter(|endpoint| !endpoint.is_draining)?;
        endpoint.is_draining = true;
        self.leaving.insert(vm.clone(), endpoint.started_unix_ms);
        Some(endpoint)
    }

    /// Returns an entry as draining if that run of the endpoint announced that it is leaving.
    fn with_leaving_mark(&self, listed: Endpoint) -> Endpoint {
        let is_leaving = self.leaving.get(&listed.vm) == Some(&listed.started_unix_ms);
        Endpoint { is_draining: listed.is_draining || is_leaving, ..listed }
    }

    /// Extends grace periods by a pause of this node, in which it could not read the list.
    pub fn extend_grace(&mut self, paused_ms: u64) {
        self.lapsed.values_mut().for_each(|until_ms| *until_ms += paused_ms);
        self.returned_ms = self.returned_ms.map(|returned_ms| returned_ms + paused_ms);
    }

    /// Removes entries whose grace period has ended, and returns them.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Endpoint> {
        let due: Vec<VmName> = self
            .lapsed
            .iter()
            .filter(|(_, until_ms)| now_ms >= **until_ms)
            .map(|(vm, _)| vm.clone())
            .collect();
        due.iter()
            .filter_map(|vm| {
                self.lapsed.remove(vm);
                self.endpoints.remove(vm)
            })
            .collect()
    }

    /// Whether an entry equals the known one. The entry of an endpoint that lapsed is news: other
    /// nodes that are not told of it remove the endpoint.
    pub fn matches_known(&self, listed: &Endpoint) -> bool {
        let known =
            self.endpoints.get(&listed.vm).filter(|_| !self.lapsed.contains_key(&listed.vm));
        known.is_some_and(|known| is_same(known, &self.with_leaving_mark(listed.clone())))
    }

    /// Returns an endpoint by name.
    pub fn get(&self, vm: &VmName) -> Option<&Endpoint> {
        self.endpoints.get(vm)
    }

    /// Whether an endpoint is listed as a member of a group.
    pub fn has_member(&self, vm: &VmName, (group, epoch): &(GroupName, u64)) -> bool {
        let membership = self.get(vm).and_then(|endpoint| endpoint.membership.as_ref());
        membership.is_some_and(|m| m.group == *group && m.epoch == *epoch)
    }

    /// Returns all endpoints ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Returns the start time and the number of the last heartbeat of an endpoint.
    pub fn last_heartbeat(&self, vm: &VmName) -> Option<(u64, u64)> {
        self.heartbeats.get(vm).map(|(start, highest, _)| (*start, *highest))
    }

    /// Whether the list was read at least once.
    pub fn has_been_read(&self) -> bool {
        self.last_read_ms.is_some()
    }

    /// Returns when the list was first read.
    pub fn first_read_ms(&self) -> Option<u64> {
        self.first_read_ms
    }

    /// Returns when the list was last read.
    pub fn last_read_ms(&self) -> Option<u64> {
        self.last_read_ms
    }

    /// Returns the time since the list was last read.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        self.last_read_ms.map_or(u64::MAX, |read_ms| now_ms.saturating_sub(read_ms))
    }

    /// Records a read of this node that reached the end of the list.
    pub fn record_own_read(&mut self, begun_ms: u64) {
        self.own_read_begun_ms = self.own_read_begun_ms.max(Some(begun_ms));
    }

    /// Returns when this node's own last complete read began.
    ///
    /// The list shows at least what the store had accepted by then. The updates of other nodes have
    /// no such bound, as they do not say when they were read.
    pub fn own_read_begun_ms(&self) -> Option<u64> {
        self.own_read_begun_ms
    }

    /// Whether an entry is older than one received before. Treating it as the newest would show a
    /// head without the group that it serves.
    fn is_stale(&mut self, now_ms: u64, listed: &Endpoint) -> bool {
        let (start, sequence) = (listed.started_unix_ms, listed.sequence);
        let known = self.heartbeats.get(&listed.vm);
        let is_stale = known.is_some_and(|(known_start, highest, _)| {
            start < *known_start || (start == *known_start && sequence < *highest)
        });
        if !is_stale {
            self.heartbeats.insert(listed.vm.clone(), (start, sequence, now_ms));
        }
        is_stale
    }

    /// Whether an entry is no later than the last one of an endpoint that has left the list since.
    fn has_left(&self, listed: &Endpoint) -> bool {
        let entry = (listed.started_unix_ms, listed.sequence);
        let last = self.heartbeats.get(&listed.vm).map(|(start, highest, _)| (*start, *highest));
        !self.endpoints.contains_key(&listed.vm) && last.is_some_and(|last| entry <= last)
    }

    /// Removes the heartbeats of endpoints that left long ago.
    fn forget_heartbeats(&mut self, now_ms: u64) {
        let endpoints = &self.endpoints;
        self.heartbeats.retain(|vm, (.., seen_ms)| {
            endpoints.contains_key(vm) || now_ms < *seen_ms + HEARTBEAT_RETENTION_MS
        });
        let heartbeats = &self.heartbeats;
        self.leaving.retain(|vm, _| heartbeats.contains_key(vm));
    }

    fn note_read(&mut self, now_ms: u64) {
        let was_away = self.last_read_ms.is_some_and(|read_ms| now_ms > read_ms + LIST_OUTAGE_MS);
        if was_away {
            self.returned_ms = Some(now_ms);
        }
        self.first_read_ms.get_or_insert(now_ms);
        self.last_read_ms = Some(now_ms);
    }

    fn remove(&mut self, now_ms: u64, vm: &VmName) -> Option<Endpoint> {
        let grace_until_ms = self.returned_ms.map_or(0, |returned_ms| returned_ms + LAPSE_GRACE_MS);
        let is_draining = self.endpoints.get(vm)?.is_draining;
        if now_ms < grace_until_ms && !is_draining {
            self.lapsed.entry(vm.clone()).or_insert(grace_until_ms);
            return None;
        }
        self.lapsed.remove(vm);
        self.endpoints.remove(vm)
    }

    fn replace(&mut self, now_ms: u64, listed: Vec<Endpoint>) -> Vec<Endpoint> {
        self.forget_heartbeats(now_ms);
        let listed: BTreeMap<VmName, Endpoint> = listed
            .into_iter()
            .map(|endpoint| match self.is_stale(now_ms, &endpoint) {
                true => self.endpoints.get(&endpoint.vm).cloned().unwrap_or(endpoint),
                false => self.with_leaving_mark(endpoint),
            })
            .map(|endpoint| (endpoint.vm.clone(), endpoint))
            .collect();
        let missing: Vec<VmName> =
            self.endpoints.keys().filter(|vm| !listed.contains_key(*vm)).cloned().collect();
        let removed = missing.iter().filter_map(|vm| self.remove(now_ms, vm)).collect();
        for (vm, endpoint) in listed {
            self.lapsed.remove(&vm);
            self.endpoints.insert(vm, endpoint);
        }
        removed
    }
}
