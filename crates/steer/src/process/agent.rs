//! Decides what an agent does with segments. The agent has the last word on what its backend
//! server gets.

use std::net::SocketAddrV4;

use lentilreach::Name;
use lentilreach::process::clock::Millis;

use crate::connection::held::{Held, Stage};
use crate::connection::index::Index;
use crate::connection::table::Table;
use crate::process::backend::{self, Backend, Report};
use crate::process::roster::Roster;
use crate::request::message::Search;
use crate::request::message::Stage::Closed;
use crate::request::place::{self, Request};
use crate::request::segment::Segment;
use crate::version::routing::Routing;

mod ledger;
mod news;
mod pending;
mod seek;
mod step;

pub use step::{Answer, Arrival, Cause, Ended, Limits, News, Step, Way};

use ledger::{Received, Sent};
use pending::{Pending, Ring};

/// Agents that an opening segment is offered to at most.
pub const MAX_TRIED: usize = 4;

/// A backend server that started at most this long before its agent has no flows that an
/// earlier process of the agent delivered, in milliseconds: a process that ends needs about as
/// long to start again and read the configuration.
const EARLIER_MS: u64 = 1_000;

/// Nodes that pass a segment on at most. Bounds the damage of members that disagree.
const MAX_HOPS: u8 = 200;

/// The state of an agent that decisions need.
#[derive(Debug)]
pub struct Agent {
    /// Where it receives messages.
    address: SocketAddrV4,
    /// Its failure domain.
    domain: Name,
    /// When it started.
    start: Millis,
    /// The longest life of a flow, in milliseconds.
    flow_ms: u64,
    /// The backend server beside it.
    backend: Backend,
    /// Flows of the backend server.
    held: Table<Held>,
    /// Flows whose home this agent is.
    index: Index,
    /// Segments delivered lately that the backend server may return.
    pending: Ring,
    /// Whether `held` has all flows of the backend server.
    is_complete: bool,
    /// The highest revision of routes by which an opening was delivered.
    floor: u64,
    /// What homes were told.
    sent: Sent,
    /// What this agent was told as a home.
    received: Received,
    /// Generation of the roster for which homes were told; none if they are to be told again.
    told: Option<u64>,
    /// Fingerprint of the agents among which homes were chosen.
    view: u32,
    /// Number of these agents.
    known: u16,
}

impl Agent {
    /// An agent that knows nothing yet.
    pub fn new(now: Millis, address: SocketAddrV4, domain: Name, limits: Limits) -> Self {
        Self {
            address,
            domain,
            start: now,
            flow_ms: limits.flow_ms,
            backend: Backend::new(limits.bounds),
            held: Table::new(limits.flows),
            index: Index::new(limits.flows),
            pending: Ring::new(fastrand::u32(1..)),
            is_complete: false,
            floor: 0,
            sent: Sent::default(),
            received: Received::default(),
            told: None,
            view: 0,
            known: 0,
        }
    }

    /// The backend server.
    pub fn backend(&self) -> &Backend {
        &self.backend
    }

    /// Takes a report of the backend server. Returns the flows that ended with an earlier
    /// lifetime.
    pub fn report(
        &mut self,
        now: Millis,
        report: Report,
    ) -> (backend::Change, Vec<Ended>) {
        let is_first = report.is_first();
        let change = self.backend.hear(now, report);
        let mut ended = Vec::new();
        if let backend::Change::Started { is_replacement } = change {
            self.is_complete = is_first;
            if is_replacement {
                ended = self.lose();
            } else {
                self.held.retain(|_, held| held.stage != Stage::Lost);
            }
        }
        (change, ended)
    }

