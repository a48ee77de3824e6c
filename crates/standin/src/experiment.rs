//! A seeded experiment on the steering of new flows, without I/O and clocks.
//!
//! Balancers with different, lagging views steer flows to agents. The agents run the admission
//! of the library; the balancers run its routing or one of the policies to compare with.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use fastrand::Rng;
use lentilreach::connection::{flow, open, token};
use lentilreach::id::{domain, node, service};
use lentilreach::process::clock::Millis;
use lentilreach::request::packet::{Form, Packet};
use lentilreach::request::route::{self, Verdict};
use lentilreach::version::load;
use lentilreach::version::view::{Load, Member, Service, Stage, View};

/// Number of balancers.
const BALANCERS: usize = 4;

/// Time between two load reports of a member, in milliseconds.
const REPORT_MS: u64 = 1_000;

/// Time between two updates of a balancer's view, in milliseconds.
const REFRESH_MS: u64 = 50;

/// Time between two samples of the imbalance, in milliseconds.
const SAMPLE_MS: u64 = 250;

/// Time between two steps of a rolling replacement, in milliseconds.
const ROLL_MS: u64 = 15_000;

/// Time in which the flows of a draining member move, in milliseconds.
const DRAIN_MS: u64 = 5_000;

/// Duration of a cold start, in milliseconds.
const COLD_MS: u64 = 8_000;

/// When flows begin to arrive, in milliseconds; all members are warm by then.
pub const START_MS: u64 = 2 * COLD_MS;

/// Limits of a member: 2,000 flows, a fifth of them in a cold start.
const LIMITS: open::Limits =
    open::Limits { flows: 2_000, cold_flows: 400, half_open_ms: 3_000 };

/// How a balancer orders the candidates of a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// By rendezvous hash.
    Rendezvous,
    /// By rendezvous hash, but of the first two the less loaded one first.
    TwoChoices,
    /// All by reported load, those of equal load at random.
    Least,
    /// The same with load in 1/64 of the limit, as the library ordered before.
    Quantised,
    /// All by reported load plus the flows that this balancer sent since, times the balancers.
    Sent,
    /// The library's own order.
    Library,
}

/// What is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// The order of candidates at balancers.
    pub order: Order,
    /// Whether agents know the reported mean and decline flows above it.
    pub bound: bool,
}

/// What happens in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// Flows come and go after the service has filled up.
    Steady,
    /// Members are also replaced one after the other.
    Rolling,
    /// The service fills up; figures count from the start.
    Fill,
}

/// One run.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Members of the service.
    pub members: usize,
    /// Mean open flows of a member.
    pub flows: u32,
    /// Mean life of a flow in milliseconds, exponentially distributed.
    pub life_ms: u64,
    /// What happens.
    pub plan: Plan,
    /// End in milliseconds. The service is empty at [`START_MS`].
    pub end_ms: u64,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// What a run measured.
#[derive(Debug, Default, Clone, Copy)]
pub struct Figures {
    /// Mean over the samples of the maximum divided by the mean of open flows per warm member.
    pub imbalance: f64,
    /// 99th percentile of the same.
    pub worst: f64,
    /// Times that a flow was handed on, on average.
    pub hops: f64,
    /// Share of flows whose opening packet has another first candidate at another balancer.
    pub split: f64,
    /// Share of flows that were refused.
    pub refused: f64,
}

/// Runs one scenario under one policy.
pub fn run(scenario: Scenario, policy: Policy) -> Figures {
    let mut world = World::new(scenario, policy);
    while world.now.0 < scenario.end_ms {
        world.step();
    }
    world.figures()
}

/// The state of a run.
struct World {
    /// What is run.
    scenario: Scenario,
    /// What is compared.
    policy: Policy,
    /// Source of all random numbers.
    rng: Rng,
    /// The time.
    now: Millis,
    /// All members that ever joined.
    agents: Vec<Agent>,
    /// What balancers know.
    balancers: Vec<Balancer>,
    /// Ends of flows: time, agent, key.
    ends: BinaryHeap<Reverse<(Millis, usize, flow::Key)>>,
    /// Flows that move away from a draining member.
    moves: BinaryHeap<Reverse<Millis>>,
    /// Arrivals owed, in flows.
    owed: f64,
    /// The next agent to be replaced.
    oldest: usize,
    /// Samples of the imbalance.
    samples: Vec<f64>,
    /// Flows offered, handed on, split and refused since the samples began.
    counts: [u64; 4],
}

