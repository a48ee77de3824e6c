//! Gossip messages, independent of their encoding.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::id::node;
use crate::process::gossip::digest::Scope;
use crate::process::gossip::entry::{
    Class, Document, Entry, Health, Load, MAX_MONITORS, Node,
};
use crate::process::name::Name;

/// Longest sealed datagram in bytes, without the IP and UDP headers.
pub const MAX_DATAGRAM: usize = 1_200;

/// Upper bound of the bytes that seal, time stamp and message tag take.
pub const OVERHEAD: usize = 14 + 16 + 1 + 10 + 5 + 1;

/// Bytes available for the fields of a message.
pub const MAX_FIELDS: usize = MAX_DATAGRAM - OVERHEAD;

/// A message and its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender's process.
    pub sender: node::Id,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Heartbeat to a monitor of the sender.
    Heartbeat(Heartbeat),
    /// Acknowledgement of a heartbeat.
    Ack(Ack),
    /// New entries.
    Push(Vec<Entry>),
    /// Chunk of a document that is too long for one datagram.
    Chunk(Chunk),
    /// Requests chunks of a document that did not arrive.
    Missing {
        /// Key of the document.
        key: Name,
        /// Revision of the document.
        revision: u64,
        /// Positions of the chunks, at most [`Chunk::MAX_MISSING`].
        chunks: Vec<u16>,
    },
    /// Asks another monitor of a node for a heartbeat newer than `sequence`.
    Query {
        /// The node.
        node: node::Id,
        /// The last heartbeat known to the sender.
        sequence: u64,
        /// The version of its attachment known to the sender.
        attachment_version: u64,
    },
    /// Response to a query: the sender received a newer heartbeat.
    Evidence {
        /// The node.
        node: node::Id,
        /// The last heartbeat known to the sender.
        sequence: u64,
    },
    /// Requests the bucket hashes of the receiver's digest.
    Compare {
        /// The entries to compare.
        scope: Scope,
        /// Root hash of the sender's digest.
        root: u32,
        /// Whether the sender has the full state.
        ready: bool,
    },
    /// Response to [`Compare`](Self::Compare).
    Hashes {
        /// The entries that were compared.
        scope: Scope,
        /// Whether the sender has the full state.
        ready: bool,
        /// The bucket hashes; empty if the root hashes are equal.
        sums: Vec<u32>,
    },
    /// Requests the entries of some buckets of the digest.
    Pull(Pull),
    /// Response to a pull: entries of buckets of the digest.
    Fill {
        /// The first bucket of the pull.
        bucket: u16,
        /// Position of the message in the response.
        number: u8,
        /// Whether the sender has the full state.
        ready: bool,
        /// Whether this is the last message of the response.
        last: bool,
        /// The entries.
        entries: Vec<Entry>,
    },
}

