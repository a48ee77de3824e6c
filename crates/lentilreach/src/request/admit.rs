//! Admission control for one backend server: a concurrency limit with a bounded queue.

use std::collections::VecDeque;

use crate::process::clock::Millis;
use crate::process::warmup::{Concurrency, Detector};

/// Lower bound of the retry delay sent to refused callers, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Upper bound of the retry delay sent to refused callers, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 10_000;

/// The limits of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Concurrent requests when warm.
    pub slots: u16,
    /// Concurrent requests during a cold start.
    pub cold_slots: u16,
    /// Duration of a cold start, in milliseconds.
    pub cold_ms: u64,
    /// Maximum queue length when warm.
    pub queue: u16,
}

impl From<Limits> for Concurrency {
    fn from(limits: Limits) -> Self {
        Self {
            slots: limits.slots,
            cold_slots: limits.cold_slots,
            cold_ms: limits.cold_ms,
        }
    }
}

/// Identifies a request at its limiter. The code that uses the limiter assigns a unique one to
/// each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The decision on a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It runs now.
    Run,
    /// It is queued until an [`Action`] names it.
    Wait,
    /// It is refused.
    Refuse {
        /// Delay after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
        /// The reason.
        reason: Reason,
    },
}

/// The decision on a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// It runs now.
    Run(RequestId),
    /// It is refused.
    Refuse {
        /// The request.
        request_id: RequestId,
        /// Delay after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
        /// The reason.
        reason: Reason,
    },
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The backend server is draining.
    Draining,
    /// The queue is full.
    Full,
    /// The queue is at its lower limit for a cold start.
    Cold,
    /// The deadline passed before a slot was free.
    Late,
}

impl Reason {
    /// The metric label of the reason.
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
    /// With a complete response.
    Answered {
        /// Time from the first byte sent to the response, in milliseconds.
        took_ms: u64,
    },
    /// With an error or a closed connection after at least one byte was sent.
    Failed,
    /// The backend server refused the connection or shed the request.
    Refused,
}

/// Limits the concurrent requests to one backend server.
///
/// At most [`Limiter::limit`] requests run at once. While [`Limits::cold_slots`] or more run,
/// another one starts only together with fresh evidence that the backend server is warm; see
/// [`crate::process::warmup`].
#[derive(Debug)]
pub struct Limiter {
    /// The limits.
    limits: Limits,
    /// Estimates whether the backend server is warm.
    detector: Detector,
    /// Whether the backend server is draining.
    draining: bool,
    /// Requests that hold a slot. Sorted by identifier, without duplicates.
    running: Vec<Running>,
    /// The queue, oldest first. No request is also in `running`.
    waiting: VecDeque<Waiting>,
}

