//! Puts the timelines of several processes into one causal order.

use crate::process::event::Event;

/// Merges timelines by stamp and removes events that occur twice.
///
/// Stamps of the hybrid logical clock order a cause before its effect also where wall clocks
/// differ, as processes take note of each other's stamps. Events of equal stamps are not
/// related; they are ordered by process, so that the result does not depend on the order of
/// the timelines.
pub fn merge(timelines: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = timelines.into_iter().flatten().collect();
    events.sort_by(|a, b| a.stamp.cmp(&b.stamp).then_with(|| a.process.cmp(&b.process)));
    events.dedup();
    events
}

/// Merges timelines that are fetched round by round.
///
/// In one round, a process may be asked before it records a cause and another one after it
/// recorded the effect. Events are therefore held back for one round, in which the cause
/// arrives. An event that arrives later still, as from a process that was unreachable, comes
/// out at once and out of order.
#[derive(Debug, Default)]
pub struct Feed {
    /// Events of the last round, in order.
    pending: Vec<Event>,
}

impl Feed {
    /// Takes in the new events of a round; returns those that are due, in order.
    pub fn round(&mut self, timelines: Vec<Vec<Event>>) -> Vec<Event> {
        let due = self.pending.last().map(|event| event.stamp);
        let held = std::mem::take(&mut self.pending);
        let mut events = merge(timelines.into_iter().chain([held]).collect());
        let split = events.partition_point(|event| Some(event.stamp) <= due);
        self.pending = events.split_off(split);
        events
    }
}
