//! The part of the store's interface that a submit needs, until `process::store` is merged.

use std::fmt::{self, Display, Formatter};
use std::future::Future;

use bytes::Bytes;

use crate::process::name::Name;

/// A key-value store with revisions.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads all keys that start with `prefix`, at one revision.
    fn range(&self, prefix: &str) -> impl Future<Output = Result<Range, Error>> + Send;

    /// Compares revisions and writes in one step.
    fn write(&self, txn: Txn) -> impl Future<Output = Result<Written, Error>> + Send;
}

/// Keys and values at one revision.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Range {
    /// Revision of the store when it was read.
    pub revision: u64,
    /// Sorted by key.
    pub entries: Vec<Entry>,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The whole key, including the prefix.
    pub key: Name,
    /// The document.
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
    /// Keys to write.
    pub puts: Vec<Put>,
    /// Keys to delete.
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
        self.puts.push(Put { key: key.into(), value: value.into() });
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
    /// The document.
    pub value: Bytes,
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

/// What was being done when a store call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Reading keys.
    Range,
    /// Comparing and writing.
    Write,
}

/// Why a store call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The store cannot be reached. No key was written.
    Unavailable {
        /// What was being done.
        step: Step,
        /// Address of the store.
        peer: Name,
        /// The system's or the store's message.
        cause: String,
    },
    /// The answer to a change was lost. The change may have taken effect.
    Unknown {
        /// What was being done.
        step: Step,
        /// Address of the store.
        peer: Name,
        /// Why there is no answer.
        cause: String,
    },
}

impl Error {
    /// Whether the change that was asked for may have taken effect.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable { peer, cause, .. } => {
                write!(f, "store {peer} cannot be reached: {cause}")
            }
            Self::Unknown { peer, cause, .. } => {
                write!(f, "answer from store {peer} lost: {cause}")
            }
        }
    }
}

impl std::error::Error for Error {}
