//! The way of an opening packet from agent to agent.

use std::net::SocketAddrV4;

use crate::connection::directory::{Directory, Way};
use crate::connection::flow;
use crate::connection::open::{self, Offer, Outcome};
use crate::process::clock::Millis;
use crate::request::envelope::{Forward, HOME};

/// What an agent does with an opening packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Gives it to the connection, or refuses the flow there.
    Deliver {
        /// What the table of flows decided.
        outcome: Outcome,
        /// The home of the flow, if it is to be told that the flow was taken here.
        tell: Option<SocketAddrV4>,
    },
    /// Sends it to another agent.
    Send {
        /// The agent.
        to: SocketAddrV4,
        /// The packet's new header.
        forward: Forward,
        /// Whether this agent declined the flow, not only passed it on as its home.
        declined: bool,
    },
    /// Drops it: no candidate is left.
    Drop,
}

/// The state of one agent that its steps depend on.
#[derive(Debug)]
pub struct Guide<'a> {
    /// The agent's address.
    pub me: SocketAddrV4,
    /// Whether the agent serves the service addressed.
    pub serves: bool,
    /// Its open flows.
    pub flows: &'a mut open::Table,
    /// The flows whose home it is.
    pub directory: &'a mut Directory,
}

impl Guide<'_> {
    /// Decides on an opening packet.
    ///
    /// A packet visits its home, then each candidate once at most, then, if it was handed
    /// back, two of them once more.
    pub fn step(&mut self, now: Millis, flow: flow::Key, mut forward: Forward) -> Step {
        if forward.position == HOME {
            let list = match self.directory.look(now, flow, &forward.candidates) {
                Way::Candidates(list) => list.to_vec(),
                Way::Taken(agent) => vec![agent],
            };
            let Some(first) = list.first().copied() else { return Step::Drop };
            forward = forward.redirect(list);
            if first != self.me {
                return Step::Send { to: first, forward, declined: false };
            }
        }
        match self.decide(now, flow, &forward) {
            Outcome::HandOn => self.hand_on(forward),
            Outcome::HandBack => self.hand_back(&forward),
            Outcome::Admit => self.admit(now, flow, &forward),
            outcome => Step::Deliver { outcome, tell: None },
        }
    }

    /// Offers the flow to the table.
    fn decide(&mut self, now: Millis, flow: flow::Key, forward: &Forward) -> Outcome {
        if !self.serves {
            return Outcome::HandOn;
        }
        self.flows.set_mean(forward.mean);
        let offer = Offer {
            declined: forward.position,
            remaining: forward.remaining(),
            fewest: forward.fewest.map(|(_, open)| open),
            returned: forward.returned,
        };
        self.flows.compare(now, flow, offer)
    }

    /// Sends the packet to the next candidate.
    fn hand_on(&self, forward: Forward) -> Step {
        let Some((to, mut next)) = forward.next() else { return Step::Drop };
        let open = self.flows.open();
        let fewer = next.fewest.is_none_or(|(_, fewest)| open < fewest);
        if self.serves && !next.returned && !self.flows.is_leaving() && fewer {
            next.fewest = Some((self.me, open));
        }
        Step::Send { to, forward: next, declined: true }
    }

    /// Sends the packet back to the candidate with the fewest open flows. Should it no
    /// longer take the flow, the packet comes back here.
    fn hand_back(&self, forward: &Forward) -> Step {
        let Some((to, _)) = forward.fewest else { return Step::Drop };
        let mut back = forward.redirect(vec![to, self.me]);
        back.returned = true;
        Step::Send { to, forward: back, declined: true }
    }

    /// Takes the flow and lets its home know.
    fn admit(&mut self, now: Millis, flow: flow::Key, forward: &Forward) -> Step {
        let mut tell = forward.home;
        if tell == Some(self.me) {
            self.directory.settle(now, flow, self.me);
            tell = None;
        }
        Step::Deliver { outcome: Outcome::Admit, tell }
    }
}
