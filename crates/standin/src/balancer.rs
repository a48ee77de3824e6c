//! A balancer process of a running deployment.

use std::io;
use std::net::SocketAddr;

use lentilreach::process::admin::Source as _;
use lentilreach::process::control::{Balancer, Builder};
use lentilreach::process::ingress::Encapsulated;
use lentilreach::process::link::{Link as _, Udp};
use lentilreach::process::store::Client;
use parking_lot::Mutex;

use crate::loopback::{Link, Network};

/// A balancer process. Keeps its addresses after it stops.
#[derive(Debug)]
pub struct Instance {
    /// Its number among the processes.
    pub number: usize,
    /// Index of its failure domain in the deployment.
    pub domain: usize,
    /// The address to which the fabric sends datagrams.
    pub entry: SocketAddr,
    /// The address for gossip.
    gossip_address: SocketAddr,
    /// The balancer, while it runs.
    balancer: Mutex<Option<Balancer<Link>>>,
}

impl Instance {
    /// Starts a balancer.
    ///
    /// # Errors
    /// Returns an error if no socket can be bound.
    pub fn start(
        number: usize,
        domain: usize,
        builder: Builder,
        network: &Network,
        fabric: SocketAddr,
        store: Client,
    ) -> io::Result<Self> {
        let outer = Udp::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let entry = outer.local_addr();
        let messages = network.gossip_link(domain)?;
        let gossip_address = messages.local_addr();
        let envelopes = network.link(domain)?;
        let outer = Encapsulated::new(outer, fabric);
        let balancer = builder.balancer(outer, envelopes, messages, store);
        let balancer = Mutex::new(Some(balancer));
        Ok(Self { number, domain, entry, gossip_address, balancer })
    }

    /// The address for gossip.
    pub fn gossip_address(&self) -> SocketAddr {
        self.gossip_address
    }

    /// Whether the balancer is ready for traffic.
    pub fn is_ready(&self) -> bool {
        self.with_balancer(|balancer| balancer.status_source().ready().is_ok())
            .unwrap_or(false)
    }

    /// The configuration revision in force; 0 if there is none yet.
    pub fn revision(&self) -> u64 {
        self.with_balancer(|balancer| balancer.tables().view().revision).unwrap_or(0)
    }

    /// Number of members of all services in its view.
    pub fn members(&self) -> usize {
        let count = self.with_balancer(|balancer| {
            let view = balancer.tables().view();
            view.services().iter().map(|service| service.members().len()).sum()
        });
        count.unwrap_or(0)
    }

    /// Announces to peers and the platform that it is about to stop.
    pub fn leave(&self) {
        self.with_balancer(Balancer::leave);
    }

    /// Stops the balancer.
    pub fn stop(&self) {
        drop(self.balancer.lock().take());
    }

    /// Calls a function with the balancer, if it is running.
    fn with_balancer<T>(&self, read: impl FnOnce(&Balancer<Link>) -> T) -> Option<T> {
        self.balancer.lock().as_ref().map(read)
    }
}
