//! Submits with a store that loses messages and with concurrent changes by other operators.

mod fixture;

use fixture::store::{Call, Fake};
use insta::assert_snapshot;
use lentilreach::process::submit::{self, Current, Fault, Outcome, Plan, Target};
use lentilreach::version::config::{Change, Document, key};
use smol::block_on;

/// A file of an organisation. Each service is given as its name, the last byte of its address
/// and its slots.
fn file(organisation: &str, services: &[(&str, u8, u16)]) -> Document {
    let service = |(name, byte, slots): &(&str, u8, u16)| {
        format!(
            r#""{name}": {{ "template": "t", "address": "127.1.0.{byte}:4433", "set": "abo", "slots": {slots} }}"#
        )
    };
    let services: Vec<_> = services.iter().map(service).collect();
    let text = format!(
        r#"{{ "organisation": "{organisation}", "domains": ["{organisation}-nord"],
  "templates": {{ "t": {{ "slots": 9, "connections": 2000, "cold_slots": 1, "cold_ms": 8000,
    "leave_ms": 10000, "queue": 64, "deadline_ms": 5000 }} }},
  "services": {{ {} }} }}"#,
        services.join(", ")
    );
    Document::parse("file.jsonc", &text).expect("a valid file")
}

/// The target of a submit by weilheim.
fn weilheim(services: &[(&str, u8, u16)]) -> Target {
    Target::Document(Box::new(file("weilheim", services)))
}

/// The target of a submit by peakline.
fn peakline(services: &[(&str, u8, u16)]) -> Target {
    Target::Document(Box::new(file("peakline", services)))
}

/// The target that takes a failure domain out of service or brings it back.
fn domain(name: &str, out: bool) -> Target {
    Target::Domain { name: name.into(), out }
}

/// A change by an operation.
fn change(operation: &str) -> Change {
    Change { operation: operation.into(), wall_ms: 1_796_000_000_000 }
}

/// Submits a change that the operator confirms.
fn submit(store: &Fake, target: &Target, operation: &str) -> Result<Outcome, Fault> {
    block_on(submit::submit(store, target, &change(operation), |_| true))
}

/// A store in which weilheim has the services `a` and `b` with 5 slots each.
fn store() -> Fake {
    let store = Fake::default();
    let target = weilheim(&[("a", 1, 5), ("b", 2, 5)]);
    let outcome = submit(&store, &target, "op-first").expect("accepted");
    assert!(matches!(outcome, Outcome::Done { read_back: false, .. }));
    store
}

/// A script step in which another operator submits a change.
fn other(target: Target, operation: impl Into<String>) -> Call {
    let operation = operation.into();
    Call::Other(Box::new(move |store: &Fake| {
        let outcome = submit(store, &target, &operation).expect("accepted");
        let accepted = matches!(outcome, Outcome::Done { .. } | Outcome::Unchanged);
        assert!(accepted, "{outcome}");
    }))
}

/// The slots of a service of weilheim in force.
fn slots(store: &Fake, name: &str) -> Option<u16> {
    let current = block_on(Current::read(store)).expect("readable");
    current.snapshot.find("weilheim", name).map(|service| service.limits.slots)
}

/// Guards against a submit that omits documents or does not record its operation in them.
#[test]
fn first_submit_writes_every_document() {
    let store = store();

    let current = block_on(Current::read(&store)).expect("readable");

    assert_eq!(
        store.keys(),
        [key::domains(), key::service("weilheim", "a"), key::service("weilheim", "b")]
    );
    let operations: Vec<_> =
        current.snapshot.services().iter().map(|s| s.operation.as_deref()).collect();
    assert_eq!(operations, [Some("op-first"), Some("op-first")]);
    assert_eq!(current.snapshot.domains.as_slice()[0].name.as_ref(), "weilheim-nord");
}

/// Guards against writes without a change, which would notify every watcher for nothing.
#[test]
fn unchanged_file_is_not_written() {
    let store = store();
    let before = store.revision();

    let outcome = submit(&store, &weilheim(&[("a", 1, 5), ("b", 2, 5)]), "op-again");

    assert_eq!(outcome, Ok(Outcome::Unchanged));
    assert_eq!(store.revision(), before);
}

/// Guards against a change that is written although the operator declined it.
#[test]
fn declined_change_is_not_written() {
    let store = store();
    let before = store.revision();
    let target = weilheim(&[("a", 1, 6), ("b", 2, 5)]);

    let outcome =
        block_on(submit::submit(&store, &target, &change("op-declined"), |_| false));

    assert_eq!(outcome, Ok(Outcome::Declined));
    assert_eq!(store.revision(), before);
}

