//! Where a balancer last sent the segments of a flow.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

use super::flow::Key;
use super::table::Table;

/// The agents of flows, as one balancer knows them. A hint: losing it costs a detour.
#[derive(Debug)]
pub struct Cache {
    /// By flow.
    flows: Table<Entry>,
}

/// Where the segments of a flow go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The agent.
    pub agent: SocketAddrV4,
    /// When the flow was placed there by this balancer; none if an agent reported it.
    pub placed: Option<Millis>,
}

impl Cache {
    /// An empty cache for about `limit` flows.
    pub fn new(limit: usize) -> Self {
        Self { flows: Table::new(limit) }
    }

    /// The entry of a flow.
    pub fn get(&mut self, now: Millis, flow: &Key) -> Option<Entry> {
        self.flows.get(now, flow).copied()
    }

    /// Notes that this balancer sent the opening segment of a flow to an agent.
    pub fn place(&mut self, now: Millis, flow: Key, agent: SocketAddrV4) {
        self.flows.insert(now, flow, Entry { agent, placed: Some(now) });
    }

    /// Notes the agent that reports to hold a flow.
    pub fn learn(&mut self, now: Millis, flow: Key, agent: SocketAddrV4) {
        self.flows.insert(now, flow, Entry { agent, placed: None });
    }

    /// Forgets a flow.
    pub fn forget(&mut self, flow: &Key) {
        self.flows.remove(flow);
    }

    /// Forgets flows that have been idle for `idle_ms` milliseconds.
    pub fn expire(&mut self, now: Millis, idle_ms: u64) {
        self.flows.expire(now, idle_ms);
    }

    /// Number of flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is known.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
