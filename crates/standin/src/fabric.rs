//! The fabric: hands each datagram for a service address to a random balancer.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use lentilreach::process::entry::Transit;
use lentilreach::process::link::{Link as _, MAX_DATAGRAM, Udp};
use lentilreach::process::pool::Pool;
use parking_lot::Mutex;
use smol::Task;

use crate::loopback::{Line, Network};

/// A running fabric.
#[derive(Debug)]
pub struct Fabric {
    /// What its tasks share.
    shared: Arc<Shared>,
    /// Its tasks.
    _tasks: Vec<Task<()>>,
}

/// What the tasks of a fabric share.
#[derive(Debug)]
struct Shared {
    /// Loss.
    network: Network,
    /// One-way delay to callers.
    delay: Duration,
    /// Faces balancers.
    inner: Udp,
    /// Holds datagrams for balancers.
    inward: Line,
    /// Sorted by address; a socket and a line for each service address.
    services: Vec<(SocketAddr, Udp, Line)>,
    /// Entry addresses of balancers.
    balancers: Mutex<Vec<SocketAddr>>,
    /// Chooses balancers.
    rng: Mutex<Rng>,
}

impl Fabric {
    /// Starts a fabric for service addresses. Port 0 takes a free port; the bound addresses
    /// are in the order given.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub fn start(
        pool: &Pool,
        network: Network,
        delay: Duration,
        addresses: &[SocketAddr],
        seed: u64,
    ) -> io::Result<(Self, Vec<SocketAddr>)> {
        let inner = Udp::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let mut services = Vec::new();
        let mut bound = Vec::new();
        for address in addresses {
            let udp = Udp::bind(*address)?;
            bound.push(udp.local());
            services.push((udp.local(), udp.clone(), Line::new(pool, udp)));
        }
        services.sort_by_key(|(address, ..)| *address);
        let shared = Arc::new(Shared {
            network,
            delay,
            inward: Line::new(pool, inner.clone()),
            inner,
            services,
            balancers: Mutex::default(),
            rng: Mutex::new(Rng::with_seed(seed)),
        });
        let mut tasks = vec![pool.spawn(shared.clone().outward())];
        for at in 0..shared.services.len() {
            tasks.push(pool.spawn(shared.clone().spray(at)));
        }
        Ok((Self { shared, _tasks: tasks }, bound))
    }

    /// Where balancers send datagrams for callers.
    pub fn inner(&self) -> SocketAddr {
        self.shared.inner.local()
    }

    /// Adds a balancer by its entry address, unless it is there already.
    pub fn add(&self, balancer: SocketAddr) {
        let mut balancers = self.shared.balancers.lock();
        if !balancers.contains(&balancer) {
            balancers.push(balancer);
        }
    }

    /// Removes a balancer.
    pub fn remove(&self, balancer: SocketAddr) {
        self.shared.balancers.lock().retain(|other| *other != balancer);
    }
}

impl Shared {
    /// Hands callers' datagrams for one service to balancers.
    async fn spray(self: Arc<Self>, at: usize) {
        let (service, udp, _) = &self.services[at];
        let mut buffer = vec![0; MAX_DATAGRAM];
        let mut out = Vec::new();
        loop {
            let Ok((len, caller)) = udp.receive(&mut buffer).await else { continue };
            if self.network.loses() {
                continue;
            }
            let Some(balancer) = self.choose() else { continue };
            Transit { caller, service: *service }.encode(&buffer[..len], &mut out);
            self.inward.send(self.delay, balancer, &out);
        }
    }

    /// Gives balancers' datagrams to callers, from the service address.
    async fn outward(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((len, _)) = self.inner.receive(&mut buffer).await else { continue };
            let Some((transit, datagram)) = Transit::decode(&buffer[..len]) else {
                continue;
            };
            let service = transit.service;
            let found = self.services.binary_search_by_key(&service, |(a, ..)| *a);
            let Ok(at) = found else { continue };
            if !self.network.loses() {
                self.services[at].2.send(self.delay, transit.caller, datagram);
            }
        }
    }

    /// Chooses a balancer at random.
    fn choose(&self) -> Option<SocketAddr> {
        let balancers = self.balancers.lock();
        let at = self.rng.lock().usize(..balancers.len().max(1));
        balancers.get(at).copied()
    }
}
