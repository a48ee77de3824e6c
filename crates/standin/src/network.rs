//! Discrete-event simulation of gossip between nodes, in virtual time.
//!
//! The nodes run the production protocol core, wire format and sealing. Datagrams are lost,
//! duplicated, delayed and reordered at random, determined by a seed.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fastrand::Rng;
use lentilreach::process::clock::{Hybrid, Millis};
use lentilreach::process::gossip::budget::HEADER_BYTES;
use lentilreach::process::gossip::core::{Action, Core, Event, TICK_MS};
use lentilreach::process::gossip::entry::{Entry, Node};
use lentilreach::process::gossip::message::Message;
use lentilreach::process::gossip::seal::{Key, Sealer};
use lentilreach::process::gossip::wire;

/// Fleet secret of the simulated nodes; not used anywhere else.
const SECRET: [u8; 16] = [7; 16];

/// Wall clock time at the start of the simulation, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Loss, duplication and delay of datagrams.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that arrive twice.
    pub duplicate: f64,
    /// One-way delay between failure domains in microseconds.
    pub inter_domain_us: u64,
    /// One-way delay within a failure domain in microseconds.
    pub intra_domain_us: u64,
    /// Maximum jitter in microseconds, drawn for each datagram.
    pub jitter_us: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            loss: 0.01,
            duplicate: 0.0,
            inter_domain_us: 4_000,
            intra_domain_us: 250,
            jitter_us: 1_000,
        }
    }
}

/// A simulated network of nodes.
#[derive(Debug)]
pub struct Network {
    /// Faults applied to datagrams.
    pub faults: Faults,
    /// The nodes, by index.
    nodes: Vec<Host>,
    /// Exchange addresses and node indices, sorted by address.
    addresses: Vec<(SocketAddr, usize)>,
    /// Scheduled events, earliest first.
    queue: BinaryHeap<Reverse<Scheduled>>,
    /// Sequence number of the last scheduled event. Orders events of the same time.
    sequence: u64,
    /// Virtual time in microseconds.
    now_us: u64,
    /// Random numbers for faults and timer offsets.
    rng: Rng,
    /// Selects the entries whose changes are logged.
    is_logged: fn(&Entry) -> bool,
    /// Logged changes: time in milliseconds, node index, entry.
    pub log: Vec<(u64, usize, Entry)>,
}

impl Network {
    /// Creates a network without nodes. Changes of entries that `is_logged` selects are
    /// logged.
    pub fn new(seed: u64, faults: Faults, is_logged: fn(&Entry) -> bool) -> Self {
        Self {
            faults,
            nodes: Vec::new(),
            addresses: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            now_us: 0,
            rng: Rng::with_seed(seed),
            is_logged,
            log: Vec::new(),
        }
    }

    /// Starts a node and returns its index.
    ///
    /// A node with the address of an earlier one receives that address's datagrams from then
    /// on.
    pub fn start(&mut self, node: Node) -> usize {
        let index = self.nodes.len();
        let (address, domain) = (node.gossip_address, node.domain.0);
        let sealer = Sealer::new(node.id, vec![Key::new(1, &SECRET)], 1);
        let core = Core::new(node, self.rng.u64(..));
        self.nodes.push(Host::new(core, sealer, domain));
        match self.addresses.binary_search_by_key(&address, |(address, _)| *address) {
            Ok(found) => self.addresses[found].1 = index,
            Err(found) => self.addresses.insert(found, (address, index)),
        }
        let first = self.rng.u64(..TICK_MS * 1_000);
        self.schedule(first, index, Kind::Tick);
        index
    }

    /// Stops a node abruptly.
    pub fn stop(&mut self, index: usize) {
        self.nodes[index].is_stopped = true;
        // Replaces the core to free its memory; the index stays valid.
        let me = self.nodes[index].core.node().as_ref().clone();
        self.nodes[index].core = Core::new(me, 0);
    }

    /// Pauses or resumes a node. A paused node neither ticks nor receives; its datagrams are
    /// kept until it resumes, as in a socket buffer.
    pub fn pause(&mut self, index: usize, is_paused: bool) {
        self.nodes[index].is_paused = is_paused;
        if !is_paused {
            for (from, bytes) in std::mem::take(&mut self.nodes[index].pending) {
                self.deliver(index, from, bytes);
            }
        }
    }

    /// Assigns a node to a partition. Nodes in different partitions cannot reach each other.
    pub fn set_partition(&mut self, index: usize, partition: u8) {
        self.nodes[index].partition = partition;
    }

    /// Shifts the clock that a node reads, in milliseconds.
    pub fn shift_clock(&mut self, index: usize, by_ms: i64) {
        self.nodes[index].clock_offset_ms += by_ms;
    }

    /// Passes an event to a node.
    pub fn event(&mut self, index: usize, event: Event) {
        self.handle(index, event);
    }

