//! An emulated network over loopback sockets, with delay and loss between failure domains.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_io::Timer;
use fastrand::Rng;
use lentilreach::process::link::{Link as _, Udp};
use lentilreach::process::pool::Pool;
use parking_lot::Mutex;
use smol::Task;

/// An emulated network. Clones share its state.
#[derive(Debug, Clone)]
pub struct Network {
    /// Shared by all clones.
    shared: Arc<Shared>,
}

/// Shared state of a [`Network`].
#[derive(Debug)]
struct Shared {
    /// Runs delay lines.
    pool: Pool,
    /// One-way delay between failure domains.
    delay: Duration,
    /// Probability that a datagram between failure domains, or on the way to or from a
    /// caller, is lost.
    loss: f64,
    /// Decides which datagrams are lost.
    rng: Mutex<Rng>,
    /// The failure domain of each link, sorted by address.
    domains: Mutex<Vec<(SocketAddr, usize)>>,
    /// When each failure domain was taken out of service, if it is.
    out: Mutex<Vec<Option<Instant>>>,
    /// Whether each failure domain has ever been out of service.
    was_out: Mutex<Vec<bool>>,
    /// Links of gossip: start time and bytes sent.
    gossip_links: Mutex<Vec<(Instant, Arc<AtomicU64>)>>,
    /// Datagrams that reached a failure domain [`OUT_GRACE`] or longer after it was taken out.
    packets_while_out: AtomicU64,
}

/// Time after which a failure domain that was taken out must not receive datagrams.
pub const OUT_GRACE: Duration = Duration::from_secs(3);

/// Size of the IPv4 and UDP headers of a datagram, in bytes.
const HEADERS: u64 = 28;

/// Minimum time over which a rate is computed.
const MIN_RATE_PERIOD: Duration = Duration::from_secs(5);

