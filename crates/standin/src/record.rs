//! Records what callers and backend servers observe during a run.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Counters and samples of a run. Clones share them.
#[derive(Debug, Clone)]
pub struct Record {
    /// Shared by all clones.
    shared: Arc<Shared>,
}

/// Shared state of a [`Record`].
#[derive(Debug)]
struct Shared {
    /// Start of the run, from which seconds are counted.
    start: Instant,
    /// Counters, indexed by [`Count`].
    counts: [AtomicU64; Count::ALL],
    /// Numbers of non-idempotent requests, one entry for each time that they ran. Sorted.
    runs: Mutex<Vec<u64>>,
    /// Numbers of attempts that reached a backend server. Sorted.
    reached: Mutex<Vec<u64>>,
    /// Numbers of attempts that were refused as not run.
    refused: Mutex<Vec<u64>>,
    /// Requests sent and answered, by the second in which they were sent.
    seconds: Mutex<Vec<(u64, u64)>>,
    /// Open flows by backend server, as seen by callers.
    flows: Mutex<Vec<i64>>,
    /// Longest time from the acceptance of a configuration until all processes applied it.
    max_in_force_time: Mutex<Option<Duration>>,
    /// The last revision seen in force, by process number.
    revisions: Mutex<Vec<u64>>,
}

/// A counter of a [`Record`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub enum Count {
    /// Flows opened.
    Opened,
    /// Flows cut although no injected failure explains it.
    Broken,
    /// Flows cut because their process crashed or their failure domain was taken out.
    LostToFailure,
    /// Requests sent, not counting retries.
    Sent,
    /// Requests that received a complete response.
    Answered,
    /// Attempts refused as not run.
    Refused,
    /// Requests abandoned with an unknown outcome.
    Unknown,
    /// Requests abandoned because no attempts were left.
    Abandoned,
    /// Requests that reached a backend server of another service.
    WrongService,
    /// Responses that were incomplete or belonged to another request.
    Mismatched,
    /// Requests that exceeded the cold slots of a backend server.
    ColdOverrun,
    /// New requests that reached a backend server after the grace period for leaving.
    RequestWhileLeaving,
    /// Failed attempts to open a flow.
    OpenFailed,
    /// Times that a process reverted to an earlier configuration.
    Reverted,
}

impl Count {
    /// Number of variants.
    const ALL: usize = Self::Reverted as usize + 1;
}

impl Record {
    /// Creates an empty record for `backends` backend servers.
    pub fn new(backends: usize) -> Self {
        let shared = Shared {
            start: Instant::now(),
            counts: Default::default(),
            runs: Mutex::default(),
            reached: Mutex::default(),
            refused: Mutex::default(),
            seconds: Mutex::default(),
            flows: Mutex::new(vec![0; backends]),
            max_in_force_time: Mutex::default(),
            revisions: Mutex::default(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.shared.start.elapsed()
    }

    /// Increments a counter.
    pub fn increment(&self, count: Count) {
        self.shared.counts[count as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The value of a counter.
    pub fn get(&self, count: Count) -> u64 {
        self.shared.counts[count as usize].load(Ordering::Relaxed)
    }

    /// Records that an attempt reached a backend server and ran.
    pub fn add_run(&self, attempt: u64, request: u64, idempotent: bool) {
        insert(&mut self.shared.reached.lock(), attempt);
        if !idempotent {
            insert(&mut self.shared.runs.lock(), request);
        }
    }

    /// Records that an attempt was refused as not run.
    pub fn add_refusal(&self, attempt: u64) {
        self.increment(Count::Refused);
        self.shared.refused.lock().push(attempt);
    }

    /// Records a sent request; returns the second to pass to [`Self::add_answered`].
    pub fn add_sent(&self) -> usize {
        self.increment(Count::Sent);
        let second = self.shared.start.elapsed().as_secs() as usize;
        self.update_second(second, |(sent, _)| *sent += 1);
        second
    }

    /// Records that a request sent in this second was answered.
    pub fn add_answered(&self, second: usize) {
        self.increment(Count::Answered);
        self.update_second(second, |(_, answered)| *answered += 1);
    }

    /// Adds to the number of open flows at a backend server.
    pub fn add_flows(&self, backend: usize, change: i64) {
        if let Some(open) = self.shared.flows.lock().get_mut(backend) {
            *open += change;
        }
    }

    /// Adds a backend server and returns its index.
    pub fn add_backend(&self) -> usize {
        let mut flows = self.shared.flows.lock();
        flows.push(0);
        flows.len() - 1
    }

    /// Open flows by backend server.
    pub fn flows(&self) -> Vec<i64> {
        self.shared.flows.lock().clone()
    }

    /// Requests sent and answered, by second.
    pub fn seconds(&self) -> Vec<(u64, u64)> {
        self.shared.seconds.lock().clone()
    }

    /// Records the time from the acceptance of a configuration until all processes applied it.
    pub fn add_in_force_time(&self, time: Duration) {
        let mut longest = self.shared.max_in_force_time.lock();
        *longest = Some(longest.map_or(time, |longest| longest.max(time)));
    }

    /// Longest time from the acceptance of a configuration until all processes applied it.
    pub fn max_in_force_time(&self) -> Option<Duration> {
        *self.shared.max_in_force_time.lock()
    }

    /// Records the revision in force at a process; counts a revert if it is lower than before.
    pub fn set_revision(&self, process: usize, revision: u64) {
        let mut revisions = self.shared.revisions.lock();
        if revisions.len() <= process {
            revisions.resize(process + 1, 0);
        }
        if revision < revisions[process] {
            self.increment(Count::Reverted);
        }
        revisions[process] = revision;
    }

    /// Number of non-idempotent requests that ran more than once.
    pub fn ran_twice(&self) -> u64 {
        let runs = self.shared.runs.lock();
        let mut twice: Vec<_> = runs
            .windows(2)
            .filter(|pair| pair[0] == pair[1])
            .map(|pair| pair[0])
            .collect();
        twice.dedup();
        twice.len() as u64
    }

    /// Number of attempts that were refused as not run although they had run.
    pub fn refused_but_ran(&self) -> u64 {
        let reached = self.shared.reached.lock();
        let refused = self.shared.refused.lock();
        refused.iter().filter(|attempt| reached.binary_search(attempt).is_ok()).count()
            as u64
    }

    /// Updates the counters of a second.
    fn update_second(&self, second: usize, change: impl FnOnce(&mut (u64, u64))) {
        let mut seconds = self.shared.seconds.lock();
        if seconds.len() <= second {
            seconds.resize(second + 1, (0, 0));
        }
        change(&mut seconds[second]);
    }
}

/// Inserts a number into a sorted vector.
fn insert(numbers: &mut Vec<u64>, number: u64) {
    let index = numbers.partition_point(|other| *other <= number);
    numbers.insert(index, number);
}
