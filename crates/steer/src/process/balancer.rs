//! Decides where a balancer sends segments from callers.

use std::net::SocketAddrV4;

use lentilreach::Name;
use lentilreach::process::clock::Millis;

use crate::connection::cache::{Attempt, Cache, Entry};
use crate::connection::flow;
use crate::process::roster::{JOIN_TIMEOUT_MS, Member, Roster};
use crate::request::message::Search;
use crate::request::placement::{self, Request};
use crate::request::segment::Segment;
use crate::version::routing::Routing;

/// Number of the first retransmission of an opening segment that may go to another agent,
/// provided that the selected agent has sent no heartbeat since it was selected. An
/// earlier one is often caused by a lost answer; sending it to another agent would open
/// the flow at two backend servers.
const FIRST_REROUTED_RETRANSMISSION: u32 = 2;

/// The state that a balancer's decisions are based on.
#[derive(Debug, Clone)]
pub struct Balancer {
    /// The balancer's failure domain.
    domain: Name,
    /// When the balancer started.
    start: Millis,
    /// The agents that flows were sent to.
    cache: Cache,
}

/// What a balancer does with a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send it to an agent.
    Send {
        /// Address of the agent.
        to: SocketAddrV4,
        /// How the agent should process it.
        search: Search,
        /// The service to open a flow to.
        service: Option<Name>,
        /// Whether the agent was chosen for this segment rather than taken from the
        /// cache. With [`Search::Open`], the flow counts towards the agent's load, see
        /// [`Roster::record_placement`].
        is_newly_selected: bool,
    },
    /// Send a reset to the caller.
    Refuse {
        /// Sequence number of the reset, within the caller's receive window.
        sequence: u32,
        /// Why the segment is refused.
        cause: Refusal,
    },
    /// Drop it.
    Drop(DropReason),
}

/// Why a segment is answered with a reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// There is no route for the address.
    NoRoute,
    /// No agent accepts flows of the service.
    NoAgent,
    /// No agent of the service has room for openings of the route's priority.
    Overloaded,
}

impl Refusal {
    /// The label in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::NoAgent => "no_agent",
            Self::Overloaded => "overloaded",
        }
    }
}

/// Why a segment is dropped without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// No configuration has been read.
    NoConfig,
    /// No suitable agent is known.
    NoMember,
}

impl DropReason {
    /// The label in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::NoMember => "no_member",
        }
    }
}

impl Balancer {
    /// Creates a balancer that remembers approximately `flows` flows.
    pub fn new(now: Millis, domain: Name, flows: usize) -> Self {
        Self { domain, start: now, cache: Cache::new(flows) }
    }

    /// Decides on a segment from a caller.
    pub fn handle_segment(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        segment: &Segment,
    ) -> Action {
        if segment.is_opening() {
            self.handle_opening(now, routing, roster, segment)
        } else {
            self.handle_established(now, roster, segment)
        }
    }

    /// Records which agent holds a flow.
    pub fn flow_found(&mut self, now: Millis, flow: flow::Key, agent: SocketAddrV4) {
        self.cache.record_found(now, flow, agent);
    }

    /// Records that no agent holds a flow.
    pub fn flow_not_found(&mut self, flow: &flow::Key) {
        self.cache.remove(flow);
    }

    /// Removes flows that have been idle for `idle_ms` milliseconds.
    pub fn expire(&mut self, now: Millis, idle_ms: u64) {
        self.cache.expire(now, idle_ms);
    }

    /// Selects an agent for an opening segment. Retransmissions are sent to the same
    /// agent while it is alive.
    fn handle_opening(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        segment: &Segment,
    ) -> Action {
        if !routing.is_loaded() {
            return Action::Drop(DropReason::NoConfig);
        }
        let flow = segment.flow_from_caller();
        let Some(service) = placement::choose_service(routing, &flow) else {
            return Action::Refuse { sequence: 0, cause: Refusal::NoRoute };
        };
        let name = routing.service(service).map(|service| service.name.clone());
        let known = self.cache.get(now, &flow);
        let known = known.and_then(|entry| Some((entry.agent()?, entry)));
        let mut tried = None;
        if let Some((to, entry)) = known {
            let is_alive = roster.get(to).is_some_and(|member| {
                let was_heard_since = match entry {
                    Entry::Placed { at, .. } => member.last_heard >= at,
                    _ => true,
                };
                !member.is_silent && was_heard_since
            });
            if is_alive || segment.retransmissions() < FIRST_REROUTED_RETRANSMISSION {
                return Action::Send {
                    to,
                    search: Search::Open,
                    service: name,
                    is_newly_selected: false,
                };
            }
            tried = Some(to);
        }
        let priority = routing.route(flow.service).map_or(0, |route| route.priority);
        if tried.is_none() && roster.floor(service).is_some_and(|floor| priority > floor)
        {
            return Action::Refuse { sequence: 0, cause: Refusal::Overloaded };
        }
        let request = Request { flow: &flow, service, domain: &self.domain };
        let agent =
            placement::choose_agent(now, routing, roster, request, tried.as_slice());
        let Some(to) = agent.or(tried) else {
            // Shortly after the start, agents may not have answered yet. The caller will
            // retransmit soon.
            if now.since(self.start) <= JOIN_TIMEOUT_MS {
                return Action::Drop(DropReason::NoMember);
            }
            return Action::Refuse { sequence: 0, cause: Refusal::NoAgent };
        };
        self.cache.record_placement(now, flow, to);
        Action::Send { to, search: Search::Open, service: name, is_newly_selected: true }
    }

    /// Sends a segment to the agent that holds its flow, or to a home node if that agent
    /// is unknown. Never resets a flow: its backend server may be alive although its agent
    /// is silent.
    fn handle_established(
        &mut self,
        now: Millis,
        roster: &Roster,
        segment: &Segment,
    ) -> Action {
        let flow = &segment.flow_from_caller();
        let entry = self.cache.get(now, flow);
        let known = entry.and_then(|entry| entry.agent()).and_then(|to| roster.get(to));
        let is_overdue = |member: &Member| member.is_silent && member.incarnation != 0;
        if let Some(member) = known
            && (!is_overdue(member) || roster.is_isolated())
        {
            return Action::Send {
                to: member.address,
                search: Search::Known,
                service: None,
                is_newly_selected: false,
            };
        }
        // The flow may be at another agent than the silent one: a copy of its opening may
        // have been accepted there.
        let silent = known.map(|member| member.address);
        let [first, second] = placement::homes(roster, flow);
        let (to, search) = match self.cache.next_attempt(now, flow, silent) {
            Attempt::Home(0) => (first, Search::Home(0)),
            Attempt::Home(_) if second.is_some() => (second, Search::Home(1)),
            Attempt::Silent(agent) => (Some(agent), Search::Known),
            Attempt::Home(_) | Attempt::Fallback => {
                (placement::fallback(roster, flow), Search::Fallback)
            }
        };
        match to {
            Some(to) => {
                Action::Send { to, search, service: None, is_newly_selected: true }
            }
            None => Action::Drop(DropReason::NoMember),
        }
    }
}
