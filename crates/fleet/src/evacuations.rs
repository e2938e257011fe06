//! Applies what is known of the operators' evacuations, and logs what changes.

use std::sync::Arc;

use crate::event::Decision;
use crate::event::Effect;
use crate::event::PeerReport;
use crate::event::Scope;
use crate::operators::Evacuation;
use crate::operators::OperatorsUpdate;
use crate::position::StorePosition;
use crate::state::Fleet;

/// Applies the result of a read of the operators' topic.
pub(crate) fn apply_update(
    fleet: &mut Fleet,
    now_ms: u64,
    update: OperatorsUpdate,
    effects: &mut Vec<Effect>,
) {
    let unconfirmed_ms = fleet.operators.age_ms(now_ms);
    let before = fleet.operators.position();
    let changes = fleet.operators.apply(now_ms, update);
    effects.extend(restore_decision(fleet, before, None));
    effects.extend(evacuation_decisions(changes, unconfirmed_ms, None));
}

/// Applies what another node knows of the operators' topic.
pub(crate) fn apply_report(
    fleet: &mut Fleet,
    now_ms: u64,
    report: &PeerReport,
    effects: &mut Vec<Effect>,
) {
    let unconfirmed_ms = fleet.operators.age_ms(now_ms);
    let before = fleet.operators.position();
    let is_direct = report.scope == Scope::Node;
    let changes = fleet.operators.apply_report(now_ms, &report.operators, is_direct);
    effects.extend(restore_decision(fleet, before, Some(&report.node)));
    effects.extend(evacuation_decisions(changes, unconfirmed_ms, Some(&report.node)));
}

/// Ends evacuations that were not confirmed in time after the store came back from a copy.
pub(crate) fn expire(fleet: &mut Fleet, now_ms: u64, effects: &mut Vec<Effect>) {
    let unconfirmed_ms = fleet.operators.age_ms(now_ms);
    let changes = fleet.operators.expire(now_ms);
    effects.extend(evacuation_decisions(changes, unconfirmed_ms, None));
}

/// Returns the decision to log if the store came back from a copy since a position.
fn restore_decision(
    fleet: &Fleet,
    before: StorePosition,
    told_by: Option<&Arc<str>>,
) -> Option<Effect> {
    let position = fleet.operators.position();
    // Before its first read, a node has seen no era.
    let is_restored = position.era != before.era && before != StorePosition::default();
    let retained = fleet.operators.retained().iter().cloned().collect();
    let told_by = told_by.cloned();
    let decision = Decision::StoreRestored { before, position, retained, told_by };
    is_restored.then_some(Effect::LogDecision(decision))
}

fn evacuation_decisions(
    changes: Vec<Evacuation>,
    unconfirmed_ms: Option<u64>,
    told_by: Option<&Arc<str>>,
) -> impl Iterator<Item = Effect> {
    changes.into_iter().map(move |Evacuation { data_centre, is_out }| {
        let told_by = told_by.cloned();
        Effect::LogDecision(Decision::Evacuation { data_centre, is_out, unconfirmed_ms, told_by })
    })
}
