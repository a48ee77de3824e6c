//! Finds the agent of a flow that this one does not hold.

use lentilreach::process::clock::Millis;

use super::{Agent, Arrival, Cause, Step, Way};
use crate::connection::flow;
use crate::process::roster::{Member, Roster};
use crate::request::message::{Ledger, MAX_ASK, Search, Tally};
use crate::request::place;
use crate::version::routing::Routing;

/// Nodes that pass a segment on to what they take for its home at most. For a second after a
/// change, nodes may disagree on homes.
const MAX_REDIRECTS: u8 = 3;

impl Agent {
    /// Passes a segment on to where its flow may be: first to its homes. The last one that does
    /// not know the flow lets all agents be asked that may hold flows it was not told of.
    pub(super) fn seek(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
    ) -> Step {
        if arrival.segment.flags.reset {
            return Step::Drop(Cause::Elsewhere);
        }
        let flow = arrival.segment.from_caller();
        let mut way = arrival.way.clone();
        way.hops += 1;
        let homes = place::homes(roster, &flow);
        let other = homes.iter().flatten().find(|home| **home != self.address).copied();
        match way.search {
            Search::Home(rank) => {
                let known = self.index.get(now, &flow, &way.tried);
                let known = known.filter(|to| *to != self.address);
                if let Some(member) = known.and_then(|to| roster.get(to)) {
                    if roster.is_unreachable(now, member) {
                        return self.end(arrival, Cause::Unreachable);
                    }
                    way.search = Search::Told;
                    return Step::Pass {
                        to: member.address,
                        way,
                        cause: Cause::Elsewhere,
                    };
                }
                let is_home = homes.contains(&Some(self.address));
                match other {
                    // The sender knows other members.
                    Some(to) if !is_home && way.hops <= MAX_REDIRECTS => {
                        Step::Pass { to, way, cause: Cause::Elsewhere }
                    }
                    Some(to) if is_home && rank == 0 => {
                        way.is_settled = self.unsettled(roster, &flow, &way).is_empty();
                        way.search = Search::Home(1);
                        Step::Pass { to, way, cause: Cause::Elsewhere }
                    }
                    _ => self.walk(now, routing, roster, arrival, way),
                }
            }
            Search::Walk if way.known > 0 => self.walk_on(roster, arrival, way),
            Search::Walk => self.walk(now, routing, roster, arrival, way),
            Search::Open | Search::Known | Search::Told => {
                // One of two homes was wrong about this agent; the other one decides.
                let is_told = way.search == Search::Told;
                if is_told {
                    way.tried.push(self.address);
                }
                way.search = Search::Home(u8::from(is_told));
                match other {
                    Some(to) => Step::Pass { to, way, cause: Cause::Elsewhere },
                    None => self.walk(now, routing, roster, arrival, way),
                }
            }
        }
    }

    /// Begins to ask the agents that may hold a flow without this home knowing.
    fn walk(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
        mut way: Way,
    ) -> Step {
        let flow = arrival.segment.from_caller();
        let is_home = place::homes(roster, &flow).contains(&Some(self.address));
        let unsettled =
            if way.is_settled { Vec::new() } else { self.unsettled(roster, &flow, &way) };
        way.known = u16::try_from(roster.all_known().count()).unwrap_or(u16::MAX);
        way.is_whole = (is_home || way.is_settled) && !roster.is_isolated();
        way.ask.clear();
        for member in unsettled {
            if roster.is_awaited(now, member) {
                way.is_whole = false;
            } else if !member.is_silent {
                way.ask.push(member.address);
            }
        }
        let domain = self.origin_domain(roster, &way);
        place::order(routing, roster, &flow, domain, &mut way.ask);
        if way.ask.len() > MAX_ASK {
            way.is_whole = false;
            way.ask.truncate(MAX_ASK);
        }
        way.search = Search::Walk;
        if self.may_hold(now) {
            let arrival = Arrival { way, ..arrival.clone() };
            return self.deliver(now, &arrival, false);
        }
        self.walk_on(roster, arrival, way)
    }

    /// Passes a segment to the next agent of a walk, or ends a flow that none of them holds.
    fn walk_on(&self, roster: &Roster, arrival: &Arrival, mut way: Way) -> Step {
        let own = self.address;
        way.ask.retain(|agent| *agent != own && roster.get(*agent).is_some());
        // The node that began the walk may not know the right agent.
        way.is_whole &= roster.reachable() <= way.known;
        if !way.ask.is_empty() {
            let to = way.ask.remove(0);
            return Step::Pass { to, way, cause: Cause::Elsewhere };
        }
        if way.is_whole {
            self.end(arrival, Cause::Nowhere)
        } else {
            Step::Drop(Cause::Unknown)
        }
    }

    /// The other agents that may hold a flow without having told this one.
    ///
    /// Agents tell the nodes that they take for homes. Another node knows nothing: it looks for
    /// the flow because the homes did not answer, and does not ask them again.
    fn unsettled<'r>(
        &self,
        roster: &'r Roster,
        flow: &flow::Key,
        way: &Way,
    ) -> Vec<&'r Member> {
        let homes = place::homes(roster, flow);
        let is_home = homes.contains(&Some(self.address));
        let is_certain = is_home && place::is_certain_home(roster, flow, self.address);
        let all_known = roster.all_known().count();
        let others = roster.agents().filter(|member| member.address != self.address);
        let untried = others.filter(|member| !way.tried.contains(&member.address));
        let unsettled = untried.filter(|member| {
            let Some(ledger) = member.ledger.filter(|_| is_home) else {
                return is_home || !homes.contains(&Some(member.address));
            };
            let has_told = is_certain && usize::from(ledger.known) <= all_known
                || !member.is_silent && ledger.view == roster.view();
            !(has_told && self.is_received(roster, member, ledger))
        });
        unsettled.collect()
    }

    /// Whether this agent has received all that another one sent to it of all of its flows.
    fn is_received(&self, roster: &Roster, member: &Member, ledger: Ledger) -> bool {
        let Tally { epoch, count } = self.received.tally(member.address, member.node);
        let is_received = ledger.sent.count == 0
            || (ledger.sent.epoch == epoch && ledger.sent.count <= count);
        is_received && ledger.is_complete && ledger.receiver == self.node(roster)
    }
}
