//! Time values, and the hybrid logical clock that orders events across processes.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Milliseconds since an arbitrary origin that is fixed for the process.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Millis(pub u64);

impl Millis {
    /// The time `ms` milliseconds later.
    pub fn after(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Milliseconds since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Reads the monotonic clock as [`Millis`]. Only front ends have a clock; other code
/// receives the time as a value.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Origin of the process's time.
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at zero now.
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// Time since the clock was created.
    pub fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// A stamp of the hybrid logical clock: physical time, then a counter.
///
/// A cause always has a lower stamp than its effect, even across processes whose wall
/// clocks differ.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Stamp {
    /// Largest wall-clock time seen, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Distinguishes stamps of the same millisecond.
    pub count: u32,
}

/// A hybrid logical clock (Kulkarni et al., 2014).
#[derive(Debug, Default)]
pub struct Hybrid {
    /// The latest stamp created or observed.
    last: Stamp,
}

impl Hybrid {
    /// Maximum time that a received stamp may be ahead of the wall clock.
    ///
    /// Without this limit, a peer whose clock has jumped forward would advance the clocks
    /// of all other processes.
    pub const MAX_AHEAD_MS: u64 = 60_000;

    /// Creates a stamp that is later than all stamps created or observed before.
    pub fn stamp(&mut self, wall_ms: u64) -> Stamp {
        self.last = if wall_ms > self.last.wall_ms {
            Stamp { wall_ms, count: 0 }
        } else {
            Stamp { wall_ms: self.last.wall_ms, count: self.last.count.wrapping_add(1) }
        };
        self.last
    }

    /// Observes a stamp received from a peer.
    ///
    /// A stamp that is more than [`Self::MAX_AHEAD_MS`] ahead is ignored. Returns whether
    /// the stamp was accepted.
    pub fn observe(&mut self, received: Stamp, wall_ms: u64) -> bool {
        if received.wall_ms > wall_ms.saturating_add(Self::MAX_AHEAD_MS) {
            return false;
        }
        self.last = self.last.max(received);
        true
    }
}

/// Reads the wall clock, in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
