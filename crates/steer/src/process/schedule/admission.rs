//! Decides which jobs a backend server receives and in which order the others wait.
//!
//! A job is an opening, or a request on an open flow: both take a slot, so both wait in the
//! same queue. Answers the load in the seconds after an outage, when the openings of a
//! second or more arrive at once, and a crowd that exceeds what the backend servers can
//! serve. Served in order of arrival, each fresh job would wait behind those that are
//! already late, and all of them would be late. Therefore:
//!
//! - A backend server receives as many jobs as it has slots, and a few more that cover the
//!   time until the requests of openings arrive. It never has to reject one.
//! - Jobs that can still be answered within the latency objective of their route go first,
//!   by priority. Among those of the same priority, callers that have used more than their
//!   share go last ([`fairness`](super::fairness)), and otherwise the latest goes first:
//!   while more arrive than can be served, the earliest would only just be in time or just
//!   late, and every other one after it.
//! - Jobs that are late are served with what is left over, the latest first as well: the
//!   older one is, the less likely its caller still waits for it.
//! - An opening that can't be answered in time here is offered to another agent. One that
//!   can't be delivered before its caller gives up is refused at once.
//! - Each sixteenth delivery goes to the least urgent priority that waits.

use lentilreach::process::clock::Millis;

use super::fairness::Shares;
use super::queue::{Job, Kind, Queue};
use crate::connection::flow;

/// Time after the first copy of an opening segment until which it may be delivered, in
/// milliseconds. Callers give up after 1,400 ms, which includes the travel time of the
/// segment and of its answer.
pub const MAX_OPENING_AGE_MS: u64 = 1_250;

/// Duration of a request that is assumed until one was observed, in milliseconds.
const INITIAL_SERVICE_MS: f64 = 50.0;

/// Multiple of the mean duration that is allowed for a request to be answered in time, since
/// durations vary.
const DURATION_MARGIN: f64 = 1.5;

/// Weight of one observed duration in the moving average.
const SERVICE_WEIGHT: f64 = 0.1;

/// What a backend server has been given and what it can run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Number of requests that are in progress or expected.
    pub in_flight: u32,
}

impl Capacity {
    /// Number of requests in flight up to which it is given jobs. Half of its slots
    /// are added for openings whose request is still on its way.
    fn limit(&self) -> u32 {
        self.slots.saturating_add((self.slots / 2).max(1))
    }

    /// Whether it can be given another job. Half of the additional ones are reserved for
    /// jobs that can still be answered in time.
    fn has_room(&self, is_timely: bool) -> bool {
        let late_limit = self.slots.saturating_add(self.slots / 4).max(1);
        self.in_flight < if is_timely { self.limit() } else { late_limit }
    }
}

/// What to do with a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Deliver it to the backend server.
    Deliver,
    /// Let it wait.
    Wait,
    /// Offer it to another agent, where it may be answered in time.
    Offer,
    /// Refuse it, since it can't be delivered before its caller gives up. A request on an
    /// open flow can't be refused.
    Refuse,
}

/// Minimum time after which a request is overdue, in milliseconds.
const MIN_OVERDUE_MS: f64 = 500.0;

/// Multiple of the mean duration after which a request is overdue.
const OVERDUE_FACTOR: f64 = 8.0;

/// Number of deliveries after which the least urgent waiting job gets one, although others
/// precede it. So the least urgent priority keeps a sixteenth of the backend server.
const MAX_PASSED_OVER: u32 = 15;

/// Jobs that wait for a backend server, each with a value `T`.
#[derive(Debug, Clone)]
pub struct Admission<T> {
    /// The waiting jobs.
    queue: Queue<T>,
    /// What their callers have used.
    shares: Shares,
    /// Number of deliveries since the least urgent priority that waits got one.
    passed_over: u32,
    /// Moving average of the time that a request takes in a slot, in milliseconds.
    service_ms: f64,
}

impl<T> Default for Admission<T> {
    fn default() -> Self {
        Self {
            queue: Queue::default(),
            shares: Shares::default(),
            passed_over: 0,
            service_ms: INITIAL_SERVICE_MS,
        }
    }
}

impl<T> Admission<T> {
    /// Records the time that a request took in a slot.
    pub fn observe(&mut self, service_ms: u64) {
        self.service_ms += (service_ms as f64 - self.service_ms) * SERVICE_WEIGHT;
    }

    /// Time after which a request without an answer is overdue, in milliseconds.
    pub fn overdue_ms(&self) -> u64 {
        (self.service_ms * OVERDUE_FACTOR).max(MIN_OVERDUE_MS) as u64
    }

