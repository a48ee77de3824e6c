//! Puts the operators' documents together into the routing in force.

use std::fmt::{self, Display, Formatter};

use lentilreach::Name;
use lentilreach::process::store::follow::Update;
use lentilreach::process::store::{Change, Entry};

use crate::version::routing::{Route, Routing, Service};

/// The edge behind which the names and the encoding of the operators' documents lie.
pub trait Source: Clone + Send + Sync + 'static {
    /// Prefix of the store keys under which operators write.
    fn prefix(&self) -> &'static str;

    /// What a key holds.
    fn kind(&self, key: &str) -> Kind;

    /// Reads a configuration.
    ///
    /// # Errors
    /// What is wrong with the value.
    fn config(&self, value: &[u8]) -> Result<Config, Error>;
}

/// What a store key of the operators holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// The configuration.
    Config,
    /// Takes a failure domain out of service while the key exists.
    Out(Name),
    /// Something else.
    Other,
}

/// A configuration as it was written.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Config {
    /// The operators' version.
    pub version: u64,
    /// Sorted by address.
    pub routes: Vec<Route>,
    /// Sorted by name.
    pub services: Vec<Service>,
    /// Flows that are idle for longer may be dropped, in milliseconds.
    pub idle_ms: u64,
}

/// Why a document is not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The store key.
    pub key: Name,
    /// What is wrong with its value.
    pub cause: String,
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "document {}: {}; the last valid one stays in force",
            self.key, self.cause
        )
    }
}

impl std::error::Error for Error {}

/// The operators' documents as the store last showed them.
#[derive(Debug)]
pub struct Documents<S> {
    /// Reads documents.
    source: S,
    /// What is in force.
    routing: Routing,
    /// Revision up to which the store's changes are known.
    revision: u64,
    /// Revision of the last known change of a document. At most `revision`.
    last_change: u64,
}

impl<S: Source> Documents<S> {
    /// No documents yet.
    pub fn new(source: S) -> Self {
        Self { source, routing: Routing::default(), revision: 0, last_change: 0 }
    }

    /// Prefix of the store keys that hold the documents.
    pub fn prefix(&self) -> &'static str {
        self.source.prefix()
    }

    /// Revision of the last known change of a document.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// What is in force.
    pub fn routing(&self) -> &Routing {
        &self.routing
    }

    /// Revision up to which the store's changes are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes news of the store. Returns the documents that cannot be read.
    pub fn apply(&mut self, update: Update) -> Vec<Error> {
        let mut errors = Vec::new();
        match update {
            Update::Snapshot(range) => {
                // A snapshot older than what is known would bring back old documents.
                if range.revision < self.revision {
                    return errors;
                }
                self.revision = range.revision;
                self.routing.out.clear();
                for entry in &range.entries {
                    errors.extend(self.put(entry).err());
                }
            }
            Update::Changes(batch) => {
                for change in &batch.changes {
                    match change {
                        Change::Put(entry) => errors.extend(self.put(entry).err()),
                        Change::Delete { key, revision } => {
                            self.last_change = self.last_change.max(*revision);
                            self.delete(key);
                        }
                    }
                }
                self.revision = self.revision.max(batch.revision);
            }
        }
        errors
    }

    /// Takes a document.
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
            Kind::Out(domain) => {
                if let Err(index) = self.routing.out.binary_search(&domain) {
                    self.routing.out.insert(index, domain);
                }
            }
            Kind::Config | Kind::Other => {}
        }
        Ok(())
    }

    /// Takes note that a document is gone. A configuration stays in force.
    fn delete(&mut self, key: &str) {
        if let Kind::Out(domain) = self.source.kind(key) {
            self.routing.out.retain(|out| *out != domain);
        }
    }
}
