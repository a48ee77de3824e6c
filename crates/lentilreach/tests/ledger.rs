//! Tests the record of non-idempotent requests.

use std::sync::Arc;

use bytes::Bytes;
use lentilreach::id::node;
use lentilreach::process::clock::Millis;
use lentilreach::process::ledger::{
    Decision, Key, Ledger, MAX_RESPONSE_BYTES, Outcome, Revocation, StoredResponse,
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

fn response(size: usize) -> StoredResponse {
    StoredResponse { status: 201, headers: Vec::new(), body: Bytes::from(vec![7; size]) }
}

/// Guards against a repeated request that runs again, whatever the result of the first run.
#[test]
fn a_repeated_key_does_not_run_again() {
    let cases = [
        (
            Outcome::Answered(response(5)),
            response(5),
            Revocation::Done(Arc::new(response(5))),
        ),
        (
            Outcome::Answered(response(MAX_RESPONSE_BYTES + 1)),
            StoredResponse::unknown(),
            Revocation::Unknown,
        ),
        (Outcome::Unknown, StoredResponse::unknown(), Revocation::Unknown),
    ];
    for (outcome, expected, revocation) in cases {
        let mut ledger = ledger();
        assert_eq!(ledger.begin(Millis(0), &key(1, 500)), Decision::Run);
        assert_eq!(ledger.begin(Millis(1), &key(1, 500)), Decision::Running);
        assert_eq!(ledger.revoke(Millis(1), &key(1, 500)), Revocation::Running);

        ledger.finish(Millis(2), &key(1, 500), outcome);
        ledger.finish(Millis(2), &key(1, 500), Outcome::NotRun);

        assert_eq!(
            ledger.begin(Millis(3), &key(1, 500)),
            Decision::Done(Arc::new(expected))
        );
        assert_eq!(ledger.revoke(Millis(3), &key(1, 500)), revocation);
        assert_eq!(ledger.begin(Millis(500), &key(1, 500)), Decision::Expired);
        assert_eq!(ledger.revoke(Millis(500), &key(1, 500)), Revocation::Expired);
    }
}

/// Guards against a request that runs after a caller was told that it did not run.
#[test]
fn a_revoked_key_never_runs() {
    let mut ledger = ledger();

    assert_eq!(ledger.revoke(Millis(0), &key(1, 500)), Revocation::Revoked);

    assert_eq!(ledger.begin(Millis(1), &key(1, 500)), Decision::Revoked);
    assert_eq!(ledger.revoke(Millis(1), &key(1, 500)), Revocation::Revoked);
}

/// Guards against a request that cannot be retried although no byte of it was sent.
#[test]
fn a_request_that_did_not_run_may_be_tried_again() {
    let mut ledger = ledger();
    ledger.begin(Millis(0), &key(1, 500));

    ledger.finish(Millis(1), &key(1, 500), Outcome::NotRun);

    assert_eq!(ledger.begin(Millis(2), &key(1, 500)), Decision::Run);
}

/// Guards against unbounded memory, and against evicting a record whose key is still valid.
#[test]
fn a_full_ledger_refuses_new_keys_and_keeps_old_ones() {
    let mut ledger = ledger();
    (0..3).for_each(|nonce| {
        assert_eq!(ledger.begin(Millis(0), &key(nonce, 500)), Decision::Run)
    });

    assert_eq!(ledger.begin(Millis(1), &key(9, 900)), Decision::Full);
    assert_eq!(ledger.revoke(Millis(1), &key(9, 900)), Revocation::Unknown);
    assert_eq!(ledger.begin(Millis(1), &key(0, 500)), Decision::Running);
    assert_eq!(
        ledger.begin(Millis(500), &key(9, 900)),
        Decision::Run,
        "expired ones are gone"
    );
    assert_eq!(ledger.len(), 1);
}

/// Guards against running a request whose key belongs to another agent or was not issued here.
#[test]
fn foreign_keys_do_not_run() {
    let foreign = Key::new(node::Id(2), Millis(500), &[1]);
    for key in [foreign, key(1, 1_001)] {
        assert_eq!(ledger().begin(Millis(0), &key), Decision::Expired);
        assert_eq!(ledger().revoke(Millis(0), &key), Revocation::Expired);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::with_cases(512)
    })]

    /// Guards against any order of attempts, revocations, results and expiries in which a
    /// request runs twice, runs after its key was revoked, or gets the response of another.
    #[test]
    fn any_order_runs_at_most_once(events in proptest::collection::vec(
        (0_u8..7, 0_u8..5, 0_u64..200), 1..100,
    )) {
        let mut ledger = ledger();
        let mut now = Millis(0);
        // By key: runs that may have reached the backend server, revocations, and requests in
        // progress.
        let (mut ran, mut revoked, mut running) = ([0; 5], [false; 5], [false; 5]);
        for (event, nonce, wait) in events {
            let at = usize::from(nonce);
            let key = key(nonce, 400 + 150 * u64::from(nonce));
            match event {
                0 | 1 => match ledger.begin(now, &key) {
                    Decision::Run => {
                        prop_assert!(!revoked[at], "runs after revocation");
                        ran[at] += 1;
                        running[at] = true;
                        prop_assert_eq!(ran[at], 1, "runs twice");
                    }
                    Decision::Done(response) if response.status == 201 => {
                        prop_assert_eq!(response.body.len(), at);
                    }
                    _ => {}
                },
                2 => if ledger.revoke(now, &key) == Revocation::Revoked {
                    prop_assert_eq!(ran[at], 0, "revoked after it ran");
                    revoked[at] = true;
                },
                3 => {
                    ledger.finish(now, &key, Outcome::Answered(response(at)));
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
