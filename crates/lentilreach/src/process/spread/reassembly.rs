//! Puts documents together that arrive in parts.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};

use crate::process::clock::Millis;
use crate::process::spread::digest::fold;
use crate::process::spread::entry::{Document, MAX_DOCUMENT};
use crate::process::spread::message::{Body, Chunk};

/// Documents that may be incomplete at the same time.
const MAX_PARTIAL: usize = 8;

/// Time in milliseconds after which an incomplete document may make room for another.
const STALE_MS: u64 = 10_000;

/// Time in milliseconds without a new part after which missing ones are asked for.
const RESEND_AFTER_MS: u64 = 500;

/// Documents of which parts are missing.
#[derive(Debug, Default)]
pub struct List {
    /// At most [`MAX_PARTIAL`], in the order of their first parts.
    partials: Vec<Partial>,
}

impl List {
    /// Takes a part; returns the document if it is complete.
    ///
    /// Parts survive until the document is complete, so that repeated pushes fill gaps.
    pub fn add(
        &mut self,
        now: Millis,
        from: SocketAddr,
        chunk: Chunk,
    ) -> Option<Document> {
        let most = MAX_DOCUMENT.div_ceil(Chunk::BYTES);
        let count = usize::from(chunk.count);
        let fits = chunk.index < chunk.count
            && count <= most
            && chunk.bytes.len() <= Chunk::BYTES;
        if !fits {
            return None;
        }
        self.partials.retain(|partial| {
            let older = partial.key == chunk.key && partial.revision < chunk.revision;
            !older && now.since(partial.at) < STALE_MS
        });
        let index = self.find(now, from, &chunk)?;
        let partial = &mut self.partials[index];
        (partial.at, partial.from) = (now, from);
        *partial.chunks.get_mut(usize::from(chunk.index))? = Some(chunk.bytes);
        let value = partial.join()?;
        let partial = self.partials.swap_remove(index);
        Some(Document {
            key: partial.key,
            revision: partial.revision,
            value: Some(value),
        })
    }

    /// Shortened fingerprints of the documents that are arriving.
    pub fn fingerprints(&self) -> impl Iterator<Item = u32> {
        self.partials.iter().map(|partial| {
            let (key, revision) = (partial.key.clone(), partial.revision);
            fold(Document { key, revision, value: None }.fingerprint())
        })
    }

    /// Documents whose missing parts are to be asked for: whom, and the question.
    pub fn missing(&mut self, now: Millis) -> Vec<(SocketAddr, Body)> {
        let is_due = |partial: &&mut Partial| {
            now.since(partial.at) >= RESEND_AFTER_MS
                && now.since(partial.asked) >= RESEND_AFTER_MS
        };
        let due = self.partials.iter_mut().filter(is_due);
        due.map(|partial| {
            partial.asked = now;
            let chunks = partial.chunks.iter().enumerate();
            let chunks = chunks.filter(|(_, chunk)| chunk.is_none());
            let chunks =
                chunks.map(|(index, _)| index as u16).take(Chunk::MAX_MISSING).collect();
            let (key, revision) = (partial.key.clone(), partial.revision);
            (partial.from, Body::Missing { key, revision, chunks })
        })
        .collect()
    }

    /// Position of the document of a part; `None` if there is no room.
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
                at: now,
                from,
                asked: now,
            });
            return Some(self.partials.len() - 1);
        }
        found
    }
}

/// A document of which parts are missing.
#[derive(Debug)]
struct Partial {
    /// Its key.
    key: crate::Name,
    /// Its revision.
    revision: u64,
    /// The parts that have arrived.
    chunks: Vec<Option<Bytes>>,
    /// When a part last arrived.
    at: Millis,
    /// Who sent it.
    from: SocketAddr,
    /// When missing parts were last asked for.
    asked: Millis,
}

impl Partial {
    /// The content, if no part is missing.
    fn join(&self) -> Option<Bytes> {
        let mut value = BytesMut::new();
        for chunk in &self.chunks {
            value.extend_from_slice(chunk.as_ref()?);
        }
        Some(value.freeze())
    }
}
