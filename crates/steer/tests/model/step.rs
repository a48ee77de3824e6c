//! The steps that are possible in a state.

use std::fmt::{self, Display, Formatter};

use lentilreach_steer::process::agent::Arrival;
use lentilreach_steer::request::segment::Segment;

use super::round::Missed;
use super::world::{Datagram, Payload, Peer, World};
use crate::fixture;

/// Time between two segments of the caller, in milliseconds. Longer than a balancer waits
/// before it asks the next node for a flow.
pub const RETRANSMISSION_MS: u64 = 200;

/// Number of heartbeat intervals after which a member that isn't heard is unreachable.
const SILENCE_ROUNDS: u32 = 4;

/// What the caller acknowledged in an earlier flow.
const EARLIER_FIRST_SEQUENCE: u32 = 77;

/// How often each kind of step may still occur. Bounds the states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Opening segments of the caller.
    pub openings: u8,
    /// Segments of the caller in the open flow.
    pub requests: u8,
    /// Late segments of an earlier flow between the same addresses.
    pub strays: u8,
    /// Heartbeat intervals that pass.
    pub rounds: u8,
    /// Messages that are lost, heartbeats included.
    pub losses: u8,
    /// Messages that arrive twice.
    pub doubles: u8,
    /// Heartbeats that arrive after the messages of the next steps.
    pub late: u8,
    /// Agents that are cut off from the other agents.
    pub cuts: u8,
    /// Agents that stand still.
    pub freezes: u8,
    /// New processes of an agent whose backend server runs on.
    pub restarts: u8,
    /// New processes of a balancer.
    pub balancer_restarts: u8,
    /// Agents that leave with their backend servers.
    pub leaves: u8,
    /// Agents that join with a new backend server.
    pub joins: u8,
}

impl Budget {
    /// Only messages arrive.
    pub const NONE: Self = Self::of(0);

    /// For long runs.
    pub const MANY: Self = Self {
        openings: 3,
        requests: 60,
        rounds: 60,
        strays: 1,
        leaves: 1,
        joins: 2,
        ..Self::of(4)
    };

    /// The same number for each kind of step.
    const fn of(count: u8) -> Self {
        Self {
            openings: count,
            requests: count,
            strays: count,
            rounds: count,
            losses: count,
            doubles: count,
            late: count,
            cuts: count,
            freezes: count,
            restarts: count,
            balancer_restarts: count,
            leaves: count,
            joins: count,
        }
    }
}

/// A step of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The message at an index arrives.
    Deliver(usize),
    /// It is lost.
    Lose(usize),
    /// All heartbeats in flight arrive, with the answers to them.
    Heartbeats,
    /// It arrives, and a copy remains in flight.
    Double(usize),
    /// The caller opens the flow, or does so again, through a balancer.
    Open(usize),
    /// The caller sends a request through a balancer.
    Request(usize),
    /// A late segment of an earlier flow between the same addresses reaches a balancer.
    Stray(usize),
    /// A heartbeat interval passes.
    Round(Option<Missed>),
    /// So many heartbeat intervals pass that members that aren't heard are unreachable.
    Silence,
    /// An agent is cut off from all other agents.
    Cut(usize),
    /// All cuts end.
    Heal,
    /// An agent's process stands still.
    Freeze(usize),
    /// It goes on.
    Thaw(usize),
    /// A new process of an agent starts.
    Restart(usize),
    /// A new process of a balancer starts.
    RestartBalancer(usize),
    /// An agent leaves. Its backend server has stopped.
    Leave(usize),
    /// An agent joins with a new backend server.
    Join(usize),
    /// An agent announces the flow that its backend server has accepted.
    Announce(usize),
}

/// A state and what may still happen in it.
#[derive(Clone)]
pub struct State {
    /// The system.
    pub world: World,
    /// How often each kind of step may still occur.
    pub budget: Budget,
}

