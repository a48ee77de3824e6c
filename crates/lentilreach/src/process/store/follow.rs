//! A copy of a prefix that stays current.

use super::error::Error;
use super::{Batch, Range, Store, Watch};
use crate::process::name::Name;

/// Reads a prefix, then follows its changes; reads again if the store no longer has them.
///
/// The store's watches must open again after an error, as those of
/// [`Retry`](super::retry::Retry) do.
#[derive(Debug)]
pub struct Follow<S: Store> {
    /// Where the prefix is.
    store: S,
    /// What is followed.
    prefix: Name,
    /// The watch after the last snapshot; none before the first one and after a compaction.
    watch: Option<S::Watch>,
}

/// News of a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// All keys. Replaces everything reported before; keys that are missing are deleted.
    Snapshot(Range),
    /// Changes since the last update.
    Changes(Batch),
}

impl<S: Store> Follow<S> {
    /// Follows a prefix from the first call of [`next`](Self::next) on.
    pub fn new(store: S, prefix: impl Into<Name>) -> Self {
        Self { store, prefix: prefix.into(), watch: None }
    }

    /// Waits for the next update. The first one is a snapshot.
    ///
    /// # Errors
    /// If the store fails. The next call goes on without a gap.
    pub async fn next(&mut self) -> Result<Update, Error> {
        loop {
            let Some(watch) = &mut self.watch else {
                let range = self.store.range(&self.prefix).await?;
                let watch = self.store.watch(&self.prefix, range.revision + 1).await?;
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
