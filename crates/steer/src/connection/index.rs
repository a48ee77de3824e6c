//! A home node's index of the agents that hold flows.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

use super::flow::Key;
use super::table::Table;

/// Maps flows to agents, for the flows that this node is a home node of.
///
/// Agents announce the flows that they hold, and announce them again when home nodes
/// change. The index is therefore rebuilt if it is lost.
#[derive(Debug)]
pub struct Index {
    /// The agents that announced the flow most recently, latest first. Two backend
    /// servers may accept the same flow if its opening segment and a retransmission
    /// reached different ones.
    flows: Table<[Option<SocketAddrV4>; 2]>,
}

impl Index {
    /// Creates an empty index for approximately `limit` flows.
    pub fn new(limit: usize) -> Self {
        Self { flows: Table::new(limit) }
    }

    /// Records that an agent holds a flow.
    pub fn insert(&mut self, now: Millis, flow: Key, agent: SocketAddrV4) {
        let before = self.flows.get(now, &flow).copied().unwrap_or_default();
        let other = before.into_iter().flatten().find(|known| *known != agent);
        self.flows.insert(now, flow, [Some(agent), other]);
    }

    /// The agents that announced a flow, latest first.
    pub fn get(&mut self, now: Millis, flow: &Key) -> [Option<SocketAddrV4>; 2] {
        self.flows.get(now, flow).copied().unwrap_or_default()
    }

    /// Whether no entry was evicted in the last `ms` milliseconds.
    pub fn is_complete(&self, now: Millis, ms: u64) -> bool {
        self.flows.evicted_at().is_none_or(|at| now.since(at) > ms)
    }

    /// Removes an agent that has left together with its flows.
    pub fn remove_agent(&mut self, agent: SocketAddrV4) {
        self.flows.retain(|_, holders| {
            for holder in holders.iter_mut().filter(|holder| **holder == Some(agent)) {
                *holder = None;
            }
            holders.iter().any(Option::is_some)
        });
    }

    /// Removes flows that were neither announced nor looked up for `idle_ms`
    /// milliseconds.
    pub fn expire(&mut self, now: Millis, idle_ms: u64) {
        self.flows.expire(now, idle_ms);
    }
}
