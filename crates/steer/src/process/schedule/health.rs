//! Detects a backend server that resets the flows that it has accepted, or that doesn't
//! answer their requests.
//!
//! Such a backend server seems to have little load, so it would attract more flows than
//! any other.

use lentilreach::process::clock::Millis;

/// Interval in which flows that end are counted, in milliseconds.
const INTERVAL_MS: u64 = 1_000;

/// Number of resets or unanswered requests in an interval below which a backend server
/// isn't failing. Single ones occur while backend servers work.
const MIN_FAILURES: u32 = 4;

/// A backend server is failing if at least one in this number of requests is not answered.
const UNANSWERED_SHARE: u32 = 4;

/// A backend server is failing if it resets at least one in this number of flows that end.
const RESET_SHARE: u32 = 2;

/// Time for which a failing backend server is avoided at first, in milliseconds.
const FIRST_PENALTY_MS: u64 = 2_000;

/// Maximum time for which it is avoided before it is tried again, in milliseconds.
const MAX_PENALTY_MS: u64 = 16_000;

/// What flows that ended and answers tell about a backend server.
#[derive(Debug, Clone)]
pub struct Health {
    /// Start of the current interval.
    since: Millis,
    /// Flows that ended in the interval.
    ended: u32,
    /// Those of them that the backend server reset.
    resets: u32,
    /// Requests that were answered in the interval.
    answered: u32,
    /// Requests whose answer became overdue in the interval.
    unanswered: u32,
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
            answered: 0,
            unanswered: 0,
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

    /// Counts an answered request.
    pub fn record_answer(&mut self) {
        self.answered += 1;
    }

    /// Counts requests whose answer is overdue.
    pub fn record_unanswered(&mut self, requests: u32) {
        self.unanswered += requests;
    }

    /// Evaluates the interval if it is over. Must be called regularly.
    pub fn tick(&mut self, now: Millis) {
        if now.since(self.since) < INTERVAL_MS {
            return;
        }
        let resets_most =
            self.resets >= MIN_FAILURES && self.resets * RESET_SHARE >= self.ended;
        let is_mute = self.unanswered >= MIN_FAILURES
            && self.unanswered * UNANSWERED_SHARE >= self.answered + self.unanswered;
        if resets_most || is_mute {
            self.failing_until = now.after(self.penalty_ms);
            self.penalty_ms = (self.penalty_ms * 2).min(MAX_PENALTY_MS);
        } else if self.answered > 0 && !self.is_failing(now) {
            self.penalty_ms = FIRST_PENALTY_MS;
        }
        (self.since, self.ended, self.resets) = (now, 0, 0);
        (self.answered, self.unanswered) = (0, 0);
    }

    /// Whether it failed lately.
    pub fn is_failing(&self, now: Millis) -> bool {
        now < self.failing_until
    }
}
