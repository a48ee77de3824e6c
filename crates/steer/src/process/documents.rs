//! Builds the active routing from the operators' documents in the store.
//!
//! The store may come back from an older copy of itself. What it says then replaces what was
//! known, however low its revisions are, with two exceptions until operators have written their
//! documents again: a process doesn't return to a configuration with a lower version number, and
//! a failure domain stays out of service for some time, see [`domains::Domains`].

use std::fmt::{self, Display, Formatter};

use lentilreach::Name;
use lentilreach::process::clock::Millis;
use lentilreach::process::store::follow::Update;
use lentilreach::process::store::{Batch, Change, Entry, Range, Revision};

use crate::version::routing::{Route, Routing, Service};
use domains::Domains;
use leads::Leads;

pub mod domains;
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
    /// Version number that the operators assigned to the configuration. Never decreases.
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
    /// The failure domains that are out of service.
    domains: Domains,
    /// Store revision up to which all changes are known.
    revision: Revision,
    /// Store revision of the last known change to a document. At most `revision`.
    last_change: Revision,
    /// Store revision of the last configuration that was read, whether it was rejected or not.
    /// At most `last_change`.
    last_config: Revision,
    /// Time for which it is kept in mind where a route has led, in milliseconds.
    retention_ms: u64,
}

impl<S: Source> Documents<S> {
    /// Creates a collection without documents. `retention_ms` is the time for which a flow may
    /// be where its route led before, in milliseconds.
    pub fn new(source: S, retention_ms: u64) -> Self {
        Self {
            source,
            entries: Vec::new(),
            routing: Routing::default(),
            domains: Domains::default(),
            revision: Revision::default(),
            last_change: Revision::default(),
            last_config: Revision::default(),
            retention_ms,
        }
    }

    /// Prefix of the store keys that hold the documents.
    pub fn prefix(&self) -> &'static str {
        self.source.prefix()
    }

    /// Store revision of the last known change to a document. After a return of the store from a
    /// copy it is one of the present era, even if the copy holds no document.
    pub fn last_change(&self) -> Revision {
        self.last_change
    }

    /// The active routing.
    pub fn routing(&self) -> &Routing {
        &self.routing
    }

    /// Store revision up to which all changes are known.
    pub fn revision(&self) -> Revision {
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
        self.expire(now);
        let errors = match update {
            // An older snapshot would restore outdated documents.
            Update::Snapshot(range) if range.revision < self.revision => Vec::new(),
            Update::Snapshot(range) => self.replace(now, range),
            // Changes in another era don't follow on what is known.
            Update::Changes(batch) if batch.revision.era != self.revision.era => {
                Vec::new()
            }
            Update::Changes(batch) => self.change(now, batch),
        };
        self.routing.domains_out = self.domains.all();
        errors
    }

    /// Whether a failure domain has been kept out of service for long enough.
    pub fn is_expiry_due(&self, now: Millis) -> bool {
        self.domains.is_overdue(now, self.retention_ms)
    }

    /// Forgets what has been kept for long enough: where routes led before, and failure domains
    /// that the store has not named again.
    pub fn expire(&mut self, now: Millis) {
        let retention_ms = self.retention_ms;
        let history = &mut self.routing.history;
        history.retain(|earlier| now.since(earlier.since) <= retention_ms);
        self.domains.expire(now, retention_ms);
        self.routing.domains_out = self.domains.all();
    }

    /// Replaces all documents.
    fn replace(&mut self, now: Millis, mut range: Range) -> Vec<Error> {
        if range.revision.era > self.revision.era {
            self.domains.retain_listed(now);
            self.last_change = Revision { number: 0, ..range.revision };
        }
        self.revision = range.revision;
        self.domains.clear();
        let is_record = |entry: &mut Entry| *entry.key == *leads::KEY;
        let records: Vec<_> = range.entries.extract_if(.., is_record).collect();
        let mut errors = Vec::new();
        for entry in &range.entries {
            errors.extend(self.put(now, entry).err());
        }
        self.entries = range.entries;
        for entry in &records {
            errors.extend(self.learn(now, entry).err());
        }
        errors
    }

    /// Applies changes of single documents.
    fn change(&mut self, now: Millis, batch: Batch) -> Vec<Error> {
        let mut errors = Vec::new();
        for change in &batch.changes {
            match change {
                Change::Put(entry) => {
                    errors.extend(self.put(now, entry).err());
                    self.store_entry(entry);
                }
                Change::Delete { key, revision } => {
                    self.last_change = self.last_change.max(self.at(*revision));
                    self.delete(key);
                    self.entries.retain(|entry| entry.key != *key);
                }
            }
        }
        self.revision = self.revision.max(batch.revision);
        errors
    }

    /// A revision of the present era of the store.
    fn at(&self, number: u64) -> Revision {
        Revision { number, ..self.revision }
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
    fn activate(&mut self, now: Millis, revision: Revision, config: Config) {
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
        let revision = self.at(entry.modified);
        self.last_change = self.last_change.max(revision);
        match self.source.kind(&entry.key) {
            Kind::Config if revision > self.last_config => {
                self.last_config = revision;
                let config = self.source.config(&entry.value)?;
                let (version, active) = (config.version, self.routing.version);
                if version < active {
                    let cause = format!("version {version} is lower than {active}");
                    return Err(Error { key: entry.key.clone(), cause });
                }
                self.activate(now, revision, config);
            }
            Kind::DomainOut(domain) => self.domains.insert(domain),
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
            self.domains.remove(&domain);
        }
    }
}
