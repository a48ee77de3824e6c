//! The list of members in the store, by which nodes find each other at their start.
//!
//! Afterwards they hear each other's beats; the store is only asked whether the own entry is
//! still there.

use std::net::SocketAddrV4;

use lentilreach::Name;
use lentilreach::process::store::Entry;
use serde::{Deserialize, Serialize};

use crate::process::roster::Role;

/// Prefix of the store keys of members.
pub const PREFIX: &str = "lentilreach/member/";

/// Time to live of an entry without renewal, in milliseconds. Longer than most outages of the
/// store that are not total, short enough that newcomers do not wait for the dead.
pub const LEASE_TTL_MS: u64 = 15_000;

/// Time between renewals, in milliseconds. Two may fail.
pub const RENEWAL_INTERVAL_MS: u64 = 5_000;

/// Time between looks at the list, in milliseconds, to see whether the own entry is gone.
pub const CHECK_INTERVAL_MS: u64 = 10_000;

/// A member as the store lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// Where it receives messages.
    pub address: SocketAddrV4,
    /// What it does.
    pub role: Role,
    /// Its failure domain.
    pub domain: Name,
}

impl Listed {
    /// The store key of the member.
    pub fn key(&self) -> String {
        format!("{PREFIX}{}", self.address)
    }

    /// The value of the key.
    pub fn value(&self) -> Vec<u8> {
        let record =
            Record { is_agent: self.role == Role::Agent, domain: self.domain.as_ref() };
        postcard::to_allocvec(&record).expect("every field has a known length")
    }
}

/// An entry of the store that is no member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Invalid;

impl TryFrom<&Entry> for Listed {
    type Error = Invalid;

    fn try_from(entry: &Entry) -> Result<Self, Invalid> {
        let address = entry.key.strip_prefix(PREFIX).ok_or(Invalid)?;
        let address = address.parse().map_err(|_| Invalid)?;
        let record: Record<'_> =
            postcard::from_bytes(&entry.value).map_err(|_| Invalid)?;
        let role = if record.is_agent { Role::Agent } else { Role::Balancer };
        Ok(Self { address, role, domain: record.domain.into() })
    }
}

/// The value of a member's key.
#[derive(Serialize, Deserialize)]
struct Record<'a> {
    /// Whether it stands beside a backend server.
    is_agent: bool,
    /// Its failure domain.
    domain: &'a str,
}
