//! Delays between the attempts of a call.

/// Capped exponential backoff with jitter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// Maximum of the first delay, in milliseconds. At least 1.
    base_ms: u64,
    /// Maximum of all delays, in milliseconds. At least `base_ms`.
    cap_ms: u64,
    /// Number of delays returned since the last success.
    attempts: u32,
}

impl Backoff {
    /// Creates a backoff whose step starts at `base_ms` and doubles up to `cap_ms`.
    pub fn new(base_ms: u64, cap_ms: u64) -> Self {
        let base_ms = base_ms.max(1);
        Self { base_ms, cap_ms: cap_ms.max(base_ms), attempts: 0 }
    }

    /// The next delay in milliseconds, given a random number.
    ///
    /// The delay is between one half of the step and the whole step. The lower bound keeps
    /// attempts apart, and the random part spreads the attempts of processes that lost the
    /// store at the same time.
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
