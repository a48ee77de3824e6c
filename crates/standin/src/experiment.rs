//! Simulates how policies for steering new flows balance load, in virtual time and from a
//! seed.
//!
//! Balancers with views that lag differently steer flows to agents. Agents use the library's
//! admission control; balancers use its routing or an alternative policy for comparison.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use fastrand::Rng;
use lentilreach::connection::{admission, flow, token};
use lentilreach::id::{domain, node, service};
use lentilreach::process::clock::Millis;
use lentilreach::request::packet::{Form, Packet};
use lentilreach::request::route::{self, Verdict};
use lentilreach::version::load;
use lentilreach::version::view::{Load, Member, Service, Stage, View};

/// Number of balancers.
const BALANCERS: usize = 4;

/// Interval between load reports of a member, in milliseconds.
const REPORT_MS: u64 = 1_000;

/// Interval between updates of a balancer's view, in milliseconds.
const REFRESH_MS: u64 = 50;

/// Interval between samples of the imbalance, in milliseconds.
const SAMPLE_MS: u64 = 250;

/// Interval between steps of a rolling replacement, in milliseconds.
const REPLACE_INTERVAL_MS: u64 = 15_000;

/// Time within which the flows of a draining member move, in milliseconds.
const DRAIN_MS: u64 = 5_000;

/// Duration of a cold start, in milliseconds.
const COLD_MS: u64 = 8_000;

/// Time of the first flows, in milliseconds. All members are warm by then.
pub const START_MS: u64 = 2 * COLD_MS;

/// Limits of a member: 2,000 flows, or a fifth of that during a cold start.
const LIMITS: admission::Limits =
    admission::Limits { flows: 2_000, cold_flows: 400, half_open_ms: 3_000 };

/// How a balancer orders the candidates of a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// By rendezvous hash.
    Rendezvous,
    /// By rendezvous hash, with the less loaded of the first two candidates first.
    TwoChoices,
    /// By reported load, with ties broken at random.
    LeastLoaded,
    /// By reported load in steps of 1/64 of the limit, as in earlier versions of the library.
    Quantised,
    /// By reported load plus an estimate of flows since the report: those that this balancer
    /// sent, times the number of balancers.
    LeastLoadedWithSent,
    /// The library's order.
    Library,
}

/// A steering policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// How balancers order candidates.
    pub order: Order,
    /// Whether agents know the mean of reported loads and decline flows above it.
    pub bound: bool,
}

/// The course of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// Flows arrive and end. Measured after the service has filled up.
    Steady,
    /// Like `Steady`, but members are also replaced one by one.
    Rolling,
    /// The service fills up from empty, and is measured from the start.
    Fill,
}

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Number of members of the service.
    pub members: usize,
    /// Mean number of open flows per member.
    pub flows: u32,
    /// Mean lifetime of a flow in milliseconds. Lifetimes are exponentially distributed.
    pub life_ms: u64,
    /// The course of the run.
    pub plan: Plan,
    /// End of the run in milliseconds. It starts at [`START_MS`] with an empty service.
    pub end_ms: u64,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Results of a run.
#[derive(Debug, Default, Clone, Copy)]
pub struct Figures {
    /// Mean over the samples of the maximum divided by the mean of open flows per warm member.
    pub imbalance: f64,
    /// 99th percentile of the samples.
    pub p99: f64,
    /// Mean number of times that a flow was handed on.
    pub hops: f64,
    /// Fraction of flows whose first candidate differs between two balancers.
    pub split: f64,
    /// Fraction of flows that were refused.
    pub refused: f64,
}

/// Runs a scenario with a policy.
pub fn run(scenario: Scenario, policy: Policy) -> Figures {
    let mut simulation = Simulation::new(scenario, policy);
    while simulation.now.0 < scenario.end_ms {
        simulation.step();
    }
    simulation.figures()
}