    /// Delivers a raw datagram to a node, such as a recorded one.
    pub fn inject(&mut self, to: usize, from: SocketAddr, bytes: Vec<u8>) {
        self.deliver(to, from, bytes);
    }

    /// Runs the simulation for a number of milliseconds of virtual time.
    pub fn run(&mut self, ms: u64) {
        let end = self.now_us + ms * 1_000;
        while self.queue.peek().is_some_and(|Reverse(scheduled)| scheduled.at_us <= end) {
            let Some(Reverse(scheduled)) = self.queue.pop() else { break };
            self.now_us = scheduled.at_us;
            self.dispatch(scheduled);
        }
        self.now_us = end;
    }

    /// Virtual time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    /// The protocol core of a node.
    pub fn core(&self, index: usize) -> &Core {
        &self.nodes[index].core
    }

    /// The protocol core of a node, for its initial state.
    pub fn core_mut(&mut self, index: usize) -> &mut Core {
        &mut self.nodes[index].core
    }

    /// The time on a node's clock.
    pub fn clock(&self, index: usize) -> Millis {
        let ms = self.now_ms() as i64 + self.nodes[index].clock_offset_ms;
        Millis(ms.max(0) as u64)
    }

    /// Traffic counters of a node.
    pub fn traffic(&self, index: usize) -> &Traffic {
        &self.nodes[index].traffic
    }

    /// Resets the traffic counters of all nodes.
    pub fn reset_traffic(&mut self) {
        for node in &mut self.nodes {
            node.traffic = Traffic::default();
        }
    }

    /// Starts to record the datagrams that a node sends.
    pub fn record(&mut self, index: usize) {
        self.nodes[index].record = Some(Vec::new());
    }

    /// The recorded datagrams of a node.
    pub fn recorded(&self, index: usize) -> &[Vec<u8>] {
        self.nodes[index].record.as_deref().unwrap_or_default()
    }

    /// Runs one scheduled event.
    fn dispatch(&mut self, scheduled: Scheduled) {
        match scheduled.kind {
            Kind::Tick => {
                if !self.nodes[scheduled.node].is_stopped {
                    self.schedule(TICK_MS * 1_000, scheduled.node, Kind::Tick);
                }
                if self.nodes[scheduled.node].is_running() {
                    self.handle(scheduled.node, Event::Tick);
                }
            }
            Kind::Datagram { from, bytes } => self.deliver(scheduled.node, from, bytes),
        }
    }

    /// Delivers a datagram: opens its seal, decodes it and passes it to the node.
    fn deliver(&mut self, index: usize, from: SocketAddr, mut bytes: Vec<u8>) {
        let second = self.now_us / 1_000_000;
        let node = &mut self.nodes[index];
        if node.is_stopped {
            return;
        }
        if node.is_paused {
            node.pending.push((from, bytes));
            return;
        }
        node.traffic.count(second, bytes.len(), false);
        let start = Instant::now();
        let Ok(opened) = node.sealer.open(&mut bytes) else {
            node.traffic.rejected += 1;
            return;
        };
        let sender = opened.sender;
        let Ok((stamp, body)) = wire::decode(opened.message) else {
            node.traffic.rejected += 1;
            return;
        };
        node.hybrid.observe(stamp, EPOCH_MS + self.now_us / 1_000);
        node.traffic.cpu_time += start.elapsed();
        self.handle(index, Event::Received { from, message: Message { sender, body } });
    }

    /// Passes an event to a node and carries out the resulting actions.
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
                Action::Changed(entry) if (self.is_logged)(&entry) => {
                    self.log.push((self.now_us / 1_000, index, entry));
                }
                Action::Changed(_) => {}
                Action::Ready => self.nodes[index].ready_ms = Some(self.now_us / 1_000),
            }
        }
        self.nodes[index].traffic.cpu_time += start.elapsed();
        for (to, bytes) in datagrams {
            self.transmit(index, to, bytes);
        }
    }

    /// When a node became ready, in milliseconds.
    pub fn ready_ms(&self, index: usize) -> Option<u64> {
        self.nodes[index].ready_ms
    }

    /// Encodes and seals a message.
    ///
    /// # Panics
    /// Panics if the message does not fit a datagram; the core must not build such messages.
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
        node.traffic.count_by_kind(message.body.as_str(), sealed.len());
        Some((to, sealed))
    }

    /// Transmits a datagram, subject to faults and partitions.
    fn transmit(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        if let Some(record) = &mut self.nodes[from].record {
            record.push(bytes.clone());
        }
        let found = self.addresses.binary_search_by_key(&to, |(address, _)| *address);
        let Ok(found) = found else { return };
        let to = self.addresses[found].1;
        let (source, target) = (&self.nodes[from], &self.nodes[to]);
        if source.partition != target.partition || self.rng.f64() < self.faults.loss {
            return;
        }
        let same_domain = source.domain == target.domain;
        let delay = if same_domain {
            self.faults.intra_domain_us
        } else {
            self.faults.inter_domain_us
        };
        let from = source.core.node().gossip_address;
        let copies = 1 + usize::from(self.rng.f64() < self.faults.duplicate);
        for _ in 0..copies {
            let jitter = self.rng.u64(..=self.faults.jitter_us);
            let kind = Kind::Datagram { from, bytes: bytes.clone() };
            self.schedule(delay + jitter, to, kind);
        }
    }

    /// Schedules an event `after_us` microseconds from now.
    fn schedule(&mut self, after_us: u64, node: usize, kind: Kind) {
        self.sequence += 1;
        let at_us = self.now_us + after_us;
        self.queue.push(Reverse(Scheduled {
            at_us,
            sequence: self.sequence,
            node,
            kind,
        }));
    }
}

