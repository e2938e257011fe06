//! Where requests run.

use std::sync::Arc;

use balsam_fleet::Endpoint;
use balsam_fleet::Event;
use balsam_fleet::Fleet;
use balsam_fleet::demand::BusyGroups;
use balsam_fleet::directory::ListChange;
use balsam_fleet::event::AttemptEnd;
use balsam_fleet::event::PeerLoad;
use balsam_fleet::event::PeerReport;
use balsam_fleet::event::Scope;
use balsam_fleet::event::SentRequest;
use balsam_fleet::operators::OperatorsNews;
use balsam_fleet::operators::OperatorsReport;
use balsam_fleet::reduce;
use balsam_types::PoolName;
use rstest::rstest;

use crate::support;
use crate::support::arrival;
use crate::support::dispatched;
use crate::support::vm;

fn fleet(endpoints: Vec<Endpoint>) -> Fleet {
    let mut fleet = support::fleet("node");
    reduce(&mut fleet, 1_000, Event::Configuration(support::configuration(1).into()));
    reduce(&mut fleet, 1_000, Event::List(ListChange::Whole(endpoints)));
    fleet
}

/// What another node with nothing to tell reports.
pub fn report(node: &str) -> PeerReport {
    PeerReport {
        node: Arc::from(node),
        data_centre: support::data_centre("a"),
        scope: Scope::Node,
        has_store: true,
        version: 1,
        lease_end: 0,
        lease_released: false,
        loads: Vec::new(),
        demand: Vec::new(),
        lost: Vec::new(),
        operators: OperatorsReport::default(),
    }
}

/// Nodes that count only their own requests all choose the same group.
#[test]
fn the_requests_of_other_nodes_count() {
    let mut fleet = fleet(vec![support::head("one", 1), support::head("two", 2)]);
    let report = PeerReport {
        loads: vec![PeerLoad { vm: vm("one"), in_flight: 12, unread_tokens: 0 }],
        ..report("other")
    };
    reduce(&mut fleet, 1_000, Event::Peer(report));
    for ticket in 1..=8 {
        let effects = reduce(&mut fleet, 1_010, Event::Arrive(arrival(ticket, 1_010)));
        assert_eq!(dispatched(&effects, ticket), Some(vm("two")));
        reduce(&mut fleet, 1_010, Event::Started(ticket));
    }
}

/// A report of a node that stopped must not hold places for ever.
#[test]
fn the_report_of_a_silent_node_is_forgotten() {
    let mut fleet = fleet(vec![support::head("one", 1)]);
    let report = PeerReport {
        loads: vec![PeerLoad { vm: vm("one"), in_flight: 17, unread_tokens: 0 }],
        ..report("other")
    };
    reduce(&mut fleet, 1_000, Event::Peer(report));
    let effects = reduce(&mut fleet, 1_100, Event::Arrive(arrival(1, 1_100)));
    assert_eq!(dispatched(&effects, 1), None, "every place is taken");
    let effects = reduce(&mut fleet, 2_600, Event::Arrive(arrival(2, 2_600)));
    assert_eq!(dispatched(&effects, 2), Some(vm("one")));
}

/// A group whose answers have all fallen silent gets no new work, and its members are asked.
#[test]
fn a_silent_group_is_left_once_a_member_does_not_answer() {
    let mut fleet = fleet(vec![support::head("one", 1), support::head("two", 2)]);
    let effects = reduce(&mut fleet, 2_000, Event::Arrive(arrival(1, 2_000)));
    let head = dispatched(&effects, 1).unwrap();
    let asked = |effects: &[balsam_fleet::Effect]| {
        effects.iter().any(|e| matches!(e, balsam_fleet::Effect::Probe { vm, .. } if *vm == head))
    };
    assert!(!asked(&reduce(&mut fleet, 2_100, Event::Tick)), "one pass is no silence");
    reduce(&mut fleet, 2_150, Event::Started(1));
    assert!(asked(&reduce(&mut fleet, 2_400, Event::Tick)));
    let effects = reduce(&mut fleet, 2_400, Event::Arrive(arrival(2, 2_400)));
    assert_ne!(dispatched(&effects, 2), Some(head.clone()));
    let probed = Event::Probed { vm: head, is_alive: false };
    let effects = reduce(&mut fleet, 2_600, probed);
    let is_abandoned =
        |e: &balsam_fleet::Effect| matches!(e, balsam_fleet::Effect::Abandon { ticket: 1 });
    assert!(effects.iter().any(is_abandoned), "its request moves on");
}

