//! Messages between nodes and their encoding.

use std::borrow::Cow;
use std::net::SocketAddrV4;

use lentilreach::process::store::Revision;
use serde::{Deserialize, Serialize};

use crate::connection::flow;

/// First byte of every message. Incremented whenever the encoding changes.
const VERSION: u8 = 5;

/// Maximum number of flows in one [`Message::Announcement`], so that it fits into one
/// datagram.
pub const MAX_ANNOUNCED: usize = 64;

/// Maximum number of agents in [`Envelope::to_visit`]. An address takes seven bytes, and a
/// full-sized segment must still fit into the same datagram.
pub const MAX_TO_VISIT: usize = 40;

/// A message from one node to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message<'a> {
    /// A caller's segment on its way to a backend server.
    #[serde(borrow)]
    Segment(Envelope<'a>),
    /// The sending agent holds the flow.
    Found(flow::Key),
    /// No agent holds the flow.
    NotFound(flow::Key),
    /// The sender holds the flows and the receiver is a home node of each of them.
    Announcement(Announcement),
    /// The sender is alive.
    #[serde(borrow)]
    Heartbeat(Heartbeat<'a>),
    /// The process with this incarnation at the sender's address is shutting down, and its
    /// backend server has already stopped.
    Leave(u64),
    /// Asks a node for the operators' documents as it knows them.
    DocumentsRequest,
    /// A part of the operators' documents.
    #[serde(borrow)]
    Documents(Chunk<'a>),
    /// Another agent than the sender holds the flows.
    Handover(Handover),
}

/// A caller's segment with the forwarding state that it carries between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Envelope<'a> {
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
    /// The service to open a flow to; empty unless the segment opens a flow.
    #[serde(borrow)]
    pub service: Cow<'a, str>,
    /// Agents that rejected the opening segment or turned out not to hold the flow.
    pub tried: Vec<SocketAddrV4>,
    /// Agents that a walk has still to visit, in this order.
    pub to_visit: Vec<SocketAddrV4>,
    /// Hash of the set of agents that the origin hears; `None` for an opening segment.
    pub view_hash: Option<u32>,
    /// Whether the flow can only be held by agents that the walk has still to visit.
    pub is_exhaustive: bool,
    /// The unmodified segment.
    #[serde(borrow)]
    pub bytes: &'a [u8],
}

/// How the agent that holds a flow is searched for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Search {
    /// The segment opens a flow, so there is nothing to search for.
    Open,
    /// The sender believes that the receiver's backend server holds the flow.
    Known,
    /// The receiver is a home node of the flow: the first one (0) or the second one (1).
    Home(u8),
    /// The index of a home node lists the receiver as holding the flow.
    Indexed,
    /// The home nodes don't answer, so the receiver searches in their place.
    Fallback,
    /// Agents that may hold the flow are visited in turn.
    Walk,
}

impl Search {
    /// The label in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Known => "known",
            Self::Home(0) => "home",
            Self::Home(_) => "second_home",
            Self::Indexed => "told",
            Self::Fallback | Self::Walk => "walk",
        }
    }
}

/// Periodic status message of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat<'a> {
    /// Random number chosen when the sender started. Distinguishes successive processes
    /// at the same address.
    pub incarnation: u64,
    /// Increases with each heartbeat of an incarnation.
    pub sequence: u32,
    /// The sender's failure domain.
    #[serde(borrow)]
    pub domain: Cow<'a, str>,
    /// Revision of the last change to the operators' documents that the sender has seen.
    pub revision: Revision,
    /// Whether the receiver should reply with a heartbeat.
    pub wants_reply: bool,
    /// Whether the sender is an agent.
    pub is_agent: bool,
    /// State of the backend server of the sending agent, once it has reported.
    #[serde(borrow)]
    pub backend_status: Option<BackendStatus<'a>>,
    /// Which announcements the sending and the receiving agent have exchanged.
    pub sync_status: Option<SyncStatus>,
    /// What the backend server of the sending agent has to do. It follows the encoded
    /// message, where nodes of an earlier version don't read on.
    #[serde(skip)]
    pub load: Option<Load>,
}

/// What a backend server has to do, and how long that takes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Mean number of requests that it has been given, in tenths.
    pub given: u32,
    /// Requests that wait for it, by priority.
    pub waiting: Vec<Waiting>,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Expected time that a request takes in a slot, in tenths of a millisecond; 0 until it
    /// is known.
    pub request: u32,
    /// The same for a few routes: those with long flows, and those that differ from the
    /// mean.
    pub routes: Vec<RouteLoad>,
    /// The least urgent priority that it has room for; `None` if it has for all.
    pub floor: Option<u8>,
    /// Whether flows are placed by it only while the backend servers of the service differ
    /// in speed.
    pub is_conditional: bool,
}

/// Requests of a priority that wait for a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Waiting {
    /// The priority.
    pub priority: u8,
    /// Their mean number, in tenths.
    pub jobs: u32,
}

/// How long requests of a route take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouteLoad {
    /// Hash of the route's address, see [`route_hash`].
    pub route: u16,
    /// Expected time that a request takes in a slot, in tenths of a millisecond.
    pub request: u32,
    /// Whether flows of the route are open for several requests.
    pub is_long: bool,
}

