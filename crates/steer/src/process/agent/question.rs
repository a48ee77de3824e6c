//! Questions of a home node to the other agents.
//!
//! What an agent said before a flow was opened proves nothing about the flow. A home node
//! that doesn't know a flow therefore asks all agents for a heartbeat, and only takes a
//! flow for ended if each of them has answered that question.

use lentilreach::process::clock::Millis;

use crate::connection::flow;
use crate::connection::table::Table;

/// Minimum interval between questions, in milliseconds. Callers retransmit after 200 ms.
const INTERVAL_MS: u64 = 100;

/// Time after which an unknown flow that is no longer searched for is forgotten, in
/// milliseconds. Callers retransmit every 1.6 s at least.
const RETENTION_MS: u64 = 3_000;

/// The questions that were sent, and the flows that they are about.
#[derive(Debug)]
pub(super) struct Questions {
    /// Number of the last question; 0 before the first one.
    sent: u32,
    /// When it was sent.
    sent_at: Option<Millis>,
    /// Whether another question is needed.
    is_needed: bool,
    /// Unknown flows with the number of the first question that was sent after the first
    /// search for them.
    flows: Table<u32>,
}

impl Questions {
    /// Creates the state for approximately `limit` unknown flows.
    pub fn new(limit: usize) -> Self {
        Self { sent: 0, sent_at: None, is_needed: false, flows: Table::new(limit) }
    }

    /// Number of the last question.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// The number of the first question about an unknown flow. It may not have been sent
    /// yet.
    pub fn number(&mut self, now: Millis, flow: &flow::Key) -> u32 {
        if let Some(number) = self.flows.get(now, flow) {
            return *number;
        }
        let number = self.sent + 1;
        self.flows.insert(now, *flow, number);
        number
    }

    /// Requests another question, because some agents have not answered.
    pub fn request(&mut self) {
        self.is_needed = true;
    }

    /// Forgets a flow that is not unknown any more.
    pub fn remove(&mut self, flow: &flow::Key) {
        self.flows.remove(flow);
    }

    /// Whether a question must be sent now. Counts it as sent.
    pub fn is_due(&mut self, now: Millis) -> bool {
        let is_allowed = self.sent_at.is_none_or(|at| now.since(at) >= INTERVAL_MS);
        if !self.is_needed || !is_allowed {
            return false;
        }
        self.sent += 1;
        self.sent_at = Some(now);
        self.is_needed = false;
        true
    }

    /// Removes flows that are no longer searched for.
    pub fn expire(&mut self, now: Millis) {
        self.flows.expire(now, RETENTION_MS);
    }
}
