//! Nodes, callers and backend servers that play a [`Load`].

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddrV4};

use fastrand::Rng;
use lentilreach::Name;
use lentilreach::process::clock::Millis;
use lentilreach_steer::connection::flow;
use lentilreach_steer::process::agent::{
    Action, Agent, Arrival, BackendAction, Forwarding, Limits, Release,
};
use lentilreach_steer::process::backend::{Bounds, Report};
use lentilreach_steer::process::balancer::{self, Balancer};
use lentilreach_steer::process::roster::Roster;
use lentilreach_steer::request::message::{Heartbeat, Search};
use lentilreach_steer::request::segment::{Flags, Segment};
use lentilreach_steer::version::routing::{Route, Routing, Service, Share};

use super::server::{self, Outcome as Served, Server};
use super::{CLASSES, Class, FIRST_CLASS_PERCENT, Load, Outcome, Policy, Second, Tick};

/// The service.
const SERVICE: &str = "calendar";

/// Time of the first request, in milliseconds.
const START: Tick = 10_000;

/// Time for which requests are made before the outage.
const BEFORE_MS: Tick = 3_000;

/// Time for which requests are made after the outage.
const AFTER_MS: Tick = 6_000;

/// Time after which every request has ended.
const SETTLE_MS: Tick = 5_000;

/// One-way delay between callers and nodes.
const CALLER_DELAY_MS: Tick = 3;

/// One-way delay between nodes of different failure domains.
const DOMAIN_DELAY_MS: Tick = 4;

/// Times at which a caller sends copies of an opening segment after the first one.
const COPIES_MS: [Tick; 3] = [0, 200, 600];

/// Time after which a caller gives up an opening.
const OPENING_TIMEOUT_MS: Tick = 1_400;

/// Number of tries that a caller makes.
const TRIES: u8 = 3;

/// Interval between reports of a backend server and between heartbeats.
const HEARTBEAT_MS: Tick = 1_000;

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
enum Event {
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
    /// A caller sends a copy of an opening segment: request, try, copy.
    Open(usize, u8, u32),
    /// A caller gives up the opening of a try.
    GiveUp(usize, u8),
    /// A segment of a try arrives at an agent: agent, request, try, envelope.
    Arrive(usize, usize, u8, Envelope),
    /// A backend server accepts an opening: agent, request, try.
    Accept(usize, usize, u8),
    /// The request of a try arrives at an agent: agent, request, try.
    Data(usize, usize, u8),
    /// A request ends at a backend server: agent, request, incarnation.
    End(usize, usize, u32),
    /// An answer arrives at its caller.
    Answer(usize),
    /// A refusal or rejection arrives at a caller: request, try.
    Refused(usize, u8),
    /// An agent checks its waiting openings.
    Release(usize),
}

/// The forwarding state of an opening segment.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Envelope {
    /// Number of the copy.
    copy: u32,
    /// The balancer.
    origin: SocketAddrV4,
    /// Agents that rejected it.
    tried: Vec<SocketAddrV4>,
}

/// A request of a caller.
#[derive(Debug)]
struct Request {
    /// When it was made.
    made: Tick,
    /// Index in [`CLASSES`].
    class: usize,
    /// Its work in milliseconds.
    work_ms: f64,
    /// The current try.
    attempt: u8,
    /// Whether the current try has opened its flow.
    is_open: bool,
    /// When its answer arrived.
    answered: Option<Tick>,
    /// How often it was started by a backend server.
    runs: u32,
    /// Tries that were refused, as bits.
    refused: u8,
    /// Tries that ran, as bits.
    ran: u8,
}

/// A balancer with its view of the members.
struct Front {
    /// Its decisions.
    balancer: Balancer,
    /// Its view.
    roster: Roster,
}

/// An agent with its view of the members and its backend server.
struct Side {
    /// Its decisions.
    agent: Agent,
    /// Its view.
    roster: Roster,
    /// The backend server.
    server: Server,
    /// Number of reports of the backend server.
    reports: u64,
    /// Number of requests that reached the backend server.
    requests: u32,
    /// Whether it has no power.
    is_silent: bool,
}

