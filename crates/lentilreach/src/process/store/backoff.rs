//! Delays between attempts.

/// Capped exponential backoff with jitter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// Longest first delay, in milliseconds. At least 1.
    base_ms: u64,
    /// Longest delay, in milliseconds. At least `base_ms`.
    cap_ms: u64,
    /// Number of delays given out since the last success.
    attempts: u32,
}

impl Backoff {
    /// Starts with `base_ms` and doubles up to `cap_ms`.
    pub fn new(base_ms: u64, cap_ms: u64) -> Self {
        let base_ms = base_ms.max(1);
        Self { base_ms, cap_ms: cap_ms.max(base_ms), attempts: 0 }
    }

    /// The next delay in milliseconds, given a random number.
    ///
    /// Between one half and the whole of the step: the lower bound keeps attempts apart, and
    /// the random half spreads processes that lost the store at the same moment.
    pub fn next(&mut self, random: u64) -> u64 {
        let factor = 1u64.checked_shl(self.attempts).unwrap_or(u64::MAX);
        let step = self.base_ms.saturating_mul(factor).min(self.cap_ms);
        self.attempts = self.attempts.saturating_add(1);
        let half = step / 2;
        half + random % (step - half + 1)
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.attempts = 0;
    }
}
