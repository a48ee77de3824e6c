//! Follows the keys under a prefix.

use super::error::Error;
use super::{Batch, Range, Store, Watch};
use crate::process::name::Name;

/// Reads the keys under a prefix and then watches them. If the store has compacted the
/// revisions to watch, it reads the keys again.
///
/// The watches of the store must reopen after an error, as those of
/// [`Retry`](super::retry::Retry) do.
#[derive(Debug)]
pub struct Follower<S: Store> {
    /// The store with the keys.
    store: S,
    /// The prefix of the keys.
    prefix: Name,
    /// The watch after the last snapshot; `None` before the first one and after a compaction.
    watch: Option<S::Watch>,
}

/// An update of the keys under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// All keys. Replaces everything reported before; missing keys were deleted.
    Snapshot(Range),
    /// Changes since the last update.
    Changes(Batch),
}

impl<S: Store> Follower<S> {
    /// Creates a follower. It makes no call before [`next`](Self::next) is called.
    pub fn new(store: S, prefix: impl Into<Name>) -> Self {
        Self { store, prefix: prefix.into(), watch: None }
    }

    /// Waits for the next update. The first one is a snapshot.
    ///
    /// # Errors
    /// If a call to the store fails. The next call continues without missing a change.
    pub async fn next(&mut self) -> Result<Update, Error> {
        loop {
            let Some(watch) = &mut self.watch else {
                let range = self.store.range(&self.prefix).await?;
                let watch = self.store.watch(&self.prefix, range.revision.next()).await?;
                self.watch = Some(watch);
                return Ok(Update::Snapshot(range));
            };
            match watch.next().await {
                Ok(batch) => return Ok(Update::Changes(batch)),
                Err(Error::Compacted { .. }) => self.watch = None,
                Err(error) => return Err(error),
            }
        }
    }
}
