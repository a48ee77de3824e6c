//! The monitors of a node: the balancers that it sends its heartbeats to.

use std::net::SocketAddr;

use fastrand::Rng;

use crate::id::{domain, node};
use crate::process::clock::Millis;
use crate::process::gossip::entry::{MAX_MONITORS, Node, Role, Stage, short_id};
use crate::process::gossip::member::Status;
use crate::process::gossip::state::State;

/// Time without an acknowledgement, in milliseconds, after which a heartbeat is repeated.
const ACK_RETRY_MS: u64 = 450;

/// Time without an acknowledgement, in milliseconds, after which a monitor is replaced.
///
/// Leaves time for four heartbeats, so that 1% loss alone hardly ever replaces a monitor.
const REPLACE_MS: u64 = 2_000;

/// Time in milliseconds for which a replaced balancer is not chosen again.
const AVOID_MS: u64 = 30_000;

/// Shortest interval in milliseconds between replacements by a balancer of the own failure
/// domain.
const IMPROVE_MS: u64 = 10_000;

/// Monitors that an agent prefers to have in its own failure domain.
const LOCAL_MONITORS: usize = 2;

/// The monitors of a node, at most [`MAX_MONITORS`].
#[derive(Debug, Default)]
pub struct List {
    /// The first one, the primary monitor, forwards loads and new entries.
    monitors: Vec<Monitor>,
    /// Balancers that did not respond, with the time of their replacement.
    avoid: Vec<(node::Id, Millis)>,
    /// When a monitor was last replaced by one of the own failure domain.
    last_improved: Millis,
}

impl List {
    /// The identifiers of the monitors.
    pub fn ids(&self) -> Vec<node::Id> {
        self.monitors.iter().map(|monitor| monitor.id).collect()
    }

    /// The shortened identifiers of the monitors, as published in the attachment.
    pub fn announced(&self) -> [Option<u32>; MAX_MONITORS] {
        let mut ids = [None; MAX_MONITORS];
        for (id, monitor) in ids.iter_mut().zip(&self.monitors) {
            *id = Some(short_id(monitor.id));
        }
        ids
    }

    /// Sets the monitors; for measurements.
    pub fn preset(&mut self, now: Millis, nodes: &[&Node], acked: (u64, u64)) {
        self.monitors = nodes.iter().map(|node| Monitor::new(node)).collect();
        self.monitors.iter_mut().for_each(|monitor| monitor.acked = acked);
        self.last_improved = now;
    }

    /// The monitors, the primary one first.
    pub fn as_slice(&self) -> &[Monitor] {
        &self.monitors
    }

    /// Records an acknowledgement and the versions of announcement and attachment that it
    /// confirms.
    pub fn ack(&mut self, id: node::Id, acked: (u64, u64)) {
        if let Some(monitor) = self.monitors.iter_mut().find(|monitor| monitor.id == id) {
            monitor.ack_requested = None;
            monitor.acked = acked;
        }
    }

    /// Records that a monitor was asked for an acknowledgement.
    pub fn note_ack_request(&mut self, now: Millis, id: node::Id) {
        if let Some(monitor) = self.monitors.iter_mut().find(|monitor| monitor.id == id) {
            monitor.ack_requested = monitor.ack_requested.or(Some(now));
        }
    }

    /// Replaces monitors that are unresponsive or leaving; returns whether the list changed.
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

    /// Chooses balancers for free places in the list.
    fn fill(&mut self, me: &Node, state: &State, rng: &mut Rng) {
        let mut attempts = MAX_MONITORS;
        while self.monitors.len() < MAX_MONITORS && attempts > 0 {
            attempts -= 1;
            // A full scan for each monitor is affordable: choices are rare.
            if let Some(monitor) = self.choose(me, state, rng, |_| true) {
                self.monitors.push(monitor);
            }
        }
    }

    /// Replaces a monitor in another failure domain once a balancer in the own one is
    /// available.
    fn improve(&mut self, now: Millis, me: &Node, state: &State, rng: &mut Rng) {
        let remote =
            self.monitors.iter().rposition(|monitor| monitor.domain != me.domain);
        let Some(index) = remote.filter(|_| self.wants_local(me)) else { return };
        if now.since(self.last_improved) < IMPROVE_MS {
            return;
        }
        self.last_improved = now;
        if let Some(monitor) = self.choose(me, state, rng, |d| d == me.domain) {
            self.monitors[index] = monitor;
        }
    }

    /// Whether the next monitor should be in the own failure domain.
    ///
    /// Two local monitors keep most heartbeats of an agent off the links between domains. The
    /// third is elsewhere, so that the failure of the whole domain is detected from outside.
    fn wants_local(&self, me: &Node) -> bool {
        let local =
            self.monitors.iter().filter(|monitor| monitor.domain == me.domain).count();
        me.role == Role::Agent && local < LOCAL_MONITORS
    }

    /// Chooses a random balancer. Balancers choose from all failure domains alike, agents
    /// prefer the own or another one as [`wants_local`](Self::wants_local) says.
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

/// A balancer that monitors this node.
#[derive(Debug, Clone, Copy)]
pub struct Monitor {
    /// The identifier of the balancer.
    pub id: node::Id,
    /// Its gossip address.
    pub address: SocketAddr,
    /// Its failure domain.
    domain: domain::Id,
    /// When the oldest missing acknowledgement was requested; `None` if none is missing.
    ack_requested: Option<Millis>,
    /// Versions of announcement and attachment that it has acknowledged.
    pub acked: (u64, u64),
}

impl Monitor {
    /// Creates a monitor that has acknowledged nothing yet.
    fn new(node: &Node) -> Self {
        let (id, address, domain) = (node.id, node.gossip_address, node.domain);
        Self { id, address, domain, ack_requested: None, acked: (0, 0) }
    }

    /// Whether a heartbeat asks for an acknowledgement; `round` is its sequence number plus the
    /// index of the monitor.
    ///
    /// One monitor is asked each second, so that a differing digest is noticed soon.
    pub fn wants_ack(&self, round: u64) -> bool {
        self.acked.0 == 0
            || self.ack_requested.is_some()
            || round.is_multiple_of(MAX_MONITORS as u64)
    }

    /// Whether the heartbeat is to be repeated before the next regular one.
    pub fn is_overdue(&self, now: Millis) -> bool {
        self.ack_requested.is_some_and(|since| now.since(since) >= ACK_RETRY_MS)
    }

    /// Whether the monitor is to be replaced.
    fn is_unresponsive(&self, now: Millis) -> bool {
        self.ack_requested.is_some_and(|since| now.since(since) >= REPLACE_MS)
    }
}

/// Whether a member is alive, if it can be a monitor; `None` if it cannot.
fn suitability(state: &State, id: node::Id, me: node::Id) -> Option<bool> {
    let member = state.member(id).filter(|member| member.id != me)?;
    let node = member.node.as_ref()?;
    let fits = node.role == Role::Balancer && node.stage != Stage::Leaving;
    fits.then_some(member.status == Status::Alive)
}

/// The lowest suitability that a monitor must have.
///
/// If no balancer seems alive, silent ones are tried too: most likely this node was cut off.
fn min_suitability(state: &State, me: node::Id) -> bool {
    state.members().iter().any(|member| suitability(state, member.id, me) == Some(true))
}
