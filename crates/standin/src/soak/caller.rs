//! A caller: opens one flow after the other and uses each until it is closed, reset, or its
//! backend server is gone.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use async_io::Timer;
use fastrand::Rng;
use futures_lite::future::or;
use lentilreach::process::link::{Link, MAX_DATAGRAM_LEN, Udp};
use lentilreach_platform_standin::packet::{self, ACK, FIN, Format, Packet, SYN};
use lentilreach_steer::connection::flow;
use lentilreach_steer::request::segment::{Format as _, Segment};

use super::layout::{self, Layout};
use super::payload;
use super::record::{Fact, Lifetime, Record};
use super::router::Router;

/// Delays after the copies of an opening segment; callers give up after the last one.
const OPENING_DELAYS_MS: [u64; 3] = [200, 400, 800];

/// Delays after the copies of a request. The last one repeats.
const REQUEST_DELAYS_MS: [u64; 4] = [200, 400, 800, 1_000];

/// Pause after an opening that failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Shortest and longest pause between two requests on a flow, in milliseconds.
const THINK_MS: (u64, u64) = (100, 400);

/// Shortest and longest life of every other flow, in milliseconds, so that there are openings
/// at all times.
const SHORT_LIFE_MS: (u64, u64) = (100, 2_000);

/// Shortest and longest life of the others, in milliseconds. The longest, with the time of the
/// longest fault, is far below the longest life that the settings state.
const LIFE_MS: (u64, u64) = (2_000, 20_000);

/// Time for which a caller goes on with a flow whose backend server is gone, waiting for a
/// reset, in milliseconds.
const GONE_MS: u64 = 3_000;

/// First port of a caller's flows; each flow has the next one.
const FIRST_PORT: u16 = 10_000;

/// Requests of one caller are numbered below this; the rest of a number is the caller's.
const REQUESTS_PER_CALLER: u64 = 1_000_000_000;

/// A caller.
#[derive(Debug)]
pub struct Caller {
    /// Its number.
    number: u8,
    /// Sends segments to balancers and receives those of agents.
    link: Udp,
    /// Chooses balancers.
    router: Router,
    /// Where it records what it sees.
    record: Record,
    /// Draws pauses and lives of flows.
    rng: Rng,
    /// Number of requests sent.
    requests: u64,
    /// Number of flows opened.
    flows: u16,
}

/// A flow of a caller.
#[derive(Debug, Clone, Copy)]
struct Flow {
    /// Its key.
    key: flow::Key,
    /// Next sequence number to send.
    sequence: u32,
    /// The first sequence number of the backend server.
    first: u32,
    /// Next sequence number that is expected.
    acknowledged: u32,
    /// The backend server that accepted it.
    server: Lifetime,
}

/// What arrived.
#[derive(Debug)]
enum Arrival {
    /// The flow was accepted.
    Accepted(Segment),
    /// A reset with a sequence number.
    Reset(SocketAddr, u32),
    /// An answer with data.
    Answer(Segment, Vec<u8>),
}

impl Flow {
    /// The sender, if an arrival is a reset that ends this open flow: its sequence number is
    /// one that the caller has acknowledged. The refusal of a late copy of the opening is not.
    fn reset_by(&self, arrival: &Arrival) -> Option<SocketAddr> {
        let Arrival::Reset(from, sequence) = arrival else { return None };
        let received = self.acknowledged.wrapping_sub(self.first);
        let is_valid = (1..=received).contains(&sequence.wrapping_sub(self.first));
        is_valid.then_some(*from)
    }
}

impl Caller {
    /// Creates a caller.
    ///
    /// # Errors
    /// If its address can't be bound.
    pub fn new(
        layout: &Layout,
        number: u8,
        router: Router,
        record: Record,
        seed: u64,
    ) -> io::Result<Self> {
        let link = Udp::bind(layout::callers(layout.caller(number)))?;
        let rng =
            Rng::with_seed(seed.wrapping_mul(1_000).wrapping_add(u64::from(number)));
        Ok(Self { number, link, router, record, rng, requests: 0, flows: 0 })
    }

    /// Opens flows and sends requests until the task is cancelled.
    pub async fn run(mut self) {
        loop {
            match self.open().await {
                Some(flow) => self.use_flow(flow).await,
                None => drop(Timer::after(RETRY_DELAY).await),
            }
        }
    }

    /// Opens the next flow.
    async fn open(&mut self) -> Option<Flow> {
        let SocketAddr::V4(own) = self.link.local_addr() else { return None };
        let routes = layout::routes();
        let service = routes[usize::from(self.number) % routes.len()];
        let caller = SocketAddrV4::new(*own.ip(), FIRST_PORT + self.flows);
        self.flows += 1;
        let key = flow::Key { caller, service };
        let sequence = self.rng.u32(..);
        for (copy, delay_ms) in (0..).zip(OPENING_DELAYS_MS) {
            let via = self.router.choose(&key);
            self.record.add(Fact::Opening { flow: key, via });
            self.send(&key, via, SYN, sequence, copy, &[]);
            let end = Instant::now() + Duration::from_millis(delay_ms);
            match self.receive(&key, end).await {
                Some(Arrival::Accepted(segment)) => {
                    let server = self.record.server(key, segment.sequence)?;
                    self.record.add(Fact::Opened { flow: key, server });
                    let (first, sequence) = (segment.sequence, sequence.wrapping_add(1));
                    let acknowledged = first.wrapping_add(1);
                    return Some(Flow { key, sequence, first, acknowledged, server });
                }
                Some(Arrival::Reset(..)) => break,
                Some(Arrival::Answer(..)) | None => {}
            }
        }
        self.record.add(Fact::NotOpened { flow: key });
        None
    }

