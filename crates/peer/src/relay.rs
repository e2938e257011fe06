//! Choice of the nodes that exchange traffic between data centres.

use balsam_types::VmName;

use crate::digest::stable_hash;

/// Number of nodes of a data centre that exchange with other data centres.
pub(crate) const RELAYS: usize = 2;

/// Number of nodes whose parts are known in other data centres: the relays and one as a fallback.
pub(crate) const GATEWAYS: usize = RELAYS + 1;

/// Returns the VMs with the highest rendezvous weight, the highest first.
///
/// Adding or removing one member changes at most one of the chosen VMs, so nodes with slightly
/// different views mostly agree.
pub(crate) fn highest_ranked<'a>(
    vms: impl Iterator<Item = &'a VmName>,
    count: usize,
) -> Vec<&'a VmName> {
    let mut ranked: Vec<(u64, &VmName)> =
        vms.map(|vm| (stable_hash(&[b"relay", vm.as_str().as_bytes()]), vm)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().take(count).map(|(_, vm)| vm).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against several relays changing at once when one member leaves.
    #[test]
    fn losing_a_member_replaces_at_most_one_gateway() {
        let vms: Vec<VmName> =
            (0..78).map(|n| VmName::try_from(format!("entry-{n}")).unwrap()).collect();
        let before = highest_ranked(vms.iter(), GATEWAYS);
        for lost in &vms {
            let after = highest_ranked(vms.iter().filter(|vm| *vm != lost), GATEWAYS);
            let kept = before.iter().filter(|vm| after.contains(vm)).count();
            assert!(kept >= GATEWAYS - 1, "losing {lost} replaced more than one gateway");
        }
    }
}
