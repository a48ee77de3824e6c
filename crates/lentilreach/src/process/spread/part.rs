//! Puts documents together that arrive in parts.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};

use crate::process::clock::Millis;
use crate::process::spread::digest::fold;
use crate::process::spread::entry::{Document, MAX_DOCUMENT};
use crate::process::spread::message::{Body, Part};

/// Documents that may be incomplete at the same time.
const MAX_OPEN: usize = 8;

/// Time in milliseconds after which an incomplete document may make room for another.
const STALE_MS: u64 = 10_000;

/// Time in milliseconds without a new part after which missing ones are asked for.
const QUIET_MS: u64 = 500;

/// Documents of which parts are missing.
#[derive(Debug, Default)]
pub struct List {
    /// At most [`MAX_OPEN`], in the order of their first parts.
    open: Vec<Open>,
}

impl List {
    /// Takes a part; returns the document if it is complete.
    ///
    /// Parts survive until the document is complete, so that repeated pushes fill gaps.
    pub fn add(&mut self, now: Millis, from: SocketAddr, part: Part) -> Option<Document> {
        let most = MAX_DOCUMENT.div_ceil(Part::BYTES);
        let count = usize::from(part.count);
        let fits =
            part.index < part.count && count <= most && part.bytes.len() <= Part::BYTES;
        if !fits {
            return None;
        }
        self.open.retain(|open| {
            let older = open.key == part.key && open.revision < part.revision;
            !older && now.since(open.at) < STALE_MS
        });
        let index = self.find(now, from, &part)?;
        let open = &mut self.open[index];
        (open.at, open.from) = (now, from);
        *open.parts.get_mut(usize::from(part.index))? = Some(part.bytes);
        let value = open.join()?;
        let open = self.open.swap_remove(index);
        Some(Document { key: open.key, revision: open.revision, value: Some(value) })
    }

    /// Shortened fingerprints of the documents that are arriving.
    pub fn fingerprints(&self) -> impl Iterator<Item = u32> {
        self.open.iter().map(|open| {
            let (key, revision) = (open.key.clone(), open.revision);
            fold(Document { key, revision, value: None }.fingerprint())
        })
    }

    /// Documents whose missing parts are to be asked for: whom, and the question.
    pub fn missing(&mut self, now: Millis) -> Vec<(SocketAddr, Body)> {
        let is_due = |open: &&mut Open| {
            now.since(open.at) >= QUIET_MS && now.since(open.asked) >= QUIET_MS
        };
        let due = self.open.iter_mut().filter(is_due);
        due.map(|open| {
            open.asked = now;
            let parts = open.parts.iter().enumerate();
            let parts = parts.filter(|(_, part)| part.is_none());
            let parts =
                parts.map(|(index, _)| index as u16).take(Part::MISSING).collect();
            let (key, revision) = (open.key.clone(), open.revision);
            (open.from, Body::Missing { key, revision, parts })
        })
        .collect()
    }

    /// Position of the document of a part; `None` if there is no room.
    fn find(&mut self, now: Millis, from: SocketAddr, part: &Part) -> Option<usize> {
        let found = self.open.iter().position(|open| {
            open.key == part.key
                && open.revision == part.revision
                && open.parts.len() == usize::from(part.count)
        });
        if found.is_none() && self.open.len() < MAX_OPEN {
            self.open.push(Open {
                key: part.key.clone(),
                revision: part.revision,
                parts: vec![None; usize::from(part.count)],
                at: now,
                from,
                asked: now,
            });
            return Some(self.open.len() - 1);
        }
        found
    }
}

/// A document of which parts are missing.
#[derive(Debug)]
struct Open {
    /// Its key.
    key: crate::Name,
    /// Its revision.
    revision: u64,
    /// The parts that have arrived.
    parts: Vec<Option<Bytes>>,
    /// When a part last arrived.
    at: Millis,
    /// Who sent it.
    from: SocketAddr,
    /// When missing parts were last asked for.
    asked: Millis,
}

impl Open {
    /// The content, if no part is missing.
    fn join(&self) -> Option<Bytes> {
        let mut value = BytesMut::new();
        for part in &self.parts {
            value.extend_from_slice(part.as_ref()?);
        }
        Some(value.freeze())
    }
}
