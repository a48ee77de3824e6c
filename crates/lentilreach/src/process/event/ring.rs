//! A bounded buffer that overwrites its oldest entries.

use std::collections::VecDeque;

use crate::process::clock::Stamp;
use crate::process::event::Event;

/// The latest events of a process, in the order of their stamps.
#[derive(Debug)]
pub struct Ring {
    /// Stored events by increasing stamp; at most `capacity`.
    events: VecDeque<Event>,
    /// Maximum number of stored events; at least one.
    capacity: usize,
    /// Number of events that later ones have overwritten.
    overwritten: u64,
}

impl Ring {
    /// Creates a ring that stores up to `capacity` events, but at least one.
    ///
    /// Memory is allocated as events are added, not in advance.
    pub fn new(capacity: usize) -> Self {
        Self { events: VecDeque::new(), capacity: capacity.max(1), overwritten: 0 }
    }

    /// Appends an event, whose stamp must be later than all others. Returns the event
    /// that it overwrote, if any.
    pub fn push(&mut self, event: Event) -> Option<Event> {
        debug_assert!(self.events.back().is_none_or(|last| last.stamp < event.stamp));
        let full = self.events.len() == self.capacity;
        let displaced = if full { self.events.pop_front() } else { None };
        self.overwritten += u64::from(displaced.is_some());
        self.events.push_back(event);
        displaced
    }

    /// Events later than a stamp, oldest first.
    pub fn since(&self, stamp: Stamp) -> impl Iterator<Item = &Event> {
        let start = self.events.partition_point(|event| event.stamp <= stamp);
        self.events.range(start..)
    }

    /// Number of stored events.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Whether no event has been recorded.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Number of events overwritten since the start.
    pub fn overwritten(&self) -> u64 {
        self.overwritten
    }
}
