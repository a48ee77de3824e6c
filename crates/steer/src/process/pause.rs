//! Detects that the process was paused, so that datagrams have waited in its sockets.

use lentilreach::process::clock::Millis;

/// Delay of a tick above which the process counts as paused, in milliseconds. A slow machine
/// delays ticks less.
const TOLERANCE_MS: u64 = 500;

/// Time after the first tick within which datagrams that have waited are read, in
/// milliseconds.
const READ_MS: u64 = 200;

/// Compares the times of periodic ticks with when they were due.
#[derive(Debug)]
pub struct Pause {
    /// Interval between ticks, in milliseconds.
    interval_ms: u64,
    /// When the next tick is due.
    due: Millis,
    /// Until when datagrams that are read may have waited.
    read_until: Millis,
    /// Duration of the last pause, in milliseconds.
    ms: u64,
}

impl Pause {
    /// Creates a detector for ticks at an interval, the first of which is due after it.
    pub fn new(now: Millis, interval_ms: u64) -> Self {
        let due = now.after(interval_ms);
        Self { interval_ms, due, read_until: Millis(0), ms: 0 }
    }

    /// Processes a tick.
    pub fn tick(&mut self, now: Millis) {
        let late_ms = now.since(self.due);
        if late_ms > TOLERANCE_MS {
            self.ms = late_ms;
            self.read_until = now.after(READ_MS);
        }
        self.due = now.after(self.interval_ms);
    }

    /// Time for which a datagram that is read now may have waited, in milliseconds.
    pub fn delay_ms(&self, now: Millis) -> u64 {
        let late_ms = now.since(self.due);
        if late_ms > TOLERANCE_MS {
            late_ms
        } else if now < self.read_until {
            self.ms
        } else {
            0
        }
    }
}