/// An endpoint of a plain service that cannot be reached is avoided while others can.
#[test]
fn an_unreachable_endpoint_is_tried_last() {
    let plain = |name: &str, port| Endpoint {
        pool: PoolName::try_from("ledger").unwrap(),
        ..support::endpoint(name, port)
    };
    let mut fleet = fleet(vec![plain("one", 1), plain("two", 2)]);
    let request = |ticket| balsam_fleet::Arrival {
        pool: PoolName::try_from("ledger").unwrap(),
        model: None,
        ..arrival(ticket, 1_000)
    };
    let effects = reduce(&mut fleet, 1_000, Event::Arrive(request(1)));
    let first = dispatched(&effects, 1).unwrap();
    let end = AttemptEnd::Unreachable;
    reduce(&mut fleet, 1_010, Event::Ended { ticket: 1, end });
    for ticket in 2..8 {
        let effects = reduce(&mut fleet, 1_020, Event::Arrive(request(ticket)));
        assert_ne!(dispatched(&effects, ticket), Some(first.clone()));
    }
}

/// Operators take a data centre out; nothing goes there from the next request on.
#[test]
fn an_evacuated_data_centre_gets_nothing() {
    let mut fleet = fleet(vec![support::head("one", 1)]);
    let out = |at, is_out| {
        let data_centre = support::data_centre("a");
        Event::Operators(OperatorsNews::Record { at, data_centre, is_out })
    };
    reduce(&mut fleet, 1_000, out(7, true));
    let effects = reduce(&mut fleet, 1_010, Event::Arrive(arrival(1, 1_010)));
    assert_eq!(dispatched(&effects, 1), None);
    reduce(&mut fleet, 1_020, out(8, false));
    let effects = reduce(&mut fleet, 1_030, Event::Arrive(arrival(2, 1_030)));
    assert!(dispatched(&effects, 2).is_some() || dispatched(&effects, 1).is_some());
}

/// A configuration that is read late must not take the place of a newer one.
#[test]
fn an_older_configuration_changes_nothing() {
    let mut fleet = fleet(Vec::new());
    reduce(&mut fleet, 1_000, Event::Configuration(support::configuration(9).into()));
    reduce(&mut fleet, 1_000, Event::Configuration(support::configuration(7).into()));
    assert_eq!(fleet.configuration.as_ref().map(|c| c.version), Some(9));
}

/// Dozens of nodes share the limit of a cold endpoint; with one request a second as the least part
/// of each, 65 nodes sent 37 where 30 were allowed (galamb-ledger-grown, trouble-1).
#[test]
fn many_nodes_keep_the_limit_of_a_cold_endpoint_together() {
    let cold = Endpoint { cold_until_ms: 60_000, ..support::head("one", 1) };
    let mut sent: Vec<u64> = Vec::new();
    let mut nodes: Vec<Fleet> = (0..65)
        .map(|node| {
            let mut fleet = fleet(vec![cold.clone()]);
            fleet.settings.node = Arc::from(format!("node-{node}"));
            fleet
        })
        .collect();
    for now_ms in (1_000..9_000).step_by(50) {
        for fleet in &mut nodes {
            for peer in 0..64 {
                reduce(fleet, now_ms, Event::Peer(report(&format!("peer-{peer}"))));
            }
            reduce(fleet, now_ms, Event::Tick);
            let effects = reduce(fleet, now_ms, Event::Arrive(arrival(now_ms, now_ms)));
            if dispatched(&effects, now_ms).is_some() {
                sent.push(now_ms);
            }
            let end = AttemptEnd::Answered;
            reduce(fleet, now_ms, Event::Ended { ticket: now_ms, end });
        }
    }
    let most = sent.iter().map(|at| sent.iter().filter(|x| **x >= *at && **x < at + 1_000).count());
    let most = most.max().unwrap_or(0);
    assert!(most > 0, "a cold endpoint gets some requests");
    assert!(most <= 59, "{most} requests in one second where 36 are borne and 59 allowed");
}

