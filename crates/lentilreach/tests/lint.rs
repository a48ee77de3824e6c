//! Tests of the findings in a configuration: each rule has an input that passes and one that
//! doesn't.

use lentilreach::version::config::{Document, Limits};
use lentilreach::version::lint::{self, Finding, Severity};

/// Limits without findings.
fn limits() -> Limits {
    Limits {
        slots: 5,
        connections: 2_000,
        cold_slots: 1,
        cold_ms: 8_000,
        leave_ms: 10_000,
        queue: 64,
        deadline_ms: 5_000,
    }
}

/// The code of a finding.
fn code(finding: Option<Finding>) -> Option<&'static str> {
    finding.map(|finding| finding.code)
}

/// A document with a template that its service uses, and one that is not used if `second` is
/// another name.
fn document(second: &str) -> Document {
    let template = r#"{ "slots": 5, "connections": 2000, "cold_slots": 1, "cold_ms": 8000,
        "leave_ms": 4000, "queue": 64, "deadline_ms": 5000 }"#;
    let text = format!(
        r#"{{
  "organisation": "weilheim",
  "domains": ["raum-nord"],
  "templates": {{ "calendar": {template}, "{second}": {template} }},
  "services": {{
    "abo": {{ "template": "calendar", "address": "127.1.0.1:4433", "set": "abo" }},
    "beleg": {{ "template": "invoice", "address": "127.1.0.2:4433", "set": "beleg" }}
  }}
}}"#
    );
    let text = if second == "invoice" {
        text
    } else {
        text.replace("\"invoice\"", "\"calendar\"")
    };
    Document::parse("weilheim.jsonc", &text).expect("valid")
}

/// A drain must not cut what may still run.
#[test]
fn a_drain_shorter_than_a_request_is_found() {
    let short = Limits { leave_ms: 4_999, ..limits() };

    assert_eq!(code(lint::drain_too_short("abo", &limits())), None);
    assert_eq!(code(lint::drain_too_short("abo", &short)), Some("drain-too-short"));
}

/// What waits longest must still be answered in time.
#[test]
fn a_queue_that_cannot_drain_in_time_is_found() {
    let long = Limits { queue: 4_000, ..limits() };

    assert_eq!(code(lint::queue_too_long("abo", &limits())), None);
    assert_eq!(code(lint::queue_too_long("abo", &long)), Some("queue-too-long"));
}

/// Slots that no flow can reach are paid for nothing.
#[test]
fn fewer_connections_than_slots_are_found() {
    let few = Limits { connections: 4, ..limits() };

    assert_eq!(code(lint::too_few_connections("abo", &limits())), None);
    assert_eq!(code(lint::too_few_connections("abo", &few)), Some("too-few-connections"));
}

/// A cold limit that limits nothing was hardly meant.
#[test]
fn a_cold_limit_without_effect_is_found() {
    let idle = Limits { cold_slots: 5, ..limits() };
    let single = Limits { cold_slots: 1, slots: 1, ..limits() };

    assert_eq!(code(lint::idle_cold_limit("abo", &limits())), None);
    assert_eq!(code(lint::idle_cold_limit("abo", &single)), None);
    assert_eq!(code(lint::idle_cold_limit("abo", &idle)), Some("idle-cold-limit"));
}

/// Findings point at their place in the file, in its order, and are warnings: the file is
/// valid.
#[test]
fn findings_of_a_document_have_their_place() {
    let found = |second| {
        let findings = lint::findings(&document(second));
        let list = findings.into_iter().map(|finding| {
            assert_eq!(finding.severity, Severity::Warning);
            let place = finding.place.expect("a place");
            (finding.code, place.line)
        });
        list.collect::<Vec<_>>()
    };

    assert_eq!(found("invoice"), [("drain-too-short", 8), ("drain-too-short", 9)]);
    let unused = found("other");
    assert_eq!(unused.len(), 3);
    assert_eq!(unused[0].0, "unused-template");
}

/// A failure domain without balancers is found once there are some elsewhere.
#[test]
fn a_failure_domain_without_balancers_is_found() {
    let document = document("invoice");
    let found = |occupied: &[&str]| {
        let findings = lint::empty_domains(&document, occupied).into_iter();
        findings.map(|f| (f.code, f.place.map(|place| place.line))).collect::<Vec<_>>()
    };

    assert_eq!(found(&[]), []);
    assert_eq!(found(&["raum-nord", "belper"]), []);
    assert_eq!(found(&["belper"]), [("empty-domain", Some(3))]);
}
