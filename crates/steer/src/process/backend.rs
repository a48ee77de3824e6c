//! Tracks the backend server next to an agent and limits what it receives.

use std::collections::VecDeque;

use lentilreach::Name;
use lentilreach::process::clock::Millis;

use crate::request::message::Stage;
use displaced::{Displaced, Outdated};
use record::EARLY_REPORTS;

pub mod displaced;
pub mod record;

/// A backend server whose last report is more than this many report intervals old
/// receives no new flows. This tolerates one lost and one late report.
const OVERDUE_REPORTS: u64 = 3;

/// A backend server that hasn't reported within this many report intervals after its
/// agent started may be absent. If there is one, it retries immediately while its calls
/// fail.
const STARTUP_REPORTS: u64 = 2;

/// Number of report intervals between two probes of a backend server that doesn't report.
const PROBE_REPORTS: u64 = 5;

/// Window in which the openings of a cold backend server are counted, in milliseconds.
/// The limit applies to one second; the rest covers variations in the delivery time of
/// segments.
const COLD_WINDOW_MS: u64 = 1_100;

/// Longest time between the decision to deliver an opening and its arrival at the backend
/// server, in milliseconds.
const DELIVERY_MS: u64 = 100;

/// Interval between ticks, in milliseconds.
pub const TICK_MS: u64 = 200;

/// Time after which a backend server that said it is shutting down is considered gone, in
/// milliseconds: two ticks.
const LEAVE_DELAY_MS: u64 = 400;

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
    /// Time for which the report may have waited in a socket, in milliseconds.
    pub delay_ms: u64,
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
    /// There is no report yet, the last one is overdue, or another service may have taken
    /// over the address meanwhile.
    Unknown,
    /// The backend server is draining or shutting down.
    Draining,
    /// The backend server is cold and has reached its rate limit.
    Cold,
    /// The backend server holds its maximum number of flows.
    Full,
    /// The caller has given up the opening.
    Expired,
    /// The backend server can't answer in time, since it has been given too much.
    Busy,
    /// The agent is stopping.
    Stopping,
    /// The current instance has just started, and the store doesn't name it yet, see
    /// [`record`].
    Unrecorded,
}

impl Refusal {
    /// The label in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Draining => "draining",
            Self::Cold => "cold",
            Self::Full => "full",
            Self::Expired => "expired",
            Self::Busy => "busy",
            Self::Stopping => "stopping",
            Self::Unrecorded => "unrecorded",
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
    /// Whether the limits also apply to services whose configured rate is zero. Otherwise
    /// zero means that no rate is stated.
    pub limits_zero_rate: bool,
    /// Usual interval between reports, in milliseconds.
    pub report_ms: u64,
    /// Time after the end of a backend server from which another service may use its
    /// address, in milliseconds.
    pub address_reuse_ms: u64,
}

/// The backend server next to an agent.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Limits while it is cold, and its report interval, from the settings.
    bounds: Bounds,
    /// The last report of the current instance.
    report: Option<Report>,
    /// When the last report arrived.
    last_report: Millis,
    /// When the current instance was last known to run, by its reports and segments. Another
    /// service may use its address from `address_reuse_ms` after its end, which may have
    /// come right after that time.
    alive_at: Millis,
    /// When the first report of the current instance arrived.
    instance_since: Millis,
    /// Whether that was one of the first that the instance made.
    was_heard_early: bool,
    /// Whether another report of the current instance has followed, as those of a running
    /// backend server do. One that was delayed may arrive after the end of its instance.
    has_reported_again: bool,
    /// The instance before the current one, as long as it isn't certain that it has ended: it
    /// was heard when the current one reported for the first time.
    displaced: Option<Displaced>,
    /// Whether the backend server has returned a segment that only the displaced instance could
    /// have taken.
    is_displacement_shown: bool,
    /// The first outdated report since the last current one.
    outdated: Option<Outdated>,
    /// When the backend server said that it is shutting down.
    leaving_since: Option<Millis>,
    /// Whether it is known to be gone: it has said that it is shutting down, or there is no
    /// process at its address.
    is_gone: bool,
    /// Number of ticks since the last report. Unlike the clock, it doesn't advance while
    /// this process is paused.
    ticks_since_report: u64,
    /// Whether it was decided if a probe is needed at the start.
    has_probed: bool,
    /// The value of `ticks_since_report` at the last probe for overdue reports since then.
    probed_tick: Option<u64>,
    /// When the backend server becomes warm.
    cold_until: Millis,
    /// Whether it may have become cold since its last report.
    may_be_cold: bool,
    /// Since when all openings that the current instance was given are in `openings`. An
    /// earlier process of the agent may have delivered others before.
    counted_since: Millis,
    /// Delivery times of openings within [`COLD_WINDOW_MS`].
    openings: VecDeque<Millis>,
    /// Whether the agent's process is about to stop.
    is_stopping: bool,
}

