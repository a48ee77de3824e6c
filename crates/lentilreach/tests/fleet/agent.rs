//! A fake agent with its backend server around the real admission, gate and ledger.

use std::net::SocketAddr;

use bytes::Bytes;
use lentilreach::connection::directory::Directory;
use lentilreach::connection::guide::{Guide, Step};
use lentilreach::connection::open::{self, Outcome, Table};
use lentilreach::connection::{flow, token::Token};
use lentilreach::id::node;
use lentilreach::process::clock::Millis;
use lentilreach::process::ledger::{self, Answer, Entry, Ledger, Sealing};
use lentilreach::request::admit::{Action, Arrival, End, Gate, Limits, Ticket, Why};
use lentilreach::request::envelope::Forward;
use lentilreach::version::view::{Load, Member, Stage};

use super::balancer::adopt;
use super::{
    Body, Config, Message, Place, Reply, Request, World, agent_address, agent_at,
    domain_of, id,
};

/// Limits of every backend server.
const LIMITS: Limits = Limits { slots: 4, cold_slots: 1, cold_ms: 1_000, queue: 16 };

/// Limits of flows.
pub const FLOWS: open::Limits =
    open::Limits { flows: 40, cold_flows: 20, half_open_ms: 2_000 };

/// Time of a request on a warm and on a cold backend server, in milliseconds.
const WORK_MS: (u64, u64) = (20, 200);

/// Time in which a request must get a slot, in milliseconds.
const DEADLINE_MS: u64 = 1_000;

/// Time after which an asking agent gives up on the owner of a key, in milliseconds.
const SEAL_MS: u64 = 600;

/// Time after which a draining backend server may get no new work, and a failure domain that
/// is out no packet, in milliseconds.
const GRACE_MS: u64 = 3_000;

/// An agent and its backend server.
pub struct Agent {
    pub index: usize,
    pub service: usize,
    pub alive: bool,
    /// Whether it ever died or was taken out, so that its flows may end.
    pub excused: bool,
    pub draining: Option<Millis>,
    pub config: Config,
    pub table: Table,
    directory: Directory,
    pub gate: Gate,
    node: node::Id,
    ledger: Ledger,
    /// Established and half-open flows, sorted by caller.
    flows: Vec<(SocketAddr, Vec<Stream>)>,
    /// Requests at the gate.
    jobs: Vec<(Ticket, SocketAddr, Request)>,
    /// Requests on the backend server and when they began.
    busy: Vec<(Ticket, Millis)>,
    cold_until: Millis,
    /// Whether the backend server turns cold in the moment in which it becomes idle.
    turning: bool,
    /// Changes when the backend server is restarted.
    life: u64,
    announced: u64,
}

/// A request stream of a flow.
struct Stream {
    id: u64,
    request: Request,
    reply: Option<Reply>,
    /// Since when an owner is asked.
    asked: Option<Millis>,
}

impl Agent {
    /// An agent that has just started, with a cold backend server.
    pub fn new(index: usize, service: usize, now: Millis) -> Self {
        let node = node::Id(100 + index as u64);
        Self {
            index,
            service,
            alive: true,
            excused: false,
            draining: None,
            config: Config::default(),
            table: Table::new(FLOWS),
            directory: Directory::default(),
            gate: Gate::new(LIMITS, now),
            node,
            ledger: Ledger::new(node, 1_000, 60_000),
            flows: Vec::new(),
            jobs: Vec::new(),
            busy: Vec::new(),
            cold_until: now.after(LIMITS.cold_ms),
            turning: false,
            life: 0,
            announced: 0,
        }
    }

    /// What it says of itself.
    pub fn announcement(&mut self, now: Millis, lies: bool) -> (u64, Member) {
        self.announced += 1;
        let stage = match self.draining {
            Some(_) => Stage::Leaving,
            None if self.gate.is_cold(now) => Stage::Cold,
            None => Stage::Active,
        };
        let open = if lies { 0 } else { self.table.open() };
        let load = Load { open, limit: self.table.limit(), at: now, ..Load::default() };
        let agent = agent_address(self.index);
        let domain = domain_of(self.index);
        (self.announced, Member { node: self.node, agent, domain, stage, load })
    }

    /// Drains: no new flows, no new requests.
    pub fn drain(&mut self, now: Millis) {
        self.draining = Some(now);
        self.table.set_leaving(true);
        self.gate.set_draining(true);
    }

    /// A flow's stream.
    fn stream(&mut self, caller: SocketAddr, id: u64) -> Option<&mut Stream> {
        let at = self.flows.binary_search_by_key(&caller, |(caller, _)| *caller).ok()?;
        self.flows[at].1.iter_mut().find(|stream| stream.id == id)
    }
}

