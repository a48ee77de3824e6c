//! Finds the agent that holds a flow if this one does not.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

use super::{Action, Agent, Arrival, Cause, Forwarding};
use crate::connection::flow;
use crate::process::roster::{Member, Roster};
use crate::request::message::{MAX_TO_VISIT, Progress, Search, SyncStatus};
use crate::request::placement;
use crate::version::routing::Routing;

/// Maximum number of redirections to a supposed home node. For about a second after a
/// membership change, nodes may disagree on home nodes.
const MAX_REDIRECTS: u8 = 3;

impl Agent {
    /// Forwards a segment towards the agent that holds its flow. Its home nodes are asked
    /// first. If neither of them knows the flow, the last one starts a walk through all
    /// agents that may hold flows without having announced them.
    pub(super) fn locate(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
    ) -> Action {
        if arrival.segment.flags.reset {
            return Action::Drop(Cause::Elsewhere);
        }
        let flow = arrival.segment.flow_from_caller();
        let mut forwarding = arrival.forwarding.clone();
        forwarding.hops += 1;
        let homes = placement::homes(roster, &flow);
        let other_home =
            homes.iter().flatten().find(|home| **home != self.address).copied();
        match forwarding.search {
            Search::Home(rank) => {
                if let Some(to) = self.indexed_holder(now, roster, &flow, &forwarding) {
                    forwarding.search = Search::Indexed;
                    return Action::Forward { to, forwarding, cause: Cause::Elsewhere };
                }
                let is_home = homes.contains(&Some(self.address));
                match other_home {
                    // The sender has another view of the membership.
                    Some(to) if !is_home && forwarding.hops <= MAX_REDIRECTS => {
                        Action::Forward { to, forwarding, cause: Cause::Elsewhere }
                    }
                    Some(to) if is_home && rank == 0 => {
                        forwarding.is_index_complete =
                            self.unsynced(roster, &flow, &forwarding).is_empty();
                        forwarding.search = Search::Home(1);
                        Action::Forward { to, forwarding, cause: Cause::Elsewhere }
                    }
                    _ => self.start_walk(now, routing, roster, arrival, forwarding),
                }
            }
            Search::Walk if forwarding.known_agents > 0 => {
                self.continue_walk(roster, arrival, forwarding)
            }
            Search::Walk => self.start_walk(now, routing, roster, arrival, forwarding),
            Search::Open | Search::Known | Search::Indexed => {
                // The sender expected the flow at this agent. If the index of a home node
                // was wrong, the other home node decides.
                let was_indexed = forwarding.search == Search::Indexed;
                if was_indexed {
                    forwarding.tried.push(self.address);
                }
                forwarding.search = Search::Home(u8::from(was_indexed));
                match other_home {
                    Some(to) => {
                        Action::Forward { to, forwarding, cause: Cause::Elsewhere }
                    }
                    None => self.start_walk(now, routing, roster, arrival, forwarding),
                }
            }
        }
    }

    /// The agent that holds a flow according to the index. If two agents have announced
    /// it, the one that is heard, since the caller may have chosen either.
    fn indexed_holder(
        &mut self,
        now: Millis,
        roster: &Roster,
        flow: &flow::Key,
        forwarding: &Forwarding,
    ) -> Option<SocketAddrV4> {
        let is_candidate = |to: &SocketAddrV4| {
            *to != self.address
                && !forwarding.tried.contains(to)
                && roster.get(*to).is_some()
        };
        let holders = self.index.get(now, flow).into_iter().flatten();
        let candidates: Vec<_> = holders.filter(is_candidate).collect();
        let heard = candidates.iter().find(|to| roster.is_heard(**to));
        heard.or(candidates.first()).copied()
    }

