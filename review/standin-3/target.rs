//! A target beside an agent: packets over UDP, health checks over TCP, and status reports.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::packet::{ACK, FIN, Packet, RST, SYN, bounced};
use crate::world::{APP, CONTROL, HEARTBEAT, Machine, OUTBOUND, Record, unix_ms};

/// How a target works.
#[derive(Clone, Copy)]
pub struct Work {
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Requests that may wait for a slot before it stops to accept flows.
    pub queue: u32,
    /// Time that a request takes.
    pub time: Duration,
    /// Flows that it holds.
    pub max_flows: usize,
}

/// What a target has run.
#[derive(Debug, Clone)]
pub struct Run {
    /// The request, as the client named it.
    pub request: String,
    /// The target.
    pub target: String,
    pub service: String,
    /// When the opening packet of its flow arrived, in milliseconds.
    pub opened_ms: u64,
    /// When it ran, in milliseconds.
    pub at_ms: u64,
}

struct Flow {
    client_sequence: u32,
    own_sequence: u32,
    is_open: bool,
    /// Next byte expected from the client.
    expected: u32,
    /// Next byte to send.
    next: u32,
    /// The last answer, which is sent again if its request is.
    answer: Vec<u8>,
    opened_ms: u64,
}

pub struct Target {
    pub id: String,
    pub service: String,
    born: u64,
    socket: UdpSocket,
    outbound: SocketAddrV4,
    control: SocketAddrV4,
    work: Work,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    flows: Mutex<BTreeMap<(SocketAddrV4, SocketAddrV4), Flow>>,
    /// Requests that wait for a slot or run.
    busy: AtomicU32,
    running: Mutex<u32>,
    freed: Condvar,
    sequence: AtomicU64,
    /// Reports that were acknowledged.
    pub acked: AtomicU64,
    is_draining: AtomicBool,
    is_gone: AtomicBool,
    /// Flows that it has reset.
    pub resets: AtomicU64,
}

