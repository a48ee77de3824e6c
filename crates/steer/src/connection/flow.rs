//! The identity of a flow.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The two ends of a flow. The same for both directions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// The caller's end.
    pub caller: SocketAddrV4,
    /// The end that callers address.
    pub service: SocketAddrV4,
}

impl Key {
    /// A hash that all processes compute alike.
    pub fn hash(&self) -> u64 {
        let mut bytes = [0; 12];
        bytes[..4].copy_from_slice(&self.caller.ip().octets());
        bytes[4..6].copy_from_slice(&self.caller.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.service.ip().octets());
        bytes[10..].copy_from_slice(&self.service.port().to_be_bytes());
        xxh3_64(&bytes)
    }
}

impl Display for Key {
    /// Writes the identifier that log lines of all processes share.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.hash())
    }
}
