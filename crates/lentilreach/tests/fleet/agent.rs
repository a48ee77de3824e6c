//! A fake agent and backend server that use the real flow admission, limiter and ledger.

use std::net::SocketAddr;

use bytes::Bytes;
use lentilreach::connection::admission::{self, Outcome, Table};
use lentilreach::connection::directory::Directory;
use lentilreach::connection::placement::{Placement, Step};
use lentilreach::connection::{flow, token::Token};
use lentilreach::id::node;
use lentilreach::process::clock::Millis;
use lentilreach::process::ledger::{self, Decision, Ledger, Revocation, StoredResponse};
use lentilreach::request::admit::{
    Action, Admission, End, Limiter, Limits, Reason, RequestId,
};
use lentilreach::request::envelope::Forward;
use lentilreach::version::view::{Load, Member, Stage};

use super::balancer::adopt;
use super::{
    Body, Config, Message, Participant, Reply, Request, Simulation, agent_address,
    agent_at, domain_of, id,
};

/// Limits of every backend server.
const LIMITS: Limits = Limits { slots: 4, cold_slots: 1, cold_ms: 1_000, queue: 16 };

/// Flow limits of every agent.
pub const FLOWS: admission::Limits =
    admission::Limits { flows: 40, cold_flows: 20, half_open_ms: 2_000 };

/// Duration of a request on a warm and on a cold backend server, in milliseconds.
const SERVICE_TIME_MS: (u64, u64) = (20, 200);

/// Time within which a request must get a slot, in milliseconds.
const DEADLINE_MS: u64 = 1_000;

/// Time after which an agent stops waiting for the owner of a key, in milliseconds.
const REVOKE_TIMEOUT_MS: u64 = 600;

/// Time after which a draining backend server must get no new requests and a failure domain
/// that is out no packets, in milliseconds.
const GRACE_PERIOD_MS: u64 = 3_000;

/// An agent and its backend server.
pub struct Agent {
    pub index: usize,
    pub service: usize,
    pub alive: bool,
    /// Whether it ever died or was taken out, so that its flows may end.
    pub may_lose_flows: bool,
    pub draining: Option<Millis>,
    pub config: Config,
    pub table: Table,
    directory: Directory,
    pub limiter: Limiter,
    node: node::Id,
    ledger: Ledger,
    /// Established and half-open flows, sorted by caller.
    flows: Vec<(SocketAddr, Vec<Stream>)>,
    /// Requests queued or running at the limiter.
    jobs: Vec<(RequestId, SocketAddr, Request)>,
    /// Requests on the backend server and their start times.
    busy: Vec<(RequestId, Millis)>,
    cold_until: Millis,
    /// Whether the backend server becomes cold the next time it is idle.
    cold_when_idle: bool,
    /// Incremented when the backend server or the agent restarts.
    generation: u64,
    announcements: u64,
}

/// A request stream of a flow.
struct Stream {
    id: u64,
    request: Request,
    reply: Option<Reply>,
    /// Since when the owner of the key has been asked to revoke it.
    asked_since: Option<Millis>,
}

impl Agent {
    /// Creates an agent that has just started, with a cold backend server.
    pub fn new(index: usize, service: usize, now: Millis) -> Self {
        let node = node::Id(100 + index as u64);
        Self {
            index,
            service,
            alive: true,
            may_lose_flows: false,
            draining: None,
            config: Config::default(),
            table: Table::new(FLOWS),
            directory: Directory::default(),
            limiter: Limiter::new(LIMITS, now),
            node,
            ledger: Ledger::new(node, 1_000, 60_000),
            flows: Vec::new(),
            jobs: Vec::new(),
            busy: Vec::new(),
            cold_until: now.after(LIMITS.cold_ms),
            cold_when_idle: false,
            generation: 0,
            announcements: 0,
        }
    }

    /// Returns the agent's next announcement and its sequence number.
    pub fn announcement(&mut self, now: Millis, misreports: bool) -> (u64, Member) {
        self.announcements += 1;
        let stage = match self.draining {
            Some(_) => Stage::Leaving,
            None if self.limiter.is_cold(now) => Stage::Cold,
            None => Stage::Active,
        };
        let open = if misreports { 0 } else { self.table.open() };
        let load = Load { open, limit: self.table.limit(), at: now, ..Load::default() };
        let agent = agent_address(self.index);
        let domain = domain_of(self.index);
        (self.announcements, Member { node: self.node, agent, domain, stage, load })
    }

    /// Starts draining: no new flows and no new requests.
    pub fn drain(&mut self, now: Millis) {
        self.draining = Some(now);
        self.table.set_draining(true);
        self.limiter.set_draining(true);
    }

