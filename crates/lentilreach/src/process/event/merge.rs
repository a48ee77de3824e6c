//! Merging of the timelines of several processes in causal order.

use crate::process::event::Event;

/// Merges timelines by stamp and removes duplicate events.
///
/// Processes observe each other's stamps, so the hybrid logical clock orders a cause
/// before its effect even if the wall clocks differ. Events with equal stamps are
/// causally unrelated; they are ordered by process, so that the result does not depend on
/// the order of the timelines.
pub fn merge(timelines: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = timelines.into_iter().flatten().collect();
    events.sort_by(|a, b| a.stamp.cmp(&b.stamp).then_with(|| a.process.cmp(&b.process)));
    events.dedup();
    events
}

/// Merges timelines that are fetched repeatedly.
///
/// In one round, one process may be queried before it records a cause, and another after
/// it has recorded the effect. Events are therefore delayed by one round, in which the
/// cause arrives. An event that arrives even later, for example from a process that was
/// unreachable, is returned immediately and out of order.
#[derive(Debug, Default)]
pub struct Merger {
    /// Events of the last round that were not returned yet, in order.
    pending: Vec<Event>,
}

impl Merger {
    /// Adds the new events of a round; returns those that are due, in order.
    pub fn merge_round(&mut self, timelines: Vec<Vec<Event>>) -> Vec<Event> {
        let due = self.pending.last().map(|event| event.stamp);
        let previous = std::mem::take(&mut self.pending);
        let mut events = merge(timelines.into_iter().chain([previous]).collect());
        let due_count = events.partition_point(|event| Some(event.stamp) <= due);
        self.pending = events.split_off(due_count);
        events
    }
}
