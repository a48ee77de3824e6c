//! What an agent states about the work of its backend server, and where an opening would be
//! answered sooner.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

use super::{Agent, Arrival};
use crate::process::roster::Roster;
use crate::process::settings::Placement;
use crate::request::completion::{self, Choice};
use crate::request::message::{self, Load};
use crate::request::placement::{self, Request};
use crate::version::routing::Routing;

/// Factor by which requests of a route differ from the mean to be stated on their own.
const ROUTE_FACTOR: f64 = 1.25;

/// Maximum number of routes in a statement.
const MAX_ROUTES: usize = 4;

/// Number of agents that may offer an opening to others only because it would be answered
/// sooner there.
const MAX_SOONER_OFFERS: usize = 2;

/// Time by which an opening must be answered sooner elsewhere to be offered, in milliseconds.
const MIN_GAIN_MS: f64 = 30.0;

/// Factor by which requests take longer than usual for the service at a slow backend server.
const SLOW_FACTOR: f64 = 2.0;

/// Factor by which the stated duration of a request has to change for a heartbeat at once.
const CHANGE_FACTOR: f64 = 1.5;

impl Agent {
    /// What the backend server has to do and how long it takes; `None` if the settings say
    /// that flows are not placed by expected work, or if it has not reported.
    pub fn stated_load(&self, now: Millis) -> Option<Load> {
        let report = self.backend.report().filter(|_| self.states_load())?;
        let mean_ms = self.durations.mean_ms();
        // Others are like the mean, so they needn't be in every heartbeat.
        let differs = |(_, ms, is_long): &(SocketAddrV4, f64, bool)| {
            let factor = mean_ms.map_or(1.0, |mean_ms| ms / mean_ms);
            *is_long || factor.max(1.0 / factor) >= ROUTE_FACTOR
        };
        let routes = self.durations.routes().filter(differs).take(MAX_ROUTES);
        let routes = routes.map(|(address, ms, is_long)| message::RouteLoad {
            route: message::route_hash(address),
            request: message::tenths(ms),
            is_long,
        });
        let waiting = self.backlog.waiting(now).map(|(priority, jobs)| {
            message::Waiting { priority, jobs: message::tenths(jobs) }
        });
        Some(Load {
            given: message::tenths(self.backlog.given(now)),
            waiting: waiting.collect(),
            slots: report.slots,
            request: mean_ms.map_or(0, message::tenths),
            routes: routes.collect(),
            floor: self.pressure.floor(),
            is_conditional: self.placement == Placement::Auto,
        })
    }

    /// Whether the settings say that the load is stated.
    fn states_load(&self) -> bool {
        self.placement != Placement::OpenFlows
    }

    /// Whether the load differs so much from the one that was last stated that other nodes
    /// should know at once.
    pub fn is_load_changed(&self, stated: &Load, now: Millis) -> bool {
        let Some(load) = self.stated_load(now) else { return false };
        let factor = f64::from(load.request.max(1)) / f64::from(stated.request.max(1));
        let has_changed = factor.max(1.0 / factor) >= CHANGE_FACTOR;
        has_changed || load.floor != stated.floor
    }

    /// Records how much the backend server has to do.
    pub(super) fn record_backlog(&mut self, now: Millis) {
        let given = self.in_flight.count(now);
        self.backlog.record(now, given, self.admission.queue().counts());
    }

    /// Expected time that a request takes in a slot, in milliseconds.
    fn request_ms(&self, roster: &Roster) -> f64 {
        let service = self.backend.report().map(|report| &*report.service);
        self.durations.mean_ms().unwrap_or_else(|| roster.assumed_ms(service))
    }

    /// Expected time until an opening of a priority is answered here, in milliseconds.
    fn completion_ms(&self, now: Millis, roster: &Roster, priority: u8) -> f64 {
        let slots = self.backend.report().map_or(1, |report| report.slots);
        let (ages, others) = self.in_flight.ages(now);
        let request_ms = self.request_ms(roster);
        let queued = others + self.admission.queue().count(priority);
        let wait_ms = self.durations.wait_ms(&ages, queued, slots, request_ms);
        wait_ms + request_ms
    }

    /// Whether the backend server is much slower than others of its service, so that
    /// openings may be answered sooner elsewhere although it has room.
    pub(super) fn is_slow(&self, roster: &Roster) -> bool {
        let report = self.backend.report();
        let of_service = report.and_then(|report| roster.request_ms(&report.service));
        of_service.is_some_and(|ms| self.request_ms(roster) > ms * SLOW_FACTOR)
    }

    /// Whether an opening would be answered sooner by another agent.
    pub(super) fn is_sooner_elsewhere(
        &self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
    ) -> bool {
        let tried = &arrival.forwarding.tried;
        if !self.states_load() || tried.len() >= MAX_SOONER_OFFERS {
            return false;
        }
        let route = routing.route(arrival.segment.destination);
        let priority = route.map_or(u8::MAX, |route| route.priority);
        let here_ms = self.completion_ms(now, roster, priority);
        let choice = self.other_choice(now, routing, roster, arrival);
        let there_ms = choice.and_then(|choice| choice.completion_ms);
        there_ms.is_some_and(|there_ms| there_ms + MIN_GAIN_MS < here_ms)
    }

    /// The best of the other agents for an opening, if all candidates state their load.
    pub(super) fn other_choice(
        &self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
    ) -> Option<Choice> {
        let flow = arrival.segment.flow_from_caller();
        let service = placement::choose_service(routing, &flow)?;
        let domain = self.origin_domain(roster, &arrival.forwarding);
        let request = Request { flow: &flow, service, domain };
        let mut tried: Vec<SocketAddrV4> = arrival.forwarding.tried.clone();
        tried.push(self.address);
        completion::choose(now, routing, roster, request, &tried)
    }
}
