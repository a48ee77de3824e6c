//! Definitions of the metrics. `docs/metrics.md` tells operators how to react to their
//! values.

use metrics::Unit;

use crate::process::metric::{Kind, Metric};

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
    labels: &'static [&'static str],
    help: &'static str,
) -> Metric {
    Metric { name, kind: Kind::Gauge, unit: Unit::Count, labels, help }
}

/// Datagrams received from callers.
pub const DATAGRAMS_RECEIVED: Metric = counter(
    "lentilreach_balancer_datagrams_received_total",
    &[],
    "Datagrams from callers that the balancer received.",
);

/// Datagrams forwarded to agents.
pub const DATAGRAMS_FORWARDED: Metric = counter(
    "lentilreach_balancer_datagrams_forwarded_total",
    &["path"],
    "Datagrams that the balancer forwarded to an agent, by token or by offer.",
);

/// Datagrams returned to callers.
pub const DATAGRAMS_RETURNED: Metric = counter(
    "lentilreach_balancer_datagrams_returned_total",
    &[],
    "Datagrams from agents that the balancer returned to callers.",
);

/// Datagrams that a balancer dropped.
pub const DATAGRAMS_DROPPED: Metric = counter(
    "lentilreach_balancer_datagrams_dropped_total",
    &["reason"],
    "Datagrams that the balancer dropped.",
);

/// Rejected envelopes.
pub const ENVELOPES_REJECTED: Metric = counter(
    "lentilreach_envelopes_rejected_total",
    &["fault"],
    "Envelopes that the process rejected.",
);

/// Admitted flows.
pub const FLOWS_ADMITTED: Metric = counter(
    "lentilreach_agent_flows_admitted_total",
    &["service"],
    "New flows that the agent admitted.",
);

/// Flows handed on to the next candidate.
pub const FLOWS_HANDED_ON: Metric = counter(
    "lentilreach_agent_flows_handed_on_total",
    &["service"],
    "New flows that the agent handed on to the next candidate.",
);

/// Refused flows.
pub const FLOWS_REFUSED: Metric = counter(
    "lentilreach_agent_flows_refused_total",
    &["service", "reason"],
    "New flows that the agent refused as the last candidate.",
);

/// Closed flows.
pub const FLOWS_CLOSED: Metric = counter(
    "lentilreach_agent_flows_closed_total",
    &["service", "cause"],
    "Flows of the agent that closed.",
);

/// Open flows.
pub const FLOWS_OPEN: Metric =
    gauge("lentilreach_agent_flows_open", &["service"], "Open flows of the agent.");

/// Requests sent to the backend server.
pub const REQUESTS_RUN: Metric = counter(
    "lentilreach_agent_requests_run_total",
    &["service"],
    "Requests that the agent began to send to its backend server.",
);

/// Answered requests.
pub const REQUESTS_ANSWERED: Metric = counter(
    "lentilreach_agent_requests_answered_total",
    &["service"],
    "Requests answered with a complete response of the backend server.",
);

/// Requests refused without being run.
pub const REQUESTS_REFUSED: Metric = counter(
    "lentilreach_agent_requests_refused_total",
    &["service"],
    "Requests refused with the outcome not-run.",
);

/// Requests with an unknown outcome.
pub const REQUESTS_UNKNOWN: Metric = counter(
    "lentilreach_agent_requests_unknown_total",
    &["service"],
    "Requests answered with the outcome unknown.",
);

/// Requests waiting for a slot.
pub const QUEUE_LENGTH: Metric = gauge(
    "lentilreach_agent_queue_length",
    &["service"],
    "Requests that wait at the agent for a slot.",
);

/// Slots in use.
pub const SLOTS_BUSY: Metric = gauge(
    "lentilreach_agent_slots_busy",
    &["service"],
    "Slots of the backend server that are in use.",
);

/// Datagrams that an agent dropped.
pub const AGENT_DROPPED: Metric = counter(
    "lentilreach_agent_datagrams_dropped_total",
    &["reason"],
    "Datagrams from balancers that the agent dropped.",
);

/// Bytes sent in the gossip exchange.
pub const EXCHANGE_SENT: Metric = Metric {
    unit: Unit::Bytes,
    ..counter(
        "lentilreach_exchange_sent_bytes_total",
        &["priority"],
        "Bytes that the process sent in the gossip exchange.",
    )
};

/// Bytes received in the gossip exchange.
pub const EXCHANGE_RECEIVED: Metric = Metric {
    unit: Unit::Bytes,
    ..counter(
        "lentilreach_exchange_received_bytes_total",
        &["priority"],
        "Bytes that the process received in the gossip exchange.",
    )
};

/// Calls of the store.
pub const STORE_CALLS: Metric = counter(
    "lentilreach_store_calls_total",
    &["call", "outcome"],
    "Calls of the store that ended, and watches that began.",
);

/// Configuration revision in force.
pub const CONFIG_REVISION: Metric = gauge(
    "lentilreach_config_revision",
    &[],
    "The configuration revision in force; zero before the first.",
);

/// Recorded events.
pub const EVENTS: Metric = counter(
    "lentilreach_events_total",
    &["kind"],
    "Events of the timeline, also those that are not kept.",
);

/// Stored events that later ones have overwritten.
pub const EVENTS_OVERWRITTEN: Metric = counter(
    "lentilreach_events_overwritten_total",
    &[],
    "Events of the timeline that made room for later ones.",
);
