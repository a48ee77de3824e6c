//! Passes an opening packet from agent to agent until one admits the flow.

use std::net::SocketAddrV4;

use crate::connection::admission::{self, Offer, Outcome};
use crate::connection::directory::{Destination, Directory};
use crate::connection::flow;
use crate::process::clock::Millis;
use crate::request::envelope::{Forward, HOME};

/// What an agent does with an opening packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Deliver it to the local endpoint, which accepts or refuses the connection.
    Deliver {
        /// The decision of the flow table.
        outcome: Outcome,
        /// The home agent, if it has to be notified that this agent admitted the flow.
        notify_home: Option<SocketAddrV4>,
    },
    /// Send it to another agent.
    Send {
        /// The envelope address of the agent.
        to: SocketAddrV4,
        /// The new header of the packet.
        forward: Forward,
        /// Whether this agent declined the flow, as opposed to passing it on as its home
        /// agent.
        declined: bool,
    },
    /// Drop it: no candidate is left.
    Drop,
}

/// The state of one agent that the decision depends on.
#[derive(Debug)]
pub struct Placement<'a> {
    /// The agent's envelope address.
    pub own_address: SocketAddrV4,
    /// Whether the agent serves the addressed service.
    pub serves: bool,
    /// The agent's open flows.
    pub flows: &'a mut admission::Table,
    /// The opening flows of which the agent is the home.
    pub directory: &'a mut Directory,
}

impl Placement<'_> {
    /// Decides on an opening packet.
    ///
    /// A packet visits its home agent, then each candidate at most once, and then, if it was
    /// handed back, two of them once more.
    pub fn step(&mut self, now: Millis, flow: flow::Key, mut forward: Forward) -> Step {
        if forward.position == HOME {
            let list = match self.directory.lookup(now, flow, &forward.candidates) {
                Destination::Candidates(list) => list.to_vec(),
                Destination::Agent(agent) => vec![agent],
            };
            let Some(first) = list.first().copied() else { return Step::Drop };
            forward = forward.redirect(list);
            if first != self.own_address {
                return Step::Send { to: first, forward, declined: false };
            }
        }
        match self.decide(now, flow, &forward) {
            Outcome::HandOn => self.hand_on(forward),
            Outcome::HandBack => self.hand_back(&forward),
            Outcome::Admit => self.admit(now, flow, &forward),
            outcome => Step::Deliver { outcome, notify_home: None },
        }
    }

    /// Offers the flow to the flow table.
    fn decide(&mut self, now: Millis, flow: flow::Key, forward: &Forward) -> Outcome {
        if !self.serves {
            return Outcome::HandOn;
        }
        self.flows.set_mean(forward.mean);
        let offer = Offer {
            declined: forward.position,
            remaining: forward.remaining(),
            fewest_open: forward.fewest_open.map(|(_, open)| open),
            handed_back: forward.handed_back,
        };
        self.flows.decide(now, flow, offer)
    }

    /// Sends the packet to the next candidate.
    fn hand_on(&self, forward: Forward) -> Step {
        let Some((to, mut next)) = forward.next() else { return Step::Drop };
        let open = self.flows.open();
        let fewer = next.fewest_open.is_none_or(|(_, fewest_open)| open < fewest_open);
        if self.serves && !next.handed_back && !self.flows.is_draining() && fewer {
            next.fewest_open = Some((self.own_address, open));
        }
        Step::Send { to, forward: next, declined: true }
    }

    /// Sends the packet back to the candidate with the fewest open flows. If that one can no
    /// longer admit the flow, the packet returns here.
    fn hand_back(&self, forward: &Forward) -> Step {
        let Some((to, _)) = forward.fewest_open else { return Step::Drop };
        let mut back = forward.redirect(vec![to, self.own_address]);
        back.handed_back = true;
        Step::Send { to, forward: back, declined: true }
    }

    /// Admits the flow and determines whether to notify its home agent.
    fn admit(&mut self, now: Millis, flow: flow::Key, forward: &Forward) -> Step {
        let mut notify_home = forward.home;
        if notify_home == Some(self.own_address) {
            self.directory.record_admitted(now, flow, self.own_address);
            notify_home = None;
        }
        Step::Deliver { outcome: Outcome::Admit, notify_home }
    }
}