impl Target {
    /// Starts a target beside a machine's agent.
    pub fn start(
        id: &str,
        machine: &Machine,
        work: Work,
        record: &Record,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Result<Arc<Self>, String> {
        let app = machine.at(APP);
        let socket =
            UdpSocket::bind(app).map_err(|error| format!("target {id}: {error}"))?;
        let listener =
            TcpListener::bind(app).map_err(|error| format!("target {id}: {error}"))?;
        let target = Arc::new(Self {
            id: id.to_owned(),
            service: machine.service.clone(),
            born: unix_ms(),
            socket,
            outbound: machine.at(OUTBOUND),
            control: machine.at(CONTROL),
            work,
            record: record.clone(),
            runs: runs.clone(),
            flows: Mutex::default(),
            busy: AtomicU32::new(0),
            running: Mutex::new(0),
            freed: Condvar::new(),
            sequence: AtomicU64::new(0),
            acked: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
            resets: AtomicU64::new(0),
        });
        record.line(&format!("target {id} ({}) started at {app}", target.service));
        let own = target.clone();
        std::thread::spawn(move || own.receive());
        let own = target.clone();
        std::thread::spawn(move || own.report_in_turn(&machine_zone(&own.id)));
        let own = target.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                own.answer_health(stream);
            }
        });
        Ok(target)
    }

    /// Number of open flows.
    pub fn open(&self) -> usize {
        self.flows.lock().unwrap().values().filter(|flow| flow.is_open).count()
    }

    fn receive(self: Arc<Self>) {
        let mut buffer = [0; 2_048];
        while let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
            if self.is_gone.load(Ordering::Relaxed) {
                return;
            }
            if let Some(packet) = Packet::read(&buffer[..length]) {
                self.handle(packet, &buffer[..length]);
            }
        }
    }

    fn send(&self, bytes: &[u8]) {
        let _ = self.socket.send_to(bytes, self.outbound);
    }

    /// Sends a packet of a flow.
    fn reply(&self, to: &Packet, flags: u8, sequence: u32, ack: u32, data: &[u8]) {
        let packet = Packet::new(to.destination, to.source, flags, sequence, ack, data);
        self.send(&packet.bytes());
    }

    fn handle(self: &Arc<Self>, packet: Packet, bytes: &[u8]) {
        let key = (packet.source, packet.destination);
        let mut flows = self.flows.lock().unwrap();
        if packet.has(SYN) && packet.has(ACK) {
            return self.record.line(&format!("target {}: forged SYN+ACK", self.id));
        }
        if packet.has(SYN) {
            let is_same = flows
                .get(&key)
                .is_some_and(|flow| flow.client_sequence == packet.sequence);
            let is_full = self.busy.load(Ordering::Relaxed)
                >= self.work.slots + self.work.queue
                || flows.len() >= self.work.max_flows;
            if !is_same && is_full {
                drop(flows);
                return self.send(&bounced(bytes));
            }
            if !is_same {
                let own_sequence = random();
                let flow = Flow {
                    client_sequence: packet.sequence,
                    own_sequence,
                    is_open: false,
                    expected: packet.sequence.wrapping_add(1),
                    next: own_sequence.wrapping_add(1),
                    answer: Vec::new(),
                    opened_ms: self.record.now_ms(),
                };
                flows.insert(key, flow);
            }
            let flow = &flows[&key];
            let ack = flow.client_sequence.wrapping_add(1);
            return self.reply(&packet, SYN | ACK, flow.own_sequence, ack, &[]);
        }
        let Some(flow) = flows.get_mut(&key) else {
            drop(flows);
            return self.send(&bounced(bytes));
        };
        if !flow.is_open && packet.ack != flow.own_sequence.wrapping_add(1) {
            // The client has chosen another target.
            drop(flows);
            return self.send(&bounced(bytes));
        }
        flow.is_open = true;
        if packet.has(RST) {
            flows.remove(&key);
            return;
        }
        if !packet.data.is_empty() && packet.sequence == flow.expected {
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
            flow.answer = Vec::new();
            let (ack, next, opened_ms) = (flow.expected, flow.next, flow.opened_ms);
            drop(flows);
            self.busy.fetch_add(1, Ordering::Relaxed);
            let own = self.clone();
            std::thread::spawn(move || own.run(packet, ack, next, opened_ms));
            return;
        }
        if !packet.data.is_empty() && !flow.answer.is_empty() {
            let answer = flow.answer.clone();
            drop(flows);
            return self.send(&answer);
        }
        if packet.has(FIN) {
            let (ack, next) = (packet.sequence.wrapping_add(1), flow.next);
            flows.remove(&key);
            drop(flows);
            self.reply(&packet, FIN | ACK, next, ack, &[]);
        }
    }

    /// Runs a request once it has a slot, and answers it.
    fn run(&self, packet: Packet, ack: u32, next: u32, opened_ms: u64) {
        let mut running = self.running.lock().unwrap();
        while *running >= self.work.slots {
            running = self.freed.wait(running).unwrap();
        }
        *running += 1;
        drop(running);
        let request = String::from_utf8_lossy(&packet.data).into_owned();
        let at_ms = self.record.now_ms();
        self.record
            .line(&format!("target {} ({}) runs {request}", self.id, self.service));
        let (target, service) = (self.id.clone(), self.service.clone());
        self.runs.lock().unwrap().push(Run {
            request,
            target,
            service,
            opened_ms,
            at_ms,
        });
        std::thread::sleep(self.work.time);
        *self.running.lock().unwrap() -= 1;
        self.freed.notify_one();
        self.busy.fetch_sub(1, Ordering::Relaxed);
        let data =
            format!("answer of {} to {}", self.id, String::from_utf8_lossy(&packet.data));
        let answer = Packet::new(
            packet.destination,
            packet.source,
            ACK,
            next,
            ack,
            data.as_bytes(),
        );
        let bytes = answer.bytes();
        let mut flows = self.flows.lock().unwrap();
        if let Some(flow) = flows.get_mut(&(packet.source, packet.destination)) {
            flow.next = next.wrapping_add(data.len() as u32);
            flow.answer = bytes.clone();
            drop(flows);
            self.send(&bytes);
        }
    }

    fn report_in_turn(&self, zone: &str) {
        while !self.is_gone.load(Ordering::Relaxed) {
            let start = Instant::now();
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let state = if self.is_draining.load(Ordering::Relaxed) {
                "draining"
            } else {
                "ready"
            };
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}:{APP}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"coldRemainingMs\":0,\"seq\":{sequence},\"born\":{}}}",
                self.service,
                self.control.ip(),
                self.work.slots,
                self.born
            );
            if put(self.control, &self.id, &body) == Some(200) {
                self.acked.fetch_add(1, Ordering::Relaxed);
                std::thread::sleep(HEARTBEAT.saturating_sub(start.elapsed()));
            } else {
                std::thread::sleep(Duration::from_millis(100));
            }
        }
    }

    fn answer_health(&self, mut stream: TcpStream) {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
        let mut request = [0; 1_024];
        if matches!(stream.read(&mut request), Ok(length) if length > 0) {
            let head =
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            let _ = stream.write_all(head.as_bytes());
        }
    }
}

/// Sends a status report. Returns the status of the answer, if it comes within a second.
pub fn put(control: SocketAddrV4, id: &str, body: &str) -> Option<u16> {
    let wait = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(control), wait).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let head = format!(
        "PUT /lentilreach/targets/{id} HTTP/1.1\r\nHost: {control}\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let mut buffer = [0; 512];
    while !answer.windows(4).any(|window| window == b"\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => answer.extend(&buffer[..length]),
            _ => return None,
        }
    }
    std::str::from_utf8(answer.get(9..12)?).ok()?.parse().ok()
}

/// The zone stands in the target's name: `ZONE-SERVICE-NUMBER`.
fn machine_zone(id: &str) -> String {
    id.split('-').next().unwrap_or_default().to_owned()
}

/// A random number.
pub fn random() -> u32 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish() as u32
}
