//! Reassembly of documents that arrive in chunks.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};

use crate::process::clock::Millis;
use crate::process::gossip::digest::fold;
use crate::process::gossip::entry::{Document, MAX_DOCUMENT_BYTES};
use crate::process::gossip::message::{Body, Chunk};

/// Documents that may be incomplete at the same time.
const MAX_PARTIAL: usize = 8;

/// Time in milliseconds without a new chunk after which an incomplete document is dropped, once
/// another chunk arrives.
const STALE_MS: u64 = 10_000;

/// Time in milliseconds without a new chunk after which missing ones are requested.
const RESEND_AFTER_MS: u64 = 500;

/// Documents of which chunks are missing.
#[derive(Debug, Default)]
pub struct List {
    /// At most [`MAX_PARTIAL`], ordered by the arrival of their first chunks.
    partials: Vec<Partial>,
}

impl List {
    /// Adds a chunk; returns the document once it is complete.
    ///
    /// Chunks are kept until the document is complete, so that repeated pushes fill gaps.
    pub fn add(
        &mut self,
        now: Millis,
        from: SocketAddr,
        chunk: Chunk,
    ) -> Option<Document> {
        let most = MAX_DOCUMENT_BYTES.div_ceil(Chunk::BYTES);
        let count = usize::from(chunk.count);
        let fits = chunk.index < chunk.count
            && count <= most
            && chunk.bytes.len() <= Chunk::BYTES;
        if !fits {
            return None;
        }
        self.partials.retain(|partial| {
            let older = partial.key == chunk.key && partial.revision < chunk.revision;
            !older && now.since(partial.last_chunk) < STALE_MS
        });
        let index = self.find(now, from, &chunk)?;
        let partial = &mut self.partials[index];
        (partial.last_chunk, partial.from) = (now, from);
        *partial.chunks.get_mut(usize::from(chunk.index))? = Some(chunk.bytes);
        let value = partial.join()?;
        let partial = self.partials.swap_remove(index);
        Some(Document {
            key: partial.key,
            revision: partial.revision,
            value: Some(value),
        })
    }

    /// Shortened fingerprints of the incomplete documents.
    pub fn fingerprints(&self) -> impl Iterator<Item = u32> {
        self.partials.iter().map(|partial| {
            let (key, revision) = (partial.key.clone(), partial.revision);
            fold(Document { key, revision, value: None }.fingerprint())
        })
    }

    /// Requests for missing chunks that are due, with their receivers.
    pub fn missing(&mut self, now: Millis) -> Vec<(SocketAddr, Body)> {
        let is_due = |partial: &&mut Partial| {
            now.since(partial.last_chunk) >= RESEND_AFTER_MS
                && now.since(partial.requested) >= RESEND_AFTER_MS
        };
        let due = self.partials.iter_mut().filter(is_due);
        due.map(|partial| {
            partial.requested = now;
            let chunks = partial.chunks.iter().enumerate();
            let chunks = chunks.filter(|(_, chunk)| chunk.is_none());
            let chunks =
                chunks.map(|(index, _)| index as u16).take(Chunk::MAX_MISSING).collect();
            let (key, revision) = (partial.key.clone(), partial.revision);
            (partial.from, Body::Missing { key, revision, chunks })
        })
        .collect()
    }

    /// Position of the document of a chunk; begins the document if there is room.
    fn find(&mut self, now: Millis, from: SocketAddr, chunk: &Chunk) -> Option<usize> {
        let found = self.partials.iter().position(|partial| {
            partial.key == chunk.key
                && partial.revision == chunk.revision
                && partial.chunks.len() == usize::from(chunk.count)
        });
        if found.is_none() && self.partials.len() < MAX_PARTIAL {
            self.partials.push(Partial {
                key: chunk.key.clone(),
                revision: chunk.revision,
                chunks: vec![None; usize::from(chunk.count)],
                last_chunk: now,
                from,
                requested: now,
            });
            return Some(self.partials.len() - 1);
        }
        found
    }
}

/// A document of which chunks are missing.
#[derive(Debug)]
struct Partial {
    /// Its key.
    key: crate::Name,
    /// Its revision.
    revision: u64,
    /// The chunks by position; `None` if missing.
    chunks: Vec<Option<Bytes>>,
    /// When a chunk last arrived.
    last_chunk: Millis,
    /// The sender of the last chunk.
    from: SocketAddr,
    /// When missing chunks were last requested.
    requested: Millis,
}

impl Partial {
    /// The content; `None` if a chunk is missing.
    fn join(&self) -> Option<Bytes> {
        let mut value = BytesMut::new();
        for chunk in &self.chunks {
            value.extend_from_slice(chunk.as_ref()?);
        }
        Some(value.freeze())
    }
}
