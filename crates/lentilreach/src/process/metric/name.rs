//! The metrics by name. `docs/metrics.md` says what to do when one of them moves.

use metrics::Unit;

use crate::process::metric::{Form, Metric};

/// Every metric, in the order of `docs/metrics.md`.
pub const ALL: &[&Metric] = &[
    &DATAGRAMS_RECEIVED,
    &DATAGRAMS_FORWARDED,
    &DATAGRAMS_RETURNED,
    &DATAGRAMS_DROPPED,
    &ENVELOPES_REJECTED,
    &FLOWS_ADMITTED,
    &FLOWS_HANDED_ON,
    &FLOWS_REFUSED,
    &FLOWS_CLOSED,
    &FLOWS_OPEN,
    &REQUESTS_RUN,
    &REQUESTS_ANSWERED,
    &REQUESTS_REFUSED,
    &REQUESTS_UNKNOWN,
    &QUEUE_LENGTH,
    &SLOTS_BUSY,
    &AGENT_DROPPED,
    &EXCHANGE_SENT,
    &EXCHANGE_RECEIVED,
    &STORE_CALLS,
    &CONFIG_REVISION,
    &EVENTS,
    &EVENTS_OVERWRITTEN,
];

/// A counter.
const fn count(
    name: &'static str,
    labels: &'static [&'static str],
    help: &'static str,
) -> Metric {
    Metric { name, form: Form::Counter, unit: Unit::Count, labels, help }
}

/// A gauge.
const fn size(
    name: &'static str,
    labels: &'static [&'static str],
    help: &'static str,
) -> Metric {
    Metric { name, form: Form::Gauge, unit: Unit::Count, labels, help }
}

/// Counts datagrams from callers.
pub const DATAGRAMS_RECEIVED: Metric = count(
    "lentilreach_balancer_datagrams_received_total",
    &[],
    "Datagrams from callers that the balancer received.",
);

/// Counts datagrams forwarded to agents.
pub const DATAGRAMS_FORWARDED: Metric = count(
    "lentilreach_balancer_datagrams_forwarded_total",
    &["path"],
    "Datagrams that the balancer forwarded to an agent, by token or by offer.",
);

/// Counts datagrams returned to callers.
pub const DATAGRAMS_RETURNED: Metric = count(
    "lentilreach_balancer_datagrams_returned_total",
    &[],
    "Datagrams from agents that the balancer returned to callers.",
);

/// Counts dropped datagrams.
pub const DATAGRAMS_DROPPED: Metric = count(
    "lentilreach_balancer_datagrams_dropped_total",
    &["reason"],
    "Datagrams that the balancer dropped.",
);

/// Counts envelopes that were not accepted.
pub const ENVELOPES_REJECTED: Metric = count(
    "lentilreach_envelopes_rejected_total",
    &["fault"],
    "Envelopes that the process rejected.",
);

/// Counts admitted flows.
pub const FLOWS_ADMITTED: Metric = count(
    "lentilreach_agent_flows_admitted_total",
    &["service"],
    "New flows that the agent admitted.",
);

/// Counts flows handed on.
pub const FLOWS_HANDED_ON: Metric = count(
    "lentilreach_agent_flows_handed_on_total",
    &["service"],
    "New flows that the agent handed on to the next candidate.",
);

/// Counts refused flows.
pub const FLOWS_REFUSED: Metric = count(
    "lentilreach_agent_flows_refused_total",
    &["service", "reason"],
    "New flows that the agent refused as the last candidate.",
);

/// Counts closed flows.
pub const FLOWS_CLOSED: Metric = count(
    "lentilreach_agent_flows_closed_total",
    &["service", "cause"],
    "Flows of the agent that closed.",
);

/// Open flows.
pub const FLOWS_OPEN: Metric =
    size("lentilreach_agent_flows_open", &["service"], "Open flows of the agent.");

/// Counts requests given to the backend server.
pub const REQUESTS_RUN: Metric = count(
    "lentilreach_agent_requests_run_total",
    &["service"],
    "Requests that the agent began to send to its backend server.",
);

/// Counts answered requests.
pub const REQUESTS_ANSWERED: Metric = count(
    "lentilreach_agent_requests_answered_total",
    &["service"],
    "Requests answered with a complete response of the backend server.",
);

/// Counts refused requests.
pub const REQUESTS_REFUSED: Metric = count(
    "lentilreach_agent_requests_refused_total",
    &["service"],
    "Requests refused with the outcome not-run.",
);

/// Counts requests of unknown outcome.
pub const REQUESTS_UNKNOWN: Metric = count(
    "lentilreach_agent_requests_unknown_total",
    &["service"],
    "Requests answered with the outcome unknown.",
);

/// Requests waiting.
pub const QUEUE_LENGTH: Metric = size(
    "lentilreach_agent_queue_length",
    &["service"],
    "Requests that wait at the agent for a slot.",
);

/// Slots in use.
pub const SLOTS_BUSY: Metric = size(
    "lentilreach_agent_slots_busy",
    &["service"],
    "Slots of the backend server that are in use.",
);

/// Counts datagrams that an agent dropped.
pub const AGENT_DROPPED: Metric = count(
    "lentilreach_agent_datagrams_dropped_total",
    &["reason"],
    "Datagrams from balancers that the agent dropped.",
);

/// Counts bytes sent in the gossip exchange.
pub const EXCHANGE_SENT: Metric = Metric {
    unit: Unit::Bytes,
    ..count(
        "lentilreach_exchange_sent_bytes_total",
        &["priority"],
        "Bytes that the process sent in the gossip exchange.",
    )
};

/// Counts bytes received in the gossip exchange.
pub const EXCHANGE_RECEIVED: Metric = Metric {
    unit: Unit::Bytes,
    ..count(
        "lentilreach_exchange_received_bytes_total",
        &["priority"],
        "Bytes that the process received in the gossip exchange.",
    )
};

/// Counts calls of the store.
pub const STORE_CALLS: Metric = count(
    "lentilreach_store_calls_total",
    &["call", "outcome"],
    "Calls of the store that ended, and watches that began.",
);

/// The configuration revision in force.
pub const CONFIG_REVISION: Metric = size(
    "lentilreach_config_revision",
    &[],
    "The configuration revision in force; zero before the first.",
);

/// Counts events of the timeline.
pub const EVENTS: Metric = count(
    "lentilreach_events_total",
    &["kind"],
    "Events of the timeline, also those that are not kept.",
);

/// Counts overwritten events.
pub const EVENTS_OVERWRITTEN: Metric = count(
    "lentilreach_events_overwritten_total",
    &[],
    "Events of the timeline that made room for later ones.",
);
