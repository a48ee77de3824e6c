//! Decides which openings a backend server receives and in which order the others wait.
//!
//! Answers the load in the seconds after an outage, when the openings of a second or more
//! arrive at once, and a crowd that exceeds what the backend servers can serve. Served in
//! order of arrival, each fresh opening would wait behind openings that are already late,
//! and all of them would be late. Therefore:
//!
//! - A backend server receives as many openings as it has slots, and a few more that
//!   cover the time until their requests arrive. It never has to reject one.
//! - Openings that can still be answered within the latency objective of their route go
//!   first, by priority. Among those of the same priority the latest goes first: while
//!   more arrive than can be served, the earliest would only just be in time or just late,
//!   and every other one after it.
//! - Openings that are late are served with what is left over, the latest first as well:
//!   the older one is, the less likely its caller still waits for it.
//! - An opening that can't be answered in time here is offered to another agent. One that
//!   can't be delivered before its caller gives up is refused at once.

use std::cmp::Reverse;

use lentilreach::process::clock::Millis;

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

/// An opening that a backend server could be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opening {
    /// The flow to open.
    pub flow: flow::Key,
    /// Priority of its route; 0 is the highest.
    pub priority: u8,
    /// When the caller sent the first copy of the segment, at the latest.
    pub sent_at: Millis,
    /// When the answer to its request is due according to the route's objective.
    pub due_at: Millis,
}

impl Opening {
    /// Time until which it may be delivered.
    pub fn give_up_at(&self) -> Millis {
        self.sent_at.after(MAX_OPENING_AGE_MS)
    }

    /// The order in which waiting openings are served while they are in time.
    fn rank(&self) -> (u8, Reverse<Millis>, flow::Key) {
        (self.priority, Reverse(self.due_at), self.flow)
    }
}

/// What a backend server has been given and what it can run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Number of requests that are in progress or expected.
    pub in_flight: u32,
}

impl Capacity {
    /// Number of requests in flight up to which it is given openings. Half of its slots
    /// are added for openings whose request is still on its way.
    fn limit(&self) -> u32 {
        self.slots.saturating_add((self.slots / 2).max(1))
    }

    /// Whether it can be given another opening. Half of the additional ones are reserved
    /// for openings that can still be answered in time.
    fn has_room(&self, is_timely: bool) -> bool {
        let late_limit = self.slots.saturating_add(self.slots / 4).max(1);
        self.in_flight < if is_timely { self.limit() } else { late_limit }
    }
}

/// What to do with an opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Deliver it to the backend server.
    Deliver,
    /// Let it wait.
    Wait,
    /// Offer it to another agent, where it may be answered in time.
    Offer,
    /// Refuse it, since it can't be delivered before its caller gives up.
    Refuse,
}

/// Minimum time after which a request is overdue, in milliseconds.
const MIN_OVERDUE_MS: f64 = 500.0;

/// Multiple of the mean duration after which a request is overdue.
const OVERDUE_FACTOR: f64 = 8.0;

/// Openings that wait for a backend server, each with a value `T`.
#[derive(Debug, Clone)]
pub struct Admission<T> {
    /// Sorted by [`Opening::rank`], without duplicates.
    waiting: Vec<(Opening, T)>,
    /// Moving average of the time that a request takes in a slot, in milliseconds.
    service_ms: f64,
}

impl<T> Default for Admission<T> {
    fn default() -> Self {
        Self { waiting: Vec::new(), service_ms: INITIAL_SERVICE_MS }
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

    /// Number of waiting openings.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no opening waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Decides on an opening. `can_offer` tells whether another agent may be offered it.
    pub fn decide(
        &self,
        now: Millis,
        opening: &Opening,
        capacity: Capacity,
        can_offer: bool,
    ) -> Verdict {
        let ahead = self.ahead(now, opening);
        if ahead == 0 && capacity.has_room(self.is_timely(now, opening)) {
            return Verdict::Deliver;
        }
        let start = now.after(self.wait_ms(ahead, capacity));
        if self.is_timely(start, opening) {
            return Verdict::Wait;
        }
        if can_offer && self.is_timely(now, opening) {
            return Verdict::Offer;
        }
        if start <= opening.give_up_at() { Verdict::Wait } else { Verdict::Refuse }
    }

    /// Lets an opening wait.
    pub fn insert(&mut self, opening: Opening, value: T) {
        let rank = opening.rank();
        if let Err(index) = self.waiting.binary_search_by_key(&rank, |(o, _)| o.rank()) {
            self.waiting.insert(index, (opening, value));
        }
    }

    /// Removes and returns the next opening to deliver, if there is room for one.
    pub fn next(&mut self, now: Millis, capacity: Capacity) -> Option<(Opening, T)> {
        let timely =
            self.waiting.iter().position(|(opening, _)| self.is_timely(now, opening));
        let latest = (0..self.waiting.len()).max_by_key(|i| self.waiting[*i].0.sent_at);
        let index = timely.or(latest)?;
        capacity.has_room(timely.is_some()).then(|| self.waiting.remove(index))
    }

    /// Removes and returns an opening that can't be delivered any more before its caller
    /// gives up.
    pub fn next_expired(&mut self, now: Millis) -> Option<(Opening, T)> {
        let index =
            self.waiting.iter().position(|(opening, _)| now > opening.give_up_at())?;
        Some(self.waiting.remove(index))
    }

    /// Removes the opening of a flow.
    pub fn remove(&mut self, flow: &flow::Key) {
        self.waiting.retain(|(opening, _)| opening.flow != *flow);
    }

    /// Removes and returns an opening, whatever the capacity.
    pub fn pop(&mut self) -> Option<(Opening, T)> {
        self.waiting.pop()
    }

    /// When the first waiting opening expires.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.waiting.iter().map(|(opening, _)| opening.give_up_at().after(1)).min()
    }

    /// Number of waiting openings that are served before another one, or in its place:
    /// later ones of the same priority will overtake it as it would overtake these.
    fn ahead(&self, now: Millis, opening: &Opening) -> usize {
        let is_timely = self.is_timely(now, opening);
        let precedes = |other: &Opening| match (self.is_timely(now, other), is_timely) {
            (true, true) => other.priority <= opening.priority,
            (true, false) => true,
            (false, true) => false,
            (false, false) => true,
        };
        self.waiting.iter().filter(|(other, _)| precedes(other)).count()
    }

    /// Whether an opening that is delivered at `start` can be answered in time.
    fn is_timely(&self, start: Millis, opening: &Opening) -> bool {
        start.after((self.service_ms * DURATION_MARGIN) as u64) <= opening.due_at
    }

    /// Estimated time until an opening is delivered that `ahead` others precede, in
    /// milliseconds.
    fn wait_ms(&self, ahead: usize, capacity: Capacity) -> u64 {
        let taken = u64::from(capacity.in_flight) + ahead as u64 + 1;
        let excess = taken.saturating_sub(u64::from(capacity.limit()));
        (excess as f64 * self.service_ms / f64::from(capacity.slots.max(1))) as u64
    }
}