    /// Starts a walk through the agents that may hold a flow unknown to this node.
    fn start_walk(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
        mut forwarding: Forwarding,
    ) -> Action {
        let flow = arrival.segment.flow_from_caller();
        let is_home = placement::homes(roster, &flow).contains(&Some(self.address));
        let unsynced = if forwarding.is_index_complete {
            Vec::new()
        } else {
            self.unsynced(roster, &flow, &forwarding)
        };
        forwarding.known_agents =
            u16::try_from(roster.known_agents().count()).unwrap_or(u16::MAX);
        // A silent agent may hold the flow, and its backend server may be alive.
        forwarding.is_exhaustive = (is_home || forwarding.is_index_complete)
            && roster.agents().all(|member| !member.is_silent);
        let heard = unsynced.iter().filter(|member| !member.is_silent);
        forwarding.to_visit = heard.map(|member| member.address).collect();
        let domain = self.origin_domain(roster, &forwarding);
        placement::sort_by_likelihood(
            routing,
            roster,
            &flow,
            domain,
            &mut forwarding.to_visit,
        );
        if forwarding.to_visit.len() > MAX_TO_VISIT {
            forwarding.is_exhaustive = false;
            forwarding.to_visit.truncate(MAX_TO_VISIT);
        }
        forwarding.search = Search::Walk;
        // The walk visits this agent first; its backend server returns the segment if it
        // doesn't hold the flow.
        if self.may_hold_unknown_flows(now) {
            let arrival = Arrival { forwarding, ..arrival.clone() };
            return self.deliver(now, &arrival, false);
        }
        self.continue_walk(roster, arrival, forwarding)
    }

    /// Forwards a segment to the next agent of a walk. If there is none left, resets the
    /// flow or drops the segment.
    fn continue_walk(
        &self,
        roster: &Roster,
        arrival: &Arrival,
        mut forwarding: Forwarding,
    ) -> Action {
        let own = self.address;
        forwarding.to_visit.retain(|agent| *agent != own && roster.get(*agent).is_some());
        // The node that started the walk may not have known the agent that holds the
        // flow.
        forwarding.is_exhaustive &= roster.live_agents() <= forwarding.known_agents;
        if !forwarding.to_visit.is_empty() {
            let to = forwarding.to_visit.remove(0);
            return Action::Forward { to, forwarding, cause: Cause::Elsewhere };
        }
        if forwarding.is_exhaustive {
            self.reset(arrival, Cause::NotFound)
        } else {
            Action::Drop(Cause::Unknown)
        }
    }

    /// The other agents that may hold a flow without having announced it to this one.
    ///
    /// Agents only announce flows to home nodes. A node that is not a home node was asked
    /// because the home nodes didn't answer, so it excludes them and includes every other
    /// agent.
    fn unsynced<'r>(
        &self,
        roster: &'r Roster,
        flow: &flow::Key,
        forwarding: &Forwarding,
    ) -> Vec<&'r Member> {
        let homes = placement::homes(roster, flow);
        let is_home = homes.contains(&Some(self.address));
        let is_undisputed_home =
            is_home && placement::is_home_in_all_views(roster, flow, self.address);
        let known_agents = roster.known_agents().count();
        let others = roster.agents().filter(|member| member.address != self.address);
        let untried = others.filter(|member| !forwarding.tried.contains(&member.address));
        let unsynced = untried.filter(|member| {
            let Some(sync_status) = member.sync_status.filter(|_| is_home) else {
                return is_home || !homes.contains(&Some(member.address));
            };
            let is_view_consistent = is_undisputed_home
                && usize::from(sync_status.view_size) <= known_agents
                || !member.is_silent && sync_status.view_hash == roster.view_hash();
            !(is_view_consistent && self.has_received_all(roster, member, sync_status))
        });
        unsynced.collect()
    }

    /// Whether this agent has received all announcements of another one, and that one
    /// knows all of its flows.
    fn has_received_all(
        &self,
        roster: &Roster,
        member: &Member,
        sync_status: SyncStatus,
    ) -> bool {
        let Progress { epoch, count } =
            self.received.progress(member.address, member.incarnation);
        let has_received_all = sync_status.sent.count == 0
            || (sync_status.sent.epoch == epoch && sync_status.sent.count <= count);
        has_received_all
            && sync_status.knows_all_flows
            && sync_status.receiver == self.incarnation(roster)
    }
}
