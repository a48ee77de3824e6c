//! The configuration in force, with the revisions that a change is compared with.

use crate::process::name::Name;
use crate::process::store::{Entry, Error, Range, Store};
use crate::version::config::key;
use crate::version::config::snapshot::{Refused, Snapshot};
use crate::version::config::wire::Marks;

/// What the store held at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Force {
    /// The documents that are valid.
    pub snapshot: Snapshot,
    /// The documents that are not.
    pub refused: Vec<Refused>,
    /// All keys as read, sorted.
    entries: Vec<Entry>,
}

impl Force {
    /// Reads the store.
    ///
    /// # Errors
    /// If the store cannot be read.
    pub async fn read<S: Store>(store: &S) -> Result<Self, Error> {
        Ok(Self::new(store.range(key::PREFIX).await?))
    }

    /// Decodes what was read. One range is one revision, so the documents fit together.
    pub fn new(range: Range) -> Self {
        let documents =
            range.entries.iter().map(|entry| (&*entry.key, Some(&*entry.value)));
        let (snapshot, refused) = Snapshot::default().apply(range.revision, documents);
        Self { snapshot, refused, entries: range.entries }
    }

    /// The revision in which a key was last written; 0 if it is absent.
    pub fn modified(&self, key: &str) -> u64 {
        self.entry(key).map_or(0, |entry| entry.modified)
    }

    /// The operation that last wrote a key, if recorded.
    pub fn operation(&self, key: &str) -> Option<Name> {
        self.entry(key).and_then(|entry| Marks::read(&entry.value).operation)
    }

    /// The entry of a key.
    fn entry(&self, key: &str) -> Option<&Entry> {
        find(&self.entries, key)
    }
}

/// Finds a key among sorted entries.
pub(super) fn find<'e>(entries: &'e [Entry], key: &str) -> Option<&'e Entry> {
    let found = entries.binary_search_by(|entry| (*entry.key).cmp(key));
    found.ok().map(|i| &entries[i])
}
