//! Decides what an agent does with segments. The agent has the last word on what its backend
//! server gets.

use std::net::SocketAddrV4;

use lentilreach::Name;
use lentilreach::process::clock::Millis;

use crate::connection::index::Index;
use crate::connection::state::{Stage, State};
use crate::connection::table::Table;
use crate::process::backend::{self, Backend, Report};
use crate::process::roster::Roster;
use crate::request::message::Search;
use crate::request::message::Stage::Closed;
use crate::request::placement::{self, Request};
use crate::request::segment::Segment;
use crate::version::routing::Routing;

mod action;
mod announce;
mod delivered;
mod locate;
mod sync;

pub use action::{
    Action, Arrival, BackendAction, Cause, Ended, Forwarding, Limits, Outgoing,
};

use delivered::{Delivered, Ring};
use sync::{Received, Sent};

/// Agents that an opening segment is offered to at most.
pub const MAX_TRIED: usize = 4;

/// A backend server that started at most this long before its agent has no flows that an
/// earlier process of the agent delivered, in milliseconds: a process that ends needs about as
/// long to start again and read the configuration.
const MIN_RESTART_MS: u64 = 1_000;

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
    max_flow_age_ms: u64,
    /// The backend server beside it.
    backend: Backend,
    /// Flows of the backend server.
    flows: Table<State>,
    /// Flows whose home this agent is.
    index: Index,
    /// Segments delivered lately that the backend server may return.
    delivered: Ring,
    /// Whether `flows` has all flows of the backend server.
    knows_all_flows: bool,
    /// The highest revision of routes by which an opening was delivered.
    min_revision: u64,
    /// What homes were told.
    sent: Sent,
    /// What this agent was told as a home.
    received: Received,
    /// Generation of the roster for which homes were told; none if they are to be told again.
    announced_generation: Option<u64>,
    /// Fingerprint of the agents among which homes were chosen.
    view_hash: u32,
    /// Number of these agents.
    view_size: u16,
}

