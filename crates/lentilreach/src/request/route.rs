//! The decision for one datagram at a balancer.

use std::net::{Ipv4Addr, SocketAddrV4};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::connection::token;
use crate::id::service;
use crate::request::packet::{Form, Packet};
use crate::version::table::WIDTH;
use crate::version::view::{Member, Service, Stage, View};

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
/// `salt` is a random number that spreads flows over members of equal load.
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

/// Orders the candidates of an opening packet by stage and advised load.
fn offer(view: &View, service: &Service, packet: &Packet<'_>, salt: u64) -> Verdict {
    let hash = xxh3_64_with_seed(packet.destination, u64::from(packet.caller.port()));
    let mut ranked = [(u32::MAX, SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0)); WIDTH];
    let mut len = 0;
    for (place, member) in service.candidates(hash).enumerate() {
        if view.is_out(member.domain) {
            continue;
        }
        let cost = cost(member, (salt >> (8 * place)) as u8);
        let at = ranked[..len].partition_point(|(other, _)| *other <= cost);
        ranked.copy_within(at..len, at + 1);
        ranked[at] = (cost, member.agent);
        len += 1;
    }
    if len == 0 {
        return Verdict::Drop(Reason::NoMember);
    }
    let mut candidates = Candidates::EMPTY;
    for (_, agent) in &ranked[..len] {
        candidates.push(*agent);
    }
    Verdict::Offer { service: service.id, candidates }
}

/// The cost of giving a member a new flow: stage, then advised use, then a random byte.
///
/// Use is quantised to 1/64 of the limit, so that members of about equal load share the
/// flows that arrive between two advices.
fn cost(member: &Member, noise: u8) -> u32 {
    let stage = match member.stage {
        Stage::Active | Stage::Cold => 0,
        Stage::Leaving | Stage::Silent => 1,
    };
    let limit = u64::from(member.load.limit.max(1));
    let used = (u64::from(member.load.open) * 64 / limit).min(0xffff) as u32;
    stage << 24 | used << 8 | u32::from(noise)
}
