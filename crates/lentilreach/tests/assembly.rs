//! Views for routing and limits for agents, built from the content of the gossip exchange.

use std::sync::Arc;

use bytes::Bytes;
use lentilreach::id::{domain, node};
use lentilreach::process::clock::Millis;
use lentilreach::process::gossip::entry::{self, Node, Role};
use lentilreach::version::assembly::{self, Config, Peer};
use lentilreach::version::config::{Change, Domains, Service};
use lentilreach::version::view::{Load, Stage, View};

/// The current time of the tests.
const NOW: Millis = Millis(1_000);

/// A service of weilheim with 5 slots.
fn service(name: &str, set: &str, port: u16) -> Service {
    let mut limits = lentilreach::version::config::Limits::lowest();
    (limits.slots, limits.connections, limits.leave_ms) = (5, 2_000, 10_000);
    Service {
        organisation: "weilheim".into(),
        name: name.into(),
        address: ([127, 1, 0, 1], port).into(),
        set: set.into(),
        limits,
        operation: None,
    }
}

/// A document of the gossip exchange.
fn document(key: &str, revision: u64, value: impl Into<Bytes>) -> entry::Document {
    entry::Document { key: key.into(), revision, value: Some(value.into()) }
}

/// The document of a service.
fn service_document(service: &Service, revision: u64) -> entry::Document {
    document(&service.key(), revision, service.encode())
}

/// The domain document with `nord` in service or out of it.
fn domain_document(revision: u64, out: bool) -> entry::Document {
    let domains = Domains::default().with_names(&["nord".into()], None).expect("a name");
    let change = Change { operation: "op".into(), wall_ms: 0 };
    let domains = domains.set("nord", out, &change).expect("known");
    document("lentilreach/domain", revision, domains.encode())
}

/// A configuration with the service `abo` at port 1, revision 3.
fn config() -> Config {
    let mut config = Config::default();
    let refused = config.update(
        NOW,
        &[domain_document(2, false), service_document(&service("abo", "abo", 1), 3)],
    );
    assert_eq!(refused, []);
    config
}

/// An active agent of the set `abo` with open flows.
fn peer(id: u64, port: u16, open: u32) -> Peer {
    let address = |port| ([127, 0, 0, 1], port).into();
    let node = Node {
        id: node::Id(id),
        version: 1,
        name: format!("agent-{id}").into(),
        role: Role::Agent,
        envelope_address: address(port),
        gossip_address: address(1),
        admin_address: address(2),
        domain: domain::Id(0),
        set: "abo".into(),
        organisation: "weilheim".into(),
        stage: entry::Stage::Active,
    };
    let load = Load { open, limit: 2_000, busy: 0, slots: 5, at: Millis(7) };
    Peer { node: Arc::new(node), silent: false, load }
}

/// The agent with a changed announcement.
fn with(mut peer: Peer, change: impl FnOnce(&mut Node)) -> Peer {
    change(Arc::make_mut(&mut peer.node));
    peer
}

/// The members of the service `abo`, as node identifier and stage.
fn members(config: &Config, peers: &[Peer]) -> Vec<(u64, Stage)> {
    let view = assembly::view(config, NOW, peers, &View::default());
    let service = view.service(([127, 1, 0, 1], 1).into()).expect("configured");
    service.members().iter().map(|member| (member.node.0, member.stage)).collect()
}

/// Guards against members of another set or organisation, which would get packets of a
/// service that they do not serve, and against members in unknown failure domains.
#[test]
fn members_are_those_of_set_and_organisation() {
    let peers = [
        peer(1, 11, 0),
        with(peer(2, 12, 0), |node| node.set = "beleg".into()),
        with(peer(3, 13, 0), |node| node.organisation = "peakline".into()),
        with(peer(4, 14, 0), |node| node.domain = domain::Id(9)),
    ];

    assert_eq!(members(&config(), &peers), [(1, Stage::Active)]);
}

/// Guards against new flows for draining or silent agents, and against a cold start that is
/// lost.
#[test]
fn stages_are_mapped() {
    let silent = Peer { silent: true, ..peer(3, 13, 0) };
    let leaving = with(silent.clone(), |node| {
        (node.id, node.envelope_address) = (node::Id(4), ([127, 0, 0, 1], 14).into());
        node.stage = entry::Stage::Leaving;
    });
    let cold = with(peer(2, 12, 0), |node| node.stage = entry::Stage::Cold);

    let members = members(&config(), &[peer(1, 11, 0), cold, silent, leaving]);

    let expected =
        [(1, Stage::Active), (2, Stage::Cold), (3, Stage::Silent), (4, Stage::Leaving)];
    assert_eq!(members, expected);
}

