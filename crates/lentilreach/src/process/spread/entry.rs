//! What the exchange carries: typed entries, each with a key and a version.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::id::{domain, node};
use crate::process::name::Name;
use crate::process::spread::digest::{Audience, document_position};

/// Longest document in bytes.
pub const MAX_DOCUMENT: usize = 64 << 10;

/// Most balancers that a node attaches to.
pub const MONITORS: usize = 3;

/// One versioned piece of state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// A configuration document, or its deletion.
    Document(Document),
    /// A node's announcement of itself.
    Node(Arc<Node>),
    /// The balancers that a node attaches to.
    Attach(Attach),
    /// A change of a node's liveness.
    Health(Health),
    /// A load report.
    Load(Load),
}

impl Entry {
    /// A document as read from the store at `revision`; `None` if it was deleted.
    pub fn document(key: Name, revision: u64, value: Option<Bytes>) -> Self {
        Self::Document(Document { key, revision, value })
    }

    /// What the entry is about.
    pub fn key(&self) -> Key {
        match self {
            Self::Document(document) => Key::Document(document.key.clone()),
            Self::Node(node) => Key::Node(node.id),
            Self::Attach(attach) => Key::Attach(attach.node),
            Self::Health(health) => Key::Health(health.node),
            Self::Load(load) => Key::Load(load.node),
        }
    }

    /// How urgent the entry is.
    pub fn class(&self) -> Class {
        match self {
            Self::Document(_) => Class::Configuration,
            Self::Node(node) if node.stage == Stage::Leaving => Class::Configuration,
            Self::Node(_) | Self::Health(_) => Class::Liveness,
            // Those that an attachment concerns learn it from heartbeats; the others need it
            // only if all of them fail.
            Self::Attach(_) => Class::Repair,
            Self::Load(_) => Class::Load,
        }
    }

    /// The nodes that need the entry; `None` for loads, which digests leave out.
    pub fn audience(&self) -> Option<Audience> {
        let audience = |role| match role {
            Role::Balancer => Audience::Common,
            Role::Agent => Audience::Balancers,
        };
        match self {
            Self::Document(document) => Some(document.audience()),
            Self::Node(node) => Some(audience(node.role)),
            Self::Attach(_) => Some(Audience::Balancers),
            Self::Health(health) => Some(audience(health.role)),
            Self::Load(_) => None,
        }
    }
}

/// Identifies an entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// A document by its store key.
    Document(Name),
    /// The announcement of a node.
    Node(node::Id),
    /// The attachment of a node.
    Attach(node::Id),
    /// The liveness of a node.
    Health(node::Id),
    /// The load of a node.
    Load(node::Id),
}

/// Priority of traffic, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Configuration, out-of-service and draining state, heartbeats.
    Configuration,
    /// Announcements and liveness.
    Liveness,
    /// Attachments, digests and what they repair.
    Repair,
    /// Load reports.
    Load,
}

/// A configuration document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Its key in the store.
    pub key: Name,
    /// The store revision of the last change or deletion; the version.
    pub revision: u64,
    /// Its content, opaque to the exchange; `None` if it was deleted.
    pub value: Option<Bytes>,
}

impl Document {
    /// The nodes that need the document: those of its organisation or all.
    pub fn audience(&self) -> Audience {
        let mut parts = self.key.trim_start_matches("lentilreach/").split('/');
        match (parts.next(), parts.next()) {
            (Some("service"), Some(organisation)) => {
                Audience::Organisation(Name::from(organisation))
            }
            _ => Audience::Common,
        }
    }

    /// Its place in a digest.
    pub fn position(&self) -> u64 {
        document_position(xxh3_64(self.key.as_bytes()))
    }

    /// Hash of key and version.
    pub fn fingerprint(&self) -> u64 {
        xxh3_64_with_seed(self.key.as_bytes(), self.revision)
    }
}

