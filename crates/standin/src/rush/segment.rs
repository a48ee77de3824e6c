//! Addresses of nodes, and the segments of a caller's attempts.

use std::net::{Ipv4Addr, SocketAddrV4};

use lentilreach::Name;
use lentilreach_steer::connection::flow;
use lentilreach_steer::process::agent::{Arrival, Forwarding};
use lentilreach_steer::request::message::Search;
use lentilreach_steer::request::segment::{Flags, Segment};

use super::{Load, Tick};

/// The service.
pub(super) const SERVICE: &str = "calendar";

/// Times at which a caller sends copies of an opening segment after the first one.
pub(super) const COPIES_MS: [Tick; 3] = [0, 200, 600];

/// Length of a request.
const REQUEST_BYTES: u16 = 100;

/// Port of a caller's first attempt.
const FIRST_PORT: u16 = 40_000;

/// An attempt of a caller to get an answer. It has a flow of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Attempt {
    /// Index of the request's class.
    pub class: usize,
    /// Number of the request, below 2^22.
    pub request: usize,
    /// Number of the attempt, from 1.
    pub number: u8,
}

impl Attempt {
    /// The flow. The caller's address holds the number of the request, and its port that of
    /// the attempt.
    pub fn key(self) -> flow::Key {
        let ip = Ipv4Addr::from(0x6440_0000 | self.request as u32);
        let caller = SocketAddrV4::new(ip, FIRST_PORT + u16::from(self.number));
        flow::Key { caller, service: service_address(self.class) }
    }

    /// A copy of the opening segment.
    pub fn opening(self, copy: u32) -> Segment {
        let flags = Flags { open: true, ..Flags::default() };
        let age_ms = COPIES_MS[copy as usize];
        Segment { age_ms, ..from_caller(self.key(), flags, copy) }
    }

    /// A request on a flow that the backend server of an agent has accepted, after a number
    /// of others.
    pub fn request(self, agent: usize, earlier: u32) -> Segment {
        let flags = Flags { acknowledge: true, ..Flags::default() };
        let acknowledged = self.first_sequence(agent).wrapping_add(1);
        let sequence = 1 + earlier * u32::from(REQUEST_BYTES);
        let segment = from_caller(self.key(), flags, acknowledged);
        Segment { sequence, length: REQUEST_BYTES, ..segment }
    }

    /// The reset of a flow that the backend server of an agent has accepted.
    pub fn reset(self, agent: usize) -> Segment {
        let flags = Flags { reset: true, ..Flags::default() };
        let acknowledged = self.first_sequence(agent).wrapping_add(1);
        from_caller(self.key(), flags, acknowledged)
    }

    /// The segment with which the backend server of an agent accepts the flow.
    pub fn acceptance(self, agent: usize) -> Segment {
        let flags = Flags { open: true, acknowledge: true, ..Flags::default() };
        from_backend(self.key(), flags, self.first_sequence(agent), 0)
    }

    /// The answer of the backend server of an agent. It may close the flow.
    pub fn answer(self, agent: usize, close: bool) -> Segment {
        let flags = Flags { acknowledge: true, close, ..Flags::default() };
        let sequence = self.first_sequence(agent).wrapping_add(1);
        from_backend(self.key(), flags, sequence, 600)
    }

    /// First sequence number of the backend server of an agent.
    fn first_sequence(self, agent: usize) -> u32 {
        (self.key().hash() as u32).wrapping_add(agent as u32)
    }
}

impl From<&Segment> for Attempt {
    /// The attempt that a segment from a caller belongs to.
    fn from(segment: &Segment) -> Self {
        let number = u32::from(*segment.source.ip()) & 0x003f_ffff;
        Self {
            class: usize::from(segment.destination.ip().octets()[3]),
            request: number as usize,
            number: (segment.source.port() - FIRST_PORT) as u8,
        }
    }
}

/// The forwarding state of an opening segment.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Envelope {
    /// Number of the copy.
    pub copy: u32,
    /// The balancer.
    pub origin: SocketAddrV4,
    /// Agents that rejected it.
    pub tried: Vec<SocketAddrV4>,
}

/// The failure domain of a node.
pub(super) fn domain(load: &Load, number: u8) -> Name {
    format!("domain-{}", number % load.domains).into()
}

/// The address of an agent.
pub(super) fn agent_address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number), 7_700)
}

/// The address of a balancer.
pub(super) fn balancer_address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, number), 7_700)
}

/// The number of the agent with an address.
pub(super) fn side_number(address: SocketAddrV4) -> u8 {
    address.ip().octets()[3]
}

/// The address that callers use for a class.
pub(super) fn service_address(class: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, class as u8), 443)
}

/// A segment from a caller.
fn from_caller(key: flow::Key, flags: Flags, acknowledged: u32) -> Segment {
    Segment {
        source: key.caller,
        destination: key.service,
        flags,
        sequence: 1,
        acknowledged,
        length: 0,
        mark: 0,
        age_ms: 0,
    }
}

/// A segment from a backend server.
fn from_backend(key: flow::Key, flags: Flags, sequence: u32, length: u16) -> Segment {
    Segment {
        source: key.service,
        destination: key.caller,
        length,
        sequence,
        ..from_caller(key, flags, 2)
    }
}

/// A segment with its forwarding state.
pub(super) fn arrival(segment: Segment, envelope: &Envelope) -> Arrival {
    let forwarding = Forwarding {
        version: 1,
        search: Search::Open,
        hops: envelope.tried.len() as u8,
        delay_ms: 0,
        origin: envelope.origin,
        tried: envelope.tried.clone(),
        to_visit: Vec::new(),
        view_hash: None,
        is_exhaustive: false,
    };
    Arrival { segment, forwarding, service: Some(SERVICE.into()) }
}
