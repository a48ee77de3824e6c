//! Clients of PROTOCOL.md, several flows on one address.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::packet::{
    ACK, Event, FIN, Flow, MOST_DATA, Packet, RST, Record, SYN, WINDOW, scramble,
};

/// How far the `seq` of a reset may be from the last `ack` of an open flow.
const RESET_WINDOW: u32 = 76_800;
/// When the copies of a SYN are sent, and when the client gives up.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPENING_END: Duration = Duration::from_millis(1_400);

/// A flow that a client opens.
#[derive(Clone, Copy)]
pub struct Plan {
    /// When it is opened, after the start of the client.
    pub at: Duration,
    pub route: SocketAddrV4,
    /// Number of requests, one after the other, with a pause between them.
    pub requests: u32,
    pub pause: Duration,
    /// Size of an answer.
    pub size: usize,
    /// Time budget of a request.
    pub budget: Duration,
}

/// A client that runs.
pub struct Client {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Client {
    /// Starts a client at an address, which sends to balancers.
    pub fn start(
        ip: Ipv4Addr,
        port: u16,
        balancers: Vec<SocketAddrV4>,
        mut plans: Vec<Plan>,
        record: &Record,
    ) -> Self {
        plans.sort_by_key(|plan| std::cmp::Reverse(plan.at));
        let socket = UdpSocket::bind((ip, port)).expect("the address of the client");
        socket.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let runner = Runner {
            ip,
            balancers,
            socket,
            record: record.clone(),
            plans,
            flows: HashMap::new(),
            next_port: 20_000,
            start: Instant::now(),
        };
        let stopped = stop.clone();
        Self { stop, thread: thread::spawn(move || runner.run(&stopped)) }
    }

    pub fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.thread.join();
    }
}

#[derive(PartialEq)]
enum Stage {
    Opening(usize),
    Pause(Instant),
    Asking,
}

struct Open {
    plan: Plan,
    stage: Stage,
    since: Instant,
    isn: u32,
    /// Next sequence number to send, and the request that is not acknowledged.
    next: u32,
    request: Vec<u8>,
    request_id: String,
    sent: u32,
    repeated_at: Instant,
    wait: Duration,
    expected: u32,
    received: Vec<u8>,
    /// Bytes of the answer that are still to come; `None` until its head is read.
    missing: Option<usize>,
    packets_since_ack: u32,
}

struct Runner {
    ip: Ipv4Addr,
    balancers: Vec<SocketAddrV4>,
    socket: UdpSocket,
    record: Record,
    plans: Vec<Plan>,
    flows: HashMap<Flow, Open>,
    next_port: u16,
    start: Instant,
}

impl Runner {
    fn run(mut self, stop: &AtomicBool) {
        let mut buffer = [0; 2_048];
        while !stop.load(Ordering::SeqCst) {
            while self.plans.last().is_some_and(|plan| plan.at <= self.start.elapsed()) {
                let plan = self.plans.pop().unwrap();
                self.open(plan);
            }
            for _ in 0..64 {
                let Ok(length) = self.socket.recv(&mut buffer) else { break };
                if let Some(packet) = Packet::read(&buffer[..length]) {
                    self.receive(&packet);
                }
            }
            self.tick();
        }
    }

    fn send(&self, flow: &Flow, flags: u8, numbers: (u32, u32), data: &[u8]) {
        let bytes = Packet::write(flow.client, flow.route, flags, numbers, data);
        let hash = scramble(
            u64::from(flow.client.port()) ^ u64::from(u32::from(*flow.client.ip())),
        );
        let to = self.balancers[hash as usize % self.balancers.len()];
        let _ = self.socket.send_to(&bytes, to);
    }

    fn open(&mut self, plan: Plan) {
        let client = SocketAddrV4::new(self.ip, self.next_port);
        self.next_port += 1;
        let flow = Flow { client, route: plan.route };
        let isn =
            scramble(u64::from(u32::from(self.ip)) << 16 | u64::from(self.next_port));
        let now = Instant::now();
        let open = Open {
            plan,
            stage: Stage::Opening(0),
            since: now,
            isn,
            next: isn.wrapping_add(1),
            request: Vec::new(),
            request_id: String::new(),
            sent: 0,
            repeated_at: now,
            wait: Duration::from_millis(200),
            expected: 0,
            received: Vec::new(),
            missing: None,
            packets_since_ack: 0,
        };
        self.flows.insert(flow, open);
        self.record.add(Event::Opens { flow });
        self.send(&flow, SYN, (isn, 0), &[]);
    }

