//! The documents that the store holds, as far as a relay has followed it.

use crate::process::gossip::entry::{Document, Entry};
use crate::process::name::Name;
use crate::process::store::Change;
use crate::process::store::follow::Update;
use crate::version::config::key::Kind;

/// The keys of the store's documents at a revision.
#[derive(Debug, Default)]
pub struct Mirror {
    /// All changes up to this revision are included; 0 before the first snapshot.
    revision: u64,
    /// Keys of the documents at that revision, sorted, without duplicates.
    keys: Vec<Name>,
}

impl Mirror {
    /// Applies an update of the store.
    pub fn follow(&mut self, update: &Update) {
        match update {
            Update::Snapshot(range) => {
                let keys = range.entries.iter().map(|entry| &entry.key);
                // The entries of a range are sorted by key.
                self.keys = keys.filter(|key| is_document(key)).cloned().collect();
                self.revision = range.revision.number;
            }
            Update::Changes(batch) => {
                batch.changes.iter().for_each(|change| self.change(change));
                self.revision = self.revision.max(batch.revision.number);
            }
        }
    }

    /// The deletions of known documents that the store no longer holds.
    ///
    /// They were deleted while no relay watched the store, or were brought back by a node that
    /// was cut off when they were. Nothing follows for a document of this revision or a later
    /// one: it may have been written since.
    pub fn deletions(&self, known: &[Document]) -> Vec<Entry> {
        let gone = known.iter().filter(|document| {
            document.value.is_some()
                && document.revision < self.revision
                && is_document(&document.key)
                && self.keys.binary_search(&document.key).is_err()
        });
        gone.map(|document| Entry::document(document.key.clone(), self.revision, None))
            .collect()
    }

    /// Applies a change of a key.
    fn change(&mut self, change: &Change) {
        let key = change.key();
        match (change, self.keys.binary_search(key)) {
            (Change::Put(_), Err(at)) if is_document(key) => {
                self.keys.insert(at, key.clone());
            }
            (Change::Delete { .. }, Ok(at)) => {
                self.keys.remove(at);
            }
            _ => {}
        }
    }
}

/// Whether a key holds a document that nodes need.
pub fn is_document(key: &str) -> bool {
    !matches!(Kind::parse(key), None | Some(Kind::Relay { .. }))
}
