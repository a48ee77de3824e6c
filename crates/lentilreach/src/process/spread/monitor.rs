//! The balancers that a node sends its heartbeats to.

use std::net::SocketAddr;

use fastrand::Rng;

use crate::id::{domain, node};
use crate::process::clock::Millis;
use crate::process::spread::entry::{MONITORS, Node, Role, Stage, short};
use crate::process::spread::member::Status;
use crate::process::spread::state::State;

/// Time without a response in milliseconds after which a question is repeated.
const ACK_RETRY_MS: u64 = 450;

/// Time without a response in milliseconds after which the balancer is replaced.
///
/// Leaves four questions, so that 1% loss alone replaces hardly ever.
const REPLACE_MS: u64 = 2_000;

/// Time in milliseconds for which a replaced balancer is not chosen again.
const AVOID_MS: u64 = 30_000;

/// Time in milliseconds between replacements that only improve the choice.
const IMPROVE_MS: u64 = 10_000;

/// Balancers of its own failure domain that an agent prefers to attach to.
const LOCAL_MONITORS: usize = 2;

/// The balancers that a node attaches to, at most [`MONITORS`].
#[derive(Debug, Default)]
pub struct List {
    /// The balancers; the first one passes loads and new enattempts on.
    monitors: Vec<Monitor>,
    /// Balancers that did not respond, and when.
    avoid: Vec<(node::Id, Millis)>,
    /// When a balancer was last replaced for a better one.
    improved: Millis,
}

impl List {
    /// The balancers' identifiers.
    pub fn ids(&self) -> Vec<node::Id> {
        self.monitors.iter().map(|monitor| monitor.id).collect()
    }

    /// The balancers as they are announced.
    pub fn announced(&self) -> [Option<u32>; MONITORS] {
        let mut short_ids = [None; MONITORS];
        for (short_id, monitor) in short_ids.iter_mut().zip(&self.monitors) {
            *short_id = Some(short(monitor.id));
        }
        short_ids
    }

    /// Attaches to the given balancers; for measurements.
    pub fn preset(&mut self, now: Millis, nodes: &[&Node], acked: (u64, u64)) {
        self.monitors = nodes.iter().map(|node| Monitor::new(node)).collect();
        self.monitors.iter_mut().for_each(|monitor| monitor.acked = acked);
        self.improved = now;
    }

    /// The balancers.
    pub fn as_slice(&self) -> &[Monitor] {
        &self.monitors
    }

    /// Notes a response and the versions of announcement and attachment that it confirms.
    pub fn ack(&mut self, id: node::Id, acked: (u64, u64)) {
        if let Some(monitor) = self.monitors.iter_mut().find(|monitor| monitor.id == id) {
            monitor.ack_requested = None;
            monitor.acked = acked;
        }
    }

    /// Notes that a balancer was asked for a response.
    pub fn note_ack_request(&mut self, now: Millis, id: node::Id) {
        if let Some(monitor) = self.monitors.iter_mut().find(|monitor| monitor.id == id) {
            monitor.ack_requested = monitor.ack_requested.or(Some(now));
        }
    }

    /// Replaces balancers that are lost or leaving; returns whether the list changed.
    pub fn review(
        &mut self,
        now: Millis,
        me: &Node,
        state: &State,
        rng: &mut Rng,
    ) -> bool {
        let before = self.ids();
        self.avoid.retain(|(_, since)| now.since(*since) < AVOID_MS);
        for monitor in &self.monitors {
            if monitor.is_unresponsive(now) {
                self.avoid.push((monitor.id, now));
            }
        }
        let min_suitability = min_suitability(state, me.id);
        self.monitors.retain(|monitor| {
            !monitor.is_unresponsive(now)
                && suitability(state, monitor.id, me.id) >= Some(min_suitability)
        });
        self.fill(me, state, rng);
        self.improve(now, me, state, rng);
        before != self.ids()
    }

    /// Chooses balancers for the free monitors.
    fn fill(&mut self, me: &Node, state: &State, rng: &mut Rng) {
        let mut attempts = MONITORS;
        while self.monitors.len() < MONITORS && attempts > 0 {
            attempts -= 1;
            // A full scan for each monitor is affordable: choices are rare.
            if let Some(monitor) = self.choose(me, state, rng, |_| true) {
                self.monitors.push(monitor);
            }
        }
    }

