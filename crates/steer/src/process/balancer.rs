//! Decides where a balancer sends the segments of callers.

use std::net::SocketAddrV4;

use lentilreach::Name;
use lentilreach::process::clock::Millis;

use crate::connection::cache::{Cache, Entry};
use crate::connection::flow;
use crate::process::roster::{JOIN_TIMEOUT_MS, Roster};
use crate::request::message::Search;
use crate::request::placement::{self, Request};
use crate::request::segment::Segment;
use crate::version::routing::Routing;

/// The copy of an opening segment that goes to another agent if the one before it was not heard
/// since. The first copy often follows a lost answer: at another agent, it would open the flow
/// at two backend servers.
const REROUTED_COPY: u32 = 2;

/// The state of a balancer that decisions need.
#[derive(Debug)]
pub struct Balancer {
    /// Its failure domain.
    domain: Name,
    /// When it started.
    start: Millis,
    /// Where flows went.
    cache: Cache,
}

/// What becomes of a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// It goes to an agent.
    Send {
        /// The agent.
        to: SocketAddrV4,
        /// How the agent is to treat it.
        search: Search,
        /// The service that it opens a flow to.
        service: Option<Name>,
        /// Whether it is the first segment of the flow that this balancer sends there. With
        /// [`Search::Open`], the flow counts as placed, see [`Roster::record_placement`].
        is_new: bool,
    },
    /// The caller gets a reset.
    Refuse {
        /// Within the window of the caller.
        sequence: u32,
        /// Why.
        cause: Refusal,
    },
    /// It is dropped.
    Drop(DropReason),
}

/// Why an opening is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No route leads from the address.
    NoRoute,
    /// No agent takes flows of the service.
    NoAgent,
    /// The agent of the flow is silent.
    AgentSilent,
}

impl Refusal {
    /// The label in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::NoAgent => "no_agent",
            Self::AgentSilent => "agent_silent",
        }
    }
}

/// Why a segment is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// No configuration has been read.
    NoConfig,
    /// No agent is known.
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
    /// A balancer of a failure domain that remembers about `flows` flows.
    pub fn new(now: Millis, domain: Name, flows: usize) -> Self {
        Self { domain, start: now, cache: Cache::new(flows) }
    }

    /// Decides on a segment of a caller.
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

    /// Takes note of the agent that holds a flow.
    pub fn flow_found(&mut self, now: Millis, flow: flow::Key, agent: SocketAddrV4) {
        self.cache.record_found(now, flow, agent);
    }

    /// Takes note that no agent holds a flow.
    pub fn flow_not_found(&mut self, flow: &flow::Key) {
        self.cache.forget(flow);
    }

    /// Forgets flows that have been idle for `idle_ms` milliseconds.
    pub fn expire(&mut self, now: Millis, idle_ms: u64) {
        self.cache.expire(now, idle_ms);
    }

    /// Places an opening segment; copies follow the first one while its agent lives.
    fn handle_opening(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        segment: &Segment,
    ) -> Action {
        if !routing.is_in_force() {
            return Action::Drop(DropReason::NoConfig);
        }
        let flow = segment.from_caller();
        let Some(service) = placement::choose_service(routing, &flow) else {
            return Action::Refuse { sequence: 0, cause: Refusal::NoRoute };
        };
        let name = routing.service(service).map(|service| service.name.clone());
        let known = self.cache.get(now, &flow);
        let known = known.and_then(|entry| Some((entry.agent()?, entry)));
        let mut tried = None;
        if let Some((to, entry)) = known {
            let is_heard = roster.get(to).is_some_and(|member| {
                let is_later = match entry {
                    Entry::Placed { at, .. } => member.last_heard >= at,
                    _ => true,
                };
                !member.is_silent && is_later
            });
            if is_heard || segment.copy() < REROUTED_COPY {
                return Action::Send {
                    to,
                    search: Search::Open,
                    service: name,
                    is_new: false,
                };
            }
            tried = Some(to);
        }
        let request = Request { flow: &flow, service, domain: &self.domain };
        let agent = placement::choose_agent(routing, roster, request, tried.as_slice());
        let Some(to) = agent.or(tried) else {
            // Agents may not have answered yet; the caller sends a copy soon.
            if now.since(self.start) <= JOIN_TIMEOUT_MS {
                return Action::Drop(DropReason::NoMember);
            }
            return Action::Refuse { sequence: 0, cause: Refusal::NoAgent };
        };
        self.cache.record_placement(now, flow, to);
        Action::Send { to, search: Search::Open, service: name, is_new: true }
    }

    /// Sends a segment to where its flow is, or to its home if that is not known.
    fn handle_established(
        &mut self,
        now: Millis,
        roster: &Roster,
        segment: &Segment,
    ) -> Action {
        let flow = &segment.from_caller();
        let known = self.cache.get(now, flow).and_then(|entry| entry.agent());
        if let Some(member) = known.and_then(|agent| roster.get(agent)) {
            // Its agent does not answer: a new flow serves the caller sooner.
            if roster.is_unreachable(now, member) && !segment.flags.reset {
                return Action::Refuse {
                    sequence: segment.acknowledged,
                    cause: Refusal::AgentSilent,
                };
            }
            let to = member.address;
            return Action::Send {
                to,
                search: Search::Known,
                service: None,
                is_new: false,
            };
        }
        let [first, second] = placement::homes(roster, flow);
        let (to, search) = match self.cache.next_attempt(now, flow) {
            0 => (first, Search::Home(0)),
            1 if second.is_some() => (second, Search::Home(1)),
            _ => (placement::fallback(roster, flow), Search::Walk),
        };
        match to {
            Some(to) => Action::Send { to, search, service: None, is_new: true },
            None => Action::Drop(DropReason::NoMember),
        }
    }
}