/// All parts of a run.
struct Fleet<'a> {
    /// The load.
    load: &'a Load,
    /// Random choices.
    rng: Rng,
    /// Future events with their order of creation.
    events: BinaryHeap<Reverse<(Tick, u64, Event)>>,
    /// Number of events created.
    created: u64,
    /// The active routes.
    routing: Routing,
    /// Balancers.
    fronts: Vec<Front>,
    /// Agents.
    sides: Vec<Side>,
    /// Whether there is no power.
    is_out: bool,
    /// Number of starts of all nodes.
    incarnation: u32,
    /// Requests by number.
    requests: Vec<Request>,
    /// What was seen.
    outcome: Outcome,
}

impl<'a> Fleet<'a> {
    /// Creates a fleet with warm backend servers.
    fn new(load: &'a Load) -> Self {
        let mut fleet = Self {
            load,
            rng: Rng::with_seed(load.seed),
            events: BinaryHeap::new(),
            created: 0,
            routing: routing(),
            fronts: Vec::new(),
            sides: Vec::new(),
            is_out: false,
            incarnation: 0,
            requests: Vec::new(),
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
        let mut at = START as f64;
        while (at as Tick) < self.back() + AFTER_MS {
            let is_after = at as Tick >= self.back();
            let crowd = if is_after { self.load.crowd } else { 1.0 };
            let class = usize::from(self.rng.u32(..100) >= FIRST_CLASS_PERCENT);
            let work_ms = server::work_ms(&mut self.rng, self.load);
            let number = self.requests.len();
            self.requests.push(Request {
                made: at as Tick,
                class,
                work_ms,
                attempt: 0,
                is_open: false,
                answered: None,
                runs: 0,
                refused: 0,
                ran: 0,
            });
            self.at(at as Tick, Event::Request(number));
            at += 2.0 * self.rng.f64() * 1_000.0 / (self.load.per_s * crowd);
        }
    }

    /// Schedules an event.
    fn at(&mut self, at: Tick, event: Event) {
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
            agent: Agent::new(
                Millis(now),
                agent_address(number),
                domain(load, number),
                limits(load),
            ),
            roster: Roster::new(),
            server: Server::new(load, now + cold_ms, number < load.failing),
            reports: 0,
            requests: 0,
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
            Policy::Goal | Policy::ColdLimit => self.load.slots,
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
            };
            side.agent.report(Millis(now), report);
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
            let domain = domain(load, number as u8).to_string();
            let heartbeat = Heartbeat {
                incarnation: u64::from(self.incarnation),
                sequence: now as u32,
                domain: domain.into(),
                revision: 1,
                wants_reply: false,
                is_agent: true,
                backend_status: status,
                sync_status: None,
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
            Event::Request(request) => self.try_again(now, request),
            Event::Open(request, attempt, copy) => self.open(now, request, attempt, copy),
            Event::GiveUp(request, attempt) => {
                let state = &mut self.requests[request];
                if state.attempt == attempt && !state.is_open {
                    self.try_again(now, request);
                }
            }
            _ if self.is_out => {}
            Event::Arrive(side, request, attempt, envelope) => {
                self.arrive(now, side, request, attempt, &envelope);
            }
            Event::Accept(side, request, attempt) => {
                self.accept(now, side, request, attempt);
            }
            Event::Data(side, request, attempt) => self.data(now, side, request, attempt),
            Event::End(side, request, incarnation) => {
                if incarnation == self.incarnation {
                    self.end(now, side, request);
                }
            }
            Event::Answer(request) => {
                self.requests[request].answered.get_or_insert(now);
            }
            Event::Refused(request, attempt) => {
                if self.requests[request].attempt == attempt {
                    self.try_again(now, request);
                }
            }
            Event::Release(side) => self.release(now, side),
        }
    }

    /// Lets a caller begin its next try.
    fn try_again(&mut self, now: Tick, number: usize) {
        let request = &mut self.requests[number];
        let class = CLASSES[request.class];
        let is_over = now >= request.made + class.deadline_ms;
        if request.answered.is_some() || request.attempt >= TRIES || is_over {
            request.attempt = TRIES + 1;
            return;
        }
        request.attempt += 1;
        request.is_open = false;
        let attempt = request.attempt;
        for (copy, delay_ms) in COPIES_MS.into_iter().enumerate() {
            self.at(now + delay_ms, Event::Open(number, attempt, copy as u32));
        }
        self.at(now + OPENING_TIMEOUT_MS, Event::GiveUp(number, attempt));
    }

