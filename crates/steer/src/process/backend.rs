//! Tracks the backend server next to an agent and limits what it receives.

use std::collections::VecDeque;

use lentilreach::Name;
use lentilreach::process::clock::Millis;

use crate::request::message::Stage;

/// A backend server whose last report is more than this many report intervals old
/// receives no new flows. This tolerates one lost and one late report.
const OVERDUE_REPORTS: u64 = 3;

/// A backend server that hasn't reported within this many report intervals after its
/// agent started is considered absent. If there is one, it retries immediately while its
/// calls fail.
const STARTUP_REPORTS: u64 = 2;

/// A backend server that hasn't reported for this many report intervals is considered
/// gone. One whose connection has stalled misses about three reports before it opens
/// another connection.
const GONE_REPORTS: u64 = 5;

/// Window in which the openings of a cold backend server are counted, in milliseconds.
/// The limit applies to one second; the rest covers variations in the delivery time of
/// segments.
const COLD_WINDOW_MS: u64 = 1_100;

/// Interval between ticks, in milliseconds.
pub const TICK_MS: u64 = 200;

/// Time after which a backend server that said it is shutting down is considered gone, in
/// milliseconds: two ticks.
const LEAVE_DELAY_MS: u64 = 400;

/// Interval between openings that are released when the backend server becomes warm, in
/// milliseconds per slot: a server with `n` slots gets `n` openings in this time. With
/// requests that take 20 ms to 40 ms, it can still serve its open flows as well.
const RAMP_MS_PER_SLOT: u64 = 50;

/// Maximum time that an opening is held back for a cold backend server, in milliseconds.
/// Callers give up after 1,400 ms, which includes the travel time of the segment and its
/// answer.
const MAX_HOLD_MS: u64 = 1_250;

/// Sequence number up to which a report shows that the backend server started after its
/// agent.
const INITIAL_REPORTS: u64 = 1;

/// Maximum number of reports that a backend server makes while it is cold after its
/// start: about one per 0.8 s, and more while they are not answered.
const EARLY_REPORTS: u64 = 8;

/// A status report of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Identifier of the backend server.
    pub id: Name,
    /// The service that it runs.
    pub service: Name,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Whether it is draining.
    pub is_draining: bool,
    /// Remaining time for which it is cold, in milliseconds.
    pub cold_ms: u64,
    /// Increases with each report of an instance of the backend server.
    pub sequence: u64,
    /// Start time of the instance in milliseconds since the Unix epoch, if known.
    pub started_ms: Option<u64>,
}

/// The effect of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It is the first report, or the first one of a new instance, or the first one after
    /// the backend server was considered gone. Flows of a previous instance are gone.
    Started {
        /// Whether a previous instance was known.
        is_replacement: bool,
    },
    /// The stage of the backend server changed.
    Stage,
    /// No change that affects decisions.
    None,
    /// The report is older than the last one and was ignored.
    Outdated,
}

/// Why an opening is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// There is no report yet, or the last one is overdue.
    Unknown,
    /// The backend server is draining or shutting down.
    Draining,
    /// The backend server is cold and has reached its rate limit.
    Cold,
    /// The backend server holds its maximum number of flows.
    Full,
    /// The agent is stopping.
    Stopping,
}

impl Refusal {
    /// The label in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Draining => "draining",
            Self::Cold => "cold",
            Self::Full => "full",
            Self::Stopping => "stopping",
        }
    }
}

/// Limits of a cold backend server, and its report interval.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Factor applied to the rate of requests that the service's configuration allows.
    pub cold_factor: f64,
    /// Requests per second that are allowed in addition.
    pub cold_slack: f64,
    /// Usual interval between reports, in milliseconds.
    pub report_ms: u64,
}

