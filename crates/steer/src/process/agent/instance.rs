//! Follows the instances of the backend server: which one runs, and whether all of its flows
//! are known.

use lentilreach::process::clock::Millis;

use super::{Agent, Ended};
use crate::connection::flow;
use crate::connection::state::{Stage, State};
use crate::process::backend::record::{Heard, Instance, Record};
use crate::process::backend::{self, Report};
use crate::process::schedule::durations::Durations;
use crate::version::routing::Routing;

/// What an agent knows about flows of its backend server that it has no entry of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Knowledge {
    /// There may be some: an earlier process may have opened them.
    Partial,
    /// There are none, since no earlier process can have used this instance: none has recorded
    /// that, and the instance had not made the reports yet without which it is only used if it
    /// is recorded. One that another node still knows may have been opened between the start of
    /// the instance and its first report.
    Recorded,
    /// There are none: this process has recorded everything that could open one.
    Complete,
}

impl Agent {
    /// Whether a report names a service that the configuration doesn't have, and doesn't come
    /// from the instance that has reported last. Other writers may send anything, and a
    /// replacement ends all flows.
    pub fn is_foreign(&self, routing: &Routing, report: &Report) -> bool {
        let last = self.backend.report();
        let is_new = last.is_none_or(|last| !last.is_same_instance(report));
        is_new && routing.is_loaded() && routing.service(&report.service).is_none()
    }

    /// Whether a report names another service than that of a backend server which was running
    /// so recently that its address can't have been used again. It is ignored. But unless the
    /// backend server is heard again, the report is believed more than the clock of this
    /// process, which doesn't advance while its VM is suspended.
    pub fn is_premature(&mut self, now: Millis, report: &Report) -> bool {
        let last = self.backend.report();
        let is_other = last.is_some_and(|last| last.service != report.service);
        let is_premature = is_other && self.backend.is_trusted(now);
        if is_premature {
            self.backend.record_claim();
        }
        is_premature
    }

    /// Checks the service of a backend server that has reported against the configuration,
    /// which may not have been known yet.
    pub fn confirm_service(&mut self, routing: &Routing) {
        let report = self.backend.report();
        let is_known =
            report.is_some_and(|last| routing.service(&last.service).is_some());
        self.is_confirmed |= is_known;
    }

    /// Processes a report of the backend server. Returns the flows that ended with a
    /// previous instance of it.
    ///
    /// Neither the age of the backend server nor the number of its report shows that it
    /// started after this process: an earlier process of the agent may have delivered flows
    /// to it. Only an instance that replaces one which has reported to this process did, or
    /// one at whose address there was no process before. For others, the record in the store
    /// tells, see [`Self::update_knowledge`].
    pub fn report(
        &mut self,
        now: Millis,
        report: Report,
    ) -> (backend::Change, Vec<Ended>) {
        let had_reported = self.backend.report().is_some();
        let was_absent = !self.backend.may_be_running();
        let is_other_service =
            self.backend.report().is_some_and(|last| last.service != report.service);
        let last_report = self.backend.last_report();
        let change = self.backend.record_report(now, report);
        let mut ended = self.end_displaced();
        let backend::Change::Started { is_replacement } = change else {
            return (change, ended);
        };
        // Another instance may run at another speed.
        self.durations = Durations::default();
        let was_used = self.is_found_recorded();
        // A report that was not confirmed may have come from another writer.
        let was_confirmed = std::mem::replace(&mut self.is_confirmed, false);
        match is_replacement {
            true if was_confirmed && was_used => {
                self.knowledge = Knowledge::Partial;
                self.backend.forget_displaced();
            }
            // Its flows end once it is certain that it has ended.
            true if was_confirmed && self.backend.is_in_doubt() => {
                self.backend.record_later_start();
            }
            true if was_confirmed => {
                self.backend.record_later_start();
                ended.extend(self.end_previous(last_report, is_other_service));
            }
            true => self.backend.forget_displaced(),
            // It was taken for gone by mistake.
            false if had_reported => {
                self.knowledge = Knowledge::Partial;
                if self.forget_lost_flows() {
                    self.mark_incomplete(now);
                }
            }
            _ if was_absent => self.backend.record_later_start(),
            _ => {}
        }
        (change, ended)
    }

