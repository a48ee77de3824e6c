//! Tests of the findings in a configuration and of the differences between two versions.

mod fixture;

use fixture::{CALENDAR, INVOICES, calendar, routing};
use lentilreach_steer::process::documents::Config;
use lentilreach_steer::process::roster::Role;
use lentilreach_steer::process::roster::membership::Listed;
use lentilreach_steer::version::lint::{differences, empty_domains, findings};
use lentilreach_steer::version::routing::Share;

/// A change of a configuration.
type Edit = fn(&mut Config);

/// A configuration without findings.
fn config() -> Config {
    let routing = routing(1);
    let mut config = Config {
        version: 1,
        routes: routing.routes,
        services: routing.services,
        idle_ms: routing.idle_ms,
    };
    for route in &mut config.routes {
        route.deadline_ms = Some(1_500);
    }
    config
}

/// The codes of the findings after a change.
fn codes(change: impl Fn(&mut Config)) -> Vec<&'static str> {
    let mut config = config();
    change(&mut config);
    findings(&config).into_iter().map(|finding| finding.code).collect()
}

/// The differences that a change makes, each with whether it is tighter.
fn changes(change: impl Fn(&mut Config)) -> Vec<(String, bool)> {
    let mut next = config();
    change(&mut next);
    let differences = differences(&config(), &next).into_iter();
    differences.map(|difference| (difference.text, difference.is_tighter)).collect()
}

/// Each rule finds its fault, and nothing else does.
#[test]
fn each_rule_finds_its_fault() {
    let cases: [(&str, Edit); 11] = [
        ("never-placed", |config| config.routes[0].split[0].weight = 0),
        ("idle-share", |config| {
            let share = Share { service: INVOICES.into(), weight: 0 };
            config.routes[0].split.push(share);
        }),
        ("objective-above-deadline", |config| config.routes[0].objective_ms = 1_501),
        ("idle-below-deadline", |config| config.routes[0].deadline_ms = Some(15_001)),
        ("missing-service", |config| {
            let share = Share { service: "abo-kalendar".into(), weight: 1 };
            config.routes[0].split.push(share);
        }),
        ("unused-service", |config| {
            config.routes.truncate(1);
        }),
        ("no-connections", |config| config.services[0].connections = 0),
        ("idle-cold-rate", |config| {
            config.services[0].cold_per_s = 5.0;
            config.services[0].cold_ms = 0;
        }),
        ("cold-rate-too-high", |config| {
            config.services[0].connections = 50;
            config.services[0].cold_per_s = 5_001.0;
        }),
        ("equal-priorities", |config| {
            let share = Share { service: CALENDAR.into(), weight: 1 };
            config.routes[1].split.push(share);
            config.routes[1].objective_ms = 400;
        }),
        ("idle-priorities", |config| config.routes[0].priority = 2),
    ];

    assert_eq!(codes(|_| ()), [""; 0]);
    for (code, change) in cases {
        assert_eq!(codes(change), [code]);
    }
}

/// What just fits is no finding: a rate that the flows allow, and objectives that differ
/// little or whose routes differ in priority.
#[test]
fn limits_that_fit_are_no_finding() {
    let codes = codes(|config| {
        config.services[0].connections = 50;
        config.services[0].cold_per_s = 5_000.0;
        let share = Share { service: CALENDAR.into(), weight: 1 };
        config.routes[1].split = vec![share.clone()];
        config.routes[1].objective_ms = 399;
        let mut least_urgent = config.routes[1].clone();
        least_urgent.address.set_port(444);
        least_urgent.split = vec![Share { service: INVOICES.into(), weight: 1 }];
        config.routes.push(least_urgent);
    });

    assert_eq!(codes, [""; 0]);
}

/// The name of a failure domain that is out of service may be mistyped.
#[test]
fn a_failure_domain_without_members_is_found() {
    let member = |domain: &str| Listed {
        address: calendar(),
        role: Role::Balancer,
        domain: domain.into(),
        instance: None,
    };
    let out = ["a".into(), "aa".into()];

    let findings = empty_domains(&out, &[member("a"), member("b")]);

    let codes: Vec<_> = findings.iter().map(|finding| finding.code).collect();
    assert_eq!(codes, ["empty-domain"]);
    assert!(findings[0].message.contains("domain aa "), "{}", findings[0].message);
}

/// Priorities between routes of one service are what they are for.
#[test]
fn priorities_of_one_service_are_no_finding() {
    let codes = codes(|config| {
        config.routes[0].priority = 2;
        config.routes[1].split.push(Share { service: CALENDAR.into(), weight: 1 });
    });

    assert_eq!(codes, [""; 0]);
}

/// Nothing that changes may be missing, and what gets tighter must be marked.
#[test]
fn differences_name_each_change_and_mark_what_is_tighter() {
    let limits = changes(|config| {
        config.routes[0].deadline_ms = None;
        config.routes[0].priority = 0;
        config.services[0].connections = 1_000;
        config.idle_ms = 20_000;
    });
    let routes = changes(|config| {
        let mut added = config.routes[0].clone();
        added.address.set_port(444);
        config.routes[0] = added;
    });

    assert_eq!(changes(|_| ()), []);
    let expected = [
        ("~ route 198.18.0.1:443: deadline: 1500 -> none", false),
        ("~ route 198.18.0.1:443: priority: 1 -> 0", false),
        ("~ service abo-kalender: flows of a backend server: 2000 -> 1000", true),
        ("~ idle time: 15000 -> 20000", false),
    ];
    assert_eq!(limits, expected.map(|(text, is_tighter)| (text.to_owned(), is_tighter)));
    let expected = [("- route 198.18.0.1:443", true), ("+ route 198.18.0.1:444", false)];
    assert_eq!(routes, expected.map(|(text, is_tighter)| (text.to_owned(), is_tighter)));
}