/// State of a run.
struct Simulation {
    /// Parameters of the run.
    scenario: Scenario,
    /// The steering policy.
    policy: Policy,
    /// The source of all random numbers.
    rng: Rng,
    /// The current virtual time.
    now: Millis,
    /// All members that ever joined.
    agents: Vec<Agent>,
    /// The balancers with their views.
    balancers: Vec<Balancer>,
    /// Scheduled ends of flows: time, agent index, flow key.
    flow_ends: BinaryHeap<Reverse<(Millis, usize, flow::Key)>>,
    /// Times at which flows of draining members open again elsewhere.
    reopenings: BinaryHeap<Reverse<Millis>>,
    /// Expected arrivals that have not been drawn yet, in flows.
    pending_arrivals: f64,
    /// Index of the next agent to be replaced.
    oldest: usize,
    /// Samples of the imbalance.
    samples: Vec<f64>,
    /// Counters since the measurement began: flows, hops, split flows, refused flows.
    counts: [u64; 4],
}

/// A member.
struct Agent {
    /// The library's admission control.
    table: admission::Table,
    /// When it joined. It is cold for [`COLD_MS`] after that.
    joined_at: Millis,
    /// When it began to drain.
    leaving_since: Option<Millis>,
    /// Offset of its load reports in milliseconds.
    report_offset_ms: u64,
    /// The most recent load reports: time and open flows.
    reports: VecDeque<(Millis, u32)>,
}

impl Agent {
    /// The stage and load as seen by a balancer whose view lags by `lag_ms` milliseconds.
    fn report(&self, now: Millis, lag_ms: u64) -> Option<(Stage, Load)> {
        let view_time = Millis(now.0.checked_sub(lag_ms)?);
        let has_left = self
            .leaving_since
            .is_some_and(|leaving_since| view_time.since(leaving_since) >= DRAIN_MS);
        if view_time < self.joined_at || has_left {
            return None;
        }
        let stage = match self.leaving_since {
            Some(leaving_since) if leaving_since <= view_time => Stage::Leaving,
            _ if view_time.since(self.joined_at) < COLD_MS => Stage::Cold,
            _ => Stage::Active,
        };
        let limit = if stage == Stage::Cold { LIMITS.cold_flows } else { LIMITS.flows };
        let report = self.reports.iter().rev().find(|(at, _)| *at <= view_time);
        let (at, open) = report.copied().unwrap_or((self.joined_at, 0));
        Some((stage, Load { open, limit, busy: 0, slots: 0, at }))
    }

    /// Whether the member counts for the imbalance.
    fn is_warm(&self, now: Millis) -> bool {
        self.leaving_since.is_none() && now.since(self.joined_at) >= COLD_MS
    }
}

/// A balancer.
struct Balancer {
    /// Lag of its view, in milliseconds.
    lag_ms: u64,
    /// Its view of the service.
    view: View,
    /// For each agent, the time of the last report and the number of flows sent since.
    sent: Vec<(Millis, u32)>,
}

impl Simulation {
    /// Creates a run whose members are warm and have no flows.
    fn new(scenario: Scenario, policy: Policy) -> Self {
        let balancers = (0..BALANCERS).map(|i| Balancer {
            lag_ms: 200 + 200 * i as u64,
            view: View::default(),
            sent: Vec::new(),
        });
        let mut simulation = Self {
            scenario,
            policy,
            rng: Rng::with_seed(scenario.seed),
            now: Millis(START_MS),
            agents: Vec::new(),
            balancers: balancers.collect(),
            flow_ends: BinaryHeap::new(),
            reopenings: BinaryHeap::new(),
            pending_arrivals: 0.0,
            oldest: 0,
            samples: Vec::new(),
            counts: [0; 4],
        };
        (0..scenario.members).for_each(|_| simulation.join(Millis(0)));
        simulation
    }

    /// Adds a member.
    fn join(&mut self, joined_at: Millis) {
        self.agents.push(Agent {
            table: admission::Table::new(LIMITS),
            joined_at,
            leaving_since: None,
            report_offset_ms: self.rng.u64(..REPORT_MS),
            reports: VecDeque::new(),
        });
    }

