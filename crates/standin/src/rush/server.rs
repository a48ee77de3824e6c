//! A backend server with slots and a bounded queue.

use std::collections::VecDeque;

use fastrand::Rng;

use super::{Load, TAIL_FACTOR, Tick};

/// Requests that a backend server queues for each of its slots before it rejects more.
const QUEUE_PER_SLOT: usize = 4;

/// Factor by which requests take longer on a cold backend server.
const COLD_FACTOR: f64 = 1.6;

/// A backend server.
#[derive(Debug)]
pub(super) struct Server {
    /// Number of requests that it runs concurrently.
    slots: usize,
    /// Until when it is cold.
    cold_until: Tick,
    /// Whether it rejects every request.
    is_failing: bool,
    /// Factor by which requests take longer than usual.
    slowness: f64,
    /// When the requests in slots end.
    running: Vec<Tick>,
    /// Requests that wait for a slot, oldest first, with their work.
    queue: VecDeque<(usize, f64)>,
    /// Number of requests that it rejected because its queue was full.
    pub rejected: u32,
}

/// What a backend server does with a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Outcome {
    /// It ends at this time.
    Runs(Tick),
    /// It waits for a slot.
    Queued,
    /// It is rejected and has not run.
    Rejected,
}

impl Server {
    /// Creates the backend server with a number, which is cold until a time.
    pub fn new(load: &Load, cold_until: Tick, number: u8) -> Self {
        // Those with the highest numbers are slow.
        let is_slow = number >= load.servers - load.slow;
        Self {
            slots: load.slots as usize,
            cold_until,
            is_failing: number < load.failing,
            slowness: if is_slow { load.slow_factor } else { 1.0 },
            running: Vec::new(),
            queue: VecDeque::new(),
            rejected: 0,
        }
    }

    /// Processes a request that takes `work_ms` on a warm backend server.
    pub fn request(&mut self, now: Tick, request: usize, work_ms: f64) -> Outcome {
        if self.is_failing {
            return Outcome::Rejected;
        }
        if self.running.len() < self.slots {
            return Outcome::Runs(self.start(now, work_ms));
        }
        if self.queue.len() >= QUEUE_PER_SLOT * self.slots {
            self.rejected += 1;
            return Outcome::Rejected;
        }
        self.queue.push_back((request, work_ms));
        Outcome::Queued
    }

    /// Ends a request. Returns the next one with the time at which it ends.
    pub fn end(&mut self, now: Tick) -> Option<(usize, Tick)> {
        let ended = self.running.iter().position(|end| *end == now)?;
        self.running.swap_remove(ended);
        let (request, work_ms) = self.queue.pop_front()?;
        Some((request, self.start(now, work_ms)))
    }

    /// Starts a request. Returns when it ends.
    fn start(&mut self, now: Tick, work_ms: f64) -> Tick {
        let end = now + self.takes_ms(now, work_ms);
        self.running.push(end);
        end
    }

    /// The time that a request takes in a slot.
    fn takes_ms(&self, now: Tick, work_ms: f64) -> Tick {
        let factor = if now < self.cold_until { COLD_FACTOR } else { 1.0 };
        (work_ms * factor * self.slowness).ceil() as Tick
    }

    /// When the last of some requests would end that all arrive now, given their work.
    pub fn end_of(&self, now: Tick, work_ms: impl Iterator<Item = f64>) -> Tick {
        let mut slots: Vec<_> = self.running.iter().map(|end| (*end).max(now)).collect();
        slots.resize(self.slots.max(slots.len()), now);
        let mut last = now;
        for work_ms in work_ms {
            if let Some(first) = slots.iter_mut().min() {
                *first += self.takes_ms(now, work_ms);
                last = *first;
            }
        }
        last
    }
}

/// Draws the work of a request: half to one and a half times the mean, and many times as
/// much for a few.
pub(super) fn work_ms(rng: &mut Rng, load: &Load) -> f64 {
    let work_ms = load.work_ms * (0.5 + rng.f64());
    let is_tail = load.tail_percent > 0 && rng.u32(..100) < load.tail_percent;
    if is_tail { work_ms * TAIL_FACTOR } else { work_ms }
}