/// The backend server next to an agent.
#[derive(Debug)]
pub struct Backend {
    /// Limits while it is cold, and its report interval, from the settings.
    bounds: Bounds,
    /// The last report of the current instance.
    report: Option<Report>,
    /// When the last report arrived.
    last_report: Millis,
    /// When the backend server said that it is shutting down.
    leaving_since: Option<Millis>,
    /// Whether [`Self::tick`] has detected that it is gone.
    is_gone: bool,
    /// Number of ticks since the last report. Unlike the clock, it doesn't advance while
    /// this process is paused.
    ticks_since_report: u64,
    /// When the backend server becomes warm.
    cold_until: Millis,
    /// Whether it may have become cold since its last report.
    may_be_cold: bool,
    /// Delivery times of openings within [`COLD_WINDOW_MS`], including reserved ones.
    openings: VecDeque<Millis>,
    /// Delivery time of the last opening that waits until the backend server is warm.
    ramp_until: Millis,
    /// Whether the agent's process is about to stop.
    is_stopping: bool,
}

impl Backend {
    /// Creates a backend server that has not reported yet.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            report: None,
            last_report: Millis(0),
            leaving_since: None,
            is_gone: false,
            ticks_since_report: 0,
            cold_until: Millis(0),
            may_be_cold: true,
            openings: VecDeque::new(),
            ramp_until: Millis(0),
            is_stopping: false,
        }
    }

    /// The last report.
    pub fn report(&self) -> Option<&Report> {
        self.report.as_ref()
    }

    /// Processes a report.
    pub fn record_report(&mut self, now: Millis, report: Report) -> Change {
        let before = self.stage(now);
        let change = match &self.report {
            None => Change::Started { is_replacement: false },
            Some(last) if !last.is_same_instance(&report) => {
                if report.started_ms < last.started_ms {
                    return Change::Outdated;
                }
                Change::Started { is_replacement: true }
            }
            Some(last) if report.sequence <= last.sequence => return Change::Outdated,
            // It was considered gone by mistake.
            Some(_) if self.is_gone => Change::Started { is_replacement: false },
            Some(_) => Change::None,
        };
        self.last_report = now;
        self.leaving_since = None;
        self.is_gone = false;
        self.ticks_since_report = 0;
        self.may_be_cold = false;
        self.cold_until = now.after(report.cold_ms);
        self.report = Some(report);
        if change == Change::None && self.stage(now) != before {
            return Change::Stage;
        }
        change
    }

    /// Records that a backend server is shutting down. Returns whether it is the current
    /// one.
    pub fn record_leave(&mut self, now: Millis, id: &str) -> bool {
        let is_current = self.report.as_ref().is_some_and(|report| *report.id == *id);
        if is_current {
            self.leaving_since.get_or_insert(now);
        }
        is_current
    }

    /// Returns whether the backend server was found to be gone since the last call. That
    /// is the case if it said that it is shutting down, or if its reports stopped
    /// although it isn't draining. Must be called every [`TICK_MS`].
    pub fn tick(&mut self, now: Millis) -> bool {
        self.ticks_since_report += 1;
        let has_ended = self
            .leaving_since
            .is_some_and(|leaving_since| now.since(leaving_since) >= LEAVE_DELAY_MS);
        let is_draining = self.report.as_ref().is_none_or(|report| report.is_draining);
        let is_silent =
            self.ticks_since_report * TICK_MS > self.bounds.report_ms * GONE_REPORTS;
        let is_newly_gone = !self.is_gone && (has_ended || (is_silent && !is_draining));
        self.is_gone |= is_newly_gone;
        is_newly_gone
    }

    /// Treats the backend server as cold until its next report.
    pub fn suspect_cold(&mut self) {
        self.may_be_cold = true;
    }

    /// Stops admitting openings.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Whether the backend server has said that it is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// The stage to advertise to balancers; `None` before the first report.
    pub fn stage(&self, now: Millis) -> Option<Stage> {
        let report = self.report.as_ref()?;
        let is_closed = self.is_leaving()
            || self.is_stopping
            || report.is_draining
            || self.is_overdue(now);
        Some(match () {
            () if is_closed => Stage::Closed,
            () if self.is_cold(now) => Stage::Cold,
            () => Stage::Ready,
        })
    }

    /// Time since its start in milliseconds, given the warm-up time `cold_ms` of its
    /// service. Returns `None` if it is already warm, or if it may have become cold again
    /// later.
    pub fn age_ms(&self, now: Millis, cold_ms: u64) -> Option<u64> {
        let has_started_recently =
            self.report.as_ref().is_some_and(Report::has_started_recently);
        let left_ms = self.cold_until.since(now);
        (has_started_recently && left_ms > 0).then(|| cold_ms.saturating_sub(left_ms))
    }

    /// Whether it may be running, as far as an agent that started at `start` can tell.
    pub fn may_be_running(&self, now: Millis, start: Millis) -> bool {
        let (last_report, reports) = match self.report {
            Some(_) => (self.last_report, OVERDUE_REPORTS),
            None => (start, STARTUP_REPORTS),
        };
        !self.is_leaving() && now.since(last_report) <= self.bounds.report_ms * reports
    }

    /// Whether its next report is overdue.
    pub fn is_overdue(&self, now: Millis) -> bool {
        now.since(self.last_report) > self.bounds.report_ms * OVERDUE_REPORTS
    }

    /// Admits an opening, given the number of open flows and the limits of the service.
    ///
    /// # Errors
    /// If the backend server can't be given another opening now.
    pub fn admit(
        &mut self,
        now: Millis,
        open: u32,
        connections: u32,
        cold_per_s: f64,
    ) -> Result<(), Refusal> {
        let Some(report) = &self.report else { return Err(Refusal::Unknown) };
        if self.is_stopping {
            return Err(Refusal::Stopping);
        }
        if report.is_draining || self.leaving_since.is_some() {
            return Err(Refusal::Draining);
        }
        if self.is_overdue(now) {
            return Err(Refusal::Unknown);
        }
        if open >= connections {
            return Err(Refusal::Full);
        }
        while self.openings.front().is_some_and(|at| now.since(*at) >= COLD_WINDOW_MS) {
            self.openings.pop_front();
        }
        if self.is_cold(now) && self.openings.len() >= self.cold_limit(cold_per_s) {
            return Err(Refusal::Cold);
        }
        self.openings.push_back(now);
        Ok(())
    }

    /// Reserves the next time at which a cold backend server can accept another opening.
    /// Returns `None` if that is later than an opening may be held back.
    pub fn reserve(&mut self, now: Millis, cold_per_s: f64) -> Option<Millis> {
        let limit = self.cold_limit(cold_per_s);
        let index = self.openings.len().checked_sub(limit)?;
        let free_at = self.openings.get(index)?.after(COLD_WINDOW_MS);
        let slots = self.report.as_ref().map_or(1, |report| report.slots.max(1));
        let interval_ms = RAMP_MS_PER_SLOT.div_ceil(u64::from(slots));
        let warm_at = self.cold_until.max(self.ramp_until.after(interval_ms));
        let until = if self.may_be_cold { free_at } else { free_at.min(warm_at) };
        if until > now.after(MAX_HOLD_MS) {
            return None;
        }
        self.ramp_until = if until == warm_at { warm_at } else { self.ramp_until };
        // Keeps `openings` sorted: `free_at` never decreases, and openings that wait
        // until the backend server is warm are the last ones.
        self.openings.push_back(until);
        Some(until)
    }

    /// Number of openings in [`COLD_WINDOW_MS`] that a cold backend server can accept.
    fn cold_limit(&self, cold_per_s: f64) -> usize {
        (cold_per_s * self.bounds.cold_factor + self.bounds.cold_slack) as usize
    }

    /// Whether it must be treated as cold.
    fn is_cold(&self, now: Millis) -> bool {
        self.may_be_cold || now < self.cold_until
    }
}

impl Report {
    /// Whether both reports come from the same instance of a backend server.
    pub fn is_same_instance(&self, other: &Self) -> bool {
        self.id == other.id && self.started_ms == other.started_ms
    }

    /// Whether the backend server has started recently.
    fn has_started_recently(&self) -> bool {
        self.sequence <= EARLY_REPORTS
    }

    /// Whether it is one of the first reports of its instance.
    pub fn is_initial(&self) -> bool {
        self.sequence <= INITIAL_REPORTS
    }
}
