//! The difference between two versions of the configuration.

use std::sync::Arc;

use insta::assert_snapshot;
use lentilreach::id::domain;
use lentilreach::version::config::{Domain, Domains, Limits, Service, Snapshot};
use lentilreach::version::diff::Diff;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A service of weilheim.
fn service(name: &str, slots: u16) -> Service {
    let limits = Limits { slots, ..Limits::lowest() };
    Service {
        organisation: "weilheim".into(),
        name: name.into(),
        address: "127.1.0.1:4433".parse().expect("an address"),
        set: "abo".into(),
        limits,
        operation: None,
    }
}

/// A configuration with the given services and failure domains. A domain is given as its name
/// and whether it is out of service.
fn snapshot(services: Vec<Service>, domains: &[(&str, bool)]) -> Snapshot {
    let domain = |(id, (name, out)): (usize, &(&str, bool))| Domain {
        name: (*name).into(),
        id: domain::Id(id as u8),
        out: *out,
        changed: None,
    };
    let domains = domains.iter().enumerate().map(domain).collect();
    let domains = Domains::new(domains).expect("valid domains");
    Snapshot::new(1, services.into_iter().map(Arc::new).collect(), domains)
}

/// Guards against a printed difference that omits a change which the operator confirms.
#[test]
fn every_change_is_printed() {
    let mut moved = service("moved", 5);
    moved.address = "127.1.0.9:4433".parse().expect("an address");
    moved.set = "beleg".into();
    moved.limits = Limits {
        slots: 6,
        connections: 7,
        cold_slots: 2,
        cold_ms: 20,
        leave_ms: 21,
        queue: 22,
        deadline_ms: 23,
    };
    let old = snapshot(
        vec![service("gone", 5), service("moved", 5), service("same", 5)],
        &[("nord", false), ("sued", true)],
    );
    let new = snapshot(
        vec![service("same", 5), moved, service("new", 5)],
        &[("nord", true), ("sued", false), ("penzberg", false)],
    );

    assert_snapshot!(Diff::between(&old, &new).to_string());
}

/// Guards against a submit of an unchanged file that is written only because the service in
/// force has an operation recorded.
#[test]
fn operation_alone_is_no_change() {
    let mut submitted = service("a", 5);
    submitted.operation = Some("op-1".into());

    let diff = Diff::between(
        &snapshot(vec![submitted], &[]),
        &snapshot(vec![service("a", 5)], &[]),
    );

    assert!(diff.is_empty());
    assert_eq!(diff.to_string(), "no change");
}

/// Guards against a change of addresses that is not serialised with changes of other
/// organisations.
#[test]
fn changes_of_addresses_need_global_order() {
    let old = snapshot(vec![service("a", 5)], &[]);
    let mut moved = service("a", 5);
    moved.address = "127.1.0.9:4433".parse().expect("an address");

    let slots = Diff::between(&old, &snapshot(vec![service("a", 6)], &[]));
    let address = Diff::between(&old, &snapshot(vec![moved], &[]));
    let removed = Diff::between(&old, &snapshot(Vec::new(), &[]));
    let added = Diff::between(&snapshot(Vec::new(), &[]), &old);

    assert!(!slots.needs_global_order());
    assert!(address.needs_global_order());
    assert!(removed.needs_global_order());
    assert!(added.needs_global_order());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a merge of sorted lists that skips or repeats a service.
    #[test]
    fn applied_difference_yields_the_new_version(
        old in prop::collection::btree_map(0_u8..20, 1_u16..4, 0..20),
        new in prop::collection::btree_map(0_u8..20, 1_u16..4, 0..20),
    ) {
        let version = |map: &std::collections::BTreeMap<u8, u16>| {
            let services = map.iter().map(|(name, slots)| service(&format!("s-{name}"), *slots));
            snapshot(services.collect(), &[])
        };
        let (old, new) = (version(&old), version(&new));

        let diff = Diff::between(&old, &new);

        let mut services: Vec<_> = old.services().to_vec();
        services.retain(|service| !diff.removed.contains(service));
        for changed in &diff.changed {
            let index = services.iter().position(|s| *s == changed.old);
            services[index.expect("an old service")] = changed.new.clone();
        }
        services.extend(diff.added.iter().cloned());
        let rebuilt = Snapshot::new(1, services, Domains::default());
        prop_assert_eq!(rebuilt, new);
    }
}
