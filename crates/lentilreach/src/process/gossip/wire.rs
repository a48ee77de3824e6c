//! Wire format of gossip: a version byte, then a frame encoded by `postcard`.
//!
//! The types here are separate from those of [`super::message`], so that the protocol logic and
//! the format can change independently.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{domain, node};
use crate::process::clock::Stamp;
use crate::process::gossip::digest::{BUCKETS, Scope};
use crate::process::gossip::entry::{self, MAX_DOCUMENT_BYTES, MAX_MONITORS};
use crate::process::gossip::message::{self, Body, MAX_FIELDS};
use crate::process::name::Name;

/// Version of the format.
pub const VERSION: u8 = 1;

/// Longest name of a node, set or organisation in bytes.
const MAX_NAME: usize = 128;

/// Longest document key in bytes.
const MAX_KEY: usize = 200;

/// Most entries of one message. The shortest entry takes about ten bytes.
const MAX_ENTRIES: usize = 128;

/// Encodes a message, without the seal.
///
/// # Errors
/// If the message is longer than a datagram allows.
pub fn encode(stamp: Stamp, body: &Body, out: &mut Vec<u8>) -> Result<(), Fault> {
    out.clear();
    out.push(VERSION);
    let frame = Frame { stamp: (stamp.wall_ms, stamp.count), body: body.into() };
    *out = postcard::to_extend(&frame, std::mem::take(out)).map_err(|_| Fault::Format)?;
    if out.len() > MAX_FIELDS + 17 { Err(Fault::Size) } else { Ok(()) }
}

/// Decodes a message.
///
/// # Errors
/// If the version is unknown or the content is malformed or too large.
pub fn decode(bytes: &[u8]) -> Result<(Stamp, Body), Fault> {
    let (version, frame) = bytes.split_first().ok_or(Fault::Format)?;
    if *version != VERSION {
        return Err(Fault::Version);
    }
    if bytes.len() > message::MAX_DATAGRAM {
        return Err(Fault::Size);
    }
    let (frame, rest) =
        postcard::take_from_bytes::<Frame<'_>>(frame).map_err(|_| Fault::Format)?;
    if !rest.is_empty() {
        return Err(Fault::Format);
    }
    let (wall_ms, count) = frame.stamp;
    Ok((Stamp { wall_ms, count }, frame.body.try_into()?))
}

/// Why a message could not be encoded or decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Another version of the format.
    Version,
    /// Malformed or truncated.
    Format,
    /// A field or the whole message is too large.
    Size,
}

impl Fault {
    /// The label of the fault in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Version => "version",
            Self::Format => "format",
            Self::Size => "size",
        }
    }
}

/// Time stamp and content of a message.
#[derive(Serialize, Deserialize)]
struct Frame<'a> {
    /// Hybrid logical time of the sender: milliseconds and counter.
    stamp: (u64, u32),
    /// The message.
    #[serde(borrow)]
    body: Payload<'a>,
}

