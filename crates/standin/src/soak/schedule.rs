//! The schedule of a run: a pure function of its seed and size.

use std::fmt::{self, Display, Formatter};

use fastrand::Rng;

use super::layout;

/// Time before the first fault, in milliseconds.
const CALM_START_MS: u64 = 2_000;

/// Time after the last fault, in milliseconds: five to recover, five to be measured.
pub const CALM_END_MS: u64 = 10_000;

/// Shortest and longest pause of a process, in milliseconds.
const PAUSE_MS: (u64, u64) = (500, 6_000);

/// Shortest and longest time between the end of a process and its restart, in milliseconds.
const DOWN_MS: (u64, u64) = (100, 2_500);

/// Time that is kept for a process to stop when it is asked to, in milliseconds.
const STOP_MS: u64 = 6_500;

/// Time that a backend server drains before it ends, in milliseconds: twice the time in which
/// it may still get new flows.
pub const DRAIN_MS: u64 = 6_000;

/// Shortest and longest fault of the store, in milliseconds.
const STORE_MS: (u64, u64) = (500, 8_000);

/// Shortest and longest time between the starts of two waves, in milliseconds.
const WAVE_MS: (u64, u64) = (300, 4_000);

/// Shortest and longest time between two status reports of other writers, in milliseconds.
const ODD_REPORT_MS: (u64, u64) = (200, 3_000);

/// Shortest and longest age of the copy that the store comes back from, in milliseconds.
const COPY_MS: (u64, u64) = (500, 7_000);

/// Time for which the store is away before it comes back from a copy, in milliseconds.
pub const AWAY_MS: u64 = 1_000;

/// Shortest and longest time for which a failure domain is out of service, in milliseconds.
const OUT_MS: (u64, u64) = (4_000, 12_000);

/// Shortest and longest time between two returns of the store, and between two changes of the
/// failure domains, in milliseconds.
const RARE_MS: (u64, u64) = (4_000, 20_000);

/// Changes the seed for what is drawn after the waves, so that the waves of a seed stay as they
/// are.
const EXTRA_SEED: u64 = 1 << 40;

/// Numbers of processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Balancers.
    pub balancers: u8,
    /// Agents, each with a backend server.
    pub agents: u8,
}

/// A process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    /// A balancer.
    Balancer(u8),
    /// An agent.
    Agent(u8),
}

impl Display for Node {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Balancer(number) => write!(f, "balancer-{number}"),
            Self::Agent(number) => write!(f, "agent-{number}"),
        }
    }
}

/// A fault of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Store {
    /// Every call is refused.
    Away,
    /// Calls get no answer.
    Hangs,
    /// Calls are answered this much later, in milliseconds.
    Slow(u64),
}

/// A fault or change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The process stands still for this time, in milliseconds.
    Pause(Node, u64),
    /// The process is asked to stop, and started again this much later.
    Stop(Node, u64),
    /// The process is killed, and started again this much later.
    Kill(Node, u64),
    /// The backend server drains, leaves, and is started again this much later.
    Drain(u8, u64),
    /// The backend server is killed, and started again this much later.
    Lose(u8, u64),
    /// The store fails for this time.
    Store(Store, u64),
    /// The answer to the next write is lost.
    LoseAnswer,
    /// The lease of a process is taken away.
    Revoke(Node),
    /// The operators write the next configuration.
    Configure,
    /// An agent gets a status report of another writer, which has this fault.
    OddReport(u8, u8),
    /// The store comes back from a copy that is this old, and the operators write their
    /// documents again.
    Return(u64),
    /// The operators take a failure domain out of service for this time.
    Evacuate(u8, u64),
}

/// An action and its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Milliseconds after the start.
    pub at_ms: u64,
    /// What happens.
    pub action: Action,
}

