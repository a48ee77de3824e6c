//! Start states of searches.

use lentilreach_steer::request::placement;

use super::step::{Budget, State, Step};
use super::world::{Payload, Peer, Removed, World};

/// Number of heartbeat intervals after which all nodes know each other.
const SETTLE_ROUNDS: usize = 3;

/// Which agent holds the flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// The first home node of the flow.
    Home,
    /// An agent that is not a home node of the flow.
    Other,
}

/// A stable system of running agents, and one that may join.
pub fn stable(agents: usize, budget: Budget, removed: Removed) -> State {
    let mut world = World::new(agents, 1, removed);
    for index in 0..agents {
        world.list_members(Peer::Agent(index));
    }
    for index in 0..world.balancers() {
        world.list_members(Peer::Balancer(index));
    }
    for _ in 0..SETTLE_ROUNDS {
        world.round(None);
        drain(&mut world);
    }
    State { world, budget }
}

/// A system in which a backend server has just accepted the flow: the acceptance and the
/// announcements are on their way.
pub fn accepted(
    agents: usize,
    holder: Holder,
    budget: Budget,
    removed: Removed,
) -> State {
    let opening = Budget { openings: 1, ..Budget::default() };
    let mut state = stable(agents, opening, removed);
    if holder == Holder::Other {
        load_homes(&mut state.world);
    }
    state.apply(Step::Open(0));
    state.apply(Step::Deliver(0));
    State { budget, ..state }
}

/// A stable system in which the flow is open and known to its home nodes.
pub fn open(agents: usize, holder: Holder, budget: Budget, removed: Removed) -> State {
    let request = Budget { requests: 1, ..Budget::default() };
    let mut state = accepted(agents, holder, request, removed);
    while state.world.caller.chosen.is_none() {
        let is_accept = |payload: &Payload| matches!(payload, Payload::Accept);
        let index = state.world.in_flight.iter().position(|d| is_accept(&d.payload));
        state.apply(Step::Deliver(index.expect("the flow is accepted")));
    }
    state.apply(Step::Request(0));
    drain(&mut state.world);
    for _ in 0..SETTLE_ROUNDS {
        state.world.round(None);
        drain(&mut state.world);
    }
    assert_eq!(state.world.caller.received, 1);
    State { budget, ..state }
}

/// Delivers all messages in flight in the order in which they were sent.
pub fn drain(world: &mut World) {
    while !world.in_flight.is_empty() {
        let datagram = world.in_flight.remove(0);
        world.deliver(datagram);
    }
}

/// Lets the home nodes of the flow seem loaded to the first balancer, so that it places the
/// flow on another agent.
fn load_homes(world: &mut World) {
    let (now, flow) = (world.now, world.flow);
    let roster = &mut world.balancer_mut(0).roster;
    for home in placement::homes(roster, &flow).into_iter().flatten() {
        roster.record_placement(now, home);
    }
}
