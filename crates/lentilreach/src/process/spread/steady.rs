//! Time as the exchange counts it: never backwards and never in leaps.

use crate::process::clock::Millis;

/// Longest step in milliseconds.
///
/// A process that was paused, or whose clock jumped, has no evidence for the missing time, so
/// silence must not be concluded from it.
const MAX_STEP_MS: u64 = 500;

/// Follows the clock of the process in bounded steps.
#[derive(Debug, Clone, Copy)]
pub struct Steady {
    /// The clock at the last reading; `None` before the first.
    last: Option<Millis>,
    /// The time counted so far.
    now: Millis,
}

/// Where counting starts. Leaves room for times before the start of the process.
const START: Millis = Millis(1 << 40);

impl Steady {
    /// Starts counting at the first reading.
    pub fn new() -> Self {
        Self { last: None, now: START }
    }

    /// Takes a reading of the clock and returns the time counted.
    pub fn read(&mut self, clock: Millis) -> Millis {
        let step = self.last.map_or(0, |last| clock.since(last).min(MAX_STEP_MS));
        self.last = Some(clock);
        self.now = self.now.after(step);
        self.now
    }

    /// The time counted at the last reading.
    pub fn now(&self) -> Millis {
        self.now
    }
}

impl Default for Steady {
    fn default() -> Self {
        Self::new()
    }
}
