//! Chooses the fabric domain for a new group.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use balsam_types::DataCentreName;
use balsam_types::FabricDomainName;
use balsam_types::VmName;

/// How a fabric domain is chosen for a new group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// Spreads over data centres, packs within each, and leaves spares in the groups' domains.
    ///
    /// Spreading keeps a pool serving while a data centre is out. Packing keeps unused VMs
    /// together, so that they can still form groups. Repair needs its spares within the domain.
    KeepSpares,
    /// Takes the first domain by name; the baseline of `docs/design.md`, section 17.
    FirstFit,
}

/// Domains with fewer spares than one per this many groups are chosen last.
const GROUPS_PER_SPARE: usize = 2;

/// Identifies a fabric domain.
pub(crate) type DomainKey<'a> = (&'a DataCentreName, &'a FabricDomainName);

/// The VMs and groups of one pool in a fabric domain.
#[derive(Debug, Default)]
pub(crate) struct Domain<'a> {
    /// Usable VMs in no group, in name order.
    pub free: Vec<&'a VmName>,
    /// Spares reserved for missing members that may still return.
    pub reserved: usize,
    /// Groups in the domain.
    pub groups: usize,
}

impl Domain<'_> {
    /// Returns the number of VMs that a new group may take.
    pub fn available(&self) -> usize {
        self.free.len().saturating_sub(self.reserved)
    }
}

/// Chooses the domain for a new group of `size` VMs.
pub(crate) fn choose<'a>(
    domains: &BTreeMap<DomainKey<'a>, Domain<'a>>,
    size: usize,
    placement: Placement,
) -> Option<DomainKey<'a>> {
    let mut fitting = domains.iter().filter(|(_, domain)| domain.available() >= size);
    if placement == Placement::FirstFit {
        return fitting.next().map(|(key, _)| *key);
    }
    let mut groups_per_centre: BTreeMap<&DataCentreName, usize> = BTreeMap::new();
    for ((centre, _), domain) in domains {
        *groups_per_centre.entry(centre).or_default() += domain.groups;
    }
    let score = |key: &DomainKey<'a>, domain: &Domain<'a>| {
        let spares = domain.available() - size;
        let groups = domain.groups + 1;
        let is_short_of_spares = spares * GROUPS_PER_SPARE < groups;
        // Integer arithmetic, so that every node computes the same order.
        let spares_if_short = if is_short_of_spares { spares * 1000 / groups } else { 0 };
        (is_short_of_spares, Reverse(spares_if_short), groups_per_centre[key.0], *key)
    };
    fitting.min_by_key(|(key, domain)| score(key, domain)).map(|(key, _)| *key)
}
