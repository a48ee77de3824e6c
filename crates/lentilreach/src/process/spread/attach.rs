//! The balancers that a node sends its heartbeats to.

use std::net::SocketAddr;

use fastrand::Rng;

use crate::id::{domain, node};
use crate::process::clock::Millis;
use crate::process::spread::entry::{MONITORS, Node, Role, Stage, short};
use crate::process::spread::member::Status;
use crate::process::spread::state::State;

/// Time without a response in milliseconds after which a question is repeated.
const RETRY_MS: u64 = 450;

/// Time without a response in milliseconds after which the balancer is replaced.
///
/// Leaves four questions, so that 1% loss alone replaces hardly ever.
const LOST_MS: u64 = 2_000;

/// Time in milliseconds for which a replaced balancer is not chosen again.
const AVOID_MS: u64 = 30_000;

/// Time in milliseconds between replacements that only improve the choice.
const BETTER_MS: u64 = 10_000;

/// Balancers of its own failure domain that an agent prefers to attach to.
const NEAR: usize = 2;

/// The balancers that a node attaches to, at most [`MONITORS`].
#[derive(Debug, Default)]
pub struct List {
    /// The balancers; the first one passes loads and new entries on.
    slots: Vec<Slot>,
    /// Balancers that did not respond, and when.
    avoid: Vec<(node::Id, Millis)>,
    /// When a balancer was last replaced for a better one.
    bettered: Millis,
}

impl List {
    /// The balancers' identifiers.
    pub fn ids(&self) -> Vec<node::Id> {
        self.slots.iter().map(|slot| slot.id).collect()
    }

    /// The balancers as they are announced.
    pub fn monitors(&self) -> [Option<u32>; MONITORS] {
        let mut monitors = [None; MONITORS];
        for (monitor, slot) in monitors.iter_mut().zip(&self.slots) {
            *monitor = Some(short(slot.id));
        }
        monitors
    }

    /// Attaches to the given balancers; for measurements.
    pub fn preset(&mut self, now: Millis, nodes: &[&Node], known: (u64, u64)) {
        self.slots = nodes.iter().map(|node| Slot::new(node)).collect();
        self.slots.iter_mut().for_each(|slot| slot.known = known);
        self.bettered = now;
    }

    /// The balancers.
    pub fn slots(&self) -> &[Slot] {
        &self.slots
    }

    /// Notes a response and the versions of announcement and attachment that it confirms.
    pub fn ack(&mut self, id: node::Id, known: (u64, u64)) {
        if let Some(slot) = self.slots.iter_mut().find(|slot| slot.id == id) {
            slot.asked = None;
            slot.known = known;
        }
    }

