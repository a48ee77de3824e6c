//! All metrics of lentilreach, and handles that hot paths count by.
//!
//! A handle resolves its counters once, when it is made; counting is then one atomic
//! addition without allocation. Handles resolve at the recorder that is installed at that
//! time, so [`install`] comes first in a daemon.

pub mod handle;
pub mod name;

use std::fmt::{self, Display, Formatter};

use metrics::{Counter, Gauge, Label as Tag, Unit};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::process::event;

pub use handle::{Agent, Balancer, Dropped, Envelope, Exchange, Store};
pub use name::*;

/// A metric: what it is called and what it means.
#[derive(Debug, Clone, Copy)]
pub struct Metric {
    /// The name, with the unit in it; counters end in `_total`.
    pub name: &'static str,
    /// Counter, gauge or histogram.
    pub form: Form,
    /// The unit of the value.
    pub unit: Unit,
    /// Names of the labels. Their values come from fixed lists or the configuration.
    pub labels: &'static [&'static str],
    /// The meaning, as one sentence.
    pub help: &'static str,
}

/// How a metric behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// Only rises, from zero at the process start.
    Counter,
    /// Rises and falls.
    Gauge,
    /// How values are distributed.
    Histogram,
}

impl Form {
    /// The word for it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        }
    }
}

/// Why metrics cannot be installed: the process already has a metrics recorder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Installed;

impl Display for Installed {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(
            "the process already has a metrics recorder; install it once, at start",
        )
    }
}

impl std::error::Error for Installed {}

/// Installs the Prometheus recorder for the process and describes all metrics.
///
/// The returned handle renders the text that the admin endpoint serves.
///
/// # Errors
/// If the process already has a metrics recorder.
pub fn install() -> Result<PrometheusHandle, Installed> {
    let handle = PrometheusBuilder::new().install_recorder().map_err(|_| Installed)?;
    describe();
    Ok(handle)
}

/// Gives the recorder the meaning of every metric.
pub fn describe() {
    describe_all(ALL);
}

/// Gives the recorder the meaning of some metrics.
pub fn describe_all(list: &[&Metric]) {
    for metric in list {
        match metric.form {
            Form::Counter => {
                metrics::describe_counter!(metric.name, metric.unit, metric.help);
            }
            Form::Gauge => {
                metrics::describe_gauge!(metric.name, metric.unit, metric.help);
            }
            Form::Histogram => {
                metrics::describe_histogram!(metric.name, metric.unit, metric.help);
            }
        }
    }
}

/// The counter of a metric without labels.
pub fn counter(metric: &Metric) -> Counter {
    tagged(metric, &[])
}

/// The gauge of a metric without labels.
pub fn gauge(metric: &Metric) -> Gauge {
    level(metric, &[])
}

/// The counter of events of one kind.
pub fn event(label: event::Label) -> Counter {
    tagged(&EVENTS, &[label.as_str()])
}

/// Sets the configuration revision in force.
pub fn revision(revision: u64) {
    gauge(&CONFIG_REVISION).set(revision as f64);
}

/// A counter with the values of the metric's labels, in their order.
fn tagged(metric: &Metric, values: &[&str]) -> Counter {
    debug_assert_eq!(metric.form, Form::Counter, "{}", metric.name);
    metrics::counter!(metric.name, tags(metric, values))
}

/// A gauge with the values of the metric's labels, in their order.
fn level(metric: &Metric, values: &[&str]) -> Gauge {
    debug_assert_eq!(metric.form, Form::Gauge, "{}", metric.name);
    metrics::gauge!(metric.name, tags(metric, values))
}

/// Pairs the metric's labels with their values.
fn tags(metric: &Metric, values: &[&str]) -> Vec<Tag> {
    debug_assert_eq!(metric.labels.len(), values.len(), "{}", metric.name);
    let pairs = metric.labels.iter().zip(values);
    pairs.map(|(label, value)| Tag::new(*label, value.to_string())).collect()
}
