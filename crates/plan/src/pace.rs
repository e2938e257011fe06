//! Schedules the loads of waiting groups from the rate-limited weight store.

use balsam_types::GroupName;

/// A group that waits to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOrder {
    /// The group.
    pub group: GroupName,
    /// The priority of the pool; 0 loads first.
    pub priority: u8,
    /// Since when the group has not served.
    pub waiting_since_ms: u64,
    /// Members that have to load.
    pub members: u32,
    /// Bytes that these members still have to load in total.
    pub remaining_bytes: u64,
}

/// The bandwidth of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreBudget {
    /// Bytes per second over all VMs.
    pub total_bytes_per_s: u64,
    /// Bytes per second that one VM can take.
    pub vm_bytes_per_s: u64,
    /// Remaining bytes of transfers that are not among the orders; they finish first.
    pub committed_bytes: u64,
}

/// The start and end of a group's load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScheduledLoad {
    /// The group.
    pub group: GroupName,
    /// When its first member starts.
    pub start_ms: u64,
    /// When its last member finishes.
    pub done_ms: u64,
}

/// Schedules complete groups one after another: by priority, then by waiting time, then by bytes.
///
/// A group serves only when its last member has loaded, so spreading the rate over all groups would
/// make every group wait for nearly the whole transfer. Bandwidth that the VMs of the first group
/// cannot use goes to the next group. A store without bandwidth gives an empty schedule.
pub fn pace(orders: &[LoadOrder], budget: &StoreBudget, now_ms: u64) -> Vec<ScheduledLoad> {
    if budget.total_bytes_per_s == 0 || budget.vm_bytes_per_s == 0 {
        return Vec::new();
    }
    let mut waiting: Vec<&LoadOrder> = orders.iter().collect();
    waiting.sort_by(|a, b| urgency_key(a).cmp(&urgency_key(b)));
    let mut active: Vec<(usize, u64)> = Vec::new();
    let mut schedule: Vec<ScheduledLoad> = Vec::new();
    let committed_ms = duration_ms(budget.committed_bytes, budget.total_bytes_per_s);
    let mut at_ms = now_ms.saturating_add(committed_ms);
    let mut next = 0;
    loop {
        let mut remaining_rate = budget.total_bytes_per_s;
        let mut rates = Vec::with_capacity(active.len());
        for (index, _) in &active {
            rates.push(allocate_rate(&mut remaining_rate, waiting[*index], budget));
        }
        while remaining_rate > 0 && next < waiting.len() {
            rates.push(allocate_rate(&mut remaining_rate, waiting[next], budget));
            active.push((next, waiting[next].remaining_bytes));
            let group = waiting[next].group.clone();
            schedule.push(ScheduledLoad { group, start_ms: at_ms, done_ms: at_ms });
            next += 1;
        }
        let loading = active.iter().zip(&rates).filter(|(_, rate)| **rate > 0);
        let Some(step_ms) = loading.map(|((_, bytes), rate)| duration_ms(*bytes, *rate)).min()
        else {
            return schedule;
        };
        at_ms = at_ms.saturating_add(step_ms);
        for ((index, bytes), rate) in active.iter_mut().zip(&rates) {
            let transferred = u128::from(*rate) * u128::from(step_ms) / 1000;
            *bytes = bytes.saturating_sub(u64::try_from(transferred).unwrap_or(u64::MAX));
            schedule[*index].done_ms = at_ms;
        }
        active.retain(|(_, bytes)| *bytes > 0);
    }
}

/// Returns the current rate of each order in bytes per second, in the order of `orders`.
///
/// Committed transfers outside the orders use the whole rate until they finish.
pub fn rates(orders: &[LoadOrder], budget: &StoreBudget) -> Vec<u64> {
    let mut rates = vec![0; orders.len()];
    let mut remaining_rate = if budget.committed_bytes > 0 { 0 } else { budget.total_bytes_per_s };
    let mut indices_by_urgency: Vec<usize> = (0..orders.len()).collect();
    indices_by_urgency.sort_by(|a, b| urgency_key(&orders[*a]).cmp(&urgency_key(&orders[*b])));
    for index in indices_by_urgency {
        rates[index] = allocate_rate(&mut remaining_rate, &orders[index], budget);
    }
    rates
}

fn urgency_key(order: &LoadOrder) -> (u8, u64, u64, &GroupName) {
    (order.priority, order.waiting_since_ms, order.remaining_bytes, &order.group)
}

fn allocate_rate(remaining_rate: &mut u64, order: &LoadOrder, budget: &StoreBudget) -> u64 {
    let max_rate = budget.vm_bytes_per_s.saturating_mul(u64::from(order.members.max(1)));
    let rate = max_rate.min(*remaining_rate);
    *remaining_rate -= rate;
    rate
}

/// Returns the time to transfer the bytes, rounded up.
pub(crate) fn duration_ms(bytes: u64, bytes_per_s: u64) -> u64 {
    let ms = (u128::from(bytes) * 1000).div_ceil(u128::from(bytes_per_s.max(1)));
    u64::try_from(ms).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    const GB: u64 = 1_000_000_000;

    fn order(name: &str, priority: u8, waiting_since_ms: u64) -> LoadOrder {
        let group = GroupName::try_from(name).unwrap();
        LoadOrder { group, priority, waiting_since_ms, members: 8, remaining_bytes: 80 * GB }
    }

    fn budget(vm_gb_per_s: u64) -> StoreBudget {
        let vm_bytes_per_s = vm_gb_per_s * GB;
        StoreBudget { total_bytes_per_s: 8 * GB, vm_bytes_per_s, committed_bytes: 0 }
    }

    // Guards against loads in parallel, which delay all groups to the end of the last one.
    #[test]
    fn ten_waiting_groups_serve_earlier_on_average_than_when_all_load_at_once() {
        let orders: Vec<LoadOrder> = (0..10).map(|i| order(&format!("g{i}"), 0, i)).collect();
        let done: Vec<u64> = pace(&orders, &budget(1), 0).iter().map(|s| s.done_ms).collect();
        // In parallel, every group would finish at 100 s: 800 GB at 8 GB/s.
        assert_eq!(done, (1..=10).map(|i| i * 10_000).collect::<Vec<_>>());
    }

    // Guards against an urgent pool that waits behind older loads.
    #[test]
    fn priority_precedes_waiting_time() {
        let orders = [order("late", 1, 0), order("early", 1, 5), order("urgent", 0, 9)];
        let order: Vec<String> =
            pace(&orders, &budget(1), 0).iter().map(|s| s.group.to_string()).collect();
        assert_eq!(order, ["urgent", "late", "early"]);
    }

    // Guards against idle bandwidth while a group with few VMs loads.
    #[test]
    fn bandwidth_that_one_group_cannot_use_goes_to_the_next() {
        let mut slow = order("a", 0, 0);
        slow.members = 1;
        slow.remaining_bytes = 10 * GB;
        let schedule = pace(&[slow, order("b", 0, 1)], &budget(1), 0);
        assert_eq!((schedule[1].start_ms, schedule[0].done_ms), (0, 10_000));
        assert_eq!(schedule[1].done_ms, 11_250); // 7 GB/s for 10 s, then 8 GB/s.
    }

    // Guards against an endless loop when no load can progress.
    #[test]
    fn a_store_without_bandwidth_gives_an_empty_schedule() {
        assert!(pace(&[order("a", 0, 0)], &budget(0), 0).is_empty());
    }
}
