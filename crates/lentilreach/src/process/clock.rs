//! Time as values, and the hybrid logical clock that orders events over all processes.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Milliseconds since an arbitrary start that is fixed for the process.
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

/// Reads the monotonic clock as [`Millis`]. Only front ends hold one.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// The start of the process's time.
    start: Instant,
}

impl Clock {
    /// Starts counting now.
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// The time since the start.
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
/// Ordered so that a cause always sorts before its effect, also over processes whose wall
/// clocks differ.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch, the largest seen.
    pub wall_ms: u64,
    /// Distinguishes stamps of the same millisecond.
    pub count: u32,
}

/// A hybrid logical clock (Kulkarni et al., 2014).
#[derive(Debug, Default)]
pub struct Hybrid {
    /// The last stamp given out or seen.
    last: Stamp,
}

impl Hybrid {
    /// Wall-clock time that a remote stamp may lie ahead, in milliseconds.
    ///
    /// A peer whose clock jumped must not drag every other clock along.
    pub const MAX_AHEAD_MS: u64 = 60_000;

    /// Gives out a stamp later than all given out or seen before.
    pub fn stamp(&mut self, wall_ms: u64) -> Stamp {
        self.last = if wall_ms > self.last.wall_ms {
            Stamp { wall_ms, count: 0 }
        } else {
            Stamp { wall_ms: self.last.wall_ms, count: self.last.count.wrapping_add(1) }
        };
        self.last
    }

    /// Takes note of a stamp received from a peer.
    ///
    /// A stamp more than [`Self::MAX_AHEAD_MS`] ahead is ignored; returns whether it was
    /// taken.
    pub fn observe(&mut self, remote: Stamp, wall_ms: u64) -> bool {
        if remote.wall_ms > wall_ms.saturating_add(Self::MAX_AHEAD_MS) {
            return false;
        }
        self.last = self.last.max(remote);
        true
    }
}

/// Milliseconds of the wall clock since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