    /// Notes that a balancer was asked for a response.
    pub fn ask(&mut self, now: Millis, id: node::Id) {
        if let Some(slot) = self.slots.iter_mut().find(|slot| slot.id == id) {
            slot.asked = slot.asked.or(Some(now));
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
        for slot in &self.slots {
            if slot.is_lost(now) {
                self.avoid.push((slot.id, now));
            }
        }
        let least = least(state, me.id);
        self.slots.retain(|slot| {
            !slot.is_lost(now) && fitness(state, slot.id, me.id) >= Some(least)
        });
        self.fill(me, state, rng);
        self.better(now, me, state, rng);
        before != self.ids()
    }

    /// Chooses balancers for the free slots.
    fn fill(&mut self, me: &Node, state: &State, rng: &mut Rng) {
        let mut tries = MONITORS;
        while self.slots.len() < MONITORS && tries > 0 {
            tries -= 1;
            // A full scan for each slot is affordable: choices are rare.
            if let Some(slot) = self.choose(me, state, rng, |_| true) {
                self.slots.push(slot);
            }
        }
    }

    /// Replaces a balancer of another failure domain once one of the own is available.
    fn better(&mut self, now: Millis, me: &Node, state: &State, rng: &mut Rng) {
        let other = self.slots.iter().rposition(|slot| slot.domain != me.domain);
        let Some(index) = other.filter(|_| self.lacks_near(me)) else { return };
        if now.since(self.bettered) < BETTER_MS {
            return;
        }
        self.bettered = now;
        if let Some(slot) = self.choose(me, state, rng, |d| d == me.domain) {
            self.slots[index] = slot;
        }
    }

    /// Whether another balancer of the own failure domain is preferred.
    ///
    /// Two keep most heartbeats of an agent off the links between domains. The third is
    /// elsewhere, so that the failure of the domain is noticed from outside.
    fn lacks_near(&self, me: &Node) -> bool {
        let near = self.slots.iter().filter(|slot| slot.domain == me.domain).count();
        me.role == Role::Agent && near < NEAR
    }

    /// Draws a balancer. Balancers draw from all failure domains alike.
    fn choose(
        &self,
        me: &Node,
        state: &State,
        rng: &mut Rng,
        filter: impl Fn(domain::Id) -> bool,
    ) -> Option<Slot> {
        let least = least(state, me.id);
        let nodes = state.members().iter().filter_map(|member| member.node.as_ref());
        let nodes = nodes.filter(|n| {
            fitness(state, n.id, me.id) >= Some(least)
                && filter(n.domain)
                && self.slots.iter().all(|slot| slot.id != n.id)
                && self.avoid.iter().all(|(id, _)| *id != n.id)
        });
        let lacks_near = self.lacks_near(me);
        let mut best: Option<(bool, u32, &Node)> = None;
        for node in nodes {
            let near = node.domain == me.domain;
            let preferred = me.role == Role::Agent && near == lacks_near;
            let rank = (preferred, rng.u32(..));
            if best.is_none_or(|(preferred, draw, _)| rank > (preferred, draw)) {
                best = Some((rank.0, rank.1, node));
            }
        }
        best.map(|(_, _, node)| Slot::new(node))
    }
}

/// A balancer that a node attaches to.
#[derive(Debug, Clone, Copy)]
pub struct Slot {
    /// The balancer.
    pub id: node::Id,
    /// Where it receives the exchange.
    pub address: SocketAddr,
    /// Its failure domain.
    domain: domain::Id,
    /// When it was first asked for the response that is missing; `None` if none is.
    asked: Option<Millis>,
    /// Versions of announcement and attachment that it has confirmed.
    pub known: (u64, u64),
}

impl Slot {
    /// Attaches to a balancer.
    fn new(node: &Node) -> Self {
        let (id, address, domain) = (node.id, node.exchange, node.domain);
        Self { id, address, domain, asked: None, known: (0, 0) }
    }

    /// Whether a heartbeat asks for a response; `turn` is its number plus the slot's index.
    ///
    /// One balancer is asked each second, so that a digest that differs is noticed soon.
    pub fn asks(&self, turn: u64) -> bool {
        self.known.0 == 0 || self.asked.is_some() || turn.is_multiple_of(MONITORS as u64)
    }

    /// Whether the question is to be repeated before the next heartbeat.
    pub fn is_overdue(&self, now: Millis) -> bool {
        self.asked.is_some_and(|asked| now.since(asked) >= RETRY_MS)
    }

    /// Whether the balancer is to be replaced.
    fn is_lost(&self, now: Millis) -> bool {
        self.asked.is_some_and(|asked| now.since(asked) >= LOST_MS)
    }
}

/// Whether a member can be attached to, and whether it is alive. `None` if it cannot.
fn fitness(state: &State, id: node::Id, me: node::Id) -> Option<bool> {
    let member = state.member(id).filter(|member| member.id != me)?;
    let node = member.node.as_ref()?;
    let fits = node.role == Role::Balancer && node.stage != Stage::Leaving;
    fits.then_some(member.status == Status::Alive)
}

/// The least fitness that is asked for.
///
/// If no balancer seems alive, any is tried: more likely this node was cut off.
fn least(state: &State, me: node::Id) -> bool {
    state.members().iter().any(|member| fitness(state, member.id, me) == Some(true))
}
