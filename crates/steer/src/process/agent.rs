//! Decides what an agent does with segments. The agent makes the final decision on what
//! its backend server receives, whatever the balancer decided.

use std::collections::VecDeque;
use std::net::SocketAddrV4;

use lentilreach::Name;
use lentilreach::process::clock::Millis;

use crate::connection::flow;
use crate::connection::in_flight::InFlight;
use crate::connection::index::Index;
use crate::connection::lifetime::Lifetime;
use crate::connection::state::{Stage, State};
use crate::connection::table::Table;
use crate::process::backend::Backend;
use crate::process::backend::record::Record;
use crate::process::roster::Roster;
use crate::process::schedule::admission::Admission;
use crate::process::schedule::backlog::Backlog;
use crate::process::schedule::durations::Durations;
use crate::process::schedule::health::Health;
use crate::process::schedule::pressure::Pressure;
use crate::process::settings::Placement;
use crate::request::message::Search;
use crate::request::segment::Segment;
use crate::version::routing::Routing;

mod action;
mod admit;
mod announce;
mod delivered;
mod handover;
mod hold;
mod instance;
mod load;
mod locate;
mod postpone;
mod question;
mod release;
mod sync;

pub use action::{
    Action, Arrival, BackendAction, Cause, Ended, Forwarding, Limits, Outgoing, Release,
    Waiting,
};

pub use handover::HandedOver;

use delivered::{Delivered, Ring};
use instance::Knowledge;
use postpone::Postponed;
use question::Questions;
use sync::{Received, Sent};

/// Maximum number of agents that an opening segment is forwarded to after the first agent
/// has rejected it.
pub const MAX_OPENING_FORWARDS: usize = 4;

/// Maximum number of times that a segment is forwarded. Limits loops between nodes whose
/// views of the membership differ.
const MAX_HOPS: u8 = 200;

/// The state that an agent's decisions are based on.
#[derive(Debug, Clone)]
pub struct Agent {
    /// Address at which the agent receives messages.
    address: SocketAddrV4,
    /// The agent's failure domain.
    domain: Name,
    /// Maximum lifetime of a flow, in milliseconds.
    max_flow_age_ms: u64,
    /// The backend server next to the agent.
    backend: Backend,
    /// Whether the configuration has the service that the backend server has reported.
    is_confirmed: bool,
    /// The known flows of the backend server.
    flows: Table<State>,
    /// Upper bound of the number of open flows: their number when it was last counted,
    /// and all openings since.
    open: u32,
    /// What the backend server has been given and has not answered.
    in_flight: InFlight,
    /// Openings and requests that wait for the backend server, each with its segments, of
    /// which there is at least one. Each opening has an entry in `flows` with the stage
    /// [`Stage::Held`], and each request one with the stage [`Stage::Open`].
    admission: Admission<Vec<Waiting>>,
    /// Segments of requests that no longer wait, in the order in which they are delivered.
    released: VecDeque<Waiting>,
    /// Number of bytes of all waiting requests.
    held_bytes: usize,
    /// How long requests take at the backend server.
    durations: Durations,
    /// Mean number of openings and requests that the backend server has to do.
    backlog: Backlog,
    /// Which priorities the backend server has no room for.
    pressure: Pressure,
    /// Where flows go; decides whether the agent states the load of its backend server.
    placement: Placement,
    /// Estimates how long flows stay open.
    lifetime: Lifetime,
    /// Whether the backend server resets flows or leaves requests unanswered.
    health: Health,
    /// Which agents hold the flows that this agent is a home node of.
    index: Index,
    /// Recently delivered segments, which the backend server may return.
    delivered: Ring,
    /// Flows of which the backend server has returned a segment, so that it doesn't hold them
    /// unless it has got an opening since.
    denied: Table<()>,
    /// Since when every flow of the backend server has been recorded in `flows`: the start
    /// of the agent, or the last eviction of a flow.
    recorded_since: Millis,
    /// Whether that is still the start of the agent.
    has_all_since_start: bool,
    /// What is known about flows of the backend server that are not in `flows`. Home nodes
    /// take it as proof that a flow has ended.
    knowledge: Knowledge,
    /// What the agent's entry in the store said before this process wrote it.
    found_record: Record,
    /// What it says now.
    record: Record,
    /// The highest version of the configuration that a delivered opening was based on. Openings
    /// based on an older one are dropped.
    min_version: u64,
    /// Announcements sent to home nodes.
    sent: Sent,
    /// Announcements received as a home node.
    received: Received,
    /// Questions about flows that this agent doesn't know although it is a home node.
    questions: Questions,
    /// Segments of such flows that wait for the answers.
    postponed: Postponed,
    /// Home nodes that don't know of some flow which the backend server has accepted and the
    /// caller may have chosen since. Sorted, without duplicates.
    unannounced: Vec<SocketAddrV4>,
    /// Generation of the roster at the last call of [`Self::announcements`]; `None` if
    /// flows may have to be announced although the generation is the same.
    announced_generation: Option<u64>,
    /// Generation of the roster at the last call of [`Self::handovers`].
    handed_generation: Option<u64>,
}

