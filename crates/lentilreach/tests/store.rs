//! The store client: call budget, retries, and conversion of answers and errors.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tonic::{Code, Status};

use lentilreach::Name;
use lentilreach::process::clock::Millis;
use lentilreach::process::store::backoff::Backoff;
use lentilreach::process::store::budget::Budget;
use lentilreach::process::store::proto::etcdserverpb::{RangeResponse, ResponseHeader};
use lentilreach::process::store::proto::mvccpb::{Event, KeyValue};
use lentilreach::process::store::retry::{Decision, decide};
use lentilreach::process::store::{Batch, Error, Limit, Range, Step, convert};

/// The address of the store in errors.
fn peer() -> Name {
    "192.0.2.1:2379".into()
}

/// One error of each kind.
fn errors(step: Step) -> Vec<Error> {
    let (peer, cause) = (peer(), "cause".to_owned());
    vec![
        Error::Unavailable { step, peer: peer.clone(), cause: cause.clone() },
        Error::Timeout { step, peer: peer.clone(), after_ms: 5 },
        Error::Throttled { step, peer: peer.clone(), limit: Limit::Store },
        Error::Throttled { step, peer: peer.clone(), limit: Limit::Budget },
        Error::Unknown { step, peer: peer.clone(), cause: cause.clone() },
        Error::Compacted { step, peer: peer.clone(), revision: 5 },
        Error::Lapsed { step, peer: peer.clone() },
        Error::Protocol { step, peer, cause },
    ]
}

/// An answer to a range request at revision 7.
fn answer(kvs: Vec<KeyValue>) -> RangeResponse {
    let header = ResponseHeader { revision: 7, ..ResponseHeader::default() };
    RangeResponse { header: Some(header), kvs, ..RangeResponse::default() }
}

/// An entry with an empty value.
fn pair(key: &'static [u8], mod_revision: i64) -> KeyValue {
    KeyValue { key: key.into(), mod_revision, ..KeyValue::default() }
}

/// Start times of the calls that a budget admits, given the gaps between them.
fn starts(budget: &mut Budget, gaps: &[u64], max_wait_ms: u64) -> Vec<u64> {
    let mut now = Millis(0);
    let mut starts = Vec::new();
    for gap in gaps {
        now = now.after(*gap);
        if let Ok(wait_ms) = budget.reserve(now, max_wait_ms) {
            starts.push(now.0 + wait_ms);
        }
    }
    starts
}

/// A configuration that generates the same cases in every run.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Guards against an interval with more calls than the budget allows.
    #[test]
    fn budget_holds_in_every_interval(
        rate in 1u32..2_000,
        burst in 1u32..20,
        gaps in prop::collection::vec(0u64..40, 1..120),
        max_wait_ms in 0u64..200,
    ) {
        let starts = starts(&mut Budget::new(rate, burst), &gaps, max_wait_ms);
        for (first, from) in starts.iter().enumerate() {
            for (last, to) in starts.iter().enumerate().skip(first) {
                let refilled = u64::from(rate) * (to - from + 1) / 1_000;
                let allowed = u64::from(burst) + refilled;
                prop_assert!((last - first + 1) as u64 <= allowed);
            }
        }
    }

    /// Guards against attempts in quick succession and against delays above the cap.
    #[test]
    fn backoff_stays_between_half_and_whole_step(
        base in 1u64..1_000,
        cap in 1u64..100_000,
        randoms in prop::collection::vec(any::<u64>(), 1..80),
    ) {
        let mut backoff = Backoff::new(base, cap);
        for (attempt, random) in randoms.into_iter().enumerate() {
            let doubled = u128::from(base) << attempt;
            let step = doubled.min(u128::from(cap.max(base))) as u64;
            let delay = backoff.next(random);
            prop_assert!((step / 2..=step).contains(&delay), "{delay} of {step}");
        }
    }
}

/// Guards against a refused reservation that delays later calls.
#[test]
fn refused_reservation_has_no_effect() {
    let mut budget = Budget::new(10, 1);
    let first = budget.reserve(Millis(0), 0);
    let refused = [budget.reserve(Millis(0), 99), budget.reserve(Millis(0), 99)];
    let accepted = budget.reserve(Millis(0), 100);
    assert_eq!(first, Ok(0));
    assert_eq!(refused, [Err(100); 2]);
    assert_eq!(accepted, Ok(100));
}

/// Guards against an idle time that allows more calls than the burst, or fewer.
#[test]
fn idle_budget_refills_to_the_burst() {
    let mut budget = Budget::new(10, 3);
    let spent = starts(&mut budget, &[0; 5], 0);
    let again = starts(&mut budget, &[60_000, 0, 0, 0, 0], 0);
    assert_eq!(spent.len(), 3);
    assert_eq!(again.len(), 3);
}

/// Guards against long delays after the store is available again.
#[test]
fn backoff_starts_over_after_a_success() {
    let mut backoff = Backoff::new(50, 2_000);
    let longest = (0..10).map(|_| backoff.next(u64::MAX)).max();
    backoff.reset();
    let first = backoff.next(u64::MAX);
    assert!(longest > Some(1_000));
    assert!(first <= 50);
}

