//! The rate limit on calls.

use crate::process::clock::Millis;

/// A token bucket that reserves start times for calls.
///
/// Invariant: in any interval of `t` milliseconds at most `burst + rate * (t + 1) / 1000`
/// calls start, if none starts before its reserved time. The added 1 accounts for start times
/// being rounded to whole milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Time between calls at the full rate, in microseconds. At least 1.
    interval_us: u64,
    /// Maximum time by which calls may run ahead of the rate, in microseconds.
    burst_us: u64,
    /// Time at which the bucket is full again, in microseconds.
    full_at_us: u64,
}

impl Budget {
    /// Creates a full bucket of `burst` calls that is refilled at `rate` calls per second.
    ///
    /// Values below 1 are raised to 1. The rate must be at most 1,000,000.
    pub fn new(rate: u32, burst: u32) -> Self {
        let interval_us = 1_000_000u64.div_ceil(u64::from(rate.max(1)));
        let burst_us = interval_us * u64::from(burst.max(1) - 1);
        Self { interval_us, burst_us, full_at_us: 0 }
    }

    /// Reserves a start time for a call and returns the wait until then, in milliseconds.
    ///
    /// # Errors
    /// If the wait would exceed `max_wait_ms`, nothing is reserved and the wait is returned as
    /// the error.
    pub fn reserve(&mut self, now: Millis, max_wait_ms: u64) -> Result<u64, u64> {
        let now_us = now.0.saturating_mul(1_000);
        let full_at_us = self.full_at_us.max(now_us);
        let wait_us = full_at_us.saturating_sub(now_us.saturating_add(self.burst_us));
        let wait_ms = wait_us.div_ceil(1_000);
        if wait_ms > max_wait_ms {
            return Err(wait_ms);
        }
        self.full_at_us = full_at_us.saturating_add(self.interval_us);
        Ok(wait_ms)
    }
}