impl Body {
    /// Upper bound of the encoded size in bytes, with the seal, without IP and UDP headers.
    ///
    /// Computed without encoding, so that the core can keep to its byte budget; a test compares
    /// it with the encoding.
    pub fn size(&self) -> usize {
        OVERHEAD
            + match self {
                Self::Heartbeat(heartbeat) => heartbeat.size(),
                Self::Ack(ack) => {
                    varint(ack.sequence)
                        + varint(ack.node_version)
                        + varint(ack.attachment_version)
                        + 4
                }
                Self::Push(entries) => 2 + sum(entries),
                Self::Chunk(chunk) => chunk.size(),
                Self::Missing { key, revision, chunks } => {
                    2 + key.len() + varint(*revision) + 2 + 3 * chunks.len()
                }
                Self::Query { sequence, attachment_version, .. } => {
                    8 + varint(*sequence) + varint(*attachment_version)
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

    /// The traffic class of the message.
    pub fn class(&self) -> Class {
        match self {
            // Losing these makes a node look silent.
            Self::Heartbeat(_)
            | Self::Ack(_)
            | Self::Query { .. }
            | Self::Evidence { .. } => Class::Configuration,
            Self::Push(entries) => {
                entries.iter().map(Entry::class).min().unwrap_or(Class::Load)
            }
            // A long document must not delay heartbeats.
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
    /// Sequence number, increased with every heartbeat of the process.
    pub sequence: u64,
    /// Version of the sender's announcement.
    pub node_version: u64,
    /// Version of the sender's attachment.
    pub attachment_version: u64,
    /// Whether the sender wants an acknowledgement.
    pub wants_ack: bool,
    /// Root hash of the sender's digest.
    pub root: u32,
    /// The sender's announcement and attachment until the receiver acknowledged them, and its
    /// load if a report is due.
    pub entries: Vec<Entry>,
}

impl Heartbeat {
    /// Upper bound of the encoded size of the fields in bytes.
    fn size(&self) -> usize {
        let versions = varint(self.node_version) + varint(self.attachment_version);
        varint(self.sequence) + versions + 1 + 4 + 2 + sum(&self.entries)
    }
}

/// An acknowledgement of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ack {
    /// The sequence number of the heartbeat.
    pub sequence: u64,
    /// The version of the receiver's announcement that the sender knows; 0 if none.
    pub node_version: u64,
    /// The version of the receiver's attachment that the sender knows; 0 if none.
    pub attachment_version: u64,
    /// Root hash of the sender's digest for the receiver's scope.
    pub root: u32,
}

/// Chunk of a document that does not fit into one datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Key of the document.
    pub key: Name,
    /// Revision of the document.
    pub revision: u64,
    /// Position of the chunk.
    pub index: u16,
    /// Number of chunks of the document.
    pub count: u16,
    /// The bytes.
    pub bytes: Bytes,
}

impl Chunk {
    /// Bytes of the document in each chunk but the last.
    pub const BYTES: usize = 900;

    /// Most chunks that one message requests again.
    pub const MAX_MISSING: usize = 16;

    /// Upper bound of the encoded size of the fields in bytes.
    fn size(&self) -> usize {
        2 + self.key.len() + varint(self.revision) + 3 + 3 + 2 + self.bytes.len()
    }

    /// Whether a document is too long for one message.
    pub fn is_needed(document: &Document) -> bool {
        document.value.as_ref().is_some_and(|value| value.len() > Self::BYTES)
    }

    /// Splits a document into chunks; `None` if it fits into one message.
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

/// Requests the entries of some buckets of the digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pull {
    /// The entries that are compared.
    pub scope: Scope,
    /// Number of buckets of the digest.
    pub bucket_count: u16,
    /// The buckets, at most [`Pull::MAX_BUCKETS`]; the first one identifies the pull.
    pub buckets: Vec<u16>,
    /// Whether the receiver may pull entries that it lacks from the sender in return.
    pub allow_reverse: bool,
    /// Shortened fingerprints of entries that the sender has, at most [`Pull::MAX_KNOWN`].
    pub known: Vec<u32>,
}

impl Pull {
    /// Most buckets of a pull.
    pub const MAX_BUCKETS: usize = 8;

    /// Most fingerprints of a pull. Entries whose fingerprints are left out are sent
    /// needlessly.
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
        Entry::Attachment(attachment) => {
            8 + varint(attachment.version) + 5 * MAX_MONITORS
        }
        Entry::Health(Health { sequence, age_ms, .. }) => {
            8 + 2 + varint(*sequence) + varint(*age_ms)
        }
        Entry::Load(load) => load_size(load),
    }
}

/// Upper bound of the encoded size of an announcement in bytes.
fn node_size(node: &Node) -> usize {
    let names = node.name.len() + node.set.len() + node.organisation.len() + 6;
    let addresses = [node.envelope_address, node.gossip_address, node.admin_address];
    let addresses: usize = addresses.iter().map(address_size).sum();
    8 + varint(node.version) + names + addresses + 3
}

/// Upper bound of the encoded size of a load report in bytes.
fn load_size(load: &Load) -> usize {
    let flows = varint(load.open.into()) + varint(load.limit.into());
    let requests = varint(load.busy.into()) + varint(load.slots.into());
    8 + varint(load.version) + flows + requests
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

/// Encoded size of a variable-length integer in bytes.
fn varint(value: u64) -> usize {
    (64 - value.leading_zeros()).div_ceil(7).max(1) as usize
}
