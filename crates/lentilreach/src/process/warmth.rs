//! Cold detection: how many requests a backend server can be given at once.
//!
//! # Evidence
//!
//! A backend server is taken as cold until there is evidence of the contrary, and evidence
//! ages. These are the rules:
//!
//! - A *cold turn* (start of the agent, connection closed or refused, failed request, the
//!   health endpoint says cold) holds the limit at the cold limit for `cold_ms`. No answer
//!   shortens this time.
//! - A *slow sign* (an answer, or a running request, over [`SLOW_FACTOR`] times the warm
//!   median) drops the limit to the cold limit until [`PROOFS`] fast answers to requests that
//!   started after the sign. [`STRIKES`] signs without a fast answer in between are a cold
//!   turn.
//! - Only a fast answer raises the limit, by one, and only if as many requests ran as the
//!   limit allowed. It is evidence for the moment at which it arrives: a request above the
//!   cold limit may start only in the same step ([`Warmth::answered`] returns `true`).
//! - A raised limit falls back to the cold limit once the last fast answer is older than the
//!   time that makes an answer slow, since the backend server was idle from then on.
//!
//! # Bound
//!
//! If a backend server turns cold unannounced while at most `cold_slots` requests run, it
//! never gets more than `cold_slots` at once before its first answer that began cold. If that
//! answer is slow, it gets no more until it has recovered. If connections close with the turn,
//! the same holds from the close on, whatever was running.
//!
//! # Residual exposure
//!
//! - Requests that run while it turns cold keep running. If it turns cold without closing a
//!   connection, an answer to a request that began warm still counts as fast, so for at most
//!   the time that makes an answer slow it gets a replacement for each of them: at most `slots`
//!   run at once, and none is added to those.
//! - A cold backend server that answers within [`SLOW_FACTOR`] times the warm median cannot be
//!   told from a warm one, unless it closes a connection or its health endpoint says so.
//! - Times under [`MIN_SLOW_MS`] are never slow.
//! - A lasting slowdown becomes the warm median after half of [`WINDOW`] slow answers outside
//!   cold turns; otherwise a slower release would stay at the cold limit for ever.

use crate::process::clock::Millis;

/// An answer is slow from this multiple of the warm median on.
pub const SLOW_FACTOR: u64 = 2;

/// Answers within this time are never slow, in milliseconds: scheduling delays of the machine
/// are of this order.
pub const MIN_SLOW_MS: u64 = 10;

/// Fast answers that clear a slow sign.
pub const PROOFS: u8 = 2;

/// Slow signs without a fast answer in between that are a cold turn.
pub const STRIKES: u8 = 3;

/// Answers from which the warm median is taken.
pub const WINDOW: usize = 31;

/// Answers before there is a warm median.
const MIN_ANSWERS: usize = 5;

/// The limits of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ramp {
    /// Requests at once when warm; at least `cold_slots`.
    pub slots: u16,
    /// Requests at once in a cold start; at least 1.
    pub cold_slots: u16,
    /// Duration of a cold start in milliseconds.
    pub cold_ms: u64,
}

/// What is known of a backend server's warmth.
#[derive(Debug)]
pub struct Warmth {
    /// The limits, with their invariants established by [`Self::set_ramp`].
    ramp: Ramp,
    /// Requests at once while the last fast answer is recent; within the limits.
    level: u16,
    /// The limit is held at the cold limit until this time.
    hold: Millis,
    /// When the last cold turn began.
    turned: Millis,
    /// The last slow sign or cold turn. Requests that started before it prove nothing.
    sign: Millis,
    /// Fast answers still missing since the last sign.
    missing: u8,
    /// Slow signs since the last fast answer.
    strikes: u8,
    /// When the last fast answer arrived.
    proof: Option<Millis>,
    /// Times of recent answers outside cold turns.
    times: Times,
}

impl Warmth {
    /// The knowledge at the start: cold.
    pub fn new(ramp: Ramp, now: Millis) -> Self {
        let mut warmth = Self {
            ramp,
            level: 1,
            hold: now,
            turned: now,
            sign: now,
            missing: 0,
            strikes: 0,
            proof: None,
            times: Times::default(),
        };
        warmth.set_ramp(ramp);
        warmth.turn(now);
        warmth
    }

    /// Replaces the limits. A running cold turn keeps its end, unless no answer has been seen
    /// yet: then the new limits say how long it lasts.
    ///
    /// An agent starts with the lowest limits before it has its configuration, and its first
    /// cold turn ended with them after 10 ms.
    pub fn set_ramp(&mut self, ramp: Ramp) {
        if self.times.ring.is_empty() {
            self.hold = self.turned.after(ramp.cold_ms);
        }
        let cold_slots = ramp.cold_slots.max(1);
        self.ramp = Ramp { cold_slots, slots: ramp.slots.max(cold_slots), ..ramp };
        self.level = self.level.clamp(cold_slots, self.ramp.slots);
    }