    /// Whether the measurement has begun.
    fn is_measured(&self) -> bool {
        self.scenario.plan == Plan::Fill
            || self.now.0 > START_MS + 3 * self.scenario.life_ms
    }

    /// Advances the simulation by a millisecond.
    fn step(&mut self) {
        self.now = self.now.after(1);
        let now = self.now;
        self.report();
        if now.0.is_multiple_of(REFRESH_MS) {
            self.refresh();
        }
        if self.scenario.plan == Plan::Rolling
            && self.is_measured()
            && now.0.is_multiple_of(REPLACE_INTERVAL_MS)
        {
            (0..self.scenario.members.div_ceil(7)).for_each(|_| self.replace_oldest());
        }
        while let Some(Reverse((at, agent, key))) = self.flow_ends.peek().copied()
            && at <= now
        {
            self.flow_ends.pop();
            self.agents[agent].table.close(now, key);
        }
        while self.reopenings.peek().is_some_and(|Reverse(at)| *at <= now) {
            self.reopenings.pop();
            self.open_flow();
        }
        let flows = self.scenario.members as f64 * f64::from(self.scenario.flows);
        self.pending_arrivals += flows / self.scenario.life_ms as f64;
        // One Bernoulli trial per hundredth of a flow approximates a Poisson process.
        while self.pending_arrivals > 0.0 {
            self.pending_arrivals -= 0.01;
            if self.rng.f64() < 0.01 {
                self.open_flow();
            }
        }
        if self.is_measured() && now.0.is_multiple_of(SAMPLE_MS) {
            self.sample();
        }
    }

    /// Lets agents report their load and learn the mean load.
    fn report(&mut self) {
        let now = self.now;
        for (index, agent) in self.agents.iter_mut().enumerate() {
            if !(now.0 + agent.report_offset_ms).is_multiple_of(REPORT_MS) {
                continue;
            }
            agent.table.set_cold(now.since(agent.joined_at) < COLD_MS);
            agent.table.set_draining(agent.leaving_since.is_some());
            agent.reports.push_back((now, agent.table.open()));
            if agent.reports.len() > 4 {
                agent.reports.pop_front();
            }
            if self.policy.bound {
                let view = &self.balancers[index % BALANCERS].view;
                let members = view.services().first().map(Service::members);
                agent.table.set_mean(load::mean_active(members.unwrap_or_default()));
            }
        }
    }

