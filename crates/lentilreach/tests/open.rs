//! Admission of new flows at an agent.

use std::net::SocketAddr;

use lentilreach::connection::flow::Key;
use lentilreach::connection::open::{Limits, Offer, Outcome, Table, Why};
use lentilreach::process::clock::Millis;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIMITS: Limits = Limits { flows: 10, cold_flows: 2, half_open_ms: 1_000 };

fn key(index: u8) -> Key {
    Key::new(SocketAddr::from(([10, 0, 0, 1], 1_000)), &[index])
}

/// A warm table with `count` complete flows, keyed from 0.
fn warm(count: u8) -> Table {
    let mut table = Table::new(LIMITS);
    table.set_cold(false);
    for index in 0..count {
        assert_eq!(table.offer(Millis(0), key(index), 0), Outcome::Admit);
        assert!(table.complete(Millis(0), key(index)));
    }
    table
}

/// Guards against more flows than a full, cold or draining backend server may take.
#[test]
fn limits_hold() {
    let mut full = warm(10);
    let mut cold = warm(2);
    cold.set_cold(true);
    let mut leaving = warm(1);
    leaving.set_leaving(true);

    for (table, why) in
        [(&mut full, Why::Full), (&mut cold, Why::Cold), (&mut leaving, Why::Leaving)]
    {
        assert_eq!(table.offer(Millis(0), key(90), 1), Outcome::HandOn);
        assert_eq!(table.offer(Millis(0), key(91), 0), Outcome::Refuse(why));
        assert_eq!(table.offer(Millis(0), key(0), 0), Outcome::Known, "established");
    }
}

/// Guards against duplicates of an opening packet that take another way than the first.
#[test]
fn duplicates_take_the_same_way() {
    let mut table = warm(10);
    table.offer(Millis(0), key(90), 1);
    table.offer(Millis(0), key(91), 0);
    table.close(Millis(1), key(0));

    assert_eq!(table.offer(Millis(999), key(90), 1), Outcome::HandOn);
    assert_eq!(table.offer(Millis(999), key(91), 0), Outcome::Refuse(Why::Full));
    assert_eq!(table.offer(Millis(999), key(0), 0), Outcome::Refuse(Why::Closed));
    assert_eq!(table.offer(Millis(2_000), key(91), 0), Outcome::Admit, "forgotten");
}

/// Guards against places that handshakes without an end hold for ever.
#[test]
fn half_open_flows_expire() {
    let mut table = warm(9);
    table.offer(Millis(0), key(50), 0);

    assert_eq!(table.offer(Millis(999), key(51), 0), Outcome::Refuse(Why::Full));
    assert_eq!(table.offer(Millis(1_000), key(52), 0), Outcome::Admit);
    assert!(!table.complete(Millis(1_000), key(50)), "its place is gone");
    assert_eq!(table.open(), 10);
}

/// A warm table with five flows that has known this mean for three seconds, and the time.
fn settled(mean: u32) -> (Table, Millis) {
    let mut table = warm(5);
    for second in 1..4 {
        table.offer(Millis(second * 1_000), key(0), 0);
        table.set_mean(Some(mean));
    }
    (table, Millis(3_000))
}

/// Guards against imbalance, and against refusals for balance when few candidates remain.
#[test]
fn flows_above_the_mean_are_handed_on() {
    let (mut table, now) = settled(40);

    assert_eq!(table.offer(now, key(60), 2), Outcome::HandOn);
    assert_eq!(table.offer(now, key(61), 1), Outcome::Admit);
    let (mut table, now) = settled(50);
    assert_eq!(table.offer(now, key(63), 2), Outcome::Admit);
}