/// Nodes that know the same old figures must not all choose the same group: the prompts of twenty
/// nodes filled whole passes of one group while others were idle (galamb-ledger-grown, scale-1).
#[test]
fn nodes_with_the_same_old_reports_choose_different_groups() {
    let heads: Vec<Endpoint> =
        (1..=9).map(|port| support::head(&format!("head{port}"), port)).collect();
    let mut chosen = std::collections::BTreeMap::new();
    for node in 0..45 {
        let mut fleet = support::fleet(&format!("node{node}"));
        reduce(&mut fleet, 1_000, Event::Configuration(support::configuration(1).into()));
        reduce(&mut fleet, 1_000, Event::List(ListChange::Whole(heads.clone())));
        for other in (0..45).filter(|other| *other != node) {
            let busy = BusyGroups { total: 5.0 / 45.0, reading: 2.0 / 45.0 };
            let report = PeerReport {
                demand: vec![(support::model(support::LARGE), busy)],
                ..report(&format!("node{other}"))
            };
            reduce(&mut fleet, 1_000, Event::Peer(report));
        }
        let effects = reduce(&mut fleet, 1_200, Event::Arrive(arrival(1, 1_200)));
        *chosen.entry(dispatched(&effects, 1).unwrap()).or_insert(0) += 1;
    }
    let most = chosen.values().max().unwrap();
    assert!(*most <= 15, "45 requests over 9 equal groups: {chosen:?}");
}

/// Work that is not reported fills the cheapest endpoints up to one level, and each is chosen by
/// its part of it; without such work the cheapest is chosen.
#[rstest]
#[case(&[10.0, 10.0, 50.0], 40.0, 0.4, Some(0))]
#[case(&[10.0, 10.0, 50.0], 40.0, 0.6, Some(1))]
#[case(&[10.0, 10.0, 50.0], 40.0, 0.99, Some(1))]
#[case(&[10.0, 10.0, 50.0], 140.0, 0.99, Some(2))]
#[case(&[10.0, 20.0], 0.0, 0.99, Some(0))]
#[case(&[], 10.0, 0.5, None)]
fn unreported_work_fills_the_cheapest_first(
    #[case] costs: &[f64],
    #[case] unseen_ms: f64,
    #[case] draw: f64,
    #[case] expected: Option<usize>,
) {
    assert_eq!(balsam_fleet::placement::spread(costs, unseen_ms, draw), expected);
}

/// Nodes behind a cut tried each endpoint beyond it in turn, and refused a third of their callers
/// after four failed connections (galamb-ledger-grown, scale-1).
#[test]
fn a_data_centre_beyond_a_cut_is_left_after_a_few_failures() {
    let far = |port| Endpoint {
        data_centre: support::data_centre("b"),
        ..support::head(&format!("far{port}"), port)
    };
    let near = support::head("near", 20);
    let mut fleet = fleet((1..=8).map(far).chain([near]).collect());
    let is_far = |vm: &balsam_types::VmName| vm.as_str().starts_with("far");
    let mut failures = 0;
    for ticket in 1..=40 {
        let now_ms = 1_000 + ticket;
        let effects = reduce(&mut fleet, now_ms, Event::Arrive(arrival(ticket, now_ms)));
        match dispatched(&effects, ticket) {
            Some(vm) if is_far(&vm) => {
                failures += 1;
                let end = AttemptEnd::Unreachable;
                reduce(&mut fleet, now_ms, Event::Ended { ticket, end });
            }
            Some(_) => _ = reduce(&mut fleet, now_ms, Event::Started(ticket)),
            None => {}
        }
    }
    assert_eq!(failures, 3, "the data centre counts as cut off after three");
    // The cut ends: one answer is enough, and the data centre is used again.
    let mut served = 0;
    for ticket in 100..=120 {
        let now_ms = 4_000 + ticket;
        let effects = reduce(&mut fleet, now_ms, Event::Arrive(arrival(ticket, now_ms)));
        if dispatched(&effects, ticket).is_some_and(|vm| is_far(&vm)) {
            served += 1;
            reduce(&mut fleet, now_ms, Event::Started(ticket));
        }
    }
    assert!(served >= 10, "{served} of 21 requests went to the data centre after the cut");
}

