//! Counters of the request path, resolved once so that counting allocates nothing.

use std::sync::Arc;

use metrics::{Counter, counter};

use crate::request::route::Reason;

/// Counters of a balancer.
#[derive(Debug, Clone)]
pub struct Balancer {
    /// Datagrams received from callers.
    received: Counter,
    /// Datagrams forwarded to agents.
    forwarded: Counter,
    /// Datagrams returned to callers.
    returned: Counter,
    /// Datagrams dropped, by [`Reason`] in the order of [`REASONS`].
    dropped: Arc<[Counter]>,
}

/// The reasons that have a counter.
const REASONS: [Reason; 7] = [
    Reason::NotQuic,
    Reason::Short,
    Reason::UnknownService,
    Reason::ForgedToken,
    Reason::ForeignToken,
    Reason::DomainOut,
    Reason::NoMember,
];

impl Balancer {
    /// Resolves the counters.
    pub fn new() -> Self {
        let dropped = REASONS.map(|reason| {
            counter!("lentilreach_balancer_dropped_total", "reason" => reason.as_str())
        });
        Self {
            received: counter!("lentilreach_balancer_received_total"),
            forwarded: counter!("lentilreach_balancer_forwarded_total"),
            returned: counter!("lentilreach_balancer_returned_total"),
            dropped: dropped.into(),
        }
    }

    /// Counts a datagram received.
    pub fn received(&self) {
        self.received.increment(1);
    }

    /// Counts a datagram forwarded.
    pub fn forwarded(&self) {
        self.forwarded.increment(1);
    }

    /// Counts a datagram returned.
    pub fn returned(&self) {
        self.returned.increment(1);
    }

    /// Counts a datagram dropped.
    pub fn dropped(&self, reason: Reason) {
        if let Some(at) = REASONS.iter().position(|other| *other == reason) {
            self.dropped[at].increment(1);
        }
    }

    /// Counts an envelope that was not accepted.
    pub fn rejected(&self, fault: &'static str) {
        counter!("lentilreach_envelope_rejected_total", "fault" => fault).increment(1);
    }
}

impl Default for Balancer {
    fn default() -> Self {
        Self::new()
    }
}

/// Counters of an agent.
#[derive(Debug, Clone)]
pub struct Agent {
    /// Flows admitted.
    pub admitted: Counter,
    /// Opening packets handed on.
    pub handed_on: Counter,
    /// Flows refused.
    pub refused: Counter,
    /// Datagrams dropped since the QUIC endpoint's queue was full.
    pub overflow: Counter,
    /// Datagrams for a service that this agent does not serve.
    pub foreign: Counter,
}

impl Agent {
    /// Resolves the counters.
    pub fn new() -> Self {
        Self {
            admitted: counter!("lentilreach_agent_flows_admitted_total"),
            handed_on: counter!("lentilreach_agent_flows_handed_on_total"),
            refused: counter!("lentilreach_agent_flows_refused_total"),
            overflow: counter!("lentilreach_agent_overflow_total"),
            foreign: counter!("lentilreach_agent_foreign_total"),
        }
    }

    /// Counts an envelope that was not accepted.
    pub fn rejected(&self, fault: &'static str) {
        counter!("lentilreach_envelope_rejected_total", "fault" => fault).increment(1);
    }
}

impl Default for Agent {
    fn default() -> Self {
        Self::new()
    }
}