    /// Finds out whether all flows of the backend server are known: it started too late to have
    /// others, or none of them can have been idle, or lived, for the life of this process.
    pub fn assess(&mut self, now: Millis, routing: &Routing) {
        let service = self.backend.report().and_then(|r| routing.service(&r.service));
        let age_ms =
            service.and_then(|service| self.backend.age_ms(now, service.cold_ms));
        let own_ms = now.since(self.start);
        self.is_complete |= age_ms.is_some_and(|age_ms| age_ms <= own_ms + EARLIER_MS)
            || (routing.idle_ms > 0 && own_ms > routing.idle_ms)
            || own_ms > self.flow_ms;
    }

    /// Whether all flows of the backend server are known, or it is not there.
    pub fn is_complete(&self, now: Millis) -> bool {
        !self.may_hold(now)
    }

    /// Whether there is no backend server beside this agent.
    pub fn is_alone(&self, now: Millis) -> bool {
        self.backend.has_left() || !self.backend.is_present(now, self.start)
    }

    /// Takes note that the backend server ends. Returns whether it is the current one.
    pub fn leave(&mut self, now: Millis, id: &str) -> bool {
        self.backend.leave(now, id)
    }

    /// Returns the flows that ended because the backend server is gone, each once.
    pub fn tick(&mut self, now: Millis) -> Vec<Ended> {
        if !self.backend.tick(now) {
            return Vec::new();
        }
        self.is_complete = true;
        self.lose()
    }

    /// Admits no more openings, because the process is about to end.
    pub fn stop(&mut self) {
        self.backend.stop();
    }

    /// Takes note of a change of the routes in force.
    pub fn rerouted(&mut self, before: &Routing, after: &Routing) {
        // A backend server that got nothing for a while may have turned cold.
        if before.is_out(&self.domain) && !after.is_out(&self.domain) {
            self.backend.suspect();
        }
    }

    /// Decides on a segment of a caller.
    pub fn segment(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
    ) -> Step {
        if arrival.way.hops > MAX_HOPS {
            return Step::Drop(Cause::Hops);
        }
        if arrival.segment.is_opening() {
            self.open(now, routing, roster, arrival)
        } else {
            self.follow(now, routing, roster, arrival)
        }
    }

    /// Decides on an opening segment that was held until now.
    pub fn release(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
    ) -> Step {
        let flow = arrival.segment.from_caller();
        let is_waiting =
            self.held.remove(&flow).is_some_and(|held| held.stage == Stage::Waiting);
        let is_open = self.backend.stage(now).is_some_and(|stage| stage != Closed);
        if !is_waiting || !is_open || routing.is_out(&self.domain) {
            return self.decline(routing, roster, arrival, Cause::Held);
        }
        self.floor = self.floor.max(arrival.way.revision.max(routing.revision));
        self.held.insert(now, flow, Held::offered(now));
        self.deliver(now, arrival, true)
    }

    /// Decides on a segment of the backend server.
    pub fn answer(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        segment: &Segment,
    ) -> Option<Answer> {
        if segment.flags.returned {
            return self.returned(now, routing, roster, segment).map(Answer::Returned);
        }
        let flow = segment.from_backend();
        if self.held.get(now, &flow).is_none() {
            self.held.insert(now, flow, Held::new(Stage::Offered));
        }
        let held = self.held.get(now, &flow)?;
        if segment.flags.reset && held.stage == Stage::Accepted {
            // The caller may have chosen another backend server, whose flow goes on.
            return Some(Answer::Drop(Cause::Elsewhere));
        }
        let is_accept = segment.flags.open;
        let mut opened_ms = None;
        if is_accept && held.first.is_none() {
            held.first = Some(segment.sequence);
            opened_ms = held.offered.map(|offered| now.since(offered));
        }
        held.stage = match held.stage {
            _ if segment.flags.close || segment.flags.reset => Stage::Closing,
            Stage::Offered if is_accept => Stage::Accepted,
            // After a restart of the agent, only the flow's data show that it is open.
            Stage::Offered if segment.length > 0 => Stage::Open,
            stage => stage,
        };
        let waiting = if segment.length > 0 { held.waiting.take() } else { None };
        let after_ms = waiting.map(|since| now.since(since));
        Some(Answer::Send { is_accept, opened_ms, after_ms })
    }