/// Guards against flows that all members hand on while the service fills up, since each is
/// ahead of a mean that is a second old: the true counts decide then.
#[test]
fn fewest_flows_win_over_an_old_mean() {
    let (mut table, now) = settled(20);
    let against = |declined, remaining, fewest| Offer {
        declined,
        remaining,
        fewest: Some(fewest),
        returned: false,
    };

    assert_eq!(table.compare(now, key(60), against(1, 2, 5)), Outcome::HandOn);
    assert_eq!(table.compare(now, key(61), against(2, 2, 4)), Outcome::HandOn);
    assert_eq!(table.compare(now, key(62), against(2, 2, 5)), Outcome::Admit);
    assert_eq!(table.compare(now, key(64), against(3, 0, 5)), Outcome::HandBack);
    assert_eq!(table.compare(now, key(65), against(3, 0, 6)), Outcome::Admit);
    let returned = Offer { returned: true, ..against(0, 1, 0) };
    assert_eq!(table.compare(now, key(60), returned), Outcome::Admit);
    let (mut empty, now) = settled(0);
    assert_eq!(empty.offer(now, key(63), 2), Outcome::Admit, "no mean yet");
}

/// Guards against a refusal by a draining last candidate of a flow that another one declined
/// for balance only.
#[test]
fn draining_last_candidate_hands_back() {
    let mut table = warm(5);
    table.set_leaving(true);
    let last = Offer { declined: 2, remaining: 0, fewest: Some(9), returned: false };

    let outcome = table.compare(Millis(0), key(60), last);

    assert_eq!(outcome, Outcome::HandBack);
    let again = Offer { fewest: None, returned: true, ..last };
    assert_eq!(table.compare(Millis(0), key(61), again), Outcome::Refuse(Why::Leaving));
}

/// Guards against unbounded memory under a flood of opening packets.
#[test]
fn a_flood_is_forgotten() {
    let mut table = warm(10);
    for index in 0..100_000_u32 {
        let flow = Key::new(SocketAddr::from(([10, 0, 0, 1], 1)), &index.to_be_bytes());
        table.offer(Millis(0), flow, 1);
    }

    assert!(table.remembered() <= 16_384, "{}", table.remembered());
    assert_eq!(table.open(), 10);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    })]

    /// Guards against any order of events that exceeds a limit, loses a complete flow, or
    /// changes the decision on a duplicate within `half_open_ms`.
    #[test]
    fn any_order_keeps_the_rules(events in proptest::collection::vec(
        (0_u8..7, 0_u8..24, 0_usize..3, 0_u64..400), 1..200,
    )) {
        let mut table = warm(0);
        let mut now = Millis(0);
        let (mut cold, mut complete) = (false, Vec::new());
        let mut decided: Vec<(Key, Outcome, Millis)> = Vec::new();
        for (event, flow, remaining, wait) in events {
            now = now.after(if event == 6 { wait } else { 0 });
            let (flow, before) = (key(flow), table.open());
            match event {
                0 | 1 => {
                    let outcome = table.offer(now, flow, remaining);
                    let again = table.offer(now, flow, remaining);
                    if outcome == Outcome::Admit {
                        prop_assert!(table.open() <= table.limit());
                        prop_assert_eq!(again, Outcome::Known);
                    } else {
                        prop_assert_eq!(outcome, again);
                    }
                    let last = decided.iter().rev().find(|(key, ..)| *key == flow);
                    if let Some((_, Outcome::Refuse(why), at)) = last
                        && now.since(*at) < 1_000
                    {
                        prop_assert_eq!(outcome, Outcome::Refuse(*why));
                    }
                    if !matches!(last, Some((_, o, at)) if *o == outcome && now.since(*at) < 1_000) {
                        decided.push((flow, outcome, now));
                    }
                }
                2 if table.complete(now, flow) => complete.push(flow),
                3 => {
                    table.close(now, flow);
                    if table.open() < before {
                        decided.push((flow, Outcome::Refuse(Why::Closed), now));
                    }
                    complete.retain(|key| *key != flow);
                }
                4 => {
                    cold = !cold;
                    table.set_cold(cold);
                    prop_assert_eq!(table.open(), before, "flows survive a cold turn");
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