    /// Ends the flows of an instance that was still heard when another one reported, once it is
    /// certain that it has ended. Returns those that were open.
    fn end_displaced(&mut self) -> Vec<Ended> {
        let Some(displaced) = self.backend.take_ended() else { return Vec::new() };
        let report = self.backend.report();
        let is_other_service =
            report.is_some_and(|report| report.service != *displaced.service());
        self.end_previous(displaced.last_report(), is_other_service)
    }

    /// Ends the flows of a previous instance, which made its last report at a time. Returns
    /// those that were open.
    fn end_previous(
        &mut self,
        last_report: Millis,
        is_other_service: bool,
    ) -> Vec<Ended> {
        self.knowledge = if self.recorded_since <= last_report {
            Knowledge::Complete
        } else {
            Knowledge::Partial
        };
        // The new instance may have accepted those that were offered since, unless it runs
        // another service, which gets the address later.
        self.end_flows(|state| {
            let is_older = |offered_at| offered_at <= last_report;
            is_other_service || state.offered_at.is_none_or(is_older)
        })
    }

    /// Determines whether all flows of the backend server are known because they have been
    /// recorded for longer than any flow may be idle or may exist, or because the record in
    /// the store and the number of its first report show that no earlier process has used this
    /// instance. The service must have been confirmed for the latter: other writers may report
    /// any instance.
    pub fn update_knowledge(&mut self, now: Millis, routing: &Routing) {
        self.confirm_service(routing);
        let recorded_ms = now.since(self.recorded_since);
        let is_recorded_for_long = (routing.idle_ms > 0 && recorded_ms > routing.idle_ms)
            || recorded_ms > self.max_flow_age_ms;
        if is_recorded_for_long {
            self.knowledge = Knowledge::Complete;
        }
        let is_unused = self.instance().is_some_and(|i| self.found_record.excludes(&i));
        if self.knowledge == Knowledge::Partial
            && is_unused
            && self.backend.was_heard_early()
            && self.has_all_since_start
            && self.is_confirmed
            && !self.backend.is_in_doubt()
        {
            self.knowledge = Knowledge::Recorded;
        }
    }

    /// Processes the outcome of writing the record: what it said `before`, and what it says
    /// now. Only the first `before` tells what earlier processes have used. Returns whether
    /// other nodes should know the effect.
    pub fn record_written(
        &mut self,
        now: Millis,
        routing: &Routing,
        before: Record,
        after: Record,
    ) -> bool {
        let known = (self.is_use_evident(), self.knowledge);
        if self.found_record == Record::Unknown {
            self.found_record = before;
        }
        self.record = after;
        self.update_knowledge(now, routing);
        known != (self.is_use_evident(), self.knowledge)
    }

    /// The instance that has reported last.
    pub fn instance(&self) -> Option<Instance> {
        self.backend.report().map(Instance::from)
    }

    /// Whether the only report of the current instance may have been delayed until after its end,
    /// so that another service may have the address of the backend server by now.
    pub(super) fn may_have_ended(&self) -> bool {
        let is_superseded =
            |instance: Instance| self.found_record.may_supersede(&instance);
        !self.backend.has_reported_again() && self.instance().is_some_and(is_superseded)
    }

    /// What the registration needs to know of the instance that has reported last.
    pub fn heard(&self) -> Option<Heard> {
        let has_reported_again = self.backend.has_reported_again();
        Some(Heard { instance: self.instance()?, has_reported_again })
    }

    /// Whether openings may be delivered to the current instance: no later process takes it
    /// for unused, because of the record in the store or the number of its reports.
    pub fn is_use_evident(&self) -> bool {
        let Some(report) = self.backend.report() else { return true };
        !report.is_early() || self.record.covers(&Instance::from(report))
    }

