//! The limit on calls.

use crate::process::clock::Millis;

/// A token bucket that gives out places in time.
///
/// Invariant: in any interval of `t` milliseconds at most `burst + rate * (t + 1) / 1000`
/// calls start, if each starts no earlier than its place. Places are whole milliseconds,
/// hence the one added.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Time between calls at the full rate, in microseconds. At least 1.
    interval_us: u64,
    /// How far the calls may run ahead of the rate, in microseconds.
    slack_us: u64,
    /// When the bucket is full again, in microseconds.
    full_at_us: u64,
}

impl Budget {
    /// A full bucket of `burst` calls that is refilled by `rate` calls a second.
    ///
    /// Both are at least 1 and the rate is at most 1,000,000.
    pub fn new(rate: u32, burst: u32) -> Self {
        let interval_us = 1_000_000u64.div_ceil(u64::from(rate.max(1)));
        let slack_us = interval_us * u64::from(burst.max(1) - 1);
        Self { interval_us, slack_us, full_at_us: 0 }
    }

    /// Reserves a place for a call and returns how long it has to wait, in milliseconds.
    ///
    /// If that is more than `patience_ms`, nothing is reserved and the wait is the error.
    ///
    /// # Errors
    /// The wait in milliseconds that would be needed.
    pub fn reserve(&mut self, now: Millis, patience_ms: u64) -> Result<u64, u64> {
        let now_us = now.0.saturating_mul(1_000);
        let full_at_us = self.full_at_us.max(now_us);
        let wait_us = full_at_us.saturating_sub(now_us.saturating_add(self.slack_us));
        let wait_ms = wait_us.div_ceil(1_000);
        if wait_ms > patience_ms {
            return Err(wait_ms);
        }
        self.full_at_us = full_at_us.saturating_add(self.interval_us);
        Ok(wait_ms)
    }
}