impl World {
    pub(super) fn at_agent(&mut self, at: usize, message: Message) {
        if !self.agents[at].alive {
            return;
        }
        let domain = usize::from(domain_of(at).0);
        let packet = matches!(message, Message::Forward(..) | Message::Seal(..));
        if packet && self.now.since(self.out_since[domain]) > GRACE_MS {
            self.tally.out_packets += 1;
        }
        match message {
            Message::Forward(forward, datagram, body) => {
                self.receive(at, forward, datagram, body);
            }
            Message::Taken(flow, by) => {
                self.agents[at].directory.settle(self.now, flow, by);
            }
            Message::Seal(key, from, stream) => {
                let sealing = self.agents[at].ledger.seal(self.now, &key);
                self.send(Place::Agent(from), Message::Sealed(sealing, stream));
            }
            Message::Sealed(sealing, (caller, stream)) => {
                self.sealed(at, sealing, caller, stream)
            }
            Message::Config(config) => self.configure(at, config),
            _ => {}
        }
    }

    /// Drives the gate and the waits of an agent.
    pub(super) fn tick_agent(&mut self, at: usize) {
        if !self.agents[at].alive || self.paused(Place::Agent(at)).is_some() {
            return;
        }
        let now = self.now;
        let agent = &mut self.agents[at];
        agent.table.set_cold(agent.gate.is_cold(now));
        agent.table.expire(now);
        let actions = agent.gate.tick(now);
        let asked = agent.flows.iter().flat_map(|(caller, streams)| {
            let late = streams.iter().filter(|s| {
                s.reply.is_none()
                    && s.asked.is_some_and(|asked| now.since(asked) > SEAL_MS)
            });
            late.map(|stream| (*caller, stream.id))
        });
        let given_up: Vec<_> = asked.collect();
        self.apply(at, actions);
        for (caller, stream) in given_up {
            self.reply(at, caller, stream, Reply::Unknown(stream));
        }
    }

    /// A backend server has finished a request.
    pub(super) fn worked(&mut self, at: usize, life: u64, ticket: Ticket) {
        let now = self.now;
        let agent = &mut self.agents[at];
        let Some(place) = agent.busy.iter().position(|(other, _)| *other == ticket)
        else {
            return;
        };
        if !agent.alive || life != agent.life {
            return;
        }
        let (_, began) = agent.busy.remove(place);
        let took_ms = now.since(began);
        let actions = agent.gate.finish(now, ticket, End::Answered { took_ms });
        self.end(at, ticket, |request| {
            let body = Bytes::copy_from_slice(&request.work.operation.to_be_bytes());
            let answer = Answer { status: 200, headers: Vec::new(), body };
            (
                ledger::Outcome::Answered(answer),
                Reply::Answer(request.stream, request.work.operation),
            )
        });
        self.apply(at, actions);
        let agent = &mut self.agents[at];
        if agent.turning && agent.busy.is_empty() {
            // The worst moment: the evidence of warmth is as fresh as it can be.
            agent.turning = false;
            agent.cold_until = now.after(LIMITS.cold_ms);
        }
    }

    /// Lets the backend server turn cold unnoticed, once it has become idle.
    pub fn turn_cold(&mut self, at: usize) {
        self.agents[at].turning = true;
    }

    /// Restarts the backend server: connections close and it is cold.
    pub fn restart(&mut self, at: usize) {
        let now = self.now;
        let agent = &mut self.agents[at];
        agent.cold_until = now.after(LIMITS.cold_ms);
        agent.life += 1;
        let failed = std::mem::take(&mut agent.busy);
        let mut actions = Vec::new();
        for (ticket, _) in &failed {
            actions.extend(self.agents[at].gate.finish(now, *ticket, End::Failed));
            self.end(at, *ticket, unknown);
        }
        actions.extend(self.agents[at].gate.closed(now));
        self.apply(at, actions);
    }

    /// Ends an agent in a planned stop. Nothing may run by then.
    pub fn stop(&mut self, at: usize) {
        let agent = &mut self.agents[at];
        if std::mem::take(&mut agent.alive) {
            self.tally.interrupted += agent.jobs.len() as u32;
        }
    }

    /// Takes a caller's datagram in.
    fn receive(&mut self, at: usize, forward: Forward, datagram: Vec<u8>, body: Body) {
        let caller = forward.caller;
        if forward.service != id(self.agents[at].service) {
            self.tally.wrong_service += 1;
            return;
        }
        let config = self.agents[at].config;
        if config.out[usize::from(domain_of(at).0)] {
            return;
        }
        if matches!(body, Body::Open) {
            return self.open(at, forward, datagram);
        }
        let agent = &mut self.agents[at];
        let Ok(place) = agent.flows.binary_search_by_key(&caller, |(caller, _)| *caller)
        else {
            return self.answer(caller, Reply::Reset);
        };
        if !agent.table.complete(self.now, flow_key(caller)) {
            agent.flows.remove(place);
            return self.answer(caller, Reply::Reset);
        }
        if let Body::Request(request) = body {
            self.request(at, caller, request);
        }
    }