    /// Forgets flows that have been idle for `idle_ms` milliseconds.
    pub fn expire(&mut self, now: Millis, idle_ms: u64) {
        self.held.expire(now, idle_ms);
        self.index.expire(now, idle_ms);
    }

    /// Open flows, and how many of them wait for an answer.
    pub fn load(&mut self, now: Millis) -> (u32, u32) {
        let (mut open, mut busy) = (0, 0);
        self.held.retain(|_, held| {
            open += u32::from(held.is_open());
            busy += u32::from(held.is_open() && held.is_waiting(now));
            true
        });
        (open, busy)
    }

    /// Decides on an opening segment.
    fn open(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
    ) -> Step {
        let flow = arrival.segment.from_caller();
        let way = &arrival.way;
        match self.held.get(now, &flow).map(|held| held.stage) {
            Some(Stage::Waiting) => return Step::Drop(Cause::Held),
            Some(_) => return self.deliver(now, arrival, false),
            None => {}
        }
        let revision = way.revision.max(routing.revision);
        if revision < self.floor {
            return Step::Drop(Cause::Stale);
        }
        let service = self.backend.report().map(|report| report.service.clone());
        let Some(service) = service else {
            return self.decline(
                routing,
                roster,
                arrival,
                backend::Refusal::Unknown.into(),
            );
        };
        // The newer of both decisions counts.
        let is_allowed = if routing.revision >= way.revision {
            routing.allows(flow.service, &service)
        } else {
            arrival.service.as_ref() == Some(&service)
        };
        if !is_allowed {
            return self.decline(routing, roster, arrival, Cause::Route);
        }
        if routing.is_out(&self.domain) {
            return self.decline(routing, roster, arrival, Cause::DomainOut);
        }
        let limits = routing.service(&service);
        let connections = limits.map_or(u32::MAX, |service| service.connections);
        let cold_per_s = limits.map_or(0.0, |service| service.cold_per_s);
        let (open, _) = self.load(now);
        if let Err(refusal) = self.backend.admit(now, open, connections, cold_per_s) {
            let own = [self.address];
            let is_elsewhere = place::is_ready(routing, roster, &service, &own);
            if refusal == backend::Refusal::Cold
                && !is_elsewhere
                && let Some(until) = self.backend.reserve(now, cold_per_s)
            {
                self.held.insert(now, flow, Held::new(Stage::Waiting));
                return Step::Hold { until };
            }
            return self.decline(routing, roster, arrival, refusal.into());
        }
        self.floor = revision;
        self.held.insert(now, flow, Held::offered(now));
        self.deliver(now, arrival, true)
    }

    /// Offers an opening segment to another agent, or refuses it.
    fn decline(
        &self,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
        cause: Cause,
    ) -> Step {
        let flow = arrival.segment.from_caller();
        let mut way = arrival.way.clone();
        way.tried.push(self.address);
        way.hops += 1;
        way.revision = way.revision.max(routing.revision);
        let refuse = Step::Refuse { sequence: 0, tell: Some(way.origin), cause };
        if way.tried.len() > MAX_TRIED {
            return refuse;
        }
        let Some(service) = place::service(routing, &flow) else { return refuse };
        let domain = self.origin_domain(roster, &way);
        let request = Request { flow: &flow, service, domain };
        match place::choose(routing, roster, request, &way.tried) {
            Some(to) => Step::Pass { to, way, cause },
            None => refuse,
        }
    }

