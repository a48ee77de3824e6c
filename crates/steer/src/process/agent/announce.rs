//! Announces the flows that an agent holds to their home nodes.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

use super::{Agent, Outgoing};
use crate::connection::flow;
use crate::connection::index::Holder;
use crate::connection::state::{Home, Stage, State};
use crate::process::roster::{Member, Roster};
use crate::request::message::{Announcement, Heartbeat, MAX_ANNOUNCED, SyncStatus};
use crate::request::placement;

impl Agent {
    /// Records that another agent holds flows that this agent is a home node of.
    pub fn handle_announcement(
        &mut self,
        now: Millis,
        roster: &Roster,
        from: SocketAddrV4,
        announcement: &Announcement,
    ) {
        let holder = Holder { address: from, incarnation: announcement.sender };
        for flow in &announcement.flows {
            self.index.insert(now, *flow, holder, current_homes(roster, flow));
            self.questions.remove(flow);
        }
        if announcement.receiver == self.incarnation(roster) {
            self.received.count(from, announcement);
        }
    }

    /// Records that another agent has left, and that its flows have ended. The process that
    /// takes over its address may have announced flows already.
    pub fn handle_leave(&mut self, from: SocketAddrV4, incarnation: u64) {
        if !self.received.has_other(from, incarnation) {
            self.index.remove_agent(from);
        }
    }

    /// Processes a heartbeat of another agent. If an announcement to that agent was lost,
    /// the next call of [`Self::announcements`] announces all flows to it again.
    pub fn handle_heartbeat(
        &mut self,
        now: Millis,
        roster: &Roster,
        from: SocketAddrV4,
        heartbeat: &Heartbeat<'_>,
    ) {
        let Some(sync_status) = heartbeat.sync_status else { return };
        let home = Home { address: from, incarnation: heartbeat.incarnation };
        let is_replaced =
            roster.get(from).is_none_or(|member| member.incarnation != home.incarnation);
        if is_replaced
            || sync_status.receiver != self.incarnation(roster)
            || !self.sent.detect_loss(now, home, sync_status.received)
        {
            return;
        }
        self.announced_generation = None;
        self.flows.retain(|_, state| {
            for informed in
                state.homes.iter_mut().filter(|informed| **informed == Some(home))
            {
                *informed = None;
            }
            true
        });
    }

    /// The synchronisation status to send to another agent with the next heartbeat.
    pub fn sync_status(&self, roster: &Roster, member: &Member) -> SyncStatus {
        let home = Home { address: member.address, incarnation: member.incarnation };
        // Otherwise some announcements are due, which the count doesn't include yet.
        let has_announced = self.is_announced(roster)
            && self.unannounced.binary_search(&member.address).is_err();
        SyncStatus {
            receiver: member.incarnation,
            view_hash: roster.view_hash(),
            hears_all: roster.hears_all(),
            is_complete: has_announced && self.knows_all_flows(),
            sent: self.sent.progress(home),
            received: self.received.progress(member.address, member.incarnation),
            question: self.questions.sent(),
            answered: member.sync_status.map_or(0, |status| status.question),
        }
    }

    /// Whether other agents must be asked for a heartbeat now, because this home node was
    /// asked for a flow that it doesn't know: those that [`Self::has_answered`] excludes.
    pub fn is_question_due(&mut self, now: Millis, roster: &Roster) -> bool {
        self.questions.is_due(now, roster.agents().count() as u64)
    }

    /// Whether another agent has answered the last question.
    pub fn has_answered(&self, member: &Member) -> bool {
        let status = member.sync_status;
        status.is_some_and(|status| status.answered >= self.questions.sent())
    }

    /// Whether flows have been announced to the present home nodes.
    pub fn is_announced(&self, roster: &Roster) -> bool {
        self.announced_generation == Some(roster.generation())
    }

    /// The announcements that have become due since the last call.
    pub fn announcements(&mut self, now: Millis, roster: &Roster) -> Vec<Outgoing> {
        let generation = roster.generation();
        let is_changed = self.announced_generation != Some(generation);
        self.announced_generation = Some(generation);
        let mut due: Vec<(Home, Vec<flow::Key>)> = Vec::new();
        let own = self.address;
        let unannounced = &mut self.unannounced;
        unannounced.clear();
        self.flows.retain(|flow, state| {
            let is_due = state.announced_generation != Some(generation) || is_changed;
            if is_due && state.stage == Stage::Accepted {
                let before = unannounced.len();
                let homes = current_homes(roster, flow).into_iter().flatten();
                let others = homes.filter(|home| home.address != own);
                let uninformed =
                    others.filter(|home| !state.homes.contains(&Some(*home)));
                unannounced.extend(uninformed.map(|home| home.address));
                let is_known = unannounced.len() == before;
                state.announced_generation = is_known.then_some(generation);
            }
            if is_due && state.is_established() {
                for home in uninformed_homes(roster, own, flow, state) {
                    match due.binary_search_by_key(&home, |(known, _)| *known) {
                        Ok(index) => due[index].1.push(*flow),
                        Err(index) => due.insert(index, (home, vec![*flow])),
                    }
                }
            }
            true
        });
        unannounced.sort_unstable();
        unannounced.dedup();
        let sender = self.incarnation(roster);
        let chunks = due.iter().flat_map(|(home, flows)| {
            flows.chunks(MAX_ANNOUNCED).map(|flows| (*home, flows.to_vec()))
        });
        chunks
            .map(|(home, flows)| self.announcement_to(now, sender, home, flows))
            .collect()
    }

    /// The announcements of a flow that was just accepted, or that the backend server has just
    /// shown to hold. They are sent immediately, so that the caller's next segment finds the
    /// flow even if it arrives through another balancer.
    pub fn announce_flow(
        &mut self,
        now: Millis,
        roster: &Roster,
        flow: &flow::Key,
    ) -> Vec<Outgoing> {
        let state = self.flows.get(now, flow);
        let Some(state) =
            state.filter(|state| matches!(state.stage, Stage::Accepted | Stage::Open))
        else {
            return Vec::new();
        };
        let homes = uninformed_homes(roster, self.address, flow, state);
        let sender = self.incarnation(roster);
        homes.map(|home| self.announcement_to(now, sender, home, vec![*flow])).collect()
    }

    /// Creates an announcement and counts it as sent.
    fn announcement_to(
        &mut self,
        now: Millis,
        sender: u64,
        home: Home,
        flows: Vec<flow::Key>,
    ) -> Outgoing {
        let progress = self.sent.count(now, home);
        let announcement = Announcement {
            sender,
            receiver: home.incarnation,
            epoch: progress.epoch,
            number: progress.count,
            flows,
        };
        Outgoing { to: home.address, announcement }
    }
}

/// The home nodes of a flow, except for `own`, that it was not announced to yet. Marks
/// them as informed.
fn uninformed_homes(
    roster: &Roster,
    own: SocketAddrV4,
    flow: &flow::Key,
    state: &mut State,
) -> impl Iterator<Item = Home> + use<> {
    let homes = current_homes(roster, flow);
    state.announced_generation = Some(roster.generation());
    let informed = std::mem::replace(&mut state.homes, homes);
    let others = homes.into_iter().flatten().filter(move |home| home.address != own);
    others.filter(move |home| !informed.contains(&Some(*home)))
}

/// The home nodes of a flow with their incarnations.
pub(super) fn current_homes(roster: &Roster, flow: &flow::Key) -> [Option<Home>; 2] {
    placement::homes(roster, flow).map(|home| {
        let member = roster.get(home?)?;
        Some(Home { address: member.address, incarnation: member.incarnation })
    })
}
