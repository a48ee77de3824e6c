//! Nodes, callers and backend servers that play a [`Load`].

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use fastrand::Rng;
use lentilreach::process::clock::Millis;
use lentilreach_steer::process::agent::{Agent, Limits};
use lentilreach_steer::process::backend::record::Record;
use lentilreach_steer::process::backend::{Bounds, Report};
use lentilreach_steer::process::balancer::Balancer;
use lentilreach_steer::process::roster::Roster;
use lentilreach_steer::process::settings::Placement;
use lentilreach_steer::request::message::Heartbeat;
use lentilreach_steer::version::history::History;
use lentilreach_steer::version::routing::{Route, Routing, Service, Share};

use super::segment::{
    Attempt, Envelope, SERVICE, agent_address, domain, service_address,
};
use super::server::{self, Server};
use super::{CLASSES, Class, FIRST_CLASS_PERCENT, Load, Outcome, Policy, Second, Tick};

/// Time of the first request, in milliseconds.
const START: Tick = 10_000;

/// Time for which requests are made before the outage.
const BEFORE_MS: Tick = 3_000;

/// Time for which requests are made after the outage.
const AFTER_MS: Tick = 6_000;

/// Time after which every request has ended.
const SETTLE_MS: Tick = 5_000;

/// One-way delay between nodes of different failure domains.
const DOMAIN_DELAY_MS: Tick = 4;

/// Interval between reports of a backend server and between heartbeats.
const HEARTBEAT_MS: Tick = 1_000;

/// Time from which another service may use the address of a backend server, in milliseconds.
const ADDRESS_REUSE_MS: Tick = 2_000;

/// Time in which callers open the flows that they keep open, in milliseconds.
const SESSIONS_MS: Tick = 1_000;

/// Interval between ticks of an agent.
const TICK_MS: Tick = 200;

/// Plays a load.
pub fn run(load: &Load) -> Outcome {
    let mut fleet = Fleet::new(load);
    fleet.schedule();
    while let Some(Reverse((now, _, event))) = fleet.events.pop() {
        fleet.handle(now, event);
    }
    fleet.finish()
}

/// Something that happens.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// All nodes lose power.
    Outage,
    /// All nodes have power again.
    Return,
    /// Reports and heartbeats are due.
    Heartbeat,
    /// Ticks of agents are due.
    Tick,
    /// A caller makes a request.
    Request(usize),
    /// A caller sends a copy of an opening segment.
    Open(Attempt, u32),
    /// A caller gives up an attempt if its flow has not opened.
    GiveUp(Attempt),
    /// An opening segment arrives at an agent.
    Arrive(usize, Attempt, Envelope),
    /// The backend server of an agent accepts a flow.
    Accept(usize, Attempt),
    /// The request of an attempt arrives at an agent.
    Data(usize, Attempt),
    /// A request ends at the backend server of an agent: agent, request, incarnation.
    End(usize, usize, u32),
    /// An answer arrives at its caller.
    Answer(usize),
    /// A caller gives up a request on an open flow.
    Abandon(usize),
    /// A refusal or rejection arrives at a caller.
    Refused(Attempt),
    /// An agent checks its waiting openings.
    Release(usize),
}

/// A request of a caller.
#[derive(Debug)]
pub(super) struct Request {
    /// When it was made.
    pub made: Tick,
    /// Index in [`CLASSES`].
    pub class: usize,
    /// Its work in milliseconds.
    pub work_ms: f64,
    /// Number of the current attempt; one more than the last one if the caller has given up.
    pub attempt: u8,
    /// Whether the current attempt has opened its flow.
    pub is_open: bool,
    /// When its answer arrived.
    pub answered: Option<Tick>,
    /// How often it was started by a backend server.
    pub runs: u32,
    /// Attempts that were refused, as bits.
    pub refused: u8,
    /// Attempts that ran, as bits.
    pub ran: u8,
    /// The open flow that it is made on; `None` if it has one of its own.
    pub session: Option<usize>,
}

/// A flow that a caller keeps open for many requests.
#[derive(Debug, Default)]
pub(super) struct Session {
    /// Number of the request that opens the flow.
    pub opener: usize,
    /// The agent whose backend server has accepted the flow.
    pub side: Option<usize>,
    /// The request that is not answered yet.
    pub current: Option<usize>,
    /// Requests that wait for the answer to the one before.
    pub waiting: VecDeque<usize>,
    /// Number of requests sent.
    pub sent: u32,
    /// Whether its caller has reset it.
    pub is_closed: bool,
}