    /// Whether the record named the current instance when this process started.
    fn is_found_recorded(&self) -> bool {
        self.instance().is_some_and(|instance| self.found_record.names(&instance))
    }

    /// Records a flow of the backend server. If another one has to be evicted for it, not
    /// all flows are known any more.
    pub(super) fn record_flow(&mut self, now: Millis, flow: flow::Key, state: State) {
        self.flows.insert(now, flow, state);
        if self.flows.evicted_at() == Some(now) {
            self.mark_incomplete(now);
            self.knowledge = Knowledge::Partial;
        }
    }

    /// Notes that flows from before a time may be missing.
    fn mark_incomplete(&mut self, now: Millis) {
        self.recorded_since = now;
        self.has_all_since_start = false;
    }

    /// Whether all flows of the backend server are known or there is no backend server.
    pub fn knows_all_flows(&self) -> bool {
        !self.may_hold_unknown_flows()
    }

    /// Whether the backend server has reported to this process lately.
    pub fn is_backend_heard(&self, now: Millis) -> bool {
        self.backend.report().is_some() && !self.backend.is_overdue(now)
    }

    /// Whether the backend server has reported to this process, or there is none.
    pub fn is_backend_known(&self) -> bool {
        self.backend.report().is_some() || !self.backend.may_be_running()
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
        self.knowledge = Knowledge::Complete;
        self.end_flows(|_| true)
    }

    /// Records that the backend server was running at a time, since it sent a segment.
    pub fn record_life(&mut self, at: Millis) {
        self.backend.record_life(at);
    }

    /// Whether a flow was offered to no other instance than the current one.
    pub(super) fn is_of_instance(&self, state: &State) -> bool {
        state.offered_at.is_none_or(|at| at >= self.backend.instance_since())
    }

    /// Whether the instance before the current one held a flow.
    pub(super) fn was_held_before(&self, state: &State) -> bool {
        let since = self.backend.instance_since();
        state.is_established() && state.offered_at.is_none_or(|at| at < since)
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
        self.pressure.tick(now, self.admission.queue().priorities());
        self.health.record_unanswered(overdue);
        self.health.tick(now);
        let mut ended = self.end_displaced();
        if self.backend.tick(now) {
            self.knowledge = Knowledge::Complete;
            ended.extend(self.end_flows(|_| true));
        }
        ended
    }

    /// Stops admitting openings, because the process is about to stop.
    pub fn stop(&mut self) {
        self.backend.stop();
    }

    /// Whether the backend server may hold flows that this agent doesn't know.
    pub(super) fn may_hold_unknown_flows(&self) -> bool {
        self.knowledge == Knowledge::Partial && self.backend.may_be_running()
    }

    /// Whether the backend server may hold a flow that this agent doesn't know.
    pub(super) fn may_hold_unknown_flow(
        &mut self,
        now: Millis,
        flow: &flow::Key,
    ) -> bool {
        self.may_hold_unknown_flows() && self.denied.get(now, flow).is_none()
    }

    /// Whether the backend server may hold a flow that this agent doesn't know, but that
    /// another node expects there.
    pub(super) fn may_hold_expected_flow(&self) -> bool {
        self.knowledge != Knowledge::Complete && self.backend.may_be_running()
    }

    /// Marks flows as ended with their backend server. Returns those that were open.
    fn end_flows(&mut self, has_ended: impl Fn(&State) -> bool) -> Vec<Ended> {
        let mut ended = Vec::new();
        let mut lost = Vec::new();
        let in_flight = &mut self.in_flight;
        self.flows.retain(|flow, state| {
            if state.stage == Stage::Held || !has_ended(state) {
                return true;
            }
            in_flight.remove(flow);
            lost.push(*flow);
            // The callers of all other flows may have chosen another backend server.
            let is_kept = state.is_established() || state.stage == Stage::Lost;
            if state.stage == Stage::Open {
                ended.push(Ended { flow: *flow, sequence: state.acknowledged });
            }
            state.stage = Stage::Lost;
            is_kept
        });
        for flow in &lost {
            self.discard(flow);
        }
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
