//! What the stand-in store has counted.

use lentilreach::process::store::Step;

/// Calls by kind, refused ones included.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Reads.
    pub range: u64,
    /// Transactions.
    pub write: u64,
    /// Leases asked for.
    pub grant: u64,
    /// Keep-alives.
    pub keep: u64,
    /// Leases ended by callers.
    pub revoke: u64,
    /// Watches opened.
    pub watch: u64,
    /// Calls refused by the rate limit; also counted by kind.
    pub throttled: u64,
    /// Watches that are waiting now.
    pub waiting: u64,
}

impl Counts {
    /// Calls of all kinds.
    pub fn calls(&self) -> u64 {
        self.range + self.write + self.grant + self.keep + self.revoke + self.watch
    }

    /// The load as the platform counts it: each call and each waiting watch is one.
    pub fn load(&self) -> u64 {
        self.calls() + self.waiting
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
            // A connection is no call.
            Step::Connect => {}
        }
    }
}
