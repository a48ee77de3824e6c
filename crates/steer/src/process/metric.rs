//! The metrics of this front end.
//!
//! Segments of established flows that are delivered directly are not counted. Exceptional
//! events are counted by cause.

use std::time::Duration;

use async_io::Timer;
use lentilreach::process::metric::{Kind, Metric};
use metrics::Unit;
use metrics_exporter_prometheus::PrometheusHandle;

/// Defines a counter.
const fn counter(
    name: &'static str,
    labels: &'static [&'static str],
    help: &'static str,
) -> Metric {
    Metric { name, kind: Kind::Counter, unit: Unit::Count, labels, help }
}

/// Defines a gauge.
const fn gauge(
    name: &'static str,
    unit: Unit,
    labels: &'static [&'static str],
    help: &'static str,
) -> Metric {
    Metric { name, kind: Kind::Gauge, unit, labels, help }
}

/// Defines a histogram of durations in seconds.
const fn seconds(name: &'static str, help: &'static str) -> Metric {
    Metric { name, kind: Kind::Histogram, unit: Unit::Seconds, labels: &[], help }
}

/// Flows whose first segment at this balancer was sent to an agent.
pub const SENT: Metric = counter(
    "lentilreach_steer_sent_total",
    &["search"],
    "Flows whose first segment at this balancer was sent to an agent.",
);

/// Flows that were offered to the backend server, that is, whose opening segment was
/// delivered.
pub const OFFERED: Metric = counter(
    "lentilreach_steer_offered_total",
    &[],
    "Flows that the agent offered to its backend server.",
);

/// Segments that the agent forwarded to another agent.
pub const PASSED: Metric = counter(
    "lentilreach_steer_passed_total",
    &["reason"],
    "Segments that the agent passed on to another agent.",
);

/// Openings that waited until the backend server had room for them.
pub const HELD: Metric = counter(
    "lentilreach_steer_held_total",
    &[],
    "Openings that waited until the backend server had room for them.",
);

/// Segments of requests on open flows that waited until the backend server had room.
pub const REQUESTS_HELD: Metric = counter(
    "lentilreach_steer_requests_held_total",
    &[],
    "Segments of requests on open flows that waited until the backend server had room.",
);

/// Flows that were refused or ended with a reset.
pub const REFUSED: Metric = counter(
    "lentilreach_steer_refused_total",
    &["reason"],
    "Flows that the process refused or ended with a reset.",
);

/// Flows that ended with their backend server.
pub const ENDED: Metric = counter(
    "lentilreach_steer_ended_total",
    &["reason"],
    "Open flows that ended with their backend server.",
);

/// Segments that were dropped.
pub const DROPPED: Metric = counter(
    "lentilreach_steer_dropped_total",
    &["reason"],
    "Segments that the process dropped.",
);

/// Datagrams and entries that could not be parsed.
pub const INVALID: Metric = counter(
    "lentilreach_steer_invalid_total",
    &["reason"],
    "Datagrams and entries that the process could not read.",
);

/// Datagrams that the operating system did not accept for sending.
pub const SEND_ERRORS: Metric = counter(
    "lentilreach_steer_send_errors_total",
    &[],
    "Datagrams that the system did not take.",
);

/// Questions of a home node to all other agents.
pub const QUESTIONS: Metric = counter(
    "lentilreach_steer_questions_total",
    &[],
    "Questions of a home node to all other agents whether a flow has ended.",
);

/// Messages with entries of a home node's index for other agents.
pub const HANDOVERS: Metric = counter(
    "lentilreach_steer_handovers_total",
    &[],
    "Messages with entries of a home node's index that were sent to other agents.",
);

/// Segments that arrived before the process was ready.
pub const KEPT: Metric = counter(
    "lentilreach_steer_kept_total",
    &[],
    "Segments that waited until the process knew the configuration and the members.",
);

/// Segments of unknown flows that waited for the answers of other agents.
pub const POSTPONED: Metric = counter(
    "lentilreach_steer_postponed_total",
    &[],
    "Segments of unknown flows that waited for the answers of other agents.",
);

/// Heartbeats that arrived after a later one of the same process.
pub const HEARTBEATS_OUTDATED: Metric = counter(
    "lentilreach_steer_beats_outdated_total",
    &[],
    "Beats that came after a later one of the same process.",
);

/// Changes of the documents that came from another node.
pub const DOCUMENTS_RECEIVED: Metric = counter(
    "lentilreach_steer_documents_received_total",
    &[],
    "Changes of the operators' documents that came from another node.",
);

/// Log lines that were dropped.
pub const LINES_DROPPED: Metric = counter(
    "lentilreach_steer_lines_dropped_total",
    &[],
    "Log lines that were dropped because standard output was not read in time.",
);

/// Time from the opening segment to the acceptance by the backend server.
pub const ACCEPT_SECONDS: Metric = seconds(
    "lentilreach_steer_accept_seconds",
    "Time from the delivery of an opening segment to its acceptance by the backend server.",
);

/// Time for which openings waited.
pub const WAIT_SECONDS: Metric = seconds(
    "lentilreach_steer_wait_seconds",
    "Time for which openings waited until the backend server had room for them.",
);

/// Time for which segments of unknown flows waited.
pub const SEARCH_WAIT_SECONDS: Metric = seconds(
    "lentilreach_steer_search_wait_seconds",
    "Time for which segments of unknown flows waited for the answers of other agents.",
);