    /// Lets a caller send a copy of an opening segment to its balancer.
    fn open(&mut self, now: Tick, number: usize, attempt: u8, copy: u32) {
        let request = &self.requests[number];
        if self.is_out || request.attempt != attempt || request.is_open {
            return;
        }
        let key = key(request.class, number, attempt);
        let index = key.hash() as usize % self.fronts.len();
        let front = &mut self.fronts[index];
        let segment = opening(key, copy);
        let time = Millis(now + CALLER_DELAY_MS);
        let action =
            front.balancer.handle_segment(time, &self.routing, &front.roster, &segment);
        match action {
            balancer::Action::Send { to, is_newly_selected, .. } => {
                if is_newly_selected {
                    front.roster.record_placement(time, to);
                }
                let envelope = Envelope {
                    copy,
                    origin: balancer_address(index as u8),
                    tried: Vec::new(),
                };
                let delay_ms =
                    CALLER_DELAY_MS + self.delay_ms(index as u8, side_number(to));
                let event =
                    Event::Arrive(side_number(to).into(), number, attempt, envelope);
                self.at(now + delay_ms, event);
            }
            balancer::Action::Refuse { .. } => {
                self.at(now + 2 * CALLER_DELAY_MS, Event::Refused(number, attempt));
            }
            balancer::Action::Drop(_) => {}
        }
    }

    /// Lets an agent decide on an opening segment.
    fn arrive(
        &mut self,
        now: Tick,
        index: usize,
        number: usize,
        attempt: u8,
        envelope: &Envelope,
    ) {
        if self.sides[index].is_silent {
            return;
        }
        let key = key(self.requests[number].class, number, attempt);
        let arrival = arrival(opening(key, envelope.copy), envelope);
        let side = &mut self.sides[index];
        let action = side.agent.handle_caller_segment(
            Millis(now),
            &self.routing,
            &side.roster,
            &arrival,
        );
        if matches!(action, Action::Hold { .. }) {
            side.agent.hold(Millis(now), &self.routing, arrival, Vec::new());
            self.found(now, index, key, envelope.origin);
            return self.release(now, index);
        }
        self.perform(now, index, number, attempt, envelope, action);
    }

    /// Performs an agent's action for an opening segment.
    fn perform(
        &mut self,
        now: Tick,
        index: usize,
        number: usize,
        attempt: u8,
        envelope: &Envelope,
        action: Action,
    ) {
        let copied_ms = COPIES_MS[envelope.copy as usize];
        match action {
            Action::Deliver { notify, is_new, .. } => {
                if is_new {
                    let waited_ms = copied_ms;
                    self.outcome.longest_wait_ms =
                        self.outcome.longest_wait_ms.max(waited_ms);
                }
                if let Some(origin) = notify {
                    let key = key(self.requests[number].class, number, attempt);
                    self.found(now, index, key, origin);
                }
                self.at(now, Event::Accept(index, number, attempt));
            }
            Action::Forward { to, forwarding, .. } => {
                self.outcome.forwards += 1;
                self.sides[index].roster.record_offer(Millis(now), to);
                let delay_ms = self.delay_ms(index as u8, side_number(to));
                let envelope = Envelope { tried: forwarding.tried, ..envelope.clone() };
                let event =
                    Event::Arrive(side_number(to).into(), number, attempt, envelope);
                self.at(now + delay_ms, event);
            }
            Action::Refuse { .. } => {
                self.requests[number].refused |= 1 << attempt;
                self.at(now + CALLER_DELAY_MS, Event::Refused(number, attempt));
            }
            Action::Hold { .. } | Action::Drop(_) => {}
        }
    }

    /// Informs a balancer that an agent holds a flow.
    fn found(&mut self, now: Tick, index: usize, key: flow::Key, origin: SocketAddrV4) {
        let front = usize::from(origin.ip().octets()[3]);
        let agent = agent_address(index as u8);
        self.fronts[front].balancer.flow_found(Millis(now), key, agent);
    }

