//! One service of one organisation.

use std::net::SocketAddr;

use crate::id::service::Id;
use crate::process::name::Name;
use crate::version::config::key;
use crate::version::config::limits::Limits;

/// A service with its template's parameters filled in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The organisation that owns it.
    pub organisation: Name,
    /// Its name, unique within the organisation.
    pub name: Name,
    /// Where callers reach it; unique over all organisations.
    pub address: SocketAddr,
    /// The backend servers that may serve it, as named in their agents' settings.
    pub set: Name,
    /// What one of its backend servers can handle.
    pub limits: Limits,
    /// The operation that wrote this version; absent until it is submitted.
    pub operation: Option<Name>,
}

impl Service {
    /// The identifier that tokens and messages carry.
    pub fn id(&self) -> Id {
        Id::of(&self.organisation, &self.name)
    }

    /// `ORGANISATION/SERVICE`.
    pub fn path(&self) -> Name {
        format!("{}/{}", self.organisation, self.name).into()
    }

    /// The key of its document in the store.
    pub fn key(&self) -> Name {
        key::service(&self.organisation, &self.name)
    }

    /// Whether both have the same parameters, whichever operation wrote them.
    pub fn matches(&self, other: &Self) -> bool {
        self.organisation == other.organisation
            && self.name == other.name
            && self.address == other.address
            && self.set == other.set
            && self.limits == other.limits
    }
}
