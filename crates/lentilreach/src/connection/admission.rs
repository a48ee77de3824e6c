//! Admission control for new flows at an agent.

use crate::connection::flow;
use crate::process::clock::Millis;

/// Maximum number of decisions in each of the two generations.
///
/// Limits the memory used by opening packets with forged sender addresses to about 1 MiB.
const MAX_DECISIONS_PER_GENERATION: usize = 8_192;

/// Candidates that must remain for an agent to decline a flow only to balance load.
///
/// Some of them may be draining without the balancer's knowledge. With a minimum of one, a
/// draining last candidate refused flows that all others had declined only for balance; see
/// `docs/decisions/steering.md`.
const MIN_REMAINING: usize = 2;

/// Candidates that must have declined before an agent above the mean admits a flow.
///
/// Comparing three agents is enough: with d random choices the fullest server exceeds the mean
/// by about ln ln n / ln d (Azar et al., 1999). Each comparison costs a hop between agents.
const MIN_COMPARED: usize = 2;

/// Minimum mean that load is compared with, in tenths of a flow.
const MIN_MEAN_TENTHS: u32 = 10;

/// The flow limits of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of open flows when warm.
    pub flows: u32,
    /// During a cold start, new flows are admitted up to this number of open flows.
    pub cold_flows: u32,
    /// Time within which a handshake must complete, in milliseconds.
    pub half_open_ms: u64,
}

/// How an opening packet is offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// Number of candidates that declined before.
    pub declined: u8,
    /// Number of candidates after this agent.
    pub remaining: usize,
    /// The fewest open flows of any candidate that declined before.
    pub fewest_open: Option<u32>,
    /// Whether the packet was handed back, in which case load balance is ignored.
    pub handed_back: bool,
}

/// The decision on an opening packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The flow was admitted before; the packet belongs to its connection.
    Known,
    /// The new flow is admitted and counted.
    Admit,
    /// The packet goes to the next candidate.
    HandOn,
    /// The packet goes back to the candidate with the fewest open flows.
    HandBack,
    /// No candidate is left, or the flow was recently refused or closed here.
    Refuse(Reason),
}

/// Why a flow is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The backend server is draining.
    Draining,
    /// It has reached its flow limit for a cold start.
    Cold,
    /// It has reached its flow limit.
    Full,
    /// The flow was closed here; the packet is a late duplicate.
    Closed,
}

impl Reason {
    /// The metric label of the reason.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "leaving",
            Self::Cold => "cold",
            Self::Full => "full",
            Self::Closed => "closed",
        }
    }
}

/// The open flows of one service at one agent.
#[derive(Debug)]
pub struct Table {
    /// The limits of the backend server.
    limits: Limits,
    /// Reported mean number of open flows of the service's members, in tenths.
    mean: Option<u32>,
    /// Whether the backend server is draining.
    draining: bool,
    /// Whether the backend server is in a cold start.
    cold: bool,
    /// Sorted by key, without duplicates. Admission keeps it within `limits.flows`.
    flows: Vec<Flow>,
    /// No half-open flow expires before this time.
    next_expiry: Millis,
    /// Recent decisions on flows that are not open.
    decisions: DecisionCache,
}

