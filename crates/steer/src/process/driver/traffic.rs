//! Counts the bytes that a node sends to others, by kind of message.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::process::metric;
use crate::request::message::Message;

/// Names of the kinds, in the order in which they are counted.
const KINDS: [&str; 7] =
    ["segment", "answer", "announcement", "handover", "heartbeat", "leave", "documents"];

/// Bytes sent since the start of the process. Counting takes no lock: it happens for each
/// segment that is forwarded.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes by kind.
    bytes: [AtomicU64; KINDS.len()],
}

impl Traffic {
    /// Counts a message of a length.
    pub fn record(&self, message: &Message<'_>, length: usize) {
        self.bytes[index(message)].fetch_add(length as u64, Ordering::Relaxed);
    }

    /// The names of the kinds and the bytes of each.
    pub fn bytes(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let bytes = self.bytes.iter().map(|bytes| bytes.load(Ordering::Relaxed));
        KINDS.into_iter().zip(bytes)
    }

    /// Updates the metrics.
    pub(super) fn publish(&self) {
        for (kind, bytes) in self.bytes() {
            metric::set_total(&metric::MESSAGE_BYTES, kind, bytes);
        }
    }
}

/// Index of a message's kind in [`KINDS`].
fn index(message: &Message<'_>) -> usize {
    match message {
        Message::Segment(_) => 0,
        Message::Found(_) | Message::NotFound(_) => 1,
        Message::Announcement(_) => 2,
        Message::Handover(_) => 3,
        Message::Heartbeat(_) => 4,
        Message::Leave(_) => 5,
        Message::DocumentsRequest | Message::Documents(_) => 6,
    }
}
