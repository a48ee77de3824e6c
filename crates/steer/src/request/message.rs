//! Messages between the nodes of the system, and their encoding.

use std::borrow::Cow;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::connection::flow;

/// First byte of every message; changes with the encoding.
const VERSION: u8 = 2;

/// Most flows in one [`Message::Announcement`], so that it fits into one datagram.
pub const MAX_ANNOUNCED: usize = 64;

/// Most agents in [`Envelope::to_ask`]: with seven bytes each, a full segment still fits into one
/// datagram.
pub const MAX_TO_ASK: usize = 40;

/// A message from one node to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message<'a> {
    /// A segment of a caller on its way to a backend server.
    #[serde(borrow)]
    Segment(Envelope<'a>),
    /// The sender holds the flow.
    Found(flow::Key),
    /// No agent holds the flow.
    NotFound(flow::Key),
    /// The sender holds the flows; the receiver is a home of each.
    Announcement(Announcement),
    /// The sender is alive.
    #[serde(borrow)]
    Heartbeat(Heartbeat<'a>),
    /// The sender ends, and its backend server has ended.
    Leave,
}

/// A segment of a caller with what decided on its way so far.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Envelope<'a> {
    /// Revision of the routes by which the balancer decided.
    pub revision: u64,
    /// How the segment looks for its place.
    pub search: Search,
    /// Number of nodes that passed it on.
    pub hops: u8,
    /// The balancer that the segment came through.
    pub origin: SocketAddrV4,
    /// The service that it opens a flow to; empty if it opens none.
    #[serde(borrow)]
    pub service: Cow<'a, str>,
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
    /// The segment as its sender wrote it.
    #[serde(borrow)]
    pub bytes: &'a [u8],
}

/// How a segment looks for its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Search {
    /// It opens a flow.
    Open,
    /// The sender believes that the receiver's backend server holds the flow.
    Known,
    /// The receiver is the home of the flow, the first or the second.
    Home(u8),
    /// The receiver is the home's best knowledge.
    Indexed,
    /// The agents that may hold the flow are asked in turn.
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
            Self::Walk => "walk",
        }
    }
}

/// What a node says of itself from time to time.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat<'a> {
    /// The sender's incarnation: random at its start.
    pub incarnation: u64,
    /// Rises with each beat of an incarnation.
    pub sequence: u32,
    /// The sender's failure domain.
    #[serde(borrow)]
    pub domain: Cow<'a, str>,
    /// Revision of the last change of the operators' documents that the sender knows.
    pub revision: u64,
    /// Whether the receiver should answer with a beat.
    pub wants_reply: bool,
    /// Whether the sender is an agent.
    pub is_agent: bool,
    /// The backend server beside an agent, once that has reported.
    #[serde(borrow)]
    pub offer: Option<BackendStatus<'a>>,
    /// What an agent has told the receiver, another agent, of its flows.
    pub sync_status: Option<SyncStatus>,
}

/// Flows that an agent holds, for a home of them.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// Incarnation of the sender.
    pub sender: u64,
    /// Incarnation of the receiver that the sender means.
    pub receiver: u64,
    /// Which count of messages to this receiver it belongs to, see [`Progress`].
    pub epoch: u32,
    /// The flows, at most [`MAX_ANNOUNCED`].
    pub flows: Vec<flow::Key>,
}

/// Shows a home whether an agent has told it of all flows whose home it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SyncStatus {
    /// Incarnation of the receiver that the sender means.
    pub receiver: u64,
    /// Fingerprint of the agents among which the sender chose homes.
    pub view_hash: u32,
    /// Number of these agents.
    pub view_size: u16,
    /// Whether the sender knows all flows of its backend server.
    pub knows_all_flows: bool,
    /// What the sender has sent to the receiver.
    pub sent: Progress,
    /// What the sender has received from the receiver.
    pub received: Progress,
}

/// Messages [`Announcement`] from one agent to another.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Progress {
    /// Rises when the sender begins to tell all flows again.
    pub epoch: u32,
    /// Messages of this epoch.
    pub count: u32,
}

/// The backend server beside an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendStatus<'a> {
    /// Its service.
    #[serde(borrow)]
    pub service: Cow<'a, str>,
    /// Whether it takes new flows.
    pub stage: Stage,
    /// Its open flows.
    pub open: u32,
    /// Flows of which a request waits for its answer.
    pub busy: u32,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Balancers of the failure domain that the agent hears. Each of them places flows here
    /// between two beats.
    pub balancers: u32,
}

impl BackendStatus<'_> {
    /// The same offer without borrowed parts.
    pub fn to_owned(&self) -> BackendStatus<'static> {
        let service = Cow::Owned(self.service.clone().into_owned());
        BackendStatus { service, ..*self }
    }
}

/// Whether a backend server takes new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Stage {
    /// It takes them.
    Ready,
    /// It takes few of them.
    Cold,
    /// It takes none: it drains, or has said nothing for too long.
    Closed,
}

impl<'a> Message<'a> {
    /// The bytes of the message.
    pub fn encode(&self) -> Vec<u8> {
        let body = postcard::to_extend(self, vec![VERSION]);
        body.expect("all parts have a length")
    }

    /// Reads a message; none if the bytes are not one of this version.
    pub fn decode(bytes: &'a [u8]) -> Option<Self> {
        let (&version, body) = bytes.split_first()?;
        if version != VERSION {
            return None;
        }
        postcard::from_bytes(body).ok()
    }
}