/// Guards against a retry after an error that only the caller can handle, or after one that a
/// retry cannot resolve.
#[test]
fn only_transient_errors_are_retried() {
    let retried: Vec<_> = errors(Step::Write)
        .into_iter()
        .filter(|error| {
            let decision = decide(error, &mut Backoff::new(10, 100), 1_000, 0);
            decision != Decision::GiveUp
        })
        .map(|error| error.as_str())
        .collect();
    assert_eq!(retried, ["unavailable", "timeout", "throttled"]);
}

/// Guards against attempts after the timeout of the call.
#[test]
fn no_attempt_starts_after_the_timeout_of_the_call() {
    let error = &errors(Step::Range)[0];
    let decide_with = |left_ms| decide(error, &mut Backoff::new(10, 100), left_ms, 5);
    assert_eq!(decide_with(11), Decision::Retry { after_ms: 10 });
    assert_eq!(decide_with(10), Decision::GiveUp);
    assert_eq!(decide_with(0), Decision::GiveUp);
}

/// Guards against a write that is reported as failed although it may have taken effect. Only
/// statuses that the store returns before it applies a request prove a failure.
#[test]
fn statuses_of_a_write_are_unknown_unless_the_store_refused_it() {
    let refusals = [
        Code::InvalidArgument,
        Code::NotFound,
        Code::AlreadyExists,
        Code::PermissionDenied,
        Code::ResourceExhausted,
        Code::FailedPrecondition,
        Code::Unimplemented,
        Code::Unauthenticated,
    ];
    for step in [Step::Write, Step::Grant] {
        for code in (1..=16).map(Code::from_i32) {
            let error =
                convert::error_from_status(step, &peer(), &Status::new(code, "message"));
            assert_eq!(error.is_unknown(), !refusals.contains(&code), "{code:?}");
        }
    }
}

/// Guards against idempotent calls that fail with an unknown outcome, which is for changes
/// only.
#[test]
fn statuses_of_repeatable_calls_are_never_unknown() {
    for step in [Step::Range, Step::Keep, Step::Revoke, Step::Watch] {
        for code in (1..=16).map(Code::from_i32) {
            let error =
                convert::error_from_status(step, &peer(), &Status::new(code, "message"));
            assert!(!error.is_unknown(), "{code:?}");
        }
    }
}

/// Guards against error messages without the failed step and the address of the store.
#[test]
fn errors_name_step_and_peer() {
    for error in errors(Step::Write) {
        let text = error.to_string();
        assert!(text.starts_with("store write"), "{text}");
        assert!(text.contains(&*peer()), "{text}");
    }
}

/// Guards against malformed answers that are taken as the content of the store.
#[test]
fn malformed_answers_are_refused() {
    let malformed = [
        RangeResponse::default(),
        answer(vec![pair(b"b", 1), pair(b"a", 1)]),
        answer(vec![pair(b"a", 1), pair(b"a", 1)]),
        answer(vec![pair(b"a", -1)]),
        answer(vec![pair(b"b", 1), pair(b"\xff", 1), pair(b"a", 1)]),
        RangeResponse { more: true, ..answer(Vec::new()) },
    ];
    let events = [
        vec![Event::default()],
        vec![Event { r#type: 9, kv: Some(pair(b"a", 1)) }],
        vec![Event { r#type: 1, kv: Some(pair(b"a", -1)) }],
    ];
    assert!(Range::try_from(answer(vec![pair(b"a", 1), pair(b"b", 1)])).is_ok());
    for answer in malformed {
        assert!(Range::try_from(answer.clone()).is_err(), "{answer:?}");
    }
    for events in events {
        assert!(Batch::try_from(events.clone()).is_err(), "{events:?}");
    }
}

/// Guards against one key of another writer that is not text and hides all other keys, so that
/// no change of the configuration reaches any node.
#[test]
fn a_key_that_is_not_text_does_not_hide_the_others() {
    let event = |key, revision| Event { r#type: 0, kv: Some(pair(key, revision)) };

    let range = Range::try_from(answer(vec![pair(b"a", 1), pair(b"\xff", 2)]));
    let batch = Batch::try_from(vec![event(b"a", 5), event(b"\xff", 6)]);
    let odd = Batch::try_from(vec![event(b"\xff", 6)]);

    let range = range.expect("a complete answer");
    let keys: Vec<&str> = range.entries.iter().map(|entry| &*entry.key).collect();
    assert_eq!((range.revision.number, keys), (7, vec!["a"]));
    let batch = batch.expect("a complete answer");
    assert_eq!((batch.revision.number, batch.changes.len()), (6, 1));
    // Without the revision, the watch would be opened again before the same change.
    let odd = odd.expect("a complete answer");
    assert_eq!((odd.revision.number, odd.changes.len()), (6, 0));
}

/// Guards against a range that includes keys without the prefix or omits keys with it.
#[test]
fn range_covers_exactly_the_prefix() {
    let (start, end) = convert::prefix_range("relay/");
    let (all_start, all_end) = convert::prefix_range("");
    assert_eq!((&start[..], &end[..]), (&b"relay/"[..], &b"relay0"[..]));
    assert_eq!((&all_start[..], &all_end[..]), (&b"\0"[..], &b"\0"[..]));
}
