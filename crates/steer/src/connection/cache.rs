//! A balancer's cache of the agents that hold flows.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

use super::flow::Key;
use super::table::Table;

/// Time without an answer after which the next attempt to find a flow is made, in
/// milliseconds. Segments of one burst arrive closer together, retransmissions at least
/// 200 ms apart.
const RETRY_MS: u64 = 100;

/// Number of different attempts to find a flow, see [`Attempt`].
const ATTEMPTS: u8 = 3;

/// What a balancer knows about where flows are. Losing an entry only costs additional
/// hops.
#[derive(Debug, Clone)]
pub struct Cache {
    /// Entries by flow.
    flows: Table<Entry>,
}

/// What is known about a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entry {
    /// This balancer selected the agent for the opening segment.
    Placed {
        /// The selected agent.
        agent: SocketAddrV4,
        /// When the opening segment was sent.
        at: Millis,
    },
    /// An agent reported that it holds the flow.
    Found {
        /// The reporting agent.
        agent: SocketAddrV4,
    },
    /// The flow is being searched for and no agent has reported it yet.
    Searching {
        /// The number of the current attempt, below `ATTEMPTS`.
        attempt: u8,
        /// When this attempt began.
        at: Millis,
        /// The agent that was supposed to hold the flow before it fell silent, if any.
        silent: Option<SocketAddrV4>,
    },
}

/// An attempt to find a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// Ask the first (0) or the second (1) home node.
    Home(u8),
    /// Send the segment to the agent that was supposed to hold the flow and is silent.
    Silent(SocketAddrV4),
    /// Let another agent search in place of the home nodes.
    Fallback,
}

impl Entry {
    /// The agent to send the flow's segments to, if it is known.
    pub fn agent(&self) -> Option<SocketAddrV4> {
        match self {
            Self::Placed { agent, .. } | Self::Found { agent } => Some(*agent),
            Self::Searching { .. } => None,
        }
    }
}

impl Cache {
    /// Creates an empty cache for approximately `limit` flows.
    pub fn new(limit: usize) -> Self {
        Self { flows: Table::new(limit) }
    }

    /// The entry of a flow; marks it as used.
    pub fn get(&mut self, now: Millis, flow: &Key) -> Option<Entry> {
        self.flows.get(now, flow).copied()
    }

    /// Records the agent to which this balancer sent the opening segment of a flow.
    pub fn record_placement(&mut self, now: Millis, flow: Key, agent: SocketAddrV4) {
        self.flows.insert(now, flow, Entry::Placed { agent, at: now });
    }

    /// Records the agent that reported to hold a flow.
    pub fn record_found(&mut self, now: Millis, flow: Key, agent: SocketAddrV4) {
        self.flows.insert(now, flow, Entry::Found { agent });
    }

    /// The attempt to make now. Moves on to the next attempt if the current one got no
    /// answer in time, and starts over after the last one. `silent` is the agent that was
    /// supposed to hold the flow until now.
    pub fn next_attempt(
        &mut self,
        now: Millis,
        flow: &Key,
        silent: Option<SocketAddrV4>,
    ) -> Attempt {
        let (attempt, at, silent) = match self.get(now, flow) {
            Some(Entry::Searching { attempt, at, silent })
                if now.since(at) < RETRY_MS =>
            {
                (attempt, at, silent)
            }
            Some(Entry::Searching { attempt, silent, .. }) => {
                ((attempt + 1) % ATTEMPTS, now, silent)
            }
            _ => (0, now, silent),
        };
        self.flows.insert(now, *flow, Entry::Searching { attempt, at, silent });
        match (attempt, silent) {
            (0 | 1, _) => Attempt::Home(attempt),
            (_, Some(agent)) => Attempt::Silent(agent),
            (_, None) => Attempt::Fallback,
        }
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: &Key) {
        self.flows.remove(flow);
    }

    /// Removes flows that have been idle for `idle_ms` milliseconds.
    pub fn expire(&mut self, now: Millis, idle_ms: u64) {
        self.flows.expire(now, idle_ms);
    }
}
