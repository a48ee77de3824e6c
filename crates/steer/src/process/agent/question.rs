//! Questions of a home node to the other agents.
//!
//! What an agent said before a flow was opened proves nothing about the flow. A home node
//! that doesn't know a flow therefore asks all agents for a heartbeat, and only takes a
//! flow for ended if each of them has answered that question.

use lentilreach::process::clock::Millis;

use crate::connection::flow;
use crate::connection::table::Table;
use crate::request::segment::Segment;

/// Minimum interval between questions, in milliseconds. Callers retransmit after 200 ms.
const INTERVAL_MS: u64 = 100;

/// Minimum time for each agent that is asked, in milliseconds. Limits the rate of messages,
/// whatever the number of agents is.
const INTERVAL_PER_AGENT_MS: u64 = 2;

/// Time after which an unknown flow that is no longer searched for is forgotten, in
/// milliseconds. Callers retransmit every 1.6 s at least.
const RETENTION_MS: u64 = 3_000;

/// The questions that were sent, and the flows that they are about.
#[derive(Debug, Clone)]
pub(super) struct Questions {
    /// Number of the last question; 0 before the first one.
    sent: u32,
    /// When it was sent.
    sent_at: Option<Millis>,
    /// Whether a flow became unknown after the last question.
    is_new: bool,
    /// Whether answers are missing for some unknown flow.
    is_needed: bool,
    /// Unknown flows.
    flows: Table<Unknown>,
}

/// An unknown flow.
#[derive(Debug, Clone, Copy)]
struct Unknown {
    /// What the caller has acknowledged. It doesn't change while nobody answers, and tells
    /// the flow from an earlier one between the same addresses.
    acknowledged: u32,
    /// Number of the first question that was sent after the first search for the flow.
    question: u32,
    /// Number of searches for the flow.
    searches: u32,
    /// Whether a segment of it waits for answers.
    wait: Wait,
}

/// Whether a segment of an unknown flow waits for the answers of other agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Wait {
    /// None has waited.
    Never,
    /// One waits.
    Now,
    /// One has waited.
    Over,
}

/// What is known of an unknown flow at a search for it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Searched {
    /// Number of the first question about the flow, which may not have been sent yet.
    pub question: u32,
    /// Number of searches before.
    pub searches: u32,
    /// Whether a segment of it waits.
    pub wait: Wait,
}

impl Questions {
    /// Creates the state for approximately `limit` unknown flows.
    pub fn new(limit: usize) -> Self {
        let flows = Table::new(limit);
        Self { sent: 0, sent_at: None, is_new: false, is_needed: false, flows }
    }

    /// Number of the last question.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Counts a search for the unknown flow of a segment.
    pub fn record_search(&mut self, now: Millis, segment: &Segment) -> Searched {
        let (flow, acknowledged) = (segment.flow_from_caller(), segment.acknowledged);
        let known = self.flows.get(now, &flow);
        if let Some(known) = known.filter(|known| known.acknowledged == acknowledged) {
            known.searches += 1;
            let Unknown { question, searches, wait, .. } = *known;
            return Searched { question, searches: searches - 1, wait };
        }
        let (question, wait) = (self.sent + 1, Wait::Never);
        self.is_new = true;
        let unknown = Unknown { acknowledged, question, searches: 1, wait };
        self.flows.insert(now, flow, unknown);
        Searched { question, searches: 0, wait }
    }

    /// Notes that a segment of an unknown flow waits for answers, so that the search for it
    /// has yet to begin. Returns the number of the first question about it; `None` if one
    /// waits already.
    pub fn wait(&mut self, now: Millis, flow: &flow::Key) -> Option<u32> {
        let known = self.flows.get(now, flow)?;
        let is_first = known.wait == Wait::Never;
        known.wait = Wait::Now;
        known.searches = known.searches.saturating_sub(u32::from(is_first));
        is_first.then_some(known.question)
    }

    /// Notes that no segment of a flow waits any more.
    pub fn end_wait(&mut self, now: Millis, flow: &flow::Key) {
        if let Some(known) = self.flows.get(now, flow) {
            known.wait = Wait::Over;
        }
    }

    /// Requests a question, or a repetition of it for the agents that have not answered.
    pub fn request(&mut self) {
        self.is_needed = true;
    }

    /// Forgets a flow that is not unknown any more.
    pub fn remove(&mut self, flow: &flow::Key) {
        self.flows.remove(flow);
    }

    /// Whether a question must be sent or repeated now, if there are `agents` agents. Counts
    /// it as sent.
    pub fn is_due(&mut self, now: Millis, agents: u64) -> bool {
        let interval_ms = INTERVAL_MS.max(agents * INTERVAL_PER_AGENT_MS);
        let is_allowed = self.sent_at.is_none_or(|at| now.since(at) >= interval_ms);
        if !self.is_needed || !is_allowed {
            return false;
        }
        self.sent += u32::from(std::mem::take(&mut self.is_new));
        self.sent_at = Some(now);
        self.is_needed = false;
        true
    }

    /// Removes flows that are no longer searched for.
    pub fn expire(&mut self, now: Millis) {
        self.flows.expire(now, RETENTION_MS);
    }
}
