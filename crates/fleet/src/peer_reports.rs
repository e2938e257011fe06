//! Applies the reports of other nodes.

use std::sync::Arc;

use balsam_types::DataCentreName;

use crate::evacuations;
use crate::event::Effect;
use crate::event::PeerReport;
use crate::event::Scope;
use crate::losses;
use crate::state::Fleet;
use crate::state::Peer;

/// Replaces what is known of a node or a data centre by its report.
pub(crate) fn apply(fleet: &mut Fleet, now_ms: u64, report: PeerReport, effects: &mut Vec<Effect>) {
    fleet.lease.apply_report(now_ms, report.lease_end, report.lease_released);
    evacuations::apply_report(fleet, now_ms, &report, effects);
    fleet.quarantine.apply_report(now_ms, &report.quarantine);
    for lost in &report.lost {
        losses::apply_lost_report(fleet, now_ms, &report.node, lost, effects);
    }
    report.doubted_heads.iter().for_each(|head| fleet.inquiries.asked(now_ms, head));
    let is_own_data_centre = report.data_centre == fleet.settings.data_centre;
    match report.scope {
        // The nodes of this node's own data centre report individually.
        Scope::DataCentre { .. } if is_own_data_centre => return,
        Scope::DataCentre { .. } => forget_single_nodes(fleet, &report.data_centre),
        Scope::Node if fleet.has_summary(now_ms, &report.data_centre) => return,
        Scope::Node => {}
    }
    fleet.loads.report(now_ms, &report);
    let operators_position = report.operators.position;
    let PeerReport { node, data_centre, scope, has_store, version, demand, .. } = report;
    let PeerReport { lost, doubted_heads, heads, .. } = report;
    fleet.demand.report(now_ms, &node, demand);
    let heard_ms = now_ms;
    let peer = Peer {
        heard_ms,
        data_centre,
        scope,
        has_store,
        version,
        operators_position,
        lost,
        doubted_heads,
        heads,
    };
    if fleet.peers.insert(node, peer).is_none() {
        fleet.hidden_load.clear();
    }
}

/// Removes the individual nodes of a data centre, which its summary replaces.
fn forget_single_nodes(fleet: &mut Fleet, data_centre: &DataCentreName) {
    let is_single = |peer: &Peer| peer.scope == Scope::Node && peer.data_centre == *data_centre;
    let names: Vec<Arc<str>> = fleet
        .peers
        .iter()
        .filter(|(_, peer)| is_single(peer))
        .map(|(name, _)| name.clone())
        .collect();
    for name in names {
        fleet.peers.remove(&name);
        fleet.loads.forget_peer(&name);
        fleet.demand.forget_peer(&name);
    }
}
