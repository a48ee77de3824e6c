//! Decides where a balancer sends the segments of callers.

use std::net::SocketAddrV4;

use lentilreach::Name;
use lentilreach::process::clock::Millis;

use crate::connection::cache::{Cache, Entry};
use crate::connection::flow;
use crate::process::roster::{ANSWER_MS, Roster};
use crate::request::message::Search;
use crate::request::place::{self, Request};
use crate::request::segment::Segment;
use crate::version::routing::Routing;

/// The copy of an opening segment that goes to another agent if the one before it was not heard
/// since. The first copy often follows a lost answer: at another agent, it would open the flow
/// at two backend servers.
const LATE_COPY: u32 = 2;

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
pub enum Step {
    /// It goes to an agent.
    Send {
        /// The agent.
        to: SocketAddrV4,
        /// How the agent is to treat it.
        search: Search,
        /// The service that it opens a flow to.
        service: Option<Name>,
        /// Whether it is the first segment of the flow that this balancer sends there. With
        /// [`Search::Open`], the flow counts as placed, see [`Roster::place`].
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
    Drop(Reason),
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
pub enum Reason {
    /// No configuration has been read.
    NoConfig,
    /// No agent is known.
    NoMember,
}

impl Reason {
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
    pub fn segment(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        segment: &Segment,
    ) -> Step {
        if segment.is_opening() {
            self.open(now, routing, roster, segment)
        } else {
            self.follow(now, roster, segment)
        }
    }

    /// Takes note of the agent that holds a flow.
    pub fn here(&mut self, now: Millis, flow: flow::Key, agent: SocketAddrV4) {
        self.cache.find(now, flow, agent);
    }

    /// Takes note that no agent holds a flow.
    pub fn nowhere(&mut self, flow: &flow::Key) {
        self.cache.forget(flow);
    }

    /// Forgets flows that have been idle for `idle_ms` milliseconds.
    pub fn expire(&mut self, now: Millis, idle_ms: u64) {
        self.cache.expire(now, idle_ms);
    }

    /// Places an opening segment; copies follow the first one while its agent lives.
    fn open(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        segment: &Segment,
    ) -> Step {
        if !routing.is_in_force() {
            return Step::Drop(Reason::NoConfig);
        }
        let flow = segment.from_caller();
        let Some(service) = place::service(routing, &flow) else {
            return Step::Refuse { sequence: 0, cause: Refusal::NoRoute };
        };
        let name = routing.service(service).map(|service| service.name.clone());
        let known = self.cache.get(now, &flow);
        let known = known.and_then(|entry| Some((entry.agent()?, entry)));
        let mut tried = None;
        if let Some((to, entry)) = known {
            let is_heard = roster.get(to).is_some_and(|member| {
                let is_later = match entry {
                    Entry::Placed { at, .. } => member.heard >= at,
                    _ => true,
                };
                !member.is_silent && is_later
            });
            if is_heard || segment.copy() < LATE_COPY {
                return Step::Send {
                    to,
                    search: Search::Open,
                    service: name,
                    is_new: false,
                };
            }
            tried = Some(to);
        }
        let request = Request { flow: &flow, service, domain: &self.domain };
        let agent = place::choose(routing, roster, request, tried.as_slice());
        let Some(to) = agent.or(tried) else {
            // Agents may not have answered yet; the caller sends a copy soon.
            if now.since(self.start) <= ANSWER_MS {
                return Step::Drop(Reason::NoMember);
            }
            return Step::Refuse { sequence: 0, cause: Refusal::NoAgent };
        };
        self.cache.place(now, flow, to);
        Step::Send { to, search: Search::Open, service: name, is_new: true }
    }

    /// Sends a segment to where its flow is, or to its home if that is not known.
    fn follow(&mut self, now: Millis, roster: &Roster, segment: &Segment) -> Step {
        let flow = &segment.from_caller();
        let known = self.cache.get(now, flow).and_then(|entry| entry.agent());
        if let Some(member) = known.and_then(|agent| roster.get(agent)) {
            // Its agent does not answer: a new flow serves the caller sooner.
            if roster.is_unreachable(now, member) && !segment.flags.reset {
                return Step::Refuse {
                    sequence: segment.acknowledged,
                    cause: Refusal::AgentSilent,
                };
            }
            let to = member.address;
            return Step::Send {
                to,
                search: Search::Known,
                service: None,
                is_new: false,
            };
        }
        let [first, second] = place::homes(roster, flow);
        let (to, search) = match self.cache.ask(now, flow) {
            0 => (first, Search::Home(0)),
            1 if second.is_some() => (second, Search::Home(1)),
            _ => (place::substitute(roster, flow), Search::Walk),
        };
        match to {
            Some(to) => Step::Send { to, search, service: None, is_new: true },
            None => Step::Drop(Reason::NoMember),
        }
    }
}