impl Backend {
    /// Creates a backend server that has not reported yet, for a process that starts now.
    pub fn new(now: Millis, bounds: Bounds) -> Self {
        Self {
            bounds,
            report: None,
            last_report: Millis(0),
            alive_at: Millis(0),
            instance_since: Millis(0),
            was_heard_early: false,
            has_reported_again: false,
            displaced: None,
            is_displacement_shown: false,
            outdated: None,
            leaving_since: None,
            is_gone: false,
            ticks_since_report: 0,
            has_probed: false,
            probed_tick: None,
            cold_until: Millis(0),
            may_be_cold: true,
            counted_since: now,
            openings: VecDeque::new(),
            is_stopping: false,
        }
    }

    /// Limits while it is cold, and its report interval.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// The last report.
    pub fn report(&self) -> Option<&Report> {
        self.report.as_ref()
    }

    /// When the last report arrived.
    pub fn last_report(&self) -> Millis {
        self.last_report
    }

    /// Processes a report.
    pub fn record_report(&mut self, now: Millis, report: Report) -> Change {
        let before = self.stage(now);
        let change = match self.report.clone() {
            None => Change::Started { is_replacement: false },
            Some(last) if !last.is_same_instance(&report) => {
                let is_earlier = report.started_ms < last.started_ms
                    || self.displaced.as_ref().is_some_and(|displaced| {
                        displaced.report.is_same_instance(&report)
                    });
                if is_earlier && !self.is_alive_after_all(now, &report) {
                    return Change::Outdated;
                }
                // An earlier instance that goes on reporting has never ended.
                Change::Started { is_replacement: !is_earlier }
            }
            Some(last)
                if (report.sequence <= last.sequence || self.is_leaving())
                    && !self.is_alive_after_all(now, &report) =>
            {
                return Change::Outdated;
            }
            // It was considered gone by mistake.
            Some(_) if self.is_gone => Change::Started { is_replacement: false },
            Some(_) => Change::None,
        };
        if let Change::Started { is_replacement } = change {
            self.displace(now, is_replacement);
            self.instance_since = now;
            self.was_heard_early = report.is_early();
            self.has_reported_again = false;
            self.alive_at = Millis(0);
        }
        self.has_reported_again |=
            now.since(self.instance_since) >= self.bounds.report_ms / 2;
        self.last_report = now;
        self.record_life(Millis(now.0.saturating_sub(report.delay_ms)));
        self.outdated = None;
        self.leaving_since = None;
        self.is_gone = false;
        self.ticks_since_report = 0;
        self.probed_tick = None;
        self.may_be_cold = false;
        self.cold_until = now.after(report.cold_ms);
        self.report = Some(report);
        if change == Change::None && self.stage(now) != before {
            return Change::Stage;
        }
        change
    }

    /// Records that the current instance was running at a time.
    pub fn record_life(&mut self, at: Millis) {
        self.alive_at = self.alive_at.max(at);
    }

    /// When the first report of the current instance arrived. What was delivered before may
    /// have reached the instance before it.
    pub fn instance_since(&self) -> Millis {
        self.instance_since
    }

    /// Whether the current instance has reported again after its first report.
    pub fn has_reported_again(&self) -> bool {
        self.has_reported_again
    }

    /// Whether the first report of the current instance that reached this process was one of
    /// the first that the instance made.
    pub fn was_heard_early(&self) -> bool {
        self.was_heard_early
    }

    /// Records that the current instance started after this process, so that no other one
    /// can have given it openings.
    pub fn record_later_start(&mut self) {
        self.counted_since = Millis(0);
    }

    /// Keeps the current instance as the displaced one if another one replaces it although it
    /// is still heard.
    fn displace(&mut self, now: Millis, is_replacement: bool) {
        let is_heard = !self.is_overdue(now) && !self.is_leaving() && !self.is_gone;
        let (last_report, cold_until) = (self.last_report, self.cold_until);
        let displaced = self.report.take().filter(|_| is_replacement && is_heard);
        self.displaced =
            displaced.map(|report| Displaced { report, last_report, cold_until });
        self.is_displacement_shown = false;
    }

