//! Configuration documents: validation of operators' files and of documents in the store.

use std::sync::Arc;

use insta::assert_snapshot;
use lentilreach::id::{domain, service};
use lentilreach::version::config::{
    Change, Document, Domain, Domains, Limits, Service, Snapshot, domains, key, limits,
    snapshot, wire,
};

/// A file with one template and the given services.
fn file(services: &str) -> String {
    let template = r#"{ "slots": 5, "connections": 2000, "cold_slots": 1, "cold_ms": 8000,
    "leave_ms": 10000, "queue": 64, "deadline_ms": 5000 }"#;
    format!(
        r#"{{
  "organisation": "weilheim",
  "domains": ["raum-nord", "raum-sued"],
  "templates": {{ "calendar": {template} }},
  "services": {{
{services}
  }}
}}
"#
    )
}

/// The line of a service in a file.
fn service_line(name: &str, address: &str) -> String {
    format!(
        r#"    "{name}": {{ "template": "calendar", "address": "{address}", "set": "abo" }}"#
    )
}

/// A file with one template and no services.
fn with_template(template: &str) -> String {
    format!(
        r#"{{ "organisation": "weilheim", "domains": ["raum-nord"], "services": {{}},
  "templates": {{ "calendar": {template} }} }}"#
    )
}

/// The errors in a file as they are printed.
fn report(text: &str) -> String {
    match Document::parse("weilheim.jsonc", text) {
        Ok(_) => "no errors".into(),
        Err(errors) => errors.to_string(),
    }
}

/// Parses a valid document.
fn document(text: &str) -> Document {
    Document::parse("weilheim.jsonc", text).expect("a valid file")
}

/// A service of another organisation.
fn foreign_service(name: &str, address: &str) -> Service {
    let limits = Limits::lowest();
    Service {
        organisation: "peakline".into(),
        name: name.into(),
        address: address.parse().expect("an address"),
        set: "rope".into(),
        limits,
        operation: None,
    }
}

/// A configuration that consists of one service.
fn snapshot_of(service: Service) -> Snapshot {
    Snapshot::new(7, vec![Arc::new(service)], Domains::default())
}

/// A failure domain that is in service.
fn domain(name: &str, id: u8) -> Domain {
    Domain { name: name.into(), id: domain::Id(id), out: false, changed: None }
}

/// A change by an operation.
fn change(operation: &str) -> Change {
    Change { operation: operation.into(), wall_ms: 1_796_000_000_000 }
}

/// Guards against examples for operators that are refused.
#[test]
fn examples_parse() {
    let weilheim = include_str!("../../../examples/weilheim.jsonc");
    let peakline = include_str!("../../../examples/peakline.jsonc");

    let (weilheim, peakline) = (document(weilheim), document(peakline));

    let names = |document: &Document| -> Vec<String> {
        document.services.iter().map(|service| service.path().to_string()).collect()
    };
    assert_eq!(names(&weilheim), ["weilheim/abo-kalender", "weilheim/beleg-dienst"]);
    assert_eq!(names(&peakline), ["peakline/certdesk", "peakline/ropeledger"]);
    assert_eq!(weilheim.domains.len(), 3);
    assert_eq!(peakline.domains.len(), 4);
}

/// Guards against a template whose parameters do not reach the service, or an override that
/// reaches other services too.
#[test]
fn service_overrides_its_template() {
    let queue = r#"    "b": { "template": "calendar", "address": "127.1.0.2:4433", "set": "abo", "queue": 0 }"#;
    let text = file(&format!("{},\n{queue}", service_line("a", "127.1.0.1:4433")));

    let document = document(&text);

    let expected = Limits {
        slots: 5,
        connections: 2000,
        cold_slots: 1,
        cold_ms: 8000,
        leave_ms: 10_000,
        queue: 64,
        deadline_ms: 5000,
    };
    assert_eq!(document.services[0].limits, expected);
    assert_eq!(document.services[1].limits, Limits { queue: 0, ..expected });
}

/// Guards against a report that ends at the first error or has wrong positions.
#[test]
fn all_errors_are_reported() {
    let text = r#"{
  "organisation": "Weil heim",
  "domains": ["raum-nord", "raum-nord", ""],
  "templates": {
    "calendar": { "slots": 5, "conections": 2000, "cold_slots": 9, "cold_ms": "8s",
      "leave_ms": 10, "queue": true, "deadline_ms": 5000000 }
  },
  "services": {
    "ä-dienst": { "template": "calender", "address": "127.1.0.1", "set": "abo" },
    "abo": { "template": "calendar", "address": "127.1.0.1:99999", "sett": "abo" },
    "beleg": "calendar"
  },
  "service": {}
}"#;

    assert_snapshot!(report(text));
}

