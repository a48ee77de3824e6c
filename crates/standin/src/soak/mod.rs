//! A fault soak of the real daemons.
//!
//! 1. [`schedule`] draws faults from the seed.
//! 2. [`run`] starts a store, [`backend`] servers, the daemons as [`process`]es, [`router`]s
//!    and [`caller`]s, on loopback addresses of the [`layout`].
//! 3. It plays the schedule, while callers and backend servers [`record`] what they see.
//! 4. [`verdict`] judges the record. Counters of the daemons are not asked.

mod backend;
mod caller;
mod deployment;
mod http;
pub mod layout;
mod payload;
mod process;
pub mod record;
mod router;
pub mod schedule;
pub mod verdict;

use std::fmt::{self, Display, Formatter};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use async_io::Timer;
use futures_lite::future::or;
use lentilreach::process::signal::Listener;
use serde::Serialize;

use deployment::Deployment;
use layout::Layout;
use record::{Event, Fact, Record};
use schedule::{CALM_END_MS, Size};
use verdict::{Promise, Violation, Window};

/// Time after the last fault until service is measured, in milliseconds.
const RECOVERY_MS: u64 = 5_000;

/// Time before the end of the run in which no request counts, so that each has time to be
/// answered, in milliseconds.
const LAST_MS: u64 = 2_000;

/// Number of callers.
const CALLERS: u8 = 48;

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Seed of the schedule.
    pub seed: u64,
    /// Length of the run after its start, in seconds.
    pub seconds: u64,
    /// Numbers of processes.
    pub size: Size,
    /// Folder of the daemons.
    pub programs: PathBuf,
    /// Promises that are known to be broken: violations are reported, and are no failure.
    pub known: Vec<Promise>,
    /// Folder for logs, kept in any case. Without one, a temporary folder is removed unless
    /// a promise was broken.
    pub logs: Option<PathBuf>,
}

/// The result of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Length in seconds.
    pub seconds: u64,
    /// Number of steps of the schedule.
    pub steps: usize,
    /// Flows opened.
    pub flows_opened: usize,
    /// Openings that failed.
    pub flows_not_opened: usize,
    /// Open flows that were reset, by whomever.
    pub flows_reset: usize,
    /// Requests sent.
    pub requests_sent: usize,
    /// Requests answered.
    pub requests_answered: usize,
    /// Share of requests and openings begun in the last seconds that were answered.
    pub answered_at_end: f64,
    /// Longest time for which this process itself stood still, in milliseconds.
    pub own_pause_ms: u64,
    /// Broken promises that are listed as known.
    pub known: Vec<Violation>,
    /// Other broken promises.
    pub violations: Vec<Violation>,
    /// Folder with the logs, if it was kept.
    pub logs: Option<PathBuf>,
}

/// Why a run could not be judged.
#[derive(Debug)]
pub enum Error {
    /// A step of the run failed.
    Failed {
        /// The step.
        step: &'static str,
        /// What it was about.
        peer: String,
        /// The cause.
        cause: io::Error,
    },
    /// The deployment did not become ready.
    NotReady {
        /// Folder with the logs.
        logs: PathBuf,
    },
    /// A signal asked the run to stop.
    Interrupted,
}

impl Error {
    /// Converts an error of the system.
    fn new(step: &'static str, peer: impl Display, cause: io::Error) -> Self {
        Self::Failed { step, peer: peer.to_string(), cause }
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed { step, peer, cause } => {
                write!(f, "step={step} peer={peer} {cause}")
            }
            Self::NotReady { logs } => {
                write!(
                    f,
                    "step=start peer=deployment not ready, logs in {}",
                    logs.display()
                )
            }
            Self::Interrupted => write!(f, "step=run peer=system interrupted"),
        }
    }
}

impl std::error::Error for Error {}

/// Runs a soak. Calls `progress` with a line for each step. All processes that it started have
/// ended when it returns.
///
/// # Errors
/// If a program, socket or file is missing, if the deployment doesn't become ready, or after
/// SIGINT or SIGTERM.
pub fn run(settings: &Settings, progress: impl Fn(&str)) -> Result<Report, Error> {
    let mut signals = Listener::new().map_err(|e| Error::new("signal", "system", e))?;
    let folder = Folder::create(settings.logs.as_deref())?;
    let layout = Layout::new(settings.size.balancers, settings.size.agents, CALLERS);
    let record = Record::new();
    let played = smol::block_on(or(
        async {
            let mut deployment =
                Deployment::start(layout, settings, &folder.path, &record).await?;
            deployment.play(settings, &progress).await
        },
        async {
            // A failure to wait for signals ends the run as a signal does.
            let _ = signals.wait().await;
            Err(Error::Interrupted)
        },
    ));
    let played = match played {
        Ok(played) => played,
        Err(error) => {
            folder.finish(matches!(error, Error::NotReady { .. }));
            return Err(error);
        }
    };
    let end_ms = settings.seconds * 1_000;
    let from_ms = end_ms.saturating_sub(CALM_END_MS - RECOVERY_MS);
    let window = Window { from_ms, to_ms: end_ms.saturating_sub(LAST_MS) };
    let violations = verdict::judge(&played.events, window);
    let mut report = report(settings, &played, window, violations);
    write_timeline(&folder.path, &played.events, &report)
        .map_err(|e| Error::new("write", folder.path.display(), e))?;
    report.logs = folder.finish(!report.violations.is_empty());
    Ok(report)
}

