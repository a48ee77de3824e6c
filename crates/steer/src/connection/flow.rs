//! Identifies a flow.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The endpoints of a flow. The same key is used for both directions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// The service address that the caller uses.
    pub service: SocketAddrV4,
}

impl Key {
    /// A hash that is the same in all processes.
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
    /// Writes the identifier that all processes use for the flow in log lines.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.hash())
    }
}
