//! The agent's decision on the opening packet of an offered flow.

use crate::connection::flow;
use crate::process::clock::Millis;

/// Decisions remembered at most in each of the two generations.
///
/// Bounds the memory that opening packets with forged senders can take to about 1 MiB.
const REMEMBERED: usize = 8_192;

/// Candidates that a flow must still have for an agent to decline it for balance alone.
///
/// Some of them may be draining without the balancer's knowledge. With a reserve of one, a
/// flow that all others declined for balance was refused by a draining last candidate; see
/// `docs/decisions/steering.md`.
const RESERVE: usize = 2;

/// Candidates that must have declined before one that is ahead of the mean takes a flow.
///
/// Three compared are enough: with d random choices the fullest server lies above the mean by
/// about ln ln n / ln d (Azar et al., 1999). Each comparison costs a way between agents.
const COMPARED: usize = 2;

/// Least mean that is compared with, in tenths of a flow.
const MIN_MEAN: u32 = 10;

/// What a backend server may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Open flows when warm.
    pub flows: u32,
    /// Open flows up to which new ones are admitted in a cold start.
    pub cold_flows: u32,
    /// Time within which a handshake must complete, in milliseconds.
    pub half_open_ms: u64,
}

/// How an opening packet is offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// Candidates that declined before.
    pub declined: u8,
    /// Candidates after this agent.
    pub remaining: usize,
    /// The fewest open flows of the candidates that declined before.
    pub fewest: Option<u32>,
    /// Whether the packet was handed back, so that balance no longer counts.
    pub returned: bool,
}

/// What to do with an opening packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The flow was admitted before; the packet goes to its connection.
    Known,
    /// A new flow that now holds a place.
    Admit,
    /// The packet goes to the next candidate.
    HandOn,
    /// The packet goes back to the candidate with the fewest open flows.
    HandBack,
    /// No candidate is left, or the flow was refused or closed here a moment ago.
    Refuse(Why),
}

/// Why a flow is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// The backend server is draining.
    Leaving,
    /// It holds as many flows as it may in a cold start.
    Cold,
    /// It holds as many flows as it may.
    Full,
    /// The flow was closed here; the packet is a late duplicate.
    Closed,
}

impl Why {
    /// The label of the reason in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Cold => "cold",
            Self::Full => "full",
            Self::Closed => "closed",
        }
    }
}

/// The open flows of one service at one agent.
#[derive(Debug)]
pub struct Table {
    /// What the backend server may hold.
    limits: Limits,
    /// Reported mean of the open flows of the service's members, in tenths.
    mean: Option<u32>,
    /// Whether the backend server is draining.
    leaving: bool,
    /// Whether the backend server is in a cold start.
    cold: bool,
    /// Sorted by key, without duplicates; at most `limits.flows` when they were admitted.
    flows: Vec<Flow>,
    /// No half-open flow expires before this time.
    due: Millis,
    /// Decisions on flows that hold no place.
    memory: Memory,
}

