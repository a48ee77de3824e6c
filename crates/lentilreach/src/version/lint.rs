//! Finds what is valid in a configuration but hardly meant.
//!
//! Each rule is a function of one service or of the document, and has a code that stays the
//! same.

use std::fmt::{self, Display, Formatter};

use crate::process::input::Place;
use crate::process::name::Name;
use crate::version::config::{Document, Limits};

/// Something in a configuration that is wrong or hardly meant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Identifies the rule.
    pub code: &'static str,
    /// How bad it is.
    pub severity: Severity,
    /// The position in the file, if known.
    pub place: Option<Place>,
    /// What was found.
    pub message: String,
    /// How to correct it.
    pub hint: &'static str,
}

/// How bad a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Valid, but hardly meant.
    Warning,
    /// Some requests can't be served.
    Error,
}

impl Severity {
    /// The name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Warning => "warning",
            Self::Error => "error",
        }
    }
}

impl Finding {
    /// Creates a warning without a position.
    pub fn warning(code: &'static str, message: String, hint: &'static str) -> Self {
        Self { code, severity: Severity::Warning, place: None, message, hint }
    }

    /// Creates an error without a position.
    pub fn error(code: &'static str, message: String, hint: &'static str) -> Self {
        Self { severity: Severity::Error, ..Self::warning(code, message, hint) }
    }

    /// Returns the finding at a position.
    pub fn at(self, place: Place) -> Self {
        Self { place: Some(place), ..self }
    }
}

impl Display for Finding {
    /// Writes the position, the severity and the code before the message, and the hint on a
    /// line of its own.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if let Some(Place { line, column }) = self.place {
            write!(f, "{line}:{column}: ")?;
        }
        let Self { code, message, hint, .. } = self;
        write!(f, "{}[{code}]: {message}\n  hint: {hint}", self.severity.as_str())
    }
}

/// Shortest time that a request takes for [`queue_too_long`], in milliseconds.
const MIN_REQUEST_MS: u64 = 10;

/// Returns the findings in a document, sorted by position.
pub fn findings(document: &Document) -> Vec<Finding> {
    let mut findings: Vec<_> = document
        .unused_templates()
        .iter()
        .map(|(name, place)| unused_template(name).at(*place))
        .collect();
    for (service, place) in document.placed_services() {
        let rules = [
            drain_too_short(&service.name, &service.limits),
            queue_too_long(&service.name, &service.limits),
            too_few_connections(&service.name, &service.limits),
            idle_cold_limit(&service.name, &service.limits),
        ];
        findings.extend(rules.into_iter().flatten().map(|finding| finding.at(place)));
    }
    findings.sort_by_key(|finding| finding.place);
    findings
}

/// Failure domains of a document in which no balancer holds a relay slot. `occupied` lists the
/// failure domains in which one does; if there are none, no balancer has started yet, and
/// nothing is found.
pub fn empty_domains(document: &Document, occupied: &[&str]) -> Vec<Finding> {
    let is_empty = |domain: &&Name| !occupied.contains(&&***domain);
    let empty = document.domains.iter().filter(is_empty);
    let finding = |domain| {
        let message = format!("no balancer runs in failure domain {domain}");
        let hint = "correct its name, or start balancers in it";
        Finding::warning("empty-domain", message, hint).at(document.domains_place())
    };
    empty.filter(|_| !occupied.is_empty()).map(finding).collect()
}

/// A template that no service names.
fn unused_template(name: &str) -> Finding {
    let message = format!("no service uses template {name}");
    Finding::warning("unused-template", message, "remove it, or name it in a service")
}

/// A drain that ends before a request has to.
pub fn drain_too_short(service: &str, limits: &Limits) -> Option<Finding> {
    let Limits { leave_ms, deadline_ms, .. } = *limits;
    (leave_ms < deadline_ms).then(|| {
        let message = format!(
            "{service}: leave_ms is {leave_ms}, but a request may take {deadline_ms} ms, so a \
             drain cuts requests"
        );
        let hint = "set leave_ms to deadline_ms or more";
        Finding::warning("drain-too-short", message, hint)
    })
}

/// A queue whose last request can't be answered before its deadline.
pub fn queue_too_long(service: &str, limits: &Limits) -> Option<Finding> {
    let Limits { slots, queue, deadline_ms, .. } = *limits;
    // The last one waits until each slot has run its part of the queue.
    let rounds = u64::from(queue).div_ceil(u64::from(slots.max(1))) + 1;
    let longest_ms = deadline_ms / rounds;
    (longest_ms < MIN_REQUEST_MS).then(|| {
        let message = format!(
            "{service}: with queue {queue} and slots {slots}, requests have to end within \
             {longest_ms} ms, or the last one misses deadline_ms {deadline_ms}"
        );
        let hint = "shorten the queue, so that requests are refused at once";
        Finding::warning("queue-too-long", message, hint)
    })
}

/// Fewer flows than slots: a flow has one request that is not answered at a time.
pub fn too_few_connections(service: &str, limits: &Limits) -> Option<Finding> {
    let Limits { connections, slots, .. } = *limits;
    (connections < u32::from(slots)).then(|| {
        let message = format!(
            "{service}: connections is {connections}, below slots, which is {slots}, so some \
             slots are never used"
        );
        let hint = "set connections to slots or more";
        Finding::warning("too-few-connections", message, hint)
    })
}

/// A limit for cold backend servers that limits nothing.
pub fn idle_cold_limit(service: &str, limits: &Limits) -> Option<Finding> {
    let Limits { cold_slots, slots, cold_ms, .. } = *limits;
    (cold_slots == slots && slots > 1).then(|| {
        let message = format!(
            "{service}: cold_slots equals slots, so cold_ms {cold_ms} has no effect"
        );
        let hint = "lower cold_slots to what a cold backend server bears";
        Finding::warning("idle-cold-limit", message, hint)
    })
}