/// Traffic counters of a node.
#[derive(Debug, Default, Clone)]
pub struct Traffic {
    /// Bytes sent and received, including IP and UDP headers.
    pub bytes: u64,
    /// Datagrams sent and received.
    pub datagrams: u64,
    /// Bytes sent, including IP and UDP headers.
    pub sent: u64,
    /// Maximum bytes sent in one second of the clock.
    pub max_sent_bytes_per_s: u64,
    /// Maximum bytes sent and received in one second of the clock.
    pub max_bytes_per_s: u64,
    /// The current second, its bytes in both directions, and its bytes sent.
    second: (u64, u64, u64),
    /// CPU time of the protocol core, codec and sealing.
    pub cpu_time: Duration,
    /// Datagrams rejected because opening or decoding failed.
    pub rejected: u64,
    /// Bytes and datagrams sent by kind of message, sorted by kind.
    pub by_kind: Vec<(&'static str, u64, u64)>,
}

impl Traffic {
    /// Counts a datagram.
    fn count(&mut self, second: u64, length: usize, is_sent: bool) {
        let bytes = (length + HEADER_BYTES) as u64;
        self.bytes += bytes;
        self.datagrams += 1;
        if self.second.0 != second {
            self.second = (second, 0, 0);
        }
        if is_sent {
            self.sent += bytes;
            self.second.2 += bytes;
            self.max_sent_bytes_per_s = self.max_sent_bytes_per_s.max(self.second.2);
        }
        self.second.1 += bytes;
        self.max_bytes_per_s = self.max_bytes_per_s.max(self.second.1);
    }

    /// Counts a sent datagram by message kind.
    fn count_by_kind(&mut self, kind: &'static str, length: usize) {
        let found = self.by_kind.binary_search_by_key(&kind, |(kind, _, _)| *kind);
        let index = found.unwrap_or_else(|index| {
            self.by_kind.insert(index, (kind, 0, 0));
            index
        });
        self.by_kind[index].1 += (length + HEADER_BYTES) as u64;
        self.by_kind[index].2 += 1;
    }
}

/// A node and its simulated environment.
#[derive(Debug)]
struct Host {
    /// The protocol core.
    core: Core,
    /// Seals and opens datagrams.
    sealer: Sealer,
    /// The hybrid logical clock.
    hybrid: Hybrid,
    /// The failure domain.
    domain: u8,
    /// The partition that the node is in.
    partition: u8,
    /// Whether the node was stopped.
    is_stopped: bool,
    /// Whether the node is paused.
    is_paused: bool,
    /// Datagrams received while paused.
    pending: Vec<(SocketAddr, Vec<u8>)>,
    /// Offset of the node's clock in milliseconds.
    clock_offset_ms: i64,
    /// When the node became ready, in milliseconds.
    ready_ms: Option<u64>,
    /// What it has sent, received and computed.
    traffic: Traffic,
    /// Sent datagrams, if they are recorded.
    record: Option<Vec<Vec<u8>>>,
}

impl Host {
    /// Creates a running node.
    fn new(core: Core, sealer: Sealer, domain: u8) -> Self {
        Self {
            core,
            sealer,
            hybrid: Hybrid::default(),
            domain,
            partition: 0,
            is_stopped: false,
            is_paused: false,
            pending: Vec::new(),
            clock_offset_ms: 0,
            ready_ms: None,
            traffic: Traffic::default(),
            record: None,
        }
    }

    /// Whether the node is neither stopped nor paused.
    fn is_running(&self) -> bool {
        !self.is_stopped && !self.is_paused
    }
}

/// A scheduled event.
#[derive(Debug)]
struct Scheduled {
    /// Virtual time in microseconds.
    at_us: u64,
    /// Sequence number; breaks ties between events of the same time.
    sequence: u64,
    /// Index of the affected node.
    node: usize,
    /// What happens.
    kind: Kind,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at_us, self.sequence).cmp(&(other.at_us, other.sequence))
    }
}

/// Kind of a scheduled event.
#[derive(Debug)]
enum Kind {
    /// The node's timer fires.
    Tick,
    /// A datagram arrives.
    Datagram {
        /// The sender's address.
        from: SocketAddr,
        /// The sealed bytes.
        bytes: Vec<u8>,
    },
}
