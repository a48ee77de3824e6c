//! Releases segments that wait at an agent.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use lentilreach::process::link::Link;

use super::State;
use crate::process::agent::{Action, Release};
use crate::process::metric;
use crate::request::segment::Format;

/// Longest pause between two checks whether waiting openings can be released. The room of
/// the backend server also changes when a request that was expected doesn't arrive.
const RELEASE_INTERVAL_MS: u64 = 50;

impl<F: Format, L: Link> State<F, L> {
    /// Releases waiting openings that are due at a certain time.
    pub(super) async fn release_in_time(self: Arc<Self>) {
        // Never fails: the sender lives as long as the state, so the channel is not
        // closed.
        while self.hold_signal.1.recv().await.is_ok() {
            loop {
                let routing = self.node.routing();
                let now = self.node.now();
                let due = self.flows.write().next_release(now, &routing);
                let Some(due) = due else { break };
                let wait_ms = due.since(now).clamp(1, RELEASE_INTERVAL_MS);
                Timer::after(Duration::from_millis(wait_ms)).await;
                self.release();
            }
        }
    }

    /// Performs the actions for all openings that no longer wait.
    pub(super) fn release(&self) {
        let routing = self.node.routing();
        loop {
            let now = self.node.now();
            let released = {
                let roster = self.node.roster.read();
                self.flows.write().release(now, &routing, &roster)
            };
            let Some(Release { waiting, action }) = released else { break };
            let segment = &waiting.arrival.segment;
            let wait_ms = now.since(waiting.since);
            metric::record_ms(&metric::WAIT_SECONDS, wait_ms);
            log::info!(
                target: "released", flow:% = segment.flow_from_caller(), wait_ms = wait_ms,
                opening = segment.is_opening(),
                delivered = matches!(action, Action::Deliver { .. }); "segment no longer waits"
            );
            self.perform(segment, action, &waiting.bytes, routing.version);
        }
        self.release_postponed();
    }

    /// Goes on with the searches for which the answers of other agents have arrived.
    pub(super) fn release_postponed(&self) {
        let routing = self.node.routing();
        loop {
            let now = self.node.now();
            let released = {
                let roster = self.node.roster.read();
                self.flows.write().next_postponed(now, &routing, &roster)
            };
            let Some(Release { waiting, action }) = released else { return };
            let segment = &waiting.arrival.segment;
            metric::record_ms(&metric::SEARCH_WAIT_SECONDS, now.since(waiting.since));
            self.perform(segment, action, &waiting.bytes, routing.version);
        }
    }
}
