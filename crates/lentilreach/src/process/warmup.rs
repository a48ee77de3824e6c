//! Detects whether a backend server is warm and limits its concurrent requests accordingly.
//!
//! # Evidence
//!
//! A backend server is assumed to be cold until there is evidence that it is warm, and
//! evidence expires. The rules are:
//!
//! - A *cold period* begins when the agent starts, a connection is closed or refused, a
//!   request fails, or the health endpoint reports cold. It holds the limit at the cold limit
//!   for `cold_ms`; no response shortens it.
//! - A *slow signal* is a response, or a running request, that takes longer than
//!   [`SLOW_FACTOR`] times the warm median. It lowers the limit to the cold limit until there
//!   were [`FAST_RESPONSES_TO_RECOVER`] fast responses to requests started after the signal.
//!   [`SLOW_SIGNALS_TO_COLD`] signals without a fast response in between start a cold period.
//! - Only a fast response raises the limit, by one, and only if as many requests were running
//!   as the limit allowed. It is evidence only at the moment of its arrival: a request above
//!   the cold limit may start only in the same step ([`Detector::record_response`] returns
//!   `true`).
//! - A raised limit falls back to the cold limit once the last fast response is older than the
//!   slow threshold, since the backend server has been idle from then on.
//!
//! # Guarantee
//!
//! If a backend server becomes cold without notice while at most `cold_slots` requests run, it
//! gets at most `cold_slots` at once until it has responded to a request that started cold. If
//! that response is slow, it gets no more than that until it has recovered. If it closes its
//! connections when it becomes cold, the same holds from the close on, however many requests
//! were running.
//!
//! # Known limitations
//!
//! - Requests that are running when it becomes cold continue. If it becomes cold without
//!   closing a connection, a response to a request that started warm still counts as fast. For
//!   at most the slow threshold, each such response lets another request start: at most
//!   `slots` run at once, and the number of running requests does not rise.
//! - A cold backend server that responds within [`SLOW_FACTOR`] times the warm median cannot
//!   be distinguished from a warm one, unless it closes a connection or its health endpoint
//!   reports cold.
//! - Durations up to [`MIN_SLOW_MS`] are never slow.
//! - A lasting slowdown becomes the new warm median after half of [`MEDIAN_WINDOW`] slow
//!   responses outside cold periods. Otherwise a slower release would stay at the cold limit
//!   forever.

use crate::process::clock::Millis;

/// A response is slow if it takes longer than this multiple of the warm median.
pub const SLOW_FACTOR: u64 = 2;

/// Responses within this time are never slow, in milliseconds. Scheduling delays on the
/// machine are of this order.
pub const MIN_SLOW_MS: u64 = 10;

/// Fast responses that end the effect of a slow signal.
pub const FAST_RESPONSES_TO_RECOVER: u8 = 2;

/// Slow signals without a fast response in between that start a cold period.
pub const SLOW_SIGNALS_TO_COLD: u8 = 3;

/// Number of recent responses in the warm median.
pub const MEDIAN_WINDOW: usize = 31;

/// Minimum number of responses for a warm median.
const MIN_MEDIAN_RESPONSES: usize = 5;

/// Limits on the concurrent requests to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Concurrency {
    /// Concurrent requests when warm; at least `cold_slots`.
    pub slots: u16,
    /// Concurrent requests during a cold start; at least 1.
    pub cold_slots: u16,
    /// Duration of a cold start, in milliseconds.
    pub cold_ms: u64,
}

/// Tracks whether a backend server is warm.
#[derive(Debug)]
pub struct Detector {
    /// The limits; [`Self::set_concurrency`] establishes their invariants.
    limits: Concurrency,
    /// The limit while the last fast response is recent; between `cold_slots` and `slots`.
    raised_limit: u16,
    /// End of the current or last cold period.
    cold_until: Millis,
    /// When the last cold period began.
    cold_since: Millis,
    /// Time of the last slow signal or cold period. Requests that started before it are no
    /// evidence.
    last_signal: Millis,
    /// Fast responses still needed since the last signal.
    fast_needed: u8,
    /// Slow signals since the last fast response.
    slow_signals: u8,
    /// When the last fast response arrived.
    last_fast: Option<Millis>,
    /// Durations of recent responses outside cold periods.
    durations: Durations,
}

impl Detector {
    /// Creates a detector for a backend server that is assumed to be cold.
    pub fn new(limits: Concurrency, now: Millis) -> Self {
        let mut detector = Self {
            limits,
            raised_limit: 1,
            cold_until: now,
            cold_since: now,
            last_signal: now,
            fast_needed: 0,
            slow_signals: 0,
            last_fast: None,
            durations: Durations::default(),
        };
        detector.set_concurrency(limits);
        detector.start_cold_period(now);
        detector
    }

    /// Replaces the limits. The current cold period keeps its end, unless no response outside
    /// a cold period was recorded yet: then its duration follows the new limits.
    ///
    /// An agent starts with minimal limits until it has its configuration. Without this rule
    /// its first cold period ended after the 10 ms of those limits.
    pub fn set_concurrency(&mut self, limits: Concurrency) {
        if self.durations.ring.is_empty() {
            self.cold_until = self.cold_since.after(limits.cold_ms);
        }
        let cold_slots = limits.cold_slots.max(1);
        self.limits =
            Concurrency { cold_slots, slots: limits.slots.max(cold_slots), ..limits };
        self.raised_limit = self.raised_limit.clamp(cold_slots, self.limits.slots);
    }

