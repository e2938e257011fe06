//! Counts of this node's requests in flight per group, which survive table swaps.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::RwLock;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use balsam_types::GroupName;
use balsam_types::PoolName;

use crate::table::Pool;
use crate::table::Table;
use crate::table::Temperature;

/// This node's own observations of a group, kept outside the table.
#[derive(Debug, Default)]
pub struct GroupLoad {
    in_flight: AtomicU32,
    /// A load report must be newer than this for the group to count as warm; zero means none.
    suspect_since_ms: AtomicU64,
    /// The local adaptive limit; zero means none.
    local_limit: AtomicU32,
}

impl GroupLoad {
    /// Returns this node's requests in flight at the group.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Treats the group's temperature as unknown until a load report made after `now_ms`.
    pub fn mark_suspect(&self, now_ms: u64) {
        self.suspect_since_ms.fetch_max(now_ms.max(1), Ordering::Relaxed);
    }

    /// Returns whether a report made at `reported_at_ms` is too old to clear the suspicion.
    pub fn is_suspect(&self, reported_at_ms: u64) -> bool {
        let since_ms = self.suspect_since_ms.load(Ordering::Relaxed);
        since_ms != 0 && reported_at_ms <= since_ms
    }

    /// Sets the maximum number of requests this node may have in flight at the group; see
    /// [`mod@crate::limit`].
    pub fn set_local_limit(&self, limit: u32) {
        self.local_limit.store(limit, Ordering::Relaxed);
    }

    /// Returns the local limit, or zero if there is none.
    pub fn local_limit(&self) -> u32 {
        self.local_limit.load(Ordering::Relaxed)
    }

    /// Counts one request until the guard is dropped.
    pub fn start(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight { load: Arc::clone(self) }
    }
}

/// One request in flight at a group; dropping it decrements the count.
#[derive(Debug)]
pub struct InFlight {
    load: Arc<GroupLoad>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.load.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The groups of one pool in table order, with their counts and name hashes.
///
/// Precomputed so that a choice does not hash every group name for each request.
#[derive(Debug)]
pub struct PoolView {
    /// The pool this view was built from.
    pub pool: Arc<Pool>,
    pub(crate) loads: Vec<Arc<GroupLoad>>,
    /// Groups by the temperature in the table; leaving groups are in neither list.
    pub(crate) warm: Vec<usize>,
    pub(crate) cold: Vec<usize>,
    /// Hashes of the names of the warm groups.
    pub(crate) warm_hashes: Vec<u64>,
}

impl PoolView {
    /// Returns the load of the group at an index of [`Pool::groups`].
    pub fn load(&self, index: usize) -> &Arc<GroupLoad> {
        &self.loads[index]
    }
}

/// The in-flight counts of all groups, keyed by group name.
#[derive(Debug, Default)]
pub struct Loads {
    groups: RwLock<HashMap<GroupName, Arc<GroupLoad>>>,
    views: RwLock<HashMap<PoolName, Arc<PoolView>>>,
}

impl Loads {
    /// Builds the views of a new table; call it at every table swap to keep that work off requests.
    ///
    /// Counts of groups that left the table are dropped once no request is in flight there.
    pub fn prepare(&self, table: &Table) {
        let views = table.pools.iter().map(|(name, pool)| (name.clone(), self.build(pool)));
        let views: HashMap<_, _> = views.collect();
        *self.views.write().unwrap_or_else(|poisoned| poisoned.into_inner()) = views;
        let mut groups = self.groups.write().unwrap_or_else(|poisoned| poisoned.into_inner());
        groups.retain(|_, load| Arc::strong_count(load) > 1);
    }

    /// Returns the view of a pool, building it if the pool is not the prepared one.
    pub fn view(&self, pool: &Arc<Pool>) -> Arc<PoolView> {
        let views = self.views.read().unwrap_or_else(|poisoned| poisoned.into_inner());
        match views.get(&pool.spec.pool) {
            Some(view) if Arc::ptr_eq(&view.pool, pool) => return Arc::clone(view),
            _ => drop(views),
        }
        let view = self.build(pool);
        let mut views = self.views.write().unwrap_or_else(|poisoned| poisoned.into_inner());
        views.insert(pool.spec.pool.clone(), Arc::clone(&view));
        view
    }

    /// Returns the load of one group, creating it if needed.
    pub fn group(&self, group: &GroupName) -> Arc<GroupLoad> {
        let groups = self.groups.read().unwrap_or_else(|poisoned| poisoned.into_inner());
        if let Some(load) = groups.get(group) {
            return Arc::clone(load);
        }
        drop(groups);
        let mut groups = self.groups.write().unwrap_or_else(|poisoned| poisoned.into_inner());
        Arc::clone(groups.entry(group.clone()).or_default())
    }

    fn build(&self, pool: &Arc<Pool>) -> Arc<PoolView> {
        let groups = &pool.groups;
        let loads = groups.iter().map(|group| self.group(&group.group)).collect();
        let is_warm = |index: &usize| groups[*index].temperature == Temperature::Warm;
        let not_leaving = (0..groups.len()).filter(|index| !groups[*index].leaving);
        let (warm, cold): (Vec<_>, Vec<_>) = not_leaving.partition(is_warm);
        let names = warm.iter().map(|index| groups[*index].group.as_str());
        let warm_hashes = names.map(|name| hash_bytes(name.as_bytes())).collect();
        Arc::new(PoolView { pool: Arc::clone(pool), loads, warm, cold, warm_hashes })
    }
}

/// Hashes bytes with FNV-1a and a final mix; the result is the same on every node and build.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    mix(hash)
}

/// The finaliser of SplitMix64, which spreads every input bit over the output.
pub fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

#[cfg(test)]
mod tests {
    use super::*;

    // A table swap under load must not lose the count of requests in flight.
    #[test]
    fn counts_survive_table_swaps_until_the_guard_is_dropped() {
        let loads = Loads::default();
        let group = GroupName::try_from("g1").unwrap();
        let guard = loads.group(&group).start();
        loads.prepare(&Table::default());
        assert_eq!(loads.group(&group).in_flight(), 1);
        drop(guard);
        assert_eq!(loads.group(&group).in_flight(), 0);
        loads.prepare(&Table::default());
        assert!(loads.groups.read().unwrap().is_empty());
    }
}
