//! Tracks opening flows at their home agent.
//!
//! Balancers with different load reports order the candidates of a flow differently, so copies
//! of its opening packet could reach different agents, and each would respond. The caller
//! would then acknowledge packets of one agent to the other, which aborts the handshake. All
//! copies are therefore sent first to the flow's home agent, which depends only on the flow
//! and the membership. It sends the first copy to the candidates and later ones to the agent
//! that admitted the flow.

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::connection::flow;
use crate::process::clock::Millis;

/// Maximum number of flows in each of the two generations.
const MAX_FLOWS_PER_GENERATION: usize = 8_192;

/// Time for which a flow is tracked, in milliseconds. Copies arrive until the handshake is
/// complete.
const RETENTION_MS: u64 = 10_000;

/// Time within which copies go to the same candidates as the first packet, in milliseconds.
/// After that the first packet is assumed lost, perhaps with an agent that failed.
///
/// Callers first retransmit after a second (RFC 9002, section 6.2.2).
const SAME_CANDIDATES_MS: u64 = 900;

/// The opening flows of which an agent is the home.
#[derive(Debug, Default)]
pub struct Directory {
    /// Sorted by flow, without duplicates; at most [`MAX_FLOWS_PER_GENERATION`].
    current: Vec<Entry>,
    /// The previous generation of `current`.
    previous: Vec<Entry>,
    /// When `current` became the current generation.
    current_since: Millis,
}

/// The destination of an opening packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Destination {
    /// These candidates in their order.
    Candidates(Arc<[SocketAddrV4]>),
    /// The agent that admitted the flow.
    Agent(SocketAddrV4),
}

/// An opening flow.
#[derive(Debug, Clone)]
struct Entry {
    /// The flow.
    flow: flow::Key,
    /// When the first packet was sent to `candidates`.
    sent: Millis,
    /// The candidates.
    candidates: Arc<[SocketAddrV4]>,
    /// The agent that admitted the flow, once known.
    admitted_by: Option<SocketAddrV4>,
}

impl Directory {
    /// Returns the destination of an opening packet with these candidates and records a new
    /// one.
    ///
    /// A ClientHello may span two datagrams, in which case a second packet immediately follows
    /// the first.
    pub fn lookup(
        &mut self,
        now: Millis,
        flow: flow::Key,
        candidates: &[SocketAddrV4],
    ) -> Destination {
        match self.find(now, flow) {
            Some(Entry { admitted_by: Some(agent), .. }) => Destination::Agent(*agent),
            Some(entry) if now.since(entry.sent) < SAME_CANDIDATES_MS => {
                Destination::Candidates(entry.candidates.clone())
            }
            _ => {
                let candidates: Arc<[_]> = candidates.into();
                let destination = Destination::Candidates(candidates.clone());
                self.insert(
                    now,
                    Entry { flow, sent: now, candidates, admitted_by: None },
                );
                destination
            }
        }
    }

    /// Records which agent admitted a flow. The first one is kept: its response is already on
    /// the way.
    pub fn record_admitted(&mut self, now: Millis, flow: flow::Key, agent: SocketAddrV4) {
        if self.find(now, flow).is_none_or(|entry| entry.admitted_by.is_none()) {
            let candidates = Arc::default();
            self.insert(
                now,
                Entry { flow, sent: now, candidates, admitted_by: Some(agent) },
            );
        }
    }

    /// The entry of a flow, unless it has expired.
    fn find(&self, now: Millis, flow: flow::Key) -> Option<&Entry> {
        [&self.current, &self.previous].into_iter().find_map(|entries| {
            let at = entries.binary_search_by_key(&flow, |entry| entry.flow).ok()?;
            (now.since(entries[at].sent) < RETENTION_MS).then_some(&entries[at])
        })
    }

    /// Inserts an entry. A full or expired generation becomes the previous one.
    fn insert(&mut self, now: Millis, entry: Entry) {
        if self.current.len() >= MAX_FLOWS_PER_GENERATION
            || now.since(self.current_since) >= RETENTION_MS
        {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        match self.current.binary_search_by_key(&entry.flow, |other| other.flow) {
            Ok(at) => self.current[at] = entry,
            Err(at) => self.current.insert(at, entry),
        }
    }
}