/// Guards against a submit that overwrites a concurrent change which its operator has not
/// seen.
#[test]
fn concurrent_change_is_reported() {
    let store = store();
    store.script([Call::Pass, other(weilheim(&[("a", 9, 8)]), "op-winner")]);

    let outcome = submit(&store, &weilheim(&[("a", 1, 6), ("b", 2, 7)]), "op-loser");

    assert_snapshot!(outcome.expect("accepted").to_string());
    assert_eq!((slots(&store, "a"), slots(&store, "b")), (Some(8), None));
    assert!(!store.was_written("op-loser"));
}

/// Guards against a submit that fails or asks for a second confirmation only because another
/// organisation changed its own services at the same time.
#[test]
fn unrelated_concurrent_change_is_no_conflict() {
    let store = store();
    store.script([Call::Pass, other(peakline(&[("rope", 77, 2)]), "op-peakline")]);
    let mut confirmations = 0;
    let target = weilheim(&[("a", 1, 5), ("b", 2, 5), ("c", 3, 5)]);

    let outcome = block_on(submit::submit(&store, &target, &change("op-c"), |_| {
        confirmations += 1;
        true
    }));

    assert!(matches!(outcome, Ok(Outcome::Done { .. })), "{outcome:?}");
    assert_eq!((slots(&store, "c"), confirmations), (Some(5), 1));
    assert!(store.was_written("op-peakline"));
}

/// Guards against two organisations that get the same address by concurrent submits.
#[test]
fn address_race_has_one_winner() {
    let store = store();
    store.script([Call::Pass, other(peakline(&[("rope", 3, 2)]), "op-peakline")]);

    let outcome =
        submit(&store, &weilheim(&[("a", 1, 5), ("b", 2, 5), ("c", 3, 5)]), "op-c");

    let Err(Fault::Document(errors)) = outcome else { panic!("{outcome:?}") };
    assert_snapshot!(errors.to_string());
    assert!(!store.was_written("op-c"));
}

/// Guards against a change that is reported as failed or is made twice after the store's answer
/// was lost.
#[test]
fn lost_answer_is_read_back() {
    let store = store();
    store.script([Call::Pass, Call::LoseAnswer]);

    let outcome = submit(&store, &weilheim(&[("a", 1, 6), ("b", 2, 5)]), "op-6");

    let expected = Outcome::Done { revision: store.revision(), read_back: true };
    assert_eq!(outcome, Ok(expected));
    assert_eq!(store.writes_of("op-6"), 1);
}

/// Guards against an unknown outcome of a removal. The removed document cannot record the
/// operation, so the domain document must.
#[test]
fn lost_answer_of_a_removal_is_read_back() {
    let store = store();
    store.script([Call::Pass, Call::LoseAnswer]);

    let outcome = submit(&store, &weilheim(&[("a", 1, 5)]), "op-remove");

    assert!(matches!(outcome, Ok(Outcome::Done { read_back: true, .. })), "{outcome:?}");
    assert_eq!(slots(&store, "b"), None);
}

/// Guards against a change that is not retried after its request was lost.
#[test]
fn lost_request_is_written_again() {
    let store = store();
    store.script([Call::Pass, Call::LoseRequest]);

    let outcome = submit(&store, &weilheim(&[("a", 1, 6), ("b", 2, 5)]), "op-6");

    assert!(matches!(outcome, Ok(Outcome::Done { read_back: true, .. })), "{outcome:?}");
    assert_eq!(store.writes_of("op-6"), 1);
}

/// Guards against a change that takes effect twice, by a delayed request and by its
/// repetition.
#[test]
fn delayed_request_takes_effect_once() {
    let store = store();
    store.script([Call::Pass, Call::Delay, Call::Pass, Call::Deliver]);

    let outcome = submit(&store, &weilheim(&[("a", 1, 6), ("b", 2, 5)]), "op-6");

    assert!(matches!(outcome, Ok(Outcome::Done { read_back: true, .. })), "{outcome:?}");
    assert_eq!(store.writes_of("op-6"), 1);
}

