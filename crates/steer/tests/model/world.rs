//! The state of a small system: agents with their backend servers, balancers, one caller
//! with one flow, and the messages in flight.

use std::fmt::{self, Debug, Write};
use std::net::SocketAddrV4;
use std::sync::Arc;

use lentilreach::process::clock::Millis;
use lentilreach_steer::connection::flow;
use lentilreach_steer::process::agent::Arrival;
use lentilreach_steer::process::roster::Role;
use lentilreach_steer::request::message::{Announcement, Handover, Heartbeat};
use lentilreach_steer::request::segment::Segment;
use lentilreach_steer::version::routing::Routing;
use xxhash_rust::xxh3::Xxh3Default;

use super::node::{AgentNode, BalancerNode, Held, Server};
use crate::fixture;

/// Incarnation of the first process of each balancer.
const FIRST_BALANCER: u64 = 1_000;

/// A rule of the protocol that is taken out, to show that the model check notices it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Removed {
    /// None: the protocol as it is.
    Nothing,
    /// A flow is announced after the caller has learned that it is open.
    AnnounceBeforeAccept,
    /// Messages to an earlier process at the receiver's address count.
    IncarnationCheck,
    /// A walk that could not ask every agent counts as exhaustive.
    ExhaustiveWalk,
    /// Agents deliver openings to an instance that the store doesn't name.
    Record,
    /// The store doesn't say where routes led before.
    RouteRecord,
}

/// A node or the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Peer {
    /// The agent with an index.
    Agent(usize),
    /// The balancer with an index.
    Balancer(usize),
    /// The caller.
    Caller,
}

/// A message in flight.
#[derive(Debug, Clone)]
pub struct Datagram {
    /// Its sender.
    pub from: Peer,
    /// Its receiver.
    pub to: Peer,
    /// Its content.
    pub payload: Payload,
    /// Hash of the above.
    pub hash: u64,
}

/// The content of a message in flight.
#[derive(Debug, Clone)]
pub enum Payload {
    /// A segment of the caller and its forwarding state.
    Segment(Arrival),
    /// The sender holds the flow.
    Found,
    /// No agent holds the flow.
    NotFound,
    /// The sender holds flows.
    Announcement(Announcement),
    /// Another agent holds flows.
    Handover(Handover),
    /// The state of the sender.
    Heartbeat(Heartbeat<'static>),
    /// The process of the sender with this incarnation has left.
    Leave(u64),
    /// The backend server of an agent accepts the flow, with this first sequence number.
    Accept(u32),
}

/// The caller.
#[derive(Debug, Clone, Copy)]
pub struct Caller {
    /// Opening segments sent.
    pub openings: u32,
    /// When the first of them was sent.
    pub opened_at: Millis,
    /// The agent of the backend server whose acceptance arrived first.
    pub chosen: Option<usize>,
    /// The first sequence number of that backend server in the flow.
    pub first: u32,
    /// Whether it got a reset or has given up.
    pub is_reset: bool,
    /// Segments that the chosen backend server has received.
    pub received: u32,
}

impl Caller {
    /// A caller that has sent nothing.
    fn new(now: Millis) -> Self {
        Self {
            openings: 0,
            opened_at: now,
            chosen: None,
            first: 0,
            is_reset: false,
            received: 0,
        }
    }
}

/// The whole system.
#[derive(Clone)]
pub struct World {
    /// The time, the same at all nodes.
    pub now: Millis,
    /// The rule that is taken out.
    pub removed: Removed,
    /// The flow that the caller opens.
    pub flow: flow::Key,
    /// The routes, and where they led before, known to all nodes.
    pub routing: Arc<Routing>,
    /// The agents; shared with other states until they change.
    agents: Vec<(Arc<AgentNode>, Option<u64>)>,
    /// The balancers, likewise.
    balancers: Vec<(Arc<BalancerNode>, Option<u64>)>,
    /// The caller.
    pub caller: Caller,
    /// The messages in flight, in the order in which they were sent.
    pub in_flight: Vec<Datagram>,
    /// Agents that are cut off from all other agents. Sorted.
    pub cut: Vec<usize>,
    /// Whether the store answers no call.
    pub is_store_down: bool,
    /// The first promise that was broken.
    pub broken: Option<String>,
}

impl World {
    /// Creates running agents, absent ones and two balancers that don't know each other
    /// yet.
    pub fn new(running: usize, absent: usize, removed: Removed) -> Self {
        let now = fixture::NOW;
        let agents = (0..running + absent).map(|index| {
            let node = AgentNode::new(now, index, index < running);
            (Arc::new(node), None)
        });
        let balancers = (0..2).map(|index| {
            let node = BalancerNode::new(now, index, FIRST_BALANCER);
            (Arc::new(node), None)
        });
        Self {
            now,
            removed,
            flow: fixture::flow(1),
            routing: Arc::new(fixture::routing(1)),
            agents: agents.collect(),
            balancers: balancers.collect(),
            caller: Caller::new(now),
            in_flight: Vec::new(),
            cut: Vec::new(),
            is_store_down: false,
            broken: None,
        }
    }

    /// Turns to another flow. Backend servers keep the one before unseen.
    pub fn change_flow(&mut self, flow: flow::Key) {
        self.flow = flow;
        self.caller = Caller::new(self.now);
        for index in 0..self.agents() {
            self.agent_mut(index).server.flow = Held::No;
        }
    }

    /// Number of agents.
    pub fn agents(&self) -> usize {
        self.agents.len()
    }

    /// Number of balancers.
    pub fn balancers(&self) -> usize {
        self.balancers.len()
    }

