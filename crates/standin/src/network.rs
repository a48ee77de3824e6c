//! A network of nodes in one process, in virtual time, for the exchange of state.
//!
//! The nodes run the real decisions, wire format and seal. Datagrams are lost, duplicated,
//! delayed and reordered at random from a seed.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fastrand::Rng;
use lentilreach::process::clock::{Hybrid, Millis};
use lentilreach::process::spread::budget::HEADERS;
use lentilreach::process::spread::core::{Action, Core, Event, TICK_MS};
use lentilreach::process::spread::entry::{Entry, Node};
use lentilreach::process::spread::message::Message;
use lentilreach::process::spread::seal::{Key, Sealer};
use lentilreach::process::spread::wire;

/// Secret of the fleet in the network; not used anywhere else.
const SECRET: [u8; 16] = [7; 16];

/// Wall clock at the start of the network's time, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// What the network does to datagrams.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share of datagrams that arrive twice.
    pub duplicate: f64,
    /// Delay between failure domains in microseconds.
    pub far_us: u64,
    /// Delay within a failure domain in microseconds.
    pub near_us: u64,
    /// Greatest additional delay in microseconds, drawn for each datagram.
    pub jitter_us: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self { loss: 0.01, duplicate: 0.0, far_us: 4_000, near_us: 250, jitter_us: 1_000 }
    }
}

/// A network of nodes.
#[derive(Debug)]
pub struct Network {
    /// What it does to datagrams.
    pub faults: Faults,
    /// The nodes, by index.
    nodes: Vec<Host>,
    /// Addresses and indices, sorted.
    addresses: Vec<(SocketAddr, usize)>,
    /// What is to happen, earliest first.
    queue: BinaryHeap<Reverse<Due>>,
    /// Numbers the queue's entries, so that the order does not depend on the heap.
    count: u64,
    /// Virtual time in microseconds.
    now_us: u64,
    /// Draws faults.
    rng: Rng,
    /// Entries that are logged when they change at a node.
    keep: fn(&Entry) -> bool,
    /// Changes: time in milliseconds, node, entry.
    pub log: Vec<(u64, usize, Entry)>,
}

impl Network {
    /// A network without nodes. Changes of entries that `keep` selects are logged.
    pub fn new(seed: u64, faults: Faults, keep: fn(&Entry) -> bool) -> Self {
        Self {
            faults,
            nodes: Vec::new(),
            addresses: Vec::new(),
            queue: BinaryHeap::new(),
            count: 0,
            now_us: 0,
            rng: Rng::with_seed(seed),
            keep,
            log: Vec::new(),
        }
    }

    /// Starts a node; returns its index.
    ///
    /// A node with the address of a stopped one takes its place in the network.
    pub fn start(&mut self, node: Node) -> usize {
        let index = self.nodes.len();
        let (address, domain) = (node.exchange, node.domain.0);
        let sealer = Sealer::new(node.id, vec![Key::new(1, &SECRET)], 1);
        let core = Core::new(node, self.rng.u64(..));
        self.nodes.push(Host::new(core, sealer, domain));
        match self.addresses.binary_search_by_key(&address, |(address, _)| *address) {
            Ok(found) => self.addresses[found].1 = index,
            Err(found) => self.addresses.insert(found, (address, index)),
        }
        let first = self.rng.u64(..TICK_MS * 1_000);
        self.push(first, index, What::Tick);
        index
    }

    /// Stops a node without notice.
    pub fn stop(&mut self, index: usize) {
        self.nodes[index].down = true;
        // Frees the memory of the state; the index stays valid.
        let me = self.nodes[index].core.me().as_ref().clone();
        self.nodes[index].core = Core::new(me, 0);
    }

    /// Pauses a node: it neither ticks nor receives until it goes on. Datagrams are kept, as
    /// in a socket buffer.
    pub fn pause(&mut self, index: usize, paused: bool) {
        self.nodes[index].paused = paused;
        if !paused {
            for (from, bytes) in std::mem::take(&mut self.nodes[index].waiting) {
                self.deliver(index, from, bytes);
            }
        }
    }

    /// Puts a node on a side of a cut. Nodes of different sides do not reach each other.
    pub fn side(&mut self, index: usize, side: u8) {
        self.nodes[index].side = side;
    }

    /// Shifts the clock that a node reads, in milliseconds.
    pub fn shift_clock(&mut self, index: usize, by_ms: i64) {
        self.nodes[index].clock_ms += by_ms;
    }

    /// Gives an event to a node.
    pub fn event(&mut self, index: usize, event: Event) {
        self.handle(index, event);
    }

    /// Delivers a datagram as it was seen on the wire.
    pub fn inject(&mut self, to: usize, from: SocketAddr, bytes: Vec<u8>) {
        self.deliver(to, from, bytes);
    }

