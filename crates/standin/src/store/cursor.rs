//! A waiting watch of the stand-in store.

use lentilreach::process::store::Batch;

use super::core::Span;
use super::handle::{Fault, Handle};

/// Reports changes from a revision on. Counted as waiting while it exists.
#[derive(Debug)]
pub(super) struct Cursor {
    /// The store.
    handle: Handle,
    /// What is watched.
    span: Span,
    /// First revision that has not been reported.
    from: u64,
    /// The cut count at the opening; a later cut ends the watch.
    epoch: u64,
}

impl Cursor {
    /// Starts before `from`.
    pub(super) fn new(handle: Handle, span: Span, from: u64, epoch: u64) -> Self {
        handle.add_waiting(true);
        Self { handle, span, from, epoch }
    }

    /// Waits for changes.
    pub(super) async fn next(&mut self) -> Result<Batch, Fault> {
        let poll = self.handle.wait(|core| core.since(&self.span, self.from), self.epoch);
        let batch = poll.await?;
        self.from = batch.revision + 1;
        Ok(batch)
    }
}

impl Drop for Cursor {
    fn drop(&mut self) {
        self.handle.add_waiting(false);
    }
}
