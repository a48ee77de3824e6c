//! The driver of gossip over UDP on loopback.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use lentilreach::id::{domain, node};
use lentilreach::process::event::Recorder;
use lentilreach::process::gossip::core::Core;
use lentilreach::process::gossip::driver::Gossip;
use lentilreach::process::gossip::entry::{Entry, Node, Role, Stage};
use lentilreach::process::gossip::seal::{Key, Sealer};
use lentilreach::process::link::{Link, Udp};
use lentilreach::process::pool::Pool;

/// The fleet key, which every node derives from its settings.
const FLEET: [u8; 16] = [3; 16];

/// Starts a node with the given keys; the last one is used for new messages.
fn start(pool: &Pool, id: u64, role: Role, keys: &[u8]) -> Gossip<Udp> {
    let link =
        Udp::bind((Ipv4Addr::LOCALHOST, 0).into()).expect("loopback has free ports");
    let address = link.local_addr();
    let id = node::Id(id);
    let node = Node {
        id,
        version: 0,
        name: format!("node-{id}").into(),
        role,
        envelope_address: address,
        gossip_address: address,
        admin_address: address,
        domain: domain::Id(0),
        set: "abo".into(),
        organisation: "weilheim".into(),
        stage: Stage::Active,
    };
    let current = keys.last().copied().unwrap_or(0);
    let keys = keys.iter().map(|key| Key::new(*key, &[FLEET[0] + key; 16])).collect();
    let recorder = Recorder::new(format!("node-{id}").into(), "nord".into());
    let core = Core::new(node, id.0);
    Gossip::start(pool, link, core, Sealer::new(id, keys, current), recorder)
}

/// The address of a node.
fn address(gossip: &Gossip<Udp>) -> SocketAddr {
    gossip.read(|core| core.node().gossip_address)
}

/// Waits until a node's state satisfies a condition; returns whether it did in time.
fn wait(gossip: &Gossip<Udp>, mut done: impl FnMut(&Core) -> bool) -> bool {
    let met = async {
        while !gossip.read(&mut done) {
            gossip.changed().await;
        }
        true
    };
    // The limit only ends a failing test.
    let limit = async {
        Timer::after(Duration::from_secs(30)).await;
        false
    };
    future::block_on(future::or(met, limit))
}

/// Guards against a driver that loses events, and against a new node that cannot join because
/// the fleet uses a key that it does not have yet.
#[test]
fn nodes_join_and_receive_documents() {
    let pool = Pool::new(2).expect("the system has threads");
    let first = start(&pool, 1, Role::Balancer, &[0, 1]);
    let agent = start(&pool, 2, Role::Agent, &[0]);
    let entry = |revision: u64| {
        let value = Some(vec![revision as u8].into());
        Entry::document("lentilreach/domain".into(), revision, value)
    };

    first.submit(entry(1));
    first.config_complete();
    agent.add_seed(address(&first));

    assert!(wait(&agent, Core::is_ready), "the agent is not ready");
    assert!(
        wait(&first, |core| core.members().count() == 2),
        "the agent is not a member"
    );
    first.submit(entry(2));
    let arrived = |core: &Core| core.documents().iter().any(|d| d.revision == 2);
    assert!(wait(&agent, arrived), "the document did not arrive");
}