    /// Lets virtual time pass, in milliseconds.
    pub fn run(&mut self, ms: u64) {
        let end = self.now_us + ms * 1_000;
        while self.queue.peek().is_some_and(|Reverse(due)| due.at_us <= end) {
            let Some(Reverse(due)) = self.queue.pop() else { break };
            self.now_us = due.at_us;
            self.step(due);
        }
        self.now_us = end;
    }

    /// Virtual time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    /// The decisions of a node.
    pub fn core(&self, index: usize) -> &Core {
        &self.nodes[index].core
    }

    /// The decisions of a node, to set them up.
    pub fn core_mut(&mut self, index: usize) -> &mut Core {
        &mut self.nodes[index].core
    }

    /// The time that a node reads.
    pub fn clock(&self, index: usize) -> Millis {
        let ms = self.now_ms() as i64 + self.nodes[index].clock_ms;
        Millis(ms.max(0) as u64)
    }

    /// What a node has sent, received and computed.
    pub fn traffic(&self, index: usize) -> &Traffic {
        &self.nodes[index].traffic
    }

    /// Starts to count anew at all nodes.
    pub fn reset_traffic(&mut self) {
        for node in &mut self.nodes {
            node.traffic = Traffic::default();
        }
    }

    /// Keeps copies of the datagrams that a node sends from now on.
    pub fn record(&mut self, index: usize) {
        self.nodes[index].record = Some(Vec::new());
    }

    /// The recorded datagrams of a node.
    pub fn recorded(&self, index: usize) -> &[Vec<u8>] {
        self.nodes[index].record.as_deref().unwrap_or_default()
    }

    /// Lets one thing happen.
    fn step(&mut self, due: Due) {
        match due.what {
            What::Tick => {
                if !self.nodes[due.node].down {
                    self.push(TICK_MS * 1_000, due.node, What::Tick);
                }
                if self.nodes[due.node].is_running() {
                    self.handle(due.node, Event::Tick);
                }
            }
            What::Datagram { from, bytes } => self.deliver(due.node, from, bytes),
        }
    }

    /// Gives a datagram to a node.
    fn deliver(&mut self, index: usize, from: SocketAddr, mut bytes: Vec<u8>) {
        let second = self.now_us / 1_000_000;
        let node = &mut self.nodes[index];
        if node.down {
            return;
        }
        if node.paused {
            node.waiting.push((from, bytes));
            return;
        }
        node.traffic.count(second, bytes.len(), false);
        let start = Instant::now();
        let Ok(opened) = node.sealer.open(&mut bytes) else {
            node.traffic.refused += 1;
            return;
        };
        let sender = opened.sender;
        let Ok((stamp, body)) = wire::decode(opened.message) else {
            node.traffic.refused += 1;
            return;
        };
        node.hybrid.observe(stamp, EPOCH_MS + self.now_us / 1_000);
        node.traffic.busy += start.elapsed();
        self.handle(index, Event::Received { from, message: Message { sender, body } });
    }

    /// Lets a node decide and sends what it wants sent.
    fn handle(&mut self, index: usize, event: Event) {
        let clock = self.clock(index);
        let start = Instant::now();
        let mut actions = Vec::new();
        self.nodes[index].core.handle(clock, event, &mut actions);
        let mut datagrams = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    datagrams.extend(self.encode(index, to, &message));
                }
                Action::Changed(entry) if (self.keep)(&entry) => {
                    self.log.push((self.now_us / 1_000, index, entry));
                }
                Action::Changed(_) => {}
                Action::Ready => self.nodes[index].ready_ms = Some(self.now_us / 1_000),
            }
        }
        self.nodes[index].traffic.busy += start.elapsed();
        for (to, bytes) in datagrams {
            self.carry(index, to, bytes);
        }
    }

    /// When a node became ready, in milliseconds.
    pub fn ready_ms(&self, index: usize) -> Option<u64> {
        self.nodes[index].ready_ms
    }

    /// Encodes and seals a message.
    ///
    /// # Panics
    /// If the message is longer than a datagram: the core must not build such messages.
    fn encode(
        &mut self,
        index: usize,
        to: SocketAddr,
        message: &Message,
    ) -> Option<(SocketAddr, Vec<u8>)> {
        let node = &mut self.nodes[index];
        let stamp = node.hybrid.stamp(EPOCH_MS + self.now_us / 1_000);
        let (mut plain, mut sealed) = (Vec::new(), Vec::new());
        wire::encode(stamp, &message.body, &mut plain)
            .expect("a message fits a datagram");
        node.sealer.seal(1, &plain, &mut sealed).ok()?;
        assert!(
            sealed.len() <= message.body.size(),
            "{} bytes for {:?}",
            sealed.len(),
            message.body
        );
        node.traffic.count(self.now_us / 1_000_000, sealed.len(), true);
        node.traffic.count_kind(message.body.as_str(), sealed.len());
        Some((to, sealed))
    }

    /// Carries a datagram.
    fn carry(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        if let Some(record) = &mut self.nodes[from].record {
            record.push(bytes.clone());
        }
        let found = self.addresses.binary_search_by_key(&to, |(address, _)| *address);
        let Ok(found) = found else { return };
        let to = self.addresses[found].1;
        let (source, target) = (&self.nodes[from], &self.nodes[to]);
        if source.side != target.side || self.rng.f64() < self.faults.loss {
            return;
        }
        let near = source.domain == target.domain;
        let delay = if near { self.faults.near_us } else { self.faults.far_us };
        let from = source.core.me().exchange;
        let copies = 1 + usize::from(self.rng.f64() < self.faults.duplicate);
        for _ in 0..copies {
            let jitter = self.rng.u64(..=self.faults.jitter_us);
            let what = What::Datagram { from, bytes: bytes.clone() };
            self.push(delay + jitter, to, what);
        }
    }

    /// Puts something into the queue, `after_us` microseconds from now.
    fn push(&mut self, after_us: u64, node: usize, what: What) {
        self.count += 1;
        let at_us = self.now_us + after_us;
        self.queue.push(Reverse(Due { at_us, count: self.count, node, what }));
    }
}

