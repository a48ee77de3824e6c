//! The progress of requests through the slots and the queue of one backend server.

use std::collections::VecDeque;

use crate::process::clock::Millis;
use crate::process::warmth::{Ramp, Warmth};

/// Shortest time that a refused caller is asked to wait, in milliseconds.
const MIN_RETRY_MS: u64 = 100;

/// Longest time that a refused caller is asked to wait, in milliseconds.
const MAX_RETRY_MS: u64 = 10_000;

/// The limits of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Requests at once when warm.
    pub slots: u16,
    /// Requests at once in a cold start.
    pub cold_slots: u16,
    /// Duration of a cold start in milliseconds.
    pub cold_ms: u64,
    /// Requests that may wait for a slot when warm.
    pub queue: u16,
}

impl From<Limits> for Ramp {
    fn from(limits: Limits) -> Self {
        Self {
            slots: limits.slots,
            cold_slots: limits.cold_slots,
            cold_ms: limits.cold_ms,
        }
    }
}

/// Identifies a request at its gate. The front end gives each request another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What becomes of a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// It runs now.
    Run,
    /// It waits for an [`Action`].
    Wait,
    /// It does not run.
    Refuse {
        /// When the caller may try again, in milliseconds.
        retry_after_ms: u64,
        /// The reason.
        why: Why,
    },
}

/// What becomes of a request that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// It runs now.
    Run(Ticket),
    /// It does not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// When the caller may try again, in milliseconds.
        retry_after_ms: u64,
        /// The reason.
        why: Why,
    },
}

/// Why a request does not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// The backend server is draining.
    Draining,
    /// The queue is full.
    Full,
    /// The queue holds as many as may wait during a cold start.
    Cold,
    /// The deadline passed before there was a slot.
    Late,
}

impl Why {
    /// The label of the reason in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Full => "full",
            Self::Cold => "cold",
            Self::Late => "late",
        }
    }
}

/// How a running request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With a complete answer.
    Answered {
        /// From the first byte sent to the answer, in milliseconds.
        took_ms: u64,
    },
    /// With an error or a closed connection after a byte was sent.
    Failed,
    /// The backend server refused the connection or shed the request.
    Refused,
}

/// Admits requests to one backend server.
///
/// At most [`Gate::limit`] requests run at once. Without fresh evidence of warmth, no request
/// starts while [`Limits::cold_slots`] or more run; see [`crate::process::warmth`].
#[derive(Debug)]
pub struct Gate {
    /// The limits.
    limits: Limits,
    /// What is known of the backend server's warmth.
    warmth: Warmth,
    /// Whether the backend server is draining.
    draining: bool,
    /// Sorted by ticket, without duplicates.
    running: Vec<Running>,
    /// Oldest first; no ticket is also in `running`.
    waiting: VecDeque<Waiting>,
}