    /// Returns a stream of a flow.
    fn stream(&mut self, caller: SocketAddr, id: u64) -> Option<&mut Stream> {
        let at = self.flows.binary_search_by_key(&caller, |(caller, _)| *caller).ok()?;
        self.flows[at].1.iter_mut().find(|stream| stream.id == id)
    }
}

impl Simulation {
    pub(super) fn deliver_to_agent(&mut self, at: usize, message: Message) {
        if !self.agents[at].alive {
            return;
        }
        let domain = usize::from(domain_of(at).0);
        let packet = matches!(message, Message::Forward(..) | Message::Revoke(..));
        if packet && self.now.since(self.out_since[domain]) > GRACE_PERIOD_MS {
            self.counts.packets_to_out_domains += 1;
        }
        match message {
            Message::Forward(forward, datagram, body) => {
                self.receive(at, forward, datagram, body);
            }
            Message::Admitted(flow, by) => {
                self.agents[at].directory.record_admitted(self.now, flow, by);
            }
            Message::Revoke(key, from, stream) => {
                let revocation = self.agents[at].ledger.revoke(self.now, &key);
                self.send(Participant::Agent(from), Message::Revoked(revocation, stream));
            }
            Message::Revoked(revocation, (caller, stream)) => {
                self.revoked(at, revocation, caller, stream)
            }
            Message::Config(config) => self.configure(at, config),
            _ => {}
        }
    }

    /// Handles the timeouts of an agent.
    pub(super) fn tick_agent(&mut self, at: usize) {
        if !self.agents[at].alive || self.paused(Participant::Agent(at)).is_some() {
            return;
        }
        let now = self.now;
        let agent = &mut self.agents[at];
        agent.table.set_cold(agent.limiter.is_cold(now));
        agent.table.expire(now);
        let actions = agent.limiter.tick(now);
        let overdue = agent.flows.iter().flat_map(|(caller, streams)| {
            let late = streams.iter().filter(|s| {
                s.reply.is_none()
                    && s.asked_since.is_some_and(|asked_since| {
                        now.since(asked_since) > REVOKE_TIMEOUT_MS
                    })
            });
            late.map(|stream| (*caller, stream.id))
        });
        let timed_out: Vec<_> = overdue.collect();
        self.apply(at, actions);
        for (caller, stream) in timed_out {
            self.reply(at, caller, stream, Reply::Unknown(stream));
        }
    }

    /// Handles the completion of a request on a backend server.
    pub(super) fn complete_request(
        &mut self,
        at: usize,
        generation: u64,
        request_id: RequestId,
    ) {
        let now = self.now;
        let agent = &mut self.agents[at];
        let Some(index) = agent.busy.iter().position(|(other, _)| *other == request_id)
        else {
            return;
        };
        if !agent.alive || generation != agent.generation {
            return;
        }
        let (_, started) = agent.busy.remove(index);
        let took_ms = now.since(started);
        let actions = agent.limiter.finish(now, request_id, End::Answered { took_ms });
        self.end(at, request_id, |request| {
            let body = Bytes::copy_from_slice(&request.attempt.operation.to_be_bytes());
            let response = StoredResponse { status: 200, headers: Vec::new(), body };
            (
                ledger::Outcome::Answered(response),
                Reply::Response(request.stream, request.attempt.operation),
            )
        });
        self.apply(at, actions);
        let agent = &mut self.agents[at];
        if agent.cold_when_idle && agent.busy.is_empty() {
            // This is the worst case: the evidence of warmth is as recent as it can be.
            agent.cold_when_idle = false;
            agent.cold_until = now.after(LIMITS.cold_ms);
        }
    }

    /// Makes the backend server cold without notice once it is idle.
    pub fn make_cold_when_idle(&mut self, at: usize) {
        self.agents[at].cold_when_idle = true;
    }

    /// Restarts the backend server: its connections close and it is cold.
    pub fn restart(&mut self, at: usize) {
        let now = self.now;
        let agent = &mut self.agents[at];
        agent.cold_until = now.after(LIMITS.cold_ms);
        agent.generation += 1;
        let failed = std::mem::take(&mut agent.busy);
        let mut actions = Vec::new();
        for (request_id, _) in &failed {
            actions.extend(self.agents[at].limiter.finish(now, *request_id, End::Failed));
            self.end(at, *request_id, unknown);
        }
        actions.extend(self.agents[at].limiter.connections_closed(now));
        self.apply(at, actions);
    }

