//! Tells other nodes what an agent's backend server bears and which flows it holds.

use std::net::SocketAddrV4;

use lentilreach::process::link::Link;

use super::State;
use crate::process::agent::{HandedOver, Outgoing};
use crate::process::driver::node::Stated;
use crate::process::metric;
use crate::process::roster::{Member, Role, Roster};
use crate::request::message::{BackendStatus, Load, Message, SyncStatus, from_tenths};
use crate::request::segment::Format;

impl<F: Format, L: Link> State<F, L> {
    /// Sends a heartbeat to all members.
    pub(super) fn broadcast_heartbeat(&self) {
        let stated = Stated { status: self.backend_status(), load: self.load() };
        if let Some(load) = &stated.load {
            self.report_load(load);
        }
        *self.node.stated.write() = stated;
        self.node.record_own_heartbeat(Role::Agent);
        self.node.broadcast_heartbeat(Role::Agent, |roster, member| {
            self.sync_status(roster, member)
        });
    }

    /// The synchronisation status to include in a heartbeat to a member.
    pub(super) fn sync_status(
        &self,
        roster: &Roster,
        member: &Member,
    ) -> Option<SyncStatus> {
        let is_home = member.role == Role::Agent && member.incarnation != 0;
        is_home.then(|| self.flows.read().sync_status(roster, member))
    }

    /// Replies to a heartbeat. The reply includes the answer to the sender's question, if
    /// there was one.
    pub(super) fn reply_heartbeat(&self, to: SocketAddrV4) {
        let sync_status = {
            let roster = self.node.roster.read();
            roster.get(to).and_then(|member| self.sync_status(&roster, member))
        };
        self.node.reply_heartbeat(to, Role::Agent, sync_status);
    }

    /// Asks the other agents for a heartbeat if a home node needs their answers to decide
    /// whether a flow has ended.
    pub(super) fn ask_if_due(&self) {
        let is_due = {
            let roster = self.node.roster.read();
            self.flows.write().is_question_due(self.node.now(), &roster)
        };
        if is_due {
            metric::count(&metric::QUESTIONS);
            self.node.ask_agents(|roster, member| {
                let has_answered = self.flows.read().has_answered(member);
                self.sync_status(roster, member).filter(|_| !has_answered)
            });
        }
    }

    /// Announces flows to new home nodes, so that an answer doesn't have to say that some are
    /// not announced yet.
    pub(super) fn announce_if_due(&self) {
        let announcements = {
            let roster = self.node.roster.read();
            let mut flows = self.flows.write();
            if flows.is_announced(&roster) {
                return;
            }
            flows.announcements(self.node.now(), &roster)
        };
        self.send_announcements(announcements);
    }

    /// Sends announcements to home nodes.
    pub(super) fn send_announcements(&self, announcements: Vec<Outgoing>) {
        for Outgoing { to, announcement } in announcements {
            self.node.send(to, &Message::Announcement(announcement));
        }
    }

    /// Sends the entries of the index that new home nodes need.
    pub(super) fn hand_over(&self) {
        let handovers = {
            let roster = self.node.roster.read();
            self.flows.write().handovers(&roster)
        };
        self.send_handovers(handovers);
    }

    /// Sends all entries of the index to agents that may become home nodes.
    pub(super) fn hand_over_all(&self) {
        let handovers = {
            let roster = self.node.roster.read();
            self.flows.write().final_handovers(&roster)
        };
        self.send_handovers(handovers);
    }

    /// Sends entries of the index.
    fn send_handovers(&self, handovers: Vec<HandedOver>) {
        for HandedOver { to, handover } in handovers {
            metric::count(&metric::HANDOVERS);
            self.node.send(to, &Message::Handover(handover));
        }
    }

    /// Updates the gauges of what the backend server has to do. The gauge of a priority goes
    /// back to zero when nothing of it waits.
    fn report_load(&self, load: &Load) {
        metric::set(&metric::REQUEST_SECONDS, from_tenths(load.request) / 1_000.0);
        metric::set(&metric::GIVEN, from_tenths(load.given));
        metric::set(&metric::PRIORITY_FLOOR, f64::from(load.floor.unwrap_or(u8::MAX)));
        let stated = self.node.stated.read();
        let before = stated.load.iter().flat_map(|load| &load.waiting);
        for waiting in before {
            metric::set_priority(&metric::WAITING, waiting.priority, 0.0);
        }
        for waiting in &load.waiting {
            let jobs = from_tenths(waiting.jobs);
            metric::set_priority(&metric::WAITING, waiting.priority, jobs);
        }
    }

    /// What the backend server has to do, to advertise to balancers.
    fn load(&self) -> Option<Load> {
        self.flows.read().stated_load(self.node.now())
    }

    /// Whether other nodes should know the load of the backend server at once.
    pub(super) fn is_load_changed(&self) -> bool {
        let flows = self.flows.read();
        let stated = self.node.stated.read();
        let load = stated.load.as_ref();
        load.is_some_and(|load| flows.is_load_changed(load, self.node.now()))
    }

    /// The state of the backend server to advertise to balancers.
    pub(super) fn backend_status(&self) -> Option<BackendStatus<'static>> {
        let routing = self.node.routing();
        let balancers = self.node.roster.read().balancers(&self.node.settings.domain);
        self.flows.write().backend_status(self.node.now(), &routing, balancers)
    }
}
