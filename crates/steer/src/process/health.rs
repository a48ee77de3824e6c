//! Detects a backend server that resets the flows that it has accepted.
//!
//! Such a backend server seems to have little load, so it would attract more flows than
//! any other.

use lentilreach::process::clock::Millis;

/// Interval in which flows that end are counted, in milliseconds.
const INTERVAL_MS: u64 = 1_000;

/// Number of resets in an interval below which a backend server isn't failing. Single
/// flows are also reset while backend servers work.
const MIN_RESETS: u32 = 4;

/// Time for which a failing backend server is avoided at first, in milliseconds.
const FIRST_PENALTY_MS: u64 = 2_000;

/// Maximum time for which it is avoided before it is tried again, in milliseconds.
const MAX_PENALTY_MS: u64 = 16_000;

/// What flows that ended tell about a backend server.
#[derive(Debug)]
pub struct Health {
    /// Start of the current interval.
    since: Millis,
    /// Flows that ended in the interval.
    ended: u32,
    /// Those of them that the backend server reset.
    resets: u32,
    /// Until when it is avoided.
    failing_until: Millis,
    /// Time for which it is avoided if it fails again.
    penalty_ms: u64,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            since: Millis(0),
            ended: 0,
            resets: 0,
            failing_until: Millis(0),
            penalty_ms: FIRST_PENALTY_MS,
        }
    }
}

impl Health {
    /// Counts an open flow that the backend server has ended.
    pub fn record_end(&mut self, is_reset: bool) {
        self.ended += 1;
        self.resets += u32::from(is_reset);
    }

    /// Evaluates the interval if it is over. Must be called regularly.
    pub fn tick(&mut self, now: Millis) {
        if now.since(self.since) < INTERVAL_MS {
            return;
        }
        if self.resets >= MIN_RESETS && self.resets * 2 >= self.ended {
            self.failing_until = now.after(self.penalty_ms);
            self.penalty_ms = (self.penalty_ms * 2).min(MAX_PENALTY_MS);
        } else if self.ended > self.resets && !self.is_failing(now) {
            self.penalty_ms = FIRST_PENALTY_MS;
        }
        (self.since, self.ended, self.resets) = (now, 0, 0);
    }

    /// Whether most flows were reset lately.
    pub fn is_failing(&self, now: Millis) -> bool {
        now < self.failing_until
    }
}
