//! Finds the agent that holds a flow if this one does not.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

use super::question::{Searched, Wait};
use super::{Action, Agent, Arrival, Cause, Forwarding};
use crate::connection::flow;
use crate::process::roster::view::View;
use crate::process::roster::{Member, Roster};
use crate::request::message::{MAX_TO_VISIT, Progress, Search, Stage, SyncStatus};
use crate::request::placement;
use crate::version::history::Earlier;
use crate::version::routing::Routing;

/// Maximum number of redirections to a supposed home node. For about a second after a
/// membership change, nodes may disagree on home nodes.
const MAX_REDIRECTS: u8 = 3;

/// Number of agents to visit from which on a home node asks which of them are running. A
/// walk of this length often meets one that has just stopped while agents are restarted.
const LONG_WALK: usize = 8;

/// Where a home node that doesn't know a flow searches for it.
#[derive(Debug)]
struct Plan {
    /// Agents that may hold the flow without having announced it. Their backend servers run
    /// services that the flow's route leads to or has led to.
    to_visit: Vec<SocketAddrV4>,
    /// Whether no other agent can hold it.
    is_exhaustive: bool,
    /// Those of them that have answered the question, so they were running after it.
    answered: Vec<SocketAddrV4>,
    /// Those that come last because they have probably not answered the balancer.
    last: [Option<SocketAddrV4>; 2],
    /// Number of earlier searches for the flow.
    searches: u32,
    /// Whether a segment of the flow waits for answers.
    wait: Wait,
    /// Whether this one should do so before the search begins.
    should_wait: bool,
}

impl Plan {
    /// Whether no agent holds the flow.
    fn is_proof(&self) -> bool {
        self.is_exhaustive && self.to_visit.is_empty()
    }
}

