//! Keeps segments that arrive before the process knows the configuration and the members.
//!
//! Such a process can neither find the agent that holds a flow nor offer an opening to
//! another one, and callers retransmit a segment only after hundreds of milliseconds.
//!
//! A segment on a walk waits for the first report of the backend server, too. Until then the
//! agent can't tell whether the backend server may get it, and would send it on to all others
//! although its flow may be here.

use std::sync::Arc;

use lentilreach::process::clock::Millis;
use lentilreach::process::link::Link;
use lentilreach::process::lock::Ranked;
use lentilreach::process::tables;

use super::State;
use crate::process::driver::sleep;
use crate::process::metric;
use crate::request::message::{Envelope, Message, Search};
use crate::request::segment::Format;

/// Maximum number of segments to keep. Each takes up to 1.6 kB.
const LIMIT: usize = 1_024;

/// Time after the start within which a backend server that runs has usually reported, in
/// milliseconds. Callers send a segment again after that.
const REPORT_WAIT_MS: u64 = 1_200;

/// Interval at which it is checked whether the backend server has reported, in milliseconds.
const REPORT_POLL_MS: u64 = 10;

/// A message with a segment that waits for the process to be ready.
#[derive(Debug)]
struct Waiting {
    /// The encoded message.
    bytes: Vec<u8>,
    /// When it arrived.
    since: Millis,
}

/// The segments that wait for the process to be ready.
#[derive(Debug)]
pub(super) struct Startup {
    /// Segments for other agents, which wait for the configuration and the members.
    searches: Queue,
    /// Segments on a walk, which wait for the backend server as well.
    walks: Queue,
}

impl Startup {
    /// Creates the state of a process that has just started.
    pub fn new() -> Self {
        Self { searches: Queue::new(), walks: Queue::new() }
    }
}

/// Segments that wait for the same.
#[derive(Debug)]
struct Queue {
    /// In the order of their arrival; `None` once they needn't wait any more.
    waiting: Ranked<Option<Vec<Waiting>>>,
}

impl Queue {
    /// Creates an empty queue.
    fn new() -> Self {
        Self { waiting: Ranked::new(tables::LEDGER, Some(Vec::new())) }
    }

    /// Keeps a message if its segment has to wait. Returns whether that is the case.
    fn keep(&self, now: Millis, bytes: &[u8]) -> bool {
        let mut waiting = self.waiting.write();
        let Some(waiting) = waiting.as_mut() else { return false };
        if waiting.len() >= LIMIT {
            return false;
        }
        waiting.push(Waiting { bytes: bytes.to_vec(), since: now });
        true
    }

    /// Ends the wait. Returns the segments that have waited.
    fn end(&self) -> Vec<Waiting> {
        self.waiting.write().take().unwrap_or_default()
    }
}

impl<F: Format, L: Link> State<F, L> {
    /// Keeps a message with a segment if the process can't decide on it yet. Returns whether
    /// that is the case. Segments that the sender expects at the own backend server don't wait.
    pub(super) fn wait_for_startup(&self, envelope: &Envelope<'_>, bytes: &[u8]) -> bool {
        let queue = match envelope.search {
            Search::Open | Search::Home(_) | Search::Fallback => &self.startup.searches,
            Search::Walk => &self.startup.walks,
            Search::Known | Search::Indexed => return false,
        };
        let is_kept = queue.keep(self.node.now(), bytes);
        if is_kept {
            metric::count(&metric::KEPT);
        }
        is_kept
    }

    /// Waits until the process is ready, and then for the backend server, each for a limited
    /// time, and decides on the segments that have arrived meanwhile.
    pub(super) async fn start_up(self: Arc<Self>) {
        let start = self.node.now();
        self.node.wait_until_ready().await;
        self.decide(self.startup.searches.end());
        while !self.flows.read().is_backend_known()
            && self.node.now().since(start) < REPORT_WAIT_MS
        {
            sleep(REPORT_POLL_MS).await;
        }
        self.decide(self.startup.walks.end());
    }

    /// Decides on segments that have waited.
    fn decide(self: &Arc<Self>, waiting: Vec<Waiting>) {
        for Waiting { bytes, since } in waiting {
            let Some(Message::Segment(mut envelope)) = Message::decode(&bytes) else {
                continue;
            };
            let wait_ms = self.node.now().since(since);
            let wait_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
            envelope.delay_ms = envelope.delay_ms.saturating_add(wait_ms);
            self.clone().handle_caller_segment(&envelope);
        }
    }
}