impl Table {
    /// A table without flows. It starts cold until [`Self::set_cold`] says otherwise.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            mean: None,
            leaving: false,
            cold: true,
            flows: Vec::new(),
            due: Millis(u64::MAX),
            memory: Memory::default(),
        }
    }

    /// Replaces the limits. Open flows stay, also when there are more than allowed now.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.due = Millis(0);
    }

    /// Sets the reported mean of open flows of the service's members, in tenths of a flow.
    pub fn set_mean(&mut self, tenths: Option<u32>) {
        self.mean = tenths;
    }

    /// Sets whether the backend server is draining.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Whether the backend server is draining.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Sets whether the backend server is in a cold start.
    pub fn set_cold(&mut self, cold: bool) {
        self.cold = cold;
    }

    /// Decides on an opening packet with `remaining` candidates after this agent.
    ///
    /// Duplicates of a packet get the same decision for `half_open_ms`, so that they take
    /// the same way. The exception is a packet that was handed on before and now arrives
    /// with this agent as its last candidate: it is decided anew.
    pub fn offer(&mut self, now: Millis, flow: flow::Key, remaining: usize) -> Outcome {
        let offer = Offer { declined: 0, remaining, fewest: None, returned: false };
        self.compare(now, flow, offer)
    }

    /// The same, with what the candidates before have decided.
    ///
    /// The reported mean lags, so in a burst every candidate is above it. The true counts
    /// decide then: the first candidate after two others that has no more than they
    /// takes the flow, and if none has, the one with the fewest gets it back. So does a flow
    /// that the last candidate cannot take: it is refused only if nobody can.
    pub fn compare(&mut self, now: Millis, flow: flow::Key, offer: Offer) -> Outcome {
        let Offer { declined, remaining, fewest, returned } = offer;
        if now >= self.due {
            self.expire(now);
        }
        if self.find(flow).is_ok() {
            return Outcome::Known;
        }
        match self.memory.find(now, self.limits.half_open_ms, flow) {
            Some(Decision::Refused(why)) => return Outcome::Refuse(why),
            Some(Decision::HandedOn) if remaining > 0 && !returned => {
                return Outcome::HandOn;
            }
            Some(Decision::HandedBack) if fewest.is_some() && !returned => {
                return Outcome::HandBack;
            }
            _ => {}
        }
        let is_compared = usize::from(declined) >= COMPARED;
        match self.obstacle() {
            None if returned || !self.is_ahead() => self.admit(now, flow),
            None if remaining < RESERVE && fewest.is_none() => self.admit(now, flow),
            None if is_compared && fewest.is_some_and(|f| self.open() <= f) => {
                self.admit(now, flow)
            }
            None if remaining == 0 && fewest.is_some_and(|f| self.open() <= f) => {
                self.admit(now, flow)
            }
            _ if remaining > 0 => self.decline(now, flow, Decision::HandedOn),
            _ if fewest.is_some() && !returned => {
                self.decline(now, flow, Decision::HandedBack)
            }
            Some(why) => self.decline(now, flow, Decision::Refused(why)),
            None => self.admit(now, flow),
        }
    }

    /// Remembers that a flow was not admitted.
    fn decline(&mut self, now: Millis, flow: flow::Key, decision: Decision) -> Outcome {
        self.remember(now, flow, decision);
        match decision {
            Decision::HandedOn => Outcome::HandOn,
            Decision::HandedBack => Outcome::HandBack,
            Decision::Refused(why) => Outcome::Refuse(why),
        }
    }

    /// Takes note that a handshake is complete.
    ///
    /// Returns whether the flow still holds its place. If not, its handshake took longer
    /// than `half_open_ms` and the connection must be closed.
    pub fn complete(&mut self, now: Millis, flow: flow::Key) -> bool {
        if now >= self.due {
            self.expire(now);
        }
        let Ok(at) = self.find(flow) else { return false };
        self.flows[at].opened = None;
        true
    }

    /// Releases the place of a flow that has ended.
    pub fn close(&mut self, now: Millis, flow: flow::Key) {
        if let Ok(at) = self.find(flow) {
            self.flows.remove(at);
            self.remember(now, flow, Decision::Refused(Why::Closed));
        }
    }

    /// Releases the places of flows whose handshake did not complete in time.
    pub fn expire(&mut self, now: Millis) {
        let half_open_ms = self.limits.half_open_ms;
        let mut due = Millis(u64::MAX);
        self.flows.retain(|flow| {
            let Some(opened) = flow.opened else { return true };
            let keep = now.since(opened) < half_open_ms;
            if keep {
                due = due.min(opened.after(half_open_ms));
            }
            keep
        });
        self.due = due;
    }

    /// Number of open flows, half-open ones included.
    pub fn open(&self) -> u32 {
        self.flows.len() as u32
    }

    /// Number of flows up to which new ones are admitted at present.
    pub fn limit(&self) -> u32 {
        if self.cold {
            self.limits.cold_flows.min(self.limits.flows)
        } else {
            self.limits.flows
        }
    }

    /// Number of decisions that are remembered for duplicates.
    pub fn remembered(&self) -> usize {
        self.memory.young.len() + self.memory.old.len()
    }

    /// What stands against another flow, however many candidates remain.
    fn obstacle(&self) -> Option<Why> {
        if self.leaving {
            Some(Why::Leaving)
        } else if self.open() < self.limit() {
            None
        } else if self.cold {
            Some(Why::Cold)
        } else {
            Some(Why::Full)
        }
    }

    /// Whether there are more open flows than the mean of the service by 2% and a half.
    ///
    /// The tighter the bound, the more flows are handed on; see `docs/decisions/steering.md`.
    /// There is no bound while the mean is below [`MIN_MEAN`], when nothing is known yet.
    fn is_ahead(&self) -> bool {
        let Some(mean) = self.mean.filter(|mean| *mean >= MIN_MEAN) else { return false };
        let mean = u64::from(mean);
        u64::from(self.open()) * 10 > mean + mean / 50 + 5
    }

    /// Gives a flow a place.
    fn admit(&mut self, now: Millis, key: flow::Key) -> Outcome {
        if let Err(at) = self.find(key) {
            self.flows.insert(at, Flow { key, opened: Some(now) });
            self.due = self.due.min(now.after(self.limits.half_open_ms));
        }
        Outcome::Admit
    }

    /// Records a decision on a flow that holds no place.
    fn remember(&mut self, now: Millis, flow: flow::Key, decision: Decision) {
        self.memory.insert(now, self.limits.half_open_ms, flow, decision);
    }

    /// The index of a flow, or where it belongs.
    fn find(&self, key: flow::Key) -> Result<usize, usize> {
        self.flows.binary_search_by_key(&key, |flow| flow.key)
    }
}

