//! Server side of an open watch in the stand-in store.

use lentilreach::process::store::Batch;

use super::core::KeyRange;
use super::handle::{CallError, Handle};

/// Delivers changes starting at a revision. Counted as an open watch until dropped.
#[derive(Debug)]
pub(super) struct Watcher {
    /// The store.
    handle: Handle,
    /// The watched keys.
    key_range: KeyRange,
    /// First revision that has not been delivered.
    from: u64,
    /// The connection epoch at which the watch was opened; it ends when the epoch changes.
    epoch: u64,
}

impl Watcher {
    /// Opens a watch that delivers changes starting at revision `from`.
    pub(super) fn new(
        handle: Handle,
        key_range: KeyRange,
        from: u64,
        epoch: u64,
    ) -> Self {
        handle.count_watch(true);
        Self { handle, key_range, from, epoch }
    }

    /// Waits for the next batch of changes.
    pub(super) async fn next(&mut self) -> Result<Batch, CallError> {
        let poll = self
            .handle
            .wait_for(|core| core.changes_since(&self.key_range, self.from), self.epoch);
        let batch = poll.await?;
        self.from = batch.revision.number + 1;
        Ok(batch)
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.handle.count_watch(false);
    }
}
