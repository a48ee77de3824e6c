//! Packets of PROTOCOL.md, and the record of what was sent, answered and run.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::Instant;

pub const SYN: u8 = 8;
pub const ACK: u8 = 128;
pub const FIN: u8 = 1;
pub const RST: u8 = 4;
pub const BOUNCED: u8 = 2;

/// Length of the head.
pub const HEAD: usize = 32;
/// Most bytes of data in a packet.
pub const MOST_DATA: usize = 1_200;
/// Most packets in flight.
pub const WINDOW: u32 = 16;

/// The two ends of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Flow {
    pub client: SocketAddrV4,
    pub route: SocketAddrV4,
}

/// A packet that was read.
#[derive(Debug, Clone)]
pub struct Packet {
    pub source: SocketAddrV4,
    pub destination: SocketAddrV4,
    pub sum: u32,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn read(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEAD {
            return None;
        }
        let short = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let long = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap());
        let address = |ip: usize, port: usize| {
            SocketAddrV4::new(Ipv4Addr::from(long(ip)), short(port))
        };
        Some(Self {
            source: address(2, 0),
            destination: address(6, 10),
            sum: long(14),
            seq: long(22),
            ack: long(26),
            flags: bytes[30],
            data: bytes[HEAD..].to_vec(),
        })
    }

    /// Encodes a packet of a client or a target. Their sum is never 0.
    pub fn write(
        source: SocketAddrV4,
        destination: SocketAddrV4,
        flags: u8,
        (seq, ack): (u32, u32),
        data: &[u8],
    ) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        bytes[0..2].copy_from_slice(&source.port().to_be_bytes());
        bytes[2..6].copy_from_slice(&source.ip().octets());
        bytes[6..10].copy_from_slice(&destination.ip().octets());
        bytes[10..12].copy_from_slice(&destination.port().to_be_bytes());
        bytes[12..14].copy_from_slice(&(data.len() as u16).to_be_bytes());
        bytes[14..18].copy_from_slice(&(seq ^ ack ^ 0xa1b2_c3d5 | 1).to_be_bytes());
        bytes[22..26].copy_from_slice(&seq.to_be_bytes());
        bytes[26..30].copy_from_slice(&ack.to_be_bytes());
        bytes[30] = flags;
        bytes.extend_from_slice(data);
        bytes
    }
}

/// A number that looks random and is the same in each run.
pub fn scramble(value: u64) -> u32 {
    let mut x = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) as u32
}

/// What was seen by clients and targets, for the check.
#[derive(Debug, Clone)]
pub enum Event {
    /// A client sent the first opening packet of a flow.
    Opens {
        flow: Flow,
    },
    /// A target took an opening packet. `cold`: it is cold.
    Took {
        flow: Flow,
        target: String,
        service: String,
        cold: bool,
    },
    /// A target began to run a request.
    Runs {
        flow: Flow,
        target: String,
        service: String,
        request: String,
    },
    /// A target got a packet of a flow that it holds, or of one that it doesn't.
    Got {
        flow: Flow,
        target: String,
    },
    Bounced {
        flow: Flow,
        target: String,
    },
    /// A client got a whole answer.
    Answered {
        flow: Flow,
        request: String,
    },
    /// A client got a reset. `open`: it had sent the end of the handshake; `own`: of the
    /// system, not of the target.
    Reset {
        flow: Flow,
        open: bool,
        own: bool,
    },
    /// A client gave up.
    GaveUp {
        flow: Flow,
        why: &'static str,
    },
    /// Anything else.
    Note(String),
}

/// The record.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    events: Arc<Mutex<Vec<(f64, Event)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), events: Arc::default() }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, event: Event) {
        let now = self.now();
        self.events.lock().unwrap().push((now, event));
    }

    pub fn note(&self, text: impl Into<String>) {
        let text = text.into();
        eprintln!("{:8.3} {text}", self.now());
        self.add(Event::Note(text));
    }

    pub fn events(&self) -> Vec<(f64, Event)> {
        self.events.lock().unwrap().clone()
    }

    /// The record as text.
    pub fn text(&self) -> String {
        let mut lines = String::new();
        for (at, event) in self.events() {
            let line = match event {
                Event::Opens { flow } => {
                    format!("sent     {} SYN to {}", flow.client, flow.route)
                }
                Event::Took { flow, target, service, cold } => {
                    let cold = if cold { " (cold)" } else { "" };
                    format!("took     {} by {target} of {service}{cold}", flow.client)
                }
                Event::Runs { flow, target, service, request } => {
                    format!(
                        "run      {request} to {} by {target} of {service}",
                        flow.route
                    )
                }
                Event::Got { .. } => continue,
                Event::Bounced { flow, target } => {
                    format!("bounced  {} to {} by {target}", flow.client, flow.route)
                }
                Event::Answered { flow, request } => {
                    format!("answered {request} to {}", flow.client)
                }
                Event::Reset { flow, open, own } => {
                    let by = if own { "the system" } else { "the target" };
                    let of = if open { "open flow" } else { "opening" };
                    format!("reset    {of} {} to {} by {by}", flow.client, flow.route)
                }
                Event::GaveUp { flow, why } => format!("gave up  {}: {why}", flow.client),
                Event::Note(text) => format!("note     {text}"),
            };
            lines.push_str(&format!("{at:8.3} {line}\n"));
        }
        lines
    }
}