/// A balancer with its view of the members.
pub(super) struct Front {
    /// Its decisions.
    pub balancer: Balancer,
    /// Its view.
    pub roster: Roster,
}

/// An agent with its view of the members and its backend server.
pub(super) struct Side {
    /// Its decisions.
    pub agent: Agent,
    /// Its view.
    pub roster: Roster,
    /// The backend server.
    pub server: Server,
    /// Number of reports of the backend server.
    pub reports: u64,
    /// Number of requests that reached the backend server.
    pub requests: u32,
    /// Requests that were placed here by [`Policy::Oracle`] and have not begun to run.
    pub placed: Vec<usize>,
    /// Whether it has no power.
    pub is_silent: bool,
}

/// All parts of a run.
pub(super) struct Fleet<'a> {
    /// The load.
    pub load: &'a Load,
    /// Random choices.
    pub rng: Rng,
    /// Future events with their order of creation.
    pub events: BinaryHeap<Reverse<(Tick, u64, Event)>>,
    /// Number of events created.
    pub created: u64,
    /// The active routes.
    pub routing: Routing,
    /// Balancers.
    pub fronts: Vec<Front>,
    /// Agents.
    pub sides: Vec<Side>,
    /// Whether there is no power.
    pub is_out: bool,
    /// Number of starts of all nodes.
    pub incarnation: u32,
    /// Requests by number.
    pub requests: Vec<Request>,
    /// Flows that callers keep open.
    pub sessions: Vec<Session>,
    /// What was seen.
    pub outcome: Outcome,
}

impl<'a> Fleet<'a> {
    /// Creates a fleet with warm backend servers.
    fn new(load: &'a Load) -> Self {
        let mut fleet = Self {
            load,
            rng: Rng::with_seed(load.seed),
            events: BinaryHeap::new(),
            created: 0,
            routing: routing(load),
            fronts: Vec::new(),
            sides: Vec::new(),
            is_out: false,
            incarnation: 0,
            requests: Vec::new(),
            sessions: Vec::new(),
            outcome: Outcome::default(),
        };
        fleet.start(START, 0);
        fleet
    }

    /// End of the outage.
    fn back(&self) -> Tick {
        START + BEFORE_MS + self.load.outage_ms
    }

    /// Schedules the outage, the requests and all periodic events.
    fn schedule(&mut self) {
        let end = self.back() + AFTER_MS + SETTLE_MS;
        if self.load.outage_ms > 0 {
            self.at(START + BEFORE_MS, Event::Outage);
            self.at(self.back(), Event::Return);
        }
        for now in (START..end).step_by(HEARTBEAT_MS as usize) {
            self.at(now, Event::Heartbeat);
        }
        for now in (START..end).step_by(TICK_MS as usize) {
            self.at(now + 1, Event::Tick);
        }
        for session in 0..self.load.open_flows {
            let opener = self.add_request(START, 0, 1.0, Some(session));
            let current = Some(opener);
            self.sessions.push(Session { opener, current, ..Session::default() });
            let delay_ms = self.rng.u64(..SESSIONS_MS);
            self.at(START + delay_ms, Event::Request(opener));
        }
        let mut at = START as f64;
        while (at as Tick) < self.back() + AFTER_MS {
            let is_after = at as Tick >= self.back();
            let crowd = if is_after { self.load.crowd } else { 1.0 };
            let class = usize::from(self.rng.u32(..100) >= FIRST_CLASS_PERCENT);
            let work_ms = server::work_ms(&mut self.rng, self.load);
            let is_on_session = class == 0 && !self.sessions.is_empty();
            let session = is_on_session.then(|| self.rng.usize(..self.sessions.len()));
            let number = self.add_request(at as Tick, class, work_ms, session);
            self.at(at as Tick, Event::Request(number));
            at += 2.0 * self.rng.f64() * 1_000.0 / (self.load.per_s * crowd);
        }
    }

