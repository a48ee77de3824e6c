//! A home node's index of the agents that hold flows.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

use super::flow::Key;
use super::state::Home;
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
    pub agents: [Option<Holder>; 2],
    /// Whether there was another one.
    pub are_more: bool,
    /// The home nodes that have this entry: those that the agents announced the flow to, or
    /// that this node has handed it over to.
    pub homes: [Option<Home>; 2],
}

/// An agent that announced a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder {
    /// Its address. Its backend server holds the flow even if the agent was restarted.
    pub address: SocketAddrV4,
    /// Its incarnation when it announced the flow.
    pub incarnation: u64,
}

impl Holders {
    /// The addresses of the agents, latest first.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> + use<> {
        self.agents.into_iter().flatten().map(|holder| holder.address)
    }
}

impl Index {
    /// Creates an empty index for approximately `limit` flows.
    pub fn new(limit: usize) -> Self {
        Self { flows: Table::new(limit) }
    }

    /// Records that an agent has announced a flow to its home nodes.
    pub fn insert(
        &mut self,
        now: Millis,
        flow: Key,
        holder: Holder,
        homes: [Option<Home>; 2],
    ) {
        let before = self.get(now, &flow);
        let agents = before.agents.into_iter().flatten();
        let mut others = agents.filter(|known| known.address != holder.address);
        let agents = [Some(holder), others.next()];
        let are_more = before.are_more || others.next().is_some();
        self.flows.insert(now, flow, Holders { agents, are_more, homes });
    }

    /// Records an entry of another index. It may be older than what is known here.
    pub fn insert_handed_over(
        &mut self,
        now: Millis,
        flow: Key,
        holder: Holder,
        homes: [Option<Home>; 2],
    ) {
        let mut entry = self.get(now, &flow);
        if entry.addresses().any(|known| known == holder.address) {
            return;
        }
        match entry.agents.iter_mut().find(|slot| slot.is_none()) {
            Some(slot) => *slot = Some(holder),
            None => entry.are_more = true,
        }
        self.flows.insert(now, flow, Holders { homes, ..entry });
    }

    /// Visits all entries.
    pub fn for_each(&mut self, mut visit: impl FnMut(&Key, &mut Holders)) {
        self.flows.retain(|flow, holders| {
            visit(flow, holders);
            true
        });
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
            for slot in &mut holders.agents {
                *slot = slot.filter(|holder| holder.address != agent);
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