/// A node as it announces itself. Only the node itself changes its announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// The process, and so its incarnation.
    pub id: node::Id,
    /// Counts the changes of the announcement; the version.
    pub counter: u64,
    /// Its name.
    pub name: Name,
    /// What it does.
    pub role: Role,
    /// Where it receives envelopes.
    pub envelope: SocketAddr,
    /// Where it receives the exchange.
    pub exchange: SocketAddr,
    /// Where it serves metrics and readiness.
    pub admin: SocketAddr,
    /// Its failure domain.
    pub domain: domain::Id,
    /// The set of backend servers that it belongs to; empty for balancers.
    pub set: Name,
    /// Its organisation; empty for balancers.
    pub organisation: Name,
    /// What it may be given.
    pub stage: Stage,
}

impl Node {
    /// Hash of key and version.
    pub fn fingerprint(&self) -> u64 {
        hash(self.id, self.counter, 1)
    }
}

/// The balancers that a node attaches to. Only the node itself changes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attach {
    /// The node.
    pub node: node::Id,
    /// Counts the changes; the version.
    pub counter: u64,
    /// The balancers, shortened by [`short`], at most [`MONITORS`]; the first ones count.
    pub monitors: [Option<u32>; MONITORS],
}

impl Attach {
    /// Whether a balancer is among them.
    pub fn contains(&self, id: node::Id) -> bool {
        self.monitors.contains(&Some(short(id)))
    }

    /// Whether a balancer is the first of them, which passes news on to the node.
    pub fn is_primary(&self, id: node::Id) -> bool {
        self.monitors[0] == Some(short(id))
    }

    /// Hash of key and version.
    pub fn fingerprint(&self) -> u64 {
        hash(self.node, self.counter, 8)
    }
}

/// Shortens the identifier of a balancer.
///
/// Two balancers may share a value. Then one of them asks about a node that it need not
/// watch, or silence is concluded later; neither is wrong.
pub fn short(id: node::Id) -> u32 {
    (id.0 ^ (id.0 >> 32)) as u32
}

/// What a node does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Full member of the exchange.
    Balancer,
    /// Leaf member: attaches to balancers.
    Agent,
}

/// What a node may be given, in its own words.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// New flows and work.
    Active,
    /// New flows and work within its cold limits.
    Cold,
    /// Only packets of flows that it has.
    Leaving,
}

/// A change of a node's liveness, published by a balancer that the node attaches to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    /// The node.
    pub node: node::Id,
    /// What it does.
    pub role: Role,
    /// The last heartbeat heard of it; the first part of the version.
    pub sequence: u64,
    /// What is known of it; the second part of the version.
    pub condition: Condition,
    /// Milliseconds since the change. Not part of the version: a span needs no common clock.
    pub age_ms: u64,
}

impl Health {
    /// Orders pulses of one node. A newer heartbeat refutes silence.
    pub fn version(&self) -> (u64, Condition) {
        (self.sequence, self.condition)
    }

    /// Hash of key and version.
    pub fn fingerprint(&self) -> u64 {
        hash(self.node, self.sequence, 2 + self.condition as u64)
    }
}

/// What is known of a node's liveness.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Condition {
    /// Heard again after silence.
    Alive,
    /// Not heard for the silence period.
    Silent,
    /// Silent for so long that its entries are removed.
    Dead,
}

/// A load report of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// The agent.
    pub node: node::Id,
    /// Counts the reports; the version.
    pub counter: u64,
    /// Open flows.
    pub open: u32,
    /// Open flows that it bears at present.
    pub limit: u32,
    /// Requests running.
    pub busy: u16,
    /// Requests that it may run at once at present.
    pub slots: u16,
}

impl Load {
    /// Whether the change since `last` is worth a report.
    ///
    /// The target for imbalance is 1.05, so that a change of 2% of the open flows matters.
    pub fn is_report_due(&self, last: &Self) -> bool {
        let step = (last.open / 50).max(1);
        // Running requests come and go within milliseconds and do not trigger a report.
        self.open.abs_diff(last.open) >= step
            || self.limit != last.limit
            || self.slots != last.slots
    }
}

/// Hash of a node's key and version; `kind` separates announcements from pulses.
fn hash(id: node::Id, version: u64, kind: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&id.0.to_le_bytes());
    bytes[8..].copy_from_slice(&version.to_le_bytes());
    xxh3_64_with_seed(&bytes, kind)
}
