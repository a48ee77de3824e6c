//! What an agent is given, and what it decides.

use std::borrow::Cow;
use std::net::SocketAddrV4;

use lentilreach::Name;
use lentilreach::process::clock::Millis;

use crate::connection::flow;
use crate::process::backend::{self, Bounds};
use crate::request::message::{Announcement, Envelope, Search};
use crate::request::segment::Segment;

/// What an agent keeps to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// What a cold backend server bears, and how often it reports.
    pub bounds: Bounds,
    /// Longest life of a flow, in milliseconds.
    pub max_flow_age_ms: u64,
    /// About how many flows are remembered.
    pub flows: usize,
}

/// A segment of a caller and what decided on its way so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The segment.
    pub segment: Segment,
    /// The way so far.
    pub forwarding: Forwarding,
    /// The service that the balancer chose for an opening.
    pub service: Option<Name>,
}

/// The way of a segment so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forwarding {
    /// Revision of the routes by which the balancer decided.
    pub revision: u64,
    /// How the segment looks for its place.
    pub search: Search,
    /// Number of nodes that passed it on.
    pub hops: u8,
    /// The balancer that it came through.
    pub origin: SocketAddrV4,
    /// Agents that did not take the flow that it opens, or do not hold it.
    pub tried: Vec<SocketAddrV4>,
    /// Agents that a walk has still to ask, in this order.
    pub to_ask: Vec<SocketAddrV4>,
    /// Agents that the node that began the walk knows, itself and lost ones included.
    pub known_agents: u16,
    /// Whether the first home found that no agent holds the flow without having told it.
    pub is_index_complete: bool,
    /// Whether no agent other than those that the walk asks may hold the flow.
    pub is_exhaustive: bool,
}

impl From<&Envelope<'_>> for Forwarding {
    fn from(envelope: &Envelope<'_>) -> Self {
        Self {
            revision: envelope.revision,
            search: envelope.search,
            hops: envelope.hops,
            origin: envelope.origin,
            tried: envelope.tried.clone(),
            to_ask: envelope.to_ask.clone(),
            known_agents: envelope.known_agents,
            is_index_complete: envelope.is_index_complete,
            is_exhaustive: envelope.is_exhaustive,
        }
    }
}

impl Forwarding {
    /// The envelope in which a segment goes on.
    pub fn envelope<'a>(self, service: Cow<'a, str>, bytes: &'a [u8]) -> Envelope<'a> {
        Envelope {
            revision: self.revision,
            search: self.search,
            hops: self.hops,
            origin: self.origin,
            service,
            tried: self.tried,
            to_ask: self.to_ask,
            known_agents: self.known_agents,
            is_index_complete: self.is_index_complete,
            is_exhaustive: self.is_exhaustive,
            bytes,
        }
    }
}

/// What becomes of a segment of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The backend server gets it.
    Deliver {
        /// Mark that it returns with the segment.
        mark: u32,
        /// Whether the balancer is to learn that the flow is here.
        notify: Option<SocketAddrV4>,
        /// Whether it opens a flow that was not here.
        is_new: bool,
    },
    /// The backend server gets it later, when it bears one more opening. Until then it is
    /// kept; at that time [`Agent::release`] decides.
    Hold {
        /// When.
        until: Millis,
    },
    /// Another agent gets it.
    Forward {
        /// The agent.
        to: SocketAddrV4,
        /// The way so far.
        forwarding: Forwarding,
        /// Why it is not delivered here.
        cause: Cause,
    },
    /// The caller gets a reset with this sequence number.
    Refuse {
        /// Within the window of the caller.
        sequence: u32,
        /// The balancer that should forget the flow.
        notify: Option<SocketAddrV4>,
        /// Why.
        cause: Cause,
    },
    /// It is dropped.
    Drop(Cause),
}

/// What becomes of a segment of the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendAction {
    /// The caller gets it.
    Send {
        /// Whether it accepts a new flow.
        is_accept: bool,
        /// Time since the opening segment that it accepts was delivered, in milliseconds.
        accept_ms: Option<u64>,
        /// Time since the request that it answers was delivered, in milliseconds.
        answer_ms: Option<u64>,
    },
    /// A segment that the backend server did not take, and what becomes of it.
    Returned(Action),
    /// The caller does not get it.
    Drop(Cause),
}

/// Why a segment is not delivered, or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The backend server may not be given an opening.
    Admission(backend::Refusal),
    /// The backend server did not take the opening.
    Returned,
    /// The failure domain is out of service.
    DomainOut,
    /// The route does not lead to the service of the backend server.
    Route,
    /// The balancer decided by routes older than those that this agent has acted by.
    Stale,
    /// The opening waits for a cold backend server, or waited in vain.
    Held,
    /// The flow is somewhere else.
    Elsewhere,
    /// The flow ended with its backend server.
    Lost,
    /// No agent holds the flow.
    NotFound,
    /// Agents that may hold the flow cannot be asked.
    Unknown,
    /// The agent of the flow is out of reach.
    Unreachable,
    /// It was passed on too often.
    HopLimit,
}

impl Cause {
    /// The label in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Admission(refusal) => refusal.as_str(),
            Self::Returned => "returned",
            Self::DomainOut => "domain_out",
            Self::Route => "route",
            Self::Stale => "stale",
            Self::Held => "held",
            Self::Elsewhere => "elsewhere",
            Self::Lost => "lost",
            Self::NotFound => "nowhere",
            Self::Unknown => "unknown",
            Self::Unreachable => "unreachable",
            Self::HopLimit => "hops",
        }
    }
}

/// A flow that ended with its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// The flow.
    pub flow: flow::Key,
    /// Sequence number of the reset for the caller.
    pub sequence: u32,
}

/// Flows that a home is to be told of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The home.
    pub to: SocketAddrV4,
    /// What it is told.
    pub announcement: Announcement,
}

impl From<backend::Refusal> for Cause {
    fn from(refusal: backend::Refusal) -> Self {
        Self::Admission(refusal)
    }
}
