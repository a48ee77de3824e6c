//! Call counters of the stand-in store.

use lentilreach::process::store::Step;

/// Calls by kind, including rejected ones.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Reads.
    pub range: u64,
    /// Transactions.
    pub write: u64,
    /// Lease grants.
    pub grant: u64,
    /// Lease keep-alives.
    pub keep: u64,
    /// Lease revocations by clients.
    pub revoke: u64,
    /// Watches opened.
    pub watch: u64,
    /// Calls rejected by the rate limit; also counted by kind.
    pub throttled: u64,
    /// Watches that are currently open.
    pub open_watches: u64,
}

impl Counts {
    /// Total number of calls.
    pub fn calls(&self) -> u64 {
        self.range + self.write + self.grant + self.keep + self.revoke + self.watch
    }

    /// The load as the platform counts it: every call and every open watch counts as one.
    pub fn load(&self) -> u64 {
        self.calls() + self.open_watches
    }

    /// Counts a call.
    pub(super) fn add(&mut self, step: Step) {
        match step {
            Step::Range => self.range += 1,
            Step::Write => self.write += 1,
            Step::Grant => self.grant += 1,
            Step::Keep => self.keep += 1,
            Step::Revoke => self.revoke += 1,
            Step::Watch => self.watch += 1,
            // Opening a connection does not count as a call.
            Step::Connect => {}
        }
    }
}