    /// Lets a backend server accept an opening, and its caller answer with the request.
    fn accept(&mut self, now: Tick, index: usize, number: usize, attempt: u8) {
        let key = key(self.requests[number].class, number, attempt);
        let flags = Flags { open: true, acknowledge: true, ..Flags::default() };
        let first = (key.hash() as u32).wrapping_add(index as u32);
        self.server_segment(now, index, from_backend(key, flags, first, 0));
        let request = &mut self.requests[number];
        if request.attempt == attempt && !request.is_open {
            request.is_open = true;
            let round_trip_ms = 2 * CALLER_DELAY_MS;
            self.at(now + round_trip_ms, Event::Data(index, number, attempt));
        }
    }

    /// Delivers a request to a backend server.
    fn data(&mut self, now: Tick, index: usize, number: usize, attempt: u8) {
        let key = key(self.requests[number].class, number, attempt);
        let first = (key.hash() as u32).wrapping_add(index as u32);
        let flags = Flags { acknowledge: true, ..Flags::default() };
        let segment =
            Segment { length: 100, ..from_caller(key, flags, first.wrapping_add(1)) };
        let envelope =
            Envelope { copy: 0, origin: balancer_address(0), tried: Vec::new() };
        let mut arrival = arrival(segment, &envelope);
        arrival.forwarding.search = Search::Known;
        let side = &mut self.sides[index];
        let action = side.agent.handle_caller_segment(
            Millis(now),
            &self.routing,
            &side.roster,
            &arrival,
        );
        if !matches!(action, Action::Deliver { .. }) {
            return;
        }
        let request = &mut self.requests[number];
        side.requests += 1;
        match side.server.request(now, number, request.work_ms) {
            Served::Runs(end) => {
                request.runs += 1;
                request.ran |= 1 << attempt;
                self.at(end, Event::End(index, number, self.incarnation));
            }
            Served::Queued => {
                request.runs += 1;
                request.ran |= 1 << attempt;
            }
            Served::Rejected => {
                self.answer(now, index, number, attempt);
                self.at(now + CALLER_DELAY_MS, Event::Refused(number, attempt));
            }
        }
    }

    /// Ends a request at a backend server and answers it.
    fn end(&mut self, now: Tick, index: usize, number: usize) {
        if let Some((next, end)) = self.sides[index].server.end(now) {
            self.at(end, Event::End(index, next, self.incarnation));
        }
        let is_mute = index < usize::from(self.load.mute) && self.rng.bool();
        if is_mute {
            return;
        }
        let attempt = self.requests[number].attempt;
        self.answer(now, index, number, attempt);
        self.at(now + CALLER_DELAY_MS, Event::Answer(number));
    }

    /// Lets a backend server answer a request and close its flow.
    fn answer(&mut self, now: Tick, index: usize, number: usize, attempt: u8) {
        let key = key(self.requests[number].class, number, attempt);
        let flags = Flags { acknowledge: true, close: true, ..Flags::default() };
        let first = (key.hash() as u32).wrapping_add(index as u32);
        self.server_segment(
            now,
            index,
            from_backend(key, flags, first.wrapping_add(1), 600),
        );
    }

    /// Lets an agent process a segment of its backend server.
    fn server_segment(&mut self, now: Tick, index: usize, segment: Segment) {
        let side = &mut self.sides[index];
        let action = side.agent.handle_backend_segment(
            Millis(now),
            &self.routing,
            &side.roster,
            &segment,
        );
        if matches!(action, Some(BackendAction::Send { answer_ms: Some(_), .. })) {
            self.release(now, index);
        }
    }

    /// Performs the actions for openings that no longer wait.
    fn release(&mut self, now: Tick, index: usize) {
        loop {
            let side = &mut self.sides[index];
            let release = side.agent.release(Millis(now), &self.routing, &side.roster);
            let Some(Release { waiting, action }) = release else { break };
            let (number, attempt) = number(&waiting.arrival.segment);
            let envelope = Envelope {
                copy: waiting.arrival.segment.acknowledged,
                origin: waiting.arrival.forwarding.origin,
                tried: waiting.arrival.forwarding.tried.clone(),
            };
            if matches!(action, Action::Deliver { .. }) {
                let copied_ms = COPIES_MS[envelope.copy as usize];
                let waited_ms = copied_ms + now - waiting.since.0;
                self.outcome.longest_wait_ms =
                    self.outcome.longest_wait_ms.max(waited_ms);
            }
            self.perform(now, index, number, attempt, &envelope, action);
        }
        if let Some(due) =
            self.sides[index].agent.next_release(Millis(now), &self.routing)
        {
            let due = due.0.clamp(now + 1, now + 50);
            let is_first = !self.events.iter().any(|Reverse((at, _, event))| {
                *event == Event::Release(index) && *at <= due
            });
            if is_first {
                self.at(due, Event::Release(index));
            }
        }
    }

