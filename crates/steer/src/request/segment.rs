//! The header fields of a segment that steering needs.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddrV4;

use crate::connection::flow;

/// A parsed segment header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Address of the sender.
    pub source: SocketAddrV4,
    /// Address of the receiver.
    pub destination: SocketAddrV4,
    /// Control flags.
    pub flags: Flags,
    /// Sequence number of the first byte of data.
    pub sequence: u32,
    /// The next sequence number that the sender expects from its peer.
    pub acknowledged: u32,
    /// Length of the data in bytes.
    pub length: u16,
    /// Mark that an agent set when it delivered the segment, see [`Format::mark`].
    pub mark: u32,
    /// Minimum time since the caller sent the first copy of an opening segment, in
    /// milliseconds; 0 for any other segment.
    pub age_ms: u64,
}

impl Segment {
    /// The flow, provided that a caller sent the segment.
    pub fn flow_from_caller(&self) -> flow::Key {
        flow::Key { caller: self.source, service: self.destination }
    }

    /// The flow, provided that a backend server sent the segment.
    pub fn flow_from_backend(&self) -> flow::Key {
        flow::Key { caller: self.destination, service: self.source }
    }

    /// Whether this is the first segment with which a caller opens a flow, or a
    /// retransmission of it.
    pub fn is_opening(&self) -> bool {
        self.flags.open && !self.flags.acknowledge
    }

    /// How often an opening segment was retransmitted before; 0 for the first
    /// transmission. Callers put this number into the acknowledgement field, which is
    /// unused in an opening segment.
    pub fn retransmissions(&self) -> u32 {
        if self.is_opening() { self.acknowledged } else { 0 }
    }
}

/// The control flags of a segment.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Flags {
    /// Opens a flow, or accepts one if combined with `acknowledge`.
    pub open: bool,
    /// The acknowledgement number is valid.
    pub acknowledge: bool,
    /// Closes one direction.
    pub close: bool,
    /// Aborts the flow.
    pub reset: bool,
    /// Sent back by a backend server that doesn't hold the flow or can't accept it.
    pub returned: bool,
}

/// Parses and modifies segments. Keeps the wire format out of this crate.
pub trait Format: Clone + Send + Sync + 'static {
    /// Parses a segment header.
    ///
    /// # Errors
    /// If the bytes are not a valid segment.
    fn read(&self, bytes: &[u8]) -> Result<Segment, ParseError>;

    /// Sets the mark that a backend server includes when it returns a segment, and clears
    /// [`Flags::returned`]. Changes nothing else.
    fn mark(&self, bytes: &mut [u8], mark: u32);

    /// Encodes a reset that aborts a flow at its caller.
    fn reset(&self, flow: &flow::Key, sequence: u32) -> Vec<u8>;
}

/// Why bytes are not a valid segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParseError {
    /// Shorter than a header.
    Short,
    /// The length field doesn't match the size of the datagram.
    Length,
    /// An undefined flag is set.
    Flags,
}

impl ParseError {
    /// The label in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Length => "length",
            Self::Flags => "flags",
        }
    }
}

impl Display for ParseError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Short => "shorter than a header",
            Self::Length => "the length field does not match the datagram",
            Self::Flags => "unknown flags",
        })
    }
}

impl std::error::Error for ParseError {}