/// Counterpart of [`Body`].
#[derive(Serialize, Deserialize)]
enum Payload<'a> {
    /// Heartbeat: sequence number, versions of announcement and attachment, whether an
    /// acknowledgement is wanted, root hash, entries.
    Heartbeat(u64, u64, u64, bool, [u8; 4], #[serde(borrow)] Vec<Entry<'a>>),
    /// Acknowledgement: sequence number, versions of announcement and attachment, root hash.
    Ack(u64, u64, u64, [u8; 4]),
    /// Pushed entries.
    Push(#[serde(borrow)] Vec<Entry<'a>>),
    /// Chunk of a document: key, revision, index, count, bytes.
    Chunk(&'a str, u64, u16, u16, &'a [u8]),
    /// Request for missing chunks: key, revision, positions.
    Missing(&'a str, u64, Vec<u16>),
    /// Query for a newer heartbeat: node, sequence number, version of the attachment.
    Query([u8; 8], u64, u64),
    /// Evidence of a heartbeat: node, sequence number.
    Evidence([u8; 8], u64),
    /// Request for bucket hashes: scope, root hash, ready.
    Compare(#[serde(borrow)] Coverage<'a>, [u8; 4], bool),
    /// Bucket hashes: scope, ready, hashes.
    Hashes(#[serde(borrow)] Coverage<'a>, bool, Vec<[u8; 4]>),
    /// Request for entries: scope, number of buckets, buckets, reverse pull allowed,
    /// fingerprints.
    Pull(#[serde(borrow)] Coverage<'a>, u16, Vec<u16>, bool, Vec<[u8; 4]>),
    /// Response to a pull: first bucket, message number, ready, last, entries.
    Fill(u16, u8, bool, bool, #[serde(borrow)] Vec<Entry<'a>>),
}

/// Counterpart of [`Scope`].
#[derive(Serialize, Deserialize)]
enum Coverage<'a> {
    /// All entries.
    All,
    /// The entries that agents of an organisation need.
    Leaf(&'a str),
}

/// Counterpart of [`entry::Entry`].
#[derive(Serialize, Deserialize)]
enum Entry<'a> {
    /// Document: key, revision, content.
    Document(&'a str, u64, Option<&'a [u8]>),
    /// Announcement.
    Node(#[serde(borrow)] Node<'a>),
    /// Attachment: node, version, shortened identifiers of the monitors.
    Attachment([u8; 8], u64, [Option<[u8; 4]>; MAX_MONITORS]),
    /// Health record: node, kind (4 x role + condition), sequence number, age in milliseconds.
    Health([u8; 8], u8, u64, u64),
    /// Load: node, version, open, limit, busy, slots.
    Load([u8; 8], u64, u32, u32, u16, u16),
}

/// Counterpart of [`entry::Node`].
#[derive(Serialize, Deserialize)]
struct Node<'a> {
    /// The identifier of the process.
    id: [u8; 8],
    /// The version.
    version: u64,
    /// Its name.
    name: &'a str,
    /// Role (0 balancer, 1 agent) and stage (0 active, 1 cold, 2 leaving).
    kind: (u8, u8),
    /// Addresses for envelopes, gossip and the admin endpoint.
    addresses: [SocketAddr; 3],
    /// Its failure domain.
    domain: u8,
    /// Its set of backend servers.
    set: &'a str,
    /// Its organisation.
    organisation: &'a str,
}

impl<'a> From<&'a Body> for Payload<'a> {
    fn from(body: &'a Body) -> Self {
        match body {
            Body::Heartbeat(b) => {
                let root = b.root.to_le_bytes();
                Self::Heartbeat(
                    b.sequence,
                    b.node_version,
                    b.attachment_version,
                    b.wants_ack,
                    root,
                    entries_to_wire(&b.entries),
                )
            }
            Body::Ack(a) => Self::Ack(
                a.sequence,
                a.node_version,
                a.attachment_version,
                a.root.to_le_bytes(),
            ),
            Body::Push(entries) => Self::Push(entries_to_wire(entries)),
            Body::Chunk(c) => Self::Chunk(&c.key, c.revision, c.index, c.count, &c.bytes),
            Body::Missing { key, revision, chunks } => {
                Self::Missing(key, *revision, chunks.clone())
            }
            Body::Query { node, sequence, attachment_version } => {
                Self::Query(node.0.to_le_bytes(), *sequence, *attachment_version)
            }
            Body::Evidence { node, sequence } => {
                Self::Evidence(node.0.to_le_bytes(), *sequence)
            }
            Body::Compare { scope, root, ready } => {
                Self::Compare(scope.into(), root.to_le_bytes(), *ready)
            }
            Body::Hashes { scope, ready, sums } => {
                Self::Hashes(scope.into(), *ready, u32s_to_wire(sums))
            }
            Body::Pull(p) => {
                let (scope, buckets) = ((&p.scope).into(), p.buckets.clone());
                Self::Pull(
                    scope,
                    p.bucket_count,
                    buckets,
                    p.allow_reverse,
                    u32s_to_wire(&p.known),
                )
            }
            Body::Fill { bucket, number, ready, last, entries } => {
                Self::Fill(*bucket, *number, *ready, *last, entries_to_wire(entries))
            }
        }
    }
}

impl TryFrom<Payload<'_>> for Body {
    type Error = Fault;

    fn try_from(wire: Payload<'_>) -> Result<Self, Fault> {
        Ok(match wire {
            Payload::Heartbeat(
                sequence,
                node_version,
                attachment_version,
                wants_ack,
                root,
                entries,
            ) => {
                let (root, entries) =
                    (u32::from_le_bytes(root), entries_from_wire(entries)?);
                Self::Heartbeat(message::Heartbeat {
                    sequence,
                    node_version,
                    attachment_version,
                    wants_ack,
                    root,
                    entries,
                })
            }
            Payload::Ack(sequence, node_version, attachment_version, root) => {
                let root = u32::from_le_bytes(root);
                Self::Ack(message::Ack {
                    sequence,
                    node_version,
                    attachment_version,
                    root,
                })
            }
            Payload::Push(entries) => Self::Push(entries_from_wire(entries)?),
            Payload::Chunk(key, revision, index, count, bytes) => {
                Self::Chunk(message::Chunk {
                    key: name(key, MAX_KEY)?,
                    revision,
                    index,
                    count,
                    bytes: Bytes::copy_from_slice(bytes),
                })
            }
            Payload::Missing(key, revision, chunks) => {
                if chunks.len() > message::Chunk::MAX_MISSING {
                    return Err(Fault::Size);
                }
                Self::Missing { key: name(key, MAX_KEY)?, revision, chunks }
            }
            Payload::Query(id, sequence, attachment_version) => {
                Self::Query { node: node_id(id), sequence, attachment_version }
            }
            Payload::Evidence(id, sequence) => {
                Self::Evidence { node: node_id(id), sequence }
            }
            Payload::Compare(scope, root, ready) => {
                let (scope, root) = (scope.try_into()?, u32::from_le_bytes(root));
                Self::Compare { scope, root, ready }
            }
            Payload::Hashes(scope, ready, sums) => {
                // Digests of different sizes are comparable only if the sizes are powers of
                // two.
                let valid = sums.is_empty() || is_bucket_count(sums.len());
                let sums = valid.then(|| u32s_from_wire(&sums)).ok_or(Fault::Size)?;
                Self::Hashes { scope: scope.try_into()?, ready, sums }
            }
            Payload::Pull(scope, bucket_count, buckets, allow_reverse, known) => {
                let fits = (1..=message::Pull::MAX_BUCKETS).contains(&buckets.len());
                if !fits
                    || !is_bucket_count(bucket_count.into())
                    || buckets.iter().any(|bucket| *bucket >= bucket_count)
                {
                    return Err(Fault::Size);
                }
                let (scope, known) = (scope.try_into()?, u32s_from_wire(&known));
                Self::Pull(message::Pull {
                    scope,
                    bucket_count,
                    buckets,
                    allow_reverse,
                    known,
                })
            }
            Payload::Fill(bucket, number, ready, last, entries) => Self::Fill {
                bucket,
                number,
                ready,
                last,
                entries: entries_from_wire(entries)?,
            },
        })
    }
}

impl<'a> From<&'a Scope> for Coverage<'a> {
    fn from(scope: &'a Scope) -> Self {
        match scope {
            Scope::All => Self::All,
            Scope::Leaf(name) => Self::Leaf(name),
        }
    }
}

impl TryFrom<Coverage<'_>> for Scope {
    type Error = Fault;

    fn try_from(wire: Coverage<'_>) -> Result<Self, Fault> {
        Ok(match wire {
            Coverage::All => Self::All,
            Coverage::Leaf(organisation) => Self::Leaf(name(organisation, MAX_NAME)?),
        })
    }
}

impl<'a> From<&'a entry::Entry> for Entry<'a> {
    fn from(entry: &'a entry::Entry) -> Self {
        match entry {
            entry::Entry::Document(d) => {
                Self::Document(&d.key, d.revision, d.value.as_deref())
            }
            entry::Entry::Node(node) => Self::Node(node.as_ref().into()),
            entry::Entry::Attachment(a) => {
                let monitors = a.monitors.map(|id| id.map(u32::to_le_bytes));
                Self::Attachment(a.node.0.to_le_bytes(), a.version, monitors)
            }
            entry::Entry::Health(h) => {
                let kind = h.role as u8 * 4 + h.condition as u8;
                Self::Health(h.node.0.to_le_bytes(), kind, h.sequence, h.age_ms)
            }
            entry::Entry::Load(l) => {
                let id = l.node.0.to_le_bytes();
                Self::Load(id, l.version, l.open, l.limit, l.busy, l.slots)
            }
        }
    }
}

