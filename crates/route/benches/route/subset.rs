//! Measures load balance, stability and cost of the bounded fan-out.

use std::time::Instant;

use balsam_route::subset::Subset;
use balsam_route::subset::assign;
use balsam_types::GroupName;
use balsam_types::VmName;

use crate::figures::Figures;

const PER_NODE: usize = 24;

/// Runs the measurement.
pub fn run(figures: &mut Figures) {
    // A data centre of today, data centres of the design size, and one with the whole estate.
    for (nodes, groups) in [(2, 20), (78, 23), (78, 180), (390, 113), (390, 900)] {
        measure(figures, nodes, groups);
    }
}

fn names(nodes: usize, groups: usize) -> (Vec<VmName>, Vec<GroupName>) {
    let node = |i| VmName::try_from(format!("entry-{i:03}")).expect("valid name");
    let group = |i| GroupName::try_from(format!("balsam-pool/g{i:04}")).expect("valid name");
    ((0..nodes).map(node).collect(), (0..groups).map(group).collect())
}

/// Counts the connections of the remaining nodes that move.
fn count_moved(before: &[Subset], after: &[Subset]) -> usize {
    let pairs = before.iter().zip(after);
    pairs.map(|(b, a)| b.groups.iter().filter(|group| !a.groups.contains(group)).count()).sum()
}

fn measure(figures: &mut Figures, nodes: usize, groups: usize) {
    let (node_names, group_names) = names(nodes, groups);
    let start = Instant::now();
    let subsets = assign(&node_names, &group_names, PER_NODE);
    let assign_ms = start.elapsed().as_secs_f64() * 1e3;
    let mut senders = vec![0_u32; groups];
    let mut load = vec![0.0; groups];
    for subset in &subsets {
        for group in &subset.groups {
            senders[*group] += 1;
            load[*group] += 1.0 / subset.groups.len() as f64;
        }
    }
    let max_groups = subsets.iter().map(|subset| subset.groups.len()).max().unwrap_or(0);
    let mean = nodes as f64 / groups as f64;
    let peak = load.iter().copied().fold(0.0, f64::max) / mean;
    let min_load = load.iter().copied().fold(f64::MAX, f64::min) / mean;
    let name = |what: &str| format!("subset {what}, {nodes} nodes, {groups} groups");
    let bound = PER_NODE.max(groups.div_ceil(nodes)) as f64;
    figures.at_most(&name("groups per node"), max_groups as f64, bound, "task: bounded fan-out");
    let source = "load factor 1.25 of the choice";
    figures.at_most(&name("peak load over mean"), peak, 1.25, source);
    figures.info(&name("least load over mean"), min_load);
    figures.info(&name("assign ms"), assign_ms);
    let without_node = assign(&node_names[..nodes - 1], &group_names, PER_NODE);
    let kept: usize = subsets[..nodes - 1].iter().map(|subset| subset.groups.len()).sum();
    let share = count_moved(&subsets, &without_node) as f64 / kept as f64;
    figures.info(&name("share of connections moved when a node leaves"), share);
    let without_group = assign(&node_names, &group_names[..groups - 1], PER_NODE);
    let lost = f64::from(senders[groups - 1]);
    let share = (count_moved(&subsets, &without_group) as f64 - lost) / kept as f64;
    figures.info(&name("share moved when a group leaves"), share);
}
