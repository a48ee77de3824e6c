//! Estimates the work of agents from their statements and from what this node placed.

use std::net::SocketAddrV4;

use lentilreach::Name;
use lentilreach::process::clock::Millis;

use super::{Member, Roster};
use crate::request::message::{Stage, from_tenths, route_hash};

/// Factor by which a statement may differ from the mean of the service.
const MAX_FACTOR: f64 = 8.0;

/// Jobs for each slot below which an agent counts as idle: what this node has placed there
/// has probably been answered.
const IDLE_JOBS: f64 = 0.1;

/// Jobs for each slot from which more say nothing about the wait: beyond its limit, a
/// backend server is given none.
const MAX_BUSY: f64 = 2.0;

/// Duration of a request if none is known for the service, in milliseconds.
const INITIAL_REQUEST_MS: f64 = 50.0;

/// Shortest duration of a request, in milliseconds.
const MIN_REQUEST_MS: f64 = 1.0;

/// Factor by which a backend server is assumed to be slower than its service until some of
/// its durations are known.
const NEW_FACTOR: f64 = 1.5;

/// Time until a placed request begins to count as answered, in addition to its duration, in
/// milliseconds: its flow has to open first.
const OPENING_MS: f64 = 5.0;

/// Number of statements after which the average counts. After the loss of power of all
/// nodes, the first ones are made before the rush arrives.
const MIN_STATEMENTS: u32 = 3;

/// Weight of one statement in the average of an agent's jobs.
const STATED_WEIGHT: f64 = 0.2;

/// Ratio between the durations of slow and fast backend servers of a service from which they
/// differ in speed.
const UNEVEN_FROM: f64 = 1.8;

/// The ratio below which they no longer do.
const UNEVEN_UNTIL: f64 = 1.4;

/// Part of the backend servers on each side that is left out of this ratio.
const OUTLIERS: usize = 10;

/// Number of known durations from which the ratio counts.
const MIN_DURATIONS: usize = 4;

/// What is expected of a backend server for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Expectation {
    /// The work that this node has placed there for each slot. Compares agents of the
    /// caller's failure domain. It grows with the root of the duration, so that slow backend
    /// servers get less than their share by speed, but are not left idle.
    pub work: f64,
    /// Whether that is so little that it says nothing. Among such agents the choice is left
    /// to chance, or small errors of the speeds would decide it.
    pub is_idle: bool,
    /// Requests that it can answer in a millisecond.
    pub speed: f64,
    /// Time until the answer, in milliseconds, according to what the agent has stated in
    /// the last seconds; `None` if it has stated little yet. Compares failure domains, and
    /// agents with oneself.
    pub completion_ms: Option<f64>,
}

/// Requests that this node has placed on an agent.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(super) struct Placed {
    /// Estimated number that are not answered at `at`.
    jobs: f64,
    /// When it was last updated.
    at: Millis,
    /// Moving average of the number of jobs that the agent states.
    stated: f64,
    /// Number of statements, saturating.
    statements: u32,
}

impl Placed {
    /// Adds requests, of which each takes `request_ms`.
    pub fn add(&mut self, now: Millis, jobs: f64, request_ms: f64) {
        *self = self.at(now, request_ms);
        self.jobs += jobs;
    }

    /// The estimate at a later time.
    fn at(&self, now: Millis, request_ms: f64) -> Self {
        let age = now.since(self.at) as f64 / (request_ms + OPENING_MS);
        Self { jobs: self.jobs * (-age).exp(), at: now, ..*self }
    }

    /// Processes a statement of the number of jobs that the agent has to do.
    pub fn observe(&mut self, jobs: f64) {
        self.statements = self.statements.saturating_add(1);
        let weight = STATED_WEIGHT.max(1.0 / f64::from(self.statements));
        self.stated += (jobs - self.stated) * weight;
    }
}

impl Member {
    /// What is expected of its backend server for a request of a route. Returns `None` if
    /// the agent states no load, if flows of its service are not placed by it, or if flows of
    /// the route are open for many requests, so that the present work says little.
    pub fn expectation(&self, now: Millis, route: SocketAddrV4) -> Option<Expectation> {
        let load = self.load.as_ref()?;
        if load.is_conditional && !self.is_service_uneven {
            return None;
        }
        let hash = route_hash(route);
        let of_route = load.routes.iter().find(|known| known.route == hash);
        if of_route.is_some_and(|known| known.is_long) {
            return None;
        }
        let request_ms = self.bounded_ms(load.request);
        let slots = f64::from(load.slots.max(1));
        let jobs = self.placed.at(now, request_ms).jobs / slots;
        let cost = of_route.map_or(load.request, |known| known.request);
        let busy = (self.placed.stated / slots).min(MAX_BUSY);
        let completion_ms = self.bounded_ms(cost) + request_ms * busy * busy;
        let is_known = self.placed.statements >= MIN_STATEMENTS;
        Some(Expectation {
            work: jobs * request_ms.sqrt(),
            is_idle: jobs < IDLE_JOBS,
            speed: slots / request_ms,
            completion_ms: is_known.then_some(completion_ms),
        })
    }

    /// Processes the statement of the last heartbeat.
    pub(super) fn observe_load(&mut self) {
        let given = self.load.as_ref().map(|load| from_tenths(load.given));
        if let Some(given) = given {
            self.placed.observe(given);
        }
    }

    /// Expected time that a request takes in one of its slots, in milliseconds.
    pub(super) fn request_ms(&self) -> Option<f64> {
        Some(self.bounded_ms(self.load.as_ref()?.request))
    }

