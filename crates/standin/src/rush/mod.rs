//! Plays a rush of openings against the decisions of balancers and agents, in virtual time
//! and without a network.
//!
//! All nodes lose power for a while and return, with cold backend servers and with the
//! openings of the whole outage, while callers continue at the usual or a higher rate. The
//! result is what callers and backend servers see.

mod fleet;
mod path;
mod segment;
mod server;

use serde::Serialize;

pub use fleet::run;

/// Milliseconds of virtual time.
pub type Tick = u64;

/// The policy by which openings are placed and admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// As decided by [`lentilreach_steer::process::schedule::admission`].
    Objective,
    /// As [`Self::Objective`], and flows are placed by expected work.
    ExpectedWork,
    /// As [`Self::ExpectedWork`] while backend servers differ in speed, and as
    /// [`Self::Objective`] otherwise.
    Auto,
    /// As [`Self::Objective`], and each opening goes to the less loaded of two agents.
    TwoChoices,
    /// As [`Self::Objective`], and each opening goes where it will be answered first,
    /// according to what backend servers have to do now and for how long.
    Oracle,
    /// Every opening is delivered at once, in order of arrival.
    Arrival,
    /// As [`Self::Objective`], and a rate of zero for cold backend servers is a limit.
    ColdLimit,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 7] = [
        Self::Objective,
        Self::ExpectedWork,
        Self::Auto,
        Self::TwoChoices,
        Self::Oracle,
        Self::Arrival,
        Self::ColdLimit,
    ];

    /// The name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Objective => "objective",
            Self::ExpectedWork => "expected-work",
            Self::Auto => "auto",
            Self::TwoChoices => "two-choices",
            Self::Oracle => "oracle",
            Self::Arrival => "arrival",
            Self::ColdLimit => "cold-limit",
        }
    }
}

/// A load to play.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Number of backend servers, each with an agent.
    pub servers: u8,
    /// Number of balancers.
    pub balancers: u8,
    /// Number of failure domains.
    pub domains: u8,
    /// Number of requests that a backend server runs concurrently.
    pub slots: u32,
    /// Mean duration of a request on a warm backend server, in milliseconds.
    pub work_ms: f64,
    /// Requests per second, each on a flow of its own.
    pub per_s: f64,
    /// Factor by which there are more requests after the outage.
    pub crowd: f64,
    /// Duration of the outage in milliseconds; 0 for none.
    pub outage_ms: Tick,
    /// Time for which backend servers are cold after the outage, in milliseconds.
    pub cold_ms: Tick,
    /// Number of backend servers that reject every request.
    pub failing: u8,
    /// Number of backend servers that run half of their requests without an answer.
    pub mute: u8,
    /// Number of agents that don't return after the outage.
    pub silent: u8,
    /// Number of backend servers that are slower than the others.
    pub slow: u8,
    /// Factor by which requests take longer on them.
    pub slow_factor: f64,
    /// Share of requests in percent that take [`TAIL_FACTOR`] times as long.
    pub tail_percent: u32,
    /// Number of flows that callers of the first class keep open; 0 if each of its requests
    /// has a flow of its own.
    pub open_flows: usize,
    /// Whether the classes differ in priority.
    pub has_priorities: bool,
    /// How agents admit openings.
    pub policy: Policy,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for Load {
    /// Ten backend servers and 400 requests a second that fail for 1.4 s.
    fn default() -> Self {
        Self {
            servers: 10,
            balancers: 4,
            domains: 3,
            slots: 7,
            work_ms: 43.0,
            per_s: 400.0,
            crowd: 1.0,
            outage_ms: 1_400,
            cold_ms: 2_000,
            failing: 0,
            mute: 0,
            silent: 0,
            slow: 0,
            slow_factor: 1.0,
            tail_percent: 0,
            open_flows: 0,
            has_priorities: true,
            policy: Policy::Objective,
            seed: 1,
        }
    }
}

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Class {
    /// Time within which a request should be answered, in milliseconds.
    pub objective_ms: Tick,
    /// Time after which its caller gives up, in milliseconds.
    pub deadline_ms: Tick,
    /// Priority of its route; 0 is the highest.
    pub priority: u8,
}

/// The kinds of requests, and the share of the first one in percent.
pub(crate) const CLASSES: [Class; 2] = [
    Class { objective_ms: 200, deadline_ms: 3_000, priority: 2 },
    Class { objective_ms: 250, deadline_ms: 4_000, priority: 1 },
];

/// Factor by which requests of the tail take longer.
pub(crate) const TAIL_FACTOR: f64 = 7.0;

/// Share of the first class in percent.
pub(crate) const FIRST_CLASS_PERCENT: u32 = 78;

/// What callers and backend servers saw.
#[derive(Debug, Default, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Outcome {
    /// Requests by the second in which they were made. Seconds are counted from the end of
    /// the outage.
    pub seconds: Vec<Second>,
    /// Requests that were rejected because the queue of a backend server was full.
    pub rejected: u32,
    /// Requests that ran more than once.
    pub run_twice: u32,
    /// Requests that ran although their opening was refused.
    pub refused_but_run: u32,
    /// Longest time from the first copy of an opening segment to its delivery, in
    /// milliseconds.
    pub longest_wait_ms: Tick,
    /// Openings that an agent forwarded to another one.
    pub forwards: u32,
    /// Requests that reached each backend server after the outage.
    pub requests: Vec<u32>,
}

/// The requests made in one second.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Second {
    /// Number of the second.
    pub second: i64,
    /// Requests answered within the objective, by class.
    pub in_time: [u32; 2],
    /// Requests answered later, by class.
    pub late: [u32; 2],
    /// Requests that were not answered, by class.
    pub failed: [u32; 2],
    /// Sum of the times until an answer before the deadline, by class, in milliseconds.
    pub answer_ms: [Tick; 2],
}

impl Second {
    /// Share of the requests of a class that were answered within its objective.
    pub fn share_in_time_of(&self, class: usize) -> f64 {
        let total = self.in_time[class] + self.late[class] + self.failed[class];
        f64::from(self.in_time[class]) / f64::from(total.max(1))
    }

    /// Mean time until an answer of the requests of a class, in milliseconds; 0 if none was
    /// answered before its deadline.
    pub fn mean_ms_of(&self, class: usize) -> f64 {
        let answered = self.in_time[class] + self.late[class];
        self.answer_ms[class] as f64 / f64::from(answered.max(1))
    }

    /// Share of all requests that were answered within their objective.
    pub fn share_in_time(&self) -> f64 {
        let sum = |counts: [u32; 2]| counts.iter().sum::<u32>();
        let total = sum(self.in_time) + sum(self.late) + sum(self.failed);
        f64::from(sum(self.in_time)) / f64::from(total.max(1))
    }
}