impl Display for Step {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:>6} ms ", self.at_ms)?;
        match self.action {
            Action::Pause(node, ms) => write!(f, "pause {node} for {ms} ms"),
            Action::Stop(node, ms) => write!(f, "stop {node}, start after {ms} ms"),
            Action::Kill(node, ms) => write!(f, "kill {node}, start after {ms} ms"),
            Action::Drain(n, ms) => write!(f, "drain server-{n}, start after {ms} ms"),
            Action::Lose(n, ms) => write!(f, "kill server-{n}, start after {ms} ms"),
            Action::Store(Store::Away, ms) => write!(f, "store away for {ms} ms"),
            Action::Store(Store::Hangs, ms) => write!(f, "store silent for {ms} ms"),
            Action::Store(Store::Slow(by), ms) => {
                write!(f, "store {by} ms late for {ms} ms")
            }
            Action::LoseAnswer => write!(f, "store loses an answer"),
            Action::Revoke(node) => write!(f, "store revokes the lease of {node}"),
            Action::Configure => write!(f, "write a configuration"),
            Action::OddReport(n, fault) => {
                write!(f, "report of another writer to agent-{n}, fault {fault}")
            }
            Action::Return(ms) => write!(f, "store comes back from a copy {ms} ms old"),
            Action::Evacuate(n, ms) => {
                write!(f, "take {} out for {ms} ms", layout::domain(n))
            }
        }
    }
}

/// Draws the schedule of a run of `seconds`. All faults have ended [`CALM_END_MS`] before its
/// end; a run that is too short for that has none.
pub fn draw(seed: u64, seconds: u64, size: Size) -> Vec<Step> {
    let end_ms = (seconds * 1_000).saturating_sub(CALM_END_MS);
    let mut planner = Planner {
        rng: Rng::with_seed(seed),
        size,
        end_ms,
        busy: Vec::new(),
        steps: vec![],
    };
    let mut at_ms = CALM_START_MS;
    while at_ms < end_ms {
        planner.wave(at_ms);
        at_ms += planner.between(WAVE_MS);
    }
    planner.rng = Rng::with_seed(seed ^ EXTRA_SEED);
    planner.odd_reports();
    planner.returns();
    planner.evacuations();
    planner.steps.sort_by_key(|step| step.at_ms);
    planner.steps
}

/// What can have one fault at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Target {
    /// A process.
    Node(Node),
    /// A backend server.
    Server(u8),
    /// The store.
    Store,
    /// The failure domains.
    Domains,
}

/// Draws steps.
#[derive(Debug)]
struct Planner {
    /// Source of all choices.
    rng: Rng,
    /// Numbers of processes.
    size: Size,
    /// End of all faults.
    end_ms: u64,
    /// From when to when a target has a fault.
    busy: Vec<(Target, u64, u64)>,
    /// The steps so far, in any order.
    steps: Vec<Step>,
}

impl Planner {
    /// Draws one wave of faults. Waves overlap.
    fn wave(&mut self, at_ms: u64) {
        match self.rng.u8(..100) {
            0..30 => self.freeze_and_restart(at_ms),
            30..40 => self.restart_in_turn(at_ms),
            40..70 => self.single(at_ms),
            70..80 => self.server(at_ms),
            80..92 => self.store(at_ms),
            _ => self.add(at_ms, 0, None, Action::Configure),
        }
    }

    /// Agents stand still while balancers are restarted in turn.
    fn freeze_and_restart(&mut self, at_ms: u64) {
        let agents = self.rng.u8(1..=self.size.agents);
        let first = self.rng.u8(..self.size.agents);
        let length_ms = self.between((PAUSE_MS.1 / 2, PAUSE_MS.1));
        for index in 0..agents {
            let node = Node::Agent((first + index) % self.size.agents);
            let at_ms = at_ms + self.rng.u64(..300);
            self.add(at_ms, length_ms, Some(node), Action::Pause(node, length_ms));
        }
        let mut at_ms = at_ms + self.rng.u64(..1_000);
        for number in 0..self.size.balancers {
            self.restart(at_ms, Node::Balancer(number));
            at_ms += self.between((300, 1_500));
        }
    }

    /// All processes of a role are restarted in turn.
    fn restart_in_turn(&mut self, mut at_ms: u64) {
        let is_agents = self.rng.bool();
        let count = if is_agents { self.size.agents } else { self.size.balancers };
        for number in 0..count {
            let node =
                if is_agents { Node::Agent(number) } else { Node::Balancer(number) };
            self.restart(at_ms, node);
            at_ms += self.between((200, 2_000));
        }
    }

    /// One process stands still, stops or is killed.
    fn single(&mut self, at_ms: u64) {
        let node = self.node();
        if self.rng.bool() {
            let length_ms = self.between(PAUSE_MS);
            self.add(at_ms, length_ms, Some(node), Action::Pause(node, length_ms));
        } else {
            self.restart(at_ms, node);
        }
    }