/// Guards against misspelt and duplicate keys that are silently ignored.
#[test]
fn unknown_and_duplicate_keys() {
    let services = r#"    "a": { "templat": "calendar", "template": "calendar", "set": "abo", "address": "127.1.0.1:4433" },
    "a": { "template": "calendar", "set": "x", "set": "y", "address": "127.1.0.2:4433" }"#;

    assert_snapshot!(report(&file(services)));
}

/// Guards against a value of a wrong type that is replaced by a default.
#[test]
fn wrong_types() {
    let services = r#"    "a": { "template": 5, "set": ["abo"], "address": {}, "slots": null },
    "b": { "template": "calendar", "set": "abo", "address": "127.1.0.1:4433", "slots": 2.5, "queue": -1 }"#;
    let text = file(services).replace(r#"["raum-nord", "raum-sued"]"#, r#""raum-nord""#);

    assert_snapshot!(report(&text));
}

/// Guards against addresses at which no caller can reach the service.
#[test]
fn bad_addresses() {
    let services: Vec<_> = [
        "abo.example:4433",
        "127.1.0.1",
        "::1",
        "127.1.0.1:0",
        "127.1.0.1:70000",
        "127.1.0.256:4433",
        "0.0.0.0:4433",
        "224.0.0.1:4433",
        "255.255.255.255:4433",
    ]
    .iter()
    .enumerate()
    .map(|(index, address)| service_line(&format!("s{index}"), address))
    .collect();

    assert_snapshot!(report(&file(&services.join(",\n"))));
}

/// Guards against a service that comes into force without limits because its template is
/// misspelt.
#[test]
fn unknown_templates() {
    let services = r#"    "a": { "template": "calender", "set": "abo", "address": "127.1.0.1:4433" },
    "b": { "template": "x", "set": "abo", "address": "127.1.0.2:4433" },
    "c": { "set": "abo", "address": "127.1.0.3:4433" }"#;

    assert_snapshot!(report(&file(services)));
}

/// Guards against a cold backend server that may serve no request, or more than a warm one.
#[test]
fn cold_limits() {
    let template = r#"{ "slots": 5, "connections": 2000, "cold_slots": 6, "cold_ms": 8000,
    "leave_ms": 10000, "queue": 64, "deadline_ms": 5000 }"#;
    let services = r#"    "a": { "template": "calendar", "set": "abo", "address": "127.1.0.1:4433", "cold_slots": 0 },
    "b": { "template": "calendar", "set": "abo", "address": "127.1.0.2:4433", "cold_slots": 9 },
    "c": { "template": "calendar", "set": "abo", "address": "127.1.0.3:4433", "cold_slots": 3, "slots": 2 }"#;

    let reports =
        format!("{}\n{}", report(&with_template(template)), report(&file(services)));

    assert_snapshot!(reports);
}

/// Guards against times that were meant in another unit than milliseconds.
#[test]
fn wrong_units() {
    let times =
        ["\"8s\"", "\"2 min\"", "\"8000\"", "\"soon\"", "8", "8000000", "99999999999"];

    let reports: Vec<_> = times
        .iter()
        .map(|time| {
            let template = format!(
                r#"{{ "slots": 5, "connections": 2000, "cold_slots": 1, "cold_ms": {time},
    "leave_ms": 10000, "queue": 64, "deadline_ms": 5000 }}"#
            );
            report(&with_template(&template))
        })
        .collect();

    assert_snapshot!(reports.join("\n"));
}

/// Guards against values that overflow the type of their field.
#[test]
fn overflowing_values() {
    let template = r#"{ "slots": 65541, "connections": 4294967297, "cold_slots": 1,
  "cold_ms": 18446744073709551617, "leave_ms": 1e4, "queue": 65536, "deadline_ms": 0 }"#;

    assert_snapshot!(report(&with_template(template)));
}

/// Guards against two services with the same address in one file.
#[test]
fn same_address_in_a_file() {
    let services =
        [service_line("b", "127.1.0.1:4433"), service_line("a", "127.1.0.1:4433")]
            .join(",\n");

    assert_snapshot!(report(&file(&services)));
}

