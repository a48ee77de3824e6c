//! A home node's index of the agents that hold flows.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

use super::flow::Key;
use super::table::Table;

/// Maps flows to agents, for the flows that this node is a home node of.
///
/// Agents announce the flows that they hold, and announce them again when home nodes
/// change. The index is therefore rebuilt if it is lost.
#[derive(Debug, Clone)]
pub struct Index {
    /// The agents that announced the flow.
    flows: Table<Holders>,
}

/// The agents that announced a flow. Several backend servers may accept the same flow if
/// its opening segment and a retransmission reached different ones.
#[derive(Debug, Default, Clone, Copy)]
pub struct Holders {
    /// The most recent ones, latest first.
    pub agents: [Option<SocketAddrV4>; 2],
    /// Whether there was another one.
    pub are_more: bool,
}

impl Index {
    /// Creates an empty index for approximately `limit` flows.
    pub fn new(limit: usize) -> Self {
        Self { flows: Table::new(limit) }
    }

    /// Records that an agent holds a flow.
    pub fn insert(&mut self, now: Millis, flow: Key, agent: SocketAddrV4) {
        let before = self.get(now, &flow);
        let mut others =
            before.agents.into_iter().flatten().filter(|known| *known != agent);
        let agents = [Some(agent), others.next()];
        let are_more = before.are_more || others.next().is_some();
        self.flows.insert(now, flow, Holders { agents, are_more });
    }

    /// The agents that announced a flow.
    pub fn get(&mut self, now: Millis, flow: &Key) -> Holders {
        self.flows.get(now, flow).copied().unwrap_or_default()
    }

    /// Whether no entry was evicted in the last `ms` milliseconds.
    pub fn is_complete(&self, now: Millis, ms: u64) -> bool {
        self.flows.evicted_at().is_none_or(|at| now.since(at) > ms)
    }

    /// Removes an agent that has left together with its flows.
    pub fn remove_agent(&mut self, agent: SocketAddrV4) {
        self.flows.retain(|_, holders| {
            let left = |holder: &&mut _| **holder == Some(agent);
            for holder in holders.agents.iter_mut().filter(left) {
                *holder = None;
            }
            holders.are_more || holders.agents.iter().any(Option::is_some)
        });
    }

    /// Removes flows that were neither announced nor looked up for `idle_ms`
    /// milliseconds.
    pub fn expire(&mut self, now: Millis, idle_ms: u64) {
        self.flows.expire(now, idle_ms);
    }
}
