//! Where flows are, as the home of each was told.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

use super::flow::Key;
use super::table::Table;

/// The agents of the flows whose home this node is.
///
/// Agents report the flows that they hold, and report them again when the home changes, so
/// the index can be lost.
#[derive(Debug)]
pub struct Index {
    /// By flow.
    flows: Table<SocketAddrV4>,
}

impl Index {
    /// An empty index for about `limit` flows.
    pub fn new(limit: usize) -> Self {
        Self { flows: Table::new(limit) }
    }

    /// Notes that an agent holds a flow.
    pub fn insert(&mut self, now: Millis, flow: Key, agent: SocketAddrV4) {
        self.flows.insert(now, flow, agent);
    }

    /// The agent of a flow.
    pub fn get(&mut self, now: Millis, flow: &Key) -> Option<SocketAddrV4> {
        self.flows.get(now, flow).copied()
    }

    /// Forgets flows that were neither reported nor looked up for `idle_ms` milliseconds.
    pub fn expire(&mut self, now: Millis, idle_ms: u64) {
        self.flows.expire(now, idle_ms);
    }
}