/// A member.
struct Agent {
    /// Its admission.
    table: open::Table,
    /// When it joined; it is cold for [`COLD_MS`] from then on.
    joined: Millis,
    /// When it began to drain.
    left: Option<Millis>,
    /// Offset of its load reports in milliseconds.
    phase: u64,
    /// The last reports: time and open flows.
    reports: VecDeque<(Millis, u32)>,
}

impl Agent {
    /// What a balancer believes of it that learns everything `lag` milliseconds late.
    fn report(&self, now: Millis, lag: u64) -> Option<(Stage, Load)> {
        let seen = Millis(now.0.checked_sub(lag)?);
        let gone = self.left.is_some_and(|left| seen.since(left) >= DRAIN_MS);
        if seen < self.joined || gone {
            return None;
        }
        let stage = match self.left {
            Some(left) if left <= seen => Stage::Leaving,
            _ if seen.since(self.joined) < COLD_MS => Stage::Cold,
            _ => Stage::Active,
        };
        let limit = if stage == Stage::Cold { LIMITS.cold_flows } else { LIMITS.flows };
        let report = self.reports.iter().rev().find(|(at, _)| *at <= seen);
        let (at, open) = report.copied().unwrap_or((self.joined, 0));
        Some((stage, Load { open, limit, busy: 0, slots: 0, at }))
    }

    /// Whether it counts for the imbalance.
    fn is_warm(&self, now: Millis) -> bool {
        self.left.is_none() && now.since(self.joined) >= COLD_MS
    }
}

/// A balancer's knowledge.
struct Balancer {
    /// How late it learns everything, in milliseconds.
    lag: u64,
    /// Its view of the one service.
    view: View,
    /// For each agent: the time of the last report, and flows sent since.
    sent: Vec<(Millis, u32)>,
}

impl World {
    /// A world whose members are warm and empty.
    fn new(scenario: Scenario, policy: Policy) -> Self {
        let balancers = (0..BALANCERS).map(|i| Balancer {
            lag: 200 + 200 * i as u64,
            view: View::default(),
            sent: Vec::new(),
        });
        let mut world = Self {
            scenario,
            policy,
            rng: Rng::with_seed(scenario.seed),
            now: Millis(START_MS),
            agents: Vec::new(),
            balancers: balancers.collect(),
            ends: BinaryHeap::new(),
            moves: BinaryHeap::new(),
            owed: 0.0,
            oldest: 0,
            samples: Vec::new(),
            counts: [0; 4],
        };
        (0..scenario.members).for_each(|_| world.join(Millis(0)));
        world
    }

    /// Adds a member.
    fn join(&mut self, joined: Millis) {
        self.agents.push(Agent {
            table: open::Table::new(LIMITS),
            joined,
            left: None,
            phase: self.rng.u64(..REPORT_MS),
            reports: VecDeque::new(),
        });
    }

    /// Whether figures count.
    fn is_measured(&self) -> bool {
        self.scenario.plan == Plan::Fill
            || self.now.0 > START_MS + 3 * self.scenario.life_ms
    }

    /// One millisecond.
    fn step(&mut self) {
        self.now = self.now.after(1);
        let now = self.now;
        self.report();
        if now.0.is_multiple_of(REFRESH_MS) {
            self.refresh();
        }
        if self.scenario.plan == Plan::Rolling
            && self.is_measured()
            && now.0.is_multiple_of(ROLL_MS)
        {
            (0..self.scenario.members.div_ceil(7)).for_each(|_| self.roll());
        }
        while let Some(Reverse((at, agent, key))) = self.ends.peek().copied()
            && at <= now
        {
            self.ends.pop();
            self.agents[agent].table.close(now, key);
        }
        while self.moves.peek().is_some_and(|Reverse(at)| *at <= now) {
            self.moves.pop();
            self.arrive();
        }
        let flows = self.scenario.members as f64 * f64::from(self.scenario.flows);
        self.owed += flows / self.scenario.life_ms as f64;
        // A Bernoulli trial for each hundredth of a flow comes close to a Poisson process.
        while self.owed > 0.0 {
            self.owed -= 0.01;
            if self.rng.f64() < 0.01 {
                self.arrive();
            }
        }
        if self.is_measured() && now.0.is_multiple_of(SAMPLE_MS) {
            self.sample();
        }
    }

