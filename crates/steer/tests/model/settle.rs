//! Checks what must hold once the membership is stable again.

use super::scenario::SETTLE_ROUNDS;
use super::step::{RETRANSMISSION_MS, State, request};
use super::world::{Payload, World};

/// Transmissions of a segment within which its flow must be found or reset: at the first
/// home node, at the second one, and at the agent that searches in their place.
const TRANSMISSIONS: u64 = 3;

/// Messages within which the system must come to rest after an event. Far above the number
/// of all pairs of nodes.
const MAX_MESSAGES: usize = 300;

/// Returns the promise that is broken if, after all faults have ended, a living flow isn't
/// found through a balancer.
pub fn check(state: &State) -> Option<String> {
    if !state.world.is_flow_alive() || state.world.caller.is_reset {
        return None;
    }
    check_any(state)
}

/// Like [`check`], but the caller of a flow that has ended must be told so, too.
pub fn check_any(state: &State) -> Option<String> {
    let mut world = state.world.clone();
    settle(&mut world);
    if world.broken.is_some() || world.caller.is_reset {
        return world.broken;
    }
    (0..world.balancers()).find_map(|balancer| search(world.clone(), balancer))
}

/// Ends all faults and lets the nodes exchange heartbeats.
fn settle(world: &mut World) {
    world.cut.clear();
    for index in 0..world.agents() {
        if world.agent(index).is_frozen {
            world.agent_mut(index).is_frozen = false;
        }
    }
    drain(world);
    for _ in 0..SETTLE_ROUNDS {
        world.round(None);
        drain(world);
    }
}

/// Sends segments of the caller through a balancer until the flow is found or reset.
fn search(mut world: World, balancer: usize) -> Option<String> {
    let received = world.caller.received;
    let limit = world.agents() + 3;
    for _ in 0..TRANSMISSIONS {
        world.now = world.now.after(RETRANSMISSION_MS);
        let segment = request(&world);
        world.forward(balancer, segment);
        let hops = drain(&mut world);
        if world.broken.is_some() {
            return world.broken;
        }
        if hops > limit {
            return Some(format!("a segment was forwarded {hops} times"));
        }
        if world.caller.received > received || world.caller.is_reset {
            return None;
        }
    }
    let kind = if world.is_flow_alive() { "living" } else { "dead" };
    Some(format!("a {kind} flow is not found through balancer {balancer}"))
}

/// Delivers all messages in flight. Returns how many of them were segments.
///
/// # Panics
/// If the nodes don't come to rest.
fn drain(world: &mut World) -> usize {
    let (mut messages, mut segments) = (0, 0);
    while !world.in_flight.is_empty() {
        let datagram = world.in_flight.remove(0);
        segments += usize::from(matches!(datagram.payload, Payload::Segment(_)));
        world.deliver(datagram);
        messages += 1;
        assert!(messages < MAX_MESSAGES, "messages cause each other without an end");
    }
    segments
}
