//! A client that opens flows through the fronts of its zone.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicU16, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::target::random;
use crate::world::{DATAGRAM, Record};

/// Times of the copies of a SYN, and the time at which the attempt ends.
const SYN_TIMES_MS: [u64; 3] = [0, 200, 600];
const OPEN_MS: u64 = 1_400;

/// A reset is valid if its sequence is this close to the last acknowledgement.
const RESET_WINDOW: u32 = 76_800;

#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// Opened, or answered with these bytes.
    Done(String),
    /// The system has reset the flow.
    ResetBySystem,
    /// The target has reset the flow.
    ResetByTarget,
    TimedOut,
}

pub struct Client {
    ip: Ipv4Addr,
    socket: UdpSocket,
    /// Addresses of the fronts that are in rotation.
    pub fronts: Mutex<Vec<SocketAddrV4>>,
    flows: Mutex<BTreeMap<u16, Sender<Packet>>>,
    next_port: AtomicU16,
    next_front: AtomicUsize,
    record: Record,
}

pub struct Flow {
    client: Arc<Client>,
    source: SocketAddrV4,
    route: SocketAddrV4,
    /// The front that the routers' hash has chosen.
    front: SocketAddrV4,
    packets: Receiver<Packet>,
    sequence: u32,
    ack: u32,
    /// When the first SYN was sent, in milliseconds.
    pub sent_ms: u64,
    is_open: bool,
}

impl Client {
    pub fn start(
        ip: Ipv4Addr,
        fronts: Vec<SocketAddrV4>,
        record: &Record,
    ) -> Result<Arc<Self>, String> {
        let socket = UdpSocket::bind((ip, DATAGRAM))
            .map_err(|error| format!("client: {error}"))?;
        let client = Arc::new(Self {
            ip,
            socket,
            fronts: Mutex::new(fronts),
            flows: Mutex::default(),
            next_port: AtomicU16::new(40_001),
            next_front: AtomicUsize::new(0),
            record: record.clone(),
        });
        let own = client.clone();
        std::thread::spawn(move || {
            let mut buffer = [0; 2_048];
            while let Ok((length, _)) = own.socket.recv_from(&mut buffer) {
                let Some(packet) = Packet::read(&buffer[..length]) else { continue };
                let flows = own.flows.lock().unwrap();
                if let Some(flow) = flows.get(&packet.destination.port()) {
                    let _ = flow.send(packet);
                }
            }
        });
        Ok(client)
    }

    /// Opens a flow to a route.
    pub fn open(self: &Arc<Self>, route: SocketAddrV4) -> Result<Flow, (u64, Outcome)> {
        let port = self.next_port.fetch_add(1, Ordering::Relaxed);
        let (sender, packets) = channel();
        self.flows.lock().unwrap().insert(port, sender);
        let front = {
            let fronts = self.fronts.lock().unwrap();
            fronts[self.next_front.fetch_add(1, Ordering::Relaxed) % fronts.len()]
        };
        let mut flow = Flow {
            client: self.clone(),
            source: SocketAddrV4::new(self.ip, port),
            route,
            front,
            packets,
            sequence: random(),
            ack: 0,
            sent_ms: self.record.now_ms(),
            is_open: false,
        };
        let outcome = flow.shake_hands();
        self.record.line(&format!(
            "client opens {} to {route} through {front}: {outcome:?}",
            flow.source
        ));
        match outcome {
            Outcome::Done(_) => Ok(flow),
            outcome => Err((flow.sent_ms, outcome)),
        }
    }
}

impl Flow {
    fn send(&self, flags: u8, sequence: u32, ack: u32, data: &[u8]) {
        let packet = Packet::new(self.source, self.route, flags, sequence, ack, data);
        let _ = self.client.socket.send_to(&packet.bytes(), self.front);
    }

    fn shake_hands(&mut self) -> Outcome {
        let start = Instant::now();
        let mut copies = 0;
        loop {
            let passed = start.elapsed().as_millis() as u64;
            if copies < SYN_TIMES_MS.len() && passed >= SYN_TIMES_MS[copies] {
                self.send(SYN, self.sequence, copies as u32, &[]);
                copies += 1;
            }
            if passed >= OPEN_MS {
                return Outcome::TimedOut;
            }
            let due = SYN_TIMES_MS.get(copies).copied().unwrap_or(OPEN_MS);
            let wait = Duration::from_millis(due.saturating_sub(passed).max(1));
            match self.packets.recv_timeout(wait) {
                Ok(packet) if packet.has(RST) => return reset_by(&packet),
                Ok(packet) if packet.has(SYN) && packet.has(ACK) => {
                    self.sequence = self.sequence.wrapping_add(1);
                    self.ack = packet.sequence.wrapping_add(1);
                    self.is_open = true;
                    self.send(ACK, self.sequence, self.ack, &[]);
                    return Outcome::Done(String::new());
                }
                Ok(_) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Outcome::TimedOut,
            }
        }
    }

    /// Sends a request and waits for its answer.
    pub fn request(&mut self, text: &str, budget: Duration) -> Outcome {
        let record = self.client.record.clone();
        record.line(&format!("client {} sends {text}", self.source));
        let outcome = self.exchange(text, budget);
        record.line(&format!("client {}: {outcome:?} for {text}", self.source));
        outcome
    }

    fn exchange(&mut self, text: &str, budget: Duration) -> Outcome {
        let start = Instant::now();
        let mut interval = Duration::from_millis(200);
        let mut due = Instant::now();
        loop {
            let now = Instant::now();
            if now.duration_since(start) >= budget {
                return Outcome::TimedOut;
            }
            if now >= due {
                self.send(ACK, self.sequence, self.ack, text.as_bytes());
                due = now + interval;
                interval = (interval * 2).min(Duration::from_millis(1_600));
            }
            let end = due.min(start + budget);
            let wait = end.saturating_duration_since(now).max(Duration::from_millis(1));
            match self.packets.recv_timeout(wait) {
                Ok(packet) if self.is_valid_reset(&packet) => return reset_by(&packet),
                Ok(packet) if packet.sequence == self.ack && !packet.data.is_empty() => {
                    self.sequence = self.sequence.wrapping_add(text.len() as u32);
                    self.ack = self.ack.wrapping_add(packet.data.len() as u32);
                    self.send(ACK, self.sequence, self.ack, &[]);
                    return Outcome::Done(
                        String::from_utf8_lossy(&packet.data).into_owned(),
                    );
                }
                Ok(_) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Outcome::TimedOut,
            }
        }
    }

    /// Waits for a reset while the flow is idle.
    pub fn idle(&mut self, time: Duration) -> Option<Outcome> {
        let end = Instant::now() + time;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            match self.packets.recv_timeout(left) {
                Ok(packet) if self.is_valid_reset(&packet) => {
                    return Some(reset_by(&packet));
                }
                _ => {}
            }
        }
    }

    pub fn close(self) {
        self.send(FIN | ACK, self.sequence, self.ack, &[]);
    }

    fn is_valid_reset(&self, packet: &Packet) -> bool {
        let ahead = packet.sequence.wrapping_sub(self.ack);
        let distance = ahead.min(ahead.wrapping_neg());
        packet.has(RST) && (!self.is_open || distance <= RESET_WINDOW)
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.client.flows.lock().unwrap().remove(&self.source.port());
    }
}

/// A reset of the system's own has sum 0.
fn reset_by(packet: &Packet) -> Outcome {
    if packet.sum == 0 { Outcome::ResetBySystem } else { Outcome::ResetByTarget }
}