impl Agent {
    /// Creates an agent without any flows.
    pub fn new(now: Millis, address: SocketAddrV4, domain: Name, limits: Limits) -> Self {
        Self {
            address,
            domain,
            max_flow_age_ms: limits.max_flow_age_ms,
            backend: Backend::new(now, limits.bounds),
            is_confirmed: false,
            flows: Table::new(limits.flows),
            open: 0,
            in_flight: InFlight::default(),
            admission: Admission::default(),
            released: VecDeque::new(),
            held_bytes: 0,
            durations: Durations::default(),
            backlog: Backlog::default(),
            pressure: Pressure::default(),
            placement: limits.placement,
            lifetime: Lifetime::default(),
            health: Health::default(),
            index: Index::new(limits.flows),
            delivered: Ring::new(fastrand::u32(1..)),
            denied: Table::new(limits.flows),
            recorded_since: now,
            has_all_since_start: true,
            knowledge: Knowledge::Partial,
            found_record: Record::Unknown,
            record: Record::Unknown,
            min_version: 0,
            sent: Sent::default(),
            received: Received::default(),
            questions: Questions::new(limits.flows),
            postponed: Postponed::default(),
            unannounced: Vec::new(),
            announced_generation: None,
            handed_generation: None,
        }
    }

    /// The backend server next to the agent.
    pub fn backend(&self) -> &Backend {
        &self.backend
    }

    /// Processes a change of the active routes.
    pub fn routing_changed(&mut self, before: &Routing, after: &Routing) {
        // A backend server that received no requests for a while may be cold again.
        if before.is_out(&self.domain) && !after.is_out(&self.domain) {
            self.backend.suspect_cold();
        }
    }

    /// Decides on a segment from a caller.
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