/// What a node has sent, received and computed.
#[derive(Debug, Default, Clone)]
pub struct Traffic {
    /// Bytes sent and received, with IP and UDP headers.
    pub bytes: u64,
    /// Datagrams sent and received.
    pub datagrams: u64,
    /// Bytes sent, with IP and UDP headers.
    pub sent: u64,
    /// The most bytes sent in one second of the clock.
    pub most_sent: u64,
    /// The most bytes sent and received in one second of the clock.
    pub most: u64,
    /// The current second, its bytes in both directions, and its bytes sent.
    second: (u64, u64, u64),
    /// Processor time of decisions, codec and seal.
    pub busy: Duration,
    /// Datagrams that were not accepted.
    pub refused: u64,
    /// Bytes and datagrams sent by kind of message, sorted by kind.
    pub kinds: Vec<(&'static str, u64, u64)>,
}

impl Traffic {
    /// Counts a datagram.
    fn count(&mut self, second: u64, length: usize, is_sent: bool) {
        let bytes = (length + HEADERS) as u64;
        self.bytes += bytes;
        self.datagrams += 1;
        if self.second.0 != second {
            self.second = (second, 0, 0);
        }
        if is_sent {
            self.sent += bytes;
            self.second.2 += bytes;
            self.most_sent = self.most_sent.max(self.second.2);
        }
        self.second.1 += bytes;
        self.most = self.most.max(self.second.1);
    }

    /// Counts a sent datagram by kind.
    fn count_kind(&mut self, kind: &'static str, length: usize) {
        let found = self.kinds.binary_search_by_key(&kind, |(kind, _, _)| *kind);
        let index = found.unwrap_or_else(|index| {
            self.kinds.insert(index, (kind, 0, 0));
            index
        });
        self.kinds[index].1 += (length + HEADERS) as u64;
        self.kinds[index].2 += 1;
    }
}

/// A node and its place in the network.
#[derive(Debug)]
struct Host {
    /// Its decisions.
    core: Core,
    /// Its seal.
    sealer: Sealer,
    /// Its logical clock.
    hybrid: Hybrid,
    /// Its failure domain.
    domain: u8,
    /// Its side of a cut.
    side: u8,
    /// Whether it was stopped.
    down: bool,
    /// Whether it is paused.
    paused: bool,
    /// Datagrams that wait for it to go on.
    waiting: Vec<(SocketAddr, Vec<u8>)>,
    /// Offset of its clock in milliseconds.
    clock_ms: i64,
    /// When it became ready, in milliseconds.
    ready_ms: Option<u64>,
    /// What it has sent, received and computed.
    traffic: Traffic,
    /// Copies of the datagrams that it sent.
    record: Option<Vec<Vec<u8>>>,
}

impl Host {
    /// A running node.
    fn new(core: Core, sealer: Sealer, domain: u8) -> Self {
        Self {
            core,
            sealer,
            hybrid: Hybrid::default(),
            domain,
            side: 0,
            down: false,
            paused: false,
            waiting: Vec::new(),
            clock_ms: 0,
            ready_ms: None,
            traffic: Traffic::default(),
            record: None,
        }
    }

    /// Whether it runs.
    fn is_running(&self) -> bool {
        !self.down && !self.paused
    }
}

/// Something that is to happen.
#[derive(Debug)]
struct Due {
    /// When, in virtual microseconds.
    at_us: u64,
    /// Its number.
    count: u64,
    /// The node.
    node: usize,
    /// What.
    what: What,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at_us, self.count).cmp(&(other.at_us, other.count))
    }
}

/// What is to happen to a node.
#[derive(Debug)]
enum What {
    /// Its timer.
    Tick,
    /// A datagram arrives.
    Datagram {
        /// The sender's address.
        from: SocketAddr,
        /// The sealed bytes.
        bytes: Vec<u8>,
    },
}
