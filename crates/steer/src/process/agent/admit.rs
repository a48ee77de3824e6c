//! Admits openings: delivers them, lets them wait, offers them to another agent, or refuses
//! them.

use lentilreach::process::clock::Millis;

use super::{Action, Agent, Arrival, Cause, MAX_OPENING_FORWARDS, Stage, State};
use crate::process::backend;
use crate::process::roster::Roster;
use crate::process::schedule::admission::{Capacity, MAX_OPENING_AGE_MS, Verdict};
use crate::process::schedule::queue::{Job, Kind};
use crate::request::message::{self, BackendStatus};
use crate::request::placement::{self, Request};
use crate::version::routing::Routing;

impl Agent {
    /// Decides on an opening segment.
    pub(super) fn handle_opening(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
    ) -> Action {
        let flow = arrival.segment.flow_from_caller();
        let sequence = arrival.segment.sequence;
        match self.flows.get(now, &flow) {
            Some(state) if state.stage == Stage::Held => {
                return Action::Drop(Cause::Held);
            }
            Some(state) if state.is_opened_by(sequence) => {
                let state = *state;
                return self.handle_copy(now, routing, roster, arrival, &state);
            }
            // The caller gave up this opening, which may be older than the known flow.
            Some(_) if now > job(now, routing, arrival).give_up_at => {
                return Action::Drop(backend::Refusal::Expired.into());
            }
            // The caller uses the port again, so the flow before has ended for it.
            Some(_) => {
                self.flows.remove(&flow);
                self.in_flight.remove(&flow);
                self.discard(&flow);
            }
            None => {}
        }
        if now > job(now, routing, arrival).give_up_at {
            return self.refuse_opening(arrival, backend::Refusal::Expired.into());
        }
        match self.check(now, routing, arrival) {
            Ok(()) => {}
            // The balancer catches up before the caller's next copy.
            Err(Cause::Stale) => return Action::Drop(Cause::Stale),
            Err(cause) => {
                return self.redirect_or_refuse(now, routing, roster, arrival, cause);
            }
        }
        match self.admit(now, routing, roster, arrival) {
            Ok(Verdict::Deliver) => self.deliver_opening(now, routing, arrival),
            Ok(_) => Action::Hold { notify: Some(arrival.forwarding.origin) },
            Err(refusal) => {
                self.redirect_or_refuse(now, routing, roster, arrival, refusal.into())
            }
        }
    }

    /// Decides on a copy of an opening that was delivered.
    ///
    /// What was decided on the opening holds for the instance of the backend server that it
    /// was decided for, and for no other one. Unless that instance has accepted the flow, the
    /// copy may be the first that it gets, so it counts as an opening while it is cold.
    fn handle_copy(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
        state: &State,
    ) -> Action {
        let is_of_instance = self.is_of_instance(state);
        if state.stage == Stage::Lost || (state.is_established() && !is_of_instance) {
            return Action::Drop(Cause::Lost);
        }
        let is_decided = is_of_instance && self.backend.is_trusted(now);
        if is_decided && state.stage != Stage::Offered {
            return self.deliver(now, arrival, false);
        }
        if !is_decided {
            match self.check(now, routing, arrival) {
                Ok(()) => {}
                Err(Cause::Stale) => return Action::Drop(Cause::Stale),
                Err(cause) => {
                    return self.redirect_or_refuse(now, routing, roster, arrival, cause);
                }
            }
        }
        let rate = self.cold_rate(routing);
        if self.backend.opening_at(now, 0, rate).is_none_or(|at| at > now) {
            let cause = backend::Refusal::Cold.into();
            let action = self.redirect_or_refuse(now, routing, roster, arrival, cause);
            // The backend server has probably accepted the flow, and its answer was lost.
            let is_redirected = matches!(action, Action::Forward { .. });
            return if is_redirected { action } else { Action::Drop(cause) };
        }
        self.record_delivery(now, routing, arrival);
        self.deliver(now, arrival, false)
    }