    /// Decides on a segment of a flow that should be open.
    fn follow(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
    ) -> Step {
        let flow = arrival.segment.from_caller();
        let ack = arrival.segment.acknowledged;
        let may_hold = self.may_hold(now);
        match self.held.get(now, &flow).copied() {
            // The caller opened the flow elsewhere: the backend server would reset it.
            Some(held) if !held.matches(ack) => self.seek(now, routing, roster, arrival),
            Some(held) if held.stage == Stage::Lost => self.end(arrival, Cause::Lost),
            Some(_) => self.deliver(now, arrival, false),
            // Until all flows are known, only the backend server can tell.
            None if may_hold && !matches!(arrival.way.search, Search::Home(_)) => {
                self.deliver(now, arrival, false)
            }
            None => self.seek(now, routing, roster, arrival),
        }
    }

    /// Delivers a segment.
    fn deliver(&mut self, now: Millis, arrival: &Arrival, is_new: bool) -> Step {
        let flow = arrival.segment.from_caller();
        let held = self.held.get(now, &flow);
        let is_held = held.is_some();
        if let Some(held) = held {
            if !arrival.segment.is_opening() {
                held.acknowledged = arrival.segment.acknowledged;
                if held.stage == Stage::Accepted {
                    held.stage = Stage::Open;
                }
            }
            if arrival.segment.length > 0 {
                held.waiting.get_or_insert(now);
            }
            if arrival.segment.flags.close || arrival.segment.flags.reset {
                held.stage = Stage::Closing;
            }
        }
        let way = &arrival.way;
        let is_known = match way.search {
            Search::Known => true,
            Search::Open => way.tried.is_empty(),
            _ => false,
        };
        let tell = (is_held && !is_known).then_some(way.origin);
        let mark = self.pending.push(Pending {
            flow,
            service: arrival.service.clone(),
            way: way.clone(),
        });
        Step::Deliver { mark, tell, is_new }
    }

    /// Whether the backend server may hold flows that this agent does not know.
    fn may_hold(&self, now: Millis) -> bool {
        !self.is_complete && self.backend.is_present(now, self.start)
    }

    /// The failure domain of the balancer that a segment came through; the own one if that is
    /// not known.
    fn origin_domain<'a>(&'a self, roster: &'a Roster, way: &Way) -> &'a str {
        roster.get(way.origin).map_or(&self.domain, |member| &member.domain)
    }

    /// The incarnation of this process.
    fn node(&self, roster: &Roster) -> u64 {
        roster.get(self.address).map_or(0, |member| member.node)
    }

    /// Ends a flow that no backend server holds.
    fn end(&self, arrival: &Arrival, cause: Cause) -> Step {
        if arrival.segment.flags.reset {
            return Step::Drop(cause);
        }
        let sequence = arrival.segment.acknowledged;
        Step::Refuse { sequence, tell: Some(arrival.way.origin), cause }
    }

    /// Decides on a segment that the backend server did not take.
    fn returned(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        segment: &Segment,
    ) -> Option<Step> {
        let flow = segment.from_caller();
        let pending = self.pending.take(segment.mark, &flow)?;
        let arrival =
            Arrival { segment: *segment, way: pending.way, service: pending.service };
        let held = self.held.remove(&flow).map(|held| held.stage);
        if segment.is_opening() {
            return Some(self.decline(routing, roster, &arrival, Cause::Returned));
        }
        Some(match held {
            // The backend server held it before: it started again, or dropped the flow.
            Some(Stage::Open | Stage::Closing | Stage::Lost) => {
                self.end(&arrival, Cause::Lost)
            }
            Some(Stage::Waiting | Stage::Offered | Stage::Accepted) | None => {
                self.seek(now, routing, roster, &arrival)
            }
        })
    }

    /// Marks all flows as ended with their backend server; returns those that were open.
    fn lose(&mut self) -> Vec<Ended> {
        let mut ended = Vec::new();
        self.held.retain(|flow, held| {
            // The caller may have chosen another backend server for the others.
            let is_here = held.is_present() || held.stage == Stage::Lost;
            if held.stage == Stage::Open {
                ended.push(Ended { flow: *flow, sequence: held.acknowledged });
            }
            held.stage = Stage::Lost;
            is_here
        });
        ended
    }
}
