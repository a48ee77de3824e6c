//! What agents tell each other of the flows that they hold.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

use super::{Agent, News};
use crate::connection::flow;
use crate::connection::held::{Held, Home, Stage};
use crate::process::roster::{Member, Roster};
use crate::request::message::{Beat, Ledger, MAX_TAKEN, Taken};
use crate::request::place;

impl Agent {
    /// Takes note that another agent holds flows whose home this agent is.
    pub fn taken(
        &mut self,
        now: Millis,
        roster: &Roster,
        from: SocketAddrV4,
        taken: &Taken,
    ) {
        for flow in &taken.flows {
            self.index.insert(now, *flow, from);
        }
        if taken.receiver == self.node(roster) {
            self.received.count(from, taken);
        }
    }

    /// Takes a beat of another agent. If a message to it was lost, [`Self::news`] tells it all
    /// flows again.
    pub fn beat(
        &mut self,
        now: Millis,
        roster: &Roster,
        from: SocketAddrV4,
        beat: &Beat<'_>,
    ) {
        let Some(ledger) = beat.ledger else { return };
        let home = Home { address: from, node: beat.node };
        if ledger.receiver != self.node(roster)
            || !self.sent.is_lost(now, home, ledger.received)
        {
            return;
        }
        self.told = None;
        self.held.retain(|_, held| {
            for slot in held.homes.iter_mut().filter(|slot| **slot == Some(home)) {
                *slot = None;
            }
            true
        });
    }

    /// What the next beat to another agent says of the flows that it was told.
    pub fn ledger(&self, now: Millis, member: &Member) -> Ledger {
        let home = Home { address: member.address, node: member.node };
        Ledger {
            receiver: member.node,
            view: self.view,
            known: self.known,
            is_complete: self.is_complete(now),
            sent: self.sent.tally(home),
            received: self.received.tally(member.address, member.node),
        }
    }

    /// What homes are to be told since the last call.
    pub fn news(&mut self, now: Millis, roster: &Roster) -> Vec<News> {
        let generation = roster.generation();
        let is_changed = self.told != Some(generation);
        self.told = Some(generation);
        self.view = roster.view();
        self.known = roster.reachable();
        let mut due: Vec<(Home, Vec<flow::Key>)> = Vec::new();
        let own = self.address;
        self.held.retain(|flow, held| {
            if (held.told != Some(generation) || is_changed) && held.is_present() {
                for home in untold(roster, own, flow, held) {
                    match due.binary_search_by_key(&home, |(known, _)| *known) {
                        Ok(place) => due[place].1.push(*flow),
                        Err(place) => due.insert(place, (home, vec![*flow])),
                    }
                }
            }
            true
        });
        let sender = self.node(roster);
        let chunks = due.iter().flat_map(|(home, flows)| {
            flows.chunks(MAX_TAKEN).map(|flows| (*home, flows.to_vec()))
        });
        chunks.map(|(home, flows)| self.sent_news(now, sender, home, flows)).collect()
    }

    /// What homes are to be told of one flow at once, so that it is found wherever the caller's
    /// next segment goes.
    pub fn announce(
        &mut self,
        now: Millis,
        roster: &Roster,
        flow: &flow::Key,
    ) -> Vec<News> {
        let held = self.held.get(now, flow);
        let Some(held) = held.filter(|held| held.stage == Stage::Accepted) else {
            return Vec::new();
        };
        let homes = untold(roster, self.address, flow, held);
        let sender = self.node(roster);
        homes.map(|home| self.sent_news(now, sender, home, vec![*flow])).collect()
    }

    /// A message to a home, which counts as sent.
    fn sent_news(
        &mut self,
        now: Millis,
        sender: u64,
        home: Home,
        flows: Vec<flow::Key>,
    ) -> News {
        let epoch = self.sent.count(now, home);
        let taken = Taken { sender, receiver: home.node, epoch, flows };
        News { to: home.address, taken }
    }
}

/// The homes of a flow other than `own` that were not told of it yet; marks them as told.
fn untold(
    roster: &Roster,
    own: SocketAddrV4,
    flow: &flow::Key,
    held: &mut Held,
) -> impl Iterator<Item = Home> + use<> {
    let homes = place::homes(roster, flow).map(|home| {
        let member = roster.get(home?)?;
        Some(Home { address: member.address, node: member.node })
    });
    held.told = Some(roster.generation());
    let told = std::mem::replace(&mut held.homes, homes);
    let others = homes.into_iter().flatten().filter(move |home| home.address != own);
    others.filter(move |home| !told.contains(&Some(*home)))
}