/// Guards against a definite outcome without evidence, when the store becomes unavailable after
/// an answer was lost.
#[test]
fn outcome_is_unknown_while_the_store_is_unavailable() {
    let store = store();
    store.script([Call::Pass, Call::LoseAnswer, Call::Unavailable]);

    let outcome = submit(&store, &weilheim(&[("a", 1, 6), ("b", 2, 5)]), "op-6");

    let Ok(Outcome::Unknown(error)) = &outcome else { panic!("{outcome:?}") };
    let text = outcome.as_ref().map(ToString::to_string).unwrap_or_default();
    assert_snapshot!(text.replace(&error.to_string(), "ERROR"));
}

/// Guards against an unknown outcome where the request certainly did not reach the store.
#[test]
fn unavailable_store_is_a_failure() {
    let store = store();
    store.script([Call::Pass, Call::Unavailable]);

    let outcome = submit(&store, &weilheim(&[("a", 1, 6), ("b", 2, 5)]), "op-6");

    assert!(matches!(outcome, Ok(Outcome::Failed(_))), "{outcome:?}");
    store.script([Call::Unavailable]);
    let read = submit(&store, &weilheim(&[("a", 1, 6), ("b", 2, 5)]), "op-6");
    assert!(matches!(read, Err(Fault::Read(_))), "{read:?}");
    assert!(!store.was_written("op-6"));
}

/// Guards against a change that is reported as failed because another change replaced it before
/// it was read back.
#[test]
fn replaced_change_took_effect() {
    let store = store();
    let next = other(weilheim(&[("a", 1, 8), ("b", 2, 5)]), "op-next");
    store.script([Call::Pass, Call::LoseAnswer, next]);

    let outcome = submit(&store, &weilheim(&[("a", 1, 6), ("b", 2, 5)]), "op-6");

    assert!(matches!(outcome, Ok(Outcome::Done { read_back: true, .. })), "{outcome:?}");
    assert_eq!(slots(&store, "a"), Some(8));
}

/// Guards against a lost request that is reported as done because another change was made
/// instead.
#[test]
fn lost_request_before_another_change_did_not_take_effect() {
    let store = store();
    let winner = other(weilheim(&[("a", 1, 8), ("b", 2, 5)]), "op-winner");
    store.script([Call::Pass, Call::LoseRequest, winner]);

    let outcome = submit(&store, &weilheim(&[("a", 1, 6), ("b", 2, 5)]), "op-6");

    assert!(matches!(outcome, Ok(Outcome::Lost(_))), "{outcome:?}");
    assert!(!store.was_written("op-6"));
}

/// Guards against a definite outcome without evidence, when two later changes hide whether the
/// change took effect.
#[test]
fn outcome_before_two_changes_is_unknown() {
    let store = store();
    let [second, third] =
        [("op-second", 7), ("op-third", 8)].map(|(operation, slots)| {
            other(weilheim(&[("a", 1, slots), ("b", 2, 5)]), operation)
        });
    store.script([Call::Pass, Call::LoseAnswer, second, third]);

    let outcome = submit(&store, &weilheim(&[("a", 1, 6), ("b", 2, 5)]), "op-6");

    let outcome = outcome.expect("accepted");
    assert!(matches!(outcome, Outcome::Superseded(_)), "{outcome}");
    assert_snapshot!(outcome.to_string());
}

/// Guards against outcomes that contradict the store, for random sequences of lost and delayed
/// messages and changes by other operators.
#[test]
fn outcome_is_correct_under_random_faults() {
    for seed in 0..2_000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let store = store();
        let script = (0..10).map(|step| match random.u8(..9) {
            0 => Call::LoseAnswer,
            1 => Call::LoseRequest,
            2 => Call::Delay,
            3 => Call::Deliver,
            4 => Call::Unavailable,
            5 => {
                let target = weilheim(&[("a", 1, random.u16(10..99)), ("b", 2, 5)]);
                other(target, format!("op-{step}"))
            }
            6 => {
                let target = weilheim(&[("a", 1, 5), ("d", 4, random.u16(10..99))]);
                other(target, format!("op-{step}"))
            }
            _ => Call::Pass,
        });
        store.script(script.collect::<Vec<_>>());
        let target = match random.u8(..3) {
            0 => weilheim(&[("a", 1, 6), ("b", 2, 5)]),
            1 => weilheim(&[("a", 1, 5)]),
            _ => weilheim(&[("a", 1, 5), ("b", 2, 5), ("c", 3, 5)]),
        };

        let outcome = submit(&store, &target, "op-own");
        store.deliver();

        let written = store.writes_of("op-own");
        let is_correct = match &outcome {
            Ok(Outcome::Done { .. }) => written == 1,
            Ok(Outcome::Unknown(_) | Outcome::Superseded(_)) => written <= 1,
            _ => written == 0,
        };
        assert!(is_correct, "seed {seed}: {written} writes, {outcome:?}");
    }
}

