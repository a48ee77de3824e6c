//! Lets segments of unknown flows wait for the answers of other agents.
//!
//! Answers the first second after many processes have started: callers go on with flows of
//! which no home node knows, while the statements of most agents are still on their way. Most
//! of these agents would be visited by a walk in vain, each by every flow. Their answers take
//! one round trip, and show which of them can hold the flow at all.

use std::collections::VecDeque;

use lentilreach::process::clock::Millis;

use super::question::Wait;
use super::{Agent, Arrival, Release, Waiting};
use crate::process::roster::{JOIN_TIMEOUT_MS, Member, Roster};
use crate::version::routing::Routing;

/// Maximum number of segments that wait. Each takes up to 1.6 kB. Beyond it, walks begin at
/// once.
const MAX_POSTPONED: usize = 512;

/// Time after which a search goes on without the missing answers, in milliseconds: two
/// intervals between questions, and a round trip.
const MAX_WAIT_MS: u64 = 250;

/// The segments that wait.
#[derive(Debug, Default, Clone)]
pub(super) struct Postponed {
    /// In the order of their arrival. Those behind the first one go on after it, though they
    /// may have asked earlier.
    entries: VecDeque<Entry>,
}

/// A segment that waits.
#[derive(Debug, Clone)]
struct Entry {
    /// The segment.
    waiting: Waiting,
    /// Number of the first question about its flow.
    question: u32,
}

impl Postponed {
    /// Whether there is space for another segment.
    pub fn has_space(&self) -> bool {
        self.entries.len() < MAX_POSTPONED
    }

    /// When the first one has waited for as long as possible; `None` if none waits.
    pub fn next_expiry(&self) -> Option<Millis> {
        Some(self.entries.front()?.waiting.since.after(MAX_WAIT_MS))
    }
}

impl Agent {
    /// Lets a segment wait for which [`super::Action::Postpone`] was returned.
    pub fn postpone(&mut self, now: Millis, arrival: Arrival, bytes: Vec<u8>) {
        let flow = arrival.segment.flow_from_caller();
        let Some(question) = self.questions.wait(now, &flow) else { return };
        let waiting = Waiting { arrival, bytes, since: now };
        self.postponed.entries.push_back(Entry { waiting, question });
    }

    /// Returns the next segment whose search goes on: the answers have arrived, or it has
    /// waited for too long. Must be called until it returns `None` after each heartbeat, and
    /// at the time that [`Self::next_release`] returns.
    pub fn next_postponed(
        &mut self,
        now: Millis,
        routing: &Routing,
        roster: &Roster,
    ) -> Option<Release> {
        let first = self.postponed.entries.front()?;
        let is_late = now.since(first.waiting.since) >= MAX_WAIT_MS;
        if !is_late && self.is_answer_missing(now, roster, first.question) {
            return None;
        }
        let Entry { waiting, .. } = self.postponed.entries.pop_front()?;
        let flow = waiting.arrival.segment.flow_from_caller();
        self.questions.end_wait(now, &flow);
        let action = self.handle_caller_segment(now, routing, roster, &waiting.arrival);
        Some(Release { waiting, action })
    }

    /// Whether a segment should wait for answers to a question: there is something to wait
    /// for, and it has not waited yet. While an agent is silent, answers prove nothing.
    pub(super) fn should_wait(
        &self,
        now: Millis,
        roster: &Roster,
        question: u32,
        wait: Wait,
    ) -> bool {
        let is_lost = |member: &Member| member.is_silent && !is_joining(now, member);
        wait == Wait::Never
            && self.postponed.has_space()
            && !roster.agents().any(is_lost)
            && self.is_answer_missing(now, roster, question)
    }

    /// Whether an agent that may answer soon has not answered a question: one that is heard,
    /// or a new one.
    fn is_answer_missing(&self, now: Millis, roster: &Roster, question: u32) -> bool {
        let incarnation = self.incarnation(roster);
        let is_expected = |member: &&Member| {
            member.address != self.address
                && (!member.is_silent || is_joining(now, member))
        };
        roster.agents().filter(is_expected).any(|member| {
            let status = member.sync_status;
            let status = status.filter(|status| status.receiver == incarnation);
            status.is_none_or(|status| status.answered < question)
        })
    }
}

/// Whether a member that has not been heard yet may answer soon.
fn is_joining(now: Millis, member: &Member) -> bool {
    member.incarnation == 0 && now.since(member.last_heard) < JOIN_TIMEOUT_MS
}
