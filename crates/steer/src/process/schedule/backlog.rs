//! Mean number of jobs that a backend server has to do.

use lentilreach::process::clock::Millis;

/// Time over which numbers are averaged, in milliseconds.
const AVERAGE_MS: f64 = 500.0;

/// Mean below which no jobs of a priority are considered to wait.
const MIN_WAITING: f64 = 0.05;

/// Jobs that a backend server has to do, averaged over time.
#[derive(Debug, Default, Clone)]
pub struct Backlog {
    /// Jobs that it has been given.
    given: Average,
    /// Jobs that wait, by priority. Sorted by priority.
    waiting: Vec<(u8, Average)>,
}

impl Backlog {
    /// Records the number of jobs from now on: those that the backend server has been given,
    /// and those that wait, by priority.
    pub fn record(
        &mut self,
        now: Millis,
        given: u32,
        waiting: impl Iterator<Item = (u8, u32)>,
    ) {
        self.given.record(now, given);
        for (_, average) in &mut self.waiting {
            average.record(now, 0);
        }
        for (priority, jobs) in waiting {
            let found = self.waiting.binary_search_by_key(&priority, |(known, _)| *known);
            let index = found.unwrap_or_else(|index| {
                self.waiting.insert(index, (priority, Average::default()));
                index
            });
            self.waiting[index].1.record(now, jobs);
        }
        self.waiting
            .retain(|(_, average)| average.jobs > 0 || average.mean > MIN_WAITING);
    }

    /// Mean number of jobs that the backend server has been given.
    pub fn given(&self, now: Millis) -> f64 {
        self.given.mean(now)
    }

    /// Mean number of jobs that wait, by priority.
    pub fn waiting(&self, now: Millis) -> impl Iterator<Item = (u8, f64)> {
        let means = self.waiting.iter();
        means.map(move |(priority, average)| (*priority, average.mean(now)))
    }
}

/// Moving average of a number over time.
#[derive(Debug, Default, Clone)]
struct Average {
    /// The average until `since`.
    mean: f64,
    /// The current number.
    jobs: u32,
    /// When it was last recorded.
    since: Millis,
}

impl Average {
    /// Records the number from now on.
    fn record(&mut self, now: Millis, jobs: u32) {
        self.mean = self.mean(now);
        (self.jobs, self.since) = (jobs, now);
    }

    /// The average.
    fn mean(&self, now: Millis) -> f64 {
        let jobs = f64::from(self.jobs);
        let age = now.since(self.since) as f64 / AVERAGE_MS;
        jobs + (self.mean - jobs) * (-age).exp()
    }
}
