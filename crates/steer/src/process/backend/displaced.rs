//! Instances of a backend server that a report contradicts. A single report may come from
//! another writer, so it is not believed at once that an instance has ended.

use lentilreach::Name;
use lentilreach::process::clock::Millis;

use super::Report;

/// An instance that another one seems to have replaced although it was still heard. Its flows
/// are kept until that is certain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Displaced {
    /// Its last report.
    pub(super) report: Report,
    /// When that arrived.
    pub(super) last_report: Millis,
    /// When it becomes warm.
    pub(super) cold_until: Millis,
}

impl Displaced {
    /// When its last report arrived. Flows that were offered later may be at the instance after
    /// it.
    pub fn last_report(&self) -> Millis {
        self.last_report
    }

    /// The service that it ran.
    pub fn service(&self) -> &Name {
        &self.report.service
    }
}

/// A report that seemed older than the last one.
#[derive(Debug, Clone)]
pub(super) struct Outdated {
    /// The report.
    pub report: Report,
    /// When it arrived.
    pub since: Millis,
}

impl Outdated {
    /// Whether a report of the same instance follows this one as those of a running backend
    /// server do. Reports that were delayed arrive together.
    pub fn is_followed(&self, now: Millis, next: &Report, interval_ms: u64) -> bool {
        next.sequence > self.report.sequence && now.since(self.since) >= interval_ms
    }
}
