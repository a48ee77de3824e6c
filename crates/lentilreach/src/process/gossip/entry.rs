//! Entries: the replicated state of the fleet. Each entry has a key and a version.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::id::{domain, node};
use crate::process::gossip::digest::{Audience, document_position};
use crate::process::name::Name;

/// Longest document in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 64 << 10;

/// Most monitors of a node.
pub const MAX_MONITORS: usize = 3;

/// A versioned entry of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// A configuration document, or its deletion.
    Document(Document),
    /// A node's announcement.
    Node(Arc<Node>),
    /// The monitors of a node.
    Attachment(Attachment),
    /// A change of a node's liveness.
    Health(Health),
    /// A load report.
    Load(Load),
}

impl Entry {
    /// Creates an entry for a document as read from the store at `revision`; `value` is `None`
    /// if it was deleted.
    pub fn document(key: Name, revision: u64, value: Option<Bytes>) -> Self {
        Self::Document(Document { key, revision, value })
    }

    /// The key of the entry.
    pub fn key(&self) -> Key {
        match self {
            Self::Document(document) => Key::Document(document.key.clone()),
            Self::Node(node) => Key::Node(node.id),
            Self::Attachment(attachment) => Key::Attachment(attachment.node),
            Self::Health(health) => Key::Health(health.node),
            Self::Load(load) => Key::Load(load.node),
        }
    }

    /// The traffic class of the entry.
    pub fn class(&self) -> Class {
        match self {
            Self::Document(_) => Class::Configuration,
            Self::Node(node) if node.stage == Stage::Leaving => Class::Configuration,
            Self::Node(_) | Self::Health(_) => Class::Liveness,
            // The monitors of a node learn its attachment from heartbeats; other nodes need it
            // only if all its monitors fail.
            Self::Attachment(_) => Class::Repair,
            Self::Load(_) => Class::Load,
        }
    }

    /// The nodes that need the entry; `None` for load reports, which digests do not cover.
    pub fn audience(&self) -> Option<Audience> {
        let audience = |role| match role {
            Role::Balancer => Audience::Common,
            Role::Agent => Audience::Balancers,
        };
        match self {
            Self::Document(document) => Some(document.audience()),
            Self::Node(node) => Some(audience(node.role)),
            Self::Attachment(_) => Some(Audience::Balancers),
            Self::Health(health) => Some(audience(health.role)),
            Self::Load(_) => None,
        }
    }
}

/// Key of an entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// A document, by its key in the store.
    Document(Name),
    /// The announcement of a node.
    Node(node::Id),
    /// The attachment of a node.
    Attachment(node::Id),
    /// The health record of a node.
    Health(node::Id),
    /// The load report of a node.
    Load(node::Id),
}

/// Traffic class, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Configuration, out-of-service and draining state, heartbeats.
    Configuration,
    /// Announcements and health records.
    Liveness,
    /// Attachments, digests and the entries that anti-entropy transfers.
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
    /// Its content, opaque to gossip; `None` if it was deleted.
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

    /// Its position in the digest.
    pub fn position(&self) -> u64 {
        document_position(xxh3_64(self.key.as_bytes()))
    }

    /// Hash of key and version.
    pub fn fingerprint(&self) -> u64 {
        xxh3_64_with_seed(self.key.as_bytes(), self.revision)
    }
}

/// The announcement of a node. Only the node itself changes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// The identifier of the process; a restart draws a new one.
    pub id: node::Id,
    /// Version: counts the changes of the announcement.
    pub version: u64,
    /// Its name.
    pub name: Name,
    /// Its role.
    pub role: Role,
    /// The address where it receives envelopes.
    pub envelope_address: SocketAddr,
    /// The address where it receives gossip messages.
    pub gossip_address: SocketAddr,
    /// The address of its admin endpoint, with metrics and readiness.
    pub admin_address: SocketAddr,
    /// Its failure domain.
    pub domain: domain::Id,
    /// The set of backend servers that it belongs to; empty for balancers.
    pub set: Name,
    /// Its organisation; empty for balancers.
    pub organisation: Name,
    /// Which traffic it accepts.
    pub stage: Stage,
}

