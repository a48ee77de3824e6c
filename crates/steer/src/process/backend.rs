//! The backend server beside an agent: what it reported, and what it may be given.

use std::collections::VecDeque;

use lentilreach::Name;
use lentilreach::process::clock::Millis;

use crate::request::message::Stage;

/// A backend server whose reports stay out for this many of their usual intervals gets no
/// new flows. One report may be lost and another one late.
const OVERDUE_REPORTS: u64 = 3;

/// A backend server that makes no report for this many of their usual intervals after the start
/// of its agent is not there. It calls again at once while calls fail.
const STARTUP_REPORTS: u64 = 2;

/// A backend server whose reports stay out for this many of their usual intervals has ended.
/// A connection that went silent costs it about three until it opens another one.
const GONE_REPORTS: u64 = 5;

/// Window in which openings of a cold backend server are counted, in milliseconds: the second
/// of the limit, and the time that a segment may take to the backend server.
const COLD_WINDOW_MS: u64 = 1_100;

/// Time between ticks, in milliseconds.
pub const TICK_MS: u64 = 200;

/// Time from the last call of a backend server until it has ended, in milliseconds: two
/// ticks.
const LEAVE_DELAY_MS: u64 = 400;

/// Time between openings that waited for the end of the cold time, in milliseconds for each
/// slot of the backend server. With requests of 20 ms to 40 ms it keeps up and serves its open
/// flows besides.
const RAMP_MS_PER_SLOT: u64 = 50;

/// Longest time that an opening waits for a cold backend server, in milliseconds. Callers
/// give up after 1,400 ms, and the segment and its answer travel within that.
const MAX_HOLD_MS: u64 = 1_250;

/// Time after its start in which the report of a backend server shows that it started after
/// its agent, as the number of reports it has made.
const INITIAL_REPORTS: u64 = 1;

/// Reports that a backend server makes while it is cold after its start at most: about one each
/// 0.8 s, and more while they are not answered.
const EARLY_REPORTS: u64 = 8;

/// What a backend server says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Its identifier.
    pub id: Name,
    /// Its service.
    pub service: Name,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it drains.
    pub is_draining: bool,
    /// How much longer it is cold, in milliseconds.
    pub cold_ms: u64,
    /// Rises with each report of a lifetime.
    pub sequence: u64,
    /// Start of its lifetime in milliseconds of the Unix epoch, if it tells.
    pub born: Option<u64>,
}

/// What a report changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The first report, or one of a new lifetime: flows of an earlier one are gone.
    Started {
        /// Whether an earlier lifetime was known.
        is_replacement: bool,
    },
    /// It is in another stage.
    Stage,
    /// Nothing that decisions depend on.
    None,
    /// The report is older than one that was taken.
    Outdated,
}

/// Why an opening is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No report yet, or none lately.
    Unknown,
    /// It drains or has ended.
    Draining,
    /// It is cold and has got what it bears.
    Cold,
    /// It holds as many flows as it may.
    Full,
    /// The agent stops.
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

/// What a cold backend server bears.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Factor on the requests a second that its service states.
    pub cold_factor: f64,
    /// Requests a second above that.
    pub cold_slack: f64,
    /// Usual time between reports, in milliseconds.
    pub report_ms: u64,
}

/// The backend server beside an agent.
#[derive(Debug)]
pub struct Backend {
    /// Limits that the platform states.
    bounds: Bounds,
    /// The last report of the current lifetime.
    report: Option<Report>,
    /// When that was taken.
    last_report: Millis,
    /// When the backend server said that it ends.
    leaving_since: Option<Millis>,
    /// Whether its end was reported by [`Self::tick`].
    is_gone: bool,
    /// Ticks since its last report. Unlike the time, they do not pass while this process is
    /// paused.
    ticks_since_report: u64,
    /// When it stops to be cold.
    cold_until: Millis,
    /// Set when it may have turned cold since its last report.
    may_be_cold: bool,
    /// When openings were delivered, within [`COLD_WINDOW_MS`].
    openings: VecDeque<Millis>,
    /// The last opening that waits for the end of the cold time.
    ramp_until: Millis,
    /// The agent's process is about to end.
    is_stopping: bool,
}

