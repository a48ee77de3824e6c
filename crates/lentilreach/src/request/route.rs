//! The routing decision of a balancer for one datagram.

use std::net::{IpAddr, Ipv4Addr, SocketAddrV4};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::connection::token;
use crate::id::service;
use crate::request::packet::{Form, Packet};
use crate::version::load;
use crate::version::table::MAX_CANDIDATES;
use crate::version::view::{Service, View};

/// What to do with a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Forward it to the agent that the token names.
    Forward {
        /// The service addressed.
        service: service::Id,
        /// The agent of the flow.
        agent: SocketAddrV4,
    },
    /// Offer the flow to the candidates in their order.
    Offer {
        /// The service addressed.
        service: service::Id,
        /// The agent that tracks the flow while it opens. Depends on the flow and the
        /// membership, not on load.
        home: SocketAddrV4,
        /// Never empty.
        candidates: Candidates,
    },
    /// Drop it and count the reason.
    Drop(Reason),
}

/// Why a datagram is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Not a QUIC packet.
    NotQuic,
    /// Too short for its header.
    Short,
    /// No service has this address.
    UnknownService,
    /// The connection ID is not a valid token and the packet does not open a flow.
    ForgedToken,
    /// The token belongs to another service.
    ForeignToken,
    /// The token's failure domain is taken out of service.
    DomainOut,
    /// No backend server is available for a new flow.
    NoMember,
}

impl Reason {
    /// The metric label of the reason.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotQuic => "not_quic",
            Self::Short => "short",
            Self::UnknownService => "unknown_service",
            Self::ForgedToken => "forged_token",
            Self::ForeignToken => "foreign_token",
            Self::DomainOut => "domain_out",
            Self::NoMember => "no_member",
        }
    }
}

/// An ordered list of agents to offer a flow to, each at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidates {
    /// Only the first `len` elements are valid.
    list: [SocketAddrV4; MAX_CANDIDATES],
    /// Number of candidates, at most [`MAX_CANDIDATES`].
    len: u8,
}

impl Candidates {
    /// An empty list.
    pub const EMPTY: Self = Self {
        list: [SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0); MAX_CANDIDATES],
        len: 0,
    };

    /// Appends an agent; has no effect on a full list.
    pub fn push(&mut self, agent: SocketAddrV4) {
        if let Some(slot) = self.list.get_mut(usize::from(self.len)) {
            *slot = agent;
            self.len += 1;
        }
    }

    /// The agents in order.
    pub fn as_slice(&self) -> &[SocketAddrV4] {
        &self.list[..usize::from(self.len)]
    }
}

/// Routes one datagram.
///
/// `salt` is a secret shared by all balancers. Callers do not know it, so they cannot choose
/// their backend server; balancers share it, so copies of an opening packet take the same path
/// through any of them.
pub fn route(view: &View, keys: &token::Keys, packet: &Packet<'_>, salt: u64) -> Verdict {
    let Some(service) = view.service(packet.service) else {
        return Verdict::Drop(Reason::UnknownService);
    };
    match keys.decode(packet.destination) {
        Ok(token) if token.service != service.id => Verdict::Drop(Reason::ForeignToken),
        Ok(token) if view.is_out(token.domain) => Verdict::Drop(Reason::DomainOut),
        Ok(token) => Verdict::Forward { service: service.id, agent: token.agent },
        Err(_) if packet.form == Form::Initial => offer(view, service, packet, salt),
        Err(_) => Verdict::Drop(Reason::ForgedToken),
    }
}

