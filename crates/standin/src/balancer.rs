//! A balancer of a running deployment.

use std::io;
use std::net::SocketAddr;

use lentilreach::process::admin::Source as _;
use lentilreach::process::control::{Balancer, Builder};
use lentilreach::process::entry::Encapsulated;
use lentilreach::process::link::{Link as _, Udp};
use lentilreach::process::store::Client;
use parking_lot::Mutex;

use crate::loopback::{Link, Network};

/// A balancer.
#[derive(Debug)]
pub struct Instance {
    /// Its number among the processes.
    pub number: usize,
    /// Index of its failure domain in the deployment.
    pub domain: usize,
    /// Where the fabric sends datagrams.
    pub entry: SocketAddr,
    /// Where it takes part in the exchange.
    exchange: SocketAddr,
    /// The balancer, while it runs.
    balancer: Mutex<Option<Balancer<Link>>>,
}

impl Instance {
    /// Starts a balancer.
    ///
    /// # Errors
    /// If no socket can be had.
    pub fn start(
        number: usize,
        domain: usize,
        builder: Builder,
        network: &Network,
        fabric: SocketAddr,
        store: Client,
    ) -> io::Result<Self> {
        let outer = Udp::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let entry = outer.local();
        let messages = network.exchange_link(domain)?;
        let exchange = messages.local();
        let envelopes = network.link(domain)?;
        let outer = Encapsulated::new(outer, fabric);
        let balancer = builder.balancer(outer, envelopes, messages, store);
        let balancer = Mutex::new(Some(balancer));
        Ok(Self { number, domain, entry, exchange, balancer })
    }

    /// Where it takes part in the exchange.
    pub fn exchange(&self) -> SocketAddr {
        self.exchange
    }

    /// Whether it may be given traffic.
    pub fn is_ready(&self) -> bool {
        self.read(|balancer| balancer.board().ready().is_ok()).unwrap_or(false)
    }

    /// The configuration revision in force; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.read(|balancer| balancer.tables().view().revision).unwrap_or(0)
    }

    /// Members of all services that it knows.
    pub fn members(&self) -> usize {
        let count = self.read(|balancer| {
            let view = balancer.tables().view();
            view.services().iter().map(|service| service.members().len()).sum()
        });
        count.unwrap_or(0)
    }

    /// Tells peers and the platform that it stops.
    pub fn leave(&self) {
        self.read(Balancer::leave);
    }

    /// Stops it.
    pub fn stop(&self) {
        drop(self.balancer.lock().take());
    }

    /// Reads from the balancer while it runs.
    fn read<T>(&self, read: impl FnOnce(&Balancer<Link>) -> T) -> Option<T> {
        self.balancer.lock().as_ref().map(read)
    }
}
