//! The course of a run, second by second, for the plots of its report.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::cluster::Cluster;
use crate::record::{Count, Record};
use crate::report::{Row, Series};

/// Collects the course of a run.
#[derive(Debug)]
pub struct History {
    /// Start of the run.
    start: Instant,
    /// What has been collected.
    state: Mutex<State>,
}

/// State of a [`History`].
#[derive(Debug, Default)]
struct State {
    /// One row a second; `open` may be shorter than the final number of backend servers.
    rows: Vec<Row>,
    /// What was changed, as second and text.
    changes: Vec<(u32, String)>,
    /// Counts at the last row: answered, refused, unknown.
    last: [u64; 3],
}

impl History {
    /// An empty history that starts now.
    pub fn new() -> Self {
        Self { start: Instant::now(), state: Mutex::default() }
    }

    /// Notes a change.
    pub fn change(&self, text: &str) {
        let second = seconds(self.start.elapsed());
        self.state.lock().changes.push((second, text.to_string()));
    }

    /// Takes the row of this second.
    pub fn sample(&self, record: &Record) {
        let counts = [Count::Answered, Count::Refused, Count::Unknown];
        let now = counts.map(|count| record.get(count));
        let open = record.flows().into_iter().map(|open| open.max(0) as u32).collect();
        let second = seconds(self.start.elapsed());
        let mut state = self.state.lock();
        let since = |at: usize| (now[at] - state.last[at]) as u32;
        let (answered, refused, unknown) = (since(0), since(1), since(2));
        state.last = now;
        state.rows.push(Row { second, open, answered, refused, unknown });
    }

    /// The series of the whole run.
    pub fn series(self, cluster: &Cluster) -> Series {
        let services = &cluster.deployment().services;
        let targets = cluster.targets();
        let name = |place: usize| match targets.get(place) {
            Some(target) => format!("{} {place}", services[target.service].name).into(),
            None => place.to_string().into(),
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

/// Whole seconds of a run.
fn seconds(time: Duration) -> u32 {
    time.as_secs() as u32
}
