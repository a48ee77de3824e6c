//! Simulation of a small fleet in one process. It combines the real decision logic with fake
//! callers, agents, backend servers and a fake network, driven by events in simulated time.

pub mod agent;
pub mod balancer;
pub mod caller;
pub mod counts;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use fastrand::Rng;
use lentilreach::connection::{flow, token};
use lentilreach::id::{domain, node, service};
use lentilreach::process::clock::Millis;
use lentilreach::process::ledger;
use lentilreach::request::admit::RequestId;
use lentilreach::request::envelope::Forward;
use lentilreach::version::view::Member;

use agent::Agent;
use balancer::Balancer;
use caller::Caller;
use counts::Counts;

/// Number of agents of each service.
const AGENTS: [usize; 2] = [4, 3];

/// Number of failure domains; agents are assigned to them round-robin.
pub const DOMAINS: usize = 3;

/// Number of balancers.
const BALANCERS: usize = 3;

/// Number of callers of each service.
const CALLERS: usize = 5;

/// Interval of the agents' announcements and of configuration updates, in milliseconds.
const ANNOUNCE_MS: u64 = 500;

/// Interval at which limiters and callers are polled, in milliseconds.
const TICK_MS: u64 = 10;

/// A participant of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Participant {
    Balancer(usize),
    Agent(usize),
    Caller(usize),
}

/// A message between participants.
#[derive(Debug, Clone)]
pub enum Message {
    /// A caller's datagram: caller, service address, bytes, and decrypted content.
    Datagram(SocketAddr, SocketAddr, Vec<u8>, Body),
    /// The same datagram on its way to an agent.
    Forward(Forward, Vec<u8>, Body),
    /// Notifies the home agent of a flow that an agent has admitted it.
    Admitted(flow::Key, SocketAddrV4),
    /// An agent's reply to the caller of a flow.
    Return(SocketAddr, Reply),
    /// Asks the owner to revoke a key; contains the requesting agent and its pending stream.
    Revoke(ledger::Key, usize, (SocketAddr, u64)),
    /// The owner's reply.
    Revoked(ledger::Revocation, (SocketAddr, u64)),
    /// An agent's announcement with its sequence number.
    Member(u64, usize, Member),
    /// A revision of the configuration.
    Config(Config),
}

/// The content of a caller's datagram.
#[derive(Debug, Clone, Copy)]
pub enum Body {
    Open,
    Finish,
    Request(Request),
}

/// A request on a stream.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Unique across all flows.
    pub stream: u64,
    /// The attempt that the request belongs to.
    pub attempt: Attempt,
    /// The service that the caller intends to reach.
    pub service: usize,
    /// Set if the request is not idempotent.
    pub key: Option<ledger::Key>,
}

/// One attempt at one operation of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    pub operation: u64,
    pub number: u64,
}

/// The content of an agent's reply to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The flow is open; contains its token, the agent and a binding.
    Accept([u8; token::LENGTH], usize, (node::Id, Millis)),
    /// The flow is refused.
    Refuse,
    /// The agent does not know the flow.
    Reset,
    /// The response on a stream, with the operation that it belongs to.
    Response(u64, u64),
    /// The request on the stream did not run; contains whether to open a flow to another
    /// agent.
    NotRun(u64, bool),
    /// It is unknown whether the request on the stream ran.
    Unknown(u64),
}

/// A revision of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Config {
    pub revision: u64,
    pub out: [bool; DOMAINS],
}

/// Temporary network and reporting faults.
#[derive(Debug, Clone, Copy, Default)]
pub struct Disturbance {
    pub lost: bool,
    pub duplicated: bool,
    pub delayed: bool,
    pub reordered: bool,
    /// This balancer receives no membership or configuration updates.
    pub stale_balancer: Option<usize>,
    /// This agent announces that it is idle.
    pub misreporting_agent: Option<usize>,
}

/// A scheduled event.
enum Event {
    Deliver(Participant, Box<Message>),
    /// A backend server has completed a request: agent, backend generation, request.
    Completed(usize, u64, RequestId),
}

/// The simulated fleet.
pub struct Simulation {
    pub now: Millis,
    pub rng: Rng,
    pub keys: token::Keys,
    pub config: Config,
    /// When each failure domain was last taken out.
    pub out_since: [Millis; DOMAINS],
    pub balancers: Vec<Balancer>,
    pub agents: Vec<Agent>,
    pub callers: Vec<Caller>,
    pub disturbance: Disturbance,
    pub counts: Counts,
    /// Paused participants and the end of their pause.
    paused: Vec<(Participant, Millis)>,
    events: BTreeMap<(Millis, u64), Event>,
    last_id: u64,
}

impl Simulation {
    /// Creates a fleet whose processes all start now.
    pub fn new(seed: u64) -> Self {
        let mut simulation = Self {
            now: Millis(0),
            rng: Rng::with_seed(seed),
            keys: token::Keys::new(vec![token::Key::new(1, &[1; 32])], 1),
            config: Config { revision: 1, ..Config::default() },
            out_since: [Millis(u64::MAX); DOMAINS],
            balancers: (0..BALANCERS).map(|_| Balancer::default()).collect(),
            agents: Vec::new(),
            callers: Vec::new(),
            disturbance: Disturbance::default(),
            counts: Counts::default(),
            paused: Vec::new(),
            events: BTreeMap::new(),
            last_id: 0,
        };
        for (service, count) in AGENTS.into_iter().enumerate() {
            (0..count).for_each(|_| simulation.join(service));
            (0..CALLERS).for_each(|_| simulation.callers.push(Caller::new(service)));
        }
        simulation
    }

