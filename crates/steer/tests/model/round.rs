//! What nodes do regularly: ticks, reports and heartbeats; and how processes start. The
//! counterpart of the tasks in `process/driver`.

use lentilreach_steer::process::backend::TICK_MS;
use lentilreach_steer::process::roster::{Change, HEARTBEAT_INTERVAL_MS, Role};
use lentilreach_steer::request::message::Heartbeat;

use super::node::{BalancerNode, DOMAIN, Held};
use super::world::{Payload, Peer, Removed, World, hash, role};

const TICKS: u64 = HEARTBEAT_INTERVAL_MS / TICK_MS;

/// Maximum lifetime of a flow, as in the settings.
const MAX_FLOW_AGE_MS: u64 = 60_000;

/// A heartbeat that was not delivered in a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Missed {
    /// Its sender.
    pub from: Peer,
    /// Its receiver.
    pub to: Peer,
    /// Whether it arrives later.
    pub is_late: bool,
}

impl World {
    /// Lets a heartbeat interval pass: backend servers report, agents tick, and at its end
    /// all nodes send heartbeats, which arrive at once except for one.
    pub fn round(&mut self, missed: Option<Missed>) {
        for _ in 0..TICKS {
            self.now = self.now.after(TICK_MS);
            self.drop_idle_flows();
            for index in 0..self.agents() {
                self.tick(index);
            }
        }
        self.age_waiting_segments();
        let mut sent = Vec::new();
        for index in 0..self.agents() {
            if self.is_running(index) {
                self.agent_round(index, &mut sent);
            }
        }
        for index in 0..self.balancers() {
            self.balancer_round(index, &mut sent);
        }
        for (from, to, heartbeat) in sent {
            match missed {
                Some(missed) if (missed.from, missed.to) == (from, to) => {
                    if missed.is_late {
                        self.push(from, to, Payload::Heartbeat(heartbeat));
                    }
                }
                _ => self.exchange(from, to, &heartbeat),
            }
        }
    }

    /// Adds the interval to the wait of segments in the sockets of agents that stand still,
    /// as their drivers do when they go on.
    fn age_waiting_segments(&mut self) {
        let frozen: Vec<_> =
            (0..self.agents()).map(|index| self.agent(index).is_frozen).collect();
        for datagram in &mut self.in_flight {
            let is_waiting = matches!(datagram.to, Peer::Agent(index) if frozen[index]);
            if let Payload::Segment(arrival) = &mut datagram.payload
                && is_waiting
            {
                arrival.forwarding.delay_ms += HEARTBEAT_INTERVAL_MS as u32;
                datagram.hash = hash(&(datagram.from, datagram.to, &datagram.payload));
            }
        }
    }

    /// Backend servers drop flows that are idle for as long as the routes allow.
    fn drop_idle_flows(&mut self) {
        let (now, idle_ms) = (self.now, self.routing.idle_ms);
        for index in 0..self.agents() {
            let server = &self.agent(index).server;
            if server.flow != Held::No && now.since(server.used_at) >= idle_ms {
                self.agent_mut(index).server.end_flow();
            }
        }
    }

    /// The regular work of an agent between heartbeats.
    pub fn tick(&mut self, index: usize) {
        if !self.is_running(index) {
            return;
        }
        let now = self.now;
        let node = self.agent_mut(index);
        let ended = node.agent.tick(now);
        let announcements = node.agent.announcements(now, &node.roster);
        for _ in ended {
            self.reset_caller(Peer::Agent(index), None, "backend_gone");
        }
        for outgoing in announcements {
            let payload = Payload::Announcement(outgoing.announcement);
            self.send(Peer::Agent(index), outgoing.to, payload);
        }
        self.hand_over(index);
        self.ask_if_due(index);
        self.probe_server(index);
        self.release_postponed(index);
    }

    /// Lets the store name the instance of an agent's backend server, if it answers.
    pub fn write_record(&mut self, index: usize) {
        let now = self.now;
        if self.is_store_down {
            return;
        }
        if self.removed == Removed::Record {
            // The agent takes it for written.
            let stored = self.agent(index).stored;
            self.agent_mut(index).write_record(now);
            self.agent_mut(index).stored = stored;
        } else {
            self.agent_mut(index).write_record(now);
        }
    }

    /// Hands over entries of an agent's index.
    fn hand_over(&mut self, index: usize) {
        let node = self.agent_mut(index);
        for handed_over in node.agent.handovers(&node.roster) {
            let payload = Payload::Handover(handed_over.handover);
            self.send(Peer::Agent(index), handed_over.to, payload);
        }
    }

    /// Ends the flows of a backend server that doesn't run any more, when its reports are
    /// missing.
    fn probe_server(&mut self, index: usize) {
        let now = self.now;
        let node = self.agent_mut(index);
        if node.agent.is_probe_due() && !node.server.is_alive {
            let ended = node.agent.record_absence(now);
            for _ in ended {
                self.reset_caller(Peer::Agent(index), None, "backend_gone");
            }
        }
    }

    /// Asks the other agents for a heartbeat if an agent needs their answers.
    pub fn ask_if_due(&mut self, index: usize) {
        let (now, routing) = (self.now, self.routing.clone());
        let node = self.agent_mut(index);
        if !node.agent.is_question_due(now, &node.roster) {
            return;
        }
        let question = Heartbeat { wants_reply: true, ..node.heartbeat(now, &routing) };
        let node = self.agent(index);
        let others = node.roster.agents().filter(|member| member.address != node.address);
        let asked = others.filter(|member| !node.agent.has_answered(member));
        let sent: Vec<_> = asked
            .filter_map(|member| {
                let sync_status = Some(node.sync_status(member)?);
                Some((member.address, Heartbeat { sync_status, ..question.clone() }))
            })
            .collect();
        for (to, question) in sent {
            self.send(Peer::Agent(index), to, Payload::Heartbeat(question));
        }
    }

