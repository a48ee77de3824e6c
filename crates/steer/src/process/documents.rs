//! Builds the active routing from the operators' documents in the store.

use std::fmt::{self, Display, Formatter};

use lentilreach::Name;
use lentilreach::process::clock::Millis;
use lentilreach::process::store::follow::Update;
use lentilreach::process::store::{Change, Entry, Range};

use crate::version::routing::{Route, Routing, Service};
use leads::Leads;

pub mod leads;
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
    /// Time for which it is kept in mind where a route has led, in milliseconds.
    retention_ms: u64,
}

impl<S: Source> Documents<S> {
    /// Creates a collection without documents. `retention_ms` is the time for which a flow may
    /// be where its route led before, in milliseconds.
    pub fn new(source: S, retention_ms: u64) -> Self {
        let (entries, routing) = (Vec::new(), Routing::default());
        Self { source, entries, routing, revision: 0, last_change: 0, retention_ms }
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

    /// All documents as they are in the store, for other nodes, and a record of where routes
    /// led before, which this process may have learned from documents that they have not seen.
    pub fn snapshot(&self, unix_s: u64) -> Range {
        let ended = Leads::ended(&self.routing, unix_s);
        let value = ended.value().filter(|_| ended.iter().next().is_some());
        let record = value.map(|value| Entry {
            key: leads::KEY.into(),
            value: value.into(),
            created: 0,
            modified: 0,
        });
        let entries = record.into_iter().chain(self.entries.iter().cloned());
        Range { revision: self.revision, entries: entries.collect() }
    }

    /// Applies an update from the store or another node. A snapshot may contain a record of
    /// where routes led before. Returns the documents that were rejected.
    pub fn apply(&mut self, now: Millis, update: Update) -> Vec<Error> {
        let retention_ms = self.retention_ms;
        let history = &mut self.routing.history;
        history.retain(|earlier| now.since(earlier.since) <= retention_ms);
        let mut errors = Vec::new();
        match update {
            Update::Snapshot(mut range) => {
                // A snapshot older than the known revision would restore outdated
                // documents.
                if range.revision < self.revision {
                    return errors;
                }
                self.revision = range.revision;
                self.routing.domains_out.clear();
                let is_record = |entry: &mut Entry| *entry.key == *leads::KEY;
                let records: Vec<_> = range.entries.extract_if(.., is_record).collect();
                for entry in &range.entries {
                    errors.extend(self.put(now, entry).err());
                }
                self.entries = range.entries;
                for entry in &records {
                    errors.extend(self.learn(now, entry).err());
                }
            }
            Update::Changes(batch) => {
                for change in &batch.changes {
                    match change {
                        Change::Put(entry) => {
                            errors.extend(self.put(now, entry).err());
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

    /// Takes over from a record where routes led before.
    fn learn(&mut self, now: Millis, record: &Entry) -> Result<(), Error> {
        let recorded = Leads::try_from(record).map_err(|leads::Invalid| Error {
            key: record.key.clone(),
            cause: "not a record of routes".into(),
        })?;
        for lead in recorded.iter() {
            if !self.routing.allows(lead.address, &lead.service) {
                self.routing.history.insert(now, lead.address, &lead.service);
            }
        }
        Ok(())
    }

    /// Activates a configuration that was written at a revision.
    fn activate(&mut self, now: Millis, revision: u64, config: Config) {
        let before = std::mem::replace(&mut self.routing.routes, config.routes);
        self.routing.revision = revision;
        self.routing.version = config.version;
        self.routing.services = config.services;
        self.routing.idle_ms = config.idle_ms;
        let mut history = std::mem::take(&mut self.routing.history);
        history.retain(|e| !self.routing.allows(e.address, &e.service));
        for (address, service) in leads::present(&before) {
            if !self.routing.allows(address, service) {
                history.insert(now, address, service);
            }
        }
        self.routing.history = history;
    }

    /// Applies a created or changed document.
    fn put(&mut self, now: Millis, entry: &Entry) -> Result<(), Error> {
        self.last_change = self.last_change.max(entry.modified);
        match self.source.kind(&entry.key) {
            Kind::Config if entry.modified > self.routing.revision => {
                let config = self.source.config(&entry.value)?;
                self.activate(now, entry.modified, config);
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
