//! Configuration documents: services, their limits, failure domains.
//!
//! Input is validated where it is converted to the types of this module: [`wire`] decodes the
//! documents of the store, [`document`] parses the files of operators. [`Snapshot`] is one
//! version of the whole configuration.

use std::net::SocketAddr;

pub mod document;
pub mod domains;
pub mod key;
pub mod limits;
pub mod service;
pub mod snapshot;
pub mod wire;

pub use document::Document;
pub use domains::{Change, Domain, Domains};
pub use limits::Limits;
pub use service::Service;
pub use snapshot::Snapshot;

/// Maximum length of a name in bytes. Names are part of store keys and of gossip entries.
pub const MAX_NAME: usize = 63;

/// Whether a string is a valid name of an organisation, service, failure domain, template or
/// set.
///
/// A name has 1 to [`MAX_NAME`] characters of `a-z`, `0-9` and `-`, so it needs no escaping
/// in a store key.
pub fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    !text.is_empty() && text.len() <= MAX_NAME && text.bytes().all(allowed)
}

/// Whether an address can be the address of a service.
///
/// Unspecified, multicast and broadcast addresses and port 0 are refused.
pub fn is_address(address: SocketAddr) -> bool {
    let ip = address.ip();
    let broadcast = matches!(ip, std::net::IpAddr::V4(v4) if v4.is_broadcast());
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !broadcast
}
