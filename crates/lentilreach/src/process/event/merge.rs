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
