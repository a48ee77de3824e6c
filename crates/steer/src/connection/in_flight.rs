//! The work that a backend server has been given and has not finished.

use lentilreach::process::clock::Millis;

use super::flow::Key;

/// Bounds of the time within which the first request of a flow is expected after its
/// opening segment was delivered, in milliseconds. A flow without one in this time was
/// opened for later, its caller chose another backend server, or has given up.
const FIRST_REQUEST_MS: (f64, f64) = (20.0, 300.0);

/// Multiple of the mean time to the first request that is waited for.
const FIRST_REQUEST_FACTOR: f64 = 4.0;

/// Weight of one observed time in the moving average.
const WEIGHT: f64 = 0.1;

/// Time after which an unanswered request no longer counts as running, in milliseconds.
/// Callers give up earlier.
const REQUEST_TIMEOUT_MS: u64 = 10_000;

/// Openings and requests that a backend server has not answered yet.
///
/// The number of entries is bounded by the flows with a request in progress, not by the
/// flows that are open.
#[derive(Debug, Clone)]
pub struct InFlight {
    /// Sorted by flow, without duplicates.
    entries: Vec<Entry>,
    /// Moving average of the time from an opening to its first request, in milliseconds.
    first_request_ms: f64,
}

impl Default for InFlight {
    fn default() -> Self {
        let first_request_ms = FIRST_REQUEST_MS.1 / FIRST_REQUEST_FACTOR;
        Self { entries: Vec::new(), first_request_ms }
    }
}

/// An opening or a request in progress.
#[derive(Debug, Clone, Copy)]
struct Entry {
    /// The flow that it belongs to.
    flow: Key,
    /// When it was delivered.
    since: Millis,
    /// Whether it is a request; otherwise the first request is still expected.
    is_request: bool,
    /// Whether it was found to be overdue.
    is_overdue: bool,
    /// When it got a slot; `None` for an opening and for a request in the backend server's
    /// own queue.
    started: Option<Millis>,
}

/// The duration of a request that was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// Time from the delivery of the request to its answer, in milliseconds.
    pub ms: u64,
    /// Time that it took in a slot, in milliseconds; `None` if it got none as far as is
    /// known.
    pub slot_ms: Option<u64>,
    /// Whether it had to wait for that slot in the backend server's queue.
    pub is_queued: bool,
}

impl InFlight {
    /// Records that an opening segment was delivered, so that a request is expected.
    pub fn open(&mut self, now: Millis, flow: Key) {
        let entry = Entry {
            flow,
            since: now,
            is_request: false,
            is_overdue: false,
            started: None,
        };
        match self.find(&flow) {
            Ok(_) => {}
            Err(index) => self.entries.insert(index, entry),
        }
    }

    /// Records that a request was delivered to a backend server with a number of slots.
    /// Further segments of the same request don't change its start.
    pub fn request(&mut self, now: Millis, flow: Key, slots: u32) {
        let started = (self.running(now) < slots).then_some(now);
        let entry =
            Entry { flow, since: now, is_request: true, is_overdue: false, started };
        match self.find(&flow) {
            Ok(index) if self.entries[index].is_request => {}
            Ok(index) => {
                let took_ms = now.since(self.entries[index].since) as f64;
                self.first_request_ms += (took_ms - self.first_request_ms) * WEIGHT;
                self.entries[index] = entry;
            }
            Err(index) => self.entries.insert(index, entry),
        }
    }

    /// Records that the backend server has begun to answer a request. The slot goes to the
    /// request that has waited longest in the backend server's queue.
    pub fn answer(&mut self, now: Millis, flow: &Key) -> Option<Answer> {
        let index = self.find(flow).ok()?;
        if !self.entries[index].is_request {
            return None;
        }
        let Entry { since, started, .. } = self.entries.remove(index);
        if started.is_some() {
            self.start_next(now);
        }
        let slot_ms = started.map(|started| now.since(started));
        let is_queued = started != Some(since);
        Some(Answer { ms: now.since(since), slot_ms, is_queued })
    }

    /// Whether a request of a flow is in progress or expected.
    pub fn contains(&self, flow: &Key) -> bool {
        self.find(flow).is_ok()
    }

    /// Whether a request of a flow is in progress.
    pub fn has_request(&self, flow: &Key) -> bool {
        self.find(flow).is_ok_and(|index| self.entries[index].is_request)
    }

    /// The ages of the requests that have a slot, in milliseconds, and the number of those
    /// that wait for one or are expected.
    pub fn ages(&self, now: Millis) -> (Vec<u64>, usize) {
        let counted = || self.entries.iter().filter(|entry| !entry.is_overdue);
        let ages: Vec<_> =
            counted().filter_map(|entry| Some(now.since(entry.started?))).collect();
        let others = counted().count() - ages.len();
        (ages, others)
    }

    /// Records that a flow has ended.
    pub fn remove(&mut self, flow: &Key) {
        if let Ok(index) = self.find(flow) {
            self.entries.remove(index);
        }
    }

    /// Number of requests that are in progress or expected. Those that are overdue don't
    /// count: they will hardly be answered, whether they take a slot or not.
    pub fn count(&mut self, now: Millis) -> u32 {
        self.expire(now);
        self.entries.iter().filter(|entry| !entry.is_overdue).count() as u32
    }

    /// Marks requests that have been in progress for more than `limit_ms` milliseconds as
    /// overdue. Returns how many there are that were not marked before.
    pub fn mark_overdue(&mut self, now: Millis, limit_ms: u64) -> u32 {
        let mut marked = 0;
        for entry in self.entries.iter_mut().filter(|entry| entry.is_request) {
            if !entry.is_overdue && now.since(entry.since) > limit_ms {
                entry.is_overdue = true;
                marked += 1;
            }
        }
        marked
    }

    /// Number of requests that are in progress.
    pub fn requests(&mut self, now: Millis) -> u32 {
        self.expire(now);
        self.entries.iter().filter(|entry| entry.is_request).count() as u32
    }

    /// Number of requests that have a slot.
    fn running(&mut self, now: Millis) -> u32 {
        self.expire(now);
        let running = self.entries.iter().filter(|entry| entry.started.is_some());
        running.count() as u32
    }

    /// Gives a slot to the request that has waited longest for one.
    fn start_next(&mut self, now: Millis) {
        let waiting = self.entries.iter_mut().filter(|entry| {
            entry.is_request && entry.started.is_none() && !entry.is_overdue
        });
        if let Some(next) = waiting.min_by_key(|entry| entry.since) {
            next.started = Some(now);
        }
    }

    /// Removes entries that no answer is expected for any more.
    fn expire(&mut self, now: Millis) {
        let expected_ms = self.first_request_ms * FIRST_REQUEST_FACTOR;
        let expected_ms =
            expected_ms.clamp(FIRST_REQUEST_MS.0, FIRST_REQUEST_MS.1) as u64;
        self.entries.retain(|entry| {
            let limit_ms =
                if entry.is_request { REQUEST_TIMEOUT_MS } else { expected_ms };
            now.since(entry.since) < limit_ms
        });
    }

    /// The index of a flow, or the index at which to insert it.
    fn find(&self, flow: &Key) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.flow.cmp(flow))
    }
}
