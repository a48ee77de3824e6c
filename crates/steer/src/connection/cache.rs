//! Where a balancer last sent the segments of a flow.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

use super::flow::Key;
use super::table::Table;

/// Time after which a flow that was asked for is asked for in another way, in milliseconds.
/// Segments of one burst come closer together, retransmissions after 200 ms or more.
const RETRY_MS: u64 = 100;

/// The ways in which a flow is asked for: at each of its two homes, and at an agent that looks
/// for it in their place.
const ATTEMPTS: u8 = 3;

/// What one balancer knows of flows. A hint: losing it costs a detour.
#[derive(Debug)]
pub struct Cache {
    /// By flow.
    flows: Table<Entry>,
}

/// What is known of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entry {
    /// This balancer placed it.
    Placed {
        /// The agent.
        agent: SocketAddrV4,
        /// When.
        at: Millis,
    },
    /// An agent reported that it holds it.
    Found {
        /// The agent.
        agent: SocketAddrV4,
    },
    /// It was asked for, and no agent has reported yet.
    Searching {
        /// In which way.
        attempt: u8,
        /// Since when.
        at: Millis,
    },
}

impl Entry {
    /// The agent that the flow's segments go to.
    pub fn agent(&self) -> Option<SocketAddrV4> {
        match self {
            Self::Placed { agent, .. } | Self::Found { agent } => Some(*agent),
            Self::Searching { .. } => None,
        }
    }
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
    pub fn record_placement(&mut self, now: Millis, flow: Key, agent: SocketAddrV4) {
        self.flows.insert(now, flow, Entry::Placed { agent, at: now });
    }

    /// Notes the agent that reports to hold a flow.
    pub fn record_found(&mut self, now: Millis, flow: Key, agent: SocketAddrV4) {
        self.flows.insert(now, flow, Entry::Found { agent });
    }

    /// The way in which a flow is asked for now: another one if the last had no answer.
    pub fn next_attempt(&mut self, now: Millis, flow: &Key) -> u8 {
        let entry = match self.get(now, flow) {
            Some(Entry::Searching { attempt, at }) if now.since(at) < RETRY_MS => {
                Entry::Searching { attempt, at }
            }
            Some(Entry::Searching { attempt, .. }) => {
                Entry::Searching { attempt: (attempt + 1) % ATTEMPTS, at: now }
            }
            _ => Entry::Searching { attempt: 0, at: now },
        };
        self.flows.insert(now, *flow, entry);
        if let Entry::Searching { attempt, .. } = entry { attempt } else { 0 }
    }

    /// Forgets a flow.
    pub fn forget(&mut self, flow: &Key) {
        self.flows.remove(flow);
    }

    /// Forgets flows that have been idle for `idle_ms` milliseconds.
    pub fn expire(&mut self, now: Millis, idle_ms: u64) {
        self.flows.expire(now, idle_ms);
    }
}
