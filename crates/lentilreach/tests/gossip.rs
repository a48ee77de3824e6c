//! Gossip over a simulated network in virtual time that loses, duplicates, delays and
//! reorders datagrams.

use std::net::SocketAddr;

use lentilreach::Name;
use lentilreach::id::{domain, node};
use lentilreach::process::gossip::budget::BYTES_PER_S;
use lentilreach::process::gossip::core::{Core, Event};
use lentilreach::process::gossip::entry::{Condition, Entry, Load, Node, Role, Stage};
use lentilreach::process::gossip::member::Status;
use lentilreach_standin::network::{Faults, Network};

/// The key of the document that the tests write.
const KEY: &str = "lentilreach/service/weilheim/abo-kalender";

/// Datagrams are lost, duplicated and reordered more often than the targets require.
fn faults() -> Faults {
    Faults { loss: 0.05, duplicate: 0.05, jitter_us: 20_000, ..Faults::default() }
}

/// A network that logs all changes but those of loads.
fn network(seed: u64) -> Network {
    Network::new(seed, faults(), |entry| !matches!(entry, Entry::Load(_)))
}

/// The gossip address of a node.
fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 4_001).into()
}

/// A node in failure domain `number % 3`.
fn node(number: u8, role: Role, incarnation: u64) -> Node {
    let id = u64::from(number) + 1 + (incarnation << 8);
    Node {
        id: node::Id(id.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        version: 0,
        name: format!("node-{number}").into(),
        role,
        envelope_address: ([10, 0, 0, number], 4_000).into(),
        gossip_address: address(number),
        admin_address: ([10, 0, 0, number], 4_002).into(),
        domain: domain::Id(number % 3),
        set: "abo".into(),
        organisation: "weilheim".into(),
        stage: Stage::Active,
    }
}

/// Starts nodes; the first one has read the store, the others know its address.
fn fleet(network: &mut Network, balancers: u8, agents: u8) -> Vec<usize> {
    let mut nodes = Vec::new();
    for number in 0..balancers + agents {
        let role = if number < balancers { Role::Balancer } else { Role::Agent };
        nodes.push(network.start(node(number, role, 0)));
    }
    network.event(nodes[0], document(1));
    network.event(nodes[0], Event::ConfigComplete);
    for index in &nodes[1..] {
        network.event(*index, Event::AddSeed(address(0)));
    }
    network.run(20_000);
    nodes
}

/// A version of the document, as read from the store.
fn document(revision: u64) -> Event {
    let value = format!("{{\"revision\":{revision}}}").into_bytes();
    Event::StoreDocument(Entry::document(KEY.into(), revision, Some(value.into())))
}

/// The revision of the document at a node.
fn revision(core: &Core) -> Option<u64> {
    core.documents().iter().find(|d| *d.key == *KEY).map(|d| d.revision)
}

/// The status of a node as another node sees it.
fn status(network: &Network, at: usize, of: usize) -> Option<Status> {
    let id = network.core(of).node().id;
    let mut members = network.core(at).members();
    members.find(|(node, _)| node.id == id).map(|(_, member)| member.status)
}

/// Number of health records since `since_ms` that declare a node silent or dead.
fn silence_count(network: &Network, of: usize, since_ms: u64) -> usize {
    let id = network.core(of).node().id;
    let is_silence = |entry: &Entry| match entry {
        Entry::Health(health) => {
            health.node == id && health.condition != Condition::Alive
        }
        _ => false,
    };
    let log = network.log.iter();
    log.filter(|(at, _, entry)| *at >= since_ms && is_silence(entry)).count()
}

/// Whether the nodes have equal root hashes.
fn have_equal_roots(network: &Network, nodes: &[usize]) -> bool {
    let mut roots = nodes.iter().map(|index| network.core(*index).root());
    let first = roots.next();
    roots.all(|root| Some(root) == first)
}

/// Guards against entries that neither pushes nor anti-entropy deliver under loss.
#[test]
fn all_nodes_get_all_entries() {
    let mut network = network(1);

    let nodes = fleet(&mut network, 30, 30);
    network.event(nodes[7], document(2));
    network.run(7_000);

    for index in &nodes {
        assert!(network.core(*index).is_ready(), "node {index} is not ready");
        assert_eq!(revision(network.core(*index)), Some(2), "node {index}");
    }
    assert!(have_equal_roots(&network, &nodes[..30]));
    assert_eq!(network.core(nodes[3]).members().count(), 60);
}

/// Guards against a late or repeated older version replacing a newer one.
#[test]
fn versions_never_revert() {
    let mut network = network(2);
    network.faults.duplicate = 0.3;
    let nodes = fleet(&mut network, 12, 6);

    for change in 2..20 {
        network.event(nodes[change as usize % 12], document(change));
        network.event(nodes[(change as usize + 5) % 12], document(change - 1));
        network.run(300);
    }
    network.run(7_000);

    let mut highest = vec![0; nodes.len()];
    for (at, index, entry) in &network.log {
        if let Entry::Document(document) = entry {
            assert!(document.revision > highest[*index], "node {index} at {at} ms");
            highest[*index] = document.revision;
        }
    }
    assert!(highest.iter().all(|revision| *revision == 19), "{highest:?}");
}

/// Guards against a node that missed a deletion and restores the document.
#[test]
fn deletion_is_not_undone() {
    let mut network = network(3);
    let nodes = fleet(&mut network, 8, 2);
    network.pause(nodes[5], true);

    network.event(nodes[1], Event::StoreDocument(Entry::document(KEY.into(), 9, None)));
    network.run(10_000);
    network.pause(nodes[5], false);
    network.run(10_000);

    for index in &nodes {
        let key: Name = KEY.into();
        assert_eq!(revision(network.core(*index)), Some(9), "node {index}");
        assert_eq!(network.core(*index).document(&key), None, "node {index}");
    }
}

/// Guards against long documents that are never complete because chunks are lost.
#[test]
fn long_document_arrives() {
    let mut network = network(4);
    let nodes = fleet(&mut network, 10, 5);
    let value: Vec<u8> = (0..20_000_u32).map(|n| n as u8).collect();

    let entry =
        Entry::document("lentilreach/domain".into(), 2, Some(value.clone().into()));
    network.event(nodes[2], Event::StoreDocument(entry));
    network.run(30_000);

    for index in &nodes {
        let found = network.core(*index).document(&"lentilreach/domain".into());
        assert_eq!(found.map(|found| &found[..]), Some(&value[..]), "node {index}");
    }
}

/// Guards against nodes that stay apart after a partition, and against a change that is lost in
/// it.
#[test]
fn partition_heals() {
    let mut network = network(5);
    let nodes = fleet(&mut network, 12, 12);
    let (inside, outside): (Vec<usize>, Vec<usize>) =
        nodes.iter().partition(|index| network.core(**index).node().domain.0 == 0);

    inside.iter().for_each(|index| network.set_partition(*index, 1));
    network.run(5_000);
    network.event(outside[0], document(2));
    network.run(300_000);
    assert_eq!(revision(network.core(inside[0])), Some(1));
    inside.iter().for_each(|index| network.set_partition(*index, 0));
    network.run(30_000);

    assert!(have_equal_roots(&network, &nodes[..12]));
    for at in &nodes[..12] {
        for of in &nodes {
            assert_eq!(revision(network.core(*of)), Some(2), "node {of}");
            assert_eq!(status(&network, *at, *of), Some(Status::Alive), "{of} at {at}");
        }
    }
}

/// Guards against a restarted node that becomes ready before it has the full state.
#[test]
fn restart_gets_state_from_one_peer() {
    let mut network = network(6);
    let nodes = fleet(&mut network, 12, 20);
    network.stop(nodes[4]);
    network.run(1_000);

    let restarted = network.start(node(4, Role::Balancer, 1));
    network.event(restarted, Event::AddSeed(address(9)));
    let mut documents_before_ready = 0;
    while !network.core(restarted).is_ready() && network.now_ms() < 60_000 {
        documents_before_ready = network.core(restarted).documents().len();
        network.run(50);
    }

    assert!(network.core(restarted).is_ready());
    assert!(documents_before_ready <= 1, "documents arrived long before readiness");
    assert_eq!(revision(network.core(restarted)), Some(1));
    let known = network
        .core(restarted)
        .members()
        .filter(|(n, _)| n.id != node(4, Role::Balancer, 0).id);
    assert!(known.count() >= 31, "members are missing at readiness");
}

/// Guards against a node that becomes ready with the state of a peer that has no state itself.
#[test]
fn empty_nodes_do_not_make_each_other_ready() {
    let mut network = network(7);
    let first = network.start(node(0, Role::Balancer, 0));
    let second = network.start(node(1, Role::Balancer, 0));
    network.event(first, Event::AddSeed(address(1)));
    network.event(second, Event::AddSeed(address(0)));

    network.run(20_000);

    assert!(!network.core(first).is_ready() && !network.core(second).is_ready());
}

/// Guards against a failed agent that keeps getting new flows, and against an entry that
/// returns after it was removed.
#[test]
fn dead_agent_is_silent_then_removed() {
    let mut network = network(8);
    let nodes = fleet(&mut network, 9, 9);
    let dead = nodes[12];
    let id = network.core(dead).node().id;

    network.stop(dead);
    network.run(4_500);
    for at in &nodes[..9] {
        assert_eq!(status(&network, *at, dead), Some(Status::Silent), "at {at}");
    }
    network.run(130_000);
    let late = network.start(node(30, Role::Balancer, 0));
    network.event(late, Event::AddSeed(address(1)));
    network.run(60_000);

    for at in nodes[..9].iter().chain([&late]) {
        let mut members = network.core(*at).members();
        assert!(members.all(|(node, _)| node.id != id), "revived at {at}");
    }
}

/// Guards against live nodes that are declared silent because heartbeats are lost.
#[test]
fn loss_declares_no_node_silent() {
    let mut network = network(9);
    let nodes = fleet(&mut network, 20, 40);
    let start = network.now_ms();

    network.run(120_000);

    let silent: usize = nodes.iter().map(|of| silence_count(&network, *of, start)).sum();
    assert_eq!(silent, 0);
}

/// Guards against a paused node that is not detected, that declares others silent when it
/// resumes, or that flaps between silent and alive.
#[test]
fn paused_node_neither_flaps_nor_suspects_others() {
    let mut network = network(10);
    let nodes = fleet(&mut network, 10, 10);
    let paused = nodes[3];
    let start = network.now_ms();

    let mut recoveries = 0;
    let mut last = Some(Status::Alive);
    for step in 0..700 {
        // Ten times five seconds of pause and two of work.
        network.pause(paused, step % 70 < 50);
        network.run(100);
        let now = status(&network, nodes[0], paused);
        recoveries += u32::from(now == Some(Status::Alive) && last != now);
        last = now;
    }
    network.pause(paused, false);
    network.run(90_000);

    for of in nodes.iter().filter(|of| **of != paused) {
        assert_eq!(
            silence_count(&network, *of, start),
            0,
            "node {of} was declared silent"
        );
    }
    // The first two silences end at once; from the third on, more than the two seconds of
    // steady heartbeats are required.
    assert!(recoveries <= 2, "became alive {recoveries} times in 10 pauses");
    assert_eq!(status(&network, nodes[0], paused), Some(Status::Alive));
}

/// Guards against nodes that are declared silent when a clock jumps forwards or backwards.
#[test]
fn clock_jump_declares_no_node_silent() {
    let mut network = network(11);
    let nodes = fleet(&mut network, 8, 8);
    let start = network.now_ms();

    for by_ms in [10_000_000, -7_200_000, 60_000] {
        network.shift_clock(nodes[2], by_ms);
        network.run(10_000);
    }
    network.event(nodes[0], document(2));
    network.run(7_000);

    let silent: usize = nodes.iter().map(|of| silence_count(&network, *of, start)).sum();
    assert_eq!(silent, 0);
    assert_eq!(revision(network.core(nodes[2])), Some(2));
}

/// Guards against a partitioned failure domain that is taken for dead and removed.
#[test]
fn partitioned_domain_is_unreachable_not_dead() {
    let mut network = network(12);
    let nodes = fleet(&mut network, 12, 18);
    let is_inside =
        |network: &Network, index: usize| network.core(index).node().domain.0 == 1;
    let inside: Vec<usize> =
        nodes.iter().copied().filter(|index| is_inside(&network, *index)).collect();

    inside.iter().for_each(|index| network.set_partition(*index, 1));
    network.run(12_000);
    let soon: Vec<_> = inside.iter().map(|of| status(&network, nodes[0], *of)).collect();
    network.run(600_000);
    let later: Vec<_> = inside.iter().map(|of| status(&network, nodes[0], *of)).collect();

    assert!(soon.iter().all(|s| *s == Some(Status::Unreachable)), "{soon:?}");
    assert!(later.iter().all(|s| *s == Some(Status::Unreachable)), "{later:?}");
    let others = nodes[..12].iter().filter(|of| !inside.contains(of));
    for of in others.filter(|of| **of != nodes[0]) {
        assert_eq!(status(&network, nodes[0], *of), Some(Status::Alive), "node {of}");
    }
}

/// Guards against a node that exceeds its byte budget under load, document changes and a
/// partition.
#[test]
fn budget_is_never_exceeded() {
    let mut network = network(13);
    let nodes = fleet(&mut network, 10, 40);

    for step in 0..60_u32 {
        for index in &nodes[10..] {
            let id = network.core(*index).node().id;
            let open = step * 10;
            let load =
                Load { node: id, version: 0, open, limit: 2_000, busy: 1, slots: 5 };
            network.event(*index, Event::Load(load));
        }
        network.event(nodes[0], document(u64::from(step) + 2));
        if step == 20 {
            nodes[..4].iter().for_each(|index| network.set_partition(*index, 1));
        }
        if step == 40 {
            nodes[..4].iter().for_each(|index| network.set_partition(*index, 0));
        }
        network.run(1_000);
    }

    for index in &nodes {
        let most = network.traffic(*index).max_sent_bytes_per_s;
        assert!(most <= u64::from(BYTES_PER_S), "node {index} sent {most} bytes");
    }
    let newest =
        nodes.iter().filter(|i| revision(network.core(**i)).is_some_and(|r| r > 58));
    assert_eq!(newest.count(), nodes.len(), "a node lacks the newest configuration");
}

/// Guards against load reports that do not reach other balancers.
#[test]
fn load_reaches_balancers() {
    let mut network = network(14);
    let nodes = fleet(&mut network, 6, 6);
    let agent = nodes[8];
    let id = network.core(agent).node().id;

    let load = Load { node: id, version: 0, open: 700, limit: 2_000, busy: 1, slots: 5 };
    network.event(agent, Event::Load(load));
    network.run(10_000);

    let has_load = |index: &&usize| {
        let mut members = network.core(**index).members();
        let found = members.find(|(node, _)| node.id == id);
        found.and_then(|(_, member)| member.load).is_some_and(|load| load.open == 700)
    };
    assert!(nodes[..6].iter().filter(has_load).count() >= 5);
}

/// Guards against a leaving node that still gets work because its stage spreads slowly.
#[test]
fn leaving_is_known_at_once() {
    let mut network = network(15);
    let nodes = fleet(&mut network, 12, 12);
    let leaving = nodes[15];
    let id = network.core(leaving).node().id;

    network.event(leaving, Event::Stage(Stage::Leaving));
    network.run(3_000);

    for at in &nodes[..12] {
        let mut members = network.core(*at).members();
        let found = members.find(|(node, _)| node.id == id);
        assert_eq!(found.map(|(node, _)| node.stage), Some(Stage::Leaving), "at {at}");
    }
}

/// Guards against a replayed datagram that is accepted.
#[test]
fn replay_is_refused() {
    let mut network = network(16);
    let nodes = fleet(&mut network, 4, 0);
    network.faults.duplicate = 0.0;
    network.faults.loss = 0.0;
    network.record(nodes[1]);
    network.run(5_000);
    let recorded = network.recorded(nodes[1]).to_vec();

    let before = network.traffic(nodes[2]).rejected;
    for _ in 0..2 {
        for bytes in &recorded {
            network.inject(nodes[2], address(1), bytes.clone());
        }
    }

    let rejected = network.traffic(nodes[2]).rejected - before;
    assert!(!recorded.is_empty());
    assert!(rejected >= recorded.len() as u64, "{rejected} of {}", 2 * recorded.len());
}
