//! The configuration in force, with the revisions that a transaction compares with.

use crate::process::name::Name;
use crate::process::store::{Entry, Error, Range, Store};
use crate::version::config::key::{self, Kind};
use crate::version::config::snapshot::{Refused, Snapshot};
use crate::version::config::wire::Operations;

/// The configuration in the store at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Current {
    /// The valid documents.
    pub snapshot: Snapshot,
    /// The invalid documents.
    pub refused: Vec<Refused>,
    /// All entries as read, sorted by key.
    entries: Vec<Entry>,
}

impl Current {
    /// Reads the configuration from the store.
    ///
    /// # Errors
    /// If the store cannot be read.
    pub async fn read<S: Store>(store: &S) -> Result<Self, Error> {
        Ok(Self::new(store.range(key::PREFIX).await?))
    }

    /// Decodes the entries of a range. All entries of a range are of the same revision, so the
    /// documents are consistent.
    pub fn new(range: Range) -> Self {
        let documents =
            range.entries.iter().map(|entry| (&*entry.key, Some(&*entry.value)));
        let (snapshot, refused) =
            Snapshot::default().apply(range.revision.number, documents);
        Self { snapshot, refused, entries: range.entries }
    }

    /// The failure domains in which a balancer holds a relay slot, sorted.
    pub fn relay_domains(&self) -> Vec<&str> {
        let keys = self.entries.iter().map(|entry| Kind::parse(&entry.key));
        let mut domains: Vec<_> = keys
            .filter_map(|kind| match kind {
                Some(Kind::Relay { domain, .. }) => Some(domain),
                _ => None,
            })
            .collect();
        domains.dedup();
        domains
    }

    /// The revision at which a key was last written; 0 if it is absent.
    pub fn modified(&self, key: &str) -> u64 {
        self.entry(key).map_or(0, |entry| entry.modified)
    }

    /// The operation that last wrote a key, if recorded.
    pub fn operation(&self, key: &str) -> Option<Name> {
        self.entry(key).and_then(|entry| Operations::read(&entry.value).operation)
    }

    /// The entry of a key.
    fn entry(&self, key: &str) -> Option<&Entry> {
        find(&self.entries, key)
    }
}

/// Finds the entry of a key among entries that are sorted by key.
pub(super) fn find<'e>(entries: &'e [Entry], key: &str) -> Option<&'e Entry> {
    let found = entries.binary_search_by(|entry| (*entry.key).cmp(key));
    found.ok().map(|i| &entries[i])
}
