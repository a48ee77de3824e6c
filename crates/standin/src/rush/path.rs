//! The way of a request: from its caller through a balancer and agents to a backend server,
//! and back.

use std::cmp::Reverse;
use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;
use lentilreach_steer::connection::flow;
use lentilreach_steer::process::agent::{Action, BackendAction, Release};
use lentilreach_steer::process::balancer;
use lentilreach_steer::request::message::Search;
use lentilreach_steer::request::segment::Segment;

use super::fleet::{Event, Fleet, Request};
use super::segment::{
    Attempt, COPIES_MS, Envelope, agent_address, arrival, balancer_address, side_number,
};
use super::server::Outcome as Served;
use super::{CLASSES, Policy, Tick};

/// One-way delay between callers and nodes.
const CALLER_DELAY_MS: Tick = 3;

/// Time after which a caller gives up an opening.
const OPENING_TIMEOUT_MS: Tick = 1_400;

/// Number of attempts that a caller makes.
const ATTEMPTS: u8 = 3;

/// Longest pause between two checks whether waiting openings can be released.
const RELEASE_INTERVAL_MS: Tick = 50;

impl Fleet<'_> {
    /// Lets a caller make a request.
    pub(super) fn begin(&mut self, now: Tick, number: usize) {
        let Request { session, class, .. } = self.requests[number];
        let Some(session) = session.filter(|s| self.sessions[*s].opener != number) else {
            return self.try_again(now, number);
        };
        if self.sessions[session].is_closed {
            self.requests[number].session = None;
            return self.try_again(now, number);
        }
        let deadline_ms = CLASSES[class].deadline_ms;
        self.at(now + deadline_ms, Event::Abandon(number));
        let session = &mut self.sessions[session];
        if session.current.is_some() {
            return session.waiting.push_back(number);
        }
        self.send_on_session(now, number);
    }

    /// Lets a caller give up a request on an open flow. It resets the flow, and makes its
    /// further requests on flows of their own. One that runs is still answered.
    pub(super) fn abandon(&mut self, now: Tick, number: usize) {
        let Some(index) = self.requests[number].session else { return };
        let session = &mut self.sessions[index];
        if session.current != Some(number) || self.requests[number].runs > 0 {
            return session.waiting.retain(|waiting| *waiting != number);
        }
        session.current = None;
        session.is_closed = true;
        let waiting = std::mem::take(&mut session.waiting);
        if let Some(side) = session.side {
            let attempt = self.current_attempt(number);
            self.deliver(now, side, attempt.reset(side));
        }
        for next in waiting {
            self.requests[next].session = None;
            self.try_again(now, next);
        }
    }

    /// Lets a caller send the next request on an open flow after one was answered.
    pub(super) fn next_on_session(&mut self, now: Tick, number: usize) {
        let Some(index) = self.requests[number].session else { return };
        let session = &mut self.sessions[index];
        if session.current != Some(number) {
            return;
        }
        session.current = None;
        if let Some(next) = session.waiting.pop_front() {
            self.send_on_session(now, next);
        }
    }

    /// Lets a caller send a request on its open flow.
    fn send_on_session(&mut self, now: Tick, number: usize) {
        let Some(index) = self.requests[number].session else { return };
        let session = &mut self.sessions[index];
        session.current = Some(number);
        session.sent += 1;
        let Some(side) = session.side else { return };
        let attempt = self.current_attempt(number);
        self.at(now + CALLER_DELAY_MS, Event::Data(side, attempt));
    }

    /// The request that an attempt's flow carries now.
    fn carried(&self, attempt: Attempt) -> usize {
        let session = self.requests[attempt.request].session;
        session
            .and_then(|session| self.sessions[session].current)
            .unwrap_or(attempt.request)
    }

    /// Lets a caller begin its next attempt.
    pub(super) fn try_again(&mut self, now: Tick, number: usize) {
        let request = &mut self.requests[number];
        let class = CLASSES[request.class];
        let is_over = now >= request.made + class.deadline_ms;
        if request.answered.is_some() || request.attempt >= ATTEMPTS || is_over {
            request.attempt = ATTEMPTS + 1;
            return;
        }
        request.attempt += 1;
        request.is_open = false;
        let attempt = self.current_attempt(number);
        for (copy, delay_ms) in COPIES_MS.into_iter().enumerate() {
            self.at(now + delay_ms, Event::Open(attempt, copy as u32));
        }
        self.at(now + OPENING_TIMEOUT_MS, Event::GiveUp(attempt));
    }

    /// The current attempt of a request.
    pub(super) fn current_attempt(&self, number: usize) -> Attempt {
        let session = self.requests[number].session;
        let number = session.map_or(number, |session| self.sessions[session].opener);
        let Request { class, attempt, .. } = self.requests[number];
        Attempt { class, request: number, number: attempt }
    }

    /// Lets a caller give up an attempt whose flow did not open.
    pub(super) fn give_up(&mut self, now: Tick, attempt: Attempt) {
        if self.is_current(attempt) && !self.requests[attempt.request].is_open {
            self.try_again(now, attempt.request);
        }
    }

    /// Lets a caller process a refusal or rejection.
    pub(super) fn refused(&mut self, now: Tick, attempt: Attempt) {
        if self.is_current(attempt) {
            self.try_again(now, attempt.request);
        }
    }

    /// Whether a caller still waits for an attempt.
    fn is_current(&self, attempt: Attempt) -> bool {
        self.requests[attempt.request].attempt == attempt.number
    }

    /// Lets a caller send a copy of an opening segment to its balancer.
    pub(super) fn open(&mut self, now: Tick, attempt: Attempt, copy: u32) {
        let is_open = self.requests[attempt.request].is_open;
        if self.is_out || !self.is_current(attempt) || is_open {
            return;
        }
        let index = attempt.key().hash() as usize % self.fronts.len();
        let front = &mut self.fronts[index];
        let segment = attempt.opening(copy);
        let time = Millis(now + CALLER_DELAY_MS);
        let action =
            front.balancer.handle_segment(time, &self.routing, &front.roster, &segment);
        match action {
            balancer::Action::Send { to, is_newly_selected, .. } => {
                let to = self.redirected(now, index, attempt, to, is_newly_selected);
                let front = &mut self.fronts[index];
                if is_newly_selected {
                    front.roster.record_placement(time, to);
                }
                let envelope = Envelope {
                    copy,
                    origin: balancer_address(index as u8),
                    tried: Vec::new(),
                };
                let delay_ms =
                    CALLER_DELAY_MS + self.delay_ms(index as u8, side_number(to));
                let event = Event::Arrive(side_number(to).into(), attempt, envelope);
                self.at(now + delay_ms, event);
            }
            balancer::Action::Refuse { .. } => {
                self.at(now + 2 * CALLER_DELAY_MS, Event::Refused(attempt));
            }
            balancer::Action::Drop(_) => {}
        }
    }

    /// Where an opening goes if the policy replaces the choice of the balancer.
    fn redirected(
        &mut self,
        now: Tick,
        front: usize,
        attempt: Attempt,
        to: SocketAddrV4,
        is_new: bool,
    ) -> SocketAddrV4 {
        let is_replaced = matches!(self.load.policy, Policy::TwoChoices | Policy::Oracle);
        if !is_new || !is_replaced {
            return to;
        }
        let sides = 0..self.sides.len();
        let best = match self.load.policy {
            Policy::TwoChoices => {
                let roster = &self.fronts[front].roster;
                let load = |side: &usize| {
                    let member = roster.get(agent_address(*side as u8));
                    member.map_or(f64::INFINITY, |member| member.load(Millis(now)))
                };
                let pair = [self.rng.usize(sides.clone()), self.rng.usize(sides)];
                pair.into_iter().min_by(|a, b| load(a).total_cmp(&load(b)))
            }
            _ => sides.min_by_key(|side| self.end_at(now, *side, attempt.request)),
        };
        let best = best.unwrap_or_default();
        if self.load.policy == Policy::Oracle {
            self.sides[best].placed.push(attempt.request);
        }
        let agent = agent_address(best as u8);
        self.fronts[front].balancer.flow_found(Millis(now), attempt.key(), agent);
        agent
    }

    /// When a request would end at an agent's backend server, after those placed there.
    fn end_at(&self, now: Tick, side: usize, request: usize) -> Tick {
        let side = &self.sides[side];
        let placed = side.placed.iter().chain([&request]);
        side.server.end_of(now, placed.map(|number| self.requests[*number].work_ms))
    }

    /// Lets an agent decide on an opening segment.
    pub(super) fn arrive(
        &mut self,
        now: Tick,
        index: usize,
        attempt: Attempt,
        envelope: &Envelope,
    ) {
        if self.sides[index].is_silent {
            return;
        }
        let arrival = arrival(attempt.opening(envelope.copy), envelope);
        let side = &mut self.sides[index];
        let action = side.agent.handle_caller_segment(
            Millis(now),
            &self.routing,
            &side.roster,
            &arrival,
        );
        if matches!(action, Action::Hold { .. }) {
            side.agent.hold(Millis(now), &self.routing, arrival, Vec::new());
            self.found(now, index, attempt.key(), envelope.origin);
            return self.release(now, index);
        }
        self.perform(now, index, attempt, envelope, action);
    }

    /// Performs an agent's action for an opening segment.
    fn perform(
        &mut self,
        now: Tick,
        index: usize,
        attempt: Attempt,
        envelope: &Envelope,
        action: Action,
    ) {
        match action {
            Action::Deliver { notify, .. } => {
                if let Some(origin) = notify {
                    self.found(now, index, attempt.key(), origin);
                }
                self.at(now, Event::Accept(index, attempt));
            }
            Action::Forward { to, forwarding, .. } => {
                self.outcome.forwards += 1;
                self.sides[index].roster.record_offer(Millis(now), to);
                let delay_ms = self.delay_ms(index as u8, side_number(to));
                let envelope = Envelope { tried: forwarding.tried, ..envelope.clone() };
                let event = Event::Arrive(side_number(to).into(), attempt, envelope);
                self.at(now + delay_ms, event);
            }
            Action::Refuse { .. } => {
                self.requests[attempt.request].refused |= 1 << attempt.number;
                self.at(now + CALLER_DELAY_MS, Event::Refused(attempt));
            }
            // Searches are only made for flows that are open.
            Action::Hold { .. } | Action::Postpone(_) | Action::Drop(_) => {}
        }
    }

    /// Informs a balancer that an agent holds a flow.
    fn found(&mut self, now: Tick, index: usize, key: flow::Key, origin: SocketAddrV4) {
        let front = usize::from(origin.ip().octets()[3]);
        let agent = agent_address(index as u8);
        self.fronts[front].balancer.flow_found(Millis(now), key, agent);
    }

    /// Lets a backend server accept an opening, and its caller answer with the request.
    pub(super) fn accept(&mut self, now: Tick, index: usize, attempt: Attempt) {
        self.server_segment(now, index, attempt.acceptance(index));
        if self.is_current(attempt) && !self.requests[attempt.request].is_open {
            self.requests[attempt.request].is_open = true;
            if let Some(session) = self.requests[attempt.request].session {
                self.sessions[session].side = Some(index);
            }
            let round_trip_ms = 2 * CALLER_DELAY_MS;
            self.at(now + round_trip_ms, Event::Data(index, attempt));
        }
    }

    /// Delivers a request to a backend server.
    pub(super) fn data(&mut self, now: Tick, index: usize, attempt: Attempt) {
        let envelope =
            Envelope { copy: 0, origin: balancer_address(0), tried: Vec::new() };
        let session = self.requests[attempt.request].session;
        let earlier = session.map_or(0, |session| self.sessions[session].sent);
        let mut arrival = arrival(attempt.request(index, earlier), &envelope);
        arrival.forwarding.search = Search::Known;
        let is_abandoned =
            session.is_some_and(|session| self.sessions[session].is_closed);
        if is_abandoned {
            return;
        }
        let side = &mut self.sides[index];
        let action = side.agent.handle_caller_segment(
            Millis(now),
            &self.routing,
            &side.roster,
            &arrival,
        );
        match action {
            Action::Deliver { .. } => self.serve(now, index, attempt),
            Action::Hold { .. } => {
                side.agent.hold(Millis(now), &self.routing, arrival, Vec::new());
                self.release(now, index);
            }
            _ => {}
        }
    }

    /// Delivers a segment that begins no request to an agent.
    fn deliver(&mut self, now: Tick, index: usize, segment: Segment) {
        let envelope =
            Envelope { copy: 0, origin: balancer_address(0), tried: Vec::new() };
        let mut arrival = arrival(segment, &envelope);
        arrival.forwarding.search = Search::Known;
        let side = &mut self.sides[index];
        let now = Millis(now);
        side.agent.handle_caller_segment(now, &self.routing, &side.roster, &arrival);
    }

    /// Gives a request to a backend server.
    fn serve(&mut self, now: Tick, index: usize, attempt: Attempt) {
        let number = self.carried(attempt);
        let side = &mut self.sides[index];
        side.placed.retain(|placed| *placed != number);
        let request = &mut self.requests[number];
        side.requests += 1;
        match side.server.request(now, number, request.work_ms) {
            Served::Runs(end) => {
                request.runs += 1;
                request.ran |= 1 << attempt.number;
                self.at(end, Event::End(index, number, self.incarnation));
            }
            Served::Queued => {
                request.runs += 1;
                request.ran |= 1 << attempt.number;
            }
            Served::Rejected => {
                self.server_segment(now, index, attempt.answer(index, true));
                self.at(now + CALLER_DELAY_MS, Event::Refused(attempt));
            }
        }
    }

    /// Ends a request at a backend server and answers it.
    pub(super) fn end(&mut self, now: Tick, index: usize, number: usize) {
        if let Some((next, end)) = self.sides[index].server.end(now) {
            self.at(end, Event::End(index, next, self.incarnation));
        }
        let is_mute = index < usize::from(self.load.mute) && self.rng.bool();
        if is_mute {
            return;
        }
        let attempt = self.current_attempt(number);
        let is_last = self.requests[number].session.is_none();
        self.server_segment(now, index, attempt.answer(index, is_last));
        self.at(now + CALLER_DELAY_MS, Event::Answer(number));
    }

    /// Lets an agent process a segment of its backend server.
    fn server_segment(&mut self, now: Tick, index: usize, segment: Segment) {
        let side = &mut self.sides[index];
        let action = side.agent.handle_backend_segment(
            Millis(now),
            &self.routing,
            &side.roster,
            &segment,
        );
        if matches!(action, Some(BackendAction::Send { answer_ms: Some(_), .. })) {
            self.release(now, index);
        }
    }

    /// Performs the actions for openings that no longer wait.
    pub(super) fn release(&mut self, now: Tick, index: usize) {
        loop {
            let side = &mut self.sides[index];
            let release = side.agent.release(Millis(now), &self.routing, &side.roster);
            let Some(Release { waiting, action }) = release else { break };
            let attempt = Attempt::from(&waiting.arrival.segment);
            if !waiting.arrival.segment.is_opening() {
                if matches!(action, Action::Deliver { .. }) {
                    self.serve(now, index, attempt);
                }
                continue;
            }
            let envelope = Envelope {
                copy: waiting.arrival.segment.acknowledged,
                origin: waiting.arrival.forwarding.origin,
                tried: waiting.arrival.forwarding.tried.clone(),
            };
            if matches!(action, Action::Deliver { .. }) {
                let copied_ms = COPIES_MS[envelope.copy as usize];
                let waited_ms = copied_ms + now - waiting.since.0;
                self.outcome.longest_wait_ms =
                    self.outcome.longest_wait_ms.max(waited_ms);
            }
            self.perform(now, index, attempt, &envelope, action);
        }
        if let Some(due) =
            self.sides[index].agent.next_release(Millis(now), &self.routing)
        {
            let due = due.0.clamp(now + 1, now + RELEASE_INTERVAL_MS);
            let is_first = !self.events.iter().any(|Reverse((at, _, event))| {
                *event == Event::Release(index) && *at <= due
            });
            if is_first {
                self.at(due, Event::Release(index));
            }
        }
    }
}