impl Node {
    /// Hash of key and version.
    pub fn fingerprint(&self) -> u64 {
        hash(self.id, self.version, 1)
    }
}

/// The monitors of a node: the balancers that it sends heartbeats to. Only the node itself
/// changes them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attachment {
    /// The node.
    pub node: node::Id,
    /// Version: counts the changes.
    pub version: u64,
    /// The balancers, shortened by [`short_id`], at most [`MAX_MONITORS`]; the leading entries are
    /// set.
    pub monitors: [Option<u32>; MAX_MONITORS],
}

impl Attachment {
    /// Whether a balancer is a monitor of the node.
    pub fn contains(&self, id: node::Id) -> bool {
        self.monitors.contains(&Some(short_id(id)))
    }

    /// Whether a balancer is the primary monitor, which forwards new entries to the node.
    pub fn is_primary(&self, id: node::Id) -> bool {
        self.monitors[0] == Some(short_id(id))
    }

    /// Hash of key and version.
    pub fn fingerprint(&self) -> u64 {
        hash(self.node, self.version, 8)
    }
}

/// Shortens the identifier of a balancer.
///
/// Two balancers may have the same short identifier. Then one of them queries a node that it
/// need not monitor, or silence is detected later; neither does harm.
pub fn short_id(id: node::Id) -> u32 {
    (id.0 ^ (id.0 >> 32)) as u32
}

/// Role of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Full member of the gossip protocol.
    Balancer,
    /// Leaf member: receives entries from balancers and forwards none.
    Agent,
}

/// Which traffic a node accepts, as it announces itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// New flows and requests.
    Active,
    /// New flows and requests, within its cold limits.
    Cold,
    /// Only packets of its open flows.
    Leaving,
}

/// A change of a node's liveness, published by one of its monitors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    /// The node.
    pub node: node::Id,
    /// Its role.
    pub role: Role,
    /// The last heartbeat received from it; the first part of the version.
    pub sequence: u64,
    /// Its condition; the second part of the version.
    pub condition: Condition,
    /// Milliseconds since the change. Not part of the version. A duration, since the nodes
    /// share no clock.
    pub age_ms: u64,
}

impl Health {
    /// Orders the records of one node. A newer heartbeat refutes silence.
    pub fn version(&self) -> (u64, Condition) {
        (self.sequence, self.condition)
    }

    /// Hash of key and version.
    pub fn fingerprint(&self) -> u64 {
        hash(self.node, self.sequence, 2 + self.condition as u64)
    }
}

/// Published liveness of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Condition {
    /// Heartbeats arrive again after silence.
    Alive,
    /// No heartbeat arrived for the silence period.
    Silent,
    /// Silent for so long that its entries are removed.
    Dead,
}

/// The load report of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// The agent.
    pub node: node::Id,
    /// Version: counts the reports.
    pub version: u64,
    /// Open flows.
    pub open: u32,
    /// Open flows that it can take at present.
    pub limit: u32,
    /// Requests running.
    pub busy: u16,
    /// Requests that it can run at once at present.
    pub slots: u16,
}

impl Load {
    /// Whether the load changed enough since `last` to report it.
    ///
    /// The target for imbalance is 1.05, so a change of 2% of the open flows matters.
    pub fn is_report_due(&self, last: &Self) -> bool {
        let step = (last.open / 50).max(1);
        // Running requests come and go within milliseconds, so they do not trigger a report.
        self.open.abs_diff(last.open) >= step
            || self.limit != last.limit
            || self.slots != last.slots
    }
}

/// Hash of a node's key and version; `kind` tells the kinds of entries apart.
fn hash(id: node::Id, version: u64, kind: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&id.0.to_le_bytes());
    bytes[8..].copy_from_slice(&version.to_le_bytes());
    xxh3_64_with_seed(&bytes, kind)
}
