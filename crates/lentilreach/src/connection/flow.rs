//! Identity of a flow before it has a token.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

/// Identifies the opening packets of one flow.
///
/// Retransmissions of an opening packet have the same first destination connection ID.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The address of the caller that opens the flow.
    pub caller: SocketAddr,
    /// Hash of the first destination connection ID.
    pub id: u64,
}

impl Key {
    /// The key of an opening packet with this destination connection ID.
    pub fn new(caller: SocketAddr, destination: &[u8]) -> Self {
        Self { caller, id: xxh3_64(destination) }
    }
}
