//! Inputs and decisions of an agent.

use std::borrow::Cow;
use std::net::SocketAddrV4;

use lentilreach::Name;
use lentilreach::process::clock::Millis;

use crate::connection::flow;
use crate::process::backend::{self, Bounds};
use crate::process::settings::Placement;
use crate::request::message::{Announcement, Envelope, Search};
use crate::request::segment::Segment;

/// Limits that an agent observes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Limits of a cold backend server, and its report interval.
    pub bounds: Bounds,
    /// Maximum lifetime of a flow, in milliseconds.
    pub max_flow_age_ms: u64,
    /// Approximate number of flows to keep track of.
    pub flows: usize,
    /// Where flows go.
    pub placement: Placement,
}

/// A segment from a caller with its forwarding state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The segment.
    pub segment: Segment,
    /// The forwarding state.
    pub forwarding: Forwarding,
    /// The service that the balancer selected for an opening segment.
    pub service: Option<Name>,
}

/// The forwarding state of a segment, see [`Envelope`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forwarding {
    /// Version of the configuration that the balancer's decision is based on.
    pub version: u64,
    /// How the agent that holds the flow is searched for.
    pub search: Search,
    /// Number of nodes that have forwarded the segment.
    pub hops: u8,
    /// Time for which the segment may have waited in sockets, in milliseconds.
    pub delay_ms: u32,
    /// The balancer that received the segment from the caller.
    pub origin: SocketAddrV4,
    /// Agents that rejected the opening segment or turned out not to hold the flow.
    pub tried: Vec<SocketAddrV4>,
    /// Agents that a walk has still to visit, in this order.
    pub to_visit: Vec<SocketAddrV4>,
    /// Hash of the set of agents that the origin hears; `None` for an opening segment.
    pub view_hash: Option<u32>,
    /// Whether the flow can only be held by agents that the walk has still to visit.
    pub is_exhaustive: bool,
}

impl From<&Envelope<'_>> for Forwarding {
    fn from(envelope: &Envelope<'_>) -> Self {
        Self {
            version: envelope.version,
            search: envelope.search,
            hops: envelope.hops,
            delay_ms: envelope.delay_ms,
            origin: envelope.origin,
            tried: envelope.tried.clone(),
            to_visit: envelope.to_visit.clone(),
            view_hash: envelope.view_hash,
            is_exhaustive: envelope.is_exhaustive,
        }
    }
}

impl Forwarding {
    /// Wraps a segment and its forwarding state into an envelope.
    pub fn envelope<'a>(self, service: Cow<'a, str>, bytes: &'a [u8]) -> Envelope<'a> {
        Envelope {
            version: self.version,
            search: self.search,
            hops: self.hops,
            delay_ms: self.delay_ms,
            origin: self.origin,
            service,
            tried: self.tried,
            to_visit: self.to_visit,
            view_hash: self.view_hash,
            is_exhaustive: self.is_exhaustive,
            bytes,
        }
    }
}

/// What an agent does with a segment from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Deliver it to the backend server.
    Deliver {
        /// Mark that the backend server includes if it returns the segment.
        mark: u32,
        /// The balancer to inform that this agent holds the flow, if any.
        notify: Option<SocketAddrV4>,
        /// Whether the segment opens a flow that was not known here.
        is_new: bool,
    },
    /// Pass it to [`Agent::hold`](super::Agent::hold), which lets it wait until the backend
    /// server has room for it.
    Hold {
        /// The balancer to inform, so that it sends further segments to this agent, if any.
        notify: Option<SocketAddrV4>,
    },
    /// Pass it to [`Agent::postpone`](super::Agent::postpone), which lets it wait until
    /// other agents have stated whether they can hold its flow.
    Postpone(Box<Arrival>),
    /// Forward it to another agent.
    Forward {
        /// The address of the agent.
        to: SocketAddrV4,
        /// The updated forwarding state.
        forwarding: Forwarding,
        /// The service to open a flow to, as of [`Forwarding::version`]; `None` for a segment
        /// of an open flow.
        service: Option<Name>,
        /// Why it is not delivered here.
        cause: Cause,
    },
    /// Send a reset to the caller.
    Refuse {
        /// Sequence number of the reset, within the caller's receive window.
        sequence: u32,
        /// The balancer that should remove the flow from its cache, if any.
        notify: Option<SocketAddrV4>,
        /// Why the segment is refused.
        cause: Cause,
    },
    /// Drop it.
    Drop(Cause),
}

