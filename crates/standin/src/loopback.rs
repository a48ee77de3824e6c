//! A network with delay and loss between failure domains, over real sockets.

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

/// A network. Clones share it.
#[derive(Debug, Clone)]
pub struct Network {
    /// Shared by all clones.
    shared: Arc<Shared>,
}

/// State of a [`Network`].
#[derive(Debug)]
struct Shared {
    /// Runs delay lines.
    pool: Pool,
    /// One-way delay between failure domains.
    delay: Duration,
    /// Probability that a datagram between failure domains, or on the way to or from a
    /// caller, is lost.
    loss: f64,
    /// Draws losses.
    rng: Mutex<Rng>,
    /// Sorted by address; the failure domain of each link.
    domains: Mutex<Vec<(SocketAddr, usize)>>,
    /// Time since when operators have had each failure domain out.
    out: Mutex<Vec<Option<Instant>>>,
    /// Whether each failure domain has ever been out.
    was_out: Mutex<Vec<bool>>,
    /// Links of the exchange: start, and bytes sent.
    control: Mutex<Vec<(Instant, Arc<AtomicU64>)>>,
    /// Datagrams that reached a link in a failure domain that was out for [`OUT_GRACE`].
    out_packets: AtomicU64,
}

/// Time within which a failure domain that is taken out must have gone quiet.
pub const OUT_GRACE: Duration = Duration::from_secs(3);

/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADERS: u64 = 28;

/// Shortest time over which a rate is taken.
const MIN_RATE: Duration = Duration::from_secs(5);

impl Network {
    /// A network of `domains` failure domains.
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
            control: Mutex::default(),
            out_packets: AtomicU64::new(0),
        };
        Self { shared: Arc::new(shared) }
    }

    /// A link of a process in a failure domain, at a free port of loopback.
    ///
    /// # Errors
    /// If no socket can be had.
    pub fn link(&self, domain: usize) -> io::Result<Link> {
        let udp = Udp::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let local = udp.local();
        let mut domains = self.shared.domains.lock();
        let at = domains.partition_point(|(address, _)| *address < local);
        domains.insert(at, (local, domain));
        drop(domains);
        let line = Line::new(&self.shared.pool, udp.clone());
        Ok(Link { udp, network: self.clone(), domain, line, sent: None })
    }

    /// A link for the exchange, whose bytes are counted.
    ///
    /// # Errors
    /// If no socket can be had.
    pub fn control(&self, domain: usize) -> io::Result<Link> {
        let sent = Arc::new(AtomicU64::new(0));
        self.shared.control.lock().push((Instant::now(), sent.clone()));
        Ok(Link { sent: Some(sent), ..self.link(domain)? })
    }

    /// The most bytes a second that any node sent for control since its start, headers of
    /// IP and UDP included. Nodes that ran for less than 5 s are left out.
    pub fn control_rate(&self) -> Option<f64> {
        let links = self.shared.control.lock();
        let old = links.iter().filter(|(start, _)| start.elapsed() > MIN_RATE);
        let rate = |(start, sent): &(Instant, Arc<AtomicU64>)| {
            sent.load(Ordering::Relaxed) as f64 / start.elapsed().as_secs_f64()
        };
        old.map(rate).reduce(f64::max)
    }

    /// Notes that operators take a failure domain out, or bring it back.
    pub fn set_out(&self, domain: usize, out: bool) {
        self.shared.out.lock()[domain] = out.then(Instant::now);
        self.shared.was_out.lock()[domain] |= out;
    }

    /// Whether a failure domain is or has been out.
    pub fn was_out(&self, domain: usize) -> bool {
        self.shared.was_out.lock()[domain]
    }

    /// Whether a failure domain is out.
    pub fn is_out(&self, domain: usize) -> bool {
        self.shared.out.lock()[domain].is_some()
    }

    /// Datagrams that reached a failure domain after it should have gone quiet.
    pub fn out_packets(&self) -> u64 {
        self.shared.out_packets.load(Ordering::Relaxed)
    }

    /// Draws whether a datagram is lost.
    pub fn loses(&self) -> bool {
        self.shared.loss > 0.0 && self.shared.rng.lock().f64() < self.shared.loss
    }

    /// The failure domain of an address.
    fn domain(&self, address: SocketAddr) -> Option<usize> {
        let domains = self.shared.domains.lock();
        let found = domains.binary_search_by_key(&address, |(address, _)| *address);
        found.ok().map(|at| domains[at].1)
    }

    /// Counts a datagram that arrives in a failure domain.
    fn arrive(&self, domain: usize) {
        let since = self.shared.out.lock()[domain];
        if since.is_some_and(|since| since.elapsed() >= OUT_GRACE) {
            self.shared.out_packets.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// A link of one process on the network.
#[derive(Debug, Clone)]
pub struct Link {
    /// The socket.
    udp: Udp,
    /// Delay and loss.
    network: Network,
    /// The failure domain of the process.
    domain: usize,
    /// Holds datagrams for other failure domains.
    line: Line,
    /// Bytes sent, for a link of the exchange.
    sent: Option<Arc<AtomicU64>>,
}

impl lentilreach::process::link::Link for Link {
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        let received = self.udp.receive(buffer).await?;
        if self.sent.is_none() {
            // The exchange goes on, so that the failure domain can hear of its return.
            self.network.arrive(self.domain);
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
        if !self.network.loses() {
            self.line.send(self.network.shared.delay, to, bytes);
        }
        Ok(())
    }

    fn local(&self) -> SocketAddr {
        self.udp.local()
    }
}

/// Holds datagrams for a while and sends them in order.
#[derive(Debug, Clone)]
pub struct Line {
    /// Takes datagrams.
    sender: async_channel::Sender<(Instant, SocketAddr, Vec<u8>)>,
    /// Sends them when they are due.
    _task: Arc<Task<()>>,
}

/// Datagrams on a line at most; more are lost, as in a full router queue.
const LINE: usize = 16_384;

impl Line {
    /// A line that sends through a socket.
    pub fn new(pool: &Pool, udp: Udp) -> Self {
        let (sender, receiver) =
            async_channel::bounded::<(Instant, SocketAddr, Vec<u8>)>(LINE);
        let task = pool.spawn(async move {
            while let Ok((due, to, bytes)) = receiver.recv().await {
                if due > Instant::now() {
                    Timer::at(due).await;
                }
                // A full socket buffer is a loss like any other.
                let _ = udp.send(to, &bytes);
            }
        });
        Self { sender, _task: Arc::new(task) }
    }

    /// Sends a datagram after the delay, which must not vary on one line.
    pub fn send(&self, delay: Duration, to: SocketAddr, bytes: &[u8]) {
        let _ = self.sender.try_send((Instant::now() + delay, to, bytes.to_vec()));
    }
}
