//! Bounded fan-out: assigns to each node the local groups that it keeps connections to.
//!
//! Every node computes the assignment from the same names, without messages. Pairs of node and
//! group are assigned in hash order while neither side is full. Hash order keeps most pairs when a
//! name is added or removed, and the bound per group keeps the load even.

use balsam_types::GroupName;
use balsam_types::VmName;

use crate::loads::hash_bytes;
use crate::loads::mix;

/// The groups of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Subset {
    /// Indices into the given groups, ascending.
    pub groups: Vec<usize>,
    /// The number of nodes that send to each of these groups, in the same order.
    pub senders: Vec<u32>,
}

/// Assigns at most `per_node` groups to every node of the data centre.
///
/// If the nodes together cannot cover the groups with `per_node` each, the bound is raised so that
/// every group has a sender. The result has one entry per node, in the order given.
pub fn assign(nodes: &[VmName], groups: &[GroupName], per_node: usize) -> Vec<Subset> {
    if nodes.is_empty() || groups.is_empty() {
        return nodes.iter().map(|_| Subset { groups: vec![], senders: vec![] }).collect();
    }
    let needed = groups.len().div_ceil(nodes.len());
    let per_node = per_node.max(needed).min(groups.len());
    let slots = nodes.len() * per_node;
    let mut assigned = vec![Vec::with_capacity(per_node); nodes.len()];
    let mut senders = vec![0_usize; groups.len()];
    let pairs = pairs_in_hash_order(nodes, groups);
    // The first pass fills all groups up to the mean rounded down. A single pass up to the mean
    // rounded up left the groups late in hash order with a fifth of the mean.
    for per_group in [slots / groups.len(), slots.div_ceil(groups.len())] {
        for (node, group) in &pairs {
            let has_room = assigned[*node].len() < per_node && senders[*group] < per_group;
            if has_room && !assigned[*node].contains(group) {
                assigned[*node].push(*group);
                senders[*group] += 1;
            }
        }
    }
    cover_unassigned(&mut assigned, &mut senders);
    let subsets = assigned.into_iter().map(|mut groups| {
        groups.sort_unstable();
        let senders = groups.iter().map(|group| senders[*group] as u32).collect();
        Subset { groups, senders }
    });
    subsets.collect()
}

/// Assigns a sender to each group without one, in place of a group with the most senders.
fn cover_unassigned(assigned: &mut [Vec<usize>], senders: &mut [usize]) {
    for group in 0..senders.len() {
        if senders[group] > 0 {
            continue;
        }
        let assignments = assigned.iter().enumerate();
        let assignments = assignments
            .flat_map(|(n, groups)| (0..groups.len()).map(move |position| (n, position)));
        let replaceable =
            assignments.max_by_key(|(node, position)| senders[assigned[*node][*position]]);
        if let Some((node, position)) = replaceable {
            senders[assigned[node][position]] -= 1;
            assigned[node][position] = group;
            senders[group] = 1;
        }
    }
}

fn pairs_in_hash_order(nodes: &[VmName], groups: &[GroupName]) -> Vec<(usize, usize)> {
    let group_hashes: Vec<u64> =
        groups.iter().map(|group| hash_bytes(group.as_str().as_bytes())).collect();
    let mut pairs = Vec::with_capacity(nodes.len() * groups.len());
    for (node, name) in nodes.iter().enumerate() {
        let node_hash = hash_bytes(name.as_str().as_bytes());
        let hashed = group_hashes.iter().enumerate();
        pairs.extend(
            hashed.map(|(group, hash)| (mix(node_hash ^ hash.rotate_left(32)), node, group)),
        );
    }
    pairs.sort_unstable();
    pairs.into_iter().map(|(_, node, group)| (node, group)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names(nodes: usize, groups: usize) -> (Vec<VmName>, Vec<GroupName>) {
        let node = |i| VmName::try_from(format!("entry-{i}")).unwrap();
        let group = |i| GroupName::try_from(format!("g{i}")).unwrap();
        ((0..nodes).map(node).collect(), (0..groups).map(group).collect())
    }

    // A group without senders would stay idle.
    #[test]
    fn every_group_has_a_sender_and_no_node_exceeds_the_bound() {
        for (nodes, groups, per_node) in [(1, 9, 3), (3, 20, 4), (78, 180, 24), (5, 2, 10)] {
            let (node_names, group_names) = names(nodes, groups);
            let subsets = assign(&node_names, &group_names, per_node);
            let bound = per_node.max(groups.div_ceil(nodes));
            assert!(subsets.iter().all(|subset| subset.groups.len() <= bound));
            let all: std::collections::BTreeSet<_> =
                subsets.iter().flat_map(|subset| subset.groups.clone()).collect();
            assert_eq!(all.len(), groups);
        }
    }

    // Reconnecting many nodes at once would lose warm connections and cache affinity.
    #[test]
    fn few_connections_move_when_a_node_leaves() {
        let (nodes, groups) = names(78, 180);
        let before = assign(&nodes, &groups, 24);
        let after = assign(&nodes[..77], &groups, 24);
        let moved = before.iter().zip(&after);
        let moved = moved.map(|(b, a)| b.groups.iter().filter(|g| !a.groups.contains(g)).count());
        assert!(moved.sum::<usize>() <= 77 * 24 / 20);
    }
}