/// Time from a request to the first segment of its answer.
pub const ANSWER_SECONDS: Metric = seconds(
    "lentilreach_steer_answer_seconds",
    "Time from the delivery of a request to the first segment of its answer.",
);

/// Time of a request in a slot, relative to what was expected.
pub const COST_RATIO: Metric = Metric {
    name: "lentilreach_steer_cost_ratio",
    kind: Kind::Histogram,
    unit: Unit::Count,
    labels: &[],
    help: "Time that a request took in a slot, divided by the time that was expected.",
};

/// Expected time of a request in a slot of the backend server.
pub const REQUEST_SECONDS: Metric = gauge(
    "lentilreach_steer_request_seconds",
    Unit::Seconds,
    &[],
    "Expected time that a request takes in a slot of the backend server.",
);

/// Mean number of requests that the backend server has been given.
pub const GIVEN: Metric = gauge(
    "lentilreach_steer_given",
    Unit::Count,
    &[],
    "Mean number of openings and requests that the backend server has been given.",
);

/// Mean number of waiting openings and requests by priority.
pub const WAITING: Metric = gauge(
    "lentilreach_steer_waiting",
    Unit::Count,
    &["priority"],
    "Mean number of openings and requests that wait for the backend server.",
);

/// The least urgent priority that the backend server has room for.
pub const PRIORITY_FLOOR: Metric = gauge(
    "lentilreach_steer_priority_floor",
    Unit::Count,
    &[],
    "The least urgent priority that the backend server has room for; 255 for all.",
);

/// Number of services whose backend servers differ in speed.
pub const UNEVEN_SERVICES: Metric = gauge(
    "lentilreach_steer_uneven_services",
    Unit::Count,
    &[],
    "Services whose backend servers differ in speed, as the node judges it.",
);

/// Bytes of messages to other nodes.
pub const MESSAGE_BYTES: Metric = Metric {
    unit: Unit::Bytes,
    ..counter(
        "lentilreach_steer_message_bytes_total",
        &["kind"],
        "Bytes of messages to other nodes, without the headers of datagrams.",
    )
};

/// Number of nodes that forwarded a segment before it was delivered.
pub const HOPS: Metric = Metric {
    name: "lentilreach_steer_hops",
    kind: Kind::Histogram,
    unit: Unit::Count,
    labels: &[],
    help: "Agents that passed a segment on before it was delivered.",
};

/// All metrics, in the order of the metrics page for operators.
pub const ALL: &[&Metric] = &[
    &SENT,
    &OFFERED,
    &PASSED,
    &HELD,
    &REQUESTS_HELD,
    &REFUSED,
    &ENDED,
    &DROPPED,
    &INVALID,
    &SEND_ERRORS,
    &MESSAGE_BYTES,
    &QUESTIONS,
    &HANDOVERS,
    &KEPT,
    &POSTPONED,
    &HEARTBEATS_OUTDATED,
    &DOCUMENTS_RECEIVED,
    &LINES_DROPPED,
    &ACCEPT_SECONDS,
    &WAIT_SECONDS,
    &SEARCH_WAIT_SECONDS,
    &ANSWER_SECONDS,
    &COST_RATIO,
    &REQUEST_SECONDS,
    &GIVEN,
    &WAITING,
    &PRIORITY_FLOOR,
    &UNEVEN_SERVICES,
    &HOPS,
];

/// Merges recorded samples into their histograms at an interval, until it is cancelled.
/// The recorder keeps each sample in memory until then, unless the metrics are read.
pub async fn keep_up(handle: PrometheusHandle, interval: Duration) {
    loop {
        Timer::after(interval).await;
        handle.run_upkeep();
    }
}

/// Increments a counter without labels.
pub fn count(metric: &Metric) {
    metrics::counter!(metric.name).increment(1);
}

/// Increments a counter with a value for its label.
pub fn count_labelled(metric: &Metric, value: &'static str) {
    if let [label] = metric.labels {
        metrics::counter!(metric.name, *label => value).increment(1);
    }
}

/// Sets a counter with a value for its label to a total that is kept elsewhere.
pub fn set_total(metric: &Metric, value: &'static str, total: u64) {
    if let [label] = metric.labels {
        metrics::counter!(metric.name, *label => value).absolute(total);
    }
}

/// Sets a gauge without labels.
pub fn set(metric: &Metric, value: f64) {
    metrics::gauge!(metric.name).set(value);
}

/// Sets a gauge for a priority. Priorities from 4 share a label, so that a configuration
/// can't create any number of series.
pub fn set_priority(metric: &Metric, priority: u8, value: f64) {
    if let [label] = metric.labels {
        let name = PRIORITIES.get(usize::from(priority)).unwrap_or(&OTHER_PRIORITIES);
        metrics::gauge!(metric.name, *label => *name).set(value);
    }
}

/// Labels of the most urgent priorities.
const PRIORITIES: [&str; 4] = ["0", "1", "2", "3"];

/// Label of all other priorities.
const OTHER_PRIORITIES: &str = "others";

/// Records a value in a histogram.
pub fn record(metric: &Metric, value: f64) {
    metrics::histogram!(metric.name).record(value);
}

/// Records a duration, given in milliseconds, in a histogram of seconds.
pub fn record_ms(metric: &Metric, ms: u64) {
    record(metric, ms as f64 / 1_000.0);
}
