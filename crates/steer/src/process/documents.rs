//! Builds the active routing from the operators' documents in the store.

use std::fmt::{self, Display, Formatter};

use lentilreach::Name;
use lentilreach::process::store::follow::Update;
use lentilreach::process::store::{Change, Entry, Range};

use crate::version::routing::{Route, Routing, Service};

pub mod history;
pub mod share;

/// Provides the key names and the encoding of the operators' documents.
pub trait Source: Clone + Send + Sync + 'static {
    /// Prefix of the store keys that operators write to.
    fn prefix(&self) -> &'static str;

    /// The kind of document that a key holds.
    fn kind(&self, key: &str) -> Kind;

    /// Decodes a configuration.
    ///
    /// # Errors
    /// If the value is invalid.
    fn config(&self, value: &[u8]) -> Result<Config, Error>;
}

/// The kind of document that a store key holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// The configuration.
    Config,
    /// Takes a failure domain out of service while the key exists.
    DomainOut(Name),
    /// Not relevant for steering.
    Other,
}

/// A decoded configuration.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Config {
    /// Version number that the operators assigned to the configuration.
    pub version: u64,
    /// Sorted by address.
    pub routes: Vec<Route>,
    /// Sorted by name.
    pub services: Vec<Service>,
    /// Idle time after which a flow may be removed, in milliseconds.
    pub idle_ms: u64,
}

/// Why a document was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The store key.
    pub key: Name,
    /// What is wrong with the value.
    pub cause: String,
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "document {}: {}; keeping the last valid version", self.key, self.cause)
    }
}

impl std::error::Error for Error {}

/// The operators' documents in their last known version.
#[derive(Debug)]
pub struct Documents<S> {
    /// Decodes documents.
    source: S,
    /// All documents as they are in the store, sorted by key.
    entries: Vec<Entry>,
    /// The active routing.
    routing: Routing,
    /// Store revision up to which all changes are known.
    revision: u64,
    /// Store revision of the last known change to a document. At most `revision`.
    last_change: u64,
}

impl<S: Source> Documents<S> {
    /// Creates a collection without documents.
    pub fn new(source: S) -> Self {
        let (entries, routing) = (Vec::new(), Routing::default());
        Self { source, entries, routing, revision: 0, last_change: 0 }
    }

    /// Prefix of the store keys that hold the documents.
    pub fn prefix(&self) -> &'static str {
        self.source.prefix()
    }

    /// Store revision of the last known change to a document.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// The active routing.
    pub fn routing(&self) -> &Routing {
        &self.routing
    }

    /// Store revision up to which all changes are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All documents as they are in the store, for other nodes.
    pub fn snapshot(&self) -> Range {
        Range { revision: self.revision, entries: self.entries.clone() }
    }

    /// Applies an update from the store. Returns the documents that were rejected.
    pub fn apply(&mut self, update: Update) -> Vec<Error> {
        let mut errors = Vec::new();
        match update {
            Update::Snapshot(range) => {
                // A snapshot older than the known revision would restore outdated
                // documents.
                if range.revision < self.revision {
                    return errors;
                }
                self.revision = range.revision;
                self.routing.domains_out.clear();
                for entry in &range.entries {
                    errors.extend(self.put(entry).err());
                }
                self.entries = range.entries;
            }
            Update::Changes(batch) => {
                for change in &batch.changes {
                    match change {
                        Change::Put(entry) => {
                            errors.extend(self.put(entry).err());
                            self.store_entry(entry);
                        }
                        Change::Delete { key, revision } => {
                            self.last_change = self.last_change.max(*revision);
                            self.delete(key);
                            self.entries.retain(|entry| entry.key != *key);
                        }
                    }
                }
                self.revision = self.revision.max(batch.revision);
            }
        }
        errors
    }

    /// Applies a created or changed document.
    fn put(&mut self, entry: &Entry) -> Result<(), Error> {
        self.last_change = self.last_change.max(entry.modified);
        match self.source.kind(&entry.key) {
            Kind::Config if entry.modified > self.routing.revision => {
                let config = self.source.config(&entry.value)?;
                self.routing.revision = entry.modified;
                self.routing.version = config.version;
                self.routing.routes = config.routes;
                self.routing.services = config.services;
                self.routing.idle_ms = config.idle_ms;
            }
            Kind::DomainOut(domain) => {
                if let Err(index) = self.routing.domains_out.binary_search(&domain) {
                    self.routing.domains_out.insert(index, domain);
                }
            }
            Kind::Config | Kind::Other => {}
        }
        Ok(())
    }

    /// Keeps a document as it is in the store.
    fn store_entry(&mut self, entry: &Entry) {
        match self.entries.binary_search_by(|known| known.key.cmp(&entry.key)) {
            Ok(index) => self.entries[index] = entry.clone(),
            Err(index) => self.entries.insert(index, entry.clone()),
        }
    }

    /// Applies the deletion of a document. A deleted configuration remains active.
    fn delete(&mut self, key: &str) {
        if let Kind::DomainOut(domain) = self.source.kind(key) {
            self.routing.domains_out.retain(|out| *out != domain);
        }
    }
}
