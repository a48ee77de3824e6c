//! Converts updates of the store into gossip entries.

use std::net::SocketAddr;

use crate::process::gossip::entry::{Document, Entry, MAX_DOCUMENT_BYTES};
use crate::process::name::Name;
use crate::process::relay::core::slot_address;
use crate::process::relay::mirror::{Mirror, is_document};
use crate::process::store::follow::Update;
use crate::process::store::{self, Change};
use crate::version::config::key::Kind;

/// The effects of an update from the store.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct StoreUpdate {
    /// Documents to publish by gossip.
    pub documents: Vec<Entry>,
    /// Gossip addresses of slot holders.
    pub peers: Vec<SocketAddr>,
    /// Keys of values that are too long for gossip.
    pub oversized: Vec<Name>,
    /// Whether the update contains the whole configuration.
    pub complete: bool,
}

impl StoreUpdate {
    /// Converts an update; `known` are the documents that the gossip service holds.
    ///
    /// A snapshot also reports the deletion of known documents that it lacks: they were
    /// deleted while no relay watched the store.
    pub fn read(update: &Update, known: &[Document]) -> Self {
        let mut result = Self::default();
        match update {
            Update::Snapshot(range) => {
                range.entries.iter().for_each(|entry| result.put(entry));
                let mut mirror = Mirror::default();
                mirror.follow(update);
                result.documents.extend(mirror.deletions(known));
                result.complete = true;
            }
            Update::Changes(batch) => {
                batch.changes.iter().for_each(|change| result.change(change));
            }
        }
        result
    }

    /// Adds a change of a key.
    fn change(&mut self, change: &Change) {
        match change {
            Change::Put(entry) => self.put(entry),
            Change::Delete { key, revision } if is_document(key) => {
                self.documents.push(Entry::document(key.clone(), *revision, None));
            }
            Change::Delete { .. } => {}
        }
    }

    /// Adds a key with its value.
    fn put(&mut self, entry: &store::Entry) {
        if let Some(Kind::Relay { .. }) = Kind::parse(&entry.key) {
            self.peers.extend(slot_address(&entry.value));
        } else if entry.value.len() > MAX_DOCUMENT_BYTES {
            self.oversized.push(entry.key.clone());
        } else if is_document(&entry.key) {
            let (key, value) = (entry.key.clone(), entry.value.clone());
            self.documents.push(Entry::document(key, entry.modified, Some(value)));
        }
    }
}