/// What a run has left behind.
#[derive(Debug)]
struct Played {
    /// Number of steps of the schedule.
    steps: usize,
    /// The observations.
    events: Vec<Event>,
    /// Longest time for which this process itself stood still, in milliseconds.
    own_pause_ms: u64,
}

/// Creates the report.
fn report(
    settings: &Settings,
    played: &Played,
    window: Window,
    violations: Vec<Violation>,
) -> Report {
    let (known, violations) =
        violations.into_iter().partition(|v| settings.known.contains(&v.promise));
    let count = |is: fn(&Fact) -> bool| {
        played.events.iter().filter(|event| is(&event.fact)).count()
    };
    Report {
        seed: settings.seed,
        seconds: settings.seconds,
        steps: played.steps,
        flows_opened: count(|fact| matches!(fact, Fact::Opened { .. })),
        flows_not_opened: count(|fact| matches!(fact, Fact::NotOpened { .. })),
        flows_reset: count(|fact| matches!(fact, Fact::Reset { .. })),
        requests_sent: count(|fact| matches!(fact, Fact::Sent { .. })),
        requests_answered: count(|fact| matches!(fact, Fact::Answered { .. })),
        answered_at_end: verdict::answered(&played.events, window).0,
        own_pause_ms: played.own_pause_ms,
        known,
        violations,
        logs: None,
    }
}

/// Writes faults and violations, then all that was seen of the flows that the violations name.
fn write_timeline(folder: &Path, events: &[Event], report: &Report) -> io::Result<()> {
    let mut text = String::new();
    let violations = || report.violations.iter().chain(&report.known);
    for violation in violations() {
        text += &format!("seed={} {violation}\n", report.seed);
    }
    for event in events {
        let line = format!("{:?}", event.fact);
        let is_general =
            matches!(event.fact, Fact::Fault { .. } | Fact::Configured { .. });
        let is_named = flow_of(&event.fact).is_some_and(|flow| {
            let flow = Some(flow.to_string());
            violations().any(|violation| violation.flow == flow)
        });
        if is_general || is_named {
            text += &format!("{:>6} ms {line}\n", event.at_ms);
        }
    }
    std::fs::write(folder.join("timeline.txt"), text)
}

/// The flow that an observation is about.
fn flow_of(fact: &Fact) -> Option<lentilreach_steer::connection::flow::Key> {
    match fact {
        Fact::Accepted { flow, .. }
        | Fact::Delivered { flow, .. }
        | Fact::ServerReset { flow, .. }
        | Fact::Ran { flow, .. }
        | Fact::Opening { flow, .. }
        | Fact::NotOpened { flow }
        | Fact::Opened { flow, .. }
        | Fact::Reset { flow, .. }
        | Fact::Closed { flow }
        | Fact::Sent { flow, .. }
        | Fact::Answered { flow, .. }
        | Fact::Strayed { flow, .. } => Some(*flow),
        _ => None,
    }
}

/// The folder with settings and logs.
#[derive(Debug)]
struct Folder {
    /// Its path.
    path: PathBuf,
    /// Whether it is removed unless there is a reason to keep it.
    is_temporary: bool,
}

impl Folder {
    /// Creates the folder.
    fn create(logs: Option<&Path>) -> Result<Self, Error> {
        let temporary = || {
            std::env::temp_dir().join(format!("lentilreach-soak-{}", std::process::id()))
        };
        let path = logs.map_or_else(temporary, Path::to_path_buf);
        let created = std::fs::create_dir_all(&path);
        created.map_err(|e| Error::new("create", path.display(), e))?;
        Ok(Self { path, is_temporary: logs.is_none() })
    }

    /// Removes the folder if it is temporary and need not be kept. Returns the path if it
    /// remains.
    fn finish(self, must_keep: bool) -> Option<PathBuf> {
        if self.is_temporary && !must_keep {
            // A folder that remains does no harm.
            let _ = std::fs::remove_dir_all(&self.path);
            return None;
        }
        Some(self.path)
    }
}

/// Waits for a time in milliseconds.
async fn sleep(ms: u64) {
    Timer::after(Duration::from_millis(ms)).await;
}
