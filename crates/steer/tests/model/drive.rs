//! What the drivers of the programs do with messages and decisions, without sockets and
//! tasks: the counterpart of `process/driver`. All decisions are those of the crate.

use lentilreach_steer::process::agent::{Action, Arrival, BackendAction, Cause, Release};
use lentilreach_steer::process::balancer;
use lentilreach_steer::request::message::Search;
use lentilreach_steer::request::segment::{Flags, Segment};

use super::node::Held;
use super::world::{Datagram, Payload, Peer, Removed, World};
use crate::fixture;

/// Time after which a caller gives up an opening, in milliseconds.
const GIVE_UP_MS: u64 = 1_400;

impl World {
    /// Delivers a message.
    pub fn deliver(&mut self, datagram: Datagram) {
        let Datagram { from, to, payload, .. } = datagram;
        let sender = self.address(from);
        match (to, payload) {
            (Peer::Agent(index), _) if !self.is_running(index) => {}
            (_, Payload::Heartbeat(heartbeat)) => {
                if let Some(answer) = self.handle_heartbeat(from, to, &heartbeat) {
                    self.send(to, sender, Payload::Heartbeat(answer));
                }
            }
            (Peer::Agent(index), Payload::Segment(arrival)) => {
                self.handle_caller_segment(index, arrival);
            }
            (Peer::Agent(index), Payload::Announcement(mut announcement)) => {
                let now = self.now;
                let is_checked = self.removed != Removed::IncarnationCheck;
                let node = self.agent_mut(index);
                if !is_checked {
                    announcement.receiver = node.incarnation;
                }
                node.agent.handle_announcement(now, &node.roster, sender, &announcement);
            }
            (Peer::Agent(index), Payload::Handover(handover)) => {
                let now = self.now;
                let node = self.agent_mut(index);
                node.agent.handle_handover(now, &node.roster, &handover);
            }
            (Peer::Agent(index), Payload::Leave(incarnation)) => {
                let is_checked = self.removed != Removed::IncarnationCheck;
                let node = self.agent_mut(index);
                let known = node.roster.get(sender).map(|member| member.incarnation);
                let incarnation = known.filter(|_| !is_checked).unwrap_or(incarnation);
                if sender != node.address && node.roster.remove(sender, incarnation) {
                    node.agent.handle_leave(sender, incarnation);
                }
            }
            (Peer::Balancer(index), Payload::Leave(incarnation)) => {
                self.balancer_mut(index).roster.remove(sender, incarnation);
            }
            (Peer::Balancer(index), Payload::Found) => {
                let (now, flow) = (self.now, self.flow);
                self.balancer_mut(index).balancer.flow_found(now, flow, sender);
            }
            (Peer::Balancer(index), Payload::NotFound) => {
                let flow = self.flow;
                self.balancer_mut(index).balancer.flow_not_found(&flow);
            }
            (Peer::Caller, Payload::Accept(first)) => {
                if let (Peer::Agent(index), None) = (from, self.caller.chosen) {
                    if self.now.since(self.caller.opened_at) > GIVE_UP_MS {
                        self.caller.is_reset = true;
                        return;
                    }
                    self.caller.chosen = Some(index);
                    self.caller.first = first;
                }
            }
            // Counted as invalid by the programs.
            (Peer::Agent(_) | Peer::Balancer(_) | Peer::Caller, _) => {}
        }
    }

    /// A balancer receives a segment of the caller.
    pub fn forward(&mut self, index: usize, segment: Segment) {
        let (now, routing) = (self.now, self.routing.clone());
        let node = self.balancer_mut(index);
        let origin = node.address;
        let view_hash = (!segment.is_opening()).then(|| node.roster.view_hash());
        match node.balancer.handle_segment(now, &routing, &node.roster, &segment) {
            balancer::Action::Send { to, search, service, is_newly_selected } => {
                let mut arrival = fixture::arrival(segment, search, routing.version);
                arrival.forwarding.origin = origin;
                arrival.forwarding.view_hash = view_hash;
                arrival.service = service;
                if is_newly_selected && search == Search::Open {
                    node.roster.record_placement(now, to);
                }
                self.send(Peer::Balancer(index), to, Payload::Segment(arrival));
            }
            balancer::Action::Refuse { cause, .. } => {
                let by = Peer::Balancer(index);
                self.reset_caller(by, Some(&segment), cause.as_str());
            }
            balancer::Action::Drop(_) => {}
        }
    }

    /// An agent receives a segment of the caller.
    fn handle_caller_segment(&mut self, index: usize, arrival: Arrival) {
        let (now, routing) = (self.now, self.routing.clone());
        let segment = arrival.segment;
        let node = self.agent_mut(index);
        let action =
            node.agent.handle_caller_segment(now, &routing, &node.roster, &arrival);
        if matches!(action, Action::Hold { .. }) {
            node.agent.hold(now, &routing, arrival, Vec::new());
        }
        self.perform(index, segment, action);
        if !segment.is_opening() {
            self.ask_if_due(index);
        }
    }