    /// Starts another agent of a service.
    pub fn join(&mut self, service: usize) {
        self.agents.push(Agent::new(self.agents.len(), service, self.now));
    }

    /// Runs the simulation until the given time.
    pub fn run(&mut self, until: Millis) {
        while self.now < until {
            self.now = self.now.after(1);
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.handle(event);
            }
            if self.now.0.is_multiple_of(ANNOUNCE_MS) {
                self.announce();
            }
            if self.now.0.is_multiple_of(TICK_MS) {
                (0..self.agents.len()).for_each(|agent| self.tick_agent(agent));
                (0..self.callers.len()).for_each(|caller| self.tick_caller(caller));
            }
        }
    }

    /// Pauses a participant; messages to it are delayed.
    pub fn pause(&mut self, participant: Participant, ms: u64) {
        self.paused.push((participant, self.now.after(ms)));
    }

    /// Returns the end of a participant's pause, if it is paused.
    pub fn paused(&self, participant: Participant) -> Option<Millis> {
        let pauses = self
            .paused
            .iter()
            .filter(|(other, at)| *other == participant && *at > self.now);
        pauses.map(|(_, at)| *at).max()
    }

    /// Takes a failure domain out or back in and publishes the new revision.
    pub fn set_out(&mut self, domain: usize, out: bool) {
        self.config.revision += 1;
        self.config.out[domain] = out;
        self.out_since[domain] = if out { self.now } else { Millis(u64::MAX) };
        self.publish();
    }

    /// Sends a message over the fake network.
    pub fn send(&mut self, to: Participant, message: Message) {
        let control = matches!(message, Message::Member(..) | Message::Config(_));
        if control
            && matches!(to, Participant::Balancer(at) if self.disturbance.stale_balancer == Some(at))
        {
            return;
        }
        if self.disturbance.lost && self.rng.u8(..5) == 0 {
            return;
        }
        let copies = 1 + u8::from(self.disturbance.duplicated && self.rng.bool());
        for _ in 0..copies {
            let mut delay = self.rng.u64(1..3);
            if self.disturbance.reordered {
                delay += self.rng.u64(..20);
            }
            if self.disturbance.delayed && self.rng.u8(..4) == 0 {
                delay += self.rng.u64(100..700);
            }
            self.schedule(
                self.now.after(delay),
                Event::Deliver(to, Box::new(message.clone())),
            );
        }
    }

    /// Sends a message through a random balancer. It may be dead, since the fabric may not
    /// know yet.
    pub fn send_via_balancer(&mut self, message: Message) {
        let balancer = self.rng.usize(..self.balancers.len());
        self.send(Participant::Balancer(balancer), message);
    }

    /// Schedules the completion of a request on a backend server.
    pub fn schedule_completion(
        &mut self,
        agent: usize,
        generation: u64,
        request_id: RequestId,
        ms: u64,
    ) {
        self.schedule(
            self.now.after(ms),
            Event::Completed(agent, generation, request_id),
        );
    }

    /// Returns a number that was not returned before.
    pub fn unique_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        let event_id = self.unique_id();
        self.events.insert((at, event_id), event);
    }

    fn handle(&mut self, event: Event) {
        let participant = match &event {
            Event::Deliver(participant, _) => *participant,
            Event::Completed(agent, ..) => Participant::Agent(*agent),
        };
        if let Some(until) = self.paused(participant) {
            return self.schedule(until, event);
        }
        match event {
            Event::Completed(agent, generation, request_id) => {
                self.complete_request(agent, generation, request_id)
            }
            Event::Deliver(Participant::Balancer(at), message) => {
                self.deliver_to_balancer(at, *message)
            }
            Event::Deliver(Participant::Agent(at), message) => {
                self.deliver_to_agent(at, *message)
            }
            Event::Deliver(Participant::Caller(at), message) => {
                self.deliver_to_caller(at, *message)
            }
        }
    }

    /// Sends the announcements of all agents and repeats the configuration.
    fn announce(&mut self) {
        for at in 0..self.agents.len() {
            if !self.agents[at].alive || self.paused(Participant::Agent(at)).is_some() {
                continue;
            }
            let misreports = self.disturbance.misreporting_agent == Some(at);
            let (count, member) = self.agents[at].announcement(self.now, misreports);
            for balancer in 0..self.balancers.len() {
                self.send(
                    Participant::Balancer(balancer),
                    Message::Member(count, at, member),
                );
            }
        }
        self.publish();
    }

    /// Sends the configuration to all balancers and agents.
    fn publish(&mut self) {
        let config = self.config;
        let balancers = (0..self.balancers.len()).map(Participant::Balancer);
        let all: Vec<_> =
            balancers.chain((0..self.agents.len()).map(Participant::Agent)).collect();
        for participant in all {
            self.send(participant, Message::Config(config));
        }
    }
}

/// The address of a service.
pub fn address(service: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, 0, service as u8], 4433))
}

/// The identifier of a service.
pub fn id(service: usize) -> service::Id {
    service::Id(service as u32 + 1)
}

/// The failure domain of an agent.
pub fn domain_of(agent: usize) -> domain::Id {
    domain::Id((agent % DOMAINS) as u8)
}

/// The address of an agent.
pub fn agent_address(agent: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 2, 0, agent as u8), 7_000)
}

/// The agent with the given address.
pub fn agent_at(address: SocketAddrV4) -> Participant {
    Participant::Agent(usize::from(address.ip().octets()[3]))
}