    /// Decides on an opening packet.
    fn open(&mut self, at: usize, forward: Forward, datagram: Vec<u8>) {
        let caller = forward.caller;
        let service = forward.service;
        let agent = &mut self.agents[at];
        let mut guide = Guide {
            me: agent_address(at),
            serves: true,
            flows: &mut agent.table,
            directory: &mut agent.directory,
        };
        let (outcome, tell) = match guide.step(self.now, flow_key(caller), forward) {
            Step::Deliver { outcome, tell } => (outcome, tell),
            Step::Send { to, forward, .. } => {
                let message = Message::Forward(forward, datagram, Body::Open);
                return self.send(agent_at(to), message);
            }
            Step::Drop => return,
        };
        let agent = &mut self.agents[at];
        match outcome {
            Outcome::Refuse(_) => self.answer(caller, Reply::Refuse),
            Outcome::HandOn | Outcome::HandBack => unreachable!("sent on by the guide"),
            Outcome::Admit | Outcome::Known => {
                if let Err(place) = agent.flows.binary_search_by_key(&caller, |(c, _)| *c)
                {
                    agent.flows.insert(place, (caller, Vec::new()));
                }
                let token = Token {
                    service,
                    domain: domain_of(at),
                    agent: agent_address(at),
                    incarnation: agent.node.incarnation(),
                    nonce: 1,
                };
                let binding = (agent.node, agent.ledger.expiry(self.now));
                let token = self.keys.encode(&token).expect("there is a key");
                self.answer(caller, Reply::Accept(token, at, binding));
                if let Some(home) = tell {
                    let taken = Message::Taken(flow_key(caller), agent_address(at));
                    self.send(agent_at(home), taken);
                }
            }
        }
    }

    /// Takes a request in, once for each stream.
    fn request(&mut self, at: usize, caller: SocketAddr, request: Request) {
        let agent = &mut self.agents[at];
        if let Some(stream) = agent.stream(caller, request.stream) {
            if let Some(reply) = stream.reply {
                self.answer(caller, reply);
            }
            return;
        }
        let Ok(place) = agent.flows.binary_search_by_key(&caller, |(c, _)| *c) else {
            return;
        };
        let stream = Stream { id: request.stream, request, reply: None, asked: None };
        agent.flows[place].1.push(stream);
        let Some(key) = request.key else { return self.admit(at, caller, request) };
        if key.owner != agent.node {
            return self.ask(at, caller, request.stream, key);
        }
        let id = request.stream;
        match agent.ledger.begin(self.now, &key) {
            Entry::Run => self.admit(at, caller, request),
            // The caller asks again on another stream.
            Entry::Running | Entry::Expired => {
                self.reply(at, caller, id, Reply::Unknown(id))
            }
            Entry::Done(answer) => self.reply(at, caller, id, recorded(id, &answer)),
            Entry::Sealed | Entry::Full => {
                self.reply(at, caller, id, Reply::NotRun(id, false))
            }
        }
    }

    /// Asks the owner of a key, unless its failure domain is out.
    fn ask(&mut self, at: usize, caller: SocketAddr, stream: u64, key: ledger::Key) {
        let owner = ((key.owner.0 - 100) % 1_000) as usize;
        let now = self.now;
        let agent = &mut self.agents[at];
        if agent.config.out[usize::from(domain_of(owner).0)] {
            return self.reply(at, caller, stream, Reply::Unknown(stream));
        }
        if let Some(stream) = agent.stream(caller, stream) {
            stream.asked = Some(now);
        }
        for _ in 0..2 {
            self.send(Place::Agent(owner), Message::Seal(key, at, (caller, stream)));
        }
    }

    /// Passes the owner's word on.
    fn sealed(&mut self, at: usize, sealing: Sealing, caller: SocketAddr, stream: u64) {
        let reply = match sealing {
            Sealing::Sealed => Reply::NotRun(stream, false),
            Sealing::Done(answer) => recorded(stream, &answer),
            Sealing::Running | Sealing::Unknown | Sealing::Expired => {
                Reply::Unknown(stream)
            }
        };
        if self.agents[at]
            .stream(caller, stream)
            .is_some_and(|stream| stream.reply.is_none())
        {
            self.reply(at, caller, stream, reply);
        }
    }