    /// Replaces a balancer of another failure domain once one of the own is available.
    fn improve(&mut self, now: Millis, me: &Node, state: &State, rng: &mut Rng) {
        let remote =
            self.monitors.iter().rposition(|monitor| monitor.domain != me.domain);
        let Some(index) = remote.filter(|_| self.wants_local(me)) else { return };
        if now.since(self.improved) < IMPROVE_MS {
            return;
        }
        self.improved = now;
        if let Some(monitor) = self.choose(me, state, rng, |d| d == me.domain) {
            self.monitors[index] = monitor;
        }
    }

    /// Whether another balancer of the own failure domain is preferred.
    ///
    /// Two keep most heartbeats of an agent off the links between domains. The third is
    /// elsewhere, so that the failure of the domain is noticed from outside.
    fn wants_local(&self, me: &Node) -> bool {
        let local =
            self.monitors.iter().filter(|monitor| monitor.domain == me.domain).count();
        me.role == Role::Agent && local < LOCAL_MONITORS
    }

    /// Draws a balancer. Balancers draw from all failure domains alike.
    fn choose(
        &self,
        me: &Node,
        state: &State,
        rng: &mut Rng,
        filter: impl Fn(domain::Id) -> bool,
    ) -> Option<Monitor> {
        let min_suitability = min_suitability(state, me.id);
        let nodes = state.members().iter().filter_map(|member| member.node.as_ref());
        let nodes = nodes.filter(|n| {
            suitability(state, n.id, me.id) >= Some(min_suitability)
                && filter(n.domain)
                && self.monitors.iter().all(|monitor| monitor.id != n.id)
                && self.avoid.iter().all(|(id, _)| *id != n.id)
        });
        let wants_local = self.wants_local(me);
        let mut best: Option<(bool, u32, &Node)> = None;
        for node in nodes {
            let local = node.domain == me.domain;
            let preferred = me.role == Role::Agent && local == wants_local;
            let rank = (preferred, rng.u32(..));
            if best.is_none_or(|(preferred, draw, _)| rank > (preferred, draw)) {
                best = Some((rank.0, rank.1, node));
            }
        }
        best.map(|(_, _, node)| Monitor::new(node))
    }
}

/// A balancer that a node attaches to.
#[derive(Debug, Clone, Copy)]
pub struct Monitor {
    /// The balancer.
    pub id: node::Id,
    /// Where it receives the exchange.
    pub address: SocketAddr,
    /// Its failure domain.
    domain: domain::Id,
    /// When it was first asked for the response that is missing; `None` if none is.
    ack_requested: Option<Millis>,
    /// Versions of announcement and attachment that it has confirmed.
    pub acked: (u64, u64),
}

impl Monitor {
    /// Attaches to a balancer.
    fn new(node: &Node) -> Self {
        let (id, address, domain) = (node.id, node.exchange, node.domain);
        Self { id, address, domain, ack_requested: None, acked: (0, 0) }
    }

    /// Whether a heartbeat asks for a response; `turn` is its number plus the monitor's index.
    ///
    /// One balancer is asked each second, so that a digest that differs is noticed soon.
    pub fn wants_ack(&self, round: u64) -> bool {
        self.acked.0 == 0
            || self.ack_requested.is_some()
            || round.is_multiple_of(MONITORS as u64)
    }

    /// Whether the question is to be repeated before the next heartbeat.
    pub fn is_overdue(&self, now: Millis) -> bool {
        self.ack_requested
            .is_some_and(|ack_requested| now.since(ack_requested) >= ACK_RETRY_MS)
    }

    /// Whether the balancer is to be replaced.
    fn is_unresponsive(&self, now: Millis) -> bool {
        self.ack_requested
            .is_some_and(|ack_requested| now.since(ack_requested) >= REPLACE_MS)
    }
}

/// Whether a member can be attached to, and whether it is alive. `None` if it cannot.
fn suitability(state: &State, id: node::Id, me: node::Id) -> Option<bool> {
    let member = state.member(id).filter(|member| member.id != me)?;
    let node = member.node.as_ref()?;
    let fits = node.role == Role::Balancer && node.stage != Stage::Leaving;
    fits.then_some(member.status == Status::Alive)
}

/// The least fitness that is asked for.
///
/// If no balancer seems alive, any is tried: more likely this node was cut off.
fn min_suitability(state: &State, me: node::Id) -> bool {
    state.members().iter().any(|member| suitability(state, member.id, me) == Some(true))
}
