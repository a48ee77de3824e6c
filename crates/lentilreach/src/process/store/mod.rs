//! The platform's store: keys with revisions, leases and watches.
//!
//! [`Store`] is what the rest of the project calls. [`etcd::Client`] speaks the protocol,
//! [`retry::Retry`] adds the call budget, timeouts and retries to any store, and
//! [`follow::Follow`] keeps a caller's copy of a prefix current without a gap.

use std::future::Future;
use std::io;
use std::time::Duration;

use bytes::Bytes;

use crate::process::name::Name;
use crate::process::pool::Pool;

pub use error::{Error, Limit, Step};
pub use settings::{Builder, Settings};

pub mod backoff;
pub mod budget;
mod channel;
pub mod convert;
pub mod error;
pub mod etcd;
pub mod follow;
pub mod proto;
pub mod retry;
pub mod settings;

/// Largest value that the store holds, in bytes.
pub const MAX_VALUE: usize = 1 << 20;

/// Rank of the locks inside the store client. A thread that holds one takes no other lock.
pub const RANK: u8 = 90;

/// The store client of a process.
pub type Client = retry::Retry<etcd::Client>;

/// Makes the store client of a process. Connects at the first call.
///
/// # Errors
/// If the settings name no endpoint.
pub fn connect(settings: Settings, pool: Pool) -> io::Result<Client> {
    let client = etcd::Client::new(&settings, pool)?;
    Ok(retry::Retry::new(client, settings))
}

/// A key-value store with revisions, leases and watches.
pub trait Store: Clone + Send + Sync + 'static {
    /// Changes under a prefix.
    type Watch: Watch;

    /// The store's address as it appears in errors and events.
    fn peer(&self) -> Name;

    /// Reads all keys that start with `prefix`, at one revision.
    fn range(&self, prefix: &str) -> impl Future<Output = Result<Range, Error>> + Send;

    /// Reads like [`Self::range`], at less cost to the store where it offers that. The answer
    /// may be some seconds old.
    fn glance(&self, prefix: &str) -> impl Future<Output = Result<Range, Error>> + Send {
        self.range(prefix)
    }

    /// Compares revisions and writes in one step.
    ///
    /// [`Error::Unknown`] means that the write may have taken effect: read back to find out.
    fn write(&self, txn: Txn) -> impl Future<Output = Result<Written, Error>> + Send;

    /// Creates a lease. The store counts its time in whole seconds, rounded up.
    ///
    /// After [`Error::Unknown`] a lease may exist that nobody holds; it expires by itself.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Extends a lease; returns its new time to live, or [`Error::Lapsed`].
    fn keep(&self, lease: Lease) -> impl Future<Output = Result<Duration, Error>> + Send;

    /// Ends a lease and deletes its keys. A lease that is already gone is no error.
    fn revoke(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Watches all keys that start with `prefix`, from revision `from` on.
    ///
    /// To follow a [`Range`], watch from its revision plus one.
    fn watch(
        &self,
        prefix: &str,
        from: u64,
    ) -> impl Future<Output = Result<Self::Watch, Error>> + Send;
}

/// Changes in the order of their revisions, each revision complete in one batch.
pub trait Watch: Send + 'static {
    /// Waits for the next changes.
    ///
    /// A watch of [`retry::Retry`] may be called again after an error and goes on without a
    /// gap; a watch of a bare store has ended. After [`Error::Compacted`] both have.
    fn next(&mut self) -> impl Future<Output = Result<Batch, Error>> + Send;
}

/// Keys and values at one revision.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Range {
    /// Revision of the store when it was read.
    pub revision: u64,
    /// Sorted by key.
    pub entries: Vec<Entry>,
}

impl Range {
    /// The entry of a key.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        let place = self.entries.binary_search_by(|entry| (*entry.key).cmp(key)).ok()?;
        Some(&self.entries[place])
    }
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The whole key, including the prefix.
    pub key: Name,
    /// At most [`MAX_VALUE`] bytes.
    pub value: Bytes,
    /// Revision in which the key was created.
    pub created: u64,
    /// Revision in which the key was last written.
    pub modified: u64,
}

/// Conditions and the changes that are made if all of them hold.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Txn {
    /// Conditions; all must hold.
    pub compares: Vec<Compare>,
    /// Keys to write; each key at most once among puts and deletes.
    pub puts: Vec<Put>,
    /// Keys to delete; an absent key is no error.
    pub deletes: Vec<Name>,
}

impl Txn {
    /// An unconditional transaction without changes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the condition that `key` was last written in `modified`; 0 means absent.
    #[must_use]
    pub fn compare(mut self, key: impl Into<Name>, modified: u64) -> Self {
        self.compares.push(Compare { key: key.into(), modified });
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn put(mut self, key: impl Into<Name>, value: impl Into<Bytes>) -> Self {
        self.puts.push(Put { key: key.into(), value: value.into(), lease: None });
        self
    }

    /// Adds a write of a key that is deleted when the lease ends.
    #[must_use]
    pub fn lease(
        mut self,
        key: impl Into<Name>,
        value: impl Into<Bytes>,
        lease: Lease,
    ) -> Self {
        self.puts.push(Put { key: key.into(), value: value.into(), lease: Some(lease) });
        self
    }

    /// Adds a deletion.
    #[must_use]
    pub fn delete(mut self, key: impl Into<Name>) -> Self {
        self.deletes.push(key.into());
        self
    }
}

/// A condition on one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Compare {
    /// The key.
    pub key: Name,
    /// Revision in which it must last have been written; 0 if it must be absent.
    pub modified: u64,
}

/// A write of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: Name,
    /// At most [`MAX_VALUE`] bytes.
    pub value: Bytes,
    /// The key is deleted when this lease ends.
    pub lease: Option<Lease>,
}

/// The result of a transaction that the store has answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    /// All conditions held and the changes were made.
    Done {
        /// Revision of the changes.
        revision: u64,
    },
    /// A condition failed and nothing was changed.
    Lost {
        /// The keys of the conditions as they are, sorted; absent keys are missing.
        current: Vec<Entry>,
    },
}

/// Identifies a lease. The store never uses a value twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lease(pub i64);

/// Changes that a watch reports.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Revision of the last change.
    pub revision: u64,
    /// In the order of their revisions; never empty.
    pub changes: Vec<Change>,
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Entry),
    /// The key was deleted or its lease ended.
    Delete {
        /// The key.
        key: Name,
        /// Revision of the deletion.
        revision: u64,
    },
}

impl Change {
    /// Revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Put(entry) => entry.modified,
            Self::Delete { revision, .. } => *revision,
        }
    }

    /// The key that changed.
    pub fn key(&self) -> &Name {
        match self {
            Self::Put(entry) => &entry.key,
            Self::Delete { key, .. } => key,
        }
    }
}
