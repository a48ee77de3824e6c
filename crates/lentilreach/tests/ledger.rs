//! The at-most-once record.

use std::sync::Arc;

use bytes::Bytes;
use lentilreach::id::node;
use lentilreach::process::clock::Millis;
use lentilreach::process::ledger::{
    Answer, Entry, Key, Ledger, MAX_ANSWER, Outcome, Sealing,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const OWNER: node::Id = node::Id(1);

fn ledger() -> Ledger {
    Ledger::new(OWNER, 3, 1_000)
}

fn key(nonce: u8, expiry: u64) -> Key {
    Key::new(OWNER, Millis(expiry), &[nonce])
}

fn answer(size: usize) -> Answer {
    Answer { status: 201, headers: Vec::new(), body: Bytes::from(vec![7; size]) }
}

/// Guards against a repeated request that runs again, whatever became of the first.
#[test]
fn a_repeated_key_does_not_run_again() {
    let cases = [
        (Outcome::Answered(answer(5)), answer(5), Sealing::Done(Arc::new(answer(5)))),
        (Outcome::Answered(answer(MAX_ANSWER + 1)), Answer::unknown(), Sealing::Unknown),
        (Outcome::Unknown, Answer::unknown(), Sealing::Unknown),
    ];
    for (outcome, expected, sealing) in cases {
        let mut ledger = ledger();
        assert_eq!(ledger.begin(Millis(0), &key(1, 500)), Entry::Run);
        assert_eq!(ledger.begin(Millis(1), &key(1, 500)), Entry::Running);
        assert_eq!(ledger.seal(Millis(1), &key(1, 500)), Sealing::Running);

        ledger.finish(Millis(2), &key(1, 500), outcome);
        ledger.finish(Millis(2), &key(1, 500), Outcome::NotRun);

        assert_eq!(
            ledger.begin(Millis(3), &key(1, 500)),
            Entry::Done(Arc::new(expected))
        );
        assert_eq!(ledger.seal(Millis(3), &key(1, 500)), sealing);
        assert_eq!(ledger.begin(Millis(500), &key(1, 500)), Entry::Expired);
        assert_eq!(ledger.seal(Millis(500), &key(1, 500)), Sealing::Expired);
    }
}

/// Guards against a request that runs after a caller was told that it did not.
#[test]
fn a_sealed_key_never_runs() {
    let mut ledger = ledger();

    assert_eq!(ledger.seal(Millis(0), &key(1, 500)), Sealing::Sealed);

    assert_eq!(ledger.begin(Millis(1), &key(1, 500)), Entry::Sealed);
    assert_eq!(ledger.seal(Millis(1), &key(1, 500)), Sealing::Sealed);
}

/// Guards against a request that cannot be tried again although no byte of it was sent.
#[test]
fn a_request_that_did_not_run_may_be_tried_again() {
    let mut ledger = ledger();
    ledger.begin(Millis(0), &key(1, 500));

    ledger.finish(Millis(1), &key(1, 500), Outcome::NotRun);

    assert_eq!(ledger.begin(Millis(2), &key(1, 500)), Entry::Run);
}

/// Guards against unbounded memory, and against eviction of a record whose key is valid.
#[test]
fn a_full_ledger_refuses_new_keys_and_keeps_old_ones() {
    let mut ledger = ledger();
    (0..3).for_each(|nonce| {
        assert_eq!(ledger.begin(Millis(0), &key(nonce, 500)), Entry::Run)
    });

    assert_eq!(ledger.begin(Millis(1), &key(9, 900)), Entry::Full);
    assert_eq!(ledger.seal(Millis(1), &key(9, 900)), Sealing::Unknown);
    assert_eq!(ledger.begin(Millis(1), &key(0, 500)), Entry::Running);
    assert_eq!(
        ledger.begin(Millis(500), &key(9, 900)),
        Entry::Run,
        "expired ones are gone"
    );
    assert_eq!(ledger.len(), 1);
}

/// Guards against running the request of another agent or of a key that was not issued here.
#[test]
fn foreign_keys_do_not_run() {
    let foreign = Key::new(node::Id(2), Millis(500), &[1]);
    for key in [foreign, key(1, 1_001)] {
        assert_eq!(ledger().begin(Millis(0), &key), Entry::Expired);
        assert_eq!(ledger().seal(Millis(0), &key), Sealing::Expired);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::with_cases(512)
    })]

    /// Guards against any order of tries, seals, ends and expiries in which a request runs
    /// twice, runs after it was sealed, or gets the answer of another.
    #[test]
    fn any_order_runs_at_most_once(events in proptest::collection::vec(
        (0_u8..7, 0_u8..5, 0_u64..200), 1..100,
    )) {
        let mut ledger = ledger();
        let mut now = Millis(0);
        // Runs that may have reached the backend server, and seals, by key.
        let (mut ran, mut sealed, mut running) = ([0; 5], [false; 5], [false; 5]);
        for (event, nonce, wait) in events {
            let at = usize::from(nonce);
            let key = key(nonce, 400 + 150 * u64::from(nonce));
            match event {
                0 | 1 => match ledger.begin(now, &key) {
                    Entry::Run => {
                        prop_assert!(!sealed[at], "runs after a seal");
                        ran[at] += 1;
                        running[at] = true;
                        prop_assert_eq!(ran[at], 1, "runs twice");
                    }
                    Entry::Done(answer) if answer.status == 201 => {
                        prop_assert_eq!(answer.body.len(), at);
                    }
                    _ => {}
                },
                2 => if ledger.seal(now, &key) == Sealing::Sealed {
                    prop_assert_eq!(ran[at], 0, "sealed after it ran");
                    sealed[at] = true;
                },
                3 => {
                    ledger.finish(now, &key, Outcome::Answered(answer(at)));
                    running[at] = false;
                }
                4 => {
                    ledger.finish(now, &key, Outcome::Unknown);
                    running[at] = false;
                }
                5 if running[at] => {
                    ledger.finish(now, &key, Outcome::NotRun);
                    running[at] = false;
                    ran[at] -= 1;
                }
                _ => now = now.after(wait),
            }
            prop_assert!(ledger.len() <= 3);
        }
    }
}