    /// Mean time that a request takes in a slot, in milliseconds.
    pub fn service_ms(&self) -> f64 {
        self.service_ms
    }

    /// The waiting jobs.
    pub fn queue(&self) -> &Queue<T> {
        &self.queue
    }

    /// The value of the waiting job of a flow.
    pub fn get_mut(&mut self, flow: &flow::Key) -> Option<&mut T> {
        self.queue.get_mut(flow)
    }

    /// Decides on a job. `can_offer` tells whether another agent may be offered it.
    pub fn decide(
        &self,
        now: Millis,
        job: &Job,
        capacity: Capacity,
        can_offer: bool,
    ) -> Verdict {
        let ahead = self.ahead(now, job);
        if ahead == 0 && capacity.has_room(self.is_timely(now, job)) {
            return Verdict::Deliver;
        }
        let start = now.after(self.wait_ms(ahead, capacity));
        if self.is_timely(start, job) {
            return Verdict::Wait;
        }
        if can_offer && self.is_timely(now, job) {
            return Verdict::Offer;
        }
        if start <= job.give_up_at { Verdict::Wait } else { Verdict::Refuse }
    }

    /// Charges the caller of a job that is delivered without a wait, or refused. So a
    /// caller that tries again at once waits behind others.
    pub fn charge(&mut self, now: Millis, job: &Job) {
        self.shares.charge(now, *job.flow.caller.ip(), self.service_ms);
    }

    /// Records that a job is delivered.
    pub fn record_delivery(&mut self) {
        self.shares.serve(self.service_ms);
    }

    /// Lets a job wait.
    pub fn insert(&mut self, now: Millis, job: Job, value: T) {
        let level = self.shares.charge(now, *job.flow.caller.ip(), self.service_ms);
        self.queue.insert(job, level, value);
    }

    /// Removes and returns the next job to deliver, if there is room for one. Leaves out
    /// openings if `kind` is [`Kind::Request`].
    pub fn next(
        &mut self,
        now: Millis,
        capacity: Capacity,
        kind: Option<Kind>,
    ) -> Option<(Job, T)> {
        let timely = self.queue.first_due(self.earliest_due(now), kind).copied();
        let job = timely.or_else(|| self.queue.latest(kind).copied())?;
        if !capacity.has_room(timely.is_some()) {
            return None;
        }
        let least = self.queue.least_urgent().copied().unwrap_or(job);
        let is_passed_over = least.priority > job.priority;
        let is_its_turn = is_passed_over
            && self.passed_over >= MAX_PASSED_OVER
            && kind.is_none_or(|kind| least.kind == kind);
        let job = if is_its_turn { least } else { job };
        self.passed_over =
            if is_passed_over && !is_its_turn { self.passed_over + 1 } else { 0 };
        self.queue.remove(&job.flow)
    }

    /// Removes and returns a job that may not be delivered any more, because its caller
    /// gives up.
    pub fn next_expired(&mut self, now: Millis) -> Option<(Job, T)> {
        self.queue.next_expired(now)
    }

    /// Removes and returns the job of a flow.
    pub fn remove(&mut self, flow: &flow::Key) -> Option<(Job, T)> {
        self.queue.remove(flow)
    }

    /// Removes and returns a job of a kind, whatever the capacity.
    pub fn pop(&mut self, kind: Kind) -> Option<(Job, T)> {
        self.queue.pop(kind)
    }

    /// When the first waiting job expires.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.queue.next_expiry()
    }

    /// Number of waiting jobs that are served before another one, or in its place: later
    /// ones of the same priority will overtake it as it would overtake these.
    fn ahead(&self, now: Millis, job: &Job) -> usize {
        if self.is_timely(now, job) {
            self.queue.count_due(job.priority, self.earliest_due(now))
        } else {
            self.queue.len()
        }
    }

    /// Whether a job that is delivered at `start` can be answered in time.
    fn is_timely(&self, start: Millis, job: &Job) -> bool {
        self.earliest_due(start) <= job.due_at
    }

    /// The earliest time at which the answer to a job may be due that is delivered at
    /// `start` and answered in time.
    fn earliest_due(&self, start: Millis) -> Millis {
        start.after((self.service_ms * DURATION_MARGIN) as u64)
    }

    /// Estimated time until a job is delivered that `ahead` others precede, in
    /// milliseconds.
    fn wait_ms(&self, ahead: usize, capacity: Capacity) -> u64 {
        let taken = u64::from(capacity.in_flight) + ahead as u64 + 1;
        let excess = taken.saturating_sub(u64::from(capacity.limit()));
        (excess as f64 * self.service_ms / f64::from(capacity.slots.max(1))) as u64
    }
}