    /// Lets agents report their load and learn the mean.
    fn report(&mut self) {
        let now = self.now;
        for (index, agent) in self.agents.iter_mut().enumerate() {
            if !(now.0 + agent.phase).is_multiple_of(REPORT_MS) {
                continue;
            }
            agent.table.set_cold(now.since(agent.joined) < COLD_MS);
            agent.table.set_leaving(agent.left.is_some());
            agent.reports.push_back((now, agent.table.open()));
            if agent.reports.len() > 4 {
                agent.reports.pop_front();
            }
            if self.policy.bound {
                let view = &self.balancers[index % BALANCERS].view;
                let members = view.services().first().map(Service::members);
                agent.table.set_mean(load::mean(members.unwrap_or_default()));
            }
        }
    }

    /// Updates the views of all balancers.
    fn refresh(&mut self) {
        for balancer in &mut self.balancers {
            let mut members = Vec::new();
            balancer.sent.resize(self.agents.len(), (Millis(0), 0));
            for (index, agent) in self.agents.iter().enumerate() {
                let Some((stage, load)) = agent.report(self.now, balancer.lag) else {
                    continue;
                };
                if balancer.sent[index].0 != load.at {
                    balancer.sent[index] = (load.at, 0);
                }
                members.push(member(index, stage, load));
            }
            let old = balancer.view.services().first();
            let same = old.and_then(|service| service.refresh(members.clone()));
            let new = || Service::new(address(), service::Id(1), "svc".into(), members);
            let service = same.unwrap_or_else(new);
            balancer.view = View::new(1, vec![service], Vec::new());
        }
    }

