//! The list of members in the store, through which nodes discover each other when they
//! start.
//!
//! After that, membership is maintained by heartbeats. The list is then only read to
//! check that the node's own entry still exists.

use std::net::SocketAddrV4;

use lentilreach::Name;
use lentilreach::process::store::Entry;
use serde::{Deserialize, Serialize};

use crate::process::backend::record::Recorded;
use crate::process::roster::Role;

/// Prefix of the store keys of members.
pub const PREFIX: &str = "lentilreach/member/";

/// Time to live of an entry without renewal, in milliseconds. Longer than most partial
/// outages of the store, but short enough that new nodes don't wait for failed ones.
pub const LEASE_TTL_MS: u64 = 15_000;

/// Interval between renewals, in milliseconds. Two consecutive renewals may fail.
pub const RENEWAL_INTERVAL_MS: u64 = 5_000;

/// Interval between checks that the node's own entry still exists, in milliseconds.
pub const CHECK_INTERVAL_MS: u64 = 10_000;

/// A member that is listed in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// Address at which it receives messages.
    pub address: SocketAddrV4,
    /// Its function.
    pub role: Role,
    /// Its failure domain.
    pub domain: Name,
    /// The last instance of its backend server that it may have delivered openings to; `None`
    /// for a balancer, or if that isn't known.
    pub instance: Option<Recorded>,
}

impl Listed {
    /// The member's key in the store.
    pub fn key(&self) -> String {
        format!("{PREFIX}{}", self.address)
    }

    /// The value stored under the key.
    pub fn value(&self) -> Vec<u8> {
        let record =
            Record { is_agent: self.role == Role::Agent, domain: self.domain.as_ref() };
        let bytes = postcard::to_allocvec(&record);
        let bytes = bytes.and_then(|bytes| postcard::to_extend(&self.instance, bytes));
        bytes.expect("every field has a known length")
    }
}

/// A store entry that doesn't describe a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Invalid;

impl TryFrom<&Entry> for Listed {
    type Error = Invalid;

    fn try_from(entry: &Entry) -> Result<Self, Invalid> {
        let address = entry.key.strip_prefix(PREFIX).ok_or(Invalid)?;
        let address: SocketAddrV4 = address.parse().map_err(|_| Invalid)?;
        let ip = address.ip();
        let is_usable = !(ip.is_unspecified() || ip.is_broadcast() || ip.is_multicast());
        if address.port() == 0 || !is_usable {
            return Err(Invalid);
        }
        let (record, rest): (Record<'_>, _) =
            postcard::take_from_bytes(&entry.value).map_err(|_| Invalid)?;
        let role = if record.is_agent { Role::Agent } else { Role::Balancer };
        let instance = postcard::from_bytes(rest).ok().flatten();
        Ok(Self { address, role, domain: record.domain.into(), instance })
    }
}

/// The encoded value of a member's entry. The instance follows it. Nodes of an earlier version
/// write none, or one without its era, from which nothing follows; they don't read on.
#[derive(Serialize, Deserialize)]
struct Record<'a> {
    /// Whether the member is an agent.
    is_agent: bool,
    /// Its failure domain.
    domain: &'a str,
}
