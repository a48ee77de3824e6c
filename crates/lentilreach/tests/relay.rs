//! A relay between a store and gossip.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use lentilreach::id::{domain, node};
use lentilreach::process::event::Recorder;
use lentilreach::process::gossip::core::Core;
use lentilreach::process::gossip::driver::Gossip;
use lentilreach::process::gossip::entry::{Document, Entry, Node, Role, Stage};
use lentilreach::process::gossip::seal::{Key, Sealer};
use lentilreach::process::link::{Link, Udp};
use lentilreach::process::pool::Pool;
use lentilreach::process::relay::mirror::Mirror;
use lentilreach::process::relay::{Relay, Settings};
use lentilreach::process::store::follow::Update;
use lentilreach::process::store::{self, Batch, Change, Range, Store, Txn, TxnResult};
use lentilreach_standin::store::{Builder, memory::Memory};

/// Time after which a test gives up waiting for something that must happen.
const GIVE_UP: Duration = Duration::from_secs(10);

/// The key of a document that was deleted.
const DELETED: &str = "lentilreach/service/weilheim/deleted";

/// The key of a document that was not deleted.
const KEPT: &str = "lentilreach/service/weilheim/kept";

/// A balancer that is alone and relays from a store.
struct Balancer {
    /// Its documents.
    gossip: Gossip<Udp>,
    /// Its relay slot.
    _relay: Relay,
    /// Runs the tasks.
    _pool: Pool,
}

impl Balancer {
    /// Starts a balancer.
    fn start(store: Memory) -> Self {
        let pool = Pool::new(2).expect("threads can be started");
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let link = Udp::bind(local).expect("a socket can be bound");
        let address = link.local_addr();
        let id = node::Id(1);
        let node = Node {
            id,
            version: 0,
            name: "b1".into(),
            role: Role::Balancer,
            envelope_address: address,
            gossip_address: address,
            admin_address: address,
            domain: domain::Id(0),
            set: "".into(),
            organisation: "".into(),
            stage: Stage::Active,
        };
        let recorder = Recorder::new("b1".into(), "nord".into());
        let sealer = Sealer::new(id, vec![Key::new(0, &[3; 16])], 0);
        let core = Core::new(node, 1);
        let gossip = Gossip::start(&pool, link, core, sealer, recorder.clone());
        let settings = Settings {
            node: id,
            domain: "nord".into(),
            gossip_address: address,
            has_peers: false,
        };
        let relay = Relay::start(&pool, store, gossip.clone(), recorder, settings);
        Self { gossip, _relay: relay, _pool: pool }
    }

    /// Whether a document is in force.
    fn has(&self, key: &str) -> bool {
        self.gossip.read(|core| core.document(&key.into()).is_some())
    }

    /// Waits until a document is in force or no longer is; returns whether that happened.
    fn wait(&self, key: &str, in_force: bool) -> bool {
        let changed = async {
            while self.has(key) != in_force {
                Timer::after(Duration::from_millis(10)).await;
            }
            true
        };
        let timeout = async {
            Timer::after(GIVE_UP).await;
            false
        };
        smol::block_on(future::or(changed, timeout))
    }
}

/// Writes to a store; returns the revision.
fn write(store: &Memory, txn: Txn) -> u64 {
    match smol::block_on(store.write(txn)).expect("the store is available") {
        TxnResult::Committed { revision } => revision,
        failed => panic!("{failed:?}"),
    }
}

/// Guards against a deleted document that is in force again: a node that was cut off while it
/// was deleted brings it back after all others were restarted and have forgotten the deletion.
#[test]
fn a_deleted_document_that_returns_is_deleted_again() {
    let store = Builder::new().memory();
    write(&store, Txn::new().put(KEPT, "{}"));
    let revision = write(&store, Txn::new().put(DELETED, "{}"));
    write(&store, Txn::new().delete(DELETED));
    let balancer = Balancer::start(store.clone());
    assert!(balancer.wait(KEPT, true), "the relay reads the store");
    assert!(!balancer.has(DELETED));

    balancer.gossip.submit(Entry::document(DELETED.into(), revision, Some("{}".into())));

    assert!(balancer.has(DELETED), "the node doesn't know of the deletion");
    assert!(balancer.wait(DELETED, false), "still in force");
    assert!(balancer.has(KEPT));
}

/// Guards against the deletion of a document that another relay has read from the store before
/// this one, and against deletions that this one was told of but does not conclude from.
#[test]
fn only_documents_older_than_the_view_of_the_store_are_deleted() {
    let document = |key: &str, revision| Document {
        key: key.into(),
        revision,
        value: Some("{}".into()),
    };
    let kept =
        store::Entry { key: KEPT.into(), value: "{}".into(), created: 3, modified: 3 };
    let known = [document(DELETED, 9), document(KEPT, 2)];
    let deletion = |revision| vec![Entry::document(DELETED.into(), revision, None)];
    let mut mirror = Mirror::default();
    assert_eq!(mirror.deletions(&known), [], "nothing is known of the store");

    mirror.follow(&Update::Snapshot(Range { revision: 9.into(), entries: vec![kept] }));
    assert_eq!(mirror.deletions(&known), [], "it may have been written since");

    mirror.follow(&Update::Changes(Batch { revision: 10.into(), changes: Vec::new() }));
    assert_eq!(mirror.deletions(&known), deletion(10));

    let delete = Change::Delete { key: KEPT.into(), revision: 11 };
    mirror.follow(&Update::Changes(Batch { revision: 11.into(), changes: vec![delete] }));
    assert_eq!(mirror.deletions(&known).len(), 2);
}