/// An open flow.
#[derive(Debug, Clone, Copy)]
struct Flow {
    /// Identifies it.
    key: flow::Key,
    /// When it was admitted, until its handshake is complete.
    opened: Option<Millis>,
}

/// A decision that duplicates of the packet get again.
#[derive(Debug, Clone, Copy)]
enum Decision {
    /// Handed on to the next candidate.
    HandedOn,
    /// Handed back to the candidate with the fewest open flows.
    HandedBack,
    /// Refused for a reason.
    Refused(Why),
}

/// Recent decisions, in two generations so that old ones go without a search.
#[derive(Debug, Default)]
struct Memory {
    /// Sorted by key, without duplicates; at most [`REMEMBERED`].
    young: Vec<(flow::Key, Millis, Decision)>,
    /// The previous `young`.
    old: Vec<(flow::Key, Millis, Decision)>,
    /// When the first entry of `young` was made.
    since: Millis,
}

impl Memory {
    /// The decision on a flow if it is younger than `keep_ms`.
    fn find(&self, now: Millis, keep_ms: u64, flow: flow::Key) -> Option<Decision> {
        [&self.young, &self.old].into_iter().find_map(|list| {
            let at = list.binary_search_by_key(&flow, |(key, ..)| *key).ok()?;
            let (_, made, decision) = list[at];
            (now.since(made) < keep_ms).then_some(decision)
        })
    }

    /// Records a decision. A full generation pushes out the one before it.
    fn insert(&mut self, now: Millis, keep_ms: u64, flow: flow::Key, decision: Decision) {
        if self.young.len() >= REMEMBERED || now.since(self.since) >= keep_ms {
            self.old = std::mem::take(&mut self.young);
            self.since = now;
        }
        match self.young.binary_search_by_key(&flow, |(key, ..)| *key) {
            Ok(at) => self.young[at] = (flow, now, decision),
            Err(at) => self.young.insert(at, (flow, now, decision)),
        }
    }
}