/// A prompt that another node reported has been read a few passes later; counted in full until the
/// next report, it turned requests away from groups that were idle again.
#[test]
fn reported_prompts_count_less_with_their_age() {
    let mut load = balsam_fleet::load::LoadBook::default();
    let report = PeerReport {
        loads: vec![PeerLoad { vm: vm("one"), in_flight: 3, unread_tokens: 3_000 }],
        ..report("other")
    };
    load.report(1_000, &report);
    let one = load.get(&vm("one")).unwrap();
    assert_eq!(one.expected(1_000), (3, 3_000));
    assert_eq!(one.expected(1_150), (3, 1_500));
    assert_eq!(one.expected(1_400), (3, 0));
    assert_eq!(one.total(1_400), (3, 3_000), "a pass is still taken to be as long as it may be");
}

/// An endpoint that returned without its group turns each request away at once and stays idle, so
/// it looked like the best choice: 610 requests in four seconds (kreidler-pitch-grown, trouble-1).
#[rstest]
#[case::full(AttemptEnd::TurnedAway, 500)]
#[case::not_as_listed(AttemptEnd::Misdirected, 2_000)]
fn an_endpoint_that_turns_requests_away_is_avoided(#[case] end: AttemptEnd, #[case] pause_ms: u64) {
    let mut fleet = fleet(vec![support::head("one", 1), support::head("two", 2)]);
    let effects = reduce(&mut fleet, 1_000, Event::Arrive(arrival(1, 1_000)));
    let first = dispatched(&effects, 1).unwrap();
    reduce(&mut fleet, 1_005, Event::Ended { ticket: 1, end });
    for ticket in 2..8 {
        let now_ms = 1_000 + pause_ms;
        let effects = reduce(&mut fleet, now_ms, Event::Arrive(arrival(ticket, now_ms)));
        assert!(dispatched(&effects, ticket).is_some_and(|vm| vm != first));
        reduce(&mut fleet, now_ms, Event::Started(ticket));
    }
    // The pause is over, and the other group has six answers to write.
    let now_ms = 1_010 + pause_ms;
    let effects = reduce(&mut fleet, now_ms, Event::Arrive(arrival(9, now_ms)));
    assert_eq!(dispatched(&effects, 9), Some(first));
}

/// A head that left its group leads another one within a second; a node that had been turned away
/// by it between the two must not avoid the new group.
#[test]
fn an_endpoint_that_says_something_new_is_no_longer_avoided() {
    let mut fleet = fleet(vec![support::head("one", 1), support::head("two", 2)]);
    let effects = reduce(&mut fleet, 1_000, Event::Arrive(arrival(1, 1_000)));
    let first = dispatched(&effects, 1).unwrap();
    let end = AttemptEnd::Misdirected;
    reduce(&mut fleet, 1_005, Event::Ended { ticket: 1, end });
    let mut changed = fleet.directory.get(&first).unwrap().clone();
    changed.sequence += 1;
    changed.membership.as_mut().unwrap().epoch += 10;
    reduce(&mut fleet, 1_100, Event::List(ListChange::Put(Box::new(changed))));
    let effects = reduce(&mut fleet, 1_110, Event::Arrive(arrival(2, 1_110)));
    reduce(&mut fleet, 1_110, Event::Started(2));
    let effects_of_next = reduce(&mut fleet, 1_120, Event::Arrive(arrival(3, 1_120)));
    let chosen = [dispatched(&effects, 2), dispatched(&effects_of_next, 3)];
    assert!(chosen.contains(&Some(first)));
}