impl State {
    /// The steps that are possible.
    pub fn steps(&self) -> Vec<Step> {
        let (world, budget) = (&self.world, self.budget);
        if world.caller.is_reset || world.broken.is_some() {
            return Vec::new();
        }
        let mut steps = Vec::new();
        for index in self.distinct_messages() {
            steps.push(Step::Deliver(index));
            if world.in_flight[index].to != Peer::Caller {
                steps.extend((budget.losses > 0).then_some(Step::Lose(index)));
                steps.extend((budget.doubles > 0).then_some(Step::Double(index)));
            }
        }
        let is_heartbeat = |d: &Datagram| matches!(d.payload, Payload::Heartbeat(_));
        let has_heartbeat = world.in_flight.iter().any(is_heartbeat);
        steps.extend(has_heartbeat.then_some(Step::Heartbeats));
        for balancer in 0..world.balancers() {
            if world.caller.chosen.is_some() && budget.requests > 0 {
                steps.push(Step::Request(balancer));
            }
            if world.caller.chosen.is_none() && budget.openings > 0 {
                steps.push(Step::Open(balancer));
            }
            steps.extend((budget.strays > 0).then_some(Step::Stray(balancer)));
            if budget.balancer_restarts > 0 {
                steps.push(Step::RestartBalancer(balancer));
            }
        }
        if budget.rounds > 0 {
            steps.push(Step::Round(None));
            self.add_missed(&mut steps);
            let is_frozen = (0..world.agents()).any(|i| world.agent(i).is_frozen);
            if is_frozen || !world.cut.is_empty() {
                steps.push(Step::Silence);
            }
        }
        steps.extend((!world.cut.is_empty()).then_some(Step::Heal));
        for index in 0..world.agents() {
            self.add_agent_steps(index, &mut steps);
        }
        steps
    }

    /// Performs a step.
    pub fn apply(&mut self, step: Step) {
        let (world, budget) = (&mut self.world, &mut self.budget);
        match step {
            Step::Deliver(index) => {
                let datagram = world.in_flight.remove(index);
                world.deliver(datagram);
            }
            Step::Heartbeats => deliver_heartbeats(world),
            Step::Lose(index) => {
                budget.losses -= 1;
                world.in_flight.remove(index);
            }
            Step::Double(index) => {
                budget.doubles -= 1;
                let datagram = world.in_flight[index].clone();
                world.deliver(datagram);
            }
            Step::Open(balancer) => {
                budget.openings -= 1;
                let segment = next_opening(world);
                world.forward(balancer, segment);
            }
            Step::Request(balancer) => {
                budget.requests -= 1;
                world.now = world.now.after(RETRANSMISSION_MS);
                let segment = request(world);
                world.forward(balancer, segment);
            }
            Step::Stray(balancer) => {
                budget.strays -= 1;
                world.now = world.now.after(RETRANSMISSION_MS);
                let segment = fixture::request(world.flow, EARLIER_FIRST_SEQUENCE);
                world.forward(balancer, segment);
            }
            Step::Round(missed) => {
                budget.rounds -= 1;
                if let Some(missed) = missed {
                    let left = if missed.is_late {
                        &mut budget.late
                    } else {
                        &mut budget.losses
                    };
                    *left -= 1;
                }
                world.round(missed);
            }
            Step::Silence => {
                budget.rounds -= 1;
                for _ in 0..SILENCE_ROUNDS {
                    world.round(None);
                }
            }
            Step::Cut(index) => {
                budget.cuts -= 1;
                world.cut.push(index);
                world.cut.sort_unstable();
            }
            Step::Heal => world.cut.clear(),
            Step::Freeze(index) => {
                budget.freezes -= 1;
                world.agent_mut(index).is_frozen = true;
            }
            Step::Thaw(index) => world.agent_mut(index).is_frozen = false,
            Step::Restart(index) => {
                budget.restarts -= 1;
                world.restart_agent(index);
            }
            Step::RestartBalancer(index) => {
                budget.balancer_restarts -= 1;
                world.restart_balancer(index);
            }
            Step::Leave(index) => {
                budget.leaves -= 1;
                leave(world, index);
            }
            Step::Join(index) => {
                budget.joins -= 1;
                world.agent_mut(index).start_server();
                world.restart_agent(index);
                let now = world.now;
                world.agent_mut(index).report(now);
                world.write_record(index);
            }
            Step::Announce(index) => world.announce_flow(index),
        }
    }

    /// Describes a step that is about to be performed.
    pub fn describe(&self, step: Step) -> String {
        let message = |index: usize| self.world.in_flight[index].to_string();
        match step {
            Step::Deliver(index) => format!("arrives: {}", message(index)),
            Step::Lose(index) => format!("is lost: {}", message(index)),
            Step::Double(index) => {
                format!("arrives for the first time: {}", message(index))
            }
            other => format!("{other:?}"),
        }
    }

