//! Puts documents together that arrive in parts.

use bytes::{Bytes, BytesMut};

use crate::process::clock::Millis;
use crate::process::spread::entry::{Document, MAX_DOCUMENT};
use crate::process::spread::message::Part;

/// Documents that may be incomplete at the same time.
const MAX_OPEN: usize = 8;

/// Time in milliseconds after which an incomplete document may make room for another.
const STALE_MS: u64 = 10_000;

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
    pub fn add(&mut self, now: Millis, part: Part) -> Option<Document> {
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
        let index = self.find(now, &part)?;
        let open = &mut self.open[index];
        open.at = now;
        *open.parts.get_mut(usize::from(part.index))? = Some(part.bytes);
        let value = open.join()?;
        let open = self.open.swap_remove(index);
        Some(Document { key: open.key, revision: open.revision, value: Some(value) })
    }

    /// Position of the document of a part; `None` if there is no room.
    fn find(&mut self, now: Millis, part: &Part) -> Option<usize> {
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