    /// Brings a request to the gate.
    fn admit(&mut self, at: usize, caller: SocketAddr, request: Request) {
        let ticket = Ticket(request.stream);
        let deadline = self.now.after(DEADLINE_MS);
        let agent = &mut self.agents[at];
        agent.jobs.push((ticket, caller, request));
        match agent.gate.arrive(self.now, ticket, deadline) {
            Arrival::Run => self.begin(at, ticket),
            Arrival::Wait => {}
            Arrival::Refuse { why, .. } => self.end(at, ticket, |r| refused(r, why)),
        }
    }

    /// Applies what the gate decided.
    fn apply(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Run(ticket) => self.begin(at, ticket),
                Action::Refuse { ticket, why, .. } => {
                    self.end(at, ticket, |r| refused(r, why))
                }
            }
        }
    }

    /// Begins a request on the backend server, which counts.
    fn begin(&mut self, at: usize, ticket: Ticket) {
        let now = self.now;
        let agent = &mut self.agents[at];
        let Some((_, _, request)) =
            agent.jobs.iter().find(|(other, ..)| *other == ticket)
        else {
            return;
        };
        let cold = now < agent.cold_until;
        let most = if cold { LIMITS.cold_slots } else { LIMITS.slots };
        agent.busy.push((ticket, now));
        self.tally.overruns += u32::from(agent.busy.len() > usize::from(most));
        let late = agent.draining.is_some_and(|since| now.since(since) > GRACE_MS);
        self.tally.leaving_work += u32::from(late);
        self.tally.wrong_service += u32::from(request.service != agent.service);
        *self.tally.begun.entry((request.key.is_none(), request.work)).or_default() += 1;
        let ms = if cold { WORK_MS.1 } else { WORK_MS.0 } + self.rng.u64(..10);
        let life = agent.life;
        self.work(at, life, ticket, ms);
    }

    /// Ends a request at the gate: records it and replies.
    fn end(
        &mut self,
        at: usize,
        ticket: Ticket,
        with: impl FnOnce(&Request) -> (ledger::Outcome, Reply),
    ) {
        let agent = &mut self.agents[at];
        let Some(place) = agent.jobs.iter().position(|(other, ..)| *other == ticket)
        else {
            return;
        };
        let (_, caller, request) = agent.jobs.remove(place);
        let (outcome, reply) = with(&request);
        if let Some(key) = request.key {
            agent.ledger.finish(self.now, &key, outcome);
        }
        self.reply(at, caller, request.stream, reply);
    }

    /// Replies on a stream and keeps the reply for retransmissions of the request.
    fn reply(&mut self, at: usize, caller: SocketAddr, id: u64, reply: Reply) {
        if let Some(stream) = self.agents[at].stream(caller, id) {
            debug_assert_eq!(stream.request.stream, id);
            stream.reply = Some(reply);
        }
        self.answer(caller, reply);
    }

    /// Sends a reply through any balancer.
    fn answer(&mut self, caller: SocketAddr, reply: Reply) {
        self.spray(Message::Return(caller, reply));
    }

    /// Adopts a revision. An agent whose failure domain goes out closes its flows; one whose
    /// domain comes back starts anew, cold.
    fn configure(&mut self, at: usize, config: Config) {
        let domain = usize::from(domain_of(at).0);
        let now = self.now;
        let agent = &mut self.agents[at];
        let before = agent.config.out[domain];
        self.tally.reverted += u32::from(adopt(&mut agent.config, config));
        if agent.config.out[domain] != before {
            let (config, announced, life) =
                (agent.config, agent.announced, agent.life + 1);
            let fresh = Agent::new(at, agent.service, now);
            *agent = Agent { config, announced, life, excused: true, ..fresh };
            // The ledger of the old flows is gone, so the incarnation is another.
            agent.node = node::Id(agent.node.0 + 1_000 * life);
            agent.ledger = Ledger::new(agent.node, 1_000, 60_000);
        }
    }
}

/// The key of a flow. Every flow of the fake has its own caller address.
fn flow_key(caller: SocketAddr) -> flow::Key {
    flow::Key::new(caller, b"first")
}

/// The reply from a recorded answer.
fn recorded(stream: u64, answer: &Answer) -> Reply {
    match <[u8; 8]>::try_from(&answer.body[..]) {
        Ok(operation) => Reply::Answer(stream, u64::from_be_bytes(operation)),
        Err(_) => Reply::Unknown(stream),
    }
}

/// The end of a request that the gate refused.
fn refused(request: &Request, why: Why) -> (ledger::Outcome, Reply) {
    let reply = Reply::NotRun(request.stream, why == Why::Draining);
    (ledger::Outcome::NotRun, reply)
}

/// The end of a request that the backend server lost.
fn unknown(request: &Request) -> (ledger::Outcome, Reply) {
    (ledger::Outcome::Unknown, Reply::Unknown(request.stream))
}
