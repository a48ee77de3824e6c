//! Detects which priorities a backend server has no room for.
//!
//! Answers a crowd of urgent requests that takes all slots for longer than the callers of
//! others wait. The least wait in an interval shows that, whereas the length of the queue
//! only shows a burst: as long as one job of a priority is served soon, that priority has
//! room. Agents publish the result, so that balancers refuse what no agent would serve.

use lentilreach::process::clock::Millis;

/// Interval in which waits are compared, in milliseconds.
const INTERVAL_MS: u64 = 500;

/// Least wait in an interval from which a priority has no room, in milliseconds. Openings
/// are given up after 1,250 ms.
const FULL_WAIT_MS: u64 = 1_000;

/// Number of intervals in succession with such waits after which the priority is refused.
const FULL_INTERVALS: u8 = 2;

/// Number of intervals in succession with free slots after which all priorities have room.
const FREE_INTERVALS: u8 = 2;

/// The waits of one priority.
#[derive(Debug, Clone, Copy)]
struct Row {
    /// The priority.
    priority: u8,
    /// Least wait of a job that was delivered in the current interval, or of the oldest that
    /// still waits, in milliseconds.
    least_ms: Option<u64>,
    /// Number of intervals in succession whose least wait was too long.
    full: u8,
}

/// The waits of the jobs for a backend server.
#[derive(Debug, Default, Clone)]
pub struct Pressure {
    /// Sorted by priority.
    rows: Vec<Row>,
    /// Start of the current interval.
    since: Millis,
    /// Whether a job was delivered without a wait in the current interval.
    had_room: bool,
    /// Number of intervals in succession with free slots.
    free: u8,
    /// The least urgent priority that has room; `None` if all have.
    floor: Option<u8>,
}

impl Pressure {
    /// Records the wait of a job that is delivered.
    pub fn record(&mut self, priority: u8, wait_ms: u64) {
        self.had_room |= wait_ms == 0;
        self.lower(priority, wait_ms);
    }

    /// Evaluates the interval if it is over. `waiting` are the priorities of waiting jobs,
    /// each with the time at which its oldest was sent.
    pub fn tick(&mut self, now: Millis, waiting: impl Iterator<Item = (u8, Millis)>) {
        if now.since(self.since) < INTERVAL_MS {
            return;
        }
        self.since = now;
        let mut is_waiting = false;
        for (priority, oldest) in waiting {
            is_waiting = true;
            let has_served = self.row(priority).least_ms.is_some();
            if !has_served {
                self.lower(priority, now.since(oldest));
            }
        }
        for row in &mut self.rows {
            let is_full = row.least_ms.is_some_and(|ms| ms >= FULL_WAIT_MS);
            row.full = if is_full { row.full.saturating_add(1) } else { 0 };
            row.least_ms = None;
        }
        let is_free = std::mem::take(&mut self.had_room) || !is_waiting;
        self.free = if is_free { self.free.saturating_add(1) } else { 0 };
        if self.free >= FREE_INTERVALS {
            self.floor = None;
        }
        let full = self.rows.iter().find(|row| row.full >= FULL_INTERVALS);
        if let Some(first) = full {
            // The most urgent priority is always admitted: its callers decide by their
            // own deadlines.
            let above = self.rows.iter().filter(|row| row.priority < first.priority);
            self.floor = above.map(|row| row.priority).max().or(self.floor);
        }
        self.rows.retain(|row| row.full > 0);
    }

    /// The least urgent priority that has room; `None` if all have.
    pub fn floor(&self) -> Option<u8> {
        self.floor
    }

    /// Records a wait of a priority unless a lower one is known.
    fn lower(&mut self, priority: u8, wait_ms: u64) {
        let row = self.row(priority);
        row.least_ms = Some(row.least_ms.map_or(wait_ms, |least| least.min(wait_ms)));
    }

    /// The row of a priority.
    fn row(&mut self, priority: u8) -> &mut Row {
        let found = self.rows.binary_search_by_key(&priority, |row| row.priority);
        let index = found.unwrap_or_else(|index| {
            self.rows.insert(index, Row { priority, least_ms: None, full: 0 });
            index
        });
        &mut self.rows[index]
    }
}