impl Agent {
    /// An agent that knows nothing yet.
    pub fn new(now: Millis, address: SocketAddrV4, domain: Name, limits: Limits) -> Self {
        Self {
            address,
            domain,
            start: now,
            max_flow_age_ms: limits.max_flow_age_ms,
            backend: Backend::new(limits.bounds),
            flows: Table::new(limits.flows),
            index: Index::new(limits.flows),
            delivered: Ring::new(fastrand::u32(1..)),
            knows_all_flows: false,
            min_revision: 0,
            sent: Sent::default(),
            received: Received::default(),
            announced_generation: None,
            view_hash: 0,
            view_size: 0,
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
        let is_initial = report.is_initial();
        let change = self.backend.record_report(now, report);
        let mut ended = Vec::new();
        if let backend::Change::Started { is_replacement } = change {
            self.knows_all_flows = is_initial;
            if is_replacement {
                ended = self.end_all();
            } else {
                self.flows.retain(|_, state| state.stage != Stage::Lost);
            }
        }
        (change, ended)
    }

    /// Finds out whether all flows of the backend server are known: it started too late to have
    /// others, or none of them can have been idle, or lived, for the life of this process.
    pub fn update_completeness(&mut self, now: Millis, routing: &Routing) {
        let service = self.backend.report().and_then(|r| routing.service(&r.service));
        let age_ms =
            service.and_then(|service| self.backend.age_ms(now, service.cold_ms));
        let own_ms = now.since(self.start);
        self.knows_all_flows |= age_ms
            .is_some_and(|age_ms| age_ms <= own_ms + MIN_RESTART_MS)
            || (routing.idle_ms > 0 && own_ms > routing.idle_ms)
            || own_ms > self.max_flow_age_ms;
    }

    /// Whether all flows of the backend server are known, or it is not there.
    pub fn knows_all_flows(&self, now: Millis) -> bool {
        !self.may_hold_unknown_flows(now)
    }

    /// Whether there is no backend server beside this agent.
    pub fn has_no_backend(&self, now: Millis) -> bool {
        self.backend.has_left() || !self.backend.may_be_running(now, self.start)
    }

    /// Takes note that the backend server ends. Returns whether it is the current one.
    pub fn record_leave(&mut self, now: Millis, id: &str) -> bool {
        self.backend.record_leave(now, id)
    }

    /// Returns the flows that ended because the backend server is gone, each once.
    pub fn tick(&mut self, now: Millis) -> Vec<Ended> {
        if !self.backend.tick(now) {
            return Vec::new();
        }
        self.knows_all_flows = true;
        self.end_all()
    }

    /// Admits no more openings, because the process is about to end.
    pub fn stop(&mut self) {
        self.backend.stop();
    }

    /// Takes note of a change of the routes in force.
    pub fn routing_changed(&mut self, before: &Routing, after: &Routing) {
        // A backend server that got nothing for a while may have turned cold.
        if before.is_out(&self.domain) && !after.is_out(&self.domain) {
            self.backend.suspect_cold();
        }
    }

    /// Decides on a segment of a caller.
    pub fn handle_caller_segment(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
    ) -> Action {
        if arrival.forwarding.hops > MAX_HOPS {
            return Action::Drop(Cause::HopLimit);
        }
        if arrival.segment.is_opening() {
            self.handle_opening(now, routing, roster, arrival)
        } else {
            self.handle_established(now, routing, roster, arrival)
        }
    }

    /// Decides on an opening segment that was held until now.
    pub fn release(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
    ) -> Action {
        let flow = arrival.segment.from_caller();
        let is_held =
            self.flows.remove(&flow).is_some_and(|state| state.stage == Stage::Held);
        let is_open = self.backend.stage(now).is_some_and(|stage| stage != Closed);
        if !is_held || !is_open || routing.is_out(&self.domain) {
            return self.redirect_or_refuse(routing, roster, arrival, Cause::Held);
        }
        self.min_revision =
            self.min_revision.max(arrival.forwarding.revision.max(routing.revision));
        self.flows.insert(now, flow, State::offered(now));
        self.deliver(now, arrival, true)
    }

    /// Decides on a segment of the backend server.
    pub fn handle_backend_segment(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        segment: &Segment,
    ) -> Option<BackendAction> {
        if segment.flags.returned {
            return self
                .handle_returned(now, routing, roster, segment)
                .map(BackendAction::Returned);
        }
        let flow = segment.from_backend();
        if self.flows.get(now, &flow).is_none() {
            self.flows.insert(now, flow, State::new(Stage::Offered));
        }
        let state = self.flows.get(now, &flow)?;
        if segment.flags.reset && state.stage == Stage::Accepted {
            // The caller may have chosen another backend server, whose flow goes on.
            return Some(BackendAction::Drop(Cause::Elsewhere));
        }
        let is_accept = segment.flags.open;
        let mut accept_ms = None;
        if is_accept && state.first_sequence.is_none() {
            state.first_sequence = Some(segment.sequence);
            accept_ms = state.offered_at.map(|offered_at| now.since(offered_at));
        }
        state.stage = match state.stage {
            _ if segment.flags.close || segment.flags.reset => Stage::Closing,
            Stage::Offered if is_accept => Stage::Accepted,
            // After a restart of the agent, only the flow's data show that it is open.
            Stage::Offered if segment.length > 0 => Stage::Open,
            stage => stage,
        };
        let request_since =
            if segment.length > 0 { state.request_since.take() } else { None };
        let answer_ms = request_since.map(|since| now.since(since));
        Some(BackendAction::Send { is_accept, accept_ms, answer_ms })
    }

    /// Forgets flows that have been idle for `idle_ms` milliseconds.
    pub fn expire(&mut self, now: Millis, idle_ms: u64) {
        self.flows.expire(now, idle_ms);
        self.index.expire(now, idle_ms);
    }

    /// Open flows, and how many of them wait for an answer.
    pub fn load(&mut self, now: Millis) -> (u32, u32) {
        let (mut open, mut busy) = (0, 0);
        self.flows.retain(|_, state| {
            open += u32::from(state.is_open());
            busy += u32::from(state.is_open() && state.is_awaiting_answer(now));
            true
        });
        (open, busy)
    }

    /// Decides on an opening segment.
    fn handle_opening(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
    ) -> Action {
        let flow = arrival.segment.from_caller();
        let forwarding = &arrival.forwarding;
        match self.flows.get(now, &flow).map(|state| state.stage) {
            Some(Stage::Held) => return Action::Drop(Cause::Held),
            Some(_) => return self.deliver(now, arrival, false),
            None => {}
        }
        let revision = forwarding.revision.max(routing.revision);
        if revision < self.min_revision {
            return Action::Drop(Cause::Stale);
        }
        let service = self.backend.report().map(|report| report.service.clone());
        let Some(service) = service else {
            return self.redirect_or_refuse(
                routing,
                roster,
                arrival,
                backend::Refusal::Unknown.into(),
            );
        };
        // The newer of both decisions counts.
        let is_allowed = if routing.revision >= forwarding.revision {
            routing.allows(flow.service, &service)
        } else {
            arrival.service.as_ref() == Some(&service)
        };
        if !is_allowed {
            return self.redirect_or_refuse(routing, roster, arrival, Cause::Route);
        }
        if routing.is_out(&self.domain) {
            return self.redirect_or_refuse(routing, roster, arrival, Cause::DomainOut);
        }
        let limits = routing.service(&service);
        let connections = limits.map_or(u32::MAX, |service| service.connections);
        let cold_per_s = limits.map_or(0.0, |service| service.cold_per_s);
        let (open, _) = self.load(now);
        if let Err(refusal) = self.backend.admit(now, open, connections, cold_per_s) {
            let own = [self.address];
            let is_elsewhere =
                placement::has_ready_agent(routing, roster, &service, &own);
            if refusal == backend::Refusal::Cold
                && !is_elsewhere
                && let Some(until) = self.backend.reserve(now, cold_per_s)
            {
                self.flows.insert(now, flow, State::new(Stage::Held));
                return Action::Hold { until };
            }
            return self.redirect_or_refuse(routing, roster, arrival, refusal.into());
        }
        self.min_revision = revision;
        self.flows.insert(now, flow, State::offered(now));
        self.deliver(now, arrival, true)
    }

    /// Offers an opening segment to another agent, or refuses it.
    fn redirect_or_refuse(
        &self,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
        cause: Cause,
    ) -> Action {
        let flow = arrival.segment.from_caller();
        let mut forwarding = arrival.forwarding.clone();
        forwarding.tried.push(self.address);
        forwarding.hops += 1;
        forwarding.revision = forwarding.revision.max(routing.revision);
        let refuse =
            Action::Refuse { sequence: 0, notify: Some(forwarding.origin), cause };
        if forwarding.tried.len() > MAX_TRIED {
            return refuse;
        }
        let Some(service) = placement::choose_service(routing, &flow) else {
            return refuse;
        };
        let domain = self.origin_domain(roster, &forwarding);
        let request = Request { flow: &flow, service, domain };
        match placement::choose_agent(routing, roster, request, &forwarding.tried) {
            Some(to) => Action::Forward { to, forwarding, cause },
            None => refuse,
        }
    }

    /// Decides on a segment of a flow that should be open.
    fn handle_established(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
    ) -> Action {
        let flow = arrival.segment.from_caller();
        let ack = arrival.segment.acknowledged;
        let may_hold_unknown_flows = self.may_hold_unknown_flows(now);
        match self.flows.get(now, &flow).copied() {
            // The caller opened the flow elsewhere: the backend server would reset it.
            Some(state) if !state.accepts_ack(ack) => {
                self.locate(now, routing, roster, arrival)
            }
            Some(state) if state.stage == Stage::Lost => self.reset(arrival, Cause::Lost),
            Some(_) => self.deliver(now, arrival, false),
            // Until all flows are known, only the backend server can tell.
            None if may_hold_unknown_flows
                && !matches!(arrival.forwarding.search, Search::Home(_)) =>
            {
                self.deliver(now, arrival, false)
            }
            None => self.locate(now, routing, roster, arrival),
        }
    }

    /// Delivers a segment.
    fn deliver(&mut self, now: Millis, arrival: &Arrival, is_new: bool) -> Action {
        let flow = arrival.segment.from_caller();
        let state = self.flows.get(now, &flow);
        let is_tracked = state.is_some();
        if let Some(state) = state {
            if !arrival.segment.is_opening() {
                state.acknowledged = arrival.segment.acknowledged;
                if state.stage == Stage::Accepted {
                    state.stage = Stage::Open;
                }
            }
            if arrival.segment.length > 0 {
                state.request_since.get_or_insert(now);
            }
            if arrival.segment.flags.close || arrival.segment.flags.reset {
                state.stage = Stage::Closing;
            }
        }
        let forwarding = &arrival.forwarding;
        let is_known = match forwarding.search {
            Search::Known => true,
            Search::Open => forwarding.tried.is_empty(),
            _ => false,
        };
        let notify = (is_tracked && !is_known).then_some(forwarding.origin);
        let mark = self.delivered.push(Delivered {
            flow,
            service: arrival.service.clone(),
            forwarding: forwarding.clone(),
        });
        Action::Deliver { mark, notify, is_new }
    }

    /// Whether the backend server may hold flows that this agent does not know.
    fn may_hold_unknown_flows(&self, now: Millis) -> bool {
        !self.knows_all_flows && self.backend.may_be_running(now, self.start)
    }

    /// The failure domain of the balancer that a segment came through; the own one if that is
    /// not known.
    fn origin_domain<'a>(
        &'a self,
        roster: &'a Roster,
        forwarding: &Forwarding,
    ) -> &'a str {
        roster.get(forwarding.origin).map_or(&self.domain, |member| &member.domain)
    }

    /// The incarnation of this process.
    fn incarnation(&self, roster: &Roster) -> u64 {
        roster.get(self.address).map_or(0, |member| member.incarnation)
    }

    /// Ends a flow that no backend server holds.
    fn reset(&self, arrival: &Arrival, cause: Cause) -> Action {
        if arrival.segment.flags.reset {
            return Action::Drop(cause);
        }
        let sequence = arrival.segment.acknowledged;
        Action::Refuse { sequence, notify: Some(arrival.forwarding.origin), cause }
    }

    /// Decides on a segment that the backend server did not take.
    fn handle_returned(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        segment: &Segment,
    ) -> Option<Action> {
        let flow = segment.from_caller();
        let delivered = self.delivered.take(segment.mark, &flow)?;
        let arrival = Arrival {
            segment: *segment,
            forwarding: delivered.forwarding,
            service: delivered.service,
        };
        let stage = self.flows.remove(&flow).map(|state| state.stage);
        if segment.is_opening() {
            return Some(self.redirect_or_refuse(
                routing,
                roster,
                &arrival,
                Cause::Returned,
            ));
        }
        Some(match stage {
            // The backend server held it before: it started again, or dropped the flow.
            Some(Stage::Open | Stage::Closing | Stage::Lost) => {
                self.reset(&arrival, Cause::Lost)
            }
            Some(Stage::Held | Stage::Offered | Stage::Accepted) | None => {
                self.locate(now, routing, roster, &arrival)
            }
        })
    }

    /// Marks all flows as ended with their backend server; returns those that were open.
    fn end_all(&mut self) -> Vec<Ended> {
        let mut ended = Vec::new();
        self.flows.retain(|flow, state| {
            // The caller may have chosen another backend server for the others.
            let is_here = state.is_established() || state.stage == Stage::Lost;
            if state.stage == Stage::Open {
                ended.push(Ended { flow: *flow, sequence: state.acknowledged });
            }
            state.stage = Stage::Lost;
            is_here
        });
        ended
    }
}