    /// Maximum number of busy slots.
    ///
    /// Above [`Self::floor`], a slot may be filled only in the step of a fast answer.
    pub fn limit(&self, now: Millis) -> u16 {
        if self.is_cold(now) || self.missing > 0 || self.is_stale(now) {
            self.ramp.cold_slots
        } else {
            self.level
        }
    }

    /// Number of slots that may be busy without evidence of warmth: the cold limit.
    pub fn floor(&self) -> u16 {
        self.ramp.cold_slots
    }

    /// Whether a cold turn lasts.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.hold
    }

    /// Milliseconds until the present cold turn ends.
    pub fn cold_for(&self, now: Millis) -> u64 {
        self.hold.since(now)
    }

    /// The time over which an answer is slow, in milliseconds; `None` while unknown.
    pub fn patience_ms(&self) -> Option<u64> {
        let median = self.times.median()?;
        Some(median.saturating_mul(SLOW_FACTOR).max(MIN_SLOW_MS))
    }

    /// A cold turn: a connection was closed or refused, or a request failed or was shed.
    pub fn turn(&mut self, now: Millis) {
        self.turned = now;
        self.hold = self.hold.max(now.after(self.ramp.cold_ms));
        self.doubt(now);
        self.strikes = 0;
    }

    /// The word of the health endpoint. It counts only if it says cold.
    pub fn health(&mut self, now: Millis, cold: bool) {
        if cold {
            self.turn(now);
        }
    }

    /// A slow sign from a request that started at `started`.
    ///
    /// Requests that ran together at one sign share its cause, so they count once.
    pub fn slow(&mut self, now: Millis, started: Millis) {
        if self.is_cold(now) || started < self.sign {
            return;
        }
        self.doubt(now);
        self.strikes += 1;
        if self.strikes >= STRIKES {
            self.turn(now);
        }
    }

    /// An answer. `busy` is the number of requests that ran, this one included.
    ///
    /// Returns whether it is evidence of warmth, so that requests up to [`Self::limit`] may
    /// start in this step.
    pub fn answered(
        &mut self,
        now: Millis,
        started: Millis,
        took_ms: u64,
        busy: u16,
    ) -> bool {
        if started < self.hold {
            return false;
        }
        let patience = self.patience_ms();
        self.times.push(took_ms);
        match patience {
            Some(patience) if took_ms > patience => {
                self.slow(now, started);
                false
            }
            Some(_) if started >= self.sign => self.prove(now, busy),
            _ => false,
        }
    }

    /// Counts a fast answer; returns whether it is evidence.
    fn prove(&mut self, now: Millis, busy: u16) -> bool {
        self.strikes = 0;
        self.missing = self.missing.saturating_sub(1);
        if self.is_stale(now) {
            self.level = self.ramp.cold_slots;
        }
        self.proof = Some(now);
        if self.missing > 0 {
            return false;
        }
        if busy >= self.level {
            self.level = (self.level + 1).min(self.ramp.slots);
        }
        true
    }

    /// Drops to the cold limit until there are new proofs.
    fn doubt(&mut self, now: Millis) {
        self.sign = now;
        self.missing = PROOFS;
        self.level = self.ramp.cold_slots;
        self.proof = None;
    }

    /// Whether the last fast answer is too old to be evidence.
    fn is_stale(&self, now: Millis) -> bool {
        match (self.proof, self.patience_ms()) {
            (Some(proof), Some(patience)) => now.since(proof) > patience,
            _ => true,
        }
    }
}

/// The times of the last [`WINDOW`] answers.
#[derive(Debug, Default)]
struct Times {
    /// In milliseconds, in order of arrival until full, then as a ring.
    ring: Vec<u64>,
    /// Index of the oldest once the ring is full.
    oldest: usize,
    /// The median of `ring`.
    median: u64,
}

impl Times {
    /// Adds a time in place of the oldest.
    fn push(&mut self, ms: u64) {
        if self.ring.len() < WINDOW {
            self.ring.push(ms);
        } else {
            self.ring[self.oldest] = ms;
            self.oldest = (self.oldest + 1) % WINDOW;
        }
        let mut sorted = self.ring.clone();
        sorted.sort_unstable();
        self.median = sorted[sorted.len() / 2];
    }

    /// The median, if there are enough answers.
    fn median(&self) -> Option<u64> {
        (self.ring.len() >= MIN_ANSWERS).then_some(self.median)
    }
}
