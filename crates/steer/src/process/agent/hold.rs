//! Lets requests on open flows wait for the backend server, like openings.
//!
//! Without that, a request on an open flow would pass all openings that wait, whatever
//! their priority. Only done for services whose routes differ in priority, and only while
//! no slot is free. A request is never refused: the segments of a waiting request are
//! delivered, in order and unchanged, or left out when its caller gives up. The flow itself
//! stays as it is.

use lentilreach::process::clock::Millis;

use super::{Action, Agent, Arrival, Stage, State, Waiting};
use crate::connection::flow;
use crate::process::schedule::admission::Verdict;
use crate::process::schedule::queue::Kind;
use crate::request::message::Search;
use crate::request::segment::Segment;
use crate::version::routing::Routing;

/// Maximum number of bytes of all waiting requests. Beyond it, requests don't wait.
const MAX_HELD_BYTES: usize = 1 << 20;

/// Maximum number of segments of one waiting request: what a caller sends before the first
/// acknowledgement.
const MAX_HELD_SEGMENTS: usize = 16;

impl Agent {
    /// Decides on a segment of a flow of the backend server.
    pub(super) fn deliver_or_hold(
        &mut self,
        now: Millis,
        routing: &Routing,
        arrival: &Arrival,
        state: &State,
    ) -> Action {
        let Segment { sequence, length, flags, .. } = arrival.segment;
        let flow = arrival.segment.flow_from_caller();
        if flags.reset {
            self.discard(&flow);
            return self.deliver(now, arrival, false);
        }
        let is_waiting = self.admission.queue().get(&flow).is_some();
        // The caller has given up. One that only closes its direction repeats the request,
        // which was not acknowledged, and then it is delivered at once.
        if is_waiting && flags.close && length == 0 {
            self.discard(&flow);
            return self.deliver(now, arrival, false);
        }
        let is_part = is_waiting && length > 0;
        let begins = !is_waiting
            && state.stage == Stage::Open
            && state.is_new_data(sequence, length)
            && !self.in_flight.contains(&flow);
        let has_to_wait = is_part || (begins && self.has_to_wait(now, routing, arrival));
        if has_to_wait && self.can_hold(&flow, length) {
            let is_known = arrival.forwarding.search == Search::Known;
            let notify = (!is_known).then_some(arrival.forwarding.origin);
            return Action::Hold { notify };
        }
        self.deliver(now, arrival, false)
    }

    /// Lets a segment of a request wait.
    pub(super) fn hold_request(
        &mut self,
        now: Millis,
        routing: &Routing,
        arrival: Arrival,
        bytes: Vec<u8>,
    ) {
        let flow = arrival.segment.flow_from_caller();
        let job = super::admit::job(now, routing, &arrival);
        let waiting = Waiting { arrival, bytes, since: now };
        self.held_bytes += waiting.bytes.len();
        let Some(segments) = self.admission.get_mut(&flow) else {
            return self.admission.insert(now, job, vec![waiting]);
        };
        // Positions relative to the first segment, since sequence numbers wrap around.
        let origin = segments[0].arrival.segment.sequence;
        let place = |waiting: &Waiting| {
            let segment = &waiting.arrival.segment;
            (segment.sequence.wrapping_sub(origin) as i32, segment.flags.close)
        };
        match segments.binary_search_by_key(&place(&waiting), place) {
            Ok(index) => {
                let known = &mut segments[index];
                let is_longer = waiting.bytes.len() > known.bytes.len();
                let (kept, other) = if is_longer {
                    (waiting, &*known)
                } else {
                    (known.clone(), &waiting)
                };
                self.held_bytes -= other.bytes.len();
                let since = known.since;
                *known = Waiting { since, ..kept };
            }
            Err(index) => segments.insert(index, waiting),
        }
    }

    /// Lets the request of a flow wait no longer. Its segments are delivered next.
    pub(super) fn release_request(&mut self, flow: &flow::Key) {
        if self.admission.queue().get(flow).is_some_and(|job| job.kind == Kind::Request)
            && let Some((_, segments)) = self.admission.remove(flow)
        {
            self.release_segments(segments);
        }
    }

    /// Marks the segments of a request as those to be delivered next.
    pub(super) fn release_segments(&mut self, segments: Vec<Waiting>) {
        self.count_removed(&segments);
        self.released.extend(segments);
    }

    /// Discards what waits of a flow.
    pub(super) fn discard(&mut self, flow: &flow::Key) {
        if let Some((job, segments)) = self.admission.remove(flow)
            && job.kind == Kind::Request
        {
            self.count_removed(&segments);
        }
    }

    /// Updates the number of held bytes after a request was removed from the queue.
    pub(super) fn count_removed(&mut self, segments: &[Waiting]) {
        self.held_bytes -= segments.iter().map(|held| held.bytes.len()).sum::<usize>();
    }

    /// Whether a segment of a request that begins has to wait.
    fn has_to_wait(&mut self, now: Millis, routing: &Routing, arrival: &Arrival) -> bool {
        let Some(report) = self.backend.report() else { return false };
        let service = report.service.clone();
        let capacity = self.capacity(now);
        let is_contended = !self.admission.queue().is_empty();
        if !is_contended && capacity.in_flight < capacity.slots {
            return false;
        }
        let job = super::admit::job(now, routing, arrival);
        let verdict = self.admission.decide(now, &job, capacity, false);
        if verdict == Verdict::Deliver {
            self.admission.charge(now, &job);
            self.admission.record_delivery();
            self.pressure.record(job.priority, 0);
            return false;
        }
        !self.backend.is_stopping() && routing.has_priorities(&service)
    }

    /// Whether there is space for a segment of a request that waits or will.
    fn can_hold(&mut self, flow: &flow::Key, length: u16) -> bool {
        let segments = self.admission.get_mut(flow).map_or(0, |segments| segments.len());
        segments < MAX_HELD_SEGMENTS
            && self.held_bytes + usize::from(length) < MAX_HELD_BYTES
    }
}
