//! A few real balancers and agents over loopback with a store in memory.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lentilreach::id::node;
use lentilreach::process::control::{Agent, Balancer, Builder};
use lentilreach::process::endpoint::Identity;
use lentilreach::process::entry::{Direct, Encapsulated, Entry};
use lentilreach::process::event::{Event, Kind, Recorder};
use lentilreach::process::key::Secret;
use lentilreach::process::link::Udp;
use lentilreach::process::pool::Pool;
use lentilreach::process::settings::Node;
use lentilreach::process::store::retry::Retry;
use lentilreach::process::store::{Settings, Txn, Written};
use lentilreach::version::config::{Change, Document, Domains, Service};
use lentilreach_standin::store::{self, Handle, Memory};
use lentilreach_standin::tls;

/// Failure domains of the fixture.
pub const DOMAINS: [&str; 2] = ["nord", "sued"];

/// Longest wait for a condition. Far above what any of them takes.
const LIMIT: Duration = Duration::from_secs(60);

/// A balancer with its timeline.
pub struct Front {
    /// The balancer.
    pub balancer: Balancer<Udp>,
    /// Its timeline.
    pub recorder: Recorder,
}

/// An agent with its timeline.
pub struct Back {
    /// The agent.
    pub agent: Agent<Udp, Udp>,
    /// Its incarnation.
    pub node: node::Id,
    /// Its timeline.
    pub recorder: Recorder,
}

/// Processes over a store.
pub struct Fleet {
    /// Runs everything.
    pub pool: Pool,
    /// The store.
    pub store: Memory,
    /// Balancers, in failure domains by turns.
    pub fronts: Vec<Front>,
    /// Agents, in failure domains by turns.
    pub backs: Vec<Back>,
    /// Certificate that callers trust.
    pub identity: Identity,
}

impl Fleet {
    /// A store with the service `abo` at port 4433, and so many balancers and agents.
    pub fn start(balancers: usize, agents: usize) -> Self {
        let pool = Pool::new(3).expect("threads");
        let store = store::Builder::new().memory();
        let identity = tls::identity().expect("certificate");
        let (fronts, backs) = (Vec::new(), Vec::new());
        let mut fleet = Self { pool, store, fronts, backs, identity };
        let domains = Domains::default().with(&DOMAINS.map(Into::into), None);
        fleet.write("lentilreach/domain", domains.expect("two names").encode());
        fleet.submit(4433);
        (0..balancers).for_each(|_| fleet.add_balancer());
        (0..agents).for_each(|_| fleet.add_agent(any()));
        fleet
    }

    /// Starts a balancer that callers cannot reach. It has no peers in its settings.
    pub fn add_balancer(&mut self) {
        self.add_front(Encapsulated::new(link(any()), any()));
    }

    /// Starts a balancer at all addresses of the machine; returns its port.
    pub fn add_direct(&mut self) -> u16 {
        let entry = Direct::bind(([0, 0, 0, 0], 0).into()).expect("a free port");
        let port = entry.local().port();
        self.add_front(entry);
        port
    }

    /// Starts a balancer.
    fn add_front(&mut self, entry: impl Entry) {
        let at = self.fronts.len();
        let settings = self.settings("balancer", at).balancer(any()).node;
        let recorder = Recorder::new(settings.name.clone(), settings.domain.clone());
        let store = Settings::builder().attempt_ms(500).call_ms(1_000).build();
        let store = Retry::new(self.store.clone(), store);
        let balancer = Builder::new(&self.pool, &settings, secret(), recorder.clone())
            .seed(at as u64)
            .balancer(entry, link(any()), link(any()), store);
        self.fronts.push(Front { balancer, recorder });
    }

    /// Starts an agent that receives envelopes at an address.
    pub fn add_agent(&mut self, envelope: SocketAddr) {
        let at = self.backs.len();
        let peers = self.fronts.iter().map(|front| {
            let exchange = front.balancer.exchange();
            exchange.read(|core| core.me().exchange)
        });
        // No request is made, so no backend server has to listen.
        let settings =
            self.settings("agent", at).peers(peers).agent("abo", any(), "", "");
        let common = &settings.node;
        let recorder = Recorder::new(common.name.clone(), common.domain.clone());
        let node = node::Id(fastrand::u64(..));
        let agent = Builder::new(&self.pool, common, secret(), recorder.clone())
            .node(node)
            .seed(100 + at as u64)
            .agent(&settings, self.identity.clone(), link(envelope), link(any()))
            .expect("IPv4");
        self.backs.push(Back { agent, node, recorder });
    }

    /// Submits the service `abo` at another port; returns the revision.
    pub fn submit(&self, port: u16) -> u64 {
        let service = service(port);
        self.write(&service.key(), service.encode())
    }

    /// Takes a failure domain out or brings it back.
    pub fn set_out(&self, name: &str, out: bool) {
        let domains = Domains::default().with(&DOMAINS.map(Into::into), None);
        let change = Change { operation: "op".into(), wall_ms: 0 };
        let domains = domains.and_then(|domains| domains.set(name, out, &change));
        self.write("lentilreach/domain", domains.expect("known name").encode());
    }

    /// Writes a document as an operator does; returns its revision.
    pub fn write(&self, key: &str, value: impl Into<bytes::Bytes>) -> u64 {
        match self.handle().write(&Txn::new().put(key, value)) {
            Ok(Written::Done { revision }) => revision,
            other => panic!("{other:?}"),
        }
    }

    /// Counts and faults of the store.
    pub fn handle(&self) -> &Handle {
        self.store.handle()
    }

    /// Waits until all balancers have a view of this revision or a later one.
    pub fn wait_for(&self, revision: u64) {
        until("the revision is in force at all balancers", || {
            let views = self.fronts.iter().map(|front| front.balancer.tables().view());
            views.into_iter().all(|view| view.revision >= revision)
        });
    }

    /// Waits until all balancers see so many members of `abo` at a port.
    pub fn wait_for_members(&self, port: u16, count: usize) {
        until("all balancers see the members", || {
            self.fronts.iter().all(|front| front.members(port) == Some(count))
        });
    }

    /// Settings of the process with a number.
    fn settings(&self, role: &str, at: usize) -> lentilreach::process::settings::Builder {
        let domain = DOMAINS[at % DOMAINS.len()];
        Node::builder(&format!("{role}-{at}"), "weilheim", domain)
    }
}

impl Front {
    /// Members of the service at a port; none if there is no such service.
    pub fn members(&self, port: u16) -> Option<usize> {
        let view = self.balancer.tables().view();
        view.service(address(port)).map(|service| service.members().len())
    }

    /// Whether an event was recorded.
    pub fn count(&self, is: impl Fn(&Kind) -> bool) -> usize {
        count(&self.recorder, is)
    }
}

/// Events of a kind.
pub fn count(recorder: &Recorder, is: impl Fn(&Kind) -> bool) -> usize {
    let events: Vec<Event> = recorder.since(Default::default());
    events.iter().filter(|event| is(&event.kind)).count()
}

/// Waits for a condition.
pub fn until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + LIMIT;
    while !condition() {
        assert!(Instant::now() < end, "did not happen: {what}");
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

/// A free port of loopback.
pub fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A link at an address.
fn link(address: SocketAddr) -> Udp {
    // A former process at the address may still be closing its socket.
    let end = Instant::now() + LIMIT;
    loop {
        match Udp::bind(address) {
            Ok(link) => return link,
            Err(error) => assert!(Instant::now() < end, "{}: {error}", address),
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// The secret of the fleet.
fn secret() -> Secret {
    Secret::fleet(b"the secret of the fixture")
}