impl Table {
    /// Creates an empty table. It is cold until [`Self::set_cold`] says otherwise.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            mean: None,
            draining: false,
            cold: true,
            flows: Vec::new(),
            next_expiry: Millis(u64::MAX),
            decisions: DecisionCache::default(),
        }
    }

    /// Replaces the limits. Open flows are kept even above the new limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.next_expiry = Millis(0);
    }

    /// Sets the reported mean number of open flows of the service's members, in tenths of a
    /// flow.
    pub fn set_mean(&mut self, tenths: Option<u32>) {
        self.mean = tenths;
    }

    /// Sets whether the backend server is draining.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Whether the backend server is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Sets whether the backend server is in a cold start.
    pub fn set_cold(&mut self, cold: bool) {
        self.cold = cold;
    }

    /// Decides on an opening packet with `remaining` candidates after this agent.
    ///
    /// Duplicates of a packet get the same decision for `half_open_ms`, so that they reach the
    /// same agent. The exception is a packet that was handed on before and now arrives with
    /// this agent as its last candidate: it gets a new decision.
    pub fn offer(&mut self, now: Millis, flow: flow::Key, remaining: usize) -> Outcome {
        let offer =
            Offer { declined: 0, remaining, fewest_open: None, handed_back: false };
        self.decide(now, flow, offer)
    }

    /// Like [`Self::offer`], but also considers the earlier candidates.
    ///
    /// The reported mean lags behind, so during a burst every candidate is above it. The
    /// actual counts then decide. After two candidates have declined, the first that has no
    /// more open flows than they have admits the flow; if there is none, the flow is handed
    /// back to the one with the fewest. A flow that the last candidate cannot admit is also
    /// handed back: it is refused only if no candidate can admit it.
    pub fn decide(&mut self, now: Millis, flow: flow::Key, offer: Offer) -> Outcome {
        let Offer { declined, remaining, fewest_open, handed_back } = offer;
        if now >= self.next_expiry {
            self.expire(now);
        }
        if self.find(flow).is_ok() {
            return Outcome::Known;
        }
        match self.decisions.find(now, self.limits.half_open_ms, flow) {
            Some(Decision::Refused(reason)) => return Outcome::Refuse(reason),
            Some(Decision::HandedOn) if remaining > 0 && !handed_back => {
                return Outcome::HandOn;
            }
            Some(Decision::HandedBack) if fewest_open.is_some() && !handed_back => {
                return Outcome::HandBack;
            }
            _ => {}
        }
        let has_enough_comparisons = usize::from(declined) >= MIN_COMPARED;
        match self.refusal_reason() {
            None if handed_back || !self.is_above_mean() => self.admit(now, flow),
            None if remaining < MIN_REMAINING && fewest_open.is_none() => {
                self.admit(now, flow)
            }
            None if has_enough_comparisons
                && fewest_open.is_some_and(|f| self.open() <= f) =>
            {
                self.admit(now, flow)
            }
            None if remaining == 0 && fewest_open.is_some_and(|f| self.open() <= f) => {
                self.admit(now, flow)
            }
            _ if remaining > 0 => self.decline(now, flow, Decision::HandedOn),
            _ if fewest_open.is_some() && !handed_back => {
                self.decline(now, flow, Decision::HandedBack)
            }
            Some(reason) => self.decline(now, flow, Decision::Refused(reason)),
            None => self.admit(now, flow),
        }
    }

    /// Records a decision not to admit a flow.
    fn decline(&mut self, now: Millis, flow: flow::Key, decision: Decision) -> Outcome {
        self.record_decision(now, flow, decision);
        match decision {
            Decision::HandedOn => Outcome::HandOn,
            Decision::HandedBack => Outcome::HandBack,
            Decision::Refused(reason) => Outcome::Refuse(reason),
        }
    }

    /// Records that a handshake is complete.
    ///
    /// Returns whether the flow is still in the table. If not, its handshake took longer than
    /// `half_open_ms` and the connection must be closed.
    pub fn complete(&mut self, now: Millis, flow: flow::Key) -> bool {
        if now >= self.next_expiry {
            self.expire(now);
        }
        let Ok(at) = self.find(flow) else { return false };
        self.flows[at].opened = None;
        true
    }

    /// Removes a flow that has ended.
    pub fn close(&mut self, now: Millis, flow: flow::Key) {
        if let Ok(at) = self.find(flow) {
            self.flows.remove(at);
            self.record_decision(now, flow, Decision::Refused(Reason::Closed));
        }
    }

    /// Removes flows whose handshake did not complete in time.
    pub fn expire(&mut self, now: Millis) {
        let half_open_ms = self.limits.half_open_ms;
        let mut next_expiry = Millis(u64::MAX);
        self.flows.retain(|flow| {
            let Some(opened) = flow.opened else { return true };
            let keep = now.since(opened) < half_open_ms;
            if keep {
                next_expiry = next_expiry.min(opened.after(half_open_ms));
            }
            keep
        });
        self.next_expiry = next_expiry;
    }

    /// Number of open flows, including half-open ones.
    pub fn open(&self) -> u32 {
        self.flows.len() as u32
    }

    /// Current limit up to which new flows are admitted.
    pub fn limit(&self) -> u32 {
        if self.cold {
            self.limits.cold_flows.min(self.limits.flows)
        } else {
            self.limits.flows
        }
    }

    /// Number of decisions cached for duplicates.
    pub fn cached_decisions(&self) -> usize {
        self.decisions.current.len() + self.decisions.previous.len()
    }

    /// The reason why this agent cannot admit another flow, if any. Independent of the
    /// remaining candidates.
    fn refusal_reason(&self) -> Option<Reason> {
        if self.draining {
            Some(Reason::Draining)
        } else if self.open() < self.limit() {
            None
        } else if self.cold {
            Some(Reason::Cold)
        } else {
            Some(Reason::Full)
        }
    }

    /// Whether the number of open flows exceeds the mean by more than 2% plus half a flow.
    ///
    /// A tighter bound causes more flows to be handed on; see `docs/decisions/steering.md`. A
    /// mean below [`MIN_MEAN_TENTHS`] is ignored, as nothing is known yet.
    fn is_above_mean(&self) -> bool {
        let Some(mean) = self.mean.filter(|mean| *mean >= MIN_MEAN_TENTHS) else {
            return false;
        };
        let mean = u64::from(mean);
        u64::from(self.open()) * 10 > mean + mean / 50 + 5
    }

    /// Adds a flow to the table.
    fn admit(&mut self, now: Millis, key: flow::Key) -> Outcome {
        if let Err(at) = self.find(key) {
            self.flows.insert(at, Flow { key, opened: Some(now) });
            self.next_expiry = self.next_expiry.min(now.after(self.limits.half_open_ms));
        }
        Outcome::Admit
    }

    /// Records a decision on a flow that is not in the table.
    fn record_decision(&mut self, now: Millis, flow: flow::Key, decision: Decision) {
        self.decisions.insert(now, self.limits.half_open_ms, flow, decision);
    }

    /// The index of a flow, or its insertion point.
    fn find(&self, key: flow::Key) -> Result<usize, usize> {
        self.flows.binary_search_by_key(&key, |flow| flow.key)
    }
}

