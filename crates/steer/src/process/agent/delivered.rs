//! Keeps recently delivered segments, in case the backend server returns them.

use std::fmt::{self, Debug, Formatter};

use lentilreach::Name;

use super::Forwarding;
use crate::connection::flow;

/// Capacity of the ring. At 1,000 segments per second, a segment may be returned up to
/// 2 s after its delivery.
const LIMIT: usize = 2_048;

/// What is known about a delivered segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Delivered {
    /// The flow that it belongs to.
    pub flow: flow::Key,
    /// The service that the balancer selected.
    pub service: Option<Name>,
    /// The forwarding state that it arrived with.
    pub forwarding: Forwarding,
}

/// Ring buffer of recently delivered segments, indexed by their marks.
#[derive(Clone)]
pub(super) struct Ring {
    /// The segment with mark `m` is stored at index `m % LIMIT`.
    slots: Vec<Option<(u32, Delivered)>>,
    /// The next mark. Never 0.
    next: u32,
}

impl Ring {
    /// Creates an empty ring. `first_mark` should be random, so that marks of an earlier
    /// process aren't mistaken for those of this one.
    pub fn new(first_mark: u32) -> Self {
        Self { slots: vec![None; LIMIT], next: first_mark.max(1) }
    }

    /// Stores a segment and returns its mark.
    pub fn push(&mut self, delivered: Delivered) -> u32 {
        let mark = self.next;
        self.next = mark.wrapping_add(1).max(1);
        self.slots[mark as usize % LIMIT] = Some((mark, delivered));
        mark
    }

    /// Removes and returns the segment with a mark, if it belongs to the flow.
    pub fn take(&mut self, mark: u32, flow: &flow::Key) -> Option<Delivered> {
        let slot = &mut self.slots[mark as usize % LIMIT];
        let is_found =
            slot.as_ref().is_some_and(|(own, entry)| *own == mark && entry.flow == *flow);
        if is_found { slot.take().map(|(_, delivered)| delivered) } else { None }
    }
}

impl Debug for Ring {
    /// Lists the occupied slots only.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.slots.iter().flatten()).entry(&self.next).finish()
    }
}
