//! Follows the instances of the backend server: which one runs, and whether all of its flows
//! are known.

use lentilreach::process::clock::Millis;

use super::{Agent, Ended};
use crate::connection::flow;
use crate::connection::state::{Stage, State};
use crate::process::backend::{self, Report};
use crate::version::routing::Routing;

/// Minimum time between the end of an agent's process and the moment when its successor
/// delivers segments, in milliseconds: it has to start and to read the configuration. A
/// backend server that started at most this long before its agent can't hold flows that
/// an earlier process of the agent delivered.
const MIN_RESTART_MS: u64 = 1_000;

impl Agent {
    /// Whether a report would replace a backend server that reports in time by another one
    /// with a service that the configuration doesn't have. Other writers may send anything,
    /// and a replacement ends all flows.
    pub fn is_foreign(&self, now: Millis, routing: &Routing, report: &Report) -> bool {
        let is_replacement =
            self.backend.report().is_some_and(|last| !last.is_same_instance(report));
        is_replacement
            && !self.backend.is_overdue(now)
            && !self.backend.is_leaving()
            && routing.is_loaded()
            && routing.service(&report.service).is_none()
    }

    /// Processes a report of the backend server. Returns the flows that ended with a
    /// previous instance of it.
    pub fn report(
        &mut self,
        now: Millis,
        report: Report,
    ) -> (backend::Change, Vec<Ended>) {
        let is_initial = report.is_initial();
        let last_report = self.backend.last_report();
        let change = self.backend.record_report(now, report);
        let mut ended = Vec::new();
        if let backend::Change::Started { is_replacement } = change {
            self.knows_all_flows = is_initial;
            if is_replacement {
                // The new instance may have accepted those that were offered since.
                ended = self.end_flows(|state| {
                    state.offered_at.is_none_or(|offered_at| offered_at <= last_report)
                });
            } else if self.forget_lost_flows() {
                self.recorded_since = now;
            }
        }
        (change, ended)
    }

    /// Determines whether all flows of the backend server are known. That is the case if
    /// the backend server started too late to have other flows, or if all flows have been
    /// recorded for longer than any flow may be idle or may exist.
    pub fn update_knows_all_flows(&mut self, now: Millis, routing: &Routing) {
        let service = self.backend.report().and_then(|r| routing.service(&r.service));
        let age_ms =
            service.and_then(|service| self.backend.age_ms(now, service.cold_ms));
        let recorded_ms = now.since(self.recorded_since);
        let is_recorded = |age_ms| age_ms <= recorded_ms + MIN_RESTART_MS;
        self.knows_all_flows |= (self.recorded_since == self.start
            && age_ms.is_some_and(is_recorded))
            || (routing.idle_ms > 0 && recorded_ms > routing.idle_ms)
            || recorded_ms > self.max_flow_age_ms;
    }

    /// Records a flow of the backend server. If another one has to be evicted for it, not
    /// all flows are known any more.
    pub(super) fn record_flow(&mut self, now: Millis, flow: flow::Key, state: State) {
        self.flows.insert(now, flow, state);
        if self.flows.evicted_at() == Some(now) {
            self.recorded_since = now;
            self.knows_all_flows = false;
        }
    }

    /// Whether all flows of the backend server are known or there is no backend server.
    pub fn knows_all_flows(&self) -> bool {
        !self.may_hold_unknown_flows()
    }

    /// Whether there is no backend server next to this agent.
    pub fn has_no_backend(&self) -> bool {
        self.backend.is_leaving() || !self.backend.may_be_running()
    }

    /// Whether a probe must show now if the backend server is running.
    pub fn is_probe_due(&mut self) -> bool {
        self.backend.is_probe_due()
    }

    /// Records that a probe which began at `since` found no process at the address of the
    /// backend server. Returns the flows that ended with it, each of them once.
    pub fn record_absence(&mut self, since: Millis) -> Vec<Ended> {
        if !self.backend.record_absence(since) {
            return Vec::new();
        }
        self.knows_all_flows = true;
        self.end_flows(|_| true)
    }

    /// Records that the backend server is shutting down. Returns whether it is the
    /// current one.
    pub fn record_leave(&mut self, now: Millis, id: &str) -> bool {
        self.backend.record_leave(now, id)
    }

    /// Detects whether the backend server is gone as it had said. Returns the flows that
    /// ended with it, each of them once.
    pub fn tick(&mut self, now: Millis) -> Vec<Ended> {
        self.count_open();
        self.lifetime.tick(self.open);
        let overdue_ms = self.admission.overdue_ms();
        let overdue = self.in_flight.mark_overdue(now, overdue_ms);
        self.health.record_unanswered(overdue);
        self.health.tick(now);
        if !self.backend.tick(now) {
            return Vec::new();
        }
        self.knows_all_flows = true;
        self.end_flows(|_| true)
    }

    /// Stops admitting openings, because the process is about to stop.
    pub fn stop(&mut self) {
        self.backend.stop();
    }

    /// Whether the backend server may hold flows that this agent doesn't know.
    pub(super) fn may_hold_unknown_flows(&self) -> bool {
        !self.knows_all_flows && self.backend.may_be_running()
    }

    /// Marks flows as ended with their backend server. Returns those that were open.
    fn end_flows(&mut self, has_ended: impl Fn(&State) -> bool) -> Vec<Ended> {
        let mut ended = Vec::new();
        let in_flight = &mut self.in_flight;
        self.flows.retain(|flow, state| {
            if state.stage == Stage::Held || !has_ended(state) {
                return true;
            }
            in_flight.remove(flow);
            // The callers of all other flows may have chosen another backend server.
            let is_kept = state.is_established() || state.stage == Stage::Lost;
            if state.stage == Stage::Open {
                ended.push(Ended { flow: *flow, sequence: state.acknowledged });
            }
            state.stage = Stage::Lost;
            is_kept
        });
        ended
    }

    /// Forgets the flows of a backend server that was considered gone by mistake and may
    /// still hold them. Returns whether there were any.
    fn forget_lost_flows(&mut self) -> bool {
        let mut had_any = false;
        self.flows.retain(|_, state| {
            let is_lost = state.stage == Stage::Lost;
            had_any |= is_lost;
            !is_lost
        });
        had_any
    }
}
