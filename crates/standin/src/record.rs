//! What callers and backend servers saw.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Counts kept at the ends. Clones share them.
#[derive(Debug, Clone)]
pub struct Record {
    /// Shared by all clones.
    shared: Arc<Shared>,
}

/// State of a [`Record`].
#[derive(Debug)]
struct Shared {
    /// Start of the run; seconds count from it.
    start: Instant,
    /// By [`Count`].
    counts: [AtomicU64; Count::ALL],
    /// Sorted; numbers of non-idempotent requests, once for each time that they ran.
    runs: Mutex<Vec<u64>>,
    /// Sorted; attempts that reached a backend server.
    reached: Mutex<Vec<u64>>,
    /// Attempts that callers were told had not run.
    refused: Mutex<Vec<u64>>,
    /// Requests by the second in which they were sent: sent, answered.
    seconds: Mutex<Vec<(u64, u64)>>,
    /// Open flows by backend server, as callers saw them.
    flows: Mutex<Vec<i64>>,
    /// Longest time from acceptance of a configuration to the last process.
    in_force: Mutex<Option<Duration>>,
    /// By process number: the highest revision seen in force.
    revisions: Mutex<Vec<u64>>,
}

/// What is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub enum Count {
    /// Flows opened.
    Opened,
    /// Flows cut without a reason.
    Broken,
    /// Flows cut since their process or failure domain was gone.
    Lost,
    /// Requests sent, repeats not counted.
    Sent,
    /// Requests answered whole.
    Answered,
    /// Attempts refused as not run.
    Refused,
    /// Requests given up without knowing whether they ran.
    Unknown,
    /// Requests given up though they were known not to have run.
    GivenUp,
    /// Requests that reached a backend server of another service.
    WrongService,
    /// Answers that were not whole or not the caller's own.
    Mismatched,
    /// Requests beyond what a cold backend server bears.
    ColdOverrun,
    /// Requests that reached a leaving backend server too late.
    LeavingWork,
    /// Attempts to open a flow that failed.
    OpenFailed,
    /// Times that a process went back to an earlier configuration.
    Reverted,
}

impl Count {
    /// Number of variants.
    const ALL: usize = Self::Reverted as usize + 1;
}

impl Record {
    /// An empty record for `backends` backend servers.
    pub fn new(backends: usize) -> Self {
        let shared = Shared {
            start: Instant::now(),
            counts: Default::default(),
            runs: Mutex::default(),
            reached: Mutex::default(),
            refused: Mutex::default(),
            seconds: Mutex::default(),
            flows: Mutex::new(vec![0; backends]),
            in_force: Mutex::default(),
            revisions: Mutex::default(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.shared.start.elapsed()
    }

    /// Counts one.
    pub fn add(&self, count: Count) {
        self.shared.counts[count as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Reads a count.
    pub fn get(&self, count: Count) -> u64 {
        self.shared.counts[count as usize].load(Ordering::Relaxed)
    }

    /// Notes that an attempt of a request reached a backend server and ran.
    pub fn ran(&self, attempt: u64, request: u64, idempotent: bool) {
        insert(&mut self.shared.reached.lock(), attempt);
        if !idempotent {
            insert(&mut self.shared.runs.lock(), request);
        }
    }

    /// Notes that a caller was told that an attempt had not run.
    pub fn refused(&self, attempt: u64) {
        self.add(Count::Refused);
        self.shared.refused.lock().push(attempt);
    }

    /// Notes a request sent; returns the second, for [`Self::answered`].
    pub fn sent(&self) -> usize {
        self.add(Count::Sent);
        let second = self.shared.start.elapsed().as_secs() as usize;
        self.second(second, |(sent, _)| *sent += 1);
        second
    }

    /// Notes that a request sent in this second has been answered.
    pub fn answered(&self, second: usize) {
        self.add(Count::Answered);
        self.second(second, |(_, answered)| *answered += 1);
    }

    /// Notes that a caller's flow is now open at a backend server, or no longer.
    pub fn flow(&self, backend: usize, change: i64) {
        if let Some(open) = self.shared.flows.lock().get_mut(backend) {
            *open += change;
        }
    }

    /// Makes room for one more backend server; returns its number.
    pub fn grow(&self) -> usize {
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

    /// Notes that a configuration is in force everywhere, so long after its acceptance.
    pub fn in_force(&self, time: Duration) {
        let mut longest = self.shared.in_force.lock();
        *longest = Some(longest.map_or(time, |longest| longest.max(time)));
    }

    /// Longest time from acceptance of a configuration to the last process.
    pub fn longest_in_force(&self) -> Option<Duration> {
        *self.shared.in_force.lock()
    }

    /// Notes the revision in force at a process, and counts if it is lower than before.
    pub fn revision(&self, process: usize, revision: u64) {
        let mut revisions = self.shared.revisions.lock();
        if revisions.len() <= process {
            revisions.resize(process + 1, 0);
        }
        if revision < revisions[process] {
            self.add(Count::Reverted);
        }
        revisions[process] = revision;
    }

    /// Non-idempotent requests that ran more than once.
    pub fn run_twice(&self) -> u64 {
        let runs = self.shared.runs.lock();
        let mut twice: Vec<_> = runs
            .windows(2)
            .filter(|pair| pair[0] == pair[1])
            .map(|pair| pair[0])
            .collect();
        twice.dedup();
        twice.len() as u64
    }

    /// Attempts that callers were told had not run, though they had.
    pub fn refused_but_run(&self) -> u64 {
        let reached = self.shared.reached.lock();
        let refused = self.shared.refused.lock();
        refused.iter().filter(|attempt| reached.binary_search(attempt).is_ok()).count()
            as u64
    }

    /// Changes the counts of a second.
    fn second(&self, second: usize, change: impl FnOnce(&mut (u64, u64))) {
        let mut seconds = self.shared.seconds.lock();
        if seconds.len() <= second {
            seconds.resize(second + 1, (0, 0));
        }
        change(&mut seconds[second]);
    }
}

/// Inserts a number into a sorted vector.
fn insert(numbers: &mut Vec<u64>, number: u64) {
    let at = numbers.partition_point(|other| *other <= number);
    numbers.insert(at, number);
}