/// An open flow.
#[derive(Debug, Clone, Copy)]
struct Flow {
    /// Identifies it.
    key: flow::Key,
    /// When it was admitted; `None` once its handshake is complete.
    opened: Option<Millis>,
}

/// A decision that also applies to duplicates of the packet.
#[derive(Debug, Clone, Copy)]
enum Decision {
    /// Handed on to the next candidate.
    HandedOn,
    /// Handed back to the candidate with the fewest open flows.
    HandedBack,
    /// Refused for a reason.
    Refused(Reason),
}

/// Recent decisions in two generations, so that old ones are discarded without a search.
#[derive(Debug, Default)]
struct DecisionCache {
    /// Sorted by key, without duplicates; at most [`MAX_DECISIONS_PER_GENERATION`].
    current: Vec<(flow::Key, Millis, Decision)>,
    /// The previous generation of `current`.
    previous: Vec<(flow::Key, Millis, Decision)>,
    /// When `current` became the current generation.
    current_since: Millis,
}

impl DecisionCache {
    /// The decision on a flow if it is younger than `retention_ms`.
    fn find(&self, now: Millis, retention_ms: u64, flow: flow::Key) -> Option<Decision> {
        [&self.current, &self.previous].into_iter().find_map(|list| {
            let at = list.binary_search_by_key(&flow, |(key, ..)| *key).ok()?;
            let (_, decided, decision) = list[at];
            (now.since(decided) < retention_ms).then_some(decision)
        })
    }

    /// Inserts a decision. A full or expired generation becomes the previous one.
    fn insert(
        &mut self,
        now: Millis,
        retention_ms: u64,
        flow: flow::Key,
        decision: Decision,
    ) {
        if self.current.len() >= MAX_DECISIONS_PER_GENERATION
            || now.since(self.current_since) >= retention_ms
        {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        match self.current.binary_search_by_key(&flow, |(key, ..)| *key) {
            Ok(at) => self.current[at] = (flow, now, decision),
            Err(at) => self.current.insert(at, (flow, now, decision)),
        }
    }
}
