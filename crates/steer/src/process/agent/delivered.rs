//! Segments delivered lately, for the case that the backend server returns them.

use lentilreach::Name;

use super::Forwarding;
use crate::connection::flow;

/// Segments that are remembered. At 1,000 segments a second, a returned one may take 2 s.
const LIMIT: usize = 2_048;

/// A delivered segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Delivered {
    /// Its flow.
    pub flow: flow::Key,
    /// The service that the balancer chose.
    pub service: Option<Name>,
    /// The way it came.
    pub forwarding: Forwarding,
}

/// The last segments by their marks.
#[derive(Debug)]
pub(super) struct Ring {
    /// A segment with mark `m` lies at `m % LIMIT`.
    slots: Vec<Option<(u32, Delivered)>>,
    /// The next mark; never 0.
    next: u32,
}

impl Ring {
    /// An empty ring whose first mark is `first_mark`, so that a process that starts again does
    /// not take a mark of the one before for its own.
    pub fn new(first_mark: u32) -> Self {
        Self { slots: vec![None; LIMIT], next: first_mark.max(1) }
    }

    /// Remembers a segment; returns its mark.
    pub fn push(&mut self, delivered: Delivered) -> u32 {
        let mark = self.next;
        self.next = mark.wrapping_add(1).max(1);
        self.slots[mark as usize % LIMIT] = Some((mark, delivered));
        mark
    }

    /// Takes out the segment with a mark if it belongs to the flow.
    pub fn take(&mut self, mark: u32, flow: &flow::Key) -> Option<Delivered> {
        let slot = &mut self.slots[mark as usize % LIMIT];
        let is_found =
            slot.as_ref().is_some_and(|(own, p)| *own == mark && p.flow == *flow);
        if is_found { slot.take().map(|(_, delivered)| delivered) } else { None }
    }
}
