//! One service of one organisation.

use std::net::SocketAddr;

use crate::id::service::Id;
use crate::process::name::Name;
use crate::version::config::key;
use crate::version::config::limits::Limits;

/// A service with its limits resolved from its template.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The organisation that owns it.
    pub organisation: Name,
    /// Its name, unique within the organisation.
    pub name: Name,
    /// The address to which callers connect; unique across all organisations.
    pub address: SocketAddr,
    /// The set of backend servers that serve it. The settings of each agent name its set.
    pub set: Name,
    /// The limits of each of its backend servers.
    pub limits: Limits,
    /// The operation that wrote this version; `None` until it is submitted.
    pub operation: Option<Name>,
}

impl Service {
    /// The identifier of the service in tokens and messages.
    pub fn id(&self) -> Id {
        Id::of(&self.organisation, &self.name)
    }

    /// The full name, `ORGANISATION/SERVICE`.
    pub fn path(&self) -> Name {
        format!("{}/{}", self.organisation, self.name).into()
    }

    /// The key of its document in the store.
    pub fn key(&self) -> Name {
        key::service(&self.organisation, &self.name)
    }

    /// Whether both are equal apart from the operation that wrote them.
    pub fn matches(&self, other: &Self) -> bool {
        self.organisation == other.organisation
            && self.name == other.name
            && self.address == other.address
            && self.set == other.set
            && self.limits == other.limits
    }
}
