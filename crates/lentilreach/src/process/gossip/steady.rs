//! Monotonic time of the gossip protocol, which advances in bounded steps.

use crate::process::clock::Millis;

/// Longest step between two readings in milliseconds.
///
/// A process that was paused, or whose clock jumped, observed nothing in the missing time, so
/// it must not conclude from it that others were silent.
const MAX_STEP_MS: u64 = 500;

/// Follows the clock of the process in bounded steps.
#[derive(Debug, Clone, Copy)]
pub struct Steady {
    /// The last reading of the clock; `None` before the first.
    last: Option<Millis>,
    /// The current time.
    now: Millis,
}

/// Start of the time. Greater than zero, so that times before the start of the process fit.
const START: Millis = Millis(1 << 40);

impl Steady {
    /// Creates a clock that starts at the first reading.
    pub fn new() -> Self {
        Self { last: None, now: START }
    }

    /// Takes a reading of the clock of the process and returns the current time.
    pub fn read(&mut self, clock: Millis) -> Millis {
        let step = self.last.map_or(0, |last| clock.since(last).min(MAX_STEP_MS));
        self.last = Some(clock);
        self.now = self.now.after(step);
        self.now
    }

    /// The time at the last reading.
    pub fn now(&self) -> Millis {
        self.now
    }
}

impl Default for Steady {
    fn default() -> Self {
        Self::new()
    }
}
