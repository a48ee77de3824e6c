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
    /// By flow: the agents that reported it last, the latest first. Two backend servers accept
    /// a flow if its opening segment and a copy went to different ones.
    flows: Table<[Option<SocketAddrV4>; 2]>,
}

impl Index {
    /// An empty index for about `limit` flows.
    pub fn new(limit: usize) -> Self {
        Self { flows: Table::new(limit) }
    }

    /// Notes that an agent holds a flow.
    pub fn insert(&mut self, now: Millis, flow: Key, agent: SocketAddrV4) {
        let before = self.flows.get(now, &flow).copied().unwrap_or_default();
        let other = before.into_iter().flatten().find(|known| *known != agent);
        self.flows.insert(now, flow, [Some(agent), other]);
    }

    /// The agent of a flow that is not among those asked in vain.
    pub fn get(
        &mut self,
        now: Millis,
        flow: &Key,
        tried: &[SocketAddrV4],
    ) -> Option<SocketAddrV4> {
        let agents = self.flows.get(now, flow)?;
        agents.iter().flatten().find(|agent| !tried.contains(agent)).copied()
    }

    /// Forgets flows that were neither reported nor looked up for `idle_ms` milliseconds.
    pub fn expire(&mut self, now: Millis, idle_ms: u64) {
        self.flows.expire(now, idle_ms);
    }
}