    /// Performs the action of an agent on a segment of the caller.
    fn perform(&mut self, index: usize, segment: Segment, action: Action) {
        let own = Peer::Agent(index);
        match action {
            Action::Deliver { mark, notify, .. } => {
                if let Some(origin) = notify {
                    self.send(own, origin, Payload::Found);
                }
                self.serve(index, Segment { mark, ..segment });
            }
            Action::Hold { notify } => {
                if let Some(origin) = notify {
                    self.send(own, origin, Payload::Found);
                }
            }
            Action::Postpone(arrival) => {
                let now = self.now;
                self.agent_mut(index).agent.postpone(now, *arrival, Vec::new());
                self.ask_if_due(index);
            }
            Action::Forward { to, mut forwarding, .. } => {
                let now = self.now;
                if segment.is_opening() {
                    self.agent_mut(index).roster.record_offer(now, to);
                }
                if self.removed == Removed::ExhaustiveWalk {
                    forwarding.is_exhaustive = true;
                }
                let service = segment.is_opening().then(|| fixture::CALENDAR.into());
                let flags = Flags { returned: false, ..segment.flags };
                let segment = Segment { flags, mark: 0, ..segment };
                self.send(
                    own,
                    to,
                    Payload::Segment(Arrival { segment, forwarding, service }),
                );
            }
            Action::Drop(Cause::Unknown) if self.removed == Removed::ExhaustiveWalk => {
                self.reset_caller(own, Some(&segment), "not_exhaustive");
            }
            Action::Refuse { notify, cause, .. } => {
                self.reset_caller(own, Some(&segment), cause.as_str());
                if let Some(origin) = notify {
                    self.send(own, origin, Payload::NotFound);
                }
            }
            Action::Drop(_) => {}
        }
    }

    /// Goes on with the searches of an agent for which the answers have arrived.
    pub fn release_postponed(&mut self, index: usize) {
        let (now, routing) = (self.now, self.routing.clone());
        loop {
            let node = self.agent_mut(index);
            let next = node.agent.next_postponed(now, &routing, &node.roster);
            let Some(Release { waiting, action }) = next else { return };
            self.perform(index, waiting.arrival.segment, action);
        }
    }

    /// A backend server receives a segment of the caller from its agent, which gets the
    /// answer at once.
    fn serve(&mut self, index: usize, segment: Segment) {
        let server = &self.agent(index).server;
        if !server.is_alive {
            return;
        }
        let (now, flow, first) = (self.now, self.flow, server.first);
        let is_chosen = segment.acknowledged == first + 1;
        if is_chosen || (segment.is_opening() && server.flow == Held::No) {
            self.agent_mut(index).server.used_at = now;
        }
        let answer = match self.agent(index).server.flow {
            Held::No | Held::Accepted if segment.is_opening() => {
                self.agent_mut(index).server.flow = Held::Accepted;
                fixture::accept(flow, first)
            }
            Held::Open if segment.is_opening() => return,
            Held::No => fixture::returned(segment, segment.mark),
            Held::Accepted | Held::Open if is_chosen => {
                self.agent_mut(index).server.flow = Held::Open;
                if self.caller.first == first {
                    self.caller.received += 1;
                }
                self.check_holders();
                let flags = Flags { acknowledge: true, ..Flags::default() };
                let answer = fixture::from_backend(flow, flags, first + 1);
                Segment { length: 100, ..answer }
            }
            // The caller acknowledges what this backend server never sent.
            Held::Accepted => {
                let flags = Flags { reset: true, ..Flags::default() };
                fixture::from_backend(flow, flags, segment.acknowledged)
            }
            Held::Open => {
                let flags = Flags { acknowledge: true, ..Flags::default() };
                fixture::from_backend(flow, flags, first + 1)
            }
        };
        self.handle_backend_segment(index, answer);
    }

    /// An agent receives a segment of its backend server.
    fn handle_backend_segment(&mut self, index: usize, segment: Segment) {
        let (now, routing) = (self.now, self.routing.clone());
        let is_early = self.removed != Removed::AnnounceBeforeAccept;
        let node = self.agent_mut(index);
        let action =
            node.agent.handle_backend_segment(now, &routing, &node.roster, &segment);
        match action {
            Some(BackendAction::Send { is_accept, is_found, .. }) => {
                if is_found || (is_accept && is_early) {
                    self.announce_flow(index);
                }
                if is_accept {
                    self.agent_mut(index).is_announcement_due = !is_early;
                    self.push(
                        Peer::Agent(index),
                        Peer::Caller,
                        Payload::Accept(segment.sequence),
                    );
                }
                if segment.flags.reset {
                    // Its sequence number is what the caller acknowledged.
                    let cause = Segment { acknowledged: segment.sequence, ..segment };
                    self.reset_caller(Peer::Agent(index), Some(&cause), "backend_reset");
                }
            }
            Some(BackendAction::Returned(action)) => self.perform(index, segment, action),
            Some(BackendAction::Drop(_)) | None => {}
        }
    }

    /// Announces the flow that an agent's backend server has accepted or holds.
    pub fn announce_flow(&mut self, index: usize) {
        let (now, flow) = (self.now, self.flow);
        let node = self.agent_mut(index);
        node.is_announcement_due = false;
        for outgoing in node.agent.announce_flow(now, &node.roster.clone(), &flow) {
            let payload = Payload::Announcement(outgoing.announcement);
            self.send(Peer::Agent(index), outgoing.to, payload);
        }
    }
}
