//! Byte budget of a node for gossip.

use crate::process::clock::Millis;
use crate::process::gossip::entry::Class;

/// Bytes that a node may send for gossip in any second, headers included.
pub const BYTES_PER_S: u32 = 11_000;

/// Bytes of the IPv4 and UDP headers of a datagram.
pub const HEADER_BYTES: usize = 28;

/// Length of a slot of the window in milliseconds.
const SLOT_MS: u64 = 50;

/// Slots of the window: one more than fits into a second, so that the window covers any second.
const SLOTS: usize = 21;

/// Counts bytes over a sliding window of one second.
///
/// Each class has a ceiling. The bytes above it are reserved for more urgent classes, which
/// makes the priorities strict. Traffic that a node can defer, loads and pulls, also counts
/// against the bytes received, so that both directions together stay below the budget in
/// steady state. Traffic that peers wait for, heartbeats, new entries and answers, counts
/// against the bytes sent only: a node that peers flood must still answer and show that it is
/// alive.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Bytes sent in each slot.
    sent: [u32; SLOTS],
    /// Bytes received in each slot.
    received: [u32; SLOTS],
    /// Number of the current slot since the start.
    slot: u64,
}

impl Budget {
    /// Creates an unused budget.
    pub fn new() -> Self {
        Self { sent: [0; SLOTS], received: [0; SLOTS], slot: 0 }
    }

    /// Reserves `size` bytes for sending if the class has room for them; returns whether it
    /// has.
    pub fn take(&mut self, now: Millis, class: Class, size: usize) -> bool {
        self.advance(now);
        let size = (size + HEADER_BYTES) as u32;
        let room = self.room(class);
        if size <= room {
            self.sent[self.slot as usize % SLOTS] += size;
        }
        size <= room
    }

    /// Counts `size` received bytes.
    pub fn receive(&mut self, now: Millis, size: usize) {
        self.advance(now);
        let slot = &mut self.received[self.slot as usize % SLOTS];
        *slot = slot.saturating_add((size + HEADER_BYTES) as u32);
    }

    /// Bytes that a message of the class may have now.
    pub fn left(&mut self, now: Millis, class: Class) -> usize {
        self.advance(now);
        (self.room(class) as usize).saturating_sub(HEADER_BYTES)
    }

    /// Bytes that may be pulled now.
    ///
    /// A `joining` node does not serve yet and may receive more for this short time; the peers
    /// that answer keep to their own budgets.
    pub fn pull_allowance(&mut self, now: Millis, joining: bool) -> usize {
        self.advance(now);
        let limit = if joining { JOIN_BYTES_PER_S } else { BYTES_PER_S };
        remaining(limit, self.total()) as usize
    }

    /// Bytes that the class may still send in the current window, headers included.
    fn room(&self, class: Class) -> u32 {
        match class {
            Class::Configuration => remaining(BYTES_PER_S, sum(&self.sent)),
            Class::Liveness => remaining(LIVENESS_BYTES_PER_S, sum(&self.sent)),
            Class::Repair => remaining(REPAIR_BYTES_PER_S, sum(&self.sent)),
            Class::Load => remaining(LOAD_BYTES_PER_S, self.total()),
        }
    }

    /// Bytes sent and received in the current window.
    fn total(&self) -> u32 {
        sum(&self.sent).saturating_add(sum(&self.received))
    }

    /// Moves the window to `now` and clears the slots that are reused.
    fn advance(&mut self, now: Millis) {
        let slot = now.0 / SLOT_MS;
        for number in (self.slot + 1..=slot).take(SLOTS) {
            // Only the last `SLOTS` numbers matter; `take` bounds the work after a long pause.
            let index = number as usize % SLOTS;
            self.sent[index] = 0;
            self.received[index] = 0;
        }
        self.slot = self.slot.max(slot);
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

/// Ceiling of announcements and health records in bytes per second.
const LIVENESS_BYTES_PER_S: u32 = 9_000;

/// Ceiling of digests, attachments and anti-entropy responses in bytes per second.
const REPAIR_BYTES_PER_S: u32 = 8_500;

/// Ceiling of loads in bytes per second, both directions together.
const LOAD_BYTES_PER_S: u32 = 6_000;

/// Ceiling of pulls of a joining node in bytes per second, both directions together.
const JOIN_BYTES_PER_S: u32 = 44_000;

/// Sum of the bytes in all slots.
fn sum(slots: &[u32; SLOTS]) -> u32 {
    slots.iter().fold(0, |sum, bytes| sum.saturating_add(*bytes))
}

/// Bytes left below a ceiling.
fn remaining(limit: u32, used: u32) -> u32 {
    limit.saturating_sub(used)
}