    /// The state of the backend server to advertise; `None` before its first report.
    pub fn backend_status(
        &mut self,
        now: Millis,
        routing: &Routing,
        balancers: u32,
    ) -> Option<BackendStatus<'static>> {
        let (open, busy) = self.load(now);
        let is_limited = self.cold_rate(routing).is_some();
        let stage = match self.backend.stage(now)? {
            _ if self.may_have_ended() || !self.is_use_evident() => {
                message::Stage::Closed
            }
            message::Stage::Cold if !is_limited => message::Stage::Ready,
            stage => stage,
        };
        let report = self.backend.report()?;
        // How much slower a cold backend server is isn't known.
        let is_slow = self.backend.is_cold(now) && !is_limited;
        let slots = if is_slow { report.slots.div_ceil(2) } else { report.slots };
        Some(BackendStatus {
            service: report.service.to_string().into(),
            stage,
            open: open + self.admission.queue().openings() as u32,
            busy,
            slots,
            lifetime_ms: self.lifetime.ms(),
            is_failing: self.health.is_failing(now),
            balancers,
        })
    }

    /// Checks whether the backend server may get an opening at all.
    pub(super) fn check(
        &self,
        now: Millis,
        routing: &Routing,
        arrival: &Arrival,
    ) -> Result<(), Cause> {
        let flow = arrival.segment.flow_from_caller();
        let forwarding = &arrival.forwarding;
        if forwarding.version.max(routing.version) < self.min_version {
            return Err(Cause::Stale);
        }
        let Some(report) = self.backend.report() else {
            return Err(backend::Refusal::Unknown.into());
        };
        // The newer of the two configurations, the agent's and the balancer's, decides.
        let is_allowed = if routing.version >= forwarding.version {
            routing.allows(flow.service, &report.service)
        } else {
            arrival.service.as_ref() == Some(&report.service)
        };
        if !is_allowed {
            return Err(Cause::Route);
        }
        if routing.is_out(&self.domain) {
            return Err(Cause::DomainOut);
        }
        if !self.is_use_evident() {
            return Err(backend::Refusal::Unrecorded.into());
        }
        if self.may_have_ended() {
            return Err(backend::Refusal::Unknown.into());
        }
        let service = routing.service(&report.service);
        let connections = service.map_or(u32::MAX, |service| service.connections);
        Ok(self.backend.check(now, self.open, connections)?)
    }

    /// Decides whether an opening is delivered now or waits.
    ///
    /// # Errors
    /// If it should be offered to another agent, or refused if there is none.
    fn admit(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
    ) -> Result<Verdict, backend::Refusal> {
        let job = job(now, routing, arrival);
        let rate = self.cold_rate(routing);
        let ahead = self.admission.queue().openings();
        let allowed_at = self.backend.opening_at(now, ahead, rate);
        if allowed_at.is_none_or(|at| at > now) {
            let can_wait = allowed_at.is_some_and(|at| at <= job.give_up_at);
            return if can_wait && !self.has_ready_alternative(routing, roster) {
                Ok(Verdict::Wait)
            } else {
                Err(backend::Refusal::Cold)
            };
        }
        let capacity = self.capacity(now);
        // Openings whose request is expected may be for later.
        let is_taken = self.in_flight.requests(now) >= capacity.slots;
        if (is_taken || self.is_slow(roster))
            && self.is_sooner_elsewhere(now, routing, roster, arrival)
        {
            return Err(backend::Refusal::Busy);
        }
        let verdict = match self.admission.decide(now, &job, capacity, true) {
            Verdict::Offer if !self.can_offer(now, routing, roster, arrival, &job) => {
                self.admission.decide(now, &job, capacity, false)
            }
            verdict => verdict,
        };
        match verdict {
            Verdict::Deliver => {
                self.admission.charge(now, &job);
                self.pressure.record(job.priority, 0);
                Ok(verdict)
            }
            Verdict::Wait => Ok(verdict),
            Verdict::Offer => Err(backend::Refusal::Busy),
            Verdict::Refuse => {
                self.admission.charge(now, &job);
                Err(backend::Refusal::Busy)
            }
        }
    }

    /// Delivers an opening and counts it.
    pub(super) fn deliver_opening(
        &mut self,
        now: Millis,
        routing: &Routing,
        arrival: &Arrival,
    ) -> Action {
        let flow = arrival.segment.flow_from_caller();
        self.record_delivery(now, routing, arrival);
        self.lifetime.record_opening();
        self.durations.record_opening(flow.service);
        self.admission.record_delivery();
        self.open += 1;
        self.denied.remove(&flow);
        self.in_flight.open(now, flow);
        self.record_flow(now, flow, State::offered(now, arrival.segment.sequence));
        self.deliver(now, arrival, true)
    }

    /// Counts an opening, or a copy of one, that is delivered now.
    fn record_delivery(&mut self, now: Millis, routing: &Routing, arrival: &Arrival) {
        let version = arrival.forwarding.version.max(routing.version);
        self.min_version = self.min_version.max(version);
        self.backend.record_opening(now);
    }

    /// The load of the backend server.
    pub(super) fn capacity(&mut self, now: Millis) -> Capacity {
        let slots = self.backend.report().map_or(1, |report| report.slots);
        Capacity { slots, in_flight: self.in_flight.count(now) }
    }

    /// Requests per second that the backend server can handle while it is cold; `None` if
    /// no rate is stated. Zero if this process doesn't know the service, because it has read no
    /// configuration or an older one than the balancers.
    pub(super) fn cold_rate(&self, routing: &Routing) -> Option<f64> {
        let report = self.backend.report()?;
        let Some(service) = routing.service(&report.service) else { return Some(0.0) };
        let rate = service.cold_per_s;
        (rate > 0.0 || self.backend.bounds().limits_zero_rate).then_some(rate)
    }

    /// Whether another agent accepts flows of the same service without a rate limit.
    fn has_ready_alternative(&self, routing: &Routing, roster: &Roster) -> bool {
        let service = self.backend.report().map(|report| &*report.service);
        service.is_some_and(|service| {
            placement::has_ready_agent(routing, roster, service, &[self.address])
        })
    }

    /// Whether an opening can be offered to another agent that may answer it in time.
    fn can_offer(
        &self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
        job: &Job,
    ) -> bool {
        let choice = self.other_choice(now, routing, roster, arrival);
        let there_ms = choice.and_then(|choice| choice.completion_ms);
        if there_ms.is_some_and(|ms| now.after(ms as u64) > job.due_at) {
            return false;
        }
        let refuse = self.redirect_or_refuse(now, routing, roster, arrival, Cause::Held);
        matches!(refuse, Action::Forward { .. })
    }

    /// Forwards an opening segment to another agent, or refuses it if there is none left.
    pub(super) fn redirect_or_refuse(
        &self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
        arrival: &Arrival,
        cause: Cause,
    ) -> Action {
        let flow = arrival.segment.flow_from_caller();
        let mut forwarding = arrival.forwarding.clone();
        forwarding.tried.push(self.address);
        forwarding.hops += 1;
        if forwarding.tried.len() > MAX_OPENING_FORWARDS {
            return self.refuse_opening(arrival, cause);
        }
        // An older configuration doesn't decide where a flow goes that was sent by a newer one.
        let service = if routing.version >= forwarding.version {
            forwarding.version = routing.version;
            let service = placement::choose_service(routing, &flow);
            service.and_then(|service| routing.service(service)).map(|s| s.name.clone())
        } else {
            arrival.service.clone()
        };
        let Some(service) = service else { return self.refuse_opening(arrival, cause) };
        let priority = routing.route(flow.service).map_or(0, |route| route.priority);
        if roster.floor(&service).is_some_and(|floor| priority > floor) {
            return self.refuse_opening(arrival, Cause::Overloaded);
        }
        let domain = self.origin_domain(roster, &forwarding);
        let request = Request { flow: &flow, service: &service, domain };
        match placement::choose_agent(now, routing, roster, request, &forwarding.tried) {
            Some(to) => Action::Forward { to, forwarding, service: Some(service), cause },
            None => self.refuse_opening(arrival, cause),
        }
    }

    /// Refuses an opening that no backend server has received.
    pub(super) fn refuse_opening(&self, arrival: &Arrival, cause: Cause) -> Action {
        Action::Refuse { sequence: 0, notify: Some(arrival.forwarding.origin), cause }
    }
}

/// Describes an opening, or a request on an open flow, for
/// [`crate::process::schedule::admission`].
pub(super) fn job(now: Millis, routing: &Routing, arrival: &Arrival) -> Job {
    let flow = arrival.segment.flow_from_caller();
    let age_ms = arrival.segment.age_ms + u64::from(arrival.forwarding.delay_ms);
    let sent_at = Millis(now.0.saturating_sub(age_ms));
    let route = routing.route(flow.service);
    let (objective_ms, priority) =
        route.map_or((0, u8::MAX), |route| (route.objective_ms, route.priority));
    let deadline_ms = route.and_then(|route| route.deadline_ms);
    let (kind, give_up_ms) = if arrival.segment.is_opening() {
        (Kind::Opening, MAX_OPENING_AGE_MS)
    } else {
        (Kind::Request, deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS))
    };
    Job {
        flow,
        kind,
        priority,
        sent_at,
        due_at: sent_at.after(objective_ms),
        give_up_at: sent_at.after(give_up_ms),
    }
}

/// Time for which a request on an open flow may wait if its route states no deadline, in
/// milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 2_000;
