//! The decision for one datagram at a balancer.

use std::net::{IpAddr, Ipv4Addr, SocketAddrV4};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::connection::token;
use crate::id::service;
use crate::request::packet::{Form, Packet};
use crate::version::load;
use crate::version::table::WIDTH;
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
    /// Offer it to candidates, the first one first.
    Offer {
        /// The service addressed.
        service: service::Id,
        /// The agent that keeps track of the opening flow. Depends on the flow and the
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
    /// Neither a valid token nor the opening of a flow.
    ForgedToken,
    /// The token belongs to another service.
    ForeignToken,
    /// The token's failure domain is out.
    DomainOut,
    /// No backend server may take a new flow.
    NoMember,
}

impl Reason {
    /// The label of the reason in metrics.
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

/// An ordered list of agents, each to be tried at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidates {
    /// The first `len` are set.
    list: [SocketAddrV4; WIDTH],
    /// At most [`WIDTH`].
    len: u8,
}

impl Candidates {
    /// An empty list.
    pub const EMPTY: Self =
        Self { list: [SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0); WIDTH], len: 0 };

    /// Appends an agent; a full list stays as it is.
    pub fn push(&mut self, agent: SocketAddrV4) {
        if let Some(place) = self.list.get_mut(usize::from(self.len)) {
            *place = agent;
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
/// `salt` is a secret number that all balancers share: callers cannot aim at a backend server,
/// and copies of an opening packet take the same way through any balancer.
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

/// Orders the candidates of an opening packet by weighted rendezvous hash.
///
/// The order depends on the flow and on the costs alone. A small difference in cost between two
/// views changes the order for few flows only, so balancers mostly agree and none sends all its
/// flows to the member that looked idle in the last report.
fn offer(view: &View, service: &Service, packet: &Packet<'_>, salt: u64) -> Verdict {
    let hash = hash(packet, salt);
    let draws = mix(hash).to_le_bytes();
    let mut agents = [SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0); WIDTH];
    // The score above the place. Positive floats are in the same order as their bits.
    let mut ranks = [u64::MAX; WIDTH];
    let (mut len, mut takers) = (0, 0);
    // The place of the first taker in the order of the bucket, which load does not change.
    let mut home = WIDTH;
    let places = agents.iter_mut().zip(&mut ranks).zip(draws).enumerate();
    for ((place, ((agent, rank), draw)), choice) in places.zip(service.choices(hash)) {
        *agent = choice.agent;
        let is_in = !view.is_out(choice.domain);
        let score = choice.cost * DRAWS[usize::from(draw)];
        if is_in {
            *rank = u64::from(score.to_bits()) << 8 | place as u64;
        }
        len += u8::from(is_in);
        let takes = is_in && choice.cost < load::LAST;
        takers += u8::from(takes);
        home = home.min(if takes { place } else { WIDTH });
    }
    if len == 0 {
        return Verdict::Drop(Reason::NoMember);
    }
    sort(&mut ranks);
    // Members that may get no new flow are listed only if there is no other: agents decline
    // flows for balance as long as candidates remain, and these would refuse them.
    let len = if takers == 0 { len } else { takers };
    let list = ranks.map(|rank| agents[rank as usize % WIDTH]);
    let home = if takers == 0 { list[0] } else { agents[home] };
    Verdict::Offer { service: service.id, home, candidates: Candidates { list, len } }
}

/// Sorts by the network of Batcher, which has no branch that depends on the values.
///
/// Written out, since the compiler keeps the values in registers only if all indices are
/// constants.
fn sort(ranks: &mut [u64; WIDTH]) {
    let [mut a, mut b, mut c, mut d, mut e, mut f, mut g, mut h] = *ranks;
    order([&mut a, &mut c, &mut e, &mut g], [&mut b, &mut d, &mut f, &mut h]);
    order([&mut a, &mut b, &mut e, &mut f], [&mut c, &mut d, &mut g, &mut h]);
    order([&mut b, &mut f], [&mut c, &mut g]);
    order([&mut a, &mut b, &mut c, &mut d], [&mut e, &mut f, &mut g, &mut h]);
    order([&mut c, &mut d], [&mut e, &mut f]);
    order([&mut b, &mut d, &mut f], [&mut c, &mut e, &mut g]);
    *ranks = [a, b, c, d, e, f, g, h];
}

/// Puts the lesser of each pair first.
#[inline(always)]
fn order<const N: usize>(low: [&mut u64; N], high: [&mut u64; N]) {
    for (low, high) in low.into_iter().zip(high) {
        (*low, *high) = ((*low).min(*high), (*low).max(*high));
    }
}

/// Hashes what identifies a flow: the caller and the connection ID that it chose.
fn hash(packet: &Packet<'_>, salt: u64) -> u64 {
    let port = u64::from(packet.caller.port());
    let caller = match packet.caller.ip() {
        IpAddr::V4(ip) => u64::from(u32::from(ip)) << 16 | port,
        IpAddr::V6(ip) => xxh3_64_with_seed(&ip.octets(), port),
    };
    xxh3_64_with_seed(packet.destination, salt ^ mix(caller))
}

/// A bijection whose result looks independent of its argument (Stafford's variant 13).
fn mix(mut x: u64) -> u64 {
    x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ x >> 31
}

/// Exponentially distributed draws for all bytes.
///
/// The member with the least product of cost and draw is chosen in proportion to its weight.
static DRAWS: [f32; 256] = draws();

/// Computes `-ln((i + 0.5) / 256)` for all bytes `i`.
const fn draws() -> [f32; 256] {
    let mut draws = [0.0; 256];
    let mut i = 0;
    while i < draws.len() {
        draws[i] = -ln((i as f64 + 0.5) / 256.0) as f32;
        i += 1;
    }
    draws
}

/// The natural logarithm of a number in (0, 1), which the standard library lacks as a constant
/// function: powers of two are split off, and the rest is the series of the inverse hyperbolic
/// tangent.
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