impl Backend {
    /// A backend server that has not reported yet.
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

    /// Takes a report.
    pub fn record_report(&mut self, now: Millis, report: Report) -> Change {
        let before = self.stage(now);
        let change = match &self.report {
            None => Change::Started { is_replacement: false },
            Some(last) if !last.is_same_lifetime(&report) => {
                if report.born < last.born {
                    return Change::Outdated;
                }
                Change::Started { is_replacement: true }
            }
            Some(last) if report.sequence <= last.sequence => return Change::Outdated,
            // It had not ended after all.
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

    /// Takes note that a backend server ends. Returns whether it is the current one.
    pub fn record_leave(&mut self, now: Millis, id: &str) -> bool {
        let is_current = self.report.as_ref().is_some_and(|report| *report.id == *id);
        if is_current {
            self.leaving_since.get_or_insert(now);
        }
        is_current
    }

    /// Whether the backend server is found to be gone since the last call: it said so, or
    /// stopped to report without a drain. To be called every [`TICK_MS`].
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

    /// Takes note of a sign that it may be cold, until its next report.
    pub fn suspect_cold(&mut self) {
        self.may_be_cold = true;
    }

    /// Admits no more openings.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Whether the backend server has ended or said that it does.
    pub fn has_left(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// The stage that balancers are told; none before the first report.
    pub fn stage(&self, now: Millis) -> Option<Stage> {
        let report = self.report.as_ref()?;
        let is_closed = self.has_left()
            || self.is_stopping
            || report.is_draining
            || self.is_overdue(now);
        Some(match () {
            () if is_closed => Stage::Closed,
            () if self.is_cold(now) => Stage::Cold,
            () => Stage::Ready,
        })
    }

    /// Time since its start in milliseconds, with the time that backend servers of its service
    /// are cold; none if it is not cold any more, or may have turned cold again.
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
        !self.has_left() && now.since(last_report) <= self.bounds.report_ms * reports
    }

    /// Whether its reports stay out.
    pub fn is_overdue(&self, now: Millis) -> bool {
        now.since(self.last_report) > self.bounds.report_ms * OVERDUE_REPORTS
    }

    /// Admits an opening, with the flows open and the limits of its service.
    ///
    /// # Errors
    /// Why it may not be given one.
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

    /// Reserves the next moment at which a cold backend server bears one more opening; none
    /// if that is later than an opening may wait.
    pub fn reserve(&mut self, now: Millis, cold_per_s: f64) -> Option<Millis> {
        let limit = self.cold_limit(cold_per_s);
        let index = self.openings.len().checked_sub(limit)?;
        let free = self.openings.get(index)?.after(COLD_WINDOW_MS);
        let slots = self.report.as_ref().map_or(1, |report| report.slots.max(1));
        let step_ms = RAMP_MS_PER_SLOT.div_ceil(u64::from(slots));
        let warm = self.cold_until.max(self.ramp_until.after(step_ms));
        let until = if self.may_be_cold { free } else { free.min(warm) };
        if until > now.after(MAX_HOLD_MS) {
            return None;
        }
        self.ramp_until = if until == warm { warm } else { self.ramp_until };
        // Rises: `free` does, and openings after the cold time are the last ones.
        self.openings.push_back(until);
        Some(until)
    }

    /// Openings in [`COLD_WINDOW_MS`] that a cold backend server bears.
    fn cold_limit(&self, cold_per_s: f64) -> usize {
        (cold_per_s * self.bounds.cold_factor + self.bounds.cold_slack) as usize
    }

    /// Whether it bears few requests.
    fn is_cold(&self, now: Millis) -> bool {
        self.may_be_cold || now < self.cold_until
    }
}

impl Report {
    /// Whether another report comes from the same lifetime.
    pub fn is_same_lifetime(&self, other: &Self) -> bool {
        self.id == other.id && self.born == other.born
    }

    /// Whether the backend server has started lately.
    fn has_started_recently(&self) -> bool {
        self.sequence <= EARLY_REPORTS
    }

    /// Whether it is among the first of its lifetime.
    pub fn is_initial(&self) -> bool {
        self.sequence <= INITIAL_REPORTS
    }
}