    /// Whether an earlier instance may still run, because only one report says otherwise.
    pub fn is_in_doubt(&self) -> bool {
        self.displaced.is_some()
    }

    /// Records that the backend server has returned a segment of a flow that the displaced
    /// instance had accepted.
    pub fn record_displacement(&mut self) {
        self.is_displacement_shown = true;
    }

    /// Forgets the displaced instance, whose end is of no consequence.
    pub fn forget_displaced(&mut self) {
        self.displaced = None;
    }

    /// The displaced instance once it is certain that it has ended: the current one has
    /// reported again, or has returned a segment. Returns it once.
    pub fn take_ended(&mut self) -> Option<Displaced> {
        let is_certain = self.has_reported_again || self.is_displacement_shown;
        if is_certain { self.displaced.take() } else { None }
    }

    /// Records that another service claims the address although the current instance has just
    /// been heard. Until it is heard again, it gets no opening.
    pub fn record_claim(&mut self) {
        self.alive_at = Millis(0);
    }

    /// Whether an outdated report has to be taken for a current one: it follows an earlier
    /// outdated one as reports of a running backend server do, and the current instance is no
    /// longer heard, or has only reported once. Reports that were delayed arrive together.
    ///
    /// The last report was not a valid one then, or somebody else said that the backend server
    /// was leaving.
    fn is_alive_after_all(&mut self, now: Millis, report: &Report) -> bool {
        let is_other = |first: &Outdated| !first.report.is_same_instance(report);
        if self.outdated.as_ref().is_none_or(is_other) {
            self.outdated = Some(Outdated { report: report.clone(), since: now });
        }
        let interval_ms = self.bounds.report_ms / 2;
        let is_periodic = self
            .outdated
            .as_ref()
            .is_some_and(|first| first.is_followed(now, report, interval_ms));
        let is_current =
            self.report.as_ref().is_some_and(|last| last.is_same_instance(report));
        let is_contested = !is_current && !self.has_reported_again;
        is_periodic && (self.is_overdue(now) || self.is_leaving() || is_contested)
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

    /// Returns whether the backend server is gone since the last call because it had said
    /// that it was shutting down. Must be called every [`TICK_MS`].
    pub fn tick(&mut self, now: Millis) -> bool {
        self.ticks_since_report += 1;
        let has_ended = self
            .leaving_since
            .is_some_and(|leaving_since| now.since(leaving_since) >= LEAVE_DELAY_MS);
        has_ended && !std::mem::replace(&mut self.is_gone, true)
    }

    /// Whether a probe must show now if there is a process at the backend server's address:
    /// at the start, and when its reports are overdue. They may also be missing because the
    /// connection for them has stalled. Counts the probe as made.
    pub fn is_probe_due(&mut self) -> bool {
        let is_first = !std::mem::replace(&mut self.has_probed, true);
        if is_first && self.report.is_none() {
            return !self.is_gone;
        }
        let reports =
            if self.report.is_some() { OVERDUE_REPORTS } else { STARTUP_REPORTS };
        let wait_ms = |ticks| ticks * TICK_MS;
        let is_overdue =
            wait_ms(self.ticks_since_report) > self.bounds.report_ms * reports;
        let is_repeated = self.probed_tick.is_some_and(|probed| {
            wait_ms(self.ticks_since_report - probed)
                < self.bounds.report_ms * PROBE_REPORTS
        });
        let is_due = is_overdue && !is_repeated && !self.is_gone;
        if is_due {
            self.probed_tick = Some(self.ticks_since_report);
        }
        is_due
    }

    /// Records that a probe which began at `since` found no process at the backend server's
    /// address. Returns whether this is new; a report that has arrived since is newer.
    pub fn record_absence(&mut self, since: Millis) -> bool {
        let is_outdated = self.report.is_some() && self.last_report >= since;
        !is_outdated && !std::mem::replace(&mut self.is_gone, true)
    }

    /// Treats the backend server as cold until its next report.
    pub fn suspect_cold(&mut self) {
        self.may_be_cold = true;
    }

    /// Stops admitting openings.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Whether the agent's process is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping
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
            || self.is_draining(report)
            || !self.is_trusted(now);
        Some(match () {
            () if is_closed => Stage::Closed,
            () if self.is_cold(now) => Stage::Cold,
            () => Stage::Ready,
        })
    }

