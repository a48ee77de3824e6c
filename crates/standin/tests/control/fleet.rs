//! Fixture: a few real balancers and agents on loopback with an in-process store.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lentilreach::id::node;
use lentilreach::process::control::{Agent, Balancer, Builder};
use lentilreach::process::endpoint::Identity;
use lentilreach::process::event::{Event, Kind, Recorder};
use lentilreach::process::ingress::{Direct, Encapsulated, Ingress};
use lentilreach::process::key::Secret;
use lentilreach::process::link::Udp;
use lentilreach::process::pool::Pool;
use lentilreach::process::settings::Node;
use lentilreach::process::store::retry::Retry;
use lentilreach::process::store::{Settings, Txn, TxnResult};
use lentilreach::version::config::{Change, Document, Domains, Service};
use lentilreach_standin::store::{self, Handle, Memory};
use lentilreach_standin::tls;

/// Failure domains of the fleet.
pub const DOMAINS: [&str; 2] = ["nord", "sued"];

/// Timeout of waiting for a condition, far longer than any takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A balancer with its recorded events.
pub struct RecordedBalancer {
    /// The balancer.
    pub process: Balancer<Udp>,
    /// Its recorded events.
    pub recorder: Recorder,
}

/// An agent with its recorded events.
pub struct RecordedAgent {
    /// The agent.
    pub process: Agent<Udp, Udp>,
    /// Its node id, which identifies the incarnation.
    pub node: node::Id,
    /// Its recorded events.
    pub recorder: Recorder,
}

/// Balancers and agents that use a store.
pub struct Fleet {
    /// Runs all tasks.
    pub pool: Pool,
    /// The store.
    pub store: Memory,
    /// Balancers, in alternating failure domains.
    pub balancers: Vec<RecordedBalancer>,
    /// Agents, in alternating failure domains.
    pub agents: Vec<RecordedAgent>,
    /// The certificate that callers trust, with its key.
    pub identity: Identity,
}

impl Fleet {
    /// Starts balancers and agents, with the service `abo` at port 4433 in the store.
    pub fn start(balancer_count: usize, agent_count: usize) -> Self {
        let pool = Pool::new(3).expect("threads");
        let store = store::Builder::new().memory();
        let identity = tls::identity().expect("certificate");
        let (balancers, agents) = (Vec::new(), Vec::new());
        let mut fleet = Self { pool, store, balancers, agents, identity };
        let domains = Domains::default().with_names(&DOMAINS.map(Into::into), None);
        fleet.write("lentilreach/domain", domains.expect("two names").encode());
        fleet.submit(4433);
        (0..balancer_count).for_each(|_| fleet.add_balancer());
        (0..agent_count).for_each(|_| fleet.add_agent(loopback()));
        fleet
    }

    /// Starts a balancer that callers cannot reach, without peers in its settings.
    pub fn add_balancer(&mut self) {
        self.add_balancer_with_entry(Encapsulated::new(link(loopback()), loopback()));
    }

    /// Starts a balancer that listens on all addresses of the machine and returns its port.
    pub fn add_direct_balancer(&mut self) -> u16 {
        let entry = Direct::bind(([0, 0, 0, 0], 0).into()).expect("a free port");
        let port = entry.local_addr().port();
        self.add_balancer_with_entry(entry);
        port
    }

    /// Starts a balancer.
    fn add_balancer_with_entry(&mut self, entry: impl Ingress) {
        let at = self.balancers.len();
        let settings = self.settings("balancer", at).balancer(loopback()).node;
        let recorder = Recorder::new(settings.name.clone(), settings.domain.clone());
        let store = Settings::builder().attempt_ms(500).call_ms(1_000).build();
        let store = Retry::new(self.store.clone(), store);
        let process = Builder::new(&self.pool, &settings, secret(), recorder.clone())
            .seed(at as u64)
            .balancer(entry, link(loopback()), link(loopback()), store);
        self.balancers.push(RecordedBalancer { process, recorder });
    }

