//! Tests of the planner lease.

use balsam_fleet::lease::LastHolder;
use balsam_fleet::lease::Lease;
use balsam_fleet::lease::Step;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const TTL_MS: u64 = 1_800;

/// A node that joins or leaves must not move the lease: when planning followed group membership, a
/// rolling stop moved it eleven times in 13 s.
#[test]
fn the_lease_stays_with_a_holder_that_renews_it() {
    let mut holder = Lease::new(TTL_MS, 600);
    let mut other = Lease::new(TTL_MS, 600);
    holder.read(0, 0, LastHolder::Released);
    other.read(0, 0, LastHolder::Released);
    assert_eq!(holder.step(10), Step::Append(0));
    holder.appended(20, 10, 0);
    other.refused(30, 1);
    for now_ms in (100..20_000).step_by(100) {
        if let Step::Append(end) = holder.step(now_ms) {
            holder.appended(now_ms, now_ms, end);
        }
        other.apply_report(now_ms, holder.end(), false);
        assert_eq!(other.step(now_ms), Step::Nothing, "at {now_ms} ms");
        assert_eq!(holder.held(now_ms).map(|(generation, _)| generation), Some(1));
    }
}

/// A holder that stops releases the lease, and another node takes it without waiting.
#[test]
fn a_released_lease_is_free_at_once() {
    let mut other = Lease::new(TTL_MS, 600);
    other.read(0, 7, LastHolder::Other);
    assert_eq!(other.step(100), Step::Nothing);
    other.apply_report(200, 8, true);
    assert_eq!(other.step(200), Step::Append(8));
}

/// A node whose append got no answer finds its own record and appends again immediately; waiting
/// for that record to expire left the fleet without a planner for 3.3 s (incident inc-04f2).
#[test]
fn a_node_that_finds_its_own_record_last_appends_again() {
    let mut lease = Lease::new(TTL_MS, 600);
    lease.read(0, 4, LastHolder::Other);
    assert_eq!(lease.step(TTL_MS), Step::Append(4));
    lease.unanswered();
    assert_eq!(lease.step(2_600), Step::Read);
    lease.read(2_610, 5, LastHolder::Own);
    assert_eq!(lease.held(2_610), None, "an unanswered append gives no lease");
    assert_eq!(lease.step(2_610), Step::Append(5));
}

/// Two nodes that both believe they hold the lease give contradicting orders. Checks this under
/// lost answers, pauses, and records that are appended after their call was given up.
#[rstest]
fn two_nodes_never_hold_the_lease_together(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut nodes: Vec<Lease> = (0..4).map(|_| Lease::new(TTL_MS, 600)).collect();
    let mut records: Vec<usize> = Vec::new();
    let mut late: Vec<(u64, usize, u64)> = Vec::new();
    let mut paused_until_ms = [0_u64; 4];
    for now_ms in (0..120_000_u64).step_by(50) {
        late.retain(|(at_ms, node, end)| {
            if *at_ms <= now_ms && *end == records.len() as u64 {
                records.push(*node);
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
            let end = records.len() as u64;
            match nodes[node].step(now_ms) {
                Step::Nothing => {}
                Step::Read => {
                    let last =
                        records.last().map_or(LastHolder::Released, |last| match *last == node {
                            true => LastHolder::Own,
                            false => LastHolder::Other,
                        });
                    nodes[node].read(now_ms, end, last);
                }
                Step::Append(at) if random.random_ratio(1, 10) => {
                    let delay_ms = random.random_range(0..6_000);
                    late.push((now_ms + delay_ms, node, at));
                    nodes[node].unanswered();
                }
                Step::Append(at) if at == end => {
                    records.push(node);
                    nodes[node].appended(now_ms, now_ms, at);
                }
                Step::Append(_) => nodes[node].refused(now_ms, end),
            }
        }
        let holders = nodes.iter().filter(|node| node.held(now_ms).is_some()).count();
        assert!(holders <= 1, "seed {seed}: {holders} holders at {now_ms} ms");
    }
    assert!(records.len() > 50, "the lease must be held most of the time");
}