impl Limiter {
    /// Creates a limiter for a backend server, which is assumed to be cold.
    pub fn new(limits: Limits, now: Millis) -> Self {
        Self {
            limits,
            detector: Detector::new(limits.into(), now),
            draining: false,
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Replaces the limits. Running requests continue; the next event enforces the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.detector.set_concurrency(limits.into());
    }

    /// Sets whether the backend server is draining.
    ///
    /// While it drains, new requests are refused, and the next event refuses the queued ones.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Decides on a new request that needs a slot before `deadline`.
    pub fn admit(
        &mut self,
        now: Millis,
        request_id: RequestId,
        deadline: Millis,
    ) -> Admission {
        let reason = if self.draining {
            Reason::Draining
        } else if deadline <= now {
            Reason::Late
        } else if self.waiting.is_empty() && self.busy() < self.detector.cold_limit() {
            self.start(now, request_id);
            return Admission::Run;
        } else if self.waiting.len() < self.queue_limit(now) {
            self.waiting.push_back(Waiting { request_id, deadline });
            return Admission::Wait;
        } else {
            self.overflow_reason(now)
        };
        Admission::Refuse { retry_after_ms: self.retry_after_ms(now, reason), reason }
    }

    /// Releases the slot of a request and evaluates how it ended.
    pub fn finish(
        &mut self,
        now: Millis,
        request_id: RequestId,
        end: End,
    ) -> Vec<Action> {
        let busy = self.busy();
        let Some(running) = self.stop(request_id) else {
            return self.advance(now, false);
        };
        let has_evidence = match end {
            End::Answered { took_ms } => {
                self.detector.record_response(now, running.started, took_ms, busy)
            }
            End::Failed | End::Refused => {
                self.detector.start_cold_period(now);
                false
            }
        };
        self.advance(now, has_evidence)
    }

    /// Removes a request whose caller has disconnected.
    ///
    /// If the request is running, call this only after its connection to the backend server is
    /// closed, so that the backend server has also released it.
    pub fn cancel(&mut self, now: Millis, request_id: RequestId) -> Vec<Action> {
        self.stop(request_id);
        self.waiting.retain(|waiting| waiting.request_id != request_id);
        self.advance(now, false)
    }

    /// Handles deadlines and overdue requests. Call this about every 10 ms while there are
    /// requests.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        if let Some(threshold) = self.detector.slow_threshold_ms() {
            for running in &mut self.running {
                if !running.overdue && now.since(running.started) > threshold {
                    running.overdue = true;
                    self.detector.record_slow(now, running.started);
                }
            }
        }
        self.advance(now, false)
    }

    /// Records that the backend server closed its connections, as it does when it restarts.
    pub fn connections_closed(&mut self, now: Millis) -> Vec<Action> {
        self.detector.start_cold_period(now);
        self.advance(now, false)
    }

    /// Records a report of the health endpoint.
    pub fn record_health(&mut self, now: Millis, cold: bool) -> Vec<Action> {
        self.detector.record_health(now, cold);
        self.advance(now, false)
    }

    /// Number of running requests.
    pub fn busy(&self) -> u16 {
        self.running.len() as u16
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> u16 {
        self.waiting.len() as u16
    }

    /// Current limit on concurrent requests.
    pub fn limit(&self, now: Millis) -> u16 {
        self.detector.limit(now)
    }

    /// Whether the backend server is in a cold start.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.detector.is_cold(now)
    }

    /// Processes the queue: refuses expired and excess requests and starts others in free
    /// slots.
    ///
    /// `has_evidence` says whether the current event is evidence that the backend server is
    /// warm.
    fn advance(&mut self, now: Millis, has_evidence: bool) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.draining {
            self.refuse_newest(now, 0, Reason::Draining, &mut actions);
        }
        self.expire(now, &mut actions);
        let ceiling = if has_evidence {
            self.detector.limit(now)
        } else {
            self.detector.cold_limit()
        };
        while self.busy() < ceiling {
            let Some(next) = self.waiting.pop_front() else { break };
            self.start(now, next.request_id);
            actions.push(Action::Run(next.request_id));
        }
        self.refuse_newest(
            now,
            self.queue_limit(now),
            self.overflow_reason(now),
            &mut actions,
        );
        actions
    }

    /// Refuses queued requests whose deadline has passed.
    fn expire(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let retry_after_ms = self.retry_after_ms(now, Reason::Late);
        self.waiting.retain(|waiting| {
            let keep = waiting.deadline > now;
            if !keep {
                let request_id = waiting.request_id;
                actions.push(Action::Refuse {
                    request_id,
                    retry_after_ms,
                    reason: Reason::Late,
                });
            }
            keep
        });
    }

    /// Refuses the newest queued requests until at most `queue_limit` remain.
    fn refuse_newest(
        &mut self,
        now: Millis,
        queue_limit: usize,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        while self.waiting.len() > queue_limit {
            let Some(last) = self.waiting.pop_back() else { break };
            let retry_after_ms = self.retry_after_ms(now, reason);
            actions.push(Action::Refuse {
                request_id: last.request_id,
                retry_after_ms,
                reason,
            });
        }
    }

    /// Current queue limit. During a cold start it is reduced in proportion to the slots.
    fn queue_limit(&self, now: Millis) -> usize {
        let queue = usize::from(self.limits.queue);
        if !self.is_cold(now) || queue == 0 {
            return queue;
        }
        let slots = usize::from(self.limits.slots.max(1));
        (queue * usize::from(self.detector.cold_limit()) / slots).clamp(1, queue)
    }

    /// The reason for refusals beyond [`Self::queue_limit`].
    fn overflow_reason(&self, now: Millis) -> Reason {
        if self.is_cold(now) { Reason::Cold } else { Reason::Full }
    }

    /// Delay after which a refused caller may retry, in milliseconds.
    fn retry_after_ms(&self, now: Millis, reason: Reason) -> u64 {
        let wait = match reason {
            // Another backend server can run it at once.
            Reason::Draining => return 0,
            Reason::Cold => self.detector.cold_remaining_ms(now),
            Reason::Full | Reason::Late => {
                let each =
                    self.detector.slow_threshold_ms().unwrap_or(MIN_RETRY_AFTER_MS);
                each * self.waiting.len() as u64 / u64::from(self.limit(now))
            }
        };
        wait.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }

    /// Gives a request a slot.
    fn start(&mut self, now: Millis, request_id: RequestId) {
        let running = Running { request_id, started: now, overdue: false };
        match self.running.binary_search_by_key(&request_id, |running| running.request_id)
        {
            Ok(at) => self.running[at] = running,
            Err(at) => self.running.insert(at, running),
        }
    }

    /// Releases the slot of a request, if it has one.
    fn stop(&mut self, request_id: RequestId) -> Option<Running> {
        let at = self
            .running
            .binary_search_by_key(&request_id, |running| running.request_id)
            .ok()?;
        Some(self.running.remove(at))
    }
}

/// A request with a slot.
#[derive(Debug, Clone, Copy)]
struct Running {
    /// The request.
    request_id: RequestId,
    /// When it got the slot.
    started: Millis,
    /// Whether it was already counted as a slow signal.
    overdue: bool,
}

/// A queued request.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    /// The request.
    request_id: RequestId,
    /// When it is refused unless it has a slot by then.
    deadline: Millis,
}
