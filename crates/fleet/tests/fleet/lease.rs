//! Tests of the planner lease.

use balsam_fleet::StorePosition;
use balsam_fleet::lease::LastHolder;
use balsam_fleet::lease::Lease;
use balsam_fleet::lease::Step;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const TTL_MS: u64 = 1_800;

/// Returns a position in the first era of the store.
fn at(offset: u64) -> StorePosition {
    StorePosition { era: 1, offset }
}

/// Returns a position after the store came back from a copy.
fn restored(offset: u64) -> StorePosition {
    StorePosition { era: 2, offset }
}

/// Returns a node that holds the lease since the record at offset 20, sent at 0 ms.
fn holder() -> Lease {
    let mut holder = Lease::new(TTL_MS, 600);
    holder.read(0, at(20), LastHolder::Released);
    holder.appended(10, 0, at(20), 1);
    holder
}

/// A node that joins or leaves must not move the lease: when planning followed group membership, a
/// rolling stop moved it eleven times in 13 s.
#[test]
fn the_lease_stays_with_a_holder_that_renews_it() {
    let mut holder = Lease::new(TTL_MS, 600);
    let mut other = Lease::new(TTL_MS, 600);
    holder.read(0, at(0), LastHolder::Released);
    other.read(0, at(0), LastHolder::Released);
    assert_eq!(holder.step(10), Step::Append(at(0)));
    holder.appended(20, 10, at(0), 1);
    other.refused(30, at(1));
    let (first_generation, _) = holder.held(30).unwrap();
    for now_ms in (100..20_000).step_by(100) {
        if let Step::Append(end) = holder.step(now_ms) {
            holder.appended(now_ms, now_ms, end, 1);
        }
        other.apply_report(now_ms, holder.end(), false);
        assert_eq!(other.step(now_ms), Step::Nothing, "at {now_ms} ms");
        let generation = holder.held(now_ms).map(|(generation, _)| generation);
        assert_eq!(generation, Some(first_generation));
    }
}

/// A holder that stops releases the lease, and another node takes it without waiting.
#[test]
fn a_released_lease_is_free_at_once() {
    let mut other = Lease::new(TTL_MS, 600);
    other.read(0, at(7), LastHolder::Other);
    assert_eq!(other.step(100), Step::Nothing);
    other.apply_report(200, at(8), true);
    assert_eq!(other.step(200), Step::Append(at(8)));
}

/// A node whose append got no answer finds its own record and appends again immediately; waiting
/// for that record to expire left the fleet without a planner for 3.3 s (incident inc-04f2).
#[test]
fn a_node_that_finds_its_own_record_last_appends_again() {
    let mut lease = Lease::new(TTL_MS, 600);
    lease.read(0, at(4), LastHolder::Other);
    assert_eq!(lease.step(TTL_MS), Step::Append(at(4)));
    lease.unanswered();
    assert_eq!(lease.step(2_600), Step::Read);
    lease.read(2_610, at(5), LastHolder::Own);
    assert_eq!(lease.held(2_610), None, "an unanswered append gives no lease");
    assert_eq!(lease.step(2_610), Step::Append(at(5)));
}

/// A holder keeps its lease when the store comes back from a copy, and renews it by a record that
/// follows the last one of the copy. Its calls at the offset from before were refused forever, and
/// no node planned until the offsets had caught up.
#[rstest]
#[case::the_copy_has_its_record(21)]
#[case::the_copy_lacks_its_record(7)]
#[case::the_copy_lacks_all_records(0)]
fn a_holder_renews_the_lease_in_the_era_of_a_copy(#[case] end: u64) {
    let mut holder = holder();
    assert_eq!(holder.step(600), Step::Append(at(21)));
    holder.refused(610, restored(end));
    assert_eq!(holder.step(610), Step::Read);
    let last = if end == 0 { LastHolder::Nobody } else { LastHolder::EarlierEra };
    holder.read(620, restored(end), last);
    assert_eq!(holder.step(620), Step::Append(restored(end)));
    let generation = holder.held(620);
    holder.appended(640, 620, restored(end), 2);
    assert_eq!(holder.held(2_000).map(|held| held.0), generation.map(|held| held.0));
}

/// Guards against taking the lease while the holder whose records the copy lacks still holds it,
/// and against believing a release that the copy shows.
#[rstest]
#[case::released_in_the_copy(LastHolder::EarlierEra)]
#[case::no_record_in_the_copy(LastHolder::Nobody)]
fn nobody_takes_the_lease_before_one_from_before_a_restore_has_ended(#[case] last: LastHolder) {
    let mut other = Lease::new(TTL_MS, 600);
    other.read(0, at(21), LastHolder::Other);
    other.apply_report(500, restored(9), true);
    assert_eq!(other.step(500), Step::Read);
    other.read(510, restored(9), last);
    assert_eq!(other.step(500 + TTL_MS - 1), Step::Nothing);
    assert_eq!(other.step(510 + TTL_MS), Step::Append(restored(9)));
}

/// Guards against a record that was appended in another era than its condition is about: it may
/// follow the record of another holder.
#[test]
fn a_record_at_a_reused_offset_gives_no_lease() {
    let mut lease = Lease::new(TTL_MS, 600);
    lease.read(0, at(4), LastHolder::Released);
    assert_eq!(lease.step(10), Step::Append(at(4)));
    lease.appended(20, 10, at(4), 2);
    assert_eq!(lease.held(20), None);
    assert_eq!(lease.step(20), Step::Read);
}