    fn receive(&mut self, packet: &Packet) {
        let flow = Flow { client: packet.destination, route: packet.source };
        let Some(open) = self.flows.get_mut(&flow) else { return };
        let is_opening = matches!(open.stage, Stage::Opening(_));
        if packet.flags & RST != 0 {
            let distance = packet.seq.wrapping_sub(open.expected) as i32;
            if is_opening || distance.unsigned_abs() <= RESET_WINDOW {
                let own = packet.sum == 0;
                self.record.add(Event::Reset { flow, open: !is_opening, own });
                self.flows.remove(&flow);
            }
            return;
        }
        if packet.flags & SYN != 0 {
            if is_opening {
                open.expected = packet.seq.wrapping_add(1);
                self.ask(&flow);
            }
            return;
        }
        if is_opening {
            return;
        }
        if packet.ack == open.next {
            open.request.clear();
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.seq != open.expected {
            let numbers = (open.next, open.expected);
            return self.send(&flow, ACK, numbers, &[]);
        }
        open.request.clear();
        open.expected = open.expected.wrapping_add(packet.data.len() as u32);
        open.packets_since_ack += 1;
        let mut data = packet.data.len();
        if open.missing.is_none() {
            open.received.extend_from_slice(&packet.data);
            if let Some(end) =
                open.received.windows(4).position(|window| window == b"\r\n\r\n")
            {
                let head = String::from_utf8_lossy(&open.received[..end]).into_owned();
                let length =
                    head.lines().find_map(|line| line.strip_prefix("content-length: "));
                open.missing = length.and_then(|length| length.parse().ok());
                data = open.received.len() - end - 4;
                open.received.clear();
            }
        }
        let is_done = match &mut open.missing {
            Some(missing) => {
                *missing = missing.saturating_sub(data);
                *missing == 0
            }
            None => false,
        };
        if is_done || open.packets_since_ack >= 2 {
            open.packets_since_ack = 0;
            let numbers = (open.next, open.expected);
            self.send(&flow, ACK, numbers, &[]);
        }
        if is_done {
            self.finish(&flow);
        }
    }

    /// Sends the next request of a flow.
    fn ask(&mut self, flow: &Flow) {
        let Some(open) = self.flows.get_mut(flow) else { return };
        open.sent += 1;
        open.request_id = format!("{}-{}", flow.client, open.sent);
        let text = format!(
            "POST / HTTP/1.1\r\nAttempt-Id: {}\r\nSize: {}\r\n\r\n",
            open.request_id, open.plan.size
        );
        open.request = text.into_bytes();
        assert!(open.request.len() <= MOST_DATA && WINDOW > 0);
        let numbers = (open.next, open.expected);
        open.next = open.next.wrapping_add(open.request.len() as u32);
        open.stage = Stage::Asking;
        open.since = Instant::now();
        open.repeated_at = open.since;
        open.wait = Duration::from_millis(200);
        open.missing = None;
        open.received.clear();
        let request = open.request.clone();
        self.send(flow, ACK, numbers, &request);
    }

    /// Processes that an answer is whole.
    fn finish(&mut self, flow: &Flow) {
        let Some(open) = self.flows.get_mut(flow) else { return };
        let request = open.request_id.clone();
        self.record.add(Event::Answered { flow: *flow, request });
        if open.sent >= open.plan.requests {
            let numbers = (open.next, open.expected);
            self.flows.remove(flow);
            return self.send(flow, FIN | ACK, numbers, &[]);
        }
        open.stage = Stage::Pause(Instant::now() + open.plan.pause);
        if open.plan.pause.is_zero() {
            self.ask(flow);
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        let mut sends = Vec::new();
        let mut asks = Vec::new();
        let mut ends = Vec::new();
        for (flow, open) in &mut self.flows {
            match &mut open.stage {
                Stage::Opening(copies) => {
                    if now - open.since >= OPENING_END {
                        ends.push((*flow, "no flow opened"));
                    } else if *copies < COPIES.len()
                        && now - open.since >= COPIES[*copies]
                    {
                        *copies += 1;
                        sends.push((*flow, SYN, (open.isn, *copies as u32), Vec::new()));
                    }
                }
                Stage::Pause(end) if now >= *end => asks.push(*flow),
                Stage::Pause(_) => {}
                Stage::Asking if now - open.since >= open.plan.budget => {
                    ends.push((*flow, "no answer"));
                }
                Stage::Asking => {
                    if !open.request.is_empty() && now - open.repeated_at >= open.wait {
                        open.repeated_at = now;
                        open.wait = (open.wait * 2).min(Duration::from_millis(1_600));
                        let first = open.next.wrapping_sub(open.request.len() as u32);
                        sends.push((
                            *flow,
                            ACK,
                            (first, open.expected),
                            open.request.clone(),
                        ));
                    }
                }
            }
        }
        for (flow, flags, numbers, data) in sends {
            self.send(&flow, flags, numbers, &data);
        }
        for flow in asks {
            self.ask(&flow);
        }
        for (flow, why) in ends {
            self.flows.remove(&flow);
            self.record.add(Event::GaveUp { flow, why });
        }
    }
}