    /// Whether it may be running. Missing reports don't show that it isn't.
    pub fn may_be_running(&self) -> bool {
        !self.is_gone
    }

    /// Whether its next report is overdue.
    pub fn is_overdue(&self, now: Millis) -> bool {
        now.since(self.last_report) > self.bounds.report_ms * OVERDUE_REPORTS
    }

    /// Whether an opening that is delivered now can only reach the current instance, or a
    /// later one of the same service.
    pub fn is_trusted(&self, now: Millis) -> bool {
        let trusted_ms = self.bounds.address_reuse_ms.saturating_sub(DELIVERY_MS);
        now.since(self.alive_at) < trusted_ms && !self.is_overdue(now)
    }

    /// Checks whether it may be given an opening, apart from the rate limit of a cold one.
    /// `open` is the number of open flows, `connections` their maximum.
    ///
    /// # Errors
    /// If it can't be given another opening now.
    pub fn check(&self, now: Millis, open: u32, connections: u32) -> Result<(), Refusal> {
        let Some(report) = &self.report else { return Err(Refusal::Unknown) };
        if self.is_stopping {
            return Err(Refusal::Stopping);
        }
        if self.is_draining(report) || self.leaving_since.is_some() {
            return Err(Refusal::Draining);
        }
        if !self.is_trusted(now) {
            return Err(Refusal::Unknown);
        }
        if open >= connections { Err(Refusal::Full) } else { Ok(()) }
    }

    /// The time from which an opening may be delivered that `ahead` others precede, if a
    /// cold backend server can handle `cold_per_s` requests per second; `None` stands for
    /// no limit. Returns `None` if that time isn't known yet.
    pub fn opening_at(
        &mut self,
        now: Millis,
        ahead: usize,
        cold_per_s: Option<f64>,
    ) -> Option<Millis> {
        let Some(rate) = cold_per_s.filter(|_| self.is_cold(now)) else {
            return Some(now);
        };
        while self.openings.front().is_some_and(|at| now.since(*at) >= COLD_WINDOW_MS) {
            self.openings.pop_front();
        }
        let counted_at = self.counted_since.after(COLD_WINDOW_MS);
        let free_at = match (self.openings.len() + ahead)
            .checked_sub(self.cold_limit(rate))
        {
            None => Some(now),
            Some(index) => self.openings.get(index).map(|at| at.after(COLD_WINDOW_MS)),
        };
        let free_at = free_at.map(|at| at.max(counted_at));
        let warm_at = (!self.may_be_cold).then(|| self.warm_at());
        free_at.into_iter().chain(warm_at).min()
    }

    /// Counts a delivered opening towards the rate limit.
    pub fn record_opening(&mut self, now: Millis) {
        self.openings.push_back(now);
        // Warm backend servers have no limit, so older entries are not needed.
        while self.openings.front().is_some_and(|at| now.since(*at) >= COLD_WINDOW_MS) {
            self.openings.pop_front();
        }
    }

    /// Number of openings in [`COLD_WINDOW_MS`] that a cold backend server can accept.
    fn cold_limit(&self, cold_per_s: f64) -> usize {
        (cold_per_s * self.bounds.cold_factor + self.bounds.cold_slack) as usize
    }

    /// Whether it must be treated as cold.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.may_be_cold || now < self.warm_at()
    }

    /// When it becomes warm, whichever instance runs.
    fn warm_at(&self) -> Millis {
        let displaced = self.displaced.as_ref();
        self.cold_until.max(displaced.map_or(Millis(0), |displaced| displaced.cold_until))
    }

    /// Whether it must be treated as draining. `report` is the last report.
    fn is_draining(&self, report: &Report) -> bool {
        let displaced = self.displaced.as_ref();
        report.is_draining
            || displaced.is_some_and(|displaced| displaced.report.is_draining)
    }
}

impl Report {
    /// Whether both reports come from the same instance of a backend server, which never runs
    /// another service.
    pub fn is_same_instance(&self, other: &Self) -> bool {
        self.id == other.id
            && self.started_ms == other.started_ms
            && self.service == other.service
    }

    /// Whether it is one of the first reports of its instance, see [`record`].
    pub fn is_early(&self) -> bool {
        self.sequence <= EARLY_REPORTS
    }
}