    /// Adds a request. Returns its number.
    fn add_request(
        &mut self,
        made: Tick,
        class: usize,
        work_ms: f64,
        session: Option<usize>,
    ) -> usize {
        self.requests.push(Request {
            made,
            class,
            work_ms,
            attempt: 0,
            is_open: false,
            answered: None,
            runs: 0,
            refused: 0,
            ran: 0,
            session,
        });
        self.requests.len() - 1
    }

    /// Schedules an event.
    pub fn at(&mut self, at: Tick, event: Event) {
        self.created += 1;
        self.events.push(Reverse((at, self.created, event)));
    }

    /// Starts all nodes and backend servers.
    fn start(&mut self, now: Tick, cold_ms: Tick) {
        self.incarnation += 1;
        let load = self.load;
        self.outcome.rejected +=
            self.sides.iter().map(|s| s.server.rejected).sum::<u32>();
        let has_returned = self.incarnation > 1;
        let front = |number| Front {
            balancer: Balancer::new(Millis(now), domain(load, number), 10_000),
            roster: Roster::new(),
        };
        self.fronts = (0..load.balancers).map(front).collect();
        let side = |number| Side {
            agent: start_agent(load, Millis(now), number),
            roster: Roster::new(),
            server: Server::new(load, now + cold_ms, number),
            reports: 0,
            requests: 0,
            placed: Vec::new(),
            is_silent: has_returned && number >= load.servers - load.silent,
        };
        self.sides = (0..load.servers).map(side).collect();
        self.report(now, cold_ms);
        self.heartbeat(now);
    }

    /// Lets all backend servers report.
    fn report(&mut self, now: Tick, cold_ms: Tick) {
        let slots = match self.load.policy {
            Policy::Arrival => u32::MAX / 4,
            _ => self.load.slots,
        };
        for (number, side) in self.sides.iter_mut().enumerate() {
            side.reports += 1;
            let report = Report {
                id: format!("{number}-{}", self.incarnation).into(),
                service: SERVICE.into(),
                slots,
                is_draining: false,
                cold_ms,
                sequence: side.reports,
                started_ms: Some(u64::from(self.incarnation)),
                delay_ms: 0,
            };
            side.agent.report(Millis(now), report);
            side.agent.confirm_service(&self.routing);
        }
    }

    /// Sends heartbeats from all nodes to all nodes.
    fn heartbeat(&mut self, now: Tick) {
        let load = self.load;
        let balancers = u32::from(load.balancers.div_ceil(load.domains));
        let mut heartbeats = Vec::new();
        for (number, side) in self.sides.iter_mut().enumerate() {
            if side.is_silent {
                continue;
            }
            let status = side.agent.backend_status(Millis(now), &self.routing, balancers);
            let stated = side.agent.stated_load(Millis(now));
            let domain = domain(load, number as u8).to_string();
            let heartbeat = Heartbeat {
                incarnation: u64::from(self.incarnation),
                sequence: now as u32,
                domain: domain.into(),
                revision: 1.into(),
                wants_reply: false,
                is_agent: true,
                backend_status: status,
                sync_status: None,
                load: stated,
            };
            heartbeats.push((agent_address(number as u8), heartbeat));
        }
        let fronts = self.fronts.iter_mut().map(|front| &mut front.roster);
        let sides = self.sides.iter_mut().map(|side| &mut side.roster);
        for roster in fronts.chain(sides) {
            for (address, heartbeat) in &heartbeats {
                // Every heartbeat has a new sequence number.
                let _ = roster.record_heartbeat(Millis(now), *address, heartbeat);
            }
            roster.tick(Millis(now));
        }
    }