impl TryFrom<Entry<'_>> for entry::Entry {
    type Error = Fault;

    fn try_from(wire: Entry<'_>) -> Result<Self, Fault> {
        Ok(match wire {
            Entry::Document(key, revision, value) => {
                if value.is_some_and(|value| value.len() > MAX_DOCUMENT_BYTES) {
                    return Err(Fault::Size);
                }
                let value = value.map(Bytes::copy_from_slice);
                Self::document(name(key, MAX_KEY)?, revision, value)
            }
            Entry::Node(node) => Self::Node(Arc::new(node.try_into()?)),
            Entry::Attachment(id, version, monitors) => {
                let monitors = monitors.map(|id| id.map(u32::from_le_bytes));
                Self::Attachment(entry::Attachment {
                    node: node_id(id),
                    version,
                    monitors,
                })
            }
            Entry::Health(id, kind, sequence, age_ms) => Self::Health(entry::Health {
                node: node_id(id),
                role: role(kind / 4)?,
                sequence,
                condition: condition(kind % 4)?,
                age_ms,
            }),
            Entry::Load(id, version, open, limit, busy, slots) => {
                let node = node_id(id);
                Self::Load(entry::Load { node, version, open, limit, busy, slots })
            }
        })
    }
}

impl<'a> From<&'a entry::Node> for Node<'a> {
    fn from(node: &'a entry::Node) -> Self {
        Self {
            id: node.id.0.to_le_bytes(),
            version: node.version,
            name: &node.name,
            kind: (node.role as u8, node.stage as u8),
            addresses: [node.envelope_address, node.gossip_address, node.admin_address],
            domain: node.domain.0,
            set: &node.set,
            organisation: &node.organisation,
        }
    }
}