    /// The report of an agent's backend server, and the heartbeats of the agent.
    fn agent_round(
        &mut self,
        index: usize,
        sent: &mut Vec<(Peer, Peer, Heartbeat<'static>)>,
    ) {
        let (now, routing) = (self.now, self.routing.clone());
        let node = self.agent_mut(index);
        if node.server.is_alive {
            let ended = node.report(now);
            if ended > 0 {
                self.reset_caller(Peer::Agent(index), None, "backend_replaced");
            }
            self.write_record(index);
        }
        let node = self.agent_mut(index);
        node.roster.tick(now);
        node.agent.expire(now, MAX_FLOW_AGE_MS);
        node.agent.update_knowledge(now, &routing);
        let own = node.heartbeat(now, &routing);
        let address = node.address;
        // Never outdated, since the sequence increases.
        let _ = node.roster.record_heartbeat(now, address, &own);
        let heartbeat = node.heartbeat(now, &routing);
        let node = self.agent(index);
        for member in node.roster.members() {
            let Some(to) = self.peer(member.address) else { continue };
            let sync_status = node.sync_status(member);
            let heartbeat = Heartbeat { sync_status, ..heartbeat.clone() };
            if to != Peer::Agent(index) {
                sent.push((Peer::Agent(index), to, heartbeat));
            }
        }
    }

    /// The heartbeats of a balancer.
    fn balancer_round(
        &mut self,
        index: usize,
        sent: &mut Vec<(Peer, Peer, Heartbeat<'static>)>,
    ) {
        let now = self.now;
        let node = self.balancer_mut(index);
        node.roster.tick(now);
        node.balancer.expire(now, MAX_FLOW_AGE_MS);
        let heartbeat = node.heartbeat();
        for member in self.balancer(index).roster.agents() {
            let Some(to) = self.peer(member.address) else { continue };
            sent.push((Peer::Balancer(index), to, heartbeat.clone()));
        }
    }

    /// Delivers a heartbeat and its answer at once.
    fn exchange(&mut self, from: Peer, to: Peer, heartbeat: &Heartbeat<'static>) {
        if !self.is_connected(from, to) {
            return;
        }
        if let Some(answer) = self.handle_heartbeat(from, to, heartbeat)
            && self.is_connected(to, from)
        {
            self.handle_heartbeat(to, from, &answer);
        }
    }

    /// Processes a heartbeat. Returns the one that is sent in return.
    pub fn handle_heartbeat(
        &mut self,
        from: Peer,
        to: Peer,
        heartbeat: &Heartbeat<'static>,
    ) -> Option<Heartbeat<'static>> {
        let (now, routing) = (self.now, self.routing.clone());
        let sender = self.address(from);
        let is_checked = self.removed != Removed::IncarnationCheck;
        match to {
            Peer::Agent(index) if self.is_running(index) => {
                let node = self.agent_mut(index);
                let mut heartbeat = heartbeat.clone();
                if let Some(status) =
                    heartbeat.sync_status.as_mut().filter(|_| !is_checked)
                {
                    status.receiver = node.incarnation;
                }
                let change = node.roster.record_heartbeat(now, sender, &heartbeat);
                node.agent.handle_heartbeat(now, &node.roster, sender, &heartbeat);
                let is_answered = heartbeat.wants_reply || change == Ok(Change::Joined);
                let answer = is_answered.then(|| {
                    let reply = node.heartbeat(now, &routing);
                    let member = node.roster.get(sender);
                    let sync_status = member.and_then(|m| node.sync_status(m));
                    Heartbeat { sync_status, ..reply }
                });
                self.release_postponed(index);
                answer
            }
            Peer::Balancer(index) => {
                let node = self.balancer_mut(index);
                let change = node.roster.record_heartbeat(now, sender, heartbeat);
                let is_answered = heartbeat.wants_reply || change == Ok(Change::Joined);
                is_answered.then(|| node.heartbeat())
            }
            Peer::Agent(_) | Peer::Caller => None,
        }
    }

    /// A new process starts at an agent's address and reads the list of members. They get
    /// its first heartbeat in the next round.
    pub fn restart_agent(&mut self, index: usize) {
        let now = self.now;
        self.agent_mut(index).restart(now);
        self.write_record(index);
        self.list_members(Peer::Agent(index));
    }

    /// A new process starts at a balancer's address.
    pub fn restart_balancer(&mut self, index: usize) {
        let (now, before) = (self.now, self.balancer(index).incarnation);
        *self.balancer_mut(index) = BalancerNode::new(now, index, before + 1);
        self.list_members(Peer::Balancer(index));
    }

    /// Adds the members in the store to the roster of a node.
    pub fn list_members(&mut self, own: Peer) {
        let now = self.now;
        let agents = (0..self.agents()).filter(|index| self.agent(*index).is_present);
        let mut listed: Vec<_> = agents.map(Peer::Agent).collect();
        if role(own) == Role::Agent {
            listed.extend((0..self.balancers()).map(Peer::Balancer));
        }
        for peer in listed.into_iter().filter(|peer| *peer != own) {
            let address = self.address(peer);
            let roster = match own {
                Peer::Agent(index) => &mut self.agent_mut(index).roster,
                Peer::Balancer(index) => &mut self.balancer_mut(index).roster,
                Peer::Caller => continue,
            };
            roster.insert_unheard(now, address, role(peer), DOMAIN.into());
        }
    }
}
