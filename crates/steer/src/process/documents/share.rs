//! Passes the operators' documents from node to node, so that not every node has to read
//! each change from the store. They are compressed: a long configuration repeats itself.

use lentilreach::process::store::{Entry, MAX_VALUE_BYTES, Range, Revision};
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use serde::{Deserialize, Serialize};

use crate::request::message::Chunk;

/// Maximum number of bytes in one part, so that it fits into one datagram.
const CHUNK_BYTES: usize = 1_200;

/// Maximum number of parts. Longer documents are read from the store, since sending them to
/// all nodes of a failure domain would delay segments.
const MAX_CHUNKS: usize = 20;

/// Level of compression, from 0 to 10: the fastest one that makes them shorter.
const COMPRESSION: u8 = 1;

/// Maximum number of bytes before compression, in documents that another node sends: a
/// configuration is one value of the store.
const MAX_BYTES: usize = 2 * MAX_VALUE_BYTES;

/// Documents that were encoded for other nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Encoded {
    /// Store revision up to which they contain all changes.
    revision: Revision,
    /// The encoded and compressed documents, at most [`MAX_CHUNKS`] times [`CHUNK_BYTES`].
    bytes: Vec<u8>,
}

impl Encoded {
    /// Encodes documents. Returns `None` if they are too long.
    pub fn new(range: &Range) -> Option<Self> {
        let records: Vec<_> = range.entries.iter().map(Record::from).collect();
        let bytes =
            postcard::to_allocvec(&records).expect("every field has a known length");
        let bytes = compress_to_vec(&bytes, COMPRESSION);
        let is_short = bytes.len() <= MAX_CHUNKS * CHUNK_BYTES;
        is_short.then_some(Self { revision: range.revision, bytes })
    }

    /// The parts to send.
    pub fn chunks(&self) -> impl Iterator<Item = Chunk<'_>> {
        let chunks = self.bytes.chunks(CHUNK_BYTES);
        let (revision, count) = (self.revision, chunks.len() as u16);
        let numbered = (0..count).zip(chunks);
        numbered.map(move |(index, bytes)| Chunk { revision, index, count, bytes })
    }
}

/// Documents of which some parts have arrived.
#[derive(Debug, Default)]
pub struct Assembly {
    /// Store revision of the documents.
    revision: Revision,
    /// The parts by number; empty before the first one has arrived.
    parts: Vec<Option<Vec<u8>>>,
}

impl Assembly {
    /// Adds a part. Returns the documents once all parts of a revision have arrived. A part
    /// of another revision replaces those of the one before.
    pub fn insert(&mut self, chunk: &Chunk<'_>) -> Option<Range> {
        let count = usize::from(chunk.count);
        if count > MAX_CHUNKS || chunk.index >= chunk.count {
            return None;
        }
        if self.revision != chunk.revision || self.parts.len() != count {
            *self = Self { revision: chunk.revision, parts: vec![None; count] };
        }
        self.parts[usize::from(chunk.index)] = Some(chunk.bytes.to_vec());
        let parts: Option<Vec<_>> = self.parts.iter().cloned().collect();
        let bytes = parts?.concat();
        *self = Self::default();
        let bytes = decompress_to_vec_with_limit(&bytes, MAX_BYTES).ok()?;
        let records: Vec<Record<'_>> = postcard::from_bytes(&bytes).ok()?;
        let mut entries: Vec<_> = records.into_iter().map(Entry::from).collect();
        entries.sort_by(|a, b| a.key.cmp(&b.key));
        Some(Range { revision: chunk.revision, entries })
    }
}

/// An encoded document.
#[derive(Serialize, Deserialize)]
struct Record<'a> {
    /// Its key.
    key: &'a str,
    /// Its value.
    value: &'a [u8],
    /// Revision at which it was created.
    created: u64,
    /// Revision at which it was last written.
    modified: u64,
}

impl<'a> From<&'a Entry> for Record<'a> {
    fn from(entry: &'a Entry) -> Self {
        let Entry { key, value, created, modified } = entry;
        Self { key, value, created: *created, modified: *modified }
    }
}

impl From<Record<'_>> for Entry {
    fn from(record: Record<'_>) -> Self {
        Self {
            key: record.key.into(),
            value: record.value.to_vec().into(),
            created: record.created,
            modified: record.modified,
        }
    }
}
