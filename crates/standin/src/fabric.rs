//! Stand-in for the network fabric: forwards each datagram for a service address to a random
//! balancer.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use lentilreach::process::ingress::FabricHeader;
use lentilreach::process::link::{Link as _, MAX_DATAGRAM_LEN, Udp};
use lentilreach::process::pool::Pool;
use parking_lot::Mutex;
use smol::Task;

use crate::loopback::{DelayLine, Network};

/// A running fabric.
#[derive(Debug)]
pub struct Fabric {
    /// State shared by the tasks.
    shared: Arc<Shared>,
    /// Forwarding tasks.
    _tasks: Vec<Task<()>>,
}

/// State shared by the tasks of a [`Fabric`].
#[derive(Debug)]
struct Shared {
    /// The network, for packet loss.
    network: Network,
    /// One-way delay to callers.
    delay: Duration,
    /// Exchanges encapsulated datagrams with balancers.
    balancer_socket: Udp,
    /// Delays datagrams to balancers.
    balancer_line: DelayLine,
    /// A socket and a delay line for each service address, sorted by address.
    services: Vec<(SocketAddr, Udp, DelayLine)>,
    /// Entry addresses of the balancers in use.
    balancers: Mutex<Vec<SocketAddr>>,
    /// Random numbers for the choice of balancers.
    rng: Mutex<Rng>,
}

impl Fabric {
    /// Starts a fabric for service addresses. Port 0 selects a free port. Returns the bound
    /// addresses in the given order.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound.
    pub fn start(
        pool: &Pool,
        network: Network,
        delay: Duration,
        addresses: &[SocketAddr],
        seed: u64,
    ) -> io::Result<(Self, Vec<SocketAddr>)> {
        let balancer_socket = Udp::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let mut services = Vec::new();
        let mut bound = Vec::new();
        for address in addresses {
            let udp = Udp::bind(*address)?;
            bound.push(udp.local_addr());
            services.push((udp.local_addr(), udp.clone(), DelayLine::new(pool, udp)));
        }
        services.sort_by_key(|(address, ..)| *address);
        let shared = Arc::new(Shared {
            network,
            delay,
            balancer_line: DelayLine::new(pool, balancer_socket.clone()),
            balancer_socket,
            services,
            balancers: Mutex::default(),
            rng: Mutex::new(Rng::with_seed(seed)),
        });
        let mut tasks = vec![pool.spawn(shared.clone().forward_to_callers())];
        for index in 0..shared.services.len() {
            tasks.push(pool.spawn(shared.clone().forward_to_balancers(index)));
        }
        Ok((Self { shared, _tasks: tasks }, bound))
    }

    /// The address to which balancers send datagrams for callers.
    pub fn balancer_address(&self) -> SocketAddr {
        self.shared.balancer_socket.local_addr()
    }

    /// Adds a balancer's entry address, unless already present.
    pub fn add(&self, balancer: SocketAddr) {
        let mut balancers = self.shared.balancers.lock();
        if !balancers.contains(&balancer) {
            balancers.push(balancer);
        }
    }

    /// Removes a balancer's entry address.
    pub fn remove(&self, balancer: SocketAddr) {
        self.shared.balancers.lock().retain(|other| *other != balancer);
    }
}

impl Shared {
    /// Forwards callers' datagrams for one service to balancers.
    async fn forward_to_balancers(self: Arc<Self>, index: usize) {
        let (service, udp, _) = &self.services[index];
        let mut buffer = vec![0; MAX_DATAGRAM_LEN];
        let mut out = Vec::new();
        loop {
            let Ok((len, caller)) = udp.receive(&mut buffer).await else { continue };
            if self.network.drops_packet() {
                continue;
            }
            let Some(balancer) = self.pick_balancer() else { continue };
            FabricHeader { caller, service: *service }.encode(&buffer[..len], &mut out);
            self.balancer_line.send(self.delay, balancer, &out);
        }
    }

    /// Forwards balancers' datagrams to callers, from the service address.
    async fn forward_to_callers(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_LEN];
        loop {
            let Ok((len, _)) = self.balancer_socket.receive(&mut buffer).await else {
                continue;
            };
            let Some((header, datagram)) = FabricHeader::decode(&buffer[..len]) else {
                continue;
            };
            let service = header.service;
            let found = self.services.binary_search_by_key(&service, |(a, ..)| *a);
            let Ok(index) = found else { continue };
            if !self.network.drops_packet() {
                self.services[index].2.send(self.delay, header.caller, datagram);
            }
        }
    }

    /// Chooses a balancer at random.
    fn pick_balancer(&self) -> Option<SocketAddr> {
        let balancers = self.balancers.lock();
        let index = self.rng.lock().usize(..balancers.len().max(1));
        balancers.get(index).copied()
    }
}
