//! Messages of the exchange, as the core sees them.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::id::node;
use crate::process::name::Name;
use crate::process::spread::digest::Scope;
use crate::process::spread::entry::{
    Class, Document, Entry, Health, Load, MONITORS, Node,
};

/// Longest datagram in bytes, sealed, without the IP and UDP headers.
pub const MAX_DATAGRAM: usize = 1_200;

/// Bytes that seal, time stamp and message tag take at most.
pub const OVERHEAD: usize = 14 + 16 + 1 + 10 + 5 + 1;

/// Bytes left for the fields of a message.
pub const MAX_FIELDS: usize = MAX_DATAGRAM - OVERHEAD;

/// A message and who sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender's process.
    pub sender: node::Id,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Heartbeat to a balancer that the sender attaches to.
    Heartbeat(Heartbeat),
    /// Response to a heartbeat.
    Ack(Ack),
    /// New entries.
    Push(Vec<Entry>),
    /// Part of a document that is too long for one datagram.
    Chunk(Chunk),
    /// Asks for parts of a document again that did not arrive.
    Missing {
        /// Key of the document.
        key: Name,
        /// Revision of the document.
        revision: u64,
        /// Positions of the parts, at most [`Chunk::MAX_MISSING`].
        chunks: Vec<u16>,
    },
    /// Asks another balancer of a node for a heartbeat newer than `sequence`.
    Query {
        /// The node.
        node: node::Id,
        /// Its last heartbeat known to the sender.
        sequence: u64,
        /// Version of its attachment known to the sender.
        attach_version: u64,
    },
    /// Response to a query: a newer heartbeat was heard.
    Evidence {
        /// The node.
        node: node::Id,
        /// Its last heartbeat known to the sender.
        sequence: u64,
    },
    /// Asks for the sums of the receiver's digest.
    Compare {
        /// What to compare.
        scope: Scope,
        /// Root of the sender's digest.
        root: u32,
        /// Whether the sender has the full state.
        ready: bool,
    },
    /// Response to a comparison.
    Hashes {
        /// What was compared.
        scope: Scope,
        /// Whether the sender has the full state.
        ready: bool,
        /// The sums; empty if the roots are equal.
        sums: Vec<u32>,
    },
    /// Asks for the entries of some parts of the digest.
    Pull(Pull),
    /// Entries of parts of the digest.
    Fill {
        /// The first part of the question.
        bucket: u16,
        /// Position of the message in the response.
        number: u8,
        /// Whether the sender has the full state.
        ready: bool,
        /// Whether this is the last message for the part.
        last: bool,
        /// The entries.
        entries: Vec<Entry>,
    },
}

impl Body {
    /// Upper bound of the encoded size in bytes, with seal, without IP and UDP headers.
    ///
    /// Computed without the codec so that the core can keep to its budget; a test compares
    /// it with the encoding.
    pub fn size(&self) -> usize {
        OVERHEAD
            + match self {
                Self::Heartbeat(heartbeat) => heartbeat.size(),
                Self::Ack(ack) => {
                    varint(ack.sequence)
                        + varint(ack.node_version)
                        + varint(ack.attach_version)
                        + 4
                }
                Self::Push(entries) => 2 + sum(entries),
                Self::Chunk(chunk) => chunk.size(),
                Self::Missing { key, revision, chunks } => {
                    2 + key.len() + varint(*revision) + 2 + 3 * chunks.len()
                }
                Self::Query { sequence, attach_version, .. } => {
                    8 + varint(*sequence) + varint(*attach_version)
                }
                Self::Evidence { sequence, .. } => 8 + varint(*sequence),
                Self::Compare { scope, .. } => scope_size(scope) + 5,
                Self::Hashes { scope, sums, .. } => {
                    scope_size(scope) + 3 + 4 * sums.len()
                }
                Self::Pull(pull) => {
                    scope_size(&pull.scope)
                        + 8
                        + 3 * pull.buckets.len()
                        + 4 * pull.known.len()
                }
                Self::Fill { entries, .. } => 8 + sum(entries),
            }
    }

    /// The label of the message in metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "beat",
            Self::Ack(_) => "ack",
            Self::Push(_) => "push",
            Self::Chunk(_) => "part",
            Self::Missing { .. } => "missing",
            Self::Query { .. } => "query",
            Self::Evidence { .. } => "evidence",
            Self::Compare { .. } => "compare",
            Self::Hashes { .. } => "hashes",
            Self::Pull(_) => "pull",
            Self::Fill { .. } => "fill",
        }
    }

    /// The class of the message.
    pub fn class(&self) -> Class {
        match self {
            // Heartbeats, and what keeps a node from being taken for silent.
            Self::Heartbeat(_)
            | Self::Ack(_)
            | Self::Query { .. }
            | Self::Evidence { .. } => Class::Configuration,
            Self::Push(entries) => {
                entries.iter().map(Entry::class).min().unwrap_or(Class::Load)
            }
            // A long document must not hold up heartbeats.
            Self::Chunk(_)
            | Self::Missing { .. }
            | Self::Compare { .. }
            | Self::Pull(_) => Class::Liveness,
            Self::Hashes { .. } | Self::Fill { .. } => Class::Repair,
        }
    }
}