/// Every node of 195 asked each lost member, and again each second: eleven lost endpoints brought
/// 15,000 probes (galamb-ledger-large, trouble-1). Two nodes of a data centre ask; the others take
/// their word, and do not take that of one alone, which may itself be cut off.
#[test]
fn two_nodes_of_a_data_centre_ask_for_all() {
    let names: Vec<String> = (0..39).map(|node| format!("node{node:02}")).collect();
    let lost = balsam_fleet::event::LostGroup {
        group: support::group("large.1"),
        epoch: 1,
        member: vm("one"),
    };
    let told = |node: &str| PeerReport { lost: vec![lost.clone()], ..report(node) };
    let is_ask =
        |effect: &balsam_fleet::Effect| matches!(effect, balsam_fleet::Effect::Probe { .. });
    let is_lost = |e: &balsam_fleet::Effect| {
        matches!(e, balsam_fleet::Effect::Note(balsam_fleet::event::Note::GroupLost { .. }))
    };
    let (mut asked, mut lost_on_one_word, mut lost_on_two) = (0, 0, 0);
    for own in &names {
        let mut fleet = support::fleet(own);
        reduce(&mut fleet, 1_000, Event::Configuration(support::configuration(1).into()));
        let heads = vec![support::head("one", 1), support::head("two", 2)];
        reduce(&mut fleet, 1_000, Event::List(ListChange::Whole(heads)));
        let others: Vec<&String> = names.iter().filter(|name| *name != own).collect();
        for other in &others {
            reduce(&mut fleet, 1_000, Event::Peer(report(other)));
        }
        let effects = reduce(&mut fleet, 1_010, Event::Peer(told(others[0])));
        asked += effects.iter().filter(|e| is_ask(e)).count();
        lost_on_one_word += effects.iter().filter(|e| is_lost(e)).count();
        let effects = reduce(&mut fleet, 1_020, Event::Peer(told(others[1])));
        lost_on_two += effects.iter().filter(|e| is_lost(e)).count();
        assert!(fleet.report(1_020).lost.is_empty(), "hearsay is not told on");
    }
    assert_eq!((asked, lost_on_one_word, lost_on_two), (2, 0, 37));
}

/// With 195 nodes each told the 156 of other data centres its load every 2.3 s, which counted for
/// 1.5 s: most of the load was unknown, and so was the number of nodes that share the limits of
/// repeats and of cold starts. The sums of a data centre take the place of its nodes.
#[test]
fn the_sums_of_a_data_centre_count_as_its_nodes() {
    let load = |in_flight| vec![PeerLoad { vm: vm("one"), in_flight, unread_tokens: 100 }];
    let far = |name: &str, in_flight| PeerReport {
        data_centre: support::data_centre("b"),
        loads: load(in_flight),
        ..report(name)
    };
    let mut sender = fleet(vec![support::head("one", 1)]);
    sender.settings.data_centre = support::data_centre("b");
    for node in 0..38 {
        reduce(&mut sender, 1_000, Event::Peer(far(&format!("b{node}"), 2)));
    }
    let summary = sender.summary(1_100);
    assert_eq!(summary.scope, Scope::DataCentre { nodes: 39, age_ms: 97 });
    assert_eq!(
        summary.loads,
        vec![PeerLoad { vm: vm("one"), in_flight: 76, unread_tokens: 3_800 }]
    );

    let mut fleet = fleet(vec![support::head("one", 1)]);
    reduce(&mut fleet, 1_050, Event::Peer(far("b0", 2)));
    reduce(&mut fleet, 1_100, Event::Peer(summary));
    reduce(&mut fleet, 1_150, Event::Peer(far("b1", 2)));
    assert_eq!(fleet.nodes(1_200), 40);
    assert_eq!(fleet.loads.get(&vm("one")).unwrap().total(1_200), (76, 3_800));
    assert_eq!(fleet.nodes(3_200), 1, "a data centre that fell silent has no live nodes");
}

/// One node of a data centre reads the list for the others. While the store turns that one away,
/// 38 others read it themselves (galamb-ledger-large, trouble-1).
#[test]
fn a_node_that_the_store_turns_away_gives_its_place_to_the_next() {
    let mut fleet = support::fleet("node1");
    reduce(&mut fleet, 1_000, Event::Peer(report("node2")));
    assert_eq!(fleet.place(1_000), 0);
    reduce(&mut fleet, 1_010, Event::StoreLost);
    assert_eq!(fleet.place(1_010), 1);
    assert!(!fleet.report(1_010).has_store);
    let other = PeerReport { has_store: false, ..report("node2") };
    reduce(&mut fleet, 1_020, Event::Peer(other));
    assert_eq!(fleet.place(1_020), 0, "somebody tries again");
    reduce(&mut fleet, 3_000, Event::Peer(report("node2")));
    assert_eq!(fleet.place(3_000), 1, "an answer between two refusals is no return");
    reduce(&mut fleet, 4_020, Event::Peer(report("node2")));
    assert_eq!(fleet.place(4_020), 0);
}