impl TryFrom<Node<'_>> for entry::Node {
    type Error = Fault;

    fn try_from(wire: Node<'_>) -> Result<Self, Fault> {
        let [envelope_address, gossip_address, admin_address] = wire.addresses;
        Ok(Self {
            id: node_id(wire.id),
            version: wire.version,
            name: name(wire.name, MAX_NAME)?,
            role: role(wire.kind.0)?,
            envelope_address,
            gossip_address,
            admin_address,
            domain: domain::Id(wire.domain),
            set: name(wire.set, MAX_NAME)?,
            organisation: name(wire.organisation, MAX_NAME)?,
            stage: stage(wire.kind.1)?,
        })
    }
}

/// Converts entries to their wire form.
fn entries_to_wire(entries: &[entry::Entry]) -> Vec<Entry<'_>> {
    entries.iter().map(Entry::from).collect()
}

/// Converts entries from their wire form.
fn entries_from_wire(entries: Vec<Entry<'_>>) -> Result<Vec<entry::Entry>, Fault> {
    if entries.len() > MAX_ENTRIES {
        return Err(Fault::Size);
    }
    entries.into_iter().map(entry::Entry::try_from).collect()
}

/// Encodes numbers at a fixed width, which is shorter than `postcard`'s varint for large
/// numbers.
fn u32s_to_wire(values: &[u32]) -> Vec<[u8; 4]> {
    values.iter().map(|value| value.to_le_bytes()).collect()
}

/// The inverse of [`u32s_to_wire`].
fn u32s_from_wire(words: &[[u8; 4]]) -> Vec<u32> {
    words.iter().map(|word| u32::from_le_bytes(*word)).collect()
}

/// Whether a digest may have this number of buckets.
fn is_bucket_count(count: usize) -> bool {
    count.is_power_of_two() && count <= BUCKETS
}

/// Decodes a node identifier.
fn node_id(bytes: [u8; 8]) -> node::Id {
    node::Id(u64::from_le_bytes(bytes))
}

/// Decodes a name of limited length.
fn name(text: &str, longest: usize) -> Result<Name, Fault> {
    if text.len() > longest { Err(Fault::Size) } else { Ok(Name::from(text)) }
}

/// Decodes a role.
fn role(value: u8) -> Result<entry::Role, Fault> {
    match value {
        0 => Ok(entry::Role::Balancer),
        1 => Ok(entry::Role::Agent),
        _ => Err(Fault::Format),
    }
}

/// Decodes a stage.
fn stage(value: u8) -> Result<entry::Stage, Fault> {
    match value {
        0 => Ok(entry::Stage::Active),
        1 => Ok(entry::Stage::Cold),
        2 => Ok(entry::Stage::Leaving),
        _ => Err(Fault::Format),
    }
}

/// Decodes a condition.
fn condition(value: u8) -> Result<entry::Condition, Fault> {
    match value {
        0 => Ok(entry::Condition::Alive),
        1 => Ok(entry::Condition::Silent),
        2 => Ok(entry::Condition::Dead),
        _ => Err(Fault::Format),
    }
}