    /// One-way delay between two nodes, given their numbers.
    fn delay_ms(&self, a: u8, b: u8) -> Tick {
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
            let Class { goal_ms, deadline_ms, .. } = CLASSES[request.class];
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
            let counts = match took {
                Some(ms) if ms <= goal_ms => &mut seconds[index].in_time,
                Some(ms) if ms <= deadline_ms => &mut seconds[index].late,
                _ => &mut seconds[index].failed,
            };
            counts[request.class] += 1;
            self.outcome.run_twice += u32::from(request.runs > 1);
            self.outcome.refused_but_run += u32::from(request.refused & request.ran != 0);
        }
        self.outcome
    }
}

/// The routes: one address for each class.
fn routing() -> Routing {
    let routes = CLASSES.iter().enumerate().map(|(class, kind)| Route {
        address: service_address(class),
        split: vec![Share { service: SERVICE.into(), weight: 1 }],
        goal_ms: kind.goal_ms,
        priority: kind.priority,
    });
    Routing {
        revision: 1,
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
    }
}

/// The limits of an agent.
fn limits(load: &Load) -> Limits {
    Limits {
        bounds: Bounds {
            cold_factor: 1.5,
            cold_slack: 5.0,
            limits_zero_rate: load.policy == Policy::ColdLimit,
            report_ms: HEARTBEAT_MS,
        },
        max_flow_age_ms: 60_000,
        flows: 10_000,
    }
}

/// The failure domain of a node.
fn domain(load: &Load, number: u8) -> Name {
    format!("domain-{}", number % load.domains).into()
}

/// The address of an agent.
fn agent_address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number), 7_700)
}

/// The address of a balancer.
fn balancer_address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, number), 7_700)
}

/// The number of the agent with an address.
fn side_number(address: SocketAddrV4) -> u8 {
    address.ip().octets()[3]
}

/// The address that callers use for a class.
fn service_address(class: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, class as u8), 443)
}

/// The flow of a try. The caller's address holds the number of its request, and its port
/// that of the try.
fn key(class: usize, number: usize, attempt: u8) -> flow::Key {
    let ip = Ipv4Addr::from(0x6440_0000 | number as u32);
    let caller = SocketAddrV4::new(ip, 40_000 + u16::from(attempt));
    flow::Key { caller, service: service_address(class) }
}

/// The number of the request and of the try that an opening belongs to.
fn number(segment: &Segment) -> (usize, u8) {
    let caller = segment.source;
    let number = u32::from(*caller.ip()) & 0x003f_ffff;
    (number as usize, (caller.port() - 40_000) as u8)
}

/// A segment from a caller.
fn from_caller(key: flow::Key, flags: Flags, acknowledged: u32) -> Segment {
    Segment {
        source: key.caller,
        destination: key.service,
        flags,
        sequence: 1,
        acknowledged,
        length: 0,
        mark: 0,
        age_ms: 0,
    }
}

/// A copy of an opening segment.
fn opening(key: flow::Key, copy: u32) -> Segment {
    let flags = Flags { open: true, ..Flags::default() };
    Segment { age_ms: COPIES_MS[copy as usize], ..from_caller(key, flags, copy) }
}

/// A segment from a backend server.
fn from_backend(key: flow::Key, flags: Flags, sequence: u32, length: u16) -> Segment {
    Segment {
        source: key.service,
        destination: key.caller,
        length,
        sequence,
        ..from_caller(key, flags, 2)
    }
}

/// A segment with its forwarding state.
fn arrival(segment: Segment, envelope: &Envelope) -> Arrival {
    let forwarding = Forwarding {
        revision: 1,
        search: Search::Open,
        hops: envelope.tried.len() as u8,
        delay_ms: 0,
        origin: envelope.origin,
        tried: envelope.tried.clone(),
        to_visit: Vec::new(),
        known_agents: 0,
        is_index_complete: false,
        is_exhaustive: false,
    };
    Arrival { segment, forwarding, service: Some(SERVICE.into()) }
}
