//! What an agent's entry in the store says of the instances of its backend server.
//!
//! Answers the seconds after a loss of power: callers go on with flows of before, and nobody
//! may end these as long as some backend server could hold them. An agent that has just
//! started can't tell what earlier processes have delivered to its backend server, unless it
//! is written down. So an agent delivers no opening to an instance that has just started before
//! its entry names that instance. A process that finds another instance in the entry, and gets
//! one of the first reports of the current one, knows that no earlier process has used it.
//!
//! A store that comes back from an older copy may have lost the record of a later instance, so
//! an entry proves nothing in another era of the store.
//!
//! Service doesn't depend on the store: an instance that has made more than [`EARLY_REPORTS`]
//! reports is given openings without a record. Reports are numbered, so no process takes it for
//! unused after that.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Report;

/// Number of reports that an instance makes before it can get openings without a record. After
/// a loss of power on many VMs, an agent that starts later than its backend server misses some.
pub const EARLY_REPORTS: u64 = 8;

/// Identifies an instance of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Instance {
    /// Hash of its identifier and its start time.
    hash: u64,
    /// Its start time in milliseconds since the Unix epoch, if known.
    started_ms: Option<u64>,
}

impl Instance {
    /// Whether this instance started before another one at the same address.
    pub fn precedes(&self, other: &Self) -> bool {
        let times = self.started_ms.zip(other.started_ms);
        self.hash != other.hash && times.is_some_and(|(own, other)| own < other)
    }
}

impl From<&Report> for Instance {
    fn from(report: &Report) -> Self {
        let started_ms = report.started_ms;
        let seed = started_ms.unwrap_or_default();
        Self { hash: xxh3_64_with_seed(report.id.as_bytes(), seed), started_ms }
    }
}

/// An instance that an agent's entry in the store names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Recorded {
    /// The last instance that processes of the agent may have delivered openings to.
    pub instance: Instance,
    /// Era of the store in which that was true, see
    /// [`Store::era`](lentilreach::process::store::Store::era). If the store has come back
    /// from an older copy since, a later record may be lost.
    pub era: u64,
}

impl Recorded {
    /// The instance, if no record of a later one can be lost in the present era of the store.
    pub fn current(self, era: u64) -> Option<Instance> {
        (self.era == era).then_some(self.instance)
    }
}

/// An instance that has reported to this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heard {
    /// The instance.
    pub instance: Instance,
    /// Whether it has reported more than once. The first report may be a delayed one.
    pub has_reported_again: bool,
}

/// What an agent's entry in the store says of the instance of its backend server.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Record {
    /// Not known: the entry has not been written yet, or the store doesn't answer.
    #[default]
    Unknown,
    /// There is no entry, or it names no instance. What earlier processes have used isn't
    /// known.
    Empty,
    /// The last instance that processes of this agent may have delivered openings to.
    Names(Instance),
}

impl Record {
    /// The label in log lines.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Empty => "empty",
            Self::Names(_) => "named",
        }
    }

    /// Whether no later process takes an instance for unused because of this record.
    pub fn covers(&self, instance: &Instance) -> bool {
        match self {
            Self::Unknown => false,
            Self::Empty => true,
            Self::Names(named) => named == instance,
        }
    }

    /// Whether the entry names an instance.
    pub fn names(&self, instance: &Instance) -> bool {
        matches!(self, Self::Names(named) if named == instance)
    }

    /// Whether an instance has probably ended: the entry names one that started later. While the
    /// entry isn't known, that can't be told.
    pub fn may_supersede(&self, instance: &Instance) -> bool {
        match self {
            Self::Unknown => true,
            Self::Empty => false,
            Self::Names(named) => instance.precedes(named),
        }
    }

    /// Whether the entry names an earlier instance, so that no process has used this one with
    /// a record. A report of an earlier instance may arrive late.
    pub fn excludes(&self, instance: &Instance) -> bool {
        matches!(self, Self::Names(named) if named.precedes(instance))
    }
}

impl From<Option<Instance>> for Record {
    /// The record of an entry that was read, or of a missing one.
    fn from(named: Option<Instance>) -> Self {
        named.map_or(Self::Empty, Self::Names)
    }
}
