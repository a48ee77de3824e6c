//! Client of the platform's key-value store, etcd.
//!
//! [`Store`] is the interface for the rest of the crate. [`etcd::Client`] implements the
//! protocol, [`retry::Retry`] adds the call budget, timeouts and retries to any store, and
//! [`follow::Follower`] reports all changes under a prefix without a gap.

use std::future::Future;
use std::io;
use std::time::Duration;

use bytes::Bytes;

use crate::process::name::Name;
use crate::process::pool::Pool;

pub use error::{Error, Limit, Step};
pub use revision::Revision;
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
pub mod revision;
pub mod settings;

/// Maximum size of a value in the store, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Rank of the locks inside the store client in the lock order. A thread that holds one of
/// them takes no other lock.
pub const LOCK_RANK: u8 = 90;

/// The store client of a process.
pub type Client = retry::Retry<etcd::Client>;

/// Creates the store client of a process. It connects at the first call.
///
/// # Errors
/// If the settings name no endpoint.
pub fn connect(settings: Settings, pool: Pool) -> io::Result<Client> {
    let client = etcd::Client::new(&settings, pool)?;
    Ok(retry::Retry::new(client, settings))
}

/// A key-value store with revisions, leases and watches.
pub trait Store: Clone + Send + Sync + 'static {
    /// A watch of the keys under a prefix.
    type Watch: Watch;

    /// The store's address for errors and events.
    fn peer(&self) -> Name;

    /// Number of times that the store has come back from an older copy of itself, as far as its
    /// answers to this client have told. What it had acknowledged since that copy is gone, and
    /// revisions are given out again. Never decreases; stays 0 for a store that loses nothing.
    fn era(&self) -> u64 {
        0
    }

    /// Reads all keys that start with `prefix`, at one revision.
    fn range(&self, prefix: &str) -> impl Future<Output = Result<Range, Error>> + Send;

    /// Reads like [`Self::range`], but allows a stale answer, which may be some seconds old.
    /// Stores that support stale reads serve them at lower cost.
    fn range_stale(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Range, Error>> + Send {
        self.range(prefix)
    }

    /// Executes a transaction atomically.
    ///
    /// After [`Error::Unknown`], the caller must read back to find out whether the transaction
    /// took effect.
    fn write(&self, txn: Txn) -> impl Future<Output = Result<TxnResult, Error>> + Send;

    /// Creates a lease. Its time to live is rounded up to whole seconds.
    ///
    /// After [`Error::Unknown`], a lease that nobody holds may exist until it expires.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Extends a lease; returns its new time to live, or [`Error::Lapsed`].
    fn keep(&self, lease: Lease) -> impl Future<Output = Result<Duration, Error>> + Send;

    /// Ends a lease and deletes its keys. It is no error if the lease has already ended.
    fn revoke(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Watches all keys that start with `prefix`, from revision `from` on.
    ///
    /// To follow a [`Range`], watch from the revision after its own. If the store has come back
    /// from an older copy since, the watch ends with [`Error::Compacted`], even if the store has
    /// given out that number again.
    fn watch(
        &self,
        prefix: &str,
        from: Revision,
    ) -> impl Future<Output = Result<Self::Watch, Error>> + Send;
}

/// A stream of changes in the order of their revisions. All changes of a revision are in the
/// same batch.
pub trait Watch: Send + 'static {
    /// Waits for the next changes.
    ///
    /// A watch of [`retry::Retry`] can be called again after an error and continues without a
    /// gap. Other watches end with the first error. After [`Error::Compacted`], every watch has
    /// ended.
    fn next(&mut self) -> impl Future<Output = Result<Batch, Error>> + Send;

    /// Limits the time for which the watch relies on a single answer of the store. An answer
    /// that is lost is noticed soon after, at the cost of a call for each such time.
    ///
    /// Has no effect on a watch whose connection notices a loss itself.
    fn limit_wait(&mut self, _max: Duration) {}
}

/// The keys under a prefix with their values, at one revision.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Range {
    /// Revision of the store at which the keys were read.
    pub revision: Revision,
    /// Sorted by key.
    pub entries: Vec<Entry>,
}

impl Range {
    /// The entry of a key.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        let index = self.entries.binary_search_by(|entry| (*entry.key).cmp(key)).ok()?;
        Some(&self.entries[index])
    }
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The whole key, including the prefix.
    pub key: Name,
    /// At most [`MAX_VALUE_BYTES`] bytes.
    pub value: Bytes,
    /// Revision at which the key was created.
    pub created: u64,
    /// Revision at which the key was last written.
    pub modified: u64,
}

/// A transaction: changes that are made if all conditions hold.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Txn {
    /// Conditions; all must hold.
    pub compares: Vec<Compare>,
    /// Keys to write. A key may occur only once among `puts` and `deletes`.
    pub puts: Vec<Put>,
    /// Keys to delete. Absent keys are ignored.
    pub deletes: Vec<Name>,
}

impl Txn {
    /// Creates a transaction without conditions and changes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the condition that `key` was last written at revision `modified`; 0 means absent.
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
    /// Revision at which it must have been written last; 0 if it must be absent.
    pub modified: u64,
}

/// A write of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: Name,
    /// At most [`MAX_VALUE_BYTES`] bytes.
    pub value: Bytes,
    /// The key is deleted when this lease ends.
    pub lease: Option<Lease>,
}

/// The result of a transaction that the store has answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TxnResult {
    /// All conditions held and the changes were made.
    Committed {
        /// Revision of the changes.
        revision: u64,
    },
    /// A condition failed and nothing was changed.
    ConditionFailed {
        /// The current entries of the keys in the conditions, sorted by key; absent keys are
        /// left out.
        current: Vec<Entry>,
    },
}

/// The identifier of a lease. The store never reuses an identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lease(pub i64);

/// Consecutive changes reported by a watch.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Revision of the last change.
    pub revision: Revision,
    /// The changes in the order of their revisions. Never empty.
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