/// Guards against two members with one address after the restart of an agent.
#[test]
fn later_incarnation_takes_the_address() {
    let old = Peer { silent: true, ..peer(9, 11, 4) };

    assert_eq!(members(&config(), &[peer(1, 11, 0), old]), [(1, Stage::Active)]);
}

/// Guards against a mean that includes agents without new flows, or omits cold ones.
#[test]
fn mean_is_over_serving_members() {
    let cold = with(peer(2, 12, 0), |node| node.stage = entry::Stage::Cold);
    let silent = Peer { silent: true, ..peer(3, 13, 900) };
    let peers = [peer(1, 11, 25), cold, silent];

    let view = assembly::view(&config(), NOW, &peers, &View::default());

    assert_eq!(view.services()[0].mean(), Some(125));
}

/// Guards against an older document that reverts a change, and against a missed deletion.
#[test]
fn older_documents_are_ignored() {
    let mut config = config();
    config.update(NOW, &[service_document(&service("abo", "abo", 2), 8)]);

    config.update(NOW, &[service_document(&service("abo", "abo", 1), 5)]);

    let found = config.snapshot().find("weilheim", "abo").expect("in force");
    assert_eq!((found.address.port(), config.snapshot().revision), (2, 8));
    let deleted =
        entry::Document { value: None, ..service_document(&service("abo", "abo", 1), 9) };
    config.update(NOW, &[deleted]);
    assert_eq!((config.snapshot().services().len(), config.snapshot().revision), (0, 9));
}

/// Guards against an invalid document that removes the last valid version or counts as in
/// force, and against one that is reported repeatedly.
#[test]
fn invalid_document_leaves_the_last_valid_version() {
    let mut config = config();
    let invalid = [document("lentilreach/service/weilheim/abo", 8, "{")];

    let refused = config.update(NOW, &invalid);
    let again = config.update(NOW, &invalid);

    assert_eq!(refused.len(), 1);
    assert_eq!(again, []);
    assert_eq!(members(&config, &[peer(1, 11, 0)]).len(), 1);
    assert_eq!(config.snapshot().revision, 3);
}

/// Guards against an agent that serves services of other sets, or exceeds the limits of one of
/// its services.
#[test]
fn agent_gets_its_services_and_the_lowest_limits() {
    let mut config = config();
    let mut second = service("termine", "abo", 5);
    (second.limits.slots, second.limits.leave_ms) = (3, 20_000);
    config.update(
        NOW,
        &[
            service_document(&second, 4),
            service_document(&service("beleg", "beleg", 6), 5),
        ],
    );

    let served = assembly::served(config.snapshot(), "weilheim", "abo");
    let limits = assembly::limits(config.snapshot(), "weilheim", "abo").expect("served");

    let names: Vec<&str> = served.iter().map(|served| &*served.name).collect();
    assert!(served.is_sorted_by_key(|served| served.id));
    assert_eq!(names.len(), 2);
    assert!(names.contains(&"weilheim/abo") && names.contains(&"weilheim/termine"));
    assert_eq!((limits.requests.slots, limits.leave_ms), (3, 20_000));
    assert_eq!(limits.flows.flows, 2_000);
    assert!(assembly::limits(config.snapshot(), "weilheim", "other").is_none());
}

/// Guards against a failure domain that stays in service after it was taken out, or that an
/// older document brings back.
#[test]
fn failure_domain_is_taken_out() {
    let mut config = config();

    config.update(NOW, &[domain_document(6, true)]);
    config.update(NOW, &[domain_document(5, false)]);

    assert!(assembly::is_out(config.snapshot(), "nord"));
    assert!(!assembly::is_out(config.snapshot(), "sued"));
    let view = assembly::view(&config, NOW, &[], &View::default());
    assert!(view.is_out(domain::Id(0)));
}

/// Guards against a removed or moved service whose address disappears before its flows could
/// drain, and against one that keeps its address after another service took it over.
#[test]
fn removed_service_stays_while_its_flows_drain() {
    let address = |port| ([127, 1, 0, 1], port).into();
    let mut config = config();
    let peers = [peer(1, 11, 0)];
    let view =
        |config: &Config, now| assembly::view(config, now, &peers, &View::default());

    config.update(NOW, &[service_document(&service("abo", "abo", 2), 4)]);

    let moved = view(&config, NOW.after(16_999));
    let old = moved.service(address(1)).expect("its flows drain for 10 s after 7 s");
    assert_eq!((old.members().len(), &*old.name), (0, "weilheim/abo"));
    assert_eq!(moved.service(address(2)).expect("moved").members().len(), 1);
    assert!(view(&config, NOW.after(17_000)).service(address(1)).is_none());
    config.update(NOW, &[service_document(&service("beleg", "beleg", 1), 5)]);
    let taken = view(&config, NOW);
    assert_eq!(&*taken.service(address(1)).expect("taken over").name, "weilheim/beleg");
}