    /// Current limit on busy slots.
    ///
    /// Above [`Self::cold_limit`], a slot may be filled only in the same step as a fast
    /// response.
    pub fn limit(&self, now: Millis) -> u16 {
        if self.is_cold(now) || self.fast_needed > 0 || self.is_evidence_stale(now) {
            self.limits.cold_slots
        } else {
            self.raised_limit
        }
    }

    /// The cold limit: the number of slots that may be busy without evidence of warmth.
    pub fn cold_limit(&self) -> u16 {
        self.limits.cold_slots
    }

    /// Whether a cold period is in progress.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Time until the current cold period ends, in milliseconds.
    pub fn cold_remaining_ms(&self, now: Millis) -> u64 {
        self.cold_until.since(now)
    }

    /// The duration above which a response is slow, in milliseconds; `None` while there is no
    /// median.
    pub fn slow_threshold_ms(&self) -> Option<u64> {
        let median = self.durations.median()?;
        Some(median.saturating_mul(SLOW_FACTOR).max(MIN_SLOW_MS))
    }

    /// Starts a cold period: a connection was closed or refused, or a request failed or was
    /// shed.
    pub fn start_cold_period(&mut self, now: Millis) {
        self.cold_since = now;
        self.cold_until = self.cold_until.max(now.after(self.limits.cold_ms));
        self.reset_evidence(now);
        self.slow_signals = 0;
    }

    /// Records a report of the health endpoint. Only a cold one has an effect.
    pub fn record_health(&mut self, now: Millis, cold: bool) {
        if cold {
            self.start_cold_period(now);
        }
    }

    /// Records a slow signal from a request that started at `started`.
    ///
    /// Slow requests that were running at the same signal have the same cause, so they count
    /// once.
    pub fn record_slow(&mut self, now: Millis, started: Millis) {
        if self.is_cold(now) || started < self.last_signal {
            return;
        }
        self.reset_evidence(now);
        self.slow_signals += 1;
        if self.slow_signals >= SLOW_SIGNALS_TO_COLD {
            self.start_cold_period(now);
        }
    }

    /// Records a response. `busy` is the number of running requests, including this one.
    ///
    /// Returns whether it is evidence of warmth, in which case requests up to [`Self::limit`]
    /// may start in the same step.
    pub fn record_response(
        &mut self,
        now: Millis,
        started: Millis,
        duration_ms: u64,
        busy: u16,
    ) -> bool {
        if started < self.cold_until {
            return false;
        }
        let threshold = self.slow_threshold_ms();
        self.durations.push(duration_ms);
        match threshold {
            Some(threshold) if duration_ms > threshold => {
                self.record_slow(now, started);
                false
            }
            Some(_) if started >= self.last_signal => self.record_fast(now, busy),
            _ => false,
        }
    }

    /// Records a fast response; returns whether it is evidence of warmth.
    fn record_fast(&mut self, now: Millis, busy: u16) -> bool {
        self.slow_signals = 0;
        self.fast_needed = self.fast_needed.saturating_sub(1);
        if self.is_evidence_stale(now) {
            self.raised_limit = self.limits.cold_slots;
        }
        self.last_fast = Some(now);
        if self.fast_needed > 0 {
            return false;
        }
        if busy >= self.raised_limit {
            self.raised_limit = (self.raised_limit + 1).min(self.limits.slots);
        }
        true
    }

    /// Lowers the limit to the cold limit until there is new evidence.
    fn reset_evidence(&mut self, now: Millis) {
        self.last_signal = now;
        self.fast_needed = FAST_RESPONSES_TO_RECOVER;
        self.raised_limit = self.limits.cold_slots;
        self.last_fast = None;
    }

    /// Whether the last fast response is too old to be evidence.
    fn is_evidence_stale(&self, now: Millis) -> bool {
        match (self.last_fast, self.slow_threshold_ms()) {
            (Some(last_fast), Some(threshold)) => now.since(last_fast) > threshold,
            _ => true,
        }
    }
}

/// The durations of the last [`MEDIAN_WINDOW`] responses.
#[derive(Debug, Default)]
struct Durations {
    /// In milliseconds. In order of arrival until full, then a ring buffer.
    ring: Vec<u64>,
    /// Index of the oldest element once the buffer is full.
    oldest: usize,
    /// The median of `ring`.
    median: u64,
}

impl Durations {
    /// Adds a duration, replacing the oldest one if the buffer is full.
    fn push(&mut self, duration_ms: u64) {
        if self.ring.len() < MEDIAN_WINDOW {
            self.ring.push(duration_ms);
        } else {
            self.ring[self.oldest] = duration_ms;
            self.oldest = (self.oldest + 1) % MEDIAN_WINDOW;
        }
        let mut sorted = self.ring.clone();
        sorted.sort_unstable();
        self.median = sorted[sorted.len() / 2];
    }

    /// The median, if there are enough responses.
    fn median(&self) -> Option<u64> {
        (self.ring.len() >= MIN_MEDIAN_RESPONSES).then_some(self.median)
    }
}