/// What the last statement of another agent shows about a flow that a home node doesn't
/// know.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    /// Whether the statement was made after the first search for the flow.
    has_answered: bool,
    /// Whether, besides, its sender hears the agents that it knows, none of which is known
    /// to it only.
    is_current: bool,
    /// Whether the agent had announced all of its flows to the home node.
    is_announced: bool,
}

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
                    return Action::elsewhere(to, forwarding);
                }
                if let Some(action) = self.ask_own(now, routing, arrival, &forwarding) {
                    return action;
                }
                let is_home = homes.contains(&Some(self.address));
                // The sender has another view of the membership.
                if let Some(to) = other_home
                    && !is_home
                    && forwarding.hops <= MAX_REDIRECTS
                {
                    return Action::elsewhere(to, forwarding);
                }
                let plan = self.plan(now, routing, roster, arrival, &forwarding);
                match other_home {
                    Some(to) if is_home && rank == 0 && !plan.is_proof() => {
                        forwarding.search = Search::Home(1);
                        Action::elsewhere(to, forwarding)
                    }
                    _ => self.start_walk(now, routing, roster, arrival, forwarding, plan),
                }
            }
            Search::Walk => self.continue_walk(arrival, forwarding),
            Search::Fallback => {
                // A home node that stopped may have handed over its index to this one.
                if let Some(to) = self.indexed_holder(now, roster, &flow, &forwarding) {
                    forwarding.search = Search::Indexed;
                    return Action::elsewhere(to, forwarding);
                }
                let plan = self.plan(now, routing, roster, arrival, &forwarding);
                self.start_walk(now, routing, roster, arrival, forwarding, plan)
            }
            Search::Open | Search::Known | Search::Indexed => {
                // The sender expected the flow at this agent. If the index of a home node
                // was wrong, the other home node decides.
                let was_indexed = forwarding.search == Search::Indexed;
                if was_indexed {
                    forwarding.tried.push(self.address);
                }
                forwarding.search = Search::Home(u8::from(was_indexed));
                match other_home {
                    Some(to) => Action::elsewhere(to, forwarding),
                    None => {
                        let plan = self.plan(now, routing, roster, arrival, &forwarding);
                        self.start_walk(now, routing, roster, arrival, forwarding, plan)
                    }
                }
            }
        }
    }

    /// Delivers a segment of an unknown flow to the own backend server before others are asked,
    /// if it may hold the flow. It returns the segment otherwise, and isn't asked again.
    fn ask_own(
        &mut self,
        now: Millis,
        routing: &Routing,
        arrival: &Arrival,
        forwarding: &Forwarding,
    ) -> Option<Action> {
        let flow = arrival.segment.flow_from_caller();
        let service = &self.backend.report()?.service;
        let may_hold = !self.may_have_ended()
            && self.may_hold(now, routing, flow.service, service)
            && self.may_hold_unknown_flow(now, &flow)
            && !forwarding.tried.contains(&self.address)
            && self.flows.get(now, &flow).is_none();
        if !may_hold {
            return None;
        }
        let mut forwarding = forwarding.clone();
        forwarding.tried.push(self.address);
        let arrival = Arrival { forwarding, ..arrival.clone() };
        Some(self.deliver(now, &arrival, false))
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
        let is_candidate =
            |to: &SocketAddrV4| *to != self.address && !forwarding.tried.contains(to);
        let holders = self.index.get(now, flow).addresses();
        let candidates: Vec<_> = holders.filter(is_candidate).collect();
        let heard = candidates.iter().find(|to| roster.is_heard(**to));
        heard.or(candidates.first()).copied()
    }

    /// Plans the search for a flow that this node doesn't know.
    ///
    /// A home node leaves out agents that have announced all of their flows to it. For
    /// certainty that nobody holds the flow, it needs a statement of every agent that was
    /// made after the question; silence proves nothing. A node that is not a home node was
    /// asked because the home nodes didn't answer, and is never certain.
    fn plan(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
        forwarding: &Forwarding,
    ) -> Plan {
        let flow = &arrival.segment.flow_from_caller();
        let homes = placement::homes(roster, flow);
        let is_home = homes.contains(&Some(self.address));
        let is_undisputed =
            is_home && placement::is_home_in_all_views(roster, flow, self.address);
        let Searched { question, searches, wait } =
            self.questions.record_search(now, &arrival.segment);
        let view = roster.view(now, self.address);
        let is_index_complete = self.index.is_complete(now, self.max_flow_age_ms);
        // A process that has just started knows no other agent yet.
        let is_alone = roster.agents().all(|member| member.address == self.address);
        // The balancer may hear an agent that no agent has heard yet.
        let is_origin_known =
            forwarding.view_hash.is_some_and(|hash| view.contains(hash));
        // One of the agents that announced the flow may not be in the index any more.
        let are_holders_known = !self.index.get(now, flow).are_more;
        let can_be_certain = is_home
            && are_holders_known
            && is_index_complete
            && is_origin_known
            && !is_alone
            && roster.hears_all();
        let mut plan = Plan {
            to_visit: Vec::new(),
            is_exhaustive: can_be_certain,
            answered: Vec::new(),
            last: if is_home { [None; 2] } else { homes },
            searches,
            wait,
            should_wait: false,
        };
        for member in roster.agents().filter(|member| member.address != self.address) {
            let evidence = self.evidence(roster, &view, is_undisputed, member, question);
            plan.is_exhaustive &= evidence.is_current;
            let is_left_out = is_home && evidence.is_announced && are_holders_known;
            let is_tried = forwarding.tried.contains(&member.address);
            if is_left_out || is_tried || member.is_silent {
                continue;
            }
            // See `Self::visit`.
            let status = member.backend_status.as_ref();
            let can_deliver = status.is_none_or(|status| {
                self.may_hold(now, routing, flow.service, &status.service)
            });
            if can_deliver {
                plan.to_visit.push(member.address);
                if evidence.has_answered {
                    plan.answered.push(member.address);
                }
            } else {
                plan.is_exhaustive = false;
            }
        }
        plan.should_wait =
            is_home && !plan.is_proof() && self.should_wait(now, roster, question, wait);
        let may_become_certain = can_be_certain && !plan.is_exhaustive;
        let is_long = is_home && plan.to_visit.len() >= LONG_WALK;
        if may_become_certain || is_long || plan.should_wait {
            self.questions.request();
        }
        plan
    }

    /// What the last statement of another agent shows about a flow that this node doesn't
    /// know. `question` is the number of the first question about the flow.
    fn evidence(
        &self,
        roster: &Roster,
        view: &View,
        is_undisputed_home: bool,
        member: &Member,
        question: u32,
    ) -> Evidence {
        let status = member.sync_status.filter(|status| {
            !member.is_silent && status.receiver == self.incarnation(roster)
        });
        let Some(status) = status else {
            return Evidence {
                has_answered: false,
                is_current: false,
                is_announced: false,
            };
        };
        let is_view_known = view.contains(status.view_hash);
        let selects_this_home = status.view_hash == roster.view_hash()
            || (is_undisputed_home && is_view_known);
        let has_answered = status.answered >= question;
        Evidence {
            has_answered,
            is_current: is_view_known && status.hears_all && has_answered,
            is_announced: selects_this_home && self.has_received_all(member, status),
        }
    }

    /// Starts a walk through the agents that may hold a flow unknown to this node, or lets
    /// the segment wait until more is known of them.
    fn start_walk(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
        mut forwarding: Forwarding,
        plan: Plan,
    ) -> Action {
        if plan.wait == Wait::Now {
            return Action::Drop(Cause::Postponed);
        }
        if plan.should_wait {
            return Action::Postpone(Box::new(arrival.clone()));
        }
        let flow = arrival.segment.flow_from_caller();
        let domain = self.origin_domain(roster, &forwarding).to_owned();
        forwarding.search = Search::Walk;
        forwarding.to_visit = plan.to_visit;
        forwarding.is_exhaustive =
            plan.is_exhaustive && forwarding.to_visit.len() <= MAX_TO_VISIT;
        let to_visit = &mut forwarding.to_visit;
        let is_last = |agent: &mut SocketAddrV4| plan.last.contains(&Some(*agent));
        let last: Vec<_> = to_visit.extract_if(.., is_last).collect();
        let limit = MAX_TO_VISIT - last.len();
        placement::sort_by_likelihood(routing, roster, &flow, &domain, to_visit);
        if to_visit.len() > limit {
            // Each search visits other agents than the one before.
            let first = plan.searches as usize * limit % to_visit.len();
            to_visit.rotate_left(first);
        }
        to_visit.truncate(limit);
        // A walk ends at an agent that has stopped.
        let is_closed = |agent: &SocketAddrV4| {
            roster.get(*agent).and_then(Member::stage) == Some(Stage::Closed)
        };
        to_visit.sort_by_key(|agent| (is_closed(agent), !plan.answered.contains(agent)));
        to_visit.extend(last);
        // The walk visits this agent first, unless its backend server has been asked already
        // or has another flow between the same addresses.
        if self.may_hold_unknown_flow(now, &flow)
            && !forwarding.tried.contains(&self.address)
            && self.flows.get(now, &flow).is_none()
        {
            return self.visit(now, routing, arrival, forwarding);
        }
        self.continue_walk(arrival, forwarding)
    }

    /// Delivers a segment on a walk to a backend server that may hold its flow and returns
    /// the segment otherwise. One of a service that isn't known, or that the flow's route is
    /// not known to have led to, must not receive it, although it may hold the flow since a
    /// configuration that this process hasn't seen.
    pub(super) fn visit(
        &mut self,
        now: Millis,
        routing: &Routing,
        arrival: &Arrival,
        mut forwarding: Forwarding,
    ) -> Action {
        let address = arrival.segment.flow_from_caller().service;
        let report = self.backend.report().filter(|_| !self.may_have_ended());
        let can_deliver = report
            .is_some_and(|report| self.may_hold(now, routing, address, &report.service));
        if !can_deliver {
            forwarding.is_exhaustive = false;
            return self.continue_walk(arrival, forwarding);
        }
        let arrival = Arrival { forwarding, ..arrival.clone() };
        self.deliver(now, &arrival, false)
    }

    /// Whether backend servers of a service may hold flows to an address: its route leads to the
    /// service, or has led to it within the life of a flow, as far as is known.
    fn may_hold(
        &self,
        now: Millis,
        routing: &Routing,
        address: SocketAddrV4,
        service: &str,
    ) -> bool {
        let earlier = routing.history.get(address, service);
        let is_recent =
            |earlier: &Earlier| now.since(earlier.since) <= self.max_flow_age_ms;
        routing.allows(address, service) || earlier.is_some_and(is_recent)
    }

    /// Forwards a segment to the next agent of a walk. If there is none left, resets the
    /// flow or drops the segment.
    fn continue_walk(&self, arrival: &Arrival, mut forwarding: Forwarding) -> Action {
        if !forwarding.to_visit.is_empty() {
            let to = forwarding.to_visit.remove(0);
            return Action::elsewhere(to, forwarding);
        }
        if forwarding.is_exhaustive {
            self.reset(arrival, Cause::NotFound)
        } else {
            Action::Drop(Cause::Unknown)
        }
    }

    /// Whether this agent has received all announcements of another one, and that one has
    /// announced all of its flows.
    fn has_received_all(&self, member: &Member, status: SyncStatus) -> bool {
        let Progress { epoch, count } =
            self.received.progress(member.address, member.incarnation);
        let has_received_all = status.sent.count == 0
            || (status.sent.epoch == epoch && status.sent.count <= count);
        has_received_all && status.is_complete
    }
}