/// With 195 nodes the prompts that nobody has reported yet lengthen a pass by more than the silence
/// that counted as a loss: healthy groups got no requests, and each of their members a probe
/// (galamb-ledger-large, trouble-1).
#[rstest]
#[case::nothing_unseen(0.0, true)]
#[case::much_unseen(1.2, false)]
fn a_group_that_reads_for_others_is_not_taken_for_lost(
    #[case] reading_groups: f64,
    #[case] is_asked: bool,
) {
    let mut fleet = fleet(vec![support::head("one", 1), support::head("two", 2)]);
    let busy = BusyGroups { total: reading_groups, reading: reading_groups };
    let far = PeerReport {
        data_centre: support::data_centre("b"),
        scope: Scope::DataCentre { nodes: 150, age_ms: 300 },
        demand: vec![(support::model(support::LARGE), busy)],
        ..report("b")
    };
    reduce(&mut fleet, 2_000, Event::Peer(far));
    reduce(&mut fleet, 2_000, Event::Arrive(arrival(1, 2_000)));
    reduce(&mut fleet, 2_100, Event::Started(1));
    let effects = reduce(&mut fleet, 2_250, Event::Tick);
    let asked = effects.iter().any(|e| matches!(e, balsam_fleet::Effect::Probe { .. }));
    assert_eq!(asked, is_asked);
}

/// Reports come every few tenths of a second, in which a group reads several prompts: nodes put
/// theirs behind each other. Each request is told as it is sent, until the next report counts it.
#[test]
fn a_request_of_another_node_counts_at_once() {
    let mut fleet = fleet(vec![support::head("one", 1), support::head("two", 2)]);
    reduce(&mut fleet, 1_000, Event::Peer(report("other")));
    let first = SentRequest { vm: vm("one"), prompt_tokens: 1_400 };
    let sent = Event::PeerSent { node: Arc::from("other"), sent: vec![first] };
    reduce(&mut fleet, 1_010, sent.clone());
    let effects = reduce(&mut fleet, 1_015, Event::Arrive(arrival(1, 1_015)));
    assert_eq!(dispatched(&effects, 1), Some(vm("two")));
    assert_eq!(fleet.loads.get(&vm("one")).unwrap().total(1_020), (1, 1_400));
    reduce(&mut fleet, 1_200, Event::Peer(report("other")));
    assert_eq!(
        fleet.loads.get(&vm("one")).unwrap().total(1_210),
        (0, 0),
        "the report knows better"
    );
    reduce(&mut fleet, 1_220, Event::PeerSent { node: Arc::from("stranger"), sent: Vec::new() });
    assert_eq!(fleet.nodes(1_230), 2);
}

/// Groups of other data centres are known by sums of half a second ago. With 195 nodes that chose
/// among all of them alike, the groups of all data centres were chosen blindly
/// (galamb-ledger-large, scale-1); they now serve what the own ones cannot.
#[rstest]
#[case::near_groups_have_room(0, "near")]
#[case::near_groups_are_busy(40_000, "far")]
fn a_large_fleet_serves_requests_where_they_come_in(
    #[case] unread_tokens: u64,
    #[case] expected: &str,
) {
    let far = Endpoint { data_centre: support::data_centre("b"), ..support::head("far", 2) };
    let mut fleet = fleet(vec![support::head("near", 1), far]);
    let busy = BusyGroups { total: 2.0, reading: 1.0 };
    let sums = PeerReport {
        data_centre: support::data_centre("b"),
        scope: Scope::DataCentre { nodes: 39, age_ms: 300 },
        demand: vec![(support::model(support::LARGE), busy)],
        ..report("b")
    };
    reduce(&mut fleet, 1_000, Event::Peer(sums));
    let load = PeerLoad { vm: vm("near"), in_flight: 4, unread_tokens };
    reduce(&mut fleet, 1_000, Event::Peer(PeerReport { loads: vec![load], ..report("other") }));
    let effects = reduce(&mut fleet, 1_010, Event::Arrive(arrival(1, 1_010)));
    assert_eq!(dispatched(&effects, 1), Some(vm(expected)));
}