    /// Stops an agent as planned. No request may be running by then.
    pub fn stop(&mut self, at: usize) {
        let agent = &mut self.agents[at];
        if std::mem::take(&mut agent.alive) {
            self.counts.interrupted += agent.jobs.len() as u32;
        }
    }

    /// Handles a caller's datagram.
    fn receive(&mut self, at: usize, forward: Forward, datagram: Vec<u8>, body: Body) {
        let caller = forward.caller;
        if forward.service != id(self.agents[at].service) {
            self.counts.wrong_service += 1;
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
        let Ok(index) = agent.flows.binary_search_by_key(&caller, |(caller, _)| *caller)
        else {
            return self.send_reply(caller, Reply::Reset);
        };
        if !agent.table.complete(self.now, flow_key(caller)) {
            agent.flows.remove(index);
            return self.send_reply(caller, Reply::Reset);
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
        let mut placement = Placement {
            own_address: agent_address(at),
            serves: true,
            flows: &mut agent.table,
            directory: &mut agent.directory,
        };
        let (outcome, notify_home) =
            match placement.step(self.now, flow_key(caller), forward) {
                Step::Deliver { outcome, notify_home } => (outcome, notify_home),
                Step::Send { to, forward, .. } => {
                    let message = Message::Forward(forward, datagram, Body::Open);
                    return self.send(agent_at(to), message);
                }
                Step::Drop => return,
            };
        let agent = &mut self.agents[at];
        match outcome {
            Outcome::Refuse(_) => self.send_reply(caller, Reply::Refuse),
            Outcome::HandOn | Outcome::HandBack => {
                unreachable!("passed on by the placement")
            }
            Outcome::Admit | Outcome::Known => {
                if let Err(index) = agent.flows.binary_search_by_key(&caller, |(c, _)| *c)
                {
                    agent.flows.insert(index, (caller, Vec::new()));
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
                self.send_reply(caller, Reply::Accept(token, at, binding));
                if let Some(home) = notify_home {
                    let notification =
                        Message::Admitted(flow_key(caller), agent_address(at));
                    self.send(agent_at(home), notification);
                }
            }
        }
    }

    /// Handles a request, once for each stream.
    fn request(&mut self, at: usize, caller: SocketAddr, request: Request) {
        let agent = &mut self.agents[at];
        if let Some(stream) = agent.stream(caller, request.stream) {
            if let Some(reply) = stream.reply {
                self.send_reply(caller, reply);
            }
            return;
        }
        let Ok(index) = agent.flows.binary_search_by_key(&caller, |(c, _)| *c) else {
            return;
        };
        let stream =
            Stream { id: request.stream, request, reply: None, asked_since: None };
        agent.flows[index].1.push(stream);
        let Some(key) = request.key else { return self.admit(at, caller, request) };
        if key.owner != agent.node {
            return self.request_revocation(at, caller, request.stream, key);
        }
        let id = request.stream;
        match agent.ledger.begin(self.now, &key) {
            Decision::Run => self.admit(at, caller, request),
            // The caller retries on another stream.
            Decision::Running | Decision::Expired => {
                self.reply(at, caller, id, Reply::Unknown(id))
            }
            Decision::Done(response) => {
                self.reply(at, caller, id, recorded(id, &response))
            }
            Decision::Revoked | Decision::Full => {
                self.reply(at, caller, id, Reply::NotRun(id, false))
            }
        }
    }

    /// Asks the owner of a key to revoke it, unless the owner's failure domain is out.
    fn request_revocation(
        &mut self,
        at: usize,
        caller: SocketAddr,
        stream: u64,
        key: ledger::Key,
    ) {
        let owner = ((key.owner.0 - 100) % 1_000) as usize;
        let now = self.now;
        let agent = &mut self.agents[at];
        if agent.config.out[usize::from(domain_of(owner).0)] {
            return self.reply(at, caller, stream, Reply::Unknown(stream));
        }
        if let Some(stream) = agent.stream(caller, stream) {
            stream.asked_since = Some(now);
        }
        for _ in 0..2 {
            self.send(
                Participant::Agent(owner),
                Message::Revoke(key, at, (caller, stream)),
            );
        }
    }

    /// Passes the owner's reply to the caller.
    fn revoked(
        &mut self,
        at: usize,
        revocation: Revocation,
        caller: SocketAddr,
        stream: u64,
    ) {
        let reply = match revocation {
            Revocation::Revoked => Reply::NotRun(stream, false),
            Revocation::Done(response) => recorded(stream, &response),
            Revocation::Running | Revocation::Unknown | Revocation::Expired => {
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

    /// Submits a request to the limiter.
    fn admit(&mut self, at: usize, caller: SocketAddr, request: Request) {
        let request_id = RequestId(request.stream);
        let deadline = self.now.after(DEADLINE_MS);
        let agent = &mut self.agents[at];
        agent.jobs.push((request_id, caller, request));
        match agent.limiter.admit(self.now, request_id, deadline) {
            Admission::Run => self.begin(at, request_id),
            Admission::Wait => {}
            Admission::Refuse { reason, .. } => {
                self.end(at, request_id, |r| refused(r, reason))
            }
        }
    }

    /// Applies the actions of the limiter.
    fn apply(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Run(request_id) => self.begin(at, request_id),
                Action::Refuse { request_id, reason, .. } => {
                    self.end(at, request_id, |r| refused(r, reason))
                }
            }
        }
    }

    /// Starts a request on the backend server and updates the counts.
    fn begin(&mut self, at: usize, request_id: RequestId) {
        let now = self.now;
        let agent = &mut self.agents[at];
        let Some((_, _, request)) =
            agent.jobs.iter().find(|(other, ..)| *other == request_id)
        else {
            return;
        };
        let cold = now < agent.cold_until;
        let most = if cold { LIMITS.cold_slots } else { LIMITS.slots };
        agent.busy.push((request_id, now));
        self.counts.overruns += u32::from(agent.busy.len() > usize::from(most));
        let late = agent.draining.is_some_and(|since| now.since(since) > GRACE_PERIOD_MS);
        self.counts.work_while_draining += u32::from(late);
        self.counts.wrong_service += u32::from(request.service != agent.service);
        *self
            .counts
            .started
            .entry((request.key.is_none(), request.attempt))
            .or_default() += 1;
        let ms =
            if cold { SERVICE_TIME_MS.1 } else { SERVICE_TIME_MS.0 } + self.rng.u64(..10);
        let generation = agent.generation;
        self.schedule_completion(at, generation, request_id, ms);
    }

    /// Ends a request at the limiter: records its outcome and replies.
    fn end(
        &mut self,
        at: usize,
        request_id: RequestId,
        with: impl FnOnce(&Request) -> (ledger::Outcome, Reply),
    ) {
        let agent = &mut self.agents[at];
        let Some(index) = agent.jobs.iter().position(|(other, ..)| *other == request_id)
        else {
            return;
        };
        let (_, caller, request) = agent.jobs.remove(index);
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
        self.send_reply(caller, reply);
    }

    /// Sends a reply through any balancer.
    fn send_reply(&mut self, caller: SocketAddr, reply: Reply) {
        self.send_via_balancer(Message::Return(caller, reply));
    }

    /// Applies a revision. When the failure domain of the agent goes out or comes back, the
    /// agent restarts with no flows and a cold backend server.
    fn configure(&mut self, at: usize, config: Config) {
        let domain = usize::from(domain_of(at).0);
        let now = self.now;
        let agent = &mut self.agents[at];
        let before = agent.config.out[domain];
        self.counts.reverted += u32::from(adopt(&mut agent.config, config));
        if agent.config.out[domain] != before {
            let (config, announcements, generation) =
                (agent.config, agent.announcements, agent.generation + 1);
            let fresh = Agent::new(at, agent.service, now);
            *agent = Agent {
                config,
                announcements,
                generation,
                may_lose_flows: true,
                ..fresh
            };
            // The old ledger is gone, so the agent gets a new incarnation.
            agent.node = node::Id(agent.node.0 + 1_000 * generation);
            agent.ledger = Ledger::new(agent.node, 1_000, 60_000);
        }
    }
}

/// The key of a flow. Every simulated flow has its own caller address.
fn flow_key(caller: SocketAddr) -> flow::Key {
    flow::Key::new(caller, b"first")
}

/// The reply for a recorded response.
fn recorded(stream: u64, response: &StoredResponse) -> Reply {
    match <[u8; 8]>::try_from(&response.body[..]) {
        Ok(operation) => Reply::Response(stream, u64::from_be_bytes(operation)),
        Err(_) => Reply::Unknown(stream),
    }
}

/// The result of a request refused by the limiter.
fn refused(request: &Request, reason: Reason) -> (ledger::Outcome, Reply) {
    let reply = Reply::NotRun(request.stream, reason == Reason::Draining);
    (ledger::Outcome::NotRun, reply)
}

/// The result of a request that the backend server lost.
fn unknown(request: &Request) -> (ledger::Outcome, Reply) {
    (ledger::Outcome::Unknown, Reply::Unknown(request.stream))
}