/// Guards against a submit of a file that brings a failure domain back into service.
#[test]
fn submit_keeps_a_domain_out() {
    let store = store();
    store.script([Call::Pass, other(domain("weilheim-nord", true), "op-out")]);

    let added = submit(&store, &weilheim(&[("a", 1, 5), ("c", 3, 5)]), "op-c");

    assert!(matches!(added, Ok(Outcome::Done { .. })), "{added:?}");
    let current = block_on(Current::read(&store)).expect("readable");
    let domain = current.snapshot.domains.find("weilheim-nord").expect("a domain");
    assert!(domain.out);
    assert_eq!(domain.changed, Some(change("op-out")));
}

/// Guards against two concurrent changes of one failure domain that both report success.
#[test]
fn domain_race_has_one_winner() {
    let store = store();
    store.script([Call::Pass, other(domain("weilheim-nord", true), "op-out")]);

    let outcome = submit(&store, &domain("weilheim-nord", true), "op-late");

    assert_snapshot!(outcome.expect("accepted").to_string());
    let back = submit(&store, &domain("weilheim-nord", false), "op-back");
    assert!(matches!(back, Ok(Outcome::Done { .. })), "{back:?}");
}

/// Guards against a misspelt failure domain that is created instead of being refused.
#[test]
fn unknown_domain_is_refused() {
    let outcome = submit(&store(), &domain("weilheim-nrd", true), "op-out");

    assert_snapshot!(outcome.expect_err("no such domain").to_string());
}

/// Guards against identifiers that start again at 0 after the domain document was damaged.
#[test]
fn damaged_domain_document_is_not_replaced() {
    let store = store();
    store.damage(&key::domains());

    let outcome = submit(&store, &weilheim(&[("a", 1, 5), ("c", 3, 5)]), "op-c");

    assert!(matches!(outcome, Err(Fault::Store(_))), "{outcome:?}");
    assert!(!store.was_written("op-c"));
}

/// Guards against a damaged service document that cannot be replaced.
#[test]
fn damaged_service_document_is_replaced() {
    let store = store();
    store.damage(&key::service("weilheim", "a"));

    let outcome = submit(&store, &weilheim(&[("a", 1, 6), ("b", 2, 5)]), "op-6");

    assert!(matches!(outcome, Ok(Outcome::Done { .. })), "{outcome:?}");
    assert_eq!(slots(&store, "a"), Some(6));
}

/// Guards against a transaction with more operations than the store accepts.
#[test]
fn large_changes_are_refused() {
    let names: Vec<_> = (0..121).map(|i| format!("s-{i}")).collect();
    let services: Vec<_> =
        names.iter().zip(100..).map(|(name, byte)| (name.as_str(), byte, 5)).collect();

    let refused = submit(&store(), &weilheim(&services), "op-large");
    let accepted = submit(&Fake::default(), &weilheim(&services[..120]), "op-large");

    assert_eq!(refused, Err(Fault::Large { count: 123 }));
    assert!(matches!(accepted, Ok(Outcome::Done { .. })), "{accepted:?}");
}

/// Guards against a confirmation that does not list what the change breaks.
#[test]
fn risks_are_listed() {
    let current = block_on(Current::read(&store())).expect("readable");
    let document = weilheim(&[("a", 9, 6)]);

    let submit = Plan::new(&document, &current, &change("op")).expect("accepted");
    let out = Plan::new(&domain("weilheim-nord", true), &current, &change("op"));
    let first = Plan::new(&peakline(&[]), &current, &change("op")).expect("accepted");

    let risks =
        [submit, out.expect("accepted"), first].map(|plan| plan.risks().join("\n"));
    assert_snapshot!(risks.join("\n"));
}

/// Guards against names of operations that are not distinct or not valid as names.
#[test]
fn operations_are_names() {
    let names = [
        submit::operation("anna", 1_796_000_000_000, 7),
        submit::operation("Änna Müller", 1_796_000_000_000, 8),
        submit::operation("", 0, 0),
        submit::operation(&"x".repeat(200), u64::MAX, u32::MAX),
    ];

    assert_snapshot!(names.join("\n"));
    assert!(names.iter().all(|name| lentilreach::version::config::is_name(name)));
}
