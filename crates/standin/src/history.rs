//! Time series of a run with one sample per second, for the plots of its report.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::cluster::Cluster;
use crate::record::{Count, Record};
use crate::report::{Row, Series};

/// Collects the time series of a run.
#[derive(Debug)]
pub struct History {
    /// Start of the run.
    start: Instant,
    /// The data collected so far.
    state: Mutex<State>,
}

/// State of a [`History`].
#[derive(Debug, Default)]
struct State {
    /// One row per second. `open` may be shorter than the final number of backend servers.
    rows: Vec<Row>,
    /// Changes to the deployment: second and description.
    changes: Vec<(u32, String)>,
    /// Counters at the previous row: answered, refused, unknown.
    last: [u64; 3],
}

impl History {
    /// Creates an empty history that starts now.
    pub fn new() -> Self {
        Self { start: Instant::now(), state: Mutex::default() }
    }

    /// Records a change.
    pub fn add_change(&self, text: &str) {
        let second = seconds(self.start.elapsed());
        self.state.lock().changes.push((second, text.to_string()));
    }

    /// Adds a row for the current second.
    pub fn sample(&self, record: &Record) {
        let counts = [Count::Answered, Count::Refused, Count::Unknown];
        let now = counts.map(|count| record.get(count));
        let open = record.flows().into_iter().map(|open| open.max(0) as u32).collect();
        let second = seconds(self.start.elapsed());
        let mut state = self.state.lock();
        let increase = |counter: usize| (now[counter] - state.last[counter]) as u32;
        let (answered, refused, unknown) = (increase(0), increase(1), increase(2));
        state.last = now;
        state.rows.push(Row { second, open, answered, refused, unknown });
    }

    /// The time series of the whole run.
    pub fn series(self, cluster: &Cluster) -> Series {
        let services = &cluster.deployment().services;
        let targets = cluster.targets();
        let name = |index: usize| match targets.get(index) {
            Some(target) => format!("{} {index}", services[target.service].name).into(),
            None => index.to_string().into(),
        };
        let State { mut rows, changes, .. } = self.state.into_inner();
        rows.iter_mut().for_each(|row| row.open.resize(targets.len(), 0));
        Series { servers: (0..targets.len()).map(name).collect(), rows, changes }
    }
}

impl Default for History {
    fn default() -> Self {
        Self::new()
    }
}

/// Full seconds of a duration.
fn seconds(time: Duration) -> u32 {
    time.as_secs() as u32
}