impl Network {
    /// Creates a network with `domains` failure domains.
    pub fn new(
        pool: Pool,
        domains: usize,
        delay: Duration,
        loss: f64,
        seed: u64,
    ) -> Self {
        let shared = Shared {
            pool,
            delay,
            loss,
            rng: Mutex::new(Rng::with_seed(seed)),
            domains: Mutex::default(),
            out: Mutex::new(vec![None; domains]),
            was_out: Mutex::new(vec![false; domains]),
            gossip_links: Mutex::default(),
            packets_while_out: AtomicU64::new(0),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Creates a link for a process in a failure domain, on a free loopback port.
    ///
    /// # Errors
    /// Returns an error if no socket can be bound.
    pub fn link(&self, domain: usize) -> io::Result<Link> {
        let udp = Udp::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let local = udp.local_addr();
        let mut domains = self.shared.domains.lock();
        let index = domains.partition_point(|(address, _)| *address < local);
        domains.insert(index, (local, domain));
        drop(domains);
        let delay_line = DelayLine::new(&self.shared.pool, udp.clone());
        Ok(Link { udp, network: self.clone(), domain, delay_line, sent: None })
    }

    /// Creates a link for gossip, whose sent bytes are counted.
    ///
    /// # Errors
    /// Returns an error if no socket can be bound.
    pub fn gossip_link(&self, domain: usize) -> io::Result<Link> {
        let sent = Arc::new(AtomicU64::new(0));
        self.shared.gossip_links.lock().push((Instant::now(), sent.clone()));
        Ok(Link { sent: Some(sent), ..self.link(domain)? })
    }

    /// The highest rate at which a node has sent gossip traffic since its start, in bytes
    /// per second including IP and UDP headers. Ignores nodes that ran for less than 5 s.
    pub fn max_gossip_bytes_per_s(&self) -> Option<f64> {
        let links = self.shared.gossip_links.lock();
        let old = links.iter().filter(|(start, _)| start.elapsed() > MIN_RATE_PERIOD);
        let rate = |(start, sent): &(Instant, Arc<AtomicU64>)| {
            sent.load(Ordering::Relaxed) as f64 / start.elapsed().as_secs_f64()
        };
        old.map(rate).reduce(f64::max)
    }

    /// Records that operators took a failure domain out of service, or brought it back.
    pub fn set_out(&self, domain: usize, out: bool) {
        self.shared.out.lock()[domain] = out.then(Instant::now);
        self.shared.was_out.lock()[domain] |= out;
    }

    /// Whether a failure domain is or has been out of service.
    pub fn was_out(&self, domain: usize) -> bool {
        self.shared.was_out.lock()[domain]
    }

    /// Whether a failure domain is out of service.
    pub fn is_out(&self, domain: usize) -> bool {
        self.shared.out.lock()[domain].is_some()
    }

    /// Number of datagrams that reached a failure domain when it should no longer receive any.
    pub fn packets_while_out(&self) -> u64 {
        self.shared.packets_while_out.load(Ordering::Relaxed)
    }

    /// Decides at random whether a datagram is lost.
    pub fn drops_packet(&self) -> bool {
        self.shared.loss > 0.0 && self.shared.rng.lock().f64() < self.shared.loss
    }

    /// The failure domain of an address.
    fn domain(&self, address: SocketAddr) -> Option<usize> {
        let domains = self.shared.domains.lock();
        let found = domains.binary_search_by_key(&address, |(address, _)| *address);
        found.ok().map(|index| domains[index].1)
    }

    /// Counts a datagram if its failure domain should no longer receive any.
    fn check_arrival(&self, domain: usize) {
        let since = self.shared.out.lock()[domain];
        if since.is_some_and(|since| since.elapsed() >= OUT_GRACE) {
            self.shared.packets_while_out.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// A process's socket on the network.
#[derive(Debug, Clone)]
pub struct Link {
    /// The socket.
    udp: Udp,
    /// The network, for delay and loss.
    network: Network,
    /// The failure domain of the process.
    domain: usize,
    /// Delays datagrams to other failure domains.
    delay_line: DelayLine,
    /// Bytes sent, counted on links of gossip only.
    sent: Option<Arc<AtomicU64>>,
}

impl lentilreach::process::link::Link for Link {
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        let received = self.udp.receive(buffer).await?;
        if self.sent.is_none() {
            // Gossip links are not checked: gossip continues while the domain is out,
            // so that it learns when it is back in service.
            self.network.check_arrival(self.domain);
        }
        Ok(received)
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) -> io::Result<()> {
        if let Some(sent) = &self.sent {
            sent.fetch_add(bytes.len() as u64 + HEADERS, Ordering::Relaxed);
        }
        if self.network.domain(to).is_none_or(|domain| domain == self.domain) {
            return self.udp.send(to, bytes);
        }
        if !self.network.drops_packet() {
            self.delay_line.send(self.network.shared.delay, to, bytes);
        }
        Ok(())
    }

    fn local_addr(&self) -> SocketAddr {
        self.udp.local_addr()
    }
}

/// Delays datagrams by a constant time and sends them in order.
#[derive(Debug, Clone)]
pub struct DelayLine {
    /// Queues datagrams.
    sender: async_channel::Sender<(Instant, SocketAddr, Vec<u8>)>,
    /// Sends them when they are due.
    _task: Arc<Task<()>>,
}

/// Maximum number of queued datagrams. More are dropped, as in a full router queue.
const MAX_QUEUED_DATAGRAMS: usize = 16_384;

impl DelayLine {
    /// Creates a delay line that sends through a socket.
    pub fn new(pool: &Pool, udp: Udp) -> Self {
        let (sender, receiver) = async_channel::bounded::<(Instant, SocketAddr, Vec<u8>)>(
            MAX_QUEUED_DATAGRAMS,
        );
        let task = pool.spawn(async move {
            while let Ok((due, to, bytes)) = receiver.recv().await {
                if due > Instant::now() {
                    Timer::at(due).await;
                }
                // A send error, such as a full socket buffer, counts as packet loss.
                let _ = udp.send(to, &bytes);
            }
        });
        Self { sender, _task: Arc::new(task) }
    }

    /// Sends a datagram after a delay, which must be constant for a delay line.
    pub fn send(&self, delay: Duration, to: SocketAddr, bytes: &[u8]) {
        let _ = self.sender.try_send((Instant::now() + delay, to, bytes.to_vec()));
    }
}