    /// Updates the views of all balancers.
    fn refresh(&mut self) {
        for balancer in &mut self.balancers {
            let mut members = Vec::new();
            balancer.sent.resize(self.agents.len(), (Millis(0), 0));
            for (index, agent) in self.agents.iter().enumerate() {
                let Some((stage, load)) = agent.report(self.now, balancer.lag_ms) else {
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
    fn replace_oldest(&mut self) {
        let now = self.now;
        let agent = &mut self.agents[self.oldest];
        agent.leaving_since = Some(now);
        agent.table.set_draining(true);
        let leaving = self.oldest;
        let (remaining, moved): (Vec<_>, Vec<_>) = std::mem::take(&mut self.flow_ends)
            .into_iter()
            .partition(|end| end.0.1 != leaving);
        self.flow_ends = remaining.into();
        for _ in moved {
            self.reopenings.push(Reverse(now.after(self.rng.u64(..DRAIN_MS))));
        }
        self.oldest += 1;
        self.join(now);
    }

    /// Opens a flow through a random balancer.
    fn open_flow(&mut self) {
        let caller =
            SocketAddr::from((Ipv4Addr::from(self.rng.u32(..)), self.rng.u16(1..)));
        let destination = self.rng.u64(..).to_be_bytes();
        let index = self.rng.usize(..BALANCERS);
        let list = self.order_candidates(index, caller, &destination);
        let other = self.order_candidates((index + 1) % BALANCERS, caller, &destination);
        let is_split = list.first() != other.first();
        if let Some(first) = list.first() {
            self.balancers[index].sent[*first].1 += 1;
        }
        let key = flow::Key::new(caller, &destination);
        let (hops, admitted_by) = self.offer(&list, key);
        if let Some(agent) = admitted_by {
            let life = -self.rng.f64().max(1e-9).ln() * self.scenario.life_ms as f64;
            self.flow_ends.push(Reverse((self.now.after(life as u64), agent, key)));
        }
        if self.is_measured() {
            let add = [1, hops, u64::from(is_split), u64::from(admitted_by.is_none())];
            self.counts.iter_mut().zip(add).for_each(|(count, add)| *count += add);
        }
    }

    /// Offers a flow to candidates in turn. Returns the number of hops and the agent that
    /// admitted it, if any.
    fn offer(&mut self, list: &[usize], key: flow::Key) -> (u64, Option<usize>) {
        for (position, agent) in list.iter().enumerate() {
            let table = &mut self.agents[*agent].table;
            match table.offer(self.now, key, list.len() - position - 1) {
                admission::Outcome::HandOn | admission::Outcome::HandBack => {}
                admission::Outcome::Refuse(_) => return (position as u64, None),
                admission::Outcome::Admit | admission::Outcome::Known => {
                    table.complete(self.now, key);
                    return (position as u64, Some(*agent));
                }
            }
        }
        (0, None)
    }

    /// The candidates in the order of a balancer, as agent indices.
    fn order_candidates(
        &mut self,
        balancer: usize,
        caller: SocketAddr,
        id: &[u8],
    ) -> Vec<usize> {
        let balancer = &self.balancers[balancer];
        let hash = flow::Key::new(caller, id).id;
        let Some(service) = balancer.view.services().first() else { return Vec::new() };
        let mut list: Vec<&Member> = service.candidates(hash).collect();
        if list.iter().any(|member| member.stage != Stage::Leaving) {
            list.retain(|member| member.stage != Stage::Leaving);
        }
        let utilisation = |m: &Member, extra: u32| {
            (u64::from(m.load.open + extra) << 24) / u64::from(m.load.limit)
        };
        match self.policy.order {
            Order::Rendezvous => {}
            Order::TwoChoices => {
                if list.len() > 1 && utilisation(list[1], 0) < utilisation(list[0], 0) {
                    list.swap(0, 1);
                }
            }
            Order::LeastLoaded => {
                self.rng.shuffle(&mut list);
                list.sort_by_key(|m| utilisation(m, 0));
            }
            Order::Quantised => {
                self.rng.shuffle(&mut list);
                list.sort_by_key(|m| {
                    u64::from(m.load.open) * 64 / u64::from(m.load.limit)
                });
            }
            Order::LeastLoadedWithSent => {
                self.rng.shuffle(&mut list);
                let sent = |m: &Member| balancer.sent[m.node.0 as usize].1;
                list.sort_by_key(|m| utilisation(m, sent(m) * BALANCERS as u32));
            }
            Order::Library => return library_order(&balancer.view, caller, id),
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

    /// Computes the results.
    fn figures(mut self) -> Figures {
        self.samples.sort_by(f64::total_cmp);
        let count = self.samples.len().max(1);
        let [offered, hops, split, refused] = self.counts.map(|count| count as f64);
        let offered = offered.max(1.0);
        Figures {
            imbalance: self.samples.iter().sum::<f64>() / count as f64,
            p99: self.samples.get(count * 99 / 100).copied().unwrap_or_default(),
            hops: hops / offered,
            split: split / offered,
            refused: refused / offered,
        }
    }
}

/// The candidates in the order of the library's routing, as agent indices.
fn library_order(view: &View, caller: SocketAddr, id: &[u8]) -> Vec<usize> {
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

/// A member of a view. Its node id and address both encode the agent's index.
fn member(index: usize, stage: Stage, load: Load) -> Member {
    Member {
        node: node::Id(index as u64),
        agent: SocketAddrV4::new(Ipv4Addr::from(index as u32), 1),
        domain: domain::Id(0),
        stage,
        load,
    }
}