    /// Starts an agent that receives envelopes at an address.
    pub fn add_agent(&mut self, envelope: SocketAddr) {
        let at = self.agents.len();
        let peers = self.balancers.iter().map(|balancer| {
            let gossip = balancer.process.gossip();
            gossip.read(|core| core.node().gossip_address)
        });
        // The tests send no requests, so no backend server needs to listen.
        let settings =
            self.settings("agent", at).peers(peers).agent("abo", loopback(), "", "");
        let common = &settings.node;
        let recorder = Recorder::new(common.name.clone(), common.domain.clone());
        let node = node::Id(fastrand::u64(..));
        let process = Builder::new(&self.pool, common, secret(), recorder.clone())
            .node(node)
            .seed(100 + at as u64)
            .agent(&settings, self.identity.clone(), link(envelope), link(loopback()))
            .expect("IPv4");
        self.agents.push(RecordedAgent { process, node, recorder });
    }

    /// Writes the service `abo` with another port and returns the revision.
    pub fn submit(&self, port: u16) -> u64 {
        let service = service(port);
        self.write(&service.key(), service.encode())
    }

    /// Takes a failure domain out of service or brings it back.
    pub fn set_out(&self, name: &str, out: bool) {
        let domains = Domains::default().with_names(&DOMAINS.map(Into::into), None);
        let change = Change { operation: "op".into(), wall_ms: 0 };
        let domains = domains.and_then(|domains| domains.set(name, out, &change));
        self.write("lentilreach/domain", domains.expect("known name").encode());
    }

    /// Writes a document as an operator does and returns its revision.
    pub fn write(&self, key: &str, value: impl Into<bytes::Bytes>) -> u64 {
        match self.handle().write(&Txn::new().put(key, value)) {
            Ok(TxnResult::Committed { revision }) => revision,
            other => panic!("{other:?}"),
        }
    }

    /// Access to the store's counters and fault injection.
    pub fn handle(&self) -> &Handle {
        self.store.handle()
    }

    /// Waits until all balancers have applied this revision or a later one.
    pub fn wait_for_revision(&self, revision: u64) {
        wait_until("the revision is in force at all balancers", || {
            let views =
                self.balancers.iter().map(|balancer| balancer.process.tables().view());
            views.into_iter().all(|view| view.revision >= revision)
        });
    }

    /// Waits until all balancers see `count` members of the service at a port.
    pub fn wait_for_members(&self, port: u16, count: usize) {
        wait_until("all balancers see the members", || {
            self.balancers.iter().all(|balancer| balancer.members(port) == Some(count))
        });
    }

    /// Settings of a process.
    fn settings(&self, role: &str, at: usize) -> lentilreach::process::settings::Builder {
        let domain = DOMAINS[at % DOMAINS.len()];
        Node::builder(&format!("{role}-{at}"), "weilheim", domain)
    }
}

impl RecordedBalancer {
    /// Number of members of the service at a port, or `None` if there is no such service.
    pub fn members(&self, port: u16) -> Option<usize> {
        let view = self.process.tables().view();
        view.service(address(port)).map(|service| service.members().len())
    }

    /// Number of recorded events that match.
    pub fn count(&self, matches: impl Fn(&Kind) -> bool) -> usize {
        count(&self.recorder, matches)
    }
}

/// Number of recorded events that match.
pub fn count(recorder: &Recorder, matches: impl Fn(&Kind) -> bool) -> usize {
    let events: Vec<Event> = recorder.since(Default::default());
    events.iter().filter(|event| matches(&event.kind)).count()
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// The service `abo` at a port.
fn service(port: u16) -> Service {
    let text = format!(
        r#"{{ "organisation": "weilheim", "domains": ["nord", "sued"],
  "templates": {{ "t": {{ "slots": 5, "connections": 40, "cold_slots": 1, "cold_ms": 50,
    "leave_ms": 500, "queue": 64, "deadline_ms": 5000 }} }},
  "services": {{ "abo": {{ "template": "t", "address": "127.1.0.1:{port}", "set": "abo" }} }} }}"#
    );
    let document = Document::parse("fixture", &text).expect("no mistakes");
    document.services[0].clone()
}

/// The address of the service at a port.
pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 1, 0, 1], port))
}

/// The loopback address with port 0, which selects a free port.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Binds a link.
fn link(address: SocketAddr) -> Udp {
    // An earlier process may still hold the address for a moment.
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        match Udp::bind(address) {
            Ok(link) => return link,
            Err(error) => assert!(Instant::now() < end, "{}: {error}", address),
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// The fleet secret.
fn secret() -> Secret {
    Secret::fleet(b"the secret of the fixture")
}
