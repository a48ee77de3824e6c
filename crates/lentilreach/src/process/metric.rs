//! All metrics of lentilreach, and handles for counting in hot paths.
//!
//! A handle resolves its counters once, when it is created; counting is then one atomic
//! addition without allocation. Counters are resolved with the recorder that is installed
//! at that time, so a daemon must call [`install`] first.

pub mod handle;
pub mod name;

use std::fmt::{self, Display, Formatter};

use metrics::{Counter, Gauge, Label as MetricLabel, Unit};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::process::event;

pub use handle::{Agent, Balancer, DroppedDatagrams, Envelope, Exchange, Store};
pub use name::*;

/// Definition of a metric.
#[derive(Debug, Clone, Copy)]
pub struct Metric {
    /// Name, which includes the unit; names of counters end in `_total`.
    pub name: &'static str,
    /// Type of the metric.
    pub kind: Kind,
    /// Unit of the values.
    pub unit: Unit,
    /// Names of the labels. Their values come from fixed lists or from the configuration.
    pub labels: &'static [&'static str],
    /// Meaning, as one sentence.
    pub help: &'static str,
}

/// Type of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Only increases, from zero at the process start.
    Counter,
    /// Increases and decreases.
    Gauge,
    /// Distribution of observed values.
    Histogram,
}

impl Kind {
    /// Name of the type in Prometheus.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        }
    }
}

/// The error of [`install`]: the process already has a metrics recorder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AlreadyInstalled;

impl Display for AlreadyInstalled {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(
            "the process already has a metrics recorder; install it once, at start",
        )
    }
}

impl std::error::Error for AlreadyInstalled {}

/// Installs the Prometheus recorder for the process and describes all metrics.
///
/// The returned handle renders the text that the admin endpoint serves.
///
/// # Errors
/// If the process already has a metrics recorder.
pub fn install() -> Result<PrometheusHandle, AlreadyInstalled> {
    let handle =
        PrometheusBuilder::new().install_recorder().map_err(|_| AlreadyInstalled)?;
    describe();
    Ok(handle)
}

/// Describes all metrics to the installed recorder.
pub fn describe() {
    describe_metrics(ALL);
}

/// Describes the given metrics to the installed recorder.
pub fn describe_metrics(list: &[&Metric]) {
    for metric in list {
        match metric.kind {
            Kind::Counter => {
                metrics::describe_counter!(metric.name, metric.unit, metric.help);
            }
            Kind::Gauge => {
                metrics::describe_gauge!(metric.name, metric.unit, metric.help);
            }
            Kind::Histogram => {
                metrics::describe_histogram!(metric.name, metric.unit, metric.help);
            }
        }
    }
}

/// Resolves the counter of a metric without labels.
pub fn counter(metric: &Metric) -> Counter {
    counter_with_labels(metric, &[])
}

/// Resolves the gauge of a metric without labels.
pub fn gauge(metric: &Metric) -> Gauge {
    gauge_with_labels(metric, &[])
}

/// Resolves the counter for events of one kind.
pub fn event_counter(label: event::Label) -> Counter {
    counter_with_labels(&EVENTS, &[label.as_str()])
}

/// Sets the configuration revision in force.
pub fn set_revision(revision: u64) {
    gauge(&CONFIG_REVISION).set(revision as f64);
}

/// Resolves the counter with the given label values, in the order of the metric's labels.
fn counter_with_labels(metric: &Metric, values: &[&str]) -> Counter {
    debug_assert_eq!(metric.kind, Kind::Counter, "{}", metric.name);
    metrics::counter!(metric.name, label_pairs(metric, values))
}

/// Resolves the gauge with the given label values, in the order of the metric's labels.
fn gauge_with_labels(metric: &Metric, values: &[&str]) -> Gauge {
    debug_assert_eq!(metric.kind, Kind::Gauge, "{}", metric.name);
    metrics::gauge!(metric.name, label_pairs(metric, values))
}

/// Combines the names of the metric's labels with values.
fn label_pairs(metric: &Metric, values: &[&str]) -> Vec<MetricLabel> {
    debug_assert_eq!(metric.labels.len(), values.len(), "{}", metric.name);
    let pairs = metric.labels.iter().zip(values);
    pairs.map(|(label, value)| MetricLabel::new(*label, value.to_string())).collect()
}
