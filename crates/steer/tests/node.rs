//! Tests of the state that the drivers of both daemons share.

mod fixture;

use std::future::pending;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fixture::{agent_address, agent_heartbeat, balancer_address, flow, routing};
use lentilreach::process::link::Link;
use lentilreach::process::store::{Range, Revision};
use lentilreach_steer::process::documents::share::Encoded;
use lentilreach_steer::process::driver::Node;
use lentilreach_steer::process::roster::Role;
use lentilreach_steer::process::settings;
use lentilreach_steer::request::message::{Heartbeat, Message, Stage};
use smol::Timer;

/// A link on which nothing arrives. Records the receivers of all datagrams.
#[derive(Debug, Default, Clone)]
struct Silent {
    /// The receivers.
    sent: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Link for Silent {
    async fn receive(&self, _: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        pending().await
    }

    fn send(&self, to: SocketAddr, _: &[u8]) -> io::Result<()> {
        self.sent.lock().expect("no panic").push(to);
        Ok(())
    }

    fn local_addr(&self) -> SocketAddr {
        balancer_address(1).into()
    }
}

/// A node that has read the configuration.
fn node() -> Arc<Node<Silent>> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let settings = settings::Node {
        name: "balancer-1".into(),
        domain: "a".into(),
        nodes: balancer_address(1),
        ready: any,
        store: any,
        callers_port: 1,
        memory_mb: 1,
        max_flow_age: Duration::from_secs(60),
        stop_timeout: Duration::from_secs(6),
        threads: 1,
    };
    let node = Node::new(settings, Silent::default());
    *node.routing.write() = Arc::new(routing(1));
    node
}

/// Lets a node hear an agent.
fn hear(node: &Node<Silent>, number: u8) {
    let heartbeat = agent_heartbeat(1, "a", Stage::Ready, 0);
    node.handle_heartbeat(agent_address(number), &heartbeat);
}

/// A balancer that has only heard one agent can't place the flows of other services, and
/// would drop their openings.
#[test]
fn a_node_is_not_ready_before_it_knows_the_members() {
    let node = node();

    hear(&node, 1);
    assert!(node.ready().is_err());

    let now = node.now();
    for number in 1..=4 {
        let domain = "a".into();
        node.roster.write().insert_unheard(
            now,
            agent_address(number),
            Role::Agent,
            domain,
        );
    }
    node.record_members_read();
    assert!(node.ready().is_err(), "three of four agents are silent");

    hear(&node, 2);
    assert_eq!(node.ready(), Ok(()));
}

/// What a node sends costs money between failure domains, so operators need to see which
/// messages it consists of.
#[test]
fn bytes_are_counted_by_kind_of_message() {
    let node = node();
    let leave = Message::Leave(1);
    let not_found = Message::NotFound(flow(1));

    node.send(agent_address(1), &leave);
    node.send(agent_address(2), &leave);
    node.send(agent_address(1), &not_found);

    let sent: Vec<_> = node.traffic.bytes().filter(|(_, bytes)| *bytes > 0).collect();
    let length = |message: &Message<'_>| message.encode().len() as u64;
    assert_eq!(sent, [("answer", length(&not_found)), ("leave", 2 * length(&leave))]);
}

/// Heartbeats between failure domains cost money, and most of those of balancers tell
/// their receivers nothing that they use.
#[test]
fn balancers_seldom_send_heartbeats_to_other_domains() {
    let node = node();
    for (number, domain) in [(1, "a"), (2, "b"), (3, "b")] {
        let heartbeat = agent_heartbeat(1, domain, Stage::Ready, 0);
        node.handle_heartbeat(agent_address(number), &heartbeat);
    }

    for _ in 0..20 {
        node.broadcast_heartbeat(Role::Balancer, |_, _| None);
    }

    let sent = node.link.sent.lock().expect("no panic").clone();
    let count = |number| {
        let address = SocketAddr::from(agent_address(number));
        sent.iter().filter(|to| **to == address).count()
    };
    assert_eq!([1, 2, 3].map(count), [20, 2, 2]);
}

/// Lets a node hear from an agent that a document has changed.
fn hear_change(node: &Node<Silent>, domain: &str, revision: u64) {
    let heartbeat = Heartbeat {
        revision: revision.into(),
        ..agent_heartbeat(1, domain, Stage::Ready, 0)
    };
    node.handle_heartbeat(agent_address(1), &heartbeat);
}

/// Lets documents of a revision arrive while a node waits for them.
fn fetch(node: &Node<Silent>, revision: u64) -> Option<Range> {
    let range = Range { revision: revision.into(), entries: Vec::new() };
    let encoded = Encoded::new(&range).expect("short");
    let arrive = async {
        Timer::after(Duration::from_millis(10)).await;
        encoded.chunks().for_each(|chunk| node.handle_documents(&chunk));
    };
    smol::block_on(async {
        let (fetched, ()) =
            futures_lite::future::zip(node.fetch_documents(), arrive).await;
        fetched
    })
}

/// A change must be asked for where it was reported, and only the reported revision or a
/// later one will do: an older one would leave the node behind.
#[test]
fn documents_come_from_the_node_that_reported_the_change() {
    let node = node();
    hear_change(&node, "a", 9);

    assert_eq!(fetch(&node, 8), None);
    let fetched = fetch(&node, 9).expect("the reported revision");

    assert_eq!(fetched.revision, 9.into());
    let sent = node.link.sent.lock().expect("no panic").clone();
    assert_eq!(sent, [agent_address(1).into(), agent_address(1).into()]);
}

/// Documents are long, and bytes between failure domains cost money.
#[test]
fn documents_are_not_asked_for_in_other_domains() {
    let node = node();
    hear_change(&node, "b", 9);

    assert_eq!(fetch(&node, 9), None);
    assert_eq!(*node.link.sent.lock().expect("no panic"), []);
}

/// After the store has come back from an older copy, changes have lower numbers than before. A
/// node took them for known ones, and was left behind.
#[test]
fn a_change_in_a_later_era_is_newer_than_any_before() {
    let revisions = [(1, 90), (2, 40), (1, 95), (2, 41)];
    let node = node();

    let newest = revisions.map(|(era, number)| {
        let revision = Revision { era, number };
        let heartbeat =
            Heartbeat { revision, ..agent_heartbeat(1, "a", Stage::Ready, 0) };
        node.handle_heartbeat(agent_address(1), &heartbeat);
        let Revision { era, number } = node.newest_revision();
        (era, number)
    });

    assert_eq!(newest, [(1, 90), (2, 40), (2, 40), (2, 41)]);
}