/// Guards against fencing numbers that fall behind used ones when offsets are given out again, and
/// against epochs that not every JSON number holds exactly.
#[test]
fn a_term_in_a_later_era_has_a_higher_generation() {
    let generation = |first: StorePosition| {
        let mut lease = Lease::new(TTL_MS, 600);
        lease.appended(10, 0, first, first.era);
        lease.held(10).unwrap().0
    };
    assert!(generation(restored(0)) > generation(at(60_000_000)));
    let largest = generation(StorePosition { era: u64::MAX, offset: (1 << 26) - 2 });
    assert!(largest < 1 << (53 - 16), "{largest}");
}

/// Guards against a node that starts after a restore and takes the lease of a holder whose records are
/// all lost: two nodes held it for up to the holder's term. A first start must not wait.
#[test]
fn a_starting_node_does_not_take_a_lease_without_records() {
    let started_ms = 700;
    let mut starting = Lease::new(TTL_MS, 600);
    starting.read(started_ms, restored(0), LastHolder::Nobody);
    starting.unanswered();
    starting.read(started_ms + 50, restored(0), LastHolder::Nobody);
    assert!(holder().held(started_ms + 100).is_some());
    assert_eq!(starting.step(started_ms + 100), Step::Nothing);
    assert_eq!(starting.step(started_ms + TTL_MS - 1), Step::Nothing);
    assert_eq!(starting.step(started_ms + TTL_MS), Step::Append(restored(0)));
    let mut first = Lease::new(TTL_MS, 600);
    first.read(0, at(0), LastHolder::Nobody);
    assert_eq!(first.step(0), Step::Append(at(0)));
}

/// The records of the lease in a store that may come back from a copy.
#[derive(Default)]
struct Records {
    era: u64,
    /// The node that appended each record, and the era in which it sent the call.
    records: Vec<(usize, u64)>,
    /// The number of records at earlier times.
    history: Vec<(u64, usize)>,
    appended: usize,
}

impl Records {
    fn end(&self) -> StorePosition {
        StorePosition { era: self.era, offset: self.records.len() as u64 }
    }

    /// Appends a record if the records end at this offset, in whichever era.
    fn append(&mut self, node: usize, at: StorePosition) -> bool {
        let is_met = at.offset == self.end().offset;
        if is_met {
            self.records.push((node, at.era));
            self.appended += 1;
        }
        is_met
    }

    fn last(&self, node: usize) -> LastHolder {
        match self.records.last() {
            None => LastHolder::Nobody,
            Some((_, era)) if *era != self.era => LastHolder::EarlierEra,
            Some((last, _)) if *last == node => LastHolder::Own,
            Some(_) => LastHolder::Other,
        }
    }

    /// Restores the copy of a time, and begins the next era.
    fn restore(&mut self, as_of_ms: u64) {
        self.history.retain(|(at_ms, _)| *at_ms <= as_of_ms);
        self.records.truncate(self.history.last().map_or(0, |(_, length)| *length));
        self.era += 1;
    }
}

/// Two nodes that both believe they hold the lease give contradicting orders. Checks this under
/// lost answers, pauses, records that are appended after their call was given up, reports of other
/// nodes, and stores that come back from a copy some seconds old. Checks also that the generation
/// rises with each change of the holder.
#[rstest]
fn two_nodes_never_hold_the_lease_together(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(false, true)] is_restored: bool,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut nodes: Vec<Lease> = (0..4).map(|_| Lease::new(TTL_MS, 600)).collect();
    let mut store = Records::default();
    let mut late: Vec<(u64, usize, StorePosition)> = Vec::new();
    let mut paused_until_ms = [0_u64; 4];
    let mut last_term = None;
    let mut held_steps = 0;
    for now_ms in (0..120_000_u64).step_by(50) {
        if is_restored && random.random_ratio(1, 150) {
            store.restore(now_ms.saturating_sub(random.random_range(0..6_000)));
        }
        store.history.push((now_ms, store.records.len()));
        late.retain(|(at_ms, node, end)| {
            if *at_ms <= now_ms {
                store.append(*node, *end);
            }
            *at_ms > now_ms
        });
        for node in 0..nodes.len() {
            if now_ms < paused_until_ms[node] {
                continue;
            }
            if random.random_ratio(1, 400) {
                paused_until_ms[node] = now_ms + random.random_range(500..5_000);
            }
            if random.random_ratio(1, 4) {
                let reporting = nodes[random.random_range(0..4)];
                nodes[node].apply_report(now_ms, reporting.end(), reporting.is_released());
            }
            match nodes[node].step(now_ms) {
                Step::Nothing => {}
                Step::Read => nodes[node].read(now_ms, store.end(), store.last(node)),
                Step::Append(at) if random.random_ratio(1, 10) => {
                    let delay_ms = random.random_range(0..6_000);
                    late.push((now_ms + delay_ms, node, at));
                    nodes[node].unanswered();
                }
                Step::Append(at) if store.append(node, at) => {
                    nodes[node].appended(now_ms, now_ms, at, store.era);
                }
                Step::Append(_) => nodes[node].refused(now_ms, store.end()),
            }
        }
        let holders: Vec<usize> =
            (0..nodes.len()).filter(|node| nodes[*node].held(now_ms).is_some()).collect();
        assert!(holders.len() <= 1, "seed {seed}: {holders:?} are holders at {now_ms} ms");
        let Some(holder) = holders.first() else { continue };
        held_steps += 1;
        let term = (nodes[*holder].held(now_ms).unwrap().0, *holder);
        if let Some((generation, node)) = last_term.replace(term) {
            let is_new = term.0 > generation;
            assert!(is_new || term == (generation, node), "seed {seed}: {term:?} at {now_ms} ms");
        }
    }
    assert!(store.appended > 50, "the lease must be held most of the time");
    assert!(held_steps > 120_000 / 50 / 2, "the lease was held for {held_steps} steps");
}
