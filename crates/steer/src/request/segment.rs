//! A segment of a flow: what steering needs of its header.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddrV4;

use crate::connection::flow;

/// The header of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// The sender's end of the flow.
    pub source: SocketAddrV4,
    /// The receiver's end of the flow.
    pub destination: SocketAddrV4,
    /// What the segment does.
    pub flags: Flags,
    /// Number of its first byte.
    pub sequence: u32,
    /// Number of the next byte that the sender expects.
    pub acknowledged: u32,
    /// Bytes of data.
    pub length: u16,
    /// The mark that an agent set when it delivered the segment, see [`Format::mark`].
    pub mark: u32,
}

impl Segment {
    /// The flow, if a caller sent the segment.
    pub fn from_caller(&self) -> flow::Key {
        flow::Key { caller: self.source, service: self.destination }
    }

    /// The flow, if a backend server sent the segment.
    pub fn from_backend(&self) -> flow::Key {
        flow::Key { caller: self.destination, service: self.source }
    }

    /// Whether a caller opens a flow with it.
    pub fn is_opening(&self) -> bool {
        self.flags.open && !self.flags.acknowledge
    }

    /// The number of the copy of an opening segment; 0 for the segment itself. Callers count
    /// copies in the number that acknowledges nothing yet.
    pub fn copy(&self) -> u32 {
        if self.is_opening() { self.acknowledged } else { 0 }
    }
}

/// What a segment does.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Flags {
    /// Opens a flow.
    pub open: bool,
    /// Acknowledges bytes.
    pub acknowledge: bool,
    /// Closes one direction.
    pub close: bool,
    /// Ends the flow at once.
    pub reset: bool,
    /// Returned by a backend server that does not hold the flow or cannot take it.
    pub returned: bool,
}

/// The binary form of segments. The edge behind which the encoding lies.
pub trait Format: Clone + Send + Sync + 'static {
    /// Reads a header.
    ///
    /// # Errors
    /// What is wrong with the bytes.
    fn read(&self, bytes: &[u8]) -> Result<Segment, Fault>;

    /// Sets a mark that a backend server returns with a segment that it does not take, and
    /// clears the flag [`Flags::returned`]. Nothing else changes.
    fn mark(&self, bytes: &mut [u8], mark: u32);

    /// The bytes of a reset for the caller of a flow.
    fn reset(&self, flow: &flow::Key, sequence: u32) -> Vec<u8>;
}

/// Why bytes are no segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Shorter than a header.
    Short,
    /// The length field does not match.
    Length,
    /// A flag that does not exist.
    Flags,
}

impl Fault {
    /// The label of the fault in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Length => "length",
            Self::Flags => "flags",
        }
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Short => "shorter than a header",
            Self::Length => "the length field does not match the datagram",
            Self::Flags => "unknown flags",
        })
    }
}

impl std::error::Error for Fault {}