    /// A process is stopped or killed, and restarted.
    fn restart(&mut self, at_ms: u64, node: Node) {
        let down_ms = self.between(DOWN_MS);
        if self.rng.bool() {
            self.add(at_ms, STOP_MS + down_ms, Some(node), Action::Stop(node, down_ms));
        } else {
            self.add(at_ms, down_ms, Some(node), Action::Kill(node, down_ms));
        }
    }

    /// A backend server drains or is killed, and is started again.
    fn server(&mut self, at_ms: u64) {
        let number = self.rng.u8(..self.size.agents);
        let down_ms = self.between(DOWN_MS);
        let (length_ms, action) = if self.rng.bool() {
            (DRAIN_MS + down_ms, Action::Drain(number, down_ms))
        } else {
            (down_ms, Action::Lose(number, down_ms))
        };
        self.add_for(at_ms, length_ms, Some(Target::Server(number)), action);
    }

    /// The store fails.
    fn store(&mut self, at_ms: u64) {
        let length_ms = self.between(STORE_MS);
        let fault = match self.rng.u8(..5) {
            0 => Store::Away,
            1 => Store::Hangs,
            2 => Store::Slow(self.between((100, 2_000))),
            3 => return self.add(at_ms, 0, None, Action::LoseAnswer),
            _ => {
                let node = self.node();
                return self.add(at_ms, 0, None, Action::Revoke(node));
            }
        };
        let action = Action::Store(fault, length_ms);
        self.add_for(at_ms, length_ms, Some(Target::Store), action);
    }

    /// Agents get status reports of other writers, at any time.
    fn odd_reports(&mut self) {
        let mut at_ms = CALM_START_MS + self.between(ODD_REPORT_MS);
        while at_ms < self.end_ms {
            let (number, fault) = (self.rng.u8(..self.size.agents), self.rng.u8(..));
            self.add(at_ms, 0, None, Action::OddReport(number, fault));
            at_ms += self.between(ODD_REPORT_MS);
        }
    }

    /// The store comes back from a copy, at any time that it has no other fault.
    fn returns(&mut self) {
        let mut at_ms = CALM_START_MS + self.between(RARE_MS);
        while at_ms < self.end_ms {
            let age_ms = self.between(COPY_MS);
            let (length_ms, action) = (age_ms + AWAY_MS, Action::Return(age_ms));
            self.add_for(at_ms, length_ms, Some(Target::Store), action);
            at_ms += self.between(RARE_MS);
        }
    }

    /// One failure domain after the other is taken out of service.
    fn evacuations(&mut self) {
        let mut at_ms = CALM_START_MS + self.between(RARE_MS);
        while at_ms < self.end_ms {
            let (number, out_ms) = (self.rng.u8(..2), self.between(OUT_MS));
            let action = Action::Evacuate(number, out_ms);
            self.add_for(at_ms, out_ms, Some(Target::Domains), action);
            at_ms += self.between(RARE_MS);
        }
    }

    /// Any process.
    fn node(&mut self) -> Node {
        let number = self.rng.u8(..self.size.balancers + self.size.agents);
        match number.checked_sub(self.size.balancers) {
            None => Node::Balancer(number),
            Some(number) => Node::Agent(number),
        }
    }

    /// A time in a range.
    fn between(&mut self, (least, most): (u64, u64)) -> u64 {
        self.rng.u64(least..=most)
    }

    /// Adds a step that takes a time.
    fn add(&mut self, at_ms: u64, length_ms: u64, node: Option<Node>, action: Action) {
        self.add_for(at_ms, length_ms, node.map(Target::Node), action);
    }

    /// Adds a step unless its target has a fault already, or it would end too late.
    fn add_for(
        &mut self,
        at_ms: u64,
        length_ms: u64,
        target: Option<Target>,
        action: Action,
    ) {
        let end_ms = at_ms + length_ms;
        let is_busy = |(other, from_ms, until_ms): &(Target, u64, u64)| {
            Some(*other) == target && *from_ms <= end_ms && *until_ms >= at_ms
        };
        if end_ms > self.end_ms || self.busy.iter().any(is_busy) {
            return;
        }
        self.busy.extend(target.map(|target| (target, at_ms, end_ms)));
        self.steps.push(Step { at_ms, action });
    }
}
