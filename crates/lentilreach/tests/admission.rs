//! Tests the admission of new flows at an agent.

use std::net::SocketAddr;

use lentilreach::connection::admission::{Limits, Offer, Outcome, Reason, Table};
use lentilreach::connection::flow::Key;
use lentilreach::process::clock::Millis;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIMITS: Limits = Limits { flows: 10, cold_flows: 2, half_open_ms: 1_000 };

fn key(index: u8) -> Key {
    Key::new(SocketAddr::from(([10, 0, 0, 1], 1_000)), &[index])
}

/// Returns a warm table with `count` established flows, keyed from 0.
fn warm_table(count: u8) -> Table {
    let mut table = Table::new(LIMITS);
    table.set_cold(false);
    for index in 0..count {
        assert_eq!(table.offer(Millis(0), key(index), 0), Outcome::Admit);
        assert!(table.complete(Millis(0), key(index)));
    }
    table
}

/// Guards against admitting flows at a full, cold or draining backend server.
#[test]
fn limits_are_enforced() {
    let mut full = warm_table(10);
    let mut cold = warm_table(2);
    cold.set_cold(true);
    let mut draining = warm_table(1);
    draining.set_draining(true);

    for (table, reason) in [
        (&mut full, Reason::Full),
        (&mut cold, Reason::Cold),
        (&mut draining, Reason::Draining),
    ] {
        assert_eq!(table.offer(Millis(0), key(90), 1), Outcome::HandOn);
        assert_eq!(table.offer(Millis(0), key(91), 0), Outcome::Refuse(reason));
        assert_eq!(table.offer(Millis(0), key(0), 0), Outcome::Known, "established");
    }
}

/// Guards against duplicates of an opening packet that reach another agent than the first.
#[test]
fn duplicates_get_the_same_decision() {
    let mut table = warm_table(10);
    table.offer(Millis(0), key(90), 1);
    table.offer(Millis(0), key(91), 0);
    table.close(Millis(1), key(0));

    assert_eq!(table.offer(Millis(999), key(90), 1), Outcome::HandOn);
    assert_eq!(table.offer(Millis(999), key(91), 0), Outcome::Refuse(Reason::Full));
    assert_eq!(table.offer(Millis(999), key(0), 0), Outcome::Refuse(Reason::Closed));
    assert_eq!(table.offer(Millis(2_000), key(91), 0), Outcome::Admit, "forgotten");
}

/// Guards against incomplete handshakes that count against the flow limit forever.
#[test]
fn half_open_flows_expire() {
    let mut table = warm_table(9);
    table.offer(Millis(0), key(50), 0);

    assert_eq!(table.offer(Millis(999), key(51), 0), Outcome::Refuse(Reason::Full));
    assert_eq!(table.offer(Millis(1_000), key(52), 0), Outcome::Admit);
    assert!(!table.complete(Millis(1_000), key(50)), "the flow has expired");
    assert_eq!(table.open(), 10);
}

/// Returns a warm table with five flows that has had this mean for three seconds, and the
/// time.
fn table_with_mean(mean: u32) -> (Table, Millis) {
    let mut table = warm_table(5);
    for second in 1..4 {
        table.offer(Millis(second * 1_000), key(0), 0);
        table.set_mean(Some(mean));
    }
    (table, Millis(3_000))
}

/// Guards against imbalance, and against declining for balance when few candidates remain.
#[test]
fn flows_above_the_mean_are_handed_on() {
    let (mut table, now) = table_with_mean(40);

    assert_eq!(table.offer(now, key(60), 2), Outcome::HandOn);
    assert_eq!(table.offer(now, key(61), 1), Outcome::Admit);
    let (mut table, now) = table_with_mean(50);
    assert_eq!(table.offer(now, key(63), 2), Outcome::Admit);
}

