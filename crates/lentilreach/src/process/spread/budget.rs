//! The byte budget of a node: what it sends and receives in any second.

use crate::process::clock::Millis;
use crate::process::spread::entry::Class;

/// Bytes per second that a node may send and receive for the exchange.
pub const BYTES_PER_S: u32 = 11_000;

/// Bytes of the IPv4 and UDP headers, counted for each datagram.
pub const HEADERS: usize = 28;

/// Length of a slot of the window in milliseconds.
const SLOT_MS: u64 = 50;

/// Slots of the window. One more than a second holds, so that the window covers any second.
const SLOTS: usize = 21;

/// Counts bytes over a sliding window of one second.
///
/// Each class has a ceiling. The room above it remains for more urgent classes, which makes
/// the priorities strict.
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
    /// An unused budget.
    pub fn new() -> Self {
        Self { sent: [0; SLOTS], received: [0; SLOTS], slot: 0 }
    }

    /// Takes `size` bytes for sending, if the class has room for them.
    ///
    /// Received bytes count, but not against heartbeats: a node that peers flood must still
    /// be able to show that it is alive.
    pub fn take(&mut self, now: Millis, class: Class, size: usize) -> bool {
        self.turn(now);
        let size = (size + HEADERS) as u32;
        let room = self.room(class);
        if size <= room {
            self.sent[self.slot as usize % SLOTS] += size;
        }
        size <= room
    }

    /// Notes `size` received bytes.
    pub fn receive(&mut self, now: Millis, size: usize) {
        self.turn(now);
        let slot = &mut self.received[self.slot as usize % SLOTS];
        *slot = slot.saturating_add((size + HEADERS) as u32);
    }

    /// Bytes that the class may use now.
    pub fn left(&mut self, now: Millis, class: Class) -> usize {
        self.turn(now);
        (self.room(class) as usize).saturating_sub(HEADERS)
    }

    /// Room of a class in the current window.
    fn room(&self, class: Class) -> u32 {
        let sent: u32 = self.sent.iter().sum();
        let received: u32 =
            self.received.iter().fold(0, |sum, bytes| sum.saturating_add(*bytes));
        let both = sent.saturating_add(received);
        match class {
            Class::Configuration => {
                (BYTES_PER_S.saturating_sub(both)).max(RESERVE.saturating_sub(sent))
            }
            Class::Liveness => ceiling(10_500, both),
            Class::Repair => ceiling(9_500, both),
            Class::Load => ceiling(7_500, both),
        }
    }

    /// Clears the slots that have left the window.
    fn turn(&mut self, now: Millis) {
        let slot = now.0 / SLOT_MS;
        for passed in (self.slot + 1..=slot).take(SLOTS) {
            // Only the last `SLOTS` numbers matter; `take` bounds the work after a pause.
            let index = passed as usize % SLOTS;
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

/// Bytes per second that stay available for heartbeats however much is received.
const RESERVE: u32 = 1_500;

/// Room below a ceiling.
fn ceiling(limit: u32, used: u32) -> u32 {
    limit.saturating_sub(used)
}