impl Gate {
    /// A gate in front of a backend server, which is taken as cold.
    pub fn new(limits: Limits, now: Millis) -> Self {
        Self {
            limits,
            warmth: Warmth::new(limits.into(), now),
            draining: false,
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Replaces the limits. Running requests stay; the next event applies the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.warmth.set_ramp(limits.into());
    }

    /// Sets whether the backend server is draining.
    ///
    /// Then arriving requests are refused, and the next event refuses the waiting ones.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Decides on an arriving request that must have a slot before `deadline`.
    pub fn arrive(&mut self, now: Millis, ticket: Ticket, deadline: Millis) -> Arrival {
        let why = if self.draining {
            Why::Draining
        } else if deadline <= now {
            Why::Late
        } else if self.waiting.is_empty() && self.busy() < self.warmth.floor() {
            self.start(now, ticket);
            return Arrival::Run;
        } else if self.waiting.len() < self.room(now) {
            self.waiting.push_back(Waiting { ticket, deadline });
            return Arrival::Wait;
        } else {
            self.crowded(now)
        };
        Arrival::Refuse { retry_after_ms: self.retry_after_ms(now, why), why }
    }

    /// Takes note of the end of a running request.
    pub fn finish(&mut self, now: Millis, ticket: Ticket, end: End) -> Vec<Action> {
        let busy = self.busy();
        let Some(running) = self.stop(ticket) else { return self.pump(now, false) };
        let proven = match end {
            End::Answered { took_ms } => {
                self.warmth.answered(now, running.started, took_ms, busy)
            }
            End::Failed | End::Refused => {
                self.warmth.turn(now);
                false
            }
        };
        self.pump(now, proven)
    }

    /// Forgets a request whose caller has gone.
    ///
    /// For a running one, call it once the connection to the backend server is closed, so that
    /// the slot is free there too.
    pub fn cancel(&mut self, now: Millis, ticket: Ticket) -> Vec<Action> {
        self.stop(ticket);
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        self.pump(now, false)
    }

    /// Applies the passage of time. To be called about every 10 ms while requests are in.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        if let Some(patience) = self.warmth.patience_ms() {
            for running in &mut self.running {
                if !running.overdue && now.since(running.started) > patience {
                    running.overdue = true;
                    self.warmth.slow(now, running.started);
                }
            }
        }
        self.pump(now, false)
    }

    /// Takes note that the backend server closed a connection without a request running on it.
    pub fn closed(&mut self, now: Millis) -> Vec<Action> {
        self.warmth.turn(now);
        self.pump(now, false)
    }

    /// Takes note of the word of the health endpoint.
    pub fn health(&mut self, now: Millis, cold: bool) -> Vec<Action> {
        self.warmth.health(now, cold);
        self.pump(now, false)
    }

    /// Number of requests running.
    pub fn busy(&self) -> u16 {
        self.running.len() as u16
    }

    /// Number of requests waiting.
    pub fn waiting(&self) -> u16 {
        self.waiting.len() as u16
    }

    /// Number of requests that may run at once at present.
    pub fn limit(&self, now: Millis) -> u16 {
        self.warmth.limit(now)
    }

    /// Whether the backend server is in a cold start.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.warmth.is_cold(now)
    }

    /// Moves waiting requests: refuses those without prospects, starts those with a slot.
    ///
    /// `proven` says that this step carries evidence of warmth.
    fn pump(&mut self, now: Millis, proven: bool) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.draining {
            self.shed(now, 0, Why::Draining, &mut actions);
        }
        self.expire(now, &mut actions);
        let ceiling = if proven { self.warmth.limit(now) } else { self.warmth.floor() };
        while self.busy() < ceiling {
            let Some(next) = self.waiting.pop_front() else { break };
            self.start(now, next.ticket);
            actions.push(Action::Run(next.ticket));
        }
        self.shed(now, self.room(now), self.crowded(now), &mut actions);
        actions
    }

    /// Refuses waiting requests whose deadline has passed.
    fn expire(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let retry_after_ms = self.retry_after_ms(now, Why::Late);
        self.waiting.retain(|waiting| {
            let keep = waiting.deadline > now;
            if !keep {
                let ticket = waiting.ticket;
                actions.push(Action::Refuse { ticket, retry_after_ms, why: Why::Late });
            }
            keep
        });
    }

    /// Refuses the newest waiting requests beyond `room`.
    fn shed(&mut self, now: Millis, room: usize, why: Why, actions: &mut Vec<Action>) {
        while self.waiting.len() > room {
            let Some(last) = self.waiting.pop_back() else { break };
            let retry_after_ms = self.retry_after_ms(now, why);
            actions.push(Action::Refuse { ticket: last.ticket, retry_after_ms, why });
        }
    }

    /// Requests that may wait: in a cold start, in proportion to the slots.
    fn room(&self, now: Millis) -> usize {
        let queue = usize::from(self.limits.queue);
        if !self.is_cold(now) || queue == 0 {
            return queue;
        }
        let slots = usize::from(self.limits.slots.max(1));
        (queue * usize::from(self.warmth.floor()) / slots).clamp(1, queue)
    }

    /// Why a request beyond [`Self::room`] is refused.
    fn crowded(&self, now: Millis) -> Why {
        if self.is_cold(now) { Why::Cold } else { Why::Full }
    }

    /// When a refused caller may try again, in milliseconds.
    fn retry_after_ms(&self, now: Millis, why: Why) -> u64 {
        let wait = match why {
            // Another backend server takes it at once.
            Why::Draining => return 0,
            Why::Cold => self.warmth.cold_for(now),
            Why::Full | Why::Late => {
                let each = self.warmth.patience_ms().unwrap_or(MIN_RETRY_MS);
                each * self.waiting.len() as u64 / u64::from(self.limit(now))
            }
        };
        wait.clamp(MIN_RETRY_MS, MAX_RETRY_MS)
    }

    /// Gives a request a slot.
    fn start(&mut self, now: Millis, ticket: Ticket) {
        let running = Running { ticket, started: now, overdue: false };
        match self.running.binary_search_by_key(&ticket, |running| running.ticket) {
            Ok(at) => self.running[at] = running,
            Err(at) => self.running.insert(at, running),
        }
    }

    /// Takes a request's slot away, if it has one.
    fn stop(&mut self, ticket: Ticket) -> Option<Running> {
        let at =
            self.running.binary_search_by_key(&ticket, |running| running.ticket).ok()?;
        Some(self.running.remove(at))
    }
}

/// A request with a slot.
#[derive(Debug, Clone, Copy)]
struct Running {
    /// The request.
    ticket: Ticket,
    /// When it got the slot.
    started: Millis,
    /// Whether it has already counted as a slow sign.
    overdue: bool,
}

/// A request in the queue.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    /// The request.
    ticket: Ticket,
    /// When it is refused if it has no slot.
    deadline: Millis,
}