    /// Processes an event.
    fn handle(&mut self, now: Tick, event: Event) {
        match event {
            Event::Outage => self.is_out = true,
            Event::Return => {
                self.is_out = false;
                self.start(now, self.load.cold_ms);
            }
            Event::Heartbeat if !self.is_out => {
                let left_ms = (self.back() + self.load.cold_ms).saturating_sub(now);
                self.report(now, if now < self.back() { 0 } else { left_ms });
                self.heartbeat(now);
            }
            Event::Tick if !self.is_out => {
                for index in 0..self.sides.len() {
                    self.sides[index].agent.tick(Millis(now));
                    self.release(now, index);
                }
            }
            Event::Heartbeat | Event::Tick => {}
            Event::Request(request) => self.begin(now, request),
            Event::Open(attempt, copy) => self.open(now, attempt, copy),
            Event::GiveUp(attempt) => self.give_up(now, attempt),
            _ if self.is_out => {}
            Event::Arrive(side, attempt, envelope) => {
                self.arrive(now, side, attempt, &envelope);
            }
            Event::Accept(side, attempt) => self.accept(now, side, attempt),
            Event::Data(side, attempt) => self.data(now, side, attempt),
            Event::End(side, request, incarnation) => {
                if incarnation == self.incarnation {
                    self.end(now, side, request);
                }
            }
            Event::Answer(request) => {
                self.requests[request].answered.get_or_insert(now);
                self.next_on_session(now, request);
            }
            Event::Abandon(request) => self.abandon(now, request),
            Event::Refused(attempt) => self.refused(now, attempt),
            Event::Release(side) => self.release(now, side),
        }
    }

    /// One-way delay between two nodes, given their numbers.
    pub fn delay_ms(&self, a: u8, b: u8) -> Tick {
        let is_same = a % self.load.domains == b % self.load.domains;
        if is_same { 0 } else { DOMAIN_DELAY_MS }
    }

    /// Counts what callers saw.
    fn finish(mut self) -> Outcome {
        let rejected = self.sides.iter().map(|side| side.server.rejected).sum::<u32>();
        self.outcome.rejected += rejected;
        self.outcome.requests = self.sides.iter().map(|side| side.requests).collect();
        let back = self.back() as i64;
        for request in &self.requests {
            let Class { objective_ms, deadline_ms, .. } = CLASSES[request.class];
            let second = (request.made as i64 - back).div_euclid(1_000);
            let seconds = &mut self.outcome.seconds;
            let index = match seconds.binary_search_by_key(&second, |s| s.second) {
                Ok(index) => index,
                Err(index) => {
                    seconds.insert(index, Second { second, ..Second::default() });
                    index
                }
            };
            let took = request.answered.map(|answered| answered - request.made);
            let second = &mut seconds[index];
            let took = took.filter(|ms| *ms <= deadline_ms);
            let counts = match took {
                Some(ms) if ms <= objective_ms => &mut second.in_time,
                Some(_) => &mut second.late,
                None => &mut second.failed,
            };
            counts[request.class] += 1;
            second.answer_ms[request.class] += took.unwrap_or(0);
            self.outcome.run_twice += u32::from(request.runs > 1);
            self.outcome.refused_but_run += u32::from(request.refused & request.ran != 0);
        }
        self.outcome
    }
}

/// The routes: one address for each class.
fn routing(load: &Load) -> Routing {
    let routes = CLASSES.iter().enumerate().map(|(class, kind)| Route {
        address: service_address(class),
        split: vec![Share { service: SERVICE.into(), weight: 1 }],
        objective_ms: kind.objective_ms,
        deadline_ms: Some(kind.deadline_ms),
        priority: if load.has_priorities { kind.priority } else { 0 },
    });
    Routing {
        revision: 1.into(),
        version: 1,
        routes: routes.collect(),
        services: vec![Service {
            name: SERVICE.into(),
            connections: 2_000,
            cold_per_s: 0.0,
            cold_ms: 2_000,
        }],
        domains_out: Vec::new(),
        idle_ms: 15_000,
        history: History::default(),
    }
}

/// An agent that has just started and written its entry in the store, which named no backend
/// server.
fn start_agent(load: &Load, now: Millis, number: u8) -> Agent {
    let (address, domain) = (agent_address(number), domain(load, number));
    let mut agent = Agent::new(now, address, domain, limits(load));
    agent.record_written(now, &Routing::default(), Record::Empty, Record::Empty);
    agent
}

/// The limits of an agent.
fn limits(load: &Load) -> Limits {
    Limits {
        bounds: Bounds {
            cold_factor: 1.5,
            cold_slack: 5.0,
            limits_zero_rate: load.policy == Policy::ColdLimit,
            report_ms: HEARTBEAT_MS,
            address_reuse_ms: ADDRESS_REUSE_MS,
        },
        max_flow_age_ms: 60_000,
        flows: 10_000,
        placement: match load.policy {
            Policy::ExpectedWork => Placement::ExpectedWork,
            Policy::Auto => Placement::Auto,
            _ => Placement::OpenFlows,
        },
    }
}