    /// A stated duration in milliseconds, as far as it is known and plausible for the
    /// service.
    fn bounded_ms(&self, tenths: u32) -> f64 {
        let usual_ms = self.service_request_ms;
        match (tenths, usual_ms) {
            (0, _) => assumed_ms(usual_ms),
            (_, Some(usual_ms)) => from_tenths(tenths)
                .clamp(usual_ms / MAX_FACTOR, usual_ms * MAX_FACTOR)
                .max(MIN_REQUEST_MS),
            (_, None) => from_tenths(tenths).max(MIN_REQUEST_MS),
        }
    }
}

impl Roster {
    /// The time that a request takes at a backend server of which none is known yet, in
    /// milliseconds.
    pub fn assumed_ms(&self, service: Option<&str>) -> f64 {
        assumed_ms(service.and_then(|service| self.request_ms(service)))
    }

    /// Median of the times that requests of a service take, in milliseconds.
    pub fn request_ms(&self, service: &str) -> Option<f64> {
        let index = self.find_service(service).ok()?;
        self.services[index].request_ms
    }

    /// The least urgent priority that some agent of a service has room for; `None` if all
    /// priorities have.
    pub fn floor(&self, service: &str) -> Option<u8> {
        let index = self.find_service(service).ok()?;
        let service = &self.services[index];
        service.floor.filter(|_| service.is_placed_by_work())
    }

    /// Updates what is known about services from the last statements.
    pub(super) fn update_services(&mut self) {
        let mut services: Vec<ServiceLoad> = Vec::new();
        for member in self.members.iter().filter(|member| !member.is_silent) {
            let Some(status) = &member.backend_status else { continue };
            if status.stage == Stage::Closed {
                continue;
            }
            let found =
                services.binary_search_by(|known| (*known.name).cmp(&status.service));
            let index = found.unwrap_or_else(|index| {
                let name = status.service.as_ref().into();
                services.insert(
                    index,
                    ServiceLoad {
                        is_uneven: self.is_uneven(&status.service),
                        name,
                        durations: Vec::new(),
                        request_ms: None,
                        floor: Some(0),
                        is_conditional: false,
                    },
                );
                index
            });
            let service = &mut services[index];
            let load = member.load.as_ref();
            service.durations.extend(
                load.map(|load| load.request)
                    .filter(|tenths| *tenths > 0)
                    .map(from_tenths),
            );
            let floor = load.and_then(|load| load.floor);
            service.floor = service.floor.zip(floor).map(|(a, b)| a.max(b));
            service.is_conditional |= load.is_some_and(|load| load.is_conditional);
        }
        for service in &mut services {
            service.durations.sort_by(f64::total_cmp);
            let middle = service.durations.len() / 2;
            service.request_ms = service.durations.get(middle).copied();
            let before = service.is_uneven;
            service.is_uneven = is_uneven(&service.durations, before);
            if service.is_uneven != before {
                self.speed_changes.push((service.name.clone(), service.is_uneven));
            }
            service.durations = Vec::new();
        }
        self.services = services;
        for index in 0..self.members.len() {
            let status = self.members[index].backend_status.as_ref();
            let found = status.and_then(|status| self.find_service(&status.service).ok());
            let service = found.map(|index| &self.services[index]);
            let request_ms = service.and_then(|service| service.request_ms);
            let is_uneven = service.is_some_and(|service| service.is_uneven);
            self.members[index].service_request_ms = request_ms;
            self.members[index].is_service_uneven = is_uneven;
        }
    }

    /// Whether the backend servers of a service differed in speed at the last update.
    fn is_uneven(&self, service: &str) -> bool {
        self.find_service(service).is_ok_and(|index| self.services[index].is_uneven)
    }

    /// Number of services whose backend servers differ in speed.
    pub fn uneven_services(&self) -> usize {
        self.services.iter().filter(|service| service.is_uneven).count()
    }

    /// Returns the services whose backend servers have begun to differ in speed, or no longer
    /// do, since the last call, each with whether they do now.
    pub fn take_speed_changes(&mut self) -> Vec<(Name, bool)> {
        std::mem::take(&mut self.speed_changes)
    }

    /// The index of a service, or the index at which to insert it.
    fn find_service(&self, service: &str) -> Result<usize, usize> {
        self.services.binary_search_by(|known| (*known.name).cmp(service))
    }
}

/// Whether the sorted durations of a service's backend servers differ, given whether they did
/// before.
fn is_uneven(durations: &[f64], before: bool) -> bool {
    let last = durations.len().saturating_sub(1);
    let left_out = last / OUTLIERS;
    let (Some(fast), Some(slow)) =
        (durations.get(left_out), durations.get(last - left_out))
    else {
        return false;
    };
    let ratio = slow / fast.max(MIN_REQUEST_MS);
    let limit = if before { UNEVEN_UNTIL } else { UNEVEN_FROM };
    durations.len() >= MIN_DURATIONS && ratio >= limit
}

/// The time that a request takes at a backend server of which none is known yet, given that
/// of its service. Such a backend server has usually just started and is slow.
fn assumed_ms(usual_ms: Option<f64>) -> f64 {
    usual_ms.map_or(INITIAL_REQUEST_MS, |usual_ms| usual_ms * NEW_FACTOR)
}

/// What the agents of a service state.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct ServiceLoad {
    /// Name of the service.
    name: Name,
    /// Stated durations, while they are collected.
    durations: Vec<f64>,
    /// Their median, in milliseconds. A few agents that state nonsense don't move it.
    request_ms: Option<f64>,
    /// The least urgent priority that some agent has room for; `None` if all have.
    floor: Option<u8>,
    /// Whether some agent states that flows are placed by expected work only while backend
    /// servers differ in speed.
    is_conditional: bool,
    /// Whether they do.
    is_uneven: bool,
}

impl ServiceLoad {
    /// Whether flows are placed by what agents state.
    fn is_placed_by_work(&self) -> bool {
        self.is_uneven || !self.is_conditional
    }
}