    /// An agent.
    pub fn agent(&self, index: usize) -> &AgentNode {
        &self.agents[index].0
    }

    /// An agent that is about to change.
    pub fn agent_mut(&mut self, index: usize) -> &mut AgentNode {
        let (node, hash) = &mut self.agents[index];
        *hash = None;
        Arc::make_mut(node)
    }

    /// A balancer.
    pub fn balancer(&self, index: usize) -> &BalancerNode {
        &self.balancers[index].0
    }

    /// A balancer that is about to change.
    pub fn balancer_mut(&mut self, index: usize) -> &mut BalancerNode {
        let (node, hash) = &mut self.balancers[index];
        *hash = None;
        Arc::make_mut(node)
    }

    /// The address of a node.
    pub fn address(&self, peer: Peer) -> SocketAddrV4 {
        match peer {
            Peer::Agent(index) => self.agent(index).address,
            Peer::Balancer(index) => self.balancer(index).address,
            Peer::Caller => self.flow.caller,
        }
    }

    /// The node with an address.
    pub fn peer(&self, address: SocketAddrV4) -> Option<Peer> {
        let agents = (0..self.agents()).map(Peer::Agent);
        let mut peers = agents.chain((0..self.balancers()).map(Peer::Balancer));
        peers.find(|peer| self.address(*peer) == address)
    }

    /// Sends a message, unless its sender and its receiver are cut off from each other.
    pub fn send(&mut self, from: Peer, to: SocketAddrV4, payload: Payload) {
        let Some(to) = self.peer(to) else { return };
        if self.is_connected(from, to) {
            self.push(from, to, payload);
        }
    }

    /// Puts a message in flight.
    pub fn push(&mut self, from: Peer, to: Peer, payload: Payload) {
        let hash = hash(&(from, to, &payload));
        self.in_flight.push(Datagram { from, to, payload, hash });
    }

    /// Whether messages between two nodes arrive.
    pub fn is_connected(&self, one: Peer, other: Peer) -> bool {
        let is_cut = |peer| match peer {
            Peer::Agent(index) => self.cut.binary_search(&index).is_ok(),
            _ => false,
        };
        let are_agents = matches!((one, other), (Peer::Agent(_), Peer::Agent(_)));
        !(are_agents && (is_cut(one) || is_cut(other)))
    }

    /// Whether an agent's process can act.
    pub fn is_running(&self, index: usize) -> bool {
        self.agent(index).is_present && !self.agent(index).is_frozen
    }

    /// Whether the backend server that the caller chose runs and holds the flow.
    pub fn is_flow_alive(&self) -> bool {
        self.caller.chosen.is_some_and(|index| {
            let server = &self.agent(index).server;
            server.is_alive
                && server.flow != Held::No
                && server.first == self.caller.first
        })
    }

    /// Records that the caller got a reset, in answer to a segment or on the agent's own
    /// account. Resets of openings are not judged: the caller has no flow yet that could
    /// break.
    pub fn reset_caller(&mut self, by: Peer, cause: Option<&Segment>, reason: &str) {
        let is_valid = cause.is_none_or(|segment| self.is_in_window(segment));
        if !is_valid {
            return;
        }
        if self.is_flow_alive() {
            self.broken.get_or_insert(format!(
                "{by:?} resets the flow ({reason}) although the chosen backend server {} holds it",
                self.caller.chosen.unwrap_or_default(),
            ));
        }
        self.caller.is_reset = true;
    }

    /// Whether the caller takes a reset that answers a segment for one of its present flow.
    fn is_in_window(&self, segment: &Segment) -> bool {
        match self.caller.chosen {
            Some(_) => segment.acknowledged == self.caller.first + 1,
            None => segment.is_opening(),
        }
    }

    /// Records a promise that was broken if two backend servers keep the flow.
    pub fn check_holders(&mut self) {
        let is_holder = |server: &Server| server.is_alive && server.flow == Held::Open;
        let holders: Vec<_> =
            (0..self.agents()).filter(|i| is_holder(&self.agent(*i).server)).collect();
        if holders.len() > 1 {
            self.broken
                .get_or_insert(format!("backend servers {holders:?} keep the flow"));
        }
    }

    /// A hash of the state. Messages in flight count as a set.
    pub fn key(&mut self) -> u64 {
        for (node, known) in &mut self.agents {
            known.get_or_insert_with(|| hash(node));
        }
        for (node, known) in &mut self.balancers {
            known.get_or_insert_with(|| hash(node));
        }
        let messages =
            self.in_flight.iter().fold(0_u64, |sum, d| sum.wrapping_add(d.hash));
        let agents: Vec<_> = self.agents.iter().map(|(_, hash)| hash).collect();
        let balancers: Vec<_> = self.balancers.iter().map(|(_, hash)| hash).collect();
        let peers = (agents, balancers, self.caller);
        hash(&(self.now, peers, messages, &self.cut, self.is_store_down))
    }
}

/// The role of a node.
pub fn role(peer: Peer) -> Role {
    if matches!(peer, Peer::Agent(_)) { Role::Agent } else { Role::Balancer }
}

/// A hash of the printed form of a value.
pub fn hash(value: &impl Debug) -> u64 {
    /// Hashes text as it is written.
    struct Sink(Xxh3Default);

    impl Write for Sink {
        fn write_str(&mut self, text: &str) -> fmt::Result {
            self.0.update(text.as_bytes());
            Ok(())
        }
    }

    let mut sink = Sink(Xxh3Default::new());
    write!(sink, "{value:?}").expect("the sink takes everything");
    sink.0.digest()
}
