//! A builder for settings.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use super::{Agent, Balancer, Node};

/// Builds the settings of a daemon for tests and the demo.
///
/// Values are not validated, unlike those in settings files.
#[derive(Debug, Clone)]
pub struct Builder {
    /// The settings so far.
    node: Node,
}

impl Builder {
    /// Creates a builder with the defaults of [`Node::builder`].
    pub(super) fn new(name: &str, organisation: &str, domain: &str) -> Self {
        let localhost = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let node = Node {
            name: name.into(),
            organisation: organisation.into(),
            domain: domain.into(),
            envelope: localhost(7_000),
            exchange: localhost(7_001),
            admin: localhost(7_002),
            store: Vec::new(),
            peers: Vec::new(),
            threads: 1,
            secret: PathBuf::new(),
        };
        Self { node }
    }

    /// Sets the address that receives envelopes.
    #[must_use]
    pub fn envelope(mut self, address: SocketAddr) -> Self {
        self.node.envelope = address;
        self
    }

    /// Sets the address that receives messages of the gossip exchange.
    #[must_use]
    pub fn exchange(mut self, address: SocketAddr) -> Self {
        self.node.exchange = address;
        self
    }

    /// Sets the address that serves metrics, readiness and the timeline.
    #[must_use]
    pub fn admin(mut self, address: SocketAddr) -> Self {
        self.node.admin = address;
        self
    }

    /// Adds endpoints of the store.
    #[must_use]
    pub fn store(mut self, endpoints: impl IntoIterator<Item = SocketAddr>) -> Self {
        self.node.store.extend(endpoints);
        self
    }

    /// Adds exchange addresses of balancers to contact first.
    #[must_use]
    pub fn peers(mut self, peers: impl IntoIterator<Item = SocketAddr>) -> Self {
        self.node.peers.extend(peers);
        self
    }

    /// Sets the number of worker threads; 0 is raised to 1.
    #[must_use]
    pub fn threads(mut self, threads: usize) -> Self {
        self.node.threads = threads.max(1);
        self
    }

    /// Sets the file with the fleet secret.
    #[must_use]
    pub fn secret(mut self, path: impl Into<PathBuf>) -> Self {
        self.node.secret = path.into();
        self
    }

    /// Returns the settings of a balancer that receives packets of callers at `service`.
    pub fn balancer(self, service: SocketAddr) -> Balancer {
        Balancer { node: self.node, service, fabric: None }
    }

    /// Returns the settings of an agent.
    pub fn agent(
        self,
        set: &str,
        server: SocketAddr,
        certificate: impl Into<PathBuf>,
        key: impl Into<PathBuf>,
    ) -> Agent {
        let (certificate, key) = (certificate.into(), key.into());
        Agent { node: self.node, set: set.into(), server, certificate, key }
    }
}