/// A heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Rises with every heartbeat of the process.
    pub sequence: u64,
    /// Version of the sender's announcement.
    pub node_version: u64,
    /// Version of the sender's attachment.
    pub attach_version: u64,
    /// Whether the sender wants a response.
    pub wants_ack: bool,
    /// Root of the sender's digest.
    pub root: u32,
    /// Its announcement and attachment until the receiver has them, and its load if that changed.
    pub entries: Vec<Entry>,
}

impl Heartbeat {
    /// Upper bound of the encoded size of the fields in bytes.
    fn size(&self) -> usize {
        let versions = varint(self.node_version) + varint(self.attach_version);
        varint(self.sequence) + versions + 1 + 4 + 2 + sum(&self.entries)
    }
}

/// A response to a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ack {
    /// The heartbeat.
    pub sequence: u64,
    /// Version of the receiver's announcement that the sender knows; 0 if none.
    pub node_version: u64,
    /// Version of the receiver's attachment that the sender knows; 0 if none.
    pub attach_version: u64,
    /// Root of the sender's digest for the receiver's scope.
    pub root: u32,
}

/// Part of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Key of the document.
    pub key: Name,
    /// Revision of the document.
    pub revision: u64,
    /// Position of the part.
    pub index: u16,
    /// Number of parts.
    pub count: u16,
    /// The bytes.
    pub bytes: Bytes,
}

impl Chunk {
    /// Bytes of a document in each part but the last.
    pub const BYTES: usize = 900;

    /// Most parts that are asked for again at once.
    pub const MAX_MISSING: usize = 16;

    /// Upper bound of the encoded size of the fields in bytes.
    fn size(&self) -> usize {
        2 + self.key.len() + varint(self.revision) + 3 + 3 + 2 + self.bytes.len()
    }

    /// Whether a document is too long for one message.
    pub fn is_needed(document: &Document) -> bool {
        document.value.as_ref().is_some_and(|value| value.len() > Self::BYTES)
    }

    /// Splits a document, if it does not fit into one message with other entries.
    pub fn split(document: &Document) -> Option<Vec<Self>> {
        let value = document.value.as_ref().filter(|value| value.len() > Self::BYTES)?;
        let count = value.len().div_ceil(Self::BYTES) as u16;
        let chunk = |index: u16| {
            let from = usize::from(index) * Self::BYTES;
            let to = value.len().min(from + Self::BYTES);
            let bytes = value.slice(from..to);
            let (key, revision) = (document.key.clone(), document.revision);
            Self { key, revision, index, count, bytes }
        };
        Some((0..count).map(chunk).collect())
    }
}

/// Asks for the entries of some parts of the digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pull {
    /// What is compared.
    pub scope: Scope,
    /// Number of parts.
    pub bucket_count: u16,
    /// The parts, at most [`Pull::MAX_BUCKETS`]; the first one identifies the question.
    pub buckets: Vec<u16>,
    /// Whether the receiver may ask back for entries that it lacks.
    pub allow_reverse: bool,
    /// Shortened fingerprints of entries that the sender has, at most [`Pull::MAX_KNOWN`].
    pub known: Vec<u32>,
}

impl Pull {
    /// Most parts of a question.
    pub const MAX_BUCKETS: usize = 8;

    /// Most fingerprints of a question. What is left out is sent once more than needed.
    pub const MAX_KNOWN: usize = 240;
}

/// Upper bound of the encoded size of an entry in bytes.
pub fn entry_size(entry: &Entry) -> usize {
    1 + match entry {
        Entry::Document(document) => {
            let value = document.value.as_ref().map_or(0, |value| 3 + value.len());
            2 + document.key.len() + varint(document.revision) + 1 + value
        }
        Entry::Node(node) => node_size(node),
        Entry::Attach(attach) => 8 + varint(attach.counter) + 5 * MONITORS,
        Entry::Health(Health { sequence, age_ms, .. }) => {
            8 + 2 + varint(*sequence) + varint(*age_ms)
        }
        Entry::Load(load) => load_size(load),
    }
}

/// Upper bound of the encoded size of an announcement in bytes.
fn node_size(node: &Node) -> usize {
    let names = node.name.len() + node.set.len() + node.organisation.len() + 6;
    let addresses = [node.envelope, node.exchange, node.admin];
    let addresses: usize = addresses.iter().map(address_size).sum();
    8 + varint(node.counter) + names + addresses + 3
}

/// Upper bound of the encoded size of a load report in bytes.
fn load_size(load: &Load) -> usize {
    let flows = varint(load.open.into()) + varint(load.limit.into());
    let requests = varint(load.busy.into()) + varint(load.slots.into());
    8 + varint(load.counter) + flows + requests
}

/// Upper bound of the encoded size of an address in bytes.
fn address_size(address: &SocketAddr) -> usize {
    if address.is_ipv4() { 1 + 4 + 3 } else { 1 + 16 + 3 }
}

/// Upper bound of the encoded size of a scope in bytes.
fn scope_size(scope: &Scope) -> usize {
    match scope {
        Scope::All => 1,
        Scope::Leaf(name) => 3 + name.len(),
    }
}

/// Upper bound of the encoded size of entries in bytes.
fn sum(entries: &[Entry]) -> usize {
    entries.iter().map(entry_size).sum()
}

/// Encoded size of a number of variable length.
fn varint(value: u64) -> usize {
    (64 - value.leading_zeros()).div_ceil(7).max(1) as usize
}
