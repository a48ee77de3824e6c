//! A bounded buffer that overwrites its oldest entries.

use std::collections::VecDeque;

use crate::process::clock::Stamp;
use crate::process::event::Event;

/// The latest events of a process, in the order of their stamps.
#[derive(Debug)]
pub struct Ring {
    /// Rising by stamp; at most `capacity`.
    events: VecDeque<Event>,
    /// Events that are kept at most; at least one.
    capacity: usize,
    /// Events that made room for later ones.
    overwritten: u64,
}

impl Ring {
    /// A ring that keeps up to `capacity` events, at least one.
    ///
    /// Memory is taken as events come in, not in advance.
    pub fn new(capacity: usize) -> Self {
        Self { events: VecDeque::new(), capacity: capacity.max(1), overwritten: 0 }
    }

    /// Appends an event, whose stamp must be above all others; returns the event that was
    /// overwritten for it, if any.
    pub fn push(&mut self, event: Event) -> Option<Event> {
        debug_assert!(self.events.back().is_none_or(|last| last.stamp < event.stamp));
        let full = self.events.len() == self.capacity;
        let old = if full { self.events.pop_front() } else { None };
        self.overwritten += u64::from(old.is_some());
        self.events.push_back(event);
        old
    }

    /// Events later than a stamp, oldest first.
    pub fn since(&self, stamp: Stamp) -> impl Iterator<Item = &Event> {
        let start = self.events.partition_point(|event| event.stamp <= stamp);
        self.events.range(start..)
    }

    /// Events kept.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Whether nothing has been recorded.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Number of events overwritten since the start.
    pub fn overwritten(&self) -> u64 {
        self.overwritten
    }
}
