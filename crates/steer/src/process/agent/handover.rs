//! Hands over entries of a home node's index to other agents.
//!
//! Where a flow is held doesn't change while agents are restarted, but a restarted agent has
//! forgotten the flows that it announced. Entries of such agents would be lost once both home
//! nodes were restarted as well.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

use super::Agent;
use super::announce::current_homes;
use crate::connection::flow;
use crate::connection::index::Holder;
use crate::process::roster::Roster;
use crate::request::message::{Handover, MAX_ANNOUNCED};
use crate::request::placement;

/// Entries to be sent to another agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandedOver {
    /// Address of the agent.
    pub to: SocketAddrV4,
    /// The message.
    pub handover: Handover,
}

impl Agent {
    /// Records entries of the index of another agent.
    pub fn handle_handover(&mut self, now: Millis, roster: &Roster, handover: &Handover) {
        let Handover { holder: address, incarnation, .. } = *handover;
        if address == self.address {
            return;
        }
        let holder = Holder { address, incarnation };
        for flow in &handover.flows {
            let homes = current_homes(roster, flow);
            self.index.insert_handed_over(now, *flow, holder, homes);
            self.questions.remove(flow);
        }
    }

    /// The entries that new home nodes need, if the set of agents has changed since the last
    /// call. A holder that was not restarted announces its flows to them itself.
    pub fn handovers(&mut self, roster: &Roster) -> Vec<HandedOver> {
        let generation = roster.generation();
        if self.handed_generation.replace(generation) == Some(generation) {
            return Vec::new();
        }
        let has_forgotten = |holder: &Holder| {
            roster.get(holder.address).is_none_or(|member| {
                member.is_silent || member.incarnation != holder.incarnation
            })
        };
        let mut due = Due::default();
        self.index.for_each(|flow, entry| {
            let holders = entry.agents.into_iter().flatten();
            let forgotten: Vec<_> = holders.filter(has_forgotten).collect();
            if forgotten.is_empty() {
                return;
            }
            let homes = current_homes(roster, flow);
            let informed = std::mem::replace(&mut entry.homes, homes);
            let uninformed =
                homes.into_iter().flatten().filter(|h| !informed.contains(&Some(*h)));
            for home in uninformed.filter(|home| home.address != self.address) {
                for holder in &forgotten {
                    due.push(home.address, *holder, *flow);
                }
            }
        });
        due.into_messages()
    }

    /// All entries, for agents that don't have them, because this process is about to stop.
    /// Another home node may stop at the same time.
    pub fn final_handovers(&mut self, roster: &Roster) -> Vec<HandedOver> {
        let own = self.address;
        let mut due = Due::default();
        self.index.for_each(|flow, entry| {
            for to in placement::successors(roster, flow, &[own]).into_iter().flatten() {
                for holder in entry.agents.into_iter().flatten() {
                    due.push(to, holder, *flow);
                }
            }
        });
        // This node has no entries of its own flows.
        let holder = Holder { address: own, incarnation: self.incarnation(roster) };
        self.flows.retain(|flow, state| {
            let is_home = placement::homes(roster, flow).contains(&Some(own));
            if is_home && state.is_established() {
                let successors = placement::successors(roster, flow, &[own]);
                for to in successors.into_iter().flatten() {
                    due.push(to, holder, *flow);
                }
            }
            true
        });
        due.into_messages()
    }
}

/// Collects entries by receiver and holder.
#[derive(Debug, Default)]
struct Due {
    /// Sorted by receiver and holder.
    entries: Vec<((SocketAddrV4, Holder), Vec<flow::Key>)>,
}

impl Due {
    /// Adds an entry.
    fn push(&mut self, to: SocketAddrV4, holder: Holder, flow: flow::Key) {
        let key = (to, holder);
        match self.entries.binary_search_by_key(&key, |(known, _)| *known) {
            Ok(index) => self.entries[index].1.push(flow),
            Err(index) => self.entries.insert(index, (key, vec![flow])),
        }
    }

    /// Puts the entries into messages.
    fn into_messages(self) -> Vec<HandedOver> {
        let mut messages = Vec::new();
        for ((to, holder), flows) in self.entries {
            if to == holder.address {
                continue;
            }
            for flows in flows.chunks(MAX_ANNOUNCED) {
                let Holder { address, incarnation } = holder;
                let handover =
                    Handover { holder: address, incarnation, flows: flows.to_vec() };
                messages.push(HandedOver { to, handover });
            }
        }
        messages
    }
}
