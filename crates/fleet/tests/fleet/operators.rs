//! What a node knows of the operators' orders, and since when.

use std::collections::BTreeSet;

use balsam_fleet::Effect;
use balsam_fleet::Event;
use balsam_fleet::Fleet;
use balsam_fleet::event::Note;
use balsam_fleet::operators::OperatorsNews;
use balsam_fleet::reduce;

use crate::support;

fn tell(fleet: &mut Fleet, now_ms: u64, news: OperatorsNews) -> Vec<Effect> {
    reduce(fleet, now_ms, Event::Operators(news))
}

fn record(at: u64, is_out: bool) -> OperatorsNews {
    OperatorsNews::Record { at, data_centre: support::data_centre("a"), is_out }
}

fn is_out(fleet: &Fleet) -> bool {
    fleet.operators.evacuated().contains(&support::data_centre("a"))
}

/// A read of the whole topic that was answered before an evacuation must not take it back, and a
/// record that is read again must not bring back an order that was taken back since.
#[test]
fn an_old_answer_does_not_undo_a_later_order() {
    let mut fleet = support::fleet("node");
    tell(&mut fleet, 1_000, OperatorsNews::Whole { end: 4, evacuated: BTreeSet::new() });
    tell(&mut fleet, 2_000, record(4, true));
    tell(&mut fleet, 2_100, OperatorsNews::Whole { end: 4, evacuated: BTreeSet::new() });
    assert!(is_out(&fleet));
    tell(&mut fleet, 3_000, record(5, false));
    tell(&mut fleet, 3_100, record(4, true));
    assert!(!is_out(&fleet));
    tell(&mut fleet, 3_200, OperatorsNews::Whole { end: 6, evacuated: BTreeSet::new() });
    assert_eq!(fleet.operators.position(), 6);
}

/// An answer that says less than is known does not show that nothing followed.
#[test]
fn an_old_answer_does_not_confirm() {
    let mut fleet = support::fleet("node");
    tell(&mut fleet, 1_000, OperatorsNews::Confirmed { end: 4 });
    tell(&mut fleet, 2_000, record(4, true));
    tell(&mut fleet, 2_500, OperatorsNews::Confirmed { end: 4 });
    assert_eq!(fleet.operators.age_ms(3_000), Some(2_000));
    tell(&mut fleet, 2_600, OperatorsNews::Confirmed { end: 5 });
    assert_eq!(fleet.operators.age_ms(3_000), Some(400));
}

/// The log has one line for each order, with the time for which the node had not known of it; lines
/// for reads that changed nothing hid the one that mattered.
#[test]
fn an_order_is_noted_once_with_the_age_of_what_was_known() {
    let mut fleet = support::fleet("node");
    let data_centre = support::data_centre("a");
    tell(&mut fleet, 1_000, OperatorsNews::Confirmed { end: 4 });
    let noted = tell(&mut fleet, 3_500, record(4, true));
    let note = Note::Evacuation { data_centre, is_out: true, unconfirmed_ms: Some(2_500) };
    assert!(matches!(&noted[..], [Effect::Note(found)] if *found == note), "{noted:?}");
    let evacuated = fleet.operators.evacuated().clone();
    assert!(tell(&mut fleet, 3_600, OperatorsNews::Whole { end: 5, evacuated }).is_empty());
}
