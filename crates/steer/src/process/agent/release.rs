//! Lets segments wait, and releases them when the backend server has room.

use lentilreach::process::clock::Millis;

use super::{Action, Agent, Arrival, Cause, Release, Stage, State, Waiting};
use crate::process::roster::Roster;
use crate::process::schedule::queue::{Job, Kind};
use crate::request::message;
use crate::version::routing::Routing;

impl Agent {
    /// Lets a segment wait for which [`Action::Hold`] was returned. Must be called before
    /// any other segment is processed.
    pub fn hold(
        &mut self,
        now: Millis,
        routing: &Routing,
        arrival: Arrival,
        bytes: Vec<u8>,
    ) {
        if arrival.segment.is_opening() {
            let job = super::admit::job(now, routing, &arrival);
            self.record_flow(now, job.flow, State::new(Stage::Held));
            let waiting = Waiting { arrival, bytes, since: now };
            self.admission.insert(now, job, vec![waiting]);
        } else {
            self.hold_request(now, routing, arrival, bytes);
        }
        self.record_backlog(now);
    }

    /// Returns the next segment that no longer waits. Must be called until it returns
    /// `None` whenever the backend server has answered, and at the time that
    /// [`Self::next_release`] returns.
    pub fn release(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
    ) -> Option<Release> {
        if let Some(waiting) = self.released.pop_front() {
            let action = self.deliver(now, &waiting.arrival, false);
            return Some(Release { waiting, action });
        }
        if self.admission.queue().is_empty() {
            return None;
        }
        if let Some((job, segments)) = self.admission.next_expired(now) {
            return self.expire_job(now, &job, segments);
        }
        // All openings leave if the backend server can't be given any.
        let is_closed =
            self.backend.stage(now).is_none_or(|s| s == message::Stage::Closed);
        let is_closed = is_closed || routing.is_out(&self.domain);
        if is_closed && let Some((_, segments)) = self.admission.pop(Kind::Opening) {
            let waiting = segments.into_iter().next()?;
            self.end_hold(now, &waiting.arrival);
            let arrival = &waiting.arrival;
            let action =
                self.redirect_or_refuse(now, routing, roster, arrival, Cause::Held);
            return Some(Release { waiting, action });
        }
        // Requests can't be given to another agent.
        if self.backend.is_stopping()
            && let Some((_, segments)) = self.admission.pop(Kind::Request)
        {
            self.release_segments(segments);
            return self.release(now, routing, roster);
        }
        let rate = self.cold_rate(routing);
        let is_limited = self.backend.opening_at(now, 0, rate).is_none_or(|at| at > now);
        let kind = is_limited.then_some(Kind::Request);
        let capacity = self.capacity(now);
        let (job, segments) = self.admission.next(now, capacity, kind)?;
        let wait_ms = segments.first().map_or(0, |waiting| now.since(waiting.since));
        self.pressure.record(job.priority, wait_ms);
        if job.kind == Kind::Request {
            self.admission.record_delivery();
            self.release_segments(segments);
            return self.release(now, routing, roster);
        }
        let waiting = segments.into_iter().next()?;
        let action = match self.check(now, routing, &waiting.arrival) {
            Ok(()) => self.deliver_opening(now, routing, &waiting.arrival),
            Err(cause) => {
                self.end_hold(now, &waiting.arrival);
                self.redirect_or_refuse(now, routing, roster, &waiting.arrival, cause)
            }
        };
        Some(Release { waiting, action })
    }

    /// Ends a job that may not be delivered any more: refuses an opening, and leaves out a
    /// request, whose flow stays open.
    fn expire_job(
        &mut self,
        now: Millis,
        job: &Job,
        segments: Vec<Waiting>,
    ) -> Option<Release> {
        if job.kind == Kind::Request {
            self.count_removed(&segments);
        }
        let waiting = segments.into_iter().next()?;
        let action = match job.kind {
            Kind::Opening => {
                self.end_hold(now, &waiting.arrival);
                self.refuse_opening(&waiting.arrival, Cause::Held)
            }
            Kind::Request => Action::Drop(Cause::GivenUp),
        };
        Some(Release { waiting, action })
    }

    /// The latest time at which [`Self::release`] and [`Self::next_postponed`] must be called
    /// again; `None` if nothing waits.
    pub fn next_release(&mut self, now: Millis, routing: &Routing) -> Option<Millis> {
        let released_at = self.next_admission(now, routing);
        released_at.into_iter().chain(self.postponed.next_expiry()).min()
    }

    /// The latest time at which [`Self::release`] must be called again.
    fn next_admission(&mut self, now: Millis, routing: &Routing) -> Option<Millis> {
        let expiry = self.admission.next_expiry()?;
        let rate = self.cold_rate(routing);
        let allowed_at = self.backend.opening_at(now, 0, rate);
        Some(allowed_at.filter(|at| *at > now).map_or(expiry, |at| at.min(expiry)))
    }

    /// Removes the flow of an opening that waited, unless it is another flow by now.
    fn end_hold(&mut self, now: Millis, arrival: &Arrival) {
        let flow = arrival.segment.flow_from_caller();
        if self.flows.get(now, &flow).is_some_and(|state| state.stage == Stage::Held) {
            self.flows.remove(&flow);
        }
    }
}
