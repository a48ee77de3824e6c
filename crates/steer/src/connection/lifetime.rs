//! Estimates how long flows stay open.

/// Weight of one interval in the moving averages.
const WEIGHT: f64 = 0.1;

/// Openings per interval below which the lifetime is unknown.
const MIN_OPENED: f64 = 0.001;

/// Interval between calls of [`Lifetime::tick`], in milliseconds.
const INTERVAL_MS: f64 = crate::process::backend::TICK_MS as f64;

/// Estimates the mean lifetime of flows by Little's law, from the number of open flows and
/// the rate at which flows are opened.
#[derive(Debug, Default, Clone)]
pub struct Lifetime {
    /// Moving average of the number of open flows.
    open: f64,
    /// Moving average of the number of openings in an interval.
    opened: f64,
    /// Number of openings since the last call of [`Self::tick`].
    new: u32,
}

impl Lifetime {
    /// Counts an opening.
    pub fn record_opening(&mut self) {
        self.new += 1;
    }

    /// Processes the number of open flows at the end of an interval.
    pub fn tick(&mut self, open: u32) {
        self.open += (f64::from(open) - self.open) * WEIGHT;
        self.opened += (f64::from(self.new) - self.opened) * WEIGHT;
        self.new = 0;
    }

    /// The mean lifetime in milliseconds; 0 if it is unknown.
    pub fn ms(&self) -> u32 {
        if self.opened < MIN_OPENED {
            return 0;
        }
        (self.open / self.opened * INTERVAL_MS).ceil().max(1.0) as u32
    }
}