/// Guards against two services with the same identifier, which tokens could not distinguish.
#[test]
fn same_identifier_in_a_file() {
    let (a, b) = ("service-13589", "service-50990");
    assert_eq!(service::Id::of("weilheim", a), service::Id::of("weilheim", b));
    let services = [service_line(a, "127.1.0.1:4433"), service_line(b, "127.1.0.2:4433")]
        .join(",\n");

    assert_snapshot!(report(&file(&services)));
}

/// Guards against an address or identifier that a service of another organisation already has.
#[test]
fn conflicts_with_other_organisations() {
    let (ours, theirs) = ("service-6773", "service-38744");
    assert_eq!(service::Id::of("weilheim", ours), service::Id::of("peakline", theirs));
    let document = document(&file(&service_line(ours, "127.1.0.1:4433")));

    let address =
        document.check(&snapshot_of(foreign_service("ropeledger", "127.1.0.1:4433")));
    let id = document.check(&snapshot_of(foreign_service(theirs, "127.2.0.1:4433")));
    let fine =
        document.check(&snapshot_of(foreign_service("ropeledger", "127.2.0.1:4433")));

    let reports = [address, id].map(|result| result.expect_err("a conflict").to_string());
    assert_snapshot!(reports.join("\n"));
    assert_eq!(fine, Ok(()));
}

/// Guards against a service that conflicts with its own version in force.
#[test]
fn service_does_not_conflict_with_itself() {
    let document = document(&file(&service_line("a", "127.1.0.1:4433")));

    let result = document.check(&snapshot_of(document.services[0].clone()));

    assert_eq!(result, Ok(()));
}

/// Guards against syntax errors without a useful position.
#[test]
fn syntax_errors() {
    let texts = [
        "",
        "[]",
        "{\n  \"organisation\": \"weilheim\",\n  /* the domains\n  \"domains\": []\n}",
        "{\n  \"organisation\": \"weilheim\"\n  \"domains\": []\n}",
        "{ \"organisation\": \"weilheim }",
        "{ organisation: \"weilheim\" }",
        "{ \"organisation\": weilheim }",
        "{ \"domains\": [\"raum-nord\"",
        "{ \"domains\": [",
        "{ \"services\" {} }",
        "{} {}",
        "\u{feff}{ \"organisation\": \"ä\\q\" }",
    ];

    assert_snapshot!(texts.map(report).join("\n"));
}

/// Guards against an identifier that refers to another failure domain than the tokens of open
/// flows mean.
#[test]
fn domain_ids_are_never_reused() {
    let old = Domains::default()
        .with_names(&["a".into(), "b".into()], Some(&change("op-1")))
        .expect("two names");

    let grown = old.with_names(&["c".into(), "a".into()], None).expect("one more name");
    let reordered =
        Domains::new(vec![domain("b", 0), domain("a", 1)]).expect("valid on its own");
    let shrunk = Domains::new(vec![domain("a", 0)]).expect("valid on its own");

    assert_eq!(grown.get(domain::Id(2)), Some(&domain("c", 2)));
    assert!(grown.extends(&old));
    assert!(!reordered.extends(&old));
    assert!(!shrunk.extends(&old));
    let gap = Domains::new(vec![domain("a", 1)]);
    assert!(matches!(gap, Err(domains::Fault::Position { .. })));
    let twice = Domains::new(vec![domain("a", 0), domain("a", 1)]);
    assert_eq!(twice, Err(domains::Fault::Twice("a".into())));
}

/// Guards against identifiers that wrap around after 256 failure domains.
#[test]
fn domain_ids_run_out() {
    let names: Vec<_> = (0..256).map(|i| format!("d-{i}").into()).collect();
    let full = Domains::default().with_names(&names, None).expect("256 names");
    let current = Snapshot::new(1, Vec::new(), full.clone());
    let document = document(&file(""));

    assert_eq!(full.with_names(&["one-more".into()], None), Err(domains::Fault::Full));
    assert_snapshot!(document.check(&current).expect_err("no id left").to_string());
}