    /// The indices of the messages in flight, without those that equal an earlier one and
    /// those whose receiver can't read them now.
    fn distinct_messages(&self) -> Vec<usize> {
        let messages = &self.world.in_flight;
        let is_first = |index: &usize| {
            !messages[..*index].iter().any(|d| d.hash == messages[*index].hash)
        };
        let is_readable = |index: &usize| match messages[*index].to {
            Peer::Agent(agent) => !self.world.agent(agent).is_frozen,
            _ => true,
        };
        (0..messages.len()).filter(is_first).filter(is_readable).collect()
    }

    /// Adds rounds in which the heartbeat of one agent to another one is lost or late.
    fn add_missed(&self, steps: &mut Vec<Step>) {
        for from in (0..self.world.agents()).map(Peer::Agent) {
            for to in (0..self.world.agents()).map(Peer::Agent).filter(|to| *to != from) {
                if self.budget.losses > 0 {
                    steps.push(Step::Round(Some(Missed { from, to, is_late: false })));
                }
                if self.budget.late > 0 {
                    steps.push(Step::Round(Some(Missed { from, to, is_late: true })));
                }
            }
        }
    }

    /// Adds what may happen to an agent.
    fn add_agent_steps(&self, index: usize, steps: &mut Vec<Step>) {
        let (world, budget) = (&self.world, self.budget);
        let node = world.agent(index);
        if !node.is_present {
            steps.extend((budget.joins > 0).then_some(Step::Join(index)));
            return;
        }
        steps.extend((budget.restarts > 0).then_some(Step::Restart(index)));
        if node.is_frozen {
            steps.push(Step::Thaw(index));
            return;
        }
        steps.extend(node.is_announcement_due.then_some(Step::Announce(index)));
        steps.extend((budget.freezes > 0).then_some(Step::Freeze(index)));
        steps.extend((budget.leaves > 0).then_some(Step::Leave(index)));
        let is_cut = world.cut.contains(&index);
        steps.extend((budget.cuts > 0 && !is_cut).then_some(Step::Cut(index)));
    }
}

/// Delivers the heartbeats in flight and the answers to them.
fn deliver_heartbeats(world: &mut World) {
    let is_due = |d: &Datagram, world: &World| {
        let is_readable =
            !matches!(d.to, Peer::Agent(agent) if world.agent(agent).is_frozen);
        is_readable && matches!(d.payload, Payload::Heartbeat(_))
    };
    while let Some(index) = world.in_flight.iter().position(|d| is_due(d, world)) {
        let datagram = world.in_flight.remove(index);
        world.deliver(datagram);
    }
}

/// The next copy of the caller's opening segment.
fn next_opening(world: &mut World) -> Segment {
    let copy = world.caller.openings;
    world.caller.openings += 1;
    if copy > 0 {
        world.now = world.now.after(RETRANSMISSION_MS);
    } else {
        world.caller.opened_at = world.now;
    }
    fixture::opening(world.flow, copy.min(2))
}

/// A request in the flow that the caller has opened.
pub fn request(world: &World) -> Segment {
    fixture::request(world.flow, world.caller.first + 1)
}

/// An agent leaves whose backend server has stopped.
fn leave(world: &mut World, index: usize) {
    let node = world.agent(index);
    let members = node.roster.members().iter().map(|member| member.address);
    let others: Vec<_> = members.filter(|address| *address != node.address).collect();
    let incarnation = node.incarnation;
    for to in others {
        world.send(Peer::Agent(index), to, Payload::Leave(incarnation));
    }
    let node = world.agent_mut(index);
    node.is_present = false;
    node.server.is_alive = false;
    node.server.end_flow();
}

impl Display for Datagram {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let name = match &self.payload {
            Payload::Segment(Arrival { segment, forwarding, .. }) => {
                let kind = if segment.is_opening() { "opening" } else { "request" };
                format!("{kind} ({:?}, hop {})", forwarding.search, forwarding.hops)
            }
            Payload::Announcement(announcement) => format!(
                "announcement (epoch {}, to incarnation {})",
                announcement.epoch, announcement.receiver
            ),
            Payload::Heartbeat(heartbeat) => format!(
                "heartbeat {} of incarnation {}",
                heartbeat.sequence, heartbeat.incarnation
            ),
            Payload::Accept(_) => "acceptance".to_owned(),
            other => format!("{other:?}"),
        };
        write!(f, "{name}, {:?} to {:?}", self.from, self.to)
    }
}
