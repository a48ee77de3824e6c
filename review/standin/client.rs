//! Clients that open a flow for one request or for several with pauses between them.

use std::collections::HashMap;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::record::{self, Flow, What};

const SYN_COPIES_MS: [u64; 3] = [0, 200, 600];
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Time budget of a request.
const BUDGET: Duration = Duration::from_millis(2_000);

/// Traffic of one client to one route.
#[derive(Debug, Clone)]
pub struct Traffic {
    /// The client's address, at the port at which it receives packets.
    pub address: SocketAddrV4,
    /// The route.
    pub route: SocketAddrV4,
    /// Addresses of the nodes that the router chooses among by the flow's hash.
    pub fronts: Vec<SocketAddrV4>,
    /// New flows a second.
    pub per_s: f64,
    /// Requests in a flow, and the pause before each but the first.
    pub requests: u32,
    pub pause: Duration,
    pub name: String,
}

/// A running client. Its flows end with it.
pub struct Client {
    is_ended: Arc<AtomicBool>,
    rate: Arc<Mutex<f64>>,
    thread: Option<JoinHandle<()>>,
}

impl Client {
    pub fn start(traffic: Traffic) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(traffic.address)?;
        socket.set_read_timeout(Some(Duration::from_millis(1)))?;
        let is_ended = Arc::new(AtomicBool::new(false));
        let rate = Arc::new(Mutex::new(traffic.per_s));
        let (ended, shared) = (is_ended.clone(), rate.clone());
        let thread = thread::spawn(move || run(&socket, &traffic, &shared, &ended));
        Ok(Self { is_ended, rate, thread: Some(thread) })
    }

    /// Lets the client open no more flows. Those that are open go on.
    pub fn open_no_more(&self) {
        *self.rate.lock().unwrap() = 0.0;
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.is_ended.store(true, SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A flow of the client with its current request.
struct Attempt {
    flow: Flow,
    name: String,
    /// When the flow's first packet was due.
    start: Instant,
    /// Sequence number of the opening packet.
    first: u32,
    copies: usize,
    /// The next sequence number of the target, once the flow is open.
    expected: Option<u32>,
    /// The next sequence number of the client, before the current request.
    next: u32,
    /// Number of the current request from 1, when it was due, whether it was acknowledged or
    /// answered.
    number: u32,
    since: Instant,
    is_acknowledged: bool,
    is_answered: bool,
    /// The request's next retransmission and its interval.
    again: Instant,
    interval: Duration,
}

const RETRANSMISSION: Duration = Duration::from_millis(200);

fn run(socket: &UdpSocket, traffic: &Traffic, rate: &Mutex<f64>, is_ended: &AtomicBool) {
    let mut attempts: HashMap<u16, Attempt> = HashMap::new();
    let mut port = 20_000;
    let mut number = 0;
    let mut due = Instant::now();
    let mut random = std::process::id() ^ u32::from(*traffic.address.ip()) | 1;
    while !is_ended.load(SeqCst) {
        let per_s = *rate.lock().unwrap();
        let now = Instant::now();
        if per_s <= 0.0 {
            due = now;
        } else if now >= due {
            due += Duration::from_secs_f64(1.0 / per_s);
            random ^= random << 13;
            random ^= random >> 17;
            random ^= random << 5;
            port = if port >= 60_000 { 20_000 } else { port + 1 };
            number += 1;
            let flow = (SocketAddrV4::new(*traffic.address.ip(), port), traffic.route);
            attempts.insert(
                port,
                Attempt::new(flow, format!("{}-{number}", traffic.name), random),
            );
        }
        let mut buffer = [0; 2_048];
        if let Ok((length, _)) = socket.recv_from(&mut buffer)
            && let Some(packet) = Packet::decode(&buffer[..length])
            && let Some(attempt) = attempts.get_mut(&packet.to.port())
            && packet.from == attempt.flow.1
            && attempt.receive(socket, traffic, &packet)
        {
            attempts.remove(&packet.to.port());
        }
        attempts.retain(|_, attempt| attempt.tick(socket, traffic));
    }
}

impl Attempt {
    fn new(flow: Flow, name: String, first: u32) -> Self {
        let now = Instant::now();
        Self {
            flow,
            name,
            start: now,
            first,
            copies: 0,
            expected: None,
            next: first.wrapping_add(1),
            number: 1,
            since: now,
            is_acknowledged: false,
            is_answered: false,
            again: now,
            interval: RETRANSMISSION,
        }
    }

    fn id(&self) -> String {
        format!("{}.{}", self.name, self.number)
    }

    /// Sends a packet to the node that the router selects.
    fn send(&self, socket: &UdpSocket, traffic: &Traffic, packet: &Packet) {
        let (ip, port) = (u32::from(*self.flow.0.ip()), u32::from(self.flow.0.port()));
        let hash = ip.wrapping_mul(31) ^ port.wrapping_mul(2_654_435_761);
        let front = traffic.fronts[(hash >> 8) as usize % traffic.fronts.len()];
        let _ = socket.send_to(&packet.encode(), front);
    }

    fn request(&self, expected: u32) -> Packet {
        let mut packet = Packet::new(self.flow.0, self.flow.1, ACK, self.next, expected);
        let id = self.id();
        packet.data =
            format!("GET /{id} HTTP/1.1\r\nHost: service\r\nAttempt-Id: {id}\r\n\r\n")
                .into();
        packet
    }

    fn send_request(&mut self, socket: &UdpSocket, traffic: &Traffic, expected: u32) {
        self.again = Instant::now() + self.interval;
        let request = self.request(expected);
        self.send(socket, traffic, &request);
    }

    /// Processes a packet. Returns whether the flow has ended.
    fn receive(
        &mut self,
        socket: &UdpSocket,
        traffic: &Traffic,
        packet: &Packet,
    ) -> bool {
        if packet.has(RST) {
            let is_open = self.expected.is_some();
            let is_near = self.expected.is_none_or(|own| {
                own.wrapping_sub(packet.seq).wrapping_add(76_800) <= 2 * 76_800
            });
            let is_genuine = packet.is_genuine;
            record::add(What::Reset { flow: self.flow, is_open, is_genuine, is_near });
            return is_near;
        }
        if !packet.is_genuine {
            record::note(format!("{}: a packet that no target wrote so", self.name));
            return false;
        }
        if packet.has(SYN) {
            if self.expected.is_none() {
                let expected = packet.seq.wrapping_add(1);
                self.expected = Some(expected);
                record::add(What::SentRequest { flow: self.flow, id: self.id() });
                self.send_request(socket, traffic, expected);
            }
            return false;
        }
        let Some(expected) = self.expected else { return false };
        let end = self.next.wrapping_add(self.request(expected).data.len() as u32);
        if packet.ack == end && !self.is_answered {
            self.is_acknowledged = true;
        }
        if packet.data.is_empty() || packet.seq != expected || self.is_answered {
            return false;
        }
        let expected = expected.wrapping_add(packet.data.len() as u32);
        self.expected = Some(expected);
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        let by = text.lines().last().unwrap_or_default().to_owned();
        record::add(What::Answered { id: self.id(), by });
        let is_last = self.number >= traffic.requests;
        let flags = if is_last { ACK | FIN } else { ACK };
        let answer = Packet::new(self.flow.0, self.flow.1, flags, end, expected);
        self.send(socket, traffic, &answer);
        self.is_answered = true;
        self.next = end;
        self.since = Instant::now() + traffic.pause;
        is_last
    }

    /// Sends what is due. Returns whether the flow goes on.
    fn tick(&mut self, socket: &UdpSocket, traffic: &Traffic) -> bool {
        let now = Instant::now();
        let age = now.saturating_duration_since(self.start);
        let Some(expected) = self.expected else {
            if age >= OPEN_TIMEOUT {
                record::add(What::GaveUp { flow: self.flow, is_open: false });
                return false;
            }
            if self.copies < SYN_COPIES_MS.len()
                && age.as_millis() as u64 >= SYN_COPIES_MS[self.copies]
            {
                let copy = self.copies as u32;
                let packet = Packet::new(self.flow.0, self.flow.1, SYN, self.first, copy);
                record::add(What::SentOpening { flow: self.flow, copy });
                self.send(socket, traffic, &packet);
                self.copies += 1;
            }
            return true;
        };
        if self.is_answered {
            if now >= self.since {
                self.number += 1;
                (self.is_answered, self.is_acknowledged) = (false, false);
                self.interval = RETRANSMISSION;
                record::add(What::SentRequest { flow: self.flow, id: self.id() });
                self.send_request(socket, traffic, expected);
            }
            return true;
        }
        if now.saturating_duration_since(self.since) >= BUDGET {
            record::add(What::GaveUp { flow: self.flow, is_open: true });
            return false;
        }
        if !self.is_acknowledged && now >= self.again {
            self.interval = (self.interval * 2).min(Duration::from_millis(1_600));
            self.send_request(socket, traffic, expected);
        }
        true
    }
}