/// Guards against documents that change when they are encoded and decoded.
#[test]
fn documents_round_trip() {
    let mut service = foreign_service("ropeledger", "[::1]:4433");
    service.operation = Some("op-1".into());
    let domains = Domains::new(vec![domain("belper", 0), domain("matlock", 1)])
        .and_then(|domains| domains.set("matlock", true, &change("op-2")))
        .expect("valid");

    assert_eq!(Service::decode(&service.encode()), Ok(service.clone()));
    assert_eq!(Domains::decode(&domains.encode()), Ok(domains));
    assert_snapshot!(String::from_utf8_lossy(&service.encode()));
    let operations = wire::Operations::read(&service.encode_after(Some("op-0".into())));
    assert_eq!(operations.replaced.as_deref(), Some("op-0"));
}

/// Guards against an invalid document in the store that comes into force.
#[test]
fn invalid_documents_of_the_store() {
    let valid =
        String::from_utf8(foreign_service("a", "127.1.0.1:4433").encode().to_vec());
    let valid = valid.expect("JSON");
    let with = |from: &str, to: &str| Service::decode(valid.replace(from, to).as_bytes());

    assert_eq!(with("peakline", "Peak"), Err(wire::Error::Name("Peak".into())));
    assert!(matches!(with("127.1.0.1", "0.0.0.0"), Err(wire::Error::Address(_))));
    assert!(matches!(with("127.1.0.1:4433", "x"), Err(wire::Error::Json(_))));
    let cold = with("\"cold_slots\":1", "\"cold_slots\":2");
    let fault = limits::Fault::ColdAboveSlots { cold: 2, slots: 1 };
    assert_eq!(cold, Err(wire::Error::Limits(fault)));
    assert!(matches!(with("\"slots\":1", "\"slots\":0"), Err(wire::Error::Limits(_))));
    assert!(matches!(with("\"slots\":1", "\"slots\":70000"), Err(wire::Error::Json(_))));
}

/// Guards against an invalid document that replaces or removes a valid service, and against
/// copies of unchanged services.
#[test]
fn refused_documents_leave_the_snapshot() {
    let (a, b) =
        (foreign_service("a", "127.1.0.1:4433"), foreign_service("b", "127.1.0.2:4433"));
    let domains = Domains::new(vec![domain("belper", 0)]).expect("valid");
    let old = Snapshot::new(1, vec![Arc::new(a.clone()), Arc::new(b.clone())], domains);
    let same = a.encode();
    let no_domains = Domains::default().encode();

    let (new, refused) = old.apply(
        9,
        [
            (&*a.key(), Some(&same[..])),
            (&*b.key(), Some(&same[..])),
            ("lentilreach/service/peakline/c", Some(&b"{"[..])),
            (key::DOMAINS, Some(&no_domains[..])),
            ("lentilreach/relay/belper/0", Some(&b"x"[..])),
        ],
    );

    assert_eq!(new.revision, 9);
    assert!(Arc::ptr_eq(&new.services()[0], &old.services()[0]));
    assert!(Arc::ptr_eq(&new.services()[1], &old.services()[1]));
    assert_eq!(new.domains, old.domains);
    let reasons: Vec<_> = refused.iter().map(|refused| &refused.why).collect();
    assert_eq!(reasons[0], &snapshot::Why::Key);
    assert!(matches!(reasons[1], snapshot::Why::Invalid(_)));
    assert_eq!(reasons[2], &snapshot::Why::Domains);
    assert_eq!(refused.len(), 3);
}

/// Guards against a deleted service that stays in force.
#[test]
fn snapshot_applies_deletions() {
    let (a, b) =
        (foreign_service("a", "127.1.0.1:4433"), foreign_service("b", "127.1.0.2:4433"));
    let old = snapshot_of(a.clone());

    let (new, refused) =
        old.apply(9, [(&*b.key(), Some(&b.encode()[..])), (&*a.key(), None)]);

    assert_eq!(refused, []);
    assert_eq!(new.find("peakline", "a"), None);
    assert_eq!(new.find("peakline", "b").map(|found| (**found).clone()), Some(b));
}

/// Guards against a change of the keys, which every process must agree on. The design page
/// lists them.
#[test]
fn keys_of_documents() {
    let kinds = [
        key::service("weilheim", "abo-kalender"),
        key::domains(),
        key::template("calendar"),
        key::ring(),
        key::relay("raum-nord", 2),
    ]
    .map(|key| format!("{key} = {:?}", key::Kind::parse(&key)));

    assert_snapshot!(kinds.join("\n"));
    assert_eq!(key::Kind::parse("lentilreach/service/weilheim"), None);
    assert_eq!(key::Kind::parse("lentilreach/relay/raum-nord/x"), None);
}