/// Guards against flows that every member hands on while the service fills up, since each is
/// above a mean that is a second old. The actual counts then decide.
#[test]
fn fewest_flows_win_over_stale_mean() {
    let (mut table, now) = table_with_mean(20);
    let offer = |declined, remaining, fewest_open| Offer {
        declined,
        remaining,
        fewest_open: Some(fewest_open),
        handed_back: false,
    };

    assert_eq!(table.decide(now, key(60), offer(1, 2, 5)), Outcome::HandOn);
    assert_eq!(table.decide(now, key(61), offer(2, 2, 4)), Outcome::HandOn);
    assert_eq!(table.decide(now, key(62), offer(2, 2, 5)), Outcome::Admit);
    assert_eq!(table.decide(now, key(64), offer(3, 0, 5)), Outcome::HandBack);
    assert_eq!(table.decide(now, key(65), offer(3, 0, 6)), Outcome::Admit);
    let handed_back = Offer { handed_back: true, ..offer(0, 1, 0) };
    assert_eq!(table.decide(now, key(60), handed_back), Outcome::Admit);
    let (mut empty, now) = table_with_mean(0);
    assert_eq!(empty.offer(now, key(63), 2), Outcome::Admit, "no mean yet");
}

/// Guards against a draining last candidate that refuses a flow which another candidate
/// declined only for balance.
#[test]
fn draining_last_candidate_hands_back() {
    let mut table = warm_table(5);
    table.set_draining(true);
    let last =
        Offer { declined: 2, remaining: 0, fewest_open: Some(9), handed_back: false };

    let outcome = table.decide(Millis(0), key(60), last);

    assert_eq!(outcome, Outcome::HandBack);
    let duplicate = Offer { fewest_open: None, handed_back: true, ..last };
    assert_eq!(
        table.decide(Millis(0), key(61), duplicate),
        Outcome::Refuse(Reason::Draining)
    );
}

/// Guards against unbounded memory during a flood of opening packets.
#[test]
fn decision_cache_is_bounded() {
    let mut table = warm_table(10);
    for index in 0..100_000_u32 {
        let flow = Key::new(SocketAddr::from(([10, 0, 0, 1], 1)), &index.to_be_bytes());
        table.offer(Millis(0), flow, 1);
    }

    assert!(table.cached_decisions() <= 16_384, "{}", table.cached_decisions());
    assert_eq!(table.open(), 10);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    })]

    /// Guards against any order of events that exceeds a limit, loses an established flow, or
    /// changes the decision on a duplicate within `half_open_ms`.
    #[test]
    fn any_event_order_keeps_rules(events in proptest::collection::vec(
        (0_u8..7, 0_u8..24, 0_usize..3, 0_u64..400), 1..200,
    )) {
        let mut table = warm_table(0);
        let mut now = Millis(0);
        let (mut cold, mut complete) = (false, Vec::new());
        let mut decided: Vec<(Key, Outcome, Millis)> = Vec::new();
        for (event, flow, remaining, wait) in events {
            now = now.after(if event == 6 { wait } else { 0 });
            let (flow, before) = (key(flow), table.open());
            match event {
                0 | 1 => {
                    let outcome = table.offer(now, flow, remaining);
                    let duplicate = table.offer(now, flow, remaining);
                    if outcome == Outcome::Admit {
                        prop_assert!(table.open() <= table.limit());
                        prop_assert_eq!(duplicate, Outcome::Known);
                    } else {
                        prop_assert_eq!(outcome, duplicate);
                    }
                    let last = decided.iter().rev().find(|(key, ..)| *key == flow);
                    if let Some((_, Outcome::Refuse(reason), at)) = last
                        && now.since(*at) < 1_000
                    {
                        prop_assert_eq!(outcome, Outcome::Refuse(*reason));
                    }
                    if !matches!(last, Some((_, o, at)) if *o == outcome && now.since(*at) < 1_000) {
                        decided.push((flow, outcome, now));
                    }
                }
                2 if table.complete(now, flow) => complete.push(flow),
                3 => {
                    table.close(now, flow);
                    if table.open() < before {
                        decided.push((flow, Outcome::Refuse(Reason::Closed), now));
                    }
                    complete.retain(|key| *key != flow);
                }
                4 => {
                    cold = !cold;
                    table.set_cold(cold);
                    prop_assert_eq!(table.open(), before, "flows survive a cold period");
                }
                5 => table.expire(now),
                _ => {}
            }
            for flow in &complete {
                prop_assert_eq!(table.offer(now, *flow, 0), Outcome::Known);
            }
        }
    }
}
