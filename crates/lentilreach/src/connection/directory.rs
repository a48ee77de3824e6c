//! Where opening flows have gone, as kept by the home of each flow.
//!
//! Balancers with different reports of load order the candidates of a flow differently, so
//! copies of its opening packet would reach different agents and each would answer. The
//! caller would then acknowledge packets of one at the other, which ends the handshake. All
//! copies therefore go to the flow's home first: an agent that depends on the flow and the
//! membership alone. It sends the first copy to the candidates and later ones to the agent
//! that took the flow.

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::connection::flow;
use crate::process::clock::Millis;

/// Flows remembered at most in each of the two generations.
const REMEMBERED: usize = 8_192;

/// Time for which a flow is remembered, in milliseconds. Copies come until the handshake is
/// over.
const KEEP_MS: u64 = 10_000;

/// Time within which copies follow the first packet over the same candidates, in
/// milliseconds. After that the first is lost, perhaps with an agent that died.
///
/// Callers send again after a second at first (RFC 9002, section 6.2.2).
const SAME_MS: u64 = 900;

/// Opening flows at their home.
#[derive(Debug, Default)]
pub struct Directory {
    /// Sorted by flow, without duplicates; at most [`REMEMBERED`].
    young: Vec<Entry>,
    /// The previous `young`.
    old: Vec<Entry>,
    /// When the first entry of `young` was made.
    since: Millis,
}

/// Where an opening packet is to go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Way {
    /// To these candidates in their order.
    Candidates(Arc<[SocketAddrV4]>),
    /// To the agent that took the flow.
    Taken(SocketAddrV4),
}

/// A flow that was sent to candidates.
#[derive(Debug, Clone)]
struct Entry {
    /// The flow.
    flow: flow::Key,
    /// When the first packet was sent to `candidates`.
    sent: Millis,
    /// The candidates.
    candidates: Arc<[SocketAddrV4]>,
    /// The agent that took it, once known.
    taker: Option<SocketAddrV4>,
}

impl Directory {
    /// Decides where an opening packet with these candidates goes, and takes note of it.
    ///
    /// A client hello may fill two datagrams, so a second packet follows the first at once.
    pub fn look(
        &mut self,
        now: Millis,
        flow: flow::Key,
        candidates: &[SocketAddrV4],
    ) -> Way {
        match self.find(now, flow) {
            Some(Entry { taker: Some(agent), .. }) => Way::Taken(*agent),
            Some(entry) if now.since(entry.sent) < SAME_MS => {
                Way::Candidates(entry.candidates.clone())
            }
            _ => {
                let candidates: Arc<[_]> = candidates.into();
                let way = Way::Candidates(candidates.clone());
                self.insert(now, Entry { flow, sent: now, candidates, taker: None });
                way
            }
        }
    }

    /// Notes which agent took a flow. The first one stays: its answer is on its way.
    pub fn settle(&mut self, now: Millis, flow: flow::Key, agent: SocketAddrV4) {
        if self.find(now, flow).is_none_or(|entry| entry.taker.is_none()) {
            let candidates = Arc::default();
            self.insert(now, Entry { flow, sent: now, candidates, taker: Some(agent) });
        }
    }

    /// The entry of a flow, unless it is too old.
    fn find(&self, now: Millis, flow: flow::Key) -> Option<&Entry> {
        [&self.young, &self.old].into_iter().find_map(|entries| {
            let at = entries.binary_search_by_key(&flow, |entry| entry.flow).ok()?;
            (now.since(entries[at].sent) < KEEP_MS).then_some(&entries[at])
        })
    }

    /// Records an entry. A full generation pushes out the one before it.
    fn insert(&mut self, now: Millis, entry: Entry) {
        if self.young.len() >= REMEMBERED || now.since(self.since) >= KEEP_MS {
            self.old = std::mem::take(&mut self.young);
            self.since = now;
        }
        match self.young.binary_search_by_key(&entry.flow, |other| other.flow) {
            Ok(at) => self.young[at] = entry,
            Err(at) => self.young.insert(at, entry),
        }
    }
}