/// Orders the candidates of an opening packet by weighted rendezvous hashing.
///
/// The order depends only on the flow and the costs. A small difference in cost between two
/// views changes the order for few flows only. Balancers therefore mostly agree, and none
/// sends all its flows to the member that was idle in the last report.
fn offer(view: &View, service: &Service, packet: &Packet<'_>, salt: u64) -> Verdict {
    let flow_hash = flow_hash(packet, salt);
    let random_bytes = mix(flow_hash).to_le_bytes();
    let mut agents = [SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0); MAX_CANDIDATES];
    // The score in the high bits, the index in the low byte. Positive floats compare like
    // their bit patterns.
    let mut ranks = [u64::MAX; MAX_CANDIDATES];
    let (mut len, mut accepting) = (0, 0);
    // The first accepting member in the order of the flow's row in the lookup table, which
    // does not depend on load.
    let mut home = MAX_CANDIDATES;
    let entries = agents.iter_mut().zip(&mut ranks).zip(random_bytes).enumerate();
    for ((index, ((agent, rank), byte)), choice) in
        entries.zip(service.choices(flow_hash))
    {
        *agent = choice.agent;
        let is_available = !view.is_out(choice.domain);
        let score = choice.cost * EXPONENTIAL_DRAWS[usize::from(byte)];
        if is_available {
            *rank = u64::from(score.to_bits()) << 8 | index as u64;
        }
        len += u8::from(is_available);
        let is_accepting = is_available && choice.cost < load::INELIGIBLE_COST;
        accepting += u8::from(is_accepting);
        home = home.min(if is_accepting { index } else { MAX_CANDIDATES });
    }
    if len == 0 {
        return Verdict::Drop(Reason::NoMember);
    }
    sort(&mut ranks);
    // Members that may not get a new flow are listed only if there are no others. Agents
    // decline flows to balance load as long as candidates remain, and those members would
    // refuse them.
    let len = if accepting == 0 { len } else { accepting };
    let list = ranks.map(|rank| agents[rank as usize % MAX_CANDIDATES]);
    let home = if accepting == 0 { list[0] } else { agents[home] };
    Verdict::Offer { service: service.id, home, candidates: Candidates { list, len } }
}

/// Sorts with Batcher's sorting network, which has no data-dependent branches.
///
/// It is unrolled by hand: the compiler keeps the values in registers only if all indices are
/// constants.
fn sort(ranks: &mut [u64; MAX_CANDIDATES]) {
    let [mut a, mut b, mut c, mut d, mut e, mut f, mut g, mut h] = *ranks;
    compare_exchange([&mut a, &mut c, &mut e, &mut g], [&mut b, &mut d, &mut f, &mut h]);
    compare_exchange([&mut a, &mut b, &mut e, &mut f], [&mut c, &mut d, &mut g, &mut h]);
    compare_exchange([&mut b, &mut f], [&mut c, &mut g]);
    compare_exchange([&mut a, &mut b, &mut c, &mut d], [&mut e, &mut f, &mut g, &mut h]);
    compare_exchange([&mut c, &mut d], [&mut e, &mut f]);
    compare_exchange([&mut b, &mut d, &mut f], [&mut c, &mut e, &mut g]);
    *ranks = [a, b, c, d, e, f, g, h];
}

/// Moves the smaller value of each pair to `low`.
#[inline(always)]
fn compare_exchange<const N: usize>(low: [&mut u64; N], high: [&mut u64; N]) {
    for (low, high) in low.into_iter().zip(high) {
        (*low, *high) = ((*low).min(*high), (*low).max(*high));
    }
}

/// Hashes the identity of a flow: the caller's address and the connection ID that it chose.
fn flow_hash(packet: &Packet<'_>, salt: u64) -> u64 {
    let port = u64::from(packet.caller.port());
    let caller = match packet.caller.ip() {
        IpAddr::V4(ip) => u64::from(u32::from(ip)) << 16 | port,
        IpAddr::V6(ip) => xxh3_64_with_seed(&ip.octets(), port),
    };
    xxh3_64_with_seed(packet.destination, salt ^ mix(caller))
}

/// Mixes the bits of `x` bijectively (Stafford's variant 13 of the MurmurHash3 finalizer).
fn mix(mut x: u64) -> u64 {
    x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ x >> 31
}

/// Exponentially distributed values, indexed by a random byte.
///
/// Choosing the member with the least product of cost and value selects members in proportion
/// to their weight, the inverse of the cost.
static EXPONENTIAL_DRAWS: [f32; 256] = exponential_draws();

/// Computes `-ln((i + 0.5) / 256)` for all bytes `i`.
const fn exponential_draws() -> [f32; 256] {
    let mut exponential_draws = [0.0; 256];
    let mut i = 0;
    while i < exponential_draws.len() {
        exponential_draws[i] = -ln((i as f64 + 0.5) / 256.0) as f32;
        i += 1;
    }
    exponential_draws
}

/// The natural logarithm of a number in (0, 1); the standard library has none that is a `const
/// fn`. Factors of two are split off, and the remainder is computed by the series of the
/// inverse hyperbolic tangent.
const fn ln(mut x: f64) -> f64 {
    let mut result = 0.0;
    while x < 0.5 {
        x *= 2.0;
        result -= std::f64::consts::LN_2;
    }
    let ratio = (x - 1.0) / (x + 1.0);
    let mut power = ratio;
    let mut divisor = 1.0;
    while divisor < 40.0 {
        result += 2.0 * power / divisor;
        power *= ratio * ratio;
        divisor += 2.0;
    }
    result
}