    /// Sends requests on a flow until its life has passed or it is gone.
    async fn use_flow(&mut self, mut flow: Flow) {
        let (least, most) = if self.rng.bool() { SHORT_LIFE_MS } else { LIFE_MS };
        let life_ms = self.rng.u64(least..=most);
        let end_ms = self.record.now_ms() + life_ms;
        while self.record.now_ms() < end_ms {
            if !self.request(&mut flow).await {
                return;
            }
            let think = Duration::from_millis(self.rng.u64(THINK_MS.0..=THINK_MS.1));
            let end = Instant::now() + think;
            while let Some(arrival) = self.receive(&flow.key, end).await {
                if let Some(from) = flow.reset_by(&arrival) {
                    return self.record.add(Fact::Reset { flow: flow.key, from });
                }
            }
        }
        let via = self.router.choose(&flow.key);
        self.record.add(Fact::Closed { flow: flow.key });
        self.send(&flow.key, via, FIN | ACK, flow.sequence, flow.acknowledged, &[]);
    }

    /// Sends a request until it is answered; returns whether the flow is still open.
    async fn request(&mut self, flow: &mut Flow) -> bool {
        let request = u64::from(self.number) * REQUESTS_PER_CALLER + self.requests;
        self.requests += 1;
        self.record.add(Fact::Sent { flow: flow.key, request });
        let data = payload::encode(request);
        let mut gone_ms = None;
        for copy in 0.. {
            let via = self.router.choose(&flow.key);
            self.send(&flow.key, via, ACK, flow.sequence, flow.acknowledged, &data);
            let index = REQUEST_DELAYS_MS.len().min(copy + 1) - 1;
            let end = Instant::now() + Duration::from_millis(REQUEST_DELAYS_MS[index]);
            while let Some(arrival) = self.receive(&flow.key, end).await {
                if let Some(from) = flow.reset_by(&arrival) {
                    self.record.add(Fact::Reset { flow: flow.key, from });
                    return false;
                }
                match arrival {
                    Arrival::Answer(segment, bytes)
                        if segment.sequence == flow.acknowledged && bytes == data =>
                    {
                        self.record.add(Fact::Answered { flow: flow.key, request });
                        let length = data.len() as u32;
                        flow.sequence = flow.sequence.wrapping_add(length);
                        flow.acknowledged = flow.acknowledged.wrapping_add(length);
                        return true;
                    }
                    // A copy of an earlier answer or of the acceptance, or the refusal of a
                    // late copy of the opening.
                    Arrival::Answer(..) | Arrival::Accepted(_) | Arrival::Reset(..) => {}
                }
            }
            let now_ms = self.record.now_ms();
            if !self.record.is_living(flow.server)
                && now_ms > *gone_ms.get_or_insert(now_ms) + GONE_MS
            {
                self.record.add(Fact::Closed { flow: flow.key });
                return false;
            }
        }
        false
    }

    /// Sends a segment through a balancer. It is lost if the balancer isn't there.
    fn send(
        &self,
        flow: &flow::Key,
        via: SocketAddr,
        flags: u8,
        sequence: u32,
        acknowledged: u32,
        data: &[u8],
    ) {
        let (source, destination) = (flow.caller, flow.service);
        let packet = Packet { source, destination, flags, sequence, acknowledged, data };
        let _ = self.link.send(via, &packet.bytes());
    }

    /// Waits until `end` for a segment of a flow. Segments of this caller's earlier flows are
    /// left out.
    async fn receive(&self, flow: &flow::Key, end: Instant) -> Option<Arrival> {
        let mut buffer = [0; MAX_DATAGRAM_LEN];
        loop {
            let timeout = async {
                Timer::at(end).await;
                Err(io::ErrorKind::TimedOut.into())
            };
            let (length, from) = match or(self.link.receive(&mut buffer), timeout).await {
                Ok(received) => received,
                Err(error) if error.kind() == io::ErrorKind::TimedOut => return None,
                // An error only tells that a balancer wasn't there.
                Err(_) => continue,
            };
            let bytes = &buffer[..length];
            let Ok(segment) = Format.read(bytes) else { continue };
            let key = segment.flow_from_backend();
            let data = packet::data(bytes);
            if self.is_stray(&key, data) {
                let caller = self.link.local_addr();
                self.record.add(Fact::Strayed { flow: key, from, caller });
            } else if key == *flow {
                return Some(match segment.flags {
                    flags if flags.reset => Arrival::Reset(from, segment.sequence),
                    flags if flags.open => Arrival::Accepted(segment),
                    _ => Arrival::Answer(segment, data.to_vec()),
                });
            }
        }
    }

    /// Whether a segment isn't for this caller, or has the answer to a request of another.
    fn is_stray(&self, flow: &flow::Key, data: &[u8]) -> bool {
        let SocketAddr::V4(own) = self.link.local_addr() else { return true };
        let owner = payload::request(data).map(|request| request / REQUESTS_PER_CALLER);
        flow.caller.ip() != own.ip() || owner.is_some_and(|n| n != u64::from(self.number))
    }
}