/// A hash of a route's address. Two routes with the same hash share an estimate.
pub fn route_hash(address: SocketAddrV4) -> u16 {
    flow::Key { caller: address, service: address }.hash() as u16
}

/// Converts a number to tenths.
pub fn tenths(value: f64) -> u32 {
    (value * 10.0).round() as u32
}

/// Converts tenths to a number.
pub fn from_tenths(tenths: u32) -> f64 {
    f64::from(tenths) / 10.0
}

/// Announces flows that an agent holds to one of their home nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// Incarnation of the sender.
    pub sender: u64,
    /// Incarnation of the receiver that the message is addressed to.
    pub receiver: u64,
    /// Epoch in which the message is counted, see [`Progress`].
    pub epoch: u32,
    /// Number of the message in this epoch, from 1.
    pub number: u32,
    /// The flows, at most [`MAX_ANNOUNCED`].
    pub flows: Vec<flow::Key>,
}

/// Entries of a home node's index, for an agent that is a home node now or may become one.
/// The holder may have forgotten the flows in a restart, so it can't announce them again.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Handover {
    /// Address of the agent that announced the flows.
    pub holder: SocketAddrV4,
    /// Incarnation of the holder when it announced them.
    pub incarnation: u64,
    /// The flows, at most [`MAX_ANNOUNCED`].
    pub flows: Vec<flow::Key>,
}

/// Tells a home node whether it has received announcements of all flows that the sender
/// holds and the receiver is responsible for, at the time when it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SyncStatus {
    /// Incarnation of the receiver that the message is addressed to.
    pub receiver: u64,
    /// Hash of the set of agents that the sender hears.
    pub view_hash: u32,
    /// Whether the sender hears all agents that it knows.
    pub hears_all: bool,
    /// Whether the sender has announced every flow of its backend server that it has to
    /// announce to the receiver.
    pub is_complete: bool,
    /// Announcements sent to the receiver.
    pub sent: Progress,
    /// Announcements received from the receiver.
    pub received: Progress,
    /// Number of the sender's last question.
    pub question: u32,
    /// Number of the last question of the receiver that the sender has received.
    pub answered: u32,
}

/// Counts announcements from one agent to another.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Progress {
    /// Incremented when the sender starts to announce all flows again.
    pub epoch: u32,
    /// Number of announcements in this epoch; as a receiver counts them, of those before
    /// the first one that is missing.
    pub count: u32,
}

/// State of the backend server next to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendStatus<'a> {
    /// The service that it runs.
    #[serde(borrow)]
    pub service: Cow<'a, str>,
    /// Whether it accepts new flows.
    pub stage: Stage,
    /// Number of open flows and waiting openings.
    pub open: u32,
    /// Number of flows with an unanswered request.
    pub busy: u32,
    /// Number of requests that it can run concurrently; half of them while it is cold.
    pub slots: u32,
    /// Mean lifetime of its flows, in milliseconds; 0 if it is unknown.
    pub lifetime_ms: u32,
    /// Whether it resets or doesn't answer many of the flows that it has accepted.
    pub is_failing: bool,
    /// Number of live balancers in the agent's failure domain. Each of them may place
    /// flows on this agent between two heartbeats.
    pub balancers: u32,
}

impl BackendStatus<'_> {
    /// Copies the status into owned data.
    pub fn to_owned(&self) -> BackendStatus<'static> {
        let service = Cow::Owned(self.service.clone().into_owned());
        BackendStatus { service, ..*self }
    }
}

/// A part of the operators' documents, see [`crate::process::documents::share`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Chunk<'a> {
    /// Store revision up to which the sender knows all changes.
    pub revision: Revision,
    /// Number of this part, below `count`.
    pub index: u16,
    /// Number of parts.
    pub count: u16,
    /// The encoded documents from this part.
    #[serde(borrow)]
    pub bytes: &'a [u8],
}

/// Whether a backend server accepts new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Stage {
    /// Accepts new flows.
    Ready,
    /// Cold, as after its start: accepts new flows at a limited rate.
    Cold,
    /// Accepts no new flows, because it is draining or its reports are overdue.
    Closed,
}

impl<'a> Message<'a> {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let body = postcard::to_extend(self, vec![VERSION]);
        let bytes = body.expect("every field has a known length");
        match self {
            Self::Heartbeat(Heartbeat { load: Some(load), .. }) => {
                postcard::to_extend(load, bytes).expect("every field has a known length")
            }
            _ => bytes,
        }
    }

    /// Decodes a message. Returns `None` if the bytes are malformed or of another
    /// version.
    pub fn decode(bytes: &'a [u8]) -> Option<Self> {
        let (&version, body) = bytes.split_first()?;
        if version != VERSION {
            return None;
        }
        let (mut message, rest) = postcard::take_from_bytes(body).ok()?;
        if let Self::Heartbeat(heartbeat) = &mut message {
            heartbeat.load = postcard::from_bytes(rest).ok();
        }
        Some(message)
    }
}