    /// Replaces the oldest member.
    fn roll(&mut self) {
        let now = self.now;
        let agent = &mut self.agents[self.oldest];
        agent.left = Some(now);
        agent.table.set_leaving(true);
        let leaver = self.oldest;
        let (stay, go): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.ends).into_iter().partition(|end| end.0.1 != leaver);
        self.ends = stay.into();
        for _ in go {
            self.moves.push(Reverse(now.after(self.rng.u64(..DRAIN_MS))));
        }
        self.oldest += 1;
        self.join(now);
    }

    /// A caller opens a flow through any balancer.
    fn arrive(&mut self) {
        let caller =
            SocketAddr::from((Ipv4Addr::from(self.rng.u32(..)), self.rng.u16(1..)));
        let destination = self.rng.u64(..).to_be_bytes();
        let at = self.rng.usize(..BALANCERS);
        let list = self.order(at, caller, &destination);
        let other = self.order((at + 1) % BALANCERS, caller, &destination);
        let split = list.first() != other.first();
        if let Some(first) = list.first() {
            self.balancers[at].sent[*first].1 += 1;
        }
        let key = flow::Key::new(caller, &destination);
        let (hops, taker) = self.offer(&list, key);
        if let Some(agent) = taker {
            let life = -self.rng.f64().max(1e-9).ln() * self.scenario.life_ms as f64;
            self.ends.push(Reverse((self.now.after(life as u64), agent, key)));
        }
        if self.is_measured() {
            let add = [1, hops, u64::from(split), u64::from(taker.is_none())];
            self.counts.iter_mut().zip(add).for_each(|(count, add)| *count += add);
        }
    }

    /// Offers a flow along a list; returns the hops and who took it.
    fn offer(&mut self, list: &[usize], key: flow::Key) -> (u64, Option<usize>) {
        for (position, agent) in list.iter().enumerate() {
            let table = &mut self.agents[*agent].table;
            match table.offer(self.now, key, list.len() - position - 1) {
                open::Outcome::HandOn | open::Outcome::HandBack => {}
                open::Outcome::Refuse(_) => return (position as u64, None),
                open::Outcome::Admit | open::Outcome::Known => {
                    table.complete(self.now, key);
                    return (position as u64, Some(*agent));
                }
            }
        }
        (0, None)
    }

    /// The order of candidates at a balancer, as indices of agents.
    fn order(&mut self, balancer: usize, caller: SocketAddr, id: &[u8]) -> Vec<usize> {
        let balancer = &self.balancers[balancer];
        let hash = flow::Key::new(caller, id).id;
        let Some(service) = balancer.view.services().first() else { return Vec::new() };
        let mut list: Vec<&Member> = service.candidates(hash).collect();
        if list.iter().any(|member| member.stage != Stage::Leaving) {
            list.retain(|member| member.stage != Stage::Leaving);
        }
        let use_of = |m: &Member, extra: u32| {
            (u64::from(m.load.open + extra) << 24) / u64::from(m.load.limit)
        };
        match self.policy.order {
            Order::Rendezvous => {}
            Order::TwoChoices => {
                if list.len() > 1 && use_of(list[1], 0) < use_of(list[0], 0) {
                    list.swap(0, 1);
                }
            }
            Order::Least => {
                self.rng.shuffle(&mut list);
                list.sort_by_key(|m| use_of(m, 0));
            }
            Order::Quantised => {
                self.rng.shuffle(&mut list);
                list.sort_by_key(|m| {
                    u64::from(m.load.open) * 64 / u64::from(m.load.limit)
                });
            }
            Order::Sent => {
                self.rng.shuffle(&mut list);
                let sent = |m: &Member| balancer.sent[m.node.0 as usize].1;
                list.sort_by_key(|m| use_of(m, sent(m) * BALANCERS as u32));
            }
            Order::Library => return library(&balancer.view, caller, id),
        }
        list.into_iter().map(|member| member.node.0 as usize).collect()
    }

    /// Samples the imbalance.
    fn sample(&mut self) {
        let warm = self.agents.iter().filter(|agent| agent.is_warm(self.now));
        let open: Vec<u32> = warm.map(|agent| agent.table.open()).collect();
        let mean = f64::from(open.iter().sum::<u32>()) / open.len() as f64;
        let max = open.iter().max().copied().unwrap_or_default();
        if mean > 0.0 {
            self.samples.push(f64::from(max) / mean);
        }
    }

    /// Sums up.
    fn figures(mut self) -> Figures {
        self.samples.sort_by(f64::total_cmp);
        let count = self.samples.len().max(1);
        let [offered, hops, split, refused] = self.counts.map(|count| count as f64);
        let offered = offered.max(1.0);
        Figures {
            imbalance: self.samples.iter().sum::<f64>() / count as f64,
            worst: self.samples.get(count * 99 / 100).copied().unwrap_or_default(),
            hops: hops / offered,
            split: split / offered,
            refused: refused / offered,
        }
    }
}

/// The order of the library's own routing.
fn library(view: &View, caller: SocketAddr, id: &[u8]) -> Vec<usize> {
    let packet =
        Packet { caller, service: address(), form: Form::Initial, destination: id };
    let keys = token::Keys::default();
    match route::route(view, &keys, &packet, 7) {
        Verdict::Offer { candidates, .. } => {
            let index = |agent: &SocketAddrV4| u32::from(*agent.ip()) as usize;
            candidates.as_slice().iter().map(index).collect()
        }
        _ => Vec::new(),
    }
}

/// The address of the service.
fn address() -> SocketAddr {
    SocketAddr::from(([127, 1, 0, 1], 4433))
}

/// A member as its balancer knows it. Node and address both hold the index of the agent.
fn member(index: usize, stage: Stage, load: Load) -> Member {
    Member {
        node: node::Id(index as u64),
        agent: SocketAddrV4::new(Ipv4Addr::from(index as u32), 1),
        domain: domain::Id(0),
        stage,
        load,
    }
}