impl Action {
    /// Forwards a segment of an open flow to another agent, where its flow may be.
    pub(super) fn elsewhere(to: SocketAddrV4, forwarding: Forwarding) -> Self {
        Self::Forward { to, forwarding, service: None, cause: Cause::Elsewhere }
    }
}

/// What an agent does with a segment from its backend server.
#[derive(Debug, Clone, PartialEq)]
pub enum BackendAction {
    /// Send it to the caller.
    Send {
        /// Whether it accepts a new flow.
        is_accept: bool,
        /// Whether it belongs to an open flow that this process didn't know.
        is_found: bool,
        /// Time from the delivery of the opening segment to this acceptance, in
        /// milliseconds.
        accept_ms: Option<u64>,
        /// Time from the delivery of the request to this answer, in milliseconds.
        answer_ms: Option<u64>,
        /// Time of the request in a slot, relative to what was expected.
        cost_ratio: Option<f64>,
    },
    /// The backend server returned a segment of the caller; do this with it.
    Returned(Action),
    /// Don't send it to the caller.
    Drop(Cause),
}

/// Why a segment is not delivered but forwarded, refused or dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The backend server can't be given an opening.
    Admission(backend::Refusal),
    /// The backend server returned the opening segment.
    Returned,
    /// The failure domain is out of service.
    DomainOut,
    /// The route doesn't include the service of the backend server.
    Route,
    /// The balancer's decision is based on older routes than an opening that was already
    /// delivered.
    Stale,
    /// The opening is waiting for the backend server, or could not be delivered after
    /// that.
    Held,
    /// The request waited for the backend server until its caller gave up.
    GivenUp,
    /// No agent has room for openings of this priority.
    Overloaded,
    /// Another agent holds the flow.
    Elsewhere,
    /// The flow ended with its backend server.
    Lost,
    /// No agent holds the flow.
    NotFound,
    /// A segment of the same flow waits for the answers of other agents.
    Postponed,
    /// The flow was not found, but some agents that may hold it could not be asked.
    Unknown,
    /// The segment was forwarded too often.
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
            Self::GivenUp => "given_up",
            Self::Overloaded => "overloaded",
            Self::Elsewhere => "elsewhere",
            Self::Lost => "lost",
            Self::NotFound => "nowhere",
            Self::Postponed => "postponed",
            Self::Unknown => "unknown",
            Self::HopLimit => "hops",
        }
    }
}

/// A segment that no longer waits, and what to do with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// The segment.
    pub waiting: Waiting,
    /// What to do with it; never [`Action::Hold`] or [`Action::Postpone`].
    pub action: Action,
}

/// A segment that waits: an opening or a part of a request for the backend server, or a
/// segment of an unknown flow for the answers of other agents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// The segment.
    pub arrival: Arrival,
    /// The unmodified segment.
    pub bytes: Vec<u8>,
    /// Since when it has been waiting.
    pub since: Millis,
}

/// A flow that ended with its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// The flow.
    pub flow: flow::Key,
    /// Sequence number of the reset for the caller.
    pub sequence: u32,
}

/// An announcement to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Address of the home node.
    pub to: SocketAddrV4,
    /// The message.
    pub announcement: Announcement,
}

impl From<backend::Refusal> for Cause {
    fn from(refusal: backend::Refusal) -> Self {
        Self::Admission(refusal)
    }
}