    /// Decides on a segment from the backend server.
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
        let flow = segment.flow_from_backend();
        let is_new = self.flows.get(now, &flow).is_none();
        if is_new {
            self.denied.remove(&flow);
            self.record_flow(now, flow, State::new(Stage::Offered));
        }
        let state = self.flows.get(now, &flow)?;
        let is_unchosen = matches!(state.stage, Stage::Offered | Stage::Accepted);
        if segment.flags.reset && is_unchosen {
            // The caller may have opened the flow at another backend server, where it
            // continues.
            self.flows.remove(&flow);
            self.in_flight.remove(&flow);
            return Some(BackendAction::Drop(Cause::Elsewhere));
        }
        if state.stage == Stage::Open && (segment.flags.reset || segment.flags.close) {
            self.health.record_end(segment.flags.reset);
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
            // If the agent was restarted meanwhile, any segment but an acceptance shows
            // that the flow is open.
            Stage::Offered if segment.length > 0 || state.offered_at.is_none() => {
                Stage::Open
            }
            stage => stage,
        };
        let is_found = is_new && state.stage == Stage::Open;
        let is_closing = state.stage == Stage::Closing;
        let answer =
            if segment.length > 0 { self.in_flight.answer(now, &flow) } else { None };
        let mut cost_ratio = None;
        if let Some(answer) = answer {
            self.health.record_answer();
            if let Some(slot_ms) = answer.slot_ms {
                cost_ratio = self.record_duration(&flow, slot_ms, answer.is_queued);
            }
        }
        if is_closing {
            self.in_flight.remove(&flow);
            // The backend server answers it with a reset, after which its caller tries again.
            self.release_request(&flow);
        }
        self.record_backlog(now);
        let answer_ms = answer.map(|answer| answer.ms);
        Some(BackendAction::Send {
            is_accept,
            is_found,
            accept_ms,
            answer_ms,
            cost_ratio,
        })
    }

    /// Removes flows that have been idle for `idle_ms` milliseconds.
    pub fn expire(&mut self, now: Millis, idle_ms: u64) {
        self.flows.expire(now, idle_ms);
        self.index.expire(now, idle_ms);
        self.denied.expire(now, idle_ms);
        self.questions.expire(now);
    }

    /// The number of open flows, and of requests in progress.
    pub fn load(&mut self, now: Millis) -> (u32, u32) {
        self.count_open();
        (self.open, self.in_flight.requests(now))
    }

    /// Whether the backend server has answered all that it was given, and nothing waits.
    pub fn is_idle(&mut self, now: Millis) -> bool {
        let is_expecting = self.in_flight.count(now) + self.in_flight.requests(now) > 0;
        !is_expecting && self.admission.queue().is_empty() && self.released.is_empty()
    }

    /// Counts the open flows.
    fn count_open(&mut self) {
        let mut open = 0;
        self.flows.retain(|_, state| {
            open += u32::from(state.is_open());
            true
        });
        self.open = open;
    }

    /// Decides on a segment of a flow that should already be open.
    fn handle_established(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
    ) -> Action {
        let flow = arrival.segment.flow_from_caller();
        let ack = arrival.segment.acknowledged;
        let forwarding = &arrival.forwarding;
        match self.flows.get(now, &flow).copied() {
            // The caller opened the flow at another backend server. This one would answer
            // with a reset.
            Some(state) if !state.accepts_ack(ack) => {
                self.locate(now, routing, roster, arrival)
            }
            // The caller opened the flow elsewhere meanwhile.
            Some(state) if state.stage == Stage::Held => {
                self.discard(&flow);
                self.flows.remove(&flow);
                self.locate(now, routing, roster, arrival)
            }
            Some(state) if state.stage == Stage::Lost => self.reset(arrival, Cause::Lost),
            Some(state) => self.deliver_or_hold(now, routing, arrival, &state),
            // As long as some flows are unknown, only the backend server can tell whether
            // it holds this one.
            None => match forwarding.search {
                Search::Home(_) | Search::Fallback => {
                    self.locate(now, routing, roster, arrival)
                }
                Search::Walk if self.may_hold_unknown_flow(now, &flow) => {
                    self.visit(now, routing, arrival, forwarding.clone())
                }
                Search::Open | Search::Known | Search::Indexed
                    if self.may_hold_expected_flow() =>
                {
                    self.deliver(now, arrival, false)
                }
                _ => self.locate(now, routing, roster, arrival),
            },
        }
    }

    /// Delivers a segment and updates the state of its flow.
    fn deliver(&mut self, now: Millis, arrival: &Arrival, is_new: bool) -> Action {
        let flow = arrival.segment.flow_from_caller();
        let state = self.flows.get(now, &flow);
        let is_tracked = state.is_some();
        let mut is_request = arrival.segment.length > 0;
        if let Some(state) = state {
            if !arrival.segment.is_opening() {
                state.acknowledged = arrival.segment.acknowledged;
                if state.stage == Stage::Accepted {
                    state.stage = Stage::Open;
                }
            }
            let Segment { sequence, length, .. } = arrival.segment;
            is_request = length > 0 && state.record_request(sequence, length);
            let is_last = arrival.segment.flags.close || arrival.segment.flags.reset;
            if is_last && state.stage == Stage::Open {
                state.stage = Stage::Closing;
            }
        }
        if is_request {
            let slots = self.backend.report().map_or(1, |report| report.slots);
            if !self.in_flight.has_request(&flow) {
                self.durations.record_request(flow.service);
            }
            self.in_flight.request(now, flow, slots);
        }
        if arrival.segment.flags.reset {
            self.in_flight.remove(&flow);
        }
        self.record_backlog(now);
        let forwarding = &arrival.forwarding;
        let balancer_knows = match forwarding.search {
            Search::Known => true,
            Search::Open => forwarding.tried.is_empty(),
            _ => false,
        };
        let notify = (is_tracked && !balancer_knows).then_some(forwarding.origin);
        let mark = self.delivered.push(Delivered {
            flow,
            service: arrival.service.clone(),
            forwarding: forwarding.clone(),
        });
        Action::Deliver { mark, notify, is_new }
    }

    /// Records the time that a request took in a slot. Returns it relative to what was
    /// expected, if it is known for the single request.
    fn record_duration(
        &mut self,
        flow: &flow::Key,
        slot_ms: u64,
        is_queued: bool,
    ) -> Option<f64> {
        self.admission.observe(slot_ms);
        if is_queued {
            self.durations.record_queued(slot_ms);
            return None;
        }
        let expected_ms = self.durations.mean_ms();
        self.durations.record(flow.service, slot_ms);
        expected_ms.map(|expected_ms| slot_ms as f64 / expected_ms)
    }

    /// Failure domain of the balancer that received the segment; the agent's own domain
    /// if the balancer is unknown.
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

    /// Resets a flow that no backend server holds.
    fn reset(&self, arrival: &Arrival, cause: Cause) -> Action {
        if arrival.segment.flags.reset {
            return Action::Drop(cause);
        }
        let sequence = arrival.segment.acknowledged;
        Action::Refuse { sequence, notify: Some(arrival.forwarding.origin), cause }
    }

    /// Decides on a segment that the backend server returned.
    fn handle_returned(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        segment: &Segment,
    ) -> Option<Action> {
        let flow = segment.flow_from_caller();
        let delivered = self.delivered.take(segment.mark, &flow)?;
        let arrival = Arrival {
            segment: *segment,
            forwarding: delivered.forwarding,
            service: delivered.service,
        };
        let state = self.flows.remove(&flow);
        self.in_flight.remove(&flow);
        self.discard(&flow);
        if segment.is_opening() {
            return Some(self.redirect_or_refuse(
                now,
                routing,
                roster,
                &arrival,
                Cause::Returned,
            ));
        }
        // The backend server did hold the flow if it has accepted it and the caller has
        // chosen it: it was restarted or has dropped the flow.
        let was_held = state.is_some_and(|state| {
            state.first_sequence.is_some()
                && (state.is_established() || state.stage == Stage::Lost)
        });
        if state.is_some_and(|state| self.was_held_before(&state)) {
            self.backend.record_displacement();
        }
        if was_held {
            return Some(self.reset(&arrival, Cause::Lost));
        }
        self.denied.insert(now, flow, ());
        Some(self.locate(now, routing, roster, &arrival))
    }
}
